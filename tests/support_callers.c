#include "support_callers.h"

#include <errno.h>
#include <http_parser.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BLOCK_BYTES = 16 * 1024,
  KEPT = 40,             /* connections, while these suffice */
  OPEN = 120,            /* at most */
  LATENCY_MOST_MS = 40,  /* from the server */
  SLOW_BYTES = 8 * 1024, /* that a slow reader's machine takes */
  SILENCE_MS = 5000
};

static const double USABLE = 0.8; /* of the idle limit */

typedef struct connection_t
{
  callers_t *callers;
  struct connection_t *next;
  struct connection_t *prev;
  ev_io reader;
  ev_io writer;
  ev_timer pause;
  ev_timer arrival; /* of what can be read */
  http_parser parser;
  fields_t fields;
  bytes_t body;
  bytes_t out;
  bytes_t held; /* until the pause is over */
  uint32_t numbers[CALLERS_PIPELINED];
  uint32_t first;
  uint32_t waiting;
  int64_t latency_us;
  int64_t asked_us; /* when it was last written on */
  bool connecting;
  bool closing;
} connection_t;

struct callers_t
{
  loop_t *loop;
  const rng_t *rng;
  endpoint_addr_t addr;
  callers_handler_t handler;
  connection_t *connections;
  uint32_t open;
  int64_t idle_limit_us;
  uint64_t behind;
  char block[BLOCK_BYTES];
};

static void
connection_free (connection_t *connection)
{
  callers_t *callers = connection->callers;
  ev_io_stop (callers->loop->ev, &connection->reader);
  ev_io_stop (callers->loop->ev, &connection->writer);
  ev_timer_stop (callers->loop->ev, &connection->pause);
  ev_timer_stop (callers->loop->ev, &connection->arrival);
  close (connection->reader.fd);
  if (connection->prev != NULL)
    connection->prev->next = connection->next;
  else
    callers->connections = connection->next;
  if (connection->next != NULL)
    connection->next->prev = connection->prev;
  callers->open--;
  fields_free (&connection->fields);
  bytes_free (&connection->body);
  bytes_free (&connection->out);
  bytes_free (&connection->held);
  free (connection);
}

static void
connection_end (connection_t *connection, callers_end_t end)
{
  callers_t *callers = connection->callers;
  if (bytes_size (&connection->out) + bytes_size (&connection->held) > 0)
    end = CALLERS_UNWRITTEN;
  for (; connection->waiting > 0; connection->waiting--)
    {
      callers->behind += end == CALLERS_BEHIND;
      callers->handler.ended (callers->handler.ctx,
                              connection->numbers[connection->first++], end);
    }
  connection_free (connection);
}

/* --- answers ----------------------------------------------------------- */

static int
on_message_begin (http_parser *parser)
{
  connection_t *connection = parser->data;
  fields_clear (&connection->fields);
  bytes_consume (&connection->body, bytes_size (&connection->body));
  return connection->waiting > 0 && !connection->closing ? 0 : -1;
}

static int
on_field (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;
  fields_append_name (&connection->fields, at, size);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;
  fields_append_value (&connection->fields, at, size);
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;
  bytes_append (&connection->body, at, size);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  connection_t *connection = parser->data;
  callers_t *callers = connection->callers;
  callers_answer_t answer = { .status = (int)parser->status_code,
                              .fields = &connection->fields,
                              .body = &connection->body };
  connection->closing = !http_should_keep_alive (parser);
  connection->waiting--;
  callers->handler.answer (callers->handler.ctx,
                           connection->numbers[connection->first++], &answer);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
on_arrival (struct ev_loop *ev, ev_timer *timer, int events)
{
  connection_t *connection = timer->data;
  callers_t *callers = connection->callers;
  (void)events;
  ev_io_start (ev, &connection->reader);
  ssize_t size = recv (connection->reader.fd, callers->block, BLOCK_BYTES, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size > 0)
    {
      http_parser_execute (&connection->parser, &parser_settings,
                           callers->block, (size_t)size);
      if (HTTP_PARSER_ERRNO (&connection->parser) != HPE_OK)
        {
          callers->handler.stray (callers->handler.ctx);
          connection->closing = true;
        }
    }
  if (size <= 0)
    connection_end (connection, CALLERS_CLOSED);
  else if (connection->closing)
    connection_end (connection, CALLERS_BEHIND);
}

static void
on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  connection_t *connection = reader->data;
  (void)events;
  ev_io_stop (ev, reader);
  loop_start_timer (connection->callers->loop, &connection->arrival,
                    connection->latency_us);
}

/* --- requests ---------------------------------------------------------- */

static void
flush (connection_t *connection)
{
  struct ev_loop *ev = connection->callers->loop->ev;
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
          connection_end (connection, CALLERS_UNWRITTEN);
          return;
        }
      bytes_consume (&connection->out, (size_t)sent);
    }
  ev_io_stop (ev, &connection->writer);
}

