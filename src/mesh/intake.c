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
  COLD_BURST = 4 /* requests at once after a quiet time on a cold server */
};

/* Servers slow down when nearly all slots are taken; health checks take one.
 */
static const double WINDOW_SHARE = 0.95;
static const double RUN_WEIGHT = 1.0 / 32; /* of one run in the mean */
/* Steps of the admitted share, as parts of itself.  A change shows after the
   time that a tree of calls takes, about a second; larger steps than about a
   half in that time swing back and forth.  */
static const double ADMIT_DOWN = 0.06;
static const double ADMIT_UP = 0.03;
static const double ADMIT_LEAST = 0.005; /* some always pass, to sense */
static const double COLD_RATE_SHARE = 1.1; /* of the rate that is borne */

struct intake_t
{
  intake_actions_t actions;
  intake_server_t server;
  queue_t *calls; /* of backend servers */
  queue_t *callers;
  uint32_t running;
  int64_t calls_work_us; /* that is queued */
  int64_t callers_work_us;
  double run_us;
  double cold_tokens;
  int64_t cold_us; /* when cold_tokens were last counted */
  double admitted; /* share of the callers' requests */
  int64_t pressure_us;
  uint32_t calls_refused; /* since the last step of pressure */
};

intake_t *
intake_new (const intake_actions_t *actions, int64_t now_us)
{
  queue_options_t options = { .capacity = QUEUE_CAPACITY };
  intake_t *intake = calloc (1, sizeof *intake);
  if (intake == NULL)
    abort ();
  intake->actions = *actions;
  intake->calls = queue_new (&options);
  intake->callers = queue_new (&options);
  intake->admitted = 1;
  intake->pressure_us = now_us;
  intake->cold_us = now_us;
  return intake;
}

