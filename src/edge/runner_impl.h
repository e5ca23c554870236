#ifndef REDWINGFORD_RUNNER_IMPL_H
#define REDWINGFORD_RUNNER_IMPL_H

/* Shared by runner.c, which starts and cancels runs, runner_table.c, which
   keeps them, runner_answer.c, which hears of them and ends them, and
   runner_probe.c, which checks the health of the server.  */

#include "edge/runner.h"

enum
{
  CUTS_MAX = 64, /* runs that were cut a moment ago */
  BUCKETS = 4096 /* of the attempts that must run once */
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
  run_t *next;      /* in its bucket */
  run_t *older;     /* kept ones, by end */
  run_t *open_next; /* of those that have not ended */
  run_t *open_prev;
  run_state_t state;
  intake_entry_t entry;
  call_sink_t sink;
  bool listening; /* the sink wants to hear */
  bool once;      /* stands in the table of attempts */
  bool from_backend;
  bool fresh; /* sent again, on a new connection */
  bool no_body;
  bool replied; /* the head was handed out */
  bool too_large;
  int64_t deadline_us;
  int64_t ended_us;
  uint64_t fingerprint;
  char attempt_id[ATTEMPT_ID_BYTES];
  char account[NAME_BYTES];
  char caller[NAME_BYTES];
  char route[NAME_BYTES];
  char server_id[SERVER_ID_BYTES];
  bytes_t request; /* method, target and fields */
  bytes_t body;
  http_call_t *call;
  call_reply_t reply;
  bytes_t reply_fields;
  bytes_t reply_body;
  cause_t reject;
  bool failed; /* ended with FAILURE */
  call_failure_t failure;
};

/* A run that the server cut: suspect if the server turns out to be gone.  */
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
  cut_run_t cuts[CUTS_MAX];
  uint32_t cut_count;
  runner_handler_t handler;
  char server_id[SERVER_ID_BYTES];
  run_t *attempts[BUCKETS];
  run_t *kept_first; /* ended, oldest first */
  run_t **kept_last;
  run_t *open_first;
  uint32_t open;
  bool stopped; /* refuses all from now on */
  runner_state_t state;
};

/* --- runner.c ---------------------------------------------------------- */

/* Sends RUN, which holds a slot, to the server.  */
void run_send (run_t *run);

/* --- runner_table.c ---------------------------------------------------- */

/* Attempts that must run once, by id.  NULL when there is none.  */
run_t *attempt_find (runner_t *runner, const char *id);
void attempt_add (run_t *run);
void attempt_remove (run_t *run);

/* Keeps the end of RUN for questions about it; it is freed when it is old.  */
void run_keep (run_t *run);
void runner_drop_old (runner_t *runner);

/* RUN begins and ends to count as open.  */
void run_open (run_t *run);
void run_close (run_t *run);
void run_free (run_t *run);

/* --- runner_answer.c --------------------------------------------------- */

http_response_handler_t run_reply_handler (run_t *run);

/* Ends RUN and tells its sink.  */
void run_fail (run_t *run, failure_kind_t failure, cause_t cause);

/* Ends RUN without a callback.  What the server has not begun is recorded as a
   call that never came.  */
void run_break_off (run_t *run);

/* Whether the server may have begun to work on RUN.  */

/* The server is gone: what it cut lately counts as run when it crashed.  */
void runner_count_crash (runner_t *runner);

#endif
