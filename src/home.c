#include "home.h"

#include <string.h>
#include <xxhash.h>

uint64_t
home_key_hash (const char *account, const char *route, const char *key)
{
  /* The final NULs part the fields.  */
  XXH64_hash_t hash = XXH3_64bits (account, strlen (account) + 1);
  hash = XXH3_64bits_withSeed (route, strlen (route) + 1, hash);
  return XXH3_64bits_withSeed (key, strlen (key) + 1, hash);
}

uint64_t
home_weight (uint64_t key_hash, vm_id_t vm)
{
  return XXH3_64bits_withSeed (&vm, sizeof vm, key_hash);
}

vm_id_t
home_pick (uint64_t key_hash, const vm_id_t *members, size_t count)
{
  vm_id_t best = 0;
  uint64_t best_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = home_weight (key_hash, members[i]);
      if (best != 0 && weight < best_weight)
        continue;
      if (best != 0 && weight == best_weight && members[i] < best)
        continue;
      best = members[i];
      best_weight = weight;
    }
  return best;
}
