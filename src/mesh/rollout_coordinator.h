#ifndef REDWINGFORD_ROLLOUT_COORDINATOR_H
#define REDWINGFORD_ROLLOUT_COORDINATOR_H

/* Decides what a sidecar does in the store for one order: claim it, write the
   status, record that all traffic shifts, complete it or write that it was
   rolled back.  Only one sidecar does this at a time, the one with the newest
   claim.

   Each append follows a read, with the condition that the topic still ends
   where the read ended.  After an append that was refused or whose outcome is
   unknown, the records are read again, so that each step may be repeated and
   another sidecar can continue after any of them.

   Does no I/O and reads no clock: it returns actions, of which one at a time
   is carried out, and is told their results.  */

#include "mesh/rollout.h"
#include "rng.h"

/* Claim of an order by a sidecar: record claim/SERVICE of the status topic,
   also carried in reports.  */
typedef struct rollout_claim_t
{
  rollout_order_t order; /* duration_us may be 0 */
  vm_id_t vm;            /* 0 is no claim */
  incarnation_t incarnation;
  /* As known to the claimant when it wrote the record: ROLLOUT_OBSERVING,
     ROLLOUT_SHIFTING (from then on all traffic may shift), or one that ends
     the roll-out.  */
  rollout_state_t state;
  store_position_t position; /* of the claim's record; set by the reader */
} rollout_claim_t;

typedef enum rollout_status_state_t
{
  ROLLOUT_STATUS_NONE, /* no record, or a deleted one */
  ROLLOUT_STATUS_RUNNING,
  ROLLOUT_STATUS_COMPLETED,
  ROLLOUT_STATUS_ROLLED_BACK
} rollout_status_state_t;

/* Record status/rollout/SERVICE as read from the store.  */
typedef struct rollout_status_t
{
  char target_version[NAME_BYTES];
  rollout_status_state_t state;
  store_position_t position;
} rollout_status_t;

/* What a read of the status topic found for the service.  */
typedef struct rollout_read_t
{
  rollout_status_t status;
  rollout_claim_t claim; /* CLAIM.VM is 0 if there is none */
  store_position_t end;  /* end of the topic: the condition of an append */
} rollout_read_t;

typedef enum rollout_action_kind_t
{
  ROLLOUT_ACTION_NONE,
  ROLLOUT_ACTION_READ,          /* read the status topic's newest values */
  ROLLOUT_ACTION_APPEND_CLAIM,  /* append CLAIM on condition of AT */
  ROLLOUT_ACTION_APPEND_STATUS, /* append STATUS on condition of AT */
} rollout_action_kind_t;

typedef struct rollout_action_t
{
  rollout_action_kind_t kind;
  rollout_claim_t claim;
  rollout_status_state_t status;
  /* Of STATUS: the order's target, or that of an order which was replaced
     while its status was running, for ROLLOUT_STATUS_ROLLED_BACK.  */
  char target_version[NAME_BYTES];
  store_position_t at;
} rollout_action_t;

typedef enum rollout_append_result_t
{
  ROLLOUT_APPEND_DONE,
  ROLLOUT_APPEND_CONFLICT, /* 412: the topic has grown, or a new era began */
  /* No answer, an error that may follow the append, or not sent: read before
     writing again.  */
  ROLLOUT_APPEND_UNKNOWN
} rollout_append_result_t;

/* What the coordinator knows of another sidecar, or of the own one.  */
typedef struct rollout_peer_t
{
  vm_id_t vm;
  bool is_old_server; /* beside a server of the service, other version */
  bool is_new_server; /* beside a server of the target version */
  bool accepting;     /* by the newest report */
  uint32_t slots;
  uint32_t running_count; /* by the newest report, which is not older than
                             the one with STATE */
  rollout_state_t state;  /* of this order by the newest report; 0 if the
                             report did not carry the order */
  bool link_up;
  int64_t link_down_since_us; /* if the link is down */
} rollout_peer_t;

/* Whether completion is allowed: each old server has reported that it knows
   ROLLOUT_SHIFTING, accepts no requests and runs none, and each sidecar whose
   link is up has reported the state.  PEERS contains the own sidecar, and
   every known sidecar that is beside a server of the service; those whose
   links have been down for 3 s are left out.  Stores the VM that is waited for
   in *WAITING_FOR if the result is false and WAITING_FOR is not NULL.  */
