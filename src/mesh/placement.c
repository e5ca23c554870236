#include "mesh/placement.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mesh/vm_array.h"

enum
{
  ZONES_MAX = CHOOSE_ZONES_MAX,
  PRESSURE_AGE_MAX_US = 2 * US_PER_S, /* older reports are ignored */
  PRESSURE_CACHE_US = 50 * US_PER_MS
};

/* No slow start here: servers in a cold start are limited by their own
   sidecars, at a known rate.  */
static const choose_options_t choose_options
    = { .periodic_reports = true, .no_ramp = true };

typedef struct service_t
{
  char name[NAME_BYTES];
  choose_t *choose; /* among all servers, or the old ones */
  /* Among the new servers while a version is rolled out, else NULL.  */
  choose_t *new_choose;
  char target_version[NAME_BYTES];
  char halted_version[NAME_BYTES]; /* "" is none */
  bool shifted;
  double pressure; /* cached for PRESSURE_CACHE_US */
  int64_t pressure_updated_us;
} service_t;

typedef struct member_t
{
  vm_id_t vm;
  uint64_t sidecar_incarnation; /* not used by the placement */
  uint32_t service_index;
  char server_id[SERVER_ID_BYTES];
  char version[NAME_BYTES];
  uint32_t server_incarnation; /* counts the changes of server_id */
  uint32_t zone_index;
  uint32_t slots;
  bool accepting;
  bool has_turn; /* read only for a new server */
  uint32_t pressure_permille;
  uint32_t window; /* as reported; 0 if it was not */
  int64_t load_updated_us;
} member_t;

struct placement_t
{
  const rng_t *rng;
  char zones[ZONES_MAX][NAME_BYTES];
  uint32_t zone_count;
  service_t *services;
  size_t service_count;
  member_t *members; /* ordered by vm */
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
    {
      choose_free (placement->services[i].choose);
      choose_free (placement->services[i].new_choose);
    }
  free (placement->services);
  free (placement->members);
  free (placement);
}

/* Index of ZONE.  Zones beyond the first ZONES_MAX share the last index.  */
static uint32_t
find_or_add_zone (placement_t *placement, const char *zone)
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
find_service (const placement_t *placement, const char *name)
{
  for (size_t i = 0; i < placement->service_count; i++)
    if (strcmp (placement->services[i].name, name) == 0)
      return &placement->services[i];
  return NULL;
}

static service_t *
find_or_add_service (placement_t *placement, const char *name)
{
  service_t *service = find_service (placement, name);
  if (service != NULL)
    return service;
  placement->services
      = realloc (placement->services,
                 (placement->service_count + 1) * sizeof *placement->services);
  if (placement->services == NULL)
    abort ();
  service = &placement->services[placement->service_count++];
  *service = (service_t){ .pressure_updated_us = 0 };
  snprintf (service->name, sizeof service->name, "%s", name);
  service->choose = choose_new (&choose_options, placement->started_us);
  return service;
}

static member_t *
find_member (const placement_t *placement, vm_id_t vm)
{
  size_t index = vm_array_search (placement->members, placement->member_count,
                                  sizeof *placement->members, vm);
  return index < placement->member_count && placement->members[index].vm == vm
             ? &placement->members[index]
             : NULL;
}

static member_t *
add_member (placement_t *placement, vm_id_t vm, uint32_t service_index)
{
  size_t index = vm_array_search (placement->members, placement->member_count,
                                  sizeof *placement->members, vm);
  placement->members
      = vm_array_insert (placement->members, &placement->member_count,
                         sizeof *placement->members, index);
  placement->members[index]
      = (member_t){ .vm = vm, .service_index = service_index };
  return &placement->members[index];
}

static bool
is_new_server (const service_t *service, const member_t *member)
{
  return service->new_choose != NULL
         && strcmp (member->version, service->target_version) == 0;
}

/* Whether the server is of a version that gets no requests.  */
static bool
is_halted (const service_t *service, const member_t *member)
{
  return service->halted_version[0] != '\0'
         && strcmp (member->version, service->halted_version) == 0
         && !is_new_server (service, member);
}

