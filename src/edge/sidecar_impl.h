#ifndef REDWINGFORD_SIDECAR_IMPL_H
#define REDWINGFORD_SIDECAR_IMPL_H

/* Shared by sidecar.c, the assembly and its timers, and sidecar_report.c, what
   sidecars tell each other.  */

#include "edge/backend_watch.h"
#include "edge/entry_point.h"
#include "edge/members.h"
#include "edge/operator_feed.h"
#include "edge/serve.h"
#include "edge/sidecar.h"
#include "edge/store.h"
#include "mesh/catch_up.h"

enum
{
  REPORT_LIST_MAX = 128 /* services and accounts in one report */
};

typedef enum phase_t
{
  PHASE_RUNNING,
  PHASE_NOTICE,   /* not ready any more, still serving */
  PHASE_DRAINING, /* each answer closes its connection */
  PHASE_ENDING    /* what was open has ended; last answers go out */
} phase_t;

/* Changes that the next reports tell.  */
typedef struct fleet_tell_t
{
  mesh_ratio ratios[REPORT_LIST_MAX];
  uint32_t ratio_count;
  mesh_demand near[REPORT_LIST_MAX]; /* to the own availability zone */
  uint32_t near_count;
  mesh_demand far[REPORT_LIST_MAX]; /* to the others, less often */
  uint32_t far_count;
  mesh_suspect suspects[SUSPECTS_MAX];
  uint32_t suspect_count;
} fleet_tell_t;

struct sidecar_t
{
  sidecar_settings_t settings;
  char path[PATH_BYTES];
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
  serve_context_t serve;
  backend_watch_t *watch;
  peer_set_t *peers;
  entry_point_t *entry;
  store_t *store;
  operator_feed_t *operators;
  catch_up_t catch_up;     /* of the operators' state */
  uint64_t newest_version; /* that any sidecar has told of */
  int64_t newest_offset;
  members_t *members;
  http_server_t *callers;
  http_server_t *ready;
  http_server_t *announce;
  http_server_t *metrics;
  ev_timer tick;
  ev_timer report;
  ev_signal term;
  ev_signal interrupt;
  ev_signal hup;
  loop_task_t beliefs;
  bool beliefs_far; /* the other availability zones are told at once too */
  phase_t phase;
  int64_t stop_us;     /* when the stop began */
  int64_t stop_end_us; /* when what is open ends; fixed as the stop begins */
  int64_t load_logged_us;
  mesh_identity identity; /* what a whole report borrows */
  fleet_tell_t tell;
  uint32_t reports;
};

/* --- sidecar_report.c -------------------------------------------------- */

/* Callbacks for the peers, with the sidecar as context.  */
peer_handler_t sidecar_peer_handler (sidecar_t *sidecar);

/* What is believed of the own backend server.  */
void sidecar_own_server (sidecar_t *sidecar, placement_server_t *server);

/* Tells the others at once: the task of sidecar->beliefs.  */
void sidecar_tell_beliefs (void *ctx);

/* The backend server beside this sidecar has changed: all place by it.  */
void sidecar_beliefs_changed (void *ctx);

/* The operators' state has changed.  All sidecars take it from the store at
   about the same time; those that cannot reach it hear of it nearby.  */
void sidecar_state_changed (sidecar_t *sidecar);

/* Has the operators' state caught up with what others have.  */
void sidecar_catch_up (sidecar_t *sidecar);

/* Visitors that put news into the next reports; CTX is the sidecar.  */
void sidecar_add_ratio (void *ctx, const char *caller, const char *callee,
                        double ratio);
void sidecar_add_demand (void *ctx, const quota_report_t *news);
void sidecar_take_ratio (sidecar_t *sidecar, const mesh_ratio *ratio);

#endif
