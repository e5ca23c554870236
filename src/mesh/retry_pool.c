#include "mesh/retry_pool.h"

#include <math.h>
#include <stdio.h>

/* Of first sendings.  The users allow a fifth at each service; calls made by
   a run that is itself a repeat count as repeats too, so a service may see
   those of three levels above it beside its own.  */
static const double EARNED_LEAF = 0.08;
static const double EARNED = 0.03;
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
retry_pool_earn (retry_pool_t *pool, bool leaf, double reserve,
                 uint32_t sidecars)
{
  pool->tokens = fmin (pool->tokens + (leaf ? EARNED_LEAF : EARNED),
                       most (reserve, sidecars));
}

bool
retry_pool_take (retry_pool_t *pool)
{
  if (pool->tokens < 1)
    return false;
  pool->tokens -= 1;
  return true;
}
