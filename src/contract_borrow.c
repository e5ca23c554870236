#include "clock.h"
#include "contract_impl.h"

enum
{
  RETURN_GAP_US = 150 * 1000,
  MILLI = 1000
};

static bool
is_active (const contract_account_t *account, int64_t now_us)
{
  return now_us - account->wanted_us < CONTRACT_ACTIVE_US;
}

/* May this VM spend its own floor of GROUP?  */
static bool
has_floor (const contract_t *contract, const contract_group_t *group,
           int64_t now_us)
{
  return contract->counted && !contract->left
         && now_us >= group->lent_until_us;
}

static void
refill_floor (const contract_t *contract, contract_account_t *account,
              int64_t now_us)
{
  int64_t owners = (int64_t)contract->owner_count;

  account->floor.rate_per_s
      = (int64_t)account->terms.rate_per_s * CONTRACT_TOKEN_UT / owners;
  account->floor.cap_ut
      = (int64_t)account->terms.burst * CONTRACT_TOKEN_UT / owners;
  contract_refill (&account->floor, now_us);
}

static bool
take_token (contract_bucket_t *bucket)
{
  if (bucket->tokens_ut < CONTRACT_TOKEN_UT)
    return false;
  bucket->tokens_ut -= CONTRACT_TOKEN_UT;
  return true;
}

/* Tokens that the demand of SPAN_US takes.  */
static int64_t
demand_ut (const contract_account_t *account, int64_t span_us)
{
  return contract_scale (account->demand_milli * (CONTRACT_TOKEN_UT / MILLI),
                         span_us, US_PER_S);
}

/* Tokens worth holding: for a while of demand, and a reserve for when it
   rises, a quarter of the burst over all owners together.  */
static int64_t
keep_ut (const contract_t *contract, const contract_account_t *account)
{
  int64_t reserve_ut = (int64_t)account->terms.burst * CONTRACT_TOKEN_UT
                       / CONTRACT_RESERVE_DIVISOR
                       / (int64_t)contract->owner_count;

  return demand_ut (account, contract_span_us (account)) + reserve_ut
         + CONTRACT_TOKEN_UT;
}

static bool
spend_lease (contract_t *contract, contract_account_t *account, int64_t now_us)
{
  contract_refill (&account->lease, now_us);
  bool taken = take_token (&account->lease);
  if (account->lease.tokens_ut < account->low_ut
      || account->lease.tokens_ut < CONTRACT_TOKEN_UT)
    {
      account->starved = true;
      contract->urgent = true;
    }
  return taken;
}

reason_t
contract_spend_again (contract_t *contract, size_t index, int64_t now_us)
{
  contract_account_t *account = &contract->accounts[index];
  contract_group_t *group = &contract->groups[account->group];
  bool unchecked = contract->config.options.skip_lease_check;
  bool leased = now_us < account->lease_until_us
                || (unchecked && account->lease_until_us > 0);

  account->wanted_us = now_us;
  if (leased && spend_lease (contract, account, now_us))
    return REASON_NONE;
  account->starved = true;
  contract->urgent = true;
  bool paused = now_us - contract->last_us > CONTRACT_PAUSE_US;
  if (!paused && has_floor (contract, group, now_us))
    {
      refill_floor (contract, account, now_us);
      if (take_token (&account->floor))
        return REASON_NONE;
    }
  return leased && account->limited && !account->unlent ? REASON_RATE_EXCEEDED
                                                        : REASON_SHARE_PENDING;
}

reason_t
contract_spend (contract_t *contract, size_t index, int64_t now_us)
{
  contract->accounts[index].spent++;
  return contract_spend_again (contract, index, now_us);
}

void
contract_borrow_held (const contract_t *contract, contract_account_t *account,
                      contract_held_t *held, int64_t now_us)
{
  bool leased = now_us < account->lease_until_us
                || contract->config.options.skip_lease_check;

  if (leased)
    {
      contract_refill (&account->lease, now_us);
      held->tokens_ut += account->lease.tokens_ut;
    }
  if (now_us - contract->last_us > CONTRACT_PAUSE_US
      || !has_floor (contract, &contract->groups[account->group], now_us))
    return;
  refill_floor (contract, account, now_us);
  held->tokens_ut += account->floor.tokens_ut;
  held->part += CONTRACT_WHOLE / (int64_t)contract->owner_count;
}

/* Rises fast and falls slowly, so that a burst is followed at once.  */
static void
estimate_demand (contract_account_t *account, int64_t now_us)
{
  int64_t span_us = now_us - account->estimated_us;
  if (span_us < CONTRACT_DEMAND_US / 2)
    return;
  account->estimated_us = now_us;
  int64_t seen = (int64_t)account->spent * MILLI * US_PER_S / span_us;

  if (seen > account->demand_milli)
    account->demand_milli = (account->demand_milli + seen) / 2;
  else
    account->demand_milli = (4 * account->demand_milli + seen) / 5;
  account->spent = 0;
}

static bool
may_lend (const contract_t *contract, const contract_group_t *group,
          int64_t now_us)
{
  return contract->counted && !contract->left
         && group->stamp_from == group->holder
         && ((group->lent_to == group->holder
              && group->lent_life == group->stamp_life)
             || now_us >= group->lent_until_us);
}

