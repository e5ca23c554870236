#include "doc.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "doc_fields.h"

static json_t *
format_bytes (const uint8_t *bytes, size_t size)
{
  char hex[2 * KEY_HASH_BYTES + 1];
  sodium_bin2hex (hex, sizeof hex, bytes, size);
  return json_string (hex);
}

static json_t *
format_field (const doc_t *doc, const doc_field_t *field, const void *value)
{
  char text[NAME_BYTES];
  switch (field->type)
    {
    case DOC_FIELD_NAME:
    case DOC_FIELD_PATH:
    case DOC_FIELD_TARGET:
    case DOC_FIELD_METHOD:
      return *(const char *)value != '\0' ? json_string (value) : NULL;
    case DOC_FIELD_COUNT:
      return json_integer (*(const uint32_t *)value);
    case DOC_FIELD_FLAG:
      return json_boolean (*(const bool *)value);
    case DOC_FIELD_SERVICE:
      return json_string (doc->services[*(const uint32_t *)value].name);
    case DOC_FIELD_VM:
      doc_vm_format (*(const vm_id_t *)value, text);
      return json_string (text);
    case DOC_FIELD_BYTES:
      return format_bytes (value, field->max);
    }
  return NULL;
}

static json_t *
format_item (const doc_t *doc, const doc_section_t *section, const char *item)
{
  json_t *object = json_object ();
  for (const doc_field_t *f = section->fields; f->name != NULL; f++)
    {
      json_t *value = format_field (doc, f, item + f->offset);
      if (value != NULL)
        json_object_set_new (object, f->name, value);
    }
  return object;
}

static json_t *
format_keys (const doc_t *doc, const doc_account_t *account)
{
  json_t *keys = json_array ();
  for (size_t i = 0; i < account->key_count; i++)
    json_array_append_new (
        keys, format_item (doc, &doc_key_section, (char *)&account->keys[i]));
  return keys;
}

static void
print_section (FILE *out, const doc_t *doc, const doc_section_t *section)
{
  const char *items = doc_section_items (section, doc);
  size_t count = doc_section_count (section, doc);

  fprintf (out, ",\n\"%s\": [", section->name);
  for (size_t i = 0; i < count; i++)
    {
      const char *item = items + i * section->item_bytes;
      json_t *object = format_item (doc, section, item);
      if (section == &doc_sections[DOC_ACCOUNTS])
        json_object_set_new (object, doc_key_section.name,
                             format_keys (doc, (const doc_account_t *)item));
      fputs (i > 0 ? ",\n" : "\n", out);
      json_dumpf (object, out, JSON_COMPACT | JSON_PRESERVE_ORDER);
      json_decref (object);
    }
  fputs (count > 0 ? "\n]" : "]", out);
}

char *
doc_format (const doc_t *doc)
{
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);
  if (out == NULL)
    return NULL;
  fprintf (out,
           "{\"version\": %llu,\n\"base_version\": %llu,\n"
           "\"publication_id\": \"%s\"",
           (unsigned long long)doc->version,
           (unsigned long long)doc->base_version, doc->publication_id);
  for (size_t i = 0; i < DOC_SECTION_COUNT; i++)
    print_section (out, doc, &doc_sections[i]);
  fputs ("}\n", out);
  fclose (out);
  return text;
}
