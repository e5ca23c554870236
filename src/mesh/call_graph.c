#include "mesh/call_graph.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  EDGES_MAX = 256,
  DEPTH_MAX = 8,           /* of a tree of calls */
  FRESH_US = 30 * US_PER_S /* an edge that is not repeated is dropped */
};

static const double WORD_WEIGHT = 1.0 / 8; /* of one sidecar's word */

typedef struct edge_t
{
  char caller[NAME_BYTES];
  char callee[NAME_BYTES];
  double ratio;
  double run_us; /* of the callee */
  int64_t told_us;
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
edge_find (call_graph_t *graph, const char *caller, const char *callee)
{
  for (uint32_t i = 0; i < graph->count; i++)
    if (strcmp (graph->edges[i].caller, caller) == 0
        && strcmp (graph->edges[i].callee, callee) == 0)
      return &graph->edges[i];
  return NULL;
}

/* A free place, or the one that was told of longest ago.  */
static edge_t *
edge_take (call_graph_t *graph)
{
  if (graph->count < EDGES_MAX)
    return &graph->edges[graph->count++];
  edge_t *oldest = &graph->edges[0];
  for (uint32_t i = 1; i < graph->count; i++)
    if (graph->edges[i].told_us < oldest->told_us)
      oldest = &graph->edges[i];
  return oldest;
}

void
call_graph_update (call_graph_t *graph, const call_edge_t *told,
                   int64_t now_us)
{
  edge_t *edge = edge_find (graph, told->caller, told->callee);
  if (edge == NULL)
    {
      edge = edge_take (graph);
      *edge = (edge_t){ .ratio = told->calls_per_run,
                        .run_us = told->callee_run_us };
      snprintf (edge->caller, sizeof edge->caller, "%s", told->caller);
      snprintf (edge->callee, sizeof edge->callee, "%s", told->callee);
    }
  edge->ratio += (told->calls_per_run - edge->ratio) * WORD_WEIGHT;
  edge->run_us += (told->callee_run_us - edge->run_us) * WORD_WEIGHT;
  edge->told_us = now_us;
}

static void
walk (const call_graph_t *graph, const char *route, double runs, int depth,
      int64_t now_us, call_graph_visit_t visit, void *ctx)
{
  if (depth == DEPTH_MAX)
    return;
  for (uint32_t i = 0; i < graph->count; i++)
    {
      const edge_t *edge = &graph->edges[i];
      if (now_us - edge->told_us > FRESH_US
          || strcmp (edge->caller, route) != 0)
        continue;
      visit (ctx, edge->callee, runs * edge->ratio, edge->run_us);
      walk (graph, edge->callee, runs * edge->ratio, depth + 1, now_us, visit,
            ctx);
    }
}

void
call_graph_visit_callees (const call_graph_t *graph, const char *route,
                          int64_t now_us, call_graph_visit_t visit, void *ctx)
{
  walk (graph, route, 1, 0, now_us, visit, ctx);
}

bool
call_graph_is_leaf (const call_graph_t *graph, const char *route,
                    int64_t now_us)
{
  for (uint32_t i = 0; i < graph->count; i++)
    if (strcmp (graph->edges[i].caller, route) == 0
        && now_us - graph->edges[i].told_us <= FRESH_US)
      return false;
  return true;
}
