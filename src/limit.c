#include "limit.h"

#include <math.h>
#include <string.h>

#include "clock.h"

enum
{
  LIMIT_MAX_DEFAULT = 20, /* until the server has announced its capacity */
  WINDOW_SAMPLES_MIN = 24,
  SETTLE_LATENCIES = 4,
  WINDOW_MIN_US = 100 * US_PER_MS,
  BASELINE_MAX_AGE_US = 30 * US_PER_S
};

/* Multiple of the baseline tolerated without a cut.  */
static const double LATENCY_TOLERANCE = 1.5;
/* Added to LATENCY_TOLERANCE, divided by the square root of the number of
   samples.  */
static const double LATENCY_NOISE_FACTOR = 2.5;
/* Multiple of the baseline that a cut aims at.  */
static const double CUT_TARGET_FACTOR = 1.1;
/* A cut is effective if it brings the latency below this share of the one
   before.  */
static const double CUT_EFFECTIVE_FACTOR = 0.8;
static const double SHED_FACTOR = 0.9;
/* Multiple of the baseline tolerated without a cut.  */
static const double AIMD_TOLERANCE = 2;
static const double AIMD_DECREASE_FACTOR = 0.9;
static const double GRADIENT_TOLERANCE = 1.5;
static const double GRADIENT_SMOOTHING = 0.2;
static const double LONG_MEAN_WEIGHT = 0.02;

static void
start_window (limit_t *limit, int64_t now_us)
{
  limit->window_start_us = now_us;
  limit->latency_sum_us = 0;
  limit->sample_count = 0;
  limit->in_flight_max = 0;
  limit->shed_in_flight = 0;
}

static double
limit_max (const limit_t *limit)
{
  return limit->announced_max > 0 ? limit->announced_max : LIMIT_MAX_DEFAULT;
}

void
limit_reset (limit_t *limit, int64_t now_us)
{
  limit_algorithm_t algorithm = limit->algorithm;
  uint32_t announced_max = limit->announced_max;

  memset (limit, 0, sizeof *limit);
  limit->algorithm = algorithm;
  limit->announced_max = announced_max;
  limit->ignore_before_us = now_us;
  limit->estimate = limit_max (limit);
  start_window (limit, now_us);
}

void
limit_init (limit_t *limit, limit_algorithm_t algorithm, int64_t now_us)
{
  memset (limit, 0, sizeof *limit);
  limit->algorithm = algorithm;
  limit_reset (limit, now_us);
}

void
limit_set_announced (limit_t *limit, uint32_t slots, uint32_t connections)
{
  uint32_t announced_max = slots;
  if (slots == 0 || (connections > 0 && connections < slots))
    announced_max = connections;
  bool was_at_max = limit->estimate >= limit_max (limit);
  limit->announced_max = announced_max;
  if (was_at_max || limit->estimate > limit_max (limit))
    limit->estimate = limit_max (limit);
}

/* Runs once per window and so adds no cost per request.  */
static void
update_baseline (limit_t *limit, int64_t now_us)
{
  limit->window_means_us[limit->next_window] = limit->last_mean_us;
  limit->window_end_times_us[limit->next_window] = now_us;
  limit->next_window = (limit->next_window + 1) % LIMIT_WINDOW_COUNT;
  double min_us = limit->last_mean_us;
  for (uint32_t i = 0; i < LIMIT_WINDOW_COUNT; i++)
    if (limit->window_means_us[i] > 0 && limit->window_means_us[i] < min_us
        && now_us - limit->window_end_times_us[i] <= BASELINE_MAX_AGE_US)
      min_us = limit->window_means_us[i];
  limit->baseline_us = min_us;
}

void
limit_reset_baseline (limit_t *limit, double mean_us, int64_t now_us)
{
  memset (limit->window_means_us, 0, sizeof limit->window_means_us);
  limit->last_mean_us = mean_us;
  limit->pre_cut_mean_us = 0;
  update_baseline (limit, now_us);
}

static void
increase_estimate (limit_t *limit)
{
  /* Only a limit that was reached gives evidence about a higher one.  */
  if (limit->in_flight_max + 1 >= limit->estimate
      && limit->shed_in_flight == 0)
    limit->estimate += fmax (1, sqrt (limit->estimate) / 2);
}

static void
little_update (limit_t *limit, int64_t now_us)
{
  double noise = LATENCY_NOISE_FACTOR / sqrt (limit->sample_count);
  double allowed_us = limit->baseline_us * (LATENCY_TOLERANCE + noise);

  if (limit->pre_cut_mean_us > 0)
    {
      bool effective = limit->last_mean_us
                       < limit->pre_cut_mean_us * CUT_EFFECTIVE_FACTOR;
      double pre_cut_estimate = limit->pre_cut_estimate;
      limit->pre_cut_mean_us = 0;
      if (!effective)
        {
          limit_reset_baseline (limit, limit->last_mean_us, now_us);
          limit->estimate = pre_cut_estimate;
          return;
        }
    }
  if (limit->last_mean_us <= allowed_us)
    {
      increase_estimate (limit);
      return;
    }
  limit->pre_cut_mean_us = limit->last_mean_us;
  limit->pre_cut_estimate = limit->estimate;
  double target_us = limit->baseline_us * CUT_TARGET_FACTOR;
  limit->estimate = limit->in_flight_max * target_us / limit->last_mean_us;
  limit->ignore_before_us = now_us;
}

