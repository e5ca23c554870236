#include "edge/runner_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  KEEP_OUTCOME_US = 10 * US_PER_S /* how long outcomes are kept at least */
};

/* --- attempts that must run at most once ------------------------------- */

static run_t **
attempt_bucket (runner_t *runner, const char *id)
{
  return &runner->attempt_buckets[XXH3_64bits (id, strlen (id))
                                  % ATTEMPT_BUCKETS];
}

run_t *
runner_find_attempt (runner_t *runner, const char *id)
{
  run_t *run = *attempt_bucket (runner, id);
  while (run != NULL && strcmp (run->attempt_id, id) != 0)
    run = run->bucket_next;
  return run;
}

void
run_add_attempt (run_t *run)
{
  run_t **bucket = attempt_bucket (run->runner, run->attempt_id);
  run->in_attempt_table = true;
  run->bucket_next = *bucket;
  *bucket = run;
}

void
run_remove_attempt (run_t *run)
{
  run_t **link = attempt_bucket (run->runner, run->attempt_id);
  while (*link != run)
    link = &(*link)->bucket_next;
  *link = run->bucket_next;
}

void
run_free (run_t *run)
{
  if (run->in_attempt_table)
    run_remove_attempt (run);
  bytes_free (&run->request_head);
  bytes_free (&run->request_body);
  bytes_free (&run->reply_fields);
  bytes_free (&run->reply_body);
  free (run);
}

void
run_keep_outcome (run_t *run)
{
  runner_t *runner = run->runner;
  bytes_free (&run->request_head);
  bytes_free (&run->request_body);
  run->ended_us = runner->loop->now_us;
  run->kept_next = NULL;
  *runner->kept_last = run;
  runner->kept_last = &run->kept_next;
}

/* Returns the time until which the outcome of RUN is kept.  The entry point
   may ask for it until the deadline.  */
static int64_t
kept_until_us (const run_t *run)
{
  int64_t until_us = run->ended_us + KEEP_OUTCOME_US;
  return until_us > run->deadline_us ? until_us : run->deadline_us;
}

/* Frees in the order of the ends, so an outcome may be kept for as long as an
   earlier one.  */
void
runner_free_expired (runner_t *runner)
{
  while (runner->kept_first != NULL
         && kept_until_us (runner->kept_first) <= runner->loop->now_us)
    {
      run_t *run = runner->kept_first;
      runner->kept_first = run->kept_next;
      if (runner->kept_first == NULL)
        runner->kept_last = &runner->kept_first;
      run_free (run);
    }
}

/* --- runs that have not ended ------------------------------------------ */

void
run_add_open (run_t *run)
{
  runner_t *runner = run->runner;
  run->open_next = runner->open_first;
  if (runner->open_first != NULL)
    runner->open_first->open_prev = run;
  runner->open_first = run;
  runner->open_count++;
}

void
run_remove_open (run_t *run)
{
  if (run->open_prev != NULL)
    run->open_prev->open_next = run->open_next;
  else
    run->runner->open_first = run->open_next;
  if (run->open_next != NULL)
    run->open_next->open_prev = run->open_prev;
  run->runner->open_count--;
}
