#include "exec.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "crash_guard.h"
#include "daemon.h"
#include "log.h"
#include "run.h"

enum
{
  TICK_MIN_US = 1000,
  TICK_MAX_US = 20000,
  ALONE_RETRY_US = 5000 /* between looks whether a suspect may run alone */
};

/* One request that an executor has, and the way back.  */
typedef struct run_t
{
  executor_request_t offer;
  guarded_run_t guarded;
  exec_t *exec;
  request_t *request; /* referenced */
  exec_check_t check;
  exec_done_t done;
  void *ctx;
  reason_t refusal;
  struct run_t *next; /* in a list of decided ones */
} run_t;

struct exec_t
{
  daemon_t *daemon;
  quarantine_part_t *quarantine;
  crash_guard_t *guard;
  pthread_mutex_t lock; /* guards all below */
  executor_t *executor;
  /* Decided while the lock was held; acted on after it is let go.  */
  run_t *started;
  run_t *refused;
  bool stopping;
};

static void
note_started (void *ctx, executor_request_t *offer)
{
  exec_t *exec = ctx;
  run_t *run = offer->handle;

  run->next = exec->started;
  exec->started = run;
}

static void
note_refused (void *ctx, executor_request_t *offer,
              const executor_refusal_t *refusal)
{
  exec_t *exec = ctx;
  run_t *run = offer->handle;

  run->refusal = refusal->reason;
  run->next = exec->refused;
  exec->refused = run;
}

static void
finish (run_t *run, answer_t answer)
{
  run->done (run->ctx, run->request, answer);
  request_unref (run->request);
  free (run);
}

static run_result_t
result_of (const answer_t *answer)
{
  switch (answer->reason)
    {
    case REASON_NONE:
      return answer->status < 500 ? RUN_OK : RUN_FAILED;
    case REASON_BACKEND_SHED:
      return RUN_SHED;
    case REASON_NO_BACKEND:
    case REASON_BACKEND_CUT:
      return RUN_CONNECTION_LOST;
    case REASON_BACKEND_SILENT:
      return RUN_FAILED;
    default:
      return RUN_CANCELLED;
    }
}

static void run_job (void *ctx);

/* Lets the lock go and acts on what was decided under it.  */
static void
unlock_and_act (exec_t *exec)
{
  run_t *started = exec->started;
  run_t *refused = exec->refused;

  exec->started = NULL;
  exec->refused = NULL;
  pthread_mutex_unlock (&exec->lock);
  while (refused != NULL)
    {
      run_t *next = refused->next;
      finish (refused, answer_refusal (refused->refusal));
      refused = next;
    }
  while (started != NULL)
    {
      run_t *next = started->next;
      if (!pool_submit (exec->daemon->run_pool, run_job, started))
        run_job (started);
      started = next;
    }
}

/* Sends the request to the backend server and tells what it crashed.  */
static answer_t
run_guarded (run_t *run)
{
  exec_t *exec = run->exec;
  answer_t answer = run_exchange (exec->daemon, run->request,
                                  daemon_backend (exec->daemon).addr);

  if (crash_guard_ended (exec->guard, &run->guarded,
                         answer.reason == REASON_BACKEND_CUT))
    {
      log_write (LOG_PART_QUEUE, LOG_LEVEL_WARN,
                 "The backend server was lost; it counts as cold.");
      exec_restarted (exec);
      daemon_backend_lost (exec->daemon);
    }
  else if (answer.reason == REASON_NO_BACKEND)
    daemon_backend_lost (exec->daemon);
  return answer;
}

/* Runs the request unless it has ended or must not run.  The guard has let
   it start.  */
static answer_t
run_checked (run_t *run)
{
  crash_guard_t *guard = run->exec->guard;
  reason_t reason = REASON_NONE;

  if (!request_mark_sent (run->request))
    {
      crash_guard_ended (guard, &run->guarded, false);
      return answer_refusal (REASON_DEADLINE_IN_QUEUE);
    }
  if (run->check != NULL && !run->check (run->ctx, &reason))
    {
      crash_guard_ended (guard, &run->guarded, false);
      request_mark_unsent (run->request);
      return answer_refusal (reason);
    }
  answer_t answer = run_guarded (run);
  if (reason_outcome (answer.reason) == OUTCOME_REFUSED_NOT_RUN)
    request_mark_unsent (run->request);
  return answer;
}

static void
resubmit (void *ctx, int64_t now_us)
{
  run_t *run = ctx;
  (void)now_us;

  if (!pool_submit (run->exec->daemon->run_pool, run_job, run))
    run_job (run);
}

/* False when the run has to wait: it keeps its slot and is taken up again. */
static bool
run_or_wait (run_t *run, answer_t *answer)
{
  exec_t *exec = run->exec;

  switch (crash_guard_start (exec->guard, &run->guarded, run->request))
    {
    case QUARANTINE_REFUSE:
      *answer = answer_refusal (REASON_QUARANTINED);
      return true;
    case QUARANTINE_WAIT:
      if (request_has_ended (run->request))
        {
          *answer = answer_refusal (REASON_DEADLINE_IN_QUEUE);
          return true;
        }
      timer_add (exec->daemon->timers,
                 daemon_now_us (exec->daemon) + ALONE_RETRY_US, resubmit, run);
      return false;
    case QUARANTINE_RUN:
      break;
    }
  *answer = run_checked (run);
  return true;
}

