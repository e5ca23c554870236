#ifndef REDWINGFORD_SUPPORT_PROC_H
#define REDWINGFORD_SUPPORT_PROC_H

/* Programs of the build as children of a live test.  A child dies with the
   thread that started it.  Waiting is on conditions, with an upper bound that
   only a failing test reaches.  */

#include <sys/types.h>

#include "settings.h"

enum
{
  PROC_WAIT_MS = 20000,
  PROC_ARGS_MAX = 40,
  PROC_LINE_BYTES = 512
};

typedef struct proc_t
{
  pid_t pid;                   /* 0 when not running */
  int in;                      /* its standard input */
  int out;                     /* its standard output */
  char ready[PROC_LINE_BYTES]; /* the line that began with "ready" */
} proc_t;

/* Starts NAME of the build directory ($REDWINGFORD_BUILD, else ".") with the
   NULL-terminated arguments, and waits for its line "ready ...".  False when
   it ended or was not ready in time.  */
bool proc_start (proc_t *proc, const char *name, const char *const *args);

/* The same without waiting; what it prints goes to the descriptor LOG.  */
bool proc_start_logged (proc_t *proc, const char *name,
                        const char *const *args, int log);

/* The address after KEY ("listen=", or "" for the first) in the ready line;
   port 0 when it is not there.  */
endpoint_addr_t proc_addr (const proc_t *proc, const char *key);

/* Writes a line to its standard input and reads one line of its answer.  */
bool proc_command (proc_t *proc, const char *line);

void proc_signal (const proc_t *proc, int signal_number);

/* Returns whether the process blocks or handles the signal.  One that has just
   been started does so only once its program is loaded.  */
bool proc_outlives_signal (const proc_t *proc, int signal_number);

/* Waits for the end: its exit status, 128 + the signal that ended it, or -1
   when it did not end in WAIT_MS.  */
int proc_wait (proc_t *proc, int wait_ms);

/* Ends it at once, if it runs.  */
void proc_kill (proc_t *proc);

/* Asks CONDITION every few milliseconds until it holds or WAIT_MS pass.  */
bool proc_wait_until (bool (*condition) (void *ctx), void *ctx, int wait_ms);

/* Runs a program to its end, with what it printed on both outputs in TEXT.
   Returns as proc_wait.  */
int proc_run (const char *name, const char *const *args, char *text,
              size_t size);

/* Writes TEXT to a new file under a new temporary directory and sets PATH. */
bool proc_write_file (const char *name, const char *text, char *path,
                      size_t size);

#endif
