#ifndef REDWINGFORD_RUNNER_IMPL_H
#define REDWINGFORD_RUNNER_IMPL_H

/* Internals of the runner.  runner.c starts and cancels runs, runner_table.c
   keeps the tables of runs, runner_answer.c handles answers and failures and
   ends runs, and runner_probe.c sends health checks.  */

#include "edge/runner.h"

enum
{
  CUT_RUNS_MAX = 64,     /* remembered; the oldest are forgotten first */
  ATTEMPT_BUCKETS = 4096 /* of the table of attempts */
};

typedef enum run_state_t
{
  RUN_QUEUED,
  RUN_RUNNING,
  RUN_ENDED
} run_state_t;

struct run_t
{
  runner_t *runner;
  run_t *bucket_next; /* in its bucket of the table of attempts */
  run_t *kept_next;   /* kept run that ended next */
  run_t *open_next;   /* in the list of runs that have not ended */
  run_t *open_prev;
  run_state_t state;
  intake_entry_t intake_entry;
  call_sink_t sink;
  bool has_sink;         /* somebody waits for the answer */
  bool in_attempt_table; /* set while it is: the call must run at most once */
  bool from_backend;
  bool resent;          /* on a new connection */
  bool no_body;         /* the answer has none: HEAD */
  bool reply_started;   /* the sink was given the head */
  bool reply_too_large; /* to be kept for a query */
  int64_t deadline_us;
  int64_t ended_us;
  uint64_t fingerprint; /* by which crash suspects are told apart */
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

/* A run whose connection the server closed before the whole answer.  It is
   suspected of a crash if the server is then found to be gone.  */
typedef struct cut_run_t
{
  uint64_t fingerprint;
  int64_t cut_us;
} cut_run_t;

struct runner_t
{
  loop_t *loop;
  const dialect_t *dialect;
  http_client_t *client;
  intake_t *intake;
  uint64_t incarnation;
  call_learner_t *learner;
  crash_suspects_t *suspects;
  cut_run_t cut_runs[CUT_RUNS_MAX];
  uint32_t cut_run_count;
  runner_handler_t handler;
  char server_id[SERVER_ID_BYTES];
  run_t *attempt_buckets[ATTEMPT_BUCKETS];
  run_t *kept_first; /* ended runs whose outcome is kept, oldest first */
  run_t **kept_last;
  run_t *open_first;
  uint32_t open_count;
  bool stopped; /* by runner_stop; all calls are refused */
  runner_stats_t state;
};

/* --- runner.c ---------------------------------------------------------- */

/* Sends RUN, which holds a slot, to the server.  */
void run_send (run_t *run);

/* --- runner_table.c ---------------------------------------------------- */

/* The table of attempts that must run at most once, by id.
   runner_find_attempt returns NULL when there is none.  */
run_t *runner_find_attempt (runner_t *runner, const char *id);
void run_add_attempt (run_t *run);
void run_remove_attempt (run_t *run);

/* Keeps the outcome of RUN, which has ended, for queries.  runner_free_expired
   frees RUN after KEEP_OUTCOME_US.  */
void run_keep_outcome (run_t *run);
void runner_free_expired (runner_t *runner);

/* Adds RUN to and removes it from the list of runs that have not ended.  */
void run_add_open (run_t *run);
void run_remove_open (run_t *run);

/* Removes RUN from the table of attempts and frees it.  */
void run_free (run_t *run);

/* --- runner_answer.c --------------------------------------------------- */

/* Returns the callbacks for the server's answer to RUN.  */
http_response_handler_t run_reply_handler (run_t *run);

/* Ends RUN with a failure and passes it to the sink.  */
void run_fail (run_t *run, failure_kind_t kind, cause_t cause);

/* Ends RUN without a callback.  A later query for the outcome is told that the
   call never came if the server has not begun it, else that it may have
   run.  */
void run_abort (run_t *run);

/* Records a crash of the server: the runs that it cut lately are suspected of
   it.  */
void runner_record_crash (runner_t *runner);

#endif
