/* Detection of requests that crash the servers that run them, as against
   requests that merely ran at the same time.  */

#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "clock.h"
#include "mesh/crash_suspects.h"
}

namespace
{

const int64_t START_US = 100 * US_PER_S;

enum class Event
{
  CRASH,
  COMPLETION
};

struct EventRow
{
  int64_t at_ms;
  Event event;
};

struct SuspectRow
{
  const char *name;
  std::vector<EventRow> events;
  int64_t checked_ms;
  bool blocked;
};

const SuspectRow rows[] = {
  { "TwoCrashes",
    { { 0, Event::CRASH }, { 2000, Event::CRASH } },
    2500,
    false },
  { "ThreeCrashes",
    { { 0, Event::CRASH }, { 2000, Event::CRASH }, { 4000, Event::CRASH } },
    4100,
    true },
  { "CrashesWithinASecondCountOnce",
    { { 0, Event::CRASH },
      { 100, Event::CRASH },
      { 600, Event::CRASH },
      { 2000, Event::CRASH } },
    2500,
    false },
  { "CompletionClearsTheSuspect",
    { { 0, Event::CRASH },
      { 2000, Event::CRASH },
      { 3000, Event::COMPLETION },
      { 4000, Event::CRASH } },
    4100,
    false },
  { "CrashesAMinuteOldAreForgotten",
    { { 0, Event::CRASH }, { 2000, Event::CRASH }, { 64000, Event::CRASH } },
    64100,
    false },
};

class CrashSuspects : public testing::TestWithParam<SuspectRow>
{
};

void
ignore (void *, const suspect_update_t *)
{
}

TEST_P (CrashSuspects, AreBlockedAfterThreeCrashes)
{
  const SuspectRow &row = GetParam ();
  crash_suspects_t *suspects = crash_suspects_new ();
  for (const EventRow &event : row.events)
    {
      int64_t now_us = START_US + event.at_ms * US_PER_MS;
      crash_suspects_visit_updates (suspects, now_us, ignore, nullptr);
      if (event.event == Event::CRASH)
        crash_suspects_record_crash (suspects, 7, now_us);
      else
        EXPECT_TRUE (crash_suspects_record_completion (suspects, 7, now_us));
    }
  EXPECT_EQ (row.blocked,
             crash_suspects_should_refuse (
                 suspects, 7, START_US + row.checked_ms * US_PER_MS));
  EXPECT_FALSE (crash_suspects_should_refuse (
      suspects, 8, START_US + row.checked_ms * 1000));
  crash_suspects_free (suspects);
}

INSTANTIATE_TEST_SUITE_P (Table, CrashSuspects, testing::ValuesIn (rows),
                          [] (const auto &info) { return info.param.name; });

/* A caller sends the same request every 400 ms, each time to another of 12
   sidecars, and each run crashes that sidecar's server.  Updates reach the
   other sidecars after 50 ms.  */
TEST (CrashSuspectsFleet, BlocksARequestWithinThreeSecondsOfItsThirdCrash)
{
  const int SIDECAR_COUNT = 12;
  std::vector<crash_suspects_t *> fleet;
  for (int i = 0; i < SIDECAR_COUNT; i++)
    fleet.push_back (crash_suspects_new ());
  int crashes = 0;
  int late_crashes = 0;
  int64_t third_crash_us = 0;
  for (int i = 0; i < 60; i++)
    {
      int64_t now_us = START_US + i * 400 * US_PER_MS;
      crash_suspects_t *sidecar = fleet[i * 5 % SIDECAR_COUNT];
      if (crash_suspects_should_refuse (sidecar, 7, now_us))
        continue;
      crashes++;
      if (crashes == 3)
        third_crash_us = now_us;
      late_crashes
          += third_crash_us != 0 && now_us - third_crash_us > 3 * US_PER_S;
      if (!crash_suspects_record_crash (sidecar, 7, now_us))
        continue;
      struct Delivery
      {
        std::vector<crash_suspects_t *> *fleet;
        int64_t now_us;
      } delivery = { &fleet, now_us + 50 * US_PER_MS };
      crash_suspects_visit_updates (
          sidecar, now_us,
          [] (void *ctx, const suspect_update_t *update) {
            Delivery *to = (Delivery *)ctx;
            for (crash_suspects_t *other : *to->fleet)
              crash_suspects_merge (other, update, to->now_us);
          },
          &delivery);
    }
  EXPECT_EQ (0, late_crashes);
  EXPECT_LT (crashes, 12);
  for (crash_suspects_t *suspects : fleet)
    crash_suspects_free (suspects);
}

/* Dozens of requests run at the same time as the one that crashes the server.
   Only the sidecar that saw the crash sends their states to the others, and
   stops after a few seconds.  */
TEST (CrashSuspectsFleet, OnlyTheSidecarThatSawACrashSendsUpdatesForAShortTime)
{
  struct Count
  {
    int updates = 0;
    static void
    visit (void *ctx, const suspect_update_t *)
    {
      ((Count *)ctx)->updates++;
    }
  } at_once, from_second, after_4_s;
  crash_suspects_t *first = crash_suspects_new ();
  crash_suspects_t *second = crash_suspects_new ();
  for (uint64_t i = 1; i <= 36; i++)
    {
      crash_suspects_record_crash (first, i, START_US);
      suspect_update_t update = { i, 0, 1 };
      crash_suspects_merge (second, &update, START_US);
    }
  crash_suspects_visit_updates (first, START_US, Count::visit, &at_once);
  crash_suspects_visit_updates (second, START_US, Count::visit, &from_second);
  crash_suspects_visit_updates (first, START_US + 4 * US_PER_S, Count::visit,
                                &after_4_s);
  EXPECT_EQ (36, at_once.updates);
  EXPECT_EQ (0, from_second.updates);
  EXPECT_EQ (0, after_4_s.updates);
  crash_suspects_free (first);
  crash_suspects_free (second);
}

/* More requests ran during a crash than the table has entries.  */
TEST (CrashSuspectsFleet, AFullTableKeepsTheSuspectsWithTheMostCrashes)
{
  crash_suspects_t *suspects = crash_suspects_new ();
  for (int i = 0; i < 3; i++)
    crash_suspects_record_crash (suspects, 7, START_US + i * 2 * US_PER_S);
  for (uint64_t other = 100; other < 100 + 2 * SUSPECTS_MAX; other++)
    crash_suspects_record_crash (suspects, other, START_US + 5 * US_PER_S);
  EXPECT_TRUE (
      crash_suspects_should_refuse (suspects, 7, START_US + 6 * US_PER_S));
  crash_suspects_free (suspects);
}

} // namespace
