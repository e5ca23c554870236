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
add (fields_t *fields)
{
  if (fields->count == fields->room)
    {
      fields->room = fields->room ? 2 * fields->room : 12;
      fields->items
          = realloc (fields->items, fields->room * sizeof *fields->items);
      if (fields->items == NULL)
        abort ();
    }
  field_t *field = &fields->items[fields->count++];
  *field = (field_t){ .name_offset = (uint32_t)bytes_size (&fields->text) };
  return field;
}

void
fields_append_name (fields_t *fields, const char *at, size_t size)
{
  bool anew = fields->count == 0 || fields->in_value;
  field_t *field = anew ? add (fields) : &fields->items[fields->count - 1];
  bytes_append (&fields->text, at, size);
  field->name_size += (uint32_t)size;
  field->value_offset = field->name_offset + field->name_size;
  fields->in_value = false;
}

void
fields_append_value (fields_t *fields, const char *at, size_t size)
{
  if (fields->count == 0)
    return;
  field_t *field = &fields->items[fields->count - 1];
  bytes_append (&fields->text, at, size);
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
  const char *at = field_value (fields, field);
  const char *end = at + field->value_size;
  size_t length = strlen (token);

  while (at < end)
    {
      while (at < end && (is_space (*at) || *at == ','))
        at++;
      const char *word = at;
      while (at < end && *at != ',')
        at++;
      const char *stop = at;
      while (stop > word && is_space (stop[-1]))
        stop--;
      if ((size_t)(stop - word) == length
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
  char *at = bytes_reserve (to, field->name_size + field->value_size + 4);
  memcpy (at, field_name (fields, field), field->name_size);
  at += field->name_size;
  *at++ = ':';
  *at++ = ' ';
  memcpy (at, field_value (fields, field), field->value_size);
  at += field->value_size;
  *at++ = '\r';
  *at++ = '\n';
  bytes_commit (to, field->name_size + field->value_size + 4);
}
