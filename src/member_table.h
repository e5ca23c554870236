#ifndef REDWINGFORD_MEMBER_TABLE_H
#define REDWINGFORD_MEMBER_TABLE_H

/* A set of members ordered by a hash of their VM, which is also the order of
   the ring in which they probe each other.  */

#include "member.h"

typedef struct member_entry_t
{
  member_record_t record;
  uint64_t key;       /* place in the ring */
  int64_t since_us;   /* when the state was learnt */
  int64_t due_us;     /* when a suspect is dead, or a tombstone forgotten */
  bool accused;       /* this VM raised the suspicion */
  bool missed;        /* has not answered the last poll (watches) */
  bool unreached;     /* nor any for too long */
  int64_t missed_us;  /* when the first of them was noticed */
  bool to_push;       /* changed since watchers were last told */
  uint16_t news_left; /* times that this is still to be passed on */
  bool news_whole;    /* pass on the whole record, not just the state */
} member_entry_t;

typedef struct member_table_t
{
  member_entry_t **entries; /* sorted by key */
  size_t count;
  size_t room;
  size_t live; /* alive or suspect */
  bool digest_valid;
  uint32_t digest;
} member_table_t;

enum
{
  MEMBER_WHOLE_MAX = 12, /* a larger table is compared in buckets */
  MEMBER_BUCKETS = 32
};

void member_table_clear (member_table_t *table);

/* NULL when VM is not in the table.  */
member_entry_t *member_table_find (const member_table_t *table, vm_id_t vm);

/* The entry of VM, made if need be (state MEMBER_DEAD, incarnation 0); NULL
   when the table is full.  */
member_entry_t *member_table_put (member_table_t *table, vm_id_t vm);

void member_table_remove (member_table_t *table, vm_id_t vm);

/* Index of the first entry after VM's place in the ring.  */
size_t member_table_after (const member_table_t *table, vm_id_t vm);

bool member_entry_live (const member_entry_t *entry);

/* A random live entry other than SELF, or NULL.  */
member_entry_t *member_table_random (const member_table_t *table, vm_id_t self,
                                     const rng_t *rng);

/* Number of buckets that the table is compared in.  */
uint32_t member_table_buckets (const member_table_t *table);

/* The bucket of COUNT that KEY falls into.  */
uint32_t member_bucket (uint64_t key, uint32_t count);

/* Digests of the live entries in each of COUNT buckets.  */
void member_table_digest (const member_table_t *table, uint32_t *buckets,
                          uint32_t count);

/* Digest of all live entries, kept until member_table_touch.  */
uint32_t member_table_whole (member_table_t *table);

/* To be called after any change of an entry.  */
void member_table_touch (member_table_t *table);

/* A 64-bit mix without collisions.  */
uint64_t member_mix (uint64_t value);

/* Hash of a name; 0 for the empty one.  */
uint32_t member_hash_name (const char *name);

#endif
