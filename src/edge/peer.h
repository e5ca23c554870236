#ifndef REDWINGFORD_PEER_H
#define REDWINGFORD_PEER_H

/* Links between sidecars.  One TCP connection for each pair of sidecars
   carries the calls in both directions and the periodic reports, as XDR
   frames.  A connection on which nothing arrives for PEER_SILENCE_TIMEOUT_US
   is closed and opened again, so that a network path that drops packets is
   detected even when no error is signalled.  */

#include "edge/acceptor.h"
#include "edge/bytes.h"
#include "edge/loop.h"
#include "mesh/call.h"
#include "mesh/mesh_proto.h"

enum
{
  PEER_REPORT_INTERVAL_US = 250 * US_PER_MS,
  PEER_SILENCE_TIMEOUT_US = 1000 * US_PER_MS, /* four report intervals */
  /* A peer whose links were lost is dialled at once if it was up for this
     long, in which each side reports twice, else after a delay that grows.  */
  PEER_LINK_STOOD_US = 500 * US_PER_MS,
  /* A link is silent, but stays open, after this long.  Reports to other
     availability zones may be sent every second time.  */
  PEER_SILENT_US = 400 * US_PER_MS,
  PEER_SILENT_CROSS_ZONE_US = 700 * US_PER_MS
};

typedef struct peer_set_t peer_set_t;
typedef struct peer_t peer_t;
typedef struct peer_call_t peer_call_t;     /* sent by this sidecar */
typedef struct peer_stream_t peer_stream_t; /* call that this sidecar serves */

typedef struct peer_handler_t
{
  /* Fills REPORT.  FULL asks for the identity too, as in the first report on a
     link; CROSS_ZONE tells that the peer is in another availability zone.  The
     strings and lists are borrowed until the function that invoked this
     callback returns.  */
  void (*make_report) (void *ctx, mesh_report *report, bool full,
                       bool cross_zone);
  /* PEER sent REPORT, which is borrowed.  */
  void (*on_report) (void *ctx, peer_t *peer, const mesh_report *report);
  /* No connection to PEER is left on which a report has arrived.  */
  void (*on_disconnect) (void *ctx, peer_t *peer);
  /* A call to serve.  The handler replies with peer_stream_send_reply and
     peer_stream_send_body, or fails it with peer_stream_fail, also from
     within this callback.  CALL is borrowed.  */
  void (*on_call) (void *ctx, peer_stream_t *stream,
                   const call_request_t *call);
  /* The caller cancelled the call, or its link was lost (see
     peer_stream_is_lost).  STREAM is freed when the callback returns.  */
  void (*on_cancel) (void *ctx, peer_stream_t *stream);
  /* The caller has consumed data of the reply, so that more may be sent.  */
  void (*on_credit) (void *ctx, peer_stream_t *stream);
  /* PEER asks for the operators' state, to be sent by peer_send_document.  Its
     configuration has CONFIG_VERSION.  */
  void (*on_document_request) (void *ctx, peer_t *peer,
                               uint64_t config_version);
  /* PEER sent the operators' state that it has.  DOCUMENT is borrowed.  */
  void (*on_document) (void *ctx, peer_t *peer, const mesh_document *document);
  void *ctx; /* borrowed */
} peer_handler_t;

/* Starts to accept links.  ADDR is the address by which the peers know this
   sidecar.  Listens on BIND_ADDR, or on ADDR if the port of BIND_ADDR is 0;
   in that case port 0 of ADDR stands for any free port.  LOOP is borrowed,
   HANDLER is copied.  Returns NULL with *ERROR set when it cannot listen.  */
peer_set_t *peer_set_new (loop_t *loop, endpoint_addr_t addr,
                          endpoint_addr_t bind_addr,
                          const peer_handler_t *handler, error_info_t *error);

/* Whether data on a link, queued here or in the kernel, has not been
   acknowledged by its peer.  */
bool peer_set_has_unacked_data (const peer_set_t *peers);

/* Sends the frames made so far as far as the sockets take them, closes all
   links and frees PEERS.  The callbacks run as when links are lost.  */
void peer_set_free (peer_set_t *peers);

/* Id of this sidecar: its address with the port that was bound.  */
vm_id_t peer_set_own_vm (const peer_set_t *peers);

/* Makes VM a member of the fleet: its link is opened, and again when it is
   lost.  The id of this sidecar is ignored.  */
void peer_set_add (peer_set_t *peers, vm_id_t vm);
/* Removes VM from the members: no new link to it is opened, but an existing
   one stays.  */
void peer_set_remove (peer_set_t *peers, vm_id_t vm);

