#include "edge/http_server_impl.h"

#include <string.h>
#include <sys/socket.h>

static bytes_t *
answer_out (http_exchange_t *exchange)
{
  http_connection_t *connection = exchange->connection;
  return connection->first == exchange ? &connection->out : &exchange->out;
}

/* Moves finished answers on and frees their exchanges.  */
static void
advance (http_connection_t *connection)
{
  while (connection->first != NULL
         && connection->first->response_state == HTTP_RESPONSE_COMPLETE)
    {
      http_exchange_t *exchange = connection->first;
      connection->first = exchange->next;
      if (connection->first == NULL)
        connection->last = &connection->first;
      connection->waiting--;
      if (exchange->close_after)
        connection->closing = true;
      connection_free_exchange (exchange);
      if (connection->first != NULL)
        bytes_move (&connection->out, &connection->first->out);
    }
  connection_want_flush (connection);
  if (connection->paused && !connection->dead)
    loop_defer (connection->server->loop, &connection->resume);
}

/* Whether this answer is the last one on its connection.  */
static bool
is_last (const http_exchange_t *exchange)
{
  const http_connection_t *connection = exchange->connection;
  bool alone = exchange->next == NULL && connection->reading == NULL
               && bytes_size (&connection->in) == 0;
  return exchange->close_after || (connection->server->draining && alone);
}

static void
write_head (http_exchange_t *exchange, int status, const char *headers,
            size_t headers_size, int64_t length)
{
  bytes_t *out = answer_out (exchange);
  bytes_append_format (out, "HTTP/1.1 %d %s\r\n", status,
                       http_status_str ((enum http_status)status));
  bytes_append (out, headers, headers_size);
  exchange->chunked = length < 0 && !exchange->old && !exchange->no_body;
  exchange->until_close = length < 0 && exchange->old && !exchange->no_body;
  if (is_last (exchange))
    {
      exchange->close_after = true;
      exchange->connection->last_read = true;
      bytes_append_text (out, "Connection: close\r\n");
    }
  if (exchange->chunked)
    bytes_append_text (out, "Transfer-Encoding: chunked\r\n\r\n");
  else if (length >= 0 && status != HTTP_STATUS_NO_CONTENT
           && status != HTTP_STATUS_NOT_MODIFIED)
    bytes_append_format (out, "Content-Length: %lld\r\n\r\n",
                         (long long)length);
  else
    bytes_append_text (out, "\r\n");
}

void
http_start_response (http_exchange_t *exchange, int status,
                     const char *headers, size_t headers_size, int64_t length)
{
  write_head (exchange, status, headers, headers_size, length);
  exchange->response_state = HTTP_RESPONSE_STARTED;
  connection_want_flush (exchange->connection);
}

void
http_write_body (http_exchange_t *exchange, const void *data, size_t size)
{
  bytes_t *out = answer_out (exchange);
  if (size == 0 || exchange->no_body)
    return;
  if (exchange->chunked)
    bytes_append_format (out, "%zx\r\n", size);
  bytes_append (out, data, size);
  if (exchange->chunked)
    bytes_append (out, "\r\n", 2);
  connection_want_flush (exchange->connection);
}

void
http_end_response (http_exchange_t *exchange)
{
  http_connection_t *connection = exchange->connection;
  if (exchange->chunked)
    bytes_append_text (answer_out (exchange), "0\r\n\r\n");
  exchange->response_state = HTTP_RESPONSE_COMPLETE;
  connection->server->state.open_exchanges--;
  advance (connection);
}

/* What was written before the break may still be on its way out.  */
static void
send_rest (http_connection_t *connection)
{
  ssize_t sent = 1;
  while (sent > 0 && bytes_size (&connection->out) > 0)
    {
      sent = send (connection->reader.fd, bytes_data (&connection->out),
                   bytes_size (&connection->out), MSG_NOSIGNAL);
      if (sent > 0)
        bytes_consume (&connection->out, (size_t)sent);
    }
}

void
http_abort_response (http_exchange_t *exchange)
{
  http_connection_t *connection = exchange->connection;
  if (connection->first != exchange)
    {
      /* Nothing of it has left, and others before it are still owed.  */
      bytes_consume (&exchange->out, bytes_size (&exchange->out));
      http_respond (exchange, HTTP_STATUS_BAD_GATEWAY, NULL, 0, NULL, 0);
      return;
    }
  if (!exchange->until_close)
    send_rest (connection);
  exchange->response_state = HTTP_RESPONSE_COMPLETE;
  connection->report.unanswered_requests++;
  connection->server->state.open_exchanges--;
  connection_close (connection, HTTP_CLOSE_ABORTED);
}

void
http_respond (http_exchange_t *exchange, int status, const char *headers,
              size_t headers_size, const void *body, size_t size)
{
  write_head (exchange, status, headers, headers_size, (int64_t)size);
  if (!exchange->no_body)
    bytes_append (answer_out (exchange), body, size);
  http_end_response (exchange);
}

size_t
http_unread_bytes (const http_exchange_t *exchange)
{
  const http_connection_t *connection = exchange->connection;
  if (connection->first == exchange)
    return bytes_size (&connection->out);
  return bytes_size (&exchange->out);
}
