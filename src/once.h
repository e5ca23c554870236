#ifndef REDWINGFORD_ONCE_H
#define REDWINGFORD_ONCE_H

/* Requests that run at most once: the decisions of one member of a service,
   which is the home of a share of its idempotency keys.

   A home accepts a new key only while three things hold.  The key was issued
   no later than the bound that a majority of the service's members granted
   to this home; it was issued after the home's horizon, the latest time up
   to which another home may have accepted it; and the home has no record of
   it.  A grant is counted in issue times of keys, not in time on a clock, so
   a home that was paused or whose clock stepped cannot run what a later home
   may run as well.  Keys without an issue time fall back on the monotonic
   clock.

   No locks: once_part.h guards calls from several threads.  */

#include "link.h"
#include "once_record.h"
#include "reason.h"

enum
{
  ONCE_MEMBERS_MAX = 64
};

typedef struct once_member_t
{
  vm_id_t vm;
  incarnation_t incarnation;
} once_member_t;

/* Safety mechanisms that a test may switch off.  */
typedef enum once_switch_t
{
  ONCE_SWITCH_BOUND = 1 << 0,     /* keys only up to the granted bound */
  ONCE_SWITCH_HORIZON = 1 << 1,   /* keys only from after the horizon */
  ONCE_SWITCH_TOMBSTONE = 1 << 2, /* "not run" only with a tombstone */
  ONCE_SWITCH_RUN_CHECK = 1 << 3, /* the clock at the point of running */
  ONCE_SWITCH_PROMISE = 1 << 4,   /* no grant in an epoch that is over */
  ONCE_SWITCH_MEMORY = 1 << 5,    /* a restarted voter counts as a new one */
  ONCE_SWITCH_HOLD = 1 << 6,      /* untimed keys wait out a lost home */
  ONCE_SWITCH_FORGOTTEN = 1 << 7, /* dropped records raise the horizon */
  ONCE_SWITCH_REPAIR = 1 << 8,    /* a stale home is told the members */
  ONCE_SWITCH_EPOCH = 1 << 9,     /* sendings under another epoch refused */
  ONCE_SWITCH_REFUSED = 1 << 10,  /* refused sendings are remembered */
  ONCE_SWITCH_IDENTITY = 1 << 11  /* an entry matches replies by token */
} once_switch_t;

typedef struct once_options_t
{
  once_limits_t limits;
  int64_t lease_ms;     /* how far ahead of the wall clock a bound may lie */
  int64_t renew_us;     /* between renewals */
  int64_t resend_us;    /* between repeats of an unanswered message */
  int64_t skew_ms;      /* tolerated between the wall clocks of members */
  int64_t lost_vote_us; /* wait for voters that kept their memory */
  unsigned off;         /* of once_switch_t */
} once_options_t;

/* The options of a daemon.  */
once_options_t once_options_default (void);

typedef struct once_request_t
{
  const char *account; /* borrowed for the call, like all texts here */
  const char *route;
  const char *key; /* the Idempotency-Key; NULL or "" when absent */
  uint8_t body_hash[ONCE_BODY_HASH_BYTES];
  once_token_t token;
  uint64_t epoch;      /* under which the entry chose this home; 0: not known,
                          for a transport that never repeats a request */
  int64_t deadline_us; /* on this VM's monotonic clock */
} once_request_t;

typedef enum once_verdict_t
{
  ONCE_RUN,    /* ask once_may_run, then run it */
  ONCE_JOIN,   /* the wake callback will tell the outcome */
  ONCE_REPLAY, /* the recorded answer */
  ONCE_REFUSE  /* with a reason, which also says the outcome */
} once_verdict_t;

typedef struct once_decision_t
{
  once_verdict_t verdict;
  reason_t reason;
  once_record_t *record; /* with ONCE_RUN; valid until the run is reported */
  once_answer_t *answer; /* with ONCE_REPLAY; the caller drops the reference */
  uint64_t epoch;        /* this member's epoch, for a stale entry */
} once_decision_t;

/* Tells one waiting sending how the run ended.  DECISION is ONCE_REPLAY (the
   receiver drops the reference) or ONCE_REFUSE.  */
typedef void (*once_wake_t) (void *ctx, once_token_t token,
                             const once_decision_t *decision);

typedef struct once_t once_t;

/* SELF is this life of this VM.  LINK and CTX are borrowed.  WALL_MS is the
   wall clock at the start, used only if the memory of a majority was lost.
   Free with once_free.  */
once_t *once_new (const once_options_t *options, once_member_t self,
                  link_t link, once_wake_t wake, void *ctx, int64_t now_us,
                  int64_t wall_ms);
void once_free (once_t *once);

/* Members of the service in an epoch.  Epochs are numbered from 1 without
   gaps, and one epoch has the same members on every VM: they come from the
   log, where the first record for an epoch wins.  More than ONCE_MEMBERS_MAX
   members: the first ones count.  */
void once_set_members (once_t *once, const once_member_t *members,
                       size_t count, uint64_t epoch, int64_t now_us);

/* An operator's word that no process of the epochs before EPOCH is alive,
   for a service that lost a majority of its VMs for good.  */
void once_force_closed (once_t *once, uint64_t epoch, int64_t wall_ms);

uint64_t once_epoch (const once_t *once);
/* The home of a key in the current epoch, or 0.  */
vm_id_t once_home (const once_t *once, const char *account, const char *route,
                   const char *key);

once_decision_t once_begin (once_t *once, const once_request_t *request,
                            int64_t now_us, int64_t wall_ms);

/* What became of a sending whose connection went silent.  ONCE_REFUSE with
   REASON_TOMBSTONE: it did not run and never will, and may be sent again
   under a new token.  ONCE_REFUSE with REASON_HOME_LOST: not known now, ask
   again.  */
once_decision_t once_query (once_t *once, const once_request_t *request,
                            int64_t now_us, int64_t wall_ms);

/* The check at the very point of running.  False: it must not run; report
   once_not_run.  */
bool once_may_run (once_t *once, once_record_t *record, int64_t now_us);

/* The three ends of a run.  Each wakes the waiters and ends the caller's use
   of RECORD.  The reference to ANSWER passes to the record.  */
void once_answered (once_t *once, once_record_t *record, once_answer_t *answer,
                    int64_t now_us);
void once_unknown (once_t *once, once_record_t *record, int64_t now_us);
/* Only when it is proved that the request did not run.  */
void once_not_run (once_t *once, once_record_t *record, reason_t reason,
                   int64_t now_us);

/* The caller of the sending that was to run is gone.  True: nobody else waits
   and it had not started, so it is reported as not run.  False: it goes on,
   and its record will tell how it ended.  */
bool once_cancel (once_t *once, once_record_t *record, int64_t now_us);

/* A message of MESSAGE_ONCE.  */
void once_receive (once_t *once, vm_id_t from, const void *data, size_t size,
                   int64_t now_us, int64_t wall_ms);
/* Does what is due and returns the time of the next call.  */
int64_t once_tick (once_t *once, int64_t now_us, int64_t wall_ms);

typedef struct once_stats_t
{
  uint64_t epoch;
  bool established; /* acts as a home in this epoch */
  int64_t bound_ms;
  int64_t horizon_ms; /* highest of any key */
  size_t members;
  size_t records;
  size_t bytes;
  size_t handing_over; /* records not yet confirmed by their new home */
} once_stats_t;

/* Whether this VM is no member any more and has handed all its records over,
   or never was one.  */
bool once_has_left (const once_t *once);
once_stats_t once_stats (const once_t *once);

#endif
