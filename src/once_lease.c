#include <string.h>

#include "clock.h"
#include "invariant.h"
#include "once_private.h"

int64_t
once_voter_grant (once_t *once, uint64_t epoch, int64_t bound_ms,
                  int64_t wall_ms)
{
  once_voter_t *voter = &once->voter;

  if (epoch == 0)
    return 0;
  if (epoch < voter->promised && once_is_on (once, ONCE_SWITCH_PROMISE))
    return 0;
  if (epoch > voter->promised)
    voter->promised = epoch;
  /* One member whose clock runs ahead must not push the horizon ahead.  */
  int64_t most_ms = wall_ms + once->options.lease_ms + once->options.skew_ms;
  if (bound_ms > most_ms)
    bound_ms = most_ms;
  if (bound_ms > voter->highest_ms)
    voter->highest_ms = bound_ms;
  return bound_ms;
}

static once_ballot_t *
ballot_get (once_t *once, once_member_t voter)
{
  for (size_t i = 0; i < once->ballot_count; i++)
    if (once->ballots[i].voter.vm == voter.vm
        && once->ballots[i].voter.incarnation == voter.incarnation)
      return &once->ballots[i];
  if (once->ballot_count == ONCE_VOTERS_MAX)
    return NULL;
  once_ballot_t *ballot = &once->ballots[once->ballot_count++];
  *ballot = (once_ballot_t){ .voter = voter };
  return ballot;
}

void
once_lease_adopt (once_t *once, const once_roster_t *roster, int64_t now_us)
{
  /* Only a home that acts knows its horizon.  */
  if (once->established)
    once->acted_ms = once_horizon_max (once, &once->acted_hold_us);
  once_past_add (once, &once->roster);
  once->roster = *roster;
  once->adopted_us = now_us;
  once->established = false;
  once->bound_ms = 0;
  once->lease_until_us = 0;
  once->asked_us = 0;
  once->ballot_count = 0;
  if (roster->epoch > once->voter.promised)
    once->voter.promised = roster->epoch;
}

/* The Nth largest of VALUES, counted from 1.  Sorts VALUES.  */
static int64_t
nth_largest (int64_t *values, size_t count, size_t n)
{
  if (n == 0 || n > count)
    return 0;
  for (size_t i = 1; i < count; i++)
    {
      int64_t value = values[i];
      size_t at = i;
      for (; at > 0 && values[at - 1] < value; at--)
        values[at] = values[at - 1];
      values[at] = value;
    }
  return values[n - 1];
}

/* True when BALLOT speaks for MEMBER: cast by it, or by a later life of its
   VM, which proves that it is gone.  */
static bool
speaks_for (const once_t *once, const once_ballot_t *ballot,
            const once_member_t *member, bool with_lost)
{
  if (ballot->voter.vm != member->vm || ballot->promised < once->roster.epoch)
    return false;
  if (ballot->voter.incarnation == member->incarnation)
    return true;
  return (with_lost && ballot->voter.incarnation > member->incarnation)
         || !once_is_on (once, ONCE_SWITCH_MEMORY);
}

/* The highest bound that a majority of ROSTER can have granted to any home,
   once so many members have promised to grant no more that no majority is
   left.  -1: not yet.  */
static int64_t
highest_bound (const once_t *once, const once_roster_t *roster, bool with_lost)
{
  int64_t values[ONCE_MEMBERS_MAX];
  size_t count = 0;

  for (size_t m = 0; m < roster->count; m++)
    for (size_t i = 0; i < once->ballot_count; i++)
      if (speaks_for (once, &once->ballots[i], &roster->members[m], with_lost))
        {
          values[count++] = once->ballots[i].highest_ms;
          break;
        }
  size_t majority = once_roster_majority (roster);
  if (count + majority <= roster->count)
    return -1;
  size_t silent = roster->count - count;
  size_t needed = majority > silent ? majority - silent : 1;
  return nth_largest (values, count, needed);
}

/* Sets the horizons of the epochs from FIRST on, or returns false when one
   of them is not closed yet.  */
static bool
close_epochs (once_t *once, uint64_t first, int64_t *floor_ms, int64_t hold_us,
              bool with_lost)
{
  int64_t bounds[ONCE_HISTORY_MAX];
  uint64_t count = once->roster.epoch - first;

  if (count > ONCE_HISTORY_MAX)
    return false;
  for (uint64_t i = 0; i < count; i++)
    {
      const once_past_t *past = once_past_find (once, first + i);
      if (past == NULL)
        return false;
      bounds[i] = highest_bound (once, &past->roster, with_lost);
      if (bounds[i] < 0)
        return false;
    }
  for (uint64_t i = 0; i < count; i++)
    {
      once_past_t *past = once_past_find (once, first + i);
      if (bounds[i] > *floor_ms)
        *floor_ms = bounds[i];
      past->horizon_ms = *floor_ms;
      past->hold_us = hold_us;
    }
  return true;
}

