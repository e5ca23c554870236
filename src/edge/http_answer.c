#include "edge/http_server_impl.h"

#include <string.h>
#include <sys/socket.h>

/* Only the first exchange writes to its connection directly.  Responses of
   later ones are buffered, to be sent in the order of the requests.  */
static bytes_t *
response_output (http_exchange_t *exchange)
{
  http_connection_t *connection = exchange->connection;
  return connection->first_exchange == exchange ? &connection->output
                                                : &exchange->output;
}

enum
{
  SPARE_DIVISOR = 8 /* part of a server's connections */
};

/* Number of connections below the limit from which responses announce the end
   of their connection.  */
static uint32_t
spare_connections (const http_server_t *server)
{
  return server->connection_limits.served / SPARE_DIVISOR;
}

/* Whether no request follows this one on its connection, or has arrived.  Only
   known while no response to an earlier request is pending, as the connection
   is read until then.  */
static bool
is_last_response (const http_exchange_t *exchange)
{
  const http_connection_t *connection = exchange->connection;
  const http_server_t *server = connection->server;
  bool closing = server->draining
                 || server_is_at_limit (server, spare_connections (server));
  if (exchange->close_after || !closing)
    return exchange->close_after;
  return connection->first_exchange == exchange && exchange->next == NULL
         && connection->incoming == NULL && connection->rest_bytes == 0
         && bytes_size (&connection->unparsed_input) == 0
         && loop_unread_bytes (connection->reader.fd) == 0;
}

/* Appends the field that announces the close to the head of the response.  */
static void
announce_close (http_exchange_t *exchange)
{
  exchange->close_after = true;
  exchange->connection->last_request_read = true;
  bytes_append_text (response_output (exchange), "Connection: close\r\n");
}

/* Moves the buffered response of the exchange that is now the first one to the
   connection.  Its head may have been written before it was known to be the
   last one.  */
static void
move_output (http_exchange_t *exchange)
{
  bytes_t *out = &exchange->connection->output;
  if (exchange->response_state != HTTP_RESPONSE_NOT_STARTED
      && !exchange->close_after && is_last_response (exchange))
    {
      const char *head = bytes_data (&exchange->output);
      const char *line_end
          = memchr (head, '\n', bytes_size (&exchange->output));
      size_t status_line_size = (size_t)(line_end - head) + 1;
      bytes_append (out, head, status_line_size);
      bytes_consume (&exchange->output, status_line_size);
      announce_close (exchange);
    }
  bytes_move (out, &exchange->output);
}

/* Frees the exchanges at the front whose responses are complete, and moves the
   buffered response of the next one to the connection.  */
static void
retire_complete_exchanges (http_connection_t *connection)
{
  while (connection->first_exchange != NULL
         && connection->first_exchange->response_state
                == HTTP_RESPONSE_COMPLETE)
    {
      http_exchange_t *exchange = connection->first_exchange;
      connection->first_exchange = exchange->next;
      if (connection->first_exchange == NULL)
        connection->exchange_tail = &connection->first_exchange;
      connection->waiting_count--;
      connection->unsent_count++;
      if (exchange->close_after)
        connection->close_after_flush = true;
      connection_free_exchange (exchange);
      if (connection->first_exchange != NULL)
        move_output (connection->first_exchange);
    }
  connection_schedule_flush (connection);
  if (connection->reading_paused && !connection->closed)
    loop_defer (connection->server->loop, &connection->resume_task);
}

static void
write_head (http_exchange_t *exchange, int status, const char *headers,
            size_t headers_size, int64_t length)
{
  bytes_t *out = response_output (exchange);
  bytes_append_format (out, "HTTP/1.1 %d %s\r\n", status,
                       http_status_str ((enum http_status)status));
  bytes_append (out, headers, headers_size);
  exchange->chunked
      = length < 0 && !exchange->is_http_1_0 && !exchange->no_response_body;
  exchange->ends_at_close
      = length < 0 && exchange->is_http_1_0 && !exchange->no_response_body;
  if (is_last_response (exchange))
    announce_close (exchange);
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
  exchange->response_state = HTTP_RESPONSE_STARTED;
  if (exchange->connection->exchanges_ended)
    return;
  write_head (exchange, status, headers, headers_size, length);
  connection_schedule_flush (exchange->connection);
}

