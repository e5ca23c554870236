#include "edge/entry_impl.h"

#include <string.h>

#include "mesh/admission.h"

enum
{
  /* Measured run times are scaled so that the mean of each route becomes this
     time.  */
  NORMALIZED_RUN_US = 100 * US_PER_MS,
  OVERDUE_MIN_US = 200 * US_PER_MS, /* no reply is overdue earlier */
  /* Time between two checks whether an overdue request can be retried now.  */
  OVERDUE_CHECK_INTERVAL_US = 200 * US_PER_MS,
  RETRY_INTERVAL_US = 50 * US_PER_MS, /* between two tries to reach a server */
  QUERY_IDEMPOTENT_US = 250 * US_PER_MS, /* until a link stands again */
  SILENT_SERVERS_MAX = 4 /* picks until a server with a silent link is used */
};

/* Weight of a new run in the moving average of its route's run time.  */
static const double RUN_WEIGHT = 1.0 / 32;
/* A reply is overdue after this many times its route's mean run time; the
   longest ordinary runs take five times the mean.  */
static const double OVERDUE_FACTOR = 6;

static void
set_timer (exchange_t *exchange, int64_t until_us)
{
  loop_t *loop = exchange->entry->deps.loop;
  loop_start_timer (loop, &exchange->timer, until_us - loop->now_us);
}

/* Returns the time at which the reply to the current attempt is overdue, or
   INT64_MAX if it is not known how long runs of the route take.  Runs usually
   end so long before that the reply is most likely lost.  */
static int64_t
reply_overdue_us (const exchange_t *exchange)
{
  double run_us = exchange->timing->mean_run_us * OVERDUE_FACTOR;
  if (run_us <= 0)
    return INT64_MAX;
  return exchange->sent_us
         + (run_us > OVERDUE_MIN_US ? (int64_t)run_us : OVERDUE_MIN_US);
}

/* Returns the time until which the exchange may take.  That is its deadline
   less RESPONSE_MARGIN_US, or that of a complete response that waits behind
   it: at that deadline its caller closes the connection, and would get neither
   response.  A first attempt whose reply is not overdue by then is not cut
   short for another request.  */
static int64_t
last_moment_us (const exchange_t *exchange)
{
  int64_t own_us = exchange->deadline_us - RESPONSE_MARGIN_US;
  int64_t behind_us = http_earliest_deadline_behind_us (exchange->http);
  /* Ending a response that has begun would close the connection.  */
  if (behind_us >= exchange->deadline_us || exchange->step == STEP_STREAMING)
    return own_us;
  behind_us -= RESPONSE_MARGIN_US;
  bool attempt_open
      = exchange->step == STEP_SENT || exchange->step == STEP_BUFFERING;
  bool may_be_running = attempt_open && !exchange->run_abandoned
                        && behind_us < reply_overdue_us (exchange);
  return may_be_running ? own_us : behind_us;
}

/* Sets the timer to the next check whether the reply is overdue or, if too
   little time for another run would be left then, to the last moment.  It
   expires in time for a complete response behind in any case: the reply may
   count as overdue by then, as the mean run time changes.  */
static void
arm_timer (exchange_t *exchange)
{
  int64_t last_us = last_moment_us (exchange);
  int64_t behind_us
      = http_earliest_deadline_behind_us (exchange->http) - RESPONSE_MARGIN_US;
  int64_t run_us = (int64_t)exchange->timing->mean_run_us;
  bool sent = exchange->step == STEP_SENT || exchange->step == STEP_QUERYING;
  bool check = sent && !exchange->overdue_retry_disabled
               && exchange->overdue_check_us + run_us < last_us;
  int64_t until_us = check ? exchange->overdue_check_us : last_us;
  bool behind_first
      = behind_us < until_us && behind_us > exchange->entry->deps.loop->now_us;
  set_timer (exchange, behind_first ? behind_us : until_us);
}

