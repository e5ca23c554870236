#include "edge/sidecar_impl.h"

/* --- roll-outs --------------------------------------------------------- */

static void
update_closed_server (sidecar_t *sidecar)
{
  const server_view_t *view = backend_watch_view (sidecar->backend_watch);
  backend_watch_set_closed (
      sidecar->backend_watch,
      rollout_feed_closes_server (sidecar->rollouts, view->version));
}

static void
on_rollout_changed (void *ctx)
{
  sidecar_t *sidecar = ctx;
  update_closed_server (sidecar);
  sidecar_own_server_changed (sidecar);
}

static void
describe_own_server (void *ctx, placement_server_t *server)
{
  sidecar_describe_own_server (ctx, server);
}

static void
on_run_ended (void *ctx, const run_end_t *end)
{
  const sidecar_t *sidecar = ctx;
  rollout_feed_record_run (sidecar->rollouts, end,
                           server_view_cold_start_until_us (
                               backend_watch_view (sidecar->backend_watch)));
}

/* --- the operators' records -------------------------------------------- */

static void
on_operator_snapshot_begin (void *ctx)
{
  sidecar_t *sidecar = ctx;
  operator_feed_begin_snapshot (sidecar->operator_feed);
  rollout_feed_begin_snapshot (sidecar->rollouts);
}

static void
on_operator_record (void *ctx, const keyed_record_t *record)
{
  sidecar_t *sidecar = ctx;
  operator_feed_apply_record (sidecar->operator_feed, record);
  rollout_feed_apply_record (sidecar->rollouts, record);
}

static void
on_operator_snapshot_end (void *ctx, store_position_t end)
{
  sidecar_t *sidecar = ctx;
  operator_feed_end_snapshot (sidecar->operator_feed, end);
  rollout_feed_end_snapshot (sidecar->rollouts, end);
}

store_handler_t
sidecar_operator_records (sidecar_t *sidecar)
{
  return (store_handler_t){ on_operator_snapshot_begin, on_operator_record,
                            on_operator_snapshot_end, sidecar };
}

/* --- the sidecar --------------------------------------------------------- */

void
sidecar_create_rollouts (sidecar_t *sidecar)
{
  rollout_feed_handler_t handler
      = { on_rollout_changed, describe_own_server, sidecar };
  rollout_feed_deps_t deps = {
    .loop = &sidecar->loop,
    .dialect = sidecar->dialect,
    .rng = &sidecar->rng,
    .log = &sidecar->log,
    .placement = sidecar->placement,
    .peers = sidecar->peers,
    .runner = sidecar->runner,
    .service = sidecar->settings.service,
    .incarnation = sidecar->incarnation,
    .store = sidecar->settings.store,
    .share = sidecar->settings.rollout_share,
  };
  sidecar->rollouts = rollout_feed_new (&deps, &handler);
  entry_set_rollouts (sidecar->entry, sidecar->rollouts);
  runner_set_run_end_callback (sidecar->runner, on_run_ended, sidecar);
}

void
sidecar_tick_rollouts (sidecar_t *sidecar)
{
  rollout_feed_tick (sidecar->rollouts);
  update_closed_server (sidecar);
}
