#include "timer.h"

#include <pthread.h>
#include <stdlib.h>

typedef struct timer_entry_t
{
  int64_t due_us;
  timer_fired_t fired;
  void *ctx;
  timer_handle_t *place; /* NULL when it cannot be cancelled */
} timer_entry_t;

struct timer_queue_t
{
  const clock_source_t *clock;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  pthread_t thread;
  timer_entry_t *heap;
  size_t count;
  size_t room;
  bool stopping;
};

static void
put (timer_queue_t *queue, size_t i, timer_entry_t entry)
{
  queue->heap[i] = entry;
  if (entry.place != NULL)
    entry.place->number = i + 1;
}

static void
swap (timer_queue_t *queue, size_t i, size_t j)
{
  timer_entry_t entry = queue->heap[i];
  put (queue, i, queue->heap[j]);
  put (queue, j, entry);
}

static void
sift_up (timer_queue_t *queue, size_t i)
{
  while (i > 0 && queue->heap[i].due_us < queue->heap[(i - 1) / 2].due_us)
    {
      swap (queue, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static void
sift_down (timer_queue_t *queue, size_t i)
{
  for (;;)
    {
      size_t least = i;
      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < queue->count
            && queue->heap[child].due_us < queue->heap[least].due_us)
          least = child;
      if (least == i)
        return;
      swap (queue, i, least);
      i = least;
    }
}

static timer_entry_t
take (timer_queue_t *queue, size_t i)
{
  timer_entry_t entry = queue->heap[i];

  queue->count--;
  if (i < queue->count)
    {
      put (queue, i, queue->heap[queue->count]);
      sift_down (queue, i);
      sift_up (queue, i);
    }
  if (entry.place != NULL)
    entry.place->number = 0;
  return entry;
}

/* Waits with the lock held until the first entry may be due.  */
static void
wait_for_due (timer_queue_t *queue, int64_t now_us)
{
  struct timespec until;
  int64_t wait_us = US_PER_S;

  if (queue->count > 0 && queue->heap[0].due_us - now_us < wait_us)
    wait_us = queue->heap[0].due_us - now_us;
  clock_gettime (CLOCK_MONOTONIC, &until);
  int64_t total_us = until.tv_nsec / NS_PER_US + wait_us;
  until.tv_sec += total_us / US_PER_S;
  until.tv_nsec = total_us % US_PER_S * NS_PER_US;
  pthread_cond_timedwait (&queue->changed, &queue->lock, &until);
}

static void *
run (void *ctx)
{
  timer_queue_t *queue = ctx;

  pthread_mutex_lock (&queue->lock);
  while (!queue->stopping || queue->count > 0)
    {
      int64_t now_us = clock_now_us (queue->clock);
      if (queue->count > 0
          && (queue->stopping || queue->heap[0].due_us <= now_us))
        {
          timer_entry_t entry = take (queue, 0);
          pthread_mutex_unlock (&queue->lock);
          entry.fired (entry.ctx, now_us);
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
  pthread_cond_init (&queue->changed, &attributes);
  pthread_condattr_destroy (&attributes);
  pthread_create (&queue->thread, NULL, run, queue);
  return queue;
}

void
timer_queue_free (timer_queue_t *queue)
{
  pthread_mutex_lock (&queue->lock);
  queue->stopping = true;
  pthread_cond_signal (&queue->changed);
  pthread_mutex_unlock (&queue->lock);
  pthread_join (queue->thread, NULL);
  pthread_cond_destroy (&queue->changed);
  pthread_mutex_destroy (&queue->lock);
  free (queue->heap);
  free (queue);
}

void
timer_add (timer_queue_t *queue, int64_t due_us, timer_fired_t fired,
           void *ctx)
{
  timer_add_cancellable (queue, due_us, fired, ctx, NULL);
}

void
timer_add_cancellable (timer_queue_t *queue, int64_t due_us,
                       timer_fired_t fired, void *ctx, timer_handle_t *place)
{
  pthread_mutex_lock (&queue->lock);
  if (queue->count == queue->room)
    {
      queue->room = queue->room ? queue->room * 2 : 64;
      queue->heap = realloc (queue->heap, queue->room * sizeof *queue->heap);
    }
  size_t last = queue->count++;
  put (queue, last, (timer_entry_t){ due_us, fired, ctx, place });
  sift_up (queue, last);
  if (queue->heap[0].due_us == due_us)
    pthread_cond_signal (&queue->changed);
  pthread_mutex_unlock (&queue->lock);
}

bool
timer_cancel (timer_queue_t *queue, timer_handle_t *place)
{
  pthread_mutex_lock (&queue->lock);
  bool found = place->number > 0;
  if (found)
    take (queue, place->number - 1);
  pthread_mutex_unlock (&queue->lock);
  return found;
}
