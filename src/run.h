#ifndef REDWINGFORD_RUN_H
#define REDWINGFORD_RUN_H

/* One exchange with the backend server beside this daemon.  */

#include "daemon.h"

/* Sends REQUEST, which must be marked as sent, and waits for what comes of
   it.  The caller owns the answer.  */
answer_t run_exchange (daemon_t *daemon, request_t *request,
                       endpoint_addr_t backend);

#endif
