#include "mesh/placement.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  ZONES_MAX = CHOOSE_ZONES_MAX,
  PRESSURE_FRESH_US = 2 * US_PER_S, /* older reports do not count */
  PRESSURE_CACHE_US = 50 * US_PER_MS
};

typedef struct service_t
{
  char name[NAME_BYTES];
  choose_t *choose;
  double pressure; /* cached */
  int64_t pressure_us;
} service_t;

typedef struct member_t
{
  vm_id_t vm;
  uint64_t incarnation;
  char service[NAME_BYTES];
  char server_id[SERVER_ID_BYTES];
  uint32_t life; /* grows with each incarnation of the server */
  uint32_t zone;
  uint32_t slots;
  bool accepting;
  uint32_t pressure_permille;
  uint32_t window; /* as told; 0 is "not told" */
  int64_t told_us;
} member_t;

struct placement_t
{
  const rng_t *rng;
  char zones[ZONES_MAX][NAME_BYTES];
  uint32_t zone_count;
  service_t *services;
  size_t service_count;
  member_t *members;
  size_t member_count;
  int64_t started_us;
};

placement_t *
placement_new (const char *zone, const rng_t *rng, int64_t now_us)
{
  placement_t *placement = calloc (1, sizeof *placement);
  if (placement == NULL)
    abort ();
  placement->rng = rng;
  placement->started_us = now_us;
  snprintf (placement->zones[0], NAME_BYTES, "%s", zone);
  placement->zone_count = 1;
  return placement;
}

void
placement_free (placement_t *placement)
{
  if (placement == NULL)
    return;
  for (size_t i = 0; i < placement->service_count; i++)
    choose_free (placement->services[i].choose);
  free (placement->services);
  free (placement->members);
  free (placement);
}

static uint32_t
zone_number (placement_t *placement, const char *zone)
{
  for (uint32_t i = 0; i < placement->zone_count; i++)
    if (strcmp (placement->zones[i], zone) == 0)
      return i;
  if (placement->zone_count == ZONES_MAX)
    return ZONES_MAX - 1;
  snprintf (placement->zones[placement->zone_count], NAME_BYTES, "%s", zone);
  return placement->zone_count++;
}

static service_t *
service_find (const placement_t *placement, const char *name)
{
  for (size_t i = 0; i < placement->service_count; i++)
    if (strcmp (placement->services[i].name, name) == 0)
      return &placement->services[i];
  return NULL;
}

static service_t *
service_find_or_add (placement_t *placement, const char *name)
{
  service_t *service = service_find (placement, name);
  if (service != NULL)
    return service;
  placement->services
      = realloc (placement->services,
                 (placement->service_count + 1) * sizeof *placement->services);
  if (placement->services == NULL)
    abort ();
  service = &placement->services[placement->service_count++];
  *service = (service_t){ .pressure_us = 0 };
  snprintf (service->name, sizeof service->name, "%s", name);
  /* Cold servers are held back by their own sidecars, at a known rate.  */
  choose_options_t options = { .no_ramp = true };
  service->choose = choose_new (&options, placement->started_us);
  return service;
}

static member_t *
member_find (const placement_t *placement, vm_id_t vm)
{
  for (size_t i = 0; i < placement->member_count; i++)
    if (placement->members[i].vm == vm)
      return &placement->members[i];
  return NULL;
}

static member_t *
member_find_or_add (placement_t *placement, vm_id_t vm)
{
  member_t *member = member_find (placement, vm);
  if (member != NULL)
    return member;
  placement->members
      = realloc (placement->members,
                 (placement->member_count + 1) * sizeof *placement->members);
  if (placement->members == NULL)
    abort ();
  member = &placement->members[placement->member_count++];
  *member = (member_t){ .vm = vm };
  return member;
}

static void
tell_choose (placement_t *placement, const member_t *member, int64_t now_us)
{
  choose_server_t server = {
    .vm = member->vm,
    .zone = member->zone,
    .slots = member->slots,
    .out = !member->accepting,
    .incarnation = member->life,
  };
  choose_set_server (service_find_or_add (placement, member->service)->choose,
                     &server, now_us);
}

static void
take_load (placement_t *placement, member_t *member, const server_load_t *load,
           int64_t now_us)
{
  service_t *service = service_find (placement, member->service);
  member->pressure_permille = load->pressure_permille;
  member->window = load->window;
  member->told_us = now_us;
  if (service != NULL && load->slowdown_permille > 0)
    choose_told_slow (service->choose, member->vm,
                      load->slowdown_permille / 1000.0, now_us);
}

