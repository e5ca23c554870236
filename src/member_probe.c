#include "member_impl.h"

static member_probe_t *
free_probe (member_t *member)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    if (member->probes[i].target == 0)
      return &member->probes[i];
  return NULL;
}

static bool
is_probed (const member_t *member, vm_id_t vm)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    if (member->probes[i].target == vm)
      return true;
  return false;
}

/* A ping or acknowledgement; what is said of its receiver goes first.  */
static void
send_probe (member_t *member, member_op op, uint32_t number, vm_id_t to,
            vm_id_t subject)
{
  member_packet_t packet;
  const member_entry_t *entry = member_table_find (&member->group, to);

  member_packet_begin (member, &packet, op, member->scope);
  packet.message.number = number;
  packet.message.subject = subject;
  packet.message.digest = member_table_whole (&member->group);
  if (entry != NULL && entry->record.state != MEMBER_ALIVE)
    member_packet_add_news (&packet, &entry->record);
  member_gossip_fill (member, &packet);
  member_packet_send (member, &packet, to);
}

static void
start_probe (member_t *member, vm_id_t target, vm_id_t asker,
             uint32_t asker_number, int64_t now_us)
{
  member_probe_t *probe = free_probe (member);

  if (probe == NULL)
    return;
  *probe = (member_probe_t){ .target = target,
                             .asker = asker,
                             .asker_number = asker_number,
                             .number = ++member->number,
                             .sent_us = now_us };
  send_probe (member, MEMBER_OP_PING, probe->number, target, 0);
}

/* The next member in the ring that is alive and not being probed.  */
static member_entry_t *
ring_successor (const member_t *member)
{
  const member_table_t *table = &member->group;
  size_t start = member_table_after (table, member->self.vm);

  for (size_t i = 0; i < table->count; i++)
    {
      member_entry_t *entry = table->entries[(start + i) % table->count];
      if (entry->record.vm == member->self.vm)
        return NULL;
      if (entry->record.state == MEMBER_ALIVE
          && !is_probed (member, entry->record.vm))
        return entry;
    }
  return NULL;
}

static void
probe_next (member_t *member, bool ring, int64_t now_us)
{
  const member_entry_t *entry
      = ring ? ring_successor (member)
             : member_table_random (&member->group, member->self.vm,
                                    member->rng);

  if (entry != NULL && !is_probed (member, entry->record.vm))
    start_probe (member, entry->record.vm, 0, 0, now_us);
}

static void
ask_helpers (member_t *member, const member_probe_t *probe)
{
  for (int i = 0; i < MEMBER_HELPERS; i++)
    {
      const member_entry_t *helper
          = member_table_random (&member->group, member->self.vm, member->rng);
      if (helper != NULL && helper->record.vm != probe->target)
        send_probe (member, MEMBER_OP_PROBE, probe->number, helper->record.vm,
                    probe->target);
    }
}

static void
suspect (member_t *member, vm_id_t vm, int64_t now_us)
{
  member_entry_t *entry = member_table_find (&member->group, vm);

  if (entry == NULL || entry->record.state != MEMBER_ALIVE)
    return;
  member_set_state (member, entry, MEMBER_SUSPECT, now_us);
  entry->accused = true;
  member->next_gossip_us = now_us;
  send_probe (member, MEMBER_OP_PING, ++member->number, vm, 0);
}

static void
advance_probe (member_t *member, member_probe_t *probe, int64_t now_us)
{
  int64_t age_us = now_us - probe->sent_us;

  if (!probe->repeated && age_us >= MEMBER_PROBE_REPEAT_US)
    {
      probe->repeated = true;
      send_probe (member, MEMBER_OP_PING, probe->number, probe->target, 0);
    }
  if (!probe->helped && probe->asker == 0 && age_us >= MEMBER_PROBE_DIRECT_US)
    {
      probe->helped = true;
      ask_helpers (member, probe);
      probe_next (member, true, now_us);
    }
  if (age_us < MEMBER_PROBE_TIMEOUT_US)
    return;
  vm_id_t target = probe->target;
  bool own = probe->asker == 0;
  probe->target = 0;
  if (own)
    suspect (member, target, now_us);
}

/* Ends the suspicions that were not denied in time and repeats those of this
   VM to the members they are about.  */
static void
advance_suspects (member_t *member, int64_t now_us)
{
  bool accuse = now_us >= member->next_accuse_us;

  if (accuse)
    member->next_accuse_us = now_us + MEMBER_ACCUSE_PERIOD_US;
  for (size_t i = 0; i < member->group.count && member->suspects > 0; i++)
    {
      member_entry_t *entry = member->group.entries[i];
      if (entry->record.state != MEMBER_SUSPECT)
        continue;
      if (now_us >= entry->due_us)
        member_set_state (member, entry, MEMBER_DEAD, now_us);
      else if (accuse && entry->accused)
        send_probe (member, MEMBER_OP_PING, ++member->number, entry->record.vm,
                    0);
    }
}

void
member_probe_tick (member_t *member, int64_t now_us)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    if (member->probes[i].target != 0)
      advance_probe (member, &member->probes[i], now_us);
  if (member->suspects > 0)
    advance_suspects (member, now_us);
  if (now_us < member->next_probe_us)
    return;
  member->next_probe_us = now_us + MEMBER_PROBE_PERIOD_US;
  probe_next (member, member->ring_turn, now_us);
  member->ring_turn = !member->ring_turn;
}

void
member_probe_shift (member_t *member, int64_t gap_us)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    member->probes[i].sent_us += gap_us;
  for (size_t i = 0; i < member->group.count; i++)
    if (member->group.entries[i]->record.state == MEMBER_SUSPECT)
      member->group.entries[i]->due_us += gap_us;
}

static void
acknowledged (member_t *member, vm_id_t from, uint32_t number, vm_id_t subject)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    {
      member_probe_t *probe = &member->probes[i];
      if (probe->target == 0 || probe->number != number)
        continue;
      if (probe->target != from && probe->target != subject)
        continue;
      if (probe->asker != 0)
        send_probe (member, MEMBER_OP_ACK, probe->asker_number, probe->asker,
                    probe->target);
      probe->target = 0;
    }
}

void
member_probe_receive (member_t *member, vm_id_t from,
                      const member_message *message, int64_t now_us)
{
  switch (message->op)
    {
    case MEMBER_OP_PING:
      send_probe (member, MEMBER_OP_ACK, message->number, from, 0);
      break;
    case MEMBER_OP_ACK:
      acknowledged (member, from, message->number, message->subject);
      break;
    case MEMBER_OP_PROBE:
      if (message->subject == member->self.vm)
        send_probe (member, MEMBER_OP_ACK, message->number, from, 0);
      else
        start_probe (member, message->subject, from, message->number, now_us);
      break;
    default:
      break;
    }
  member_gossip_compare (member, from, message->digest, now_us);
}
