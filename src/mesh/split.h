#ifndef REDWINGFORD_SPLIT_H
#define REDWINGFORD_SPLIT_H

/* Smooth weighted round robin over the destinations of a route: after as
   many requests as the weights add up to, each destination has had exactly its
   share.  Before that, each stays close to its share.  */

#include "mesh/policy.h"

/* Zeroed memory is the initial state.  */
typedef struct split_t
{
  int64_t current_weights[POLICY_DESTINATIONS_MAX];
} split_t;

/* Returns the index of the destination for the next request.  */
uint32_t split_pick_destination (split_t *split,
                                 const policy_destination_t *destinations,
                                 uint32_t destination_count);

#endif
