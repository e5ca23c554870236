#include "member_impl.h"

#include <stdlib.h>
#include <string.h>

static bool
reachable (const member_entry_t *entry)
{
  return member_entry_live (entry) && !entry->unreached;
}

member_watch_t *
member_watch_find (const member_t *member, uint32_t scope)
{
  for (size_t i = 0; i < member->watch_count; i++)
    if (member->watches[i]->scope == scope)
      return member->watches[i];
  return NULL;
}

static void
drop (member_t *member, size_t i)
{
  member_watch_t *watch = member->watches[i];

  for (size_t j = 0; j < watch->table.count; j++)
    if (reachable (watch->table.entries[j]))
      member_announce (member, &watch->table.entries[j]->record,
                       MEMBER_EVENT_DOWN);
  member_table_clear (&watch->table);
  free (watch);
  member->watches[i] = member->watches[--member->watch_count];
}

/* Makes room by dropping the watch that was asked for longest ago.  */
static void
drop_oldest (member_t *member)
{
  size_t oldest = 0;

  for (size_t i = 1; i < member->watch_count; i++)
    if (member->watches[i]->asked_us < member->watches[oldest]->asked_us)
      oldest = i;
  drop (member, oldest);
}

static void
poll (member_t *member, member_watch_t *watch, vm_id_t to, int64_t now_us)
{
  member_packet_t packet;
  uint32_t count = member_table_buckets (&watch->table);

  watch->polled = to;
  watch->polled_us = now_us;
  if (to == 0)
    return;
  member_packet_begin (member, &packet, MEMBER_OP_POLL, watch->scope);
  packet.message.number = ++member->number;
  member_table_digest (&watch->table, packet.buckets, count);
  member_packet_add_buckets (&packet, count);
  member_packet_send (member, &packet, to);
}

/* Whom to poll next: mostly a member that is known, at times a contact.  */
static vm_id_t
choose (const member_t *member, const member_watch_t *watch)
{
  const member_entry_t *entry
      = member_table_random (&watch->table, member->self.vm, member->rng);
  const member_summary_t *summary
      = member_summary_find_scope (member, watch->scope);
  vm_id_t contact
      = summary != NULL ? member_summary_contact (member, summary) : 0;

  if (entry == NULL)
    return contact;
  if (contact != 0 && (entry->unreached || rng_below (member->rng, 4) == 0))
    return contact;
  return entry->record.vm;
}

member_watch_t *
member_watch_ask (member_t *member, const char *service, int64_t now_us)
{
  uint32_t scope = member_hash_name (service);
  member_watch_t *watch = member_watch_find (member, scope);

  if (watch == NULL)
    {
      if (member->watch_count == MEMBER_WATCHES_MAX)
        drop_oldest (member);
      watch = calloc (1, sizeof *watch);
      if (watch == NULL)
        return NULL;
      watch->scope = scope;
      strncpy (watch->service, service, NAME_BYTES - 1);
      member->watches[member->watch_count++] = watch;
      poll (member, watch, choose (member, watch), now_us);
    }
  watch->asked_us = now_us;
  return watch;
}

/* Notes that the polled member did not answer; true while it is to be asked
   again.  */
static bool
missed (member_t *member, member_watch_t *watch, int64_t now_us)
{
  member_entry_t *entry = member_table_find (&watch->table, watch->polled);

  watch->polled = 0;
  if (entry == NULL || entry->unreached)
    return false;
  if (!entry->missed)
    entry->missed_us = now_us;
  entry->missed = true;
  if (now_us - entry->missed_us < MEMBER_UNREACHED_US)
    return true;
  entry->unreached = true;
  if (member_entry_live (entry))
    member_announce (member, &entry->record, MEMBER_EVENT_DOWN);
  return false;
}

/* While the fleet has few services, every daemon watches them all.  */
static void
watch_all (member_t *member, int64_t now_us)
{
  const member_summaries_t *table = &member->summaries;

  if (table->count > MEMBER_AUTO_WATCHES)
    return;
  for (size_t i = 0; i < table->count; i++)
    if (member_hash_name (table->items[i]->service) != member->scope)
      member_watch_ask (member, table->items[i]->service, now_us);
}

static void
forget (member_t *member, int64_t now_us)
{
  for (size_t i = 0; i < member->watch_count;)
    {
      member_watch_t *watch = member->watches[i];
      if (now_us - watch->asked_us > MEMBER_WATCH_IDLE_US
          || watch->scope == member->scope)
        drop (member, i);
      else
        i++;
    }
}

