#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd.h"
#include "cmd_env.h"
#include "console.h"

typedef struct console_command_t
{
  cmd_env_t env;
  console_setup_t setup;
  const char *operators;
  const char *new_operator;
} console_command_t;

enum
{
  OPTION_LISTEN = 'L',
  OPTION_OPERATORS = 'o',
  OPTION_NEW = 'n'
};

static const struct argp_option options[] = {
  { "listen", OPTION_LISTEN, "IP:PORT", 0, "Where to serve", 0 },
  { "operators", OPTION_OPERATORS, "FILE", 0, "Who may open it", 0 },
  { "new-operator", OPTION_NEW, "ID", 0,
    "Print an entry for that file and a new secret, and end", 0 },
  { 0 },
};

static int
new_operator (const char *id)
{
  doc_key_t key = { .withdrawn = false };
  char text[KEY_TEXT_BYTES];
  char salt[2 * KEY_SALT_BYTES + 1];
  char hash[2 * KEY_HASH_BYTES + 1];
  snprintf (key.id, sizeof key.id, "%s", id);
  doc_key_make (&key, text);
  sodium_bin2hex (salt, sizeof salt, key.salt, sizeof key.salt);
  sodium_bin2hex (hash, sizeof hash, key.hash, sizeof key.hash);
  printf ("{\"id\": \"%s\", \"salt\": \"%s\", \"hash\": \"%s\"}\n", key.id,
          salt, hash);
  fprintf (stderr, "secret: %s\n", strrchr (text, '.') + 1);
  return EX_OK;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  console_command_t *command = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &command->env;
      return 0;
    case OPTION_LISTEN:
      if (!settings_parse_addr (arg, &command->setup.listen))
        argp_error (state, "--listen %s: write it as A.B.C.D:PORT", arg);
      return 0;
    case OPTION_OPERATORS:
      command->operators = arg;
      return 0;
    case OPTION_NEW:
      exit (new_operator (arg));
    case ARGP_KEY_END:
      if (command->setup.listen.ip == 0 || command->operators == NULL)
        argp_error (state, "name --listen IP:PORT and --operators FILE");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child children[]
    = { { &cmd_env_argp, 0, NULL, 0 }, { NULL, 0, NULL, 0 } };

static const struct argp parser = {
  .options = options,
  .parser = parse_option,
  .children = children,
  .doc = "Serves the operators' console until it gets SIGTERM or SIGINT.\v"
         "Prints \"ready IP:PORT\" when it serves.",
};

/* Adds the misspelled names of one daemon's status to ALL.  */
static void
collect (json_t *all, const char *status_text)
{
  json_t *status = json_loads (status_text, 0, NULL);
  size_t i;
  json_t *entry;
  json_array_foreach (json_object_get (status, "misspelled"), i, entry)
  {
    json_array_append (all, entry);
  }
  json_decref (status);
}

static json_t *
misspelled (void *ctx)
{
  const cmd_env_t *env = ctx;
  json_t *all = json_array ();
  for (size_t i = 0; i < env->daemon_count; i++)
    {
      char *text = cmd_http (env->daemons[i], "GET", "/status", NULL, NULL);
      if (text != NULL)
        collect (all, text);
      free (text);
    }
  return all;
}

static int
serve (console_command_t *command, const char *name)
{
  error_info_t error = { .kind = ERROR_NONE };
  sigset_t stops;
  int signal_number;
  char text[ADDR_TEXT_BYTES];

  sigemptyset (&stops);
  sigaddset (&stops, SIGTERM);
  sigaddset (&stops, SIGINT);
  pthread_sigmask (SIG_BLOCK, &stops, NULL);
  if (!console_load_operators (command->operators, &command->setup, &error))
    return cmd_fail (name, &error);
  command->setup.env = cmd_env_open (&command->env);
  command->setup.misspelled = misspelled;
  command->setup.misspelled_ctx = &command->env;
  console_t *console = console_new (&command->setup, &error);
  if (console == NULL)
    return cmd_fail (name, &error);
  command->setup.listen.port = console_port (console);
  settings_format_addr (command->setup.listen, text);
  printf ("ready %s\n", text);
  fflush (stdout);
  sigwait (&stops, &signal_number);
  console_free (console);
  cmd_env_close (&command->env);
  return EX_OK;
}

int
cmd_console (int argc, char **argv)
{
  console_command_t *command = calloc (1, sizeof *command);
  int status = EX_USAGE;
  if (argp_parse (&parser, argc, argv, 0, NULL, command) == 0)
    status = serve (command, argv[0]);
  free (command);
  return status;
}
