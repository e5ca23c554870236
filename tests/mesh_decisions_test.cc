#include <gtest/gtest.h>

extern "C"
{
#include "clock.h"
#include "mesh/admission.h"
#include "mesh/call_graph.h"
#include "mesh/call_learner.h"
#include "mesh/intake.h"
#include "mesh/placement.h"
#include "mesh/quota.h"
#include "mesh/retry_pool.h"
#include "mesh/server_view.h"
#include "mesh/split.h"
#include "rng.h"
}

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace
{
/* --- admission --------------------------------------------------------- */

struct AdmissionRow
{
  const char *name;
  admission_request_t request;
  double share_least;
  double share_most;
};

class Admission : public testing::TestWithParam<AdmissionRow>
{
};

TEST_P (Admission, AdmitsTheShare)
{
  rng_t rng = rng_seeded (3);
  int admitted = 0;
  for (int i = 0; i < 10000; i++)
    admitted
        += !admission_should_refuse (&GetParam ().request, rng_unit (&rng));
  EXPECT_GE (admitted / 10000.0, GetParam ().share_least);
  EXPECT_LE (admitted / 10000.0, GetParam ().share_most);
  rng_seeded_free (&rng);
}

const AdmissionRow admission_rows[] = {
  { "Idle", { 0, 1, 2, 2 }, 1, 1 },
  { "IdleAndDear", { 0, 5, 3, 3 }, 1, 1 },
  { "Half", { 0.5, 1, 2, 2 }, 0.45, 0.55 },
  { "HalfAndFirst", { 0.5, 1, 0, 2 }, 0.65, 0.75 },
  { "HalfAndFirstRoute", { 0.5, 1, 1, 0 }, 0.65, 0.75 },
  { "HalfAndCheap", { 0.5, 0.1, 2, 2 }, 0.7, 0.8 },
  { "HalfAndDear", { 0.5, 100, 2, 2 }, 0.3, 0.4 },
  { "NearlyAllStillSenses", { 0.995, 1, 3, 3 }, 0.001, 0.02 },
};

INSTANTIATE_TEST_SUITE_P (Table, Admission, testing::ValuesIn (admission_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST (AdmissionTimes, RetryFitsWhatTheCallerHasLeft)
{
  for (double draw : { 0.0, 0.5, 0.999 })
    for (int64_t left_s : { 1, 2, 6 })
      {
        uint32_t ms
            = admission_retry_after_ms (left_s * US_PER_S, US_PER_S, draw);
        EXPECT_GE (ms, 50u);
        EXPECT_LE (ms, left_s * 1000 / 3);
        EXPECT_LE (ms, 600u);
      }
}

/* --- split ------------------------------------------------------------- */

struct StopRow
{
  const char *name;
  bool from_backend;
  int64_t since_ms;
  int64_t left_ms;
  int64_t mean_ms;
  bool fits;
};

const StopRow stop_rows[] = {
  { "AtOnce", false, 0, 5000, 240, true },
  { "BeforeCallersNotice", false, 2700, 2300, 240, true },
  { "ACallerThatCameLate", false, 3300, 1700, 240, false },
  { "ACallWhileItsParentRuns", true, 3300, 1700, 15, true },
  { "ACallJustBeforeTheEnd", true, 4700, 300, 15, false },
  { "LongerThanWhatIsLeft", false, 2000, 3000, 880, false },
};

class Stop : public testing::TestWithParam<StopRow>
{
};

TEST_P (Stop, TakesOnlyWhatEndsBeforeIt)
{
  const StopRow &row = GetParam ();
  EXPECT_EQ (row.fits, admission_accepts_while_stopping (
                           row.from_backend, row.since_ms * US_PER_MS,
                           row.left_ms * US_PER_MS, row.mean_ms * US_PER_MS));
}

INSTANTIATE_TEST_SUITE_P (Table, Stop, testing::ValuesIn (stop_rows),
                          [] (const auto &info) { return info.param.name; });

TEST (Split, IsExactOverTime)
{
  split_t split = {};
  policy_destination_t parts[] = { { 0, 90 }, { 1, 10 }, { 2, 0 } };
  std::map<uint32_t, int> counts;
  for (int i = 1; i <= 1000; i++)
    {
      counts[split_pick_destination (&split, parts, 3)]++;
      EXPECT_NEAR (counts[0], i * 0.9, 1);
    }
  EXPECT_EQ (900, counts[0]);
  EXPECT_EQ (100, counts[1]);
  EXPECT_EQ (0, counts[2]);
}

/* --- repeats ----------------------------------------------------------- */

TEST (RetryPool, FourLevelsOfRepeatsStayBelowAFifth)
{
  /* A repeat on each of three levels above repeats the leaf too.  */
  double repeats = 0;
  for (bool leaf : { false, false, false, true })
    {
      retry_pool_t pool;
      retry_budget_t bounds = { 0.2, 0, 12 };
      retry_pool_init (&pool, "s");
      int taken = 0;
      for (int i = 0; i < 10000; i++)
        {
          retry_pool_deposit (&pool, leaf, bounds);
          taken += retry_pool_try_withdraw (&pool);
        }
      repeats += taken / 10000.0;
    }
  EXPECT_LT (repeats, 0.2);
  EXPECT_GT (repeats, 0.1);
}

/* Replays a tree of calls like the users': two lookups, each of which calls
   one that calls the narrow service five times.  Many answers are
   lost on all levels at once, so that all sidecars spend what they have.  */
TEST (RetryPool, RepeatsAboveTheNarrowServiceLeaveItsReserve)
{
  const int SIDECARS = 12;
  retry_budget_t bounds = { 0.2, 48, SIDECARS };
  const double below[] = { 10, 5, 5, 1 };   /* arrivals there for one repeat */
  const int firsts[] = { 30, 60, 60, 300 }; /* a second, by the fleet */
  double repeats = 0;
  for (int level = 0; level < 4; level++)
    for (int sidecar = 0; sidecar < SIDECARS; sidecar++)
      {
        retry_pool_t pool;
        retry_pool_init (&pool, "s");
        for (int i = 0; i < firsts[level] * 10 / SIDECARS; i++)
          {
            retry_pool_deposit (&pool, level == 3, bounds);
            if (retry_pool_try_withdraw (&pool))
              repeats += below[level];
          }
        while (retry_pool_try_withdraw (&pool))
          repeats += below[level];
      }
  EXPECT_LE (repeats, 0.2 * firsts[3] * 10 + 48);
}

/* --- rates ------------------------------------------------------------- */

const int64_t QUOTA_WINDOW_US = 5 * US_PER_S;

struct Sidecars
{
  std::vector<quota_t *> quotas;
  std::vector<uint64_t> lives;
  rng_t rng = rng_seeded (11);
  int64_t now_us = US_PER_S;
  std::deque<std::pair<int64_t, int>> admitted; /* time, count */
  int refused = 0;
  int most = 0;      /* in any window */
  size_t zone = 0;   /* sidecars of one zone, if only these hear each other */
  bool deaf = false; /* nobody hears anybody */

  explicit Sidecars (int count, double rate, double burst)
  {
    for (int i = 0; i < count; i++)
      {
        quotas.push_back (quota_new (QUOTA_WINDOW_US));
        lives.push_back (1);
        quota_set_member_count (quotas[i], count);
        quota_set_limit (quotas[i], "a", rate, burst);
      }
  }
  ~Sidecars ()
  {
    for (quota_t *quota : quotas)
      quota_free (quota);
    rng_seeded_free (&rng);
  }
  struct Told
  {
    Sidecars *all;
    size_t from;
    const std::vector<std::pair<size_t, size_t>> *cut;
  };
  /* A report comes from each sidecar in each period, with news or without.  */
  void
  report (size_t from, const std::vector<std::pair<size_t, size_t>> &cut)
  {
    for (size_t i = 0; i < quotas.size (); i++)
      if (i != from && !is_apart (from, i, cut))
        quota_set_unreachable (quotas[i], from + 1, false);
  }
  bool
  is_apart (size_t a, size_t b,
            const std::vector<std::pair<size_t, size_t>> &cut)
  {
    for (auto pair : cut)
      if ((pair.first == a && pair.second == b)
          || (pair.second == a && pair.first == b))
        return true;
    return deaf || (zone > 0 && a / zone != b / zone);
  }
  static void
  tell (void *ctx, const quota_report_t *news)
  {
    Told *told = (Told *)ctx;
    for (size_t i = 0; i < told->all->quotas.size (); i++)
      if (i != told->from && !told->all->is_apart (told->from, i, *told->cut))
        quota_apply_report (told->all->quotas[i], told->from + 1,
                            told->all->lives[told->from], news);
  }
  /* One period with ARRIVALS on average, spread over SPREAD sidecars.  */
  void
  period (double arrivals, size_t spread,
          const std::vector<std::pair<size_t, size_t>> &cut = {})
  {
    int count = 0;
    int offered = (int)arrivals + rng_chance (&rng, arrivals - (int)arrivals);
    for (int i = 0; i < offered; i++)
      {
        size_t at = rng_below (&rng, spread);
        bool in = quota_acquire (quotas[at], "a");
        count += in;
        refused += !in;
      }
    now_us += QUOTA_PERIOD_US;
    admitted.push_back ({ now_us, count });
    while (admitted.front ().first <= now_us - QUOTA_WINDOW_US)
      admitted.pop_front ();
    int sum = 0;
    for (auto entry : admitted)
      sum += entry.second;
    most = std::max (most, sum);
    for (size_t i = 0; i < quotas.size (); i++)
      {
        Told told = { this, i, &cut };
        quota_tick (quotas[i], now_us, rng_unit (&rng), false, tell, &told);
        report (i, cut);
      }
  }
};

/* The users allow a tenth and 20 requests beyond.  */
int
allowed (double rate, double burst)
{
  return (int)((rate * 5 + burst) * 1.1 + 20);
}

struct RateRow
{
  const char *name;
  int sidecars;
  double rate;
  double burst;
  double demand;
  size_t spread;
  double refused_most; /* share of all */
};

class Rates : public testing::TestWithParam<RateRow>
{
};

TEST_P (Rates, HoldInEveryWindow)
{
  const RateRow &row = GetParam ();
  Sidecars all (row.sidecars, row.rate, row.burst);
  for (int i = 0; i < 40; i++)
    all.period (0, row.spread);
  all.refused = 0;
  for (int i = 0; i < 240; i++)
    all.period (row.demand / 4, row.spread);
  EXPECT_LE (all.most, allowed (row.rate, row.burst));
  EXPECT_LE (all.refused / (row.demand * 60), row.refused_most);
}

const RateRow rate_rows[] = {
  { "SmallAccountInsideItsRate", 12, 10, 10, 8, 12, 0.005 },
  { "SmallAccountOnOneSidecar", 12, 10, 10, 8, 1, 0.005 },
  { "LargeAccountInsideItsRate", 13, 300, 300, 280, 13, 0.005 },
  { "SmallAccountFarBeyond", 12, 10, 10, 80, 12, 0.9 },
  { "LargeAccountFarBeyond", 13, 300, 300, 2000, 13, 0.85 },
  { "HotOnOneSidecar", 13, 300, 300, 2000, 1, 0.85 },
  { "ManySidecars", 77, 20, 20, 100, 77, 0.85 },
};

INSTANTIATE_TEST_SUITE_P (Table, Rates, testing::ValuesIn (rate_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST (RatesUnderFaults, ACutDoesNotDoubleThem)
{
  Sidecars all (12, 100, 100);
  std::vector<std::pair<size_t, size_t>> cut;
  for (int i = 0; i < 80; i++)
    all.period (25, 12);
  for (size_t a = 0; a < 6; a++)
    for (size_t b = 6; b < 12; b++)
      {
        cut.push_back ({ a, b });
        quota_set_unreachable (all.quotas[a], b + 1, true);
        quota_set_unreachable (all.quotas[b], a + 1, true);
      }
  all.most = 0;
  for (int i = 0; i < 120; i++)
    all.period (100, 12, cut);
  EXPECT_LE (all.most, allowed (100, 100));
}

TEST (RatesUnderFaults, RestartsOfAllDoNotBringTheWindowBack)
{
  Sidecars all (12, 100, 100);
  for (int i = 0; i < 80; i++)
    all.period (100, 12);
  for (size_t i = 0; i < all.quotas.size (); i++)
    {
      quota_free (all.quotas[i]);
      all.quotas[i] = quota_new (QUOTA_WINDOW_US);
      all.lives[i]++;
      quota_set_member_count (all.quotas[i], 12);
      quota_set_limit (all.quotas[i], "a", 100, 100);
    }
  for (int i = 0; i < 80; i++)
    all.period (100, 12);
  EXPECT_LE (all.most, allowed (100, 100));
}

/* All processes are killed while one account sends four times its rate.  The
   links come back one after the other, so what is heard of the others' demand
   is a small part of it for a while.  */
TEST (RatesUnderFaults, LittleIsHeardAfterARestartOfAll)
{
  const double RATE = 132;
  Sidecars all (77, RATE, RATE);
  for (int i = 0; i < 40; i++)
    all.period (RATE, 77);
  for (size_t i = 0; i < all.quotas.size (); i++)
    {
      quota_free (all.quotas[i]);
      all.quotas[i] = quota_new (QUOTA_WINDOW_US);
      all.lives[i]++;
      quota_set_member_count (all.quotas[i], 77);
      quota_set_limit (all.quotas[i], "a", RATE, RATE);
    }
  for (int i = 0; i < 40; i++)
    {
      all.deaf = i < 3;
      all.zone = i < 6 ? 20 : 0;
      all.period (RATE, 77);
    }
  EXPECT_LE (all.most, allowed (RATE, RATE));
}

TEST (RatesUnderFaults, ALowerLimitBindsOneWindowLater)
{
  Sidecars all (12, 300, 300);
  for (int i = 0; i < 80; i++)
    all.period (100, 12);
  for (quota_t *quota : all.quotas)
    quota_set_limit (quota, "a", 30, 30);
  for (int i = 0; i < 20; i++)
    all.period (100, 12);
  all.most = 0;
  for (int i = 0; i < 80; i++)
    all.period (100, 12);
  EXPECT_LE (all.most, allowed (30, 30));
}

TEST (RatesUnderFaults, WhatDidNotRunIsGivenBack)
{
  quota_t *quota = quota_new (QUOTA_WINDOW_US);
  quota_set_limit (quota, "a", 1, 1);
  quota_report_t none = {};
  int64_t now_us = US_PER_S;
  for (int i = 0; i < 40; i++)
    quota_tick (
        quota, now_us += QUOTA_PERIOD_US, 0, true,
        [] (void *, const quota_report_t *) {}, &none);
  ASSERT_TRUE (quota_acquire (quota, "a"));
  quota_refund (quota, "a");
  EXPECT_TRUE (quota_acquire (quota, "a"));
  quota_free (quota);
}

/* --- intake ------------------------------------------------------------ */

struct Server
{
  intake_t *intake;
  std::vector<intake_entry_t *> started;
  std::map<intake_entry_t *, cause_t> refused;
  std::vector<intake_entry_t *> made;
  int64_t now_us = US_PER_S;
  intake_server_t server = { 20, true, false, false, 0, 0 };

  Server ()
  {
    intake_callbacks_t actions
        = { [] (void *ctx, intake_entry_t *entry) {
             ((Server *)ctx)->started.push_back (entry);
           },
            [] (void *ctx, intake_entry_t *entry, cause_t cause) {
              ((Server *)ctx)->refused[entry] = cause;
            },
            this };
    intake = intake_new (&actions, now_us);
    intake_set_server (intake, &server, now_us);
  }
  ~Server ()
  {
    intake_free (intake);
    for (intake_entry_t *entry : made)
      delete entry;
  }
  intake_entry_t *
  make (bool call, int64_t left_us, int64_t expected_us = 50 * US_PER_MS)
  {
    intake_entry_t *entry = new intake_entry_t ();
    entry->from_backend = call;
    entry->max_wait_us = call ? left_us : left_us / 4;
    entry->deadline_us = now_us + left_us;
    entry->expected_run_us = expected_us;
    made.push_back (entry);
    return entry;
  }
  intake_verdict_t
  offer (intake_entry_t *entry, cause_t *cause)
  {
    return intake_offer (intake, entry, now_us, cause);
  }
  /* Fills all slots with calls; returns them.  */
  std::vector<intake_entry_t *>
  fill ()
  {
    std::vector<intake_entry_t *> running;
    cause_t cause;
    while (intake_server_load (intake).running
           < intake_server_load (intake).window)
      {
        running.push_back (make (true, US_PER_S));
        EXPECT_EQ (INTAKE_STARTED, offer (running.back (), &cause));
      }
    return running;
  }
};

TEST (Intake, NeverRunsMoreThanTheSlots)
{
  Server server;
  cause_t cause;
  for (int i = 0; i < 100; i++)
    server.offer (server.make (true, US_PER_S), &cause);
  EXPECT_LE (intake_server_load (server.intake).running, 20u);
  EXPECT_EQ (0u, server.started.size ());
}

TEST (Intake, TheOldestCallsGoFirstAndBeforeCallers)
{
  Server server;
  cause_t cause;
  auto running = server.fill ();
  intake_entry_t *caller = server.make (false, 4 * US_PER_S);
  intake_entry_t *young = server.make (true, 900 * US_PER_MS);
  intake_entry_t *old = server.make (true, 300 * US_PER_MS);
  for (intake_entry_t *entry : { caller, young, old })
    EXPECT_EQ (INTAKE_QUEUED, server.offer (entry, &cause));
  for (int i = 0; i < 3; i++)
    intake_finish_run (server.intake, running[i], true, server.now_us);
  EXPECT_EQ ((std::vector<intake_entry_t *>{ old, young, caller }),
             server.started);
}

TEST (Intake, WhatCannotEndInTimeIsRefused)
{
  Server server;
  cause_t cause;
  auto running = server.fill ();
  intake_entry_t *late = server.make (true, 100 * US_PER_MS);
  EXPECT_EQ (INTAKE_QUEUED, server.offer (late, &cause));
  server.now_us += 60 * US_PER_MS;
  intake_finish_run (server.intake, running[0], true, server.now_us);
  EXPECT_EQ (CAUSE_WAIT_TOO_LONG, server.refused[late]);
  intake_entry_t *hopeless = server.make (true, 40 * US_PER_MS);
  server.fill ();
  EXPECT_EQ (INTAKE_REFUSED, server.offer (hopeless, &cause));
}

TEST (Intake, ACallerIsRefusedAtOnceWhenItsTurnWouldComeTooLate)
{
  Server server;
  cause_t cause;
  server.fill ();
  for (int i = 0; i < 200; i++)
    server.offer (server.make (true, 10 * US_PER_S), &cause);
  EXPECT_EQ (INTAKE_REFUSED,
             server.offer (server.make (false, US_PER_S), &cause));
  EXPECT_EQ (CAUSE_WAIT_TOO_LONG, cause);
}

struct ShutRow
{
  const char *name;
  intake_server_t server;
  cause_t cause;
};

class Shut : public testing::TestWithParam<ShutRow>
{
};

TEST_P (Shut, RefusesWhatComesAndWhatWaits)
{
  Server server;
  cause_t cause;
  server.fill ();
  intake_entry_t *waiting = server.make (true, US_PER_S);
  EXPECT_EQ (INTAKE_QUEUED, server.offer (waiting, &cause));
  intake_set_server (server.intake, &GetParam ().server, server.now_us);
  EXPECT_EQ (GetParam ().cause, server.refused[waiting]);
  EXPECT_EQ (INTAKE_REFUSED,
             server.offer (server.make (true, US_PER_S), &cause));
  EXPECT_EQ (GetParam ().cause, cause);
}

const ShutRow shut_rows[] = {
  { "Leaving", { 20, true, true, false, 0, 0 }, CAUSE_LEAVING },
  { "ZoneOut", { 20, true, false, true, 0, 0 }, CAUSE_ZONE_EVACUATED },
  { "Lost", { 20, false, false, false, 0, 0 }, CAUSE_NO_SERVER },
};

INSTANTIATE_TEST_SUITE_P (Table, Shut, testing::ValuesIn (shut_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST (Intake, AColdServerGetsNoMoreThanItBears)
{
  Server server;
  cause_t cause;
  server.server.cold_start_until_us = server.now_us + 5 * US_PER_S;
  server.server.cold_start_rate_per_s = 50;
  intake_set_server (server.intake, &server.server, server.now_us);
  std::deque<int64_t> starts;
  size_t seen = 0;
  size_t most = 0;
  for (int ms = 0; ms < 3000; ms++)
    {
      server.now_us += US_PER_MS;
      intake_entry_t *entry = server.make (true, US_PER_S, US_PER_MS);
      if (server.offer (entry, &cause) == INTAKE_STARTED)
        server.started.push_back (entry);
      intake_tick (server.intake, server.now_us);
      for (; seen < server.started.size (); seen++)
        {
          starts.push_back (server.now_us);
          intake_finish_run (server.intake, server.started[seen], true,
                             server.now_us);
        }
      while (!starts.empty () && starts.front () <= server.now_us - US_PER_S)
        starts.pop_front ();
      most = std::max (most, starts.size ());
    }
  EXPECT_LE (most, 80u); /* 50 a second, half more, and five */
  EXPECT_GE (most, 50u);
}

/* Replays a narrow service deep in the tree: twice the calls that it can
   run.  */
TEST (Intake, PressureRisesUnderTooManyCallsAndFallsAgain)
{
  Server server;
  cause_t cause;
  std::vector<intake_entry_t *> running;
  auto second = [&] (int calls_per_ms) {
    for (int ms = 0; ms < 1000; ms++)
      {
        server.now_us += US_PER_MS;
        for (int i = 0; i < calls_per_ms; i++)
          {
            intake_entry_t *entry = server.make (true, 700 * US_PER_MS);
            if (server.offer (entry, &cause) == INTAKE_STARTED)
              server.started.push_back (entry);
          }
        for (auto at = server.started.begin (); at != server.started.end ();)
          if (server.now_us - (*at)->started_us >= 50 * US_PER_MS)
            {
              intake_entry_t *entry = *at;
              at = server.started.erase (at);
              size_t index = at - server.started.begin ();
              intake_finish_run (server.intake, entry, true, server.now_us);
              at = server.started.begin () + index;
            }
          else
            at++;
        intake_tick (server.intake, server.now_us);
      }
    return intake_server_load (server.intake).pressure_permille;
  };
  EXPECT_EQ (0u, second (0));
  second (1);
  uint32_t high = second (1);
  EXPECT_GT (high, 300u);
  for (int i = 0; i < 6; i++)
    second (0);
  EXPECT_EQ (0u, second (0));
}

/* Replays a narrow service deep in the tree whose callers obey its pressure.
   What is admitted shows as calls a tree's time later.  */
struct Loop
{
  static const int RUN_MS = 50;
  static const int TREE_MS = 400; /* from the entry to the narrow service */
  Server server;
  std::deque<double> admitted; /* of each millisecond, the latest last */
  std::vector<intake_entry_t *> running;
  double owed = 0; /* calls that are due and not whole yet */
  int64_t busy_us = 0;

  Loop () : admitted (TREE_MS, 1) {}
  /* One second of DEMAND calls a millisecond before what is refused.  Returns
     the share of the slots that was in use.  */
  double
  second (double demand)
  {
    busy_us = 0;
    for (int ms = 0; ms < 1000; ms++)
      {
        cause_t cause;
        server.now_us += US_PER_MS;
        uint32_t pressure
            = intake_server_load (server.intake).pressure_permille;
        admitted.push_back (1 - pressure / 1000.0);
        owed += demand * admitted.front ();
        admitted.pop_front ();
        for (; owed >= 1; owed--)
          {
            intake_entry_t *entry = server.make (true, 700 * US_PER_MS);
            if (server.offer (entry, &cause) == INTAKE_STARTED)
              server.started.push_back (entry);
          }
        end_runs ();
        intake_tick (server.intake, server.now_us);
        busy_us += server.started.size () * US_PER_MS;
      }
    return (double)busy_us / US_PER_S
           / intake_server_load (server.intake).window;
  }
  void
  end_runs ()
  {
    std::vector<intake_entry_t *> before;
    before.swap (server.started);
    for (intake_entry_t *entry : before)
      if (server.now_us - entry->started_us < RUN_MS * US_PER_MS)
        running.push_back (entry);
      else
        intake_finish_run (server.intake, entry, true, server.now_us);
    for (intake_entry_t *entry : running)
      server.started.push_back (entry);
    running.clear ();
  }
};

/* After a cold start, or when other servers are back, the slots are idle
   while the pressure is still high: what could run must not be refused for
   long.  */
TEST (IntakeLoop, IdleSlotsAreFilledAgainWithinThreeSeconds)
{
  Loop loop;
  for (int i = 0; i < 12; i++)
    loop.second (4); /* ten times what the slots run */
  EXPECT_GT (intake_server_load (loop.server.intake).pressure_permille, 800u);
  double used = 0;
  for (int i = 0; i < 4; i++)
    used = loop.second (0.3); /* three quarters of it */
  EXPECT_GT (used, 0.7);
}

/* Half more than the slots run, for long.  */
TEST (IntakeLoop, SlotsStayInUseUnderASteadySurplus)
{
  Loop loop;
  for (int i = 0; i < 6; i++)
    loop.second (0.57);
  double used = 0;
  for (int i = 0; i < 10; i++)
    used += loop.second (0.57) / 10;
  EXPECT_GT (used, 0.9);
}

/* A server that was eight times as slow gets few runs, so its word on itself
   must not outlast its slowness.  */
TEST (Intake, ASlowServerThatRunsNothingIsTriedAgain)
{
  Server server;
  cause_t cause;
  for (int i = 0; i < 200; i++)
    {
      intake_entry_t *entry = server.make (true, 2 * US_PER_S);
      ASSERT_EQ (INTAKE_STARTED, server.offer (entry, &cause));
      server.now_us += 400 * US_PER_MS;
      intake_finish_run (server.intake, entry, true, server.now_us);
    }
  EXPECT_GT (intake_server_load (server.intake).slowdown_permille, 6000u);
  for (int ms = 0; ms < 10000; ms += 50)
    {
      server.now_us += 50 * US_PER_MS;
      intake_tick (server.intake, server.now_us);
    }
  EXPECT_LT (intake_server_load (server.intake).slowdown_permille, 2000u);
}

/* --- what calls what --------------------------------------------------- */

struct Learnt
{
  std::map<std::string, double> ratios;
  static void
  visit (void *ctx, const char *caller, const char *callee, double ratio)
  {
    ((Learnt *)ctx)->ratios[std::string (caller) + ">" + callee] = ratio;
  }
};

TEST (CallLearner, TellsRoutesOfOneServerApart)
{
  call_learner_t *learner = call_learner_new ();
  rng_t rng = rng_seeded (7);
  int64_t now_us = US_PER_S;
  call_learner_tick (learner, now_us);
  for (int second = 0; second < 60; second++)
    {
      /* Ledger runs make five lookups each; payments make none.  */
      int ledgers = 20 + (int)rng_below (&rng, 20);
      int payments = (int)rng_below (&rng, 10);
      for (int i = 0; i < ledgers; i++)
        call_learner_record_run (learner, "ledger");
      for (int i = 0; i < payments; i++)
        call_learner_record_run (learner, "payment");
      for (int i = 0; i < ledgers * 5; i++)
        call_learner_record_call (learner, "lookup");
      call_learner_tick (learner, now_us += US_PER_S);
    }
  Learnt learnt;
  call_learner_visit_ratios (learner, Learnt::visit, &learnt);
  EXPECT_NEAR (5, learnt.ratios["ledger>lookup"], 0.3);
  EXPECT_LT (learnt.ratios["payment>lookup"], 1);
  call_learner_free (learner);
  rng_seeded_free (&rng);
}

TEST (CallLearner, CountsTheAverageUntilItKnowsBetter)
{
  call_learner_t *learner = call_learner_new ();
  int64_t now_us = US_PER_S;
  call_learner_tick (learner, now_us);
  for (int second = 0; second < 2; second++)
    {
      for (int i = 0; i < 2; i++)
        call_learner_record_run (learner, "rare");
      for (int i = 0; i < 8; i++)
        call_learner_record_run (learner, "usual");
      for (int i = 0; i < 10; i++)
        call_learner_record_call (learner, "lookup");
      call_learner_tick (learner, now_us += US_PER_S);
    }
  Learnt learnt;
  call_learner_visit_ratios (learner, Learnt::visit, &learnt);
  EXPECT_NEAR (1, learnt.ratios["rare>lookup"], 0.3);
  EXPECT_NEAR (1, learnt.ratios["usual>lookup"], 0.3);
  /* A single run tells nothing of its route.  */
  call_learner_record_run (learner, "once");
  call_learner_tick (learner, now_us += US_PER_S);
  call_learner_visit_ratios (learner, Learnt::visit, &learnt);
  EXPECT_EQ (0u, learnt.ratios.count ("once>lookup"));
  call_learner_free (learner);
}

TEST (CallGraph, FollowsTreesAndForgets)
{
  call_graph_t *graph = call_graph_new ();
  call_edge_t edges[] = { { "browse", "bale", 2, 300000 },
                          { "bale", "ledger", 1, 280000 },
                          { "ledger", "price", 5, 55000 },
                          { "loop", "loop", 1, 1 } };
  for (const call_edge_t &edge : edges)
    call_graph_update (graph, &edge, US_PER_S);
  std::map<std::string, double> runs;
  auto visit = [] (void *ctx, const char *route, double count, double) {
    (*(std::map<std::string, double> *)ctx)[route] += count;
  };
  call_graph_visit_callees (graph, "browse", 2 * US_PER_S, visit, &runs);
  EXPECT_EQ (2, runs["bale"]);
  EXPECT_EQ (2, runs["ledger"]);
  EXPECT_EQ (10, runs["price"]);
  call_graph_visit_callees (graph, "loop", 2 * US_PER_S, visit, &runs);
  EXPECT_LE (runs["loop"], 8);
  EXPECT_TRUE (call_graph_is_leaf (graph, "price", 2 * US_PER_S));
  EXPECT_FALSE (call_graph_is_leaf (graph, "browse", 2 * US_PER_S));
  EXPECT_TRUE (call_graph_is_leaf (graph, "browse", 60 * US_PER_S));
  call_graph_free (graph);
}

/* --- the backend server ------------------------------------------------ */

struct NewsRow
{
  const char *name;
  server_announcement_t first;
  server_announcement_t second;
  announcement_result_t verdict;
  const char *id; /* believed afterwards */
  bool known;
};

server_announcement_t
news (const char *id, uint64_t born_ms, uint64_t sequence,
      server_state_t state = SERVER_READY, const char *service = "s")
{
  server_announcement_t made = {};
  snprintf (made.id, sizeof made.id, "%s", id);
  snprintf (made.service, sizeof made.service, "%s", service);
  made.started_unix_ms = born_ms;
  made.sequence = sequence;
  made.slots = 8;
  made.state = state;
  return made;
}

class News : public testing::TestWithParam<NewsRow>
{
};

TEST_P (News, IsTakenInTheRightOrder)
{
  server_view_t view;
  server_view_init (&view, "s");
  server_view_apply_announcement (&view, &GetParam ().first, US_PER_S);
  EXPECT_EQ (GetParam ().verdict, server_view_apply_announcement (
                                      &view, &GetParam ().second, US_PER_S));
  EXPECT_STREQ (GetParam ().id, view.id);
  EXPECT_EQ (GetParam ().known, server_view_is_available (&view));
}

const NewsRow news_rows[] = {
  { "Next", news ("i", 5, 1), news ("i", 5, 2), ANNOUNCEMENT_UNCHANGED, "i",
    true },
  { "Late", news ("i", 5, 2), news ("i", 5, 1), ANNOUNCEMENT_STALE, "i",
    true },
  { "OfADeadIncarnation", news ("j", 9, 1), news ("i", 5, 8),
    ANNOUNCEMENT_STALE, "j", true },
  { "OfANewIncarnation", news ("i", 5, 8), news ("j", 9, 1),
    ANNOUNCEMENT_CHANGED, "j", true },
  { "SameIdStartedAgain", news ("i", 5, 8), news ("i", 9, 1),
    ANNOUNCEMENT_CHANGED, "i", true },
  { "Leaves", news ("i", 5, 1), news ("i", 5, 2, SERVER_LEAVING),
    ANNOUNCEMENT_CHANGED, "i", true },
  { "Gone", news ("i", 5, 1), news ("i", 0, 0, SERVER_GONE),
    ANNOUNCEMENT_CHANGED, "i", false },
  { "AfterItsFarewell", news ("i", 0, 0, SERVER_GONE), news ("i", 0, 7),
    ANNOUNCEMENT_STALE, "i", false },
  { "FarewellOfAnother", news ("j", 9, 1), news ("i", 0, 0, SERVER_GONE),
    ANNOUNCEMENT_STALE, "j", true },
  { "OfAnotherService", news ("i", 5, 1), news ("j", 9, 1, SERVER_READY, "t"),
    ANNOUNCEMENT_WRONG_SERVICE, "i", true },
};

INSTANTIATE_TEST_SUITE_P (Table, News, testing::ValuesIn (news_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST (Probes, AFreshProcessUsesAServerOnlyWhenItIsWell)
{
  server_view_t view;
  server_view_init (&view, "s");
  view.cold_start_us = 3 * US_PER_S;
  server_probe_t failing = { false, "i", 8, -1 };
  server_probe_t well = { true, "i", 8, -1 };
  EXPECT_FALSE (server_view_apply_probe (&view, &failing, US_PER_S));
  EXPECT_FALSE (server_view_is_available (&view));
  EXPECT_TRUE (server_view_apply_probe (&view, &well, US_PER_S));
  EXPECT_TRUE (server_view_is_available (&view));
  /* Cold until told otherwise.  */
  EXPECT_EQ (4 * US_PER_S, view.cold_start_until_us);
}

TEST (Probes, AServerThatHasLeftStaysOutWhateverItsHealth)
{
  server_view_t view;
  server_view_init (&view, "s");
  server_announcement_t there = news ("i", 5, 1);
  server_announcement_t gone = news ("i", 0, 0, SERVER_GONE);
  server_probe_t well = { true, "i", 8, 0 };
  server_view_apply_announcement (&view, &there, US_PER_S);
  server_view_apply_announcement (&view, &gone, US_PER_S);
  EXPECT_FALSE (server_view_apply_probe (&view, &well, US_PER_S));
  EXPECT_FALSE (server_view_is_available (&view));
}

/* --- fleet ------------------------------------------------------------- */

/* A service's servers are replaced: the new ones are cold and full of the few
   requests that they bear, the others have room.  */
TEST (Fleet, ColdServersDoNotPressForTheWarmOnes)
{
  rng_t rng = rng_seeded (3);
  placement_t *placement = placement_new ("z1", &rng, 0);
  Server cold;
  cause_t cause;
  cold.server.slots = 36;
  cold.server.cold_start_until_us = cold.now_us + 3 * US_PER_S;
  cold.server.cold_start_rate_per_s = 4.4;
  intake_set_server (cold.intake, &cold.server, cold.now_us);
  for (int ms = 0; ms < 2000; ms++)
    {
      cold.now_us += US_PER_MS;
      if (ms % 100 == 0)
        cold.offer (cold.make (true, 700 * US_PER_MS), &cause);
      intake_tick (cold.intake, cold.now_us);
    }
  server_load_t load = intake_server_load (cold.intake);
  EXPECT_GT (load.pressure_permille, 300u);
  placement_server_t server = { 1, 1, "s", "z1", "i1", 36, true, load };
  placement_update_server (placement, &server, US_PER_S);
  server = { 2, 1, "s", "z1", "i2", 36, true, { 10, 0, 34, 0, 1000 } };
  placement_update_server (placement, &server, US_PER_S);
  EXPECT_LT (placement_service_pressure (placement, "s", US_PER_S), 0.05);
  placement_free (placement);
  rng_seeded_free (&rng);
}

TEST (Fleet, PicksWhatAcceptsAndAddsUpPressureBySlots)
{
  rng_t rng = rng_seeded (3);
  placement_t *placement = placement_new ("z1", &rng, 0);
  placement_server_t server
      = { 1, 1, "s", "z1", "i1", 10, true, { 0, 0, 10, 900, 0 } };
  placement_update_server (placement, &server, US_PER_S);
  server = { 2, 1, "s", "z2", "i2", 30, true, { 0, 0, 30, 100, 0 } };
  placement_update_server (placement, &server, US_PER_S);
  EXPECT_NEAR (0.3, placement_service_pressure (placement, "s", US_PER_S),
               0.001);
  EXPECT_EQ (2u, placement_accepting_count (placement, "s"));
  placement_set_unreachable (placement, 1, US_PER_S);
  vm_id_t vm = 0;
  for (int i = 0; i < 20; i++)
    {
      ASSERT_TRUE (
          placement_pick_server (placement, "s", NULL, 0, US_PER_S, &vm));
      EXPECT_EQ (2u, vm);
    }
  EXPECT_FALSE (placement_pick_server (placement, "s", &vm, 1, US_PER_S, &vm));
  EXPECT_FALSE (
      placement_pick_server (placement, "t", NULL, 0, US_PER_S, &vm));
  placement_free (placement);
  rng_seeded_free (&rng);
}
}
