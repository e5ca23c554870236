#include "doc.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "doc_index.h"

enum
{
  KEY_BYTES_MAX = 256
};

static const doc_key_t no_key = { .id = "" };

static void
hash_secret (const uint8_t *salt, const char *secret, size_t length,
             uint8_t *hash)
{
  crypto_generichash (hash, KEY_HASH_BYTES, (const unsigned char *)secret,
                      length, salt, KEY_SALT_BYTES);
}

bool
doc_key_matches (const doc_key_t *key, const char *secret, size_t length)
{
  uint8_t hash[KEY_HASH_BYTES];
  hash_secret (key->salt, secret, length, hash);
  return sodium_memcmp (hash, key->hash, sizeof hash) == 0;
}

key_verdict_t
doc_check_key (const doc_t *doc, const char *key, uint32_t *account)
{
  const doc_index_t *index = doc_index (doc);
  size_t length = strnlen (key, KEY_BYTES_MAX + 1);
  const char *dot = memrchr (key, '.', length);
  if (dot == NULL || length > KEY_BYTES_MAX)
    return KEY_VERDICT_UNKNOWN;

  int64_t place = name_table_find (index->keys, key, (size_t)(dot - key));
  const doc_key_t *known = &no_key;
  if (place != NAME_TABLE_NONE)
    known = &doc->accounts[index->places[place].account]
                 .keys[index->places[place].key];

  /* An unknown id costs a hash as well, so that time tells no ids.  */
  bool equal
      = doc_key_matches (known, dot + 1, length - (size_t)(dot + 1 - key));
  if (!equal || place == NAME_TABLE_NONE)
    return KEY_VERDICT_UNKNOWN;
  *account = index->places[place].account;
  return known->withdrawn ? KEY_VERDICT_WITHDRAWN : KEY_VERDICT_OK;
}

void
doc_key_make (doc_key_t *key, char *text)
{
  uint8_t secret[KEY_SECRET_BYTES];
  char hex[2 * KEY_SECRET_BYTES + 1];

  randombytes_buf (secret, sizeof secret);
  randombytes_buf (key->salt, sizeof key->salt);
  sodium_bin2hex (hex, sizeof hex, secret, sizeof secret);
  hash_secret (key->salt, hex, strlen (hex), key->hash);
  snprintf (text, KEY_TEXT_BYTES, "%s.%s", key->id, hex);
  sodium_memzero (secret, sizeof secret);
  sodium_memzero (hex, sizeof hex);
}
