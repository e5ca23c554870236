#include "choose_impl.h"

#include <math.h>

#include "clock.h"
#include "invariant.h"

enum
{
  SAMPLE_TRIES = 4,
  SLOW_MEMORY_US = 5 * US_PER_S,
  REFUSAL_MEMORY_US = 2 * US_PER_S,
  REPORT_AGE_US = US_PER_S,
  TOLD_SLOW_US = 3 * US_PER_S /* older words do not count */
};

static const double RAMP_FIRST = 0.05;
static const double ROOM_SHARE = 0.85; /* of capacity; above, a zone spills */
/* Servers differ in speed by nature; only one that is slower than this, as a
   multiple of the others, is left for another zone.  */
static const double SLOW_BY_NATURE = 2;
static const double SPILL_GAIN = 0.1; /* by which another zone must be less */
static const double SLOW_MOST = 20;   /* times the others' latency */
static const double SLOW_LEAST = 0.1; /* fast ones attract no more than that */

double
choose_ramp (const choose_t *choose, const server_t *server, int64_t now_us)
{
  int64_t age_us = now_us - server->ramp_us;
  if (choose->options.no_ramp || age_us >= CHOOSE_RAMP_US)
    return 1;
  return RAMP_FIRST + (1 - RAMP_FIRST) * (double)age_us / CHOOSE_RAMP_US;
}

/* Share of the server's capacity that would be in use with one more.  */
static double
utilization (const choose_t *choose, const server_t *server, int64_t now_us)
{
  double capacity = server->known.slots;
  double others = 0;
  int64_t age_us = now_us - server->report_us;
  if (server->report_us > 0 && age_us < REPORT_AGE_US)
    {
      others = server->reported * (1 - (double)age_us / REPORT_AGE_US);
      if (server->window > 0)
        capacity = fmin (capacity, server->window);
    }
  capacity *= choose_ramp (choose, server, now_us);
  return (server->in_flight + others + 1) / fmax (1, capacity);
}

/* Latency as a multiple of the other servers' mean: as its daemon tells, or
   as measured here, at least 1.  The latter fades, so that a server which was
   slow is tried again.  */
static double
slowness (const choose_t *choose, const server_t *server, int64_t now_us)
{
  if (server->told_slow > 0 && now_us - server->told_slow_us < TOLD_SLOW_US)
    return fmin (SLOW_MOST, fmax (SLOW_LEAST, server->told_slow));
  if (server->latency_us <= 0 || choose->latency_count < 2)
    return 1;
  double others = (choose->latency_sum_us - server->latency_us)
                  / (choose->latency_count - 1);
  double slow = fmin (SLOW_MOST, server->latency_us / fmax (1, others));
  int64_t age_us = now_us - server->latency_seen_us;
  double kept = 1 - fmin (1, (double)age_us / SLOW_MEMORY_US);
  return fmax (1, 1 + (slow - 1) * kept);
}

/* A server that refuses ends its sends quickly and would look idle.  */
static double
refusals (const server_t *server, int64_t now_us)
{
  int64_t age_us = now_us - server->refusal_us;
  if (age_us >= REFUSAL_MEMORY_US)
    return 0;
  return server->refusal_share * (1 - (double)age_us / REFUSAL_MEMORY_US);
}

typedef struct candidate_t
{
  server_t *server; /* NULL is none */
  double score;     /* against others of one zone */
  double strain;    /* against those of another */
} candidate_t;

typedef struct pick_t
{
  const choose_t *choose;
  const vm_id_t *exclude;
  size_t exclude_count;
  const rng_t *rng;
  int64_t now_us;
} pick_t;

static bool
is_excluded (const pick_t *pick, vm_id_t vm)
{
  for (size_t i = 0; i < pick->exclude_count; i++)
    if (pick->exclude[i] == vm)
      return true;
  return false;
}

static candidate_t
candidate (const pick_t *pick, server_t *server)
{
  double used = utilization (pick->choose, server, pick->now_us);
  used += refusals (server, pick->now_us);
  if (pick->choose->options.no_load_balancing)
    used = 0;
  double slow = slowness (pick->choose, server, pick->now_us);
  return (candidate_t){ server, used * slow,
                        used * fmax (1, slow / SLOW_BY_NATURE) };
}

/* One server of LIST other than NOT, each with a chance by its ramp.  */
static server_t *
sample (const pick_t *pick, const server_list_t *list, const server_t * not )
{
  for (int i = 0; i < SAMPLE_TRIES && list->count > 0; i++)
    {
      uint64_t at = rng_below (pick->rng, list->count);
      server_t *server = list->items[at];
      if (server == not )
        server = list->items[(at + 1) % list->count];
      if (server == not || is_excluded (pick, server->known.vm))
        continue;
      double chance = choose_ramp (pick->choose, server, pick->now_us);
      if (chance >= 1 || rng_chance (pick->rng, chance))
        return server;
    }
  return NULL;
}

static candidate_t
better_of_two (const pick_t *pick, const server_list_t *list)
{
  candidate_t none = { NULL, 0, 0 };
  server_t *first = sample (pick, list, NULL);
  if (first == NULL)
    return none;
  candidate_t one = candidate (pick, first);
  server_t *second = sample (pick, list, first);
  if (second == NULL)
    return one;
  candidate_t two = candidate (pick, second);
  return two.score < one.score ? two : one;
}

/* Any server left, when sampling found none: at most one step more than
   there are excluded ones.  */
static server_t *
first_left (const pick_t *pick, const server_list_t *list)
{
  uint64_t at = rng_below (pick->rng, list->count);
  for (size_t i = 0; i <= pick->exclude_count && i < list->count; i++)
    {
      server_t *server = list->items[(at + i) % list->count];
      if (!is_excluded (pick, server->known.vm))
        return server;
    }
  return NULL;
}

bool
choose_pick_server (choose_t *choose, uint32_t own_zone,
                    const vm_id_t *exclude, size_t count, const rng_t *rng,
                    int64_t now_us, vm_id_t *vm)
{
  pick_t pick = { choose, exclude, count, rng, now_us };
  candidate_t best = { NULL, 0, 0 };

  choose_restore_due (choose, now_us);
  if (!choose->options.no_zone_preference && own_zone < CHOOSE_ZONES_MAX)
    best = better_of_two (&pick, &choose->zones[own_zone]);
  if (best.server == NULL || best.strain > ROOM_SHARE)
    {
      candidate_t other = better_of_two (&pick, &choose->all);
      if (best.server == NULL
          || (other.server != NULL && other.strain < best.strain - SPILL_GAIN))
        best = other;
    }
  if (best.server == NULL)
    best.server = first_left (&pick, &choose->all);
  if (best.server == NULL)
    return false;
  INVARIANT (!best.server->known.out_of_service,
             "a server that is out was picked");
  *vm = best.server->known.vm;
  return true;
}
