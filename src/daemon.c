#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "attempt.h"
#include "http_in.h"
#include "log.h"

enum
{
  POOL_QUEUE_MAX = 4096,
  ANNOUNCE_MISSED_MS = 5000, /* announcements come each second */
  RUN_WORKERS_MAX = 1024,
  RECENT_DECISIONS = 4096,
  DRAIN_POLL_MS = 20,
  /* Long enough for every daemon to hear that this VM leaves.  */
  DRAIN_MIN_MS = 2000,
  /* For handing over what this VM holds, at most.  */
  DRAIN_HANDOVER_MS = 10000
};

static bool
start_network (daemon_t *daemon, error_info_t *error)
{
  const settings_t *settings = &daemon->settings;

  daemon->endpoint = endpoint_new (settings->control, &daemon->seal,
                                   daemon->counters, daemon->clock, error);
  if (daemon->endpoint == NULL)
    return false;
  daemon->vm = endpoint_vm (daemon->endpoint);
  daemon->control = control_new (daemon->endpoint, daemon->clock);
  daemon->exec = exec_new (daemon);
  daemon->peer_in = http_in_new (daemon, HTTP_IN_PEERS, settings->peer, error);
  if (daemon->peer_in == NULL)
    return false;
  daemon->settings.peer.port = http_in_port (daemon->peer_in);
  daemon->listen_in
      = http_in_new (daemon, HTTP_IN_CALLERS, settings->listen, error);
  if (daemon->listen_in == NULL)
    return false;
  daemon->settings.listen.port = http_in_port (daemon->listen_in);
  daemon->prober
      = prober_new (endpoint_link (daemon->endpoint), attempt_lost, daemon);
  control_add (daemon->control, prober_part (daemon->prober));
  daemon->peers = peers_new (daemon);
  daemon->config = config_feed_new (daemon);
  daemon->once = once_serve_new (daemon);
  control_add (daemon->control,
               once_part_part (once_serve_part (daemon->once)));
  daemon->once_feed = once_feed_new (daemon);
  control_start (daemon->control);
  config_feed_start (daemon->config);
  daemon->admin = admin_new (daemon, settings->admin, error);
  if (daemon->admin == NULL)
    return false;
  daemon->settings.admin.port = admin_port (daemon->admin);
  return true;
}

daemon_t *
daemon_new (const settings_t *settings, const clock_source_t *clock,
            error_info_t *error)
{
  daemon_t *daemon = calloc (1, sizeof *daemon);

  daemon->settings = *settings;
  daemon->clock = clock;
  daemon->rng = rng_system ();
  daemon->incarnation = (incarnation_t)clock_wall_ms (clock);
  seal_init (&daemon->seal, settings);
  pthread_mutex_init (&daemon->backend_lock, NULL);
  daemon->counters = counters_new ();
  daemon->recent = recent_new (RECENT_DECISIONS);
  daemon->misspelled = misspelled_new ();
  daemon->timers = timer_queue_new (clock);
  daemon->forward_pool = pool_new (settings->workers, POOL_QUEUE_MAX);
  daemon->run_pool = pool_new (settings->workers, POOL_QUEUE_MAX);
  daemon->out = http_out_new (clock);
  daemon->directory = directory_new (settings->zone, daemon->rng, clock);
  daemon->gate = gate_new ();
  daemon->tokens = tokens_new (daemon->rng);
  if (start_network (daemon, error))
    return daemon;
  daemon_free (daemon);
  return NULL;
}

static void
sleep_ms (uint32_t ms)
{
  struct timespec wait = { 0, (long)ms * US_PER_MS * NS_PER_US };
  nanosleep (&wait, NULL);
}

/* Whether what this VM held is in other hands: its records, the floors that
   were lent to it, and its part in the service's epochs.  */
static bool
has_handed_over (daemon_t *daemon)
{
  return once_part_is_handed_over (once_serve_part (daemon->once))
         && peers_have_left (daemon->peers);
}

static bool
must_wait (daemon_t *daemon, int64_t spent_ms)
{
  int64_t most_ms = daemon->settings.stop_timeout_ms;
  int64_t handover_ms
      = most_ms < DRAIN_HANDOVER_MS ? most_ms : DRAIN_HANDOVER_MS;

  return spent_ms < DRAIN_MIN_MS
         || (spent_ms < handover_ms && !has_handed_over (daemon))
         || (spent_ms < most_ms && atomic_load (&daemon->requests_open) > 0);
}

void
daemon_drain (daemon_t *daemon)
{
  int64_t began_us = daemon_now_us (daemon);

  atomic_store (&daemon->draining, true);
  peers_leave (daemon->peers);
  int64_t now_us = began_us;
  while (must_wait (daemon, (now_us - began_us) / US_PER_MS))
    {
      sleep_ms (DRAIN_POLL_MS);
      now_us = daemon_now_us (daemon);
    }
  peers_finish (daemon->peers);
}

