#ifndef REDWINGFORD_MESH_CALL_H
#define REDWINGFORD_MESH_CALL_H

/* One request on its way to a backend server, and what comes back.  The same
   shape serves a run on the own VM and one on another daemon's.  */

#include "types.h"

enum
{
  ATTEMPT_ID_BYTES = 256,
  SERVER_ID_BYTES = 64
};

typedef struct call_request_t
{
  const char *attempt_id;
  const char *method;
  const char *target;
  const char *fields; /* end-to-end header fields, whole lines */
  size_t fields_size;
  const char *body;
  size_t body_size;
  const char *account;        /* client account, or "" */
  const char *caller_service; /* service of the VM where the request began */
  const char *service;        /* that is to run it */
  const char *route;
  uint64_t incarnation; /* of the daemon that may run it; 0 is any */
  int64_t deadline_us;
  int64_t max_wait_us;     /* longest time in the queue */
  int64_t expected_run_us; /* that its run takes; 0 is "not known" */
  uint8_t priority;
  bool idempotent;
  bool from_backend; /* called by a backend server: other work hangs on it */
  bool resume;       /* asks what became of a call that was sent before */
} call_request_t;

/* What a daemon tells of its backend server with each answer.  */
typedef struct server_load_t
{
  uint32_t running;
  uint32_t queued;
  uint32_t window; /* in flight at most; 0 is "not told" */
  uint32_t pressure_permille;
  uint32_t slowdown_permille; /* its runs' time for what was expected; 0 is
                             "not told" */
} server_load_t;

typedef enum failure_kind_t
{
  FAILURE_REFUSED,         /* did not run and will not */
  FAILURE_OUTCOME_UNKNOWN, /* may have run */
  FAILURE_INVALID_REPLY /* ran, but its answer ended early or was no answer */
} failure_kind_t;

/* CAUSE (identifier, name): why a run was refused or failed.  */
#define CAUSE_TABLE(CAUSE)                                                    \
  CAUSE (NO_SERVER, "no-backend")                                             \
  CAUSE (LEAVING, "leaving")                                                  \
  CAUSE (ZONE_OUT, "zone-out")                                                \
  CAUSE (QUEUE_FULL, "queue-full")                                            \
  CAUSE (WAIT_TOO_LONG, "wait-too-long")                                      \
  CAUSE (DEADLINE, "deadline")                                                \
  CAUSE (COLD, "cold-start")                                                  \
  CAUSE (WRONG_SERVICE, "wrong-service")                                      \
  CAUSE (SERVER_SHED, "backend-shed")                                         \
  CAUSE (SERVER_CHANGED, "backend-changed")                                   \
  CAUSE (CONNECT, "connect-failed")                                           \
  CAUSE (OVERDUE, "answer-overdue")                                           \
  CAUSE (CUT, "backend-cut")                                                  \
  CAUSE (GARBLED, "backend-garbled")                                          \
  CAUSE (UNSIGNED, "backend-unsigned")                                        \
  CAUSE (PEER_LOST, "peer-lost")                                              \
  CAUSE (PEER_RESTARTED, "peer-restarted")                                    \
  CAUSE (NEVER_CAME, "never-came")                                            \
  CAUSE (SUSPECT, "crash-suspect")                                            \
  CAUSE (NO_PEER, "no-peer")                                                  \
  CAUSE (STOPPING, "stopping")

typedef enum cause_t
{
#define CAUSE_ENUM(id, name) CAUSE_##id,
  CAUSE_TABLE (CAUSE_ENUM)
#undef CAUSE_ENUM
      CAUSE_COUNT
} cause_t;

/* Static storage.  */
const char *cause_name (cause_t cause);

typedef struct call_reply_t
{
  int status;
  const char *fields; /* end-to-end header fields, whole lines */
  size_t fields_size;
  int64_t content_length; /* of the body, or -1 */
  uint32_t run_us;
  server_load_t load;
} call_reply_t;

typedef struct call_failure_t
{
  failure_kind_t kind;
  cause_t cause;
  uint32_t retry_after_ms; /* when room is expected; 0 is "not known" */
  server_load_t load;
} call_failure_t;

/* Where the answer of a call goes.  None of these is called from within the
   call that started it.  */
typedef struct call_sink_t
{
  /* The head and the first part of the body.  LAST ends the answer.  */
  void (*reply) (void *ctx, const call_reply_t *reply, const char *body,
                 size_t size, bool last);
  void (*body) (void *ctx, const char *data, size_t size, bool last);
  /* Ends the call, also in the middle of an answer.  */
  void (*failed) (void *ctx, const call_failure_t *failure);
  void *ctx; /* borrowed */
} call_sink_t;

#endif
