/* Pipelined requests of which one gets no reply.  Guards against a lost reply
   that keeps complete responses of the same connection from their caller until
   that caller has gone, and against an overdue reply for which a retry is
   considered only once.  */

#include "support_edge.h"

extern "C"
{
#include "edge/entry_impl.h"
}

namespace
{
/* Long time-outs, so that nothing ends at its own deadline in these tests.  */
const char LONG_POLICY[] = R"({"version":1,"routes":{
 "book":{"host":"h","pathPrefix":"/book/","kind":"unsafe","timeoutS":90,
  "targetLatencyS":1,"priority":0,"service":"s","attempts":2,"public":true},
 "brief":{"host":"h","pathPrefix":"/brief/","kind":"safe","timeoutS":1,
  "targetLatencyS":1,"priority":0,"service":"s","attempts":2,"public":true},
 "read":{"host":"h","pathPrefix":"/read/","kind":"safe","timeoutS":90,
  "targetLatencyS":1,"priority":0,"service":"s","attempts":2,"public":true}},
 "services":{"s":{"healthCheckPath":"/health"}}})";
const int64_t LONG_US = 60 * US_PER_S;
const int64_t SHORT_US = 800 * US_PER_MS;

std::string
timed_request (const char *method, const std::string &path,
               const std::string &id, int64_t timeout_us)
{
  return std::string (method) + " " + path
         + " HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: "
         + std::to_string (timeout_us / US_PER_MS) + "\r\nX-Attempt-Id: " + id
         + "\r\n\r\n";
}

/* Callers enter at A.  The server counts as one beside A and one beside B, if
   there are two.  */
class Pipeline : public Two
{
protected:
  policy_t *long_policy = nullptr;
  std::unique_ptr<Caller> caller;

  void
  SetUp () override
  {
    Two::SetUp ();
    error_info_t error = {};
    long_policy
        = platform_parse_policy (LONG_POLICY, strlen (LONG_POLICY), &error);
    ASSERT_NE (nullptr, long_policy) << error.message;
    entry_set_policy (a->entry, long_policy);
  }
  void
  TearDown () override
  {
    caller.reset ();
    Two::TearDown ();
    policy_free (long_policy);
  }
  void
  use_local_server (bool with_other_server)
  {
    a = std::make_unique<Sidecar> (&loop, &rng, &log, "s", backend->port (),
                                   101);
    a->serve_own_callers (long_policy);
    if (!with_other_server)
      return;
    peer_set_add (a->peers, peer_set_own_vm (b->peers));
    ASSERT_TRUE (wait ([&] {
      peer_set_tick (a->peers, true, true);
      peer_set_tick (b->peers, true, true);
      return placement_accepting_count (a->placement, "s") == 2;
    }));
  }
  /* Answers all requests but those whose id begins with "lost".  */
  void
  answer_all_but_lost ()
  {
    backend->answer = [this] (http_exchange_t *exchange) {
      std::string id = id_of (exchange);
      if (id.rfind ("lost", 0) == 0)
        backend->open.push_back (exchange);
      else
        answer_signed (exchange, id, "answer of " + id);
    };
  }
  /* Lets A learn how long runs of /read/ take.  */
  void
  run_one_read ()
  {
    Caller first (http_server_port (a->callers));
    first.send (timed_request ("GET", "/read/0", "first", LONG_US));
    ASSERT_TRUE (wait ([&] { return first.has ("answer of first"); }));
  }
  /* Waits until the only request without a response is one whose server has
     not replied, and the response behind it is complete.  */
  bool
  wait_for_response_behind ()
  {
    return wait ([&] {
      return http_server_stats (a->callers).open_exchanges == 1
             && entry_stats (a->entry).ends[ENTRY_NO_ROUTE] == 1;
    });
  }
  /* Sends the head of a reply of SIZE bytes and most of its body.  */
  void
  begin_answer (size_t size)
  {
    std::string fields = "X-Attempt-Id: slow\r\nX-Server-Signature: s\r\n";
    std::string part (size - 10, 'x');
    http_start_response (backend->open[0], 200, fields.data (), fields.size (),
                         (int64_t)size);
    http_write_body (backend->open[0], part.data (), part.size ());
  }
  void
  finish_answer ()
  {
    http_write_body (backend->open[0], "xxxxxxxxxx", 10);
    http_end_response (backend->open[0]);
  }
  size_t
  count_runs (const std::string &target)
  {
    size_t count = 0;
    for (const std::string &run : backend->targets)
      count += run == target;
    return count;
  }
};

/* --- responses behind a request that gets no reply ---------------------- */

enum held_back_step_t
{
  REPLY_LOST,   /* the server has run the request and does not reply */
  REPLY_STALLED /* a part of the reply has arrived */
};

