#ifndef REDWINGFORD_EVENT_LOG_H
#define REDWINGFORD_EVENT_LOG_H

/* Structured log on standard output: one line of KEY=VALUE pairs for each
   decision on a request and each change of state.  The lines per second and
   the bytes that wait to be written are limited; writing never blocks.  A line
   also tells how many lines were dropped since the line before it.  */

#include "edge/bytes.h"
#include "edge/loop.h"

typedef enum event_kind_t
{
  EVENT_REQUEST,      /* a decision on one request */
  EVENT_CONNECTION,   /* a caller's connection, or accepting one */
  EVENT_STATE_CHANGE, /* the process's own state, or its view of others */
  EVENT_LIFECYCLE,    /* start, stop, reload, a dependency lost or regained */
  EVENT_KIND_COUNT
} event_kind_t;

typedef struct event_log_t
{
  loop_t *loop;
  int fd;
  char node[NAME_BYTES];
  bytes_t pending; /* lines not written yet */
  ev_io writer;
  loop_task_t flush_task;
  int64_t window_s;                        /* second of the monotonic clock */
  uint32_t window_lines[EVENT_KIND_COUNT]; /* written in that second */
  /* Lines dropped since the last line that was written.  */
  uint64_t dropped_counts[EVENT_KIND_COUNT];
  uint64_t lines_written;
  uint64_t lines_lost; /* all lines dropped since the start */
  bool write_blocked;  /* the last write failed or would have blocked */
} event_log_t;

/* Opens a log that writes to FD, which becomes non-blocking.  LOOP is
   borrowed; NODE, the name of this process in each line, is copied.  */
void event_log_open (event_log_t *log, loop_t *loop, int fd, const char *node);

/* Writes as many pending lines as FD takes without blocking, and closes the
   log.  FD stays open.  */
void event_log_close (event_log_t *log);

/* Appends a line: its time, node and event name, then the pairs that FORMAT
   gives.  A line over a limit is dropped and counted; one that is too long is
   truncated.  */
void event_log_write (event_log_t *log, event_kind_t kind, const char *event,
                      const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif
