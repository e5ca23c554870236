#include "mesh/split.h"

uint32_t
split_pick_destination (split_t *split, const policy_destination_t *parts,
                        uint32_t count)
{
  int64_t sum = 0;
  uint32_t best = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      split->credit[i] += parts[i].weight;
      sum += parts[i].weight;
      if (split->credit[i] > split->credit[best])
        best = i;
    }
  split->credit[best] -= sum;
  return best;
}
