#include "edge/runner_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "invariant.h"

enum
{
  CONNECT_US = 300 * US_PER_MS, /* on one machine, a dead server refuses */
  IDLE_US = 4 * US_PER_S,       /* without a Keep-Alive from the server */
  SILENCE_MS = 1000,            /* for the server to acknowledge data */
  WHOLE_BYTES = 32 * 1024,      /* answers up to this go out in one piece */
  KEEP_US = 10 * US_PER_S,      /* answers kept for questions about them */
  KEEP_BYTES = 64 * 1024,       /* larger answers are not kept */
  CUT_US = 3 * US_PER_S /* in which a server that crashed is found missing */
};

/* --- attempts that must run once --------------------------------------- */

static run_t **
attempt_bucket (runner_t *runner, const char *id)
{
  return &runner->attempts[XXH3_64bits (id, strlen (id)) % BUCKETS];
}

static run_t *
attempt_find (runner_t *runner, const char *id)
{
  run_t *run = *attempt_bucket (runner, id);
  while (run != NULL && strcmp (run->attempt_id, id) != 0)
    run = run->next;
  return run;
}

static void
attempt_add (run_t *run)
{
  run_t **bucket = attempt_bucket (run->runner, run->attempt_id);
  run->once = true;
  run->next = *bucket;
  *bucket = run;
}

static void
attempt_remove (run_t *run)
{
  run_t **at = attempt_bucket (run->runner, run->attempt_id);
  while (*at != run)
    at = &(*at)->next;
  *at = run->next;
}

static void
run_free (run_t *run)
{
  if (run->once)
    attempt_remove (run);
  bytes_free (&run->request);
  bytes_free (&run->body);
  bytes_free (&run->reply_fields);
  bytes_free (&run->reply_body);
  free (run);
}

static void
keep (run_t *run)
{
  runner_t *runner = run->runner;
  bytes_free (&run->request);
  bytes_free (&run->body);
  run->ended_us = runner->loop->now_us;
  run->older = NULL;
  *runner->kept_last = run;
  runner->kept_last = &run->older;
}

static void
drop_old (runner_t *runner)
{
  int64_t until_us = runner->loop->now_us - KEEP_US;
  while (runner->kept_first != NULL
         && runner->kept_first->ended_us <= until_us)
    {
      run_t *run = runner->kept_first;
      runner->kept_first = run->older;
      if (runner->kept_first == NULL)
        runner->kept_last = &runner->kept_first;
      run_free (run);
    }
}

/* --- runs that have not ended ------------------------------------------ */

static void
open_run (run_t *run)
{
  runner_t *runner = run->runner;
  run->open_next = runner->open_first;
  if (runner->open_first != NULL)
    runner->open_first->open_prev = run;
  runner->open_first = run;
  runner->open++;
}

static void
close_run (run_t *run)
{
  if (run->open_prev != NULL)
    run->open_prev->open_next = run->open_next;
  else
    run->runner->open_first = run->open_next;
  if (run->open_next != NULL)
    run->open_next->open_prev = run->open_prev;
  run->runner->open--;
}

/* --- runs that may have crashed the server ------------------------------ */

static void
note_cut (run_t *run)
{
  runner_t *runner = run->runner;
  if (runner->cut_count == CUTS_MAX)
    memmove (&runner->cuts[0], &runner->cuts[1],
             --runner->cut_count * sizeof runner->cuts[0]);
  runner->cuts[runner->cut_count++]
      = (cut_run_t){ run->fingerprint, runner->loop->now_us };
}

/* An answer came after all, or to the same request sent again.  */
static void
clear_suspect (run_t *run)
{
  runner_t *runner = run->runner;
  uint32_t kept = 0;
  for (uint32_t i = 0; i < runner->cut_count; i++)
    if (runner->cuts[i].fingerprint != run->fingerprint)
      runner->cuts[kept++] = runner->cuts[i];
  runner->cut_count = kept;
  if (!crash_suspects_is_empty (runner->suspects)
      && crash_suspects_ended (runner->suspects, run->fingerprint,
                               runner->loop->now_us))
    runner->handler.suspects_changed (runner->handler.ctx, 0);
}

