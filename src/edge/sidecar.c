#include "edge/sidecar_impl.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/metrics.h"
#include "invariant.h"

/* A constant whose name ends in _EVERY is the period of an action, counted in
   reports.  */
enum
{
  TICK_INTERVAL_US = 50 * US_PER_MS,
  TICK_INTERVAL_MIN_US = 2 * US_PER_MS,
  LOOP_GAP_LOGGED_US = 100 * US_PER_MS, /* shorter gaps are not logged */

  /* Full reports include the identity of the sidecar and its server; the
     others only what changes.  */
  FULL_REPORT_EVERY = 8,
  /* Reports to other availability zones.  Up to SMALL_FLEET_SIDECARS_MAX
     sidecars, every report goes there.  */
  CROSS_ZONE_REPORT_EVERY = 2,
  SMALL_FLEET_SIDECARS_MAX = 24,
  /* Reports that include the call ratios, more often among the first
     EARLY_REPORT_COUNT reports.  */
  RATIO_REPORT_EVERY = 40,
  EARLY_RATIO_REPORT_EVERY = 8,
  EARLY_REPORT_COUNT = 80,
  /* Reports that include all demands, not only those that changed.  */
  ALL_DEMANDS_REPORT_EVERY = 64,
  TRAFFIC_LOG_EVERY = 40,
  RATIO_LOG_EVERY = 40,

  /* Callers send elsewhere only after two readiness checks, one second apart,
     have failed.  */
  NOT_READY_NOTICE_US = 2300 * US_PER_MS,
  /* Time for callers to notice that their connection was closed.  */
  CONNECTION_CLOSE_GRACE_US = 300 * US_PER_MS,
  /* Time at the end of stop_s that is reserved for the last responses.  */
  FLUSH_RESERVE_US = 1000 * US_PER_MS,
  /* Part of FLUSH_RESERVE_US in which callers may still read responses.  */
  FLUSH_TIMEOUT_US = 700 * US_PER_MS,

  BODY_MEMORY_DIVISOR = 4, /* request bodies may use a quarter of memory_mb */
  LOWER_LIMITS_NOTICE_US = 5 * US_PER_S, /* for callers to learn of them */
  UNREAD_RESPONSE_MAX_BYTES = 256 * 1024,
  PIPELINED_REQUESTS_MAX = 32,
  BODY_TIMEOUT_US = 10 * US_PER_S /* without progress in a body */
};

/* --- configuration and availability zones ------------------------------ */

static http_limits_t
caller_http_limits (const sidecar_t *sidecar, const policy_limits_t *limits)
{
  return (http_limits_t){
    .header_bytes = limits->header_bytes_max,
    .body_bytes = limits->body_bytes_max,
    .header_timeout_us = limits->header_timeout_us,
    .body_timeout_us = BODY_TIMEOUT_US,
    .idle_timeout_us = limits->idle_timeout_us,
    .pipelined_requests = PIPELINED_REQUESTS_MAX,
    .total_body_bytes = (uint64_t)sidecar->settings.memory_mb * 1024 * 1024
                        / BODY_MEMORY_DIVISOR,
    .unread_bytes = UNREAD_RESPONSE_MAX_BYTES,
  };
}

/* Limits that apply until the first configuration is known.  */
static const policy_limits_t initial_limits = {
  .header_bytes_max = 16 * 1024,
  .body_bytes_max = 1024 * 1024,
  .header_timeout_us = 3 * US_PER_S,
  .idle_timeout_us = 15 * US_PER_S,
};

/* Applies the limits of the configuration and of the settings.  */
static void
apply_http_limits (sidecar_t *sidecar)
{
  const policy_t *policy = operator_feed_policy (sidecar->operator_feed);
  http_limits_t limits = caller_http_limits (
      sidecar, policy != NULL ? &policy->limits : &initial_limits);
  http_server_set_limits (sidecar->caller_server, &limits,
                          LOWER_LIMITS_NOTICE_US);
}

static void
on_policy_changed (void *ctx, const policy_t *policy)
{
  sidecar_t *sidecar = ctx;
  entry_set_policy (sidecar->entry, policy);
  apply_http_limits (sidecar);
  for (size_t i = 0; i < policy->account_count; i++)
    quota_set_limit (sidecar->quota, policy->accounts[i].name,
                     policy->accounts[i].rate_per_s,
                     policy->accounts[i].burst);
  int service = policy_find_service (policy, sidecar->settings.service);
  backend_watch_set_service (sidecar->backend_watch,
                             service >= 0 ? &policy->services[service] : NULL);
  sidecar_operator_state_changed (sidecar);
}

