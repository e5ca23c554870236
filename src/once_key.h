#ifndef REDWINGFORD_ONCE_KEY_H
#define REDWINGFORD_ONCE_KEY_H

/* The issue time that an idempotency key bears.  */

#include "types.h"

enum
{
  ONCE_KEY_UNTIMED = -1,
  ONCE_STAMP_BYTES = 24
};

/* Unix time in milliseconds of a UUIDv7 (RFC 9562) or of a key that starts
   with a stamp, or ONCE_KEY_UNTIMED.  */
int64_t once_key_time_ms (const char *key);

/* Writes a stamp such as "rw-0190b1a2c3d4-" into TEXT of at least
   ONCE_STAMP_BYTES.  A caller without a trusted clock puts it before its own
   key text.  */
void once_stamp_format (int64_t wall_ms, char *text);

#endif
