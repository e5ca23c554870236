#include "edge/http_server_impl.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "invariant.h"

_Static_assert((int)HTTP_CLOSE_REASON_COUNT <= (int)LEDGER_REASONS_MAX,
               "the ledger counts by the reason of the close");

enum
{
  ACCEPTS_PER_ITERATION = 64 /* limited so that other work is not delayed */
};

static const char *const close_reason_names[HTTP_CLOSE_REASON_COUNT] = {
  [HTTP_CLOSE_CALLER] = "caller",   [HTTP_CLOSE_COMPLETED] = "answered",
  [HTTP_CLOSE_IDLE] = "idle",       [HTTP_CLOSE_DRAINED] = "drained",
  [HTTP_CLOSE_EVICTED] = "evicted", [HTTP_CLOSE_UNREAD] = "unread",
  [HTTP_CLOSE_ABORTED] = "broken",  [HTTP_CLOSE_FREED] = "freed",
};

static const char *const caller_end_names[HTTP_CALLER_END_COUNT] = {
  [HTTP_CALLER_OPEN] = "none",
  [HTTP_CALLER_CLOSED] = "closed",
  [HTTP_CALLER_RESET] = "reset",
  [HTTP_CALLER_SEND_FAILED] = "send-failed",
  [HTTP_CALLER_FOUND_CLOSED] = "found-closed",
};

const char *
http_caller_end_name (http_caller_end_t end)
{
  return caller_end_names[end];
}

const char *
http_close_reason_name (http_close_reason_t reason)
{
  return close_reason_names[reason];
}

/* Calls VISIT for all connections.  It may close any of them; if it closes the
   next one, the iteration starts over.  */
static void
for_each_connection (http_server_t *server,
                     void (*visit) (http_connection_t *))
{
  http_connection_t *connection = server->connections;
  while (connection != NULL)
    {
      http_connection_t *next = connection->next;
      visit (connection);
      connection = next != NULL && next->closed ? server->connections : next;
    }
}

static void
check_account (const http_connection_t *connection)
{
  const uint32_t *counts = connection->account.counts;
  uint32_t open = 0;
  uint32_t unsent = connection->unsent_count;
  for (const http_exchange_t *exchange = connection->first_exchange;
       exchange != NULL; exchange = exchange->next)
    if (exchange->response_state == HTTP_RESPONSE_COMPLETE)
      unsent++;
    else
      open++;
  INVARIANT (counts[LEDGER_READING] == (connection->incoming != NULL)
                 && counts[LEDGER_OPEN] == open
                 && counts[LEDGER_UNSENT] == unsent,
             "a connection has %u open requests and %u unsent responses, the "
             "ledger %u and %u",
             open, unsent, counts[LEDGER_OPEN], counts[LEDGER_UNSENT]);
}

void
http_server_check_ledger (const http_server_t *server)
{
  ledger_account_t total = { 0 };
  for (const http_connection_t *connection = server->connections;
       connection != NULL; connection = connection->next)
    {
      check_account (connection);
      for (int stage = 0; stage < LEDGER_STAGE_COUNT; stage++)
        total.counts[stage] += connection->account.counts[stage];
    }
  ledger_check (&server->ledger, &total);
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
      server->limits = server->next_limits;
      server->notice_end_us = 0;
    }
  for_each_connection (server, connection_check_timeouts);
  http_server_check_ledger (server);
}

/* --- the listener ------------------------------------------------------ */

/* Returns false when no connection waits, there is no room for it, or
   accepting it failed.  */
static bool
accept_connection (http_server_t *server)
{
  const http_connection_limits_t *limits = &server->connection_limits;
  uint32_t caller_ip;
  if (server_is_at_limit (server, 0))
    server_evict_idle (server);
  bool beyond_limit = server_is_at_limit (server, 0);
  if (beyond_limit
      && server->stats.connections >= limits->served + limits->refused)
    {
      acceptor_pause (&server->acceptor);
      return false;
    }
  int fd = acceptor_take (&server->acceptor, &caller_ip);
  if (fd < 0)
    {
      if (acceptor_is_paused (&server->acceptor)
          && loop_is_lack (server->acceptor.stats.last_errno))
        server_evict_idle (server);
      return false;
    }
  connection_open (server, fd, caller_ip)->beyond_limit = beyond_limit;
  return true;
}

static void
on_acceptable (void *ctx)
{
  for (int i = 0; i < ACCEPTS_PER_ITERATION; i++)
    if (!accept_connection (ctx))
      return;
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
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;
  if (getsockname (fd, (struct sockaddr *)&address, &size) == 0)
    server->port = ntohs (address.sin_port);
  server->loop = loop;
  server->limits = *limits;
  server->handler = *handler;
  server->free_closed_task
      = (loop_task_t){ .run = connection_free_closed, .ctx = server };
  acceptor_open (&server->acceptor, loop, fd, on_acceptable, server);
  ev_timer_init (&server->sweep_timer, on_sweep, 0, 0);
  server->sweep_timer.data = server;
  loop_start_timer (loop, &server->sweep_timer, SWEEP_PERIOD_US);
  return server;
}

void
http_server_stop_listening (http_server_t *server)
{
  if (!server->acceptor.open)
    return;
  server->stopping_to_listen = true;
  acceptor_resume (&server->acceptor);
  while (accept_connection (server))
    ;
  if (!acceptor_is_paused (&server->acceptor))
    acceptor_close (&server->acceptor);
}

