#ifndef REDWINGFORD_FIELDS_H
#define REDWINGFORD_FIELDS_H

/* The header fields of one HTTP message.  Names and values are appended in
   pieces, as the callbacks of http_parser deliver them.  */

#include "edge/bytes.h"

typedef struct field_t
{
  uint32_t name_offset; /* offsets are in bytes, into the text of fields_t */
  uint32_t name_size;
  uint32_t value_offset;
  uint32_t value_size;
} field_t;

typedef struct fields_t
{
  bytes_t text;
  field_t *items; /* owned */
  uint32_t count;
  uint32_t capacity;
  bool in_value; /* the last piece was of a value */
} fields_t;

/* fields_free frees all memory; fields_clear removes all fields but may keep
   memory for those of the next message.  Zero-initialized memory is an empty
   set.  */
void fields_free (fields_t *fields);
void fields_clear (fields_t *fields);

/* Append SIZE bytes to the name or to the value of the last field.  A piece of
   a name starts a new field if a piece of a value came before it; a piece of a
   value before the first name is ignored.  */
void fields_append_name (fields_t *fields, const char *data, size_t size);
void fields_append_value (fields_t *fields, const char *data, size_t size);

/* The name and the value of a field are not NUL-terminated.  The pointers are
   valid until FIELDS changes.  */
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

/* Whether the field is named NAME.  The case of letters is ignored.  */
bool field_has_name (const fields_t *fields, const field_t *field,
                     const char *name);

/* Returns the first field that is named NAME, or NULL.  */
const field_t *fields_find (const fields_t *fields, const char *name);

/* Copies the value to TO, a buffer of SIZE bytes, and adds a NUL.  Returns
   false and writes nothing if it does not fit.  */
bool field_copy_value (const fields_t *fields, const field_t *field, char *to,
                       size_t size);

/* Whether TOKEN is in the comma-separated list that is the field's value.  The
   case of letters is ignored.  */
bool field_has_token (const fields_t *fields, const field_t *field,
                      const char *token);

/* Whether the field has one of the standard names that must not be forwarded,
   because it applies to one connection only (RFC 9110, section 7.6.1) or
   frames the body, which each hop frames anew.  Fields that a Connection field
   names are not recognized.  */
bool field_is_hop_by_hop (const fields_t *fields, const field_t *field);

/* Appends "NAME: VALUE\r\n" to TO.  */
void field_append (const fields_t *fields, const field_t *field, bytes_t *to);

#endif
