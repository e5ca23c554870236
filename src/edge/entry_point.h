#ifndef REDWINGFORD_ENTRY_POINT_H
#define REDWINGFORD_ENTRY_POINT_H

/* Where requests begin: callers of this VM, and the backend server beside it
   calling on.  Each request is one object that is read, admitted, placed,
   sent and answered; every end goes through one place.  */

#include "edge/event_log.h"
#include "edge/http_server.h"
#include "edge/peer.h"
#include "edge/runner.h"
#include "mesh/call_graph.h"
#include "mesh/call_learner.h"
#include "mesh/dialect.h"
#include "mesh/placement.h"
#include "mesh/quota.h"

typedef struct entry_point_t entry_point_t;

/* END (identifier, name): how a request ended at its entry point.  */
#define ENTRY_END_TABLE(END)                                                  \
  END (ANSWERED, "answered")                                                  \
  END (NO_CONFIG, "config-none")                                              \
  END (NO_ROUTE, "route-unknown")                                             \
  END (NO_KEY, "key-unknown")                                                 \
  END (BAD_REQUEST, "bad-request")                                            \
  END (RATE, "rate-exceeded")                                                 \
  END (PRESSURE, "overload")                                                  \
  END (STOPPING, "stopping")                                                  \
  END (SUSPECT, "crash-suspect")                                              \
  END (NO_ROOM, "no-room")                                                    \
  END (DEADLINE, "deadline-passed")                                           \
  END (UNKNOWN, "outcome-unknown")                                            \
  END (BROKEN, "answer-broken")                                               \
  END (GONE, "caller-gone")

typedef enum entry_end_t
{
#define ENTRY_END_ENUM(id, name) ENTRY_##id,
  ENTRY_END_TABLE (ENTRY_END_ENUM)
#undef ENTRY_END_ENUM
      ENTRY_END_COUNT
} entry_end_t;

/* Static storage.  */
const char *entry_end_name (entry_end_t end);

/* All borrowed.  */
typedef struct entry_deps_t
{
  loop_t *loop;
  const dialect_t *dialect;
  const rng_t *rng;
  event_log_t *log;
  placement_t *placement;
  call_graph_t *graph;
  call_learner_t *learner;
  quota_t *quota;
  crash_suspects_t *suspects;
  peer_set_t *peers;
  runner_t *runner;
  const char *service; /* of the backend server beside this sidecar */
  /* Second sendings by the fleet: for each first one, and beside these in a
     window.  */
  double retry_share;
  double retry_reserve;
} entry_deps_t;

entry_point_t *entry_new (const entry_deps_t *parts);
void entry_free (entry_point_t *entry);

/* POLICY is borrowed until the next call; NULL is none yet.  */
void entry_set_policy (entry_point_t *entry, const policy_t *policy);

/* Sidecars in the fleet, this one included.  */
void entry_set_sidecar_count (entry_point_t *entry, uint32_t sidecars);

/* The sidecar began to stop at SINCE_US and ends at END_US.  */
void entry_set_stop_window (entry_point_t *entry, int64_t since_us,
                            int64_t end_us);

/* Ends all open requests, at the end of a stop: a refusal for what has not
   run, a failure for what may have.  */
void entry_end_open_requests (entry_point_t *entry);

/* The handler of the callers' listener.  */
http_handler_t entry_handler (entry_point_t *entry);

enum
{
  ENTRY_LATENCY_BUCKETS = 24
};

typedef struct entry_state_t
{
  uint32_t open_requests;
  uint64_t ends[ENTRY_END_COUNT];
  uint64_t retries[CAUSE_COUNT]; /* sent again, by why */
  uint64_t backend_calls;        /* of the backend server beside */
  uint64_t placed_local;         /* placed on the own VM */
  uint64_t placed_remote;
  uint64_t placed_cross_zone; /* of those, in another availability zone */
  uint64_t latency_buckets[ENTRY_LATENCY_BUCKETS]; /* by power of two of
                                                      microseconds */
} entry_state_t;

/* Mean time that runs of ROUTE take; 0 before the first.  */
double entry_mean_run_us (const entry_point_t *entry, const char *route);

entry_state_t entry_state (const entry_point_t *entry);

#endif
