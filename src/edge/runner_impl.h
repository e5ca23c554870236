#ifndef REDWINGFORD_RUNNER_IMPL_H
#define REDWINGFORD_RUNNER_IMPL_H

/* Shared by runner.c, which runs calls, and runner_probe.c, which checks the
   health of the server.  */

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
  bool fresh;
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
  uint32_t accounts; /* seed of the accounts' numbers */
  runner_state_t state;
};

#endif
