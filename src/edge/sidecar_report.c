#include "edge/sidecar_impl.h"

#include <stdio.h>
#include <string.h>

enum
{
  CENTI = 100,
  PERMILLE = 1000
};

/* --- what this sidecar tells the others -------------------------------- */

void
sidecar_own_server (sidecar_t *sidecar, placement_server_t *server)
{
  const server_view_t *view = backend_watch_view (sidecar->watch);
  *server = (placement_server_t){
    .vm = peer_set_own_vm (sidecar->peers),
    .incarnation = sidecar->incarnation,
    .service = sidecar->settings.service,
    .zone = sidecar->settings.zone,
    .server_id = view->id,
    .slots = view->slots,
    .accepting = sidecar->phase == PHASE_RUNNING
                 && backend_watch_is_accepting (sidecar->watch),
    .load = runner_server_load (sidecar->runner),
  };
}

void
sidecar_tell_beliefs (void *ctx)
{
  sidecar_t *sidecar = ctx;
  placement_server_t server;
  sidecar_own_server (sidecar, &server);
  placement_update_server (sidecar->placement, &server, sidecar->loop.now_us);
  peer_set_send_reports (sidecar->peers, true, sidecar->beliefs_far);
  sidecar->beliefs_far = false;
}

void
sidecar_beliefs_changed (void *ctx)
{
  sidecar_t *sidecar = ctx;
  sidecar->beliefs_far = true;
  loop_defer (&sidecar->loop, &sidecar->beliefs);
}

void
sidecar_state_changed (sidecar_t *sidecar)
{
  loop_defer (&sidecar->loop, &sidecar->beliefs);
}

void
sidecar_add_ratio (void *ctx, const char *caller, const char *callee,
                   double ratio)
{
  sidecar_t *sidecar = ctx;
  fleet_tell_t *tell = &sidecar->tell;
  if (tell->ratio_count == REPORT_LIST_MAX)
    return;
  tell->ratios[tell->ratio_count++]
      = (mesh_ratio){ (char *)caller, (char *)callee,
                      (u_int)(ratio * PERMILLE),
                      (u_int)entry_mean_run_us (sidecar->entry, callee) };
}

/* Enters a demand, in place of an older word on the same account.  */
static void
put_demand (mesh_demand *list, uint32_t *count, const mesh_demand *demand)
{
  uint32_t at = 0;
  while (at < *count && list[at].account != demand->account)
    at++;
  if (at == REPORT_LIST_MAX)
    return;
  list[at] = *demand;
  *count += at == *count;
}

void
sidecar_add_demand (void *ctx, const quota_report_t *news)
{
  fleet_tell_t *tell = &((sidecar_t *)ctx)->tell;
  mesh_demand demand
      = { news->account_hash, (u_int)(news->demand_per_s * CENTI),
          news->admitted_count };
  put_demand (tell->near, &tell->near_count, &demand);
  put_demand (tell->far, &tell->far_count, &demand);
}

static void
add_suspect (void *ctx, const suspect_update_t *news)
{
  fleet_tell_t *tell = &((sidecar_t *)ctx)->tell;
  tell->suspects[tell->suspect_count++]
      = (mesh_suspect){ news->fingerprint, news->epoch, news->crashes };
}

static void
take_suspects (sidecar_t *sidecar, const mesh_identity *identity)
{
  for (u_int i = 0; i < identity->suspects.suspects_len; i++)
    {
      const mesh_suspect *suspect = &identity->suspects.suspects_val[i];
      suspect_update_t news
          = { suspect->fingerprint, suspect->epoch, suspect->crashes };
      crash_suspects_merge (sidecar->suspects, &news, sidecar->loop.now_us);
    }
}

void
sidecar_take_ratio (sidecar_t *sidecar, const mesh_ratio *ratio)
{
  call_edge_t edge
      = { ratio->caller, ratio->callee, (double)ratio->permille / PERMILLE,
          ratio->callee_run_us };
  call_graph_update (sidecar->graph, &edge, sidecar->loop.now_us);
}

static void
make_report (void *ctx, mesh_report *report, bool whole, bool far)
{
  sidecar_t *sidecar = ctx;
  fleet_tell_t *tell = &sidecar->tell;
  placement_server_t server;
  sidecar_own_server (sidecar, &server);
  tell->suspect_count = 0;
  if (whole)
    crash_suspects_visit_updates (sidecar->suspects, sidecar->loop.now_us,
                                  add_suspect, sidecar);
  sidecar->identity = (mesh_identity){
    .incarnation = sidecar->incarnation,
    .config_version = operator_feed_config_version (sidecar->operators),
    .operator_offset = operator_feed_offset (sidecar->operators),
    .service = (char *)server.service,
    .zone = (char *)server.zone,
    .server = (char *)server.server_id,
    .accepting = server.accepting,
    .slots = server.slots,
    .suspects = { tell->suspect_count, tell->suspects },
  };
  *report = (mesh_report){
    .identity = whole ? &sidecar->identity : NULL,
    .load = { server.load.running, server.load.queued, server.load.window,
              server.load.pressure_permille, server.load.slowdown_permille },
    .ratios = { tell->ratio_count, tell->ratios },
    .demands = { far ? tell->far_count : tell->near_count,
                 far ? tell->far : tell->near },
  };
}

