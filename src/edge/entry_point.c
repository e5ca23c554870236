#include "edge/entry_point.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mesh/admission.h"
#include "mesh/retry_pool.h"
#include "mesh/split.h"

enum
{
  PLACES_MAX = 8,    /* backend servers tried for one request */
  SERVICES_MAX = 64, /* with counts of their own */
  ROUTE_RUNS = 4096, /* routes with a mean of their own, by hash */
  RUN_SCALE_US = 100 * US_PER_MS, /* what a route's mean counts as */
  MARGIN_US = 20 * US_PER_MS, /* for an answer to reach its caller in time */
  TREE_SERVICES = 16,         /* that one request may lead to */
  PRESSURE_CACHE_US = 50 * US_PER_MS,
  OVERDUE_LEAST_US = 200 * US_PER_MS,
  RESEND_US = 50 * US_PER_MS, /* between two looks for a way */
  WINDOW_BYTES = 256 * 1024,  /* of an answer that its caller has not read */
  FIELD_BYTES = 256
};

/* What is kept of a route while a policy is in force.  */
typedef struct route_state_t
{
  split_t split;
  int64_t pressure_us;      /* when the rest was added up */
  char pressed[NAME_BYTES]; /* the most pressed service below it */
  double pressure;
  double cost; /* of a run there, as a part of the mean request's */
  double cost_us;
  double *mean_us; /* what a request costs that service, on average */
} route_state_t;

/* What is kept of a service.  */
typedef struct service_state_t
{
  retry_pool_t pool;
  double cost_us; /* of the requests that lead to it, on average */
} service_state_t;

/* How long the runs of one route take.  */
typedef struct route_runs_t
{
  double mean_us; /* 0 before the first */
} route_runs_t;

typedef struct exchange_t exchange_t;

struct entry_point_t
{
  entry_parts_t parts;
  const policy_t *policy;
  uint64_t edition;      /* counts the policies that were in force */
  route_state_t *routes; /* of the policy */
  service_state_t services[SERVICES_MAX];
  uint32_t service_count;
  route_runs_t runs[ROUTE_RUNS];
  uint32_t sidecars;
  int64_t stop_since_us; /* 0 is "not stopping" */
  int64_t stop_end_us;
  entry_state_t state;
};

/* Where an exchange stands.  */
typedef enum step_t
{
  STEP_PLACING, /* waits for a server or a link to be there */
  STEP_SENT,    /* on its way, queued or running somewhere */
  STEP_ASKING,  /* its link was lost; the other side is asked */
  STEP_ANSWERING
} step_t;

struct exchange_t
{
  entry_point_t *entry;
  http_exchange_t *http;
  ev_timer timer;
  step_t step;
  char attempt_id[ATTEMPT_ID_BYTES];
  char service[NAME_BYTES]; /* that is to run it */
  char route[NAME_BYTES];
  char pressed[NAME_BYTES]; /* the most pressed service that it leads to */
  double pressure;          /* there */
  double cost;              /* of this request there */
  uint64_t edition;         /* of the policy that it was admitted by */
  int number;               /* of its route there */
  char account[NAME_BYTES];
  route_runs_t *runs; /* of its route */
  bool idempotent;
  bool from_backend;
  bool charged; /* a token of the account's rate was taken */
  uint8_t priority;
  uint8_t route_priority;
  uint32_t attempts_left; /* servers that it may still reach */
  int64_t target_us;
  int64_t deadline_us;
  int64_t patience_us; /* when to stop waiting for a server */
  bytes_t fields;
  vm_id_t tried[PLACES_MAX];
  uint32_t tried_count;
  vm_id_t vm; /* where it was sent */
  uint64_t incarnation;
  run_t *run;
  peer_call_t *call;
  size_t untaken; /* bytes that the other side was not told of yet */
  cause_t cause;  /* of the last refusal or failure */
  bool may_have_run;
  bool hedged; /* no other server is tried for an overdue answer */
};

static const double RUN_WEIGHT = 1.0 / 32; /* of one run in a mean */
/* Mean runs after which an answer is overdue; the longest ordinary runs take
   five.  */
