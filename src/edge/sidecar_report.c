#include "edge/sidecar_impl.h"

#include <stdio.h>
#include <string.h>

enum
{
  CENTI_PER_UNIT = 100,
  PERMILLE_PER_UNIT = 1000
};

/* --- outgoing reports -------------------------------------------------- */

void
sidecar_describe_own_server (sidecar_t *sidecar, placement_server_t *server)
{
  const server_view_t *view = backend_watch_view (sidecar->backend_watch);
  *server = (placement_server_t){
    .vm = peer_set_own_vm (sidecar->peers),
    .incarnation = sidecar->incarnation,
    .service = sidecar->settings.service,
    .zone = sidecar->settings.zone,
    .server_id = view->id,
    .slots = view->slots,
    .accepting = sidecar->phase == PHASE_RUNNING
                 && backend_watch_is_accepting (sidecar->backend_watch),
    .load = runner_server_load (sidecar->runner),
    .version = view->version,
  };
}

void
sidecar_send_reports (void *ctx)
{
  sidecar_t *sidecar = ctx;
  placement_server_t server;
  sidecar_describe_own_server (sidecar, &server);
  placement_update_server (sidecar->placement, &server, sidecar->loop.now_us);
  peer_set_send_reports (sidecar->peers, true,
                         sidecar->report_task_cross_zone);
  sidecar->report_task_cross_zone = false;
}

void
sidecar_own_server_changed (void *ctx)
{
  sidecar_t *sidecar = ctx;
  sidecar->report_task_cross_zone = true;
  loop_defer (&sidecar->loop, &sidecar->report_task);
}

void
sidecar_operator_state_changed (sidecar_t *sidecar)
{
  loop_defer (&sidecar->loop, &sidecar->report_task);
}

void
sidecar_add_ratio (void *ctx, const char *caller, const char *callee,
                   double ratio)
{
  sidecar_t *sidecar = ctx;
  pending_report_t *pending = &sidecar->pending_report;
  if (pending->ratio_count == REPORT_LIST_MAX)
    return;
  pending->ratios[pending->ratio_count++]
      = (mesh_ratio){ (char *)caller, (char *)callee,
                      (u_int)(ratio * PERMILLE_PER_UNIT),
                      (u_int)entry_mean_run_us (sidecar->entry, callee) };
}

/* Adds DEMAND to the list DEMANDS, or replaces the entry of the same account.
   Drops it if the list is full.  */
static void
set_demand (mesh_demand *demands, uint32_t *count, const mesh_demand *demand)
{
  uint32_t i = 0;
  while (i < *count && demands[i].account != demand->account)
    i++;
  if (i == REPORT_LIST_MAX)
    return;
  demands[i] = *demand;
  *count += i == *count;
}

void
sidecar_add_demand (void *ctx, const quota_report_t *report)
{
  pending_report_t *pending = &((sidecar_t *)ctx)->pending_report;
  mesh_demand demand
      = { report->account_hash, (u_int)(report->demand_per_s * CENTI_PER_UNIT),
          report->admitted_count };
  set_demand (pending->own_zone_demands, &pending->own_zone_demand_count,
              &demand);
  set_demand (pending->cross_zone_demands, &pending->cross_zone_demand_count,
              &demand);
}

static void
add_suspect (void *ctx, const suspect_update_t *update)
{
  pending_report_t *pending = &((sidecar_t *)ctx)->pending_report;
  pending->suspects[pending->suspect_count++]
      = (mesh_suspect){ update->fingerprint, update->epoch, update->crashes };
}

static void
merge_suspects (sidecar_t *sidecar, const mesh_identity *identity)
{
  for (u_int i = 0; i < identity->suspects.suspects_len; i++)
    {
      const mesh_suspect *suspect = &identity->suspects.suspects_val[i];
      suspect_update_t update
          = { suspect->fingerprint, suspect->epoch, suspect->crashes };
      crash_suspects_merge (sidecar->suspects, &update, sidecar->loop.now_us);
    }
}

void
sidecar_apply_ratio (sidecar_t *sidecar, const mesh_ratio *ratio)
{
  call_edge_report_t edge
      = { ratio->caller, ratio->callee,
          (double)ratio->permille / PERMILLE_PER_UNIT, ratio->callee_run_us };
  call_graph_update (sidecar->graph, &edge, sidecar->loop.now_us);
}

