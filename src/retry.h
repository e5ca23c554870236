#ifndef REDWINGFORD_RETRY_H
#define REDWINGFORD_RETRY_H

/* Bounds on retries.

   A root request starts with a budget of retries for its whole tree of
   calls.  The budget is divided by escrow: whoever serves a request holds the
   request's allowance, its part of the budget.  The holder charges its own
   retries to the allowance, lends a part of it to each child call and gets
   back what the child left unused. Parallel children share the one allowance
   of their parent.  What a child does not return, because its answer is lost,
   counts as lent for good.  So the tree never makes more retries than the
   budget.

   A limiter bounds the ratio of retries to first attempts on one link, for
   the case that many requests fail together.

   The two init functions need exclusive access to their object.  All others
   may be called from any thread.  */

#include "reason.h"
#include "types.h"

typedef struct retry_allowance_t
{
  uint32_t granted;   /* the size of the allowance at its start */
  uint32_t available; /* neither lent nor used; atomic, as are the next two */
  uint32_t lent;
  uint32_t used;
} retry_allowance_t;

void retry_allowance_init (retry_allowance_t *allowance, uint32_t granted);

/* Lends part of ALLOWANCE to a child call and returns the number of retries
   lent, which is sent with the child's request.  It is half of what is
   available, rounded up, so that some is left for later or parallel
   children.  */
uint32_t retry_allowance_lend (retry_allowance_t *allowance);

/* Returns to ALLOWANCE the UNUSED retries of a child call that was lent LENT.
   A child cannot return more than it was lent: UNUSED is capped at LENT.  */
void retry_allowance_return (retry_allowance_t *allowance, uint32_t lent,
                             uint32_t unused);

/* Ends the use of ALLOWANCE and returns the number of retries that are still
   available, for the request's answer to carry back to its lender.  */
uint32_t retry_allowance_close (retry_allowance_t *allowance);

typedef struct retry_limiter_t
{
  int32_t milli_tokens; /* a retry takes 1000; atomic */
} retry_limiter_t;

enum
{
  /* Added by each first attempt, which allows one retry in ten.  */
  RETRY_LIMITER_EARN_MILLITOKENS = 100,
  RETRY_LIMITER_BURST_MILLITOKENS = 10000
};

/* The limiter starts with the full burst of tokens.  */
void retry_limiter_init (retry_limiter_t *limiter);

/* Adds the tokens for a first attempt sent over the link, up to the burst
   limit.  */
void retry_limiter_add_first_attempt (retry_limiter_t *limiter);

typedef enum retry_verdict_t
{
  RETRY_VERDICT_ALLOWED,      /* allowance and limiter have been charged */
  RETRY_VERDICT_UNSAFE,       /* it may have run, and is not idempotent */
  RETRY_VERDICT_DEADLINE,     /* a retry would not end before the deadline */
  RETRY_VERDICT_NO_ALLOWANCE, /* no retry is available in the allowance */
  RETRY_VERDICT_RATE_LIMITED  /* the link's limiter has no token */
} retry_verdict_t;

typedef struct retry_failed_attempt_t
{
  retry_t cause;
  bool idempotent;
  int64_t remaining_us; /* until the deadline */
  int64_t expected_us;  /* expected duration of one attempt */
} retry_failed_attempt_t;

/* True when CAUSE proves that the request did not run.  A backend server that
   sheds a request refuses it before running it; one that fails a request may
   have run it.  */
bool retry_cause_proves_not_run (retry_t cause);

/* Decides whether a request may be sent again after FAILED_ATTEMPT.  If so,
   charges one retry to ALLOWANCE and one token to LIMITER; otherwise charges
   nothing.  */
retry_verdict_t retry_decide (retry_allowance_t *allowance,
                              retry_limiter_t *limiter,
                              const retry_failed_attempt_t *failed_attempt);

#endif
