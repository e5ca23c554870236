#include "edge/runner_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* Short, since on the same VM a server that is down refuses at once.  */
  CONNECT_TIMEOUT_US = 300 * US_PER_MS,
  IDLE_TIMEOUT_US = 4 * US_PER_S, /* if the server sends no Keep-Alive field */
  ACK_TIMEOUT_MS = 1000           /* for the server to acknowledge data */
};

/* --- starting ---------------------------------------------------------- */

void
run_send (run_t *run)
{
  runner_t *runner = run->runner;
  int64_t left_us = run->deadline_us - runner->loop->now_us;
  bytes_t head = { 0 };
  run_fields_t fields = {
    .account = run->account,
    .caller_service = run->caller_service,
    .server_id = run->server_id,
    .timeout_ms = left_us > US_PER_MS ? (uint32_t)(left_us / US_PER_MS) : 1,
  };
  http_response_handler_t handler = run_reply_handler (run);

  bytes_append (&head, bytes_data (&run->request_head),
                bytes_size (&run->request_head));
  runner->dialect->write_run_fields (&head, &fields);
  bytes_append (&head, "\r\n", 2);
  http_request_t request = {
    .head = bytes_data (&head),
    .head_size = bytes_size (&head),
    .body = bytes_data (&run->request_body),
    .body_size = bytes_size (&run->request_body),
    /* Later than the deadline of the entry point, so that the entry point ends
       the request first and can tell its caller the reason.  */
    .deadline_us = run->deadline_us + HTTP_SWEEP_PERIOD_US,
    .new_connection = run->resent,
    .no_response_body = run->no_body,
  };
  run->state = RUN_STATE_RUNNING;
  run->http_call = http_client_call (runner->client, &request, &handler);
  runner->stats.runs_started++;
  call_learner_record_run (runner->learner, run->route);
  if (!run->resent)
    runner->handler.run_started (runner->handler.ctx, run->route);
  bytes_free (&head);
}

static void
start_queued (void *ctx, intake_entry_t *entry)
{
  run_t *run = entry->user_data;
  (void)ctx;
  snprintf (run->server_id, sizeof run->server_id, "%s",
            run->runner->server_id);
  run_send (run);
}

static void
refuse_queued (void *ctx, intake_entry_t *entry, cause_t cause)
{
  (void)ctx;
  run_fail (entry->user_data, FAILURE_REFUSED, cause);
}

static void
write_request (run_t *run, const call_request_t *call)
{
  bytes_append_format (&run->request_head, "%s %s HTTP/1.1\r\n", call->method,
                       call->target);
  bytes_append (&run->request_head, call->fields, call->fields_size);
  bool has_body = call->body_size > 0 || strcmp (call->method, "POST") == 0
                  || strcmp (call->method, "PUT") == 0
                  || strcmp (call->method, "PATCH") == 0;
  if (has_body)
    bytes_append_format (&run->request_head, "Content-Length: %zu\r\n",
                         call->body_size);
  bytes_append (&run->request_body, call->body, call->body_size);
}

static run_t *
run_new (runner_t *runner, const call_request_t *call, const call_sink_t *sink)
{
  run_t *run = calloc (1, sizeof *run);
  if (run == NULL)
    abort ();
  run->runner = runner;
  run->sink = *sink;
  run->has_sink = true;
  run->from_backend = call->from_backend;
  run->fingerprint = crash_suspects_fingerprint (call->account, call->target,
                                                 call->body, call->body_size);
  run->no_body = strcmp (call->method, "HEAD") == 0;
  run->deadline_us = call->deadline_us;
  run->reply.content_length = -1;
  snprintf (run->attempt_id, sizeof run->attempt_id, "%s", call->attempt_id);
  snprintf (run->account, sizeof run->account, "%s", call->account);
  snprintf (run->caller_service, sizeof run->caller_service, "%s",
            call->caller_service);
  snprintf (run->route, sizeof run->route, "%s", call->route);
  snprintf (run->server_id, sizeof run->server_id, "%s", runner->server_id);
  write_request (run, call);
  run->intake_entry = (intake_entry_t){
    .account_hash
    = (uint32_t)XXH3_64bits (call->account, strlen (call->account)),
    .priority = call->priority,
    .from_backend = call->from_backend,
    .max_wait_us = call->max_wait_us,
    .expected_run_us = call->expected_run_us,
    .deadline_us = call->deadline_us,
    .user_data = run,
  };
  return run;
}

start_verdict_t
runner_refuse_call (runner_t *runner, call_failure_t *failure,
                    failure_kind_t kind, cause_t cause)
{
  runner->stats.failures[cause]++;
  *failure = (call_failure_t){ .kind = kind,
                               .cause = cause,
                               .load = intake_server_load (runner->intake) };
  return START_FAILED;
}

