#include "edge/entry_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/admission.h"

static const double COST_WEIGHT = 1.0 / 64; /* of one request in a mean */

typedef struct request_look_t
{
  const field_t *host;
  const field_t *key;
  int64_t timeout_us; /* 0 is "not told" */
  bool has_id;
} request_look_t;

/* Whether a Connection field names FIELD as one of this hop only.  */
static bool
is_nominated (const fields_t *fields, const field_t *field)
{
  char name[64];
  if (field->name_size >= sizeof name)
    return false;
  memcpy (name, field_name (fields, field), field->name_size);
  name[field->name_size] = '\0';
  for (uint32_t i = 0; i < fields->count; i++)
    if (field_has_name (fields, &fields->items[i], "Connection")
        && field_has_token (fields, &fields->items[i], name))
      return true;
  return false;
}

static request_look_t
read_fields (exchange_t *exchange)
{
  request_look_t look = { .host = NULL };
  const dialect_t *dialect = exchange->entry->parts.dialect;
  const fields_t *fields = &exchange->http->fields;
  bool nominates = false;
  char text[32];

  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      nominates = nominates || field_has_name (fields, field, "Connection");
      switch (dialect->request_field_role (fields, field))
        {
        case REQUEST_FIELD_ATTEMPT_ID:
          look.has_id = field_copy_value (fields, field, exchange->attempt_id,
                                          sizeof exchange->attempt_id);
          break;
        case REQUEST_FIELD_TIMEOUT:
          if (field_copy_value (fields, field, text, sizeof text))
            look.timeout_us = strtoll (text, NULL, 10) * US_PER_MS;
          continue;
        case REQUEST_FIELD_API_KEY:
          look.key = field;
          continue;
        case REQUEST_FIELD_RESERVED:
          continue;
        case REQUEST_FIELD_FORWARD:
          if (field_has_name (fields, field, "Host"))
            look.host = field;
          break;
        }
      if (!field_is_hop_by_hop (fields, field)
          && !(nominates && is_nominated (fields, field)))
        field_append (fields, field, &exchange->fields);
    }
  return look;
}

/* The caller's account.  False when the request has ended.  */
static bool
identify (exchange_t *exchange, const policy_route_t *route,
          const request_look_t *look)
{
  const policy_t *policy = exchange->entry->policy;
  const fields_t *fields = &exchange->http->fields;
  /* A backend server that calls on has no key, and callers share its address:
     a request without a key, on a route that needs none, counts as its call.
   */
  exchange->from_backend
      = policy->has_accounts && route->is_public && look->key == NULL;
  if (!policy->has_accounts || route->is_public)
    return true;
  int number = look->key == NULL ? -1
                                 : policy_find_account_by_key (
                                     policy, field_value (fields, look->key),
                                     look->key->value_size);
  if (number < 0)
    {
      exchange_finish (exchange, ENTRY_NO_KEY, 401);
      return false;
    }
  const policy_account_t *account = &policy->accounts[number];
  snprintf (exchange->account, sizeof exchange->account, "%s", account->name);
  if (account->priority >= 0)
    exchange->priority = (uint8_t)account->priority;
  return true;
}

/* Quota and overload.  False when the request was refused.  */
static bool
admit (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  if (exchange->from_backend)
    return true;
  if (exchange->account[0] != '\0')
    {
      if (!quota_acquire (entry->parts.quota, exchange->account))
        {
          exchange_finish (exchange, ENTRY_RATE, 429);
          return false;
        }
      exchange->charged = true;
    }
  const route_state_t *tree = exchange_tree (exchange);
  if (tree->cost_us > 0)
    *tree->mean_us += (tree->cost_us - *tree->mean_us) * COST_WEIGHT;
  snprintf (exchange->pressed, sizeof exchange->pressed, "%s", tree->pressed);
  exchange->pressure = tree->pressure;
  exchange->cost = tree->cost;
  admission_request_t request = {
    .pressure = tree->pressure,
    .cost = tree->cost,
    .priority = exchange->priority,
    .route_priority = exchange->route_priority,
  };
  if (request.pressure > 0
      && admission_should_refuse (&request, entry_draw (entry)))
    {
      exchange_finish (exchange, ENTRY_PRESSURE, 503);
      return false;
    }
  return true;
}

static void
set_route (exchange_t *exchange, const policy_route_t *route, int number,
           int64_t timeout_us)
{
  entry_point_t *entry = exchange->entry;
  int64_t begun_us = exchange->http->first_byte_us;
  int64_t left_us = route->timeout_us;
  if (timeout_us > 0 && timeout_us < left_us)
    left_us = timeout_us;
  exchange->deadline_us = begun_us + left_us;
  exchange->target_us = route->target_latency_us;
  exchange->edition = entry->edition;
  exchange->number = number;
  snprintf (exchange->route, sizeof exchange->route, "%s", route->name);
  exchange->runs = &entry->runs[entry_runs_slot (route->name)];
  exchange->idempotent = route->idempotent;
  exchange->priority = route->priority;
  exchange->route_priority = route->priority;
  exchange->attempts_left = route->attempts_max - 1;
  uint32_t part = route->destination_count == 1
                      ? 0
                      : split_pick_destination (&entry->routes[number].split,
                                                route->destinations,
                                                route->destination_count);
  snprintf (
      exchange->service, sizeof exchange->service, "%s",
      entry->policy->services[route->destinations[part].service_index].name);
}

