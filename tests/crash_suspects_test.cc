/* Requests that crash the servers that run them, told from what ran beside
   them.  */

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
  END
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
  int64_t asked_ms;
  bool held;
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
  { "CrashesAtOnceAreOne",
    { { 0, Event::CRASH },
      { 100, Event::CRASH },
      { 600, Event::CRASH },
      { 2000, Event::CRASH } },
    2500,
    false },
  { "AnAnswerClears",
    { { 0, Event::CRASH },
      { 2000, Event::CRASH },
      { 3000, Event::END },
      { 4000, Event::CRASH } },
    4100,
    false },
  { "CrashesFarApartAreForgotten",
    { { 0, Event::CRASH }, { 2000, Event::CRASH }, { 64000, Event::CRASH } },
    64100,
    false },
};

class Suspects : public testing::TestWithParam<SuspectRow>
{
};

void
ignore (void *, const suspect_update_t *)
{
}

TEST_P (Suspects, AreHeldAfterThreeCrashes)
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
  EXPECT_EQ (row.held, crash_suspects_should_refuse (
                           suspects, 7, START_US + row.asked_ms * US_PER_MS));
  EXPECT_FALSE (crash_suspects_should_refuse (suspects, 8,
                                              START_US + row.asked_ms * 1000));
  crash_suspects_free (suspects);
}

INSTANTIATE_TEST_SUITE_P (Table, Suspects, testing::ValuesIn (rows),
                          [] (const auto &info) { return info.param.name; });

/* A caller sends the request every 400 ms to any of 12 sidecars; each run
   crashes the server beside one of them.  News takes 50 ms.  */
TEST (SuspectsInAFleet, ACrashingRequestIsHeldThreeSecondsAfterItsThirdCrash)
{
  const int COUNT = 12;
  std::vector<crash_suspects_t *> fleet;
  for (int i = 0; i < COUNT; i++)
    fleet.push_back (crash_suspects_new ());
  int crashes = 0;
  int late = 0;
  int64_t third_us = 0;
  for (int i = 0; i < 60; i++)
    {
      int64_t now_us = START_US + i * 400 * US_PER_MS;
      crash_suspects_t *at = fleet[i * 5 % COUNT];
      if (crash_suspects_should_refuse (at, 7, now_us))
        continue;
      crashes++;
      if (crashes == 3)
        third_us = now_us;
      late += third_us != 0 && now_us - third_us > 3 * US_PER_S;
      if (!crash_suspects_record_crash (at, 7, now_us))
        continue;
      struct Tell
      {
        std::vector<crash_suspects_t *> *fleet;
        int64_t now_us;
      } tell = { &fleet, now_us + 50 * US_PER_MS };
      crash_suspects_visit_updates (
          at, now_us,
          [] (void *ctx, const suspect_update_t *news) {
            Tell *to = (Tell *)ctx;
            for (crash_suspects_t *other : *to->fleet)
              crash_suspects_merge (other, news, to->now_us);
          },
          &tell);
    }
  EXPECT_EQ (0, late);
  EXPECT_LT (crashes, 12);
  for (crash_suspects_t *one : fleet)
    crash_suspects_free (one);
}

/* Dozens run beside the cause of a crash: only the sidecar that saw it tells
   of them, and not for long.  */
TEST (SuspectsInAFleet, NewsIsToldByTheOneThatSawItAndForgotten)
{
  struct Count
  {
    int told = 0;
    static void
    visit (void *ctx, const suspect_update_t *)
    {
      ((Count *)ctx)->told++;
    }
  } saw, heard, later;
  crash_suspects_t *first = crash_suspects_new ();
  crash_suspects_t *second = crash_suspects_new ();
  for (uint64_t i = 1; i <= 36; i++)
    {
      crash_suspects_record_crash (first, i, START_US);
      suspect_update_t news = { i, 0, 1 };
      crash_suspects_merge (second, &news, START_US);
    }
  crash_suspects_visit_updates (first, START_US, Count::visit, &saw);
  crash_suspects_visit_updates (second, START_US, Count::visit, &heard);
  crash_suspects_visit_updates (first, START_US + 4 * US_PER_S, Count::visit,
                                &later);
  EXPECT_EQ (36, saw.told);
  EXPECT_EQ (0, heard.told);
  EXPECT_EQ (0, later.told);
  crash_suspects_free (first);
  crash_suspects_free (second);
}

/* The table is full of others that ran at a crash.  */
TEST (SuspectsInAFleet, TheTableKeepsThoseWithMostCrashes)
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
