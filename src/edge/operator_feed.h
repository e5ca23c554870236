#ifndef REDWINGFORD_OPERATOR_FEED_H
#define REDWINGFORD_OPERATOR_FEED_H

/* State that the operators have published: the configuration in force and the
   availability zones that are out of service.  It comes from the store, or
   from another sidecar that has a newer state.  Neither source replaces it
   with an older state.  */

#include "edge/event_log.h"
#include "mesh/dialect.h"

enum
{
  /* Limit of the zones that records of evacuations have named, those back in
     service included.  Records of further zones are ignored.  */
  EVACUATED_ZONES_MAX = 64
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

/* DIALECT and LOG are borrowed, HANDLER is copied.  */
operator_feed_t *operator_feed_new (const dialect_t *dialect, event_log_t *log,
                                    const operator_feed_handler_t *handler);
void operator_feed_free (operator_feed_t *feed);

/* Callbacks for store_subscribe, with the feed as context.  */
void operator_feed_begin_snapshot (void *feed);
void operator_feed_apply_record (void *feed, const keyed_record_t *record);
void operator_feed_end_snapshot (void *feed, int64_t end);

bool operator_feed_zone_is_out (const operator_feed_t *feed, const char *zone);

/* Returns NULL before the first configuration.  */
const policy_t *operator_feed_policy (const operator_feed_t *feed);
/* Returns 0 before the first configuration.  */
uint64_t operator_feed_config_version (const operator_feed_t *feed);

/* Returns the offset after the last known record.  */
int64_t operator_feed_offset (const operator_feed_t *feed);

/* The state that the operators have published, as one sidecar sends it to
   another.  All pointers are borrowed.  */
typedef struct operator_feed_state_t
{
  uint64_t config_version;
  int64_t offset;
  const char *config_text; /* the configuration document */
  size_t config_size;
  const char *zones_out[EVACUATED_ZONES_MAX];
  uint32_t zones_out_count;
} operator_feed_state_t;

operator_feed_state_t operator_feed_state (const operator_feed_t *feed);

/* Adopts what is newer in the state of another sidecar.  */
void operator_feed_merge (operator_feed_t *feed,
                          const operator_feed_state_t *state);

#endif
