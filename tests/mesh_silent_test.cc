/* Requests while the link to one of two servers is silent.  Guards against
   requests that are sent for a second, until the link is closed, to a VM that
   has lost power.  */

#include "support_edge.h"

namespace
{
struct SilentRow
{
  const char *name;
  bool local_server;
  bool silent;
  bool uses_remote; /* whether the server behind the link is used */
};

class SilentLink : public Two, public testing::WithParamInterface<SilentRow>
{
protected:
  peer_t *
  link_to_b ()
  {
    return peer_set_find (a->peers, peer_set_own_vm (b->peers));
  }
  void
  use_local_server ()
  {
    start_a_beside_the_server ();
    peer_set_add (a->peers, peer_set_own_vm (b->peers));
    ASSERT_TRUE (wait ([&] {
      peer_set_tick (a->peers, true, true);
      peer_set_tick (b->peers, true, true);
      return placement_accepting_count (a->placement, "s") == 2;
    }));
  }
};

TEST_P (SilentLink, IsUsedOnlyWithoutAnotherServer)
{
  const size_t REQUEST_COUNT = 20;
  if (GetParam ().local_server)
    {
      ASSERT_NO_FATAL_FAILURE (use_local_server ());
    }
  ASSERT_TRUE (wait (
      [&] { return peer_is_silent (link_to_b ()) || !GetParam ().silent; }));
  ASSERT_TRUE (peer_is_up (link_to_b ()));
  std::vector<std::unique_ptr<Caller>> callers;
  for (size_t i = 0; i < REQUEST_COUNT; i++)
    {
      callers.push_back (
          std::make_unique<Caller> (http_server_port (a->callers)));
      callers[i]->send (
          request ("GET", "/read/1", ("id-" + std::to_string (i)).c_str ()));
    }
  ASSERT_TRUE (wait ([&] {
    return entry_stats (a->entry).placed_local
               + entry_stats (a->entry).placed_remote
           >= REQUEST_COUNT;
  }));
  EXPECT_EQ (GetParam ().uses_remote,
             entry_stats (a->entry).placed_remote > 0);
}

const SilentRow silent_rows[] = {
  { "WithAnother", true, true, false },
  { "TheOnlyOne", false, true, true },
  { "NotSilent", true, false, true },
};

INSTANTIATE_TEST_SUITE_P (Table, SilentLink, testing::ValuesIn (silent_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
