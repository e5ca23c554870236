#include <gtest/gtest.h>

extern "C"
{
#include "clock.h"
#include "edge/backend_watch.h"
#include "edge/entry_point.h"
#include "edge/event_log.h"
#include "edge/http_client.h"
#include "edge/http_server.h"
#include "edge/operator_feed.h"
#include "edge/peer.h"
#include "edge/runner.h"
#include "edge/serve.h"
#include "edge/sidecar_settings.h"
#include "platform.h"
}

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

/* All parts of one sidecar and its surroundings share one event loop here, on
   loopback ports that the kernel chooses; tests wait on conditions.  */

namespace
{
const int64_t GIVE_UP_US = 20 * US_PER_S;

endpoint_addr_t
loopback (uint16_t port = 0)
{
  return { INADDR_LOOPBACK, port };
}

class Loop : public testing::Test
{
protected:
  loop_t loop = {};
  rng_t rng = rng_seeded (1);
  event_log_t log = {};
  int log_pipe[2] = { -1, -1 };

  void
  SetUp () override
  {
    error_info_t error = {};
    ASSERT_TRUE (loop_open (&loop, clock_system (), &error));
    ASSERT_EQ (0, pipe (log_pipe));
    event_log_open (&log, &loop, log_pipe[1], "n1");
  }
  void
  TearDown () override
  {
    event_log_close (&log);
    loop_close (&loop);
    close (log_pipe[0]);
    close (log_pipe[1]);
    rng_seeded_free (&rng);
  }
  /* Turns the loop until DONE holds.  */
  bool
  wait (const std::function<bool ()> &done)
  {
    int64_t end_us = clock_now_us (clock_system ()) + GIVE_UP_US;
    while (!done () && clock_now_us (clock_system ()) < end_us)
      {
        ev_timer wake;
        ev_timer_init (
            &wake, [] (struct ev_loop *, ev_timer *, int) {}, 0.005, 0);
        ev_timer_start (loop.ev, &wake);
        ev_run (loop.ev, EVRUN_ONCE);
        ev_timer_stop (loop.ev, &wake);
      }
    return done ();
  }
};

http_limits_t
limits ()
{
  http_limits_t made = {};
  made.header_bytes = 4096;
  made.body_bytes = 1000;
  made.header_timeout_us = 300 * US_PER_MS;
  made.body_timeout_us = 300 * US_PER_MS;
  made.idle_timeout_us = 10 * US_PER_S;
  made.pipelined = 4;
  made.bodies_bytes = 100000;
  made.unread_bytes = 100000;
  return made;
}

/* A caller: a plain socket.  */
struct Caller
{
  int fd;
  std::string got;
  bool ended = false;

  explicit Caller (uint16_t port)
  {
    struct sockaddr_in to = loop_sockaddr (loopback (port));
    fd = socket (AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ (0, connect (fd, (struct sockaddr *)&to, sizeof to));
    fcntl (fd, F_SETFL, O_NONBLOCK);
  }
  ~Caller () { shut (); }
  void
  shut ()
  {
    if (fd >= 0)
      close (fd);
    fd = -1;
  }
  void
  send (const std::string &text)
  {
    EXPECT_EQ ((ssize_t)text.size (),
               ::send (fd, text.data (), text.size (), MSG_NOSIGNAL));
  }
  bool
  has (const std::string &text)
  {
    char block[4096];
    ssize_t size;
    while (fd >= 0 && (size = recv (fd, block, sizeof block, 0)) >= 0)
      {
        if (size == 0)
          {
            ended = true;
            break;
          }
        got.append (block, size);
      }
    return got.find (text) != std::string::npos;
  }
  bool
  is_over ()
  {
    has ("");
    return ended;
  }
};

std::string
read_all (int fd)
{
  std::string got;
  char block[4096];
  ssize_t size;
  fcntl (fd, F_SETFL, O_NONBLOCK);
  while ((size = read (fd, block, sizeof block)) > 0)
    got.append (block, size);
  return got;
}

/* A server whose requests a test answers by hand.  */
struct Server
{
  http_server_t *server = nullptr;
  std::vector<http_exchange_t *> open;
  std::vector<std::string> targets;
  std::vector<std::string> fields; /* of each request */
  int gone = 0;
  std::function<void (http_exchange_t *)> answer;

