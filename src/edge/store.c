#include "edge/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SUBSCRIPTIONS_MAX = 2,
  CONNECT_TIMEOUT_US = 1000 * US_PER_MS,
  IDLE_TIMEOUT_US = 5 * US_PER_S,
  ACK_TIMEOUT_MS = 2000, /* for the store to acknowledge sent data */
  RESPONSE_TIMEOUT_US = 3000 * US_PER_MS, /* a long poll takes LONG_POLL_MS
                                             in addition */
  /* Several times the largest page.  */
  RESPONSE_BODY_MAX_BYTES = 16 * 1024 * 1024,
  LONG_POLL_MS = 28000, /* for new records; the store waits at most 30 s */
  RETRY_DELAY_MIN_US = 100 * US_PER_MS,
  /* Records must be read again within about 2 s of the store's recovery.  */
  RETRY_DELAY_MAX_US = 1500 * US_PER_MS,
  /* Periodic polls are frequent after a start, when other sidecars start too,
     and later about as rare as long polls.  */
  POLL_INTERVAL_MIN_US = 2 * US_PER_S,
  POLL_INTERVAL_MAX_US = 30 * US_PER_S,
  /* Periodic polls of a fleet that sees a new era at once.  */
  ERA_READ_SPREAD_US = 1 * US_PER_S
};

/* Sends one request at a time, for a subscription or for puts.  */
typedef struct requester_t
{
  store_t *store;
  http_call_t *call;
  ev_timer timer; /* time-out of a request, or delay before the next */
  int status;
  uint32_t era; /* of the store, which the response states */
  bytes_t response_body;
  int64_t retry_delay_us;
  /* Sends the next request.  */
  void (*send_request) (struct requester_t *requester);
  /* The response is complete.  */
  void (*on_response) (struct requester_t *requester);
} requester_t;

typedef struct subscription_t
{
  requester_t requester;
  const char *topic;
  store_poll_mode_t poll_mode;
  int64_t poll_interval_us; /* until the next periodic poll */
  store_handler_t handler;
  uint32_t era;        /* in which the snapshot was begun */
  bool caught_up;      /* the snapshot is complete */
  int64_t next_offset; /* of the next record to read */
  /* End of the topic when the first page of the snapshot was read.  */
  int64_t snapshot_end_offset;
  char after_key[256]; /* last key of the last page; "" is none */
} subscription_t;

struct store_t
{
  loop_t *loop;
  const dialect_t *dialect;
  const rng_t *rng;
  event_log_t *log;
  http_client_t *client;
  char host[ADDR_TEXT_BYTES];
  subscription_t subscriptions[SUBSCRIPTIONS_MAX];
  uint32_t subscription_count;
  uint32_t era; /* newest one seen */
  requester_t writer;
  const char *put_topic;
  char *put_key;
  char *put_value; /* NULL deletes the key */
  bool put_pending;
  bool put_is_spread;       /* the writer's timer delays the first try */
  uint64_t put_number;      /* of the newest put */
  uint64_t sent_put_number; /* of the put that was sent last */
  store_stats_t stats;
};

static void begin_era (store_t *store, const requester_t *informed);

/* --- requests ---------------------------------------------------------- */

static void
set_reachable (store_t *store, bool reachable, int status)
{
  if (store->stats.reachable == reachable)
    return;
  store->stats.reachable = reachable;
  event_log_write (store->log, EVENT_LIFECYCLE,
                   reachable ? "store-regained" : "store-lost",
                   "status=%d failures=%llu", status,
                   (unsigned long long)store->stats.failures);
}

static int64_t
doubled_delay (int64_t delay_us, int64_t max_us)
{
  return delay_us * 2 < max_us ? delay_us * 2 : max_us;
}

/* Sends the next request after DELAY_US, plus or minus up to half of it at
   random.  */
