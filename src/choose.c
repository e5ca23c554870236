#include "choose_impl.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "invariant.h"

enum
{
  NOT_LISTED = UINT32_MAX,
  SETTLE_US = 2 * US_PER_S,
  EJECT_FIRST_US = US_PER_S,
  EJECT_LONGEST_US = 30 * US_PER_S,
  EJECT_DOUBLINGS = 5,
  FAILURES_IN_ROW = 5,
  BUCKET_BITS_FIRST = 4
};

static const double EJECTED_SHARE_MAX = 1.0 / 3;
static const double PANIC_SHARE = 0.5;
static const double LATENCY_WEIGHT = 1.0 / 8;
static const double REFUSAL_WEIGHT = 1.0 / 8;
static const double FAILURE_WEIGHT = 1.0 / 16;
static const double FAILURE_SHARE_BAD = 0.5;

static bool
ends_before (const void *a, const void *b)
{
  const server_t *x = a;
  const server_t *y = b;
  return x->eject_end_us < y->eject_end_us;
}

static uint32_t *
eject_place (void *item)
{
  return &((server_t *)item)->eject_place;
}

static uint32_t
list_add (server_list_t *list, server_t *server)
{
  if (list->count == list->room)
    {
      list->room = list->room ? 2 * list->room : 4;
      list->items = realloc (list->items, list->room * sizeof (server_t *));
    }
  list->items[list->count] = server;
  return list->count++;
}

/* Returns the server that took the place, or NULL.  */
static server_t *
list_take (server_list_t *list, uint32_t index)
{
  list->count--;
  if (index == list->count)
    return NULL;
  list->items[index] = list->items[list->count];
  return list->items[index];
}

choose_t *
choose_new (const choose_options_t *options, int64_t now_us)
{
  choose_t *choose = calloc (1, sizeof *choose);
  choose->options = *options;
  choose->created_us = now_us;
  choose->bucket_bits = BUCKET_BITS_FIRST;
  choose->buckets
      = calloc ((size_t)1 << BUCKET_BITS_FIRST, sizeof (server_t *));
  heap_init (&choose->ejected, 1, ends_before, eject_place);
  return choose;
}

void
choose_free (choose_t *choose)
{
  if (choose == NULL)
    return;
  for (uint32_t i = 0; i < choose->servers.count; i++)
    free (choose->servers.items[i]);
  for (uint32_t i = 0; i < CHOOSE_ZONES_MAX; i++)
    free (choose->zones[i].items);
  free (choose->servers.items);
  free (choose->all.items);
  heap_free (&choose->ejected);
  free (choose->buckets);
  free (choose);
}

static server_t **
bucket (const choose_t *choose, vm_id_t vm)
{
  uint64_t hash = vm * 0x9e3779b97f4a7c15ULL;
  return &choose->buckets[hash >> (64 - choose->bucket_bits)];
}

static server_t *
find (const choose_t *choose, vm_id_t vm)
{
  server_t *server = *bucket (choose, vm);
  while (server != NULL && server->known.vm != vm)
    server = server->chain;
  return server;
}

/* With the number of servers, not of requests.  */
static void
buckets_grow (choose_t *choose)
{
  free (choose->buckets);
  choose->bucket_bits++;
  choose->buckets
      = calloc ((size_t)1 << choose->bucket_bits, sizeof (server_t *));
  for (uint32_t i = 0; i < choose->servers.count; i++)
    {
      server_t *server = choose->servers.items[i];
      server_t **at = bucket (choose, server->known.vm);
      server->chain = *at;
      *at = server;
    }
}

static server_t *
server_add (choose_t *choose, const choose_server_t *known)
{
  server_t *server = calloc (1, sizeof *server);
  server->known = *known;
  server->known.out_of_service = true; /* until it is listed */
  server->zone_index = NOT_LISTED;
  server->all_index = NOT_LISTED;
  server->index = list_add (&choose->servers, server);
  server_t **at = bucket (choose, known->vm);
  server->chain = *at;
  *at = server;
  if (choose->servers.count >> choose->bucket_bits > 0)
    buckets_grow (choose);
  choose->ejected.room = choose->servers.count;
  choose->ejected.items = realloc (
      choose->ejected.items, choose->servers.count * sizeof (server_t *));
  return server;
}

