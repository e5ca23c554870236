#ifndef REDWINGFORD_EXECUTOR_H
#define REDWINGFORD_EXECUTOR_H

/* What the daemon beside one backend server decides: which requests run, in
   what order, how many at a time, and which are refused.  Joins limit,
   coldstart, queue and level.  No locks: the caller serializes the calls.
   Requests are borrowed from executor_offer until they have ended.  */

#include "coldstart.h"
#include "level.h"
#include "limit.h"
#include "queue.h"
#include "reason.h"

typedef enum executor_state_t
{
  EXECUTOR_NEW,
  EXECUTOR_QUEUED,
  EXECUTOR_RUNNING,
  EXECUTOR_ENDED
} executor_state_t;

/* Zeroed, then filled by the caller.  */
typedef struct executor_request_t
{
  uint32_t account;       /* index of the client account */
  uint32_t weight;        /* of the account, 1 to 1000 */
  uint8_t priority;       /* 0 to PRIORITY_COUNT - 1; 0 is shed last */
  uint8_t rank;           /* of the root request, from demand_assign_rank */
  bool has_upstream_work; /* other servers have worked for its root request */
  int64_t deadline_us;    /* its answer is worthless after this */
  void *handle;           /* the caller's, not touched */
  /* Private.  */
  queue_entry_t entry;
  executor_state_t state;
  int64_t started_us;
} executor_request_t;

/* What holds the number in flight down.  */
typedef enum limiter_t
{
  LIMITER_SLOTS,       /* the announced slots */
  LIMITER_CONNECTIONS, /* the announced connections */
  LIMITER_LATENCY,     /* the measured limit */
  LIMITER_COLDSTART,
  LIMITER_LEVEL,   /* the admission level, own or from further down */
  LIMITER_ACCOUNT, /* the account's share of the queue */
  LIMITER_DEADLINE,
  LIMITER_LEAVING,
  LIMITER_COUNT
} limiter_t;

const char *limiter_name (limiter_t limiter);

/* Why a request was refused, for its answer, the counters and the log.  */
typedef struct executor_refusal_t
{
  reason_t reason;
  limiter_t limiter;
  uint32_t account;
  uint32_t in_flight;
  uint32_t window;
  uint32_t queued;
  level_value_t level;
} executor_refusal_t;

/* Called from within the calls below; must not call back.  */
typedef struct executor_actions_t
{
  /* The request holds a slot from now on: run it, then tell
     executor_finished.  */
  void (*start) (void *ctx, executor_request_t *request);
  /* The request has ended; it did not run.  */
  void (*refuse) (void *ctx, executor_request_t *request,
                  const executor_refusal_t *refusal);
  void *ctx; /* borrowed */
} executor_actions_t;

typedef struct executor_options_t
{
  uint32_t queue_capacity; /* entries; 0 is the default */
  limit_algorithm_t limit;
  /* Mechanisms switched off, for tests.  */
  bool no_limit;
  bool no_coldstart;
  bool no_sojourn;
  bool no_early_refusal;
  bool no_level;
  bool fifo;
  bool one_flow;
} executor_options_t;

typedef struct executor_t executor_t;

executor_t *executor_new (const executor_options_t *options,
                          const executor_actions_t *actions, int64_t now_us);

/* Requests still borrowed are dropped without notice.  */
void executor_free (executor_t *executor);

/* What the backend server announced; 0 is "not told".  */
typedef struct executor_figures_t
{
  uint32_t slots;
  uint32_t connections;
  uint32_t cold_slots; /* borne when freshly started */
  int64_t warm_us;     /* time from a fresh start to all slots */
  bool leaving;        /* nothing new is started */
} executor_figures_t;

void executor_announce (executor_t *executor,
                        const executor_figures_t *figures, int64_t now_us);

/* The backend server is known to have started afresh.  */
void executor_restarted (executor_t *executor, int64_t now_us);

/* The backend server's own report, as a share of its capacity in use.  Shown
   in the status; its lag and its lies make it no ground for a decision.  */
void executor_report (executor_t *executor, double load);

/* Starts, queues or refuses REQUEST.  */
void executor_offer (executor_t *executor, executor_request_t *request,
                     int64_t now_us);

/* A started request has ended.  OWN_US is the time that the backend server
   worked on it: the time since its start less the time that child calls
   took.  */
void executor_finished (executor_t *executor, executor_request_t *request,
                        run_result_t result, int64_t own_us, int64_t now_us);

/* The caller gave up.  True if the request was queued: it has ended unrun,
   without a call of refuse.  False if it runs or has ended already; a running
   one is cancelled by the caller, who then tells executor_finished.  */
bool executor_cancel (executor_t *executor, executor_request_t *request);

/* Refuses what has waited too long, starts what a window now has room for;
   returns when it wants to be called next.  */
int64_t executor_tick (executor_t *executor, int64_t now_us);

/* The admission level to put on an answer.  */
level_value_t executor_level (const executor_t *executor);

/* State for answers and "redwingford status".  */
typedef struct executor_status_t
{
  uint32_t in_flight;
  uint32_t queued;
  uint32_t window; /* in flight at most, now */
  uint32_t slots;
  limiter_t limiter; /* what sets the window */
  bool cold;
  level_value_t level;
  double reported_load;
  int64_t latency_us; /* mean of late, of the server's own part */
  uint64_t refused[LIMITER_COUNT];
  uint64_t started;
} executor_status_t;

executor_status_t executor_explain (executor_t *executor, int64_t now_us);

/* Connections to hold open: those in use and some ahead of demand, so that a
   request does not wait for a new one.  */
uint32_t executor_connections (executor_t *executor, int64_t now_us);

#endif
