#include "mesh/quota.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "mesh/vm_array.h"

enum
{
  RATE_AVERAGE_US = US_PER_S, /* time over which rates are averaged */
  /* After a start, until demands are averaged and links are up again.  */
  STARTUP_PERIODS_MIN = US_PER_S / QUOTA_PERIOD_US,
  /* Periods without a report of another sidecar, after which its demand is
     taken to fall as an average without arrivals does.  Reports to other zones
     are sent in every second period.  */
  SILENT_PERIODS_MAX = 2,
  /* Periods after which members that have sent no report are no longer waited
     for: they have left without notice.  */
  STARTUP_PERIODS_MAX = 5 * US_PER_S / QUOTA_PERIOD_US,
  WINDOW_PERIODS_MAX = QUOTA_WINDOW_MAX_US / QUOTA_PERIOD_US,
  ACCOUNT_CAPACITY_MIN = 16
};

/* Part of the fleet's allowance that is divided equally among the reachable
   sidecars, so that the first requests of an account are not refused at a
   sidecar that had none before.  */
static const double EQUAL_SHARE = 0.15;
/* Part of the window's remaining quota that may be spent in one period, in
   addition to what expires from the window.  What the other sidecars spend is
   known one or two periods later; a larger part would be spent twice before
   that is known.  */
static const double PERIOD_SPEND_SHARE = 0.15;
/* While the fleet's demand in a period is at most the mean admitted per period
   of the window plus this part of the window's remaining quota, random
   variation at one sidecar is no reason to refuse: each may spend its own
   demand and three standard deviations.  */
static const double LOW_DEMAND_SHARE = 0.12;
static const double LOW_DEMAND_DEVIATIONS = 3;
/* Standard deviations of what the fleet admits per period that belong to its
   bound.  */
static const double LOW_DEMAND_BOUND_DEVIATIONS = 2;
/* Otherwise a sidecar whose share is below one request may still spend one,
   with a probability of the fleet's allowance divided by the number of
   sidecars that receive a request.  This is the upper bound of that number,
   relative to all sidecars.  */
static const double RECEIVERS_MEMBER_SHARE = 0.8;
/* Number of sidecars that receive a request of the account in a period,
   relative to its requests.  It is above 1 to allow for more sidecars
   receiving one than did before.  */
static const double RECEIVERS_DEMAND_FACTOR = 1.6;

/* Part of the reachable other members that must have sent a report since the
   start before the quota is shared by demand.  */
static const double REPORTING_MEMBERS_SHARE = 0.9;

/* A change of demand above the sum of these, the ratio being of the reported
   demand, is reported even if no request was admitted.  */
static const double REPORT_CHANGE_RATIO = 0.1;
static const double REPORT_CHANGE_MIN_PER_S = 0.5;
static const double DEMAND_MIN_PER_S = 0.01; /* less counts as none */

/* Another sidecar's figures for one account.  */
typedef struct peer_account_t
{
  vm_id_t vm;
  uint64_t incarnation;
  uint32_t admitted_count;      /* as last reported */
  uint32_t admitted_since_tick; /* reported since the last period ended */
  double demand_per_s;
  double previous_demand_per_s; /* by the report before the last */
  double admitted_per_s;        /* averaged */
  uint32_t silent_periods;      /* since the last report */
} peer_account_t;