struct HeldBackRow
{
  const char *name;
  held_back_step_t step;
  bool local;
  const char *status; /* of the response to the first request */
};

class HeldBack : public Pipeline,
                 public testing::WithParamInterface<HeldBackRow>
{
};

TEST_P (HeldBack, ResponseReachesItsCallerBeforeItsDeadline)
{
  if (GetParam ().local)
    use_local_server (false);
  answer_all_but_lost ();
  run_one_read ();
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "lost-1", LONG_US));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  if (GetParam ().step == REPLY_STALLED)
    {
      std::string fields = "X-Attempt-Id: lost-1\r\nX-Server-Signature: s\r\n";
      http_start_response (backend->open[0], 200, fields.data (),
                           fields.size (), 60000);
      std::string part (40000, 'x');
      http_write_body (backend->open[0], part.data (), part.size ());
    }
  caller->send (timed_request ("GET", "/read/2", "next", SHORT_US));
  ASSERT_TRUE (wait ([&] { return caller->has ("answer of next"); }))
      << caller->got;
  EXPECT_EQ (0u, caller->got.find (GetParam ().status)) << caller->got;
}

const HeldBackRow held_back_rows[] = {
  { "LostOnTheSameVm", REPLY_LOST, true, "HTTP/1.1 504" },
  { "LostOnAnotherVm", REPLY_LOST, false, "HTTP/1.1 504" },
  { "StalledOnTheSameVm", REPLY_STALLED, true, "HTTP/1.1 504" },
  { "StalledOnAnotherVm", REPLY_STALLED, false, "HTTP/1.1 504" },
};

INSTANTIATE_TEST_SUITE_P (Table, HeldBack, testing::ValuesIn (held_back_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* A refusal that is ready waits like any other response.  */
TEST_F (Pipeline, RefusalReachesItsCallerBeforeItsDeadline)
{
  use_local_server (false);
  answer_all_but_lost ();
  run_one_read ();
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "lost-1", LONG_US));
  caller->send (timed_request ("GET", "/unknown/2", "next", SHORT_US));
  ASSERT_TRUE (wait ([&] { return caller->has ("HTTP/1.1 404"); }))
      << caller->got;
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 504")) << caller->got;
}

/* Each of several requests ahead of a response is ended in time for it.  */
TEST_F (Pipeline, ResponseBehindTwoLostRepliesReachesItsCaller)
{
  use_local_server (false);
  answer_all_but_lost ();
  run_one_read ();
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "lost-1", LONG_US));
  caller->send (timed_request ("GET", "/read/2", "lost-2", LONG_US));
  caller->send (timed_request ("GET", "/read/3", "next", SHORT_US));
  EXPECT_TRUE (wait ([&] { return caller->has ("answer of next"); }))
      << caller->got;
}

/* The first request is not overdue: how long its runs take is not known.  It
   is not ended for the sake of one behind it.  */
TEST_F (Pipeline, RequestThatIsNotOverdueIsNotEndedForAnother)
{
  use_local_server (false);
  answer_all_but_lost ();
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "lost-1", LONG_US));
  caller->send (timed_request ("GET", "/unknown/2", "next", SHORT_US));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  int64_t passed_us = loop.now_us + SHORT_US + 200 * US_PER_MS;
  ASSERT_TRUE (wait ([&] { return loop.now_us > passed_us; }));
  EXPECT_FALSE (caller->has ("HTTP/1.1")) << caller->got;
  answer_signed (backend->open[0], "lost-1", "answer of lost-1");
  EXPECT_TRUE (wait ([&] { return caller->has ("HTTP/1.1 404"); }));
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 200")) << caller->got;
}

/* --- a timer that was set for a response behind ------------------------- */

/* A response that has begun is not ended for one behind it, which was complete
   before.  */
TEST_F (Pipeline, StreamedResponseOutlastsTheDeadlineOfAResponseBehind)
{
  use_local_server (false);
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "slow", LONG_US));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  caller->send (timed_request ("GET", "/unknown/2", "next", SHORT_US));
  int64_t passed_us = loop.now_us + SHORT_US + 200 * US_PER_MS;
  ASSERT_TRUE (wait_for_response_behind ());
  begin_answer (100000);
  ASSERT_TRUE (wait ([&] { return caller->has ("HTTP/1.1 200"); }));
  ASSERT_TRUE (wait ([&] { return loop.now_us > passed_us; }));
  ASSERT_EQ (1u, backend->open.size ()) << "the run was cancelled";
  finish_answer ();
  EXPECT_TRUE (wait ([&] { return caller->has ("HTTP/1.1 404"); }));
}

