#include "mesh/catch_up.h"

#include <string.h>

#include "clock.h"

enum
{
  /* A read of the store takes a few milliseconds; these leave room for the
     slow ones, and for two questions within the two seconds in which a
     configuration is to be in force.  */
  NEAR_WAIT_US = 150 * US_PER_MS,
  FAR_WAIT_US = 600 * US_PER_MS,
  AGAIN_US = 500 * US_PER_MS /* for the one that was asked to answer */
};

static bool
is_known (const catch_up_t *catch_up, vm_id_t vm)
{
  for (uint32_t i = 0; i < catch_up->count; i++)
    if (catch_up->sources[i].vm == vm)
      return true;
  return false;
}

/* Where a new source goes: behind those that are as near.  */
static uint32_t
place_of (const catch_up_t *catch_up, bool far)
{
  uint32_t at = 0;
  while (at < catch_up->count && (far || !catch_up->sources[at].far))
    at++;
  return at;
}

void
catch_up_add_source (catch_up_t *catch_up, vm_id_t vm, bool far,
                     int64_t now_us)
{
  if (catch_up->behind_us == 0)
    catch_up->behind_us = now_us;
  if (is_known (catch_up, vm))
    return;
  uint32_t at = place_of (catch_up, far);
  if (at == CATCH_UP_SOURCES)
    return;
  uint32_t kept = catch_up->count < CATCH_UP_SOURCES ? catch_up->count
                                                     : CATCH_UP_SOURCES - 1;
  memmove (&catch_up->sources[at + 1], &catch_up->sources[at],
           (kept - at) * sizeof catch_up->sources[0]);
  catch_up->sources[at] = (catch_up_source_t){ vm, far };
  catch_up->count = kept + 1;
}

void
catch_up_reset (catch_up_t *catch_up)
{
  *catch_up = (catch_up_t){ .count = 0 };
}

bool
catch_up_next_source (catch_up_t *catch_up, int64_t now_us, vm_id_t *vm)
{
  if (catch_up->count == 0)
    return false;
  const catch_up_source_t *source
      = &catch_up->sources[catch_up->next % catch_up->count];
  int64_t wait_us = source->far ? FAR_WAIT_US : NEAR_WAIT_US;
  if (now_us - catch_up->behind_us < wait_us
      || (catch_up->asked_us > 0 && now_us - catch_up->asked_us < AGAIN_US))
    return false;
  *vm = source->vm;
  catch_up->next++;
  catch_up->asked_us = now_us;
  return true;
}
