#ifndef REDWINGFORD_ADMISSION_H
#define REDWINGFORD_ADMISSION_H

/* What an entry point decides on a caller's request before it costs any work.
   Pure: the caller passes a draw from [0, 1).  */

#include "types.h"

/* What decides on a caller's request while a service that it leads to is
   overloaded.  */
typedef struct admission_request_t
{
  double pressure;        /* share of all requests that has to be refused */
  double cost;            /* to that service, 1 for the mean request */
  uint8_t priority;       /* by its client account, else by its route */
  uint8_t route_priority; /* decides between requests of one account */
} admission_request_t;

/* Whether to refuse.  Cheap requests are refused less than dear ones, so that
   more callers are served by the same servers; the less important more than
   the first priority, but never all of them, so that no client account is
   shut out.  */
bool admission_should_refuse (const admission_request_t *request, double draw);

/* Whether a sidecar that has been stopping for SINCE_US and ends in LEFT_US
   may still take a request whose runs take MEAN_US on average.  Later ones
   are refused, unrun: their answers could be cut by the end.  */
bool admission_accepts_while_stopping (bool from_backend, int64_t since_us,
                                       int64_t left_us, int64_t mean_us);

/* When a refused caller may come back, in milliseconds.  Returns are spread,
   so that they do not come as one wave, over the time in which an answer is
   still worth its full price.  */
uint32_t admission_retry_after_ms (int64_t left_us, int64_t target_us,
                                   double draw);

/* The longest that a request may wait in a backend server's queue.  Work that
   was done for a call is lost with it, so a call may wait as long as its
   answer is of use; a caller's request only for a small part of its latency
   objective.  */
int64_t admission_max_queue_wait_us (bool from_backend, int64_t target_us,
                                     int64_t left_us);

/* How long to wait for a backend server when none is there at all.  */
int64_t admission_max_server_wait_us (bool from_backend, int64_t target_us,
                                      int64_t left_us);

#endif
