#include "edge/serve.h"

#include <stdlib.h>
#include <string.h>

/* A call of a peer, from serve_call until its last callback or its
   cancellation.  */
typedef struct served_call_t
{
  peer_stream_t *stream;
  run_t *run;
} served_call_t;

static void
on_reply (void *ctx, const call_reply_t *reply, const char *body, size_t size,
          bool last)
{
  served_call_t *served_call = ctx;
  peer_stream_t *stream = served_call->stream;
  if (last)
    free (served_call);
  else if (size > 0)
    run_pause (served_call->run, peer_stream_window_is_full (stream));
  peer_stream_send_reply (stream, reply, body, size, last);
}

static void
on_body (void *ctx, const char *data, size_t size, bool last)
{
  served_call_t *served_call = ctx;
  peer_stream_t *stream = served_call->stream;
  run_t *run = served_call->run;
  if (last)
    free (served_call);
  peer_stream_send_body (stream, data, size, last);
  if (!last && peer_stream_window_is_full (stream))
    run_pause (run, true);
}

static void
on_failed (void *ctx, const call_failure_t *failure)
{
  served_call_t *served_call = ctx;
  peer_stream_t *stream = served_call->stream;
  free (served_call);
  peer_stream_fail (stream, failure);
}

void
serve_call (serve_context_t *context, peer_stream_t *stream,
            const call_request_t *call)
{
  call_failure_t failure
      = { .kind = FAILURE_REFUSED, .cause = CAUSE_WRONG_SERVICE };
  served_call_t *served_call = calloc (1, sizeof *served_call);
  if (served_call == NULL)
    abort ();
  call_sink_t sink = { on_reply, on_body, on_failed, served_call };
  served_call->stream = stream;
  peer_stream_set_user_data (stream, served_call);
  start_verdict_t result = START_FAILED;
  /* The runner tells which process a query is meant for, also if that one
     served another service.  */
  if (call->asks_outcome || strcmp (call->service, context->service) == 0)
    result = runner_start_call (context->runner, call, &sink,
                                &served_call->run, &failure);
  if (result == START_FAILED)
    on_failed (served_call, &failure);
}

void
serve_cancel_call (peer_stream_t *stream)
{
  served_call_t *served_call = peer_stream_user_data (stream);
  if (peer_stream_is_lost (stream))
    run_detach (served_call->run);
  else
    run_cancel (served_call->run);
  free (served_call);
}

void
serve_on_credit (peer_stream_t *stream)
{
  served_call_t *served_call = peer_stream_user_data (stream);
  if (!peer_stream_window_is_full (stream))
    run_pause (served_call->run, false);
}
