#include "once_send.h"

#include <stdlib.h>

#include "attempt.h"
#include "forward.h"
#include "home.h"
#include "once_entry.h"
#include "once_serve.h"

enum
{
  /* While homes change, word of it is held back for this part of the time
     left, so that few retries bridge the change.  */
  HOME_CHANGE_PART = 4,
  LAST_RETRY_PART = 2,
  HOME_CHANGE_MAX_US = 1500 * US_PER_MS,
  HOMES_MAX = ONCE_MEMBERS_MAX
};

typedef struct once_send_t
{
  shared_uint_t references;
  daemon_t *daemon;
  request_t *request;   /* referenced */
  pthread_mutex_t lock; /* guards all below; taken before the parts' locks */
  once_entry_t entry;
  uint32_t lent;    /* retries taken from the request's payer */
  uint64_t serial;  /* of the latest sending */
  int64_t armed_us; /* when the timer fires; 0: it is not armed */
  bool ended;
} once_send_t;

/* One job for a worker.  */
typedef struct once_job_t
{
  once_send_t *send; /* referenced */
  uint64_t serial;
} once_job_t;

static void perform (once_send_t *send, once_entry_step_t step,
                     answer_t *answer);

static once_send_t *
send_ref (once_send_t *send)
{
  atomic_fetch_add (&send->references, 1);
  return send;
}

static void
send_unref (once_send_t *send)
{
  if (atomic_fetch_sub (&send->references, 1) != 1)
    return;
  request_unref (send->request);
  pthread_mutex_destroy (&send->lock);
  free (send);
}

static bool
find_home (daemon_t *daemon, const request_t *request, directory_entry_t *home)
{
  vm_id_t vms[HOMES_MAX];
  size_t count = directory_list (daemon->directory, request->call.service, vms,
                                 HOMES_MAX);
  uint64_t hash = home_key_hash (request->call.account, request->call.route,
                                 request->call.key);
  vm_id_t vm = home_pick (hash, vms, count);

  return vm != 0 && directory_find (daemon->directory, vm, home);
}

/* Takes the word of the home, or the lack of one, on sending SERIAL.  */
static void
take_word (once_send_t *send, uint64_t serial, answer_t answer)
{
  int64_t now_us = daemon_now_us (send->daemon);
  once_entry_step_t step = { ONCE_ENTRY_WAIT, REASON_NONE, 0 };

  pthread_mutex_lock (&send->lock);
  bool stale = send->ended
               || (serial != send->serial && answer.reason != REASON_NONE);
  if (stale)
    ;
  else if (answer.reason == REASON_NONE)
    step = once_entry_answered (&send->entry);
  else if (answer.reason == REASON_PEER_UNREACHABLE)
    step = once_entry_unsent (&send->entry, now_us);
  else if (answer.has_report)
    step = once_entry_refused (&send->entry, answer.reason, now_us);
  else
    step = once_entry_cut (&send->entry, now_us);
  pthread_mutex_unlock (&send->lock);
  if (!stale)
    perform (send, step, &answer);
  answer_free (&answer);
}

/* Word that homes change, held back for a while.  */
typedef struct held_word_t
{
  once_send_t *send; /* referenced */
  uint64_t serial;
  answer_t answer;
} held_word_t;

static void
release_word (void *ctx, int64_t now_us)
{
  held_word_t *held = ctx;
  (void)now_us;

  take_word (held->send, held->serial, held->answer);
  send_unref (held->send);
  free (held);
}

/* How long word that homes change is held back.  The last retry has to bridge
   the change alone, so it waits longer.  */
static int64_t
hold_time_us (once_send_t *send, int64_t now_us)
{
  pthread_mutex_lock (&send->lock);
  bool last = send->entry.retries_left <= 1;
  pthread_mutex_unlock (&send->lock);
  int64_t left_us = send->request->deadline_us - now_us;
  int64_t hold_us = left_us / (last ? LAST_RETRY_PART : HOME_CHANGE_PART);
  return hold_us < HOME_CHANGE_MAX_US ? hold_us : HOME_CHANGE_MAX_US;
}

