#include "mesh/rollout_coordinator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  CLAIM_LAPSE_US = 2 * US_PER_S,
  /* Time for a claimant whose link is down here to be heard through others,
     and for one that was only read in the store to be heard at all.  */
  LINK_DOWN_GRACE_US = 500 * US_PER_MS,
  READ_CLAIM_GRACE_US = US_PER_S,
  /* Sidecars of the service claim first, so that most orders are claimed by
     one of them and the others do not read the store.  */
  PREFERRED_DELAY_MAX_US = 400 * US_PER_MS,
  OTHER_DELAY_MIN_US = 600 * US_PER_MS,
  OTHER_DELAY_MAX_US = US_PER_S,
  /* After 412: another record was appended to the topic.  */
  CONFLICT_DELAY_MAX_US = 100 * US_PER_MS,
  /* After a failure of the store.  Many sidecars without a claim may try.  */
  CLAIMANT_RETRY_MIN_US = 100 * US_PER_MS,
  CLAIMANT_RETRY_MAX_US = 300 * US_PER_MS,
  OTHER_RETRY_MIN_US = US_PER_S,
  OTHER_RETRY_MAX_US = 2 * US_PER_S,
  /* The new version bears all traffic for this long before the old servers
     are given up, so that a fault which shows only then can halt it.  */
  SHIFTING_MIN_US = 1500 * US_PER_MS,
  LINK_DOWN_OMITTED_US = 3 * US_PER_S,
  SLOTS_MIN_PERCENT = 75
};

struct rollout_coordinator_t
{
  rollout_t *rollout;
  vm_id_t vm;
  incarnation_t incarnation;
  bool is_preferred;
  const rng_t *rng;

  rollout_claim_t claim; /* newest one known; CLAIM.VM is 0 if none */
  int64_t claim_heard_us;
  /* Last report of the claimant itself; 0 is none.  Only this is passed on:
     ages that went through several sidecars would lose the time of each
     transmission, and a dead claimant would seem alive in a large fleet.  */
  int64_t claim_direct_us;
  bool is_claimant;
  /* The own claim was not found by the last read and is to be written
     again.  */
  bool claim_is_lost;

  rollout_status_state_t status; /* of this order, in the store */
  bool is_obsolete;              /* the store has a claim of a newer order */
  /* Target of a replaced order whose status is still running; "" if none.  */
  char replaced_target[NAME_BYTES];
  rollout_read_t read;
  bool read_is_valid; /* no append or event since makes it out of date */

  rollout_action_t outstanding;
  int64_t not_before_us;
  bool claim_is_scheduled; /* NOT_BEFORE_US contains the random delay */
  int64_t store_failed_us; /* begin of the present failures; 0 is none */
  int64_t shifting_us;     /* when ROLLOUT_SHIFTING was seen; 0 is never */
};

bool
rollout_peers_are_drained (const rollout_peer_t *peers, size_t count,
                           int64_t now_us, vm_id_t *waiting_for)
{
  for (size_t i = 0; i < count; i++)
    {
      const rollout_peer_t *peer = &peers[i];
      bool knows_state = peer->state == ROLLOUT_SHIFTING
                         || peer->state == ROLLOUT_COMPLETED;
      bool is_closed = !peer->accepting && peer->running_count == 0;
      if (knows_state && (is_closed || !peer->is_old_server))
        continue;
      if (!peer->link_up
          && (!peer->is_old_server
              || now_us - peer->link_down_since_us >= LINK_DOWN_OMITTED_US))
        continue;
      if (waiting_for != NULL)
        *waiting_for = peer->vm;
      return false;
    }
  return true;
}

bool
rollout_peers_have_slots (const rollout_peer_t *peers, size_t count)
{
  uint64_t old_slots = 0;
  uint64_t new_slots = 0;
  for (size_t i = 0; i < count; i++)
    if (peers[i].link_up && peers[i].accepting)
      {
        old_slots += peers[i].is_old_server ? peers[i].slots : 0;
        new_slots += peers[i].is_new_server ? peers[i].slots : 0;
      }
  return new_slots > 0 && new_slots * 100 >= old_slots * SLOTS_MIN_PERCENT;
}

static int64_t
random_between (const rollout_coordinator_t *coordinator, int64_t min_us,
                int64_t max_us)
{
  return min_us
         + (int64_t)rng_below (coordinator->rng, (uint64_t)(max_us - min_us));
}

