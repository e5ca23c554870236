#ifndef REDWINGFORD_RNG_H
#define REDWINGFORD_RNG_H

/* The random source as an interface, so that a run repeats from its seed.  */

#include <stdbool.h>
#include <stdint.h>

typedef struct rng_t
{
  uint64_t (*next) (void *ctx);
  void *ctx; /* owned by whoever made the source */
} rng_t;

/* Seeded Mersenne twister from GSL.  Free with rng_seeded_free.  */
rng_t rng_seeded (uint64_t seed);
void rng_seeded_free (rng_t *rng);

/* libsodium's generator; sodium_init must have been called.  Thread-safe. */
rng_t rng_system (void);

/* Uniform in [0, bound); bound 0 gives 0.  */
uint64_t rng_below (const rng_t *rng, uint64_t bound);

/* Uniform in [0, 1).  */
double rng_unit (const rng_t *rng);

/* True with the given probability.  */
bool rng_chance (const rng_t *rng, double probability);

#endif
