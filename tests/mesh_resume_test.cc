/* Links that are lost while both sidecars live.  Guards against members that
   stay without a link.  */

#include "support_peer.h"

namespace
{
/* Loses the link from A to B, which stay.  */
class LostLink : public Two
{
protected:
  void
  lose_link ()
  {
    uint64_t lost_at_a = peer_set_stats (a->peers).links_lost;
    uint64_t lost_at_b = peer_set_stats (b->peers).links_lost;
    for (peer_link_t *link = a->peers->links; link != nullptr;
         link = link->next)
      EXPECT_EQ (0, shutdown (link->read_watcher.fd, SHUT_RDWR));
    ASSERT_TRUE (wait ([&] {
      return peer_set_stats (a->peers).links_lost > lost_at_a
             && peer_set_stats (b->peers).links_lost > lost_at_b;
    }));
  }
};

TEST_F (LostLink, LinkIsOpenedAgainAtOnce)
{
  ASSERT_NO_FATAL_FAILURE (lose_link ());
  /* Without a tick.  */
  EXPECT_TRUE (wait ([&] { return peer_set_stats (a->peers).peers_up == 1; }));
}
}
