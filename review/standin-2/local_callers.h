#ifndef REDWINGFORD_REVIEW_LOCAL_CALLERS_H
#define REDWINGFORD_REVIEW_LOCAL_CALLERS_H

/* Callers beside one sidecar: each sends a read on a kept connection, waits
   for its end and sends the next one.  */

#include "fleet.h"

typedef struct local_callers_t
{
  fleet_t *fleet;
  int at;
  const char *path;
  uint32_t count;
  bool stopped;
  /* Requests that a backend server ran and whose kept connection then ended
     without an answer (LOST).  */
  uint32_t lost;
  uint32_t answered;
} local_callers_t;

/* Starts CALLERS->count callers.  CALLERS is borrowed.  */
void local_callers_start (local_callers_t *callers);

#endif
