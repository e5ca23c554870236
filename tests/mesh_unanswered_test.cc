/* Requests that are read whole get an answer or a refusal, whatever ends
   their connection.  */

#include "support_edge.h"

#include <cerrno>
#include <thread>

namespace
{
const int64_t IDLE_US = 300 * US_PER_MS;

http_limits_t
short_idle ()
{
  http_limits_t made = limits ();
  made.idle_timeout_us = IDLE_US;
  return made;
}

std::string
get (const std::string &path)
{
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/* Time passes, and the loop gets no turn.  */
void
hold_the_loop (int64_t us)
{
  std::this_thread::sleep_for (std::chrono::microseconds (us));
}

/* A server that answers at once, and a kept connection that has been used.  */
class Kept : public Loop
{
protected:
  std::unique_ptr<Server> server;
  std::unique_ptr<Caller> caller;

  void
  start (const http_limits_t &limits)
  {
    server = std::make_unique<Server> (&loop, limits);
    server->answer = [] (http_exchange_t *exchange) {
      http_respond (exchange, 200, nullptr, 0, "ok", 2);
    };
    caller = std::make_unique<Caller> (server->port ());
    ask ("/first");
    ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
    caller->got.clear ();
  }
  void
  TearDown () override
  {
    caller.reset ();
    server.reset ();
    Loop::TearDown ();
  }
  void
  ask (const std::string &path)
  {
    std::string text = get (path);
    ::send (caller->fd, text.data (), text.size (), MSG_NOSIGNAL);
  }
  /* By a reset a caller sees that its request was not read.  */
  bool
  is_answered_or_reset ()
  {
    caller->has ("");
    return caller->has ("ok") || caller->reset;
  }
  uint64_t
  thrown_away ()
  {
    return http_server_stats (server->server).late_requests;
  }
  /* The loop turns until the server has swept a few times.  */
  void
  let_it_sweep (int64_t us)
  {
    int64_t until_us = loop.now_us + us;
    ASSERT_TRUE (wait ([&] { return loop.now_us > until_us; }));
  }
};

/* --- requests that cross the end of their connection ------------------- */

struct CrossingRow
{
  const char *name;
  bool drain; /* the connection ends by a drain, else at its idle limit */
  bool first; /* the request arrives before that is decided, else after */
};

class Crossing : public Kept, public testing::WithParamInterface<CrossingRow>
{
};

TEST_P (Crossing, ARequestIsAnsweredOrLeftUnread)
{
  const CrossingRow &row = GetParam ();
  start (row.drain ? limits () : short_idle ());
  if (row.first)
    {
      hold_the_loop (row.drain ? 0 : 2 * IDLE_US);
      ask ("/second");
    }
  if (row.drain)
    http_server_drain (server->server);
  if (!row.first)
    {
      ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
      caller->ended = false;
      ask ("/second");
    }
  EXPECT_TRUE (
      wait ([&] { return is_answered_or_reset () || thrown_away () > 0; }));
  EXPECT_EQ (0u, thrown_away ());
  EXPECT_EQ (row.first, caller->has ("ok"));
}

const CrossingRow crossing_rows[] = {
  { "InTheKernelAtTheIdleLimit", false, true },
  { "BehindTheIdleLimit", false, false },
  { "InTheKernelAtADrain", true, true },
  { "BehindADrain", true, false },
};

INSTANTIATE_TEST_SUITE_P (Table, Crossing, testing::ValuesIn (crossing_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* A request that is read at a drain may end other connections.  */
TEST_F (Loop, ADrainGoesOnWhenARequestThatItReadsEndsAnotherConnection)
{
  Server server (&loop, limits ());
  Caller idle (server.port ());
  Caller waiting (server.port ());
  waiting.send (get ("/waiting"));
  ASSERT_TRUE (wait ([&] {
    return server.open.size () == 1
           && http_server_stats (server.server).connections == 2;
  }));
  Caller asking (server.port ());
  ASSERT_TRUE (wait (
      [&] { return http_server_stats (server.server).connections == 3; }));
  server.answer = [&] (http_exchange_t *exchange) {
    http_abort_response (server.open[0]);
    http_respond (exchange, 200, nullptr, 0, "ok", 2);
  };
  asking.send (get ("/asking"));
  http_server_drain (server.server);
  EXPECT_EQ (1u, http_server_stats (server.server).connections);
  EXPECT_TRUE (wait ([&] { return asking.has ("ok") && idle.is_over (); }));
}

/* The last answer's bytes may still be under way when its connection ends.  */
TEST_F (Loop, AConnectionIsNotIdleWhileItsCallerHasNotGotTheLastAnswer)
{
  http_limits_t made = short_idle ();
  made.body_timeout_us = 10 * US_PER_S;
  Server server (&loop, made);
  std::string body (8 << 20, 'x');
  server.answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  Caller caller (server.port ());
  caller.send (get ("/large"));
  ASSERT_TRUE (wait ([&] { return server.targets.size () == 1; }));
  int64_t until_us = loop.now_us + 3 * IDLE_US;
  ASSERT_TRUE (wait ([&] { return loop.now_us > until_us; }));
  http_server_drain (server.server);
  until_us = loop.now_us + IDLE_US;
  ASSERT_TRUE (wait ([&] { return loop.now_us > until_us; }));
  caller.send (get ("/next"));
  EXPECT_TRUE (wait ([&] { return caller.has (body); }));
}

/* Without it an answer that nobody reads is held for good.  */
TEST_F (Loop, ACallerThatTakesNothingOfItsAnswerIsLetGo)
{
  Server server (&loop, limits ());
  std::string body (8 << 20, 'x');
  server.answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  Caller caller (server.port ());
  caller.send (get ("/large"));
  ASSERT_TRUE (wait ([&] { return server.targets.size () == 1; }));
  EXPECT_TRUE (wait (
      [&] { return http_server_stats (server.server).connections == 0; }));
  EXPECT_EQ (
      1u, http_server_stats (server.server).close_counts[HTTP_CLOSE_UNREAD]);
}

TEST_F (Loop, ACallerThatReadsOnWhileTheLoopIsLateGetsItsWholeAnswer)
{
  Server server (&loop, limits ());
  std::string body (8 << 20, 'x');
  server.answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  Caller caller (server.port ());
  caller.send (get ("/large"));
  ASSERT_TRUE (wait ([&] { return server.targets.size () == 1; }));
  hold_the_loop (2 * limits ().body_timeout_us);
  EXPECT_FALSE (caller.has (body));
  EXPECT_TRUE (wait ([&] { return caller.has (body); }));
}

TEST_F (Loop, AnAnswerCountsAsUnsentUntilItsCallerHasGotAllOfIt)
{
  Server server (&loop, limits ());
  std::string body (8 << 20, 'x');
  server.answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  Caller caller (server.port ());
  EXPECT_FALSE (http_server_has_unacked_output (server.server));
  caller.send (get ("/large"));
  ASSERT_TRUE (wait ([&] { return server.targets.size () == 1; }));
  EXPECT_EQ (0u, http_server_stats (server.server).open_exchanges);
  EXPECT_TRUE (http_server_has_unacked_output (server.server));
  ASSERT_TRUE (wait ([&] { return caller.has (body); }));
  EXPECT_TRUE (
      wait ([&] { return !http_server_has_unacked_output (server.server); }));
}

/* --- the end of a stop -------------------------------------------------- */

typedef enum stage_t
{
  WAITS_FOR_A_SERVER,
  QUEUED_HERE,
  RUNS_HERE,
  RUNS_ELSEWHERE,
  GATHERED, /* a part of its answer has come, and nothing was handed on */
  HALF_ANSWERED
} stage_t;

struct StopRow
{
  const char *name;
  stage_t stage;
  const char *method;
  const char *path;
  const char *seen; /* by the caller; NULL is an answer that is not whole */
};

class StopEnd : public Two, public testing::WithParamInterface<StopRow>
{
};

/* At the end of a stop each open request still gets its end.  */
TEST_P (StopEnd, EachOpenRequestIsAnsweredTruly)
{
  const StopRow &row = GetParam ();
  bool here = row.stage == QUEUED_HERE || row.stage == RUNS_HERE;
  size_t runs = row.stage == WAITS_FOR_A_SERVER ? 0 : 1;
  if (here)
    start_a_beside_the_server ();
  if (row.stage == WAITS_FOR_A_SERVER)
    {
      b->identity.accepting = 0;
      ASSERT_TRUE (wait ([&] {
        peer_set_tick (b->peers, true, true);
        return placement_accepting_count (a->placement, "s") == 0;
      }));
    }
  Caller first (http_server_port (a->callers));
  Caller caller (http_server_port (a->callers));
  if (row.stage == QUEUED_HERE)
    {
      intake_server_t one = { 1, true, false, false, 0, 0 };
      runner_set_server (a->runner, &one, "i");
      first.send (request ("GET", "/read/0", "id-0"));
      ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
    }
  caller.send (request (row.method, row.path, "id-1"));
  uint32_t open = row.stage == QUEUED_HERE ? 2 : 1;
  ASSERT_TRUE (wait ([&] {
    return entry_stats (a->entry).open_requests == open
           && backend->targets.size () == runs;
  }));
  if (row.stage == GATHERED || row.stage == HALF_ANSWERED)
    {
      std::string head = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";
      std::string piece (row.stage == GATHERED ? 40000 : 100000, 'x');
      http_start_response (backend->open[0], 200, head.data (), head.size (),
                           -1);
      http_write_body (backend->open[0], piece.data (), piece.size ());
      uint64_t frames = peer_set_stats (a->peers).frames_in;
      ASSERT_TRUE (wait ([&] {
        return row.stage == GATHERED
                   ? peer_set_stats (a->peers).frames_in > frames
                   : caller.has ("xxx");
      }));
    }
  runner_stop (a->runner);
  entry_end_open_requests (a->entry);
  EXPECT_EQ (0u, entry_stats (a->entry).open_requests);
  if (row.seen == nullptr)
    {
      ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
      EXPECT_EQ (std::string::npos, caller.got.find ("\r\n0\r\n\r\n"));
      return;
    }
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller.got.find (std::string ("HTTP/1.1 ") + row.seen))
      << caller.got;
  EXPECT_EQ (runs, backend->targets.size ());
}

const StopRow stop_rows[] = {
  { "ReadThatWaits", WAITS_FOR_A_SERVER, "GET", "/read/1", "503" },
  { "BookingThatWaits", WAITS_FOR_A_SERVER, "POST", "/book/1", "503" },
  { "QueuedRead", QUEUED_HERE, "GET", "/read/1", "503" },
  { "QueuedBooking", QUEUED_HERE, "POST", "/book/1", "503" },
  { "ReadThatRunsHere", RUNS_HERE, "GET", "/read/1", "502" },
  { "BookingThatRunsHere", RUNS_HERE, "POST", "/book/1", "502" },
  { "ReadThatRunsElsewhere", RUNS_ELSEWHERE, "GET", "/read/1", "502" },
  { "BookingThatRunsElsewhere", RUNS_ELSEWHERE, "POST", "/book/1", "502" },
  { "GatheredRead", GATHERED, "GET", "/read/1", "502" },
  { "HalfAnsweredRead", HALF_ANSWERED, "GET", "/read/1", nullptr },
};

INSTANTIATE_TEST_SUITE_P (Table, StopEnd, testing::ValuesIn (stop_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- limits that change ------------------------------------------------ */

/* Callers go by the limit that they knew when they used a connection.  */
TEST_F (Kept, ALowerIdleLimitDoesNotEndConnectionsUsedUnderTheHigherOne)
{
  start (limits ());
  http_limits_t lower = short_idle ();
  http_server_set_limits (server->server, &lower, 0);
  let_it_sweep (3 * IDLE_US);
  ask ("/second");
  EXPECT_TRUE (
      wait ([&] { return is_answered_or_reset () || thrown_away () > 0; }));
  EXPECT_TRUE (caller->has ("ok"));
}

TEST_F (Kept, AHigherIdleLimitHoldsForConnectionsUsedUnderTheLowerOne)
{
  start (short_idle ());
  http_limits_t higher = limits ();
  http_server_set_limits (server->server, &higher, 0);
  let_it_sweep (3 * IDLE_US);
  ask ("/second");
  EXPECT_TRUE (
      wait ([&] { return is_answered_or_reset () || thrown_away () > 0; }));
  EXPECT_TRUE (caller->has ("ok"));
}

TEST_F (Kept, ALowerIdleLimitAppliesOnceCallersHaveHeardOfIt)
{
  start (limits ());
  http_limits_t lower = short_idle ();
  const int64_t notice_us = 4 * IDLE_US;
  http_server_set_limits (server->server, &lower, notice_us);
  ask ("/during");
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  let_it_sweep (notice_us + 2 * IDLE_US);
  EXPECT_FALSE (caller->is_over ());
  caller->got.clear ();
  ask ("/after");
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  EXPECT_TRUE (wait ([&] { return caller->is_over (); }));
}

/* Configurations follow each other; few of them lower a limit.  */
TEST_F (Kept, ALowerIdleLimitIsNotPutOffByChangesThatLowerNothing)
{
  http_limits_t higher = limits ();
  higher.idle_timeout_us = 2 * GIVE_UP_US;
  start (higher);
  http_limits_t lower = short_idle ();
  const int64_t notice_us = 2 * IDLE_US;
  int64_t until_us = loop.now_us + 2 * notice_us;
  ASSERT_TRUE (wait ([&] {
    http_server_set_limits (server->server, &lower, notice_us);
    return loop.now_us > until_us;
  }));
  ask ("/second");
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  EXPECT_TRUE (wait ([&] {
    http_server_set_limits (server->server, &lower, notice_us);
    return caller->is_over ();
  }));
}

struct HalfReadRow
{
  const char *name;
  std::string first; /* of one request */
  std::string rest;
  void (*lower) (http_limits_t *limits);
};

class HalfRead : public Kept, public testing::WithParamInterface<HalfReadRow>
{
};

/* A request is held to the limits under which it began.  */
TEST_P (HalfRead, ARequestEndsUnderTheLimitsItBeganUnder)
{
  const HalfReadRow &row = GetParam ();
  http_limits_t made = limits ();
  made.header_timeout_us = made.body_timeout_us = 10 * US_PER_S;
  start (made);
  caller->send (row.first);
  let_it_sweep (IDLE_US);
  row.lower (&made);
  http_server_set_limits (server->server, &made, 0);
  let_it_sweep (2 * IDLE_US);
  caller->send (row.rest);
  EXPECT_TRUE (wait ([&] { return caller->has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 200")) << caller->got;
}

const char POST_HEAD[]
    = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

const HalfReadRow half_read_rows[] = {
  { "HeadSize", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string (500, 'x'),
    "\r\n\r\n", [] (http_limits_t *limits) { limits->header_bytes = 100; } },
  { "BodySize",
    POST_HEAD + std::string ("190\r\n") + std::string (400, 'x') + "\r\n",
    "0\r\n\r\n", [] (http_limits_t *limits) { limits->body_bytes = 100; } },
  { "MoreBody",
    POST_HEAD + std::string ("190\r\n") + std::string (400, 'x') + "\r\n",
    "1\r\ny\r\n0\r\n\r\n",
    [] (http_limits_t *limits) { limits->body_bytes = 100; } },
  { "MoreHead", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string (500, 'x'),
    "y\r\n\r\n", [] (http_limits_t *limits) { limits->header_bytes = 100; } },
  { "HeadTime", "GET /a HTTP/1.1\r\nHost: h\r\n", "\r\n",
    [] (http_limits_t *limits) {
      limits->header_timeout_us = 50 * US_PER_MS;
    } },
  { "BodyTime", POST_HEAD, "0\r\n\r\n",
    [] (http_limits_t *limits) { limits->body_timeout_us = 50 * US_PER_MS; } },
};

INSTANTIATE_TEST_SUITE_P (Table, HalfRead, testing::ValuesIn (half_read_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- a loop that comes late -------------------------------------------- */

struct LateRow
{
  const char *name;
  std::string first;
  std::string rest;
};

class LateLoop : public Kept, public testing::WithParamInterface<LateRow>
{
};

TEST_P (LateLoop, ARequestThatHasArrivedIsNotOverdue)
{
  start (limits ());
  caller->send (GetParam ().first);
  let_it_sweep (50 * US_PER_MS);
  caller->send (GetParam ().rest);
  hold_the_loop (2 * limits ().header_timeout_us);
  EXPECT_TRUE (wait ([&] { return caller->has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 200")) << caller->got;
}

const LateRow late_rows[] = {
  { "Head", "GET /a HTTP/1.1\r\nHost: h\r\n", "\r\n" },
  { "Body", POST_HEAD, "0\r\n\r\n" },
};

INSTANTIATE_TEST_SUITE_P (Table, LateLoop, testing::ValuesIn (late_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- answers that end with their connection ----------------------------- */

/* Nothing can be answered behind one, so nothing behind it is taken.  */
TEST_F (Loop, NothingIsTakenBehindARequestWhoseAnswerMayEndWithItsConnection)
{
  Server server (&loop, limits ());
  Caller caller (server.port ());
  std::string one
      = "GET /1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n";
  caller.send (one + one);
  ASSERT_TRUE (wait ([&] { return !server.open.empty (); }));
  EXPECT_EQ (1u, server.open.size ());
  while (!server.open.empty ())
    {
      http_exchange_t *exchange = server.open[0];
      server.open.erase (server.open.begin ());
      http_start_response (exchange, 200, nullptr, 0, -1);
      http_write_body (exchange, "ok", 2);
      http_end_response (exchange);
    }
  ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
  EXPECT_EQ (caller.got.find ("HTTP/1.1"), caller.got.rfind ("HTTP/1.1"));
}
}
