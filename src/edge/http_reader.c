#include "edge/http_server_impl.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

static void
append_exchange (http_connection_t *connection, http_exchange_t *exchange)
{
  *connection->exchange_tail = exchange;
  connection->exchange_tail = &exchange->next;
  connection->waiting_count++;
}

static void
refuse_request (http_connection_t *connection, int status, const char *headers)
{
  const http_handler_t *handler = &connection->server->handler;
  http_exchange_t *exchange = connection->incoming;
  if (exchange == NULL)
    exchange = connection_new_exchange (connection);
  connection->incoming = NULL;
  connection->last_request_read = true;
  connection->server->stats.malformed_requests++;
  ledger_advance (&connection->server->ledger, &connection->account,
                  &exchange->ledger);
  exchange->close_after = true;
  if (handler->refused_deadline_us != NULL)
    exchange->deadline_us
        = handler->refused_deadline_us (handler->ctx, exchange);
  append_exchange (connection, exchange);
  http_respond (exchange, status, headers, strlen (headers), NULL, 0);
}

void
connection_refuse_request (http_connection_t *connection, int status)
{
  refuse_request (connection, status, "");
}

/* Stops the parser; the request is refused with STATUS.  */
static int
stop_parsing (http_connection_t *connection, int status)
{
  connection->parse_error_status = status;
  return -1;
}

static int
on_message_begin (http_parser *parser)
{
  http_connection_t *connection = parser->data;
  connection->request_begun = true;
  connection->incoming = connection_new_exchange (connection);
  connection->limits = connection->server->limits;
  connection_note_progress (connection);
  return 0;
}

/* Each field counts with its separators, ": " and CRLF.  */
static bool
is_head_too_large (const http_connection_t *connection)
{
  const http_exchange_t *exchange = connection->incoming;
  size_t size = bytes_size (&exchange->target)
                + bytes_size (&exchange->fields.text)
                + 4UL * exchange->fields.count;
  return size > connection->limits.header_bytes
         && size > connection->server->limits.header_bytes;
}

static int
on_url (http_parser *parser, const char *data, size_t size)
{
  http_connection_t *connection = parser->data;
  bytes_append (&connection->incoming->target, data, size);
  return is_head_too_large (connection) ? stop_parsing (connection, 431) : 0;
}

static int
on_header_field (http_parser *parser, const char *data, size_t size)
{
  http_connection_t *connection = parser->data;
  fields_append_name (&connection->incoming->fields, data, size);
  return is_head_too_large (connection) ? stop_parsing (connection, 431) : 0;
}

static int
on_header_value (http_parser *parser, const char *data, size_t size)
{
  http_connection_t *connection = parser->data;
  fields_append_value (&connection->incoming->fields, data, size);
  return is_head_too_large (connection) ? stop_parsing (connection, 431) : 0;
}

static bool
is_body_too_large (const http_connection_t *connection, uint64_t size)
{
  return size > connection->limits.body_bytes
         && size > connection->server->limits.body_bytes;
}

/* Requires HTTP/1, another method than CONNECT, a single Host, which HTTP/1.0
   may omit, and unambiguous framing of the body (RFC 9112, sections 3.2 and
   6.3).  */
static bool
is_head_valid (const http_exchange_t *exchange, const http_parser *parser)
{
  uint32_t hosts = 0;
  const fields_t *fields = &exchange->fields;
  for (uint32_t i = 0; i < fields->count; i++)
    hosts += field_has_name (fields, &fields->items[i], "Host");
  bool is_http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
  bool is_chunked = (parser->flags & F_CHUNKED) != 0;
  return http_syntax_check_framing (fields, is_chunked) == HTTP_DEFECT_NONE
         && (hosts == 1 || (is_http_1_0 && hosts == 0))
         && parser->method != HTTP_CONNECT && parser->http_major == 1;
}

