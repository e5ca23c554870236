#include "mesh/retry_pool.h"

#include <math.h>
#include <stdio.h>

/* Of the share that is allowed at each service.  Calls made by a run that is
   itself a repeat count as repeats too, so a service may see those of three
   levels above it beside its own.  */
static const double EARNED_LEAF = 0.3;
static const double EARNED = 0.15;
/* Of the reserve that is handed out; the rest covers repeated calls.  */
static const double RESERVE_SHARE = 0.25;
/* What a pool holds at most above the leaves: each repeat there is a whole
   tree of them further down.  */
static const double MOST_ABOVE = 1;

static double
most (bool leaf, retry_budget_t bounds)
{
  double sidecars = bounds.sidecar_count > 0 ? bounds.sidecar_count : 1;
  if (!leaf)
    return MOST_ABOVE;
  return fmax (MOST_ABOVE, bounds.reserve * RESERVE_SHARE / sidecars);
}

void
retry_pool_init (retry_pool_t *pool, const char *service)
{
  snprintf (pool->service, sizeof pool->service, "%s", service);
  pool->tokens = MOST_ABOVE;
}

void
retry_pool_deposit (retry_pool_t *pool, bool leaf, retry_budget_t bounds)
{
  double earned = bounds.retries_per_send * (leaf ? EARNED_LEAF : EARNED);
  pool->tokens = fmin (pool->tokens + earned, most (leaf, bounds));
}

bool
retry_pool_try_withdraw (retry_pool_t *pool)
{
  if (pool->tokens < 1)
    return false;
  pool->tokens -= 1;
  return true;
}