static server_list_t *
zone_list (choose_t *choose, const server_t *server)
{
  return &choose->zones[server->known.zone];
}

static void
enlist (choose_t *choose, server_t *server)
{
  if (server->all_index != NOT_LISTED)
    return;
  server->all_index = list_add (&choose->all, server);
  server->zone_index = list_add (zone_list (choose, server), server);
}

static void
unlist (choose_t *choose, server_t *server)
{
  if (server->all_index == NOT_LISTED)
    return;
  server_t *moved = list_take (&choose->all, server->all_index);
  if (moved != NULL)
    moved->all_index = server->all_index;
  moved = list_take (zone_list (choose, server), server->zone_index);
  if (moved != NULL)
    moved->zone_index = server->zone_index;
  server->all_index = NOT_LISTED;
  server->zone_index = NOT_LISTED;
}

static void
restore (choose_t *choose, server_t *server)
{
  heap_remove (&choose->ejected, server);
  server->ejected = false;
  enlist (choose, server);
}

static void
forget_failures (choose_t *choose, server_t *server)
{
  if (server->bad)
    choose->bad_count--;
  server->bad = false;
  server->failures_in_row = 0;
  server->failure_share = 0;
}

void
choose_restore_due (choose_t *choose, int64_t now_us)
{
  server_t *server;
  while ((server = heap_top (&choose->ejected)) != NULL
         && server->eject_end_us <= now_us)
    {
      restore (choose, server);
      forget_failures (choose, server);
      server->ramp_us = now_us;
    }
}

bool
choose_in_panic (const choose_t *choose)
{
  return choose->bad_count > choose->in_count * PANIC_SHARE;
}

static void
eject (choose_t *choose, server_t *server, int64_t now_us)
{
  uint32_t most = (uint32_t)(choose->in_count * EJECTED_SHARE_MAX);
  if (choose->options.no_ejection || server->ejected
      || choose->ejected.count >= most)
    return;
  uint32_t doublings = server->ejections < EJECT_DOUBLINGS ? server->ejections
                                                           : EJECT_DOUBLINGS;
  int64_t length_us = (int64_t)EJECT_FIRST_US << doublings;
  if (length_us > EJECT_LONGEST_US)
    length_us = EJECT_LONGEST_US;
  server->ejections++;
  server->ejected = true;
  server->eject_end_us = now_us + length_us;
  unlist (choose, server);
  heap_push (&choose->ejected, server);
}

/* A server that runs nothing new keeps no latency in the average.  */
static void
forget_latency (choose_t *choose, server_t *server)
{
  if (server->latency_us <= 0)
    return;
  choose->latency_sum_us -= server->latency_us;
  choose->latency_count--;
  server->latency_us = 0;
}

static void
take_out (choose_t *choose, server_t *server)
{
  if (server->ejected)
    restore (choose, server);
  unlist (choose, server);
  forget_latency (choose, server);
  forget_failures (choose, server);
  choose->in_count--;
  server->known.out_of_service = true;
}

static void
bring_in (choose_t *choose, server_t *server, int64_t now_us)
{
  server->known.out_of_service = false;
  server->ramp_us = now_us;
  if (now_us - choose->created_us < SETTLE_US)
    server->ramp_us = now_us - CHOOSE_RAMP_US;
  server->ejections = 0;
  server->report_us = 0;
  server->window = 0;
  choose->in_count++;
  enlist (choose, server);
}

void
choose_set_server (choose_t *choose, const choose_server_t *known,
                   int64_t now_us)
{
  server_t *server = find (choose, known->vm);
  bool out = known->out_of_service;

  INVARIANT (known->zone < CHOOSE_ZONES_MAX, "zone %u", known->zone);
  if (server == NULL)
    server = server_add (choose, known);
  bool anew = server->known.incarnation != known->incarnation;
  bool moved = server->known.zone != known->zone;
  if (!server->known.out_of_service && (out || anew || moved))
    take_out (choose, server);
  bool is_in = !server->known.out_of_service;
  server->known = *known;
  server->known.out_of_service = !is_in;
  if (server->known.slots == 0)
    server->known.slots = 1;
  if (!out && !is_in)
    bring_in (choose, server, now_us);
}