static void
hold_word (once_send_t *send, uint64_t serial, answer_t answer)
{
  held_word_t *held = calloc (1, sizeof *held);
  int64_t now_us = daemon_now_us (send->daemon);

  held->send = send_ref (send);
  held->serial = serial;
  held->answer = answer;
  timer_add (send->daemon->timers, now_us + hold_time_us (send, now_us),
             release_word, held);
}

/* Refusals that say that homes change, or soon will.  */
static bool
is_between_homes (reason_t reason)
{
  switch (reason)
    {
    case REASON_LEASE_LAPSED:
    case REASON_DRAINING:
    case REASON_NO_BACKEND:
    case REASON_PEER_UNREACHABLE:
      return true;
    default:
      return false;
    }
}

static void
take_result (once_send_t *send, uint64_t serial, answer_t answer)
{
  if (reason_outcome (answer.reason) == OUTCOME_REFUSED_NOT_RUN)
    request_mark_unsent (send->request);
  if (is_between_homes (answer.reason))
    hold_word (send, serial, answer);
  else
    take_word (send, serial, answer);
}

static void
served_here (void *ctx, request_t *request, answer_t answer)
{
  once_job_t *job = ctx;

  attempt_add_report (job->send->daemon, request, &answer);
  take_result (job->send, job->serial, answer);
  send_unref (job->send);
  free (job);
}

static run_result_t
result_of (const answer_t *answer)
{
  if (answer->reason == REASON_NONE)
    return answer->status < 500 ? RUN_OK : RUN_FAILED;
  return answer->has_report ? RUN_SHED : RUN_CONNECTION_LOST;
}

static answer_t
exchange (once_send_t *send, const directory_entry_t *home, uint64_t serial,
          bool query)
{
  daemon_t *daemon = send->daemon;
  int64_t began_us = daemon_now_us (daemon);
  forward_options_t options
      = { .peer = home->peer, .serial = serial, .query = query };
  directory_sent (daemon->directory, home->vm);
  answer_t answer = forward_exchange (daemon, send->request, &options);
  int64_t now_us = daemon_now_us (daemon);
  directory_done (daemon->directory, home->vm, result_of (&answer),
                  now_us - began_us, NULL);
  if (answer.has_report)
    gate_heard (daemon->gate, send->request->call.route,
                (level_value_t)answer.report.level, now_us);
  return answer;
}

static void
serve_here (once_job_t *job)
{
  once_send_t *send = job->send;

  /* Only one sending is open at a time, so the call is this one's.  */
  send->request->call.from = send->daemon->vm;
  send->request->call.serial = job->serial;
  once_serve_submit (send->daemon->once, send->request, served_here, job);
}

static void
send_job (void *ctx)
{
  once_job_t *job = ctx;
  once_send_t *send = job->send;
  directory_entry_t home;
  answer_t answer = answer_refusal (REASON_PEER_UNREACHABLE);

  if (!request_has_ended (send->request)
      && find_home (send->daemon, send->request, &home))
    {
      if (home.vm == send->daemon->vm)
        {
          serve_here (job);
          return;
        }
      if (request_mark_sent (send->request))
        answer = exchange (send, &home, job->serial, false);
    }
  take_result (send, job->serial, answer);
  send_unref (send);
  free (job);
}

static answer_t
ask_home (once_send_t *send, uint64_t serial)
{
  directory_entry_t home;

  if (!find_home (send->daemon, send->request, &home))
    return answer_refusal (REASON_HOME_LOST);
  if (home.vm != send->daemon->vm)
    return exchange (send, &home, serial, true);
  once_token_t token = { send->daemon->vm, serial };
  answer_t answer
      = once_serve_query (send->daemon->once, send->request, token);
  answer.has_report = true;
  return answer;
}

/* Only the home's record speaks for a sending; a question that was refused
   on its way does not.  */
static bool
speaks_for_sending (const answer_t *answer)
{
  return answer->reason == REASON_NONE || answer->reason == REASON_TOMBSTONE
         || answer->reason == REASON_KEY_REUSED
         || (answer->has_report
             && reason_outcome (answer->reason) == OUTCOME_UNKNOWN);
}