typedef struct account_t
{
  char name[NAME_BYTES];
  uint32_t hash;
  double rate_per_s;
  double burst;
  /* Ring of the window's periods: requests admitted by the whole fleet.  */
  double admitted_by_period[WINDOW_PERIODS_MAX];
  uint32_t period_count; /* in the window */
  uint32_t newest_period;
  double window_admitted; /* sum of admitted_by_period */
  double usable_share;    /* part of the limit for all reachable sidecars */
  double admitted_per_s;  /* by this sidecar, averaged */
  double allowance; /* requests that this sidecar may still admit before the
                       next period */
  /* Whether the fleet's demand was within the bound that LOW_DEMAND_SHARE sets
     when the period began.  */
  bool demand_is_low;
  /* Bound of what the fleet may admit in a period in which demand is low.  */
  double low_demand_max;
  double share_allowance;          /* of the period, by share of the demand */
  double heard_admitted;           /* by others, reported in this period */
  double last_admitted;            /* by all, reported in the last period */
  uint32_t silent_periods;         /* since this sidecar's last report */
  uint32_t arrived_count;          /* in this period */
  uint32_t admitted_count;         /* since the start */
  uint32_t admitted_count_at_tick; /* at the end of the last period */
  uint32_t reported_admitted_count;
  double demand_per_s;
  double reported_demand_per_s;
  double previous_reported_demand_per_s;
  peer_account_t *peers; /* ordered by vm */
  size_t peer_count;
} account_t;

/* Another sidecar that has reported or become unreachable.  */
typedef struct member_t
{
  vm_id_t vm;
  bool reporting; /* has sent a report since the start */
  bool unreachable;
} member_t;

struct quota_t
{
  account_t *accounts;
  size_t account_count;
  size_t account_capacity; /* a power of two, or 0 */
  /* Hash table of 2 * account_capacity indices plus 1 into accounts, by hash;
     0 is free.  */
  uint32_t *account_slots;
  member_t *members; /* ordered by vm */
  size_t known_member_count;
  size_t unreachable_member_count;
  size_t reporting_member_count;
  uint32_t member_count;        /* in the fleet, this sidecar included */
  uint32_t periods_since_start; /* at most STARTUP_PERIODS_MAX */
  int64_t last_tick_us;
  int64_t window_us;
};

uint32_t
quota_account_hash (const char *account)
{
  return (uint32_t)XXH3_64bits (account, strlen (account));
}

quota_t *
quota_new (int64_t window_us)
{
  quota_t *quota = calloc (1, sizeof *quota);
  if (quota == NULL)
    abort ();
  quota->member_count = 1;
  quota->window_us = window_us;
  return quota;
}

void
quota_free (quota_t *quota)
{
  if (quota == NULL)
    return;
  for (size_t i = 0; i < quota->account_count; i++)
    free (quota->accounts[i].peers);
  free (quota->accounts);
  free (quota->account_slots);
  free (quota->members);
  free (quota);
}

/* Returns the first account with HASH, and with NAME unless it is NULL, or
   NULL.  */
static account_t *
find_account_in_slots (const quota_t *quota, uint32_t hash, const char *name)
{
  if (quota->account_capacity == 0)
    return NULL;
  size_t mask = 2 * quota->account_capacity - 1;
  for (size_t i = hash & mask; quota->account_slots[i] != 0;
       i = (i + 1) & mask)
    {
      account_t *account = &quota->accounts[quota->account_slots[i] - 1];
      if (account->hash == hash
          && (name == NULL || strcmp (account->name, name) == 0))
        return account;
    }
  return NULL;
}

static account_t *
find_account (const quota_t *quota, const char *name)
{
  return find_account_in_slots (quota, quota_account_hash (name), name);
}

static account_t *
find_account_by_hash (const quota_t *quota, uint32_t hash)
{
  return find_account_in_slots (quota, hash, NULL);
}

static void
add_account_slot (quota_t *quota, size_t index)
{
  size_t mask = 2 * quota->account_capacity - 1;
  size_t i = quota->accounts[index].hash & mask;
  while (quota->account_slots[i] != 0)
    i = (i + 1) & mask;
  quota->account_slots[i] = (uint32_t)index + 1;
}

static void
double_account_capacity (quota_t *quota)
{
  size_t capacity = quota->account_capacity > 0 ? 2 * quota->account_capacity
                                                : ACCOUNT_CAPACITY_MIN;
  free (quota->account_slots);
  quota->accounts
      = realloc (quota->accounts, capacity * sizeof *quota->accounts);
  quota->account_slots = calloc (2 * capacity, sizeof *quota->account_slots);
  if (quota->accounts == NULL || quota->account_slots == NULL)
    abort ();
  quota->account_capacity = capacity;
  for (size_t i = 0; i < quota->account_count; i++)
    add_account_slot (quota, i);
}

