#include "mesh/admission.h"

#include <math.h>

#include "clock.h"

/* Bounds on how far cost counts: no kind of request is shut out.  */
static const double COST_LEAST = 0.4;
static const double COST_MOST = 1.5;
/* The admitted share is raised to the power of cost over weight, which leaves
   all alike while nothing has to be refused.  */
static const double FIRST_PRIORITY_WEIGHT = 2; /* of the client account's */
static const double FIRST_ROUTE_WEIGHT = 2;
/* A caller waits at most this part of its remaining time.  */
static const double RETRY_SHARE_OF_LEFT = 1.0 / 3;
static const double RETRY_SHARE_OF_TARGET = 0.6;
static const double WAIT_SHARE = 0.25;      /* of the latency objective */
static const double PATIENCE_SHARE = 0.125; /* of the latency objective */
static const double PATIENCE_OF_CALL = 0.5; /* of the time left */

/* Mean runs within which nearly every run ends.  */
static const double STOP_RUNS = 6;

enum
{
  RETRY_LEAST_MS = 50,
  /* After it callers have had the time of two readiness checks to notice,
     and the users count what is cut.  */
  STOP_CALLERS_US = 2800 * US_PER_MS,
  STOP_RUN_LEAST_US = 400 * US_PER_MS
};

bool
admission_should_refuse (const admission_request_t *request, double draw)
{
  double cost = fmin (COST_MOST, fmax (COST_LEAST, request->cost));
  double weight = 1;
  if (request->priority == 0)
    weight *= FIRST_PRIORITY_WEIGHT;
  if (request->route_priority == 0)
    weight *= FIRST_ROUTE_WEIGHT;
  return draw >= pow (1 - request->pressure, cost / weight);
}

bool
admission_accepts_while_stopping (bool from_backend, int64_t since_us,
                                  int64_t left_us, int64_t mean_us)
{
  double run_us = fmax (STOP_RUN_LEAST_US, (double)mean_us * STOP_RUNS);
  if (!from_backend && since_us > STOP_CALLERS_US)
    return false;
  return run_us <= (double)left_us;
}

uint32_t
admission_retry_after_ms (int64_t left_us, int64_t target_us, double draw)
{
  double most_us = fmin ((double)left_us * RETRY_SHARE_OF_LEFT,
                         (double)target_us * RETRY_SHARE_OF_TARGET);
  double us = most_us * (0.25 + 0.75 * draw);
  return (uint32_t)fmax (RETRY_LEAST_MS, us / US_PER_MS);
}

int64_t
admission_max_queue_wait_us (bool from_backend, int64_t target_us,
                             int64_t left_us)
{
  if (from_backend)
    return left_us;
  int64_t most_us = (int64_t)((double)target_us * WAIT_SHARE);
  return most_us < left_us ? most_us : left_us;
}

int64_t
admission_max_server_wait_us (bool from_backend, int64_t target_us,
                              int64_t left_us)
{
  if (from_backend)
    return (int64_t)((double)left_us * PATIENCE_OF_CALL);
  return (int64_t)fmin ((double)target_us * PATIENCE_SHARE, (double)left_us);
}
