/* A server whose replies come after the deadlines of their callers.  Guards
   against a server that keeps its share of the requests although it replies to
   none in time.  */

#include "support_edge.h"

namespace
{
struct LateRow
{
  const char *name;
  uint32_t pressure_permille; /* that the servers report */
  bool is_avoided;
};

class LateServer : public Two, public testing::WithParamInterface<LateRow>
{
protected:
  static const int REQUEST_COUNT = 100;
  std::unique_ptr<Server> late; /* never replies */
  std::unique_ptr<Sidecar> c;

  /* Three servers: one beside A, one beside C, and the late one beside B.  */
  void
  SetUp () override
  {
    Two::SetUp ();
    late = std::make_unique<Server> (&loop, limits ());
    backend->answer = [] (http_exchange_t *exchange) {
      answer_signed (exchange, id_of (exchange), "done");
    };
    b = std::make_unique<Sidecar> (&loop, &rng, &log, "s", late->port (), 201);
    b->set_backend ("i");
    c = std::make_unique<Sidecar> (&loop, &rng, &log, "s", backend->port (),
                                   300);
    c->set_backend ("i");
    start_a_beside_the_server ();
    for (Sidecar *sidecar : { b.get (), c.get () })
      {
        sidecar->pressure_permille = GetParam ().pressure_permille;
        peer_set_add (a->peers, peer_set_own_vm (sidecar->peers));
      }
    ASSERT_TRUE (wait ([&] {
      tick ();
      return placement_accepting_count (a->placement, "s") == 3;
    }));
  }
  void
  TearDown () override
  {
    a.reset ();
    b.reset ();
    c.reset ();
    late.reset ();
    Two::TearDown ();
  }
  void
  tick ()
  {
    for (Sidecar *sidecar : { a.get (), b.get (), c.get () })
      peer_set_tick (sidecar->peers, true, true);
  }
  size_t
  send_one (int number)
  {
    Caller caller (http_server_port (a->callers));
    std::string id = "id-" + std::to_string (number);
    caller.send ("GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 100\r\n"
                 "X-Attempt-Id: "
                 + id + "\r\n\r\n");
    EXPECT_TRUE (wait ([&] {
      tick ();
      return caller.has ("HTTP/1.1");
    }));
    return late->targets.size ();
  }
};

/* Five failures in a row end its share for a second.  */
TEST_P (LateServer, IsAvoidedUnlessItsServiceIsUnderPressure)
{
  const size_t FAILURES = 5;
  const int64_t AVOIDED_US = 900 * US_PER_MS;
  int sent = 0;
  while (late->targets.size () < FAILURES && sent < REQUEST_COUNT)
    send_one (sent++);
  ASSERT_EQ (FAILURES, late->targets.size ());
  int64_t failed_us = loop.now_us;
  while (loop.now_us - failed_us < AVOIDED_US && sent < REQUEST_COUNT)
    {
      size_t sent_to_late = send_one (sent++);
      if (GetParam ().is_avoided && loop.now_us - failed_us < AVOIDED_US)
        {
          ASSERT_EQ (FAILURES, sent_to_late);
        }
    }
  if (!GetParam ().is_avoided)
    {
      EXPECT_LT (FAILURES, late->targets.size ());
    }
}

const LateRow late_rows[] = {
  { "WithoutPressure", 0, true },
  { "UnderPressure", 300, false },
};

INSTANTIATE_TEST_SUITE_P (Table, LateServer, testing::ValuesIn (late_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
