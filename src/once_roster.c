#include <string.h>

#include "once_private.h"

int
once_roster_index (const once_roster_t *roster, vm_id_t vm)
{
  for (size_t i = 0; i < roster->count; i++)
    if (roster->vms[i] == vm)
      return (int)i;
  return -1;
}

bool
once_roster_has (const once_roster_t *roster, once_member_t member)
{
  int i = once_roster_index (roster, member.vm);
  return i >= 0 && roster->members[i].incarnation == member.incarnation;
}

vm_id_t
once_roster_home (const once_roster_t *roster, uint64_t hash)
{
  return home_pick (hash, roster->vms, roster->count);
}

size_t
once_roster_majority (const once_roster_t *roster)
{
  return roster->count / 2 + 1;
}

once_past_t *
once_past_find (once_t *once, uint64_t epoch)
{
  for (size_t i = 0; i < once->past_count; i++)
    if (once->past[i].roster.epoch == epoch)
      return &once->past[i];
  return NULL;
}

/* Drops the oldest epoch; what it knew goes into the base.  */
static void
past_drop_oldest (once_t *once)
{
  const once_past_t *oldest = &once->past[once->past_count - 1];

  if (oldest->horizon_ms > once->base_ms)
    once->base_ms = oldest->horizon_ms;
  if (oldest->hold_us > once->base_hold_us)
    once->base_hold_us = oldest->hold_us;
  once->past_count--;
}

void
once_past_add (once_t *once, const once_roster_t *roster)
{
  if (roster->epoch == 0 || once_past_find (once, roster->epoch) != NULL)
    return;
  if (once->past_count == ONCE_HISTORY_MAX)
    {
      if (once->past[once->past_count - 1].roster.epoch > roster->epoch)
        return;
      past_drop_oldest (once);
    }
  size_t at = 0;
  while (at < once->past_count && once->past[at].roster.epoch > roster->epoch)
    at++;
  memmove (&once->past[at + 1], &once->past[at],
           (once->past_count - at) * sizeof once->past[0]);
  memset (&once->past[at], 0, sizeof once->past[at]);
  once->past[at].roster = *roster;
  once->past_count++;
}
