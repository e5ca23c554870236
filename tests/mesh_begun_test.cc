/* The timeout after which a request without an answer is retried elsewhere
   must not end an answer whose body has started to arrive.  */

#include "support_edge.h"

namespace
{
/* Too long to be buffered until it is complete.  */
const std::string LONG_BODY (100 * 1000, 'x');

struct StartedAnswerRow
{
  const char *name;
  bool pipelined; /* another request follows on the connection */
};

class StartedAnswer : public Two,
                      public testing::WithParamInterface<StartedAnswerRow>
{
};

/* The answer takes longer than the time after which a request without an
   answer is retried at another backend server.  */
TEST_P (StartedAnswer, IsNotAbortedAsOverdue)
{
  static const std::string fields
      = "X-Attempt-Id: id-2\r\nX-Server-Signature: s\r\n";
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", "quick");
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return caller.has ("quick"); }));

  caller.send (request ("GET", "/read/2", "id-2"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  if (GetParam ().pipelined)
    {
      caller.send (request ("GET", "/read/3", "id-3"));
      ASSERT_TRUE (wait ([&] { return backend->open.size () == 2; }));
      answer_signed (backend->open[1], "id-3", "third");
    }
  http_start_response (backend->open[0], 200, fields.data (), fields.size (),
                       (int64_t)LONG_BODY.size () + 5);
  http_write_body (backend->open[0], LONG_BODY.data (), LONG_BODY.size ());
  ASSERT_TRUE (wait ([&] { return caller.has (LONG_BODY); }));
  int64_t overdue_us = loop.now_us + 600 * US_PER_MS;
  ASSERT_TRUE (wait ([&] { return loop.now_us > overdue_us; }));
  ASSERT_FALSE (caller.is_over ());
  ASSERT_EQ (0, backend->gone);
  http_write_body (backend->open[0], "-last", 5);
  http_end_response (backend->open[0]);
  EXPECT_TRUE (wait ([&] { return caller.has (LONG_BODY + "-last"); }));
  EXPECT_TRUE (!GetParam ().pipelined
               || wait ([&] { return caller.has ("third"); }));
  EXPECT_EQ (0u, entry_stats (a->entry).ends[ENTRY_DEADLINE_PASSED]);
}

const StartedAnswerRow started_answer_rows[]
    = { { "SingleRequest", false }, { "PipelinedRequest", true } };

INSTANTIATE_TEST_SUITE_P (Table, StartedAnswer,
                          testing::ValuesIn (started_answer_rows),
                          [] (const auto &row) { return row.param.name; });
}
