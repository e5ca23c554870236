#ifndef REDWINGFORD_DAEMON_H
#define REDWINGFORD_DAEMON_H

/* One daemon: what its modules share.  Lock order, outermost first: backend,
   directory, tokens, the parts' own locks, timer, pool.  No module holds a
   lock while it calls another but as listed.  */

#include <pthread.h>

#include "atomics.h"
#include "config_feed.h"
#include "control.h"
#include "counters.h"
#include "directory.h"
#include "endpoint.h"
#include "exec.h"
#include "gate.h"
#include "http_out.h"
#include "misspelled.h"
#include "once_feed.h"
#include "once_serve.h"
#include "peers.h"
#include "pool.h"
#include "prober.h"
#include "recent.h"
#include "seal.h"
#include "settings.h"
#include "snapshot.h"
#include "timer.h"
#include "tokens.h"

typedef struct http_in_t http_in_t;
typedef struct admin_t admin_t;

/* The backend server beside this daemon, as it announced itself.  */
typedef struct backend_t
{
  bool present;
  bool leaving;
  bool lost; /* crashed, or silent; until it announces itself again */
  endpoint_addr_t addr;
  char service[NAME_BYTES];
  uint32_t slots;
  uint32_t connections;
  uint32_t cold_slots;
  uint32_t cold_ramp_ms;
  int64_t announced_us;
} backend_t;

struct daemon_t
{
  settings_t settings;
  const clock_source_t *clock;
  rng_t rng;
  seal_t seal;
  vm_id_t vm;
  incarnation_t incarnation;
  counters_t *counters;
  recent_t *recent;
  misspelled_t *misspelled;
  endpoint_t *endpoint;
  control_t *control;
  timer_queue_t *timers;
  pool_t *forward_pool; /* waits on other daemons */
  pool_t *run_pool;     /* waits on the backend server */
  http_out_t *out;
  directory_t *directory;
  gate_t *gate;
  exec_t *exec;
  peers_t *peers;
  config_feed_t *config;
  prober_t *prober;
  once_serve_t *once;
  once_feed_t *once_feed;
  tokens_t *tokens;
  snapshot_t snapshot;
  http_in_t *listen_in;
  http_in_t *peer_in;
  admin_t *admin;
  pthread_mutex_t backend_lock; /* guards backend */
  backend_t backend;
  shared_uint_t requests_open; /* begun and not ended */
  shared_bool_t draining;
};

/* Starts every module; NULL with *error set.  Free with daemon_free.  */
daemon_t *daemon_new (const settings_t *settings, const clock_source_t *clock,
                      error_info_t *error);

/* Leaves membership, lets what runs finish, within stop_timeout_ms.  */
void daemon_drain (daemon_t *daemon);

void daemon_free (daemon_t *daemon);

/* A copy of the backend server's announcement.  */
backend_t daemon_backend (daemon_t *daemon);

/* Whether new work may go to the backend server.  */
static inline bool
daemon_backend_serves (const backend_t *backend)
{
  return backend->present && !backend->leaving && !backend->lost;
}

/* The backend server does not answer: no work goes to it until it announces
   itself again.  */
void daemon_backend_lost (daemon_t *daemon);

/* Counts the backend server as lost when it has not announced itself of
   late.  */
void daemon_check_backend (daemon_t *daemon);

/* Takes a new announcement.  */
void daemon_announce (daemon_t *daemon, const backend_t *backend);

static inline int64_t
daemon_now_us (const daemon_t *daemon)
{
  return clock_now_us (daemon->clock);
}

#endif
