#include "mesh/zone_records.h"

#include <stdio.h>
#include <string.h>

static store_position_t
position_after (store_position_t position)
{
  return (store_position_t){ position.era, position.offset + 1 };
}

static store_position_t
position_before (store_position_t position)
{
  return (store_position_t){ position.era, position.offset - 1 };
}

void
zone_records_init (zone_records_t *records,
                   void (*on_change) (void *ctx, const zone_record_t *record),
                   void *ctx)
{
  *records = (zone_records_t){ .on_change = on_change, .ctx = ctx };
}

/* --- knowledge of the topic -------------------------------------------- */

static void
advance (topic_knowledge_t *knowledge, store_position_t next)
{
  if (store_position_compare (next, knowledge->next) <= 0)
    return;
  if (next.era > knowledge->next.era)
    knowledge->before
        = store_position_max (knowledge->before, knowledge->next);
  knowledge->next = next;
}

/* Returns how far the topic is known in the eras before ERA.  */
static store_position_t
known_before (const topic_knowledge_t *knowledge, uint32_t era)
{
  return knowledge->next.era < era
             ? store_position_max (knowledge->next, knowledge->before)
             : knowledge->before;
}

void
topic_knowledge_raise (topic_knowledge_t *to, const topic_knowledge_t *other)
{
  advance (to, other->next);
  to->before
      = store_position_max (to->before, known_before (other, to->next.era));
}

static bool
lacks_records (const zone_records_t *records,
               const topic_knowledge_t *knowledge)
{
  return knowledge->next.era > records->era
         || (knowledge->next.era == records->era
             && store_position_compare (knowledge->next,
                                        records->knowledge.next)
                    > 0);
}

static bool
lacks_earlier_records (const zone_records_t *records,
                       const topic_knowledge_t *knowledge)
{
  return store_position_compare (
             known_before (knowledge, records->era),
             known_before (&records->knowledge, records->era))
         > 0;
}

static bool
hold_is_over (const zone_records_t *records, int64_t now_us)
{
  return records->snapshot_era == records->era
         && now_us - records->era_seen_us >= ZONE_HOLD_US;
}

bool
zone_records_lack (const zone_records_t *records,
                   const topic_knowledge_t *knowledge, int64_t now_us)
{
  return lacks_records (records, knowledge)
         || (records->era > 0 && now_us - records->era_seen_us < ZONE_HOLD_US
             && lacks_earlier_records (records, knowledge));
}

/* --- records ----------------------------------------------------------- */

static zone_entry_t *
find_zone (const zone_records_t *records, const char *name)
{
  for (uint32_t i = 0; i < records->zone_count; i++)
    if (strcmp (records->zones[i].record.name, name) == 0)
      return (zone_entry_t *)&records->zones[i];
  return NULL;
}

static zone_entry_t *
find_or_add_zone (zone_records_t *records, const char *name)
{
  zone_entry_t *zone = find_zone (records, name);
  if (zone != NULL || records->zone_count == EVACUATED_ZONES_MAX)
    return zone;
  zone = &records->zones[records->zone_count++];
  *zone = (zone_entry_t){ .record.position.offset = -1, .doubted_offset = -1 };
  snprintf (zone->record.name, sizeof zone->record.name, "%s", name);
  return zone;
}

/* Whether A is newer than B, a record of the same zone.  A record that may
   come from the copy is compared by its offset, which is the one that it had
   in the era before.  */
static bool
is_newer (const zone_record_t *a, const zone_record_t *b)
{
  if (a->position.era == b->position.era)
    return a->position.offset > b->position.offset;
  if (a->position.era < b->position.era)
    return !is_newer (b, a);
  return a->written_in_era || a->position.offset >= b->position.offset;
}

static void
set_zone (zone_records_t *records, zone_entry_t *zone,
          const zone_record_t *record)
{
  bool changed = zone->record.out != record->out;
  uint32_t confirmed_era = record->confirmed_era;
  if (!changed && zone->record.confirmed_era > confirmed_era)
    confirmed_era = zone->record.confirmed_era;
  zone->record.out = record->out;
  zone->record.written_in_era = record->written_in_era;
  zone->record.confirmed_era = confirmed_era;
  zone->record.position = record->position;
  zone->doubted_offset = -1;
  if (changed)
    records->on_change (records->ctx, &zone->record);
}

