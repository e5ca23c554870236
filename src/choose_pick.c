#include "choose_impl.h"

#include <math.h>
#include <xxhash.h>

#include "clock.h"
#include "invariant.h"

enum
{
  SAMPLE_TRIES = 4,
  SLOWDOWN_DECAY_US = 5 * US_PER_S,
  REFUSAL_DECAY_US = 2 * US_PER_S,
  REPORT_MAX_AGE_US = US_PER_S
};

static const double RAMP_INITIAL_SHARE = 0.05;
static const double SPILL_UTILIZATION = 0.85; /* a zone spills above this */
/* Servers differ in speed without being overloaded.  Only a server slower than
   this multiple of the others' latency is passed over for one of another
   zone.  */
static const double SPILL_SLOWDOWN = 2;
/* Margin by which another zone's score must be lower.  */
static const double SPILL_MARGIN = 0.1;
static const double SLOWDOWN_MAX = 20; /* a multiple of the others' latency */
/* Lower bound on the accepted share by which a weight is multiplied.  */
static const double ACCEPTED_SHARE_MIN = 0.05;

double
choose_ramp_share (const choose_t *choose, const server_t *server,
                   int64_t now_us)
{
  int64_t age_us = now_us - server->ramp_start_us;
  if (choose->options.no_ramp || age_us >= CHOOSE_RAMP_US)
    return 1;
  return RAMP_INITIAL_SHARE
         + (1 - RAMP_INITIAL_SHARE) * (double)age_us / CHOOSE_RAMP_US;
}

/* Returns the share of the server's capacity that would be in use with one
   more request.  */
static double
expected_utilization (const choose_t *choose, const server_t *server,
                      int64_t now_us)
{
  double capacity = server->info.slots;
  double other_load = 0;
  int64_t age_us = now_us - server->report_us;
  if (server->report_us > 0 && age_us < REPORT_MAX_AGE_US)
    {
      other_load
          = server->other_load * (1 - (double)age_us / REPORT_MAX_AGE_US);
      if (server->window > 0)
        capacity = fmin (capacity, server->window);
    }
  capacity *= choose_ramp_share (choose, server, now_us);
  return (server->in_flight + other_load + 1) / fmax (1, capacity);
}

/* Returns the server's latency as a multiple of the other servers' mean: as
   reported by its daemon, or else as measured here and at least 1.  The
   measured value decays, so that a server that was slow is tried again.  */
static double
current_slowdown (const choose_t *choose, const server_t *server,
                  int64_t now_us)
{
  double reported = load_estimate_slowdown (&server->estimate, now_us);
  if (reported > 0)
    return reported;
  if (server->latency_us <= 0 || choose->latency_count < 2)
    return 1;
  double others_mean_us = (choose->latency_sum_us - server->latency_us)
                          / (choose->latency_count - 1);
  double slowdown
      = fmin (SLOWDOWN_MAX, server->latency_us / fmax (1, others_mean_us));
  int64_t age_us = now_us - server->latency_updated_us;
  double weight = 1 - fmin (1, (double)age_us / SLOWDOWN_DECAY_US);
  return fmax (1, 1 + (slowdown - 1) * weight);
}

/* Returns the recent share of refusals.  It is added to the utilization, since
   a server that refuses requests ends them quickly and would look idle.  */
static double
decayed_refusal_share (const server_t *server, int64_t now_us)
{
  int64_t age_us = now_us - server->refusal_updated_us;
  if (age_us >= REFUSAL_DECAY_US)
    return 0;
  return server->refusal_share * (1 - (double)age_us / REFUSAL_DECAY_US);
}

typedef struct candidate_t
{
  server_t *server;        /* NULL if there is none */
  double score;            /* for comparison within a zone; lower is better */
  double cross_zone_score; /* for comparison between zones; lower is better */
} candidate_t;

typedef struct pick_context_t
{
  const choose_t *choose;
  const vm_id_t *exclude;
  size_t exclude_count;
  const rng_t *rng;
  int64_t now_us;
} pick_context_t;

