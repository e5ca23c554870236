#ifndef REDWINGFORD_REASON_H
#define REDWINGFORD_REASON_H

/* How a request can end, and why.  Closed sets: every end of a request is one
   outcome with one reason, and each reason has one counter.  */

#include <stdbool.h>

typedef enum outcome_t
{
  OUTCOME_ANSWERED,        /* the backend server's whole answer */
  OUTCOME_REFUSED_NOT_RUN, /* did not run and will not run */
  OUTCOME_UNKNOWN,         /* may have run */
  OUTCOME_COUNT
} outcome_t;

/* REASON (identifier, name, outcome, HTTP status, remedy)  */
#define REASON_TABLE(REASON)                                                  \
  REASON (NONE, "none", ANSWERED, 200, "")                                    \
  REASON (BAD_REQUEST, "bad-request", REFUSED_NOT_RUN, 400,                   \
          "send a well-formed HTTP/1.1 request")                              \
  REASON (HEADER_CONFLICT, "header-conflict", REFUSED_NOT_RUN, 400,           \
          "send either one Content-Length or chunked coding")                 \
  REASON (BODY_TOO_LARGE, "body-too-large", REFUSED_NOT_RUN, 413,             \
          "send a smaller body")                                              \
  REASON (BODY_UNFINISHED, "body-unfinished", REFUSED_NOT_RUN, 408,           \
          "send the whole body in time")                                      \
  REASON (ROUTE_UNKNOWN, "route-unknown", REFUSED_NOT_RUN, 404,               \
          "use a known path, such as the nearest one named")                  \
  REASON (SERVICE_UNKNOWN, "service-unknown", REFUSED_NOT_RUN, 404,           \
          "name a known service, such as the nearest one named")              \
  REASON (KEY_MISSING, "key-missing", REFUSED_NOT_RUN, 401,                   \
          "send the client account's key in the Authorization header")        \
  REASON (KEY_UNKNOWN, "key-unknown", REFUSED_NOT_RUN, 401,                   \
          "send a key that an operator granted")                              \
  REASON (KEY_WITHDRAWN, "key-withdrawn", REFUSED_NOT_RUN, 401,               \
          "ask the operator for a new key")                                   \
  REASON (RATE_EXCEEDED, "rate-exceeded", REFUSED_NOT_RUN, 429,               \
          "send more slowly than the client account's rate")                  \
  REASON (SHARE_PENDING, "share-pending", REFUSED_NOT_RUN, 429,               \
          "send again; this VM's share of the rate is on its way")            \
  REASON (DEADLINE_MALFORMED, "deadline-malformed", REFUSED_NOT_RUN, 400,     \
          "send Redwingford-Deadline-Ms as whole milliseconds")               \
  REASON (DEADLINE_TOO_SHORT, "deadline-too-short", REFUSED_NOT_RUN, 503,     \
          "allow more time or send again later")                              \
  REASON (DEADLINE_IN_QUEUE, "deadline-in-queue", REFUSED_NOT_RUN, 503,       \
          "send again later")                                                 \
  REASON (QUEUE_FULL, "queue-full", REFUSED_NOT_RUN, 503, "send again later") \
  REASON (QUEUE_SOJOURN, "queue-sojourn", REFUSED_NOT_RUN, 503,               \
          "send again later")                                                 \
  REASON (ACCOUNT_SHARE, "account-share", REFUSED_NOT_RUN, 503,               \
          "send again later; this account fills its share of the queue")      \
  REASON (ADMISSION_LEVEL, "admission-level", REFUSED_NOT_RUN, 503,           \
          "send again later; a service further down is overloaded")           \
  REASON (NO_BACKEND, "no-backend", REFUSED_NOT_RUN, 503,                     \
          "send again later; no backend server of the service is in")         \
  REASON (BACKEND_SHED, "backend-shed", REFUSED_NOT_RUN, 503,                 \
          "send again later; the backend server refused before running")      \
  REASON (PEER_UNREACHABLE, "peer-unreachable", REFUSED_NOT_RUN, 503,         \
          "send again later")                                                 \
  REASON (LEASE_LAPSED, "lease-lapsed", REFUSED_NOT_RUN, 503,                 \
          "send again later; the key's home holds no lease")                  \
  REASON (KEY_NEEDED, "idempotency-key-needed", REFUSED_NOT_RUN, 400,         \
          "send Idempotency-Key with a request that must run once")           \
  REASON (KEY_REUSED, "idempotency-key-reused", REFUSED_NOT_RUN, 422,         \
          "use a new Idempotency-Key for another body")                       \
  REASON (KEY_AHEAD, "idempotency-key-ahead", REFUSED_NOT_RUN, 400,           \
          "set the clock that issues keys, or use a stamp from the reply")    \
  REASON (TOMBSTONE, "tombstone", REFUSED_NOT_RUN, 409,                       \
          "use a new Idempotency-Key; this one was given up unrun")           \
  REASON (RECORDS_FULL, "records-full", REFUSED_NOT_RUN, 503,                 \
          "send again later; the home holds all the records it may")          \
  REASON (QUARANTINED, "quarantined", REFUSED_NOT_RUN, 503,                   \
          "change the request; it crashed backend servers")                   \
  REASON (RETRIES_SPENT, "retries-spent", REFUSED_NOT_RUN, 503,               \
          "send again later; the request's retry budget is spent")            \
  REASON (REENTRY_FULL, "reentry-full", REFUSED_NOT_RUN, 503,                 \
          "send again later; the services wait on each other")                \
  REASON (DEPTH_EXCEEDED, "depth-exceeded", REFUSED_NOT_RUN, 508,             \
          "call fewer services in a chain")                                   \
  REASON (DRAINING, "draining", REFUSED_NOT_RUN, 503, "send again")           \
  REASON (CONFIG_NONE, "config-none", REFUSED_NOT_RUN, 503,                   \
          "send again later; no configuration has reached this VM")           \
  REASON (CALLER_GONE, "caller-gone", REFUSED_NOT_RUN, 499, "")               \
  REASON (CROWDED, "crowded", REFUSED_NOT_RUN, 503,                           \
          "send again later; all request slots of this VM are taken")         \
  REASON (TOKEN_UNKNOWN, "token-unknown", REFUSED_NOT_RUN, 403,               \
          "send the Redwingford-Token of the request being served")           \
  REASON (PEER_UNPROVEN, "peer-unproven", REFUSED_NOT_RUN, 403,               \
          "give this daemon the fleet's secret")                              \
  REASON (BACKEND_CUT, "backend-cut", UNKNOWN, 502,                           \
          "ask what became of it before sending again")                       \
  REASON (BACKEND_SILENT, "backend-silent", UNKNOWN, 504,                     \
          "ask what became of it before sending again")                       \
  REASON (DEADLINE_PASSED, "deadline-passed", UNKNOWN, 504,                   \
          "send again with the same Idempotency-Key to learn the outcome")    \
  REASON (HOME_LOST, "home-lost", UNKNOWN, 504,                               \
          "send again with the same Idempotency-Key to learn the outcome")    \
  REASON (KEY_TOO_OLD, "idempotency-key-too-old", UNKNOWN, 409,               \
          "check the booking; its record is gone")                            \
  REASON (RUN_UNKNOWN, "run-unknown", UNKNOWN, 504,                           \
          "check the booking; the backend server was lost while running it")  \
  REASON (CANCELLED, "cancelled", UNKNOWN, 499, "")                           \
  REASON (INTERNAL, "internal", UNKNOWN, 500, "tell the operator")

