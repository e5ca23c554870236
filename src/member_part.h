#ifndef REDWINGFORD_MEMBER_PART_H
#define REDWINGFORD_MEMBER_PART_H

/* Membership as a part of the daemon.  The control thread calls the functions
   of member_part_part; everything else may be called from any thread.  One
   mutex guards the tables, taken last: nothing is called while it is held
   but the link.  */

#include "member.h"
#include "part.h"

typedef struct member_part_t member_part_t;

typedef struct member_part_config_t
{
  /* vm, incarnation (wall clock in milliseconds), zone, region, ports; the
     service is empty until the backend server has announced itself.  */
  member_record_t self;
  const vm_id_t *seeds; /* copied */
  size_t seed_count;
  link_t link;      /* its send must not call back into this part */
  const rng_t *rng; /* borrowed */
  /* Called on the thread that learnt of the change, after the lock is let
     go; may call this part's functions.  NULL is none.  */
  member_change_t change;
  void *change_ctx; /* borrowed */
} member_part_config_t;

/* Free with member_part_free.  NULL when memory is short.  */
member_part_t *member_part_new (const member_part_config_t *config,
                                int64_t now_us);
void member_part_free (member_part_t *part);

/* For the control thread's list of parts; kind MESSAGE_MEMBER.  */
part_t member_part_part (member_part_t *part);

/* Takes service, ports, slots and leaving from RECORD.  */
void member_part_update_self (member_part_t *part,
                              const member_record_t *record, int64_t now_us);

/* Cheap; travels with the next messages.  */
void member_part_update_load (member_part_t *part, uint16_t load_permille,
                              uint16_t level, doc_version_t config_version);

/* See member.h.  */
void member_part_self (member_part_t *part, member_record_t *record);
size_t member_part_list (member_part_t *part, const char *service,
                         member_record_t *records, size_t max, int64_t now_us);
bool member_part_find (member_part_t *part, vm_id_t vm,
                       member_record_t *record);
size_t member_part_contacts (member_part_t *part, member_contact_t *contacts,
                             size_t max);
size_t member_part_services (member_part_t *part, char (*names)[NAME_BYTES],
                             size_t max);
size_t member_part_peers (member_part_t *part, vm_id_t *vms, size_t max);
void member_part_add_seed (member_part_t *part, vm_id_t seed);

/* Tells the service that this VM is gone for good; the control thread goes
   on ticking for half a second more.  */
void member_part_leave (member_part_t *part, int64_t now_us);

uint64_t member_part_epoch (member_part_t *part);

#endif
