#include "mesh/admission.h"

#include <math.h>

#include "clock.h"

/* Pressure up to which only priorities below the first are refused.  */
static const double FIRST_PRIORITY_FROM = 0.75;
/* A caller waits at most this part of its remaining time.  */
static const double RETRY_SHARE_OF_LEFT = 1.0 / 3;
static const double RETRY_SHARE_OF_TARGET = 0.6;
static const double WAIT_SHARE = 0.25;       /* of the latency objective */
static const double PATIENCE_SHARE = 0.125;  /* of the latency objective */
static const double PATIENCE_OF_CALL = 0.5;  /* of the time left */

enum
{
  RETRY_LEAST_MS = 50
};

bool
admission_refuses (double pressure, uint8_t priority, bool returned,
                   double draw)
{
  double share = pressure / FIRST_PRIORITY_FROM;
  if (priority == 0 || returned)
    share = (pressure - FIRST_PRIORITY_FROM) / (1 - FIRST_PRIORITY_FROM);
  return draw < share;
}

uint32_t
admission_retry_ms (int64_t left_us, int64_t target_us, double draw)
{
  double most_us = fmin ((double)left_us * RETRY_SHARE_OF_LEFT,
                         (double)target_us * RETRY_SHARE_OF_TARGET);
  double us = most_us * (0.25 + 0.75 * draw);
  return (uint32_t)fmax (RETRY_LEAST_MS, us / US_PER_MS);
}

int64_t
admission_wait_us (bool from_backend, int64_t target_us, int64_t left_us)
{
  if (from_backend)
    return left_us;
  int64_t most_us = (int64_t)((double)target_us * WAIT_SHARE);
  return most_us < left_us ? most_us : left_us;
}

int64_t
admission_patience_us (bool from_backend, int64_t target_us, int64_t left_us)
{
  if (from_backend)
    return (int64_t)((double)left_us * PATIENCE_OF_CALL);
  return (int64_t)fmin ((double)target_us * PATIENCE_SHARE, (double)left_us);
}
