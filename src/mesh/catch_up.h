#ifndef REDWINGFORD_CATCH_UP_H
#define REDWINGFORD_CATCH_UP_H

/* Chooses the sidecar to ask for the operators' state, which is the
   configuration document and the zone evacuations, when other sidecars have a
   newer one.  The store usually delivers the new state a moment later, so the
   first request is delayed.  One sidecar is asked at a time, those in the
   local availability zone first, since the document is large and all sidecars
   fall behind at once.  Does no I/O and reads no clock: the caller passes the
   time.  */

#include "types.h"

enum
{
  CATCH_UP_SOURCES_MAX = 8
};

typedef struct catch_up_source_t
{
  vm_id_t vm;
  bool cross_zone; /* in another availability zone */
} catch_up_source_t;

/* All zero if the local state is the newest known.  */
typedef struct catch_up_t
{
  /* Those in the local zone first.  */
  catch_up_source_t sources[CATCH_UP_SOURCES_MAX];
  uint32_t count;
  uint32_t next_index;     /* of the source to ask next, modulo COUNT */
  int64_t behind_since_us; /* when a newer state was first seen; 0 is none */
  int64_t requested_us;    /* time of the last request; 0 is none */
} catch_up_t;

/* Notes that the sidecar of VM has a newer state.  CROSS_ZONE is true when VM
   is in another availability zone.  If the list is full, a source in the local
   zone replaces the last one of another zone.  */
void catch_up_add_source (catch_up_t *catch_up, vm_id_t vm, bool cross_zone,
                          int64_t now_us);

/* Clears the sources, after the newest known state has arrived.  */
void catch_up_reset (catch_up_t *catch_up);

/* Returns true when a request is due, and stores the sidecar to ask in *VM.
   Assumes that the request is sent at NOW_US.  */
bool catch_up_next_source (catch_up_t *catch_up, int64_t now_us, vm_id_t *vm);

#endif
