#include "counters.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

typedef _Atomic uint64_t count_t;

struct counters_t
{
  count_t ends[REASON_COUNT];
  count_t retries[RETRY_COUNT];
  count_t sent[MESSAGE_KIND_COUNT];
  count_t sent_bytes[MESSAGE_KIND_COUNT];
  count_t received[MESSAGE_KIND_COUNT];
  count_t received_bytes[MESSAGE_KIND_COUNT];
  count_t rejected;
};

counters_t *
counters_new (void)
{
  return calloc (1, sizeof (counters_t));
}

void
counters_free (counters_t *counters)
{
  free (counters);
}

static void
add (count_t *count, uint64_t n)
{
  atomic_fetch_add_explicit (count, n, memory_order_relaxed);
}

static uint64_t
get (const count_t *count)
{
  return atomic_load_explicit (count, memory_order_relaxed);
}

void
counters_end (counters_t *counters, reason_t reason)
{
  add (&counters->ends[reason], 1);
}

void
counters_retry (counters_t *counters, retry_t retry)
{
  add (&counters->retries[retry], 1);
}

void
counters_sent (counters_t *counters, message_kind_t kind, uint32_t bytes)
{
  add (&counters->sent[kind], 1);
  add (&counters->sent_bytes[kind], bytes);
}

void
counters_received (counters_t *counters, message_kind_t kind, uint32_t bytes)
{
  add (&counters->received[kind], 1);
  add (&counters->received_bytes[kind], bytes);
}

void
counters_rejected (counters_t *counters)
{
  add (&counters->rejected, 1);
}

uint64_t
counters_get_end (const counters_t *counters, reason_t reason)
{
  return get (&counters->ends[reason]);
}

uint64_t
counters_get_retry (const counters_t *counters, retry_t retry)
{
  return get (&counters->retries[retry]);
}

static void
format_ends (FILE *out, const counters_t *counters)
{
  fputs ("# TYPE redwingford_requests_total counter\n", out);
  for (int i = 0; i < REASON_COUNT; i++)
    fprintf (out,
             "redwingford_requests_total{outcome=\"%s\",reason=\"%s\"} "
             "%" PRIu64 "\n",
             outcome_name (reason_outcome ((reason_t)i)),
             reason_name ((reason_t)i), get (&counters->ends[i]));
}

static void
format_retries (FILE *out, const counters_t *counters)
{
  fputs ("# TYPE redwingford_retries_total counter\n", out);
  for (int i = 0; i < RETRY_COUNT; i++)
    fprintf (out, "redwingford_retries_total{reason=\"%s\"} %" PRIu64 "\n",
             retry_name ((retry_t)i), get (&counters->retries[i]));
}

static void
format_messages (FILE *out, const char *metric, const count_t *counts)
{
  fprintf (out, "# TYPE redwingford_control_%s_total counter\n", metric);
  for (int i = 0; i < MESSAGE_KIND_COUNT; i++)
    fprintf (out, "redwingford_control_%s_total{kind=\"%s\"} %" PRIu64 "\n",
             metric, message_kind_name ((message_kind_t)i), get (&counts[i]));
}

char *
counters_format (const counters_t *counters)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  if (out == NULL)
    return NULL;
  format_ends (out, counters);
  format_retries (out, counters);
  format_messages (out, "sent", counters->sent);
  format_messages (out, "sent_bytes", counters->sent_bytes);
  format_messages (out, "received", counters->received);
  format_messages (out, "received_bytes", counters->received_bytes);
  fprintf (out,
           "# TYPE redwingford_control_rejected_total counter\n"
           "redwingford_control_rejected_total %" PRIu64 "\n",
           get (&counters->rejected));
  fclose (out);
  return text;
}
