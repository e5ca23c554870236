#include "coldstart.h"

#include <math.h>
#include <string.h>

#include "clock.h"

enum
{
  WARM_DEFAULT_US = 30 * US_PER_S,
  COLD_SHARE_DEFAULT = 20, /* slots / 20 when nothing is announced */
  STEP_SAMPLES = 8,
  TRIAL_SAMPLES = 4,
  SHED_HOLD_US = 500 * US_PER_MS
};

static const double STEP_FACTOR = 3;      /* of the normal latency */
static const double SAFETY = 0.9;         /* of what should be borne */
static const double STEP_REMAINS = 2;     /* of the normal latency */
static const double SHED_PROGRESS = 0.75; /* kept after a refusal */

void
coldstart_init (coldstart_t *coldstart, bool off, int64_t now_us)
{
  memset (coldstart, 0, sizeof *coldstart);
  coldstart->disabled = off;
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
  coldstart->progress_us = now_us;
  coldstart->begun_us = now_us;
  coldstart->held_us = INT64_MIN;
  coldstart->slow_streak = 0;
  coldstart->on_trial = false;
}

static void
trial_begin (coldstart_t *coldstart, double base_us, int64_t now_us)
{
  double step_us = coldstart->slow_sum_us / coldstart->slow_streak;
  coldstart_begin (coldstart, now_us);
  coldstart->on_trial = true;
  coldstart->step_mean_us = step_us;
  coldstart->base_us = base_us;
  coldstart->trial_samples = 0;
  coldstart->trial_sum_us = 0;
}

/* Little in flight and still slow: the cause is not that it is cold.  */
static coldstart_event_t
trial_sample (coldstart_t *coldstart, int64_t latency_us, int64_t now_us)
{
  if (now_us - latency_us < coldstart->begun_us)
    return COLDSTART_NO_EVENT;
  coldstart->trial_samples++;
  coldstart->trial_sum_us += (double)latency_us;
  if (coldstart->trial_samples < TRIAL_SAMPLES)
    return COLDSTART_NO_EVENT;
  coldstart->on_trial = false;
  double mean_us = coldstart->trial_sum_us / coldstart->trial_samples;
  if (mean_us < coldstart->base_us * STEP_REMAINS)
    return COLDSTART_NO_EVENT;
  coldstart->cold = false;
  return COLDSTART_FALSE_POSITIVE;
}

static coldstart_event_t
step_sample (coldstart_t *coldstart, int64_t latency_us, double base_us,
             int64_t now_us)
{
  if (base_us <= 0 || (double)latency_us < base_us * STEP_FACTOR
      || now_us - latency_us < coldstart->begun_us)
    {
      coldstart->slow_streak = 0;
      coldstart->slow_sum_us = 0;
      return COLDSTART_NO_EVENT;
    }
  coldstart->slow_streak++;
  coldstart->slow_sum_us += (double)latency_us;
  if (coldstart->slow_streak < STEP_SAMPLES)
    return COLDSTART_NO_EVENT;
  trial_begin (coldstart, base_us, now_us);
  return COLDSTART_RESTARTED;
}

coldstart_event_t
coldstart_record_run (coldstart_t *coldstart, run_result_t result,
                      int64_t latency_us, double base_us, int64_t now_us)
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
      if (coldstart->cold && now_us >= coldstart->held_us)
        {
          coldstart->progress *= SHED_PROGRESS;
          coldstart->held_us = now_us + SHED_HOLD_US;
        }
      return COLDSTART_NO_EVENT;
    }
  if (coldstart->on_trial)
    return trial_sample (coldstart, latency_us, now_us);
  return step_sample (coldstart, latency_us, base_us, now_us);
}

static void
advance (coldstart_t *coldstart, int64_t now_us)
{
  int64_t warm_us = coldstart->warm_us ? coldstart->warm_us : WARM_DEFAULT_US;
  if (now_us > coldstart->held_us)
    {
      double elapsed_us = (double)(now_us - coldstart->progress_us);
      coldstart->progress += elapsed_us / (double)warm_us;
    }
  coldstart->progress_us = now_us;
  if (coldstart->progress >= 1)
    coldstart->cold = false;
}

uint32_t
coldstart_update_window (coldstart_t *coldstart, uint32_t slots,
                         int64_t now_us)
{
  if (coldstart->disabled || !coldstart->cold)
    return slots;
  advance (coldstart, now_us);
  if (!coldstart->cold)
    return slots;
  double first = coldstart->cold_slots;
  if (coldstart->cold_slots == 0)
    first = fmax (1, (double)slots / COLD_SHARE_DEFAULT);
  double borne = first + (slots - first) * coldstart->progress;
  double window = fmin (floor (borne * SAFETY), slots);
  return (uint32_t)fmax (1, window);
}
