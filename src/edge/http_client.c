#include "edge/http_client.h"

#include <errno.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BYTES = 64 * 1024, /* taken from a socket in one call */
  KEEP_ALIVE_MARGIN_US
  = US_PER_S,               /* before the end that the server announced */
  NOISE_BYTES = 1024 * 1024 /* that belong to no answer to the call */
};

/* A connection and the call on it, if any.  */
struct http_call_t
{
  http_client_t *client;
  http_call_t *next; /* idle ones, all, or dead ones */
  http_call_t *prev;
  http_call_t *next_idle;
  ev_io reader;
  ev_io writer;
  ev_timer connect_timer;
  http_parser parser;
  fields_t fields;
  bytes_t out;
  http_response_handler_t handler;
  loop_task_t flush;
  loop_task_t broken; /* reports a connect that failed at once */
  int64_t idle_since_us;
  int64_t idle_max_us;
  int64_t deadline_us; /* of the call, or 0 */
  size_t noise;        /* bytes before the head that was taken */
  size_t body_left;    /* of the answer, at most */
  bool connecting;
  bool active; /* a call is on it */
  bool sent;   /* a byte of the request has gone out */
  bool reused;
  bool no_body;
  bool answered; /* a byte of the answer has come */
  bool taken;    /* the handler has taken the head */
  bool skipping;
  bool keep;
  bool ended; /* the answer is whole */
  bool parsing;
  bool dead;
};

struct http_client_t
{
  loop_t *loop;
  endpoint_addr_t addr;
  http_client_options_t options;
  http_call_t *all;
  http_call_t *idle; /* newest first */
  http_call_t *dead;
  loop_task_t bury;
  ev_timer sweep;
  http_client_state_t state;
  char block[READ_BYTES];
};

static const char *const fault_names[HTTP_FAILURE_COUNT] = {
  [HTTP_FAILURE_CONNECT] = "connect",   [HTTP_FAILURE_STALE] = "stale",
  [HTTP_FAILURE_TRUNCATED] = "cut",     [HTTP_FAILURE_MALFORMED] = "garbled",
  [HTTP_FAILURE_REJECTED] = "rejected", [HTTP_FAILURE_DEADLINE] = "overdue",
};

const char *
http_failure_name (http_failure_t fault)
{
  return fault_names[fault];
}

static void
idle_remove (http_call_t *call)
{
  http_call_t **at = &call->client->idle;
  while (*at != NULL && *at != call)
    at = &(*at)->next_idle;
  if (*at == NULL)
    return;
  *at = call->next_idle;
  call->client->state.idle_connections--;
}

static void
call_close (http_call_t *call)
{
  http_client_t *client = call->client;
  if (call->dead)
    return;
  call->dead = true;
  if (!call->active)
    idle_remove (call);
  ev_io_stop (client->loop->ev, &call->reader);
  ev_io_stop (client->loop->ev, &call->writer);
  ev_timer_stop (client->loop->ev, &call->connect_timer);
  loop_cancel (client->loop, &call->flush);
  loop_cancel (client->loop, &call->broken);
  if (call->reader.fd >= 0)
    close (call->reader.fd);
  if (call->prev != NULL)
    call->prev->next = call->next;
  else
    client->all = call->next;
  if (call->next != NULL)
    call->next->prev = call->prev;
  client->state.connections--;
  call->next = client->dead;
  client->dead = call;
  loop_defer (client->loop, &client->bury);
}

static void
bury_dead (void *ctx)
{
  http_client_t *client = ctx;
  while (client->dead != NULL)
    {
      http_call_t *call = client->dead;
      client->dead = call->next;
      fields_free (&call->fields);
      bytes_free (&call->out);
      free (call);
    }
}

static void
call_fault (http_call_t *call, http_failure_t fault)
{
  bool tell = call->active && !call->ended;
  http_response_handler_t handler = call->handler;
  if (call->dead)
    return;
  call_close (call);
  if (tell)
    handler.failure (handler.ctx, fault);
}

static void connection_replace (http_call_t *call);

