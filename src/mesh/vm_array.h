#ifndef REDWINGFORD_VM_ARRAY_H
#define REDWINGFORD_VM_ARRAY_H

/* Arrays of elements that begin with a vm_id_t and are ordered by it, each VM
   once.  COUNT is the number of elements, SIZE that of one of them in bytes.
   The array is the caller's, to be released with free.  */

#include <stddef.h>

#include "types.h"

/* Returns the index of VM's element or, if there is none, the index at which
   it is to be inserted.  */
size_t vm_array_search (const void *array, size_t count, size_t size,
                        vm_id_t vm);

/* Makes room for one more element at INDEX, which is left uninitialized.
   Returns the array, which may have moved.  Aborts if memory is exhausted.  */
void *vm_array_insert (void *array, size_t *count, size_t size, size_t index);

void vm_array_remove (void *array, size_t *count, size_t size, size_t index);

#endif
