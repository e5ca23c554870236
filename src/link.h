#ifndef REDWINGFORD_LINK_H
#define REDWINGFORD_LINK_H

/* One-way control messages between daemons, as an interface.

   A part of the program that talks to its peers is given a link to send with
   and has a "receive" function of its own that the owner of the link calls.
   The daemon's link sends authenticated ONC RPC datagrams (endpoint.h); a
   test's link loses, delays, repeats and reorders.  Messages may be lost or
   come twice; a part that needs an answer repeats its question.

   Each part encodes its own messages with XDR (NAME_proto.x, compiled by
   rpcgen; its output NAME_proto.h and NAME_proto_xdr.c is committed).  */

#include "types.h"

/* MESSAGE (identifier, name): which part a message belongs to.  */
#define MESSAGE_KIND_TABLE(MESSAGE)                                           \
  MESSAGE (MEMBER, "member")     /* membership gossip */                      \
  MESSAGE (CONTRACT, "contract") /* shares of rates */                        \
  MESSAGE (ONCE, "once")         /* leases, outcome queries, hand-over */     \
  MESSAGE (CONFIG, "config")     /* configuration distribution */             \
  MESSAGE (LOAD, "load")         /* load and admission levels */              \
  MESSAGE (QUARANTINE, "quarantine")

typedef enum message_kind_t
{
#define MESSAGE_KIND_ENUM(id, name) MESSAGE_##id,
  MESSAGE_KIND_TABLE (MESSAGE_KIND_ENUM)
#undef MESSAGE_KIND_ENUM
      MESSAGE_KIND_COUNT
} message_kind_t;

typedef struct link_t
{
  /* Sends SIZE <= MESSAGE_BYTES_MAX bytes; never waits; copies DATA.  */
  void (*send) (void *ctx, vm_id_t to, message_kind_t kind, const void *data,
                size_t size);
  void *ctx; /* borrowed */
} link_t;

/* Static storage.  */
const char *message_kind_name (message_kind_t kind);

#endif