static choose_t *
choose_of (const placement_t *placement, const member_t *member)
{
  const service_t *service = &placement->services[member->service_index];
  return is_new_server (service, member) ? service->new_choose
                                         : service->choose;
}

static void
update_choose (placement_t *placement, const member_t *member, int64_t now_us)
{
  const service_t *service = &placement->services[member->service_index];
  bool can_be_picked = member->accepting && !is_halted (service, member)
                       && (member->has_turn || service->shifted
                           || !is_new_server (service, member));
  choose_server_t server = {
    .vm = member->vm,
    .zone = member->zone_index,
    .slots = member->slots,
    .out_of_service = !can_be_picked,
    .incarnation = member->server_incarnation,
  };
  choose_set_server (choose_of (placement, member), &server, now_us);
}

static void
apply_load (placement_t *placement, member_t *member,
            const server_load_t *load, int64_t now_us)
{
  member->pressure_permille = load->pressure_permille;
  member->window = load->window;
  member->load_updated_us = now_us;
  choose_report_t report = { load->running + load->queued, load->window };
  if (load->window > 0)
    choose_record_load (choose_of (placement, member), member->vm, &report,
                        now_us);
  if (load->slowdown_permille > 0)
    choose_set_slowdown (choose_of (placement, member), member->vm,
                         load->slowdown_permille / 1000.0, now_us);
}

void
placement_update_server (placement_t *placement,
                         const placement_server_t *server, int64_t now_us)
{
  uint32_t service_index
      = (uint32_t)(find_or_add_service (placement, server->service)
                   - placement->services);
  member_t *member = find_member (placement, server->vm);
  bool is_new = member == NULL;
  if (is_new)
    member = add_member (placement, server->vm, service_index);
  uint32_t zone_index = find_or_add_zone (placement, server->zone);
  choose_t *choose_before = choose_of (placement, member);
  bool server_changed = strcmp (member->server_id, server->server_id) != 0;
  bool changed
      = is_new || member->service_index != service_index || server_changed
        || strcmp (member->version, server->version) != 0
        || zone_index != member->zone_index || server->slots != member->slots
        || server->accepting != member->accepting;

  if (server_changed)
    member->server_incarnation++;
  member->sidecar_incarnation = server->incarnation;
  member->service_index = service_index;
  snprintf (member->server_id, sizeof member->server_id, "%s",
            server->server_id);
  snprintf (member->version, sizeof member->version, "%s", server->version);
  member->zone_index = zone_index;
  member->slots = server->slots;
  member->accepting = server->accepting;
  if (choose_of (placement, member) != choose_before)
    choose_remove_server (choose_before, member->vm);
  if (changed)
    update_choose (placement, member, now_us);
  apply_load (placement, member, &server->load, now_us);
}

void
placement_update_load (placement_t *placement, vm_id_t vm,
                       const server_load_t *load, int64_t now_us)
{
  member_t *member = find_member (placement, vm);
  if (member != NULL)
    apply_load (placement, member, load, now_us);
}

void
placement_set_unreachable (placement_t *placement, vm_id_t vm, int64_t now_us)
{
  member_t *member = find_member (placement, vm);
  if (member == NULL || !member->accepting)
    return;
  member->accepting = false;
  update_choose (placement, member, now_us);
}

void
placement_remove_server (placement_t *placement, vm_id_t vm)
{
  member_t *member = find_member (placement, vm);
  if (member == NULL)
    return;
  choose_remove_server (choose_of (placement, member), vm);
  vm_array_remove (placement->members, &placement->member_count,
                   sizeof *placement->members,
                   (size_t)(member - placement->members));
}

bool
placement_pick_server (placement_t *placement, const char *service_name,
                       const vm_id_t *exclude, size_t exclude_count,
                       int64_t now_us, vm_id_t *vm)
{
  service_t *found = find_service (placement, service_name);
  return found != NULL
         && choose_pick_server (found->choose, 0, exclude, exclude_count,
                                placement->rng, now_us, vm);
}

