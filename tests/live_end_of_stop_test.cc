/* The end of a sidecar's stop, with a real process: what it has read must get
   an answer or a refusal, also when the process was held up meanwhile.  */

#include "support_edge.h"

extern "C"
{
#include "support_proc.h"
#include "support_store.h"
}

#include <csignal>

namespace
{
const std::string check = "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string read_request
    = "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 2000\r\n"
      "X-Attempt-Id: id-1\r\n\r\n";
const size_t PIPELINED = 40; /* reading pauses before them all */
/* Sockets that the event loop reads in its first turn after a pause.  */
const size_t SOCKETS_PER_TURN = 64;
const int64_t DRAIN_AND_GRACE_US = 2700 * US_PER_MS;
const int64_t WHOLE_STOP_US = 1800 * US_PER_MS; /* with stop_s 2 */

class EndOfStop : public Loop
{
protected:
  HeldPort callers, ready;
  fake_store_t *store = nullptr;
  proc_t sidecar = {};
  int out[2] = { -1, -1 };
  std::string printed;

  void
  SetUp () override
  {
    Loop::SetUp ();
    store = fake_store_new (&loop);
    fake_store_put (store, platform_dialect ()->operator_topic, "config",
                    POLICY);
    ASSERT_EQ (0, pipe2 (out, O_CLOEXEC | O_NONBLOCK));
  }
  /* MORE is added to the settings.  */
  void
  start (const std::string &more)
  {
    char path[256];
    ASSERT_TRUE (proc_write_file ("sidecar.json", settings (more).c_str (),
                                  path, sizeof path));
    const char *args[] = { "sidecar", "--settings", path, nullptr };
    ASSERT_TRUE (proc_start_logged (&sidecar, "redwingford", args, out[1]));
    ASSERT_TRUE (wait ([&] { return prints ("event=config-taken"); }));
  }
  void
  TearDown () override
  {
    proc_kill (&sidecar);
    fake_store_free (store);
    close (out[0]);
    close (out[1]);
    Loop::TearDown ();
  }
  std::string
  settings (const std::string &more)
  {
    auto at = [] (uint16_t port) {
      return "\"127.0.0.1:" + std::to_string (port) + "\"";
    };
    return R"({"node":"n","zone":"z","service":"s","callers":)"
           + at (callers.port) + R"(,"ready":)" + at (ready.port)
           + R"(,"announce":"127.0.0.1:0","peer":"127.0.0.1:0",)"
             R"("metrics":"127.0.0.1:0","backend":"127.0.0.1:1","store":)"
           + at (fake_store_port (store)) + more + "}";
  }
  bool
  prints (const std::string &text)
  {
    printed += read_all (out[0]);
    return printed.find (text) != std::string::npos;
  }
  void
  run_for (int64_t us)
  {
    int64_t until_us = clock_now_us (clock_system ()) + us;
    wait ([&] { return clock_now_us (clock_system ()) >= until_us; });
  }
  /* Sends TEXT and takes the response, so that the connection is accepted.  */
  std::unique_ptr<Caller>
  open_connection (uint16_t port, const std::string &text)
  {
    auto caller = std::make_unique<Caller> (port);
    caller->send (text);
    EXPECT_TRUE (wait ([&] { return caller->has ("\r\n\r\n"); }));
    caller->got.clear ();
    return caller;
  }
};

class LateDrain : public EndOfStop, public testing::WithParamInterface<bool>
{
};

/* A process that was held up into the stop has more sockets to read than one
   turn takes, and begins its drain when the time for its end has come.  The
   request comes on a kept or a new connection.  There is no server, so it
   waits.  */
TEST_P (LateDrain, RequestThatHasArrivedIsAnswered)
{
  start ("");
  std::vector<std::unique_ptr<Caller>> checkers;
  for (size_t i = 0; i < SOCKETS_PER_TURN; i++)
    checkers.push_back (open_connection (ready.port, check));
  std::unique_ptr<Caller> caller;
  if (GetParam ())
    caller = open_connection (callers.port,
                              "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n");
  proc_signal (&sidecar, SIGTERM);
  ASSERT_TRUE (wait ([&] { return prints ("event=stopping"); }));
  proc_signal (&sidecar, SIGSTOP);
  for (auto &checker : checkers)
    checker->send (check);
  if (caller == nullptr)
    caller = std::make_unique<Caller> (callers.port);
  caller->send (read_request);
  run_for (DRAIN_AND_GRACE_US);
  proc_signal (&sidecar, SIGCONT);
  EXPECT_TRUE (wait ([&] {
    return caller->has ("\r\n\r\n") || caller->is_over () || caller->reset;
  }));
  EXPECT_TRUE (wait ([&] { return prints ("event=stopped"); }));
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 503 ")) << printed;
  EXPECT_EQ (0, proc_wait (&sidecar, PROC_WAIT_MS));
}

INSTANTIATE_TEST_SUITE_P (Table, LateDrain, testing::Bool (),
                          [] (const auto &row) {
                            return row.param ? "KeptConnection"
                                             : "NewConnection";
                          });

/* The process is held up until its time is over.  Requests that wait for a
   server end then; those behind them have been read, but not parsed.  */
TEST_F (EndOfStop, PipelinedRequestsAreRefusedByALateFlush)
{
  start (R"(,"stop_s":2)");
  auto checker = open_connection (ready.port, check);
  Caller caller (callers.port);
  for (size_t i = 0; i < PIPELINED; i++)
    caller.send (read_request);
  checker->send (check);
  ASSERT_TRUE (wait ([&] { return checker->has ("\r\n\r\n"); }));
  proc_signal (&sidecar, SIGTERM);
  ASSERT_TRUE (wait ([&] { return prints ("event=stopping open=32"); }));
  proc_signal (&sidecar, SIGSTOP);
  run_for (WHOLE_STOP_US);
  proc_signal (&sidecar, SIGCONT);
  EXPECT_TRUE (wait ([&] { return prints ("event=stopped"); }));
  EXPECT_EQ (0, proc_wait (&sidecar, PROC_WAIT_MS));
  size_t refused = 0;
  caller.has ("");
  for (size_t at = 0;
       (at = caller.got.find ("HTTP/1.1 503 ", at)) != std::string::npos; at++)
    refused++;
  EXPECT_EQ (PIPELINED, refused) << printed;
}
}
