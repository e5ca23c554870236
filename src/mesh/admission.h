#ifndef REDWINGFORD_ADMISSION_H
#define REDWINGFORD_ADMISSION_H

/* Decisions of an entry point on a caller's request before any work is done
   for it.  The functions are pure: the caller passes random numbers, DRAW,
   from [0, 1).  TIME_LEFT_US is the time to the request's deadline.  */

#include "types.h"

/* Properties of a caller's request that decide whether it is refused while a
   service that it leads to is overloaded.  */
typedef struct admission_request_t
{
  double pressure;        /* share of all requests to refuse, 0 to 1 */
  double cost;            /* to that service; 1 is the mean request's cost */
  uint8_t priority;       /* of the client account, or else of the route */
  uint8_t route_priority; /* decides between requests of one account */
} admission_request_t;

/* Whether to refuse the request.  Cheap requests are refused less often than
   expensive ones, so that the same servers serve more callers.  Requests of
   priority 0 are refused less often than the others, but no priority is
   refused completely, so that no client account is shut out.  */
bool admission_should_refuse (const admission_request_t *request, double draw);

/* Whether a sidecar that has been stopping for STOPPING_FOR_US and exits in
   TIME_TO_EXIT_US may still take a request whose runs take MEAN_RUN_US on
   average.  Later requests are refused without running, because the exit could
   cut their replies off.  */
bool admission_accepts_while_stopping (bool from_backend,
                                       int64_t stopping_for_us,
                                       int64_t time_to_exit_us,
                                       int64_t mean_run_us);

/* Delay in milliseconds after which a refused caller may retry.  The delays
   are randomized to keep the retries from arriving in one wave.  They are
   at most a third of TIME_LEFT_US and 0.6 of the target latency, so that the
   reply to a retry still has its full value to the caller, but at least
   50 ms.  */
uint32_t admission_retry_after_ms (int64_t time_left_us,
                                   int64_t target_latency_us, double draw);

/* The longest time that a request may wait in a backend server's queue.  A
   call may wait for as long as its reply is of use, because work that was
   already done is lost with it.  A caller's request may wait only for a small
   part of its target latency.  */
int64_t admission_max_queue_wait_us (bool from_backend,
                                     int64_t target_latency_us,
                                     int64_t time_left_us);

/* The longest time to wait for a backend server while none is available.  */
int64_t admission_max_server_wait_us (bool from_backend,
                                      int64_t target_latency_us,
                                      int64_t time_left_us);

#endif
