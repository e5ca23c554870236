#include "edge/rollout_feed_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PPM = 1000000,
  SLOW_FACTOR = 4,
  /* An order that the snapshot of a new era lacks may be written again.  */
  MISSING_ORDER_KEPT_US = 10 * US_PER_S
};

rollout_feed_t *
rollout_feed_new (const rollout_feed_deps_t *deps,
                  const rollout_feed_handler_t *handler)
{
  rollout_feed_t *feed = calloc (1, sizeof *feed);
  if (feed == NULL)
    abort ();
  feed->deps = *deps;
  feed->handler = *handler;
  return feed;
}

static void
entry_close (rollout_entry_t *entry)
{
  rollout_entry_stop_coordinator (entry);
  rollout_evidence_free (entry->evidence);
  rollout_free (entry->rollout);
  free (entry->peers);
  entry->evidence = NULL;
  entry->rollout = NULL;
  entry->peers = NULL;
  entry->peer_count = 0;
}

void
rollout_feed_free (rollout_feed_t *feed)
{
  if (feed == NULL)
    return;
  for (uint32_t i = 0; i < feed->entry_count; i++)
    {
      entry_close (feed->entries[i]);
      free (feed->entries[i]);
    }
  free (feed);
}

rollout_entry_t *
rollout_feed_find (const rollout_feed_t *feed, const char *service)
{
  for (uint32_t i = 0; i < feed->entry_count; i++)
    if (strcmp (rollout_order (feed->entries[i]->rollout)->service, service)
        == 0)
      return feed->entries[i];
  return NULL;
}

rollout_server_t
rollout_entry_server_kind (const rollout_entry_t *entry, const char *version)
{
  return strcmp (version, rollout_order (entry->rollout)->target_version) == 0
             ? ROLLOUT_SERVER_NEW
             : ROLLOUT_SERVER_OLD;
}

bool
rollout_entry_is_under_way (const rollout_entry_t *entry)
{
  rollout_state_t state = rollout_state (entry->rollout);
  return state == ROLLOUT_OBSERVING || state == ROLLOUT_SHIFTING;
}

/* --- states ------------------------------------------------------------ */

static bool
has_turn (void *ctx, uint32_t index, uint32_t count)
{
  const rollout_entry_t *entry = ctx;
  return rollout_is_canary_server (entry->rollout, index, count,
                                   entry->feed->deps.loop->now_us);
}

static void
set_turns (rollout_entry_t *entry)
{
  const rollout_feed_deps_t *deps = &entry->feed->deps;
  if (rollout_state (entry->rollout) != ROLLOUT_OBSERVING)
    return;
  uint32_t count = placement_set_turns (
      deps->placement, rollout_order (entry->rollout)->service, has_turn,
      entry, deps->loop->now_us);
  rollout_note_new_servers (entry->rollout, count);
}

static void
update_placement (rollout_entry_t *entry)
{
  const rollout_feed_deps_t *deps = &entry->feed->deps;
  const rollout_order_t *order = rollout_order (entry->rollout);
  rollout_state_t state = rollout_state (entry->rollout);
  bool shifted = state == ROLLOUT_SHIFTING || state == ROLLOUT_COMPLETED;
  placement_set_halted_version (deps->placement, order->service,
                                entry->halted_version, deps->loop->now_us);
  placement_set_rollout (deps->placement, order->service,
                         entry->retired ? NULL : order->target_version,
                         shifted, deps->loop->now_us);
  set_turns (entry);
}

