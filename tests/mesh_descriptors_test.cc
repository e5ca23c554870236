#include "support_edge.h"

extern "C"
{
#include "edge/http_server_impl.h"
#include "edge/store.h"
#include "mesh/descriptor_budget.h"
}

#include <sys/resource.h>

namespace
{
const std::string READY = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";

/* Leaves SPARE free descriptors until it is destroyed.  */
struct FewDescriptors
{
  struct rlimit before;

  explicit FewDescriptors (int spare)
  {
    EXPECT_EQ (0, getrlimit (RLIMIT_NOFILE, &before));
    std::vector<int> held;
    for (int i = 0; i <= spare; i++)
      held.push_back (dup (0));
    struct rlimit few = before;
    few.rlim_cur = (rlim_t)held.back ();
    for (int fd : held)
      close (fd);
    EXPECT_EQ (0, setrlimit (RLIMIT_NOFILE, &few));
  }
  ~FewDescriptors () { setrlimit (RLIMIT_NOFILE, &before); }
};

/* Turns of LOOP in 400 ms of its clock, in which four timers of 100 ms fire:
   what else turns it are sockets.  */
uint64_t
turns (loop_t *loop)
{
  struct Timer
  {
    ev_timer timer;
    int fired;
  } timer = {};
  ev_timer_init (
      &timer.timer,
      [] (struct ev_loop *ev, ev_timer *fired, int) {
        Timer *self = (Timer *)fired->data;
        if (++self->fired == 4)
          {
            ev_timer_stop (ev, fired);
            ev_break (ev, EVBREAK_ALL);
          }
      },
      0.1, 0.1);
  timer.timer.data = &timer;
  uint64_t before = loop->iterations;
  ev_timer_start (loop->ev, &timer.timer);
  ev_run (loop->ev, 0);
  return loop->iterations - before;
}

/* Sweeps, and attempts to accept again, are timers as well.  */
const uint64_t TURNS_WITHOUT_SPIN = 40;

class Descriptors : public Loop
{
protected:
  std::unique_ptr<Server> server;
  std::vector<std::unique_ptr<Caller>> callers;