/* --- what the others tell ---------------------------------------------- */

/* Another sidecar has that state of what the operators published.  */
static void
note_state (sidecar_t *sidecar, vm_id_t vm, bool far, uint64_t version,
            int64_t offset)
{
  if (version > sidecar->newest_version)
    sidecar->newest_version = version;
  if (offset > sidecar->newest_offset)
    sidecar->newest_offset = offset;
  if (version > operator_feed_config_version (sidecar->operators)
      || offset > operator_feed_offset (sidecar->operators))
    catch_up_add_source (&sidecar->catch_up, vm, far, sidecar->loop.now_us);
}

static bool
is_caught_up (const sidecar_t *sidecar)
{
  return operator_feed_config_version (sidecar->operators)
             >= sidecar->newest_version
         && operator_feed_offset (sidecar->operators)
                >= sidecar->newest_offset;
}

static void
take_identity (sidecar_t *sidecar, peer_t *peer, const mesh_identity *identity,
               const server_load_t *load)
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
  };
  placement_update_server (sidecar->placement, &server, sidecar->loop.now_us);
  members_add_peer (sidecar->members, peer_vm (peer));
  take_suspects (sidecar, identity);
  bool far = strcmp (identity->zone, sidecar->settings.zone) != 0;
  peer_mark_cross_zone (peer, far);
  note_state (sidecar, peer_vm (peer), far, identity->config_version,
              identity->operator_offset);
}

static void
on_report (void *ctx, peer_t *peer, const mesh_report *report)
{
  sidecar_t *sidecar = ctx;
  vm_id_t vm = peer_vm (peer);
  server_load_t load
      = { report->load.running, report->load.queued, report->load.window,
          report->load.pressure_permille, report->load.slow_permille };
  if (report->identity != NULL)
    take_identity (sidecar, peer, report->identity, &load);
  else
    placement_update_load (sidecar->placement, vm, &load,
                           sidecar->loop.now_us);
  for (u_int i = 0; i < report->ratios.ratios_len; i++)
    sidecar_take_ratio (sidecar, &report->ratios.ratios_val[i]);
  for (u_int i = 0; i < report->demands.demands_len; i++)
    {
      const mesh_demand *demand = &report->demands.demands_val[i];
      quota_report_t news
          = { demand->account, (double)demand->centi_per_s / CENTI,
              demand->admitted };
      quota_apply_report (sidecar->quota, vm, peer_incarnation (peer), &news);
    }
  quota_set_unreachable (sidecar->quota, vm, false);
}

static void
on_down (void *ctx, peer_t *peer)
{
  sidecar_t *sidecar = ctx;
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "peer-lost", "vm=%llx",
                   (unsigned long long)peer_vm (peer));
  placement_set_unreachable (sidecar->placement, peer_vm (peer),
                             sidecar->loop.now_us);
  quota_set_unreachable (sidecar->quota, peer_vm (peer), true);
}

static void
on_call (void *ctx, peer_stream_t *stream, const call_request_t *call)
{
  sidecar_t *sidecar = ctx;
  serve_call (&sidecar->serve, stream, call);
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
on_want_document (void *ctx, peer_t *peer)
{
  sidecar_t *sidecar = ctx;
  operator_feed_state_t state = operator_feed_state (sidecar->operators);
  mesh_document document = {
    .config_version = state.config_version,
    .operator_offset = state.offset,
    .zones_out = { state.zones_out_count, (mesh_name *)state.zones_out },
    .text = { (u_int)state.config_size, (char *)state.config_text },
  };
  peer_send_document (peer, &document);
}

static void
on_document (void *ctx, peer_t *peer, const mesh_document *document)
{
  sidecar_t *sidecar = ctx;
  (void)peer;
  operator_feed_state_t state = {
    .config_version = document->config_version,
    .offset = document->operator_offset,
    .config_text = document->text.text_val,
    .config_size = document->text.text_len,
  };
  for (u_int i = 0; i < document->zones_out.zones_out_len
                    && state.zones_out_count < ZONES_OUT_MAX;
       i++)
    state.zones_out[state.zones_out_count++]
        = document->zones_out.zones_out_val[i];
  operator_feed_merge (sidecar->operators, &state);
}

void
sidecar_catch_up (sidecar_t *sidecar)
{
  vm_id_t vm;
  if (sidecar->catch_up.count == 0)
    return;
  if (is_caught_up (sidecar))
    {
      catch_up_reset (&sidecar->catch_up);
      return;
    }
  if (!catch_up_next_source (&sidecar->catch_up, sidecar->loop.now_us, &vm))
    return;
  peer_t *peer = peer_set_find (sidecar->peers, vm);
  if (peer == NULL || !peer_is_up (peer))
    return;
  event_log_write (
      &sidecar->log, EVENT_STATE_CHANGE, "document-asked",
      "vm=%llx far=%d version=%llu newest=%llu", (unsigned long long)vm,
      peer_is_cross_zone (peer),
      (unsigned long long)operator_feed_config_version (sidecar->operators),
      (unsigned long long)sidecar->newest_version);
  peer_request_document (peer);
}

peer_handler_t
sidecar_peer_handler (sidecar_t *sidecar)
{
  return (peer_handler_t){
    make_report, on_report,        on_down,     on_call, on_cancel,
    on_credit,   on_want_document, on_document, sidecar,
  };
}