void
rollout_entry_apply_state (rollout_entry_t *entry, const char *explanation)
{
  rollout_feed_t *feed = entry->feed;
  const rollout_order_t *order = rollout_order (entry->rollout);
  rollout_state_t state = rollout_state (entry->rollout);
  int64_t now_us = feed->deps.loop->now_us;
  if (entry->applied_state == (uint32_t)state)
    return;
  entry->applied_state = state;
  update_placement (entry);
  rollout_totals_t old = rollout_evidence_totals (entry->evidence, false);
  rollout_totals_t new = rollout_evidence_totals (entry->evidence, true);
  event_log_write (
      feed->deps.log, EVENT_LIFECYCLE, "rollout-state",
      "service=%s target=%s state=%s reason=\"%s\" detail=\"%s\" "
      "elapsed-ms=%lld sent=%llu sent-new=%llu old-runs=%llu old-failed=%llu "
      "old-slow=%llu new-runs=%llu new-failed=%llu new-slow=%llu",
      order->service, order->target_version, rollout_state_name (state),
      rollout_halt_reason_name (rollout_halt_reason (entry->rollout)),
      explanation,
      (long long)(rollout_elapsed_us (entry->rollout, now_us) / US_PER_MS),
      (unsigned long long)rollout_total_sends (entry->rollout),
      (unsigned long long)rollout_canary_sends (entry->rollout),
      (unsigned long long)old.runs, (unsigned long long)old.failed,
      (unsigned long long)old.over_4x, (unsigned long long)new.runs,
      (unsigned long long)new.failed, (unsigned long long)new.over_4x);
  /* All sidecars learn an order from the store at about the same time.  */
  if (state != ROLLOUT_OBSERVING)
    feed->handler.on_changed (feed->handler.ctx);
}

/* --- orders ------------------------------------------------------------ */

static void
entry_open (rollout_entry_t *entry, const rollout_order_t *order,
            int64_t elapsed_us, const char *source)
{
  const rollout_feed_deps_t *deps = &entry->feed->deps;
  int64_t now_us = deps->loop->now_us;
  rollout_settings_t settings = { (uint32_t)(deps->share * PPM) };
  entry->rollout = rollout_new (order, &settings, elapsed_us, now_us);
  entry->evidence = rollout_evidence_new ();
  entry->counter = (rollout_counter_t){ .no_response_us = 0 };
  entry->learned_us = now_us;
  entry->state_is_known = false;
  entry->missing_since_us = 0;
  entry->retired = false;
  entry->applied_state = 0;
  entry->action.kind = ROLLOUT_ACTION_NONE;
  rollout_entry_start_coordinator (entry);
  event_log_write (
      deps->log, EVENT_LIFECYCLE, "rollout-ordered",
      "service=%s target=%s duration-ms=%lld era=%u offset=%lld source=%s "
      "elapsed-ms=%lld",
      order->service, order->target_version,
      (long long)(order->duration_us / US_PER_MS), order->position.era,
      (long long)order->position.offset, source,
      (long long)(elapsed_us / US_PER_MS));
  rollout_entry_apply_state (entry, source);
}

/* Replaces the order of ENTRY.  The target version of the previous one counts
   as halted, unless that was completed.  */
static void
entry_replace (rollout_entry_t *entry, const rollout_order_t *order,
               int64_t elapsed_us, const char *source)
{
  char previous[NAME_BYTES];
  snprintf (previous, sizeof previous, "%s",
            rollout_order (entry->rollout)->target_version);
  if (rollout_halt (entry->rollout, ROLLOUT_HALT_REPLACED))
    rollout_entry_apply_state (entry, "a newer order");
  if (rollout_state (entry->rollout) == ROLLOUT_HALTED)
    memcpy (entry->halted_version, previous, sizeof previous);
  if (strcmp (entry->halted_version, order->target_version) == 0)
    entry->halted_version[0] = '\0';
  entry_close (entry);
  entry_open (entry, order, elapsed_us, source);
  entry->feed->handler.on_changed (entry->feed->handler.ctx);
}

/* Returns the index of an entry that is not needed any more, or the number of
   entries if there is none.  After a roll-out that was completed, all servers
   have the target version.  */
static uint32_t
find_ended (const rollout_feed_t *feed)
{
  uint32_t i = 0;
  while (i < feed->entry_count
         && rollout_state (feed->entries[i]->rollout) != ROLLOUT_COMPLETED)
    i++;
  return i;
}

static rollout_entry_t *
add_entry (rollout_feed_t *feed)
{
  rollout_entry_t *entry;
  if (feed->entry_count == ROLLOUT_ENTRIES_MAX)
    {
      uint32_t ended = find_ended (feed);
      if (ended == feed->entry_count)
        return NULL;
      entry = feed->entries[ended];
      entry->retired = true;
      update_placement (entry);
      entry_close (entry);
      *entry = (rollout_entry_t){ .feed = feed };
      return entry;
    }
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  entry->feed = feed;
  feed->entries[feed->entry_count++] = entry;
  return entry;
}