bool
placement_pick_new_server (placement_t *placement, const char *service_name,
                           const vm_id_t *exclude, size_t exclude_count,
                           int64_t now_us, vm_id_t *vm)
{
  service_t *found = find_service (placement, service_name);
  return found != NULL && found->new_choose != NULL
         && choose_pick_server (found->new_choose, 0, exclude, exclude_count,
                                placement->rng, now_us, vm);
}

/* The load balancer that counts the requests of SERVICE sent to VM.  */
static choose_t *
choose_for (const placement_t *placement, const service_t *service, vm_id_t vm)
{
  if (service->new_choose == NULL)
    return service->choose;
  const member_t *member = find_member (placement, vm);
  return member != NULL && is_new_server (service, member)
             ? service->new_choose
             : service->choose;
}

void
placement_record_send (placement_t *placement, const char *service_name,
                       vm_id_t vm)
{
  service_t *service = find_service (placement, service_name);
  if (service != NULL)
    choose_record_send (choose_for (placement, service, vm), vm);
}

void
placement_record_result (placement_t *placement, const char *service_name,
                         vm_id_t vm, run_result_t result, int64_t run_us,
                         const server_load_t *load, int64_t now_us)
{
  service_t *service = find_service (placement, service_name);
  if (service == NULL)
    return;
  choose_report_t report = { load->running + load->queued, load->window };
  choose_record_result (choose_for (placement, service, vm), vm, result,
                        run_us, load->window > 0 ? &report : NULL, now_us);
  member_t *member = find_member (placement, vm);
  if (member != NULL && load->window > 0)
    apply_load (placement, member, load, now_us);
}

void
placement_record_run_time (placement_t *placement, const char *service_name,
                           int64_t run_us)
{
  service_t *service = find_service (placement, service_name);
  if (service != NULL)
    choose_record_run_time (service->choose, run_us);
}

static bool
is_of_service (const placement_t *placement, const member_t *member,
               const service_t *service)
{
  return &placement->services[member->service_index] == service;
}

bool
placement_has_other_server (const placement_t *placement,
                            const char *service_name, vm_id_t vm)
{
  const service_t *service = find_service (placement, service_name);
  if (service == NULL)
    return false;
  for (size_t i = 0; i < placement->member_count; i++)
    {
      const member_t *member = &placement->members[i];
      if (member->accepting && member->vm != vm
          && is_of_service (placement, member, service)
          && !is_halted (service, member)
          && (service->new_choose == NULL
              || is_new_server (service, member) == service->shifted))
        return true;
    }
  return false;
}

uint32_t
placement_accepting_count (const placement_t *placement,
                           const char *service_name)
{
  const service_t *service = find_service (placement, service_name);
  uint32_t count = 0;
  if (service == NULL)
    return 0;
  for (size_t i = 0; i < placement->member_count; i++)
    count += placement->members[i].accepting
             && is_of_service (placement, &placement->members[i], service);
  return count;
}

/* Mean pressure of the servers of one service, weighted by the window of each:
   servers in a cold start report a high pressure but carry little load.  */
static double
mean_pressure (const placement_t *placement, const service_t *service,
               int64_t now_us)
{
  double pressure_sum = 0;
  double window_sum = 0;
  for (size_t i = 0; i < placement->member_count; i++)
    {
      const member_t *member = &placement->members[i];
      if (!member->accepting || !is_of_service (placement, member, service)
          || now_us - member->load_updated_us > PRESSURE_AGE_MAX_US)
        continue;
      uint32_t window = member->window > 0 ? member->window : member->slots;
      pressure_sum += window * member->pressure_permille / 1000.0;
      window_sum += window;
    }
  return window_sum > 0 ? pressure_sum / window_sum : 0;
}