/* Starts the time in which the reply to an attempt sent now is expected.  */
static void
expect_reply (exchange_t *exchange)
{
  exchange->sent_us = exchange->entry->deps.loop->now_us;
  int64_t overdue_us = reply_overdue_us (exchange);
  exchange->overdue_check_us
      = overdue_us == INT64_MAX ? exchange->sent_us + OVERDUE_CHECK_INTERVAL_US
                                : overdue_us;
  exchange->overdue_retry_disabled
      = !exchange->idempotent || exchange->retries_left == 0;
  arm_timer (exchange);
}

/* Sets the timer for another try, at UNTIL_US at the latest.  Returns false if
   less than a millisecond is left until then.  */
static bool
schedule_retry (exchange_t *exchange, int64_t until_us)
{
  int64_t now_us = exchange->entry->deps.loop->now_us;
  if (until_us - now_us < US_PER_MS)
    return false;
  set_timer (exchange, until_us - now_us < RETRY_INTERVAL_US
                           ? until_us
                           : now_us + RETRY_INTERVAL_US);
  return true;
}

static int64_t
scaled_run_us (const route_timing_t *timing, int64_t run_us)
{
  return (int64_t)(NORMALIZED_RUN_US * (double)run_us / timing->mean_run_us)
         + 1;
}

/* Adds RUN_US to the mean of its route and returns it scaled so that the mean
   is NORMALIZED_RUN_US.  Servers can then be compared whatever mix of routes
   each has run.  Returns 0 if RUN_US is unknown, which is 0 too.  A version
   under observation is compared with the mean and does not change it.  */
static int64_t
normalize_run_us (exchange_t *exchange, int64_t run_us)
{
  route_timing_t *timing = exchange->timing;
  if (run_us <= 0)
    return 0;
  if (exchange_is_observed (exchange))
    return timing->mean_run_us > 0 ? scaled_run_us (timing, run_us) : 0;
  if (timing->mean_run_us <= 0)
    timing->mean_run_us = (double)run_us;
  timing->mean_run_us += ((double)run_us - timing->mean_run_us) * RUN_WEIGHT;
  return scaled_run_us (timing, run_us);
}

void
exchange_report_attempt (exchange_t *exchange, run_result_t result,
                         int64_t run_us, const server_load_t *load)
{
  if (result == RUN_OK && run_us > 0)
    placement_record_run_time (exchange->entry->deps.placement,
                               exchange->service, run_us);
  placement_record_result (
      exchange->entry->deps.placement, exchange->service, exchange->vm, result,
      result == RUN_OK ? normalize_run_us (exchange, run_us) : run_us, load,
      exchange->entry->deps.loop->now_us);
}

static call_request_t
make_call (const exchange_t *exchange)
{
  const entry_point_t *entry = exchange->entry;
  const http_exchange_t *http = exchange->http;
  int64_t left_us = exchange->deadline_us - entry->deps.loop->now_us;
  return (call_request_t){
    .attempt_id = exchange->attempt_id,
    .method = http->method,
    .target = bytes_data (&http->target),
    .fields = bytes_data (&exchange->request_fields),
    .fields_size = bytes_size (&exchange->request_fields),
    .body = bytes_data (&http->body),
    .body_size = bytes_size (&http->body),
    .account = exchange->account,
    .caller_service = entry->deps.service,
    .service = exchange->service,
    .route = exchange->route,
    .incarnation = exchange->incarnation,
    .deadline_us = exchange->deadline_us - RESPONSE_MARGIN_US,
    .max_wait_us = admission_max_queue_wait_us (
        exchange->from_backend, exchange->target_latency_us, left_us),
    .expected_run_us = (int64_t)exchange->timing->mean_run_us,
    .priority = exchange->priority,
    .idempotent = exchange->idempotent,
    .from_backend = exchange->from_backend,
    .asks_outcome = exchange->step == STEP_QUERYING,
  };
}

/* Sends the request, or a query for its outcome, to exchange->vm.  Returns
   false with exchange->cause set if it was refused at once or the VM cannot be
   reached.  If it returns true, the exchange may have been freed.  */
