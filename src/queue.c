#include "queue.h"

#include <stdlib.h>

#include "invariant.h"

/* The entries of one account in one class.  Exists only while there are
   any.  */
typedef struct queue_flow_t
{
  uint32_t account;
  uint32_t class_index;
  uint32_t weight;
  uint32_t entry_count;
  double deficit;
  queue_entry_t *oldest;
  queue_entry_t *newest;
  int64_t max_wait_us;
  struct queue_flow_t *next; /* neighbors in the round-robin ring */
  struct queue_flow_t *prev;
  struct queue_flow_t *chain_next; /* in the hash bucket or free list */
  uint32_t backlog_heap_index;
} queue_flow_t;

typedef struct queue_class_t
{
  queue_flow_t *ring_head; /* the flow to serve next; NULL when empty */
  uint32_t min_weight;     /* least since the class was last empty */
  uint32_t entry_count;
  heap_t flows_by_backlog;
} queue_class_t;

struct queue_t
{
  queue_options_t options;
  queue_class_t classes[QUEUE_CLASS_COUNT];
  heap_t entries_by_expiry;
  queue_flow_t *flow_pool;
  queue_flow_t *free_flows;
  queue_flow_t **buckets;
  uint32_t bucket_mask;
  uint64_t step_count;
};

static bool
expires_earlier (const void *a, const void *b)
{
  const queue_entry_t *x = a;
  const queue_entry_t *y = b;
  return x->expires_us < y->expires_us;
}

static uint32_t *
expiry_heap_index (void *item)
{
  return &((queue_entry_t *)item)->expiry_heap_index;
}

static bool
has_longer_backlog (const void *a, const void *b)
{
  const queue_flow_t *x = a;
  const queue_flow_t *y = b;
  return (uint64_t)x->entry_count * y->weight
         > (uint64_t)y->entry_count * x->weight;
}

static uint32_t *
backlog_heap_index (void *item)
{
  return &((queue_flow_t *)item)->backlog_heap_index;
}

queue_t *
queue_new (const queue_options_t *options)
{
  queue_t *queue = calloc (1, sizeof *queue);
  uint32_t flow_capacity = options->capacity + 1;
  uint32_t bucket_count = 16;

  queue->options = *options;
  while (bucket_count < flow_capacity)
    bucket_count *= 2;
  queue->bucket_mask = bucket_count - 1;
  queue->buckets = calloc (bucket_count, sizeof (queue_flow_t *));
  queue->flow_pool = calloc (flow_capacity, sizeof *queue->flow_pool);
  for (uint32_t i = 0; i < flow_capacity; i++)
    {
      queue->flow_pool[i].chain_next = queue->free_flows;
      queue->free_flows = &queue->flow_pool[i];
    }
  heap_init (&queue->entries_by_expiry, flow_capacity, expires_earlier,
             expiry_heap_index);
  for (uint32_t i = 0; i < QUEUE_CLASS_COUNT; i++)
    heap_init (&queue->classes[i].flows_by_backlog, flow_capacity,
               has_longer_backlog, backlog_heap_index);
  return queue;
}

void
queue_free (queue_t *queue)
{
  for (uint32_t i = 0; i < QUEUE_CLASS_COUNT; i++)
    heap_free (&queue->classes[i].flows_by_backlog);
  heap_free (&queue->entries_by_expiry);
  free (queue->buckets);
  free (queue->flow_pool);
  free (queue);
}

uint32_t
queue_entry_class (const queue_entry_t *entry)
{
  return 2U * entry->priority + (entry->has_upstream_work ? 0 : 1);
}

static queue_flow_t **
flow_bucket (const queue_t *queue, uint32_t account, uint32_t class_index)
{
  uint32_t hash = (account * QUEUE_CLASS_COUNT + class_index) * 0x9e3779b1U;
  return &queue->buckets[(hash >> 8) & queue->bucket_mask];
}

static queue_flow_t *
flow_find (const queue_t *queue, uint32_t account, uint32_t class_index)
{
  queue_flow_t *flow = *flow_bucket (queue, account, class_index);
  while (flow != NULL
         && (flow->account != account || flow->class_index != class_index))
    {
      ((queue_t *)queue)->step_count++;
      flow = flow->chain_next;
    }
  return flow;
}

/* Makes FLOW the last to be served in the current round of its class.  */
static void
ring_insert (queue_class_t *class, queue_flow_t *flow)
{
  if (class->ring_head == NULL)
    {
      flow->next = flow;
      flow->prev = flow;
      class->ring_head = flow;
      return;
    }
  flow->next = class->ring_head;
  flow->prev = class->ring_head->prev;
  flow->prev->next = flow;
  flow->next->prev = flow;
}

static void
ring_remove (queue_class_t *class, queue_flow_t *flow)
{
  if (flow->next == flow)
    {
      class->ring_head = NULL;
      return;
    }
  flow->prev->next = flow->next;
  flow->next->prev = flow->prev;
  if (class->ring_head == flow)
    class->ring_head = flow->next;
}

static queue_flow_t *
flow_create (queue_t *queue, uint32_t account, uint32_t class_index,
             uint32_t weight)
{
  queue_class_t *class = &queue->classes[class_index];
  queue_flow_t **bucket = flow_bucket (queue, account, class_index);
  queue_flow_t *flow = queue->free_flows;

  INVARIANT (flow != NULL, "no free flow: more flows than queue entries");
  queue->free_flows = flow->chain_next;
  *flow = (queue_flow_t){ .account = account, .class_index = class_index };
  flow->weight = weight > 0 ? weight : 1;
  flow->chain_next = *bucket;
  *bucket = flow;
  if (class->ring_head == NULL || flow->weight < class->min_weight)
    class->min_weight = flow->weight;
  ring_insert (class, flow);
  heap_push (&class->flows_by_backlog, flow);
  return flow;
}

