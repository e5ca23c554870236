#include "timer.h"

#include <pthread.h>
#include <stdlib.h>

typedef struct timer_entry_t
{
  int64_t due_us;
  timer_callback_t callback;
  void *ctx;
  timer_handle_t *handle; /* NULL for a timer that cannot be cancelled */
} timer_entry_t;

struct timer_queue_t
{
  const clock_source_t *clock;
  pthread_mutex_t lock;
  pthread_cond_t wakeup;
  pthread_t thread;
  timer_entry_t *heap;
  size_t count;
  size_t capacity;
  bool stopping;
};

static void
store_entry (timer_queue_t *queue, size_t i, timer_entry_t entry)
{
  queue->heap[i] = entry;
  if (entry.handle != NULL)
    entry.handle->heap_position = i + 1;
}

static void
swap_entries (timer_queue_t *queue, size_t i, size_t j)
{
  timer_entry_t entry = queue->heap[i];
  store_entry (queue, i, queue->heap[j]);
  store_entry (queue, j, entry);
}

static void
sift_up (timer_queue_t *queue, size_t i)
{
  while (i > 0 && queue->heap[i].due_us < queue->heap[(i - 1) / 2].due_us)
    {
      swap_entries (queue, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static void
sift_down (timer_queue_t *queue, size_t i)
{
  for (;;)
    {
      size_t earliest = i;
      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < queue->count
            && queue->heap[child].due_us < queue->heap[earliest].due_us)
          earliest = child;
      if (earliest == i)
        return;
      swap_entries (queue, i, earliest);
      i = earliest;
    }
}

static timer_entry_t
remove_entry (timer_queue_t *queue, size_t i)
{
  timer_entry_t entry = queue->heap[i];

  queue->count--;
  if (i < queue->count)
    {
      store_entry (queue, i, queue->heap[queue->count]);
      sift_down (queue, i);
      sift_up (queue, i);
    }
  if (entry.handle != NULL)
    entry.handle->heap_position = 0;
  return entry;
}

/* Waits until the earliest timer may be due or QUEUE changes, at most 1 s.
   The caller holds the lock, which is released during the wait.  */
static void
wait_for_due (timer_queue_t *queue, int64_t now_us)
{
  struct timespec wake_time;
  int64_t wait_us = US_PER_S;

  if (queue->count > 0 && queue->heap[0].due_us - now_us < wait_us)
    wait_us = queue->heap[0].due_us - now_us;
  clock_gettime (CLOCK_MONOTONIC, &wake_time);
  int64_t wake_offset_us = wake_time.tv_nsec / NS_PER_US + wait_us;
  wake_time.tv_sec += wake_offset_us / US_PER_S;
  wake_time.tv_nsec = wake_offset_us % US_PER_S * NS_PER_US;
  pthread_cond_timedwait (&queue->wakeup, &queue->lock, &wake_time);
}

static void *
run_timers (void *ctx)
{
  timer_queue_t *queue = ctx;

  pthread_mutex_lock (&queue->lock);
  while (!queue->stopping || queue->count > 0)
    {
      int64_t now_us = clock_now_us (queue->clock);
      if (queue->count > 0
          && (queue->stopping || queue->heap[0].due_us <= now_us))
        {
          timer_entry_t entry = remove_entry (queue, 0);
          pthread_mutex_unlock (&queue->lock);
          entry.callback (entry.ctx, now_us);
          pthread_mutex_lock (&queue->lock);
        }
      else
        wait_for_due (queue, now_us);
    }
  pthread_mutex_unlock (&queue->lock);
  return NULL;
}

timer_queue_t *
timer_queue_new (const clock_source_t *clock)
{
  timer_queue_t *queue = calloc (1, sizeof *queue);
  pthread_condattr_t attributes;

  queue->clock = clock;
  pthread_mutex_init (&queue->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&queue->wakeup, &attributes);
  pthread_condattr_destroy (&attributes);
  pthread_create (&queue->thread, NULL, run_timers, queue);
  return queue;
}

void
timer_queue_free (timer_queue_t *queue)
{
  pthread_mutex_lock (&queue->lock);
  queue->stopping = true;
  pthread_cond_signal (&queue->wakeup);
  pthread_mutex_unlock (&queue->lock);
  pthread_join (queue->thread, NULL);
  pthread_cond_destroy (&queue->wakeup);
  pthread_mutex_destroy (&queue->lock);
  free (queue->heap);
  free (queue);
}

void
timer_add (timer_queue_t *queue, int64_t due_us, timer_callback_t callback,
           void *ctx)
{
  timer_add_cancellable (queue, due_us, callback, ctx, NULL);
}

void
timer_add_cancellable (timer_queue_t *queue, int64_t due_us,
                       timer_callback_t callback, void *ctx,
                       timer_handle_t *handle)
{
  pthread_mutex_lock (&queue->lock);
  if (queue->count == queue->capacity)
    {
      queue->capacity = queue->capacity ? queue->capacity * 2 : 64;
      queue->heap
          = realloc (queue->heap, queue->capacity * sizeof *queue->heap);
    }
  size_t index = queue->count++;
  store_entry (queue, index, (timer_entry_t){ due_us, callback, ctx, handle });
  sift_up (queue, index);
  if (queue->heap[0].due_us == due_us)
    pthread_cond_signal (&queue->wakeup);
  pthread_mutex_unlock (&queue->lock);
}

bool
timer_cancel (timer_queue_t *queue, timer_handle_t *handle)
{
  pthread_mutex_lock (&queue->lock);
  bool was_pending = handle->heap_position > 0;
  if (was_pending)
    remove_entry (queue, handle->heap_position - 1);
  pthread_mutex_unlock (&queue->lock);
  return was_pending;
}