static void
on_zones_changed (void *ctx)
{
  sidecar_t *sidecar = ctx;
  backend_watch_set_zone_out (
      sidecar->backend_watch,
      operator_feed_zone_is_out (sidecar->operator_feed,
                                 sidecar->settings.zone));
}

/* --- fleet membership -------------------------------------------------- */

static void
update_member_count (sidecar_t *sidecar)
{
  uint32_t count = members_count (sidecar->members);
  quota_set_member_count (sidecar->quota, count);
  entry_set_sidecar_count (sidecar->entry, count);
  sidecar_apply_descriptor_limits (sidecar);
}

static void
on_member_joined (void *ctx, vm_id_t vm)
{
  sidecar_t *sidecar = ctx;
  peer_set_add (sidecar->peers, vm);
  update_member_count (sidecar);
}

static void
on_member_left (void *ctx, vm_id_t vm)
{
  sidecar_t *sidecar = ctx;
  peer_set_remove (sidecar->peers, vm);
  quota_remove_member (sidecar->quota, vm);
  update_member_count (sidecar);
}

static bool
is_member_linked (void *ctx, vm_id_t vm)
{
  sidecar_t *sidecar = ctx;
  peer_t *peer = peer_set_find (sidecar->peers, vm);
  return peer != NULL && peer_is_up (peer);
}

/* --- the backend server ------------------------------------------------ */

static void
on_server_lost (void *ctx, const char *server_id)
{
  sidecar_t *sidecar = ctx;
  backend_watch_mark_unreachable (sidecar->backend_watch, server_id);
}

static void
on_run_failed (void *ctx, const char *attempt_id, const char *server_id,
               cause_t cause)
{
  sidecar_t *sidecar = ctx;
  event_log_write (&sidecar->log, EVENT_REQUEST, "run-failed",
                   "id=%s server=%s cause=%s", attempt_id, server_id,
                   cause_name (cause));
}

static void
on_response_malformed (void *ctx, const char *attempt_id, http_defect_t defect)
{
  sidecar_t *sidecar = ctx;
  bool is_run = attempt_id[0] != '\0';
  event_log_write (&sidecar->log, EVENT_REQUEST, "response-malformed",
                   "from=%s id=%s why=%s", is_run ? "backend" : "health-check",
                   is_run ? attempt_id : "none", http_defect_name (defect));
}

static void
on_suspects_changed (void *ctx, uint32_t count)
{
  sidecar_t *sidecar = ctx;
  event_log_write (&sidecar->log, EVENT_STATE_CHANGE,
                   count > 0 ? "backend-crashed" : "suspect-cleared",
                   "suspects=%u server=%s", count,
                   backend_watch_view (sidecar->backend_watch)->id);
  sidecar_own_server_changed (sidecar);
}

static void
on_run_started (void *ctx, const char *route)
{
  const sidecar_t *sidecar = ctx;
  entry_count_run (sidecar->entry, route);
}

static bool
on_take_resend (void *ctx, const char *route)
{
  const sidecar_t *sidecar = ctx;
  return entry_take_resend (sidecar->entry, route);
}

/* --- callers ------------------------------------------------------------- */

static void
on_connection_closed (void *ctx, const http_close_report_t *report)
{
  sidecar_t *sidecar = ctx;
  event_log_write (
      &sidecar->log, EVENT_CONNECTION, "connection-cut",
      "end=%s caller-end=%s caller-errno=%d requests=%u "
      "unanswered=%u responses-behind=%u oldest-ms=%lld unread-bytes=%u "
      "unparsed-bytes=%u partly-read=%d unsent-bytes=%u "
      "unacked-bytes=%u late-requests=%u late-bytes=%u "
      "quiet-ms=%lld idle-limit-ms=%lld config=%llu",
      http_close_reason_name (report->reason),
      http_caller_end_name (report->caller_end), report->caller_errno,
      report->requests, report->unanswered_requests, report->responses_behind,
      (long long)(report->oldest_unanswered_us / US_PER_MS),
      report->unread_bytes, report->unparsed_bytes, report->partly_read,
      report->unsent_bytes, report->unacked_bytes, report->late_requests,
      report->late_bytes, (long long)(report->no_progress_us / US_PER_MS),
      (long long)(report->idle_limit_us / US_PER_MS),
      (unsigned long long)operator_feed_config_version (
          sidecar->operator_feed));
}

/* --- errors without a caller to tell ------------------------------------ */

