#ifndef REDWINGFORD_CONTRACT_IMPL_H
#define REDWINGFORD_CONTRACT_IMPL_H

/* What the contract_*.c files share; not for other modules.  Tokens are
   counted in millionths (ut), so that a rate in requests a second is also
   its refill in ut a microsecond.  */

#include "contract.h"
#include "contract_proto.h"

enum
{
  CONTRACT_UNLENT = 2, /* limited as no floor is lent to the holder yet */
  CONTRACT_TICK_US = 20 * 1000,
  CONTRACT_IDLE_TICK_US = 100 * 1000,
  CONTRACT_GRANT_US = 1500 * 1000, /* lease of a share */
  CONTRACT_LEND_US = 4000 * 1000,  /* lease of a floor */
  CONTRACT_STAMP_MAX = 60 * 1000 * 1000,
  CONTRACT_MARGIN_US = 200 * 1000, /* clocks may differ in speed */
  CONTRACT_SPAN_US = 250 * 1000,   /* of demand that a share covers */
  CONTRACT_RESERVE_DIVISOR = 4,    /* part of the burst kept in reserve */
  CONTRACT_RENEW_US = 1000 * 1000,
  CONTRACT_ASK_GAP_US = 50 * 1000, /* between two asks of a group */
  CONTRACT_ASK_TIMEOUT_US = 50 * 1000,
  CONTRACT_LIMITED_GAP_US = 750 * 1000,
  CONTRACT_ACTIVE_US = 10 * 1000 * 1000,
  CONTRACT_DEMAND_US = 100 * 1000,
  CONTRACT_COUNT_US = 500 * 1000,
  CONTRACT_LOSS_RULES = 2,
  CONTRACT_ACK_US = 10 * 1000 * 1000, /* being counted is good for so long */
  CONTRACT_PAUSE_US = 2000 * 1000,    /* a longer gap is a pause of this VM */
  CONTRACT_WANT_GAP_US = 1000 * 1000,
  CONTRACT_WANTED_US = 10 * 1000 * 1000,
  CONTRACT_RETURNS = 4, /* times that the end of loans is told */
  CONTRACT_RETURN_GAP_US = 150 * 1000
};

static const int64_t CONTRACT_TOKEN_UT = 1000000;
typedef struct contract_bucket_t
{
  int64_t tokens_ut;
  int64_t rate_per_s; /* in ut */
  int64_t cap_ut;
  int64_t refilled_us;
} contract_bucket_t;

/* What a borrower holds, as its holder sees it.  */
typedef struct contract_share_t
{
  vm_id_t vm;
  int64_t until_us;
  int64_t rate; /* the largest that may be in force, ut a second */
  int64_t burst_ut;
  uint32_t demand_milli;
} contract_share_t;

typedef struct contract_account_t
{
  contract_terms_t terms;
  uint64_t hash;
  uint32_t group;

  contract_bucket_t lease; /* share from a holder */
  int64_t lease_until_us;
  contract_bucket_t floor; /* own floor, while it is not lent */
  bool limited;            /* the holder could not give what was asked */
  bool unlent;             /* because nothing was lent to it yet */
  int64_t low_ut;          /* ask when fewer tokens are left */
  bool starved;            /* ask as soon as may be */
  int64_t gap_us;          /* between asks while it is starved */
  uint32_t spent;          /* requests since demand was last estimated */
  int64_t estimated_us;    /* when that was */
  int64_t demand_milli;    /* requests in 1000 s */
  int64_t reported_milli;  /* as the holder was last told */
  int64_t wanted_us;       /* time of the last request */

  int64_t pool_ut; /* the holder's own bucket */
  int64_t pool_us;
  contract_share_t *shares;
  size_t share_count;
  size_t share_room;
  int64_t granted_rate; /* sums over the shares */
  int64_t granted_burst_ut;
  int64_t demand_sum_milli;
} contract_account_t;

/* A floor lent to this VM as holder.  */
typedef struct contract_loan_t
{
  vm_id_t vm;
  int64_t until_us;
  int64_t part;      /* of CONTRACT_WHOLE */
  uint64_t number;   /* of the owner's last ask */
  int64_t wanted_us; /* when the owner was last told that it is wanted */
} contract_loan_t;

