#ifndef REDWINGFORD_CRASH_SUSPECTS_H
#define REDWINGFORD_CRASH_SUSPECTS_H

/* Detects requests that crash the backend server that runs them.  A request is
   identified by a fingerprint of its client account, target and body.  All
   requests that run when a server crashes become suspects.  Each further crash
   raises a suspect's count; a run that ends with a reply, on any server,
   clears the suspect.  After SUSPECT_BLOCK_CRASHES crashes the suspect is
   blocked: all sidecars refuse it without running it, for as long as it keeps
   arriving.

   Unlike in quarantine.h, a suspect is not run alone first.  A server under
   load is never idle, so a suspect that had to wait for that would be refused,
   which is worse for the many requests that merely ran at the same time as the
   cause of the crash.  It is not sent to a second server, though, where a
   crash would be counted with that of the first.

   Does no I/O and reads no clock: the caller passes the time and sends changes
   to the other sidecars.  */

#include "types.h"

enum
{
  SUSPECTS_MAX = 256,
  /* Server crashes after which a request is blocked.  */
  SUSPECT_BLOCK_CRASHES = 3
};

typedef struct crash_suspects_t crash_suspects_t;

/* State of one fingerprint, as sidecars send it to each other.  The higher
   epoch is newer; within an epoch, the higher count.  */
typedef struct suspect_update_t
{
  uint64_t fingerprint;
  uint32_t epoch; /* number of times that it was cleared */
  uint32_t crashes;
} suspect_update_t;

uint64_t crash_suspects_fingerprint (const char *account, const char *target,
                                     const void *body, size_t size);

crash_suspects_t *crash_suspects_new (void);
void crash_suspects_free (crash_suspects_t *suspects);

/* Returns whether no request is suspected of crashing servers.  */
bool crash_suspects_is_empty (const crash_suspects_t *suspects);

/* Records that a server crashed while it ran FINGERPRINT.  Returns true if the
   count grew: crashes of one fingerprint within a second of the last counted
   one count as one, even on different servers.  */
bool crash_suspects_record_crash (crash_suspects_t *suspects,
                                  uint64_t fingerprint, int64_t now_us);

/* Records that a run of FINGERPRINT ended with a reply.  Returns true if this
   cleared it.  */
bool crash_suspects_record_completion (crash_suspects_t *suspects,
                                       uint64_t fingerprint, int64_t now_us);

/* Returns whether a server has crashed while it ran FINGERPRINT, and no run of
   it has ended with a reply since.  */
bool crash_suspects_is_suspected (crash_suspects_t *suspects,
                                  uint64_t fingerprint, int64_t now_us);

/* Returns whether to refuse a request with FINGERPRINT.  Each refusal extends
   the block.  */
bool crash_suspects_should_refuse (crash_suspects_t *suspects,
                                   uint64_t fingerprint, int64_t now_us);

/* Takes over the state that another sidecar sent if it is newer than the local
   one.  */
void crash_suspects_merge (crash_suspects_t *suspects,
                           const suspect_update_t *update, int64_t now_us);

/* Visits the states to send to the other sidecars, which are this sidecar's
   own recent changes and all blocked fingerprints.  Removes what has
   expired.  */
typedef void (*suspect_update_visit_t) (void *ctx,
                                        const suspect_update_t *update);
void crash_suspects_visit_updates (crash_suspects_t *suspects, int64_t now_us,
                                   suspect_update_visit_t visit, void *ctx);

#endif
