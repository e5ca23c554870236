/* Configurations that come while requests are open: each request ends with
   one whole answer or a true refusal, whatever the new one lacks.  */

#include "support_edge.h"

#include <algorithm>
#include <random>

namespace
{
const size_t PIECE_BYTES = 70000; /* more than a sidecar keeps of a booking */

/* What a configuration holds, beside the service "t".  */
struct Shape
{
  bool routes = true;
  bool service = true; /* "s" is there */
  bool account = true;
  const char *to = "s"; /* where the routes lead */
  bool split = false;   /* over that and "t" */
  int timeout_s = 100;
};

std::string
route (const char *name, const char *kind, const Shape &shape)
{
  std::string to = std::string (R"("service":")") + shape.to + '"';
  if (shape.split)
    to = std::string (R"("trafficSplit":[{"service":")") + shape.to
         + R"(","weight":1},{"service":"t","weight":1}])";
  return std::string ("\"") + name + R"(":{"host":"h","pathPrefix":"/)" + name
         + R"(/","kind":")" + kind + R"(","timeoutS":)"
         + std::to_string (shape.timeout_s)
         + R"(,"targetLatencyS":24,"priority":0,"attempts":3,)" + to + "}";
}

std::string
document (uint64_t version, const Shape &shape)
{
  std::string text = R"({"version":)" + std::to_string (version);
  text += R"(,"services":{"t":{"healthCheckPath":"/t"})";
  if (shape.service)
    text += R"(,"s":{"healthCheckPath":"/health"})";
  text += R"(},"routes":{)";
  if (shape.routes)
    text += route ("book", "unsafe", shape) + ","
            + route ("read", "safe", shape);
  text += R"(},"tenants":{)";
  if (shape.account)
    text += R"("u":{"apiKeys":["key"]})";
  return text + "}}";
}

/* One whole answer and nothing behind it.  */
bool
is_one_answer (const std::string &got)
{
  size_t head = got.find ("\r\n\r\n");
  size_t length = got.find ("Content-Length: ");
  return got.find ("HTTP/1.1 ") == 0 && head != std::string::npos
         && length < head
         && got.size ()
                == head + 4
                       + strtoul (got.c_str () + length + 16, nullptr, 10);
}

int
status_of (const std::string &got)
{
  return got.size () > 12 ? atoi (got.c_str () + 9) : 0;
}

/* A fleet of two that gets its configurations as a sidecar does: the feed
   frees each as soon as the next is in force.  */
class Configured : public Two
{
protected:
  operator_feed_t *feed = nullptr;
  backend_watch_t *watch = nullptr; /* of the server beside B */
  http_server_t *announce = nullptr;
  uint64_t version = 0;
  uint64_t sequence = 0;

