#include "executor.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "invariant.h"

enum
{
  QUEUE_CAPACITY_DEFAULT = 2048,
  SOJOURN_LEAST_US = 20 * US_PER_MS,
  SOJOURN_MOST_US = 2 * US_PER_S,
  SOJOURN_MEANS = 5, /* while the queue does not stand */
  STANDING_SOJOURN_MEANS = 3,
  STANDING_LEAST_US = 100 * US_PER_MS,
  STANDING_MEANS = 8,
  TICK_LONGEST_US = 250 * US_PER_MS,
  CONNECTIONS_AHEAD = 4
};

static const double LATENCY_WEIGHT = 1.0 / 16;

struct executor_t
{
  executor_options_t options;
  executor_actions_t actions;
  executor_figures_t figures;
  limit_t limit;
  coldstart_t coldstart;
  level_t level;
  queue_t *queue;
  uint32_t in_flight;
  int64_t empty_us; /* when the queue was last seen empty */
  double total_us;  /* mean time in a slot, child calls included */
  double total_deviation_us;
  uint64_t refused[LIMITER_COUNT];
  uint64_t started;
  double reported_load;
};

const char *
limiter_name (limiter_t limiter)
{
  static const char *const names[LIMITER_COUNT]
      = { "slots", "connections", "latency",  "cold-start",
          "level", "account",     "deadline", "leaving" };
  return names[limiter];
}

executor_t *
executor_new (const executor_options_t *options,
              const executor_actions_t *actions, int64_t now_us)
{
  executor_t *executor = calloc (1, sizeof *executor);
  queue_options_t queue = { .capacity = options->queue_capacity,
                            .fifo = options->fifo,
                            .one_flow = options->one_flow };

  if (queue.capacity == 0)
    queue.capacity = QUEUE_CAPACITY_DEFAULT;
  executor->options = *options;
  executor->actions = *actions;
  executor->empty_us = now_us;
  executor->queue = queue_new (&queue);
  limit_init (&executor->limit, options->limit, now_us);
  coldstart_init (&executor->coldstart, options->no_coldstart, now_us);
  level_init (&executor->level, options->no_level, now_us);
  return executor;
}

void
executor_free (executor_t *executor)
{
  if (executor == NULL)
    return;
  queue_free (executor->queue);
  free (executor);
}

void
executor_announce (executor_t *executor, const executor_figures_t *figures,
                   int64_t now_us)
{
  executor->figures = *figures;
  limit_set_announced (&executor->limit, figures->slots, figures->connections);
  coldstart_set_announced (&executor->coldstart, figures->cold_slots,
                           figures->warm_us);
  executor_tick (executor, now_us);
}

void
executor_restarted (executor_t *executor, int64_t now_us)
{
  if (!executor->options.no_coldstart)
    coldstart_begin (&executor->coldstart, now_us);
  limit_reset (&executor->limit, now_us);
}

void
executor_report (executor_t *executor, double load)
{
  executor->reported_load = load;
}

static uint32_t
window (executor_t *executor, int64_t now_us)
{
  if (executor->options.no_limit)
    return executor->figures.connections > 0 ? executor->figures.connections
                                             : UINT32_MAX;
  uint32_t limit = limit_get (&executor->limit);
  uint32_t slots = executor->limit.announced_max;
  if (slots == 0)
    slots = limit;
  uint32_t cold
      = coldstart_update_window (&executor->coldstart, slots, now_us);
  return cold < limit ? cold : limit;
}

static limiter_t
window_limiter (executor_t *executor, int64_t now_us)
{
  const executor_figures_t *figures = &executor->figures;
  uint32_t now = window (executor, now_us);
  if (now < limit_get (&executor->limit))
    return LIMITER_COLDSTART;
  if (now < executor->limit.announced_max)
    return LIMITER_LATENCY;
  if (figures->connections > 0 && figures->connections <= figures->slots)
    return LIMITER_CONNECTIONS;
  return LIMITER_SLOTS;
}

static void
refuse (executor_t *executor, executor_request_t *request, reason_t reason,
        limiter_t limiter, int64_t now_us)
{
  executor_refusal_t refusal = {
    .reason = reason,
    .limiter = limiter,
    .account = request->account,
    .in_flight = executor->in_flight,
    .window = window (executor, now_us),
    .queued = queue_count (executor->queue),
    .level = executor->level.value,
  };
  INVARIANT (request->state == EXECUTOR_NEW
                 || request->state == EXECUTOR_QUEUED,
             "a request in state %d is refused as not run", request->state);
  request->state = EXECUTOR_ENDED;
  executor->refused[limiter]++;
  executor->actions.refuse (executor->actions.ctx, request, &refusal);
}

