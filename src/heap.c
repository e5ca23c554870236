#include "heap.h"

#include <stdlib.h>

#include "invariant.h"

void
heap_init (heap_t *heap, uint32_t capacity,
           bool (*is_before) (const void *a, const void *b),
           uint32_t *(*index_slot) (void *item))
{
  heap->items = calloc (capacity ? capacity : 1, sizeof (void *));
  heap->count = 0;
  heap->room = capacity;
  heap->is_before = is_before;
  heap->index_slot = index_slot;
}

void
heap_free (heap_t *heap)
{
  free (heap->items);
  heap->items = NULL;
  heap->count = 0;
}

static void
heap_set (heap_t *heap, uint32_t i, void *item)
{
  heap->items[i] = item;
  *heap->index_slot (item) = i;
}

static uint32_t
sift_up (heap_t *heap, uint32_t i)
{
  void *item = heap->items[i];
  while (i > 0 && heap->is_before (item, heap->items[(i - 1) / 2]))
    {
      heap_set (heap, i, heap->items[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
  heap_set (heap, i, item);
  return i;
}

static void
sift_down (heap_t *heap, uint32_t i)
{
  void *item = heap->items[i];
  for (;;)
    {
      uint32_t child = 2 * i + 1;
      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && heap->is_before (heap->items[child + 1], heap->items[child]))
        child++;
      if (!heap->is_before (heap->items[child], item))
        break;
      heap_set (heap, i, heap->items[child]);
      i = child;
    }
  heap_set (heap, i, item);
}

void
heap_push (heap_t *heap, void *item)
{
  INVARIANT (heap->count < heap->room, "heap with a capacity of %u is full",
             heap->room);
  heap_set (heap, heap->count, item);
  heap->count++;
  sift_up (heap, heap->count - 1);
}

void *
heap_top (const heap_t *heap)
{
  return heap->count > 0 ? heap->items[0] : NULL;
}

void
heap_update (heap_t *heap, void *item)
{
  sift_down (heap, sift_up (heap, *heap->index_slot (item)));
}

void
heap_remove (heap_t *heap, void *item)
{
  uint32_t i = *heap->index_slot (item);
  INVARIANT (i < heap->count && heap->items[i] == item,
             "heap item is not at its stored index %u", i);
  heap->count--;
  *heap->index_slot (item) = HEAP_INDEX_NONE;
  if (i == heap->count)
    return;
  heap_set (heap, i, heap->items[heap->count]);
  heap_update (heap, heap->items[i]);
}
