/* Answers that have begun are not ended by what concerns only their
   beginning.  */

#include "support_edge.h"

namespace
{
/* Too long to be held until it is whole.  */
const std::string LONG (100 * 1000, 'x');

struct BegunRow
{
  const char *name;
  bool behind; /* another request waits on the connection */
};

class Begun : public Two, public testing::WithParamInterface<BegunRow>
{
};

/* Longer than the time after which an answer that has not begun is asked
   elsewhere.  */
TEST_P (Begun, AnAnswerIsNotBrokenOffAsOverdue)
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
  if (GetParam ().behind)
    {
      caller.send (request ("GET", "/read/3", "id-3"));
      ASSERT_TRUE (wait ([&] { return backend->open.size () == 2; }));
      answer_signed (backend->open[1], "id-3", "third");
    }
  http_start_response (backend->open[0], 200, fields.data (), fields.size (),
                       (int64_t)LONG.size () + 5);
  http_write_body (backend->open[0], LONG.data (), LONG.size ());
  ASSERT_TRUE (wait ([&] { return caller.has (LONG); }));
  int64_t overdue_us = loop.now_us + 600 * US_PER_MS;
  ASSERT_TRUE (wait ([&] { return loop.now_us > overdue_us; }));
  ASSERT_FALSE (caller.is_over ());
  ASSERT_EQ (0, backend->gone);
  http_write_body (backend->open[0], "-last", 5);
  http_end_response (backend->open[0]);
  EXPECT_TRUE (wait ([&] { return caller.has (LONG + "-last"); }));
  EXPECT_TRUE (!GetParam ().behind
               || wait ([&] { return caller.has ("third"); }));
  EXPECT_EQ (0u, entry_stats (a->entry).ends[ENTRY_DEADLINE_PASSED]);
}

const BegunRow begun_rows[] = { { "Alone", false }, { "Pipelined", true } };

INSTANTIATE_TEST_SUITE_P (Table, Begun, testing::ValuesIn (begun_rows),
                          [] (const auto &row) { return row.param.name; });
}
