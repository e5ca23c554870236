#ifndef REDWINGFORD_CONTRACT_PART_H
#define REDWINGFORD_CONTRACT_PART_H

/* Shared rates as a part of the daemon.  The control thread calls the
   functions of contract_part_part; everything else may be called from any
   thread.  One mutex guards the tables, taken last: nothing is called while
   it is held but the link.  */

#include "contract.h"
#include "doc.h"
#include "part.h"

typedef struct contract_part_t contract_part_t;

typedef struct contract_part_config_t
{
  vm_id_t self;
  incarnation_t life;   /* as in membership's own record */
  const vm_id_t *seeds; /* the settings' list, the same on every VM; copied */
  size_t seed_count;    /* see contract.h */
  link_t link;          /* its send must not call back into this part */
  const rng_t *rng;     /* borrowed */
  /* Fills VMS with the VMs that are held alive, such as member_part_peers;
     called on the control thread without the lock.  */
  size_t (*peers) (void *ctx, vm_id_t *vms, size_t max);
  void *peers_ctx;
  /* Called without the lock on a thread that spends, when the part should be
     ticked at once; NULL is none.  */
  void (*wake) (void *ctx);
  void *wake_ctx;
} contract_part_config_t;

/* Free with contract_part_free.  NULL when memory is short.  */
contract_part_t *contract_part_new (const contract_part_config_t *config,
                                    int64_t now_us);
void contract_part_free (contract_part_t *part);

/* For the control thread's list of parts; kind MESSAGE_CONTRACT.  */
part_t contract_part_part (contract_part_t *part);

/* Takes the accounts of a document; shares of accounts that stay are kept. */
void contract_part_set_accounts (contract_part_t *part,
                                 const doc_account_t *accounts, size_t count,
                                 int64_t now_us);

/* Takes one request off the account: REASON_NONE, REASON_RATE_EXCEEDED, or
   REASON_SHARE_PENDING while this VM's share is on its way or the account is
   unknown.  NOW_US is read from the clock just before.  O(1).  */
reason_t contract_part_spend (contract_part_t *part, const char *account,
                              int64_t now_us);

/* The same for a request that has waited since an earlier answer of
   REASON_SHARE_PENDING; it does not count as further demand.  */
reason_t contract_part_spend_again (contract_part_t *part, const char *account,
                                    int64_t now_us);

/* The functions of contract.h, for a graceful stop.  */
void contract_part_leave (contract_part_t *part, int64_t now_us);
bool contract_part_has_left (contract_part_t *part, int64_t now_us);

#endif
