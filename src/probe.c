#include "probe.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "probe_proto.h"

enum
{
  BUCKETS = 1024,
  SEEN_MAX = 16384 /* requests remembered, open ones included */
};

/* Longer than any watch keeps asking after the answer was written.  */
static const int64_t ENDED_KEPT_US = 5 * US_PER_S;

/* A request from another daemon.  */
typedef struct seen_t
{
  struct seen_t *next;
  char request[REQUEST_ID_BYTES];
  bool open;
  int64_t ended_us;
} seen_t;

/* A sending whose answer is awaited.  */
typedef struct watch_t
{
  struct watch_t *next;
  void *sending;
  vm_id_t vm;
  char request[REQUEST_ID_BYTES];
  uint32_t misses;
  bool answered; /* "still open", since the last question */
  int64_t due_us;
} watch_t;

struct probe_t
{
  link_t link;
  seen_t *seen[BUCKETS];
  size_t seen_count;
  size_t sweep; /* next bucket to free ended requests from */
  watch_t *watches[BUCKETS];
  size_t watch_count;
};

probe_t *
probe_new (link_t link)
{
  probe_t *probe = calloc (1, sizeof *probe);
  probe->link = link;
  return probe;
}

void
probe_free (probe_t *probe)
{
  for (size_t i = 0; i < BUCKETS; i++)
    {
      while (probe->seen[i] != NULL)
        {
          seen_t *next = probe->seen[i]->next;
          free (probe->seen[i]);
          probe->seen[i] = next;
        }
      while (probe->watches[i] != NULL)
        {
          watch_t *next = probe->watches[i]->next;
          free (probe->watches[i]);
          probe->watches[i] = next;
        }
    }
  free (probe);
}

static size_t
bucket_of (const char *request)
{
  return XXH3_64bits (request, strlen (request)) % BUCKETS;
}

static seen_t *
find_seen (probe_t *probe, const char *request)
{
  seen_t *at = probe->seen[bucket_of (request)];
  while (at != NULL && strcmp (at->request, request) != 0)
    at = at->next;
  return at;
}

void
probe_opened (probe_t *probe, const char *request, int64_t now_us)
{
  seen_t *seen = find_seen (probe, request);

  if (seen == NULL)
    {
      if (probe->seen_count == SEEN_MAX)
        return;
      seen = calloc (1, sizeof *seen);
      snprintf (seen->request, sizeof seen->request, "%s", request);
      seen_t **bucket = &probe->seen[bucket_of (request)];
      seen->next = *bucket;
      *bucket = seen;
      probe->seen_count++;
    }
  seen->open = true;
  seen->ended_us = now_us;
}

void
probe_ended (probe_t *probe, const char *request, int64_t now_us)
{
  seen_t *seen = find_seen (probe, request);

  if (seen == NULL)
    return;
  seen->open = false;
  seen->ended_us = now_us;
}

static watch_t **
find_watch (probe_t *probe, const void *sending, const char *request)
{
  watch_t **at = &probe->watches[bucket_of (request)];
  while (*at != NULL && (*at)->sending != sending)
    at = &(*at)->next;
  return at;
}

bool
probe_watch (probe_t *probe, void *sending, vm_id_t vm, const char *request,
             uint32_t first_ms, int64_t now_us)
{
  watch_t **at = find_watch (probe, sending, request);

  if (*at != NULL)
    return false;
  watch_t *watch = calloc (1, sizeof *watch);
  watch->sending = sending;
  watch->vm = vm;
  snprintf (watch->request, sizeof watch->request, "%s", request);
  watch->answered = true;
  watch->due_us = now_us + (int64_t)first_ms * US_PER_MS;
  *at = watch;
  probe->watch_count++;
  return true;
}

bool
probe_unwatch (probe_t *probe, void *sending, const char *request)
{
  watch_t **at = find_watch (probe, sending, request);
  watch_t *watch = *at;

  if (watch == NULL)
    return false;
  *at = watch->next;
  free (watch);
  probe->watch_count--;
  return true;
}

