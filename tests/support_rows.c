#include "support_rows.h"

#include <math.h>
#include <stdlib.h>

#include "clock.h"

enum
{
  DEADLINE_MEANS = 6,  /* deadline, in mean service times */
  SURGE_US = US_PER_S, /* start of a surge */
  CALLER_TRIES = 4
};

const deployment_t deployments[] = {
  { "planning", 4, 230, 1500, 300 * US_PER_MS, true },
  { "dispatch", 3, 300, 1900, 300 * US_PER_MS, true },
  { "geotech", 3, 40, 300, 100 * US_PER_MS, false },
  { "catalogue", 3, 35, 300, 100 * US_PER_MS, false },
  { "orders", 3, 15, 200, 100 * US_PER_MS, false },
};
const size_t deployment_count = sizeof deployments / sizeof *deployments;

static void
build_base (const deployment_t *deployment, load_case_t *set)
{
  *set = (load_case_t){ .depth = 1, .tries = CALLER_TRIES };
  set->servers = deployment->servers;
  set->slots = deployment->slots;
  set->connections = deployment->connections;
  set->service_us = deployment->service_us;
  set->deadline_us = DEADLINE_MEANS * deployment->service_us;
}

static load_step_t
demand_step (int64_t at_us, double demand)
{
  return (load_step_t){ at_us, STEP_DEMAND, 0, 0, demand };
}

static void
build_surge (const deployment_t *deployment, load_case_t *set, double demand)
{
  build_base (deployment, set);
  /* Few slots serve few requests: more time for as sure a figure.  */
  set->length_us = (deployment->large ? 4 : 8) * US_PER_S;
  set->steps[0] = demand_step (0, 0.8);
  set->steps[1] = demand_step (SURGE_US, demand);
}

static void
build_surge_2 (const deployment_t *deployment, load_case_t *set)
{
  build_surge (deployment, set, 2);
}

static void
build_surge_5 (const deployment_t *deployment, load_case_t *set)
{
  build_surge (deployment, set, 5);
}

static void
build_surge_10 (const deployment_t *deployment, load_case_t *set)
{
  build_surge (deployment, set, 10);
}

/* Share of capacity that came as good answers, a second into the surge.  */
static double
measure_goodput (const load_case_t *set, uint64_t seed)
{
  load_result_t result;
  load_run (set, seed, &result);
  return load_goodput (&result, 2 * SURGE_US, set->length_us);
}

static void
no_limit (load_case_t *set)
{
  set->executor.no_limit = true;
}

static void
build_important (const deployment_t *deployment, load_case_t *set)
{
  build_surge (deployment, set, 5);
  set->length_us = 8 * US_PER_S;
  set->important = 0.6;
}

static double
measure_important (const load_case_t *set, uint64_t seed)
{
  load_result_t result;
  load_run (set, seed, &result);
  return (double)result.important_in_time / (double)result.important_sent;
}

static void
no_order (load_case_t *set)
{
  set->executor.fifo = true;
}

static void
build_surge_end (const deployment_t *deployment, load_case_t *set)
{
  build_base (deployment, set);
  set->length_us = 80 * (int64_t)US_PER_S;
  set->steps[0] = demand_step (0, 0.7);
  set->steps[1] = demand_step (5 * US_PER_S, 5);
  set->steps[2] = demand_step (65 * (int64_t)US_PER_S, 0.7);
}

/* Whether one second looks like the seconds before the surge.  */
static bool
is_normal (const load_result_t *result, int64_t from_us, double latency_us)
{
  double good = 0;
  double failed = 0;
  double sum_us = 0;
  int64_t first = from_us / LOAD_BUCKET_US;
  for (int64_t i = first; i < first + US_PER_S / LOAD_BUCKET_US; i++)
    {
      good += result->bucket_good[i];
      failed += result->bucket_failed[i];
      sum_us += result->bucket_latency_us[i];
    }
  return good > 0 && failed <= 0.02 * good
         && sum_us / good <= 1.3 * latency_us;
}

/* Seconds from the end of the surge until all is normal and stays so.  */
static double
measure_recovery (const load_case_t *set, uint64_t seed)
{
  load_result_t *result = malloc (sizeof *result);
  int64_t end_us = set->steps[2].at_us;
  int64_t at_us = set->length_us - 2 * (int64_t)US_PER_S;
  double good = 0;
  double sum_us = 0;

  load_run (set, seed, result);
  for (int64_t i = US_PER_S / LOAD_BUCKET_US;
       i < set->steps[1].at_us / LOAD_BUCKET_US; i++)
    {
      good += result->bucket_good[i];
      sum_us += result->bucket_latency_us[i];
    }
  while (at_us > end_us && is_normal (result, at_us, sum_us / good))
    at_us -= LOAD_BUCKET_US;
  free (result);
  return (double)(at_us - end_us) / US_PER_S;
}