static const double OVERDUE_RUNS = 6;
static const double COST_WEIGHT = 1.0 / 64; /* of one request in a mean */
static const double RUNS_LEAST = 0.05;      /* rarer calls do not count */

static const char *const end_names[ENTRY_END_COUNT] = {
#define ENTRY_END_NAME(id, name) [ENTRY_##id] = (name),
  ENTRY_END_TABLE (ENTRY_END_NAME)
#undef ENTRY_END_NAME
};

const char *
entry_end_name (entry_end_t end)
{
  return end_names[end];
}

static retry_bounds_t
retry_bounds (const entry_point_t *entry)
{
  return (retry_bounds_t){ entry->parts.retry_share,
                           entry->parts.retry_reserve, entry->sidecars };
}

static service_state_t *
service_state (entry_point_t *entry, const char *service)
{
  for (uint32_t i = 0; i < entry->service_count; i++)
    if (strcmp (entry->services[i].pool.service, service) == 0)
      return &entry->services[i];
  if (entry->service_count == SERVICES_MAX)
    return &entry->services[SERVICES_MAX - 1];
  service_state_t *state = &entry->services[entry->service_count++];
  *state = (service_state_t){ .cost_us = 0 };
  retry_pool_open (&state->pool, service, retry_bounds (entry));
  return state;
}

static retry_pool_t *
retry_pool (entry_point_t *entry, const char *service)
{
  return &service_state (entry, service)->pool;
}

/* --- pressure ---------------------------------------------------------- */

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

static size_t
runs_slot (const char *route)
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
  walk->costs[walk->count++]
      = (tree_cost_t){ service,
                       placement_pressure (walk->entry->parts.placement,
                                           service, walk->now_us),
                       cost_us };
}

static void
add_route (void *ctx, const char *name, double runs, double run_us)
{
  tree_walk_t *walk = ctx;
  const policy_t *policy = walk->entry->policy;
  int number = policy_route_named (policy, name);
  if (number < 0 || runs < RUNS_LEAST)
    return;
  const policy_route_t *route = &policy->routes[number];
  for (uint32_t i = 0; i < route->part_count; i++)
    add_cost (walk, policy->services[route->parts[i].service].name,
              runs * run_us);
}

/* The most pressed service that a run of this route leads to.  */
static void
look_down (exchange_t *exchange, route_state_t *state, int64_t now_us)
{
  entry_point_t *entry = exchange->entry;
  tree_walk_t walk = { .entry = entry, .now_us = now_us };
  add_cost (&walk, exchange->service, exchange->runs->mean_us);
  call_graph_each (entry->parts.graph, exchange->route, now_us, add_route,
                   &walk);
  const tree_cost_t *most = &walk.costs[0];
  for (uint32_t i = 1; i < walk.count; i++)
    if (walk.costs[i].pressure > most->pressure)
      most = &walk.costs[i];
  snprintf (state->pressed, sizeof state->pressed, "%s", most->service);
  state->pressure = most->pressure;
  state->pressure_us = now_us;
  double *mean_us = &service_state (entry, most->service)->cost_us;
  state->cost
      = *mean_us > 0 && most->cost_us > 0 ? most->cost_us / *mean_us : 1;
  state->cost_us = most->cost_us;
  state->mean_us = mean_us;
}

/* What presses on this request, as far as its entry point can tell.  */
static const route_state_t *
tree_state (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->parts.loop->now_us;
  route_state_t *state = &entry->routes[exchange->number];
  if (state->pressure_us == 0
      || now_us - state->pressure_us > PRESSURE_CACHE_US)
    look_down (exchange, state, now_us);
  return state;
}

static bool
is_pressed (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  if (exchange->edition == entry->edition)
    return tree_state (exchange)->pressure > 0;
  return placement_pressure (entry->parts.placement, exchange->service,
                             entry->parts.loop->now_us)
         > 0;
}

/* --- ends -------------------------------------------------------------- */

static void
count_latency (entry_point_t *entry, int64_t us)
{
  uint32_t bucket = 0;
  while (us > 1 && bucket < 23)
    {
      us >>= 1;
      bucket++;
    }
  entry->state.latency_us[bucket]++;
}

