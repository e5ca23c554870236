#include "edge/acceptor.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

static void
on_readable (struct ev_loop *ev, ev_io *watcher, int events)
{
  acceptor_t *acceptor = watcher->data;
  (void)ev;
  (void)events;
  acceptor->on_acceptable (acceptor->ctx);
}

static void
on_retry (struct ev_loop *ev, ev_timer *timer, int events)
{
  (void)ev;
  (void)events;
  acceptor_resume (timer->data);
}

void
acceptor_open (acceptor_t *acceptor, loop_t *loop, int fd,
               void (*on_acceptable) (void *ctx), void *ctx)
{
  *acceptor = (acceptor_t){
    .loop = loop, .on_acceptable = on_acceptable, .ctx = ctx, .open = true
  };
  ev_io_init (&acceptor->watcher, on_readable, fd, EV_READ);
  acceptor->watcher.data = acceptor;
  ev_timer_init (&acceptor->retry_timer, on_retry, 0, 0);
  acceptor->retry_timer.data = acceptor;
  ev_io_start (loop->ev, &acceptor->watcher);
}

void
acceptor_close (acceptor_t *acceptor)
{
  if (!acceptor->open)
    return;
  acceptor_resume (acceptor);
  acceptor->open = false;
  ev_io_stop (acceptor->loop->ev, &acceptor->watcher);
  close (acceptor->watcher.fd);
}

void
acceptor_pause (acceptor_t *acceptor)
{
  if (!acceptor->open || acceptor_is_paused (acceptor))
    return;
  acceptor->paused_since_us = acceptor->loop->now_us;
  acceptor->stats.pauses++;
  ev_io_stop (acceptor->loop->ev, &acceptor->watcher);
  loop_start_timer (acceptor->loop, &acceptor->retry_timer, ACCEPT_RETRY_US);
}

void
acceptor_resume (acceptor_t *acceptor)
{
  if (!acceptor->open || !acceptor_is_paused (acceptor))
    return;
  acceptor->stats.paused_us
      += acceptor->loop->now_us - acceptor->paused_since_us;
  acceptor->paused_since_us = 0;
  ev_timer_stop (acceptor->loop->ev, &acceptor->retry_timer);
  ev_io_start (acceptor->loop->ev, &acceptor->watcher);
}

bool
acceptor_is_paused (const acceptor_t *acceptor)
{
  return acceptor->paused_since_us != 0;
}

/* A connection that ended while it waited, or a signal, concerns no other
   connection that waits.  */
static bool
is_passing (int error)
{
  return error == EINTR || error == ECONNABORTED;
}

int
acceptor_take (acceptor_t *acceptor, uint32_t *caller_ip)
{
  struct sockaddr_in from = { 0 };
  socklen_t size = sizeof from;
  int fd;
  do
    {
      fd = accept4 (acceptor->watcher.fd, (struct sockaddr *)&from, &size,
                    SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && errno != EAGAIN && errno != EINTR)
        {
          acceptor->stats.failures++;
          acceptor->stats.last_errno = errno;
        }
    }
  while (fd < 0 && is_passing (errno));
  *caller_ip = ntohl (from.sin_addr.s_addr);
  if (fd < 0 && errno != EAGAIN)
    acceptor_pause (acceptor);
  return fd;
}

acceptor_stats_t
acceptor_stats (const acceptor_t *acceptor)
{
  acceptor_stats_t stats = acceptor->stats;
  if (acceptor_is_paused (acceptor))
    stats.paused_us += acceptor->loop->now_us - acceptor->paused_since_us;
  return stats;
}
