#include "edge/members.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct entry_t
{
  vm_id_t vm;
  int64_t offset; /* of its newest record */
  bool there;
  bool seen; /* in the snapshot that is being read */
} entry_t;

struct members_t
{
  store_t *store;
  const char *topic;
  vm_id_t own;
  char key[ADDR_TEXT_BYTES];
  char *value;
  event_log_t *log;
  members_handler_t handler;
  entry_t *entries;
  size_t count;
  uint32_t there;
  bool leaving;
};

members_t *
members_new (store_t *store, const char *topic, vm_id_t own,
             uint64_t incarnation, const char *zone, event_log_t *log,
             const members_handler_t *handler)
{
  members_t *members = calloc (1, sizeof *members);
  if (members == NULL)
    abort ();
  endpoint_addr_t addr = { vm_id_ip (own), vm_id_port (own) };
  json_t *record = json_pack ("{s:I, s:s}", "incarnation",
                              (json_int_t)incarnation, "zone", zone);
  members->store = store;
  members->topic = topic;
  members->own = own;
  members->log = log;
  members->handler = *handler;
  members->value = json_dumps (record, JSON_COMPACT);
  json_decref (record);
  settings_format_addr (addr, members->key);
  return members;
}

void
members_free (members_t *members)
{
  if (members == NULL)
    return;
  free (members->entries);
  free (members->value);
  free (members);
}

static entry_t *
find_or_add (members_t *members, vm_id_t vm)
{
  for (size_t i = 0; i < members->count; i++)
    if (members->entries[i].vm == vm)
      return &members->entries[i];
  members->entries = realloc (members->entries,
                              (members->count + 1) * sizeof *members->entries);
  if (members->entries == NULL)
    abort ();
  entry_t *entry = &members->entries[members->count++];
  *entry = (entry_t){ .vm = vm, .offset = -1 };
  return entry;
}

static void
set_there (members_t *members, entry_t *entry, bool there)
{
  char text[ADDR_TEXT_BYTES];
  if (entry->there == there)
    return;
  entry->there = there;
  members->there += there ? 1 : -1;
  settings_format_addr (
      (endpoint_addr_t){ vm_id_ip (entry->vm), vm_id_port (entry->vm) }, text);
  event_log_write (members->log, EVENT_STATE_CHANGE,
                   there ? "member-joined" : "member-left",
                   "vm=%s offset=%lld members=%u", text,
                   (long long)entry->offset, members->there);
  if (there)
    members->handler.joined (members->handler.ctx, entry->vm);
  else
    members->handler.left (members->handler.ctx, entry->vm);
}

static void
write_own (members_t *members)
{
  store_put (members->store, members->topic, members->key,
             members->leaving ? NULL : members->value);
}

static void
on_snapshot_begin (void *ctx)
{
  members_t *members = ctx;
  for (size_t i = 0; i < members->count; i++)
    members->entries[i].seen = false;
}

/* A write that was held up may undo a later one of this sidecar.  */
static void
check_own (members_t *members, const keyed_record_t *record)
{
  bool same
      = !members->leaving && record->value != NULL
        && record->value_size == strlen (members->value)
        && memcmp (record->value, members->value, record->value_size) == 0;
  bool gone = members->leaving && record->value == NULL;
  if (!same && !gone && store_is_written (members->store))
    write_own (members);
}

static void
on_record (void *ctx, const keyed_record_t *record)
{
  members_t *members = ctx;
  char text[ADDR_TEXT_BYTES];
  endpoint_addr_t addr;
  if (record->key_size >= sizeof text)
    return;
  memcpy (text, record->key, record->key_size);
  text[record->key_size] = '\0';
  if (!settings_parse_addr (text, &addr))
    return; /* another writer's record names no sidecar */
  vm_id_t vm = vm_id_make (addr.ip, addr.port);
  if (vm == members->own)
    {
      check_own (members, record);
      return;
    }
  entry_t *entry = find_or_add (members, vm);
  entry->seen = true;
  if (record->offset <= entry->offset)
    return;
  entry->offset = record->offset;
  set_there (members, entry, record->value != NULL);
}

static void
on_snapshot_end (void *ctx, int64_t end)
{
  members_t *members = ctx;
  for (size_t i = 0; i < members->count; i++)
    if (!members->entries[i].seen && members->entries[i].offset < end)
      set_there (members, &members->entries[i], false);
}

void
members_join (members_t *members)
{
  store_handler_t handler
      = { on_snapshot_begin, on_record, on_snapshot_end, members };
  write_own (members);
  store_subscribe (members->store, members->topic, STORE_PERIODIC_POLL,
                   &handler);
}

void
members_add_peer (members_t *members, vm_id_t vm)
{
  entry_t *entry = find_or_add (members, vm);
  if (entry->offset < 0)
    set_there (members, entry, true);
}

void
members_leave (members_t *members)
{
  members->leaving = true;
  write_own (members);
}

uint32_t
members_count (const members_t *members)
{
  return members->there + 1;
}
