#ifndef REDWINGFORD_CONFIG_RECORD_H
#define REDWINGFORD_CONFIG_RECORD_H

/* One record of the configuration stream: a head line, then a document.

   redwingford-config-1 KIND VERSION BASE ID BASE_ID APPENDED_MS
   ACCEPTED_MS SIZE HASH\n

   The head line alone decides which record wins, so that programs of
   different versions, which may judge a document differently, agree about the
   order.  Bytes that are no such record are passed over by every reader.  */

#include "errinfo.h"
#include "types.h"

typedef enum config_record_kind_t
{
  CONFIG_PUBLICATION, /* an edit of its base; the first on a base wins */
  CONFIG_SNAPSHOT     /* what a daemon knows to be in force */
} config_record_kind_t;

typedef struct config_record_t
{
  config_record_kind_t kind;
  doc_version_t version;
  doc_version_t base_version;
  char publication_id[REQUEST_ID_BYTES];
  char base_id[REQUEST_ID_BYTES]; /* publication id of the base, or "-" */
  int64_t appended_ms; /* Unix time, by the clock of whoever appends it */
  int64_t accepted_ms; /* Unix time of the first acceptance; 0: publication */
  const char *text;    /* the document; borrowed */
  size_t size;
} config_record_t;

/* Reads the record in DATA, into which record->text points.  False when it is
   none.  */
bool config_record_parse (const char *data, size_t size,
                          config_record_t *record);

/* The record as a new string of *size bytes and a final NUL, which the caller
   frees.  */
char *config_record_format (const config_record_t *record, size_t *size);

/* Hash by which daemons name a text.  */
uint64_t config_text_hash (const char *text, size_t size);

#endif