static acceptor_stats_t
accepting_stats (const sidecar_t *sidecar, listener_t listener)
{
  const http_server_t *const servers[LISTENER_COUNT] = {
    [LISTENER_CALLERS] = sidecar->caller_server,
    [LISTENER_ANNOUNCEMENTS] = sidecar->announcement_server,
    [LISTENER_READINESS] = sidecar->readiness_server,
    [LISTENER_METRICS] = sidecar->metrics_server,
  };
  if (listener == LISTENER_PEERS)
    return peer_set_stats (sidecar->peers).accepting;
  return http_server_stats (servers[listener]).accepting;
}

/* Logs new failures of accept, at most one line for each listener and
   report.  */
static void
log_accept_failures (sidecar_t *sidecar)
{
  for (int i = 0; i < LISTENER_COUNT; i++)
    {
      acceptor_stats_t accepting = accepting_stats (sidecar, (listener_t)i);
      uint64_t *logged = &sidecar->logged_accept_failures[i];
      if (accepting.failures > *logged)
        event_log_write (&sidecar->log, EVENT_CONNECTION, "accept-failed",
                         "listener=%s errno=%d failures=%llu paused-ms=%lld",
                         listener_name ((listener_t)i), accepting.last_errno,
                         (unsigned long long)(accepting.failures - *logged),
                         (long long)(accepting.paused_us / US_PER_MS));
      *logged = accepting.failures;
    }
}

/* Logs newly dropped frames, at most one line for each kind and report.  */
static void
log_dropped_frames (sidecar_t *sidecar)
{
  peer_set_stats_t peers = peer_set_stats (sidecar->peers);
  for (int i = 0; i < TRAFFIC_COUNT; i++)
    {
      uint64_t *logged = &sidecar->logged_frames_dropped[i];
      if (peers.frames_dropped[i] > *logged)
        event_log_write (
            &sidecar->log, EVENT_CONNECTION, "frame-dropped",
            "kind=%s frames=%llu", peer_traffic_name ((peer_traffic_t)i),
            (unsigned long long)(peers.frames_dropped[i] - *logged));
      *logged = peers.frames_dropped[i];
    }
}

/* --- readiness and metrics --------------------------------------------- */

static bool
is_ready (const sidecar_t *sidecar)
{
  return sidecar->phase == PHASE_RUNNING
         && operator_feed_policy (sidecar->operator_feed) != NULL;
}

static void
on_readiness_request (void *ctx, http_exchange_t *exchange)
{
  sidecar_t *sidecar = ctx;
  bool path_matches = strcmp (bytes_data (&exchange->target),
                              sidecar->dialect->readiness_path)
                      == 0;
  int status = !path_matches ? 404 : is_ready (sidecar) ? 200 : 503;
  http_respond (exchange, status, NULL, 0, NULL, 0);
}

static void
on_metrics_request (void *ctx, http_exchange_t *exchange)
{
  sidecar_t *sidecar = ctx;
  metrics_input_t input = {
    .loop = &sidecar->loop,
    .log = &sidecar->log,
    .entry = entry_stats (sidecar->entry),
    .runner = runner_stats (sidecar->runner),
    .load = runner_server_load (sidecar->runner),
    .peers = peer_set_stats (sidecar->peers),
    .store = store_stats (sidecar->store),
    .callers = http_server_stats (sidecar->caller_server),
    .descriptors = sidecar->descriptors,
    .config_version = operator_feed_config_version (sidecar->operator_feed),
    .config = operator_feed_stats (sidecar->operator_feed),
  };
  for (int i = 0; i < LISTENER_COUNT; i++)
    input.accepting[i] = accepting_stats (sidecar, (listener_t)i);
  sidecar_count_descriptors (sidecar, input.descriptors_open);
  bytes_t text = { 0 };
  static const char headers[] = "Content-Type: text/plain\r\n";
  metrics_write (&text, &input);
  rollout_feed_write_metrics (sidecar->rollouts, &text);
  http_respond (exchange, 200, headers, sizeof headers - 1, bytes_data (&text),
                bytes_size (&text));
  bytes_free (&text);
}

static void
ignore_caller_gone (void *ctx, http_exchange_t *exchange)
{
  (void)ctx;
  (void)exchange;
}

/* --- timers and shutdown ----------------------------------------------- */

/* Logs the backend server's load once a second while calls are queued or it
   reports pressure.  */
