#ifndef REDWINGFORD_EVENT_LOG_H
#define REDWINGFORD_EVENT_LOG_H

/* Structured log on standard output: one line of KEY=VALUE for each decision
   and each change of what the process believes.  Lines are bounded in number
   a second and in bytes that wait to be written; writing never blocks.  What
   is dropped is counted in the next line that gets through.  */

#include "edge/bytes.h"
#include "edge/loop.h"

typedef enum event_kind_t
{
  EVENT_REQUEST,      /* a decision on one request */
  EVENT_STATE_CHANGE, /* a change of what the process believes */
  EVENT_LIFECYCLE,    /* start, stop, reload, a dependency lost or regained */
  EVENT_KIND_COUNT
} event_kind_t;

typedef struct event_log_t
{
  loop_t *loop;
  int fd;
  char node[NAME_BYTES];
  bytes_t pending;
  ev_io writer;
  loop_task_t flush;
  int64_t second; /* that the counts below are of */
  uint32_t lines[EVENT_KIND_COUNT];
  uint64_t dropped[EVENT_KIND_COUNT]; /* since the last line */
  uint64_t lines_written;
  uint64_t lines_lost; /* lines ever dropped */
  bool stuck;
} event_log_t;

/* Writes to FD, which becomes non-blocking.  */
void event_log_open (event_log_t *log, loop_t *loop, int fd, const char *node);

/* Writes what can be written and stops.  */
void event_log_close (event_log_t *log);

/* FORMAT gives the line's fields behind its time, node and event name.  */
void event_log_write (event_log_t *log, event_kind_t kind, const char *event,
                      const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif
