#include "errinfo.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

bool
error_set (error_info_t *error, error_kind_t kind, const char *path,
           const char *format, ...)
{
  va_list args;

  if (error == NULL || error->kind != ERROR_NONE)
    return false;
  error->kind = kind;
  snprintf (error->path, sizeof error->path, "%s", path ? path : "");
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return false;
}

void
error_clear (error_info_t *error)
{
  memset (error, 0, sizeof *error);
}

typedef struct kind_row_t
{
  const char *name;
  int exit_status;
} kind_row_t;

static const kind_row_t kind_rows[] = {
  [ERROR_NONE] = { "none", EX_OK },
  [ERROR_USAGE] = { "usage", EX_USAGE },
  [ERROR_SETTINGS] = { "settings", EX_CONFIG },
  [ERROR_DOCUMENT] = { "document", EX_DATAERR },
  [ERROR_IO] = { "io", EX_IOERR },
  [ERROR_PROTOCOL] = { "protocol", EX_PROTOCOL },
  [ERROR_UNAVAILABLE] = { "unavailable", EX_UNAVAILABLE },
  [ERROR_CONFLICT] = { "conflict", EX_TEMPFAIL },
  [ERROR_AUTH] = { "auth", EX_NOPERM },
  [ERROR_LIMIT] = { "limit", EX_TEMPFAIL },
  [ERROR_INTERNAL] = { "internal", EX_SOFTWARE },
};

const char *
error_kind_name (error_kind_t kind)
{
  return kind_rows[kind].name;
}

int
error_exit_status (error_kind_t kind)
{
  return kind_rows[kind].exit_status;
}
