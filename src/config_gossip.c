#include "config_internal.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  TICK_US = 100 * US_PER_MS
};

static void
send_message (const config_t *config, vm_id_t to, config_message *message)
{
  char buffer[MESSAGE_BYTES_MAX];
  XDR xdrs;
  xdrmem_create (&xdrs, buffer, sizeof buffer, XDR_ENCODE);
  if (xdr_config_message (&xdrs, message))
    config->link.send (config->link.ctx, to, MESSAGE_CONFIG, buffer,
                       xdr_getpos (&xdrs));
  xdr_destroy (&xdrs);
}

static void
send_announce (config_t *config, vm_id_t to, bool asks)
{
  config_head_t *head = &config->head;
  config_message message = { .kind = CONFIG_ANNOUNCE };
  message.config_message_u.announce = (config_announce){
    .doc_version = head->version,
    .publication_id = head->publication_id,
    .accepted_ms = head->accepted_ms,
    .anchored = head->anchored,
    .text_hash = head->text_hash,
    .text_size = head->text_size,
    .asks = asks,
  };
  send_message (config, to, &message);
}

/* A peer of the same service or of any, by turns of chance: of other services
   a daemon may know but a few members, and they must not be the only ones
   that hear.  */
static vm_id_t
choose_peer (const config_t *config)
{
  bool near = config->group_count > 0 && rng_chance (config->rng, 0.5);
  size_t count = near ? config->group_count : config->peer_count;
  return config->peers[rng_below (config->rng, count)].vm;
}

static void
announce_to_some (config_t *config, uint32_t count, bool asks)
{
  for (uint32_t i = 0; i < count && config->peer_count > 0; i++)
    send_announce (config, choose_peer (config), asks);
}

static void
drop_pull (config_t *config)
{
  config_pull_free (config->pull);
  config->pull = NULL;
}

static void
pull_on (config_t *config, int64_t now_us)
{
  config_message message;
  if (config_pull_ask (config->pull, &message, now_us))
    send_message (config, config_pull_from (config->pull), &message);
}

static void
finish_pull (config_t *config, int64_t now_us)
{
  config_text_t *text = config_pull_take (config->pull);
  if (text == NULL)
    {
      pull_on (config, now_us);
      return;
    }
  config_head_t head = *config_pull_head (config->pull);
  drop_pull (config);
  if (!config_head_yields (&config->head, &config->options.rules, &head))
    {
      config_text_free (text);
      return;
    }
  config_take_head (config, &head, text, now_us);
  config->agreed = true;
  config->pulls++;
}

static bool
pull_covers (const config_t *config, const config_head_t *offered)
{
  return config->pull != NULL
         && !config_head_yields (config_pull_head (config->pull),
                                 &config->options.rules, offered);
}

static void
receive_announce (config_t *config, vm_id_t from,
                  const config_announce *announce, int64_t now_us)
{
  config_head_t offered = {
    .version = announce->doc_version,
    .accepted_ms = announce->accepted_ms,
    .anchored = announce->anchored,
    .text_hash = announce->text_hash,
    .text_size = announce->text_size,
  };
  strncpy (offered.publication_id, announce->publication_id,
           sizeof offered.publication_id - 1);

  if (config_head_same (&config->head, &offered))
    {
      if (offered.version == 0)
        return;
      config_head_merge (&config->head, &offered);
      config->agreed = true;
      if (config->hot_left > 0)
        config->hot_left--;
      if (announce->asks)
        send_announce (config, from, false);
      return;
    }
  if (!config_head_yields (&config->head, &config->options.rules, &offered))
    {
      send_announce (config, from, false);
      return;
    }
  if (pull_covers (config, &offered))
    return;
  drop_pull (config);
  config->pull = config_pull_new (&offered, from, now_us);
  pull_on (config, now_us);
}

static bool
knows_text (const config_t *config, uint64_t hash)
{
  return config->text != NULL && config->text->hash == hash;
}

