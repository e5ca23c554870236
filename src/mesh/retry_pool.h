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
typedef struct retry_bounds_t
{
  double share;   /* second sendings for each first one */
  double reserve; /* and beside these, in a window */
  uint32_t sidecars;
} retry_bounds_t;

void retry_pool_open (retry_pool_t *pool, const char *service);

/* A first sending.  Of a LEAF, which calls no further, more is earned, and the
   reserve is its own: a repeat there repeats nothing else.  */
void retry_pool_earn (retry_pool_t *pool, bool leaf, retry_bounds_t bounds);

/* Takes one second sending; false when none is left.  */
bool retry_pool_take (retry_pool_t *pool);

#endif