static bool
is_excluded (const pick_context_t *pick, vm_id_t vm)
{
  for (size_t i = 0; i < pick->exclude_count; i++)
    if (pick->exclude[i] == vm)
      return true;
  return false;
}

static candidate_t
make_candidate (const pick_context_t *pick, server_t *server)
{
  double utilization
      = expected_utilization (pick->choose, server, pick->now_us);
  utilization += decayed_refusal_share (server, pick->now_us);
  if (pick->choose->options.no_load_balancing)
    utilization = 0;
  double slowdown = current_slowdown (pick->choose, server, pick->now_us);
  return (candidate_t){ server, utilization * slowdown,
                        utilization * fmax (1, slowdown / SPILL_SLOWDOWN) };
}

/* Returns a random server of LIST that is neither SKIPPED nor excluded, or
   NULL after SAMPLE_TRIES attempts.  During a ramp a server is accepted with a
   reduced probability.  */
static server_t *
sample_server (const pick_context_t *pick, const server_list_t *list,
               const server_t *skipped)
{
  for (int i = 0; i < SAMPLE_TRIES && list->count > 0; i++)
    {
      uint64_t index = rng_below (pick->rng, list->count);
      server_t *server = list->items[index];
      if (server == skipped)
        server = list->items[(index + 1) % list->count];
      if (server == skipped || is_excluded (pick, server->info.vm))
        continue;
      double chance = choose_ramp_share (pick->choose, server, pick->now_us);
      if (chance >= 1 || rng_chance (pick->rng, chance))
        return server;
    }
  return NULL;
}

static candidate_t
pick_better_of_two (const pick_context_t *pick, const server_list_t *list)
{
  candidate_t none = { NULL, 0, 0 };
  server_t *first = sample_server (pick, list, NULL);
  if (first == NULL)
    return none;
  candidate_t first_candidate = make_candidate (pick, first);
  server_t *second = sample_server (pick, list, first);
  if (second == NULL)
    return first_candidate;
  candidate_t second_candidate = make_candidate (pick, second);
  return second_candidate.score < first_candidate.score ? second_candidate
                                                        : first_candidate;
}

/* --- choice by weight, with periodic reports ---------------------------- */

/* Up to CHOOSE_SAMPLE_MAX servers of a list, those from a random one on.  */
typedef struct sample_t
{
  server_t *servers[CHOOSE_SAMPLE_MAX];
  double capacities[CHOOSE_SAMPLE_MAX];
  uint32_t count;
  double mean_utilization; /* of those whose load is known */
} sample_t;

static double
server_capacity (const pick_context_t *pick, const server_t *server)
{
  double capacity = server->info.slots;
  if (load_estimate_is_fresh (&server->estimate, pick->now_us))
    capacity = fmin (capacity, server->estimate.window);
  capacity *= choose_ramp_share (pick->choose, server, pick->now_us);
  return fmax (1, capacity);
}

static void
take_sample (const pick_context_t *pick, const server_list_t *list,
             sample_t *sample)
{
  double pending = 0;
  double capacity = 0;
  uint64_t first = rng_below (pick->rng, list->count);
  sample->count = 0;
  for (uint32_t i = 0; i < list->count && sample->count < CHOOSE_SAMPLE_MAX;
       i++)
    {
      server_t *server = list->items[(first + i) % list->count];
      if (is_excluded (pick, server->info.vm))
        continue;
      sample->capacities[sample->count] = server_capacity (pick, server);
      if (load_estimate_is_fresh (&server->estimate, pick->now_us))
        {
          pending += server->estimate.pending;
          capacity += sample->capacities[sample->count];
        }
      sample->servers[sample->count++] = server;
    }
  sample->mean_utilization = capacity > 0 ? pending / capacity : 0;
}

/* Returns the candidate of the server at INDEX of SAMPLE.  Its score is an
   exponential variable divided by the weight, so that the least score belongs
   to each server with a probability proportional to its weight.  Own requests
   in flight are added to that variable: the sender then spreads its requests
   more evenly than at random.  They are divided by the slowdown, as a slow
   server keeps each of them longer.  UNIT is uniform in [0, 1).  */
