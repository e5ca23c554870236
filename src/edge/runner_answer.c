#include "edge/runner_impl.h"

#include <string.h>

#include "mesh/mesh_proto.h"

enum
{
  SINGLE_PIECE_MAX_BYTES = 32 * 1024, /* larger replies are passed in parts */
  KEPT_REPLY_MAX_BYTES = 64 * 1024,   /* larger replies are not kept */
  /* The connection of a longer refusal is closed instead of read.  */
  DECLINED_REPLY_MAX_BYTES = 8 * 1024,
  /* Time within which a crash is noticed; runs interrupted earlier are not
     suspected of it.  */
  CRASH_DETECTION_US = 3 * US_PER_S,
  /* The entry point cancels a run at its deadline, and its message may arrive
     a little earlier by this sidecar's clock.  */
  DEADLINE_TOLERANCE_US = 50 * US_PER_MS
};

/* --- runs that may have crashed the server ------------------------------ */

/* Records RUN as interrupted.  Replaces the oldest record when there are
   INTERRUPTED_RUNS_MAX.  */
static void
record_interrupted_run (run_t *run)
{
  runner_t *runner = run->runner;
  if (runner->interrupted_run_count == INTERRUPTED_RUNS_MAX)
    memmove (&runner->interrupted_runs[0], &runner->interrupted_runs[1],
             --runner->interrupted_run_count
                 * sizeof runner->interrupted_runs[0]);
  runner->interrupted_runs[runner->interrupted_run_count++]
      = (interrupted_run_t){ run->fingerprint, runner->loop->now_us };
}

/* Called when RUN has ended with a reply.  Its request no longer counts as
   interrupted or as a crash suspect, even if RUN was interrupted before it was
   resent, or another run of the same request was.  */
static void
clear_suspect (run_t *run)
{
  runner_t *runner = run->runner;
  uint32_t kept = 0;
  for (uint32_t i = 0; i < runner->interrupted_run_count; i++)
    if (runner->interrupted_runs[i].fingerprint != run->fingerprint)
      runner->interrupted_runs[kept++] = runner->interrupted_runs[i];
  runner->interrupted_run_count = kept;
  if (!crash_suspects_is_empty (runner->suspects)
      && crash_suspects_record_completion (runner->suspects, run->fingerprint,
                                           runner->loop->now_us))
    runner->handler.suspects_changed (runner->handler.ctx, 0);
}

void
runner_record_crash (runner_t *runner)
{
  int64_t now_us = runner->loop->now_us;
  uint32_t suspect_count = 0;
  for (uint32_t i = 0; i < runner->interrupted_run_count; i++)
    if (now_us - runner->interrupted_runs[i].interrupted_us
        < CRASH_DETECTION_US)
      suspect_count += crash_suspects_record_crash (
          runner->suspects, runner->interrupted_runs[i].fingerprint, now_us);
  runner->interrupted_run_count = 0;
  if (suspect_count > 0)
    runner->handler.suspects_changed (runner->handler.ctx, suspect_count);
}

void
runner_handle_connect_failure (runner_t *runner)
{
  runner_record_crash (runner);
  runner->handler.server_lost (runner->handler.ctx, NULL);
}

/* --- ends of a run ----------------------------------------------------- */

static void
report_end (const run_t *run, run_end_kind_t kind)
{
  const runner_t *runner = run->runner;
  if (runner->on_run_end == NULL)
    return;
  run_end_t end = {
    .kind = kind,
    .route = run->route,
    .server_id = run->server_id,
    .status = run->reply.status,
    .began_us = run->intake_entry.started_us,
    .expected_run_us = run->intake_entry.expected_run_us,
  };
  runner->on_run_end (runner->run_end_ctx, &end);
}

/* Ends RUN.  Keeps its outcome if it must run at most once or is detached,
   else frees it.  */
static void
finish_run (run_t *run)
{
  run->state = RUN_STATE_ENDED;
  run_remove_open (run);
  if (run->in_attempt_table)
    run_keep_outcome (run);
  else if (run->detached)
    run_keep_detached_outcome (run);
  else
    run_free (run);
}

