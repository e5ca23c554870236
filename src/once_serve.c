#include "once_serve.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "daemon.h"

enum
{
  WAITER_BUCKETS = 512
};

/* One sending at its home, waiting for a run or running.  */
typedef struct serving_t
{
  struct serving_t *next; /* in its bucket while it waits */
  once_serve_t *serve;
  request_t *request; /* referenced */
  once_token_t token;
  once_record_t *record; /* while it runs */
  exec_done_t done;
  void *ctx;
} serving_t;

struct once_serve_t
{
  daemon_t *daemon;
  once_part_t *part;
  pthread_mutex_t lock; /* guards the buckets */
  serving_t *waiting[WAITER_BUCKETS];
};

static serving_t **
bucket_of (once_serve_t *serve, once_token_t token)
{
  return &serve->waiting[(token.entry * 31 + token.serial) % WAITER_BUCKETS];
}

static void
wait_add (once_serve_t *serve, serving_t *serving)
{
  pthread_mutex_lock (&serve->lock);
  serving_t **bucket = bucket_of (serve, serving->token);
  serving->next = *bucket;
  *bucket = serving;
  pthread_mutex_unlock (&serve->lock);
}

/* Takes a waiting sending out; NULL when it was not there.  */
static serving_t *
wait_take (once_serve_t *serve, once_token_t token)
{
  serving_t *found = NULL;

  pthread_mutex_lock (&serve->lock);
  for (serving_t **at = bucket_of (serve, token); *at != NULL;
       at = &(*at)->next)
    if (once_token_equal ((*at)->token, token))
      {
        found = *at;
        *at = found->next;
        break;
      }
  pthread_mutex_unlock (&serve->lock);
  return found;
}

static void
finish (serving_t *serving, answer_t answer)
{
  serving->done (serving->ctx, serving->request, answer);
  request_unref (serving->request);
  free (serving);
}

/* Headers are kept as name and value, each with its final NUL.  */
static once_answer_t *
record_answer (const answer_t *answer)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  for (size_t i = 0; i < answer->headers.count; i++)
    {
      const header_t *header = &answer->headers.items[i];
      fwrite (header->name, 1, strlen (header->name) + 1, out);
      fwrite (header->value, 1, strlen (header->value) + 1, out);
    }
  fclose (out);
  once_answer_t *record = once_answer_new (
      (uint32_t)answer->status, text, size, answer->body, answer->body_size);
  free (text);
  return record;
}

static answer_t
replay (const once_answer_t *record)
{
  answer_t answer = { .reason = REASON_NONE, .status = (int)record->status };
  const char *at = (const char *)record->bytes;
  const char *end = at + record->headers_size;

  while (at < end)
    {
      const char *value = at + strlen (at) + 1;
      headers_add (&answer.headers, at, value);
      at = value + strlen (value) + 1;
    }
  answer.body_size = record->body_size;
  answer.body = malloc (answer.body_size + 1);
  memcpy (answer.body, end, answer.body_size);
  return answer;
}

/* Takes the decision's reference to the recorded answer.  */
static answer_t
decided_answer (const once_decision_t *decision)
{
  if (decision->verdict != ONCE_REPLAY)
    return answer_refusal (decision->reason);
  answer_t answer = replay (decision->answer);
  once_answer_unref (decision->answer);
  return answer;
}

static void
wake (void *ctx, once_token_t token, const once_decision_t *decision)
{
  once_serve_t *serve = ctx;
  answer_t answer = decided_answer (decision);
  serving_t *serving = wait_take (serve, token);

  if (serving != NULL)
    finish (serving, answer);
  else
    answer_free (&answer);
}

once_serve_t *
once_serve_new (daemon_t *daemon)
{
  once_serve_t *serve = calloc (1, sizeof *serve);
  once_part_config_t config = { .options = once_options_default (),
                                .self = { daemon->vm, daemon->incarnation },
                                .link = endpoint_link (daemon->endpoint),
                                .clock = daemon->clock,
                                .wake = wake,
                                .wake_ctx = serve };

  serve->daemon = daemon;
  pthread_mutex_init (&serve->lock, NULL);
  serve->part = once_part_new (&config);
  return serve;
}

void
once_serve_free (once_serve_t *serve)
{
  once_part_free (serve->part);
  for (size_t i = 0; i < WAITER_BUCKETS; i++)
    while (serve->waiting[i] != NULL)
      {
        serving_t *serving = serve->waiting[i];
        serve->waiting[i] = serving->next;
        request_unref (serving->request);
        free (serving);
      }
  pthread_mutex_destroy (&serve->lock);
  free (serve);
}

once_part_t *
once_serve_part (once_serve_t *serve)
{
  return serve->part;
}

static bool
check_run (void *ctx, reason_t *reason)
{
  serving_t *serving = ctx;

  *reason = REASON_DEADLINE_IN_QUEUE;
  return once_part_may_run (serving->serve->part, serving->record);
}

static void
run_done (void *ctx, request_t *request, answer_t answer)
{
  serving_t *serving = ctx;
  once_part_t *part = serving->serve->part;
  (void)request;

  switch (reason_outcome (answer.reason))
    {
    case OUTCOME_ANSWERED:
      once_part_answered (part, serving->record, record_answer (&answer));
      break;
    case OUTCOME_REFUSED_NOT_RUN:
      once_part_not_run (part, serving->record, answer.reason);
      break;
    default:
      once_part_unknown (part, serving->record);
      break;
    }
  finish (serving, answer);
}

static once_request_t
once_request_of (const request_t *request, once_token_t token)
{
  once_request_t once = { .account = request->call.account,
                          .route = request->call.route,
                          .key = request->call.key,
                          .token = token,
                          .deadline_us = request->deadline_us };
  XXH128_hash_t hash = XXH3_128bits (request->body, request->body_size);

  _Static_assert(sizeof hash == ONCE_BODY_HASH_BYTES, "body hash");
  memcpy (once.body_hash, &hash, sizeof hash);
  return once;
}

void
once_serve_submit (once_serve_t *serve, request_t *request, exec_done_t done,
                   void *ctx)
{
  serving_t *serving = calloc (1, sizeof *serving);
  once_token_t token = { request->call.from, request->call.serial };
  once_request_t once = once_request_of (request, token);

  serving->serve = serve;
  serving->request = request_ref (request);
  serving->token = token;
  serving->done = done;
  serving->ctx = ctx;
  /* Another sending of the key may be running: from here on a timeout may not
     say "not run" unless this very sending was the one to run.  */
  request_mark_sent (request);
  wait_add (serve, serving);
  once_decision_t decision = once_part_begin (serve->part, &once);
  if (decision.verdict == ONCE_JOIN)
    {
      counters_retry (serve->daemon->counters, RETRY_CALLER_RESENT);
      return;
    }
  wait_take (serve, token);
  if (decision.verdict == ONCE_RUN)
    {
      serving->record = decision.record;
      request_mark_unsent (request);
      exec_submit (serve->daemon->exec, request, check_run, run_done, serving);
      return;
    }
  if (decision.verdict == ONCE_REPLAY)
    counters_retry (serve->daemon->counters, RETRY_CALLER_RESENT);
  finish (serving, decided_answer (&decision));
}

answer_t
once_serve_query (once_serve_t *serve, const request_t *request,
                  once_token_t token)
{
  once_request_t once = once_request_of (request, token);
  once_decision_t decision = once_part_query (serve->part, &once);

  if (decision.verdict == ONCE_JOIN)
    return answer_refusal (REASON_HOME_LOST);
  return decided_answer (&decision);
}
