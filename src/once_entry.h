#ifndef REDWINGFORD_ONCE_ENTRY_H
#define REDWINGFORD_ONCE_ENTRY_H

/* The entry daemon's side of one request that must run at most once: when to
   send it to its home, when to ask what became of it, and what to tell the
   caller.  At most one sending is open at a time; the next one leaves only
   after the home's word that the one before did not run and never will.  */

#include "once_record.h"
#include "reason.h"

typedef enum once_entry_act_t
{
  ONCE_ENTRY_SEND,  /* to the key's home, under a new token */
  ONCE_ENTRY_QUERY, /* once_query at the home on a fresh connection */
  ONCE_ENTRY_WAIT,  /* until the next event or the timer */
  ONCE_ENTRY_SAY    /* tell the caller REASON; REASON_NONE: the answer */
} once_entry_act_t;

typedef struct once_entry_step_t
{
  once_entry_act_t act;
  reason_t reason;  /* with ONCE_ENTRY_SAY */
  int64_t timer_us; /* call once_entry_timer then */
} once_entry_step_t;

typedef struct once_entry_t
{
  int64_t deadline_us;
  int64_t silent_us; /* a sending without a sign is asked about after this */
  int64_t query_us;  /* when to ask next */
  uint32_t retries_left;
  once_token_t token; /* of the newest sending; set by the caller */
  bool open;          /* a sending left whose outcome is not known */
  reason_t reason;    /* of the last refusal */
  bool done;
} once_entry_t;

/* A sending counts as silent after a quarter of the time that was left.  */
once_entry_step_t once_entry_start (once_entry_t *entry, int64_t now_us,
                                    int64_t deadline_us, uint32_t retries);

/* No byte of the sending left this VM.  */
once_entry_step_t once_entry_unsent (once_entry_t *entry, int64_t now_us);

/* The home refused the sending or answered the query with REASON.  */
once_entry_step_t once_entry_refused (once_entry_t *entry, reason_t reason,
                                      int64_t now_us);

/* The whole answer came.  */
once_entry_step_t once_entry_answered (once_entry_t *entry);

/* Whether a reply that names TOKEN belongs to this request.  One that does
   not has crossed with another's: pass it over and call once_entry_cut.  */
bool once_entry_owns (const once_entry_t *entry, once_token_t token);

/* The connection was cut, or the timer ran out.  */
once_entry_step_t once_entry_cut (once_entry_t *entry, int64_t now_us);
once_entry_step_t once_entry_timer (once_entry_t *entry, int64_t now_us);

#endif