/* The server is gone: what it cut lately counts as run when it crashed.  */
static void
count_crash (runner_t *runner)
{
  int64_t now_us = runner->loop->now_us;
  uint32_t counted = 0;
  for (uint32_t i = 0; i < runner->cut_count; i++)
    if (now_us - runner->cuts[i].cut_us < CUT_US)
      counted += crash_suspects_crashed (runner->suspects,
                                         runner->cuts[i].fingerprint, now_us);
  runner->cut_count = 0;
  if (counted > 0)
    runner->handler.suspects_changed (runner->handler.ctx, counted);
}

/* --- ends of a run ----------------------------------------------------- */

/* The run is over; what it leaves is kept or freed.  */
static void
run_over (run_t *run)
{
  run->state = RUN_ENDED;
  close_run (run);
  if (run->once)
    keep (run);
  else
    run_free (run);
}

static void
run_fail (run_t *run, failure_t failure, cause_t cause)
{
  runner_t *runner = run->runner;
  call_sink_t sink = run->sink;
  bool listening = run->listening;
  call_failure_t told = { .failure = failure,
                          .cause = cause,
                          .load = intake_load (runner->intake) };
  runner->state.faults[cause]++;
  run->failed = true;
  run->failure = told;
  run->listening = false;
  /* A call that did not run may come again.  */
  if (failure == FAILURE_REFUSED && run->once)
    {
      attempt_remove (run);
      run->once = false;
    }
  run_over (run);
  if (listening)
    sink.failed (sink.ctx, &told);
}

static void
run_complete (run_t *run)
{
  runner_t *runner = run->runner;
  call_sink_t sink = run->sink;
  bool listening = run->listening;
  runner->state.ended++;
  run->reply.load = intake_load (runner->intake);
  run->listening = false;
  bool whole = !run->replied;
  bytes_t body = { 0 };
  if (!run->once && listening)
    {
      /* The run is freed before the sink hears of its end.  */
      body = run->reply_body;
      run->reply_body = (bytes_t){ 0 };
    }
  const bytes_t *from = run->once ? &run->reply_body : &body;
  call_reply_t reply = run->reply;
  bytes_t fields = { 0 };
  if (!run->once)
    {
      fields = run->reply_fields;
      run->reply_fields = (bytes_t){ 0 };
    }
  run_over (run);
  if (listening && whole)
    sink.reply (sink.ctx, &reply, bytes_data (from), bytes_size (from), true);
  else if (listening)
    sink.body (sink.ctx, NULL, 0, true);
  bytes_free (&body);
  bytes_free (&fields);
}

/* The server is free of this run.  */
static void
give_slot_back (run_t *run, bool ran)
{
  run->call = NULL;
  intake_finished (run->runner->intake, &run->entry, ran,
                   run->runner->loop->now_us);
}

/* Whether the server may have begun to work on RUN.  */
static bool
has_begun (const run_t *run)
{
  return run->state == RUN_RUNNING && http_call_is_sent (run->call);
}

/* Ends RUN without a callback.  What the server has not begun is recorded as a
   call that never came.  */
static void
run_break_off (run_t *run)
{
  runner_t *runner = run->runner;
  bool begun = has_begun (run);
  run->listening = false;
  if (run->state == RUN_QUEUED)
    intake_withdraw (runner->intake, &run->entry);
  else
    {
      http_call_cancel (run->call);
      give_slot_back (run, begun);
    }
  run->failed = true;
  run->failure
      = (call_failure_t){ .failure = FAILURE_LOST, .cause = CAUSE_CUT };
  if (!begun)
    run->failure = (call_failure_t){ .failure = FAILURE_REFUSED,
                                     .cause = CAUSE_NEVER_CAME };
  run_over (run);
}

/* --- the answer -------------------------------------------------------- */

typedef struct reply_look_t
{
  bool signed_;
  bool not_run;
  bool has_id;
  bool same_id;
  bool encoded;
  char server_id[SERVER_ID_BYTES];
} reply_look_t;

static reply_look_t
look_at (const run_t *run, const fields_t *fields)
{
  reply_look_t look = { .signed_ = false };
  const dialect_t *dialect = run->runner->dialect;
  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      switch (dialect->reply_role (fields, field))
        {
        case REPLY_SIGNATURE:
          look.signed_ = true;
          break;
        case REPLY_NOT_RUN:
          look.not_run = true;
          break;
        case REPLY_ATTEMPT_ID:
          look.has_id = true;
          look.same_id = field->value_size == strlen (run->attempt_id)
                         && memcmp (field_value (fields, field),
                                    run->attempt_id, field->value_size)
                                == 0;
          break;
        case REPLY_SERVER_ID:
          field_copy (fields, field, look.server_id, sizeof look.server_id);
          break;
        default:
          if (field_is (fields, field, "Content-Encoding"))
            look.encoded = true;
        }
    }
  return look;
}

