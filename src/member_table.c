#include "member_table.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
member_mix (uint64_t value)
{
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

uint32_t
member_hash_name (const char *name)
{
  if (name[0] == '\0')
    return 0;
  return (uint32_t)XXH64 (name, strlen (name), 0);
}

void
member_table_clear (member_table_t *table)
{
  for (size_t i = 0; i < table->count; i++)
    free (table->entries[i]);
  free (table->entries);
  *table = (member_table_t){ 0 };
}

/* Index of the first entry whose key is not below KEY.  */
static size_t
lower_bound (const member_table_t *table, uint64_t key)
{
  size_t low = 0;
  size_t high = table->count;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (table->entries[middle]->key < key)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

member_entry_t *
member_table_find (const member_table_t *table, vm_id_t vm)
{
  uint64_t key = member_mix (vm);
  size_t i = lower_bound (table, key);

  if (i < table->count && table->entries[i]->key == key)
    return table->entries[i];
  return NULL;
}

static bool
grow (member_table_t *table)
{
  if (table->count < table->room)
    return true;
  if (table->count >= MEMBER_GROUP_MAX)
    return false;
  size_t room = table->room ? table->room * 2 : 16;
  member_entry_t **entries
      = realloc (table->entries, room * sizeof (member_entry_t *));
  if (entries == NULL)
    return false;
  table->entries = entries;
  table->room = room;
  return true;
}

member_entry_t *
member_table_put (member_table_t *table, vm_id_t vm)
{
  member_entry_t *entry = member_table_find (table, vm);

  if (entry != NULL)
    return entry;
  if (!grow (table))
    return NULL;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->key = member_mix (vm);
  entry->record.vm = vm;
  entry->record.state = MEMBER_DEAD;
  size_t i = lower_bound (table, entry->key);
  memmove (&table->entries[i + 1], &table->entries[i],
           (table->count - i) * sizeof (member_entry_t *));
  table->entries[i] = entry;
  table->count++;
  return entry;
}

void
member_table_remove (member_table_t *table, vm_id_t vm)
{
  uint64_t key = member_mix (vm);
  size_t i = lower_bound (table, key);

  if (i >= table->count || table->entries[i]->key != key)
    return;
  if (member_entry_live (table->entries[i]))
    table->live--;
  member_table_touch (table);
  free (table->entries[i]);
  table->count--;
  memmove (&table->entries[i], &table->entries[i + 1],
           (table->count - i) * sizeof (member_entry_t *));
}

size_t
member_table_after (const member_table_t *table, vm_id_t vm)
{
  uint64_t key = member_mix (vm);

  return key == UINT64_MAX ? 0 : lower_bound (table, key + 1);
}

bool
member_entry_live (const member_entry_t *entry)
{
  return entry->record.state <= MEMBER_SUSPECT;
}

member_entry_t *
member_table_random (const member_table_t *table, vm_id_t self,
                     const rng_t *rng)
{
  if (table->count == 0)
    return NULL;
  size_t start = rng_below (rng, table->count);
  for (size_t i = 0; i < table->count; i++)
    {
      member_entry_t *entry = table->entries[(start + i) % table->count];
      if (member_entry_live (entry) && entry->record.vm != self)
        return entry;
    }
  return NULL;
}

uint32_t
member_table_buckets (const member_table_t *table)
{
  return table->count <= MEMBER_WHOLE_MAX ? 1 : MEMBER_BUCKETS;
}

uint32_t
member_bucket (uint64_t key, uint32_t count)
{
  return (uint32_t)(((unsigned __int128)key * count) >> 64);
}

static uint32_t
entry_digest (const member_entry_t *entry)
{
  const member_record_t *record = &entry->record;
  uint64_t hash = member_mix (entry->key ^ member_mix (record->incarnation));

  hash = member_mix (hash ^ record->life);
  return (uint32_t)(member_mix (hash ^ record->sequence) >> 32);
}

void
member_table_digest (const member_table_t *table, uint32_t *buckets,
                     uint32_t count)
{
  memset (buckets, 0, count * sizeof *buckets);
  for (size_t i = 0; i < table->count; i++)
    {
      const member_entry_t *entry = table->entries[i];
      if (member_entry_live (entry))
        buckets[member_bucket (entry->key, count)] ^= entry_digest (entry);
    }
}

uint32_t
member_table_whole (member_table_t *table)
{
  if (!table->digest_valid)
    {
      member_table_digest (table, &table->digest, 1);
      table->digest_valid = true;
    }
  return table->digest;
}

void
member_table_touch (member_table_t *table)
{
  table->digest_valid = false;
}
