#include "edge/rollout_store.h"

#include <stdio.h>
#include <stdlib.h>

#include "edge/http_client.h"

enum
{
  CONNECT_TIMEOUT_US = 1000 * US_PER_MS,
  IDLE_TIMEOUT_US = 5 * US_PER_S,
  ACK_TIMEOUT_MS = 1000,
  /* Shorter than a claim lasts (2 s), so that a claimant learns in time that
     the store does not answer.  */
  RESPONSE_TIMEOUT_US = 1500 * US_PER_MS,
  RESPONSE_BODY_MAX_BYTES = 16 * 1024 * 1024,
  PAGES_MAX = 64 /* of one read */
};

struct rollout_store_t
{
  loop_t *loop;
  const dialect_t *dialect;
  event_log_t *log;
  const char *service;
  rollout_store_handler_t handler;
  http_client_t *client;
  char host[ADDR_TEXT_BYTES];
  http_call_t *call;
  ev_timer timer; /* time-out of the request */
  int status;
  uint32_t era; /* that the response states */
  bytes_t response_body;
  rollout_action_t action;
  /* Of a read.  */
  rollout_read_t read;
  uint32_t page_count;
  char after_key[sizeof ((keyed_page_t *)NULL)->last_key];
};

static void
end_action (rollout_store_t *store, const rollout_read_t *read,
            rollout_append_result_t result, store_position_t position)
{
  if (store->action.kind == ROLLOUT_ACTION_READ)
    store->handler.on_read (store->handler.ctx, read);
  else
    store->handler.on_append (store->handler.ctx, result, position);
}

static void
fail_action (rollout_store_t *store, const char *reason, int status)
{
  event_log_write (
      store->log, EVENT_LIFECYCLE, "rollout-store-failed",
      "service=%s action=%s status=%d reason=\"%s\"", store->service,
      store->action.kind == ROLLOUT_ACTION_READ ? "read" : "append", status,
      reason);
  end_action (store, NULL, ROLLOUT_APPEND_UNKNOWN,
              (store_position_t){ 0, -1 });
}

static void start_request (rollout_store_t *store);

static void
visit_record (void *ctx, const keyed_record_t *record)
{
  rollout_store_t *store = ctx;
  error_info_t error = { .kind = ERROR_NONE };
  if (!store->dialect->parse_rollout_record (record, store->service,
                                             &store->read, &error))
    event_log_write (
        store->log, EVENT_STATE_CHANGE, "rollout-record-unreadable",
        "service=%s era=%u offset=%lld at=\"%s\" error=\"%s\"", store->service,
        record->position.era, (long long)record->position.offset, error.path,
        error.message);
}

/* The condition of an append is the end of the topic as of the first page, so
   that records which were appended between two pages are noticed.  */
static void
handle_page (rollout_store_t *store)
{
  error_info_t error = { .kind = ERROR_NONE };
  keyed_page_t page;
  if (!store->dialect->parse_newest_values (bytes_data (&store->response_body),
                                            bytes_size (&store->response_body),
                                            store->era, &page, visit_record,
                                            store, &error))
    {
      fail_action (store, error.message, store->status);
      return;
    }
  if (store->page_count++ == 0)
    store->read.end = (store_position_t){ store->era, page.end_offset };
  if (store->era != store->read.end.era)
    {
      fail_action (store, "the store was restored meanwhile", store->status);
      return;
    }
  if (!page.has_more)
    {
      end_action (store, &store->read, ROLLOUT_APPEND_UNKNOWN,
                  store->read.end);
      return;
    }
  if (store->page_count == PAGES_MAX)
    {
      fail_action (store, "the topic has too many keys", store->status);
      return;
    }
  snprintf (store->after_key, sizeof store->after_key, "%s", page.last_key);
  start_request (store);
}

static void
handle_append_reply (rollout_store_t *store)
{
  int64_t offset = store->dialect->parse_append_reply (
      bytes_data (&store->response_body), bytes_size (&store->response_body));
  if (offset < 0)
    fail_action (store, "the reply does not state the offset", store->status);
  else
    end_action (store, NULL, ROLLOUT_APPEND_DONE,
                (store_position_t){ store->era, offset });
}

