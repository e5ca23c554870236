#include "mesh/call_learner.h"

#include <gsl/gsl_errno.h>
#include <gsl/gsl_linalg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  ROUTES_MAX = LEARNER_ROUTES_MAX,
  PERIOD_US = US_PER_S, /* longer than most runs take */
  PERIODS_MIN = 2       /* periods before the first estimate */
};

/* Weight of all earlier periods, applied once in each period: older counts
   fade within about half a minute.  */
static const double FORGETTING_FACTOR = 0.97;
/* Weight of the average in the ridge regression, in squared runs: a route
   whose squared runs add up to it is estimated halfway between the average and
   its own counts.  */
static const double RIDGE_WEIGHT = 30;
/* Smaller estimates are considered noise.  */
static const double CALLS_PER_RUN_MIN = 0.2;
/* For a calling route, the squares of its number of runs in each period are
   summed over the periods, with forgetting.  No estimate is reported for a
   route whose sum is below this.  */
static const double SQUARED_RUNS_MIN = 5;

typedef struct route_table_t
{
  char names[ROUTES_MAX][NAME_BYTES];
  uint32_t count;
} route_table_t;

struct call_learner_t
{
  route_table_t callers;    /* routes that run */
  route_table_t callees;    /* routes that are called */
  double runs[ROUTES_MAX];  /* of each caller in this period */
  double calls[ROUTES_MAX]; /* of each callee in this period */
  /* Sums over the periods, with forgetting, of the runs of one caller times
     those of another: [caller][caller].  */
  double run_run_sums[ROUTES_MAX][ROUTES_MAX];
  /* Likewise, of the calls times the runs: [callee][caller].  */
  double call_run_sums[ROUTES_MAX][ROUTES_MAX];
  /* Estimates: [callee][caller].  */
  double calls_per_run[ROUTES_MAX][ROUTES_MAX];
  int64_t period_start_us;
  uint32_t periods;
};

call_learner_t *
call_learner_new (void)
{
  call_learner_t *learner = calloc (1, sizeof *learner);
  if (learner == NULL)
    abort ();
  /* Makes the library return errors instead of aborting the process.  */
  gsl_set_error_handler_off ();
  return learner;
}

void
call_learner_free (call_learner_t *learner)
{
  free (learner);
}

/* Returns the index of NAME, which is added if it is missing; ROUTES_MAX if
   the table is full.  */
static uint32_t
find_or_add_route (route_table_t *table, const char *name)
{
  for (uint32_t i = 0; i < table->count; i++)
    if (strcmp (table->names[i], name) == 0)
      return i;
  if (table->count == ROUTES_MAX)
    return ROUTES_MAX;
  snprintf (table->names[table->count], NAME_BYTES, "%s", name);
  return table->count++;
}

void
call_learner_record_run (call_learner_t *learner, const char *route)
{
  uint32_t i = find_or_add_route (&learner->callers, route);
  if (i < ROUTES_MAX)
    learner->runs[i]++;
}

void
call_learner_record_call (call_learner_t *learner, const char *route)
{
  uint32_t i = find_or_add_route (&learner->callees, route);
  if (i < ROUTES_MAX)
    learner->calls[i]++;
}

/* Returns the calls of CALLEE per run, averaged over all callers.  */
static double
average_calls_per_run (const call_learner_t *learner, uint32_t callee)
{
  double calls = 0;
  double runs = 0;
  for (uint32_t i = 0; i < learner->callers.count; i++)
    {
      calls += learner->call_run_sums[callee][i];
      for (uint32_t j = 0; j < learner->callers.count; j++)
        runs += learner->run_run_sums[i][j];
    }
  return runs > 0 ? calls / runs : 0;
}

/* Estimates the calls of CALLEE by ridge regression toward the average.
   CHOLESKY is the decomposed normal matrix.  */
static void
solve_callee (call_learner_t *learner, const gsl_matrix *cholesky,
              uint32_t callee)
{
  uint32_t n = learner->callers.count;
  double average = average_calls_per_run (learner, callee);
  gsl_vector *deviations = gsl_vector_alloc (n);
  for (uint32_t i = 0; i < n; i++)
    {
      double expected = 0;
      for (uint32_t j = 0; j < n; j++)
        expected += learner->run_run_sums[i][j] * average;
      gsl_vector_set (deviations, i,
                      learner->call_run_sums[callee][i] - expected);
    }
  gsl_linalg_cholesky_svx (cholesky, deviations);
  for (uint32_t i = 0; i < n; i++)
    learner->calls_per_run[callee][i]
        = average + gsl_vector_get (deviations, i);
  gsl_vector_free (deviations);
}

static void
solve_all_callees (call_learner_t *learner)
{
  uint32_t n = learner->callers.count;
  gsl_matrix *matrix = gsl_matrix_alloc (n, n);
  for (uint32_t i = 0; i < n; i++)
    for (uint32_t j = 0; j < n; j++)
      gsl_matrix_set (matrix, i, j,
                      learner->run_run_sums[i][j]
                          + (i == j ? RIDGE_WEIGHT : 0));
  if (gsl_linalg_cholesky_decomp1 (matrix) == GSL_SUCCESS)
    for (uint32_t callee = 0; callee < learner->callees.count; callee++)
      solve_callee (learner, matrix, callee);
  gsl_matrix_free (matrix);
}

static void
add_period (call_learner_t *learner)
{
  uint32_t n = learner->callers.count;
  for (uint32_t i = 0; i < n; i++)
    for (uint32_t j = 0; j < n; j++)
      learner->run_run_sums[i][j]
          = learner->run_run_sums[i][j] * FORGETTING_FACTOR
            + learner->runs[i] * learner->runs[j];
  for (uint32_t callee = 0; callee < learner->callees.count; callee++)
    {
      for (uint32_t i = 0; i < n; i++)
        learner->call_run_sums[callee][i]
            = learner->call_run_sums[callee][i] * FORGETTING_FACTOR
              + learner->calls[callee] * learner->runs[i];
    }
  memset (learner->runs, 0, sizeof learner->runs);
  memset (learner->calls, 0, sizeof learner->calls);
  learner->periods++;
}

void
call_learner_tick (call_learner_t *learner, int64_t now_us)
{
  if (learner->period_start_us == 0)
    learner->period_start_us = now_us;
  if (now_us - learner->period_start_us < PERIOD_US)
    return;
  learner->period_start_us = now_us;
  add_period (learner);
  if (learner->periods >= PERIODS_MIN && learner->callers.count > 0)
    solve_all_callees (learner);
}

void
call_learner_visit_ratios (const call_learner_t *learner,
                           call_ratio_visit_t visit, void *ctx)
{
  for (uint32_t callee = 0; callee < learner->callees.count; callee++)
    for (uint32_t i = 0; i < learner->callers.count; i++)
      if (learner->calls_per_run[callee][i] >= CALLS_PER_RUN_MIN
          && learner->run_run_sums[i][i] >= SQUARED_RUNS_MIN)
        visit (ctx, learner->callers.names[i], learner->callees.names[callee],
               learner->calls_per_run[callee][i]);
}
