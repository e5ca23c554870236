#ifndef REDWINGFORD_QUARANTINE_PART_H
#define REDWINGFORD_QUARANTINE_PART_H

/* The quarantine as a part of the daemon: a lock of its own, taken last, and
   news to the other members of the service.  News is told at once, repeated a
   few times, and refreshed seldom, so that a member that missed it or joined
   later hears it too.  */

#include "clock.h"
#include "part.h"
#include "quarantine.h"

typedef struct quarantine_part_t quarantine_part_t;

/* CLOCK is borrowed; LINK must not call back.  Free with
   quarantine_part_free.  */
quarantine_part_t *
quarantine_part_new (link_t link, const clock_source_t *clock, vm_id_t self);
void quarantine_part_free (quarantine_part_t *part);

/* For the control thread's list of parts; kind MESSAGE_QUARANTINE.  Its
   status is the list for operators.  */
part_t quarantine_part_part (quarantine_part_t *part);

/* The VMs of the service; at most 64 are told.  */
void quarantine_part_set_members (quarantine_part_t *part,
                                  const vm_id_t *members, size_t count);

/* The functions of quarantine.h, under the lock; any thread.  */
quarantine_verdict_t
quarantine_part_start (quarantine_part_t *part,
                       const quarantine_request_t *request,
                       uint32_t in_flight);
void quarantine_part_ended (quarantine_part_t *part,
                            fingerprint_t fingerprint);
void quarantine_part_crashed (quarantine_part_t *part,
                              const quarantine_request_t *requests,
                              size_t count);
bool quarantine_part_lift (quarantine_part_t *part, fingerprint_t fingerprint);

/* Reads a fingerprint as it is listed: 16 hexadecimal digits.  */
bool quarantine_parse_fingerprint (const char *text,
                                   fingerprint_t *fingerprint);

#endif
