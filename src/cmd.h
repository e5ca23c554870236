#ifndef REDWINGFORD_CMD_H
#define REDWINGFORD_CMD_H

/* Sub-commands of the program.  Each gets its own argument vector, argv[0]
   being "redwingford NAME", and returns an exit status: 0, 1 for "no", or a
   sysexits.h value (see errinfo.h).  main.c has a row for each.  */

#include "errinfo.h"
#include "settings.h"

int cmd_daemon (int argc, char **argv);
int cmd_sidecar (int argc, char **argv);
int cmd_check (int argc, char **argv);
int cmd_status (int argc, char **argv);
int cmd_publish (int argc, char **argv);
int cmd_take_out (int argc, char **argv);
int cmd_bring_back (int argc, char **argv);
int cmd_key (int argc, char **argv);
int cmd_rate (int argc, char **argv);
int cmd_console (int argc, char **argv);
int cmd_why (int argc, char **argv);
int cmd_quarantine (int argc, char **argv);

/* Prints "COMMAND: MESSAGE" on stderr and returns the error's exit status.
   COMMAND is argv[0].  */
int cmd_fail (const char *command, const error_info_t *error);

enum
{
  CMD_TIMEOUT_S = 5,
  CMD_ANSWER_BYTES_MAX = 8 * 1024 * 1024
};

/* One HTTP request to a daemon's admin address or the log service.  BODY may
   be NULL.  Returns the body of a 2xx answer, NUL-terminated, in a new block
   that the caller frees, or NULL with *error set.  */
char *cmd_http (endpoint_addr_t to, const char *method, const char *path,
                const char *body, error_info_t *error);

#endif