rollout_coordinator_t *
rollout_coordinator_new (rollout_t *rollout, vm_id_t vm,
                         incarnation_t incarnation, bool is_preferred,
                         const rng_t *rng, int64_t now_us)
{
  rollout_coordinator_t *coordinator = calloc (1, sizeof *coordinator);
  if (coordinator == NULL)
    abort ();
  coordinator->rollout = rollout;
  coordinator->vm = vm;
  coordinator->incarnation = incarnation;
  coordinator->is_preferred = is_preferred;
  coordinator->rng = rng;
  coordinator->not_before_us = now_us;
  return coordinator;
}

void
rollout_coordinator_free (rollout_coordinator_t *coordinator)
{
  free (coordinator);
}

static bool
is_own_claim (const rollout_coordinator_t *coordinator,
              const rollout_claim_t *claim)
{
  return claim->vm == coordinator->vm
         && claim->incarnation == coordinator->incarnation;
}

static bool
is_same_order (const rollout_coordinator_t *coordinator,
               const rollout_claim_t *claim)
{
  return claim->vm != 0
         && rollout_order_relation (rollout_order (coordinator->rollout),
                                    &claim->order)
                == ROLLOUT_ORDER_SAME;
}

/* Takes over CLAIM, which is newer than the known one.  */
static void
adopt_claim (rollout_coordinator_t *coordinator, const rollout_claim_t *claim,
             int64_t heard_us)
{
  coordinator->claim = *claim;
  coordinator->claim_heard_us = heard_us;
  coordinator->claim_direct_us = 0;
  coordinator->is_claimant = is_own_claim (coordinator, claim);
  coordinator->claim_is_lost = false;
}

static bool
is_same_claim (const rollout_claim_t *a, const rollout_claim_t *b)
{
  return a->vm == b->vm && a->incarnation == b->incarnation;
}

void
rollout_coordinator_note_claim (rollout_coordinator_t *coordinator,
                                const rollout_claim_t *claim, int64_t age_us,
                                int64_t now_us)
{
  if (!is_same_order (coordinator, claim) || is_own_claim (coordinator, claim))
    return;
  rollout_claim_t *known = &coordinator->claim;
  int64_t heard_us = now_us - age_us;
  int order = store_position_compare (claim->position, known->position);
  if (known->vm == 0 || (order > 0 && !is_same_claim (known, claim)))
    adopt_claim (coordinator, claim, heard_us);
  else if (is_same_claim (known, claim))
    {
      if (order > 0)
        *known = *claim;
      if (heard_us > coordinator->claim_heard_us)
        coordinator->claim_heard_us = heard_us;
    }
  if (age_us == 0 && is_same_claim (known, claim))
    coordinator->claim_direct_us = now_us;
}

void
rollout_coordinator_note_link_down (rollout_coordinator_t *coordinator,
                                    vm_id_t vm, int64_t now_us)
{
  int64_t latest_us = now_us - CLAIM_LAPSE_US + LINK_DOWN_GRACE_US;
  if (coordinator->claim.vm != vm || coordinator->is_claimant)
    return;
  if (coordinator->claim_heard_us > latest_us)
    coordinator->claim_heard_us = latest_us;
  if (coordinator->claim_direct_us > latest_us)
    coordinator->claim_direct_us = latest_us;
}

static bool
claim_has_lapsed (const rollout_coordinator_t *coordinator, int64_t now_us)
{
  if (coordinator->claim.vm == 0)
    return true;
  if (coordinator->is_claimant)
    return coordinator->store_failed_us != 0
           && now_us - coordinator->store_failed_us >= CLAIM_LAPSE_US;
  return now_us - coordinator->claim_heard_us >= CLAIM_LAPSE_US;
}

bool
rollout_coordinator_claim (const rollout_coordinator_t *coordinator,
                           rollout_claim_t *claim, int64_t *age_us,
                           int64_t now_us)
{
  if (claim_has_lapsed (coordinator, now_us))
    return false;
  int64_t age
      = coordinator->is_claimant ? 0 : now_us - coordinator->claim_direct_us;
  if (age >= CLAIM_LAPSE_US)
    return false;
  *claim = coordinator->claim;
  *age_us = coordinator->is_claimant || age > 0 ? age : 1;
  return true;
}

