#include "edge/entry_impl.h"

enum
{
  WINDOW_BYTES = 256 * 1024, /* of an answer that its caller has not read */
  GATHER_BYTES = 64 * 1024   /* of an answer that are handed on together */
};

/* A failure of the server itself is worth another server's try.  */
static bool
tries_again (exchange_t *exchange, const call_reply_t *reply)
{
  if (reply->status < 500 || reply->status == 501 || reply->status == 504
      || !exchange->idempotent)
    return false;
  /* Under load the cause is most likely further down, where another try only
     adds to it.  */
  if (exchange_is_pressed (exchange))
    return false;
  exchange->cause = CAUSE_CUT;
  return exchange_may_repeat (exchange);
}

/* The caller sets the pace of a long answer.  */
void
exchange_take (exchange_t *exchange, size_t size)
{
  bool full = http_unread_bytes (exchange->http) > WINDOW_BYTES;
  exchange->untaken += size;
  if (exchange->run != NULL && full)
    run_pause (exchange->run, true);
  if (exchange->call == NULL || full)
    return;
  peer_call_consume (exchange->call, exchange->untaken);
  exchange->untaken = 0;
}

/* Hands on what has come of an answer that is too long to wait for.  */
static void
begin_answer (exchange_t *exchange)
{
  http_exchange_t *http = exchange->http;
  exchange->step = STEP_ANSWERING;
  http_start_response (
      http, exchange->status, bytes_data (&exchange->answer_fields),
      bytes_size (&exchange->answer_fields), exchange->length);
  http_write_body (http, bytes_data (&exchange->answer),
                   bytes_size (&exchange->answer));
  bytes_free (&exchange->answer_fields);
  bytes_free (&exchange->answer);
}

/* What is not begun can still be repeated or refused when it breaks off.  */
static void
gather (exchange_t *exchange, const char *data, size_t size)
{
  bytes_append (&exchange->answer, data, size);
  if (exchange->length > GATHER_BYTES
      || bytes_size (&exchange->answer) > GATHER_BYTES)
    begin_answer (exchange);
}

static void
end_answer (exchange_t *exchange)
{
  http_exchange_t *http = exchange->http;
  bytes_t fields = exchange->answer_fields;
  bytes_t body = exchange->answer;
  int status = exchange->status;
  bool begun = exchange->step == STEP_ANSWERING;
  exchange->answer_fields = (bytes_t){ 0 };
  exchange->answer = (bytes_t){ 0 };
  exchange_count_end (exchange, ENTRY_ANSWERED);
  exchange_free (exchange);
  if (begun)
    http_end_response (http);
  else
    http_respond (http, status, bytes_data (&fields), bytes_size (&fields),
                  bytes_data (&body), bytes_size (&body));
  bytes_free (&fields);
  bytes_free (&body);
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
    exchange_told_done (exchange, reply->status < 500 ? RUN_OK : RUN_FAILED,
                        reply->run_us, &reply->load);
  if (last && tries_again (exchange, reply))
    {
      exchange->may_have_run = true;
      exchange_place (exchange);
      return;
    }
  http_exchange_t *http = exchange->http;
  if (last)
    {
      exchange_count_end (exchange, ENTRY_ANSWERED);
      exchange_free (exchange);
      http_respond (http, reply->status, reply->fields, reply->fields_size,
                    body, size);
      return;
    }
  exchange_gather (exchange);
  exchange->status = reply->status;
  exchange->length = reply->content_length;
  bytes_append (&exchange->answer_fields, reply->fields, reply->fields_size);
  gather (exchange, body, size);
  exchange_take (exchange, size);
}

static void
on_body (void *ctx, const char *data, size_t size, bool last)
{
  exchange_t *exchange = ctx;
  if (exchange->step == STEP_GATHERING)
    gather (exchange, data, size);
  else
    http_write_body (exchange->http, data, size);
  if (last)
    end_answer (exchange);
  else
    exchange_take (exchange, size);
}

static void
refused (exchange_t *exchange, const call_failure_t *failure)
{
  entry_point_t *entry = exchange->entry;
  exchange->cause = failure->cause;
  /* Held everywhere; this sidecar has not heard of it yet.  */
  if (failure->cause == CAUSE_SUSPECT)
    {
      exchange_give_up (exchange, ENTRY_SUSPECT);
      return;
    }
  /* A server that was reached counts among those that are sent to again.  */
  if (failure->cause == CAUSE_SERVER_SHED)
    {
      if (!retry_pool_try_withdraw (
              entry_retry_pool (entry, exchange->service)))
        {
          exchange_give_up (exchange, ENTRY_NO_ROOM);
          return;
        }
      entry->state.retries[failure->cause]++;
    }
  exchange_place (exchange);
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
  bool gathering = exchange->step == STEP_GATHERING;
  exchange->call = NULL;
  exchange->run = NULL;
  exchange->cause = failure->cause;
  bytes_free (&exchange->answer_fields);
  bytes_free (&exchange->answer);
  if (exchange->step == STEP_ANSWERING)
    {
      http_exchange_t *http = exchange->http;
      exchange_count_end (exchange, ENTRY_BROKEN);
      exchange_free (exchange);
      http_abort_response (http);
      return;
    }
  if (!asked && !gathering)
    exchange_told_done (exchange,
                        failure->kind == FAILURE_REFUSED ? RUN_SHED
                        : failure->kind == FAILURE_OUTCOME_UNKNOWN
                            ? RUN_CONNECTION_LOST
                            : RUN_FAILED,
                        0, &failure->load);
  if (asked && is_no_answer (failure))
    {
      exchange_wait_to_ask (exchange);
      return;
    }
  if (failure->kind == FAILURE_REFUSED)
    {
      refused (exchange, failure);
      return;
    }
  /* What must run once is asked after, where it was sent.  */
  if (failure->cause == CAUSE_PEER_LOST && !exchange->idempotent
      && (failure->kind == FAILURE_OUTCOME_UNKNOWN || gathering))
    {
      exchange_ask (exchange);
      return;
    }
  exchange->may_have_run = true;
  if (exchange_may_repeat (exchange))
    exchange_place (exchange);
  else
    exchange_finish (exchange,
                     failure->kind == FAILURE_OUTCOME_UNKNOWN ? ENTRY_UNKNOWN
                                                              : ENTRY_BROKEN,
                     502);
}

call_sink_t
exchange_sink (exchange_t *exchange)
{
  return (call_sink_t){ on_reply, on_body, on_failed, exchange };
}