static void
exchange_free (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  ev_timer_stop (entry->parts.loop->ev, &exchange->timer);
  if (exchange->http != NULL)
    exchange->http->user = NULL;
  bytes_free (&exchange->fields);
  entry->state.open--;
  free (exchange);
}

static void
count_end (exchange_t *exchange, entry_end_t end)
{
  entry_point_t *entry = exchange->entry;
  const loop_t *loop = entry->parts.loop;
  entry->state.ends[end]++;
  if (end == ENTRY_ANSWERED)
    {
      count_latency (entry, loop->now_us - exchange->http->begun_us);
      return;
    }
  event_log (
      entry->parts.log, EVENT_REQUEST, "request-end",
      "id=%s end=%s service=%s account=%s priority=%u call=%d "
      "cause=%s vm=%llx places=%u age-ms=%lld left-ms=%lld "
      "config=%llu route=%s pressed=%s pressure=%.3f "
      "cost=%.2f",
      exchange->attempt_id, end_names[end], exchange->service,
      exchange->account, exchange->priority, exchange->from_backend,
      exchange->cause < CAUSE_COUNT ? cause_name (exchange->cause) : "none",
      (unsigned long long)exchange->vm, exchange->tried_count,
      (long long)((loop->now_us - exchange->http->begun_us) / US_PER_MS),
      (long long)((exchange->deadline_us - loop->now_us) / US_PER_MS),
      (unsigned long long)(entry->policy != NULL ? entry->policy->version : 0),
      exchange->route,
      exchange->pressed[0] != '\0' ? exchange->pressed : "none",
      exchange->pressure, exchange->cost);
}

static double
draw (const entry_point_t *entry)
{
  return rng_unit (entry->parts.rng);
}

/* The one place where a request ends without a backend server's answer.  */
static void
finish (exchange_t *exchange, entry_end_t end, int status)
{
  entry_point_t *entry = exchange->entry;
  char headers[FIELD_BYTES];
  char body[FIELD_BYTES];
  int headers_size = 0;

  count_end (exchange, end);
  if (status == 429 || status == 503)
    {
      int64_t left_us = exchange->deadline_us - entry->parts.loop->now_us;
      uint32_t retry_ms
          = admission_retry_ms (left_us, exchange->target_us, draw (entry));
      headers_size
          = snprintf (headers, sizeof headers, "Retry-After: %u.%03u\r\n",
                      retry_ms / MS_PER_S, retry_ms % MS_PER_S);
    }
  int body_size = snprintf (body, sizeof body, "%s\n", end_names[end]);
  if (exchange->charged && status != 502 && status != 504)
    quota_return (entry->parts.quota, exchange->account);
  http_exchange_t *http = exchange->http;
  exchange_free (exchange);
  http_respond (http, status, headers, (size_t)headers_size, body,
                (size_t)body_size);
}

static void
finish_unanswered (exchange_t *exchange, entry_end_t end)
{
  if (exchange->may_have_run)
    finish (exchange, end == ENTRY_NO_ROOM ? ENTRY_UNKNOWN : end,
            end == ENTRY_DEADLINE ? 504 : 502);
  else
    finish (exchange, end, 503);
}

/* --- placing ----------------------------------------------------------- */

static void place (exchange_t *exchange);

static void
set_timer (exchange_t *exchange, int64_t until_us)
{
  loop_t *loop = exchange->entry->parts.loop;
  loop_timer (loop, &exchange->timer, until_us - loop->now_us);
}

/* When an answer is overdue: far beyond what runs of the route take, so that
   it is most likely lost.  */
static int64_t
overdue_us (const exchange_t *exchange)
{
  double run_us = exchange->runs->mean_us * OVERDUE_RUNS;
  return exchange->entry->parts.loop->now_us
         + (run_us > OVERDUE_LEAST_US ? (int64_t)run_us : OVERDUE_LEAST_US);
}

static void
arm_deadline (exchange_t *exchange)
{
  int64_t deadline_us = exchange->deadline_us - MARGIN_US;
  int64_t due_us = overdue_us (exchange);
  exchange->hedged = !exchange->idempotent || exchange->attempts_left == 0
                     || exchange->runs->mean_us <= 0 || due_us >= deadline_us;
  set_timer (exchange, exchange->hedged ? deadline_us : due_us);
}

