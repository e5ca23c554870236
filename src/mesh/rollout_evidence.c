#include "mesh/rollout_evidence.h"

#include <gsl/gsl_cdf.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mesh/vm_array.h"

enum
{
  /* Runs cut off by one crash end within a few milliseconds.  */
  NO_RESPONSE_GROUP_US = 100 * US_PER_MS,
  /* Reports are sent every 250 ms, to other availability zones every 500 ms.
     So a fault of a callee shows in the counts of all servers within one
     bucket and the next.  */
  BUCKET_US = 500 * US_PER_MS,
  BUCKET_COUNT = 64,
  /* The newest buckets, whose counts may not have been reported by all old
     servers yet.  */
  OPEN_BUCKETS = 2,
  /* Where old servers have reported nothing, as after a shift, their counts of
     up to this many buckets earlier are used.  */
  OLD_SEARCH_BUCKETS = 6,
  FAILED_RUNS_MIN = 5,
  REPORTERS_MAX = 1024,
  ROUTE_NAMES_MAX = 32,
  OTHER_ROUTES = ROLLOUT_ROUTES_MAX,
  CELL_COUNT = ROLLOUT_ROUTES_MAX + 1,
  ALL_ROUTES = -1
};

/* Chance that a good version passes for a bad one in one comparison.  A
   roll-out of 12 s takes up to 48 looks at 3 windows, 9 sets of routes and 2
   measures, which is 2,600 comparisons: below 1 in 1,000 together.  */
static const double SIGNIFICANCE = 1e-7;
/* Least difference that makes a version bad.  */
static const double FAILED_EXCESS_MIN = 0.05;
static const double SLOW_EXCESS_MIN = 0.15;
/* Assumed for the old version before its counts are known: one failure in 20
   runs.  */
static const double PRIOR_EVENTS = 1;
static const double PRIOR_RUNS = 20;

/* Windows in buckets: a fault that begins late shows in a short one, a small
   difference in a long one.  */
static const int WINDOWS[] = { 6, 20, BUCKET_COUNT - OPEN_BUCKETS - 1 };

/* Runs that are enough: a share of 0.35 of failures is found in 25 runs with a
   probability of about 0.9, and in 60 with certainty.  */
static const double RUNS_ENOUGH = 60;
static const double ROUTE_RUNS_ENOUGH = 25;
/* Less is enough if the old version has few runs: the part of them that the
   new one must have had, two thirds of what a share of 0.08 gives it. Services
   below 200 runs in the observation need none; what a bad version would get
   after the shift is within the slack there.  */
static const double RUNS_PER_OLD_RUN = 0.06;
static const double OLD_RUNS_MIN = 200;
/* The same for a route.  With 0, six of eight good roll-outs at 100 requests/s
   on three routes ended after their deadline.  */
static const double OLD_ROUTE_RUNS_MIN = 100;
/* Runs at times when more of the old version's runs fail say nothing of the
   new one.  */
static const double FAILED_SHARE_MAX = 0.2;
/* Part of the old version's runs that makes a route relevant.  */
static const double RELEVANT_ROUTE_SHARE = 0.08;

typedef struct cell_t
{
  uint64_t runs;
  uint64_t failed;
  uint64_t over_2x;
  uint64_t over_4x;
} cell_t;

enum
{
  OLD,
  NEW
};

typedef struct bucket_t
{
  int64_t index; /* of the half second */
  cell_t cells[2][CELL_COUNT];
} bucket_t;

/* Runs of one server in a bucket, on all routes.  */
typedef struct server_bucket_t
{
  int64_t index;
  uint32_t runs;
  uint32_t over_4x;
} server_bucket_t;

typedef struct reporter_t
{
  vm_id_t vm; /* must be first */
  incarnation_t incarnation;
  bool is_new;
  int64_t heard_us;
  rollout_counts_t counts;
  server_bucket_t buckets[BUCKET_COUNT];
} reporter_t;

typedef struct route_name_t
{
  uint32_t hash;
  char name[NAME_BYTES];
} route_name_t;

struct rollout_evidence_t
{
  uint32_t routes[ROLLOUT_ROUTES_MAX]; /* hashes; 0 is unused */
  bucket_t buckets[BUCKET_COUNT];
  cell_t totals[2][CELL_COUNT];
  reporter_t *reporters;
  size_t reporter_count;
  route_name_t names[ROUTE_NAMES_MAX];
  uint32_t name_count;
};

