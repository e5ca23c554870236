#include "edge/entry_impl.h"

enum
{
  UNREAD_MAX_BYTES = 256 * 1024, /* of a response, unread by its caller */
  BUFFERED_MAX_BYTES = 64 * 1024 /* of a reply, before it is passed on */
};

/* Whether to try another server because REPLY reports a failure of the server
   itself.  Takes a retry if so.  */
static bool
take_retry_after_reply (exchange_t *exchange, const call_reply_t *reply)
{
  if (reply->status < 500 || reply->status == 501 || reply->status == 504
      || !exchange->idempotent)
    return false;
  /* If a service of the call tree refuses requests because of overload (is
     under pressure), the failure was most likely caused by an overloaded
     service further down the tree, and a retry would only add load there.  */
  if (exchange_is_under_pressure (exchange))
    return false;
  exchange->cause = CAUSE_SERVER_DISCONNECTED;
  return exchange_take_retry (exchange);
}

void
exchange_update_flow (exchange_t *exchange, size_t size)
{
  /* Only an exchange that streams is told when its caller has read.  A reply
     that is buffered is bounded by BUFFERED_MAX_BYTES.  */
  bool full = exchange->step == STEP_STREAMING
              && http_buffered_bytes (exchange->http) > UNREAD_MAX_BYTES;
  exchange->uncredited_bytes += size;
  if (exchange->run != NULL && full)
    run_pause (exchange->run, true);
  if (exchange->peer_call == NULL || full)
    return;
  peer_call_consume (exchange->peer_call, exchange->uncredited_bytes);
  exchange->uncredited_bytes = 0;
}

/* Passes on the buffered part of a reply that is too long to be buffered as a
   whole.  */
static void
begin_streaming (exchange_t *exchange)
{
  http_exchange_t *http = exchange->http;
  exchange->step = STEP_STREAMING;
  http_start_response (
      http, exchange->reply_status, bytes_data (&exchange->reply_fields),
      bytes_size (&exchange->reply_fields), exchange->reply_length);
  http_write_body (http, bytes_data (&exchange->reply_body),
                   bytes_size (&exchange->reply_body));
  bytes_free (&exchange->reply_fields);
  bytes_free (&exchange->reply_body);
}

/* Buffers a part of a reply.  As long as nothing was passed on, the request
   can still be retried, or an error returned, if the reply is cut short.  */
static void
buffer_reply (exchange_t *exchange, const char *data, size_t size)
{
  bytes_append (&exchange->reply_body, data, size);
  if (exchange->reply_length > BUFFERED_MAX_BYTES
      || bytes_size (&exchange->reply_body) > BUFFERED_MAX_BYTES)
    begin_streaming (exchange);
}

static void
finish_reply (exchange_t *exchange)
{
  http_exchange_t *http = exchange->http;
  bytes_t fields = exchange->reply_fields;
  bytes_t body = exchange->reply_body;
  int status = exchange->reply_status;
  bool streaming = exchange->step == STEP_STREAMING;
  exchange->reply_fields = (bytes_t){ 0 };
  exchange->reply_body = (bytes_t){ 0 };
  exchange_count_end (exchange, ENTRY_ANSWERED);
  exchange_free (exchange);
  if (streaming)
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
  bool was_query = exchange->step == STEP_QUERYING;

  if (last)
    {
      exchange->peer_call = NULL;
      exchange->run = NULL;
    }
  if (was_query)
    exchange_lost_call_stats (exchange)->answered++;
  else
    exchange_report_attempt (exchange,
                             reply->status < 500 ? RUN_OK : RUN_FAILED,
                             reply->run_us, &reply->load);
  if (last && take_retry_after_reply (exchange, reply))
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
  exchange_begin_buffering (exchange);
  exchange->reply_status = reply->status;
  exchange->reply_length = reply->content_length;
  bytes_append (&exchange->reply_fields, reply->fields, reply->fields_size);
  buffer_reply (exchange, body, size);
  exchange_update_flow (exchange, size);
}

static void
on_body (void *ctx, const char *data, size_t size, bool last)
{
  exchange_t *exchange = ctx;
  if (exchange->step == STEP_BUFFERING)
    buffer_reply (exchange, data, size);
  else
    http_write_body (exchange->http, data, size);
  if (last)
    finish_reply (exchange);
  else
    exchange_update_flow (exchange, size);
}

