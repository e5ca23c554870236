#include "doc_index.h"

#include <stdio.h>
#include <stdlib.h>

#include "doc_fields.h"

static void
report_repeat (doc_errors_t *errors, const char *section, size_t i,
               const char *field, const char *name, int64_t first)
{
  char path[PATH_BYTES];
  snprintf (path, sizeof path, "/%s/%zu/%s", section, i, field);
  doc_error_add (errors, path,
                 "\"%s\" stands at /%s/%lld already; remove one or rename it",
                 name, section, (long long)first);
}

/* Names of equal objects: the table of the FIELD at the start of each.  */
static name_table_t *
index_names (const doc_section_t *section, const char *field, const doc_t *doc,
             doc_errors_t *errors)
{
  const char *items = doc_section_items (section, doc);
  size_t count = doc_section_count (section, doc);
  size_t offset = doc_section_field (section, field)->offset;
  name_table_t *table = name_table_new (count);

  for (size_t i = 0; i < count; i++)
    {
      const char *name = items + i * section->item_bytes + offset;
      if (*name == '\0')
        continue;
      int64_t first = name_table_add (table, name, (uint32_t)i);
      if (first != NAME_TABLE_NONE)
        report_repeat (errors, section->name, i, field, name, first);
    }
  return table;
}

static void
index_servers (doc_t *doc, doc_index_t *index, doc_errors_t *errors)
{
  index->servers = name_table_new (doc->server_count);
  index->server_texts
      = calloc (doc->server_count + 1, sizeof *index->server_texts);
  for (size_t i = 0; i < doc->server_count; i++)
    {
      vm_id_t vm = doc->servers[i].vm;
      char *text = index->server_texts[i];
      doc_vm_format (vm, text);
      int64_t first = name_table_add (index->servers, text, (uint32_t)i);
      if (first != NAME_TABLE_NONE && vm != 0)
        report_repeat (errors, "servers", i, "vm", text, first);
    }
}

static void
index_routes (doc_t *doc, doc_index_t *index)
{
  index->prefixes = name_table_new (doc->route_count);
  index->next_route = calloc (doc->route_count + 1, sizeof *index->next_route);
  for (size_t i = 0; i < doc->route_count; i++)
    {
      index->next_route[i] = DOC_INDEX_END;
      int64_t first = name_table_add (index->prefixes,
                                      doc->routes[i].path_prefix, (uint32_t)i);
      if (first == NAME_TABLE_NONE)
        continue;
      index->next_route[i] = index->next_route[first];
      index->next_route[first] = (int32_t)i;
    }
}

static void
index_keys (doc_t *doc, doc_index_t *index, doc_errors_t *errors)
{
  size_t total = 0;
  for (size_t a = 0; a < doc->account_count; a++)
    total += doc->accounts[a].key_count;
  index->keys = name_table_new (total);
  index->places = calloc (total + 1, sizeof *index->places);

  uint32_t place = 0;
  for (uint32_t a = 0; a < doc->account_count; a++)
    for (uint32_t k = 0; k < doc->accounts[a].key_count; k++)
      {
        const char *id = doc->accounts[a].keys[k].id;
        if (*id == '\0')
          continue;
        index->places[place] = (doc_key_place_t){ a, k };
        if (name_table_add (index->keys, id, place) != NAME_TABLE_NONE)
          {
            char path[PATH_BYTES];
            snprintf (path, sizeof path, "/accounts/%u/keys/%u/id", a, k);
            doc_error_add (errors, path,
                           "the key id \"%s\" is taken; choose another", id);
          }
        place++;
      }
}

void
doc_index_services (doc_t *doc, doc_errors_t *errors)
{
  doc_index_t *index = calloc (1, sizeof *index);
  doc->index = index;
  index->services
      = index_names (&doc_sections[DOC_SERVICES], "name", doc, errors);
}

void
doc_index_build (doc_t *doc, doc_errors_t *errors)
{
  doc_index_t *index = doc->index;
  index->accounts
      = index_names (&doc_sections[DOC_ACCOUNTS], "name", doc, errors);
  index->route_names
      = index_names (&doc_sections[DOC_ROUTES], "name", doc, errors);
  index->zones = index_names (&doc_sections[DOC_ZONES], "name", doc, errors);
  index->aliases
      = index_names (&doc_sections[DOC_ALIASES], "from", doc, errors);
  index_servers (doc, index, errors);
  index_routes (doc, index);
  index_keys (doc, index, errors);
}

void
doc_index_free (doc_t *doc)
{
  doc_index_t *index = doc->index;
  if (index == NULL)
    return;
  name_table_free (index->accounts);
  name_table_free (index->services);
  name_table_free (index->route_names);
  name_table_free (index->prefixes);
  name_table_free (index->zones);
  name_table_free (index->servers);
  name_table_free (index->aliases);
  name_table_free (index->keys);
  free (index->next_route);
  free (index->server_texts);
  free (index->places);
  free (index);
  doc->index = NULL;
}
