#include "edge/peer_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

enum
{
  BUCKETS_MIN = 16,
  LINK_ACK_TIMEOUT_MS = 1000, /* for sent data, as PEER_SILENCE_TIMEOUT_US */
  RECONNECT_DELAY_MIN_US = 250 * US_PER_MS, /* doubles with each attempt */
  RECONNECT_DELAY_MAX_US = 4 * US_PER_S,
  LINK_OPEN_TIMEOUT_US = 600 * US_PER_MS /* until the first report */
};

static endpoint_addr_t
vm_addr (vm_id_t vm)
{
  return (endpoint_addr_t){ vm_id_ip (vm), vm_id_port (vm) };
}

static peer_t **
bucket_of (const peer_set_t *peers, vm_id_t vm)
{
  return &peers->buckets[XXH3_64bits (&vm, sizeof vm)
                         & (peers->bucket_count - 1)];
}

peer_t *
peer_set_find (peer_set_t *peers, vm_id_t vm)
{
  if (peers->bucket_count == 0)
    return NULL;
  peer_t *peer = *bucket_of (peers, vm);
  while (peer != NULL && peer->vm != vm)
    peer = peer->next_in_bucket;
  return peer;
}

static void
add_to_bucket (peer_set_t *peers, peer_t *peer)
{
  peer_t **bucket = bucket_of (peers, peer->vm);
  peer->next_in_bucket = *bucket;
  *bucket = peer;
}

static void
double_buckets (peer_set_t *peers)
{
  free (peers->buckets);
  peers->bucket_count
      = peers->bucket_count > 0 ? 2 * peers->bucket_count : BUCKETS_MIN;
  peers->buckets = calloc (peers->bucket_count, sizeof (peer_t *));
  if (peers->buckets == NULL)
    abort ();
  for (peer_t *peer = peers->first_peer; peer != NULL; peer = peer->next)
    add_to_bucket (peers, peer);
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
  peer->reconnect_delay_us = RECONNECT_DELAY_MIN_US;
  if (peers->peer_count == peers->bucket_count)
    double_buckets (peers);
  peer->next = peers->first_peer;
  peers->first_peer = peer;
  peers->peer_count++;
  add_to_bucket (peers, peer);
  return peer;
}

static bool
is_opened_by_lower_id (const peer_link_t *link)
{
  bool own_is_lower = link->peers->own_vm < link->peer->vm;
  return link->outbound == own_is_lower;
}

/* Prefers a link that the sidecar with the lower id opened, so that both sides
   select the same one, and the newest of several.  A link on which no report
   has arrived is never selected.  */
void
peer_select_link (peer_t *peer)
{
  peer_link_t *best = NULL;
  for (peer_link_t *link = peer->peers->links; link != NULL; link = link->next)
    if (link->peer == peer && !link->closed && link->last_received_us > 0
        && (best == NULL
            || (is_opened_by_lower_id (link)
                && !is_opened_by_lower_id (best))))
      best = link;
  bool was_up = peer->active_link != NULL;
  int64_t now_us = peer->peers->loop->now_us;
  peer->active_link = best;
  if (best != NULL && !was_up)
    peer->up_since_us = now_us;
  else if (best == NULL && was_up)
    {
      /* A peer that closes each link at once must not be dialled in a
         loop.  */
      if (now_us - peer->up_since_us >= PEER_LINK_STOOD_US)
        {
          peer->next_connect_us = now_us;
          peer->reconnect_delay_us = RECONNECT_DELAY_MIN_US;
        }
      loop_defer (peer->peers->loop, &peer->peers->reconnect_task);
      peer->peers->handler.on_disconnect (peer->peers->handler.ctx, peer);
    }
}

static bool
has_link (const peer_t *peer)
{
  for (peer_link_t *link = peer->peers->links; link != NULL; link = link->next)
    if (link->peer == peer)
      return true;
  return false;
}