/* Epochs that another member knew to be closed get its floor.  */
static void
take_floor (once_t *once, uint64_t first, uint64_t last, int64_t floor_ms,
            int64_t hold_us)
{
  bool gap = false;

  for (uint64_t epoch = first; epoch < last; epoch++)
    {
      once_past_t *past = once_past_find (once, epoch);
      if (past == NULL)
        {
          gap = true;
          continue;
        }
      past->horizon_ms = floor_ms;
      past->hold_us = hold_us;
    }
  if (!gap)
    return;
  if (floor_ms > once->base_ms)
    once->base_ms = floor_ms;
  if (hold_us > once->base_hold_us)
    once->base_hold_us = hold_us;
}

/* Starts to act as a home in this epoch once every earlier one is closed.  */
static void
try_establish (once_t *once, int64_t now_us)
{
  uint64_t epoch = once->roster.epoch;
  uint64_t from = once->closed;
  int64_t floor_ms = once->floor_ms;
  int64_t hold_us = now_us + once->options.limits.untimed_us
                    + once->options.lease_ms * US_PER_MS;
  bool with_lost = now_us - once->adopted_us >= once->options.lost_vote_us;

  if (once->established || once->heard_closed > epoch)
    return;
  if (once->closed < epoch && epoch > 1
      && once_past_find (once, epoch - 1) == NULL)
    return;
  if (!close_epochs (once, from, &floor_ms, hold_us, with_lost))
    {
      if (once->heard_closed <= from)
        return;
      if (once->heard_floor_ms > floor_ms)
        floor_ms = once->heard_floor_ms;
      int64_t heard_ms = floor_ms;
      if (!close_epochs (once, once->heard_closed, &floor_ms, hold_us,
                         with_lost))
        return;
      take_floor (once, from, once->heard_closed, heard_ms, hold_us);
    }
  once->closed = epoch;
  once->floor_ms = floor_ms;
  once->established = true;
  once->established_us = now_us;
  once->acted = once->roster;
  int64_t any_hold_us;
  once->safe_ms = once_horizon_max (once, &any_hold_us);
}

/* Takes the bound and lease that a majority has granted.  */
static void
take_grants (once_t *once)
{
  int64_t bounds_ms[ONCE_MEMBERS_MAX];
  int64_t times_us[ONCE_MEMBERS_MAX];
  size_t count = 0;
  size_t majority = once_roster_majority (&once->roster);

  for (size_t i = 0; i < once->ballot_count; i++)
    {
      const once_ballot_t *ballot = &once->ballots[i];
      bool votes
          = once_is_on (once, ONCE_SWITCH_MEMORY)
                ? once_roster_has (&once->roster, ballot->voter)
                : once_roster_index (&once->roster, ballot->voter.vm) >= 0;
      if (!votes || ballot->granted_ms == 0)
        continue;
      if (count == ONCE_MEMBERS_MAX)
        break;
      bounds_ms[count] = ballot->granted_ms;
      times_us[count] = ballot->granted_us;
      count++;
    }
  if (count < majority)
    return;
  int64_t bound_ms = nth_largest (bounds_ms, count, majority);
  int64_t until_us = nth_largest (times_us, count, majority)
                     + once->options.lease_ms * US_PER_MS;
  INVARIANT (bound_ms >= once->bound_ms, "the bound of a home went back");
  once->bound_ms = bound_ms;
  once->lease_until_us = until_us;
}

static void
record_vote (once_t *once, once_member_t voter, const oncep_vote *vote)
{
  once_ballot_t *ballot = ballot_get (once, voter);

  if (ballot == NULL)
    return;
  if (vote->promised > ballot->promised)
    ballot->promised = vote->promised;
  if (vote->highest_ms > ballot->highest_ms)
    ballot->highest_ms = vote->highest_ms;
  if (vote->granted_ms > ballot->granted_ms)
    ballot->granted_ms = vote->granted_ms;
  if (vote->granted_ms > 0 && vote->sent_us > ballot->granted_us)
    ballot->granted_us = vote->sent_us;
  if (vote->closed > once->heard_closed)
    {
      once->heard_closed = vote->closed;
      once->heard_floor_ms = vote->floor_ms;
    }
}

/* Whether this life of this VM is a member of the epoch.  */
static bool
is_member (const once_t *once)
{
  if (!once_is_on (once, ONCE_SWITCH_MEMORY))
    return once_roster_index (&once->roster, once->self.vm) >= 0;
  return once_roster_has (&once->roster, once->self);
}

void
once_lease_on_vote (once_t *once, vm_id_t from, const oncep_vote *vote,
                    int64_t now_us)
{
  once_member_t voter = { from, vote->incarnation };

  /* A vote for an earlier life of this VM may still arrive.  */
  if (vote->epoch != once->roster.epoch || vote->sent_us > now_us
      || !is_member (once))
    return;
  record_vote (once, voter, vote);
  try_establish (once, now_us);
  take_grants (once);
}

