#include "mesh/vm_array.h"

#include <stdlib.h>
#include <string.h>

size_t
vm_array_search (const void *array, size_t count, size_t size, vm_id_t vm)
{
  size_t first = 0;
  size_t end = count;
  while (first < end)
    {
      size_t middle = first + (end - first) / 2;
      vm_id_t found;
      memcpy (&found, (const char *)array + middle * size, sizeof found);
      if (found < vm)
        first = middle + 1;
      else
        end = middle;
    }
  return first;
}

void *
vm_array_insert (void *array, size_t *count, size_t size, size_t index)
{
  char *grown = realloc (array, (*count + 1) * size);
  if (grown == NULL)
    abort ();
  memmove (grown + (index + 1) * size, grown + index * size,
           (*count - index) * size);
  ++*count;
  return grown;
}

void
vm_array_remove (void *array, size_t *count, size_t size, size_t index)
{
  char *at = (char *)array + index * size;
  --*count;
  memmove (at, at + size, (*count - index) * size);
}
