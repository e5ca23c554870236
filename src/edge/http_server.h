#ifndef REDWINGFORD_HTTP_SERVER_H
#define REDWINGFORD_HTTP_SERVER_H

/* HTTP/1.1 server on the event loop.  Passes complete requests to a handler.
   Responses, complete or in pieces, are sent in the order of the requests of a
   connection.  The server itself refuses malformed requests (400), requests
   that take too long to arrive (408), bodies that are too large (413) or that
   exceed the memory limit of all bodies (503), and heads that are too large
   (431).  */

#include "edge/acceptor.h"
#include "edge/fields.h"
#include "edge/ledger.h"
#include "edge/loop.h"

typedef struct http_server_t http_server_t;
typedef struct http_exchange_t http_exchange_t;

typedef struct http_limits_t
{
  uint32_t header_bytes;
  uint64_t body_bytes;
  int64_t header_timeout_us; /* for the complete head of a request */
  /* Longest time without progress in a request body or a response.  */
  int64_t body_timeout_us;
  int64_t idle_timeout_us; /* longest time between requests */
  /* When this many requests of one connection wait for responses, reading from
     it pauses.  */
  uint32_t pipelined_requests;
  /* Request bodies held in memory, for all callers together.  */
  uint64_t total_body_bytes;
  /* Limit, in bytes, of the response data that one caller has not read yet.
     The server does not enforce it.  */
  uint64_t unread_bytes;
} http_limits_t;

typedef struct http_handler_t
{
  /* A complete request has been read.  The handler responds with http_respond
     or http_start_response, at once or later.  */
  void (*request) (void *ctx, http_exchange_t *exchange);
  /* The caller closed the connection, or the connection was lost or closed,
     before the response was complete.  The exchange is freed on return.  The
     handler may respond to other ones here.  What it writes to those of the
     same connection is not sent; of them, one with a complete response gets no
     caller_gone.  */
  void (*caller_gone) (void *ctx, http_exchange_t *exchange);
  /* All output of a response in progress has been sent, so that more may be
     written.  May be NULL.  */
  void (*output_drained) (void *ctx, http_exchange_t *exchange);
  /* The complete response to a later request of the connection waits for this
     one, and has a deadline (see http_earliest_deadline_behind_us).  Called
     from within the function that completed that response, so the handler must
     not respond here.  May be NULL.  */
  void (*response_behind) (void *ctx, http_exchange_t *exchange);
  /* The server itself refuses a request.  Returns when its caller stops
     waiting, or 0 if that is not known.  The method is NULL if the head has
     not been read completely; the last field may be cut off then.  May be
     NULL.  */
  int64_t (*refused_deadline_us) (void *ctx, const http_exchange_t *exchange);
  void *ctx; /* borrowed */
} http_handler_t;

typedef enum http_response_state_t
{
  HTTP_RESPONSE_NOT_STARTED,
  HTTP_RESPONSE_STARTED,
  HTTP_RESPONSE_COMPLETE
} http_response_state_t;

/* How the caller's side of a connection ended.  */
typedef enum http_caller_end_t
{
  HTTP_CALLER_OPEN,         /* not known to have ended */
  HTTP_CALLER_CLOSED,       /* all it sent was read, up to the end of stream */
  HTTP_CALLER_RESET,        /* a read failed */
  HTTP_CALLER_SEND_FAILED,  /* a response could not be sent */
  HTTP_CALLER_FOUND_CLOSED, /* found closed before all it sent was handled */
  HTTP_CALLER_END_COUNT
} http_caller_end_t;

/* Returns the name of END in metrics and in the log, in static storage.  */
const char *http_caller_end_name (http_caller_end_t end);

struct http_connection_t;

struct http_exchange_t
{
  const char *method; /* static storage; NULL until the head is read */
  bytes_t target;     /* NUL-terminated path and query */
  fields_t fields;
  bytes_t body;
  int64_t first_byte_us; /* when the first byte was read */
  int64_t last_byte_us;  /* when the last byte was read */
  /* How long the caller's close may have gone unnoticed; set before
     caller_gone.  */
  int64_t unseen_us;
  http_caller_end_t caller_end; /* set before caller_gone */
  uint32_t caller_ip;           /* host order */
  /* When the caller stops waiting for the response, or 0 if unknown.  Set by
     the handler.  */
  int64_t deadline_us;
  void *user_data; /* for the handler */
  /* Private.  */
  struct http_connection_t *connection;
  http_exchange_t *next;
  ledger_entry_t ledger;
  bytes_t output;
  http_response_state_t response_state;
  bool dispatched; /* passed to the handler */
  bool chunked;
  bool ends_at_close;    /* closing the connection ends the response */
  bool close_after;      /* closes the connection after the response */
  bool no_response_body; /* the request was HEAD */
  bool is_http_1_0;
};

