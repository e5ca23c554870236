#ifndef REDWINGFORD_PLACEMENT_H
#define REDWINGFORD_PLACEMENT_H

/* A sidecar's view of the other sidecars: which backend server each runs
   beside and how loaded that server is.  The view decides which server a
   request is sent to (choose.h) and how high the pressure of each service is.
   The module takes no locks and reads no clock: the caller serializes the
   calls and passes the time.  */

#include "choose.h"
#include "mesh/call.h"
#include "rng.h"

typedef struct placement_t placement_t;

/* ZONE is the availability zone of this sidecar.  RNG is borrowed.  Free the
   result with placement_free.  */
placement_t *placement_new (const char *zone, const rng_t *rng,
                            int64_t now_us);

/* PLACEMENT may be NULL.  */
void placement_free (placement_t *placement);

/* The sidecar of VM and the backend server beside it.  */
typedef struct placement_server_t
{
  vm_id_t vm;
  uint64_t incarnation; /* of the sidecar */
  const char *service;
  const char *zone;
  const char *server_id;
  uint32_t slots;
  bool accepting;
  server_load_t load;
  const char *version; /* of the server's program; "" is not known */
} placement_server_t;

/* Adds a server or updates what is known of it.  */
void placement_update_server (placement_t *placement,
                              const placement_server_t *server,
                              int64_t now_us);

/* Updates the load of a known server; ignored for an unknown one.  */
void placement_update_load (placement_t *placement, vm_id_t vm,
                            const server_load_t *load, int64_t now_us);

/* The sidecar of VM is unreachable or has left: its server is not picked until
   placement_update_server reports it as accepting again.  */
void placement_set_unreachable (placement_t *placement, vm_id_t vm,
                                int64_t now_us);

/* Forgets the sidecar of VM and its server.  */
void placement_remove_server (placement_t *placement, vm_id_t vm);

/* Divides the servers of SERVICE, while a version is rolled out, into new
   ones, of TARGET_VERSION, and old ones, of all other versions.  SHIFTED is
   whether requests go to the new ones.  Without a division, or after one with
   TARGET_VERSION NULL, all servers count as old.  Affects only the picks and
   placement_has_other_server.  */
void placement_set_rollout (placement_t *placement, const char *service,
                            const char *target_version, bool shifted,
                            int64_t now_us);

/* Sets the version of SERVICE whose servers are not picked even as old ones,
   since its roll-out was halted; NULL is none.  */
void placement_set_halted_version (placement_t *placement, const char *service,
                                   const char *version, int64_t now_us);

/* Returns whether the new server with INDEX among the COUNT that accept
   requests, ordered by VM, has its turn.  Until requests go to the new
   servers, only those that have can be picked.  */
typedef bool (*placement_turn_t) (void *ctx, uint32_t index, uint32_t count);
/* Applies HAS_TURN to the new servers of SERVICE.  Returns how many of them
   accept requests.  */
uint32_t placement_set_turns (placement_t *placement, const char *service,
                              placement_turn_t has_turn, void *ctx,
                              int64_t now_us);

/* Whether the server of VM is a new one of SERVICE.  */
bool placement_is_new_server (const placement_t *placement,
                              const char *service, vm_id_t vm);

/* Picks a new server of SERVICE that has its turn; otherwise like
   placement_pick_server.  */
bool placement_pick_new_server (placement_t *placement, const char *service,
                                const vm_id_t *exclude, size_t exclude_count,
                                int64_t now_us, vm_id_t *vm);

/* Picks an old server of SERVICE to send a request to, other than the
   EXCLUDE_COUNT ones in EXCLUDE.  Returns false when there is none.  */
bool placement_pick_server (placement_t *placement, const char *service,
                            const vm_id_t *exclude, size_t exclude_count,
                            int64_t now_us, vm_id_t *vm);

/* Counts a request that was sent to VM.  */
void placement_record_send (placement_t *placement, const char *service,
                            vm_id_t vm);

/* Records the end of a request that was sent to VM.  LOAD came with the
   reply; LOAD->window is 0 if the reply carried no load.  */
void placement_record_result (placement_t *placement, const char *service,
                              vm_id_t vm, run_result_t result, int64_t run_us,
                              const server_load_t *load, int64_t now_us);

/* Records the run time of a request of SERVICE at its server.  Unlike the
   RUN_US of placement_record_result, it must not be scaled.  */
void placement_record_run_time (placement_t *placement, const char *service,
                                int64_t run_us);

/* Whether a server of SERVICE other than that of VM accepts requests and can
   be picked for a retry.  */
bool placement_has_other_server (const placement_t *placement,
                                 const char *service, vm_id_t vm);

/* Number of servers of SERVICE that accept requests.  */
uint32_t placement_accepting_count (const placement_t *placement,
                                    const char *service);

/* Share of the callers' requests for SERVICE that should be refused at their
   entry points, 0 to 1, from the loads that the sidecars of its backend
   servers report.  */
double placement_service_pressure (placement_t *placement, const char *service,
                                   int64_t now_us);

#endif
