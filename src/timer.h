#ifndef REDWINGFORD_TIMER_H
#define REDWINGFORD_TIMER_H

/* Timers of a daemon: one thread and a heap.  A callback must not wait.  */

#include "clock.h"

#include <stdbool.h>
#include <stddef.h>

typedef struct timer_queue_t timer_queue_t;
typedef void (*timer_fired_t) (void *ctx, int64_t now_us);

/* CLOCK is borrowed.  */
timer_queue_t *timer_queue_new (const clock_source_t *clock);

/* Stops the thread; timers that have not fired are fired at once, so that
   each callback runs exactly once.  */
void timer_queue_free (timer_queue_t *queue);

/* Calls FIRED (CTX) once at DUE_US or soon after.  */
void timer_add (timer_queue_t *queue, int64_t due_us, timer_fired_t fired,
                void *ctx);

/* Where a timer that can be cancelled stands; zero before its first use.
   Kept by the caller until the timer has fired or was cancelled.  */
typedef struct timer_handle_t
{
  size_t number; /* 0 when it does not stand in the queue */
} timer_handle_t;

void timer_add_cancellable (timer_queue_t *queue, int64_t due_us,
                            timer_fired_t fired, void *ctx,
                            timer_handle_t *place);

/* True when the timer was taken out and will not fire.  */
bool timer_cancel (timer_queue_t *queue, timer_handle_t *place);

#endif
