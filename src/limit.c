#include "limit.h"

#include <math.h>
#include <string.h>

#include "clock.h"

enum
{
  LIMIT_DEFAULT = 20, /* before a server has announced anything */
  WINDOW_SAMPLES = 24,
  SETTLE_MEANS = 4,
  WINDOW_LEAST_US = 100 * US_PER_MS,
  BASE_AGE_US = 30 * US_PER_S
};

static const double LATENCY_TOLERANCE = 1.5; /* of the base, before a cut */
static const double LATENCY_NOISE = 2.5; /* more of it, by root of samples */
static const double CUT_TARGET = 1.1;    /* of the base, after a cut */
static const double CUT_HELPED = 0.8;    /* of the latency before the cut */
static const double SHED_FACTOR = 0.9;
static const double AIMD_TOLERANCE = 2; /* of the base, before a cut */
static const double AIMD_FACTOR = 0.9;
static const double GRADIENT_TOLERANCE = 1.5;
static const double GRADIENT_SMOOTHING = 0.2;
static const double LONG_WEIGHT = 0.02;

static void
window_start (limit_t *limit, int64_t now_us)
{
  limit->window_us = now_us;
  limit->latency_sum_us = 0;
  limit->samples = 0;
  limit->in_flight_max = 0;
  limit->shed_at = 0;
}

static double
ceiling (const limit_t *limit)
{
  return limit->announced_max > 0 ? limit->announced_max : LIMIT_DEFAULT;
}

void
limit_reset (limit_t *limit, int64_t now_us)
{
  limit_algorithm_t kind = limit->kind;
  uint32_t announced = limit->announced_max;

  memset (limit, 0, sizeof *limit);
  limit->kind = kind;
  limit->announced_max = announced;
  limit->ignore_us = now_us;
  limit->estimate = ceiling (limit);
  window_start (limit, now_us);
}

void
limit_init (limit_t *limit, limit_algorithm_t kind, int64_t now_us)
{
  memset (limit, 0, sizeof *limit);
  limit->kind = kind;
  limit_reset (limit, now_us);
}

void
limit_set_announced (limit_t *limit, uint32_t slots, uint32_t connections)
{
  uint32_t least = slots;
  if (slots == 0 || (connections > 0 && connections < slots))
    least = connections;
  bool was_full = limit->estimate >= ceiling (limit);
  limit->announced_max = least;
  if (was_full || limit->estimate > ceiling (limit))
    limit->estimate = ceiling (limit);
}

/* Once a window, so its cost is not one of a request.  */
static void
base_update (limit_t *limit, int64_t now_us)
{
  limit->means_us[limit->next_mean] = limit->mean_us;
  limit->mean_times_us[limit->next_mean] = now_us;
  limit->next_mean = (limit->next_mean + 1) % LIMIT_WINDOWS;
  double least = limit->mean_us;
  for (uint32_t i = 0; i < LIMIT_WINDOWS; i++)
    if (limit->means_us[i] > 0 && limit->means_us[i] < least
        && now_us - limit->mean_times_us[i] <= BASE_AGE_US)
      least = limit->means_us[i];
  limit->baseline_us = least;
}

void
limit_reset_baseline (limit_t *limit, double mean_us, int64_t now_us)
{
  memset (limit->means_us, 0, sizeof limit->means_us);
  limit->mean_us = mean_us;
  limit->cut_mean_us = 0;
  base_update (limit, now_us);
}

static void
grow (limit_t *limit)
{
  /* Only a limit that was reached says anything about a larger one.  */
  if (limit->in_flight_max + 1 >= limit->estimate && limit->shed_at == 0)
    limit->estimate += fmax (1, sqrt (limit->estimate) / 2);
}

static void
little_update (limit_t *limit, int64_t now_us)
{
  double noise = LATENCY_NOISE / sqrt (limit->samples);
  double allowed_us = limit->baseline_us * (LATENCY_TOLERANCE + noise);

  if (limit->cut_mean_us > 0)
    {
      bool helped = limit->mean_us < limit->cut_mean_us * CUT_HELPED;
      double before = limit->cut_estimate;
      limit->cut_mean_us = 0;
      if (!helped)
        {
          limit_reset_baseline (limit, limit->mean_us, now_us);
          limit->estimate = before;
          return;
        }
    }
  if (limit->mean_us <= allowed_us)
    {
      grow (limit);
      return;
    }
  limit->cut_mean_us = limit->mean_us;
  limit->cut_estimate = limit->estimate;
  double wanted_us = limit->baseline_us * CUT_TARGET;
  limit->estimate = limit->in_flight_max * wanted_us / limit->mean_us;
  limit->ignore_us = now_us;
}