uint32_t
rollout_route_hash (const char *route)
{
  uint32_t hash = (uint32_t)XXH3_64bits (route, strlen (route));
  return hash == 0 ? 1 : hash;
}

/* Returns the counts of HASH, or those of the other routes if there is no room
   for it.  */
static rollout_route_counts_t *
route_counts (rollout_counts_t *counts, uint32_t hash)
{
  uint32_t named_count = 0;
  for (uint32_t i = 0; i < counts->route_count; i++)
    {
      if (counts->routes[i].route_hash == hash)
        return &counts->routes[i];
      named_count += counts->routes[i].route_hash != 0;
    }
  if (named_count == ROLLOUT_ROUTES_MAX && hash != 0)
    return route_counts (counts, 0);
  rollout_route_counts_t *added = &counts->routes[counts->route_count++];
  *added = (rollout_route_counts_t){ .route_hash = hash };
  return added;
}

void
rollout_counter_record_run (rollout_counter_t *counter, const char *route,
                            rollout_run_result_t result, int64_t run_us,
                            int64_t mean_run_us, bool in_cold_start,
                            int64_t now_us)
{
  bool knows_mean = mean_run_us > 0 && !in_cold_start;
  bool has_failed = result == ROLLOUT_RUN_FAILED
                    || (result == ROLLOUT_RUN_NO_RESPONSE
                        && !(knows_mean && run_us > 4 * mean_run_us));
  if (has_failed && result == ROLLOUT_RUN_NO_RESPONSE)
    {
      if (counter->no_response_us != 0
          && now_us - counter->no_response_us < NO_RESPONSE_GROUP_US)
        return;
      counter->no_response_us = now_us;
    }
  rollout_route_counts_t *counts
      = route_counts (&counter->counts, rollout_route_hash (route));
  counts->runs++;
  counts->failed += has_failed;
  if (knows_mean)
    {
      counts->over_2x += run_us > 2 * mean_run_us;
      counts->over_4x += run_us > 4 * mean_run_us;
    }
}

rollout_evidence_t *
rollout_evidence_new (void)
{
  rollout_evidence_t *evidence = calloc (1, sizeof *evidence);
  if (evidence == NULL)
    abort ();
  return evidence;
}

void
rollout_evidence_free (rollout_evidence_t *evidence)
{
  if (evidence == NULL)
    return;
  free (evidence->reporters);
  free (evidence);
}

void
rollout_evidence_note_route (rollout_evidence_t *evidence, const char *route)
{
  uint32_t hash = rollout_route_hash (route);
  for (uint32_t i = 0; i < evidence->name_count; i++)
    if (evidence->names[i].hash == hash)
      return;
  if (evidence->name_count == ROUTE_NAMES_MAX)
    return;
  route_name_t *added = &evidence->names[evidence->name_count++];
  added->hash = hash;
  snprintf (added->name, sizeof added->name, "%s", route);
}

static int
cell_index (rollout_evidence_t *evidence, uint32_t hash)
{
  if (hash == 0)
    return OTHER_ROUTES;
  for (int i = 0; i < ROLLOUT_ROUTES_MAX; i++)
    {
      if (evidence->routes[i] == 0)
        evidence->routes[i] = hash;
      if (evidence->routes[i] == hash)
        return i;
    }
  return OTHER_ROUTES;
}

static void
cell_add (cell_t *to, const cell_t *from)
{
  to->runs += from->runs;
  to->failed += from->failed;
  to->over_2x += from->over_2x;
  to->over_4x += from->over_4x;
}

static bucket_t *
current_bucket (rollout_evidence_t *evidence, int64_t now_us)
{
  int64_t index = now_us / BUCKET_US;
  bucket_t *bucket = &evidence->buckets[index % BUCKET_COUNT];
  if (bucket->index != index)
    *bucket = (bucket_t){ .index = index };
  return bucket;
}

static const rollout_route_counts_t *
find_counts (const rollout_counts_t *counts, uint32_t hash)
{
  static const rollout_route_counts_t none;
  for (uint32_t i = 0; i < counts->route_count; i++)
    if (counts->routes[i].route_hash == hash)
      return &counts->routes[i];
  return &none;
}