bool rollout_peers_are_drained (const rollout_peer_t *peers, size_t count,
                                int64_t now_us, vm_id_t *waiting_for);

/* Whether the new servers in service have at least 0.75 of the slots of the
   old ones.  Servers whose links are down do not count.  */
bool rollout_peers_have_slots (const rollout_peer_t *peers, size_t count);

typedef struct rollout_coordinator_t rollout_coordinator_t;

/* VM and INCARNATION are those of the own sidecar.  IS_PREFERRED is whether it
   is beside a server of the service; such sidecars claim earlier.  ROLLOUT and
   RNG are borrowed; ROLLOUT is the state at this sidecar, which the
   coordinator advances when the store has a record of it.  Only sidecars with
   links to the servers of the service may have a coordinator: a claimant must
   be heard by the others, directly or through one sidecar.  Free the result
   with rollout_coordinator_free, before ROLLOUT.  */
rollout_coordinator_t *rollout_coordinator_new (rollout_t *rollout, vm_id_t vm,
                                                incarnation_t incarnation,
                                                bool is_preferred,
                                                const rng_t *rng,
                                                int64_t now_us);

/* COORDINATOR may be NULL.  */
void rollout_coordinator_free (rollout_coordinator_t *coordinator);

/* Notes a claim of this order in a report.  AGE_US is 0 if the claimant itself
   sent the report, else the age that the sender stated, so that sidecars
   without a link to the claimant know that it lives.  The claim with the
   newest position counts; it lapses 2 s after the claimant was last heard.  */
void rollout_coordinator_note_claim (rollout_coordinator_t *coordinator,
                                     const rollout_claim_t *claim,
                                     int64_t age_us, int64_t now_us);

/* Notes that the link to VM is down: its claim lapses within half a second
   unless other sidecars still hear it.  */
void rollout_coordinator_note_link_down (rollout_coordinator_t *coordinator,
                                         vm_id_t vm, int64_t now_us);

/* The claim to state in reports, with its age in *AGE_US: the own one, with
   age 0, or one whose claimant was heard directly, with a greater age. Returns
   false if there is none that has not lapsed.  The own claim is not stated any
   more after the store has been out of reach for 2 s, so that a sidecar that
   reaches it can take over.  */
bool rollout_coordinator_claim (const rollout_coordinator_t *coordinator,
                                rollout_claim_t *claim, int64_t *age_us,
                                int64_t now_us);

/* Whether this sidecar holds the claim.  */
bool
rollout_coordinator_is_claimant (const rollout_coordinator_t *coordinator);

/* Notes that the store has begun a new era or may have lost records: the
   status is read again, and written again if it is missing.  */
void rollout_coordinator_note_era (rollout_coordinator_t *coordinator,
                                   int64_t now_us);

/* Facts that decide whether the claimant may go on.  */
typedef struct rollout_facts_t
{
  bool evidence_is_sufficient; /* rollout_evidence_is_sufficient */
  bool has_slots;              /* rollout_peers_have_slots */
  bool is_drained;             /* rollout_peers_are_drained */
} rollout_facts_t;

/* Returns what to do now; ROLLOUT_ACTION_NONE while a result is outstanding.
   Call it every 100 ms or so and after each result.  */
rollout_action_t rollout_coordinator_next (rollout_coordinator_t *coordinator,
                                           const rollout_facts_t *facts,
                                           int64_t now_us);

/* Results of the outstanding action.  READ is NULL if the read failed.  For an
   append that was done, POSITION is that of the record.  The state of ROLLOUT
   may change: compare it before and after, and report a change to all links at
   once.  */
void rollout_coordinator_note_read (rollout_coordinator_t *coordinator,
                                    const rollout_read_t *read,
                                    int64_t now_us);
void rollout_coordinator_note_append (rollout_coordinator_t *coordinator,
                                      rollout_append_result_t result,
                                      store_position_t position,
                                      int64_t now_us);

/* Status that the store is known to have for this order, for logs.  */
rollout_status_state_t
rollout_coordinator_status (const rollout_coordinator_t *coordinator);

/* Such as "rolled_back"; "none" for ROLLOUT_STATUS_NONE.  Static storage.  */
const char *rollout_status_state_name (rollout_status_state_t state);

#endif