static void
gradient_update (limit_t *limit)
{
  if (limit->long_us == 0)
    limit->long_us = limit->mean_us;
  limit->long_us += (limit->mean_us - limit->long_us) * LONG_WEIGHT;
  if (limit->long_us > 2 * limit->mean_us)
    limit->long_us *= 0.95;
  if (limit->in_flight_max * 2 < limit->estimate)
    return;
  double gradient = GRADIENT_TOLERANCE * limit->long_us / limit->mean_us;
  gradient = fmax (0.5, fmin (1, gradient));
  double wanted = limit->estimate * gradient + sqrt (limit->estimate);
  limit->estimate += (wanted - limit->estimate) * GRADIENT_SMOOTHING;
}

/* Cuts that halved the limit and left latency as it was had the wrong cause,
   such as a slow service further down, and are taken back.  */
static void
aimd_update (limit_t *limit, int64_t now_us)
{
  if (limit->mean_us <= AIMD_TOLERANCE * limit->baseline_us)
    {
      limit->cut_mean_us = 0;
      if (limit->in_flight_max + 1 >= limit->estimate)
        limit->estimate += 1;
      return;
    }
  if (limit->cut_mean_us == 0)
    {
      limit->cut_mean_us = limit->mean_us;
      limit->cut_estimate = limit->estimate;
    }
  limit->estimate *= AIMD_FACTOR;
  if (limit->estimate > limit->cut_estimate / 2)
    return;
  bool helped = limit->mean_us < limit->cut_mean_us * CUT_HELPED;
  double before = limit->cut_estimate;
  limit->cut_mean_us = 0;
  if (helped)
    return;
  limit_reset_baseline (limit, limit->mean_us, now_us);
  limit->estimate = before;
}

static void
window_close (limit_t *limit, int64_t now_us)
{
  limit->mean_us = (double)limit->latency_sum_us / limit->samples;
  base_update (limit, now_us);
  if (limit->kind == LIMIT_LITTLE)
    little_update (limit, now_us);
  else if (limit->kind == LIMIT_GRADIENT)
    gradient_update (limit);
  else if (limit->kind == LIMIT_AIMD)
    aimd_update (limit, now_us);
  limit->estimate = fmax (1, fmin (limit->estimate, ceiling (limit)));
  window_start (limit, now_us);
}

/* Soon after samples were ignored only short runs have ended, so a window
   has to last some mean latencies from there.  */
static bool
window_is_full (const limit_t *limit, int64_t now_us)
{
  if (limit->samples < WINDOW_SAMPLES
      || now_us - limit->window_us < WINDOW_LEAST_US)
    return false;
  int64_t mean_us = limit->latency_sum_us / limit->samples;
  return now_us - limit->ignore_us >= SETTLE_MEANS * mean_us;
}

/* The server bears less than was in flight.  Refusals of requests that were
   sent before this cut tell nothing new.  */
static void
shed (limit_t *limit, uint32_t in_flight, int64_t now_us)
{
  limit->shed_at = in_flight;
  limit->ignore_us = now_us + 1;
  if (limit->kind != LIMIT_FIXED)
    limit->estimate
        = fmax (1, fmin (limit->estimate, in_flight * SHED_FACTOR));
}

void
limit_record_run (limit_t *limit, run_result_t result, int64_t latency_us,
                  uint32_t in_flight, int64_t now_us)
{
  if (in_flight > limit->in_flight_max)
    limit->in_flight_max = in_flight;
  if (result == RUN_SHED && now_us - latency_us >= limit->ignore_us)
    shed (limit, in_flight, now_us);
  if ((result == RUN_OK || result == RUN_FAILED)
      && now_us - latency_us >= limit->ignore_us)
    {
      limit->latency_sum_us += latency_us;
      limit->samples++;
    }
  if (window_is_full (limit, now_us))
    window_close (limit, now_us);
}

uint32_t
limit_get (const limit_t *limit)
{
  double most = ceiling (limit);
  if (limit->kind == LIMIT_FIXED)
    return (uint32_t)most;
  double now = fmax (1, fmin (limit->estimate, most));
  return (uint32_t)now;
}

int64_t
limit_mean_latency_us (const limit_t *limit)
{
  return (int64_t)limit->mean_us;
}