  Server (loop_t *loop, const http_limits_t &limits)
  {
    error_info_t error = {};
    http_handler_t handler = { on_request, on_gone, nullptr, this };
    server = http_server_new (loop, loopback (), &limits, &handler, &error);
    EXPECT_NE (nullptr, server) << error.message;
  }
  ~Server () { http_server_free (server); }
  uint16_t
  port () const
  {
    return http_server_port (server);
  }
  static void
  on_request (void *ctx, http_exchange_t *exchange)
  {
    Server *self = (Server *)ctx;
    bytes_t text = {};
    for (uint32_t i = 0; i < exchange->fields.count; i++)
      field_write (&exchange->fields, &exchange->fields.items[i], &text);
    self->targets.push_back (bytes_data (&exchange->target));
    self->fields.push_back (
        std::string (bytes_data (&text), bytes_size (&text)));
    bytes_free (&text);
    if (self->answer)
      self->answer (exchange);
    else
      self->open.push_back (exchange);
  }
  static void
  on_gone (void *ctx, http_exchange_t *exchange)
  {
    Server *self = (Server *)ctx;
    self->gone++;
    for (auto at = self->open.begin (); at != self->open.end (); at++)
      if (*at == exchange)
        {
          self->open.erase (at);
          return;
        }
  }
};

/* --- requests ---------------------------------------------------------- */

struct RequestRow
{
  const char *name;
  std::string text;
  const char *status; /* start of the answer */
};

class Request : public Loop, public testing::WithParamInterface<RequestRow>
{
};

TEST_P (Request, IsReadOrRefused)
{
  Server server (&loop, limits ());
  server.answer = [] (http_exchange_t *exchange) {
    http_respond (exchange, 200, nullptr, 0, "ok", 2);
  };
  Caller caller (server.port ());
  caller.send (GetParam ().text);
  EXPECT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u,
             caller.got.find (std::string ("HTTP/1.1 ") + GetParam ().status))
      << caller.got;
}

const RequestRow request_rows[] = {
  { "Plain", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "200" },
  { "Chunked",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n",
    "200" },
  { "NoHost", "GET /a HTTP/1.1\r\n\r\n", "400" },
  { "TwoHosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400" },
  { "TwoLengths",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
    "Content-Length: 2\r\n\r\nab",
    "400" },
  { "LengthAndChunked",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "400" },
  { "UnknownCoding",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    "0\r\n\r\n",
    "400" },
  { "SpaceInAName", "GET /a HTTP/1.1\r\nHost : h\r\n\r\n", "400" },
  { "NoRequest", "\x16\x03\x01\x02\r\n\r\n", "400" },
  { "Connect", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", "400" },
  { "LargeHead",
    "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string (5000, 'x') + "\r\n\r\n",
    "431" },
  { "LargeBody", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n",
    "413" },
  { "LargeChunks",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3e9\r\n"
        + std::string (1001, 'x') + "\r\n0\r\n\r\n",
    "413" },
  { "UnfinishedHead", "GET /a HTTP/1.1\r\nHost: h\r\n", "408" },
  { "UnfinishedBody",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", "408" },
};

INSTANTIATE_TEST_SUITE_P (Table, Request, testing::ValuesIn (request_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST_F (Loop, PipelinedRequestsAreAnsweredInOrder)
{
  Server server (&loop, limits ());
  Caller caller (server.port ());
  caller.send ("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
               "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE (wait ([&] { return server.open.size () == 2; }));
  http_respond (server.open[1], 200, nullptr, 0, "two", 3);
  EXPECT_FALSE (caller.has ("two"));
  http_respond (server.open[0], 200, nullptr, 0, "one", 3);
  ASSERT_TRUE (wait ([&] { return caller.has ("two"); }));
  EXPECT_LT (caller.got.find ("one"), caller.got.find ("two"));
}

TEST_F (Loop, ACallerThatLeavesIsNoticedWhileItsRequestWaits)
{
  Server server (&loop, limits ());
  Caller caller (server.port ());
  caller.send ("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE (wait ([&] { return server.open.size () == 1; }));
  caller.shut ();
  EXPECT_TRUE (wait ([&] { return server.gone == 1; }));
}

TEST_F (Loop, AnAnswerThatBreaksOffDoesNotLookWhole)
{
  Server server (&loop, limits ());
  Caller caller (server.port ());
  caller.send ("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE (wait ([&] { return server.open.size () == 1; }));
  http_begin (server.open[0], 200, nullptr, 0, -1);
  http_piece (server.open[0], "abc", 3);
  ASSERT_TRUE (wait ([&] { return caller.has ("abc"); }));
  http_abort (server.open[0]);
  ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
  EXPECT_EQ (std::string::npos, caller.got.find ("0\r\n\r\n"));
}

TEST_F (Loop, ADrainingServerClosesAfterItsAnswersAndIdleConnectionsAtOnce)
{
  Server server (&loop, limits ());
  Caller busy (server.port ());
  Caller idle (server.port ());
  busy.send ("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE (wait ([&] {
    return server.open.size () == 1
           && http_server_state (server.server).connections == 2;
  }));
  http_server_drain (server.server);
  ASSERT_TRUE (wait ([&] { return idle.is_over (); }));
  EXPECT_FALSE (busy.is_over ());
  http_respond (server.open[0], 200, nullptr, 0, "ok", 2);
  ASSERT_TRUE (wait ([&] { return busy.is_over (); }));
  EXPECT_NE (std::string::npos, busy.got.find ("Connection: close"));
  EXPECT_NE (std::string::npos, busy.got.find ("ok"));
}

/* --- a fleet of two ---------------------------------------------------- */

const char POLICY[] = R"({"version":1,"routes":{
 "book":{"host":"h","pathPrefix":"/book/","kind":"unsafe","timeoutS":2,
  "targetLatencyS":1,"priority":0,"service":"s","attempts":2,"public":true},
 "read":{"host":"h","pathPrefix":"/read/","kind":"safe","timeoutS":2,
  "targetLatencyS":1,"priority":0,"service":"s","attempts":2,"public":true},
 "keyed":{"host":"h","pathPrefix":"/keyed/","kind":"safe","timeoutS":2,
  "targetLatencyS":1,"priority":0,"service":"s","attempts":2}},
 "services":{"s":{"healthCheckPath":"/health"}},
 "tenants":{"t":{"apiKeys":["key"],"ratePerS":1000,"burst":1000}}})";

/* The parts of one sidecar, without store and timers.  */
struct Sidecar
{
  loop_t *loop;
  std::string service;
  uint64_t incarnation;
  event_log_t *log;
  const rng_t *rng;
  runner_t *runner = nullptr;
  serve_t serve = {};
  placement_t *placement = nullptr;
  call_graph_t *graph = call_graph_new ();
  call_learner_t *learner = call_learner_new ();
  quota_t *quota = quota_new (5 * US_PER_S);
  crash_suspects_t *suspects = crash_suspects_new ();
  uint32_t crashes = 0;
  peer_set_t *peers = nullptr;
  entry_point_t *entry = nullptr;
  http_server_t *callers = nullptr;
  mesh_identity identity = {};
  int lost = 0;
  uint32_t pressure_permille = 0;

  Sidecar (loop_t *loop, const rng_t *rng, event_log_t *log,
           const char *service, uint16_t backend, uint64_t incarnation,
           uint16_t port = 0)
      : loop (loop), service (service), incarnation (incarnation), log (log),
        rng (rng)
  {
    error_info_t error = {};
    const dialect_t *dialect = platform_dialect ();
    runner_handler_t on_runner
        = { [] (void *ctx, const char *) { ((Sidecar *)ctx)->lost++; },
            [] (void *, const char *, const char *, cause_t) {},
            [] (void *ctx, uint32_t count) {
              ((Sidecar *)ctx)->crashes += count;
            },
            this };
    runner = runner_new (loop, dialect, loopback (backend), incarnation,
                         learner, suspects, &on_runner);
    serve = { runner, this->service.c_str () };
    placement = placement_new ("z", rng, loop->now_us);
    peer_handler_t on_peer
        = { make_report, on_report, on_down,     on_call, on_cancel,
            on_credit,   on_want,   on_document, this };
    peers = peer_set_new (loop, loopback (port), {}, &on_peer, &error);
    EXPECT_NE (nullptr, peers) << error.message;
    entry_parts_t parts
        = { loop,      dialect, rng,     log,
            placement, graph,   learner, quota,
            suspects,  peers,   runner,  this->service.c_str (),
            0.2,       0 };
    entry = entry_new (&parts);
    http_limits_t made = limits ();
    http_handler_t handler = entry_handler (entry);
    callers = http_server_new (loop, loopback (), &made, &handler, &error);
  }
  ~Sidecar ()
  {
    http_server_free (callers);
    peer_set_free (peers);
    entry_free (entry);
    runner_free (runner);
    quota_free (quota);
    crash_suspects_free (suspects);
    placement_free (placement);
    call_graph_free (graph);
    call_learner_free (learner);
  }
  void
  set_backend (const char *id)
  {
    intake_server_t server = { 10, true, false, false, 0, 0 };
    runner_set_server (runner, &server, id);
    identity.slots = 10;
    identity.accepting = 1;
  }
  static void
  make_report (void *ctx, mesh_report *report, bool whole, bool)
  {
    Sidecar *self = (Sidecar *)ctx;
    self->identity.service = (char *)self->service.c_str ();
    self->identity.zone = (char *)"z";
    self->identity.server = (char *)"i";
    self->identity.incarnation = self->incarnation;
    report->identity = whole ? &self->identity : nullptr;
    report->load.pressure_permille = self->pressure_permille;
  }
  static void
  on_report (void *ctx, peer_t *peer, const mesh_report *report)
  {
    Sidecar *self = (Sidecar *)ctx;
    if (report->identity == nullptr)
      return;
    placement_server_t server
        = { peer_vm (peer),
            report->identity->incarnation,
            report->identity->service,
            report->identity->zone,
            report->identity->server,
            report->identity->slots,
            report->identity->accepting != 0,
            { 0, 0, 10, report->load.pressure_permille, 0 } };
    placement_put (self->placement, &server, self->loop->now_us);
  }
  static void
  on_down (void *ctx, peer_t *peer)
  {
    Sidecar *self = (Sidecar *)ctx;
    placement_down (self->placement, peer_vm (peer), self->loop->now_us);
  }
  static void
  on_call (void *ctx, peer_stream_t *stream, const forward_call_t *call)
  {
    serve_call (&((Sidecar *)ctx)->serve, stream, call);
  }
  static void
  on_cancel (void *, peer_stream_t *stream)
  {
    serve_cancel (stream);
  }
  static void
  on_credit (void *, peer_stream_t *stream)
  {
    serve_credit (stream);
  }
  static void
  on_want (void *, peer_t *)
  {
  }
  static void
  on_document (void *, peer_t *, const mesh_document *)
  {
  }
};

void
answer_signed (http_exchange_t *exchange, const std::string &id,
               const std::string &body)
{
  std::string fields = "X-Attempt-Id: " + id + "\r\nX-Server-Signature: s\r\n";
  http_respond (exchange, 200, fields.data (), fields.size (), body.data (),
                body.size ());
}

std::string
id_of (http_exchange_t *exchange)
{
  const field_t *field = fields_find (&exchange->fields, "X-Attempt-Id");
  char text[256] = "";
  if (field != nullptr)
    field_copy (&exchange->fields, field, text, sizeof text);
  return text;
}

/* Callers enter at A, the backend server stands beside B.  */
class Two : public Loop
{
protected:
  std::unique_ptr<Server> backend;
  std::unique_ptr<Sidecar> a;
  std::unique_ptr<Sidecar> b;
  policy_t *policy = nullptr;

  void
  SetUp () override
  {
    Loop::SetUp ();
    error_info_t error = {};
    policy = platform_parse_policy (POLICY, strlen (POLICY), &error);
    ASSERT_NE (nullptr, policy) << error.message;
    backend = std::make_unique<Server> (&loop, limits ());
    a = std::make_unique<Sidecar> (&loop, &rng, &log, "front", 1, 100);
    start_b (200, 0);
    entry_set_policy (a->entry, policy);
    quota_set_members (a->quota, 1);
    peer_set_add (a->peers, peer_set_vm (b->peers));
    ASSERT_TRUE (wait_for_server ());
  }
  void
  TearDown () override
  {
    a.reset ();
    b.reset ();
    backend.reset ();
    policy_free (policy);
    Loop::TearDown ();
  }
  void
  start_b (uint64_t incarnation, uint16_t port, const char *service = "s")
  {
    b = std::make_unique<Sidecar> (&loop, &rng, &log, service,
                                   backend->port (), incarnation, port);
    b->set_backend ("i");
  }
  bool
  wait_for_server ()
  {
    return wait ([&] {
      peer_set_tick (a->peers, true, true);
      peer_set_tick (b->peers, true, true);
      return placement_accepting (a->placement, "s") == 1;
    });
  }
  /* Callers enter at the sidecar beside the backend server.  */
  void
  start_a_beside_the_server ()
  {
    a = std::make_unique<Sidecar> (&loop, &rng, &log, "s", backend->port (),
                                   101);
    a->set_backend ("i");
    entry_set_policy (a->entry, policy);
    placement_server_t server
        = { peer_set_vm (a->peers), 101, "s", "z", "i", 10, true,
            { 0, 0, 10, 0, 0 } };
    placement_put (a->placement, &server, loop.now_us);
  }
  std::string
  request (const char *method, const char *path, const char *id)
  {
    return std::string (method) + " " + path
           + " HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 2000\r\nX-Attempt-Id: "
           + id + "\r\nX-Tenant: forged\r\nX-Caller-Service: forged\r\n\r\n";
  }
};

TEST_F (Two, ARequestGoesThroughBothAndItsOwnFieldsAreSet)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1?q", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  EXPECT_EQ ("/read/1?q", backend->targets[0]);
  const std::string &fields = backend->fields[0];
  EXPECT_NE (std::string::npos, fields.find ("X-Attempt-Id: id-1\r\n"));
  EXPECT_NE (std::string::npos, fields.find ("X-Caller-Service: front\r\n"));
  EXPECT_NE (std::string::npos, fields.find ("X-Expected-Instance: i\r\n"));
  EXPECT_EQ (std::string::npos, fields.find ("forged"));
  answer_signed (backend->open[0], "id-1", "hello");
  ASSERT_TRUE (wait ([&] { return caller.has ("hello"); }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 200"));
}

TEST_F (Two, ARequestThatComesLateInAStopIsRefusedUnrun)
{
  entry_set_stop (a->entry, loop.now_us - 4700 * US_PER_MS,
                  loop.now_us + 300 * US_PER_MS);
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 503")) << caller.got;
  EXPECT_NE (std::string::npos, caller.got.find ("Retry-After: "));
  EXPECT_TRUE (backend->targets.empty ());
}

/* What ran when the server went is counted once another instance is there;
   an answer clears it.  */
TEST_F (Two, ARunThatTheServerCutIsCountedWhenTheServerIsGone)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  http_abort (backend->open[0]);
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, b->crashes) << "the server may still be there";
  b->set_backend ("i2");
  EXPECT_EQ (1u, b->crashes);
  EXPECT_FALSE (crash_suspects_is_empty (b->suspects));
}

TEST_F (Two, AHeldRequestReachesNoServer)
{
  uint64_t fingerprint = crash_fingerprint ("", "/read/1", "", 0);
  for (int i = 1; i <= SUSPECT_CRASHES; i++)
    crash_suspects_crashed (b->suspects, fingerprint,
                            loop.now_us
                                - (SUSPECT_CRASHES - i) * 2 * US_PER_S);
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return caller.has ("crash-suspect"); }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 503")) << caller.got;
  EXPECT_TRUE (backend->targets.empty ());
  Caller other (http_server_port (a->callers));
  other.send (request ("GET", "/read/2", "id-2"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-2", "hello");
  ASSERT_TRUE (wait ([&] { return other.has ("hello"); }));
}

struct AnswerRow
{
  const char *name;
  const char *method;
  const char *path;
  int status;
  std::string fields;
  const char *seen; /* by the caller */
};

class Answer : public Two, public testing::WithParamInterface<AnswerRow>
{
};

TEST_P (Answer, IsPassedOnOnlyIfItIsTheServers)
{
  const AnswerRow &row = GetParam ();
  backend->answer = [&] (http_exchange_t *exchange) {
    http_respond (exchange, row.status, row.fields.data (), row.fields.size (),
                  "x", 1);
  };
  Caller caller (http_server_port (a->callers));
  caller.send (request (row.method, row.path, "id-1"));
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller.got.find (std::string ("HTTP/1.1 ") + row.seen))
      << caller.got;
}

const char SIGNED[] = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";

const AnswerRow answer_rows[] = {
  { "Signed", "GET", "/read/1", 200, SIGNED, "200" },
  { "Unsigned", "POST", "/book/1", 200, "X-Attempt-Id: id-1\r\n", "502" },
  { "Encoded", "POST", "/book/1", 200,
    std::string (SIGNED) + "Content-Encoding: gzip\r\n", "502" },
  { "ItsOwnFailure", "POST", "/book/1", 500, SIGNED, "500" },
  { "PromiseWithoutAWord", "POST", "/book/1", 503, SIGNED, "502" },
  { "NotRun", "POST", "/book/1", 503, "X-Not-Executed: 1\r\n", "503" },
};

INSTANTIATE_TEST_SUITE_P (Table, Answer, testing::ValuesIn (answer_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST_F (Two, AnAnswerToAnotherRequestIsPassedOver)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  std::string late = "X-Attempt-Id: id-0\r\nX-Server-Signature: s\r\n";
  http_begin (backend->open[0], 200, late.data (), late.size (), 4);
  http_piece (backend->open[0], "late", 4);
  std::string own = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
                    "X-Server-Signature: s\r\nContent-Length: 3\r\n\r\nown";
  http_piece (backend->open[0], own.data (), own.size ());
  ASSERT_TRUE (wait ([&] { return caller.has ("own"); }));
  EXPECT_EQ (std::string::npos, caller.got.find ("late"));
}

TEST_F (Two, ACallerThatLeavesStopsARunThatMayStop)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  caller.shut ();
  EXPECT_TRUE (wait ([&] { return backend->gone == 1; }));
}

TEST_F (Two, AStopDoesNotBreakOffARunForAnotherServersTry)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", "quick");
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return caller.has ("quick"); }));
  placement_server_t other = { vm_id_make (INADDR_LOOPBACK, 1),
                               1,
                               "s",
                               "far",
                               "j",
                               10,
                               true,
                               { 0, 0, 10, 0, 0 } };
  placement_put (a->placement, &other, loop.now_us);
  caller.send (request ("GET", "/read/2", "id-2"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  entry_set_stop (a->entry, loop.now_us, loop.now_us + 5 * US_PER_S);
  int64_t overdue_us = loop.now_us + 600 * US_PER_MS;
  ASSERT_TRUE (wait ([&] { return loop.now_us > overdue_us; }));
  ASSERT_EQ (0, backend->gone);
  answer_signed (backend->open[0], "id-2", "slow");
  EXPECT_TRUE (wait ([&] { return caller.has ("slow"); }));
}

/* What is open is let go of before the parts that it uses are freed.  */
TEST_F (Two, ASidecarThatEndsLetsItsOpenRequestsGo)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  a.reset ();
  EXPECT_TRUE (wait ([&] { return backend->gone == 1; }));
}

