#include "doc_fields.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACCOUNT(field) offsetof (doc_account_t, field)
#define KEY(field) offsetof (doc_key_t, field)
#define ROUTE(field) offsetof (doc_route_t, field)
#define ZONE(field) offsetof (doc_zone_t, field)
#define SECTION(type, items, count)                                           \
  .item_bytes = sizeof (type), .items_offset = offsetof (doc_t, items),       \
  .count_offset = offsetof (doc_t, count)

enum
{
  RATE_MAX = 10000000,
  BURST_MAX = 10000000,
  WEIGHT_MAX = 1000,
  DEADLINE_MAX_MS = 600000,
  RETRY_BUDGET_MAX = 100,
  RETRY_BUDGET_FALLBACK = 2,
  ITEMS_MAX = 65536,
  KEYS_MAX = 64
};

#define FIELD(name, type, offset, ...)                                        \
  {                                                                           \
    name, DOC_FIELD_##type, offset, __VA_ARGS__                               \
  }
#define REQUIRED 0, 0, true, 0
#define OPTIONAL 0, 0, false, 0

const doc_section_t doc_sections[DOC_SECTION_COUNT] = {
  [DOC_SERVICES]
  = { "services",
      SECTION (doc_service_t, services, service_count),
      ITEMS_MAX,
      { FIELD ("name", NAME, offsetof (doc_service_t, name), REQUIRED) } },
  [DOC_ACCOUNTS]
  = { "accounts",
      SECTION (doc_account_t, accounts, account_count),
      ITEMS_MAX,
      { FIELD ("name", NAME, ACCOUNT (name), REQUIRED),
        FIELD ("rate_per_s", COUNT, ACCOUNT (rate_per_s), 1, RATE_MAX, true,
               0),
        FIELD ("burst", COUNT, ACCOUNT (burst), 1, BURST_MAX, true, 0),
        FIELD ("weight", COUNT, ACCOUNT (weight), 1, WEIGHT_MAX, false, 1) } },
  [DOC_ROUTES]
  = { "routes",
      SECTION (doc_route_t, routes, route_count),
      ITEMS_MAX,
      { FIELD ("name", NAME, ROUTE (name), REQUIRED),
        FIELD ("method", METHOD, ROUTE (method), REQUIRED),
        FIELD ("path_prefix", PATH, ROUTE (path_prefix), REQUIRED),
        FIELD ("service", SERVICE, ROUTE (service), REQUIRED),
        FIELD ("priority", COUNT, ROUTE (priority), 0, PRIORITY_COUNT - 1,
               true, 0),
        FIELD ("idempotent", FLAG, ROUTE (idempotent), REQUIRED),
        FIELD ("open", FLAG, ROUTE (open), OPTIONAL),
        FIELD ("deadline_ms", COUNT, ROUTE (deadline_ms), 1, DEADLINE_MAX_MS,
               true, 0),
        FIELD ("retry_budget", COUNT, ROUTE (retry_budget), 0,
               RETRY_BUDGET_MAX, false, RETRY_BUDGET_FALLBACK) } },
  [DOC_ZONES] = { "zones",
                  SECTION (doc_zone_t, zones, zone_count),
                  ITEMS_MAX,
                  { FIELD ("name", NAME, ZONE (name), REQUIRED),
                    FIELD ("region", NAME, ZONE (region), OPTIONAL),
                    FIELD ("out", FLAG, ZONE (out), OPTIONAL) } },
  [DOC_SERVERS]
  = { "servers",
      SECTION (doc_server_t, servers, server_count),
      ITEMS_MAX,
      { FIELD ("vm", VM, offsetof (doc_server_t, vm), REQUIRED),
        FIELD ("out", FLAG, offsetof (doc_server_t, out), REQUIRED) } },
  [DOC_ALIASES]
  = { "aliases",
      SECTION (doc_alias_t, aliases, alias_count),
      ITEMS_MAX,
      { FIELD ("from", TARGET, offsetof (doc_alias_t, from), REQUIRED),
        FIELD ("to", TARGET, offsetof (doc_alias_t, to), REQUIRED) } },
};

const doc_section_t doc_key_section
    = { "keys",
        sizeof (doc_key_t),
        ACCOUNT (keys),
        ACCOUNT (key_count),
        KEYS_MAX,
        { FIELD ("id", NAME, KEY (id), REQUIRED),
          FIELD ("salt", BYTES, KEY (salt), 0, KEY_SALT_BYTES, true, 0),
          FIELD ("hash", BYTES, KEY (hash), 0, KEY_HASH_BYTES, true, 0),
          FIELD ("withdrawn", FLAG, KEY (withdrawn), OPTIONAL) } };

void *
doc_section_items (const doc_section_t *section, const void *owner)
{
  void *items;
  memcpy (&items, (const char *)owner + section->items_offset, sizeof items);
  return items;
}

size_t
doc_section_count (const doc_section_t *section, const void *owner)
{
  size_t count;
  memcpy (&count, (const char *)owner + section->count_offset, sizeof count);
  return count;
}

const doc_field_t *
doc_section_field (const doc_section_t *section, const char *name)
{
  for (const doc_field_t *f = section->fields; f->name != NULL; f++)
    if (strcmp (f->name, name) == 0)
      return f;
  return NULL;
}

bool
doc_vm_parse (const char *text, vm_id_t *vm)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = strchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof ip)
    return false;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';

  struct in_addr address;
  char *end;
  long port = strtol (colon + 1, &end, 10);
  if (inet_pton (AF_INET, ip, &address) != 1 || colon[1] < '0'
      || colon[1] > '9' || *end != '\0' || port < 1 || port > UINT16_MAX)
    return false;
  *vm = vm_id_make (ntohl (address.s_addr), (uint16_t)port);
  return true;
}

void
doc_vm_format (vm_id_t vm, char *text)
{
  struct in_addr address = { htonl (vm_id_ip (vm)) };
  char ip[INET_ADDRSTRLEN];
  inet_ntop (AF_INET, &address, ip, sizeof ip);
  snprintf (text, NAME_BYTES, "%s:%u", ip, vm_id_port (vm));
}

void
doc_error_add (doc_errors_t *errors, const char *path, const char *format, ...)
{
  if (errors->count == DOC_ERRORS_MAX)
    return;

  char text[ERROR_MESSAGE_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);

  error_info_t *error = &errors->items[errors->count++];
  error_clear (error);
  error_set (error, ERROR_DOCUMENT, path, "%s", text);
}