/* Looks again soon, but not past UNTIL_US.  False when that has passed.  */
static bool
look_again (exchange_t *exchange, int64_t until_us)
{
  int64_t now_us = exchange->entry->parts.loop->now_us;
  if (until_us - now_us < US_PER_MS)
    return false;
  set_timer (exchange,
             until_us - now_us < RESEND_US ? until_us : now_us + RESEND_US);
  return true;
}

/* A run's time as a part of its route's mean, so that servers compare
   whatever mix of routes each has run.  */
static int64_t
scaled_run_us (exchange_t *exchange, int64_t run_us)
{
  route_runs_t *runs = exchange->runs;
  if (run_us <= 0)
    return 0;
  if (runs->mean_us <= 0)
    runs->mean_us = (double)run_us;
  runs->mean_us += ((double)run_us - runs->mean_us) * RUN_WEIGHT;
  return (int64_t)(RUN_SCALE_US * (double)run_us / runs->mean_us) + 1;
}

static void
told_done (exchange_t *exchange, run_result_t result, int64_t run_us,
           const server_load_t *load)
{
  placement_done (exchange->entry->parts.placement, exchange->service,
                  exchange->vm, result,
                  result == RUN_OK ? scaled_run_us (exchange, run_us) : run_us,
                  load, exchange->entry->parts.loop->now_us);
}

static void on_reply (void *ctx, const call_reply_t *reply, const char *body,
                      size_t size, bool last);
static void on_body (void *ctx, const char *data, size_t size, bool last);
static void on_failed (void *ctx, const call_failure_t *failure);

static forward_call_t
describe (const exchange_t *exchange)
{
  const entry_point_t *entry = exchange->entry;
  const http_exchange_t *http = exchange->http;
  int64_t left_us = exchange->deadline_us - entry->parts.loop->now_us;
  return (forward_call_t){
    .attempt_id = exchange->attempt_id,
    .method = http->method,
    .target = bytes_data (&http->target),
    .fields = bytes_data (&exchange->fields),
    .fields_size = bytes_size (&exchange->fields),
    .body = bytes_data (&http->body),
    .body_size = bytes_size (&http->body),
    .account = exchange->account,
    .caller = entry->parts.service,
    .service = exchange->service,
    .route = exchange->route,
    .incarnation = exchange->incarnation,
    .deadline_us = exchange->deadline_us - MARGIN_US,
    .wait_us
    = admission_wait_us (exchange->from_backend, exchange->target_us, left_us),
    .expected_us = (int64_t)exchange->runs->mean_us,
    .priority = exchange->priority,
    .idempotent = exchange->idempotent,
    .from_backend = exchange->from_backend,
    .resume = exchange->step == STEP_ASKING,
  };
}

/* Sends to exchange->vm.  False when it was refused at once, with the cause
   noted; the exchange may have ended when it returns true.  */
static bool
send_there (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  forward_call_t call = describe (exchange);
  call_sink_t sink = { on_reply, on_body, on_failed, exchange };
  call_failure_t failure
      = { .failure = FAILURE_REFUSED, .cause = CAUSE_NO_PEER };

  if (exchange->vm == peer_set_vm (entry->parts.peers))
    {
      entry->state.local++;
      start_t verdict = runner_start (entry->parts.runner, &call, &sink,
                                      &exchange->run, &failure);
      if (verdict != START_REFUSED)
        return true;
      exchange->run = NULL;
    }
  else
    {
      peer_t *peer = peer_set_find (entry->parts.peers, exchange->vm);
      entry->state.remote++;
      entry->state.far += peer != NULL && peer_is_far (peer);
      if (peer != NULL && !call.resume)
        exchange->incarnation = peer_incarnation (peer);
      exchange->call = peer != NULL ? peer_call (peer, &call, &sink) : NULL;
      if (exchange->call != NULL)
        return true;
    }
  exchange->cause = failure.cause;
  if (exchange->step != STEP_ASKING)
    told_done (exchange, RUN_SHED, 0, &failure.load);
  return false;
}

