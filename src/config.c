#include "config_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "invariant.h"

const config_options_t config_options_default = {
  .poll_us = 1 * US_PER_S,
  .reads_per_s_max = 400,
  .pollers_per_group = 1,
  .gossip_us = 1 * US_PER_S,
  .hot_us = 200 * US_PER_MS,
  .hot_rounds = 6,
  .fanout = 3,
  .retention_us = 3600LL * US_PER_S,
  .starter_wait_us = 1 * US_PER_S,
  .settle_us = 5LL * US_PER_S,
  .silence_us = 3LL * US_PER_S,
  .rules = { true, true, true },
  .gossips = true,
  .puts_back = true,
  .renews = true,
  .doubts = true,
};

config_t *
config_new (const config_options_t *options, const config_peer_t *self,
            link_t link, config_callbacks_t callbacks, const rng_t *rng,
            int64_t now_us)
{
  config_t *config = calloc (1, sizeof *config);
  config->options = *options;
  config->self = *self;
  config->link = link;
  config->callbacks = callbacks;
  config->rng = rng;
  config->started_us = now_us;
  config->heard_us = now_us;
  config->unsure_us = now_us + options->settle_us;
  config->log.head_offset = CONFIG_OFFSET_NONE;
  config->hot_due_us = now_us;
  config->gossip_due_us = now_us;
  config_set_peers (config, NULL, 0);
  return config;
}

void
config_free (config_t *config)
{
  if (config == NULL)
    return;
  config_pull_free (config->pull);
  config_text_free (config->text);
  free (config->peers);
  free (config);
}

void
config_set_wall (config_t *config, int64_t wall_ms, int64_t now_us)
{
  config->wall_offset_ms = wall_ms - now_us / US_PER_MS;
}

int64_t
config_wall_ms (const config_t *config, int64_t now_us)
{
  return now_us / US_PER_MS + config->wall_offset_ms;
}

static uint64_t
group_hash (const config_peer_t *peer)
{
  uint64_t zone = XXH3_64bits (peer->zone, strlen (peer->zone));
  return XXH3_64bits_withSeed (peer->service, strlen (peer->service), zone);
}

/* Weight of a VM in its group by rendezvous hashing.  */
static uint64_t
poller_weight (uint64_t group, vm_id_t vm)
{
  return XXH3_64bits_withSeed (&vm, sizeof vm, group);
}

static int
compare_hashes (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return (x > y) - (x < y);
}

/* Pollers of all groups that have a known member.  */
static size_t
count_pollers (const config_t *config)
{
  size_t count = 0;
  size_t unnamed = 0;
  uint64_t *groups = malloc ((config->peer_count + 1) * sizeof *groups);
  groups[count++] = group_hash (&config->self);
  for (size_t i = 0; i < config->peer_count; i++)
    if (*config->peers[i].service != '\0')
      groups[count++] = group_hash (&config->peers[i]);
    else
      unnamed++;
  qsort (groups, count, sizeof *groups, compare_hashes);

  size_t pollers = 0;
  size_t in_group = 0;
  for (size_t i = 0; i < count; i++)
    {
      in_group = i > 0 && groups[i] == groups[i - 1] ? in_group + 1 : 1;
      pollers += in_group <= config->options.pollers_per_group;
    }
  free (groups);
  return pollers + unnamed;
}

static bool
is_poller (const config_t *config)
{
  uint64_t group = group_hash (&config->self);
  uint64_t weight = poller_weight (group, config->self.vm);
  uint32_t above = 0;
  for (size_t i = 0; i < config->peer_count; i++)
    above += *config->peers[i].service != '\0'
             && group_hash (&config->peers[i]) == group
             && poller_weight (group, config->peers[i].vm) > weight;
  return above < config->options.pollers_per_group;
}

/* Appends the peers that are of this daemon's service, or those that are not.
 */
static void
copy_peers (config_t *config, const config_peer_t *peers, size_t count,
            bool same_service)
{
  for (size_t i = 0; i < count; i++)
    if (peers[i].vm != config->self.vm
        && (*peers[i].service != '\0'
            && strcmp (peers[i].service, config->self.service) == 0)
               == same_service)
      config->peers[config->peer_count++] = peers[i];
}

