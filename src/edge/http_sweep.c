#include "edge/http_server_impl.h"

enum
{
  /* Time for the caller to close after the last response.  */
  LINGER_TIMEOUT_US = 1000 * US_PER_MS,
  /* Time for a connection's next and first request while the server drains.
     A caller may send the first one some time after it connects.  */
  DRAIN_IDLE_TIMEOUT_US = 100 * US_PER_MS,
  DRAIN_FIRST_REQUEST_TIMEOUT_US = 500 * US_PER_MS,
  /* Idle time from which a connection is closed for a new one.  */
  EVICTION_IDLE_MIN_US = 100 * US_PER_MS,
  LIMIT_FIRST_REQUEST_TIMEOUT_US = 500 * US_PER_MS,
  EVICTED_MAX = 8 /* at once */
};

/* While reading is paused, only this check detects that the caller has
   closed.  */
static void
check_paused_connection (http_connection_t *connection)
{
  if (!connection_close_if_caller_closed (connection))
    connection->close_checked_us = connection->server->loop->now_us;
}

static int64_t
no_progress_us (const http_connection_t *connection)
{
  return connection->server->loop->now_us - connection->last_progress_us;
}

/* Compares US with a limit of the connection and that of the server, of which
   the larger one applies.  */
static bool
exceeds_both (int64_t us, int64_t limit_us, int64_t other_limit_us)
{
  return us > limit_us && us > other_limit_us;
}

static bool
is_stalled (const http_connection_t *connection)
{
  return exceeds_both (no_progress_us (connection),
                       connection->limits.body_timeout_us,
                       connection->server->limits.body_timeout_us);
}

/* The socket takes more only after much of what it holds is acknowledged, so
   that it may be full for long while the caller reads on.  */
static void
note_acked_output (http_connection_t *connection)
{
  uint64_t unacked_bytes = loop_unacked_bytes (connection->reader.fd);
  if (connection->sent_bytes <= connection->acked_bytes + unacked_bytes)
    return;
  connection->acked_bytes = connection->sent_bytes - unacked_bytes;
  connection_note_progress (connection);
  connection->stalled_since_us = 0;
}

bool
connection_is_idle (const http_connection_t *connection)
{
  return !connection->closed && !connection->lingering
         && !connection->reading_paused && connection->first_exchange == NULL
         && connection->incoming == NULL
         && bytes_size (&connection->output) == 0;
}

bool
connection_awaits_first_request (const http_connection_t *connection)
{
  return !connection->request_begun && connection_is_idle (connection);
}

/* First reads what has arrived.  If more arrives later, the kernel resets the
   connection, so that the caller knows that it was not processed.  A reset
   would also discard the rest of a response, so the caller must have
   acknowledged all of the last response, or have stalled.  */
void
connection_close_idle (http_connection_t *connection,
                       http_close_reason_t reason)
{
  connection_read (connection);
  if (connection->closed)
    return;
  bool all_acked = loop_unacked_bytes (connection->reader.fd) == 0;
  if (!all_acked)
    note_acked_output (connection);
  if (connection_is_idle (connection)
      && (all_acked || is_stalled (connection)))
    connection_close (connection, reason);
}

static bool
may_be_evicted (const http_connection_t *connection)
{
  return connection_is_idle (connection)
         && no_progress_us (connection)
                > (connection->request_begun ? EVICTION_IDLE_MIN_US
                                             : LIMIT_FIRST_REQUEST_TIMEOUT_US);
}

void
server_evict_idle (http_server_t *server)
{
  uint32_t before = server->stats.connections;
  http_connection_t *connection = server->last_connection;
  if (server->eviction_failed_iteration == server->loop->iterations)
    return;
  while (connection != NULL && !connection->closed
         && before - server->stats.connections < EVICTED_MAX
         && no_progress_us (connection) > EVICTION_IDLE_MIN_US)
    {
      http_connection_t *previous = connection->prev;
      if (may_be_evicted (connection))
        connection_close_idle (connection, HTTP_CLOSE_EVICTED);
      connection = previous;
    }
  if (before == server->stats.connections)
    server->eviction_failed_iteration = server->loop->iterations;
}

static bool
is_request_overdue (const http_connection_t *connection)
{
  const http_limits_t *connection_limits = &connection->limits;
  const http_limits_t *server_limits = &connection->server->limits;
  const http_exchange_t *incoming = connection->incoming;
  if (incoming == NULL)
    return false;
  if (incoming->method != NULL)
    return is_stalled (connection);
  return exceeds_both (
      connection->server->loop->now_us - incoming->first_byte_us,
      connection_limits->header_timeout_us, server_limits->header_timeout_us);
}

/* If the loop runs late, data that has arrived in the meantime counts as in
   time.  */
static void
time_out_request (http_connection_t *connection)
{
  connection_read (connection);
  if (!connection->closed && is_request_overdue (connection))
    connection_refuse_request (connection, 408);
}

/* The loop may have run late, so the caller gets one more sweep period to read
   on.  */
static void
check_unread_output (http_connection_t *connection)
{
  int64_t now_us = connection->server->loop->now_us;
  note_acked_output (connection);
  if (!is_stalled (connection))
    return;
  if (connection->stalled_since_us == 0)
    connection->stalled_since_us = now_us;
  else if (now_us - connection->stalled_since_us > SWEEP_PERIOD_US)
    connection_close (connection, HTTP_CLOSE_UNREAD);
}

/* Bytes that arrive after the close, or are unread then, make the kernel drop
   what the caller has not acknowledged.  */
static void
check_lingering_connection (http_connection_t *connection)
{
  note_acked_output (connection);
  if (no_progress_us (connection) <= LINGER_TIMEOUT_US)
    return;
  connection_read (connection);
  if (!connection->closed
      && (loop_unacked_bytes (connection->reader.fd) == 0
          || is_stalled (connection)))
    connection_close (connection, connection->close_report.reason);
}

static bool
is_idle_too_long (const http_connection_t *connection)
{
  const http_server_t *server = connection->server;
  if (!connection_is_idle (connection))
    return false;
  if (connection->beyond_limit && !connection->request_begun)
    return no_progress_us (connection) > LIMIT_FIRST_REQUEST_TIMEOUT_US;
  if (server->draining)
    return no_progress_us (connection)
           > (connection->request_begun ? DRAIN_IDLE_TIMEOUT_US
                                        : DRAIN_FIRST_REQUEST_TIMEOUT_US);
  return exceeds_both (no_progress_us (connection),
                       connection->limits.idle_timeout_us,
                       server->limits.idle_timeout_us);
}

void
connection_check_timeouts (http_connection_t *connection)
{
  if (connection->lingering)
    check_lingering_connection (connection);
  else if (connection->reading_paused)
    check_paused_connection (connection);
  else if (is_request_overdue (connection))
    time_out_request (connection);
  else if (bytes_size (&connection->output) > 0)
    check_unread_output (connection);
  else if (is_idle_too_long (connection))
    connection_close_idle (connection, connection->server->draining
                                           ? HTTP_CLOSE_DRAINED
                                           : HTTP_CLOSE_IDLE);
}
