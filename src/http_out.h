#ifndef REDWINGFORD_HTTP_OUT_H
#define REDWINGFORD_HTTP_OUT_H

/* HTTP to backend servers and other daemons, by neon, over pooled sessions. */

#include "headers.h"
#include "request.h"
#include "settings.h"

typedef struct http_out_t http_out_t;

typedef enum http_result_t
{
  HTTP_ANSWERED, /* a whole answer, its end verified */
  HTTP_NOT_SENT, /* no byte of the request left */
  HTTP_CUT,      /* something may have left; no whole answer came */
  HTTP_SILENT    /* nothing came back in time */
} http_result_t;

typedef struct http_exchange_t
{
  endpoint_addr_t to;
  const char *method;
  const char *path;
  const headers_t *headers; /* borrowed */
  const char *body;
  size_t body_size;
  uint32_t timeout_ms; /* rounded up to whole seconds */
  size_t answer_max_bytes;
  /* A new connection, and no second sending by the library.  */
  bool once;
  /* out */
  int status;
  char *answer; /* owned by the caller */
  size_t answer_size;
  headers_t answer_headers; /* owned by the caller */
} http_exchange_t;

/* Free with http_out_free when no exchange runs.  */
http_out_t *http_out_new (const clock_source_t *clock);
void http_out_free (http_out_t *out);

/* Waits for the answer.  Any thread.  */
http_result_t http_out_exchange (http_out_t *out, http_exchange_t *exchange);

void http_exchange_free (http_exchange_t *exchange);

#endif
