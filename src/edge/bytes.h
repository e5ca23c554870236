#ifndef REDWINGFORD_BYTES_H
#define REDWINGFORD_BYTES_H

/* A growable byte queue: appended at its end, consumed from its start.  */

#include "types.h"

typedef struct bytes_t
{
  char *block; /* owned */
  size_t start;
  size_t end;
  size_t room;
} bytes_t;

/* Zeroed memory is an empty queue.  */
void bytes_free (bytes_t *bytes);

static inline size_t
bytes_size (const bytes_t *bytes)
{
  return bytes->end - bytes->start;
}

static inline const char *
bytes_data (const bytes_t *bytes)
{
  return bytes->block + bytes->start;
}

/* Makes room for SIZE more bytes and returns where they go; bytes_added makes
   them part of the queue.  */
char *bytes_reserve (bytes_t *bytes, size_t size);

static inline void
bytes_commit (bytes_t *bytes, size_t size)
{
  bytes->end += size;
}

void bytes_append (bytes_t *bytes, const void *data, size_t size);
void bytes_append_text (bytes_t *bytes, const char *text);
void bytes_append_format (bytes_t *bytes, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Drops SIZE bytes from the start.  An emptied queue gives back a block that
   is larger than BYTES_KEPT.  */
enum
{
  BYTES_KEPT = 16 * 1024 /* memory that an idle connection may hold on to */
};
void bytes_consume (bytes_t *bytes, size_t size);

/* Moves all of FROM to the end of TO.  */
void bytes_move (bytes_t *to, bytes_t *from);

#endif