/* Whether a stop leaves time for the request.  False when it was refused.  */
static bool
fits_stop (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->parts.loop->now_us;
  if (entry->stop_since_us == 0
      || admission_accepts_while_stopping (
          exchange->from_backend, now_us - entry->stop_since_us,
          entry->stop_end_us - now_us, (int64_t)exchange->runs->mean_us))
    return true;
  exchange_finish (exchange, ENTRY_STOPPING, 503);
  return false;
}

/* Whether the request is not one that crashes backend servers.  False when it
   was refused.  */
static bool
is_unsuspected (exchange_t *exchange)
{
  crash_suspects_t *suspects = exchange->entry->parts.suspects;
  const http_exchange_t *http = exchange->http;
  if (crash_suspects_is_empty (suspects)
      || !crash_suspects_should_refuse (
          suspects,
          crash_suspects_fingerprint (
              exchange->account, bytes_data (&http->target),
              bytes_data (&http->body), bytes_size (&http->body)),
          exchange->entry->parts.loop->now_us))
    return true;
  exchange_finish (exchange, ENTRY_SUSPECT, 503);
  return false;
}

static void
count_first (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  bool leaf = call_graph_is_leaf (entry->parts.graph, exchange->route,
                                  entry->parts.loop->now_us);
  retry_pool_deposit (entry_retry_pool (entry, exchange->service), leaf,
                      entry_retry_bounds (entry));
  if (!exchange->from_backend)
    return;
  call_learner_record_call (entry->parts.learner, exchange->route);
  entry->state.backend_calls++;
}

static void
on_request (void *ctx, http_exchange_t *http)
{
  entry_point_t *entry = ctx;
  exchange_t *exchange = calloc (1, sizeof *exchange);
  if (exchange == NULL)
    abort ();
  exchange->entry = entry;
  exchange->http = http;
  exchange->cause = CAUSE_COUNT;
  exchange->target_us = US_PER_S;
  exchange->deadline_us = entry->parts.loop->now_us + US_PER_S;
  http->user_data = exchange;
  entry->state.open_requests++;
  exchange->next_open = entry->open;
  if (entry->open != NULL)
    entry->open->prev_open = exchange;
  entry->open = exchange;
  ev_timer_init (&exchange->timer, exchange_on_timer, 0, 0);
  exchange->timer.data = exchange;

  if (entry->policy == NULL)
    {
      exchange_finish (exchange, ENTRY_NO_CONFIG, 503);
      return;
    }
  request_look_t look = read_fields (exchange);
  if (!look.has_id)
    {
      exchange_finish (exchange, ENTRY_BAD_REQUEST, 400);
      return;
    }
  int number = look.host == NULL
                   ? -1
                   : policy_find_route (
                       entry->policy, field_value (&http->fields, look.host),
                       look.host->value_size, bytes_data (&http->target));
  if (number < 0)
    {
      exchange_finish (exchange, ENTRY_NO_ROUTE, 404);
      return;
    }
  const policy_route_t *route = &entry->policy->routes[number];
  set_route (exchange, route, number, look.timeout_us);
  if (!identify (exchange, route, &look) || !fits_stop (exchange)
      || !is_unsuspected (exchange) || !admit (exchange))
    return;
  int64_t now_us = entry->parts.loop->now_us;
  exchange->patience_us = now_us
                          + admission_max_server_wait_us (
                              exchange->from_backend, exchange->target_us,
                              exchange->deadline_us - now_us);
  count_first (exchange);
  exchange_place (exchange);
}

static void
on_gone (void *ctx, http_exchange_t *http)
{
  exchange_t *exchange = http->user_data;
  (void)ctx;
  if (exchange == NULL)
    return;
  exchange_let_go (exchange);
  if (exchange->step == STEP_SENT)
    exchange_told_done (exchange, RUN_CANCELLED, 0, &(server_load_t){ 0 });
  exchange_count_end (exchange, ENTRY_GONE);
  exchange_free (exchange);
}

static void
on_drained (void *ctx, http_exchange_t *http)
{
  exchange_t *exchange = http->user_data;
  (void)ctx;
  if (exchange == NULL)
    return;
  if (exchange->run != NULL)
    run_pause (exchange->run, false);
  exchange_take (exchange, 0);
}

/* ----------------------------------------------------------------------- */

entry_point_t *
entry_new (const entry_deps_t *parts)
{
  entry_point_t *entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  entry->parts = *parts;
  entry->sidecars = 1;
  return entry;
}

void
entry_free (entry_point_t *entry)
{
  if (entry == NULL)
    return;
  free (entry->routes);
  free (entry);
}

void
entry_set_policy (entry_point_t *entry, const policy_t *policy)
{
  size_t count = policy != NULL ? policy->route_count + 1 : 1;
  free (entry->routes);
  entry->policy = policy;
  entry->edition++;
  entry->routes = calloc (count, sizeof *entry->routes);
  if (entry->routes == NULL)
    abort ();
}

void
entry_set_sidecar_count (entry_point_t *entry, uint32_t sidecars)
{
  entry->sidecars = sidecars > 0 ? sidecars : 1;
}

void
entry_set_stop_window (entry_point_t *entry, int64_t since_us, int64_t end_us)
{
  entry->stop_since_us = since_us;
  entry->stop_end_us = end_us;
}

void
entry_end_open_requests (entry_point_t *entry)
{
  while (entry->open != NULL)
    exchange_stop (entry->open);
}

http_handler_t
entry_handler (entry_point_t *entry)
{
  return (http_handler_t){ on_request, on_gone, on_drained, entry };
}

entry_state_t
entry_state (const entry_point_t *entry)
{
  return entry->state;
}

double
entry_mean_run_us (const entry_point_t *entry, const char *route)
{
  return entry->runs[entry_runs_slot (route)].mean_us;
}
