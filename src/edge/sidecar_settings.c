#include "edge/sidecar_settings.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SETTINGS_BYTES_MAX = 64 * 1024
};

typedef enum kind_t
{
  KIND_NAME,
  KIND_ADDR,
  KIND_NUMBER,
  KIND_COUNT
} kind_t;

typedef struct row_t
{
  const char *name;
  kind_t kind;
  bool required;
  size_t offset;
  double missing; /* default of a number */
  double least;
  double most;
} row_t;

#define AT(member) offsetof (sidecar_settings_t, member)

static const row_t rows[] = {
  { "node", KIND_NAME, true, AT (node), 0, 0, 0 },
  { "zone", KIND_NAME, true, AT (zone), 0, 0, 0 },
  { "service", KIND_NAME, true, AT (service), 0, 0, 0 },
  { "callers", KIND_ADDR, true, AT (callers), 0, 0, 0 },
  { "ready", KIND_ADDR, true, AT (ready), 0, 0, 0 },
  { "announce", KIND_ADDR, true, AT (announce), 0, 0, 0 },
  { "peer", KIND_ADDR, true, AT (peer), 0, 0, 0 },
  { "peer_bind", KIND_ADDR, false, AT (peer_bind), 0, 0, 0 },
  { "metrics", KIND_ADDR, true, AT (metrics), 0, 0, 0 },
  { "backend", KIND_ADDR, true, AT (backend), 0, 0, 0 },
  { "store", KIND_ADDR, true, AT (store), 0, 0, 0 },
  { "stop_s", KIND_NUMBER, false, AT (stop_s), 6, 1, 600 },
  { "retry_share", KIND_NUMBER, false, AT (retry_share), 0.2, 0, 1 },
  { "retry_reserve", KIND_NUMBER, false, AT (retry_reserve), 0, 0, 1e6 },
  { "rate_window_s", KIND_NUMBER, false, AT (rate_window_s), 5, 1, 60 },
  { "memory_mb", KIND_COUNT, false, AT (memory_mb), 64, 16, 1048576 },
};

enum
{
  ROW_COUNT = sizeof rows / sizeof rows[0]
};

static bool
read_value (const row_t *row, const json_t *value, char *to,
            error_info_t *error)
{
  const char *text = json_string_value (value);
  double number = json_number_value (value);
  switch (row->kind)
    {
    case KIND_NAME:
      if (text == NULL || text[0] == '\0' || strlen (text) >= NAME_BYTES)
        return error_set (error, ERROR_SETTINGS, row->name,
                          "write a text of 1 to %d bytes", NAME_BYTES - 1);
      snprintf (to, NAME_BYTES, "%s", text);
      return true;
    case KIND_ADDR:
      if (text == NULL || !settings_parse_addr (text, (endpoint_addr_t *)to))
        return error_set (error, ERROR_SETTINGS, row->name,
                          "write an address as \"A.B.C.D:PORT\"");
      return true;
    default:
      if (!json_is_number (value) || number < row->least || number > row->most)
        return error_set (error, ERROR_SETTINGS, row->name,
                          "write a number from %g to %g", row->least,
                          row->most);
      if (row->kind == KIND_COUNT)
        *(uint32_t *)to = (uint32_t)number;
      else
        *(double *)to = number;
      return true;
    }
}

static bool
read_row (const row_t *row, json_t *root, sidecar_settings_t *settings,
          error_info_t *error)
{
  char *to = (char *)settings + row->offset;
  const json_t *value = json_object_get (root, row->name);
  if (value != NULL && !json_is_null (value))
    return read_value (row, value, to, error);
  if (row->required)
    return error_set (error, ERROR_SETTINGS, row->name, "is missing; add it");
  if (row->kind == KIND_COUNT)
    *(uint32_t *)to = (uint32_t)row->missing;
  else if (row->kind == KIND_NUMBER)
    *(double *)to = row->missing;
  return true;
}

static bool
is_known (const char *name)
{
  for (int i = 0; i < ROW_COUNT; i++)
    if (strcmp (rows[i].name, name) == 0)
      return true;
  return false;
}

static bool
read_rows (json_t *root, sidecar_settings_t *settings, error_info_t *error)
{
  const char *name;
  json_t *value;
  if (!json_is_object (root))
    return error_set (error, ERROR_SETTINGS, NULL,
                      "the settings must be a JSON object");
  json_object_foreach (root, name, value)
  {
    if (!is_known (name))
      return error_set (error, ERROR_SETTINGS, name,
                        "is no setting; remove it");
  }
  for (int i = 0; i < ROW_COUNT; i++)
    if (!read_row (&rows[i], root, settings, error))
      return false;
  return true;
}

bool
sidecar_settings_parse (const char *text, size_t size,
                        sidecar_settings_t *settings, error_info_t *error)
{
  json_error_t fault;
  json_t *root = json_loadb (text, size, JSON_REJECT_DUPLICATES, &fault);
  memset (settings, 0, sizeof *settings);
  if (root == NULL)
    return error_set (error, ERROR_SETTINGS, NULL,
                      "line %d: %s; write one JSON object", fault.line,
                      fault.text);
  bool read = read_rows (root, settings, error);
  json_decref (root);
  return read;
}

bool
sidecar_settings_load (const char *path, sidecar_settings_t *settings,
                       error_info_t *error)
{
  size_t size;
  char *text = settings_read_file (path, SETTINGS_BYTES_MAX, &size, error);
  if (text == NULL)
    return false;
  bool read = sidecar_settings_parse (text, size, settings, error);
  free (text);
  return read;
}
