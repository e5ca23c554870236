#ifndef REDWINGFORD_ONCE_PRIVATE_H
#define REDWINGFORD_ONCE_PRIVATE_H

/* What the files of the "once" decisions share; not for others.  */

#include "home.h"
#include "once.h"
#include "once_proto.h"

enum
{
  ONCE_HISTORY_MAX = 32,   /* epochs kept */
  ONCE_VOTERS_MAX = 160,   /* answers kept while an epoch is established */
  ONCE_REFUSED_MAX = 1024, /* tokens refused without a record */
  ONCE_OUTBOX_MAX = 32     /* records on their way to another home */
};

typedef struct once_roster_t
{
  uint64_t epoch;
  size_t count;
  once_member_t members[ONCE_MEMBERS_MAX];
  vm_id_t vms[ONCE_MEMBERS_MAX];
} once_roster_t;

/* What this member got from a home of an epoch that is over.  */
typedef enum once_handed_t
{
  ONCE_HANDED_NOTHING,
  ONCE_HANDED_ALL, /* every record that moved here */
  ONCE_HANDED_IDLE /* it never was a home in that epoch */
} once_handed_t;

typedef struct once_past_t
{
  once_roster_t roster;
  int64_t horizon_ms; /* no home accepted a later key up to this epoch */
  int64_t hold_us;    /* untimed keys are unknown until then */
  once_handed_t handed[ONCE_MEMBERS_MAX];
  uint64_t handed_epoch[ONCE_MEMBERS_MAX]; /* in which it did */
  int64_t handed_ms[ONCE_MEMBERS_MAX];
  int64_t handed_hold_us[ONCE_MEMBERS_MAX];
} once_past_t;

typedef struct once_voter_t
{
  uint64_t promised;  /* grants nothing in earlier epochs */
  int64_t highest_ms; /* ever granted */
} once_voter_t;

typedef struct once_ballot_t
{
  once_member_t voter;
  uint64_t promised;
  int64_t highest_ms;
  int64_t granted_ms;
  int64_t granted_us; /* when the grant was asked for */
} once_ballot_t;

typedef struct once_parcel_t
{
  once_record_t *record; /* NULL: free */
  vm_id_t to;
  int64_t sent_us;
  int64_t first_us;
} once_parcel_t;

struct once_t
{
  once_options_t options;
  once_member_t self;
  link_t link;
  once_wake_t wake;
  void *ctx;
  once_table_t *table;
  once_voter_t voter;

  once_roster_t roster; /* epoch 0: none yet */
  int64_t adopted_us;
  bool established;
  int64_t bound_ms;
  int64_t lease_until_us;
  int64_t asked_us;
  once_ballot_t ballots[ONCE_VOTERS_MAX];
  size_t ballot_count;

  uint64_t closed;  /* no home of an earlier epoch gets another grant */
  int64_t floor_ms; /* the highest bound of those epochs */
  uint64_t heard_closed;
  int64_t heard_floor_ms;
  once_past_t past[ONCE_HISTORY_MAX]; /* newest first */
  size_t past_count;
  int64_t base_ms; /* horizon of epochs before the history */
  int64_t base_hold_us;
  int64_t safe_ms; /* later keys are after the horizon, whatever their home */

  once_roster_t acted; /* the last epoch in which this was a home */
  int64_t acted_ms;    /* its horizon at the end of that epoch */
  int64_t acted_hold_us;
  once_roster_t leaving; /* the one whose records are handed over */
  bool telling; /* not every member knows yet that all was handed over */
  bool scanning;
  size_t scan_at;
  once_parcel_t outbox[ONCE_OUTBOX_MAX];
  bool ended[ONCE_MEMBERS_MAX];    /* confirmed the end of the hand-over */
  bool given_up[ONCE_MEMBERS_MAX]; /* does not confirm */
  int64_t end_sent_us;
  int64_t handover_us;

  once_token_t refused[ONCE_REFUSED_MAX];
  size_t refused_count;
};

static inline bool
once_is_on (const once_t *once, once_switch_t mechanism)
{
  return (once->options.off & mechanism) == 0;
}

/* once_roster.c */
int once_roster_index (const once_roster_t *roster, vm_id_t vm);
bool once_roster_has (const once_roster_t *roster, once_member_t member);
vm_id_t once_roster_home (const once_roster_t *roster, uint64_t hash);
/* Grants that a home needs.  */
size_t once_roster_majority (const once_roster_t *roster);
once_past_t *once_past_find (once_t *once, uint64_t epoch);
/* Keeps the members of an epoch that is over; does nothing if kept.  */
void once_past_add (once_t *once, const once_roster_t *roster);

/* once_horizon.c */
/* The latest issue time at which another home may have accepted the key with
   HASH, and until when an untimed one is unknown.  */
int64_t once_horizon (const once_t *once, uint64_t hash, int64_t *hold_us);
/* The same over all keys.  */
int64_t once_horizon_max (const once_t *once, int64_t *hold_us);

/* once_lease.c */
void once_lease_adopt (once_t *once, const once_roster_t *roster,
                       int64_t now_us);
void once_lease_on_ask (once_t *once, vm_id_t from, const oncep_ask *ask,
                        int64_t wall_ms);
void once_lease_on_roster (once_t *once, const oncep_roster *message,
                           int64_t now_us);
void once_lease_on_vote (once_t *once, vm_id_t from, const oncep_vote *vote,
                         int64_t now_us);
int64_t once_lease_tick (once_t *once, int64_t now_us, int64_t wall_ms);
/* Grants, refuses and remembers; 0 when refused.  */
int64_t once_voter_grant (once_t *once, uint64_t epoch, int64_t bound_ms,
                          int64_t wall_ms);

/* once_handover.c */
void once_handover_start (once_t *once, int64_t now_us);
/* Until the records have arrived and every member knows that all have.  */
bool once_handover_goes_on (const once_t *once);
int64_t once_handover_tick (once_t *once, int64_t now_us);
/* A run ended whose record had been handed over.  */
void once_handover_finished (once_t *once, once_record_t *record,
                             int64_t now_us);
void once_handover_on_record (once_t *once, vm_id_t from,
                              const oncep_record *record, int64_t now_us);
void once_handover_on_record_ack (once_t *once, vm_id_t from,
                                  const oncep_record_ack *ack);
void once_handover_on_end (once_t *once, vm_id_t from, const oncep_end *end,
                           int64_t now_us);
void once_handover_on_end_ack (once_t *once, vm_id_t from,
                               const oncep_end_ack *ack);

/* once_wire.c */
void once_send (once_t *once, vm_id_t to, oncep_message *message);
void once_send_roster (once_t *once, vm_id_t to, const once_roster_t *roster);

/* once.c */
/* Remembers that a sending was refused, for a late copy of it.  */
void once_refuse_token (once_t *once, once_token_t token);
/* Wakes every sending that waits on RECORD with its final state.  */
void once_wake_all (once_t *once, once_record_t *record, reason_t reason);

#endif
