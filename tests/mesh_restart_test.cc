/* A backend server and its sidecar that restart together.  */

#include "support_edge.h"

namespace
{
const char COLD_POLICY[] = R"({"version":1,"routes":{},
 "services":{"s":{"healthCheckPath":"/health","coldStartS":60,"coldPerS":50}}})";
const double COLD_PER_S = 50;
const double COLD_OVERAGE = 1.5; /* the factor that the contract allows */
const double COLD_SLACK_REQUESTS = 5;

struct ColdStartRow
{
  const char *name;
  bool announced_first; /* else the configuration comes first */
  bool from_backend;    /* requests of backend servers, else of callers */
};

/* Both restart while a backlog of requests is waiting.  The sidecar learns the
   cold start rate from the configuration and the state of the server from its
   announcement, in either order.  If it forwarded requests before it knew
   both, the cold server would be overloaded.  */
class ColdStart : public Runs, public testing::WithParamInterface<ColdStartRow>
{
protected:
  backend_watch_t *watch = nullptr;
  policy_t *cold_policy = nullptr;
  http_server_t *announce = nullptr;
  std::vector<int64_t> received_us; /* when each request reached the server */

  void
  SetUp () override
  {
    Runs::SetUp ();
    error_info_t error = {};
    start_b (201, 0);
    intake_server_t unknown = {};
    runner_set_server (b->runner, &unknown, "");
    watch = backend_watch_new (
        &loop, platform_dialect (), b->runner, "s", &log, [] (void *) {},
        nullptr);
    http_handler_t handler = backend_watch_handler (watch);
    http_limits_t http_limits = limits ();
    announce
        = http_server_new (&loop, loopback (), &http_limits, &handler, &error);
    cold_policy
        = platform_parse_policy (COLD_POLICY, strlen (COLD_POLICY), &error);
    ASSERT_NE (nullptr, cold_policy) << error.message;
    backend->answer = [this] (http_exchange_t *exchange) {
      if (std::string (bytes_data (&exchange->target)) == "/health")
        {
          static const char fields[] = "X-Instance-Id: i\r\n";
          http_respond (exchange, 200, fields, sizeof fields - 1, "", 0);
          return;
        }
      received_us.push_back (loop.now_us);
      answer_signed (exchange, id_of (exchange), "x");
    };
  }
  void
  TearDown () override
  {
    http_server_free (announce);
    Runs::TearDown ();
    backend_watch_free (watch);
    policy_free (cold_policy);
  }
  void
  announce_server ()
  {
    const std::string body
        = R"({"service":"s","address":"127.0.0.1:1","zone":"z","version":"v",)"
          R"("slots":100,"state":"ready","coldRemainingS":60,"sequence":1,)"
          R"("born":1})";
    Caller server (http_server_port (announce));
    server.send ("PUT /-/instances/i HTTP/1.1\r\nHost: h\r\nContent-Length: "
                 + std::to_string (body.size ()) + "\r\n\r\n" + body);
    ASSERT_TRUE (wait ([&] { return server.has ("200 OK"); }));
  }
  /* Sends more requests of the backlog.  Rejected ones are not sent again.  */
  void
  send_requests ()
  {
    for (int i = 0; i < 20; i++)
      {
        std::string id = "id-" + std::to_string (++sent_count);
        call_request_t request = call (id.c_str (), true);
        request.from_backend = GetParam ().from_backend;
        run_t *run = nullptr;
        runner_start_call (b->runner, &request, &sink, &run, &failure);
      }
    backend_watch_tick (watch);
    runner_tick (b->runner);
  }
  int sent_count = 0;
};

TEST_P (ColdStart, ServerGetsNoMoreThanItsColdRateFromTheFirstRequest)
{
  auto configure
      = [&] { backend_watch_set_service (watch, &cold_policy->services[0]); };
  send_requests ();
  if (GetParam ().announced_first)
    announce_server ();
  else
    configure ();
  /* Gives the sidecar time to forward requests that it must not forward.  */
  int turns = 0;
  ASSERT_TRUE (wait ([&] {
    send_requests ();
    return ++turns >= 20;
  }));
  EXPECT_EQ (0u, received_us.size ()) << "one of the two is not known yet";
  int64_t known_us = loop.now_us;
  if (GetParam ().announced_first)
    configure ();
  else
    announce_server ();
  ASSERT_TRUE (wait ([&] {
    send_requests ();
    return received_us.size () >= 40;
  }));
  for (size_t i = 0; i < received_us.size (); i++)
    {
      double seconds = (double)(received_us[i] - known_us) / US_PER_S;
      EXPECT_LE (i + 1,
                 COLD_PER_S * COLD_OVERAGE * seconds + COLD_SLACK_REQUESTS)
          << "after " << seconds << " s";
    }
}

const ColdStartRow cold_start_rows[] = {
  { "BackendCallsAnnouncedFirst", true, true },
  { "BackendCallsConfiguredFirst", false, true },
  { "CallerRequestsAnnouncedFirst", true, false },
  { "CallerRequestsConfiguredFirst", false, false },
};

INSTANTIATE_TEST_SUITE_P (Table, ColdStart,
                          testing::ValuesIn (cold_start_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