/* A close is not hidden by requests that wait to be read.  */
TEST_F (Two, ACallerThatLeavesIsNoticedWhileReadingIsPaused)
{
  Caller caller (http_server_port (a->callers));
  std::string all;
  for (int i = 0; i < 6; i++)
    all += request ("GET", "/read/1", ("id-" + std::to_string (i)).c_str ());
  caller.send (all);
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 4; }));
  caller.shut ();
  ASSERT_TRUE (wait ([&] { return entry_state (a->entry).open == 0; }));
  EXPECT_EQ (4u, entry_state (a->entry).ends[ENTRY_GONE]);
  EXPECT_TRUE (wait ([&] { return backend->gone == 4; }));
  EXPECT_EQ (4u, backend->targets.size ());
  EXPECT_EQ (0u, http_server_state (a->callers).connections);
}

struct LeftRow
{
  const char *name;
  const char *method;
  const char *path;
};

class Left : public Two, public testing::WithParamInterface<LeftRow>
{
};

/* The request and the close are both there when the sidecar comes to read.  */
TEST_P (Left, ARequestWithACloseBehindItReachesNoServer)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request (GetParam ().method, GetParam ().path, "id-1"));
  caller.shut ();
  Caller next (http_server_port (a->callers));
  next.send (request ("GET", "/read/2", "id-2"));
  ASSERT_TRUE (wait ([&] {
    return !backend->targets.empty () && backend->targets.back () == "/read/2"
           && http_server_state (a->callers).connections == 1;
  }));
  EXPECT_EQ (1u, backend->targets.size ());
}

