/* All sidecars lose their memory at the same moment, just before or after
   something was acknowledged or answered.  What is left is the store, with the
   configuration and the members, and what the backend server itself says.  */

#include "support_watched.h"

namespace
{
enum told_t
{
  TOLD_DRAINING,
  TOLD_DELETE
};

enum late_t
{
  NOT_LATE,
  LATE_AT_ONCE, /* before the first health check of the new life */
  LATE_AFTER_A_CHECK,
  TWO_LATE,
  LATE_WITHOUT_CHECKS /* the server replies to no health check */
};

class PowerLoss : public Watched
{
protected:
  std::string
  told (told_t what)
  {
    return what == TOLD_DRAINING
               ? announcement (3, "draining")
               : "DELETE /-/instances/" + instance
                     + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  }
};

struct LeavingRow
{
  const char *name;
  told_t told;
  bool acknowledged; /* before the sidecars die */
  bool gone;         /* the server has ended too */
  bool told_again;   /* the server repeats its announcement */
  late_t late;       /* when an older announcement arrives */
};

class LeavingServer : public PowerLoss,
                      public testing::WithParamInterface<LeavingRow>
{
};

TEST_P (LeavingServer, GetsNoRequestAfterAllSidecarsRestart)
{
  const LeavingRow &row = GetParam ();
  announce_ready ();
  Caller first (http_server_port (a->callers));
  first.send (request ("GET", "/read/1", "before"));
  ASSERT_TRUE (wait_turning ([&] { return first.has ("whole"); }));
  leaving = true;
  hold_checks = row.late == LATE_WITHOUT_CHECKS;
  if (row.acknowledged)
    announce_acknowledged (told (row.told));
  else
    {
      Caller server (http_server_port (announce));
      server.send (told (row.told));
    }
  kill_all ();
  run_ids.clear ();
  health_checks = 0;
  if (row.gone)
    backend.reset ();
  start_all ();
  if (row.late == LATE_AT_ONCE)
    {
      Caller server (http_server_port (announce));
      server.send (announcement (1, "ready"));
      ASSERT_TRUE (wait ([&] { return server.has ("200 OK"); }));
      ASSERT_TRUE (wait_turning ([&] { return health_checks >= 2; }));
    }
  if (row.late == LATE_AFTER_A_CHECK)
    {
      ASSERT_TRUE (wait_turning ([&] { return health_checks >= 2; }));
      announce_acknowledged (announcement (1, "ready"));
    }
  if (row.late == LATE_WITHOUT_CHECKS)
    announce_acknowledged (announcement (1, "ready"));
  if (row.late == TWO_LATE)
    for (int sequence : { 1, 2 })
      announce_acknowledged (announcement (sequence, "ready"));
  if (row.told_again)
    announce_acknowledged (told (row.told));
  press ();
  EXPECT_EQ (std::vector<std::string> (), run_ids);
  EXPECT_EQ (0u, placement_accepting_count (a->placement, "s"));
  if (row.gone)
    return;
  EXPECT_TRUE (row.told_again || row.late != NOT_LATE || health_checks >= 2);
  leaving = hold_checks = false;
  instance = "j";
  announce_ready ();
  Caller next (http_server_port (a->callers));
  next.send (request ("GET", "/read/2", "next"));
  EXPECT_TRUE (wait_turning ([&] { return next.has ("whole"); }));
}

const LeavingRow leaving_rows[] = {
  { "DrainingSent", TOLD_DRAINING, false, false, false, NOT_LATE },
  { "DrainingSentServerGone", TOLD_DRAINING, false, true, false, NOT_LATE },
  { "DrainingSentAndRepeated", TOLD_DRAINING, false, false, true, NOT_LATE },
  { "DrainingAcknowledged", TOLD_DRAINING, true, false, false, NOT_LATE },
  { "DrainingAcknowledgedServerGone", TOLD_DRAINING, true, true, false,
    NOT_LATE },
  { "DrainingAcknowledgedAndRepeated", TOLD_DRAINING, true, false, true,
    NOT_LATE },
  { "DrainingAcknowledgedOlderOneLate", TOLD_DRAINING, true, false, false,
    LATE_AFTER_A_CHECK },
  { "DrainingRepeatedAfterAnOlderOne", TOLD_DRAINING, true, false, true,
    LATE_AT_ONCE },
  { "DeleteSent", TOLD_DELETE, false, false, false, NOT_LATE },
  { "DeleteSentServerGone", TOLD_DELETE, false, true, false, NOT_LATE },
  { "DeleteSentAndRepeated", TOLD_DELETE, false, false, true, NOT_LATE },
  { "DeleteAcknowledged", TOLD_DELETE, true, false, false, NOT_LATE },
  { "DeleteAcknowledgedServerGone", TOLD_DELETE, true, true, false, NOT_LATE },
  { "DeleteAcknowledgedOlderOneLate", TOLD_DELETE, true, false, false,
    LATE_AFTER_A_CHECK },
  { "DrainingAcknowledgedOlderOneAtOnce", TOLD_DRAINING, true, false, false,
    LATE_AT_ONCE },
  { "DeleteAcknowledgedTwoOlderOnesLate", TOLD_DELETE, true, false, false,
    TWO_LATE },
  { "DeleteAcknowledgedOlderOneAtOnce", TOLD_DELETE, true, false, false,
    LATE_AT_ONCE },
  { "DrainingAcknowledgedTwoOlderOnesLate", TOLD_DRAINING, true, false, false,
    TWO_LATE },
  { "DrainingAcknowledgedOlderOneLateNoChecks", TOLD_DRAINING, true, false,
    false, LATE_WITHOUT_CHECKS },
  { "DeleteAcknowledgedOlderOneLateNoChecks", TOLD_DELETE, true, false, false,
    LATE_WITHOUT_CHECKS },
};

/* A server that had sent DELETE before the sidecar knew it was used when its
   announcements arrived.  */
TEST_F (PowerLoss, DeleteOvertakesTheAnnouncementsOfItsServer)
{
  announce_ready ();
  instance = "j";
  leaving = true;
  announce_acknowledged (told (TOLD_DELETE));
  for (int sequence : { 1, 2 })
    announce_acknowledged (announcement (sequence, "ready"));
  press ();
  EXPECT_EQ (std::vector<std::string> (), run_ids);
  EXPECT_EQ (0u, placement_accepting_count (a->placement, "s"));
}

/* A DELETE of another instance takes the server out of use until it has passed
   a health check.  */
TEST_F (PowerLoss, DeleteOfAnotherInstanceRequiresAHealthCheck)
{
  announce_ready ();
  hold_checks = true;
  announce_acknowledged ("DELETE /-/instances/j HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 0\r\n\r\n");
  press ();
  EXPECT_EQ (std::vector<std::string> (), run_ids);
  hold_checks = false;
  EXPECT_TRUE (wait_turning (
      [&] { return placement_accepting_count (a->placement, "s") == 1; }));
}

INSTANTIATE_TEST_SUITE_P (Table, LeavingServer,
                          testing::ValuesIn (leaving_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

struct AnsweredRow
{
  const char *name;
  const char *method;
  const char *path;
  bool answered; /* before the sidecars die */
  bool gone;     /* the server has ended too */
};

class Answered : public PowerLoss,
                 public testing::WithParamInterface<AnsweredRow>
{
};

TEST_P (Answered, RunsOnceAndIsWholeAfterAllSidecarsRestart)
{
  const AnsweredRow &row = GetParam ();
  announce_ready ();
  hold = true;
  Caller caller (http_server_port (a->callers));
  caller.send (request (row.method, row.path, "id-1"));
  ASSERT_TRUE (wait_turning ([&] { return backend->open.size () == 1; }));
  EXPECT_FALSE (caller.has ("HTTP/1.1")) << "the server has not answered";
  if (row.answered)
    {
      answer_signed (backend->open[0], "id-1", "whole");
      backend->open.clear ();
      ASSERT_TRUE (wait_turning ([&] { return caller.has ("whole"); }));
    }
  kill_all ();
  if (row.gone)
    backend.reset ();
  hold = false;
  start_all ();
  if (!row.gone)
    announce_ready ();
  press ();
  EXPECT_EQ (1, std::count (run_ids.begin (), run_ids.end (), "id-1"));
  EXPECT_EQ (row.answered, caller.has ("HTTP/1.1 200"));
  EXPECT_EQ (row.gone, run_ids.size () == 1) << "others are served";
}

const AnsweredRow answered_rows[] = {
  { "ReadRunning", "GET", "/read/1", false, false },
  { "ReadRunningServerGone", "GET", "/read/1", false, true },
  { "ReadAnswered", "GET", "/read/1", true, false },
  { "ReadAnsweredServerGone", "GET", "/read/1", true, true },
  { "BookingRunning", "POST", "/book/1", false, false },
  { "BookingRunningServerGone", "POST", "/book/1", false, true },
  { "BookingAnswered", "POST", "/book/1", true, false },
  { "BookingAnsweredServerGone", "POST", "/book/1", true, true },
};

INSTANTIATE_TEST_SUITE_P (Table, Answered, testing::ValuesIn (answered_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
