#include "member_impl.h"

static void
said (member_t *member, member_entry_t *entry)
{
  if (--entry->news_left > 0)
    return;
  entry->news_whole = false;
  member->news--;
}

static bool
add_entry (member_packet_t *packet, const member_entry_t *entry)
{
  if (entry->news_whole)
    return member_packet_add_record (packet, &entry->record);
  return member_packet_add_news (packet, &entry->record);
}

void
member_gossip_fill (member_t *member, member_packet_t *packet)
{
  const member_table_t *table = &member->group;

  if (member->news == 0)
    return;
  /* The start is random so that no entry always misses the packet.  */
  size_t start = rng_below (member->rng, table->count);
  for (size_t i = 0; i < table->count && member->news > 0; i++)
    {
      member_entry_t *entry = table->entries[(start + i) % table->count];
      if (entry->news_left == 0)
        continue;
      if (!add_entry (packet, entry))
        return;
      said (member, entry);
    }
}

static void
send_news (member_t *member, vm_id_t to)
{
  member_packet_t packet;

  member_packet_begin (member, &packet, MEMBER_OP_NEWS, member->scope);
  member_gossip_fill (member, &packet);
  if (!member_packet_empty (&packet))
    member_packet_send (member, &packet, to);
}

/* Adds what a peer lacks of one bucket, in as many datagrams as PARTS
   allows.  */
static void
add_differing (const member_t *member, member_packet_t *packet,
               const member_entry_t *entry, uint32_t scope, vm_id_t to,
               member_op op, int *parts)
{
  bool live = member_entry_live (entry);

  for (int attempt = 0; attempt < 2 && *parts > 0; attempt++)
    {
      bool added = live ? member_packet_add_record (packet, &entry->record)
                        : member_packet_add_news (packet, &entry->record);
      if (added)
        return;
      member_packet_send (member, packet, to);
      member_packet_begin (member, packet, op, scope);
      --*parts;
    }
}

void
member_gossip_answer (member_t *member, const member_table_t *table,
                      uint32_t scope, vm_id_t to, member_op op,
                      const member_message *message)
{
  uint32_t count = message->buckets.buckets_len;
  uint32_t own[MEMBER_BUCKETS];
  member_packet_t packet;
  int parts = MEMBER_PARTS_MAX;

  member_packet_begin (member, &packet, op, scope);
  packet.message.number = message->number;
  if (count > 0 && count <= MEMBER_BUCKETS && table->count > 0)
    {
      member_table_digest (table, own, count);
      size_t start = rng_below (member->rng, table->count);
      for (size_t i = 0; i < table->count; i++)
        {
          const member_entry_t *entry
              = table->entries[(start + i) % table->count];
          uint32_t bucket = member_bucket (entry->key, count);
          if (own[bucket] != message->buckets.buckets_val[bucket])
            add_differing (member, &packet, entry, scope, to, op, &parts);
        }
    }
  /* A poll is always answered; that is what keeps the polled member in.  */
  if (op == MEMBER_OP_POLLED || !member_packet_empty (&packet))
    member_packet_send (member, &packet, to);
}

static void
send_sync (member_t *member, vm_id_t to, uint32_t flags)
{
  member_packet_t packet;
  uint32_t count = member_table_buckets (&member->group);

  member_packet_begin (member, &packet, MEMBER_OP_SYNC, member->scope);
  packet.message.flags = flags;
  member_table_digest (&member->group, packet.buckets, count);
  member_packet_add_buckets (&packet, count);
  member_packet_send (member, &packet, to);
}

void
member_gossip_compare (member_t *member, vm_id_t from, uint32_t digest,
                       int64_t now_us)
{
  if (digest == member_table_whole (&member->group))
    {
      member->mismatches = 0;
      return;
    }
  if (++member->mismatches < MEMBER_MISMATCHES
      || now_us < member->next_sync_us)
    return;
  member->mismatches = 0;
  member->next_sync_us = now_us + MEMBER_SYNC_PERIOD_US;
  send_sync (member, from, MEMBER_FLAG_ASK);
}

static void
send_join (member_t *member, vm_id_t to)
{
  member_packet_t packet;
  const member_entry_t *entry = member_table_find (&member->group, to);

  member_packet_begin (member, &packet, MEMBER_OP_JOIN, member->scope);
  member_packet_add_record (&packet, &member->self);
  if (entry != NULL && entry->record.state != MEMBER_ALIVE)
    member_packet_add_news (&packet, &entry->record);
  member_packet_send (member, &packet, to);
}

void
member_gossip_receive (member_t *member, vm_id_t from,
                       const member_message *message, int64_t now_us)
{
  bool ask = (message->flags & MEMBER_FLAG_ASK) != 0;

  if (message->op == MEMBER_OP_JOIN)
    {
      send_sync (member, from, MEMBER_FLAG_ASK);
      member->next_gossip_us = now_us;
      return;
    }
  if (message->op != MEMBER_OP_SYNC)
    return;
  member_gossip_answer (member, &member->group, member->scope, from,
                        MEMBER_OP_NEWS, message);
  if (ask)
    send_sync (member, from, 0);
}

/* Joins through the contacts of this VM's service that it does not know as
   alive, or through a seed while it knows nobody.  */
static void
join (member_t *member)
{
  const member_summary_t *summary
      = member_summary_find (member, member->self.service);

  for (size_t i = 0; summary != NULL && i < summary->contact_count; i++)
    {
      vm_id_t vm = summary->contacts[i].vm;
      const member_entry_t *entry = member_table_find (&member->group, vm);
      if (entry == NULL
          || (!member_entry_live (entry)
              && entry->record.life < summary->contacts[i].life))
        send_join (member, vm);
    }
  if (member->group.live <= 1 && member->seed_count > 0)
    send_join (member,
               member->seeds[rng_below (member->rng, member->seed_count)]);
}

/* Asks one member that is thought dead whether it has come back, so that a
   healed partition is noticed.  */
static void
heal (member_t *member)
{
  const member_table_t *table = &member->group;
  size_t start = rng_below (member->rng, table->count);

  for (size_t i = 0; i < table->count; i++)
    {
      const member_entry_t *entry = table->entries[(start + i) % table->count];
      if (entry->record.state != MEMBER_DEAD)
        continue;
      send_join (member, entry->record.vm);
      return;
    }
}

void
member_gossip_tick (member_t *member, int64_t now_us)
{
  bool left = member->self.state == MEMBER_LEFT;

  if (member->push)
    member_watch_push (member, now_us);
  if (now_us >= member->next_gossip_us && member->news > 0)
    {
      member->next_gossip_us = now_us + MEMBER_GOSSIP_PERIOD_US;
      for (int i = 0; i < MEMBER_FANOUT; i++)
        {
          const member_entry_t *peer = member_table_random (
              &member->group, member->self.vm, member->rng);
          if (peer != NULL)
            send_news (member, peer->record.vm);
        }
    }
  if (now_us >= member->next_join_us && !left)
    {
      member->next_join_us = now_us + MEMBER_JOIN_PERIOD_US;
      join (member);
    }
  if (now_us >= member->next_heal_us && !left)
    {
      member->next_heal_us = now_us + MEMBER_HEAL_PERIOD_US;
      if (member->tombstones > 0)
        heal (member);
    }
}
