#include "edge/runner_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  CONNECT_US = 300 * US_PER_MS, /* on one machine, a dead server refuses */
  IDLE_US = 4 * US_PER_S,       /* without a Keep-Alive from the server */
  SILENCE_MS = 1000             /* for the server to acknowledge data */
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
    .caller_service = run->caller,
    .server_id = run->server_id,
    .timeout_ms = left_us > US_PER_MS ? (uint32_t)(left_us / US_PER_MS) : 1,
  };
  http_response_handler_t handler = run_reply_handler (run);

  bytes_append (&head, bytes_data (&run->request), bytes_size (&run->request));
  runner->dialect->write_run_fields (&head, &fields);
  bytes_append (&head, "\r\n", 2);
  http_request_t request = {
    .head = bytes_data (&head),
    .head_size = bytes_size (&head),
    .body = bytes_data (&run->body),
    .body_size = bytes_size (&run->body),
    /* The entry point, which can tell its caller why, comes first.  */
    .deadline_us = run->deadline_us + HTTP_SWEEP_PERIOD_US,
    .new_connection = run->fresh,
    .no_response_body = run->no_body,
  };
  run->state = RUN_RUNNING;
  run->call = http_client_call (runner->client, &request, &handler);
  runner->state.runs_started++;
  call_learner_record_run (runner->learner, run->route);
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
  bytes_append_format (&run->request, "%s %s HTTP/1.1\r\n", call->method,
                       call->target);
  bytes_append (&run->request, call->fields, call->fields_size);
  bool bodied = call->body_size > 0 || strcmp (call->method, "POST") == 0
                || strcmp (call->method, "PUT") == 0
                || strcmp (call->method, "PATCH") == 0;
  if (bodied)
    bytes_append_format (&run->request, "Content-Length: %zu\r\n",
                         call->body_size);
  bytes_append (&run->body, call->body, call->body_size);
}