void
member_watch_tick (member_t *member, int64_t now_us)
{
  for (size_t i = 0; i < member->watch_count; i++)
    {
      member_watch_t *watch = member->watches[i];
      if ((watch->polled == 0 && watch->answers > 0)
          || now_us - watch->polled_us < MEMBER_POLL_TIMEOUT_US)
        continue;
      vm_id_t polled = watch->polled;
      bool again = missed (member, watch, now_us);
      poll (member, watch, again ? polled : choose (member, watch), now_us);
    }
  watch_all (member, now_us);
  if (now_us < member->next_poll_us)
    return;
  member->next_poll_us = now_us + MEMBER_POLL_PERIOD_US;
  forget (member, now_us);
  if (member->watch_count == 0)
    return;
  member->watch_next = (member->watch_next + 1) % member->watch_count;
  member_watch_t *watch = member->watches[member->watch_next];
  if (watch->polled == 0)
    poll (member, watch, choose (member, watch), now_us);
}

void
member_watch_heard (member_t *member, vm_id_t from)
{
  for (size_t i = 0; i < member->watch_count; i++)
    {
      member_watch_t *watch = member->watches[i];
      member_entry_t *entry = member_table_find (&watch->table, from);
      if (watch->polled == from)
        watch->polled = 0;
      if (entry == NULL || !entry->missed)
        continue;
      bool was = reachable (entry);
      entry->missed = false;
      entry->unreached = false;
      if (!was && member_entry_live (entry))
        member_announce (member, &entry->record, MEMBER_EVENT_UP);
    }
}

/* Keeps FROM among the pollers, in place of the oldest if need be.  */
static void
note_poller (member_t *member, vm_id_t from, int64_t now_us)
{
  member_poller_t *place = &member->pollers[0];

  for (size_t i = 0; i < MEMBER_POLLERS_MAX; i++)
    {
      member_poller_t *poller = &member->pollers[i];
      if (poller->vm == from)
        {
          place = poller;
          break;
        }
      if (poller->until_us < place->until_us)
        place = poller;
    }
  *place = (member_poller_t){ from, now_us + MEMBER_POLLER_US };
}

static void
push_packet (const member_t *member, member_packet_t *packet, int64_t now_us)
{
  for (size_t i = 0; i < MEMBER_POLLERS_MAX; i++)
    if (member->pollers[i].until_us > now_us)
      member_packet_send (member, packet, member->pollers[i].vm);
}

void
member_watch_push (member_t *member, int64_t now_us)
{
  member_packet_t packet;

  member->push = false;
  member_packet_begin (member, &packet, MEMBER_OP_POLLED, member->scope);
  for (size_t i = 0; i < member->group.count; i++)
    {
      member_entry_t *entry = member->group.entries[i];
      if (!entry->to_push)
        continue;
      bool added = member_entry_live (entry)
                       ? member_packet_add_record (&packet, &entry->record)
                       : member_packet_add_news (&packet, &entry->record);
      /* What finds no room goes with the next tick.  */
      if (added)
        entry->to_push = false;
      else
        member->push = true;
    }
  push_packet (member, &packet, now_us);
}

static void
answer_poll (member_t *member, vm_id_t from, const member_message *message,
             int64_t now_us)
{
  member_packet_t packet;

  if (message->scope == member->scope)
    {
      note_poller (member, from, now_us);
      member_gossip_answer (member, &member->group, member->scope, from,
                            MEMBER_OP_POLLED, message);
      return;
    }
  const member_summary_t *summary
      = member_summary_find_scope (member, message->scope);
  member_packet_begin (member, &packet, MEMBER_OP_EXCHANGE, member->scope);
  packet.message.digest = member_summary_digest (member);
  if (summary != NULL && member_packet_add_summary (&packet, summary))
    member_packet_send (member, &packet, from);
}

void
member_watch_receive (member_t *member, vm_id_t from,
                      const member_message *message, int64_t now_us)
{
  if (message->op == MEMBER_OP_POLL)
    {
      answer_poll (member, from, message, now_us);
      return;
    }
  member_watch_t *watch = member_watch_find (member, message->scope);
  if (watch == NULL)
    return;
  watch->answers++;
  for (uint32_t i = 0; i < message->records.records_len; i++)
    {
      member_record_t record;
      if (member_record_from_wire (&message->records.records_val[i], &record)
          && member_hash_name (record.service) == watch->scope)
        member_merge_record (member, watch, &record, now_us);
    }
  for (uint32_t i = 0; i < message->news.news_len; i++)
    member_merge_news (member, watch, &message->news.news_val[i], now_us);
}

void
member_watch_clear (member_t *member)
{
  while (member->watch_count > 0)
    drop (member, 0);
}
