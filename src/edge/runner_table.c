#include "edge/runner_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  KEEP_US = 10 * US_PER_S /* answers kept for questions about them */
};

/* --- attempts that must run once --------------------------------------- */

static run_t **
attempt_bucket (runner_t *runner, const char *id)
{
  return &runner->attempts[XXH3_64bits (id, strlen (id)) % BUCKETS];
}

run_t *
attempt_find (runner_t *runner, const char *id)
{
  run_t *run = *attempt_bucket (runner, id);
  while (run != NULL && strcmp (run->attempt_id, id) != 0)
    run = run->next;
  return run;
}

void
attempt_add (run_t *run)
{
  run_t **bucket = attempt_bucket (run->runner, run->attempt_id);
  run->once = true;
  run->next = *bucket;
  *bucket = run;
}

void
attempt_remove (run_t *run)
{
  run_t **at = attempt_bucket (run->runner, run->attempt_id);
  while (*at != run)
    at = &(*at)->next;
  *at = run->next;
}

void
run_free (run_t *run)
{
  if (run->once)
    attempt_remove (run);
  bytes_free (&run->request);
  bytes_free (&run->body);
  bytes_free (&run->reply_fields);
  bytes_free (&run->reply_body);
  free (run);
}

void
run_keep (run_t *run)
{
  runner_t *runner = run->runner;
  bytes_free (&run->request);
  bytes_free (&run->body);
  run->ended_us = runner->loop->now_us;
  run->older = NULL;
  *runner->kept_last = run;
  runner->kept_last = &run->older;
}

void
runner_drop_old (runner_t *runner)
{
  int64_t until_us = runner->loop->now_us - KEEP_US;
  while (runner->kept_first != NULL
         && runner->kept_first->ended_us <= until_us)
    {
      run_t *run = runner->kept_first;
      runner->kept_first = run->older;
      if (runner->kept_first == NULL)
        runner->kept_last = &runner->kept_first;
      run_free (run);
    }
}

/* --- runs that have not ended ------------------------------------------ */

void
run_open (run_t *run)
{
  runner_t *runner = run->runner;
  run->open_next = runner->open_first;
  if (runner->open_first != NULL)
    runner->open_first->open_prev = run;
  runner->open_first = run;
  runner->open++;
}

void
run_close (run_t *run)
{
  if (run->open_prev != NULL)
    run->open_prev->open_next = run->open_next;
  else
    run->runner->open_first = run->open_next;
  if (run->open_next != NULL)
    run->open_next->open_prev = run->open_prev;
  run->runner->open--;
}
