#ifndef REDWINGFORD_CRASH_GUARD_H
#define REDWINGFORD_CRASH_GUARD_H

/* What runs on the backend server beside this daemon, so that a crash of it
   makes suspects of just those requests.  Any thread.  */

#include "quarantine_part.h"
#include "request.h"

typedef struct crash_guard_t crash_guard_t;

/* One run, kept by the caller from crash_guard_start to crash_guard_ended. */
typedef struct guarded_run_t
{
  struct guarded_run_t *next;
  struct guarded_run_t **at; /* NULL while it is not running */
  const request_t *request;  /* borrowed */
  fingerprint_t fingerprint;
  bool crash_counted; /* its crash was reported by another run */
} guarded_run_t;

/* PART is borrowed.  */
crash_guard_t *crash_guard_new (quarantine_part_t *part);
void crash_guard_free (crash_guard_t *guard);

/* Whether REQUEST may run now.  After QUARANTINE_RUN it counts as running. */
quarantine_verdict_t crash_guard_start (crash_guard_t *guard,
                                        guarded_run_t *run,
                                        const request_t *request);

/* The run has ended; CUT when the backend server dropped its connection.
   True when this was the first sign of a crash.  */
bool crash_guard_ended (crash_guard_t *guard, guarded_run_t *run, bool cut);

#endif
