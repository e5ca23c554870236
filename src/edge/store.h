#ifndef REDWINGFORD_STORE_H
#define REDWINGFORD_STORE_H

/* The platform's store, as this project uses it: topics whose newest record
   of each key is kept.  A follower reads a topic's newest records, then waits
   for new ones; when the store has dropped what lies between, it reads the
   newest again.  Calls that fail are repeated with growing, random pauses.  */

#include "edge/event_log.h"
#include "edge/http_client.h"
#include "mesh/dialect.h"
#include "rng.h"

typedef struct store_t store_t;

/* All are borrowed.  */
store_t *store_new (loop_t *loop, const dialect_t *dialect,
                    endpoint_addr_t addr, const rng_t *rng, event_log_t *log);
void store_free (store_t *store);

typedef struct store_handler_t
{
  /* The newest records of all keys follow; keys that are not among them and
     whose last record lies before END are gone.  */
  void (*snapshot_begin) (void *ctx);
  void (*record) (void *ctx, const keyed_record_t *record);
  void (*snapshot_end) (void *ctx, int64_t end);
  void *ctx; /* borrowed */
} store_handler_t;

typedef enum store_poll_mode_t
{
  STORE_LONG_POLL, /* a read always waits for the next record */
  /* Records matter little by themselves: the topic is read at growing
     intervals, and after each own write.  Whoever writes before it reads
     misses no one that has read before it wrote.  */
  STORE_PERIODIC_POLL
} store_poll_mode_t;

/* TOPIC is borrowed.  At most two.  */
void store_subscribe (store_t *store, const char *topic,
                      store_poll_mode_t pace, const store_handler_t *handler);

/* Writes the newest value of KEY, or drops it when VALUE is NULL, again and
   again until the store has acknowledged it.  A later put takes the place of
   an earlier one.  TOPIC is borrowed; the rest is copied.  */
void store_put (store_t *store, const char *topic, const char *key,
                const char *value);

/* Whether the last put was acknowledged.  */
bool store_is_written (const store_t *store);

typedef struct store_state_t
{
  uint64_t reads;
  uint64_t writes;
  uint64_t failures;
  uint64_t bytes_in;
  bool reachable;
} store_state_t;

store_state_t store_state (const store_t *store);

#endif