bool
rollout_coordinator_is_claimant (const rollout_coordinator_t *coordinator)
{
  return coordinator->is_claimant;
}

void
rollout_coordinator_note_era (rollout_coordinator_t *coordinator,
                              int64_t now_us)
{
  coordinator->status = ROLLOUT_STATUS_NONE;
  coordinator->read_is_valid = false;
  coordinator->is_obsolete = false;
  coordinator->claim_is_lost = coordinator->is_claimant;
  coordinator->claim_is_scheduled = false;
  coordinator->not_before_us = now_us;
}

/* The status that the store should have, given the state.  */
static rollout_status_state_t
wanted_status (const rollout_coordinator_t *coordinator,
               const rollout_facts_t *facts, int64_t now_us)
{
  switch (rollout_state (coordinator->rollout))
    {
    case ROLLOUT_COMPLETED:
      return ROLLOUT_STATUS_COMPLETED;
    case ROLLOUT_HALTED:
      return ROLLOUT_STATUS_ROLLED_BACK;
    case ROLLOUT_SHIFTING:
      /* The old servers stop as soon as this is written.  */
      if (facts->is_drained && coordinator->shifting_us != 0
          && now_us - coordinator->shifting_us >= SHIFTING_MIN_US)
        return ROLLOUT_STATUS_COMPLETED;
      return ROLLOUT_STATUS_RUNNING;
    case ROLLOUT_OBSERVING:
      break;
    }
  return ROLLOUT_STATUS_RUNNING;
}

static bool
is_final (rollout_status_state_t status)
{
  return status == ROLLOUT_STATUS_COMPLETED
         || status == ROLLOUT_STATUS_ROLLED_BACK;
}

/* Whether the roll-out has ended and the store says so.  */
static bool
is_settled (const rollout_coordinator_t *coordinator)
{
  if (coordinator->is_obsolete)
    return true;
  rollout_state_t state = rollout_state (coordinator->rollout);
  return (state == ROLLOUT_COMPLETED
          && coordinator->status == ROLLOUT_STATUS_COMPLETED)
         || (state == ROLLOUT_HALTED && is_final (coordinator->status));
}

static bool
may_shift (const rollout_coordinator_t *coordinator,
           const rollout_facts_t *facts, int64_t now_us)
{
  return rollout_state (coordinator->rollout) == ROLLOUT_OBSERVING
         && rollout_observation_is_over (coordinator->rollout, now_us)
         && facts->evidence_is_sufficient && facts->has_slots;
}

/* Returns the outstanding action, which is a read unless one that is still
   valid has been made.  */
static rollout_action_t
start_action (rollout_coordinator_t *coordinator, rollout_action_kind_t kind)
{
  rollout_action_t *action = &coordinator->outstanding;
  action->kind = coordinator->read_is_valid ? kind : ROLLOUT_ACTION_READ;
  action->at = coordinator->read.end;
  coordinator->read_is_valid = false;
  return *action;
}

static rollout_action_t
append_claim (rollout_coordinator_t *coordinator, rollout_state_t state)
{
  coordinator->outstanding.claim
      = (rollout_claim_t){ .order = *rollout_order (coordinator->rollout),
                           .vm = coordinator->vm,
                           .incarnation = coordinator->incarnation,
                           .state = state };
  return start_action (coordinator, ROLLOUT_ACTION_APPEND_CLAIM);
}

static rollout_action_t
append_status (rollout_coordinator_t *coordinator,
               rollout_status_state_t status, const char *target_version)
{
  coordinator->outstanding.status = status;
  snprintf (coordinator->outstanding.target_version,
            sizeof coordinator->outstanding.target_version, "%s",
            target_version);
  return start_action (coordinator, ROLLOUT_ACTION_APPEND_STATUS);
}

static const rollout_action_t no_action = { .kind = ROLLOUT_ACTION_NONE };

