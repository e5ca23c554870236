/* Aborted responses and the end of a graceful stop.  Guards against an aborted
   response that cuts other responses of its connection or looks complete, and
   against requests that are read or forwarded after the stop.  */

#include "support_edge.h"

namespace
{
std::string
get (const std::string &path, const char *version = "1.1")
{
  return "GET " + path + " HTTP/" + version + "\r\nHost: h\r\n\r\n";
}

/* --- aborted responses ------------------------------------------------- */

/* Pipelined requests of one connection, all passed to the server's handler, of
   which one response is aborted.  */
class Pipelined : public Loop
{
protected:
  std::unique_ptr<Server> server;
  std::unique_ptr<Caller> caller;

  void
  start (size_t requests)
  {
    server = std::make_unique<Server> (&loop, limits ());
    caller = std::make_unique<Caller> (server->port ());
    for (size_t i = 0; i < requests; i++)
      caller->send (get ("/" + std::to_string (i)));
    ASSERT_TRUE (wait ([&] { return server->open.size () == requests; }));
  }
  void
  TearDown () override
  {
    caller.reset ();
    server.reset ();
    Loop::TearDown ();
  }
  void
  answer (size_t number, const std::string &body)
  {
    http_respond (server->open[number], 200, nullptr, 0, body.data (),
                  body.size ());
  }
  /* Sends half of a response, then aborts it.  */
  void
  abort_response (size_t number)
  {
    http_start_response (server->open[number], 200, nullptr, 0, 10);
    http_write_body (server->open[number], "half", 4);
    http_abort_response (server->open[number]);
  }
};

TEST_F (Pipelined, AbortedResponseDoesNotEndEarlierRequests)
{
  start (3);
  abort_response (1);
  ASSERT_EQ (0, server->gone);
  answer (2, "third");
  answer (0, "first");
  EXPECT_TRUE (wait ([&] { return caller->has ("third"); }));
  EXPECT_TRUE (caller->has ("first"));
  EXPECT_TRUE (caller->has ("HTTP/1.1 502 "));
  EXPECT_FALSE (caller->has ("half"));
}

TEST_F (Pipelined, AbortedResponseDoesNotCutThePreviousResponse)
{
  start (2);
  answer (0, "first");
  abort_response (1);
  EXPECT_TRUE (wait ([&] { return caller->is_over (); }));
  EXPECT_TRUE (caller->has ("first"));
}

/* The close of the connection marks the end of a response without a length, so
   only a reset tells an aborted one from a complete one.  */
TEST_F (Loop, AbortedHttp10ResponseWithoutLengthIsReset)
{
  Server server (&loop, limits ());
  Caller caller (server.port ());
  caller.send (get ("/", "1.0"));
  ASSERT_TRUE (wait ([&] { return server.open.size () == 1; }));
  http_start_response (server.open[0], 200, nullptr, 0, -1);
  http_write_body (server.open[0], "half", 4);
  ASSERT_TRUE (wait ([&] { return caller.has ("half"); }));
  http_abort_response (server.open[0]);
  EXPECT_TRUE (wait ([&] { return caller.is_over () || caller.reset; }));
  EXPECT_TRUE (caller.reset);
}

/* --- end of a graceful stop --------------------------------------------- */

/* At the end of a graceful stop, a timer ends the event loop while requests
   that arrived in the same turn are still unread.  */
TEST_F (Loop, RequestThatArrivesAsTheLoopEndsIsNotRead)
{
  auto server = std::make_unique<Server> (&loop, limits ());
  Caller caller (server->port ());
  ASSERT_TRUE (wait (
      [&] { return http_server_stats (server->server).connections == 1; }));
  struct
  {
    ev_timer timer;
    http_server_t *server;
  } stop;
  stop.server = server->server;
  ev_timer_init (
      &stop.timer,
      [] (struct ev_loop *ev, ev_timer *timer, int) {
        http_server_stop_reading (*(http_server_t **)timer->data);
        ev_break (ev, EVBREAK_ALL);
      },
      0, 0);
  stop.timer.data = &stop.server;
  ev_timer_start (loop.ev, &stop.timer);
  caller.send (get ("/"));
  ev_run (loop.ev, 0);
  EXPECT_EQ (0u, server->targets.size ());
  server.reset ();
  EXPECT_TRUE (wait ([&] {
    caller.has ("");
    return caller.reset;
  }));
}

/* The deferred sending of responses does not run after the end of the event
   loop.  */
TEST_F (Loop, ResponseMadeAsTheLoopEndsIsSent)
{
  auto server = std::make_unique<Server> (&loop, limits ());
  Caller caller (server->port ());
  struct
  {
    ev_timer timer;
    http_server_t *server;
  } stop;
  stop.server = server->server;
  ev_timer_init (
      &stop.timer,
      [] (struct ev_loop *ev, ev_timer *timer, int) {
        http_server_stop_reading (*(http_server_t **)timer->data);
        ev_break (ev, EVBREAK_ALL);
      },
      0, 0);
  stop.timer.data = &stop.server;
  server->answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, "ok", 2);
    loop_start_timer (&loop, &stop.timer, 0);
    ev_invoke (loop.ev, &stop.timer, EV_TIMER);
  };
  caller.send (get ("/"));
  ev_run (loop.ev, 0);
  ev_timer_stop (loop.ev, &stop.timer);
  server.reset ();
  EXPECT_TRUE (wait ([&] { return caller.has ("ok") || caller.is_over (); }));
  EXPECT_TRUE (caller.has ("ok"));
}

