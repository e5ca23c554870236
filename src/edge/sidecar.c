#include "edge/sidecar_impl.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/metrics.h"

enum
{
  TICK_US = 50 * US_PER_MS,
  TICK_LEAST_US = 2 * US_PER_MS,
  LATE_US = 100 * US_PER_MS, /* between two turns, worth a line */
  WHOLE_REPORTS = 8,         /* one in so many tells all, not changes */
  FAR_REPORTS = 2,    /* one in so many goes to other availability zones */
  FAR_FLEET = 24,     /* sidecars up to which each does */
  RATIO_REPORTS = 40, /* one in so many tells what calls what */
  RATIO_FIRST = 8,    /* and of the first ones */
  RATIO_EARLY = 80,
  DEMAND_REPORTS = 64, /* one in so many tells all demands, not changes */
  TRAFFIC_LOGGED = 40, /* one in so many logs the traffic */
  RATIO_LOGGED = 40,   /* one in so many is logged with it */
  /* A caller's machine misses two readiness checks, a second apart, before
     it sends elsewhere.  */
  READY_NOTICE_US = 2300 * US_PER_MS,
  CLOSING_US = 300 * US_PER_MS,       /* for callers to see the closes */
  LAST_ANSWERS_US = 1000 * US_PER_MS, /* kept back from the time to stop */
  LAST_BYTES_US = 700 * US_PER_MS,    /* of these, for callers to read on */
  BODIES_SHARE = 4, /* of the memory, for bodies of callers: a quarter */
  LIMITS_NOTICE_US = 5 * US_PER_S, /* for callers to hear of lower limits */
  UNREAD_BYTES = 256 * 1024,
  PIPELINED_MAX = 32,
  BODY_TIMEOUT_US = 10 * US_PER_S /* between two pieces of a body */
};

/* --- the operators ----------------------------------------------------- */

static http_limits_t
caller_limits (const sidecar_t *sidecar, const policy_limits_t *limits)
{
  return (http_limits_t){
    .header_bytes = limits->header_bytes_max,
    .body_bytes = limits->body_bytes_max,
    .header_timeout_us = limits->header_timeout_us,
    .body_timeout_us = BODY_TIMEOUT_US,
    .idle_timeout_us = limits->idle_timeout_us,
    .pipelined_requests = PIPELINED_MAX,
    .total_body_bytes
    = (uint64_t)sidecar->settings.memory_mb * 1024 * 1024 / BODIES_SHARE,
    .unread_bytes = UNREAD_BYTES,
  };
}

static const policy_limits_t first_limits = {
  .header_bytes_max = 16 * 1024,
  .body_bytes_max = 1024 * 1024,
  .header_timeout_us = 3 * US_PER_S,
  .idle_timeout_us = 15 * US_PER_S,
};

static void
on_policy (void *ctx, const policy_t *policy)
{
  sidecar_t *sidecar = ctx;
  http_limits_t limits = caller_limits (sidecar, &policy->limits);
  entry_set_policy (sidecar->entry, policy);
  http_server_set_limits (sidecar->callers, &limits, LIMITS_NOTICE_US);
  for (size_t i = 0; i < policy->account_count; i++)
    quota_set_limit (sidecar->quota, policy->accounts[i].name,
                     policy->accounts[i].rate_per_s,
                     policy->accounts[i].burst);
  int service = policy_find_service (policy, sidecar->settings.service);
  backend_watch_set_service (sidecar->watch,
                             service >= 0 ? &policy->services[service] : NULL);
  sidecar_state_changed (sidecar);
}

static void
on_zones (void *ctx)
{
  sidecar_t *sidecar = ctx;
  backend_watch_set_zone_out (
      sidecar->watch,
      operator_feed_zone_is_out (sidecar->operators, sidecar->settings.zone));
}

/* --- the fleet --------------------------------------------------------- */

static void
count_members (sidecar_t *sidecar)
{
  uint32_t count = members_count (sidecar->members);
  quota_set_member_count (sidecar->quota, count);
  entry_set_sidecar_count (sidecar->entry, count);
}

static void
on_joined (void *ctx, vm_id_t vm)
{
  sidecar_t *sidecar = ctx;
  peer_set_add (sidecar->peers, vm);
  count_members (sidecar);
}

static void
on_left (void *ctx, vm_id_t vm)
{
  sidecar_t *sidecar = ctx;
  peer_set_remove (sidecar->peers, vm);
  quota_remove_member (sidecar->quota, vm);
  count_members (sidecar);
}