/* Steps of the sidecar that holds the claim.  */
static rollout_action_t
next_as_claimant (rollout_coordinator_t *coordinator,
                  const rollout_facts_t *facts, int64_t now_us)
{
  if (coordinator->claim_is_lost)
    return append_claim (coordinator, rollout_state (coordinator->rollout));
  rollout_status_state_t wanted = wanted_status (coordinator, facts, now_us);
  if (wanted != coordinator->status)
    {
      if (coordinator->replaced_target[0] != '\0')
        return append_status (coordinator, ROLLOUT_STATUS_ROLLED_BACK,
                              coordinator->replaced_target);
      return append_status (
          coordinator, wanted,
          rollout_order (coordinator->rollout)->target_version);
    }
  if (may_shift (coordinator, facts, now_us))
    return append_claim (coordinator, ROLLOUT_SHIFTING);
  return no_action;
}

/* Steps of a sidecar without the claim: claim the order if nobody else
   holds it, after a random delay.  */
static rollout_action_t
next_without_claim (rollout_coordinator_t *coordinator, int64_t now_us)
{
  if (!claim_has_lapsed (coordinator, now_us))
    {
      coordinator->claim_is_scheduled = false;
      return no_action;
    }
  if (!coordinator->claim_is_scheduled)
    {
      coordinator->claim_is_scheduled = true;
      coordinator->not_before_us
          = now_us
            + (coordinator->is_preferred
                   ? random_between (coordinator, 0, PREFERRED_DELAY_MAX_US)
                   : random_between (coordinator, OTHER_DELAY_MIN_US,
                                     OTHER_DELAY_MAX_US));
      return no_action;
    }
  return append_claim (coordinator, rollout_state (coordinator->rollout));
}

static void
note_shifting (rollout_coordinator_t *coordinator, int64_t now_us)
{
  if (coordinator->shifting_us == 0
      && rollout_state (coordinator->rollout) == ROLLOUT_SHIFTING)
    coordinator->shifting_us = now_us;
}

rollout_action_t
rollout_coordinator_next (rollout_coordinator_t *coordinator,
                          const rollout_facts_t *facts, int64_t now_us)
{
  note_shifting (coordinator, now_us);
  if (coordinator->outstanding.kind != ROLLOUT_ACTION_NONE
      || is_settled (coordinator) || now_us < coordinator->not_before_us)
    return no_action;
  return coordinator->is_claimant
             ? next_as_claimant (coordinator, facts, now_us)
             : next_without_claim (coordinator, now_us);
}

static void
note_store_failure (rollout_coordinator_t *coordinator, int64_t now_us)
{
  if (coordinator->store_failed_us == 0)
    coordinator->store_failed_us = now_us;
  coordinator->not_before_us
      = now_us
        + (coordinator->is_claimant
               ? random_between (coordinator, CLAIMANT_RETRY_MIN_US,
                                 CLAIMANT_RETRY_MAX_US)
               : random_between (coordinator, OTHER_RETRY_MIN_US,
                                 OTHER_RETRY_MAX_US));
}

/* Applies what the records say of this order to the local state.  */
static void
apply_records (rollout_coordinator_t *coordinator, const rollout_read_t *read)
{
  const rollout_status_t *status = &read->status;
  const rollout_order_t *order = rollout_order (coordinator->rollout);
  coordinator->status = ROLLOUT_STATUS_NONE;
  bool has_own_target
      = strcmp (status->target_version, order->target_version) == 0;
  snprintf (coordinator->replaced_target, sizeof coordinator->replaced_target,
            "%s",
            status->state == ROLLOUT_STATUS_RUNNING && !has_own_target
                ? status->target_version
                : "");
  if (!is_same_order (coordinator, &read->claim))
    return;
  rollout_merge_state (coordinator->rollout, read->claim.state,
                       ROLLOUT_HALT_REPORTED);
  /* The status does not name its order.  A final one belongs to the order of
     the claim that was written before it; an older one may belong to an
     earlier order of the same version.  */
  if (!has_own_target
      || (is_final (status->state)
          && store_position_compare (status->position, read->claim.position)
                 < 0))
    return;
  coordinator->status = status->state;
  if (status->state == ROLLOUT_STATUS_COMPLETED)
    rollout_merge_state (coordinator->rollout, ROLLOUT_COMPLETED,
                         ROLLOUT_NOT_HALTED);
  else if (status->state == ROLLOUT_STATUS_ROLLED_BACK)
    rollout_halt (coordinator->rollout, ROLLOUT_HALT_STATUS);
}

/* Whether nothing is to be written of an order that was deleted or replaced
   before its status was.  */
