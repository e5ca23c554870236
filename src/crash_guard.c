#include "crash_guard.h"

#include <pthread.h>
#include <stdlib.h>

struct crash_guard_t
{
  quarantine_part_t *part;
  pthread_mutex_t lock; /* guards the list; taken before the part's lock */
  guarded_run_t *running;
  uint32_t count;
};

crash_guard_t *
crash_guard_new (quarantine_part_t *part)
{
  crash_guard_t *guard = calloc (1, sizeof *guard);

  guard->part = part;
  pthread_mutex_init (&guard->lock, NULL);
  return guard;
}

void
crash_guard_free (crash_guard_t *guard)
{
  pthread_mutex_destroy (&guard->lock);
  free (guard);
}

static quarantine_request_t
quarantine_request_of (const guarded_run_t *run)
{
  return (quarantine_request_t){ .fingerprint = run->fingerprint,
                                 .account = run->request->call.account,
                                 .route = run->request->call.route };
}

static void
list_add (crash_guard_t *guard, guarded_run_t *run)
{
  run->next = guard->running;
  run->at = &guard->running;
  if (run->next != NULL)
    run->next->at = &run->next;
  guard->running = run;
  guard->count++;
}

static void
list_remove (crash_guard_t *guard, guarded_run_t *run)
{
  *run->at = run->next;
  if (run->next != NULL)
    run->next->at = run->at;
  run->at = NULL;
  guard->count--;
}

quarantine_verdict_t
crash_guard_start (crash_guard_t *guard, guarded_run_t *run,
                   const request_t *request)
{
  const call_t *call = &request->call;

  run->request = request;
  run->crash_counted = false;
  run->fingerprint = quarantine_fingerprint (
      call->account, call->route, request->body, request->body_size);
  quarantine_request_t question = quarantine_request_of (run);
  pthread_mutex_lock (&guard->lock);
  quarantine_verdict_t verdict
      = quarantine_part_start (guard->part, &question, guard->count);
  if (verdict == QUARANTINE_RUN)
    list_add (guard, run);
  pthread_mutex_unlock (&guard->lock);
  return verdict;
}

/* Reports all that runs, RUN included, as lost with the backend server.  */
static void
report_crash (crash_guard_t *guard)
{
  quarantine_request_t *lost = calloc (guard->count, sizeof *lost);
  size_t count = 0;

  for (guarded_run_t *at = guard->running; at != NULL; at = at->next)
    if (!at->crash_counted)
      {
        lost[count++] = quarantine_request_of (at);
        at->crash_counted = true;
      }
  quarantine_part_crashed (guard->part, lost, count);
  free (lost);
}

bool
crash_guard_ended (crash_guard_t *guard, guarded_run_t *run, bool cut)
{
  pthread_mutex_lock (&guard->lock);
  bool crash = cut && !run->crash_counted;
  if (crash)
    report_crash (guard);
  else if (!run->crash_counted)
    quarantine_part_ended (guard->part, run->fingerprint);
  list_remove (guard, run);
  pthread_mutex_unlock (&guard->lock);
  return crash;
}
