#ifndef REDWINGFORD_CALL_GRAPH_H
#define REDWINGFORD_CALL_GRAPH_H

/* Which routes the runs of a route call, and how often, as the sidecars have
   learnt it.  */

#include "types.h"

typedef struct call_graph_t call_graph_t;

call_graph_t *call_graph_new (void);
void call_graph_free (call_graph_t *graph);

/* What one sidecar has learnt of a pair of routes.  */
typedef struct call_edge_t
{
  const char *caller;
  const char *callee;
  double calls_per_run; /* calls for each run of CALLER */
  double callee_run_us; /* mean time that a run of CALLEE takes */
} call_edge_t;

/* What no sidecar repeats fades.  */
void call_graph_update (call_graph_t *graph, const call_edge_t *told,
                        int64_t now_us);

/* Visits all routes that a run of ROUTE leads to, with the number of their
   runs and the mean time of one; a route that is reached on several ways
   comes several times.  */
typedef void (*call_graph_visit_t) (void *ctx, const char *route, double runs,
                                    double run_us);
void call_graph_visit_callees (const call_graph_t *graph, const char *route,
                               int64_t now_us, call_graph_visit_t visit,
                               void *ctx);

/* Whether ROUTE is not known to call any other.  */
bool call_graph_is_leaf (const call_graph_t *graph, const char *route,
                         int64_t now_us);

#endif
