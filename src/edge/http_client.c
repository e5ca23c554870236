#include "edge/http_client.h"

#include <errno.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BUFFER_BYTES = 64 * 1024, /* limit of a single recv */
  /* A connection is not reused in the last second before the idle time-out
     that the server announced, as the server may be closing it.  */
  KEEP_ALIVE_MARGIN_US = US_PER_S,
  /* Limit of the bytes received before the accepted response head.  */
  UNRELATED_BYTES_MAX = 1024 * 1024,
  /* Limit of the interim responses to a request.  Servers send a 100, and some
     a 102 or 103 now and then.  */
  INTERIM_RESPONSES_MAX = 100,
  /* Of a response that the handler declined.  A longer one is not worth
     reading to save the connection.  */
  DECLINED_BODY_MAX_BYTES = 16 * 1024
};

/* A connection and the call on it, if any.  */
struct http_call_t
{
  http_client_t *client;
  http_call_t *next; /* in the list of open or of closed connections */
  http_call_t *prev;
  http_call_t *next_idle;
  ev_io reader;
  ev_io writer;
  ev_timer connect_timer;
  http_parser parser;
  http_syntax_t syntax;
  http_defect_t defect; /* of HTTP_FAILURE_MALFORMED */
  fields_t fields;
  bytes_t output;
  http_response_handler_t handler;
  loop_task_t flush_task;
  loop_task_t connect_failed_task; /* reports a connect that failed at once */
  int connect_errno;               /* of that connect */
  int64_t idle_since_us;
  int64_t idle_timeout_us;
  int64_t deadline_us;    /* of the call, or 0 */
  size_t unrelated_bytes; /* received before the accepted response head */
  size_t body_bytes_left; /* that the response body may still have */
  uint32_t interim_count;
  bool connecting;
  bool active;         /* a call is on it */
  bool has_sent_bytes; /* a byte of the request has been sent */
  bool reused;         /* the connection served an earlier call */
  bool no_response_body;
  bool has_received_bytes;   /* a byte has come since the request was sent */
  bool head_accepted;        /* the handler has accepted the response head */
  bool skipping_response;    /* the one that is being parsed */
  bool declined;             /* the handler has declined the response */
  bool ends_with_connection; /* the accepted response has no length */
  bool send_failed;          /* the rest of the request cannot be sent */
  bool keep_alive;           /* the connection can be reused after the call */
  bool response_complete;    /* the accepted response is complete */
  bool response_skipped;     /* the one that was being skipped has ended */
  bool parsing;
  bool closed;
};

struct http_client_t
{
  loop_t *loop;
  endpoint_addr_t addr;
  http_client_options_t options;
  http_call_t *connections;
  http_call_t *first_idle; /* most recently used first */
  http_call_t *closed_connections;
  loop_task_t free_closed_task;
  ev_timer sweep_timer;
  http_client_stats_t stats;
  char read_buffer[READ_BUFFER_BYTES];
};

static const char *const failure_names[HTTP_FAILURE_COUNT] = {
  [HTTP_FAILURE_CONNECT] = "connect",     [HTTP_FAILURE_STALE] = "stale",
  [HTTP_FAILURE_TRUNCATED] = "cut",       [HTTP_FAILURE_MALFORMED] = "garbled",
  [HTTP_FAILURE_REJECTED] = "rejected",   [HTTP_FAILURE_DEADLINE] = "overdue",
  [HTTP_FAILURE_NO_SOCKET] = "no-socket",
};

const char *
http_failure_name (http_failure_t failure)
{
  return failure_names[failure];
}

static void
remove_idle_connection (http_call_t *call)
{
  http_call_t **link = &call->client->first_idle;
  while (*link != NULL && *link != call)
    link = &(*link)->next_idle;
  if (*link == NULL)
    return;
  *link = call->next_idle;
  call->client->stats.idle_connections--;
}

