#include "edge/metrics.h"

#include <sys/resource.h>

const char *
listener_name (listener_t listener)
{
  static const char *const names[LISTENER_COUNT] = {
    [LISTENER_CALLERS] = "callers", [LISTENER_ANNOUNCEMENTS] = "announce",
    [LISTENER_READINESS] = "ready", [LISTENER_METRICS] = "metrics",
    [LISTENER_PEERS] = "peer",
  };
  return names[listener];
}

static void
append_metric (bytes_t *out, const char *name, uint64_t value)
{
  bytes_append_format (out, "redwingford_%s %llu\n", name,
                       (unsigned long long)value);
}

static void
append_labelled_metric (bytes_t *out, const char *name, const char *label,
                        const char *label_value, uint64_t value)
{
  bytes_append_format (out, "redwingford_%s{%s=\"%s\"} %llu\n", name, label,
                       label_value, (unsigned long long)value);
}

/* Appends a cumulative histogram.  The first bucket's upper bound is
   FIRST_BOUND, that of each other bucket twice the one before.  The last
   bucket also counts all larger values.  */
static void
append_histogram (bytes_t *out, const char *name, uint64_t first_bound,
                  const uint64_t *counts, uint32_t bucket_count)
{
  uint64_t cumulative_count = 0;
  for (uint32_t i = 0; i < bucket_count; i++)
    {
      cumulative_count += counts[i];
      bytes_append_format (out, "redwingford_%s_bucket{le=\"%llu\"} %llu\n",
                           name, (unsigned long long)first_bound << i,
                           (unsigned long long)cumulative_count);
    }
}

static void
append_lost_call_metrics (bytes_t *out, const char *kind,
                          const lost_call_stats_t *stats)
{
  append_labelled_metric (out, "lost_calls_queried_total", "kind", kind,
                          stats->queried);
  append_labelled_metric (out, "lost_calls_answered_total", "kind", kind,
                          stats->answered);
  append_labelled_metric (out, "lost_calls_refused_total", "kind", kind,
                          stats->refused);
  append_labelled_metric (out, "lost_calls_unknown_total", "kind", kind,
                          stats->unknown);
}

static void
append_entry_metrics (bytes_t *out, const entry_stats_t *entry)
{
  append_metric (out, "requests_open", entry->open_requests);
  append_metric (out, "backend_calls_total", entry->backend_calls);
  append_metric (out, "placed_local_total", entry->placed_local);
  append_metric (out, "placed_remote_total", entry->placed_remote);
  append_metric (out, "placed_far_total", entry->placed_cross_zone);
  append_metric (out, "silent_servers_passed_over_total",
                 entry->silent_servers_passed_over);
  append_lost_call_metrics (out, "read", &entry->lost_reads);
  append_lost_call_metrics (out, "booking", &entry->lost_bookings);
  for (int i = 0; i < ENTRY_END_COUNT; i++)
    append_labelled_metric (out, "requests_total", "end",
                            entry_end_name ((entry_end_t)i), entry->ends[i]);
  for (int i = 0; i < CAUSE_COUNT; i++)
    if (entry->retries[i] > 0)
      append_labelled_metric (out, "retries_total", "cause",
                              cause_name ((cause_t)i), entry->retries[i]);
  append_metric (out, "resends_total", entry->resends);
  append_metric (out, "resends_held_total", entry->resends_held);
  for (int i = OVERDUE_HOLD_NONE + 1; i < OVERDUE_HOLD_COUNT; i++)
    append_labelled_metric (out, "overdue_replies_held_total", "reason",
                            overdue_hold_name ((overdue_hold_t)i),
                            entry->overdue_holds[i]);
  append_histogram (out, "latency_us", 2, entry->latency_buckets,
                    ENTRY_LATENCY_BUCKETS);
}

/* Appends the counts above 0 by defect.  */
static void
append_malformed_metrics (bytes_t *out, const char *name,
                          const uint64_t counts[HTTP_DEFECT_COUNT])
{
  for (int i = 0; i < HTTP_DEFECT_COUNT; i++)
    if (counts[i] > 0)
      append_labelled_metric (out, name, "why",
                              http_defect_name ((http_defect_t)i), counts[i]);
}

