#ifndef REDWINGFORD_EPOCHS_PART_H
#define REDWINGFORD_EPOCHS_PART_H

/* A thread that keeps a service's epochs (once_epochs.h) up with their stream
   of the log.  */

#include "clock.h"
#include "log_service.h"
#include "once_epochs.h"

typedef struct epochs_part_t epochs_part_t;

typedef struct epochs_setup_t
{
  once_member_t self;
  const clock_source_t *clock; /* borrowed */
  /* Names the service that this VM's backend server belongs to, in NAME of
     NAME_BYTES, and its stream of the log, which only the part's thread uses;
     false while there is none.  */
  bool (*service) (void *ctx, char *name, log_service_t *log);
  /* Fills MEMBERS (of ONCE_MEMBERS_MAX) with what gossip shows of the
     service; returns their number.  */
  size_t (*see) (void *ctx, once_member_t *members);
  /* A new epoch has begun.  EPOCHS is borrowed for the call.  */
  void (*changed) (void *ctx, const once_epochs_t *epochs);
  void *ctx; /* borrowed */
} epochs_setup_t;

/* Starts the thread; epochs_part_free stops it and may wait for one call of
   the log service.  The callbacks run on it.  */
epochs_part_t *epochs_part_new (const epochs_setup_t *setup);
void epochs_part_free (epochs_part_t *part);

#endif