  void
  SetUp () override
  {
    Two::SetUp ();
    error_info_t error = {};
    watch = backend_watch_new (
        &loop, platform_dialect (), b->runner, "s", &log,
        [] (void *ctx) { ((Configured *)ctx)->tell_accepting (); }, this);
    http_handler_t handler = backend_watch_handler (watch);
    http_limits_t made = limits ();
    announce = http_server_new (&loop, loopback (), &made, &handler, &error);
    operator_feed_handler_t operators
        = { [] (void *ctx, const policy_t *policy) {
             ((Configured *)ctx)->apply (policy);
           },
            [] (void *) {}, this };
    feed = operator_feed_new (platform_dialect (), &log, &operators);
    configure ({});
    tell_server (10);
  }
  void
  TearDown () override
  {
    http_server_free (announce);
    a.reset ();
    b.reset ();
    backend_watch_free (watch);
    operator_feed_free (feed);
    Two::TearDown ();
  }
  void
  apply (const policy_t *policy)
  {
    entry_set_policy (a->entry, policy);
    for (size_t i = 0; i < policy->account_count; i++)
      quota_set_limit (a->quota, policy->accounts[i].name,
                       policy->accounts[i].rate_per_s,
                       policy->accounts[i].burst);
    int service = policy_find_service (policy, "s");
    backend_watch_set_service (watch, service >= 0 ? &policy->services[service]
                                                   : nullptr);
  }
  void
  configure (const Shape &shape)
  {
    std::string text = document (++version, shape);
    operator_feed_state_t state = {};
    state.config_version = version;
    state.config_text = text.c_str ();
    state.config_size = text.size ();
    operator_feed_merge (feed, &state);
    ASSERT_EQ (version, operator_feed_config_version (feed));
  }
  void
  tell_accepting ()
  {
    b->identity.accepting = backend_watch_is_accepting (watch);
  }
  void
  announce_it (const std::string &method, const std::string &body)
  {
    Caller server (http_server_port (announce));
    server.send (method + " /-/instances/i HTTP/1.1\r\nHost: h\r\n"
                 + "Content-Length: " + std::to_string (body.size ())
                 + "\r\n\r\n" + body);
    ASSERT_TRUE (wait ([&] { return server.has ("200 OK"); }));
  }
  void
  tell_server (int slots)
  {
    announce_it ("PUT", R"({"service":"s","address":"127.0.0.1:1","zone":"z",)"
                        R"("version":"v","state":"ready","born":1,"slots":)"
                            + std::to_string (slots) + R"(,"sequence":)"
                            + std::to_string (++sequence) + "}");
  }
  /* A hears what B believes of its server.  */
  void
  report ()
  {
    uint32_t owed = b->identity.accepting != 0;
    ASSERT_TRUE (wait ([&] {
      turn ();
      return placement_accepting_count (a->placement, "s") == owed;
    }));
  }
  void
  turn ()
  {
    peer_set_tick (a->peers, true, true);
    peer_set_tick (b->peers, true, true);
    runner_tick (b->runner);
  }
  std::string
  keyed (const std::string &path, const std::string &id)
  {
    const char *method = path.find ("/book/") == 0 ? "POST" : "GET";
    return std::string (method) + " " + path
           + " HTTP/1.1\r\nHost: h\r\nX-Credential: key\r\nX-Attempt-Id: " + id
           + "\r\nContent-Length: 0\r\n\r\n";
  }
  void
  answer_open ()
  {
    std::vector<http_exchange_t *> open;
    open.swap (backend->open);
    for (http_exchange_t *exchange : open)
      answer_signed (exchange, id_of (exchange), "done");
  }
  void
  answer_all_from_now ()
  {
    backend->answer = [] (http_exchange_t *exchange) {
      answer_signed (exchange, id_of (exchange), "done");
    };
    answer_open ();
  }
};

/* --- one request, at each step ----------------------------------------- */

enum Step
{
  PLACING,  /* no server is there */
  RETRYING, /* the server that it was sent to was not there */
  QUEUED,   /* at the other sidecar */
  RUNNING,
  ANSWERING, /* a part of the answer has gone out */
  ASKING     /* the link was lost while it ran */
};

struct StepRow
{
  const char *name;
  Step step;
  const char *path;
};

const StepRow step_rows[] = {
  { "PlacingRead", PLACING, "/read/1" },
  { "PlacingBooking", PLACING, "/book/1" },
  { "RetryingRead", RETRYING, "/read/1" },
  { "RetryingBooking", RETRYING, "/book/1" },
  { "QueuedRead", QUEUED, "/read/1" },
  { "QueuedBooking", QUEUED, "/book/1" },
  { "RunningRead", RUNNING, "/read/1" },
  { "RunningBooking", RUNNING, "/book/1" },
  { "AnsweringRead", ANSWERING, "/read/1" },
  { "AnsweringBooking", ANSWERING, "/book/1" },
  { "AskingBooking", ASKING, "/book/1" },
};

struct ChangeRow
{
  const char *name;
  std::vector<Shape> shapes; /* that come in one turn */
  bool server_leaves;
  int next; /* status of a request after the last one; 0 is not asked */
};

Shape
shape (const std::function<void (Shape *)> &edit)
{
  Shape made;
  edit (&made);
  return made;
}

const Shape no_routes = shape ([] (Shape *made) { made->routes = false; });
const Shape no_account = shape ([] (Shape *made) { made->account = false; });
const Shape moved = shape ([] (Shape *made) { made->to = "t"; });
const Shape moved_for_good = shape ([] (Shape *made) {
  made->to = "t";
  made->service = false;
});
const Shape split = shape ([] (Shape *made) { made->split = true; });
const Shape shorter = shape ([] (Shape *made) { made->timeout_s = 1; });
const Shape longer = shape ([] (Shape *made) { made->timeout_s = 300; });
const Shape empty = shape ([] (Shape *made) {
  made->routes = made->service = made->account = false;
});

