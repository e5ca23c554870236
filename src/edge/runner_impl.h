#ifndef REDWINGFORD_RUNNER_IMPL_H
#define REDWINGFORD_RUNNER_IMPL_H

/* Internals of the runner.  runner.c starts and cancels runs, runner_table.c
   keeps the tables of runs, runner_detach.c keeps idempotent runs whose link
   was lost, runner_answer.c handles replies and failures and
   ends runs, and runner_probe.c sends health checks.  */

#include "edge/runner.h"

enum
{
  INTERRUPTED_RUNS_MAX = 64, /* the oldest are dropped first */
  ATTEMPT_BUCKETS = 4096     /* buckets of the table of attempts */
};

typedef enum run_state_t
{
  RUN_STATE_QUEUED,
  RUN_STATE_RUNNING,
  RUN_STATE_ENDED
} run_state_t;

struct run_t
{
  runner_t *runner;
  run_t *bucket_next; /* next run in its bucket of the table of attempts */
  run_t *kept_next;   /* next run in the list of kept outcomes */
  run_t *open_next;   /* next run in the list of runs that have not ended */
  run_t *open_prev;
  run_t *detached_next; /* next run in the list of detached runs */
  run_t *detached_prev;
  run_state_t state;
  intake_entry_t intake_entry;
  call_sink_t sink;
  bool has_sink;         /* the reply is to be passed to SINK */
  bool in_attempt_table; /* the call must run at most once */
  /* An idempotent run whose link was lost and which no query has resumed.  */
  bool detached;
  int64_t detached_until_us;
  bool from_backend;
  bool resent;        /* sent again, on a new connection */
  bool no_body;       /* the reply to HEAD has no body */
  bool reply_started; /* the head was passed to SINK */
  /* The reply exceeds KEPT_REPLY_MAX_BYTES, so it is not kept for a later
     query for the outcome by the sidecar that the request entered through.  */
  bool reply_too_large;
  int64_t deadline_us;
  int64_t ended_us;
  uint64_t fingerprint; /* identifies the request as a crash suspect */
  char attempt_id[ATTEMPT_ID_BYTES];
  char account[NAME_BYTES];
  char caller_service[NAME_BYTES];
  char route[NAME_BYTES];
  char server_id[SERVER_ID_BYTES];
  bytes_t request_head; /* request line and fields */
  bytes_t request_body;
  http_call_t *http_call;
  call_reply_t reply;
  bytes_t reply_fields;
  bytes_t reply_body;
  cause_t reject_cause; /* of HTTP_FAILURE_REJECTED */
  bool failed;          /* ended with FAILURE instead of a reply */
  call_failure_t failure;
};

/* A run whose connection the server closed before its reply was complete.  It
   is suspected of a crash if the server is then found to be gone.  */
typedef struct interrupted_run_t
{
  uint64_t fingerprint;
  int64_t interrupted_us;
} interrupted_run_t;

typedef struct probe_call_t probe_call_t;

struct runner_t
{
  loop_t *loop;
  const dialect_t *dialect;
  http_client_t *client;
  intake_t *intake;
  uint64_t incarnation;
  call_learner_t *learner;
  crash_suspects_t *suspects;
  interrupted_run_t interrupted_runs[INTERRUPTED_RUNS_MAX];
  uint32_t interrupted_run_count;
  runner_handler_t handler;
  run_end_callback_t on_run_end; /* NULL is none */
  void *run_end_ctx;
  char server_id[SERVER_ID_BYTES];
  run_t *attempt_buckets[ATTEMPT_BUCKETS];
  run_t *kept_first; /* ended runs whose outcome is kept, oldest first */
  run_t **kept_last;
  probe_call_t *probes; /* health checks without a result */
  run_t *open_first;
  uint32_t open_count;
  run_t *detached_first; /* in the order in which their links were lost */
  run_t *detached_last;
  uint32_t detached_count;
  size_t detached_reply_bytes; /* of those that have ended */
  bool stopped; /* runner_stop was called; new calls are refused */
  runner_stats_t stats;
};

