#ifndef REDWINGFORD_ENDPOINT_H
#define REDWINGFORD_ENDPOINT_H

/* The control endpoint: one-way ONC RPC calls over UDP between daemons,
   authenticated with the fleet's secret.  The procedure number is the kind of
   message; no reply is sent and no portmapper is asked.  */

#include "clock.h"
#include "counters.h"
#include "errinfo.h"
#include "link.h"
#include "seal.h"

typedef struct endpoint_t endpoint_t;

/* One verified message.  DATA is borrowed for the call.  */
typedef void (*endpoint_receive_t) (void *ctx, vm_id_t from,
                                    message_kind_t kind, const void *data,
                                    size_t size);

/* Binds ADDR.  SEAL, COUNTERS and CLOCK are borrowed.  NULL with *error set
   when the address cannot be had.  Free with endpoint_free.  */
endpoint_t *endpoint_new (endpoint_addr_t addr, const seal_t *seal,
                          counters_t *counters, const clock_source_t *clock,
                          error_info_t *error);
void endpoint_free (endpoint_t *endpoint);

/* The VM's name: the bound address.  */
vm_id_t endpoint_vm (const endpoint_t *endpoint);

/* For poll.  */
int endpoint_fd (const endpoint_t *endpoint);

/* Hands at most 64 waiting messages to RECEIVE; never waits.  */
void endpoint_receive (endpoint_t *endpoint, endpoint_receive_t receive,
                       void *ctx);

/* Sends from any thread.  */
link_t endpoint_link (endpoint_t *endpoint);

/* Reads one datagram; false when malformed or not authentic.  PAYLOAD needs
   MESSAGE_BYTES_MAX bytes.  */
bool endpoint_decode (const seal_t *seal, void *datagram, size_t size,
                      int64_t wall_ms, vm_id_t *from, message_kind_t *kind,
                      void *payload, size_t *payload_size);

#endif
