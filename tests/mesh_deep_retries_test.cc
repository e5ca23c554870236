/* Retries in call trees of several levels.  Guards against levels that each
   keep a limit of their own while their repeats add up at the services below,
   against limits that grow with the number of sidecars, and against routes
   whose calls are not known yet.  */

#include <gtest/gtest.h>

extern "C"
{
#include "clock.h"
#include "mesh/call_graph.h"
#include "mesh/call_learner.h"
#include "mesh/retry_pool.h"
#include "rng.h"
}

#include <algorithm>
#include <cmath>
#include <queue>
#include <string>
#include <vector>

namespace
{
const double RETRY_RATIO = 0.2;
const double RESERVE = 48;
const int64_t STEP_US = 100 * US_PER_MS;
const size_t STEPS_PER_WINDOW = 100; /* 10 s */
const int64_t END_US = 18 * US_PER_S;
const int64_t LOSS_START_US = 3 * US_PER_S;
const int64_t CHANGES_START_US = 4 * US_PER_S;
const int64_t NEW_US = 10 * US_PER_S;
const int64_t RUN_US = 15 * US_PER_MS;
const int64_t OVERDUE_US = 200 * US_PER_MS;
const int64_t CHECK_US = 200 * US_PER_MS;
const int64_t ROOT_DEADLINE_US = 5 * US_PER_S;
const int RETRIES_PER_REQUEST = 2;

struct Tree
{
  size_t levels;
  size_t calls;      /* of a run, but for those of the second last level */
  size_t last_calls; /* of a run there */
  double roots_per_s;
};

struct DeepRow
{
  Tree tree;
  size_t sidecars;
  double lost;
  bool changes;
};

std::string
service_name (size_t level)
{
  return "s" + std::to_string (level);
}

/* The retry pools of one sidecar.  */
class Sidecar
{
public:
  explicit Sidecar (size_t levels) : pools (levels)
  {
    for (size_t i = 0; i < levels; i++)
      retry_pool_init (&pools[i], service_name (i).c_str ());
  }

  void
  count (const call_graph_t *graph, size_t level, const std::string &route,
         bool is_new, retry_party_t party, retry_budget_t budget,
         int64_t now_us)
  {
    retry_costs_t costs = find_costs (graph, level, route, is_new, now_us);
    retry_costs_deposit (&costs, party, budget, now_us);
  }

  bool
  try_retry (const call_graph_t *graph, size_t level, const std::string &route,
             bool is_new, retry_budget_t budget, int64_t now_us, double draw)
  {
    retry_costs_t costs = find_costs (graph, level, route, is_new, now_us);
    return retry_costs_try_withdraw (&costs, budget, now_us, draw);
  }

private:
  std::vector<retry_pool_t> pools;

  static void
  add_pool (void *ctx, const char *route, double runs, uint32_t distance,
            retry_costs_t *costs)
  {
    Sidecar *self = (Sidecar *)ctx;
    retry_costs_add (costs, &self->pools[atoi (route + 1)], runs, distance);
  }

  retry_costs_t
  find_costs (const call_graph_t *graph, size_t level,
              const std::string &route, bool is_new, int64_t now_us)
  {
    retry_costs_t costs;
    retry_costs_find (&costs, graph, &pools[level], route.c_str (), is_new,
                      now_us, add_pool, this);
    return costs;
  }
};

struct Request
{
  size_t level;
  size_t sidecar; /* that sends it */
  int parent;     /* run that makes it, or -1 */
  int64_t deadline_us;
  int retries_left;
  bool first_sent;
  bool ended;
};

struct Run
{
  int request;
  size_t sidecar;
  bool repeat; /* or made by a repeat */
  bool resent; /* by the sidecar of the server */
  size_t calls_open;
  bool failed;
};

enum class Kind
{
  ROOT,
  SEND,
  RUN_END,
  OVERDUE,
};

struct Event
{
  int64_t at_us;
  uint64_t sequence;
  Kind kind;
  int index;
  bool
  operator<(const Event &other) const
  {
    return at_us != other.at_us ? at_us > other.at_us
                                : sequence > other.sequence;
  }
};

/* Plays a fleet whose servers of each level run on sidecars of their own.  */
class Play
{
public:
  explicit Play (const DeepRow &row)
      : row (row), rng (rng_seeded (7)), graph (call_graph_new ()),
        sidecars (row.sidecars, Sidecar (row.tree.levels)),
        versions (row.tree.levels, 0), changed_us (row.tree.levels, -NEW_US),
        learners (row.tree.levels),
        requests_at (row.tree.levels, std::vector<double> (steps ())),
        repeats_at (row.tree.levels, std::vector<double> (steps ()))
  {
    for (call_learner_t *&learner : learners)
      learner = call_learner_new ();
  }

