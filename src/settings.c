#include "settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

enum
{
  SETTINGS_BYTES_MAX = 256 * 1024,
  WORKERS_MAX = 4096,
  CONNECTIONS_LIMIT = 65536,
  BODY_BYTES_LIMIT = 64 * 1024 * 1024,
  TIMEOUT_MS_MAX = 600 * 1000,
  LOG_POLL_MS_MAX = 60 * 1000
};

typedef enum field_kind_t
{
  FIELD_NAME,
  FIELD_LEVEL,
  FIELD_U32,
  FIELD_ADDR_BIND,    /* port 0 and 0.0.0.0 allowed */
  FIELD_ADDR_NAMED,   /* others reach this VM by it; port 0 allowed */
  FIELD_ADDR_CONNECT, /* a complete address to connect to */
  FIELD_SEEDS,
  FIELD_SECRETS
} field_kind_t;

typedef struct field_t
{
  const char *name;
  field_kind_t kind;
  bool required;
  size_t offset;
  uint32_t min;
  uint32_t max;
  uint32_t value;   /* default of FIELD_U32 */
  const char *text; /* default of FIELD_NAME and FIELD_LEVEL */
} field_t;

#define AT(member) .offset = offsetof (settings_t, member)

static const field_t fields[] = {
  { "zone", FIELD_NAME, true, AT (zone) },
  { "region", FIELD_NAME, true, AT (region) },
  { "listen", FIELD_ADDR_BIND, true, AT (listen) },
  { "peer", FIELD_ADDR_NAMED, true, AT (peer) },
  { "control", FIELD_ADDR_NAMED, true, AT (control) },
  { "admin", FIELD_ADDR_BIND, true, AT (admin) },
  { "log", FIELD_ADDR_CONNECT, true, AT (log) },
  { "log_stream", FIELD_NAME, false, AT (log_stream), .text = "redwingford" },
  { "seeds", FIELD_SEEDS, false, AT (seeds) },
  { "fleet_secrets", FIELD_SECRETS, true, AT (fleet_secrets) },
  { "workers", FIELD_U32, false, AT (workers), 1, WORKERS_MAX, 256 },
  { "connections_max", FIELD_U32, false, AT (connections_max), 1,
    CONNECTIONS_LIMIT, 2048 },
  { "body_bytes_max", FIELD_U32, false, AT (body_bytes_max), 1,
    BODY_BYTES_LIMIT, 1024 * 1024 },
  { "stop_timeout_ms", FIELD_U32, false, AT (stop_timeout_ms), 0,
    TIMEOUT_MS_MAX, 30 * 1000 },
  { "log_poll_ms", FIELD_U32, false, AT (log_poll_ms), 10, LOG_POLL_MS_MAX,
    1000 },
  { "log_level", FIELD_LEVEL, false, AT (log_level), .text = "notice" },
};

enum
{
  FIELD_COUNT = sizeof fields / sizeof fields[0]
};

static const char *
json_kind_name (const json_t *value)
{
  switch (json_typeof (value))
    {
    case JSON_OBJECT:
      return "an object";
    case JSON_ARRAY:
      return "an array";
    case JSON_STRING:
      return "a string";
    case JSON_INTEGER:
      return "a whole number";
    case JSON_REAL:
      return "a fraction";
    case JSON_TRUE:
    case JSON_FALSE:
      return "a boolean";
    default:
      return "null";
    }
}

static bool
wrong_type (error_info_t *error, const char *path, const json_t *value,
            const char *wanted)
{
  return error_set (error, ERROR_SETTINGS, path, "is %s; write %s",
                    json_kind_name (value), wanted);
}

bool
settings_parse_addr (const char *text, endpoint_addr_t *addr)
{
  char ip_text[INET_ADDRSTRLEN];
  const char *colon = strchr (text, ':');
  struct in_addr in;
  char *end;

  if (colon == NULL || (size_t)(colon - text) >= sizeof ip_text)
    return false;
  memcpy (ip_text, text, colon - text);
  ip_text[colon - text] = '\0';
  if (inet_pton (AF_INET, ip_text, &in) != 1
      || !isdigit ((unsigned char)colon[1]))
    return false;
  errno = 0;
  unsigned long port = strtoul (colon + 1, &end, 10);
  if (errno != 0 || *end != '\0' || port > UINT16_MAX)
    return false;
  addr->ip = ntohl (in.s_addr);
  addr->port = (uint16_t)port;
  return true;
}

void
settings_format_addr (endpoint_addr_t addr, char *text)
{
  snprintf (text, ADDR_TEXT_BYTES, "%u.%u.%u.%u:%u", addr.ip >> 24,
            (addr.ip >> 16) & 0xff, (addr.ip >> 8) & 0xff, addr.ip & 0xff,
            addr.port);
}

