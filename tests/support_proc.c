#include "support_proc.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"

enum
{
  POLL_MS = 5
};

static int64_t
now_ms (void)
{
  return clock_now_us (clock_system ()) / US_PER_MS;
}

/* Only what a child may call between fork and exec.  */
static void
run_child (const char *path, char *const *argv, int in, int out, bool errors)
{
  sigset_t none;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  sigemptyset (&none);
  sigprocmask (SIG_SETMASK, &none, NULL);
  dup2 (in, STDIN_FILENO);
  dup2 (out, STDOUT_FILENO);
  if (errors)
    dup2 (out, STDERR_FILENO);
  execv (path, argv);
  _exit (127);
}

static bool
spawn (proc_t *proc, const char *name, const char *const *args, bool errors)
{
  char path[PATH_MAX];
  char *argv[PROC_ARGS_MAX + 2] = { path };
  const char *build = getenv ("REDWINGFORD_BUILD");
  int in[2];
  int out[2];

  memset (proc, 0, sizeof *proc);
  snprintf (path, sizeof path, "%s/%s", build ? build : ".", name);
  for (int i = 0; i < PROC_ARGS_MAX && args[i] != NULL; i++)
    argv[i + 1] = (char *)args[i];
  if (pipe2 (in, O_CLOEXEC) != 0 || pipe2 (out, O_CLOEXEC) != 0)
    return false;
  proc->pid = fork ();
  if (proc->pid == 0)
    run_child (path, argv, in[0], out[1], errors);
  close (in[0]);
  close (out[1]);
  proc->in = in[1];
  proc->out = out[0];
  return proc->pid > 0;
}

/* Reads up to the end of a line; a byte at a time, so as to leave the rest. */
static bool
read_line (const proc_t *proc, char *line, size_t size, int wait_ms)
{
  int64_t end_ms = now_ms () + wait_ms;
  size_t used = 0;

  for (;;)
    {
      struct pollfd poller = { proc->out, POLLIN, 0 };
      char c;
      int64_t left_ms = end_ms - now_ms ();
      if (left_ms <= 0 || poll (&poller, 1, (int)left_ms) <= 0
          || read (proc->out, &c, 1) != 1)
        return false;
      if (c == '\n')
        break;
      if (used + 1 < size)
        line[used++] = c;
    }
  line[used] = '\0';
  return true;
}

bool
proc_start_logged (proc_t *proc, const char *name, const char *const *args,
                   int log)
{
  char path[PATH_MAX];
  char *argv[PROC_ARGS_MAX + 2] = { path };
  const char *build = getenv ("REDWINGFORD_BUILD");

  memset (proc, 0, sizeof *proc);
  snprintf (path, sizeof path, "%s/%s", build ? build : ".", name);
  for (int i = 0; i < PROC_ARGS_MAX && args[i] != NULL; i++)
    argv[i + 1] = (char *)args[i];
  int in = open ("/dev/null", O_RDONLY | O_CLOEXEC);
  proc->in = -1;
  proc->out = -1;
  proc->pid = fork ();
  if (proc->pid == 0)
    run_child (path, argv, in, log, true);
  close (in);
  return proc->pid > 0;
}

bool
proc_start (proc_t *proc, const char *name, const char *const *args)
{
  if (!spawn (proc, name, args, false))
    return false;
  while (read_line (proc, proc->ready, sizeof proc->ready, PROC_WAIT_MS))
    if (strncmp (proc->ready, "ready", 5) == 0)
      return true;
  proc_kill (proc);
  return false;
}

endpoint_addr_t
proc_addr (const proc_t *proc, const char *key)
{
  endpoint_addr_t addr = { .port = 0 };
  char text[ADDR_TEXT_BYTES] = "";
  char wanted[64];

  snprintf (wanted, sizeof wanted, " %s", key);
  const char *at = strstr (proc->ready, wanted);
  if (at != NULL)
    sscanf (at + strlen (wanted), "%23[0-9.:]", text);
  if (!settings_parse_addr (text, &addr))
    addr.port = 0;
  return addr;
}

bool
proc_command (proc_t *proc, const char *line)
{
  char answer[PROC_LINE_BYTES];

  return dprintf (proc->in, "%s\n", line) > 0
         && read_line (proc, answer, sizeof answer, PROC_WAIT_MS);
}

void
proc_signal (const proc_t *proc, int signal_number)
{
  if (proc->pid > 0)
    kill (proc->pid, signal_number);
}

/* Returns the set of signals in the line KEY of the status of PID.  */
static uint64_t
signal_set (pid_t pid, const char *key)
{
  char path[64];
  char line[128];
  uint64_t set = 0;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  FILE *file = fopen (path, "re");
  if (file == NULL)
    return 0;
  while (fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, key, strlen (key)) == 0)
      set = strtoull (line + strlen (key), NULL, 16);
  fclose (file);
  return set;
}

bool
proc_outlives_signal (const proc_t *proc, int signal_number)
{
  uint64_t set
      = signal_set (proc->pid, "SigBlk:") | signal_set (proc->pid, "SigCgt:");

  return (set >> (signal_number - 1) & 1) != 0;
}

int
proc_wait (proc_t *proc, int wait_ms)
{
  int64_t end_ms = now_ms () + wait_ms;
  int status = 0;

  if (proc->pid <= 0)
    return -1;
  while (waitpid (proc->pid, &status, WNOHANG) == 0)
    {
      if (now_ms () >= end_ms)
        return -1;
      poll (NULL, 0, POLL_MS);
    }
  if (proc->in >= 0)
    close (proc->in);
  if (proc->out >= 0)
    close (proc->out);
  proc->pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

void
proc_kill (proc_t *proc)
{
  proc_signal (proc, SIGKILL);
  proc_wait (proc, PROC_WAIT_MS);
}

bool
proc_wait_until (bool (*condition) (void *ctx), void *ctx, int wait_ms)
{
  int64_t end_ms = now_ms () + wait_ms;

  while (!condition (ctx))
    {
      if (now_ms () >= end_ms)
        return false;
      poll (NULL, 0, POLL_MS);
    }
  return true;
}

int
proc_run (const char *name, const char *const *args, char *text, size_t size)
{
  proc_t proc;
  size_t used = 0;
  ssize_t n;

  text[0] = '\0';
  if (!spawn (&proc, name, args, true))
    return -1;
  while (used + 1 < size
         && (n = read (proc.out, text + used, size - used - 1)) > 0)
    used += n;
  text[used] = '\0';
  return proc_wait (&proc, PROC_WAIT_MS);
}

bool
proc_write_file (const char *name, const char *text, char *path, size_t size)
{
  char directory[] = "/tmp/redwingford-XXXXXX";

  if (mkdtemp (directory) == NULL)
    return false;
  snprintf (path, size, "%s/%s", directory, name);
  FILE *file = fopen (path, "we");
  if (file == NULL)
    return false;
  bool ok = fputs (text, file) >= 0;
  return fclose (file) == 0 && ok;
}
