#ifndef REDWINGFORD_LOOP_H
#define REDWINGFORD_LOOP_H

/* The event loop of a daemon: libev in one thread, with one reading of the
   clock per iteration.  Work that is cheaper in batches, such as socket
   writes, is queued as a task, which runs once before the loop waits
   again.  */

#include <ev.h>
#include <netinet/in.h>

#include "clock.h"
#include "errinfo.h"
#include "settings.h"

/* Deferred work.  It is part of the object that owns it, which sets RUN and
   CTX.  */
typedef struct loop_task_t
{
  struct loop_task_t *next;
  void (*run) (void *ctx);
  void *ctx;
  bool queued;
} loop_task_t;

enum
{
  LOOP_GAP_BUCKETS = 12 /* bounded by powers of two of milliseconds */
};

typedef struct loop_t
{
  struct ev_loop *ev;
  const clock_source_t *clock; /* borrowed */
  int64_t now_us;              /* monotonic, as of this iteration */
  int64_t previous_now_us;     /* now_us of the previous iteration */
  loop_task_t *first_task;     /* tasks to run before the loop next waits */
  loop_task_t **task_tail;     /* next pointer of the last task */
  ev_prepare prepare;
  ev_check check;
  uint64_t iterations;
  /* Iterations, by the time since the previous one: the longest time that data
     on a socket can have waited to be read.  */
  uint64_t gap_counts[LOOP_GAP_BUCKETS];
  int64_t max_gap_us; /* longest time between two iterations */
} loop_t;

/* Returns the bucket, of COUNT, that counts a duration of US microseconds.
   Bucket 0 is for less than 1 ms, bucket N for 2^(N-1) ms to less than 2^N ms;
   the last one has no upper bound.  */
uint32_t loop_gap_bucket (int64_t us, uint32_t count);

/* Initializes LOOP; loop_close frees what it owns.  CLOCK is borrowed.
   Returns false with *ERROR set if the kernel gives no epoll descriptor.  */
bool loop_open (loop_t *loop, const clock_source_t *clock,
                error_info_t *error);
void loop_close (loop_t *loop);

/* Runs TASK once before the loop next waits.  Does nothing if it is queued
   already.  */
void loop_defer (loop_t *loop, loop_task_t *task);

/* Removes TASK from the queue if it is there; its owner calls this before it
   is freed.  */
void loop_cancel (loop_t *loop, loop_task_t *task);

/* Starts TIMER, or restarts it if it is active: it fires every AFTER_US
   microseconds of libev's clock until it is stopped.  In an iteration it fires
   after the sockets, so that data that arrived in time is read before it
   counts as overdue.  */
void loop_start_timer (loop_t *loop, ev_timer *timer, int64_t after_us);

/* Returns a non-blocking socket that listens on ADDR, or -1 with *ERROR
   set.  */
int loop_listen (endpoint_addr_t addr, error_info_t *error);

/* Returns a non-blocking socket that connects to ADDR, or -1 with errno set.
   The connection is reset if the peer does not acknowledge data for
   ACK_TIMEOUT_MS; 0 leaves the kernel's default.  Keep-alive probes are
   on.  */
int loop_connect (endpoint_addr_t addr, uint32_t ack_timeout_ms);

/* Whether ERROR, the errno of a call that opens or accepts a socket, tells
   that this process or its host lacks descriptors or memory.  */
bool loop_is_lack (int error);

/* The same for the errno of loop_connect, for which ports can lack too.  */
bool loop_is_connect_lack (int error);

/* Sets the options of an accepted socket: TCP_NODELAY, and ACK_TIMEOUT_MS as
   above.  */
void loop_set_socket_options (int fd, uint32_t ack_timeout_ms);

/* Whether the peer has closed its side or the connection is lost, even if data
   that the peer sent before is still unread.  */
bool loop_peer_has_closed (int fd);

/* Returns how many of the bytes sent the peer has not acknowledged, or 0 if
   the kernel does not tell.  */
size_t loop_unacked_bytes (int fd);

/* Returns how many bytes have arrived that were not read, or 0 if the kernel
   does not tell.  */
size_t loop_unread_bytes (int fd);

/* Returns and clears the pending error of the socket, or 0.  */
int loop_socket_error (int fd);

/* Converts ADDR to a socket address.  */
struct sockaddr_in loop_sockaddr (endpoint_addr_t addr);

#endif
