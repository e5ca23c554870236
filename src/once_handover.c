#include <string.h>

#include "clock.h"
#include "once_key.h"
#include "once_private.h"

/* Planned changes: each home sends the records that moved to their new
   homes, repeats them until confirmed, and then tells every member that it
   has done so, together with its own horizon.  */

enum
{
  SCAN_BUCKETS = 256,        /* looked at in one tick */
  GIVE_UP_US = 3 * US_PER_S, /* a new home that does not confirm */
  HANDOVER_MAX_US = 10 * (int64_t)US_PER_S,
  BUSY_US = US_PER_MS
};

static void
parcel_drop (once_parcel_t *parcel)
{
  if (parcel->record != NULL)
    parcel->record->pinned = false;
  parcel->record = NULL;
}

void
once_handover_start (once_t *once, int64_t now_us)
{
  for (size_t i = 0; i < ONCE_OUTBOX_MAX; i++)
    parcel_drop (&once->outbox[i]);
  once->leaving = once->acted;
  once->scanning = once->acted.epoch != 0;
  once->telling = once->past_count > 0;
  once->scan_at = 0;
  once->handover_us = now_us;
  once->end_sent_us = 0;
  memset (once->ended, 0, sizeof once->ended);
  memset (once->given_up, 0, sizeof once->given_up);
}

/* Copies what fits of an answer.  */
static void
fill_answer (oncep_record *body, const once_answer_t *answer)
{
  if (answer == NULL
      || answer->headers_size + answer->body_size > ONCEP_ANSWER_MAX)
    return;
  body->has_answer = TRUE;
  body->status = answer->status;
  body->headers_size = answer->headers_size;
  body->answer.answer_len = answer->headers_size + answer->body_size;
  body->answer.answer_val = (char *)answer->bytes;
}

static void
parcel_send (once_t *once, once_parcel_t *parcel, int64_t now_us)
{
  const once_record_t *record = parcel->record;
  oncep_message message = { .kind = ONCEP_RECORD };
  oncep_record *body = &message.oncep_message_u.record;
  oncep_token tokens[ONCE_GIVEN_UP_MAX];

  for (uint32_t i = 0; i < record->given_up_count; i++)
    {
      tokens[i].entry = record->given_up[i].entry;
      tokens[i].serial = record->given_up[i].serial;
    }
  body->epoch = once->roster.epoch;
  body->account = (char *)record->account;
  body->route = (char *)record->route;
  body->key = (char *)record->key;
  memcpy (body->body_hash, record->body_hash, sizeof record->body_hash);
  body->state = record->state;
  body->given_up.given_up_len = record->given_up_count;
  body->given_up.given_up_val = tokens;
  fill_answer (body, record->answer);
  parcel->sent_us = now_us;
  once_send (once, parcel->to, &message);
}

static bool
outbox_put (once_t *once, once_record_t *record, vm_id_t to, int64_t now_us)
{
  for (size_t i = 0; i < ONCE_OUTBOX_MAX; i++)
    {
      once_parcel_t *parcel = &once->outbox[i];
      if (parcel->record == record)
        return true;
      if (parcel->record != NULL)
        continue;
      *parcel = (once_parcel_t){ .record = record, .to = to };
      parcel->first_us = now_us;
      record->pinned = true;
      parcel_send (once, parcel, now_us);
      return true;
    }
  return false;
}

/* Hands RECORD over if its key has left this home; false when the outbox is
   full.  */
static bool
scan_record (once_t *once, once_record_t *record, int64_t now_us)
{
  bool mine = once_roster_home (&once->leaving, record->hash) == once->self.vm
              || !record->finished;
  vm_id_t to = once_roster_home (&once->roster, record->hash);

  if (!mine || to == once->self.vm || to == 0)
    return true;
  if (once->given_up[once_roster_index (&once->roster, to)])
    return true;
  if (!outbox_put (once, record, to, now_us))
    return false;
  record->handed_to = record->finished ? 0 : to;
  return true;
}

static void
scan (once_t *once, int64_t now_us)
{
  size_t buckets = once_table_buckets (once->table);
  size_t last = once->scan_at + SCAN_BUCKETS;

  for (; once->scan_at < buckets && once->scan_at < last; once->scan_at++)
    {
      once_record_t *record = once_table_bucket (once->table, once->scan_at);
      for (; record != NULL; record = record->next)
        if (!record->pinned && !scan_record (once, record, now_us))
          return;
    }
  if (once->scan_at >= buckets)
    once->scanning = false;
}

