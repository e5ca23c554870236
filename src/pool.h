#ifndef REDWINGFORD_POOL_H
#define REDWINGFORD_POOL_H

/* A pool of worker threads over one bounded queue of jobs.  Threads start
   when they are first needed and stay.  */

#include <stdbool.h>
#include <stddef.h>

typedef struct pool_t pool_t;
typedef void (*pool_job_t) (void *ctx);

/* At most THREADS_MAX threads.  Free with pool_free, which lets queued jobs
   finish first.  */
pool_t *pool_new (size_t threads_max, size_t queue_max);

/* Allows at least THREADS_MAX threads from now on.  Any thread.  */
void pool_allow (pool_t *pool, size_t threads_max);

void pool_free (pool_t *pool);

/* False when the queue is full.  CTX belongs to the job.  */
bool pool_submit (pool_t *pool, pool_job_t job, void *ctx);

#endif