void
run_fail (run_t *run, failure_kind_t kind, cause_t cause)
{
  runner_t *runner = run->runner;
  call_sink_t sink = run->sink;
  bool had_sink = run->has_sink;
  call_failure_t call_failure = {
    .kind = kind, .cause = cause, .load = intake_server_load (runner->intake)
  };
  runner->stats.failures[cause]++;
  run->failed = true;
  run->failure = call_failure;
  run->has_sink = false;
  /* A call that did not run may be sent again and run then.  */
  if (kind == FAILURE_REFUSED && run->in_attempt_table)
    {
      run_remove_attempt (run);
      run->in_attempt_table = false;
    }
  finish_run (run);
  if (had_sink)
    sink.failed (sink.ctx, &call_failure);
}

/* Ends RUN with the server's reply.  The sink gets the whole reply, or its end
   if it has been given the beginning.  */
static void
run_complete (run_t *run)
{
  runner_t *runner = run->runner;
  call_sink_t sink = run->sink;
  bool had_sink = run->has_sink;
  runner->stats.runs_answered++;
  run->reply.load = intake_server_load (runner->intake);
  run->has_sink = false;
  bool single_piece = !run->reply_started;
  bytes_t body = { 0 };
  if (!run->in_attempt_table && had_sink)
    {
      /* The run is freed before the sink gets the reply.  */
      body = run->reply_body;
      run->reply_body = (bytes_t){ 0 };
    }
  const bytes_t *single_body
      = run->in_attempt_table ? &run->reply_body : &body;
  call_reply_t reply = run->reply;
  bytes_t fields = { 0 };
  if (!run->in_attempt_table && had_sink)
    {
      fields = run->reply_fields;
      run->reply_fields = (bytes_t){ 0 };
    }
  finish_run (run);
  if (had_sink && single_piece)
    sink.reply (sink.ctx, &reply, bytes_data (single_body),
                bytes_size (single_body), true);
  else if (had_sink)
    sink.body (sink.ctx, NULL, 0, true);
  bytes_free (&body);
  bytes_free (&fields);
}

/* Releases RUN's slot of the server.  RAN is false if RUN was refused or not
   begun.  */
static void
release_slot (run_t *run, bool ran)
{
  run->http_call = NULL;
  intake_finish_run (run->runner->intake, &run->intake_entry, ran,
                     run->runner->loop->now_us);
}

bool
run_may_have_begun (const run_t *run)
{
  return run->state == RUN_STATE_RUNNING
         && http_call_has_sent_bytes (run->http_call);
}

void
run_abort (run_t *run)
{
  runner_t *runner = run->runner;
  bool may_have_begun = run_may_have_begun (run);
  run->has_sink = false;
  if (run->state == RUN_STATE_QUEUED)
    intake_cancel_queued (runner->intake, &run->intake_entry);
  else
    {
      http_call_cancel (run->http_call);
      if (may_have_begun)
        report_end (run, run->deadline_us - DEADLINE_TOLERANCE_US
                                 <= runner->loop->now_us
                             ? RUN_END_NO_RESPONSE
                             : RUN_END_CANCELLED);
      release_slot (run, may_have_begun);
    }
  run->failed = true;
  run->failure = (call_failure_t){ .kind = FAILURE_OUTCOME_UNKNOWN,
                                   .cause = CAUSE_SERVER_DISCONNECTED };
  if (!may_have_begun)
    run->failure = (call_failure_t){ .kind = FAILURE_REFUSED,
                                     .cause = CAUSE_CALL_NOT_RECEIVED };
  finish_run (run);
}

/* --- the reply --------------------------------------------------------- */

typedef struct parsed_reply_t
{
  bool has_signature;
  bool not_run;
  bool has_attempt_id;
  bool attempt_id_matches;
  bool has_content_encoding;
  char server_id[SERVER_ID_BYTES];
  const field_t *load; /* NULL is none */
} parsed_reply_t;

