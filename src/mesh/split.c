#include "mesh/split.h"

uint32_t
split_pick_destination (split_t *split,
                        const policy_destination_t *destinations,
                        uint32_t destination_count)
{
  int64_t weight_sum = 0;
  uint32_t best = 0;
  for (uint32_t i = 0; i < destination_count; i++)
    {
      split->current_weights[i] += destinations[i].weight;
      weight_sum += destinations[i].weight;
      if (split->current_weights[i] > split->current_weights[best])
        best = i;
    }
  split->current_weights[best] -= weight_sum;
  return best;
}