static void
no_dropping (load_case_t *set)
{
  set->executor.no_sojourn = true;
  set->executor.no_early_refusal = true;
  set->executor.no_level = true;
  set->executor.fifo = true;
}

static void
build_account (const deployment_t *deployment, load_case_t *set)
{
  build_base (deployment, set);
  set->length_us = 12 * US_PER_S;
  set->greedy = 20;
  set->steps[0] = demand_step (0, 0.9 * (set->greedy + LOAD_ACCOUNTS - 1)
                                      / LOAD_ACCOUNTS);
}

/* Least share that an account gets of what it gets without account 0.  */
static double
measure_account (const load_case_t *set, uint64_t seed)
{
  load_case_t alone = *set;
  load_result_t with;
  load_result_t without;
  double least = 1;

  alone.greedy_only_others = true;
  load_run (set, seed, &with);
  load_run (&alone, seed, &without);
  for (int i = 1; i < LOAD_ACCOUNTS; i++)
    {
      double one = (double)with.account_good[i] / (double)with.account_sent[i];
      double other
          = (double)without.account_good[i] / (double)without.account_sent[i];
      least = fmin (least, one / other);
    }
  return least;
}

static void
no_fairness (load_case_t *set)
{
  set->executor.one_flow = true;
  set->executor.no_level = true;
}

static void
build_chain (const deployment_t *deployment, load_case_t *set)
{
  build_base (deployment, set);
  set->depth = LOAD_DEPTH_MAX;
  set->service_us = deployment->service_us / LOAD_DEPTH_MAX;
  set->length_us = 12 * US_PER_S;
  set->steps[0] = demand_step (0, 0.8);
  for (uint32_t i = 0; i < deployment->servers; i++)
    {
      set->steps[1 + i]
          = (load_step_t){ 2 * US_PER_S, STEP_SLOW, LOAD_DEPTH_MAX - 1, i, 4 };
      set->steps[5 + i]
          = (load_step_t){ 9 * US_PER_S, STEP_SLOW, LOAD_DEPTH_MAX - 1, i, 1 };
    }
}

static double
measure_waste (const load_case_t *set, uint64_t seed)
{
  load_result_t result;
  load_run (set, seed, &result);
  return result.wasted_us / result.work_us;
}

static double
measure_sends (const load_case_t *set, uint64_t seed)
{
  load_result_t result;
  load_run (set, seed, &result);
  return (double)result.sends / (double)result.calls;
}

static void
free_retries (load_case_t *set)
{
  set->free_retries = true;
  set->executor.no_level = true;
}

static void
no_level (load_case_t *set)
{
  set->executor.no_level = true;
}

static void
build_cold (const deployment_t *deployment, load_case_t *set)
{
  build_base (deployment, set);
  set->length_us = 16 * US_PER_S;
  set->start_cold = true;
  set->warm_us = 6 * US_PER_S;
  set->steps[0] = demand_step (0, 0.9);
  set->steps[1] = (load_step_t){ 8 * US_PER_S, STEP_RESTART, 0, 0, 1 };
}

static double
measure_over_borne (const load_case_t *set, uint64_t seed)
{
  load_result_t result;
  load_run (set, seed, &result);
  return (double)result.over_borne;
}

static void
no_coldstart (load_case_t *set)
{
  set->executor.no_coldstart = true;
}

static void
build_zone (const deployment_t *deployment, load_case_t *set)
{
  build_base (deployment, set);
  set->length_us = 24 * US_PER_S;
  set->warm_us = 6 * US_PER_S;
  set->steps[0] = demand_step (0, 0.6);
  set->steps[1] = (load_step_t){ 2 * US_PER_S, STEP_ZONE_OUT, 0, 1, 1 };
  set->steps[2] = (load_step_t){ 12 * US_PER_S, STEP_ZONE_IN, 0, 1, 1 };
}

/* Requests failed after the first 2 s, and starts above what is borne.  */
static double
measure_zone (const load_case_t *set, uint64_t seed)
{
  load_result_t result;
  uint64_t failed = 0;
  load_run (set, seed, &result);
  for (int64_t i = (set->steps[1].at_us + 2 * US_PER_S) / LOAD_BUCKET_US;
       i < set->length_us / LOAD_BUCKET_US; i++)
    failed += result.bucket_failed[i];
  return (double)(failed + result.over_borne);
}

static void
no_ramps (load_case_t *set)
{
  set->choose.no_ramp = true;
  set->executor.no_coldstart = true;
}

