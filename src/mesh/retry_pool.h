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
  double retries_per_first_attempt;
  double reserve; /* retries in addition, regardless of first attempts */
  uint32_t sidecar_count;
} retry_budget_t;

/* Sets up a pool for SERVICE with one token.  */
void retry_pool_init (retry_pool_t *pool, const char *service);

/* Adds tokens for a first attempt, up to a limit.  IS_LEAF says that the
   request makes no calls of its own.  The deposit is then larger, and the
   limit is this sidecar's part of the reserve or one token if that is more,
   since a retry repeats no other run.  Otherwise the limit is one token, and
   tokens above it are lost.  */
void retry_pool_deposit (retry_pool_t *pool, bool is_leaf,
                         retry_budget_t budget);

/* Takes the token for one retry.  Returns false when there is none.  */
bool retry_pool_try_withdraw (retry_pool_t *pool);

#endif
