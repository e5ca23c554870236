#ifndef REDWINGFORD_RETRY_POOL_H
#define REDWINGFORD_RETRY_POOL_H

/* Token buckets for repeated runs at a service.  A retry repeats the runs of
   the whole call tree below it, so it is charged to the pool of each service
   there.  Every sidecar fills its own pools by the requests that it sends, so
   the limit holds for the fleet as a whole without coordination, also while
   sidecars cannot reach each other.  docs/design/retries.md has the
   arithmetic.  */

#include "mesh/call_graph.h"
#include "types.h"

enum
{
  RETRY_COSTS_MAX = 24 /* pools and distances of one call tree */
};

typedef struct retry_pool_t
{
  char service[NAME_BYTES];
  double tokens;      /* one for each repeated run */
  int64_t updated_us; /* 0 is never */
  /* The last route that is known to make calls there; "" is none.  */
  char calling_route[NAME_BYTES];
} retry_pool_t;

/* Retry budget of the whole fleet at each service.  */
typedef struct retry_budget_t
{
  double retries_per_first_attempt;
  double reserve; /* retries in addition, regardless of first attempts */
  uint32_t sidecar_count;
} retry_budget_t;

/* Runs at a service that one request of a route leads to.  */
typedef struct retry_cost_t
{
  retry_pool_t *pool; /* borrowed */
  double runs;
  uint32_t distance; /* calls on the path to it; 0 is the request itself */
} retry_cost_t;

typedef struct retry_costs_t
{
  retry_cost_t items[RETRY_COSTS_MAX];
  uint32_t count;
  bool is_complete; /* there was room for all */
  bool is_assumed;  /* calls of another route of the service */
} retry_costs_t;

/* Calls retry_costs_add for each service that runs ROUTE.  */
typedef void (*retry_pools_of_route_t) (void *ctx, const char *route,
                                        double runs, uint32_t distance,
                                        retry_costs_t *costs);

/* Sets up an empty pool for SERVICE.  */
void retry_pool_init (retry_pool_t *pool, const char *service);

/* Adds RUNS to the cost at POOL's service.  */
void retry_costs_add (retry_costs_t *costs, retry_pool_t *pool, double runs,
                      uint32_t distance);

/* Sets COSTS to those of one request of ROUTE at OWN's service.  As long as
   no calls of a route are known and it IS_NEW, it is taken to make those of
   another route of that service.  */
void retry_costs_find (retry_costs_t *costs, const call_graph_t *graph,
                       retry_pool_t *own, const char *route, bool is_new,
                       int64_t now_us, retry_pools_of_route_t pools_of_route,
                       void *ctx);

/* Who may repeat a request.  Each fills pools with a part of the budget.  */
typedef enum retry_party_t
{
  RETRY_BY_SENDER, /* the sidecar where it entered, for a first attempt */
  RETRY_BY_SERVER  /* the sidecar of its backend server, for a run */
} retry_party_t;

/* Adds tokens to the pools of the request's call tree for a first attempt.
   Tokens beyond this sidecar's part of the reserve are lost within seconds. */
void retry_costs_deposit (const retry_costs_t *costs, retry_party_t party,
                          retry_budget_t budget, int64_t now_us);

/* Takes tokens for one retry out of all pools of the call tree.  Where a pool
   holds only a part of its cost, the retry has that part as its probability,
   and the tokens are spent either way.  DRAW is random in [0, 1).  */
bool retry_costs_try_withdraw (const retry_costs_t *costs,
                               retry_budget_t budget, int64_t now_us,
                               double draw);

#endif
