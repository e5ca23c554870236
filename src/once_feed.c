#include "once_feed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "log.h"

#define MEMBERS_STREAM_PREFIX "members-"

struct once_feed_t
{
  daemon_t *daemon;
  log_http_t *log;
  epochs_part_t *epochs;
};

static bool
own_service (void *ctx, char *name, log_service_t *log)
{
  once_feed_t *feed = ctx;
  backend_t backend = daemon_backend (feed->daemon);
  char stream[sizeof MEMBERS_STREAM_PREFIX + NAME_BYTES];

  if (!backend.present)
    return false;
  memcpy (name, backend.service, NAME_BYTES);
  snprintf (stream, sizeof stream, MEMBERS_STREAM_PREFIX "%s", name);
  feed->log = log_http_new (feed->daemon->settings.log, stream);
  *log = log_http_service (feed->log);
  return true;
}

/* Members that may be homes: alive, not leaving, and not taken out.  */
static size_t
see_members (void *ctx, once_member_t *members)
{
  once_feed_t *feed = ctx;
  daemon_t *daemon = feed->daemon;
  backend_t backend = daemon_backend (daemon);
  vm_id_t vms[ONCE_MEMBERS_MAX];
  size_t listed = directory_list (daemon->directory, backend.service, vms,
                                  ONCE_MEMBERS_MAX);
  size_t count = 0;

  for (size_t i = 0; i < listed; i++)
    {
      directory_entry_t entry;
      if (!directory_find (daemon->directory, vms[i], &entry)
          || (entry.vm == daemon->vm && atomic_load (&daemon->draining)))
        continue;
      members[count++] = (once_member_t){ entry.vm, entry.incarnation };
    }
  return count;
}

static void
tell_quarantine (daemon_t *daemon, const once_epochs_t *epochs)
{
  vm_id_t vms[ONCE_MEMBERS_MAX];

  for (size_t i = 0; i < epochs->count; i++)
    vms[i] = epochs->members[i].vm;
  quarantine_part_set_members (exec_quarantine (daemon->exec), vms,
                               epochs->count);
}

static void
epoch_began (void *ctx, const once_epochs_t *epochs)
{
  once_feed_t *feed = ctx;

  log_write (
      LOG_PART_ONCE, LOG_LEVEL_NOTICE, "Epoch %llu of %s has %zu members.",
      (unsigned long long)epochs->epoch, epochs->service, epochs->count);
  tell_quarantine (feed->daemon, epochs);
  once_part_set_members (once_serve_part (feed->daemon->once), epochs->members,
                         epochs->count, epochs->epoch);
}

once_feed_t *
once_feed_new (daemon_t *daemon)
{
  once_feed_t *feed = calloc (1, sizeof *feed);

  feed->daemon = daemon;
  epochs_setup_t setup = { .self = { daemon->vm, daemon->incarnation },
                           .clock = daemon->clock,
                           .service = own_service,
                           .see = see_members,
                           .changed = epoch_began,
                           .ctx = feed };
  feed->epochs = epochs_part_new (&setup);
  return feed;
}

void
once_feed_free (once_feed_t *feed)
{
  epochs_part_free (feed->epochs);
  if (feed->log != NULL)
    log_http_free (feed->log);
  free (feed);
}
