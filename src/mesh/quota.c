#include "mesh/quota.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  DEMAND_US = US_PER_S /* over which demand is averaged */
};

/* Share of a rate that a sidecar without demand keeps, split evenly, so that
   the first requests of an account are not refused.  */
static const double IDLE_SHARE = 0.15;
static const double BUCKET_MIN = 1.5; /* requests at once at any sidecar */

typedef struct peer_demand_t
{
  vm_id_t vm;
  double per_s;
} peer_demand_t;

typedef struct account_t
{
  char name[NAME_BYTES];
  double rate_per_s;
  double burst;
  double tokens;
  int64_t filled_us;
  uint32_t arrived; /* since the last tell */
  double demand;    /* per second, averaged */
  double told;
  peer_demand_t *peers;
  size_t peer_count;
  double peers_sum;
} account_t;

struct quota_t
{
  account_t *accounts;
  size_t count;
  uint32_t members;
  int64_t told_us;
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

/* This sidecar's part of the account's rate, 0 to 1.  */
static double
share (const quota_t *quota, const account_t *account)
{
  double even = 1.0 / quota->members;
  double all = account->told + account->peers_sum;
  if (all <= 0)
    return even;
  return IDLE_SHARE * even + (1 - IDLE_SHARE) * account->told / all;
}

static double
bucket (const quota_t *quota, const account_t *account)
{
  return fmax (BUCKET_MIN, account->burst * share (quota, account));
}

void
quota_set_limit (quota_t *quota, const char *name, double rate_per_s,
                 double burst)
{
  account_t *account = find_or_add (quota, name);
  bool had = account->rate_per_s > 0;
  account->rate_per_s = rate_per_s;
  account->burst = burst;
  double most = bucket (quota, account);
  /* A process that starts anew has not saved up a burst.  */
  account->tokens = had ? fmin (account->tokens, most) : most / 2;
}

bool
quota_take (quota_t *quota, const char *name, int64_t now_us)
{
  account_t *account = find (quota, name);
  if (account == NULL)
    return true;
  account->arrived++;
  if (account->rate_per_s <= 0)
    return true;
  double rate = account->rate_per_s * share (quota, account);
  if (account->filled_us > 0)
    account->tokens += rate * (double)(now_us - account->filled_us) / US_PER_S;
  account->filled_us = now_us;
  account->tokens = fmin (account->tokens, bucket (quota, account));
  if (account->tokens < 1)
    return false;
  account->tokens -= 1;
  return true;
}

void
quota_return (quota_t *quota, const char *name)
{
  account_t *account = find (quota, name);
  if (account != NULL && account->rate_per_s > 0)
    account->tokens
        = fmin (account->tokens + 1, bucket (quota, account));
}

void
quota_tell (quota_t *quota, int64_t now_us, quota_visit_t visit, void *ctx)
{
  int64_t passed_us = now_us - quota->told_us;
  if (passed_us <= 0)
    return;
  double weight = fmin (1, (double)passed_us / DEMAND_US);
  for (size_t i = 0; i < quota->count; i++)
    {
      account_t *account = &quota->accounts[i];
      double rate = account->arrived * (double)US_PER_S / (double)passed_us;
      account->demand += (rate - account->demand) * weight;
      account->arrived = 0;
      account->told = account->demand < 0.01 ? 0 : account->demand;
      visit (ctx, account->name, account->told);
    }
  quota->told_us = now_us;
}

static void
put_peer (account_t *account, vm_id_t vm, double per_s)
{
  for (size_t i = 0; i < account->peer_count; i++)
    if (account->peers[i].vm == vm)
      {
        account->peers_sum += per_s - account->peers[i].per_s;
        account->peers[i].per_s = per_s;
        return;
      }
  account->peers = realloc (
      account->peers, (account->peer_count + 1) * sizeof *account->peers);
  if (account->peers == NULL)
    abort ();
  account->peers[account->peer_count++] = (peer_demand_t){ vm, per_s };
  account->peers_sum += per_s;
}

void
quota_heard (quota_t *quota, vm_id_t vm, const char *name, double per_s)
{
  put_peer (find_or_add (quota, name), vm, per_s);
}

void
quota_forget (quota_t *quota, vm_id_t vm)
{
  for (size_t i = 0; i < quota->count; i++)
    {
      account_t *account = &quota->accounts[i];
      for (size_t j = 0; j < account->peer_count; j++)
        if (account->peers[j].vm == vm)
          {
            account->peers_sum -= account->peers[j].per_s;
            account->peers[j] = account->peers[--account->peer_count];
          }
      if (account->peer_count == 0)
        account->peers_sum = 0;
    }
}

void
quota_set_members (quota_t *quota, uint32_t members)
{
  quota->members = members > 0 ? members : 1;
}