static void
note_tried (exchange_t *exchange)
{
  if (exchange->tried_count < PLACES_MAX)
    exchange->tried[exchange->tried_count++] = exchange->vm;
}

/* Sends to one server after the other until one takes it.  */
static void
place (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->parts.loop->now_us;

  exchange->step = STEP_PLACING;
  while (exchange->tried_count < PLACES_MAX
         && placement_pick (entry->parts.placement, exchange->service,
                            exchange->tried, exchange->tried_count, now_us,
                            &exchange->vm))
    {
      placement_sent (entry->parts.placement, exchange->service, exchange->vm);
      note_tried (exchange);
      exchange->step = STEP_SENT;
      arm_deadline (exchange);
      if (send_there (exchange))
        return;
      exchange->step = STEP_PLACING;
    }
  /* None is there at all, or none has said that it is full: one may be on
     its way back.  */
  bool worth_waiting = exchange->tried_count == 0
                       || exchange->cause == CAUSE_NO_PEER
                       || exchange->cause == CAUSE_NO_SERVER
                       || exchange->cause == CAUSE_CONNECT
                       || exchange->cause == CAUSE_SERVER_CHANGED
                       || exchange->cause == CAUSE_LEAVING;
  if (worth_waiting && look_again (exchange, exchange->patience_us))
    return;
  finish_unanswered (exchange, ENTRY_NO_ROOM);
}

/* Whether a second server may be tried after one that may have run it.  */
static bool
may_repeat (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t left_us = exchange->deadline_us - entry->parts.loop->now_us;
  if (!exchange->idempotent || exchange->attempts_left == 0
      || left_us < 2 * MARGIN_US)
    return false;
  if (!retry_pool_take (retry_pool (entry, exchange->service)))
    return false;
  exchange->attempts_left--;
  entry->state.retries[exchange->cause]++;
  return true;
}

static void
wait_to_ask (exchange_t *exchange)
{
  if (look_again (exchange, exchange->deadline_us - MARGIN_US))
    return;
  exchange->may_have_run = true;
  finish_unanswered (exchange, ENTRY_DEADLINE);
}

static void
ask (exchange_t *exchange)
{
  exchange->step = STEP_ASKING;
  if (send_there (exchange))
    arm_deadline (exchange);
  else
    wait_to_ask (exchange);
}

static void
let_go (exchange_t *exchange)
{
  if (exchange->run != NULL)
    run_cancel (exchange->run);
  if (exchange->call != NULL)
    peer_call_cancel (exchange->call);
  exchange->run = NULL;
  exchange->call = NULL;
}

/* An answer is overdue: another server is tried, if load is not the reason.
   True when that is under way, or the wait goes on.  */
static bool
try_elsewhere (exchange_t *exchange)
{
  if (exchange->step != STEP_SENT || exchange->hedged)
    return false;
  exchange->hedged = true;
  exchange->cause = CAUSE_OVERDUE;
  bool alone = placement_accepting (exchange->entry->parts.placement,
                                    exchange->service)
               < 2;
  if (alone || is_pressed (exchange) || !may_repeat (exchange))
    {
      set_timer (exchange, exchange->deadline_us - MARGIN_US);
      return true;
    }
  let_go (exchange);
  told_done (exchange, RUN_FAILED, 0, &(server_load_t){ 0 });
  exchange->may_have_run = true;
  place (exchange);
  return true;
}

static void
on_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  exchange_t *exchange = timer->data;
  entry_point_t *entry = exchange->entry;
  int64_t left_us
      = exchange->deadline_us - MARGIN_US - entry->parts.loop->now_us;
  (void)ev;
  (void)events;
  if (left_us > US_PER_MS && try_elsewhere (exchange))
    return;
  if (exchange->step == STEP_PLACING && left_us > US_PER_MS)
    {
      exchange->tried_count = 0;
      place (exchange);
      return;
    }
  if (exchange->step == STEP_ASKING && exchange->call == NULL
      && exchange->run == NULL && left_us > US_PER_MS)
    {
      ask (exchange);
      return;
    }
  if (exchange->step == STEP_SENT || exchange->step == STEP_ASKING)
    exchange->may_have_run = true;
  let_go (exchange);
  if (exchange->step == STEP_SENT)
    told_done (exchange, RUN_CANCELLED, 0, &(server_load_t){ 0 });
  if (exchange->step != STEP_ANSWERING)
    {
      finish_unanswered (exchange, ENTRY_DEADLINE);
      return;
    }
  http_exchange_t *http = exchange->http;
  count_end (exchange, ENTRY_DEADLINE);
  exchange_free (exchange);
  http_abort (http);
}