void
placement_update_server (placement_t *placement,
                         const placement_server_t *server, int64_t now_us)
{
  member_t *member = member_find_or_add (placement, server->vm);
  uint32_t zone = zone_number (placement, server->zone);
  bool moved = strcmp (member->service, server->service) != 0;
  bool anew = strcmp (member->server_id, server->server_id) != 0;
  bool changed = moved || anew || zone != member->zone
                 || server->slots != member->slots
                 || server->accepting != member->accepting;

  if (moved && member->service[0] != '\0')
    choose_remove (service_find_or_add (placement, member->service)->choose,
                   member->vm);
  if (anew)
    member->life++;
  member->incarnation = server->incarnation;
  snprintf (member->service, sizeof member->service, "%s", server->service);
  snprintf (member->server_id, sizeof member->server_id, "%s",
            server->server_id);
  member->zone = zone;
  member->slots = server->slots;
  member->accepting = server->accepting;
  if (changed)
    tell_choose (placement, member, now_us);
  take_load (placement, member, &server->load, now_us);
}

void
placement_update_load (placement_t *placement, vm_id_t vm,
                       const server_load_t *load, int64_t now_us)
{
  member_t *member = member_find (placement, vm);
  if (member != NULL)
    take_load (placement, member, load, now_us);
}

void
placement_set_unreachable (placement_t *placement, vm_id_t vm, int64_t now_us)
{
  member_t *member = member_find (placement, vm);
  if (member == NULL || !member->accepting)
    return;
  member->accepting = false;
  tell_choose (placement, member, now_us);
}

void
placement_remove_server (placement_t *placement, vm_id_t vm)
{
  member_t *member = member_find (placement, vm);
  if (member == NULL)
    return;
  service_t *service = service_find (placement, member->service);
  if (service != NULL)
    choose_remove (service->choose, vm);
  *member = placement->members[--placement->member_count];
}

bool
placement_pick_server (placement_t *placement, const char *name,
                       const vm_id_t *exclude, size_t count, int64_t now_us,
                       vm_id_t *vm)
{
  service_t *service = service_find (placement, name);
  return service != NULL
         && choose_pick (service->choose, 0, exclude, count, placement->rng,
                         now_us, vm);
}

void
placement_record_send (placement_t *placement, const char *name, vm_id_t vm)
{
  service_t *service = service_find (placement, name);
  if (service != NULL)
    choose_sent (service->choose, vm);
}

void
placement_record_result (placement_t *placement, const char *name, vm_id_t vm,
                         run_result_t result, int64_t run_us,
                         const server_load_t *load, int64_t now_us)
{
  service_t *service = service_find (placement, name);
  if (service == NULL)
    return;
  choose_report_t report = { load->running + load->queued, load->window };
  choose_done (service->choose, vm, result, run_us,
               load->window > 0 ? &report : NULL, now_us);
  member_t *member = member_find (placement, vm);
  if (member != NULL && load->window > 0)
    take_load (placement, member, load, now_us);
}

uint32_t
placement_accepting_count (const placement_t *placement, const char *name)
{
  uint32_t count = 0;
  for (size_t i = 0; i < placement->member_count; i++)
    count += placement->members[i].accepting
             && strcmp (placement->members[i].service, name) == 0;
  return count;
}

/* Mean over the servers of one service, by what each runs at once: cold ones
   press hard and carry little.  */
static double
own_pressure (const placement_t *placement, const char *name, int64_t now_us)
{
  double sum = 0;
  double slots = 0;
  for (size_t i = 0; i < placement->member_count; i++)
    {
      const member_t *member = &placement->members[i];
      if (!member->accepting || strcmp (member->service, name) != 0
          || now_us - member->told_us > PRESSURE_FRESH_US)
        continue;
      uint32_t window = member->window > 0 ? member->window : member->slots;
      sum += window * member->pressure_permille / 1000.0;
      slots += window;
    }
  return slots > 0 ? sum / slots : 0;
}

double
placement_service_pressure (placement_t *placement, const char *name,
                            int64_t now_us)
{
  service_t *service = service_find_or_add (placement, name);
  if (service->pressure_us == 0
      || now_us - service->pressure_us > PRESSURE_CACHE_US)
    {
      service->pressure = own_pressure (placement, name, now_us);
      service->pressure_us = now_us;
    }
  return service->pressure;
}
