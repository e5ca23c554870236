#include "mesh/quota.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"

enum
{
  AVERAGE_US = US_PER_S, /* over which rates are averaged */
  /* After a start, until demands are averaged and links are up again.  */
  FIRST_PERIODS = US_PER_S / QUOTA_PERIOD_US,
  /* Who has not been heard by then has gone without a word.  */
  NEW_PERIODS = 5 * US_PER_S / QUOTA_PERIOD_US,
  SLOTS_MOST = QUOTA_WINDOW_MAX_US / QUOTA_PERIOD_US
};

/* Part of a rate that goes to all sidecars alike, so that the first requests
   of an account are not refused where none came before.  */
static const double EVEN_SHARE = 0.15;
/* Of what the window has left, spent in one period at most, beside what goes
   out of it.  What the others spend is known one or two periods later; a
   larger part would be spent twice before that shows.  */
static const double PERIOD_SHARE = 0.15;
/* While the fleet's demand in a period is below this part of what the window
   has left, chance at one sidecar is no reason to refuse: each may spend its
   own demand and three standard deviations.  */
static const double CALM_SHARE = 0.12;
static const double CALM_DEVIATIONS = 3;
/* Otherwise a sidecar whose part is below one request may still spend one, if
   the fleet may spend this many for each sidecar.  */
static const double WHOLE_SHARE = 0.8;
/* Sidecars that see a request of the account in a period, as a part of its
   requests: above one, for the chance that more come than did.  */
static const double TAKERS_SHARE = 1.6;

/* Of the members; while fewer have been heard since the start, the others'
   demand is unknown.  */
static const double HEARD_SHARE = 0.9;

/* Change of demand that is worth telling by itself.  */
static const double TOLD_CHANGE = 0.1;
static const double TOLD_LEAST = 0.5;    /* a second */
static const double DEMAND_LEAST = 0.01; /* a second; less is none */

typedef struct peer_account_t
{
  vm_id_t vm;
  uint64_t incarnation;
  uint32_t admitted;
  uint32_t since; /* admitted since the last period */
  double demand_per_s;
  double demand_before;  /* as told before */
  double admitted_per_s; /* averaged */
} peer_account_t;

typedef struct account_t
{
  char name[NAME_BYTES];
  uint32_t number;
  double rate_per_s;
  double burst;
  double window[SLOTS_MOST]; /* admitted by the whole fleet, by period */
  uint32_t slots;            /* of the window */
  uint32_t slot;             /* the newest */
  double spent;              /* sum of the window */
  double usable; /* part of the limit that the sidecars heard may use */
  double admitted_per_s;    /* here, averaged */
  double allowance;         /* of this sidecar until the next period */
  bool calm;                /* demand was well inside the limit */
  uint32_t arrived;         /* in this period */
  uint32_t admitted;        /* since the start */
  uint32_t admitted_before; /* as of the last period */
  uint32_t admitted_told;
  double demand_per_s;
  double told_per_s;
  double told_before;
  peer_account_t *peers;
  size_t peer_count;
} account_t;

typedef struct silent_t
{
  vm_id_t vm;
} silent_t;

struct quota_t
{
  account_t *accounts;
  size_t count;
  silent_t *silent;
  size_t silent_count;
  vm_id_t *heard; /* since the start */
  size_t heard_count;
  uint32_t members;
  uint32_t periods; /* since the start, up to NEW_PERIODS */
  int64_t tick_us;
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
  quota->members = 1;
  quota->window_us = window_us;
  return quota;
}

void
quota_free (quota_t *quota)
{
  if (quota == NULL)
    return;
  for (size_t i = 0; i < quota->count; i++)
    free (quota->accounts[i].peers);
  free (quota->accounts);
  free (quota->silent);
  free (quota->heard);
  free (quota);
}

static account_t *
find (const quota_t *quota, const char *name)
{
  for (size_t i = 0; i < quota->count; i++)
    if (strcmp (quota->accounts[i].name, name) == 0)
      return &quota->accounts[i];
  return NULL;
}

static account_t *
find_or_add (quota_t *quota, const char *name)
{
  account_t *account = find (quota, name);
  if (account != NULL)
    return account;
  quota->accounts = realloc (quota->accounts,
                             (quota->count + 1) * sizeof *quota->accounts);
  if (quota->accounts == NULL)
    abort ();
  account = &quota->accounts[quota->count++];
  *account = (account_t){
    .usable = 1,
    .slots = (uint32_t)(quota->window_us / QUOTA_PERIOD_US),
  };
  snprintf (account->name, sizeof account->name, "%s", name);
  account->number = quota_account_hash (name);
  return account;
}

