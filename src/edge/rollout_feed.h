#ifndef REDWINGFORD_ROLLOUT_FEED_H
#define REDWINGFORD_ROLLOUT_FEED_H

/* Roll-outs of server versions at one sidecar.  Takes the orders from the
   operators' records, exchanges states, claims and counts of runs in the
   sidecars' reports, carries out what the coordinators decide, and says which
   version an attempt may be sent to.  The decisions are made by rollout.h,
   rollout_evidence.h and rollout_coordinator.h.  Without an order it does
   nothing.  */

#include "edge/event_log.h"
#include "edge/peer.h"
#include "edge/runner.h"
#include "mesh/dialect.h"
#include "mesh/placement.h"
#include "rng.h"

typedef struct rollout_feed_t rollout_feed_t;

typedef struct rollout_feed_handler_t
{
  /* The state of a roll-out has changed: full reports are to be sent on all
     links in this loop iteration, and rollout_feed_closes_server may differ.
   */
  void (*on_changed) (void *ctx);
  /* Fills *SERVER with the state of the backend server of this VM.  */
  void (*describe_own_server) (void *ctx, placement_server_t *server);
  void *ctx; /* borrowed */
} rollout_feed_handler_t;

/* All pointers are borrowed.  */
typedef struct rollout_feed_deps_t
{
  loop_t *loop;
  const dialect_t *dialect;
  const rng_t *rng;
  event_log_t *log;
  placement_t *placement;
  peer_set_t *peers;
  const runner_t *runner;
  const char *service; /* of the backend server of this VM */
  uint64_t incarnation;
  endpoint_addr_t store;
  double share; /* bound on the share of a version that is observed */
} rollout_feed_deps_t;

/* DEPS and HANDLER are copied.  Free with rollout_feed_free.  */
rollout_feed_t *rollout_feed_new (const rollout_feed_deps_t *deps,
                                  const rollout_feed_handler_t *handler);
/* FEED may be NULL.  */
void rollout_feed_free (rollout_feed_t *feed);

/* --- the operators' records -------------------------------------------- */

/* Like the callbacks of store_subscribe, for the operators' topic.  A record
   that is no valid order counts as a deleted one.  An order that a snapshot
   lacks was deleted.  With the first snapshot of a new era, statuses that the
   restored store has lost are written again.  */
void rollout_feed_begin_snapshot (rollout_feed_t *feed);
void rollout_feed_apply_record (rollout_feed_t *feed,
                                const keyed_record_t *record);
void rollout_feed_end_snapshot (rollout_feed_t *feed, store_position_t end);

/* --- reports ----------------------------------------------------------- */

/* Adds the roll-outs to REPORT.  A report that is not FULL gets only those
   that are under way and concern this sidecar's server or claim.  The lists
   are borrowed until the next call.  */
void rollout_feed_fill_report (rollout_feed_t *feed, mesh_report *report,
                               bool full);

/* Applies the roll-outs in a report of the sidecar of VM.  To be called before
   the placement learns of the server in the same report, so that a server of a
   version under observation is not used without restriction.  */
void rollout_feed_apply_report (rollout_feed_t *feed, vm_id_t vm,
                                uint64_t incarnation,
                                const mesh_report *report);

/* The link to VM is down.  */
void rollout_feed_note_disconnect (rollout_feed_t *feed, vm_id_t vm);

/* --- timers ------------------------------------------------------------ */

/* Lets the coordinators act.  To be called every 50 ms or so.  */
void rollout_feed_tick (rollout_feed_t *feed);

/* Compares the versions.  To be called with each report, at most four times a
   second.  */
void rollout_feed_evaluate (rollout_feed_t *feed);

/* --- attempts ---------------------------------------------------------- */

/* An attempt to send a request, between the choice of a server and its
   count.  */
typedef struct rollout_attempt_t
{
  bool is_retry; /* the request was sent before, to any server */
  bool had_new_server;
} rollout_attempt_t;

/* Picks a server of SERVICE like placement_pick_server, of the version that
   the roll-out of SERVICE allows.  ATTEMPT->is_retry is set by the caller.  */
bool rollout_feed_pick_server (rollout_feed_t *feed, const char *service,
                               rollout_attempt_t *attempt,
                               const vm_id_t *exclude, size_t exclude_count,
                               vm_id_t *vm);

/* Counts an attempt that is sent to VM.  */
void rollout_feed_record_send (rollout_feed_t *feed, const char *service,
                               const rollout_attempt_t *attempt, vm_id_t vm);

/* Whether VM has a new server of a roll-out that is being observed: its run
   times must not change what is known of the routes.  */
bool rollout_feed_observes_server (const rollout_feed_t *feed,
                                   const char *service, vm_id_t vm);

/* --- the own server ---------------------------------------------------- */

/* Whether the backend server of this VM, which has VERSION, takes no new
   requests: its version was halted, or all traffic goes to another one.  */
bool rollout_feed_closes_server (const rollout_feed_t *feed,
                                 const char *version);

/* Counts the end of a run at the backend server of this VM.
   COLD_START_UNTIL_US is the end of the server's cold start.  */
void rollout_feed_record_run (rollout_feed_t *feed, const run_end_t *end,
                              int64_t cold_start_until_us);

/* Appends the metrics of the roll-outs to OUT.  */
void rollout_feed_write_metrics (const rollout_feed_t *feed, bytes_t *out);

#endif
