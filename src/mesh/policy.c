#include "mesh/policy.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "name_table.h"

typedef struct policy_index_t
{
  name_table_t *first_route_by_host; /* index of the host's first route */
  name_table_t *account_by_key;
  name_table_t *service_by_name;
  name_table_t *route_by_name;
} policy_index_t;

/* Orders routes by host, then by prefix with the longest first.  */
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
  index->first_route_by_host = name_table_new (policy->route_count + 1);
  index->route_by_name = name_table_new (policy->route_count + 1);
  for (size_t i = 0; i < policy->route_count; i++)
    {
      if (policy->routes[i].destination_count == 0)
        return error_set (error, ERROR_DOCUMENT, policy->routes[i].name,
                          "the route names no service; add one");
      name_table_add (index->first_route_by_host, policy->routes[i].host,
                      (uint32_t)i);
      name_table_add (index->route_by_name, policy->routes[i].name,
                      (uint32_t)i);
    }
  return true;
}

static bool
index_services_and_keys (policy_t *policy, error_info_t *error)
{
  policy_index_t *index = policy->index;
  index->service_by_name = name_table_new (policy->service_count + 1);
  index->account_by_key = name_table_new (policy->key_count + 1);
  for (size_t i = 0; i < policy->service_count; i++)
    if (name_table_add (index->service_by_name, policy->services[i].name,
                        (uint32_t)i)
        != NAME_TABLE_NONE)
      return error_set (error, ERROR_DOCUMENT, policy->services[i].name,
                        "the service is defined twice; remove one definition");
  for (size_t i = 0; i < policy->key_count; i++)
    if (name_table_add (index->account_by_key, policy->keys[i].text,
                        policy->keys[i].account_index)
        != NAME_TABLE_NONE)
      return error_set (error, ERROR_DOCUMENT,
                        policy->accounts[policy->keys[i].account_index].name,
                        "a key is listed twice; remove one of them");
  return true;
}

bool
policy_build_index (policy_t *policy, error_info_t *error)
{
  policy->index = calloc (1, sizeof (policy_index_t));
  if (policy->index == NULL)
    abort ();
  return index_services_and_keys (policy, error)
         && index_routes (policy, error);
}

static void
free_table (name_table_t *table)
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
      free_table (index->first_route_by_host);
      free_table (index->account_by_key);
      free_table (index->service_by_name);
      free_table (index->route_by_name);
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
  char host_name[PATH_BYTES];
  size_t length = 0;
  while (length < host_size && length + 1 < sizeof host_name
         && host[length] != ':')
    {
      host_name[length] = (char)tolower ((unsigned char)host[length]);
      length++;
    }
  host_name[length] = '\0';
  int64_t first_route
      = name_table_find (index->first_route_by_host, host_name, length);
  if (first_route == NAME_TABLE_NONE)
    return -1;
  size_t path_size = strcspn (path, "?");
  for (size_t i = (size_t)first_route;
       i < policy->route_count
       && strcmp (policy->routes[i].host, host_name) == 0;
       i++)
    {
      size_t prefix_size = strlen (policy->routes[i].path_prefix);
      if (prefix_size <= path_size
          && memcmp (policy->routes[i].path_prefix, path, prefix_size) == 0)
        return (int)i;
    }
  return -1;
}

int
policy_find_account_by_key (const policy_t *policy, const char *key,
                            size_t size)
{
  const policy_index_t *index = policy->index;
  return (int)name_table_find (index->account_by_key, key, size);
}

int
policy_find_route_by_name (const policy_t *policy, const char *name)
{
  const policy_index_t *index = policy->index;
  return (int)name_table_find (index->route_by_name, name, strlen (name));
}

int
policy_find_service (const policy_t *policy, const char *name)
{
  const policy_index_t *index = policy->index;
  return (int)name_table_find (index->service_by_name, name, strlen (name));
}
