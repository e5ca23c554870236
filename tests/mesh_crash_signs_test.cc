/* A request that crashes its backend server is recognized only if its sidecar
   notices the crash.  Each sign of one must be enough on its own.  */

#include "support_watched.h"

#include <numeric>

namespace
{
enum sign_t
{
  REFUSED_CHECK,      /* no other request is sent meanwhile */
  OTHER_INSTANCE,     /* it replies to a health check */
  SAME_ID_RESTARTED,  /* the server announces a later start */
  REQUEST_TO_ANOTHER, /* another instance rejects a request */
  STILL_THERE         /* only the connection ended */
};

struct SignRow
{
  const char *name;
  sign_t sign;
  uint32_t crashes;
};

class CrashSign : public Watched, public testing::WithParamInterface<SignRow>
{
};

/* A request crashed one server after the other, as no other request came in
   the time within which a crash was noticed.  */
TEST_P (CrashSign, MakesTheInterruptedRunASuspect)
{
  const SignRow &row = GetParam ();
  announce_ready ();
  hold = true;
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait_turning ([&] { return backend->open.size () == 1; }));
  http_abort_response (backend->open[0]);
  backend->open.clear ();
  hold = false;
  ASSERT_TRUE (wait_turning ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, b->crashes) << "the server may still be there";
  health_checks = 0;
  switch (row.sign)
    {
    case REFUSED_CHECK:
      backend.reset ();
      break;
    case OTHER_INSTANCE:
    case REQUEST_TO_ANOTHER:
      instance = "j";
      break;
    case SAME_ID_RESTARTED:
      born++;
      announce_acknowledged (announcement (1, "ready"));
      break;
    case STILL_THERE:
      break;
    }
  if (row.sign == REQUEST_TO_ANOTHER)
    {
      call_request_t other = call ("other", true);
      start (other);
      ASSERT_TRUE (wait ([&] { return ended == 1; }));
    }
  if (row.crashes > 0)
    EXPECT_TRUE (wait_turning ([&] { return b->crashes > 0; }));
  else
    ASSERT_TRUE (wait_turning ([&] { return health_checks >= 3; }));
  EXPECT_EQ (row.crashes, b->crashes);
}

const SignRow sign_rows[] = {
  { "RefusedHealthCheck", REFUSED_CHECK, 1 },
  { "OtherInstanceRepliesToAHealthCheck", OTHER_INSTANCE, 1 },
  { "SameIdAnnouncesALaterStart", SAME_ID_RESTARTED, 1 },
  { "OtherInstanceRejectsARequest", REQUEST_TO_ANOTHER, 1 },
  { "ServerStillThere", STILL_THERE, 0 },
};

INSTANTIATE_TEST_SUITE_P (Table, CrashSign, testing::ValuesIn (sign_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* Ends the connection after a part of the response.  */
void
answer_in_part (http_exchange_t *exchange)
{
  std::string fields
      = "X-Attempt-Id: " + id_of (exchange) + "\r\nX-Server-Signature: s\r\n";
  http_start_response (exchange, 200, fields.data (), fields.size (), 5);
  http_write_body (exchange, "wh", 2);
  http_abort_response (exchange);
}

/* A read that crashes servers was sent to up to three in a row, which counted
   as one crash.  */
TEST_F (Watched, ASuspectIsNotSentToASecondServer)
{
  crash_suspects_record_crash (
      a->suspects, crash_suspects_fingerprint ("", "/read/1", "", 0),
      loop.now_us);
  for (bool suspected : { true, false })
    {
      announce_ready ();
      Caller busy (http_server_port (a->callers));
      for (int i = 0; i < 20; i++) /* they fill the retry pool */
        {
          busy.got.clear ();
          busy.send (request ("GET", "/read/9", "id-0"));
          ASSERT_TRUE (wait_turning ([&] { return busy.has ("whole"); }));
        }
      run_ids.clear ();
      hold = true;
      Caller caller (http_server_port (a->callers));
      caller.send (suspected ? request ("GET", "/read/1", "id-1")
                             : request ("GET", "/read/2", "id-2"));
      ASSERT_TRUE (wait_turning ([&] { return backend->open.size () == 1; }));
      hold = false;
      answer_in_part (backend->open[0]);
      backend->open.clear ();
      ASSERT_TRUE (wait_turning ([&] { return caller.has ("\r\n\r\n"); }));
      EXPECT_EQ (1u, run_ids.size ()) << "there is no other server";
      entry_stats_t stats = entry_stats (a->entry);
      EXPECT_EQ (
          suspected ? 0u : 1u,
          std::accumulate (stats.retries, stats.retries + CAUSE_COUNT, 0u));
      born++;
    }
}
}
