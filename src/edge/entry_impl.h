#ifndef REDWINGFORD_ENTRY_IMPL_H
#define REDWINGFORD_ENTRY_IMPL_H

/* Internals of the entry point.  entry_point.c reads and admits requests,
   entry_tree.c finds the most overloaded service of a request's call tree,
   entry_place.c sends requests to backend servers, entry_answer.c handles
   their answers and failures, and entry_end.c responds to requests that no
   backend server answered and counts how requests ended.  */

#include "edge/entry_point.h"
#include "mesh/retry_pool.h"
#include "mesh/split.h"

enum
{
  SERVERS_TRIED_MAX = 8, /* backend servers tried for one request */
  SERVICES_MAX = 64,     /* with a retry pool and a mean cost of their own */
  ROUTE_TIMING_SLOTS = 4096, /* each for the routes of one hash value */
  /* Left before the deadline for an answer to reach its caller.  */
  ANSWER_MARGIN_US = 20 * US_PER_MS
};

/* State of a route, reset when another policy comes into force.  All but SPLIT
   is a cached evaluation of the route's call tree.  */
typedef struct route_state_t
{
  split_t split;
  int64_t computed_us;         /* when the rest was computed; 0 is never */
  char bottleneck[NAME_BYTES]; /* service of the call tree with the highest
                                  pressure */
  double pressure;             /* of the bottleneck: share of work to refuse */
  double relative_cost;        /* of a request there; 1 is the mean request */
  double cost_us;              /* server time of a request there */
  double *mean_cost_us;        /* the bottleneck's, in its service_state_t */
} route_state_t;

/* State of a service.  */
typedef struct service_state_t
{
  retry_pool_t pool;
  /* Moving average of the server time that a request takes here, over the
     requests whose bottleneck this service is.  */
  double mean_cost_us;
} service_state_t;

/* Run time of the routes of one hash slot.  */
typedef struct route_timing_t
{
  double mean_run_us; /* moving average; 0 before the first run */
} route_timing_t;

typedef struct exchange_t exchange_t;

struct entry_point_t
{
  entry_deps_t deps;
  const policy_t *policy;
  uint64_t policy_generation; /* incremented with each policy */
  route_state_t *routes;      /* by index in the policy */
  service_state_t services[SERVICES_MAX];
  uint32_t service_count;
  route_timing_t route_timings[ROUTE_TIMING_SLOTS];
  uint32_t sidecar_count;
  int64_t stop_since_us; /* 0 while the sidecar is not stopping */
  int64_t stop_end_us;
  exchange_t *open_exchanges; /* list of those that have not ended */
  entry_stats_t state;
};

/* Progress of an exchange.  The log has its own names for the steps.  */
typedef enum exchange_step_t
{
  STEP_PLACING,   /* waits for a server that can be sent to */
  STEP_SENT,      /* sent; queued or running at a server */
  STEP_QUERYING,  /* the link was lost; asks the sidecar it was sent to for the
                     outcome */
  STEP_BUFFERING, /* receives an answer, none of which was passed on yet */
  STEP_STREAMING  /* passes the answer on as it arrives */
} exchange_step_t;

struct exchange_t
{
  entry_point_t *entry;
  exchange_t *next_open;
  exchange_t *prev_open;
  http_exchange_t *http;
  ev_timer timer;
  exchange_step_t step;
  char attempt_id[ATTEMPT_ID_BYTES];
  char service[NAME_BYTES]; /* that runs the request */
  char route[NAME_BYTES];
  char bottleneck[NAME_BYTES]; /* service of its call tree with the highest
                                  pressure */
  double pressure;      /* of the bottleneck when the request was admitted */
  double relative_cost; /* at the bottleneck; 1 is the mean request */
  uint64_t policy_generation; /* of the policy that admitted it */
  int route_number;           /* index of its route in that policy */
  char account[NAME_BYTES];
  route_timing_t *timing; /* of its route */
  bool idempotent;
  bool from_backend; /* a call of the backend server beside */
  bool quota_taken;  /* a token of the account's quota was taken */
  uint8_t priority;  /* of the account, else of the route */
  uint8_t route_priority;
  uint32_t attempts_left; /* retries left after attempts that may have run */
  int64_t target_us;      /* latency objective */
  int64_t deadline_us;
  int64_t wait_until_us; /* when to stop waiting for a server */
  bytes_t request_fields;
  vm_id_t tried_vms[SERVERS_TRIED_MAX];
  uint32_t tried_count;
  vm_id_t vm;             /* that it was sent to */
  uint64_t incarnation;   /* of the sidecar there */
  run_t *run;             /* while it is sent to the own VM */
  peer_call_t *peer_call; /* while it is sent to another VM */
  int answer_status;      /* of the answer being received */
  int64_t answer_length;  /* of its body; -1 if not told */
  bytes_t answer_fields;
  bytes_t answer_body;
  size_t uncredited_bytes; /* received, but not yet credited to the sidecar
                              that sends them */
  cause_t cause; /* of the last refusal or failure; CAUSE_COUNT is none */
  bool may_have_run;
  bool hedge_disabled; /* an overdue answer leads to no attempt at another
                          server */
  bool run_abandoned;  /* an overdue attempt was cancelled that the server may
                          be running */
};