static bool
read_name (const json_t *value, const char *path, char *name,
           error_info_t *error)
{
  if (!json_is_string (value))
    return wrong_type (error, path, value, "a string");
  const char *text = json_string_value (value);
  size_t size = json_string_length (value);
  if (size == 0 || size >= NAME_BYTES)
    return error_set (error, ERROR_SETTINGS, path,
                      "has %zu bytes; write a name of 1 to %d bytes", size,
                      NAME_BYTES - 1);
  for (size_t i = 0; i < size; i++)
    if (!isalnum ((unsigned char)text[i]) && strchr ("-_.", text[i]) == NULL)
      return error_set (error, ERROR_SETTINGS, path,
                        "has a byte that names may not have; write letters, "
                        "digits, '-', '_' and '.' only");
  memcpy (name, text, size + 1);
  return true;
}

static bool
read_level (const json_t *value, const char *path, char *name,
            error_info_t *error)
{
  log_level_t level;

  if (!json_is_string (value))
    return wrong_type (error, path, value, "a string");
  if (!log_level_parse (json_string_value (value), &level))
    return error_set (error, ERROR_SETTINGS, path,
                      "is no log level; write one of error, warn, notice, "
                      "info, debug");
  snprintf (name, NAME_BYTES, "%s", json_string_value (value));
  return true;
}

static bool
read_u32 (const json_t *value, const char *path, const field_t *field,
          uint32_t *number, error_info_t *error)
{
  if (!json_is_integer (value))
    return wrong_type (error, path, value, "a whole number");
  json_int_t n = json_integer_value (value);
  if (n < field->min || n > field->max)
    return error_set (error, ERROR_SETTINGS, path,
                      "is %lld; write a number from %u to %u", (long long)n,
                      field->min, field->max);
  *number = (uint32_t)n;
  return true;
}

static bool
read_addr (const json_t *value, const char *path, field_kind_t kind,
           endpoint_addr_t *addr, error_info_t *error)
{
  if (!json_is_string (value))
    return wrong_type (error, path, value, "a string \"A.B.C.D:PORT\"");
  if (!settings_parse_addr (json_string_value (value), addr))
    return error_set (error, ERROR_SETTINGS, path,
                      "is no address; write \"A.B.C.D:PORT\" in numbers");
  if (kind != FIELD_ADDR_BIND && addr->ip == INADDR_ANY)
    return error_set (error, ERROR_SETTINGS, path,
                      "is 0.0.0.0; write the address that others reach");
  if (kind == FIELD_ADDR_CONNECT && addr->port == 0)
    return error_set (error, ERROR_SETTINGS, path,
                      "has port 0; write the port to connect to");
  return true;
}

