#include "attempt.h"

#include <stdlib.h>

#include "exec.h"
#include "forward.h"

enum
{
  SENDINGS_MAX = 8,
  PROBE_FIRST_MS = 300,  /* most answers have come by then */
  RETRY_NEEDED_US = 1000 /* least time that a try is worth */
};

/* All sendings of one request by this daemon.  A sending that is taken for
   lost is abandoned: its outcome is unknown, another may follow, and its
   answer still counts if it comes before the end.  */
typedef struct attempts_t
{
  shared_uint_t references; /* one for each sending that stands */
  daemon_t *daemon;
  request_t *request; /* referenced */
  vm_id_t tried[SENDINGS_MAX];
  size_t tried_count;
} attempts_t;

typedef struct sending_t
{
  shared_uint_t references; /* the worker and the probe's watch */
  attempts_t *attempts;
  directory_entry_t target;
  int64_t sent_us;
  /* Whoever sets it first decides what follows this sending.  */
  shared_bool_t settled;
} sending_t;

static void sending_job (void *ctx);

static void
attempts_unref (attempts_t *attempts)
{
  if (atomic_fetch_sub (&attempts->references, 1) != 1)
    return;
  request_unref (attempts->request);
  free (attempts);
}

static void
sending_unref (sending_t *sending)
{
  if (atomic_fetch_sub (&sending->references, 1) != 1)
    return;
  attempts_unref (sending->attempts);
  free (sending);
}

void
attempt_add_report (daemon_t *daemon, request_t *request, answer_t *answer)
{
  executor_status_t status = exec_status (daemon->exec);
  unsigned level = atomic_load (&request->level);

  answer->has_report = true;
  answer->report.in_flight = status.in_flight;
  answer->report.queued = status.queued;
  answer->report.limit = status.window;
  answer->report.level = status.level < level ? status.level : level;
}

/* Why a request may be sent again after this end, or RETRY_COUNT.  */
static retry_t
retry_reason (reason_t reason)
{
  switch (reason)
    {
    case REASON_PEER_UNREACHABLE:
      return RETRY_CONNECT_FAILED;
    case REASON_BACKEND_SHED:
    case REASON_NO_BACKEND:
      return RETRY_BACKEND_SHED;
    case REASON_DRAINING:
    case REASON_CROWDED:
    case REASON_LEASE_LAPSED:
      return RETRY_PEER_REFUSED;
    case REASON_BACKEND_CUT:
    case REASON_BACKEND_SILENT:
    case REASON_HOME_LOST:
      return RETRY_IDEMPOTENT_FAILED;
    default:
      return RETRY_COUNT;
    }
}

/* True when one more sending may leave; it is then paid for.  */
static bool
pay_retry (attempts_t *attempts, retry_t retry)
{
  daemon_t *daemon = attempts->daemon;
  request_t *request = attempts->request;
  retry_failed_attempt_t failed
      = { .cause = retry,
          .idempotent = request->call.idempotent,
          .remaining_us = request->deadline_us - daemon_now_us (daemon),
          .expected_us = RETRY_NEEDED_US };

  return gate_retry (daemon->gate, request->call.service,
                     &request_payer (request)->retries, &failed)
         == RETRY_VERDICT_ALLOWED;
}

/* Submits one more sending; false when that may not be.  */
static bool
send_again (attempts_t *attempts, reason_t reason)
{
  daemon_t *daemon = attempts->daemon;
  retry_t retry = retry_reason (reason);

  if (retry == RETRY_COUNT || attempts->tried_count >= SENDINGS_MAX
      || request_has_ended (attempts->request) || !pay_retry (attempts, retry))
    return false;
  atomic_fetch_add (&attempts->references, 1);
  if (pool_submit (daemon->forward_pool, sending_job, attempts))
    {
      counters_retry (daemon->counters, retry);
      return true;
    }
  atomic_fetch_sub (&attempts->references, 1);
  return false;
}

static void
end (attempts_t *attempts, answer_t answer)
{
  request_end (attempts->request, answer, daemon_now_us (attempts->daemon));
}

/* What a sending's end says about the VM it went to.  */
static run_result_t
result_of (const answer_t *answer)
{
  switch (reason_outcome (answer->reason))
    {
    case OUTCOME_ANSWERED:
      return answer->status < 500 ? RUN_OK : RUN_FAILED;
    case OUTCOME_REFUSED_NOT_RUN:
      return answer->reason == REASON_PEER_UNREACHABLE
                     || answer->reason == REASON_NO_BACKEND
                 ? RUN_CONNECTION_LOST
                 : RUN_SHED;
    default:
      return RUN_CONNECTION_LOST;
    }
}

/* Learns from a sending that has ended.  */
static void
learn (sending_t *sending, const answer_t *answer)
{
  daemon_t *daemon = sending->attempts->daemon;
  int64_t now_us = daemon_now_us (daemon);
  choose_report_t report = { answer->report.in_flight + answer->report.queued,
                             answer->report.limit };

  directory_done (daemon->directory, sending->target.vm, result_of (answer),
                  now_us - sending->sent_us,
                  answer->has_report ? &report : NULL);
  if (answer->has_report)
    gate_heard (daemon->gate, sending->attempts->request->call.route,
                (level_value_t)answer->report.level, now_us);
}