static void
end_evacuation (zone_records_t *records, zone_entry_t *zone,
                store_position_t position, bool written_in_era)
{
  zone_record_t record
      = { .written_in_era = written_in_era, .position = position };
  set_zone (records, zone, &record);
}

static void
consider_record (zone_records_t *records, zone_entry_t *zone,
                 const zone_record_t *record)
{
  if (is_newer (record, &zone->record))
    set_zone (records, zone, record);
  else if (!record->out)
    return;
  else if (!zone->record.out)
    {
      if (record->position.era == records->era
          && zone->record.position.era < records->era)
        zone->doubted_offset = record->position.offset;
    }
  else if (record->confirmed_era > zone->record.confirmed_era)
    zone->record.confirmed_era = record->confirmed_era;
}

/* Records at or after the end of a snapshot of the current era were written in
   it.  */
static void
lower_first_end (zone_records_t *records, int64_t end)
{
  if (records->first_end_era == records->era && records->first_end <= end)
    return;
  records->first_end_era = records->era;
  records->first_end = end;
  for (uint32_t i = 0; i < records->zone_count; i++)
    {
      zone_entry_t *zone = &records->zones[i];
      zone_record_t record
          = { .out = true,
              .written_in_era = true,
              .confirmed_era = records->era,
              .position = { records->era, zone->doubted_offset } };
      if (zone->record.position.era == records->era
          && zone->record.position.offset >= end)
        zone->record.written_in_era = true;
      if (zone->doubted_offset >= end)
        set_zone (records, zone, &record);
    }
}

static void
see_era (zone_records_t *records, uint32_t era, int64_t now_us)
{
  if (era <= records->era)
    return;
  records->era = era;
  records->era_seen_us = now_us;
  for (uint32_t i = 0; i < records->zone_count; i++)
    records->zones[i].doubted_offset = -1;
}

void
zone_records_begin_snapshot (zone_records_t *records)
{
  records->in_snapshot = true;
  for (uint32_t i = 0; i < records->zone_count; i++)
    records->zones[i].seen_in_snapshot = false;
}

void
zone_records_apply (zone_records_t *records, const char *zone, bool out,
                    store_position_t position, int64_t now_us)
{
  if (position.era < records->era)
    return;
  see_era (records, position.era, now_us);
  if (!records->in_snapshot)
    advance (&records->knowledge, position_after (position));
  zone_entry_t *entry = zone != NULL ? find_or_add_zone (records, zone) : NULL;
  if (entry == NULL)
    return;
  zone_record_t record = {
    .out = out,
    /* The records that are read after a snapshot are not in the copy.  */
    .written_in_era = !records->in_snapshot
                      || (records->first_end_era == records->era
                          && position.offset >= records->first_end),
    .confirmed_era = records->era,
    .position = position,
  };
  entry->seen_in_snapshot = true;
  consider_record (records, entry, &record);
}

/* A snapshot may be older than the known state, so zones whose last record is
   not before END stay as they are.  */
void
zone_records_end_snapshot (zone_records_t *records, store_position_t end,
                           int64_t now_us)
{
  records->in_snapshot = false;
  if (end.era < records->era)
    return;
  see_era (records, end.era, now_us);
  if (records->first_end_era != records->era)
    lower_first_end (records, end.offset);
  for (uint32_t i = 0; i < records->zone_count; i++)
    {
      zone_entry_t *zone = &records->zones[i];
      if (!zone->seen_in_snapshot && zone->record.out
          && zone->record.confirmed_era == records->era
          && store_position_compare (zone->record.position, end) < 0)
        end_evacuation (records, zone, position_before (end), true);
    }
  records->snapshot_era = records->era;
  advance (&records->knowledge, end);
  zone_records_expire (records, now_us);
}

