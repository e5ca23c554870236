#include "endpoint.h"

#include <arpa/inet.h>
#include <errno.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call_proto.h"

enum
{
  CONTROL_PROGRAM = 0x2fab0001,
  CONTROL_VERSION = 1,
  DATAGRAM_BYTES = 1472,
  RECEIVE_BATCH = 64,
  /* A recorded datagram is not taken for a new one after this.  */
  DATAGRAM_AGE_MAX_MS = 120000
};

struct endpoint_t
{
  int fd;
  vm_id_t vm;
  const seal_t *seal;
  counters_t *counters;
  const clock_source_t *clock;
  atomic_uint xid;
};

static bool
bind_socket (endpoint_t *endpoint, endpoint_addr_t addr)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t size = sizeof name;

  name.sin_addr.s_addr = htonl (addr.ip);
  name.sin_port = htons (addr.port);
  if (bind (endpoint->fd, (struct sockaddr *)&name, sizeof name) != 0
      || getsockname (endpoint->fd, (struct sockaddr *)&name, &size) != 0)
    return false;
  endpoint->vm = vm_id_make (addr.ip, ntohs (name.sin_port));
  return true;
}

endpoint_t *
endpoint_new (endpoint_addr_t addr, const seal_t *seal, counters_t *counters,
              const clock_source_t *clock, error_info_t *error)
{
  endpoint_t *endpoint = calloc (1, sizeof *endpoint);

  endpoint->seal = seal;
  endpoint->counters = counters;
  endpoint->clock = clock;
  endpoint->fd
      = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (endpoint->fd >= 0 && bind_socket (endpoint, addr))
    return endpoint;
  error_set (error, ERROR_IO, "/control",
             "cannot bind the control address: %s; name a free address",
             strerror (errno));
  endpoint_free (endpoint);
  return NULL;
}

void
endpoint_free (endpoint_t *endpoint)
{
  if (endpoint->fd >= 0)
    close (endpoint->fd);
  free (endpoint);
}

vm_id_t
endpoint_vm (const endpoint_t *endpoint)
{
  return endpoint->vm;
}

int
endpoint_fd (const endpoint_t *endpoint)
{
  return endpoint->fd;
}

static bool
xdr_call_header (XDR *xdrs, struct rpc_msg *message)
{
  message->rm_direction = CALL;
  message->rm_call.cb_rpcvers = RPC_MSG_VERSION;
  message->rm_call.cb_prog = CONTROL_PROGRAM;
  message->rm_call.cb_vers = CONTROL_VERSION;
  message->rm_call.cb_cred = _null_auth;
  message->rm_call.cb_verf = _null_auth;
  return xdr_callmsg (xdrs, message);
}

/* Size of the encoded datagram, or 0.  */
static size_t
encode (endpoint_t *endpoint, message_kind_t kind, const void *data,
        size_t size, uint8_t buffer[DATAGRAM_BYTES])
{
  struct rpc_msg message = { 0 };
  wire_datagram wire = { .from = endpoint->vm,
                         .sent_ms = (u_quad_t)clock_wall_ms (endpoint->clock),
                         .payload = { (u_int)size, (char *)data } };
  XDR xdrs;

  message.rm_xid = atomic_fetch_add (&endpoint->xid, 1);
  message.rm_call.cb_proc = (rpcproc_t)kind + 1;
  xdrmem_create (&xdrs, (char *)buffer, DATAGRAM_BYTES - SEAL_BYTES,
                 XDR_ENCODE);
  size_t encoded = 0;
  if (xdr_call_header (&xdrs, &message) && xdr_wire_datagram (&xdrs, &wire))
    encoded = xdr_getpos (&xdrs);
  xdr_destroy (&xdrs);
  if (encoded == 0)
    return 0;
  seal_sign (endpoint->seal, buffer, encoded, buffer + encoded);
  return encoded + SEAL_BYTES;
}

