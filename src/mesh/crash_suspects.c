#include "mesh/crash_suspects.h"

#include <stdlib.h>

#include "clock.h"
#include "quarantine.h"

enum
{
  /* Crashes of one fingerprint within this time of the last counted one count
     as one.  When a zone loses power, many servers fail at once, and each
     sidecar detects it only when it next uses its server.  */
  CRASH_MERGE_US = US_PER_S,
  /* Long enough for one or two of the reports that carry suspects.  */
  OWN_UPDATE_SEND_US = 3 * US_PER_S,
  /* After the last crash, completion or newer state from another sidecar.  */
  SUSPECT_EXPIRY_US = 60 * US_PER_S,
  /* While blocked: after the last of these or the last refused request.  */
  BLOCK_EXPIRY_US = 300 * US_PER_S
};

typedef struct suspect_t
{
  suspect_update_t state;
  /* When the count last grew here or a newer state was taken over.  */
  int64_t crashed_us;
  int64_t send_until_us; /* an own change is sent until then */
  int64_t expires_us;
} suspect_t;

struct crash_suspects_t
{
  suspect_t items[SUSPECTS_MAX];
  uint32_t count;
};

uint64_t
crash_suspects_fingerprint (const char *account, const char *target,
                            const void *body, size_t size)
{
  return quarantine_fingerprint (account, target, body, size);
}

crash_suspects_t *
crash_suspects_new (void)
{
  crash_suspects_t *suspects = calloc (1, sizeof *suspects);
  if (suspects == NULL)
    abort ();
  return suspects;
}

void
crash_suspects_free (crash_suspects_t *suspects)
{
  free (suspects);
}

bool
crash_suspects_is_empty (const crash_suspects_t *suspects)
{
  return suspects->count == 0;
}

static suspect_t *
find_suspect (crash_suspects_t *suspects, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < suspects->count; i++)
    if (suspects->items[i].state.fingerprint == fingerprint)
      return &suspects->items[i];
  return NULL;
}

/* Returns an unused entry, or else the suspect with the fewest crashes.  */
static suspect_t *
allocate_suspect (crash_suspects_t *suspects)
{
  if (suspects->count < SUSPECTS_MAX)
    return &suspects->items[suspects->count++];
  suspect_t *fewest_crashes = &suspects->items[0];
  for (uint32_t i = 1; i < suspects->count; i++)
    if (suspects->items[i].state.crashes < fewest_crashes->state.crashes)
      fewest_crashes = &suspects->items[i];
  return fewest_crashes;
}

static suspect_t *
find_or_add_suspect (crash_suspects_t *suspects, uint64_t fingerprint)
{
  suspect_t *suspect = find_suspect (suspects, fingerprint);
  if (suspect != NULL)
    return suspect;
  suspect = allocate_suspect (suspects);
  *suspect = (suspect_t){ .state = { .fingerprint = fingerprint },
                          .crashed_us = -CRASH_MERGE_US };
  return suspect;
}

static bool
is_blocked (const suspect_t *suspect)
{
  return suspect->state.crashes >= SUSPECT_BLOCK_CRASHES;
}

static void
extend_expiry (suspect_t *suspect, int64_t now_us)
{
  suspect->expires_us
      = now_us + (is_blocked (suspect) ? BLOCK_EXPIRY_US : SUSPECT_EXPIRY_US);
}

bool
crash_suspects_record_crash (crash_suspects_t *suspects, uint64_t fingerprint,
                             int64_t now_us)
{
  suspect_t *suspect = find_or_add_suspect (suspects, fingerprint);
  extend_expiry (suspect, now_us);
  if (now_us - suspect->crashed_us < CRASH_MERGE_US)
    return false;
  suspect->crashed_us = now_us;
  suspect->state.crashes++;
  suspect->send_until_us = now_us + OWN_UPDATE_SEND_US;
  extend_expiry (suspect, now_us);
  return true;
}

bool
crash_suspects_record_completion (crash_suspects_t *suspects,
                                  uint64_t fingerprint, int64_t now_us)
{
  suspect_t *suspect = find_suspect (suspects, fingerprint);
  if (suspect == NULL || suspect->state.crashes == 0)
    return false;
  suspect->state.epoch++;
  suspect->state.crashes = 0;
  suspect->send_until_us = now_us + OWN_UPDATE_SEND_US;
  extend_expiry (suspect, now_us);
  return true;
}

bool
crash_suspects_is_suspected (crash_suspects_t *suspects, uint64_t fingerprint,
                             int64_t now_us)
{
  const suspect_t *suspect = find_suspect (suspects, fingerprint);
  return suspect != NULL && suspect->state.crashes > 0
         && suspect->expires_us > now_us;
}

bool
crash_suspects_should_refuse (crash_suspects_t *suspects, uint64_t fingerprint,
                              int64_t now_us)
{
  suspect_t *suspect = find_suspect (suspects, fingerprint);
  if (suspect == NULL || !is_blocked (suspect)
      || suspect->expires_us <= now_us)
    return false;
  extend_expiry (suspect, now_us);
  return true;
}

void
crash_suspects_merge (crash_suspects_t *suspects,
                      const suspect_update_t *update, int64_t now_us)
{
  suspect_t *suspect = find_or_add_suspect (suspects, update->fingerprint);
  bool is_newer = update->epoch > suspect->state.epoch
                  || (update->epoch == suspect->state.epoch
                      && update->crashes > suspect->state.crashes);
  if (suspect->expires_us == 0)
    extend_expiry (suspect, now_us);
  if (!is_newer)
    return;
  suspect->state = *update;
  suspect->crashed_us = now_us;
  extend_expiry (suspect, now_us);
}

void
crash_suspects_visit_updates (crash_suspects_t *suspects, int64_t now_us,
                              suspect_update_visit_t visit, void *ctx)
{
  for (uint32_t i = 0; i < suspects->count;)
    {
      suspect_t *suspect = &suspects->items[i];
      if (suspect->expires_us <= now_us)
        {
          *suspect = suspects->items[--suspects->count];
          continue;
        }
      if (is_blocked (suspect) || suspect->send_until_us > now_us)
        visit (ctx, &suspect->state);
      i++;
    }
}
