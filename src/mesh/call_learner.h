#ifndef REDWINGFORD_CALL_LEARNER_H
#define REDWINGFORD_CALL_LEARNER_H

/* Learns how many calls of each route a run of each route makes.  Calls carry
   no sign of the run that makes them, so it goes by counts: in periods of a
   second, the calls that left against the runs of each route that began, by
   least squares with forgetting.  Until the counts tell routes apart, each
   run at a server counts as making as many calls as the average one there.  */

#include "types.h"

typedef struct call_learner_t call_learner_t;

enum
{
  LEARNER_ROUTES_MAX = 16 /* of runs, and of calls, at one sidecar */
};

call_learner_t *call_learner_new (void);
void call_learner_free (call_learner_t *learner);

/* A run of ROUTE has begun on the backend server; a call of ROUTE came from
   it.  */
void call_learner_record_run (call_learner_t *learner, const char *route);
void call_learner_record_call (call_learner_t *learner, const char *route);

/* Ends a period when a second has passed.  */
void call_learner_tick (call_learner_t *learner, int64_t now_us);

/* Visits what has been learnt: RATIO calls of CALLEE for each run of
   CALLER.  */
typedef void (*call_ratio_visit_t) (void *ctx, const char *caller,
                                    const char *callee, double ratio);
void call_learner_visit_ratios (const call_learner_t *learner,
                                call_ratio_visit_t visit, void *ctx);

#endif
