#include "edge/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  LINE_BYTES = 1024,
  WAITING_BYTES = 256 * 1024 /* of lines that nobody has read yet */
};

/* Lines a second.  A line costs some 5 us of a core; these stay under one
   hundredth of it.  Changes of state have room of their own.  */
static const uint32_t lines_per_s[EVENT_KIND_COUNT] = {
  [EVENT_REQUEST] = 50,
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
          log->stuck = true;
          if (errno == EAGAIN)
            ev_io_start (log->loop->ev, &log->writer);
          return;
        }
      bytes_consume (&log->pending, (size_t)size);
    }
  log->stuck = false;
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
  log->flush = (loop_task_t){ .run = log_flush, .ctx = log };
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
  loop_cancel (log->loop, &log->flush);
  log_flush (log);
  ev_io_stop (log->loop->ev, &log->writer);
  bytes_free (&log->pending);
  log->loop = NULL;
}

/* Whether the budget has room for one more line of KIND.  */
static bool
admit (event_log_t *log, event_kind_t kind)
{
  int64_t second = log->loop->now_us / US_PER_S;
  if (second != log->second)
    {
      log->second = second;
      for (int i = 0; i < EVENT_KIND_COUNT; i++)
        log->lines[i] = 0;
    }
  if (log->lines[kind] >= lines_per_s[kind]
      || bytes_size (&log->pending) + LINE_BYTES > WAITING_BYTES)
    {
      log->dropped[kind]++;
      log->lines_lost++;
      return false;
    }
  log->lines[kind]++;
  return true;
}

static int
write_dropped (event_log_t *log, char *to, size_t room)
{
  int used = 0;
  static const char *const names[]
      = { "dropped-requests", "dropped-beliefs", "dropped-life" };
  for (int i = 0; i < EVENT_KIND_COUNT; i++)
    {
      if (log->dropped[i] == 0)
        continue;
      used += snprintf (to + used, room - (size_t)used, " %s=%llu", names[i],
                        (unsigned long long)log->dropped[i]);
      log->dropped[i] = 0;
    }
  return used;
}

void
event_log_write (event_log_t *log, event_kind_t kind, const char *event,
                 const char *format, ...)
{
  char line[LINE_BYTES];
  va_list args;

  if (log->loop == NULL || !admit (log, kind))
    return;
  int64_t wall_ms = clock_wall_ms (log->loop->clock);
  int used = snprintf (line, sizeof line, "time=%lld.%03d node=%s event=%s",
                       (long long)(wall_ms / MS_PER_S),
                       (int)(wall_ms % MS_PER_S), log->node, event);
  used += write_dropped (log, line + used, sizeof line - (size_t)used);
  if (format[0] != '\0')
    line[used++] = ' ';
  va_start (args, format);
  int rest
      = vsnprintf (line + used, sizeof line - (size_t)used - 1, format, args);
  va_end (args);
  used += rest;
  if (used > LINE_BYTES - 2)
    used = LINE_BYTES - 2;
  line[used++] = '\n';
  bytes_append (&log->pending, line, (size_t)used);
  log->lines_written++;
  if (!log->stuck)
    loop_defer (log->loop, &log->flush);
}
