#ifndef REDWINGFORD_SEAL_H
#define REDWINGFORD_SEAL_H

/* Message authentication between daemons, with the fleet's secrets.  */

#include "settings.h"

enum
{
  SEAL_BYTES = 32
};

typedef struct seal_t
{
  uint8_t secrets[FLEET_SECRETS_MAX][FLEET_SECRET_BYTES];
  size_t secret_count; /* the first signs, all verify */
} seal_t;

void seal_init (seal_t *seal, const settings_t *settings);

/* Writes the code of DATA into CODE.  */
void seal_sign (const seal_t *seal, const void *data, size_t size,
                uint8_t code[SEAL_BYTES]);

/* True when one of the secrets made CODE.  Takes constant time per secret. */
bool seal_verify (const seal_t *seal, const void *data, size_t size,
                  const uint8_t code[SEAL_BYTES]);

#endif
