/* Calls whose link is lost while both sidecars live.  Guards against answers
   that are thrown away, work that goes on for callers that have gone, and a
   query that makes a request run again.  */

extern "C"
{
#include "support_clock.h"
}

#include "support_peer.h"

namespace
{
enum stage_t
{
  STAGE_QUEUED,
  STAGE_RUNNING,
  STAGE_ENDED,      /* the server answers while there is no link */
  STAGE_ENDED_LONG, /* likewise, with a reply too long to keep for a read */
  STAGE_COUNT
};
const char *const stage_names[]
    = { "Queued", "Running", "Ended", "EndedLong" };

enum link_t
{
  LINK_BACK,
  LINK_LATE, /* when the run of a read has been aborted */
  LINK_NEVER,
  LINK_RESTARTED, /* with a new process at its other end */
  LINK_COUNT
};
const char *const link_names[] = { "Back", "Late", "Never", "Restarted" };

const size_t LONG_BYTES = 70000;
/* By which the clock is moved in each turn of the loop.  */
const int64_t TURN_US = 5 * US_PER_MS;

/* The loop's clock stands still unless a test moves it, so that a slow machine
   lets no time limit pass.  libev's timers go on.  */
template <class Fixture> class HeldClock : public Fixture
{
protected:
  fake_clock_t held = { 1000 * US_PER_S, 0 };
  clock_source_t source = fake_clock_source (&held);

  HeldClock () { this->clock = &source; }
  void
  pass (int64_t us)
  {
    held.now_us += us;
    this->wait ([&] { return this->loop.now_us == held.now_us; });
  }
};

/* Loses the link from A to B, which stay.  */
class LostLink : public HeldClock<Two>
{
protected:
  std::unique_ptr<Caller> blocker;

