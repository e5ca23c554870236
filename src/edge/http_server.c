#include "edge/http_server_impl.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  ACCEPTS_A_TURN = 64 /* so that other work gets its turn */
};

static const char *const end_names[HTTP_CLOSE_REASON_COUNT] = {
  [HTTP_CLOSE_CALLER] = "caller", [HTTP_CLOSE_ANSWERED] = "answered",
  [HTTP_CLOSE_IDLE] = "idle",     [HTTP_CLOSE_DRAINED] = "drained",
  [HTTP_CLOSE_UNREAD] = "unread", [HTTP_CLOSE_ABORTED] = "broken",
  [HTTP_CLOSE_FREED] = "freed",
};

const char *
http_close_reason_name (http_close_reason_t end)
{
  return end_names[end];
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
  each_connection (server, connection_sweep);
}

/* --- the listener ------------------------------------------------------ */

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
  server->bury = (loop_task_t){ .run = connection_bury_dead, .ctx = server };
  ev_io_init (&server->acceptor, on_acceptable, fd, EV_READ);
  server->acceptor.data = server;
  ev_io_start (loop->ev, &server->acceptor);
  ev_timer_init (&server->sweep, on_sweep, 0, 0);
  server->sweep.data = server;
  loop_start_timer (loop, &server->sweep, SWEEP_US);
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
    connection_close (server->connections, HTTP_CLOSE_FREED);
  loop_cancel (server->loop, &server->bury);
  connection_bury_dead (server);
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
http_server_has_unacked_output (const http_server_t *server)
{
  for (const http_connection_t *at = server->connections; at != NULL;
       at = at->next)
    if (bytes_size (&at->out) > 0 || loop_unacked_bytes (at->reader.fd) > 0)
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
  return http_server_has_unacked_output (server);
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
  if (connection_is_idle (connection))
    connection_end_idle (connection, HTTP_CLOSE_DRAINED);
}

void
http_server_drain (http_server_t *server)
{
  server->draining = true;
  each_connection (server, drain_one);
}

void
http_server_set_close_callback (http_server_t *server,
                                http_close_callback_t watch, void *ctx)
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
