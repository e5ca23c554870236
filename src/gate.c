#include "gate.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  GATE_BUCKETS = 1024,
  GATE_ENTRIES_MAX = 16384
};

/* Kept by name, since indices change with the configuration.  */
typedef struct gate_entry_t
{
  struct gate_entry_t *next;
  uint64_t hash;
  level_view_t view;     /* of a route */
  demand_t demand;       /* of a client account */
  retry_limiter_t ratio; /* of a service */
} gate_entry_t;

struct gate_t
{
  pthread_mutex_t lock; /* guards all below */
  demand_mean_t scale;
  gate_entry_t *buckets[GATE_BUCKETS];
  size_t count;
};

gate_t *
gate_new (void)
{
  gate_t *gate = calloc (1, sizeof *gate);
  pthread_mutex_init (&gate->lock, NULL);
  return gate;
}

static void
clear (gate_t *gate)
{
  for (size_t i = 0; i < GATE_BUCKETS; i++)
    while (gate->buckets[i] != NULL)
      {
        gate_entry_t *entry = gate->buckets[i];
        gate->buckets[i] = entry->next;
        free (entry);
      }
  gate->count = 0;
}

void
gate_free (gate_t *gate)
{
  clear (gate);
  pthread_mutex_destroy (&gate->lock);
  free (gate);
}

/* Names come from the configuration, so the bound is reached only after many
   of them were renamed; then all is learnt anew.  */
static gate_entry_t *
find (gate_t *gate, char kind, const char *name)
{
  uint64_t hash = XXH3_64bits_withSeed (name, strlen (name), (uint64_t)kind);
  gate_entry_t **bucket = &gate->buckets[hash % GATE_BUCKETS];

  for (gate_entry_t *at = *bucket; at != NULL; at = at->next)
    if (at->hash == hash)
      return at;
  if (gate->count == GATE_ENTRIES_MAX)
    clear (gate);
  gate_entry_t *entry = calloc (1, sizeof *entry);
  entry->hash = hash;
  retry_limiter_init (&entry->ratio);
  entry->next = *bucket;
  *bucket = entry;
  gate->count++;
  return entry;
}

uint8_t
gate_rank (gate_t *gate, const char *account, uint32_t weight,
           const char *root, int64_t now_us)
{
  uint64_t root_hash = XXH3_64bits (root, strlen (root));

  pthread_mutex_lock (&gate->lock);
  uint8_t rank = demand_assign_rank (&find (gate, 'a', account)->demand,
                                     &gate->scale, weight, root_hash, now_us);
  pthread_mutex_unlock (&gate->lock);
  return rank;
}

level_value_t
gate_level (gate_t *gate, const char *route, int64_t now_us)
{
  pthread_mutex_lock (&gate->lock);
  level_value_t level
      = level_view_get (&find (gate, 'r', route)->view, now_us);
  pthread_mutex_unlock (&gate->lock);
  return level;
}

void
gate_heard (gate_t *gate, const char *route, level_value_t level,
            int64_t now_us)
{
  pthread_mutex_lock (&gate->lock);
  level_view_update (&find (gate, 'r', route)->view, level, now_us);
  pthread_mutex_unlock (&gate->lock);
}

void
gate_first_try (gate_t *gate, const char *service)
{
  pthread_mutex_lock (&gate->lock);
  retry_limiter_add_first_attempt (&find (gate, 's', service)->ratio);
  pthread_mutex_unlock (&gate->lock);
}

retry_verdict_t
gate_retry (gate_t *gate, const char *service, retry_allowance_t *account,
            const retry_failed_attempt_t *failed)
{
  pthread_mutex_lock (&gate->lock);
  retry_verdict_t verdict
      = retry_decide (account, &find (gate, 's', service)->ratio, failed);
  pthread_mutex_unlock (&gate->lock);
  return verdict;
}