const ChangeRow change_rows[] = {
  { "Same", { {} }, false, 200 },
  { "RouteGone", { no_routes }, false, 404 },
  { "RouteMoved", { moved }, false, 0 },
  { "ServiceGone", { moved_for_good }, false, 0 },
  { "RouteSplit", { split }, false, 0 },
  { "ShorterTimeout", { shorter }, false, 200 },
  { "LongerTimeout", { longer }, false, 200 },
  { "AccountGone", { no_account }, false, 401 },
  { "AllGone", { empty }, false, 404 },
  { "GoneAndBack", { empty, {} }, false, 200 },
  { "ManyAtOnce",
    { moved, split, no_account, shorter, no_routes, longer, empty },
    false,
    404 },
  { "ServerLeaves", { {} }, true, 0 },
  { "AllGoneAndServerLeaves", { empty }, true, 0 },
};

class Change
    : public Configured,
      public testing::WithParamInterface<std::tuple<StepRow, ChangeRow>>
{
protected:
  std::unique_ptr<Caller> first; /* holds the only slot */
  std::unique_ptr<Caller> caller;

  void
  TearDown () override
  {
    first.reset ();
    caller.reset ();
    Configured::TearDown ();
  }
  const StepRow &
  step () const
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
    caller->send (keyed (step ().path, "id-1"));
  }
  void
  run ()
  {
    send ();
    ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  }
  void
  begin_answer ()
  {
    std::string fields = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";
    http_start_response (backend->open[0], 200, fields.data (), fields.size (),
                         PIECE_BYTES + 4);
    std::string piece (PIECE_BYTES, 'x');
    http_write_body (backend->open[0], piece.data (), piece.size ());
    ASSERT_TRUE (wait ([&] { return caller->has ("\r\n\r\n"); }));
  }
  void
  fill_the_slot ()
  {
    tell_server (1);
    first = std::make_unique<Caller> (http_server_port (a->callers));
    first->send (keyed ("/read/0", "id-0"));
    ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  }
  void
  lose_the_link ()
  {
    ASSERT_TRUE (wait ([&] {
      peer_set_tick (a->peers, true, true);
      return !peer_is_up (
          peer_set_find (a->peers, peer_set_own_vm (b->peers)));
    }));
  }
  void
  reach ()
  {
    switch (step ().step)
      {
      case PLACING:
        backend_watch_mark_unreachable (watch, nullptr);
        report ();
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
        fill_the_slot ();
        send ();
        ASSERT_TRUE (
            wait ([&] { return runner_server_load (b->runner).queued; }));
        break;
      case RUNNING:
        run ();
        break;
      case ANSWERING:
        run ();
        begin_answer ();
        break;
      case ASKING:
        run ();
        lose_the_link ();
        break;
      }
    ASSERT_TRUE (step ().step == ANSWERING || !caller->has ("HTTP"));
  }
  /* What would end the request if nothing had changed.  */
  void
  go_on ()
  {
    if (step ().step == ANSWERING)
      {
        http_write_body (backend->open[0], "done", 4);
        http_end_response (backend->open[0]);
        backend->open.clear ();
      }
    answer_all_from_now ();
    if (!change ().server_leaves)
      tell_server (10);
    EXPECT_TRUE (wait ([&] {
      turn ();
      return is_one_answer (caller->got) || caller->is_over ();
    })) << caller->got.substr (0, 200);
  }
  size_t
  runs () const
  {
    return std::count (backend->targets.begin (), backend->targets.end (),
                       step ().path);
  }
  /* The server has left before it began.  */
  bool
  is_refused () const
  {
    return change ().server_leaves && step ().step < RUNNING;
  }
};

TEST_P (Change, LeavesAnOpenRequestItsAnswer)
{
  ASSERT_NO_FATAL_FAILURE (reach ());
  for (const Shape &shape : change ().shapes)
    configure (shape);
  if (change ().server_leaves)
    announce_it ("DELETE", "");
  go_on ();
  EXPECT_TRUE (is_one_answer (caller->got)) << caller->got.substr (0, 200);
  EXPECT_EQ (is_refused () ? 503 : 200, status_of (caller->got));
  EXPECT_EQ (is_refused () ? 0u : 1u, runs ());
  if (change ().next == 0)
    return;
  Caller next (http_server_port (a->callers));
  next.send (keyed ("/read/2", "id-2"));
  EXPECT_TRUE (wait ([&] { return next.has ("\r\n\r\n"); }));
  EXPECT_EQ (change ().next, status_of (next.got)) << next.got;
}

