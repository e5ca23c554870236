#include "choose_impl.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "invariant.h"

enum
{
  NOT_IN_LIST = UINT32_MAX,
  INITIAL_DISCOVERY_US = 2 * US_PER_S,
  EJECTION_MIN_US = US_PER_S,
  EJECTION_MAX_US = 30 * US_PER_S,
  EJECTION_DOUBLINGS_MAX = 5,
  CONSECUTIVE_FAILURES_MIN = 5,
  BUCKET_BITS_INITIAL = 4
};

static const double EJECTED_SHARE_MAX = 1.0 / 3;
static const double PANIC_FAILING_SHARE = 0.5;
static const double LATENCY_WEIGHT = 1.0 / 8;
static const double RUN_TIME_WEIGHT = 1.0 / 32;
static const double REFUSAL_WEIGHT = 1.0 / 8;
static const double FAILURE_WEIGHT = 1.0 / 16;
static const double FAILING_SHARE_MIN = 0.5;

static bool
ejection_ends_before (const void *a, const void *b)
{
  const server_t *x = a;
  const server_t *y = b;
  return x->ejection_end_us < y->ejection_end_us;
}

static uint32_t *
ejection_heap_index (void *item)
{
  return &((server_t *)item)->ejection_heap_index;
}

static uint32_t
list_add (server_list_t *list, server_t *server)
{
  if (list->count == list->capacity)
    {
      list->capacity = list->capacity ? 2 * list->capacity : 4;
      list->items
          = realloc (list->items, list->capacity * sizeof (server_t *));
    }
  list->items[list->count] = server;
  return list->count++;
}

/* Moves the last server to INDEX and returns it, or NULL if INDEX was the
   last.  */
static server_t *
list_remove_at (server_list_t *list, uint32_t index)
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
  choose->bucket_bits = BUCKET_BITS_INITIAL;
  choose->buckets
      = calloc ((size_t)1 << BUCKET_BITS_INITIAL, sizeof (server_t *));
  heap_init (&choose->ejected, 1, ejection_ends_before, ejection_heap_index);
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
    free (choose->eligible_by_zone[i].items);
  free (choose->servers.items);
  free (choose->eligible.items);
  heap_free (&choose->ejected);
  free (choose->buckets);
  free (choose);
}

static server_t **
find_bucket (const choose_t *choose, vm_id_t vm)
{
  uint64_t hash = vm * 0x9e3779b97f4a7c15ULL;
  return &choose->buckets[hash >> (64 - choose->bucket_bits)];
}

static server_t *
find_server (const choose_t *choose, vm_id_t vm)
{
  server_t *server = *find_bucket (choose, vm);
  while (server != NULL && server->info.vm != vm)
    server = server->hash_next;
  return server;
}

/* Doubles the number of buckets.  Its cost depends on the number of servers,
   not of requests.  */
static void
grow_buckets (choose_t *choose)
{
  free (choose->buckets);
  choose->bucket_bits++;
  choose->buckets
      = calloc ((size_t)1 << choose->bucket_bits, sizeof (server_t *));
  for (uint32_t i = 0; i < choose->servers.count; i++)
    {
      server_t *server = choose->servers.items[i];
      server_t **link = find_bucket (choose, server->info.vm);
      server->hash_next = *link;
      *link = server;
    }
}

static server_t *
add_server (choose_t *choose, const choose_server_t *info)
{
  server_t *server = calloc (1, sizeof *server);
  server->info = *info;
  server->info.out_of_service = true; /* until put_in_service */
  server->zone_index = NOT_IN_LIST;
  server->eligible_index = NOT_IN_LIST;
  server->index = list_add (&choose->servers, server);
  server_t **link = find_bucket (choose, info->vm);
  server->hash_next = *link;
  *link = server;
  if (choose->servers.count >> choose->bucket_bits > 0)
    grow_buckets (choose);
  choose->ejected.room = choose->servers.count;
  choose->ejected.items = realloc (
      choose->ejected.items, choose->servers.count * sizeof (server_t *));
  return server;
}

static server_list_t *
find_zone_list (choose_t *choose, const server_t *server)
{
  return &choose->eligible_by_zone[server->info.zone];
}

