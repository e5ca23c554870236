#ifndef REDWINGFORD_METRICS_H
#define REDWINGFORD_METRICS_H

/* Writes a sidecar's metrics as text, one line NAME{LABEL="VALUE"} NUMBER for
   each.  */

#include "edge/entry_point.h"
#include "edge/operator_feed.h"
#include "edge/store.h"
#include "mesh/descriptor_budget.h"

typedef enum listener_t
{
  LISTENER_CALLERS,
  LISTENER_ANNOUNCEMENTS,
  LISTENER_READINESS,
  LISTENER_METRICS,
  LISTENER_PEERS,
  LISTENER_COUNT
} listener_t;

/* Returns the name of LISTENER in metrics and in the log, in static
   storage.  */
const char *listener_name (listener_t listener);

typedef struct metrics_input_t
{
  const loop_t *loop;
  const event_log_t *log;
  entry_stats_t entry;
  runner_stats_t runner;
  server_load_t load;
  peer_set_stats_t peers;
  store_stats_t store;
  http_server_stats_t callers;
  acceptor_stats_t accepting[LISTENER_COUNT];
  uint64_t config_version;
  descriptor_budget_t descriptors;
  uint32_t descriptors_open[DESCRIPTORS_USE_COUNT]; /* sockets only */
  operator_feed_stats_t config;
} metrics_input_t;

/* Appends all metrics to OUT.  */
void metrics_write (bytes_t *out, const metrics_input_t *input);

#endif