static void
keep_fields (run_t *run, const fields_t *fields)
{
  const dialect_t *dialect = run->runner->dialect;
  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      reply_role_t role = dialect->reply_role (fields, field);
      if (!field_is_hop (fields, field) && role != REPLY_LOAD
          && role != REPLY_COLD)
        field_write (fields, field, &run->reply_fields);
    }
  run->reply.fields = bytes_data (&run->reply_fields);
  run->reply.fields_size = bytes_size (&run->reply_fields);
}

/* Statuses by which a sidecar promises that a request has not run.  */
static bool
promises_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static http_verdict_t
reject (run_t *run, cause_t cause)
{
  run->reject = cause;
  return HTTP_REJECT;
}

static http_verdict_t
on_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  run_t *run = ctx;
  runner_t *runner = run->runner;
  reply_look_t look = look_at (run, fields);

  if (look.has_id && !look.same_id)
    return HTTP_SKIP;
  if (status == 421)
    {
      runner->handler.server_lost (runner->handler.ctx, look.server_id);
      return reject (run, CAUSE_SERVER_CHANGED);
    }
  if (look.not_run)
    return reject (run, CAUSE_SERVER_SHED);
  bool success = status >= 200 && status < 300;
  if (success && (!look.signed_ || !look.has_id))
    return reject (run, CAUSE_UNSIGNED);
  if (look.encoded || promises_not_run (status))
    return reject (run, CAUSE_GARBLED);
  run->reply.status = status;
  run->reply.length = length;
  keep_fields (run, fields);
  return HTTP_TAKE;
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  run_t *run = ctx;
  if (!run->replied && bytes_size (&run->reply_body) + size <= WHOLE_BYTES)
    {
      bytes_append (&run->reply_body, data, size);
      return;
    }
  if (run->once && !run->too_large)
    {
      bytes_append (&run->reply_body, data, size);
      run->too_large = bytes_size (&run->reply_body) > KEEP_BYTES;
      if (!run->too_large)
        return;
      if (!run->listening)
        {
          run_break_off (run); /* nobody can be given this answer */
          return;
        }
      data = NULL;
      size = 0;
    }
  if (!run->replied)
    {
      run->replied = true;
      run->reply.load = intake_load (run->runner->intake);
      if (run->listening)
        run->sink.reply (run->sink.ctx, &run->reply,
                         bytes_data (&run->reply_body),
                         bytes_size (&run->reply_body), false);
      bytes_free (&run->reply_body);
    }
  if (run->listening && size > 0)
    run->sink.body (run->sink.ctx, data, size, false);
}

static void
on_end (void *ctx)
{
  run_t *run = ctx;
  run->reply.run_us
      = (uint32_t)(run->runner->loop->now_us - run->entry.started_us);
  if (run->reply.length < 0 && !run->replied)
    run->reply.length = (int64_t)bytes_size (&run->reply_body);
  clear_suspect (run);
  give_slot_back (run, true);
  run_complete (run);
}

static void run_send (run_t *run);

static void
on_fault (void *ctx, http_fault_t fault)
{
  run_t *run = ctx;
  runner_t *runner = run->runner;

  if (fault == HTTP_FAULT_STALE || fault == HTTP_FAULT_CUT)
    note_cut (run);
  if (fault == HTTP_FAULT_STALE && run->sink.ctx != NULL && !run->once
      && !run->fresh)
    {
      /* The server closed a kept connection; an idempotent call is sent
         again on a new one.  */
      run->fresh = true;
      run_send (run);
      return;
    }
  cause_t cause = CAUSE_CUT;
  failure_t failure = FAILURE_LOST;
  if (fault == HTTP_FAULT_CONNECT)
    {
      cause = CAUSE_CONNECT;
      failure = FAILURE_REFUSED;
    }
  else if (fault == HTTP_FAULT_GARBLED)
    {
      cause = CAUSE_GARBLED;
      failure = FAILURE_BROKEN;
    }
  else if (fault == HTTP_FAULT_REJECTED)
    {
      cause = run->reject;
      failure = cause == CAUSE_SERVER_SHED || cause == CAUSE_SERVER_CHANGED
                    ? FAILURE_REFUSED
                    : FAILURE_BROKEN;
    }
  else if (run->reply.status != 0)
    failure = FAILURE_BROKEN;
  if (fault == HTTP_FAULT_OVERDUE)
    cause = CAUSE_DEADLINE;
  give_slot_back (run, failure != FAILURE_REFUSED);
  if (cause != CAUSE_SERVER_SHED)
    runner->handler.faulted (runner->handler.ctx, run->attempt_id,
                             run->server_id, cause);
  run_fail (run, failure, cause);
  if (fault != HTTP_FAULT_CONNECT)
    return;
  count_crash (runner);
  runner->handler.server_lost (runner->handler.ctx, NULL);
}

