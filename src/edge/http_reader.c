#include "edge/http_server_impl.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

static void
link_exchange (http_connection_t *connection, http_exchange_t *exchange)
{
  *connection->last = exchange;
  connection->last = &exchange->next;
  connection->waiting++;
}

/* Answers a malformed request and reads no further.  */
void
connection_refuse (http_connection_t *connection, int status)
{
  http_exchange_t *exchange = connection->reading;
  if (exchange == NULL)
    exchange = connection_new_exchange (connection);
  connection->reading = NULL;
  connection->last_read = true;
  connection->server->state.malformed_requests++;
  connection->server->state.open_exchanges++;
  exchange->close_after = true;
  link_exchange (connection, exchange);
  http_respond (exchange, status, NULL, 0, NULL, 0);
}

static int
fail_parse (http_connection_t *connection, int status)
{
  connection->error_status = status;
  return -1;
}

static int
on_message_begin (http_parser *parser)
{
  http_connection_t *connection = parser->data;
  connection->reading = connection_new_exchange (connection);
  connection->limits = connection->server->limits;
  connection->since_us = connection->server->loop->now_us;
  return 0;
}

static bool
head_too_large (const http_connection_t *connection)
{
  const http_exchange_t *exchange = connection->reading;
  size_t size = bytes_size (&exchange->target)
                + bytes_size (&exchange->fields.text)
                + 4UL * exchange->fields.count;
  return size > connection->limits.header_bytes
         && size > connection->server->limits.header_bytes;
}

static int
on_url (http_parser *parser, const char *at, size_t size)
{
  http_connection_t *connection = parser->data;
  bytes_append (&connection->reading->target, at, size);
  return head_too_large (connection) ? fail_parse (connection, 431) : 0;
}

static int
on_field (http_parser *parser, const char *at, size_t size)
{
  http_connection_t *connection = parser->data;
  fields_append_name (&connection->reading->fields, at, size);
  return head_too_large (connection) ? fail_parse (connection, 431) : 0;
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  http_connection_t *connection = parser->data;
  fields_append_value (&connection->reading->fields, at, size);
  return head_too_large (connection) ? fail_parse (connection, 431) : 0;
}

static bool
body_too_large (const http_connection_t *connection, uint64_t size)
{
  return size > connection->limits.body_bytes
         && size > connection->server->limits.body_bytes;
}

/* One Host and no folded or doubled framing (RFC 9112, 3.2 and 6.3).  */
static bool
head_is_sound (const http_exchange_t *exchange, const http_parser *parser)
{
  uint32_t hosts = 0;
  uint32_t lengths = 0;
  const fields_t *fields = &exchange->fields;
  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      const char *value = field_value (fields, field);
      hosts += field_has_name (fields, field, "Host");
      lengths += field_has_name (fields, field, "Content-Length");
      if (memchr (value, '\0', field->value_size) != NULL
          || memchr (value, '\r', field->value_size) != NULL
          || memchr (value, '\n', field->value_size) != NULL)
        return false;
      if (field_has_name (fields, field, "Transfer-Encoding")
          && (lengths > 0 || field->value_size != strlen ("chunked")
              || !field_has_token (fields, field, "chunked")))
        return false;
    }
  bool old = parser->http_major == 1 && parser->http_minor == 0;
  return lengths <= 1 && (hosts == 1 || (old && hosts == 0))
         && parser->method != HTTP_CONNECT && parser->http_major == 1;
}

