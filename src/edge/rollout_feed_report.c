#include "edge/rollout_feed_impl.h"

#include <stdlib.h>
#include <string.h>

#include "mesh/vm_array.h"

/* --- what is known of the other sidecars ------------------------------- */

static rollout_peer_state_t *
find_or_add_peer (rollout_entry_t *entry, vm_id_t vm)
{
  size_t index = vm_array_search (entry->peers, entry->peer_count,
                                  sizeof *entry->peers, vm);
  if (index < entry->peer_count && entry->peers[index].vm == vm)
    return &entry->peers[index];
  entry->peers = vm_array_insert (entry->peers, &entry->peer_count,
                                  sizeof *entry->peers, index);
  entry->peers[index] = (rollout_peer_state_t){ .vm = vm };
  return &entry->peers[index];
}

void
rollout_entry_describe_own (const rollout_entry_t *entry,
                            rollout_peer_state_t *state)
{
  const rollout_feed_t *feed = entry->feed;
  const rollout_order_t *order = rollout_order (entry->rollout);
  placement_server_t server;
  feed->handler.describe_own_server (feed->handler.ctx, &server);
  bool is_of_service = strcmp (server.service, order->service) == 0;
  *state = (rollout_peer_state_t){
    .vm = server.vm,
    .server = is_of_service && server.server_id[0] != '\0'
                  ? rollout_entry_server_kind (entry, server.version)
                  : ROLLOUT_SERVER_NONE,
    .accepting = is_of_service && server.accepting,
    .slots = is_of_service ? server.slots : 0,
    .running_count
    = is_of_service ? runner_open_run_count (feed->deps.runner) : 0,
    .state = rollout_state (entry->rollout),
  };
}

static rollout_peer_t
make_peer (const rollout_peer_state_t *state, bool link_up)
{
  return (rollout_peer_t){
    .vm = state->vm,
    .is_old_server = state->server == ROLLOUT_SERVER_OLD,
    .is_new_server = state->server == ROLLOUT_SERVER_NEW,
    .accepting = state->accepting,
    .slots = state->slots,
    .running_count = state->running_count,
    .state = (rollout_state_t)state->state,
    .link_up = link_up,
    .link_down_since_us = state->link_down_since_us,
  };
}

static void
add_linked_peer (void *ctx, peer_t *peer)
{
  if (peer_is_up (peer))
    find_or_add_peer (ctx, peer_vm (peer));
}

rollout_peer_t *
rollout_entry_list_peers (const rollout_entry_t *entry, size_t *count)
{
  rollout_entry_t *known = (rollout_entry_t *)entry;
  peer_set_t *links = entry->feed->deps.peers;
  rollout_peer_state_t own;
  peer_set_each (links, add_linked_peer, known);
  rollout_peer_t *peers = calloc (known->peer_count + 1, sizeof *peers);
  if (peers == NULL)
    abort ();
  for (size_t i = 0; i < known->peer_count; i++)
    {
      const peer_t *link = peer_set_find (links, known->peers[i].vm);
      peers[i]
          = make_peer (&known->peers[i], link != NULL && peer_is_up (link));
    }
  rollout_entry_describe_own (entry, &own);
  peers[known->peer_count] = make_peer (&own, true);
  *count = known->peer_count + 1;
  return peers;
}

void
rollout_feed_note_disconnect (rollout_feed_t *feed, vm_id_t vm)
{
  int64_t now_us = feed->deps.loop->now_us;
  for (uint32_t i = 0; i < feed->entry_count; i++)
    {
      rollout_entry_t *entry = feed->entries[i];
      rollout_coordinator_note_link_down (entry->coordinator, vm, now_us);
      find_or_add_peer (entry, vm)->link_down_since_us = now_us;
    }
}

/* --- outgoing reports -------------------------------------------------- */

static u_int
fill_routes (mesh_rollout_route *routes, const rollout_counts_t *counts)
{
  u_int count = 0;
  for (; count < counts->route_count && count < MESH_ROLLOUT_ROUTES_MAX;
       count++)
    {
      const rollout_route_counts_t *route = &counts->routes[count];
      routes[count] = (mesh_rollout_route){ route->route_hash, route->runs,
                                            route->failed, route->over_2x,
                                            route->over_4x };
    }
  return count;
}

static mesh_rollout_claim *
fill_claim (const rollout_entry_t *entry, mesh_rollout_claim *to)
{
  rollout_claim_t claim;
  int64_t age_us;
  if (!rollout_coordinator_claim (entry->coordinator, &claim, &age_us,
                                  entry->feed->deps.loop->now_us))
    return NULL;
  *to = (mesh_rollout_claim){
    claim.vm,           claim.incarnation,     (u_int)claim.state,
    claim.position.era, claim.position.offset, (u_int)(age_us / US_PER_MS)
  };
  return to;
}

static void
fill_rollout (rollout_feed_t *feed, const rollout_entry_t *entry, u_int index,
              const rollout_peer_state_t *own)
{
  const rollout_order_t *order = rollout_order (entry->rollout);
  int64_t elapsed_us
      = rollout_elapsed_us (entry->rollout, feed->deps.loop->now_us);
  int64_t elapsed_ms = elapsed_us / US_PER_MS;
  mesh_rollout_route *routes = feed->report_routes[index];
  bool counts = own->server != ROLLOUT_SERVER_NONE
                && rollout_entry_is_under_way (entry);
  feed->report_rollouts[index] = (mesh_rollout){
    .service = (char *)order->service,
    .target = (char *)order->target_version,
    .duration_us = order->duration_us,
    .era = order->position.era,
    .offset = order->position.offset,
    .elapsed_ms = elapsed_ms < UINT32_MAX ? (u_int)elapsed_ms : UINT32_MAX,
    .state = own->state,
    .retired = entry->retired,
    .server = own->server,
    .accepting = own->accepting,
    .slots = own->slots,
    .running = own->running_count,
    .claim = fill_claim (entry, &feed->report_claims[index]),
    .routes
    = { counts ? fill_routes (routes, &entry->counter.counts) : 0, routes },
  };
}