static bool
read_seeds (const json_t *value, settings_t *settings, error_info_t *error)
{
  char path[PATH_BYTES];
  size_t count = json_array_size (value);

  if (!json_is_array (value))
    return wrong_type (error, "/seeds", value, "an array of addresses");
  if (count > SEEDS_MAX)
    return error_set (error, ERROR_SETTINGS, "/seeds",
                      "has %zu items; write at most %d", count, SEEDS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      snprintf (path, sizeof path, "/seeds/%zu", i);
      if (!read_addr (json_array_get (value, i), path, FIELD_ADDR_CONNECT,
                      &settings->seeds[i], error))
        return false;
    }
  settings->seed_count = count;
  return true;
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

/* Never repeats the value in a message: it is a secret.  */
static bool
read_secret (const json_t *value, const char *path, uint8_t *secret,
             error_info_t *error)
{
  const char *text = json_string_value (value);

  if (text == NULL)
    return wrong_type (error, path, value, "a string of 64 hex digits");
  if (json_string_length (value) != (size_t)FLEET_SECRET_BYTES * 2)
    return error_set (error, ERROR_SETTINGS, path,
                      "has %zu bytes; write 64 hex digits",
                      json_string_length (value));
  for (size_t i = 0; i < FLEET_SECRET_BYTES; i++)
    {
      int high = hex_digit (text[2 * i]);
      int low = hex_digit (text[2 * i + 1]);
      if (high < 0 || low < 0)
        return error_set (error, ERROR_SETTINGS, path,
                          "is not hexadecimal; write 64 hex digits");
      secret[i] = (uint8_t)(high << 4 | low);
    }
  return true;
}

static bool
read_secrets (const json_t *value, settings_t *settings, error_info_t *error)
{
  char path[PATH_BYTES];
  size_t count = json_array_size (value);

  if (!json_is_array (value))
    return wrong_type (error, "/fleet_secrets", value,
                       "an array of one or two secrets");
  if (count < 1 || count > FLEET_SECRETS_MAX)
    return error_set (error, ERROR_SETTINGS, "/fleet_secrets",
                      "has %zu items; write one or %d", count,
                      FLEET_SECRETS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      snprintf (path, sizeof path, "/fleet_secrets/%zu", i);
      if (!read_secret (json_array_get (value, i), path,
                        settings->fleet_secrets[i], error))
        return false;
    }
  settings->fleet_secret_count = count;
  return true;
}

static bool
read_field (const field_t *field, const json_t *value, settings_t *settings,
            error_info_t *error)
{
  char path[PATH_BYTES];
  void *at = (char *)settings + field->offset;

  snprintf (path, sizeof path, "/%s", field->name);
  switch (field->kind)
    {
    case FIELD_NAME:
      return read_name (value, path, at, error);
    case FIELD_LEVEL:
      return read_level (value, path, at, error);
    case FIELD_U32:
      return read_u32 (value, path, field, at, error);
    case FIELD_SEEDS:
      return read_seeds (value, settings, error);
    case FIELD_SECRETS:
      return read_secrets (value, settings, error);
    default:
      return read_addr (value, path, field->kind, at, error);
    }
}

static void
set_defaults (settings_t *settings)
{
  memset (settings, 0, sizeof *settings);
  for (size_t i = 0; i < FIELD_COUNT; i++)
    {
      void *at = (char *)settings + fields[i].offset;
      if (fields[i].kind == FIELD_U32)
        memcpy (at, &fields[i].value, sizeof fields[i].value);
      else if (fields[i].text != NULL)
        snprintf (at, NAME_BYTES, "%s", fields[i].text);
    }
}

static const field_t *
find_field (const char *name)
{
  for (size_t i = 0; i < FIELD_COUNT; i++)
    if (strcmp (fields[i].name, name) == 0)
      return &fields[i];
  return NULL;
}

static bool
unknown_field (const char *name, error_info_t *error)
{
  char known[ERROR_MESSAGE_BYTES] = "";
  char path[PATH_BYTES];

  for (size_t i = 0; i < FIELD_COUNT; i++)
    {
      size_t used = strlen (known);
      snprintf (known + used, sizeof known - used, "%s%s", i ? ", " : "",
                fields[i].name);
    }
  snprintf (path, sizeof path, "/%.64s", name);
  return error_set (error, ERROR_SETTINGS, path,
                    "is no setting; remove it or write one of %s", known);
}

static bool
read_object (json_t *root, settings_t *settings, error_info_t *error)
{
  const char *name;
  json_t *value;

  if (!json_is_object (root))
    return wrong_type (error, "/", root, "one object of settings");
  json_object_foreach (root, name, value)
  {
    const field_t *field = find_field (name);
    if (field == NULL)
      return unknown_field (name, error);
    if (!read_field (field, value, settings, error))
      return false;
  }
  for (size_t i = 0; i < FIELD_COUNT; i++)
    if (fields[i].required && json_object_get (root, fields[i].name) == NULL)
      {
        char path[PATH_BYTES];
        snprintf (path, sizeof path, "/%s", fields[i].name);
        return error_set (error, ERROR_SETTINGS, path,
                          "is missing; write it, it has no default");
      }
  /* Members tell each other one address with several ports.  */
  if (settings->peer.ip != settings->control.ip)
    return error_set (error, ERROR_SETTINGS, "/peer",
                      "is not at the address of /control; write the same "
                      "A.B.C.D in both");
  return true;
}

static bool
syntax_error (const json_error_t *fault, error_info_t *error)
{
  char path[PATH_BYTES];
  bool twice = json_error_code (fault) == json_error_duplicate_key;

  snprintf (path, sizeof path, "line %d column %d", fault->line,
            fault->column);
  return error_set (error, ERROR_SETTINGS, path, "%s; %s", fault->text,
                    twice ? "write each field once" : "write valid JSON");
}

bool
settings_parse (const char *text, size_t size, settings_t *settings,
                error_info_t *error)
{
  json_error_t fault;

  set_defaults (settings);
  if (size > SETTINGS_BYTES_MAX)
    return error_set (error, ERROR_SETTINGS, "/",
                      "has %zu bytes; write at most %d", size,
                      SETTINGS_BYTES_MAX);
  json_t *root = json_loadb (text, size, JSON_REJECT_DUPLICATES, &fault);
  if (root == NULL)
    return syntax_error (&fault, error);
  bool ok = read_object (root, settings, error);
  json_decref (root);
  return ok;
}

bool
settings_load (const char *path, settings_t *settings, error_info_t *error)
{
  error_info_t fault = { .kind = ERROR_NONE };
  size_t size;
  char *text = settings_read_file (path, SETTINGS_BYTES_MAX, &size, error);

  if (text == NULL)
    return false;
  bool ok = settings_parse (text, size, settings, &fault);
  free (text);
  if (ok)
    return true;
  return error_set (error, fault.kind, fault.path, "%s: %s: %s", path,
                    fault.path, fault.message);
}

char *
settings_read_file (const char *path, size_t size_max, size_t *size,
                    error_info_t *error)
{
  FILE *file = fopen (path, "re");
  char *text;

  if (file == NULL)
    {
      error_set (error, ERROR_IO, NULL,
                 "%s: cannot be read (%s); name a readable file", path,
                 strerror (errno));
      return NULL;
    }
  text = malloc (size_max + 1);
  *size = text == NULL ? 0 : fread (text, 1, size_max + 1, file);
  bool failed = text == NULL || ferror (file) != 0;
  fclose (file);
  if (!failed && *size <= size_max)
    return text;
  error_set (error, ERROR_IO, NULL,
             failed ? "%s: reading it failed; try again"
                    : "%s: is too large; write a smaller file",
             path);
  free (text);
  return NULL;
}
