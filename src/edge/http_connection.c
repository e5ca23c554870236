#include "edge/http_server_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "invariant.h"

enum
{
  ACK_TIMEOUT_MS = 5000 /* for the caller's VM to acknowledge data */
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
  exchange->caller_ip = connection->caller_ip;
  ledger_enter (&connection->server->ledger, &connection->account,
                &exchange->ledger, exchange->first_byte_us);
  return exchange;
}

void
connection_free_exchange (http_exchange_t *exchange)
{
  http_server_t *server = exchange->connection->server;
  server->stats.body_bytes -= bytes_size (&exchange->body);
  bytes_free (&exchange->target);
  bytes_free (&exchange->body);
  bytes_free (&exchange->output);
  fields_free (&exchange->fields);
  free (exchange);
}

/* Returns how long the caller may have been gone before this was noticed.  */
static int64_t
caller_unseen_us (const http_connection_t *connection)
{
  const loop_t *loop = connection->server->loop;
  int64_t since_us = connection->close_checked_us > 0
                         ? connection->close_checked_us
                         : loop->previous_now_us;
  return loop->now_us - since_us;
}

static void
notify_caller_gone (http_exchange_t *exchange)
{
  http_server_t *server = exchange->connection->server;
  http_server_stats_t *stats = &server->stats;
  exchange->unseen_us = caller_unseen_us (exchange->connection);
  exchange->caller_end = exchange->connection->close_report.caller_end;
  stats->caller_gone_counts[loop_gap_bucket (exchange->unseen_us,
                                             HTTP_UNSEEN_BUCKETS)]++;
  if (exchange->unseen_us > stats->max_unseen_us)
    stats->max_unseen_us = exchange->unseen_us;
  server->handler.caller_gone (server->handler.ctx, exchange);
}

/* Counts the requests without a complete response by the recorded reason of
   the close.  All of them leave the ledger.  */
static void
leave_exchanges (http_connection_t *connection)
{
  http_close_report_t *report = &connection->close_report;
  ledger_t *ledger = &connection->server->ledger;
  ledger_account_t *account = &connection->account;
  for (http_exchange_t *exchange = connection->first_exchange;
       exchange != NULL; exchange = exchange->next)
    {
      report->unanswered_requests
          += exchange->response_state != HTTP_RESPONSE_COMPLETE;
      ledger_leave (ledger, account, &exchange->ledger, report->reason);
    }
  if (connection->incoming != NULL)
    ledger_leave (ledger, account, &connection->incoming->ledger,
                  report->reason);
}

/* The handler may respond to any of the exchanges, or close the connection,
   when it is told that another one's caller is gone.  */
static void
free_exchanges (http_connection_t *connection)
{
  http_exchange_t *exchange = connection->first_exchange;
  leave_exchanges (connection);
  connection->exchanges_ended = true;
  connection->first_exchange = NULL;
  connection->exchange_tail = &connection->first_exchange;
  connection->waiting_count = 0;
  if (connection->incoming != NULL)
    connection_free_exchange (connection->incoming);
  connection->incoming = NULL;
  while (exchange != NULL)
    {
      if (exchange->dispatched
          && exchange->response_state != HTTP_RESPONSE_COMPLETE)
        notify_caller_gone (exchange);
      http_exchange_t *next = exchange->next;
      connection_free_exchange (exchange);
      exchange = next;
    }
}

/* --- connections ------------------------------------------------------- */

static void
count_close (http_server_stats_t *stats, const http_close_report_t *report)
{
  stats->close_counts[report->reason]++;
  stats->responses_behind_counts[report->reason] += report->responses_behind;
  stats->unread_counts[report->reason] += report->unread_bytes > 0;
  if (report->reason != HTTP_CLOSE_CALLER)
    return;
  stats->caller_end_counts[report->caller_end]++;
  stats->caller_end_unanswered_counts[report->caller_end]
      += report->unanswered_requests;
}

/* Whether the close may have cost the caller a response.  A caller that ends
   the connection itself expects none to a request that was left incomplete or
   unread.  */
static bool
is_reported (const http_close_report_t *report)
{
  if (report->unanswered_requests > 0 || report->unsent_bytes > 0)
    return true;
  /* The first request may be on its way.  */
  if (report->requests == 0
      && (report->reason == HTTP_CLOSE_DRAINED
          || report->reason == HTTP_CLOSE_FREED))
    return true;
  return report->reason != HTTP_CLOSE_CALLER
         && (report->late_bytes > 0 || report->unread_bytes > 0
             || report->unparsed_bytes > 0 || report->partly_read);
}

/* Counts the close, and reports one that may have cost a response.  */
static void
report_close (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  http_close_report_t *report = &connection->close_report;
  count_close (&server->stats, report);
  INVARIANT (report->unanswered_requests == 0
                 || (report->reason != HTTP_CLOSE_IDLE
                     && report->reason != HTTP_CLOSE_DRAINED
                     && report->reason != HTTP_CLOSE_EVICTED
                     && report->reason != HTTP_CLOSE_COMPLETED),
             "a connection closed as %s left %u requests without a response",
             http_close_reason_name (report->reason),
             report->unanswered_requests);
  if (server->close_callback != NULL && is_reported (report))
    server->close_callback (server->close_callback_ctx, report);
}

