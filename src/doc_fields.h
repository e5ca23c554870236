#ifndef REDWINGFORD_DOC_FIELDS_H
#define REDWINGFORD_DOC_FIELDS_H

/* The document's objects as tables of fields: parsing, formatting, comparing
   and the console's forms all follow them.  */

#include "doc.h"

typedef enum doc_field_type_t
{
  DOC_FIELD_NAME,    /* char[NAME_BYTES]: letters, digits, '.', '_', '-' */
  DOC_FIELD_PATH,    /* char[PATH_BYTES]: starts with '/' */
  DOC_FIELD_TARGET,  /* char[PATH_BYTES]: a path or a name */
  DOC_FIELD_METHOD,  /* char[METHOD_BYTES]: capital letters or "*" */
  DOC_FIELD_COUNT,   /* uint32_t within min and max */
  DOC_FIELD_FLAG,    /* bool */
  DOC_FIELD_SERVICE, /* uint32_t: index of a service, named in JSON */
  DOC_FIELD_VM,      /* vm_id_t, "IP:PORT" in JSON */
  DOC_FIELD_BYTES    /* uint8_t[max], hexadecimal in JSON */
} doc_field_type_t;

typedef struct doc_field_t
{
  const char *name;
  doc_field_type_t type;
  size_t offset;
  uint32_t min; /* DOC_FIELD_COUNT */
  uint32_t max; /* DOC_FIELD_COUNT, DOC_FIELD_BYTES */
  bool required;
  uint32_t fallback; /* of an absent number or flag */
} doc_field_t;

enum
{
  DOC_FIELDS_MAX = 12,
  DOC_VERSION_MAX = 0x7fffffff
};

/* One array of equal objects.  The array's pointer and count stand at the
   given offsets of the object that has it.  */
typedef struct doc_section_t
{
  const char *name;
  size_t item_bytes;
  size_t items_offset;
  size_t count_offset;
  size_t items_max;
  doc_field_t fields[DOC_FIELDS_MAX]; /* up to the first without a name */
} doc_section_t;

typedef enum doc_section_id_t
{
  DOC_SERVICES, /* first: routes refer to it */
  DOC_ACCOUNTS,
  DOC_ROUTES,
  DOC_ZONES,
  DOC_SERVERS,
  DOC_ALIASES,
  DOC_SECTION_COUNT
} doc_section_id_t;

extern const doc_section_t doc_sections[DOC_SECTION_COUNT];
extern const doc_section_t doc_key_section; /* within an account */

/* The array of SECTION in OWNER, and its length.  */
void *doc_section_items (const doc_section_t *section, const void *owner);
size_t doc_section_count (const doc_section_t *section, const void *owner);

/* Field NAME of SECTION, or NULL.  */
const doc_field_t *doc_section_field (const doc_section_t *section,
                                      const char *name);

/* "IP:PORT" and back.  TEXT of doc_vm_format holds NAME_BYTES.  */
bool doc_vm_parse (const char *text, vm_id_t *vm);
void doc_vm_format (vm_id_t vm, char *text);

/* Adds a fault to *errors unless it is full.  */
void doc_error_add (doc_errors_t *errors, const char *path, const char *format,
                    ...) __attribute__ ((format (printf, 3, 4)));

#endif
