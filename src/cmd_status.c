#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "cmd.h"

typedef struct status_options_t
{
  endpoint_addr_t daemon;
  bool named;
  bool fleet;
} status_options_t;

static const struct argp_option options[] = {
  { "daemon", 'd', "IP:PORT", 0, "Admin address of the daemon", 0 },
  { "fleet", 'f', NULL, 0, "Show which daemons lag with the configuration",
    0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  status_options_t *wanted = state->input;

  switch (key)
    {
    case 'd':
      if (!settings_parse_addr (arg, &wanted->daemon))
        argp_error (state, "--daemon %s: write it as A.B.C.D:PORT", arg);
      wanted->named = true;
      return 0;
    case 'f':
      wanted->fleet = true;
      return 0;
    case ARGP_KEY_END:
      if (!wanted->named)
        argp_error (state, "name the daemon with --daemon IP:PORT");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .options = options,
  .parser = parse_option,
  .doc = "Prints what a daemon knows: members, limits, queue, contracts, "
         "configuration version, refusals and retries by reason.\v"
         "Exit status: 0, 1 with --fleet when a daemon lags, 64 wrong usage, "
         "69 no answer, 76 an answer that "
         "is no status.",
};

/* Prints one line for each member and returns whether it lags behind the
   version NEWEST.  */
static int
print_member (const char *service, const json_t *member, json_int_t newest)
{
  const char *vm = json_string_value (json_object_get (member, "vm"));
  const char *zone = json_string_value (json_object_get (member, "zone"));
  const char *state = json_string_value (json_object_get (member, "state"));
  json_int_t version
      = json_integer_value (json_object_get (member, "config_version"));
  printf ("%-22s %-16s %-12s %-8s version %lld", vm != NULL ? vm : "?",
          *service != '\0' ? service : "-", zone != NULL ? zone : "?",
          state != NULL ? state : "?", (long long)version);
  if (version < newest)
    printf (", %lld behind", (long long)(newest - version));
  putchar ('\n');
  return version < newest;
}

/* The members that a daemon knows, and how many of them lag.  */
static int
print_fleet (const json_t *status)
{
  json_t *parts = json_object_get (status, "parts");
  json_t *services
      = json_object_get (json_object_get (parts, "member"), "services");
  json_int_t newest = json_integer_value (
      json_object_get (json_object_get (parts, "config"), "version"));
  const char *service;
  json_t *members;
  json_t *member;
  size_t i;
  int lagging = 0;

  json_object_foreach (services, service, members)
  {
    json_array_foreach (members, i, member)
    {
      lagging += print_member (service, member, newest);
    }
  }
  printf ("newest version %lld; %d behind, as far as this daemon knows",
          (long long)newest, lagging);
  return lagging;
}

int
cmd_status (int argc, char **argv)
{
  error_info_t error = { .kind = ERROR_NONE };
  status_options_t wanted = { .named = false };

  if (argp_parse (&parser, argc, argv, 0, NULL, &wanted) != 0)
    return EX_USAGE;
  char *text = cmd_http (wanted.daemon, "GET", "/status", NULL, &error);
  if (text == NULL)
    return cmd_fail (argv[0], &error);
  json_t *status = json_loads (text, 0, NULL);
  free (text);
  if (status == NULL)
    {
      error_set (&error, ERROR_PROTOCOL, NULL,
                 "the answer is no JSON; name the daemon's admin address");
      return cmd_fail (argv[0], &error);
    }
  int lagging = 0;
  if (wanted.fleet)
    lagging = print_fleet (status);
  else
    json_dumpf (status, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (status);
  return lagging > 0 ? 1 : EX_OK;
}
