#ifndef REDWINGFORD_RETRY_POOL_H
#define REDWINGFORD_RETRY_POOL_H

/* Second sendings to one service, bounded by what this sidecar sends there.
   Every sidecar earns its own share, so the fleet's sum holds without any
   agreement, also while sidecars cannot reach each other.  */

#include "types.h"

typedef struct retry_pool_t
{
  char service[NAME_BYTES];
  double tokens;
} retry_pool_t;

/* What the whole fleet is allowed at each service.  */
typedef struct retry_budget_t
{
  double retries_per_send; /* second sendings for each first one */
  double reserve;          /* and beside these, in a window */
  uint32_t sidecar_count;
} retry_budget_t;

void retry_pool_init (retry_pool_t *pool, const char *service);

/* A first sending.  Of a LEAF, which calls no further, more is earned, and the
   reserve is its own: a repeat there repeats nothing else.  */
void retry_pool_deposit (retry_pool_t *pool, bool leaf, retry_budget_t bounds);

/* Takes one second sending; false when none is left.  */
bool retry_pool_try_withdraw (retry_pool_t *pool);

#endif
