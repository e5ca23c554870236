/* Random faults on a fleet of real sidecar processes.  Usage: soak_mesh
   --seeds N --first S [--keep DIR].  A seed draws the plan, not the
   timing.  The plan and the processes' logs of a seed that failed are kept
   under DIR, else in a directory that is printed.  */

#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "rng.h"
#include "support_world.h"

enum
{
  RATE = 150,          /* requests a second */
  START_MS = 15000,    /* for all to be ready, at most */
  TROUBLE_MS = 10000,  /* in which faults begin */
  STEP_LEAST_MS = 100, /* between two of them */
  STEP_MOST_MS = 700,
  LAST_LEAST_MS = 200, /* a fault */
  LAST_MOST_MS = 2500,
  SETTLE_MS = 6000, /* for old links to be given up and servers to be back */
  CALM_MS = 2000,
  ZONE_MS = 6500, /* a zone is out; the bound is 5 s */
  END_MS = 3000,  /* for late answers; longer than callers wait */
  UNDO_MAX = 64
};

/* Each action begins a fault, and ends it when its time is over.  */
typedef enum action_t
{
  KILL,
  STOP,
  PAUSE,
  LINKS,
  STORE_PATH,
  STORE,
  FORGET,
  BACKEND,
  ZONE,
  PUBLISH,
  ACTION_COUNT
} action_t;

static const char *const action_names[ACTION_COUNT] = {
  "kill",  "stop",   "pause",   "links", "store-path",
  "store", "forget", "backend", "zone",  "publish",
};

typedef struct step_t
{
  action_t action;
  int at;      /* sidecar or zone */
  int variant; /* of the fault */
  int64_t end_ms;
} step_t;

typedef struct soak_t
{
  world_t *world;
  rng_t rng;
  FILE *plan;
  int64_t now_ms;
  step_t open[UNDO_MAX];
  uint32_t open_count;
} soak_t;

static void
begin (soak_t *soak, const step_t *step)
{
  world_t *world = soak->world;
  switch (step->action)
    {
    case KILL:
      world_signal (world, step->at, SIGKILL);
      break;
    case STOP:
      world_signal (world, step->at, SIGTERM);
      break;
    case PAUSE:
      world_signal (world, step->at, SIGSTOP);
      break;
    case LINKS:
      world_set_links (world, step->at, (relay_fault_t)step->variant);
      break;
    case STORE_PATH:
      world_set_store_path (world, step->at, (relay_fault_t)step->variant);
      break;
    case STORE:
      world_set_store (world, (fake_fault_t)step->variant);
      break;
    case FORGET:
      world_forget_history (world);
      break;
    case BACKEND:
      world_set_backend (world, step->at, (backend_fault_t)step->variant);
      break;
    case ZONE:
      world_set_zone_out (world, step->at, true);
      break;
    default:
      world_publish (world);
    }
}

static void
end (soak_t *soak, const step_t *step)
{
  world_t *world = soak->world;
  switch (step->action)
    {
    case KILL:
    case STOP:
      world_restart (world, step->at);
      break;
    case PAUSE:
      world_signal (world, step->at, SIGCONT);
      break;
    case LINKS:
      world_set_links (world, step->at, RELAY_WELL);
      break;
    case STORE_PATH:
      world_set_store_path (world, step->at, RELAY_WELL);
      break;
    case STORE:
      world_set_store (world, FAKE_WELL);
      break;
    case BACKEND:
      world_set_backend (world, step->at, BACKEND_WELL);
      break;
    case ZONE:
      world_set_zone_out (world, step->at, false);
      break;
    default:
      break;
    }
}

static step_t
draw_step (soak_t *soak)
{
  const rng_t *rng = &soak->rng;
  step_t step = { .action = (action_t)rng_below (rng, ACTION_COUNT) };
  uint32_t variants = 2;
  uint32_t places = WORLD_SIDECARS;
  if (step.action == LINKS || step.action == STORE_PATH)
    variants = RELAY_FAULT_COUNT;
  else if (step.action == STORE)
    variants = FAKE_FAULT_COUNT;
  else if (step.action == BACKEND)
    variants = BACKEND_FAULT_COUNT;
  else if (step.action == ZONE)
    places = WORLD_ZONES;
  step.at = (int)rng_below (rng, places);
  step.variant = 1 + (int)rng_below (rng, variants - 1);
  step.end_ms = soak->now_ms + LAST_LEAST_MS
                + (int64_t)rng_below (rng, LAST_MOST_MS - LAST_LEAST_MS);
  return step;
}

static void
note (soak_t *soak, const char *word, const step_t *step)
{
  fprintf (soak->plan, "%6" PRId64 " ms %-5s %-10s at=%d variant=%d\n",
           soak->now_ms, word, action_names[step->action], step->at,
           step->variant);
}

static void
end_due (soak_t *soak, bool all)
{
  for (uint32_t i = 0; i < soak->open_count;)
    {
      if (!all && soak->open[i].end_ms > soak->now_ms)
        {
          i++;
          continue;
        }
      step_t step = soak->open[i];
      soak->open[i] = soak->open[--soak->open_count];
      note (soak, "end", &step);
      end (soak, &step);
    }
}

static void
run (soak_t *soak, int64_t ms, uint32_t rate)
{
  world_run (soak->world, ms, rate);
  soak->now_ms += ms;
}

