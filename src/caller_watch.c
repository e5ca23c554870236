#include "caller_watch.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

enum
{
  CALLER_CHECK_MS = 100 /* between looks whether the caller has gone */
};

typedef struct caller_watch_t
{
  daemon_t *daemon;
  request_t *request; /* referenced */
  int fd;
} caller_watch_t;

static void
caller_watch_free (caller_watch_t *watch)
{
  request_unref (watch->request);
  free (watch);
}

static bool
caller_has_gone (const caller_watch_t *watch)
{
  char byte;
  ssize_t got = recv (watch->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

static void
check_caller (void *ctx, int64_t now_us)
{
  caller_watch_t *watch = ctx;

  if (request_has_ended (watch->request)
      || (caller_has_gone (watch) && request_abandon (watch->request, now_us)))
    caller_watch_free (watch);
  else
    timer_add (watch->daemon->timers,
               now_us + (int64_t)CALLER_CHECK_MS * US_PER_MS, check_caller,
               watch);
}

void
caller_watch_begin (daemon_t *daemon, request_t *request, int fd)
{
  caller_watch_t *watch = calloc (1, sizeof *watch);

  watch->daemon = daemon;
  watch->request = request_ref (request);
  watch->fd = fd;
  timer_add (daemon->timers,
             request->arrived_us + (int64_t)CALLER_CHECK_MS * US_PER_MS,
             check_caller, watch);
}
