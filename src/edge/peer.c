#include "edge/peer_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LINK_SILENCE_MS = 1000, /* for data to be acknowledged, as for reports */
  DIAL_FIRST_US = 250 * US_PER_MS, /* between two tries; doubles */
  DIAL_MOST_US = 4 * US_PER_S,
  CONNECT_US = 600 * US_PER_MS /* for a link to open */
};

static endpoint_addr_t
vm_addr (vm_id_t vm)
{
  return (endpoint_addr_t){ vm_id_ip (vm), vm_id_port (vm) };
}

peer_t *
peer_set_find (peer_set_t *peers, vm_id_t vm)
{
  for (peer_t *peer = peers->first; peer != NULL; peer = peer->next)
    if (peer->vm == vm)
      return peer;
  return NULL;
}

peer_t *
peer_find_or_add (peer_set_t *peers, vm_id_t vm)
{
  peer_t *peer = peer_set_find (peers, vm);
  if (peer != NULL)
    return peer;
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    abort ();
  peer->peers = peers;
  peer->vm = vm;
  peer->backoff_us = DIAL_FIRST_US;
  peer->next = peers->first;
  peers->first = peer;
  return peer;
}

static bool
dialled_by_lower (const peer_link_t *link)
{
  bool lower = link->peers->own < link->peer->vm;
  return link->dialled == lower;
}

/* New calls go over the link that the lower of the two has dialled, if there
   is one, so that both sides settle on the same; over the newest of several,
   and never over one that has brought no report.  */
void
peer_relink (peer_t *peer)
{
  peer_link_t *best = NULL;
  for (peer_link_t *link = peer->peers->links; link != NULL; link = link->next)
    if (link->peer == peer && !link->dead && link->heard_us > 0
        && (best == NULL
            || (dialled_by_lower (link) && !dialled_by_lower (best))))
      best = link;
  bool was_up = peer->link != NULL;
  peer->link = best;
  if (best != NULL)
    peer->backoff_us = DIAL_FIRST_US;
  else if (was_up)
    peer->peers->handler.down (peer->peers->handler.ctx, peer);
}

static bool
is_dialling (const peer_t *peer)
{
  for (peer_link_t *link = peer->peers->links; link != NULL; link = link->next)
    if (link->peer == peer)
      return true;
  return false;
}

static void
dial (peer_t *peer)
{
  peer_set_t *peers = peer->peers;
  if (!peer->member || peer->link != NULL || is_dialling (peer)
      || peers->loop->now_us < peer->dial_us)
    return;
  int fd = loop_connect (vm_addr (peer->vm), LINK_SILENCE_MS);
  peer->dial_us = peers->loop->now_us + peer->backoff_us;
  peer->backoff_us = peer->backoff_us * 2 < DIAL_MOST_US ? peer->backoff_us * 2
                                                         : DIAL_MOST_US;
  if (fd < 0)
    return;
  peer_link_t *link = link_open (peers, fd, true);
  link->peer = peer;
}

void
peer_set_add (peer_set_t *peers, vm_id_t vm)
{
  if (vm == peers->own)
    return;
  peer_t *peer = peer_find_or_add (peers, vm);
  if (!peer->member)
    {
      peer->member = true;
      peer->dial_us = 0;
      peer->backoff_us = DIAL_FIRST_US;
      peers->state.members++;
    }
  dial (peer);
}

void
peer_set_remove (peer_set_t *peers, vm_id_t vm)
{
  peer_t *peer = peer_set_find (peers, vm);
  if (peer == NULL || !peer->member)
    return;
  peer->member = false;
  peers->state.members--;
}

/* A second link of a pair is closed once nothing is left on it.  */
static bool
is_spare (const peer_link_t *link)
{
  return link->peer != NULL && link->dialled && link->peer->link != link
         && link->peer->link != NULL && link->calls.count == 0
         && link->streams.count == 0 && !link->connecting
         && link->peers->loop->now_us - link->opened_us
                > PEER_SILENCE_TIMEOUT_US;
}

static bool
is_silent (const peer_link_t *link)
{
  int64_t now_us = link->peers->loop->now_us;
  return link->heard_us == 0
             ? now_us - link->opened_us > CONNECT_US
             : now_us - link->heard_us > PEER_SILENCE_TIMEOUT_US;
}

static void
check_link (peer_link_t *link)
{
  /* The loop may come late to what has arrived in time.  */
  if (is_silent (link) && !link->connecting)
    link_read (link);
  if (link->dead)
    return;
  if (is_silent (link))
    link_close (link);
  else if (is_spare (link))
    link_close (link);
}

