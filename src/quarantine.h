#ifndef REDWINGFORD_QUARANTINE_H
#define REDWINGFORD_QUARANTINE_H

/* Requests that crash the backend server that runs them.

   A request is named by a fingerprint of client account, route and body.
   What was running when a backend server crashed is suspect.  A suspect runs
   only alone on a backend server: if it ends, it is cleared; if the server
   crashes again, only the suspect can be the cause, and its fingerprint is
   quarantined in the whole service until it expires or an operator lifts it.

   Decisions only, no locks: quarantine_part.h guards calls from several
   threads and tells the other members.  */

#include "rng.h"
#include "types.h"

enum
{
  QUARANTINE_ENTRIES_MAX = 512,
  QUARANTINE_SUSPECT_S = 300,
  QUARANTINE_EXPIRY_S = 3600,
  QUARANTINE_LIFTED_S = 600 /* a lift is remembered against late news */
};

typedef uint64_t fingerprint_t;

typedef enum quarantine_state_t
{
  QUARANTINE_NONE,
  QUARANTINE_SUSPECT,
  QUARANTINE_HELD,  /* refused everywhere */
  QUARANTINE_LIFTED /* cleared, or lifted by an operator */
} quarantine_state_t;

typedef struct quarantine_entry_t
{
  fingerprint_t fingerprint;
  quarantine_state_t state;
  uint32_t version; /* the highest is the latest news */
  uint32_t crashes;
  int64_t until_us;
  char account[NAME_BYTES]; /* for operators; empty if learnt from a peer
                               that had dropped it */
  char route[NAME_BYTES];
} quarantine_entry_t;

typedef enum quarantine_verdict_t
{
  QUARANTINE_RUN,
  QUARANTINE_WAIT, /* ask again when a request has ended */
  QUARANTINE_REFUSE
} quarantine_verdict_t;

typedef struct quarantine_request_t
{
  fingerprint_t fingerprint;
  const char *account; /* borrowed for the call */
  const char *route;
} quarantine_request_t;

/* One backend server and what its daemon knows of the service's crashes.  */
typedef struct quarantine_t quarantine_t;

fingerprint_t quarantine_fingerprint (const char *account, const char *route,
                                      const void *body, size_t size);

quarantine_t *quarantine_new (void);
void quarantine_free (quarantine_t *quarantine);

/* Whether a request may start while IN_FLIGHT others run on the backend
   server.  RUN must be followed by quarantine_ended or quarantine_crashed.
   A suspect that waits holds back others for a bounded share of time.  */
quarantine_verdict_t quarantine_start (quarantine_t *quarantine,
                                       const quarantine_request_t *request,
                                       uint32_t in_flight, int64_t now_us);

/* A request ended with any answer at all.  */
void quarantine_ended (quarantine_t *quarantine, fingerprint_t fingerprint,
                       int64_t now_us);

/* The backend server was lost while COUNT requests ran on it.  */
void quarantine_crashed (quarantine_t *quarantine,
                         const quarantine_request_t *requests, size_t count,
                         int64_t now_us);

quarantine_state_t quarantine_state (const quarantine_t *quarantine,
                                     fingerprint_t fingerprint,
                                     int64_t now_us);

/* An operator's word that the fingerprint may run again; false when it is
   neither suspect nor held.  */
bool quarantine_lift (quarantine_t *quarantine, fingerprint_t fingerprint,
                      int64_t now_us);

/* News of a peer.  Returns true when it was newer than what was known.  */
bool quarantine_merge (quarantine_t *quarantine,
                       const quarantine_entry_t *news, int64_t now_us);

/* Drops what has expired.  */
void quarantine_expire (quarantine_t *quarantine, int64_t now_us);

/* The entries, valid until the next change.  */
const quarantine_entry_t *quarantine_list (const quarantine_t *quarantine,
                                           size_t *count);

#endif
