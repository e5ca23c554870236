#ifndef REDWINGFORD_RUNNER_H
#define REDWINGFORD_RUNNER_H

/* Runs calls on the backend server of this VM.  Only the runner sends requests
   to that server, so it alone knows which calls are running.  A call that is
   not idempotent must run at most once: the runner keeps its outcome for a
   while, to answer queries and to recognize the call if it arrives again.  */

#include "edge/http_client.h"
#include "mesh/call.h"
#include "mesh/call_learner.h"
#include "mesh/crash_suspects.h"
#include "mesh/dialect.h"
#include "mesh/intake.h"
#include "mesh/server_view.h"

enum
{
  /* Less than the half second in which work for a caller that has gone must
     have ended.  */
  DETACHED_RUN_US = 300 * US_PER_MS
};

typedef struct runner_t runner_t;
typedef struct run_t run_t;

typedef struct runner_handler_t
{
  /* The backend server cannot be reached (SERVER_ID is NULL), or has replied
     that it is the instance SERVER_ID, not the one that the request was meant
     for.  */
  void (*server_lost) (void *ctx, const char *server_id);
  /* A started run has failed, other than by the server's refusal to run it or
     for lack of a socket to send it on.  To be logged.  */
  void (*run_failed) (void *ctx, const char *attempt_id, const char *server_id,
                      cause_t cause);
  /* The backend server's response to the run ATTEMPT_ID, or to a health check
     if that is empty, is malformed.  To be logged.  */
  void (*response_malformed) (void *ctx, const char *attempt_id,
                              http_defect_t defect);
  /* The backend server has crashed and COUNT requests are suspected of it, or
     a suspect has been cleared (COUNT is 0).  */
  void (*suspects_changed) (void *ctx, uint32_t count);
  /* The first run of a request of ROUTE begins.  */
  void (*run_started) (void *ctx, const char *route);
  /* Returns whether a request of ROUTE may be sent to the server once more.
   */
  bool (*take_resend) (void *ctx, const char *route);
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

typedef enum run_end_kind_t
{
  RUN_END_REPLY,       /* the reply is complete */
  RUN_END_INVALID,     /* the reply is malformed */
  RUN_END_NO_RESPONSE, /* cut off, or no complete reply by the deadline */
  RUN_END_CANCELLED    /* by the sidecar, before the deadline */
} run_end_kind_t;

/* End of a run that the backend server may have begun, other than by its
   refusal.  */
typedef struct run_end_t
{
  run_end_kind_t kind;
  const char *route;
  const char *server_id;
  int status; /* of the reply, if KIND is RUN_END_REPLY */
  int64_t began_us;
  int64_t expected_run_us; /* as the call stated; 0 is unknown */
} run_end_t;

/* Sets the function that is told of the end of each run; CTX is borrowed.  */
typedef void (*run_end_callback_t) (void *ctx, const run_end_t *end);
void runner_set_run_end_callback (runner_t *runner,
                                  run_end_callback_t callback, void *ctx);

/* Ends open runs without a callback.  */
void runner_free (runner_t *runner);

/* Sets what is known of the backend server.  SERVER_ID is the instance that
   requests are sent to from now on.  When it differs from the one before, that
   one has ended, as with runner_record_crash.  */
void runner_set_server (runner_t *runner, const intake_server_t *server,
                        const char *server_id);

/* Records that the backend server, or the instance before it, has ended: the
   runs that were interrupted lately are suspected of having crashed it.  */
void runner_record_crash (runner_t *runner);

typedef enum start_verdict_t
{
  START_ACCEPTED, /* runs or waits; *run is valid until its last callback */
  START_FAILED,   /* *failure is set, of any kind; no callback follows */
  START_ANSWERED  /* SINK was given the kept reply to the same attempt */
} start_verdict_t;

/* Starts or queues CALL, or answers a query for the outcome of an earlier one.
   CALL and *SINK are copied.  SINK's callbacks end with the last part of the
   reply or a failure.  If the same attempt is running already, SINK takes the
   place of the earlier sink, which is given a failure.  */
start_verdict_t runner_start_call (runner_t *runner,
                                   const call_request_t *call,
                                   const call_sink_t *sink, run_t **run,
                                   call_failure_t *failure);

/* Cancels RUN because its caller has gone; no callback follows.  A run that
   must run at most once and that the server may have begun continues, and its
   reply is kept for a query for the outcome, unless it is known to be too
   large.  Any other run is aborted.  */
void run_cancel (run_t *run);

/* Takes the sink from RUN because the link to the sidecar that asked for it
   was lost; no callback follows.  An idempotent run continues for
   DETACHED_RUN_US, and its outcome is kept for as long, for a query for the
   outcome; it is aborted if a part of its reply was passed on.  Any other run
   is treated as by run_cancel.  */
void run_detach (run_t *run);

/* Whether the server may have begun RUN.  */
bool run_may_have_begun (const run_t *run);

/* Stops or resumes reading the reply.  */
void run_pause (run_t *run, bool pause);

/* Refuses all queued calls and all later ones.  */
void runner_stop (runner_t *runner);

/* Starts or refuses queued calls that are due, and frees old outcomes.
   Returns the loop time at which it is next due, or INT64_MAX.  */
int64_t runner_tick (runner_t *runner);

/* Returns the load of the backend server, as it is reported to other
   sidecars.  */
server_load_t runner_server_load (const runner_t *runner);

/* Returns the mean time in microseconds that a run takes, or 0 before the
   first run.  */
int64_t runner_mean_run_us (const runner_t *runner);

/* Returns the number of runs, queued ones too, that have not ended.  */
uint32_t runner_open_run_count (const runner_t *runner);

/* Sends a health check for PATH and passes its result to CALLBACK.  A check
   that fails gives a result that is not healthy, but if there is no reply
   within ten seconds, or no socket for it, CALLBACK is not called.  */
typedef void (*runner_probe_callback_t) (void *ctx,
                                         const server_health_reply_t *probe);
void runner_probe (runner_t *runner, const char *path,
                   runner_probe_callback_t callback, void *ctx);

/* Counters since the start.  */
typedef struct runner_stats_t
{
  uint64_t runs_started; /* sent to the server; one sent twice counts twice */
  uint64_t runs_answered;
  uint64_t runs_orphaned; /* continued after their callers had gone */
  /* Idempotent runs whose link was lost: DETACHED continued, of which RESUMED
     were given to a query while open, REPLAYED after their end, and EXPIRED
     found no query in time.  DETACH_REFUSED were aborted at the loss, and
     QUERIES_UNKNOWN queries found no run.  */
  uint64_t runs_detached;
  uint64_t runs_resumed;
  uint64_t runs_replayed;
  uint64_t runs_detach_expired;
  uint64_t runs_detach_refused;
  uint64_t queries_unknown;
  uint64_t probes_sent;
  /* Slowdown by the server's own figure, now; see intake.h.  */
  uint32_t momentary_permille;
  uint64_t load_figures;           /* replies with a run time figure */
  uint64_t malformed_load_figures; /* ignored */
  uint64_t failures[CAUSE_COUNT];  /* by cause; includes refusals */
  http_client_stats_t connections;
} runner_stats_t;

/* Returns a copy of the counters.  */
runner_stats_t runner_stats (const runner_t *runner);

#endif
