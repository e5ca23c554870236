#include "member_impl.h"

#include <string.h>

static uint16_t
news_rounds (size_t live)
{
  uint16_t rounds = 10;

  for (; live > 1; live /= 2)
    rounds++;
  return rounds;
}

void
member_make_news (member_t *member, member_entry_t *entry, bool whole)
{
  if (entry->news_left == 0)
    member->news++;
  entry->news_left = news_rounds (member->group.live);
  entry->news_whole = whole || entry->news_whole;
  if (whole || !member_entry_live (entry))
    {
      entry->to_push = true;
      member->push = true;
    }
}

void
member_announce (member_t *member, const member_record_t *record,
                 member_event_t event)
{
  member->epoch++;
  if (member->change != NULL)
    member->change (member->change_ctx, record, event);
}

/* Keeps the counts of a table in step with a state.  */
static void
count_state (member_t *member, member_watch_t *watch, member_entry_t *entry,
             member_state_t state)
{
  member_table_t *table = watch ? &watch->table : &member->group;
  bool was = member_entry_live (entry);
  bool is = state <= MEMBER_SUSPECT;

  table->live += (size_t)is - (size_t)was;
  if (watch != NULL)
    return;
  member->suspects += (size_t)(state == MEMBER_SUSPECT)
                      - (size_t)(entry->record.state == MEMBER_SUSPECT);
  member->tombstones += (size_t)!is - (size_t)!was;
}

static void
change_state (member_t *member, member_watch_t *watch, member_entry_t *entry,
              member_state_t state, int64_t now_us)
{
  bool was = member_entry_live (entry);
  bool is = state <= MEMBER_SUSPECT;

  count_state (member, watch, entry, state);
  member_table_touch (watch ? &watch->table : &member->group);
  entry->record.state = state;
  entry->since_us = now_us;
  entry->accused = false;
  entry->due_us
      = now_us + (is ? (int64_t)MEMBER_SUSPECT_US : MEMBER_TOMBSTONE_US);
  if (was && !is)
    member_announce (member, &entry->record, MEMBER_EVENT_DOWN);
  else if (!was && is)
    member_announce (member, &entry->record, MEMBER_EVENT_UP);
}

void
member_set_state (member_t *member, member_entry_t *entry,
                  member_state_t state, int64_t now_us)
{
  change_state (member, NULL, entry, state, now_us);
  member_make_news (member, entry, false);
}

void
member_publish_self (member_t *member, int64_t now_us)
{
  if (member->scope == 0)
    return;
  member_entry_t *entry = member_table_put (&member->group, member->self.vm);
  if (entry == NULL)
    return;
  bool fresh = entry->record.incarnation == 0;
  if (fresh)
    member->tombstones++;
  member_state_t state = member->self.state;
  member_state_t before = entry->record.state;
  entry->record = member->self;
  entry->record.state = before;
  if (state != before)
    change_state (member, NULL, entry, state, now_us);
  else
    member_announce (member, &entry->record, MEMBER_EVENT_CHANGED);
  member_table_touch (&member->group);
  member_make_news (member, entry, true);
}

/* Someone says otherwise of this VM: outbid it with a newer incarnation.  */
static void
deny (member_t *member, incarnation_t incarnation, uint32_t sequence,
      member_state_t state, int64_t now_us)
{
  member_record_t *self = &member->self;

  if (self->state == MEMBER_LEFT || incarnation < self->incarnation)
    return;
  if (incarnation == self->incarnation && state == MEMBER_ALIVE
      && sequence <= self->sequence)
    return;
  self->incarnation = incarnation + 1;
  member_publish_self (member, now_us);
  /* Those who believe it may be about to act on it.  */
  member->next_gossip_us = now_us;
}

/* Does what is heard override what is known?  */
static bool
is_newer (const member_t *member, const member_record_t *known,
          incarnation_t incarnation, member_state_t state)
{
  if (member->options.ignore_incarnations)
    return state != known->state;
  if (incarnation != known->incarnation)
    return incarnation > known->incarnation;
  return state > known->state;
}

