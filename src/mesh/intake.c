#include "mesh/intake.h"

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "invariant.h"
#include "mesh/slowdown.h"

enum
{
  /* In entries; limits memory use.  Most requests are refused earlier, because
     of the limits on waiting time.  */
  QUEUE_CAPACITY = 2048,
  /* Time between two updates of the admitted share.  The pressure is one minus
     that share.  */
  PRESSURE_PERIOD_US = 100 * US_PER_MS,
  /* Target for the wait of calls while the server is loaded.  */
  CALL_WAIT_TARGET_US = 40 * US_PER_MS,
  /* Time in which idle slots are to be filled again.  A call tree takes about
     a second; if requests were admitted faster than their load shows, the same
     idle slots would be filled twice.  */
  IDLE_REFILL_US = 1500 * US_PER_MS,
  /* Requests that a server in a cold start gets at once after an idle time. */
  COLD_START_BURST = 4,
  /* Run time assumed in a cold start before a run has ended.  */
  COLD_START_RUN_US = 100 * US_PER_MS
};

/* Share of the slots that may be in use.  Servers slow down when nearly all
   slots are, and health checks need one.  */
static const double WINDOW_SHARE = 0.95;
/* Weight of one run in a moving average.  */
static const double RUN_EWMA_WEIGHT = 1.0 / 32;
/* Changes of the admitted share in one update, relative to the share.  The
   effect of a change shows after the duration of a call tree, about a second;
   changes of more than about one half within that time cause oscillation.  */
static const double ADMIT_DECREASE_MAX = 0.06;
/* In a cold start, when idle slots are no sign of spare capacity.  */
static const double ADMIT_INCREASE_COLD = 0.03;
/* Least increase, times the headroom of the calls' wait.  */
static const double ADMIT_INCREASE_MIN = 0.004;
/* Greatest increase.  */
static const double ADMIT_INCREASE_MAX = 0.12;
/* Weight of one pressure period in the moving average of the idle share.  */
static const double IDLE_EWMA_WEIGHT = 0.3;
/* Lower bound on the used share of the window when the idle share is divided
   by it.  */
static const double USED_SHARE_DIVISOR_MIN = 0.01;
/* Some requests are always admitted, to detect that the load has fallen.  */
static const double ADMITTED_SHARE_MIN = 0.005;
/* Rate at which requests are started in a cold start, relative to the rate
   that the server can bear.  */
static const double COLD_START_RATE_FACTOR = 1.1;

struct intake_t
{
  intake_callbacks_t callbacks;
  intake_server_t server;
  heap_t call_queue; /* of backend servers, the earliest deadline first */
  queue_t *caller_queue;
  uint32_t running_count;
  int64_t queued_call_work_us; /* expected run time of all queued calls */
  int64_t queued_caller_work_us;
  double mean_run_us; /* with the momentary slowdown taken out */
  slowdown_t slowdown;
  /* Values of SLOWDOWN at the last tick, run or load figure.  */
  double slowdown_now;
  double momentary_now;
  double cold_start_tokens;
  int64_t tokens_updated_us;
  /* 1 - pressure: part of the callers' requests to admit at their entry
     points.  */
  double admitted_share;
  int64_t pressure_updated_us;
  uint32_t refused_call_count; /* since the last update of the pressure */
  int64_t busy_slot_us;        /* sum over all slots since that update */
  int64_t busy_counted_us;     /* time up to which busy_slot_us is counted */
  double idle_share;           /* of the window, averaged */
};

static bool
has_earlier_deadline (const void *a, const void *b)
{
  const intake_entry_t *x = a;
  const intake_entry_t *y = b;
  return x->deadline_us < y->deadline_us;
}

static uint32_t *
call_heap_index (void *item)
{
  return &((intake_entry_t *)item)->heap_index;
}

static void
update_slowdown (intake_t *intake, int64_t now_us)
{
  intake->slowdown_now = slowdown_now (&intake->slowdown, now_us);
  intake->momentary_now = slowdown_momentary (&intake->slowdown, now_us);
}

void
intake_record_slowdown (intake_t *intake, double figure, int64_t now_us)
{
  slowdown_record_figure (&intake->slowdown, figure, now_us);
  update_slowdown (intake, now_us);
}

