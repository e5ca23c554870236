#include "config_text.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "config_record.h"

enum
{
  CUT_MASK = 3 /* one line in four ends its chunk */
};

/* Length of the line at DATA with its newline, within one chunk.  */
static size_t
line_length (const char *data, size_t size)
{
  size_t bound = size < CONFIG_CHUNK_BYTES_MAX ? size : CONFIG_CHUNK_BYTES_MAX;
  const char *end = memchr (data, '\n', bound);
  return end != NULL ? (size_t)(end + 1 - data) : bound;
}

static size_t
chunk_length (const char *data, size_t size)
{
  size_t length = 0;
  while (length < size)
    {
      size_t line = line_length (data + length, size - length);
      if (length + line > CONFIG_CHUNK_BYTES_MAX)
        return length;
      length += line;
      if ((XXH3_64bits (data + length - line, line) & CUT_MASK) == 0)
        return length;
    }
  return length;
}

static void
cut (config_text_t *text)
{
  size_t room = 0;
  size_t offset = 0;
  while (offset < text->size)
    {
      if (text->chunk_count == room)
        {
          room = room ? room * 2 : 64;
          text->chunks = realloc (text->chunks, room * sizeof *text->chunks);
        }
      size_t length = chunk_length (text->data + offset, text->size - offset);
      text->chunks[text->chunk_count++]
          = (config_chunk_t){ XXH3_64bits (text->data + offset, length),
                              (uint32_t)offset, (uint32_t)length };
      offset += length;
    }
}

static int
compare_hashes (const void *a, const void *b)
{
  uint64_t x = ((const config_chunk_t *)a)->hash;
  uint64_t y = ((const config_chunk_t *)b)->hash;
  return (x > y) - (x < y);
}

static void
sort_chunks (config_text_t *text)
{
  size_t bytes = text->chunk_count * sizeof *text->sorted;
  text->sorted = malloc (bytes + 1);
  if (bytes > 0)
    memcpy (text->sorted, text->chunks, bytes);
  qsort (text->sorted, text->chunk_count, sizeof *text->sorted,
         compare_hashes);
}

config_text_t *
config_text_new (const char *data, size_t size)
{
  config_text_t *text = calloc (1, sizeof *text);
  text->data = malloc (size + 1);
  memcpy (text->data, data, size);
  text->data[size] = '\0';
  text->size = size;
  text->hash = config_text_hash (data, size);
  cut (text);
  sort_chunks (text);
  return text;
}

void
config_text_free (config_text_t *text)
{
  if (text == NULL)
    return;
  free (text->data);
  free (text->chunks);
  free (text->sorted);
  free (text);
}

const config_chunk_t *
config_text_find (const config_text_t *text, uint64_t hash)
{
  config_chunk_t wanted = { .hash = hash };
  if (text == NULL || text->chunk_count == 0)
    return NULL;
  return bsearch (&wanted, text->sorted, text->chunk_count,
                  sizeof *text->sorted, compare_hashes);
}
