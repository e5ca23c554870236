#include "once.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "home.h"
#include "invariant.h"
#include "once_key.h"
#include "once_private.h"

enum
{
  RECORDS_MAX = 60000,
  BYTES_MAX = 24 * 1024 * 1024,
  KEEP_S = 900,
  KEEP_MIN_S = 60,
  UNTIMED_S = 600,
  LEASE_MS = 8000,
  RENEW_MS = 2500,
  RESEND_MS = 150,
  SKEW_MS = 2000,
  LOST_VOTE_MS = 3000,
  EXPIRE_PER_TICK = 256,
  EXPIRE_PERIOD_MS = 100
};

once_options_t
once_options_default (void)
{
  once_options_t options = {
    .limits = { .records_max = RECORDS_MAX,
                .bytes_max = BYTES_MAX,
                .keep_us = KEEP_S * (int64_t)US_PER_S,
                .keep_min_us = KEEP_MIN_S * (int64_t)US_PER_S,
                .untimed_us = UNTIMED_S * (int64_t)US_PER_S },
    .lease_ms = LEASE_MS,
    .renew_us = RENEW_MS * US_PER_MS,
    .resend_us = RESEND_MS * US_PER_MS,
    .skew_ms = SKEW_MS,
    .lost_vote_us = LOST_VOTE_MS * US_PER_MS,
  };
  return options;
}

once_t *
once_new (const once_options_t *options, once_member_t self, link_t link,
          once_wake_t wake, void *ctx, int64_t now_us, int64_t wall_ms)
{
  once_t *once = calloc (1, sizeof *once);

  (void)now_us;
  once->options = *options;
  once->self = self;
  once->link = link;
  once->wake = wake;
  once->ctx = ctx;
  once->table = once_table_new (&options->limits);
  once->closed = 1;
  /* What an earlier life of this VM may have granted.  */
  once->voter.highest_ms = wall_ms + options->lease_ms + options->skew_ms;
  return once;
}

void
once_free (once_t *once)
{
  once_table_free (once->table);
  free (once);
}

void
once_set_members (once_t *once, const once_member_t *members, size_t count,
                  uint64_t epoch, int64_t now_us)
{
  once_roster_t roster = { .epoch = epoch };

  if (epoch == once->roster.epoch || epoch < once->closed)
    return;
  if (epoch < once->roster.epoch && once->established)
    return;
  roster.count = count < ONCE_MEMBERS_MAX ? count : ONCE_MEMBERS_MAX;
  for (size_t i = 0; i < roster.count; i++)
    {
      roster.members[i] = members[i];
      roster.vms[i] = members[i].vm;
    }
  if (epoch < once->roster.epoch)
    {
      once_past_add (once, &roster);
      return;
    }
  once_lease_adopt (once, &roster, now_us);
  once_handover_start (once, now_us);
}

void
once_force_closed (once_t *once, uint64_t epoch, int64_t wall_ms)
{
  int64_t floor_ms = wall_ms + once->options.lease_ms + once->options.skew_ms;

  if (epoch <= once->heard_closed)
    return;
  once->heard_closed = epoch;
  if (floor_ms > once->heard_floor_ms)
    once->heard_floor_ms = floor_ms;
}

uint64_t
once_epoch (const once_t *once)
{
  return once->roster.epoch;
}

vm_id_t
once_home (const once_t *once, const char *account, const char *route,
           const char *key)
{
  return once_roster_home (&once->roster, home_key_hash (account, route, key));
}

void
once_refuse_token (once_t *once, once_token_t token)
{
  once->refused[once->refused_count++ % ONCE_REFUSED_MAX] = token;
}

static bool
was_refused (const once_t *once, once_token_t token)
{
  size_t count = once->refused_count < ONCE_REFUSED_MAX ? once->refused_count
                                                        : ONCE_REFUSED_MAX;

  if (!once_is_on (once, ONCE_SWITCH_REFUSED))
    return false;
  for (size_t i = 0; i < count; i++)
    if (once_token_equal (once->refused[i], token))
      return true;
  return false;
}

