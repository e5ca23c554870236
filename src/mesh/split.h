#ifndef REDWINGFORD_SPLIT_H
#define REDWINGFORD_SPLIT_H

/* Smooth weighted round robin over the parts of a route: after any number of
   requests each part is at most one request off its share.  */

#include "mesh/policy.h"

typedef struct split_t
{
  int64_t credit[POLICY_DESTINATIONS_MAX];
} split_t;

/* Index of the part that the next request goes to.  Zeroed memory is a fresh
   split.  */
uint32_t split_pick_destination (split_t *split,
                                 const policy_destination_t *parts,
                                 uint32_t count);

#endif
