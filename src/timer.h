#ifndef REDWINGFORD_TIMER_H
#define REDWINGFORD_TIMER_H

/* Timers of a daemon, kept in a heap.  One thread runs all callbacks, so a
   callback must not block.  */

#include "clock.h"

#include <stdbool.h>
#include <stddef.h>

typedef struct timer_queue_t timer_queue_t;
typedef void (*timer_callback_t) (void *ctx, int64_t now_us);

/* Starts the timer thread.  CLOCK is borrowed.  Release the result with
   timer_queue_free.  */
timer_queue_t *timer_queue_new (const clock_source_t *clock);

/* Stops the thread and frees QUEUE.  Timers that are still pending fire
   at once, so that the callback of each timer that was not cancelled runs
   exactly once.  */
void timer_queue_free (timer_queue_t *queue);

/* Calls CALLBACK (CTX, now) once, at DUE_US on the queue's clock or soon
   after.  */
void timer_add (timer_queue_t *queue, int64_t due_us,
                timer_callback_t callback, void *ctx);

/* Handle of a timer that can be cancelled.  Zero it before its first use.  The
   caller keeps it until the timer has fired or was cancelled.  */
typedef struct timer_handle_t
{
  size_t heap_position; /* index in the heap plus 1; 0 when not pending */
} timer_handle_t;

/* Like timer_add, and sets HANDLE for timer_cancel.  */
void timer_add_cancellable (timer_queue_t *queue, int64_t due_us,
                            timer_callback_t callback, void *ctx,
                            timer_handle_t *handle);

/* Returns true when the timer was pending: it is removed and its callback
   will not run.  False when it has fired, its callback is running,
   or it was never added.  */
bool timer_cancel (timer_queue_t *queue, timer_handle_t *handle);

#endif
