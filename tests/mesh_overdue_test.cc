/* Requests that take far longer than earlier ones of their route: an answer
   that has started is not aborted, and one without an answer is retried at
   another backend server.  */

#include "support_edge.h"

namespace
{
const size_t BODY_BYTES = 100000; /* too long to be forwarded in one piece */

struct SlowAnswerRow
{
  const char *name;
  bool local;         /* the backend server is on the VM of the entry point */
  size_t first_bytes; /* of the body, sent at once */
};

class SlowAnswer : public Two,
                   public testing::WithParamInterface<SlowAnswerRow>
{
};

TEST_P (SlowAnswer, IsNotAbortedOnceStarted)
{
  if (GetParam ().local)
    start_a_beside_the_server ();
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", "quick");
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return caller.has ("quick"); }));
  caller.got.clear ();

  caller.send (request ("GET", "/read/2", "id-2"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  http_exchange_t *slow = backend->open[0];
  std::string fields = "X-Attempt-Id: id-2\r\nX-Server-Signature: s\r\n";
  std::string body (BODY_BYTES - 5, 'x');
  body += "whole";
  http_start_response (slow, 200, fields.data (), fields.size (),
                       (int64_t)BODY_BYTES);
  http_write_body (slow, body.data (), GetParam ().first_bytes);
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  int64_t overdue_us = loop.now_us + 400 * US_PER_MS;
  ASSERT_TRUE (
      wait ([&] { return loop.now_us > overdue_us || backend->gone > 0; }));
  ASSERT_EQ (0, backend->gone);
  http_write_body (slow, body.data () + GetParam ().first_bytes,
                   BODY_BYTES - GetParam ().first_bytes);
  http_end_response (slow);
  EXPECT_TRUE (wait ([&] { return caller.has ("whole"); }));
  EXPECT_FALSE (caller.ended);
}

/* A slow route that shares the mean run time of a quick one would have its
   reads taken from their servers as overdue.  */
TEST_F (Two, NoRouteSharesTheRunTimeOfAnother)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", "quick");
  ASSERT_TRUE (wait ([&] { return caller.has ("quick"); }));
  ASSERT_LT (0, entry_mean_run_us (a->entry, "read"));
  for (int i = 0; i < 50000; i++)
    ASSERT_EQ (
        0, entry_mean_run_us (a->entry, ("r" + std::to_string (i)).c_str ()))
        << i;
}

std::string
keyed_request (const char *path, const char *id)
{
  return std::string ("GET ") + path
         + " HTTP/1.1\r\nHost: h\r\nX-Credential: key\r\nX-Timeout-Ms: 2000"
           "\r\nX-Attempt-Id: "
         + id + "\r\n\r\n";
}

/* The overdue read is cancelled while its first backend server executes it,
   and the only slot of the other server is taken.  The read must be sent to a
   backend server again rather than rejected.  */
TEST_F (Runs, OverdueReadIsPlacedAgainWhenTheOtherServerIsFull)
{
  start_a_beside_the_server ();
  Caller caller (http_server_port (a->callers));
  caller.send (keyed_request ("/keyed/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", "quick");
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return caller.has ("quick"); }));
  caller.got.clear ();

  intake_server_t one_slot = { 1, true, false, false, 0, 0 };
  runner_set_server (b->runner, &one_slot, "i");
  start (call ("id-0", true)); /* takes the only slot of the other server */
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  caller.send (keyed_request ("/keyed/2", "id-2"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 2; }));
  peer_set_add (a->peers, peer_set_own_vm (b->peers));
  ASSERT_TRUE (wait ([&] {
    peer_set_tick (a->peers, true, true);
    peer_set_tick (b->peers, true, true);
    runner_tick (b->runner);
    return backend->targets.size () == 4 || caller.has ("\r\n\r\n");
  }));
  ASSERT_EQ (4u, backend->targets.size ()) << caller.got;
  answer_signed (backend->open.back (), "id-2", "whole");
  EXPECT_TRUE (wait ([&] { return caller.has ("whole"); }));
}

const SlowAnswerRow slow_answer_rows[] = {
  { "OnTheSameVm", true, 60000 },
  { "OnAnotherVm", false, 60000 },
  { "AllButOneByte", false, BODY_BYTES - 1 },
};

INSTANTIATE_TEST_SUITE_P (Table, SlowAnswer,
                          testing::ValuesIn (slow_answer_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