/* The entry of a VM in the table, made as a tombstone when unknown.  */
static member_entry_t *
put (member_t *member, member_watch_t *watch, vm_id_t vm, bool *fresh)
{
  member_table_t *table = watch ? &watch->table : &member->group;
  member_entry_t *entry = member_table_find (table, vm);

  *fresh = entry == NULL;
  if (entry != NULL)
    return entry;
  entry = member_table_put (table, vm);
  if (entry != NULL && watch == NULL)
    member->tombstones++;
  return entry;
}

/* Remembers that VM is dead before anything else is known of it, so that late
   news cannot bring it back.  */
static member_entry_t *
put_tombstone (member_t *member, vm_id_t vm, int64_t now_us)
{
  bool fresh;
  member_entry_t *entry = put (member, NULL, vm, &fresh);

  if (entry == NULL)
    return NULL;
  memcpy (entry->record.service, member->self.service, NAME_BYTES);
  entry->since_us = now_us;
  entry->due_us = now_us + MEMBER_TOMBSTONE_US;
  return entry;
}

void
member_merge_news (member_t *member, member_watch_t *watch,
                   const member_wire_news *news, int64_t now_us)
{
  member_state_t state = (member_state_t)news->state;

  if (news->vm == 0 || news->state >= MEMBER_STATE_COUNT)
    return;
  if (news->vm == member->self.vm)
    {
      if (watch == NULL)
        deny (member, news->incarnation, 0, state, now_us);
      return;
    }
  member_entry_t *entry
      = member_table_find (watch ? &watch->table : &member->group, news->vm);
  if (entry == NULL && watch == NULL && state >= MEMBER_DEAD)
    entry = put_tombstone (member, news->vm, now_us);
  /* A live VM that is unknown comes with its whole record, by joining or
     comparison.  */
  if (entry == NULL || entry->record.service[0] == '\0')
    return;
  if (!is_newer (member, &entry->record, news->incarnation, state))
    return;
  entry->record.incarnation = news->incarnation;
  if (state != entry->record.state)
    change_state (member, watch, entry, state, now_us);
  member_table_touch (watch ? &watch->table : &member->group);
  if (watch == NULL)
    member_make_news (member, entry, false);
}

/* Takes the contents of RECORD, but not its state.  */
static bool
take_contents (member_entry_t *entry, const member_record_t *record)
{
  member_record_t before = entry->record;

  entry->record = *record;
  entry->record.state = before.state;
  return before.sequence != record->sequence || before.life != record->life;
}

void
member_merge_record (member_t *member, member_watch_t *watch,
                     const member_record_t *record, int64_t now_us)
{
  bool fresh;

  if (record->vm == member->self.vm)
    {
      if (watch == NULL)
        deny (member, record->incarnation, record->sequence, record->state,
              now_us);
      return;
    }
  member_entry_t *entry = put (member, watch, record->vm, &fresh);
  if (entry == NULL)
    return;
  member_record_t *known = &entry->record;
  bool newer = fresh || known->service[0] == '\0'
               || is_newer (member, known, record->incarnation, record->state);
  bool later = !newer && record->incarnation == known->incarnation
               && (record->life > known->life
                   || (record->life == known->life
                       && record->sequence > known->sequence));
  if (!newer && !later)
    return;
  bool changed = take_contents (entry, record);
  if (newer && known->state != record->state)
    change_state (member, watch, entry, record->state, now_us);
  else if (changed && member_entry_live (entry))
    member_announce (member, known, MEMBER_EVENT_CHANGED);
  else if (fresh)
    entry->due_us = now_us + MEMBER_TOMBSTONE_US;
  member_table_touch (watch ? &watch->table : &member->group);
  if (watch == NULL && (!fresh || member_entry_live (entry)))
    member_make_news (member, entry, member_entry_live (entry));
}

void
member_group_clear (member_t *member)
{
  for (size_t i = 0; i < member->group.count; i++)
    {
      member_entry_t *entry = member->group.entries[i];
      if (member_entry_live (entry) && entry->record.vm != member->self.vm)
        member_announce (member, &entry->record, MEMBER_EVENT_DOWN);
    }
  member_table_clear (&member->group);
  member->suspects = 0;
  member->tombstones = 0;
  member->news = 0;
}