/* --- runner.c ---------------------------------------------------------- */

/* Sends RUN, which holds a slot, to the server.  */
void run_send (run_t *run);

/* Counts a failure of KIND and CAUSE and stores it in *FAILURE.  */
start_verdict_t runner_refuse_call (runner_t *runner, call_failure_t *failure,
                                    failure_kind_t kind, cause_t cause);

/* Passes the kept outcome of RUN, which has ended, to SINK or, if it is a
   failure, stores it in *FAILURE.  A reply that was too large to keep is
   FAILURE_INVALID_REPLY.  */
start_verdict_t run_replay_outcome (run_t *run, const call_sink_t *sink,
                                    call_failure_t *failure);

/* Makes SINK the sink of RUN.  The previous sink is given a failure, so that
   at most one owner holds a pointer to the run.  */
start_verdict_t run_replace_sink (run_t *run, const call_sink_t *sink,
                                  call_failure_t *failure);

/* Passes the load figures that FIELD of a reply or of a health check reply
   contains to the intake.  */
void runner_read_load (runner_t *runner, const fields_t *fields,
                       const field_t *field);

/* --- runner_table.c ---------------------------------------------------- */

/* The table of attempts that must run at most once, by id.
   runner_find_attempt returns NULL if there is none.  run_remove_attempt
   leaves in_attempt_table set.  */
run_t *runner_find_attempt (runner_t *runner, const char *id);
void run_add_attempt (run_t *run);
void run_remove_attempt (run_t *run);

/* Keeps the outcome of RUN, which has ended, for queries.  runner_free_expired
   frees RUN after KEEP_OUTCOME_US, but not before its deadline.  */
void run_keep_outcome (run_t *run);
void runner_free_expired (runner_t *runner);

/* Adds RUN to and removes it from the list of runs that have not ended.  */
void run_add_open (run_t *run);
void run_remove_open (run_t *run);

/* Removes RUN from the table of attempts and frees it.  */
void run_free (run_t *run);

/* --- runner_detach.c --------------------------------------------------- */

/* Keeps the outcome of RUN, which is detached and has ended, until its time is
   over, or frees RUN if too many bytes are kept.  */
void run_keep_detached_outcome (run_t *run);

/* Answers CALL, a query for the outcome of an idempotent call: resumes the
   run, passes on its outcome, or says that the call may have run.  Returns,
   and sets *RUN and *FAILURE, as runner_start_call does.  */
start_verdict_t runner_resume_detached (runner_t *runner,
                                        const call_request_t *call,
                                        const call_sink_t *sink, run_t **run,
                                        call_failure_t *failure);

/* Ends the detached runs whose time is over, or frees their outcomes.  */
void runner_end_detached (runner_t *runner);

/* Returns when runner_end_detached is next due, or INT64_MAX.  */
int64_t runner_detached_due_us (const runner_t *runner);

/* Frees the outcomes that are kept.  */
void runner_free_detached (runner_t *runner);

/* --- runner_answer.c --------------------------------------------------- */

/* Returns the callbacks for the server's reply to RUN.  */
http_response_handler_t run_reply_handler (run_t *run);

/* Ends RUN with a failure and passes the failure to the sink.  */
void run_fail (run_t *run, failure_kind_t kind, cause_t cause);

/* Ends RUN without a callback.  The reply to a later query for the outcome is
   CAUSE_CALL_NOT_RECEIVED if the server cannot have begun the run, else that
   the call may have run.  */
void run_abort (run_t *run);

/* Records that the server accepts no connections.  */
void runner_handle_connect_failure (runner_t *runner);

/* --- runner_probe.c ---------------------------------------------------- */

/* Frees health checks without a result, without a callback.  */
void runner_free_probes (runner_t *runner);

#endif
