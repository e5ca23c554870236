#include "edge/fields.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
fields_free (fields_t *fields)
{
  bytes_free (&fields->text);
  free (fields->items);
  *fields = (fields_t){ 0 };
}

void
fields_clear (fields_t *fields)
{
  bytes_consume (&fields->text, bytes_size (&fields->text));
  fields->count = 0;
  fields->in_value = false;
}

static field_t *
append_field (fields_t *fields)
{
  if (fields->count == fields->capacity)
    {
      fields->capacity = fields->capacity ? 2 * fields->capacity : 12;
      fields->items
          = realloc (fields->items, fields->capacity * sizeof *fields->items);
      if (fields->items == NULL)
        abort ();
    }
  field_t *field = &fields->items[fields->count++];
  *field = (field_t){ .name_offset = (uint32_t)bytes_size (&fields->text) };
  return field;
}

void
fields_append_name (fields_t *fields, const char *data, size_t size)
{
  bool starts_field = fields->count == 0 || fields->in_value;
  field_t *field = starts_field ? append_field (fields)
                                : &fields->items[fields->count - 1];
  bytes_append (&fields->text, data, size);
  field->name_size += (uint32_t)size;
  field->value_offset = field->name_offset + field->name_size;
  fields->in_value = false;
}

void
fields_append_value (fields_t *fields, const char *data, size_t size)
{
  if (fields->count == 0)
    return;
  field_t *field = &fields->items[fields->count - 1];
  bytes_append (&fields->text, data, size);
  field->value_size += (uint32_t)size;
  fields->in_value = true;
}

bool
field_has_name (const fields_t *fields, const field_t *field, const char *name)
{
  return strlen (name) == field->name_size
         && strncasecmp (field_name (fields, field), name, field->name_size)
                == 0;
}

const field_t *
fields_find (const fields_t *fields, const char *name)
{
  for (uint32_t i = 0; i < fields->count; i++)
    if (field_has_name (fields, &fields->items[i], name))
      return &fields->items[i];
  return NULL;
}

bool
field_copy_value (const fields_t *fields, const field_t *field, char *to,
                  size_t size)
{
  if (field->value_size >= size)
    return false;
  memcpy (to, field_value (fields, field), field->value_size);
  to[field->value_size] = '\0';
  return true;
}

static bool
is_space (char c)
{
  return c == ' ' || c == '\t';
}

bool
field_has_token (const fields_t *fields, const field_t *field,
                 const char *token)
{
  const char *cursor = field_value (fields, field);
  const char *end = cursor + field->value_size;
  size_t length = strlen (token);

  while (cursor < end)
    {
      while (cursor < end && (is_space (*cursor) || *cursor == ','))
        cursor++;
      const char *word = cursor;
      while (cursor < end && *cursor != ',')
        cursor++;
      const char *word_end = cursor;
      while (word_end > word && is_space (word_end[-1]))
        word_end--;
      if ((size_t)(word_end - word) == length
          && strncasecmp (word, token, length) == 0)
        return true;
    }
  return false;
}

bool
field_is_hop_by_hop (const fields_t *fields, const field_t *field)
{
  static const char *const names[]
      = { "Connection",       "Keep-Alive", "Transfer-Encoding",
          "Content-Length",   "TE",         "Trailer",
          "Proxy-Connection", "Upgrade",    "Expect" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (field_has_name (fields, field, names[i]))
      return true;
  return false;
}

void
field_append (const fields_t *fields, const field_t *field, bytes_t *to)
{
  char *dest = bytes_reserve (to, field->name_size + field->value_size + 4);
  memcpy (dest, field_name (fields, field), field->name_size);
  dest += field->name_size;
  *dest++ = ':';
  *dest++ = ' ';
  memcpy (dest, field_value (fields, field), field->value_size);
  dest += field->value_size;
  *dest++ = '\r';
  *dest++ = '\n';
  bytes_commit (to, field->name_size + field->value_size + 4);
}