static account_t *
find_number (const quota_t *quota, uint32_t number)
{
  for (size_t i = 0; i < quota->count; i++)
    if (quota->accounts[i].number == number)
      return &quota->accounts[i];
  return NULL;
}

static bool
is_silent (const quota_t *quota, vm_id_t vm)
{
  for (size_t i = 0; i < quota->silent_count; i++)
    if (quota->silent[i].vm == vm)
      return true;
  return false;
}

/* Sidecars that are heard, this one included, as a part of all.  */
static double
heard_share (const quota_t *quota)
{
  double silent = (double)quota->silent_count;
  return fmax (1, quota->members - silent) / fmax (1, quota->members);
}

/* What the account may have in one window, at all sidecars.  */
static double
window_limit (const account_t *account)
{
  double window_s = (double)account->slots * QUOTA_PERIOD_US / US_PER_S;
  return account->rate_per_s * window_s + account->burst;
}

/* Sets what the sidecars that are heard may use together, as of the moment at
   which some fell silent: what they used, and their part of what nobody did.
   It stays until the set of silent ones changes, so that neither side of a
   cut grows into the other's part.  */
static void
divide (const quota_t *quota, account_t *account)
{
  double window_s = (double)quota->window_us / US_PER_S;
  double limit = window_limit (account);
  double heard = account->admitted_per_s * window_s;
  double silent = 0;
  account->usable = 1;
  if (quota->silent_count == 0 || limit <= 0)
    return;
  for (size_t i = 0; i < account->peer_count; i++)
    if (is_silent (quota, account->peers[i].vm))
      silent += account->peers[i].admitted_per_s * window_s;
    else
      heard += account->peers[i].admitted_per_s * window_s;
  if (heard + silent > limit)
    {
      account->usable = heard / (heard + silent);
      return;
    }
  double spare = limit - silent - heard;
  account->usable = (heard + spare * heard_share (quota)) / limit;
}

static void
divide_all (quota_t *quota)
{
  for (size_t i = 0; i < quota->count; i++)
    divide (quota, &quota->accounts[i]);
}

/* Demand of the sidecars that are heard.  The others know of this one's a
   period late; of two values the one that gives this sidecar less counts, so
   that the parts never add up to more than all.  */
typedef struct demand_view_t
{
  double own_per_s;
  double others_per_s;
  double all_now_per_s;  /* as last told */
  double admitted_per_s; /* by the others, averaged */
} demand_view_t;

static demand_view_t
demand_view (const quota_t *quota, const account_t *account)
{
  demand_view_t view = { fmin (account->told_per_s, account->told_before), 0,
                         account->told_per_s, 0 };
  for (size_t i = 0; i < account->peer_count; i++)
    {
      const peer_account_t *peer = &account->peers[i];
      if (is_silent (quota, peer->vm))
        continue;
      view.others_per_s += fmax (peer->demand_per_s, peer->demand_before);
      view.all_now_per_s += peer->demand_per_s;
      view.admitted_per_s += peer->admitted_per_s;
    }
  return view;
}

/* This sidecar's part of what the fleet may spend, 0 to 1.  */
static double
own_share (const quota_t *quota, const demand_view_t *view)
{
  double heard = fmax (1, quota->members - (double)quota->silent_count);
  double all = view->own_per_s + view->others_per_s;
  if (all <= 0)
    return 1 / heard;
  return EVEN_SHARE / heard + (1 - EVEN_SHARE) * view->own_per_s / all;
}

/* What the window has left for the sidecars that are heard.  */
static double
window_room (const account_t *account)
{
  return window_limit (account) * account->usable - account->spent;
}

/* What goes out of the window with the period that begins.  */
static double
window_leaving (const account_t *account)
{
  return account->window[(account->slot + 1) % account->slots];
}

static bool
is_calm (const account_t *account, double demand)
{
  double leaving = account->spent / account->slots;
  return demand <= leaving + window_room (account) * CALM_SHARE;
}

/* What the others have admitted in the last period and not told yet: all that
   came while demand was calm, about as much as before otherwise.  */
static double
untold (const account_t *account, const demand_view_t *view, double period_s)
{
  return (account->calm ? view->others_per_s : view->admitted_per_s)
         * period_s;
}