static void
record_close_reason (http_connection_t *connection, http_close_reason_t reason)
{
  http_server_t *server = connection->server;
  if (connection->close_decided)
    return;
  connection->close_decided = true;
  connection->close_report.reason = reason;
  connection->close_report.no_progress_us
      = server->loop->now_us - connection->last_progress_us;
  connection->close_report.idle_limit_us
      = connection->limits.idle_timeout_us > server->limits.idle_timeout_us
            ? connection->limits.idle_timeout_us
            : server->limits.idle_timeout_us;
}

/* Records which requests have no complete response.  */
static void
record_unanswered (http_connection_t *connection)
{
  http_close_report_t *report = &connection->close_report;
  const http_exchange_t *first = connection->first_exchange;
  if (first == NULL)
    return;
  report->responses_behind = http_responses_behind (first);
  report->oldest_unanswered_us
      = connection->server->loop->now_us - first->first_byte_us;
}

/* Records which input was not handled, and which output not sent.  */
static void
record_unfinished (http_connection_t *connection)
{
  http_close_report_t *report = &connection->close_report;
  int fd = connection->reader.fd;
  report->unread_bytes = (uint32_t)loop_unread_bytes (fd);
  report->unparsed_bytes = (uint32_t)(bytes_size (&connection->unparsed_input)
                                      + connection->rest_bytes);
  report->partly_read |= connection->incoming != NULL;
  report->unsent_bytes = (uint32_t)bytes_size (&connection->output);
  report->unacked_bytes = (uint32_t)loop_unacked_bytes (fd);
}

/* A response whose end is the end of the connection would look complete after
   a normal close, so the connection is reset if it is incomplete.  */
static void
reset_if_incomplete (const http_connection_t *connection)
{
  static const struct linger reset_on_close = { .l_onoff = 1, .l_linger = 0 };
  const http_exchange_t *exchange = connection->first_exchange;
  if (exchange != NULL && exchange->ends_at_close)
    setsockopt (connection->reader.fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                sizeof reset_on_close);
}

static void
link_at_front (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  connection->prev = NULL;
  connection->next = server->connections;
  if (server->connections != NULL)
    server->connections->prev = connection;
  else
    server->last_connection = connection;
  server->connections = connection;
}

static void
unlink_connection (http_connection_t *connection)
{
  http_server_t *server = connection->server;
  if (connection->prev != NULL)
    connection->prev->next = connection->next;
  else
    server->connections = connection->next;
  if (connection->next != NULL)
    connection->next->prev = connection->prev;
  else
    server->last_connection = connection->prev;
}

void
connection_note_progress (http_connection_t *connection)
{
  connection->last_progress_us = connection->server->loop->now_us;
  /* A closed one is in another list.  */
  if (connection->closed || connection->prev == NULL)
    return;
  unlink_connection (connection);
  link_at_front (connection);
}

static void
leave_unsent (http_connection_t *connection)
{
  const ledger_account_t *account = &connection->account;
  ledger_leave_unsent (&connection->server->ledger, &connection->account,
                       connection->unsent_count,
                       connection->close_report.reason);
  connection->unsent_count = 0;
  INVARIANT (account->counts[LEDGER_READING] == 0
                 && account->counts[LEDGER_OPEN] == 0
                 && account->counts[LEDGER_UNSENT] == 0,
             "a connection closed as %s has requests left in the ledger",
             http_close_reason_name (connection->close_report.reason));
}

void
connection_count_sent (http_connection_t *connection)
{
  if (bytes_size (&connection->output) > 0)
    return;
  ledger_answered (&connection->server->ledger, &connection->account,
                   connection->unsent_count);
  connection->unsent_count = 0;
}

void
connection_close (http_connection_t *connection, http_close_reason_t reason)
{
  http_server_t *server = connection->server;
  if (connection->closed)
    return;
  connection->closed = true;
  record_close_reason (connection, reason);
  record_unanswered (connection);
  record_unfinished (connection);
  ev_io_stop (server->loop->ev, &connection->reader);
  ev_io_stop (server->loop->ev, &connection->writer);
  loop_cancel (server->loop, &connection->flush_task);
  loop_cancel (server->loop, &connection->resume_task);
  reset_if_incomplete (connection);
  close (connection->reader.fd);
  free_exchanges (connection);
  leave_unsent (connection);
  report_close (connection);
  unlink_connection (connection);
  server->stats.connections--;
  acceptor_resume (&server->acceptor);
  /* Functions further up the stack may still use the connection.  */
  connection->next = server->closed_connections;
  server->closed_connections = connection;
  loop_defer (server->loop, &server->free_closed_task);
}