static account_t *
find_or_add_account (quota_t *quota, const char *name)
{
  account_t *account = find_account (quota, name);
  if (account != NULL)
    return account;
  if (quota->account_count == quota->account_capacity)
    double_account_capacity (quota);
  account = &quota->accounts[quota->account_count];
  *account = (account_t){
    .hash = quota_account_hash (name),
    .usable_share = 1,
    .period_count = (uint32_t)(quota->window_us / QUOTA_PERIOD_US),
  };
  snprintf (account->name, sizeof account->name, "%s", name);
  add_account_slot (quota, quota->account_count++);
  return account;
}

/* Returns the member, or NULL if it is not known.  */
static member_t *
find_member (const quota_t *quota, vm_id_t vm)
{
  size_t index = vm_array_search (quota->members, quota->known_member_count,
                                  sizeof *quota->members, vm);
  return index < quota->known_member_count && quota->members[index].vm == vm
             ? &quota->members[index]
             : NULL;
}

static member_t *
find_or_add_member (quota_t *quota, vm_id_t vm)
{
  member_t *member = find_member (quota, vm);
  if (member != NULL)
    return member;
  size_t index = vm_array_search (quota->members, quota->known_member_count,
                                  sizeof *quota->members, vm);
  quota->members = vm_array_insert (quota->members, &quota->known_member_count,
                                    sizeof *quota->members, index);
  quota->members[index] = (member_t){ .vm = vm };
  return &quota->members[index];
}

static bool
is_unreachable (const quota_t *quota, vm_id_t vm)
{
  if (quota->unreachable_member_count == 0)
    return false;
  const member_t *member = find_member (quota, vm);
  return member != NULL && member->unreachable;
}

/* Part of all sidecars that is reachable, this one included.  */
static double
reachable_share (const quota_t *quota)
{
  double unreachable = (double)quota->unreachable_member_count;
  return fmax (1, quota->member_count - unreachable)
         / fmax (1, quota->member_count);
}

/* Requests of the account that all sidecars may admit in one window.  */
static double
window_limit (const account_t *account)
{
  double window_s = (double)account->period_count * QUOTA_PERIOD_US / US_PER_S;
  return account->rate_per_s * window_s + account->burst;
}

/* Sets the part of the limit that the reachable sidecars may use together, as
   of the time at which others became unreachable: what they used, and their
   share of what nobody used.  It stays constant until the set of unreachable
   sidecars changes, so that neither side of a network partition takes over the
   other's part.  */
static void
update_usable_share (const quota_t *quota, account_t *account)
{
  double window_s = (double)quota->window_us / US_PER_S;
  double limit = window_limit (account);
  double reachable = account->admitted_per_s * window_s;
  double unreachable = 0;
  account->usable_share = 1;
  if (quota->unreachable_member_count == 0 || limit <= 0)
    return;
  for (size_t i = 0; i < account->peer_count; i++)
    if (is_unreachable (quota, account->peers[i].vm))
      unreachable += account->peers[i].admitted_per_s * window_s;
    else
      reachable += account->peers[i].admitted_per_s * window_s;
  if (reachable + unreachable > limit)
    {
      account->usable_share = reachable / (reachable + unreachable);
      return;
    }
  double spare = limit - unreachable - reachable;
  account->usable_share
      = (reachable + spare * reachable_share (quota)) / limit;
}

static void
update_usable_shares (quota_t *quota)
{
  for (size_t i = 0; i < quota->account_count; i++)
    update_usable_share (quota, &quota->accounts[i]);
}

/* Demand at the reachable sidecars.  The others learn this sidecar's demand
   one period late.  Of the last two values the one that gives this sidecar the
   smaller share counts, so that the shares never add up to more than 1.  */