intake_t *
intake_new (const intake_callbacks_t *callbacks, int64_t now_us)
{
  queue_options_t options = { .capacity = QUEUE_CAPACITY };
  intake_t *intake = calloc (1, sizeof *intake);
  if (intake == NULL)
    abort ();
  intake->callbacks = *callbacks;
  heap_init (&intake->call_queue, QUEUE_CAPACITY, has_earlier_deadline,
             call_heap_index);
  intake->caller_queue = queue_new (&options);
  intake->admitted_share = 1;
  slowdown_init (&intake->slowdown);
  update_slowdown (intake, now_us);
  intake->pressure_updated_us = now_us;
  intake->busy_counted_us = now_us;
  intake->tokens_updated_us = now_us;
  return intake;
}

void
intake_free (intake_t *intake)
{
  if (intake == NULL)
    return;
  heap_free (&intake->call_queue);
  queue_free (intake->caller_queue);
  free (intake);
}

/* The window: number of requests that may run at once.  */
static uint32_t
run_window (const intake_t *intake)
{
  uint32_t window = (uint32_t)(intake->server.slots * WINDOW_SHARE);
  return window > 0 ? window : 1;
}

bool
intake_is_cold_starting (const intake_t *intake, int64_t now_us)
{
  return intake->server.cold_start_until_us > now_us
         && intake->server.cold_start_rate_per_s > 0;
}

static void
refill_cold_start_tokens (intake_t *intake, int64_t now_us)
{
  double rate_per_s
      = intake->server.cold_start_rate_per_s * COLD_START_RATE_FACTOR;
  intake->cold_start_tokens
      += rate_per_s * (double)(now_us - intake->tokens_updated_us) / US_PER_S;
  intake->cold_start_tokens
      = fmin (intake->cold_start_tokens, COLD_START_BURST);
  intake->tokens_updated_us = now_us;
}

