#ifndef REDWINGFORD_CMD_ENV_H
#define REDWINGFORD_CMD_ENV_H

/* What commands that publish have in common: where the log is and which
   daemons confirm.  */

#include <argp.h>

#include "log_http.h"
#include "publish_run.h"

enum
{
  CMD_DAEMONS_MAX = 16
};

typedef struct cmd_env_t
{
  endpoint_addr_t log;
  const char *stream;
  endpoint_addr_t daemons[CMD_DAEMONS_MAX]; /* admin addresses */
  size_t daemon_count;
  size_t next_daemon;
  log_http_t *http;
} cmd_env_t;

/* Options --log, --stream and --daemon; a child parser whose input is a
   cmd_env_t.  */
extern const struct argp cmd_env_argp;

/* Opens the log service of ENV, which is borrowed; free with cmd_env_close. */
publish_env_t cmd_env_open (cmd_env_t *env);
void cmd_env_close (cmd_env_t *env);

/* Prints what RESULT means for VERSION and returns the exit status: 0 when it
   is in force or, without a daemon to ask, recorded.  COMMAND is argv[0].  */
int cmd_env_report (const cmd_env_t *env, const char *command,
                    publish_result_t result, doc_version_t version,
                    const error_info_t *error);

#endif
