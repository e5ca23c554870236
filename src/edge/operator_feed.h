#ifndef REDWINGFORD_OPERATOR_FEED_H
#define REDWINGFORD_OPERATOR_FEED_H

/* State that the operators have published: the configuration in force and the
   availability zones that are out of service.  It comes from the store, or
   from another sidecar that has a newer state.  Neither source replaces it
   with an older state.  */

#include "edge/event_log.h"
#include "mesh/dialect.h"
#include "mesh/zone_records.h"

enum
{
  /* Of a document that the loop parses itself.  */
  OPERATOR_FEED_LOOP_MAX_BYTES = 64 * 1024
};

typedef struct operator_feed_t operator_feed_t;

typedef struct operator_feed_handler_t
{
  /* POLICY replaces the previous policy, which is freed when the callback
     returns.  */
  void (*on_policy) (void *ctx, const policy_t *policy);
  /* A zone was taken out of service or brought back.  */
  void (*on_zones) (void *ctx);
  void *ctx; /* borrowed */
} operator_feed_handler_t;

/* LOOP, DIALECT and LOG are borrowed, HANDLER is copied.  */
operator_feed_t *operator_feed_new (loop_t *loop, const dialect_t *dialect,
                                    event_log_t *log,
                                    const operator_feed_handler_t *handler);
/* Waits for a document that is being parsed.  FEED may be NULL.  */
void operator_feed_free (operator_feed_t *feed);

/* Longer documents are parsed in a thread from now on.  */
void operator_feed_use_thread (operator_feed_t *feed);

/* Whether a document is being parsed in the thread or waits for it.  */
bool operator_feed_is_parsing (const operator_feed_t *feed);

/* Callbacks for store_subscribe, with the feed as context.  */
void operator_feed_begin_snapshot (void *feed);
void operator_feed_apply_record (void *feed, const keyed_record_t *record);
void operator_feed_end_snapshot (void *feed, store_position_t end);

bool operator_feed_zone_is_out (const operator_feed_t *feed, const char *zone);

/* Returns NULL before the first configuration.  */
const policy_t *operator_feed_policy (const operator_feed_t *feed);
/* Returns 0 before the first configuration.  */
uint64_t operator_feed_config_version (const operator_feed_t *feed);

/* Returns how far the operators' records are known.  */
topic_knowledge_t operator_feed_knowledge (const operator_feed_t *feed);

/* Whether a sidecar with CONFIG_VERSION and KNOWLEDGE has a newer state.  */
bool operator_feed_lacks (const operator_feed_t *feed, uint64_t config_version,
                          const topic_knowledge_t *knowledge);

typedef struct operator_step_stats_t
{
  uint64_t count;
  int64_t total_us;
  int64_t most_us;
} operator_step_stats_t;

/* Changes of the configuration since the start.  */
typedef struct operator_feed_stats_t
{
  operator_step_stats_t parse; /* in the loop or in the thread */
  operator_step_stats_t apply; /* in the loop */
  uint64_t rejected;           /* documents that are invalid */
} operator_feed_stats_t;

operator_feed_stats_t operator_feed_stats (const operator_feed_t *feed);

/* The state that the operators have published, as one sidecar sends it to
   another.  Pointers are borrowed.  */
typedef struct operator_feed_state_t
{
  uint64_t config_version;
  const char *config_text; /* the configuration document */
  size_t config_size;
  zone_state_t zones;
} operator_feed_state_t;

void operator_feed_state (const operator_feed_t *feed,
                          operator_feed_state_t *state);

/* Adopts what is newer in the state of another sidecar.  */
void operator_feed_merge (operator_feed_t *feed,
                          const operator_feed_state_t *state);

#endif
