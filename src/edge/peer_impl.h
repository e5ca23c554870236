#ifndef REDWINGFORD_PEER_IMPL_H
#define REDWINGFORD_PEER_IMPL_H

/* Internal declarations of peer.c (the set of peers), peer_link.c (connections
   and frames) and peer_stream.c (calls over connections).  */

#include "edge/acceptor.h"
#include "edge/peer.h"

typedef struct peer_link_t peer_link_t;

enum
{
  /* Low bits of a stream id, which are an index into a stream_table_t.  The
     high bits number the calls of a link.  */
  STREAM_SLOT_BITS = 20,
  STREAM_SLOT_MASK = (1 << STREAM_SLOT_BITS) - 1
};

struct peer_call_t
{
  peer_link_t *link;
  uint64_t stream_id;
  call_sink_t sink;
  uint64_t end_offset_bytes; /* queued_bytes after the call's last frame */
  uint32_t uncredited_bytes; /* consumed, credit not yet sent */
  bool reply_received;
  int64_t reply_length; /* announced for the body; -1 is unknown */
  uint64_t reply_bytes; /* of the body, received so far */
};

struct peer_stream_t
{
  peer_link_t *link;
  uint64_t stream_id;
  mesh_call call;          /* owned */
  bytes_t body;            /* received so far, if in several frames */
  bool call_dispatched;    /* on_call was invoked */
  size_t uncredited_bytes; /* of the reply, sent and without credit */
  void *user_data;
};

/* Calls or streams, indexed by the slot bits of their stream ids.  The side
   that sends a call allocates its slot, so the table of the served calls does
   not use the last three members.  */
typedef struct stream_table_t
{
  void **items;
  uint32_t capacity;
  uint32_t count;
  uint32_t *free_slots; /* stack of slots to reuse */
  uint32_t free_slot_count;
  uint32_t next_unused_slot; /* all slots below were used before */
} stream_table_t;

struct peer_link_t
{
  peer_set_t *peers;
  peer_t *peer;         /* NULL before the first report of an inbound link */
  uint64_t incarnation; /* of the peer's process; 0 before its first report */
  peer_link_t *next;
  peer_link_t *prev;
  ev_io read_watcher;
  ev_io write_watcher;
  loop_task_t flush_task;
  bytes_t input;
  bytes_t output;
  int64_t opened_us;
  int64_t last_received_us; /* 0 before the first report */
  uint64_t queued_bytes;    /* total appended to output */
  uint64_t sent_bytes;      /* total accepted by the kernel */
  stream_table_t calls;
  stream_table_t streams;
  uint64_t call_sequence; /* high bits of the last stream id */
  bool outbound;          /* opened by this side */
  bool connecting;
  bool closed;
};

struct peer_t
{
  peer_set_t *peers;
  peer_t *next;
  peer_t *next_in_bucket;
  vm_id_t vm;
  uint64_t incarnation;
  peer_link_t *active_link; /* carries new calls; NULL while down */
  bool is_member;
  bool cross_zone;            /* in another availability zone */
  int64_t up_since_us;        /* when active_link ceased to be NULL */
  int64_t next_connect_us;    /* earliest time of the next attempt */
  int64_t reconnect_delay_us; /* after the next attempt */
};

struct peer_set_t
{
  loop_t *loop;
  peer_handler_t handler;
  vm_id_t own_vm;
  acceptor_t acceptor;
  peer_t *first_peer;
  /* Hash table of the peers by VM; bucket_count is a power of two, or 0.  */
  peer_t **buckets;
  size_t bucket_count;
  size_t peer_count;
  peer_link_t *links;        /* the newest first */
  peer_link_t *closed_links; /* to be freed by free_closed_task */
  loop_task_t free_closed_task;
  loop_task_t reconnect_task; /* connects to members without a link */
  peer_set_stats_t stats;
  char *block;
};

/* Creates a link on the socket FD, which is connecting if OUTBOUND, else
   connected.  Takes over FD.  */
peer_link_t *link_open (peer_set_t *peers, int fd, bool outbound);
/* Sends what is queued as far as the socket takes it, before a close.  */
void link_send_output (peer_link_t *link);
/* Closes LINK and ends its calls.  LINK is freed before the loop next
   waits.  */
void link_close (peer_link_t *link);
/* Loop task: frees the closed links of PEERS, a peer_set_t.  */
void link_free_closed (void *peers);

/* Reads and handles what has arrived, up to a limit.  The link may be closed
   on return.  */
void link_read (peer_link_t *link);

/* Queues VALUE as a frame; its encoded size is at most MAX_SIZE.  Returns
   false, with nothing queued, if the link is closed or VALUE exceeds a limit
   of the protocol, which is counted.  */
bool link_send_frame (peer_link_t *link, mesh_kind kind, xdrproc_t encode,
                      void *value, size_t max_size);
void link_send_report (peer_link_t *link, bool full);

/* Selects the link for new calls to PEER; to be called whenever the links of
   PEER change.  */
void peer_select_link (peer_t *peer);
peer_t *peer_find_or_add (peer_set_t *peers, vm_id_t vm);

/* Handles a frame of a call.  Returns false when it is malformed.  */
bool stream_handle_frame (peer_link_t *link, mesh_kind kind, XDR *xdr);

/* Ends the calls and streams of LINK, which was closed.  */
void streams_end_all (peer_link_t *link);

void *stream_table_get (const stream_table_t *table, uint64_t stream_id);
void stream_table_free (stream_table_t *table);

#endif