static void
send_probe (probe_t *probe, vm_id_t to, const char *request,
            wire_probe_state state)
{
  char buffer[2 * REQUEST_ID_BYTES];
  wire_probe wire = { (char *)request, state };
  XDR xdrs;

  xdrmem_create (&xdrs, buffer, sizeof buffer, XDR_ENCODE);
  if (xdr_wire_probe (&xdrs, &wire))
    probe->link.send (probe->link.ctx, to, MESSAGE_LOAD, buffer,
                      xdr_getpos (&xdrs));
  xdr_destroy (&xdrs);
}

static void
answer_question (probe_t *probe, vm_id_t from, const char *request)
{
  const seen_t *seen = find_seen (probe, request);
  wire_probe_state state = PROBE_STATE_UNSEEN;

  if (seen != NULL)
    state = seen->open ? PROBE_STATE_OPEN : PROBE_STATE_ENDED;
  send_probe (probe, from, request, state);
}

static void
note_open (probe_t *probe, vm_id_t from, const char *request)
{
  watch_t *at = probe->watches[bucket_of (request)];

  for (; at != NULL; at = at->next)
    if (at->vm == from && strcmp (at->request, request) == 0)
      at->answered = true;
}

bool
probe_receive (probe_t *probe, vm_id_t from, const void *data, size_t size,
               int64_t now_us)
{
  wire_probe wire = { 0 };
  XDR xdrs;
  (void)now_us;

  xdrmem_create (&xdrs, (char *)data, (u_int)size, XDR_DECODE);
  bool ok = xdr_wire_probe (&xdrs, &wire);
  if (ok && wire.state == PROBE_STATE_ASK)
    answer_question (probe, from, wire.request);
  else if (ok && wire.state == PROBE_STATE_OPEN)
    note_open (probe, from, wire.request);
  xdr_destroy (&xdrs);
  xdr_free ((xdrproc_t)xdr_wire_probe, (char *)&wire);
  return ok;
}

/* Frees the ended requests of one bucket.  */
static void
sweep_seen (probe_t *probe, int64_t now_us)
{
  seen_t **at = &probe->seen[probe->sweep++ % BUCKETS];

  while (*at != NULL)
    {
      seen_t *seen = *at;
      if (seen->open || now_us - seen->ended_us < ENDED_KEPT_US)
        {
          at = &seen->next;
          continue;
        }
      *at = seen->next;
      free (seen);
      probe->seen_count--;
    }
}

/* True when the watch is over.  */
static bool
ask (probe_t *probe, watch_t *watch, int64_t now_us)
{
  watch->misses = watch->answered ? 0 : watch->misses + 1;
  if (watch->misses >= PROBE_MISSES_MAX)
    return true;
  watch->answered = false;
  watch->due_us = now_us + (int64_t)PROBE_PERIOD_MS * US_PER_MS;
  send_probe (probe, watch->vm, watch->request, PROBE_STATE_ASK);
  return false;
}

static void
tick_bucket (probe_t *probe, size_t bucket, int64_t now_us, probe_lost_t lost,
             void *ctx)
{
  watch_t **at = &probe->watches[bucket];

  while (*at != NULL)
    {
      watch_t *watch = *at;
      if (watch->due_us > now_us || !ask (probe, watch, now_us))
        {
          at = &watch->next;
          continue;
        }
      *at = watch->next;
      probe->watch_count--;
      lost (ctx, watch->sending);
      free (watch);
    }
}

int64_t
probe_tick (probe_t *probe, int64_t now_us, probe_lost_t lost, void *ctx)
{
  for (size_t i = 0; i < BUCKETS; i++)
    tick_bucket (probe, i, now_us, lost, ctx);
  for (int i = 0; i < 64; i++)
    sweep_seen (probe, now_us);
  return now_us + (int64_t)PROBE_PERIOD_MS * US_PER_MS / 4;
}

size_t
probe_watch_count (const probe_t *probe)
{
  return probe->watch_count;
}
