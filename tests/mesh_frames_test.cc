/* Frames between sidecars that are lost, late, too large or of a later
   version.  A request whose outcome can't be had any more must end at once,
   not at its deadline, and must not take other requests with it.  */

#include "support_peer.h"

namespace
{
/* --- replies that are lost although the request ran ---------------------- */

/* The sidecar that ran a booking can't repeat a reply that was too large to
   keep.  To ask it again until the deadline is of no use.  */
TEST_F (FakePeer, QueryForAReplyThatWasNotKeptIsNotRepeated)
{
  listen (true);
  std::unique_ptr<LinkEnd> link = accept ();
  ASSERT_TRUE (wait_for_server (link.get ()));
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST", "/book/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return link->call () != 0; }));
  link->reset ();
  std::unique_ptr<LinkEnd> next = accept ();
  ASSERT_TRUE (wait_for_server (next.get ()));
  size_t answered = 0;
  ASSERT_TRUE (wait ([&] {
    std::vector<ReceivedCall> calls = next->calls ();
    for (; answered < calls.size (); answered++)
      next->send_failure (calls[answered].stream, FAILURE_INVALID_REPLY,
                          CAUSE_PEER_LOST);
    return caller.has ("\r\n\r\n");
  }));
  EXPECT_EQ (1u, answered);
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 502")) << caller.got;
  EXPECT_EQ (1u, entry_stats (a->entry).ends[ENTRY_ANSWER_BROKEN]);
}
}
