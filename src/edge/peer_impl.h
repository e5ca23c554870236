#ifndef REDWINGFORD_PEER_IMPL_H
#define REDWINGFORD_PEER_IMPL_H

/* Shared by peer.c (who the peers are), peer_link.c (connections and frames)
   and peer_stream.c (calls on them).  */

#include "edge/peer.h"

typedef struct peer_link_t peer_link_t;

enum
{
  SLOT_BITS = 20, /* of a stream id; the rest counts its uses */
  SLOT_MASK = (1 << SLOT_BITS) - 1
};

struct peer_call_t
{
  peer_link_t *link;
  uint64_t stream;
  call_sink_t sink;
  uint64_t frame_end; /* bytes of the link up to the call's last frame */
  uint32_t taken;     /* not yet told as credit */
  bool replied;
};

struct peer_stream_t
{
  peer_link_t *link;
  uint64_t stream;
  mesh_call call; /* kept until its body is complete */
  bytes_t body;
  bool started; /* the handler has it */
  size_t unacked;
  void *user;
};

/* Calls or streams by the slot part of their ids.  */
typedef struct slots_t
{
  void **items;
  uint32_t room;
  uint32_t count;
  uint32_t *free; /* slots to use again */
  uint32_t free_count;
  uint32_t used; /* slots that were ever used */
} slots_t;

struct peer_link_t
{
  peer_set_t *peers;
  peer_t *peer; /* NULL until the first report */
  peer_link_t *next;
  peer_link_t *prev;
  ev_io reader;
  ev_io writer;
  loop_task_t flush;
  bytes_t in;
  bytes_t out;
  int64_t opened_us;
  int64_t heard_us;
  uint64_t queued_bytes; /* ever put into out */
  uint64_t sent_bytes;   /* ever taken by the kernel */
  slots_t calls;
  slots_t streams;
  uint64_t uses;
  bool dialled; /* by this side */
  bool connecting;
  bool dead;
};

struct peer_t
{
  peer_set_t *peers;
  peer_t *next;
  vm_id_t vm;
  uint64_t incarnation;
  peer_link_t *link; /* carries new calls; NULL while down */
  bool member;
  bool far;        /* of another availability zone */
  int64_t dial_us; /* when it may be dialled again */
  int64_t backoff_us;
};

struct peer_set_t
{
  loop_t *loop;
  peer_handler_t handler;
  vm_id_t own;
  ev_io acceptor;
  peer_t *first;
  peer_link_t *links;
  peer_link_t *dead;
  loop_task_t bury;
  peer_set_state_t state;
  char *block;
};

/* Opens a link on the connected or connecting socket FD.  */
peer_link_t *link_open (peer_set_t *peers, int fd, bool dialled);
void link_close (peer_link_t *link);
void link_bury (void *peers);

/* Takes what has arrived.  The link may be dead on return.  */
void link_read (peer_link_t *link);

/* Encodes VALUE as a frame.  ROOM is at least its size.  */
void link_send (peer_link_t *link, mesh_kind kind, xdrproc_t encode,
                void *value, size_t room);
void link_send_report (peer_link_t *link, bool whole);

/* The links of PEER have changed.  */
void peer_relink (peer_t *peer);
peer_t *peer_find_or_add (peer_set_t *peers, vm_id_t vm);

/* A frame of a call came.  False when it is malformed.  */
bool stream_frame (peer_link_t *link, mesh_kind kind, XDR *xdr);

/* The link is lost: ends its calls and streams.  */
void streams_lost (peer_link_t *link);

void *slots_get (const slots_t *slots, uint64_t stream);
void slots_free (slots_t *slots);

#endif
