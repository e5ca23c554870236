#ifndef REDWINGFORD_RUNNER_H
#define REDWINGFORD_RUNNER_H

/* Runs calls on the backend server beside this sidecar.  It is the one place
   that sends to that server, so it alone knows what runs, and which attempts
   that must run once have run.  */

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
  /* The backend server cannot be reached (NULL), or says that it is the
     instance of that id.  */
  void (*server_lost) (void *ctx, const char *server_id);
  /* A run has ended with FAULT, for the log.  */
  void (*run_failed) (void *ctx, const char *attempt_id, const char *server_id,
                      cause_t cause);
  /* The backend server has crashed; what ran is suspect (COUNT of them), or
     a suspect has been cleared (0).  */
  void (*suspects_changed) (void *ctx, uint32_t count);
  void *ctx; /* borrowed */
} runner_handler_t;

/* All are borrowed.  CALLER's incarnation decides whether a question about an
   earlier call can be answered.  */
runner_t *runner_new (loop_t *loop, const dialect_t *dialect,
                      endpoint_addr_t server, uint64_t incarnation,
                      call_learner_t *learner, crash_suspects_t *suspects,
                      const runner_handler_t *handler);
/* Ends open runs without a callback.  */
void runner_free (runner_t *runner);

/* SERVER_ID is the instance that requests are meant for.  */
void runner_set_server (runner_t *runner, const intake_server_t *server,
                        const char *server_id);

typedef enum start_verdict_t
{
  START_ACCEPTED, /* runs or waits; *run stands until its last callback */
  START_REFUSED,  /* at once; *failure says why */
  START_ANSWERED  /* SINK has been given an answer that was kept */
} start_verdict_t;

/* Starts or queues CALL, which is copied.  SINK's callbacks end with the last
   part of the answer or a failure.  */
start_verdict_t runner_start_call (runner_t *runner,
                                   const call_request_t *call,
                                   const call_sink_t *sink, run_t **run,
                                   call_failure_t *failure);

/* The caller is gone, or the way to it is lost; no callback follows.  A run
   that must run once and that the server may have begun goes on, and its
   answer is kept for a question about it.  Any other ends unrun.  */
void run_cancel (run_t *run);

/* Whether the server may have begun it.  */
bool run_has_begun (const run_t *run);

/* Stops or goes on reading the answer.  */
void run_pause (run_t *run, bool pause);

/* Refuses what is queued, and all that comes.  */
void runner_stop (runner_t *runner);

/* Starts what waits and can.  Returns when it is next due.  */
int64_t runner_tick (runner_t *runner);

server_load_t runner_server_load (const runner_t *runner);
int64_t runner_mean_run_us (const runner_t *runner);
uint32_t
runner_open_run_count (const runner_t *runner); /* runs that have not ended */

/* Sends a health check; the answer comes as a probe.  PROBED is not called if
   none comes in ten seconds.  */
typedef void (*runner_probed_t) (void *ctx, const server_probe_t *probe);
void runner_probe (runner_t *runner, const char *path, runner_probed_t probed,
                   void *ctx);

typedef struct runner_state_t
{
  uint64_t runs_started; /* runs that were sent to the server */
  uint64_t runs_answered;
  uint64_t runs_orphaned; /* go on although nobody waits for the answer */
  uint64_t probes_sent;
  uint64_t failures[CAUSE_COUNT];
  http_client_state_t connections;
} runner_state_t;

runner_state_t runner_state (const runner_t *runner);

#endif
