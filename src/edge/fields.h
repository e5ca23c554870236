#ifndef REDWINGFORD_FIELDS_H
#define REDWINGFORD_FIELDS_H

/* Header fields of one HTTP message, as http_parser hands them out: names and
   values come in pieces.  */

#include "edge/bytes.h"

typedef struct field_t
{
  uint32_t name_offset; /* offsets into the text */
  uint32_t name_size;
  uint32_t value_offset;
  uint32_t value_size;
} field_t;

typedef struct fields_t
{
  bytes_t text;
  field_t *items; /* owned */
  uint32_t count;
  uint32_t room;
  bool in_value;
} fields_t;

/* Zeroed memory is an empty set.  */
void fields_free (fields_t *fields);
void fields_clear (fields_t *fields);

void fields_append_name (fields_t *fields, const char *at, size_t size);
void fields_append_value (fields_t *fields, const char *at, size_t size);

static inline const char *
field_name (const fields_t *fields, const field_t *field)
{
  return bytes_data (&fields->text) + field->name_offset;
}

static inline const char *
field_value (const fields_t *fields, const field_t *field)
{
  return bytes_data (&fields->text) + field->value_offset;
}

/* Whether the field's name is NAME, in any case of letters.  */
bool field_has_name (const fields_t *fields, const field_t *field,
                     const char *name);

/* The first field of that name, or NULL.  */
const field_t *fields_find (const fields_t *fields, const char *name);

/* Copies a value as text into TO of SIZE bytes; false when it is too long. */
bool field_copy_value (const fields_t *fields, const field_t *field, char *to,
                       size_t size);

/* Whether the comma-separated value of a field holds TOKEN.  */
bool field_has_token (const fields_t *fields, const field_t *field,
                      const char *token);

/* Whether the field concerns one connection only (RFC 9110, 7.6.1), or
   frames the body, which each hop does anew.  */
bool field_is_hop_by_hop (const fields_t *fields, const field_t *field);

/* Appends "NAME: VALUE\r\n".  */
void field_append (const fields_t *fields, const field_t *field, bytes_t *to);

#endif
