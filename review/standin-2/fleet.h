#ifndef REDWINGFORD_REVIEW_FLEET_H
#define REDWINGFORD_REVIEW_FLEET_H

/* A small deployment on loopback for the cases of the second review: sidecars
   as separate processes, started with the command of the deploy file, and
   around them stand-ins of the store, the backend servers, the callers and
   the platform.  The platform restarts a process that has ended, and kills one
   that holds more memory than its settings allow, as the users' pages say.  */

#include <sys/types.h>

#include "edge/http_client.h"
#include "edge/http_server.h"
#include "edge/loop.h"
enum
{
  FLEET_SIDECARS_MAX = 8,
  FLEET_REQUESTS_MAX = 40000,
  FLEET_RULE_HELD = 0, /* exit codes of a case */
  FLEET_RULE_BROKEN = 1,
  FLEET_NOT_RUN = 2
};

typedef struct fleet_t fleet_t;

/* What a backend server does with one request.  */
typedef struct fleet_work_t
{
  int64_t work_us;
  size_t reply_bytes;
  /* Breaks its answer off after this many bytes of the body; 0 is not.  */
  size_t break_off_bytes;
} fleet_work_t;

/* How a caller's request ended.  */
typedef enum fleet_end_t
{
  FLEET_OPEN,
  FLEET_ANSWERED,
  FLEET_CUT_KEPT, /* its kept connection ended without an answer */
  FLEET_CUT,      /* another connection did */
  FLEET_LEFT,     /* the caller left at its deadline */
  FLEET_UNSENT    /* no connection */
} fleet_end_t;

/* A caller's request and all that became of it.  */
typedef struct fleet_request_t
{
  fleet_t *fleet;
  uint32_t number;
  int at; /* sidecar that the caller sent it to */
  const char *path;
  size_t body_bytes;
  int64_t sent_us;
  fleet_end_t end;
  int status;
  size_t reply_bytes;
  bool has_signature; /* the answer is a server's */
  uint32_t runs;
  int64_t run_us;  /* when its last run began */
  bool broken_off; /* a run ended before its time, with its connection */
  http_call_t *call;
  void (*on_end) (void *ctx, const struct fleet_request_t *request);
  void *ctx;
} fleet_request_t;

typedef struct fleet_plan_t
{
  uint32_t count; /* of sidecars */
  /* Service of each.  */
  const char *services[FLEET_SIDECARS_MAX];
  const char *config; /* the operator's document */
  uint32_t slots;     /* of each backend server */
  uint32_t memory_mb; /* of each sidecar */
  fleet_work_t (*work) (void *ctx, int at, const char *target);
  void *ctx; /* borrowed */
} fleet_plan_t;

/* Starts the fleet and returns when each sidecar is ready and linked, or NULL
   with the reason on the standard error.  What happens is written to the file
   RECORD_PATH.  PLAN is copied.  */
fleet_t *fleet_new (const fleet_plan_t *plan, const char *record_path);

/* Ends all that was started.  */
void fleet_free (fleet_t *fleet);

loop_t *fleet_loop (fleet_t *fleet);

/* Sends SIGTERM to sidecar AT, which the platform starts again once it has
   ended.  Its backend server goes on.  */
void fleet_terminate (fleet_t *fleet, int at);

/* Serves for US.  */
void fleet_run (fleet_t *fleet, int64_t us);

/* Sends a request with BODY_BYTES of body to sidecar AT, over a kept
   connection if there is one.  The caller leaves after TIMEOUT_MS.  ON_END is
   called once, unless it is NULL.  Returns NULL when too many were sent.  */
const fleet_request_t *
fleet_send (fleet_t *fleet, int at, const char *method, const char *path,
            size_t body_bytes, uint32_t timeout_ms,
            void (*on_end) (void *ctx, const fleet_request_t *request),
            void *ctx);

/* Adds a request that the case itself sends and whose end it notes with
   fleet_end_request.  Returns NULL when too many were sent.  */
fleet_request_t *fleet_add_request (fleet_t *fleet, int at, const char *path);
void fleet_end_request (fleet_request_t *request, fleet_end_t end);

/* Returns the address that sidecar AT takes callers' requests on.  */
endpoint_addr_t fleet_callers_addr (const fleet_t *fleet, int at);

const fleet_request_t *fleet_request (const fleet_t *fleet, uint32_t number);
uint32_t fleet_request_count (const fleet_t *fleet);

/* Times that the platform killed sidecar AT for its memory, and the most that
   it was seen to hold.  */
uint32_t fleet_memory_kills (const fleet_t *fleet, int at);
uint64_t fleet_memory_peak (const fleet_t *fleet, int at);

/* Writes a line to the record.  */
void fleet_note (fleet_t *fleet, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Whether the case plays its disruption: $TROUBLE is not "0".  */
bool fleet_has_trouble (void);

#endif
