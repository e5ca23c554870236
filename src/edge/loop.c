#include "edge/loop.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LISTEN_BACKLOG = 4096, /* all callers may connect at once after a restart */
  /* Keep-alive probes detect a dead network path within three seconds.  */
  KEEPALIVE_IDLE_S = 1,
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_PROBES_MAX = 2
};

static void
run_deferred_tasks (loop_t *loop)
{
  while (loop->first_task != NULL)
    {
      loop_task_t *task = loop->first_task;
      loop->first_task = task->next;
      if (loop->first_task == NULL)
        loop->task_tail = &loop->first_task;
      task->queued = false;
      task->run (task->ctx);
    }
}

static void
before_wait (struct ev_loop *ev, ev_prepare *prepare, int events)
{
  (void)ev;
  (void)events;
  run_deferred_tasks (prepare->data);
}

uint32_t
loop_gap_bucket (int64_t us, uint32_t count)
{
  uint32_t bucket = 0;
  for (int64_t ms = us / US_PER_MS; ms > 0 && bucket + 1 < count; ms >>= 1)
    bucket++;
  return bucket;
}

static void
after_wait (struct ev_loop *ev, ev_check *check, int events)
{
  loop_t *loop = check->data;
  (void)ev;
  (void)events;
  loop->previous_now_us = loop->now_us;
  loop->now_us = clock_now_us (loop->clock);
  loop->iterations++;
  int64_t gap_us = loop->now_us - loop->previous_now_us;
  loop->gap_counts[loop_gap_bucket (gap_us, LOOP_GAP_BUCKETS)]++;
  if (gap_us > loop->max_gap_us)
    loop->max_gap_us = gap_us;
}

bool
loop_open (loop_t *loop, const clock_source_t *clock, error_info_t *error)
{
  *loop = (loop_t){ .clock = clock };
  loop->task_tail = &loop->first_task;
  loop->ev = ev_loop_new (EVBACKEND_EPOLL | EVFLAG_NOENV);
  if (loop->ev == NULL)
    return error_set (
        error, ERROR_IO, NULL,
        "cannot create an epoll descriptor; raise the limit of open files");
  loop->now_us = clock_now_us (clock);
  loop->previous_now_us = loop->now_us;
  ev_prepare_init (&loop->prepare, before_wait);
  loop->prepare.data = loop;
  ev_prepare_start (loop->ev, &loop->prepare);
  ev_check_init (&loop->check, after_wait);
  loop->check.data = loop;
  /* The check runs before all other callbacks, so that they see the new
     time.  */
  ev_set_priority (&loop->check, EV_MAXPRI);
  ev_check_start (loop->ev, &loop->check);
  return true;
}

void
loop_close (loop_t *loop)
{
  if (loop->ev != NULL)
    ev_loop_destroy (loop->ev);
  loop->ev = NULL;
}

void
loop_defer (loop_t *loop, loop_task_t *task)
{
  if (task->queued)
    return;
  task->queued = true;
  task->next = NULL;
  *loop->task_tail = task;
  loop->task_tail = &task->next;
}

void
loop_cancel (loop_t *loop, loop_task_t *task)
{
  if (!task->queued)
    return;
  loop_task_t **link = &loop->first_task;
  while (*link != task)
    link = &(*link)->next;
  *link = task->next;
  if (*link == NULL)
    loop->task_tail = link;
  task->queued = false;
}

void
loop_start_timer (loop_t *loop, ev_timer *timer, int64_t after_us)
{
  if (!ev_is_active (timer) && !ev_is_pending (timer))
    ev_set_priority (timer, EV_MINPRI);
  timer->repeat = after_us > 0 ? (double)after_us / US_PER_S : 1e-6;
  ev_timer_again (loop->ev, timer);
}

bool
loop_peer_has_closed (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };
  return poll (&poll_fd, 1, 0) > 0
         && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

size_t
loop_unacked_bytes (int fd)
{
  int bytes = 0;
  if (ioctl (fd, SIOCOUTQ, &bytes) != 0 || bytes < 0)
    return 0;
  return (size_t)bytes;
}

size_t
loop_unread_bytes (int fd)
{
  int bytes = 0;
  if (ioctl (fd, FIONREAD, &bytes) != 0 || bytes < 0)
    return 0;
  return (size_t)bytes;
}

int
loop_socket_error (int fd)
{
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    return errno;
  return error;
}

struct sockaddr_in
loop_sockaddr (endpoint_addr_t addr)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl (addr.ip);
  address.sin_port = htons (addr.port);
  return address;
}

int
loop_listen (endpoint_addr_t addr, error_info_t *error)
{
  char addr_text[ADDR_TEXT_BYTES];
  int on = 1;
  struct sockaddr_in address = loop_sockaddr (addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  settings_format_addr (addr, addr_text);
  if (fd >= 0 && setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  error_set (error, ERROR_IO, NULL, "cannot listen on %s: %s; free the port",
             addr_text, strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

void
loop_set_socket_options (int fd, uint32_t ack_timeout_ms)
{
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (ack_timeout_ms > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
                sizeof ack_timeout_ms);
}

static void
enable_keepalive (int fd)
{
  int on = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int interval_s = KEEPALIVE_INTERVAL_S;
  int count = KEEPALIVE_PROBES_MAX;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}

bool
loop_is_lack (int error)
{
  return error == EMFILE || error == ENFILE || error == ENOBUFS
         || error == ENOMEM;
}

bool
loop_is_connect_lack (int error)
{
  return loop_is_lack (error) || error == EADDRNOTAVAIL;
}

int
loop_connect (endpoint_addr_t addr, uint32_t ack_timeout_ms)
{
  struct sockaddr_in address = loop_sockaddr (addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  loop_set_socket_options (fd, ack_timeout_ms);
  enable_keepalive (fd);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0
      || errno == EINPROGRESS)
    return fd;
  int connect_errno = errno;
  close (fd);
  errno = connect_errno;
  return -1;
}
