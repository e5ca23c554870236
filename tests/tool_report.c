/* Prints the table of docs/BENCHMARKS.md: every overload case with each way
   of control, worst and mean over seeds.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support_rows.h"

typedef struct column_t
{
  const char *name;
  load_control_t control;
  bool off;
} column_t;

static const column_t columns[]
    = { { "redwingford", LOAD_REDWINGFORD, false },
        { "mechanism off", LOAD_REDWINGFORD, true },
        { "no control", LOAD_NO_CONTROL, false },
        { "fixed limit, FIFO", LOAD_FIXED_FIFO, false },
        { "token bucket", LOAD_TOKEN_BUCKET, false } };

enum
{
  COLUMN_COUNT = sizeof columns / sizeof *columns
};

static void
print_cell (const row_t *row, const deployment_t *deployment,
            const column_t *column, int seeds)
{
  load_case_t set;
  double sum = 0;
  double worst = 0;

  row->build (deployment, &set);
  set.control = column->control;
  if (column->off)
    row->switch_off (&set);
  for (int seed = 1; seed <= seeds; seed++)
    {
      double figure = row->measure (&set, (uint64_t)seed);
      bool is_worse = row->at_least ? figure < worst : figure > worst;
      if (seed == 1 || is_worse)
        worst = figure;
      sum += figure;
    }
  printf (" %.4g (%.4g)%s |", worst, sum / seeds,
          row_holds (row, worst) ? "" : " ✗");
  fflush (stdout);
}

static void
print_row (const row_t *row, const deployment_t *deployment, int seeds)
{
  printf ("| %s | %s | %s | %s %g |", row->name, deployment->name, row->figure,
          row->at_least ? "≥" : "≤", row->bound);
  for (size_t i = 0; i < COLUMN_COUNT; i++)
    print_cell (row, deployment, &columns[i], seeds);
  printf ("\n");
}

/* The ways to set the limit against each other, with slots announced twice
   as large as they are.  */
static void
print_limits (const deployment_t *deployment, int seeds)
{
  static const char *const names[LIMIT_ALGORITHM_COUNT]
      = { "AIMD", "Little's law", "gradient", "fixed" };
  printf ("| limit | %s, goodput at 2x: worst (mean) |\n|---|---|\n",
          deployment->name);
  for (int kind = 0; kind < LIMIT_ALGORITHM_COUNT; kind++)
    {
      double worst = 1e9;
      double sum = 0;
      for (int seed = 1; seed <= seeds; seed++)
        {
          load_case_t set;
          rows[0].build (deployment, &set);
          set.announced_slots = 2 * deployment->slots;
          set.executor.limit = (limit_algorithm_t)kind;
          double figure = rows[0].measure (&set, (uint64_t)seed);
          worst = figure < worst ? figure : worst;
          sum += figure;
        }
      printf ("| %s | %.3f (%.3f) |\n", names[kind], worst, sum / seeds);
    }
}

int
main (int argc, char **argv)
{
  int seeds = argc > 1 ? atoi (argv[1]) : 20;
  const char *only_row = argc > 2 ? argv[2] : "";
  const char *only_deployment = argc > 3 ? argv[3] : "";

  if (strcmp (only_row, "limits") == 0)
    {
      for (size_t j = 0; j < deployment_count; j++)
        if (strstr (deployments[j].name, only_deployment) != NULL)
          print_limits (&deployments[j], seeds);
      return 0;
    }
  printf ("Worst (mean) of seeds 1 to %d; ✗ misses the bound.\n\n", seeds);
  printf ("| case | service | figure | bound |");
  for (size_t i = 0; i < COLUMN_COUNT; i++)
    printf (" %s |", columns[i].name);
  printf ("\n|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < row_count; i++)
    for (size_t j = 0; j < deployment_count; j++)
      if (strstr (rows[i].name, only_row) != NULL
          && strstr (deployments[j].name, only_deployment) != NULL
          && !(rows[i].long_run && deployments[j].large))
        print_row (&rows[i], &deployments[j], seeds);
  return 0;
}
