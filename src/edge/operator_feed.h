#ifndef REDWINGFORD_OPERATOR_FEED_H
#define REDWINGFORD_OPERATOR_FEED_H

/* What the operators have published: the configuration in force and the
   availability zones that are taken out.  Learnt from the store, or from
   another sidecar that is ahead while the store cannot be read.  Neither ever
   goes back to an older state.  */

#include "edge/event_log.h"
#include "mesh/dialect.h"

enum
{
  ZONES_OUT_MAX = 64
};

typedef struct operator_feed_t operator_feed_t;

typedef struct operator_feed_handler_t
{
  /* POLICY takes the place of the one before, which is freed on return.  */
  void (*policy) (void *ctx, const policy_t *policy);
  void (*zones) (void *ctx);
  void *ctx; /* borrowed */
} operator_feed_handler_t;

/* All are borrowed.  */
operator_feed_t *operator_feed_new (const dialect_t *dialect, event_log_t *log,
                                    const operator_feed_handler_t *handler);
void operator_feed_free (operator_feed_t *feed);

/* Callbacks for store_follow, with the feed as context.  */
void operator_feed_begin_snapshot (void *feed);
void operator_feed_apply_record (void *feed, const keyed_record_t *record);
void operator_feed_end_snapshot (void *feed, int64_t end);

bool operator_feed_zone_is_out (const operator_feed_t *feed, const char *zone);

/* NULL before the first configuration.  */
const policy_t *operator_feed_policy (const operator_feed_t *feed);
uint64_t operator_feed_config_version (const operator_feed_t *feed);

/* Offset behind the last record that is known.  */
int64_t operator_feed_offset (const operator_feed_t *feed);

/* The state as it is handed to another sidecar; all borrowed.  */
typedef struct operator_feed_state_t
{
  uint64_t config_version;
  int64_t offset;
  const char *config_text; /* of the configuration document */
  size_t config_size;
  const char *zones_out[ZONES_OUT_MAX];
  uint32_t zones_out_count;
} operator_feed_state_t;

operator_feed_state_t operator_feed_state (const operator_feed_t *feed);

/* Takes over what is newer in another sidecar's state.  */
void operator_feed_merge (operator_feed_t *feed,
                          const operator_feed_state_t *state);

#endif