/* A queue that empties now and then only smooths bursts.  One that stands for
   some run times is overloaded (CoDel, Nichols and Jacobson, 2012).  */
static bool
queue_stands (const executor_t *executor, int64_t now_us)
{
  double bound_us
      = fmax (STANDING_LEAST_US, STANDING_MEANS * executor->total_us);
  return (double)(now_us - executor->empty_us) >= bound_us;
}

/* A request with less time left is not worth a slot: while there is more work
   than slots, what most runs need; else what few can do with.  */
static int64_t
needed_us (const executor_t *executor, int64_t now_us)
{
  if (executor->options.no_early_refusal)
    return 0;
  double margin = executor->total_deviation_us;
  if (!queue_stands (executor, now_us))
    margin = -margin;
  return (int64_t)fmax (0, executor->total_us + margin);
}

static executor_request_t *
request_of (queue_entry_t *entry)
{
  return (executor_request_t *)((char *)entry
                                - offsetof (executor_request_t, entry));
}

static void
expire (executor_t *executor, int64_t now_us)
{
  queue_entry_t *entry;
  while ((entry = queue_pop_expired (executor->queue, now_us)) != NULL)
    {
      executor_request_t *request = request_of (entry);
      bool late
          = request->deadline_us - needed_us (executor, now_us) <= now_us;
      level_record_shed (&executor->level);
      if (late)
        refuse (executor, request, REASON_DEADLINE_IN_QUEUE, LIMITER_DEADLINE,
                now_us);
      else
        refuse (executor, request, REASON_QUEUE_SOJOURN,
                window_limiter (executor, now_us), now_us);
    }
}

static void
start (executor_t *executor, executor_request_t *request, int64_t now_us)
{
  uint32_t class = queue_entry_class (&request->entry);
  INVARIANT (request->state == EXECUTOR_QUEUED, "state %d is started",
             request->state);
  INVARIANT (executor->options.fifo
                 || queue_first_class (executor->queue) >= class,
             "class %u is started while a higher one waits", class);
  request->state = EXECUTOR_RUNNING;
  request->started_us = now_us;
  executor->in_flight++;
  executor->started++;
  level_record_start (&executor->level);
  executor->actions.start (executor->actions.ctx, request);
}

static void
dispatch (executor_t *executor, int64_t now_us)
{
  uint32_t most = window (executor, now_us);

  expire (executor, now_us);
  level_tick (&executor->level, queue_count (executor->queue), most, now_us);
  if (executor->figures.leaving)
    return;
  INVARIANT (executor->options.no_limit || executor->limit.announced_max == 0
                 || most <= executor->limit.announced_max,
             "window %u is above %u", most, executor->limit.announced_max);
  while (executor->in_flight < most)
    {
      queue_entry_t *entry = queue_pop (executor->queue, now_us);
      if (entry == NULL)
        {
          level_record_idle_slot (&executor->level);
          executor->empty_us = now_us;
          return;
        }
      start (executor, request_of (entry), now_us);
    }
  if (queue_count (executor->queue) == 0)
    executor->empty_us = now_us;
}

static int64_t
sojourn_bound_us (const executor_t *executor, bool has_upstream_work,
                  int64_t now_us)
{
  /* Work is sunk in it: only its deadline drops it, the level holds off the
     ones to come.  */
  if (executor->options.no_sojourn || has_upstream_work)
    return INT64_MAX / 4;
  double means = queue_stands (executor, now_us) ? STANDING_SOJOURN_MEANS
                                                 : SOJOURN_MEANS;
  double bound = fmax (SOJOURN_LEAST_US, means * executor->total_us);
  return (int64_t)fmin (bound, SOJOURN_MOST_US);
}

static void
enqueue (executor_t *executor, executor_request_t *request, int64_t now_us)
{
  queue_entry_t *entry = &request->entry;
  entry->account = request->account;
  entry->weight = request->weight;
  entry->priority = request->priority;
  entry->has_upstream_work = request->has_upstream_work;
  entry->expires_us = request->deadline_us - needed_us (executor, now_us);
  /* An idle server is tried even if its last runs took too long.  */
  if (executor->in_flight == 0)
    entry->expires_us = request->deadline_us;
  request->state = EXECUTOR_QUEUED;
  queue_entry_t *evicted = queue_push (
      executor->queue, entry,
      sojourn_bound_us (executor, request->has_upstream_work, now_us), now_us);
  if (evicted == NULL)
    return;
  level_record_shed (&executor->level);
  executor_request_t *out = request_of (evicted);
  uint32_t left = queue_account_count (executor->queue, out->account,
                                       queue_entry_class (evicted));
  if (2 * left > queue_count (executor->queue))
    refuse (executor, out, REASON_ACCOUNT_SHARE, LIMITER_ACCOUNT, now_us);
  else
    refuse (executor, out, REASON_QUEUE_FULL,
            window_limiter (executor, now_us), now_us);
}