static void
gradient_update (limit_t *limit)
{
  if (limit->long_mean_us == 0)
    limit->long_mean_us = limit->last_mean_us;
  limit->long_mean_us
      += (limit->last_mean_us - limit->long_mean_us) * LONG_MEAN_WEIGHT;
  if (limit->long_mean_us > 2 * limit->last_mean_us)
    limit->long_mean_us *= 0.95;
  if (limit->in_flight_max * 2 < limit->estimate)
    return;
  double gradient
      = GRADIENT_TOLERANCE * limit->long_mean_us / limit->last_mean_us;
  gradient = fmax (0.5, fmin (1, gradient));
  double target = limit->estimate * gradient + sqrt (limit->estimate);
  limit->estimate += (target - limit->estimate) * GRADIENT_SMOOTHING;
}

/* Cuts that halved the limit without reducing the latency are undone: the
   latency has another cause, such as a slow downstream service.  */
static void
aimd_update (limit_t *limit, int64_t now_us)
{
  if (limit->last_mean_us <= AIMD_TOLERANCE * limit->baseline_us)
    {
      limit->pre_cut_mean_us = 0;
      if (limit->in_flight_max + 1 >= limit->estimate)
        limit->estimate += 1;
      return;
    }
  if (limit->pre_cut_mean_us == 0)
    {
      limit->pre_cut_mean_us = limit->last_mean_us;
      limit->pre_cut_estimate = limit->estimate;
    }
  limit->estimate *= AIMD_DECREASE_FACTOR;
  if (limit->estimate > limit->pre_cut_estimate / 2)
    return;
  bool effective
      = limit->last_mean_us < limit->pre_cut_mean_us * CUT_EFFECTIVE_FACTOR;
  double pre_cut_estimate = limit->pre_cut_estimate;
  limit->pre_cut_mean_us = 0;
  if (effective)
    return;
  limit_reset_baseline (limit, limit->last_mean_us, now_us);
  limit->estimate = pre_cut_estimate;
}

static void
close_window (limit_t *limit, int64_t now_us)
{
  limit->last_mean_us = (double)limit->latency_sum_us / limit->sample_count;
  update_baseline (limit, now_us);
  if (limit->algorithm == LIMIT_LITTLE)
    little_update (limit, now_us);
  else if (limit->algorithm == LIMIT_GRADIENT)
    gradient_update (limit);
  else if (limit->algorithm == LIMIT_AIMD)
    aimd_update (limit, now_us);
  limit->estimate = fmax (1, fmin (limit->estimate, limit_max (limit)));
  start_window (limit, now_us);
}

/* Soon after ignore_before_us only short runs have ended, so the window must
   last for SETTLE_LATENCIES mean latencies from that time.  */
static bool
window_is_full (const limit_t *limit, int64_t now_us)
{
  if (limit->sample_count < WINDOW_SAMPLES_MIN
      || now_us - limit->window_start_us < WINDOW_MIN_US)
    return false;
  int64_t mean_us = limit->latency_sum_us / limit->sample_count;
  return now_us - limit->ignore_before_us >= SETTLE_LATENCIES * mean_us;
}

/* The server cannot handle as many requests as were in flight.  Refusals of
   requests that were sent before this cut give no new information.  */
static void
reduce_after_refusal (limit_t *limit, uint32_t in_flight, int64_t now_us)
{
  limit->shed_in_flight = in_flight;
  limit->ignore_before_us = now_us + 1;
  if (limit->algorithm != LIMIT_FIXED)
    limit->estimate
        = fmax (1, fmin (limit->estimate, in_flight * SHED_FACTOR));
}

void
limit_record_run (limit_t *limit, run_result_t result, int64_t latency_us,
                  uint32_t in_flight, int64_t now_us)
{
  if (in_flight > limit->in_flight_max)
    limit->in_flight_max = in_flight;
  if (result == RUN_SHED && now_us - latency_us >= limit->ignore_before_us)
    reduce_after_refusal (limit, in_flight, now_us);
  if ((result == RUN_OK || result == RUN_FAILED)
      && now_us - latency_us >= limit->ignore_before_us)
    {
      limit->latency_sum_us += latency_us;
      limit->sample_count++;
    }
  if (window_is_full (limit, now_us))
    close_window (limit, now_us);
}

uint32_t
limit_get (const limit_t *limit)
{
  double max = limit_max (limit);
  if (limit->algorithm == LIMIT_FIXED)
    return (uint32_t)max;
  double current = fmax (1, fmin (limit->estimate, max));
  return (uint32_t)current;
}

int64_t
limit_mean_latency_us (const limit_t *limit)
{
  return (int64_t)limit->last_mean_us;
}
