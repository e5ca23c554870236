#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd.h"
#include "cmd_env.h"

typedef struct publish_command_t
{
  cmd_env_t env;
  const char *file;
  doc_version_t base;
  bool has_base;
  bool dry_run;
} publish_command_t;

static const struct argp_option options[] = {
  { "base", 'b', "VERSION", 0, "The version that FILE was edited from", 0 },
  { "dry-run", 'n', NULL, 0, "Only show what would change", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  publish_command_t *command = state->input;
  char *end;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &command->env;
      return 0;
    case 'b':
      command->base = strtoull (arg, &end, 10);
      command->has_base = true;
      if (*end != '\0' || end == arg)
        argp_error (state, "--base %s: write a whole number", arg);
      return 0;
    case 'n':
      command->dry_run = true;
      return 0;
    case ARGP_KEY_ARG:
      if (command->file != NULL)
        argp_error (state, "name one FILE");
      command->file = arg;
      return 0;
    case ARGP_KEY_END:
      if (command->file == NULL || !command->has_base)
        argp_error (state, "name a FILE and its --base VERSION");
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
  .args_doc = "FILE",
  .children = children,
  .doc = "Publishes a configuration document.\v"
         "FILE's own version and publication id are replaced.  Of several "
         "publications on one base the first in the log wins; the others are "
         "told what changed.  The same command may be repeated safely.  Exit "
         "status: 0 in force, 65 bad document, 69 log service down, 75 not "
         "the newest base, or not known yet.",
};

static json_t *
load_root (const char *file, error_info_t *error)
{
  json_error_t fault;
  json_t *root = json_load_file (file, JSON_REJECT_DUPLICATES, &fault);
  if (root == NULL)
    error_set (error, ERROR_DOCUMENT, NULL, "%s: line %d: %s; mend the JSON",
               file, fault.line, fault.text);
  else if (!json_is_object (root))
    error_set (error, ERROR_DOCUMENT, NULL, "%s: must be a JSON object", file);
  return root;
}

static int
report_faults (const char *file, const doc_errors_t *errors)
{
  for (size_t i = 0; i < errors->count; i++)
    fprintf (stderr, "%s: %s: %s\n", file, errors->items[i].path,
             errors->items[i].message);
  return EX_DATAERR;
}

static void
print_difference (const char *title, const char *from_text,
                  const doc_t *to_doc)
{
  static const char none[] = "{\"version\":1,\"base_version\":0,"
                             "\"publication_id\":\"none\"}";
  doc_errors_t errors;
  const char *text = from_text != NULL && *from_text ? from_text : none;
  doc_t *from = doc_parse (text, strlen (text), &errors);
  if (from == NULL)
    return;
  char *difference = doc_diff (from, to_doc);
  printf ("%s\n%s", title, *difference ? difference : "Nothing.\n");
  free (difference);
  doc_free (from);
}

/* Shows the loser of a conflict what changed since its base.  */
static void
print_conflict (const publish_env_t *env, doc_version_t base)
{
  publish_current_t current;
  doc_errors_t errors;
  if (!publish_fetch (env, base, &current, NULL))
    return;
  doc_t *newest = doc_parse (current.text, strlen (current.text), &errors);
  if (newest != NULL && current.base_text != NULL)
    print_difference ("Changed since the base:", current.base_text, newest);
  printf ("The newest version is %llu.\n",
          (unsigned long long)current.head.version);
  doc_free (newest);
  publish_current_free (&current);
}

static int
dry_run (const publish_env_t *env, const char *name,
         const publish_draft_t *draft)
{
  error_info_t error = { .kind = ERROR_NONE };
  publish_current_t current;
  if (!publish_fetch (env, 0, &current, &error))
    return cmd_fail (name, &error);
  print_difference ("Would change:", current.text, draft->doc);
  if (current.head.version != draft->base.version)
    printf ("But the newest version is %llu, not the base.\n",
            (unsigned long long)current.head.version);
  publish_current_free (&current);
  return EX_OK;
}

static int
publish (publish_command_t *command, const char *name,
         const publish_draft_t *draft)
{
  error_info_t error = { .kind = ERROR_NONE };
  publish_env_t env = cmd_env_open (&command->env);
  int status;
  if (command->dry_run)
    status = dry_run (&env, name, draft);
  else
    {
      publish_result_t result = publish_run (&env, draft);
      status = cmd_env_report (&command->env, name, result,
                               draft->doc->version, &error);
      if (result == PUBLISH_CONFLICT)
        print_conflict (&env, draft->base.version);
    }
  cmd_env_close (&command->env);
  return status;
}

int
cmd_publish (int argc, char **argv)
{
  error_info_t error = { .kind = ERROR_NONE };
  publish_command_t command = { .file = NULL };
  publish_draft_t draft;

  if (argp_parse (&parser, argc, argv, 0, NULL, &command) != 0)
    return EX_USAGE;
  json_t *root = load_root (command.file, &error);
  if (error.kind != ERROR_NONE)
    {
      json_decref (root);
      return cmd_fail (argv[0], &error);
    }
  doc_errors_t *errors = calloc (1, sizeof *errors);
  config_head_t base = { .version = command.base };
  int status = publish_draft_make (root, &base, &draft, errors)
                   ? publish (&command, argv[0], &draft)
                   : report_faults (command.file, errors);
  publish_draft_free (&draft);
  json_decref (root);
  free (errors);
  return status;
}