  ~Play ()
  {
    for (call_learner_t *learner : learners)
      call_learner_free (learner);
    call_graph_free (graph);
    rng_seeded_free (&rng);
  }

  void
  run ()
  {
    int64_t next_second_us = 0;
    for (size_t i = 0; i + 1 < row.tree.levels; i++)
      report_ratio (this, route (i).c_str (), route (i + 1).c_str (),
                    (double)calls_of (i));
    schedule (1, Kind::ROOT, 0);
    while (!events.empty () && events.top ().at_us < END_US)
      {
        Event event = events.top ();
        events.pop ();
        now_us = event.at_us;
        for (; next_second_us <= now_us; next_second_us += US_PER_S)
          begin_second (next_second_us);
        handle (event);
      }
  }

  /* Most repeats beyond the promise in any window, over all services.  */
  double
  max_excess (std::string *where) const
  {
    double worst = -INFINITY;
    for (size_t level = 0; level < row.tree.levels; level++)
      for (size_t end = STEPS_PER_WINDOW; end <= steps (); end++)
        {
          double requests = 0;
          for (size_t shift :
               { size_t (0), STEPS_PER_WINDOW / 2, STEPS_PER_WINDOW })
            requests
                = std::max (requests, sum (requests_at[level], end, shift));
          double repeats = sum (repeats_at[level], end, 0);
          double excess = repeats - RETRY_RATIO * requests - RESERVE;
          if (excess <= worst)
            continue;
          worst = excess;
          *where = service_name (level) + ": " + std::to_string (repeats)
                   + " repeats, " + std::to_string (requests) + " requests";
        }
    return worst;
  }

  double
  total_repeats () const
  {
    double total = 0;
    for (const std::vector<double> &repeats : repeats_at)
      total += sum (repeats, steps (), 0);
    return total;
  }

private:
  DeepRow row;
  rng_t rng;
  call_graph_t *graph;
  std::vector<Sidecar> sidecars;
  std::vector<int> versions; /* of the routes of each level */
  std::vector<int64_t> changed_us;
  std::vector<call_learner_t *> learners; /* of all sidecars of a level */
  std::vector<std::vector<double>> requests_at;
  std::vector<std::vector<double>> repeats_at;
  std::vector<Request> requests;
  std::vector<Run> runs;
  std::priority_queue<Event> events;
  uint64_t sequence = 0;
  int64_t now_us = 0;
  size_t changes = 0;

  size_t
  calls_of (size_t level) const
  {
    return level + 2 == row.tree.levels ? row.tree.last_calls : row.tree.calls;
  }

  static size_t
  steps ()
  {
    return END_US / STEP_US;
  }

  static double
  sum (const std::vector<double> &counts, size_t end, size_t shift)
  {
    double total = 0;
    size_t last = end > shift ? end - shift : 0;
    size_t first = last > STEPS_PER_WINDOW ? last - STEPS_PER_WINDOW : 0;
    for (size_t i = first; i < last; i++)
      total += counts[i];
    return total;
  }

  void
  schedule (int64_t after_us, Kind kind, int index)
  {
    events.push ({ now_us + after_us, sequence++, kind, index });
  }