static bool
send_to_vm (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  call_request_t call = make_call (exchange);
  call_sink_t sink = exchange_sink (exchange);
  call_failure_t failure = { .kind = FAILURE_REFUSED, .cause = CAUSE_NO_PEER };

  if (exchange->vm == peer_set_own_vm (entry->deps.peers))
    {
      entry->stats.placed_local++;
      start_verdict_t verdict = runner_start_call (
          entry->deps.runner, &call, &sink, &exchange->run, &failure);
      if (verdict != START_FAILED)
        return true;
      exchange->run = NULL;
    }
  else
    {
      peer_t *peer = peer_set_find (entry->deps.peers, exchange->vm);
      entry->stats.placed_remote++;
      entry->stats.placed_cross_zone
          += peer != NULL && peer_is_cross_zone (peer);
      if (peer != NULL && !call.asks_outcome)
        exchange->incarnation = peer_incarnation (peer);
      exchange->peer_call
          = peer != NULL ? peer_send_call (peer, &call, &sink) : NULL;
      if (exchange->peer_call != NULL)
        return true;
    }
  exchange->cause = failure.cause;
  if (exchange->step != STEP_QUERYING)
    exchange_report_attempt (exchange, RUN_SHED, 0, &failure.load);
  return false;
}

/* Picks a server for the next try.  Servers whose links are silent are passed
   over while there are others: their VMs may have lost power, which closes
   their links only later.  */
static bool
pick_server (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  vm_id_t excluded[SERVERS_TRIED_MAX + SILENT_SERVERS_MAX];
  size_t count = exchange->tried_count;
  vm_id_t vm;
  bool found = false;
  memcpy (excluded, exchange->tried_vms, count * sizeof excluded[0]);
  for (int i = 0;
       i < SILENT_SERVERS_MAX
       && exchange_pick_allowed_server (exchange, excluded, count, &vm);
       i++)
    {
      const peer_t *peer = peer_set_find (entry->deps.peers, vm);
      bool silent = peer != NULL && peer_is_silent (peer);
      if (!found || !silent)
        exchange->vm = vm;
      found = true;
      if (!silent)
        return true;
      entry->stats.silent_servers_passed_over++;
      excluded[count++] = vm;
    }
  return found;
}

static void
add_tried_vm (exchange_t *exchange)
{
  if (exchange->tried_count < SERVERS_TRIED_MAX)
    exchange->tried_vms[exchange->tried_count++] = exchange->vm;
}

static bool
stop_end_passed (const entry_point_t *entry)
{
  return entry->stop_since_us != 0
         && entry->deps.loop->now_us >= entry->stop_end_us;
}

void
exchange_place (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t now_us = entry->deps.loop->now_us;

  exchange->step = STEP_PLACING;
  if (stop_end_passed (entry))
    {
      /* The sidecar would exit before the reply arrived.  */
      exchange_give_up (exchange, ENTRY_STOPPING);
      return;
    }
  if (last_moment_us (exchange) <= now_us)
    {
      exchange_give_up (exchange, ENTRY_DEADLINE_PASSED);
      return;
    }
  while (exchange->tried_count < SERVERS_TRIED_MAX && pick_server (exchange))
    {
      exchange_record_send (exchange);
      add_tried_vm (exchange);
      exchange->step = STEP_SENT;
      expect_reply (exchange);
      if (send_to_vm (exchange))
        return;
      exchange->step = STEP_PLACING;
    }
  /* There is no server at all, or the last one tried did not refuse for lack
     of capacity, so one may become available soon.  */
  bool worth_waiting = exchange->tried_count == 0 || exchange->run_abandoned
                       || exchange->cause == CAUSE_NO_PEER
                       || exchange->cause == CAUSE_NO_SERVER
                       || exchange->cause == CAUSE_CONNECT_FAILED
                       || exchange->cause == CAUSE_NO_SOCKET
                       || exchange->cause == CAUSE_SERVER_CHANGED
                       || exchange->cause == CAUSE_LEAVING;
  int64_t until_us = exchange->run_abandoned ? last_moment_us (exchange)
                                             : exchange->wait_until_us;
  if (worth_waiting && schedule_retry (exchange, until_us))
    return;
  exchange_give_up (exchange, ENTRY_NO_ROOM);
}

