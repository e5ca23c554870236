#include "rng.h"

#include <gsl/gsl_rng.h>
#include <sodium.h>

static uint64_t
seeded_next (void *ctx)
{
  gsl_rng *generator = ctx;
  uint64_t high = gsl_rng_get (generator);
  uint64_t low = gsl_rng_get (generator);
  return high << 32 | (low & 0xffffffffU);
}

rng_t
rng_seeded (uint64_t seed)
{
  gsl_rng *generator = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (generator, seed + 1);
  return (rng_t){ seeded_next, generator };
}

void
rng_seeded_free (rng_t *rng)
{
  gsl_rng_free (rng->ctx);
  rng->ctx = NULL;
}

static uint64_t
system_next (void *ctx)
{
  (void)ctx;
  uint64_t value;
  randombytes_buf (&value, sizeof value);
  return value;
}

rng_t
rng_system (void)
{
  return (rng_t){ system_next, NULL };
}

uint64_t
rng_below (const rng_t *rng, uint64_t bound)
{
  if (bound == 0)
    return 0;
  return (uint64_t)(((unsigned __int128)rng->next (rng->ctx) * bound) >> 64);
}

double
rng_unit (const rng_t *rng)
{
  return (double)(rng->next (rng->ctx) >> 11) * 0x1.0p-53;
}

bool
rng_chance (const rng_t *rng, double probability)
{
  return rng_unit (rng) < probability;
}
