#include "member.h"

#include <stdlib.h>
#include <string.h>

#include "member_impl.h"

const char *
member_state_name (member_state_t state)
{
  static const char *const names[MEMBER_STATE_COUNT]
      = { "alive", "suspect", "dead", "left" };

  return names[state];
}

member_t *
member_new (const member_config_t *config, int64_t now_us)
{
  member_t *member = calloc (1, sizeof *member);

  if (member == NULL)
    return NULL;
  member->self = config->self;
  member->self.state = MEMBER_ALIVE;
  if (member->self.life == 0)
    member->self.life = member->self.incarnation;
  member->self.sequence = 1;
  member->link = config->link;
  member->rng = config->rng;
  member->change = config->change;
  member->change_ctx = config->change_ctx;
  member->options = config->options;
  member->scope = member_hash_name (member->self.service);
  member->last_us = now_us;
  member->next_probe_us
      = now_us + (int64_t)rng_below (member->rng, MEMBER_PROBE_PERIOD_US);
  for (size_t i = 0; i < config->seed_count; i++)
    member_add_seed (member, config->seeds[i]);
  member_publish_self (member, now_us);
  return member;
}

void
member_free (member_t *member)
{
  if (member == NULL)
    return;
  member->change = NULL;
  member_watch_clear (member);
  member_table_clear (&member->group);
  member_summary_clear (member);
  free (member);
}

void
member_add_seed (member_t *member, vm_id_t seed)
{
  if (seed == 0 || seed == member->self.vm)
    return;
  for (size_t i = 0; i < member->seed_count; i++)
    if (member->seeds[i] == seed)
      return;
  if (member->seed_count < MEMBER_SEEDS_MAX)
    member->seeds[member->seed_count++] = seed;
  else
    member->seeds[rng_below (member->rng, MEMBER_SEEDS_MAX)] = seed;
}

/* After a pause of this VM its peers' silence says nothing about them.  */
static void
notice_pause (member_t *member, int64_t now_us)
{
  int64_t gap_us = now_us - member->last_us;

  if (gap_us > MEMBER_PAUSE_US)
    member_probe_shift (member, gap_us);
  if (gap_us > 0)
    member->last_us = now_us;
}

static void
take_group_news (member_t *member, const member_message *message,
                 int64_t now_us)
{
  for (uint32_t i = 0; i < message->records.records_len; i++)
    {
      member_record_t record;
      if (member_record_from_wire (&message->records.records_val[i], &record)
          && member_hash_name (record.service) == member->scope)
        member_merge_record (member, NULL, &record, now_us);
    }
  for (uint32_t i = 0; i < message->news.news_len; i++)
    member_merge_news (member, NULL, &message->news.news_val[i], now_us);
}

/* Takes what the head of a message says of its sender.  */
static void
take_sender (member_t *member, vm_id_t from, const member_message *message,
             int64_t now_us)
{
  member_entry_t *entry = member_table_find (&member->group, from);
  member_wire_news news = { from, message->incarnation, MEMBER_ALIVE };

  if (entry == NULL)
    return;
  if (message->incarnation > entry->record.incarnation)
    member_merge_news (member, NULL, &news, now_us);
  if (message->incarnation != entry->record.incarnation)
    return;
  entry->record.config_version = message->config_version;
  entry->record.load_permille = (uint16_t)(message->load >> 16);
  entry->record.level = (uint16_t)(message->load & 0xffff);
}

/* Tells a VM that speaks but is held dead, so that it can deny it.  */
static void
tell_dead (member_t *member, vm_id_t from)
{
  const member_entry_t *entry = member_table_find (&member->group, from);
  member_packet_t packet;

  if (entry == NULL || member_entry_live (entry)
      || entry->record.service[0] == '\0')
    return;
  member_packet_begin (member, &packet, MEMBER_OP_NEWS, member->scope);
  member_packet_add_news (&packet, &entry->record);
  member_packet_send (member, &packet, from);
}

static void
receive_group (member_t *member, vm_id_t from, const member_message *message,
               int64_t now_us)
{
  take_group_news (member, message, now_us);
  take_sender (member, from, message, now_us);
  tell_dead (member, from);
  switch (message->op)
    {
    case MEMBER_OP_PING:
    case MEMBER_OP_ACK:
    case MEMBER_OP_PROBE:
      member_probe_receive (member, from, message, now_us);
      break;
    default:
      member_gossip_receive (member, from, message, now_us);
      break;
    }
}

