#ifndef REDWINGFORD_ENTRY_POINT_H
#define REDWINGFORD_ENTRY_POINT_H

/* Entry point of the requests of this VM's callers, and of the calls that the
   backend server beside the sidecar makes.  Each request is one object that is
   read, admitted, placed on a backend server here or on another VM, sent and
   answered.  However it ends, its end is counted in entry_stats_t, and any end
   but an answer is logged.  */

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

/* END (identifier, name): how a request ended at its entry point.  The names
   stand in the log, in the metrics and in the bodies of error responses.  */
#define ENTRY_END_TABLE(END)                                                  \
  END (ANSWERED, "answered")                                                  \
  END (NO_CONFIG, "config-none")                                              \
  END (NO_ROUTE, "route-unknown")                                             \
  END (NO_KEY, "key-unknown")                                                 \
  END (BAD_REQUEST, "bad-request")                                            \
  END (RATE_EXCEEDED, "rate-exceeded")                                        \
  END (OVERLOAD, "overload")                                                  \
  END (STOPPING, "stopping")                                                  \
  END (CRASH_SUSPECT, "crash-suspect")                                        \
  END (NO_ROOM, "no-room")                                                    \
  END (DEADLINE_PASSED, "deadline-passed")                                    \
  END (OUTCOME_UNKNOWN, "outcome-unknown")                                    \
  END (ANSWER_BROKEN, "answer-broken")                                        \
  END (CALLER_GONE, "caller-gone")

typedef enum entry_end_t
{
#define ENTRY_END_ENUM(id, name) ENTRY_##id,
  ENTRY_END_TABLE (ENTRY_END_ENUM)
#undef ENTRY_END_ENUM
      ENTRY_END_COUNT
} entry_end_t;

/* Returns a name in static storage.  */
const char *entry_end_name (entry_end_t end);

/* What an entry point uses.  All pointers are borrowed.  */
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
  /* Retries that the whole fleet may send to a service: a share of the first
     attempts, and further ones in a window.  */
  double retry_share;
  double retry_reserve;
} entry_deps_t;

/* Returns a new entry point, to be freed with entry_free.  */
entry_point_t *entry_new (const entry_deps_t *deps);
void entry_free (entry_point_t *entry);

/* Puts POLICY into force, which is borrowed until the next call.  While it is
   NULL all requests are refused.  */
void entry_set_policy (entry_point_t *entry, const policy_t *policy);

/* Sets the number of sidecars in the fleet, including this one.  */
void entry_set_sidecar_count (entry_point_t *entry, uint32_t count);

/* Tells the entry point that the sidecar began to stop at SINCE_US and ends at
   END_US.  New requests are refused when the end could cut off their
   answers.  */
void entry_set_stop_window (entry_point_t *entry, int64_t since_us,
                            int64_t end_us);

/* Ends all open requests at the end of a stop: with a refusal if they cannot
   have run, with a failure if they may have.  */
void entry_end_open_requests (entry_point_t *entry);

/* Returns the handler for the callers' HTTP server.  */
http_handler_t entry_handler (entry_point_t *entry);

enum
{
  ENTRY_LATENCY_BUCKETS = 24
};

/* All but OPEN_REQUESTS count since the start.  */
typedef struct entry_stats_t
{
  uint32_t open_requests;
  uint64_t ends[ENTRY_END_COUNT];
  uint64_t retries[CAUSE_COUNT]; /* by the cause of the attempt before */
  uint64_t backend_calls;        /* made by the backend server beside */
  uint64_t placed_local;         /* attempts sent to the own VM */
  uint64_t placed_remote;        /* to other VMs */
  uint64_t placed_cross_zone; /* the remote ones in other availability zones */
  uint64_t latency_buckets[ENTRY_LATENCY_BUCKETS]; /* by power of two in us */
} entry_stats_t;

/* Returns the mean time that a run of ROUTE takes, or 0 before the first.  */
double entry_mean_run_us (const entry_point_t *entry, const char *route);

/* Returns a copy of the counters.  */
entry_stats_t entry_stats (const entry_point_t *entry);

#endif
