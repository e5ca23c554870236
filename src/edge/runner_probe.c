#include "edge/runner_impl.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  PROBE_MOST_US = 10 * US_PER_S, /* a check waits for a slot, as all do */
  PROBE_MOST_BYTES = 64 * 1024   /* of a body, which nobody reads */
};

typedef struct probing_t
{
  runner_t *runner;
  runner_probed_t probed;
  void *ctx;
  server_probe_t probe;
  bool answered;
} probing_t;

static http_verdict_t
probe_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  probing_t *probing = ctx;
  const dialect_t *dialect = probing->runner->dialect;
  (void)length;
  probing->probe.healthy = status == 200;
  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      char text[SERVER_ID_BYTES];
      reply_field_role_t role = dialect->reply_field_role (fields, field);
      if (!field_copy_value (fields, field, text, sizeof text))
        continue;
      if (role == REPLY_FIELD_SERVER_ID)
        snprintf (probing->probe.id, sizeof probing->probe.id, "%s", text);
      else if (role == REPLY_FIELD_COLD_START)
        probing->probe.cold_start_left_us
            = (int64_t)(strtod (text, NULL) * US_PER_MS);
      else if (role == REPLY_FIELD_LOAD)
        sscanf (text, "%*u,%*u,%u", &probing->probe.slots);
    }
  return HTTP_VERDICT_ACCEPT;
}

static void
probe_body (void *ctx, const char *data, size_t size)
{
  (void)ctx;
  (void)data;
  (void)size;
}

static void
probe_end (void *ctx)
{
  probing_t *probing = ctx;
  probing->probed (probing->ctx, &probing->probe);
  free (probing);
}

static void
probe_fault (void *ctx, http_failure_t fault)
{
  probing_t *probing = ctx;
  probing->probe = (server_probe_t){ .cold_start_left_us = -1 };
  /* A full server may never answer, which says nothing of its health.  */
  if (fault != HTTP_FAILURE_DEADLINE)
    probing->probed (probing->ctx, &probing->probe);
  free (probing);
}

void
runner_probe (runner_t *runner, const char *path, runner_probed_t probed,
              void *ctx)
{
  probing_t *probing = calloc (1, sizeof *probing);
  bytes_t head = { 0 };
  if (probing == NULL)
    abort ();
  probing->runner = runner;
  probing->probed = probed;
  probing->ctx = ctx;
  probing->probe.cold_start_left_us = -1;
  bytes_append_format (&head, "GET %s HTTP/1.1\r\nHost: health\r\n\r\n", path);
  http_request_t request = {
    .head = bytes_data (&head),
    .head_size = bytes_size (&head),
    .deadline_us = runner->loop->now_us + PROBE_MOST_US,
    .max_response_body_bytes = PROBE_MOST_BYTES,
  };
  http_response_handler_t handler
      = { probe_head, probe_body, probe_end, probe_fault, probing };
  http_client_call (runner->client, &request, &handler);
  runner->state.probes_sent++;
  bytes_free (&head);
}
