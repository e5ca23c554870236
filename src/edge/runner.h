#ifndef REDWINGFORD_RUNNER_H
#define REDWINGFORD_RUNNER_H

/* Runs calls on the backend server beside this sidecar.  Only the runner sends
   requests to that server, so it alone knows which calls are running, and
   which attempts that must run at most once have run.  These are the calls
   that are not idempotent.  */

#include "edge/http_client.h"
#include "mesh/call.h"
#include "mesh/call_learner.h"
#include "mesh/crash_suspects.h"
#include "mesh/dialect.h"
#include "mesh/intake.h"
#include "mesh/server_view.h"

typedef struct runner_t runner_t;
typedef struct run_t run_t;

typedef struct runner_handler_t
{
  /* The backend server cannot be reached (SERVER_ID is NULL), or has answered
     that it is the instance SERVER_ID, not the one that was meant.  */
  void (*server_lost) (void *ctx, const char *server_id);
  /* A run has failed, other than by the server's refusal to take it; for the
     log.  */
  void (*run_failed) (void *ctx, const char *attempt_id, const char *server_id,
                      cause_t cause);
  /* The backend server has crashed and COUNT requests are suspected of it, or
     a suspect has been cleared (COUNT is 0).  */
  void (*suspects_changed) (void *ctx, uint32_t count);
  void *ctx; /* borrowed */
} runner_handler_t;

/* Returns a new runner for the backend server at SERVER, to be freed with
   runner_free.  All pointers are borrowed, but *HANDLER is copied.
   INCARNATION is this sidecar's: a query for the outcome of a call that was
   sent to another incarnation cannot be answered.  */
runner_t *runner_new (loop_t *loop, const dialect_t *dialect,
                      endpoint_addr_t server, uint64_t incarnation,
                      call_learner_t *learner, crash_suspects_t *suspects,
                      const runner_handler_t *handler);

/* Ends open runs without a callback.  */
void runner_free (runner_t *runner);

/* Sets what is known of the backend server.  SERVER_ID is the instance that
   requests are sent to from now on.  When it differs from the one before, runs
   that were cut lately are suspected of having crashed that one.  */
void runner_set_server (runner_t *runner, const intake_server_t *server,
                        const char *server_id);

typedef enum start_verdict_t
{
  START_ACCEPTED, /* runs or waits; *run is valid until its last callback */
  START_REFUSED,  /* *failure says why; no callback follows */
  START_ANSWERED  /* SINK was given the kept answer of an earlier start */
} start_verdict_t;

/* Starts or queues CALL, or answers a query for the outcome of an earlier one.
   CALL and *SINK are copied.  SINK's callbacks end with the last part of the
   answer or a failure.  */
start_verdict_t runner_start_call (runner_t *runner,
                                   const call_request_t *call,
                                   const call_sink_t *sink, run_t **run,
                                   call_failure_t *failure);

/* Cancels RUN because its caller has gone or the link to it was lost; no
   callback follows.  A run that must run at most once and that the server may
   have begun goes on, and its answer is kept for a query for the outcome.  Any
   other run is aborted.  */
void run_cancel (run_t *run);

/* Whether the server may have begun RUN.  */
bool run_may_have_begun (const run_t *run);

/* Stops or resumes reading the answer.  */
void run_pause (run_t *run, bool pause);

/* Refuses all queued calls and all later ones.  */
void runner_stop (runner_t *runner);

/* Starts or refuses queued calls that are due, and frees old outcomes.
   Returns the loop time at which it is next due.  */
int64_t runner_tick (runner_t *runner);

/* Returns the load of the backend server, as other sidecars are told it.  */
server_load_t runner_server_load (const runner_t *runner);

/* Returns the mean time that a run takes, or 0 before the first.  */
int64_t runner_mean_run_us (const runner_t *runner);

/* Returns the number of runs, queued ones too, that have not ended.  */
uint32_t runner_open_run_count (const runner_t *runner);

/* Sends a health check for PATH and passes its result to CALLBACK.  If none
   comes within ten seconds, CALLBACK is not called.  */
typedef void (*runner_probe_callback_t) (void *ctx,
                                         const server_probe_t *probe);
void runner_probe (runner_t *runner, const char *path,
                   runner_probe_callback_t callback, void *ctx);

/* Counts since the start.  */
typedef struct runner_stats_t
{
  uint64_t runs_started; /* sent to the server, resent ones again */
  uint64_t runs_answered;
  uint64_t runs_orphaned; /* went on after their callers had gone */
  uint64_t probes_sent;
  uint64_t failures[CAUSE_COUNT]; /* refusals too */
  http_client_stats_t connections;
} runner_stats_t;

/* Returns a copy of the counters.  */
runner_stats_t runner_stats (const runner_t *runner);

#endif