const LeftRow left_rows[] = {
  { "Read", "GET", "/read/1" },
  { "Booking", "POST", "/book/1" },
};

INSTANTIATE_TEST_SUITE_P (Table, Left, testing::ValuesIn (left_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* Starts runs at B as its peers do.  */
class Runs : public Two
{
protected:
  call_failure_t failure = {};
  int ended = 0;
  std::string fields; /* of the last call made */
  call_sink_t sink = {
    [] (void *ctx, const call_reply_t *, const char *, size_t, bool last) {
      *(int *)ctx += last;
    },
    [] (void *ctx, const char *, size_t, bool last) { *(int *)ctx += last; },
    [] (void *ctx, const call_failure_t *) { (*(int *)ctx)++; }, &ended
  };

  forward_call_t
  call (const char *id, bool idempotent)
  {
    forward_call_t made = {};
    made.attempt_id = id;
    made.method = "GET";
    made.target = "/run";
    fields = "Host: h\r\nX-Attempt-Id: " + std::string (id) + "\r\n";
    made.fields = fields.c_str ();
    made.fields_size = fields.size ();
    made.body = made.account = made.caller = made.route = "";
    made.service = "s";
    made.idempotent = idempotent;
    made.deadline_us = loop.now_us + 5 * US_PER_S;
    made.wait_us = US_PER_S;
    return made;
  }
  run_t *
  start (const forward_call_t &call)
  {
    run_t *run = nullptr;
    EXPECT_EQ (START_TAKEN,
               runner_start (b->runner, &call, &sink, &run, &failure));
    return run;
  }
  /* Leaves an idle connection to the server.  */
  void
  run_one ()
  {
    start (call ("id-0", true));
    ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
    answer_signed (backend->open[0], "id-0", "x");
    backend->open.clear ();
    ASSERT_TRUE (wait ([&] { return ended == 1; }));
    backend->targets.clear ();
  }
};

struct CancelRow
{
  const char *name;
  bool idempotent;
  bool kept; /* a connection to the server is open */
};

class Cancel : public Runs, public testing::WithParamInterface<CancelRow>
{
};

TEST_P (Cancel, ARunThatIsCancelledBeforeItIsSentReachesNoServer)
{
  if (GetParam ().kept)
    run_one ();
  run_t *run = start (call ("id-1", GetParam ().idempotent));
  run_cancel (run);
  EXPECT_EQ (0u, runner_load (b->runner).running);
  start (call ("id-2", true));
  ASSERT_TRUE (wait ([&] { return !backend->open.empty (); }));
  EXPECT_EQ (1u, backend->targets.size ());
  EXPECT_EQ ("id-2", id_of (backend->open[0]));
}

const CancelRow cancel_rows[] = {
  { "ReadWhileConnecting", true, false },
  { "ReadOnAKeptConnection", true, true },
  { "BookingWhileConnecting", false, false },
  { "BookingOnAKeptConnection", false, true },
};

INSTANTIATE_TEST_SUITE_P (Table, Cancel, testing::ValuesIn (cancel_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* With its link nobody vouches for the caller any more; a question about the
   run hears that it did not run.  */
TEST_F (Runs, AQueuedBookingDoesNotOutliveItsLink)
{
  intake_server_t server = { 1, true, false, false, 0, 0 };
  runner_set_server (b->runner, &server, "i");
  start (call ("id-1", true));
  forward_call_t booking = call ("id-2", false);
  ASSERT_NE (nullptr,
             peer_call (peer_set_find (a->peers, peer_set_vm (b->peers)),
                        &booking, &sink));
  ASSERT_TRUE (wait ([&] { return runner_load (b->runner).queued == 1; }));
  a.reset ();
  ASSERT_TRUE (wait ([&] { return peer_set_state (b->peers).up == 0; }));
  EXPECT_EQ (0u, runner_load (b->runner).queued);
  run_t *asked = nullptr;
  booking.resume = true;
  booking.incarnation = 200;
  EXPECT_EQ (START_REFUSED,
             runner_start (b->runner, &booking, &sink, &asked, &failure));
  EXPECT_EQ (FAILURE_REFUSED, failure.failure);
  EXPECT_EQ (CAUSE_NEVER_CAME, failure.cause);
  EXPECT_EQ (1u, backend->targets.size ());
}

/* An answer that nobody takes any more is read to its end.  */
TEST_F (Runs, ABookingWhoseCallerLeavesAmidItsAnswerGivesItsSlotBack)
{
  run_t *run = start (call ("id-1", false));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  std::string fields = "X-Attempt-Id: id-1\r\nX-Server-Signature: s\r\n";
  std::string part (100000, 'x');
  http_begin (backend->open[0], 200, fields.data (), fields.size (),
              2 * part.size ());
  http_piece (backend->open[0], part.data (), part.size ());
  ASSERT_TRUE (wait ([&] { return http_unread (backend->open[0]) == 0; }));
  run_pause (run, true);
  run_cancel (run);
  http_piece (backend->open[0], part.data (), part.size ());
  http_end (backend->open[0]);
  EXPECT_TRUE (wait ([&] { return runner_load (b->runner).running == 0; }));
}

/* A sidecar that reads late finds calls and their cancellations together.  */
TEST_F (Runs, CallsThatAreCancelledBehindALongBacklogReachNoServer)
{
  run_one ();
  peer_t *peer = peer_set_find (a->peers, peer_set_vm (b->peers));
  std::string body (1000, 'x');
  std::vector<peer_call_t *> sent;
  for (int i = 0; i < 200; i++)
    {
      forward_call_t made = call ("id-1", true);
      made.body = body.data ();
      made.body_size = body.size ();
      sent.push_back (peer_call (peer, &made, &sink));
      ASSERT_NE (nullptr, sent.back ());
    }
  for (peer_call_t *at : sent)
    peer_call_cancel (at);
  forward_call_t next = call ("id-2", true);
  ASSERT_NE (nullptr, peer_call (peer, &next, &sink));
  ASSERT_TRUE (wait ([&] {
    return !backend->open.empty () && id_of (backend->open.back ()) == "id-2";
  }));
  EXPECT_EQ (1u, backend->targets.size ());
}

/* A question takes a run over from the link that it came on first; the end of
   that link is read later and changes nothing.  */
TEST_F (Runs, TheEndOfAnOldLinkDoesNotTakeARunFromItsNewListener)
{
  start (call ("id-1", false));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  forward_call_t question = call ("id-1", false);
  question.resume = true;
  int heard = 0;
  call_sink_t second = sink;
  second.ctx = &heard;
  run_t *asked = nullptr;
  ASSERT_EQ (START_TAKEN,
             runner_start (b->runner, &question, &second, &asked, &failure));
  EXPECT_EQ (1, ended) << "the first listener is told and lets go";
  answer_signed (backend->open[0], "id-1", "booked");
  ASSERT_TRUE (wait ([&] { return runner_load (b->runner).running == 0; }));
  EXPECT_EQ (1, heard);
}

/* Two requests with one id: the first must not keep a run that it no longer
   hears of.  */
TEST_F (Two, TwoRequestsWithOneIdEndEachOnItsOwn)
{
  start_a_beside_the_server ();
  Caller first (http_server_port (a->callers));
  Caller second (http_server_port (a->callers));
  first.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  second.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return first.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, first.got.find ("HTTP/1.1 502")) << first.got;
  answer_signed (backend->open[0], "id-1", "booked");
  ASSERT_TRUE (wait ([&] { return second.has ("booked"); }));
  EXPECT_EQ (1u, backend->targets.size ());
}

/* --- answers without end ------------------------------------------------ */

/* A server that answers each request with HEAD and then MORE without end, as
   fast as it is read.  */
struct Endless
{
  struct Connection
  {
    Endless *server;
    ev_io watcher;
    std::string waiting;
  };
  loop_t *loop;
  std::string head;
  std::string more;
  ev_io acceptor;
  std::vector<std::unique_ptr<Connection>> connections;
  int answered = 0;
  int closed = 0;

  Endless (loop_t *loop, const std::string &head, const std::string &more)
      : loop (loop), head (head), more (more)
  {
    error_info_t error = {};
    int fd = loop_listen (loopback (), &error);
    EXPECT_GE (fd, 0) << error.message;
    ev_io_init (&acceptor, on_acceptable, fd, EV_READ);
    acceptor.data = this;
    ev_io_start (loop->ev, &acceptor);
  }
  ~Endless ()
  {
    ev_io_stop (loop->ev, &acceptor);
    close (acceptor.fd);
    for (auto &at : connections)
      end (at.get ());
  }
  uint16_t
  port () const
  {
    struct sockaddr_in at = {};
    socklen_t size = sizeof at;
    getsockname (acceptor.fd, (struct sockaddr *)&at, &size);
    return ntohs (at.sin_port);
  }
  static void
  end (Connection *connection)
  {
    if (connection->watcher.fd < 0)
      return;
    ev_io_stop (connection->server->loop->ev, &connection->watcher);
    close (connection->watcher.fd);
    connection->watcher.fd = -1;
  }
  static void
  on_acceptable (struct ev_loop *ev, ev_io *acceptor, int)
  {
    Endless *self = (Endless *)acceptor->data;
    int fd = accept4 (acceptor->fd, nullptr, nullptr, SOCK_NONBLOCK);
    self->connections.push_back (std::make_unique<Connection> ());
    Connection *connection = self->connections.back ().get ();
    connection->server = self;
    ev_io_init (&connection->watcher, on_request, fd, EV_READ);
    connection->watcher.data = connection;
    ev_io_start (ev, &connection->watcher);
  }
  static void
  on_request (struct ev_loop *ev, ev_io *watcher, int)
  {
    Connection *connection = (Connection *)watcher->data;
    char block[4096];
    if (recv (watcher->fd, block, sizeof block, 0) <= 0)
      {
        end (connection);
        return;
      }
    connection->server->answered++;
    connection->waiting = connection->server->head;
    ev_io_stop (ev, watcher);
    ev_io_init (watcher, on_writable, watcher->fd, EV_WRITE);
    ev_io_start (ev, watcher);
  }
  static void
  on_writable (struct ev_loop *, ev_io *watcher, int)
  {
    Connection *connection = (Connection *)watcher->data;
    while (connection->waiting.size () < 32768)
      connection->waiting += connection->server->more;
    ssize_t size
        = ::send (watcher->fd, connection->waiting.data (),
                  connection->waiting.size (), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size >= 0)
      connection->waiting.erase (0, size);
    else if (errno != EAGAIN)
      {
        connection->server->closed++;
        end (connection);
      }
  }
};

struct EndlessRow
{
  const char *name;
  const char *head;
  const char *more;
};

class WithoutEnd : public Loop, public testing::WithParamInterface<EndlessRow>
{
protected:
  policy_t *policy = nullptr;
  std::unique_ptr<Endless> backend;
  std::unique_ptr<Sidecar> a;

  void
  SetUp () override
  {
    Loop::SetUp ();
    error_info_t error = {};
    policy = platform_parse_policy (POLICY, strlen (POLICY), &error);
    backend = std::make_unique<Endless> (&loop, GetParam ().head,
                                         GetParam ().more);
    a = std::make_unique<Sidecar> (&loop, &rng, &log, "s", backend->port (),
                                   101);
    a->set_backend ("i");
    entry_set_policy (a->entry, policy);
    placement_server_t server
        = { peer_set_vm (a->peers), 101, "s", "z", "i", 10, true,
            { 0, 0, 10, 0, 0 } };
    placement_put (a->placement, &server, loop.now_us);
  }
  void
  TearDown () override
  {
    a.reset ();
    backend.reset ();
    policy_free (policy);
    Loop::TearDown ();
  }
  std::string
  request (const char *line)
  {
    return std::string (line)
           + " HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 500\r\n"
             "X-Attempt-Id: id-1\r\n\r\n";
  }
  bool
  is_over ()
  {
    return backend->answered > 0 && backend->closed == backend->answered
           && runner_load (a->runner).running == 0;
  }
};

TEST_P (WithoutEnd, EndsForTheReaderAndTheServer)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET /read/1"));
  EXPECT_TRUE (
      wait ([&] { return caller.has ("HTTP/1.1 50") || caller.is_over (); }));
  EXPECT_TRUE (wait ([&] { return is_over (); }));
}

TEST_P (WithoutEnd, EndsForTheBookingAndTheServer)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST /book/1"));
  EXPECT_TRUE (
      wait ([&] { return caller.has ("HTTP/1.1 50") || caller.is_over (); }));
  EXPECT_TRUE (wait ([&] { return is_over (); }));
}

TEST_P (WithoutEnd, EndsWhenTheCallerOfABookingLeaves)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST /book/1"));
  ASSERT_TRUE (wait ([&] { return backend->answered == 1; }));
  caller.shut ();
  EXPECT_TRUE (wait ([&] { return is_over (); }));
}