static void
report_to (peer_set_t *peers, bool whole, bool far)
{
  for (peer_link_t *link = peers->links; link != NULL; link = link->next)
    if (!link->connecting && (far || link->peer == NULL || !link->peer->far))
      link_send_report (link, whole);
}

void
peer_set_send_reports (peer_set_t *peers, bool whole, bool far)
{
  report_to (peers, whole, far);
}

void
peer_mark_cross_zone (peer_t *peer, bool far)
{
  peer->far = far;
}

bool
peer_is_cross_zone (const peer_t *peer)
{
  return peer->far;
}

void
peer_set_tick (peer_set_t *peers, bool whole, bool far)
{
  peer_link_t *next;
  for (peer_link_t *link = peers->links; link != NULL; link = next)
    {
      next = link->next;
      check_link (link);
    }
  for (peer_t *peer = peers->first; peer != NULL; peer = peer->next)
    dial (peer);
  report_to (peers, whole, far);
}

static void
on_acceptable (struct ev_loop *ev, ev_io *acceptor, int events)
{
  peer_set_t *peers = acceptor->data;
  (void)ev;
  (void)events;
  int fd = accept4 (acceptor->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  loop_set_socket_options (fd, LINK_SILENCE_MS);
  link_send_report (link_open (peers, fd, false), true);
}

peer_set_t *
peer_set_new (loop_t *loop, endpoint_addr_t addr, endpoint_addr_t bind,
              const peer_handler_t *handler, error_info_t *error)
{
  int fd = loop_listen (bind.port != 0 ? bind : addr, error);
  if (fd < 0)
    return NULL;
  peer_set_t *peers = calloc (1, sizeof *peers);
  if (peers == NULL)
    abort ();
  struct sockaddr_in at = { 0 };
  socklen_t size = sizeof at;
  if (bind.port == 0 && getsockname (fd, (struct sockaddr *)&at, &size) == 0)
    addr.port = ntohs (at.sin_port);
  peers->loop = loop;
  peers->handler = *handler;
  peers->own = vm_id_make (addr.ip, addr.port);
  peers->bury = (loop_task_t){ .run = link_bury, .ctx = peers };
  ev_io_init (&peers->acceptor, on_acceptable, fd, EV_READ);
  peers->acceptor.data = peers;
  ev_io_start (loop->ev, &peers->acceptor);
  return peers;
}

void
peer_set_free (peer_set_t *peers)
{
  if (peers == NULL)
    return;
  ev_io_stop (peers->loop->ev, &peers->acceptor);
  close (peers->acceptor.fd);
  while (peers->links != NULL)
    link_close (peers->links);
  loop_cancel (peers->loop, &peers->bury);
  link_bury (peers);
  while (peers->first != NULL)
    {
      peer_t *peer = peers->first;
      peers->first = peer->next;
      free (peer);
    }
  free (peers->block);
  free (peers);
}

bool
peer_set_has_unsent_data (const peer_set_t *peers)
{
  for (const peer_link_t *link = peers->links; link != NULL; link = link->next)
    if (!link->connecting
        && (bytes_size (&link->out) > 0
            || loop_unacked_bytes (link->reader.fd) > 0))
      return true;
  return false;
}

vm_id_t
peer_set_own_vm (const peer_set_t *peers)
{
  return peers->own;
}

vm_id_t
peer_vm (const peer_t *peer)
{
  return peer->vm;
}

bool
peer_is_up (const peer_t *peer)
{
  return peer->link != NULL;
}

uint64_t
peer_incarnation (const peer_t *peer)
{
  return peer->incarnation;
}

void
peer_set_each (peer_set_t *peers, peer_visit_t visit, void *ctx)
{
  for (peer_t *peer = peers->first; peer != NULL; peer = peer->next)
    visit (ctx, peer);
}

const char *
peer_traffic_name (peer_traffic_t traffic)
{
  static const char *const names[TRAFFIC_COUNT] = {
    [TRAFFIC_REPORT] = "report",
    [TRAFFIC_CALL] = "call",
    [TRAFFIC_ANSWER] = "answer",
    [TRAFFIC_DOCUMENT] = "document",
  };
  return names[traffic];
}

peer_set_state_t
peer_set_state (const peer_set_t *peers)
{
  peer_set_state_t state = peers->state;
  for (const peer_t *peer = peers->first; peer != NULL; peer = peer->next)
    state.peers_up += peer->link != NULL;
  return state;
}