rollout_entry_t *
rollout_feed_learn (rollout_feed_t *feed, const rollout_order_t *order,
                    int64_t elapsed_us, const char *source)
{
  rollout_entry_t *entry = rollout_feed_find (feed, order->service);
  if (entry == NULL)
    {
      entry = add_entry (feed);
      if (entry == NULL)
        {
          feed->orders_rejected++;
          event_log_write (feed->deps.log, EVENT_LIFECYCLE, "rollout-rejected",
                           "service=%s offset=%lld "
                           "error=\"more than %d orders; delete old ones\"",
                           order->service, (long long)order->position.offset,
                           ROLLOUT_ENTRIES_MAX);
          return NULL;
        }
      entry_open (entry, order, elapsed_us, source);
      return entry;
    }
  switch (rollout_order_relation (rollout_order (entry->rollout), order))
    {
    case ROLLOUT_ORDER_SAME:
      rollout_note_position (entry->rollout, order->position);
      entry->missing_since_us = 0;
      return entry;
    case ROLLOUT_ORDER_NEWER:
      entry_replace (entry, order, elapsed_us, source);
      return entry;
    case ROLLOUT_ORDER_OLDER:
      break;
    }
  return NULL;
}

void
rollout_entry_retire (rollout_entry_t *entry)
{
  entry->retired = true;
  update_placement (entry);
  entry->feed->handler.on_changed (entry->feed->handler.ctx);
}

/* The order of ENTRY was deleted, or its record cannot be read any more.  */
static void
withdraw (rollout_entry_t *entry, const char *explanation)
{
  if (rollout_state (entry->rollout) == ROLLOUT_COMPLETED)
    {
      if (entry->retired)
        return;
      rollout_entry_retire (entry);
      return;
    }
  if (rollout_halt (entry->rollout, ROLLOUT_HALT_WITHDRAWN))
    rollout_entry_apply_state (entry, explanation);
}

static bool
is_after_order (const rollout_entry_t *entry, store_position_t position)
{
  return store_position_compare (position,
                                 rollout_order (entry->rollout)->position)
         > 0;
}

void
rollout_feed_begin_snapshot (rollout_feed_t *feed)
{
  for (uint32_t i = 0; i < feed->entry_count; i++)
    feed->entries[i]->seen_in_snapshot = false;
}

void
rollout_feed_apply_record (rollout_feed_t *feed, const keyed_record_t *record)
{
  char service[NAME_BYTES];
  rollout_order_t order;
  error_info_t error = { .kind = ERROR_NONE };
  const rollout_feed_deps_t *deps = &feed->deps;
  if (deps->dialect->operator_record_kind (record, service, sizeof service)
      != OPERATOR_RECORD_ROLLOUT)
    return;
  rollout_entry_t *entry = rollout_feed_find (feed, service);
  bool valid = record->value != NULL
               && deps->dialect->parse_rollout_order (record, service, &order,
                                                      &error);
  if (valid)
    {
      entry = rollout_feed_learn (feed, &order, 0, "store");
      if (entry != NULL)
        entry->seen_in_snapshot = true;
      return;
    }
  if (record->value != NULL)
    {
      feed->orders_rejected++;
      event_log_write (deps->log, EVENT_LIFECYCLE, "rollout-rejected",
                       "service=%s era=%u offset=%lld at=\"%s\" error=\"%s\"",
                       service, record->position.era,
                       (long long)record->position.offset, error.path,
                       error.message);
    }
  if (entry != NULL && is_after_order (entry, record->position))
    withdraw (entry, record->value == NULL ? "the record was deleted"
                                           : "the record is unreadable");
}

/* The statuses are read, and written again if they are missing.  */
static void
note_store_restored (rollout_feed_t *feed)
{
  for (uint32_t i = 0; i < feed->entry_count; i++)
    rollout_coordinator_note_era (feed->entries[i]->coordinator,
                                  feed->deps.loop->now_us);
}

void
rollout_feed_end_snapshot (rollout_feed_t *feed, store_position_t end)
{
  for (uint32_t i = 0; i < feed->entry_count; i++)
    {
      rollout_entry_t *entry = feed->entries[i];
      if (entry->seen_in_snapshot || !is_after_order (entry, end))
        continue;
      if (end.era == rollout_order (entry->rollout)->position.era)
        withdraw (entry, "the store does not have the record");
      else if (entry->missing_since_us == 0)
        entry->missing_since_us = feed->deps.loop->now_us;
    }
  if (end.era > feed->era)
    {
      feed->era = end.era;
      note_store_restored (feed);
    }
}