/* --- the backend server ------------------------------------------------ */

static void
on_server_lost (void *ctx, const char *server_id)
{
  sidecar_t *sidecar = ctx;
  backend_watch_mark_lost (sidecar->watch, server_id);
}

static void
on_faulted (void *ctx, const char *attempt_id, const char *server_id,
            cause_t cause)
{
  sidecar_t *sidecar = ctx;
  event_log_write (&sidecar->log, EVENT_REQUEST, "run-failed",
                   "id=%s server=%s cause=%s", attempt_id, server_id,
                   cause_name (cause));
}

static void
on_suspects (void *ctx, uint32_t count)
{
  sidecar_t *sidecar = ctx;
  event_log_write (&sidecar->log, EVENT_STATE_CHANGE,
                   count > 0 ? "backend-crashed" : "suspect-cleared",
                   "suspects=%u server=%s", count,
                   backend_watch_view (sidecar->watch)->id);
  sidecar_beliefs_changed (sidecar);
}

/* --- callers ------------------------------------------------------------- */

static void
on_connection_cut (void *ctx, const http_close_report_t *report)
{
  sidecar_t *sidecar = ctx;
  event_log_write (
      &sidecar->log, EVENT_REQUEST, "connection-cut",
      "end=%s unanswered=%u late-requests=%u late-bytes=%u "
      "quiet-ms=%lld idle-limit-ms=%lld config=%llu",
      http_close_reason_name (report->reason), report->unanswered_requests,
      report->late_requests, report->late_bytes,
      (long long)(report->no_progress_us / US_PER_MS),
      (long long)(report->idle_limit_us / US_PER_MS),
      (unsigned long long)operator_feed_config_version (sidecar->operators));
}

/* --- readiness and metrics --------------------------------------------- */

static bool
is_ready (const sidecar_t *sidecar)
{
  return sidecar->phase == PHASE_RUNNING
         && operator_feed_policy (sidecar->operators) != NULL;
}

static void
on_ready (void *ctx, http_exchange_t *http)
{
  sidecar_t *sidecar = ctx;
  bool known
      = strcmp (bytes_data (&http->target), sidecar->dialect->readiness_path)
        == 0;
  int status = !known ? 404 : is_ready (sidecar) ? 200 : 503;
  http_respond (http, status, NULL, 0, NULL, 0);
}

static void
on_metrics (void *ctx, http_exchange_t *http)
{
  sidecar_t *sidecar = ctx;
  metrics_parts_t parts = {
    .loop = &sidecar->loop,
    .log = &sidecar->log,
    .entry = entry_state (sidecar->entry),
    .runner = runner_state (sidecar->runner),
    .load = runner_server_load (sidecar->runner),
    .peers = peer_set_state (sidecar->peers),
    .store = store_state (sidecar->store),
    .callers = http_server_state (sidecar->callers),
    .config_version = operator_feed_config_version (sidecar->operators),
  };
  bytes_t text = { 0 };
  static const char type[] = "Content-Type: text/plain\r\n";
  metrics_write (&text, &parts);
  http_respond (http, 200, type, sizeof type - 1, bytes_data (&text),
                bytes_size (&text));
  bytes_free (&text);
}

static void
on_small_gone (void *ctx, http_exchange_t *http)
{
  (void)ctx;
  (void)http;
}

/* --- time -------------------------------------------------------------- */

/* One line a second while the backend server is near its limits.  */
static void
log_load (sidecar_t *sidecar)
{
  server_load_t load = runner_server_load (sidecar->runner);
  int64_t now_us = sidecar->loop.now_us;
  bool busy = load.queued > 0 || load.pressure_permille > 0;
  if (!busy || now_us - sidecar->load_logged_us < US_PER_S)
    return;
  sidecar->load_logged_us = now_us;
  event_log_write (
      &sidecar->log, EVENT_STATE_CHANGE, "load",
      "running=%u queued=%u window=%u pressure=%u slow=%u run-us=%lld",
      load.running, load.queued, load.window, load.pressure_permille,
      load.slowdown_permille, (long long)runner_mean_run_us (sidecar->runner));
}

/* Whether somebody has not got all of what was written for them, or is in the
   middle of a request.  */
static bool
is_busy (const sidecar_t *sidecar)
{
  return http_server_is_busy (sidecar->callers)
         || peer_set_has_unsent_data (sidecar->peers);
}