  void
  SetUp () override
  {
    Loop::SetUp ();
    server = std::make_unique<Server> (&loop, limits ());
    server->answer = [this] (http_exchange_t *exchange) {
      if (strcmp (bytes_data (&exchange->target), "/held") == 0)
        server->open.push_back (exchange);
      else
        http_respond (exchange, 200, nullptr, 0, "ok", 2);
    };
  }
  void
  TearDown () override
  {
    callers.clear ();
    server.reset ();
    Loop::TearDown ();
  }
  http_server_stats_t
  stats () const
  {
    return http_server_stats (server->server);
  }
  Caller &
  call (const std::string &text)
  {
    callers.push_back (std::make_unique<Caller> (server->port ()));
    if (!text.empty ())
      callers.back ()->send (text);
    return *callers.back ();
  }
};

TEST_F (Descriptors, LoopDoesNotSpinWhileAcceptFails)
{
  Caller &caller = call (READY);
  {
    FewDescriptors none (0);
    EXPECT_GE (TURNS_WITHOUT_SPIN, turns (&loop));
    EXPECT_LE (1u, stats ().accepting.failures);
  }
  EXPECT_TRUE (wait ([&] { return caller.has ("ok"); }));
}

TEST_F (Descriptors, OnlyALackOfThemClosesRestingConnections)
{
  for (bool lack : { true, false })
    {
      for (int i = 0; i < 4; i++)
        {
          Caller &caller = call (READY);
          ASSERT_TRUE (wait ([&] { return caller.has ("ok"); }));
        }
      int64_t end_us = loop.now_us + 150 * US_PER_MS;
      wait ([&] { return loop.now_us > end_us; });
      uint64_t failures = stats ().accepting.failures;
      uint64_t closed = stats ().close_counts[HTTP_CLOSE_EVICTED];
      struct sockaddr_in at = loop_sockaddr (loopback (server->port ()));
      int waiting = socket (AF_INET, SOCK_STREAM, 0);
      ASSERT_EQ (0, connect (waiting, (struct sockaddr *)&at, sizeof at));
      std::unique_ptr<FewDescriptors> none;
      /* Accepting from a listener that is shut down fails with EINVAL.  */
      if (lack)
        none = std::make_unique<FewDescriptors> (0);
      else
        shutdown (server->server->acceptor.watcher.fd, SHUT_RDWR);
      EXPECT_TRUE (
          wait ([&] { return stats ().accepting.failures > failures; }));
      none.reset ();
      EXPECT_EQ (lack ? EMFILE : EINVAL, stats ().accepting.last_errno);
      EXPECT_EQ (lack, stats ().close_counts[HTTP_CLOSE_EVICTED] > closed);
      close (waiting);
    }
}

TEST_F (Two, LoopDoesNotSpinWhileAcceptingAPeerFails)
{
  Caller peer (vm_id_port (peer_set_own_vm (a->peers)));
  FewDescriptors none (0);
  EXPECT_GE (TURNS_WITHOUT_SPIN, turns (&loop));
  EXPECT_LE (1u, peer_set_stats (a->peers).accepting.failures);
}

/* --- a limited number of connections ----------------------------------- */

const std::string HELD = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n";

class ConnectionLimit : public Descriptors
{
protected:
  void
  limit (uint32_t served, uint32_t refused)
  {
    http_connection_limits_t made = { served, refused };
    http_server_set_connection_limits (server->server, &made);
  }
  /* Turns the loop for US.  */
  void
  rest (int64_t us)
  {
    wait ([] { return false; }, us);
  }
  bool
  wait_for_held (size_t count)
  {
    return wait ([&] { return server->open.size () == count; });
  }
};

TEST_F (ConnectionLimit, LongestRestMakesRoomForANewCaller)
{
  limit (3, 1);
  Caller &oldest = call (READY);
  ASSERT_TRUE (wait ([&] { return oldest.has ("ok"); }));
  call (HELD);
  ASSERT_TRUE (wait_for_held (1));
  Caller &held = *callers.back ();
  rest (150 * US_PER_MS);
  Caller &next = call (READY);
  ASSERT_TRUE (wait ([&] { return next.has ("ok"); }));
  Caller &last = call (READY);
  ASSERT_TRUE (wait ([&] { return last.has ("HTTP/1.1 "); }));
  EXPECT_TRUE (last.has ("200"));
  EXPECT_TRUE (wait ([&] { return oldest.is_over (); }));
  EXPECT_EQ (1u, stats ().close_counts[HTTP_CLOSE_EVICTED]);
  http_respond (server->open[0], 200, nullptr, 0, "held", 4);
  EXPECT_TRUE (wait ([&] { return held.has ("held"); }));
}

TEST_F (ConnectionLimit, RequestThatArrivedOnARestingConnectionIsServed)
{
  Caller &first = call (READY);
  ASSERT_TRUE (wait ([&] { return first.has ("ok"); }));
  limit (1, 0);
  rest (150 * US_PER_MS);
  first.send (HELD + HELD);
  Caller &second = call (READY);
  ASSERT_TRUE (wait_for_held (2));
  EXPECT_FALSE (first.is_over ());
  EXPECT_EQ (0u, stats ().close_counts[HTTP_CLOSE_EVICTED]);
  http_respond (server->open[0], 200, nullptr, 0, "one", 3);
  http_respond (server->open[1], 200, nullptr, 0, "two", 3);
  EXPECT_TRUE (wait ([&] { return first.has ("one") && first.has ("two"); }));
  EXPECT_TRUE (wait ([&] { return second.has ("ok"); }));
}

TEST_F (ConnectionLimit, CallersBeyondItAreAnsweredOrRefused)
{
  const size_t SERVED = 8;
  limit (SERVED, 2);
  for (size_t i = 0; i < SERVED; i++)
    call (HELD);
  ASSERT_TRUE (wait_for_held (SERVED));
  for (int i = 0; i < 100; i++)
    call (READY);
  for (size_t i = SERVED; i < callers.size (); i++)
    {
      ASSERT_TRUE (wait ([&] { return callers[i]->is_over (); })) << i;
      EXPECT_TRUE (callers[i]->has ("HTTP/1.1 503 ")) << i;
      EXPECT_TRUE (callers[i]->has ("\r\nRetry-After: ")) << i;
      EXPECT_TRUE (callers[i]->has ("\r\nConnection: close\r\n")) << i;
      callers[i]->shut ();
    }
  EXPECT_EQ (SERVED, server->targets.size ());
  EXPECT_EQ (100u, stats ().refused_beyond_limit);
  EXPECT_EQ (SERVED, server->open.size ());
  while (!server->open.empty ())
    {
      http_respond (server->open.back (), 200, nullptr, 0, "held", 4);
      server->open.pop_back ();
    }
  for (size_t i = 0; i < SERVED; i++)
    EXPECT_TRUE (wait ([&] { return callers[i]->has ("held"); })) << i;
}

TEST_F (ConnectionLimit, CallerIsServedIfRoomIsMadeBeforeItsRequest)
{
  limit (1, 1);
  call (HELD);
  ASSERT_TRUE (wait_for_held (1));
  Caller &second = call ("");
  ASSERT_TRUE (wait ([&] { return stats ().connections == 2; }));
  http_respond (server->open[0], 200, nullptr, 0, "ok", 2);
  callers[0]->shut ();
  ASSERT_TRUE (wait ([&] { return stats ().connections == 1; }));
  second.send (READY);
  ASSERT_TRUE (wait ([&] { return second.has ("HTTP/1.1 "); }));
  EXPECT_TRUE (second.has ("200"));
}

TEST_F (ConnectionLimit, SilentCallersDoNotHoldThePlaceOfRefusals)
{
  limit (1, 1);
  call (HELD);
  ASSERT_TRUE (wait_for_held (1));
  Caller &silent = call ("");
  ASSERT_TRUE (wait ([&] { return stats ().connections == 2; }));
  Caller &last = call (READY);
  EXPECT_TRUE (wait ([&] { return last.has ("HTTP/1.1 503 "); }));
  EXPECT_TRUE (silent.is_over ());
}

TEST_F (ConnectionLimit, LoopDoesNotSpinWhileNoPlaceIsLeft)
{
  limit (1, 0);
  call (HELD);
  ASSERT_TRUE (wait_for_held (1));
  Caller &waits = call (READY);
  EXPECT_GE (TURNS_WITHOUT_SPIN, turns (&loop));
  EXPECT_LT (0, stats ().accepting.paused_us);
  http_respond (server->open[0], 200, nullptr, 0, "ok", 2);
  EXPECT_TRUE (wait ([&] { return waits.has ("ok"); }));
}

TEST_F (ConnectionLimit, ResponsesCloseToItAnnounceTheClose)
{
  limit (8, 0);
  for (int i = 0; i < 7; i++)
    {
      Caller &caller = call (READY);
      ASSERT_TRUE (wait ([&] { return caller.has ("ok"); }));
      EXPECT_EQ (i == 6, caller.has ("Connection: close")) << i;
    }
}

TEST_F (ConnectionLimit, CallersThatWaitAreNotLeftByAStop)
{
  limit (1, 1);
  call (HELD);
  ASSERT_TRUE (wait_for_held (1));
  for (int i = 0; i < 20; i++)
    call (READY);
  http_server_drain (server->server);
  ASSERT_TRUE (wait ([&] {
    http_server_stop_listening (server->server);
    for (auto &caller : callers)
      if (caller->fd >= 0 && caller->is_over ())
        {
          EXPECT_TRUE (caller->has ("HTTP/1.1 503 "));
          caller->shut ();
        }
    return stats ().refused_beyond_limit == 20;
  }));
  EXPECT_EQ (1u, server->open.size ());
}

TEST_F (ConnectionLimit, StopIsNotCompleteWhileCallersWait)
{
  limit (1, 0);
  call (HELD);
  ASSERT_TRUE (wait_for_held (1));
  Caller &waits = call (READY);
  http_server_drain (server->server);
  http_server_stop_listening (server->server);
  EXPECT_TRUE (http_server_is_busy (server->server));
  http_respond (server->open[0], 200, nullptr, 0, "ok", 2);
  EXPECT_TRUE (wait ([&] { return callers[0]->is_over (); }));
  callers[0]->shut ();
  EXPECT_TRUE (wait ([&] {
    http_server_stop_listening (server->server);
    return waits.has ("ok");
  }));
}

TEST_F (Two, LackOfDescriptorsIsNoLossOfTheServer)
{
  Caller caller (http_server_port (a->callers));
  ASSERT_TRUE (
      wait ([&] { return http_server_stats (a->callers).connections == 1; }));
  {
    FewDescriptors none (0);
    caller.send (request ("GET", "/read/1", "id-1"));
    wait ([&] { return b->lost > 0; }, 500 * US_PER_MS);
  }
  EXPECT_EQ (0, b->lost);
  EXPECT_LE (1u, runner_stats (b->runner).connections.sockets_lacking);
  EXPECT_EQ (0u, runner_stats (b->runner).failures[CAUSE_CONNECT_FAILED]);
}

TEST_F (Two, CallerIsToldThatNothingRanForLackOfDescriptors)
{
  Caller caller (http_server_port (a->callers));
  ASSERT_TRUE (
      wait ([&] { return http_server_stats (a->callers).connections == 1; }));
  FewDescriptors none (0);
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return caller.has ("HTTP/1.1 "); }));
  EXPECT_TRUE (caller.has ("HTTP/1.1 503 ")) << caller.got;
  EXPECT_TRUE (backend->targets.empty ());
  EXPECT_LE (1u, runner_stats (b->runner).failures[CAUSE_NO_SOCKET]);
  EXPECT_EQ (0u, b->crashes);
}

