/* Long, slow and interrupted responses, and faults of the links
   between sidecars.  Guards against requests that stay open past their
   deadline, responses that are lost, stalled or truncated without notice, and
   requests reported as not run although a backend server has run them.  */

#include "support_peer.h"

extern "C"
{
#include "support_relay.h"
}

#include <thread>

namespace
{
const size_t LONG_BYTES = 200000; /* forwarded before it is complete */
/* Buffered until complete, then forwarded in several frames.  */
const size_t BUFFERED_BYTES = 64000;

/* Starts a response of SIZE bytes and writes three quarters of it.  */
void
start_long_response (http_exchange_t *exchange, const std::string &id,
                     size_t size = LONG_BYTES)
{
  std::string fields = "X-Attempt-Id: " + id + "\r\nX-Server-Signature: s\r\n";
  http_start_response (exchange, 200, fields.data (), fields.size (),
                       (int64_t)size);
  std::string most (size / 4 * 3, 'x');
  http_write_body (exchange, most.data (), most.size ());
}

void
finish_long_response (http_exchange_t *exchange, size_t size = LONG_BYTES)
{
  std::string rest (size - size / 4 * 3, 'y');
  http_write_body (exchange, rest.data (), rest.size ());
  http_end_response (exchange);
}

bool
is_complete (const std::string &answer, size_t size = LONG_BYTES)
{
  size_t head = answer.find ("\r\n\r\n");
  return answer.find ("HTTP/1.1 200") == 0 && head != std::string::npos
         && answer.size () == head + 4 + size;
}

/* --- slow responses --------------------------------------------------- */

struct RequestRow
{
  const char *name;
  /* Callers connect to the sidecar of the backend server's VM, else to another
     sidecar.  */
  bool at_server_sidecar;
  const char *method;
  const char *path;
};

class SlowResponse : public Two, public testing::WithParamInterface<RequestRow>
{
};

/* A read that takes longer than a multiple of its route's mean may be retried
   at another backend server, but not once its response has started.  */
TEST_P (SlowResponse, StartedResponseMayTakeUntilTheDeadline)
{
  const RequestRow &row = GetParam ();
  if (row.at_server_sidecar)
    start_a_beside_the_server ();
  backend->answer = [] (http_exchange_t *exchange) {
    answer_signed (exchange, id_of (exchange), "short");
  };
  Caller caller (http_server_port (a->callers));
  caller.send (request (row.method, row.path, "id-1"));
  ASSERT_TRUE (wait ([&] { return caller.has ("short"); }));
  caller.got.clear ();
  backend->answer = nullptr;
  caller.send (request (row.method, row.path, "id-2"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  start_long_response (backend->open[0], "id-2");
  int64_t begun_us = loop.now_us;
  ASSERT_TRUE (
      wait ([&] { return loop.now_us > begun_us + 600 * US_PER_MS; }));
  ASSERT_EQ (1u, backend->open.size ());
  EXPECT_FALSE (caller.is_over ());
  finish_long_response (backend->open[0]);
  EXPECT_TRUE (
      wait ([&] { return caller.is_over () || is_complete (caller.got); }));
  EXPECT_TRUE (is_complete (caller.got));
  EXPECT_EQ (2u, entry_stats (a->entry).ends[ENTRY_ANSWERED]);
}

const RequestRow request_rows[] = {
  { "ReadAtAnotherSidecar", false, "GET", "/read/1" },
  { "ReadAtServerSidecar", true, "GET", "/read/1" },
  { "BookingAtAnotherSidecar", false, "POST", "/book/1" },
  { "BookingAtServerSidecar", true, "POST", "/book/1" },
};

INSTANTIATE_TEST_SUITE_P (Table, SlowResponse,
                          testing::ValuesIn (request_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- flow control ------------------------------------------------------ */

/* The run is paused when the last bytes of its response fill the window.  The
   connection to the server must then be read again for the next run.  */
TEST_F (Runs, ConnectionPausedAtTheEndOfAResponseIsReadAgain)
{
  struct Slow
  {
    run_t *run = nullptr;
    int ended = 0;
  } slow;
  sink = { [] (void *, const call_reply_t *, const char *, size_t, bool) {},
           [] (void *ctx, const char *, size_t, bool last) {
             Slow *self = (Slow *)ctx;
             self->ended += last;
             if (!last)
               run_pause (self->run, true);
           },
           [] (void *, const call_failure_t *) {}, &slow };
  slow.run = start (call ("id-1", true));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", std::string (40000, 'x'));
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return slow.ended == 1; }));

  sink = { [] (void *ctx, const call_reply_t *, const char *, size_t,
               bool last) { ((Slow *)ctx)->ended += last; },
           [] (void *, const char *, size_t, bool) {},
           [] (void *ctx, const call_failure_t *) {
             ((Slow *)ctx)->ended = -9;
           },
           &slow };
  start (call ("id-2", true));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-2", "short");
  EXPECT_TRUE (wait ([&] { return slow.ended != 1; }));
  EXPECT_EQ (2, slow.ended);
}

class SlowReader : public Two, public testing::WithParamInterface<RequestRow>
{
};

/* Windows and credits stop a response only until its caller reads again.  */
TEST_P (SlowReader, ResponseOfManyWindowsResumesWhenItsCallerReads)
{
  const RequestRow &row = GetParam ();
  if (row.at_server_sidecar)
    start_a_beside_the_server ();
  Caller caller (http_server_port (a->callers));
  caller.send (request (row.method, row.path, "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  std::string fields = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";
  std::string body (24 * 1024 * 1024, 'x');
  http_start_response (backend->open[0], 200, fields.data (), fields.size (),
                       (int64_t)body.size ());
  http_write_body (backend->open[0], body.data (), body.size ());
  size_t unread = body.size ();
  int idle_turns = 0; /* loop turns since the server could last send */
  ASSERT_TRUE (wait ([&] {
    size_t now = http_buffered_bytes (backend->open[0]);
    idle_turns = now == unread ? idle_turns + 1 : 0;
    unread = now;
    return idle_turns > 10;
  }));
  ASSERT_GT (unread, 0u);
  http_end_response (backend->open[0]);
  size_t head = 0;
  EXPECT_TRUE (wait ([&] {
    caller.has ("");
    head = caller.got.find ("\r\n\r\n") + 4;
    return caller.ended || caller.got.size () == head + body.size ();
  }));
  EXPECT_EQ (head + body.size (), caller.got.size ());
  EXPECT_TRUE (wait ([&] { return runner_open_run_count (b->runner) == 0; }));
}

INSTANTIATE_TEST_SUITE_P (Table, SlowReader, testing::ValuesIn (request_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST_F (Two, ResponseIsAcceptedFromARemovedPeer)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  peer_set_remove (a->peers, peer_set_own_vm (b->peers));
  peer_set_tick (a->peers, true, true);
  answer_signed (backend->open[0], "id-1", "booked");
  backend->open.clear ();
  EXPECT_TRUE (wait ([&] { return caller.has ("booked"); }));
}

struct LongHeadRow
{
  const char *name;
  size_t field_bytes; /* size of each field's value */
  size_t field_count;
  const char *status;
};

class LongHead : public Two, public testing::WithParamInterface<LongHeadRow>
{
};

/* A response head that is too large for a link is replaced by a 502 at the
   backend server's own sidecar.  */
TEST_P (LongHead, ResponseWithALongHeadIsForwardedOrFailsAtOnce)
{
  const LongHeadRow &row = GetParam ();
  std::string fields = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";
  for (size_t i = 0; i < row.field_count; i++)
    fields += "A:" + std::string (row.field_bytes, 'x') + "\r\n";
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  http_respond (backend->open[0], 200, fields.data (), fields.size (), "x", 1);
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (row.status, caller.got.substr (0, strlen ("HTTP/1.1 200")));
}

const LongHeadRow head_rows[] = {
  { "SmallFields", 1, 15000, "HTTP/1.1 200" },
  { "OneLargeField", 75000, 1, "HTTP/1.1 200" },
  { "TooManyFields", 1, 20000, "HTTP/1.1 502" },
  { "TooLargeAField", 140000, 1, "HTTP/1.1 502" },
};

INSTANTIATE_TEST_SUITE_P (Table, LongHead, testing::ValuesIn (head_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- links to a peer that the test plays --------------------------------- */

TEST_F (FakePeer, ReceivedResponseSurvivesAFailedSend)
{
  listen (true);
  std::unique_ptr<LinkEnd> link = accept ();
  link->send_report (peer_vm);
  ASSERT_TRUE (wait (
      [&] { return placement_accepting_count (a->placement, "s") == 1; }));
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return link->call () != 0; }));
  link->send_answer (link->call (), "booked");
  link->reset ();
  peer_set_send_reports (a->peers, true, true);
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 200")) << caller.got;
}

/* The parts of a response are sent in separate frames.  When the link breaks
   after the first, the caller of a read must get a whole 502, not the start of
   a response.  */
TEST_F (FakePeer, ReadGets502WhenTheLinkBreaksBetweenResponseParts)
{
  listen (true);
  std::unique_ptr<LinkEnd> link = accept ();
  link->send_report (peer_vm);
  ASSERT_TRUE (wait (
      [&] { return placement_accepting_count (a->placement, "s") == 1; }));
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return link->call () != 0; }));
  link->send_part (link->call (), "first", 10);
  ASSERT_TRUE (wait_for_reports (peer_set_stats (a->peers).frames_in + 1));
  link->reset ();
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n") || caller.ended; }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 502")) << caller.got;
}

