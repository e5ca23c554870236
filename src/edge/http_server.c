#include "edge/http_server.h"

#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BYTES = 64 * 1024,       /* taken from a socket in one call */
  SWEEP_US = 200 * US_PER_MS,   /* precision of the connections' time-outs */
  LINGER_US = 1000 * US_PER_MS, /* for a caller to take its last answer */
  DRAIN_IDLE_US = 100 * US_PER_MS, /* for a new connection's request */
  SILENCE_MS = 5000,               /* for a caller's machine to acknowledge */
  ACCEPTS_A_TURN = 64              /* so that other work gets its turn */
};

typedef struct http_connection_t
{
  http_server_t *server;
  struct http_connection_t *next; /* all of the server's */
  struct http_connection_t *prev;
  ev_io reader;
  ev_io writer;
  http_parser parser;
  bytes_t in; /* read ahead while too many requests wait */
  bytes_t out;
  http_exchange_t *reading; /* head or body not complete yet */
  http_exchange_t *first;   /* waiting for answers, in order */
  http_exchange_t **last;
  uint32_t waiting;
  loop_task_t flush;
  loop_task_t resume; /* goes on reading */
  /* When its newest request began, or the wait for one.  A caller is held to
     these or to the server's, whichever allow more.  */
  http_limits_t limits;
  int64_t since_us;   /* last progress */
  int64_t stalled_us; /* since when its caller is seen not to read, or 0 */
  int64_t paused_us;  /* since when a close goes unnoticed, or 0 */
  uint32_t peer_ip;
  int error_status; /* of a malformed request, or 0 */
  http_end_report_t report;
  bool paused;
  bool last_read;    /* no request is read after this one */
  bool closing;      /* close when all is written */
  bool lingering;    /* write side is shut, reading until the caller closes */
  bool late_garbled; /* what came after that is no request */
  bool dead;
} http_connection_t;

struct http_server_t
{
  loop_t *loop;
  http_limits_t limits;  /* the widest that callers may go by */
  http_limits_t newest;  /* takes their place when the notice ends */
  int64_t notice_end_us; /* 0 is "over" */
  http_handler_t handler;
  ev_io acceptor;
  ev_timer sweep;
  http_connection_t *connections;
  loop_task_t bury;
  http_connection_t *dead;
  bool draining;
  uint16_t port;
  http_server_state_t state;
  http_end_watch_t end_watch; /* may be NULL */
  void *end_ctx;
  char block[READ_BYTES];
};

static const char *const end_names[HTTP_END_COUNT] = {
  [HTTP_END_CALLER] = "caller", [HTTP_END_ANSWERED] = "answered",
  [HTTP_END_IDLE] = "idle",     [HTTP_END_DRAINED] = "drained",
  [HTTP_END_UNREAD] = "unread", [HTTP_END_BROKEN] = "broken",
  [HTTP_END_FREED] = "freed",
};

const char *
http_end_name (http_end_t end)
{
  return end_names[end];
}

/* --- exchanges --------------------------------------------------------- */

static http_exchange_t *
exchange_new (http_connection_t *connection)
{
  http_exchange_t *exchange = calloc (1, sizeof *exchange);
  if (exchange == NULL)
    abort ();
  exchange->connection = connection;
  exchange->begun_us = connection->server->loop->now_us;
  exchange->peer_ip = connection->peer_ip;
  return exchange;
}

static void
exchange_free (http_exchange_t *exchange)
{
  http_server_t *server = exchange->connection->server;
  server->state.body_bytes -= bytes_size (&exchange->body);
  bytes_free (&exchange->target);
  bytes_free (&exchange->body);
  bytes_free (&exchange->out);
  fields_free (&exchange->fields);
  free (exchange);
}

/* How long its caller may have been gone when that is noticed.  */
static int64_t
unseen_us (const http_connection_t *connection)
{
  const loop_t *loop = connection->server->loop;
  int64_t since_us
      = connection->paused_us > 0 ? connection->paused_us : loop->previous_us;
  return loop->now_us - since_us;
}

