#ifndef REDWINGFORD_HEADERS_H
#define REDWINGFORD_HEADERS_H

/* A short list of HTTP headers that are passed on end to end.  */

#include <stdbool.h>
#include <stddef.h>

enum
{
  HEADERS_MAX = 64
};

typedef struct header_t
{
  char *name;
  char *value;
} header_t;

typedef struct headers_t
{
  header_t items[HEADERS_MAX];
  size_t count;
} headers_t;

/* Copies both texts.  False when the list is full.  */
bool headers_add (headers_t *headers, const char *name, const char *value);

/* Value of the first header of that name (any case), or NULL; borrowed.  */
const char *headers_get (const headers_t *headers, const char *name);

void headers_free (headers_t *headers);

/* True for headers that belong to one connection, to the message's framing,
   or to redwingford, and so are never passed on.  */
bool headers_is_private (const char *name);

#endif
