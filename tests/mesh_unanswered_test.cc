/* Every request that is read whole gets an answer or a refusal, also when its
   connection reaches its idle limit, is drained or has its limits changed, or
   when the sidecar stops.  A request that is read and then dropped leaves its
   caller unable to tell whether it ran.  */

#include "support_edge.h"

#include <cerrno>
#include <thread>

namespace
{
const int64_t IDLE_US = 300 * US_PER_MS;

http_limits_t
short_idle_limits ()
{
  http_limits_t custom = limits ();
  custom.idle_timeout_us = IDLE_US;
  return custom;
}

std::string
get_request (const std::string &path)
{
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/* Blocks the event loop for US microseconds.  */
void
block_loop (int64_t us)
{
  std::this_thread::sleep_for (std::chrono::microseconds (us));
}

/* A server that answers at once, and a caller whose keep-alive connection has
   carried one request.  */
class KeepAlive : public Loop
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
    send_get ("/first");
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
  send_get (const std::string &path)
  {
    std::string text = get_request (path);
    ::send (caller->fd, text.data (), text.size (), MSG_NOSIGNAL);
  }
  /* A reset tells the caller that its request was not read.  */
  bool
  is_answered_or_reset ()
  {
    caller->has ("");
    return caller->has ("ok") || caller->reset;
  }
  uint64_t
  late_request_count ()
  {
    return http_server_stats (server->server).late_requests;
  }
  /* Runs the loop for US microseconds, so that the server checks its
     connections' timeouts.  */
  void
  run_loop_for (int64_t us)
  {
    int64_t until_us = loop.now_us + us;
    ASSERT_TRUE (wait ([&] { return loop.now_us > until_us; }));
  }
};

/* --- requests that arrive as their connection is closed ---------------- */

struct CloseRaceRow
{
  const char *name;
  bool drain; /* a drain closes the connection, else its idle limit does */
  bool request_first; /* the request arrives before the close is decided */
};

class CloseRace : public KeepAlive,
                  public testing::WithParamInterface<CloseRaceRow>
{
};

TEST_P (CloseRace, RequestIsAnsweredOrLeftUnread)
{
  const CloseRaceRow &row = GetParam ();
  start (row.drain ? limits () : short_idle_limits ());
  if (row.request_first)
    {
      block_loop (row.drain ? 0 : 2 * IDLE_US);
      send_get ("/second");
    }
  if (row.drain)
    http_server_drain (server->server);
  if (!row.request_first)
    {
      ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
      caller->ended = false;
      send_get ("/second");
    }
  EXPECT_TRUE (wait (
      [&] { return is_answered_or_reset () || late_request_count () > 0; }));
  EXPECT_EQ (0u, late_request_count ());
  EXPECT_EQ (row.request_first, caller->has ("ok"));
}

const CloseRaceRow close_race_rows[] = {
  { "RequestBeforeIdleClose", false, true },
  { "RequestAfterIdleClose", false, false },
  { "RequestBeforeDrain", true, true },
  { "RequestAfterDrain", true, false },
};

INSTANTIATE_TEST_SUITE_P (Table, CloseRace,
                          testing::ValuesIn (close_race_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

struct DrainedPipelineRow
{
  const char *name;
  uint32_t first; /* requests that are open as the drain begins */
  uint32_t all;
};

class DrainedPipeline : public Loop,
                        public testing::WithParamInterface<DrainedPipelineRow>
{
};

/* A request that is answered as soon as it is read is the last one only if
   nothing is left of what was read with it.  */
TEST_P (DrainedPipeline, RequestsReadTogetherAreAllAnswered)
{
  const DrainedPipelineRow &row = GetParam ();
  Server server (&loop, limits ());
  Caller caller (server.port ());
  std::string text;
  for (uint32_t i = 0; i < row.all; i++)
    text += get_request ("/" + std::to_string (i));
  if (row.first > 0)
    {
      caller.send (text);
      ASSERT_TRUE (wait ([&] { return server.open.size () == row.first; }));
    }
  http_server_drain (server.server);
  server.answer = [] (http_exchange_t *exchange) {
    const char *target = bytes_data (&exchange->target);
    http_respond (exchange, 200, nullptr, 0, target, strlen (target));
  };
  if (row.first == 0)
    caller.send (text);
  for (http_exchange_t *exchange : server.open)
    server.answer (exchange);
  ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
  EXPECT_EQ (row.all, server.targets.size ());
  EXPECT_TRUE (caller.has ("/" + std::to_string (row.all - 1)));
  EXPECT_TRUE (caller.has ("Connection: close"));
}

const DrainedPipelineRow drained_pipeline_rows[] = {
  { "ReadInTheDrain", 0, 3 },
  { "ReadBeforeTheDrain", limits ().pipelined_requests,
    limits ().pipelined_requests + 3 },
};

INSTANTIATE_TEST_SUITE_P (Table, DrainedPipeline,
                          testing::ValuesIn (drained_pipeline_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* A drain reads the requests that have arrived.  Handling one may close
   another connection while the drain goes through the list.  */
TEST_F (Loop, DrainContinuesWhenARequestItReadsClosesAnotherConnection)
{
  Server server (&loop, limits ());
  Caller idle (server.port ());
  server.answer = [] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, "ok", 2);
  };
  idle.send (get_request ("/first"));
  ASSERT_TRUE (wait ([&] {
    return idle.has ("ok") && !http_server_has_unacked_output (server.server);
  }));
  server.answer = nullptr;
  Caller waiting (server.port ());
  waiting.send (get_request ("/waiting"));
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
  asking.send (get_request ("/asking"));
  http_server_drain (server.server);
  EXPECT_EQ (1u, http_server_stats (server.server).connections);
  EXPECT_TRUE (wait ([&] { return asking.has ("ok") && idle.is_over (); }));
}

/* A connection closed at its idle limit while its last answer is still being
   sent would cut that answer off.  */
TEST_F (Loop, ConnectionIsNotIdleUntilItsLastAnswerIsReceived)
{
  http_limits_t custom = short_idle_limits ();
  custom.body_timeout_us = 10 * US_PER_S;
  Server server (&loop, custom);
  std::string body (8 << 20, 'x');
  server.answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  Caller caller (server.port ());
  caller.send (get_request ("/large"));
  ASSERT_TRUE (wait ([&] { return server.targets.size () == 1; }));
  int64_t until_us = loop.now_us + 3 * IDLE_US;
  ASSERT_TRUE (wait ([&] { return loop.now_us > until_us; }));
  http_server_drain (server.server);
  until_us = loop.now_us + IDLE_US;
  ASSERT_TRUE (wait ([&] { return loop.now_us > until_us; }));
  caller.send (get_request ("/next"));
  EXPECT_TRUE (wait ([&] { return caller.has (body); }));
}

/* Without this limit an answer that nobody reads would be held forever.  */
TEST_F (Loop, ConnectionIsClosedWhenItsCallerReadsNothing)
{
  Server server (&loop, limits ());
  std::string body (8 << 20, 'x');
  server.answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  Caller caller (server.port ());
  caller.send (get_request ("/large"));
  ASSERT_TRUE (wait ([&] { return server.targets.size () == 1; }));
  EXPECT_TRUE (wait (
      [&] { return http_server_stats (server.server).connections == 0; }));
  EXPECT_EQ (
      1u, http_server_stats (server.server).close_counts[HTTP_CLOSE_UNREAD]);
}

TEST_F (Loop, BlockedEventLoopDoesNotCutOffTheAnswerToAReadingCaller)
{
  Server server (&loop, limits ());
  std::string body (8 << 20, 'x');
  server.answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  Caller caller (server.port ());
  caller.send (get_request ("/large"));
  ASSERT_TRUE (wait ([&] { return server.targets.size () == 1; }));
  block_loop (2 * limits ().body_timeout_us);
  EXPECT_FALSE (caller.has (body));
  EXPECT_TRUE (wait ([&] { return caller.has (body); }));
}

TEST_F (Loop, AnswerCountsAsUnackedUntilFullyReceived)
{
  Server server (&loop, limits ());
  std::string body (8 << 20, 'x');
  server.answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, body.data (), body.size ());
  };
  Caller caller (server.port ());
  EXPECT_FALSE (http_server_has_unacked_output (server.server));
  caller.send (get_request ("/large"));
  ASSERT_TRUE (wait ([&] { return server.targets.size () == 1; }));
  EXPECT_EQ (0u, http_server_stats (server.server).open_exchanges);
  EXPECT_TRUE (http_server_has_unacked_output (server.server));
  ASSERT_TRUE (wait ([&] { return caller.has (body); }));
  EXPECT_TRUE (
      wait ([&] { return !http_server_has_unacked_output (server.server); }));
}

/* --- requests open at the end of a shutdown ----------------------------- */

typedef enum request_stage_t
{
  WAITING_FOR_SERVER,
  QUEUED_LOCALLY,
  RUNNING_LOCALLY,
  RUNNING_ON_PEER,
  BUFFERED, /* part of the answer has arrived, none was forwarded */
  PARTLY_FORWARDED
} request_stage_t;

struct ShutdownRow
{
  const char *name;
  request_stage_t stage;
  const char *method;
  const char *path;
  const char *status; /* that the caller gets; NULL: a truncated answer */
};

class ShutdownWithOpenRequests
    : public Two,
      public testing::WithParamInterface<ShutdownRow>
{
};

/* At the end of a shutdown each request that is still open must get an answer:
   503 if it has not reached a backend server, 502 if it may have run.  If part
   of the answer was already forwarded, it must stay visibly incomplete.  */
TEST_P (ShutdownWithOpenRequests, OpenRequestGetsTheStatusOfItsStage)
{
  const ShutdownRow &row = GetParam ();
  bool local = row.stage == QUEUED_LOCALLY || row.stage == RUNNING_LOCALLY;
  size_t server_requests = row.stage == WAITING_FOR_SERVER ? 0 : 1;
  if (local)
    start_a_beside_the_server ();
  if (row.stage == WAITING_FOR_SERVER)
    {
      b->identity.accepting = 0;
      ASSERT_TRUE (wait ([&] {
        peer_set_tick (b->peers, true, true);
        return placement_accepting_count (a->placement, "s") == 0;
      }));
    }
  Caller first (http_server_port (a->callers));
  Caller caller (http_server_port (a->callers));
  if (row.stage == QUEUED_LOCALLY)
    {
      intake_server_t one = { 1, true, false, false, 0, 0 };
      runner_set_server (a->runner, &one, "i");
      first.send (request ("GET", "/read/0", "id-0"));
      ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
    }
  caller.send (request (row.method, row.path, "id-1"));
  uint32_t open = row.stage == QUEUED_LOCALLY ? 2 : 1;
  ASSERT_TRUE (wait ([&] {
    return entry_stats (a->entry).open_requests == open
           && backend->targets.size () == server_requests;
  }));
  if (row.stage == BUFFERED || row.stage == PARTLY_FORWARDED)
    {
      std::string head = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";
      std::string piece (row.stage == BUFFERED ? 40000 : 100000, 'x');
      http_start_response (backend->open[0], 200, head.data (), head.size (),
                           -1);
      http_write_body (backend->open[0], piece.data (), piece.size ());
      uint64_t frames = peer_set_stats (a->peers).frames_in;
      ASSERT_TRUE (wait ([&] {
        return row.stage == BUFFERED
                   ? peer_set_stats (a->peers).frames_in > frames
                   : caller.has ("xxx");
      }));
    }
  runner_stop (a->runner);
  entry_end_open_requests (a->entry);
  EXPECT_EQ (0u, entry_stats (a->entry).open_requests);
  if (row.status == nullptr)
    {
      ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
      EXPECT_EQ (std::string::npos, caller.got.find ("\r\n0\r\n\r\n"));
      return;
    }
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller.got.find (std::string ("HTTP/1.1 ") + row.status))
      << caller.got;
  EXPECT_EQ (server_requests, backend->targets.size ());
}