static void
log_load (sidecar_t *sidecar)
{
  server_load_t load = runner_server_load (sidecar->runner);
  int64_t now_us = sidecar->loop.now_us;
  bool near_limits = load.queued > 0 || load.pressure_permille > 0;
  if (!near_limits || now_us - sidecar->load_logged_us < US_PER_S)
    return;
  sidecar->load_logged_us = now_us;
  event_log_write (
      &sidecar->log, EVENT_STATE_CHANGE, "load",
      "running=%u queued=%u window=%u pressure=%u slow=%u slow-now=%u "
      "run-us=%lld",
      load.running, load.queued, load.window, load.pressure_permille,
      load.slowdown_permille,
      runner_stats (sidecar->runner).momentary_permille,
      (long long)runner_mean_run_us (sidecar->runner));
}

/* Returns whether a caller is in the middle of a request, or a caller or peer
   has not acknowledged all that was written for it.  */
static bool
has_unfinished_io (const sidecar_t *sidecar)
{
  return http_server_is_busy (sidecar->caller_server)
         || peer_set_has_unacked_data (sidecar->peers);
}

/* Stops reading from all HTTP connections, since a request that is read now
   would get no response.  */
static void
stop_reading (sidecar_t *sidecar)
{
  http_server_stop_reading (sidecar->caller_server);
  http_server_stop_reading (sidecar->announcement_server);
  http_server_stop_reading (sidecar->readiness_server);
  http_server_stop_reading (sidecar->metrics_server);
}

static uint32_t
open_request_count (const sidecar_t *sidecar)
{
  return entry_stats (sidecar->entry).open_requests
         + runner_open_run_count (sidecar->runner);
}

static void
begin_drain (sidecar_t *sidecar)
{
  sidecar->phase = PHASE_DRAINING;
  sidecar->drain_begin_us = sidecar->loop.now_us;
  http_server_drain (sidecar->caller_server);
}

static void
begin_flush (sidecar_t *sidecar)
{
  sidecar->phase = PHASE_FLUSHING;
  runner_stop (sidecar->runner);
  entry_end_open_requests (sidecar->entry);
  http_server_drain (sidecar->caller_server);
}

/* Returns whether all requests have ended.  While flushing, those of callers
   have, but runs for other sidecars may still complete.  */
static bool
is_drained (const sidecar_t *sidecar)
{
  if (sidecar->phase == PHASE_FLUSHING)
    return runner_open_run_count (sidecar->runner) == 0;
  return sidecar->phase == PHASE_DRAINING && open_request_count (sidecar) == 0
         && sidecar->loop.now_us - sidecar->drain_begin_us
                >= CONNECTION_CLOSE_GRACE_US;
}

static void
log_stopped (sidecar_t *sidecar)
{
  int64_t elapsed_us = sidecar->loop.now_us - sidecar->stop_begin_us;
  http_unhandled_input_t unhandled
      = http_server_unhandled_input (sidecar->caller_server);
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "stopped",
                   "after-ms=%lld open=%u connections=%u unread=%u "
                   "partly-read=%u",
                   (long long)(elapsed_us / US_PER_MS),
                   open_request_count (sidecar),
                   http_server_stats (sidecar->caller_server).connections,
                   unhandled.unread, unhandled.partly_read);
}

static void
end_stop (sidecar_t *sidecar)
{
  stop_reading (sidecar);
  log_stopped (sidecar);
  ev_break (sidecar->loop.ev, EVBREAK_ALL);
}

/* Returns whether nothing is left to do or to send.  Once all requests have
   ended, callers that connect are refused, and go elsewhere.  */
static bool
is_stop_complete (sidecar_t *sidecar)
{
  if (!is_drained (sidecar))
    return false;
  http_server_stop_listening (sidecar->caller_server);
  return !has_unfinished_io (sidecar);
}

/* Advances the phase of a graceful stop, and leaves the event loop at the end
   of the stop.  A phase lasts a turn of the loop at least, however late the
   loop runs: what it ends makes connections read on, and so opens and answers
   further requests.  */
static void
advance_phase (sidecar_t *sidecar)
{
  int64_t elapsed_us = sidecar->loop.now_us - sidecar->stop_begin_us;
  int64_t remaining_us = sidecar->drain_deadline_us - sidecar->loop.now_us;
  if (sidecar->phase != PHASE_FLUSHING && remaining_us <= 0)
    begin_flush (sidecar);
  else if (sidecar->phase == PHASE_NOT_READY
           && elapsed_us >= NOT_READY_NOTICE_US)
    begin_drain (sidecar);
  else if (is_stop_complete (sidecar) || remaining_us <= -FLUSH_TIMEOUT_US)
    end_stop (sidecar);
}

/* Logs a long gap between two loop iterations, in which no socket was read.
   Either the process got no CPU time or one iteration took that long.  */