static void
close_connection (http_call_t *call)
{
  http_client_t *client = call->client;
  if (call->closed)
    return;
  call->closed = true;
  if (!call->active)
    remove_idle_connection (call);
  ev_io_stop (client->loop->ev, &call->reader);
  ev_io_stop (client->loop->ev, &call->writer);
  ev_timer_stop (client->loop->ev, &call->connect_timer);
  loop_cancel (client->loop, &call->flush_task);
  loop_cancel (client->loop, &call->connect_failed_task);
  if (call->reader.fd >= 0)
    close (call->reader.fd);
  if (call->prev != NULL)
    call->prev->next = call->next;
  else
    client->connections = call->next;
  if (call->next != NULL)
    call->next->prev = call->prev;
  client->stats.connections--;
  call->next = client->closed_connections;
  client->closed_connections = call;
  loop_defer (client->loop, &client->free_closed_task);
}

static void
free_closed_connections (void *ctx)
{
  http_client_t *client = ctx;
  while (client->closed_connections != NULL)
    {
      http_call_t *call = client->closed_connections;
      client->closed_connections = call->next;
      fields_free (&call->fields);
      bytes_free (&call->output);
      free (call);
    }
}

/* Closes the connection of CALL.  If the handler has declined the response, it
   is told so, whatever happens to the rest of the response.  */
static void
fail_call (http_call_t *call, http_failure_t failure)
{
  bool notify = call->active && !call->response_complete;
  http_response_handler_t handler = call->handler;
  if (call->closed)
    return;
  close_connection (call);
  if (notify)
    handler.failure (handler.ctx,
                     call->declined ? HTTP_FAILURE_REJECTED : failure);
}

static void
fail_malformed (http_call_t *call, http_defect_t defect)
{
  if (call->closed)
    return;
  call->defect = defect;
  if (call->active)
    call->client->stats.malformed[defect]++;
  fail_call (call, HTTP_FAILURE_MALFORMED);
}

static void replace_connection (http_call_t *call);

/* Handles a connection that has ended during a call, or on which data has
   arrived before the request was sent.  */
static void
handle_connection_lost (http_call_t *call)
{
  if (call->reused && !call->has_sent_bytes)
    replace_connection (call);
  else if (!call->has_sent_bytes)
    fail_call (call, HTTP_FAILURE_CONNECT);
  else if (call->reused && !call->has_received_bytes)
    fail_call (call, HTTP_FAILURE_STALE);
  else
    fail_call (call, HTTP_FAILURE_TRUNCATED);
}

/* --- parsing the response --------------------------------------------- */

static int
on_message_begin (http_parser *parser)
{
  http_call_t *call = parser->data;
  fields_clear (&call->fields);
  /* Bytes after a complete response belong to no request.  */
  return call->response_complete ? -1 : 0;
}

static int
on_header_field (http_parser *parser, const char *data, size_t size)
{
  http_call_t *call = parser->data;
  fields_append_name (&call->fields, data, size);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *data, size_t size)
{
  http_call_t *call = parser->data;
  fields_append_value (&call->fields, data, size);
  return 0;
}

/* Returns how long the connection may be reused after this response: the
   time-out of the server's Keep-Alive field less a margin, or the client's
   limit if that is shorter.  */
static int64_t
keep_alive_timeout_us (const http_call_t *call)
{
  const field_t *field = fields_find (&call->fields, "Keep-Alive");
  int64_t limit_us = call->client->options.idle_timeout_us;
  char text[64];
  if (field == NULL
      || !field_copy_value (&call->fields, field, text, sizeof text))
    return limit_us;
  const char *parameter = strstr (text, "timeout=");
  if (parameter == NULL)
    return limit_us;
  int64_t announced_us
      = strtol (parameter + strlen ("timeout="), NULL, 10) * US_PER_S
        - KEEP_ALIVE_MARGIN_US;
  return announced_us < limit_us ? announced_us : limit_us;
}

/* Returns the result of on_headers_complete: -1 if there are too many.  */
static int
count_interim_response (http_call_t *call)
{
  if (++call->interim_count <= INTERIM_RESPONSES_MAX)
    return 1; /* without a body, whatever its fields say */
  fail_malformed (call, HTTP_DEFECT_INTERIM);
  return -1;
}

