#include "edge/members.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Restored records are written again within this time: up to 2,400 of them
     stay below the 1,200 writes a second that the store takes.  */
  REWRITE_SPREAD_US = 2 * US_PER_S,
  /* For a sidecar whose record was lost to write it again.  */
  MISSING_HOLD_US = 5 * US_PER_S,
  MISSING_CHECK_US = 500 * US_PER_MS
};

typedef struct member_entry_t
{
  vm_id_t vm;
  store_position_t position; /* of its newest record; -1 is none */
  bool present;
  bool seen_in_snapshot; /* in the one that is being read */
  /* Since when the store has been without the record, which it had in an older
     era; 0 is that it is not.  */
  int64_t missing_since_us;
} member_entry_t;

struct members_t
{
  loop_t *loop;
  store_t *store;
  const char *topic;
  vm_id_t own_vm;
  char own_key[ADDR_TEXT_BYTES];
  char *own_value;
  event_log_t *log;
  members_handler_t handler;
  member_entry_t *entries;
  size_t entry_count;
  uint32_t present_count;
  bool leaving;
  uint32_t era;              /* of the last complete snapshot */
  bool own_seen_in_snapshot; /* the record of this sidecar */
  ev_timer missing_timer;    /* runs while a record is missing */
};

static void on_missing_timer (struct ev_loop *ev, ev_timer *timer, int events);

members_t *
members_new (loop_t *loop, store_t *store, const char *topic, vm_id_t own_vm,
             uint64_t incarnation, const char *zone, event_log_t *log,
             const members_handler_t *handler)
{
  members_t *members = calloc (1, sizeof *members);
  if (members == NULL)
    abort ();
  endpoint_addr_t addr = { vm_id_ip (own_vm), vm_id_port (own_vm) };
  json_t *record = json_pack ("{s:I, s:s}", "incarnation",
                              (json_int_t)incarnation, "zone", zone);
  members->loop = loop;
  members->store = store;
  members->topic = topic;
  members->own_vm = own_vm;
  members->log = log;
  members->handler = *handler;
  members->own_value = json_dumps (record, JSON_COMPACT);
  json_decref (record);
  settings_format_addr (addr, members->own_key);
  ev_timer_init (&members->missing_timer, on_missing_timer, 0, 0);
  members->missing_timer.data = members;
  return members;
}

void
members_free (members_t *members)
{
  if (members == NULL)
    return;
  ev_timer_stop (members->loop->ev, &members->missing_timer);
  free (members->entries);
  free (members->own_value);
  free (members);
}

static member_entry_t *
find_or_add_entry (members_t *members, vm_id_t vm)
{
  for (size_t i = 0; i < members->entry_count; i++)
    if (members->entries[i].vm == vm)
      return &members->entries[i];
  members->entries = realloc (
      members->entries, (members->entry_count + 1) * sizeof *members->entries);
  if (members->entries == NULL)
    abort ();
  member_entry_t *entry = &members->entries[members->entry_count++];
  *entry = (member_entry_t){ .vm = vm, .position.offset = -1 };
  return entry;
}

static void
set_present (members_t *members, member_entry_t *entry, bool present)
{
  char addr_text[ADDR_TEXT_BYTES];
  if (entry->present == present)
    return;
  entry->present = present;
  members->present_count += present ? 1 : -1;
  settings_format_addr (
      (endpoint_addr_t){ vm_id_ip (entry->vm), vm_id_port (entry->vm) },
      addr_text);
  event_log_write (members->log, EVENT_STATE_CHANGE,
                   present ? "member-joined" : "member-left",
                   "vm=%s era=%u offset=%lld members=%u", addr_text,
                   entry->position.era, (long long)entry->position.offset,
                   members->present_count);
  if (present)
    members->handler.on_joined (members->handler.ctx, entry->vm);
  else
    members->handler.on_left (members->handler.ctx, entry->vm);
}

static void
put_own_record (members_t *members)
{
  store_put (members->store, members->topic, members->own_key,
             members->leaving ? NULL : members->own_value);
}

static void
on_snapshot_begin (void *ctx)
{
  members_t *members = ctx;
  members->own_seen_in_snapshot = false;
  for (size_t i = 0; i < members->entry_count; i++)
    members->entries[i].seen_in_snapshot = false;
}