/* Neither is one that is being buffered, unless it is overdue.  */
TEST_F (Pipeline, BufferedReplyThatIsNotOverdueIsNotEndedForAnother)
{
  use_local_server (false);
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "slow", LONG_US));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  caller->send (timed_request ("GET", "/unknown/2", "next", SHORT_US));
  int64_t passed_us = loop.now_us + SHORT_US + 200 * US_PER_MS;
  ASSERT_TRUE (wait_for_response_behind ());
  begin_answer (60000);
  ASSERT_TRUE (wait ([&] { return loop.now_us > passed_us; }));
  ASSERT_EQ (1u, backend->open.size ()) << "the run was cancelled";
  finish_answer ();
  EXPECT_TRUE (wait ([&] { return caller->has ("HTTP/1.1 404"); }));
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 200"));
}

/* How long runs take becomes known while the response behind waits.  */
TEST_F (Pipeline, BookingThatBecomesOverdueIsEndedForAResponseBehind)
{
  use_local_server (false);
  answer_all_but_lost ();
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("POST", "/book/1", "lost-1", LONG_US));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  caller->send (timed_request ("GET", "/unknown/2", "next", SHORT_US));
  ASSERT_TRUE (wait_for_response_behind ());
  Caller other (http_server_port (a->callers));
  other.send (timed_request ("POST", "/book/0", "first", LONG_US));
  ASSERT_TRUE (wait ([&] { return other.has ("answer of first"); }));
  EXPECT_TRUE (wait ([&] { return caller->has ("HTTP/1.1 404"); }))
      << caller->got;
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 504")) << caller->got;
}

/* The caller waits for longer than the route allows, so nothing is lost when
   the route's time is over.  */
TEST_F (Pipeline, RouteTimeoutBehindDoesNotEndARequestOfAPatientCaller)
{
  use_local_server (false);
  answer_all_but_lost ();
  run_one_read ();
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "lost-1", LONG_US));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  caller->send (timed_request ("GET", "/brief/2", "next", LONG_US));
  int64_t passed_us = loop.now_us + 1200 * US_PER_MS;
  ASSERT_TRUE (wait ([&] { return loop.now_us > passed_us; }));
  ASSERT_EQ (1u, backend->open.size ()) << "the run was cancelled";
  answer_signed (backend->open[0], "lost-1", "answer of lost-1");
  EXPECT_TRUE (wait ([&] { return caller->has ("answer of next"); }));
  EXPECT_EQ (0u, caller->got.find ("HTTP/1.1 200")) << caller->got;
}

/* The request is refused before its body has been read.  */
TEST_F (Pipeline, RefusalOfABodyReachesItsCallerBeforeItsDeadline)
{
  use_local_server (false);
  answer_all_but_lost ();
  run_one_read ();
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "lost-1", LONG_US));
  std::string large = timed_request ("POST", "/book/2", "large", SHORT_US);
  large.insert (large.size () - 2, "Content-Length: 5000\r\n");
  caller->send (large);
  EXPECT_TRUE (wait ([&] { return caller->has ("HTTP/1.1 413"); }))
      << caller->got;
}

/* Refusals by the HTTP server, by what is wrong with the request.  */
struct ServerRefusalRow
{
  const char *name;
  std::string fields; /* that follow the time-out */
  const char *status;
};

class ServerRefusal : public Pipeline,
                      public testing::WithParamInterface<ServerRefusalRow>
{
};

TEST_P (ServerRefusal, ReachesItsCallerBeforeItsDeadline)
{
  use_local_server (false);
  answer_all_but_lost ();
  run_one_read ();
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "lost-1", LONG_US));
  std::string refused = timed_request ("POST", "/book/2", "refused", SHORT_US);
  refused.insert (refused.size () - 2, GetParam ().fields);
  caller->send (refused);
  EXPECT_TRUE (wait ([&] { return caller->has (GetParam ().status); }))
      << caller->got;
}

const ServerRefusalRow server_refusal_rows[] = {
  { "TwoLengths", "Content-Length: 1\r\nContent-Length: 1\r\n",
    "HTTP/1.1 400" },
  { "LargeHead", "Large: " + std::string (100000, 'x') + "\r\n",
    "HTTP/1.1 431" },
  { "UnknownCoding", "Transfer-Encoding: other\r\n", "HTTP/1.1 400" },
};

