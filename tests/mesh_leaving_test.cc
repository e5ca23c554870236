/* Callers that disconnect before their response.  Guards against backend
   servers that start or continue work whose result nobody receives, and
   against runs and slots that are never released.  */

#include "support_edge.h"

namespace
{
TEST_F (Two, CallerDisconnectStopsARead)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  caller.shut ();
  EXPECT_TRUE (wait ([&] { return backend->gone == 1; }));
}

/* Pipelined requests that wait to be read must not hide the close of their
   connection.  */
TEST_F (Two, CallerDisconnectIsNoticedWhileReadingIsPaused)
{
  Caller caller (http_server_port (a->callers));
  std::string all;
  for (int i = 0; i < 6; i++)
    all += request ("GET", "/read/1", ("id-" + std::to_string (i)).c_str ());
  caller.send (all);
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 4; }));
  caller.shut ();
  ASSERT_TRUE (
      wait ([&] { return entry_stats (a->entry).open_requests == 0; }));
  EXPECT_EQ (4u, entry_stats (a->entry).ends[ENTRY_CALLER_GONE]);
  EXPECT_TRUE (wait ([&] { return backend->gone == 4; }));
  EXPECT_EQ (4u, backend->targets.size ());
  EXPECT_EQ (0u, http_server_stats (a->callers).connections);
}

struct RequestRow
{
  const char *name;
  const char *method;
  const char *path;
};

class Disconnect : public Two, public testing::WithParamInterface<RequestRow>
{
};

/* The request and the close are both pending when the sidecar reads.  */
TEST_P (Disconnect, RequestFollowedByACloseReachesNoServer)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request (GetParam ().method, GetParam ().path, "id-1"));
  caller.shut ();
  Caller next (http_server_port (a->callers));
  next.send (request ("GET", "/read/2", "id-2"));
  ASSERT_TRUE (wait ([&] {
    return !backend->targets.empty () && backend->targets.back () == "/read/2"
           && http_server_stats (a->callers).connections == 1;
  }));
  EXPECT_EQ (1u, backend->targets.size ());
}

const RequestRow request_rows[] = {
  { "Read", "GET", "/read/1" },
  { "Booking", "POST", "/book/1" },
};