INSTANTIATE_TEST_SUITE_P (Table, Change,
                          testing::Combine (testing::ValuesIn (step_rows),
                                            testing::ValuesIn (change_rows)),
                          [] (const auto &row) {
                            return std::string (std::get<0> (row.param).name)
                                   + std::get<1> (row.param).name;
                          });

/* --- many requests ------------------------------------------------------ */

struct Asked
{
  std::unique_ptr<Caller> caller;
  std::string id;
  bool booking = false;
};

/* Requests come, are answered and fail while configurations and what is
   believed of the server change, all in an order by the seed.  */
class Storm : public Configured, public testing::WithParamInterface<int>
{
protected:
  static const size_t OPEN = 20; /* callers at a time */
  static const int REQUESTS = 200;
  std::mt19937 random;
  std::vector<Asked> asked;
  int sent = 0;
  int ended = 0;
  bool down = false;

  void
  SetUp () override
  {
    Configured::SetUp ();
    random.seed (GetParam ());
  }
  void
  TearDown () override
  {
    asked.clear ();
    Configured::TearDown ();
  }
  bool
  chance (int percent)
  {
    return (int)(random () % 100) < percent;
  }
  void
  ask ()
  {
    Asked one;
    one.booking = chance (50);
    one.id = "id-" + std::to_string (++sent);
    one.caller = std::make_unique<Caller> (http_server_port (a->callers));
    one.caller->send (
        keyed ((one.booking ? "/book/" : "/read/") + one.id, one.id));
    asked.push_back (std::move (one));
  }
  void
  change ()
  {
    Shape made;
    made.routes = chance (85);
    made.service = chance (85);
    made.account = chance (85);
    made.to = made.service && chance (85) ? "s" : "t";
    made.split = chance (15);
    made.timeout_s = chance (20) ? 2 : 100;
    configure (made);
  }
  void
  answer (http_exchange_t *exchange)
  {
    std::string id = id_of (exchange);
    if (chance (5))
      http_abort_response (exchange);
    else if (chance (5))
      http_respond (exchange, 500, nullptr, 0, "x", 1);
    else
      answer_signed (exchange, id,
                     std::string (chance (20) ? PIECE_BYTES : 4, 'x'));
  }
  void
  answer_some ()
  {
    std::vector<http_exchange_t *> open;
    open.swap (backend->open);
    for (http_exchange_t *exchange : open)
      if (chance (60))
        answer (exchange);
      else
        backend->open.push_back (exchange);
  }
  void
  lose_or_find_the_server ()
  {
    down = !down;
    if (down)
      backend_watch_mark_unreachable (watch, nullptr);
    else
      tell_server (1 + random () % 5);
  }
  size_t
  runs (const std::string &id) const
  {
    return std::count_if (
        backend->targets.begin (), backend->targets.end (),
        [&] (const std::string &target) { return target.substr (6) == id; });
  }
  void
  check (const Asked &one)
  {
    const std::string &got = one.caller->got;
    int status = status_of (got);
    size_t ran = runs (one.id);
    EXPECT_TRUE (is_one_answer (got)) << one.id << ": " << got.substr (0, 200);
    EXPECT_FALSE (one.booking && ran > 1) << one.id;
    EXPECT_FALSE (status == 200 && ran == 0) << one.id;
    bool promised = status == 503 || status == 401 || status == 404;
    EXPECT_FALSE (promised && ran > 0) << one.id << ": " << status;
  }
  void
  take_ends ()
  {
    for (size_t i = asked.size (); i-- > 0;)
      {
        asked[i].caller->has ("");
        if (!is_one_answer (asked[i].caller->got) && !asked[i].caller->ended)
          continue;
        check (asked[i]);
        asked.erase (asked.begin () + i);
        ended++;
      }
  }
};

TEST_P (Storm, EachRequestEndsWithOneAnswer)
{
  EXPECT_TRUE (wait (
      [&] {
        while (sent < REQUESTS && asked.size () < OPEN)
          ask ();
        if (chance (30))
          change ();
        if (chance (10) || (down && chance (50)))
          lose_or_find_the_server ();
        turn ();
        answer_some ();
        take_ends ();
        return ended == REQUESTS;
      },
      3 * GIVE_UP_US))
      << ended << " of " << sent;
  EXPECT_EQ (0u, entry_stats (a->entry).open_requests);
}

INSTANTIATE_TEST_SUITE_P (Seeds, Storm, testing::Range (1, 4));
}
