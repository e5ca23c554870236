/* Configuration changes while requests are open.  Each request must end with
   one complete response, and a refused one must not have run, even if the new
   configuration no longer has its route, service or client account.  */

#include "support_config_feed.h"

#include <algorithm>
#include <random>

namespace
{
/* More than a sidecar keeps of the response to an unsafe request.  */
const size_t LARGE_BODY_BYTES = 70000;

/* --- one request in each stage ----------------------------------------- */

enum Stage
{
  PLACING,  /* waits for a server to accept requests */
  RETRYING, /* refused by the other sidecar, which had no server */
  QUEUED,   /* at the other sidecar */
  RUNNING,
  RESPONDING, /* a part of the response was sent to the caller */
  RECOVERING  /* the link was lost while it ran */
};

struct StageRow
{
  const char *name;
  Stage stage;
  const char *path;
};

const StageRow stage_rows[] = {
  { "PlacingRead", PLACING, "/read/1" },
  { "PlacingBooking", PLACING, "/book/1" },
  { "RetryingRead", RETRYING, "/read/1" },
  { "RetryingBooking", RETRYING, "/book/1" },
  { "QueuedRead", QUEUED, "/read/1" },
  { "QueuedBooking", QUEUED, "/book/1" },
  { "RunningRead", RUNNING, "/read/1" },
  { "RunningBooking", RUNNING, "/book/1" },
  { "RespondingRead", RESPONDING, "/read/1" },
  { "RespondingBooking", RESPONDING, "/book/1" },
  { "RecoveringBooking", RECOVERING, "/book/1" },
};

struct ChangeRow
{
  const char *name;
  std::vector<ConfigSpec> configs; /* applied in one turn of the loop */
  bool server_leaves;
  int next_status; /* of a request sent afterwards; 0 is not checked */
};

ConfigSpec
make_spec (const std::function<void (ConfigSpec *)> &edit)
{
  ConfigSpec spec;
  edit (&spec);
  return spec;
}

const ConfigSpec no_routes
    = make_spec ([] (ConfigSpec *spec) { spec->routes = false; });
const ConfigSpec no_account
    = make_spec ([] (ConfigSpec *spec) { spec->account = false; });
const ConfigSpec other_service
    = make_spec ([] (ConfigSpec *spec) { spec->route_service = "t"; });
const ConfigSpec service_removed = make_spec ([] (ConfigSpec *spec) {
  spec->route_service = "t";
  spec->service = false;
});
const ConfigSpec split
    = make_spec ([] (ConfigSpec *spec) { spec->split = true; });
const ConfigSpec shorter
    = make_spec ([] (ConfigSpec *spec) { spec->timeout_s = 1; });
const ConfigSpec longer
    = make_spec ([] (ConfigSpec *spec) { spec->timeout_s = 300; });
const ConfigSpec kinds_swapped
    = make_spec ([] (ConfigSpec *spec) { spec->kinds_swapped = true; });
const ConfigSpec one_attempt
    = make_spec ([] (ConfigSpec *spec) { spec->attempts = 1; });
const ConfigSpec no_time
    = make_spec ([] (ConfigSpec *spec) { spec->timeout_s = 0; });
const ConfigSpec limited = make_spec (
    [] (ConfigSpec *spec) { spec->limit = R"(,"ratePerS":1,"burst":1)"; });
/* A request waits for a server for an eighth of the target latency: longer
   than a test may take.  */
const ConfigSpec patient
    = make_spec ([] (ConfigSpec *spec) { spec->target_latency_s = 240; });
const ConfigSpec empty = make_spec ([] (ConfigSpec *spec) {
  spec->routes = spec->service = spec->account = false;
});

const ChangeRow change_rows[] = {
  { "Unchanged", { {} }, false, 200 },
  { "RouteRemoved", { no_routes }, false, 404 },
  { "RouteToOtherService", { other_service }, false, 0 },
  { "ServiceRemoved", { service_removed }, false, 0 },
  { "RouteSplit", { split }, false, 0 },
  { "ShorterTimeout", { shorter }, false, 200 },
  { "LongerTimeout", { longer }, false, 200 },
  { "KindsSwapped", { kinds_swapped }, false, 200 },
  { "OneAttempt", { one_attempt }, false, 200 },
  { "NoTime", { no_time }, false, 503 },
  { "AccountRemoved", { no_account }, false, 401 },
  { "AccountLimited", { limited }, false, 429 },
  { "LimitedAndRemoved", { limited, no_account }, false, 401 },
  { "AllRemoved", { empty }, false, 404 },
  { "RemovedAndRestored", { empty, {} }, false, 200 },
  { "ManyAtOnce",
    { other_service, split, no_account, shorter, no_routes, longer, empty },
    false,
    404 },
  { "ServerLeaves", { {} }, true, 0 },
  { "AllRemovedAndServerLeaves", { empty }, true, 0 },
};

class ConfigChange
    : public ConfigFeed,
      public testing::WithParamInterface<std::tuple<StageRow, ChangeRow>>
{
protected:
  std::unique_ptr<Caller> slot_holder; /* whose request has the only slot */
  std::unique_ptr<Caller> caller;

  void
  TearDown () override
  {
    slot_holder.reset ();
    caller.reset ();
    ConfigFeed::TearDown ();
  }
  const StageRow &
  stage () const
  {
    return std::get<0> (GetParam ());
  }
  const ChangeRow &
  change () const
  {
    return std::get<1> (GetParam ());
  }
  void
  send ()
  {
    caller = std::make_unique<Caller> (http_server_port (a->callers));
    caller->send (request_text (stage ().path, "id-1"));
  }
  void
  send_and_run ()
  {
    send ();
    ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  }
  void
  begin_response ()
  {
    std::string fields = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";
    http_start_response (backend->open[0], 200, fields.data (), fields.size (),
                         LARGE_BODY_BYTES + 4);
    std::string body (LARGE_BODY_BYTES, 'x');
    http_write_body (backend->open[0], body.data (), body.size ());
    ASSERT_TRUE (wait ([&] { return caller->has ("\r\n\r\n"); }));
  }
  void
  fill_slot ()
  {
    announce_slots (1);
    slot_holder = std::make_unique<Caller> (http_server_port (a->callers));
    slot_holder->send (request_text ("/read/0", "id-0"));
    ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  }
  void
  lose_link ()
  {
    ASSERT_TRUE (wait ([&] {
      peer_set_tick (a->peers, true, true);
      return !peer_is_up (
          peer_set_find (a->peers, peer_set_own_vm (b->peers)));
    }));
  }
  void
  reach_stage ()
  {
    switch (stage ().stage)
      {
      case PLACING:
        backend_watch_mark_unreachable (watch, nullptr);
        wait_for_report ();
        send ();
        ASSERT_TRUE (
            wait ([&] { return entry_stats (a->entry).open_requests == 1; }));
        ASSERT_EQ (0u, entry_stats (a->entry).placed_remote);
        break;
      case RETRYING:
        backend_watch_mark_unreachable (watch, nullptr);
        send ();
        ASSERT_TRUE (wait ([&] {
          return runner_stats (b->runner).failures[CAUSE_NO_SERVER] > 0;
        }));
        break;
      case QUEUED:
        fill_slot ();
        send ();
        ASSERT_TRUE (
            wait ([&] { return runner_server_load (b->runner).queued; }));
        break;
      case RUNNING:
        send_and_run ();
        break;
      case RESPONDING:
        send_and_run ();
        begin_response ();
        break;
      case RECOVERING:
        send_and_run ();
        lose_link ();
        break;
      }
    ASSERT_TRUE (stage ().stage == RESPONDING || !caller->has ("HTTP"));
  }
  /* Does what would end the request if nothing had changed.  */
  void
  finish_request ()
  {
    if (stage ().stage == RESPONDING)
      {
        http_write_body (backend->open[0], "done", 4);
        http_end_response (backend->open[0]);
        backend->open.clear ();
      }
    respond_from_now_on ();
    if (!change ().server_leaves)
      announce_slots (10);
    EXPECT_TRUE (wait ([&] {
      tick ();
      return is_one_response (caller->got) || caller->is_over ();
    })) << caller->got.substr (0, 200);
  }
  size_t
  runs () const
  {
    return std::count (backend->targets.begin (), backend->targets.end (),
                       stage ().path);
  }
  /* Whether the server leaves before the request runs, so that it is
     refused.  */
  bool
  is_refused () const
  {
    return change ().server_leaves && stage ().stage < RUNNING;
  }
};

TEST_P (ConfigChange, LetsAnOpenRequestEndWithOneResponse)
{
  if (!change ().server_leaves)
    configure (patient);
  ASSERT_NO_FATAL_FAILURE (reach_stage ());
  for (const ConfigSpec &spec : change ().configs)
    configure (spec);
  if (change ().server_leaves)
    send_announcement ("DELETE", "");
  finish_request ();
  EXPECT_TRUE (is_one_response (caller->got)) << caller->got.substr (0, 200);
  EXPECT_EQ (is_refused () ? 503 : 200, status_of (caller->got));
  EXPECT_EQ (is_refused () ? 0u : 1u, runs ());
  if (change ().next_status == 0)
    return;
  Caller next (http_server_port (a->callers));
  next.send (request_text ("/read/2", "id-2"));
  EXPECT_TRUE (wait ([&] { return next.has ("\r\n\r\n"); }));
  EXPECT_EQ (change ().next_status, status_of (next.got)) << next.got;
}

INSTANTIATE_TEST_SUITE_P (Table, ConfigChange,
                          testing::Combine (testing::ValuesIn (stage_rows),
                                            testing::ValuesIn (change_rows)),
                          [] (const auto &row) {
                            return std::string (std::get<0> (row.param).name)
                                   + std::get<1> (row.param).name;
                          });

/* --- many requests ------------------------------------------------------ */

struct OpenRequest
{
  std::unique_ptr<Caller> caller;
  std::string id;
  bool booking = false;
};

/* Requests arrive, are answered and fail while the configuration and the known
   state of the server change, in a random order determined by the seed.  */
class RandomChanges : public ConfigFeed,
                      public testing::WithParamInterface<int>
{
protected:
  static const size_t OPEN_MAX = 20; /* requests at a time */
  static const int REQUEST_COUNT = 200;
  std::mt19937 random;
  std::vector<OpenRequest> open_requests;
  int sent = 0;
  int ended = 0;
  bool server_down = false;

  void
  SetUp () override
  {
    ConfigFeed::SetUp ();
    random.seed (GetParam ());
  }
  void
  TearDown () override
  {
    open_requests.clear ();
    ConfigFeed::TearDown ();
  }
  bool
  chance (int percent)
  {
    return (int)(random () % 100) < percent;
  }
  void
  send_request ()
  {
    OpenRequest request;
    request.booking = chance (50);
    request.id = "id-" + std::to_string (++sent);
    request.caller = std::make_unique<Caller> (http_server_port (a->callers));
    request.caller->send (request_text (
        (request.booking ? "/book/" : "/read/") + request.id, request.id));
    open_requests.push_back (std::move (request));
  }
  void
  change_config ()
  {
    ConfigSpec spec;
    spec.routes = chance (85);
    spec.service = chance (85);
    spec.account = chance (85);
    spec.route_service = spec.service && chance (85) ? "s" : "t";
    spec.split = chance (15);
    spec.timeout_s = chance (20) ? 2 : 100;
    configure (spec);
  }
  void
  respond_or_fail (http_exchange_t *exchange)
  {
    std::string id = id_of (exchange);
    if (chance (5))
      http_abort_response (exchange);
    else if (chance (5))
      http_respond (exchange, 500, nullptr, 0, "x", 1);
    else
      answer_signed (exchange, id,
                     std::string (chance (20) ? LARGE_BODY_BYTES : 4, 'x'));
  }
  void
  respond_to_some ()
  {
    std::vector<http_exchange_t *> open;
    open.swap (backend->open);
    for (http_exchange_t *exchange : open)
      if (chance (60))
        respond_or_fail (exchange);
      else
        backend->open.push_back (exchange);
  }
  void
  toggle_server ()
  {
    server_down = !server_down;
    if (server_down)
      backend_watch_mark_unreachable (watch, nullptr);
    else
      announce_slots (1 + random () % 5);
  }
  size_t
  runs (const std::string &id) const
  {
    return std::count_if (
        backend->targets.begin (), backend->targets.end (),
        [&] (const std::string &target) { return target.substr (6) == id; });
  }
  void
  check_response (const OpenRequest &request)
  {
    const std::string &got = request.caller->got;
    int status = status_of (got);
    size_t ran = runs (request.id);
    EXPECT_TRUE (is_one_response (got))
        << request.id << ": " << got.substr (0, 200);
    EXPECT_FALSE (request.booking && ran > 1) << request.id;
    EXPECT_FALSE (status == 200 && ran == 0) << request.id;
    bool refused = status == 503 || status == 401 || status == 404;
    EXPECT_FALSE (refused && ran > 0) << request.id << ": " << status;
  }
  void
  collect_ended ()
  {
    for (size_t i = open_requests.size (); i-- > 0;)
      {
        open_requests[i].caller->has ("");
        if (!is_one_response (open_requests[i].caller->got)
            && !open_requests[i].caller->ended)
          continue;
        check_response (open_requests[i]);
        open_requests.erase (open_requests.begin () + i);
        ended++;
      }
  }
};

TEST_P (RandomChanges, EachRequestEndsWithOneResponse)
{
  EXPECT_TRUE (wait (
      [&] {
        while (sent < REQUEST_COUNT && open_requests.size () < OPEN_MAX)
          send_request ();
        if (chance (30))
          change_config ();
        if (chance (10) || (server_down && chance (50)))
          toggle_server ();
        tick ();
        respond_to_some ();
        collect_ended ();
        return ended == REQUEST_COUNT;
      },
      3 * GIVE_UP_US))
      << ended << " of " << sent;
  EXPECT_EQ (0u, entry_stats (a->entry).open_requests);
}

INSTANTIATE_TEST_SUITE_P (Seeds, RandomChanges, testing::Range (1, 4));
}
