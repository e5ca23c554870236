#include "mesh/retry_pool.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"

/* Part of the fleet's budget that all levels above a service, and itself, hold
   together.  The rest covers tokens that were kept from before a window.  */
static const double BUDGET_SHARE = 0.95;
/* Part of it that a level leaves to all levels above: a retry near the leaves
   repeats the least.  */
static const double SHARE_ABOVE = 0.15;
/* Part of it that is left to the sidecars of the backend servers.  */
static const double SERVER_SHARE = 0.2;
/* Part of the reserve that the pools of all sidecars hold together.  */
static const double RESERVE_SHARE = 0.6;
/* Time in which tokens beyond the reserve fade to 1/e.  */
static const double FADE_US = 0.5 * US_PER_S;
/* Callees with fewer runs than this for each request are left out.  */
static const double RUNS_MIN = 0.01;

/* Tokens that a pool keeps without limit of time.  */
static double
kept_tokens (retry_budget_t budget)
{
  double sidecars = budget.sidecar_count > 0 ? budget.sidecar_count : 1;
  return budget.reserve * RESERVE_SHARE / sidecars;
}

/* Repeated runs for each first attempt that a level DISTANCE calls above a
   service may cause there.  Repeats fill pools too, so that levels multiply:
   the product of 1 + share over all distances stays below 1 + the ratio.  */
static double
level_share (retry_budget_t budget, uint32_t distance)
{
  return log1p (budget.retries_per_first_attempt) * BUDGET_SHARE
         * (1 - SHARE_ABOVE) * pow (SHARE_ABOVE, distance);
}

void
retry_pool_init (retry_pool_t *pool, const char *service)
{
  *pool = (retry_pool_t){ .tokens = 0 };
  snprintf (pool->service, sizeof pool->service, "%s", service);
}

/* Fades the tokens of POOL up to NOW_US.  */
static void
update_pool (retry_pool_t *pool, retry_budget_t budget, int64_t now_us)
{
  double kept = kept_tokens (budget);
  double elapsed_us = (double)(now_us - pool->updated_us);
  if (pool->updated_us == 0)
    pool->tokens = kept;
  else if (pool->tokens > kept)
    pool->tokens = kept + (pool->tokens - kept) * exp (-elapsed_us / FADE_US);
  pool->updated_us = now_us;
}

void
retry_costs_add (retry_costs_t *costs, retry_pool_t *pool, double runs,
                 uint32_t distance)
{
  if (runs < RUNS_MIN)
    return;
  for (uint32_t i = 0; i < costs->count; i++)
    if (costs->items[i].pool == pool && costs->items[i].distance == distance)
      {
        costs->items[i].runs += runs;
        return;
      }
  if (costs->count == RETRY_COSTS_MAX)
    {
      costs->is_complete = false;
      return;
    }
  costs->items[costs->count++] = (retry_cost_t){ pool, runs, distance };
}

typedef struct costs_walk_t
{
  retry_costs_t *costs;
  retry_pools_of_route_t pools_of_route;
  void *ctx;
} costs_walk_t;

static void
add_callee (void *ctx, const char *route, double runs, double run_us,
            uint32_t distance)
{
  costs_walk_t *walk = ctx;
  (void)run_us;
  walk->pools_of_route (walk->ctx, route, runs, distance, walk->costs);
}

void
retry_costs_find (retry_costs_t *costs, const call_graph_t *graph,
                  retry_pool_t *own, const char *route, bool is_new,
                  int64_t now_us, retry_pools_of_route_t pools_of_route,
                  void *ctx)
{
  costs_walk_t walk = { costs, pools_of_route, ctx };
  *costs = (retry_costs_t){ .is_complete = true };
  retry_costs_add (costs, own, 1, 0);
  if (!call_graph_is_leaf (graph, route, now_us))
    snprintf (own->calling_route, sizeof own->calling_route, "%s", route);
  else if (is_new && own->calling_route[0] != '\0')
    {
      costs->is_assumed = true;
      route = own->calling_route;
    }
  call_graph_visit_callees (graph, route, now_us, add_callee, &walk);
}

void
retry_costs_deposit (const retry_costs_t *costs, retry_party_t party,
                     retry_budget_t budget, int64_t now_us)
{
  double part = party == RETRY_BY_SERVER ? SERVER_SHARE : 1 - SERVER_SHARE;
  for (uint32_t i = 0; i < costs->count; i++)
    {
      const retry_cost_t *cost = &costs->items[i];
      update_pool (cost->pool, budget, now_us);
      cost->pool->tokens
          += part * cost->runs * level_share (budget, cost->distance);
    }
}

/* Returns the runs that one request makes at POOL's service, at any distance.
 */
static double
runs_at (const retry_costs_t *costs, const retry_pool_t *pool)
{
  double runs = 0;
  for (uint32_t i = 0; i < costs->count; i++)
    if (costs->items[i].pool == pool)
      runs += costs->items[i].runs;
  return runs;
}

bool
retry_costs_try_withdraw (const retry_costs_t *costs, retry_budget_t budget,
                          int64_t now_us, double draw)
{
  double probability = costs->is_complete ? 1 : 0;
  for (uint32_t i = 0; i < costs->count; i++)
    {
      retry_pool_t *pool = costs->items[i].pool;
      update_pool (pool, budget, now_us);
      probability = fmin (probability, pool->tokens / runs_at (costs, pool));
    }
  for (uint32_t i = 0; i < costs->count; i++)
    {
      retry_pool_t *pool = costs->items[i].pool;
      pool->tokens
          = fmax (pool->tokens - probability * costs->items[i].runs, 0);
    }
  return draw < probability;
}