void
daemon_free (daemon_t *daemon)
{
  if (daemon->once_feed != NULL)
    once_feed_free (daemon->once_feed);
  if (daemon->peers != NULL)
    control_stop (daemon->control);
  if (daemon->config != NULL)
    config_feed_free (daemon->config);
  if (daemon->exec != NULL)
    exec_stop (daemon->exec);
  pool_free (daemon->forward_pool);
  pool_free (daemon->run_pool);
  timer_queue_free (daemon->timers);
  if (daemon->exec != NULL)
    exec_free (daemon->exec);
  gate_free (daemon->gate);
  if (daemon->listen_in != NULL)
    http_in_free (daemon->listen_in);
  if (daemon->peer_in != NULL)
    http_in_free (daemon->peer_in);
  if (daemon->admin != NULL)
    admin_free (daemon->admin);
  if (daemon->peers != NULL)
    peers_free (daemon->peers);
  if (daemon->prober != NULL)
    prober_free (daemon->prober);
  if (daemon->once != NULL)
    once_serve_free (daemon->once);
  if (daemon->control != NULL)
    control_free (daemon->control);
  if (daemon->endpoint != NULL)
    endpoint_free (daemon->endpoint);
  http_out_free (daemon->out);
  directory_free (daemon->directory);
  tokens_free (daemon->tokens);
  snapshot_swap (&daemon->snapshot, NULL);
  counters_free (daemon->counters);
  recent_free (daemon->recent);
  misspelled_free (daemon->misspelled);
  pthread_mutex_destroy (&daemon->backend_lock);
  free (daemon);
}

backend_t
daemon_backend (daemon_t *daemon)
{
  pthread_mutex_lock (&daemon->backend_lock);
  backend_t backend = daemon->backend;
  pthread_mutex_unlock (&daemon->backend_lock);
  return backend;
}

static void
list_backend (daemon_t *daemon, const backend_t *backend)
{
  directory_entry_t entry = { .vm = daemon->vm,
                              .incarnation = daemon->incarnation,
                              .peer = daemon->settings.peer,
                              .slots = backend->slots,
                              .leaving = !daemon_backend_serves (backend) };
  memcpy (entry.service, backend->service, sizeof entry.service);
  memcpy (entry.zone, daemon->settings.zone, sizeof entry.zone);
  directory_set (daemon->directory, &entry);
}

/* A backend server that had left or was elsewhere has been started afresh.  */
static bool
is_another_life (const backend_t *before, const backend_t *now)
{
  return before->present
         && ((before->leaving && !now->leaving)
             || before->addr.ip != now->addr.ip
             || before->addr.port != now->addr.port);
}

void
daemon_announce (daemon_t *daemon, const backend_t *backend)
{
  executor_figures_t figures
      = { .slots = backend->slots,
          .connections = backend->connections,
          .cold_slots = backend->cold_slots,
          .warm_us = (int64_t)backend->cold_ramp_ms * US_PER_MS,
          .leaving = backend->leaving };

  pthread_mutex_lock (&daemon->backend_lock);
  bool restarted = is_another_life (&daemon->backend, backend);
  daemon->backend = *backend;
  pthread_mutex_unlock (&daemon->backend_lock);
  if (restarted)
    exec_restarted (daemon->exec);
  /* A run holds a worker, so that slots beyond them would stand idle.  */
  pool_allow (daemon->run_pool, backend->slots < RUN_WORKERS_MAX
                                    ? backend->slots
                                    : RUN_WORKERS_MAX);
  exec_announce (daemon->exec, &figures);
  list_backend (daemon, backend);
  peers_announce (daemon->peers);
}

void
daemon_backend_lost (daemon_t *daemon)
{
  pthread_mutex_lock (&daemon->backend_lock);
  bool news = daemon->backend.present && !daemon->backend.lost;
  daemon->backend.lost = true;
  backend_t backend = daemon->backend;
  pthread_mutex_unlock (&daemon->backend_lock);
  if (!news)
    return;
  log_write (LOG_PART_DAEMON, LOG_LEVEL_WARN,
             "The backend server is lost until it announces itself.");
  list_backend (daemon, &backend);
  peers_announce (daemon->peers);
}

void
daemon_check_backend (daemon_t *daemon)
{
  backend_t backend = daemon_backend (daemon);
  int64_t silent_us = daemon_now_us (daemon) - backend.announced_us;

  if (backend.present && !backend.lost
      && silent_us > (int64_t)ANNOUNCE_MISSED_MS * US_PER_MS)
    daemon_backend_lost (daemon);
}