static void
add_to_eligible (choose_t *choose, server_t *server)
{
  if (server->eligible_index != NOT_IN_LIST)
    return;
  server->eligible_index = list_add (&choose->eligible, server);
  server->zone_index = list_add (find_zone_list (choose, server), server);
}

static void
remove_from_eligible (choose_t *choose, server_t *server)
{
  if (server->eligible_index == NOT_IN_LIST)
    return;
  server_t *moved = list_remove_at (&choose->eligible, server->eligible_index);
  if (moved != NULL)
    moved->eligible_index = server->eligible_index;
  moved = list_remove_at (find_zone_list (choose, server), server->zone_index);
  if (moved != NULL)
    moved->zone_index = server->zone_index;
  server->eligible_index = NOT_IN_LIST;
  server->zone_index = NOT_IN_LIST;
}

static void
end_ejection (choose_t *choose, server_t *server)
{
  heap_remove (&choose->ejected, server);
  server->ejected = false;
  add_to_eligible (choose, server);
}

static void
reset_failures (choose_t *choose, server_t *server)
{
  if (server->failing)
    choose->failing_count--;
  server->failing = false;
  server->consecutive_failures = 0;
  server->failure_share = 0;
}

void
choose_end_expired_ejections (choose_t *choose, int64_t now_us)
{
  server_t *server;
  while ((server = heap_top (&choose->ejected)) != NULL
         && server->ejection_end_us <= now_us)
    {
      end_ejection (choose, server);
      reset_failures (choose, server);
      server->ramp_start_us = now_us;
    }
}

bool
choose_in_panic (const choose_t *choose)
{
  return choose->failing_count
         > choose->in_service_count * PANIC_FAILING_SHARE;
}

static void
eject (choose_t *choose, server_t *server, int64_t now_us)
{
  uint32_t ejected_max
      = (uint32_t)(choose->in_service_count * EJECTED_SHARE_MAX);
  if (choose->options.no_ejection || server->ejected
      || choose->ejected.count >= ejected_max)
    return;
  uint32_t doubling_count = server->ejection_count < EJECTION_DOUBLINGS_MAX
                                ? server->ejection_count
                                : EJECTION_DOUBLINGS_MAX;
  int64_t duration_us = (int64_t)EJECTION_MIN_US << doubling_count;
  if (duration_us > EJECTION_MAX_US)
    duration_us = EJECTION_MAX_US;
  server->ejection_count++;
  server->ejected = true;
  server->ejection_end_us = now_us + duration_us;
  remove_from_eligible (choose, server);
  heap_push (&choose->ejected, server);
}

/* A server that gets no new runs has no part in the mean latency.  */
static void
reset_latency (choose_t *choose, server_t *server)
{
  if (server->latency_us <= 0)
    return;
  choose->latency_sum_us -= server->latency_us;
  choose->latency_count--;
  server->latency_us = 0;
}

static void
take_out_of_service (choose_t *choose, server_t *server)
{
  if (server->ejected)
    end_ejection (choose, server);
  remove_from_eligible (choose, server);
  reset_latency (choose, server);
  reset_failures (choose, server);
  choose->in_service_count--;
  server->info.out_of_service = true;
}

static void
put_in_service (choose_t *choose, server_t *server, int64_t now_us)
{
  server->info.out_of_service = false;
  server->ramp_start_us = now_us;
  if (now_us - choose->created_us < INITIAL_DISCOVERY_US)
    server->ramp_start_us = now_us - CHOOSE_RAMP_US;
  server->ejection_count = 0;
  server->report_us = 0;
  server->window = 0;
  load_estimate_reset (&server->estimate);
  choose->in_service_count++;
  add_to_eligible (choose, server);
}

void
choose_set_server (choose_t *choose, const choose_server_t *info,
                   int64_t now_us)
{
  server_t *server = find_server (choose, info->vm);
  bool out_of_service = info->out_of_service;

  INVARIANT (info->zone < CHOOSE_ZONES_MAX, "zone %u", info->zone);
  if (server == NULL)
    server = add_server (choose, info);
  bool restarted = server->info.incarnation != info->incarnation;
  bool zone_changed = server->info.zone != info->zone;
  if (!server->info.out_of_service
      && (out_of_service || restarted || zone_changed))
    take_out_of_service (choose, server);
  bool was_in_service = !server->info.out_of_service;
  server->info = *info;
  server->info.out_of_service = !was_in_service;
  if (server->info.slots == 0)
    server->info.slots = 1;
  if (!out_of_service && !was_in_service)
    put_in_service (choose, server, now_us);
}