void
connection_close_ended (http_connection_t *connection, http_caller_end_t end,
                        int error)
{
  if (connection->closed)
    return;
  connection->close_report.caller_end = end;
  connection->close_report.caller_errno = error;
  connection_close (connection, HTTP_CLOSE_CALLER);
}

void
connection_free_closed (void *ctx)
{
  http_server_t *server = ctx;
  while (server->closed_connections != NULL)
    {
      http_connection_t *connection = server->closed_connections;
      server->closed_connections = connection->next;
      bytes_free (&connection->unparsed_input);
      bytes_free (&connection->output);
      free (connection);
    }
}

void
connection_close_after_output (http_connection_t *connection,
                               http_close_reason_t reason)
{
  record_close_reason (connection, reason);
  record_unanswered (connection);
  connection->close_report.partly_read = connection->incoming != NULL;
  connection->last_request_read = true;
  connection->close_after_flush = true;
  connection->reading_paused = false;
  ev_io_start (connection->server->loop->ev, &connection->reader);
  free_exchanges (connection);
  if (connection->closed)
    return;
  connection_send_output (connection);
  connection_schedule_flush (connection);
}

/* The connection is read until the caller closes it or a time-out passes:
   closing a socket with unread bytes would reset the connection, and the
   caller could lose the last response.  */
void
connection_linger (http_connection_t *connection)
{
  if (connection->lingering)
    return;
  record_close_reason (connection, HTTP_CLOSE_COMPLETED);
  connection->lingering = true;
  connection_note_progress (connection);
  shutdown (connection->reader.fd, SHUT_WR);
  free_exchanges (connection);
  ev_io_start (connection->server->loop->ev, &connection->reader);
}

static void
notify_output_drained (http_connection_t *connection)
{
  http_handler_t *handler = &connection->server->handler;
  http_exchange_t *exchange = connection->first_exchange;
  if (exchange != NULL && exchange->response_state == HTTP_RESPONSE_STARTED
      && handler->output_drained != NULL)
    handler->output_drained (handler->ctx, exchange);
}

void
connection_flush (void *ctx)
{
  http_connection_t *connection = ctx;
  struct ev_loop *ev = connection->server->loop->ev;

  while (bytes_size (&connection->output) > 0)
    {
      ssize_t sent
          = send (connection->reader.fd, bytes_data (&connection->output),
                  bytes_size (&connection->output), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        {
          ev_io_start (ev, &connection->writer);
          return;
        }
      if (sent < 0)
        {
          connection_close_ended (connection, HTTP_CALLER_SEND_FAILED, errno);
          return;
        }
      bytes_consume (&connection->output, (size_t)sent);
      connection->sent_bytes += (uint64_t)sent;
      connection_note_progress (connection);
      connection->stalled_since_us = 0;
      if (connection->incoming == NULL)
        connection->limits = connection->server->limits;
    }
  ev_io_stop (ev, &connection->writer);
  connection_count_sent (connection);
  if (connection->close_after_flush && connection->first_exchange == NULL)
    connection_linger (connection);
  else
    notify_output_drained (connection);
}

void
connection_send_output (http_connection_t *connection)
{
  ssize_t sent = 1;
  while (sent > 0 && bytes_size (&connection->output) > 0)
    {
      sent = send (connection->reader.fd, bytes_data (&connection->output),
                   bytes_size (&connection->output), MSG_NOSIGNAL);
      if (sent > 0)
        {
          bytes_consume (&connection->output, (size_t)sent);
          connection->sent_bytes += (uint64_t)sent;
        }
    }
  connection_count_sent (connection);
}

static void
on_writable (struct ev_loop *ev, ev_io *writer, int events)
{
  (void)ev;
  (void)events;
  connection_flush (writer->data);
}

void
connection_schedule_flush (http_connection_t *connection)
{
  if (!connection->closed && !ev_is_active (&connection->writer))
    loop_defer (connection->server->loop, &connection->flush_task);
}

http_connection_t *
connection_open (http_server_t *server, int fd, uint32_t caller_ip)
{
  http_connection_t *connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    abort ();
  loop_set_socket_options (fd, ACK_TIMEOUT_MS);
  connection->server = server;
  connection->exchange_tail = &connection->first_exchange;
  connection->caller_ip = caller_ip;
  connection->limits = server->limits;
  connection->last_progress_us = server->loop->now_us;
  connection->flush_task
      = (loop_task_t){ .run = connection_flush, .ctx = connection };
  connection->resume_task
      = (loop_task_t){ .run = connection_resume_reading, .ctx = connection };
  http_parser_init (&connection->parser, HTTP_REQUEST);
  http_syntax_begin_request (&connection->syntax);
  connection->parser.data = connection;
  ev_io_init (&connection->reader, connection_on_readable, fd, EV_READ);
  ev_io_init (&connection->writer, on_writable, fd, EV_WRITE);
  connection->reader.data = connection;
  connection->writer.data = connection;
  link_at_front (connection);
  server->stats.connections++;
  ev_io_start (server->loop->ev, &connection->reader);
  return connection;
}
