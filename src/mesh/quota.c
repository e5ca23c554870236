#include "mesh/quota.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  AVERAGE_US = US_PER_S /* over which rates are averaged */
};

/* Part of a rate that goes to all sidecars alike, so that the first requests
   of an account are not refused where none came before.  */
static const double EVEN_SHARE = 0.15;
/* A sidecar whose part is below one request may still spend one, if the
   bucket holds this share of the fleet's number.  The debt that may follow is
   paid back from the bucket.  */
static const double WHOLE_REQUEST_SHARE = 0.25;

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
  double rate_per_s;
  double burst;
  double tokens; /* of the whole fleet; may be a debt */
  double allowance; /* of this sidecar until the next period */
  uint32_t arrived;  /* in this period */
  uint32_t admitted; /* since the start */
  uint32_t admitted_before; /* as of the last period */
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
  return account;
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

/* The rate that the sidecars that are heard may use together.  */
static double
usable_rate (const quota_t *quota, const account_t *account)
{
  if (quota->silent_count == 0)
    return account->rate_per_s;
  double silent = silent_rate (quota, account);
  double heard = heard_rate (quota, account);
  double spare = fmax (0, account->rate_per_s - silent - heard);
  return fmin (account->rate_per_s, heard + spare * heard_share (quota));
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

/* What this sidecar may admit in the period that begins.  */
static double
next_allowance (const quota_t *quota, const account_t *account,
                double period_s, double draw)
{
  double usable = usable_rate (quota, account);
  double room = account->tokens + usable * period_s;
  if (room <= 0)
    return 0;
  double part = room * own_share (quota, account);
  double whole = fmin (1, room * WHOLE_REQUEST_SHARE
                              / fmax (1, quota->members
                                             * WHOLE_REQUEST_SHARE));
  return fmax (part, draw < whole ? 1 : 0);
}

void
quota_set_limit (quota_t *quota, const char *name, double rate_per_s,
                 double burst)
{
  account_t *account = find_or_add (quota, name);
  bool had = account->rate_per_s > 0;
  if (had && account->rate_per_s == rate_per_s && account->burst == burst)
    return;
  /* A process that starts anew does not know what was spent of the burst.  */
  account->tokens = had ? fmin (account->tokens, burst) : 0;
  account->rate_per_s = rate_per_s;
  account->burst = burst;
  double share = own_share (quota, account);
  account->allowance = fmax (1, account->tokens * share);
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

/* Takes what was admitted everywhere in the last period off the bucket.  */
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
  double most = account->burst * heard_share (quota);
  account->tokens += usable_rate (quota, account) * period_s - spent;
  account->tokens = fmin (account->tokens, most);
}

void
quota_tick (quota_t *quota, int64_t now_us, double draw, quota_visit_t visit,
            void *ctx)
{
  double period_s = (double)(now_us - quota->tick_us) / US_PER_S;
  if (quota->tick_us == 0 || period_s <= 0)
    period_s = 0.25;
  quota->tick_us = now_us;
  for (size_t i = 0; i < quota->count; i++)
    {
      account_t *account = &quota->accounts[i];
      account->demand_per_s = averaged (
          account->demand_per_s, account->arrived / period_s, period_s);
      account->arrived = 0;
      account->told_per_s
          = account->demand_per_s < 0.01 ? 0 : account->demand_per_s;
      if (account->rate_per_s > 0)
        {
          settle (quota, account, period_s);
          account->allowance
              = next_allowance (quota, account, period_s, draw);
        }
      quota_news_t news
          = { account->name, account->told_per_s, account->admitted };
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
  account_t *account = find_or_add (quota, news->account);
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