static void
schedule_request (requester_t *requester, int64_t delay_us)
{
  store_t *store = requester->store;
  loop_start_timer (
      store->loop, &requester->timer,
      (int64_t)((double)delay_us * (0.5 + rng_unit (store->rng))));
}

static void
back_off (requester_t *requester)
{
  requester->call = NULL;
  schedule_request (requester, requester->retry_delay_us);
  requester->retry_delay_us
      = doubled_delay (requester->retry_delay_us, RETRY_DELAY_MAX_US);
}

static void
schedule_retry (requester_t *requester)
{
  requester->store->stats.failures++;
  back_off (requester);
}

static void
handle_request_failure (requester_t *requester, int status)
{
  set_reachable (requester->store, false, status);
  schedule_retry (requester);
}

static http_verdict_t
on_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  requester_t *requester = ctx;
  (void)length;
  requester->status = status;
  requester->era = requester->store->dialect->store_era (fields);
  return HTTP_VERDICT_ACCEPT;
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  requester_t *requester = ctx;
  requester->store->stats.bytes_in += size;
  bytes_append (&requester->response_body, data, size);
}

static void
on_end (void *ctx)
{
  requester_t *requester = ctx;
  store_t *store = requester->store;
  requester->call = NULL;
  ev_timer_stop (store->loop->ev, &requester->timer);
  if (requester->era > store->era)
    begin_era (store, requester);
  /* The store fails, limits the rate, or denies access to this VM.  */
  if (requester->status >= 500 || requester->status == 429
      || requester->status == 403)
    {
      handle_request_failure (requester, requester->status);
      return;
    }
  set_reachable (store, true, requester->status);
  if (requester->era < store->era)
    {
      /* A late answer from before the store was restored.  */
      event_log_write (store->log, EVENT_LIFECYCLE, "store-answer-discarded",
                       "era=%u newest=%u status=%d", requester->era,
                       store->era, requester->status);
      schedule_retry (requester);
      return;
    }
  requester->on_response (requester);
}

static void
on_failure (void *ctx, http_failure_t failure)
{
  requester_t *requester = ctx;
  ev_timer_stop (requester->store->loop->ev, &requester->timer);
  if (failure == HTTP_FAILURE_MALFORMED)
    event_log_write (requester->store->log, EVENT_LIFECYCLE,
                     "response-malformed", "from=store why=%s",
                     http_defect_name (http_call_defect (requester->call)));
  if (failure == HTTP_FAILURE_NO_SOCKET)
    back_off (requester);
  else
    handle_request_failure (requester, 0);
}

static void
on_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  requester_t *requester = timer->data;
  (void)events;
  ev_timer_stop (ev, timer);
  if (requester->call == NULL)
    {
      requester->send_request (requester);
      return;
    }
  http_call_cancel (requester->call);
  handle_request_failure (requester, 0);
}

static void
start_request (requester_t *requester, const bytes_t *head,
               const bytes_t *body, int64_t timeout_us)
{
  store_t *store = requester->store;
  http_response_handler_t handler
      = { on_head, on_body, on_end, on_failure, requester };
  http_request_t request = {
    .head = bytes_data (head),
    .head_size = bytes_size (head),
    .body = bytes_data (body),
    .body_size = bytes_size (body),
    .max_response_body_bytes = RESPONSE_BODY_MAX_BYTES,
  };
  bytes_consume (&requester->response_body,
                 bytes_size (&requester->response_body));
  requester->call = http_client_call (store->client, &request, &handler);
  loop_start_timer (store->loop, &requester->timer, timeout_us);
}

static void
requester_init (requester_t *requester, store_t *store,
                void (*send_request) (requester_t *requester),
                void (*on_response) (requester_t *requester))
{
  requester->store = store;
  requester->send_request = send_request;
  requester->on_response = on_response;
  requester->retry_delay_us = RETRY_DELAY_MIN_US;
  ev_timer_init (&requester->timer, on_timer, 0, 0);
  requester->timer.data = requester;
}

