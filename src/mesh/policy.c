#include "mesh/policy.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "name_table.h"

typedef struct policy_index_t
{
  name_table_t *hosts; /* to the first route of a host */
  name_table_t *keys;
  name_table_t *services;
  name_table_t *routes;
} policy_index_t;

/* By host, then the longest prefix first.  */
static int
compare_routes (const void *a, const void *b)
{
  const policy_route_t *x = a;
  const policy_route_t *y = b;
  int order = strcmp (x->host, y->host);
  if (order != 0)
    return order;
  size_t x_size = strlen (x->path_prefix);
  size_t y_size = strlen (y->path_prefix);
  return x_size == y_size ? strcmp (x->path_prefix, y->path_prefix)
                          : (x_size < y_size ? 1 : -1);
}

static bool
index_routes (policy_t *policy, error_info_t *error)
{
  policy_index_t *index = policy->index;
  if (policy->route_count > 0)
    qsort (policy->routes, policy->route_count, sizeof *policy->routes,
           compare_routes);
  index->hosts = name_table_new (policy->route_count + 1);
  index->routes = name_table_new (policy->route_count + 1);
  for (size_t i = 0; i < policy->route_count; i++)
    {
      if (policy->routes[i].destination_count == 0)
        return error_set (error, ERROR_DOCUMENT, policy->routes[i].name,
                          "the route leads to no service; name one");
      name_table_add (index->hosts, policy->routes[i].host, (uint32_t)i);
      name_table_add (index->routes, policy->routes[i].name, (uint32_t)i);
    }
  return true;
}

static bool
index_names (policy_t *policy, error_info_t *error)
{
  policy_index_t *index = policy->index;
  index->services = name_table_new (policy->service_count + 1);
  index->keys = name_table_new (policy->key_count + 1);
  for (size_t i = 0; i < policy->service_count; i++)
    if (name_table_add (index->services, policy->services[i].name, (uint32_t)i)
        != NAME_TABLE_NONE)
      return error_set (error, ERROR_DOCUMENT, policy->services[i].name,
                        "the service stands twice; remove one");
  for (size_t i = 0; i < policy->key_count; i++)
    if (name_table_add (index->keys, policy->keys[i].text,
                        policy->keys[i].account_index)
        != NAME_TABLE_NONE)
      return error_set (error, ERROR_DOCUMENT,
                        policy->accounts[policy->keys[i].account_index].name,
                        "a key stands twice; remove one");
  return true;
}

bool
policy_build_index (policy_t *policy, error_info_t *error)
{
  policy->index = calloc (1, sizeof (policy_index_t));
  if (policy->index == NULL)
    abort ();
  return index_names (policy, error) && index_routes (policy, error);
}

static void
table_free (name_table_t *table)
{
  if (table != NULL)
    name_table_free (table);
}

void
policy_free (policy_t *policy)
{
  if (policy == NULL)
    return;
  policy_index_t *index = policy->index;
  if (index != NULL)
    {
      table_free (index->hosts);
      table_free (index->keys);
      table_free (index->services);
      table_free (index->routes);
      free (index);
    }
  free (policy->services);
  free (policy->routes);
  free (policy->accounts);
  free (policy->keys);
  free (policy);
}

int
policy_find_route (const policy_t *policy, const char *host, size_t host_size,
                   const char *path)
{
  const policy_index_t *index = policy->index;
  char name[PATH_BYTES];
  size_t length = 0;
  while (length < host_size && length + 1 < sizeof name && host[length] != ':')
    {
      name[length] = (char)tolower ((unsigned char)host[length]);
      length++;
    }
  name[length] = '\0';
  int64_t first = name_table_find (index->hosts, name, length);
  if (first == NAME_TABLE_NONE)
    return -1;
  size_t path_size = strcspn (path, "?");
  for (size_t i = (size_t)first;
       i < policy->route_count && strcmp (policy->routes[i].host, name) == 0;
       i++)
    {
      size_t size = strlen (policy->routes[i].path_prefix);
      if (size <= path_size
          && memcmp (policy->routes[i].path_prefix, path, size) == 0)
        return (int)i;
    }
  return -1;
}

int
policy_find_account_by_key (const policy_t *policy, const char *key,
                            size_t size)
{
  const policy_index_t *index = policy->index;
  return (int)name_table_find (index->keys, key, size);
}

int
policy_find_route_by_name (const policy_t *policy, const char *name)
{
  const policy_index_t *index = policy->index;
  return (int)name_table_find (index->routes, name, strlen (name));
}

int
policy_find_service (const policy_t *policy, const char *name)
{
  const policy_index_t *index = policy->index;
  return (int)name_table_find (index->services, name, strlen (name));
}
