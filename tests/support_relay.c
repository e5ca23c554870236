#include "support_relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/bytes.h"

enum
{
  READ_BYTES = 64 * 1024,
  MOST_BYTES = 1024 * 1024, /* that wait for a reader */
  SILENCE_MS = 60000
};

typedef struct pair_t pair_t;

/* One socket of a pair; what is read from it goes to the other.  */
typedef struct side_t
{
  pair_t *pair;
  struct side_t *other;
  int fd;
  ev_io reader;
  ev_io writer;
  ev_timer later;
  bytes_t out; /* for this socket */
} side_t;

struct pair_t
{
  relay_t *relay;
  pair_t *next;
  pair_t *prev;
  side_t caller;
  side_t target;
  bool mute;
};

struct relay_t
{
  loop_t *loop;
  endpoint_addr_t target;
  uint16_t port;
  ev_io acceptor;
  pair_t *pairs;
  relay_fault_t fault;
};

static void
side_close (side_t *side, bool reset)
{
  struct ev_loop *ev = side->pair->relay->loop->ev;
  struct linger now = { 1, 0 };
  ev_io_stop (ev, &side->reader);
  ev_io_stop (ev, &side->writer);
  ev_timer_stop (ev, &side->later);
  if (reset)
    setsockopt (side->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (side->fd);
  bytes_free (&side->out);
}

static void
pair_close (pair_t *pair, bool reset)
{
  if (pair->prev != NULL)
    pair->prev->next = pair->next;
  else
    pair->relay->pairs = pair->next;
  if (pair->next != NULL)
    pair->next->prev = pair->prev;
  side_close (&pair->caller, reset);
  side_close (&pair->target, reset);
  free (pair);
}

/* Whether bytes for SIDE are held back now.  */
static bool
is_held (const side_t *side)
{
  const pair_t *pair = side->pair;
  if (pair->mute || pair->relay->fault == RELAY_MUTE)
    return true;
  return pair->relay->fault == RELAY_ONE_WAY && side == &pair->caller;
}

/* False when the pair was closed.  */
static bool
side_flush (side_t *side)
{
  struct ev_loop *ev = side->pair->relay->loop->ev;
  while (bytes_size (&side->out) > 0 && !is_held (side))
    {
      ssize_t size = send (side->fd, bytes_data (&side->out),
                           bytes_size (&side->out), MSG_NOSIGNAL);
      if (size < 0 && (errno == EAGAIN || errno == ENOTCONN))
        {
          ev_io_start (ev, &side->writer);
          return true;
        }
      if (size < 0)
        {
          pair_close (side->pair, true);
          return false;
        }
      bytes_consume (&side->out, (size_t)size);
    }
  ev_io_stop (ev, &side->writer);
  return true;
}

static void
on_writable (struct ev_loop *ev, ev_io *writer, int events)
{
  (void)ev;
  (void)events;
  side_flush (writer->data);
}

static void
on_later (struct ev_loop *ev, ev_timer *timer, int events)
{
  (void)events;
  ev_timer_stop (ev, timer);
  side_flush (timer->data);
}

static void
on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  side_t *side = reader->data;
  relay_t *relay = side->pair->relay;
  side_t *other = side->other;
  (void)events;
  if (bytes_size (&other->out) > MOST_BYTES)
    {
      ev_io_stop (ev, reader); /* read on after a fault, or never */
      return;
    }
  char *at = bytes_reserve (&other->out, READ_BYTES);
  ssize_t size = recv (side->fd, at, READ_BYTES, 0);
  if (size < 0 && errno == EAGAIN)
    return;
  if (size <= 0)
    {
      /* A path that passes nothing does not pass an end either.  */
      if (is_held (other))
        ev_io_stop (ev, reader);
      else
        pair_close (side->pair, size < 0);
      return;
    }
  bytes_commit (&other->out, (size_t)size);
  if (relay->fault == RELAY_SLOW)
    {
      if (!ev_is_active (&other->later))
        loop_start_timer (relay->loop, &other->later,
                          RELAY_SLOW_MS * US_PER_MS);
      return;
    }
  side_flush (other);
}

static void
side_open (pair_t *pair, side_t *side, side_t *other, int fd)
{
  struct ev_loop *ev = pair->relay->loop->ev;
  side->pair = pair;
  side->other = other;
  side->fd = fd;
  ev_io_init (&side->reader, on_readable, fd, EV_READ);
  ev_io_init (&side->writer, on_writable, fd, EV_WRITE);
  ev_timer_init (&side->later, on_later, 0, 0);
  side->reader.data = side;
  side->writer.data = side;
  side->later.data = side;
  ev_io_start (ev, &side->reader);
}

static void
on_acceptable (struct ev_loop *ev, ev_io *acceptor, int events)
{
  relay_t *relay = acceptor->data;
  (void)ev;
  (void)events;
  int fd = accept4 (acceptor->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  int target = loop_connect (relay->target, SILENCE_MS);
  pair_t *pair = calloc (1, sizeof *pair);
  if (pair == NULL)
    abort ();
  if (target < 0)
    {
      free (pair);
      close (fd);
      return;
    }
  loop_set_socket_options (fd, SILENCE_MS);
  pair->relay = relay;
  pair->next = relay->pairs;
  if (relay->pairs != NULL)
    relay->pairs->prev = pair;
  relay->pairs = pair;
  side_open (pair, &pair->caller, &pair->target, fd);
  side_open (pair, &pair->target, &pair->caller, target);
}

relay_t *
relay_new (loop_t *loop, endpoint_addr_t target)
{
  error_info_t error = { .kind = ERROR_NONE };
  relay_t *relay = calloc (1, sizeof *relay);
  int fd = loop_listen ((endpoint_addr_t){ INADDR_LOOPBACK, 0 }, &error);
  struct sockaddr_in at = { 0 };
  socklen_t size = sizeof at;
  if (relay == NULL || fd < 0
      || getsockname (fd, (struct sockaddr *)&at, &size) != 0)
    abort ();
  relay->loop = loop;
  relay->target = target;
  relay->port = ntohs (at.sin_port);
  ev_io_init (&relay->acceptor, on_acceptable, fd, EV_READ);
  relay->acceptor.data = relay;
  ev_io_start (loop->ev, &relay->acceptor);
  return relay;
}

void
relay_free (relay_t *relay)
{
  if (relay == NULL)
    return;
  ev_io_stop (relay->loop->ev, &relay->acceptor);
  close (relay->acceptor.fd);
  while (relay->pairs != NULL)
    pair_close (relay->pairs, true);
  free (relay);
}

uint16_t
relay_port (const relay_t *relay)
{
  return relay->port;
}

void
relay_set_fault (relay_t *relay, relay_fault_t fault)
{
  relay->fault = fault;
  pair_t *next;
  for (pair_t *pair = relay->pairs; pair != NULL; pair = next)
    {
      next = pair->next;
      if (fault == RELAY_RESET)
        {
          pair_close (pair, true);
          continue;
        }
      pair->mute = pair->mute || fault == RELAY_MUTE_OLD;
      if (fault != RELAY_WELL || pair->mute)
        continue;
      ev_io_start (relay->loop->ev, &pair->caller.reader);
      ev_io_start (relay->loop->ev, &pair->target.reader);
      if (side_flush (&pair->caller))
        side_flush (&pair->target);
    }
}
