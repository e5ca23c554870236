#include "form.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static form_value_t *
find (const form_t *form, const char *name)
{
  for (size_t i = 0; i < form->count; i++)
    if (strcmp (form->values[i].name, name) == 0)
      return (form_value_t *)&form->values[i];
  return NULL;
}

void
form_add (form_t *form, const char *name, const char *data, size_t size)
{
  form_value_t *value = find (form, name);
  if (value == NULL)
    {
      if (form->count == FORM_VALUES_MAX || strlen (name) >= NAME_BYTES)
        {
          form->overflow = true;
          return;
        }
      value = &form->values[form->count++];
      snprintf (value->name, sizeof value->name, "%s", name);
      value->text[0] = '\0';
    }
  size_t used = strlen (value->text);
  if (used + size >= sizeof value->text || memchr (data, '\0', size) != NULL)
    {
      form->overflow = true;
      return;
    }
  memcpy (value->text + used, data, size);
  value->text[used + size] = '\0';
}

const char *
form_get (const form_t *form, const char *name)
{
  const form_value_t *value = find (form, name);
  return value != NULL ? value->text : "";
}

bool
form_has (const form_t *form, const char *name)
{
  return find (form, name) != NULL;
}

static json_t *
number_or_text (const char *text)
{
  char *end;
  long long number = strtoll (text, &end, 10);
  return *text != '\0' && *end == '\0' ? json_integer (number)
                                       : json_string (text);
}

void
form_fill (const form_t *form, const doc_section_t *section, json_t *object)
{
  for (const doc_field_t *f = section->fields; f->name != NULL; f++)
    {
      const char *text = form_get (form, f->name);
      if (f->type == DOC_FIELD_FLAG)
        json_object_set_new (object, f->name,
                             json_boolean (form_has (form, f->name)));
      else if (*text == '\0')
        json_object_del (object, f->name);
      else if (f->type == DOC_FIELD_COUNT)
        json_object_set_new (object, f->name, number_or_text (text));
      else
        json_object_set_new (object, f->name, json_string (text));
    }
}
