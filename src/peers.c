#include "peers.h"

#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "log.h"

enum
{
  /* Watches of other services lapse unless they are asked for.  */
  WATCH_PERIOD_MS = 500,
  WATCHED_MEMBERS_MAX = 64,
  SERVICES_MAX = MEMBER_WATCHES_MAX,
  CONFIG_PEERS_MAX = 64,
  PERMILLE = 1000
};

struct peers_t
{
  daemon_t *daemon;
  member_part_t *members;
  contract_part_t *contracts;
};

static bool
serves (const member_record_t *record)
{
  return record->service[0] != '\0' && record->slots > 0;
}

/* A daemon's peer address is its control address with another port.  */
static directory_entry_t
entry_of (const member_record_t *record)
{
  directory_entry_t entry
      = { .vm = record->vm,
          .incarnation = record->life,
          .peer = { vm_id_ip (record->vm), record->peer_port },
          .slots = record->slots,
          .leaving = record->leaving };

  memcpy (entry.service, record->service, sizeof entry.service);
  memcpy (entry.zone, record->zone, sizeof entry.zone);
  return entry;
}

static void
member_changed (void *ctx, const member_record_t *record, member_event_t event)
{
  peers_t *peers = ctx;

  if (record->vm == peers->daemon->vm)
    return;
  if (event == MEMBER_EVENT_DOWN || !serves (record))
    {
      directory_remove (peers->daemon->directory, record->vm);
      return;
    }
  directory_entry_t entry = entry_of (record);
  directory_set (peers->daemon->directory, &entry);
}

static size_t
service_names (daemon_t *daemon, char names[SERVICES_MAX][NAME_BYTES])
{
  size_t count = 0;
  const doc_t *doc = snapshot_acquire (&daemon->snapshot);

  for (size_t i = 0; doc != NULL && i < doc->service_count; i++)
    if (count < SERVICES_MAX)
      memcpy (names[count++], doc->services[i].name, NAME_BYTES);
  snapshot_release (&daemon->snapshot);
  return count;
}

static void
report_load (peers_t *peers)
{
  daemon_t *daemon = peers->daemon;
  executor_status_t status = exec_status (daemon->exec);
  const doc_t *doc = snapshot_acquire (&daemon->snapshot);
  doc_version_t version = doc != NULL ? doc->version : 0;
  uint32_t busy = status.in_flight + status.queued;
  uint32_t load
      = status.window > 0 ? busy * PERMILLE / status.window : PERMILLE;

  snapshot_release (&daemon->snapshot);
  member_part_update_load (peers->members,
                           (uint16_t)(load < UINT16_MAX ? load : UINT16_MAX),
                           status.level, version);
}

/* Tells the configuration which daemons it may talk to.  */
static void
list_config_peers (peers_t *peers)
{
  vm_id_t vms[CONFIG_PEERS_MAX];
  config_peer_t list[CONFIG_PEERS_MAX + 1] = { 0 };
  size_t count = member_part_peers (peers->members, vms, CONFIG_PEERS_MAX);
  backend_t backend = daemon_backend (peers->daemon);

  for (size_t i = 0; i < count; i++)
    {
      member_record_t record;
      list[i].vm = vms[i];
      if (!member_part_find (peers->members, vms[i], &record))
        continue;
      memcpy (list[i].zone, record.zone, sizeof list[i].zone);
      memcpy (list[i].service, record.service, sizeof list[i].service);
    }
  list[count].vm = peers->daemon->vm;
  memcpy (list[count].zone, peers->daemon->settings.zone, NAME_BYTES);
  memcpy (list[count].service, backend.service, NAME_BYTES);
  count++;
  config_feed_set_peers (peers->daemon->config, list, count);
}

/* Keeps the watch of every service in the document alive.  */
static int64_t
watch_services (void *ctx, int64_t now_us)
{
  peers_t *peers = ctx;
  char names[SERVICES_MAX][NAME_BYTES];
  member_record_t records[WATCHED_MEMBERS_MAX];
  size_t count = service_names (peers->daemon, names);

  for (size_t i = 0; i < count; i++)
    member_part_list (peers->members, names[i], records, WATCHED_MEMBERS_MAX,
                      now_us);
  daemon_check_backend (peers->daemon);
  report_load (peers);
  list_config_peers (peers);
  return now_us + (int64_t)WATCH_PERIOD_MS * US_PER_MS;
}