void
executor_offer (executor_t *executor, executor_request_t *request,
                int64_t now_us)
{
  INVARIANT (request->state == EXECUTOR_NEW, "state %d is offered",
             request->state);
  INVARIANT (request->priority < PRIORITY_COUNT, "priority %u",
             request->priority);
  level_record_arrival (&executor->level, request->priority, request->rank,
                        request->has_upstream_work);
  if (executor->figures.leaving)
    {
      refuse (executor, request, REASON_DRAINING, LIMITER_LEAVING, now_us);
      return;
    }
  /* Where work is sunk the caller has admitted it; see level.h.  */
  if (!request->has_upstream_work
      && !level_admits (executor->level.value, request->priority,
                        request->rank))
    {
      refuse (executor, request, REASON_ADMISSION_LEVEL, LIMITER_LEVEL,
              now_us);
      return;
    }
  if (executor->in_flight > 0
      && request->deadline_us - now_us <= needed_us (executor, now_us))
    {
      refuse (executor, request, REASON_DEADLINE_TOO_SHORT, LIMITER_DEADLINE,
              now_us);
      return;
    }
  enqueue (executor, request, now_us);
  dispatch (executor, now_us);
}

static void
measure_total (executor_t *executor, int64_t total_us)
{
  double total = (double)total_us;
  if (executor->total_us == 0)
    executor->total_us = total;
  double off = total - executor->total_us;
  executor->total_us += off * LATENCY_WEIGHT;
  executor->total_deviation_us
      += (fabs (off) - executor->total_deviation_us) * LATENCY_WEIGHT;
}

static void
measure (executor_t *executor, const executor_request_t *request,
         run_result_t result, int64_t own_us, int64_t now_us)
{
  limit_t *limit = &executor->limit;
  coldstart_event_t event = coldstart_record_run (
      &executor->coldstart, result, own_us, limit->baseline_us, now_us);

  if (result == RUN_OK || result == RUN_FAILED)
    measure_total (executor, now_us - request->started_us);
  if (result == RUN_OK)
    level_record_success (&executor->level);
  if (event == COLDSTART_RESTARTED && result == RUN_CONNECTION_LOST)
    limit_reset (limit, now_us);
  else if (event == COLDSTART_FALSE_POSITIVE)
    limit_reset_baseline (limit, executor->coldstart.step_mean_us, now_us);
  else
    limit_record_run (limit, result, own_us, executor->in_flight, now_us);
}

void
executor_finished (executor_t *executor, executor_request_t *request,
                   run_result_t result, int64_t own_us, int64_t now_us)
{
  INVARIANT (request->state == EXECUTOR_RUNNING, "state %d has finished",
             request->state);
  INVARIANT (executor->in_flight > 0, "more ends than starts");
  measure (executor, request, result, own_us, now_us);
  request->state = EXECUTOR_ENDED;
  executor->in_flight--;
  dispatch (executor, now_us);
}

bool
executor_cancel (executor_t *executor, executor_request_t *request)
{
  if (request->state != EXECUTOR_QUEUED)
    return false;
  queue_remove (executor->queue, &request->entry);
  request->state = EXECUTOR_ENDED;
  return true;
}

int64_t
executor_tick (executor_t *executor, int64_t now_us)
{
  dispatch (executor, now_us);
  int64_t next_us = queue_next_expiry_us (executor->queue);
  int64_t latest_us = now_us + TICK_LONGEST_US;
  return next_us < latest_us ? next_us : latest_us;
}

level_value_t
executor_level (const executor_t *executor)
{
  return executor->level.value;
}

executor_status_t
executor_explain (executor_t *executor, int64_t now_us)
{
  executor_status_t status = {
    .in_flight = executor->in_flight,
    .queued = queue_count (executor->queue),
    .window = window (executor, now_us),
    .slots = executor->figures.slots,
    .limiter = window_limiter (executor, now_us),
    .cold = executor->coldstart.cold && !executor->coldstart.disabled,
    .level = executor->level.value,
    .reported_load = executor->reported_load,
    .latency_us = limit_mean_latency_us (&executor->limit),
    .started = executor->started,
  };
  memcpy (status.refused, executor->refused, sizeof status.refused);
  return status;
}

uint32_t
executor_connections (executor_t *executor, int64_t now_us)
{
  uint32_t most = window (executor, now_us);
  uint32_t ahead = executor->in_flight / 4 + CONNECTIONS_AHEAD;
  uint32_t wanted = executor->in_flight + ahead;
  return wanted < most ? wanted : most;
}