/* A newcomer of another service is told that service's contacts.  */
static void
receive_stranger (member_t *member, vm_id_t from,
                  const member_message *message)
{
  const member_summary_t *summary
      = member_summary_find_scope (member, message->scope);
  member_packet_t packet;

  if (message->op != MEMBER_OP_JOIN)
    return;
  member_packet_begin (member, &packet, MEMBER_OP_EXCHANGE, member->scope);
  packet.message.digest = member_summary_digest (member);
  packet.message.flags = MEMBER_FLAG_ASK;
  if (summary != NULL)
    member_packet_add_summary (&packet, summary);
  member_packet_send (member, &packet, from);
}

static void
dispatch (member_t *member, vm_id_t from, const member_message *message,
          int64_t now_us)
{
  switch (message->op)
    {
    case MEMBER_OP_POLL:
    case MEMBER_OP_POLLED:
      member_watch_receive (member, from, message, now_us);
      break;
    case MEMBER_OP_EXCHANGE:
      member_summary_receive (member, from, message);
      break;
    default:
      if (member->scope != 0 && message->scope == member->scope)
        receive_group (member, from, message, now_us);
      else
        receive_stranger (member, from, message);
      break;
    }
}

bool
member_receive (member_t *member, vm_id_t from, const void *data, size_t size,
                int64_t now_us)
{
  member_message message;

  if (!member_message_decode (&message, data, size))
    return false;
  notice_pause (member, now_us);
  if (from != member->self.vm && from != 0)
    {
      member_watch_heard (member, from);
      dispatch (member, from, &message, now_us);
    }
  member_message_free (&message);
  return true;
}

/* Forgets tombstones that are old, or the oldest while there are too many. */
static void
sweep (member_t *member, int64_t now_us)
{
  member_table_t *table = &member->group;
  vm_id_t oldest = 0;
  int64_t oldest_us = INT64_MAX;

  for (size_t i = 0; i < table->count;)
    {
      const member_entry_t *entry = table->entries[i];
      if (member_entry_live (entry) || entry->news_left > 0)
        {
          i++;
          continue;
        }
      if (entry->due_us <= now_us)
        {
          member->tombstones--;
          member_table_remove (table, entry->record.vm);
          continue;
        }
      if (entry->since_us < oldest_us)
        {
          oldest_us = entry->since_us;
          oldest = entry->record.vm;
        }
      i++;
    }
  if (member->tombstones > MEMBER_TOMBSTONES_MAX && oldest != 0)
    {
      member->tombstones--;
      member_table_remove (table, oldest);
    }
}

int64_t
member_tick (member_t *member, int64_t now_us)
{
  notice_pause (member, now_us);
  if (member->scope != 0)
    {
      member_probe_tick (member, now_us);
      member_gossip_tick (member, now_us);
    }
  if (member->self.state != MEMBER_LEFT)
    {
      member_summary_tick (member, now_us);
      member_watch_tick (member, now_us);
    }
  if (now_us >= member->next_sweep_us && member->tombstones > 0)
    {
      member->next_sweep_us = now_us + MEMBER_SYNC_PERIOD_US;
      sweep (member, now_us);
    }
  return now_us + MEMBER_TICK_US;
}

void
member_leave (member_t *member, int64_t now_us)
{
  if (member->self.state == MEMBER_LEFT)
    return;
  member->self.state = MEMBER_LEFT;
  member_publish_self (member, now_us);
  member->next_gossip_us = now_us;
}

void
member_update_self (member_t *member, const member_record_t *self,
                    int64_t now_us)
{
  member_record_t *own = &member->self;
  bool moved = strcmp (own->service, self->service) != 0;

  if (own->state == MEMBER_LEFT)
    return;
  if (moved && member->scope != 0)
    {
      member_leave (member, now_us);
      member_gossip_tick (member, now_us);
      member_group_clear (member);
    }
  own->state = MEMBER_ALIVE;
  own->leaving = self->leaving;
  own->peer_port = self->peer_port;
  own->listen_port = self->listen_port;
  own->slots = self->slots;
  memcpy (own->service, self->service, NAME_BYTES);
  own->sequence++;
  if (moved)
    {
      own->incarnation++;
      member->scope = member_hash_name (own->service);
    }
  member_publish_self (member, now_us);
  member->next_gossip_us = now_us;
  member->next_join_us = now_us;
}

void
member_update_load (member_t *member, uint16_t load_permille, uint16_t level,
                    doc_version_t config_version)
{
  member_record_t *own = &member->self;
  member_entry_t *entry = member_table_find (&member->group, own->vm);

  own->load_permille = load_permille;
  own->level = level;
  own->config_version = config_version;
  if (entry == NULL)
    return;
  entry->record.load_permille = load_permille;
  entry->record.level = level;
  entry->record.config_version = config_version;
}

const member_record_t *
member_self (const member_t *member)
{
  return &member->self;
}

uint64_t
member_epoch (const member_t *member)
{
  return member->epoch;
}