/* After a pause of the VM, the tick that checks for silent links may run
   before a report that has already arrived is read.  */
TEST_F (FakePeer, LinkWithAnUnreadReportIsNotTakenForSilent)
{
  listen (true);
  std::unique_ptr<LinkEnd> link = accept ();
  link->send_report (peer_vm);
  ASSERT_TRUE (wait (
      [&] { return placement_accepting_count (a->placement, "s") == 1; }));
  uint64_t lost = peer_set_stats (a->peers).links_lost;
  bool ticked = false;
  std::pair<Sidecar *, bool *> ctx = { a.get (), &ticked };
  ev_timer tick;
  ev_timer_init (
      &tick,
      [] (struct ev_loop *, ev_timer *timer, int) {
        auto *context = (std::pair<Sidecar *, bool *> *)timer->data;
        peer_set_tick (context->first->peers, true, true);
        *context->second = true;
      },
      0.001, 0);
  tick.data = &ctx;
  ev_timer_start (loop.ev, &tick);
  link->send_report (peer_vm);
  std::this_thread::sleep_for (
      std::chrono::microseconds (2 * PEER_SILENCE_TIMEOUT_US));
  ASSERT_TRUE (wait ([&] { return ticked; }));
  EXPECT_EQ (lost, peer_set_stats (a->peers).links_lost);
  EXPECT_EQ (1u, placement_accepting_count (a->placement, "s"));
}

