#ifndef REDWINGFORD_MESH_CALL_H
#define REDWINGFORD_MESH_CALL_H

/* A request that is forwarded to a backend server, and its reply.  The same
   types are used whether the request runs on the local VM or on the VM of
   another sidecar.  In the other files of this directory, a call is only a
   request that a backend server makes.  */

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
  const char *fields; /* end-to-end header fields, as complete lines */
  size_t fields_size;
  const char *body;
  size_t body_size;
  const char *account;        /* client account; "" is none */
  const char *caller_service; /* service of the VM where the request entered */
  const char *service;        /* service that must run the request */
  const char *route;
  /* Incarnation of the sidecar to which the call was sent before; read only if
     ASKS_OUTCOME.  */
  uint64_t incarnation;
  int64_t deadline_us;
  /* Longest time of a caller's request in the backend server's queue; not used
     if FROM_BACKEND.  */
  int64_t max_wait_us;
  int64_t expected_run_us; /* expected run time; 0 is unknown */
  uint8_t priority;
  bool idempotent;
  /* Sent by a backend server, which waits for the reply to end a run of its
     own.  */
  bool from_backend;
  /* Asks for the outcome of a call that was sent before.  If the call has not
     arrived, it is not run, and is refused if it still arrives.  */
  bool asks_outcome;
} call_request_t;

/* Load of a backend server, which its sidecar reports with each reply.  */
typedef struct server_load_t
{
  uint32_t running;
  uint32_t queued;
  uint32_t window; /* limit of requests in flight; 0 is unknown */
  /* Share of the callers' requests to refuse where they enter.  */
  uint32_t pressure_permille;
  /* Ratio of actual to expected run time, expected now; 0 is unknown.  */
  uint32_t slowdown_permille;
} server_load_t;

typedef enum failure_kind_t
{
  /* The request did not run and will not.  */
  FAILURE_REFUSED,
  /* The request may have run.  */
  FAILURE_OUTCOME_UNKNOWN,
  /* The request ran, but its reply was cut short or malformed.  */
  FAILURE_INVALID_REPLY
} failure_kind_t;

/* CAUSE (IDENTIFIER, NAME): the reasons why a request is refused or fails.
   The less obvious ones:

   SERVER_SHED: the backend server reports that it did not run the request.
   SERVER_CHANGED: another instance of it has taken its place.  REPLY_OVERDUE:
   no reply in time for the caller.  SERVER_DISCONNECTED: the server closed the
   connection before its reply was complete, or the sidecar cancelled a run
   that may have begun.  MALFORMED_REPLY: its reply is malformed or of a kind
   that a server must not send.  SIGNATURE_MISSING: its reply lacks the
   signature or the attempt id.  CALL_NOT_RECEIVED: the call whose outcome was
   asked for had not arrived, and is refused if it still does; or it was
   cancelled before its run began.  PEER_LOST: the link to the sidecar of the
   server was lost.  PEER_RESTARTED: that sidecar has restarted since the call
   was sent.  NO_PEER: there is no link to it.  UNKNOWN: the peer, of a later
   version, gave a cause that this one does not know; it is not sent itself.
   OUTCOME_NOT_KEPT: that sidecar knows no run of the idempotent call whose
   outcome was asked for; it may have run.
   NO_SOCKET: the sidecar of the server cannot open a socket to it.
   MALFORMED_CALL: the call that another sidecar sent is no valid request.

   The values are sent between sidecars of different versions.  New causes go
   to the end.  */
#define CAUSE_TABLE(CAUSE)                                                    \
  CAUSE (NO_SERVER, "no-backend")                                             \
  CAUSE (LEAVING, "leaving")                                                  \
  CAUSE (ZONE_EVACUATED, "zone-out")                                          \
  CAUSE (QUEUE_FULL, "queue-full")                                            \
  CAUSE (WAIT_TOO_LONG, "wait-too-long")                                      \
  CAUSE (DEADLINE_EXCEEDED, "deadline")                                       \
  CAUSE (COLD_START, "cold-start")                                            \
  CAUSE (WRONG_SERVICE, "wrong-service")                                      \
  CAUSE (SERVER_SHED, "backend-shed")                                         \
  CAUSE (SERVER_CHANGED, "backend-changed")                                   \
  CAUSE (CONNECT_FAILED, "connect-failed")                                    \
  CAUSE (REPLY_OVERDUE, "answer-overdue")                                     \
  CAUSE (SERVER_DISCONNECTED, "backend-cut")                                  \
  CAUSE (MALFORMED_REPLY, "backend-garbled")                                  \
  CAUSE (SIGNATURE_MISSING, "backend-unsigned")                               \
  CAUSE (PEER_LOST, "peer-lost")                                              \
  CAUSE (PEER_RESTARTED, "peer-restarted")                                    \
  CAUSE (CALL_NOT_RECEIVED, "never-came")                                     \
  CAUSE (CRASH_SUSPECT, "crash-suspect")                                      \
  CAUSE (NO_PEER, "no-peer")                                                  \
  CAUSE (STOPPING, "stopping")                                                \
  CAUSE (UNKNOWN, "unknown")                                                  \
  CAUSE (OUTCOME_NOT_KEPT, "outcome-not-kept")                                \
  CAUSE (NO_SOCKET, "no-socket")                                              \
  CAUSE (MALFORMED_CALL, "call-garbled")

typedef enum cause_t
{
#define CAUSE_ENUM(id, name) CAUSE_##id,
  CAUSE_TABLE (CAUSE_ENUM)
#undef CAUSE_ENUM
      CAUSE_COUNT
} cause_t;

/* Returns the name of CAUSE in logs and metrics, in static storage.  */
const char *cause_name (cause_t cause);

typedef struct call_reply_t
{
  int status;
  const char *fields; /* end-to-end header fields, as complete lines */
  size_t fields_size;
  int64_t content_length; /* of the body; -1 is unknown */
  uint32_t run_us;
  server_load_t load;
} call_reply_t;

typedef struct call_failure_t
{
  failure_kind_t kind;
  cause_t cause;
  uint32_t retry_after_ms; /* time until capacity is expected; 0 is unknown */
  server_load_t load;
} call_failure_t;

/* Callbacks that receive the reply to a call.  None is called before the
   function that starts the call has returned, unless that function reports
   that the reply has been delivered already.  */
typedef struct call_sink_t
{
  /* Receives the head and the first part of the body.  LAST marks the end of
     the reply.  */
  void (*reply) (void *ctx, const call_reply_t *reply, const char *body,
                 size_t size, bool last);
  /* Receives a further part of the body.  */
  void (*body) (void *ctx, const char *data, size_t size, bool last);
  /* Ends the call with a failure, possibly after part of the reply.  */
  void (*failed) (void *ctx, const call_failure_t *failure);
  void *ctx; /* borrowed */
} call_sink_t;

#endif
