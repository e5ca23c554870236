/* The limit of an account whose requests arrive at all sidecars.  Guards
   against sidecars that each spend what the others have not reported yet, an
   overrun that grows with the number of sidecars, and against demand that each
   sidecar reports but no longer has, which is refused at many sidecars
   although it is within the limit.  */

#include <gtest/gtest.h>

extern "C"
{
#include "mesh/quota.h"
#include "rng.h"
}

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

namespace
{
const int64_t WINDOW_US = 5 * US_PER_S;
const int64_t STEP_US = 10 * US_PER_MS;
const size_t ZONE_COUNT = 4;
const int64_t SILENCE_US = US_PER_S; /* after which a link is lost */
/* Sidecars report to the other zones in every second period.  */
const int CROSS_ZONE_PERIODS = 2;

double
exponential (rng_t *rng)
{
  return -log (1 - rng_unit (rng));
}

/* Sidecars whose periods begin at different times, in zones.  */
class Fleet
{
public:
  std::vector<quota_t *> quotas;
  int refused = 0;
  int offered = 0;
  int max_in_window = 0;
  /* Refused by a limiter that knows of all requests at once.  */
  int refused_by_exact_limit = 0;

  Fleet (size_t count, double rate, double burst)
      : pending (count), window_limit (rate * WINDOW_US / US_PER_S + burst)
  {
    for (size_t i = 0; i < count; i++)
      {
        quota_t *quota = quota_new (WINDOW_US);
        quota_set_member_count (quota, (uint32_t)count);
        quota_set_limit (quota, "a", rate, burst);
        quotas.push_back (quota);
        next_tick_us.push_back (
            now_us + (int64_t)(rng_unit (&rng) * QUOTA_PERIOD_US));
        tick_counts.push_back ((int)rng_below (&rng, CROSS_ZONE_PERIODS));
      }
  }
  ~Fleet ()
  {
    for (quota_t *quota : quotas)
      quota_free (quota);
    rng_seeded_free (&rng);
  }
  Fleet (const Fleet &) = delete;
  Fleet &operator= (const Fleet &) = delete;

  /* Stops the first COUNT sidecars.  Their callers' requests wait.  */
  void
  pause (size_t count)
  {
    paused_count = count;
    cut_off_us = now_us + SILENCE_US;
  }
  /* The requests that wait are handled before anything that the others have
     sent.  */
  void
  resume ()
  {
    size_t count = paused_count;
    paused_count = 0;
    for (; waiting_count > 0; waiting_count--)
      arrive_at (rng_below (&rng, count));
  }
  /* Requests arrive as a Poisson process at random sidecars.  */
  void
  run (double seconds, double rate_per_s)
  {
    int64_t end_us = now_us + (int64_t)(seconds * US_PER_S);
    double next_us = now_us + exponential (&rng) / rate_per_s * US_PER_S;
    while (now_us < end_us)
      {
        now_us += STEP_US;
        for (; next_us < now_us;
             next_us += exponential (&rng) / rate_per_s * US_PER_S)
          arrive ();
        if (paused_count > 0 && now_us >= cut_off_us)
          lose_links ();
        for (size_t i = paused_count; i < quotas.size (); i++)
          if (next_tick_us[i] <= now_us)
            tick (i);
      }
  }

private:
  rng_t rng = rng_seeded (5);
  int64_t now_us = US_PER_S;
  std::vector<int64_t> next_tick_us;
  std::vector<int> tick_counts;
  std::vector<std::vector<quota_report_t>> pending; /* for other zones */
  std::deque<int64_t> admitted_us;
  double window_limit;
  std::deque<int64_t> exactly_admitted_us;
  size_t paused_count = 0;
  int waiting_count = 0;
  int64_t cut_off_us = 0; /* when the links to paused sidecars are lost */

