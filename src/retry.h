#ifndef REDWINGFORD_RETRY_H
#define REDWINGFORD_RETRY_H

/* Bounds on retries.

   A root request starts with a budget of retries for its whole tree of
   calls.  The budget is escrow: whoever serves a request holds an account,
   takes a retry out of it, lends a part to each child call and gets back what
   the child left unused.  Parallel children draw on the one account of their
   parent.  What a child does not give back, because its answer is lost, stays
   lent: the tree never makes more retries than the budget.

   A ratio bounds the retries on one link when many requests fail together.

   All functions but the openers may be called from any thread.  */

#include "reason.h"
#include "types.h"

typedef struct retry_allowance_t
{
  uint32_t budget; /* what was lent to this request */
  uint32_t held;   /* atomic, like the next two */
  uint32_t lent;
  uint32_t spent;
} retry_allowance_t;

void retry_allowance_init (retry_allowance_t *account, uint32_t budget);

/* What a child call may use: half of what is held, rounded up, so that later
   or parallel children find something.  The child's request carries it.  */
uint32_t retry_allowance_lend (retry_allowance_t *account);

/* A child that was lent LENT came back with UNUSED.  A child cannot give back
   more than it was lent.  */
void retry_allowance_return (retry_allowance_t *account, uint32_t lent,
                             uint32_t unused);

/* What the request gives back with its answer; closes the account.  */
uint32_t retry_allowance_close (retry_allowance_t *account);

typedef struct retry_limiter_t
{
  int32_t milli_tokens; /* atomic */
} retry_limiter_t;

enum
{
  RETRY_RATIO_MILLI = 100, /* earned by each first try: one in ten */
  RETRY_RATIO_BURST_MILLI = 10000
};

void retry_limiter_init (retry_limiter_t *ratio);
/* A first try went over the link.  */
void retry_limiter_add_first_attempt (retry_limiter_t *ratio);

typedef enum retry_verdict_t
{
  RETRY_VERDICT_ALLOWED,      /* the account and the ratio have been charged */
  RETRY_VERDICT_UNSAFE,       /* it may have run and must not run twice */
  RETRY_VERDICT_DEADLINE,     /* it would not end before the deadline */
  RETRY_VERDICT_NO_ALLOWANCE, /* the tree's budget is spent */
  RETRY_VERDICT_RATE_LIMITED  /* the link's ratio is spent */
} retry_verdict_t;

typedef struct retry_failed_attempt_t
{
  retry_t cause;
  bool idempotent;
  int64_t remaining_us; /* until the deadline */
  int64_t expected_us;  /* what a try takes */
} retry_failed_attempt_t;

/* True when CAUSE proves that the request did not run.  A backend server
   that shed a request has refused it before running; one that failed has
   not.  */
bool retry_is_proved_unrun (retry_t cause);

/* Decides on one more try and charges it.  */
retry_verdict_t retry_decide (retry_allowance_t *account,
                              retry_limiter_t *ratio,
                              const retry_failed_attempt_t *failed);

#endif
