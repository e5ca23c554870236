#ifndef REDWINGFORD_ENTRY_IMPL_H
#define REDWINGFORD_ENTRY_IMPL_H

/* Internals of the entry point.  entry_point.c reads and admits requests,
   entry_tree.c finds the most overloaded service of a request's call tree,
   entry_place.c sends requests to backend servers, entry_version.c chooses
   among the versions of a server, entry_answer.c handles replies and failures,
   and entry_end.c responds to requests that have no reply of a backend server
   and counts how requests ended.  */

#include "edge/entry_point.h"
#include "mesh/retry_pool.h"
#include "mesh/split.h"

enum
{
  /* Backend servers tried for one request before it waits or fails.  */
  SERVERS_TRIED_MAX = 8,
  SERVICES_MAX = 64,         /* services with a service_state_t each */
  ROUTE_TIMING_SLOTS = 4096, /* slots of the hash table of route timings */
  ROUTE_TIMING_PROBES = 16,  /* slots that a route may have */
  /* Time before the deadline that is reserved for the response to reach the
     caller.  */
  RESPONSE_MARGIN_US = 20 * US_PER_MS,
  RETRY_TREES_CACHED = 64
};

/* State of a route, reset when another policy comes into force.  All members
   but SPLIT cache the evaluation of the route's call tree.  */
typedef struct route_state_t
{
  split_t split;
  int64_t computed_us; /* time of the evaluation; 0 is never */
  /* Service of the call tree with the highest pressure.  */
  char bottleneck[NAME_BYTES];
  double pressure; /* share of requests that the bottleneck wants refused */
  double relative_cost; /* cost_us in units of the mean cost there */
  double cost_us; /* server time that a request takes at the bottleneck */
  double *mean_cost_us; /* in the service_state_t of the bottleneck */
} route_state_t;

/* State of a service.  */
typedef struct service_state_t
{
  retry_pool_t pool;
  /* Moving average of the server time that a request takes at this service,
     over the callers' requests whose bottleneck it is, also those refused for
     overload.  */
  double mean_cost_us;
} service_state_t;

/* Run time of a route.  */
typedef struct route_timing_t
{
  char route[NAME_BYTES]; /* "" in a free slot */
  double mean_run_us;     /* moving average; 0 before the first run */
  int64_t first_used_us;
} route_timing_t;

/* Cached costs of a retry of a route.  */
typedef struct retry_tree_t
{
  char route[NAME_BYTES];
  char service[NAME_BYTES];
  int64_t computed_us; /* 0 is never */
  retry_costs_t costs;
} retry_tree_t;

typedef struct exchange_t exchange_t;

struct entry_point_t
{
  entry_deps_t deps;
  rollout_feed_t *rollouts; /* NULL is none */
  const policy_t *policy;
  uint64_t policy_generation; /* incremented with each policy */
  route_state_t *routes;      /* by index in the policy */
  service_state_t services[SERVICES_MAX];
  uint32_t service_count;
  route_timing_t route_timings[ROUTE_TIMING_SLOTS];
  retry_tree_t retry_trees[RETRY_TREES_CACHED]; /* by hash of the route */
  uint32_t sidecar_count;
  int64_t stop_since_us; /* 0 while the sidecar is not stopping */
  int64_t stop_end_us;
  exchange_t *open_exchanges; /* list of exchanges that have not ended */
  entry_stats_t stats;
};

/* Progress of an exchange.  The names in the log differ: see step_names.  */
typedef enum exchange_step_t
{
  STEP_PLACING,   /* no attempt is open; waits for a server */
  STEP_SENT,      /* sent to a server; queued or running there */
  STEP_QUERYING,  /* the link was lost; asks the sidecar that the request was
                     sent to for the outcome */
  STEP_BUFFERING, /* receives a reply and has not yet passed any of it on */
  STEP_STREAMING  /* passes the reply on as it arrives */
} exchange_step_t;

/* A request from its arrival until its response has been written or its caller
   has gone.  */