static run_t *
run_new (runner_t *runner, const call_request_t *call, const call_sink_t *sink)
{
  run_t *run = calloc (1, sizeof *run);
  if (run == NULL)
    abort ();
  run->runner = runner;
  run->sink = *sink;
  run->listening = true;
  run->from_backend = call->from_backend;
  run->fingerprint = crash_suspects_fingerprint (call->account, call->target,
                                                 call->body, call->body_size);
  run->no_body = strcmp (call->method, "HEAD") == 0;
  run->deadline_us = call->deadline_us;
  run->reply.content_length = -1;
  snprintf (run->attempt_id, sizeof run->attempt_id, "%s", call->attempt_id);
  snprintf (run->account, sizeof run->account, "%s", call->account);
  snprintf (run->caller, sizeof run->caller, "%s", call->caller_service);
  snprintf (run->route, sizeof run->route, "%s", call->route);
  snprintf (run->server_id, sizeof run->server_id, "%s", runner->server_id);
  write_request (run, call);
  run->entry = (intake_entry_t){
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

static start_verdict_t
refuse_now (runner_t *runner, call_failure_t *failure, failure_kind_t kind,
            cause_t cause)
{
  runner->state.failures[cause]++;
  *failure = (call_failure_t){ .kind = kind,
                               .cause = cause,
                               .load = intake_server_load (runner->intake) };
  return START_REFUSED;
}

/* Hands the kept end of RUN to a caller that asks for it.  */
static start_verdict_t
answer_again (run_t *run, const call_sink_t *sink, call_failure_t *failure)
{
  if (run->failed)
    {
      *failure = run->failure;
      return START_REFUSED;
    }
  if (run->replied || run->too_large)
    return refuse_now (run->runner, failure, FAILURE_INVALID_REPLY,
                       CAUSE_PEER_LOST);
  sink->reply (sink->ctx, &run->reply, bytes_data (&run->reply_body),
               bytes_size (&run->reply_body), true);
  return START_ANSWERED;
}

/* SINK takes RUN over.  The previous sink is told that its answer is lost, so
   that one holder at most keeps a pointer to the run.  */
static start_verdict_t
listen_again (run_t *run, const call_sink_t *sink, call_failure_t *failure)
{
  if (run->replied)
    return refuse_now (run->runner, failure, FAILURE_INVALID_REPLY,
                       CAUSE_PEER_LOST);
  call_sink_t before = run->sink;
  bool listened = run->listening;
  run->sink = *sink;
  run->listening = true;
  call_failure_t lost = { .kind = FAILURE_INVALID_REPLY,
                          .cause = CAUSE_PEER_LOST,
                          .load = intake_server_load (run->runner->intake) };
  if (listened)
    before.failed (before.ctx, &lost);
  return START_ACCEPTED;
}

/* A call that never came must not come later: it leaves a record.  */
static void
leave_tombstone (runner_t *runner, const call_request_t *call,
                 const call_sink_t *sink)
{
  run_t *run = run_new (runner, call, sink);
  run->listening = false;
  run->state = RUN_ENDED;
  run->failed = true;
  run->failure
      = (call_failure_t){ .kind = FAILURE_REFUSED, .cause = CAUSE_NEVER_CAME };
  attempt_add (run);
  run_keep (run);
}

/* A call that must run once and may have come before.  */
static bool
is_known (runner_t *runner, const call_request_t *call,
          const call_sink_t *sink, run_t **run, call_failure_t *failure,
          start_verdict_t *verdict)
{
  run_t *earlier = attempt_find (runner, call->attempt_id);
  if (earlier != NULL && earlier->state == RUN_ENDED)
    *verdict = answer_again (earlier, sink, failure);
  else if (earlier != NULL)
    {
      *verdict = listen_again (earlier, sink, failure);
      *run = earlier;
    }
  else if (!call->resume)
    return false;
  else if (call->incarnation != runner->incarnation)
    *verdict = refuse_now (runner, failure, FAILURE_OUTCOME_UNKNOWN,
                           CAUSE_PEER_RESTARTED);
  else
    {
      leave_tombstone (runner, call, sink);
      *verdict
          = refuse_now (runner, failure, FAILURE_REFUSED, CAUSE_NEVER_CAME);
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
  runner_drop_old (runner);
  *run = NULL;
  if (!call->idempotent
      && is_known (runner, call, sink, run, failure, &verdict))
    return verdict;
  run_t *made = run_new (runner, call, sink);
  if (crash_suspects_should_refuse (runner->suspects, made->fingerprint,
                                    runner->loop->now_us))
    {
      run_free (made);
      return refuse_now (runner, failure, FAILURE_REFUSED, CAUSE_SUSPECT);
    }
  switch (intake_offer (runner->intake, &made->entry, runner->loop->now_us,
                        &cause))
    {
    case INTAKE_REFUSED:
      run_free (made);
      return refuse_now (runner, failure, FAILURE_REFUSED, cause);
    case INTAKE_QUEUED:
      made->state = RUN_QUEUED;
      break;
    case INTAKE_STARTED:
      run_send (made);
      break;
    }
  run_open (made);
  if (!call->idempotent)
    attempt_add (made);
  *run = made;
  return START_ACCEPTED;
}

void
run_cancel (run_t *run)
{
  run->listening = false;
  if (run->once && run_has_begun (run) && !run->too_large)
    {
      /* Its outcome counts, even with nobody waiting.  */
      run->runner->state.runs_orphaned++;
      return;
    }
  run_break_off (run);
}

void
run_pause (run_t *run, bool pause)
{
  if (run->state == RUN_RUNNING && run->call != NULL)
    http_call_pause (run->call, pause);
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
  http_client_options_t options = { CONNECT_US, IDLE_US, SILENCE_MS };
  intake_callbacks_t actions = { start_queued, refuse_queued, runner };
  runner->loop = loop;
  runner->dialect = dialect;
  runner->incarnation = incarnation;
  runner->learner = learner;
  runner->suspects = suspects;
  runner->handler = *handler;
  runner->kept_last = &runner->kept_first;
  runner->client = http_client_new (loop, server, &options);
  runner->intake = intake_new (&actions, loop->now_us);
  return runner;
}

void
runner_free (runner_t *runner)
{
  if (runner == NULL)
    return;
  http_client_free (runner->client);
  run_t *next;
  for (run_t *run = runner->open_first; run != NULL; run = next)
    {
      next = run->open_next;
      if (!run->once) /* the others are in the table */
        run_free (run);
    }
  for (size_t i = 0; i < BUCKETS; i++)
    while (runner->attempts[i] != NULL)
      {
        run_t *run = runner->attempts[i];
        runner->attempts[i] = run->next;
        run->once = false; /* taken out of the table just now */
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
      runner_count_crash (runner);
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
  runner_drop_old (runner);
  return intake_tick (runner->intake, runner->loop->now_us);
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
  return runner->open;
}

runner_state_t
runner_state (const runner_t *runner)
{
  runner_state_t state = runner->state;
  state.connections = http_client_state (runner->client);
  return state;
}
