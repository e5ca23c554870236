#ifndef REDWINGFORD_ENTRY_H
#define REDWINGFORD_ENTRY_H

/* The entry daemon's side of a request: who sends it, may it run, where, and
   whether to send it again.  */

#include "daemon.h"

/* The headers that mean something here; NULL where absent.  Borrowed for the
   call.  */
typedef struct entry_headers_t
{
  const char *authorization;
  const char *idempotency_key;
  const char *deadline;
  const char *token;
  const char *request;
} entry_headers_t;

/* Takes a request from a caller, or from the backend server calling on (with
   a token).  The request's method, path, headers and body are set.  Ends it
   at once or later.  Never waits.  */
void entry_submit (daemon_t *daemon, request_t *request,
                   const entry_headers_t *headers);

/* Takes a request that another daemon sealed; its call is set.  */
void entry_submit_peer (daemon_t *daemon, request_t *request);

#endif
