#include "support_soak.h"

#include <stdlib.h>

#include "clock.h"
#include "invariant.h"
#include "rng.h"

enum
{
  REQUESTS = 600,
  ACCOUNTS = 12
};

typedef struct soak_t
{
  rng_t rng;
  executor_t *executor;
  executor_request_t requests[REQUESTS];
  uint8_t ends[REQUESTS];
  uint32_t running[REQUESTS];
  uint32_t in_flight;
  uint32_t slots;
  int64_t now_us;
  int violations;
} soak_t;

static void
count_violation (void *ctx, const char *text)
{
  (void)text;
  ((soak_t *)ctx)->violations++;
}

static void
on_start (void *ctx, executor_request_t *request)
{
  soak_t *soak = ctx;
  soak->running[soak->in_flight++] = (uint32_t)(request - soak->requests);
  if (soak->in_flight > soak->slots)
    soak->violations++;
}

static void
on_refuse (void *ctx, executor_request_t *request,
           const executor_refusal_t *refusal)
{
  soak_t *soak = ctx;
  (void)refusal;
  soak->ends[request - soak->requests]++;
}

static void
offer (soak_t *soak, uint32_t i)
{
  executor_request_t *request = &soak->requests[i];
  if (request->state == EXECUTOR_QUEUED || request->state == EXECUTOR_RUNNING)
    return;
  if (request->state == EXECUTOR_ENDED && soak->ends[i] != 1)
    soak->violations++;
  *request = (executor_request_t){
    .account = (uint32_t)rng_below (&soak->rng, ACCOUNTS),
    .weight = 1 + (uint32_t)rng_below (&soak->rng, 9),
    .priority = (uint8_t)rng_below (&soak->rng, PRIORITY_COUNT),
    .rank = (uint8_t)rng_below (&soak->rng, LEVEL_RANK_COUNT),
    .has_upstream_work = rng_chance (&soak->rng, 0.5),
    .deadline_us = soak->now_us + (int64_t)rng_below (&soak->rng, US_PER_S),
  };
  soak->ends[i] = 0;
  executor_offer (soak->executor, request, soak->now_us);
}

static void
finish (soak_t *soak)
{
  static const run_result_t results[]
      = { RUN_OK, RUN_OK, RUN_OK, RUN_OK, RUN_OK, RUN_FAILED, RUN_SHED };
  if (soak->in_flight == 0)
    return;
  uint64_t at = rng_below (&soak->rng, soak->in_flight);
  uint32_t i = soak->running[at];
  run_result_t result = results[rng_below (&soak->rng, 7)];
  if (rng_chance (&soak->rng, 0.002))
    result = RUN_CONNECTION_LOST;
  soak->running[at] = soak->running[--soak->in_flight];
  soak->ends[i]++;
  int64_t own_us = soak->now_us - soak->requests[i].started_us;
  executor_finished (soak->executor, &soak->requests[i], result, own_us,
                     soak->now_us);
}

static void
announce (soak_t *soak)
{
  executor_figures_t figures = { .slots = soak->slots, .connections = 100 };
  figures.cold_slots = 2;
  figures.warm_us = US_PER_S;
  figures.leaving = rng_chance (&soak->rng, 0.1);
  executor_announce (soak->executor, &figures, soak->now_us);
}

static void
step (soak_t *soak)
{
  uint64_t kind = rng_below (&soak->rng, 1000);
  uint32_t i = (uint32_t)rng_below (&soak->rng, REQUESTS);
  soak->now_us += (int64_t)rng_below (&soak->rng, 4000);
  if (kind < 550)
    offer (soak, i);
  else if (kind < 950)
    finish (soak);
  else if (kind < 980)
    soak->ends[i] += executor_cancel (soak->executor, &soak->requests[i]);
  else if (kind < 995)
    executor_tick (soak->executor, soak->now_us);
  else
    announce (soak);
}

int
soak_executor (const executor_options_t *options, uint64_t seed, int steps)
{
  soak_t *soak = calloc (1, sizeof *soak);
  executor_actions_t actions = { on_start, on_refuse, soak };

  soak->rng = rng_seeded (seed);
  soak->slots = 1 + (uint32_t)rng_below (&soak->rng, 60);
  soak->executor = executor_new (options, &actions, 0);
  invariant_set_seed (seed);
  invariant_set_handler (count_violation, soak);
  announce (soak);
  for (int i = 0; i < steps; i++)
    step (soak);
  invariant_set_handler (NULL, NULL);
  int violations = soak->violations;
  executor_free (soak->executor);
  rng_seeded_free (&soak->rng);
  free (soak);
  return violations;
}
