#include "edge/runner_impl.h"

#include <string.h>

enum
{
  WHOLE_BYTES = 32 * 1024, /* answers up to this go out in one piece */
  KEEP_BYTES = 64 * 1024,  /* larger answers are not kept */
  CUT_US = 3 * US_PER_S /* in which a server that crashed is found missing */
};

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
      && crash_suspects_record_completion (runner->suspects, run->fingerprint,
                                           runner->loop->now_us))
    runner->handler.suspects_changed (runner->handler.ctx, 0);
}

void
runner_count_crash (runner_t *runner)
{
  int64_t now_us = runner->loop->now_us;
  uint32_t counted = 0;
  for (uint32_t i = 0; i < runner->cut_count; i++)
    if (now_us - runner->cuts[i].cut_us < CUT_US)
      counted += crash_suspects_record_crash (
          runner->suspects, runner->cuts[i].fingerprint, now_us);
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
  run_close (run);
  if (run->once)
    run_keep (run);
  else
    run_free (run);
}

void
run_fail (run_t *run, failure_kind_t failure, cause_t cause)
{
  runner_t *runner = run->runner;
  call_sink_t sink = run->sink;
  bool listening = run->listening;
  call_failure_t told = { .kind = failure,
                          .cause = cause,
                          .load = intake_server_load (runner->intake) };
  runner->state.failures[cause]++;
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
  runner->state.runs_answered++;
  run->reply.load = intake_server_load (runner->intake);
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
  intake_finish_run (run->runner->intake, &run->entry, ran,
                     run->runner->loop->now_us);
}

bool
run_has_begun (const run_t *run)
{
  return run->state == RUN_RUNNING && http_call_has_sent_bytes (run->call);
}

void
run_break_off (run_t *run)
{
  runner_t *runner = run->runner;
  bool begun = run_has_begun (run);
  run->listening = false;
  if (run->state == RUN_QUEUED)
    intake_cancel_queued (runner->intake, &run->entry);
  else
    {
      http_call_cancel (run->call);
      give_slot_back (run, begun);
    }
  run->failed = true;
  run->failure = (call_failure_t){ .kind = FAILURE_OUTCOME_UNKNOWN,
                                   .cause = CAUSE_CUT };
  if (!begun)
    run->failure = (call_failure_t){ .kind = FAILURE_REFUSED,
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
      switch (dialect->reply_field_role (fields, field))
        {
        case REPLY_FIELD_SIGNATURE:
          look.signed_ = true;
          break;
        case REPLY_FIELD_NOT_RUN:
          look.not_run = true;
          break;
        case REPLY_FIELD_ATTEMPT_ID:
          look.has_id = true;
          look.same_id = field->value_size == strlen (run->attempt_id)
                         && memcmp (field_value (fields, field),
                                    run->attempt_id, field->value_size)
                                == 0;
          break;
        case REPLY_FIELD_SERVER_ID:
          field_copy_value (fields, field, look.server_id,
                            sizeof look.server_id);
          break;
        default:
          if (field_has_name (fields, field, "Content-Encoding"))
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
      reply_field_role_t role = dialect->reply_field_role (fields, field);
      if (!field_is_hop_by_hop (fields, field) && role != REPLY_FIELD_LOAD
          && role != REPLY_FIELD_COLD_START)
        field_append (fields, field, &run->reply_fields);
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
  return HTTP_VERDICT_REJECT;
}

static http_verdict_t
on_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  run_t *run = ctx;
  runner_t *runner = run->runner;
  reply_look_t look = look_at (run, fields);

  if (look.has_id && !look.same_id)
    return HTTP_VERDICT_SKIP;
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
  run->reply.content_length = length;
  keep_fields (run, fields);
  return HTTP_VERDICT_ACCEPT;
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
      run->reply.load = intake_server_load (run->runner->intake);
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
  if (run->reply.content_length < 0 && !run->replied)
    run->reply.content_length = (int64_t)bytes_size (&run->reply_body);
  clear_suspect (run);
  give_slot_back (run, true);
  run_complete (run);
}

/* Whether a read whose kept connection ended behind it goes to the same server
   once more.  */
static bool
may_send_again (const run_t *run)
{
  const runner_t *runner = run->runner;
  return !run->once && !run->fresh && run->deadline_us > runner->loop->now_us
         && intake_is_accepting (runner->intake)
         && strcmp (run->server_id, runner->server_id) == 0;
}

static void
on_fault (void *ctx, http_failure_t fault)
{
  run_t *run = ctx;
  runner_t *runner = run->runner;

  if (fault == HTTP_FAILURE_STALE || fault == HTTP_FAILURE_TRUNCATED)
    note_cut (run);
  if (fault == HTTP_FAILURE_STALE && may_send_again (run))
    {
      run->fresh = true;
      run_send (run);
      return;
    }
  cause_t cause = CAUSE_CUT;
  failure_kind_t failure = FAILURE_OUTCOME_UNKNOWN;
  if (fault == HTTP_FAILURE_CONNECT)
    {
      cause = CAUSE_CONNECT;
      failure = FAILURE_REFUSED;
    }
  else if (fault == HTTP_FAILURE_MALFORMED)
    {
      cause = CAUSE_GARBLED;
      failure = FAILURE_INVALID_REPLY;
    }
  else if (fault == HTTP_FAILURE_REJECTED)
    {
      cause = run->reject;
      failure = cause == CAUSE_SERVER_SHED || cause == CAUSE_SERVER_CHANGED
                    ? FAILURE_REFUSED
                    : FAILURE_INVALID_REPLY;
    }
  else if (run->reply.status != 0)
    failure = FAILURE_INVALID_REPLY;
  if (fault == HTTP_FAILURE_DEADLINE)
    cause = CAUSE_DEADLINE;
  give_slot_back (run, failure != FAILURE_REFUSED);
  /* The first sending may have run, whatever became of the second.  */
  if (failure == FAILURE_REFUSED && run->fresh)
    failure = FAILURE_OUTCOME_UNKNOWN;
  if (cause != CAUSE_SERVER_SHED)
    runner->handler.run_failed (runner->handler.ctx, run->attempt_id,
                                run->server_id, cause);
  run_fail (run, failure, cause);
  if (fault != HTTP_FAILURE_CONNECT)
    return;
  runner_count_crash (runner);
  runner->handler.server_lost (runner->handler.ctx, NULL);
}

http_response_handler_t
run_reply_handler (run_t *run)
{
  return (http_response_handler_t){ on_head, on_body, on_end, on_fault, run };
}
