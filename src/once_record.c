#include "once_record.h"

#include <stdlib.h>
#include <string.h>

#include "invariant.h"
#include "once_key.h"

enum
{
  BUCKETS_MIN = 64
};

struct once_table_t
{
  once_limits_t limits;
  once_record_t **buckets;
  size_t bucket_count; /* a power of two */
  size_t count;
  size_t bytes;
  once_record_t *oldest; /* finished records by time of finishing */
  once_record_t *newest;
  int64_t forgotten_ms;
};

once_table_t *
once_table_new (const once_limits_t *limits)
{
  once_table_t *table = calloc (1, sizeof *table);

  table->limits = *limits;
  table->bucket_count = BUCKETS_MIN;
  table->buckets = calloc (table->bucket_count, sizeof (once_record_t *));
  return table;
}

static void
record_free (once_record_t *record)
{
  once_answer_unref (record->answer);
  free (record->waiters);
  free (record);
}

void
once_table_free (once_table_t *table)
{
  for (size_t i = 0; i < table->bucket_count; i++)
    while (table->buckets[i] != NULL)
      {
        once_record_t *record = table->buckets[i];
        table->buckets[i] = record->next;
        record_free (record);
      }
  free (table->buckets);
  free (table);
}

static once_record_t **
bucket_of (const once_table_t *table, uint64_t hash)
{
  return &table->buckets[hash & (table->bucket_count - 1)];
}

once_record_t *
once_table_find (const once_table_t *table, uint64_t hash, const char *account,
                 const char *route, const char *key)
{
  once_record_t *record = *bucket_of (table, hash);

  for (; record != NULL; record = record->next)
    if (record->hash == hash && strcmp (record->key, key) == 0
        && strcmp (record->account, account) == 0
        && strcmp (record->route, route) == 0)
      return record;
  return NULL;
}

static void
buckets_grow (once_table_t *table)
{
  size_t old_count = table->bucket_count;
  once_record_t **old = table->buckets;

  table->bucket_count = old_count * 2;
  table->buckets = calloc (table->bucket_count, sizeof (once_record_t *));
  for (size_t i = 0; i < old_count; i++)
    while (old[i] != NULL)
      {
        once_record_t *record = old[i];
        old[i] = record->next;
        once_record_t **bucket = bucket_of (table, record->hash);
        record->next = *bucket;
        *bucket = record;
      }
  free (old);
}

static size_t
record_size (const once_record_t *record)
{
  return sizeof *record + strlen (record->account) + strlen (record->route)
         + strlen (record->key) + 3;
}

static void
finished_unlink (once_table_t *table, once_record_t *record)
{
  if (table->oldest == record)
    table->oldest = record->newer;
  else
    record->older->newer = record->newer;
  if (table->newest == record)
    table->newest = record->older;
  else
    record->newer->older = record->older;
  record->older = NULL;
  record->newer = NULL;
  record->finished = false;
}

static void
finished_append (once_table_t *table, once_record_t *record, int64_t now_us)
{
  record->older = table->newest;
  record->newer = NULL;
  if (table->newest != NULL)
    table->newest->newer = record;
  else
    table->oldest = record;
  table->newest = record;
  record->finished = true;
  record->finished_us = now_us;
}

static void
answer_drop (once_table_t *table, once_record_t *record)
{
  if (record->answer == NULL)
    return;
  table->bytes -= once_answer_size (record->answer);
  once_answer_unref (record->answer);
  record->answer = NULL;
}

static void
record_drop (once_table_t *table, once_record_t *record)
{
  INVARIANT (record->finished, "a record is dropped in state %d",
             record->state);
  if (record->key_ms > table->forgotten_ms)
    table->forgotten_ms = record->key_ms;
  finished_unlink (table, record);
  once_record_t **at = bucket_of (table, record->hash);
  while (*at != record)
    at = &(*at)->next;
  *at = record->next;
  answer_drop (table, record);
  table->bytes -= record_size (record);
  table->count--;
  record_free (record);
}

/* Drops the oldest finished record if it is at least AGE_US old.  */
static bool
drop_oldest (once_table_t *table, int64_t now_us, int64_t age_us)
{
  once_record_t *record = table->oldest;

  if (record == NULL || record->pinned)
    return false;
  if (record->key_ms == ONCE_KEY_UNTIMED && age_us < table->limits.untimed_us)
    age_us = table->limits.untimed_us;
  if (now_us - record->finished_us < age_us)
    return false;
  record_drop (table, record);
  return true;
}

