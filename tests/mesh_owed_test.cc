/* A connection is closed by this side only when each request that was read
   from it has been answered or refused, and what was sent can still reach its
   caller.  A close with bytes unread resets the connection, and the kernel
   then drops the responses that it has not delivered.  */

#include "support_edge.h"

extern "C"
{
#include "edge/http_server_impl.h"
}

#include <thread>

namespace
{
const std::string HELD = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string LARGE = "GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string LAST
    = "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
const std::string POST_HEAD = "POST /body HTTP/1.1\r\nHost: h\r\n";
const size_t FITS_SOCKET_BYTES = 1 << 20;
const size_t EXCEEDS_SOCKET_BYTES = 16 << 20;
const int64_t LONGER_THAN_LINGER_US = 1300 * US_PER_MS;

/* Leaves requests to /held open, and answers all others.  */
class Owed : public Loop
{
protected:
  std::unique_ptr<Server> server;
  std::unique_ptr<Caller> caller;
  std::vector<http_exchange_t *> held;
  std::string large;

  void
  start (const http_limits_t &limits, size_t large_size = 2)
  {
    large = std::string (large_size, 'x') + "END";
    server = std::make_unique<Server> (&loop, limits);
    server->answer = [this] (http_exchange_t *exchange) {
      if (strcmp (bytes_data (&exchange->target), "/held") == 0)
        held.push_back (exchange);
      else
        http_respond (exchange, 200, nullptr, 0, large.data (), large.size ());
    };
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
  void
  run_loop_for (int64_t us)
  {
    int64_t until_us = loop.now_us + us;
    ASSERT_TRUE (wait ([&] { return loop.now_us > until_us; }));
  }
};

http_limits_t
patient_limits ()
{
  http_limits_t made = limits ();
  made.body_timeout_us = 10 * US_PER_S;
  return made;
}

/* --- refusals and limits behind open requests --------------------------- */

struct BehindRow
{
  const char *name;
  std::string behind; /* sent behind two open requests */
  const char *refusal;
  bool late_loop;    /* the loop is late by more than each limit */
  bool lower_limits; /* a change lowers each limit while they are open */
};

class Behind : public Owed, public testing::WithParamInterface<BehindRow>
{
};

TEST_P (Behind, OpenRequestsAreAnswered)
{
  const BehindRow &row = GetParam ();
  http_limits_t used = limits ();
  used.total_body_bytes = 500;
  used.idle_timeout_us = 300 * US_PER_MS;
  start (used);
  send_until_read (HELD + HELD, 2);
  caller->send (row.behind);
  if (row.lower_limits)
    {
      used.header_bytes = 1;
      used.idle_timeout_us = used.header_timeout_us = used.body_timeout_us
          = 10 * US_PER_MS;
      http_server_set_limits (server->server, &used, 0);
    }
  if (row.late_loop)
    std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  bool is_refused = row.refusal[0] != '\0';
  ASSERT_TRUE (
      wait ([&] { return stats ().malformed_requests == is_refused; }));
  run_loop_for (800 * US_PER_MS);
  ASSERT_EQ (0, server->gone);
  ASSERT_EQ (1u, stats ().connections);
  http_respond (held[1], 200, nullptr, 0, "second", 6);
  http_respond (held[0], 200, nullptr, 0, "first", 5);
  ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
  size_t first = caller->got.find ("first");
  size_t second = caller->got.find ("second");
  EXPECT_LT (first, second);
  EXPECT_NE (std::string::npos, second);
  EXPECT_NE (std::string::npos, caller->got.find (row.refusal, second));
  EXPECT_FALSE (caller->reset);
  for (int i = 0; i < HTTP_CLOSE_REASON_COUNT; i++)
    EXPECT_EQ (0u, stats ().unanswered_counts[i])
        << http_close_reason_name ((http_close_reason_t)i);
}

const BehindRow behind_rows[] = {
  { "Malformed", "no request\r\n\r\n", " 400 ", false, false },
  { "HeadTooLarge",
    "GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string (5000, 'a'), " 431 ",
    false, false },
  { "BodyTooLarge", POST_HEAD + "Content-Length: 2000\r\n\r\n", " 413 ", false,
    false },
  { "ChunksTooLarge",
    POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n"
        + std::string (2000, 'a'),
    " 413 ", false, false },
  { "MemoryOfBodies",
    POST_HEAD + "Content-Length: 900\r\n\r\n" + std::string (900, 'a'),
    " 503 ", false, false },
  { "HeadOverdue", "GET / HTTP/1.1\r\nHost:", " 408 ", false, false },
  { "HeadOverdueInALateLoop", "GET / HTTP/1.1\r\nHost:", " 408 ", true,
    false },
  { "BodyOverdue", POST_HEAD + "Content-Length: 9\r\n\r\nab", " 408 ", false,
    false },
  { "Idle", "", "", false, false },
  { "IdleInALateLoop", "", "", true, false },
  { "IdleLimitLowered", "", "", false, true },
  { "IdleLimitLoweredInALateLoop", "", "", true, true },
};

INSTANTIATE_TEST_SUITE_P (Table, Behind, testing::ValuesIn (behind_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- the last response and bytes that follow it ------------------------- */

struct LastRow
{
  const char *name;
  bool drain;     /* makes the response the last one, else the request does */
  bool late_loop; /* the bytes arrive while the loop does not run */
};

class LastResponse : public Owed, public testing::WithParamInterface<LastRow>
{
};

TEST_P (LastResponse, ReachesACallerThatSendsMoreBeforeItReadsOn)
{
  const LastRow &row = GetParam ();
  start (patient_limits (), FITS_SOCKET_BYTES);
  if (row.drain)
    http_server_drain (server->server);
  send_until_read (row.drain ? LARGE : LAST, 1);
  ASSERT_TRUE (
      wait ([&] { return http_server_has_unacked_output (server->server); }));
  run_loop_for (50 * US_PER_MS);
  if (row.late_loop)
    {
      caller->send (HELD);
      std::this_thread::sleep_for (
          std::chrono::microseconds (LONGER_THAN_LINGER_US));
    }
  run_loop_for (LONGER_THAN_LINGER_US);
  if (!row.late_loop)
    caller->send (HELD);
  run_loop_for (50 * US_PER_MS);
  EXPECT_TRUE (wait ([&] { return caller->has ("END") || caller->reset; }));
  EXPECT_NE (std::string::npos, caller->got.find (large));
  EXPECT_FALSE (caller->reset);
}

const LastRow last_rows[] = {
  { "CloseAsked", false, false },
  { "CloseAskedInALateLoop", false, true },
  { "Drain", true, false },
  { "DrainInALateLoop", true, true },
};

INSTANTIATE_TEST_SUITE_P (Table, LastResponse, testing::ValuesIn (last_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- aborted responses --------------------------------------------------- */

struct AbortRow
{
  const char *name;
  size_t before_size; /* of the response before the aborted one */
  bool unread;        /* bytes have arrived that were not read */
};

class Abort : public Owed, public testing::WithParamInterface<AbortRow>
{
};

TEST_P (Abort, LeavesTheResponsesBeforeItWhole)
{
  const AbortRow &row = GetParam ();
  start (patient_limits (), row.before_size);
  send_until_read (LARGE + HELD, 2);
  http_start_response (held[0], 200, nullptr, 0, 10);
  if (row.unread)
    caller->send (HELD);
  http_abort_response (held[0]);
  ASSERT_TRUE (wait ([&] { return caller->is_over () || caller->reset; }));
  EXPECT_NE (std::string::npos, caller->got.find (large));
  EXPECT_FALSE (caller->reset);
  caller->shut ();
  ASSERT_TRUE (wait ([&] { return stats ().connections == 0; }));
  EXPECT_EQ (1u, stats ().close_counts[HTTP_CLOSE_ABORTED]);
  EXPECT_EQ (1u, stats ().unanswered_counts[HTTP_CLOSE_ABORTED]);
  EXPECT_EQ (0u, stats ().open_exchanges);
}

const AbortRow abort_rows[] = {
  { "InTheSocket", FITS_SOCKET_BYTES, false },
  { "InTheSocketWithBytesUnread", FITS_SOCKET_BYTES, true },
  { "NotTakenByTheSocket", EXCEEDS_SOCKET_BYTES, false },
  { "NotTakenByTheSocketWithBytesUnread", EXCEEDS_SOCKET_BYTES, true },
};

INSTANTIATE_TEST_SUITE_P (Table, Abort, testing::ValuesIn (abort_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- responses made while a connection closes ---------------------------- */

/* The end of one request lets the handler respond to the next one at once, or
   drain the server.  */
struct NextRow
{
  const char *name;
  void (*respond) (http_exchange_t *);
  bool aborted; /* the first response is, else the caller closes */
  int gone;     /* calls of caller_gone */
};

class Next : public Owed, public testing::WithParamInterface<NextRow>
{
};

TEST_P (Next, ResponseIsNotSentOnAConnectionThatCloses)
{
  const NextRow &row = GetParam ();
  start (patient_limits ());
  send_until_read (HELD + HELD + HELD + HELD, 4);
  server->after_gone = [&] (http_exchange_t *gone) {
    if (gone == held[1])
      row.respond (held[2]);
    http_server_check_ledger (server->server);
  };
  http_start_response (held[0], 200, nullptr, 0, 1000);
  http_write_body (held[0], "part", 4);
  ASSERT_TRUE (wait ([&] { return caller->has ("part"); }));
  std::string got = caller->got;
  http_close_reason_t reason
      = row.aborted ? HTTP_CLOSE_ABORTED : HTTP_CLOSE_CALLER;
  if (row.aborted)
    {
      http_abort_response (held[0]);
      ASSERT_TRUE (wait ([&] { return caller->is_over (); }));
    }
  caller->shut ();
  ASSERT_TRUE (wait ([&] { return stats ().connections == 0; }));
  EXPECT_EQ (got, caller->got);
  EXPECT_FALSE (caller->reset);
  EXPECT_EQ (row.gone, server->gone);
  EXPECT_EQ (4u, stats ().unanswered_counts[reason]);
  EXPECT_EQ (0u, stats ().unsent_counts[reason]);
  EXPECT_EQ (0u, stats ().open_exchanges);
  EXPECT_EQ (0u, stats ().unsent);
  http_server_check_ledger (server->server);
}

void
respond_whole (http_exchange_t *exchange)
{
  http_respond (exchange, 503, nullptr, 0, "later", 5);
}
void
respond_in_pieces (http_exchange_t *exchange)
{
  http_start_response (exchange, 503, nullptr, 0, -1);
  http_write_body (exchange, "later", 5);
  http_end_response (exchange);
}
void
respond_in_part (http_exchange_t *exchange)
{
  http_start_response (exchange, 503, nullptr, 0, -1);
  http_write_body (exchange, "later", 5);
}
void
abort_begun (http_exchange_t *exchange)
{
  respond_in_part (exchange);
  http_abort_response (exchange);
}

/* Closes the connection, or finds it closed.  */
void
drain (http_exchange_t *exchange)
{
  http_server_drain (exchange->connection->server);
}

const NextRow next_rows[] = {
  { "WholeAfterAnAbortedOne", respond_whole, true, 2 },
  { "InPiecesAfterAnAbortedOne", respond_in_pieces, true, 2 },
  { "InPartAfterAnAbortedOne", respond_in_part, true, 3 },
  { "AbortedAfterAnAbortedOne", abort_begun, true, 2 },
  { "DrainAfterAnAbortedOne", drain, true, 3 },
  { "WholeAfterTheCallerClosed", respond_whole, false, 3 },
  { "InPiecesAfterTheCallerClosed", respond_in_pieces, false, 3 },
  { "InPartAfterTheCallerClosed", respond_in_part, false, 4 },
  { "AbortedAfterTheCallerClosed", abort_begun, false, 3 },
  { "DrainAfterTheCallerClosed", drain, false, 4 },
};

INSTANTIATE_TEST_SUITE_P (Table, Next, testing::ValuesIn (next_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- callers that read slowly -------------------------------------------- */

struct SlowRow
{
  const char *name;
  size_t size; /* of the response */
  int slow_reads;
};

class SlowCaller : public Owed, public testing::WithParamInterface<SlowRow>
{
};

TEST_P (SlowCaller, GetsItsWholeResponseAndMaySendMore)
{
  const SlowRow &row = GetParam ();
  http_limits_t used = limits ();
  used.idle_timeout_us = used.body_timeout_us;
  start (used, row.size);
  send_until_read (LARGE, 1);
  std::string block (64 * 1024, '\0');
  for (int i = 0; i < row.slow_reads; i++)
    {
      run_loop_for (used.body_timeout_us / 4);
      ssize_t size = recv (caller->fd, &block[0], block.size (), 0);
      ASSERT_LT (0, size);
      caller->got.append (block, 0, (size_t)size);
    }
  caller->send (HELD);
  run_loop_for (50 * US_PER_MS);
  EXPECT_TRUE (wait ([&] { return caller->has ("END") || caller->ended; }));
  EXPECT_NE (std::string::npos, caller->got.find (large));
  EXPECT_FALSE (caller->reset);
  EXPECT_EQ (1u, held.size ());
}

const SlowRow slow_rows[] = {
  { "ThatTheSocketHolds", FITS_SOCKET_BYTES, 12 },
  { "ThatTheSocketDoesNotHold", EXCEEDS_SOCKET_BYTES, 30 },
};

INSTANTIATE_TEST_SUITE_P (Table, SlowCaller, testing::ValuesIn (slow_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