static int
on_headers_complete (http_parser *parser)
{
  http_call_t *call = parser->data;
  int status = (int)parser->status_code;

  bool is_chunked = (parser->flags & F_CHUNKED) != 0;
  http_defect_t defect = http_syntax_check_framing (&call->fields, is_chunked);
  if (parser->http_minor == 0 && is_chunked)
    defect = HTTP_DEFECT_CODING; /* HTTP/1.0 has none */
  if (defect == HTTP_DEFECT_NONE && status == HTTP_STATUS_SWITCHING_PROTOCOLS)
    defect = HTTP_DEFECT_UPGRADE;
  if (defect != HTTP_DEFECT_NONE)
    {
      fail_malformed (call, defect);
      return -1;
    }
  call->skipping_response = status < 200;
  if (call->skipping_response)
    return count_interim_response (call);
  bool has_length = !is_chunked && parser->content_length != UINT64_MAX;
  bool has_no_body = call->no_response_body || status == HTTP_STATUS_NO_CONTENT
                     || status == HTTP_STATUS_NOT_MODIFIED;
  int64_t length = has_length ? (int64_t)parser->content_length : -1;
  call->idle_timeout_us = keep_alive_timeout_us (call);
  switch (call->handler.head (call->handler.ctx, status, &call->fields,
                              has_no_body ? 0 : length))
    {
    case HTTP_VERDICT_ACCEPT:
      call->head_accepted = true;
      call->ends_with_connection = !has_no_body && !has_length && !is_chunked;
      break;
    case HTTP_VERDICT_SKIP:
      call->skipping_response = true;
      call->keep_alive = false;
      break;
    case HTTP_VERDICT_REJECT:
      if (!call->closed)
        fail_call (call, HTTP_FAILURE_REJECTED);
      return -1;
    case HTTP_VERDICT_DECLINE:
      call->declined = true;
      call->head_accepted = true;
      call->body_bytes_left = DECLINED_BODY_MAX_BYTES;
      break;
    }
  if (call->closed)
    return -1;
  if (!has_no_body && is_chunked)
    http_syntax_begin_chunks (&call->syntax);
  /* 1 tells the parser that no body follows, whatever the fields say.  */
  return has_no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  http_call_t *call = parser->data;
  if (call->skipping_response)
    return 0;
  if (size > call->body_bytes_left)
    {
      fail_malformed (call, HTTP_DEFECT_TOO_LARGE);
      return -1;
    }
  call->body_bytes_left -= size;
  if (call->declined)
    return 0;
  call->handler.body (call->handler.ctx, data, size);
  return call->closed ? -1 : 0;
}

