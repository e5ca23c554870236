#ifndef REDWINGFORD_ADMISSION_H
#define REDWINGFORD_ADMISSION_H

/* What an entry point decides on a caller's request before it costs any work.
   Pure: the caller passes a draw from [0, 1).  */

#include "types.h"

/* Whether to refuse a request of PRIORITY while a share PRESSURE of them has
   to be refused.  The less important go first; the first priority is touched
   only when refusing all others is not enough.  So do callers who were
   refused before and came back when they were told to: a second refusal would
   make their wait worthless.  */
bool admission_refuses (double pressure, uint8_t priority, bool returned,
                        double draw);

/* When a refused caller may come back, in milliseconds.  Returns are spread,
   so that they do not come as one wave, over the time in which an answer is
   still worth its full price.  */
uint32_t admission_retry_ms (int64_t left_us, int64_t target_us, double draw);

/* The longest that a request may wait in a backend server's queue.  Work that
   was done for a call is lost with it, so a call may wait as long as its
   answer is of use; a caller's request only for a small part of its latency
   objective.  */
int64_t admission_wait_us (bool from_backend, int64_t target_us,
                           int64_t left_us);

/* How long to wait for a backend server when none is there at all.  */
int64_t admission_patience_us (bool from_backend, int64_t target_us,
                               int64_t left_us);

#endif
