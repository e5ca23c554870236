#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd.h"

typedef struct command_t
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
} command_t;

static const command_t commands[] = {
  { "daemon", cmd_daemon, "run beside a backend server" },
  { "sidecar", cmd_sidecar, "run beside a backend server on the platform" },
  { "check", cmd_check, "check a settings file or a document" },
  { "status", cmd_status, "print what a daemon knows" },
  { "publish", cmd_publish, "publish a configuration document" },
  { "take-out", cmd_take_out, "take an availability zone or server out" },
  { "bring-back", cmd_bring_back, "bring one back" },
  { "key", cmd_key, "make or withdraw keys of a client account" },
  { "rate", cmd_rate, "set a client account's rate" },
  { "console", cmd_console, "serve the operators' console" },
  { "why", cmd_why, "tell what happened to a request" },
  { "quarantine", cmd_quarantine,
    "list or lift requests that crashed servers" },
};

enum
{
  COMMAND_COUNT = sizeof commands / sizeof commands[0]
};

const char *argp_program_version = "redwingford " REDWINGFORD_VERSION;
error_t argp_err_exit_status = EX_USAGE;

/* The sub-command and the arguments from it on.  */
typedef struct choice_t
{
  const command_t *command;
  int argc;
  char **argv;
} choice_t;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  choice_t *choice = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      for (size_t i = 0; i < COMMAND_COUNT; i++)
        if (strcmp (arg, commands[i].name) == 0)
          choice->command = &commands[i];
      if (choice->command == NULL)
        argp_error (state, "no command \"%s\"; --help lists them", arg);
      choice->argc = state->argc - state->next + 1;
      choice->argv = state->argv + state->next - 1;
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "name a command; --help lists them");
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Lists the commands at the end of --help.  */
static char *
filter_help (int key, const char *text, void *input)
{
  char *list = NULL;
  size_t size = 0;

  (void)input;
  if (key != ARGP_KEY_HELP_POST_DOC)
    return (char *)text;
  FILE *out = open_memstream (&list, &size);
  if (out == NULL)
    return (char *)text;
  fprintf (out, "Commands:\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    fprintf (out, "  %-14s %s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\nredwingford COMMAND --help tells more.");
  fclose (out);
  return list;
}

static const struct argp parser = {
  .parser = parse_option,
  .args_doc = "COMMAND [OPTION...]",
  .doc = "An overload control layer for service call graphs.\v ",
  .help_filter = filter_help,
};

/* Blocks SIGHUP in a sidecar.  One that arrives stays pending until the event
   loop can handle it.  */
static void
hold_reload_requests (int argc, char **argv, char **environment)
{
  sigset_t reload;

  (void)environment;
  if (argc < 2 || strcmp (argv[1], "sidecar") != 0)
    return;
  sigemptyset (&reload);
  sigaddset (&reload, SIGHUP);
  sigprocmask (SIG_BLOCK, &reload, NULL);
}

/* Runs before the shared libraries are initialized, which takes
   milliseconds.  */
__attribute__ ((section (".preinit_array"), used)) static void (
        *const hold_reload_requests_first) (int, char **, char **)
    = hold_reload_requests;

int
main (int argc, char **argv)
{
  char name[64];
  choice_t choice = { .command = NULL };

  if (argp_parse (&parser, argc, argv, ARGP_IN_ORDER, NULL, &choice) != 0
      || choice.command == NULL)
    return EX_USAGE;
  snprintf (name, sizeof name, "redwingford %s", choice.command->name);
  choice.argv[0] = name;
  return choice.command->run (choice.argc, choice.argv);
}
