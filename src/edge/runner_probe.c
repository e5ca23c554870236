#include "edge/runner_impl.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  /* Long, since the server may reply only when one of its slots is free.  */
  PROBE_TIMEOUT_US = 10 * US_PER_S,
  PROBE_BODY_MAX_BYTES = 64 * 1024 /* the body is discarded */
};

struct probe_call_t
{
  probe_call_t *next;
  runner_t *runner;
  http_call_t *http_call;
  runner_probe_callback_t callback;
  void *ctx;
  server_health_reply_t probe;
};

static void
free_probe (probe_call_t *call)
{
  probe_call_t **at = &call->runner->probes;
  while (*at != call)
    at = &(*at)->next;
  *at = call->next;
  free (call);
}

void
runner_free_probes (runner_t *runner)
{
  while (runner->probes != NULL)
    free_probe (runner->probes);
}

static http_verdict_t
on_probe_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  probe_call_t *call = ctx;
  const dialect_t *dialect = call->runner->dialect;
  (void)length;
  call->probe.healthy = status == 200;
  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      char text[SERVER_ID_BYTES];
      reply_field_role_t role = dialect->reply_field_role (fields, field);
      if (role == REPLY_FIELD_LOAD)
        runner_read_load (call->runner, fields, field);
      if (!field_copy_value (fields, field, text, sizeof text))
        continue;
      if (role == REPLY_FIELD_SERVER_ID)
        snprintf (call->probe.id, sizeof call->probe.id, "%s", text);
      else if (role == REPLY_FIELD_COLD_START)
        call->probe.cold_start_left_us
            = (int64_t)(strtod (text, NULL) * US_PER_MS);
    }
  return HTTP_VERDICT_ACCEPT;
}

static void
on_probe_body (void *ctx, const char *data, size_t size)
{
  (void)ctx;
  (void)data;
  (void)size;
}

static void
on_probe_end (void *ctx)
{
  probe_call_t *call = ctx;
  call->callback (call->ctx, &call->probe);
  free_probe (call);
}

static void
on_probe_failure (void *ctx, http_failure_t failure)
{
  probe_call_t *call = ctx;
  const runner_handler_t *handler = &call->runner->handler;
  if (failure == HTTP_FAILURE_MALFORMED)
    handler->response_malformed (handler->ctx, "",
                                 http_call_defect (call->http_call));
  call->probe = (server_health_reply_t){ .cold_start_left_us = -1,
                                         .sent_us = call->probe.sent_us };
  /* A server whose slots are all busy may not reply in time; that does not
     make it unhealthy.  */
  if (failure != HTTP_FAILURE_DEADLINE && failure != HTTP_FAILURE_NO_SOCKET)
    call->callback (call->ctx, &call->probe);
  if (failure == HTTP_FAILURE_CONNECT)
    runner_handle_connect_failure (call->runner);
  free_probe (call);
}

void
runner_probe (runner_t *runner, const char *path,
              runner_probe_callback_t callback, void *ctx)
{
  probe_call_t *call = calloc (1, sizeof *call);
  bytes_t head = { 0 };
  if (call == NULL)
    abort ();
  call->runner = runner;
  call->next = runner->probes;
  runner->probes = call;
  call->callback = callback;
  call->ctx = ctx;
  call->probe.cold_start_left_us = -1;
  call->probe.sent_us = runner->loop->now_us;
  bytes_append_format (&head, "GET %s HTTP/1.1\r\nHost: health\r\n\r\n", path);
  http_request_t request = {
    .head = bytes_data (&head),
    .head_size = bytes_size (&head),
    .deadline_us = runner->loop->now_us + PROBE_TIMEOUT_US,
    .max_response_body_bytes = PROBE_BODY_MAX_BYTES,
  };
  http_response_handler_t handler
      = { on_probe_head, on_probe_body, on_probe_end, on_probe_failure, call };
  call->http_call = http_client_call (runner->client, &request, &handler);
  runner->stats.probes_sent++;
  bytes_free (&head);
}
