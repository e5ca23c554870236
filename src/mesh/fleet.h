#ifndef REDWINGFORD_FLEET_H
#define REDWINGFORD_FLEET_H

/* What a sidecar knows of the others: which backend server each stands beside
   and how loaded that is.  From it follow where a request is sent (choose.h)
   and how hard each service presses.  No locks; the caller passes the time.
 */

#include "choose.h"
#include "mesh/call.h"
#include "rng.h"

typedef struct fleet_t fleet_t;

/* ZONE is this sidecar's.  RNG is borrowed.  */
fleet_t *fleet_new (const char *zone, const rng_t *rng, int64_t now_us);
void fleet_free (fleet_t *fleet);

/* The sidecar VM and the backend server beside it.  */
typedef struct fleet_server_t
{
  vm_id_t vm;
  uint64_t incarnation; /* of the sidecar */
  const char *service;
  const char *zone;
  const char *server_id;
  uint32_t slots;
  bool accepting;
  server_load_t load;
} fleet_server_t;

void fleet_put (fleet_t *fleet, const fleet_server_t *server, int64_t now_us);

/* The load of a server that was put before.  */
void fleet_put_load (fleet_t *fleet, vm_id_t vm, const server_load_t *load,
                     int64_t now_us);

/* The sidecar cannot be reached, or has left.  */
void fleet_down (fleet_t *fleet, vm_id_t vm, int64_t now_us);
void fleet_remove (fleet_t *fleet, vm_id_t vm);

/* A server of SERVICE to send to, not one of EXCLUDE.  False: none.  */
bool fleet_pick (fleet_t *fleet, const char *service, const vm_id_t *exclude,
                 size_t count, int64_t now_us, vm_id_t *vm);
void fleet_sent (fleet_t *fleet, const char *service, vm_id_t vm);
void fleet_done (fleet_t *fleet, const char *service, vm_id_t vm,
                 run_result_t result, int64_t run_us,
                 const server_load_t *load, int64_t now_us);

/* Servers of SERVICE that accept requests.  */
uint32_t fleet_accepting (const fleet_t *fleet, const char *service);

/* Share of the callers' work for SERVICE that should be refused where it
   begins, by what its backend servers tell.  */
double fleet_pressure (fleet_t *fleet, const char *service, int64_t now_us);

#endif