/* What is read from now on would get no answer.  */
static void
stop_reading (sidecar_t *sidecar)
{
  http_server_stop_reading (sidecar->callers);
  http_server_stop_reading (sidecar->announce);
  http_server_stop_reading (sidecar->ready);
  http_server_stop_reading (sidecar->metrics);
}

static void
next_phase (sidecar_t *sidecar)
{
  int64_t age_us = sidecar->loop.now_us - sidecar->stop_us;
  uint32_t open = entry_state (sidecar->entry).open_requests
                  + runner_open_run_count (sidecar->runner);
  if (sidecar->phase == PHASE_NOTICE && age_us >= READY_NOTICE_US)
    {
      sidecar->phase = PHASE_DRAINING;
      http_server_drain (sidecar->callers);
    }
  int64_t left_us = sidecar->stop_end_us - sidecar->loop.now_us;
  if (sidecar->phase != PHASE_ENDING && left_us <= 0)
    {
      sidecar->phase = PHASE_ENDING;
      runner_stop (sidecar->runner);
      entry_end_open_requests (sidecar->entry);
      http_server_drain (sidecar->callers);
    }
  bool drained = sidecar->phase == PHASE_DRAINING && open == 0
                 && age_us >= READY_NOTICE_US + CLOSING_US;
  /* Runs of other sidecars' callers may still end.  */
  bool ended = drained
               || (sidecar->phase == PHASE_ENDING
                   && runner_open_run_count (sidecar->runner) == 0);
  if ((ended && !is_busy (sidecar)) || left_us <= -LAST_BYTES_US)
    {
      event_log_write (&sidecar->log, EVENT_LIFECYCLE, "stopped",
                       "after-ms=%lld open=%u connections=%u",
                       (long long)(age_us / US_PER_MS), open,
                       http_server_state (sidecar->callers).connections);
      stop_reading (sidecar);
      ev_break (sidecar->loop.ev, EVBREAK_ALL);
    }
}

/* Sockets went unread for long: the process had no processor time, or spent
   it on one turn.  */
static void
log_late_loop (sidecar_t *sidecar)
{
  int64_t gap_us = sidecar->loop.now_us - sidecar->loop.previous_now_us;
  if (gap_us >= LATE_US)
    event_log_write (&sidecar->log, EVENT_STATE_CHANGE, "loop-late",
                     "gap-ms=%lld", (long long)(gap_us / US_PER_MS));
}

/* How callers have left since the start, and what may have hidden it.  */
static void
log_callers (sidecar_t *sidecar)
{
  http_server_state_t callers = http_server_state (sidecar->callers);
  uint64_t gone = 0;
  for (int i = 0; i < HTTP_UNSEEN_BUCKETS; i++)
    gone += callers.caller_gone_counts[i];
  event_log_write (
      &sidecar->log, EVENT_LIFECYCLE, "callers",
      "connections=%u gone=%llu unseen-ms-most=%lld "
      "reads-abandoned=%llu reads-paused=%llu orphaned=%llu "
      "loop-gap-ms-most=%lld",
      callers.connections, (unsigned long long)gone,
      (long long)(callers.unseen_max_us / US_PER_MS),
      (unsigned long long)callers.reads_abandoned,
      (unsigned long long)callers.reads_paused,
      (unsigned long long)runner_state (sidecar->runner).runs_orphaned,
      (long long)(sidecar->loop.gap_max_us / US_PER_MS));
}

/* What was sent where since the start, now and then.  */
static void
log_traffic (sidecar_t *sidecar)
{
  entry_state_t entry = entry_state (sidecar->entry);
  peer_set_state_t peers = peer_set_state (sidecar->peers);
  store_state_t store = store_state (sidecar->store);
  event_log_write (
      &sidecar->log, EVENT_LIFECYCLE, "traffic",
      "local=%llu remote=%llu far=%llu frames=%llu bytes=%llu "
      "peers=%u up=%u far-report=%llu far-call=%llu far-answer=%llu "
      "far-document=%llu store-reads=%llu store-writes=%llu",
      (unsigned long long)entry.placed_local,
      (unsigned long long)entry.placed_remote,
      (unsigned long long)entry.placed_cross_zone,
      (unsigned long long)peers.frames_out,
      (unsigned long long)peers.bytes_out, peers.members, peers.peers_up,
      (unsigned long long)peers.cross_zone_bytes[TRAFFIC_REPORT],
      (unsigned long long)peers.cross_zone_bytes[TRAFFIC_CALL],
      (unsigned long long)peers.cross_zone_bytes[TRAFFIC_ANSWER],
      (unsigned long long)peers.cross_zone_bytes[TRAFFIC_DOCUMENT],
      (unsigned long long)store.reads, (unsigned long long)store.writes);
}

