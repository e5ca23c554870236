#ifndef REDWINGFORD_CATCH_UP_H
#define REDWINGFORD_CATCH_UP_H

/* Whom a sidecar asks for the operators' state when others have a newer one.
   The store usually brings it a moment later, so the first question waits;
   one sidecar is asked at a time, those of the own availability zone first,
   since the document is large and all sidecars fall behind at once.
   Decisions only; the caller passes the time.  */

#include "types.h"

enum
{
  CATCH_UP_SOURCES = 8
};

typedef struct catch_up_source_t
{
  vm_id_t vm;
  bool far; /* in another availability zone */
} catch_up_source_t;

/* All zero is "not behind".  */
typedef struct catch_up_t
{
  catch_up_source_t sources[CATCH_UP_SOURCES]; /* near ones first */
  uint32_t count;
  uint32_t next;     /* to ask */
  int64_t behind_us; /* since when; 0 is "not behind" */
  int64_t asked_us;  /* last; 0 is never */
} catch_up_t;

/* The sidecar VM has a newer state.  */
void catch_up_add_source (catch_up_t *catch_up, vm_id_t vm, bool far,
                          int64_t now_us);

/* The newest state that was heard of has come.  */
void catch_up_reset (catch_up_t *catch_up);

/* Whether to ask *VM now.  */
bool catch_up_next_source (catch_up_t *catch_up, int64_t now_us, vm_id_t *vm);

#endif
