#include "member_part.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct change_t
{
  member_record_t record;
  member_event_t event;
} change_t;

/* Changes that were noted under the lock and are to be told after it.  */
typedef struct changes_t
{
  change_t *items;
  size_t count;
  size_t room;
} changes_t;

struct member_part_t
{
  pthread_mutex_t lock;
  member_t *member;
  changes_t changes;
  member_change_t change;
  void *change_ctx;
  _Atomic uint64_t epoch;
  _Atomic uint64_t malformed;
};

static void
note_change (void *ctx, const member_record_t *record, member_event_t event)
{
  member_part_t *part = ctx;
  changes_t *changes = &part->changes;

  if (part->change == NULL)
    return;
  if (changes->count == changes->room)
    {
      size_t room = changes->room ? changes->room * 2 : 16;
      change_t *items = realloc (changes->items, room * sizeof *items);
      if (items == NULL)
        return;
      changes->items = items;
      changes->room = room;
    }
  changes->items[changes->count++] = (change_t){ *record, event };
}

static void
enter (member_part_t *part)
{
  pthread_mutex_lock (&part->lock);
}

/* Lets the lock go and tells what changed meanwhile.  */
static void
leave_and_tell (member_part_t *part)
{
  changes_t changes = part->changes;

  part->changes = (changes_t){ 0 };
  atomic_store (&part->epoch, member_epoch (part->member));
  pthread_mutex_unlock (&part->lock);
  for (size_t i = 0; i < changes.count; i++)
    part->change (part->change_ctx, &changes.items[i].record,
                  changes.items[i].event);
  free (changes.items);
}

member_part_t *
member_part_new (const member_part_config_t *config, int64_t now_us)
{
  member_part_t *part = calloc (1, sizeof *part);

  if (part == NULL)
    return NULL;
  member_config_t core = { .self = config->self,
                           .seeds = config->seeds,
                           .seed_count = config->seed_count,
                           .link = config->link,
                           .rng = config->rng,
                           .change = note_change,
                           .change_ctx = part };
  pthread_mutex_init (&part->lock, NULL);
  part->member = member_new (&core, now_us);
  if (part->member == NULL)
    {
      free (part);
      return NULL;
    }
  part->change = config->change;
  part->change_ctx = config->change_ctx;
  return part;
}

void
member_part_free (member_part_t *part)
{
  if (part == NULL)
    return;
  member_free (part->member);
  free (part->changes.items);
  pthread_mutex_destroy (&part->lock);
  free (part);
}

static void
part_receive (void *ctx, vm_id_t from, const void *data, size_t size,
              int64_t now_us)
{
  member_part_t *part = ctx;

  enter (part);
  if (!member_receive (part->member, from, data, size, now_us))
    atomic_fetch_add (&part->malformed, 1);
  leave_and_tell (part);
}

static int64_t
part_tick (void *ctx, int64_t now_us)
{
  member_part_t *part = ctx;

  enter (part);
  int64_t next_us = member_tick (part->member, now_us);
  leave_and_tell (part);
  return next_us;
}

static json_t *
list_status (member_part_t *part, const char *service)
{
  enum
  {
    SHOWN_MAX = 64
  };
  member_record_t records[SHOWN_MAX];
  json_t *array = json_array ();
  size_t count = member_list (part->member, service, records, SHOWN_MAX,
                              member_last_us (part->member));
  for (size_t i = 0; i < count; i++)
    {
      const member_record_t *record = &records[i];
      char address[32];
      uint32_t ip = vm_id_ip (record->vm);
      snprintf (address, sizeof address, "%u.%u.%u.%u:%u", ip >> 24,
                ip >> 16 & 0xff, ip >> 8 & 0xff, ip & 0xff,
                vm_id_port (record->vm));
      json_array_append_new (
          array,
          json_pack ("{s:s, s:s, s:s, s:i, s:i, s:i, s:I, s:b}", "vm", address,
                     "zone", record->zone, "state",
                     member_state_name (record->state), "slots",
                     (int)record->slots, "load_permille",
                     (int)record->load_permille, "level", (int)record->level,
                     "config_version", (json_int_t)record->config_version,
                     "leaving", (int)record->leaving));
    }
  return array;
}

static json_t *
part_status (void *ctx)
{
  enum
  {
    SERVICES_SHOWN_MAX = 16
  };
  member_part_t *part = ctx;
  char names[SERVICES_SHOWN_MAX][NAME_BYTES];
  json_t *services = json_object ();

  enter (part);
  size_t count = member_services (part->member, names, SERVICES_SHOWN_MAX);
  for (size_t i = 0; i < count; i++)
    json_object_set_new (services, names[i], list_status (part, names[i]));
  size_t bytes = member_memory_bytes (part->member);
  leave_and_tell (part);
  return json_pack ("{s:o, s:I, s:I, s:I}", "services", services, "epoch",
                    (json_int_t)atomic_load (&part->epoch), "table_bytes",
                    (json_int_t)bytes, "malformed",
                    (json_int_t)atomic_load (&part->malformed));
}

part_t
member_part_part (member_part_t *part)
{
  return (part_t){ .name = "member",
                   .kind = MESSAGE_MEMBER,
                   .receive = part_receive,
                   .tick = part_tick,
                   .status = part_status,
                   .ctx = part };
}

void
member_part_update_self (member_part_t *part, const member_record_t *record,
                         int64_t now_us)
{
  enter (part);
  member_update_self (part->member, record, now_us);
  leave_and_tell (part);
}

void
member_part_update_load (member_part_t *part, uint16_t load_permille,
                         uint16_t level, doc_version_t config_version)
{
  enter (part);
  member_update_load (part->member, load_permille, level, config_version);
  leave_and_tell (part);
}

void
member_part_self (member_part_t *part, member_record_t *record)
{
  enter (part);
  *record = *member_self (part->member);
  leave_and_tell (part);
}

size_t
member_part_list (member_part_t *part, const char *service,
                  member_record_t *records, size_t max, int64_t now_us)
{
  enter (part);
  size_t count = member_list (part->member, service, records, max, now_us);
  leave_and_tell (part);
  return count;
}

bool
member_part_find (member_part_t *part, vm_id_t vm, member_record_t *record)
{
  enter (part);
  bool found = member_find (part->member, vm, record);
  leave_and_tell (part);
  return found;
}

size_t
member_part_contacts (member_part_t *part, member_contact_t *contacts,
                      size_t max)
{
  enter (part);
  size_t count = member_contacts (part->member, contacts, max);
  leave_and_tell (part);
  return count;
}

size_t
member_part_services (member_part_t *part, char (*names)[NAME_BYTES],
                      size_t max)
{
  enter (part);
  size_t count = member_services (part->member, names, max);
  leave_and_tell (part);
  return count;
}

size_t
member_part_peers (member_part_t *part, vm_id_t *vms, size_t max)
{
  enter (part);
  size_t count = member_peers (part->member, vms, max);
  leave_and_tell (part);
  return count;
}

void
member_part_add_seed (member_part_t *part, vm_id_t seed)
{
  enter (part);
  member_add_seed (part->member, seed);
  leave_and_tell (part);
}

void
member_part_leave (member_part_t *part, int64_t now_us)
{
  enter (part);
  member_leave (part->member, now_us);
  leave_and_tell (part);
}

uint64_t
member_part_epoch (member_part_t *part)
{
  return atomic_load (&part->epoch);
}