void
intake_free (intake_t *intake)
{
  if (intake == NULL)
    return;
  queue_free (intake->calls);
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
intake_is_cold (const intake_t *intake, int64_t now_us)
{
  return intake->server.cold_until_us > now_us
         && intake->server.cold_per_s > 0;
}

static void
cold_refill (intake_t *intake, int64_t now_us)
{
  double rate = intake->server.cold_per_s * COLD_RATE_SHARE;
  intake->cold_tokens
      += rate * (double)(now_us - intake->cold_us) / US_PER_S;
  intake->cold_tokens = fmin (intake->cold_tokens, COLD_BURST);
  intake->cold_us = now_us;
}

/* Whether the server can take one more now.  */
static bool
has_room (intake_t *intake, int64_t now_us)
{
  if (!intake->server.known || intake->running >= window (intake))
    return false;
  cold_refill (intake, now_us);
  return !intake_is_cold (intake, now_us) || intake->cold_tokens >= 1;
}

static void
start (intake_t *intake, intake_entry_t *entry, int64_t now_us)
{
  if (intake_is_cold (intake, now_us))
    intake->cold_tokens -= 1;
  entry->running = true;
  entry->started_us = now_us;
  intake->running++;
  INVARIANT (intake->running <= intake->server.slots,
             "%u run on %u slots", intake->running, intake->server.slots);
}

static intake_entry_t *
from_queue (queue_entry_t *entry)
{
  return (intake_entry_t *)((char *)entry - offsetof (intake_entry_t, entry));
}

static queue_t *
queue_of (const intake_t *intake, const intake_entry_t *entry)
{
  return entry->from_backend ? intake->calls : intake->callers;
}

static uint32_t
queued (const intake_t *intake)
{
  return queue_count (intake->calls) + queue_count (intake->callers);
}

static void
count_work (intake_t *intake, const intake_entry_t *entry, int sign)
{
  if (entry->from_backend)
    intake->calls_work_us += sign * entry->expected_us;
  else
    intake->callers_work_us += sign * entry->expected_us;
}

static intake_entry_t *
dequeued (intake_t *intake, queue_entry_t *entry)
{
  if (entry == NULL)
    return NULL;
  intake_entry_t *found = from_queue (entry);
  count_work (intake, found, -1);
  return found;
}

static void
refuse (intake_t *intake, intake_entry_t *entry, cause_t cause)
{
  if (entry->from_backend)
    intake->calls_refused++;
  intake->actions.refuse (intake->actions.ctx, entry, cause);
}

/* Until a request that comes now gets a slot: the work ahead of it, and the
   rest of one run, spread over the slots.  */
static int64_t
wait_us (const intake_t *intake, bool from_backend, int64_t now_us)
{
  uint32_t ahead
      = from_backend ? queue_count (intake->calls) : queued (intake);
  double ahead_us = (double)intake->calls_work_us;
  if (!from_backend)
    ahead_us += (double)intake->callers_work_us;
  if (intake_is_cold (intake, now_us))
    return (int64_t)((ahead + 1) * US_PER_S / intake->server.cold_per_s);
  if (ahead == 0 && intake->running < window (intake))
    return 0;
  return (int64_t)((ahead_us + intake->run_us) / window (intake));
}

/* Why the server takes nothing at all.  */
static bool
is_shut (const intake_t *intake, cause_t *cause)
{
  if (intake->server.leaving)
    *cause = CAUSE_LEAVING;
  else if (intake->server.zone_out)
    *cause = CAUSE_ZONE_OUT;
  else if (!intake->server.known)
    *cause = CAUSE_NO_SERVER;
  else
    return false;
  return true;
}

static void
refuse_all (intake_t *intake, queue_t *queue, cause_t cause)
{
  queue_entry_t *next;
  while ((next = queue_pop (queue, 0)) != NULL)
    refuse (intake, dequeued (intake, next), cause);
}

void
intake_set_server (intake_t *intake, const intake_server_t *server,
                   int64_t now_us)
{
  cause_t cause;
  bool was_cold = intake_is_cold (intake, now_us);
  intake->server = *server;
  if (intake->server.slots < intake->running)
    intake->server.slots = intake->running;
  if (!was_cold && intake_is_cold (intake, now_us))
    {
      intake->cold_tokens = 0;
      intake->cold_us = now_us;
    }
  if (!is_shut (intake, &cause))
    return;
  refuse_all (intake, intake->calls, cause);
  refuse_all (intake, intake->callers, cause);
}

/* Longest useful wait: the run itself must still fit.  */
static int64_t
wait_bound_us (const intake_entry_t *entry, int64_t now_us)
{
  int64_t left_us = entry->deadline_us - now_us - entry->expected_us;
  return left_us < entry->wait_us ? left_us : entry->wait_us;
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
  if (entry->expected_us == 0)
    entry->expected_us = (int64_t)intake->run_us;
  if (queue_count (queue_of (intake, entry)) == 0
      && has_room (intake, now_us))
    {
      start (intake, entry, now_us);
      return INTAKE_START;
    }
  int64_t bound_us = wait_bound_us (entry, now_us);
  if (wait_us (intake, entry->from_backend, now_us) > bound_us)
    {
      *cause = intake_is_cold (intake, now_us) ? CAUSE_COLD
                                               : CAUSE_WAIT_TOO_LONG;
      if (entry->from_backend)
        intake->calls_refused++;
      return INTAKE_REFUSED;
    }
  entry->entry = (queue_entry_t){
    .account = entry->from_backend ? 0 : entry->account,
    .weight = 1,
    .priority = entry->from_backend ? 0 : entry->priority,
    .work_sunk = entry->from_backend,
    .expire_us = now_us + bound_us,
  };
  count_work (intake, entry, 1);
  queue_entry_t *evicted
      = queue_push (queue_of (intake, entry), &entry->entry, bound_us,
                    now_us);
  if (evicted == &entry->entry)
    {
      dequeued (intake, evicted);
      *cause = CAUSE_QUEUE_FULL;
      return INTAKE_REFUSED;
    }
  if (evicted != NULL)
    refuse (intake, dequeued (intake, evicted), CAUSE_QUEUE_FULL);
  return INTAKE_QUEUED;
}

static bool
start_next (intake_t *intake, queue_t *queue, int64_t now_us)
{
  if (queue_count (queue) == 0 || !has_room (intake, now_us))
    return false;
  intake_entry_t *entry = dequeued (intake, queue_pop (queue, now_us));
  start (intake, entry, now_us);
  intake->actions.start (intake->actions.ctx, entry);
  return true;
}

static void
start_waiting (intake_t *intake, int64_t now_us)
{
  while (start_next (intake, intake->calls, now_us)
         || start_next (intake, intake->callers, now_us))
    ;
}

void
intake_finished (intake_t *intake, intake_entry_t *entry, bool ran,
                 int64_t now_us)
{
  INVARIANT (entry->running, "an entry that does not run has finished");
  entry->running = false;
  intake->running--;
  double run_us = (double)(now_us - entry->started_us);
  if (ran && intake->run_us <= 0)
    intake->run_us = run_us;
  else if (ran)
    intake->run_us += (run_us - intake->run_us) * RUN_WEIGHT;
  start_waiting (intake, now_us);
}

void
intake_withdraw (intake_t *intake, intake_entry_t *entry)
{
  queue_remove (queue_of (intake, entry), &entry->entry);
  dequeued (intake, &entry->entry);
}

/* Calls that wait longer than is aimed at lower the share of callers'
   requests that is admitted at their entry points, shorter waits raise it.
   By factors, so that any surplus of demand is met equally fast.  */
static void
step_pressure (intake_t *intake)
{
  double wait = (double)wait_us (intake, true, intake->pressure_us);
  double excess = fmin (1, wait / WAIT_AIM_US - 1);
  if (intake->calls_refused > 0)
    excess = 1;
  intake->calls_refused = 0;
  if (!intake->server.known)
    excess = -1;
  intake->admitted *= 1 - excess * (excess > 0 ? ADMIT_DOWN : ADMIT_UP);
  intake->admitted = fmin (1, fmax (ADMIT_LEAST, intake->admitted));
}

static void
refuse_expired (intake_t *intake, queue_t *queue, int64_t now_us)
{
  queue_entry_t *expired;
  while ((expired = queue_expired (queue, now_us)) != NULL)
    refuse (intake, dequeued (intake, expired), CAUSE_WAIT_TOO_LONG);
}

/* When a cold server bears the next request.  */
static int64_t
next_token_us (const intake_t *intake, int64_t now_us)
{
  if (queued (intake) == 0 || !intake_is_cold (intake, now_us)
      || intake->running >= window (intake))
    return INT64_MAX;
  double rate = intake->server.cold_per_s * COLD_RATE_SHARE;
  double missing = fmax (0, 1 - intake->cold_tokens);
  return now_us + (int64_t)(missing * US_PER_S / rate) + 1;
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

int64_t
intake_tick (intake_t *intake, int64_t now_us)
{
  start_waiting (intake, now_us);
  refuse_expired (intake, intake->calls, now_us);
  refuse_expired (intake, intake->callers, now_us);
  for (; now_us - intake->pressure_us >= PRESSURE_PERIOD_US;
       intake->pressure_us += PRESSURE_PERIOD_US)
    step_pressure (intake);
  return earlier (next_token_us (intake, now_us),
                  earlier (queue_next_expiry_us (intake->calls),
                           queue_next_expiry_us (intake->callers)));
}

server_load_t
intake_load (const intake_t *intake)
{
  return (server_load_t){
    .running = intake->running,
    .queued = queued (intake),
    .window = window (intake),
    .pressure_permille = (uint32_t)((1 - intake->admitted) * 1000),
  };
}

int64_t
intake_run_us (const intake_t *intake)
{
  return (int64_t)intake->run_us;
}