static void
requester_close (requester_t *requester)
{
  if (requester->store == NULL)
    return;
  ev_timer_stop (requester->store->loop->ev, &requester->timer);
  if (requester->call != NULL)
    http_call_cancel (requester->call);
  bytes_free (&requester->response_body);
}

/* --- subscriptions ----------------------------------------------------- */

static subscription_t *
subscription_of (requester_t *requester)
{
  return (subscription_t *)((char *)requester
                            - offsetof (subscription_t, requester));
}

static void
send_read (requester_t *requester)
{
  subscription_t *subscription = subscription_of (requester);
  store_t *store = requester->store;
  bytes_t head = { 0 };
  bytes_t empty = { 0 };
  uint32_t wait_ms
      = subscription->poll_mode == STORE_LONG_POLL ? LONG_POLL_MS : 0;
  int64_t timeout_us = RESPONSE_TIMEOUT_US;

  store->stats.reads++;
  if (subscription->caught_up)
    {
      store->dialect->write_log_read_request (
          &head, store->host, subscription->topic, subscription->next_offset,
          wait_ms);
      timeout_us += (int64_t)wait_ms * US_PER_MS;
    }
  else
    store->dialect->write_newest_values_request (
        &head, store->host, subscription->topic, subscription->after_key);
  start_request (requester, &head, &empty, timeout_us);
  bytes_free (&head);
}

static void
restart_from_snapshot (subscription_t *subscription)
{
  subscription->caught_up = false;
  subscription->after_key[0] = '\0';
}

static void
handle_malformed_page (subscription_t *subscription, const error_info_t *error)
{
  event_log_write (subscription->requester.store->log, EVENT_LIFECYCLE,
                   "store-unreadable", "topic=%s error=\"%s\"",
                   subscription->topic, error->message);
  restart_from_snapshot (subscription);
  schedule_retry (&subscription->requester);
}

/* Reads the records that follow, at once or after the poll interval.  */
static void
schedule_read (subscription_t *subscription)
{
  if (subscription->poll_mode == STORE_LONG_POLL)
    {
      send_read (&subscription->requester);
      return;
    }
  schedule_request (&subscription->requester, subscription->poll_interval_us);
  subscription->poll_interval_us
      = doubled_delay (subscription->poll_interval_us, POLL_INTERVAL_MAX_US);
}

/* Brings a periodic poll forward after an acknowledged put: the records that
   were written before it can be read now.  */
static void
read_immediately (subscription_t *subscription)
{
  if (subscription->poll_mode == STORE_LONG_POLL
      || subscription->requester.call != NULL)
    return;
  subscription->poll_interval_us = POLL_INTERVAL_MIN_US;
  ev_timer_stop (subscription->requester.store->loop->ev,
                 &subscription->requester.timer);
  send_read (&subscription->requester);
}

static void
handle_snapshot_page (subscription_t *subscription)
{
  requester_t *requester = &subscription->requester;
  const dialect_t *dialect = requester->store->dialect;
  error_info_t error = { .kind = ERROR_NONE };
  keyed_page_t page;

  if (subscription->after_key[0] == '\0')
    subscription->handler.on_snapshot_begin (subscription->handler.ctx);
  if (!dialect->parse_newest_values (
          bytes_data (&requester->response_body),
          bytes_size (&requester->response_body), subscription->era, &page,
          subscription->handler.on_record, subscription->handler.ctx, &error))
    {
      handle_malformed_page (subscription, &error);
      return;
    }
  /* The pages are not one consistent snapshot: records that were written after
     the first page are read again.  */
  if (subscription->after_key[0] == '\0')
    subscription->snapshot_end_offset = page.end_offset;
  if (page.has_more)
    {
      snprintf (subscription->after_key, sizeof subscription->after_key, "%s",
                page.last_key);
      send_read (requester);
      return;
    }
  subscription->handler.on_snapshot_end (
      subscription->handler.ctx,
      (store_position_t){ subscription->era,
                          subscription->snapshot_end_offset });
  subscription->caught_up = true;
  subscription->next_offset = subscription->snapshot_end_offset;
  schedule_read (subscription);
}

