#include "mesh/call_graph.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  EDGES_MAX = 256,
  DEPTH_MAX = 8,                 /* calls on one path */
  EDGE_EXPIRY_US = 30 * US_PER_S /* older edges are ignored */
};

/* Weight of one report in the moving averages.  */
static const double REPORT_WEIGHT = 1.0 / 8;

typedef struct edge_t
{
  char caller[NAME_BYTES];
  char callee[NAME_BYTES];
  double calls_per_run;
  double callee_run_us;
  int64_t reported_us; /* time of the last report */
} edge_t;

struct call_graph_t
{
  edge_t edges[EDGES_MAX];
  uint32_t count;
};

call_graph_t *
call_graph_new (void)
{
  call_graph_t *graph = calloc (1, sizeof *graph);
  if (graph == NULL)
    abort ();
  return graph;
}

void
call_graph_free (call_graph_t *graph)
{
  free (graph);
}

static edge_t *
find_edge (call_graph_t *graph, const char *caller, const char *callee)
{
  for (uint32_t i = 0; i < graph->count; i++)
    if (strcmp (graph->edges[i].caller, caller) == 0
        && strcmp (graph->edges[i].callee, callee) == 0)
      return &graph->edges[i];
  return NULL;
}

/* Returns an unused edge, or else the one that was reported longest ago.  */
static edge_t *
allocate_edge (call_graph_t *graph)
{
  if (graph->count < EDGES_MAX)
    return &graph->edges[graph->count++];
  edge_t *oldest = &graph->edges[0];
  for (uint32_t i = 1; i < graph->count; i++)
    if (graph->edges[i].reported_us < oldest->reported_us)
      oldest = &graph->edges[i];
  return oldest;
}

void
call_graph_update (call_graph_t *graph, const call_edge_report_t *report,
                   int64_t now_us)
{
  edge_t *edge = find_edge (graph, report->caller, report->callee);
  if (edge == NULL)
    {
      edge = allocate_edge (graph);
      *edge = (edge_t){ .calls_per_run = report->calls_per_run,
                        .callee_run_us = report->callee_run_us };
      snprintf (edge->caller, sizeof edge->caller, "%s", report->caller);
      snprintf (edge->callee, sizeof edge->callee, "%s", report->callee);
    }
  edge->calls_per_run
      += (report->calls_per_run - edge->calls_per_run) * REPORT_WEIGHT;
  edge->callee_run_us
      += (report->callee_run_us - edge->callee_run_us) * REPORT_WEIGHT;
  edge->reported_us = now_us;
}

static void
visit_callees (const call_graph_t *graph, const char *route, double runs,
               uint32_t depth, int64_t now_us, call_graph_visit_t visit,
               void *ctx)
{
  if (depth == DEPTH_MAX)
    return;
  for (uint32_t i = 0; i < graph->count; i++)
    {
      const edge_t *edge = &graph->edges[i];
      if (now_us - edge->reported_us > EDGE_EXPIRY_US
          || strcmp (edge->caller, route) != 0)
        continue;
      visit (ctx, edge->callee, runs * edge->calls_per_run,
             edge->callee_run_us, depth + 1);
      visit_callees (graph, edge->callee, runs * edge->calls_per_run,
                     depth + 1, now_us, visit, ctx);
    }
}

void
call_graph_visit_callees (const call_graph_t *graph, const char *route,
                          int64_t now_us, call_graph_visit_t visit, void *ctx)
{
  visit_callees (graph, route, 1, 0, now_us, visit, ctx);
}

bool
call_graph_is_leaf (const call_graph_t *graph, const char *route,
                    int64_t now_us)
{
  for (uint32_t i = 0; i < graph->count; i++)
    if (strcmp (graph->edges[i].caller, route) == 0
        && now_us - graph->edges[i].reported_us <= EDGE_EXPIRY_US)
      return false;
  return true;
}