void
choose_remove_server (choose_t *choose, vm_id_t vm)
{
  server_t **link = find_bucket (choose, vm);
  while (*link != NULL && (*link)->info.vm != vm)
    link = &(*link)->hash_next;
  server_t *server = *link;
  if (server == NULL)
    return;
  if (!server->info.out_of_service)
    take_out_of_service (choose, server);
  *link = server->hash_next;
  server_t *moved = list_remove_at (&choose->servers, server->index);
  if (moved != NULL)
    moved->index = server->index;
  free (server);
}

void
choose_record_send (choose_t *choose, vm_id_t vm)
{
  server_t *server = find_server (choose, vm);
  if (server == NULL)
    return;
  server->in_flight++;
  load_estimate_send (&server->estimate);
}

static void
record_latency (choose_t *choose, server_t *server, int64_t latency_us,
                int64_t now_us)
{
  double latency = (double)latency_us;
  if (server->info.out_of_service || latency <= 0)
    return;
  server->latency_updated_us = now_us;
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
record_outcome (choose_t *choose, server_t *server, bool failed,
                int64_t now_us)
{
  server->consecutive_failures = failed ? server->consecutive_failures + 1 : 0;
  server->failure_share
      += ((failed ? 1 : 0) - server->failure_share) * FAILURE_WEIGHT;
  bool failing = server->consecutive_failures >= CONSECUTIVE_FAILURES_MIN
                 || server->failure_share > FAILING_SHARE_MIN;
  if (server->info.out_of_service)
    return;
  if (failing != server->failing)
    choose->failing_count += failing ? 1 : -1;
  server->failing = failing;
  if (failing && !choose_in_panic (choose))
    eject (choose, server, now_us);
  if (choose_in_panic (choose) && heap_top (&choose->ejected) != NULL)
    end_ejection (choose, heap_top (&choose->ejected));
}

void
choose_record_result (choose_t *choose, vm_id_t vm, run_result_t result,
                      int64_t latency_us, const choose_report_t *report,
                      int64_t now_us)
{
  server_t *server = find_server (choose, vm);
  if (server == NULL)
    return;
  if (server->in_flight > 0)
    server->in_flight--;
  if (report != NULL)
    {
      uint32_t own_in_flight = server->in_flight;
      server->other_load = report->pending_count > own_in_flight
                               ? report->pending_count - own_in_flight
                               : 0;
      server->window = report->window;
      server->report_us = now_us;
      load_estimate_report (&server->estimate, report->pending_count,
                            report->window, now_us);
    }
  if (result == RUN_OK || result == RUN_SHED)
    {
      double refused = result == RUN_SHED ? 1 : 0;
      server->refusal_share
          += (refused - server->refusal_share) * REFUSAL_WEIGHT;
      server->refusal_updated_us = now_us;
    }
  if (result == RUN_OK)
    record_latency (choose, server, latency_us, now_us);
  if (result == RUN_OK || result == RUN_FAILED
      || result == RUN_CONNECTION_LOST)
    record_outcome (choose, server, result != RUN_OK, now_us);
}

void
choose_set_slowdown (choose_t *choose, vm_id_t vm, double slowdown,
                     int64_t now_us)
{
  server_t *server = find_server (choose, vm);
  if (server != NULL)
    load_estimate_report_slowdown (&server->estimate, slowdown, now_us);
}

void
choose_record_load (choose_t *choose, vm_id_t vm,
                    const choose_report_t *report, int64_t now_us)
{
  server_t *server = find_server (choose, vm);
  if (server != NULL)
    load_estimate_report (&server->estimate, report->pending_count,
                          report->window, now_us);
}

void
choose_record_run_time (choose_t *choose, int64_t run_us)
{
  if (choose->mean_run_us <= 0)
    choose->mean_run_us = (double)run_us;
  choose->mean_run_us
      += ((double)run_us - choose->mean_run_us) * RUN_TIME_WEIGHT;
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
    .server = server->info,
    .in_flight = server->in_flight,
    .ejected = server->ejected,
    .ramp_share = choose_ramp_share (choose, server, now_us),
    .latency_us = (int64_t)server->latency_us,
  };
  return true;
}