static void
query_job (void *ctx)
{
  once_job_t *job = ctx;
  answer_t answer = ask_home (job->send, job->serial);

  if (!speaks_for_sending (&answer))
    answer.reason = REASON_HOME_LOST;
  answer.has_report = true;
  take_result (job->send, job->serial, answer);
  send_unref (job->send);
  free (job);
}

static void
submit_job (once_send_t *send, pool_job_t run)
{
  once_job_t *job = calloc (1, sizeof *job);

  job->send = send_ref (send);
  pthread_mutex_lock (&send->lock);
  job->serial = send->serial;
  pthread_mutex_unlock (&send->lock);
  if (pool_submit (send->daemon->forward_pool, run, job))
    return;
  /* A sending that could not start is "not sent"; a question waits for the
     next timer.  */
  if (run == send_job)
    take_result (send, job->serial, answer_refusal (REASON_PEER_UNREACHABLE));
  /* The caller holds a reference of its own.  */
  atomic_fetch_sub (&send->references, 1);
  free (job);
}

static void
timer_fired (void *ctx, int64_t now_us)
{
  once_send_t *send = ctx;
  once_entry_step_t step = { ONCE_ENTRY_WAIT, REASON_NONE, 0 };

  pthread_mutex_lock (&send->lock);
  send->armed_us = 0;
  bool ended = send->ended || request_has_ended (send->request);
  if (!ended)
    step = once_entry_timer (&send->entry, now_us);
  pthread_mutex_unlock (&send->lock);
  if (!ended)
    perform (send, step, NULL);
  send_unref (send);
}

static void
arm (once_send_t *send, int64_t due_us)
{
  pthread_mutex_lock (&send->lock);
  bool needed = send->armed_us == 0 || due_us < send->armed_us;
  if (needed)
    send->armed_us = due_us;
  pthread_mutex_unlock (&send->lock);
  if (needed)
    timer_add (send->daemon->timers, due_us, timer_fired, send_ref (send));
}

static void
start_sending (once_send_t *send)
{
  pthread_mutex_lock (&send->lock);
  if (send->serial != 0)
    counters_retry (send->daemon->counters, RETRY_TOMBSTONED);
  send->serial = send->daemon->rng.next (send->daemon->rng.ctx) | 1;
  pthread_mutex_unlock (&send->lock);
  submit_job (send, send_job);
}

/* Gives back what retries are left and ends the request.  Takes ANSWER's
   content over when it is the whole answer.  */
static void
say (once_send_t *send, reason_t reason, answer_t *answer)
{
  answer_t last = answer_refusal (reason);

  pthread_mutex_lock (&send->lock);
  send->ended = true;
  uint32_t unused = send->entry.retries_left;
  pthread_mutex_unlock (&send->lock);
  retry_allowance_return (&request_payer (send->request)->retries, send->lent,
                          unused);
  if (answer != NULL)
    {
      last.has_report = answer->has_report;
      last.report = answer->report;
    }
  if (reason == REASON_NONE && answer != NULL)
    {
      last = *answer;
      answer->body = NULL;
      answer->headers.count = 0;
    }
  request_end (send->request, last, daemon_now_us (send->daemon));
}

static void
perform (once_send_t *send, once_entry_step_t step, answer_t *answer)
{
  switch (step.act)
    {
    case ONCE_ENTRY_SEND:
      start_sending (send);
      break;
    case ONCE_ENTRY_QUERY:
      submit_job (send, query_job);
      break;
    case ONCE_ENTRY_WAIT:
      break;
    case ONCE_ENTRY_SAY:
      say (send, step.reason, answer);
      return;
    }
  arm (send, step.timer_us);
}

void
once_send_begin (daemon_t *daemon, request_t *request)
{
  once_send_t *send = calloc (1, sizeof *send);

  atomic_init (&send->references, 1);
  send->daemon = daemon;
  send->request = request_ref (request);
  pthread_mutex_init (&send->lock, NULL);
  send->lent = retry_allowance_lend (&request_payer (request)->retries);
  once_entry_step_t step = once_entry_start (
      &send->entry, daemon_now_us (daemon), request->deadline_us, send->lent);
  perform (send, step, NULL);
  send_unref (send);
}