/* --- entry_tree.c ------------------------------------------------------ */

/* Returns the state of the exchange's route.  Finds the bottleneck of its call
   tree anew when the last result is older than PRESSURE_CACHE_US.  */
const route_state_t *exchange_route_state (exchange_t *exchange);

/* Whether a service of the exchange's call tree is under pressure.  Looks only
   at the service that runs the request when it was admitted by an earlier
   policy.  */
bool exchange_is_under_pressure (exchange_t *exchange);

/* Returns the state of SERVICE, a new one if needed.  Once there are
   SERVICES_MAX, all further services share the last one.  */
service_state_t *entry_service_state (entry_point_t *entry,
                                      const char *service);
retry_pool_t *entry_retry_pool (entry_point_t *entry, const char *service);
retry_budget_t entry_retry_budget (const entry_point_t *entry);

/* Returns the index of ROUTE in route_timings.  */
size_t entry_timing_slot (const char *route);

/* --- entry_place.c ----------------------------------------------------- */

/* Sends the request to one server after the other until one accepts it.  When
   none does, it waits for one or responds with an error.  The exchange may
   have been freed on return.  */
void exchange_place (exchange_t *exchange);

/* Asks the sidecar that the request was sent to for its outcome, or schedules
   this query if that sidecar cannot be reached now.  */
void exchange_query_outcome (exchange_t *exchange);

/* Schedules a query for the outcome, or responds with an error if the deadline
   is too close.  */
void exchange_schedule_query (exchange_t *exchange);

/* Whether the request may be sent to another server after one that may have
   run it.  When it may, one of its retries and one of the service's retry pool
   are taken.  */
bool exchange_take_retry (exchange_t *exchange);

/* Starts to buffer an answer that has begun to arrive.  From now on another
   server is tried only if the answer breaks off, and the rest of it may take
   until the deadline.  */
void exchange_begin_buffering (exchange_t *exchange);

/* Cancels the current attempt; no callback follows.  The server goes on with
   a run that must run at most once and that it may have begun.  */
void exchange_cancel_attempt (exchange_t *exchange);

/* Reports to placement how the current attempt ended.  */
void exchange_report_attempt (exchange_t *exchange, run_result_t result,
                              int64_t run_us, const server_load_t *load);

/* Ends the exchange because the sidecar stops: with a refusal if the request
   cannot have run, with a failure if it may have, and by breaking off an
   answer of which a part was passed on.  */
void exchange_end_for_stop (exchange_t *exchange);

void exchange_on_timer (struct ev_loop *ev, ev_timer *timer, int events);

/* --- entry_answer.c ---------------------------------------------------- */

/* Returns the callbacks for the answer of an attempt.  */
call_sink_t exchange_sink (exchange_t *exchange);

/* Flow control, after the caller has read a part of the answer (SIZE is 0) or
   SIZE more bytes have arrived.  While the caller has more than
   UNREAD_MAX_BYTES unread, a local run is paused and a remote sidecar gets no
   credit, so that a long answer is sent at the caller's pace.  */
void exchange_update_flow (exchange_t *exchange, size_t size);

/* --- entry_end.c ------------------------------------------------------- */

/* Responds with STATUS and the name of END, and frees the exchange.  All
   responses without a backend server's answer are written here.  */
void exchange_respond_error (exchange_t *exchange, entry_end_t end,
                             int status);

/* The same, with status 503 if the request cannot have run.  If it may have,
   with 504 for ENTRY_DEADLINE_PASSED and 502 for other ends, and as
   ENTRY_OUTCOME_UNKNOWN instead of ENTRY_NO_ROOM and ENTRY_STOPPING.  */
void exchange_give_up (exchange_t *exchange, entry_end_t end);

/* Counts how the exchange ended, and logs any end but ENTRY_ANSWERED.  */
void exchange_count_end (exchange_t *exchange, entry_end_t end);

/* Frees the exchange; the HTTP exchange stays.  */
void exchange_free (exchange_t *exchange);

/* Returns a random number in [0, 1).  */
double entry_random (const entry_point_t *entry);

#endif
