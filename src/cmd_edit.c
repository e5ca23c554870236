#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd.h"
#include "cmd_env.h"
#include "edit.h"

enum
{
  WORDS_MAX = 4
};

typedef struct edit_command_t
{
  cmd_env_t env;
  edit_t edit;
  const char *words[WORDS_MAX];
  size_t word_count;
} edit_command_t;

enum
{
  OPTION_KEY_ID = 'k',
  OPTION_BURST = 'u'
};

static const struct argp_option key_options[] = {
  { "key", OPTION_KEY_ID, "ID", 0, "Withdraw only the key with this id", 0 },
  { 0 },
};

static const struct argp_option rate_options[] = {
  { "burst", OPTION_BURST, "N", 0, "Change the burst as well", 0 },
  { 0 },
};

static uint32_t
parse_number (struct argp_state *state, const char *text)
{
  char *end;
  unsigned long number = strtoul (text, &end, 10);
  if (end == text || *end != '\0' || number == 0 || number > UINT32_MAX)
    argp_error (state, "%s: write a whole number from 1 on", text);
  return (uint32_t)number;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  edit_command_t *command = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &command->env;
      return 0;
    case OPTION_KEY_ID:
      command->edit.key_id = arg;
      return 0;
    case OPTION_BURST:
      command->edit.burst = parse_number (state, arg);
      return 0;
    case ARGP_KEY_ARG:
      if (command->word_count == WORDS_MAX)
        argp_error (state, "too many arguments; see --help");
      command->words[command->word_count++] = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child children[]
    = { { &cmd_env_argp, 0, NULL, 0 }, { NULL, 0, NULL, 0 } };

static int
run (edit_command_t *command, const char *name, publish_edit_t edit)
{
  error_info_t error = { .kind = ERROR_NONE };
  doc_version_t version = 0;
  publish_env_t env = cmd_env_open (&command->env);
  publish_result_t result
      = publish_edit (&env, edit, &command->edit, &version, &error);
  int status = cmd_env_report (&command->env, name, result, version, &error);
  cmd_env_close (&command->env);
  return status;
}

static int
usage (const char *name, const char *text)
{
  fprintf (stderr, "%s: write %s; see --help\n", name, text);
  return EX_USAGE;
}

static int
set_out (int argc, char **argv, bool out, const char *doc)
{
  const struct argp parser = { .parser = parse_option,
                               .args_doc = "zone|server NAME",
                               .doc = doc,
                               .children = children };
  edit_command_t command = { .word_count = 0 };
  if (argp_parse (&parser, argc, argv, 0, NULL, &command) != 0)
    return EX_USAGE;
  const char *kind = command.words[0];
  if (command.word_count != 2
      || (strcmp (kind, "zone") != 0 && strcmp (kind, "server") != 0))
    return usage (argv[0], "zone NAME or server IP:PORT");
  command.edit.kind = kind;
  command.edit.name = command.words[1];
  command.edit.out = out;
  return run (&command, argv[0], edit_set_out);
}

int
cmd_take_out (int argc, char **argv)
{
  return set_out (argc, argv, true,
                  "Takes an availability zone or a backend server out: it "
                  "gets no new work.  A server is named by its daemon's "
                  "control address.");
}

int
cmd_bring_back (int argc, char **argv)
{
  return set_out (argc, argv, false,
                  "Brings an availability zone or a backend server back.");
}

static int
new_key (edit_command_t *command, const char *name)
{
  int status = run (command, name, edit_new_key);
  if (status == EX_OK)
    printf ("%s\n", command->edit.key_text);
  else
    fprintf (stderr,
             "%s: the new key is not known to be in force and is "
             "forgotten; make another\n",
             name);
  return status;
}

int
cmd_key (int argc, char **argv)
{
  const struct argp parser
      = { .options = key_options,
          .parser = parse_option,
          .args_doc = "new|withdraw ACCOUNT",
          .doc = "Makes a key for a client account, printed once, or "
                 "withdraws its keys.",
          .children = children };
  edit_command_t command = { .word_count = 0 };
  if (argp_parse (&parser, argc, argv, 0, NULL, &command) != 0)
    return EX_USAGE;
  if (command.word_count != 2)
    return usage (argv[0], "new ACCOUNT or withdraw ACCOUNT");
  command.edit.name = command.words[1];
  if (strcmp (command.words[0], "new") == 0)
    return new_key (&command, argv[0]);
  if (strcmp (command.words[0], "withdraw") == 0)
    return run (&command, argv[0], edit_withdraw_key);
  return usage (argv[0], "new ACCOUNT or withdraw ACCOUNT");
}

int
cmd_rate (int argc, char **argv)
{
  const struct argp parser = { .options = rate_options,
                               .parser = parse_option,
                               .args_doc = "set ACCOUNT REQUESTS_PER_S",
                               .doc = "Sets a client account's rate.",
                               .children = children };
  edit_command_t command = { .word_count = 0 };
  char *end;
  if (argp_parse (&parser, argc, argv, 0, NULL, &command) != 0)
    return EX_USAGE;
  if (command.word_count != 3 || strcmp (command.words[0], "set") != 0)
    return usage (argv[0], "set ACCOUNT REQUESTS_PER_S");
  command.edit.name = command.words[1];
  command.edit.rate_per_s = (uint32_t)strtoul (command.words[2], &end, 10);
  if (*end != '\0')
    return usage (argv[0], "the rate as a whole number");
  return run (&command, argv[0], edit_set_rate);
}