typedef struct contract_group_t
{
  vm_id_t holder; /* as chosen here; 0 is none yet */
  vm_id_t lent_to;
  uint64_t lent_life;  /* of the holder that it is lent to */
  uint64_t lent_stamp; /* the holder's clock with the last loan */
  int64_t lent_until_us;
  int64_t wanted_until_us; /* a holder wants this VM's floor */
  uint64_t stamp;          /* the holder's clock, from its last message */
  uint64_t stamp_life;     /* and its life */
  vm_id_t stamp_from;
  uint64_t number; /* of the last ask */
  int64_t asked_us;
  bool awaiting;
  int64_t next_ask_us;

  contract_loan_t *loans;
  size_t loan_count;
  size_t loan_room;
  int64_t whole; /* sum of loans that last for another grant */
  int64_t whole_us;
  int64_t returned_us; /* loans with an earlier stamp were given back */
  size_t returns_left; /* times to tell of it */
  int64_t next_return_us;
} contract_group_t;

typedef struct contract_owner_t
{
  vm_id_t vm;
  uint64_t life;     /* of its last request to be counted */
  int64_t heard_us;  /* when membership last held it alive */
  int64_t asked_us;  /* when it last asked to be counted */
  int64_t reborn_us; /* when a life after an earlier one was counted, or 0 */
  int64_t gone_us;   /* when a leaver's floor is free; 0: not leaving */
  int64_t acked_us;  /* when it has last counted this VM, or 0 */
} contract_owner_t;

struct contract_t
{
  contract_config_t config;
  contract_account_t *accounts;
  size_t account_count;
  uint32_t *index; /* hash table of account positions + 1 */
  size_t index_room;
  contract_group_t groups[CONTRACT_GROUPS];

  contract_owner_t *owners; /* sorted by vm; includes this VM */
  size_t owner_count;
  size_t owner_room;
  vm_id_t *peers;
  size_t peer_count;
  int64_t vouched_us; /* when an owner that is counted last counted it, or 0 */
  bool counted;
  bool left;
  bool listed;           /* membership shows this VM to others */
  int64_t wait_until_us; /* when older loans of the others have run out */
  /* When more owners were last missing than may be given up.  */
  int64_t many_us[CONTRACT_LOSS_RULES];
  int64_t next_count_us;
  int64_t last_us;
  int64_t next_demand_us;
  bool urgent;
};

/* contract_bucket.c */
void contract_refill (contract_bucket_t *bucket, int64_t now_us);
/* value * part / whole without overflow.  */
int64_t contract_scale (int64_t value, int64_t part, int64_t whole);

/* The time of demand that a share should cover: a quarter of the time that
   the whole burst would last, so that it goes round.  */
int64_t contract_span_us (const contract_account_t *account);
/* Time between two asks of a daemon that runs short.  */
int64_t contract_gap_us (const contract_account_t *account);

/* contract_owner.c */
void contract_owner_tick (contract_t *contract, int64_t now_us);
void contract_owner_receive (contract_t *contract, vm_id_t from,
                             const contract_message *message, int64_t now_us);
contract_owner_t *contract_owner_add (contract_t *contract, vm_id_t vm,
                                      int64_t now_us);
/* Membership holds VM alive.  Messages are no evidence of it: they may come
   late.  */
void contract_owner_heard (contract_t *contract, vm_id_t vm, int64_t now_us);
/* Starts to be counted anew, as after a pause.  */
void contract_owner_reset (contract_t *contract, int64_t now_us);

/* contract_borrow.c */
void contract_borrow_tick (contract_t *contract, int64_t now_us);
void contract_borrow_receive (contract_t *contract, vm_id_t from,
                              const contract_message *message, int64_t now_us);

void contract_borrow_held (const contract_t *contract,
                           contract_account_t *account, contract_held_t *held,
                           int64_t now_us);

/* contract_hold.c */
/* Whether loans are still to be given back by a VM that is the holder no
   more, or their end to be told.  */
bool contract_hold_owes (const contract_t *contract, int64_t now_us);
void contract_hold_receive (contract_t *contract, vm_id_t from,
                            const contract_message *message, int64_t now_us);
void contract_hold_tick (contract_t *contract, int64_t now_us);
/* Forgets what was lent to this VM, as after a pause.  */
void contract_hold_reset (contract_t *contract);

/* contract.c */
contract_account_t *contract_by_hash (const contract_t *contract,
                                      uint64_t hash);
void contract_send (contract_t *contract, vm_id_t to,
                    contract_message *message, int64_t now_us);
uint64_t contract_mix (uint64_t value);

#endif
