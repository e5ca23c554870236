#ifndef REDWINGFORD_ROLLOUT_H
#define REDWINGFORD_ROLLOUT_H

/* One order to roll out a version of a service, as one sidecar sees it: its
   state, the choice between old and new backend servers for each request, and
   the share of the requests that the new version has received.  Each sidecar
   keeps its own share below the bound, so the sum over the fleet stays below
   it without communication.

   Does no I/O and reads no clock.  The time passed in is monotonic and local;
   sidecars tell each other the elapsed time since the order.  */

#include "mesh/store_position.h"
#include "types.h"

typedef struct rollout_order_t
{
  char service[NAME_BYTES];
  char target_version[NAME_BYTES];
  int64_t duration_us;
  store_position_t position; /* of the order's record */
} rollout_order_t;

typedef enum rollout_order_relation_t
{
  ROLLOUT_ORDER_SAME,
  ROLLOUT_ORDER_NEWER,
  ROLLOUT_ORDER_OLDER
} rollout_order_relation_t;

/* Returns what OTHER is to KNOWN, which is an order of the same service.
   Records of equal content in different eras are the same order, which was
   written again after a restore of the store.  Otherwise the position decides;
   within an era, equal content at another offset is another order.  */
rollout_order_relation_t rollout_order_relation (const rollout_order_t *known,
                                                 const rollout_order_t *other);

/* In the order of their rank: a higher one replaces a lower one, whatever the
   order in which they arrive.  The values are sent to other sidecars.  */
typedef enum rollout_state_t
{
  ROLLOUT_OBSERVING = 1, /* a share of the requests goes to the new version */
  ROLLOUT_SHIFTING = 2,  /* all requests do; old servers finish theirs */
  ROLLOUT_HALTED = 3,    /* none do */
  ROLLOUT_COMPLETED = 4  /* final: the platform stops the old servers */
} rollout_state_t;

/* Why a roll-out was halted.  */
typedef enum rollout_halt_reason_t
{
  ROLLOUT_NOT_HALTED,
  ROLLOUT_HALT_EVIDENCE,  /* the verdict of this sidecar */
  ROLLOUT_HALT_REPORTED,  /* another sidecar reported the state */
  ROLLOUT_HALT_STATUS,    /* the store has the status rolled_back */
  ROLLOUT_HALT_WITHDRAWN, /* the order was deleted */
  ROLLOUT_HALT_REPLACED   /* the order was replaced */
} rollout_halt_reason_t;

typedef struct rollout_settings_t
{
  /* Bound on the share of the requests that a bad version may receive, in
     millionths; the setting rollout_share.  */
  uint32_t share_ppm;
} rollout_settings_t;

/* Which servers may get a request.  */
typedef enum rollout_choice_t
{
  ROLLOUT_USE_OLD, /* servers of any version other than the target */
  ROLLOUT_USE_NEW  /* servers of the target version */
} rollout_choice_t;

typedef struct rollout_t rollout_t;

/* Starts in ROLLOUT_OBSERVING.  ELAPSED_US is the time since the order: 0 when
   it is read from the store, else what another sidecar reported.  Copies ORDER
   and SETTINGS.  Free the result with rollout_free.  */
rollout_t *rollout_new (const rollout_order_t *order,
                        const rollout_settings_t *settings, int64_t elapsed_us,
                        int64_t now_us);

/* ROLLOUT may be NULL.  */
void rollout_free (rollout_t *rollout);

/* The order, with the highest position of it that was seen.  Valid until
   rollout_free.  */
const rollout_order_t *rollout_order (const rollout_t *rollout);

/* Takes over the position of the same order in a newer era.  */
void rollout_note_position (rollout_t *rollout, store_position_t position);

/* Takes over the elapsed time that another sidecar reported if it is longer
   than the local one, which begins when the order is learned.  */
void rollout_note_elapsed (rollout_t *rollout, int64_t elapsed_us,
                           int64_t now_us);

int64_t rollout_elapsed_us (const rollout_t *rollout, int64_t now_us);

rollout_state_t rollout_state (const rollout_t *rollout);

/* Takes over STATE if it ranks higher than the own one.  REASON is kept if
   STATE is ROLLOUT_HALTED.  Returns whether the state changed: the caller then
   sends a full report on all links in this loop iteration.  Values that are no
   state are ignored.  */
bool rollout_merge_state (rollout_t *rollout, rollout_state_t state,
                          rollout_halt_reason_t reason);

/* Halts the roll-out, unless it is completed.  Returns whether the state
   changed.  */
bool rollout_halt (rollout_t *rollout, rollout_halt_reason_t reason);

rollout_halt_reason_t rollout_halt_reason (const rollout_t *rollout);

/* Choose the servers for an attempt of a request.  While observing, a retry
   always uses the old version, and a first attempt uses the new one if the
   share allows it.  HAS_NEW_SERVER is whether a new server of the current
   period (rollout_is_canary_server) can be picked; if not, the result is
   ROLLOUT_USE_OLD while observing.  The share is saved up for the next turn
   only while new servers accept requests (rollout_note_new_servers).  Changes
   nothing.  */
rollout_choice_t rollout_pick (const rollout_t *rollout, bool is_retry,
                               bool has_new_server);

/* Counts an attempt that was sent.  Called once per attempt, after
   rollout_pick with the same IS_RETRY and HAS_NEW_SERVER; CHOICE is the
   version that the attempt was sent to, whatever rollout_pick returned.  */
void rollout_record_send (rollout_t *rollout, rollout_choice_t choice,
                          bool is_retry, bool has_new_server);

/* Counts since the order was learned: first attempts, and all attempts sent to
   the new version while observing.  */
uint64_t rollout_total_sends (const rollout_t *rollout);
uint64_t rollout_canary_sends (const rollout_t *rollout);

/* Notes that COUNT new servers accept requests.  To be called before
   rollout_pick, which passes on requests at the rate of full service while a
   new server has its turn, and saves up the share between the turns.  */
void rollout_note_new_servers (rollout_t *rollout, uint32_t count);

/* Returns whether the new server with INDEX among COUNT new servers that
   accept requests (ordered by VM, so that all sidecars agree) gets requests
   now, in the current period of the observation.  With few servers there are
   times in which none does: the share of the requests bears the load of full
   service on one server for a part of each period only.  Always true in the
   states ROLLOUT_SHIFTING and ROLLOUT_COMPLETED.  */
bool rollout_is_canary_server (const rollout_t *rollout, uint32_t index,
                               uint32_t count, int64_t now_us);

/* Whether the time of observation is over, which is the larger of 3 s and a
   quarter of the duration before the deadline.  */
bool rollout_observation_is_over (const rollout_t *rollout, int64_t now_us);

/* Names for logs and reports, such as "observing".  Static storage.  */
const char *rollout_state_name (rollout_state_t state);
const char *rollout_halt_reason_name (rollout_halt_reason_t reason);

#endif
