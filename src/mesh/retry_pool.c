#include "mesh/retry_pool.h"

#include <math.h>
#include <stdio.h>

/* Of the share that is allowed at each service.  Calls made by a run that is
   itself a repeat count as repeats too, so a service may see those of three
   levels above it beside its own.  */
static const double EARNED_LEAF = 0.4;
static const double EARNED = 0.15;
/* Of the reserve that is handed out; the rest covers repeated calls.  */
static const double RESERVE_SHARE = 0.5;

static double
most (retry_bounds_t bounds)
{
  double sidecars = bounds.sidecars > 0 ? bounds.sidecars : 1;
  return fmax (1, bounds.reserve * RESERVE_SHARE / sidecars);
}

void
retry_pool_open (retry_pool_t *pool, const char *service,
                 retry_bounds_t bounds)
{
  snprintf (pool->service, sizeof pool->service, "%s", service);
  pool->tokens = most (bounds);
}

void
retry_pool_earn (retry_pool_t *pool, bool leaf, retry_bounds_t bounds)
{
  double earned = bounds.share * (leaf ? EARNED_LEAF : EARNED);
  pool->tokens = fmin (pool->tokens + earned, most (bounds));
}

bool
retry_pool_take (retry_pool_t *pool)
{
  if (pool->tokens < 1)
    return false;
  pool->tokens -= 1;
  return true;
}