static void
connect_peer (peer_t *peer)
{
  peer_set_t *peers = peer->peers;
  if (!peer->is_member || peer->active_link != NULL || has_link (peer)
      || peers->loop->now_us < peer->next_connect_us)
    return;
  int fd = loop_connect (vm_addr (peer->vm), LINK_ACK_TIMEOUT_MS);
  if (fd < 0 && loop_is_connect_lack (errno))
    peers->stats.sockets_lacking++;
  peer->next_connect_us = peers->loop->now_us + peer->reconnect_delay_us;
  peer->reconnect_delay_us
      = peer->reconnect_delay_us * 2 < RECONNECT_DELAY_MAX_US
            ? peer->reconnect_delay_us * 2
            : RECONNECT_DELAY_MAX_US;
  if (fd < 0)
    return;
  peer_link_t *link = link_open (peers, fd, true);
  link->peer = peer;
}

void
peer_set_add (peer_set_t *peers, vm_id_t vm)
{
  if (vm == peers->own_vm)
    return;
  peer_t *peer = peer_find_or_add (peers, vm);
  if (!peer->is_member)
    {
      peer->is_member = true;
      peer->next_connect_us = 0;
      peer->reconnect_delay_us = RECONNECT_DELAY_MIN_US;
      peers->stats.members++;
    }
  connect_peer (peer);
}

void
peer_set_remove (peer_set_t *peers, vm_id_t vm)
{
  peer_t *peer = peer_set_find (peers, vm);
  if (peer == NULL || !peer->is_member)
    return;
  peer->is_member = false;
  peers->stats.members--;
}

/* Whether LINK is a second link to its peer.  The side that opened it closes
   it after PEER_SILENCE_TIMEOUT_US, once no call is left on it.  */
static bool
is_redundant (const peer_link_t *link)
{
  return link->peer != NULL && link->outbound
         && link->peer->active_link != link && link->peer->active_link != NULL
         && link->calls.count == 0 && link->streams.count == 0
         && !link->connecting
         && link->peers->loop->now_us - link->opened_us
                > PEER_SILENCE_TIMEOUT_US;
}

static bool
is_timed_out (const peer_link_t *link)
{
  int64_t now_us = link->peers->loop->now_us;
  return link->last_received_us == 0
             ? now_us - link->opened_us > LINK_OPEN_TIMEOUT_US
             : now_us - link->last_received_us > PEER_SILENCE_TIMEOUT_US;
}

static void
check_link (peer_link_t *link)
{
  /* If the loop runs late, it may not have read what arrived in time.  */
  if (is_timed_out (link) && !link->connecting)
    link_read (link);
  if (link->closed)
    return;
  if (is_timed_out (link))
    link_close (link);
  else if (is_redundant (link))
    link_close (link);
}

static void
send_reports (peer_set_t *peers, bool full, bool cross_zone)
{
  for (peer_link_t *link = peers->links; link != NULL; link = link->next)
    if (!link->connecting
        && (cross_zone || link->peer == NULL || !link->peer->cross_zone))
      link_send_report (link, full);
}

void
peer_set_send_reports (peer_set_t *peers, bool full, bool cross_zone)
{
  send_reports (peers, full, cross_zone);
}

void
peer_mark_cross_zone (peer_t *peer, bool cross_zone)
{
  peer->cross_zone = cross_zone;
}

bool
peer_is_cross_zone (const peer_t *peer)
{
  return peer->cross_zone;
}

static void
reconnect (void *ctx)
{
  peer_set_t *peers = ctx;
  for (peer_t *peer = peers->first_peer; peer != NULL; peer = peer->next)
    connect_peer (peer);
}

void
peer_set_tick (peer_set_t *peers, bool full, bool cross_zone)
{
  peer_link_t *next;
  for (peer_link_t *link = peers->links; link != NULL; link = next)
    {
      next = link->next;
      check_link (link);
    }
  reconnect (peers);
  send_reports (peers, full, cross_zone);
}

static void
on_connection (void *ctx)
{
  peer_set_t *peers = ctx;
  uint32_t ip;
  int fd = acceptor_take (&peers->acceptor, &ip);
  if (fd < 0)
    return;
  loop_set_socket_options (fd, LINK_ACK_TIMEOUT_MS);
  link_send_report (link_open (peers, fd, false), true);
}