/* --- what comes back --------------------------------------------------- */

/* A failure of the server itself is worth another server's try.  */
static bool
tries_again (exchange_t *exchange, const call_reply_t *reply)
{
  if (reply->status < 500 || reply->status == 501 || reply->status == 504
      || !exchange->idempotent)
    return false;
  /* Under load the cause is most likely further down, where another try only
     adds to it.  */
  if (is_pressed (exchange))
    return false;
  exchange->cause = CAUSE_CUT;
  return may_repeat (exchange);
}

/* The caller sets the pace of a long answer.  */
static void
take (exchange_t *exchange, size_t size)
{
  bool full = http_unread (exchange->http) > WINDOW_BYTES;
  exchange->untaken += size;
  if (exchange->run != NULL && full)
    run_pause (exchange->run, true);
  if (exchange->call == NULL || full)
    return;
  peer_call_took (exchange->call, exchange->untaken);
  exchange->untaken = 0;
}

static void
on_reply (void *ctx, const call_reply_t *reply, const char *body, size_t size,
          bool last)
{
  exchange_t *exchange = ctx;
  bool asked = exchange->step == STEP_ASKING;

  if (last)
    {
      exchange->call = NULL;
      exchange->run = NULL;
    }
  if (!asked)
    told_done (exchange, reply->status < 500 ? RUN_OK : RUN_FAILED,
               reply->run_us, &reply->load);
  if (last && tries_again (exchange, reply))
    {
      exchange->may_have_run = true;
      place (exchange);
      return;
    }
  exchange->step = STEP_ANSWERING;
  http_exchange_t *http = exchange->http;
  if (last)
    {
      count_end (exchange, ENTRY_ANSWERED);
      exchange_free (exchange);
      http_respond (http, reply->status, reply->fields, reply->fields_size,
                    body, size);
      return;
    }
  http_begin (http, reply->status, reply->fields, reply->fields_size,
              reply->length);
  http_piece (http, body, size);
  take (exchange, size);
}

static void
on_body (void *ctx, const char *data, size_t size, bool last)
{
  exchange_t *exchange = ctx;
  http_exchange_t *http = exchange->http;
  http_piece (http, data, size);
  if (last)
    {
      count_end (exchange, ENTRY_ANSWERED);
      exchange_free (exchange);
      http_end (http);
      return;
    }
  take (exchange, size);
}

static void
refused (exchange_t *exchange, const call_failure_t *failure)
{
  entry_point_t *entry = exchange->entry;
  exchange->cause = failure->cause;
  /* Held everywhere; this sidecar has not heard of it yet.  */
  if (failure->cause == CAUSE_SUSPECT)
    {
      finish_unanswered (exchange, ENTRY_SUSPECT);
      return;
    }
  /* A server that was reached counts among those that are sent to again.  */
  if (failure->cause == CAUSE_SERVER_SHED)
    {
      if (!retry_pool_take (retry_pool (entry, exchange->service)))
        {
          finish_unanswered (exchange, ENTRY_NO_ROOM);
          return;
        }
      entry->state.retries[failure->cause]++;
    }
  place (exchange);
}

/* Whether a question about an earlier sending was lost itself.  Only the
   process that the sending went to can tell that it did not run.  */
static bool
is_no_answer (const call_failure_t *failure)
{
  return failure->cause == CAUSE_PEER_LOST || failure->cause == CAUSE_NO_PEER
         || failure->cause == CAUSE_WRONG_SERVICE;
}

