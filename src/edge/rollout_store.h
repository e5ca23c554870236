#ifndef REDWINGFORD_ROLLOUT_STORE_H
#define REDWINGFORD_ROLLOUT_STORE_H

/* Carries out what the coordinator of a roll-out does in the store: reads the
   claim and the status of a service, and appends records on condition that the
   topic has not grown.  Opens no connection before the first action.  Nothing
   is retried here; the coordinator decides what follows a failure.  */

#include "edge/event_log.h"
#include "mesh/dialect.h"

typedef struct rollout_store_t rollout_store_t;

typedef struct rollout_store_handler_t
{
  /* The read has ended; READ is NULL if it failed.  */
  void (*on_read) (void *ctx, const rollout_read_t *read);
  /* The append has ended.  POSITION is that of the record if RESULT is
     ROLLOUT_APPEND_DONE.  */
  void (*on_append) (void *ctx, rollout_append_result_t result,
                     store_position_t position);
  void *ctx; /* borrowed */
} rollout_store_handler_t;

/* LOOP, DIALECT, LOG and SERVICE are borrowed, HANDLER is copied.  */
rollout_store_t *rollout_store_new (loop_t *loop, const dialect_t *dialect,
                                    endpoint_addr_t addr, event_log_t *log,
                                    const char *service,
                                    const rollout_store_handler_t *handler);

/* An open action ends without a callback.  STORE may be NULL.  */
void rollout_store_free (rollout_store_t *store);

/* Starts ACTION, which is not ROLLOUT_ACTION_NONE, while no other is open.
   The callback comes later, never from within this function.  */
void rollout_store_start (rollout_store_t *store,
                          const rollout_action_t *action);

#endif
