/* Each request whose first byte was read is owed a response until it has one,
   or its connection is closed, and is counted as what it is meanwhile and by
   how it ended.  */

#include "support_edge.h"

extern "C"
{
#include "edge/metrics.h"
#include "invariant.h"
}

namespace
{
const std::string HELD = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string READY = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string LARGE = "GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string PART = "GET /part HTTP/1.1\r\nHost:";

struct Owes
{
  uint32_t partly_read;
  uint32_t open;
  uint32_t unsent;
};

enum class End
{
  CALLER_CLOSES,
  SERVER_IS_FREED,
  RESPONSE_IS_ABORTED
};

struct LedgerRow
{
  const char *name;
  std::string sent;
  Owes owed;
  End end;
  http_close_reason_t reason;
  Owes left; /* when the connection is closed */
};

class Ledger : public Loop, public testing::WithParamInterface<LedgerRow>
{
protected:
  std::vector<http_exchange_t *> held;
  std::string large = std::string (16 << 20, 'x');
};

TEST_P (Ledger, CountsWhatIsOwedAndWhatWasLeft)
{
  const LedgerRow &row = GetParam ();
  auto server = std::make_unique<Server> (&loop, limits ());
  http_server_stats_t at_close = {};
  server->answer = [this] (http_exchange_t *exchange) {
    const char *path = bytes_data (&exchange->target);
    if (strcmp (path, "/held") == 0)
      held.push_back (exchange);
    else if (strcmp (path, "/ready") == 0)
      http_respond (exchange, 200, nullptr, 0, "ok", 2);
    else
      http_respond (exchange, 200, nullptr, 0, large.data (), large.size ());
  };
  Caller caller (server->port ());
  caller.send (row.sent);
  auto stats = [&] { return http_server_stats (server->server); };
  ASSERT_TRUE (wait ([&] {
    return stats ().partly_read == row.owed.partly_read
           && stats ().open_exchanges == row.owed.open
           && stats ().unsent == row.owed.unsent;
  }));
  std::pair<http_server_t *, http_server_stats_t *> seen
      = { server->server, &at_close };
  http_server_set_close_callback (
      server->server,
      [] (void *ctx, const http_close_report_t *) {
        auto *pair = (std::pair<http_server_t *, http_server_stats_t *> *)ctx;
        *pair->second = http_server_stats (pair->first);
      },
      &seen);
  if (row.end == End::RESPONSE_IS_ABORTED)
    {
      http_start_response (held[0], 200, nullptr, 0, 10);
      http_abort_response (held[0]);
      ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
    }
  if (row.end == End::SERVER_IS_FREED)
    server.reset ();
  else
    {
      caller.shut ();
      ASSERT_TRUE (wait ([&] { return stats ().connections == 0; }));
    }
  EXPECT_EQ (row.left.partly_read, at_close.partly_read_counts[row.reason]);
  EXPECT_EQ (row.left.open, at_close.unanswered_counts[row.reason]);
  EXPECT_EQ (row.left.unsent, at_close.unsent_counts[row.reason]);
  EXPECT_EQ (0u, at_close.partly_read);
  EXPECT_EQ (0u, at_close.open_exchanges);
  EXPECT_EQ (0u, at_close.unsent);
  EXPECT_EQ (0, at_close.oldest_us);
}

const LedgerRow ledger_rows[] = {
  { "Open",
    HELD,
    { 0, 1, 0 },
    End::CALLER_CLOSES,
    HTTP_CLOSE_CALLER,
    { 0, 1, 0 } },
  { "OpenAndPartlyRead",
    HELD + PART,
    { 1, 1, 0 },
    End::CALLER_CLOSES,
    HTTP_CLOSE_CALLER,
    { 1, 1, 0 } },
  { "PartlyReadAtTheEnd",
    PART,
    { 1, 0, 0 },
    End::SERVER_IS_FREED,
    HTTP_CLOSE_FREED,
    { 1, 0, 0 } },
  { "ResponseBehind",
    HELD + READY,
    { 0, 1, 1 },
    End::SERVER_IS_FREED,
    HTTP_CLOSE_FREED,
    { 0, 1, 1 } },
  { "ResponseNotTaken",
    LARGE,
    { 0, 0, 1 },
    End::CALLER_CLOSES,
    HTTP_CLOSE_CALLER,
    { 0, 0, 1 } },
  { "ResponsesNotTakenAndOpen",
    LARGE + READY + HELD,
    { 0, 1, 2 },
    End::SERVER_IS_FREED,
    HTTP_CLOSE_FREED,
    { 0, 1, 2 } },
  { "Aborted",
    HELD + READY + HELD,
    { 0, 2, 1 },
    End::RESPONSE_IS_ABORTED,
    HTTP_CLOSE_ABORTED,
    { 0, 2, 1 } },
};

INSTANTIATE_TEST_SUITE_P (Table, Ledger, testing::ValuesIn (ledger_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- the ledger alone -----------------------------------------------------
 */

class LedgerAlone : public testing::Test
{
protected:
  ledger_t ledger = {};
  ledger_account_t account = {};
  int violations = 0;

  void
  SetUp () override
  {
    invariant_set_handler ([] (void *ctx, const char *) { ++*(int *)ctx; },
                           &violations);
  }
  void
  TearDown () override
  {
    invariant_set_handler (nullptr, nullptr);
  }
};

TEST_F (LedgerAlone, TellsTheAgeOfTheOldestThatHasNoResponse)
{
  ledger_entry_t entries[3];
  EXPECT_EQ (0, ledger_oldest_us (&ledger, 100));
  for (int i = 0; i < 3; i++)
    ledger_enter (&ledger, &account, &entries[i], 10 + i);
  ledger_advance (&ledger, &account, &entries[0]);
  EXPECT_EQ (90, ledger_oldest_us (&ledger, 100));
  ledger_advance (&ledger, &account, &entries[0]);
  EXPECT_EQ (89, ledger_oldest_us (&ledger, 100));
  ledger_leave (&ledger, &account, &entries[2], 3);
  ledger_leave (&ledger, &account, &entries[1], 3);
  EXPECT_EQ (0, ledger_oldest_us (&ledger, 100));
  ledger_answered (&ledger, &account, 1);
  ledger_check (&ledger, &account);
  EXPECT_EQ (3u, ledger.entered);
  EXPECT_EQ (1u, ledger.answered);
  EXPECT_EQ (2u, ledger.abandoned[LEDGER_READING][3]);
  EXPECT_EQ (0, violations);
}

TEST_F (LedgerAlone, RequestThatIsLostIsFound)
{
  ledger_entry_t entry;
  ledger_account_t forgotten = {};
  ledger_enter (&ledger, &account, &entry, 10);
  ledger_check (&ledger, &account);
  EXPECT_EQ (0, violations);
  ledger_check (&ledger, &forgotten);
  EXPECT_EQ (1, violations);
  ledger.counts[LEDGER_READING] = 0;
  ledger_check (&ledger, &forgotten);
  EXPECT_EQ (3, violations);
}

TEST_F (LedgerAlone, SecondResponseIsFound)
{
  ledger_entry_t entry;
  ledger_enter (&ledger, &account, &entry, 10);
  ledger_advance (&ledger, &account, &entry);
  ledger_advance (&ledger, &account, &entry);
  ledger_answered (&ledger, &account, 1);
  EXPECT_EQ (0, violations);
  ledger_answered (&ledger, &account, 1);
  EXPECT_EQ (1, violations);
}

TEST (LedgerMetrics, TellWhatIsOwed)
{
  loop_t loop = {};
  error_info_t error = {};
  ASSERT_TRUE (loop_open (&loop, clock_system (), &error));
  event_log_t log = {};
  metrics_input_t input = {};
  bytes_t text = {};
  input.loop = &loop;
  input.log = &log;
  input.callers.partly_read = 1;
  input.callers.open_exchanges = 2;
  input.callers.unsent = 3;
  input.callers.oldest_us = 4 * US_PER_MS;
  input.callers.partly_read_counts[HTTP_CLOSE_FREED] = 5;
  input.callers.unsent_counts[HTTP_CLOSE_UNREAD] = 6;
  metrics_write (&text, &input);
  std::string got (bytes_data (&text), bytes_size (&text));
  bytes_free (&text);
  loop_close (&loop);
  const char *const lines[]
      = { "caller_requests_partly_read 1",
          "caller_requests_open 2",
          "caller_responses_unsent 3",
          "caller_request_oldest_ms 4",
          "caller_requests_left_partly_read_total{end=\"freed\"} 5",
          "caller_responses_left_unsent_total{end=\"unread\"} 6" };
  for (const char *line : lines)
    EXPECT_NE (std::string::npos,
               got.find ("redwingford_" + std::string (line) + "\n"))
        << line;
}
}
