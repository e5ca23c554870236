#include "edge/http_server_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "invariant.h"

enum
{
  SILENCE_MS = 5000 /* for a caller's machine to acknowledge */
};

/* --- exchanges --------------------------------------------------------- */

http_exchange_t *
connection_new_exchange (http_connection_t *connection)
{
  http_exchange_t *exchange = calloc (1, sizeof *exchange);
  if (exchange == NULL)
    abort ();
  exchange->connection = connection;
  exchange->first_byte_us = connection->server->loop->now_us;
  exchange->peer_ip = connection->peer_ip;
  return exchange;
}

void
connection_free_exchange (http_exchange_t *exchange)
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
  int64_t since_us = connection->paused_us > 0 ? connection->paused_us
                                               : loop->previous_now_us;
  return loop->now_us - since_us;
}

static void
tell_gone (http_exchange_t *exchange)
{
  http_server_t *server = exchange->connection->server;
  http_server_state_t *state = &server->state;
  state->open_exchanges--;
  exchange->unseen_us = unseen_us (exchange->connection);
  state->caller_gone_counts[loop_gap_bucket (exchange->unseen_us,
                                             HTTP_UNSEEN_BUCKETS)]++;
  if (exchange->unseen_us > state->unseen_max_us)
    state->unseen_max_us = exchange->unseen_us;
  server->handler.caller_gone (server->handler.ctx, exchange);
}

static void
exchanges_drop (http_connection_t *connection)
{
  while (connection->first != NULL)
    {
      http_exchange_t *exchange = connection->first;
      connection->first = exchange->next;
      bool answered = exchange->response_state == HTTP_RESPONSE_COMPLETE;
      connection->report.unanswered_requests += !answered;
      if (exchange->handed && !answered)
        tell_gone (exchange);
      connection_free_exchange (exchange);
    }
  connection->last = &connection->first;
  connection->waiting = 0;
  if (connection->reading != NULL)
    connection_free_exchange (connection->reading);
  connection->reading = NULL;
}

/* --- connections ------------------------------------------------------- */

/* Counts how the connection ended.  */
static void
report_end (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  http_server_state_t *state = &server->state;
  http_close_report_t *report = &connection->report;
  state->close_counts[report->reason]++;
  state->unanswered_counts[report->reason] += report->unanswered_requests;
  INVARIANT (report->unanswered_requests == 0
                 || (report->reason != HTTP_CLOSE_IDLE
                     && report->reason != HTTP_CLOSE_DRAINED
                     && report->reason != HTTP_CLOSE_ANSWERED),
             "a connection that ended as %s left %u requests unanswered",
             http_close_reason_name (report->reason),
             report->unanswered_requests);
  bool ours = report->reason != HTTP_CLOSE_CALLER;
  if (ours && (report->unanswered_requests > 0 || report->late_bytes > 0)
      && server->end_watch != NULL)
    server->end_watch (server->end_ctx, report);
}

static void
note_end (http_connection_t *connection, http_close_reason_t end)
{
  http_server_t *server = connection->server;
  connection->report.reason = end;
  connection->report.no_progress_us
      = server->loop->now_us - connection->since_us;
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
void
connection_close (http_connection_t *connection, http_close_reason_t end)
{
  http_server_t *server = connection->server;
  if (connection->dead)
    return;
  connection->dead = true;
  if (!connection->lingering)
    note_end (connection, end);
  ev_io_stop (server->loop->ev, &connection->reader);
  ev_io_stop (server->loop->ev, &connection->writer);
  loop_cancel (server->loop, &connection->flush);
  loop_cancel (server->loop, &connection->resume);
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

void
connection_bury_dead (void *ctx)
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
void
connection_linger (http_connection_t *connection)
{
  if (connection->lingering)
    return;
  note_end (connection, HTTP_CLOSE_ANSWERED);
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
  if (exchange != NULL && exchange->response_state == HTTP_RESPONSE_STARTED
      && handler->output_drained != NULL)
    handler->output_drained (handler->ctx, exchange);
}

void
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
          connection_close (connection, HTTP_CLOSE_CALLER);
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

/* ----------------------------------------------------------------------- */

void
connection_want_flush (http_connection_t *connection)
{
  if (!connection->dead && !ev_is_active (&connection->writer))
    loop_defer (connection->server->loop, &connection->flush);
}

void
connection_open (http_server_t *server, int fd, uint32_t peer_ip)
{
  http_connection_t *connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    abort ();
  loop_set_socket_options (fd, SILENCE_MS);
  connection->server = server;
  connection->last = &connection->first;
  connection->peer_ip = peer_ip;
  connection->limits = server->limits;
  connection->since_us = server->loop->now_us;
  connection->flush
      = (loop_task_t){ .run = connection_flush, .ctx = connection };
  connection->resume
      = (loop_task_t){ .run = connection_read_ahead, .ctx = connection };
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  ev_io_init (&connection->reader, connection_on_readable, fd, EV_READ);
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