static int
on_headers_complete (http_parser *parser)
{
  http_connection_t *connection = parser->data;
  http_exchange_t *exchange = connection->incoming;
  bool has_length
      = !(parser->flags & F_CHUNKED) && parser->content_length != UINT64_MAX;

  exchange->method = http_method_str ((enum http_method)parser->method);
  if (!is_head_valid (exchange, parser))
    return stop_parsing (connection, 400);
  if (has_length && is_body_too_large (connection, parser->content_length))
    return stop_parsing (connection, 413);
  exchange->no_response_body = parser->method == HTTP_HEAD;
  exchange->is_http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
  /* In HTTP/1.0, the end of the connection may mark the end of a response.  */
  exchange->close_after
      = exchange->is_http_1_0 || !http_should_keep_alive (parser);
  bytes_append (&exchange->target, "", 1);
  parser->upgrade = 0;
  if (parser->flags & F_CHUNKED)
    http_syntax_begin_chunks (&connection->syntax);
  const field_t *expect = fields_find (&exchange->fields, "Expect");
  if (expect != NULL && connection->first_exchange == NULL
      && field_has_token (&exchange->fields, expect, "100-continue"))
    {
      bytes_append_text (&connection->output, "HTTP/1.1 100 Continue\r\n\r\n");
      connection_schedule_flush (connection);
    }
  return 0;
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  http_connection_t *connection = parser->data;
  http_server_t *server = connection->server;
  http_exchange_t *exchange = connection->incoming;

  if (is_body_too_large (connection, bytes_size (&exchange->body) + size))
    return stop_parsing (connection, 413);
  if (server->stats.body_bytes + size > server->limits.total_body_bytes)
    return stop_parsing (connection, 503);
  bytes_append (&exchange->body, data, size);
  server->stats.body_bytes += size;
  return 0;
}

/* Pauses the parser, so that what follows the request is known when it is
   handled.  */