void
choose_remove_server (choose_t *choose, vm_id_t vm)
{
  server_t **at = bucket (choose, vm);
  while (*at != NULL && (*at)->known.vm != vm)
    at = &(*at)->chain;
  server_t *server = *at;
  if (server == NULL)
    return;
  if (!server->known.out_of_service)
    take_out (choose, server);
  *at = server->chain;
  server_t *moved = list_take (&choose->servers, server->index);
  if (moved != NULL)
    moved->index = server->index;
  free (server);
}

void
choose_record_send (choose_t *choose, vm_id_t vm)
{
  server_t *server = find (choose, vm);
  if (server != NULL)
    server->in_flight++;
}

static void
measure_latency (choose_t *choose, server_t *server, int64_t latency_us,
                 int64_t now_us)
{
  double latency = (double)latency_us;
  if (server->known.out_of_service || latency <= 0)
    return;
  server->latency_seen_us = now_us;
  if (server->latency_us <= 0)
    {
      server->latency_us = latency;
      choose->latency_count++;
      choose->latency_sum_us += latency;
      return;
    }
  double step = (latency - server->latency_us) * LATENCY_WEIGHT;
  server->latency_us += step;
  choose->latency_sum_us += step;
}

static void
measure_failure (choose_t *choose, server_t *server, bool failed,
                 int64_t now_us)
{
  server->failures_in_row = failed ? server->failures_in_row + 1 : 0;
  server->failure_share
      += ((failed ? 1 : 0) - server->failure_share) * FAILURE_WEIGHT;
  bool bad = server->failures_in_row >= FAILURES_IN_ROW
             || server->failure_share > FAILURE_SHARE_BAD;
  if (server->known.out_of_service)
    return;
  if (bad != server->bad)
    choose->bad_count += bad ? 1 : -1;
  server->bad = bad;
  if (bad && !choose_in_panic (choose))
    eject (choose, server, now_us);
  if (choose_in_panic (choose) && heap_top (&choose->ejected) != NULL)
    restore (choose, heap_top (&choose->ejected));
}

void
choose_record_result (choose_t *choose, vm_id_t vm, run_result_t result,
                      int64_t latency_us, const choose_report_t *report,
                      int64_t now_us)
{
  server_t *server = find (choose, vm);
  if (server == NULL)
    return;
  if (server->in_flight > 0)
    server->in_flight--;
  if (report != NULL)
    {
      uint32_t own = server->in_flight;
      server->reported = report->load > own ? report->load - own : 0;
      server->window = report->window;
      server->report_us = now_us;
    }
  if (result == RUN_OK || result == RUN_SHED)
    {
      double refused = result == RUN_SHED ? 1 : 0;
      server->refusal_share
          += (refused - server->refusal_share) * REFUSAL_WEIGHT;
      server->refusal_us = now_us;
    }
  if (result == RUN_OK)
    measure_latency (choose, server, latency_us, now_us);
  if (result == RUN_OK || result == RUN_FAILED
      || result == RUN_CONNECTION_LOST)
    measure_failure (choose, server, result != RUN_OK, now_us);
}

void
choose_set_slowdown (choose_t *choose, vm_id_t vm, double slow, int64_t now_us)
{
  server_t *server = find (choose, vm);
  if (server == NULL)
    return;
  server->told_slow = slow;
  server->told_slow_us = now_us;
}

uint32_t
choose_server_count (const choose_t *choose)
{
  return choose->servers.count;
}

bool
choose_get_status (const choose_t *choose, uint32_t index, int64_t now_us,
                   choose_status_t *status)
{
  if (index >= choose->servers.count)
    return false;
  const server_t *server = choose->servers.items[index];
  *status = (choose_status_t){
    .server = server->known,
    .in_flight = server->in_flight,
    .ejected = server->ejected,
    .ramp_share = choose_ramp (choose, server, now_us),
    .latency_us = (int64_t)server->latency_us,
  };
  return true;
}
