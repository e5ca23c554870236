#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

#include "cmd.h"

enum
{
  DAEMONS_MAX = 64,
  LINES_MAX = 200
};

typedef struct why_command_t
{
  const char *request;
  const char *account;
  endpoint_addr_t daemons[DAEMONS_MAX];
  size_t daemon_count;
} why_command_t;

static const struct argp_option options[] = {
  { "account", 'a', "NAME", 0, "All recent decisions for a client account",
    0 },
  { "daemon", 'd', "IP:PORT", 0,
    "Admin address of a daemon; repeat it for more", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  why_command_t *why = state->input;
  switch (key)
    {
    case 'a':
      why->account = arg;
      return 0;
    case 'd':
      if (why->daemon_count == DAEMONS_MAX
          || !settings_parse_addr (arg, &why->daemons[why->daemon_count]))
        argp_error (state, "--daemon %s: write up to %d as A.B.C.D:PORT", arg,
                    DAEMONS_MAX);
      why->daemon_count++;
      return 0;
    case ARGP_KEY_ARG:
      why->request = arg;
      return 0;
    case ARGP_KEY_END:
      if ((why->request == NULL) == (why->account == NULL)
          || why->daemon_count == 0)
        argp_error (state, "name a REQUEST-ID or --account NAME, and at least "
                           "one --daemon IP:PORT");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .options = options,
  .parser = parse_option,
  .args_doc = "[REQUEST-ID]",
  .doc = "Tells from the daemons' recent decisions what happened to a request "
         "and what decided it.\v"
         "Exit status: 0 found, 1 not found, 69 no daemon answered.",
};

static bool
is_plain (const char *text)
{
  return strspn (text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                       "0123456789._-")
         == strlen (text);
}

static const char *
text_of (const json_t *decision, const char *name)
{
  const char *text = json_string_value (json_object_get (decision, name));
  return text != NULL ? text : "";
}

static int64_t
number_of (const json_t *decision, const char *name)
{
  return json_integer_value (json_object_get (decision, name));
}

/* A decision to be sorted by its time.  */
typedef struct line_t
{
  int64_t at_ms;
  const json_t *decision;
} line_t;

static int
compare_times (const void *a, const void *b)
{
  int64_t x = ((const line_t *)a)->at_ms;
  int64_t y = ((const line_t *)b)->at_ms;
  return (x > y) - (x < y);
}

static void
print_part (const char *before, const char *text, const char *after)
{
  if (*text != '\0')
    printf ("%s%s%s", before, text, after);
}

static void
print_decision (const json_t *d)
{
  int64_t at_ms = number_of (d, "at_ms");
  time_t at_s = (time_t)(at_ms / 1000);
  struct tm tm;
  char clock[32];
  gmtime_r (&at_s, &tm);
  strftime (clock, sizeof clock, "%Y-%m-%d %H:%M:%S", &tm);
  printf ("%s.%03d daemon %s: request %s", clock, (int)(at_ms % 1000),
          text_of (d, "daemon"), text_of (d, "request"));
  print_part (" of root ", text_of (d, "root"), "");
  print_part (" by client account ", text_of (d, "account"), "");
  print_part (" on route ", text_of (d, "route"), "");
  print_part (" sent to ", text_of (d, "vm"), "");
  printf (" took %lld ms: %s, status %lld",
          (long long)number_of (d, "took_ms"), text_of (d, "outcome"),
          (long long)number_of (d, "status"));
  if (strcmp (text_of (d, "reason"), "none") != 0)
    printf (", because of %s", text_of (d, "reason"));
  print_part (" (", text_of (d, "object"), ")");
  print_part ("; ", text_of (d, "remedy"), "");
  printf (".\n");
}

/* Adds one daemon's decisions to ALL; false when it did not answer.  */
static bool
collect (const why_command_t *why, endpoint_addr_t daemon, json_t *all)
{
  char path[2 * PATH_BYTES];
  char address[ADDR_TEXT_BYTES];
  size_t i;
  json_t *decision;
  snprintf (path, sizeof path, "/recent?%s=%s",
            why->request != NULL ? "request" : "account",
            why->request != NULL ? why->request : why->account);
  char *text = cmd_http (daemon, "GET", path, NULL, NULL);
  json_t *found = text != NULL ? json_loads (text, 0, NULL) : NULL;
  settings_format_addr (daemon, address);
  json_array_foreach (found, i, decision)
  {
    json_object_set_new (decision, "daemon", json_string (address));
    json_array_append (all, decision);
  }
  free (text);
  json_decref (found);
  return found != NULL;
}

static void
print_sorted (const json_t *all)
{
  size_t count = json_array_size (all);
  line_t *sorted = calloc (count + 1, sizeof *sorted);
  for (size_t i = 0; i < count; i++)
    {
      sorted[i].decision = json_array_get (all, i);
      sorted[i].at_ms = number_of (sorted[i].decision, "at_ms");
    }
  qsort (sorted, count, sizeof *sorted, compare_times);
  for (size_t i = count > LINES_MAX ? count - LINES_MAX : 0; i < count; i++)
    print_decision (sorted[i].decision);
  free (sorted);
}

int
cmd_why (int argc, char **argv)
{
  why_command_t why = { .request = NULL };
  if (argp_parse (&parser, argc, argv, 0, NULL, &why) != 0)
    return EX_USAGE;
  if (!is_plain (why.request != NULL ? why.request : why.account))
    {
      fprintf (stderr,
               "%s: ids and names have letters, digits, '.', '_' and "
               "'-' only\n",
               argv[0]);
      return EX_USAGE;
    }
  json_t *all = json_array ();
  size_t answered = 0;
  for (size_t i = 0; i < why.daemon_count; i++)
    answered += collect (&why, why.daemons[i], all);
  print_sorted (all);
  size_t found = json_array_size (all);
  json_decref (all);
  if (answered < why.daemon_count)
    fprintf (stderr, "%s: %zu of %zu daemons did not answer\n", argv[0],
             why.daemon_count - answered, why.daemon_count);
  if (answered == 0)
    return EX_UNAVAILABLE;
  if (found == 0)
    printf ("None of the daemons asked remembers it.\n");
  return found > 0 ? EX_OK : 1;
}
