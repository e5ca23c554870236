#ifndef REDWINGFORD_QUOTA_H
#define REDWINGFORD_QUOTA_H

/* The client accounts' rates over all sidecars, without a request between
   them.  In any window of the given length an account may have its rate times
   the window, and its burst.  Each sidecar tells, every period, how many
   requests of each account it has admitted and how many came; from that every
   sidecar counts the fleet's window, and may spend its part of what is left,
   by its part of the demand, until the next period.

   A sidecar that falls silent is taken to go on as it did; of what nobody
   used, each side of a cut spends no more than its number of sidecars
   entitles it to.  A process that starts anew takes the window for full, and
   its part for that of each member alike until it has heard most of them.  */

#include "clock.h"
#include "types.h"

enum
{
  QUOTA_PERIOD_US = 250 * US_PER_MS,
  QUOTA_WINDOW_MAX_US = 60 * US_PER_S
};

typedef struct quota_t quota_t;

/* WINDOW_US is at least one period, at most QUOTA_WINDOW_MOST_US.  */
quota_t *quota_new (int64_t window_us);
void quota_free (quota_t *quota);

/* The limit of an account; a rate of 0 is none.  */
void quota_set_limit (quota_t *quota, const char *account, double rate_per_s,
                      double burst);

/* One request of ACCOUNT arrives: whether it is within the rate.  An account
   without a limit always is.  */
bool quota_acquire (quota_t *quota, const char *account);

/* Gives back what was taken for a request that did not run.  */
void quota_refund (quota_t *quota, const char *account);

/* A number for an account's name, the same at all sidecars.  */
uint32_t quota_account_hash (const char *account);

/* What a sidecar tells of one account.  */
typedef struct quota_report_t
{
  uint32_t account_hash;   /* quota_number of its name */
  double demand_per_s;     /* requests that came, averaged */
  uint32_t admitted_count; /* since the sidecar's start; wraps around */
} quota_report_t;

/* A period has passed.  Visits what has changed and is to be told to the
   others, or all if ALL.  DRAW is from [0, 1).  */
typedef void (*quota_report_callback_t) (void *ctx,
                                         const quota_report_t *news);
void quota_tick (quota_t *quota, int64_t now_us, double draw, bool all,
                 quota_report_callback_t visit, void *ctx);

/* What the sidecar VM has told.  */
void quota_apply_report (quota_t *quota, vm_id_t vm, uint64_t incarnation,
                         const quota_report_t *news);

/* VM cannot be heard of late, or was heard just now.  */
void quota_set_unreachable (quota_t *quota, vm_id_t vm, bool silent);

/* The sidecar is no member any more.  */
void quota_remove_member (quota_t *quota, vm_id_t vm);

/* MEMBERS sidecars there are, this one included.  */
void quota_set_member_count (quota_t *quota, uint32_t members);

#endif