INSTANTIATE_TEST_SUITE_P (Table, Disconnect, testing::ValuesIn (request_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

struct CancelRow
{
  const char *name;
  bool idempotent;
  bool reuse_connection; /* a connection to the server is already open */
};

class Cancel : public Runs, public testing::WithParamInterface<CancelRow>
{
};

TEST_P (Cancel, RunCancelledBeforeItIsSentReachesNoServer)
{
  if (GetParam ().reuse_connection)
    run_one ();
  run_t *run = start (call ("id-1", GetParam ().idempotent));
  run_cancel (run);
  EXPECT_EQ (0u, runner_server_load (b->runner).running);
  start (call ("id-2", true));
  ASSERT_TRUE (wait ([&] { return !backend->open.empty (); }));
  EXPECT_EQ (1u, backend->targets.size ());
  EXPECT_EQ ("id-2", id_of (backend->open[0]));
}

const CancelRow cancel_rows[] = {
  { "ReadWhileConnecting", true, false },
  { "ReadOnAReusedConnection", true, true },
  { "BookingWhileConnecting", false, false },
  { "BookingOnAReusedConnection", false, true },
};

INSTANTIATE_TEST_SUITE_P (Table, Cancel, testing::ValuesIn (cancel_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* When the link is lost, it is unknown whether the caller is still there, so
   the queued booking is dropped.  A later query for its outcome must be told
   that it did not run.  */
TEST_F (Runs, QueuedBookingIsDroppedWithItsLink)
{
  intake_server_t server = { 1, true, false, false, 0, 0 };
  runner_set_server (b->runner, &server, "i");
  start (call ("id-1", true));
  call_request_t booking = call ("id-2", false);
  ASSERT_NE (nullptr, peer_send_call (
                          peer_set_find (a->peers, peer_set_own_vm (b->peers)),
                          &booking, &sink));
  ASSERT_TRUE (
      wait ([&] { return runner_server_load (b->runner).queued == 1; }));
  a.reset ();
  ASSERT_TRUE (wait ([&] { return peer_set_stats (b->peers).peers_up == 0; }));
  EXPECT_EQ (0u, runner_server_load (b->runner).queued);
  run_t *queried_run = nullptr;
  booking.asks_outcome = true;
  booking.incarnation = 200;
  EXPECT_EQ (START_FAILED, runner_start_call (b->runner, &booking, &sink,
                                              &queried_run, &failure));
  EXPECT_EQ (FAILURE_REFUSED, failure.kind);
  EXPECT_EQ (CAUSE_CALL_NOT_RECEIVED, failure.cause);
  EXPECT_EQ (1u, backend->targets.size ());
}

/* A response whose caller has left must be read to its end, or the run keeps
   its slot.  */
TEST_F (Runs, BookingCancelledDuringItsResponseReleasesItsSlot)
{
  run_t *run = start (call ("id-1", false));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  std::string fields = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";
  std::string part (100000, 'x');
  http_start_response (backend->open[0], 200, fields.data (), fields.size (),
                       2 * part.size ());
  http_write_body (backend->open[0], part.data (), part.size ());
  ASSERT_TRUE (
      wait ([&] { return http_buffered_bytes (backend->open[0]) == 0; }));
  run_pause (run, true);
  run_cancel (run);
  http_write_body (backend->open[0], part.data (), part.size ());
  http_end_response (backend->open[0]);
  EXPECT_TRUE (
      wait ([&] { return runner_server_load (b->runner).running == 0; }));
}

/* A sidecar that reads late gets calls and their cancellations together.  */
TEST_F (Runs, CallsCancelledBehindALongBacklogReachNoServer)
{
  run_one ();
  peer_t *peer = peer_set_find (a->peers, peer_set_own_vm (b->peers));
  std::string body (1000, 'x');
  std::vector<peer_call_t *> sent;
  for (int i = 0; i < 200; i++)
    {
      call_request_t made = call ("id-1", true);
      made.body = body.data ();
      made.body_size = body.size ();
      sent.push_back (peer_send_call (peer, &made, &sink));
      ASSERT_NE (nullptr, sent.back ());
    }
  for (peer_call_t *at : sent)
    peer_call_cancel (at);
  call_request_t next = call ("id-2", true);
  ASSERT_NE (nullptr, peer_send_call (peer, &next, &sink));
  ASSERT_TRUE (wait ([&] {
    return !backend->open.empty () && id_of (backend->open.back ()) == "id-2";
  }));
  EXPECT_EQ (1u, backend->targets.size ());
}

/* A query for the outcome takes the run over from the link that brought the
   call.  When that link closes afterwards, the run must keep its new
   receiver.  */
TEST_F (Runs, CloseOfTheOldLinkLeavesTheRunToItsNewReceiver)
{
  start (call ("id-1", false));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  call_request_t outcome_query = call ("id-1", false);
  outcome_query.asks_outcome = true;
  int received = 0;
  call_sink_t second = sink;
  second.ctx = &received;
  run_t *queried_run = nullptr;
  ASSERT_EQ (START_ACCEPTED,
             runner_start_call (b->runner, &outcome_query, &second,
                                &queried_run, &failure));
  EXPECT_EQ (1, ended) << "the first receiver is notified and detached";
  answer_signed (backend->open[0], "id-1", "booked");
  ASSERT_TRUE (
      wait ([&] { return runner_server_load (b->runner).running == 0; }));
  EXPECT_EQ (1, received);
}

/* As above, but the run has been refused and freed before the old link
   closes; the close must not access it.  */
TEST_F (Runs, CloseOfTheOldLinkDoesNotAccessAFreedRun)
{
  intake_server_t server = { 1, true, false, false, 0, 0 };
  runner_set_server (b->runner, &server, "i");
  start (call ("id-1", true));
  call_request_t booking = call ("id-2", false);
  ASSERT_NE (nullptr, peer_send_call (
                          peer_set_find (a->peers, peer_set_own_vm (b->peers)),
                          &booking, &sink));
  ASSERT_TRUE (
      wait ([&] { return runner_server_load (b->runner).queued == 1; }));
  int received = 0;
  call_sink_t second = sink;
  second.ctx = &received;
  run_t *queried_run = nullptr;
  booking.asks_outcome = true;
  ASSERT_EQ (START_ACCEPTED, runner_start_call (b->runner, &booking, &second,
                                                &queried_run, &failure));
  server.leaving = true;
  runner_set_server (b->runner, &server, "i");
  EXPECT_EQ (1, received) << "refused";
  a.reset ();
  EXPECT_TRUE (wait ([&] { return peer_set_stats (b->peers).peers_up == 0; }));
}

/* The second request takes over the run of the first, which must end at once
   instead of waiting for a run whose events it no longer receives.  */
TEST_F (Two, RequestsWithTheSameIdEndSeparately)
{
  start_a_beside_the_server ();
  Caller first (http_server_port (a->callers));
  Caller second (http_server_port (a->callers));
  first.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  second.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return first.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, first.got.find ("HTTP/1.1 502")) << first.got;
  answer_signed (backend->open[0], "id-1", "booked");
  ASSERT_TRUE (wait ([&] { return second.has ("booked"); }));
  EXPECT_EQ (1u, backend->targets.size ());
}
}