static int
on_message_complete (http_parser *parser)
{
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static int
on_late_request (http_parser *parser)
{
  http_connection_t *connection = parser->data;
  connection->close_report.late_requests++;
  connection->server->stats.late_requests++;
  return 0;
}

/* Counts bytes that are discarded, as they follow the last request, and the
   complete requests in them.  */
static void
count_late_bytes (http_connection_t *connection, const char *data, size_t size)
{
  static const http_parser_settings settings
      = { .on_message_complete = on_late_request };
  http_close_report_t *report = &connection->close_report;
  if (size == 0)
    return;
  if (report->late_bytes == 0)
    http_parser_init (&connection->parser, HTTP_REQUEST);
  report->late_bytes += (uint32_t)size;
  connection->server->stats.late_bytes += size;
  if (connection->late_malformed)
    return;
  http_parser_execute (&connection->parser, &settings, data, size);
  connection->late_malformed
      = HTTP_PARSER_ERRNO (&connection->parser) != HPE_OK;
}

static void
pause_reading (http_connection_t *connection, const char *rest, size_t size)
{
  connection->reading_paused = true;
  connection->server->stats.reads_paused++;
  connection->close_checked_us = connection->server->loop->now_us;
  bytes_append (&connection->unparsed_input, rest, size);
  ev_io_stop (connection->server->loop->ev, &connection->reader);
}

/* Whether the connection is beyond the limit and none was closed since it was
   accepted.  */
static bool
is_beyond_limit (http_connection_t *connection)
{
  const http_server_t *server = connection->server;
  if (connection->beyond_limit
      && server->stats.connections <= server->connection_limits.served)
    connection->beyond_limit = false;
  return connection->beyond_limit;
}

/* Passes the complete incoming request to the handler.  */
static void
handle_request (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  http_exchange_t *exchange = connection->incoming;

  if (is_beyond_limit (connection))
    {
      connection->close_report.requests++;
      server->stats.refused_beyond_limit++;
      refuse_request (connection, 503, "Retry-After: 1\r\n");
      return;
    }
  connection->incoming = NULL;
  http_syntax_begin_request (&connection->syntax);
  connection->close_report.requests++;
  exchange->last_byte_us = server->loop->now_us;
  exchange->dispatched = true;
  append_exchange (connection, exchange);
  ledger_advance (&server->ledger, &connection->account, &exchange->ledger);
  if (exchange->close_after)
    connection->last_request_read = true;
  server->handler.request (server->handler.ctx, exchange);
}

static void
refuse_unparsable (http_connection_t *connection, enum http_errno parse_errno)
{
  int status = connection->parse_error_status;
  if (status == 0)
    status = parse_errno == HPE_HEADER_OVERFLOW ? 431 : 400;
  connection_refuse_request (connection, status);
}

/* Parses the next piece of DATA: a head, a part of it, or some of a body.
   Returns the number of bytes parsed, or 0 if the request was refused.  Sets
   *COMPLETE if the request ends with these bytes.  */
static size_t
parse_piece (http_connection_t *connection, const char *data, size_t size,
             bool *complete)
{
  size_t checked_size = http_syntax_check (&connection->syntax, data, size);
  if (checked_size == 0)
    {
      connection_refuse_request (connection, 400);
      return 0;
    }
  size_t parsed_size = http_parser_execute (
      &connection->parser, &parser_settings, data, checked_size);
  enum http_errno parse_errno = HTTP_PARSER_ERRNO (&connection->parser);
  *complete = parse_errno == HPE_PAUSED;
  if (*complete)
    http_parser_pause (&connection->parser, 0);
  else if (parse_errno != HPE_OK)
    {
      refuse_unparsable (connection, parse_errno);
      return 0;
    }
  return parsed_size;
}

/* Handles the complete requests in DATA.  What follows the last one that may
   wait is kept, and what follows the last one of the connection is
   discarded.  */
static void
parse (http_connection_t *connection, const char *data, size_t size)
{
  while (size > 0)
    {
      bool complete = false;
      size_t parsed_size = parse_piece (connection, data, size, &complete);
      if (parsed_size == 0)
        return;
      data += parsed_size;
      size -= parsed_size;
      if (!complete)
        continue;
      connection->rest_bytes = size;
      handle_request (connection);
      connection->rest_bytes = 0;
      if (connection->closed)
        return;
      if (connection->last_request_read)
        {
          count_late_bytes (connection, data, size);
          return;
        }
      if (connection->waiting_count
          >= connection->server->limits.pipelined_requests)
        {
          pause_reading (connection, data, size);
          return;
        }
    }
}

bool
connection_close_if_caller_closed (http_connection_t *connection)
{
  if (!loop_peer_has_closed (connection->reader.fd))
    return false;
  connection->server->stats.reads_abandoned++;
  connection_close_ended (connection, HTTP_CALLER_FOUND_CLOSED,
                          loop_socket_error (connection->reader.fd));
  return true;
}

/* Not called directly when a response is complete: it may close the connection
   and so free its other exchanges, which the handler that has just responded
   may still be using.  */
void
connection_resume_reading (void *ctx)
{
  http_connection_t *connection = ctx;
  http_server_t *server = connection->server;
  if (!connection->reading_paused
      || connection->waiting_count >= server->limits.pipelined_requests
      || connection_close_if_caller_closed (connection))
    return;
  connection->reading_paused = false;
  connection->close_checked_us = 0;
  ev_io_start (server->loop->ev, &connection->reader);
  if (bytes_size (&connection->unparsed_input) == 0
      || connection->last_request_read)
    return;
  bytes_t rest = connection->unparsed_input;
  connection->unparsed_input = (bytes_t){ 0 };
  parse (connection, bytes_data (&rest), bytes_size (&rest));
  bytes_free (&rest);
}

void
connection_read (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  ssize_t size = recv (connection->reader.fd, server->read_buffer,
                       READ_BUFFER_BYTES, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0)
    {
      connection_close_ended (
          connection, size == 0 ? HTTP_CALLER_CLOSED : HTTP_CALLER_RESET,
          size == 0 ? 0 : errno);
      return;
    }
  if (connection->lingering || connection->last_request_read)
    {
      count_late_bytes (connection, server->read_buffer, (size_t)size);
      return;
    }
  /* The caller may have closed after the request that was just read.  */
  if (connection_close_if_caller_closed (connection))
    return;
  connection_note_progress (connection);
  parse (connection, server->read_buffer, (size_t)size);
}

void
connection_on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  (void)ev;
  (void)events;
  connection_read (reader->data);
}