/* Puts the record of this sidecar, which a restore of the store has lost.  */
static void
put_lost_record (members_t *members)
{
  store_put_within (members->store, members->topic, members->own_key,
                    members->own_value, REWRITE_SPREAD_US);
}

/* Puts the record of this sidecar, or deletes it when leaving, if the store
   has another state: a delayed write may have overwritten a later one.  */
static void
restore_own_record (members_t *members, const keyed_record_t *record)
{
  bool is_current
      = !members->leaving && record->value != NULL
        && record->value_size == strlen (members->own_value)
        && memcmp (record->value, members->own_value, record->value_size) == 0;
  bool is_removed = members->leaving && record->value == NULL;
  if (is_current || is_removed || !store_put_is_acknowledged (members->store))
    return;
  /* After a restore, all sidecars whose records the copy has differently write
     at once.  */
  if (record->position.era > members->era && !members->leaving)
    put_lost_record (members);
  else
    put_own_record (members);
}

static void
on_record (void *ctx, const keyed_record_t *record)
{
  members_t *members = ctx;
  char addr_text[ADDR_TEXT_BYTES];
  endpoint_addr_t addr;
  if (record->key_size >= sizeof addr_text)
    return;
  memcpy (addr_text, record->key, record->key_size);
  addr_text[record->key_size] = '\0';
  if (!settings_parse_addr (addr_text, &addr))
    return; /* not the record of a sidecar, whose key is an address */
  vm_id_t vm = vm_id_make (addr.ip, addr.port);
  if (vm == members->own_vm)
    {
      members->own_seen_in_snapshot = true;
      restore_own_record (members, record);
      return;
    }
  member_entry_t *entry = find_or_add_entry (members, vm);
  entry->seen_in_snapshot = true;
  entry->missing_since_us = 0;
  if (store_position_compare (record->position, entry->position) <= 0)
    return;
  entry->position = record->position;
  set_present (members, entry, record->value != NULL);
}

/* Removes the members whose records have been missing for MISSING_HOLD_US and
   to whom there is no link.  */
static void
on_missing_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  members_t *members = timer->data;
  uint32_t missing_count = 0;
  (void)events;
  for (size_t i = 0; i < members->entry_count; i++)
    {
      member_entry_t *entry = &members->entries[i];
      if (entry->missing_since_us == 0)
        continue;
      if (members->loop->now_us - entry->missing_since_us >= MISSING_HOLD_US
          && !members->handler.is_linked (members->handler.ctx, entry->vm))
        {
          entry->missing_since_us = 0;
          set_present (members, entry, false);
        }
      else
        missing_count++;
    }
  if (missing_count == 0)
    ev_timer_stop (ev, timer);
}

static void
hold_missing (members_t *members, member_entry_t *entry)
{
  if (entry->missing_since_us == 0)
    entry->missing_since_us = members->loop->now_us;
  if (!ev_is_active (&members->missing_timer))
    loop_start_timer (members->loop, &members->missing_timer,
                      MISSING_CHECK_US);
}

static void
on_snapshot_end (void *ctx, store_position_t end)
{
  members_t *members = ctx;
  for (size_t i = 0; i < members->entry_count; i++)
    {
      member_entry_t *entry = &members->entries[i];
      if (entry->seen_in_snapshot || !entry->present
          || store_position_compare (entry->position, end) >= 0)
        continue;
      if (entry->position.era < end.era)
        hold_missing (members, entry);
      else
        set_present (members, entry, false);
    }
  if (end.era > members->era && !members->own_seen_in_snapshot
      && !members->leaving && store_put_is_acknowledged (members->store))
    put_lost_record (members);
  members->era = end.era;
}

void
members_join (members_t *members)
{
  store_handler_t handler
      = { on_snapshot_begin, on_record, on_snapshot_end, members };
  put_own_record (members);
  store_subscribe (members->store, members->topic, STORE_PERIODIC_POLL,
                   &handler);
}

void
members_add_peer (members_t *members, vm_id_t vm)
{
  member_entry_t *entry = find_or_add_entry (members, vm);
  if (entry->position.offset < 0)
    set_present (members, entry, true);
}

void
members_leave (members_t *members)
{
  members->leaving = true;
  put_own_record (members);
}

uint32_t
members_count (const members_t *members)
{
  return members->present_count + 1;
}