static void
on_writable (struct ev_loop *ev, ev_io *writer, int events)
{
  connection_t *connection = writer->data;
  (void)ev;
  (void)events;
  connection->connecting = false;
  flush (connection);
}

static void
on_pause_over (struct ev_loop *ev, ev_timer *timer, int events)
{
  connection_t *connection = timer->data;
  (void)ev;
  (void)events;
  bytes_move (&connection->out, &connection->held);
  if (!connection->connecting)
    flush (connection);
}

static connection_t *
connection_open (callers_t *callers)
{
  int fd = loop_connect (callers->addr, SILENCE_MS);
  int taken = SLOW_BYTES;
  if (fd < 0)
    return NULL;
  if (rng_chance (callers->rng, 0.3))
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &taken, sizeof taken);
  connection_t *connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    abort ();
  connection->callers = callers;
  connection->connecting = true;
  http_parser_init (&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
  ev_io_init (&connection->reader, on_readable, fd, EV_READ);
  ev_io_init (&connection->writer, on_writable, fd, EV_WRITE);
  ev_timer_init (&connection->pause, on_pause_over, 0, 0);
  ev_timer_init (&connection->arrival, on_arrival, 0, 0);
  connection->latency_us = (int64_t)rng_below (
      callers->rng, LATENCY_MOST_MS * (uint64_t)US_PER_MS);
  connection->reader.data = connection;
  connection->writer.data = connection;
  connection->pause.data = connection;
  connection->arrival.data = connection;
  connection->next = callers->connections;
  if (callers->connections != NULL)
    callers->connections->prev = connection;
  callers->connections = connection;
  callers->open++;
  ev_io_start (callers->loop->ev, &connection->reader);
  ev_io_start (callers->loop->ev, &connection->writer);
  return connection;
}

static bool
is_resting (const connection_t *connection)
{
  return connection->waiting == 0
         && bytes_size (&connection->out) + bytes_size (&connection->held)
                == 0;
}

/* The connection that has rested longest of those that may be used, or a new
   one; NULL when the server refuses it.  */
static connection_t *
connection_for (callers_t *callers, int64_t now_us)
{
  int64_t most_us = (int64_t)(USABLE * (double)callers->idle_limit_us);
  connection_t *best = NULL;
  for (connection_t *at = callers->connections; at != NULL; at = at->next)
    if (is_resting (at) && now_us - at->asked_us <= most_us
        && (best == NULL || at->asked_us < best->asked_us))
      best = at;
  int64_t least_us = (int64_t)((double)most_us * rng_unit (callers->rng));
  bool rested = best != NULL && now_us - best->asked_us >= least_us;
  if (rested || (best != NULL && callers->open >= KEPT))
    return best;
  return connection_open (callers);
}

bool
callers_have_room (const callers_t *callers)
{
  return callers->open < OPEN;
}

void
callers_send (callers_t *callers, const callers_request_t *request)
{
  int64_t now_us = clock_now_us (callers->loop->clock);
  connection_t *connection = connection_for (callers, now_us);
  if (connection == NULL)
    {
      for (uint32_t i = 0; i < request->count; i++)
        callers->handler.ended (callers->handler.ctx, request->numbers[i],
                                CALLERS_UNWRITTEN);
      return;
    }
  size_t size = bytes_size (request->text);
  size_t split = request->pause_us > 0 ? request->split : size;
  connection->asked_us = now_us;
  connection->first = 0;
  connection->waiting = request->count;
  for (uint32_t i = 0; i < request->count; i++)
    connection->numbers[i] = request->numbers[i];
  bytes_append (&connection->out, bytes_data (request->text), split);
  bytes_append (&connection->held, bytes_data (request->text) + split,
                size - split);
  if (split < size)
    loop_start_timer (callers->loop, &connection->pause, request->pause_us);
  if (!connection->connecting)
    flush (connection);
}

/* --- all of them ------------------------------------------------------- */

callers_t *
callers_new (loop_t *loop, const rng_t *rng, endpoint_addr_t addr,
             const callers_handler_t *handler)
{
  callers_t *callers = calloc (1, sizeof *callers);
  if (callers == NULL)
    abort ();
  callers->loop = loop;
  callers->rng = rng;
  callers->addr = addr;
  callers->handler = *handler;
  return callers;
}

void
callers_free (callers_t *callers)
{
  if (callers == NULL)
    return;
  while (callers->connections != NULL)
    connection_free (callers->connections);
  free (callers);
}

void
callers_set_idle_limit (callers_t *callers, int64_t limit_us)
{
  callers->idle_limit_us = limit_us;
}

uint64_t
callers_behind (const callers_t *callers)
{
  return callers->behind;
}