/* Sends what is due again; returns the number of records on their way.  */
static size_t
outbox_tick (once_t *once, int64_t now_us)
{
  size_t waiting = 0;

  for (size_t i = 0; i < ONCE_OUTBOX_MAX; i++)
    {
      once_parcel_t *parcel = &once->outbox[i];
      if (parcel->record == NULL)
        continue;
      if (now_us - parcel->first_us >= GIVE_UP_US)
        {
          int index = once_roster_index (&once->roster, parcel->to);
          if (index >= 0)
            once->given_up[index] = true;
          parcel_drop (parcel);
          continue;
        }
      waiting++;
      if (now_us - parcel->sent_us >= once->options.resend_us)
        parcel_send (once, parcel, now_us);
    }
  return waiting;
}

/* Tells the members that do not know it yet that all was handed over, or that
   this VM never was a home; returns how many there are.  */
static size_t
send_ends (once_t *once, int64_t now_us)
{
  oncep_message message = { .kind = ONCEP_END };
  oncep_end *end = &message.oncep_message_u.end;
  size_t waiting = 0;
  int64_t hold_us = once->acted_hold_us;

  end->epoch = once->roster.epoch;
  end->acted = once->leaving.epoch;
  end->incarnation = once->self.incarnation;
  end->horizon_ms = once_table_forgotten_ms (once->table);
  if (end->horizon_ms < once->acted_ms)
    end->horizon_ms = once->acted_ms;
  end->hold_us = hold_us > now_us ? hold_us - now_us : 0;
  for (size_t i = 0; i < once->roster.count; i++)
    {
      if (once->roster.vms[i] == once->self.vm || once->ended[i]
          || once->given_up[i])
        continue;
      waiting++;
      once_send (once, once->roster.vms[i], &message);
    }
  once->end_sent_us = now_us;
  return waiting;
}

bool
once_handover_goes_on (const once_t *once)
{
  return once->scanning || once->telling;
}

int64_t
once_handover_tick (once_t *once, int64_t now_us)
{
  if (once->scanning)
    scan (once, now_us);
  size_t waiting = outbox_tick (once, now_us);
  if (once->scanning)
    return now_us + BUSY_US;
  if (waiting > 0)
    return now_us + once->options.resend_us;
  if (!once->telling)
    return INT64_MAX;
  if (once->end_sent_us == 0
      || now_us - once->end_sent_us >= once->options.resend_us)
    if (send_ends (once, now_us) == 0
        || now_us - once->handover_us >= HANDOVER_MAX_US)
      {
        once->telling = false;
        once->leaving.epoch = 0;
      }
  return once->telling ? now_us + once->options.resend_us : INT64_MAX;
}

void
once_handover_finished (once_t *once, once_record_t *record, int64_t now_us)
{
  vm_id_t to = once_roster_home (&once->roster, record->hash);

  if (record->handed_to == 0 || to == 0 || to == once->self.vm)
    return;
  for (size_t i = 0; i < ONCE_OUTBOX_MAX; i++)
    if (once->outbox[i].record == record)
      parcel_drop (&once->outbox[i]);
  if (outbox_put (once, record, to, now_us))
    {
      record->handed_to = 0;
      return;
    }
  once->scanning = true;
  once->scan_at = 0;
}

/* A run that the sender reports as going on is "elsewhere" here.  */
static once_state_t
state_here (unsigned state)
{
  return state == ONCE_RECEIVED || state == ONCE_RUNNING ? ONCE_ELSEWHERE
                                                         : (once_state_t)state;
}

static bool
replaces (const once_record_t *old, once_state_t state)
{
  if (old->state == ONCE_ELSEWHERE)
    return state != ONCE_ELSEWHERE;
  return old->state == ONCE_TOMBSTONE;
}

static void
take_tokens (once_record_t *record, const oncep_record *body)
{
  for (u_int i = 0; i < body->given_up.given_up_len; i++)
    {
      const oncep_token *from = &body->given_up.given_up_val[i];
      once_token_t token = { from->entry, from->serial };
      if (record->given_up_count < ONCE_GIVEN_UP_MAX
          && !once_record_gave_up (record, token))
        record->given_up[record->given_up_count++] = token;
    }
}

