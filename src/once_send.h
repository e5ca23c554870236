#ifndef REDWINGFORD_ONCE_SEND_H
#define REDWINGFORD_ONCE_SEND_H

/* The entry daemon's side of a request that must run once: sends it to its
   key's home, asks there when no answer comes, and ends the request.  */

#include "daemon.h"

/* Sends an admitted request; ends it at once or later.  Never waits.  */
void once_send_begin (daemon_t *daemon, request_t *request);

#endif
