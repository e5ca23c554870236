#include "edge/peer_impl.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BYTES = 64 * 1024,       /* taken from a socket in one call */
  READS_A_TURN = 64,            /* of one link, so that others get theirs */
  FRAME_HEAD_BYTES = 8,         /* size of what follows, and kind */
  FRAME_MOST = 8 * 1024 * 1024, /* larger ones are malformed */
  REPORT_ROOM = 256 * 1024
};

static bool read_once (peer_link_t *link);

static void
link_flush (void *ctx)
{
  peer_link_t *link = ctx;
  struct ev_loop *ev = link->peers->loop->ev;

  while (!link->connecting && bytes_size (&link->out) > 0)
    {
      ssize_t sent = send (link->reader.fd, bytes_data (&link->out),
                           bytes_size (&link->out), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        {
          ev_io_start (ev, &link->writer);
          return;
        }
      if (sent < 0)
        {
          /* Answers may have arrived ahead of the end.  */
          while (read_once (link))
            ;
          link_close (link);
          return;
        }
      bytes_consume (&link->out, (size_t)sent);
      link->sent_bytes += (uint64_t)sent;
      link->peers->state.bytes_out += (uint64_t)sent;
    }
  if (!link->connecting)
    ev_io_stop (ev, &link->writer);
}

static peer_traffic_t
traffic_of (mesh_kind kind)
{
  switch (kind)
    {
    case MESH_REPORT:
      return TRAFFIC_REPORT;
    case MESH_REPLY:
    case MESH_REPLY_BODY:
    case MESH_FAILED:
      return TRAFFIC_ANSWER;
    case MESH_DOCUMENT:
      return TRAFFIC_DOCUMENT;
    default:
      return TRAFFIC_CALL;
    }
}

void
link_send (peer_link_t *link, mesh_kind kind, xdrproc_t encode, void *value,
           size_t room)
{
  XDR xdr;
  if (link->dead)
    return;
  char *at = bytes_reserve (&link->out, FRAME_HEAD_BYTES + room);
  xdrmem_create (&xdr, at + FRAME_HEAD_BYTES, (u_int)room, XDR_ENCODE);
  if (!encode (&xdr, value))
    return; /* a name beyond its bound: the peer could not read it either */
  uint32_t size = xdr_getpos (&xdr);
  uint32_t head[] = { htonl (size), htonl ((uint32_t)kind) };
  memcpy (at, head, sizeof head);
  bytes_commit (&link->out, FRAME_HEAD_BYTES + size);
  link->queued_bytes += FRAME_HEAD_BYTES + size;
  link->peers->state.frames_out++;
  if (link->peer != NULL && link->peer->far)
    link->peers->state.cross_zone_bytes[traffic_of (kind)]
        += FRAME_HEAD_BYTES + size;
  if (!link->connecting && !ev_is_active (&link->writer))
    loop_defer (link->peers->loop, &link->flush);
}

void
link_send_report (peer_link_t *link, bool whole)
{
  mesh_report report;
  peer_handler_t *handler = &link->peers->handler;
  memset (&report, 0, sizeof report);
  bool far = link->peer != NULL && link->peer->far;
  handler->make_report (handler->ctx, &report, whole, far);
  if (report.identity != NULL)
    report.identity->vm = link->peers->own;
  link_send (link, MESH_REPORT, (xdrproc_t)xdr_mesh_report, &report,
             REPORT_ROOM);
}

/* False when another sidecar than before is there.  */
static bool
identify (peer_link_t *link, const mesh_identity *identity)
{
  bool first = link->heard_us == 0;
  peer_t *peer = peer_find_or_add (link->peers, identity->vm);
  if (link->peer != NULL && link->peer != peer)
    return false;
  link->peer = peer;
  link->heard_us = link->peers->loop->now_us;
  peer->incarnation = identity->incarnation;
  if (first)
    peer_relink (peer);
  return true;
}

static bool
report_frame (peer_link_t *link, XDR *xdr)
{
  mesh_report report;
  peer_handler_t *handler = &link->peers->handler;
  memset (&report, 0, sizeof report);
  if (!xdr_mesh_report (xdr, &report))
    return false;
  bool sound = report.identity != NULL ? identify (link, report.identity)
                                       : link->peer != NULL;
  if (sound)
    handler->report (handler->ctx, link->peer, &report);
  xdr_free ((xdrproc_t)xdr_mesh_report, (char *)&report);
  return sound;
}

static bool
document_frame (peer_link_t *link, XDR *xdr)
{
  mesh_document document;
  peer_handler_t *handler = &link->peers->handler;
  memset (&document, 0, sizeof document);
  bool read = xdr_mesh_document (xdr, &document);
  if (read)
    handler->document (handler->ctx, link->peer, &document);
  xdr_free ((xdrproc_t)xdr_mesh_document, (char *)&document);
  return read;
}

/* The first frame of a link is a report: it tells who is there.  */
static bool
frame (peer_link_t *link, mesh_kind kind, const char *data, uint32_t size)
{
  XDR xdr;
  peer_handler_t *handler = &link->peers->handler;
  xdrmem_create (&xdr, (char *)data, size, XDR_DECODE);
  link->peers->state.frames_in++;
  if (kind == MESH_REPORT)
    return report_frame (link, &xdr);
  if (link->peer == NULL || link->heard_us == 0)
    return false;
  switch (kind)
    {
    case MESH_WANT_DOCUMENT:
      handler->want_document (handler->ctx, link->peer);
      return true;
    case MESH_DOCUMENT:
      return document_frame (link, &xdr);
    default:
      return stream_frame (link, kind, &xdr);
    }
}

static bool
read_frames (peer_link_t *link)
{
  while (!link->dead && bytes_size (&link->in) >= FRAME_HEAD_BYTES)
    {
      uint32_t head[2];
      memcpy (head, bytes_data (&link->in), sizeof head);
      uint32_t size = ntohl (head[0]);
      if (size > FRAME_MOST)
        return false;
      if (bytes_size (&link->in) < FRAME_HEAD_BYTES + size)
        return true;
      if (!frame (link, (mesh_kind)ntohl (head[1]),
                  bytes_data (&link->in) + FRAME_HEAD_BYTES, size))
        return false;
      if (!link->dead)
        bytes_consume (&link->in, FRAME_HEAD_BYTES + size);
    }
  return true;
}

/* True when more may be there to read.  */
static bool
read_once (peer_link_t *link)
{
  char *at = bytes_reserve (&link->in, READ_BYTES);
  ssize_t size = recv (link->reader.fd, at, READ_BYTES, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (size <= 0)
    {
      link_close (link);
      return false;
    }
  bytes_commit (&link->in, (size_t)size);
  if (link->heard_us > 0)
    link->heard_us = link->peers->loop->now_us;
  if (!read_frames (link))
    link_close (link);
  return !link->dead;
}

void
link_read (peer_link_t *link)
{
  for (int i = 0; i < READS_A_TURN && read_once (link); i++)
    ;
}

/* Reads a backlog whole: calls go out at the end of the turn, so a call whose
   cancellation is read in the same turn is never sent.  */
static void
on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  (void)ev;
  (void)events;
  link_read (reader->data);
}

static void
on_writable (struct ev_loop *ev, ev_io *writer, int events)
{
  peer_link_t *link = writer->data;
  (void)events;
  if (link->connecting)
    {
      int cause = 0;
      socklen_t size = sizeof cause;
      getsockopt (writer->fd, SOL_SOCKET, SO_ERROR, &cause, &size);
      if (cause != 0)
        {
          link_close (link);
          return;
        }
      link->connecting = false;
      ev_io_start (ev, &link->reader);
      link_send_report (link, true);
    }
  link_flush (link);
}

peer_link_t *
link_open (peer_set_t *peers, int fd, bool dialled)
{
  peer_link_t *link = calloc (1, sizeof *link);
  if (link == NULL)
    abort ();
  link->peers = peers;
  link->dialled = dialled;
  link->connecting = dialled;
  link->opened_us = peers->loop->now_us;
  link->flush = (loop_task_t){ .run = link_flush, .ctx = link };
  ev_io_init (&link->reader, on_readable, fd, EV_READ);
  ev_io_init (&link->writer, on_writable, fd, EV_WRITE);
  link->reader.data = link;
  link->writer.data = link;
  link->next = peers->links;
  if (peers->links != NULL)
    peers->links->prev = link;
  peers->links = link;
  ev_io_start (peers->loop->ev, dialled ? &link->writer : &link->reader);
  return link;
}

void
link_close (peer_link_t *link)
{
  peer_set_t *peers = link->peers;
  if (link->dead)
    return;
  link->dead = true;
  ev_io_stop (peers->loop->ev, &link->reader);
  ev_io_stop (peers->loop->ev, &link->writer);
  loop_cancel (peers->loop, &link->flush);
  close (link->reader.fd);
  if (link->prev != NULL)
    link->prev->next = link->next;
  else
    peers->links = link->next;
  if (link->next != NULL)
    link->next->prev = link->prev;
  if (link->heard_us > 0)
    peers->state.links_lost++;
  if (link->peer != NULL)
    peer_relink (link->peer);
  streams_lost (link);
  link->next = peers->dead;
  peers->dead = link;
  loop_defer (peers->loop, &peers->bury);
}

void
link_bury (void *ctx)
{
  peer_set_t *peers = ctx;
  while (peers->dead != NULL)
    {
      peer_link_t *link = peers->dead;
      peers->dead = link->next;
      bytes_free (&link->in);
      bytes_free (&link->out);
      slots_free (&link->calls);
      slots_free (&link->streams);
      free (link);
    }
}
