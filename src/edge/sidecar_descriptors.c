#include "edge/sidecar_impl.h"

#include <sys/resource.h>

enum
{
  AUXILIARY_SERVERS = 3 /* readiness, announcements and metrics */
};

static uint32_t
total_descriptors (const sidecar_t *sidecar)
{
  struct rlimit process = { .rlim_cur = RLIM_INFINITY };
  getrlimit (RLIMIT_NOFILE, &process);
  return descriptor_total (sidecar->settings.descriptors_max,
                           process.rlim_cur);
}

void
sidecar_apply_descriptor_limits (sidecar_t *sidecar)
{
  sidecar->descriptors = descriptor_budget_split (
      total_descriptors (sidecar), peer_set_stats (sidecar->peers).members);
  const uint32_t *parts = sidecar->descriptors.parts;
  http_connection_limits_t callers
      = { parts[DESCRIPTORS_CALLERS], parts[DESCRIPTORS_REFUSALS] };
  http_connection_limits_t auxiliary
      = { parts[DESCRIPTORS_AUXILIARY] / AUXILIARY_SERVERS, 0 };
  if (auxiliary.served == 0)
    auxiliary.served = 1;
  http_server_set_connection_limits (sidecar->caller_server, &callers);
  http_server_set_connection_limits (sidecar->readiness_server, &auxiliary);
  http_server_set_connection_limits (sidecar->announcement_server, &auxiliary);
  http_server_set_connection_limits (sidecar->metrics_server, &auxiliary);
}

static void
log_lack (sidecar_t *sidecar)
{
  uint64_t backend
      = runner_stats (sidecar->runner).connections.sockets_lacking;
  uint64_t store = store_stats (sidecar->store).sockets_lacking;
  uint64_t links = peer_set_stats (sidecar->peers).sockets_lacking;
  if (backend + store + links == sidecar->logged_lacking)
    return;
  sidecar->logged_lacking = backend + store + links;
  event_log_write (&sidecar->log, EVENT_CONNECTION, "sockets-lacking",
                   "backend=%llu store=%llu links=%llu",
                   (unsigned long long)backend, (unsigned long long)store,
                   (unsigned long long)links);
}

void
sidecar_log_descriptors (sidecar_t *sidecar)
{
  log_lack (sidecar);
  http_server_stats_t callers = http_server_stats (sidecar->caller_server);
  uint64_t closed = callers.close_counts[HTTP_CLOSE_EVICTED];
  uint64_t events
      = closed + callers.refused_beyond_limit + callers.accepting.pauses;
  if (events == sidecar->logged_limit_events)
    return;
  sidecar->logged_limit_events = events;
  event_log_write (
      &sidecar->log, EVENT_CONNECTION, "callers-limited",
      "connections=%u limit=%u closed=%llu refused=%llu paused-ms=%lld",
      callers.connections, sidecar->descriptors.parts[DESCRIPTORS_CALLERS],
      (unsigned long long)closed,
      (unsigned long long)callers.refused_beyond_limit,
      (long long)(callers.accepting.paused_us / US_PER_MS));
}

void
sidecar_count_descriptors (const sidecar_t *sidecar,
                           uint32_t open[DESCRIPTORS_USE_COUNT])
{
  open[DESCRIPTORS_LINKS] = peer_set_stats (sidecar->peers).links_open;
  open[DESCRIPTORS_BACKEND]
      = runner_stats (sidecar->runner).connections.connections;
  open[DESCRIPTORS_STORE] = store_stats (sidecar->store).connections;
  open[DESCRIPTORS_AUXILIARY]
      = http_server_stats (sidecar->readiness_server).connections
        + http_server_stats (sidecar->announcement_server).connections
        + http_server_stats (sidecar->metrics_server).connections;
  open[DESCRIPTORS_CALLERS]
      = http_server_stats (sidecar->caller_server).connections;
}