struct exchange_t
{
  entry_point_t *entry;
  exchange_t *next_open;
  exchange_t *prev_open;
  http_exchange_t *http;
  ev_timer timer;
  exchange_step_t step;
  char attempt_id[ATTEMPT_ID_BYTES];
  char service[NAME_BYTES]; /* service that runs the request */
  char route[NAME_BYTES];
  /* Copies of the route's state when the request was checked for admission;
     the bottleneck is "" before.  */
  char bottleneck[NAME_BYTES];
  double pressure;
  double relative_cost;
  uint64_t policy_generation; /* of the policy that ROUTE_INDEX refers to */
  int route_index;
  char account[NAME_BYTES]; /* client account; "" is none */
  route_timing_t *timing;   /* of the route */
  bool idempotent;
  bool from_backend; /* a call made by the backend server of this VM */
  bool quota_taken;  /* a token of the account's quota was taken */
  uint8_t priority;  /* of the account, or else of the route */
  uint8_t route_priority;
  uint32_t retries_left; /* retries after attempts that may have run */
  int64_t target_latency_us;
  int64_t deadline_us;
  int64_t wait_until_us;    /* end of the wait for a server */
  int64_t sent_us;          /* when the current attempt was sent */
  int64_t overdue_check_us; /* next check whether its reply is overdue */
  /* End of the queries for the outcome of an idempotent request.  */
  int64_t query_until_us;
  bytes_t request_fields;
  vm_id_t tried_vms[SERVERS_TRIED_MAX];
  uint32_t tried_count;
  rollout_attempt_t attempt; /* the current or last one */
  vm_id_t vm;                /* VM of the current or last attempt */
  uint64_t incarnation;      /* of the sidecar on that VM */
  run_t *run;                /* open attempt on this VM, or NULL */
  peer_call_t *peer_call;    /* open attempt on another VM, or NULL */
  int reply_status;          /* of the reply being received */
  int64_t reply_length;      /* of the body; -1 is unknown */
  bytes_t reply_fields;
  bytes_t reply_body;
  size_t uncredited_bytes; /* received from another sidecar, which has not
                              been given new credit for them */
  cause_t cause; /* why the last attempt failed; CAUSE_COUNT is none */
  bool may_have_run;
  bool overdue_retry_disabled; /* an overdue reply will not lead to an attempt
                                  at another server */
  overdue_hold_t overdue_hold; /* of the last overdue reply */
  bool run_abandoned; /* an overdue attempt, which its server may be running,
                         was cancelled */
};

/* --- entry_point.c ----------------------------------------------------- */

/* Returns whether the request is suspected of having crashed a server.  */
bool exchange_is_crash_suspect (const exchange_t *exchange);

/* --- entry_tree.c ------------------------------------------------------ */

/* Returns the state of the exchange's route.  Finds the bottleneck of its call
   tree anew when the last result is older than PRESSURE_CACHE_US.  */
const route_state_t *exchange_route_state (exchange_t *exchange);

/* Whether a service of the exchange's call tree is under pressure.  If the
   policy has changed since the request arrived, its route index is no longer
   valid and only the service that runs the request is checked.  */
bool exchange_is_under_pressure (exchange_t *exchange);

/* Returns the state of SERVICE, which is created if there is none.  Once there
   are SERVICES_MAX states, all further services share the last one.  */
service_state_t *entry_service_state (entry_point_t *entry,
                                      const char *service);
retry_budget_t entry_retry_budget (const entry_point_t *entry);

/* Returns the costs of a request of ROUTE at SERVICE, valid until the next
   call.  */
const retry_costs_t *entry_retry_costs (entry_point_t *entry,
                                        const char *service,
                                        const char *route);

/* Takes tokens for one retry of ROUTE at SERVICE out of the retry pools of its
   call tree.  Returns false if they do not suffice.  */
bool entry_take_retry (entry_point_t *entry, const char *service,
                       const char *route);

/* Returns the index of ROUTE's slot in route_timings, which is a free one if
   the route has none yet.  Once all slots that it may have are taken, it
   shares the first of them.  */
size_t entry_timing_slot (const entry_point_t *entry, const char *route);

/* --- entry_place.c ----------------------------------------------------- */

/* Sends the request to one server after the other until one accepts it.  If
   none does, the exchange waits for a server or responds with an error.  A
   request whose time is over is sent to none.  The exchange may have been
   freed on return.  */
void exchange_place (exchange_t *exchange);

/* Called when the link of the current attempt was lost.  Asks the sidecar that
   the request was sent to for its outcome.  */
void exchange_begin_query (exchange_t *exchange);

/* Sends the query for the outcome, or schedules it if that sidecar cannot be
   reached now.  */
