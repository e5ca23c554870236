#ifndef REDWINGFORD_FORWARD_H
#define REDWINGFORD_FORWARD_H

/* Sends a request to the daemon of another VM and reads what became of it. */

#include "daemon.h"

typedef struct forward_options_t
{
  endpoint_addr_t peer;
  uint32_t retries; /* lent to the other daemon */
  uint64_t serial;  /* of the sending, for requests that must run once */
  bool query;       /* asks what became of it instead */
} forward_options_t;

/* Waits for the answer.  A sending must be marked as such before.  The caller
   owns the answer.  */
answer_t forward_exchange (daemon_t *daemon, request_t *request,
                           const forward_options_t *options);

#endif
