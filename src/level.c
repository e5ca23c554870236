#include "level.h"

#include <math.h>
#include <string.h>

#include "clock.h"

enum
{
  WINDOW_MIN_US = 100 * US_PER_MS,
  QUEUE_DRAIN_US = 200 * US_PER_MS, /* time to bring a queue to its target */
  /* A queue of slots / 8 requests keeps the slots busy.  */
  QUEUE_TARGET_DIVISOR = 8,
  DENSITY_RANKS = 16, /* ranks below the level that size an increase */
  WINDOW_ARRIVALS_MIN = 50,
  WINDOW_MAX_US = US_PER_S,
  /* Windows without an answer after which every position is admitted.  */
  VIEW_WINDOWS_MAX = 10,
  RAISE_STEP_MIN = 2,
  RAISE_STEP_MAX = 96,
  RAISE_STEP_BUSY_MAX = 2 /* while the slots are busy */
};

static const double DEMAND_DECAY_S = 1; /* time constant */
static const double VIEW_WEIGHT = 0.25;
static const double MEAN_DEMAND_WEIGHT = 1.0 / 64;
static const double IDLE_RATIO_MIN = 0.25; /* idle slots per served request */
/* While fewer than half of the arrivals have upstream work, the level is cut
   only if more than this share of the arrivals was shed from the queue.  */
static const double QUEUE_SHED_SHARE_MAX = 0.3;
/* Such a cut sets the level so that it would have admitted at most this
   multiple of the number of started requests.  */
static const double QUEUE_ADMIT_FACTOR = 1.5;
/* Share of the served requests that is admitted while the queue drains.  */
static const double DRAIN_SHARE_MIN = 0.5;
/* Windows that the decaying counts add up to.  */
static const double WINDOW_MEMORY = 2;

uint8_t
demand_assign_rank (demand_t *demand, demand_mean_t *mean_demand,
                    uint32_t weight, uint64_t root_hash, int64_t now_us)
{
  double elapsed_s = (double)(now_us - demand->updated_us) / US_PER_S;
  demand->rate_per_s *= exp (-elapsed_s / DEMAND_DECAY_S);
  demand->rate_per_s += 1 / DEMAND_DECAY_S;
  demand->updated_us = now_us;

  double rate_per_weight = demand->rate_per_s / (weight > 0 ? weight : 1);
  mean_demand->mean_rate_per_s
      += (rate_per_weight - mean_demand->mean_rate_per_s) * MEAN_DEMAND_WEIGHT;
  double uniform = (double)(root_hash >> 11) * 0x1.0p-53;
  double root_ratio = sqrt (uniform * rate_per_weight
                            / fmax (mean_demand->mean_rate_per_s, 1e-9));
  return (uint8_t)((LEVEL_RANK_COUNT - 1) * root_ratio / (1 + root_ratio));
}

void
level_view_update (level_view_t *view, level_value_t value, int64_t now_us)
{
  if (view->updated_us == 0)
    view->value = value;
  view->value += (value - view->value) * VIEW_WEIGHT;
  view->updated_us = now_us;
}

level_value_t
level_view_get (const level_view_t *view, int64_t now_us)
{
  if (view->updated_us == 0)
    return LEVEL_ADMIT_ALL;
  double windows = (double)(now_us - view->updated_us) / WINDOW_MIN_US;
  double value = view->value + exp2 (fmin (windows, VIEW_WINDOWS_MAX)) - 1;
  return (level_value_t)fmin (value, LEVEL_ADMIT_ALL);
}

/* Halves the counts instead of clearing them, to smooth the level of small
   servers.  */
static void
start_window (level_t *level, int64_t now_us)
{
  level->window_start_us = now_us;
  level->arrival_count /= 2;
  level->upstream_work_count /= 2;
  level->start_count /= 2;
  level->success_count /= 2;
  level->shed_count /= 2;
  level->idle_slot_count = 0;
  for (uint32_t i = 0; i < LEVEL_ADMIT_ALL; i++)
    level->arrivals_by_position[i] /= 2;
}

void
level_init (level_t *level, bool disabled, int64_t now_us)
{
  memset (level, 0, sizeof *level);
  level->disabled = disabled;
  level->value = LEVEL_ADMIT_ALL;
  level->raise_step = RAISE_STEP_MIN;
  start_window (level, now_us);
}

