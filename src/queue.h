#ifndef REDWINGFORD_QUEUE_H
#define REDWINGFORD_QUEUE_H

/* Request queue of one backend server.

   Entries are served by these rules, in this order:
   - by priority;
   - within a priority, requests on which other servers have already done work
     before new ones;
   - within such a class, by deficit round robin over the client accounts,
     in proportion to their weights (Shreedhar and Varghese, 1996);
   - within an account, the oldest entry first, or the newest first once the
     oldest has waited longer than half of the maximum waiting time.

   The queue borrows its entries; the caller owns them.  Apart from queue_new
   and queue_free, each call takes O(log n) time in the length of the queue
   or less, whatever the number of accounts.  */

#include "heap.h"
#include "reason.h"
#include "types.h"

enum
{
  /* Each priority has a class for requests with upstream work, served first,
     and one for those without.  */
  QUEUE_CLASS_COUNT = 2 * PRIORITY_COUNT
};

struct queue_flow_t;

typedef struct queue_entry_t
{
  /* Set by the caller before queue_push.  */
  uint32_t account;
  uint32_t weight;        /* of the account, 1 to 1000 */
  uint8_t priority;       /* 0 to PRIORITY_COUNT - 1 */
  bool has_upstream_work; /* other servers have worked on its root request */
  int64_t expires_us;     /* latest time at which it may start */
  /* Set by the queue.  */
  struct queue_flow_t *flow; /* NULL while not queued */
  struct queue_entry_t *older;
  struct queue_entry_t *newer;
  int64_t enqueued_us;
  uint32_t expiry_heap_index;
} queue_entry_t;

typedef struct queue_options_t
{
  uint32_t capacity; /* entries */
  bool fifo;         /* serve in order of arrival: no classes, no accounts */
  bool one_flow;     /* treat all accounts as one: no fairness */
} queue_options_t;

typedef struct queue_t queue_t;

/* Free the result with queue_free.  */
queue_t *queue_new (const queue_options_t *options);

/* Frees the queue.  Entries that are still queued are neither returned nor
   changed.  */
void queue_free (queue_t *queue);

/* Queues ENTRY for MAX_WAIT_US at most: lowers its expires_us if it is later
   than that.  When this exceeds the capacity, one entry is evicted: in the
   last class that has entries, the oldest entry of the account with the most
   entries in proportion to its weight.  Returns the evicted entry, which is
   no longer queued and may be ENTRY itself, or NULL.  */
queue_entry_t *queue_push (queue_t *queue, queue_entry_t *entry,
                           int64_t max_wait_us, int64_t now_us);

/* Removes and returns the entry to serve next; NULL when the queue is
   empty.  */
queue_entry_t *queue_pop (queue_t *queue, int64_t now_us);

/* Removes and returns one entry whose expires_us has been reached, or NULL.
   Call it until it returns NULL.  */
queue_entry_t *queue_pop_expired (queue_t *queue, int64_t now_us);

/* Earliest time at which queue_pop_expired returns an entry; INT64_MAX when
   the queue is empty.  */
int64_t queue_next_expiry_us (const queue_t *queue);

/* Removes ENTRY, which must be queued.  */
void queue_remove (queue_t *queue, queue_entry_t *entry);

uint32_t queue_count (const queue_t *queue);

/* Index of the first class that has an entry, which is served next;
   QUEUE_CLASS_COUNT when the queue is empty.  */
uint32_t queue_first_class (const queue_t *queue);

/* Index of the class that ENTRY belongs to by its priority and upstream work,
   whether it is queued or not.  */
uint32_t queue_entry_class (const queue_entry_t *entry);

/* Number of entries of ACCOUNT that wait in class CLASS_INDEX.  */
uint32_t queue_account_count (const queue_t *queue, uint32_t account,
                              uint32_t class_index);

/* Number of flows served and hash chain links followed by all calls so far.
   Tests use it to check that the cost of a call does not grow with the number
   of accounts.  */
uint64_t queue_step_count (const queue_t *queue);

#endif