static void
endpoint_send (void *ctx, vm_id_t to, message_kind_t kind, const void *data,
               size_t size)
{
  endpoint_t *endpoint = ctx;
  uint8_t buffer[DATAGRAM_BYTES];
  struct sockaddr_in name = { .sin_family = AF_INET };

  size_t encoded = encode (endpoint, kind, data, size, buffer);
  if (encoded == 0)
    return;
  name.sin_addr.s_addr = htonl (vm_id_ip (to));
  name.sin_port = htons (vm_id_port (to));
  ssize_t sent = sendto (endpoint->fd, buffer, encoded, MSG_DONTWAIT,
                         (struct sockaddr *)&name, sizeof name);
  if (sent > 0)
    counters_sent (endpoint->counters, kind, (uint32_t)sent);
}

link_t
endpoint_link (endpoint_t *endpoint)
{
  return (link_t){ endpoint_send, endpoint };
}

static bool
decode_body (XDR *xdrs, int64_t wall_ms, vm_id_t *from, void *payload,
             size_t *payload_size)
{
  wire_datagram wire = { 0 };
  bool ok = xdr_wire_datagram (xdrs, &wire)
            && llabs (wall_ms - (int64_t)wire.sent_ms) <= DATAGRAM_AGE_MAX_MS;
  if (ok)
    {
      *from = wire.from;
      *payload_size = wire.payload.payload_len;
      memcpy (payload, wire.payload.payload_val, wire.payload.payload_len);
    }
  xdr_free ((xdrproc_t)xdr_wire_datagram, (char *)&wire);
  return ok;
}

bool
endpoint_decode (const seal_t *seal, void *datagram, size_t size,
                 int64_t wall_ms, vm_id_t *from, message_kind_t *kind,
                 void *payload, size_t *payload_size)
{
  struct rpc_msg message = { 0 };
  uint8_t *bytes = datagram;
  XDR xdrs;

  if (size <= SEAL_BYTES
      || !seal_verify (seal, bytes, size - SEAL_BYTES,
                       bytes + size - SEAL_BYTES))
    return false;
  char credentials[2 * MAX_AUTH_BYTES];
  message.rm_call.cb_cred.oa_base = credentials;
  message.rm_call.cb_verf.oa_base = credentials + MAX_AUTH_BYTES;
  xdrmem_create (&xdrs, (char *)bytes, (u_int)(size - SEAL_BYTES), XDR_DECODE);
  bool ok = xdr_callmsg (&xdrs, &message) && message.rm_direction == CALL
            && message.rm_call.cb_prog == CONTROL_PROGRAM
            && message.rm_call.cb_vers == CONTROL_VERSION
            && message.rm_call.cb_proc >= 1
            && message.rm_call.cb_proc <= MESSAGE_KIND_COUNT
            && decode_body (&xdrs, wall_ms, from, payload, payload_size);
  xdr_destroy (&xdrs);
  *kind = ok ? (message_kind_t)(message.rm_call.cb_proc - 1) : MESSAGE_MEMBER;
  return ok;
}

void
endpoint_receive (endpoint_t *endpoint, endpoint_receive_t receive, void *ctx)
{
  uint8_t buffer[DATAGRAM_BYTES];
  uint8_t payload[MESSAGE_BYTES_MAX];

  for (int i = 0; i < RECEIVE_BATCH; i++)
    {
      ssize_t size = recv (endpoint->fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (size < 0)
        return;
      vm_id_t from = 0;
      message_kind_t kind = MESSAGE_MEMBER;
      size_t payload_size = 0;
      if (!endpoint_decode (endpoint->seal, buffer, (size_t)size,
                            clock_wall_ms (endpoint->clock), &from, &kind,
                            payload, &payload_size))
        {
          counters_rejected (endpoint->counters);
          continue;
        }
      counters_received (endpoint->counters, kind, (uint32_t)size);
      receive (ctx, from, kind, payload, payload_size);
    }
}
