#ifndef REDWINGFORD_CALLER_WATCH_H
#define REDWINGFORD_CALLER_WATCH_H

/* Watches whether the caller of an open request still holds its end of the
   connection, and abandons the request when it does not.  Keeps nothing of
   the connection but its socket, which is the request's own while the request
   is open.  */

#include "daemon.h"

void caller_watch_begin (daemon_t *daemon, request_t *request, int fd);

#endif
