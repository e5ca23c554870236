#include "edge/runner_impl.h"

#include <string.h>

enum
{
  DETACHED_RUNS_MAX = 1024,
  DETACHED_REPLY_MAX_BYTES = 4 * 1024 * 1024 /* of all outcomes kept */
};

static void
remove_from_detached (run_t *run)
{
  runner_t *runner = run->runner;
  if (run->state == RUN_STATE_ENDED)
    runner->detached_reply_bytes -= bytes_size (&run->reply_body);
  if (run->detached_prev != NULL)
    run->detached_prev->detached_next = run->detached_next;
  else
    runner->detached_first = run->detached_next;
  if (run->detached_next != NULL)
    run->detached_next->detached_prev = run->detached_prev;
  else
    runner->detached_last = run->detached_prev;
  run->detached_next = run->detached_prev = NULL;
  run->detached = false;
  runner->detached_count--;
}

void
run_detach (run_t *run)
{
  runner_t *runner = run->runner;
  if (run->in_attempt_table)
    {
      run_cancel (run);
      return;
    }
  if (run->reply_started || runner->detached_count == DETACHED_RUNS_MAX)
    {
      runner->stats.runs_detach_refused++;
      run_abort (run);
      return;
    }
  run->has_sink = false;
  run->detached = true;
  run->detached_until_us = runner->loop->now_us + DETACHED_RUN_US;
  run->detached_prev = runner->detached_last;
  if (runner->detached_last != NULL)
    runner->detached_last->detached_next = run;
  else
    runner->detached_first = run;
  runner->detached_last = run;
  runner->detached_count++;
  runner->stats.runs_detached++;
}

void
run_keep_detached_outcome (run_t *run)
{
  runner_t *runner = run->runner;
  bytes_free (&run->request_head);
  bytes_free (&run->request_body);
  runner->detached_reply_bytes += bytes_size (&run->reply_body);
  if (runner->detached_reply_bytes <= DETACHED_REPLY_MAX_BYTES)
    return;
  runner->stats.runs_detach_refused++;
  remove_from_detached (run);
  run_free (run);
}

/* Finds the run of CALL, an idempotent one.  Its link may not yet be known to
   be lost.  */
static run_t *
find_run (const runner_t *runner, const call_request_t *call)
{
  uint64_t fingerprint = crash_suspects_fingerprint (
      call->account, call->target, call->body, call->body_size);
  run_t *run = runner->open_first;
  while (run != NULL
         && (run->in_attempt_table || run->fingerprint != fingerprint
             || strcmp (run->attempt_id, call->attempt_id) != 0))
    run = run->open_next;
  if (run != NULL)
    return run;
  run = runner->detached_first;
  while (run != NULL
         && (run->state != RUN_STATE_ENDED || run->fingerprint != fingerprint
             || strcmp (run->attempt_id, call->attempt_id) != 0))
    run = run->detached_next;
  return run;
}

start_verdict_t
runner_resume_detached (runner_t *runner, const call_request_t *call,
                        const call_sink_t *sink, run_t **run,
                        call_failure_t *failure)
{
  if (call->incarnation != runner->incarnation)
    return runner_refuse_call (runner, failure, FAILURE_OUTCOME_UNKNOWN,
                               CAUSE_PEER_RESTARTED);
  run_t *found = find_run (runner, call);
  if (found == NULL)
    {
      /* The call may have ended before its link was lost.  */
      runner->stats.queries_unknown++;
      return runner_refuse_call (runner, failure, FAILURE_OUTCOME_UNKNOWN,
                                 CAUSE_OUTCOME_NOT_KEPT);
    }
  if (found->detached)
    remove_from_detached (found);
  if (found->state != RUN_STATE_ENDED)
    {
      runner->stats.runs_resumed++;
      *run = found;
      return run_replace_sink (found, sink, failure);
    }
  runner->stats.runs_replayed++;
  start_verdict_t verdict = run_replay_outcome (found, sink, failure);
  run_free (found);
  return verdict;
}

void
runner_end_detached (runner_t *runner)
{
  while (runner->detached_first != NULL
         && runner->detached_first->detached_until_us <= runner->loop->now_us)
    {
      run_t *run = runner->detached_first;
      remove_from_detached (run);
      runner->stats.runs_detach_expired++;
      if (run->state == RUN_STATE_ENDED)
        run_free (run);
      else
        run_abort (run);
    }
}

int64_t
runner_detached_due_us (const runner_t *runner)
{
  const run_t *first = runner->detached_first;
  return first != NULL ? first->detached_until_us : INT64_MAX;
}

void
runner_free_detached (runner_t *runner)
{
  while (runner->detached_first != NULL)
    {
      run_t *run = runner->detached_first;
      remove_from_detached (run);
      if (run->state == RUN_STATE_ENDED)
        run_free (run);
    }
}