static void
log_loop_gap (sidecar_t *sidecar)
{
  int64_t gap_us = sidecar->loop.now_us - sidecar->loop.previous_now_us;
  if (gap_us >= LOOP_GAP_LOGGED_US)
    event_log_write (&sidecar->log, EVENT_STATE_CHANGE, "loop-late",
                     "gap-ms=%lld", (long long)(gap_us / US_PER_MS));
}

/* Logs how many callers have disconnected since the start, for how long that
   may have gone unnoticed, and what may have delayed noticing it.  */
static void
log_caller_stats (sidecar_t *sidecar)
{
  http_server_stats_t callers = http_server_stats (sidecar->caller_server);
  uint64_t gone_count = 0;
  for (int i = 0; i < HTTP_UNSEEN_BUCKETS; i++)
    gone_count += callers.caller_gone_counts[i];
  event_log_write (
      &sidecar->log, EVENT_LIFECYCLE, "callers",
      "connections=%u gone=%llu unseen-ms-most=%lld "
      "reads-abandoned=%llu reads-paused=%llu orphaned=%llu "
      "loop-gap-ms-most=%lld",
      callers.connections, (unsigned long long)gone_count,
      (long long)(callers.max_unseen_us / US_PER_MS),
      (unsigned long long)callers.reads_abandoned,
      (unsigned long long)callers.reads_paused,
      (unsigned long long)runner_stats (sidecar->runner).runs_orphaned,
      (long long)(sidecar->loop.max_gap_us / US_PER_MS));
}

/* Logs the traffic since the start: calls by placement, bytes to other
   availability zones by kind, and store accesses.  */
static void
log_traffic_stats (sidecar_t *sidecar)
{
  entry_stats_t entry = entry_stats (sidecar->entry);
  peer_set_stats_t peers = peer_set_stats (sidecar->peers);
  store_stats_t store = store_stats (sidecar->store);
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
      (unsigned long long)peers.cross_zone_bytes[TRAFFIC_REPLY],
      (unsigned long long)peers.cross_zone_bytes[TRAFFIC_DOCUMENT],
      (unsigned long long)store.reads, (unsigned long long)store.writes);
}

/* Logs what became of calls whose links were lost, since the start: those of
   this sidecar's callers, and the idempotent runs for other sidecars.  */
static void
log_lost_calls (sidecar_t *sidecar)
{
  entry_stats_t entry = entry_stats (sidecar->entry);
  runner_stats_t runner = runner_stats (sidecar->runner);
  event_log_write (
      &sidecar->log, EVENT_LIFECYCLE, "lost-calls",
      "reads=%llu reads-answered=%llu reads-refused=%llu reads-unknown=%llu "
      "bookings=%llu bookings-answered=%llu bookings-refused=%llu "
      "bookings-unknown=%llu detached=%llu resumed=%llu replayed=%llu "
      "expired=%llu not-detached=%llu queries-unknown=%llu",
      (unsigned long long)entry.lost_reads.queried,
      (unsigned long long)entry.lost_reads.answered,
      (unsigned long long)entry.lost_reads.refused,
      (unsigned long long)entry.lost_reads.unknown,
      (unsigned long long)entry.lost_bookings.queried,
      (unsigned long long)entry.lost_bookings.answered,
      (unsigned long long)entry.lost_bookings.refused,
      (unsigned long long)entry.lost_bookings.unknown,
      (unsigned long long)runner.runs_detached,
      (unsigned long long)runner.runs_resumed,
      (unsigned long long)runner.runs_replayed,
      (unsigned long long)runner.runs_detach_expired,
      (unsigned long long)runner.runs_detach_refused,
      (unsigned long long)runner.queries_unknown);
}

/* Refusals by the HTTP server itself are complete at once.  */
static void
check_open_requests (const sidecar_t *sidecar)
{
  uint32_t entry_count = entry_stats (sidecar->entry).open_requests;
  uint32_t server_count
      = http_server_stats (sidecar->caller_server).open_exchanges;
  INVARIANT (entry_count == server_count,
             "%u requests are open at the entry point, %u in the HTTP server",
             entry_count, server_count);
}