/* Whether too little is known of the others to share by demand.  */
static bool
is_new (const quota_t *quota)
{
  double others = (double)quota->members - 1 - (double)quota->silent_count;
  if (quota->periods < FIRST_PERIODS)
    return true;
  return quota->periods < NEW_PERIODS
         && (double)quota->heard_count < others * HEARD_SHARE;
}

/* The fleet's part for each member alike: what a sidecar may admit that knows
   of no demand but its own.  */
static double
even_allowance (const quota_t *quota, const account_t *account, double draw)
{
  double part = window_leaving (account) / fmax (1, quota->members);
  double whole = floor (part);
  return whole + (draw < part - whole ? 1 : 0);
}

/* What this sidecar may admit in it.  */
static double
next_allowance (const quota_t *quota, account_t *account, double draw)
{
  double period_s = (double)QUOTA_PERIOD_US / US_PER_S;
  demand_view_t view = demand_view (quota, account);
  double demand = view.all_now_per_s * period_s;
  double room = window_room (account) - untold (account, &view, period_s);
  double fleet
      = window_leaving (account) + (room > 0 ? room * PERIOD_SHARE : room);
  account->calm = !is_new (quota) && is_calm (account, demand);
  if (fleet <= 0)
    return 0;
  if (is_new (quota))
    return even_allowance (quota, account, draw);
  double mean = view.all_now_per_s / fmax (1, quota->members);
  double own = fmax (account->told_per_s, mean) * period_s;
  double part = fleet * own_share (quota, &view);
  if (account->calm)
    return fmax (part, own + CALM_DEVIATIONS * sqrt (own) + 1);
  double takers = fmin (quota->members * WHOLE_SHARE, demand * TAKERS_SHARE);
  double whole = fleet / fmax (1, takers);
  return fmax (part, draw < whole ? 1 : 0);
}

static void
fill_window (account_t *account)
{
  account->spent = window_limit (account);
  for (uint32_t i = 0; i < account->slots; i++)
    account->window[i] = account->spent / account->slots;
}

void
quota_set_limit (quota_t *quota, const char *name, double rate_per_s,
                 double burst)
{
  account_t *account = find_or_add (quota, name);
  bool had = account->rate_per_s > 0;
  if (had && account->rate_per_s == rate_per_s && account->burst == burst)
    return;
  account->rate_per_s = rate_per_s;
  account->burst = burst;
  if (!had && rate_per_s > 0)
    fill_window (account);
  divide (quota, account);
  account->allowance = fmin (account->allowance, 1);
}

bool
quota_acquire (quota_t *quota, const char *name)
{
  account_t *account = find (quota, name);
  if (account == NULL)
    return true;
  account->arrived++;
  if (account->rate_per_s > 0)
    {
      if (account->allowance < 1)
        return false;
      account->allowance -= 1;
    }
  account->admitted++;
  return true;
}

void
quota_refund (quota_t *quota, const char *name)
{
  account_t *account = find (quota, name);
  if (account == NULL || account->admitted == 0)
    return;
  account->admitted--;
  account->allowance += 1;
}

static double
averaged (double before, double sample, double period_s)
{
  double weight = fmin (1, period_s * US_PER_S / AVERAGE_US);
  return before + (sample - before) * weight;
}

/* Enters what was admitted everywhere in the last period into the window.  */
static void
settle (const quota_t *quota, account_t *account, double period_s)
{
  double spent = (int32_t)(account->admitted - account->admitted_before);
  account->admitted_before = account->admitted;
  account->admitted_per_s
      = averaged (account->admitted_per_s, spent / period_s, period_s);
  for (size_t i = 0; i < account->peer_count; i++)
    {
      peer_account_t *peer = &account->peers[i];
      if (is_silent (quota, peer->vm))
        continue;
      spent += (int32_t)peer->since;
      peer->admitted_per_s = averaged (
          peer->admitted_per_s, (int32_t)peer->since / period_s, period_s);
      peer->since = 0;
    }
  /* Those that are not heard yet have spent their parts unseen.  */
  if (is_new (quota))
    spent = fmax (spent, window_limit (account) / account->slots);
  account->slot = (account->slot + 1) % account->slots;
  account->spent += spent - account->window[account->slot];
  account->window[account->slot] = spent;
}