/* Takes what came of a sending: the request's end, one more sending, or
   nothing if this one was abandoned.  Drops the worker's reference.  */
static void
settle (sending_t *sending, answer_t answer)
{
  attempts_t *attempts = sending->attempts;
  bool first = !atomic_exchange (&sending->settled, true);

  learn (sending, &answer);
  if (reason_outcome (answer.reason) == OUTCOME_UNKNOWN)
    request_mark_unknown (attempts->request);
  if (answer.reason == REASON_NONE)
    end (attempts, answer);
  else if (first && !send_again (attempts, answer.reason))
    end (attempts, answer);
  else
    answer_free (&answer);
  sending_unref (sending);
}

void
attempt_lost (void *ctx, void *lost)
{
  sending_t *sending = lost;
  attempts_t *attempts = sending->attempts;
  (void)ctx;

  if (!atomic_exchange (&sending->settled, true))
    {
      request_mark_unknown (attempts->request);
      if (!send_again (attempts, REASON_HOME_LOST))
        end (attempts, answer_refusal (REASON_HOME_LOST));
    }
  sending_unref (sending);
}

static void
run_done (void *ctx, request_t *request, answer_t answer)
{
  sending_t *sending = ctx;

  attempt_add_report (sending->attempts->daemon, request, &answer);
  settle (sending, answer);
}

static answer_t
exchange (sending_t *sending)
{
  daemon_t *daemon = sending->attempts->daemon;
  request_t *request = sending->attempts->request;
  retry_allowance_t *account = &request_payer (request)->retries;
  uint32_t lent = retry_allowance_lend (account);

  atomic_fetch_add (&sending->references, 1);
  prober_watch (daemon->prober, sending, sending->target.vm,
                request->call.request, PROBE_FIRST_MS, sending->sent_us);
  forward_options_t options
      = { .peer = sending->target.peer, .retries = lent };
  answer_t answer = forward_exchange (daemon, request, &options);
  if (prober_unwatch (daemon->prober, sending, request->call.request))
    atomic_fetch_sub (&sending->references, 1);
  if (answer.has_report)
    retry_allowance_return (account, lent, answer.report.retries_unused);
  return answer;
}

static void
forward_to (sending_t *sending)
{
  request_t *request = sending->attempts->request;
  answer_t answer = answer_refusal (REASON_DEADLINE_IN_QUEUE);

  if (request_mark_sent (request))
    answer = exchange (sending);
  if (reason_outcome (answer.reason) == OUTCOME_REFUSED_NOT_RUN)
    request_mark_unsent (request);
  settle (sending, answer);
}

static bool
choose_target (attempts_t *attempts, directory_entry_t *target)
{
  daemon_t *daemon = attempts->daemon;

  if (!directory_pick (daemon->directory, attempts->request->call.service,
                       attempts->tried, attempts->tried_count, target))
    return false;
  attempts->tried[attempts->tried_count++] = target->vm;
  return true;
}

static void
forward_job (void *ctx)
{
  forward_to (ctx);
}

/* Begins a sending to a chosen VM.  Running it here needs no worker yet;
   another daemon is waited for by one.  */
static void
begin_sending (sending_t *sending, bool on_worker)
{
  daemon_t *daemon = sending->attempts->daemon;

  if (sending->target.vm == daemon->vm)
    exec_submit (daemon->exec, sending->attempts->request, NULL, run_done,
                 sending);
  else if (on_worker)
    forward_to (sending);
  else if (!pool_submit (daemon->forward_pool, forward_job, sending))
    settle (sending, answer_refusal (REASON_CROWDED));
}

/* Chooses a VM and begins a sending there.  Holds one reference of the
   attempts, which passes to the sending.  */
static void
send_to_next (attempts_t *attempts, bool on_worker)
{
  directory_entry_t target;

  if (request_has_ended (attempts->request))
    {
      attempts_unref (attempts);
      return;
    }
  if (!choose_target (attempts, &target))
    {
      end (attempts, answer_refusal (REASON_NO_BACKEND));
      attempts_unref (attempts);
      return;
    }
  sending_t *sending = calloc (1, sizeof *sending);
  atomic_init (&sending->references, 1);
  sending->attempts = attempts;
  sending->target = target;
  sending->sent_us = daemon_now_us (attempts->daemon);
  begin_sending (sending, on_worker);
}

static void
sending_job (void *ctx)
{
  send_to_next (ctx, true);
}

void
attempt_begin (daemon_t *daemon, request_t *request)
{
  attempts_t *attempts = calloc (1, sizeof *attempts);

  atomic_init (&attempts->references, 1);
  attempts->daemon = daemon;
  attempts->request = request_ref (request);
  gate_first_try (daemon->gate, request->call.service);
  send_to_next (attempts, false);
}
