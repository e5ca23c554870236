#include "entry.h"

#include <stdlib.h>
#include <string.h>

#include "admit.h"
#include "attempt.h"
#include "once_send.h"
#include "once_serve.h"

enum
{
  SHARE_RETRY_US = 5 * US_PER_MS,
  SHARE_WAIT_MAX_US = 250 * US_PER_MS, /* for a share of the rate */
  SHARE_WAIT_PART = 4 /* at most a quarter of the time that is left */
};

static void
deadline_passed (void *ctx, int64_t now_us)
{
  request_t *request = ctx;
  request_expire (request, now_us);
  request_unref (request);
}

static void
watch_deadline (daemon_t *daemon, request_t *request)
{
  timer_add_cancellable (daemon->timers, request->deadline_us, deadline_passed,
                         request_ref (request), &request->deadline);
}

/* A child call keeps its root's rank, so that a root request is admitted at
   all hops or at none.  The rank comes from this daemon's own random identity
   of the request, which a caller cannot choose.  */
static void
take_rank (daemon_t *daemon, request_t *request)
{
  call_t *call = &request->call;

  if (request->parent != NULL)
    call->rank = request->parent->call.rank;
  else
    call->rank = gate_rank (daemon->gate, call->account, call->weight,
                            call->request, request->arrived_us);
}

/* REASON_NONE, or the refusal of what would be shed further down.  */
static answer_t
pass_gate (daemon_t *daemon, request_t *request)
{
  const call_t *call = &request->call;
  level_value_t level
      = gate_level (daemon->gate, call->route, request->arrived_us);

  if (level_admits (level, (uint8_t)call->priority, (uint8_t)call->rank))
    return answer_refusal (REASON_NONE);
  answer_t answer = answer_refusal (REASON_ADMISSION_LEVEL);
  answer.has_report = true;
  answer.report.level = level;
  return answer;
}

static answer_t
admit (daemon_t *daemon, request_t *request, const entry_headers_t *headers)
{
  char nearest[PATH_BYTES];
  answer_t answer
      = answer_refusal (admit_request (daemon, request, headers, nearest));

  memcpy (answer.nearest, nearest, sizeof nearest);
  if (answer.reason != REASON_NONE)
    return answer;
  take_rank (daemon, request);
  /* An inner hop's refusal would waste the work already done further up.  */
  return request->parent == NULL ? pass_gate (daemon, request)
                                 : answer_refusal (REASON_NONE);
}

/* A request that waits for this VM's share of its account's rate.  */
typedef struct share_wait_t
{
  daemon_t *daemon;
  request_t *request; /* referenced */
  int64_t until_us;
  bool again; /* has been charged for and is waiting */
} share_wait_t;

static void
dispatch (daemon_t *daemon, request_t *request)
{
  if (request_has_ended (request))
    return;
  if (request->call.idempotent)
    attempt_begin (daemon, request);
  else
    once_send_begin (daemon, request);
}

static void
share_checked (void *ctx, int64_t now_us)
{
  share_wait_t *wait = ctx;
  daemon_t *daemon = wait->daemon;
  request_t *request = wait->request;
  contract_part_t *contracts = peers_contracts (daemon->peers);
  const char *account = request->call.account;
  reason_t reason = REASON_NONE;

  if (!request_has_ended (request))
    reason = wait->again
                 ? contract_part_spend_again (contracts, account, now_us)
                 : contract_part_spend (contracts, account, now_us);
  if (reason == REASON_SHARE_PENDING && now_us < wait->until_us)
    {
      wait->again = true;
      timer_add (daemon->timers, now_us + SHARE_RETRY_US, share_checked, wait);
      return;
    }
  if (reason == REASON_NONE)
    dispatch (daemon, request);
  else
    request_end (request, answer_refusal (reason), now_us);
  request_unref (request);
  free (wait);
}

/* Charges a root request to its account's rate, once; child calls and
   requests without an account are charged to nobody.  */
static void
charge (daemon_t *daemon, request_t *request)
{
  int64_t now_us = daemon_now_us (daemon);
  int64_t left_us = request->deadline_us - now_us;

  if (request->parent != NULL || request->call.account[0] == '\0')
    {
      dispatch (daemon, request);
      return;
    }
  share_wait_t *wait = calloc (1, sizeof *wait);
  wait->daemon = daemon;
  wait->request = request_ref (request);
  wait->until_us = now_us
                   + (left_us / SHARE_WAIT_PART < SHARE_WAIT_MAX_US
                          ? left_us / SHARE_WAIT_PART
                          : SHARE_WAIT_MAX_US);
  share_checked (wait, now_us);
}

void
entry_submit (daemon_t *daemon, request_t *request,
              const entry_headers_t *headers)
{
  answer_t answer = admit (daemon, request, headers);

  if (answer.reason != REASON_NONE)
    {
      request_end (request, answer, daemon_now_us (daemon));
      return;
    }
  request->call.body_hash = call_body_hash (request->body, request->body_size);
  watch_deadline (daemon, request);
  charge (daemon, request);
}

static void
peer_done (void *ctx, request_t *request, answer_t answer)
{
  daemon_t *daemon = ctx;

  attempt_add_report (daemon, request, &answer);
  request_end (request, answer, daemon_now_us (daemon));
}

static void
answer_query (daemon_t *daemon, request_t *request)
{
  once_token_t token = { request->call.from, request->call.serial };
  answer_t answer = once_serve_query (daemon->once, request, token);

  request_end (request, answer, daemon_now_us (daemon));
}

static void
serve_peer (daemon_t *daemon, request_t *request)
{
  if (request->call.query)
    answer_query (daemon, request);
  else if (atomic_load (&daemon->draining))
    request_end (request, answer_refusal (REASON_DRAINING),
                 daemon_now_us (daemon));
  else if (request->call.idempotent)
    exec_submit (daemon->exec, request, NULL, peer_done, daemon);
  else
    once_serve_submit (daemon->once, request, peer_done, daemon);
}

void
entry_submit_peer (daemon_t *daemon, request_t *request)
{
  request->from_peer = true;
  prober_opened (daemon->prober, request->call.request, request->arrived_us);
  request->deadline_us
      = request->arrived_us + (int64_t)request->call.deadline_ms * US_PER_MS;
  retry_allowance_init (&request->retries, request->call.retries);
  if (!request->call.query)
    watch_deadline (daemon, request);
  serve_peer (daemon, request);
}
