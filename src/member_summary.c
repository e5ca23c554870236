#include "member_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  SUMMARY_WHOLE_MAX = 6,
  LIVE_CHANGE_PERCENT = 10
};

static size_t
lower_bound (const member_summaries_t *table, uint64_t key)
{
  size_t low = 0;
  size_t high = table->count;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (table->items[middle]->key < key)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

member_summary_t *
member_summary_find_scope (const member_t *member, uint32_t scope)
{
  uint64_t key = member_mix (scope);
  size_t i = lower_bound (&member->summaries, key);

  if (scope == 0 || i >= member->summaries.count
      || member->summaries.items[i]->key != key)
    return NULL;
  return member->summaries.items[i];
}

member_summary_t *
member_summary_find (const member_t *member, const char *service)
{
  return member_summary_find_scope (member, member_hash_name (service));
}

static uint64_t
summary_digest (const member_summary_t *summary)
{
  uint64_t hash = member_mix (summary->key ^ summary->version);

  hash = member_mix (hash ^ ((uint64_t)summary->live << 32 | summary->slots));
  for (size_t i = 0; i < summary->contact_count; i++)
    hash = member_mix (hash ^ summary->contacts[i].vm
                       ^ member_mix (summary->contacts[i].life));
  return hash;
}

static member_summary_t *
put (member_t *member, uint64_t key)
{
  member_summaries_t *table = &member->summaries;
  size_t i = lower_bound (table, key);

  if (i < table->count && table->items[i]->key == key)
    return table->items[i];
  if (table->count >= MEMBER_SUMMARY_COUNT_MAX)
    return NULL;
  if (table->count == table->room)
    {
      size_t room = table->room ? table->room * 2 : 8;
      member_summary_t **items
          = realloc (table->items, room * sizeof (member_summary_t *));
      if (items == NULL)
        return NULL;
      table->items = items;
      table->room = room;
    }
  member_summary_t *item = calloc (1, sizeof *item);
  if (item == NULL)
    return NULL;
  item->key = key;
  memmove (&table->items[i + 1], &table->items[i],
           (table->count - i) * sizeof (member_summary_t *));
  table->items[i] = item;
  table->count++;
  return item;
}

vm_id_t
member_summary_contact (const member_t *member,
                        const member_summary_t *summary)
{
  size_t count = summary->contact_count;

  if (count == 0)
    return 0;
  size_t start = rng_below (member->rng, count);
  for (size_t i = 0; i < count; i++)
    {
      vm_id_t vm = summary->contacts[(start + i) % count].vm;
      if (vm != member->self.vm)
        return vm;
    }
  return 0;
}

vm_id_t
member_summary_any (const member_t *member)
{
  const member_summaries_t *table = &member->summaries;
  size_t choices = table->count + (member->seed_count > 0 ? 1 : 0);
  size_t choice = rng_below (member->rng, choices);

  if (choices == 0)
    return 0;
  if (choice < table->count)
    return member_summary_contact (member, table->items[choice]);
  return member->seeds[rng_below (member->rng, member->seed_count)];
}

uint32_t
member_summary_digest (const member_t *member)
{
  uint64_t digest = 0;

  for (size_t i = 0; i < member->summaries.count; i++)
    digest ^= summary_digest (member->summaries.items[i]);
  return (uint32_t)(digest >> 32);
}

static uint32_t
bucket_count (const member_t *member)
{
  return member->summaries.count <= SUMMARY_WHOLE_MAX ? 1 : MEMBER_BUCKETS;
}

static void
bucket_digests (const member_t *member, uint32_t *buckets, uint32_t count)
{
  memset (buckets, 0, count * sizeof *buckets);
  for (size_t i = 0; i < member->summaries.count; i++)
    {
      const member_summary_t *item = member->summaries.items[i];
      buckets[member_bucket (item->key, count)]
          ^= (uint32_t)(summary_digest (item) >> 32);
    }
}

static void
push (member_t *member, const member_summary_t *summary)
{
  for (int i = 0; i < MEMBER_FANOUT; i++)
    {
      member_packet_t packet;
      member_packet_begin (member, &packet, MEMBER_OP_EXCHANGE, member->scope);
      packet.message.digest = member_summary_digest (member);
      member_packet_add_summary (&packet, summary);
      member_packet_send (member, &packet, member_summary_any (member));
    }
}

static bool
is_newer (const member_summary_t *known, const member_summary_t *heard)
{
  if (heard->version != known->version)
    return heard->version > known->version;
  return summary_digest (heard) > summary_digest (known);
}

static void
merge (member_t *member, const member_summary_t *heard)
{
  member_summary_t *known = put (member, heard->key);

  if (known == NULL || !is_newer (known, heard))
    return;
  *known = *heard;
  push (member, known);
}

/* Order in which members are chosen as contacts: largest first.  */
static uint64_t
contact_weight (uint32_t scope, const member_entry_t *entry)
{
  return member_mix (entry->key ^ member_mix (scope));
}

/* The live member of largest weight that is not chosen yet; if FRESH_ZONE, in
   a zone that none of the chosen is in.  */
static const member_entry_t *
best_contact (const member_t *member, const member_summary_t *chosen,
              bool fresh_zone)
{
  const member_entry_t *best = NULL;

  for (size_t i = 0; i < member->group.count; i++)
    {
      const member_entry_t *entry = member->group.entries[i];
      uint64_t weight = contact_weight (member->scope, entry);
      bool taken = false;
      if (!member_entry_live (entry))
        continue;
      for (size_t j = 0; j < chosen->contact_count; j++)
        taken |= chosen->contacts[j].vm == entry->record.vm
                 || (fresh_zone
                     && strcmp (chosen->contacts[j].zone, entry->record.zone)
                            == 0);
      if (!taken
          && (best == NULL || weight > contact_weight (member->scope, best)))
        best = entry;
    }
  return best;
}

static void
choose_contacts (const member_t *member, member_summary_t *summary)
{
  while (summary->contact_count < MEMBER_CONTACTS)
    {
      const member_entry_t *best = best_contact (member, summary, true);
      if (best == NULL)
        best = best_contact (member, summary, false);
      if (best == NULL)
        return;
      member_contact_t *contact = &summary->contacts[summary->contact_count++];
      contact->vm = best->record.vm;
      contact->life = best->record.life;
      memcpy (contact->zone, best->record.zone, NAME_BYTES);
      memcpy (contact->region, best->record.region, NAME_BYTES);
    }
}

static bool
same_contacts (const member_summary_t *a, const member_summary_t *b)
{
  if (a->contact_count != b->contact_count)
    return false;
  for (size_t i = 0; i < a->contact_count; i++)
    if (a->contacts[i].vm != b->contacts[i].vm
        || a->contacts[i].life != b->contacts[i].life)
      return false;
  return true;
}

static bool
near (uint32_t a, uint32_t b)
{
  uint64_t more = a > b ? a : b;
  uint64_t less = a > b ? b : a;

  return (more - less) * 100 <= more * LIVE_CHANGE_PERCENT;
}

/* The first contact of a service keeps its summary.  */
static void
keep_own (member_t *member)
{
  member_summary_t fresh = { 0 };

  if (member->scope == 0 || member->self.state == MEMBER_LEFT)
    return;
  choose_contacts (member, &fresh);
  if (fresh.contact_count == 0 || fresh.contacts[0].vm != member->self.vm)
    return;
  member_summary_t *known = put (member, member_mix (member->scope));
  if (known == NULL)
    return;
  fresh.live = (uint32_t)member->group.live;
  for (size_t i = 0; i < member->group.count; i++)
    if (member_entry_live (member->group.entries[i]))
      fresh.slots += member->group.entries[i]->record.slots;
  if (same_contacts (known, &fresh) && near (known->live, fresh.live)
      && near (known->slots, fresh.slots))
    return;
  fresh.key = known->key;
  fresh.version = known->version + 1;
  memcpy (fresh.service, member->self.service, NAME_BYTES);
  *known = fresh;
  push (member, known);
}

void
member_summary_tick (member_t *member, int64_t now_us)
{
  member_packet_t packet;

  if (now_us < member->next_exchange_us)
    return;
  member->next_exchange_us
      = now_us + MEMBER_EXCHANGE_PERIOD_US * 3 / 4
        + (int64_t)rng_below (member->rng, MEMBER_EXCHANGE_PERIOD_US / 2);
  keep_own (member);
  member_packet_begin (member, &packet, MEMBER_OP_EXCHANGE, member->scope);
  packet.message.digest = member_summary_digest (member);
  packet.message.flags = MEMBER_FLAG_ASK;
  member_packet_send (member, &packet, member_summary_any (member));
}

static void
send_buckets (member_t *member, vm_id_t to, uint32_t flags)
{
  member_packet_t packet;
  uint32_t count = bucket_count (member);

  member_packet_begin (member, &packet, MEMBER_OP_EXCHANGE, member->scope);
  packet.message.digest = member_summary_digest (member);
  packet.message.flags = flags;
  bucket_digests (member, packet.buckets, count);
  member_packet_add_buckets (&packet, count);
  member_packet_send (member, &packet, to);
}

static void
send_differing (member_t *member, vm_id_t to, const member_message *message)
{
  uint32_t count = message->buckets.buckets_len;
  uint32_t own[MEMBER_BUCKETS];
  member_packet_t packet;
  int parts = MEMBER_PARTS_MAX;
  size_t total = member->summaries.count;

  if (count == 0 || count > MEMBER_BUCKETS || total == 0)
    return;
  bucket_digests (member, own, count);
  member_packet_begin (member, &packet, MEMBER_OP_EXCHANGE, member->scope);
  size_t start = rng_below (member->rng, total);
  for (size_t i = 0; i < total && parts > 0; i++)
    {
      const member_summary_t *item
          = member->summaries.items[(start + i) % total];
      uint32_t bucket = member_bucket (item->key, count);
      if (own[bucket] == message->buckets.buckets_val[bucket]
          || member_packet_add_summary (&packet, item))
        continue;
      member_packet_send (member, &packet, to);
      member_packet_begin (member, &packet, MEMBER_OP_EXCHANGE, member->scope);
      member_packet_add_summary (&packet, item);
      parts--;
    }
  if (!member_packet_empty (&packet))
    member_packet_send (member, &packet, to);
}

void
member_summary_receive (member_t *member, vm_id_t from,
                        const member_message *message)
{
  bool has_buckets = message->buckets.buckets_len > 0;

  for (uint32_t i = 0; i < message->summaries.summaries_len; i++)
    {
      member_summary_t heard;
      if (member_summary_from_wire (&message->summaries.summaries_val[i],
                                    &heard))
        merge (member, &heard);
    }
  if (has_buckets)
    send_differing (member, from, message);
  if ((message->flags & MEMBER_FLAG_ASK) != 0
      && message->digest != member_summary_digest (member))
    send_buckets (member, from, has_buckets ? 0 : MEMBER_FLAG_ASK);
}

void
member_summary_clear (member_t *member)
{
  for (size_t i = 0; i < member->summaries.count; i++)
    free (member->summaries.items[i]);
  free (member->summaries.items);
  member->summaries = (member_summaries_t){ 0 };
}