void
http_server_free (http_server_t *server)
{
  if (server == NULL)
    return;
  http_server_stop_listening (server);
  acceptor_close (&server->acceptor);
  ev_timer_stop (server->loop->ev, &server->sweep_timer);
  while (server->connections != NULL)
    connection_close (server->connections, HTTP_CLOSE_FREED);
  http_server_check_ledger (server);
  loop_cancel (server->loop, &server->free_closed_task);
  connection_free_closed (server);
  free (server);
}

/* Returns the larger of each limit of the head, the body and the time-outs,
   and the other limits of SECOND.  */
static http_limits_t
merge_wider_limits (const http_limits_t *first, const http_limits_t *second)
{
  http_limits_t wider = *second;
  if (first->header_bytes > wider.header_bytes)
    wider.header_bytes = first->header_bytes;
  if (first->body_bytes > wider.body_bytes)
    wider.body_bytes = first->body_bytes;
  if (first->header_timeout_us > wider.header_timeout_us)
    wider.header_timeout_us = first->header_timeout_us;
  if (first->body_timeout_us > wider.body_timeout_us)
    wider.body_timeout_us = first->body_timeout_us;
  if (first->idle_timeout_us > wider.idle_timeout_us)
    wider.idle_timeout_us = first->idle_timeout_us;
  return wider;
}

/* Whether a limit that callers need notice of is lower than in BEFORE.  */
static bool
is_stricter (const http_limits_t *limits, const http_limits_t *before)
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
  bool notice_running = server->notice_end_us > 0;
  if (is_stricter (limits,
                   notice_running ? &server->next_limits : &server->limits))
    server->notice_end_us = server->loop->now_us + notice_us;
  server->limits = merge_wider_limits (&server->limits, limits);
  server->next_limits = *limits;
  http_server_check_ledger (server);
}

void
http_server_set_connection_limits (http_server_t *server,
                                   const http_connection_limits_t *limits)
{
  server->connection_limits = *limits;
}

bool
server_is_at_limit (const http_server_t *server, uint32_t count)
{
  uint32_t served = server->connection_limits.served;
  return served > 0 && server->stats.connections + count >= served;
}

bool
http_server_has_unacked_output (const http_server_t *server)
{
  for (const http_connection_t *connection = server->connections;
       connection != NULL; connection = connection->next)
    if (bytes_size (&connection->output) > 0
        || loop_unacked_bytes (connection->reader.fd) > 0)
      return true;
  return false;
}

bool
http_server_is_busy (const http_server_t *server)
{
  for (const http_connection_t *connection = server->connections;
       connection != NULL; connection = connection->next)
    if (connection->incoming != NULL
        || (server->draining && connection_awaits_first_request (connection)))
      return true;
  return (server->stopping_to_listen && server->acceptor.open)
         || http_server_has_unacked_output (server);
}

http_unhandled_input_t
http_server_unhandled_input (const http_server_t *server)
{
  http_unhandled_input_t counts = { 0 };
  for (const http_connection_t *connection = server->connections;
       connection != NULL; connection = connection->next)
    {
      counts.unread += loop_unread_bytes (connection->reader.fd) > 0;
      counts.partly_read += connection->incoming != NULL
                            || bytes_size (&connection->unparsed_input) > 0;
    }
  return counts;
}

void
http_server_stop_reading (http_server_t *server)
{
  http_server_stop_listening (server);
  acceptor_close (&server->acceptor);
  for (http_connection_t *connection = server->connections; connection != NULL;
       connection = connection->next)
    {
      ev_io_stop (server->loop->ev, &connection->reader);
      connection_send_output (connection);
    }
  http_server_check_ledger (server);
}

static void
drain_connection (http_connection_t *connection)
{
  if (connection_awaits_first_request (connection))
    connection_read (connection);
  else if (connection_is_idle (connection))
    connection_close_idle (connection, HTTP_CLOSE_DRAINED);
}

void
http_server_drain (http_server_t *server)
{
  server->draining = true;
  for_each_connection (server, drain_connection);
  http_server_check_ledger (server);
}

void
http_server_set_close_callback (http_server_t *server,
                                http_close_callback_t callback, void *ctx)
{
  server->close_callback = callback;
  server->close_callback_ctx = ctx;
}

uint16_t
http_server_port (const http_server_t *server)
{
  return server->port;
}

http_server_stats_t
http_server_stats (const http_server_t *server)
{
  const ledger_t *ledger = &server->ledger;
  http_server_stats_t stats = server->stats;
  stats.accepting = acceptor_stats (&server->acceptor);
  stats.partly_read = ledger->counts[LEDGER_READING];
  stats.open_exchanges = ledger->counts[LEDGER_OPEN];
  stats.unsent = ledger->counts[LEDGER_UNSENT];
  stats.oldest_us = ledger_oldest_us (ledger, server->loop->now_us);
  for (int i = 0; i < HTTP_CLOSE_REASON_COUNT; i++)
    {
      stats.partly_read_counts[i] = ledger->abandoned[LEDGER_READING][i];
      stats.unanswered_counts[i] = ledger->abandoned[LEDGER_OPEN][i];
      stats.unsent_counts[i] = ledger->abandoned[LEDGER_UNSENT][i];
    }
  return stats;
}
