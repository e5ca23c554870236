#include "load_estimate.h"

#include <math.h>

#include "clock.h"

enum
{
  LOAD_MAX_AGE_US = US_PER_S, /* older reports of the load are ignored */
  /* A slow period lasts less than a second.  */
  SLOWDOWN_FADE_US = US_PER_S,
  /* Reports come at least twice a second while the link is up.  */
  SLOWDOWN_MAX_AGE_US = 3 * US_PER_S,
  /* Time in which a difference of utilization is evened out: that between two
     reports of a server in the same zone, 200 to 250 ms.  A shorter one makes
     the senders move too many requests before they see the effect.  */
  HORIZON_US = 250 * US_PER_MS
};

static const double USUAL_SLOWDOWN_WEIGHT = 1.0 / 32;
static const double SLOWDOWN_MAX = 20;
static const double SLOWDOWN_MIN
    = 0.1; /* bounds the preference for fast ones */
/* Lower bound on a weight, relative to the server's speed.  Replies of the few
   requests that an overloaded server still gets show when it has room.  */
static const double CORRECTION_MIN = 0.02;
/* Lower bound on the mean utilization by which differences are divided.  */
static const double UTILIZATION_DIVISOR_MIN = 0.02;

void
load_estimate_reset (load_estimate_t *estimate)
{
  *estimate = (load_estimate_t){ .load_us = 0 };
}

void
load_estimate_report (load_estimate_t *estimate, uint32_t pending,
                      uint32_t window, int64_t now_us)
{
  if (window == 0)
    return;
  estimate->pending = pending;
  estimate->window = window;
  estimate->load_us = now_us;
  estimate->sent_count = 0;
}

void
load_estimate_report_slowdown (load_estimate_t *estimate, double slowdown,
                               int64_t now_us)
{
  slowdown = fmin (SLOWDOWN_MAX, fmax (SLOWDOWN_MIN, slowdown));
  if (estimate->slowdown <= 0)
    estimate->usual_slowdown = slowdown;
  estimate->slowdown = slowdown;
  estimate->usual_slowdown
      += (slowdown - estimate->usual_slowdown) * USUAL_SLOWDOWN_WEIGHT;
  estimate->slowdown_us = now_us;
}

void
load_estimate_send (load_estimate_t *estimate)
{
  estimate->sent_count++;
}

bool
load_estimate_is_fresh (const load_estimate_t *estimate, int64_t now_us)
{
  return estimate->load_us > 0 && now_us - estimate->load_us < LOAD_MAX_AGE_US;
}

double
load_estimate_pending (const load_estimate_t *estimate, double capacity,
                       double mean_utilization, int64_t now_us)
{
  double expected = mean_utilization * capacity;
  if (load_estimate_is_fresh (estimate, now_us))
    {
      double age_us = (double)(now_us - estimate->load_us);
      double weight = 1 - age_us / LOAD_MAX_AGE_US;
      expected += (estimate->pending - expected) * weight;
    }
  return expected + estimate->sent_count;
}

double
load_estimate_slowdown (const load_estimate_t *estimate, int64_t now_us)
{
  int64_t age_us = now_us - estimate->slowdown_us;
  if (estimate->slowdown <= 0 || age_us >= SLOWDOWN_MAX_AGE_US)
    return 0;
  double weight = 1 - fmin (1, (double)age_us / SLOWDOWN_FADE_US);
  return estimate->usual_slowdown
         + (estimate->slowdown - estimate->usual_slowdown) * weight;
}

/* With DECAY the part of the running requests that is still running after
   HORIZON_US, a server with the utilization u reaches the mean utilization m
   by then if its share of the requests is proportional to
   capacity / slowdown * (m - u * DECAY) / (1 - DECAY), which is m times the
   expression below.  Short runs are over before the next report, so that only
   the speed counts.  */
double
load_estimate_weight (double capacity, double slowdown, double utilization,
                      double mean_utilization, int64_t run_us)
{
  double decay
      = exp (-HORIZON_US / (double)(run_us > 0 ? run_us : HORIZON_US));
  double gain = decay / (1 - decay);
  double relative
      = utilization / fmax (UTILIZATION_DIVISOR_MIN, mean_utilization);
  double correction = 1 + gain * (1 - relative);
  return capacity / slowdown * fmax (CORRECTION_MIN, correction);
}