static void
handle_record_page (subscription_t *subscription)
{
  requester_t *requester = &subscription->requester;
  error_info_t error = { .kind = ERROR_NONE };
  keyed_page_t page;
  if (!requester->store->dialect->parse_log_read (
          bytes_data (&requester->response_body),
          bytes_size (&requester->response_body),
          (store_position_t){ subscription->era, subscription->next_offset },
          &page, subscription->handler.on_record, subscription->handler.ctx,
          &error))
    {
      handle_malformed_page (subscription, &error);
      return;
    }
  subscription->next_offset = page.end_offset;
  schedule_read (subscription);
}

/* Makes SUBSCRIPTION read a snapshot in the store's newest era.  Returns
   whether the response to its last request is the beginning of one.  */
static bool
enter_era (subscription_t *subscription)
{
  bool is_first_page
      = !subscription->caught_up && subscription->after_key[0] == '\0';
  subscription->era = subscription->requester.store->era;
  subscription->poll_interval_us = POLL_INTERVAL_MIN_US;
  subscription->requester.retry_delay_us = RETRY_DELAY_MIN_US;
  restart_from_snapshot (subscription);
  return is_first_page;
}

static void
on_read_response (requester_t *requester)
{
  subscription_t *subscription = subscription_of (requester);
  if (subscription->era != requester->store->era && !enter_era (subscription))
    {
      send_read (requester);
      return;
    }
  if (requester->status != 200)
    {
      /* The store no longer has the records to read next.  */
      restart_from_snapshot (subscription);
      schedule_retry (requester);
      return;
    }
  requester->retry_delay_us = RETRY_DELAY_MIN_US;
  if (subscription->caught_up)
    handle_record_page (subscription);
  else
    handle_snapshot_page (subscription);
}

static void
log_era (const store_t *store, uint32_t era)
{
  char positions[256] = "";
  size_t size = 0;
  for (uint32_t i = 0; i < store->subscription_count; i++)
    {
      const subscription_t *subscription = &store->subscriptions[i];
      int written
          = snprintf (positions + size, sizeof positions - size, " %s=%u:%lld",
                      subscription->topic, subscription->era,
                      (long long)subscription->next_offset);
      if (written < 0 || (size_t)written >= sizeof positions - size)
        break;
      size += (size_t)written;
    }
  event_log_write (store->log, EVENT_LIFECYCLE, "store-era",
                   "era=%u before=%u%s", era, store->era, positions);
}

/* The store was restored, as the response to INFORMED tells.  Each
   subscription reads a snapshot; that of INFORMED does so when its response is
   handled. Reads that wait for records are given up: their offsets mean
   nothing now. A put that is under way is judged by the era of its response.
 */
static void
begin_era (store_t *store, const requester_t *informed)
{
  log_era (store, informed->era);
  store->era = informed->era;
  store->stats.era = informed->era;
  for (uint32_t i = 0; i < store->subscription_count; i++)
    {
      subscription_t *subscription = &store->subscriptions[i];
      requester_t *requester = &subscription->requester;
      if (requester == informed)
        continue;
      ev_timer_stop (store->loop->ev, &requester->timer);
      if (requester->call != NULL)
        http_call_cancel (requester->call);
      requester->call = NULL;
      enter_era (subscription);
      if (subscription->poll_mode == STORE_LONG_POLL)
        send_read (requester);
      else
        loop_start_timer (
            store->loop, &requester->timer,
            (int64_t)(ERA_READ_SPREAD_US * rng_unit (store->rng)));
    }
}

void
store_subscribe (store_t *store, const char *topic,
                 store_poll_mode_t poll_mode, const store_handler_t *handler)
{
  subscription_t *subscription
      = &store->subscriptions[store->subscription_count++];
  subscription->topic = topic;
  subscription->poll_mode = poll_mode;
  subscription->poll_interval_us = POLL_INTERVAL_MIN_US;
  subscription->era = store->era;
  subscription->handler = *handler;
  requester_init (&subscription->requester, store, send_read,
                  on_read_response);
  send_read (&subscription->requester);
}