static void
make_report (void *ctx, mesh_report *report, bool full, bool cross_zone)
{
  sidecar_t *sidecar = ctx;
  pending_report_t *pending = &sidecar->pending_report;
  placement_server_t server;
  sidecar_describe_own_server (sidecar, &server);
  pending->suspect_count = 0;
  if (full)
    crash_suspects_visit_updates (sidecar->suspects, sidecar->loop.now_us,
                                  add_suspect, sidecar);
  topic_knowledge_t knowledge
      = operator_feed_knowledge (sidecar->operator_feed);
  sidecar->identity = (mesh_identity){
    .incarnation = sidecar->incarnation,
    .config_version = operator_feed_config_version (sidecar->operator_feed),
    .operator_era = knowledge.next.era,
    .operator_offset = knowledge.next.offset,
    .operator_before_era = knowledge.before.era,
    .operator_before_offset = knowledge.before.offset,
    .service = (char *)server.service,
    .zone = (char *)server.zone,
    .server = (char *)server.server_id,
    .accepting = server.accepting,
    .slots = server.slots,
    .server_version = (char *)server.version,
    .suspects = { pending->suspect_count, pending->suspects },
  };
  *report = (mesh_report){
    .identity = full ? &sidecar->identity : NULL,
    .load = { server.load.running, server.load.queued, server.load.window,
              server.load.pressure_permille, server.load.slowdown_permille },
    .ratios = { pending->ratio_count, pending->ratios },
    .demands
    = { cross_zone ? pending->cross_zone_demand_count
                   : pending->own_zone_demand_count,
        cross_zone ? pending->cross_zone_demands : pending->own_zone_demands },
  };
  rollout_feed_fill_report (sidecar->rollouts, report, full);
}

/* --- incoming reports and documents ------------------------------------ */

/* Records the version and knowledge of the operators' state at the sidecar of
   VM, and adds VM as a source if that state is newer than the local one.  */
static void
record_peer_state (sidecar_t *sidecar, vm_id_t vm, bool cross_zone,
                   uint64_t version, const topic_knowledge_t *knowledge)
{
  if (version > sidecar->newest_version)
    sidecar->newest_version = version;
  topic_knowledge_raise (&sidecar->newest_knowledge, knowledge);
  if (operator_feed_lacks (sidecar->operator_feed, version, knowledge))
    catch_up_add_source (&sidecar->catch_up, vm, cross_zone,
                         sidecar->loop.now_us);
}

static bool
is_caught_up (const sidecar_t *sidecar)
{
  return !operator_feed_lacks (sidecar->operator_feed, sidecar->newest_version,
                               &sidecar->newest_knowledge);
}

static void
apply_identity (sidecar_t *sidecar, peer_t *peer,
                const mesh_identity *identity, const server_load_t *load)
{
  placement_server_t server = {
    .vm = peer_vm (peer),
    .incarnation = identity->incarnation,
    .service = identity->service,
    .zone = identity->zone,
    .server_id = identity->server,
    .slots = identity->slots,
    .accepting = identity->accepting != 0,
    .load = *load,
    .version = identity->server_version,
  };
  placement_update_server (sidecar->placement, &server, sidecar->loop.now_us);
  members_add_peer (sidecar->members, peer_vm (peer));
  merge_suspects (sidecar, identity);
  bool cross_zone = strcmp (identity->zone, sidecar->settings.zone) != 0;
  peer_mark_cross_zone (peer, cross_zone);
  topic_knowledge_t knowledge = {
    { identity->operator_era, identity->operator_offset },
    { identity->operator_before_era, identity->operator_before_offset },
  };
  record_peer_state (sidecar, peer_vm (peer), cross_zone,
                     identity->config_version, &knowledge);
}

static void
on_report (void *ctx, peer_t *peer, const mesh_report *report)
{
  sidecar_t *sidecar = ctx;
  vm_id_t vm = peer_vm (peer);
  server_load_t load
      = { report->load.running, report->load.queued, report->load.window,
          report->load.pressure_permille, report->load.slow_permille };
  rollout_feed_apply_report (sidecar->rollouts, vm, peer_incarnation (peer),
                             report);
  if (report->identity != NULL)
    apply_identity (sidecar, peer, report->identity, &load);
  else
    placement_update_load (sidecar->placement, vm, &load,
                           sidecar->loop.now_us);
  for (u_int i = 0; i < report->ratios.ratios_len; i++)
    sidecar_apply_ratio (sidecar, &report->ratios.ratios_val[i]);
  for (u_int i = 0; i < report->demands.demands_len; i++)
    {
      const mesh_demand *demand = &report->demands.demands_val[i];
      quota_report_t account_report
          = { demand->account, (double)demand->centi_per_s / CENTI_PER_UNIT,
              demand->admitted };
      quota_apply_report (sidecar->quota, vm, peer_incarnation (peer),
                          &account_report);
    }
  quota_set_unreachable (sidecar->quota, vm, false);
}