/* Whether COUNTS were reported before LAST, on another connection.  */
static bool
is_older_report (const rollout_counts_t *counts, const rollout_counts_t *last)
{
  for (uint32_t i = 0; i < last->route_count; i++)
    {
      const rollout_route_counts_t *counted
          = find_counts (counts, last->routes[i].route_hash);
      if ((int32_t)(counted->runs - last->routes[i].runs) < 0)
        return true;
    }
  return false;
}

static server_bucket_t *
current_server_bucket (reporter_t *reporter, int64_t now_us)
{
  int64_t index = now_us / BUCKET_US;
  server_bucket_t *bucket = &reporter->buckets[index % BUCKET_COUNT];
  if (bucket->index != index)
    *bucket = (server_bucket_t){ .index = index };
  return bucket;
}

static void
add_growth (rollout_evidence_t *evidence, reporter_t *reporter,
            const rollout_counts_t *counts, int64_t now_us)
{
  bucket_t *bucket = current_bucket (evidence, now_us);
  server_bucket_t *server = current_server_bucket (reporter, now_us);
  for (uint32_t i = 0; i < counts->route_count; i++)
    {
      const rollout_route_counts_t *route = &counts->routes[i];
      const rollout_route_counts_t *last
          = find_counts (&reporter->counts, route->route_hash);
      cell_t growth = { .runs = route->runs - last->runs,
                        .failed = route->failed - last->failed,
                        .over_2x = route->over_2x - last->over_2x,
                        .over_4x = route->over_4x - last->over_4x };
      server->runs += (uint32_t)growth.runs;
      server->over_4x += (uint32_t)growth.over_4x;
      int cell = cell_index (evidence, route->route_hash);
      cell_add (&bucket->cells[reporter->is_new][cell], &growth);
      cell_add (&evidence->totals[reporter->is_new][cell], &growth);
    }
}

void
rollout_evidence_apply (rollout_evidence_t *evidence, vm_id_t vm,
                        incarnation_t incarnation, bool is_new,
                        const rollout_counts_t *counts, int64_t now_us)
{
  if (counts->route_count > CELL_COUNT)
    return;
  size_t index
      = vm_array_search (evidence->reporters, evidence->reporter_count,
                         sizeof *evidence->reporters, vm);
  bool is_known = index < evidence->reporter_count
                  && evidence->reporters[index].vm == vm;
  if (!is_known)
    {
      if (evidence->reporter_count == REPORTERS_MAX)
        return;
      evidence->reporters
          = vm_array_insert (evidence->reporters, &evidence->reporter_count,
                             sizeof *evidence->reporters, index);
      evidence->reporters[index] = (reporter_t){ .vm = vm };
    }
  reporter_t *reporter = &evidence->reporters[index];
  if (is_known && incarnation < reporter->incarnation)
    return;
  if (is_known && incarnation == reporter->incarnation
      && is_new == reporter->is_new)
    {
      if (is_older_report (counts, &reporter->counts))
        return;
      if (now_us - reporter->heard_us <= ROLLOUT_REPORT_GAP_MAX_US)
        add_growth (evidence, reporter, counts, now_us);
    }
  reporter->incarnation = incarnation;
  reporter->is_new = is_new;
  reporter->heard_us = now_us;
  reporter->counts = *counts;
}

/* Sum of the counts of a version in the bucket with INDEX; zero if it has been
   overwritten or nothing was reported.  */
static cell_t
bucket_cell (const rollout_evidence_t *evidence, int64_t index, int version,
             int route)
{
  cell_t sum = { 0 };
  if (index < 0)
    return sum;
  const bucket_t *bucket = &evidence->buckets[index % BUCKET_COUNT];
  if (bucket->index != index)
    return sum;
  if (route != ALL_ROUTES)
    return bucket->cells[version][route];
  for (int i = 0; i < CELL_COUNT; i++)
    cell_add (&sum, &bucket->cells[version][i]);
  return sum;
}

typedef struct measure_t
{
  rollout_verdict_t verdict;
  const char *text; /* what the runs did */
  /* Counts of the new version, and what is expected at least of them from the
     old one.  */
  uint64_t (*events) (const cell_t *cell);
  uint64_t (*expected_events) (const cell_t *cell);
  double excess_min;
  /* A server may be several times slower for about half a second.  A bucket
     with more than half of the events of its window is left out, so that one
     such time is not enough.  */
  bool omits_bursts;
  /* Length of the stretches of the old version's buckets of which the one with
     the highest share counts.  */
  int stretch_buckets;
} measure_t;

