/* What the end of one request, answer or process must not take with it.  */

#include "support_edge.h"

namespace
{
std::string
get (const std::string &path, const char *version = "1.1")
{
  return "GET " + path + " HTTP/" + version + "\r\nHost: h\r\n\r\n";
}

/* --- an answer that breaks off ----------------------------------------- */

/* Requests of one connection, all handed on, of which one breaks off.  */
class Pipelined : public Loop
{
protected:
  std::unique_ptr<Server> server;
  std::unique_ptr<Caller> caller;

  void
  start (size_t requests)
  {
    server = std::make_unique<Server> (&loop, limits ());
    caller = std::make_unique<Caller> (server->port ());
    for (size_t i = 0; i < requests; i++)
      caller->send (get ("/" + std::to_string (i)));
    ASSERT_TRUE (wait ([&] { return server->open.size () == requests; }));
  }
  void
  TearDown () override
  {
    caller.reset ();
    server.reset ();
    Loop::TearDown ();
  }
  void
  answer (size_t number, const std::string &body)
  {
    http_respond (server->open[number], 200, nullptr, 0, body.data (),
                  body.size ());
  }
  /* Half of an answer, then its end.  */
  void
  break_off (size_t number)
  {
    http_begin (server->open[number], 200, nullptr, 0, 10);
    http_piece (server->open[number], "half", 4);
    http_abort (server->open[number]);
  }
};

TEST_F (Pipelined, AnAnswerThatBreaksOffDoesNotEndTheRequestsBeforeIt)
{
  start (3);
  break_off (1);
  ASSERT_EQ (0, server->gone);
  answer (2, "third");
  answer (0, "first");
  EXPECT_TRUE (wait ([&] { return caller->has ("third"); }));
  EXPECT_TRUE (caller->has ("first"));
  EXPECT_TRUE (caller->has ("HTTP/1.1 502 "));
  EXPECT_FALSE (caller->has ("half"));
}

TEST_F (Pipelined, AnAnswerThatBreaksOffDoesNotCutTheWholeAnswerBeforeIt)
{
  start (2);
  answer (0, "first");
  break_off (1);
  EXPECT_TRUE (wait ([&] { return caller->is_over (); }));
  EXPECT_TRUE (caller->has ("first"));
}

/* Its end is the connection's: only a reset tells it from a whole one.  */
TEST_F (Loop, AnAnswerWithoutLengthToOldHttpDoesNotLookWholeWhenItBreaksOff)
{
  Server server (&loop, limits ());
  Caller caller (server.port ());
  caller.send (get ("/", "1.0"));
  ASSERT_TRUE (wait ([&] { return server.open.size () == 1; }));
  http_begin (server.open[0], 200, nullptr, 0, -1);
  http_piece (server.open[0], "half", 4);
  ASSERT_TRUE (wait ([&] { return caller.has ("half"); }));
  http_abort (server.open[0]);
  EXPECT_TRUE (wait ([&] { return caller.is_over () || caller.reset; }));
  EXPECT_TRUE (caller.reset);
}
}