static http_verdict_t
on_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  rollout_store_t *store = ctx;
  (void)length;
  store->status = status;
  store->era = store->dialect->store_era (fields);
  return HTTP_VERDICT_ACCEPT;
}

static void
on_body (void *ctx, const char *data, size_t size)
{
  rollout_store_t *store = ctx;
  bytes_append (&store->response_body, data, size);
}

static void
on_end (void *ctx)
{
  rollout_store_t *store = ctx;
  bool is_append = store->action.kind != ROLLOUT_ACTION_READ;
  store->call = NULL;
  ev_timer_stop (store->loop->ev, &store->timer);
  /* The condition was met by chance, or not met, in a topic whose offsets
     were assigned again.  */
  if (is_append && store->era != store->action.at.era)
    fail_action (store, "the store was restored meanwhile", store->status);
  else if (store->status == 200 && is_append)
    handle_append_reply (store);
  else if (store->status == 200)
    handle_page (store);
  /* The topic has no record yet.  */
  else if (store->status == 404 && !is_append)
    {
      store->read.end = (store_position_t){ store->era, 0 };
      end_action (store, &store->read, ROLLOUT_APPEND_UNKNOWN,
                  store->read.end);
    }
  else if (store->status == 412 && is_append)
    end_action (store, NULL, ROLLOUT_APPEND_CONFLICT,
                (store_position_t){ 0, -1 });
  else
    fail_action (store, "unexpected status", store->status);
}

static void
on_failure (void *ctx, http_failure_t failure)
{
  rollout_store_t *store = ctx;
  store->call = NULL;
  ev_timer_stop (store->loop->ev, &store->timer);
  fail_action (store, http_failure_name (failure), 0);
}

static void
on_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  rollout_store_t *store = timer->data;
  (void)events;
  ev_timer_stop (ev, timer);
  http_call_cancel (store->call);
  store->call = NULL;
  fail_action (store, "no reply in time", 0);
}

static void
start_request (rollout_store_t *store)
{
  bytes_t head = { 0 };
  bytes_t body = { 0 };
  http_response_handler_t handler
      = { on_head, on_body, on_end, on_failure, store };
  if (store->action.kind == ROLLOUT_ACTION_READ)
    store->dialect->write_newest_values_request (
        &head, store->host, store->dialect->rollout_topic, store->after_key);
  else
    store->dialect->write_rollout_append_request (
        &head, &body, store->host, store->service, &store->action);
  http_request_t request = {
    .head = bytes_data (&head),
    .head_size = bytes_size (&head),
    .body = bytes_data (&body),
    .body_size = bytes_size (&body),
    .max_response_body_bytes = RESPONSE_BODY_MAX_BYTES,
  };
  bytes_consume (&store->response_body, bytes_size (&store->response_body));
  store->call = http_client_call (store->client, &request, &handler);
  loop_start_timer (store->loop, &store->timer, RESPONSE_TIMEOUT_US);
  bytes_free (&head);
  bytes_free (&body);
}

void
rollout_store_start (rollout_store_t *store, const rollout_action_t *action)
{
  store->action = *action;
  store->read = (rollout_read_t){ .end = { 0, 0 } };
  store->page_count = 0;
  store->after_key[0] = '\0';
  start_request (store);
}

rollout_store_t *
rollout_store_new (loop_t *loop, const dialect_t *dialect,
                   endpoint_addr_t addr, event_log_t *log, const char *service,
                   const rollout_store_handler_t *handler)
{
  rollout_store_t *store = calloc (1, sizeof *store);
  if (store == NULL)
    abort ();
  http_client_options_t options
      = { CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, ACK_TIMEOUT_MS };
  store->loop = loop;
  store->dialect = dialect;
  store->log = log;
  store->service = service;
  store->handler = *handler;
  settings_format_addr (addr, store->host);
  store->client = http_client_new (loop, addr, &options);
  ev_timer_init (&store->timer, on_timer, 0, 0);
  store->timer.data = store;
  return store;
}

void
rollout_store_free (rollout_store_t *store)
{
  if (store == NULL)
    return;
  ev_timer_stop (store->loop->ev, &store->timer);
  if (store->call != NULL)
    http_call_cancel (store->call);
  http_client_free (store->client);
  bytes_free (&store->response_body);
  free (store);
}