/* Adds the roll-outs to the report that are under way, or the others.  */
static u_int
fill_rollouts (rollout_feed_t *feed, bool under_way, bool full, u_int count)
{
  for (uint32_t i = 0; i < feed->entry_count && count < MESH_ROLLOUTS_MAX; i++)
    {
      const rollout_entry_t *entry = feed->entries[i];
      rollout_peer_state_t own;
      if (rollout_entry_is_under_way (entry) != under_way)
        continue;
      rollout_entry_describe_own (entry, &own);
      if (full || own.server != ROLLOUT_SERVER_NONE
          || rollout_coordinator_is_claimant (entry->coordinator))
        fill_rollout (feed, entry, count++, &own);
    }
  return count;
}

void
rollout_feed_fill_report (rollout_feed_t *feed, mesh_report *report, bool full)
{
  u_int count = fill_rollouts (feed, true, full, 0);
  if (full)
    count = fill_rollouts (feed, false, full, count);
  report->rollouts.rollouts_len = count;
  report->rollouts.rollouts_val = feed->report_rollouts;
}

/* --- incoming reports -------------------------------------------------- */

static rollout_order_t
read_order (const mesh_rollout *from)
{
  rollout_order_t order = { .duration_us = from->duration_us,
                            .position = { from->era, from->offset } };
  strncpy (order.service, from->service, sizeof order.service - 1);
  strncpy (order.target_version, from->target,
           sizeof order.target_version - 1);
  return order;
}

static void
apply_counts (rollout_entry_t *entry, vm_id_t vm, uint64_t incarnation,
              const mesh_rollout *from)
{
  rollout_counts_t counts = { .route_count = from->routes.routes_len };
  if (from->server == ROLLOUT_SERVER_NONE
      || !rollout_entry_is_under_way (entry))
    return;
  for (u_int i = 0; i < counts.route_count; i++)
    {
      const mesh_rollout_route *route = &from->routes.routes_val[i];
      counts.routes[i]
          = (rollout_route_counts_t){ route->route_hash, route->runs,
                                      route->failed, route->over_2x,
                                      route->over_4x };
    }
  rollout_evidence_apply (entry->evidence, vm, incarnation,
                          from->server == ROLLOUT_SERVER_NEW, &counts,
                          entry->feed->deps.loop->now_us);
}

static void
apply_claim (rollout_entry_t *entry, const rollout_order_t *order,
             const mesh_rollout_claim *from)
{
  rollout_claim_t claim = {
    .order = *order,
    .vm = from->vm,
    .incarnation = from->incarnation,
    .state = (rollout_state_t)from->state,
    .position = { from->era, from->offset },
  };
  rollout_coordinator_note_claim (entry->coordinator, &claim,
                                  (int64_t)from->age_ms * US_PER_MS,
                                  entry->feed->deps.loop->now_us);
}

static void
apply_rollout (rollout_feed_t *feed, vm_id_t vm, uint64_t incarnation,
               const mesh_rollout *from)
{
  rollout_order_t order = read_order (from);
  int64_t elapsed_us = (int64_t)from->elapsed_ms * US_PER_MS;
  rollout_entry_t *entry
      = rollout_feed_learn (feed, &order, elapsed_us, "report");
  if (entry == NULL)
    return;
  entry->state_is_known = true;
  rollout_note_elapsed (entry->rollout, elapsed_us, feed->deps.loop->now_us);
  rollout_peer_state_t *peer = find_or_add_peer (entry, vm);
  *peer = (rollout_peer_state_t){
    .vm = vm,
    .server = from->server,
    .accepting = from->accepting != 0,
    .slots = from->slots,
    .running_count = from->running,
    .state = from->state,
  };
  if (from->claim != NULL)
    apply_claim (entry, &order, from->claim);
  apply_counts (entry, vm, incarnation, from);
  if (rollout_merge_state (entry->rollout, (rollout_state_t)from->state,
                           ROLLOUT_HALT_REPORTED))
    rollout_entry_apply_state (entry, "report of another sidecar");
  /* The deletion may have been read here before the completion was known.  */
  if (from->retired != 0 && !entry->retired
      && rollout_state (entry->rollout) == ROLLOUT_COMPLETED)
    rollout_entry_retire (entry);
}

static bool
has_rollout (const mesh_report *report, const rollout_entry_t *entry)
{
  const char *service = rollout_order (entry->rollout)->service;
  for (u_int i = 0; i < report->rollouts.rollouts_len; i++)
    if (strcmp (report->rollouts.rollouts_val[i].service, service) == 0)
      return true;
  return false;
}

void
rollout_feed_apply_report (rollout_feed_t *feed, vm_id_t vm,
                           uint64_t incarnation, const mesh_report *report)
{
  for (u_int i = 0; i < report->rollouts.rollouts_len; i++)
    apply_rollout (feed, vm, incarnation, &report->rollouts.rollouts_val[i]);
  for (uint32_t i = 0; i < feed->entry_count; i++)
    {
      rollout_peer_state_t *peer = find_or_add_peer (feed->entries[i], vm);
      peer->link_down_since_us = 0;
      /* A full report has all orders that its sender knows.  */
      if (report->identity != NULL && !has_rollout (report, feed->entries[i]))
        peer->state = 0;
    }
}