bool
exchange_take_retry (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  int64_t left_us = exchange->deadline_us - entry->deps.loop->now_us;
  if (!exchange->idempotent || exchange->retries_left == 0
      || left_us < 2 * RESPONSE_MARGIN_US
      || exchange_is_crash_suspect (exchange))
    return false;
  if (!entry_take_retry (entry, exchange->service, exchange->route))
    return false;
  exchange->retries_left--;
  entry->stats.retries[exchange->cause]++;
  return true;
}

void
exchange_schedule_query (exchange_t *exchange)
{
  int64_t last_us = last_moment_us (exchange);
  int64_t until_us = exchange->idempotent && exchange->query_until_us < last_us
                         ? exchange->query_until_us
                         : last_us;
  if (schedule_retry (exchange, until_us))
    return;
  exchange_lost_call_stats (exchange)->unknown++;
  if (exchange->idempotent)
    {
      exchange->cause = CAUSE_PEER_LOST;
      exchange_retry_or_end (exchange, ENTRY_OUTCOME_UNKNOWN);
      return;
    }
  exchange->may_have_run = true;
  exchange_give_up (exchange, ENTRY_DEADLINE_PASSED);
}

void
exchange_query_outcome (exchange_t *exchange)
{
  exchange->step = STEP_QUERYING;
  arm_timer (exchange);
  if (!send_to_vm (exchange))
    exchange_schedule_query (exchange);
}

static void
set_query_end (exchange_t *exchange)
{
  int64_t until_us = exchange->entry->deps.loop->now_us + QUERY_IDEMPOTENT_US;
  int64_t retry_us
      = last_moment_us (exchange) - (int64_t)exchange->timing->mean_run_us;
  /* The queries leave enough time for a retry.  */
  exchange->query_until_us = exchange->retries_left > 0 && retry_us < until_us
                                 ? retry_us
                                 : until_us;
}

void
exchange_repeat_query (exchange_t *exchange)
{
  set_query_end (exchange);
  exchange_schedule_query (exchange);
}

void
exchange_begin_query (exchange_t *exchange)
{
  set_query_end (exchange);
  exchange_lost_call_stats (exchange)->queried++;
  exchange_query_outcome (exchange);
}

void
exchange_begin_buffering (exchange_t *exchange)
{
  exchange->step = STEP_BUFFERING;
  arm_timer (exchange);
}

void
exchange_on_response_behind (exchange_t *exchange)
{
  bool attempt_open = exchange->run != NULL || exchange->peer_call != NULL;
  if (attempt_open || exchange->step == STEP_STREAMING)
    {
      arm_timer (exchange);
      return;
    }
  /* The next try is not put off.  */
  const loop_t *loop = exchange->entry->deps.loop;
  int64_t last_us = last_moment_us (exchange);
  double remaining_s = ev_timer_remaining (loop->ev, &exchange->timer);
  if (last_us - loop->now_us < (int64_t)(remaining_s * US_PER_S))
    set_timer (exchange, last_us);
}

void
exchange_cancel_attempt (exchange_t *exchange)
{
  if (exchange->run != NULL)
    run_cancel (exchange->run);
  if (exchange->peer_call != NULL)
    peer_call_cancel (exchange->peer_call);
  exchange->run = NULL;
  exchange->peer_call = NULL;
}

/* Returns why a request whose reply is overdue is not sent to another server
   now.  Takes a retry if it is OVERDUE_HOLD_NONE.  */
static overdue_hold_t
take_overdue_retry (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  if (!placement_has_other_server (entry->deps.placement, exchange->service,
                                   exchange->vm))
    return OVERDUE_HOLD_ONLY_SERVER;
  /* A stop leaves too little time for another run.  */
  if (entry->stop_since_us != 0)
    return OVERDUE_HOLD_STOPPING;
  if (exchange_is_under_pressure (exchange))
    return OVERDUE_HOLD_PRESSURE;
  return exchange_take_retry (exchange) ? OVERDUE_HOLD_NONE
                                        : OVERDUE_HOLD_NO_RETRY;
}

/* Schedules the next check for the time at which the reply becomes overdue, if
   that is sooner than the usual interval: the mean run time changes with each
   run.  */