double
placement_service_pressure (placement_t *placement, const char *service_name,
                            int64_t now_us)
{
  service_t *service = find_or_add_service (placement, service_name);
  if (service->pressure_updated_us == 0
      || now_us - service->pressure_updated_us > PRESSURE_CACHE_US)
    {
      service->pressure = mean_pressure (placement, service, now_us);
      service->pressure_updated_us = now_us;
    }
  return service->pressure;
}

/* --- roll-outs --------------------------------------------------------- */

/* Adds the servers of SERVICE with VERSION to the load balancers that they
   belong to now.  */
static void
add_servers (placement_t *placement, const service_t *service,
             const char *version, int64_t now_us)
{
  for (size_t i = 0; i < placement->member_count; i++)
    if (is_of_service (placement, &placement->members[i], service)
        && strcmp (placement->members[i].version, version) == 0)
      update_choose (placement, &placement->members[i], now_us);
}

static void
remove_servers (placement_t *placement, const service_t *service,
                const char *version)
{
  for (size_t i = 0; i < placement->member_count; i++)
    if (is_of_service (placement, &placement->members[i], service)
        && strcmp (placement->members[i].version, version) == 0)
      choose_remove_server (choose_of (placement, &placement->members[i]),
                            placement->members[i].vm);
}

void
placement_set_rollout (placement_t *placement, const char *service_name,
                       const char *target_version, bool shifted,
                       int64_t now_us)
{
  service_t *service = find_or_add_service (placement, service_name);
  char before[NAME_BYTES];
  bool shift_changed = service->shifted != shifted;
  service->shifted = shifted;
  snprintf (before, sizeof before, "%s", service->target_version);
  if (strcmp (before, target_version != NULL ? target_version : "") == 0)
    {
      if (shift_changed)
        add_servers (placement, service, before, now_us);
      return;
    }
  if (before[0] != '\0')
    {
      remove_servers (placement, service, before);
      choose_free (service->new_choose);
      service->new_choose = NULL;
      service->target_version[0] = '\0';
      add_servers (placement, service, before, now_us);
    }
  if (target_version == NULL)
    return;
  remove_servers (placement, service, target_version);
  service->new_choose = choose_new (&choose_options, now_us);
  snprintf (service->target_version, sizeof service->target_version, "%s",
            target_version);
  add_servers (placement, service, target_version, now_us);
}

void
placement_set_halted_version (placement_t *placement, const char *service_name,
                              const char *version, int64_t now_us)
{
  service_t *service = find_or_add_service (placement, service_name);
  char before[NAME_BYTES];
  if (strcmp (service->halted_version, version != NULL ? version : "") == 0)
    return;
  snprintf (before, sizeof before, "%s", service->halted_version);
  snprintf (service->halted_version, sizeof service->halted_version, "%s",
            version != NULL ? version : "");
  add_servers (placement, service, before, now_us);
  add_servers (placement, service, service->halted_version, now_us);
}

uint32_t
placement_set_turns (placement_t *placement, const char *service_name,
                     placement_turn_t has_turn, void *ctx, int64_t now_us)
{
  const service_t *service = find_service (placement, service_name);
  uint32_t count = 0;
  uint32_t index = 0;
  if (service == NULL)
    return 0;
  for (size_t i = 0; i < placement->member_count; i++)
    {
      const member_t *member = &placement->members[i];
      count += member->accepting && is_of_service (placement, member, service)
               && is_new_server (service, member);
    }
  for (size_t i = 0; i < placement->member_count; i++)
    {
      member_t *member = &placement->members[i];
      if (!is_of_service (placement, member, service)
          || !is_new_server (service, member))
        continue;
      bool turn = member->accepting && has_turn (ctx, index, count);
      index += member->accepting;
      if (turn == member->has_turn)
        continue;
      member->has_turn = turn;
      update_choose (placement, member, now_us);
    }
  return count;
}

bool
placement_is_new_server (const placement_t *placement,
                         const char *service_name, vm_id_t vm)
{
  const service_t *service = find_service (placement, service_name);
  const member_t *member = find_member (placement, vm);
  return service != NULL && member != NULL
         && is_of_service (placement, member, service)
         && is_new_server (service, member);
}