TEST_F (Two, HealthCheckWithoutASocketTellsNothingOfTheServer)
{
  bool told = false;
  FewDescriptors none (0);
  runner_probe (
      b->runner, "/health",
      [] (void *ctx, const server_health_reply_t *) { *(bool *)ctx = true; },
      &told);
  EXPECT_TRUE (wait ([&] {
    return runner_stats (b->runner).connections.sockets_lacking == 1;
  }));
  EXPECT_FALSE (told);
}

TEST_F (Two, LinkThatLacksASocketIsCountedAndDialledAgain)
{
  HeldPort other;
  FewDescriptors none (0);
  peer_set_add (a->peers, vm_id_make (INADDR_LOOPBACK, other.port));
  EXPECT_EQ (1u, peer_set_stats (a->peers).sockets_lacking);
  EXPECT_TRUE (wait ([&] {
    peer_set_tick (a->peers, false, true);
    return peer_set_stats (a->peers).sockets_lacking >= 2;
  }));
}

TEST_F (Descriptors, LackOfThemIsNoLossOfTheStore)
{
  store_t *store = store_new (&loop, platform_dialect (),
                              loopback (server->port ()), &rng, &log);
  {
    FewDescriptors none (0);
    store_put (store, "topic", "key", "value");
    EXPECT_TRUE (
        wait ([&] { return store_stats (store).sockets_lacking >= 2; }));
    EXPECT_EQ (0u, store_stats (store).failures);
    EXPECT_TRUE (server->targets.empty ());
  }
  EXPECT_TRUE (wait ([&] { return !server->targets.empty (); }));
  store_free (store);
}

