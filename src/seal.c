#include "seal.h"

#include <sodium.h>
#include <string.h>

void
seal_init (seal_t *seal, const settings_t *settings)
{
  memcpy (seal->secrets, settings->fleet_secrets, sizeof seal->secrets);
  seal->secret_count = settings->fleet_secret_count;
}

static void
sign_with (const uint8_t *secret, const void *data, size_t size,
           uint8_t code[SEAL_BYTES])
{
  crypto_generichash (code, SEAL_BYTES, data, size, secret,
                      FLEET_SECRET_BYTES);
}

void
seal_sign (const seal_t *seal, const void *data, size_t size,
           uint8_t code[SEAL_BYTES])
{
  sign_with (seal->secrets[0], data, size, code);
}

bool
seal_verify (const seal_t *seal, const void *data, size_t size,
             const uint8_t code[SEAL_BYTES])
{
  uint8_t expected[SEAL_BYTES];

  for (size_t i = 0; i < seal->secret_count; i++)
    {
      sign_with (seal->secrets[i], data, size, expected);
      if (sodium_memcmp (expected, code, SEAL_BYTES) == 0)
        return true;
    }
  return false;
}