static void
schedule_overdue_check (exchange_t *exchange)
{
  int64_t now_us = exchange->entry->deps.loop->now_us;
  int64_t overdue_us = reply_overdue_us (exchange);
  int64_t check_us = now_us + OVERDUE_CHECK_INTERVAL_US;
  exchange->overdue_check_us
      = overdue_us > now_us && overdue_us < check_us ? overdue_us : check_us;
  arm_timer (exchange);
}

/* Sends a request whose reply is overdue to another server, or waits for the
   reply for longer if it cannot.  Returns false if the timer did not expire
   for a check whether the reply is overdue.  */
static bool
retry_overdue_attempt (exchange_t *exchange)
{
  bool querying
      = exchange->step == STEP_QUERYING && exchange->peer_call != NULL;
  if ((exchange->step != STEP_SENT && !querying)
      || exchange->overdue_retry_disabled)
    return false;
  if (reply_overdue_us (exchange) > exchange->entry->deps.loop->now_us)
    {
      schedule_overdue_check (exchange);
      return true;
    }
  exchange->cause = CAUSE_REPLY_OVERDUE;
  exchange->overdue_hold = take_overdue_retry (exchange);
  if (exchange->overdue_hold != OVERDUE_HOLD_NONE)
    {
      exchange->entry->stats.overdue_holds[exchange->overdue_hold]++;
      schedule_overdue_check (exchange);
      return true;
    }
  exchange_cancel_attempt (exchange);
  if (!querying)
    exchange_report_attempt (exchange, RUN_FAILED, 0, &(server_load_t){ 0 });
  else
    exchange_lost_call_stats (exchange)->unknown++;
  exchange->may_have_run = true;
  /* The cancelled attempt might still have been answered, so the new one may
     wait for a server until the deadline.  */
  exchange->run_abandoned = true;
  exchange_place (exchange);
  return true;
}

/* Returns how an attempt counts that is cancelled as the exchange ends with
   END.  A reply that is not in time is the server's failure, unless requests
   wait for lack of capacity.  */
static run_result_t
cancelled_result (exchange_t *exchange, entry_end_t end)
{
  return end == ENTRY_DEADLINE_PASSED && !exchange_is_under_pressure (exchange)
             ? RUN_FAILED
             : RUN_CANCELLED;
}

/* Cancels the attempt and ends the exchange with END.  Aborts the response if
   a part of the reply was passed on.  */
static void
end_exchange (exchange_t *exchange, entry_end_t end)
{
  bool may_have_begun
      = exchange->run == NULL || run_may_have_begun (exchange->run);
  if ((exchange->step == STEP_SENT && may_have_begun)
      || exchange->step == STEP_QUERYING || exchange->step == STEP_BUFFERING)
    exchange->may_have_run = true;
  exchange_cancel_attempt (exchange);
  if (exchange->step == STEP_SENT)
    exchange_report_attempt (exchange, cancelled_result (exchange, end), 0,
                             &(server_load_t){ 0 });
  if (exchange->step != STEP_STREAMING)
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
exchange_end_for_stop (exchange_t *exchange)
{
  end_exchange (exchange, ENTRY_STOPPING);
}

void
exchange_on_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  exchange_t *exchange = timer->data;
  entry_point_t *entry = exchange->entry;
  int64_t left_us = last_moment_us (exchange) - entry->deps.loop->now_us;
  (void)ev;
  (void)events;
  if (left_us > US_PER_MS && retry_overdue_attempt (exchange))
    return;
  if (exchange->step == STEP_PLACING && left_us > US_PER_MS)
    {
      exchange->tried_count = 0;
      exchange_place (exchange);
      return;
    }
  if (exchange->step == STEP_QUERYING && exchange->peer_call == NULL
      && exchange->run == NULL && left_us > US_PER_MS)
    {
      exchange_query_outcome (exchange);
      return;
    }
  /* The last moment has moved since the timer was set.  */
  if (left_us > US_PER_MS)
    {
      arm_timer (exchange);
      return;
    }
  end_exchange (exchange, ENTRY_DEADLINE_PASSED);
}