static void
take_record (once_t *once, once_record_t *record, const oncep_record *body,
             int64_t now_us)
{
  once_state_t state = state_here (body->state);
  once_answer_t *answer = NULL;

  if (body->has_answer && body->headers_size <= body->answer.answer_len)
    answer = once_answer_new (body->status, body->answer.answer_val,
                              body->headers_size,
                              body->answer.answer_val + body->headers_size,
                              body->answer.answer_len - body->headers_size);
  take_tokens (record, body);
  once_table_finish (once->table, record, state, answer, now_us);
  if (state != ONCE_ELSEWHERE)
    once_wake_all (once, record, REASON_TOMBSTONE);
}

static void
acknowledge (once_t *once, vm_id_t to, uint64_t hash, const oncep_record *body)
{
  oncep_message message = { .kind = ONCEP_RECORD_ACK };

  message.oncep_message_u.record_ack.epoch = body->epoch;
  message.oncep_message_u.record_ack.hash = hash;
  message.oncep_message_u.record_ack.state = body->state;
  once_send (once, to, &message);
}

void
once_handover_on_record (once_t *once, vm_id_t from,
                         const oncep_record *record, int64_t now_us)
{
  if (record->epoch != once->roster.epoch || record->state >= ONCE_STATE_COUNT)
    return;
  uint64_t hash = home_key_hash (record->account, record->route, record->key);
  once_record_t *old = once_table_find (once->table, hash, record->account,
                                        record->route, record->key);
  if (old == NULL)
    {
      old = once_table_add (once->table, hash, record->account, record->route,
                            record->key, (const uint8_t *)record->body_hash,
                            now_us);
      if (old == NULL)
        return;
      take_record (once, old, record, now_us);
    }
  else if (replaces (old, state_here (record->state)))
    take_record (once, old, record, now_us);
  acknowledge (once, from, hash, record);
}

void
once_handover_on_record_ack (once_t *once, vm_id_t from,
                             const oncep_record_ack *ack)
{
  if (ack->epoch != once->roster.epoch)
    return;
  for (size_t i = 0; i < ONCE_OUTBOX_MAX; i++)
    {
      once_parcel_t *parcel = &once->outbox[i];
      if (parcel->record != NULL && parcel->to == from
          && parcel->record->hash == ack->hash
          && parcel->record->state == ack->state)
        parcel_drop (parcel);
    }
}

/* Notes in the kept epochs what FROM has handed over.  */
static void
note_end (once_t *once, vm_id_t from, const oncep_end *end, int64_t now_us)
{
  for (size_t i = 0; i < once->past_count; i++)
    {
      once_past_t *past = &once->past[i];
      int index = once_roster_index (&past->roster, from);
      if (index < 0 || past->roster.epoch < end->acted
          || past->roster.members[index].incarnation != end->incarnation
          || past->handed[index] != ONCE_HANDED_NOTHING)
        continue;
      bool acted = past->roster.epoch == end->acted;
      past->handed[index] = acted ? ONCE_HANDED_ALL : ONCE_HANDED_IDLE;
      past->handed_epoch[index] = end->epoch;
      past->handed_ms[index] = end->horizon_ms;
      past->handed_hold_us[index] = now_us + end->hold_us;
    }
}

void
once_handover_on_end (once_t *once, vm_id_t from, const oncep_end *end,
                      int64_t now_us)
{
  oncep_message message = { .kind = ONCEP_END_ACK };
  int64_t hold_us;

  if (end->epoch != once->roster.epoch)
    return;
  if (!once->established && once_past_find (once, end->epoch - 1) == NULL)
    return;
  note_end (once, from, end, now_us);
  once->safe_ms = once_horizon_max (once, &hold_us);
  message.oncep_message_u.end_ack.epoch = end->epoch;
  once_send (once, from, &message);
}

void
once_handover_on_end_ack (once_t *once, vm_id_t from, const oncep_end_ack *ack)
{
  int index = once_roster_index (&once->roster, from);

  if (ack->epoch == once->roster.epoch && index >= 0)
    once->ended[index] = true;
}