INSTANTIATE_TEST_SUITE_P (Table, ServerRefusal,
                          testing::ValuesIn (server_refusal_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* Each response that comes to wait behind a request leaves the time of its
   next try as it is.  */
TEST_F (Pipeline, ResponsesBehindDoNotPutOffTheNextTry)
{
  use_local_server (false);
  http_limits_t many = limits ();
  many.pipelined_requests = 32;
  http_server_set_limits (a->callers, &many, 0);
  placement_set_unreachable (a->placement, peer_set_own_vm (a->peers),
                             loop.now_us);
  caller = std::make_unique<Caller> (http_server_port (a->callers));
  caller->send (timed_request ("GET", "/read/1", "first", LONG_US));
  ASSERT_TRUE (wait (
      [&] { return http_server_stats (a->callers).open_exchanges == 1; }));
  a->serve_own_callers (long_policy);
  size_t sent_count = 0;
  int64_t next_us = 0;
  ASSERT_TRUE (wait ([&] {
    if (loop.now_us >= next_us && sent_count < 25)
      {
        std::string id = "next-" + std::to_string (sent_count++);
        caller->send (timed_request ("GET", "/unknown/2", id, LONG_US));
        next_us = loop.now_us + 20 * US_PER_MS;
      }
    return !backend->targets.empty () || caller->has ("HTTP/1.1");
  }));
  EXPECT_EQ (1u, backend->targets.size ()) << caller->got;
  EXPECT_LT (sent_count, 25u);
}

/* --- an overdue reply is looked at again -------------------------------- */

/* Two replies are lost, and the retry pool has one token.  Once other requests
   have filled it again, the second one is retried too.  */
TEST_F (Pipeline, OverdueReplyIsRetriedWhenTheRetryPoolHasFilledAgain)
{
  use_local_server (true);
  answer_all_but_lost ();
  run_one_read ();
  Caller one (http_server_port (a->callers));
  Caller two (http_server_port (a->callers));
  one.send (timed_request ("GET", "/read/lost", "lost-1", LONG_US));
  two.send (timed_request ("GET", "/read/lost", "lost-2", LONG_US));
  ASSERT_TRUE (wait ([&] {
    while (entry_take_resend (a->entry, "read"))
      ;
    return entry_stats (a->entry).overdue_holds[OVERDUE_HOLD_NO_RETRY] > 1;
  }));
  EXPECT_EQ (2, count_runs ("/read/lost"));
  Caller busy (http_server_port (a->callers));
  for (int i = 0; i < 40; i++)
    {
      std::string id = "quick-" + std::to_string (i);
      busy.send (timed_request ("GET", "/read/quick", id, LONG_US));
      ASSERT_TRUE (wait ([&] { return busy.has ("answer of " + id); }));
    }
  EXPECT_TRUE (wait ([&] { return count_runs ("/read/lost") == 4; }));
}

/* The mean run time has grown a little since the request was sent, so that its
   reply is not overdue at the first check.  */
TEST_F (Pipeline, OverdueCheckIsNotPutOffForLongerThanUntilTheReplyIsOverdue)
{
  use_local_server (true);
  answer_all_but_lost ();
  double &mean_run_us
      = a->entry->route_timings[entry_timing_slot (a->entry, "read")]
            .mean_run_us;
  mean_run_us = 30.0 * US_PER_MS;
  Caller one (http_server_port (a->callers));
  one.send (timed_request ("GET", "/read/lost", "lost-1", LONG_US));
  ASSERT_TRUE (wait ([&] { return count_runs ("/read/lost") == 1; }));
  const exchange_t *exchange = a->entry->open_exchanges;
  int64_t first_check_us = exchange->overdue_check_us;
  int64_t overdue_us = exchange->sent_us + 210 * US_PER_MS;
  mean_run_us = 35.0 * US_PER_MS;
  ASSERT_TRUE (
      wait ([&] { return exchange->overdue_check_us != first_check_us; }));
  /* If the loop was late, the first check has sent it elsewhere.  */
  if (exchange->tried_count == 1)
    {
      EXPECT_EQ (overdue_us, exchange->overdue_check_us);
    }
  EXPECT_TRUE (wait ([&] { return count_runs ("/read/lost") == 2; }));
}

/* The server that lost the reply has stopped accepting, so that only one
   server accepts requests: the other one.  */
TEST_F (Pipeline, OverdueReplyIsRetriedAtTheLastServerThatAccepts)
{
  use_local_server (true);
  answer_all_but_lost ();
  run_one_read ();
  Caller one (http_server_port (a->callers));
  one.send (timed_request ("GET", "/read/lost", "lost-1", LONG_US));
  ASSERT_TRUE (wait ([&] { return count_runs ("/read/lost") == 1; }));
  bool ran_locally = runner_open_run_count (a->runner) == 1;
  Sidecar *left = ran_locally ? a.get () : b.get ();
  placement_set_unreachable (a->placement, peer_set_own_vm (left->peers),
                             loop.now_us);
  ASSERT_EQ (1u, placement_accepting_count (a->placement, "s"));
  EXPECT_TRUE (wait ([&] { return count_runs ("/read/lost") == 2; }));
}
}