static void
on_peer_down (void *ctx, peer_t *peer)
{
  sidecar_t *sidecar = ctx;
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "peer-lost", "vm=%llx",
                   (unsigned long long)peer_vm (peer));
  placement_set_unreachable (sidecar->placement, peer_vm (peer),
                             sidecar->loop.now_us);
  quota_set_unreachable (sidecar->quota, peer_vm (peer), true);
  rollout_feed_note_disconnect (sidecar->rollouts, peer_vm (peer));
}

static void
on_call (void *ctx, peer_stream_t *stream, const call_request_t *call)
{
  sidecar_t *sidecar = ctx;
  serve_call (&sidecar->serve_context, stream, call);
}

static void
on_cancel (void *ctx, peer_stream_t *stream)
{
  (void)ctx;
  serve_cancel_call (stream);
}

static void
on_credit (void *ctx, peer_stream_t *stream)
{
  (void)ctx;
  serve_on_credit (stream);
}

static void
on_document_requested (void *ctx, peer_t *peer, uint64_t config_version)
{
  sidecar_t *sidecar = ctx;
  operator_feed_state_t state;
  mesh_zone zones[EVACUATED_ZONES_MAX];
  operator_feed_state (sidecar->operator_feed, &state);
  const topic_knowledge_t *knowledge = &state.zones.knowledge;
  for (uint32_t i = 0; i < state.zones.zone_count; i++)
    {
      const zone_record_t *zone = &state.zones.zones[i];
      zones[i] = (mesh_zone){ .name = (char *)zone->name,
                              .out = zone->out,
                              .written_in_era = zone->written_in_era,
                              .confirmed_era = zone->confirmed_era,
                              .era = zone->position.era,
                              .offset = zone->position.offset };
    }
  mesh_document document = {
    .config_version = state.config_version,
    .operator_era = knowledge->next.era,
    .operator_offset = knowledge->next.offset,
    .operator_before_era = knowledge->before.era,
    .operator_before_offset = knowledge->before.offset,
    .operator_first_end = state.zones.first_end,
    .zones = { state.zones.zone_count, zones },
  };
  /* The document is large, and many sidecars ask after a new era.  */
  if (state.config_version > config_version)
    {
      document.text.text_val = (char *)state.config_text;
      document.text.text_len = (u_int)state.config_size;
    }
  peer_send_document (peer, &document);
}

static void
copy_zone (zone_record_t *to, const mesh_zone *zone)
{
  *to = (zone_record_t){
    .out = zone->out != 0,
    .written_in_era = zone->written_in_era != 0,
    .confirmed_era = zone->confirmed_era,
    .position = { zone->era, zone->offset },
  };
  snprintf (to->name, sizeof to->name, "%s", zone->name);
}

static void
on_document (void *ctx, peer_t *peer, const mesh_document *document)
{
  sidecar_t *sidecar = ctx;
  (void)peer;
  operator_feed_state_t state = {
    .config_version = document->config_version,
    .config_text = document->text.text_val,
    .config_size = document->text.text_len,
    .zones = {
      .knowledge = {
        { document->operator_era, document->operator_offset },
        { document->operator_before_era, document->operator_before_offset },
      },
      .first_end = document->operator_first_end,
    },
  };
  for (u_int i = 0; i < document->zones.zones_len
                    && state.zones.zone_count < EVACUATED_ZONES_MAX;
       i++)
    copy_zone (&state.zones.zones[state.zones.zone_count++],
               &document->zones.zones_val[i]);
  operator_feed_merge (sidecar->operator_feed, &state);
}

void
sidecar_request_operator_state (sidecar_t *sidecar)
{
  vm_id_t vm;
  if (sidecar->catch_up.count == 0)
    return;
  if (is_caught_up (sidecar))
    {
      catch_up_reset (&sidecar->catch_up);
      return;
    }
  if (operator_feed_is_parsing (sidecar->operator_feed))
    return;
  if (!catch_up_next_source (&sidecar->catch_up, sidecar->loop.now_us, &vm))
    return;
  peer_t *peer = peer_set_find (sidecar->peers, vm);
  if (peer == NULL || !peer_is_up (peer))
    return;
  event_log_write (&sidecar->log, EVENT_STATE_CHANGE, "document-asked",
                   "vm=%llx far=%d version=%llu newest=%llu",
                   (unsigned long long)vm, peer_is_cross_zone (peer),
                   (unsigned long long)operator_feed_config_version (
                       sidecar->operator_feed),
                   (unsigned long long)sidecar->newest_version);
  peer_request_document (
      peer, operator_feed_config_version (sidecar->operator_feed));
}

peer_handler_t
sidecar_peer_handler (sidecar_t *sidecar)
{
  return (peer_handler_t){
    make_report, on_report, on_peer_down,          on_call,
    on_cancel,   on_credit, on_document_requested, on_document,
    sidecar,
  };
}
