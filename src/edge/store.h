#ifndef REDWINGFORD_STORE_H
#define REDWINGFORD_STORE_H

/* A client of the platform's store.  A topic is a log of records of which the
   store keeps the newest of each key.  A subscription reads a snapshot, which
   is the newest record of each key, and then the records that follow; when the
   store has dropped some of these, or was restored from an older copy and is
   in a new era, it reads a snapshot again.  Answers of older eras are
   discarded.  Failed requests
   are retried with exponential backoff and jitter.  */

#include "edge/event_log.h"
#include "edge/http_client.h"
#include "mesh/dialect.h"
#include "rng.h"

typedef struct store_t store_t;

/* LOOP, DIALECT, RNG and LOG are borrowed.  */
store_t *store_new (loop_t *loop, const dialect_t *dialect,
                    endpoint_addr_t addr, const rng_t *rng, event_log_t *log);
void store_free (store_t *store);

typedef struct store_handler_t
{
  /* A snapshot begins: the newest records of all keys follow.  Its end tells
     whether it is in a new era, in which records that were read or put before
     may be lost.  */
  void (*on_snapshot_begin) (void *ctx);
  void (*on_record) (void *ctx, const keyed_record_t *record);
  /* The snapshot is complete.  A key that is not in it and whose last known
     record is before END was deleted.  */
  void (*on_snapshot_end) (void *ctx, store_position_t end);
  void *ctx; /* borrowed */
} store_handler_t;

typedef enum store_poll_mode_t
{
  STORE_LONG_POLL, /* a read always waits for the next record */
  /* For topics whose single records are not urgent: reads at growing intervals
     and after each put.  Of two clients that each put a record and then read,
     at least the one that writes later finds the record of the other.  */
  STORE_PERIODIC_POLL
} store_poll_mode_t;

/* Reads TOPIC from now on.  TOPIC is borrowed, HANDLER is copied.  A store has
   at most two subscriptions.  */
void store_subscribe (store_t *store, const char *topic,
                      store_poll_mode_t poll_mode,
                      const store_handler_t *handler);

/* Writes VALUE under KEY, or deletes KEY when VALUE is NULL; retries until the
   store acknowledges it.  A later put replaces one that is still pending.
   TOPIC is borrowed, KEY and VALUE are copied.  */
void store_put (store_t *store, const char *topic, const char *key,
                const char *value);

/* As store_put, but delays the first try by up to SPREAD_US at random.  */
void store_put_within (store_t *store, const char *topic, const char *key,
                       const char *value, int64_t spread_us);

/* Whether the store acknowledged the last put, or there was none.  */
bool store_put_is_acknowledged (const store_t *store);

typedef struct store_stats_t
{
  uint64_t reads;
  uint64_t writes;
  uint64_t failures;
  uint64_t sockets_lacking; /* requests not sent for lack of a socket, which
                               are no failures */
  uint64_t bytes_in;
  uint64_t malformed[HTTP_DEFECT_COUNT]; /* responses, by defect */
  uint32_t connections;
  uint32_t era; /* newest one seen; 0 if the store states none */
  bool reachable;
} store_stats_t;

store_stats_t store_stats (const store_t *store);

#endif
