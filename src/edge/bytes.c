#include "edge/bytes.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY_BYTES = 512
};

void
bytes_free (bytes_t *bytes)
{
  free (bytes->buffer);
  *bytes = (bytes_t){ 0 };
}

static void
grow_buffer (bytes_t *bytes, size_t needed)
{
  size_t capacity = bytes->capacity ? bytes->capacity : INITIAL_CAPACITY_BYTES;
  while (capacity < needed)
    capacity *= 2;
  char *buffer = realloc (bytes->buffer, capacity);
  if (buffer == NULL)
    abort ();
  bytes->buffer = buffer;
  bytes->capacity = capacity;
}

char *
bytes_reserve (bytes_t *bytes, size_t size)
{
  if (bytes->capacity - bytes->end >= size)
    return bytes->buffer + bytes->end;
  size_t used = bytes_size (bytes);
  if (bytes->start > 0)
    {
      memmove (bytes->buffer, bytes->buffer + bytes->start, used);
      bytes->start = 0;
      bytes->end = used;
    }
  if (bytes->capacity - used < size)
    grow_buffer (bytes, used + size);
  return bytes->buffer + bytes->end;
}

void
bytes_append (bytes_t *bytes, const void *data, size_t size)
{
  if (size == 0)
    return;
  memcpy (bytes_reserve (bytes, size), data, size);
  bytes->end += size;
}

void
bytes_append_text (bytes_t *bytes, const char *text)
{
  bytes_append (bytes, text, strlen (text));
}

void
bytes_append_format (bytes_t *bytes, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  int size = vsnprintf (NULL, 0, format, args);
  va_end (args);
  char *dest = bytes_reserve (bytes, (size_t)size + 1);
  va_start (args, format);
  vsnprintf (dest, (size_t)size + 1, format, args);
  va_end (args);
  bytes->end += (size_t)size;
}

void
bytes_consume (bytes_t *bytes, size_t size)
{
  bytes->start += size;
  if (bytes->start < bytes->end)
    return;
  bytes->start = 0;
  bytes->end = 0;
  if (bytes->capacity > BYTES_RETAINED_MAX)
    bytes_free (bytes);
}

void
bytes_move (bytes_t *to, bytes_t *from)
{
  if (bytes_size (to) == 0)
    {
      bytes_t empty = *to;
      *to = *from;
      *from = empty;
      return;
    }
  bytes_append (to, bytes_data (from), bytes_size (from));
  bytes_consume (from, bytes_size (from));
}
