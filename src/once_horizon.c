#include "once_key.h"
#include "once_private.h"

static int64_t
max_ms (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* True when the member at INDEX of a past epoch is this life of this VM.  */
static bool
is_self (const once_t *once, const once_past_t *past, int index)
{
  if (past->roster.vms[index] != once->self.vm)
    return false;
  return !once_is_on (once, ONCE_SWITCH_MEMORY)
         || once_roster_has (&past->roster, once->self);
}

/* True when a past home gave this member its record of the key: the key was
   this member's when the past home handed over.  */
static bool
was_handed (const once_t *once, const once_past_t *past, int index,
            uint64_t hash)
{
  uint64_t epoch = past->handed_epoch[index];
  const once_roster_t *roster = NULL;

  if (past->handed[index] != ONCE_HANDED_ALL)
    return false;
  if (epoch == once->roster.epoch)
    roster = &once->roster;
  for (size_t i = 0; i < once->past_count && roster == NULL; i++)
    if (once->past[i].roster.epoch == epoch)
      roster = &once->past[i].roster;
  return roster != NULL && once_roster_home (roster, hash) == once->self.vm;
}

int64_t
once_horizon (const once_t *once, uint64_t hash, int64_t *hold_us)
{
  uint64_t epoch = once->roster.epoch;

  /* The newest other home of the key decides: if it handed over, it told
     its own horizon; if not, its epoch's horizon covers all before.  */
  for (size_t i = 0; i < once->past_count; i++)
    {
      const once_past_t *past = &once->past[i];
      if (past->roster.epoch != epoch - 1)
        break;
      epoch--;
      vm_id_t home = once_roster_home (&past->roster, hash);
      int index = once_roster_index (&past->roster, home);
      if (index < 0 || is_self (once, past, index)
          || past->handed[index] == ONCE_HANDED_IDLE)
        continue;
      if (was_handed (once, past, index, hash))
        {
          *hold_us = past->handed_hold_us[index];
          return past->handed_ms[index];
        }
      *hold_us = past->hold_us;
      return past->horizon_ms;
    }
  *hold_us = epoch > 1 ? once->base_hold_us : 0;
  return epoch > 1 ? once->base_ms : 0;
}

/* True when every key had another home in this past epoch that acted or may
   have acted: nothing older decides (see once_horizon).  */
static bool
decides_all (const once_t *once, const once_past_t *past)
{
  for (size_t m = 0; m < past->roster.count; m++)
    if (is_self (once, past, (int)m) || past->handed[m] == ONCE_HANDED_IDLE)
      return false;
  return true;
}

int64_t
once_horizon_max (const once_t *once, int64_t *hold_us)
{
  uint64_t epoch = once->roster.epoch;
  int64_t highest_ms = once_table_forgotten_ms (once->table);

  *hold_us = 0;
  for (size_t i = 0; i < once->past_count; i++)
    {
      const once_past_t *past = &once->past[i];
      if (past->roster.epoch != epoch - 1)
        break;
      epoch--;
      for (size_t m = 0; m < past->roster.count; m++)
        {
          if (is_self (once, past, (int)m)
              || past->handed[m] == ONCE_HANDED_IDLE)
            continue;
          /* A hand-over in an epoch between covers not every key.  */
          bool all = past->handed[m] == ONCE_HANDED_ALL
                     && (past->handed_epoch[m] == past->roster.epoch + 1
                         || past->handed_epoch[m] == once->roster.epoch);
          highest_ms = max_ms (highest_ms,
                               all ? past->handed_ms[m] : past->horizon_ms);
          *hold_us = max_ms (*hold_us,
                             all ? past->handed_hold_us[m] : past->hold_us);
        }
      if (decides_all (once, past))
        return highest_ms;
    }
  if (epoch <= 1)
    return highest_ms;
  *hold_us = max_ms (*hold_us, once->base_hold_us);
  return max_ms (highest_ms, once->base_ms);
}
