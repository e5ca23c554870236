#include "doc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "doc_fields.h"
#include "doc_index.h"

size_t
doc_path_length (const char *path)
{
  size_t length = strcspn (path, "?#");
  if (length > 1 && path[length - 1] == '/')
    length--;
  return length;
}

size_t
doc_path_shorten (const char *path, size_t length)
{
  if (length <= 1)
    return 0;
  while (length > 1 && path[length - 1] != '/')
    length--;
  return length > 1 ? length - 1 : 1;
}

bool
doc_path_is_ambiguous (const char *path)
{
  size_t length = strcspn (path, "?#");
  if (length == 0 || path[0] != '/')
    return true;
  for (size_t i = 0; i < length; i++)
    {
      const char *c = path + i;
      if (*c == '\\')
        return true;
      if (*c == '%'
          && (strncasecmp (c, "%2e", 3) == 0 || strncasecmp (c, "%2f", 3) == 0
              || strncasecmp (c, "%5c", 3) == 0
              || strncasecmp (c, "%25", 3) == 0
              || strncasecmp (c, "%00", 3) == 0))
        return true;
      if (*c != '/')
        continue;
      size_t segment = strcspn (c + 1, "/?#");
      if (segment == 0 && i + 1 < length)
        return true;
      if ((segment == 1 && c[1] == '.')
          || (segment == 2 && c[1] == '.' && c[2] == '.'))
        return true;
    }
  return false;
}

static const doc_route_t *
route_with_method (const doc_t *doc, int32_t first, const char *method)
{
  const doc_route_t *any = NULL;
  for (int32_t i = first; i != DOC_INDEX_END;
       i = doc_index (doc)->next_route[i])
    {
      const doc_route_t *route = &doc->routes[i];
      if (strcmp (route->method, method) == 0)
        return route;
      if (strcmp (route->method, "*") == 0)
        any = route;
    }
  return any;
}

static const doc_route_t *
find_longest (const doc_t *doc, const char *method, const char *path,
              size_t length)
{
  const name_table_t *prefixes = doc_index (doc)->prefixes;
  for (; length > 0; length = doc_path_shorten (path, length))
    {
      int64_t first = name_table_find (prefixes, path, length);
      if (first == NAME_TABLE_NONE)
        continue;
      const doc_route_t *route
          = route_with_method (doc, (int32_t)first, method);
      if (route != NULL)
        return route;
    }
  return NULL;
}

bool
doc_apply_alias (const doc_t *doc, const char *path, char *to, size_t size)
{
  const name_table_t *aliases = doc_index (doc)->aliases;
  if (doc->alias_count == 0)
    return false;
  for (size_t length = doc_path_length (path); length > 0;
       length = doc_path_shorten (path, length))
    {
      int64_t i = name_table_find (aliases, path, length);
      if (i == NAME_TABLE_NONE)
        continue;
      const char *target = doc->aliases[i].to;
      int written = snprintf (to, size, "%s%s", target, path + length);
      return written > 0 && (size_t)written < size;
    }
  return false;
}

const doc_route_t *
doc_find_route (const doc_t *doc, const char *method, const char *path)
{
  char aliased[2 * PATH_BYTES];
  if (doc_path_is_ambiguous (path))
    return NULL;
  if (doc_apply_alias (doc, path, aliased, sizeof aliased))
    path = aliased;
  return find_longest (doc, method, path, doc_path_length (path));
}

enum
{
  DISTANCE_MAX = 4 /* edits; more is another name */
};

/* Edits between A and B (Levenshtein), or more than DISTANCE_MAX.  */
static size_t
edit_distance (const char *a, size_t a_length, const char *b, size_t b_length)
{
  size_t row[PATH_BYTES + 1];
  if (a_length > PATH_BYTES || b_length > PATH_BYTES
      || a_length > b_length + DISTANCE_MAX
      || b_length > a_length + DISTANCE_MAX)
    return DISTANCE_MAX + 1;
  for (size_t j = 0; j <= b_length; j++)
    row[j] = j;
  for (size_t i = 1; i <= a_length; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= b_length; j++)
        {
          size_t best = diagonal + (a[i - 1] != b[j - 1]);
          diagonal = row[j];
          if (row[j] + 1 < best)
            best = row[j] + 1;
          if (row[j - 1] + 1 < best)
            best = row[j - 1] + 1;
          row[j] = best;
        }
    }
  return row[b_length];
}

size_t
doc_path_same_depth (const char *path, const char *prefix)
{
  size_t length = doc_path_length (path);
  size_t segments = 0;
  for (const char *c = prefix; *c != '\0'; c++)
    segments += *c == '/';
  for (size_t i = 0; i < length; i++)
    if (path[i] == '/' && segments-- == 0)
      return i;
  return length;
}

const char *
doc_nearest_path (const doc_t *doc, const char *path)
{
  const char *nearest = NULL;
  size_t least = DISTANCE_MAX + 1;

  for (size_t i = 0; i < doc->route_count; i++)
    {
      const char *prefix = doc->routes[i].path_prefix;
      size_t prefix_length = strlen (prefix);
      size_t distance = edit_distance (
          path, doc_path_same_depth (path, prefix), prefix, prefix_length);
      if (distance > 0 && distance < least && distance * 2 < prefix_length)
        {
          least = distance;
          nearest = prefix;
        }
    }
  return nearest;
}

static int
find_name (const name_table_t *table, const char *name)
{
  return (int)name_table_find (table, name, strlen (name));
}

int
doc_find_service (const doc_t *doc, const char *name)
{
  const doc_index_t *index = doc_index (doc);
  int i = find_name (index->services, name);
  int alias = i < 0 ? find_name (index->aliases, name) : -1;
  return alias < 0 ? i : find_name (index->services, doc->aliases[alias].to);
}

int
doc_find_account (const doc_t *doc, const char *name)
{
  return find_name (doc_index (doc)->accounts, name);
}

bool
doc_zone_is_out (const doc_t *doc, const char *zone)
{
  int i = find_name (doc_index (doc)->zones, zone);
  return i >= 0 && doc->zones[i].out;
}

bool
doc_server_is_out (const doc_t *doc, vm_id_t vm)
{
  char text[NAME_BYTES];
  if (doc->server_count == 0)
    return false;
  doc_vm_format (vm, text);
  int i = find_name (doc_index (doc)->servers, text);
  return i >= 0 && doc->servers[i].out;
}
