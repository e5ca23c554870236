#include "mesh/crash_suspects.h"

#include <stdlib.h>

#include "clock.h"
#include "quarantine.h"

enum
{
  /* A zone that loses power takes many servers at once, and each sidecar
     notices when it next needs its server: one crash for all that runs.  */
  TOGETHER_US = US_PER_S,
  TELL_US = 3 * US_PER_S,     /* own news; a whole report or two */
  SUSPECT_US = 60 * US_PER_S, /* without another crash */
  HELD_US = 300 * US_PER_S    /* without another request */
};

typedef struct suspect_t
{
  suspect_update_t news;
  int64_t crashed_us; /* when the count last grew */
  int64_t tell_us;    /* own news until then */
  int64_t until_us;
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
find (crash_suspects_t *suspects, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < suspects->count; i++)
    if (suspects->items[i].news.fingerprint == fingerprint)
      return &suspects->items[i];
  return NULL;
}

/* A free place, or that of the suspect with the fewest crashes.  */
static suspect_t *
take_place (crash_suspects_t *suspects)
{
  if (suspects->count < SUSPECTS_MAX)
    return &suspects->items[suspects->count++];
  suspect_t *least = &suspects->items[0];
  for (uint32_t i = 1; i < suspects->count; i++)
    if (suspects->items[i].news.crashes < least->news.crashes)
      least = &suspects->items[i];
  return least;
}

static suspect_t *
find_or_add (crash_suspects_t *suspects, uint64_t fingerprint)
{
  suspect_t *suspect = find (suspects, fingerprint);
  if (suspect != NULL)
    return suspect;
  suspect = take_place (suspects);
  *suspect = (suspect_t){ .news = { .fingerprint = fingerprint },
                          .crashed_us = -TOGETHER_US };
  return suspect;
}

static bool
is_held (const suspect_t *suspect)
{
  return suspect->news.crashes >= SUSPECT_BLOCK_CRASHES;
}

static void
prolong (suspect_t *suspect, int64_t now_us)
{
  suspect->until_us = now_us + (is_held (suspect) ? HELD_US : SUSPECT_US);
}

bool
crash_suspects_record_crash (crash_suspects_t *suspects, uint64_t fingerprint,
                             int64_t now_us)
{
  suspect_t *suspect = find_or_add (suspects, fingerprint);
  prolong (suspect, now_us);
  if (now_us - suspect->crashed_us < TOGETHER_US)
    return false;
  suspect->crashed_us = now_us;
  suspect->news.crashes++;
  suspect->tell_us = now_us + TELL_US;
  prolong (suspect, now_us);
  return true;
}

bool
crash_suspects_record_completion (crash_suspects_t *suspects,
                                  uint64_t fingerprint, int64_t now_us)
{
  suspect_t *suspect = find (suspects, fingerprint);
  if (suspect == NULL || suspect->news.crashes == 0)
    return false;
  suspect->news.epoch++;
  suspect->news.crashes = 0;
  suspect->tell_us = now_us + TELL_US;
  prolong (suspect, now_us);
  return true;
}

bool
crash_suspects_should_refuse (crash_suspects_t *suspects, uint64_t fingerprint,
                              int64_t now_us)
{
  suspect_t *suspect = find (suspects, fingerprint);
  if (suspect == NULL || !is_held (suspect) || suspect->until_us <= now_us)
    return false;
  prolong (suspect, now_us);
  return true;
}

void
crash_suspects_merge (crash_suspects_t *suspects, const suspect_update_t *news,
                      int64_t now_us)
{
  suspect_t *suspect = find_or_add (suspects, news->fingerprint);
  bool later = news->epoch > suspect->news.epoch
               || (news->epoch == suspect->news.epoch
                   && news->crashes > suspect->news.crashes);
  if (suspect->until_us == 0)
    prolong (suspect, now_us);
  if (!later)
    return;
  suspect->news = *news;
  suspect->crashed_us = now_us;
  prolong (suspect, now_us);
}

void
crash_suspects_visit_updates (crash_suspects_t *suspects, int64_t now_us,
                              suspect_visit_t visit, void *ctx)
{
  for (uint32_t i = 0; i < suspects->count;)
    {
      suspect_t *suspect = &suspects->items[i];
      if (suspect->until_us <= now_us)
        {
          *suspect = suspects->items[--suspects->count];
          continue;
        }
      if (is_held (suspect) || suspect->tell_us > now_us)
        visit (ctx, &suspect->news);
      i++;
    }
}
