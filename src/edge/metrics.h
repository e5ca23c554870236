#ifndef REDWINGFORD_METRICS_H
#define REDWINGFORD_METRICS_H

/* A sidecar's counters as text, one NAME{LABEL="VALUE"} NUMBER a line.  */

#include "edge/entry_point.h"
#include "edge/store.h"

typedef struct metrics_parts_t
{
  const loop_t *loop;
  const event_log_t *log;
  entry_state_t entry;
  runner_state_t runner;
  server_load_t load;
  peer_set_state_t peers;
  store_state_t store;
  http_server_state_t callers;
  uint64_t config_version;
} metrics_parts_t;

void metrics_write (bytes_t *to, const metrics_parts_t *parts);

#endif