static void
handle_refusal (exchange_t *exchange, const call_failure_t *failure)
{
  entry_point_t *entry = exchange->entry;
  exchange->cause = failure->cause;
  /* All sidecars refuse this request, although this one has not yet received
     the report of the suspect.  */
  if (failure->cause == CAUSE_CRASH_SUSPECT)
    {
      exchange_give_up (exchange, ENTRY_CRASH_SUSPECT);
      return;
    }
  /* The server itself refused, so another attempt counts as a retry.  */
  if (failure->cause == CAUSE_SERVER_SHED)
    {
      if (!entry_take_retry (entry, exchange->service, exchange->route))
        {
          exchange_give_up (exchange, ENTRY_NO_ROOM);
          return;
        }
      entry->stats.retries[failure->cause]++;
    }
  exchange_place (exchange);
}

/* Whether a query for the outcome of an attempt failed without telling the
   outcome.  Only the process that the attempt was sent to knows whether it
   ran.  That it ran and its reply is lost is an outcome.  */
static bool
is_query_lost (const call_failure_t *failure)
{
  return failure->kind != FAILURE_INVALID_REPLY
         && (failure->cause == CAUSE_PEER_LOST
             || failure->cause == CAUSE_NO_PEER
             || failure->cause == CAUSE_WRONG_SERVICE);
}

lost_call_stats_t *
exchange_lost_call_stats (exchange_t *exchange)
{
  entry_stats_t *stats = &exchange->entry->stats;
  return exchange->idempotent ? &stats->lost_reads : &stats->lost_bookings;
}

void
exchange_retry_or_end (exchange_t *exchange, entry_end_t end)
{
  exchange->may_have_run = true;
  if (exchange_take_retry (exchange))
    exchange_place (exchange);
  else
    exchange_respond_error (exchange, end, 502);
}

/* Whether to ask for the outcome of the attempt that has failed with FAILURE.
   A request that must run at most once is not retried.  The outcome of an
   idempotent one is not kept once its reply has begun.  */
static bool
should_query_outcome (const exchange_t *exchange,
                      const call_failure_t *failure, bool was_buffering)
{
  if (failure->cause != CAUSE_PEER_LOST)
    return false;
  bool unknown = failure->kind == FAILURE_OUTCOME_UNKNOWN;
  return exchange->idempotent ? unknown && !was_buffering
                              : unknown || was_buffering;
}

static void
count_query_failure (exchange_t *exchange, const call_failure_t *failure)
{
  lost_call_stats_t *stats = exchange_lost_call_stats (exchange);
  if (failure->kind == FAILURE_REFUSED)
    stats->refused++;
  else
    stats->unknown++;
}

static void
on_failed (void *ctx, const call_failure_t *failure)
{
  exchange_t *exchange = ctx;
  bool was_query = exchange->step == STEP_QUERYING;
  bool was_buffering = exchange->step == STEP_BUFFERING;
  exchange->peer_call = NULL;
  exchange->run = NULL;
  exchange->cause = failure->cause;
  bytes_free (&exchange->reply_fields);
  bytes_free (&exchange->reply_body);
  if (exchange->step == STEP_STREAMING)
    {
      http_exchange_t *http = exchange->http;
      exchange_count_end (exchange, ENTRY_ANSWER_BROKEN);
      exchange_free (exchange);
      http_abort_response (http);
      return;
    }
  if (!was_query && !was_buffering)
    exchange_report_attempt (exchange,
                             failure->kind == FAILURE_REFUSED ? RUN_SHED
                             : failure->kind == FAILURE_OUTCOME_UNKNOWN
                                 ? RUN_CONNECTION_LOST
                                 : RUN_FAILED,
                             0, &failure->load);
  if (was_query && is_query_lost (failure))
    {
      if (failure->cause == CAUSE_PEER_LOST)
        exchange_repeat_query (exchange);
      else
        exchange_schedule_query (exchange);
      return;
    }
  if (was_query)
    count_query_failure (exchange, failure);
  if (failure->kind == FAILURE_REFUSED)
    {
      handle_refusal (exchange, failure);
      return;
    }
  if (should_query_outcome (exchange, failure, was_buffering))
    {
      exchange_begin_query (exchange);
      return;
    }
  exchange_retry_or_end (exchange, failure->kind == FAILURE_OUTCOME_UNKNOWN
                                       ? ENTRY_OUTCOME_UNKNOWN
                                       : ENTRY_ANSWER_BROKEN);
}

call_sink_t
exchange_sink (exchange_t *exchange)
{
  return (call_sink_t){ on_reply, on_body, on_failed, exchange };
}