bool
zone_records_is_out (const zone_records_t *records, const char *zone)
{
  const zone_entry_t *entry = find_zone (records, zone);
  return entry != NULL && entry->record.out;
}

/* --- evacuations that the store has lost ------------------------------- */

static bool
is_held (const zone_records_t *records, const zone_entry_t *zone)
{
  return zone->record.out && zone->record.confirmed_era < records->era;
}

int64_t
zone_records_expiry_us (const zone_records_t *records)
{
  for (uint32_t i = 0; i < records->zone_count; i++)
    if (records->snapshot_era == records->era
        && is_held (records, &records->zones[i]))
      return records->era_seen_us + ZONE_HOLD_US;
  return INT64_MAX;
}

void
zone_records_expire (zone_records_t *records, int64_t now_us)
{
  if (!hold_is_over (records, now_us))
    return;
  for (uint32_t i = 0; i < records->zone_count; i++)
    if (is_held (records, &records->zones[i]))
      end_evacuation (records, &records->zones[i],
                      position_before (records->knowledge.next), true);
}

/* --- exchange with other sidecars -------------------------------------- */

void
zone_records_state (const zone_records_t *records, zone_state_t *state)
{
  bool has_first_end = records->first_end_era == records->knowledge.next.era;
  state->knowledge = records->knowledge;
  state->first_end = has_first_end ? records->first_end : -1;
  state->zone_count = records->zone_count;
  for (uint32_t i = 0; i < records->zone_count; i++)
    state->zones[i] = records->zones[i].record;
}

/* Whether the evacuation that a peer reports is over by what is known here:
   the store no longer has its record, or not after the hold.  */
static bool
is_outdated (const zone_records_t *records, const zone_record_t *record,
             bool is_ahead, int64_t now_us)
{
  const zone_entry_t *zone = find_zone (records, record->name);
  if (!record->out || (zone != NULL && zone->record.out))
    return false;
  if (record->confirmed_era < records->era)
    return hold_is_over (records, now_us);
  return zone == NULL && !is_ahead;
}

static bool
is_listed (const zone_state_t *state, const char *name)
{
  for (uint32_t i = 0; i < state->zone_count; i++)
    if (strcmp (state->zones[i].name, name) == 0)
      return true;
  return false;
}

/* A zone that the peer does not list is not out of service, as far as the peer
   knows the topic.  */
static void
merge_unlisted (zone_records_t *records, zone_entry_t *zone,
                const zone_state_t *state, bool is_ahead)
{
  store_position_t before = known_before (&state->knowledge, records->era);
  if (is_ahead && zone->record.confirmed_era == records->era)
    end_evacuation (records, zone, position_before (state->knowledge.next),
                    true);
  else if (zone->record.position.era == before.era && records->era > before.era
           && store_position_compare (zone->record.position, before) < 0)
    end_evacuation (records, zone, position_before (before), false);
}

void
zone_records_merge (zone_records_t *records, const zone_state_t *state,
                    int64_t now_us)
{
  const topic_knowledge_t *knowledge = &state->knowledge;
  see_era (records, knowledge->next.era, now_us);
  bool is_current = knowledge->next.era == records->era;
  bool is_ahead = lacks_records (records, knowledge);
  if (!is_ahead && !lacks_earlier_records (records, knowledge))
    return;
  if (is_current && state->first_end >= 0 && records->era > 0)
    lower_first_end (records, state->first_end);
  for (uint32_t i = 0; i < state->zone_count; i++)
    {
      const zone_record_t *record = &state->zones[i];
      if (record->position.era > records->era
          || is_outdated (records, record, is_ahead, now_us))
        continue;
      zone_entry_t *zone = find_or_add_zone (records, record->name);
      if (zone != NULL)
        consider_record (records, zone, record);
    }
  for (uint32_t i = 0; i < records->zone_count; i++)
    if (records->zones[i].record.out
        && !is_listed (state, records->zones[i].record.name))
      merge_unlisted (records, &records->zones[i], state, is_ahead);
  topic_knowledge_raise (&records->knowledge, knowledge);
  if (is_current)
    records->snapshot_era = records->era;
  zone_records_expire (records, now_us);
}
