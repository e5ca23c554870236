#include "quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "invariant.h"

enum
{
  DRAIN_AFTER_US = 100 * US_PER_MS, /* a suspect waits, then others do */
  DRAIN_EVERY_US = US_PER_S         /* at most one drain in this time */
};

struct quarantine_t
{
  quarantine_entry_t entries[QUARANTINE_ENTRIES_MAX];
  size_t count;
  bool suspect_runs;
  fingerprint_t running;  /* the suspect that runs alone */
  int64_t waits_since_us; /* a suspect waits since then; 0: none */
  int64_t last_asked_us;  /* when it last asked */
  int64_t last_alone_us;  /* when the last suspect ended */
};

fingerprint_t
quarantine_fingerprint (const char *account, const char *route,
                        const void *body, size_t size)
{
  XXH64_hash_t hash = XXH3_64bits (account, strlen (account) + 1);

  hash = XXH3_64bits_withSeed (route, strlen (route) + 1, hash);
  return XXH3_64bits_withSeed (body, size, hash);
}

quarantine_t *
quarantine_new (void)
{
  return calloc (1, sizeof (quarantine_t));
}

void
quarantine_free (quarantine_t *quarantine)
{
  free (quarantine);
}

static quarantine_entry_t *
find (const quarantine_t *quarantine, fingerprint_t fingerprint)
{
  /* Almost always empty, and never longer than its bound.  */
  for (size_t i = 0; i < quarantine->count; i++)
    if (quarantine->entries[i].fingerprint == fingerprint)
      return (quarantine_entry_t *)&quarantine->entries[i];
  return NULL;
}

/* The entry that can best be missed: lifted before suspect before held, the
   next to expire among equals.  */
static quarantine_entry_t *
least (quarantine_t *quarantine)
{
  static const int worth[] = { [QUARANTINE_NONE] = 0,
                               [QUARANTINE_LIFTED] = 1,
                               [QUARANTINE_SUSPECT] = 2,
                               [QUARANTINE_HELD] = 3 };
  quarantine_entry_t *best = &quarantine->entries[0];

  for (size_t i = 1; i < quarantine->count; i++)
    {
      quarantine_entry_t *entry = &quarantine->entries[i];
      if (worth[entry->state] < worth[best->state]
          || (worth[entry->state] == worth[best->state]
              && entry->until_us < best->until_us))
        best = entry;
    }
  return best;
}

static quarantine_entry_t *
find_or_add (quarantine_t *quarantine, fingerprint_t fingerprint)
{
  quarantine_entry_t *entry = find (quarantine, fingerprint);

  if (entry != NULL)
    return entry;
  if (quarantine->count < QUARANTINE_ENTRIES_MAX)
    entry = &quarantine->entries[quarantine->count++];
  else
    entry = least (quarantine);
  *entry = (quarantine_entry_t){ .fingerprint = fingerprint };
  return entry;
}

quarantine_state_t
quarantine_state (const quarantine_t *quarantine, fingerprint_t fingerprint,
                  int64_t now_us)
{
  const quarantine_entry_t *entry = find (quarantine, fingerprint);

  if (entry == NULL || entry->until_us <= now_us)
    return QUARANTINE_NONE;
  return entry->state;
}

/* Whether a waiting suspect holds back the others now.  */
static bool
is_draining (quarantine_t *quarantine, int64_t now_us)
{
  if (quarantine->waits_since_us == 0)
    return false;
  if (now_us - quarantine->last_asked_us > DRAIN_AFTER_US)
    {
      /* It went away.  */
      quarantine->waits_since_us = 0;
      return false;
    }
  return now_us - quarantine->waits_since_us >= DRAIN_AFTER_US
         && now_us - quarantine->last_alone_us >= DRAIN_EVERY_US;
}

static quarantine_verdict_t
start_suspect (quarantine_t *quarantine, fingerprint_t fingerprint,
               uint32_t in_flight, int64_t now_us)
{
  if (in_flight > 0)
    {
      if (quarantine->waits_since_us == 0)
        quarantine->waits_since_us = now_us;
      quarantine->last_asked_us = now_us;
      return QUARANTINE_WAIT;
    }
  INVARIANT (!quarantine->suspect_runs, "two suspects run at once");
  quarantine->waits_since_us = 0;
  quarantine->suspect_runs = true;
  quarantine->running = fingerprint;
  return QUARANTINE_RUN;
}