static void
on_tick (struct ev_loop *ev, ev_timer *timer, int events)
{
  sidecar_t *sidecar = timer->data;
  (void)ev;
  (void)events;
  sidecar_request_operator_state (sidecar);
  log_loop_gap (sidecar);
  int64_t delay_us = runner_tick (sidecar->runner) - sidecar->loop.now_us;
  if (delay_us < TICK_INTERVAL_MIN_US)
    delay_us = TICK_INTERVAL_MIN_US;
  backend_watch_tick (sidecar->backend_watch);
  sidecar_tick_rollouts (sidecar);
  log_load (sidecar);
  check_open_requests (sidecar);
  if (sidecar->phase != PHASE_RUNNING)
    advance_phase (sidecar);
  loop_start_timer (&sidecar->loop, timer,
                    delay_us < TICK_INTERVAL_US ? delay_us : TICK_INTERVAL_US);
}

/* Collects the call ratios for the next report and applies them locally.  They
   change slowly, so only some reports include them.  */
static void
collect_ratios (sidecar_t *sidecar)
{
  pending_report_t *pending = &sidecar->pending_report;
  call_learner_tick (sidecar->learner, sidecar->loop.now_us);
  pending->ratio_count = 0;
  bool early = sidecar->report_count < EARLY_REPORT_COUNT
               && sidecar->report_count % EARLY_RATIO_REPORT_EVERY == 0;
  if (!early && sidecar->report_count % RATIO_REPORT_EVERY != 0)
    return;
  call_learner_visit_ratios (sidecar->learner, sidecar_add_ratio, sidecar);
  for (uint32_t i = 0; i < pending->ratio_count; i++)
    {
      const mesh_ratio *ratio = &pending->ratios[i];
      sidecar_apply_ratio (sidecar, ratio);
      if (sidecar->report_count % RATIO_LOG_EVERY == 0)
        event_log_write (&sidecar->log, EVENT_STATE_CHANGE, "calls-learnt",
                         "caller=%s callee=%s permille=%u", ratio->caller,
                         ratio->callee, ratio->permille);
    }
}

static void
on_report_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  sidecar_t *sidecar = timer->data;
  placement_server_t server;
  (void)ev;
  (void)events;
  sidecar_describe_own_server (sidecar, &server);
  placement_update_server (sidecar->placement, &server, sidecar->loop.now_us);
  rollout_feed_evaluate (sidecar->rollouts);
  sidecar->report_count++;
  log_accept_failures (sidecar);
  sidecar_log_descriptors (sidecar);
  log_dropped_frames (sidecar);
  if (sidecar->report_count % TRAFFIC_LOG_EVERY == 0)
    {
      log_traffic_stats (sidecar);
      log_caller_stats (sidecar);
      log_lost_calls (sidecar);
    }
  collect_ratios (sidecar);
  bool full = sidecar->report_count % FULL_REPORT_EVERY == 0;
  bool cross_zone
      = members_count (sidecar->members) <= SMALL_FLEET_SIDECARS_MAX
        || sidecar->report_count % CROSS_ZONE_REPORT_EVERY == 0;
  sidecar->pending_report.own_zone_demand_count = 0;
  quota_tick (sidecar->quota, sidecar->loop.now_us, rng_unit (&sidecar->rng),
              sidecar->report_count % ALL_DEMANDS_REPORT_EVERY == 0,
              sidecar_add_demand, sidecar);
  peer_set_tick (sidecar->peers, full, cross_zone);
  if (cross_zone)
    sidecar->pending_report.cross_zone_demand_count = 0;
}

static void
on_stop_signal (struct ev_loop *ev, ev_signal *watcher, int events)
{
  sidecar_t *sidecar = watcher->data;
  (void)ev;
  (void)events;
  if (sidecar->phase != PHASE_RUNNING)
    return;
  sidecar->phase = PHASE_NOT_READY;
  sidecar->stop_begin_us = sidecar->loop.now_us;
  sidecar->drain_deadline_us = sidecar->stop_begin_us
                               + (int64_t)(sidecar->settings.stop_s * US_PER_S)
                               - FLUSH_RESERVE_US;
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "stopping",
                   "open=%u runs=%u",
                   entry_stats (sidecar->entry).open_requests,
                   runner_open_run_count (sidecar->runner));
  entry_set_stop_window (sidecar->entry, sidecar->stop_begin_us,
                         sidecar->drain_deadline_us);
  members_leave (sidecar->members);
  sidecar_own_server_changed (sidecar);
}