static void
on_failed (void *ctx, const call_failure_t *failure)
{
  exchange_t *exchange = ctx;
  bool asked = exchange->step == STEP_ASKING;
  exchange->call = NULL;
  exchange->run = NULL;
  exchange->cause = failure->cause;
  if (exchange->step == STEP_ANSWERING)
    {
      http_exchange_t *http = exchange->http;
      count_end (exchange, ENTRY_BROKEN);
      exchange_free (exchange);
      http_abort (http);
      return;
    }
  if (!asked)
    told_done (exchange,
               failure->failure == FAILURE_REFUSED ? RUN_SHED
               : failure->failure == FAILURE_LOST  ? RUN_LOST
                                                   : RUN_FAILED,
               0, &failure->load);
  if (asked && is_no_answer (failure))
    {
      wait_to_ask (exchange);
      return;
    }
  if (failure->failure == FAILURE_REFUSED)
    {
      refused (exchange, failure);
      return;
    }
  /* What must run once is asked after, where it was sent.  */
  if (failure->cause == CAUSE_PEER_LOST && !exchange->idempotent
      && failure->failure == FAILURE_LOST)
    {
      ask (exchange);
      return;
    }
  exchange->may_have_run = true;
  if (may_repeat (exchange))
    place (exchange);
  else
    finish (exchange,
            failure->failure == FAILURE_LOST ? ENTRY_UNKNOWN : ENTRY_BROKEN,
            502);
}

/* --- admission --------------------------------------------------------- */

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
    if (field_is (fields, &fields->items[i], "Connection")
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
      nominates = nominates || field_is (fields, field, "Connection");
      switch (dialect->request_role (fields, field))
        {
        case REQUEST_ATTEMPT_ID:
          look.has_id = field_copy (fields, field, exchange->attempt_id,
                                    sizeof exchange->attempt_id);
          break;
        case REQUEST_TIMEOUT:
          if (field_copy (fields, field, text, sizeof text))
            look.timeout_us = strtoll (text, NULL, 10) * US_PER_MS;
          continue;
        case REQUEST_KEY:
          look.key = field;
          continue;
        case REQUEST_OWN:
          continue;
        case REQUEST_FORWARD:
          if (field_is (fields, field, "Host"))
            look.host = field;
          break;
        }
      if (!field_is_hop (fields, field)
          && !(nominates && is_nominated (fields, field)))
        field_write (fields, field, &exchange->fields);
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
      = policy->has_accounts && route->open && look->key == NULL;
  if (!policy->has_accounts || route->open)
    return true;
  int number = look->key == NULL
                   ? -1
                   : policy_account (policy, field_value (fields, look->key),
                                     look->key->value_size);
  if (number < 0)
    {
      finish (exchange, ENTRY_NO_KEY, 401);
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
      if (!quota_take (entry->parts.quota, exchange->account))
        {
          finish (exchange, ENTRY_RATE, 429);
          return false;
        }
      exchange->charged = true;
    }
  const route_state_t *tree = tree_state (exchange);
  if (tree->cost_us > 0)
    *tree->mean_us += (tree->cost_us - *tree->mean_us) * COST_WEIGHT;
  snprintf (exchange->pressed, sizeof exchange->pressed, "%s", tree->pressed);
  exchange->pressure = tree->pressure;
  exchange->cost = tree->cost;
  admission_case_t request = {
    .pressure = tree->pressure,
    .cost = tree->cost,
    .priority = exchange->priority,
    .route_priority = exchange->route_priority,
  };
  if (request.pressure > 0 && admission_refuses (&request, draw (entry)))
    {
      finish (exchange, ENTRY_PRESSURE, 503);
      return false;
    }
  return true;
}

static void
set_route (exchange_t *exchange, const policy_route_t *route, int number,
           int64_t timeout_us)
{
  entry_point_t *entry = exchange->entry;
  int64_t begun_us = exchange->http->begun_us;
  int64_t left_us = route->timeout_us;
  if (timeout_us > 0 && timeout_us < left_us)
    left_us = timeout_us;
  exchange->deadline_us = begun_us + left_us;
  exchange->target_us = route->target_us;
  exchange->edition = entry->edition;
  exchange->number = number;
  snprintf (exchange->route, sizeof exchange->route, "%s", route->name);
  exchange->runs = &entry->runs[runs_slot (route->name)];
  exchange->idempotent = route->idempotent;
  exchange->priority = route->priority;
  exchange->route_priority = route->priority;
  exchange->attempts_left = route->attempts - 1;
  uint32_t part = route->part_count == 1
                      ? 0
                      : split_next (&entry->routes[number].split, route->parts,
                                    route->part_count);
  snprintf (exchange->service, sizeof exchange->service, "%s",
            entry->policy->services[route->parts[part].service].name);
}

