#include "name_table.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct slot_t
{
  const char *name; /* NULL when free */
  uint32_t length;
  uint32_t number;
} slot_t;

struct name_table_t
{
  size_t mask;
  slot_t slots[];
};

enum
{
  SLOTS_MIN = 8
};

name_table_t *
name_table_new (size_t capacity)
{
  size_t room = SLOTS_MIN;
  while (room < capacity * 2)
    room *= 2;
  name_table_t *table = calloc (1, sizeof *table + room * sizeof (slot_t));
  if (table != NULL)
    table->mask = room - 1;
  return table;
}

void
name_table_free (name_table_t *table)
{
  free (table);
}

static size_t
find_slot (const name_table_t *table, const char *name, size_t length)
{
  size_t i = XXH3_64bits (name, length) & table->mask;
  for (;;)
    {
      const slot_t *slot = &table->slots[i];
      if (slot->name == NULL)
        return i;
      if (slot->length == length && memcmp (slot->name, name, length) == 0)
        return i;
      i = (i + 1) & table->mask;
    }
}

int64_t
name_table_add (name_table_t *table, const char *name, uint32_t number)
{
  size_t length = strlen (name);
  slot_t *slot = &table->slots[find_slot (table, name, length)];
  if (slot->name != NULL)
    return slot->number;
  *slot = (slot_t){ name, (uint32_t)length, number };
  return NAME_TABLE_NONE;
}

int64_t
name_table_find (const name_table_t *table, const char *name, size_t length)
{
  const slot_t *slot = &table->slots[find_slot (table, name, length)];
  return slot->name != NULL ? (int64_t)slot->number : NAME_TABLE_NONE;
}
