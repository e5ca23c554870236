#ifndef REDWINGFORD_SUPPORT_CONFIG_FEED_H
#define REDWINGFORD_SUPPORT_CONFIG_FEED_H

/* Two sidecars whose configurations change while requests are open.  */

#include "support_edge.h"

#include <algorithm>

namespace
{
/* Contents of a configuration, in addition to the service "t".  */
struct ConfigSpec
{
  bool routes = true;
  bool service = true;  /* has the service "s" */
  bool accounts = true; /* has a table of accounts */
  bool account = true;  /* has the account "u" */
  const char *route_service = "s";
  bool split = false; /* routes also lead to "t" */
  bool is_public = false;
  bool kinds_swapped = false; /* "book" is safe and "read" unsafe */
  int timeout_s = 100;
  int target_latency_s = 24;
  int attempts = 3;
  const char *key = "key";
  const char *limit = ""; /* of the account */
  int body_bytes = 1000;
  int header_bytes = 4096;
  int more_routes = 0; /* of the same host */
};

inline std::string
route_json (const std::string &name, const char *kind, const ConfigSpec &spec)
{
  std::string service
      = std::string (R"("service":")") + spec.route_service + '"';
  if (spec.split)
    service = std::string (R"("trafficSplit":[{"service":")")
              + spec.route_service
              + R"(","weight":1},{"service":"t","weight":1}])";
  return "\"" + name + R"(":{"host":"h","pathPrefix":"/)" + name
         + R"(/","kind":")" + kind + R"(","timeoutS":)"
         + std::to_string (spec.timeout_s) + R"(,"targetLatencyS":)"
         + std::to_string (spec.target_latency_s)
         + R"(,"priority":0,"attempts":)" + std::to_string (spec.attempts)
         + (spec.is_public ? R"(,"public":true,)" : ",") + service + "}";
}

