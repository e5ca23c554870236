#ifndef REDWINGFORD_FORM_H
#define REDWINGFORD_FORM_H

/* What a browser sent in a form, and its way into the document's JSON.  */

#include <jansson.h>

#include "doc_fields.h"

enum
{
  FORM_VALUES_MAX = 48,
  FORM_VALUE_BYTES = 512
};

typedef struct form_value_t
{
  char name[NAME_BYTES];
  char text[FORM_VALUE_BYTES];
} form_value_t;

typedef struct form_t
{
  form_value_t values[FORM_VALUES_MAX];
  size_t count;
  bool overflow; /* a value was too long, or there were too many */
} form_t;

/* Adds SIZE bytes to the value NAME, which is made when it is new.  */
void form_add (form_t *form, const char *name, const char *data, size_t size);

/* The value, or "" when it is absent.  Borrowed from FORM.  */
const char *form_get (const form_t *form, const char *name);
bool form_has (const form_t *form, const char *name);

/* Puts the form's fields into OBJECT.  What is no number stays a string, so
   that the document's check names the field.  */
void form_fill (const form_t *form, const doc_section_t *section,
                json_t *object);

#endif
