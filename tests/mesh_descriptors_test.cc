#include "support_edge.h"

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

TEST_F (Two, LoopDoesNotSpinWhileAcceptingAPeerFails)
{
  Caller peer (vm_id_port (peer_set_own_vm (a->peers)));
  FewDescriptors none (0);
  EXPECT_GE (TURNS_WITHOUT_SPIN, turns (&loop));
  EXPECT_LE (1u, peer_set_stats (a->peers).accepting.failures);
}
}
