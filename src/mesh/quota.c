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
  SLOTS = QUOTA_WINDOW_US / QUOTA_PERIOD_US
};

/* Part of a rate that goes to all sidecars alike, so that the first requests
   of an account are not refused where none came before.  */
static const double EVEN_SHARE = 0.15;
/* Of what the window has left, spent in one period at most: an account beyond
   its rate is served evenly, not in one go at the window's start.  */
static const double PERIOD_SHARE = 0.3;
/* A sidecar whose part is below one request may still spend one, if as much is
   left as this share of the fleet's number.  What is overdrawn by it counts in
   the window like all else.  */
static const double WHOLE_REQUEST_SHARE = 0.25;

/* Change of demand that is worth telling by itself.  */
static const double TOLD_CHANGE = 0.1;
static const double DEMAND_LEAST = 0.01; /* a second; less is none */

typedef struct peer_account_t
{
  vm_id_t vm;
  uint64_t incarnation;
  uint32_t admitted;
  uint32_t since; /* admitted since the last period */
  double demand_per_s;
  double admitted_per_s; /* averaged */
} peer_account_t;

typedef struct account_t
{
  char name[NAME_BYTES];
  uint32_t number;
  double rate_per_s;
  double burst;
  double window[SLOTS]; /* admitted by the whole fleet, by period */
  uint32_t slot;        /* the newest */
  double spent;         /* sum of the window */
  double allowance; /* of this sidecar until the next period */
  uint32_t arrived;  /* in this period */
  uint32_t admitted; /* since the start */
  uint32_t admitted_before; /* as of the last period */
  uint32_t admitted_told;
  double demand_per_s;
  double told_per_s;
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
  uint32_t members;
  int64_t tick_us;
};

uint32_t
quota_number (const char *account)
{
  return (uint32_t)XXH3_64bits (account, strlen (account));
}

quota_t *
quota_new (void)
{
  quota_t *quota = calloc (1, sizeof *quota);
  if (quota == NULL)
    abort ();
  quota->members = 1;
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
  *account = (account_t){ .rate_per_s = 0 };
  snprintf (account->name, sizeof account->name, "%s", name);
  account->number = quota_number (name);
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

/* Requests a second that the silent sidecars are taken to go on with.  */
static double
silent_rate (const quota_t *quota, const account_t *account)
{
  double sum = 0;
  for (size_t i = 0; i < account->peer_count; i++)
    if (is_silent (quota, account->peers[i].vm))
      sum += account->peers[i].admitted_per_s;
  return sum;
}

static double
heard_rate (const quota_t *quota, const account_t *account)
{
  double sum = 0;
  for (size_t i = 0; i < account->peer_count; i++)
    if (!is_silent (quota, account->peers[i].vm))
      sum += account->peers[i].admitted_per_s;
  return sum;
}

/* What the account may have in one window, at all sidecars.  */
static double
window_limit (const account_t *account)
{
  return account->rate_per_s * QUOTA_WINDOW_US / US_PER_S + account->burst;
}

/* The same for the sidecars that are heard together.  */
static double
usable_limit (const quota_t *quota, const account_t *account)
{
  double limit = window_limit (account);
  if (quota->silent_count == 0)
    return limit;
  double window_s = (double)QUOTA_WINDOW_US / US_PER_S;
  double silent = silent_rate (quota, account) * window_s;
  double heard = heard_rate (quota, account) * window_s;
  double spare = fmax (0, limit - silent - heard);
  return fmin (limit, heard + spare * heard_share (quota));
}

/* This sidecar's part of what the fleet may spend, 0 to 1.  */
static double
own_share (const quota_t *quota, const account_t *account)
{
  double others = 0;
  for (size_t i = 0; i < account->peer_count; i++)
    if (!is_silent (quota, account->peers[i].vm))
      others += account->peers[i].demand_per_s;
  double heard = fmax (1, quota->members - (double)quota->silent_count);
  double all = account->told_per_s + others;
  if (all <= 0)
    return 1 / heard;
  return EVEN_SHARE / heard + (1 - EVEN_SHARE) * account->told_per_s / all;
}

/* What this sidecar may admit in the period that begins: its part of what the
   window has left once the oldest period has gone out of it.  */
static double
next_allowance (const quota_t *quota, const account_t *account, double draw)
{
  double oldest = account->window[(account->slot + 1) % SLOTS];
  double room = usable_limit (quota, account) - account->spent + oldest;
  if (room <= 0)
    return 0;
  room *= PERIOD_SHARE;
  double part = room * own_share (quota, account);
  double whole = room / fmax (1, quota->members * WHOLE_REQUEST_SHARE);
  return fmax (part, draw < whole ? 1 : 0);
}

static void
fill_window (account_t *account)
{
  account->spent = window_limit (account);
  for (int i = 0; i < SLOTS; i++)
    account->window[i] = account->spent / SLOTS;
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
  account->allowance = fmin (account->allowance, 1);
}

bool
quota_take (quota_t *quota, const char *name)
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
quota_return (quota_t *quota, const char *name)
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
  for (size_t i = 0; i < account->peer_count; i++)
    {
      peer_account_t *peer = &account->peers[i];
      if (is_silent (quota, peer->vm))
        continue;
      spent += (int32_t)peer->since;
      peer->admitted_per_s = averaged (peer->admitted_per_s,
                                       (int32_t)peer->since / period_s,
                                       period_s);
      peer->since = 0;
    }
  account->slot = (account->slot + 1) % SLOTS;
  account->spent += spent - account->window[account->slot];
  account->window[account->slot] = spent;
}

