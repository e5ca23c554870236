#ifndef REDWINGFORD_CRASH_SUSPECTS_H
#define REDWINGFORD_CRASH_SUSPECTS_H

/* Requests that crash the backend server that runs them.  A request is named
   by a fingerprint of client account, target and body.  What was running when
   a server crashed is suspect; each further crash counts against it, and any
   end of a run of it, anywhere, clears it.  From SUSPECT_CRASHES on it is
   held: refused everywhere, unrun, for as long as it keeps coming.

   Unlike quarantine.h no suspect is run alone first: a server under load is
   never empty, and a suspect that had to wait for that would be refused, which
   is worse for the many that just ran beside the cause.

   Decisions only; the caller passes the time and tells the other sidecars
   what has changed.  */

#include "types.h"

enum
{
  SUSPECTS_MAX = 256,
  SUSPECT_BLOCK_CRASHES = 3 /* of servers, before a request is held */
};

typedef struct crash_suspects_t crash_suspects_t;

/* What sidecars tell each other of one fingerprint.  The higher epoch is the
   later news; within one the higher count is.  */
typedef struct suspect_update_t
{
  uint64_t fingerprint;
  uint32_t epoch; /* times that it was cleared */
  uint32_t crashes;
} suspect_update_t;

uint64_t crash_suspects_fingerprint (const char *account, const char *target,
                                     const void *body, size_t size);

crash_suspects_t *crash_suspects_new (void);
void crash_suspects_free (crash_suspects_t *suspects);

/* Nothing is known of any fingerprint.  */
bool crash_suspects_is_empty (const crash_suspects_t *suspects);

/* A server crashed while FINGERPRINT ran there.  True when the count grew:
   crashes at about the same time are one, whatever caused them.  */
bool crash_suspects_record_crash (crash_suspects_t *suspects,
                                  uint64_t fingerprint, int64_t now_us);

/* A run of FINGERPRINT has ended with an answer.  True when that cleared it.
 */
bool crash_suspects_record_completion (crash_suspects_t *suspects,
                                       uint64_t fingerprint, int64_t now_us);

/* Whether to refuse it.  Each refusal keeps it held.  */
bool crash_suspects_should_refuse (crash_suspects_t *suspects,
                                   uint64_t fingerprint, int64_t now_us);

void crash_suspects_merge (crash_suspects_t *suspects,
                           const suspect_update_t *news, int64_t now_us);

/* Visits what the other sidecars should know, which is this sidecar's own news
   and what is held; drops what has expired.  */
typedef void (*suspect_visit_t) (void *ctx, const suspect_update_t *news);
void crash_suspects_visit_updates (crash_suspects_t *suspects, int64_t now_us,
                                   suspect_visit_t visit, void *ctx);

#endif