void exchange_query_outcome (exchange_t *exchange);

/* Schedules a query for the outcome.  If there is no time for another,
   responds with an error, or retries an idempotent request.  */
void exchange_schedule_query (exchange_t *exchange);

/* Likewise after the link of a query was lost, which another link gets as long
   to replace as the first.  */
void exchange_repeat_query (exchange_t *exchange);

/* Returns whether the request may be retried after an attempt that may have
   run.  If so, takes one of the request's retries and tokens of the retry
   pools of its call tree, and counts the retry.  */
bool exchange_take_retry (exchange_t *exchange);

/* Starts to buffer a reply that has begun to arrive.  From now on another
   server is tried only if the reply is cut short; its remainder may take until
   the deadline.  */
void exchange_begin_buffering (exchange_t *exchange);

/* Cancels the current attempt; no callback follows.  A run that must run at
   most once and may have begun continues at the server.  */
void exchange_cancel_attempt (exchange_t *exchange);

/* Reports to placement how the current attempt ended.  */
void exchange_report_attempt (exchange_t *exchange, run_result_t result,
                              int64_t run_us, const server_load_t *load);

/* Sets the exchange's timer anew because a complete response has come to wait
   behind it.  */
void exchange_on_response_behind (exchange_t *exchange);

/* Ends the exchange because the sidecar stops: with a refusal if the request
   cannot have run, with a failure if it may have, and by aborting the response
   if a part of it was passed on.  */
void exchange_end_for_stop (exchange_t *exchange);

/* Callback of the exchange's timer.  Tries another server, sends the query for
   the outcome again, or ends the exchange at its deadline.  */
void exchange_on_timer (struct ev_loop *ev, ev_timer *timer, int events);

/* --- entry_version.c --------------------------------------------------- */

/* Picks a server for the next attempt, other than the COUNT ones in EXCLUDED,
   of a version that may get the request.  Returns false if there is none.  */
bool exchange_pick_allowed_server (exchange_t *exchange,
                                   const vm_id_t *excluded, size_t count,
                                   vm_id_t *vm);

/* Counts that the request is sent to exchange->vm.  */
void exchange_record_send (exchange_t *exchange);

/* Whether the server of the attempt has a version under observation.  */
bool exchange_is_observed (const exchange_t *exchange);

/* --- entry_answer.c ---------------------------------------------------- */

/* Returns the callbacks for the reply to an attempt.  */
call_sink_t exchange_sink (exchange_t *exchange);

/* Retries the request after an attempt that may have run, or responds with END
   if it may not be retried.  */
void exchange_retry_or_end (exchange_t *exchange, entry_end_t end);

/* Returns the counters of lost calls of the exchange's kind.  */
lost_call_stats_t *exchange_lost_call_stats (exchange_t *exchange);

/* Applies flow control after the caller has read the response (SIZE is 0) or
   SIZE more bytes of the reply have arrived.  While the caller has more than
   UNREAD_MAX_BYTES unread of the connection's responses, the local run of a
   reply that is passed on is paused, or the remote sidecar gets no credit, so
   that a long reply is read no faster than the caller reads.  */
void exchange_update_flow (exchange_t *exchange, size_t size);

/* --- entry_end.c ------------------------------------------------------- */

/* Responds with STATUS and the name of END, and frees the exchange.  All
   responses that are not a backend server's reply are written here.  Statuses
   429 and 503 come with Retry-After.  The account gets its quota token back
   unless STATUS is 502 or 504: the request may have run then.  */
void exchange_respond_error (exchange_t *exchange, entry_end_t end,
                             int status);

/* Calls exchange_respond_error with the status that fits END.  It is 503 if
   the request cannot have run.  If it may have, it is 504 for
   ENTRY_DEADLINE_PASSED and 502 for other ends, and ENTRY_NO_ROOM and
   ENTRY_STOPPING become ENTRY_OUTCOME_UNKNOWN.  */
void exchange_give_up (exchange_t *exchange, entry_end_t end);

/* Counts END.  Also counts the latency of ENTRY_ANSWERED, and logs any other
   end.  */
void exchange_count_end (exchange_t *exchange, entry_end_t end);

/* Frees the exchange but not its HTTP exchange.  */
void exchange_free (exchange_t *exchange);

/* Returns a random number in [0, 1).  */
double entry_random (const entry_point_t *entry);

#endif
