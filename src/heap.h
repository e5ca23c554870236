#ifndef REDWINGFORD_HEAP_H
#define REDWINGFORD_HEAP_H

/* Binary heap of borrowed pointers.  No function here grows its capacity.
   Each item stores its index in the heap, so that any item can be removed, or
   moved after a change of its rank, in O(log n).  */

#include <stdbool.h>
#include <stdint.h>

enum
{
  HEAP_INDEX_NONE = UINT32_MAX /* stored index of a removed item */
};

typedef struct heap_t
{
  void **items;
  uint32_t count;
  uint32_t room; /* capacity: most items that fit */
  /* True if A comes before B.  */
  bool (*is_before) (const void *a, const void *b);
  /* Where ITEM stores its index.  */
  uint32_t *(*index_slot) (void *item);
} heap_t;

/* Makes HEAP an empty heap for up to CAPACITY items.  Release its memory with
   heap_free.  */
void heap_init (heap_t *heap, uint32_t capacity,
                bool (*is_before) (const void *a, const void *b),
                uint32_t *(*index_slot) (void *item));
void heap_free (heap_t *heap);

/* Adds ITEM.  The heap must hold fewer items than its capacity.  */
void heap_push (heap_t *heap, void *item);

/* Returns the first item without removing it, or NULL when the heap is
   empty.  */
void *heap_top (const heap_t *heap);

/* Removes ITEM, which must be in the heap.  */
void heap_remove (heap_t *heap, void *item);

/* Restores the heap order after the rank of ITEM has changed.  */
void heap_update (heap_t *heap, void *item);

#endif
