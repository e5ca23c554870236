#ifndef REDWINGFORD_DESCRIPTOR_BUDGET_H
#define REDWINGFORD_DESCRIPTOR_BUDGET_H

/* Splits the descriptors of a sidecar among their uses.  Pure arithmetic.
   The listeners of HTTP keep to their parts; links and the connections to the
   backend server and the store are only counted against theirs.

   Of the total T, files and the process's own descriptors get at most T/4.
   Of the rest S, links get at most S/2, the backend server S/8, the store
   S/16, the auxiliary listeners S/8 and refusals S/16.  Callers get what is
   left, which is S/8 at least, so the sum is T for any number of sidecars.  */

#include "types.h"

typedef enum descriptor_use_t
{
  DESCRIPTORS_PROCESS, /* files, listeners, the event loop, signals */
  DESCRIPTORS_LINKS,   /* of other sidecars, in both directions */
  DESCRIPTORS_BACKEND,
  DESCRIPTORS_STORE,
  DESCRIPTORS_AUXILIARY, /* readiness, announcements and metrics, together */
  DESCRIPTORS_REFUSALS,  /* callers whose requests are refused */
  DESCRIPTORS_CALLERS,
  DESCRIPTORS_USE_COUNT
} descriptor_use_t;

typedef struct descriptor_budget_t
{
  uint32_t parts[DESCRIPTORS_USE_COUNT];
} descriptor_budget_t;

/* Returns the name of USE in metrics and in the log, in static storage.  */
const char *descriptor_use_name (descriptor_use_t use);

/* Returns the lower of SETTING and PROCESS_LIMIT.  0 as SETTING sets no
   limit.  */
uint32_t descriptor_total (uint32_t setting, uint64_t process_limit);

/* Splits TOTAL descriptors in a fleet of OTHER_SIDECARS and this one.  */
descriptor_budget_t descriptor_budget_split (uint32_t total,
                                             uint32_t other_sidecars);

#endif
