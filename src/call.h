#ifndef REDWINGFORD_CALL_H
#define REDWINGFORD_CALL_H

/* The context of a call: what every hop must know about it.  Daemons pass it
   on in one sealed header, so that no caller can write or raise it.  */

#include "reason.h"
#include "seal.h"
#include "types.h"

enum
{
  CALL_PATH_BYTES = 1024,
  CALL_METHOD_BYTES = 16,
  CALL_HEADER_BYTES = 8192
};

#define CALL_HEADER "Redwingford-Call"
#define REPORT_HEADER "Redwingford-Report"

typedef struct call_t
{
  char root[REQUEST_ID_BYTES];    /* the caller's request that began it */
  char request[REQUEST_ID_BYTES]; /* this hop's own */
  char account[NAME_BYTES];       /* "" on a route open to all */
  char route[NAME_BYTES];
  char service[NAME_BYTES];
  char key[IDEMPOTENCY_KEY_BYTES]; /* "" when there is none */
  char method[CALL_METHOD_BYTES];
  char path[CALL_PATH_BYTES]; /* with its query */
  uint64_t body_hash;
  vm_id_t from;
  doc_version_t doc_version;
  uint64_t serial;               /* of this sending, see once_token_t */
  uint64_t held[CALL_DEPTH_MAX]; /* hashes of the services holding slots */
  uint32_t held_count;
  uint32_t weight;
  uint32_t priority;
  uint32_t rank;        /* among the requests of its priority, see level.h */
  uint32_t deadline_ms; /* what is left of it */
  uint32_t retries;     /* lent to this call and all below it */
  uint32_t depth;       /* 0 for a root request */
  bool idempotent;
  bool query; /* asks what became of sending SERIAL */
} call_t;

/* What the daemon beside the backend server reports with its answer.  It
   names the request and the answer's body, so that an answer that crossed
   with another's is not taken for this one's.  */
typedef struct call_report_t
{
  char request[REQUEST_ID_BYTES];
  uint64_t body_hash;
  reason_t reason;
  int status;
  uint32_t retries_unused;
  uint32_t in_flight;
  uint32_t limit;
  uint32_t queued;
  uint32_t level;
} call_report_t;

/* Writes the sealed header text of at most CALL_HEADER_BYTES.  */
bool call_seal (const call_t *call, const seal_t *seal,
                char text[CALL_HEADER_BYTES]);

/* Reads it back; false when malformed or not made with the secret.  */
bool call_open (const char *text, const seal_t *seal, call_t *call);

bool call_report_seal (const call_report_t *report, const seal_t *seal,
                       char text[CALL_HEADER_BYTES]);
bool call_report_open (const char *text, const seal_t *seal,
                       call_report_t *report);

/* Hash of a request's or answer's body.  */
uint64_t call_body_hash (const char *body, size_t size);

/* Hash of a service's name, as kept in call_t.held.  */
uint64_t call_service_hash (const char *service);

#endif
