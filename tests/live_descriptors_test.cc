/* A sidecar with few descriptors and more callers than that.  */

#include <gtest/gtest.h>

extern "C"
{
#include "support_http.h"
#include "support_proc.h"
}

#include "support_edge.h"

#include <cstdio>
#include <sys/resource.h>

namespace
{
/* Of a caller; below the idle limit of 15 s, after which resting connections
   give up their descriptors anyway.  */
const int DEADLINE_MS = 10000;

struct LimitRow
{
  const char *name;
  rlim_t process_limit;
  const char *settings;
};

class FewDescriptors : public testing::TestWithParam<LimitRow>
{
protected:
  HeldPort callers, ready, metrics;
  proc_t sidecar = {};
  int log[2] = { -1, -1 };

  void
  SetUp () override
  {
    char text[1024];
    char path[256];
    struct rlimit before;
    ASSERT_EQ (0, pipe2 (log, O_CLOEXEC));
    snprintf (text, sizeof text,
              R"({"node":"n","zone":"z","service":"s",
 "callers":"127.0.0.1:%d","ready":"127.0.0.1:%d","metrics":"127.0.0.1:%d",
 "announce":"127.0.0.1:0","peer":"127.0.0.1:0","backend":"127.0.0.1:1",
 "store":"127.0.0.1:1"%s})",
              callers.port, ready.port, metrics.port, GetParam ().settings);
    ASSERT_TRUE (proc_write_file ("sidecar.json", text, path, sizeof path));
    ASSERT_EQ (0, getrlimit (RLIMIT_NOFILE, &before));
    struct rlimit lower = before;
    if (GetParam ().process_limit < lower.rlim_cur)
      lower.rlim_cur = GetParam ().process_limit;
    const char *args[] = { "sidecar", "--settings", path, nullptr };
    ASSERT_EQ (0, setrlimit (RLIMIT_NOFILE, &lower));
    bool started = proc_start_logged (&sidecar, "redwingford", args, log[1]);
    ASSERT_EQ (0, setrlimit (RLIMIT_NOFILE, &before));
    ASSERT_TRUE (started);
    ASSERT_TRUE (proc_wait_until (
        [] (void *ctx) {
          http_answer_t answer;
          http_call (loopback (((FewDescriptors *)ctx)->ready.port), "GET",
                     "/", nullptr, nullptr, PROC_WAIT_MS, &answer);
          bool answered = answer.status != 0;
          http_answer_free (&answer);
          return answered;
        },
        this, PROC_WAIT_MS));
  }
  void
  TearDown () override
  {
    if (sidecar.pid > 0)
      proc_kill (&sidecar);
    close (log[0]);
    close (log[1]);
  }
  static int
  status_of (uint16_t port)
  {
    http_answer_t answer;
    http_call (loopback (port), "GET", "/", nullptr, nullptr, DEADLINE_MS,
               &answer);
    int status = answer.whole ? answer.status : 0;
    http_answer_free (&answer);
    return status;
  }
};

TEST_P (FewDescriptors, CallersBeyondThemAreAnsweredAndReadinessStays)
{
  std::vector<std::unique_ptr<Caller>> resting;
  for (int i = 0; i < 100; i++)
    resting.push_back (std::make_unique<Caller> (callers.port));
  EXPECT_NE (0, status_of (ready.port));
  EXPECT_EQ (200, status_of (metrics.port));
  EXPECT_NE (0, status_of (callers.port));
  EXPECT_NE (0, status_of (ready.port));
}

const LimitRow limit_rows[] = {
  { "BySetting", RLIM_INFINITY, ",\"descriptors_max\":64" },
  { "ByTheProcessLimit", 64, "" },
  { "ByTheLowerOne", 64, ",\"descriptors_max\":4000" },
};

INSTANTIATE_TEST_SUITE_P (Table, FewDescriptors,
                          testing::ValuesIn (limit_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
