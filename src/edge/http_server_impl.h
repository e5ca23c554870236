#ifndef REDWINGFORD_HTTP_SERVER_IMPL_H
#define REDWINGFORD_HTTP_SERVER_IMPL_H

/* Private to the HTTP server: http_server.c has the listener and the public
   functions of the server, http_connection.c opens, flushes and closes
   connections, http_reader.c reads requests, http_answer.c writes responses,
   and http_sweep.c enforces the time-outs.  */

#include <http_parser.h>

#include "edge/http_server.h"
#include "edge/http_syntax.h"

enum
{
  READ_BUFFER_BYTES = 64 * 1024,    /* limit of a single recv */
  SWEEP_PERIOD_US = 200 * US_PER_MS /* precision of the time-outs */
};

typedef struct http_connection_t
{
  http_server_t *server;
  /* In the server's list of open or of closed connections.  */
  struct http_connection_t *next;
  struct http_connection_t *prev;
  ev_io reader;
  ev_io writer;
  http_parser parser;
  http_syntax_t syntax;   /* of the incoming request */
  bytes_t unparsed_input; /* read but not parsed, as too many requests wait */
  size_t rest_bytes; /* read with the request that is handled, behind it */
  bytes_t output;
  http_exchange_t *incoming; /* its head or body is not complete yet */
  /* Complete requests that wait for responses, in order.  */
  http_exchange_t *first_exchange;
  http_exchange_t **exchange_tail;
  uint32_t waiting_count;   /* exchanges in that list */
  ledger_account_t account; /* its requests in the server's ledger */
  uint32_t unsent_count;    /* complete responses in output */
  loop_task_t flush_task;
  loop_task_t resume_task; /* continues to read after a pause */
  /* The server's limits when the newest request began or, between requests,
     when output was last sent.  A caller must keep to these or to the server's
     present ones, whichever allow more.  */
  http_limits_t limits;
  /* When the last request began, data was last read or sent, or, while
     responses are unread, the caller was last found to have acknowledged
     more.  */
  int64_t last_progress_us;
  uint64_t sent_bytes;  /* taken by the socket */
  uint64_t acked_bytes; /* of these, when last looked at */
  /* When the caller was first found to have stopped reading, or 0.  */
  int64_t stalled_since_us;
  /* When a connection on which reading is paused was last found open: a close
     after that has gone unnoticed.  0 while reading is not paused.  */
  int64_t close_checked_us;
  uint32_t caller_ip;
  int parse_error_status; /* HTTP status to refuse the request with, or 0 */
  http_close_report_t close_report;
  bool request_begun; /* the first byte of any request has been read */
  bool beyond_limit;  /* accepted only to be refused, unless others close */
  bool reading_paused;
  bool last_request_read; /* no further request is read */
  bool close_after_flush; /* close when all output is sent */
  bool close_decided;     /* and its reason recorded */
  /* Its exchanges no longer write to it, even if the handler responds.  */
  bool exchanges_ended;
  bool lingering; /* write side shut down, reads until the caller closes */
  bool late_malformed; /* the discarded bytes are not valid requests */
  bool closed;
} http_connection_t;

struct http_server_t
{
  loop_t *loop;
  http_limits_t limits;      /* the most that callers may use now */
  http_limits_t next_limits; /* replaces limits when the notice period ends */
  int64_t notice_end_us;     /* 0 if no notice period runs */
  http_handler_t handler;
  acceptor_t acceptor;
  ev_timer sweep_timer;
  /* Sorted by last_progress_us, the latest first.  */
  http_connection_t *connections;
  http_connection_t *last_connection;
  http_connection_limits_t connection_limits;
  /* Iteration of the loop in which no connection was idle.  */
  uint64_t eviction_failed_iteration;
  bool stopping_to_listen;
  loop_task_t free_closed_task;
  http_connection_t *closed_connections;
  bool draining;
  uint16_t port;
  ledger_t ledger;
  /* Its members that the ledger counts are set by http_server_stats.  */
  http_server_stats_t stats;
  http_close_callback_t close_callback; /* may be NULL */
  void *close_callback_ctx;
  char read_buffer[READ_BUFFER_BYTES];
};

/* --- http_connection.c -------------------------------------------------- */

/* Takes over FD, an accepted socket, and starts to read from it.  */
http_connection_t *connection_open (http_server_t *server, int fd,
                                    uint32_t caller_ip);

/* Sets last_progress_us to the present, and moves the connection to the front
   of the server's list, which is sorted by it.  */
void connection_note_progress (http_connection_t *connection);

/* Closes the connection for REASON, or for the reason that was recorded when
   its close was decided.  The connection stays allocated until
   connection_free_closed.  */
void connection_close (http_connection_t *connection,
                       http_close_reason_t reason);

/* Closes the connection as its caller's side has ended.  ERROR is the errno
   that told so, or 0.  */
void connection_close_ended (http_connection_t *connection,
                             http_caller_end_t end, int error);

/* Decides to close the connection for REASON once all output is sent.  Its
   open requests end without a response, and no further one is read.  */
void connection_close_after_output (http_connection_t *connection,
                                    http_close_reason_t reason);

/* Shuts down the write side after the last response, and discards what the
   caller still sends until it closes.  */
void connection_linger (http_connection_t *connection);

/* Send what is buffered: now, or once before the loop next waits.  */
void connection_flush (void *connection);
void connection_schedule_flush (http_connection_t *connection);

/* Sends what is buffered as far as the socket takes it, before a close.  */
void connection_send_output (http_connection_t *connection);

/* Loop task: frees the closed connections of SERVER, an http_server_t.  */
void connection_free_closed (void *server);

/* Counts the responses that were sent, once no output is left.  */
void connection_count_sent (http_connection_t *connection);

http_exchange_t *connection_new_exchange (http_connection_t *connection);
void connection_free_exchange (http_exchange_t *exchange);

/* --- http_reader.c ------------------------------------------------------ */

/* Reads up to READ_BUFFER_BYTES of what has arrived and parses it.  The
   connection may be closed on return.  */
void connection_read (http_connection_t *connection);
void connection_on_readable (struct ev_loop *ev, ev_io *reader, int events);

/* Loop task: resumes reading from CONNECTION, an http_connection_t, once few
   enough requests wait, and parses what was read before the pause.  */
void connection_resume_reading (void *connection);

/* Responds to the incoming request with the error STATUS and reads no further
   request.  */
void connection_refuse_request (http_connection_t *connection, int status);

/* Whether the server has its limit of connections, less COUNT, or more.  */
bool server_is_at_limit (const http_server_t *server, uint32_t count);

/* Closes the connection and returns true if its caller has closed it.  */
bool connection_close_if_caller_closed (http_connection_t *connection);

/* --- http_server.c ------------------------------------------------------ */

/* Checks that the ledger and the connections count the same requests.  */
void http_server_check_ledger (const http_server_t *server);

/* --- http_sweep.c ------------------------------------------------------- */

/* Whether no request is open and no response is still to be sent.  */
bool connection_is_idle (const http_connection_t *connection);

/* Whether the connection is new and its first request has not arrived.  */
bool connection_awaits_first_request (const http_connection_t *connection);

/* Closes an idle connection for REASON, unless a request has arrived on its
   socket or its caller is still acknowledging the last response.  */
void connection_close_idle (http_connection_t *connection,
                            http_close_reason_t reason);

/* Closes some of the connections that have been idle longest.  */
void server_evict_idle (http_server_t *server);

/* Closes a connection, or refuses its request, that has made no progress for
   too long.  */
void connection_check_timeouts (http_connection_t *connection);

#endif