static once_decision_t
refuse (const once_t *once, reason_t reason)
{
  once_decision_t decision = { .verdict = ONCE_REFUSE, .reason = reason };
  decision.epoch = once->roster.epoch;
  return decision;
}

/* Refuses a sending for which no record is kept.  */
static once_decision_t
refuse_token (once_t *once, once_token_t token, reason_t reason)
{
  INVARIANT (reason_outcome (reason) == OUTCOME_REFUSED_NOT_RUN,
             "a sending is forgotten with the word %s", reason_name (reason));
  once_refuse_token (once, token);
  return refuse (once, reason);
}

static once_decision_t
decide_recorded (once_t *once, once_record_t *record,
                 const once_request_t *request)
{
  once_decision_t decision = { .verdict = ONCE_JOIN };

  decision.epoch = once->roster.epoch;
  if (memcmp (record->body_hash, request->body_hash, ONCE_BODY_HASH_BYTES)
      != 0)
    return refuse (once, REASON_KEY_REUSED);
  switch (record->state)
    {
    case ONCE_RECEIVED:
    case ONCE_RUNNING:
    case ONCE_ELSEWHERE:
      if (!once_table_wait (once->table, record, request->token))
        return refuse (once, REASON_DEADLINE_PASSED);
      return decision;
    case ONCE_ANSWERED:
      if (record->answer == NULL)
        return refuse (once, REASON_KEY_TOO_OLD);
      decision.verdict = ONCE_REPLAY;
      decision.answer = once_answer_ref (record->answer);
      return decision;
    case ONCE_TOMBSTONE:
      return refuse (once, REASON_TOMBSTONE);
    case ONCE_UNKNOWN:
    case ONCE_STATE_COUNT:
      break;
    }
  return refuse (once, REASON_RUN_UNKNOWN);
}

/* Whether this home may take a key of which it has no live record: whether
   it holds the key's lease, and whether no other home can have run it.  */
static reason_t
may_accept (const once_t *once, uint64_t hash, const char *key, int64_t now_us,
            int64_t wall_ms)
{
  int64_t key_ms = once_key_time_ms (key);
  int64_t hold_us = 0;
  int64_t horizon_ms = 0;

  if (!once->established
      || once_roster_home (&once->roster, hash) != once->self.vm)
    return REASON_LEASE_LAPSED;
  if (key_ms == ONCE_KEY_UNTIMED)
    {
      if (now_us >= once->lease_until_us
          && once_is_on (once, ONCE_SWITCH_BOUND))
        return REASON_LEASE_LAPSED;
      once_horizon (once, hash, &hold_us);
      if (hold_us > now_us && once_is_on (once, ONCE_SWITCH_HOLD))
        return REASON_KEY_TOO_OLD;
      return REASON_NONE;
    }
  if (once_is_on (once, ONCE_SWITCH_BOUND) && key_ms > once->bound_ms)
    return key_ms > wall_ms + once->options.lease_ms ? REASON_KEY_AHEAD
                                                     : REASON_LEASE_LAPSED;
  if (once_is_on (once, ONCE_SWITCH_FORGOTTEN)
      && key_ms <= once_table_forgotten_ms (once->table))
    return REASON_KEY_TOO_OLD;
  if (key_ms > once->safe_ms)
    return REASON_NONE;
  horizon_ms = once_horizon (once, hash, &hold_us);
  if (key_ms <= horizon_ms && once_is_on (once, ONCE_SWITCH_HORIZON))
    return REASON_KEY_TOO_OLD;
  return REASON_NONE;
}

/* Refuses with REASON; a refusal that says "not run" is remembered.  */
static once_decision_t
refuse_new (once_t *once, once_token_t token, reason_t reason)
{
  if (reason_outcome (reason) == OUTCOME_REFUSED_NOT_RUN)
    return refuse_token (once, token, reason);
  return refuse (once, reason);
}

