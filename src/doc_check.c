#include <stdio.h>
#include <string.h>

#include "doc_fields.h"
#include "doc_index.h"

static void
check_routes (const doc_t *doc, doc_errors_t *errors)
{
  const doc_index_t *index = doc_index (doc);
  char path[PATH_BYTES];

  for (size_t i = 0; i < doc->route_count; i++)
    {
      const doc_route_t *route = &doc->routes[i];
      for (int32_t j = index->next_route[i]; j != DOC_INDEX_END;
           j = index->next_route[j])
        if (strcmp (route->method, doc->routes[j].method) == 0)
          {
            snprintf (path, sizeof path, "/routes/%d/path_prefix", j);
            doc_error_add (errors, path,
                           "is shadowed by route \"%s\" with the same method "
                           "and prefix; change one of them",
                           route->name);
          }
      snprintf (path, sizeof path, "/routes/%zu/open", i);
      if (route->open && route->priority == 0)
        doc_error_add (errors, path,
                       "priority 0 is shed last and needs a client account; "
                       "close the route or lower its priority");
    }
}

static bool
target_is_known (const doc_t *doc, const char *target)
{
  const doc_index_t *index = doc_index (doc);
  if (*target != '/')
    return name_table_find (index->services, target, strlen (target))
           != NAME_TABLE_NONE;
  for (size_t length = strlen (target); length > 0;
       length = doc_path_shorten (target, length))
    if (name_table_find (index->prefixes, target, length) != NAME_TABLE_NONE)
      return true;
  return false;
}

static void
check_alias (const doc_t *doc, size_t i, doc_errors_t *errors)
{
  const doc_index_t *index = doc_index (doc);
  const doc_alias_t *alias = &doc->aliases[i];
  bool is_path = *alias->from == '/';
  const name_table_t *known = is_path ? index->prefixes : index->services;
  char path[PATH_BYTES];

  snprintf (path, sizeof path, "/aliases/%zu/from", i);
  if (name_table_find (known, alias->from, strlen (alias->from))
      != NAME_TABLE_NONE)
    doc_error_add (errors, path,
                   "\"%s\" is a name in use and the alias would shadow it; "
                   "remove the alias",
                   alias->from);

  snprintf (path, sizeof path, "/aliases/%zu/to", i);
  if (is_path != (*alias->to == '/'))
    doc_error_add (errors, path,
                   "must be a path for a path, a service for a service");
  else if (!target_is_known (doc, alias->to))
    doc_error_add (errors, path,
                   "\"%s\" leads to no %s; name one that is there", alias->to,
                   is_path ? "route" : "service");
  else if (name_table_find (index->aliases, alias->to, strlen (alias->to))
           != NAME_TABLE_NONE)
    doc_error_add (errors, path,
                   "\"%s\" is an alias itself; name what it stands for",
                   alias->to);
}

static void
check_sums (const doc_t *doc, doc_errors_t *errors)
{
  uint64_t rates = 0;
  for (size_t i = 0; i < doc->account_count; i++)
    rates += doc->accounts[i].rate_per_s;
  if (rates > UINT32_MAX)
    doc_error_add (errors, "/accounts",
                   "the rates add up to over %u a second; lower some",
                   UINT32_MAX);

  size_t out = 0;
  for (size_t i = 0; i < doc->zone_count; i++)
    out += doc->zones[i].out;
  if (out > 0 && out == doc->zone_count)
    doc_error_add (errors, "/zones",
                   "every availability zone is out; bring one back");
}

void
doc_check (const doc_t *doc, doc_errors_t *errors)
{
  check_routes (doc, errors);
  for (size_t i = 0; i < doc->alias_count; i++)
    check_alias (doc, i, errors);
  check_sums (doc, errors);
}
