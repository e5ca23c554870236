#include "edge/entry_impl.h"

bool
exchange_pick_allowed_server (exchange_t *exchange, const vm_id_t *excluded,
                              size_t count, vm_id_t *vm)
{
  const entry_point_t *entry = exchange->entry;
  if (entry->rollouts != NULL)
    return rollout_feed_pick_server (entry->rollouts, exchange->service,
                                     &exchange->attempt, excluded, count, vm);
  return placement_pick_server (entry->deps.placement, exchange->service,
                                excluded, count, entry->deps.loop->now_us, vm);
}

void
exchange_record_send (exchange_t *exchange)
{
  const entry_point_t *entry = exchange->entry;
  placement_record_send (entry->deps.placement, exchange->service,
                         exchange->vm);
  if (entry->rollouts != NULL)
    rollout_feed_record_send (entry->rollouts, exchange->service,
                              &exchange->attempt, exchange->vm);
  exchange->attempt.is_retry = true;
}

bool
exchange_is_observed (const exchange_t *exchange)
{
  const entry_point_t *entry = exchange->entry;
  return entry->rollouts != NULL
         && rollout_feed_observes_server (entry->rollouts, exchange->service,
                                          exchange->vm);
}