typedef enum reason_t
{
#define REASON_ENUM(id, name, outcome, status, remedy) REASON_##id,
  REASON_TABLE (REASON_ENUM)
#undef REASON_ENUM
      REASON_COUNT
} reason_t;

/* Why a request was sent again.  RETRY (identifier, name)  */
#define RETRY_TABLE(RETRY)                                                    \
  RETRY (CONNECT_FAILED, "connect-failed")                                    \
  RETRY (BACKEND_SHED, "backend-shed")                                        \
  RETRY (PEER_REFUSED, "peer-refused")                                        \
  RETRY (IDEMPOTENT_FAILED, "idempotent-failed")                              \
  RETRY (TOMBSTONED, "tombstoned")                                            \
  RETRY (STALE_SESSION, "stale-session")                                      \
  RETRY (CALLER_RESENT, "caller-resent")

typedef enum retry_t
{
#define RETRY_ENUM(id, name) RETRY_##id,
  RETRY_TABLE (RETRY_ENUM)
#undef RETRY_ENUM
      RETRY_COUNT
} retry_t;

/* All static storage.  */
const char *reason_name (reason_t reason);
const char *reason_remedy (reason_t reason);
outcome_t reason_outcome (reason_t reason);
int reason_status (reason_t reason);
const char *outcome_name (outcome_t outcome);
const char *retry_name (retry_t retry);

/* Finds a reason by its name; false when there is none.  */
bool reason_parse (const char *name, reason_t *reason);

#endif