  retry_budget_t
  budget () const
  {
    return { RETRY_RATIO, RESERVE, (uint32_t)row.sidecars };
  }

  std::string
  route_name (size_t level, int version) const
  {
    return "r" + std::to_string (level) + "." + std::to_string (version);
  }

  std::string
  route (size_t level) const
  {
    return route_name (level, versions[level]);
  }

  bool
  is_new (size_t level) const
  {
    return now_us - changed_us[level] < NEW_US;
  }

  /* Reports what every sidecar of each level has learnt.  */
  void
  report_calls (int64_t at_us)
  {
    for (call_learner_t *learner : learners)
      {
        call_learner_tick (learner, at_us);
        for (size_t i = 0; i < row.sidecars / row.tree.levels; i++)
          call_learner_visit_ratios (learner, report_ratio, this);
      }
  }

  static void
  report_ratio (void *ctx, const char *caller, const char *callee,
                double calls_per_run)
  {
    Play *self = (Play *)ctx;
    call_edge_report_t report = { caller, callee, calls_per_run, RUN_US };
    call_graph_update (self->graph, &report, self->now_us);
  }

  void
  begin_second (int64_t at_us)
  {
    report_calls (at_us);
    if (!row.changes || at_us < CHANGES_START_US)
      return;
    size_t level = changes++ % row.tree.levels;
    versions[level]++;
    changed_us[level] = at_us;
  }

  size_t
  pick_sidecar (size_t level)
  {
    size_t first = level * row.sidecars / row.tree.levels;
    size_t end = (level + 1) * row.sidecars / row.tree.levels;
    return first + rng_below (&rng, end - first);
  }

  void
  add_request (size_t level, size_t sidecar, int parent, int64_t deadline_us)
  {
    requests.push_back ({ level, sidecar, parent, deadline_us,
                          RETRIES_PER_REQUEST, false, false });
    if (parent < 0 || !runs[parent].repeat)
      requests_at[level][now_us / STEP_US]++;
    sidecars[sidecar].count (graph, level, route (level), is_new (level),
                             RETRY_BY_SENDER, budget (), now_us);
    if (parent >= 0)
      call_learner_record_call (learners[level - 1], route (level).c_str ());
    schedule (0, Kind::SEND, (int)requests.size () - 1);
  }

  void
  handle (const Event &event)
  {
    switch (event.kind)
      {
      case Kind::ROOT:
        add_request (0, pick_sidecar (0), -1, now_us + ROOT_DEADLINE_US);
        schedule ((int64_t)(-log (1 - rng_unit (&rng)) * US_PER_S
                            / row.tree.roots_per_s)
                      + 1,
                  Kind::ROOT, 0);
        break;
      case Kind::SEND:
        start_run (event.index, pick_sidecar (requests[event.index].level),
                   false);
        break;
      case Kind::RUN_END:
        end_run (event.index);
        break;
      case Kind::OVERDUE:
        check_overdue (event.index);
        break;
      }
  }

  void
  start_run (int index, size_t sidecar, bool resent)
  {
    Request &request = requests[index];
    bool repeat = request.first_sent
                  || (request.parent >= 0 && runs[request.parent].repeat);
    request.first_sent = true;
    if (repeat)
      repeats_at[request.level][now_us / STEP_US]++;
    size_t level = request.level;
    int64_t deadline_us = request.deadline_us;
    if (!resent)
      sidecars[sidecar].count (graph, level, route (level), is_new (level),
                               RETRY_BY_SERVER, budget (), now_us);
    call_learner_record_run (learners[level], route (level).c_str ());
    runs.push_back ({ index, sidecar, repeat, resent, 0, false });
    int run = (int)runs.size () - 1;
    if (level + 1 == row.tree.levels)
      {
        schedule (RUN_US, Kind::RUN_END, run);
        return;
      }
    runs[run].calls_open = calls_of (level);
    for (size_t i = 0; i < calls_of (level); i++)
      add_request (level + 1, sidecar, run, deadline_us);
  }