start_verdict_t
run_replay_outcome (run_t *run, const call_sink_t *sink,
                    call_failure_t *failure)
{
  if (run->failed)
    {
      *failure = run->failure;
      return START_FAILED;
    }
  if (run->reply_started || run->reply_too_large)
    return runner_refuse_call (run->runner, failure, FAILURE_INVALID_REPLY,
                               CAUSE_PEER_LOST);
  sink->reply (sink->ctx, &run->reply, bytes_data (&run->reply_body),
               bytes_size (&run->reply_body), true);
  return START_ANSWERED;
}

start_verdict_t
run_replace_sink (run_t *run, const call_sink_t *sink, call_failure_t *failure)
{
  if (run->reply_started)
    return runner_refuse_call (run->runner, failure, FAILURE_INVALID_REPLY,
                               CAUSE_PEER_LOST);
  call_sink_t previous = run->sink;
  bool had_sink = run->has_sink;
  run->sink = *sink;
  run->has_sink = true;
  call_failure_t lost = { .kind = FAILURE_INVALID_REPLY,
                          .cause = CAUSE_PEER_LOST,
                          .load = intake_server_load (run->runner->intake) };
  if (had_sink)
    previous.failed (previous.ctx, &lost);
  return START_ACCEPTED;
}

/* Records the outcome CAUSE_CALL_NOT_RECEIVED for CALL, as given in reply to
   its query, so that the call is not run if it arrives later.  */
static void
add_tombstone (runner_t *runner, const call_request_t *call,
               const call_sink_t *sink)
{
  run_t *run = run_new (runner, call, sink);
  run->has_sink = false;
  run->state = RUN_STATE_ENDED;
  run->failed = true;
  run->failure = (call_failure_t){ .kind = FAILURE_REFUSED,
                                   .cause = CAUSE_CALL_NOT_RECEIVED };
  run_add_attempt (run);
  run_keep_outcome (run);
}

/* Handles a call that must run at most once.  If the attempt is known or CALL
   is a query for an outcome, sets *VERDICT and returns true.  Otherwise
   returns false, and the call has to be started.  */
static bool
resolve_known_attempt (runner_t *runner, const call_request_t *call,
                       const call_sink_t *sink, run_t **run,
                       call_failure_t *failure, start_verdict_t *verdict)
{
  run_t *earlier = runner_find_attempt (runner, call->attempt_id);
  if (earlier != NULL && earlier->state == RUN_STATE_ENDED)
    *verdict = run_replay_outcome (earlier, sink, failure);
  else if (earlier != NULL)
    {
      *verdict = run_replace_sink (earlier, sink, failure);
      *run = earlier;
    }
  else if (!call->asks_outcome)
    return false;
  else if (call->incarnation != runner->incarnation)
    *verdict = runner_refuse_call (runner, failure, FAILURE_OUTCOME_UNKNOWN,
                                   CAUSE_PEER_RESTARTED);
  else
    {
      add_tombstone (runner, call, sink);
      *verdict = runner_refuse_call (runner, failure, FAILURE_REFUSED,
                                     CAUSE_CALL_NOT_RECEIVED);
    }
  return true;
}

start_verdict_t
runner_start_call (runner_t *runner, const call_request_t *call,
                   const call_sink_t *sink, run_t **run,
                   call_failure_t *failure)
{
  cause_t cause;
  start_verdict_t verdict;
  runner_free_expired (runner);
  *run = NULL;
  if (call->idempotent && call->asks_outcome)
    return runner_resume_detached (runner, call, sink, run, failure);
  if (!call->idempotent
      && resolve_known_attempt (runner, call, sink, run, failure, &verdict))
    return verdict;
  run_t *created = run_new (runner, call, sink);
  if (crash_suspects_should_refuse (runner->suspects, created->fingerprint,
                                    runner->loop->now_us))
    {
      run_free (created);
      return runner_refuse_call (runner, failure, FAILURE_REFUSED,
                                 CAUSE_CRASH_SUSPECT);
    }
  switch (intake_offer (runner->intake, &created->intake_entry,
                        runner->loop->now_us, &cause))
    {
    case INTAKE_REFUSED:
      run_free (created);
      return runner_refuse_call (runner, failure, FAILURE_REFUSED, cause);
    case INTAKE_QUEUED:
      created->state = RUN_STATE_QUEUED;
      break;
    case INTAKE_STARTED:
      run_send (created);
      break;
    }
  run_add_open (created);
  if (!call->idempotent)
    run_add_attempt (created);
  *run = created;
  return START_ACCEPTED;
}

