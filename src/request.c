#include "request.h"

#include <stdlib.h>
#include <string.h>

#include "invariant.h"

answer_t
answer_refusal (reason_t reason)
{
  answer_t answer = { .reason = reason, .status = reason_status (reason) };
  return answer;
}

void
answer_free (answer_t *answer)
{
  free (answer->body);
  answer->body = NULL;
  headers_free (&answer->headers);
}

answer_t
answer_copy (const answer_t *answer)
{
  answer_t copy = *answer;

  copy.body = malloc (answer->body_size + 1);
  if (answer->body_size > 0)
    memcpy (copy.body, answer->body, answer->body_size);
  copy.headers.count = 0;
  for (size_t i = 0; i < answer->headers.count; i++)
    headers_add (&copy.headers, answer->headers.items[i].name,
                 answer->headers.items[i].value);
  return copy;
}

request_t *
request_new (request_ended_t on_end, void *on_end_ctx)
{
  request_t *request = calloc (1, sizeof *request);
  atomic_init (&request->references, 1);
  atomic_init (&request->state, REQUEST_WAITING);
  atomic_init (&request->level, LEVEL_ADMIT_ALL);
  pthread_mutex_init (&request->children_lock, NULL);
  request->on_end = on_end;
  request->on_end_ctx = on_end_ctx;
  return request;
}

request_t *
request_ref (request_t *request)
{
  atomic_fetch_add (&request->references, 1);
  return request;
}

void
request_unref (request_t *request)
{
  if (atomic_fetch_sub (&request->references, 1) != 1)
    return;
  if (request->parent != NULL)
    request_unref (request->parent);
  headers_free (&request->headers);
  answer_free (&request->answer);
  pthread_mutex_destroy (&request->children_lock);
  free (request->body);
  free (request);
}

static bool
move (request_t *request, request_state_t from, request_state_t to)
{
  int expected = from;
  return atomic_compare_exchange_strong (&request->state, &expected, to);
}

bool
request_mark_sent (request_t *request)
{
  return move (request, REQUEST_WAITING, REQUEST_SENT)
         || atomic_load (&request->state) == REQUEST_SENT;
}

void
request_mark_unsent (request_t *request)
{
  if (!atomic_load (&request->may_have_run))
    move (request, REQUEST_SENT, REQUEST_WAITING);
}

void
request_mark_unknown (request_t *request)
{
  atomic_store (&request->may_have_run, true);
}

static bool
is_not_run (reason_t reason)
{
  return reason_outcome (reason) == OUTCOME_REFUSED_NOT_RUN;
}

/* A refusal of the last sending does not speak for an earlier one that may
   have run; only a tombstone does.  */
static answer_t
truthful (const request_t *request, answer_t answer)
{
  if (!atomic_load (&request->may_have_run) || !is_not_run (answer.reason)
      || answer.reason == REASON_TOMBSTONE)
    return answer;
  answer_free (&answer);
  return answer_refusal (REASON_HOME_LOST);
}

/* Runs after the state became ENDED, so on one thread only.  */
static void
finish (request_t *request, answer_t answer, int64_t now_us)
{
  INVARIANT (!atomic_load (&request->may_have_run)
                 || !is_not_run (answer.reason)
                 || answer.reason == REASON_TOMBSTONE,
             "request %s refused as not run after an unknown outcome",
             request->call.request);
  request->answer = answer;
  request->ended_us = now_us;
  request->on_end (request->on_end_ctx, request);
}

bool
request_end (request_t *request, answer_t answer, int64_t now_us)
{
  int was = atomic_exchange (&request->state, REQUEST_ENDED);
  INVARIANT (answer.reason < REASON_COUNT, "reason %d is not in the set",
             (int)answer.reason);
  if (was == REQUEST_ENDED)
    {
      answer_free (&answer);
      return false;
    }
  finish (request, truthful (request, answer), now_us);
  return true;
}

bool
request_expire (request_t *request, int64_t now_us)
{
  if (move (request, REQUEST_WAITING, REQUEST_ENDED))
    {
      finish (request, answer_refusal (REASON_DEADLINE_IN_QUEUE), now_us);
      return true;
    }
  if (move (request, REQUEST_SENT, REQUEST_ENDED))
    {
      finish (request, answer_refusal (REASON_DEADLINE_PASSED), now_us);
      return true;
    }
  return false;
}

bool
request_abandon (request_t *request, int64_t now_us)
{
  reason_t reason = REASON_CALLER_GONE;

  if (!move (request, REQUEST_WAITING, REQUEST_ENDED))
    {
      if (!request->call.idempotent
          || !move (request, REQUEST_SENT, REQUEST_ENDED))
        return false;
      reason = REASON_CANCELLED;
    }
  finish (request, answer_refusal (reason), now_us);
  return true;
}

request_t *
request_payer (request_t *request)
{
  while (request->parent != NULL)
    request = request->parent;
  return request;
}

void
request_child_began (request_t *request, int64_t now_us)
{
  pthread_mutex_lock (&request->children_lock);
  if (request->children_open++ == 0)
    request->children_since_us = now_us;
  pthread_mutex_unlock (&request->children_lock);
}

static void
lower_level (request_t *request, unsigned level)
{
  unsigned now = atomic_load (&request->level);
  while (level < now
         && !atomic_compare_exchange_weak (&request->level, &now, level))
    ;
}

void
request_child_ended (request_t *request, uint32_t level, int64_t now_us)
{
  lower_level (request, level);
  pthread_mutex_lock (&request->children_lock);
  if (--request->children_open == 0)
    request->children_total_us += now_us - request->children_since_us;
  pthread_mutex_unlock (&request->children_lock);
}

int64_t
request_children_us (request_t *request, int64_t now_us)
{
  pthread_mutex_lock (&request->children_lock);
  int64_t total_us = request->children_total_us;
  if (request->children_open > 0)
    total_us += now_us - request->children_since_us;
  pthread_mutex_unlock (&request->children_lock);
  return total_us;
}

bool
request_has_ended (const request_t *request)
{
  return atomic_load (&request->state) == REQUEST_ENDED;
}

uint32_t
request_left_ms (const request_t *request, int64_t now_us)
{
  int64_t left_us = request->deadline_us - now_us;
  return left_us > 0 ? (uint32_t)(left_us / US_PER_MS) : 0;
}
