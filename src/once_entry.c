#include "once_entry.h"

#include "clock.h"
#include "invariant.h"

enum
{
  SILENT_DIVISOR = 4, /* of the time left */
  SILENT_MIN_US = 20 * US_PER_MS,
  RESEND_MIN_US = 20 * US_PER_MS /* time that a sending must still have */
};

static once_entry_step_t
say (once_entry_t *entry, reason_t reason)
{
  INVARIANT (!entry->done, "a second word for one request");
  INVARIANT (!entry->open || reason == REASON_NONE
                 || reason_outcome (reason) != OUTCOME_REFUSED_NOT_RUN,
             "not run is said while a sending is open");
  entry->done = true;
  entry->open = false;
  return (once_entry_step_t){ ONCE_ENTRY_SAY, reason, 0 };
}

static once_entry_step_t
wait_until (const once_entry_t *entry)
{
  int64_t timer_us = entry->deadline_us;

  if (entry->open && entry->query_us < timer_us)
    timer_us = entry->query_us;
  return (once_entry_step_t){ ONCE_ENTRY_WAIT, REASON_NONE, timer_us };
}

static once_entry_step_t
send_it (once_entry_t *entry, int64_t now_us)
{
  entry->open = true;
  entry->silent_us = (entry->deadline_us - now_us) / SILENT_DIVISOR;
  if (entry->silent_us < SILENT_MIN_US)
    entry->silent_us = SILENT_MIN_US;
  entry->query_us = now_us + entry->silent_us;
  once_entry_step_t step = wait_until (entry);
  step.act = ONCE_ENTRY_SEND;
  return step;
}

once_entry_step_t
once_entry_start (once_entry_t *entry, int64_t now_us, int64_t deadline_us,
                  uint32_t retries)
{
  *entry = (once_entry_t){ .deadline_us = deadline_us };
  entry->retries_left = retries;
  if (now_us >= deadline_us)
    return say (entry, REASON_DEADLINE_TOO_SHORT);
  return send_it (entry, now_us);
}

/* Sends again after a proof that the last sending did not run.  */
static once_entry_step_t
send_again (once_entry_t *entry, reason_t reason, int64_t now_us)
{
  entry->open = false;
  entry->reason = reason;
  if (entry->deadline_us - now_us < RESEND_MIN_US)
    return say (entry, reason);
  if (entry->retries_left == 0)
    return say (entry, reason);
  entry->retries_left--;
  return send_it (entry, now_us);
}

once_entry_step_t
once_entry_unsent (once_entry_t *entry, int64_t now_us)
{
  return send_again (entry, REASON_PEER_UNREACHABLE, now_us);
}

/* Refusals that another try may get over.  */
static bool
is_passing (reason_t reason)
{
  switch (reason)
    {
    case REASON_LEASE_LAPSED:
    case REASON_PEER_UNREACHABLE:
    case REASON_BACKEND_SHED:
    case REASON_NO_BACKEND: /* the home is about to change */
    case REASON_DRAINING:
    case REASON_TOMBSTONE:
      return true;
    default:
      return false;
    }
}

once_entry_step_t
once_entry_refused (once_entry_t *entry, reason_t reason, int64_t now_us)
{
  if (reason == REASON_HOME_LOST && now_us < entry->deadline_us)
    {
      entry->query_us = now_us + entry->silent_us;
      return wait_until (entry);
    }
  if (reason_outcome (reason) != OUTCOME_REFUSED_NOT_RUN)
    return say (entry, reason);
  if (is_passing (reason))
    return send_again (entry, reason, now_us);
  entry->open = false;
  return say (entry, reason);
}

once_entry_step_t
once_entry_answered (once_entry_t *entry)
{
  return say (entry, REASON_NONE);
}

bool
once_entry_owns (const once_entry_t *entry, once_token_t token)
{
  return once_token_equal (entry->token, token);
}

once_entry_step_t
once_entry_cut (once_entry_t *entry, int64_t now_us)
{
  entry->query_us = now_us;
  return once_entry_timer (entry, now_us);
}

once_entry_step_t
once_entry_timer (once_entry_t *entry, int64_t now_us)
{
  if (now_us >= entry->deadline_us)
    return say (entry, entry->open ? REASON_DEADLINE_PASSED : entry->reason);
  if (!entry->open || now_us < entry->query_us)
    return wait_until (entry);
  entry->query_us = now_us + entry->silent_us;
  once_entry_step_t step = wait_until (entry);
  step.act = ONCE_ENTRY_QUERY;
  return step;
}
