#include "mesh/call_learner.h"

#include <gsl/gsl_errno.h>
#include <gsl/gsl_linalg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  N = LEARNER_ROUTES_MAX,
  PERIOD_US = US_PER_S, /* longer than most runs */
  PERIODS_LEAST = 2     /* before anything is told */
};

/* Memory of about half a minute.  */
static const double FORGETTING = 0.97;
/* Squared runs that it takes to move a route halfway from the average.  */
static const double PRIOR = 30;
/* Ratios below are noise, not calls.  */
static const double RATIO_LEAST = 0.2;
/* Squared runs of a route below which nothing is told of it.  */
static const double EVIDENCE_LEAST = 5;

typedef struct names_t
{
  char names[N][NAME_BYTES];
  uint32_t count;
} names_t;

struct call_learner_t
{
  names_t routes; /* of runs */
  names_t callees;
  double ran[N]; /* in this period */
  double called[N];
  double xx[N][N];    /* runs by runs */
  double xy[N][N];    /* calls by runs: [callee][route] */
  double ratio[N][N]; /* [callee][route] */
  int64_t period_us;  /* when this period began */
  uint32_t periods;
};

call_learner_t *
call_learner_new (void)
{
  call_learner_t *learner = calloc (1, sizeof *learner);
  if (learner == NULL)
    abort ();
  gsl_set_error_handler_off ();
  return learner;
}

void
call_learner_free (call_learner_t *learner)
{
  free (learner);
}

/* Index of NAME; N when there is no room for it.  */
static uint32_t
name_index (names_t *names, const char *name)
{
  for (uint32_t i = 0; i < names->count; i++)
    if (strcmp (names->names[i], name) == 0)
      return i;
  if (names->count == N)
    return N;
  snprintf (names->names[names->count], NAME_BYTES, "%s", name);
  return names->count++;
}

void
call_learner_record_run (call_learner_t *learner, const char *route)
{
  uint32_t i = name_index (&learner->routes, route);
  if (i < N)
    learner->ran[i]++;
}

void
call_learner_record_call (call_learner_t *learner, const char *route)
{
  uint32_t i = name_index (&learner->callees, route);
  if (i < N)
    learner->called[i]++;
}

/* Calls of callee C for each run of any route.  */
static double
average_ratio (const call_learner_t *learner, uint32_t c)
{
  double calls = 0;
  double runs = 0;
  for (uint32_t i = 0; i < learner->routes.count; i++)
    {
      calls += learner->xy[c][i];
      for (uint32_t j = 0; j < learner->routes.count; j++)
        runs += learner->xx[i][j];
    }
  return runs > 0 ? calls / runs : 0;
}

/* Least squares of callee C around the average, with the prior as a ridge.  */
static void
solve_callee (call_learner_t *learner, const gsl_matrix *decomposed,
              uint32_t c)
{
  uint32_t n = learner->routes.count;
  double average = average_ratio (learner, c);
  gsl_vector *x = gsl_vector_alloc (n);
  for (uint32_t i = 0; i < n; i++)
    {
      double expected = 0;
      for (uint32_t j = 0; j < n; j++)
        expected += learner->xx[i][j] * average;
      gsl_vector_set (x, i, learner->xy[c][i] - expected);
    }
  gsl_linalg_cholesky_svx (decomposed, x);
  for (uint32_t i = 0; i < n; i++)
    learner->ratio[c][i] = average + gsl_vector_get (x, i);
  gsl_vector_free (x);
}

static void
solve (call_learner_t *learner)
{
  uint32_t n = learner->routes.count;
  gsl_matrix *a = gsl_matrix_alloc (n, n);
  for (uint32_t i = 0; i < n; i++)
    for (uint32_t j = 0; j < n; j++)
      gsl_matrix_set (a, i, j, learner->xx[i][j] + (i == j ? PRIOR : 0));
  if (gsl_linalg_cholesky_decomp1 (a) == GSL_SUCCESS)
    for (uint32_t c = 0; c < learner->callees.count; c++)
      solve_callee (learner, a, c);
  gsl_matrix_free (a);
}

static void
add_period (call_learner_t *learner)
{
  uint32_t n = learner->routes.count;
  for (uint32_t i = 0; i < n; i++)
    for (uint32_t j = 0; j < n; j++)
      learner->xx[i][j]
          = learner->xx[i][j] * FORGETTING + learner->ran[i] * learner->ran[j];
  for (uint32_t c = 0; c < learner->callees.count; c++)
    {
      for (uint32_t i = 0; i < n; i++)
        learner->xy[c][i] = learner->xy[c][i] * FORGETTING
                            + learner->called[c] * learner->ran[i];
    }
  memset (learner->ran, 0, sizeof learner->ran);
  memset (learner->called, 0, sizeof learner->called);
  learner->periods++;
}

void
call_learner_tick (call_learner_t *learner, int64_t now_us)
{
  if (learner->period_us == 0)
    learner->period_us = now_us;
  if (now_us - learner->period_us < PERIOD_US)
    return;
  learner->period_us = now_us;
  add_period (learner);
  if (learner->periods >= PERIODS_LEAST && learner->routes.count > 0)
    solve (learner);
}

void
call_learner_visit_ratios (const call_learner_t *learner,
                           call_ratio_visit_t visit, void *ctx)
{
  for (uint32_t c = 0; c < learner->callees.count; c++)
    for (uint32_t i = 0; i < learner->routes.count; i++)
      if (learner->ratio[c][i] >= RATIO_LEAST
          && learner->xx[i][i] >= EVIDENCE_LEAST)
        visit (ctx, learner->routes.names[i], learner->callees.names[c],
               learner->ratio[c][i]);
}
