#include "mesh/slowdown.h"

#include <math.h>

#include "clock.h"

enum
{
  /* Slow periods last some tenths of a second.  */
  FIGURE_MAX_AGE_US = US_PER_S
};

/* Weight of one run in a moving average.  */
static const double RUN_EWMA_WEIGHT = 1.0 / 32;
/* Bounds on one run's ratio of measured to expected run time, because a single
   run says little, and on a figure.  */
static const double SLOWDOWN_MIN = 0.05;
static const double SLOWDOWN_MAX = 20;
/* Part of the way back to a slowdown of 1 in one period.  A server that was
   slow, and therefore gets few runs, is tried again within seconds.  */
static const double SLOWDOWN_DECAY = 0.02;

static double
bound_slowdown (double slowdown)
{
  return fmin (SLOWDOWN_MAX, fmax (SLOWDOWN_MIN, slowdown));
}

void
slowdown_init (slowdown_t *slowdown)
{
  *slowdown = (slowdown_t){ .learnt = 1, .momentary = 1 };
}

void
slowdown_record_figure (slowdown_t *slowdown, double figure, int64_t now_us)
{
  slowdown->momentary = bound_slowdown (figure);
  slowdown->momentary_us = now_us;
}

double
slowdown_momentary (const slowdown_t *slowdown, int64_t now_us)
{
  double age_us = (double)(now_us - slowdown->momentary_us);
  double weight = 1 - fmin (1, age_us / FIGURE_MAX_AGE_US);
  return 1 + (slowdown->momentary - 1) * weight;
}

void
slowdown_record_run (slowdown_t *slowdown, double ratio, double momentary)
{
  slowdown->learnt += (bound_slowdown (ratio / momentary) - slowdown->learnt)
                      * RUN_EWMA_WEIGHT;
}

void
slowdown_decay (slowdown_t *slowdown)
{
  slowdown->learnt += (1 - slowdown->learnt) * SLOWDOWN_DECAY;
}

double
slowdown_now (const slowdown_t *slowdown, int64_t now_us)
{
  return slowdown->learnt * slowdown_momentary (slowdown, now_us);
}
