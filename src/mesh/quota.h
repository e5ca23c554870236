#ifndef REDWINGFORD_QUOTA_H
#define REDWINGFORD_QUOTA_H

/* Shares of the client accounts' rates.  Each sidecar tells the others how
   much of each account it sees; a sidecar's share of a rate is its part of
   the demand as last told.  A sidecar that falls silent keeps its part until
   membership drops it, so that both sides of a cut stay within the rate.  */

#include "types.h"

typedef struct quota_t quota_t;

quota_t *quota_new (void);
void quota_free (quota_t *quota);

/* The limit of an account; a rate of 0 is none.  */
void quota_set_limit (quota_t *quota, const char *account, double rate_per_s,
                      double burst);

/* One request of ACCOUNT arrives: whether it is within this sidecar's share.
   An account without a limit always is.  */
bool quota_take (quota_t *quota, const char *account, int64_t now_us);

/* Gives back what was taken for a request that did not run.  */
void quota_return (quota_t *quota, const char *account);

/* Demand seen here of late, told to the others with the next report; from
   then on it also decides the own share.  */
typedef void (*quota_visit_t) (void *ctx, const char *account,
                               double per_s);
void quota_tell (quota_t *quota, int64_t now_us, quota_visit_t visit,
                 void *ctx);

/* What another sidecar has told.  */
void quota_heard (quota_t *quota, vm_id_t vm, const char *account,
                  double per_s);

/* The sidecar is no member any more.  */
void quota_forget (quota_t *quota, vm_id_t vm);

/* MEMBERS sidecars there are, this one included.  */
void quota_set_members (quota_t *quota, uint32_t members);

#endif