/* --- starting ---------------------------------------------------------- */

static void
run_send (run_t *run)
{
  runner_t *runner = run->runner;
  int64_t left_us = run->deadline_us - runner->loop->now_us;
  bytes_t head = { 0 };
  run_fields_t fields = {
    .account = run->account,
    .caller = run->caller,
    .server_id = run->server_id,
    .timeout_ms = left_us > US_PER_MS ? (uint32_t)(left_us / US_PER_MS) : 1,
  };
  http_reply_handler_t handler = { on_head, on_body, on_end, on_fault, run };

  bytes_append (&head, bytes_data (&run->request), bytes_size (&run->request));
  runner->dialect->write_run_fields (&head, &fields);
  bytes_append (&head, "\r\n", 2);
  http_request_t request = {
    .head = bytes_data (&head),
    .head_size = bytes_size (&head),
    .body = bytes_data (&run->body),
    .body_size = bytes_size (&run->body),
    /* The entry point, which can tell its caller why, comes first.  */
    .deadline_us = run->deadline_us + HTTP_SWEEP_US,
    .fresh = run->fresh,
    .no_body = run->no_body,
  };
  run->state = RUN_RUNNING;
  run->call = http_client_call (runner->client, &request, &handler);
  runner->state.started++;
  call_learner_ran (runner->learner, run->route);
  bytes_free (&head);
}

static void
start_queued (void *ctx, intake_entry_t *entry)
{
  run_t *run = entry->handle;
  (void)ctx;
  snprintf (run->server_id, sizeof run->server_id, "%s",
            run->runner->server_id);
  run_send (run);
}

static void
refuse_queued (void *ctx, intake_entry_t *entry, cause_t cause)
{
  (void)ctx;
  run_fail (entry->handle, FAILURE_REFUSED, cause);
}

static void
write_request (run_t *run, const forward_call_t *call)
{
  bytes_format (&run->request, "%s %s HTTP/1.1\r\n", call->method,
                call->target);
  bytes_append (&run->request, call->fields, call->fields_size);
  bool bodied = call->body_size > 0 || strcmp (call->method, "POST") == 0
                || strcmp (call->method, "PUT") == 0
                || strcmp (call->method, "PATCH") == 0;
  if (bodied)
    bytes_format (&run->request, "Content-Length: %zu\r\n", call->body_size);
  bytes_append (&run->body, call->body, call->body_size);
}

static run_t *
run_new (runner_t *runner, const forward_call_t *call, const call_sink_t *sink)
{
  run_t *run = calloc (1, sizeof *run);
  if (run == NULL)
    abort ();
  run->runner = runner;
  run->sink = *sink;
  run->listening = true;
  run->from_backend = call->from_backend;
  run->fingerprint = crash_fingerprint (call->account, call->target,
                                        call->body, call->body_size);
  run->no_body = strcmp (call->method, "HEAD") == 0;
  run->deadline_us = call->deadline_us;
  run->reply.length = -1;
  snprintf (run->attempt_id, sizeof run->attempt_id, "%s", call->attempt_id);
  snprintf (run->account, sizeof run->account, "%s", call->account);
  snprintf (run->caller, sizeof run->caller, "%s", call->caller);
  snprintf (run->route, sizeof run->route, "%s", call->route);
  snprintf (run->server_id, sizeof run->server_id, "%s", runner->server_id);
  write_request (run, call);
  run->entry = (intake_entry_t){
    .account = (uint32_t)XXH3_64bits (call->account, strlen (call->account)),
    .priority = call->priority,
    .from_backend = call->from_backend,
    .wait_us = call->wait_us,
    .expected_us = call->expected_us,
    .deadline_us = call->deadline_us,
    .handle = run,
  };
  return run;
}

