#ifndef REDWINGFORD_SUPPORT_RELAY_H
#define REDWINGFORD_SUPPORT_RELAY_H

/* A TCP relay on loopback that misbehaves as told: the links between the
   processes of a soak go through one each.  */

#include "edge/loop.h"

typedef enum relay_fault_t
{
  RELAY_WELL,
  RELAY_MUTE,     /* nothing passes, also on new connections */
  RELAY_ONE_WAY,  /* nothing passes back to those who dialled */
  RELAY_MUTE_OLD, /* open connections stay mute for good, new ones pass */
  RELAY_RESET,    /* open connections are reset, new ones pass */
  RELAY_SLOW,     /* each piece is held for RELAY_SLOW_MS */
  RELAY_FAULT_COUNT
} relay_fault_t;

enum
{
  RELAY_SLOW_MS = 60
};

typedef struct relay_t relay_t;

/* Listens on a port that the kernel chooses and passes on to TARGET.  LOOP is
   borrowed; aborts on failure.  */
relay_t *relay_new (loop_t *loop, endpoint_addr_t target);
void relay_free (relay_t *relay);
uint16_t relay_port (const relay_t *relay);
void relay_set_fault (relay_t *relay, relay_fault_t fault);

#endif
