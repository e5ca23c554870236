#ifndef REDWINGFORD_QUEUE_H
#define REDWINGFORD_QUEUE_H

/* Queue of one backend server.  Order: priority; within it requests that
   already cost work elsewhere before new ones; within that deficit round
   robin over client accounts by weight (Shreedhar and Varghese, 1996); within
   an account oldest first, or newest first once its oldest entry has waited
   half of the sojourn bound.  Entries are borrowed.  Every call is O(log n)
   in the queue's length or better, whatever the number of accounts.  */

#include "heap.h"
#include "reason.h"
#include "types.h"

enum
{
  QUEUE_CLASS_COUNT = 2 * PRIORITY_COUNT
};

struct queue_flow_t;

typedef struct queue_entry_t
{
  /* Set by the caller before queue_push.  */
  uint32_t account;
  uint32_t weight;        /* of the account, 1 to 1000 */
  uint8_t priority;       /* 0 to PRIORITY_COUNT - 1 */
  bool has_upstream_work; /* other servers have worked for its root request */
  int64_t expires_us;     /* not started later than this */
  /* Private.  */
  struct queue_flow_t *flow; /* NULL while not queued */
  struct queue_entry_t *older;
  struct queue_entry_t *newer;
  int64_t pushed_us;
  uint32_t expiry_place;
} queue_entry_t;

typedef struct queue_options_t
{
  uint32_t capacity; /* entries */
  bool fifo;         /* one order for all: the mechanism switched off */
  bool one_flow;     /* all accounts as one: fairness switched off */
} queue_options_t;

typedef struct queue_t queue_t;

queue_t *queue_new (const queue_options_t *options);

/* The entries left in it are dropped without notice.  */
void queue_free (queue_t *queue);

/* Queues ENTRY, to wait BOUND_US at most.  When the queue is full one entry
   has to give way: of the last class, the oldest one of the account that
   holds the most for its weight.  That entry, already removed, is returned;
   it may be ENTRY itself, which is then not queued.  Otherwise NULL.  */
queue_entry_t *queue_push (queue_t *queue, queue_entry_t *entry,
                           int64_t bound_us, int64_t now_us);

/* Removes and returns the entry whose turn it is, or NULL.  */
queue_entry_t *queue_pop (queue_t *queue, int64_t now_us);

/* Removes and returns an entry that has waited too long, or NULL.  Call it
   until it returns NULL.  */
queue_entry_t *queue_pop_expired (queue_t *queue, int64_t now_us);

/* When queue_expired has something to return, or INT64_MAX.  */
int64_t queue_next_expiry_us (const queue_t *queue);

void queue_remove (queue_t *queue, queue_entry_t *entry);

uint32_t queue_count (const queue_t *queue);

/* First class that has an entry, or QUEUE_CLASS_COUNT.  */
uint32_t queue_first_class (const queue_t *queue);
uint32_t queue_entry_class (const queue_entry_t *entry);

/* Entries that wait for ACCOUNT in class NUMBER.  */
uint32_t queue_account_count (const queue_t *queue, uint32_t account,
                              uint32_t number);

/* Steps that the calls so far took over flows and buckets, for tests that
   the cost of a call does not grow with the number of accounts.  */
uint64_t queue_step_count (const queue_t *queue);

#endif
