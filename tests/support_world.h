#ifndef REDWINGFORD_SUPPORT_WORLD_H
#define REDWINGFORD_SUPPORT_WORLD_H

/* A fleet of real sidecar processes with stand-ins around it, in one process
   and on one event loop: backend servers, the store, callers, and a relay in
   front of each sidecar's links and of its way to the store.  One ledger holds
   what callers were told and what backend servers ran; the promises are
   checked as both come in.  */

#include "support_proc.h"
#include "support_relay.h"
#include "support_store.h"

enum
{
  WORLD_ZONES = 3,
  WORLD_SIDECARS = 6, /* two services, one server of each in each zone */
  WORLD_REQUESTS_MAX = 20000
};

typedef struct world_t world_t;

/* Starts the fleet.  DIR takes the processes' logs.  False when a process
   cannot be started.  */
world_t *world_new (uint64_t seed, const char *dir);
/* Ends all that was started.  */
void world_free (world_t *world);

loop_t *world_loop (world_t *world);

/* Serves for MS; callers send RATE requests a second.  */
void world_run (world_t *world, int64_t ms, uint32_t rate);

/* Whether each sidecar answers its readiness check.  */
bool world_is_ready (world_t *world);

/* Faults.  AT is a sidecar.  */
void world_signal (world_t *world, int at, int signal_number);
bool world_is_running (world_t *world, int at);
void world_restart (world_t *world, int at); /* if it has ended */
/* Ends all by SIGTERM; whether each ended by itself with status 0.  */
bool world_stop_all (world_t *world);
void world_set_links (world_t *world, int at, relay_fault_t fault);
void world_set_store_path (world_t *world, int at, relay_fault_t fault);
void world_set_store (world_t *world, fake_fault_t fault);
void world_forget_history (world_t *world);

typedef enum backend_fault_t
{
  BACKEND_WELL,
  BACKEND_CUTS,   /* loses the answer of some runs */
  BACKEND_SPOILS, /* a second answer behind some answers */
  BACKEND_FAILS,  /* 500 for some */
  BACKEND_SLOW,
  BACKEND_GONE, /* crashed; comes back as another instance */
  BACKEND_FAULT_COUNT
} backend_fault_t;

void world_set_backend (world_t *world, int at, backend_fault_t fault);

/* The operator.  */
void world_set_zone_out (world_t *world, int zone, bool out);
void world_publish (world_t *world); /* a new version, another second key */

typedef struct world_result_t
{
  uint64_t sent;
  uint64_t answered;
  uint64_t refused;
  uint64_t unknown;
  uint64_t runs;
  uint64_t violations;
  char first[512]; /* violation */
} world_result_t;

/* So far, with what can be told only at the end if AT_END.  */
world_result_t world_result (world_t *world, bool at_end);

#endif
