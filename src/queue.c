#include "queue.h"

#include <stdlib.h>

#include "invariant.h"

/* What one account has waiting in one class.  Exists only while it has.  */
typedef struct queue_flow_t
{
  uint32_t account;
  uint32_t class;
  uint32_t weight;
  uint32_t count;
  double deficit;
  queue_entry_t *oldest;
  queue_entry_t *newest;
  int64_t bound_us;
  struct queue_flow_t *next; /* in the ring */
  struct queue_flow_t *prev;
  struct queue_flow_t *chain; /* in its hash bucket, or the free list */
  uint32_t length_place;
} queue_flow_t;

typedef struct queue_class_t
{
  queue_flow_t *ring; /* the flow whose turn it is, or NULL */
  uint32_t weight_min;
  uint32_t count;
  heap_t by_length;
} queue_class_t;

struct queue_t
{
  queue_options_t options;
  queue_class_t classes[QUEUE_CLASS_COUNT];
  heap_t by_expiry;
  queue_flow_t *flows;
  queue_flow_t *free_flows;
  queue_flow_t **buckets;
  uint32_t bucket_mask;
  uint64_t steps;
};

static bool
expires_before (const void *a, const void *b)
{
  const queue_entry_t *x = a;
  const queue_entry_t *y = b;
  return x->expires_us < y->expires_us;
}

static uint32_t *
expiry_place (void *item)
{
  return &((queue_entry_t *)item)->expiry_place;
}

static bool
longer_before (const void *a, const void *b)
{
  const queue_flow_t *x = a;
  const queue_flow_t *y = b;
  return (uint64_t)x->count * y->weight > (uint64_t)y->count * x->weight;
}

static uint32_t *
length_place (void *item)
{
  return &((queue_flow_t *)item)->length_place;
}

queue_t *
queue_new (const queue_options_t *options)
{
  queue_t *queue = calloc (1, sizeof *queue);
  uint32_t room = options->capacity + 1;
  uint32_t buckets = 16;

  queue->options = *options;
  while (buckets < room)
    buckets *= 2;
  queue->bucket_mask = buckets - 1;
  queue->buckets = calloc (buckets, sizeof (queue_flow_t *));
  queue->flows = calloc (room, sizeof *queue->flows);
  for (uint32_t i = 0; i < room; i++)
    {
      queue->flows[i].chain = queue->free_flows;
      queue->free_flows = &queue->flows[i];
    }
  heap_init (&queue->by_expiry, room, expires_before, expiry_place);
  for (uint32_t i = 0; i < QUEUE_CLASS_COUNT; i++)
    heap_init (&queue->classes[i].by_length, room, longer_before,
               length_place);
  return queue;
}

void
queue_free (queue_t *queue)
{
  for (uint32_t i = 0; i < QUEUE_CLASS_COUNT; i++)
    heap_free (&queue->classes[i].by_length);
  heap_free (&queue->by_expiry);
  free (queue->buckets);
  free (queue->flows);
  free (queue);
}

uint32_t
queue_entry_class (const queue_entry_t *entry)
{
  return 2U * entry->priority + (entry->has_upstream_work ? 0 : 1);
}

static queue_flow_t **
flow_bucket (const queue_t *queue, uint32_t account, uint32_t class)
{
  uint32_t hash = (account * QUEUE_CLASS_COUNT + class) * 0x9e3779b1U;
  return &queue->buckets[(hash >> 8) & queue->bucket_mask];
}

static queue_flow_t *
flow_find (const queue_t *queue, uint32_t account, uint32_t class)
{
  queue_flow_t *flow = *flow_bucket (queue, account, class);
  while (flow != NULL && (flow->account != account || flow->class != class))
    {
      ((queue_t *)queue)->steps++;
      flow = flow->chain;
    }
  return flow;
}

/* Puts a flow last in its class's round.  */
static void
ring_insert (queue_class_t *class, queue_flow_t *flow)
{
  if (class->ring == NULL)
    {
      flow->next = flow;
      flow->prev = flow;
      class->ring = flow;
      return;
    }
  flow->next = class->ring;
  flow->prev = class->ring->prev;
  flow->prev->next = flow;
  flow->next->prev = flow;
}

static void
ring_remove (queue_class_t *class, queue_flow_t *flow)
{
  if (flow->next == flow)
    {
      class->ring = NULL;
      return;
    }
  flow->prev->next = flow->next;
  flow->next->prev = flow->prev;
  if (class->ring == flow)
    class->ring = flow->next;
}

static queue_flow_t *
flow_open (queue_t *queue, uint32_t account, uint32_t number, uint32_t weight)
{
  queue_class_t *class = &queue->classes[number];
  queue_flow_t **bucket = flow_bucket (queue, account, number);
  queue_flow_t *flow = queue->free_flows;

  INVARIANT (flow != NULL, "more flows than queue entries");
  queue->free_flows = flow->chain;
  *flow = (queue_flow_t){ .account = account, .class = number };
  flow->weight = weight > 0 ? weight : 1;
  flow->chain = *bucket;
  *bucket = flow;
  if (class->ring == NULL || flow->weight < class->weight_min)
    class->weight_min = flow->weight;
  ring_insert (class, flow);
  heap_push (&class->by_length, flow);
  return flow;
}

