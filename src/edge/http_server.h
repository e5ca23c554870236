#ifndef REDWINGFORD_HTTP_SERVER_H
#define REDWINGFORD_HTTP_SERVER_H

/* HTTP/1.1 server on the event loop.  Hands out whole requests; answers are
   written in the order of the requests of a connection, whole or in pieces.
   Malformed requests are refused here (400, 408, 413, 431).  */

#include "edge/fields.h"
#include "edge/loop.h"

typedef struct http_server_t http_server_t;
typedef struct http_exchange_t http_exchange_t;

typedef struct http_limits_t
{
  uint32_t header_bytes;
  uint64_t body_bytes;
  int64_t header_timeout_us;   /* for a request's whole head */
  int64_t body_timeout_us;     /* between two pieces of a body or an answer */
  int64_t idle_timeout_us;     /* between requests */
  uint32_t pipelined_requests; /* requests read ahead on one connection */
  uint64_t total_body_bytes;   /* held for all callers together */
  uint64_t unread_bytes;       /* of answers that one caller has not read */
} http_limits_t;

typedef struct http_handler_t
{
  /* A whole request.  It is answered by http_respond or http_begin, at once
     or later.  */
  void (*request) (void *ctx, http_exchange_t *exchange);
  /* The caller left before the answer was written.  The exchange is freed on
     return.  */
  void (*caller_gone) (void *ctx, http_exchange_t *exchange);
  /* The caller has read on: more of the answer may be written.  May be NULL.
   */
  void (*output_drained) (void *ctx, http_exchange_t *exchange);
  void *ctx; /* borrowed */
} http_handler_t;

typedef enum http_response_state_t
{
  HTTP_RESPONSE_NOT_STARTED,
  HTTP_RESPONSE_STARTED,
  HTTP_RESPONSE_COMPLETE
} http_response_state_t;

struct http_connection_t;

struct http_exchange_t
{
  const char *method; /* static storage */
  bytes_t target;     /* NUL-terminated path and query */
  fields_t fields;
  bytes_t body;
  int64_t first_byte_us; /* when its first byte was read */
  int64_t last_byte_us;  /* when its last byte was read */
  int64_t unseen_us;     /* for which a close may have gone unnoticed */
  uint32_t peer_ip;      /* host order */
  void *user_data;       /* the handler's */
  /* Private.  */
  struct http_connection_t *connection;
  http_exchange_t *next;
  bytes_t out;
  http_response_state_t response_state;
  bool handed; /* the handler has it */
  bool chunked;
  bool until_close; /* the answer ends with the connection */
  bool close_after;
  bool no_body; /* the request was HEAD */
  bool old;     /* HTTP/1.0 */
};

/* Listens on ADDR.  LOOP and HANDLER's context are borrowed; LIMITS are
   copied.  NULL with *error set.  */
http_server_t *http_server_new (loop_t *loop, endpoint_addr_t addr,
                                const http_limits_t *limits,
                                const http_handler_t *handler,
                                error_info_t *error);

/* Closes all connections; the handler hears that open exchanges are gone.  */
void http_server_free (http_server_t *server);

/* Limits that allow more apply at once, lower ones after NOTICE_US, in which
   callers hear of them, and not to requests and waits that began before.  */
void http_server_set_limits (http_server_t *server,
                             const http_limits_t *limits, int64_t notice_us);

/* From now on each answer closes its connection, and connections on which
   nothing waits are closed.  */
void http_server_drain (http_server_t *server);

/* Whether a caller has not got all of an answer that was written.  */
bool http_server_has_unacked_output (const http_server_t *server);

/* The same, or a request is half read.  */
bool http_server_is_busy (const http_server_t *server);

/* Nothing more is read, not even what this turn of the loop has found to be
   there: what nobody will answer stays with the kernel, which resets it.  */
void http_server_stop_reading (http_server_t *server);

/* No new connections are accepted.  */
void http_server_stop_listening (http_server_t *server);

uint16_t http_server_port (const http_server_t *server);

enum
{
  HTTP_UNSEEN_BUCKETS = 14 /* powers of two of milliseconds */
};

/* Why a connection ended.  */
typedef enum http_close_reason_t
{
  HTTP_CLOSE_CALLER,   /* its caller closed or reset it */
  HTTP_CLOSE_ANSWERED, /* behind the last answer */
  HTTP_CLOSE_IDLE,     /* no request for the idle limit */
  HTTP_CLOSE_DRAINED,  /* idle when the server began to drain */
  HTTP_CLOSE_UNREAD,   /* its caller has stopped reading an answer */
  HTTP_CLOSE_ABORTED,  /* an answer was broken off */
  HTTP_CLOSE_FREED,    /* the server was freed */
  HTTP_CLOSE_REASON_COUNT
} http_close_reason_t;

const char *http_close_reason_name (http_close_reason_t end);

/* How a connection ended.  */
typedef struct http_close_report_t
{
  http_close_reason_t reason;
  int64_t no_progress_us;       /* without progress before that was decided */
  int64_t idle_limit_us;        /* that it was judged by */
  uint32_t unanswered_requests; /* whole requests that got no whole answer */
  uint32_t late_bytes;    /* read after it was decided, and thrown away */
  uint32_t late_requests; /* that were whole among them */
} http_close_report_t;

/* Hears of each connection that this side ends and that leaves a request
   unanswered or has thrown bytes away.  */
typedef void (*http_close_callback_t) (void *ctx,
                                       const http_close_report_t *report);

/* CTX is borrowed.  */
void http_server_set_close_callback (http_server_t *server,
                                     http_close_callback_t watch, void *ctx);

typedef struct http_server_state_t
{
  uint32_t connections;
  uint32_t open_exchanges; /* read and not yet answered */
  uint64_t body_bytes;
  uint64_t malformed_requests;
  uint64_t
      reads_abandoned; /* connections found closed before a read was parsed */
  uint64_t reads_paused; /* times that reading a connection was */
  /* Requests whose callers left, by how long that may have gone unnoticed.  */
  uint64_t caller_gone_counts[HTTP_UNSEEN_BUCKETS];
  int64_t unseen_max_us;
  uint64_t close_counts[HTTP_CLOSE_REASON_COUNT];      /* connections */
  uint64_t unanswered_counts[HTTP_CLOSE_REASON_COUNT]; /* their requests */
  uint64_t late_bytes;
  uint64_t late_requests;
} http_server_state_t;

http_server_state_t http_server_state (const http_server_t *server);

/* A whole answer.  HEADERS is text of whole lines, or NULL.  The exchange
   must not be used afterwards.  */
void http_respond (http_exchange_t *exchange, int status, const char *headers,
                   size_t headers_size, const void *body, size_t size);

/* An answer in pieces.  LENGTH is -1 when it is not known yet.  */
void http_start_response (http_exchange_t *exchange, int status,
                          const char *headers, size_t headers_size,
                          int64_t length);
void http_write_body (http_exchange_t *exchange, const void *data,
                      size_t size);
/* The exchange must not be used after this or http_abort.  */
void http_end_response (http_exchange_t *exchange);
/* Breaks the answer off by closing the connection, or answers 502 when other
   answers come before it.  */
void http_abort_response (http_exchange_t *exchange);

/* Bytes of the answer that the caller has not taken yet.  */
size_t http_unread_bytes (const http_exchange_t *exchange);

#endif
