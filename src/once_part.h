#ifndef REDWINGFORD_ONCE_PART_H
#define REDWINGFORD_ONCE_PART_H

/* Requests that run at most once, as a part of the daemon.  The control
   thread calls the functions of once_part_part; all others may be called
   from any thread.  One mutex guards the records and is taken last: only the
   link is called under it, and the wake callback after it was let go.  */

#include "clock.h"
#include "once.h"
#include "part.h"

typedef struct once_part_t once_part_t;

typedef struct once_part_config_t
{
  once_options_t options;
  once_member_t self;
  link_t link;                 /* must not call back into this part */
  const clock_source_t *clock; /* borrowed */
  once_wake_t wake;            /* see once.h; any thread */
  void *wake_ctx;              /* borrowed */
} once_part_config_t;

/* Free with once_part_free.  */
once_part_t *once_part_new (const once_part_config_t *config);
void once_part_free (once_part_t *part);

/* For the control thread's list of parts; kind MESSAGE_ONCE.  */
part_t once_part_part (once_part_t *part);

/* The functions of once.h, under the lock.  */
void once_part_set_members (once_part_t *part, const once_member_t *members,
                            size_t count, uint64_t epoch);
void once_part_force_closed (once_part_t *part, uint64_t epoch);
vm_id_t once_part_home (once_part_t *part, const char *account,
                        const char *route, const char *key, uint64_t *epoch);
once_decision_t once_part_begin (once_part_t *part,
                                 const once_request_t *request);
once_decision_t once_part_query (once_part_t *part,
                                 const once_request_t *request);
bool once_part_may_run (once_part_t *part, once_record_t *record);
void once_part_answered (once_part_t *part, once_record_t *record,
                         once_answer_t *answer);
void once_part_unknown (once_part_t *part, once_record_t *record);
void once_part_not_run (once_part_t *part, once_record_t *record,
                        reason_t reason);
bool once_part_cancel (once_part_t *part, once_record_t *record);
bool once_part_has_left (once_part_t *part);
once_stats_t once_part_stats (once_part_t *part);

#endif
