#ifndef REDWINGFORD_PROBE_H
#define REDWINGFORD_PROBE_H

/* Finds connections between daemons that have gone silent.  An entry daemon
   that waits for an answer asks the other daemon over the control link, which
   does not share the connection, whether it still has the request.  Decisions
   only; not thread-safe.  */

#include "link.h"
#include "types.h"

enum
{
  PROBE_PERIOD_MS = 200, /* between questions about one sending */
  PROBE_MISSES_MAX = 4   /* unanswered or adverse in a row: it is lost */
};

typedef struct probe_t probe_t;

/* Called when a sending has to be taken for lost.  */
typedef void (*probe_lost_t) (void *ctx, void *sending);

/* LINK and CTX are borrowed.  Free with probe_free.  */
probe_t *probe_new (link_t link);
void probe_free (probe_t *probe);

/* Executor side: a request from another daemon has come, or has ended.  */
void probe_opened (probe_t *probe, const char *request, int64_t now_us);
void probe_ended (probe_t *probe, const char *request, int64_t now_us);

/* Entry side: begins to ask VM about REQUEST after FIRST_MS; SENDING is the
   caller's and names the watch.  */
bool probe_watch (probe_t *probe, void *sending, vm_id_t vm,
                  const char *request, uint32_t first_ms, int64_t now_us);

/* Ends the watch; true when it still stood.  */
bool probe_unwatch (probe_t *probe, void *sending, const char *request);

/* A message of MESSAGE_LOAD; false when malformed.  */
bool probe_receive (probe_t *probe, vm_id_t from, const void *data,
                    size_t size, int64_t now_us);

/* Asks what is due; calls LOST for each watch that ends by it.  Returns the
   time of the next call.  */
int64_t probe_tick (probe_t *probe, int64_t now_us, probe_lost_t lost,
                    void *ctx);

size_t probe_watch_count (const probe_t *probe);

#endif
