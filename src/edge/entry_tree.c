#include "edge/entry_impl.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  TREE_SERVICES = 16, /* that one request may lead to */
  PRESSURE_CACHE_US = 50 * US_PER_MS
};

static const double RUNS_LEAST = 0.05; /* rarer calls do not count */

retry_budget_t
entry_retry_bounds (const entry_point_t *entry)
{
  return (retry_budget_t){ entry->parts.retry_share,
                           entry->parts.retry_reserve, entry->sidecars };
}

service_state_t *
entry_service (entry_point_t *entry, const char *service)
{
  for (uint32_t i = 0; i < entry->service_count; i++)
    if (strcmp (entry->services[i].pool.service, service) == 0)
      return &entry->services[i];
  if (entry->service_count == SERVICES_MAX)
    return &entry->services[SERVICES_MAX - 1];
  service_state_t *state = &entry->services[entry->service_count++];
  *state = (service_state_t){ .cost_us = 0 };
  retry_pool_init (&state->pool, service);
  return state;
}

retry_pool_t *
entry_retry_pool (entry_point_t *entry, const char *service)
{
  return &entry_service (entry, service)->pool;
}

/* What a run of one route costs one service.  */
typedef struct tree_cost_t
{
  const char *service;
  double pressure;
  double cost_us; /* of its backend servers' time */
} tree_cost_t;

typedef struct tree_walk_t
{
  entry_point_t *entry;
  int64_t now_us;
  tree_cost_t costs[TREE_SERVICES];
  uint32_t count;
} tree_walk_t;

size_t
entry_runs_slot (const char *route)
{
  return XXH3_64bits (route, strlen (route)) % ROUTE_RUNS;
}

static void
add_cost (tree_walk_t *walk, const char *service, double cost_us)
{
  for (uint32_t i = 0; i < walk->count; i++)
    if (strcmp (walk->costs[i].service, service) == 0)
      {
        walk->costs[i].cost_us += cost_us;
        return;
      }
  if (walk->count == TREE_SERVICES)
    return;
  walk->costs[walk->count++] = (tree_cost_t){ service,
                                              placement_service_pressure (
                                                  walk->entry->parts.placement,
                                                  service, walk->now_us),
                                              cost_us };
}

static void
add_route (void *ctx, const char *name, double runs, double run_us)
{
  tree_walk_t *walk = ctx;
  const policy_t *policy = walk->entry->policy;
  int number = policy_find_route_by_name (policy, name);
  if (number < 0 || runs < RUNS_LEAST)
    return;
  const policy_route_t *route = &policy->routes[number];
  for (uint32_t i = 0; i < route->destination_count; i++)
    add_cost (walk,
              policy->services[route->destinations[i].service_index].name,
              runs * run_us);
}

/* The most pressed service that a run of this route leads to.  */
static void
look_down (exchange_t *exchange, route_state_t *state, int64_t now_us)
{
  entry_point_t *entry = exchange->entry;
  tree_walk_t walk = { .entry = entry, .now_us = now_us };
  add_cost (&walk, exchange->service, exchange->runs->mean_us);
  call_graph_visit_callees (entry->parts.graph, exchange->route, now_us,
                            add_route, &walk);
  const tree_cost_t *most = &walk.costs[0];
  for (uint32_t i = 1; i < walk.count; i++)
    if (walk.costs[i].pressure > most->pressure)
      most = &walk.costs[i];
  snprintf (state->pressed, sizeof state->pressed, "%s", most->service);
  state->pressure = most->pressure;
  state->pressure_us = now_us;
  double *mean_us = &entry_service (entry, most->service)->cost_us;
  state->cost
      = *mean_us > 0 && most->cost_us > 0 ? most->cost_us / *mean_us : 1;
  state->cost_us = most->cost_us;
  state->mean_us = mean_us;
}

const route_state_t *
exchange_tree (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->parts.loop->now_us;
  route_state_t *state = &entry->routes[exchange->number];
  if (state->pressure_us == 0
      || now_us - state->pressure_us > PRESSURE_CACHE_US)
    look_down (exchange, state, now_us);
  return state;
}

bool
exchange_is_pressed (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  if (exchange->edition == entry->edition)
    return exchange_tree (exchange)->pressure > 0;
  return placement_service_pressure (entry->parts.placement, exchange->service,
                                     entry->parts.loop->now_us)
         > 0;
}