/* Whether a stop leaves time for the request.  False when it was refused.  */
static bool
fits_stop (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->parts.loop->now_us;
  if (entry->stop_since_us == 0
      || admission_fits_stop (
          exchange->from_backend, now_us - entry->stop_since_us,
          entry->stop_end_us - now_us, (int64_t)exchange->runs->mean_us))
    return true;
  finish (exchange, ENTRY_STOPPING, 503);
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
      || !crash_suspects_refuses (
          suspects,
          crash_fingerprint (exchange->account, bytes_data (&http->target),
                             bytes_data (&http->body),
                             bytes_size (&http->body)),
          exchange->entry->parts.loop->now_us))
    return true;
  finish (exchange, ENTRY_SUSPECT, 503);
  return false;
}

static void
count_first (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  bool leaf = call_graph_is_leaf (entry->parts.graph, exchange->route,
                                  entry->parts.loop->now_us);
  retry_pool_earn (retry_pool (entry, exchange->service), leaf,
                   retry_bounds (entry));
  if (!exchange->from_backend)
    return;
  call_learner_called (entry->parts.learner, exchange->route);
  entry->state.calls++;
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
  http->user = exchange;
  entry->state.open++;
  ev_timer_init (&exchange->timer, on_timer, 0, 0);
  exchange->timer.data = exchange;

  if (entry->policy == NULL)
    {
      finish (exchange, ENTRY_NO_CONFIG, 503);
      return;
    }
  request_look_t look = read_fields (exchange);
  if (!look.has_id)
    {
      finish (exchange, ENTRY_BAD_REQUEST, 400);
      return;
    }
  int number = look.host == NULL
                   ? -1
                   : policy_route (
                       entry->policy, field_value (&http->fields, look.host),
                       look.host->value_size, bytes_data (&http->target));
  if (number < 0)
    {
      finish (exchange, ENTRY_NO_ROUTE, 404);
      return;
    }
  const policy_route_t *route = &entry->policy->routes[number];
  set_route (exchange, route, number, look.timeout_us);
  if (!identify (exchange, route, &look) || !fits_stop (exchange)
      || !is_unsuspected (exchange) || !admit (exchange))
    return;
  int64_t now_us = entry->parts.loop->now_us;
  exchange->patience_us
      = now_us
        + admission_patience_us (exchange->from_backend, exchange->target_us,
                                 exchange->deadline_us - now_us);
  count_first (exchange);
  place (exchange);
}

static void
on_gone (void *ctx, http_exchange_t *http)
{
  exchange_t *exchange = http->user;
  (void)ctx;
  if (exchange == NULL)
    return;
  let_go (exchange);
  if (exchange->step == STEP_SENT)
    told_done (exchange, RUN_CANCELLED, 0, &(server_load_t){ 0 });
  count_end (exchange, ENTRY_GONE);
  exchange_free (exchange);
}

static void
on_drained (void *ctx, http_exchange_t *http)
{
  exchange_t *exchange = http->user;
  (void)ctx;
  if (exchange == NULL)
    return;
  if (exchange->run != NULL)
    run_pause (exchange->run, false);
  take (exchange, 0);
}

/* ----------------------------------------------------------------------- */

entry_point_t *
entry_new (const entry_parts_t *parts)
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
entry_set_sidecars (entry_point_t *entry, uint32_t sidecars)
{
  entry->sidecars = sidecars > 0 ? sidecars : 1;
}

void
entry_set_stop (entry_point_t *entry, int64_t since_us, int64_t end_us)
{
  entry->stop_since_us = since_us;
  entry->stop_end_us = end_us;
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
entry_run_us (const entry_point_t *entry, const char *route)
{
  return entry->runs[runs_slot (route)].mean_us;
}
