#include "once_part.h"

#include <pthread.h>
#include <stdlib.h>

typedef struct woken_t
{
  once_token_t token;
  once_decision_t decision;
} woken_t;

/* Sendings to wake once the lock is let go.  */
typedef struct woken_list_t
{
  woken_t *items;
  size_t count;
  size_t room;
} woken_list_t;

struct once_part_t
{
  once_part_config_t config;
  pthread_mutex_t lock;
  once_t *once;
  woken_list_t woken;
};

static void
on_wake (void *ctx, once_token_t token, const once_decision_t *decision)
{
  once_part_t *part = ctx;
  woken_list_t *woken = &part->woken;

  if (woken->count == woken->room)
    {
      woken->room = woken->room ? woken->room * 2 : 8;
      woken->items
          = realloc (woken->items, woken->room * sizeof *woken->items);
    }
  woken->items[woken->count++] = (woken_t){ token, *decision };
}

static int64_t
now_us (const once_part_t *part)
{
  return clock_now_us (part->config.clock);
}

static int64_t
wall_ms (const once_part_t *part)
{
  return clock_wall_ms (part->config.clock);
}

static void
lock (once_part_t *part)
{
  pthread_mutex_lock (&part->lock);
}

/* Lets the lock go, then wakes what the call under it has ended.  */
static void
unlock (once_part_t *part)
{
  woken_list_t woken = part->woken;

  part->woken = (woken_list_t){ 0 };
  pthread_mutex_unlock (&part->lock);
  for (size_t i = 0; i < woken.count; i++)
    part->config.wake (part->config.wake_ctx, woken.items[i].token,
                       &woken.items[i].decision);
  free (woken.items);
}

once_part_t *
once_part_new (const once_part_config_t *config)
{
  once_part_t *part = calloc (1, sizeof *part);

  part->config = *config;
  pthread_mutex_init (&part->lock, NULL);
  part->once = once_new (&config->options, config->self, config->link, on_wake,
                         part, now_us (part), wall_ms (part));
  return part;
}

void
once_part_free (once_part_t *part)
{
  once_free (part->once);
  pthread_mutex_destroy (&part->lock);
  free (part->woken.items);
  free (part);
}

static void
part_receive (void *ctx, vm_id_t from, const void *data, size_t size,
              int64_t at_us)
{
  once_part_t *part = ctx;

  lock (part);
  once_receive (part->once, from, data, size, at_us, wall_ms (part));
  unlock (part);
}

static int64_t
part_tick (void *ctx, int64_t at_us)
{
  once_part_t *part = ctx;

  lock (part);
  int64_t next_us = once_tick (part->once, at_us, wall_ms (part));
  unlock (part);
  return next_us;
}

static json_t *
part_status (void *ctx)
{
  once_stats_t stats = once_part_stats (ctx);

  return json_pack (
      "{s:I,s:b,s:I,s:I,s:I,s:I,s:I,s:I}", "epoch", (json_int_t)stats.epoch,
      "acting", stats.established, "bound_ms", (json_int_t)stats.bound_ms,
      "horizon_ms", (json_int_t)stats.horizon_ms, "members",
      (json_int_t)stats.members, "records", (json_int_t)stats.records, "bytes",
      (json_int_t)stats.bytes, "handing_over", (json_int_t)stats.handing_over);
}

part_t
once_part_part (once_part_t *part)
{
  return (part_t){ .name = "once",
                   .kind = MESSAGE_ONCE,
                   .receive = part_receive,
                   .tick = part_tick,
                   .status = part_status,
                   .ctx = part };
}

void
once_part_set_members (once_part_t *part, const once_member_t *members,
                       size_t count, uint64_t epoch)
{
  lock (part);
  once_set_members (part->once, members, count, epoch, now_us (part));
  unlock (part);
}

void
once_part_force_closed (once_part_t *part, uint64_t epoch)
{
  lock (part);
  once_force_closed (part->once, epoch, wall_ms (part));
  unlock (part);
}

vm_id_t
once_part_home (once_part_t *part, const char *account, const char *route,
                const char *key, uint64_t *epoch)
{
  lock (part);
  vm_id_t home = once_home (part->once, account, route, key);
  *epoch = once_epoch (part->once);
  unlock (part);
  return home;
}

once_decision_t
once_part_begin (once_part_t *part, const once_request_t *request)
{
  lock (part);
  once_decision_t decision
      = once_begin (part->once, request, now_us (part), wall_ms (part));
  unlock (part);
  return decision;
}

once_decision_t
once_part_query (once_part_t *part, const once_request_t *request)
{
  lock (part);
  once_decision_t decision
      = once_query (part->once, request, now_us (part), wall_ms (part));
  unlock (part);
  return decision;
}

bool
once_part_may_run (once_part_t *part, once_record_t *record)
{
  lock (part);
  bool may_run = once_may_run (part->once, record, now_us (part));
  unlock (part);
  return may_run;
}

void
once_part_answered (once_part_t *part, once_record_t *record,
                    once_answer_t *answer)
{
  lock (part);
  once_answered (part->once, record, answer, now_us (part));
  unlock (part);
}

void
once_part_unknown (once_part_t *part, once_record_t *record)
{
  lock (part);
  once_unknown (part->once, record, now_us (part));
  unlock (part);
}

void
once_part_not_run (once_part_t *part, once_record_t *record, reason_t reason)
{
  lock (part);
  once_not_run (part->once, record, reason, now_us (part));
  unlock (part);
}

bool
once_part_cancel (once_part_t *part, once_record_t *record)
{
  lock (part);
  bool cancelled = once_cancel (part->once, record, now_us (part));
  unlock (part);
  return cancelled;
}

once_stats_t
once_part_stats (once_part_t *part)
{
  lock (part);
  once_stats_t stats = once_stats (part->once);
  unlock (part);
  return stats;
}

bool
once_part_has_left (once_part_t *part)
{
  lock (part);
  bool left = once_has_left (part->once);
  unlock (part);
  return left;
}
