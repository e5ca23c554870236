#ifndef REDWINGFORD_COUNTERS_H
#define REDWINGFORD_COUNTERS_H

/* Counters of a daemon: one for each refusal reason, each retry reason, and
   each kind of control message.  Relaxed atomics, safe from any thread.  */

#include <stdint.h>

#include "link.h"
#include "reason.h"

typedef struct counters_t counters_t;

/* Owned by the caller; free with counters_free.  */
counters_t *counters_new (void);
void counters_free (counters_t *counters);

void counters_end (counters_t *counters, reason_t reason);
void counters_retry (counters_t *counters, retry_t retry);
void counters_sent (counters_t *counters, message_kind_t kind, uint32_t bytes);
void counters_received (counters_t *counters, message_kind_t kind,
                        uint32_t bytes);
/* Datagrams that were malformed or not authentic.  */
void counters_rejected (counters_t *counters);

uint64_t counters_get_end (const counters_t *counters, reason_t reason);
uint64_t counters_get_retry (const counters_t *counters, retry_t retry);

/* Writes the text exposition format to a new string that the caller frees. */
char *counters_format (const counters_t *counters);

#endif