typedef struct fleet_demand_t
{
  double own_per_s;
  double others_per_s;
  double reported_total_per_s;  /* as last reported */
  double others_admitted_per_s; /* averaged */
} fleet_demand_t;

static fleet_demand_t
sum_fleet_demand (const quota_t *quota, const account_t *account)
{
  fleet_demand_t demand = { fmin (account->reported_demand_per_s,
                                  account->previous_reported_demand_per_s),
                            0, account->reported_demand_per_s, 0 };
  for (size_t i = 0; i < account->peer_count; i++)
    {
      const peer_account_t *peer = &account->peers[i];
      if (is_unreachable (quota, peer->vm))
        continue;
      demand.others_per_s
          += fmax (peer->demand_per_s, peer->previous_demand_per_s);
      demand.reported_total_per_s += peer->demand_per_s;
      demand.others_admitted_per_s += peer->admitted_per_s;
    }
  return demand;
}

/* This sidecar's share of what the fleet may spend, 0 to 1.  */
static double
own_share (const quota_t *quota, const fleet_demand_t *demand)
{
  double reachable = fmax (1, quota->member_count
                                  - (double)quota->unreachable_member_count);
  double total_per_s = demand->own_per_s + demand->others_per_s;
  if (total_per_s <= 0)
    return 1 / reachable;
  return EQUAL_SHARE / reachable
         + (1 - EQUAL_SHARE) * demand->own_per_s / total_per_s;
}

/* Quota in the window that remains for the reachable sidecars; negative when
   more was admitted.  */
static double
window_remaining (const account_t *account)
{
  return window_limit (account) * account->usable_share
         - account->window_admitted;
}

/* Requests that leave the window when the next period begins.  */
static double
window_expiring (const account_t *account)
{
  return account->admitted_by_period[(account->newest_period + 1)
                                     % account->period_count];
}

/* Returns the most that the fleet may admit in a period of low demand.  Few
   requests vary more.  */
static double
low_demand_bound (const account_t *account)
{
  double mean_admitted_per_period
      = account->window_admitted / account->period_count;
  return mean_admitted_per_period
         + window_remaining (account) * LOW_DEMAND_SHARE
         + LOW_DEMAND_BOUND_DEVIATIONS * sqrt (mean_admitted_per_period);
}

/* Requests that this sidecar has admitted since the period began.  */
static double
admitted_in_period (const account_t *account)
{
  return (int32_t)(account->admitted_count - account->admitted_count_at_tick);
}

/* Ends the low demand if more than its bound is known to have been admitted in
   this period.  A surge reaches all sidecars at once; waiting for the next
   period, and for the average demand to follow, would let each of them spend
   for longer what is left for all.  */
static void
check_low_demand (account_t *account)
{
  if (!account->demand_is_low
      || admitted_in_period (account) + account->heard_admitted
             <= account->low_demand_max)
    return;
  account->demand_is_low = false;
  account->allowance
      = fmin (account->allowance,
              account->share_allowance - admitted_in_period (account));
}

/* Estimates the requests that the others admitted in the last period but not
   reported yet: as many as arrived if demand was low, else as many as they
   admitted per period on average.  */
static double
estimate_unreported (const account_t *account, const fleet_demand_t *demand,
                     double period_s)
{
  return (account->demand_is_low ? demand->others_per_s
                                 : demand->others_admitted_per_s)
         * period_s;
}

/* Whether too little is known of the others to share the quota by demand.  */
static bool
is_starting_up (const quota_t *quota)
{
  double others = (double)quota->member_count - 1
                  - (double)quota->unreachable_member_count;
  if (quota->periods_since_start < STARTUP_PERIODS_MIN)
    return true;
  return quota->periods_since_start < STARTUP_PERIODS_MAX
         && (double)quota->reporting_member_count
                < others * REPORTING_MEMBERS_SHARE;
}

/* Equal share, per member, of the requests that leave the window: the
   allowance of a sidecar that is starting up and knows of no demand but its
   own.  A fraction of a request is admitted with that probability.  */
