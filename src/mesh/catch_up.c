#include "mesh/catch_up.h"

#include <string.h>

#include "clock.h"

enum
{
  /* A source is not asked before the local state has been behind for this
     long.  A read of the store takes a few milliseconds; the delays also cover
     slow reads, and leave time for two requests within the two seconds in
     which a new configuration must take effect.  */
  LOCAL_ZONE_DELAY_US = 150 * US_PER_MS,
  CROSS_ZONE_DELAY_US = 600 * US_PER_MS,
  /* Time for the sidecar that was asked to reply.  */
  RETRY_INTERVAL_US = 500 * US_PER_MS
};

static bool
has_source (const catch_up_t *catch_up, vm_id_t vm)
{
  for (uint32_t i = 0; i < catch_up->count; i++)
    if (catch_up->sources[i].vm == vm)
      return true;
  return false;
}

/* Returns the index at which to insert a source: after those of its kind, with
   the local zone before the others.  */
static uint32_t
insertion_index (const catch_up_t *catch_up, bool cross_zone)
{
  uint32_t index = 0;
  while (index < catch_up->count
         && (cross_zone || !catch_up->sources[index].cross_zone))
    index++;
  return index;
}

void
catch_up_add_source (catch_up_t *catch_up, vm_id_t vm, bool cross_zone,
                     int64_t now_us)
{
  if (catch_up->behind_since_us == 0)
    catch_up->behind_since_us = now_us;
  if (has_source (catch_up, vm))
    return;
  uint32_t index = insertion_index (catch_up, cross_zone);
  if (index == CATCH_UP_SOURCES_MAX)
    return;
  uint32_t kept = catch_up->count < CATCH_UP_SOURCES_MAX
                      ? catch_up->count
                      : CATCH_UP_SOURCES_MAX - 1;
  memmove (&catch_up->sources[index + 1], &catch_up->sources[index],
           (kept - index) * sizeof catch_up->sources[0]);
  catch_up->sources[index] = (catch_up_source_t){ vm, cross_zone };
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
      = &catch_up->sources[catch_up->next_index % catch_up->count];
  int64_t delay_us
      = source->cross_zone ? CROSS_ZONE_DELAY_US : LOCAL_ZONE_DELAY_US;
  if (now_us - catch_up->behind_since_us < delay_us
      || (catch_up->requested_us > 0
          && now_us - catch_up->requested_us < RETRY_INTERVAL_US))
    return false;
  *vm = source->vm;
  catch_up->next_index++;
  catch_up->requested_us = now_us;
  return true;
}
