#include "config_record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "doc.h"

enum
{
  HEAD_LINE_BYTES_MAX = 256
};

static const char magic[] = "redwingford-config-1";
static const char *const kind_names[] = {
  [CONFIG_PUBLICATION] = "publication",
  [CONFIG_SNAPSHOT] = "snapshot",
};

uint64_t
config_text_hash (const char *text, size_t size)
{
  return XXH3_64bits (text, size);
}

static bool
parse_kind (const char *name, config_record_kind_t *kind)
{
  for (size_t i = 0; i < sizeof kind_names / sizeof *kind_names; i++)
    if (strcmp (name, kind_names[i]) == 0)
      {
        *kind = (config_record_kind_t)i;
        return true;
      }
  return false;
}

bool
config_record_parse (const char *data, size_t size, config_record_t *record)
{
  char line[HEAD_LINE_BYTES_MAX];
  char word[sizeof magic];
  char kind[16];
  uint64_t text_size;
  uint64_t hash;
  int used = 0;

  const char *end = memchr (data, '\n', size);
  if (end == NULL || (size_t)(end - data) >= sizeof line)
    return false;
  memcpy (line, data, (size_t)(end - data));
  line[end - data] = '\0';

  memset (record, 0, sizeof *record);
  int fields
      = sscanf (line,
                "%20s %15s %" SCNu64 " %" SCNu64 " %39s %39s %" SCNd64
                " %" SCNd64 " %" SCNu64 " %" SCNx64 "%n",
                word, kind, &record->version, &record->base_version,
                record->publication_id, record->base_id, &record->appended_ms,
                &record->accepted_ms, &text_size, &hash, &used);
  if (fields != 10 || line[used] != '\0' || strcmp (word, magic) != 0
      || !parse_kind (kind, &record->kind))
    return false;
  record->text = end + 1;
  record->size = size - (size_t)(end + 1 - data);
  return record->size == text_size && text_size <= DOC_BYTES_MAX
         && record->version == record->base_version + 1
         && config_text_hash (record->text, record->size) == hash;
}

char *
config_record_format (const config_record_t *record, size_t *size)
{
  char *data = malloc (HEAD_LINE_BYTES_MAX + record->size + 1);
  if (data == NULL)
    return NULL;
  int line = snprintf (data, HEAD_LINE_BYTES_MAX,
                       "%s %s %" PRIu64 " %" PRIu64 " %s %s %" PRId64
                       " %" PRId64 " %zu %016" PRIx64 "\n",
                       magic, kind_names[record->kind], record->version,
                       record->base_version, record->publication_id,
                       *record->base_id ? record->base_id : "-",
                       record->appended_ms, record->accepted_ms, record->size,
                       config_text_hash (record->text, record->size));
  memcpy (data + line, record->text, record->size);
  *size = (size_t)line + record->size;
  data[*size] = '\0';
  return data;
}
