#ifndef REDWINGFORD_PEERS_H
#define REDWINGFORD_PEERS_H

/* The daemon's view of its fleet: membership feeds the directory.  */

#include "contract_part.h"
#include "member_part.h"

typedef struct daemon_t daemon_t;
typedef struct peers_t peers_t;

/* Adds its parts to the daemon's control thread; call before that starts.
   DAEMON is borrowed.  */
peers_t *peers_new (daemon_t *daemon);

/* The control thread must have stopped.  */
void peers_free (peers_t *peers);

/* Tells the fleet what this VM's backend server announced.  */
void peers_announce (peers_t *peers);

/* Tells the fleet that this VM leaves.  */
void peers_leave (peers_t *peers);

/* Whether what was lent to this VM has been given back since.  */
bool peers_have_left (peers_t *peers);

/* Gives up this VM's shares of rates; nothing is admitted any more.  */
void peers_finish (peers_t *peers);

member_part_t *peers_members (peers_t *peers);
contract_part_t *peers_contracts (peers_t *peers);

#endif
