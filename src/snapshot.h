#ifndef REDWINGFORD_SNAPSHOT_H
#define REDWINGFORD_SNAPSHOT_H

/* The configuration in force, read by any thread under RCU.  */

#include "doc.h"

typedef struct snapshot_t
{
  doc_t *doc; /* NULL until the first document */
} snapshot_t;

/* Begins a read; the document (or NULL) stays until snapshot_release on the
   same thread.  A reader must not wait in between.  */
const doc_t *snapshot_acquire (snapshot_t *snapshot);
void snapshot_release (snapshot_t *snapshot);

/* Takes DOC over and frees the former one once no reader has it.  One writer
   at a time.  */
void snapshot_swap (snapshot_t *snapshot, doc_t *doc);

#endif