static void
run_job (void *ctx)
{
  run_t *run = ctx;
  exec_t *exec = run->exec;
  int64_t began_us = daemon_now_us (exec->daemon);
  answer_t answer;

  if (!run_or_wait (run, &answer))
    return;
  int64_t now_us = daemon_now_us (exec->daemon);
  int64_t own_us
      = now_us - began_us - request_children_us (run->request, now_us);

  pthread_mutex_lock (&exec->lock);
  executor_finished (exec->executor, &run->offer, result_of (&answer),
                     own_us > 0 ? own_us : 0, now_us);
  unlock_and_act (exec);
  finish (run, answer);
}

static void
tick (void *ctx, int64_t now_us)
{
  exec_t *exec = ctx;

  pthread_mutex_lock (&exec->lock);
  int64_t next_us = executor_tick (exec->executor, now_us);
  bool stopping = exec->stopping;
  unlock_and_act (exec);
  if (stopping)
    return;
  int64_t wait_us = next_us - now_us;
  if (wait_us < TICK_MIN_US)
    wait_us = TICK_MIN_US;
  if (wait_us > TICK_MAX_US)
    wait_us = TICK_MAX_US;
  timer_add (exec->daemon->timers, now_us + wait_us, tick, exec);
}

exec_t *
exec_new (daemon_t *daemon)
{
  exec_t *exec = calloc (1, sizeof *exec);
  executor_options_t options = { 0 };
  executor_actions_t actions = { note_started, note_refused, exec };
  int64_t now_us = daemon_now_us (daemon);

  exec->daemon = daemon;
  pthread_mutex_init (&exec->lock, NULL);
  exec->quarantine = quarantine_part_new (endpoint_link (daemon->endpoint),
                                          daemon->clock, daemon->vm);
  control_add (daemon->control, quarantine_part_part (exec->quarantine));
  exec->guard = crash_guard_new (exec->quarantine);
  exec->executor = executor_new (&options, &actions, now_us);
  timer_add (daemon->timers, now_us, tick, exec);
  return exec;
}

void
exec_stop (exec_t *exec)
{
  pthread_mutex_lock (&exec->lock);
  exec->stopping = true;
  pthread_mutex_unlock (&exec->lock);
}

void
exec_free (exec_t *exec)
{
  executor_free (exec->executor);
  crash_guard_free (exec->guard);
  quarantine_part_free (exec->quarantine);
  pthread_mutex_destroy (&exec->lock);
  free (exec);
}

void
exec_announce (exec_t *exec, const executor_figures_t *figures)
{
  pthread_mutex_lock (&exec->lock);
  executor_announce (exec->executor, figures, daemon_now_us (exec->daemon));
  unlock_and_act (exec);
}

void
exec_restarted (exec_t *exec)
{
  pthread_mutex_lock (&exec->lock);
  executor_restarted (exec->executor, daemon_now_us (exec->daemon));
  unlock_and_act (exec);
}

static void
fill_offer (run_t *run)
{
  const call_t *call = &run->request->call;

  run->offer.account
      = (uint32_t)XXH3_64bits (call->account, strlen (call->account));
  run->offer.weight = call->weight > 0 ? call->weight : 1;
  run->offer.priority = (uint8_t)call->priority;
  run->offer.rank = (uint8_t)call->rank;
  run->offer.has_upstream_work = call->depth > 0;
  run->offer.deadline_us = run->request->deadline_us;
  run->offer.handle = run;
}

void
exec_submit (exec_t *exec, request_t *request, exec_check_t check,
             exec_done_t done, void *ctx)
{
  backend_t backend = daemon_backend (exec->daemon);
  run_t *run = calloc (1, sizeof *run);

  run->exec = exec;
  run->request = request_ref (request);
  run->check = check;
  run->done = done;
  run->ctx = ctx;
  if (!daemon_backend_serves (&backend)
      || strcmp (backend.service, request->call.service) != 0)
    {
      finish (run, answer_refusal (REASON_NO_BACKEND));
      return;
    }
  fill_offer (run);
  pthread_mutex_lock (&exec->lock);
  executor_offer (exec->executor, &run->offer, daemon_now_us (exec->daemon));
  unlock_and_act (exec);
}

executor_status_t
exec_status (exec_t *exec)
{
  pthread_mutex_lock (&exec->lock);
  executor_status_t status
      = executor_explain (exec->executor, daemon_now_us (exec->daemon));
  pthread_mutex_unlock (&exec->lock);
  return status;
}

json_t *
exec_status_json (exec_t *exec)
{
  executor_status_t status = exec_status (exec);
  json_t *refused = json_object ();

  for (int i = 0; i < LIMITER_COUNT; i++)
    if (status.refused[i] > 0)
      json_object_set_new (refused, limiter_name ((limiter_t)i),
                           json_integer ((json_int_t)status.refused[i]));
  return json_pack (
      "{s:i, s:i, s:i, s:i, s:s, s:b, s:i, s:I, s:I, s:o}", "in_flight",
      (int)status.in_flight, "queued", (int)status.queued, "window",
      (int)status.window, "slots", (int)status.slots, "limited_by",
      limiter_name (status.limiter), "cold", (int)status.cold, "level",
      (int)status.level, "latency_us", (json_int_t)status.latency_us,
      "started", (json_int_t)status.started, "refused_by", refused);
}

quarantine_part_t *
exec_quarantine (exec_t *exec)
{
  return exec->quarantine;
}
