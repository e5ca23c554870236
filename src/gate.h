#ifndef REDWINGFORD_GATE_H
#define REDWINGFORD_GATE_H

/* The entry daemon's gate: what it has heard of overload further down each
   route, and each client account's demand here.  Any thread.  */

#include "level.h"
#include "retry.h"

typedef struct gate_t gate_t;

gate_t *gate_new (void);
void gate_free (gate_t *gate);

/* Rank of a root request, from its account's demand.  */
uint8_t gate_rank (gate_t *gate, const char *account, uint32_t weight,
                   const char *root, int64_t now_us);

/* The least admission level along the route's calls, as last heard.  */
level_value_t gate_level (gate_t *gate, const char *route, int64_t now_us);

/* An answer or refusal on the route brought LEVEL.  */
void gate_heard (gate_t *gate, const char *route, level_value_t level,
                 int64_t now_us);

/* A first try of a request of SERVICE is sent.  */
void gate_first_try (gate_t *gate, const char *service);

/* Decides on one more try of a request of SERVICE, paid from ACCOUNT.  */
retry_verdict_t gate_retry (gate_t *gate, const char *service,
                            retry_allowance_t *account,
                            const retry_failed_attempt_t *failed);

#endif
