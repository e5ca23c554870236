#ifndef REDWINGFORD_PROBER_H
#define REDWINGFORD_PROBER_H

/* The daemon's use of probe.h: a lock around it, and a part of the control
   thread.  Any thread may call.  */

#include "part.h"
#include "probe.h"

typedef struct prober_t prober_t;

/* LOST is called on the control thread without the lock.  */
prober_t *prober_new (link_t link, probe_lost_t lost, void *ctx);
void prober_free (prober_t *prober);

/* For the control thread's list of parts; kind MESSAGE_LOAD.  */
part_t prober_part (prober_t *prober);

/* See probe.h.  */
void prober_opened (prober_t *prober, const char *request, int64_t now_us);
void prober_ended (prober_t *prober, const char *request, int64_t now_us);
void prober_watch (prober_t *prober, void *sending, vm_id_t vm,
                   const char *request, uint32_t first_ms, int64_t now_us);
bool prober_unwatch (prober_t *prober, void *sending, const char *request);

#endif
