#ifndef REDWINGFORD_LOG_H
#define REDWINGFORD_LOG_H

/* The program's log: short sentences on stderr, one log4c category and one
   fixed prefix for each part.  Callable from any thread.  A caller's key or
   a secret is never passed here.  */

#include <stdbool.h>

/* LOG_PART (identifier, prefix)  */
#define LOG_PART_TABLE(LOG_PART)                                              \
  LOG_PART (DAEMON, "daemon")                                                 \
  LOG_PART (HTTP, "http")                                                     \
  LOG_PART (MEMBER, "member")                                                 \
  LOG_PART (CONFIG, "config")                                                 \
  LOG_PART (ONCE, "once")                                                     \
  LOG_PART (QUEUE, "queue")                                                   \
  LOG_PART (CONTRACT, "contract")                                             \
  LOG_PART (ADMIN, "admin")

typedef enum log_part_t
{
#define LOG_PART_ENUM(id, prefix) LOG_PART_##id,
  LOG_PART_TABLE (LOG_PART_ENUM)
#undef LOG_PART_ENUM
      LOG_PART_COUNT
} log_part_t;

typedef enum log_level_t
{
  LOG_LEVEL_ERROR, /* someone has to act */
  LOG_LEVEL_WARN,  /* something is wrong and is being dealt with */
  LOG_LEVEL_NOTICE,
  LOG_LEVEL_INFO, /* one or more lines for each request */
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_COUNT
} log_level_t;

/* Opens the log at NOTICE; call once before other threads start.  Without it
   log_write does nothing.  False when log4c could not be set up.  */
bool log_open (void);

/* The lowest level that is written, for one part or for all.  Any thread. */
void log_set_level (log_part_t part, log_level_t level);
void log_set_all (log_level_t level);

/* Whether a line of this level would be written: guards costly arguments. */
bool log_enabled (log_part_t part, log_level_t level);

void log_write (log_part_t part, log_level_t level, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* "error", "warn", "notice", "info", "debug"; false for another text.  */
bool log_level_parse (const char *name, log_level_t *level);

/* Static storage.  */
const char *log_part_name (log_part_t part);

#endif
