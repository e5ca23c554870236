/* A server and its sidecar that start anew.  */

#include "support_edge.h"

namespace
{
const char COLD_POLICY[] = R"({"version":1,"routes":{},
 "services":{"s":{"healthCheckPath":"/health","coldStartS":60,"coldPerS":50}}})";
const double COLD_PER_S = 50;
const double COLD_OVERAGE = 1.5; /* that the contract allows */
const double COLD_SLACK = 5;

struct RestartRow
{
  const char *name;
  bool announced_first; /* else the configuration comes first */
  bool calls;           /* of backend servers, else of callers */
};

/* Both start anew into a backlog of requests.  */
class Restart : public Runs, public testing::WithParamInterface<RestartRow>
{
protected:
  backend_watch_t *watch = nullptr;
  policy_t *cold_policy = nullptr;
  http_server_t *announce = nullptr;
  std::vector<int64_t> sent_us; /* when each request reached the server */

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
    http_limits_t made = limits ();
    announce = http_server_new (&loop, loopback (), &made, &handler, &error);
    cold_policy
        = platform_parse_policy (COLD_POLICY, strlen (COLD_POLICY), &error);
    ASSERT_NE (nullptr, cold_policy) << error.message;
    backend->answer = [this] (http_exchange_t *exchange) {
      sent_us.push_back (loop.now_us);
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
  tell_announcement ()
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
  /* Some more of the backlog; what is refused is gone.  */
  void
  press ()
  {
    for (int i = 0; i < 20; i++)
      {
        std::string id = "id-" + std::to_string (++pressed);
        call_request_t made = call (id.c_str (), true);
        made.from_backend = GetParam ().calls;
        run_t *run = nullptr;
        runner_start_call (b->runner, &made, &sink, &run, &failure);
      }
    runner_tick (b->runner);
  }
  int pressed = 0;
};

TEST_P (Restart, AColdServerGetsWhatItBearsFromTheFirstRequestOn)
{
  auto configure
      = [&] { backend_watch_set_service (watch, &cold_policy->services[0]); };
  press ();
  if (GetParam ().announced_first)
    tell_announcement ();
  else
    configure ();
  /* Time for what should not be sent.  */
  int turns = 0;
  ASSERT_TRUE (wait ([&] {
    press ();
    return ++turns >= 20;
  }));
  EXPECT_EQ (0u, sent_us.size ()) << "one of the two is not known yet";
  int64_t known_us = loop.now_us;
  if (GetParam ().announced_first)
    configure ();
  else
    tell_announcement ();
  ASSERT_TRUE (wait ([&] {
    press ();
    return sent_us.size () >= 40;
  }));
  for (size_t i = 0; i < sent_us.size (); i++)
    {
      double seconds = (double)(sent_us[i] - known_us) / US_PER_S;
      EXPECT_LE (i + 1, COLD_PER_S * COLD_OVERAGE * seconds + COLD_SLACK)
          << "after " << seconds << " s";
    }
}

const RestartRow restart_rows[] = {
  { "CallsAnnouncedFirst", true, true },
  { "CallsConfiguredFirst", false, true },
  { "CallersAnnouncedFirst", true, false },
  { "CallersConfiguredFirst", false, false },
};

INSTANTIATE_TEST_SUITE_P (Table, Restart, testing::ValuesIn (restart_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
