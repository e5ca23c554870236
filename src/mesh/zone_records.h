#ifndef REDWINGFORD_ZONE_RECORDS_H
#define REDWINGFORD_ZONE_RECORDS_H

/* What one sidecar knows of the evacuations of availability zones: the newest
   record of each zone, read from the operators' topic or received from another
   sidecar.  Uses neither sockets nor clocks.

   A store that is restored from an older copy begins a new era.  Its offsets
   go back to the end of the copy and are assigned again, and records that were
   written after the copy was made are gone.  A record of the new era that is
   before the end of the first snapshot read in it may come from the copy; the
   offset of such a record is the one that it had in the era before.  */

#include "mesh/store_position.h"
#include "types.h"

enum
{
  /* Limit of the zones that records of evacuations have named, those back in
     service included.  Records of further zones are ignored.  */
  EVACUATED_ZONES_MAX = 64,
  /* Time for the operators to write a lost evacuation again.  */
  ZONE_HOLD_US = 10 * 1000 * 1000
};

typedef struct zone_record_t
{
  char name[NAME_BYTES];
  bool out; /* of service */
  /* The record was written in the era of its position: it does not come from
     the copy.  */
  bool written_in_era;
  /* Newest era in which the store is known to have the record of a zone that
     is out.  */
  uint32_t confirmed_era;
  store_position_t position; /* offset -1 is no record */
} zone_record_t;

/* How far a sidecar knows the operators' topic.  */
typedef struct topic_knowledge_t
{
  store_position_t next; /* after the last known record */
  /* The same in the newest era before that of NEXT; (0, 0) is none.  */
  store_position_t before;
} topic_knowledge_t;

/* What one sidecar sends to another.  */
typedef struct zone_state_t
{
  topic_knowledge_t knowledge;
  /* Least known end of a first snapshot in the era of NEXT; -1 is unknown.  */
  int64_t first_end;
  zone_record_t zones[EVACUATED_ZONES_MAX];
  uint32_t zone_count;
} zone_state_t;

typedef struct zone_entry_t
{
  zone_record_t record;
  bool seen_in_snapshot; /* in the one that is being read */
  /* Record of the current era that takes the zone out and may come from the
     copy, while the evacuation is known to have ended; -1 is none.  */
  int64_t doubted_offset;
} zone_entry_t;

typedef struct zone_records_t
{
  zone_entry_t zones[EVACUATED_ZONES_MAX];
  uint32_t zone_count;
  topic_knowledge_t knowledge;
  uint32_t era; /* newest one seen */
  int64_t era_seen_us;
  uint32_t snapshot_era; /* newest one with a complete snapshot */
  uint32_t first_end_era;
  int64_t first_end; /* least known end of a first snapshot in that era */
  /* A record of a snapshot does not show that the records before it are known,
     so it does not advance the knowledge.  */
  bool in_snapshot;
  /* A zone was taken out of service or brought back.  */
  void (*on_change) (void *ctx, const zone_record_t *record);
  void *ctx; /* borrowed */
} zone_records_t;

void zone_records_init (zone_records_t *records,
                        void (*on_change) (void *ctx,
                                           const zone_record_t *record),
                        void *ctx);

/* Times are monotonic, in microseconds.  Positions of an era older than the
   newest one seen are ignored.  */
void zone_records_begin_snapshot (zone_records_t *records);
/* A record of the operators' topic at POSITION.  ZONE is the zone that it
   takes OUT of service or brings back; NULL is a record of another kind.  */
void zone_records_apply (zone_records_t *records, const char *zone, bool out,
                         store_position_t position, int64_t now_us);
void zone_records_end_snapshot (zone_records_t *records, store_position_t end,
                                int64_t now_us);

bool zone_records_is_out (const zone_records_t *records, const char *zone);

void zone_records_state (const zone_records_t *records, zone_state_t *state);

/* Whether a sidecar with KNOWLEDGE knows records that RECORDS lacks.  What it
   knows of older eras counts while evacuations are held, so that an unknown
   end of one does not cause requests for ever.  */
bool zone_records_lack (const zone_records_t *records,
                        const topic_knowledge_t *knowledge, int64_t now_us);

/* Adopts what is newer in the state of another sidecar.  */
void zone_records_merge (zone_records_t *records, const zone_state_t *state,
                         int64_t now_us);

/* Returns when zone_records_expire is to be called: an evacuation that the
   store no longer has ends then.  INT64_MAX is never.  */
int64_t zone_records_expiry_us (const zone_records_t *records);
void zone_records_expire (zone_records_t *records, int64_t now_us);

/* Raises TO to the union of both.  */
void topic_knowledge_raise (topic_knowledge_t *to,
                            const topic_knowledge_t *other);

#endif
