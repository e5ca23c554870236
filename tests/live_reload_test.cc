/* SIGHUP tells a sidecar that its settings have changed, at any time.  */

#include <gtest/gtest.h>

extern "C"
{
#include "support_http.h"
#include "support_proc.h"
}

#include "support_edge.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <poll.h>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

namespace
{
const char SETTINGS[]
    = R"({"node":"n","zone":"z","service":"s","callers":"127.0.0.1:0",)"
      R"("ready":"127.0.0.1:0","announce":"127.0.0.1:0",)"
      R"("peer":"127.0.0.1:0","metrics":"127.0.0.1:0",)"
      R"("backend":"127.0.0.1:1","store":"127.0.0.1:1"})";

class Reload : public testing::Test
{
protected:
  proc_t sidecar = {};
  int log[2] = { -1, -1 };
  std::string printed;
  char path[256] = "";

  void
  SetUp () override
  {
    ASSERT_EQ (0, pipe2 (log, O_CLOEXEC));
    ASSERT_TRUE (
        proc_write_file ("sidecar.json", SETTINGS, path, sizeof path));
  }
  void
  TearDown () override
  {
    if (sidecar.pid > 0)
      proc_kill (&sidecar);
    for (int fd : log)
      if (fd >= 0)
        close (fd);
  }
  void
  start ()
  {
    const char *args[] = { "sidecar", "--settings", path, nullptr };
    ASSERT_TRUE (proc_start_logged (&sidecar, "redwingford", args, log[1]));
    close (log[1]);
    log[1] = -1;
  }
  /* Starts a sidecar that sends itself a SIGHUP as soon as its shared
     libraries are initialized.  */
  void
  start_with_early_sighup ()
  {
    const char *build = getenv ("REDWINGFORD_BUILD");
    std::string library (build != nullptr ? build : ".");
    setenv ("LD_PRELOAD", (library + "/libpreload_sighup.so").c_str (), 1);
    start ();
    unsetenv ("LD_PRELOAD");
  }
  /* Replaces the file of the settings, which readers of the old one keep.  */
  void
  replace_settings (const char *more)
  {
    ASSERT_EQ (0, unlink (path));
    FILE *file = fopen (path, "w");
    ASSERT_NE (nullptr, file);
    fprintf (file, "%.*s%s}", (int)sizeof SETTINGS - 2, SETTINGS, more);
    fclose (file);
  }
  void
  write_settings (const std::string &text)
  {
    FILE *file = fopen (path, "w");
    ASSERT_NE (nullptr, file);
    fputs (text.c_str (), file);
    fclose (file);
  }
  bool
  prints (const std::string &text)
  {
    char block[4096];
    struct pollfd poller = { log[0], POLLIN, 0 };
    while (printed.find (text) == std::string::npos
           && poll (&poller, 1, PROC_WAIT_MS) > 0)
      {
        ssize_t size = read (log[0], block, sizeof block);
        if (size <= 0)
          break;
        printed.append (block, size);
      }
    return has_printed (text);
  }
  bool
  has_printed (const std::string &text)
  {
    return printed.find (text) != std::string::npos;
  }
  void
  stop ()
  {
    proc_signal (&sidecar, SIGTERM);
    EXPECT_TRUE (prints ("event=stopped")) << printed;
    EXPECT_EQ (0, proc_wait (&sidecar, PROC_WAIT_MS));
  }
  /* Opens the writing end once the sidecar reads its settings.  */
  int
  open_when_read ()
  {
    struct Opened
    {
      const char *path;
      int fd;
    } opened = { path, -1 };
    proc_wait_until (
        [] (void *ctx) {
          Opened *opened = (Opened *)ctx;
          opened->fd = open (opened->path, O_WRONLY | O_NONBLOCK | O_CLOEXEC);
          return opened->fd >= 0;
        },
        &opened, PROC_WAIT_MS);
    return opened.fd;
  }
};

TEST_F (Reload, ASidecarThatStartsOutlivesIt)
{
  start_with_early_sighup ();
  ASSERT_TRUE (prints ("started")) << printed;
  stop ();
  EXPECT_TRUE (has_printed ("settings-reloaded")) << printed;
}

TEST_F (Reload, ASidecarThatReadsItsSettingsActsOnIt)
{
  ASSERT_EQ (0, unlink (path));
  ASSERT_EQ (0, mkfifo (path, 0600));
  start ();
  int settings = open_when_read ();
  ASSERT_GE (settings, 0);
  replace_settings (R"(,"stop_s":7,"memory_mb":96)");
  proc_signal (&sidecar, SIGHUP);
  ASSERT_EQ ((ssize_t)sizeof SETTINGS - 1,
             write (settings, SETTINGS, sizeof SETTINGS - 1));
  close (settings);
  ASSERT_TRUE (prints ("started")) << printed;
  stop ();
  EXPECT_TRUE (has_printed ("settings-reloaded stop-s=7 memory-mb=96"))
      << printed;
}

TEST_F (Reload, ASidecarThatRunsReadsItsSettingsAgain)
{
  start ();
  ASSERT_TRUE (prints ("started")) << printed;
  proc_signal (&sidecar, SIGHUP);
  EXPECT_TRUE (prints ("settings-reloaded")) << printed;
  FILE *file = fopen (path, "w");
  ASSERT_NE (nullptr, file);
  fputs ("{", file);
  fclose (file);
  proc_signal (&sidecar, SIGHUP);
  EXPECT_TRUE (prints ("settings-rejected")) << printed;
  proc_signal (&sidecar, SIGTERM);
  EXPECT_EQ (0, proc_wait (&sidecar, PROC_WAIT_MS));
}

/* Bodies that are being received, five of a megabyte, fit in a quarter of 64
   MB, but not in a quarter of 16 MB.  */
TEST_F (Reload, LessMemoryAppliesToBodiesThatAreBeingReceived)
{
  HeldPort callers;
  std::string settings = SETTINGS;
  settings.replace (settings.find ("127.0.0.1:0"), strlen ("127.0.0.1:0"),
                    "127.0.0.1:" + std::to_string (callers.port));
  write_settings (settings);
  start ();
  ASSERT_TRUE (prints ("started")) << printed;
  const char HEAD[]
      = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n";
  std::string part = HEAD + std::string (1000000, 'b');
  int fds[5];
  for (int &fd : fds)
    {
      fd = http_connect (loopback (callers.port), PROC_WAIT_MS);
      ASSERT_TRUE (http_send (fd, part.data (), part.size ()));
    }
  settings.insert (settings.size () - 1, ",\"memory_mb\":16");
  write_settings (settings);
  proc_signal (&sidecar, SIGHUP);
  ASSERT_TRUE (prints ("settings-reloaded")) << printed;
  /* Which of them is refused depends on how much has been read by then.  Each
     gets on, so that none is refused for its slowness.  */
  EXPECT_TRUE (proc_wait_until (
      [] (void *ctx) {
        struct pollfd pollers[5];
        for (int i = 0; i < 5; i++)
          {
            pollers[i] = { ((int *)ctx)[i], POLLIN, 0 };
            send (pollers[i].fd, "b", 1, MSG_NOSIGNAL);
          }
        return poll (pollers, 5, 0) > 0;
      },
      fds, PROC_WAIT_MS));
  for (int fd : fds)
    close (fd);
  proc_signal (&sidecar, SIGTERM);
  EXPECT_EQ (0, proc_wait (&sidecar, PROC_WAIT_MS));
}

/* The default of stop_s leaves a stop time; that of the new file does not.  */
TEST_F (Reload, AStopThatHasBegunKeepsItsEnd)
{
  start ();
  ASSERT_TRUE (prints ("started")) << printed;
  proc_signal (&sidecar, SIGTERM);
  ASSERT_TRUE (prints ("stopping")) << printed;
  FILE *file = fopen (path, "w");
  ASSERT_NE (nullptr, file);
  std::string text (SETTINGS, strlen (SETTINGS) - 1);
  fputs ((text + ",\"stop_s\":1}").c_str (), file);
  fclose (file);
  proc_signal (&sidecar, SIGHUP);
  ASSERT_TRUE (prints ("settings-reloaded")) << printed;
  ASSERT_TRUE (prints ("event=stopped")) << printed;
  ASSERT_TRUE (prints ("connections=0")) << printed;
  size_t at = printed.find ("after-ms=");
  ASSERT_NE (std::string::npos, at);
  EXPECT_GE (atoi (printed.c_str () + at + strlen ("after-ms=")), 2300);
  EXPECT_EQ (0, proc_wait (&sidecar, PROC_WAIT_MS));
}
}