void
http_write_body (http_exchange_t *exchange, const void *data, size_t size)
{
  bytes_t *out = response_output (exchange);
  if (size == 0 || exchange->no_response_body
      || exchange->connection->exchanges_ended)
    return;
  if (exchange->chunked)
    bytes_append_format (out, "%zx\r\n", size);
  bytes_append (out, data, size);
  if (exchange->chunked)
    bytes_append (out, "\r\n", 2);
  connection_schedule_flush (exchange->connection);
}

/* Tells the handler about the requests whose responses EXCHANGE, which has a
   complete response, waits for.  */
static void
notify_response_behind (const http_exchange_t *exchange)
{
  const http_handler_t *handler = &exchange->connection->server->handler;
  http_exchange_t *before = exchange->connection->first_exchange;
  if (exchange->deadline_us == 0 || handler->response_behind == NULL)
    return;
  for (; before != exchange; before = before->next)
    if (before->response_state != HTTP_RESPONSE_COMPLETE)
      handler->response_behind (handler->ctx, before);
}

void
http_end_response (http_exchange_t *exchange)
{
  http_connection_t *connection = exchange->connection;
  exchange->response_state = HTTP_RESPONSE_COMPLETE;
  if (connection->exchanges_ended)
    return; /* it has left the ledger and is freed with the others */
  if (exchange->chunked)
    bytes_append_text (response_output (exchange), "0\r\n\r\n");
  ledger_advance (&connection->server->ledger, &connection->account,
                  &exchange->ledger);
  notify_response_behind (exchange);
  retire_complete_exchanges (connection);
}

void
http_abort_response (http_exchange_t *exchange)
{
  http_connection_t *connection = exchange->connection;
  if (connection->first_exchange != exchange)
    {
      /* No byte of this response has been sent, as responses to earlier
         requests are not complete.  */
      bytes_consume (&exchange->output, bytes_size (&exchange->output));
      http_respond (exchange, HTTP_STATUS_BAD_GATEWAY, NULL, 0, NULL, 0);
      return;
    }
  exchange->dispatched = false; /* the handler expects no caller_gone */
  if (exchange->ends_at_close)
    connection_close (connection, HTTP_CLOSE_ABORTED);
  else
    connection_close_after_output (connection, HTTP_CLOSE_ABORTED);
}

void
http_respond (http_exchange_t *exchange, int status, const char *headers,
              size_t headers_size, const void *body, size_t size)
{
  if (!exchange->connection->exchanges_ended)
    {
      write_head (exchange, status, headers, headers_size, (int64_t)size);
      if (!exchange->no_response_body)
        bytes_append (response_output (exchange), body, size);
    }
  http_end_response (exchange);
}

size_t
http_buffered_bytes (const http_exchange_t *exchange)
{
  const http_connection_t *connection = exchange->connection;
  if (connection->first_exchange == exchange)
    return bytes_size (&connection->output);
  return bytes_size (&exchange->output);
}

uint32_t
http_responses_behind (const http_exchange_t *exchange)
{
  uint32_t count = 0;
  for (const http_exchange_t *next = exchange->next; next != NULL;
       next = next->next)
    count += next->response_state == HTTP_RESPONSE_COMPLETE;
  return count;
}

int64_t
http_earliest_deadline_behind_us (const http_exchange_t *exchange)
{
  int64_t earliest_us = INT64_MAX;
  for (const http_exchange_t *next = exchange->next; next != NULL;
       next = next->next)
    if (next->response_state == HTTP_RESPONSE_COMPLETE && next->deadline_us > 0
        && next->deadline_us < earliest_us)
      earliest_us = next->deadline_us;
  return earliest_us;
}
