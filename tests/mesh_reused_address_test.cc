/* The address of a backend server that has ended is used by a server of
   another service.  A health check names an instance, but not its service.  */

#include "support_watched.h"

namespace
{
enum announced_t
{
  NEVER,
  BEFORE_A_CHECK,
  AFTER_A_CHECK
};

struct ReuseRow
{
  const char *name;
  announced_t announced; /* when the new server announces its service */
  bool noticed;          /* a refused connection told of the old one's end */
  bool restart;          /* the sidecars restart after the reuse */
};

class ReusedAddress : public Watched,
                      public testing::WithParamInterface<ReuseRow>
{
};

/* A server of another service ran the requests of the one whose address it has
   taken over.  */
TEST_P (ReusedAddress, ServerOfAnotherServiceGetsNoRequest)
{
  const ReuseRow &row = GetParam ();
  announce_ready ();
  if (row.noticed)
    backend_watch_mark_unreachable (watch, nullptr);
  instance = "j";
  service = "t";
  if (row.restart)
    {
      kill_all ();
      start_all ();
    }
  if (row.announced == BEFORE_A_CHECK)
    announce_acknowledged (announcement (1, "ready"));
  health_checks = 0;
  ASSERT_TRUE (wait_turning ([&] { return health_checks >= 2; }));
  if (row.announced == AFTER_A_CHECK)
    announce_acknowledged (announcement (1, "ready"));
  press ();
  EXPECT_EQ (std::vector<std::string> (), run_ids);
  EXPECT_EQ (0u, placement_accepting_count (a->placement, "s"));
  instance = "k";
  service = "s";
  announce_ready ();
  Caller next (http_server_port (a->callers));
  next.send (request ("GET", "/read/2", "next"));
  EXPECT_TRUE (wait_turning ([&] { return next.has ("whole"); }));
}

const ReuseRow reuse_rows[] = {
  { "NeverAnnounced", NEVER, false, false },
  { "AnnouncedBeforeACheck", BEFORE_A_CHECK, false, false },
  { "AnnouncedAfterACheck", AFTER_A_CHECK, false, false },
  { "NeverAnnouncedEndNoticed", NEVER, true, false },
  { "AnnouncedBeforeACheckEndNoticed", BEFORE_A_CHECK, true, false },
  { "AnnouncedAfterACheckEndNoticed", AFTER_A_CHECK, true, false },
  { "NeverAnnouncedAfterARestart", NEVER, false, true },
  { "AnnouncedBeforeACheckAfterARestart", BEFORE_A_CHECK, false, true },
  { "AnnouncedAfterACheckAfterARestart", AFTER_A_CHECK, false, true },
};

INSTANTIATE_TEST_SUITE_P (Table, ReusedAddress, testing::ValuesIn (reuse_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
