#ifndef REDWINGFORD_SIDECAR_IMPL_H
#define REDWINGFORD_SIDECAR_IMPL_H

/* Internals of the sidecar module: sidecar.c creates the components and runs
   the timers, sidecar_report.c exchanges reports and documents with the other
   sidecars, sidecar_rollouts.c connects the roll-outs of versions with the
   other components, and sidecar_descriptors.c limits the use of descriptors.
   */

#include "edge/backend_watch.h"
#include "edge/entry_point.h"
#include "edge/members.h"
#include "edge/metrics.h"
#include "edge/operator_feed.h"
#include "edge/rollout_feed.h"
#include "edge/serve.h"
#include "edge/sidecar.h"
#include "edge/store.h"
#include "mesh/catch_up.h"

enum
{
  REPORT_LIST_MAX = 128 /* call ratios, or demands, in one report */
};

typedef enum sidecar_phase_t
{
  PHASE_RUNNING,
  PHASE_NOT_READY, /* fails readiness checks, still serves */
  PHASE_DRAINING,  /* closes each caller's connection after its response */
  PHASE_FLUSHING   /* has ended open requests, writes the last responses */
} sidecar_phase_t;

/* Data for the next reports.  */
typedef struct pending_report_t
{
  mesh_ratio ratios[REPORT_LIST_MAX];
  uint32_t ratio_count;
  /* For the sidecars of this availability zone.  */
  mesh_demand own_zone_demands[REPORT_LIST_MAX];
  uint32_t own_zone_demand_count;
  /* For the other availability zones, which get fewer reports.  */
  mesh_demand cross_zone_demands[REPORT_LIST_MAX];
  uint32_t cross_zone_demand_count;
  mesh_suspect suspects[SUSPECTS_MAX];
  uint32_t suspect_count;
} pending_report_t;

struct sidecar_t
{
  sidecar_settings_t settings;
  char settings_path[PATH_BYTES];
  const dialect_t *dialect;
  loop_t loop;
  event_log_t log;
  rng_t rng;
  uint64_t incarnation;
  placement_t *placement;
  call_graph_t *graph;
  call_learner_t *learner;
  quota_t *quota;
  crash_suspects_t *suspects;
  runner_t *runner;
  serve_context_t serve_context;
  backend_watch_t *backend_watch;
  peer_set_t *peers;
  entry_point_t *entry;
  store_t *store;
  operator_feed_t *operator_feed;
  catch_up_t catch_up; /* sources for a newer operators' state */
  /* Newest configuration version and knowledge of the operators' records that
     other sidecars have reported.  */
  uint64_t newest_version;
  topic_knowledge_t newest_knowledge;
  rollout_feed_t *rollouts;
  members_t *members;
  http_server_t *caller_server;
  http_server_t *readiness_server;
  http_server_t *announcement_server;
  http_server_t *metrics_server;
  ev_timer tick_timer;
  ev_timer report_timer;
  ev_signal sigterm_watcher;
  ev_signal sigint_watcher;
  ev_signal sighup_watcher;
  loop_task_t report_task;     /* sends reports before the timer expires */
  bool report_task_cross_zone; /* to the other availability zones too */
  sidecar_phase_t phase;
  int64_t stop_begin_us;
  /* When open requests are ended; set when the stop begins.  */
  int64_t drain_begin_us;
  int64_t drain_deadline_us;
  int64_t load_logged_us;
  mesh_identity identity; /* storage for the identity in a full report */
  pending_report_t pending_report;
  uint32_t report_count;
  /* What the last lines about failures of accept and dropped frames told.  */
  uint64_t logged_accept_failures[LISTENER_COUNT];
  uint64_t logged_frames_dropped[TRAFFIC_COUNT];
  descriptor_budget_t descriptors;
  uint64_t logged_limit_events; /* what the last line callers-limited told */
  uint64_t logged_lacking;      /* what the last line sockets-lacking told */
};

/* --- sidecar_descriptors.c --------------------------------------------- */

/* Splits the descriptors anew, for the settings, the process's limit and the
   number of sidecars, and limits the connections of the listeners.  */
void sidecar_apply_descriptor_limits (sidecar_t *sidecar);

/* Logs what was done to keep callers to their part, and which sockets could
   not be opened, if anything has changed since the last call.  */
void sidecar_log_descriptors (sidecar_t *sidecar);

/* Fills OPEN, which is zeroed, with the sockets that are open by use.  Those
   of the process's own use and of refusals, which count as callers', are
   left.  */
void sidecar_count_descriptors (const sidecar_t *sidecar,
                                uint32_t open[DESCRIPTORS_USE_COUNT]);

/* --- sidecar_rollouts.c ------------------------------------------------ */

/* Creates the component that takes part in roll-outs.  The entry point, the
   runner, the peers and the placement must exist.  */
void sidecar_create_rollouts (sidecar_t *sidecar);

/* Lets the coordinators of roll-outs act, and closes or opens the backend
   server of this VM as the state of its version demands.  To be called about
   every 50 ms.  */
void sidecar_tick_rollouts (sidecar_t *sidecar);

/* Returns the callbacks for the subscription to the operators' topic.  */
store_handler_t sidecar_operator_records (sidecar_t *sidecar);

/* --- sidecar_report.c -------------------------------------------------- */

/* Returns the callbacks for peer_set_new, with the sidecar as context.  */
peer_handler_t sidecar_peer_handler (sidecar_t *sidecar);

/* Fills *SERVER with the state of the backend server of this VM.  Its strings
   are borrowed from SIDECAR.  */
void sidecar_describe_own_server (sidecar_t *sidecar,
                                  placement_server_t *server);

/* Sends full reports at once.  CTX is the sidecar; runs as report_task.  */
void sidecar_send_reports (void *ctx);

/* To be called when the state of the backend server of this VM has changed.
   The other sidecars of all availability zones place requests by its state, so
   reports are sent in this loop iteration.  CTX is the sidecar.  */
void sidecar_own_server_changed (void *ctx);

/* To be called when the operators' state has changed.  Sends reports within
   this availability zone only: all sidecars read the state from the store at
   about the same time, and those that cannot reach the store learn of the new
   state from a sidecar of their zone.  */
void sidecar_operator_state_changed (sidecar_t *sidecar);

/* Requests the operators' state from another sidecar, if one has reported a
   newer state and a request is due.  */
void sidecar_request_operator_state (sidecar_t *sidecar);

/* Visitors that add an entry to the next reports; CTX is the sidecar.  */
void sidecar_add_ratio (void *ctx, const char *caller, const char *callee,
                        double ratio);
void sidecar_add_demand (void *ctx, const quota_report_t *report);

/* Updates the call graph of this sidecar with RATIO.  */
void sidecar_apply_ratio (sidecar_t *sidecar, const mesh_ratio *ratio);

#endif
