#ifndef REDWINGFORD_MEMBERS_H
#define REDWINGFORD_MEMBERS_H

/* Membership of the fleet.  Each sidecar writes one record to the store, with
   its address as the key, when it starts, and deletes it when it stops.
   Sidecars learn everything else about each other from the reports on their
   links.

   When the store is restored from an older copy, a sidecar writes its record
   again if it was lost.  Other records that were lost are no departures while
   there is a link to their sidecars, and for some seconds.  */

#include "edge/event_log.h"
#include "edge/store.h"

typedef struct members_t members_t;

typedef struct members_handler_t
{
  /* VM, another sidecar, became a member or ceased to be one.  */
  void (*on_joined) (void *ctx, vm_id_t vm);
  void (*on_left) (void *ctx, vm_id_t vm);
  /* Whether there is a link to VM.  */
  bool (*is_linked) (void *ctx, vm_id_t vm);
  void *ctx; /* borrowed */
} members_handler_t;

/* OWN_VM is the id of this sidecar, in the availability zone ZONE.  LOOP,
   STORE, TOPIC and LOG are borrowed, ZONE and HANDLER are copied.  */
members_t *members_new (loop_t *loop, store_t *store, const char *topic,
                        vm_id_t own_vm, uint64_t incarnation, const char *zone,
                        event_log_t *log, const members_handler_t *handler);
void members_free (members_t *members);

/* Subscribes to the topic and writes the record of this sidecar.  */
void members_join (members_t *members);

/* Adds VM, whose link is up, as a member, unless a record of VM was read
   before.  A later snapshot without a record of VM removes it.  */
void members_add_peer (members_t *members, vm_id_t vm);

/* Deletes the record of this sidecar.  */
void members_leave (members_t *members);

/* Returns the number of members, this sidecar included.  */
uint32_t members_count (const members_t *members);

#endif