static uint64_t
failed_runs (const cell_t *cell)
{
  return cell->failed;
}

static uint64_t
runs_over_2x (const cell_t *cell)
{
  return cell->over_2x;
}

static uint64_t
runs_over_4x (const cell_t *cell)
{
  return cell->over_4x;
}

/* A good new server may have half the mean speed.  As many of its runs exceed
   four times the mean as exceed twice the mean at a server of that speed, so
   the slow runs are compared with those of the old version over twice the
   mean.  */
static const measure_t MEASURES[]
    = { { ROLLOUT_VERDICT_FAILING, "failed", failed_runs, failed_runs,
          FAILED_EXCESS_MIN, false, 1 },
        { ROLLOUT_VERDICT_SLOW, "took over four times the mean", runs_over_4x,
          runs_over_2x, SLOW_EXCESS_MIN, true, 2 } };

static double
expected_share (const measure_t *measure, const cell_t *old)
{
  return ((double)measure->expected_events (old) + PRIOR_EVENTS)
         / ((double)old->runs + PRIOR_RUNS);
}

/* Share of events that a good version may have in the bucket with INDEX: the
   highest one of the old version around it, since the reports of different
   servers cover slightly different times.  */
static double
expected_bucket_share (const rollout_evidence_t *evidence,
                       const measure_t *measure, int64_t index, int route)
{
  double highest = 0;
  bool found = false;
  cell_t previous = { 0 };
  for (int64_t i = index + 1; i >= index - 1 - OLD_SEARCH_BUCKETS; i--)
    {
      if (i < index - 1 && found)
        break;
      cell_t old = bucket_cell (evidence, i, OLD, route);
      cell_t stretch = old;
      if (measure->stretch_buckets > 1)
        cell_add (&stretch, &previous);
      previous = old;
      if (old.runs == 0 || (measure->stretch_buckets > 1 && i == index + 1))
        continue;
      found = true;
      double share = expected_share (measure, &stretch);
      if (share > highest)
        highest = share;
    }
  return found ? highest : PRIOR_EVENTS / PRIOR_RUNS;
}

/* Sums over a window.  */
typedef struct comparison_t
{
  double runs;
  double events;
  double expected; /* events */
  cell_t old;
  int bucket_count;
} comparison_t;

static void
add_bucket (comparison_t *sum, const comparison_t *bucket, int sign)
{
  sum->runs += sign * bucket->runs;
  sum->events += sign * bucket->events;
  sum->expected += sign * bucket->expected;
}

static comparison_t
compare_window (const rollout_evidence_t *evidence, const measure_t *measure,
                int64_t last_index, int bucket_count, int route)
{
  comparison_t sum = { .bucket_count = bucket_count };
  comparison_t highest = { 0 };
  for (int64_t i = last_index; i > last_index - bucket_count; i--)
    {
      cell_t new = bucket_cell (evidence, i, NEW, route);
      if (new.runs == 0)
        continue;
      cell_t old = bucket_cell (evidence, i, OLD, route);
      cell_add (&sum.old, &old);
      comparison_t bucket
          = { .runs = (double)new.runs,
              .events = (double)measure->events (&new),
              .expected = (double)new.runs *expected_bucket_share (
                  evidence, measure, i, route) };
      add_bucket (&sum, &bucket, 1);
      if (bucket.events > highest.events)
        highest = bucket;
    }
  if (measure->omits_bursts && highest.events > sum.events / 2)
    add_bucket (&sum, &highest, -1);
  return sum;
}

/* Probability of at least as many events with the expected share.  Where the
   share differs between buckets, the binomial distribution of the mean share
   is an upper bound (Hoeffding 1956).  */
static double
tail_probability (const comparison_t *sum)
{
  double share = sum->expected / sum->runs;
  if (share >= 1)
    return 1;
  return gsl_cdf_binomial_Q ((unsigned int)(sum->events - 1), share,
                             (unsigned int)sum->runs);
}