  void
  SetUp () override
  {
    HeldClock<Two>::SetUp ();
    let_link_stand ();
  }
  /* So that it is opened again at once when it is lost.  */
  void
  let_link_stand ()
  {
    pass (PEER_LINK_STOOD_US);
    uint64_t frames = peer_set_stats (a->peers).frames_in;
    peer_set_send_reports (a->peers, true, true);
    peer_set_send_reports (b->peers, true, true);
    ASSERT_TRUE (
        wait ([&] { return peer_set_stats (a->peers).frames_in > frames; }));
  }
  void
  lose_link ()
  {
    uint64_t lost_at_a = peer_set_stats (a->peers).links_lost;
    uint64_t lost_at_b = peer_set_stats (b->peers).links_lost;
    for (peer_link_t *link = a->peers->links; link != nullptr;
         link = link->next)
      EXPECT_EQ (0, shutdown (link->read_watcher.fd, SHUT_RDWR));
    ASSERT_TRUE (wait ([&] {
      return peer_set_stats (a->peers).links_lost > lost_at_a
             && peer_set_stats (b->peers).links_lost > lost_at_b;
    }));
  }
  void
  tick (bool link_comes_back)
  {
    if (link_comes_back)
      peer_set_tick (a->peers, true, true);
    runner_tick (b->runner);
  }
  void
  send_and_wait (int stage, Caller *caller, const std::string &text)
  {
    if (stage == STAGE_QUEUED)
      {
        intake_server_t server = { 1, true, false, false, 0, 0 };
        runner_set_server (b->runner, &server, "i");
        blocker = std::make_unique<Caller> (http_server_port (a->callers));
        blocker->send (request ("POST", "/book/0", "id-0"));
        ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
        caller->send (text);
        ASSERT_TRUE (
            wait ([&] { return runner_server_load (b->runner).queued == 1; }));
        return;
      }
    caller->send (text);
    ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  }
  void
  answer_open (const std::string &body)
  {
    std::vector<http_exchange_t *> open;
    open.swap (backend->open);
    for (http_exchange_t *exchange : open)
      answer_signed (exchange, id_of (exchange), body);
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
};

/* Stage of the request, what becomes of the link, whether it is a booking.  */
typedef std::tuple<int, int, bool> lost_row_t;

class LostCall : public LostLink,
                 public testing::WithParamInterface<lost_row_t>
{
protected:
  /* Status that the caller must get.  */
  static int
  expected_status (int stage, int link, bool booking)
  {
    if (booking && link == LINK_NEVER)
      return 504;
    if (booking && link == LINK_RESTARTED)
      return 502;
    if (booking && stage == STAGE_QUEUED)
      return 503; /* dropped with its link */
    if (booking)
      return stage == STAGE_ENDED_LONG ? 502 : 200;
    if (link == LINK_BACK)
      /* The long reply is not kept, so the outcome is unknown.  */
      return stage == STAGE_ENDED_LONG ? 502 : 200;
    return 502;
  }
};

TEST_P (LostCall, IsAnsweredWhileBothSidesLive)
{
  const auto [stage, link, booking] = GetParam ();
  Caller caller (http_server_port (a->callers));
  ASSERT_NO_FATAL_FAILURE (
      send_and_wait (stage, &caller,
                     request (booking ? "POST" : "GET",
                              booking ? "/book/1" : "/read/1", "id-1")));
  vm_id_t b_vm = peer_set_own_vm (b->peers);
  bool ends_first = stage == STAGE_ENDED || stage == STAGE_ENDED_LONG;
  if (link != LINK_BACK || ends_first)
    peer_set_remove (a->peers, b_vm); /* so that no link to it is opened */
  ASSERT_NO_FATAL_FAILURE (lose_link ());
  if (ends_first)
    {
      answer_open (stage == STAGE_ENDED ? "done"
                                        : std::string (LONG_BYTES, 'x'));
      ASSERT_TRUE (
          wait ([&] { return runner_open_run_count (b->runner) == 0; }));
    }
  /* Takes the place of a machine that stalls.  */
  if (getenv ("STALL_MS") != nullptr)
    usleep (US_PER_MS * atoi (getenv ("STALL_MS")));
  if (link == LINK_RESTARTED)
    {
      b.reset ();
      start_b (201, b_port.port);
    }
  int64_t lost_us = loop.now_us;
  ASSERT_TRUE (wait ([&] {
    tick (false);
    if (link == LINK_LATE)
      held.now_us += TURN_US;
    return link != LINK_LATE
           || (loop.now_us - lost_us > DETACHED_RUN_US
               && (booking || caller.has ("\r\n\r\n")));
  }));
  if (link != LINK_NEVER)
    peer_set_add (a->peers, b_vm);
  backend->answer = [] (http_exchange_t *exchange) {
    answer_signed (exchange, id_of (exchange), "done");
  };
  bool relinked = false;
  EXPECT_TRUE (wait ([&] {
    tick (link != LINK_NEVER);
    if (link == LINK_NEVER)
      held.now_us += TURN_US;
    relinked = relinked || peer_set_stats (a->peers).peers_up == 1;
    if (relinked && runner_stats (b->runner).runs_started > 0)
      answer_open ("done");
    return caller.has ("\r\n\r\n") || caller.ended;
  }));
  int status = atoi (caller.got.c_str () + strlen ("HTTP/1.1 "));
  EXPECT_EQ (expected_status (stage, link, booking), status)
      << caller.got.substr (0, 200);
  EXPECT_LE (run_count ("id-1"), booking || link == LINK_BACK ? 1u : 2u);
  EXPECT_TRUE (wait ([&] {
    tick (link != LINK_NEVER);
    answer_open ("done");
    return runner_open_run_count (b->runner) == 0;
  }));
}

INSTANTIATE_TEST_SUITE_P (
    Table, LostCall,
    testing::Combine (testing::Range (0, (int)STAGE_COUNT),
                      testing::Range (0, (int)LINK_COUNT), testing::Bool ()),
    [] (const auto &row) {
      return std::string (stage_names[std::get<0> (row.param)])
             + link_names[std::get<1> (row.param)]
             + (std::get<2> (row.param) ? "Booking" : "Read");
    });

TEST_F (LostLink, LinkIsOpenedAgainAtOnce)
{
  ASSERT_NO_FATAL_FAILURE (lose_link ());
  /* Without a tick.  */
  EXPECT_TRUE (wait ([&] { return peer_set_stats (a->peers).peers_up == 1; }));
}

/* --- callers that go ------------------------------------------------------
 */

TEST_F (LostLink, ReadIsAbortedWhenItsCallerGoesBeforeTheLinkIsBack)
{
  Caller caller (http_server_port (a->callers));
  ASSERT_NO_FATAL_FAILURE (send_and_wait (STAGE_RUNNING, &caller,
                                          request ("GET", "/read/1", "id-1")));
  ASSERT_NO_FATAL_FAILURE (lose_link ());
  caller.shut ();
  EXPECT_TRUE (wait ([&] {
    tick (true);
    held.now_us += TURN_US;
    return backend->gone == 1;
  }));
  EXPECT_EQ (1u, run_count ("id-1"));
}

TEST_F (LostLink, ResumedReadIsAbortedAtOnceWhenItsCallerGoes)
{
  Caller caller (http_server_port (a->callers));
  ASSERT_NO_FATAL_FAILURE (send_and_wait (STAGE_RUNNING, &caller,
                                          request ("GET", "/read/1", "id-1")));
  ASSERT_NO_FATAL_FAILURE (lose_link ());
  ASSERT_TRUE (wait ([&] {
    tick (true);
    return runner_stats (b->runner).runs_resumed == 1;
  }));
  caller.shut ();
  /* Without ticks no run is aborted for its age.  */
  EXPECT_TRUE (wait ([&] { return backend->gone == 1; }));
  EXPECT_EQ (1u, run_count ("id-1"));
}

TEST_F (LostLink, ReadIsResumedAgainWhenItsNextLinkIsLost)
{
  Caller caller (http_server_port (a->callers));
  ASSERT_NO_FATAL_FAILURE (send_and_wait (STAGE_RUNNING, &caller,
                                          request ("GET", "/read/1", "id-1")));
  for (uint64_t i = 1; i <= 3; i++)
    {
      ASSERT_NO_FATAL_FAILURE (lose_link ());
      ASSERT_TRUE (wait ([&] {
        tick (true);
        return runner_stats (b->runner).runs_resumed == i;
      }));
      ASSERT_NO_FATAL_FAILURE (let_link_stand ());
    }
  answer_open ("done");
  EXPECT_TRUE (wait ([&] { return caller.has ("done"); }));
  EXPECT_EQ (1u, run_count ("id-1"));
}

/* --- peers that close their links -----------------------------------------
 */

class ClosingPeer : public HeldClock<FakePeer>
{
protected:
  /* Takes each link that A opens, reports and closes it after STAND_US.
     Returns the links taken until A has none and opens none in many turns of
     the loop.  */
  int
  take_links (int64_t stand_us)
  {
    const int QUIET_TURNS = 20;
    const int LINKS_MAX = 50;
    int links = 0;
    int quiet = 0;
    wait ([&] {
      quiet = peer_set_stats (a->peers).links_open == 0 ? quiet + 1 : 0;
      int fd = ::accept (listener, nullptr, nullptr);
      if (fd >= 0)
        {
          links++;
          LinkEnd end (fd);
          end.send_report (peer_vm);
          EXPECT_TRUE (
              wait ([&] { return peer_set_stats (a->peers).peers_up == 1; }));
          pass (stand_us);
        }
      return quiet == QUIET_TURNS || links == LINKS_MAX;
    });
    return links;
  }
  void
  open_listener ()
  {
    listen (true);
    fcntl (listener, F_SETFL, O_NONBLOCK);
  }
};

TEST_F (ClosingPeer, IsDialledAfterDelaysThatGrow)
{
  const int64_t STEP_US = 50 * US_PER_MS;
  std::vector<int64_t> dialled_ms;
  open_listener ();
  peer_set_add (a->peers, peer_vm);
  int64_t begun_us = held.now_us;
  for (; held.now_us - begun_us <= 12 * US_PER_S; pass (STEP_US))
    {
      peer_set_tick (a->peers, true, true);
      int links = 0;
      if (peer_set_stats (a->peers).links_open > 0)
        links = take_links (0);
      ASSERT_LE (links, 1) << "at " << (held.now_us - begun_us) / US_PER_MS;
      if (links > 0)
        dialled_ms.push_back ((held.now_us - begun_us) / US_PER_MS);
    }
  EXPECT_EQ ((std::vector<int64_t>{ 0, 250, 750, 1750, 3750, 7750, 11750 }),
             dialled_ms);
}

TEST_F (ClosingPeer, IsDialledAtOnceOnlyIfItsLinkStood)
{
  open_listener ();
  peer_set_add (a->peers, peer_vm);
  /* The second attempt puts the third off by more than the link stands.  */
  EXPECT_EQ (1, take_links (0));
  pass (250 * US_PER_MS);
  peer_set_tick (a->peers, true, true);
  EXPECT_EQ (1, take_links (PEER_LINK_STOOD_US - US_PER_MS));
  peer_set_remove (a->peers, peer_vm);
  peer_set_add (a->peers, peer_vm);
  std::unique_ptr<LinkEnd> link = accept ();
  link->send_report (peer_vm);
  ASSERT_TRUE (wait ([&] { return peer_set_stats (a->peers).peers_up == 1; }));
  pass (PEER_LINK_STOOD_US);
  link.reset ();
  /* Without a tick.  */
  EXPECT_EQ (1, take_links (0));
}

/* --- queries at the runner ------------------------------------------------
 */

class ReadQuery : public Runs
{
protected:
  call_request_t
  query (const char *id)
  {
    call_request_t made = call (id, true);
    made.asks_outcome = true;
    made.incarnation = 200;
    return made;
  }
  start_verdict_t
  ask (const call_request_t &query)
  {
    run_t *run = nullptr;
    return runner_start_call (b->runner, &query, &sink, &run, &failure);
  }
};

TEST_F (ReadQuery, UnknownReadMayHaveRunAndCanStillBeSent)
{
  EXPECT_EQ (START_FAILED, ask (query ("id-1")));
  EXPECT_EQ (FAILURE_OUTCOME_UNKNOWN, failure.kind);
  EXPECT_EQ (CAUSE_OUTCOME_NOT_KEPT, failure.cause);
  EXPECT_EQ (0u, runner_open_run_count (b->runner));
  start (call ("id-1", true));
  EXPECT_TRUE (wait ([&] { return backend->open.size () == 1; }));
}

TEST_F (ReadQuery, AnotherRequestWithTheSameIdDoesNotGetTheReply)
{
  run_detach (start (call ("id-1", true)));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  call_request_t other = query ("id-1");
  other.target = "/other";
  EXPECT_EQ (START_FAILED, ask (other));
  EXPECT_EQ (FAILURE_OUTCOME_UNKNOWN, failure.kind);
  EXPECT_EQ (START_ACCEPTED, ask (query ("id-1")));
}

TEST_F (ReadQuery, KeptReplyIsGivenOnceAndFreed)
{
  run_detach (start (call ("id-1", true)));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", "x");
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return runner_open_run_count (b->runner) == 0; }));
  EXPECT_EQ (START_ANSWERED, ask (query ("id-1")));
  EXPECT_EQ (1, ended);
  EXPECT_EQ (START_FAILED, ask (query ("id-1")));
  EXPECT_EQ (1u, backend->targets.size ());
}
}