static void
trouble (soak_t *soak)
{
  while (soak->now_ms < TROUBLE_MS)
    {
      step_t step = draw_step (soak);
      if (soak->open_count < UNDO_MAX)
        {
          note (soak, "begin", &step);
          begin (soak, &step);
          soak->open[soak->open_count++] = step;
        }
      int64_t pause_ms
          = STEP_LEAST_MS
            + (int64_t)rng_below (&soak->rng, STEP_MOST_MS - STEP_LEAST_MS);
      for (; pause_ms > 0; pause_ms -= 50)
        {
          run (soak, 50, RATE);
          end_due (soak, false);
        }
    }
  end_due (soak, true);
}

/* All processes run again, whatever ended them meanwhile.  */
static void
restart_all (soak_t *soak)
{
  for (int i = 0; i < WORLD_SIDECARS; i++)
    {
      world_signal (soak->world, i, SIGCONT);
      world_restart (soak->world, i);
    }
}

static bool
fail (soak_t *soak, uint64_t seed, const char *what)
{
  printf ("seed %" PRIu64 ": %s\n", seed, what);
  fprintf (soak->plan, "failed: %s\n", what);
  return false;
}

static bool
wait_ready (soak_t *soak)
{
  for (int64_t ms = 0; ms < START_MS; ms += 100)
    {
      if (world_is_ready (soak->world))
        return true;
      run (soak, 100, 0);
    }
  return false;
}

static bool
play (soak_t *soak, uint64_t seed, world_result_t *total)
{
  if (!wait_ready (soak))
    return fail (soak, seed, "the fleet did not become ready");
  run (soak, 1000, RATE);
  soak->now_ms = 0;
  trouble (soak);
  run (soak, SETTLE_MS / 2, RATE);
  restart_all (soak);
  run (soak, SETTLE_MS, RATE);
  if (!wait_ready (soak))
    return fail (soak, seed, "the fleet was not ready again after all faults");
  world_result_t before = world_result (soak->world, false);
  run (soak, CALM_MS, RATE);
  world_result_t after = world_result (soak->world, false);
  int zone = (int)rng_below (&soak->rng, WORLD_ZONES);
  world_set_zone_out (soak->world, zone, true);
  run (soak, ZONE_MS, RATE);
  world_set_zone_out (soak->world, zone, false);
  run (soak, END_MS, 0);
  world_result_t result = world_result (soak->world, true);
  total->sent += result.sent;
  total->answered += result.answered;
  total->refused += result.refused;
  total->unknown += result.unknown;
  total->runs += result.runs;
  if (result.violations > 0)
    return fail (soak, seed, result.first);
  if ((after.answered - before.answered) * 4 < after.sent - before.sent)
    return fail (soak, seed, "less than a quarter is served after all faults");
  if (!world_stop_all (soak->world))
    return fail (soak, seed, "a planned stop did not end with status 0");
  return true;
}

static bool
run_seed (uint64_t seed, const char *keep, world_result_t *total)
{
  char dir[128];
  char path[256];
  snprintf (dir, sizeof dir, "%s/seed-%" PRIu64 "-XXXXXX", keep, seed);
  if (mkdtemp (dir) == NULL)
    {
      fprintf (stderr,
               "soak_mesh: no directory under %s; name another with "
               "--keep\n",
               keep);
      return false;
    }
  snprintf (path, sizeof path, "%s/plan.txt", dir);
  soak_t soak = { .rng = rng_seeded (seed), .plan = fopen (path, "w") };
  if (soak.plan == NULL)
    return false;
  soak.world = world_new (seed, dir);
  bool sound = soak.world != NULL && play (&soak, seed, total);
  if (soak.world != NULL)
    world_free (soak.world);
  fclose (soak.plan);
  rng_seeded_free (&soak.rng);
  if (!sound)
    {
      printf ("plan and logs: %s\n", dir);
      return false;
    }
  snprintf (path, sizeof path, "%s/plan.txt", dir);
  unlink (path);
  for (int i = 0; i < WORLD_SIDECARS; i++)
    {
      snprintf (path, sizeof path, "%s/sidecar-%d.log", dir, i);
      unlink (path);
      snprintf (path, sizeof path, "%s/sidecar-%d.json", dir, i);
      unlink (path);
    }
  rmdir (dir);
  return true;
}

int
main (int argc, char **argv)
{
  uint64_t seeds = 1;
  uint64_t first = 1;
  const char *keep = "/tmp";
  uint64_t failed = 0;
  world_result_t total = { 0 };

  for (int i = 1; i + 1 < argc; i += 2)
    if (strcmp (argv[i], "--seeds") == 0)
      seeds = strtoull (argv[i + 1], NULL, 10);
    else if (strcmp (argv[i], "--first") == 0)
      first = strtoull (argv[i + 1], NULL, 10);
    else if (strcmp (argv[i], "--keep") == 0)
      keep = argv[i + 1];
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  signal (SIGPIPE, SIG_IGN);
  if (getenv ("REDWINGFORD_BUILD") == NULL)
    {
      char dir[256];
      snprintf (dir, sizeof dir, "%s", argv[0]);
      char *slash = strrchr (dir, '/');
      if (slash != NULL)
        *slash = '\0';
      setenv ("REDWINGFORD_BUILD", slash != NULL ? dir : ".", 1);
    }
  for (uint64_t seed = first; seed < first + seeds; seed++)
    failed += !run_seed (seed, keep, &total);
  printf ("%" PRIu64 " seeds, %" PRIu64 " failed; %" PRIu64
          " requests, %" PRIu64 " answered, %" PRIu64 " refused, %" PRIu64
          " unknown, %" PRIu64 " runs\n",
          seeds, failed, total.sent, total.answered, total.refused,
          total.unknown, total.runs);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
