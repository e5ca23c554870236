#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd.h"

typedef struct quarantine_options_t
{
  endpoint_addr_t daemon;
  const char *action;
  const char *fingerprint;
} quarantine_options_t;

static const struct argp_option options[] = {
  { "daemon", 'd', "IP:PORT", 0, "Admin address of a daemon of the service",
    0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  quarantine_options_t *wanted = state->input;

  switch (key)
    {
    case 'd':
      if (!settings_parse_addr (arg, &wanted->daemon))
        argp_error (state, "--daemon %s: write it as A.B.C.D:PORT", arg);
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num == 0)
        wanted->action = arg;
      else if (state->arg_num == 1)
        wanted->fingerprint = arg;
      else
        argp_error (state, "too many arguments");
      return 0;
    case ARGP_KEY_END:
      if (wanted->daemon.port == 0)
        argp_error (state, "name a daemon with --daemon IP:PORT");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .options = options,
  .parser = parse_option,
  .args_doc = "list | lift FINGERPRINT",
  .doc = "Lists requests that are suspected or held since backend servers "
         "crashed while running them, or lets one run again.",
};

static int
list (const char *command, const quarantine_options_t *wanted)
{
  error_info_t error = { ERROR_NONE, "", "" };
  char *text = cmd_http (wanted->daemon, "GET", "/status", NULL, &error);

  if (text == NULL)
    return cmd_fail (command, &error);
  json_t *status = json_loads (text, 0, NULL);
  const json_t *part
      = json_object_get (json_object_get (status, "parts"), "quarantine");
  free (text);
  json_dumpf (part, stdout, JSON_INDENT (2) | JSON_ENCODE_ANY);
  putchar ('\n');
  json_decref (status);
  return EX_OK;
}

static int
lift (const char *command, const quarantine_options_t *wanted)
{
  error_info_t error = { ERROR_NONE, "", "" };
  char *text = cmd_http (wanted->daemon, "POST", "/quarantine/lift",
                         wanted->fingerprint, &error);

  if (text == NULL)
    return cmd_fail (command, &error);
  free (text);
  printf ("%s may run again\n", wanted->fingerprint);
  return EX_OK;
}

int
cmd_quarantine (int argc, char **argv)
{
  quarantine_options_t wanted = { .action = NULL };

  if (argp_parse (&parser, argc, argv, 0, NULL, &wanted) != 0)
    return EX_USAGE;
  if (wanted.action != NULL && strcmp (wanted.action, "list") == 0)
    return list (argv[0], &wanted);
  if (wanted.action != NULL && strcmp (wanted.action, "lift") == 0
      && wanted.fingerprint != NULL)
    return lift (argv[0], &wanted);
  fprintf (stderr, "%s: say list, or lift FINGERPRINT\n", argv[0]);
  return EX_USAGE;
}