/* Returns a server that listens on ADDR, or NULL with *ERROR set.  LOOP and
   the context of HANDLER are borrowed; LIMITS and HANDLER are copied.  Free
   with http_server_free.  */
http_server_t *http_server_new (loop_t *loop, endpoint_addr_t addr,
                                const http_limits_t *limits,
                                const http_handler_t *handler,
                                error_info_t *error);

/* Closes all connections and frees the server.  The handler's caller_gone is
   called for each open exchange.  */
void http_server_free (http_server_t *server);

/* Sets new limits.  The limits of pipelined requests, of all bodies and of
   unread bytes, and any limit that allows more, apply at once.  The other
   lower ones apply after NOTICE_US, in which callers can learn of them, and
   not to requests and idle periods that began before.  */
void http_server_set_limits (http_server_t *server,
                             const http_limits_t *limits, int64_t notice_us);

/* How many connections a server may have.  Zeroed memory allows any
   number.  */
typedef struct http_connection_limits_t
{
  uint32_t served; /* 0 is unlimited */
  /* Beyond those, to read and refuse one request each.  */
  uint32_t refused;
} http_connection_limits_t;

/* Sets new limits; connections that are open stay open.  Close to the limit
   responses announce the end of their connection, unless more requests wait on
   it.  At the limit, the connection that has been idle longest is closed for a
   new one.  If none is idle, the request of the new one is refused with 503,
   and if too many are being refused, accepting pauses.  */
void
http_server_set_connection_limits (http_server_t *server,
                                   const http_connection_limits_t *limits);

/* From now on each response closes its connection, unless more requests wait
   on it, and idle connections are closed.  A new connection is given time to
   bring its first request.  */
void http_server_drain (http_server_t *server);

/* Whether any connection has output that is not yet sent, or not yet
   acknowledged by its caller.  */
bool http_server_has_unacked_output (const http_server_t *server);

/* Open connections by what would be lost if they were closed now.  */
typedef struct http_unhandled_input_t
{
  uint32_t unread;      /* bytes have arrived that were not read */
  uint32_t partly_read; /* a request was read in part, or not yet parsed */
} http_unhandled_input_t;

http_unhandled_input_t
http_server_unhandled_input (const http_server_t *server);

/* Whether http_server_has_unacked_output, or a request has been read in part,
   or, while the server drains, a new connection waits for its first request,
   or http_server_stop_listening has left connections that wait.  */
bool http_server_is_busy (const http_server_t *server);

/* Stops listening and reading, even if data has arrived, and sends the
   responses made so far as far as the sockets take them.  Unread data stays in
   the kernel, which therefore resets the connection when it is closed.  */
void http_server_stop_reading (http_server_t *server);

/* Accepts the connections that wait for it, then no more.  If they are too
   many, goes on listening; to be called again until http_server_is_busy
   returns false.  */
void http_server_stop_listening (http_server_t *server);

/* Returns the port that the server listens on.  */
uint16_t http_server_port (const http_server_t *server);

enum
{
  /* Number of elements of caller_gone_counts.  Element 0 counts times below
     1 ms, element N times from 2^(N-1) ms to less than 2^N ms; the last one
     has no upper bound.  */
  HTTP_UNSEEN_BUCKETS = 14
};

/* Why a connection was closed.  */
typedef enum http_close_reason_t
{
  HTTP_CLOSE_CALLER,    /* its caller closed or reset it */
  HTTP_CLOSE_COMPLETED, /* after the last response */
  HTTP_CLOSE_IDLE,      /* no request for the idle limit */
  HTTP_CLOSE_DRAINED,   /* idle while the server drains */
  HTTP_CLOSE_EVICTED,   /* idle, to make way for a new one */
  HTTP_CLOSE_UNREAD,    /* its caller has stopped reading a response */
  HTTP_CLOSE_ABORTED,   /* a response was aborted */
  HTTP_CLOSE_FREED,     /* the server was freed */
  HTTP_CLOSE_REASON_COUNT
} http_close_reason_t;

/* Returns the name of REASON in metrics and in the log, in static storage.  */
const char *http_close_reason_name (http_close_reason_t reason);

/* What is known about a closed connection.  */
typedef struct http_close_report_t
{
  http_close_reason_t reason;
  int64_t no_progress_us; /* without progress when the close was decided */
  int64_t idle_limit_us;  /* the idle limit that applied to it */
  uint32_t requests;      /* complete, read on the connection */
  /* Complete requests without a complete response.  */
  uint32_t unanswered_requests;
  /* Complete responses that waited for that to an earlier request.  */
  uint32_t responses_behind;
  int64_t oldest_unanswered_us; /* age of the oldest such request, or 0 */
  uint32_t unread_bytes;        /* arrived, but not read */
  uint32_t unparsed_bytes;      /* read, but not parsed */
  bool partly_read;             /* a request was read in part */
  uint32_t unsent_bytes;        /* of responses, not taken by the socket */
  uint32_t unacked_bytes;       /* taken by it, but not acknowledged */
  http_caller_end_t caller_end;
  int caller_errno; /* error of caller_end, or 0 */
  /* Read after the last response was decided on, and discarded.  */
  uint32_t late_bytes;
  uint32_t late_requests; /* complete requests among those bytes */
} http_close_report_t;

