#include "coldstart.h"

#include <math.h>
#include <string.h>

#include "clock.h"

enum
{
  WARM_UP_DEFAULT_US = 30 * US_PER_S,
  COLD_SLOTS_DIVISOR = 20, /* slots / 20 if nothing is announced */
  STEP_RUNS = 8,           /* slow runs in a row that make a latency step */
  TRIAL_RUNS = 4,
  SHED_HOLD_US = 500 * US_PER_MS
};

static const double STEP_FACTOR = 3; /* multiple of the normal latency */
/* Share of the estimated capacity that is used.  */
static const double CAPACITY_SAFETY_FACTOR = 0.9;
/* Multiple of the normal latency above which a trial ends the cold start.  */
static const double FALSE_POSITIVE_FACTOR = 2;
/* Share of the progress that is kept after a refusal.  */
static const double SHED_PROGRESS_FACTOR = 0.75;

void
coldstart_init (coldstart_t *coldstart, bool disabled, int64_t now_us)
{
  memset (coldstart, 0, sizeof *coldstart);
  coldstart->disabled = disabled;
  coldstart_begin (coldstart, now_us);
}

void
coldstart_set_announced (coldstart_t *coldstart, uint32_t cold_slots,
                         int64_t warm_us)
{
  coldstart->cold_slots = cold_slots;
  coldstart->warm_us = warm_us;
}

void
coldstart_begin (coldstart_t *coldstart, int64_t now_us)
{
  coldstart->cold = true;
  coldstart->progress = 0;
  coldstart->progress_updated_us = now_us;
  coldstart->start_us = now_us;
  coldstart->hold_until_us = INT64_MIN;
  coldstart->slow_run_count = 0;
  coldstart->in_trial = false;
}

static void
start_trial (coldstart_t *coldstart, double baseline_us, int64_t now_us)
{
  double step_mean_us
      = coldstart->slow_latency_sum_us / coldstart->slow_run_count;
  coldstart_begin (coldstart, now_us);
  coldstart->in_trial = true;
  coldstart->step_mean_us = step_mean_us;
  coldstart->baseline_us = baseline_us;
  coldstart->trial_run_count = 0;
  coldstart->trial_latency_sum_us = 0;
}

/* A latency that stays high with few requests in flight has another cause than
   a cold start.  */
static coldstart_event_t
record_trial_run (coldstart_t *coldstart, int64_t latency_us, int64_t now_us)
{
  if (now_us - latency_us < coldstart->start_us)
    return COLDSTART_NO_EVENT;
  coldstart->trial_run_count++;
  coldstart->trial_latency_sum_us += (double)latency_us;
  if (coldstart->trial_run_count < TRIAL_RUNS)
    return COLDSTART_NO_EVENT;
  coldstart->in_trial = false;
  double mean_us
      = coldstart->trial_latency_sum_us / coldstart->trial_run_count;
  if (mean_us < coldstart->baseline_us * FALSE_POSITIVE_FACTOR)
    return COLDSTART_NO_EVENT;
  coldstart->cold = false;
  return COLDSTART_FALSE_POSITIVE;
}

static coldstart_event_t
detect_latency_step (coldstart_t *coldstart, int64_t latency_us,
                     double baseline_us, int64_t now_us)
{
  if (baseline_us <= 0 || (double)latency_us < baseline_us * STEP_FACTOR
      || now_us - latency_us < coldstart->start_us)
    {
      coldstart->slow_run_count = 0;
      coldstart->slow_latency_sum_us = 0;
      return COLDSTART_NO_EVENT;
    }
  coldstart->slow_run_count++;
  coldstart->slow_latency_sum_us += (double)latency_us;
  if (coldstart->slow_run_count < STEP_RUNS)
    return COLDSTART_NO_EVENT;
  start_trial (coldstart, baseline_us, now_us);
  return COLDSTART_RESTARTED;
}

coldstart_event_t
coldstart_record_run (coldstart_t *coldstart, run_result_t result,
                      int64_t latency_us, double baseline_us, int64_t now_us)
{
  if (coldstart->disabled || result == RUN_CANCELLED)
    return COLDSTART_NO_EVENT;
  if (result == RUN_CONNECTION_LOST)
    {
      coldstart_begin (coldstart, now_us);
      return COLDSTART_RESTARTED;
    }
  if (result == RUN_SHED)
    {
      if (coldstart->cold && now_us >= coldstart->hold_until_us)
        {
          coldstart->progress *= SHED_PROGRESS_FACTOR;
          coldstart->hold_until_us = now_us + SHED_HOLD_US;
        }
      return COLDSTART_NO_EVENT;
    }
  if (coldstart->in_trial)
    return record_trial_run (coldstart, latency_us, now_us);
  return detect_latency_step (coldstart, latency_us, baseline_us, now_us);
}

static void
advance_progress (coldstart_t *coldstart, int64_t now_us)
{
  int64_t warm_us
      = coldstart->warm_us ? coldstart->warm_us : WARM_UP_DEFAULT_US;
  if (now_us > coldstart->hold_until_us)
    {
      double elapsed_us = (double)(now_us - coldstart->progress_updated_us);
      coldstart->progress += elapsed_us / (double)warm_us;
    }
  coldstart->progress_updated_us = now_us;
  if (coldstart->progress >= 1)
    coldstart->cold = false;
}

uint32_t
coldstart_update_window (coldstart_t *coldstart, uint32_t slots,
                         int64_t now_us)
{
  if (coldstart->disabled || !coldstart->cold)
    return slots;
  advance_progress (coldstart, now_us);
  if (!coldstart->cold)
    return slots;
  double cold_slots = coldstart->cold_slots;
  if (coldstart->cold_slots == 0)
    cold_slots = fmax (1, (double)slots / COLD_SLOTS_DIVISOR);
  double capacity = cold_slots + (slots - cold_slots) * coldstart->progress;
  double window = fmin (floor (capacity * CAPACITY_SAFETY_FACTOR), slots);
  return (uint32_t)fmax (1, window);
}