once_decision_t
once_begin (once_t *once, const once_request_t *request, int64_t now_us,
            int64_t wall_ms)
{
  if (request->key == NULL || request->key[0] == '\0')
    return refuse (once, REASON_KEY_NEEDED);
  if (strlen (request->key) >= IDEMPOTENCY_KEY_BYTES)
    return refuse (once, REASON_BAD_REQUEST);
  if (was_refused (once, request->token))
    return refuse (once, REASON_TOMBSTONE);
  uint64_t hash
      = home_key_hash (request->account, request->route, request->key);
  once_record_t *record = once_table_find (once->table, hash, request->account,
                                           request->route, request->key);
  if (record != NULL)
    {
      if (record->state != ONCE_TOMBSTONE
          || record->given_up_count == ONCE_GIVEN_UP_MAX
          || once_record_gave_up (record, request->token))
        return decide_recorded (once, record, request);
    }
  if (request->epoch != 0 && request->epoch != once->roster.epoch
      && once_is_on (once, ONCE_SWITCH_EPOCH))
    return refuse_token (once, request->token, REASON_LEASE_LAPSED);
  reason_t reason = may_accept (once, hash, request->key, now_us, wall_ms);
  if (reason != REASON_NONE)
    return refuse_new (once, request->token, reason);
  if (record != NULL)
    {
      if (memcmp (record->body_hash, request->body_hash, ONCE_BODY_HASH_BYTES)
          != 0)
        return refuse (once, REASON_KEY_REUSED);
      once_table_reopen (once->table, record, now_us);
    }
  else
    record
        = once_table_add (once->table, hash, request->account, request->route,
                          request->key, request->body_hash, now_us);
  if (record == NULL)
    return refuse_token (once, request->token, REASON_RECORDS_FULL);
  record->token = request->token;
  record->deadline_us = request->deadline_us;
  once_decision_t decision = { .verdict = ONCE_RUN, .record = record };
  decision.epoch = once->roster.epoch;
  return decision;
}

static void
give_up_token (once_t *once, once_record_t *record, once_token_t token)
{
  if (record->given_up_count < ONCE_GIVEN_UP_MAX)
    record->given_up[record->given_up_count++] = token;
  (void)once;
}

once_decision_t
once_query (once_t *once, const once_request_t *request, int64_t now_us,
            int64_t wall_ms)
{
  uint64_t hash
      = home_key_hash (request->account, request->route, request->key);
  once_record_t *record = once_table_find (once->table, hash, request->account,
                                           request->route, request->key);

  if (record != NULL && record->state != ONCE_TOMBSTONE)
    return decide_recorded (once, record, request);
  if (was_refused (once, request->token))
    return refuse (once, REASON_TOMBSTONE);
  if (record != NULL && once_record_gave_up (record, request->token))
    return refuse (once, REASON_TOMBSTONE);
  reason_t reason = may_accept (once, hash, request->key, now_us, wall_ms);
  if (reason != REASON_NONE)
    return refuse (once, reason_outcome (reason) == OUTCOME_UNKNOWN
                             ? reason
                             : REASON_HOME_LOST);
  if (!once_is_on (once, ONCE_SWITCH_TOMBSTONE))
    return refuse (once, REASON_TOMBSTONE);
  if (record == NULL)
    {
      record = once_table_add (once->table, hash, request->account,
                               request->route, request->key,
                               request->body_hash, now_us);
      if (record == NULL)
        return refuse (once, REASON_HOME_LOST);
      once_table_finish (once->table, record, ONCE_TOMBSTONE, NULL, now_us);
    }
  give_up_token (once, record, request->token);
  return refuse (once, REASON_TOMBSTONE);
}

bool
once_may_run (once_t *once, once_record_t *record, int64_t now_us)
{
  INVARIANT (record->state == ONCE_RECEIVED, "a record in state %d is run",
             record->state);
  /* This process may have been paused since it accepted the key, and only
     the clock bounds a key without an issue time.  */
  bool late
      = now_us >= record->deadline_us
        || (record->key_ms == ONCE_KEY_UNTIMED
            && now_us - record->begun_us >= once->options.limits.untimed_us);
  if (late && once_is_on (once, ONCE_SWITCH_RUN_CHECK))
    return false;
  record->state = ONCE_RUNNING;
  return true;
}