/* The connection has ended under a call.  */
static void
call_lost (http_call_t *call)
{
  if (call->reused && !call->sent)
    connection_replace (call);
  else if (!call->sent)
    call_fault (call, HTTP_FAILURE_CONNECT);
  else if (call->reused && !call->answered)
    call_fault (call, HTTP_FAILURE_STALE);
  else
    call_fault (call, HTTP_FAILURE_TRUNCATED);
}

/* --- parsing the answer ------------------------------------------------ */

static int
on_message_begin (http_parser *parser)
{
  http_call_t *call = parser->data;
  fields_clear (&call->fields);
  /* Bytes behind a whole answer belong to no request.  */
  return call->ended ? -1 : 0;
}

static int
on_field (http_parser *parser, const char *at, size_t size)
{
  http_call_t *call = parser->data;
  fields_append_name (&call->fields, at, size);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  http_call_t *call = parser->data;
  fields_append_value (&call->fields, at, size);
  return 0;
}

/* How long the server keeps the connection idle, by its Keep-Alive.  */
static int64_t
keep_alive_us (const http_call_t *call)
{
  const field_t *field = fields_find (&call->fields, "Keep-Alive");
  int64_t longest_us = call->client->options.idle_timeout_us;
  char text[64];
  if (field == NULL
      || !field_copy_value (&call->fields, field, text, sizeof text))
    return longest_us;
  const char *at = strstr (text, "timeout=");
  if (at == NULL)
    return longest_us;
  int64_t told_us = strtol (at + strlen ("timeout="), NULL, 10) * US_PER_S
                    - KEEP_ALIVE_MARGIN_US;
  return told_us < longest_us ? told_us : longest_us;
}

static int
on_headers_complete (http_parser *parser)
{
  http_call_t *call = parser->data;
  int status = (int)parser->status_code;

  call->skipping = status < 200;
  if (status == HTTP_STATUS_SWITCHING_PROTOCOLS)
    return -1;
  if (call->skipping)
    return 0;
  bool sized
      = !(parser->flags & F_CHUNKED) && parser->content_length != UINT64_MAX;
  bool empty = call->no_body || status == HTTP_STATUS_NO_CONTENT
               || status == HTTP_STATUS_NOT_MODIFIED;
  int64_t length = sized ? (int64_t)parser->content_length : -1;
  call->idle_max_us = keep_alive_us (call);
  switch (call->handler.head (call->handler.ctx, status, &call->fields,
                              empty ? 0 : length))
    {
    case HTTP_VERDICT_ACCEPT:
      call->taken = true;
      break;
    case HTTP_VERDICT_SKIP:
      call->skipping = true;
      call->keep = false;
      break;
    case HTTP_VERDICT_REJECT:
      if (!call->dead)
        call_fault (call, HTTP_FAILURE_REJECTED);
      return -1;
    }
  if (call->dead)
    return -1;
  return call->no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  http_call_t *call = parser->data;
  if (call->skipping)
    return 0;
  if (size > call->body_left)
    {
      call_fault (call, HTTP_FAILURE_MALFORMED);
      return -1;
    }
  call->body_left -= size;
  call->handler.body (call->handler.ctx, at, size);
  return call->dead ? -1 : 0;
}

