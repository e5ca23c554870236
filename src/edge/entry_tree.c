#include "edge/entry_impl.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  TREE_SERVICES_MAX = 16, /* evaluated in the call tree of one request */
  PRESSURE_CACHE_US = 50 * US_PER_MS,
  RETRY_CACHE_US = 200 * US_PER_MS,
  NEW_ROUTE_US = 10 * US_PER_S /* until its calls should be known */
};

/* Callees with fewer runs than this for each request are left out of the call
   tree.  */
static const double RUNS_MIN = 0.05;

retry_budget_t
entry_retry_budget (const entry_point_t *entry)
{
  return (retry_budget_t){ entry->deps.retry_share, entry->deps.retry_reserve,
                           entry->sidecar_count };
}

service_state_t *
entry_service_state (entry_point_t *entry, const char *service)
{
  for (uint32_t i = 0; i < entry->service_count; i++)
    if (strcmp (entry->services[i].pool.service, service) == 0)
      return &entry->services[i];
  if (entry->service_count == SERVICES_MAX)
    return &entry->services[SERVICES_MAX - 1];
  service_state_t *state = &entry->services[entry->service_count++];
  *state = (service_state_t){ .mean_cost_us = 0 };
  retry_pool_init (&state->pool, service);
  return state;
}

/* Adds RUNS of the route NAME to the costs at its services, by weight.  */
static void
add_retry_cost (void *ctx, const char *name, double runs, uint32_t distance,
                retry_costs_t *costs)
{
  entry_point_t *entry = ctx;
  const policy_t *policy = entry->policy;
  int index = policy != NULL ? policy_find_route_by_name (policy, name) : -1;
  if (index < 0)
    return;
  const policy_route_t *route = &policy->routes[index];
  double weights = 0;
  for (uint32_t i = 0; i < route->destination_count; i++)
    weights += route->destinations[i].weight;
  for (uint32_t i = 0; i < route->destination_count && weights > 0; i++)
    {
      const policy_destination_t *destination = &route->destinations[i];
      const char *service = policy->services[destination->service_index].name;
      retry_costs_add (costs, &entry_service_state (entry, service)->pool,
                       runs * destination->weight / weights, distance);
    }
}

const retry_costs_t *
entry_retry_costs (entry_point_t *entry, const char *service,
                   const char *route)
{
  int64_t now_us = entry->deps.loop->now_us;
  const route_timing_t *timing
      = &entry->route_timings[entry_timing_slot (entry, route)];
  size_t slot = XXH3_64bits (route, strlen (route)) % RETRY_TREES_CACHED;
  retry_tree_t *tree = &entry->retry_trees[slot];
  if (tree->computed_us != 0 && now_us - tree->computed_us < RETRY_CACHE_US
      && strcmp (tree->route, route) == 0
      && strcmp (tree->service, service) == 0)
    return &tree->costs;
  snprintf (tree->route, sizeof tree->route, "%s", route);
  snprintf (tree->service, sizeof tree->service, "%s", service);
  tree->computed_us = now_us;
  retry_costs_find (&tree->costs, entry->deps.graph,
                    &entry_service_state (entry, service)->pool, route,
                    now_us - timing->first_used_us < NEW_ROUTE_US, now_us,
                    add_retry_cost, entry);
  return &tree->costs;
}

bool
entry_take_retry (entry_point_t *entry, const char *service, const char *route)
{
  return retry_costs_try_withdraw (
      entry_retry_costs (entry, service, route), entry_retry_budget (entry),
      entry->deps.loop->now_us, entry_random (entry));
}

/* Cost of a request at one service of its call tree.  */
typedef struct service_cost_t
{
  const char *service;
  double pressure;
  double cost_us; /* run time at its backend servers */
} service_cost_t;

typedef struct tree_walk_t
{
  entry_point_t *entry;
  int64_t now_us;
  service_cost_t costs[TREE_SERVICES_MAX];
  uint32_t count;
} tree_walk_t;

size_t
entry_timing_slot (const entry_point_t *entry, const char *route)
{
  size_t first = XXH3_64bits (route, strlen (route)) % ROUTE_TIMING_SLOTS;
  for (size_t i = 0; i < ROUTE_TIMING_PROBES; i++)
    {
      size_t slot = (first + i) % ROUTE_TIMING_SLOTS;
      const char *owner = entry->route_timings[slot].route;
      if (owner[0] == '\0' || strcmp (owner, route) == 0)
        return slot;
    }
  return first;
}

/* Adds COST_US to SERVICE.  Services past TREE_SERVICES_MAX are left out.  */
static void
add_service_cost (tree_walk_t *walk, const char *service, double cost_us)
{
  for (uint32_t i = 0; i < walk->count; i++)
    if (strcmp (walk->costs[i].service, service) == 0)
      {
        walk->costs[i].cost_us += cost_us;
        return;
      }
  if (walk->count == TREE_SERVICES_MAX)
    return;
  walk->costs[walk->count++] = (service_cost_t){
    service,
    placement_service_pressure (walk->entry->deps.placement, service,
                                walk->now_us),
    cost_us
  };
}

/* Adds RUNS runs of the route NAME, of RUN_US each, to the cost of each of the
   route's services.  */
static void
add_route_cost (void *ctx, const char *name, double runs, double run_us,
                uint32_t distance)
{
  tree_walk_t *walk = ctx;
  (void)distance;
  const policy_t *policy = walk->entry->policy;
  int route_index = policy_find_route_by_name (policy, name);
  if (route_index < 0 || runs < RUNS_MIN)
    return;
  const policy_route_t *route = &policy->routes[route_index];
  for (uint32_t i = 0; i < route->destination_count; i++)
    add_service_cost (
        walk, policy->services[route->destinations[i].service_index].name,
        runs * run_us);
}

/* Finds the service of the route's call tree with the highest pressure, and
   the cost of a request there, and stores both in STATE.  */
static void
find_bottleneck (exchange_t *exchange, route_state_t *state, int64_t now_us)
{
  entry_point_t *entry = exchange->entry;
  tree_walk_t walk = { .entry = entry, .now_us = now_us };
  add_service_cost (&walk, exchange->service, exchange->timing->mean_run_us);
  call_graph_visit_callees (entry->deps.graph, exchange->route, now_us,
                            add_route_cost, &walk);
  const service_cost_t *bottleneck = &walk.costs[0];
  for (uint32_t i = 1; i < walk.count; i++)
    if (walk.costs[i].pressure > bottleneck->pressure)
      bottleneck = &walk.costs[i];
  snprintf (state->bottleneck, sizeof state->bottleneck, "%s",
            bottleneck->service);
  state->pressure = bottleneck->pressure;
  state->computed_us = now_us;
  double *mean_cost_us
      = &entry_service_state (entry, bottleneck->service)->mean_cost_us;
  state->relative_cost = *mean_cost_us > 0 && bottleneck->cost_us > 0
                             ? bottleneck->cost_us / *mean_cost_us
                             : 1;
  state->cost_us = bottleneck->cost_us;
  state->mean_cost_us = mean_cost_us;
}

const route_state_t *
exchange_route_state (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->deps.loop->now_us;
  route_state_t *state = &entry->routes[exchange->route_index];
  if (state->computed_us == 0
      || now_us - state->computed_us > PRESSURE_CACHE_US)
    find_bottleneck (exchange, state, now_us);
  return state;
}

bool
exchange_is_under_pressure (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  if (exchange->policy_generation == entry->policy_generation)
    return exchange_route_state (exchange)->pressure > 0;
  return placement_service_pressure (entry->deps.placement, exchange->service,
                                     entry->deps.loop->now_us)
         > 0;
}
