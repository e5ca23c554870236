#ifndef REDWINGFORD_LOOP_H
#define REDWINGFORD_LOOP_H

/* The event loop of a daemon: libev, one thread, one clock reading a turn.
   Work that is cheaper in batches (socket writes) is queued as a task and
   done once before the loop waits again.  */

#include <ev.h>
#include <netinet/in.h>

#include "clock.h"
#include "errinfo.h"
#include "settings.h"

typedef struct loop_task_t
{
  struct loop_task_t *next;
  void (*run) (void *ctx);
  void *ctx;
  bool queued;
} loop_task_t;

enum
{
  LOOP_GAP_BUCKETS = 12 /* powers of two of milliseconds */
};

typedef struct loop_t
{
  struct ev_loop *ev;
  const clock_source_t *clock; /* borrowed */
  int64_t now_us;              /* monotonic, as of this turn */
  int64_t previous_now_us;     /* now_us of the turn before */
  loop_task_t *first;          /* tasks due at the end of this turn */
  loop_task_t **last;
  ev_prepare prepare;
  ev_check check;
  uint64_t iterations;
  /* Turns counted by the time since the turn before, while sockets went
     unread.  */
  uint64_t gap_counts[LOOP_GAP_BUCKETS];
  int64_t gap_max_us;
} loop_t;

/* The power of two of milliseconds that US falls into, below COUNT.  */
uint32_t loop_gap_bucket (int64_t us, uint32_t count);

/* CLOCK is borrowed.  False when the kernel gives no epoll descriptor.  */
bool loop_open (loop_t *loop, const clock_source_t *clock,
                error_info_t *error);
void loop_close (loop_t *loop);

/* Runs TASK once before the loop next waits; nothing if it is queued.  */
void loop_defer (loop_t *loop, loop_task_t *task);

/* Takes TASK back; its owner is going away.  */
void loop_cancel (loop_t *loop, loop_task_t *task);

/* A timer in microseconds on libev's clock.  Restarts when it is active.  It
   fires after the sockets of its turn, so that what arrived in time is read
   before it counts as overdue.  */
void loop_start_timer (loop_t *loop, ev_timer *timer, int64_t after_us);

/* A non-blocking listening socket, or -1 with *error set.  */
int loop_listen (endpoint_addr_t addr, error_info_t *error);

/* A non-blocking socket that connects to ADDR, or -1.  Data that the peer
   does not acknowledge for SILENCE_MS resets it.  */
int loop_connect (endpoint_addr_t addr, uint32_t silence_ms);

/* Options of an accepted socket: no delay, and SILENCE_MS as above.  */
void loop_set_socket_options (int fd, uint32_t silence_ms);

/* Whether the peer has closed its side, or the connection is lost, however
   much of what it sent is unread.  */
bool loop_peer_has_closed (int fd);

/* Bytes that were sent and that the peer has not acknowledged.  */
size_t loop_unacked_bytes (int fd);

struct sockaddr_in loop_sockaddr (endpoint_addr_t addr);

#endif
