#include "edge/metrics.h"

#include <sys/resource.h>

static void
put (bytes_t *to, const char *name, uint64_t value)
{
  bytes_append_format (to, "redwingford_%s %llu\n", name,
                       (unsigned long long)value);
}

static void
put_labelled (bytes_t *to, const char *name, const char *label,
              const char *which, uint64_t value)
{
  bytes_append_format (to, "redwingford_%s{%s=\"%s\"} %llu\n", name, label,
                       which, (unsigned long long)value);
}

/* A histogram of COUNTS, the first of them up to FIRST and each of the others
   up to twice the one before.  */
static void
put_powers (bytes_t *to, const char *name, uint64_t first,
            const uint64_t *counts, uint32_t slots)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < slots; i++)
    {
      sum += counts[i];
      bytes_append_format (to, "redwingford_%s_bucket{le=\"%llu\"} %llu\n",
                           name, (unsigned long long)first << i,
                           (unsigned long long)sum);
    }
}

static void
put_entry (bytes_t *to, const entry_state_t *entry)
{
  put (to, "requests_open", entry->open_requests);
  put (to, "backend_calls_total", entry->backend_calls);
  put (to, "placed_local_total", entry->placed_local);
  put (to, "placed_remote_total", entry->placed_remote);
  put (to, "placed_far_total", entry->placed_cross_zone);
  for (int i = 0; i < ENTRY_END_COUNT; i++)
    put_labelled (to, "requests_total", "end", entry_end_name ((entry_end_t)i),
                  entry->ends[i]);
  for (int i = 0; i < CAUSE_COUNT; i++)
    if (entry->retries[i] > 0)
      put_labelled (to, "retries_total", "cause", cause_name ((cause_t)i),
                    entry->retries[i]);
  put_powers (to, "latency_us", 2, entry->latency_buckets,
              ENTRY_LATENCY_BUCKETS);
}

static void
put_runner (bytes_t *to, const runner_state_t *runner,
            const server_load_t *load)
{
  put (to, "runs_total", runner->runs_started);
  put (to, "runs_answered_total", runner->runs_answered);
  put (to, "runs_orphaned_total", runner->runs_orphaned);
  put (to, "health_checks_total", runner->probes_sent);
  put (to, "backend_connections", runner->connections.connections);
  put (to, "backend_connections_opened_total",
       runner->connections.connections_opened);
  put (to, "backend_connections_replaced_total",
       runner->connections.connections_replaced);
  for (int i = 0; i < CAUSE_COUNT; i++)
    if (runner->failures[i] > 0)
      put_labelled (to, "runs_refused_total", "cause", cause_name ((cause_t)i),
                    runner->failures[i]);
  put (to, "backend_running", load->running);
  put (to, "backend_queued", load->queued);
  put (to, "backend_window", load->window);
  put (to, "backend_pressure_permille", load->pressure_permille);
  put (to, "backend_slow_permille", load->slowdown_permille);
}

static void
put_callers (bytes_t *to, const http_server_state_t *callers)
{
  put (to, "caller_connections", callers->connections);
  put (to, "caller_malformed_total", callers->malformed_requests);
  put (to, "caller_reads_abandoned_total", callers->reads_abandoned);
  put (to, "caller_reads_paused_total", callers->reads_paused);
  put_powers (to, "caller_gone_unseen_ms", 1, callers->caller_gone_counts,
              HTTP_UNSEEN_BUCKETS);
  for (int i = 0; i < HTTP_CLOSE_REASON_COUNT; i++)
    {
      const char *end = http_close_reason_name ((http_close_reason_t)i);
      put_labelled (to, "caller_connections_ended_total", "end", end,
                    callers->close_counts[i]);
      put_labelled (to, "caller_requests_unanswered_total", "end", end,
                    callers->unanswered_counts[i]);
    }
  put (to, "caller_late_bytes_total", callers->late_bytes);
  put (to, "caller_late_requests_total", callers->late_requests);
}

static void
put_process (bytes_t *to, const metrics_parts_t *parts)
{
  struct rusage usage;
  if (getrusage (RUSAGE_SELF, &usage) == 0)
    {
      put (to, "cpu_us_total",
           (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * US_PER_S
               + (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec));
      put (to, "memory_peak_kb", (uint64_t)usage.ru_maxrss);
    }
  put (to, "loop_turns_total", parts->loop->iterations);
  put_powers (to, "loop_gap_ms", 1, parts->loop->gap_counts, LOOP_GAP_BUCKETS);
  put (to, "log_lines_total", parts->log->lines_written);
  put (to, "log_lines_lost_total", parts->log->lines_lost);
}

void
metrics_write (bytes_t *to, const metrics_parts_t *parts)
{
  put_entry (to, &parts->entry);
  put_runner (to, &parts->runner, &parts->load);
  put (to, "peers", parts->peers.members);
  put (to, "peers_up", parts->peers.peers_up);
  put (to, "peer_links_lost_total", parts->peers.links_lost);
  put (to, "peer_frames_in_total", parts->peers.frames_in);
  put (to, "peer_frames_out_total", parts->peers.frames_out);
  put (to, "peer_bytes_out_total", parts->peers.bytes_out);
  for (int i = 0; i < TRAFFIC_COUNT; i++)
    put_labelled (to, "peer_far_bytes_total", "kind",
                  peer_traffic_name ((peer_traffic_t)i),
                  parts->peers.cross_zone_bytes[i]);
  put (to, "store_reads_total", parts->store.reads);
  put (to, "store_writes_total", parts->store.writes);
  put (to, "store_failures_total", parts->store.failures);
  put (to, "store_bytes_in_total", parts->store.bytes_in);
  put (to, "store_reachable", parts->store.reachable);
  put_callers (to, &parts->callers);
  put (to, "config_version", parts->config_version);
  put_process (to, parts);
}