static double
equal_allowance (const quota_t *quota, const account_t *account, double draw)
{
  double share = window_expiring (account) / fmax (1, quota->member_count);
  double whole_requests = floor (share);
  return whole_requests + (draw < share - whole_requests ? 1 : 0);
}

/* Returns the number of requests of ACCOUNT that this sidecar may admit in the
   period that begins.  DRAW is a random number from [0, 1); it decides whether
   a fraction of a request becomes a whole one.  */
static double
next_allowance (const quota_t *quota, account_t *account, double draw)
{
  double period_s = (double)QUOTA_PERIOD_US / US_PER_S;
  fleet_demand_t fleet_demand = sum_fleet_demand (quota, account);
  double demand_per_period = fleet_demand.reported_total_per_s * period_s;
  double remaining = window_remaining (account)
                     - estimate_unreported (account, &fleet_demand, period_s);
  double fleet_allowance
      = window_expiring (account)
        + (remaining > 0 ? remaining * PERIOD_SPEND_SHARE : remaining);
  account->low_demand_max = low_demand_bound (account);
  /* In a surge, the average demand is behind what is admitted.  */
  double largest = fmax (demand_per_period, account->last_admitted);
  account->demand_is_low
      = !is_starting_up (quota) && largest <= account->low_demand_max;
  account->share_allowance = 0;
  if (fleet_allowance <= 0)
    return 0;
  if (is_starting_up (quota))
    return equal_allowance (quota, account, draw);
  double mean_per_s
      = fleet_demand.reported_total_per_s / fmax (1, quota->member_count);
  double own_demand
      = fmax (account->reported_demand_per_s, mean_per_s) * period_s;
  account->share_allowance
      = fleet_allowance * own_share (quota, &fleet_demand);
  if (account->demand_is_low)
    return fmax (account->share_allowance,
                 ceil (own_demand + LOW_DEMAND_DEVIATIONS * sqrt (own_demand))
                     + 1);
  double receivers = fmin (quota->member_count * RECEIVERS_MEMBER_SHARE,
                           largest * RECEIVERS_DEMAND_FACTOR);
  double one_request_probability = fleet_allowance / fmax (1, receivers);
  return fmax (account->share_allowance,
               draw < one_request_probability ? 1 : 0);
}

/* Takes the whole limit as admitted, evenly over the window.  */
static void
fill_window (account_t *account)
{
  account->window_admitted = window_limit (account);
  for (uint32_t i = 0; i < account->period_count; i++)
    account->admitted_by_period[i]
        = account->window_admitted / account->period_count;
}

void
quota_set_limit (quota_t *quota, const char *name, double rate_per_s,
                 double burst)
{
  account_t *account = find_or_add_account (quota, name);
  bool had_limit = account->rate_per_s > 0;
  if (had_limit && account->rate_per_s == rate_per_s
      && account->burst == burst)
    return;
  double previous_limit = had_limit ? window_limit (account) : INFINITY;
  account->rate_per_s = rate_per_s;
  account->burst = burst;
  if (!had_limit && rate_per_s > 0)
    fill_window (account);
  update_usable_share (quota, account);
  /* What may still be admitted in this period is within a higher limit too. */
  if (window_limit (account) < previous_limit)
    account->allowance = fmin (account->allowance, 1);
}

bool
quota_acquire (quota_t *quota, const char *name, int64_t now_us)
{
  account_t *account = find_account (quota, name);
  if (account == NULL)
    return true;
  account->arrived_count++;
  if (account->rate_per_s > 0)
    {
      if (account->allowance < 1
          || now_us - quota->last_tick_us > QUOTA_ALLOWANCE_MAX_AGE_US)
        return false;
      account->allowance -= 1;
    }
  account->admitted_count++;
  return true;
}

void
quota_refund (quota_t *quota, const char *name)
{
  account_t *account = find_account (quota, name);
  if (account == NULL || account->admitted_count == 0)
    return;
  account->admitted_count--;
  account->allowance += 1;
}