inline std::string
config_json (uint64_t version, const ConfigSpec &spec)
{
  std::string text = R"({"version":)" + std::to_string (version);
  text += R"(,"limits":{"maxHeaderBytes":)"
          + std::to_string (spec.header_bytes) + R"(,"maxBodyBytes":)"
          + std::to_string (spec.body_bytes) + "}";
  text += R"(,"services":{"t":{"healthCheckPath":"/t"})";
  if (spec.service)
    text += R"(,"s":{"healthCheckPath":"/health"})";
  text += R"(},"routes":{)";
  if (spec.routes)
    text
        += route_json ("book", spec.kinds_swapped ? "safe" : "unsafe", spec)
           + ","
           + route_json ("read", spec.kinds_swapped ? "unsafe" : "safe", spec);
  for (int i = 0; i < spec.more_routes; i++)
    text += (spec.routes || i > 0 ? "," : "")
            + route_json ("more" + std::to_string (i), "safe", spec);
  text += "}";
  if (spec.accounts)
    text += R"(,"tenants":{)";
  if (spec.accounts && spec.account)
    text += std::string (R"("u":{"apiKeys":[")") + spec.key + R"("])"
            + spec.limit + "}";
  return text + (spec.accounts ? "}}" : "}");
}

/* Whether GOT is one complete response and nothing else.  */
inline bool
is_one_response (const std::string &got)
{
  size_t header_end = got.find ("\r\n\r\n");
  size_t length = got.find ("Content-Length: ");
  return got.find ("HTTP/1.1 ") == 0 && header_end != std::string::npos
         && length < header_end
         && got.size ()
                == header_end + 4
                       + strtoul (got.c_str () + length + 16, nullptr, 10);
}

inline int
status_of (const std::string &got)
{
  return got.size () > 12 ? atoi (got.c_str () + 9) : 0;
}

/* Two sidecars that get their configurations through the operator feed, as the
   daemon does: it frees each one as soon as the next is in force.  */
class ConfigFeed : public Two
{
protected:
  operator_feed_t *feed = nullptr;
  backend_watch_t *watch = nullptr; /* of the server beside B */
  http_server_t *announcement_server = nullptr;
  uint64_t version = 0;
  uint64_t sequence = 0;
  int64_t limits_notice_us = 5 * US_PER_S;

  virtual const dialect_t *
  feed_dialect ()
  {
    return platform_dialect ();
  }
  void
  SetUp () override
  {
    Two::SetUp ();
    open_watch ();
    operator_feed_handler_t operators
        = { [] (void *ctx, const policy_t *policy) {
             ((ConfigFeed *)ctx)->apply (policy);
           },
            [] (void *) {}, this };
    feed = operator_feed_new (&loop, feed_dialect (), &log, &operators);
    backend->health_id = "i";
    configure ({});
    announce_slots (10);
    ASSERT_TRUE (
        wait ([this] { return backend_watch_view (watch)->confirmed; }));
  }
  void
  TearDown () override
  {
    http_server_free (announcement_server);
    a.reset ();
    b.reset ();
    backend_watch_free (watch);
    operator_feed_free (feed);
    Two::TearDown ();
  }
  /* Starts to watch the server beside B, without a configuration.  */
  void
  open_watch ()
  {
    error_info_t error = {};
    watch = backend_watch_new (
        &loop, platform_dialect (), b->runner, "s", &log,
        [] (void *ctx) { ((ConfigFeed *)ctx)->update_accepting (); }, this);
    http_handler_t handler = backend_watch_handler (watch);
    http_limits_t http_limits = limits ();
    announcement_server
        = http_server_new (&loop, loopback (), &http_limits, &handler, &error);
  }
  void
  apply_to_entry (Sidecar *sidecar, const policy_t *policy)
  {
    http_limits_t http_limits = limits ();
    http_limits.header_bytes = policy->limits.header_bytes_max;
    http_limits.body_bytes = policy->limits.body_bytes_max;
    http_limits.header_timeout_us = 10 * US_PER_S;
    http_limits.body_timeout_us = 10 * US_PER_S;
    entry_set_policy (sidecar->entry, policy);
    http_server_set_limits (sidecar->callers, &http_limits, limits_notice_us);
    for (size_t i = 0; i < policy->account_count; i++)
      quota_set_limit (sidecar->quota, policy->accounts[i].name,
                       policy->accounts[i].rate_per_s,
                       policy->accounts[i].burst);
  }
  virtual void
  apply (const policy_t *policy)
  {
    apply_to_entry (a.get (), policy);
    apply_to_entry (b.get (), policy);
    int service = policy_find_service (policy, "s");
    backend_watch_set_service (watch, service >= 0 ? &policy->services[service]
                                                   : nullptr);
  }
  void
  configure (const ConfigSpec &spec)
  {
    std::string text = config_json (++version, spec);
    operator_feed_state_t state = {};
    state.config_version = version;
    state.config_text = text.c_str ();
    state.config_size = text.size ();
    operator_feed_merge (feed, &state);
    ASSERT_EQ (version, operator_feed_config_version (feed));
  }
  void
  update_accepting ()
  {
    b->identity.accepting = backend_watch_is_accepting (watch);
  }
  void
  send_announcement (const std::string &method, const std::string &body)
  {
    Caller server (http_server_port (announcement_server));
    server.send (method + " /-/instances/i HTTP/1.1\r\nHost: h\r\n"
                 + "Content-Length: " + std::to_string (body.size ())
                 + "\r\n\r\n" + body);
    ASSERT_TRUE (wait ([&] { return server.has ("200 OK"); }));
  }
  void
  announce_slots (int slots)
  {
    send_announcement ("PUT",
                       R"({"service":"s","address":"127.0.0.1:1","zone":"z",)"
                       R"("version":"v","state":"ready","born":1,"slots":)"
                           + std::to_string (slots) + R"(,"sequence":)"
                           + std::to_string (++sequence) + "}");
  }
  /* Waits until A knows whether B's server accepts requests.  */
  void
  wait_for_report ()
  {
    uint32_t expected = b->identity.accepting != 0;
    ASSERT_TRUE (wait ([&] {
      tick ();
      return placement_accepting_count (a->placement, "s") == expected;
    }));
  }
  void
  tick ()
  {
    peer_set_tick (a->peers, true, true);
    peer_set_tick (b->peers, true, true);
    runner_tick (b->runner);
  }
  std::string
  request_text (const std::string &path, const std::string &id,
                size_t body_size = 0)
  {
    const char *method = path.find ("/book/") == 0 ? "POST" : "GET";
    return std::string (method) + " " + path
           + " HTTP/1.1\r\nHost: h\r\nX-Credential: key\r\nX-Attempt-Id: " + id
           + "\r\nContent-Length: " + std::to_string (body_size) + "\r\n\r\n"
           + std::string (body_size, 'b');
  }
  void
  respond_to_open ()
  {
    std::vector<http_exchange_t *> open;
    open.swap (backend->open);
    for (http_exchange_t *exchange : open)
      answer_signed (exchange, id_of (exchange), "done");
  }
  void
  respond_from_now_on ()
  {
    backend->answer = [] (http_exchange_t *exchange) {
      answer_signed (exchange, id_of (exchange), "done");
    };
    respond_to_open ();
  }
};
}

#endif
