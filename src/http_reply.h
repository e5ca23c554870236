#ifndef REDWINGFORD_HTTP_REPLY_H
#define REDWINGFORD_HTTP_REPLY_H

/* The HTTP answer for a request that has ended.  */

#include <microhttpd.h>

#include "daemon.h"

/* TO_PEER adds the sealed report for another daemon and closes the request's
   retry account.  The caller destroys the response after queueing it.  */
struct MHD_Response *http_reply_new (daemon_t *daemon, request_t *request,
                                     bool to_peer);

#endif
