#include "headers.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

static const char own_prefix[] = "Redwingford-";

static const char *const hop_names[] = {
  "Connection", "Keep-Alive",    "Proxy-Connection",   "TE",
  "Trailer",    "Upgrade",       "Transfer-Encoding",  "Content-Length",
  "Host",       "Authorization", "Proxy-Authenticate", "Proxy-Authorization",
  "Expect",     "Date",
};

bool
headers_add (headers_t *headers, const char *name, const char *value)
{
  if (headers->count == HEADERS_MAX)
    return false;
  header_t *header = &headers->items[headers->count++];
  header->name = strdup (name);
  header->value = strdup (value);
  return true;
}

const char *
headers_get (const headers_t *headers, const char *name)
{
  for (size_t i = 0; i < headers->count; i++)
    if (strcasecmp (headers->items[i].name, name) == 0)
      return headers->items[i].value;
  return NULL;
}

void
headers_free (headers_t *headers)
{
  for (size_t i = 0; i < headers->count; i++)
    {
      free (headers->items[i].name);
      free (headers->items[i].value);
    }
  headers->count = 0;
}

bool
headers_is_private (const char *name)
{
  if (strncasecmp (name, own_prefix, sizeof own_prefix - 1) == 0)
    return true;
  for (size_t i = 0; i < sizeof hop_names / sizeof *hop_names; i++)
    if (strcasecmp (name, hop_names[i]) == 0)
      return true;
  return false;
}
