#include "edge/entry_impl.h"

#include "mesh/admission.h"

enum
{
  RUN_SCALE_US = 100 * US_PER_MS, /* what a route's mean counts as */
  OVERDUE_LEAST_US = 200 * US_PER_MS,
  RESEND_US = 50 * US_PER_MS /* between two looks for a way */
};

static const double RUN_WEIGHT = 1.0 / 32; /* of one run in a mean */
/* Mean runs after which an answer is overdue; the longest ordinary runs take
   five.  */
static const double OVERDUE_RUNS = 6;

static void
set_timer (exchange_t *exchange, int64_t until_us)
{
  loop_t *loop = exchange->entry->parts.loop;
  loop_start_timer (loop, &exchange->timer, until_us - loop->now_us);
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

void
exchange_told_done (exchange_t *exchange, run_result_t result, int64_t run_us,
                    const server_load_t *load)
{
  placement_record_result (
      exchange->entry->parts.placement, exchange->service, exchange->vm,
      result, result == RUN_OK ? scaled_run_us (exchange, run_us) : run_us,
      load, exchange->entry->parts.loop->now_us);
}

static call_request_t
describe (const exchange_t *exchange)
{
  const entry_point_t *entry = exchange->entry;
  const http_exchange_t *http = exchange->http;
  int64_t left_us = exchange->deadline_us - entry->parts.loop->now_us;
  return (call_request_t){
    .attempt_id = exchange->attempt_id,
    .method = http->method,
    .target = bytes_data (&http->target),
    .fields = bytes_data (&exchange->fields),
    .fields_size = bytes_size (&exchange->fields),
    .body = bytes_data (&http->body),
    .body_size = bytes_size (&http->body),
    .account = exchange->account,
    .caller_service = entry->parts.service,
    .service = exchange->service,
    .route = exchange->route,
    .incarnation = exchange->incarnation,
    .deadline_us = exchange->deadline_us - MARGIN_US,
    .max_wait_us = admission_max_queue_wait_us (exchange->from_backend,
                                                exchange->target_us, left_us),
    .expected_run_us = (int64_t)exchange->runs->mean_us,
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
  call_request_t call = describe (exchange);
  call_sink_t sink = exchange_sink (exchange);
  call_failure_t failure = { .kind = FAILURE_REFUSED, .cause = CAUSE_NO_PEER };

  if (exchange->vm == peer_set_own_vm (entry->parts.peers))
    {
      entry->state.placed_local++;
      start_verdict_t verdict = runner_start_call (
          entry->parts.runner, &call, &sink, &exchange->run, &failure);
      if (verdict != START_REFUSED)
        return true;
      exchange->run = NULL;
    }
  else
    {
      peer_t *peer = peer_set_find (entry->parts.peers, exchange->vm);
      entry->state.placed_remote++;
      entry->state.placed_cross_zone
          += peer != NULL && peer_is_cross_zone (peer);
      if (peer != NULL && !call.resume)
        exchange->incarnation = peer_incarnation (peer);
      exchange->call
          = peer != NULL ? peer_send_call (peer, &call, &sink) : NULL;
      if (exchange->call != NULL)
        return true;
    }
  exchange->cause = failure.cause;
  if (exchange->step != STEP_ASKING)
    exchange_told_done (exchange, RUN_SHED, 0, &failure.load);
  return false;
}

static void
note_tried (exchange_t *exchange)
{
  if (exchange->tried_count < PLACES_MAX)
    exchange->tried[exchange->tried_count++] = exchange->vm;
}

static bool
stop_is_over (const entry_point_t *entry)
{
  return entry->stop_since_us != 0
         && entry->parts.loop->now_us >= entry->stop_end_us;
}

void
exchange_place (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->parts.loop->now_us;

  exchange->step = STEP_PLACING;
  if (stop_is_over (entry))
    {
      /* Nobody would be here for its answer.  */
      exchange_give_up (exchange, ENTRY_STOPPING);
      return;
    }
  while (exchange->tried_count < PLACES_MAX
         && placement_pick_server (entry->parts.placement, exchange->service,
                                   exchange->tried, exchange->tried_count,
                                   now_us, &exchange->vm))
    {
      placement_record_send (entry->parts.placement, exchange->service,
                             exchange->vm);
      note_tried (exchange);
      exchange->step = STEP_SENT;
      arm_deadline (exchange);
      if (send_there (exchange))
        return;
      exchange->step = STEP_PLACING;
    }
  /* None is there at all, or none has said that it is full: one may be on
     its way back.  */
  bool worth_waiting = exchange->tried_count == 0 || exchange->broken_off
                       || exchange->cause == CAUSE_NO_PEER
                       || exchange->cause == CAUSE_NO_SERVER
                       || exchange->cause == CAUSE_CONNECT
                       || exchange->cause == CAUSE_SERVER_CHANGED
                       || exchange->cause == CAUSE_LEAVING;
  int64_t until_us = exchange->broken_off ? exchange->deadline_us - MARGIN_US
                                          : exchange->patience_us;
  if (worth_waiting && look_again (exchange, until_us))
    return;
  exchange_give_up (exchange, ENTRY_NO_ROOM);
}

bool
exchange_may_repeat (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t left_us = exchange->deadline_us - entry->parts.loop->now_us;
  if (!exchange->idempotent || exchange->attempts_left == 0
      || left_us < 2 * MARGIN_US)
    return false;
  if (!retry_pool_try_withdraw (entry_retry_pool (entry, exchange->service)))
    return false;
  exchange->attempts_left--;
  entry->state.retries[exchange->cause]++;
  return true;
}

void
exchange_wait_to_ask (exchange_t *exchange)
{
  if (look_again (exchange, exchange->deadline_us - MARGIN_US))
    return;
  exchange->may_have_run = true;
  exchange_give_up (exchange, ENTRY_DEADLINE);
}

void
exchange_ask (exchange_t *exchange)
{
  exchange->step = STEP_ASKING;
  if (send_there (exchange))
    arm_deadline (exchange);
  else
    exchange_wait_to_ask (exchange);
}

void
exchange_gather (exchange_t *exchange)
{
  exchange->step = STEP_GATHERING;
  set_timer (exchange, exchange->deadline_us - MARGIN_US);
}

void
exchange_let_go (exchange_t *exchange)
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
  bool alone = placement_accepting_count (exchange->entry->parts.placement,
                                          exchange->service)
               < 2;
  /* A stop leaves little time to begin anew.  */
  bool stopping = exchange->entry->stop_since_us != 0;
  if (alone || stopping || exchange_is_pressed (exchange)
      || !exchange_may_repeat (exchange))
    {
      set_timer (exchange, exchange->deadline_us - MARGIN_US);
      return true;
    }
  exchange_let_go (exchange);
  exchange_told_done (exchange, RUN_FAILED, 0, &(server_load_t){ 0 });
  exchange->may_have_run = true;
  /* Its caller would have had an answer: another one is owed.  */
  exchange->broken_off = true;
  exchange_place (exchange);
  return true;
}

/* Ends it whatever its run does.  */
static void
end_now (exchange_t *exchange, entry_end_t end)
{
  bool begun = exchange->run == NULL || run_has_begun (exchange->run);
  if ((exchange->step == STEP_SENT && begun) || exchange->step == STEP_ASKING
      || exchange->step == STEP_GATHERING)
    exchange->may_have_run = true;
  exchange_let_go (exchange);
  if (exchange->step == STEP_SENT)
    exchange_told_done (exchange, RUN_CANCELLED, 0, &(server_load_t){ 0 });
  if (exchange->step != STEP_ANSWERING)
    {
      exchange_give_up (exchange, end);
      return;
    }
  http_exchange_t *http = exchange->http;
  exchange_count_end (exchange, end);
  exchange_free (exchange);
  http_abort_response (http);
}

void
exchange_stop (exchange_t *exchange)
{
  end_now (exchange, ENTRY_STOPPING);
}

void
exchange_on_timer (struct ev_loop *ev, ev_timer *timer, int events)
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
      exchange_place (exchange);
      return;
    }
  if (exchange->step == STEP_ASKING && exchange->call == NULL
      && exchange->run == NULL && left_us > US_PER_MS)
    {
      exchange_ask (exchange);
      return;
    }
  end_now (exchange, ENTRY_DEADLINE);
}