static bool
is_bad (const measure_t *measure, const comparison_t *sum)
{
  if (sum->events < FAILED_RUNS_MIN)
    return false;
  /* The difference is to the old version's own share of such events.  */
  double old_events = (double)measure->events (&sum->old);
  double old_share
      = sum->old.runs == 0 ? 0 : old_events / (double)sum->old.runs;
  return sum->events / sum->runs - old_share >= measure->excess_min
         && sum->events > sum->expected
         && tail_probability (sum) < SIGNIFICANCE;
}

static void
format_route (const rollout_evidence_t *evidence, int route, char *text,
              size_t size)
{
  if (route == ALL_ROUTES)
    {
      snprintf (text, size, "all routes");
      return;
    }
  for (uint32_t i = 0; i < evidence->name_count; i++)
    if (evidence->names[i].hash == evidence->routes[route])
      {
        snprintf (text, size, "route %s", evidence->names[i].name);
        return;
      }
  snprintf (text, size, "route #%08x", evidence->routes[route]);
}

static void
explain (const rollout_evidence_t *evidence, const measure_t *measure,
         const comparison_t *sum, int route, char *explanation)
{
  char route_text[NAME_BYTES + 16];
  format_route (evidence, route, route_text, sizeof route_text);
  snprintf (explanation, ROLLOUT_EXPLANATION_BYTES,
            "%s: %.0f of %.0f runs of the new version %s, %llu of %llu of the "
            "old one, in the same %.1f s",
            route_text, sum->events, sum->runs, measure->text,
            (unsigned long long)measure->events (&sum->old),
            (unsigned long long)sum->old.runs,
            sum->bucket_count * (double)BUCKET_US / US_PER_S);
}

/* Expected slow runs of new servers that are somewhat slower than the old
   ones on average, relative to the old version's.  */
static const double SLOWER_SERVER_FACTOR = 1.3;

/* Expected only from the old version's runs over four times the mean.  */
static const measure_t SLOW_SERVERS_MEASURE
    = { ROLLOUT_VERDICT_SLOW,
        "took over four times the mean on most servers",
        runs_over_4x,
        runs_over_4x,
        SLOW_EXCESS_MIN,
        false,
        2 };

static comparison_t
compare_server (const rollout_evidence_t *evidence, const reporter_t *reporter,
                int64_t last_index, int bucket_count)
{
  comparison_t sum = { 0 };
  for (int64_t i = last_index; i > last_index - bucket_count && i >= 0; i--)
    {
      const server_bucket_t *bucket = &reporter->buckets[i % BUCKET_COUNT];
      if (bucket->index != i || bucket->runs == 0)
        continue;
      sum.runs += bucket->runs;
      sum.events += bucket->over_4x;
      sum.expected += bucket->runs * SLOWER_SERVER_FACTOR
                      * expected_bucket_share (evidence, &SLOW_SERVERS_MEASURE,
                                               i, ALL_ROUTES);
    }
  return sum;
}

static int
compare_excess (const void *a, const void *b)
{
  const comparison_t *left = a;
  const comparison_t *right = b;
  double left_excess = left->events - left->expected;
  double right_excess = right->events - right->expected;
  return (left_excess < right_excess) - (left_excess > right_excess);
}

/* Compares the slow runs of all new servers but the worst, which may be on
   slow machines: the first, and a quarter of the others.  With wide spread run
   times this needs a third of the runs of the comparison with a server of half
   the speed.  */
static comparison_t
compare_servers (const rollout_evidence_t *evidence, int64_t last_index,
                 int bucket_count)
{
  comparison_t sum = compare_window (evidence, &SLOW_SERVERS_MEASURE,
                                     last_index, bucket_count, ALL_ROUTES);
  sum.runs = sum.events = sum.expected = 0;
  comparison_t *servers
      = calloc (evidence->reporter_count + 1, sizeof *servers);
  if (servers == NULL)
    abort ();
  size_t count = 0;
  for (size_t i = 0; i < evidence->reporter_count; i++)
    if (evidence->reporters[i].is_new)
      {
        servers[count] = compare_server (evidence, &evidence->reporters[i],
                                         last_index, bucket_count);
        count += servers[count].runs > 0;
      }
  qsort (servers, count, sizeof *servers, compare_excess);
  size_t omitted_count = count == 0 ? 0 : 1 + (count - 1) / 4;
  for (size_t i = omitted_count; i < count; i++)
    add_bucket (&sum, &servers[i], 1);
  free (servers);
  return sum;
}

