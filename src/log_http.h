#ifndef REDWINGFORD_LOG_HTTP_H
#define REDWINGFORD_LOG_HTTP_H

/* The log service's HTTP shape:

   POST /streams/NAME/records, the record as body -> {"offset": N}
   GET /streams/NAME/records?from=N&max=M -> {"first": F, "next": X,
     "records": [{"offset": n, "data": "TEXT"}, ...]}

   A stream keeps one connection and serves one thread at a time.  */

#include "log_service.h"
#include "settings.h"

typedef struct log_http_t log_http_t;

/* STREAM is copied.  Free with log_http_free.  */
log_http_t *log_http_new (endpoint_addr_t addr, const char *stream);
void log_http_free (log_http_t *log);

/* The table of callbacks; borrows LOG.  */
log_service_t log_http_service (log_http_t *log);

#endif
