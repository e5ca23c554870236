#ifndef REDWINGFORD_ONCE_EPOCHS_H
#define REDWINGFORD_ONCE_EPOCHS_H

/* The epochs of a service, agreed through the log.  Each record in the
   membership stream names one epoch and its members; of several records for
   one epoch, the first in the log holds, on every VM alike.  Members that see
   by gossip that the recorded ones no longer match take turns to propose the
   next epoch.  Nothing on the request path waits for the log.

   A rest of the recorded members that is too small to close their epoch does
   not remove the others.  When a majority is gone for good, an operator says
   so (once_force_closed).  */

#include <jansson.h>

#include "once.h"

enum
{
  ONCE_EPOCHS_SETTLE_MS = 400, /* a difference must last so long */
  ONCE_EPOCHS_TURN_MS = 600,   /* between the turns of two proposers */
  ONCE_EPOCHS_RENEW_S = 3600   /* the standing record is appended again */
};

typedef struct once_epochs_t
{
  char service[NAME_BYTES];
  once_member_t self;
  uint64_t epoch; /* 0: none read yet */
  size_t count;
  once_member_t members[ONCE_MEMBERS_MAX]; /* by vm */
  int64_t recorded_us;  /* when the standing record was last read */
  int64_t differs_us;   /* since when gossip differs; 0: it does not */
  uint64_t differs_sum; /* of what gossip says */
  uint64_t proposed;    /* the epoch last proposed */
  int64_t proposed_us;
} once_epochs_t;

void once_epochs_open (once_epochs_t *epochs, const char *service,
                       once_member_t self);

/* Takes a record of the stream, in the log's order.  True: it is the next
   epoch, to be given to once_set_members.  Others are passed over, such as
   those of other services.  */
bool once_epochs_read (once_epochs_t *epochs, const json_t *record,
                       int64_t now_us);

/* LIVE is what gossip knows to be alive and not leaving.  Returns a record
   that this VM is to append now, or NULL.  The caller owns it.  Call only
   after the stream has been read to its end.  */
json_t *once_epochs_propose (once_epochs_t *epochs, const once_member_t *live,
                             size_t count, int64_t now_us);

#endif
