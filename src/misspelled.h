#ifndef REDWINGFORD_MISSPELLED_H
#define REDWINGFORD_MISSPELLED_H

/* Counts the misspelled names that callers send, so that operators can make
   aliases of them.  Keeps the most frequent ones in bounded memory: a new
   name takes the place of the rarest and its count (space-saving, after
   Metwally, Agrawal and El Abbadi, ICDT 2005).  Any thread.  */

#include <jansson.h>

#include "types.h"

enum
{
  MISSPELLED_NAMES_MAX = 64
};

typedef struct misspelled_t misspelled_t;

/* Free with misspelled_free.  */
misspelled_t *misspelled_new (void);
void misspelled_free (misspelled_t *misspelled);

/* A request for PATH found no route; NEAREST is the known prefix nearest to
   it.  Counts the part of PATH with as many segments.  */
void misspelled_add (misspelled_t *misspelled, const char *path,
                     const char *nearest);

/* A new array of {"name", "nearest", "count"}, the most frequent first.  */
json_t *misspelled_list (misspelled_t *misspelled);

#endif