/* Called for each connection whose close leaves a request without a response
   or part of a response unsent, and for each that the server itself closes
   with bytes discarded, unread or not parsed, with a request read in part, or,
   in a drain or at the end, before its first request.  */
typedef void (*http_close_callback_t) (void *ctx,
                                       const http_close_report_t *report);

/* Sets the callback.  CTX is borrowed.  */
void http_server_set_close_callback (http_server_t *server,
                                     http_close_callback_t callback,
                                     void *ctx);

typedef struct http_server_stats_t
{
  uint32_t connections;
  uint32_t partly_read;    /* requests that have not arrived as a whole */
  uint32_t open_exchanges; /* complete requests without a complete response */
  uint32_t unsent;         /* complete responses, not taken by the socket */
  int64_t oldest_us; /* age of the oldest request without a response, or 0 */
  uint64_t body_bytes;
  uint64_t malformed_requests;   /* requests that the server itself refused */
  uint64_t refused_beyond_limit; /* of them, beyond the connection limit */
  /* Connections found closed before the data read from them was parsed, or
     while reading from them was paused.  */
  uint64_t reads_abandoned;
  uint64_t reads_paused; /* times that reading from a connection was paused */
  /* Requests whose callers closed before the response was complete, by how
     long that may have gone unnoticed.  */
  uint64_t caller_gone_counts[HTTP_UNSEEN_BUCKETS];
  int64_t max_unseen_us;
  /* Closed connections, and the requests without a complete response that they
     left, by the reason of the close.  */
  uint64_t close_counts[HTTP_CLOSE_REASON_COUNT];
  uint64_t unanswered_counts[HTTP_CLOSE_REASON_COUNT];
  /* Requests that they left partly read, and complete responses unsent.  */
  uint64_t partly_read_counts[HTTP_CLOSE_REASON_COUNT];
  uint64_t unsent_counts[HTTP_CLOSE_REASON_COUNT];
  /* Complete responses that these connections did not send, as they waited for
     that to an earlier request.  */
  uint64_t responses_behind_counts[HTTP_CLOSE_REASON_COUNT];
  /* Those of these connections that had unread bytes.  */
  uint64_t unread_counts[HTTP_CLOSE_REASON_COUNT];
  /* Connections that their callers ended, and the requests without a complete
     response that they left.  */
  uint64_t caller_end_counts[HTTP_CALLER_END_COUNT];
  uint64_t caller_end_unanswered_counts[HTTP_CALLER_END_COUNT];
  acceptor_stats_t accepting;
  uint64_t late_bytes;
  uint64_t late_requests;
} http_server_stats_t;

/* Returns the present counts and the totals since the start.  */
http_server_stats_t http_server_stats (const http_server_t *server);

/* Sends a complete response.  HEADERS is HEADERS_SIZE bytes of complete header
   lines, or NULL.  The exchange must not be used afterwards.  */
void http_respond (http_exchange_t *exchange, int status, const char *headers,
                   size_t headers_size, const void *body, size_t size);

/* Send a response in pieces: its head, then any number of pieces of its body,
   then its end.  LENGTH is the size of the body in bytes, or -1 if it is not
   known yet.  */
void http_start_response (http_exchange_t *exchange, int status,
                          const char *headers, size_t headers_size,
                          int64_t length);
void http_write_body (http_exchange_t *exchange, const void *data,
                      size_t size);
/* The exchange must not be used after this or http_abort_response.  */
void http_end_response (http_exchange_t *exchange);
/* Aborts the response by closing the connection once all output is sent, or
   responds with 502 if responses to earlier requests are still to be made.
   The connection's other open requests end without a response.  */
void http_abort_response (http_exchange_t *exchange);

/* Returns how many complete responses wait until this one is complete.  */
uint32_t http_responses_behind (const http_exchange_t *exchange);

/* Returns the earliest deadline of the complete responses that wait until this
   one is complete, or INT64_MAX if none has a deadline.  */
int64_t http_earliest_deadline_behind_us (const http_exchange_t *exchange);

/* Returns how many bytes are buffered because the socket has not taken them
   yet, or because responses to earlier requests are not complete.  */
size_t http_buffered_bytes (const http_exchange_t *exchange);

#endif
