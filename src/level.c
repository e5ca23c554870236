#include "level.h"

#include <math.h>
#include <string.h>

#include "clock.h"

enum
{
  WINDOW_US = 100 * US_PER_MS,
  HORIZON_US = 200 * US_PER_MS, /* to bring a queue to its target */
  QUEUE_TARGET_SHARE = 8,       /* slots / 8 waiting keep the slots busy */
  NEAR_RANKS = 16,
  WINDOW_ARRIVALS = 50,
  WINDOW_LONGEST_US = US_PER_S,
  VIEW_WINDOWS_MOST = 10, /* without an answer, until all is admitted */
  RAISE_FIRST = 2,
  RAISE_MOST = 96,
  RAISE_BUSY_MOST = 2 /* while the slots are busy */
};

static const double DEMAND_MEMORY_S = 1;
static const double VIEW_WEIGHT = 0.25;
static const double SCALE_WEIGHT = 1.0 / 64;
static const double IDLE_SHARE = 0.25; /* idle times for each served */
static const double SHED_FRESH = 0.3;  /* of fresh arrivals, without a cut */
static const double ADMITTED_FRESH = 1.5; /* of what is served, at a cut */
static const double SERVED_LEAST = 0.5;   /* of what is served, to drain */
static const double MEMORY = 2; /* windows that the counts amount to */

uint8_t
demand_assign_rank (demand_t *demand, demand_mean_t *scale, uint32_t weight,
                    uint64_t root_hash, int64_t now_us)
{
  double elapsed_s = (double)(now_us - demand->seen_us) / US_PER_S;
  demand->rate_per_s *= exp (-elapsed_s / DEMAND_MEMORY_S);
  demand->rate_per_s += 1 / DEMAND_MEMORY_S;
  demand->seen_us = now_us;

  double by_weight = demand->rate_per_s / (weight > 0 ? weight : 1);
  scale->mean += (by_weight - scale->mean) * SCALE_WEIGHT;
  double unit = (double)(root_hash >> 11) * 0x1.0p-53;
  double root = sqrt (unit * by_weight / fmax (scale->mean, 1e-9));
  return (uint8_t)((LEVEL_RANK_COUNT - 1) * root / (1 + root));
}

void
level_view_update (level_view_t *view, level_value_t value, int64_t now_us)
{
  if (view->seen_us == 0)
    view->value = value;
  view->value += (value - view->value) * VIEW_WEIGHT;
  view->seen_us = now_us;
}

level_value_t
level_view_get (const level_view_t *view, int64_t now_us)
{
  if (view->seen_us == 0)
    return LEVEL_ADMIT_ALL;
  double windows = (double)(now_us - view->seen_us) / WINDOW_US;
  double value = view->value + exp2 (fmin (windows, VIEW_WINDOWS_MOST)) - 1;
  return (level_value_t)fmin (value, LEVEL_ADMIT_ALL);
}

/* Half of what was counted stays, to steady small servers.  */
static void
window_start (level_t *level, int64_t now_us)
{
  level->window_us = now_us;
  level->arrived /= 2;
  level->sunk /= 2;
  level->started /= 2;
  level->served /= 2;
  level->shed /= 2;
  level->idle = 0;
  for (uint32_t i = 0; i < LEVEL_ADMIT_ALL; i++)
    level->arrivals[i] /= 2;
}

void
level_init (level_t *level, bool off, int64_t now_us)
{
  memset (level, 0, sizeof *level);
  level->off = off;
  level->value = LEVEL_ADMIT_ALL;
  level->raise = RAISE_FIRST;
  window_start (level, now_us);
}

/* The highest level, up to the present one, that would have admitted no more
   than MOST of what was counted; *ADMITTED is what it would have.  */
static level_value_t
level_for (const level_t *level, double most, uint32_t *admitted)
{
  level_value_t value = 0;
  *admitted = 0;
  while (value < level->value && *admitted + level->arrivals[value] <= most)
    *admitted += level->arrivals[value++];
  return value;
}

static void
raise_by (level_t *level, double ranks)
{
  double value = level->value + fmax (1, fmin (ranks, RAISE_MOST));
  level->value = (level_value_t)fmin (value, LEVEL_ADMIT_ALL);
}

/* Fresh requests: the queue sheds the excess best, so the level only holds
   off what exceeds by far what is served.  */
static void
adjust_fresh (level_t *level)
{
  uint32_t admitted;
  if (level->shed <= level->arrived * SHED_FRESH)
    raise_by (level, 1);
  else
    level->value
        = level_for (level, level->started * ADMITTED_FRESH, &admitted);
}

/* Requests with work sunk: admits what is served, less what brings the queue
   to its target.  How far to raise follows from the arrivals just below.  */
static void
adjust_sunk (level_t *level, int64_t age_us)
{
  double excess = (double)level->queued - level->queue_target;
  double drain = MEMORY * excess * (double)age_us / (double)HORIZON_US;
  double most = fmax (level->served * SERVED_LEAST, level->served - drain);
  uint32_t admitted;
  uint32_t near = 0;

  level_value_t value = level_for (level, most, &admitted);
  if (value < level->value)
    {
      level->value = value;
      return;
    }
  for (uint32_t i = 1; i <= NEAR_RANKS && i <= value; i++)
    near += level->arrivals[value - i];
  raise_by (level, fmin (RAISE_BUSY_MOST,
                         (most - admitted) * NEAR_RANKS / fmax (1, near)));
}

static void
window_close (level_t *level, int64_t now_us)
{
  double idle = level->idle / fmax (1, level->served);

  if (idle >= IDLE_SHARE)
    {
      raise_by (level, level->raise);
      level->raise = (uint32_t)fmin (2 * level->raise, RAISE_MOST);
    }
  else
    {
      level->raise = RAISE_FIRST;
      if (2 * level->sunk < level->arrived)
        adjust_fresh (level);
      else
        adjust_sunk (level, now_us - level->window_us);
    }
  /* One request has to pass for the level to learn anything.  */
  if (level->value == 0)
    level->value = 1;
  window_start (level, now_us);
}

void
level_tick (level_t *level, uint32_t queued, uint32_t slots, int64_t now_us)
{
  int64_t age_us = now_us - level->window_us;
  if (level->off || age_us < WINDOW_US)
    return;
  level->queued = queued;
  level->queue_target = slots / QUEUE_TARGET_SHARE + 1;
  if (level->arrived >= WINDOW_ARRIVALS || level->idle > 0
      || age_us >= WINDOW_LONGEST_US)
    window_close (level, now_us);
}

void
level_record_arrival (level_t *level, uint8_t priority, uint8_t rank,
                      bool work_sunk)
{
  level->arrivals[priority * LEVEL_RANK_COUNT + rank]++;
  level->arrived++;
  if (work_sunk)
    level->sunk++;
}

void
level_record_start (level_t *level)
{
  level->started++;
}

void
level_record_success (level_t *level)
{
  level->served++;
}

void
level_record_shed (level_t *level)
{
  level->shed++;
}

void
level_record_idle_slot (level_t *level)
{
  level->idle++;
}