static void
on_tick (struct ev_loop *ev, ev_timer *timer, int events)
{
  sidecar_t *sidecar = timer->data;
  (void)ev;
  (void)events;
  sidecar_catch_up (sidecar);
  log_late_loop (sidecar);
  int64_t due_us = runner_tick (sidecar->runner) - sidecar->loop.now_us;
  if (due_us < TICK_LEAST_US)
    due_us = TICK_LEAST_US;
  backend_watch_tick (sidecar->watch);
  log_load (sidecar);
  if (sidecar->phase != PHASE_RUNNING)
    next_phase (sidecar);
  loop_start_timer (&sidecar->loop, timer,
                    due_us < TICK_US ? due_us : TICK_US);
}

/* What calls what changes slowly, so only some reports carry it.  */
static void
tell_ratios (sidecar_t *sidecar)
{
  fleet_tell_t *tell = &sidecar->tell;
  call_learner_tick (sidecar->learner, sidecar->loop.now_us);
  tell->ratio_count = 0;
  bool early
      = sidecar->reports < RATIO_EARLY && sidecar->reports % RATIO_FIRST == 0;
  if (!early && sidecar->reports % RATIO_REPORTS != 0)
    return;
  call_learner_visit_ratios (sidecar->learner, sidecar_add_ratio, sidecar);
  for (uint32_t i = 0; i < tell->ratio_count; i++)
    {
      const mesh_ratio *ratio = &tell->ratios[i];
      sidecar_take_ratio (sidecar, ratio);
      if (sidecar->reports % RATIO_LOGGED == 0)
        event_log_write (&sidecar->log, EVENT_STATE_CHANGE, "calls-learnt",
                         "caller=%s callee=%s permille=%u", ratio->caller,
                         ratio->callee, ratio->permille);
    }
}

static void
on_report_due (struct ev_loop *ev, ev_timer *timer, int events)
{
  sidecar_t *sidecar = timer->data;
  placement_server_t server;
  (void)ev;
  (void)events;
  sidecar_own_server (sidecar, &server);
  placement_update_server (sidecar->placement, &server, sidecar->loop.now_us);
  sidecar->reports++;
  if (sidecar->reports % TRAFFIC_LOGGED == 0)
    {
      log_traffic (sidecar);
      log_callers (sidecar);
    }
  tell_ratios (sidecar);
  bool whole = sidecar->reports % WHOLE_REPORTS == 0;
  bool far = members_count (sidecar->members) <= FAR_FLEET
             || sidecar->reports % FAR_REPORTS == 0;
  sidecar->tell.near_count = 0;
  quota_tick (sidecar->quota, sidecar->loop.now_us, rng_unit (&sidecar->rng),
              sidecar->reports % DEMAND_REPORTS == 0, sidecar_add_demand,
              sidecar);
  peer_set_tick (sidecar->peers, whole, far);
  if (far)
    sidecar->tell.far_count = 0;
}

static void
on_stop (struct ev_loop *ev, ev_signal *signal, int events)
{
  sidecar_t *sidecar = signal->data;
  (void)ev;
  (void)events;
  if (sidecar->phase != PHASE_RUNNING)
    return;
  sidecar->phase = PHASE_NOTICE;
  sidecar->stop_us = sidecar->loop.now_us;
  sidecar->stop_end_us = sidecar->stop_us
                         + (int64_t)(sidecar->settings.stop_s * US_PER_S)
                         - LAST_ANSWERS_US;
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "stopping",
                   "open=%u runs=%u",
                   entry_state (sidecar->entry).open_requests,
                   runner_open_run_count (sidecar->runner));
  entry_set_stop_window (sidecar->entry, sidecar->stop_us,
                         sidecar->stop_end_us);
  members_leave (sidecar->members);
  sidecar_beliefs_changed (sidecar);
}

