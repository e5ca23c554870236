#ifndef REDWINGFORD_DOC_INDEX_H
#define REDWINGFORD_DOC_INDEX_H

/* The hash tables of a parsed document, behind doc_t's index.  */

#include "doc.h"
#include "name_table.h"

enum
{
  DOC_INDEX_END = -1
};

/* Where a key stands: accounts[account].keys[key].  */
typedef struct doc_key_place_t
{
  uint32_t account;
  uint32_t key;
} doc_key_place_t;

typedef struct doc_index_t
{
  name_table_t *accounts;
  name_table_t *services;
  name_table_t *route_names;
  name_table_t *prefixes; /* to the first route of a path prefix */
  int32_t *next_route;    /* further route of the same prefix */
  name_table_t *zones;
  name_table_t *servers; /* by server_texts */
  char (*server_texts)[NAME_BYTES];
  name_table_t *aliases;
  name_table_t *keys; /* by key id, to places */
  doc_key_place_t *places;
} doc_index_t;

/* The services' table alone, for routes that are read next.  */
void doc_index_services (doc_t *doc, doc_errors_t *errors);

/* Builds the rest of DOC's index; duplicates are added to *errors.  */
void doc_index_build (doc_t *doc, doc_errors_t *errors);
void doc_index_free (doc_t *doc);

static inline const doc_index_t *
doc_index (const doc_t *doc)
{
  return doc->index;
}

/* Checks what one object alone cannot show: references, shadowed routes and
   aliases, sums.  The index must be built.  */
void doc_check (const doc_t *doc, doc_errors_t *errors);

/* Length of PATH's part that can match a prefix: up to '?' or the end, less
   a final '/'.  */
size_t doc_path_length (const char *path);

/* Whether a backend server might read PATH as another one: empty or dot
   segments, coded '.', '/', '\\', '%' or NUL, a plain '\\'.  */
bool doc_path_is_ambiguous (const char *path);

/* Length of PATH's part with as many segments as PREFIX has.  */
size_t doc_path_same_depth (const char *path, const char *prefix);

/* Next shorter length at which a prefix of PATH can end, or 0 after "/".  */
size_t doc_path_shorten (const char *path, size_t length);

#endif