static parsed_reply_t
parse_reply_fields (const run_t *run, const fields_t *fields)
{
  parsed_reply_t parsed = { .has_signature = false };
  const dialect_t *dialect = run->runner->dialect;
  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      switch (dialect->reply_field_role (fields, field))
        {
        case REPLY_FIELD_SIGNATURE:
          parsed.has_signature = true;
          break;
        case REPLY_FIELD_NOT_RUN:
          parsed.not_run = true;
          break;
        case REPLY_FIELD_ATTEMPT_ID:
          parsed.has_attempt_id = true;
          parsed.attempt_id_matches
              = field->value_size == strlen (run->attempt_id)
                && memcmp (field_value (fields, field), run->attempt_id,
                           field->value_size)
                       == 0;
          break;
        case REPLY_FIELD_SERVER_ID:
          field_copy_value (fields, field, parsed.server_id,
                            sizeof parsed.server_id);
          break;
        case REPLY_FIELD_LOAD:
          parsed.load = field;
          break;
        default:
          if (field_has_name (fields, field, "Content-Encoding"))
            parsed.has_content_encoding = true;
        }
    }
  return parsed;
}

static void
copy_reply_fields (run_t *run, const fields_t *fields)
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

/* Whether a sidecar's response with STATUS means that the request has not run.
   A server's reply with such a status must not be passed on.  */
static bool
is_not_run_status (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static http_verdict_t
reject_reply (run_t *run, cause_t cause)
{
  run->reject_cause = cause;
  return HTTP_VERDICT_REJECT;
}

/* The server refuses the request.  The connection is kept if the rest of this
   response is short: a server that refuses a share of its requests would
   otherwise need a new connection for each of them.  */
static http_verdict_t
decline_reply (run_t *run, const parsed_reply_t *parsed, int64_t length)
{
  run->reject_cause = CAUSE_SERVER_SHED;
  bool keeps_connection = parsed->has_attempt_id && length >= 0
                          && length <= DECLINED_REPLY_MAX_BYTES;
  return keeps_connection ? HTTP_VERDICT_DECLINE : HTTP_VERDICT_REJECT;
}

static http_verdict_t
on_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  run_t *run = ctx;
  runner_t *runner = run->runner;
  parsed_reply_t parsed = parse_reply_fields (run, fields);

  if (parsed.has_attempt_id && !parsed.attempt_id_matches)
    return HTTP_VERDICT_SKIP;
  if (parsed.load != NULL)
    runner_read_load (runner, fields, parsed.load);
  if (status == 421)
    {
      runner_record_crash (runner);
      runner->handler.server_lost (runner->handler.ctx, parsed.server_id);
      return reject_reply (run, CAUSE_SERVER_CHANGED);
    }
  if (parsed.not_run)
    return decline_reply (run, &parsed, length);
  bool success = status >= 200 && status < 300;
  if (success && (!parsed.has_signature || !parsed.has_attempt_id))
    return reject_reply (run, CAUSE_SIGNATURE_MISSING);
  if (parsed.has_content_encoding || is_not_run_status (status))
    return reject_reply (run, CAUSE_MALFORMED_REPLY);
  run->reply.status = status;
  run->reply.content_length = length;
  copy_reply_fields (run, fields);
  /* No frame could take them to another sidecar.  */
  if (run->reply.fields_size > MESH_FIELDS_MAX)
    return reject_reply (run, CAUSE_MALFORMED_REPLY);
  return HTTP_VERDICT_ACCEPT;
}

/* Buffers a reply of up to SINGLE_PIECE_MAX_BYTES, and passes a longer one on
   as it arrives.  The limit for an attempt that must run at most once is
   KEPT_REPLY_MAX_BYTES, so that its reply can be kept.  */
static void
on_body (void *ctx, const char *data, size_t size)
{
  run_t *run = ctx;
  if (!run->reply_started
      && bytes_size (&run->reply_body) + size <= SINGLE_PIECE_MAX_BYTES)
    {
      bytes_append (&run->reply_body, data, size);
      return;
    }
  if (run->in_attempt_table && !run->reply_too_large)
    {
      bytes_append (&run->reply_body, data, size);
      run->reply_too_large
          = bytes_size (&run->reply_body) > KEPT_REPLY_MAX_BYTES;
      if (!run->reply_too_large)
        return;
      if (!run->has_sink)
        {
          run_abort (run); /* too large to keep, and there is no sink */
          return;
        }
      data = NULL;
      size = 0;
    }
  if (run->detached)
    {
      run_abort (run); /* too large to keep, and there is no sink */
      return;
    }
  if (!run->reply_started)
    {
      run->reply_started = true;
      run->reply.load = intake_server_load (run->runner->intake);
      if (run->has_sink)
        run->sink.reply (run->sink.ctx, &run->reply,
                         bytes_data (&run->reply_body),
                         bytes_size (&run->reply_body), false);
      bytes_free (&run->reply_body);
    }
  if (run->has_sink && size > 0)
    run->sink.body (run->sink.ctx, data, size, false);
}