static int
on_message_complete (http_parser *parser)
{
  http_call_t *call = parser->data;
  if (call->skipping)
    {
      call->skipping = false;
      return 0;
    }
  call->ended = true;
  if (!http_should_keep_alive (parser))
    call->keep = false;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* The answer is whole: the connection goes back to the pool or is closed,
   then the handler hears of it.  */
static void
call_ended (http_call_t *call, bool clean)
{
  http_client_t *client = call->client;
  http_response_handler_t handler = call->handler;
  bool keep = clean && call->keep && bytes_size (&call->out) == 0
              && call->idle_max_us > 0;

  if (keep)
    {
      call->active = false;
      /* Its handler may have paused it with the last bytes.  */
      ev_io_start (client->loop->ev, &call->reader);
      call->idle_since_us = client->loop->now_us;
      call->next_idle = client->idle;
      client->idle = call;
      client->state.idle_connections++;
    }
  else
    call_close (call);
  handler.end (handler.ctx);
}

static void
parse (http_call_t *call, const char *data, size_t size)
{
  call->parsing = true;
  size_t used
      = http_parser_execute (&call->parser, &parser_settings, data, size);
  call->parsing = false;
  if (call->dead)
    return;
  if (call->ended)
    call_ended (call, used == size && size > 0);
  else if (HTTP_PARSER_ERRNO (&call->parser) != HPE_OK)
    call_fault (call, HTTP_FAILURE_MALFORMED);
}

/* A server may send answers to other requests, or interim ones, without end.
 */
static void
count_noise (http_call_t *call, size_t size)
{
  if (call->dead || !call->active || call->taken)
    return;
  call->noise += size;
  if (call->noise > NOISE_BYTES)
    call_fault (call, HTTP_FAILURE_MALFORMED);
}

static void
on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  http_call_t *call = reader->data;
  http_client_t *client = call->client;
  (void)ev;
  (void)events;

  ssize_t size = recv (reader->fd, client->block, READ_BYTES, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (!call->active)
    {
      call_close (call);
      return;
    }
  if (size > 0 && call->sent)
    {
      call->answered = true;
      parse (call, client->block, (size_t)size);
      count_noise (call, (size_t)size);
      return;
    }
  if (size == 0 && call->taken)
    parse (call, NULL, 0); /* an answer without length ends here */
  if (!call->dead && call->active && !call->ended)
    call_lost (call);
}

/* --- sending ----------------------------------------------------------- */

/* Whether a kept connection is still open, and nothing has come on it.  */
static bool
is_quiet (const http_call_t *call)
{
  char byte;
  return recv (call->reader.fd, &byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

static void
call_flush (void *ctx)
{
  http_call_t *call = ctx;
  struct ev_loop *ev = call->client->loop->ev;

  if (call->reused && !call->sent && !is_quiet (call))
    {
      connection_replace (call);
      return;
    }
  while (!call->connecting && bytes_size (&call->out) > 0)
    {
      ssize_t sent = send (call->reader.fd, bytes_data (&call->out),
                           bytes_size (&call->out), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        {
          ev_io_start (ev, &call->writer);
          return;
        }
      if (sent < 0 && !call->sent)
        {
          call_lost (call);
          return;
        }
      if (sent < 0)
        {
          /* An early answer may still be there to read.  */
          ev_io_stop (ev, &call->writer);
          bytes_consume (&call->out, bytes_size (&call->out));
          call->keep = false;
          return;
        }
      call->sent = true;
      bytes_consume (&call->out, (size_t)sent);
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
      int cause = 0;
      socklen_t size = sizeof cause;
      getsockopt (writer->fd, SOL_SOCKET, SO_ERROR, &cause, &size);
      if (cause != 0)
        {
          call_fault (call, HTTP_FAILURE_CONNECT);
          return;
        }
      call->connecting = false;
      ev_timer_stop (ev, &call->connect_timer);
      ev_io_start (ev, &call->reader);
    }
  call_flush (call);
}

static void
on_connect_timeout (struct ev_loop *ev, ev_timer *timer, int events)
{
  (void)ev;
  (void)events;
  call_fault (timer->data, HTTP_FAILURE_CONNECT);
}

static void
on_broken (void *ctx)
{
  call_fault (ctx, HTTP_FAILURE_CONNECT);
}

/* CALL has no socket yet.  */
static void
connection_begin (http_call_t *call)
{
  http_client_t *client = call->client;
  int fd = loop_connect (client->addr, client->options.ack_timeout_ms);
  call->connecting = true;
  call->reused = false;
  http_parser_init (&call->parser, HTTP_RESPONSE);
  call->parser.data = call;
  ev_io_set (&call->reader, fd, EV_READ);
  ev_io_set (&call->writer, fd, EV_WRITE);
  client->state.connections_opened++;
  if (fd < 0)
    {
      loop_defer (client->loop, &call->broken);
      return;
    }
  ev_io_start (client->loop->ev, &call->writer);
  loop_start_timer (client->loop, &call->connect_timer,
                    client->options.connect_timeout_us);
}

/* A kept connection has ended before the first byte of a request went out:
   the request, which the server cannot have seen, goes out on a new one.  */
static void
connection_replace (http_call_t *call)
{
  struct ev_loop *ev = call->client->loop->ev;
  ev_io_stop (ev, &call->reader);
  ev_io_stop (ev, &call->writer);
  loop_cancel (call->client->loop, &call->flush);
  close (call->reader.fd);
  call->client->state.connections_replaced++;
  connection_begin (call);
}

static http_call_t *
connection_open (http_client_t *client)
{
  http_call_t *call = calloc (1, sizeof *call);
  if (call == NULL)
    abort ();
  call->client = client;
  call->flush = (loop_task_t){ .run = call_flush, .ctx = call };
  call->broken = (loop_task_t){ .run = on_broken, .ctx = call };
  ev_init (&call->reader, on_readable);
  ev_init (&call->writer, on_writable);
  ev_timer_init (&call->connect_timer, on_connect_timeout, 0, 0);
  call->reader.data = call;
  call->writer.data = call;
  call->connect_timer.data = call;
  call->next = client->all;
  if (client->all != NULL)
    client->all->prev = call;
  client->all = call;
  client->state.connections++;
  connection_begin (call);
  return call;
}

/* The idle connection that was used last, if it is young enough.  */
static http_call_t *
idle_take (http_client_t *client)
{
  http_call_t *call = client->idle;
  if (call == NULL
      || client->loop->now_us - call->idle_since_us > call->idle_max_us)
    return NULL;
  client->idle = call->next_idle;
  client->state.idle_connections--;
  call->reused = true;
  http_parser_init (&call->parser, HTTP_RESPONSE);
  call->parser.data = call;
  return call;
}

http_call_t *
http_client_call (http_client_t *client, const http_request_t *request,
                  const http_response_handler_t *handler)
{
  http_call_t *call = request->new_connection ? NULL : idle_take (client);
  if (call == NULL)
    call = connection_open (client);
  call->handler = *handler;
  call->active = true;
  call->no_body = request->no_response_body;
  call->deadline_us = request->deadline_us;
  call->noise = 0;
  call->body_left = request->max_response_body_bytes > 0
                        ? request->max_response_body_bytes
                        : SIZE_MAX;
  call->sent = false;
  call->answered = false;
  call->taken = false;
  call->skipping = false;
  call->ended = false;
  call->keep = true;
  bytes_append (&call->out, request->head, request->head_size);
  bytes_append (&call->out, request->body, request->body_size);
  if (!call->connecting)
    loop_defer (client->loop, &call->flush);
  return call;
}

bool
http_call_has_sent_bytes (const http_call_t *call)
{
  return call->sent;
}

void
http_call_cancel (http_call_t *call)
{
  call_close (call);
}

void
http_call_pause (http_call_t *call, bool pause)
{
  if (call->dead || call->connecting)
    return;
  if (pause)
    ev_io_stop (call->client->loop->ev, &call->reader);
  else
    ev_io_start (call->client->loop->ev, &call->reader);
}

void
http_client_close_idle (http_client_t *client)
{
  while (client->idle != NULL)
    call_close (client->idle);
}

/* A call whose deadline has passed, or NULL.  */
static http_call_t *
find_overdue (const http_client_t *client)
{
  http_call_t *call = client->all;
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
  for (http_call_t *call = client->idle; call != NULL; call = next)
    {
      next = call->next_idle;
      if (client->loop->now_us - call->idle_since_us > call->idle_max_us)
        call_close (call);
    }
  http_call_t *overdue;
  while ((overdue = find_overdue (client)) != NULL)
    call_fault (overdue, HTTP_FAILURE_DEADLINE);
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
  client->bury = (loop_task_t){ .run = bury_dead, .ctx = client };
  ev_timer_init (&client->sweep, on_sweep, 0, 0);
  client->sweep.data = client;
  loop_start_timer (loop, &client->sweep, HTTP_SWEEP_PERIOD_US);
  return client;
}

void
http_client_free (http_client_t *client)
{
  if (client == NULL)
    return;
  ev_timer_stop (client->loop->ev, &client->sweep);
  while (client->all != NULL)
    call_close (client->all);
  loop_cancel (client->loop, &client->bury);
  bury_dead (client);
  free (client);
}

http_client_state_t
http_client_state (const http_client_t *client)
{
  return client->state;
}
