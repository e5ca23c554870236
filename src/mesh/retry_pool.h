#ifndef REDWINGFORD_RETRY_POOL_H
#define REDWINGFORD_RETRY_POOL_H

/* Token bucket for retries to one service, filled by the first attempts that
   this sidecar sends there.  Every sidecar fills its own pool, so the limit
   holds for the fleet as a whole without coordination, also while sidecars
   cannot reach each other.  */

#include "types.h"

typedef struct retry_pool_t
{
  char service[NAME_BYTES];
  double tokens; /* one for each retry */
} retry_pool_t;

/* Retry budget of the whole fleet at each service.  */
typedef struct retry_budget_t
{
  double retries_per_send; /* retries for each first attempt */
  double reserve;          /* further retries in a window */
  uint32_t sidecar_count;
} retry_budget_t;

/* Sets up a pool for SERVICE with one token.  */
void retry_pool_init (retry_pool_t *pool, const char *service);

/* Adds tokens for a first attempt.  If IS_LEAF, the request makes no calls of
   its own: more tokens are added, and only there the pool may hold its part of
   the reserve, since a retry of a leaf repeats no other run.  */
void retry_pool_deposit (retry_pool_t *pool, bool is_leaf,
                         retry_budget_t budget);

/* Takes the token for one retry.  Returns false when there is none.  */
bool retry_pool_try_withdraw (retry_pool_t *pool);

#endif
