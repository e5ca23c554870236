#ifndef REDWINGFORD_PART_H
#define REDWINGFORD_PART_H

/* A part of the daemon that runs on its control thread: membership,
   contracts, configuration, leases.  The control thread owns the clock and
   the link; it calls receive for each message of the part's kind and tick
   when the part has asked for it.  Both must return within a millisecond and
   never wait.  A part that request workers call as well guards its tables
   with a lock of its own, taken last (see docs/ARCHITECTURE.md).  */

#include <jansson.h>

#include "link.h"

typedef struct part_t
{
  const char *name; /* static storage */
  message_kind_t kind;
  void (*receive) (void *ctx, vm_id_t from, const void *data, size_t size,
                   int64_t now_us);
  /* Does what is due and returns when it wants to be called next.  */
  int64_t (*tick) (void *ctx, int64_t now_us);
  /* A new JSON object for "redwingford status"; may be NULL.  The caller
     owns the result.  Any thread.  */
  json_t *(*status) (void *ctx);
  void *ctx; /* borrowed */
} part_t;

#endif
