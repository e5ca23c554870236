#ifndef REDWINGFORD_CALL_GRAPH_H
#define REDWINGFORD_CALL_GRAPH_H

/* Graph of the calls between routes: which routes a run of a route calls, and
   how often, as estimated by the sidecars.  */

#include "types.h"

typedef struct call_graph_t call_graph_t;

call_graph_t *call_graph_new (void);
void call_graph_free (call_graph_t *graph);

/* Report of one sidecar on a pair of routes.  */
typedef struct call_edge_report_t
{
  const char *caller;
  const char *callee;
  double calls_per_run; /* calls of CALLEE per run of CALLER */
  double callee_run_us; /* mean run time of CALLEE */
} call_edge_report_t;

/* Adds REPORT to the moving averages of its pair of routes.  A pair that no
   sidecar reports for 30 seconds is ignored.  */
void call_graph_update (call_graph_t *graph, const call_edge_report_t *report,
                        int64_t now_us);

/* Visits every route that a run of ROUTE calls, directly or through other
   routes, with the expected number of its runs and the mean time of one.  A
   route that is reached on several paths is visited once for each.  Paths end
   after 8 calls, since the graph may have cycles.  DISTANCE counts the calls
   on the path.  */
typedef void (*call_graph_visit_t) (void *ctx, const char *route, double runs,
                                    double run_us, uint32_t distance);
void call_graph_visit_callees (const call_graph_t *graph, const char *route,
                               int64_t now_us, call_graph_visit_t visit,
                               void *ctx);

/* Returns whether no calls made by ROUTE are known.  */
bool call_graph_is_leaf (const call_graph_t *graph, const char *route,
                         int64_t now_us);

#endif