static void
flow_release (queue_t *queue, queue_flow_t *flow)
{
  queue_class_t *class = &queue->classes[flow->class_index];
  queue_flow_t **link = flow_bucket (queue, flow->account, flow->class_index);

  while (*link != flow)
    {
      queue->step_count++;
      link = &(*link)->chain_next;
    }
  *link = flow->chain_next;
  ring_remove (class, flow);
  heap_remove (&class->flows_by_backlog, flow);
  flow->chain_next = queue->free_flows;
  queue->free_flows = flow;
}

void
queue_remove (queue_t *queue, queue_entry_t *entry)
{
  queue_flow_t *flow = entry->flow;

  INVARIANT (flow != NULL, "removing an entry that is not queued");
  if (entry->older != NULL)
    entry->older->newer = entry->newer;
  else
    flow->oldest = entry->newer;
  if (entry->newer != NULL)
    entry->newer->older = entry->older;
  else
    flow->newest = entry->older;
  entry->flow = NULL;
  heap_remove (&queue->entries_by_expiry, entry);
  flow->entry_count--;
  queue->classes[flow->class_index].entry_count--;
  if (flow->entry_count == 0)
    flow_release (queue, flow);
  else
    heap_update (&queue->classes[flow->class_index].flows_by_backlog, flow);
}

static queue_entry_t *
evict_entry (queue_t *queue)
{
  uint32_t lowest_class = QUEUE_CLASS_COUNT - 1;
  while (queue->classes[lowest_class].entry_count == 0)
    lowest_class--;
  queue_flow_t *longest
      = heap_top (&queue->classes[lowest_class].flows_by_backlog);
  queue_entry_t *entry = longest->oldest;
  queue_remove (queue, entry);
  return entry;
}

queue_entry_t *
queue_push (queue_t *queue, queue_entry_t *entry, int64_t max_wait_us,
            int64_t now_us)
{
  uint32_t class_index = queue->options.fifo ? 0 : queue_entry_class (entry);
  uint32_t account
      = queue->options.fifo || queue->options.one_flow ? 0 : entry->account;
  queue_flow_t *flow = flow_find (queue, account, class_index);

  if (flow == NULL)
    flow = flow_create (queue, account, class_index, entry->weight);
  entry->flow = flow;
  entry->enqueued_us = now_us;
  if (entry->expires_us > now_us + max_wait_us)
    entry->expires_us = now_us + max_wait_us;
  entry->newer = NULL;
  entry->older = flow->newest;
  if (flow->newest != NULL)
    flow->newest->newer = entry;
  else
    flow->oldest = entry;
  flow->newest = entry;
  flow->max_wait_us = max_wait_us;
  flow->entry_count++;
  queue->classes[class_index].entry_count++;
  heap_update (&queue->classes[class_index].flows_by_backlog, flow);
  heap_push (&queue->entries_by_expiry, entry);
  return queue->entries_by_expiry.count > queue->options.capacity
             ? evict_entry (queue)
             : NULL;
}

uint32_t
queue_first_class (const queue_t *queue)
{
  uint32_t i = 0;
  while (i < QUEUE_CLASS_COUNT && queue->classes[i].entry_count == 0)
    i++;
  return i;
}

/* Number of requests that FLOW may serve in a round.  The flow of the least
   weight gets one, so each turn serves at least one request and queue_pop need
   not scan the ring for a flow with enough deficit.  */
static double
flow_quantum (const queue_class_t *class, const queue_flow_t *flow)
{
  return (double)flow->weight / class->min_weight;
}

static queue_entry_t *
flow_select_entry (const queue_t *queue, const queue_flow_t *flow,
                   int64_t now_us)
{
  int64_t waited_us = now_us - flow->oldest->enqueued_us;
  if (queue->options.fifo || 2 * waited_us <= flow->max_wait_us)
    return flow->oldest;
  return flow->newest;
}

queue_entry_t *
queue_pop (queue_t *queue, int64_t now_us)
{
  uint32_t class_index = queue_first_class (queue);
  if (class_index == QUEUE_CLASS_COUNT)
    return NULL;
  queue_class_t *class = &queue->classes[class_index];
  queue_flow_t *flow = class->ring_head;
  if (flow->deficit < 1)
    flow->deficit += flow_quantum (class, flow);
  INVARIANT (flow->deficit >= 1 && flow->deficit <= 1001,
             "deficit %f of account %u", flow->deficit, flow->account);
  flow->deficit -= 1;
  if (flow->deficit < 1)
    class->ring_head = flow->next;
  queue->step_count++;
  queue_entry_t *entry = flow_select_entry (queue, flow, now_us);
  queue_remove (queue, entry);
  return entry;
}

queue_entry_t *
queue_pop_expired (queue_t *queue, int64_t now_us)
{
  queue_entry_t *entry = heap_top (&queue->entries_by_expiry);
  if (entry == NULL || entry->expires_us > now_us)
    return NULL;
  queue_remove (queue, entry);
  return entry;
}

int64_t
queue_next_expiry_us (const queue_t *queue)
{
  const queue_entry_t *entry = heap_top (&queue->entries_by_expiry);
  return entry != NULL ? entry->expires_us : INT64_MAX;
}

uint32_t
queue_count (const queue_t *queue)
{
  return queue->entries_by_expiry.count;
}

uint32_t
queue_account_count (const queue_t *queue, uint32_t account,
                     uint32_t class_index)
{
  const queue_flow_t *flow = flow_find (queue, account, class_index);
  return flow != NULL ? flow->entry_count : 0;
}

uint64_t
queue_step_count (const queue_t *queue)
{
  return queue->step_count;
}