static double
moving_average (double average, double sample, double period_s)
{
  double weight = fmin (1, period_s * US_PER_S / RATE_AVERAGE_US);
  return average + (sample - average) * weight;
}

/* Updates the demand of a sidecar that has sent no report in the last period:
   without arrivals the average that it would report falls.  */
static void
decay_silent_demand (peer_account_t *peer, double period_s)
{
  if (++peer->silent_periods <= SILENT_PERIODS_MAX)
    return;
  peer->demand_per_s = moving_average (peer->demand_per_s, 0, period_s);
  peer->previous_demand_per_s = peer->demand_per_s;
}

/* Adds what all sidecars admitted in the last period to the window.  */
static void
close_period (const quota_t *quota, account_t *account, double period_s)
{
  double admitted = admitted_in_period (account);
  account->admitted_count_at_tick = account->admitted_count;
  account->admitted_per_s = moving_average (account->admitted_per_s,
                                            admitted / period_s, period_s);
  for (size_t i = 0; i < account->peer_count; i++)
    {
      peer_account_t *peer = &account->peers[i];
      if (is_unreachable (quota, peer->vm))
        continue;
      admitted += (int32_t)peer->admitted_since_tick;
      peer->admitted_per_s = moving_average (
          peer->admitted_per_s, (int32_t)peer->admitted_since_tick / period_s,
          period_s);
      peer->admitted_since_tick = 0;
      decay_silent_demand (peer, period_s);
    }
  account->last_admitted = admitted;
  account->heard_admitted = 0;
  /* Sidecars that have sent no report yet may have admitted requests that are
     not known here.  */
  if (is_starting_up (quota))
    admitted = fmax (admitted, window_limit (account) / account->period_count);
  account->newest_period
      = (account->newest_period + 1) % account->period_count;
  account->window_admitted
      += admitted - account->admitted_by_period[account->newest_period];
  account->admitted_by_period[account->newest_period] = admitted;
}

/* Updates what the others take this sidecar's demand for, as they do.  */
static void
decay_reported_demand (account_t *account, double period_s)
{
  if (++account->silent_periods > SILENT_PERIODS_MAX)
    account->reported_demand_per_s
        = moving_average (account->reported_demand_per_s, 0, period_s);
}

/* Sets the state of a sidecar that has just started.  */
static void
start_over (quota_t *quota)
{
  quota->periods_since_start = 0;
  quota->reporting_member_count = 0;
  for (size_t i = 0; i < quota->known_member_count; i++)
    quota->members[i].reporting = false;
  for (size_t i = 0; i < quota->account_count; i++)
    if (quota->accounts[i].rate_per_s > 0)
      fill_window (&quota->accounts[i]);
}

void
quota_tick (quota_t *quota, int64_t now_us, double draw, bool report_all,
            quota_report_callback_t callback, void *ctx)
{
  double period_s = (double)(now_us - quota->last_tick_us) / US_PER_S;
  if (quota->last_tick_us == 0 || period_s <= 0)
    period_s = (double)QUOTA_PERIOD_US / US_PER_S;
  if (quota->last_tick_us > 0
      && now_us - quota->last_tick_us > QUOTA_ALLOWANCE_MAX_AGE_US)
    start_over (quota);
  quota->last_tick_us = now_us;
  if (quota->periods_since_start < STARTUP_PERIODS_MAX)
    quota->periods_since_start++;
  for (size_t i = 0; i < quota->account_count; i++)
    {
      account_t *account = &quota->accounts[i];
      account->demand_per_s = moving_average (
          account->demand_per_s, account->arrived_count / period_s, period_s);
      account->arrived_count = 0;
      double change
          = fabs (account->demand_per_s - account->reported_demand_per_s);
      bool should_report
          = report_all
            || account->admitted_count != account->reported_admitted_count
            || change > REPORT_CHANGE_MIN_PER_S
                            + REPORT_CHANGE_RATIO
                                  * account->reported_demand_per_s;
      if (account->demand_per_s < DEMAND_MIN_PER_S)
        account->demand_per_s = 0;
      if (account->rate_per_s > 0)
        {
          close_period (quota, account, period_s);
          account->allowance = next_allowance (quota, account, draw);
        }
      account->previous_reported_demand_per_s = account->reported_demand_per_s;
      if (!should_report)
        {
          decay_reported_demand (account, period_s);
          continue;
        }
      account->silent_periods = 0;
      quota_report_t report
          = { account->hash, account->demand_per_s, account->admitted_count };
      account->reported_demand_per_s = account->demand_per_s;
      account->reported_admitted_count = account->admitted_count;
      callback (ctx, &report);
    }
}