rollout_verdict_t
rollout_evidence_verdict (const rollout_evidence_t *evidence, int64_t now_us,
                          char *explanation)
{
  int64_t last_index = now_us / BUCKET_US - OPEN_BUCKETS;
  /* The other routes may differ from server to server; they count only in the
     sum of all routes.  */
  for (int route = ALL_ROUTES; route < ROLLOUT_ROUTES_MAX; route++)
    for (size_t m = 0; m < sizeof MEASURES / sizeof MEASURES[0]; m++)
      for (size_t w = 0; w < sizeof WINDOWS / sizeof WINDOWS[0]; w++)
        {
          const measure_t *measure = &MEASURES[m];
          comparison_t sum = compare_window (evidence, measure, last_index,
                                             WINDOWS[w], route);
          if (!is_bad (measure, &sum))
            continue;
          if (explanation != NULL)
            explain (evidence, measure, &sum, route, explanation);
          return measure->verdict;
        }
  for (size_t w = 0; w < sizeof WINDOWS / sizeof WINDOWS[0]; w++)
    {
      comparison_t sum = compare_servers (evidence, last_index, WINDOWS[w]);
      if (!is_bad (&SLOW_SERVERS_MEASURE, &sum))
        continue;
      if (explanation != NULL)
        explain (evidence, &SLOW_SERVERS_MEASURE, &sum, ALL_ROUTES,
                 explanation);
      return ROLLOUT_VERDICT_SLOW;
    }
  return ROLLOUT_VERDICT_OPEN;
}

static cell_t
total_cell (const rollout_evidence_t *evidence, int version)
{
  cell_t sum = { 0 };
  for (int i = 0; i < CELL_COUNT; i++)
    cell_add (&sum, &evidence->totals[version][i]);
  return sum;
}

rollout_totals_t
rollout_evidence_totals (const rollout_evidence_t *evidence, bool is_new)
{
  cell_t sum = total_cell (evidence, is_new ? NEW : OLD);
  return (rollout_totals_t){ .runs = sum.runs,
                             .failed = sum.failed,
                             .over_4x = sum.over_4x };
}

/* Runs of the new version at times when a bad one would have been seen, that
   is without many failures at the old one.  */
static double
informative_runs (const rollout_evidence_t *evidence)
{
  double runs = 0;
  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      int64_t index = evidence->buckets[i].index;
      cell_t new = bucket_cell (evidence, index, NEW, ALL_ROUTES);
      if (new.runs > 0
          && expected_bucket_share (evidence, &MEASURES[0], index, ALL_ROUTES)
                 < FAILED_SHARE_MAX)
        runs += (double)new.runs;
    }
  return runs;
}

static bool
has_enough (const rollout_evidence_t *evidence, int route, double runs,
            double needed, char *explanation)
{
  if (runs >= needed)
    return true;
  if (explanation != NULL)
    {
      char route_text[NAME_BYTES + 16];
      format_route (evidence, route, route_text, sizeof route_text);
      snprintf (explanation, ROLLOUT_EXPLANATION_BYTES,
                "%s: %.0f runs of the new version, %.0f are needed",
                route_text, runs, needed);
    }
  return false;
}

static double
smaller_of (double a, double b)
{
  return a < b ? a : b;
}

bool
rollout_evidence_is_sufficient (const rollout_evidence_t *evidence,
                                char *explanation)
{
  double old_runs = (double)total_cell (evidence, OLD).runs;
  double new_runs = informative_runs (evidence);
  double needed
      = smaller_of (RUNS_ENOUGH, RUNS_PER_OLD_RUN * (old_runs - OLD_RUNS_MIN));
  if (!has_enough (evidence, ALL_ROUTES, new_runs, needed, explanation))
    return false;
  for (int i = 0; i < ROLLOUT_ROUTES_MAX; i++)
    {
      double old_route_runs = (double)evidence->totals[OLD][i].runs;
      needed = smaller_of (ROUTE_RUNS_ENOUGH,
                           RUNS_PER_OLD_RUN
                               * (old_route_runs - OLD_ROUTE_RUNS_MIN));
      if (old_runs > OLD_RUNS_MIN
          && old_route_runs >= RELEVANT_ROUTE_SHARE * old_runs
          && !has_enough (evidence, i, (double)evidence->totals[NEW][i].runs,
                          needed, explanation))
        return false;
    }
  return true;
}
