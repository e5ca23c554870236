#ifndef REDWINGFORD_QUOTA_H
#define REDWINGFORD_QUOTA_H

/* Rate limits of client accounts, enforced over all sidecars of the fleet
   without communication on the path of a request.  In any window of the given
   length an account may have its rate times the window, plus its burst.  Each
   sidecar reports every period how many requests of each account it has
   admitted and how many arrived.  From the reports every sidecar computes what
   the fleet has admitted in the window, and until the next period may spend a
   share of what remains, in proportion to its share of the demand.

   A sidecar that becomes unreachable is assumed to keep admitting at the same
   rate.  Of the quota that nobody used, each side of a network partition
   spends no more than the share for its number of sidecars.  A limit that is
   new to a sidecar, as all are after its start, begins with a full window.
   Until most of the other members have sent a report, a sidecar that was
   started uses an equal share per member.  So does one that was paused, as it
   does not know what the others have admitted meanwhile.  */

#include "clock.h"
#include "types.h"

enum
{
  QUOTA_PERIOD_US = 250 * US_PER_MS,
  QUOTA_ALLOWANCE_MAX_AGE_US = 4 * QUOTA_PERIOD_US,
  QUOTA_WINDOW_MAX_US = 60 * US_PER_S
};

typedef struct quota_t quota_t;

/* WINDOW_US is at least one period and at most QUOTA_WINDOW_MAX_US.  Free the
   result with quota_free.  */
quota_t *quota_new (int64_t window_us);

/* QUOTA may be NULL.  */
void quota_free (quota_t *quota);

/* Sets the limit of an account; a rate of 0 is no limit.  A limit for an
   account that had none begins with a full window.  */
void quota_set_limit (quota_t *quota, const char *account, double rate_per_s,
                      double burst);

/* Counts a request of ACCOUNT that arrives at NOW_US.  Returns whether it is
   within the limit; it always is for an account without one.  What this
   sidecar was allowed expires if quota_tick is not called for
   QUOTA_ALLOWANCE_MAX_AGE_US, as the others have spent it meanwhile.  */
bool quota_acquire (quota_t *quota, const char *account, int64_t now_us);

/* Returns the quota acquired for a request that did not run.  */
void quota_refund (quota_t *quota, const char *account);

/* Hash of an account's name, the same at all sidecars.  */
uint32_t quota_account_hash (const char *account);

/* A sidecar's report on one account.  */
typedef struct quota_report_t
{
  uint32_t account_hash;
  double demand_per_s;     /* requests that arrived, averaged */
  uint32_t admitted_count; /* since the sidecar's start; wraps around */
} quota_report_t;

typedef void (*quota_report_callback_t) (void *ctx,
                                         const quota_report_t *report);

/* Ends a period.  Calls CALLBACK with a report for each account whose figures
   have changed enough to be sent to the other sidecars, or for each account if
   REPORT_ALL.  DRAW is a random number from [0, 1).  */
void quota_tick (quota_t *quota, int64_t now_us, double draw, bool report_all,
                 quota_report_callback_t callback, void *ctx);

/* Applies a report of the sidecar of VM.  */
void quota_apply_report (quota_t *quota, vm_id_t vm, uint64_t incarnation,
                         const quota_report_t *report);

/* Notes that the sidecar of VM has become unreachable or, if UNREACHABLE is
   false, that it has sent a report.  */
void quota_set_unreachable (quota_t *quota, vm_id_t vm, bool unreachable);

/* Forgets the sidecar of VM, which is no longer a member.  */
void quota_remove_member (quota_t *quota, vm_id_t vm);

/* Sets the number of sidecars in the fleet, this one included.  */
void quota_set_member_count (quota_t *quota, uint32_t member_count);

#endif