void
config_set_peers (config_t *config, const config_peer_t *peers, size_t count)
{
  free (config->peers);
  config->peers = malloc (count * sizeof *peers + 1);
  config->peer_count = 0;
  for (size_t i = 0; i < count; i++)
    if (peers[i].vm == config->self.vm)
      config->self = peers[i];
  copy_peers (config, peers, count, true);
  config->group_count = config->peer_count;
  copy_peers (config, peers, count, false);
  config->pollers = count_pollers (config);
  config->poller = is_poller (config);
}

void
config_take_head (config_t *config, const config_head_t *head,
                  config_text_t *text, int64_t now_us)
{
  INVARIANT (head->version >= config->head.version,
             "head goes from version %llu to %llu",
             (unsigned long long)config->head.version,
             (unsigned long long)head->version);
  if (config->head.anchored || config->head.version == 0)
    config->unanchored_us = now_us;
  config->head = *head;
  config_text_free (config->text);
  config->text = text;
  config->agreed = false;
  config->unapplied = true;
  config->hot_left = config->options.hot_rounds;
  config->hot_due_us = now_us;
  config->log.head_offset = CONFIG_OFFSET_NONE;
  config->log.missing_rounds = 0;
  config->log.append_wanted = false;
  if (config->pull != NULL
      && !config_head_yields (head, &config->options.rules,
                              config_pull_head (config->pull)))
    {
      config_pull_free (config->pull);
      config->pull = NULL;
    }
}

char *
config_apply_begin (config_t *config, config_head_t *head)
{
  if (!config->unapplied)
    return NULL;
  config->unapplied = false;
  *head = config->head;
  char *text = malloc (config->text->size + 1);
  memcpy (text, config->text->data, config->text->size + 1);
  return text;
}

static void
refuse (config_t *config, const config_head_t *head,
        const doc_errors_t *errors)
{
  if (!config_head_same (head, &config->head))
    return;
  config->refused = errors->items[0];
}

void
config_apply_end (config_t *config, const config_head_t *head, doc_t *doc,
                  const doc_errors_t *errors)
{
  doc_errors_t differs = { .count = 0 };
  if (doc == NULL)
    {
      refuse (config, head, errors);
      return;
    }
  if (doc->version != head->version
      || strcmp (doc->publication_id, head->publication_id) != 0)
    {
      error_set (&differs.items[0], ERROR_DOCUMENT, "/version",
                 "differs from its record's head line; publish it again with "
                 "redwingford publish");
      refuse (config, head, &differs);
      doc_free (doc);
      return;
    }
  if (doc->version < config->in_force && config->options.rules.forward_only)
    {
      doc_free (doc);
      return;
    }
  INVARIANT (doc->version >= config->in_force,
             "version %llu in force goes back to %llu",
             (unsigned long long)config->in_force,
             (unsigned long long)doc->version);
  config->in_force = doc->version;
  memcpy (config->in_force_id, doc->publication_id,
          sizeof config->in_force_id);
  error_clear (&config->refused);
  config->callbacks.applied (config->callbacks.ctx, doc);
}

void
config_apply (config_t *config)
{
  config_head_t head;
  doc_errors_t errors;
  char *text = config_apply_begin (config, &head);
  if (text == NULL)
    return;
  doc_t *doc = doc_parse (text, head.text_size, &errors);
  free (text);
  config_apply_end (config, &head, doc, &errors);
}

static bool
is_confirmed (const config_t *config, int64_t now_us)
{
  if (config->head.version == 0)
    return false;
  if (!config->options.doubts)
    return true;
  return config->head.anchored && now_us >= config->unsure_us
         && (config->agreed || config->peer_count == 0);
}

void
config_get_status (const config_t *config, config_status_t *status,
                   int64_t now_us)
{
  *status = (config_status_t){
    .head = config->head,
    .in_force = config->in_force,
    .confirmed = is_confirmed (config, now_us),
    .poller = config->poller,
    .log_up = config->log.up,
    .log_next = config->log.cursor,
    .reads = config->reads,
    .appends = config->appends,
    .pulls = config->pulls,
    .lost = config->lost,
    .bad_records = config->bad_records,
    .refused = config->refused,
  };
  memcpy (status->in_force_id, config->in_force_id,
          sizeof status->in_force_id);
}

const char *
config_text (const config_t *config, size_t *size)
{
  *size = config->text != NULL ? config->text->size : 0;
  return config->text != NULL ? config->text->data : "";
}