static void
answer_list (config_t *config, vm_id_t from, const config_ask_list *ask)
{
  u_quad_t hashes[CONFIG_LIST_MAX];
  uint32_t count = 0;
  const config_text_t *text = config->text;

  if (!knows_text (config, ask->text_hash))
    {
      send_announce (config, from, false);
      return;
    }
  for (uint32_t i = ask->start;
       i < text->chunk_count && count < CONFIG_LIST_MAX; i++)
    hashes[count++] = text->chunks[i].hash;
  config_message message = { .kind = CONFIG_LIST };
  message.config_message_u.list = (config_list){
    text->hash, text->chunk_count, ask->start, { count, hashes }
  };
  send_message (config, from, &message);
}

static void
answer_chunks (config_t *config, vm_id_t from, const config_ask_chunks *ask)
{
  const config_text_t *text = config->text;
  if (!knows_text (config, ask->text_hash))
    {
      send_announce (config, from, false);
      return;
    }
  for (uint32_t i = 0; i < ask->indices.indices_len; i++)
    {
      uint32_t index = ask->indices.indices_val[i];
      if (index >= text->chunk_count)
        return;
      const config_chunk_t *chunk = &text->chunks[index];
      config_message message = { .kind = CONFIG_CHUNK };
      message.config_message_u.chunk = (config_chunk){
        text->hash, index, { chunk->size, text->data + chunk->offset }
      };
      send_message (config, from, &message);
    }
}

static void
receive_message (config_t *config, vm_id_t from, config_message *message,
                 int64_t now_us)
{
  switch (message->kind)
    {
    case CONFIG_ANNOUNCE:
      receive_announce (config, from, &message->config_message_u.announce,
                        now_us);
      return;
    case CONFIG_ASK_LIST:
      answer_list (config, from, &message->config_message_u.ask_list);
      return;
    case CONFIG_ASK_CHUNKS:
      answer_chunks (config, from, &message->config_message_u.ask_chunks);
      return;
    case CONFIG_LIST:
      if (config->pull == NULL)
        return;
      config_pull_list (config->pull, &message->config_message_u.list,
                        config->text, now_us);
      break;
    case CONFIG_CHUNK:
      if (config->pull == NULL)
        return;
      config_pull_chunk (config->pull, &message->config_message_u.chunk,
                         now_us);
      break;
    }
  finish_pull (config, now_us);
}

bool
config_receive (config_t *config, vm_id_t from, const void *data, size_t size,
                int64_t now_us)
{
  config_message message;
  XDR xdrs;
  memset (&message, 0, sizeof message);
  xdrmem_create (&xdrs, (char *)data, (u_int)size, XDR_DECODE);
  bool ok = xdr_config_message (&xdrs, &message) && xdr_getpos (&xdrs) == size;
  if (ok)
    config->heard_us = now_us;
  if (ok)
    receive_message (config, from, &message, now_us);
  xdr_free ((xdrproc_t)xdr_config_message, (char *)&message);
  xdr_destroy (&xdrs);
  return ok;
}

static void
tick_pull (config_t *config, int64_t now_us)
{
  if (config->pull == NULL)
    return;
  if (config_pull_failed (config->pull, now_us))
    drop_pull (config);
  else
    pull_on (config, now_us);
}

/* A starter has nothing to tell; its announcement asks for an answer.  */
static void
tick_announce (config_t *config, int64_t now_us)
{
  bool starter = config->head.version == 0 && config->pull == NULL;
  if ((config->hot_left > 0 || starter) && now_us >= config->hot_due_us)
    {
      announce_to_some (config, config->options.fanout, starter);
      config->hot_due_us = now_us + config->options.hot_us;
      if (config->hot_left > 0)
        config->hot_left--;
    }
  if (now_us >= config->gossip_due_us)
    {
      int64_t period = config->options.gossip_us;
      announce_to_some (config, 1, true);
      config->gossip_due_us
          = now_us + period / 2
            + (int64_t)rng_below (config->rng, (uint64_t)period);
    }
}

int64_t
config_tick (config_t *config, int64_t now_us)
{
  if (config->options.gossips)
    {
      tick_pull (config, now_us);
      tick_announce (config, now_us);
    }
  return now_us + TICK_US;
}
