#ifndef REDWINGFORD_TYPES_H
#define REDWINGFORD_TYPES_H

/* Identities and limits shared by every module. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  NAME_BYTES = 64,       /* any name, with its final NUL */
  PATH_BYTES = 256,      /* a request path or a JSON path */
  REQUEST_ID_BYTES = 40, /* a root or request identity, as text */
  IDEMPOTENCY_KEY_BYTES = 80,
  PRIORITY_COUNT = 4, /* priority 0 is shed last, 3 first */
  CALL_DEPTH_MAX = 16,
  MESSAGE_BYTES_MAX = 1200 /* one control datagram's payload */
};

/* A VM, named by the address of its daemon's control endpoint:
   IPv4 address in host order << 16 | UDP port.  0 is no VM.  */
typedef uint64_t vm_id_t;

/* Number of a VM's life: larger is newer.  Taken from the wall clock in
   milliseconds when the daemon starts.  */
typedef uint64_t incarnation_t;

/* Configuration version: 0 is "none yet".  */
typedef uint64_t doc_version_t;

static inline vm_id_t
vm_id_make (uint32_t ip, uint16_t port)
{
  return ((vm_id_t)ip << 16) | port;
}

static inline uint32_t
vm_id_ip (vm_id_t vm)
{
  return (uint32_t)(vm >> 16);
}

static inline uint16_t
vm_id_port (vm_id_t vm)
{
  return (uint16_t)(vm & 0xffff);
}

#endif
