#include "cmd_env.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd.h"

static const struct argp_option options[] = {
  { "log", 'l', "IP:PORT", 0, "The platform's log service", 0 },
  { "stream", 's', "NAME", 0, "The configuration's stream of it", 0 },
  { "daemon", 'd', "IP:PORT", 0,
    "Admin address of a daemon that is to confirm; may be repeated", 0 },
  { 0 },
};

static void
parse_addr (struct argp_state *state, const char *option, const char *arg,
            endpoint_addr_t *addr)
{
  if (!settings_parse_addr (arg, addr))
    argp_error (state, "%s %s: write it as A.B.C.D:PORT", option, arg);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  cmd_env_t *env = state->input;

  switch (key)
    {
    case 'l':
      parse_addr (state, "--log", arg, &env->log);
      return 0;
    case 's':
      env->stream = arg;
      return 0;
    case 'd':
      if (env->daemon_count == CMD_DAEMONS_MAX)
        argp_error (state, "name at most %d daemons", CMD_DAEMONS_MAX);
      parse_addr (state, "--daemon", arg, &env->daemons[env->daemon_count++]);
      return 0;
    case ARGP_KEY_END:
      if (env->log.port == 0 || env->stream == NULL)
        argp_error (state, "name the log with --log IP:PORT --stream NAME");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

const struct argp cmd_env_argp
    = { .options = options, .parser = parse_option };

/* The head in a daemon's answer to GET /status.  */
static bool
read_head (const char *text, config_head_t *head, bool *confirmed)
{
  json_t *status = json_loads (text, 0, NULL);
  json_int_t version = 0;
  const char *id = NULL;
  int sure = 0;
  bool ok = json_unpack (status, "{s:{s:{s:I, s:s, s:b}}}", "parts", "config",
                         "version", &version, "publication_id", &id,
                         "confirmed", &sure)
            == 0;
  if (ok)
    {
      *head = (config_head_t){ .version = (doc_version_t)version };
      snprintf (head->publication_id, sizeof head->publication_id, "%s", id);
      *confirmed = sure;
    }
  json_decref (status);
  return ok;
}

/* Asks the daemons in turn.  */
static bool
ask_daemon (void *ctx, config_head_t *head, bool *confirmed)
{
  cmd_env_t *env = ctx;
  endpoint_addr_t daemon = env->daemons[env->next_daemon % env->daemon_count];
  env->next_daemon++;
  char *text = cmd_http (daemon, "GET", "/status", NULL, NULL);
  bool ok = text != NULL && read_head (text, head, confirmed);
  free (text);
  return ok;
}

publish_env_t
cmd_env_open (cmd_env_t *env)
{
  env->http = log_http_new (env->log, env->stream);
  return (publish_env_t){ .log = log_http_service (env->http),
                          .clock = clock_system (),
                          .ask = env->daemon_count > 0 ? ask_daemon : NULL,
                          .ask_ctx = env };
}

void
cmd_env_close (cmd_env_t *env)
{
  log_http_free (env->http);
  env->http = NULL;
}

int
cmd_env_report (const cmd_env_t *env, const char *command,
                publish_result_t result, doc_version_t version,
                const error_info_t *error)
{
  if (error->kind != ERROR_NONE)
    return cmd_fail (command, error);
  bool done = result == PUBLISH_IN_FORCE
              || (result == PUBLISH_RECORDED && env->daemon_count == 0);
  fprintf (done ? stdout : stderr, "version %llu: %s\n",
           (unsigned long long)version, publish_result_text (result));
  if (done)
    return EX_OK;
  return result == PUBLISH_NOT_DONE ? EX_UNAVAILABLE : EX_TEMPFAIL;
}
