#include "edge/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  FOLLOWERS_MAX = 2,
  CONNECT_US = 1000 * US_PER_MS,
  IDLE_US = 5 * US_PER_S,
  SILENCE_MS = 2000,                    /* for the store to acknowledge data */
  ANSWER_US = 3000 * US_PER_MS,         /* for a call that does not wait */
  ANSWER_MOST_BYTES = 16 * 1024 * 1024, /* several times the largest page */
  WAIT_MS = 28000, /* for new records; the store waits 30 s at most */
  RETRY_FIRST_US = 100 * US_PER_MS,
  RETRY_MOST_US = 1500 * US_PER_MS, /* entries are to be back within 2 s */
  /* Between two reads now and then: soon after a start, when others start
     too, and later about as often as a waiting read is renewed.  */
  REST_FIRST_US = 2 * US_PER_S,
  REST_MOST_US = 30 * US_PER_S
};

/* One call at a time: a reader, or the writer.  */
typedef struct caller_t
{
  store_t *store;
  http_call_t *call;
  ev_timer timer; /* time-out of a call, or pause before the next */
  int status;
  bytes_t body;
  int64_t pause_us;
  void (*next) (struct caller_t *caller); /* makes the next call */
  void (*done) (struct caller_t *caller); /* an answer is there */
} caller_t;

typedef struct follower_t
{
  caller_t caller;
  const char *topic;
  store_poll_mode_t pace;
  int64_t rest_us; /* until the next read now and then */
  store_handler_t handler;
  bool in_step; /* the newest were read; FROM is next */
  int64_t from;
  int64_t snapshot_end; /* as of the snapshot's first page */
  char after[256];
} follower_t;

struct store_t
{
  loop_t *loop;
  const dialect_t *dialect;
  const rng_t *rng;
  event_log_t *log;
  http_client_t *client;
  char host[ADDR_TEXT_BYTES];
  follower_t followers[FOLLOWERS_MAX];
  uint32_t follower_count;
  caller_t writer;
  const char *topic;
  char *key;
  char *value; /* NULL drops the key */
  bool dirty;
  uint64_t edition; /* of key and value */
  uint64_t sent_edition;
  store_state_t state;
};

/* --- one call ---------------------------------------------------------- */

static void
note_reachable (store_t *store, bool reachable, int status)
{
  if (store->state.reachable == reachable)
    return;
  store->state.reachable = reachable;
  event_log_write (store->log, EVENT_LIFECYCLE,
                   reachable ? "store-regained" : "store-lost",
                   "status=%d failures=%llu", status,
                   (unsigned long long)store->state.failures);
}

static int64_t
doubled (int64_t pause_us, int64_t most_us)
{
  return pause_us * 2 < most_us ? pause_us * 2 : most_us;
}

/* The next call comes after PAUSE_US, spread by half of it to both sides.  */
static void
call_later (caller_t *caller, int64_t pause_us)
{
  store_t *store = caller->store;
  loop_start_timer (
      store->loop, &caller->timer,
      (int64_t)((double)pause_us * (0.5 + rng_unit (store->rng))));
}

static void
pause_caller (caller_t *caller)
{
  caller->call = NULL;
  caller->store->state.failures++;
  call_later (caller, caller->pause_us);
  caller->pause_us = doubled (caller->pause_us, RETRY_MOST_US);
}

static void
caller_failed (caller_t *caller, int status)
{
  note_reachable (caller->store, false, status);
  pause_caller (caller);
}

static http_verdict_t
on_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  caller_t *caller = ctx;
  (void)fields;
  (void)length;
  caller->status = status;
  return HTTP_VERDICT_ACCEPT;
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  caller_t *caller = ctx;
  caller->store->state.bytes_in += size;
  bytes_append (&caller->body, data, size);
}

static void
on_end (void *ctx)
{
  caller_t *caller = ctx;
  store_t *store = caller->store;
  caller->call = NULL;
  ev_timer_stop (store->loop->ev, &caller->timer);
  /* The store refuses, or turns this VM away.  */
  if (caller->status >= 500 || caller->status == 429 || caller->status == 403)
    {
      caller_failed (caller, caller->status);
      return;
    }
  note_reachable (store, true, caller->status);
  caller->done (caller);
}

static void
on_fault (void *ctx, http_failure_t fault)
{
  caller_t *caller = ctx;
  (void)fault;
  ev_timer_stop (caller->store->loop->ev, &caller->timer);
  caller_failed (caller, 0);
}