TEST (Lack, IsTheProcessesOwn)
{
  for (int error : { EMFILE, ENFILE, ENOBUFS, ENOMEM })
    EXPECT_TRUE (loop_is_lack (error) && loop_is_connect_lack (error))
        << error;
  EXPECT_TRUE (loop_is_connect_lack (EADDRNOTAVAIL));
  EXPECT_FALSE (loop_is_lack (EADDRNOTAVAIL));
  for (int error : { 0, ECONNREFUSED, ENETUNREACH, EPERM, ECONNABORTED })
    EXPECT_FALSE (loop_is_lack (error) || loop_is_connect_lack (error))
        << error;
}

/* Whether a caller that reads slowly is the oldest.  */
class RoomBesideASlowReader : public ConnectionLimit,
                              public testing::WithParamInterface<bool>
{
};
TEST_P (RoomBesideASlowReader, BurstFindsRoomAmongRestingCallers)
{
  std::string large (1 << 20, 'x');
  server->answer = [&] (http_exchange_t *exchange) {
    if (strcmp (bytes_data (&exchange->target), "/large") == 0)
      http_respond (exchange, 200, nullptr, 0, large.data (), large.size ());
    else
      http_respond (exchange, 200, nullptr, 0, "ok", 2);
  };
  if (GetParam ())
    {
      call ("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
      ASSERT_TRUE (wait ([&] { return server->targets.size () == 1; }));
      rest (20 * US_PER_MS);
    }
  for (int i = 0; i < 20; i++)
    {
      Caller &caller = call (READY);
      ASSERT_TRUE (wait ([&] { return caller.has ("ok"); }));
    }
  rest (150 * US_PER_MS);
  limit (stats ().connections, 4);
  size_t first = callers.size ();
  for (int i = 0; i < 12; i++)
    call (READY);
  int served = 0;
  for (size_t i = first; i < callers.size (); i++)
    {
      EXPECT_TRUE (wait ([&] { return callers[i]->has ("HTTP/1.1 "); }));
      served += callers[i]->has ("200");
    }
  EXPECT_EQ (12, served);
  EXPECT_EQ (0u, stats ().refused_beyond_limit);
}
INSTANTIATE_TEST_SUITE_P (SlowReader, RoomBesideASlowReader, testing::Bool ());

/* --- the budget -------------------------------------------------------- */

TEST (DescriptorBudget, PartsAddUpToTheTotalForAnyFleet)
{
  for (uint32_t total : { 0u, 1u, 8u, 16u, 64u, 256u, 1024u, 4100u, 65536u })
    for (uint32_t others : { 0u, 1u, 31u, 62u, 300u, 2000u, 20000u })
      {
        descriptor_budget_t budget = descriptor_budget_split (total, others);
        uint64_t sum = 0;
        for (uint32_t part : budget.parts)
          sum += part;
        EXPECT_EQ (total, sum) << others;
        if (total < 64)
          continue;
        for (uint32_t part : budget.parts)
          EXPECT_LT (0u, part) << total << " of " << others;
      }
}

TEST (DescriptorBudget, LinksOfAllSidecarsHaveRoom)
{
  for (uint32_t others : { 0u, 31u, 62u, 300u, 600u })
    EXPECT_LE (
        2 * others,
        descriptor_budget_split (4100, others).parts[DESCRIPTORS_LINKS]);
}

TEST (DescriptorBudget, TotalIsTheLowerLimit)
{
  EXPECT_EQ (4100u, descriptor_total (4100, 1 << 20));
  EXPECT_EQ (1024u, descriptor_total (4100, 1024));
  EXPECT_EQ (1024u, descriptor_total (0, 1024));
  EXPECT_EQ (UINT32_MAX, descriptor_total (0, UINT64_MAX));
}
}
