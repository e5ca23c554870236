/* A draining connection is read until its last response is sent.  A request
   that is read and discarded gets neither a response nor a refusal.  */

#include "support_edge.h"

namespace
{
std::string
get_request (const std::string &path)
{
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

size_t
count_of (const std::string &part, const std::string &text)
{
  size_t count = 0;
  for (size_t at = text.find (part); at != std::string::npos;
       at = text.find (part, at + 1))
    count++;
  return count;
}

/* How the response to the second request, behind the first one, is written:
   at once, or in pieces that end before or after the first response.  */
typedef enum second_response_t
{
  WHOLE,
  ENDED_BEFORE_FIRST,
  ENDED_AFTER_FIRST
} second_response_t;

struct DiscardedRow
{
  const char *name;
  second_response_t second;
  bool third_request;
};

class Discarded : public Loop, public testing::WithParamInterface<DiscardedRow>
{
};

TEST_P (Discarded, RequestBehindAPendingResponseOfADrainingServerIsAnswered)
{
  const DiscardedRow &row = GetParam ();
  Server server (&loop, limits ());
  Caller caller (server.port ());
  caller.send (get_request ("/1") + get_request ("/2"));
  ASSERT_TRUE (wait ([&] { return server.open.size () == 2; }));
  http_exchange_t *first = server.open[0];
  http_exchange_t *second = server.open[1];
  http_server_drain (server.server);
  if (row.second == WHOLE)
    http_respond (second, 200, "N: 2\r\n", 6, "two", 3);
  else
    {
      http_start_response (second, 200, "N: 2\r\n", 6, -1);
      http_write_body (second, "two", 3);
    }
  if (row.second == ENDED_BEFORE_FIRST)
    http_end_response (second);
  if (row.third_request)
    {
      caller.send (get_request ("/3"));
      ASSERT_TRUE (wait ([&] { return server.targets.size () == 3; }));
    }
  http_respond (first, 200, nullptr, 0, "one", 3);
  if (row.second == ENDED_AFTER_FIRST)
    http_end_response (second);
  if (row.third_request)
    http_respond (server.open[2], 200, nullptr, 0, "three", 5);
  ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
  EXPECT_EQ (row.third_request ? 3u : 2u,
             count_of ("HTTP/1.1 200 OK\r\n", caller.got))
      << caller.got;
  EXPECT_TRUE (caller.has (row.third_request ? "three" : "two"));
  EXPECT_EQ (0u, http_server_stats (server.server).late_requests);
  /* Only the last response announces the close.  */
  EXPECT_EQ (1u, count_of ("Connection: close\r\n", caller.got));
  EXPECT_GT (caller.got.find ("Connection: close\r\n"),
             caller.got.find (row.third_request ? "two" : "one"));
}

const DiscardedRow discarded_rows[] = {
  { "BehindAWholeResponse", WHOLE, true },
  { "BehindAResponseInPieces", ENDED_BEFORE_FIRST, true },
  { "BehindAnUnfinishedResponse", ENDED_AFTER_FIRST, true },
  { "NoneBehindAWholeResponse", WHOLE, false },
  { "NoneBehindAResponseInPieces", ENDED_BEFORE_FIRST, false },
  { "NoneBehindAnUnfinishedResponse", ENDED_AFTER_FIRST, false },
};

INSTANTIATE_TEST_SUITE_P (Table, Discarded, testing::ValuesIn (discarded_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* The loop handles the end of a run before it reads the connection.  */
TEST_F (Loop, RequestThatArrivesBeforeTheResponseOfADrainingServerIsAnswered)
{
  Server server (&loop, limits ());
  Caller caller (server.port ());
  caller.send (get_request ("/1"));
  ASSERT_TRUE (wait ([&] { return server.open.size () == 1; }));
  http_server_drain (server.server);
  caller.send (get_request ("/2"));
  http_respond (server.open[0], 200, nullptr, 0, "one", 3);
  ASSERT_TRUE (wait ([&] {
    return server.targets.size () == 2
           || http_server_stats (server.server).late_requests > 0;
  }));
  ASSERT_EQ (2u, server.targets.size ());
  http_respond (server.open[1], 200, nullptr, 0, "two", 3);
  ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
  EXPECT_EQ (2u, count_of ("HTTP/1.1 200 OK\r\n", caller.got));
  EXPECT_EQ (1u, count_of ("Connection: close\r\n", caller.got));
}

/* --- requests that are read at once -------------------------------------- */

/* How the requests of a connection are answered.  */
struct ReadAtOnceRow
{
  const char *name;
  uint32_t requests_max; /* that may wait for responses */
  uint32_t held;         /* of the first requests, answered by hand */
};

class ReadAtOnce : public Loop,
                   public testing::WithParamInterface<ReadAtOnceRow>
{
};

/* A request may be answered while those behind it are read, but not parsed. */
TEST_P (ReadAtOnce, EachRequestToADrainingServerIsAnswered)
{
  const ReadAtOnceRow &row = GetParam ();
  http_limits_t made = limits ();
  made.pipelined_requests = row.requests_max;
  Server server (&loop, made);
  server.answer = [&] (http_exchange_t *exchange) {
    if (server.targets.size () <= row.held)
      server.open.push_back (exchange);
    else
      http_respond (exchange, 503, nullptr, 0, "no", 2);
  };
  Caller caller (server.port ());
  ASSERT_TRUE (wait (
      [&] { return http_server_stats (server.server).connections == 1; }));
  http_server_drain (server.server);
  caller.send (get_request ("/1") + get_request ("/2") + get_request ("/3"));
  ASSERT_TRUE (wait ([&] { return server.open.size () == row.held; }));
  for (http_exchange_t *exchange : server.open)
    http_respond (exchange, 200, nullptr, 0, "ok", 2);
  ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
  EXPECT_EQ (3u, server.targets.size ());
  EXPECT_EQ (3u, count_of ("HTTP/1.1 ", caller.got)) << caller.got;
  EXPECT_EQ (1u, count_of ("Connection: close\r\n", caller.got));
}

const ReadAtOnceRow read_at_once_rows[] = {
  { "AllAnsweredAtOnce", 4, 0 },
  { "FirstHeld", 4, 1 },
  { "AnsweredAfterAPause", 1, 1 },
};

INSTANTIATE_TEST_SUITE_P (Table, ReadAtOnce,
                          testing::ValuesIn (read_at_once_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* The head of a response has announced the close, and its body follows.  */
TEST_F (Loop, RequestBehindAnAnnouncedCloseIsCounted)
{
  Server server (&loop, limits ());
  Caller caller (server.port ());
  caller.send (get_request ("/1"));
  ASSERT_TRUE (wait ([&] { return server.open.size () == 1; }));
  http_server_drain (server.server);
  http_start_response (server.open[0], 200, nullptr, 0, 3);
  ASSERT_TRUE (wait ([&] { return caller.has ("Connection: close"); }));
  caller.send (get_request ("/2"));
  EXPECT_TRUE (wait (
      [&] { return http_server_stats (server.server).late_requests == 1; }));
  http_write_body (server.open[0], "one", 3);
  http_end_response (server.open[0]);
  ASSERT_TRUE (wait ([&] { return caller.is_over (); }));
  EXPECT_EQ (1u, http_server_stats (server.server).late_requests);
}
}