static void
on_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  caller_t *caller = timer->data;
  (void)events;
  ev_timer_stop (ev, timer);
  if (caller->call == NULL)
    {
      caller->next (caller);
      return;
    }
  http_call_cancel (caller->call);
  caller_failed (caller, 0);
}

static void
make_call (caller_t *caller, const bytes_t *head, const bytes_t *body,
           int64_t timeout_us)
{
  store_t *store = caller->store;
  http_response_handler_t handler
      = { on_head, on_body, on_end, on_fault, caller };
  http_request_t request = {
    .head = bytes_data (head),
    .head_size = bytes_size (head),
    .body = bytes_data (body),
    .body_size = bytes_size (body),
    .max_response_body_bytes = ANSWER_MOST_BYTES,
  };
  bytes_consume (&caller->body, bytes_size (&caller->body));
  caller->call = http_client_call (store->client, &request, &handler);
  loop_start_timer (store->loop, &caller->timer, timeout_us);
}

static void
caller_open (caller_t *caller, store_t *store, void (*next) (caller_t *caller),
             void (*done) (caller_t *caller))
{
  caller->store = store;
  caller->next = next;
  caller->done = done;
  caller->pause_us = RETRY_FIRST_US;
  ev_timer_init (&caller->timer, on_timer, 0, 0);
  caller->timer.data = caller;
}

static void
caller_close (caller_t *caller)
{
  if (caller->store == NULL)
    return;
  ev_timer_stop (caller->store->loop->ev, &caller->timer);
  if (caller->call != NULL)
    http_call_cancel (caller->call);
  bytes_free (&caller->body);
}

/* --- followers --------------------------------------------------------- */

static follower_t *
follower_of (caller_t *caller)
{
  return (follower_t *)((char *)caller - offsetof (follower_t, caller));
}

static void
read_next (caller_t *caller)
{
  follower_t *follower = follower_of (caller);
  store_t *store = caller->store;
  bytes_t head = { 0 };
  bytes_t none = { 0 };
  uint32_t wait_ms = follower->pace == STORE_LONG_POLL ? WAIT_MS : 0;
  int64_t timeout_us = ANSWER_US;

  store->state.reads++;
  if (follower->in_step)
    {
      store->dialect->write_log_read_request (
          &head, store->host, follower->topic, follower->from, wait_ms);
      timeout_us += (int64_t)wait_ms * US_PER_MS;
    }
  else
    store->dialect->write_newest_values_request (
        &head, store->host, follower->topic, follower->after);
  make_call (caller, &head, &none, timeout_us);
  bytes_free (&head);
}

static void
start_over (follower_t *follower)
{
  follower->in_step = false;
  follower->after[0] = '\0';
}

static void
unreadable (follower_t *follower, const error_info_t *error)
{
  event_log_write (follower->caller.store->log, EVENT_LIFECYCLE,
                   "store-unreadable", "topic=%s error=\"%s\"",
                   follower->topic, error->message);
  start_over (follower);
  pause_caller (&follower->caller);
}

/* The follower is in step: waits for what comes.  */
static void
read_on (follower_t *follower)
{
  if (follower->pace == STORE_LONG_POLL)
    {
      read_next (&follower->caller);
      return;
    }
  call_later (&follower->caller, follower->rest_us);
  follower->rest_us = doubled (follower->rest_us, REST_MOST_US);
}

/* An own write was acknowledged: what was written before it can be read.  */
static void
read_again (follower_t *follower)
{
  if (follower->pace == STORE_LONG_POLL || follower->caller.call != NULL)
    return;
  follower->rest_us = REST_FIRST_US;
  ev_timer_stop (follower->caller.store->loop->ev, &follower->caller.timer);
  read_next (&follower->caller);
}

static void
take_newest (follower_t *follower)
{
  caller_t *caller = &follower->caller;
  const dialect_t *dialect = caller->store->dialect;
  error_info_t error = { .kind = ERROR_NONE };
  keyed_page_t page;

  if (follower->after[0] == '\0')
    follower->handler.snapshot_begin (follower->handler.ctx);
  if (!dialect->parse_newest_values (
          bytes_data (&caller->body), bytes_size (&caller->body), &page,
          follower->handler.record, follower->handler.ctx, &error))
    {
      unreadable (follower, &error);
      return;
    }
  /* Pages are not one snapshot: what came after the first is read again.  */
  if (follower->after[0] == '\0')
    follower->snapshot_end = page.end_offset;
  if (page.has_more)
    {
      snprintf (follower->after, sizeof follower->after, "%s", page.last_key);
      read_next (caller);
      return;
    }
  follower->handler.snapshot_end (follower->handler.ctx,
                                  follower->snapshot_end);
  follower->in_step = true;
  follower->from = follower->snapshot_end;
  read_on (follower);
}