/* --- timers ------------------------------------------------------------ */

void
rollout_feed_tick (rollout_feed_t *feed)
{
  int64_t now_us = feed->deps.loop->now_us;
  for (uint32_t i = 0; i < feed->entry_count; i++)
    {
      rollout_entry_t *entry = feed->entries[i];
      if (entry->missing_since_us != 0
          && now_us - entry->missing_since_us >= MISSING_ORDER_KEPT_US)
        {
          entry->missing_since_us = 0;
          withdraw (entry, "the restored store does not have the record");
        }
      if (entry->retired)
        continue;
      set_turns (entry);
      rollout_entry_step (entry);
    }
}

void
rollout_feed_evaluate (rollout_feed_t *feed)
{
  const rollout_feed_deps_t *deps = &feed->deps;
  int64_t now_us = deps->loop->now_us;
  for (uint32_t i = 0; i < feed->entry_count; i++)
    {
      rollout_entry_t *entry = feed->entries[i];
      rollout_peer_state_t own;
      char explanation[ROLLOUT_EXPLANATION_BYTES] = "";
      if (!rollout_entry_is_under_way (entry))
        continue;
      rollout_entry_describe_own (entry, &own);
      if (own.server != ROLLOUT_SERVER_NONE)
        rollout_evidence_apply (
            entry->evidence, peer_set_own_vm (deps->peers), deps->incarnation,
            own.server == ROLLOUT_SERVER_NEW, &entry->counter.counts, now_us);
      if (rollout_evidence_verdict (entry->evidence, now_us, explanation)
              != ROLLOUT_VERDICT_OPEN
          && rollout_halt (entry->rollout, ROLLOUT_HALT_EVIDENCE))
        rollout_entry_apply_state (entry, explanation);
    }
}

/* --- attempts ---------------------------------------------------------- */

bool
rollout_feed_pick_server (rollout_feed_t *feed, const char *service,
                          rollout_attempt_t *attempt, const vm_id_t *exclude,
                          size_t exclude_count, vm_id_t *vm)
{
  const rollout_feed_deps_t *deps = &feed->deps;
  const rollout_entry_t *entry
      = feed->entry_count > 0 ? rollout_feed_find (feed, service) : NULL;
  attempt->had_new_server = false;
  if (entry == NULL || entry->retired)
    return placement_pick_server (deps->placement, service, exclude,
                                  exclude_count, deps->loop->now_us, vm);
  vm_id_t new_vm;
  bool observing = rollout_state (entry->rollout) == ROLLOUT_OBSERVING;
  bool has_new = (entry->state_is_known || !observing)
                 && placement_pick_new_server (deps->placement, service,
                                               exclude, exclude_count,
                                               deps->loop->now_us, &new_vm);
  attempt->had_new_server = has_new;
  if (rollout_pick (entry->rollout, attempt->is_retry, has_new)
      == ROLLOUT_USE_OLD)
    return placement_pick_server (deps->placement, service, exclude,
                                  exclude_count, deps->loop->now_us, vm);
  if (has_new)
    *vm = new_vm;
  return has_new;
}

void
rollout_feed_record_send (rollout_feed_t *feed, const char *service,
                          const rollout_attempt_t *attempt, vm_id_t vm)
{
  rollout_entry_t *entry
      = feed->entry_count > 0 ? rollout_feed_find (feed, service) : NULL;
  if (entry == NULL)
    return;
  bool is_new = placement_is_new_server (feed->deps.placement, service, vm);
  rollout_record_send (entry->rollout,
                       is_new ? ROLLOUT_USE_NEW : ROLLOUT_USE_OLD,
                       attempt->is_retry, attempt->had_new_server);
}

bool
rollout_feed_observes_server (const rollout_feed_t *feed, const char *service,
                              vm_id_t vm)
{
  const rollout_entry_t *entry
      = feed->entry_count > 0 ? rollout_feed_find (feed, service) : NULL;
  return entry != NULL && rollout_state (entry->rollout) == ROLLOUT_OBSERVING
         && placement_is_new_server (feed->deps.placement, service, vm);
}

/* --- the own server ---------------------------------------------------- */

