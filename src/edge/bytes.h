#ifndef REDWINGFORD_BYTES_H
#define REDWINGFORD_BYTES_H

/* A growable queue of bytes that are contiguous in memory, appended at its end
   and consumed from its start.  The process aborts when memory runs out.  */

#include "types.h"

typedef struct bytes_t
{
  char *buffer; /* owned */
  size_t start;
  size_t end;
  size_t capacity;
} bytes_t;

/* Frees the buffer and leaves an empty queue.  Zero-initialized memory is an
   empty queue.  */
void bytes_free (bytes_t *bytes);

static inline size_t
bytes_size (const bytes_t *bytes)
{
  return bytes->end - bytes->start;
}

static inline const char *
bytes_data (const bytes_t *bytes)
{
  return bytes->buffer + bytes->start;
}

/* Makes room for SIZE more bytes at the end and returns the address to write
   them to, valid until the queue next changes.  bytes_commit makes them part
   of the queue.  */
char *bytes_reserve (bytes_t *bytes, size_t size);

static inline void
bytes_commit (bytes_t *bytes, size_t size)
{
  bytes->end += size;
}

/* Append a copy of SIZE bytes of DATA, of the string TEXT without its NUL, or
   of formatted text without its NUL.  */
void bytes_append (bytes_t *bytes, const void *data, size_t size);
void bytes_append_text (bytes_t *bytes, const char *text);
void bytes_append_format (bytes_t *bytes, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

enum
{
  /* Memory that an empty queue may keep, such as one of an idle
     connection.  */
  BYTES_RETAINED_MAX = 16 * 1024
};

/* Removes SIZE bytes from the start.  A queue that becomes empty frees its
   buffer if that is larger than BYTES_RETAINED_MAX.  */
void bytes_consume (bytes_t *bytes, size_t size);

/* Moves all bytes of FROM to the end of TO and leaves FROM empty.  */
void bytes_move (bytes_t *to, bytes_t *from);

#endif
