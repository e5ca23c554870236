#include "once_key.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  TIME_DIGITS = 12, /* 48 bits in hexadecimal */
  UUID_LENGTH = 36,
  UUID_VERSION_AT = 14,
  BITS_PER_DIGIT = 4
};

static const char stamp_prefix[] = "rw-";

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

/* Reads TIME_DIGITS digits, passing over hyphens when SKIP is set.  */
static int64_t
read_time (const char *text, bool skip)
{
  int64_t value = 0;
  int digits = 0;

  for (; digits < TIME_DIGITS; text++)
    {
      if (skip && *text == '-')
        continue;
      int digit = hex_digit (*text);
      if (digit < 0)
        return ONCE_KEY_UNTIMED;
      value = value << BITS_PER_DIGIT | digit;
      digits++;
    }
  return value;
}

static bool
is_uuid (const char *key)
{
  if (strlen (key) != UUID_LENGTH)
    return false;
  for (int i = 0; i < UUID_LENGTH; i++)
    {
      bool hyphen = i == 8 || i == 13 || i == 18 || i == 23;
      if (hyphen ? key[i] != '-' : hex_digit (key[i]) < 0)
        return false;
    }
  return true;
}

int64_t
once_key_time_ms (const char *key)
{
  size_t prefix = sizeof stamp_prefix - 1;

  if (strncmp (key, stamp_prefix, prefix) == 0)
    {
      int64_t time_ms = read_time (key + prefix, false);
      if (time_ms >= 0 && key[prefix + TIME_DIGITS] == '-')
        return time_ms;
      return ONCE_KEY_UNTIMED;
    }
  if (is_uuid (key) && key[UUID_VERSION_AT] == '7')
    return read_time (key, true);
  return ONCE_KEY_UNTIMED;
}

void
once_stamp_format (int64_t wall_ms, char *text)
{
  uint64_t time_ms = (uint64_t)wall_ms & UINT64_C (0xffffffffffff);

  snprintf (text, ONCE_STAMP_BYTES, "%s%012" PRIx64 "-", stamp_prefix,
            time_ms);
}