/* When the event loop is delayed, the response and the deadline are due in the
   same turn.  */
TEST_F (FakePeer, ReceivedResponseIsReadBeforeTheDeadlineIsChecked)
{
  listen (true);
  std::unique_ptr<LinkEnd> link = accept ();
  link->send_report (peer_vm);
  ASSERT_TRUE (wait (
      [&] { return placement_accepting_count (a->placement, "s") == 1; }));
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return link->call () != 0; }));
  link->send_answer (link->call (), "booked");
  std::this_thread::sleep_for (std::chrono::microseconds (2 * US_PER_S));
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 200")) << caller.got;
}

TEST_F (FakePeer, CallsAvoidALinkThatHasDeliveredNothing)
{
  listen (true);
  std::unique_ptr<LinkEnd> silent = accept ();
  std::unique_ptr<LinkEnd> healthy = dial ();
  healthy->send_report (peer_vm);
  ASSERT_TRUE (wait (
      [&] { return placement_accepting_count (a->placement, "s") == 1; }));
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (
      wait ([&] { return healthy->call () != 0 || silent->call () != 0; }));
  EXPECT_EQ (0u, silent->call ());
}

struct TwoLinksRow
{
  const char *name;
  bool above;
};

class TwoLinks : public FakePeer,
                 public testing::WithParamInterface<TwoLinksRow>
{
};

/* A peer that opens a second link has abandoned the first.  */
TEST_P (TwoLinks, CallsUseTheNewerOfTwoLinksOpenedByThePeer)
{
  listen (GetParam ().above);
  std::unique_ptr<LinkEnd> older = dial ();
  older->send_report (peer_vm);
  ASSERT_TRUE (wait (
      [&] { return placement_accepting_count (a->placement, "s") == 1; }));
  uint64_t frames = peer_set_stats (a->peers).frames_in;
  std::unique_ptr<LinkEnd> newer = dial ();
  newer->send_report (peer_vm);
  ASSERT_TRUE (wait_for_reports (frames + 1));
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (
      wait ([&] { return older->call () != 0 || newer->call () != 0; }));
  EXPECT_NE (0u, newer->call ());
}

