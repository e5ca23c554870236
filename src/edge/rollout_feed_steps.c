#include "edge/rollout_feed_impl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  WAITING_LOG_INTERVAL_US = US_PER_S
};

static const char *
action_name (const rollout_action_t *action)
{
  switch (action->kind)
    {
    case ROLLOUT_ACTION_READ:
      return "read";
    case ROLLOUT_ACTION_APPEND_CLAIM:
      return "claim";
    case ROLLOUT_ACTION_APPEND_STATUS:
      return "status";
    case ROLLOUT_ACTION_NONE:
      break;
    }
  return "none";
}

static const char *
result_name (rollout_append_result_t result)
{
  switch (result)
    {
    case ROLLOUT_APPEND_DONE:
      return "done";
    case ROLLOUT_APPEND_CONFLICT:
      return "conflict";
    case ROLLOUT_APPEND_UNKNOWN:
      break;
    }
  return "unknown";
}

static void
on_read (void *ctx, const rollout_read_t *read)
{
  rollout_entry_t *entry = ctx;
  entry->action.kind = ROLLOUT_ACTION_NONE;
  rollout_coordinator_note_read (entry->coordinator, read,
                                 entry->feed->deps.loop->now_us);
  entry->state_is_known = entry->state_is_known || read != NULL;
  rollout_entry_apply_state (entry, "record in the store");
  rollout_entry_step (entry);
}

static void
on_append (void *ctx, rollout_append_result_t result,
           store_position_t position)
{
  rollout_entry_t *entry = ctx;
  const rollout_action_t *action = &entry->action;
  const rollout_order_t *order = rollout_order (entry->rollout);
  bool is_claim = action->kind == ROLLOUT_ACTION_APPEND_CLAIM;
  event_log_write (
      entry->feed->deps.log, EVENT_LIFECYCLE, "rollout-written",
      "service=%s target=%s record=%s state=%s result=%s at=%lld offset=%lld",
      order->service,
      is_claim ? order->target_version : action->target_version,
      action_name (action),
      is_claim ? rollout_state_name (action->claim.state)
               : rollout_status_state_name (action->status),
      result_name (result), (long long)action->at.offset,
      (long long)position.offset);
  entry->action.kind = ROLLOUT_ACTION_NONE;
  rollout_coordinator_note_append (entry->coordinator, result, position,
                                   entry->feed->deps.loop->now_us);
  rollout_entry_apply_state (entry, "record in the store");
  rollout_entry_step (entry);
}

void
rollout_entry_start_coordinator (rollout_entry_t *entry)
{
  const rollout_feed_deps_t *deps = &entry->feed->deps;
  const char *service = rollout_order (entry->rollout)->service;
  rollout_store_handler_t handler = { on_read, on_append, entry };
  entry->store = rollout_store_new (deps->loop, deps->dialect, deps->store,
                                    deps->log, service, &handler);
  entry->coordinator = rollout_coordinator_new (
      entry->rollout, peer_set_own_vm (deps->peers), deps->incarnation,
      strcmp (service, deps->service) == 0, deps->rng, deps->loop->now_us);
}

void
rollout_entry_stop_coordinator (rollout_entry_t *entry)
{
  rollout_store_free (entry->store);
  rollout_coordinator_free (entry->coordinator);
  entry->store = NULL;
  entry->coordinator = NULL;
}

/* Logs once a second what an overdue step waits for.  */
static void
log_waiting (rollout_entry_t *entry, const rollout_facts_t *facts,
             const char *missing, vm_id_t waiting_for)
{
  const rollout_feed_deps_t *deps = &entry->feed->deps;
  const rollout_order_t *order = rollout_order (entry->rollout);
  int64_t now_us = deps->loop->now_us;
  if (now_us - entry->waiting_logged_us < WAITING_LOG_INTERVAL_US)
    return;
  entry->waiting_logged_us = now_us;
  event_log_write (
      deps->log, EVENT_STATE_CHANGE, "rollout-waiting",
      "service=%s target=%s state=%s evidence=%d missing=\"%s\" slots=%d "
      "drained=%d vm=%llx elapsed-ms=%lld",
      order->service, order->target_version,
      rollout_state_name (rollout_state (entry->rollout)),
      facts->evidence_is_sufficient, missing, facts->has_slots,
      facts->is_drained, (unsigned long long)waiting_for,
      (long long)(rollout_elapsed_us (entry->rollout, now_us) / US_PER_MS));
}

/* Facts are collected only when a step of the claimant depends on them.  */
static void
collect_facts (rollout_entry_t *entry, rollout_facts_t *facts)
{
  int64_t now_us = entry->feed->deps.loop->now_us;
  char missing[ROLLOUT_EXPLANATION_BYTES] = "";
  vm_id_t waiting_for = 0;
  size_t count;
  bool observing = rollout_state (entry->rollout) == ROLLOUT_OBSERVING;
  if (!rollout_coordinator_is_claimant (entry->coordinator)
      || !rollout_entry_is_under_way (entry)
      || (observing && !rollout_observation_is_over (entry->rollout, now_us)))
    return;
  rollout_peer_t *peers = rollout_entry_list_peers (entry, &count);
  if (observing)
    {
      facts->evidence_is_sufficient
          = rollout_evidence_is_sufficient (entry->evidence, missing);
      facts->has_slots = rollout_peers_have_slots (peers, count);
    }
  else
    facts->is_drained
        = rollout_peers_are_drained (peers, count, now_us, &waiting_for);
  free (peers);
  if (observing ? !facts->evidence_is_sufficient || !facts->has_slots
                : !facts->is_drained)
    log_waiting (entry, facts, missing, waiting_for);
}

/* A claimant must be heard by the servers' sidecars.  */
static bool
may_coordinate (const rollout_entry_t *entry)
{
  const rollout_feed_deps_t *deps = &entry->feed->deps;
  const char *service = rollout_order (entry->rollout)->service;
  return strcmp (service, deps->service) == 0
         || placement_has_other_server (deps->placement, service, 0)
         || rollout_coordinator_is_claimant (entry->coordinator);
}

void
rollout_entry_step (rollout_entry_t *entry)
{
  rollout_facts_t facts = { .is_drained = false };
  if (entry->retired || entry->action.kind != ROLLOUT_ACTION_NONE
      || !may_coordinate (entry))
    return;
  collect_facts (entry, &facts);
  rollout_action_t action = rollout_coordinator_next (
      entry->coordinator, &facts, entry->feed->deps.loop->now_us);
  if (action.kind == ROLLOUT_ACTION_NONE)
    return;
  entry->action = action;
  rollout_store_start (entry->store, &action);
}