static void
tell_gone (http_exchange_t *exchange)
{
  http_server_t *server = exchange->connection->server;
  http_server_state_t *state = &server->state;
  state->exchanges--;
  exchange->unseen_us = unseen_us (exchange->connection);
  state->gone[loop_gap_slot (exchange->unseen_us, HTTP_UNSEEN_SLOTS)]++;
  if (exchange->unseen_us > state->unseen_most_us)
    state->unseen_most_us = exchange->unseen_us;
  server->handler.gone (server->handler.ctx, exchange);
}

static void
exchanges_drop (http_connection_t *connection)
{
  while (connection->first != NULL)
    {
      http_exchange_t *exchange = connection->first;
      connection->first = exchange->next;
      bool answered = exchange->answer == HTTP_ANSWER_ENDED;
      connection->report.unanswered += !answered;
      if (exchange->handed && !answered)
        tell_gone (exchange);
      exchange_free (exchange);
    }
  connection->last = &connection->first;
  connection->waiting = 0;
  if (connection->reading != NULL)
    exchange_free (connection->reading);
  connection->reading = NULL;
}

/* --- connections ------------------------------------------------------- */

/* Counts how the connection ended.  */
static void
report_end (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  http_server_state_t *state = &server->state;
  http_end_report_t *report = &connection->report;
  state->ends[report->end]++;
  state->unanswered[report->end] += report->unanswered;
  bool ours = report->end != HTTP_END_CALLER;
  if (ours && (report->unanswered > 0 || report->late_bytes > 0)
      && server->end_watch != NULL)
    server->end_watch (server->end_ctx, report);
}

static void
note_end (http_connection_t *connection, http_end_t end)
{
  http_server_t *server = connection->server;
  connection->report.end = end;
  connection->report.quiet_us = server->loop->now_us - connection->since_us;
  connection->report.idle_limit_us
      = connection->limits.idle_timeout_us > server->limits.idle_timeout_us
            ? connection->limits.idle_timeout_us
            : server->limits.idle_timeout_us;
}

/* An answer whose end is the connection's would look whole.  */
static void
reset_if_unfinished (const http_connection_t *connection)
{
  static const struct linger none = { .l_onoff = 1, .l_linger = 0 };
  const http_exchange_t *exchange = connection->first;
  if (exchange != NULL && exchange->until_close)
    setsockopt (connection->reader.fd, SOL_SOCKET, SO_LINGER, &none,
                sizeof none);
}

/* END counts unless it was decided earlier why the connection ends.  */
static void
connection_close (http_connection_t *connection, http_end_t end)
{
  http_server_t *server = connection->server;
  if (connection->dead)
    return;
  connection->dead = true;
  if (!connection->lingering)
    note_end (connection, end);
  ev_io_stop (server->loop->ev, &connection->reader);
  ev_io_stop (server->loop->ev, &connection->writer);
  loop_drop (server->loop, &connection->flush);
  loop_drop (server->loop, &connection->resume);
  reset_if_unfinished (connection);
  close (connection->reader.fd);
  exchanges_drop (connection);
  report_end (connection);
  if (connection->prev != NULL)
    connection->prev->next = connection->next;
  else
    server->connections = connection->next;
  if (connection->next != NULL)
    connection->next->prev = connection->prev;
  server->state.connections--;
  /* Callers further up the stack may still hold it.  */
  connection->next = server->dead;
  server->dead = connection;
  loop_defer (server->loop, &server->bury);
}

static void
bury_dead (void *ctx)
{
  http_server_t *server = ctx;
  while (server->dead != NULL)
    {
      http_connection_t *connection = server->dead;
      server->dead = connection->next;
      bytes_free (&connection->in);
      bytes_free (&connection->out);
      free (connection);
    }
}

/* Unread bytes at close would reset the connection under the last answer. */
static void
connection_linger (http_connection_t *connection)
{
  if (connection->lingering)
    return;
  note_end (connection, HTTP_END_ANSWERED);
  connection->lingering = true;
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->since_us = connection->server->loop->now_us;
  shutdown (connection->reader.fd, SHUT_WR);
  exchanges_drop (connection);
  ev_io_start (connection->server->loop->ev, &connection->reader);
}

static void
notify_drained (http_connection_t *connection)
{
  http_handler_t *handler = &connection->server->handler;
  http_exchange_t *exchange = connection->first;
  if (exchange != NULL && exchange->answer == HTTP_ANSWER_BEGUN
      && handler->drained != NULL)
    handler->drained (handler->ctx, exchange);
}