/* --- puts -------------------------------------------------------------- */

static void
send_put (requester_t *requester)
{
  store_t *store = requester->store;
  bytes_t head = { 0 };
  bytes_t body = { 0 };
  if (!store->put_pending || requester->call != NULL)
    return;
  store->put_is_spread = false;
  store->stats.writes++;
  store->sent_put_number = store->put_number;
  store->dialect->write_log_append_request (&head, &body, store->host,
                                            store->put_topic, store->put_key,
                                            store->put_value);
  start_request (requester, &head, &body, RESPONSE_TIMEOUT_US);
  bytes_free (&head);
  bytes_free (&body);
}

static void
on_put_response (requester_t *requester)
{
  store_t *store = requester->store;
  if (requester->status != 200)
    {
      event_log_write (store->log, EVENT_LIFECYCLE, "store-write-refused",
                       "status=%d key=%s", requester->status, store->put_key);
      schedule_retry (requester);
      return;
    }
  requester->retry_delay_us = RETRY_DELAY_MIN_US;
  if (store->sent_put_number != store->put_number)
    {
      send_put (requester);
      return;
    }
  store->put_pending = false;
  for (uint32_t i = 0; i < store->subscription_count; i++)
    read_immediately (&store->subscriptions[i]);
}

void
store_put_within (store_t *store, const char *topic, const char *key,
                  const char *value, int64_t spread_us)
{
  requester_t *writer = &store->writer;
  free (store->put_key);
  free (store->put_value);
  store->put_topic = topic;
  store->put_key = strdup (key);
  store->put_value = value != NULL ? strdup (value) : NULL;
  store->put_number++;
  store->put_pending = true;
  if (store->put_is_spread && spread_us == 0)
    ev_timer_stop (store->loop->ev, &writer->timer);
  if (writer->call != NULL || ev_is_active (&writer->timer))
    return;
  store->put_is_spread = spread_us > 0;
  if (store->put_is_spread)
    loop_start_timer (store->loop, &writer->timer,
                      (int64_t)((double)spread_us * rng_unit (store->rng)));
  else
    send_put (writer);
}

void
store_put (store_t *store, const char *topic, const char *key,
           const char *value)
{
  store_put_within (store, topic, key, value, 0);
}

bool
store_put_is_acknowledged (const store_t *store)
{
  return !store->put_pending;
}

/* --- the store --------------------------------------------------------- */

store_t *
store_new (loop_t *loop, const dialect_t *dialect, endpoint_addr_t addr,
           const rng_t *rng, event_log_t *log)
{
  store_t *store = calloc (1, sizeof *store);
  if (store == NULL)
    abort ();
  http_client_options_t options
      = { CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, ACK_TIMEOUT_MS };
  store->loop = loop;
  store->dialect = dialect;
  store->rng = rng;
  store->log = log;
  store->stats.reachable = true;
  settings_format_addr (addr, store->host);
  store->client = http_client_new (loop, addr, &options);
  requester_init (&store->writer, store, send_put, on_put_response);
  return store;
}

void
store_free (store_t *store)
{
  if (store == NULL)
    return;
  for (uint32_t i = 0; i < store->subscription_count; i++)
    requester_close (&store->subscriptions[i].requester);
  requester_close (&store->writer);
  http_client_free (store->client);
  free (store->put_key);
  free (store->put_value);
  free (store);
}

store_stats_t
store_stats (const store_t *store)
{
  store_stats_t stats = store->stats;
  http_client_stats_t client = http_client_stats (store->client);
  stats.connections = client.connections;
  memcpy (stats.malformed, client.malformed, sizeof stats.malformed);
  stats.sockets_lacking = client.sockets_lacking;
  return stats;
}
