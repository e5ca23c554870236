#include "pool.h"

#include <pthread.h>
#include <stdlib.h>

enum
{
  WORKER_STACK_BYTES = 128 * 1024
};

typedef struct item_t
{
  pool_job_t job;
  void *ctx;
} item_t;

struct pool_t
{
  pthread_mutex_t lock; /* guards all below */
  pthread_cond_t filled;
  item_t *ring;
  size_t room;
  size_t first;
  size_t count;
  size_t idle; /* threads that wait for a job */
  bool stopping;
  pthread_t *threads;
  size_t thread_count;
  size_t thread_max;
  size_t thread_room; /* of threads */
};

static bool
take (pool_t *pool, item_t *item)
{
  pthread_mutex_lock (&pool->lock);
  pool->idle++;
  while (pool->count == 0 && !pool->stopping)
    pthread_cond_wait (&pool->filled, &pool->lock);
  pool->idle--;
  bool taken = pool->count > 0;
  if (taken)
    {
      *item = pool->ring[pool->first];
      pool->first = (pool->first + 1) % pool->room;
      pool->count--;
    }
  pthread_mutex_unlock (&pool->lock);
  return taken;
}

static void *
work (void *ctx)
{
  pool_t *pool = ctx;
  item_t item;

  while (take (pool, &item))
    item.job (item.ctx);
  return NULL;
}

/* With the lock held.  */
static void
start_thread (pool_t *pool)
{
  pthread_attr_t attributes;

  if (pool->thread_count == pool->thread_room)
    {
      pool->thread_room = pool->thread_room * 2 + 16;
      pool->threads
          = realloc (pool->threads, pool->thread_room * sizeof *pool->threads);
    }
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, WORKER_STACK_BYTES);
  if (pthread_create (&pool->threads[pool->thread_count], &attributes, work,
                      pool)
      == 0)
    pool->thread_count++;
  pthread_attr_destroy (&attributes);
}

pool_t *
pool_new (size_t threads_max, size_t queue_max)
{
  pool_t *pool = calloc (1, sizeof *pool);

  pthread_mutex_init (&pool->lock, NULL);
  pthread_cond_init (&pool->filled, NULL);
  pool->room = queue_max;
  pool->ring = calloc (queue_max, sizeof *pool->ring);
  pool->thread_max = threads_max;
  start_thread (pool);
  return pool;
}

void
pool_allow (pool_t *pool, size_t threads_max)
{
  pthread_mutex_lock (&pool->lock);
  if (threads_max > pool->thread_max)
    pool->thread_max = threads_max;
  pthread_mutex_unlock (&pool->lock);
}

void
pool_free (pool_t *pool)
{
  pthread_mutex_lock (&pool->lock);
  pool->stopping = true;
  pthread_cond_broadcast (&pool->filled);
  pthread_mutex_unlock (&pool->lock);
  for (size_t i = 0; i < pool->thread_count; i++)
    pthread_join (pool->threads[i], NULL);
  pthread_cond_destroy (&pool->filled);
  pthread_mutex_destroy (&pool->lock);
  free (pool->threads);
  free (pool->ring);
  free (pool);
}

bool
pool_submit (pool_t *pool, pool_job_t job, void *ctx)
{
  pthread_mutex_lock (&pool->lock);
  bool accepted = pool->count < pool->room && !pool->stopping;
  if (accepted)
    {
      size_t last = (pool->first + pool->count) % pool->room;
      pool->ring[last] = (item_t){ job, ctx };
      pool->count++;
      if (pool->idle < pool->count && pool->thread_count < pool->thread_max)
        start_thread (pool);
      pthread_cond_signal (&pool->filled);
    }
  pthread_mutex_unlock (&pool->lock);
  return accepted;
}