static int
on_headers_complete (http_parser *parser)
{
  http_connection_t *connection = parser->data;
  http_exchange_t *exchange = connection->reading;
  bool sized
      = !(parser->flags & F_CHUNKED) && parser->content_length != UINT64_MAX;

  if (!head_is_sound (exchange, parser))
    return fail_parse (connection, 400);
  if (sized && body_too_large (connection, parser->content_length))
    return fail_parse (connection, 413);
  exchange->method = http_method_str ((enum http_method)parser->method);
  exchange->no_body = parser->method == HTTP_HEAD;
  exchange->old = parser->http_major == 1 && parser->http_minor == 0;
  /* An answer to HTTP/1.0 may end with its connection.  */
  exchange->close_after = exchange->old || !http_should_keep_alive (parser);
  bytes_append (&exchange->target, "", 1);
  parser->upgrade = 0;
  const field_t *expect = fields_find (&exchange->fields, "Expect");
  if (expect != NULL && connection->first == NULL
      && field_has_token (&exchange->fields, expect, "100-continue"))
    {
      bytes_append_text (&connection->out, "HTTP/1.1 100 Continue\r\n\r\n");
      connection_want_flush (connection);
    }
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  http_connection_t *connection = parser->data;
  http_server_t *server = connection->server;
  http_exchange_t *exchange = connection->reading;

  if (body_too_large (connection, bytes_size (&exchange->body) + size))
    return fail_parse (connection, 413);
  if (server->state.body_bytes + size > server->limits.total_body_bytes)
    return fail_parse (connection, 503);
  bytes_append (&exchange->body, at, size);
  server->state.body_bytes += size;
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  http_connection_t *connection = parser->data;
  http_server_t *server = connection->server;
  http_exchange_t *exchange = connection->reading;

  connection->reading = NULL;
  exchange->last_byte_us = server->loop->now_us;
  exchange->handed = true;
  link_exchange (connection, exchange);
  server->state.open_exchanges++;
  if (exchange->close_after)
    connection->last_read = true;
  server->handler.request (server->handler.ctx, exchange);
  if (connection->dead)
    return -1;
  if (connection->last_read
      || connection->waiting >= server->limits.pipelined_requests)
    http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
pause_reading (http_connection_t *connection, const char *rest, size_t size)
{
  connection->paused = true;
  connection->server->state.reads_paused++;
  connection->paused_us = connection->server->loop->now_us;
  bytes_append (&connection->in, rest, size);
  ev_io_stop (connection->server->loop->ev, &connection->reader);
}

static void
parse (http_connection_t *connection, const char *data, size_t size)
{
  size_t used = http_parser_execute (&connection->parser, &parser_settings,
                                     data, size);
  if (connection->dead)
    return;
  enum http_errno code = HTTP_PARSER_ERRNO (&connection->parser);
  if (code == HPE_PAUSED)
    {
      http_parser_pause (&connection->parser, 0);
      if (!connection->last_read)
        pause_reading (connection, data + used, size - used);
    }
  else if (code != HPE_OK && !connection->last_read)
    connection_refuse (connection, connection->error_status > 0
                                       ? connection->error_status
                                   : code == HPE_HEADER_OVERFLOW ? 431
                                                                 : 400);
}

/* Ends the connection if its caller has left.  */
bool
connection_close_abandoned (http_connection_t *connection)
{
  if (!loop_peer_has_closed (connection->reader.fd))
    return false;
  connection->server->state.reads_abandoned++;
  connection_close (connection, HTTP_CLOSE_CALLER);
  return true;
}

/* Goes on with what was read while too many requests waited.  A task of its
   own, as it may end other requests of the connection: whoever has just
   answered one may be in the middle of theirs.  */
void
connection_read_ahead (void *ctx)
{
  http_connection_t *connection = ctx;
  http_server_t *server = connection->server;
  if (!connection->paused
      || connection->waiting >= server->limits.pipelined_requests
      || connection_close_abandoned (connection))
    return;
  connection->paused = false;
  connection->paused_us = 0;
  ev_io_start (server->loop->ev, &connection->reader);
  if (bytes_size (&connection->in) == 0 || connection->last_read)
    return;
  bytes_t rest = connection->in;
  connection->in = (bytes_t){ 0 };
  parse (connection, bytes_data (&rest), bytes_size (&rest));
  bytes_free (&rest);
}

static int
on_late_request (http_parser *parser)
{
  http_connection_t *connection = parser->data;
  connection->report.late_requests++;
  connection->server->state.late_requests++;
  return 0;
}

/* Bytes that came after the end was decided.  */
static void
count_late (http_connection_t *connection, size_t size)
{
  static const http_parser_settings settings
      = { .on_message_complete = on_late_request };
  http_server_t *server = connection->server;
  connection->report.late_bytes += (uint32_t)size;
  server->state.late_bytes += size;
  if (connection->late_garbled)
    return;
  http_parser_execute (&connection->parser, &settings, server->block, size);
  connection->late_garbled = HTTP_PARSER_ERRNO (&connection->parser) != HPE_OK;
}

void
connection_read (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  ssize_t size = recv (connection->reader.fd, server->block, READ_BYTES, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0)
    {
      connection_close (connection, HTTP_CLOSE_CALLER);
      return;
    }
  if (connection->lingering)
    count_late (connection, (size_t)size);
  if (connection->lingering || connection->last_read)
    return;
  /* The close may be behind the request that was just read.  */
  if (connection_close_abandoned (connection))
    return;
  connection->since_us = server->loop->now_us;
  parse (connection, server->block, (size_t)size);
}

void
connection_on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  (void)ev;
  (void)events;
  connection_read (reader->data);
}
