#include "mesh/admission.h"

#include <math.h>

#include "clock.h"

/* Bounds on the effect of the cost, so that no kind of request is always
   refused.  */
static const double COST_MIN = 0.4;
static const double COST_MAX = 1.5;
/* The admitted share is raised to the power of cost divided by weight, so that
   all requests are treated alike while none has to be refused.  */
static const double PRIORITY_0_WEIGHT = 2; /* priority of the client account */
static const double ROUTE_PRIORITY_0_WEIGHT = 2;
/* Parts of the caller's remaining time and of the target latency that a
   refused caller waits at most before it retries.  */
static const double RETRY_SHARE_OF_TIME_LEFT = 1.0 / 3;
static const double RETRY_SHARE_OF_TARGET_LATENCY = 0.6;
static const double QUEUE_WAIT_SHARE = 0.25;      /* of the target latency */
static const double SERVER_WAIT_SHARE = 0.125;    /* of the target latency */
static const double CALL_SERVER_WAIT_SHARE = 0.5; /* of the remaining time */

/* Nearly every run ends within this many mean run times.  */
static const double STOP_RUN_MEANS = 6;

enum
{
  RETRY_AFTER_MIN_MS = 50,
  /* How long a stopping sidecar still accepts callers' requests: long enough
     for two readiness checks, by which callers notice the stop.  Requests that
     are cut off after that count as failures of the sidecar.  */
  ACCEPT_CALLERS_WHILE_STOPPING_US = 2800 * US_PER_MS,
  STOP_RUN_MIN_US = 400 * US_PER_MS /* a run is given at least this long */
};

bool
admission_should_refuse (const admission_request_t *request, double draw)
{
  double cost = fmin (COST_MAX, fmax (COST_MIN, request->cost));
  double weight = 1;
  if (request->priority == 0)
    weight *= PRIORITY_0_WEIGHT;
  if (request->route_priority == 0)
    weight *= ROUTE_PRIORITY_0_WEIGHT;
  return draw >= pow (1 - request->pressure, cost / weight);
}

bool
admission_accepts_while_stopping (bool from_backend, int64_t stopping_for_us,
                                  int64_t time_to_exit_us, int64_t mean_run_us)
{
  double run_max_us
      = fmax (STOP_RUN_MIN_US, (double)mean_run_us * STOP_RUN_MEANS);
  if (!from_backend && stopping_for_us > ACCEPT_CALLERS_WHILE_STOPPING_US)
    return false;
  return run_max_us <= (double)time_to_exit_us;
}

uint32_t
admission_retry_after_ms (int64_t time_left_us, int64_t target_latency_us,
                          double draw)
{
  double delay_max_us
      = fmin ((double)time_left_us * RETRY_SHARE_OF_TIME_LEFT,
              (double)target_latency_us * RETRY_SHARE_OF_TARGET_LATENCY);
  double delay_us = delay_max_us * (0.25 + 0.75 * draw);
  return (uint32_t)fmax (RETRY_AFTER_MIN_MS, delay_us / US_PER_MS);
}

int64_t
admission_max_queue_wait_us (bool from_backend, int64_t target_latency_us,
                             int64_t time_left_us)
{
  if (from_backend)
    return time_left_us;
  int64_t wait_max_us
      = (int64_t)((double)target_latency_us * QUEUE_WAIT_SHARE);
  return wait_max_us < time_left_us ? wait_max_us : time_left_us;
}

int64_t
admission_max_server_wait_us (bool from_backend, int64_t target_latency_us,
                              int64_t time_left_us)
{
  if (from_backend)
    return (int64_t)((double)time_left_us * CALL_SERVER_WAIT_SHARE);
  return (int64_t)fmin ((double)target_latency_us * SERVER_WAIT_SHARE,
                        (double)time_left_us);
}
