#include "mesh/retry_pool.h"

#include <math.h>
#include <stdio.h>

/* Parts of the fleet's retry ratio that a first attempt adds to the pool.
   Calls made by a run that is itself a retry count as retries too, so a
   service may receive, besides its own retries, the calls that are repeated by
   retries at up to three levels of callers above it.  The parts are well below
   1 for that reason.  */
static const double LEAF_DEPOSIT_SHARE = 0.3;
static const double DEPOSIT_SHARE = 0.15;
/* Part of the reserve that the pools of all sidecars hold together; the rest
   covers calls that are repeated because the run that makes them is.  */
static const double RESERVE_SHARE = 0.25;
/* Limit of a pool for requests that make calls of their own: each retry of one
   repeats a whole call tree.  */
static const double NON_LEAF_TOKENS_MAX = 1;

/* Tokens that a pool may hold.  */
static double
max_tokens (bool is_leaf, retry_budget_t budget)
{
  double sidecars = budget.sidecar_count > 0 ? budget.sidecar_count : 1;
  if (!is_leaf)
    return NON_LEAF_TOKENS_MAX;
  return fmax (NON_LEAF_TOKENS_MAX, budget.reserve * RESERVE_SHARE / sidecars);
}

void
retry_pool_init (retry_pool_t *pool, const char *service)
{
  snprintf (pool->service, sizeof pool->service, "%s", service);
  pool->tokens = NON_LEAF_TOKENS_MAX;
}

void
retry_pool_deposit (retry_pool_t *pool, bool is_leaf, retry_budget_t budget)
{
  double deposit = budget.retries_per_first_attempt
                   * (is_leaf ? LEAF_DEPOSIT_SHARE : DEPOSIT_SHARE);
  pool->tokens = fmin (pool->tokens + deposit, max_tokens (is_leaf, budget));
}

bool
retry_pool_try_withdraw (retry_pool_t *pool)
{
  if (pool->tokens < 1)
    return false;
  pool->tokens -= 1;
  return true;
}