static void
on_end (void *ctx)
{
  run_t *run = ctx;
  run->reply.run_us
      = (uint32_t)(run->runner->loop->now_us - run->intake_entry.started_us);
  if (run->reply.content_length < 0 && !run->reply_started)
    run->reply.content_length = (int64_t)bytes_size (&run->reply_body);
  clear_suspect (run);
  report_end (run, RUN_END_REPLY);
  release_slot (run, true);
  run_complete (run);
}

/* Whether to send a request to the same server once more, after the reused
   connection that it was sent on was closed without a reply.  Only idempotent
   requests are resent.  Charges the retry budget if so.  */
static bool
may_resend (const run_t *run)
{
  const runner_t *runner = run->runner;
  return !run->in_attempt_table && !run->resent
         && run->deadline_us > runner->loop->now_us
         && intake_is_accepting (runner->intake)
         && strcmp (run->server_id, runner->server_id) == 0
         && runner->handler.take_resend (runner->handler.ctx, run->route);
}

static void
on_failure (void *ctx, http_failure_t http_failure)
{
  run_t *run = ctx;
  runner_t *runner = run->runner;

  if (http_failure == HTTP_FAILURE_STALE
      || http_failure == HTTP_FAILURE_TRUNCATED)
    record_interrupted_run (run);
  if (http_failure == HTTP_FAILURE_STALE && may_resend (run))
    {
      run->resent = true;
      run_send (run);
      return;
    }
  cause_t cause = CAUSE_SERVER_DISCONNECTED;
  failure_kind_t kind = FAILURE_OUTCOME_UNKNOWN;
  if (http_failure == HTTP_FAILURE_CONNECT)
    {
      cause = CAUSE_CONNECT_FAILED;
      kind = FAILURE_REFUSED;
    }
  else if (http_failure == HTTP_FAILURE_NO_SOCKET)
    {
      cause = CAUSE_NO_SOCKET;
      kind = FAILURE_REFUSED;
    }
  else if (http_failure == HTTP_FAILURE_MALFORMED)
    {
      cause = CAUSE_MALFORMED_REPLY;
      kind = FAILURE_INVALID_REPLY;
      runner->handler.response_malformed (runner->handler.ctx, run->attempt_id,
                                          http_call_defect (run->http_call));
    }
  else if (http_failure == HTTP_FAILURE_REJECTED)
    {
      cause = run->reject_cause;
      kind = cause == CAUSE_SERVER_SHED || cause == CAUSE_SERVER_CHANGED
                 ? FAILURE_REFUSED
                 : FAILURE_INVALID_REPLY;
    }
  else if (run->reply.status != 0)
    kind = FAILURE_INVALID_REPLY;
  if (http_failure == HTTP_FAILURE_DEADLINE)
    cause = CAUSE_DEADLINE_EXCEEDED;
  if (kind != FAILURE_REFUSED)
    report_end (run, http_failure == HTTP_FAILURE_MALFORMED
                             || http_failure == HTTP_FAILURE_REJECTED
                         ? RUN_END_INVALID
                         : RUN_END_NO_RESPONSE);
  release_slot (run, kind != FAILURE_REFUSED);
  /* The first attempt may have run, even if the second was refused.  */
  if (kind == FAILURE_REFUSED && run->resent)
    kind = FAILURE_OUTCOME_UNKNOWN;
  if (cause != CAUSE_SERVER_SHED && cause != CAUSE_NO_SOCKET)
    runner->handler.run_failed (runner->handler.ctx, run->attempt_id,
                                run->server_id, cause);
  run_fail (run, kind, cause);
  if (http_failure == HTTP_FAILURE_CONNECT)
    runner_handle_connect_failure (runner);
}

http_response_handler_t
run_reply_handler (run_t *run)
{
  return (http_response_handler_t){ on_head, on_body, on_end, on_failure,
                                    run };
}
