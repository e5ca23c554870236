#ifndef REDWINGFORD_REQUEST_H
#define REDWINGFORD_REQUEST_H

/* One request in this daemon, from its arrival to its one end.

   A request is WAITING until the first byte of it leaves for where it may
   run, then SENT, and ENDED once.  Only a request that is WAITING may be
   refused as not run by a timer; whoever sends it knows the rest.  */

#include <pthread.h>

#include "atomics.h"
#include "call.h"
#include "clock.h"
#include "headers.h"
#include "level.h"
#include "reason.h"
#include "retry.h"
#include "timer.h"

typedef struct answer_t
{
  reason_t reason; /* REASON_NONE: a whole answer stands in the rest */
  int status;
  char *body; /* owned */
  size_t body_size;
  headers_t headers;
  char nearest[PATH_BYTES]; /* the nearest known name, or "" */
  call_report_t report;
  bool has_report;
} answer_t;

answer_t answer_refusal (reason_t reason);
void answer_free (answer_t *answer);
/* Deep copy.  */
answer_t answer_copy (const answer_t *answer);

typedef enum request_state_t
{
  REQUEST_WAITING,
  REQUEST_SENT,
  REQUEST_ENDED
} request_state_t;

typedef struct request_t request_t;

/* Called exactly once, from the thread that ended the request.  */
typedef void (*request_ended_t) (void *ctx, request_t *request);

struct request_t
{
  shared_int_t references;
  shared_int_t state; /* request_state_t */
  call_t call;
  shared_bool_t may_have_run;
  headers_t headers; /* passed on to the backend server */
  char *body;        /* owned */
  size_t body_size;
  int64_t arrived_us;
  int64_t deadline_us;
  timer_handle_t deadline;   /* its timer holds a reference */
  bool from_peer;            /* came sealed from another daemon */
  retry_allowance_t retries; /* of a root or peer request; see request_payer */
  request_t *parent; /* the request whose backend server calls on; or NULL */
  pthread_mutex_t children_lock; /* guards the three below; taken last */
  uint32_t children_open;
  int64_t children_since_us;
  int64_t children_total_us;
  shared_uint_t level; /* least that child calls brought back */
  answer_t answer;     /* set by the end */
  int64_t ended_us;
  request_ended_t on_end;
  void *on_end_ctx;
};

/* Starts with one reference.  */
request_t *request_new (request_ended_t on_end, void *on_end_ctx);
request_t *request_ref (request_t *request);
void request_unref (request_t *request);

/* Makes it SENT; false when the request has ended: it must not be sent.  */
bool request_mark_sent (request_t *request);

/* SENT back to WAITING, when it is proved that the last sending did not run.
   Stays SENT if an earlier one may have run.  */
void request_mark_unsent (request_t *request);

/* A sending had an unknown outcome.  From now on no refusal but a tombstone
   ends the request as not run.  */
void request_mark_unknown (request_t *request);

/* Ends the request; the one place where a request ends.  Takes ANSWER over.
   A refusal that cannot speak for an earlier sending becomes "home-lost".
   False (and ANSWER freed) when it had ended before.  */
bool request_end (request_t *request, answer_t answer, int64_t now_us);

/* Ends it for lack of time: not run while it waits, unknown once sent.  */
bool request_expire (request_t *request, int64_t now_us);

/* The request whose retry account pays for this one: the topmost that this
   daemon knows, so that parallel children of one parent share one budget.  */
request_t *request_payer (request_t *request);

/* A child call of the request's backend server begins and ends.  */
void request_child_began (request_t *request, int64_t now_us);
void request_child_ended (request_t *request, uint32_t level, int64_t now_us);

/* Time in which at least one child call was open.  */
int64_t request_children_us (request_t *request, int64_t now_us);

/* Ends it because its caller has gone: not run while it waits; once sent only
   if it is idempotent, since the others have to run to a recorded end.  */
bool request_abandon (request_t *request, int64_t now_us);

bool request_has_ended (const request_t *request);

/* What is left of the deadline at NOW_US, at least 0.  */
uint32_t request_left_ms (const request_t *request, int64_t now_us);

#endif