  void
  end_run (int index)
  {
    bool lost = now_us >= LOSS_START_US && rng_chance (&rng, row.lost);
    int request = runs[index].request;
    if (requests[request].ended)
      return;
    bool silent = lost && rng_chance (&rng, 0.5);
    if (lost && !silent)
      retry_closed_run (index);
    else if (lost)
      schedule (OVERDUE_US, Kind::OVERDUE, request);
    else if (!runs[index].failed)
      end_request (request, true);
    else if (take_retry (request))
      schedule (0, Kind::SEND, request);
    else
      end_request (request, false);
  }

  /* The server closes the connection instead of a reply.  */
  void
  retry_closed_run (int index)
  {
    Run run = runs[index];
    size_t level = requests[run.request].level;
    if (!run.resent
        && sidecars[run.sidecar].try_retry (graph, level, route (level),
                                            is_new (level), budget (), now_us,
                                            rng_unit (&rng)))
      start_run (run.request, run.sidecar, true);
    else if (take_retry (run.request))
      schedule (0, Kind::SEND, run.request);
    else
      end_request (run.request, false);
  }

  bool
  take_retry (int index)
  {
    Request &request = requests[index];
    if (request.retries_left == 0
        || !sidecars[request.sidecar].try_retry (
            graph, request.level, route (request.level),
            is_new (request.level), budget (), now_us, rng_unit (&rng)))
      return false;
    request.retries_left--;
    return true;
  }

  void
  check_overdue (int index)
  {
    if (now_us >= requests[index].deadline_us)
      end_request (index, false);
    else if (take_retry (index))
      schedule (0, Kind::SEND, index);
    else
      schedule (CHECK_US, Kind::OVERDUE, index);
  }

  void
  end_request (int index, bool answered)
  {
    Request &request = requests[index];
    request.ended = true;
    if (request.parent < 0)
      return;
    Run &run = runs[request.parent];
    run.failed |= !answered;
    if (--run.calls_open == 0)
      schedule (RUN_US, Kind::RUN_END, request.parent);
  }
};

const Tree trees[] = {
  { 3, 1, 1, 1000 }, { 4, 1, 4, 600 }, { 7, 1, 1, 500 },
  { 3, 4, 4, 400 },  { 7, 4, 4, 6 },
};

std::vector<DeepRow>
make_rows ()
{
  std::vector<DeepRow> rows;
  for (const Tree &tree : trees)
    for (size_t sidecars : { 12, 62, 300 })
      for (double lost : { 0.03, 0.1, 0.3 })
        for (bool changes : { false, true })
          rows.push_back ({ tree, sidecars, lost, changes });
  return rows;
}

std::string
row_name (const testing::TestParamInfo<DeepRow> &info)
{
  const DeepRow &row = info.param;
  return "Levels" + std::to_string (row.tree.levels) + "Calls"
         + std::to_string (row.tree.calls)
         + std::to_string (row.tree.last_calls) + "Sidecars"
         + std::to_string (row.sidecars) + "LostPermille"
         + std::to_string ((int)lround (row.lost * 1000))
         + (row.changes ? "Changes" : "");
}

void
PrintTo (const DeepRow &row, std::ostream *out)
{
  *out << row.tree.levels << " levels, " << row.sidecars << " sidecars, "
       << row.lost << " lost";
}

class DeepRetries : public testing::TestWithParam<DeepRow>
{
};

TEST_P (DeepRetries, StayWithinTheBudgetOfEachService)
{
  Play play (GetParam ());
  std::string where;
  play.run ();
  EXPECT_LE (play.max_excess (&where), 0) << where;
  EXPECT_GT (play.total_repeats (), 0);
}

INSTANTIATE_TEST_SUITE_P (Table, DeepRetries, testing::ValuesIn (make_rows ()),
                          row_name);
} // namespace
