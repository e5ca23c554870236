#ifndef REDWINGFORD_HTTP_IN_H
#define REDWINGFORD_HTTP_IN_H

/* HTTP/1.1 from callers and from other daemons, by libmicrohttpd.  */

#include "daemon.h"

typedef enum http_in_kind_t
{
  HTTP_IN_CALLERS,
  HTTP_IN_PEERS
} http_in_kind_t;

/* Listens on ADDR.  DAEMON is borrowed.  NULL with *error set.  */
http_in_t *http_in_new (daemon_t *daemon, http_in_kind_t kind,
                        endpoint_addr_t addr, error_info_t *error);

/* Every request must have ended.  */
void http_in_free (http_in_t *in);

/* The port that was bound.  */
uint16_t http_in_port (const http_in_t *in);

#endif
