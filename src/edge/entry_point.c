#include "edge/entry_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/admission.h"

/* Weight of a new request in the moving average of a service's cost.  */
static const double COST_WEIGHT = 1.0 / 64;

typedef struct parsed_request_t
{
  const field_t *host;
  const field_t *key;
  int64_t timeout_us; /* how long the caller waits; 0 is unknown */
  bool has_attempt_id;
} parsed_request_t;

/* Whether a Connection field lists FIELD as hop-by-hop.  */
static bool
is_listed_in_connection (const fields_t *fields, const field_t *field)
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

/* Returns the time that FIELD says its caller waits, or 0.  */
static int64_t
read_timeout_us (const fields_t *fields, const field_t *field)
{
  char text[32];
  return field_copy_value (fields, field, text, sizeof text)
             ? strtoll (text, NULL, 10) * US_PER_MS
             : 0;
}

/* Returns the header fields that the sidecar uses, and copies the fields to
   forward into the exchange.  */
static parsed_request_t
read_fields (exchange_t *exchange)
{
  parsed_request_t parsed = { .host = NULL };
  const dialect_t *dialect = exchange->entry->deps.dialect;
  const fields_t *fields = &exchange->http->fields;
  bool has_connection_field = false;

  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      has_connection_field = has_connection_field
                             || field_has_name (fields, field, "Connection");
      switch (dialect->request_field_role (fields, field))
        {
        case REQUEST_FIELD_ATTEMPT_ID:
          parsed.has_attempt_id
              = field_copy_value (fields, field, exchange->attempt_id,
                                  sizeof exchange->attempt_id);
          break;
        case REQUEST_FIELD_TIMEOUT:
          parsed.timeout_us = read_timeout_us (fields, field);
          continue;
        case REQUEST_FIELD_API_KEY:
          parsed.key = field;
          continue;
        case REQUEST_FIELD_RESERVED:
          continue;
        case REQUEST_FIELD_FORWARD:
          if (field_has_name (fields, field, "Host"))
            parsed.host = field;
          break;
        }
      if (!field_is_hop_by_hop (fields, field)
          && !(has_connection_field
               && is_listed_in_connection (fields, field)))
        field_append (fields, field, &exchange->request_fields);
    }
  return parsed;
}

/* Sets the client account and its priority.  Returns false, having ended the
   exchange, when the route needs a key and the request has no valid one.  */
static bool
identify_account (exchange_t *exchange, const policy_route_t *route,
                  const parsed_request_t *parsed)
{
  const policy_t *policy = exchange->entry->policy;
  const fields_t *fields = &exchange->http->fields;
  /* The calls of the backend server have no key, and come from the same
     address as the requests of callers.  A request without a key, on a route
     that needs none, is therefore taken for a call of the backend server.  */
  exchange->from_backend
      = policy->requires_api_key && route->is_public && parsed->key == NULL;
  if (!policy->requires_api_key || route->is_public)
    return true;
  int account_index = parsed->key == NULL
                          ? -1
                          : policy_find_account_by_key (
                              policy, field_value (fields, parsed->key),
                              parsed->key->value_size);
  if (account_index < 0)
    {
      exchange_respond_error (exchange, ENTRY_NO_KEY, 401);
      return false;
    }
  const policy_account_t *account = &policy->accounts[account_index];
  snprintf (exchange->account, sizeof exchange->account, "%s", account->name);
  if (account->priority >= 0)
    exchange->priority = (uint8_t)account->priority;
  return true;
}

/* Checks the account's quota and the pressure on the call tree.  Returns
   false, having ended the exchange, when the request is refused.  Calls of the
   backend server are always admitted.  */
static bool
admit_request (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  if (exchange->from_backend)
    return true;
  if (exchange->account[0] != '\0')
    {
      if (!quota_acquire (entry->deps.quota, exchange->account,
                          entry->deps.loop->now_us))
        {
          exchange_respond_error (exchange, ENTRY_RATE_EXCEEDED, 429);
          return false;
        }
      exchange->quota_taken = true;
    }
  const route_state_t *route = exchange_route_state (exchange);
  if (route->cost_us > 0)
    *route->mean_cost_us
        += (route->cost_us - *route->mean_cost_us) * COST_WEIGHT;
  snprintf (exchange->bottleneck, sizeof exchange->bottleneck, "%s",
            route->bottleneck);
  exchange->pressure = route->pressure;
  exchange->relative_cost = route->relative_cost;
  admission_request_t request = {
    .pressure = route->pressure,
    .cost = route->relative_cost,
    .priority = exchange->priority,
    .route_priority = exchange->route_priority,
  };
  if (request.pressure > 0
      && admission_should_refuse (&request, entry_random (entry)))
    {
      exchange_respond_error (exchange, ENTRY_OVERLOAD, 503);
      return false;
    }
  return true;
}