static void
append_runner_metrics (bytes_t *out, const runner_stats_t *runner,
                       const server_load_t *load)
{
  append_metric (out, "runs_total", runner->runs_started);
  append_metric (out, "runs_answered_total", runner->runs_answered);
  append_metric (out, "runs_orphaned_total", runner->runs_orphaned);
  append_metric (out, "runs_detached_total", runner->runs_detached);
  append_metric (out, "runs_resumed_total", runner->runs_resumed);
  append_metric (out, "runs_replayed_total", runner->runs_replayed);
  append_metric (out, "runs_detach_expired_total",
                 runner->runs_detach_expired);
  append_metric (out, "runs_detach_refused_total",
                 runner->runs_detach_refused);
  append_metric (out, "queries_unknown_total", runner->queries_unknown);
  append_metric (out, "health_checks_total", runner->probes_sent);
  append_metric (out, "backend_load_figures_total", runner->load_figures);
  append_metric (out, "backend_load_figures_malformed_total",
                 runner->malformed_load_figures);
  append_metric (out, "backend_connections", runner->connections.connections);
  append_metric (out, "backend_connections_opened_total",
                 runner->connections.connections_opened);
  append_metric (out, "backend_connections_replaced_total",
                 runner->connections.connections_replaced);
  append_malformed_metrics (out, "backend_responses_malformed_total",
                            runner->connections.malformed);
  for (int i = 0; i < CAUSE_COUNT; i++)
    if (runner->failures[i] > 0)
      append_labelled_metric (out, "runs_refused_total", "cause",
                              cause_name ((cause_t)i), runner->failures[i]);
  append_metric (out, "backend_running", load->running);
  append_metric (out, "backend_queued", load->queued);
  append_metric (out, "backend_window", load->window);
  append_metric (out, "backend_pressure_permille", load->pressure_permille);
  append_metric (out, "backend_slow_permille", load->slowdown_permille);
  append_metric (out, "backend_slow_now_permille", runner->momentary_permille);
}

static void
append_caller_metrics (bytes_t *out, const http_server_stats_t *callers)
{
  append_metric (out, "caller_connections", callers->connections);
  append_metric (out, "caller_requests_partly_read", callers->partly_read);
  append_metric (out, "caller_requests_open", callers->open_exchanges);
  append_metric (out, "caller_responses_unsent", callers->unsent);
  append_metric (out, "caller_request_oldest_ms",
                 (uint64_t)(callers->oldest_us / US_PER_MS));
  append_metric (out, "caller_malformed_total", callers->malformed_requests);
  append_metric (out, "caller_refused_beyond_limit_total",
                 callers->refused_beyond_limit);
  append_metric (out, "caller_reads_abandoned_total",
                 callers->reads_abandoned);
  append_metric (out, "caller_reads_paused_total", callers->reads_paused);
  append_histogram (out, "caller_gone_unseen_ms", 1,
                    callers->caller_gone_counts, HTTP_UNSEEN_BUCKETS);
  for (int i = 0; i < HTTP_CLOSE_REASON_COUNT; i++)
    {
      const char *reason = http_close_reason_name ((http_close_reason_t)i);
      append_labelled_metric (out, "caller_connections_ended_total", "end",
                              reason, callers->close_counts[i]);
      append_labelled_metric (out, "caller_requests_unanswered_total", "end",
                              reason, callers->unanswered_counts[i]);
      append_labelled_metric (out, "caller_requests_left_partly_read_total",
                              "end", reason, callers->partly_read_counts[i]);
      append_labelled_metric (out, "caller_responses_left_unsent_total", "end",
                              reason, callers->unsent_counts[i]);
      append_labelled_metric (out, "caller_responses_held_back_total", "end",
                              reason, callers->responses_behind_counts[i]);
      append_labelled_metric (out, "caller_connections_unread_total", "end",
                              reason, callers->unread_counts[i]);
    }
  for (int i = HTTP_CALLER_OPEN + 1; i < HTTP_CALLER_END_COUNT; i++)
    {
      const char *end = http_caller_end_name ((http_caller_end_t)i);
      append_labelled_metric (out, "caller_ends_total", "caller_end", end,
                              callers->caller_end_counts[i]);
      append_labelled_metric (out, "caller_ends_unanswered_total",
                              "caller_end", end,
                              callers->caller_end_unanswered_counts[i]);
    }
  append_metric (out, "caller_late_bytes_total", callers->late_bytes);
  append_metric (out, "caller_late_requests_total", callers->late_requests);
}

static void
append_config_metrics (bytes_t *out, const operator_feed_stats_t *config)
{
  append_metric (out, "config_rejected_total", config->rejected);
  append_metric (out, "config_parses_total", config->parse.count);
  append_metric (out, "config_parse_us_total",
                 (uint64_t)config->parse.total_us);
  append_metric (out, "config_parse_us_most", (uint64_t)config->parse.most_us);
  append_metric (out, "config_applied_total", config->apply.count);
  append_metric (out, "config_apply_us_total",
                 (uint64_t)config->apply.total_us);
  append_metric (out, "config_apply_us_most", (uint64_t)config->apply.most_us);
}