static void
no_load_choice (load_case_t *set)
{
  set->choose.no_load_balancing = true;
}

static void
build_reports (const deployment_t *deployment, load_case_t *set, int report)
{
  build_base (deployment, set);
  set->length_us = 6 * US_PER_S;
  set->report = report;
  set->steps[0] = demand_step (0, 1.5);
}

static void
build_report_lag (const deployment_t *deployment, load_case_t *set)
{
  build_reports (deployment, set, 1);
}

static void
build_report_lie (const deployment_t *deployment, load_case_t *set)
{
  build_reports (deployment, set, 2);
}

/* Goodput lost against the same run without reports.  */
static double
measure_report_loss (const load_case_t *set, uint64_t seed)
{
  load_case_t none = *set;
  load_result_t with;
  load_result_t without;
  none.report = 0;
  load_run (set, seed, &with);
  load_run (&none, seed, &without);
  return 1 - (double)with.good / (double)without.good;
}

static void
trust_reports (load_case_t *set)
{
  set->trust_reports = true;
}

static void
build_step (const deployment_t *deployment, load_case_t *set)
{
  build_base (deployment, set);
  set->length_us = 8 * US_PER_S;
  set->steps[0] = demand_step (0, 0.6);
  set->steps[1] = (load_step_t){ 3 * US_PER_S, STEP_SLOW, 0, 0, 10 };
}

/* Share of the sends of WIDTH buckets from FIRST on that go to server 0.  */
static double
server_share (const load_result_t *result, int64_t first, int64_t width)
{
  double to_first = 0;
  double all = 0;
  for (int64_t i = first; i < first + width; i++)
    for (int j = 0; j < LOAD_SERVERS_MAX; j++)
      {
        all += result->bucket_server[i][j];
        to_first += j == 0 ? result->bucket_server[i][j] : 0;
      }
  return all > 0 ? to_first / all : 0;
}

/* Seconds until server 0 gets less than half of its share, for good.  */
static double
measure_step (const load_case_t *set, uint64_t seed)
{
  enum
  {
    WIDTH = 5
  };
  load_result_t result;
  int64_t first = set->steps[1].at_us / LOAD_BUCKET_US;
  int64_t i = set->length_us / LOAD_BUCKET_US - WIDTH;

  load_run (set, seed, &result);
  double normal = server_share (&result, WIDTH, first - WIDTH);
  while (i > first && server_share (&result, i, WIDTH) < normal / 2)
    i--;
  return (double)((i - first) * LOAD_BUCKET_US) / US_PER_S;
}

const row_t rows[] = {
  { "surge-2x", "goodput, share of capacity", "concurrency limit", 0.95, true,
    false, build_surge_2, no_limit, measure_goodput },
  { "surge-5x", "goodput, share of capacity", "concurrency limit", 0.95, true,
    false, build_surge_5, no_limit, measure_goodput },
  { "surge-10x", "goodput, share of capacity", "concurrency limit", 0.95, true,
    false, build_surge_10, no_limit, measure_goodput },
  { "important-in-surge", "important answered in time, share",
    "priority order", 0.999, true, false, build_important, no_order,
    measure_important },
  { "surge-ends", "s until normal", "sojourn, deadline, order and level", 3,
    false, true, build_surge_end, no_dropping, measure_recovery },
  { "account-20x", "least of other accounts, share of alone",
    "fairness of queue and level", 0.98, true, false, build_account,
    no_fairness, measure_account },
  { "chain-7-waste", "wasted work, share", "admission level", 0.05, false,
    true, build_chain, no_level, measure_waste },
  { "chain-7-sends", "sends per request", "retry ratio and level", 1.1, false,
    true, build_chain, free_retries, measure_sends },
  { "cold-start", "starts above what is borne", "cold start window", 0, false,
    false, build_cold, no_coldstart, measure_over_borne },
  { "zone-out-and-back", "failed after 2 s or overloading", "ramps", 0, false,
    false, build_zone, no_ramps, measure_zone },
  { "reports-lag", "goodput lost", "distrust of reports", 0.02, false, false,
    build_report_lag, trust_reports, measure_report_loss },
  { "reports-lie", "goodput lost", "distrust of reports", 0.02, false, false,
    build_report_lie, trust_reports, measure_report_loss },
  { "latency-step", "s until its share has halved", "choice by load", 1, false,
    false, build_step, no_load_choice, measure_step },
};
const size_t row_count = sizeof rows / sizeof *rows;

bool
row_holds (const row_t *row, double figure)
{
  return row->at_least ? figure >= row->bound : figure <= row->bound;
}
