#ifndef REDWINGFORD_CONFIG_TEXT_H
#define REDWINGFORD_CONFIG_TEXT_H

/* A document's text cut into chunks at places that its content chooses, so
   that texts which differ in a line share all other chunks and a daemon asks
   a peer only for what it lacks.  */

#include "types.h"

enum
{
  CONFIG_CHUNK_BYTES_MAX = 1000,
  CONFIG_CHUNKS_MAX = 65536
};

typedef struct config_chunk_t
{
  uint64_t hash;
  uint32_t offset;
  uint32_t size; /* 1 to CONFIG_CHUNK_BYTES_MAX */
} config_chunk_t;

typedef struct config_text_t
{
  char *data; /* SIZE bytes and a NUL */
  size_t size;
  uint64_t hash;
  config_chunk_t *chunks;
  config_chunk_t *sorted; /* the same, by hash */
  uint32_t chunk_count;
} config_text_t;

/* A copy of DATA; free with config_text_free.  */
config_text_t *config_text_new (const char *data, size_t size);
void config_text_free (config_text_t *text);

/* Chunk with the given hash, or NULL.  */
const config_chunk_t *config_text_find (const config_text_t *text,
                                        uint64_t hash);

#endif
