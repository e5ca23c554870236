/* A connection that ends with a request unanswered, or with what its caller
   sent unhandled, says who ended it, how, and what it still owed.  Without
   that, a caller that left cannot be told from a response that was lost.  */

#include "support_edge.h"

extern "C"
{
#include "edge/metrics.h"
}

#include <cerrno>
#include <sys/resource.h>

namespace
{
const std::string HELD = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string READY = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string PART = "GET /part HTTP/1.1\r\nHost:";

/* Leaves requests to /held open, and answers all others.  */
class Closes : public Loop
{
protected:
  std::unique_ptr<Server> server;
  std::unique_ptr<Caller> caller;
  std::vector<http_exchange_t *> held;
  std::vector<http_close_report_t> reports;

  void
  SetUp () override
  {
    Loop::SetUp ();
    server = std::make_unique<Server> (&loop, limits ());
    server->answer = [this] (http_exchange_t *exchange) {
      if (strcmp (bytes_data (&exchange->target), "/held") == 0)
        held.push_back (exchange);
      else
        http_respond (exchange, 200, nullptr, 0, "ok", 2);
    };
    http_server_set_close_callback (
        server->server,
        [] (void *ctx, const http_close_report_t *report) {
          ((Closes *)ctx)->reports.push_back (*report);
        },
        this);
    caller = std::make_unique<Caller> (server->port ());
    ASSERT_TRUE (wait ([&] { return stats ().connections == 1; }));
  }
  void
  TearDown () override
  {
    caller.reset ();
    server.reset ();
    Loop::TearDown ();
  }
  http_server_stats_t
  stats ()
  {
    return http_server_stats (server->server);
  }
  void
  send_until_read (const std::string &text, size_t request_count)
  {
    caller->send (text);
    ASSERT_TRUE (
        wait ([&] { return server->targets.size () == request_count; }));
  }
  /* Makes the caller's kernel reset the connection.  */
  void
  reset_by_caller ()
  {
    struct linger reset = { 1, 0 };
    setsockopt (caller->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    caller->shut ();
  }
};

std::string
repeat (const std::string &text, int count)
{
  std::string all;
  while (count-- > 0)
    all += text;
  return all;
}

/* --- closes by the caller ---------------------------------------------- */

enum class Leave
{
  CLOSES,
  RESETS,
  RESETS_BEFORE_A_SEND
};

struct CallerCloseRow
{
  const char *name;
  std::string sent;
  size_t read_count; /* of requests */
  Leave leave;
  http_caller_end_t end;
  int error;
  uint32_t unanswered;
  uint32_t behind;
};

class CallerCloses : public Closes,
                     public testing::WithParamInterface<CallerCloseRow>
{
};

TEST_P (CallerCloses, SaysHowAndWhatWasOwed)
{
  const CallerCloseRow &row = GetParam ();
  send_until_read (row.sent, row.read_count);
  if (row.leave == Leave::CLOSES)
    caller->shut ();
  else
    reset_by_caller ();
  /* The head is sent before the loop next looks at the socket.  */
  if (row.leave == Leave::RESETS_BEFORE_A_SEND)
    http_start_response (held[0], 200, nullptr, 0, 10);
  ASSERT_TRUE (wait ([&] { return stats ().connections == 0; }));
  ASSERT_EQ (1u, reports.size ());
  EXPECT_EQ (HTTP_CLOSE_CALLER, reports[0].reason);
  EXPECT_STREQ (http_caller_end_name (row.end),
                http_caller_end_name (reports[0].caller_end));
  EXPECT_EQ (row.error, reports[0].caller_errno);
  EXPECT_EQ (row.unanswered, reports[0].unanswered_requests);
  EXPECT_EQ (row.behind, reports[0].responses_behind);
  EXPECT_EQ (row.leave == Leave::RESETS_BEFORE_A_SEND,
             reports[0].unsent_bytes > 0);
  EXPECT_EQ (1u, stats ().caller_end_counts[row.end]);
  EXPECT_EQ (row.unanswered, stats ().caller_end_unanswered_counts[row.end]);
  EXPECT_EQ (row.behind, stats ().responses_behind_counts[HTTP_CLOSE_CALLER]);
}

const CallerCloseRow caller_close_rows[] = {
  { "Close", HELD, 1, Leave::CLOSES, HTTP_CALLER_CLOSED, 0, 1, 0 },
  { "Reset", HELD, 1, Leave::RESETS, HTTP_CALLER_RESET, ECONNRESET, 1, 0 },
  { "ResetFoundBySending", HELD, 1, Leave::RESETS_BEFORE_A_SEND,
    HTTP_CALLER_SEND_FAILED, ECONNRESET, 1, 0 },
  { "CloseWhileReadingIsPaused", repeat (HELD, 5), 4, Leave::CLOSES,
    HTTP_CALLER_FOUND_CLOSED, 0, 4, 0 },
  { "ResetWhileReadingIsPaused", repeat (HELD, 5), 4, Leave::RESETS,
    HTTP_CALLER_FOUND_CLOSED, ECONNRESET, 4, 0 },
  { "CloseWithResponsesBehind", HELD + READY + READY, 3, Leave::CLOSES,
    HTTP_CALLER_CLOSED, 0, 1, 2 },
  { "CloseWithAResponseBetween", HELD + READY + HELD, 3, Leave::CLOSES,
    HTTP_CALLER_CLOSED, 0, 2, 1 },
};

INSTANTIATE_TEST_SUITE_P (Table, CallerCloses,
                          testing::ValuesIn (caller_close_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST_F (Closes, CallerThatHasItsResponsesIsCountedOnly)
{
  send_until_read (READY, 1);
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  caller->send (PART);
  ASSERT_TRUE (wait ([&] {
    return http_server_unhandled_input (server->server).partly_read == 1;
  }));
  caller->shut ();
  ASSERT_TRUE (wait ([&] { return stats ().connections == 0; }));
  EXPECT_TRUE (reports.empty ());
  EXPECT_EQ (1u, stats ().caller_end_counts[HTTP_CALLER_CLOSED]);
}

TEST_F (Closes, TellsTheAgeOfTheOldestUnansweredRequest)
{
  send_until_read (HELD, 1);
  int64_t read_us = loop.now_us;
  send_until_read (HELD, 2);
  ASSERT_TRUE (wait ([&] { return loop.now_us - read_us > 50 * US_PER_MS; }));
  caller->shut ();
  ASSERT_TRUE (wait ([&] { return !reports.empty (); }));
  EXPECT_EQ (loop.now_us - read_us, reports[0].oldest_unanswered_us);
}

/* --- closes by this side ----------------------------------------------- */

struct OwnCloseRow
{
  const char *name;
  std::string read;   /* by the server */
  std::string unread; /* arrives after the server has stopped reading */
  size_t read_count;  /* of requests */
  bool abort;         /* the first response, else the server is freed */
  bool partly_read;
  size_t unparsed_bytes;
  uint32_t unanswered;
  uint32_t behind;
};

class OwnCloses : public Closes,
                  public testing::WithParamInterface<OwnCloseRow>
{
};

TEST_P (OwnCloses, SaysWhatWasNotHandled)
{
  const OwnCloseRow &row = GetParam ();
  send_until_read (row.read, row.read_count);
  ASSERT_TRUE (wait ([&] {
    return http_server_unhandled_input (server->server).partly_read
           == row.partly_read;
  }));
  http_server_stop_reading (server->server);
  caller->send (row.unread);
  EXPECT_TRUE (wait ([&] {
    return http_server_unhandled_input (server->server).unread
           == !row.unread.empty ();
  }));
  if (row.abort)
    {
      http_start_response (held[0], 200, nullptr, 0, 10);
      http_abort_response (held[0]);
    }
  server.reset ();
  ASSERT_EQ (1u, reports.size ());
  EXPECT_EQ (row.abort ? HTTP_CLOSE_ABORTED : HTTP_CLOSE_FREED,
             reports[0].reason);
  EXPECT_EQ (HTTP_CALLER_OPEN, reports[0].caller_end);
  EXPECT_EQ (row.unread.size (), reports[0].unread_bytes);
  EXPECT_EQ (row.unparsed_bytes, reports[0].unparsed_bytes);
  EXPECT_EQ (row.partly_read && row.unparsed_bytes == 0,
             reports[0].partly_read);
  EXPECT_EQ (row.unanswered, reports[0].unanswered_requests);
  EXPECT_EQ (row.behind, reports[0].responses_behind);
}

const OwnCloseRow own_close_rows[] = {
  { "RequestUnread", "", HELD, 0, false, false, 0, 0, 0 },
  { "RequestUnreadBehindAnother", HELD, READY, 1, false, false, 0, 1, 0 },
  { "RequestPartlyRead", PART, "", 0, false, true, 0, 0, 0 },
  { "RequestNotParsed", repeat (HELD, 5), "", 4, false, true, HELD.size (), 4,
    0 },
  { "ResponseBehind", HELD + READY, "", 2, false, false, 0, 1, 1 },
  { "ResponseBehindAnAbortedOne", HELD + READY, "", 2, true, false, 0, 1, 1 },
};

INSTANTIATE_TEST_SUITE_P (Table, OwnCloses, testing::ValuesIn (own_close_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST_F (Closes, NewConnectionThatIsFreedIsReported)
{
  server.reset ();
  ASSERT_EQ (1u, reports.size ());
  EXPECT_EQ (HTTP_CLOSE_FREED, reports[0].reason);
  EXPECT_EQ (0u, reports[0].requests);
}

TEST_F (Closes, IdleConnectionIsFreedWithoutAReport)
{
  send_until_read (READY, 1);
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  server.reset ();
  EXPECT_TRUE (reports.empty ());
}

/* --- requests that arrive together during a drain ----------------------- */

TEST_F (Closes, DrainingServerAnswersAllRequestsOfOneRead)
{
  http_server_drain (server->server);
  caller->send (READY + READY + READY);
  ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
  EXPECT_EQ (3u, server->targets.size ());
  EXPECT_EQ (0u, stats ().late_requests);
  EXPECT_EQ (caller->got.find ("Connection: close"),
             caller->got.rfind ("Connection: close"));
}

TEST_F (Closes, DrainingServerReadsARequestThatArrivedInPart)
{
  http_server_drain (server->server);
  caller->send (READY + READY.substr (0, 9));
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  caller->send (READY.substr (9));
  ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
  EXPECT_EQ (2u, server->targets.size ());
  EXPECT_EQ (0u, stats ().late_requests);
}

/* --- input that is discarded ------------------------------------------- */

struct DiscardRow
{
  const char *name;
  std::string with;  /* sent with the last request */
  std::string after; /* sent before its response */
  uint32_t requests;
};

class Discards : public Closes, public testing::WithParamInterface<DiscardRow>
{
};

TEST_P (Discards, RequestsBehindTheLastOneAreCounted)
{
  const DiscardRow &row = GetParam ();
  send_until_read ("GET /held HTTP/1.1\r\nHost: h\r\n"
                   "Connection: close\r\n\r\n"
                       + row.with,
                   1);
  size_t size = row.with.size () + row.after.size ();
  caller->send (row.after);
  EXPECT_TRUE (wait ([&] { return stats ().late_bytes == size; }));
  http_respond (held[0], 200, nullptr, 0, "ok", 2);
  ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
  caller->shut ();
  ASSERT_TRUE (wait ([&] { return stats ().connections == 0; }));
  ASSERT_EQ (1u, reports.size ());
  EXPECT_EQ (HTTP_CLOSE_COMPLETED, reports[0].reason);
  EXPECT_EQ (size, reports[0].late_bytes);
  EXPECT_EQ (row.requests, reports[0].late_requests);
  EXPECT_EQ (1u, reports[0].requests);
}

const DiscardRow discard_rows[] = {
  { "InTheSameRead", READY, "", 1 },
  { "BeforeTheResponse", "", READY + READY, 2 },
  { "InParts", READY.substr (0, 9), READY.substr (9) + PART, 1 },
  { "Malformed", "", "no request\r\n\r\n" + READY, 0 },
};

INSTANTIATE_TEST_SUITE_P (Table, Discards, testing::ValuesIn (discard_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- connections that wait for their first request ---------------------- */

TEST_F (Closes, DrainLeavesTimeForTheFirstRequest)
{
  http_server_drain (server->server);
  ASSERT_EQ (1u, stats ().connections);
  EXPECT_TRUE (http_server_is_busy (server->server));
  caller->send (READY);
  ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
  EXPECT_TRUE (caller->has ("ok"));
  EXPECT_TRUE (caller->has ("Connection: close"));
}

TEST_F (Closes, DrainClosesAConnectionThatBringsNoRequest)
{
  http_server_drain (server->server);
  ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
  EXPECT_EQ (1u, stats ().close_counts[HTTP_CLOSE_DRAINED]);
  EXPECT_FALSE (http_server_is_busy (server->server));
}

TEST_F (Closes, DrainClosesAUsedConnection)
{
  send_until_read (READY, 1);
  ASSERT_TRUE (wait ([&] { return caller->has ("ok"); }));
  http_server_drain (server->server);
  EXPECT_FALSE (http_server_is_busy (server->server));
  EXPECT_TRUE (wait ([&] { return caller->is_over (); }));
}

TEST_F (Closes, ConnectionThatWaitsToBeAcceptedIsServedAfterTheListenerCloses)
{
  Caller late (server->port ());
  late.send (READY);
  http_server_stop_listening (server->server);
  ASSERT_TRUE (wait ([&] { return late.has ("ok") || late.reset; }));
  EXPECT_TRUE (late.has ("ok"));
}

/* --- the log ------------------------------------------------------------ */

TEST_F (Loop, RefusalsDoNotDisplaceLinesAboutConnections)
{
  for (int i = 0; i < 200; i++)
    event_log_write (&log, EVENT_REQUEST, "request-end", "id=%d", i);
  for (int i = 0; i < 200; i++)
    event_log_write (&log, EVENT_CONNECTION, "connection-cut", "cut=%d", i);
  event_log_write (&log, EVENT_LIFECYCLE, "stopped", "open=0");
  std::string got;
  ASSERT_TRUE (wait ([&] {
    got += read_all (log_pipe[0]);
    return got.find ("event=stopped") != std::string::npos;
  }));
  EXPECT_NE (std::string::npos, got.find ("event=connection-cut"));
  EXPECT_NE (std::string::npos, got.find ("cut=0\n"));
  EXPECT_EQ (std::string::npos, got.find ("cut=199\n"));
  EXPECT_NE (std::string::npos, got.find (" dropped-connections="));
}

/* --- errors without a caller to tell ------------------------------------ */

/* Leaves no free descriptor until it is destroyed.  */
struct NoDescriptors
{
  struct rlimit before;

  NoDescriptors ()
  {
    EXPECT_EQ (0, getrlimit (RLIMIT_NOFILE, &before));
    int lowest_free = dup (0);
    close (lowest_free);
    struct rlimit none = before;
    none.rlim_cur = (rlim_t)lowest_free;
    EXPECT_EQ (0, setrlimit (RLIMIT_NOFILE, &none));
  }
  ~NoDescriptors () { setrlimit (RLIMIT_NOFILE, &before); }
};

TEST_F (Closes, FailureToAcceptIsCounted)
{
  caller = std::make_unique<Caller> (server->port ());
  caller->send (READY);
  {
    NoDescriptors none;
    ASSERT_TRUE (wait ([&] { return stats ().accepting.failures > 0; }));
    EXPECT_EQ (EMFILE, stats ().accepting.last_errno);
  }
  EXPECT_TRUE (wait ([&] { return caller->has ("ok"); }));
}

TEST_F (Two, FailureToAcceptAPeerIsCounted)
{
  Caller peer (vm_id_port (peer_set_own_vm (a->peers)));
  NoDescriptors none;
  ASSERT_TRUE (
      wait ([&] { return peer_set_stats (a->peers).accepting.failures > 0; }));
  EXPECT_EQ (EMFILE, peer_set_stats (a->peers).accepting.last_errno);
}

TEST_F (Two, FrameThatCannotBeEncodedIsCounted)
{
  a->service = std::string (MESH_NAME_MAX + 1, 's');
  peer_set_send_reports (a->peers, true, true);
  peer_set_stats_t stats = peer_set_stats (a->peers);
  EXPECT_EQ (1u, stats.frames_dropped[TRAFFIC_REPORT]);
  EXPECT_EQ (0u, stats.frames_dropped[TRAFFIC_CALL]);
}

TEST_F (Loop, MetricsTellClosesAndSwallowedErrorsApart)
{
  metrics_input_t input = {};
  bytes_t text = {};
  input.loop = &loop;
  input.log = &log;
  input.callers.caller_end_counts[HTTP_CALLER_RESET] = 1;
  input.callers.caller_end_unanswered_counts[HTTP_CALLER_SEND_FAILED] = 2;
  input.callers.responses_behind_counts[HTTP_CLOSE_CALLER] = 3;
  input.callers.unread_counts[HTTP_CLOSE_FREED] = 4;
  input.peers.frames_dropped[TRAFFIC_REPLY] = 5;
  input.accepting[LISTENER_CALLERS].failures = 6;
  input.accepting[LISTENER_PEERS].paused_us = 7;
  input.callers.refused_beyond_limit = 8;
  input.descriptors.parts[DESCRIPTORS_LINKS] = 9;
  input.descriptors_open[DESCRIPTORS_CALLERS] = 10;
  input.runner.connections.sockets_lacking = 11;
  input.store.sockets_lacking = 12;
  input.peers.sockets_lacking = 13;
  metrics_write (&text, &input);
  std::string got (bytes_data (&text), bytes_size (&text));
  bytes_free (&text);
  const char *const lines[]
      = { "caller_ends_total{caller_end=\"reset\"} 1",
          "caller_ends_unanswered_total{caller_end=\"send-failed\"} 2",
          "caller_responses_held_back_total{end=\"caller\"} 3",
          "caller_connections_unread_total{end=\"freed\"} 4",
          "peer_frames_dropped_total{kind=\"answer\"} 5",
          "accepts_failed_total{listener=\"callers\"} 6",
          "accepting_paused_us_total{listener=\"peer\"} 7",
          "caller_refused_beyond_limit_total 8",
          "descriptors_allowed{use=\"links\"} 9",
          "descriptors_open{use=\"callers\"} 10",
          "sockets_lacking_total{use=\"backend\"} 11",
          "sockets_lacking_total{use=\"store\"} 12",
          "sockets_lacking_total{use=\"links\"} 13" };
  for (const char *line : lines)
    EXPECT_NE (std::string::npos,
               got.find ("redwingford_" + std::string (line) + "\n"))
        << line;
}
}