/* Returns the timing of ROUTE, which is made if there is none.  */
static route_timing_t *
route_timing (entry_point_t *entry, const char *route)
{
  route_timing_t *timing
      = &entry->route_timings[entry_timing_slot (entry, route)];
  if (timing->route[0] == '\0')
    {
      snprintf (timing->route, sizeof timing->route, "%s", route);
      timing->first_used_us = entry->deps.loop->now_us;
    }
  return timing;
}

/* Sets the members of the exchange that depend on the route, and picks one of
   its services by weight.  TIMEOUT_US is how long the caller waits; 0 is
   unknown.  */
static void
set_route (exchange_t *exchange, const policy_route_t *route, int route_index,
           int64_t timeout_us)
{
  entry_point_t *entry = exchange->entry;
  int64_t first_byte_us = exchange->http->first_byte_us;
  int64_t allowed_us = route->timeout_us;
  if (timeout_us > 0 && timeout_us < allowed_us)
    allowed_us = timeout_us;
  exchange->deadline_us = first_byte_us + allowed_us;
  /* A caller that does not say how long it waits is taken to wait for as long
     as the route allows.  */
  if (timeout_us <= 0)
    exchange->http->deadline_us = exchange->deadline_us;
  exchange->target_latency_us = route->target_latency_us;
  exchange->policy_generation = entry->policy_generation;
  exchange->route_index = route_index;
  snprintf (exchange->route, sizeof exchange->route, "%s", route->name);
  exchange->timing = route_timing (entry, route->name);
  exchange->idempotent = route->idempotent;
  exchange->priority = route->priority;
  exchange->route_priority = route->priority;
  exchange->retries_left = route->attempts_max - 1;
  uint32_t destination
      = route->destination_count == 1
            ? 0
            : split_pick_destination (&entry->routes[route_index].split,
                                      route->destinations,
                                      route->destination_count);
  snprintf (
      exchange->service, sizeof exchange->service, "%s",
      entry->policy->services[route->destinations[destination].service_index]
          .name);
}

/* Checks that the sidecar still accepts the request if it is stopping (see
   admission_accepts_while_stopping).  Returns false, having ended the
   exchange, when it does not.  */
static bool
check_stop_window (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->deps.loop->now_us;
  if (entry->stop_since_us == 0
      || admission_accepts_while_stopping (
          exchange->from_backend, now_us - entry->stop_since_us,
          entry->stop_end_us - now_us, (int64_t)exchange->timing->mean_run_us))
    return true;
  exchange_respond_error (exchange, ENTRY_STOPPING, 503);
  return false;
}

static uint64_t
make_fingerprint (const exchange_t *exchange)
{
  const http_exchange_t *http = exchange->http;
  return crash_suspects_fingerprint (
      exchange->account, bytes_data (&http->target), bytes_data (&http->body),
      bytes_size (&http->body));
}

/* Checks that the request is not blocked as one that crashes backend servers.
   Returns false, having ended the exchange, when it is.  */
static bool
check_crash_suspect (exchange_t *exchange)
{
  crash_suspects_t *suspects = exchange->entry->deps.suspects;
  if (crash_suspects_is_empty (suspects)
      || !crash_suspects_should_refuse (suspects, make_fingerprint (exchange),
                                        exchange->entry->deps.loop->now_us))
    return true;
  exchange_respond_error (exchange, ENTRY_CRASH_SUSPECT, 503);
  return false;
}

bool
exchange_is_crash_suspect (const exchange_t *exchange)
{
  crash_suspects_t *suspects = exchange->entry->deps.suspects;
  return !crash_suspects_is_empty (suspects)
         && crash_suspects_is_suspected (suspects, make_fingerprint (exchange),
                                         exchange->entry->deps.loop->now_us);
}

/* Adds tokens to the retry pools of the request's call tree.  Also records the
   request if it is a call of the backend server.  */