const ShutdownRow shutdown_rows[] = {
  { "ReadWaitingForServer", WAITING_FOR_SERVER, "GET", "/read/1", "503" },
  { "BookingWaitingForServer", WAITING_FOR_SERVER, "POST", "/book/1", "503" },
  { "ReadQueuedLocally", QUEUED_LOCALLY, "GET", "/read/1", "503" },
  { "BookingQueuedLocally", QUEUED_LOCALLY, "POST", "/book/1", "503" },
  { "ReadRunningLocally", RUNNING_LOCALLY, "GET", "/read/1", "502" },
  { "BookingRunningLocally", RUNNING_LOCALLY, "POST", "/book/1", "502" },
  { "ReadRunningOnPeer", RUNNING_ON_PEER, "GET", "/read/1", "502" },
  { "BookingRunningOnPeer", RUNNING_ON_PEER, "POST", "/book/1", "502" },
  { "ReadWithBufferedAnswer", BUFFERED, "GET", "/read/1", "502" },
  { "ReadWithPartlyForwardedAnswer", PARTLY_FORWARDED, "GET", "/read/1",
    nullptr },
};

INSTANTIATE_TEST_SUITE_P (Table, ShutdownWithOpenRequests,
                          testing::ValuesIn (shutdown_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- changes of limits ------------------------------------------------- */

/* A caller relies on the idle limit that was announced when it last used the
   connection.  */
TEST_F (KeepAlive, LoweredIdleLimitSparesConnectionsLastUsedBeforeTheChange)
{
  start (limits ());
  http_limits_t lower = short_idle_limits ();
  http_server_set_limits (server->server, &lower, 0);
  run_loop_for (3 * IDLE_US);
  send_get ("/second");
  EXPECT_TRUE (wait (
      [&] { return is_answered_or_reset () || late_request_count () > 0; }));
  EXPECT_TRUE (caller->has ("ok"));
}

TEST_F (KeepAlive, RaisedIdleLimitAppliesToConnectionsLastUsedBeforeTheChange)
{
  start (short_idle_limits ());
  http_limits_t higher = limits ();
  http_server_set_limits (server->server, &higher, 0);
  run_loop_for (3 * IDLE_US);
  send_get ("/second");
  EXPECT_TRUE (wait (
      [&] { return is_answered_or_reset () || late_request_count () > 0; }));
  EXPECT_TRUE (caller->has ("ok"));
}

TEST_F (KeepAlive, LoweredIdleLimitAppliesToConnectionsUsedAfterTheNotice)
{
  start (limits ());
  http_limits_t lower = short_idle_limits ();
  const int64_t notice_us = 4 * IDLE_US;
  http_server_set_limits (server->server, &lower, notice_us);
  send_get ("/during");
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  run_loop_for (notice_us + 2 * IDLE_US);
  EXPECT_FALSE (caller->is_over ());
  caller->got.clear ();
  send_get ("/after");
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  EXPECT_TRUE (wait ([&] { return caller->is_over (); }));
}

/* Each new configuration sets the limits again.  If an unchanged limit
   restarted the notice period, frequent updates would postpone a lowered limit
   without end.  */
TEST_F (KeepAlive, SettingTheSameLimitsDoesNotPostponeALoweredIdleLimit)
{
  http_limits_t higher = limits ();
  higher.idle_timeout_us = 2 * GIVE_UP_US;
  start (higher);
  http_limits_t lower = short_idle_limits ();
  const int64_t notice_us = 2 * IDLE_US;
  int64_t until_us = loop.now_us + 2 * notice_us;
  ASSERT_TRUE (wait ([&] {
    http_server_set_limits (server->server, &lower, notice_us);
    return loop.now_us > until_us;
  }));
  send_get ("/second");
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  EXPECT_TRUE (wait ([&] {
    http_server_set_limits (server->server, &lower, notice_us);
    return caller->is_over ();
  }));
}

struct PartialRequestRow
{
  const char *name;
  std::string first_part; /* of one request */
  std::string second_part;
  void (*lower) (http_limits_t *limits);
};

class PartialRequest : public KeepAlive,
                       public testing::WithParamInterface<PartialRequestRow>
{
};

/* Limits lowered while a request is being read apply from the next request
   on.  */
TEST_P (PartialRequest, LimitsAtTheStartOfARequestHoldUntilItsEnd)
{
  const PartialRequestRow &row = GetParam ();
  http_limits_t custom = limits ();
  custom.header_timeout_us = custom.body_timeout_us = 10 * US_PER_S;
  start (custom);
  caller->send (row.first_part);
  run_loop_for (IDLE_US);
  row.lower (&custom);
  http_server_set_limits (server->server, &custom, 0);
  run_loop_for (2 * IDLE_US);
  caller->send (row.second_part);
  EXPECT_TRUE (wait ([&] { return caller->has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 200")) << caller->got;
}

const char POST_HEAD[]
    = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

const PartialRequestRow partial_request_rows[] = {
  { "LargeHead", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string (500, 'x'),
    "\r\n\r\n", [] (http_limits_t *limits) { limits->header_bytes = 100; } },
  { "LargeBody",
    POST_HEAD + std::string ("190\r\n") + std::string (400, 'x') + "\r\n",
    "0\r\n\r\n", [] (http_limits_t *limits) { limits->body_bytes = 100; } },
  { "LargeBodyWithMoreBytes",
    POST_HEAD + std::string ("190\r\n") + std::string (400, 'x') + "\r\n",
    "1\r\ny\r\n0\r\n\r\n",
    [] (http_limits_t *limits) { limits->body_bytes = 100; } },
  { "LargeHeadWithMoreBytes",
    "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string (500, 'x'), "y\r\n\r\n",
    [] (http_limits_t *limits) { limits->header_bytes = 100; } },
  { "SlowHead", "GET /a HTTP/1.1\r\nHost: h\r\n", "\r\n",
    [] (http_limits_t *limits) {
      limits->header_timeout_us = 50 * US_PER_MS;
    } },
  { "SlowBody", POST_HEAD, "0\r\n\r\n",
    [] (http_limits_t *limits) { limits->body_timeout_us = 50 * US_PER_MS; } },
};

INSTANTIATE_TEST_SUITE_P (Table, PartialRequest,
                          testing::ValuesIn (partial_request_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- a blocked event loop ---------------------------------------------- */

struct BlockedLoopRow
{
  const char *name;
  std::string first_part;
  std::string second_part;
};

class BlockedLoop : public KeepAlive,
                    public testing::WithParamInterface<BlockedLoopRow>
{
};

/* Requests that arrived in time are still unread when a blocked event loop
   resumes.  Checking the timeouts before the sockets would refuse them.  */
TEST_P (BlockedLoop, RequestThatArrivedInTimeIsAnswered)
{
  start (limits ());
  caller->send (GetParam ().first_part);
  run_loop_for (50 * US_PER_MS);
  caller->send (GetParam ().second_part);
  block_loop (2 * limits ().header_timeout_us);
  EXPECT_TRUE (wait ([&] { return caller->has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 200")) << caller->got;
}

const BlockedLoopRow blocked_loop_rows[] = {
  { "Head", "GET /a HTTP/1.1\r\nHost: h\r\n", "\r\n" },
  { "Body", POST_HEAD, "0\r\n\r\n" },
};

INSTANTIATE_TEST_SUITE_P (Table, BlockedLoop,
                          testing::ValuesIn (blocked_loop_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- answers delimited by the close of the connection ------------------- */

/* An HTTP/1.0 answer of unknown length ends when the connection closes, so no
   pipelined request after it can be answered and none may be read.  */
TEST_F (Loop, NoPipelinedRequestIsReadAfterOneWhoseAnswerMayEndAtClose)
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