static bool
was_never_running (const rollout_coordinator_t *coordinator)
{
  rollout_halt_reason_t reason = rollout_halt_reason (coordinator->rollout);
  return coordinator->status == ROLLOUT_STATUS_NONE
         && !coordinator->is_claimant
         && (reason == ROLLOUT_HALT_WITHDRAWN
             || reason == ROLLOUT_HALT_REPLACED);
}

/* Applies the claim of this order that was read.  */
static void
apply_claim (rollout_coordinator_t *coordinator, const rollout_claim_t *claim,
             int64_t now_us)
{
  if (is_own_claim (coordinator, claim))
    adopt_claim (coordinator, claim, now_us);
  else if (store_position_compare (claim->position,
                                   coordinator->claim.position)
               > 0
           || coordinator->claim.vm == 0)
    adopt_claim (coordinator, claim,
                 now_us - CLAIM_LAPSE_US + READ_CLAIM_GRACE_US);
  else if (coordinator->is_claimant)
    coordinator->claim_is_lost = true;
}

void
rollout_coordinator_note_read (rollout_coordinator_t *coordinator,
                               const rollout_read_t *read, int64_t now_us)
{
  coordinator->outstanding.kind = ROLLOUT_ACTION_NONE;
  if (read == NULL)
    {
      note_store_failure (coordinator, now_us);
      return;
    }
  coordinator->store_failed_us = 0;
  coordinator->read = *read;
  coordinator->read_is_valid = true;
  apply_records (coordinator, read);
  if (is_same_order (coordinator, &read->claim))
    apply_claim (coordinator, &read->claim, now_us);
  else
    {
      coordinator->claim_is_lost = coordinator->is_claimant;
      coordinator->is_obsolete
          = read->claim.vm != 0
            && rollout_order_relation (rollout_order (coordinator->rollout),
                                       &read->claim.order)
                   == ROLLOUT_ORDER_NEWER;
    }
  if (was_never_running (coordinator))
    coordinator->is_obsolete = true;
}

/* A record that was appended.  */
static void
apply_append (rollout_coordinator_t *coordinator,
              const rollout_action_t *action, store_position_t position,
              int64_t now_us)
{
  if (action->kind == ROLLOUT_ACTION_APPEND_CLAIM)
    {
      rollout_claim_t claim = action->claim;
      claim.position = position;
      adopt_claim (coordinator, &claim, now_us);
      rollout_merge_state (coordinator->rollout, claim.state,
                           ROLLOUT_HALT_REPORTED);
      note_shifting (coordinator, now_us);
      return;
    }
  if (coordinator->replaced_target[0] != '\0')
    {
      coordinator->replaced_target[0] = '\0';
      return;
    }
  coordinator->status = action->status;
  if (action->status == ROLLOUT_STATUS_COMPLETED)
    rollout_merge_state (coordinator->rollout, ROLLOUT_COMPLETED,
                         ROLLOUT_NOT_HALTED);
}

void
rollout_coordinator_note_append (rollout_coordinator_t *coordinator,
                                 rollout_append_result_t result,
                                 store_position_t position, int64_t now_us)
{
  rollout_action_t action = coordinator->outstanding;
  coordinator->outstanding.kind = ROLLOUT_ACTION_NONE;
  coordinator->read_is_valid = false;
  switch (result)
    {
    case ROLLOUT_APPEND_DONE:
      coordinator->store_failed_us = 0;
      apply_append (coordinator, &action, position, now_us);
      break;
    case ROLLOUT_APPEND_CONFLICT:
      coordinator->store_failed_us = 0;
      coordinator->not_before_us
          = now_us + random_between (coordinator, 0, CONFLICT_DELAY_MAX_US);
      break;
    case ROLLOUT_APPEND_UNKNOWN:
      note_store_failure (coordinator, now_us);
      break;
    }
}

rollout_status_state_t
rollout_coordinator_status (const rollout_coordinator_t *coordinator)
{
  return coordinator->status;
}

const char *
rollout_status_state_name (rollout_status_state_t state)
{
  switch (state)
    {
    case ROLLOUT_STATUS_NONE:
      return "none";
    case ROLLOUT_STATUS_RUNNING:
      return "running";
    case ROLLOUT_STATUS_COMPLETED:
      return "completed";
    case ROLLOUT_STATUS_ROLLED_BACK:
      return "rolled_back";
    }
  return "unknown";
}