/* Lends this VM's floor with a message to the holder.  The floor starts from
   empty when the loan has run out.  */
static void
lend (contract_t *contract, contract_group_t *group, contract_message *message,
      int64_t now_us)
{
  message->owners = (u_int)contract->owner_count;
  message->stamp = group->stamp;
  message->life = group->stamp_life;
  bool same = group->lent_to == group->holder
              && group->lent_life == group->stamp_life;
  if (!same || group->lent_stamp < group->stamp)
    group->lent_stamp = group->stamp;
  group->lent_to = group->holder;
  group->lent_life = group->stamp_life;
  group->lent_until_us = now_us + CONTRACT_LEND_US;
}

static void
empty_floor (contract_account_t *account, const contract_group_t *group)
{
  account->floor.tokens_ut = 0;
  account->floor.refilled_us = group->lent_until_us;
}

/* The holder has dropped every loan with this stamp or an earlier one.  A
   loan that it may have taken later stands.  */
static void
take_back (contract_t *contract, uint32_t index, vm_id_t from,
           const contract_message *message, int64_t now_us)
{
  contract_group_t *group = &contract->groups[index];

  if (group->lent_until_us <= now_us || group->lent_to != from
      || group->lent_life != message->life
      || group->lent_stamp > message->stamp)
    return;
  group->lent_until_us = now_us;
  if (group->stamp_from == from)
    group->stamp_from = 0;
  group->next_ask_us = now_us;
  for (size_t i = 0; i < contract->account_count; i++)
    if (contract->accounts[i].group == index)
      empty_floor (&contract->accounts[i], group);
}

/* Tokens to give back: the floor's when it is lent, and what the share holds
   beyond its demand.  */
static int64_t
take_returned (const contract_t *contract, contract_account_t *account,
               bool floor_free, bool lends, int64_t now_us)
{
  int64_t returned_ut = 0;

  if (lends && floor_free)
    {
      refill_floor (contract, account, now_us);
      returned_ut = account->floor.tokens_ut;
    }
  int64_t kept_ut = keep_ut (contract, account);
  if (account->lease.tokens_ut > kept_ut)
    {
      returned_ut += account->lease.tokens_ut - kept_ut;
      account->lease.tokens_ut = kept_ut;
    }
  return returned_ut;
}

/* Holds to what the demand takes from here on, so that the holder can grant
   the rest to others at once.  */
static void
lower_lease (contract_account_t *account)
{
  contract_bucket_t *lease = &account->lease;
  int64_t rate = demand_ut (account, US_PER_S) + CONTRACT_TOKEN_UT;

  if (lease->rate_per_s > rate)
    lease->rate_per_s = rate;
  int64_t cap_ut
      = lease->tokens_ut
        + contract_scale (lease->rate_per_s, CONTRACT_SPAN_US, US_PER_S);
  if (lease->cap_ut > cap_ut)
    lease->cap_ut = cap_ut;
}

static void
fill_ask (const contract_t *contract, contract_account_t *account,
          bool floor_free, bool lends, contract_wire_ask *ask, int64_t now_us)
{
  estimate_demand (account, now_us);
  if (now_us < account->lease_until_us)
    contract_refill (&account->lease, now_us);
  else
    account->lease = (contract_bucket_t){ .refilled_us = now_us };
  int64_t returned_ut
      = take_returned (contract, account, floor_free, lends, now_us);
  lower_lease (account);
  *ask = (contract_wire_ask){
    .account = account->hash,
    .demand_milli = (u_int)account->demand_milli,
    .rate = (uint64_t)account->lease.rate_per_s,
    .burst = (uint64_t)account->lease.cap_ut,
    .tokens = (uint64_t)account->lease.tokens_ut,
    .returned = (uint64_t)returned_ut,
  };
  account->starved = false;
  account->reported_milli = account->demand_milli;
}

static void
send_ask (contract_t *contract, uint32_t index, int64_t now_us)
{
  contract_group_t *group = &contract->groups[index];
  contract_wire_ask asks[CONTRACT_ITEMS_MAX];
  contract_message message = { .op = CONTRACT_OP_ASK,
                               .group = index,
                               .number = ++group->number,
                               .asks = { 0, asks } };
  bool floor_free = has_floor (contract, group, now_us);
  bool lends = may_lend (contract, group, now_us);

  for (size_t i = 0; i < contract->account_count; i++)
    {
      contract_account_t *account = &contract->accounts[i];
      if (account->group != index)
        continue;
      bool gives_floor = floor_free && lends && account->terms.burst > 0;
      if ((is_active (account, now_us) || gives_floor)
          && message.asks.asks_len < CONTRACT_ITEMS_MAX)
        fill_ask (contract, account, floor_free, lends,
                  &asks[message.asks.asks_len++], now_us);
    }
  if (lends)
    {
      lend (contract, group, &message, now_us);
      for (size_t i = 0; i < contract->account_count; i++)
        if (contract->accounts[i].group == index)
          empty_floor (&contract->accounts[i], group);
    }
  group->awaiting = true;
  group->asked_us = now_us;
  contract_send (contract, group->holder, &message, now_us);
}

