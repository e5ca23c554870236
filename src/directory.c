#include "directory.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct service_t
{
  char name[NAME_BYTES];
  choose_t *choose;
} service_t;

/* An entry and whether its zone or server was taken out.  */
typedef struct slot_t
{
  directory_entry_t entry;
  bool out;
} slot_t;

struct directory_t
{
  char zones[CHOOSE_ZONES_MAX][NAME_BYTES]; /* the first is this VM's */
  uint32_t zone_count;
  rng_t rng;
  const clock_source_t *clock;
  pthread_mutex_t lock; /* guards all below */
  service_t *services;
  size_t service_count;
  slot_t *slots;
  size_t slot_count;
  size_t slot_room;
  /* What the operators took out; kept for entries that come later.  */
  char (*zones_out)[NAME_BYTES];
  size_t zone_out_count;
  vm_id_t *servers_out;
  size_t server_out_count;
};

directory_t *
directory_new (const char *own_zone, rng_t rng, const clock_source_t *clock)
{
  directory_t *directory = calloc (1, sizeof *directory);

  snprintf (directory->zones[0], NAME_BYTES, "%s", own_zone);
  directory->zone_count = 1;
  directory->rng = rng;
  directory->clock = clock;
  pthread_mutex_init (&directory->lock, NULL);
  return directory;
}

void
directory_free (directory_t *directory)
{
  for (size_t i = 0; i < directory->service_count; i++)
    choose_free (directory->services[i].choose);
  free (directory->services);
  free (directory->slots);
  free (directory->zones_out);
  free (directory->servers_out);
  pthread_mutex_destroy (&directory->lock);
  free (directory);
}

/* Zones beyond the last number share it.  */
static uint32_t
zone_index (directory_t *directory, const char *zone)
{
  for (uint32_t i = 0; i < directory->zone_count; i++)
    if (strcmp (directory->zones[i], zone) == 0)
      return i;
  if (directory->zone_count == CHOOSE_ZONES_MAX)
    return CHOOSE_ZONES_MAX - 1;
  snprintf (directory->zones[directory->zone_count], NAME_BYTES, "%s", zone);
  return directory->zone_count++;
}

static service_t *
find_service (directory_t *directory, const char *name)
{
  for (size_t i = 0; i < directory->service_count; i++)
    if (strcmp (directory->services[i].name, name) == 0)
      return &directory->services[i];
  return NULL;
}

static service_t *
make_service (directory_t *directory, const char *name)
{
  service_t *service = find_service (directory, name);

  if (service != NULL)
    return service;
  directory->services
      = realloc (directory->services,
                 (directory->service_count + 1) * sizeof *directory->services);
  service = &directory->services[directory->service_count++];
  snprintf (service->name, sizeof service->name, "%s", name);
  choose_options_t options = { 0 };
  service->choose = choose_new (&options, clock_now_us (directory->clock));
  return service;
}

static slot_t *
find_slot (const directory_t *directory, vm_id_t vm)
{
  for (size_t i = 0; i < directory->slot_count; i++)
    if (directory->slots[i].entry.vm == vm)
      return &directory->slots[i];
  return NULL;
}

static slot_t *
make_slot (directory_t *directory, vm_id_t vm)
{
  slot_t *slot = find_slot (directory, vm);

  if (slot != NULL)
    return slot;
  if (directory->slot_count == directory->slot_room)
    {
      directory->slot_room = directory->slot_room * 2 + 16;
      directory->slots = realloc (
          directory->slots, directory->slot_room * sizeof *directory->slots);
    }
  slot = &directory->slots[directory->slot_count++];
  memset (slot, 0, sizeof *slot);
  return slot;
}

static bool
is_out (const directory_t *directory, const directory_entry_t *entry)
{
  for (size_t i = 0; i < directory->zone_out_count; i++)
    if (strcmp (directory->zones_out[i], entry->zone) == 0)
      return true;
  for (size_t i = 0; i < directory->server_out_count; i++)
    if (directory->servers_out[i] == entry->vm)
      return true;
  return false;
}

static void
tell_choose (directory_t *directory, const slot_t *slot)
{
  const directory_entry_t *entry = &slot->entry;
  service_t *service = make_service (directory, entry->service);
  choose_server_t server = { .vm = entry->vm,
                             .zone = zone_index (directory, entry->zone),
                             .slots = entry->slots,
                             .out_of_service = slot->out || entry->leaving,
                             .incarnation = entry->incarnation };
  choose_set_server (service->choose, &server,
                     clock_now_us (directory->clock));
}

void
directory_set (directory_t *directory, const directory_entry_t *entry)
{
  pthread_mutex_lock (&directory->lock);
  slot_t *slot = make_slot (directory, entry->vm);
  if (slot->entry.vm != 0 && strcmp (slot->entry.service, entry->service) != 0)
    choose_remove_server (
        find_service (directory, slot->entry.service)->choose, entry->vm);
  slot->entry = *entry;
  slot->out = is_out (directory, entry);
  tell_choose (directory, slot);
  pthread_mutex_unlock (&directory->lock);
}

void
directory_remove (directory_t *directory, vm_id_t vm)
{
  pthread_mutex_lock (&directory->lock);
  slot_t *slot = find_slot (directory, vm);
  if (slot != NULL)
    {
      choose_remove_server (
          find_service (directory, slot->entry.service)->choose, vm);
      *slot = directory->slots[--directory->slot_count];
    }
  pthread_mutex_unlock (&directory->lock);
}