/* Closes links that timed out, connects to members without a link, and sends
   reports, to other availability zones only if CROSS_ZONE.  FULL is passed to
   make_report.  Call it every PEER_REPORT_INTERVAL_US, with CROSS_ZONE at
   least every second time, so that no peer closes its link as silent.  */
void peer_set_tick (peer_set_t *peers, bool full, bool cross_zone);

/* Sends reports at once, because something has changed; FULL and CROSS_ZONE
   are as above.  */
void peer_set_send_reports (peer_set_t *peers, bool full, bool cross_zone);

/* Returns NULL when VM is not known.  */
peer_t *peer_set_find (peer_set_t *peers, vm_id_t vm);
vm_id_t peer_vm (const peer_t *peer);
bool peer_is_up (const peer_t *peer);
/* Whether reports of PEER are overdue although its link is still up.  */
bool peer_is_silent (const peer_t *peer);
/* Sets whether PEER is in another availability zone.  */
void peer_mark_cross_zone (peer_t *peer, bool cross_zone);
bool peer_is_cross_zone (const peer_t *peer);
uint64_t peer_incarnation (const peer_t *peer); /* 0 before its first report */

typedef void (*peer_visit_t) (void *ctx, peer_t *peer);
/* Calls VISIT for each known peer, members or not.  */
void peer_set_each (peer_set_t *peers, peer_visit_t visit, void *ctx);

/* Sends CALL; the reply or failure goes to SINK.  Both are copied.  Returns
   NULL, with nothing sent, when there is no link, when too much data is queued
   on it, or when CALL exceeds a limit of a frame.
   The returned call is freed before the callback that ends it.  */
peer_call_t *peer_send_call (peer_t *peer, const call_request_t *call,
                             const call_sink_t *sink);

/* Cancels and frees CALL; no callback follows.  */
void peer_call_cancel (peer_call_t *call);

/* Grants the peer credit for SIZE more bytes of the reply, which the caller
   has consumed, so that it may send more.  The credit is sent in batches.  */
void peer_call_consume (peer_call_t *call, size_t size);

/* Whether the link of STREAM was lost.  */
bool peer_stream_is_lost (const peer_stream_t *stream);

/* Sends the head of the reply to a served call and the first SIZE bytes of its
   body.  Its fields have MESH_FIELDS_MAX bytes at most.  LAST ends the call
   and frees STREAM.  */
void peer_stream_send_reply (peer_stream_t *stream, const call_reply_t *reply,
                             const char *body, size_t size, bool last);
/* Sends SIZE more bytes of the body.  LAST is as above.  */
void peer_stream_send_body (peer_stream_t *stream, const char *data,
                            size_t size, bool last);
/* Ends the call with FAILURE and frees STREAM.  */
void peer_stream_fail (peer_stream_t *stream, const call_failure_t *failure);
/* Whether more than the flow-control window was sent without credit from the
   caller.  */
bool peer_stream_window_is_full (const peer_stream_t *stream);
void peer_stream_set_user_data (peer_stream_t *stream, void *user_data);
void *peer_stream_user_data (const peer_stream_t *stream);

/* Asks PEER for the operators' state, unless there is no link to it.  The
   document goes to on_document.  CONFIG_VERSION is that of the local
   configuration, which need not be sent.  */
void peer_request_document (peer_t *peer, uint64_t config_version);
/* Sends DOCUMENT, which is borrowed, unless there is no link to PEER.  */
void peer_send_document (peer_t *peer, mesh_document *document);

/* Purpose of the data on a link.  */
typedef enum peer_traffic_t
{
  TRAFFIC_REPORT,
  TRAFFIC_CALL,
  TRAFFIC_REPLY,
  TRAFFIC_DOCUMENT,
  TRAFFIC_COUNT
} peer_traffic_t;

/* Returns the name of TRAFFIC in metrics, in static storage.  */
const char *peer_traffic_name (peer_traffic_t traffic);

typedef struct peer_set_stats_t
{
  uint32_t members;
  uint32_t peers_up;
  uint32_t links_open;      /* those that are connecting included */
  uint64_t sockets_lacking; /* links not opened for lack of a socket */
  uint64_t links_lost;      /* connections closed after the first report */
  uint64_t frames_in;
  uint64_t frames_out;
  uint64_t bytes_out;
  uint64_t cross_zone_bytes[TRAFFIC_COUNT]; /* to other availability zones */
  /* Frames that were not sent, as a string or list in them is over its limit
     in the protocol.  */
  uint64_t frames_dropped[TRAFFIC_COUNT];
  uint64_t replies_malformed; /* calls failed for an invalid reply */
  uint64_t calls_malformed;   /* received calls that were refused as such */
  acceptor_stats_t accepting;
} peer_set_stats_t;

peer_set_stats_t peer_set_stats (const peer_set_t *peers);

#endif