bool
rollout_feed_closes_server (const rollout_feed_t *feed, const char *version)
{
  const rollout_entry_t *entry = rollout_feed_find (feed, feed->deps.service);
  if (entry == NULL || entry->retired || version[0] == '\0')
    return false;
  bool is_new
      = rollout_entry_server_kind (entry, version) == ROLLOUT_SERVER_NEW;
  if (!is_new && strcmp (version, entry->halted_version) == 0)
    return true;
  switch (rollout_state (entry->rollout))
    {
    case ROLLOUT_OBSERVING:
      return false;
    case ROLLOUT_HALTED:
      return is_new;
    case ROLLOUT_SHIFTING:
    case ROLLOUT_COMPLETED:
      return !is_new;
    }
  return false;
}

/* Returns false if the end tells nothing of the server.  A cancelled run was
   often overdue: it counts only if it was slow already, in either version.  */
static bool
run_result (const run_end_t *end, int64_t run_us, rollout_run_result_t *result)
{
  switch (end->kind)
    {
    case RUN_END_REPLY:
      *result
          = end->status >= 500 ? ROLLOUT_RUN_FAILED : ROLLOUT_RUN_SUCCEEDED;
      return true;
    case RUN_END_INVALID:
      *result = ROLLOUT_RUN_FAILED;
      return true;
    case RUN_END_NO_RESPONSE:
      *result = ROLLOUT_RUN_NO_RESPONSE;
      return true;
    case RUN_END_CANCELLED:
      *result = ROLLOUT_RUN_SUCCEEDED;
      return end->expected_run_us > 0
             && run_us > end->expected_run_us * SLOW_FACTOR;
    }
  return false;
}

void
rollout_feed_record_run (rollout_feed_t *feed, const run_end_t *end,
                         int64_t cold_start_until_us)
{
  int64_t now_us = feed->deps.loop->now_us;
  int64_t run_us = now_us - end->began_us;
  rollout_entry_t *entry = feed->entry_count > 0
                               ? rollout_feed_find (feed, feed->deps.service)
                               : NULL;
  rollout_run_result_t result;
  if (entry == NULL || end->began_us < entry->learned_us
      || !run_result (end, run_us, &result))
    return;
  rollout_evidence_note_route (entry->evidence, end->route);
  rollout_counter_record_run (&entry->counter, end->route, result, run_us,
                              end->expected_run_us,
                              end->began_us < cold_start_until_us, now_us);
}

/* --- metrics ----------------------------------------------------------- */

static void
write_entry_metrics (const rollout_entry_t *entry, bytes_t *out)
{
  const rollout_order_t *order = rollout_order (entry->rollout);
  rollout_totals_t old = rollout_evidence_totals (entry->evidence, false);
  rollout_totals_t new = rollout_evidence_totals (entry->evidence, true);
  const struct
  {
    const char *name;
    const char *label;
    uint64_t value;
  } rows[] = {
    { "rollout_state", "", rollout_state (entry->rollout) },
    { "rollout_claimant", "",
      rollout_coordinator_is_claimant (entry->coordinator) },
    { "rollout_sends_total", "", rollout_total_sends (entry->rollout) },
    { "rollout_canary_sends_total", "",
      rollout_canary_sends (entry->rollout) },
    { "rollout_runs_total", ",version=\"old\"", old.runs },
    { "rollout_runs_total", ",version=\"new\"", new.runs },
    { "rollout_failed_runs_total", ",version=\"old\"", old.failed },
    { "rollout_failed_runs_total", ",version=\"new\"", new.failed },
    { "rollout_slow_runs_total", ",version=\"old\"", old.over_4x },
    { "rollout_slow_runs_total", ",version=\"new\"", new.over_4x },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    bytes_append_format (
        out, "redwingford_%s{service=\"%s\",target=\"%s\"%s} %llu\n",
        rows[i].name, order->service, order->target_version, rows[i].label,
        (unsigned long long)rows[i].value);
}

void
rollout_feed_write_metrics (const rollout_feed_t *feed, bytes_t *out)
{
  bytes_append_format (out, "redwingford_rollout_orders_rejected_total %llu\n",
                       (unsigned long long)feed->orders_rejected);
  for (uint32_t i = 0; i < feed->entry_count; i++)
    write_entry_metrics (feed->entries[i], out);
}