static start_t
refuse_now (runner_t *runner, call_failure_t *failure, failure_t kind,
            cause_t cause)
{
  runner->state.faults[cause]++;
  *failure = (call_failure_t){ .failure = kind,
                               .cause = cause,
                               .load = intake_load (runner->intake) };
  return START_REFUSED;
}

/* Hands the kept end of RUN to a caller that asks for it.  */
static start_t
answer_again (run_t *run, const call_sink_t *sink, call_failure_t *failure)
{
  if (run->failed)
    {
      *failure = run->failure;
      return START_REFUSED;
    }
  if (run->replied || run->too_large)
    return refuse_now (run->runner, failure, FAILURE_BROKEN, CAUSE_PEER_LOST);
  sink->reply (sink->ctx, &run->reply, bytes_data (&run->reply_body),
               bytes_size (&run->reply_body), true);
  return START_ANSWERED;
}

/* SINK takes RUN over.  The previous sink is told that its answer is lost, so
   that one holder at most keeps a pointer to the run.  */
static start_t
listen_again (run_t *run, const call_sink_t *sink, call_failure_t *failure)
{
  if (run->replied)
    return refuse_now (run->runner, failure, FAILURE_BROKEN, CAUSE_PEER_LOST);
  call_sink_t before = run->sink;
  bool listened = run->listening;
  run->sink = *sink;
  run->listening = true;
  call_failure_t lost = { .failure = FAILURE_BROKEN,
                          .cause = CAUSE_PEER_LOST,
                          .load = intake_load (run->runner->intake) };
  if (listened)
    before.failed (before.ctx, &lost);
  return START_TAKEN;
}

/* A call that never came must not come later: it leaves a record.  */
static void
leave_tombstone (runner_t *runner, const forward_call_t *call,
                 const call_sink_t *sink)
{
  run_t *run = run_new (runner, call, sink);
  run->listening = false;
  run->state = RUN_ENDED;
  run->failed = true;
  run->failure = (call_failure_t){ .failure = FAILURE_REFUSED,
                                   .cause = CAUSE_NEVER_CAME };
  attempt_add (run);
  keep (run);
}

/* A call that must run once and may have come before.  */
static bool
is_known (runner_t *runner, const forward_call_t *call,
          const call_sink_t *sink, run_t **run, call_failure_t *failure,
          start_t *verdict)
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
    *verdict
        = refuse_now (runner, failure, FAILURE_LOST, CAUSE_PEER_RESTARTED);
  else
    {
      leave_tombstone (runner, call, sink);
      *verdict
          = refuse_now (runner, failure, FAILURE_REFUSED, CAUSE_NEVER_CAME);
    }
  return true;
}

start_t
runner_start (runner_t *runner, const forward_call_t *call,
              const call_sink_t *sink, run_t **run, call_failure_t *failure)
{
  cause_t cause;
  start_t verdict;
  drop_old (runner);
  *run = NULL;
  if (!call->idempotent
      && is_known (runner, call, sink, run, failure, &verdict))
    return verdict;
  run_t *made = run_new (runner, call, sink);
  if (crash_suspects_refuses (runner->suspects, made->fingerprint,
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
    case INTAKE_START:
      run_send (made);
      break;
    }
  open_run (made);
  if (!call->idempotent)
    attempt_add (made);
  *run = made;
  return START_TAKEN;
}

void
run_cancel (run_t *run)
{
  run->listening = false;
  if (run->once && has_begun (run) && !run->too_large)
    {
      /* Its outcome counts, even with nobody waiting.  */
      run->runner->state.orphaned++;
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
  intake_actions_t actions = { start_queued, refuse_queued, runner };
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
      count_crash (runner);
      http_client_forget (runner->client);
    }
  snprintf (runner->server_id, sizeof runner->server_id, "%s", server_id);
  intake_set_server (runner->intake, server, runner->loop->now_us);
}

int64_t
runner_tick (runner_t *runner)
{
  drop_old (runner);
  return intake_tick (runner->intake, runner->loop->now_us);
}

server_load_t
runner_load (const runner_t *runner)
{
  return intake_load (runner->intake);
}

int64_t
runner_run_us (const runner_t *runner)
{
  return intake_run_us (runner->intake);
}

uint32_t
runner_open (const runner_t *runner)
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
