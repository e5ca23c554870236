#include "config_feed.h"

#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "log.h"
#include "log_http.h"

struct config_feed_t
{
  daemon_t *daemon;
  log_http_t *log;
  config_part_t *part;
};

/* The directory and the contracts come first, so that no request meets the
   new routes with the old servers.  */
static void
put_in_force (void *ctx, doc_t *doc)
{
  config_feed_t *feed = ctx;
  daemon_t *daemon = feed->daemon;

  log_write (LOG_PART_CONFIG, LOG_LEVEL_NOTICE, "Version %llu is in force.",
             (unsigned long long)doc->version);
  directory_apply (daemon->directory, doc);
  contract_part_set_accounts (peers_contracts (daemon->peers), doc->accounts,
                              doc->account_count, daemon_now_us (daemon));
  snapshot_swap (&daemon->snapshot, doc);
}

static config_peer_t
self_peer (const daemon_t *daemon)
{
  config_peer_t self = { .vm = daemon->vm };

  memcpy (self.zone, daemon->settings.zone, sizeof self.zone);
  return self;
}

config_feed_t *
config_feed_new (daemon_t *daemon)
{
  config_feed_t *feed = calloc (1, sizeof *feed);

  feed->daemon = daemon;
  feed->log = log_http_new (daemon->settings.log, daemon->settings.log_stream);
  config_part_setup_t setup = { .options = config_options_default,
                                .self = self_peer (daemon),
                                .link = endpoint_link (daemon->endpoint),
                                .log = log_http_service (feed->log),
                                .clock = daemon->clock,
                                .rng = &daemon->rng,
                                .applied = put_in_force,
                                .ctx = feed };
  setup.options.poll_us = (int64_t)daemon->settings.log_poll_ms * US_PER_MS;
  feed->part = config_part_new (&setup);
  control_add (daemon->control, config_part_part (feed->part));
  return feed;
}

void
config_feed_start (config_feed_t *feed)
{
  config_part_start (feed->part);
}

void
config_feed_free (config_feed_t *feed)
{
  config_part_free (feed->part);
  log_http_free (feed->log);
  free (feed);
}

void
config_feed_set_peers (config_feed_t *feed, const config_peer_t *peers,
                       size_t count)
{
  config_part_set_peers (feed->part, peers, count);
}

config_part_t *
config_feed_part (config_feed_t *feed)
{
  return feed->part;
}