static void
on_sighup (struct ev_loop *ev, ev_signal *watcher, int events)
{
  sidecar_t *sidecar = watcher->data;
  sidecar_settings_t settings;
  error_info_t error = { .kind = ERROR_NONE };
  (void)ev;
  (void)events;
  if (!sidecar_settings_load (sidecar->settings_path, &settings, &error))
    {
      event_log_write (&sidecar->log, EVENT_LIFECYCLE, "settings-rejected",
                       "at=\"%s\" error=\"%s\"", error.path, error.message);
      return;
    }
  /* Other settings, such as addresses, take effect only at the next start.  */
  sidecar->settings.stop_s = settings.stop_s;
  sidecar->settings.memory_mb = settings.memory_mb;
  sidecar->settings.descriptors_max = settings.descriptors_max;
  sidecar_apply_descriptor_limits (sidecar);
  apply_http_limits (sidecar);
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "settings-reloaded",
                   "stop-s=%g memory-mb=%u descriptors=%u", settings.stop_s,
                   settings.memory_mb, settings.descriptors_max);
}

/* --- construction ------------------------------------------------------ */

/* Limits of the listeners for readiness checks, announcements and metrics.  */
static const http_limits_t auxiliary_limits = {
  .header_bytes = 8 * 1024,
  .body_bytes = 64 * 1024,
  .header_timeout_us = 3 * US_PER_S,
  .body_timeout_us = 3 * US_PER_S,
  .idle_timeout_us = 60 * US_PER_S,
  .pipelined_requests = 4,
  .total_body_bytes = 1024 * 1024,
  .unread_bytes = UNREAD_RESPONSE_MAX_BYTES,
};

static bool
open_listeners (sidecar_t *sidecar, error_info_t *error)
{
  loop_t *loop = &sidecar->loop;
  const sidecar_settings_t *settings = &sidecar->settings;
  http_limits_t limits = caller_http_limits (sidecar, &initial_limits);
  http_handler_t caller_handler = entry_handler (sidecar->entry);
  http_handler_t announcement_handler
      = backend_watch_handler (sidecar->backend_watch);
  http_handler_t readiness_handler = {
    on_readiness_request, ignore_caller_gone, NULL, NULL, NULL, sidecar
  };
  http_handler_t metrics_handler
      = { on_metrics_request, ignore_caller_gone, NULL, NULL, NULL, sidecar };

  sidecar->caller_server = http_server_new (loop, settings->callers, &limits,
                                            &caller_handler, error);
  sidecar->announcement_server
      = http_server_new (loop, settings->announce, &auxiliary_limits,
                         &announcement_handler, error);
  sidecar->readiness_server = http_server_new (
      loop, settings->ready, &auxiliary_limits, &readiness_handler, error);
  sidecar->metrics_server = http_server_new (
      loop, settings->metrics, &auxiliary_limits, &metrics_handler, error);
  if (sidecar->caller_server != NULL)
    http_server_set_close_callback (sidecar->caller_server,
                                    on_connection_closed, sidecar);
  return sidecar->caller_server != NULL && sidecar->announcement_server != NULL
         && sidecar->readiness_server != NULL
         && sidecar->metrics_server != NULL;
}

static void
start_timer (sidecar_t *sidecar, ev_timer *timer,
             void (*callback) (struct ev_loop *, ev_timer *, int),
             int64_t delay_us)
{
  ev_timer_init (timer, callback, 0, 0);
  timer->data = sidecar;
  loop_start_timer (&sidecar->loop, timer, delay_us);
}

static void
start_signal (sidecar_t *sidecar, ev_signal *watcher,
              void (*callback) (struct ev_loop *, ev_signal *, int),
              int signal_number)
{
  ev_signal_init (watcher, callback, signal_number);
  watcher->data = sidecar;
  ev_signal_start (sidecar->loop.ev, watcher);
}

static void
unblock_signal (int signal_number)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, signal_number);
  sigprocmask (SIG_UNBLOCK, &set, NULL);
}

