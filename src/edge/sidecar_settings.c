#include "edge/sidecar_settings.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SETTINGS_BYTES_MAX = 64 * 1024
};

typedef enum field_kind_t
{
  FIELD_NAME,
  FIELD_ADDR,
  FIELD_DOUBLE,
  FIELD_U32
} field_kind_t;

typedef struct field_t
{
  const char *name;
  field_kind_t kind;
  bool required;
  size_t offset;
  double default_value; /* for numbers */
  double min;
  double max;
} field_t;

#define OFFSET(member) offsetof (sidecar_settings_t, member)

static const field_t fields[] = {
  { "node", FIELD_NAME, true, OFFSET (node), 0, 0, 0 },
  { "zone", FIELD_NAME, true, OFFSET (zone), 0, 0, 0 },
  { "service", FIELD_NAME, true, OFFSET (service), 0, 0, 0 },
  { "callers", FIELD_ADDR, true, OFFSET (callers), 0, 0, 0 },
  { "ready", FIELD_ADDR, true, OFFSET (ready), 0, 0, 0 },
  { "announce", FIELD_ADDR, true, OFFSET (announce), 0, 0, 0 },
  { "peer", FIELD_ADDR, true, OFFSET (peer), 0, 0, 0 },
  { "peer_bind", FIELD_ADDR, false, OFFSET (peer_bind), 0, 0, 0 },
  { "metrics", FIELD_ADDR, true, OFFSET (metrics), 0, 0, 0 },
  { "backend", FIELD_ADDR, true, OFFSET (backend), 0, 0, 0 },
  { "store", FIELD_ADDR, true, OFFSET (store), 0, 0, 0 },
  { "stop_s", FIELD_DOUBLE, false, OFFSET (stop_s), 6, 1, 600 },
  { "retry_share", FIELD_DOUBLE, false, OFFSET (retry_share), 0.2, 0, 1 },
  { "retry_reserve", FIELD_DOUBLE, false, OFFSET (retry_reserve), 0, 0, 1e6 },
  { "rate_window_s", FIELD_DOUBLE, false, OFFSET (rate_window_s), 5, 1, 60 },
  { "rollout_share", FIELD_DOUBLE, false, OFFSET (rollout_share), 0.1, 0, 1 },
  { "rollout_slack", FIELD_DOUBLE, false, OFFSET (rollout_slack), 50, 0, 1e6 },
  { "rollout_revert_s", FIELD_DOUBLE, false, OFFSET (rollout_revert_s), 5, 0.5,
    600 },
  { "memory_mb", FIELD_U32, false, OFFSET (memory_mb), 64, 16, 1048576 },
  { "descriptors_max", FIELD_U32, false, OFFSET (descriptors_max), 0, 64,
    1048576 },
};

enum
{
  FIELD_COUNT = sizeof fields / sizeof fields[0]
};

static bool
parse_value (const field_t *field, const json_t *value, char *dest,
             error_info_t *error)
{
  const char *text = json_string_value (value);
  double number = json_number_value (value);
  switch (field->kind)
    {
    case FIELD_NAME:
      if (text == NULL || text[0] == '\0' || strlen (text) >= NAME_BYTES)
        return error_set (error, ERROR_SETTINGS, field->name,
                          "must be a string of 1 to %d bytes", NAME_BYTES - 1);
      snprintf (dest, NAME_BYTES, "%s", text);
      return true;
    case FIELD_ADDR:
      if (text == NULL || !settings_parse_addr (text, (endpoint_addr_t *)dest))
        return error_set (error, ERROR_SETTINGS, field->name,
                          "must be an address in the form \"A.B.C.D:PORT\"");
      return true;
    default:
      if (!json_is_number (value) || number < field->min
          || number > field->max)
        return error_set (error, ERROR_SETTINGS, field->name,
                          "must be a number from %g to %g", field->min,
                          field->max);
      if (field->kind == FIELD_U32)
        *(uint32_t *)dest = (uint32_t)number;
      else
        *(double *)dest = number;
      return true;
    }
}

static bool
read_field (const field_t *field, json_t *root, sidecar_settings_t *settings,
            error_info_t *error)
{
  char *dest = (char *)settings + field->offset;
  const json_t *value = json_object_get (root, field->name);
  if (value != NULL && !json_is_null (value))
    return parse_value (field, value, dest, error);
  if (field->required)
    return error_set (error, ERROR_SETTINGS, field->name,
                      "missing required setting; add it");
  if (field->kind == FIELD_U32)
    *(uint32_t *)dest = (uint32_t)field->default_value;
  else if (field->kind == FIELD_DOUBLE)
    *(double *)dest = field->default_value;
  return true;
}

static bool
is_known_field (const char *name)
{
  for (int i = 0; i < FIELD_COUNT; i++)
    if (strcmp (fields[i].name, name) == 0)
      return true;
  return false;
}

static bool
read_fields (json_t *root, sidecar_settings_t *settings, error_info_t *error)
{
  const char *name;
  json_t *value;
  if (!json_is_object (root))
    return error_set (error, ERROR_SETTINGS, NULL,
                      "the settings must be a JSON object");
  json_object_foreach (root, name, value)
  {
    if (!is_known_field (name))
      return error_set (error, ERROR_SETTINGS, name,
                        "unknown setting; remove it");
  }
  for (int i = 0; i < FIELD_COUNT; i++)
    if (!read_field (&fields[i], root, settings, error))
      return false;
  return true;
}

bool
sidecar_settings_parse (const char *text, size_t size,
                        sidecar_settings_t *settings, error_info_t *error)
{
  json_error_t json_error;
  json_t *root = json_loadb (text, size, JSON_REJECT_DUPLICATES, &json_error);
  memset (settings, 0, sizeof *settings);
  if (root == NULL)
    return error_set (error, ERROR_SETTINGS, NULL,
                      "invalid JSON at line %d: %s; write one JSON object",
                      json_error.line, json_error.text);
  bool valid = read_fields (root, settings, error);
  json_decref (root);
  return valid;
}

bool
sidecar_settings_load (const char *path, sidecar_settings_t *settings,
                       error_info_t *error)
{
  size_t size;
  char *text = settings_read_file (path, SETTINGS_BYTES_MAX, &size, error);
  if (text == NULL)
    return false;
  bool valid = sidecar_settings_parse (text, size, settings, error);
  free (text);
  return valid;
}
