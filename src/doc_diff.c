#include "doc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "doc_fields.h"
#include "name_table.h"

/* One side of a comparison: the objects of a section by their names.  */
typedef struct side_t
{
  const doc_t *doc;
  const char *items;
  size_t count;
  char (*names)[PATH_BYTES];
  name_table_t *table;
} side_t;

/* Words for the section's objects, in the singular.  */
static const char *const nouns[DOC_SECTION_COUNT] = {
  [DOC_SERVICES] = "Service", [DOC_ACCOUNTS] = "Client account",
  [DOC_ROUTES] = "Route",     [DOC_ZONES] = "Availability zone",
  [DOC_SERVERS] = "Server",   [DOC_ALIASES] = "Alias",
};

static void
format_value (const doc_t *doc, const doc_field_t *field, const void *value,
              char *text)
{
  switch (field->type)
    {
    case DOC_FIELD_NAME:
    case DOC_FIELD_PATH:
    case DOC_FIELD_TARGET:
    case DOC_FIELD_METHOD:
      snprintf (text, PATH_BYTES, "%s", (const char *)value);
      break;
    case DOC_FIELD_COUNT:
      snprintf (text, PATH_BYTES, "%" PRIu32, *(const uint32_t *)value);
      break;
    case DOC_FIELD_FLAG:
      snprintf (text, PATH_BYTES, "%s", *(const bool *)value ? "yes" : "no");
      break;
    case DOC_FIELD_SERVICE:
      snprintf (text, PATH_BYTES, "%s",
                doc->services[*(const uint32_t *)value].name);
      break;
    case DOC_FIELD_VM:
      doc_vm_format (*(const vm_id_t *)value, text);
      break;
    case DOC_FIELD_BYTES:
      snprintf (text, PATH_BYTES, "(hidden)");
      break;
    }
}

static side_t
side_make (const doc_t *doc, const doc_section_t *section, const void *owner)
{
  side_t side = { .doc = doc };
  side.items = doc_section_items (section, owner);
  side.count = doc_section_count (section, owner);
  side.names = calloc (side.count + 1, sizeof *side.names);
  side.table = name_table_new (side.count);
  const doc_field_t *key = &section->fields[0];
  for (size_t i = 0; i < side.count; i++)
    {
      const char *item = side.items + i * section->item_bytes;
      format_value (doc, key, item + key->offset, side.names[i]);
      name_table_add (side.table, side.names[i], (uint32_t)i);
    }
  return side;
}

static void
side_drop (side_t *side)
{
  free (side->names);
  name_table_free (side->table);
}

static void
diff_fields (FILE *out, const doc_section_t *section, const char *subject,
             const doc_t *from_doc, const char *from, const doc_t *to_doc,
             const char *to)
{
  for (const doc_field_t *f = section->fields + 1; f->name != NULL; f++)
    {
      char before[PATH_BYTES];
      char after[PATH_BYTES];
      format_value (from_doc, f, from + f->offset, before);
      format_value (to_doc, f, to + f->offset, after);
      if (f->type == DOC_FIELD_BYTES
          && memcmp (from + f->offset, to + f->offset, f->max) != 0)
        fprintf (out, "%s gets another %s.\n", subject, f->name);
      else if (strcmp (before, after) != 0)
        fprintf (out, "%s: %s changes from %s to %s.\n", subject, f->name,
                 *before ? before : "(none)", *after ? after : "(none)");
    }
}

static void diff_section (FILE *out, const doc_section_t *section,
                          const char *noun, const doc_t *from_doc,
                          const void *from, const doc_t *to_doc,
                          const void *to);

static void
diff_item (FILE *out, const doc_section_t *section, const char *subject,
           const doc_t *from_doc, const char *from, const doc_t *to_doc,
           const char *to)
{
  diff_fields (out, section, subject, from_doc, from, to_doc, to);
  if (section != &doc_sections[DOC_ACCOUNTS])
    return;
  char noun[5 * PATH_BYTES];
  snprintf (noun, sizeof noun, "%s: key", subject);
  diff_section (out, &doc_key_section, noun, from_doc, from, to_doc, to);
}

static void
diff_section (FILE *out, const doc_section_t *section, const char *noun,
              const doc_t *from_doc, const void *from, const doc_t *to_doc,
              const void *to)
{
  side_t before = side_make (from_doc, section, from);
  side_t after = side_make (to_doc, section, to);

  for (size_t i = 0; i < after.count; i++)
    {
      const char *name = after.names[i];
      const char *item = after.items + i * section->item_bytes;
      char subject[4 * PATH_BYTES];
      int64_t j = name_table_find (before.table, name, strlen (name));
      snprintf (subject, sizeof subject, "%s %s", noun, name);
      if (j == NAME_TABLE_NONE)
        fprintf (out, "%s is new.\n", subject);
      else
        diff_item (out, section, subject, from_doc,
                   before.items + (size_t)j * section->item_bytes, to_doc,
                   item);
    }
  for (size_t i = 0; i < before.count; i++)
    if (name_table_find (after.table, before.names[i],
                         strlen (before.names[i]))
        == NAME_TABLE_NONE)
      fprintf (out, "%s %s is removed.\n", noun, before.names[i]);
  side_drop (&before);
  side_drop (&after);
}

char *
doc_diff (const doc_t *from, const doc_t *to)
{
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);
  if (out == NULL)
    return NULL;
  for (size_t i = 0; i < DOC_SECTION_COUNT; i++)
    diff_section (out, &doc_sections[i], nouns[i], from, from, to, to);
  fclose (out);
  return text;
}