static void
ignore_message (void *ctx, vm_id_t from, const void *data, size_t size,
                int64_t now_us)
{
  (void)ctx;
  (void)from;
  (void)data;
  (void)size;
  (void)now_us;
}

static member_record_t
self_record (daemon_t *daemon)
{
  backend_t backend = daemon_backend (daemon);
  member_record_t self
      = { .vm = daemon->vm,
          .incarnation = daemon->incarnation,
          .life = daemon->incarnation,
          .leaving = backend.present && !daemon_backend_serves (&backend),
          .peer_port = daemon->settings.peer.port,
          .listen_port = daemon->settings.listen.port };

  memcpy (self.zone, daemon->settings.zone, sizeof self.zone);
  memcpy (self.region, daemon->settings.region, sizeof self.region);
  if (backend.present)
    {
      memcpy (self.service, backend.service, sizeof self.service);
      self.slots = backend.slots;
    }
  return self;
}

static size_t
alive_vms (void *ctx, vm_id_t *vms, size_t max)
{
  peers_t *peers = ctx;
  return member_part_peers (peers->members, vms, max);
}

static void
wake_control (void *ctx)
{
  daemon_t *daemon = ctx;
  control_wake (daemon->control);
}

static contract_part_t *
make_contracts (peers_t *peers, const vm_id_t *seeds)
{
  daemon_t *daemon = peers->daemon;
  contract_part_config_t config = { .self = daemon->vm,
                                    .life = daemon->incarnation,
                                    .seeds = seeds,
                                    .seed_count = daemon->settings.seed_count,
                                    .link = endpoint_link (daemon->endpoint),
                                    .rng = &daemon->rng,
                                    .peers = alive_vms,
                                    .peers_ctx = peers,
                                    .wake = wake_control,
                                    .wake_ctx = daemon };

  return contract_part_new (&config, daemon_now_us (daemon));
}

peers_t *
peers_new (daemon_t *daemon)
{
  peers_t *peers = calloc (1, sizeof *peers);
  vm_id_t seeds[SEEDS_MAX];

  peers->daemon = daemon;
  for (size_t i = 0; i < daemon->settings.seed_count; i++)
    seeds[i] = vm_id_make (daemon->settings.seeds[i].ip,
                           daemon->settings.seeds[i].port);
  member_part_config_t config = { .self = self_record (daemon),
                                  .seeds = seeds,
                                  .seed_count = daemon->settings.seed_count,
                                  .link = endpoint_link (daemon->endpoint),
                                  .rng = &daemon->rng,
                                  .change = member_changed,
                                  .change_ctx = peers };
  peers->members = member_part_new (&config, daemon_now_us (daemon));
  control_add (daemon->control, member_part_part (peers->members));
  peers->contracts = make_contracts (peers, seeds);
  control_add (daemon->control, contract_part_part (peers->contracts));
  part_t watch = { .name = "watch",
                   .kind = MESSAGE_KIND_COUNT,
                   .receive = ignore_message,
                   .tick = watch_services,
                   .ctx = peers };
  control_add (daemon->control, watch);
  return peers;
}

void
peers_free (peers_t *peers)
{
  contract_part_free (peers->contracts);
  member_part_free (peers->members);
  free (peers);
}

void
peers_announce (peers_t *peers)
{
  member_record_t self = self_record (peers->daemon);
  member_part_update_self (peers->members, &self,
                           daemon_now_us (peers->daemon));
}

void
peers_leave (peers_t *peers)
{
  log_write (LOG_PART_MEMBER, LOG_LEVEL_NOTICE, "Leaving the fleet.");
  member_part_leave (peers->members, daemon_now_us (peers->daemon));
  contract_part_leave (peers->contracts, daemon_now_us (peers->daemon));
}

bool
peers_have_left (peers_t *peers)
{
  return contract_part_has_left (peers->contracts,
                                 daemon_now_us (peers->daemon));
}

void
peers_finish (peers_t *peers)
{
  contract_part_leave (peers->contracts, daemon_now_us (peers->daemon));
}

member_part_t *
peers_members (peers_t *peers)
{
  return peers->members;
}

contract_part_t *
peers_contracts (peers_t *peers)
{
  return peers->contracts;
}
