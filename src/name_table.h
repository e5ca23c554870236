#ifndef REDWINGFORD_NAME_TABLE_H
#define REDWINGFORD_NAME_TABLE_H

/* Hash table from names to numbers, filled once and then only read.  Names
   are borrowed and must outlive the table.  */

#include "types.h"

typedef struct name_table_t name_table_t;

enum
{
  NAME_TABLE_NONE = -1
};

/* Room for at least CAPACITY names.  Free with name_table_free.  */
name_table_t *name_table_new (size_t capacity);
void name_table_free (name_table_t *table);

/* Adds NAME.  When it is there already the table stays as it is and the
   number that it has is returned, else NAME_TABLE_NONE.  */
int64_t name_table_add (name_table_t *table, const char *name,
                        uint32_t number);

/* Number of the name of LENGTH bytes, or NAME_TABLE_NONE.  */
int64_t name_table_find (const name_table_t *table, const char *name,
                         size_t length);

#endif