void
once_lease_on_ask (once_t *once, vm_id_t from, const oncep_ask *ask,
                   int64_t wall_ms)
{
  int64_t granted_ms
      = once_voter_grant (once, ask->epoch, ask->bound_ms, wall_ms);
  oncep_message message = { .kind = ONCEP_VOTE };
  oncep_vote *vote = &message.oncep_message_u.vote;

  vote->epoch = ask->epoch;
  vote->sent_us = ask->sent_us;
  vote->incarnation = once->self.incarnation;
  vote->promised = once->voter.promised;
  vote->granted_ms = granted_ms;
  vote->highest_ms = once->voter.highest_ms;
  vote->closed = once->closed;
  vote->floor_ms = once->floor_ms;
  once_send (once, from, &message);
  if (ask->epoch < once->roster.epoch && once_is_on (once, ONCE_SWITCH_REPAIR))
    once_send_roster (once, from, &once->roster);
  const once_past_t *past = once_past_find (once, ask->wanted);
  if (past != NULL)
    once_send_roster (once, from, &past->roster);
}

void
once_lease_on_roster (once_t *once, const oncep_roster *message,
                      int64_t now_us)
{
  once_member_t members[ONCE_MEMBERS_MAX];
  size_t count = message->members.members_len;

  for (size_t i = 0; i < count; i++)
    {
      members[i].vm = message->members.members_val[i].vm;
      members[i].incarnation = message->members.members_val[i].incarnation;
    }
  once_set_members (once, members, count, message->epoch, now_us);
}

/* The newest epoch that must be closed and whose members are not known.  */
static uint64_t
wanted_epoch (once_t *once)
{
  uint64_t from
      = once->closed > once->heard_closed ? once->closed : once->heard_closed;

  if (once->established || once->roster.epoch <= 1)
    return 0;
  if (once_past_find (once, once->roster.epoch - 1) == NULL)
    return once->roster.epoch - 1;
  for (uint64_t epoch = once->roster.epoch - 1; epoch >= from && epoch > 0;
       epoch--)
    if (once_past_find (once, epoch) == NULL)
      return epoch;
  return 0;
}

/* Sends MESSAGE to at most LIMIT members of ROSTER, those after this one
   first, leaving out those of EXCEPT.  */
static void
ask_members (once_t *once, const once_roster_t *roster, oncep_message *message,
             const once_roster_t *except, size_t limit)
{
  int own = once_roster_index (roster, once->self.vm);
  size_t first = own < 0 ? 0 : (size_t)own + 1;

  for (size_t i = 0; i < roster->count && limit > 0; i++)
    {
      vm_id_t vm = roster->vms[(first + i) % roster->count];
      if (vm == once->self.vm)
        continue;
      if (except != NULL && once_roster_index (except, vm) >= 0)
        continue;
      once_send (once, vm, message);
      limit--;
    }
}

/* Asks for the next bound.  A home whose bound lies well ahead asks no more
   members than it needs.  */
static void
ask_for_bound (once_t *once, int64_t now_us, int64_t wall_ms)
{
  oncep_message message = { .kind = ONCEP_ASK };
  oncep_ask *ask = &message.oncep_message_u.ask;
  bool ahead = once->established
               && once->bound_ms - wall_ms > once->options.lease_ms / 2;
  size_t limit
      = ahead ? once_roster_majority (&once->roster) - 1 : ONCE_MEMBERS_MAX;

  ask->epoch = once->roster.epoch;
  ask->incarnation = once->self.incarnation;
  ask->bound_ms = wall_ms + once->options.lease_ms;
  ask->sent_us = now_us;
  ask->wanted = wanted_epoch (once);
  oncep_vote own = { .epoch = ask->epoch, .sent_us = now_us };
  own.granted_ms = once_voter_grant (once, ask->epoch, ask->bound_ms, wall_ms);
  own.promised = once->voter.promised;
  own.highest_ms = once->voter.highest_ms;
  record_vote (once, once->self, &own);
  ask_members (once, &once->roster, &message, NULL, limit);
  if (once->established)
    return;
  for (size_t i = 0; i < once->past_count; i++)
    if (once->past[i].roster.epoch >= once->closed)
      ask_members (once, &once->past[i].roster, &message, &once->roster,
                   ONCE_MEMBERS_MAX);
}

/* A VM that is not a member yet, or no longer, asks for the newest members,
   in case the log is slow to tell.  */
static void
ask_for_news (once_t *once, int64_t now_us)
{
  oncep_message message = { .kind = ONCEP_ASK };

  message.oncep_message_u.ask.sent_us = now_us;
  ask_members (once, &once->roster, &message, NULL, ONCE_MEMBERS_MAX);
}

int64_t
once_lease_tick (once_t *once, int64_t now_us, int64_t wall_ms)
{
  bool member = is_member (once);

  if (once->roster.epoch == 0)
    return INT64_MAX;
  bool fresh = once->established && once->bound_ms > wall_ms
               && once->lease_until_us > now_us;
  int64_t period_us
      = fresh || !member ? once->options.renew_us : once->options.resend_us;
  if (once->asked_us == 0 || now_us - once->asked_us >= period_us)
    {
      once->asked_us = now_us;
      if (member)
        ask_for_bound (once, now_us, wall_ms);
      else
        ask_for_news (once, now_us);
    }
  if (!member)
    return once->asked_us + period_us;
  try_establish (once, now_us);
  take_grants (once);
  return once->asked_us + period_us;
}
