#ifndef REDWINGFORD_EXPLAIN_H
#define REDWINGFORD_EXPLAIN_H

/* What a daemon remembers of each request's end, for redwingford why and for
   the list of misspelled names.  */

#include "daemon.h"

/* Notes the end of REQUEST, whose answer is set.  Any thread.  */
void explain_end (daemon_t *daemon, const request_t *request);

#endif
