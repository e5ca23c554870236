#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <sysexits.h>

#include "cmd.h"
#include "daemon.h"
#include "log.h"

typedef struct daemon_options_t
{
  const char *settings_path;
} daemon_options_t;

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0, "read the settings from FILE", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  daemon_options_t *chosen = state->input;

  switch (key)
    {
    case 's':
      chosen->settings_path = arg;
      return 0;
    case ARGP_KEY_END:
      if (chosen->settings_path == NULL)
        argp_error (state, "name a settings file with --settings FILE");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { options, parse_option,
        NULL,    "Runs the daemon until SIGTERM, then stops gracefully.",
        NULL,    NULL,
        NULL };

static void
print_addr (const char *name, endpoint_addr_t addr)
{
  char text[ADDR_TEXT_BYTES];
  settings_format_addr (addr, text);
  printf (" %s=%s", name, text);
}

static void
print_ready (const daemon_t *daemon)
{
  endpoint_addr_t control = { vm_id_ip (daemon->vm), vm_id_port (daemon->vm) };

  printf ("ready");
  print_addr ("listen", daemon->settings.listen);
  print_addr ("peer", daemon->settings.peer);
  print_addr ("control", control);
  print_addr ("admin", daemon->settings.admin);
  printf ("\n");
  fflush (stdout);
}

/* Blocks the signals in every thread; the main thread waits for them.  */
static sigset_t
block_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  return set;
}

int
cmd_daemon (int argc, char **argv)
{
  daemon_options_t chosen = { NULL };
  settings_t settings;
  error_info_t error = { ERROR_NONE, "", "" };
  log_level_t level = LOG_LEVEL_NOTICE;
  int signal_number = 0;

  argp_parse (&parser, argc, argv, 0, NULL, &chosen);
  if (!settings_load (chosen.settings_path, &settings, &error))
    return cmd_fail (argv[0], &error);
  if (sodium_init () < 0 || !log_open ())
    return EX_OSERR;
  if (log_level_parse (settings.log_level, &level))
    log_set_all (level);
  sigset_t signals = block_signals ();
  daemon_t *daemon = daemon_new (&settings, clock_system (), &error);
  if (daemon == NULL)
    return cmd_fail (argv[0], &error);
  print_ready (daemon);
  log_write (LOG_PART_DAEMON, LOG_LEVEL_NOTICE, "Started.");
  sigwait (&signals, &signal_number);
  log_write (LOG_PART_DAEMON, LOG_LEVEL_NOTICE, "Stopping gracefully.");
  daemon_drain (daemon);
  daemon_free (daemon);
  return EX_OK;
}
