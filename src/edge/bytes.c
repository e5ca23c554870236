#include "edge/bytes.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  FIRST_ROOM = 512
};

void
bytes_free (bytes_t *bytes)
{
  free (bytes->block);
  *bytes = (bytes_t){ 0 };
}

static void
grow (bytes_t *bytes, size_t needed)
{
  size_t room = bytes->room ? bytes->room : FIRST_ROOM;
  while (room < needed)
    room *= 2;
  char *block = realloc (bytes->block, room);
  if (block == NULL)
    abort ();
  bytes->block = block;
  bytes->room = room;
}

char *
bytes_reserve (bytes_t *bytes, size_t size)
{
  if (bytes->room - bytes->end >= size)
    return bytes->block + bytes->end;
  size_t held = bytes_size (bytes);
  if (bytes->start > 0)
    {
      memmove (bytes->block, bytes->block + bytes->start, held);
      bytes->start = 0;
      bytes->end = held;
    }
  if (bytes->room - held < size)
    grow (bytes, held + size);
  return bytes->block + bytes->end;
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
  char *at = bytes_reserve (bytes, (size_t)size + 1);
  va_start (args, format);
  vsnprintf (at, (size_t)size + 1, format, args);
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
  if (bytes->room > BYTES_KEPT)
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
