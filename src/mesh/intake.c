#include "mesh/intake.h"

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "invariant.h"

enum
{
  QUEUE_CAPACITY = 2048, /* entries; bounds memory, waits are bounded first */
  PRESSURE_PERIOD_US = 100 * US_PER_MS, /* between two steps of pressure */
  WAIT_AIM_US = 40 * US_PER_MS, /* of calls, while the server is loaded */
  /* In which idle slots are to be filled again: a tree of calls takes about a
     second, and what is admitted faster than it shows comes twice.  */
  REFILL_US = 1500 * US_PER_MS,
  COLD_BURST = 4, /* requests at once after a quiet time on a cold server */
  COLD_RUN_US = 100 * US_PER_MS /* of a run there, before one has ended */
};

/* Servers slow down when nearly all slots are taken; health checks take one.
 */
static const double WINDOW_SHARE = 0.95;
static const double RUN_WEIGHT = 1.0 / 32; /* of one run in the mean */
/* Bounds of one run's time for what was expected: a single one tells little.
 */
static const double SLOW_LEAST = 0.05;
static const double SLOW_MOST = 20;
/* Back to what is expected, in one step of pressure: a server that was slow
   and gets few runs for it is tried again within seconds.  */
static const double SLOW_FADE = 0.02;
/* Steps of the admitted share, as parts of itself.  A change shows after the
   time that a tree of calls takes, about a second; larger steps than about a
   half in that time swing back and forth.  */
static const double ADMIT_DOWN = 0.06;
static const double ADMIT_UP = 0.03; /* while cold, when idle says nothing */
static const double ADMIT_CREEP = 0.004;  /* while all slots are in use */
static const double ADMIT_UP_MOST = 0.12; /* while nearly all are idle */
static const double IDLE_WEIGHT = 0.3;    /* of one step in the mean */
static const double USED_LEAST = 0.01;   /* share of the slots; less is none */
static const double ADMIT_LEAST = 0.005; /* some always pass, to sense */
static const double COLD_RATE_SHARE = 1.1; /* of the rate that is borne */

struct intake_t
{
  intake_callbacks_t actions;
  intake_server_t server;
  heap_t calls; /* of backend servers, the earliest deadline first */
  queue_t *callers;
  uint32_t running;
  int64_t calls_work_us; /* that is queued */
  int64_t callers_work_us;
  double run_us;
  double slow; /* mean of the runs' time for what was expected of them */
  double cold_tokens;
  int64_t cold_us; /* when cold_tokens were last counted */
  double admitted; /* share of the callers' requests */
  int64_t pressure_us;
  uint32_t calls_refused; /* since the last step of pressure */
  int64_t busy_us;        /* of all slots, since the last step */
  int64_t counted_us;     /* up to when */
  double idle;            /* share of the window, averaged */
};

static bool
due_before (const void *a, const void *b)
{
  const intake_entry_t *x = a;
  const intake_entry_t *y = b;
  return x->deadline_us < y->deadline_us;
}

static uint32_t *
call_place (void *item)
{
  return &((intake_entry_t *)item)->heap_index;
}

intake_t *
intake_new (const intake_callbacks_t *actions, int64_t now_us)
{
  queue_options_t options = { .capacity = QUEUE_CAPACITY };
  intake_t *intake = calloc (1, sizeof *intake);
  if (intake == NULL)
    abort ();
  intake->actions = *actions;
  heap_init (&intake->calls, QUEUE_CAPACITY, due_before, call_place);
  intake->callers = queue_new (&options);
  intake->admitted = 1;
  intake->slow = 1;
  intake->pressure_us = now_us;
  intake->counted_us = now_us;
  intake->cold_us = now_us;
  return intake;
}

void
intake_free (intake_t *intake)
{
  if (intake == NULL)
    return;
  heap_free (&intake->calls);
  queue_free (intake->callers);
  free (intake);
}

static uint32_t
window (const intake_t *intake)
{
  uint32_t most = (uint32_t)(intake->server.slots * WINDOW_SHARE);
  return most > 0 ? most : 1;
}

bool
intake_is_cold_starting (const intake_t *intake, int64_t now_us)
{
  return intake->server.cold_start_until_us > now_us
         && intake->server.cold_start_rate_per_s > 0;
}