static peer_account_t *
find_or_add_peer (account_t *account, vm_id_t vm)
{
  size_t index = vm_array_search (account->peers, account->peer_count,
                                  sizeof *account->peers, vm);
  if (index < account->peer_count && account->peers[index].vm == vm)
    return &account->peers[index];
  account->peers = vm_array_insert (account->peers, &account->peer_count,
                                    sizeof *account->peers, index);
  account->peers[index] = (peer_account_t){ .vm = vm };
  return &account->peers[index];
}

static uint32_t
min_u32 (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

void
quota_apply_report (quota_t *quota, vm_id_t vm, uint64_t incarnation,
                    const quota_report_t *report)
{
  account_t *account = find_account_by_hash (quota, report->account_hash);
  if (account == NULL)
    return; /* not in this sidecar's configuration yet */
  peer_account_t *peer = find_or_add_peer (account, vm);
  bool is_same_incarnation = peer->incarnation == incarnation;
  /* A sidecar counts the requests that it has admitted from its start.  After
     a restart the count begins at 0, so all of it is newly admitted.  The
     first report from a sidecar may count requests that were admitted long
     ago; at most those of its average demand are taken for new.  */
  uint32_t newly_admitted = report->admitted_count;
  if (is_same_incarnation)
    newly_admitted -= peer->admitted_count;
  else if (peer->incarnation == 0)
    newly_admitted = min_u32 (
        newly_admitted,
        (uint32_t)ceil (report->demand_per_s * RATE_AVERAGE_US / US_PER_S));
  peer->incarnation = incarnation;
  peer->admitted_count = report->admitted_count;
  peer->admitted_since_tick += newly_admitted;
  peer->previous_demand_per_s = peer->demand_per_s;
  peer->demand_per_s = report->demand_per_s;
  peer->silent_periods = 0;
  account->heard_admitted += (int32_t)newly_admitted;
  check_low_demand (account);
}

void
quota_set_unreachable (quota_t *quota, vm_id_t vm, bool unreachable)
{
  member_t *member = find_or_add_member (quota, vm);
  if (!unreachable && !member->reporting)
    {
      member->reporting = true;
      quota->reporting_member_count++;
    }
  if (member->unreachable == unreachable)
    return;
  member->unreachable = unreachable;
  if (unreachable)
    quota->unreachable_member_count++;
  else
    quota->unreachable_member_count--;
  update_usable_shares (quota);
}

void
quota_remove_member (quota_t *quota, vm_id_t vm)
{
  quota_set_unreachable (quota, vm, false);
  const member_t *member = find_member (quota, vm);
  quota->reporting_member_count--;
  vm_array_remove (quota->members, &quota->known_member_count,
                   sizeof *quota->members, (size_t)(member - quota->members));
  for (size_t i = 0; i < quota->account_count; i++)
    {
      account_t *account = &quota->accounts[i];
      size_t index = vm_array_search (account->peers, account->peer_count,
                                      sizeof *account->peers, vm);
      if (index < account->peer_count && account->peers[index].vm == vm)
        vm_array_remove (account->peers, &account->peer_count,
                         sizeof *account->peers, index);
    }
}

void
quota_set_member_count (quota_t *quota, uint32_t member_count)
{
  quota->member_count = member_count > 0 ? member_count : 1;
}