static int
on_message_complete (http_parser *parser)
{
  http_call_t *call = parser->data;
  http_parser_pause (parser, 1);
  if (call->skipping_response)
    {
      call->skipping_response = false;
      call->response_skipped = true;
      return 0;
    }
  call->response_complete = true;
  if (!http_should_keep_alive (parser))
    call->keep_alive = false;
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* The response is complete: returns the connection to the pool or closes it,
   then calls the handler.  */
static void
complete_call (http_call_t *call, bool consumed_all)
{
  http_client_t *client = call->client;
  http_response_handler_t handler = call->handler;
  bool keep_connection = consumed_all && call->keep_alive
                         && bytes_size (&call->output) == 0
                         && call->idle_timeout_us > 0;

  if (keep_connection)
    {
      call->active = false;
      /* The handler may have paused reading at the last bytes.  */
      ev_io_start (client->loop->ev, &call->reader);
      call->idle_since_us = client->loop->now_us;
      call->next_idle = client->first_idle;
      client->first_idle = call;
      client->stats.idle_connections++;
    }
  else
    close_connection (call);
  if (call->declined)
    handler.failure (handler.ctx, HTTP_FAILURE_REJECTED);
  else
    handler.end (handler.ctx);
}

static http_defect_t
parser_defect (enum http_errno parse_errno)
{
  switch (parse_errno)
    {
    case HPE_INVALID_CONTENT_LENGTH:
    case HPE_UNEXPECTED_CONTENT_LENGTH:
      return HTTP_DEFECT_LENGTH;
    case HPE_INVALID_CHUNK_SIZE:
      return HTTP_DEFECT_CHUNK;
    case HPE_INVALID_TRANSFER_ENCODING:
      return HTTP_DEFECT_CODING;
    case HPE_HEADER_OVERFLOW:
      return HTTP_DEFECT_TOO_LARGE;
    default:
      return HTTP_DEFECT_OTHER;
    }
}

/* Parses the next piece of DATA: a head, a part of it, or some of a body.
   Returns the number of bytes parsed, or 0 if the call is over.  */
static size_t
parse_piece (http_call_t *call, const char *data, size_t size)
{
  size_t checked_size = http_syntax_check (&call->syntax, data, size);
  if (checked_size == 0 && size > 0)
    {
      fail_malformed (call, call->syntax.defect != HTTP_DEFECT_NONE
                                ? call->syntax.defect
                                : HTTP_DEFECT_OTHER);
      return 0;
    }
  size_t parsed_size = http_parser_execute (&call->parser, &parser_settings,
                                            data, checked_size);
  enum http_errno parse_errno = HTTP_PARSER_ERRNO (&call->parser);
  if (call->closed || call->response_complete)
    return parsed_size;
  if (parse_errno != HPE_OK && !call->response_skipped)
    fail_malformed (call, parser_defect (parse_errno));
  if (call->response_skipped)
    {
      call->response_skipped = false;
      http_parser_pause (&call->parser, 0);
      http_syntax_begin_response (&call->syntax);
    }
  return parsed_size;
}

/* Parses DATA.  SIZE 0 is the end of the stream.  */
static void
parse (http_call_t *call, const char *data, size_t size)
{
  size_t parsed_size = 0;
  call->parsing = true;
  do
    parsed_size += parse_piece (call, data + parsed_size, size - parsed_size);
  while (parsed_size < size && !call->closed && !call->response_complete);
  call->parsing = false;
  if (!call->closed && call->response_complete)
    complete_call (call, parsed_size == size && size > 0);
}

/* Limits the bytes before the accepted response head, as a server may send
   responses to other requests, or interim ones, without end.  */
static void
count_unrelated_bytes (http_call_t *call, size_t size)
{
  if (call->closed || !call->active || call->head_accepted)
    return;
  call->unrelated_bytes += size;
  if (call->unrelated_bytes > UNRELATED_BYTES_MAX)
    fail_malformed (call, HTTP_DEFECT_TOO_LARGE);
}

/* Whether the end of the stream, which has just been read, is the end of a
   response without a length.  The server must have received the whole request
   and closed the connection in an orderly way.  A reset that arrived after the
   server's end of the stream, or that a failed send has reported, is not an
   error of recv.  */
static bool
is_response_end (const http_call_t *call)
{
  return call->ends_with_connection && !call->send_failed
         && bytes_size (&call->output) == 0
         && loop_unacked_bytes (call->reader.fd) == 0
         && loop_socket_error (call->reader.fd) == 0;
}

static void
on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  http_call_t *call = reader->data;
  http_client_t *client = call->client;
  (void)ev;
  (void)events;

  ssize_t size = recv (reader->fd, client->read_buffer, READ_BUFFER_BYTES, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (!call->active)
    {
      close_connection (call);
      return;
    }
  if (size > 0 && call->has_sent_bytes)
    {
      call->has_received_bytes = true;
      parse (call, client->read_buffer, (size_t)size);
      count_unrelated_bytes (call, (size_t)size);
      return;
    }
  if (size == 0 && is_response_end (call))
    parse (call, "", 0);
  if (!call->closed && call->active && !call->response_complete)
    handle_connection_lost (call);
}

/* --- sending ----------------------------------------------------------- */

/* Whether an idle connection is still open and nothing has arrived on it.  */
static bool
is_open_and_silent (const http_call_t *call)
{
  char byte;
  return recv (call->reader.fd, &byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

static void
flush_call (void *ctx)
{
  http_call_t *call = ctx;
  struct ev_loop *ev = call->client->loop->ev;

  if (call->reused && !call->has_sent_bytes && !is_open_and_silent (call))
    {
      replace_connection (call);
      return;
    }
  if (call->send_failed)
    return;
  while (!call->connecting && bytes_size (&call->output) > 0)
    {
      ssize_t sent = send (call->reader.fd, bytes_data (&call->output),
                           bytes_size (&call->output), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        {
          ev_io_start (ev, &call->writer);
          return;
        }
      if (sent < 0 && !call->has_sent_bytes)
        {
          handle_connection_lost (call);
          return;
        }
      if (sent < 0)
        {
          /* A response that the server sent early may still be readable.  */
          ev_io_stop (ev, &call->writer);
          call->send_failed = true;
          call->keep_alive = false;
          return;
        }
      call->has_sent_bytes = true;
      bytes_consume (&call->output, (size_t)sent);
    }
  if (!call->connecting)
    ev_io_stop (ev, &call->writer);
}

static void
on_writable (struct ev_loop *ev, ev_io *writer, int events)
{
  http_call_t *call = writer->data;
  (void)events;
  if (call->connecting)
    {
      int connect_errno = 0;
      socklen_t size = sizeof connect_errno;
      getsockopt (writer->fd, SOL_SOCKET, SO_ERROR, &connect_errno, &size);
      if (connect_errno != 0)
        {
          fail_call (call, HTTP_FAILURE_CONNECT);
          return;
        }
      call->connecting = false;
      ev_timer_stop (ev, &call->connect_timer);
      ev_io_start (ev, &call->reader);
    }
  flush_call (call);
}

static void
on_connect_timeout (struct ev_loop *ev, ev_timer *timer, int events)
{
  (void)ev;
  (void)events;
  fail_call (timer->data, HTTP_FAILURE_CONNECT);
}

static void
on_connect_failed (void *ctx)
{
  http_call_t *call = ctx;
  if (!loop_is_connect_lack (call->connect_errno))
    {
      fail_call (call, HTTP_FAILURE_CONNECT);
      return;
    }
  call->client->stats.sockets_lacking++;
  fail_call (call, HTTP_FAILURE_NO_SOCKET);
}

/* Connects CALL, which has no open socket.  */
static void
start_connecting (http_call_t *call)
{
  http_client_t *client = call->client;
  int fd = loop_connect (client->addr, client->options.ack_timeout_ms);
  int connect_errno = errno;
  call->connecting = true;
  call->reused = false;
  http_parser_init (&call->parser, HTTP_RESPONSE);
  call->parser.data = call;
  ev_io_set (&call->reader, fd, EV_READ);
  ev_io_set (&call->writer, fd, EV_WRITE);
  client->stats.connections_opened++;
  if (fd < 0)
    {
      call->connect_errno = connect_errno;
      loop_defer (client->loop, &call->connect_failed_task);
      return;
    }
  ev_io_start (client->loop->ev, &call->writer);
  loop_start_timer (client->loop, &call->connect_timer,
                    client->options.connect_timeout_us);
}

/* Sends the request on a new connection, as the idle one has ended or has
   received unexpected data.  No byte of the request was sent, so the server
   cannot have seen it.  */
static void
replace_connection (http_call_t *call)
{
  struct ev_loop *ev = call->client->loop->ev;
  ev_io_stop (ev, &call->reader);
  ev_io_stop (ev, &call->writer);
  loop_cancel (call->client->loop, &call->flush_task);
  close (call->reader.fd);
  call->client->stats.connections_replaced++;
  start_connecting (call);
}

static http_call_t *
open_connection (http_client_t *client)
{
  http_call_t *call = calloc (1, sizeof *call);
  if (call == NULL)
    abort ();
  call->client = client;
  call->flush_task = (loop_task_t){ .run = flush_call, .ctx = call };
  call->connect_failed_task
      = (loop_task_t){ .run = on_connect_failed, .ctx = call };
  ev_init (&call->reader, on_readable);
  ev_init (&call->writer, on_writable);
  ev_timer_init (&call->connect_timer, on_connect_timeout, 0, 0);
  call->reader.data = call;
  call->writer.data = call;
  call->connect_timer.data = call;
  call->next = client->connections;
  if (client->connections != NULL)
    client->connections->prev = call;
  client->connections = call;
  client->stats.connections++;
  start_connecting (call);
  return call;
}

/* Removes the most recently used idle connection from the pool and returns it,
   or NULL if there is none or it has been idle for too long.  */
static http_call_t *
take_idle_connection (http_client_t *client)
{
  http_call_t *call = client->first_idle;
  if (call == NULL
      || client->loop->now_us - call->idle_since_us > call->idle_timeout_us)
    return NULL;
  client->first_idle = call->next_idle;
  client->stats.idle_connections--;
  call->reused = true;
  http_parser_init (&call->parser, HTTP_RESPONSE);
  call->parser.data = call;
  return call;
}

http_call_t *
http_client_call (http_client_t *client, const http_request_t *request,
                  const http_response_handler_t *handler)
{
  http_call_t *call
      = request->new_connection ? NULL : take_idle_connection (client);
  if (call == NULL)
    call = open_connection (client);
  call->handler = *handler;
  call->active = true;
  call->no_response_body = request->no_response_body;
  call->deadline_us = request->deadline_us;
  call->unrelated_bytes = 0;
  call->interim_count = 0;
  call->defect = HTTP_DEFECT_NONE;
  http_syntax_begin_response (&call->syntax);
  call->body_bytes_left = request->max_response_body_bytes > 0
                              ? request->max_response_body_bytes
                              : SIZE_MAX;
  call->has_sent_bytes = false;
  call->has_received_bytes = false;
  call->head_accepted = false;
  call->skipping_response = false;
  call->declined = false;
  call->response_complete = false;
  call->response_skipped = false;
  call->ends_with_connection = false;
  call->send_failed = false;
  call->keep_alive = true;
  bytes_append (&call->output, request->head, request->head_size);
  bytes_append (&call->output, request->body, request->body_size);
  if (!call->connecting)
    loop_defer (client->loop, &call->flush_task);
  return call;
}

http_defect_t
http_call_defect (const http_call_t *call)
{
  return call->defect;
}

bool
http_call_has_sent_bytes (const http_call_t *call)
{
  return call->has_sent_bytes;
}

void
http_call_cancel (http_call_t *call)
{
  close_connection (call);
}

void
http_call_pause (http_call_t *call, bool pause)
{
  if (call->closed || call->connecting)
    return;
  if (pause)
    ev_io_stop (call->client->loop->ev, &call->reader);
  else
    ev_io_start (call->client->loop->ev, &call->reader);
}

void
http_client_close_idle (http_client_t *client)
{
  while (client->first_idle != NULL)
    close_connection (client->first_idle);
}

/* Returns a call whose deadline has passed, or NULL.  */
static http_call_t *
find_overdue_call (const http_client_t *client)
{
  http_call_t *call = client->connections;
  while (call != NULL
         && (!call->active || call->deadline_us == 0
             || call->deadline_us > client->loop->now_us))
    call = call->next;
  return call;
}

static void
on_sweep (struct ev_loop *ev, ev_timer *timer, int events)
{
  http_client_t *client = timer->data;
  (void)ev;
  (void)events;
  http_call_t *next;
  for (http_call_t *call = client->first_idle; call != NULL; call = next)
    {
      next = call->next_idle;
      if (client->loop->now_us - call->idle_since_us > call->idle_timeout_us)
        close_connection (call);
    }
  http_call_t *overdue;
  while ((overdue = find_overdue_call (client)) != NULL)
    fail_call (overdue, HTTP_FAILURE_DEADLINE);
}

http_client_t *
http_client_new (loop_t *loop, endpoint_addr_t addr,
                 const http_client_options_t *options)
{
  http_client_t *client = calloc (1, sizeof *client);
  if (client == NULL)
    abort ();
  client->loop = loop;
  client->addr = addr;
  client->options = *options;
  client->free_closed_task
      = (loop_task_t){ .run = free_closed_connections, .ctx = client };
  ev_timer_init (&client->sweep_timer, on_sweep, 0, 0);
  client->sweep_timer.data = client;
  loop_start_timer (loop, &client->sweep_timer, HTTP_SWEEP_PERIOD_US);
  return client;
}

void
http_client_free (http_client_t *client)
{
  if (client == NULL)
    return;
  ev_timer_stop (client->loop->ev, &client->sweep_timer);
  while (client->connections != NULL)
    close_connection (client->connections);
  loop_cancel (client->loop, &client->free_closed_task);
  free_closed_connections (client);
  free (client);
}

http_client_stats_t
http_client_stats (const http_client_t *client)
{
  return client->stats;
}
