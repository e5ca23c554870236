/* Answers that end early, and links between sidecars that are cut: each
   request that was read whole is answered or truthfully refused.  */

#include "support_edge.h"

namespace
{
const size_t LONG_BYTES = 200000; /* handed on before the answer is whole */

void
begin_long (http_exchange_t *exchange, const std::string &id)
{
  std::string fields = "X-Attempt-Id: " + id + "\r\nX-Server-Signature: s\r\n";
  http_begin (exchange, 200, fields.data (), fields.size (),
              (int64_t)LONG_BYTES);
  std::string half (LONG_BYTES / 2, 'x');
  http_piece (exchange, half.data (), half.size ());
}

void
end_long (http_exchange_t *exchange)
{
  std::string half (LONG_BYTES / 2, 'y');
  http_piece (exchange, half.data (), half.size ());
  http_end (exchange);
}

bool
is_whole (const std::string &answer)
{
  size_t head = answer.find ("\r\n\r\n");
  return answer.find ("HTTP/1.1 200") == 0 && head != std::string::npos
         && answer.size () == head + 4 + LONG_BYTES;
}

/* --- answers that take long ---------------------------------------------- */

struct LongRow
{
  const char *name;
  bool beside; /* callers enter beside the server, else at another sidecar */
  const char *method;
  const char *path;
};

class Long : public Two, public testing::WithParamInterface<LongRow>
{
};

/* Another server may be tried for a read that is not answered in a multiple
   of its route's mean, but not once its answer has begun.  */
TEST_P (Long, AnAnswerThatHasBegunMayTakeUntilTheDeadline)
{
  const LongRow &row = GetParam ();
  if (row.beside)
    start_a_beside_the_server ();
  backend->answer = [] (http_exchange_t *exchange) {
    answer_signed (exchange, id_of (exchange), "short");
  };
  Caller caller (http_server_port (a->callers));
  caller.send (request (row.method, row.path, "id-1"));
  ASSERT_TRUE (wait ([&] { return caller.has ("short"); }));
  caller.got.clear ();
  backend->answer = nullptr;
  caller.send (request (row.method, row.path, "id-2"));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  begin_long (backend->open[0], "id-2");
  int64_t begun_us = loop.now_us;
  ASSERT_TRUE (
      wait ([&] { return loop.now_us > begun_us + 600 * US_PER_MS; }));
  ASSERT_EQ (1u, backend->open.size ());
  EXPECT_FALSE (caller.is_over ());
  end_long (backend->open[0]);
  EXPECT_TRUE (
      wait ([&] { return caller.is_over () || is_whole (caller.got); }));
  EXPECT_TRUE (is_whole (caller.got));
  EXPECT_EQ (2u, entry_state (a->entry).ends[ENTRY_ANSWERED]);
}

const LongRow long_rows[] = {
  { "ReadAtAnotherSidecar", false, "GET", "/read/1" },
  { "ReadBesideTheServer", true, "GET", "/read/1" },
  { "BookingAtAnotherSidecar", false, "POST", "/book/1" },
  { "BookingBesideTheServer", true, "POST", "/book/1" },
};

INSTANTIATE_TEST_SUITE_P (Table, Long, testing::ValuesIn (long_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- answers that outrun their caller ------------------------------------ */

/* The last bytes of an answer may be what fills the window.  */
TEST_F (Runs, AConnectionThatWasPausedAtTheEndOfAnAnswerIsReadAgain)
{
  struct Slow
  {
    run_t *run = nullptr;
    int ended = 0;
  } slow;
  sink = { [] (void *, const call_reply_t *, const char *, size_t, bool) {},
           [] (void *ctx, const char *, size_t, bool last) {
             Slow *self = (Slow *)ctx;
             self->ended += last;
             if (!last)
               run_pause (self->run, true);
           },
           [] (void *, const call_failure_t *) {}, &slow };
  slow.run = start (call ("id-1", true));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-1", std::string (40000, 'x'));
  backend->open.clear ();
  ASSERT_TRUE (wait ([&] { return slow.ended == 1; }));

  sink = { [] (void *ctx, const call_reply_t *, const char *, size_t,
               bool last) { ((Slow *)ctx)->ended += last; },
           [] (void *, const char *, size_t, bool) {},
           [] (void *ctx, const call_failure_t *) {
             ((Slow *)ctx)->ended = -9;
           },
           &slow };
  start (call ("id-2", true));
  ASSERT_TRUE (wait ([&] { return backend->open.size () == 1; }));
  answer_signed (backend->open[0], "id-2", "short");
  EXPECT_TRUE (wait ([&] { return slow.ended != 1; }));
  EXPECT_EQ (2, slow.ended);
}
}