static void
append_process_metrics (bytes_t *out, const metrics_input_t *input)
{
  struct rusage usage;
  if (getrusage (RUSAGE_SELF, &usage) == 0)
    {
      append_metric (
          out, "cpu_us_total",
          (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * US_PER_S
              + (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec));
      append_metric (out, "memory_peak_kb", (uint64_t)usage.ru_maxrss);
    }
  append_metric (out, "loop_turns_total", input->loop->iterations);
  append_histogram (out, "loop_gap_ms", 1, input->loop->gap_counts,
                    LOOP_GAP_BUCKETS);
  append_metric (out, "log_lines_total", input->log->lines_written);
  append_metric (out, "log_lines_lost_total", input->log->lines_lost);
}

static void
append_lack_metrics (bytes_t *out, const metrics_input_t *input)
{
  const uint64_t lacking[DESCRIPTORS_USE_COUNT] = {
    [DESCRIPTORS_LINKS] = input->peers.sockets_lacking,
    [DESCRIPTORS_BACKEND] = input->runner.connections.sockets_lacking,
    [DESCRIPTORS_STORE] = input->store.sockets_lacking,
  };
  for (int i = DESCRIPTORS_LINKS; i <= DESCRIPTORS_STORE; i++)
    append_labelled_metric (out, "sockets_lacking_total", "use",
                            descriptor_use_name ((descriptor_use_t)i),
                            lacking[i]);
}

static void
append_descriptor_metrics (bytes_t *out, const metrics_input_t *input)
{
  for (int i = 0; i < DESCRIPTORS_USE_COUNT; i++)
    {
      const char *use = descriptor_use_name ((descriptor_use_t)i);
      append_labelled_metric (out, "descriptors_allowed", "use", use,
                              input->descriptors.parts[i]);
      append_labelled_metric (out, "descriptors_open", "use", use,
                              input->descriptors_open[i]);
    }
}

void
metrics_write (bytes_t *out, const metrics_input_t *input)
{
  append_entry_metrics (out, &input->entry);
  append_runner_metrics (out, &input->runner, &input->load);
  append_metric (out, "peers", input->peers.members);
  append_metric (out, "peers_up", input->peers.peers_up);
  append_metric (out, "peer_links_lost_total", input->peers.links_lost);
  append_metric (out, "peer_replies_malformed_total",
                 input->peers.replies_malformed);
  append_metric (out, "peer_calls_malformed_total",
                 input->peers.calls_malformed);
  append_metric (out, "peer_frames_in_total", input->peers.frames_in);
  append_metric (out, "peer_frames_out_total", input->peers.frames_out);
  append_metric (out, "peer_bytes_out_total", input->peers.bytes_out);
  for (int i = 0; i < TRAFFIC_COUNT; i++)
    append_labelled_metric (out, "peer_far_bytes_total", "kind",
                            peer_traffic_name ((peer_traffic_t)i),
                            input->peers.cross_zone_bytes[i]);
  for (int i = 0; i < TRAFFIC_COUNT; i++)
    append_labelled_metric (out, "peer_frames_dropped_total", "kind",
                            peer_traffic_name ((peer_traffic_t)i),
                            input->peers.frames_dropped[i]);
  for (int i = 0; i < LISTENER_COUNT; i++)
    append_labelled_metric (out, "accepts_failed_total", "listener",
                            listener_name ((listener_t)i),
                            input->accepting[i].failures);
  for (int i = 0; i < LISTENER_COUNT; i++)
    append_labelled_metric (out, "accepting_paused_us_total", "listener",
                            listener_name ((listener_t)i),
                            (uint64_t)input->accepting[i].paused_us);
  append_metric (out, "store_reads_total", input->store.reads);
  append_metric (out, "store_writes_total", input->store.writes);
  append_metric (out, "store_failures_total", input->store.failures);
  append_metric (out, "store_bytes_in_total", input->store.bytes_in);
  append_malformed_metrics (out, "store_responses_malformed_total",
                            input->store.malformed);
  append_metric (out, "store_reachable", input->store.reachable);
  append_metric (out, "store_era", input->store.era);
  append_caller_metrics (out, &input->callers);
  append_metric (out, "config_version", input->config_version);
  append_descriptor_metrics (out, input);
  append_lack_metrics (out, input);
  append_config_metrics (out, &input->config);
  append_process_metrics (out, input);
}