static void
keep_outs (directory_t *directory, const doc_t *doc)
{
  directory->zones_out
      = realloc (directory->zones_out, (doc->zone_count + 1) * NAME_BYTES);
  directory->servers_out
      = realloc (directory->servers_out,
                 (doc->server_count + 1) * sizeof *directory->servers_out);
  directory->zone_out_count = 0;
  directory->server_out_count = 0;
  for (size_t i = 0; i < doc->zone_count; i++)
    if (doc->zones[i].out)
      memcpy (directory->zones_out[directory->zone_out_count++],
              doc->zones[i].name, NAME_BYTES);
  for (size_t i = 0; i < doc->server_count; i++)
    if (doc->servers[i].out)
      directory->servers_out[directory->server_out_count++]
          = doc->servers[i].vm;
}

void
directory_apply (directory_t *directory, const doc_t *doc)
{
  pthread_mutex_lock (&directory->lock);
  keep_outs (directory, doc);
  for (size_t i = 0; i < directory->slot_count; i++)
    {
      slot_t *slot = &directory->slots[i];
      bool out = is_out (directory, &slot->entry);
      if (out == slot->out)
        continue;
      slot->out = out;
      tell_choose (directory, slot);
    }
  pthread_mutex_unlock (&directory->lock);
}

bool
directory_pick (directory_t *directory, const char *service,
                const vm_id_t *exclude, size_t exclude_count,
                directory_entry_t *entry)
{
  vm_id_t vm = 0;

  pthread_mutex_lock (&directory->lock);
  service_t *found = find_service (directory, service);
  bool picked = found != NULL
                && choose_pick_server (found->choose, 0, exclude,
                                       exclude_count, &directory->rng,
                                       clock_now_us (directory->clock), &vm);
  if (picked)
    {
      choose_record_send (found->choose, vm);
      *entry = find_slot (directory, vm)->entry;
    }
  pthread_mutex_unlock (&directory->lock);
  return picked;
}

void
directory_sent (directory_t *directory, vm_id_t vm)
{
  pthread_mutex_lock (&directory->lock);
  const slot_t *slot = find_slot (directory, vm);
  if (slot != NULL)
    choose_record_send (find_service (directory, slot->entry.service)->choose,
                        vm);
  pthread_mutex_unlock (&directory->lock);
}

void
directory_done (directory_t *directory, vm_id_t vm, run_result_t result,
                int64_t latency_us, const choose_report_t *report)
{
  pthread_mutex_lock (&directory->lock);
  const slot_t *slot = find_slot (directory, vm);
  if (slot != NULL)
    choose_record_result (
        find_service (directory, slot->entry.service)->choose, vm, result,
        latency_us, report, clock_now_us (directory->clock));
  pthread_mutex_unlock (&directory->lock);
}

bool
directory_find (directory_t *directory, vm_id_t vm, directory_entry_t *entry)
{
  pthread_mutex_lock (&directory->lock);
  const slot_t *slot = find_slot (directory, vm);
  if (slot != NULL)
    *entry = slot->entry;
  pthread_mutex_unlock (&directory->lock);
  return slot != NULL;
}

size_t
directory_list (directory_t *directory, const char *service, vm_id_t *vms,
                size_t max)
{
  size_t count = 0;

  pthread_mutex_lock (&directory->lock);
  for (size_t i = 0; i < directory->slot_count && count < max; i++)
    {
      const directory_entry_t *entry = &directory->slots[i].entry;
      if (!entry->leaving && !directory->slots[i].out
          && strcmp (entry->service, service) == 0)
        vms[count++] = entry->vm;
    }
  pthread_mutex_unlock (&directory->lock);
  return count;
}

static json_t *
server_json (const directory_t *directory, const choose_status_t *status)
{
  endpoint_addr_t addr
      = { vm_id_ip (status->server.vm), vm_id_port (status->server.vm) };
  char text[ADDR_TEXT_BYTES];

  settings_format_addr (addr, text);
  return json_pack ("{s:s, s:s, s:i, s:b, s:i, s:b, s:f, s:I}", "vm", text,
                    "zone", directory->zones[status->server.zone], "slots",
                    (int)status->server.slots, "out",
                    (int)status->server.out_of_service, "in_flight",
                    (int)status->in_flight, "ejected", (int)status->ejected,
                    "ramp", status->ramp_share, "latency_us",
                    (json_int_t)status->latency_us);
}

static json_t *
service_json (const directory_t *directory, const service_t *service,
              int64_t now_us)
{
  json_t *servers = json_array ();
  choose_status_t status;

  for (uint32_t i = 0; i < choose_server_count (service->choose); i++)
    if (choose_get_status (service->choose, i, now_us, &status))
      json_array_append_new (servers, server_json (directory, &status));
  return json_pack ("{s:s, s:b, s:o}", "service", service->name, "panic",
                    (int)choose_in_panic (service->choose), "servers",
                    servers);
}

json_t *
directory_status (directory_t *directory)
{
  json_t *services = json_array ();
  int64_t now_us = clock_now_us (directory->clock);

  pthread_mutex_lock (&directory->lock);
  for (size_t i = 0; i < directory->service_count; i++)
    json_array_append_new (
        services, service_json (directory, &directory->services[i], now_us));
  pthread_mutex_unlock (&directory->lock);
  return services;
}