  void
  lose_links ()
  {
    cut_off_us = INT64_MAX;
    for (size_t i = paused_count; i < quotas.size (); i++)
      for (size_t j = 0; j < paused_count; j++)
        quota_set_unreachable (quotas[i], j + 1, true);
  }
  void
  arrive ()
  {
    size_t sidecar = rng_below (&rng, quotas.size ());
    if (sidecar < paused_count)
      waiting_count++;
    else
      arrive_at (sidecar);
  }
  void
  apply_exact_limit ()
  {
    while (!exactly_admitted_us.empty ()
           && exactly_admitted_us.front () <= now_us - WINDOW_US)
      exactly_admitted_us.pop_front ();
    if (exactly_admitted_us.size () + 1 > window_limit)
      refused_by_exact_limit++;
    else
      exactly_admitted_us.push_back (now_us);
  }
  void
  arrive_at (size_t sidecar)
  {
    offered++;
    apply_exact_limit ();
    if (!quota_acquire (quotas[sidecar], "a", now_us))
      {
        refused++;
        return;
      }
    admitted_us.push_back (now_us);
    while (admitted_us.front () <= now_us - WINDOW_US)
      admitted_us.pop_front ();
    max_in_window = std::max (max_in_window, (int)admitted_us.size ());
  }
  void
  deliver (size_t from, bool same_zone,
           const std::vector<quota_report_t> &reports)
  {
    for (size_t to = 0; to < quotas.size (); to++)
      {
        if (to == from || to < paused_count
            || (to % ZONE_COUNT == from % ZONE_COUNT) != same_zone)
          continue;
        for (const quota_report_t &report : reports)
          quota_apply_report (quotas[to], from + 1, 1, &report);
        quota_set_unreachable (quotas[to], from + 1, false);
      }
  }
  void
  tick (size_t index)
  {
    std::vector<quota_report_t> reports;
    quota_tick (
        quotas[index], now_us, rng_unit (&rng), false,
        [] (void *ctx, const quota_report_t *report) {
          ((std::vector<quota_report_t> *)ctx)->push_back (*report);
        },
        &reports);
    next_tick_us[index] += QUOTA_PERIOD_US;
    deliver (index, true, reports);
    if (!reports.empty ())
      pending[index] = reports;
    if (++tick_counts[index] % CROSS_ZONE_PERIODS != 0)
      return;
    deliver (index, false, pending[index]);
    pending[index].clear ();
  }
};

/* Largest number of requests in a window: the users accept 10 % and 20
   requests above the limit.  */
int
max_allowed (double rate, double burst)
{
  return (int)((rate * 5 + burst) * 1.1 + 20);
}

struct SurgeRow
{
  const char *name;
  size_t sidecar_count;
  double rate; /* and burst */
  double usual_per_s;
  double surge_per_s;
};

class Surge : public testing::TestWithParam<SurgeRow>
{
};

TEST_P (Surge, StaysWithinTheLimitAtAnyNumberOfSidecars)
{
  const SurgeRow &row = GetParam ();
  Fleet fleet (row.sidecar_count, row.rate, row.rate);
  fleet.run (8, row.usual_per_s);
  fleet.max_in_window = 0;
  fleet.run (4, row.surge_per_s);
  EXPECT_LE (fleet.max_in_window, max_allowed (row.rate, row.rate));
}

const SurgeRow surge_rows[] = {
  { "Few", 12, 221, 235, 1533 },
  { "Tens", 77, 221, 235, 1533 },
  { "Hundreds", 300, 221, 235, 1533 },
  { "FewFromUsual", 12, 221, 138, 1533 },
  { "TensFromUsual", 77, 221, 138, 1533 },
  { "HundredsFromUsual", 300, 221, 138, 1533 },
  { "SmallAtFew", 12, 20, 21, 140 },
  { "SmallAtTens", 77, 20, 21, 140 },
  { "SmallAtHundreds", 300, 20, 21, 140 },
  { "MediumAtTens", 77, 60, 64, 420 },
  { "MediumAtHundreds", 300, 60, 64, 420 },
};

INSTANTIATE_TEST_SUITE_P (Table, Surge, testing::ValuesIn (surge_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

struct PauseRow
{
  const char *name;
  size_t paused_count; /* of 77 */
  double seconds;
  double usual_per_s;
  double later_per_s; /* once some are paused */
};

class Pause : public testing::TestWithParam<PauseRow>
{
};

/* Some sidecars are paused while the others go on, and then act on what they
   were allowed before.  */
TEST_P (Pause, AllowanceOfAPausedSidecarHasExpired)
{
  const PauseRow &row = GetParam ();
  const double RATE = 221;
  Fleet fleet (77, RATE, RATE);
  fleet.run (8, row.usual_per_s);
  fleet.max_in_window = 0;
  fleet.pause (row.paused_count);
  fleet.run (row.seconds, row.later_per_s);
  fleet.resume ();
  fleet.run (4, row.later_per_s);
  EXPECT_LE (fleet.max_in_window, max_allowed (RATE, RATE));
}

const PauseRow pause_rows[] = {
  { "HalfBriefly", 38, 0.9, 210, 800 },
  { "HalfForSeconds", 38, 4, 210, 800 },
  { "MostForSeconds", 70, 4, 210, 800 },
  { "FewForSeconds", 7, 4, 210, 800 },
  { "HalfWithoutSurge", 38, 4, 210, 250 },
};

INSTANTIATE_TEST_SUITE_P (Table, Pause, testing::ValuesIn (pause_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

struct WithinRow
{
  const char *name;
  size_t sidecar_count;
  double rate; /* and burst */
  double arrivals_per_s;
  double max_refused_share;
};

class Within : public testing::TestWithParam<WithinRow>
{
};

TEST_P (Within, RefusesHardlyAnyRequestWithinTheLimit)
{
  const WithinRow &row = GetParam ();
  Fleet fleet (row.sidecar_count, row.rate, row.rate);
  fleet.run (8, row.arrivals_per_s);
  fleet.refused = 0;
  fleet.offered = 0;
  fleet.refused_by_exact_limit = 0;
  fleet.run (12, row.arrivals_per_s);
  EXPECT_LE (fleet.refused - fleet.refused_by_exact_limit,
             row.max_refused_share * fleet.offered);
}

const WithinRow within_rows[] = {
  { "Usual", 77, 221, 138, 0.005 },
  { "UsualAtHundreds", 300, 221, 138, 0.005 },
  { "NearTheLimit", 77, 221, 210, 0.02 },
  { "NearTheLimitAtHundreds", 300, 221, 210, 0.02 },
  { "AtTheLimit", 77, 221, 230, 0.08 },
  { "AtTheLimitAtHundreds", 300, 221, 230, 0.08 },
  { "SmallUsual", 77, 20, 12.5, 0.005 },
  { "SmallUsualAtHundreds", 300, 20, 12.5, 0.01 },
  { "SmallNearTheLimit", 77, 20, 19, 0.05 },
  { "SmallInABurst", 77, 20, 21.2, 0.05 },
  { "TinyUsual", 77, 4, 2.5, 0.005 },
  { "TinyInABurst", 77, 4, 4.2, 0.05 },
  { "MediumInABurst", 77, 60, 63.6, 0.05 },
};

INSTANTIATE_TEST_SUITE_P (Table, Within, testing::ValuesIn (within_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
