#ifndef REDWINGFORD_CALL_LEARNER_H
#define REDWINGFORD_CALL_LEARNER_H

/* Estimates how many calls of each route a run of each route makes.  A call
   does not identify the run that makes it, so the estimate is based on counts:
   the number of outgoing calls in each period of one second is fitted to the
   number of runs of each route that started in it, by least squares with
   exponential forgetting.  Until the counts distinguish the routes, every run
   is assumed to make the server's average number of calls.  */

#include "types.h"

typedef struct call_learner_t call_learner_t;

enum
{
  /* Limit for the routes that run, and for those that are called.  */
  LEARNER_ROUTES_MAX = 16
};

call_learner_t *call_learner_new (void);
void call_learner_free (call_learner_t *learner);

/* Counts the start of a run of ROUTE on the backend server, or a call of ROUTE
   that the backend server makes.  Routes beyond LEARNER_ROUTES_MAX are
   ignored.  */
void call_learner_record_run (call_learner_t *learner, const char *route);
void call_learner_record_call (call_learner_t *learner, const char *route);

/* Ends the period and updates the estimates when a second has passed.  */
void call_learner_tick (call_learner_t *learner, int64_t now_us);

/* Visits the estimates: a run of CALLER makes CALLS_PER_RUN calls of CALLEE.
   Pairs with too few runs or with negligible calls are left out.  */
typedef void (*call_ratio_visit_t) (void *ctx, const char *caller,
                                    const char *callee, double calls_per_run);
void call_learner_visit_ratios (const call_learner_t *learner,
                                call_ratio_visit_t visit, void *ctx);

#endif