/* The rest of the request may have arrived already.  */
TEST_F (Loop, ServerIsBusyWhileARequestIsPartlyRead)
{
  Server server (&loop, limits ());
  server.answer = [] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, "ok", 2);
  };
  Caller caller (server.port ());
  caller.send ("GET /half HTTP/1.1\r\nHost: h\r\n");
  EXPECT_TRUE (wait ([&] { return http_server_is_busy (server.server); }));
  caller.send ("\r\n");
  EXPECT_TRUE (wait ([&] { return caller.has ("ok"); }));
  EXPECT_TRUE (wait ([&] { return !http_server_is_busy (server.server); }));
}

/* Frames are sent by a deferred task, as responses are.  */
TEST_F (Two, ReplyOfARunThatEndsAsItsSidecarEndsReachesTheCaller)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", "booked");
  ASSERT_TRUE (wait ([&] { return runner_open_run_count (b->runner) == 0; }));
  b.reset ();
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_TRUE (caller.has ("booked")) << caller.got;
}

class EndOfStop : public Two, public testing::WithParamInterface<const char *>
{
};

/* A refuses the runs of its own queue; the other server must not get them.  */
TEST_P (EndOfStop, OpenRequestsAreNotSentToAnotherServer)
{
  start_a_beside_the_server ();
  intake_server_t one = { 1, true, false, false, 0, 0 };
  runner_set_server (a->runner, &one, "i");
  Caller first (http_server_port (a->callers));
  first.send (request ("GET", "/read/0", "id-0"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  Caller second (http_server_port (a->callers));
  second.send (request (GetParam (), "/book/1", "id-1"));
  ASSERT_TRUE (
      wait ([&] { return entry_stats (a->entry).open_requests == 2; }));
  peer_set_add (a->peers, peer_set_own_vm (b->peers));
  ASSERT_TRUE (wait ([&] {
    peer_set_tick (a->peers, true, true);
    peer_set_tick (b->peers, true, true);
    return placement_accepting_count (a->placement, "s") == 2;
  }));
  entry_set_stop_window (a->entry, loop.now_us - US_PER_S, loop.now_us);
  runner_stop (a->runner);
  entry_end_open_requests (a->entry);
  EXPECT_EQ (0u, entry_stats (a->entry).placed_remote);
  EXPECT_TRUE (wait ([&] { return second.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, second.got.find ("HTTP/1.1 503 ")) << second.got;
}

INSTANTIATE_TEST_SUITE_P (Table, EndOfStop, testing::Values ("GET", "POST"),
                          [] (const auto &row) {
                            return std::string (row.param);
                          });

/* Health checks continue and report the server's state again.  */
TEST_F (Runs, ServerStateUpdateDoesNotRestartAStoppedRunner)
{
  runner_stop (b->runner);
  b->set_backend ("i");
  call_request_t made = call ("id-1", true);
  run_t *run = nullptr;
  EXPECT_EQ (START_FAILED,
             runner_start_call (b->runner, &made, &sink, &run, &failure));
  EXPECT_EQ (CAUSE_LEAVING, failure.cause);
}
}
