#ifndef REDWINGFORD_CONFIG_PART_H
#define REDWINGFORD_CONFIG_PART_H

/* The configuration part of a daemon: config.h behind a lock, a thread that
   waits on the log service, and one that parses new documents and puts them
   in force.  The control thread's calls never wait for either.  */

#include "clock.h"
#include "config.h"
#include "part.h"

typedef struct config_part_t config_part_t;

typedef struct config_part_setup_t
{
  config_options_t options;
  config_peer_t self;
  link_t link;
  log_service_t log; /* its ctx is used by the part's own thread only */
  const clock_source_t *clock; /* borrowed */
  const rng_t *rng;            /* borrowed; thread-safe */
  /* DOC is in force; the callee owns it.  Called on the part's own thread,
     one call at a time, without its lock.  */
  void (*applied) (void *ctx, doc_t *doc);
  void *ctx; /* borrowed */
} config_part_setup_t;

/* Free with config_part_free, which stops the threads and may wait for one
   call of the log service.  */
config_part_t *config_part_new (const config_part_setup_t *setup);
void config_part_start (config_part_t *part);
void config_part_free (config_part_t *part);

/* For the control thread; borrows PART.  */
part_t config_part_part (config_part_t *part);

/* What this daemon knows of the others, from membership.  Any thread.  */
void config_part_set_peers (config_part_t *part, const config_peer_t *peers,
                            size_t count);

/* Any thread.  */
void config_part_get_status (config_part_t *part, config_status_t *status);

/* A copy of the newest document's text, which the caller frees; "" when there
   is none.  Any thread.  */
char *config_part_text (config_part_t *part);

#endif
