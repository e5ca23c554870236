#include "config_pull.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "doc.h"

enum
{
  ASK_AGAIN_US = 150 * US_PER_MS,
  ASKS_MAX = 8 /* questions in a row without an answer */
};

typedef struct part_text_t
{
  char *data; /* NULL while missing */
  uint32_t size;
} part_text_t;

struct config_pull_t
{
  config_head_t head;
  vm_id_t from;
  uint64_t *hashes;
  part_text_t *parts;
  uint32_t total;  /* chunks of the text, 0 while unknown */
  uint32_t listed; /* hashes known, from the first on */
  uint32_t lowest; /* no chunk before it is missing */
  uint32_t have;
  uint64_t bytes;
  uint32_t awaited; /* answers to the last question still to come */
  uint32_t asks;
  int64_t asked_us;
  bool misfit;
  unsigned int indices[CONFIG_ASK_MAX];
};

config_pull_t *
config_pull_new (const config_head_t *head, vm_id_t from, int64_t now_us)
{
  config_pull_t *pull = calloc (1, sizeof *pull);
  pull->head = *head;
  pull->from = from;
  pull->asked_us = now_us;
  pull->misfit = head->text_size == 0 || head->text_size > DOC_BYTES_MAX;
  return pull;
}

void
config_pull_free (config_pull_t *pull)
{
  if (pull == NULL)
    return;
  for (uint32_t i = 0; i < pull->total; i++)
    free (pull->parts[i].data);
  free (pull->parts);
  free (pull->hashes);
  free (pull);
}

const config_head_t *
config_pull_head (const config_pull_t *pull)
{
  return &pull->head;
}

vm_id_t
config_pull_from (const config_pull_t *pull)
{
  return pull->from;
}

static void
progress (config_pull_t *pull, int64_t now_us)
{
  pull->asks = 0;
  pull->asked_us = now_us;
  if (pull->awaited > 0)
    pull->awaited--;
}

static void
set_part (config_pull_t *pull, uint32_t i, const char *data, uint32_t size)
{
  part_text_t *part = &pull->parts[i];
  pull->bytes += size;
  if (pull->bytes > pull->head.text_size)
    {
      pull->misfit = true;
      return;
    }
  part->data = malloc (size);
  memcpy (part->data, data, size);
  part->size = size;
  pull->have++;
}

static bool
start_list (config_pull_t *pull, uint32_t total)
{
  if (pull->total == 0 && total > 0 && total <= CONFIG_CHUNKS_MAX
      && total <= pull->head.text_size)
    {
      pull->total = total;
      pull->hashes = calloc (total, sizeof *pull->hashes);
      pull->parts = calloc (total, sizeof *pull->parts);
    }
  pull->misfit |= total != pull->total;
  return !pull->misfit;
}

void
config_pull_list (config_pull_t *pull, const config_list *list,
                  const config_text_t *old, int64_t now_us)
{
  if (list->text_hash != pull->head.text_hash || list->start != pull->listed
      || list->hashes.hashes_len == 0 || !start_list (pull, list->total)
      || list->hashes.hashes_len > pull->total - pull->listed)
    return;
  for (uint32_t i = 0; i < list->hashes.hashes_len; i++)
    {
      uint64_t hash = list->hashes.hashes_val[i];
      uint32_t index = pull->listed++;
      pull->hashes[index] = hash;
      const config_chunk_t *chunk = config_text_find (old, hash);
      if (chunk != NULL)
        set_part (pull, index, old->data + chunk->offset, chunk->size);
    }
  progress (pull, now_us);
}

void
config_pull_chunk (config_pull_t *pull, const config_chunk *chunk,
                   int64_t now_us)
{
  uint32_t i = chunk->index;
  if (chunk->text_hash != pull->head.text_hash || i >= pull->listed
      || pull->parts[i].data != NULL || chunk->data.data_len == 0)
    return;
  if (config_text_hash (chunk->data.data_val, chunk->data.data_len)
      != pull->hashes[i])
    return;
  set_part (pull, i, chunk->data.data_val, chunk->data.data_len);
  progress (pull, now_us);
}

static void
fill_ask_list (const config_pull_t *pull, config_message *message)
{
  message->kind = CONFIG_ASK_LIST;
  message->config_message_u.ask_list
      = (config_ask_list){ pull->head.text_hash, pull->listed };
}

static uint32_t
fill_ask_chunks (config_pull_t *pull, config_message *message)
{
  uint32_t count = 0;
  while (pull->lowest < pull->total && pull->parts[pull->lowest].data != NULL)
    pull->lowest++;
  for (uint32_t i = pull->lowest; i < pull->total && count < CONFIG_ASK_MAX;
       i++)
    if (pull->parts[i].data == NULL)
      pull->indices[count++] = i;
  message->kind = CONFIG_ASK_CHUNKS;
  message->config_message_u.ask_chunks
      = (config_ask_chunks){ pull->head.text_hash, { count, pull->indices } };
  return count;
}

bool
config_pull_ask (config_pull_t *pull, config_message *message, int64_t now_us)
{
  if (pull->awaited > 0 && now_us < pull->asked_us + ASK_AGAIN_US)
    return false;
  if (pull->total == 0 || pull->listed < pull->total)
    {
      fill_ask_list (pull, message);
      pull->awaited = 1;
    }
  else
    pull->awaited = fill_ask_chunks (pull, message);
  pull->asks++;
  pull->asked_us = now_us;
  return pull->awaited > 0;
}

bool
config_pull_failed (const config_pull_t *pull, int64_t now_us)
{
  return pull->misfit
         || (pull->asks > ASKS_MAX && now_us >= pull->asked_us + ASK_AGAIN_US);
}

int64_t
config_pull_due_us (const config_pull_t *pull)
{
  return pull->asked_us + ASK_AGAIN_US;
}

config_text_t *
config_pull_take (config_pull_t *pull)
{
  if (pull->total == 0 || pull->have < pull->total)
    return NULL;
  char *data = malloc (pull->bytes);
  size_t size = 0;
  for (uint32_t i = 0; i < pull->total; i++)
    {
      memcpy (data + size, pull->parts[i].data, pull->parts[i].size);
      size += pull->parts[i].size;
    }
  config_text_t *text = NULL;
  if (size == pull->head.text_size
      && config_text_hash (data, size) == pull->head.text_hash)
    text = config_text_new (data, size);
  else
    pull->misfit = true;
  free (data);
  return text;
}