peer_set_t *
peer_set_new (loop_t *loop, endpoint_addr_t addr, endpoint_addr_t bind_addr,
              const peer_handler_t *handler, error_info_t *error)
{
  int fd = loop_listen (bind_addr.port != 0 ? bind_addr : addr, error);
  if (fd < 0)
    return NULL;
  peer_set_t *peers = calloc (1, sizeof *peers);
  if (peers == NULL)
    abort ();
  struct sockaddr_in bound_addr = { 0 };
  socklen_t bound_addr_size = sizeof bound_addr;
  if (bind_addr.port == 0
      && getsockname (fd, (struct sockaddr *)&bound_addr, &bound_addr_size)
             == 0)
    addr.port = ntohs (bound_addr.sin_port);
  peers->loop = loop;
  peers->handler = *handler;
  peers->own_vm = vm_id_make (addr.ip, addr.port);
  peers->free_closed_task
      = (loop_task_t){ .run = link_free_closed, .ctx = peers };
  peers->reconnect_task = (loop_task_t){ .run = reconnect, .ctx = peers };
  acceptor_open (&peers->acceptor, loop, fd, on_connection, peers);
  return peers;
}

void
peer_set_free (peer_set_t *peers)
{
  if (peers == NULL)
    return;
  acceptor_close (&peers->acceptor);
  for (peer_link_t *link = peers->links; link != NULL; link = link->next)
    link_send_output (link);
  while (peers->links != NULL)
    link_close (peers->links);
  loop_cancel (peers->loop, &peers->free_closed_task);
  loop_cancel (peers->loop, &peers->reconnect_task);
  link_free_closed (peers);
  while (peers->first_peer != NULL)
    {
      peer_t *peer = peers->first_peer;
      peers->first_peer = peer->next;
      free (peer);
    }
  free (peers->buckets);
  free (peers->block);
  free (peers);
}

bool
peer_set_has_unacked_data (const peer_set_t *peers)
{
  for (const peer_link_t *link = peers->links; link != NULL; link = link->next)
    if (!link->connecting
        && (bytes_size (&link->output) > 0
            || loop_unacked_bytes (link->read_watcher.fd) > 0))
      return true;
  return false;
}

vm_id_t
peer_set_own_vm (const peer_set_t *peers)
{
  return peers->own_vm;
}

vm_id_t
peer_vm (const peer_t *peer)
{
  return peer->vm;
}

bool
peer_is_up (const peer_t *peer)
{
  return peer->active_link != NULL;
}

bool
peer_is_silent (const peer_t *peer)
{
  const peer_link_t *link = peer->active_link;
  /* What arrived since the loop last waited may not have been read yet.  */
  return link != NULL
         && peer->peers->loop->previous_now_us - link->last_received_us
                > (peer->cross_zone ? PEER_SILENT_CROSS_ZONE_US
                                    : PEER_SILENT_US);
}

uint64_t
peer_incarnation (const peer_t *peer)
{
  return peer->incarnation;
}

void
peer_set_each (peer_set_t *peers, peer_visit_t visit, void *ctx)
{
  for (peer_t *peer = peers->first_peer; peer != NULL; peer = peer->next)
    visit (ctx, peer);
}

const char *
peer_traffic_name (peer_traffic_t traffic)
{
  static const char *const names[TRAFFIC_COUNT] = {
    [TRAFFIC_REPORT] = "report",
    [TRAFFIC_CALL] = "call",
    [TRAFFIC_REPLY] = "answer",
    [TRAFFIC_DOCUMENT] = "document",
  };
  return names[traffic];
}

peer_set_stats_t
peer_set_stats (const peer_set_t *peers)
{
  peer_set_stats_t stats = peers->stats;
  stats.accepting = acceptor_stats (&peers->acceptor);
  for (const peer_link_t *link = peers->links; link != NULL; link = link->next)
    stats.links_open++;
  for (const peer_t *peer = peers->first_peer; peer != NULL; peer = peer->next)
    stats.peers_up += peer->active_link != NULL;
  return stats;
}
