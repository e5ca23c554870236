#ifndef REDWINGFORD_ENTRY_POINT_H
#define REDWINGFORD_ENTRY_POINT_H

/* Entry point for the requests of this VM's callers and for the calls that the
   backend server of this VM makes.  A request is read, admitted, placed on a
   backend server of this or another VM, sent there and answered.  Its end is
   counted in entry_stats_t, and any end but ENTRY_ANSWERED is logged.  */

#include "edge/event_log.h"
#include "edge/http_server.h"
#include "edge/peer.h"
#include "edge/rollout_feed.h"
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

/* HOLD (identifier, name): why a request whose reply was overdue was not sent
   to another server.  The names stand in the log and in the metrics.  */
#define OVERDUE_HOLD_TABLE(HOLD)                                              \
  HOLD (NONE, "none")               /* the reply was not overdue */           \
  HOLD (ONLY_SERVER, "only-server") /* no other server accepts requests */    \
  HOLD (STOPPING, "stopping")       /* too little time before the exit */     \
  HOLD (PRESSURE, "pressure")       /* load may be the reason */              \
  HOLD (NO_RETRY, "no-retry")       /* none left, or the retry pool is empty */

typedef enum overdue_hold_t
{
#define OVERDUE_HOLD_ENUM(id, name) OVERDUE_HOLD_##id,
  OVERDUE_HOLD_TABLE (OVERDUE_HOLD_ENUM)
#undef OVERDUE_HOLD_ENUM
      OVERDUE_HOLD_COUNT
} overdue_hold_t;

/* Returns a name in static storage.  */
const char *overdue_hold_name (overdue_hold_t hold);

/* Components and settings of an entry point.  All pointers are borrowed.  */
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
  const char *service; /* of the backend server of this VM */
  /* Retry budget of the whole fleet at a service: retries for each first
     attempt, and further retries in a window.  */
  double retry_share;
  double retry_reserve;
} entry_deps_t;

/* Returns a new entry point, to be freed with entry_free.  */
entry_point_t *entry_new (const entry_deps_t *deps);
void entry_free (entry_point_t *entry);

/* Puts POLICY into force, which is borrowed until the next call.  Requests
   that arrive while it is NULL are refused.  */
void entry_set_policy (entry_point_t *entry, const policy_t *policy);

/* Lets ROLLOUTS, which is borrowed, pick the servers from now on.  Without it,
   all versions are used alike.  */
void entry_set_rollouts (entry_point_t *entry, rollout_feed_t *rollouts);

/* Counts a run of ROUTE at the backend server of this VM, for the budget of
   entry_take_resend.  */
void entry_count_run (entry_point_t *entry, const char *route);

/* Returns whether a run of ROUTE may be repeated at that server, and charges
   the retry budget for it.  */
bool entry_take_resend (entry_point_t *entry, const char *route);

/* Sets the number of sidecars in the fleet, including this one.  */
void entry_set_sidecar_count (entry_point_t *entry, uint32_t count);

/* Tells the entry point that the sidecar began to stop at SINCE_US and that
   open requests are ended at END_US.  New requests are refused if they may not
   be answered by then (see admission_accepts_while_stopping).  */
void entry_set_stop_window (entry_point_t *entry, int64_t since_us,
                            int64_t end_us);

/* Ends all open requests at the end of a stop: with a refusal if they cannot
   have run, with a failure if they may have.  Responses that have begun are
   aborted.  */
void entry_end_open_requests (entry_point_t *entry);

/* Returns the handler for the callers' HTTP server.  */
http_handler_t entry_handler (entry_point_t *entry);

enum
{
  ENTRY_LATENCY_BUCKETS = 24
};

/* Counters of calls whose link was lost: how many were asked for, and how many
   queries got the reply, a refusal, or no outcome.  */
typedef struct lost_call_stats_t
{
  uint64_t queried;
  uint64_t answered;
  uint64_t refused;
  uint64_t unknown;
} lost_call_stats_t;

/* All but OPEN_REQUESTS are counters since the start.  */
typedef struct entry_stats_t
{
  uint32_t open_requests;
  uint64_t ends[ENTRY_END_COUNT];
  /* By the cause of the failure that led to the retry.  */
  uint64_t retries[CAUSE_COUNT];
  /* Runs of the backend server of this VM whose connection was closed, that
     were and were not repeated there.  */
  uint64_t resends;
  uint64_t resends_held;
  /* Checks after which an overdue reply was waited for, by the reason.  */
  uint64_t overdue_holds[OVERDUE_HOLD_COUNT];
  uint64_t backend_calls; /* made by the backend server of this VM */
  /* Attempts and queries for outcomes, including those refused at once.  */
  uint64_t placed_local;      /* on this VM */
  uint64_t placed_remote;     /* on other VMs */
  uint64_t placed_cross_zone; /* part of placed_remote: other zones */
  uint64_t silent_servers_passed_over;
  /* Requests whose outcome was asked for because their link was lost.  */
  lost_call_stats_t lost_reads;
  lost_call_stats_t lost_bookings;
  /* Answered requests by latency.  Bucket I ends below 2^(I+1) us; the last
     one has no end.  */
  uint64_t latency_buckets[ENTRY_LATENCY_BUCKETS];
} entry_stats_t;

/* Returns the mean time that a run of ROUTE takes, or 0 before the first run.
   Routes that share a hash slot share the mean.  */
double entry_mean_run_us (const entry_point_t *entry, const char *route);

/* Returns a copy of the counters.  */
entry_stats_t entry_stats (const entry_point_t *entry);

#endif