/* Returns the highest level, up to the current one, that would have admitted
   at most ADMIT_MAX of the counted arrivals; stores in *ADMITTED how many it
   would have admitted.  */
static level_value_t
find_level (const level_t *level, double admit_max, uint32_t *admitted)
{
  level_value_t value = 0;
  *admitted = 0;
  while (value < level->value
         && *admitted + level->arrivals_by_position[value] <= admit_max)
    *admitted += level->arrivals_by_position[value++];
  return value;
}

static void
raise_level (level_t *level, double step)
{
  double value = level->value + fmax (1, fmin (step, RAISE_STEP_MAX));
  level->value = (level_value_t)fmin (value, LEVEL_ADMIT_ALL);
}

/* For requests without upstream work.  The queue selects better what to shed,
   so the level only refuses arrivals far above what is served.  */
static void
adjust_without_upstream_work (level_t *level)
{
  uint32_t admitted;
  if (level->shed_count <= level->arrival_count * QUEUE_SHED_SHARE_MAX)
    raise_level (level, 1);
  else
    level->value = find_level (level, level->start_count * QUEUE_ADMIT_FACTOR,
                               &admitted);
}

/* For requests with upstream work.  Admits as many as are served, less the
   number that brings the queue to its target.  The size of an increase depends
   on the arrivals just below the level.  */
static void
adjust_with_upstream_work (level_t *level, int64_t age_us)
{
  double excess = (double)level->queued - level->queue_target;
  double drain
      = WINDOW_MEMORY * excess * (double)age_us / (double)QUEUE_DRAIN_US;
  double admit_max = fmax (level->success_count * DRAIN_SHARE_MIN,
                           level->success_count - drain);
  uint32_t admitted;
  uint32_t density_arrivals = 0;

  level_value_t value = find_level (level, admit_max, &admitted);
  if (value < level->value)
    {
      level->value = value;
      return;
    }
  for (uint32_t i = 1; i <= DENSITY_RANKS && i <= value; i++)
    density_arrivals += level->arrivals_by_position[value - i];
  raise_level (
      level, fmin (RAISE_STEP_BUSY_MAX, (admit_max - admitted) * DENSITY_RANKS
                                            / fmax (1, density_arrivals)));
}

static void
close_window (level_t *level, int64_t now_us)
{
  double idle_ratio = level->idle_slot_count / fmax (1, level->success_count);

  if (idle_ratio >= IDLE_RATIO_MIN)
    {
      raise_level (level, level->raise_step);
      level->raise_step
          = (uint32_t)fmin (2 * level->raise_step, RAISE_STEP_MAX);
    }
  else
    {
      level->raise_step = RAISE_STEP_MIN;
      if (2 * level->upstream_work_count < level->arrival_count)
        adjust_without_upstream_work (level);
      else
        adjust_with_upstream_work (level, now_us - level->window_start_us);
    }
  /* Some requests must be admitted for the level to get any feedback.  */
  if (level->value == 0)
    level->value = 1;
  start_window (level, now_us);
}

void
level_tick (level_t *level, uint32_t queued, uint32_t slots, int64_t now_us)
{
  int64_t age_us = now_us - level->window_start_us;
  if (level->disabled || age_us < WINDOW_MIN_US)
    return;
  level->queued = queued;
  level->queue_target = slots / QUEUE_TARGET_DIVISOR + 1;
  if (level->arrival_count >= WINDOW_ARRIVALS_MIN || level->idle_slot_count > 0
      || age_us >= WINDOW_MAX_US)
    close_window (level, now_us);
}

void
level_record_arrival (level_t *level, uint8_t priority, uint8_t rank,
                      bool has_upstream_work)
{
  level->arrivals_by_position[priority * LEVEL_RANK_COUNT + rank]++;
  level->arrival_count++;
  if (has_upstream_work)
    level->upstream_work_count++;
}

void
level_record_start (level_t *level)
{
  level->start_count++;
}

void
level_record_success (level_t *level)
{
  level->success_count++;
}

void
level_record_shed (level_t *level)
{
  level->shed_count++;
}

void
level_record_idle_slot (level_t *level)
{
  level->idle_slot_count++;
}