once_record_t *
once_table_add (once_table_t *table, uint64_t hash, const char *account,
                const char *route, const char *key, const uint8_t *body_hash,
                int64_t now_us)
{
  size_t account_size = strlen (account) + 1;
  size_t route_size = strlen (route) + 1;
  size_t key_size = strlen (key) + 1;
  size_t size = sizeof (once_record_t) + account_size + route_size + key_size;

  while (table->count >= table->limits.records_max
         || table->bytes + size > table->limits.bytes_max)
    if (!drop_oldest (table, now_us, table->limits.keep_min_us))
      return NULL;
  if (table->count >= table->bucket_count)
    buckets_grow (table);
  once_record_t *record = calloc (1, size);
  memcpy (record->text, account, account_size);
  memcpy (record->text + account_size, route, route_size);
  memcpy (record->text + account_size + route_size, key, key_size);
  record->account = record->text;
  record->route = record->text + account_size;
  record->key = record->text + account_size + route_size;
  record->hash = hash;
  record->key_ms = once_key_time_ms (key);
  record->begun_us = now_us;
  memcpy (record->body_hash, body_hash, sizeof record->body_hash);
  once_record_t **bucket = bucket_of (table, hash);
  record->next = *bucket;
  *bucket = record;
  table->count++;
  table->bytes += size;
  return record;
}

void
once_table_finish (once_table_t *table, once_record_t *record,
                   once_state_t state, once_answer_t *answer, int64_t now_us)
{
  if (record->finished)
    finished_unlink (table, record);
  answer_drop (table, record);
  record->state = state;
  finished_append (table, record, now_us);
  if (answer == NULL)
    return;
  size_t size = once_answer_size (answer);
  while (table->bytes + size > table->limits.bytes_max
         && table->oldest != record)
    if (!drop_oldest (table, now_us, table->limits.keep_min_us))
      break;
  if (table->bytes + size > table->limits.bytes_max)
    {
      once_answer_unref (answer);
      return;
    }
  table->bytes += size;
  record->answer = answer;
}

void
once_table_reopen (once_table_t *table, once_record_t *record, int64_t now_us)
{
  INVARIANT (record->state == ONCE_TOMBSTONE,
             "a record is opened again in state %d", record->state);
  finished_unlink (table, record);
  record->state = ONCE_RECEIVED;
  record->begun_us = now_us;
}

bool
once_table_wait (once_table_t *table, once_record_t *record,
                 once_token_t token)
{
  (void)table;
  for (uint32_t i = 0; i < record->waiter_count; i++)
    if (once_token_equal (record->waiters[i], token))
      return true;
  if (record->waiter_count == ONCE_WAITERS_MAX)
    return false;
  if ((record->waiter_count & (record->waiter_count - 1)) == 0)
    {
      size_t room = record->waiter_count ? record->waiter_count * 2 : 1;
      record->waiters
          = realloc (record->waiters, room * sizeof *record->waiters);
    }
  record->waiters[record->waiter_count++] = token;
  return true;
}

uint32_t
once_table_take_waiters (once_table_t *table, once_record_t *record,
                         once_token_t **waiters)
{
  (void)table;
  uint32_t count = record->waiter_count;

  *waiters = record->waiters;
  record->waiters = NULL;
  record->waiter_count = 0;
  return count;
}

void
once_table_expire (once_table_t *table, int64_t now_us, size_t limit)
{
  while (limit-- > 0 && drop_oldest (table, now_us, table->limits.keep_us))
    continue;
}

int64_t
once_table_forgotten_ms (const once_table_t *table)
{
  return table->forgotten_ms;
}

size_t
once_table_count (const once_table_t *table)
{
  return table->count;
}

size_t
once_table_bytes (const once_table_t *table)
{
  return table->bytes;
}

size_t
once_table_buckets (const once_table_t *table)
{
  return table->bucket_count;
}

once_record_t *
once_table_bucket (const once_table_t *table, size_t at)
{
  return table->buckets[at];
}

bool
once_record_gave_up (const once_record_t *record, once_token_t token)
{
  for (uint32_t i = 0; i < record->given_up_count; i++)
    if (once_token_equal (record->given_up[i], token))
      return true;
  return false;
}