static void
count_first_attempt (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  retry_costs_deposit (
      entry_retry_costs (entry, exchange->service, exchange->route),
      RETRY_BY_SENDER, entry_retry_budget (entry), entry->deps.loop->now_us);
  if (!exchange->from_backend)
    return;
  call_learner_record_call (entry->deps.learner, exchange->route);
  entry->stats.backend_calls++;
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
  exchange->target_latency_us = US_PER_S;
  exchange->deadline_us = entry->deps.loop->now_us + US_PER_S;
  http->user_data = exchange;
  entry->stats.open_requests++;
  exchange->next_open = entry->open_exchanges;
  if (entry->open_exchanges != NULL)
    entry->open_exchanges->prev_open = exchange;
  entry->open_exchanges = exchange;
  ev_timer_init (&exchange->timer, exchange_on_timer, 0, 0);
  exchange->timer.data = exchange;

  if (entry->policy == NULL)
    {
      exchange_respond_error (exchange, ENTRY_NO_CONFIG, 503);
      return;
    }
  parsed_request_t parsed = read_fields (exchange);
  if (parsed.timeout_us > 0)
    http->deadline_us = http->first_byte_us + parsed.timeout_us;
  if (!parsed.has_attempt_id)
    {
      exchange_respond_error (exchange, ENTRY_BAD_REQUEST, 400);
      return;
    }
  int route_index
      = parsed.host == NULL
            ? -1
            : policy_find_route (
                entry->policy, field_value (&http->fields, parsed.host),
                parsed.host->value_size, bytes_data (&http->target));
  if (route_index < 0)
    {
      exchange_respond_error (exchange, ENTRY_NO_ROUTE, 404);
      return;
    }
  const policy_route_t *route = &entry->policy->routes[route_index];
  set_route (exchange, route, route_index, parsed.timeout_us);
  if (!identify_account (exchange, route, &parsed)
      || !check_stop_window (exchange) || !check_crash_suspect (exchange)
      || !admit_request (exchange))
    return;
  int64_t now_us = entry->deps.loop->now_us;
  exchange->wait_until_us
      = now_us
        + admission_max_server_wait_us (exchange->from_backend,
                                        exchange->target_latency_us,
                                        exchange->deadline_us - now_us);
  count_first_attempt (exchange);
  exchange_place (exchange);
}

static void
on_caller_gone (void *ctx, http_exchange_t *http)
{
  exchange_t *exchange = http->user_data;
  (void)ctx;
  if (exchange == NULL)
    return;
  exchange_cancel_attempt (exchange);
  if (exchange->step == STEP_SENT)
    exchange_report_attempt (exchange, RUN_CANCELLED, 0,
                             &(server_load_t){ 0 });
  exchange_count_end (exchange, ENTRY_CALLER_GONE);
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
  exchange_update_flow (exchange, 0);
}

static void
on_response_behind (void *ctx, http_exchange_t *http)
{
  exchange_t *exchange = http->user_data;
  (void)ctx;
  if (exchange != NULL)
    exchange_on_response_behind (exchange);
}

static int64_t
refused_deadline_us (void *ctx, const http_exchange_t *http)
{
  const entry_point_t *entry = ctx;
  const fields_t *fields = &http->fields;
  uint32_t complete = fields->count;
  if (http->method == NULL && complete > 0)
    complete--;
  for (uint32_t i = 0; i < complete; i++)
    {
      const field_t *field = &fields->items[i];
      if (entry->deps.dialect->request_field_role (fields, field)
          != REQUEST_FIELD_TIMEOUT)
        continue;
      int64_t timeout_us = read_timeout_us (fields, field);
      return timeout_us > 0 ? http->first_byte_us + timeout_us : 0;
    }
  return 0;
}

/* ----------------------------------------------------------------------- */

entry_point_t *
entry_new (const entry_deps_t *deps)
{
  entry_point_t *entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  entry->deps = *deps;
  entry->sidecar_count = 1;
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
entry_set_rollouts (entry_point_t *entry, rollout_feed_t *rollouts)
{
  entry->rollouts = rollouts;
}

void
entry_set_policy (entry_point_t *entry, const policy_t *policy)
{
  size_t count = policy != NULL ? policy->route_count + 1 : 1;
  free (entry->routes);
  entry->policy = policy;
  entry->policy_generation++;
  entry->routes = calloc (count, sizeof *entry->routes);
  if (entry->routes == NULL)
    abort ();
}

void
entry_set_sidecar_count (entry_point_t *entry, uint32_t count)
{
  entry->sidecar_count = count > 0 ? count : 1;
}

void
entry_count_run (entry_point_t *entry, const char *route)
{
  retry_costs_deposit (entry_retry_costs (entry, entry->deps.service, route),
                       RETRY_BY_SERVER, entry_retry_budget (entry),
                       entry->deps.loop->now_us);
}

bool
entry_take_resend (entry_point_t *entry, const char *route)
{
  bool taken = entry_take_retry (entry, entry->deps.service, route);
  entry->stats.resends += taken;
  entry->stats.resends_held += !taken;
  return taken;
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
  while (entry->open_exchanges != NULL)
    exchange_end_for_stop (entry->open_exchanges);
}

http_handler_t
entry_handler (entry_point_t *entry)
{
  return (http_handler_t){ on_request,         on_caller_gone,      on_drained,
                           on_response_behind, refused_deadline_us, entry };
}

entry_stats_t
entry_stats (const entry_point_t *entry)
{
  return entry->stats;
}

double
entry_mean_run_us (const entry_point_t *entry, const char *route)
{
  return entry->route_timings[entry_timing_slot (entry, route)].mean_run_us;
}