void
quota_tick (quota_t *quota, int64_t now_us, double draw, bool all,
            quota_report_callback_t visit, void *ctx)
{
  double period_s = (double)(now_us - quota->tick_us) / US_PER_S;
  if (quota->tick_us == 0 || period_s <= 0)
    period_s = (double)QUOTA_PERIOD_US / US_PER_S;
  quota->tick_us = now_us;
  if (quota->periods < NEW_PERIODS)
    quota->periods++;
  for (size_t i = 0; i < quota->count; i++)
    {
      account_t *account = &quota->accounts[i];
      account->demand_per_s = averaged (account->demand_per_s,
                                        account->arrived / period_s, period_s);
      account->arrived = 0;
      double change = fabs (account->demand_per_s - account->told_per_s);
      bool tell = all || account->admitted != account->admitted_told
                  || change > TOLD_LEAST + TOLD_CHANGE * account->told_per_s;
      if (account->demand_per_s < DEMAND_LEAST)
        account->demand_per_s = 0;
      if (account->rate_per_s > 0)
        {
          settle (quota, account, period_s);
          account->allowance = next_allowance (quota, account, draw);
        }
      account->told_before = account->told_per_s;
      if (!tell)
        continue;
      quota_report_t news
          = { account->number, account->demand_per_s, account->admitted };
      account->told_per_s = account->demand_per_s;
      account->admitted_told = account->admitted;
      visit (ctx, &news);
    }
}

static peer_account_t *
peer_find_or_add (account_t *account, vm_id_t vm)
{
  for (size_t i = 0; i < account->peer_count; i++)
    if (account->peers[i].vm == vm)
      return &account->peers[i];
  account->peers = realloc (account->peers, (account->peer_count + 1)
                                                * sizeof *account->peers);
  if (account->peers == NULL)
    abort ();
  peer_account_t *peer = &account->peers[account->peer_count++];
  *peer = (peer_account_t){ .vm = vm };
  return peer;
}

void
quota_apply_report (quota_t *quota, vm_id_t vm, uint64_t incarnation,
                    const quota_report_t *news)
{
  account_t *account = find_number (quota, news->account_hash);
  if (account == NULL)
    return; /* not in this sidecar's configuration yet */
  peer_account_t *peer = peer_find_or_add (account, vm);
  bool known = peer->incarnation == incarnation;
  /* All that a new process has admitted is news; what an old one admitted
     before it was first heard is not.  */
  uint32_t since = known ? news->admitted_count - peer->admitted
                   : peer->incarnation != 0 ? news->admitted_count
                                            : 0;
  peer->incarnation = incarnation;
  peer->admitted = news->admitted_count;
  peer->since += since;
  peer->demand_before = peer->demand_per_s;
  peer->demand_per_s = news->demand_per_s;
}

static void
note_heard (quota_t *quota, vm_id_t vm)
{
  for (size_t i = 0; i < quota->heard_count; i++)
    if (quota->heard[i] == vm)
      return;
  quota->heard = realloc (quota->heard,
                          (quota->heard_count + 1) * sizeof *quota->heard);
  if (quota->heard == NULL)
    abort ();
  quota->heard[quota->heard_count++] = vm;
}

void
quota_set_unreachable (quota_t *quota, vm_id_t vm, bool silent)
{
  if (!silent)
    note_heard (quota, vm);
  for (size_t i = 0; i < quota->silent_count; i++)
    if (quota->silent[i].vm == vm)
      {
        if (!silent)
          {
            quota->silent[i] = quota->silent[--quota->silent_count];
            divide_all (quota);
          }
        return;
      }
  if (!silent)
    return;
  quota->silent = realloc (quota->silent,
                           (quota->silent_count + 1) * sizeof *quota->silent);
  if (quota->silent == NULL)
    abort ();
  quota->silent[quota->silent_count++].vm = vm;
  divide_all (quota);
}

void
quota_remove_member (quota_t *quota, vm_id_t vm)
{
  quota_set_unreachable (quota, vm, false);
  for (size_t i = 0; i < quota->heard_count; i++)
    if (quota->heard[i] == vm)
      quota->heard[i] = quota->heard[--quota->heard_count];
  for (size_t i = 0; i < quota->count; i++)
    {
      account_t *account = &quota->accounts[i];
      for (size_t j = 0; j < account->peer_count; j++)
        if (account->peers[j].vm == vm)
          account->peers[j] = account->peers[--account->peer_count];
    }
}

void
quota_set_member_count (quota_t *quota, uint32_t members)
{
  quota->members = members > 0 ? members : 1;
}
