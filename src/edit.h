#ifndef REDWINGFORD_EDIT_H
#define REDWINGFORD_EDIT_H

/* Small edits of the document's JSON, for commands and the console.  Each is
   a publish_edit_t; its CTX is an edit_t.  */

#include "doc.h"
#include "publish_run.h"

typedef struct edit_t
{
  const char *kind;   /* "zone" or "server", for edit_set_out */
  const char *name;   /* of the object; a misspelled one for edit_add_alias */
  const char *to;     /* edit_add_alias */
  const char *key_id; /* edit_withdraw_key; NULL: all keys of the account */
  bool out;
  uint32_t rate_per_s;
  uint32_t burst;                /* 0: as it is */
  char key_text[KEY_TEXT_BYTES]; /* filled by edit_new_key */
} edit_t;

/* Takes an availability zone or a backend server out, or back in.  A server
   that the document does not name yet is added.  */
bool edit_set_out (void *edit, json_t *root, error_info_t *error);

/* Adds a key to an account; the others stay valid.  */
bool edit_new_key (void *edit, json_t *root, error_info_t *error);
bool edit_withdraw_key (void *edit, json_t *root, error_info_t *error);
bool edit_set_rate (void *edit, json_t *root, error_info_t *error);
bool edit_add_alias (void *edit, json_t *root, error_info_t *error);

/* The object whose FIELD is NAME in the array SECTION of ROOT, or NULL.  */
json_t *edit_find (json_t *root, const char *section, const char *field,
                   const char *name);

#endif