static candidate_t
make_weighted_candidate (const pick_context_t *pick, const sample_t *sample,
                         uint32_t index, double unit)
{
  server_t *server = sample->servers[index];
  double capacity = sample->capacities[index];
  double slowdown = current_slowdown (pick->choose, server, pick->now_us);
  double utilization
      = load_estimate_pending (&server->estimate, capacity,
                               sample->mean_utilization, pick->now_us)
        / capacity;
  double refusal_share = decayed_refusal_share (server, pick->now_us);
  double weight = load_estimate_weight (capacity, slowdown, utilization,
                                        sample->mean_utilization,
                                        (int64_t)pick->choose->mean_run_us);
  weight *= fmax (ACCEPTED_SHARE_MIN, 1 - refusal_share);
  double score = (-log (1 - unit) + server->in_flight / slowdown) / weight;
  return (candidate_t){ server, score,
                        (utilization + refusal_share)
                            * fmax (1, slowdown / SPILL_SLOWDOWN) };
}

/* All random numbers of one choice come from one draw, because a draw from the
   system's source is a system call.  */
static candidate_t
pick_by_weight (const pick_context_t *pick, const server_list_t *list)
{
  candidate_t best = { NULL, 0, 0 };
  sample_t sample;
  take_sample (pick, list, &sample);
  uint64_t seed = rng_below (pick->rng, UINT64_MAX);
  for (uint32_t i = 0; i < sample.count; i++)
    {
      uint64_t draw = XXH3_64bits_withSeed (&i, sizeof i, seed);
      double unit = (double)(draw >> 11) * 0x1.0p-53;
      candidate_t candidate = make_weighted_candidate (pick, &sample, i, unit);
      if (best.server == NULL || candidate.score < best.score)
        best = candidate;
    }
  return best;
}

/* ------------------------------------------------------------------------ */

static candidate_t
pick_candidate (const pick_context_t *pick, const server_list_t *list)
{
  const choose_options_t *options = &pick->choose->options;
  return options->periodic_reports && !options->no_load_balancing
             ? pick_by_weight (pick, list)
             : pick_better_of_two (pick, list);
}

/* Returns any server of LIST that is not excluded, or NULL; used when sampling
   found none.  It takes at most one step more than there are excluded
   servers.  */
static server_t *
find_any_server (const pick_context_t *pick, const server_list_t *list)
{
  uint64_t index = rng_below (pick->rng, list->count);
  for (size_t i = 0; i <= pick->exclude_count && i < list->count; i++)
    {
      server_t *server = list->items[(index + i) % list->count];
      if (!is_excluded (pick, server->info.vm))
        return server;
    }
  return NULL;
}

bool
choose_pick_server (choose_t *choose, uint32_t own_zone,
                    const vm_id_t *exclude, size_t exclude_count,
                    const rng_t *rng, int64_t now_us, vm_id_t *vm)
{
  pick_context_t pick = { choose, exclude, exclude_count, rng, now_us };
  candidate_t best = { NULL, 0, 0 };

  choose_end_expired_ejections (choose, now_us);
  if (!choose->options.no_zone_preference && own_zone < CHOOSE_ZONES_MAX)
    best = pick_candidate (&pick, &choose->eligible_by_zone[own_zone]);
  if (best.server == NULL || best.cross_zone_score > SPILL_UTILIZATION)
    {
      candidate_t other = pick_candidate (&pick, &choose->eligible);
      if (best.server == NULL
          || (other.server != NULL
              && other.cross_zone_score
                     < best.cross_zone_score - SPILL_MARGIN))
        best = other;
    }
  if (best.server == NULL)
    best.server = find_any_server (&pick, &choose->eligible);
  if (best.server == NULL)
    return false;
  INVARIANT (!best.server->info.out_of_service,
             "picked a server that is out of service");
  *vm = best.server->info.vm;
  return true;
}
