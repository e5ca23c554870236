#ifndef REDWINGFORD_HOME_H
#define REDWINGFORD_HOME_H

/* Rendezvous hashing: the home of an idempotency key is the member of its
   service with the highest weight for it, so that a join or leave moves only
   the keys of the member that came or went.  */

#include "types.h"

/* Hash of a key within its scope.  */
uint64_t home_key_hash (const char *account, const char *route,
                        const char *key);

/* Weight of VM for the key; the highest wins, the higher id on a tie.  */
uint64_t home_weight (uint64_t key_hash, vm_id_t vm);

/* The home among COUNT members, or 0 when there is none.  Linear in COUNT.  */
vm_id_t home_pick (uint64_t key_hash, const vm_id_t *members, size_t count);

#endif