quarantine_verdict_t
quarantine_start (quarantine_t *quarantine,
                  const quarantine_request_t *request, uint32_t in_flight,
                  int64_t now_us)
{
  quarantine_state_t state = QUARANTINE_NONE;

  if (quarantine->count > 0)
    state = quarantine_state (quarantine, request->fingerprint, now_us);
  if (state == QUARANTINE_HELD)
    return QUARANTINE_REFUSE;
  if (quarantine->suspect_runs)
    return QUARANTINE_WAIT;
  if (state == QUARANTINE_SUSPECT)
    return start_suspect (quarantine, request->fingerprint, in_flight, now_us);
  return is_draining (quarantine, now_us) ? QUARANTINE_WAIT : QUARANTINE_RUN;
}

static void
set_state (quarantine_entry_t *entry, quarantine_state_t state,
           int32_t seconds, int64_t now_us)
{
  entry->state = state;
  entry->version++;
  entry->until_us = now_us + seconds * (int64_t)US_PER_S;
}

/* True when FINGERPRINT is the suspect that runs alone; it no longer does. */
static bool
take_alone (quarantine_t *quarantine, fingerprint_t fingerprint,
            int64_t now_us)
{
  if (!quarantine->suspect_runs || quarantine->running != fingerprint)
    return false;
  quarantine->suspect_runs = false;
  quarantine->last_alone_us = now_us;
  return true;
}

void
quarantine_ended (quarantine_t *quarantine, fingerprint_t fingerprint,
                  int64_t now_us)
{
  if (!take_alone (quarantine, fingerprint, now_us))
    return;
  quarantine_entry_t *entry = find (quarantine, fingerprint);
  if (entry != NULL && entry->state == QUARANTINE_SUSPECT)
    set_state (entry, QUARANTINE_LIFTED, QUARANTINE_LIFTED_S, now_us);
}

static void
suspect (quarantine_t *quarantine, const quarantine_request_t *request,
         bool alone, int64_t now_us)
{
  quarantine_entry_t *entry = find_or_add (quarantine, request->fingerprint);

  if (entry->state == QUARANTINE_HELD && entry->until_us > now_us)
    return;
  snprintf (entry->account, sizeof entry->account, "%s", request->account);
  snprintf (entry->route, sizeof entry->route, "%s", request->route);
  entry->crashes++;
  /* Only a suspect that ran alone is proved to be the cause.  */
  if (alone)
    set_state (entry, QUARANTINE_HELD, QUARANTINE_EXPIRY_S, now_us);
  else
    set_state (entry, QUARANTINE_SUSPECT, QUARANTINE_SUSPECT_S, now_us);
}

void
quarantine_crashed (quarantine_t *quarantine,
                    const quarantine_request_t *requests, size_t count,
                    int64_t now_us)
{
  for (size_t i = 0; i < count; i++)
    {
      bool alone = take_alone (quarantine, requests[i].fingerprint, now_us);
      INVARIANT (!alone || count == 1,
                 "a suspect ran beside %zu other requests", count - 1);
      suspect (quarantine, &requests[i], alone && count == 1, now_us);
    }
  quarantine->suspect_runs = false;
}

bool
quarantine_lift (quarantine_t *quarantine, fingerprint_t fingerprint,
                 int64_t now_us)
{
  quarantine_entry_t *entry = find (quarantine, fingerprint);

  if (entry == NULL || entry->until_us <= now_us
      || entry->state == QUARANTINE_LIFTED)
    return false;
  entry->crashes = 0;
  set_state (entry, QUARANTINE_LIFTED, QUARANTINE_LIFTED_S, now_us);
  return true;
}

bool
quarantine_merge (quarantine_t *quarantine, const quarantine_entry_t *news,
                  int64_t now_us)
{
  const quarantine_entry_t *known = find (quarantine, news->fingerprint);

  if (news->state == QUARANTINE_NONE || news->state > QUARANTINE_LIFTED
      || news->until_us <= now_us)
    return false;
  if (known != NULL
      && (known->version > news->version
          || (known->version == news->version && known->state >= news->state)))
    return false;
  quarantine_entry_t *entry = find_or_add (quarantine, news->fingerprint);
  *entry = *news;
  return true;
}

void
quarantine_expire (quarantine_t *quarantine, int64_t now_us)
{
  for (size_t i = 0; i < quarantine->count;)
    {
      if (quarantine->entries[i].until_us > now_us)
        {
          i++;
          continue;
        }
      quarantine->entries[i] = quarantine->entries[--quarantine->count];
    }
}

const quarantine_entry_t *
quarantine_list (const quarantine_t *quarantine, size_t *count)
{
  *count = quarantine->count;
  return quarantine->entries;
}
