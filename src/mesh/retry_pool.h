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

/* RESERVE is the fleet's allowance for quiet services, SIDECARS share it.  */
void retry_pool_open (retry_pool_t *pool, const char *service, double reserve,
                      uint32_t sidecars);

/* A first sending.  Of a LEAF, which calls no further, more is earned: a
   repeat there repeats nothing else.  */
void retry_pool_earn (retry_pool_t *pool, bool leaf, double reserve,
                      uint32_t sidecars);

/* Takes one second sending; false when none is left.  */
bool retry_pool_take (retry_pool_t *pool);

#endif