static void
connection_flush (void *ctx)
{
  http_connection_t *connection = ctx;
  struct ev_loop *ev = connection->server->loop->ev;

  while (bytes_size (&connection->out) > 0)
    {
      ssize_t sent
          = send (connection->reader.fd, bytes_data (&connection->out),
                  bytes_size (&connection->out), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        {
          ev_io_start (ev, &connection->writer);
          return;
        }
      if (sent < 0)
        {
          connection_close (connection, HTTP_END_CALLER);
          return;
        }
      bytes_consume (&connection->out, (size_t)sent);
      connection->since_us = connection->server->loop->now_us;
      connection->stalled_us = 0;
      if (connection->reading == NULL)
        connection->limits = connection->server->limits;
    }
  ev_io_stop (ev, &connection->writer);
  if (connection->closing && connection->first == NULL)
    connection_linger (connection);
  else
    notify_drained (connection);
}

static void
on_writable (struct ev_loop *ev, ev_io *writer, int events)
{
  (void)ev;
  (void)events;
  connection_flush (writer->data);
}

/* --- answers ----------------------------------------------------------- */

static bytes_t *
answer_out (http_exchange_t *exchange)
{
  http_connection_t *connection = exchange->connection;
  return connection->first == exchange ? &connection->out : &exchange->out;
}

static void
want_flush (http_connection_t *connection)
{
  if (!connection->dead && !ev_is_active (&connection->writer))
    loop_defer (connection->server->loop, &connection->flush);
}

/* Moves finished answers on and frees their exchanges.  */
static void
advance (http_connection_t *connection)
{
  while (connection->first != NULL
         && connection->first->answer == HTTP_ANSWER_ENDED)
    {
      http_exchange_t *exchange = connection->first;
      connection->first = exchange->next;
      if (connection->first == NULL)
        connection->last = &connection->first;
      connection->waiting--;
      if (exchange->close_after)
        connection->closing = true;
      exchange_free (exchange);
      if (connection->first != NULL)
        bytes_move (&connection->out, &connection->first->out);
    }
  want_flush (connection);
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
  bytes_format (out, "HTTP/1.1 %d %s\r\n", status,
                http_status_str ((enum http_status)status));
  bytes_append (out, headers, headers_size);
  exchange->chunked = length < 0 && !exchange->old && !exchange->no_body;
  exchange->until_close = length < 0 && exchange->old && !exchange->no_body;
  if (is_last (exchange))
    {
      exchange->close_after = true;
      exchange->connection->last_read = true;
      bytes_text (out, "Connection: close\r\n");
    }
  if (exchange->chunked)
    bytes_text (out, "Transfer-Encoding: chunked\r\n\r\n");
  else if (length >= 0 && status != HTTP_STATUS_NO_CONTENT
           && status != HTTP_STATUS_NOT_MODIFIED)
    bytes_format (out, "Content-Length: %lld\r\n\r\n", (long long)length);
  else
    bytes_text (out, "\r\n");
}

void
http_begin (http_exchange_t *exchange, int status, const char *headers,
            size_t headers_size, int64_t length)
{
  write_head (exchange, status, headers, headers_size, length);
  exchange->answer = HTTP_ANSWER_BEGUN;
  want_flush (exchange->connection);
}

void
http_piece (http_exchange_t *exchange, const void *data, size_t size)
{
  bytes_t *out = answer_out (exchange);
  if (size == 0 || exchange->no_body)
    return;
  if (exchange->chunked)
    bytes_format (out, "%zx\r\n", size);
  bytes_append (out, data, size);
  if (exchange->chunked)
    bytes_append (out, "\r\n", 2);
  want_flush (exchange->connection);
}

void
http_end (http_exchange_t *exchange)
{
  http_connection_t *connection = exchange->connection;
  if (exchange->chunked)
    bytes_text (answer_out (exchange), "0\r\n\r\n");
  exchange->answer = HTTP_ANSWER_ENDED;
  connection->server->state.exchanges--;
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
http_abort (http_exchange_t *exchange)
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
  exchange->answer = HTTP_ANSWER_ENDED;
  connection->report.unanswered++;
  connection->server->state.exchanges--;
  connection_close (connection, HTTP_END_BROKEN);
}

void
http_respond (http_exchange_t *exchange, int status, const char *headers,
              size_t headers_size, const void *body, size_t size)
{
  write_head (exchange, status, headers, headers_size, (int64_t)size);
  if (!exchange->no_body)
    bytes_append (answer_out (exchange), body, size);
  http_end (exchange);
}

size_t
http_unread (const http_exchange_t *exchange)
{
  const http_connection_t *connection = exchange->connection;
  if (connection->first == exchange)
    return bytes_size (&connection->out);
  return bytes_size (&exchange->out);
}

/* --- reading ----------------------------------------------------------- */

static void
link_exchange (http_connection_t *connection, http_exchange_t *exchange)
{
  *connection->last = exchange;
  connection->last = &exchange->next;
  connection->waiting++;
}

/* Answers a malformed request and reads no further.  */
static void
refuse_malformed (http_connection_t *connection, int status)
{
  http_exchange_t *exchange = connection->reading;
  if (exchange == NULL)
    exchange = exchange_new (connection);
  connection->reading = NULL;
  connection->last_read = true;
  connection->server->state.malformed++;
  connection->server->state.exchanges++;
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
  connection->reading = exchange_new (connection);
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
  fields_name_piece (&connection->reading->fields, at, size);
  return head_too_large (connection) ? fail_parse (connection, 431) : 0;
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  http_connection_t *connection = parser->data;
  fields_value_piece (&connection->reading->fields, at, size);
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
      hosts += field_is (fields, field, "Host");
      lengths += field_is (fields, field, "Content-Length");
      if (memchr (value, '\0', field->value_size) != NULL
          || memchr (value, '\r', field->value_size) != NULL
          || memchr (value, '\n', field->value_size) != NULL)
        return false;
      if (field_is (fields, field, "Transfer-Encoding")
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
      bytes_text (&connection->out, "HTTP/1.1 100 Continue\r\n\r\n");
      want_flush (connection);
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
  if (server->state.body_bytes + size > server->limits.bodies_bytes)
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
  exchange->read_us = server->loop->now_us;
  exchange->handed = true;
  link_exchange (connection, exchange);
  server->state.exchanges++;
  if (exchange->close_after)
    connection->last_read = true;
  server->handler.request (server->handler.ctx, exchange);
  if (connection->dead)
    return -1;
  if (connection->last_read || connection->waiting >= server->limits.pipelined)
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
  connection->server->state.paused++;
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
    refuse_malformed (connection, connection->error_status > 0
                                      ? connection->error_status
                                  : code == HPE_HEADER_OVERFLOW ? 431
                                                                : 400);
}

/* Ends the connection if its caller has left.  */
static bool
close_abandoned (http_connection_t *connection)
{
  if (!loop_peer_has_closed (connection->reader.fd))
    return false;
  connection->server->state.abandoned++;
  connection_close (connection, HTTP_END_CALLER);
  return true;
}

/* Goes on with what was read while too many requests waited.  A task of its
   own, as it may end other requests of the connection: whoever has just
   answered one may be in the middle of theirs.  */
static void
parse_ahead (void *ctx)
{
  http_connection_t *connection = ctx;
  http_server_t *server = connection->server;
  if (!connection->paused || connection->waiting >= server->limits.pipelined
      || close_abandoned (connection))
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

static void
read_block (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  ssize_t size = recv (connection->reader.fd, server->block, READ_BYTES, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0)
    {
      connection_close (connection, HTTP_END_CALLER);
      return;
    }
  if (connection->lingering)
    count_late (connection, (size_t)size);
  if (connection->lingering || connection->last_read)
    return;
  /* The close may be behind the request that was just read.  */
  if (close_abandoned (connection))
    return;
  connection->since_us = server->loop->now_us;
  parse (connection, server->block, (size_t)size);
}

static void
on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  (void)ev;
  (void)events;
  read_block (reader->data);
}

/* --- time-outs --------------------------------------------------------- */

/* A close shows in no other way while nothing is read.  */
static void
check_paused (http_connection_t *connection)
{
  if (!close_abandoned (connection))
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

static bool
is_idle (const http_connection_t *connection)
{
  return !connection->lingering && !connection->paused
         && connection->first == NULL && connection->reading == NULL
         && bytes_size (&connection->out) == 0;
}

/* Ends a connection on which nothing waits.  What has arrived is taken first;
   what comes later is reset by the kernel, so that its caller knows that
   nobody has read it.  That reset would take the rest of an answer with it, so
   the caller must have got all of the last one.  */
static void
end_idle (http_connection_t *connection, http_end_t end)
{
  read_block (connection);
  if (!connection->dead && is_idle (connection)
      && (loop_unsent (connection->reader.fd) == 0 || is_stalled (connection)))
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
  return is_longer (connection->server->loop->now_us - reading->begun_us,
                    own->header_timeout_us, now->header_timeout_us);
}

/* The loop may come late: what has arrived meanwhile is in time.  */
static void
end_overdue (http_connection_t *connection)
{
  read_block (connection);
  if (!connection->dead && is_overdue (connection))
    refuse_malformed (connection, 408);
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
    connection_close (connection, HTTP_END_UNREAD);
}

static bool
is_unused (const http_connection_t *connection)
{
  const http_server_t *server = connection->server;
  if (!is_idle (connection))
    return false;
  if (server->draining)
    return quiet_us (connection) > DRAIN_IDLE_US;
  return is_longer (quiet_us (connection), connection->limits.idle_timeout_us,
                    server->limits.idle_timeout_us);
}

/* Ends a connection that has made no progress for too long.  */
static void
sweep_one (http_connection_t *connection)
{
  if (connection->lingering)
    {
      if (quiet_us (connection) > LINGER_US)
        connection_close (connection, connection->report.end);
    }
  else if (connection->paused)
    check_paused (connection);
  else if (is_overdue (connection))
    end_overdue (connection);
  else if (is_unread (connection))
    end_unread (connection);
  else if (is_unused (connection))
    end_idle (connection,
              connection->server->draining ? HTTP_END_DRAINED : HTTP_END_IDLE);
}

/* Visits all connections.  A visit may end any of them.  */
static void
each_connection (http_server_t *server, void (*visit) (http_connection_t *))
{
  http_connection_t *at = server->connections;
  while (at != NULL)
    {
      http_connection_t *next = at->next;
      visit (at);
      at = next != NULL && next->dead ? server->connections : next;
    }
}

static void
on_sweep (struct ev_loop *ev, ev_timer *timer, int events)
{
  http_server_t *server = timer->data;
  (void)ev;
  (void)events;
  if (server->notice_end_us > 0
      && server->loop->now_us >= server->notice_end_us)
    {
      server->limits = server->newest;
      server->notice_end_us = 0;
    }
  each_connection (server, sweep_one);
}

/* --- the listener ------------------------------------------------------ */

static void
connection_open (http_server_t *server, int fd, uint32_t peer_ip)
{
  http_connection_t *connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    abort ();
  loop_tune (fd, SILENCE_MS);
  connection->server = server;
  connection->last = &connection->first;
  connection->peer_ip = peer_ip;
  connection->limits = server->limits;
  connection->since_us = server->loop->now_us;
  connection->flush
      = (loop_task_t){ .run = connection_flush, .ctx = connection };
  connection->resume = (loop_task_t){ .run = parse_ahead, .ctx = connection };
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  ev_io_init (&connection->reader, on_readable, fd, EV_READ);
  ev_io_init (&connection->writer, on_writable, fd, EV_WRITE);
  connection->reader.data = connection;
  connection->writer.data = connection;
  connection->next = server->connections;
  if (server->connections != NULL)
    server->connections->prev = connection;
  server->connections = connection;
  server->state.connections++;
  ev_io_start (server->loop->ev, &connection->reader);
}

static void
on_acceptable (struct ev_loop *ev, ev_io *acceptor, int events)
{
  http_server_t *server = acceptor->data;
  (void)ev;
  (void)events;

  for (int i = 0; i < ACCEPTS_A_TURN; i++)
    {
      struct sockaddr_in from = { 0 };
      socklen_t size = sizeof from;
      int fd = accept4 (acceptor->fd, (struct sockaddr *)&from, &size,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      connection_open (server, fd, ntohl (from.sin_addr.s_addr));
    }
}

http_server_t *
http_server_new (loop_t *loop, endpoint_addr_t addr,
                 const http_limits_t *limits, const http_handler_t *handler,
                 error_info_t *error)
{
  int fd = loop_listen (addr, error);
  if (fd < 0)
    return NULL;
  http_server_t *server = calloc (1, sizeof *server);
  if (server == NULL)
    abort ();
  struct sockaddr_in at = { 0 };
  socklen_t size = sizeof at;
  if (getsockname (fd, (struct sockaddr *)&at, &size) == 0)
    server->port = ntohs (at.sin_port);
  server->loop = loop;
  server->limits = *limits;
  server->handler = *handler;
  server->bury = (loop_task_t){ .run = bury_dead, .ctx = server };
  ev_io_init (&server->acceptor, on_acceptable, fd, EV_READ);
  server->acceptor.data = server;
  ev_io_start (loop->ev, &server->acceptor);
  ev_timer_init (&server->sweep, on_sweep, 0, 0);
  server->sweep.data = server;
  loop_timer (loop, &server->sweep, SWEEP_US);
  return server;
}

void
http_server_stop_listening (http_server_t *server)
{
  if (!ev_is_active (&server->acceptor))
    return;
  ev_io_stop (server->loop->ev, &server->acceptor);
  close (server->acceptor.fd);
}

void
http_server_free (http_server_t *server)
{
  if (server == NULL)
    return;
  http_server_stop_listening (server);
  ev_timer_stop (server->loop->ev, &server->sweep);
  while (server->connections != NULL)
    connection_close (server->connections, HTTP_END_FREED);
  loop_drop (server->loop, &server->bury);
  bury_dead (server);
  free (server);
}

/* What is allowed under either.  */
static http_limits_t
wider_limits (const http_limits_t *one, const http_limits_t *other)
{
  http_limits_t made = *other;
  if (one->header_bytes > made.header_bytes)
    made.header_bytes = one->header_bytes;
  if (one->body_bytes > made.body_bytes)
    made.body_bytes = one->body_bytes;
  if (one->header_timeout_us > made.header_timeout_us)
    made.header_timeout_us = one->header_timeout_us;
  if (one->body_timeout_us > made.body_timeout_us)
    made.body_timeout_us = one->body_timeout_us;
  if (one->idle_timeout_us > made.idle_timeout_us)
    made.idle_timeout_us = one->idle_timeout_us;
  return made;
}

/* Whether callers have to hear of LIMITS after those BEFORE.  */
static bool
allow_less (const http_limits_t *limits, const http_limits_t *before)
{
  return limits->header_bytes < before->header_bytes
         || limits->body_bytes < before->body_bytes
         || limits->header_timeout_us < before->header_timeout_us
         || limits->body_timeout_us < before->body_timeout_us
         || limits->idle_timeout_us < before->idle_timeout_us;
}

void
http_server_set_limits (http_server_t *server, const http_limits_t *limits,
                        int64_t notice_us)
{
  bool noticing = server->notice_end_us > 0;
  if (allow_less (limits, noticing ? &server->newest : &server->limits))
    server->notice_end_us = server->loop->now_us + notice_us;
  server->limits = wider_limits (&server->limits, limits);
  server->newest = *limits;
}

bool
http_server_is_unsent (const http_server_t *server)
{
  for (const http_connection_t *at = server->connections; at != NULL;
       at = at->next)
    if (bytes_size (&at->out) > 0 || loop_unsent (at->reader.fd) > 0)
      return true;
  return false;
}

bool
http_server_is_busy (const http_server_t *server)
{
  for (const http_connection_t *at = server->connections; at != NULL;
       at = at->next)
    if (at->reading != NULL)
      return true;
  return http_server_is_unsent (server);
}

void
http_server_stop_reading (http_server_t *server)
{
  http_server_stop_listening (server);
  for (http_connection_t *at = server->connections; at != NULL; at = at->next)
    ev_io_stop (server->loop->ev, &at->reader);
}

static void
drain_one (http_connection_t *connection)
{
  if (is_idle (connection))
    end_idle (connection, HTTP_END_DRAINED);
}

void
http_server_drain (http_server_t *server)
{
  server->draining = true;
  each_connection (server, drain_one);
}

void
http_server_watch_ends (http_server_t *server, http_end_watch_t watch,
                        void *ctx)
{
  server->end_watch = watch;
  server->end_ctx = ctx;
}

uint16_t
http_server_port (const http_server_t *server)
{
  return server->port;
}

http_server_state_t
http_server_state (const http_server_t *server)
{
  return server->state;
}
