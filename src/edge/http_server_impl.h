#ifndef REDWINGFORD_HTTP_SERVER_IMPL_H
#define REDWINGFORD_HTTP_SERVER_IMPL_H

/* Shared by http_server.c, the listener and what is asked of it;
   http_connection.c, how connections begin, send and end; http_reader.c, which
   reads requests; http_answer.c, which writes answers; and http_sweep.c, the
   time-outs.  */

#include <http_parser.h>

#include "edge/http_server.h"

enum
{
  READ_BYTES = 64 * 1024,    /* taken from a socket in one call */
  SWEEP_US = 200 * US_PER_MS /* precision of the connections' time-outs */
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
  http_close_report_t report;
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
  http_close_callback_t end_watch; /* may be NULL */
  void *end_ctx;
  char block[READ_BYTES];
};

/* --- http_connection.c -------------------------------------------------- */

void connection_open (http_server_t *server, int fd, uint32_t peer_ip);

/* END counts unless it was decided earlier why the connection ends.  */
void connection_close (http_connection_t *connection, http_close_reason_t end);

/* Ends the connection behind its last answer.  */
void connection_linger (http_connection_t *connection);

/* Sends what is written, now or at the end of the turn.  */
void connection_flush (void *connection);
void connection_want_flush (http_connection_t *connection);

/* Frees the closed connections of a server.  */
void connection_bury_dead (void *server);

http_exchange_t *connection_new_exchange (http_connection_t *connection);
void connection_free_exchange (http_exchange_t *exchange);

/* --- http_reader.c ------------------------------------------------------ */

/* Reads and parses what has arrived, up to a bound.  */
void connection_read (http_connection_t *connection);
void connection_on_readable (struct ev_loop *ev, ev_io *reader, int events);

/* Goes on with what was read while too many requests waited.  */
void connection_read_ahead (void *connection);

/* Answers a malformed request and reads no further.  */
void connection_refuse (http_connection_t *connection, int status);

/* Ends the connection if its caller has left.  */
bool connection_close_abandoned (http_connection_t *connection);

/* --- http_sweep.c ------------------------------------------------------- */

bool connection_is_idle (const http_connection_t *connection);

/* Ends a connection on which nothing waits, after a look at its socket.  */
void connection_end_idle (http_connection_t *connection,
                          http_close_reason_t end);

/* Ends a connection that has made no progress for too long.  */
void connection_sweep (http_connection_t *connection);

#endif