void
once_wake_all (once_t *once, once_record_t *record, reason_t reason)
{
  once_token_t *waiters;
  uint32_t count = once_table_take_waiters (once->table, record, &waiters);

  for (uint32_t i = 0; i < count; i++)
    {
      once_decision_t decision = refuse (once, reason);
      if (record->state == ONCE_ANSWERED && record->answer != NULL)
        {
          decision.verdict = ONCE_REPLAY;
          decision.reason = REASON_NONE;
          decision.answer = once_answer_ref (record->answer);
        }
      else if (record->state == ONCE_ANSWERED)
        decision.reason = REASON_KEY_TOO_OLD;
      else if (record->state == ONCE_UNKNOWN)
        decision.reason = REASON_RUN_UNKNOWN;
      else
        once_refuse_token (once, waiters[i]);
      once->wake (once->ctx, waiters[i], &decision);
    }
  free (waiters);
}

static void
finish (once_t *once, once_record_t *record, once_state_t state,
        once_answer_t *answer, reason_t reason, int64_t now_us)
{
  INVARIANT (
      record->state == ONCE_RUNNING
          || (record->state == ONCE_RECEIVED && state == ONCE_TOMBSTONE),
      "a record in state %d ends in state %d", record->state, state);
  once_table_finish (once->table, record, state, answer, now_us);
  once_wake_all (once, record, reason);
  once_handover_finished (once, record, now_us);
}

void
once_answered (once_t *once, once_record_t *record, once_answer_t *answer,
               int64_t now_us)
{
  finish (once, record, ONCE_ANSWERED, answer, REASON_NONE, now_us);
}

void
once_unknown (once_t *once, once_record_t *record, int64_t now_us)
{
  finish (once, record, ONCE_UNKNOWN, NULL, REASON_RUN_UNKNOWN, now_us);
}

void
once_not_run (once_t *once, once_record_t *record, reason_t reason,
              int64_t now_us)
{
  INVARIANT (reason_outcome (reason) == OUTCOME_REFUSED_NOT_RUN,
             "not run is reported with the word %s", reason_name (reason));
  give_up_token (once, record, record->token);
  finish (once, record, ONCE_TOMBSTONE, NULL, reason, now_us);
}

bool
once_cancel (once_t *once, once_record_t *record, int64_t now_us)
{
  if (record->state != ONCE_RECEIVED || record->waiter_count > 0
      || record->handed_to != 0)
    return false;
  once_not_run (once, record, REASON_CALLER_GONE, now_us);
  return true;
}

int64_t
once_tick (once_t *once, int64_t now_us, int64_t wall_ms)
{
  once_table_expire (once->table, now_us, EXPIRE_PER_TICK);
  int64_t next_us = now_us + EXPIRE_PERIOD_MS * US_PER_MS;
  int64_t lease_us = once_lease_tick (once, now_us, wall_ms);
  int64_t handover_us = once_handover_tick (once, now_us);

  if (lease_us < next_us)
    next_us = lease_us;
  if (handover_us < next_us)
    next_us = handover_us;
  return next_us;
}

bool
once_has_left (const once_t *once)
{
  return !once_roster_has (&once->roster, once->self)
         && !once_handover_goes_on (once);
}

once_stats_t
once_stats (const once_t *once)
{
  int64_t hold_us;
  once_stats_t stats = {
    .epoch = once->roster.epoch,
    .established = once->established,
    .bound_ms = once->bound_ms,
    .horizon_ms = once_horizon_max (once, &hold_us),
    .members = once->roster.count,
    .records = once_table_count (once->table),
    .bytes = once_table_bytes (once->table),
  };

  for (size_t i = 0; i < ONCE_OUTBOX_MAX; i++)
    stats.handing_over += once->outbox[i].record != NULL;
  return stats;
}
