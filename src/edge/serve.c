#include "edge/serve.h"

#include <stdlib.h>
#include <string.h>

typedef struct served_t
{
  peer_stream_t *stream;
  run_t *run;
} served_t;

static void
on_reply (void *ctx, const call_reply_t *reply, const char *body, size_t size,
          bool last)
{
  served_t *served = ctx;
  peer_stream_t *stream = served->stream;
  if (last)
    free (served);
  else if (size > 0)
    run_pause (served->run, peer_stream_window_is_full (stream));
  peer_stream_send_reply (stream, reply, body, size, last);
}

static void
on_body (void *ctx, const char *data, size_t size, bool last)
{
  served_t *served = ctx;
  peer_stream_t *stream = served->stream;
  run_t *run = served->run;
  if (last)
    free (served);
  peer_stream_send_body (stream, data, size, last);
  if (!last && peer_stream_window_is_full (stream))
    run_pause (run, true);
}

static void
on_failed (void *ctx, const call_failure_t *failure)
{
  served_t *served = ctx;
  peer_stream_t *stream = served->stream;
  free (served);
  peer_stream_fail (stream, failure);
}

void
serve_call (serve_context_t *serve, peer_stream_t *stream,
            const call_request_t *call)
{
  call_failure_t failure
      = { .kind = FAILURE_REFUSED, .cause = CAUSE_WRONG_SERVICE };
  served_t *served = calloc (1, sizeof *served);
  if (served == NULL)
    abort ();
  call_sink_t sink = { on_reply, on_body, on_failed, served };
  served->stream = stream;
  peer_stream_set_user_data (stream, served);
  start_verdict_t verdict = START_REFUSED;
  if (strcmp (call->service, serve->service) == 0)
    verdict = runner_start_call (serve->runner, call, &sink, &served->run,
                                 &failure);
  if (verdict == START_REFUSED)
    on_failed (served, &failure);
}

void
serve_cancel_call (peer_stream_t *stream)
{
  served_t *served = peer_stream_user_data (stream);
  run_cancel (served->run);
  free (served);
}

void
serve_on_credit (peer_stream_t *stream)
{
  served_t *served = peer_stream_user_data (stream);
  if (!peer_stream_window_is_full (stream))
    run_pause (served->run, false);
}
