#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cmd.h"
#include "doc.h"

/* A document has them at the top, a settings file never.  */
static const char *const document_fields[]
    = { "accounts", "services", "routes", "version", "base_version" };

enum
{
  DOCUMENT_FIELD_COUNT = sizeof document_fields / sizeof document_fields[0]
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const char **path = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (*path != NULL)
        argp_error (state, "name one FILE");
      *path = arg;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "name the FILE to check");
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .parser = parse_option,
  .args_doc = "FILE",
  .doc = "Checks a settings file or a configuration document.\v"
         "Prints one line for each fault: file, JSON path, what is wrong and "
         "what to write instead.  Exit status: 0 sound, 65 bad document, 78 "
         "bad settings, 74 unreadable file, 64 wrong usage.",
};

/* A text that does not parse at all is checked as what its words suggest.  */
static bool
is_document (const char *text, size_t size)
{
  json_t *root = json_loadb (text, size, 0, NULL);
  bool found = false;

  for (size_t i = 0; i < DOCUMENT_FIELD_COUNT && !found; i++)
    {
      const char *name = document_fields[i];
      found = root != NULL ? json_object_get (root, name) != NULL
                           : memmem (text, size, name, strlen (name)) != NULL;
    }
  json_decref (root);
  return found;
}

static int
check_document (const char *path, const char *text, size_t size)
{
  doc_errors_t *errors = calloc (1, sizeof *errors);
  int status = EX_OK;

  if (errors == NULL)
    return EX_SOFTWARE;
  doc_t *doc = doc_parse (text, size, errors);
  if (doc == NULL)
    status = EX_DATAERR;
  else
    printf ("%s: sound document, version %llu\n", path,
            (unsigned long long)doc->version);
  for (size_t i = 0; doc == NULL && i < errors->count; i++)
    fprintf (stderr, "%s: %s: %s\n", path, errors->items[i].path,
             errors->items[i].message);
  doc_free (doc);
  free (errors);
  return status;
}

int
cmd_check (int argc, char **argv)
{
  error_info_t error = { .kind = ERROR_NONE };
  const char *path = NULL;
  settings_t settings;
  size_t size;

  if (argp_parse (&parser, argc, argv, 0, NULL, &path) != 0)
    return EX_USAGE;
  char *text = settings_read_file (path, DOC_BYTES_MAX, &size, &error);
  if (text == NULL)
    return cmd_fail (argv[0], &error);
  bool document = is_document (text, size);
  int status = document ? check_document (path, text, size) : EX_OK;
  free (text);
  if (document)
    return status;
  if (!settings_load (path, &settings, &error))
    {
      fprintf (stderr, "%s\n", error.message);
      return error_exit_status (error.kind);
    }
  printf ("%s: sound settings\n", path);
  return EX_OK;
}