static void
flow_close (queue_t *queue, queue_flow_t *flow)
{
  queue_class_t *class = &queue->classes[flow->class];
  queue_flow_t **at = flow_bucket (queue, flow->account, flow->class);

  while (*at != flow)
    {
      queue->steps++;
      at = &(*at)->chain;
    }
  *at = flow->chain;
  ring_remove (class, flow);
  heap_remove (&class->by_length, flow);
  flow->chain = queue->free_flows;
  queue->free_flows = flow;
}

void
queue_remove (queue_t *queue, queue_entry_t *entry)
{
  queue_flow_t *flow = entry->flow;

  INVARIANT (flow != NULL, "an entry that is not queued is removed");
  if (entry->older != NULL)
    entry->older->newer = entry->newer;
  else
    flow->oldest = entry->newer;
  if (entry->newer != NULL)
    entry->newer->older = entry->older;
  else
    flow->newest = entry->older;
  entry->flow = NULL;
  heap_remove (&queue->by_expiry, entry);
  flow->count--;
  queue->classes[flow->class].count--;
  if (flow->count == 0)
    flow_close (queue, flow);
  else
    heap_moved (&queue->classes[flow->class].by_length, flow);
}

static queue_entry_t *
evict (queue_t *queue)
{
  uint32_t last = QUEUE_CLASS_COUNT - 1;
  while (queue->classes[last].count == 0)
    last--;
  queue_flow_t *longest = heap_top (&queue->classes[last].by_length);
  queue_entry_t *entry = longest->oldest;
  queue_remove (queue, entry);
  return entry;
}

queue_entry_t *
queue_push (queue_t *queue, queue_entry_t *entry, int64_t bound_us,
            int64_t now_us)
{
  uint32_t number = queue->options.fifo ? 0 : queue_entry_class (entry);
  uint32_t account
      = queue->options.fifo || queue->options.one_flow ? 0 : entry->account;
  queue_flow_t *flow = flow_find (queue, account, number);

  if (flow == NULL)
    flow = flow_open (queue, account, number, entry->weight);
  entry->flow = flow;
  entry->pushed_us = now_us;
  if (entry->expires_us > now_us + bound_us)
    entry->expires_us = now_us + bound_us;
  entry->newer = NULL;
  entry->older = flow->newest;
  if (flow->newest != NULL)
    flow->newest->newer = entry;
  else
    flow->oldest = entry;
  flow->newest = entry;
  flow->bound_us = bound_us;
  flow->count++;
  queue->classes[number].count++;
  heap_moved (&queue->classes[number].by_length, flow);
  heap_push (&queue->by_expiry, entry);
  return queue->by_expiry.count > queue->options.capacity ? evict (queue)
                                                          : NULL;
}

uint32_t
queue_first_class (const queue_t *queue)
{
  uint32_t i = 0;
  while (i < QUEUE_CLASS_COUNT && queue->classes[i].count == 0)
    i++;
  return i;
}

/* The smallest weight gives one request a round, so that a turn always serves
   at least one and no scan over flows is needed.  */
static double
flow_quantum (const queue_class_t *class, const queue_flow_t *flow)
{
  return (double)flow->weight / class->weight_min;
}

static queue_entry_t *
flow_next_entry (const queue_t *queue, const queue_flow_t *flow,
                 int64_t now_us)
{
  int64_t waited_us = now_us - flow->oldest->pushed_us;
  if (queue->options.fifo || 2 * waited_us <= flow->bound_us)
    return flow->oldest;
  return flow->newest;
}

queue_entry_t *
queue_pop (queue_t *queue, int64_t now_us)
{
  uint32_t number = queue_first_class (queue);
  if (number == QUEUE_CLASS_COUNT)
    return NULL;
  queue_class_t *class = &queue->classes[number];
  queue_flow_t *flow = class->ring;
  if (flow->deficit < 1)
    flow->deficit += flow_quantum (class, flow);
  INVARIANT (flow->deficit >= 1 && flow->deficit <= 1001,
             "deficit %f of account %u", flow->deficit, flow->account);
  flow->deficit -= 1;
  if (flow->deficit < 1)
    class->ring = flow->next;
  queue->steps++;
  queue_entry_t *entry = flow_next_entry (queue, flow, now_us);
  queue_remove (queue, entry);
  return entry;
}

queue_entry_t *
queue_pop_expired (queue_t *queue, int64_t now_us)
{
  queue_entry_t *entry = heap_top (&queue->by_expiry);
  if (entry == NULL || entry->expires_us > now_us)
    return NULL;
  queue_remove (queue, entry);
  return entry;
}

int64_t
queue_next_expiry_us (const queue_t *queue)
{
  const queue_entry_t *entry = heap_top (&queue->by_expiry);
  return entry != NULL ? entry->expires_us : INT64_MAX;
}

uint32_t
queue_count (const queue_t *queue)
{
  return queue->by_expiry.count;
}

uint32_t
queue_account_count (const queue_t *queue, uint32_t account, uint32_t number)
{
  const queue_flow_t *flow = flow_find (queue, account, number);
  return flow != NULL ? flow->count : 0;
}

uint64_t
queue_step_count (const queue_t *queue)
{
  return queue->steps;
}