static void
on_hup (struct ev_loop *ev, ev_signal *signal, int events)
{
  sidecar_t *sidecar = signal->data;
  sidecar_settings_t settings;
  error_info_t error = { .kind = ERROR_NONE };
  (void)ev;
  (void)events;
  if (!sidecar_settings_load (sidecar->path, &settings, &error))
    {
      event_log_write (&sidecar->log, EVENT_LIFECYCLE, "settings-rejected",
                       "at=\"%s\" error=\"%s\"", error.path, error.message);
      return;
    }
  /* Addresses take effect at the next start.  */
  sidecar->settings.stop_s = settings.stop_s;
  sidecar->settings.memory_mb = settings.memory_mb;
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "settings-reloaded",
                   "stop-s=%g memory-mb=%u", settings.stop_s,
                   settings.memory_mb);
}

/* --- assembly ---------------------------------------------------------- */

static const http_limits_t small_limits = {
  .header_bytes = 8 * 1024,
  .body_bytes = 64 * 1024,
  .header_timeout_us = 3 * US_PER_S,
  .body_timeout_us = 3 * US_PER_S,
  .idle_timeout_us = 60 * US_PER_S,
  .pipelined_requests = 4,
  .total_body_bytes = 1024 * 1024,
  .unread_bytes = UNREAD_BYTES,
};

static bool
open_listeners (sidecar_t *sidecar, error_info_t *error)
{
  loop_t *loop = &sidecar->loop;
  const sidecar_settings_t *settings = &sidecar->settings;
  http_limits_t limits = caller_limits (sidecar, &first_limits);
  http_handler_t callers = entry_handler (sidecar->entry);
  http_handler_t announce = backend_watch_handler (sidecar->watch);
  http_handler_t ready = { on_ready, on_small_gone, NULL, sidecar };
  http_handler_t metrics = { on_metrics, on_small_gone, NULL, sidecar };

  sidecar->callers
      = http_server_new (loop, settings->callers, &limits, &callers, error);
  sidecar->announce = http_server_new (loop, settings->announce, &small_limits,
                                       &announce, error);
  sidecar->ready
      = http_server_new (loop, settings->ready, &small_limits, &ready, error);
  sidecar->metrics = http_server_new (loop, settings->metrics, &small_limits,
                                      &metrics, error);
  if (sidecar->callers != NULL)
    http_server_set_close_callback (sidecar->callers, on_connection_cut,
                                    sidecar);
  return sidecar->callers != NULL && sidecar->announce != NULL
         && sidecar->ready != NULL && sidecar->metrics != NULL;
}

static void
start_timer (sidecar_t *sidecar, ev_timer *timer,
             void (*fired) (struct ev_loop *, ev_timer *, int),
             int64_t after_us)
{
  ev_timer_init (timer, fired, 0, 0);
  timer->data = sidecar;
  loop_start_timer (&sidecar->loop, timer, after_us);
}

static void
start_signal (sidecar_t *sidecar, ev_signal *watcher,
              void (*fired) (struct ev_loop *, ev_signal *, int), int number)
{
  ev_signal_init (watcher, fired, number);
  watcher->data = sidecar;
  ev_signal_start (sidecar->loop.ev, watcher);
}

static bool
open_parts (sidecar_t *sidecar, error_info_t *error)
{
  loop_t *loop = &sidecar->loop;
  const dialect_t *dialect = sidecar->dialect;
  const sidecar_settings_t *settings = &sidecar->settings;
  int64_t window_us = (int64_t)(settings->rate_window_s * US_PER_S);
  runner_handler_t runner
      = { on_server_lost, on_faulted, on_suspects, sidecar };
  peer_handler_t peers = sidecar_peer_handler (sidecar);
  operator_feed_handler_t operators = { on_policy, on_zones, sidecar };
  members_handler_t members = { on_joined, on_left, sidecar };

  sidecar->placement
      = placement_new (settings->zone, &sidecar->rng, loop->now_us);
  sidecar->quota = quota_new (window_us);
  sidecar->graph = call_graph_new ();
  sidecar->learner = call_learner_new ();
  sidecar->suspects = crash_suspects_new ();
  sidecar->runner
      = runner_new (loop, dialect, settings->backend, sidecar->incarnation,
                    sidecar->learner, sidecar->suspects, &runner);
  sidecar->serve = (serve_context_t){ sidecar->runner, settings->service };
  sidecar->watch
      = backend_watch_new (loop, dialect, sidecar->runner, settings->service,
                           &sidecar->log, sidecar_beliefs_changed, sidecar);
  sidecar->peers = peer_set_new (loop, settings->peer, settings->peer_bind,
                                 &peers, error);
  if (sidecar->peers == NULL)
    return false;
  entry_deps_t entry = {
    .loop = loop,
    .dialect = dialect,
    .rng = &sidecar->rng,
    .log = &sidecar->log,
    .placement = sidecar->placement,
    .graph = sidecar->graph,
    .learner = sidecar->learner,
    .quota = sidecar->quota,
    .suspects = sidecar->suspects,
    .peers = sidecar->peers,
    .runner = sidecar->runner,
    .service = settings->service,
    .retry_share = settings->retry_share,
    .retry_reserve = settings->retry_reserve,
  };
  sidecar->entry = entry_new (&entry);
  sidecar->operators = operator_feed_new (dialect, &sidecar->log, &operators);
  sidecar->store = store_new (loop, dialect, settings->store, &sidecar->rng,
                              &sidecar->log);
  sidecar->members = members_new (
      sidecar->store, dialect->member_topic, peer_set_own_vm (sidecar->peers),
      sidecar->incarnation, settings->zone, &sidecar->log, &members);
  return open_listeners (sidecar, error);
}

