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
  PERIODS_LEAST = 3,    /* before anything is told */
  CALLERS_MAX = 4       /* routes that share one callee at one server */
};

/* Memory of about half a minute.  */
static const double FORGETTING = 0.97;
/* Part of the unexplained squares that a further route must explain.  */
static const double GAIN_LEAST = 0.25;
/* Ratios below are noise, not calls.  */
static const double RATIO_LEAST = 0.2;

typedef struct names_t
{
  char names[N][NAME_BYTES];
  uint32_t count;
} names_t;

struct call_learner_t
{
  names_t routes; /* of runs */
  names_t callees;
  double ran[N];      /* in this period */
  double called[N];
  double xx[N][N];    /* runs by runs */
  double xy[N][N];    /* calls by runs: [callee][route] */
  double yy[N];       /* calls by calls */
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
call_learner_ran (call_learner_t *learner, const char *route)
{
  uint32_t i = name_index (&learner->routes, route);
  if (i < N)
    learner->ran[i]++;
}

void
call_learner_called (call_learner_t *learner, const char *route)
{
  uint32_t i = name_index (&learner->callees, route);
  if (i < N)
    learner->called[i]++;
}

/* The routes that one callee's calls are laid to.  */
typedef struct fit_t
{
  uint32_t routes[CALLERS_MAX];
  double ratios[CALLERS_MAX];
  uint32_t count;
  double left; /* squares that are not explained */
} fit_t;

/* Least squares of callee C over FIT's routes.  False when they do not tell
   enough.  */
static bool
fit_solve (const call_learner_t *learner, uint32_t c, fit_t *fit)
{
  uint32_t n = fit->count;
  gsl_matrix *a = gsl_matrix_alloc (n, n);
  gsl_vector *b = gsl_vector_alloc (n);
  gsl_vector *x = gsl_vector_alloc (n);
  for (uint32_t i = 0; i < n; i++)
    {
      gsl_vector_set (b, i, learner->xy[c][fit->routes[i]]);
      for (uint32_t j = 0; j < n; j++)
        gsl_matrix_set (a, i, j,
                        learner->xx[fit->routes[i]][fit->routes[j]]);
    }
  bool solved = gsl_linalg_cholesky_decomp1 (a) == GSL_SUCCESS
                && gsl_linalg_cholesky_solve (a, b, x) == GSL_SUCCESS;
  fit->left = learner->yy[c];
  for (uint32_t i = 0; solved && i < n; i++)
    {
      fit->ratios[i] = gsl_vector_get (x, i);
      fit->left -= fit->ratios[i] * gsl_vector_get (b, i);
      solved = fit->ratios[i] > 0;
    }
  gsl_matrix_free (a);
  gsl_vector_free (b);
  gsl_vector_free (x);
  return solved;
}

static bool
fit_holds (const fit_t *fit, uint32_t route)
{
  for (uint32_t i = 0; i < fit->count; i++)
    if (fit->routes[i] == route)
      return true;
  return false;
}

/* Takes in the route that explains most of what FIT leaves.  False when none
   explains enough.  */
static bool
fit_grow (const call_learner_t *learner, uint32_t c, fit_t *fit)
{
  fit_t best = *fit;
  if (fit->count == CALLERS_MAX)
    return false;
  for (uint32_t i = 0; i < learner->routes.count; i++)
    {
      fit_t more = *fit;
      if (fit_holds (fit, i) || learner->xx[i][i] <= 0)
        continue;
      more.routes[more.count++] = i;
      if (fit_solve (learner, c, &more) && more.left < best.left)
        best = more;
    }
  if (best.left > fit->left * (1 - GAIN_LEAST))
    return false;
  *fit = best;
  return true;
}

static void
solve (call_learner_t *learner)
{
  memset (learner->ratio, 0, sizeof learner->ratio);
  for (uint32_t c = 0; c < learner->callees.count; c++)
    {
      fit_t fit = { .left = learner->yy[c] };
      while (fit.left > 0 && fit_grow (learner, c, &fit))
        ;
      for (uint32_t i = 0; i < fit.count; i++)
        learner->ratio[c][fit.routes[i]] = fit.ratios[i];
    }
}

static void
add_period (call_learner_t *learner)
{
  uint32_t n = learner->routes.count;
  for (uint32_t i = 0; i < n; i++)
    for (uint32_t j = 0; j < n; j++)
      learner->xx[i][j] = learner->xx[i][j] * FORGETTING
                          + learner->ran[i] * learner->ran[j];
  for (uint32_t c = 0; c < learner->callees.count; c++)
    {
      learner->yy[c] = learner->yy[c] * FORGETTING
                       + learner->called[c] * learner->called[c];
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
  if (learner->periods >= PERIODS_LEAST)
    solve (learner);
}

void
call_learner_each (const call_learner_t *learner, call_ratio_visit_t visit,
                   void *ctx)
{
  for (uint32_t c = 0; c < learner->callees.count; c++)
    for (uint32_t i = 0; i < learner->routes.count; i++)
      if (learner->ratio[c][i] >= RATIO_LEAST)
        visit (ctx, learner->routes.names[i], learner->callees.names[c],
               learner->ratio[c][i]);
}
