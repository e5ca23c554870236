#ifndef REDWINGFORD_ROLLOUT_FEED_IMPL_H
#define REDWINGFORD_ROLLOUT_FEED_IMPL_H

/* Internals of the roll-out feed.  rollout_feed.c keeps the orders and answers
   for attempts and the own server, rollout_feed_report.c exchanges reports,
   and rollout_feed_steps.c carries out what the coordinators decide.  */

#include "edge/rollout_feed.h"
#include "edge/rollout_store.h"
#include "mesh/rollout_coordinator.h"
#include "mesh/rollout_evidence.h"

enum
{
  /* Orders known at a time.  Ended ones make room for new ones.  */
  ROLLOUT_ENTRIES_MAX = 16
};

/* The server beside a sidecar, as seen from one order.  The values are sent to
   other sidecars.  */
typedef enum rollout_server_t
{
  ROLLOUT_SERVER_NONE, /* of another service, or not known */
  ROLLOUT_SERVER_OLD,
  ROLLOUT_SERVER_NEW
} rollout_server_t;

/* What another sidecar has reported of one order.  */
typedef struct rollout_peer_state_t
{
  vm_id_t vm;
  uint32_t server; /* rollout_server_t */
  bool accepting;
  uint32_t slots;
  uint32_t running_count;
  uint32_t state; /* rollout_state_t; 0 is that it does not know the order */
  int64_t link_down_since_us; /* 0 if the link is up */
} rollout_peer_state_t;

/* One service with an order.  */
typedef struct rollout_entry_t
{
  rollout_feed_t *feed;
  rollout_t *rollout;
  rollout_evidence_t *evidence;
  rollout_counter_t counter; /* runs of the own server */
  rollout_coordinator_t *coordinator;
  rollout_store_t *store;
  /* The action that STORE carries out.  */
  rollout_action_t action;
  int64_t learned_us;
  /* The state may have been reached before this process started: no request
     is sent to the new version before the state is known.  */
  bool state_is_known;
  bool seen_in_snapshot;    /* in the one that is being read */
  int64_t missing_since_us; /* from a snapshot of a newer era; 0 is not */
  /* The order was deleted after the roll-out was completed: all servers are
     used.  */
  bool retired;
  char halted_version[NAME_BYTES]; /* of the order before; "" is none */
  uint32_t applied_state; /* rollout_state_t that the placement knows */
  int64_t waiting_logged_us;
  rollout_peer_state_t *peers; /* ordered by vm */
  size_t peer_count;
} rollout_entry_t;

struct rollout_feed_t
{
  rollout_feed_deps_t deps;
  rollout_feed_handler_t handler;
  rollout_entry_t *entries[ROLLOUT_ENTRIES_MAX];
  uint32_t entry_count;
  uint64_t orders_rejected; /* unreadable, or too many */
  uint32_t era;             /* of the last complete snapshot */
  /* Storage for the lists of a report.  */
  mesh_rollout report_rollouts[MESH_ROLLOUTS_MAX];
  mesh_rollout_claim report_claims[MESH_ROLLOUTS_MAX];
  mesh_rollout_route report_routes[MESH_ROLLOUTS_MAX][MESH_ROLLOUT_ROUTES_MAX];
};

/* --- rollout_feed.c ---------------------------------------------------- */

/* Returns NULL if no order of SERVICE is known.  */
rollout_entry_t *rollout_feed_find (const rollout_feed_t *feed,
                                    const char *service);

/* Learns ORDER, from a record or from a report.  Returns its entry, or NULL if
   ORDER is older than the known one or there is no room.  */
rollout_entry_t *rollout_feed_learn (rollout_feed_t *feed,
                                     const rollout_order_t *order,
                                     int64_t elapsed_us, const char *source);

/* Applies a change of the state to the placement, logs it, and calls
   on_changed.  EXPLANATION tells what decided it.  Does nothing if the state
   has been applied already.  */
void rollout_entry_apply_state (rollout_entry_t *entry,
                                const char *explanation);

/* Uses all servers again, after the order of a completed roll-out was
   deleted.  */
void rollout_entry_retire (rollout_entry_t *entry);

/* What the server is that has VERSION and runs beside a sidecar of the
   service.  */
rollout_server_t rollout_entry_server_kind (const rollout_entry_t *entry,
                                            const char *version);

/* Whether the roll-out is observing or shifting.  */
bool rollout_entry_is_under_way (const rollout_entry_t *entry);

/* --- rollout_feed_report.c --------------------------------------------- */

/* Fills *STATE with that of this sidecar.  */
void rollout_entry_describe_own (const rollout_entry_t *entry,
                                 rollout_peer_state_t *state);

/* Returns the facts about all sidecars, the own one included, in an array of
 *COUNT that the caller frees.  */
rollout_peer_t *rollout_entry_list_peers (const rollout_entry_t *entry,
                                          size_t *count);

/* --- rollout_feed_steps.c ---------------------------------------------- */

/* Creates the store client and the coordinator of ENTRY.  */
void rollout_entry_start_coordinator (rollout_entry_t *entry);
void rollout_entry_stop_coordinator (rollout_entry_t *entry);

/* Lets the coordinator of ENTRY act.  */
void rollout_entry_step (rollout_entry_t *entry);

#endif