static void
take_records (follower_t *follower)
{
  caller_t *caller = &follower->caller;
  error_info_t error = { .kind = ERROR_NONE };
  keyed_page_t page;
  if (!caller->store->dialect->parse_log_read (
          bytes_data (&caller->body), bytes_size (&caller->body),
          follower->from, &page, follower->handler.record,
          follower->handler.ctx, &error))
    {
      unreadable (follower, &error);
      return;
    }
  follower->from = page.end_offset;
  read_on (follower);
}

static void
read_done (caller_t *caller)
{
  follower_t *follower = follower_of (caller);
  if (caller->status != 200)
    {
      /* The records that come next have been dropped.  */
      start_over (follower);
      pause_caller (caller);
      return;
    }
  caller->pause_us = RETRY_FIRST_US;
  if (follower->in_step)
    take_records (follower);
  else
    take_newest (follower);
}

void
store_subscribe (store_t *store, const char *topic, store_poll_mode_t pace,
                 const store_handler_t *handler)
{
  follower_t *follower = &store->followers[store->follower_count++];
  follower->topic = topic;
  follower->pace = pace;
  follower->rest_us = REST_FIRST_US;
  follower->handler = *handler;
  caller_open (&follower->caller, store, read_next, read_done);
  read_next (&follower->caller);
}

/* --- the writer -------------------------------------------------------- */

static void
write_next (caller_t *caller)
{
  store_t *store = caller->store;
  bytes_t head = { 0 };
  bytes_t body = { 0 };
  if (!store->dirty || caller->call != NULL)
    return;
  store->state.writes++;
  store->sent_edition = store->edition;
  store->dialect->write_log_append_request (
      &head, &body, store->host, store->topic, store->key, store->value);
  make_call (caller, &head, &body, ANSWER_US);
  bytes_free (&head);
  bytes_free (&body);
}

static void
write_done (caller_t *caller)
{
  store_t *store = caller->store;
  if (caller->status != 200)
    {
      event_log_write (store->log, EVENT_LIFECYCLE, "store-write-refused",
                       "status=%d key=%s", caller->status, store->key);
      pause_caller (caller);
      return;
    }
  caller->pause_us = RETRY_FIRST_US;
  if (store->sent_edition != store->edition)
    {
      write_next (caller);
      return;
    }
  store->dirty = false;
  for (uint32_t i = 0; i < store->follower_count; i++)
    read_again (&store->followers[i]);
}

void
store_put (store_t *store, const char *topic, const char *key,
           const char *value)
{
  free (store->key);
  free (store->value);
  store->topic = topic;
  store->key = strdup (key);
  store->value = value != NULL ? strdup (value) : NULL;
  store->edition++;
  store->dirty = true;
  if (store->writer.call == NULL && !ev_is_active (&store->writer.timer))
    write_next (&store->writer);
}

bool
store_is_written (const store_t *store)
{
  return !store->dirty;
}

/* ----------------------------------------------------------------------- */

store_t *
store_new (loop_t *loop, const dialect_t *dialect, endpoint_addr_t addr,
           const rng_t *rng, event_log_t *log)
{
  store_t *store = calloc (1, sizeof *store);
  if (store == NULL)
    abort ();
  http_client_options_t options = { CONNECT_US, IDLE_US, SILENCE_MS };
  store->loop = loop;
  store->dialect = dialect;
  store->rng = rng;
  store->log = log;
  store->state.reachable = true;
  settings_format_addr (addr, store->host);
  store->client = http_client_new (loop, addr, &options);
  caller_open (&store->writer, store, write_next, write_done);
  return store;
}

void
store_free (store_t *store)
{
  if (store == NULL)
    return;
  for (uint32_t i = 0; i < store->follower_count; i++)
    caller_close (&store->followers[i].caller);
  caller_close (&store->writer);
  http_client_free (store->client);
  free (store->key);
  free (store->value);
  free (store);
}

store_state_t
store_state (const store_t *store)
{
  return store->state;
}
