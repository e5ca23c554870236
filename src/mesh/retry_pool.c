#include "mesh/retry_pool.h"

#include <math.h>
#include <stdio.h>

/* Of first sendings; half of what the users allow, since calls made by a run
   that is itself a repeat count as repeats too.  */
static const double EARNED = 0.1;
/* Of the reserve that is handed out; the rest covers repeated calls.  */
static const double RESERVE_SHARE = 0.5;

static double
most (double reserve, uint32_t sidecars)
{
  return fmax (1, reserve * RESERVE_SHARE / (sidecars > 0 ? sidecars : 1));
}

void
retry_pool_open (retry_pool_t *pool, const char *service, double reserve,
                 uint32_t sidecars)
{
  snprintf (pool->service, sizeof pool->service, "%s", service);
  pool->tokens = most (reserve, sidecars);
}

void
retry_pool_earn (retry_pool_t *pool, double reserve, uint32_t sidecars)
{
  pool->tokens
      = fmin (pool->tokens + EARNED, most (reserve, sidecars));
}

bool
retry_pool_take (retry_pool_t *pool)
{
  if (pool->tokens < 1)
    return false;
  pool->tokens -= 1;
  return true;
}