TEST_P (WithoutEnd, EndsForAHealthCheck)
{
  runner_probe (
      a->runner, "/health", [] (void *, const server_probe_t *) {}, nullptr);
  EXPECT_TRUE (wait ([&] { return backend->closed == 1; }));
}

const EndlessRow endless_rows[] = {
  { "NoAnswer", "", "\x16\x03\x01\x02" },
  { "EmptyLines", "", "\r\n" },
  { "Fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
  { "OneField", "HTTP/1.1 200 OK\r\nX: ", "y" },
  { "Interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "BodyOfAnother",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\n"
    "X-Server-Signature: s\r\n\r\n",
    "body" },
  { "ChunksOfAnother",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\n"
    "X-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "4\r\nbody\r\n" },
  { "Body",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
    "X-Server-Signature: s\r\n\r\n",
    "body" },
  { "Trailer",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
    "X-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X: y\r\n" },
};

INSTANTIATE_TEST_SUITE_P (Table, WithoutEnd, testing::ValuesIn (endless_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- lost links --------------------------------------------------------- */

TEST_F (Two, ABookingIsAskedAfterWhenItsLinkIsLost)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  /* B falls silent for longer than a link may be.  */
  ASSERT_TRUE (wait ([&] {
    peer_set_tick (a->peers, true, true);
    return !peer_is_up (peer_set_find (a->peers, peer_set_vm (b->peers)));
  }));
  ASSERT_TRUE (wait_for_server ());
  answer_signed (backend->open[0], "id-1", "booked");
  ASSERT_TRUE (wait ([&] { return caller.has ("booked"); }));
  EXPECT_EQ (1u, backend->targets.size ());
}

/* The question to a successor that is lost on its way proves nothing.  */
TEST_F (Two, ABookingWhoseSidecarStartedAnewIsNeverSentAgain)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  uint16_t port = vm_id_port (peer_set_vm (b->peers));
  b.reset ();
  ASSERT_TRUE (wait ([&] { return backend->gone == 1; }));
  start_b (201, port);
  wait_for_server ();
  /* A second life loses its links once more before it answers.  */
  b.reset ();
  start_b (202, port);
  ASSERT_TRUE (wait ([&] {
    peer_set_tick (a->peers, true, true);
    peer_set_tick (b->peers, true, true);
    return caller.has ("\r\n\r\n");
  }));
  EXPECT_EQ (1u, backend->targets.size ());
  EXPECT_TRUE (caller.got.find ("HTTP/1.1 502") == 0
               || caller.got.find ("HTTP/1.1 504") == 0)
      << caller.got;
}

/* A sidecar of another service at the same address proves nothing either.  */
TEST_F (Two, ABookingWhoseVmNowRunsAnotherServiceIsNotCalledUnrun)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  uint16_t port = vm_id_port (peer_set_vm (b->peers));
  b.reset ();
  ASSERT_TRUE (wait ([&] { return backend->gone == 1; }));
  start_b (201, port, "t");
  ASSERT_TRUE (wait ([&] {
    peer_set_tick (a->peers, true, true);
    peer_set_tick (b->peers, true, true);
    return caller.has ("\r\n\r\n");
  }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 504")) << caller.got;
}

TEST_F (Two, AnotherAttemptWithTheSameIdIsAnsweredFromTheFirst)
{
  call_failure_t failure = {};
  struct Heard
  {
    int replies = 0;
    std::string body;
  } heard;
  call_sink_t sink = { [] (void *ctx, const call_reply_t *, const char *body,
                           size_t size, bool) {
                        ((Heard *)ctx)->replies++;
                        ((Heard *)ctx)->body.assign (body, size);
                      },
                       [] (void *, const char *, size_t, bool) {},
                       [] (void *, const call_failure_t *) {}, &heard };
  forward_call_t call = {};
  call.attempt_id = "id-9";
  call.method = "POST";
  call.target = "/book/1";
  call.fields = "Host: h\r\nX-Attempt-Id: id-9\r\n";
  call.fields_size = strlen (call.fields);
  call.body = call.account = call.caller = call.route = "";
  call.service = "s";
  call.deadline_us = loop.now_us + 5 * US_PER_S;
  call.wait_us = US_PER_S;
  backend->answer = [] (http_exchange_t *exchange) {
    answer_signed (exchange, id_of (exchange), "booked");
  };
  run_t *run = nullptr;
  EXPECT_EQ (START_TAKEN,
             runner_start (b->runner, &call, &sink, &run, &failure));
  ASSERT_TRUE (wait ([&] { return heard.replies == 1; }));
  call.resume = true;
  EXPECT_EQ (START_ANSWERED,
             runner_start (b->runner, &call, &sink, &run, &failure));
  EXPECT_EQ (2, heard.replies);
  EXPECT_EQ ("booked", heard.body);
  EXPECT_EQ (1u, backend->targets.size ());

  /* One that never came is refused for good, also when it comes later.  */
  call.attempt_id = "id-10";
  call.incarnation = 200;
  EXPECT_EQ (START_REFUSED,
             runner_start (b->runner, &call, &sink, &run, &failure));
  EXPECT_EQ (CAUSE_NEVER_CAME, failure.cause);
  call.resume = false;
  EXPECT_EQ (START_REFUSED,
             runner_start (b->runner, &call, &sink, &run, &failure));
  EXPECT_EQ (CAUSE_NEVER_CAME, failure.cause);

  /* Another life of the sidecar cannot tell.  */
  call.attempt_id = "id-11";
  call.incarnation = 199;
  call.resume = true;
  EXPECT_EQ (START_REFUSED,
             runner_start (b->runner, &call, &sink, &run, &failure));
  EXPECT_EQ (FAILURE_LOST, failure.failure);
  EXPECT_EQ (CAUSE_PEER_RESTARTED, failure.cause);
}

struct EntryRow
{
  const char *name;
  const char *path;
  const char *fields;
  const char *seen;
};

class Entry : public Two, public testing::WithParamInterface<EntryRow>
{
};

TEST_P (Entry, AdmitsByRouteAndKey)
{
  backend->answer = [] (http_exchange_t *exchange) {
    answer_signed (exchange, id_of (exchange), "x");
  };
  Caller caller (http_server_port (a->callers));
  caller.send (std::string ("GET ") + GetParam ().path
               + " HTTP/1.1\r\nHost: h\r\n" + GetParam ().fields + "\r\n");
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u,
             caller.got.find (std::string ("HTTP/1.1 ") + GetParam ().seen))
      << caller.got;
  for (const std::string &fields : backend->fields)
    EXPECT_EQ (std::string::npos, fields.find ("X-Credential"));
}

const EntryRow entry_rows[] = {
  { "Open", "/read/1", "X-Attempt-Id: i\r\n", "200" },
  { "NoId", "/read/1", "", "400" },
  { "NoRoute", "/none/1", "X-Attempt-Id: i\r\n", "404" },
  { "Key", "/keyed/1", "X-Attempt-Id: i\r\nX-Credential: key\r\n", "200" },
  { "NoKey", "/keyed/1", "X-Attempt-Id: i\r\n", "401" },
  { "WrongKey", "/keyed/1", "X-Attempt-Id: i\r\nX-Credential: k\r\n", "401" },
};

INSTANTIATE_TEST_SUITE_P (Table, Entry, testing::ValuesIn (entry_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST_F (Two, ARequestWithoutServersIsRefusedTrulyAndSoon)
{
  b->identity.accepting = 0;
  ASSERT_TRUE (wait ([&] {
    peer_set_tick (b->peers, true, true);
    return placement_accepting (a->placement, "s") == 0;
  }));
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 503"));
  EXPECT_NE (std::string::npos, caller.got.find ("Retry-After: 0."));
  EXPECT_EQ (0u, backend->targets.size ());
}

/* The log names what pressed, also from the memory of an earlier look.  */
TEST_F (Two, ARefusalUnderPressureNamesThePressedService)
{
  b->pressure_permille = 1000;
  ASSERT_TRUE (wait ([&] {
    peer_set_tick (b->peers, true, true);
    return placement_pressure (a->placement, "s", loop.now_us) > 0.99;
  }));
  for (int i = 0; i < 3; i++)
    {
      Caller caller (http_server_port (a->callers));
      caller.send ("GET /keyed/1 HTTP/1.1\r\nHost: h\r\nX-Credential: key"
                   "\r\nX-Attempt-Id: i\r\n\r\n");
      ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
      EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 503")) << caller.got;
    }
  std::string got;
  size_t named = 0;
  ASSERT_TRUE (wait ([&] {
    got += read_all (log_pipe[0]);
    named = 0;
    for (size_t at = 0;
         (at = got.find ("end=overload", at)) != std::string::npos; at++)
      named += got.find ("pressed=s ", at) < got.find ('\n', at);
    return named == 3;
  })) << got;
}

/* --- a restart of server and sidecar ------------------------------------ */

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
        forward_call_t made = call (id.c_str (), true);
        made.from_backend = GetParam ().calls;
        run_t *run = nullptr;
        runner_start (b->runner, &made, &sink, &run, &failure);
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

/* --- operators --------------------------------------------------------- */

struct Feed
{
  operator_feed_t *feed;
  std::vector<uint64_t> versions;
  int zones = 0;

  explicit Feed (event_log_t *log)
  {
    operator_handler_t handler
        = { [] (void *ctx, const policy_t *policy) {
             ((Feed *)ctx)->versions.push_back (policy->version);
           },
            [] (void *ctx) { ((Feed *)ctx)->zones++; }, this };
    feed = operator_feed_new (platform_dialect (), log, &handler);
  }
  ~Feed () { operator_feed_free (feed); }
  void
  put (const char *key, const char *value, int64_t offset)
  {
    keyed_record_t record
        = { key, strlen (key), value, value ? strlen (value) : 0, offset };
    operator_feed_record (feed, &record);
  }
};

std::string
config (int version)
{
  return R"({"version":)" + std::to_string (version)
         + R"(,"routes":{},"services":{}})";
}

TEST_F (Loop, AConfigurationNeverGoesBack)
{
  Feed feed (&log);
  feed.put ("config", config (5).c_str (), 1);
  feed.put ("config", config (9).c_str (), 2);
  feed.put ("config", config (7).c_str (), 3); /* a stale page */
  feed.put ("config", "{", 4);
  EXPECT_EQ ((std::vector<uint64_t>{ 5, 9 }), feed.versions);
  EXPECT_EQ (9u, operator_feed_version (feed.feed));
}

TEST_F (Loop, ZonesFollowTheNewestRecordAndSnapshotsThatAreNotBehind)
{
  Feed feed (&log);
  feed.put ("evacuate/z1", "{}", 4);
  EXPECT_TRUE (operator_feed_zone_is_out (feed.feed, "z1"));
  /* A snapshot from before the record says nothing about it.  */
  operator_feed_snapshot_begin (feed.feed);
  operator_feed_snapshot_end (feed.feed, 3);
  EXPECT_TRUE (operator_feed_zone_is_out (feed.feed, "z1"));
  operator_feed_snapshot_begin (feed.feed);
  operator_feed_snapshot_end (feed.feed, 6);
  EXPECT_FALSE (operator_feed_zone_is_out (feed.feed, "z1"));
  feed.put ("evacuate/z1", "{}", 5); /* late */
  EXPECT_FALSE (operator_feed_zone_is_out (feed.feed, "z1"));
  feed.put ("evacuate/z1", "{}", 8);
  EXPECT_TRUE (operator_feed_zone_is_out (feed.feed, "z1"));
  feed.put ("evacuate/z1", nullptr, 9);
  EXPECT_FALSE (operator_feed_zone_is_out (feed.feed, "z1"));
}

TEST_F (Loop, APeerThatIsAheadHandsItsStateOn)
{
  Feed ahead (&log);
  Feed behind (&log);
  ahead.put ("config", config (9).c_str (), 2);
  ahead.put ("evacuate/z1", "{}", 3);
  behind.put ("config", config (5).c_str (), 1);
  operator_state_t state = operator_feed_state (ahead.feed);
  operator_feed_merge (behind.feed, &state);
  EXPECT_EQ (9u, operator_feed_version (behind.feed));
  EXPECT_TRUE (operator_feed_zone_is_out (behind.feed, "z1"));
  state = operator_feed_state (behind.feed);
  Feed other (&log);
  other.put ("evacuate/z1", "{}", 3);
  other.put ("evacuate/z1", nullptr, 7);
  operator_feed_merge (other.feed, &state);
  EXPECT_FALSE (operator_feed_zone_is_out (other.feed, "z1"));
}

/* --- the log ----------------------------------------------------------- */

TEST_F (Loop, TheLogDropsByKindAndCounts)
{
  for (int i = 0; i < 200; i++)
    event_log (&log, EVENT_REQUEST, "refused", "id=%d", i);
  event_log (&log, EVENT_LIFE, "store-lost", "status=%d", 503);
  std::string got;
  ASSERT_TRUE (wait ([&] {
    got += read_all (log_pipe[0]);
    return got.find ("store-lost") != std::string::npos;
  }));
  EXPECT_NE (std::string::npos, got.find ("node=n1 event=refused id=0"));
  EXPECT_EQ (std::string::npos, got.find ("id=199"));
  EXPECT_NE (std::string::npos,
             got.find ("event=store-lost dropped-requests="));
}

TEST_F (Loop, ALogThatNobodyReadsCostsOnlyLines)
{
  int64_t end_us = clock_now_us (clock_system ()) + GIVE_UP_US;
  std::string text (900, 'x');
  while (log.lost == 0 && clock_now_us (clock_system ()) < end_us)
    {
      event_log (&log, EVENT_REQUEST, "refused", "%s", text.c_str ());
      ev_run (loop.ev, EVRUN_NOWAIT);
    }
  EXPECT_GT (log.lost, 0u);
  EXPECT_LE (bytes_size (&log.waiting), 256u * 1024);
}

/* --- settings ---------------------------------------------------------- */

const char SETTINGS[] = R"({"node":"n","zone":"z","service":"s",
 "callers":"10.0.0.1:1","ready":"10.0.0.1:2","announce":"10.0.0.1:3",
 "peer":"10.0.0.1:4","metrics":"10.0.0.1:5","backend":"10.0.0.1:6",
 "store":"10.0.0.2:7","memory_mb":260)";

struct SettingsRow
{
  const char *name;
  std::string text;
  const char *fault; /* path of the fault, NULL is none */
};

class Settings : public testing::TestWithParam<SettingsRow>
{
};

TEST_P (Settings, AreCheckedWhole)
{
  sidecar_settings_t settings;
  error_info_t error = {};
  const SettingsRow &row = GetParam ();
  EXPECT_EQ (row.fault == nullptr,
             sidecar_settings_parse (row.text.data (), row.text.size (),
                                     &settings, &error))
      << error.message;
  if (row.fault != nullptr)
    {
      EXPECT_STREQ (row.fault, error.path);
      EXPECT_NE ('\0', error.message[0]);
    }
}

const SettingsRow settings_rows[] = {
  { "Whole", std::string (SETTINGS) + "}", nullptr },
  { "Unknown", std::string (SETTINGS) + R"(,"odd":1})", "odd" },
  { "Twice", std::string (SETTINGS) + R"(,"node":"m"})", "" },
  { "OutOfRange", std::string (SETTINGS) + R"(,"stop_s":0})", "stop_s" },
  { "WrongType", std::string (SETTINGS) + R"(,"stop_s":"6"})", "stop_s" },
  { "Missing", R"({"node":"n"})", "zone" },
  { "BadAddress", R"({"node":"n","zone":"z","service":"s","callers":"x"})",
    "callers" },
  { "NoJson", "{", "" },
};

INSTANTIATE_TEST_SUITE_P (Table, Settings, testing::ValuesIn (settings_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
