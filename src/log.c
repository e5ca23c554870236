#include "log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

enum
{
  LINE_BYTES = 1024
};

typedef struct level_row_t
{
  const char *name;
  int priority;
} level_row_t;

static const level_row_t level_rows[LOG_LEVEL_COUNT] = {
  [LOG_LEVEL_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
  [LOG_LEVEL_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [LOG_LEVEL_NOTICE] = { "notice", LOG4C_PRIORITY_NOTICE },
  [LOG_LEVEL_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [LOG_LEVEL_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

static const char *const part_names[LOG_PART_COUNT] = {
#define LOG_PART_NAME(id, prefix) [LOG_PART_##id] = (prefix),
  LOG_PART_TABLE (LOG_PART_NAME)
#undef LOG_PART_NAME
};

/* Read on every call and changed at runtime; log4c's own priority is not
   atomic, so it stays at DEBUG and the check is made here.  */
static _Atomic int part_levels[LOG_PART_COUNT];
static log4c_category_t *categories[LOG_PART_COUNT];

static const char *
format_event (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

static int
open_stderr (log4c_appender_t *appender)
{
  (void)appender;
  return 0;
}

/* One write for a line, so that lines of several threads do not mix.  */
static int
append_stderr (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

static int
close_stderr (log4c_appender_t *appender)
{
  (void)appender;
  return 0;
}

static const log4c_layout_type_t layout_type
    = { "redwingford_line", format_event };
static const log4c_appender_type_t appender_type
    = { "redwingford_stderr", open_stderr, append_stderr, close_stderr };

bool
log_open (void)
{
  log4c_layout_type_set (&layout_type);
  log4c_appender_type_set (&appender_type);
  log4c_layout_t *layout = log4c_layout_get ("redwingford_line");
  log4c_appender_t *appender = log4c_appender_get ("redwingford_stderr");
  if (layout == NULL || appender == NULL)
    return false;
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  for (int part = 0; part < LOG_PART_COUNT; part++)
    {
      log4c_category_t *category = log4c_category_get (part_names[part]);
      if (category == NULL)
        return false;
      log4c_category_set_appender (category, appender);
      log4c_category_set_additivity (category, 0);
      log4c_category_set_priority (category, LOG4C_PRIORITY_DEBUG);
      categories[part] = category;
    }
  log_set_all (LOG_LEVEL_NOTICE);
  return true;
}

void
log_set_level (log_part_t part, log_level_t level)
{
  atomic_store_explicit (&part_levels[part], (int)level, memory_order_relaxed);
}

void
log_set_all (log_level_t level)
{
  for (int part = 0; part < LOG_PART_COUNT; part++)
    log_set_level ((log_part_t)part, level);
}

bool
log_enabled (log_part_t part, log_level_t level)
{
  return categories[part] != NULL
         && (int)level <= atomic_load_explicit (&part_levels[part],
                                                memory_order_relaxed);
}

void
log_write (log_part_t part, log_level_t level, const char *format, ...)
{
  char line[LINE_BYTES];
  va_list args;

  if (!log_enabled (part, level))
    return;
  int used = snprintf (line, sizeof line, "%s: %s: ", part_names[part],
                       level_rows[level].name);
  va_start (args, format);
  vsnprintf (line + used, sizeof line - used, format, args);
  va_end (args);
  log4c_category_log (categories[part], level_rows[level].priority, "%s\n",
                      line);
}

bool
log_level_parse (const char *name, log_level_t *level)
{
  for (int i = 0; i < LOG_LEVEL_COUNT; i++)
    if (strcmp (name, level_rows[i].name) == 0)
      {
        *level = (log_level_t)i;
        return true;
      }
  return false;
}

const char *
log_part_name (log_part_t part)
{
  return part_names[part];
}
