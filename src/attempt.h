#ifndef REDWINGFORD_ATTEMPT_H
#define REDWINGFORD_ATTEMPT_H

/* The sendings of one request by its entry daemon: to which VM, what came of
   each, whether to send again, and the request's end.  */

#include "daemon.h"

/* Sends an admitted request; ends it at once or later.  Never waits.  */
void attempt_begin (daemon_t *daemon, request_t *request);

/* Takes a sending for lost; a probe_lost_t.  */
void attempt_lost (void *ctx, void *lost);

/* Adds this VM's figures to the answer of a request that its executor ran or
   refused.  */
void attempt_add_report (daemon_t *daemon, request_t *request,
                         answer_t *answer);

#endif
