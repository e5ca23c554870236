#ifndef REDWINGFORD_PLACEMENT_H
#define REDWINGFORD_PLACEMENT_H

/* What a sidecar knows of the others: which backend server each stands beside
   and how loaded that is.  From it follow where a request is sent (choose.h)
   and how hard each service presses.  No locks; the caller passes the time.
 */

#include "choose.h"
#include "mesh/call.h"
#include "rng.h"

typedef struct placement_t placement_t;

/* ZONE is this sidecar's.  RNG is borrowed.  */
placement_t *placement_new (const char *zone, const rng_t *rng,
                            int64_t now_us);
void placement_free (placement_t *placement);

/* The sidecar VM and the backend server beside it.  */
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
} placement_server_t;

void placement_update_server (placement_t *placement,
                              const placement_server_t *server,
                              int64_t now_us);

/* The load of a server that was put before.  */
void placement_update_load (placement_t *placement, vm_id_t vm,
                            const server_load_t *load, int64_t now_us);

/* The sidecar cannot be reached, or has left.  */
void placement_set_unreachable (placement_t *placement, vm_id_t vm,
                                int64_t now_us);
void placement_remove_server (placement_t *placement, vm_id_t vm);

/* A server of SERVICE to send to, not one of EXCLUDE.  False: none.  */
bool placement_pick_server (placement_t *placement, const char *service,
                            const vm_id_t *exclude, size_t count,
                            int64_t now_us, vm_id_t *vm);
void placement_record_send (placement_t *placement, const char *service,
                            vm_id_t vm);
void placement_record_result (placement_t *placement, const char *service,
                              vm_id_t vm, run_result_t result, int64_t run_us,
                              const server_load_t *load, int64_t now_us);

/* Servers of SERVICE that accept requests.  */
uint32_t placement_accepting_count (const placement_t *placement,
                                    const char *service);

/* Share of the callers' work for SERVICE that should be refused where it
   begins, by what its backend servers tell.  */
double placement_service_pressure (placement_t *placement, const char *service,
                                   int64_t now_us);

#endif
