#ifndef REDWINGFORD_PEER_H
#define REDWINGFORD_PEER_H

/* Links between sidecars.  One TCP connection for a pair of sidecars carries
   all calls in both directions as XDR frames, and a report every period.  A
   connection that brings nothing for PEER_SILENCE_US is closed and opened
   anew, so that a silent path is noticed without its help.  */

#include "edge/bytes.h"
#include "edge/loop.h"
#include "mesh/call.h"
#include "mesh/mesh_proto.h"

enum
{
  PEER_REPORT_INTERVAL_US = 250 * US_PER_MS, /* between two reports */
  PEER_SILENCE_TIMEOUT_US = 1000 * US_PER_MS /* four reports */
};

typedef struct peer_set_t peer_set_t;
typedef struct peer_t peer_t;
typedef struct peer_call_t peer_call_t;     /* sent by this sidecar */
typedef struct peer_stream_t peer_stream_t; /* served by this sidecar */

typedef struct peer_handler_t
{
  /* Fills a report, WHOLE for a link that has just opened, FAR for a sidecar
     of another availability zone.  The strings and lists are borrowed until
     the call that asked returns.  */
  void (*make_report) (void *ctx, mesh_report *report, bool whole, bool far);
  void (*report) (void *ctx, peer_t *peer, const mesh_report *report);
  /* The last connection to PEER has ended.  */
  void (*down) (void *ctx, peer_t *peer);
  /* A call to serve.  It is answered by peer_stream_reply and so on, or
     refused at once by peer_stream_fail.  The call is borrowed.  */
  void (*call) (void *ctx, peer_stream_t *stream, const call_request_t *call);
  /* The caller gave up or its link was lost.  The stream is freed on return.
   */
  void (*cancel) (void *ctx, peer_stream_t *stream);
  /* The caller took data: more may be sent.  */
  void (*credit) (void *ctx, peer_stream_t *stream);
  void (*want_document) (void *ctx, peer_t *peer);
  void (*document) (void *ctx, peer_t *peer, const mesh_document *document);
  void *ctx; /* borrowed */
} peer_handler_t;

/* ADDR names this sidecar to the others.  Listens there, or on BIND if its
   port is not 0.  */
peer_set_t *peer_set_new (loop_t *loop, endpoint_addr_t addr,
                          endpoint_addr_t bind, const peer_handler_t *handler,
                          error_info_t *error);
/* Whether a link has bytes that its peer has not got.  */
bool peer_set_has_unsent_data (const peer_set_t *peers);

void peer_set_free (peer_set_t *peers);

/* The address that was bound.  */
vm_id_t peer_set_own_vm (const peer_set_t *peers);

/* A member of the fleet: a link to it is kept up.  */
void peer_set_add (peer_set_t *peers, vm_id_t vm);
/* No member any more: it is not dialled again.  */
void peer_set_remove (peer_set_t *peers, vm_id_t vm);

/* Sends reports, to those of other availability zones only if FAR; dials what
   is down, closes what is silent.  Call it every PEER_REPORT_US, with FAR
   every second time at least.  */
void peer_set_tick (peer_set_t *peers, bool whole, bool far);

/* Sends a report now, since something changed; to other availability zones
   only if FAR.  */
void peer_set_send_reports (peer_set_t *peers, bool whole, bool far);

peer_t *peer_set_find (peer_set_t *peers, vm_id_t vm);
vm_id_t peer_vm (const peer_t *peer);
bool peer_is_up (const peer_t *peer);
/* PEER is of another availability zone.  */
void peer_mark_cross_zone (peer_t *peer, bool far);
bool peer_is_cross_zone (const peer_t *peer);
uint64_t peer_incarnation (const peer_t *peer); /* 0 before its first report */

typedef void (*peer_visit_t) (void *ctx, peer_t *peer);
void peer_set_each (peer_set_t *peers, peer_visit_t visit, void *ctx);

/* Sends CALL; SINK hears what comes of it.  NULL when there is no link or it
   is congested: nothing was sent.  */
peer_call_t *peer_send_call (peer_t *peer, const call_request_t *call,
                             const call_sink_t *sink);

/* No callback follows.  */
void peer_call_cancel (peer_call_t *call);

/* SIZE bytes of the answer were taken by the caller.  */
void peer_call_consume (peer_call_t *call, size_t size);

/* The answer of a call that is served.  */
void peer_stream_send_reply (peer_stream_t *stream, const call_reply_t *reply,
                             const char *body, size_t size, bool last);
void peer_stream_send_body (peer_stream_t *stream, const char *data,
                            size_t size, bool last);
void peer_stream_fail (peer_stream_t *stream, const call_failure_t *failure);
/* More than a window of data waits for the caller.  */
bool peer_stream_window_is_full (const peer_stream_t *stream);
void peer_stream_set_user_data (peer_stream_t *stream, void *user);
void *peer_stream_user_data (const peer_stream_t *stream);

void peer_request_document (peer_t *peer);
void peer_send_document (peer_t *peer, mesh_document *document);

/* What the bytes on links are for.  */
typedef enum peer_traffic_t
{
  TRAFFIC_REPORT,
  TRAFFIC_CALL,
  TRAFFIC_ANSWER,
  TRAFFIC_DOCUMENT,
  TRAFFIC_COUNT
} peer_traffic_t;

/* Static storage.  */
const char *peer_traffic_name (peer_traffic_t traffic);

typedef struct peer_set_state_t
{
  uint32_t members;
  uint32_t peers_up;
  uint64_t links_lost; /* connections that ended */
  uint64_t frames_in;
  uint64_t frames_out;
  uint64_t bytes_out;
  uint64_t cross_zone_bytes[TRAFFIC_COUNT]; /* to other availability zones */
} peer_set_state_t;

peer_set_state_t peer_set_state (const peer_set_t *peers);

#endif