void
run_cancel (run_t *run)
{
  run->has_sink = false;
  if (run->in_attempt_table && run_may_have_begun (run)
      && !run->reply_too_large)
    {
      /* The outcome is kept for a query.  */
      run->runner->stats.runs_orphaned++;
      return;
    }
  run_abort (run);
}

void
run_pause (run_t *run, bool pause)
{
  if (run->state == RUN_STATE_RUNNING && run->http_call != NULL)
    http_call_pause (run->http_call, pause);
}

/* ----------------------------------------------------------------------- */

runner_t *
runner_new (loop_t *loop, const dialect_t *dialect, endpoint_addr_t server,
            uint64_t incarnation, call_learner_t *learner,
            crash_suspects_t *suspects, const runner_handler_t *handler)
{
  runner_t *runner = calloc (1, sizeof *runner);
  if (runner == NULL)
    abort ();
  http_client_options_t options
      = { CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, ACK_TIMEOUT_MS };
  intake_callbacks_t callbacks = { start_queued, refuse_queued, runner };
  runner->loop = loop;
  runner->dialect = dialect;
  runner->incarnation = incarnation;
  runner->learner = learner;
  runner->suspects = suspects;
  runner->handler = *handler;
  runner->kept_last = &runner->kept_first;
  runner->client = http_client_new (loop, server, &options);
  runner->intake = intake_new (&callbacks, loop->now_us);
  return runner;
}

void
runner_set_run_end_callback (runner_t *runner, run_end_callback_t callback,
                             void *ctx)
{
  runner->on_run_end = callback;
  runner->run_end_ctx = ctx;
}

void
runner_free (runner_t *runner)
{
  if (runner == NULL)
    return;
  http_client_free (runner->client);
  runner_free_probes (runner);
  runner_free_detached (runner);
  run_t *next;
  for (run_t *run = runner->open_first; run != NULL; run = next)
    {
      next = run->open_next;
      if (!run->in_attempt_table) /* the others are freed with the table */
        run_free (run);
    }
  for (size_t i = 0; i < ATTEMPT_BUCKETS; i++)
    while (runner->attempt_buckets[i] != NULL)
      {
        run_t *run = runner->attempt_buckets[i];
        runner->attempt_buckets[i] = run->bucket_next;
        run->in_attempt_table = false; /* the bucket no longer holds it */
        run_free (run);
      }
  intake_free (runner->intake);
  free (runner);
}

void
runner_set_server (runner_t *runner, const intake_server_t *server,
                   const char *server_id)
{
  if (strcmp (runner->server_id, server_id) != 0)
    {
      runner_record_crash (runner);
      http_client_close_idle (runner->client);
    }
  snprintf (runner->server_id, sizeof runner->server_id, "%s", server_id);
  if (!runner->stopped)
    intake_set_server (runner->intake, server, runner->loop->now_us);
}

void
runner_stop (runner_t *runner)
{
  intake_server_t server = { .leaving = true };
  runner->stopped = true;
  intake_set_server (runner->intake, &server, runner->loop->now_us);
}

int64_t
runner_tick (runner_t *runner)
{
  runner_free_expired (runner);
  runner_end_detached (runner);
  int64_t intake_us = intake_tick (runner->intake, runner->loop->now_us);
  int64_t detached_us = runner_detached_due_us (runner);
  return intake_us < detached_us ? intake_us : detached_us;
}

void
runner_read_load (runner_t *runner, const fields_t *fields,
                  const field_t *field)
{
  enum
  {
    PERCENT = 100
  };
  char text[SERVER_ID_BYTES];
  server_load_figures_t figures;
  if (!field_copy_value (fields, field, text, sizeof text)
      || !runner->dialect->parse_server_load (text, &figures))
    {
      runner->stats.malformed_load_figures++;
      return;
    }
  if (figures.run_time_percent == 0)
    return;
  runner->stats.load_figures++;
  intake_record_slowdown (runner->intake,
                          (double)figures.run_time_percent / PERCENT,
                          runner->loop->now_us);
}

server_load_t
runner_server_load (const runner_t *runner)
{
  return intake_server_load (runner->intake);
}

int64_t
runner_mean_run_us (const runner_t *runner)
{
  return intake_mean_run_us (runner->intake);
}

uint32_t
runner_open_run_count (const runner_t *runner)
{
  return runner->open_count;
}

runner_stats_t
runner_stats (const runner_t *runner)
{
  runner_stats_t stats = runner->stats;
  stats.connections = http_client_stats (runner->client);
  stats.momentary_permille = intake_momentary_permille (runner->intake);
  return stats;
}
