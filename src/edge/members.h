#ifndef REDWINGFORD_MEMBERS_H
#define REDWINGFORD_MEMBERS_H

/* Which sidecars there are: each writes one record under its address into the
   store when it starts, and drops it when it stops.  Everything else about a
   sidecar is told over the link to it.  */

#include "edge/event_log.h"
#include "edge/store.h"

typedef struct members_t members_t;

typedef struct members_handler_t
{
  void (*joined) (void *ctx, vm_id_t vm);
  void (*left) (void *ctx, vm_id_t vm);
  void *ctx; /* borrowed */
} members_handler_t;

/* All are borrowed.  OWN is this sidecar.  */
members_t *members_new (store_t *store, const char *topic, vm_id_t own,
                        uint64_t incarnation, const char *zone,
                        event_log_t *log, const members_handler_t *handler);
void members_free (members_t *members);

/* Begins to follow the topic and writes the own record.  */
void members_join (members_t *members);

/* A link to VM is up: a member whose record has not been read yet.  */
void members_add_peer (members_t *members, vm_id_t vm);

/* Drops the own record.  */
void members_leave (members_t *members);

uint32_t members_count (const members_t *members);

#endif
