#ifndef REDWINGFORD_ENTRY_IMPL_H
#define REDWINGFORD_ENTRY_IMPL_H

/* Shared by entry_point.c, which reads and admits requests, entry_tree.c,
   which adds up what they press on, entry_place.c, which sends them,
   entry_answer.c, which hears of them, and entry_end.c, which ends them.  */

#include "edge/entry_point.h"
#include "mesh/retry_pool.h"
#include "mesh/split.h"

enum
{
  PLACES_MAX = 8,            /* backend servers tried for one request */
  SERVICES_MAX = 64,         /* with counts of their own */
  ROUTE_RUNS = 4096,         /* routes with a mean of their own, by hash */
  MARGIN_US = 20 * US_PER_MS /* for an answer to reach its caller in time */
};

/* What is kept of a route while a policy is in force.  */
typedef struct route_state_t
{
  split_t split;
  int64_t pressure_us;      /* when the rest was added up */
  char pressed[NAME_BYTES]; /* the most pressed service below it */
  double pressure;
  double cost; /* of a run there, as a part of the mean request's */
  double cost_us;
  double *mean_us; /* what a request costs that service, on average */
} route_state_t;

/* What is kept of a service.  */
typedef struct service_state_t
{
  retry_pool_t pool;
  double cost_us; /* of the requests that lead to it, on average */
} service_state_t;

/* How long the runs of one route take.  */
typedef struct route_runs_t
{
  double mean_us; /* 0 before the first */
} route_runs_t;

typedef struct exchange_t exchange_t;

struct entry_point_t
{
  entry_deps_t parts;
  const policy_t *policy;
  uint64_t edition;      /* counts the policies that were in force */
  route_state_t *routes; /* of the policy */
  service_state_t services[SERVICES_MAX];
  uint32_t service_count;
  route_runs_t runs[ROUTE_RUNS];
  uint32_t sidecars;
  int64_t stop_since_us; /* 0 is "not stopping" */
  int64_t stop_end_us;
  exchange_t *open; /* that have not ended */
  entry_state_t state;
};

/* Where an exchange stands.  */
typedef enum step_t
{
  STEP_PLACING,   /* waits for a server or a link to be there */
  STEP_SENT,      /* on its way, queued or running somewhere */
  STEP_ASKING,    /* its link was lost; the other side is asked */
  STEP_GATHERING, /* its answer comes in, nothing of it was handed on */
  STEP_ANSWERING
} step_t;

struct exchange_t
{
  entry_point_t *entry;
  exchange_t *next_open;
  exchange_t *prev_open;
  http_exchange_t *http;
  ev_timer timer;
  step_t step;
  char attempt_id[ATTEMPT_ID_BYTES];
  char service[NAME_BYTES]; /* that is to run it */
  char route[NAME_BYTES];
  char pressed[NAME_BYTES]; /* the most pressed service that it leads to */
  double pressure;          /* there */
  double cost;              /* of this request there */
  uint64_t edition;         /* of the policy that it was admitted by */
  int number;               /* of its route there */
  char account[NAME_BYTES];
  route_runs_t *runs; /* of its route */
  bool idempotent;
  bool from_backend;
  bool charged; /* a token of the account's rate was taken */
  uint8_t priority;
  uint8_t route_priority;
  uint32_t attempts_left; /* servers that it may still reach */
  int64_t target_us;
  int64_t deadline_us;
  int64_t patience_us; /* when to stop waiting for a server */
  bytes_t fields;
  vm_id_t tried[PLACES_MAX];
  uint32_t tried_count;
  vm_id_t vm; /* where it was sent */
  uint64_t incarnation;
  run_t *run;
  peer_call_t *call;
  int status; /* of the answer that comes in */
  int64_t length;
  bytes_t answer_fields;
  bytes_t answer;
  size_t untaken; /* bytes that the other side was not told of yet */
  cause_t cause;  /* of the last refusal or failure */
  bool may_have_run;
  bool hedged;     /* no other server is tried for an overdue answer */
  bool broken_off; /* its run was let go of while the server was at work */
};

/* --- entry_tree.c ------------------------------------------------------ */

/* What presses on this request, as far as its entry point can tell.  */
const route_state_t *exchange_tree (exchange_t *exchange);
bool exchange_is_pressed (exchange_t *exchange);

service_state_t *entry_service (entry_point_t *entry, const char *service);
retry_pool_t *entry_retry_pool (entry_point_t *entry, const char *service);
retry_budget_t entry_retry_bounds (const entry_point_t *entry);
size_t entry_runs_slot (const char *route);

/* --- entry_place.c ----------------------------------------------------- */

/* Sends to one server after the other until one takes it.  The exchange may
   have ended on return.  */
void exchange_place (exchange_t *exchange);

/* Asks where it was sent what became of it, now or as soon as there is a
   way.  */
void exchange_ask (exchange_t *exchange);
void exchange_wait_to_ask (exchange_t *exchange);

/* Whether a second server may be tried after one that may have run it; takes
   what that costs.  */
bool exchange_may_repeat (exchange_t *exchange);

/* Its answer has begun to come: no other server is tried unless it breaks off,
   and the rest may take until the deadline.  */
void exchange_gather (exchange_t *exchange);

/* Its run goes on without it, or is cancelled.  */
void exchange_let_go (exchange_t *exchange);

/* Placement hears how its sending has ended.  */
void exchange_told_done (exchange_t *exchange, run_result_t result,
                         int64_t run_us, const server_load_t *load);

/* Ends it for want of time, as what is known of its run allows.  */
void exchange_stop (exchange_t *exchange);

void exchange_on_timer (struct ev_loop *ev, ev_timer *timer, int events);

/* --- entry_answer.c ---------------------------------------------------- */

/* Where its answers go.  */
call_sink_t exchange_sink (exchange_t *exchange);

/* The caller has read on, or SIZE more bytes came for it.  */
void exchange_take (exchange_t *exchange, size_t size);

/* --- entry_end.c ------------------------------------------------------- */

/* The one place where a request ends without a backend server's answer.  */
void exchange_finish (exchange_t *exchange, entry_end_t end, int status);

/* The same, by whether it may have run.  */
void exchange_give_up (exchange_t *exchange, entry_end_t end);

void exchange_count_end (exchange_t *exchange, entry_end_t end);
void exchange_free (exchange_t *exchange);
double entry_draw (const entry_point_t *entry);

#endif