const TwoLinksRow two_links_rows[] = {
  { "PeerWithHigherId", true },
  { "PeerWithLowerId", false },
};

INSTANTIATE_TEST_SUITE_P (Table, TwoLinks, testing::ValuesIn (two_links_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- link faults during requests ----------------------------------------- */

enum fault_t
{
  FAULT_MUTE,     /* no data passes in either direction */
  FAULT_ONE_WAY,  /* no data passes from B to A */
  FAULT_MUTE_OLD, /* the open link passes no data, a new one does */
  FAULT_RESET,    /* the open link is reset */
  FAULT_KILL,     /* B stops and is not restarted */
  FAULT_RESTART,  /* B stops and a new process replaces it */
  FAULT_COUNT
};
const char *const fault_names[]
    = { "Mute", "OneWay", "MuteOld", "Reset", "Kill", "Restart" };

enum stage_t
{
  STAGE_QUEUED,
  STAGE_RUNNING,
  STAGE_BUFFERING, /* the response has started, nothing is forwarded */
  STAGE_ANSWERING,
  STAGE_COUNT
};
const char *const stage_names[]
    = { "Queued", "Running", "Buffering", "Answering" };

/* Fault, stage of the request, and whether it is a booking.  */
typedef std::tuple<int, int, bool> fault_row_t;

/* A reaches B through a relay that injects faults.  */
class LinkFault : public Two, public testing::WithParamInterface<fault_row_t>
{
protected:
  relay_t *relay = nullptr;
  HeldPort bind_port;
  ev_timer ticker;
  ev_timer deadline;
  /* Requests that were open at their deadline, -1 before it.  */
  int open_at_deadline = -1;
  std::unique_ptr<Caller> blocker;

  void
  SetUp () override
  {
    Two::SetUp ();
    peer_set_remove (a->peers, peer_set_own_vm (b->peers));
    b.reset ();
    ASSERT_TRUE (
        wait ([&] { return peer_set_stats (a->peers).peers_up == 0; }));
    relay = relay_new (&loop, loopback (bind_port.port));
    start_b_behind_the_relay (300);
    peer_set_add (a->peers, peer_set_own_vm (b->peers));
    ev_timer_init (&ticker, on_tick, 0, 0);
    ticker.data = this;
    loop_start_timer (&loop, &ticker, PEER_REPORT_INTERVAL_US);
    ev_timer_init (&deadline, on_deadline, 0, 0);
    deadline.data = this;
    ASSERT_TRUE (wait_for_server ());
  }
  void
  TearDown () override
  {
    ev_timer_stop (loop.ev, &ticker);
    ev_timer_stop (loop.ev, &deadline);
    b.reset ();
    relay_free (relay);
    Two::TearDown ();
  }
  void
  start_b_behind_the_relay (uint64_t incarnation)
  {
    b = std::make_unique<Sidecar> (&loop, &rng, &log, "s", backend->port (),
                                   incarnation, relay_port (relay),
                                   bind_port.port);
    b->set_backend ("i");
  }
  static void
  on_tick (struct ev_loop *, ev_timer *timer, int)
  {
    LinkFault *self = (LinkFault *)timer->data;
    peer_set_tick (self->a->peers, true, true);
    if (self->b == nullptr)
      return;
    peer_set_tick (self->b->peers, true, true);
    runner_tick (self->b->runner);
  }
  static void
  on_deadline (struct ev_loop *ev, ev_timer *timer, int)
  {
    LinkFault *self = (LinkFault *)timer->data;
    self->open_at_deadline = (int)entry_stats (self->a->entry).open_requests;
    ev_timer_stop (ev, timer);
  }
  void
  inject_fault (int fault)
  {
    static const relay_fault_t faults[]
        = { RELAY_MUTE, RELAY_ONE_WAY, RELAY_MUTE_OLD, RELAY_RESET };
    if (fault < FAULT_KILL)
      relay_set_fault (relay, faults[fault]);
    else
      b.reset ();
    if (fault == FAULT_RESTART)
      start_b_behind_the_relay (301);
  }
  size_t
  run_count (const std::string &id)
  {
    size_t count = 0;
    for (const std::string &fields : backend->fields)
      count
          += fields.find ("X-Attempt-Id: " + id + "\r\n") != std::string::npos;
    return count;
  }
  static bool
  has_no_open_work (const Sidecar *sidecar)
  {
    for (peer_link_t *link = sidecar->peers->links; link != nullptr;
         link = link->next)
      if (link->calls.count > 0 || link->streams.count > 0)
        return false;
    return entry_stats (sidecar->entry).open_requests == 0
           && runner_open_run_count (sidecar->runner) == 0;
  }
  void
  answer_all (size_t size)
  {
    backend->answer = [] (http_exchange_t *exchange) {
      answer_signed (exchange, id_of (exchange), "done");
    };
    std::vector<http_exchange_t *> open;
    open.swap (backend->open);
    for (http_exchange_t *exchange : open)
      if (exchange->response_state == HTTP_RESPONSE_STARTED)
        finish_long_response (exchange, size);
      else
        backend->answer (exchange);
  }
  static size_t
  response_bytes (int stage)
  {
    return stage == STAGE_BUFFERING ? BUFFERED_BYTES : LONG_BYTES;
  }
  /* Sends the request TEXT and waits until it has reached STAGE.  */
  void
  advance_to (int stage, Caller *caller, const std::string &text)
  {
    if (stage == STAGE_QUEUED)
      {
        intake_server_t server = { 1, true, false, false, 0, 0 };
        runner_set_server (b->runner, &server, "i");
        blocker = std::make_unique<Caller> (http_server_port (a->callers));
        blocker->send (request ("GET", "/read/0", "id-0"));
        ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
        caller->send (text);
        ASSERT_TRUE (
            wait ([&] { return runner_server_load (b->runner).queued == 1; }));
        return;
      }
    caller->send (text);
    ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
    if (stage == STAGE_RUNNING)
      return;
    start_long_response (backend->open[0], "id-1", response_bytes (stage));
    if (stage == STAGE_BUFFERING)
      {
        int turns = 0;
        ASSERT_TRUE (wait ([&] {
          turns += http_buffered_bytes (backend->open[0]) == 0;
          return turns > 10;
        }));
        return;
      }
    ASSERT_TRUE (wait ([&] { return caller->has ("xxx"); }));
  }
};

TEST_P (LinkFault, EachRequestIsAnsweredOrCorrectlyRefused)
{
  const auto [fault, stage, booking] = GetParam ();
  Caller caller (http_server_port (a->callers));
  ASSERT_NO_FATAL_FAILURE (
      advance_to (stage, &caller,
                  request (booking ? "POST" : "GET",
                           booking ? "/book/1" : "/read/1", "id-1")));
  loop_start_timer (&loop, &deadline, 2 * US_PER_S);
  inject_fault (fault);
  answer_all (response_bytes (stage));
  ASSERT_TRUE (wait ([&] {
    return entry_stats (a->entry).open_requests == 0 || open_at_deadline >= 0;
  }));
  EXPECT_LE (open_at_deadline, 0) << "requests are open at their deadline";
  bool complete = false;
  ASSERT_TRUE (wait ([&] {
    caller.has ("");
    complete
        = caller.got.find ("HTTP/1.1 200") == 0 && stage >= STAGE_BUFFERING
              ? is_complete (caller.got, response_bytes (stage))
              : caller.has ("\r\n\r\n");
    return complete || caller.ended;
  })) << caller.got.size ();
  /* Only a response that the caller has begun to receive may be cut short.  */
  EXPECT_TRUE (complete || stage == STAGE_ANSWERING);
  std::string status = caller.got.substr (0, strlen ("HTTP/1.1 200"));
  EXPECT_TRUE (status == "HTTP/1.1 200" || status == "HTTP/1.1 502"
               || status == "HTTP/1.1 503" || status == "HTTP/1.1 504")
      << caller.got;
  EXPECT_TRUE (status != "HTTP/1.1 503" || run_count ("id-1") == 0);
  relay_set_fault (relay, RELAY_WELL);
  EXPECT_TRUE (wait ([&] {
    return has_no_open_work (a.get ()) && (!b || has_no_open_work (b.get ()));
  }));
  EXPECT_LE (run_count ("id-1"), booking ? 1u : 2u);
  RecordProperty ("answer", status + (complete ? "" : ", broken off"));
}

INSTANTIATE_TEST_SUITE_P (
    Table, LinkFault,
    testing::Combine (testing::Range (0, (int)FAULT_COUNT),
                      testing::Range (0, (int)STAGE_COUNT), testing::Bool ()),
    [] (const auto &row) {
      return std::string (fault_names[std::get<0> (row.param)])
             + stage_names[std::get<1> (row.param)]
             + (std::get<2> (row.param) ? "Booking" : "Read");
    });
}
