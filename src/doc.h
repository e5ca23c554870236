#ifndef REDWINGFORD_DOC_H
#define REDWINGFORD_DOC_H

/* The configuration document: what operators publish, parsed and checked.
   Immutable once parsed; readers share it under RCU.  */

#include "errinfo.h"
#include "types.h"

enum
{
  DOC_BYTES_MAX = 4 * 1024 * 1024,
  DOC_DEPTH_MAX = 16,
  DOC_ERRORS_MAX = 32,
  KEY_SALT_BYTES = 16,
  KEY_HASH_BYTES = 32,
  METHOD_BYTES = 16
};

typedef struct doc_key_t
{
  char id[NAME_BYTES]; /* names the key to operators; not secret */
  uint8_t salt[KEY_SALT_BYTES];
  uint8_t hash[KEY_HASH_BYTES];
  bool withdrawn;
} doc_key_t;

typedef struct doc_account_t
{
  char name[NAME_BYTES];
  uint32_t rate_per_s;
  uint32_t burst;
  uint32_t weight; /* share of a contended queue, 1 to 1000 */
  doc_key_t *keys;
  size_t key_count;
} doc_account_t;

typedef struct doc_service_t
{
  char name[NAME_BYTES];
} doc_service_t;

typedef struct doc_route_t
{
  char name[NAME_BYTES];
  char method[METHOD_BYTES]; /* "GET", ..., or "*" */
  char path_prefix[PATH_BYTES];
  uint32_t service;  /* index into services */
  uint32_t priority; /* 0 to PRIORITY_COUNT - 1; 0 is shed last */
  bool idempotent;
  bool open; /* runs without a key */
  uint32_t deadline_ms;
  uint32_t retry_budget; /* retries of one root request in its whole tree */
} doc_route_t;

typedef struct doc_zone_t
{
  char name[NAME_BYTES];
  char region[NAME_BYTES];
  bool out;
} doc_zone_t;

/* Only servers that an operator has named; others are in.  */
typedef struct doc_server_t
{
  vm_id_t vm;
  bool out;
} doc_server_t;

typedef struct doc_alias_t
{
  char from[PATH_BYTES]; /* a misspelled path prefix or service name */
  char to[PATH_BYTES];
} doc_alias_t;

typedef struct doc_t
{
  doc_version_t version;
  doc_version_t base_version; /* the version it was edited from */
  char publication_id[REQUEST_ID_BYTES];
  doc_account_t *accounts;
  size_t account_count;
  doc_service_t *services;
  size_t service_count;
  doc_route_t *routes;
  size_t route_count;
  doc_zone_t *zones;
  size_t zone_count;
  doc_server_t *servers;
  size_t server_count;
  doc_alias_t *aliases;
  size_t alias_count;
  void *index; /* private to doc.c */
} doc_t;

typedef struct doc_errors_t
{
  error_info_t items[DOC_ERRORS_MAX];
  size_t count; /* at most DOC_ERRORS_MAX; further ones are dropped */
} doc_errors_t;

/* Parses and checks the JSON TEXT.  Returns a document that the caller frees
   with doc_free, or NULL with every fault found in *errors.  */
doc_t *doc_parse (const char *text, size_t size, doc_errors_t *errors);

/* Canonical JSON of a document, one object a line; the caller frees it.  */
char *doc_format (const doc_t *doc);

/* What changes from one document to the next, in plain sentences, one a line;
   "" when nothing does.  The caller frees it.  */
char *doc_diff (const doc_t *from, const doc_t *to);

void doc_free (doc_t *doc);

/* The route whose prefix matches the most whole segments of PATH (aliases
   applied; a query is passed over), or NULL.  A path that a backend server
   could read as another one (empty or dot segments, coded '.', '/' or '\\')
   has none.  The exact method goes before "*".  Borrowed from DOC.  */
const doc_route_t *doc_find_route (const doc_t *doc, const char *method,
                                   const char *path);

/* When an alias matches PATH, writes the path to use, query included, into
   TO of SIZE bytes and returns true.  False also when TO is too small.  */
bool doc_apply_alias (const doc_t *doc, const char *path, char *to,
                      size_t size);

/* The known path prefix nearest to PATH by edit distance, or NULL when none
   is near.  Borrowed from DOC.  */
const char *doc_nearest_path (const doc_t *doc, const char *path);

typedef enum key_verdict_t
{
  KEY_VERDICT_OK,
  KEY_VERDICT_UNKNOWN,
  KEY_VERDICT_WITHDRAWN
} key_verdict_t;

/* Checks a caller's key against the hashes, in time that does not depend on
   how much of it is right.  A key is the text "ID.SECRET"; its id names the
   hash to check.  On OK *account is the index of its client account.  */
key_verdict_t doc_check_key (const doc_t *doc, const char *key,
                             uint32_t *account);

/* Makes a key for KEY->id: fills salt and hash, and writes the text
   "ID.SECRET" into TEXT of at least KEY_TEXT_BYTES.  The caller shows it once
   and forgets it.  */
enum
{
  KEY_SECRET_BYTES = 24,
  KEY_TEXT_BYTES = NAME_BYTES + 2 * KEY_SECRET_BYTES + 2
};
void doc_key_make (doc_key_t *key, char *text);

/* Whether SECRET of LENGTH bytes is the key's, in constant time.  */
bool doc_key_matches (const doc_key_t *key, const char *secret, size_t length);

bool doc_zone_is_out (const doc_t *doc, const char *zone);
bool doc_server_is_out (const doc_t *doc, vm_id_t vm);

/* Index of a service (aliases applied) or account by name, or -1.  */
int doc_find_service (const doc_t *doc, const char *name);
int doc_find_account (const doc_t *doc, const char *name);

#endif
