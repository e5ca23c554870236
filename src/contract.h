#ifndef REDWINGFORD_CONTRACT_H
#define REDWINGFORD_CONTRACT_H

/* Rates and bursts of client accounts over all VMs together.

   Every daemon owns an equal floor of each account's rate and burst, one
   part in the number of owners.  While an account is in use the owners lend
   their floors, under leases, to one holder, chosen by rendezvous hash; the
   holder grants shares of the sum, again under leases, to the daemons that
   have demand.  Whatever is lost, a daemon spends only from a floor that it
   has not lent or from a share whose lease stands, so that no more than
   rate x time + burst is ever admitted (docs/design/contracts.md).

   Decisions only: no socket, thread or clock.  Not thread-safe; see
   contract_part.h for the daemon's use.  */

#include "link.h"
#include "reason.h"
#include "rng.h"

enum
{
  CONTRACT_ACCOUNTS_MAX = 4096,
  CONTRACT_OWNERS_MAX = 4096,
  CONTRACT_SEEDS_MAX = 32,
  CONTRACT_GROUPS = 4 /* accounts of one group have one holder */
};

typedef struct contract_terms_t
{
  char name[NAME_BYTES];
  uint32_t rate_per_s;
  uint32_t burst;
  uint32_t weight;
} contract_terms_t;

/* All off by default; tests switch them to show what each is for.  */
typedef struct contract_options_t
{
  bool skip_lease_check; /* spend without looking at the lease */
  bool start_full;       /* a new holder starts with a full bucket */
  bool skip_stamps;      /* count a late message as if just sent */
} contract_options_t;

typedef struct contract_config_t
{
  vm_id_t self;
  incarnation_t life;
  /* The VMs by which a fleet begins, the same list on every VM.  The first
     owners need more than half of them; later ones, an owner that is counted
     already.  Without seeds this VM may begin alone.  */
  vm_id_t seeds[CONTRACT_SEEDS_MAX];
  size_t seed_count;
  link_t link;
  const rng_t *rng; /* borrowed */
  contract_options_t options;
} contract_config_t;

typedef struct contract_t contract_t;

/* Free with contract_free.  NULL when memory is short.  */
contract_t *contract_new (const contract_config_t *config, int64_t now_us);
void contract_free (contract_t *contract);

/* Replaces the accounts; what stays the same by name keeps its shares.
   COUNT is at most CONTRACT_ACCOUNTS_MAX; the rest is ignored.  */
void contract_set_accounts (contract_t *contract,
                            const contract_terms_t *terms, size_t count,
                            int64_t now_us);

/* The VMs that membership holds alive, this one included if others can see
   it; only then does it own a floor.  To be called about once a second.  */
void contract_set_peers (contract_t *contract, const vm_id_t *vms,
                         size_t count, int64_t now_us);

/* Index of an account, or -1.  Good until the next contract_set_accounts. */
int contract_find (const contract_t *contract, const char *name);

/* Takes one request off account INDEX: REASON_NONE, REASON_RATE_EXCEEDED, or
   REASON_SHARE_PENDING while this VM's share is on its way.  O(1).  */
reason_t contract_spend (contract_t *contract, size_t index, int64_t now_us);

/* The same for a request that was answered REASON_SHARE_PENDING before and
   has waited; it does not count as further demand.  */
reason_t contract_spend_again (contract_t *contract, size_t index,
                               int64_t now_us);

/* True when contract_tick should be called soon for an account's sake.  */
bool contract_urgent (const contract_t *contract);

/* Whole of a rate, as a sum of floors.  */
static const int64_t CONTRACT_WHOLE = 1LL << 40;

typedef struct contract_held_t
{
  int64_t tokens_ut; /* may be spent or granted now, in millionths */
  int64_t part;      /* of CONTRACT_WHOLE: floors in force here */
} contract_held_t;

/* What this VM could spend or grant of account INDEX.  Over all VMs the
   tokens never exceed the burst, nor the parts the whole.  */
contract_held_t contract_held (contract_t *contract, size_t index,
                               int64_t now_us);

/* A message of kind MESSAGE_CONTRACT; false when it is malformed.  */
bool contract_receive (contract_t *contract, vm_id_t from, const void *data,
                       size_t size, int64_t now_us);

/* Does what is due; returns when it wants to be called next.  */
int64_t contract_tick (contract_t *contract, int64_t now_us);

/* Gives this VM's floors up for good, for the others to share, and starts to
   give back what was lent to it as holder.  It may still borrow.  */
void contract_leave (contract_t *contract, int64_t now_us);

/* Whether all is given up and given back.  */
bool contract_has_left (const contract_t *contract, int64_t now_us);

/* Owners counted here, and whether this VM's own floor is in force.  */
size_t contract_owners (const contract_t *contract);
bool contract_is_counted (const contract_t *contract);

/* Bytes of memory that the tables take.  */
size_t contract_memory_bytes (const contract_t *contract);

#endif