/* When the group should ask next, by what one of its accounts needs.  */
static int64_t
ask_due_us (const contract_account_t *account, const contract_group_t *group)
{
  int64_t gap_us = CONTRACT_RENEW_US;

  if (account->starved)
    gap_us = account->gap_us;
  else if (account->reported_milli > 2 * account->demand_milli + MILLI)
    gap_us = RETURN_GAP_US;
  return group->asked_us + gap_us;
}

static void
tick_group (contract_t *contract, uint32_t index, int64_t now_us)
{
  contract_group_t *group = &contract->groups[index];
  int64_t due_us = INT64_MAX;

  if (group->holder == 0)
    return;
  for (size_t i = 0; i < contract->account_count; i++)
    {
      const contract_account_t *account = &contract->accounts[i];
      if (account->group != index || !is_active (account, now_us))
        continue;
      int64_t at_us = ask_due_us (account, group);
      due_us = at_us < due_us ? at_us : due_us;
    }
  if (now_us < group->wanted_until_us
      && group->asked_us + CONTRACT_RENEW_US < due_us)
    due_us = group->asked_us + CONTRACT_RENEW_US;
  if (group->next_ask_us != 0 && group->next_ask_us < due_us)
    due_us = group->next_ask_us;
  if (group->awaiting && due_us != INT64_MAX)
    due_us = group->asked_us + CONTRACT_ASK_TIMEOUT_US;
  if (now_us < due_us)
    return;
  group->next_ask_us = 0;
  send_ask (contract, index, now_us);
}

void
contract_borrow_tick (contract_t *contract, int64_t now_us)
{
  if (now_us >= contract->next_demand_us)
    {
      contract->next_demand_us = now_us + CONTRACT_DEMAND_US;
      for (size_t i = 0; i < contract->account_count; i++)
        if (is_active (&contract->accounts[i], now_us))
          estimate_demand (&contract->accounts[i], now_us);
    }
  for (uint32_t i = 0; i < CONTRACT_GROUPS; i++)
    tick_group (contract, i, now_us);
}

/* Returns true when the share was lowered, which the holder should hear of. */
static bool
take_grant (const contract_t *contract, contract_account_t *account,
            const contract_wire_grant *grant, int64_t until_us, int64_t now_us)
{
  contract_bucket_t *lease = &account->lease;

  if (now_us < account->lease_until_us)
    contract_refill (lease, now_us);
  else
    lease->tokens_ut = 0;
  bool lowered = lease->rate_per_s > 0
                 && (int64_t)grant->rate < lease->rate_per_s * 9 / 10;
  lease->refilled_us = now_us;
  lease->rate_per_s = (int64_t)grant->rate;
  lease->cap_ut = (int64_t)grant->burst;
  lease->tokens_ut += (int64_t)grant->tokens;
  if (lease->tokens_ut > lease->cap_ut)
    lease->tokens_ut = lease->cap_ut;
  int64_t kept_ut = keep_ut (contract, account);
  account->low_ut
      = (kept_ut < lease->tokens_ut ? kept_ut : lease->tokens_ut) / 2;
  account->lease_until_us = until_us;
  account->limited = grant->limited != 0;
  account->unlent = grant->limited == CONTRACT_UNLENT;
  account->gap_us
      = account->limited ? 2 * account->gap_us : (int64_t)CONTRACT_ASK_GAP_US;
  if (account->gap_us > CONTRACT_LIMITED_GAP_US)
    account->gap_us = CONTRACT_LIMITED_GAP_US;
  return lowered;
}

static void
take_stamp (contract_group_t *group, vm_id_t from,
            const contract_message *message)
{
  group->stamp_from = from;
  group->stamp = message->stamp;
  group->stamp_life = message->life;
}

void
contract_borrow_receive (contract_t *contract, vm_id_t from,
                         const contract_message *message, int64_t now_us)
{
  contract_group_t *group = &contract->groups[message->group];
  bool met = group->stamp_from == from;

  if (message->op == CONTRACT_OP_RETURN)
    {
      take_back (contract, message->group, from, message, now_us);
      return;
    }
  if (from != group->holder)
    return;
  if (message->op == CONTRACT_OP_WANT)
    {
      group->wanted_until_us = now_us + CONTRACT_WANTED_US;
      if (!group->awaiting)
        take_stamp (group, from, message);
      return;
    }
  if (!group->awaiting || message->number != group->number)
    return;
  group->awaiting = false;
  take_stamp (group, from, message);
  if (message->owners > 0)
    group->wanted_until_us = now_us + CONTRACT_WANTED_US;
  if (!met)
    group->next_ask_us = now_us;
  for (u_int i = 0; i < message->grants.grants_len; i++)
    {
      const contract_wire_grant *grant = &message->grants.grants_val[i];
      contract_account_t *account
          = contract_by_hash (contract, grant->account);
      if (account != NULL && account->group == message->group
          && take_grant (contract, account, grant,
                         group->asked_us + CONTRACT_GRANT_US, now_us))
        group->next_ask_us = now_us;
    }
}
