#include "edge/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  LINE_BYTES_MAX = 1024,
  /* Limit of the lines that wait because the log's reader is slow.  */
  PENDING_BYTES_MAX = 256 * 1024
};

/* Each kind has a limit of its own, so that requests cannot displace the rest.
   A line costs about 5 us of processor time: all kinds together stay under 1 %
   of a core.  */
static const uint32_t lines_per_s_max[EVENT_KIND_COUNT] = {
  [EVENT_REQUEST] = 50,
  [EVENT_CONNECTION] = 50,
  [EVENT_STATE_CHANGE] = 50,
  [EVENT_LIFECYCLE] = 50,
};

static void
log_flush (void *ctx)
{
  event_log_t *log = ctx;
  while (bytes_size (&log->pending) > 0)
    {
      ssize_t size = write (log->fd, bytes_data (&log->pending),
                            bytes_size (&log->pending));
      if (size < 0 && errno == EINTR)
        continue;
      if (size < 0)
        {
          log->write_blocked = true;
          if (errno == EAGAIN)
            ev_io_start (log->loop->ev, &log->writer);
          return;
        }
      bytes_consume (&log->pending, (size_t)size);
    }
  log->write_blocked = false;
  ev_io_stop (log->loop->ev, &log->writer);
}

static void
on_writable (struct ev_loop *ev, ev_io *writer, int events)
{
  (void)ev;
  (void)events;
  log_flush (writer->data);
}

void
event_log_open (event_log_t *log, loop_t *loop, int fd, const char *node)
{
  *log = (event_log_t){ .loop = loop, .fd = fd };
  snprintf (log->node, sizeof log->node, "%s", node);
  log->flush_task = (loop_task_t){ .run = log_flush, .ctx = log };
  int flags = fcntl (fd, F_GETFL);
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  ev_io_init (&log->writer, on_writable, fd, EV_WRITE);
  log->writer.data = log;
}

void
event_log_close (event_log_t *log)
{
  if (log->loop == NULL)
    return;
  loop_cancel (log->loop, &log->flush_task);
  log_flush (log);
  ev_io_stop (log->loop->ev, &log->writer);
  bytes_free (&log->pending);
  log->loop = NULL;
}

/* Returns whether a line of KIND is within the limits, and counts it as
   written or as dropped.  */
static bool
take_line_budget (event_log_t *log, event_kind_t kind)
{
  int64_t second = log->loop->now_us / US_PER_S;
  if (second != log->window_s)
    {
      log->window_s = second;
      for (int i = 0; i < EVENT_KIND_COUNT; i++)
        log->window_lines[i] = 0;
    }
  if (log->window_lines[kind] >= lines_per_s_max[kind]
      || bytes_size (&log->pending) + LINE_BYTES_MAX > PENDING_BYTES_MAX)
    {
      log->dropped_counts[kind]++;
      log->lines_lost++;
      return false;
    }
  log->window_lines[kind]++;
  return true;
}

static int
format_dropped_counts (event_log_t *log, char *to, size_t size_bytes)
{
  int used = 0;
  static const char *const names[EVENT_KIND_COUNT] = {
    [EVENT_REQUEST] = "dropped-requests",
    [EVENT_CONNECTION] = "dropped-connections",
    [EVENT_STATE_CHANGE] = "dropped-beliefs",
    [EVENT_LIFECYCLE] = "dropped-life",
  };
  for (int i = 0; i < EVENT_KIND_COUNT; i++)
    {
      if (log->dropped_counts[i] == 0)
        continue;
      used += snprintf (to + used, size_bytes - (size_t)used, " %s=%llu",
                        names[i], (unsigned long long)log->dropped_counts[i]);
      log->dropped_counts[i] = 0;
    }
  return used;
}

void
event_log_write (event_log_t *log, event_kind_t kind, const char *event,
                 const char *format, ...)
{
  char line[LINE_BYTES_MAX];
  va_list args;

  if (log->loop == NULL || !take_line_budget (log, kind))
    return;
  int64_t wall_ms = clock_wall_ms (log->loop->clock);
  int used = snprintf (line, sizeof line, "time=%lld.%03d node=%s event=%s",
                       (long long)(wall_ms / MS_PER_S),
                       (int)(wall_ms % MS_PER_S), log->node, event);
  used += format_dropped_counts (log, line + used, sizeof line - (size_t)used);
  if (format[0] != '\0')
    line[used++] = ' ';
  va_start (args, format);
  int fields_size
      = vsnprintf (line + used, sizeof line - (size_t)used - 1, format, args);
  va_end (args);
  used += fields_size;
  if (used > LINE_BYTES_MAX - 2)
    used = LINE_BYTES_MAX - 2;
  line[used++] = '\n';
  bytes_append (&log->pending, line, (size_t)used);
  log->lines_written++;
  if (!log->write_blocked)
    loop_defer (log->loop, &log->flush_task);
}
