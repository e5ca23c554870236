#ifndef REDWINGFORD_MEMBER_H
#define REDWINGFORD_MEMBER_H

/* Membership: which VMs there are, found by gossip from a few seeds.

   A daemon knows every member of its own service (its group), probes them
   and spreads news of them, after SWIM (Das, Gupta and Motivala, DSN 2002).
   Of each other service it knows a summary with a few contacts; members of
   the services that it routes to are fetched from such a contact and kept
   up to date by polling (a watch).

   Decisions only: no socket, thread or clock.  Not thread-safe; see
   member_part.h for the daemon's use.  */

#include "link.h"
#include "rng.h"

enum
{
  MEMBER_GROUP_MAX = 4096,
  MEMBER_SUMMARY_COUNT_MAX = 4096,
  MEMBER_WATCHES_MAX = 64,
  MEMBER_SEEDS_MAX = 64,
  MEMBER_CONTACTS = 3
};

typedef enum member_state_t
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT, /* did not answer; still counts as a member */
  MEMBER_DEAD,
  MEMBER_LEFT, /* said so itself */
  MEMBER_STATE_COUNT
} member_state_t;

typedef struct member_record_t
{
  vm_id_t vm;
  incarnation_t incarnation; /* grows with each denial of a suspicion */
  incarnation_t life;        /* the incarnation that its process began with */
  doc_version_t config_version;
  uint32_t sequence; /* of the contents within an incarnation */
  member_state_t state;
  bool leaving;
  uint16_t peer_port;   /* HTTP from other daemons */
  uint16_t listen_port; /* HTTP from callers */
  uint32_t slots;       /* of its backend server; 0 while none is announced */
  uint16_t load_permille;
  uint16_t level; /* admission level */
  char service[NAME_BYTES];
  char zone[NAME_BYTES];
  char region[NAME_BYTES];
} member_record_t;

typedef enum member_event_t
{
  MEMBER_EVENT_UP,
  MEMBER_EVENT_CHANGED,
  MEMBER_EVENT_DOWN /* dead, left, or out of reach */
} member_event_t;

/* RECORD is borrowed for the call.  */
typedef void (*member_change_t) (void *ctx, const member_record_t *record,
                                 member_event_t event);

/* A daemon that speaks for its service.  */
typedef struct member_contact_t
{
  vm_id_t vm;
  incarnation_t life;
  char zone[NAME_BYTES];
  char region[NAME_BYTES];
} member_contact_t;

typedef struct member_options_t
{
  /* Off by default; tests switch it to show what incarnations are for.  */
  bool ignore_incarnations;
} member_options_t;

typedef struct member_config_t
{
  member_record_t self; /* incarnation 0 is not allowed */
  const vm_id_t *seeds; /* copied */
  size_t seed_count;    /* at most MEMBER_SEEDS_MAX */
  link_t link;
  const rng_t *rng; /* borrowed */
  member_change_t change;
  void *change_ctx; /* borrowed */
  member_options_t options;
} member_config_t;

typedef struct member_t member_t;

/* Free with member_free.  NULL when memory is short.  */
member_t *member_new (const member_config_t *config, int64_t now_us);
void member_free (member_t *member);

/* A message of kind MESSAGE_MEMBER; false when it is malformed.  */
bool member_receive (member_t *member, vm_id_t from, const void *data,
                     size_t size, int64_t now_us);

/* Does what is due; returns when it wants to be called next.  */
int64_t member_tick (member_t *member, int64_t now_us);

/* Replaces what this VM says of itself: ports, slots, service, leaving.  A
   change of service leaves the old group and joins the new one.  */
void member_update_self (member_t *member, const member_record_t *self,
                         int64_t now_us);

/* Replaces load, admission level and configuration version, which travel on
   every message and are not news of their own.  */
void member_update_load (member_t *member, uint16_t load_permille,
                         uint16_t level, doc_version_t config_version);

const member_record_t *member_self (const member_t *member);

/* Tells the group that this VM leaves for good; member_update_self then does
   nothing.  Call member_tick for half a
   second more, so that the news is repeated.  */
void member_leave (member_t *member, int64_t now_us);

void member_add_seed (member_t *member, vm_id_t seed);

/* Copies up to MAX members of SERVICE that are alive or suspect, this VM
   included; returns how many.  Asking for a service that is not this VM's
   starts a watch, whose members come a round trip later.  */
size_t member_list (member_t *member, const char *service,
                    member_record_t *records, size_t max, int64_t now_us);

/* Copies what is known of VM; false when nothing is.  */
bool member_find (const member_t *member, vm_id_t vm, member_record_t *record);

/* Copies the contacts of all services; returns how many.  */
size_t member_contacts (const member_t *member, member_contact_t *contacts,
                        size_t max);

/* Copies all VMs that are held alive, of the group and the watches, this one
   included while it has a service; returns how many.  */
size_t member_peers (const member_t *member, vm_id_t *vms, size_t max);

/* Names of all known services, up to MAX; returns how many.  */
size_t member_services (const member_t *member, char (*names)[NAME_BYTES],
                        size_t max);

/* Changes whenever a member of the group or of a watch comes, goes or
   changes.  */
uint64_t member_epoch (const member_t *member);

/* Time of the last call that had one.  */
int64_t member_last_us (const member_t *member);

/* Bytes of memory that the tables take.  */
size_t member_memory_bytes (const member_t *member);

const char *member_state_name (member_state_t state);

#endif