static int64_t
earlier_us (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Whether the server can start another run now.  */
static bool
can_start_run (intake_t *intake, int64_t now_us)
{
  if (!intake->server.available
      || intake->running_count >= run_window (intake))
    return false;
  refill_cold_start_tokens (intake, now_us);
  return !intake_is_cold_starting (intake, now_us)
         || intake->cold_start_tokens >= 1;
}

static void
count_busy_time (intake_t *intake, int64_t now_us)
{
  intake->busy_slot_us
      += intake->running_count * (now_us - intake->busy_counted_us);
  intake->busy_counted_us = now_us;
}

static void
start_run (intake_t *intake, intake_entry_t *entry, int64_t now_us)
{
  if (intake_is_cold_starting (intake, now_us))
    intake->cold_start_tokens -= 1;
  count_busy_time (intake, now_us);
  entry->running = true;
  entry->started_us = now_us;
  entry->started_momentary = slowdown_momentary (&intake->slowdown, now_us);
  intake->running_count++;
  INVARIANT (intake->running_count <= intake->server.slots,
             "%u requests run on %u slots", intake->running_count,
             intake->server.slots);
}

static intake_entry_t *
intake_entry_of (queue_entry_t *entry)
{
  return (intake_entry_t *)((char *)entry
                            - offsetof (intake_entry_t, queue_entry));
}

static uint32_t
queued_count (const intake_t *intake)
{
  return intake->call_queue.count + queue_count (intake->caller_queue);
}

/* Adds (SIGN 1) or subtracts (SIGN -1) the expected run time of ENTRY.  */
static void
adjust_queued_work (intake_t *intake, const intake_entry_t *entry, int sign)
{
  if (entry->from_backend)
    intake->queued_call_work_us += sign * entry->expected_run_us;
  else
    intake->queued_caller_work_us += sign * entry->expected_run_us;
}

/* Removes and returns the queued call with the earliest deadline, or NULL.  */
static intake_entry_t *
pop_call (intake_t *intake)
{
  intake_entry_t *entry = heap_top (&intake->call_queue);
  if (entry == NULL)
    return NULL;
  heap_remove (&intake->call_queue, entry);
  adjust_queued_work (intake, entry, -1);
  return entry;
}

/* Subtracts the work of a caller's request that was removed from its queue,
   and returns the request.  */
static intake_entry_t *
subtract_dequeued_work (intake_t *intake, queue_entry_t *entry)
{
  intake_entry_t *found = intake_entry_of (entry);
  adjust_queued_work (intake, found, -1);
  return found;
}

static void
refuse_entry (intake_t *intake, intake_entry_t *entry, cause_t cause)
{
  if (entry->from_backend)
    intake->refused_call_count++;
  intake->callbacks.on_refuse (intake->callbacks.ctx, entry, cause);
}

/* Time until a request that arrives now gets a slot: the work queued ahead of
   it and the rest of one run, divided by the slots.  In a cold start the
   request rate decides instead.  */
static int64_t
estimated_wait_us (const intake_t *intake, bool from_backend, int64_t now_us)
{
  uint32_t ahead_count
      = from_backend ? intake->call_queue.count : queued_count (intake);
  double ahead_us = (double)intake->queued_call_work_us;
  if (!from_backend)
    ahead_us += (double)intake->queued_caller_work_us;
  if (intake_is_cold_starting (intake, now_us))
    return (int64_t)((ahead_count + 1) * US_PER_S
                     / intake->server.cold_start_rate_per_s);
  if (ahead_count == 0 && intake->running_count < run_window (intake))
    return 0;
  double rest_us = intake->mean_run_us * intake->momentary_now;
  return (int64_t)((ahead_us * fmax (1, intake->slowdown_now) + rest_us)
                   / run_window (intake));
}

/* Whether the server takes no new requests at all; *CAUSE tells why.  */
static bool
is_closed (const intake_t *intake, cause_t *cause)
{
  if (intake->server.leaving)
    *cause = CAUSE_LEAVING;
  else if (intake->server.zone_out)
    *cause = CAUSE_ZONE_EVACUATED;
  else if (!intake->server.available)
    *cause = CAUSE_NO_SERVER;
  else
    return false;
  return true;
}

static void
refuse_all_queued (intake_t *intake, cause_t cause)
{
  intake_entry_t *call;
  queue_entry_t *queued_entry;
  while ((call = pop_call (intake)) != NULL)
    refuse_entry (intake, call, cause);
  while ((queued_entry = queue_pop (intake->caller_queue, 0)) != NULL)
    refuse_entry (intake, subtract_dequeued_work (intake, queued_entry),
                  cause);
}

void
intake_set_server (intake_t *intake, const intake_server_t *server,
                   int64_t now_us)
{
  cause_t cause;
  bool was_cold_starting = intake_is_cold_starting (intake, now_us);
  intake->server = *server;
  if (intake->server.slots < intake->running_count)
    intake->server.slots = intake->running_count;
  if (!was_cold_starting && intake_is_cold_starting (intake, now_us))
    {
      intake->cold_start_tokens = 0;
      intake->tokens_updated_us = now_us;
    }
  if (is_closed (intake, &cause))
    refuse_all_queued (intake, cause);
}

/* Time after which a run of ENTRY can no longer end before its deadline.  */
static int64_t
latest_start_us (const intake_t *intake, const intake_entry_t *entry)
{
  double run_us
      = (double)entry->expected_run_us * fmax (1, intake->slowdown_now);
  return entry->deadline_us - (int64_t)run_us;
}

/* Queues a call for as long as it can still end in time.  Calls with the
   earliest deadline are started first.  */
static intake_verdict_t
enqueue_call (intake_t *intake, intake_entry_t *entry, int64_t now_us,
              cause_t *cause)
{
  *cause = CAUSE_QUEUE_FULL;
  if (latest_start_us (intake, entry) <= now_us)
    *cause = CAUSE_WAIT_TOO_LONG;
  else if (intake->call_queue.count < QUEUE_CAPACITY)
    {
      heap_push (&intake->call_queue, entry);
      adjust_queued_work (intake, entry, 1);
      return INTAKE_QUEUED;
    }
  intake->refused_call_count++;
  return INTAKE_REFUSED;
}

/* Queues a caller's request only if it is expected to start soon enough.  */
static intake_verdict_t
enqueue_caller_request (intake_t *intake, intake_entry_t *entry,
                        int64_t now_us, cause_t *cause)
{
  int64_t max_wait_us = earlier_us (entry->max_wait_us,
                                    latest_start_us (intake, entry) - now_us);
  *cause = CAUSE_WAIT_TOO_LONG;
  if (estimated_wait_us (intake, false, now_us) > max_wait_us)
    {
      if (intake_is_cold_starting (intake, now_us))
        *cause = CAUSE_COLD_START;
      return INTAKE_REFUSED;
    }
  entry->queue_entry = (queue_entry_t){
    .account = entry->account_hash,
    .weight = 1,
    .priority = entry->priority,
    .expires_us = now_us + max_wait_us,
  };
  adjust_queued_work (intake, entry, 1);
  queue_entry_t *evicted = queue_push (
      intake->caller_queue, &entry->queue_entry, max_wait_us, now_us);
  *cause = CAUSE_QUEUE_FULL;
  if (evicted == NULL)
    return INTAKE_QUEUED;
  subtract_dequeued_work (intake, evicted);
  if (evicted == &entry->queue_entry)
    return INTAKE_REFUSED;
  refuse_entry (intake, intake_entry_of (evicted), CAUSE_QUEUE_FULL);
  return INTAKE_QUEUED;
}

intake_verdict_t
intake_offer (intake_t *intake, intake_entry_t *entry, int64_t now_us,
              cause_t *cause)
{
  if (is_closed (intake, cause))
    return INTAKE_REFUSED;
  if (entry->deadline_us <= now_us)
    {
      *cause = CAUSE_DEADLINE_EXCEEDED;
      return INTAKE_REFUSED;
    }
  if (entry->expected_run_us == 0)
    entry->expected_run_us = (int64_t)intake->mean_run_us;
  uint32_t ahead_count
      = entry->from_backend ? intake->call_queue.count : queued_count (intake);
  if (ahead_count == 0 && can_start_run (intake, now_us))
    {
      start_run (intake, entry, now_us);
      return INTAKE_STARTED;
    }
  return entry->from_backend
             ? enqueue_call (intake, entry, now_us, cause)
             : enqueue_caller_request (intake, entry, now_us, cause);
}

static void
start_queued (intake_t *intake, int64_t now_us)
{
  while (queued_count (intake) > 0 && can_start_run (intake, now_us))
    {
      intake_entry_t *entry = pop_call (intake);
      if (entry == NULL)
        entry = subtract_dequeued_work (
            intake, queue_pop (intake->caller_queue, now_us));
      else if (latest_start_us (intake, entry) <= now_us)
        {
          refuse_entry (intake, entry, CAUSE_WAIT_TOO_LONG);
          continue;
        }
      start_run (intake, entry, now_us);
      intake->callbacks.on_start (intake->callbacks.ctx, entry);
    }
}

static void
record_run_time (intake_t *intake, const intake_entry_t *entry, double run_us,
                 int64_t now_us)
{
  double momentary = (entry->started_momentary
                      + slowdown_momentary (&intake->slowdown, now_us))
                     / 2;
  double usual_us = run_us / momentary;
  if (intake->mean_run_us <= 0)
    intake->mean_run_us = usual_us;
  intake->mean_run_us += (usual_us - intake->mean_run_us) * RUN_EWMA_WEIGHT;
  if (entry->expected_run_us > 0)
    slowdown_record_run (&intake->slowdown,
                         run_us / (double)entry->expected_run_us, momentary);
  update_slowdown (intake, now_us);
}

void
intake_finish_run (intake_t *intake, intake_entry_t *entry, bool ran,
                   int64_t now_us)
{
  INVARIANT (entry->running, "an entry that is not running was finished");
  count_busy_time (intake, now_us);
  entry->running = false;
  intake->running_count--;
  double run_us = (double)(now_us - entry->started_us);
  if (ran)
    record_run_time (intake, entry, run_us, now_us);
  start_queued (intake, now_us);
}

void
intake_cancel_queued (intake_t *intake, intake_entry_t *entry)
{
  if (entry->from_backend)
    heap_remove (&intake->call_queue, entry);
  else
    queue_remove (intake->caller_queue, &entry->queue_entry);
  adjust_queued_work (intake, entry, -1);
}

/* Updates the moving average of the idle share of the window with the time
   since the last update of the pressure.  */
static void
update_idle_share (intake_t *intake, int64_t now_us)
{
  int64_t elapsed_us = now_us - intake->pressure_updated_us;
  count_busy_time (intake, now_us);
  double window_slot_us = (double)run_window (intake) * (double)elapsed_us;
  double idle_share
      = 1 - fmin (1, (double)intake->busy_slot_us / window_slot_us);
  intake->busy_slot_us = 0;
  intake->idle_share += (idle_share - intake->idle_share) * IDLE_EWMA_WEIGHT;
}

/* Relative increase of the admitted share in one update.  WAIT_HEADROOM is how
   far the wait of calls is below its target, 0 to 1.  */
static double
admitted_increase (const intake_t *intake, double wait_headroom)
{
  if (intake_is_cold_starting (intake, intake->pressure_updated_us))
    return ADMIT_INCREASE_COLD * wait_headroom;
  double idle_to_used_ratio
      = intake->idle_share
        / fmax (USED_SHARE_DIVISOR_MIN, 1 - intake->idle_share);
  double refill_increase
      = idle_to_used_ratio * PRESSURE_PERIOD_US / IDLE_REFILL_US;
  return fmax (ADMIT_INCREASE_MIN * wait_headroom,
               fmin (ADMIT_INCREASE_MAX, refill_increase));
}

/* Lowers the share of callers' requests that is admitted at their entry points
   while calls wait longer than the target.  Idle slots raise it, by as much as
   is needed to fill them.  The changes are factors, so that any excess of
   demand is dealt with equally fast.  */
static void
update_admitted_share (intake_t *intake)
{
  double call_wait_us
      = (double)estimated_wait_us (intake, true, intake->pressure_updated_us);
  double excess = fmin (1, call_wait_us / CALL_WAIT_TARGET_US - 1);
  if (intake->refused_call_count > 0)
    excess = 1;
  intake->refused_call_count = 0;
  if (!intake->server.available)
    excess = -1;
  if (excess > 0)
    intake->admitted_share *= 1 - excess * ADMIT_DECREASE_MAX;
  else
    intake->admitted_share *= 1 + admitted_increase (intake, -excess);
  intake->admitted_share
      = fmin (1, fmax (ADMITTED_SHARE_MIN, intake->admitted_share));
}

static void
refuse_expired_entries (intake_t *intake, int64_t now_us)
{
  queue_entry_t *expired;
  const intake_entry_t *call;
  while ((call = heap_top (&intake->call_queue)) != NULL
         && latest_start_us (intake, call) <= now_us)
    refuse_entry (intake, pop_call (intake), CAUSE_WAIT_TOO_LONG);
  while ((expired = queue_pop_expired (intake->caller_queue, now_us)) != NULL)
    refuse_entry (intake, subtract_dequeued_work (intake, expired),
                  CAUSE_WAIT_TOO_LONG);
}

/* Time at which the rate in a cold start allows the next queued request, or
   INT64_MAX when the rate holds no request back.  */
static int64_t
next_cold_start_token_us (const intake_t *intake, int64_t now_us)
{
  if (queued_count (intake) == 0 || !intake_is_cold_starting (intake, now_us)
      || intake->running_count >= run_window (intake))
    return INT64_MAX;
  double rate_per_s
      = intake->server.cold_start_rate_per_s * COLD_START_RATE_FACTOR;
  double missing_tokens = fmax (0, 1 - intake->cold_start_tokens);
  return now_us + (int64_t)(missing_tokens * US_PER_S / rate_per_s) + 1;
}

int64_t
intake_tick (intake_t *intake, int64_t now_us)
{
  update_slowdown (intake, now_us);
  start_queued (intake, now_us);
  refuse_expired_entries (intake, now_us);
  if (now_us - intake->pressure_updated_us >= PRESSURE_PERIOD_US)
    {
      update_idle_share (intake, now_us);
      slowdown_decay (&intake->slowdown);
    }
  for (; now_us - intake->pressure_updated_us >= PRESSURE_PERIOD_US;
       intake->pressure_updated_us += PRESSURE_PERIOD_US)
    update_admitted_share (intake);
  return earlier_us (next_cold_start_token_us (intake, now_us),
                     queue_next_expiry_us (intake->caller_queue));
}

/* Number of requests that run at once in a cold start, given its rate.  */
static uint32_t
cold_start_window (const intake_t *intake)
{
  double run_us
      = intake->mean_run_us > 0 ? intake->mean_run_us : COLD_START_RUN_US;
  double rate_per_s
      = intake->server.cold_start_rate_per_s * COLD_START_RATE_FACTOR;
  uint32_t window = (uint32_t)ceil (rate_per_s * run_us / US_PER_S);
  return window < run_window (intake) ? window : run_window (intake);
}

server_load_t
intake_server_load (const intake_t *intake)
{
  bool cold_starting
      = intake_is_cold_starting (intake, intake->pressure_updated_us);
  return (server_load_t){
    .running = intake->running_count,
    .queued = queued_count (intake),
    .window = cold_starting ? cold_start_window (intake) : run_window (intake),
    .pressure_permille = (uint32_t)((1 - intake->admitted_share) * 1000),
    .slowdown_permille = (uint32_t)(intake->slowdown_now * 1000),
  };
}

uint32_t
intake_momentary_permille (const intake_t *intake)
{
  return (uint32_t)(intake->momentary_now * 1000);
}

bool
intake_is_accepting (const intake_t *intake)
{
  cause_t unused_cause;
  return !is_closed (intake, &unused_cause);
}

int64_t
intake_mean_run_us (const intake_t *intake)
{
  return (int64_t)intake->mean_run_us;
}
