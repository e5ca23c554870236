#ifndef REDWINGFORD_STORE_POSITION_H
#define REDWINGFORD_STORE_POSITION_H

/* Position of a record in a topic of the store.  A store that is restored from
   an older copy begins a new era and assigns offsets again, so that an offset
   says nothing without its era.  */

#include <stdint.h>

typedef struct store_position_t
{
  uint32_t era;
  int64_t offset;
} store_position_t;

/* Returns a negative number, 0 or a positive one if A is before, equal to or
   after B.  */
static inline int
store_position_compare (store_position_t a, store_position_t b)
{
  if (a.era != b.era)
    return a.era < b.era ? -1 : 1;
  return a.offset < b.offset ? -1 : a.offset > b.offset;
}

#endif
