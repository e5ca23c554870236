#include "edge/entry_impl.h"

#include <stdio.h>
#include <stdlib.h>

#include "mesh/admission.h"

enum
{
  TEXT_BYTES = 256
};

static const char *const end_names[ENTRY_END_COUNT] = {
#define ENTRY_END_NAME(id, name) [ENTRY_##id] = (name),
  ENTRY_END_TABLE (ENTRY_END_NAME)
#undef ENTRY_END_NAME
};

static const char *const overdue_hold_names[OVERDUE_HOLD_COUNT] = {
#define OVERDUE_HOLD_NAME(id, name) [OVERDUE_HOLD_##id] = (name),
  OVERDUE_HOLD_TABLE (OVERDUE_HOLD_NAME)
#undef OVERDUE_HOLD_NAME
};

/* Values of the key "step" in the log.  */
static const char *const step_names[] = {
  [STEP_PLACING] = "placing",     [STEP_SENT] = "sent",
  [STEP_QUERYING] = "asking",     [STEP_BUFFERING] = "gathering",
  [STEP_STREAMING] = "answering",
};

const char *
entry_end_name (entry_end_t end)
{
  return end_names[end];
}

const char *
overdue_hold_name (overdue_hold_t hold)
{
  return overdue_hold_names[hold];
}

static void
count_latency (entry_point_t *entry, int64_t latency_us)
{
  uint32_t bucket = 0;
  while (latency_us > 1 && bucket < ENTRY_LATENCY_BUCKETS - 1)
    {
      latency_us >>= 1;
      bucket++;
    }
  entry->stats.latency_buckets[bucket]++;
}

void
exchange_free (exchange_t *exchange)
{
  entry_point_t *entry = exchange->entry;
  ev_timer_stop (entry->deps.loop->ev, &exchange->timer);
  if (exchange->http != NULL)
    exchange->http->user_data = NULL;
  if (exchange->prev_open != NULL)
    exchange->prev_open->next_open = exchange->next_open;
  else
    entry->open_exchanges = exchange->next_open;
  if (exchange->next_open != NULL)
    exchange->next_open->prev_open = exchange->prev_open;
  bytes_free (&exchange->request_fields);
  bytes_free (&exchange->reply_fields);
  bytes_free (&exchange->reply_body);
  entry->stats.open_requests--;
  free (exchange);
}

void
exchange_count_end (exchange_t *exchange, entry_end_t end)
{
  entry_point_t *entry = exchange->entry;
  const loop_t *loop = entry->deps.loop;
  entry->stats.ends[end]++;
  if (end == ENTRY_ANSWERED)
    {
      count_latency (entry, loop->now_us - exchange->http->first_byte_us);
      return;
    }
  event_log_write (
      entry->deps.log, EVENT_REQUEST, "request-end",
      "id=%s end=%s service=%s account=%s priority=%u call=%d "
      "cause=%s vm=%llx places=%u age-ms=%lld left-ms=%lld "
      "config=%llu route=%s pressed=%s pressure=%.3f "
      "cost=%.2f step=%s unseen-ms=%lld caller-end=%s overdue-hold=%s "
      "responses-behind=%u",
      exchange->attempt_id, end_names[end], exchange->service,
      exchange->account, exchange->priority, exchange->from_backend,
      exchange->cause < CAUSE_COUNT ? cause_name (exchange->cause) : "none",
      (unsigned long long)exchange->vm, exchange->tried_count,
      (long long)((loop->now_us - exchange->http->first_byte_us) / US_PER_MS),
      (long long)((exchange->deadline_us - loop->now_us) / US_PER_MS),
      (unsigned long long)(entry->policy != NULL ? entry->policy->version : 0),
      exchange->route,
      exchange->bottleneck[0] != '\0' ? exchange->bottleneck : "none",
      exchange->pressure, exchange->relative_cost, step_names[exchange->step],
      (long long)(exchange->http->unseen_us / US_PER_MS),
      http_caller_end_name (exchange->http->caller_end),
      overdue_hold_names[exchange->overdue_hold],
      http_responses_behind (exchange->http));
}

double
entry_random (const entry_point_t *entry)
{
  return rng_unit (entry->deps.rng);
}

void
exchange_respond_error (exchange_t *exchange, entry_end_t end, int status)
{
  entry_point_t *entry = exchange->entry;
  char headers[TEXT_BYTES];
  char body[TEXT_BYTES];
  int headers_size = 0;

  exchange_count_end (exchange, end);
  if (status == 429 || status == 503)
    {
      int64_t left_us = exchange->deadline_us - entry->deps.loop->now_us;
      uint32_t retry_ms = admission_retry_after_ms (
          left_us, exchange->target_latency_us, entry_random (entry));
      headers_size
          = snprintf (headers, sizeof headers, "Retry-After: %u.%03u\r\n",
                      retry_ms / MS_PER_S, retry_ms % MS_PER_S);
    }
  int body_size = snprintf (body, sizeof body, "%s\n", end_names[end]);
  if (exchange->quota_taken && status != 502 && status != 504)
    quota_refund (entry->deps.quota, exchange->account);
  http_exchange_t *http = exchange->http;
  exchange_free (exchange);
  http_respond (http, status, headers, (size_t)headers_size, body,
                (size_t)body_size);
}

void
exchange_give_up (exchange_t *exchange, entry_end_t end)
{
  if (exchange->may_have_run)
    {
      bool decided_here = end == ENTRY_NO_ROOM || end == ENTRY_STOPPING;
      exchange_respond_error (exchange,
                              decided_here ? ENTRY_OUTCOME_UNKNOWN : end,
                              end == ENTRY_DEADLINE_PASSED ? 504 : 502);
    }
  else
    exchange_respond_error (exchange, end, 503);
}