static bool
create_components (sidecar_t *sidecar, error_info_t *error)
{
  loop_t *loop = &sidecar->loop;
  const dialect_t *dialect = sidecar->dialect;
  const sidecar_settings_t *settings = &sidecar->settings;
  int64_t rate_window_us = (int64_t)(settings->rate_window_s * US_PER_S);
  runner_handler_t runner_handler = { on_server_lost,
                                      on_run_failed,
                                      on_response_malformed,
                                      on_suspects_changed,
                                      on_run_started,
                                      on_take_resend,
                                      sidecar };
  peer_handler_t peer_handler = sidecar_peer_handler (sidecar);
  operator_feed_handler_t operator_handler
      = { on_policy_changed, on_zones_changed, sidecar };
  members_handler_t members_handler
      = { on_member_joined, on_member_left, is_member_linked, sidecar };

  sidecar->placement
      = placement_new (settings->zone, &sidecar->rng, loop->now_us);
  sidecar->quota = quota_new (rate_window_us);
  sidecar->graph = call_graph_new ();
  sidecar->learner = call_learner_new ();
  sidecar->suspects = crash_suspects_new ();
  sidecar->runner
      = runner_new (loop, dialect, settings->backend, sidecar->incarnation,
                    sidecar->learner, sidecar->suspects, &runner_handler);
  sidecar->serve_context
      = (serve_context_t){ sidecar->runner, settings->service };
  sidecar->backend_watch
      = backend_watch_new (loop, dialect, sidecar->runner, settings->service,
                           &sidecar->log, sidecar_own_server_changed, sidecar);
  sidecar->peers = peer_set_new (loop, settings->peer, settings->peer_bind,
                                 &peer_handler, error);
  if (sidecar->peers == NULL)
    return false;
  entry_deps_t entry_deps = {
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
  sidecar->entry = entry_new (&entry_deps);
  sidecar_create_rollouts (sidecar);
  sidecar->operator_feed
      = operator_feed_new (loop, dialect, &sidecar->log, &operator_handler);
  operator_feed_use_thread (sidecar->operator_feed);
  sidecar->store = store_new (loop, dialect, settings->store, &sidecar->rng,
                              &sidecar->log);
  sidecar->members
      = members_new (loop, sidecar->store, dialect->member_topic,
                     peer_set_own_vm (sidecar->peers), sidecar->incarnation,
                     settings->zone, &sidecar->log, &members_handler);
  if (!open_listeners (sidecar, error))
    return false;
  sidecar_apply_descriptor_limits (sidecar);
  return true;
}

sidecar_t *
sidecar_new (const sidecar_settings_t *settings, const char *settings_path,
             const dialect_t *dialect, const clock_source_t *clock,
             error_info_t *error)
{
  sidecar_t *sidecar = calloc (1, sizeof *sidecar);
  if (sidecar == NULL)
    abort ();
  sidecar->settings = *settings;
  sidecar->dialect = dialect;
  snprintf (sidecar->settings_path, sizeof sidecar->settings_path, "%s",
            settings_path);
  sidecar->incarnation = (uint64_t)clock_wall_ms (clock);
  uint64_t seed;
  randombytes_buf (&seed, sizeof seed);
  sidecar->rng = rng_seeded (seed);
  sidecar->report_task
      = (loop_task_t){ .run = sidecar_send_reports, .ctx = sidecar };
  if (!loop_open (&sidecar->loop, clock, error))
    {
      sidecar_free (sidecar);
      return NULL;
    }
  event_log_open (&sidecar->log, &sidecar->loop, STDOUT_FILENO,
                  settings->node);
  if (!create_components (sidecar, error))
    {
      sidecar_free (sidecar);
      return NULL;
    }
  return sidecar;
}

void
sidecar_run (sidecar_t *sidecar)
{
  store_handler_t operator_handler = sidecar_operator_records (sidecar);
  event_log_write (&sidecar->log, EVENT_LIFECYCLE, "started",
                   "version=%s incarnation=%llu service=%s zone=%s",
                   REDWINGFORD_VERSION,
                   (unsigned long long)sidecar->incarnation,
                   sidecar->settings.service, sidecar->settings.zone);
  store_subscribe (sidecar->store, sidecar->dialect->operator_topic,
                   STORE_LONG_POLL, &operator_handler);
  members_join (sidecar->members);
  start_timer (sidecar, &sidecar->tick_timer, on_tick, TICK_INTERVAL_US);
  start_timer (sidecar, &sidecar->report_timer, on_report_timer,
               PEER_REPORT_INTERVAL_US);
  start_signal (sidecar, &sidecar->sigterm_watcher, on_stop_signal, SIGTERM);
  start_signal (sidecar, &sidecar->sigint_watcher, on_stop_signal, SIGINT);
  start_signal (sidecar, &sidecar->sighup_watcher, on_sighup, SIGHUP);
  unblock_signal (SIGHUP);
  ev_run (sidecar->loop.ev, 0);
}

void
sidecar_free (sidecar_t *sidecar)
{
  if (sidecar == NULL)
    return;
  http_server_free (sidecar->caller_server);
  http_server_free (sidecar->announcement_server);
  http_server_free (sidecar->readiness_server);
  http_server_free (sidecar->metrics_server);
  members_free (sidecar->members);
  store_free (sidecar->store);
  operator_feed_free (sidecar->operator_feed);
  peer_set_free (sidecar->peers);
  entry_free (sidecar->entry);
  backend_watch_free (sidecar->backend_watch);
  runner_free (sidecar->runner);
  rollout_feed_free (sidecar->rollouts);
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