static void
cold_refill (intake_t *intake, int64_t now_us)
{
  double rate = intake->server.cold_start_rate_per_s * COLD_RATE_SHARE;
  intake->cold_tokens += rate * (double)(now_us - intake->cold_us) / US_PER_S;
  intake->cold_tokens = fmin (intake->cold_tokens, COLD_BURST);
  intake->cold_us = now_us;
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Whether the server can take one more now.  */
static bool
has_room (intake_t *intake, int64_t now_us)
{
  if (!intake->server.available || intake->running >= window (intake))
    return false;
  cold_refill (intake, now_us);
  return !intake_is_cold_starting (intake, now_us) || intake->cold_tokens >= 1;
}

static void
count_busy (intake_t *intake, int64_t now_us)
{
  intake->busy_us += intake->running * (now_us - intake->counted_us);
  intake->counted_us = now_us;
}

static void
start (intake_t *intake, intake_entry_t *entry, int64_t now_us)
{
  if (intake_is_cold_starting (intake, now_us))
    intake->cold_tokens -= 1;
  count_busy (intake, now_us);
  entry->running = true;
  entry->started_us = now_us;
  intake->running++;
  INVARIANT (intake->running <= intake->server.slots, "%u run on %u slots",
             intake->running, intake->server.slots);
}

static intake_entry_t *
from_queue (queue_entry_t *entry)
{
  return (intake_entry_t *)((char *)entry
                            - offsetof (intake_entry_t, queue_entry));
}

static uint32_t
queued (const intake_t *intake)
{
  return intake->calls.count + queue_count (intake->callers);
}

static void
count_work (intake_t *intake, const intake_entry_t *entry, int sign)
{
  if (entry->from_backend)
    intake->calls_work_us += sign * entry->expected_run_us;
  else
    intake->callers_work_us += sign * entry->expected_run_us;
}

/* The call that is due first, taken off its queue, or NULL.  */
static intake_entry_t *
take_call (intake_t *intake)
{
  intake_entry_t *entry = heap_top (&intake->calls);
  if (entry == NULL)
    return NULL;
  heap_remove (&intake->calls, entry);
  count_work (intake, entry, -1);
  return entry;
}

/* A caller's request that has left its queue.  */
static intake_entry_t *
taken_off (intake_t *intake, queue_entry_t *entry)
{
  intake_entry_t *found = from_queue (entry);
  count_work (intake, found, -1);
  return found;
}

static void
refuse (intake_t *intake, intake_entry_t *entry, cause_t cause)
{
  if (entry->from_backend)
    intake->calls_refused++;
  intake->actions.on_refuse (intake->actions.ctx, entry, cause);
}

/* Until a request that comes now gets a slot: the work ahead of it, and the
   rest of one run, spread over the slots.  */
static int64_t
wait_us (const intake_t *intake, bool from_backend, int64_t now_us)
{
  uint32_t ahead = from_backend ? intake->calls.count : queued (intake);
  double ahead_us = (double)intake->calls_work_us;
  if (!from_backend)
    ahead_us += (double)intake->callers_work_us;
  if (intake_is_cold_starting (intake, now_us))
    return (int64_t)((ahead + 1) * US_PER_S
                     / intake->server.cold_start_rate_per_s);
  if (ahead == 0 && intake->running < window (intake))
    return 0;
  return (int64_t)((ahead_us * fmax (1, intake->slow) + intake->run_us)
                   / window (intake));
}

/* Why the server takes nothing at all.  */
static bool
is_shut (const intake_t *intake, cause_t *cause)
{
  if (intake->server.leaving)
    *cause = CAUSE_LEAVING;
  else if (intake->server.zone_out)
    *cause = CAUSE_ZONE_OUT;
  else if (!intake->server.available)
    *cause = CAUSE_NO_SERVER;
  else
    return false;
  return true;
}

static void
refuse_all (intake_t *intake, cause_t cause)
{
  intake_entry_t *call;
  queue_entry_t *next;
  while ((call = take_call (intake)) != NULL)
    refuse (intake, call, cause);
  while ((next = queue_pop (intake->callers, 0)) != NULL)
    refuse (intake, taken_off (intake, next), cause);
}

void
intake_set_server (intake_t *intake, const intake_server_t *server,
                   int64_t now_us)
{
  cause_t cause;
  bool was_cold = intake_is_cold_starting (intake, now_us);
  intake->server = *server;
  if (intake->server.slots < intake->running)
    intake->server.slots = intake->running;
  if (!was_cold && intake_is_cold_starting (intake, now_us))
    {
      intake->cold_tokens = 0;
      intake->cold_us = now_us;
    }
  if (is_shut (intake, &cause))
    refuse_all (intake, cause);
}

/* When the run can no longer end in time.  */
static int64_t
hopeless_us (const intake_t *intake, const intake_entry_t *entry)
{
  double run_us = (double)entry->expected_run_us * fmax (1, intake->slow);
  return entry->deadline_us - (int64_t)run_us;
}

/* Calls wait as long as they are of use: those of the oldest requests, on
   which most work hangs, go first.  */
static intake_verdict_t
queue_call (intake_t *intake, intake_entry_t *entry, int64_t now_us,
            cause_t *cause)
{
  *cause = CAUSE_QUEUE_FULL;
  if (hopeless_us (intake, entry) <= now_us)
    *cause = CAUSE_WAIT_TOO_LONG;
  else if (intake->calls.count < QUEUE_CAPACITY)
    {
      heap_push (&intake->calls, entry);
      count_work (intake, entry, 1);
      return INTAKE_QUEUED;
    }
  intake->calls_refused++;
  return INTAKE_REFUSED;
}

/* A caller's request waits only if its turn comes soon enough.  */
static intake_verdict_t
queue_caller (intake_t *intake, intake_entry_t *entry, int64_t now_us,
              cause_t *cause)
{
  int64_t bound_us
      = earlier (entry->max_wait_us, hopeless_us (intake, entry) - now_us);
  *cause = CAUSE_WAIT_TOO_LONG;
  if (wait_us (intake, false, now_us) > bound_us)
    {
      if (intake_is_cold_starting (intake, now_us))
        *cause = CAUSE_COLD;
      return INTAKE_REFUSED;
    }
  entry->queue_entry = (queue_entry_t){
    .account = entry->account_hash,
    .weight = 1,
    .priority = entry->priority,
    .expire_us = now_us + bound_us,
  };
  count_work (intake, entry, 1);
  queue_entry_t *evicted
      = queue_push (intake->callers, &entry->queue_entry, bound_us, now_us);
  *cause = CAUSE_QUEUE_FULL;
  if (evicted == NULL)
    return INTAKE_QUEUED;
  taken_off (intake, evicted);
  if (evicted == &entry->queue_entry)
    return INTAKE_REFUSED;
  refuse (intake, from_queue (evicted), CAUSE_QUEUE_FULL);
  return INTAKE_QUEUED;
}

intake_verdict_t
intake_offer (intake_t *intake, intake_entry_t *entry, int64_t now_us,
              cause_t *cause)
{
  if (is_shut (intake, cause))
    return INTAKE_REFUSED;
  if (entry->deadline_us <= now_us)
    {
      *cause = CAUSE_DEADLINE;
      return INTAKE_REFUSED;
    }
  if (entry->expected_run_us == 0)
    entry->expected_run_us = (int64_t)intake->run_us;
  uint32_t ahead = entry->from_backend ? intake->calls.count : queued (intake);
  if (ahead == 0 && has_room (intake, now_us))
    {
      start (intake, entry, now_us);
      return INTAKE_STARTED;
    }
  return entry->from_backend ? queue_call (intake, entry, now_us, cause)
                             : queue_caller (intake, entry, now_us, cause);
}

static void
start_waiting (intake_t *intake, int64_t now_us)
{
  while (queued (intake) > 0 && has_room (intake, now_us))
    {
      intake_entry_t *entry = take_call (intake);
      if (entry == NULL)
        entry = taken_off (intake, queue_pop (intake->callers, now_us));
      else if (hopeless_us (intake, entry) <= now_us)
        {
          refuse (intake, entry, CAUSE_WAIT_TOO_LONG);
          continue;
        }
      start (intake, entry, now_us);
      intake->actions.on_start (intake->actions.ctx, entry);
    }
}

static void
measure_run (intake_t *intake, const intake_entry_t *entry, double run_us)
{
  if (intake->run_us <= 0)
    intake->run_us = run_us;
  intake->run_us += (run_us - intake->run_us) * RUN_WEIGHT;
  if (entry->expected_run_us <= 0)
    return;
  double slow = run_us / (double)entry->expected_run_us;
  slow = fmin (SLOW_MOST, fmax (SLOW_LEAST, slow));
  intake->slow += (slow - intake->slow) * RUN_WEIGHT;
}

void
intake_finish_run (intake_t *intake, intake_entry_t *entry, bool ran,
                   int64_t now_us)
{
  INVARIANT (entry->running, "an entry that does not run has finished");
  count_busy (intake, now_us);
  entry->running = false;
  intake->running--;
  double run_us = (double)(now_us - entry->started_us);
  if (ran)
    measure_run (intake, entry, run_us);
  start_waiting (intake, now_us);
}

void
intake_cancel_queued (intake_t *intake, intake_entry_t *entry)
{
  if (entry->from_backend)
    heap_remove (&intake->calls, entry);
  else
    queue_remove (intake->callers, &entry->queue_entry);
  count_work (intake, entry, -1);
}

/* The share of the slots that was idle since it was last measured.  */
static void
measure_idle (intake_t *intake, int64_t now_us)
{
  int64_t span_us = now_us - intake->pressure_us;
  count_busy (intake, now_us);
  double most_us = (double)window (intake) * (double)span_us;
  double idle = 1 - fmin (1, (double)intake->busy_us / most_us);
  intake->busy_us = 0;
  intake->idle += (idle - intake->idle) * IDLE_WEIGHT;
}

/* The step up, WAIT_ROOM being what is left to the aim, 0 to 1.  */
static double
step_up (const intake_t *intake, double wait_room)
{
  if (intake_is_cold_starting (intake, intake->pressure_us))
    return ADMIT_UP * wait_room;
  double missing = intake->idle / fmax (USED_LEAST, 1 - intake->idle);
  double refill = missing * PRESSURE_PERIOD_US / REFILL_US;
  return fmax (ADMIT_CREEP * wait_room, fmin (ADMIT_UP_MOST, refill));
}

/* Calls that wait longer than is aimed at lower the share of callers'
   requests that is admitted at their entry points.  Idle slots raise it, by
   as much as fills them.  By factors, so that any surplus of demand is met
   equally fast.  */
static void
step_pressure (intake_t *intake)
{
  double wait = (double)wait_us (intake, true, intake->pressure_us);
  double excess = fmin (1, wait / WAIT_AIM_US - 1);
  if (intake->calls_refused > 0)
    excess = 1;
  intake->calls_refused = 0;
  if (!intake->server.available)
    excess = -1;
  if (excess > 0)
    intake->admitted *= 1 - excess * ADMIT_DOWN;
  else
    intake->admitted *= 1 + step_up (intake, -excess);
  intake->admitted = fmin (1, fmax (ADMIT_LEAST, intake->admitted));
}

static void
refuse_expired (intake_t *intake, int64_t now_us)
{
  queue_entry_t *expired;
  const intake_entry_t *call;
  while ((call = heap_top (&intake->calls)) != NULL
         && hopeless_us (intake, call) <= now_us)
    refuse (intake, take_call (intake), CAUSE_WAIT_TOO_LONG);
  while ((expired = queue_expired (intake->callers, now_us)) != NULL)
    refuse (intake, taken_off (intake, expired), CAUSE_WAIT_TOO_LONG);
}

/* When a cold server bears the next request.  */
static int64_t
next_token_us (const intake_t *intake, int64_t now_us)
{
  if (queued (intake) == 0 || !intake_is_cold_starting (intake, now_us)
      || intake->running >= window (intake))
    return INT64_MAX;
  double rate = intake->server.cold_start_rate_per_s * COLD_RATE_SHARE;
  double missing = fmax (0, 1 - intake->cold_tokens);
  return now_us + (int64_t)(missing * US_PER_S / rate) + 1;
}

int64_t
intake_tick (intake_t *intake, int64_t now_us)
{
  start_waiting (intake, now_us);
  refuse_expired (intake, now_us);
  if (now_us - intake->pressure_us >= PRESSURE_PERIOD_US)
    {
      measure_idle (intake, now_us);
      intake->slow += (1 - intake->slow) * SLOW_FADE;
    }
  for (; now_us - intake->pressure_us >= PRESSURE_PERIOD_US;
       intake->pressure_us += PRESSURE_PERIOD_US)
    step_pressure (intake);
  return earlier (next_token_us (intake, now_us),
                  queue_next_expiry_us (intake->callers));
}

/* What runs at once on a cold server, by its rate.  */
static uint32_t
cold_window (const intake_t *intake)
{
  double run_us = intake->run_us > 0 ? intake->run_us : COLD_RUN_US;
  double rate = intake->server.cold_start_rate_per_s * COLD_RATE_SHARE;
  uint32_t most = (uint32_t)ceil (rate * run_us / US_PER_S);
  return most < window (intake) ? most : window (intake);
}

server_load_t
intake_server_load (const intake_t *intake)
{
  bool cold = intake_is_cold_starting (intake, intake->pressure_us);
  return (server_load_t){
    .running = intake->running,
    .queued = queued (intake),
    .window = cold ? cold_window (intake) : window (intake),
    .pressure_permille = (uint32_t)((1 - intake->admitted) * 1000),
    .slowdown_permille = (uint32_t)(intake->slow * 1000),
  };
}

bool
intake_is_accepting (const intake_t *intake)
{
  cause_t cause;
  return !is_shut (intake, &cause);
}

int64_t
intake_mean_run_us (const intake_t *intake)
{
  return (int64_t)intake->run_us;
}
