#include "edge/peer_impl.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_CHUNK_BYTES = 64 * 1024, /* limit of a single recv */
  READS_PER_ITERATION_MAX = 64, /* of a link, so that it starves no other */
  FRAME_HEADER_BYTES = 8,       /* payload size and kind, 32 bits each */
  FRAME_MAX_BYTES = 8 * 1024 * 1024, /* larger frames are malformed */
  REPORT_MAX_BYTES = 256 * 1024
};

static bool read_chunk (peer_link_t *link);

static void
link_flush (void *ctx)
{
  peer_link_t *link = ctx;
  struct ev_loop *ev = link->peers->loop->ev;

  while (!link->connecting && bytes_size (&link->output) > 0)
    {
      ssize_t sent = send (link->read_watcher.fd, bytes_data (&link->output),
                           bytes_size (&link->output), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        {
          ev_io_start (ev, &link->write_watcher);
          return;
        }
      if (sent < 0)
        {
          /* Replies may have arrived before the connection ended.  */
          while (read_chunk (link))
            ;
          link_close (link);
          return;
        }
      bytes_consume (&link->output, (size_t)sent);
      link->sent_bytes += (uint64_t)sent;
      link->peers->stats.bytes_out += (uint64_t)sent;
    }
  if (!link->connecting)
    ev_io_stop (ev, &link->write_watcher);
}

void
link_send_output (peer_link_t *link)
{
  ssize_t sent = 1;
  while (!link->connecting && sent > 0 && bytes_size (&link->output) > 0)
    {
      sent = send (link->read_watcher.fd, bytes_data (&link->output),
                   bytes_size (&link->output), MSG_NOSIGNAL);
      if (sent > 0)
        bytes_consume (&link->output, (size_t)sent);
    }
}

static peer_traffic_t
traffic_of_kind (mesh_kind kind)
{
  switch (kind)
    {
    case MESH_REPORT:
      return TRAFFIC_REPORT;
    case MESH_REPLY:
    case MESH_REPLY_BODY:
    case MESH_FAILED:
      return TRAFFIC_REPLY;
    case MESH_DOCUMENT:
      return TRAFFIC_DOCUMENT;
    default:
      return TRAFFIC_CALL;
    }
}

bool
link_send_frame (peer_link_t *link, mesh_kind kind, xdrproc_t encode,
                 void *value, size_t max_size)
{
  XDR xdr;
  if (link->closed)
    return false;
  char *frame = bytes_reserve (&link->output, FRAME_HEADER_BYTES + max_size);
  xdrmem_create (&xdr, frame + FRAME_HEADER_BYTES, (u_int)max_size,
                 XDR_ENCODE);
  if (!encode (&xdr, value))
    {
      /* A string over its XDR limit, which the peer would reject.  */
      link->peers->stats.frames_dropped[traffic_of_kind (kind)]++;
      return false;
    }
  uint32_t size = xdr_getpos (&xdr);
  uint32_t header[] = { htonl (size), htonl ((uint32_t)kind) };
  memcpy (frame, header, sizeof header);
  bytes_commit (&link->output, FRAME_HEADER_BYTES + size);
  link->queued_bytes += FRAME_HEADER_BYTES + size;
  link->peers->stats.frames_out++;
  if (link->peer != NULL && link->peer->cross_zone)
    link->peers->stats.cross_zone_bytes[traffic_of_kind (kind)]
        += FRAME_HEADER_BYTES + size;
  if (!link->connecting && !ev_is_active (&link->write_watcher))
    loop_defer (link->peers->loop, &link->flush_task);
  return true;
}

void
link_send_report (peer_link_t *link, bool full)
{
  mesh_report report;
  peer_handler_t *handler = &link->peers->handler;
  memset (&report, 0, sizeof report);
  bool cross_zone = link->peer != NULL && link->peer->cross_zone;
  handler->make_report (handler->ctx, &report, full, cross_zone);
  if (report.identity != NULL)
    report.identity->vm = link->peers->own_vm;
  link_send_frame (link, MESH_REPORT, (xdrproc_t)xdr_mesh_report, &report,
                   REPORT_MAX_BYTES);
}

/* Whether a process that the peer started later has reported on a link that
   was opened after LINK.  */
static bool
is_of_earlier_process (const peer_link_t *link)
{
  const peer_link_t *newer = link->prev;
  while (newer != NULL
         && (newer->peer != link->peer || newer->last_received_us == 0
             || newer->incarnation == link->incarnation))
    newer = newer->prev;
  return newer != NULL;
}

/* Closes the links to earlier processes of LINK's peer, on which nothing will
   arrive any more.  Reads what has arrived before.  */
static void
close_links_of_earlier_processes (const peer_link_t *link)
{
  peer_link_t *next;
  for (peer_link_t *older = link->next; older != NULL; older = next)
    {
      next = older->next;
      if (older->peer != link->peer || older->last_received_us == 0
          || older->incarnation == link->incarnation)
        continue;
      link_read (older);
      link_close (older);
    }
}

/* Assigns LINK to the peer with IDENTITY.  Returns false when LINK belongs to
   another peer.  */
static bool
apply_identity (peer_link_t *link, const mesh_identity *identity)
{
  bool first_report = link->last_received_us == 0;
  peer_t *peer = peer_find_or_add (link->peers, identity->vm);
  if (link->peer != NULL && link->peer != peer)
    return false;
  link->peer = peer;
  link->incarnation = identity->incarnation;
  if (is_of_earlier_process (link))
    return true;
  link->last_received_us = link->peers->loop->now_us;
  peer->incarnation = identity->incarnation;
  if (first_report)
    {
      peer_select_link (peer);
      close_links_of_earlier_processes (link);
    }
  return true;
}

static bool
handle_report (peer_link_t *link, XDR *xdr)
{
  mesh_report report;
  peer_handler_t *handler = &link->peers->handler;
  memset (&report, 0, sizeof report);
  if (!xdr_mesh_report (xdr, &report))
    return false;
  bool valid = report.identity != NULL ? apply_identity (link, report.identity)
                                       : link->peer != NULL;
  if (valid && !is_of_earlier_process (link))
    handler->on_report (handler->ctx, link->peer, &report);
  xdr_free ((xdrproc_t)xdr_mesh_report, (char *)&report);
  return valid;
}

static bool
handle_document_request (peer_link_t *link, XDR *xdr)
{
  mesh_stream request;
  peer_handler_t *handler = &link->peers->handler;
  if (!xdr_mesh_stream (xdr, &request))
    return false;
  handler->on_document_request (handler->ctx, link->peer, request.stream);
  return true;
}

static bool
handle_document (peer_link_t *link, XDR *xdr)
{
  mesh_document document;
  peer_handler_t *handler = &link->peers->handler;
  memset (&document, 0, sizeof document);
  bool decoded = xdr_mesh_document (xdr, &document);
  if (decoded)
    handler->on_document (handler->ctx, link->peer, &document);
  xdr_free ((xdrproc_t)xdr_mesh_document, (char *)&document);
  return decoded;
}

/* The first frame of a link must be a report, which identifies the peer.
   Returns false when the frame is malformed.  */
static bool
handle_frame (peer_link_t *link, mesh_kind kind, const char *data,
              uint32_t size)
{
  XDR xdr;
  xdrmem_create (&xdr, (char *)data, size, XDR_DECODE);
  link->peers->stats.frames_in++;
  if (kind == MESH_REPORT)
    return handle_report (link, &xdr);
  if (link->peer == NULL || link->last_received_us == 0)
    return false;
  switch (kind)
    {
    case MESH_WANT_DOCUMENT:
      return handle_document_request (link, &xdr);
    case MESH_DOCUMENT:
      return handle_document (link, &xdr);
    default:
      return stream_handle_frame (link, kind, &xdr);
    }
}

static bool
handle_frames (peer_link_t *link)
{
  while (!link->closed && bytes_size (&link->input) >= FRAME_HEADER_BYTES)
    {
      uint32_t header[2];
      memcpy (header, bytes_data (&link->input), sizeof header);
      uint32_t size = ntohl (header[0]);
      if (size > FRAME_MAX_BYTES)
        return false;
      if (bytes_size (&link->input) < FRAME_HEADER_BYTES + size)
        return true;
      if (!handle_frame (link, (mesh_kind)ntohl (header[1]),
                         bytes_data (&link->input) + FRAME_HEADER_BYTES, size))
        return false;
      if (!link->closed)
        bytes_consume (&link->input, FRAME_HEADER_BYTES + size);
    }
  return true;
}

/* Returns true when there may be more to read.  */
static bool
read_chunk (peer_link_t *link)
{
  char *buffer = bytes_reserve (&link->input, READ_CHUNK_BYTES);
  ssize_t size = recv (link->read_watcher.fd, buffer, READ_CHUNK_BYTES, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (size <= 0)
    {
      link_close (link);
      return false;
    }
  bytes_commit (&link->input, (size_t)size);
  if (link->last_received_us > 0)
    link->last_received_us = link->peers->loop->now_us;
  if (!handle_frames (link))
    link_close (link);
  return !link->closed;
}

void
link_read (peer_link_t *link)
{
  for (int i = 0; i < READS_PER_ITERATION_MAX && read_chunk (link); i++)
    ;
}

/* Reads all that has arrived, up to READS_PER_ITERATION_MAX chunks: calls are
   sent to the backend server at the end of the iteration, so a call whose
   cancellation is read in the same iteration is never sent.  */
static void
on_readable (struct ev_loop *ev, ev_io *watcher, int events)
{
  (void)ev;
  (void)events;
  link_read (watcher->data);
}

static void
on_writable (struct ev_loop *ev, ev_io *watcher, int events)
{
  peer_link_t *link = watcher->data;
  (void)events;
  if (link->connecting)
    {
      int socket_error = 0;
      socklen_t size = sizeof socket_error;
      getsockopt (watcher->fd, SOL_SOCKET, SO_ERROR, &socket_error, &size);
      if (socket_error != 0)
        {
          link_close (link);
          return;
        }
      link->connecting = false;
      ev_io_start (ev, &link->read_watcher);
      link_send_report (link, true);
    }
  link_flush (link);
}

peer_link_t *
link_open (peer_set_t *peers, int fd, bool outbound)
{
  peer_link_t *link = calloc (1, sizeof *link);
  if (link == NULL)
    abort ();
  link->peers = peers;
  link->outbound = outbound;
  link->connecting = outbound;
  link->opened_us = peers->loop->now_us;
  link->flush_task = (loop_task_t){ .run = link_flush, .ctx = link };
  ev_io_init (&link->read_watcher, on_readable, fd, EV_READ);
  ev_io_init (&link->write_watcher, on_writable, fd, EV_WRITE);
  link->read_watcher.data = link;
  link->write_watcher.data = link;
  link->next = peers->links;
  if (peers->links != NULL)
    peers->links->prev = link;
  peers->links = link;
  ev_io_start (peers->loop->ev,
               outbound ? &link->write_watcher : &link->read_watcher);
  return link;
}

void
link_close (peer_link_t *link)
{
  peer_set_t *peers = link->peers;
  if (link->closed)
    return;
  link->closed = true;
  ev_io_stop (peers->loop->ev, &link->read_watcher);
  ev_io_stop (peers->loop->ev, &link->write_watcher);
  loop_cancel (peers->loop, &link->flush_task);
  close (link->read_watcher.fd);
  if (link->prev != NULL)
    link->prev->next = link->next;
  else
    peers->links = link->next;
  if (link->next != NULL)
    link->next->prev = link->prev;
  if (link->last_received_us > 0)
    peers->stats.links_lost++;
  if (link->peer != NULL)
    peer_select_link (link->peer);
  streams_end_all (link);
  link->next = peers->closed_links;
  peers->closed_links = link;
  loop_defer (peers->loop, &peers->free_closed_task);
}

void
link_free_closed (void *ctx)
{
  peer_set_t *peers = ctx;
  while (peers->closed_links != NULL)
    {
      peer_link_t *link = peers->closed_links;
      peers->closed_links = link->next;
      bytes_free (&link->input);
      bytes_free (&link->output);
      stream_table_free (&link->calls);
      stream_table_free (&link->streams);
      free (link);
    }
}
