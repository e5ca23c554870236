#ifndef REDWINGFORD_ONCE_RECORD_H
#define REDWINGFORD_ONCE_RECORD_H

/* The records that one home keeps, found by account, route and key.  Bounded
   in count, bytes and age.  What may still run is never forgotten: only
   finished records are dropped, and the highest issue time among the dropped
   ones is kept, so that no key issued up to it is taken for a new one.  */

#include "once_answer.h"

enum
{
  ONCE_BODY_HASH_BYTES = 16,
  ONCE_GIVEN_UP_MAX = 4, /* sendings given up for one key */
  ONCE_WAITERS_MAX = 32  /* sendings that wait for one run */
};

/* One sending of a request: the VM where it entered and a number that this
   VM never uses twice.  */
typedef struct once_token_t
{
  vm_id_t entry;
  uint64_t serial;
} once_token_t;

static inline bool
once_token_equal (once_token_t a, once_token_t b)
{
  return a.entry == b.entry && a.serial == b.serial;
}

typedef enum once_state_t
{
  ONCE_RECEIVED,  /* accepted, not yet running */
  ONCE_RUNNING,   /* may have reached the backend server */
  ONCE_ELSEWHERE, /* running at the home before this one; may be dropped */
  ONCE_ANSWERED,
  ONCE_UNKNOWN,
  ONCE_TOMBSTONE, /* not run; the sendings in given_up must never run */
  ONCE_STATE_COUNT
} once_state_t;

typedef struct once_record_t
{
  struct once_record_t *next;  /* in its bucket */
  struct once_record_t *newer; /* among the finished */
  struct once_record_t *older;
  uint64_t hash;
  const char *account; /* in TEXT */
  const char *route;
  const char *key;
  int64_t key_ms; /* or ONCE_KEY_UNTIMED */
  uint8_t body_hash[ONCE_BODY_HASH_BYTES];
  once_state_t state;
  bool finished;
  int64_t finished_us;
  int64_t begun_us;
  once_answer_t *answer;
  once_token_t given_up[ONCE_GIVEN_UP_MAX];
  uint32_t given_up_count;
  once_token_t *waiters;
  uint32_t waiter_count;
  bool pinned;        /* on its way to another home; must not be dropped */
  vm_id_t handed_to;  /* wants to hear how the run ends, or 0 */
  once_token_t token; /* the sending that runs */
  int64_t deadline_us;
  char text[];
} once_record_t;

typedef struct once_limits_t
{
  size_t records_max;
  size_t bytes_max;    /* of records and answers */
  int64_t keep_us;     /* a finished record is dropped after this */
  int64_t keep_min_us; /* and not before this, however full the table is */
  int64_t untimed_us;  /* a key without time is kept this long, always */
} once_limits_t;

typedef struct once_table_t once_table_t;

once_table_t *once_table_new (const once_limits_t *limits);
void once_table_free (once_table_t *table);

once_record_t *once_table_find (const once_table_t *table, uint64_t hash,
                                const char *account, const char *route,
                                const char *key);

/* Adds a record in state ONCE_RECEIVED.  NULL when the table is full of
   records that must be kept.  */
once_record_t *once_table_add (once_table_t *table, uint64_t hash,
                               const char *account, const char *route,
                               const char *key, const uint8_t *body_hash,
                               int64_t now_us);

/* Marks a record as finished with STATE; ANSWER (may be NULL) is kept if the
   bytes allow.  The reference passes to the table.  */
void once_table_finish (once_table_t *table, once_record_t *record,
                        once_state_t state, once_answer_t *answer,
                        int64_t now_us);

/* Takes a tombstone back into use.  */
void once_table_reopen (once_table_t *table, once_record_t *record,
                        int64_t now_us);

/* False when ONCE_WAITERS_MAX sendings wait already.  */
bool once_table_wait (once_table_t *table, once_record_t *record,
                      once_token_t token);

/* Takes the waiters out of RECORD; the caller frees the array.  */
uint32_t once_table_take_waiters (once_table_t *table, once_record_t *record,
                                  once_token_t **waiters);

/* Drops finished records past their age, at most LIMIT of them.  */
void once_table_expire (once_table_t *table, int64_t now_us, size_t limit);

/* Highest issue time of a dropped record, or 0.  */
int64_t once_table_forgotten_ms (const once_table_t *table);

size_t once_table_count (const once_table_t *table);
size_t once_table_bytes (const once_table_t *table);

/* For walking the table piecewise: the records of bucket AT are linked by
   NEXT.  Records added meanwhile may move between buckets.  */
size_t once_table_buckets (const once_table_t *table);
once_record_t *once_table_bucket (const once_table_t *table, size_t at);

bool once_record_gave_up (const once_record_t *record, once_token_t token);

#endif