sidecar_t *
sidecar_new (const sidecar_settings_t *settings, const char *path,
             const dialect_t *dialect, const clock_source_t *clock,
             error_info_t *error)
{
  sidecar_t *sidecar = calloc (1, sizeof *sidecar);
  if (sidecar == NULL)
    abort ();
  sidecar->settings = *settings;
  sidecar->dialect = dialect;
  snprintf (sidecar->path, sizeof sidecar->path, "%s", path);
  sidecar->incarnation = (uint64_t)clock_wall_ms (clock);
  uint64_t seed;
  randombytes_buf (&seed, sizeof seed);
  sidecar->rng = rng_seeded (seed);
  sidecar->beliefs
      = (loop_task_t){ .run = sidecar_tell_beliefs, .ctx = sidecar };
  if (!loop_open (&sidecar->loop, clock, error))
    {
      sidecar_free (sidecar);
      return NULL;
    }
  event_log_open (&sidecar->log, &sidecar->loop, STDOUT_FILENO,
                  settings->node);
  if (!open_parts (sidecar, error))
    {
      sidecar_free (sidecar);
      return NULL;
    }
  return sidecar;
}

void
sidecar_run (sidecar_t *sidecar)
{
  store_handler_t operators
      = { operator_feed_begin_snapshot, operator_feed_apply_record,
          operator_feed_end_snapshot, sidecar->operators };
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "started",
                   "version=%s incarnation=%llu service=%s zone=%s",
                   REDWINGFORD_VERSION,
                   (unsigned long long)sidecar->incarnation,
                   sidecar->settings.service, sidecar->settings.zone);
  store_subscribe (sidecar->store, sidecar->dialect->operator_topic,
                   STORE_LONG_POLL, &operators);
  members_join (sidecar->members);
  start_timer (sidecar, &sidecar->tick, on_tick, TICK_US);
  start_timer (sidecar, &sidecar->report, on_report_due,
               PEER_REPORT_INTERVAL_US);
  start_signal (sidecar, &sidecar->term, on_stop, SIGTERM);
  start_signal (sidecar, &sidecar->interrupt, on_stop, SIGINT);
  start_signal (sidecar, &sidecar->hup, on_hup, SIGHUP);
  ev_run (sidecar->loop.ev, 0);
}

void
sidecar_free (sidecar_t *sidecar)
{
  if (sidecar == NULL)
    return;
  http_server_free (sidecar->callers);
  http_server_free (sidecar->announce);
  http_server_free (sidecar->ready);
  http_server_free (sidecar->metrics);
  members_free (sidecar->members);
  store_free (sidecar->store);
  operator_feed_free (sidecar->operators);
  peer_set_free (sidecar->peers);
  entry_free (sidecar->entry);
  backend_watch_free (sidecar->watch);
  runner_free (sidecar->runner);
  quota_free (sidecar->quota);
  crash_suspects_free (sidecar->suspects);
  call_learner_free (sidecar->learner);
  call_graph_free (sidecar->graph);
  placement_free (sidecar->placement);
  event_log_close (&sidecar->log);
  loop_close (&sidecar->loop);
  if (sidecar->rng.ctx != NULL)
    rng_seeded_free (&sidecar->rng);
  free (sidecar);
}
