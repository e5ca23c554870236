#ifndef REDWINGFORD_ACCEPTOR_H
#define REDWINGFORD_ACCEPTOR_H

/* Accepts the connections of a listening socket.  When accept fails for lack
   of descriptors or memory, or its owner has no room, accepting pauses: the
   connections wait in the kernel, and the loop does not wake for them until
   acceptor_resume is called or ACCEPT_RETRY_US have passed.  */

#include "edge/loop.h"

enum
{
  ACCEPT_RETRY_US = 50 * US_PER_MS
};

typedef struct acceptor_stats_t
{
  uint64_t failures; /* errors of accept */
  int last_errno;    /* the last one, or 0 */
  uint64_t pauses;
  int64_t paused_us; /* in total */
} acceptor_stats_t;

typedef struct acceptor_t
{
  loop_t *loop;
  ev_io watcher;
  ev_timer retry_timer;
  void (*on_acceptable) (void *ctx);
  void *ctx;               /* borrowed */
  int64_t paused_since_us; /* 0 while not paused */
  acceptor_stats_t stats;
  bool open;
} acceptor_t;

/* Takes over FD, a non-blocking socket that listens.  ON_ACCEPTABLE is called
   while connections wait.  LOOP and CTX are borrowed.  */
void acceptor_open (acceptor_t *acceptor, loop_t *loop, int fd,
                    void (*on_acceptable) (void *ctx), void *ctx);

/* Closes the socket; does nothing if that was done.  */
void acceptor_close (acceptor_t *acceptor);

/* Returns a non-blocking socket and the caller's address, in host order, in
   *CALLER_IP; or -1 if no connection waits, or after a failure, which is
   counted and after which accepting is paused.  */
int acceptor_take (acceptor_t *acceptor, uint32_t *caller_ip);

void acceptor_pause (acceptor_t *acceptor);
/* Does nothing if accepting is not paused.  */
void acceptor_resume (acceptor_t *acceptor);
bool acceptor_is_paused (const acceptor_t *acceptor);

/* Returns the totals since the start, with the time of a present pause.  */
acceptor_stats_t acceptor_stats (const acceptor_t *acceptor);

#endif