void
quota_tick (quota_t *quota, int64_t now_us, double draw, bool all,
            quota_visit_t visit, void *ctx)
{
  double period_s = (double)(now_us - quota->tick_us) / US_PER_S;
  if (quota->tick_us == 0 || period_s <= 0)
    period_s = (double)QUOTA_PERIOD_US / US_PER_S;
  quota->tick_us = now_us;
  for (size_t i = 0; i < quota->count; i++)
    {
      account_t *account = &quota->accounts[i];
      account->demand_per_s = averaged (
          account->demand_per_s, account->arrived / period_s, period_s);
      account->arrived = 0;
      double change = fabs (account->demand_per_s - account->told_per_s);
      bool tell = all || account->admitted != account->admitted_told
                  || change > TOLD_CHANGE * account->told_per_s;
      if (account->demand_per_s < DEMAND_LEAST)
        account->demand_per_s = 0;
      if (account->rate_per_s > 0)
        {
          settle (quota, account, period_s);
          account->allowance = next_allowance (quota, account, draw);
        }
      if (!tell)
        continue;
      quota_news_t news
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
  account->peers = realloc (
      account->peers, (account->peer_count + 1) * sizeof *account->peers);
  if (account->peers == NULL)
    abort ();
  peer_account_t *peer = &account->peers[account->peer_count++];
  *peer = (peer_account_t){ .vm = vm };
  return peer;
}

void
quota_heard (quota_t *quota, vm_id_t vm, uint64_t incarnation,
             const quota_news_t *news)
{
  account_t *account = find_number (quota, news->account);
  if (account == NULL)
    return; /* not in this sidecar's configuration yet */
  peer_account_t *peer = peer_find_or_add (account, vm);
  bool known = peer->incarnation == incarnation;
  /* All that a new process has admitted is news; what an old one admitted
     before it was first heard is not.  */
  uint32_t since = known ? news->admitted - peer->admitted
                   : peer->incarnation != 0 ? news->admitted
                                            : 0;
  peer->incarnation = incarnation;
  peer->admitted = news->admitted;
  peer->since += since;
  peer->demand_per_s = news->demand_per_s;
}

void
quota_silent (quota_t *quota, vm_id_t vm, bool silent)
{
  for (size_t i = 0; i < quota->silent_count; i++)
    if (quota->silent[i].vm == vm)
      {
        if (!silent)
          quota->silent[i] = quota->silent[--quota->silent_count];
        return;
      }
  if (!silent)
    return;
  quota->silent = realloc (quota->silent, (quota->silent_count + 1)
                                              * sizeof *quota->silent);
  if (quota->silent == NULL)
    abort ();
  quota->silent[quota->silent_count++].vm = vm;
}

void
quota_forget (quota_t *quota, vm_id_t vm)
{
  quota_silent (quota, vm, false);
  for (size_t i = 0; i < quota->count; i++)
    {
      account_t *account = &quota->accounts[i];
      for (size_t j = 0; j < account->peer_count; j++)
        if (account->peers[j].vm == vm)
          account->peers[j] = account->peers[--account->peer_count];
    }
}

void
quota_set_members (quota_t *quota, uint32_t members)
{
  quota->members = members > 0 ? members : 1;
}
