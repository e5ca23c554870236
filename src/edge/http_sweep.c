#include "edge/http_server_impl.h"

enum
{
  LINGER_US = 1000 * US_PER_MS,   /* for a caller to take its last answer */
  DRAIN_IDLE_US = 100 * US_PER_MS /* for a new connection's request */
};

/* A close shows in no other way while nothing is read.  */
static void
check_paused (http_connection_t *connection)
{
  if (!connection_close_abandoned (connection))
    connection->paused_us = connection->server->loop->now_us;
}

static int64_t
quiet_us (const http_connection_t *connection)
{
  return connection->server->loop->now_us - connection->since_us;
}

/* Whether US is longer than both LIMIT_US allow.  */
static bool
is_longer (int64_t us, int64_t limit_us, int64_t other_limit_us)
{
  return us > limit_us && us > other_limit_us;
}

static bool
is_stalled (const http_connection_t *connection)
{
  return is_longer (quiet_us (connection), connection->limits.body_timeout_us,
                    connection->server->limits.body_timeout_us);
}

bool
connection_is_idle (const http_connection_t *connection)
{
  return !connection->lingering && !connection->paused
         && connection->first == NULL && connection->reading == NULL
         && bytes_size (&connection->out) == 0;
}

/* Ends a connection on which nothing waits.  What has arrived is taken first;
   what comes later is reset by the kernel, so that its caller knows that
   nobody has read it.  That reset would take the rest of an answer with it, so
   the caller must have got all of the last one.  */
void
connection_end_idle (http_connection_t *connection, http_close_reason_t end)
{
  connection_read (connection);
  if (!connection->dead && connection_is_idle (connection)
      && (loop_unacked_bytes (connection->reader.fd) == 0
          || is_stalled (connection)))
    connection_close (connection, end);
}

static bool
is_overdue (const http_connection_t *connection)
{
  const http_limits_t *own = &connection->limits;
  const http_limits_t *now = &connection->server->limits;
  const http_exchange_t *reading = connection->reading;
  if (reading == NULL)
    return false;
  if (reading->method != NULL)
    return is_stalled (connection);
  return is_longer (connection->server->loop->now_us - reading->first_byte_us,
                    own->header_timeout_us, now->header_timeout_us);
}

/* The loop may come late: what has arrived meanwhile is in time.  */
static void
end_overdue (http_connection_t *connection)
{
  connection_read (connection);
  if (!connection->dead && is_overdue (connection))
    connection_refuse (connection, 408);
}

static bool
is_unread (const http_connection_t *connection)
{
  return bytes_size (&connection->out) > 0 && is_stalled (connection);
}

/* The loop may have come late, so the caller gets a little time to read on. */
static void
end_unread (http_connection_t *connection)
{
  int64_t now_us = connection->server->loop->now_us;
  if (connection->stalled_us == 0)
    connection->stalled_us = now_us;
  else if (now_us - connection->stalled_us > SWEEP_US)
    connection_close (connection, HTTP_CLOSE_UNREAD);
}

static bool
is_unused (const http_connection_t *connection)
{
  const http_server_t *server = connection->server;
  if (!connection_is_idle (connection))
    return false;
  if (server->draining)
    return quiet_us (connection) > DRAIN_IDLE_US;
  return is_longer (quiet_us (connection), connection->limits.idle_timeout_us,
                    server->limits.idle_timeout_us);
}

/* Ends a connection that has made no progress for too long.  */
void
connection_sweep (http_connection_t *connection)
{
  if (connection->lingering)
    {
      if (quiet_us (connection) > LINGER_US)
        connection_close (connection, connection->report.reason);
    }
  else if (connection->paused)
    check_paused (connection);
  else if (is_overdue (connection))
    end_overdue (connection);
  else if (is_unread (connection))
    end_unread (connection);
  else if (is_unused (connection))
    connection_end_idle (connection, connection->server->draining
                                         ? HTTP_CLOSE_DRAINED
                                         : HTTP_CLOSE_IDLE);
}
