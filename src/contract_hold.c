#include "contract_impl.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "invariant.h"

enum
{
  ASKS_PER_S = 10, /* of a daemon that runs short, at least */
  SHORT_SPAN_MS = 50,
  OVERLOAD_PERCENT = 150,
  POOL_DIVISOR = 8 /* part of the holder's tokens for one ask */
};

/* Sum of the floors that are lent for longer than a grant made now lasts.  */
static int64_t
whole (contract_group_t *group, int64_t now_us)
{
  if (group->whole_us == now_us)
    return group->whole;
  group->whole = 0;
  group->whole_us = now_us;
  for (size_t i = 0; i < group->loan_count; i++)
    if (group->loans[i].until_us
        >= now_us + CONTRACT_GRANT_US + CONTRACT_MARGIN_US)
      group->whole += group->loans[i].part;
  if (group->whole > CONTRACT_WHOLE)
    group->whole = CONTRACT_WHOLE;
  return group->whole;
}

typedef struct limits_t
{
  int64_t rate; /* ut a second, lent to this holder */
  int64_t burst_ut;
} limits_t;

static limits_t
limits_of (contract_t *contract, const contract_account_t *account,
           int64_t now_us)
{
  int64_t part = whole (&contract->groups[account->group], now_us);
  int64_t rate = (int64_t)account->terms.rate_per_s * CONTRACT_TOKEN_UT;
  int64_t burst_ut = (int64_t)account->terms.burst * CONTRACT_TOKEN_UT;

  return (limits_t){ contract_scale (rate, part, CONTRACT_WHOLE),
                     contract_scale (burst_ut, part, CONTRACT_WHOLE) };
}

static int64_t
least (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
most (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Credits the holder's own bucket with what is lent but not granted on.  */
static void
refill_pool (contract_account_t *account, limits_t limits, int64_t now_us)
{
  int64_t span_us = now_us - account->pool_us;
  int64_t rate = most (limits.rate - account->granted_rate, 0);
  int64_t cap_ut = most (limits.burst_ut - account->granted_burst_ut, 0);

  if (span_us > 0)
    account->pool_ut += contract_scale (rate, span_us, US_PER_S);
  account->pool_us = now_us;
  account->pool_ut = least (account->pool_ut, cap_ut);
}

static contract_share_t *
share_of (contract_account_t *account, vm_id_t vm)
{
  for (size_t i = 0; i < account->share_count; i++)
    if (account->shares[i].vm == vm)
      return &account->shares[i];
  if (account->share_count == account->share_room)
    {
      size_t room = account->share_room ? account->share_room * 2 : 4;
      contract_share_t *shares
          = realloc (account->shares, room * sizeof *shares);
      if (shares == NULL)
        return NULL;
      account->shares = shares;
      account->share_room = room;
    }
  contract_share_t *share = &account->shares[account->share_count++];
  *share = (contract_share_t){ .vm = vm };
  return share;
}

/* Takes a share out of the sums, or puts it back with SIGN 1.  */
static void
count_share (contract_account_t *account, const contract_share_t *share,
             int sign)
{
  account->granted_rate += sign * share->rate;
  account->granted_burst_ut += sign * share->burst_ut;
  account->demand_sum_milli += sign * (int64_t)share->demand_milli;
}

/* As much of VALUE as the share's demand is of all demand.  */
static int64_t
by_demand (const contract_account_t *account, const contract_share_t *share,
           int64_t value)
{
  int64_t sum = account->demand_sum_milli + share->demand_milli;

  return contract_scale (value, share->demand_milli, sum);
}

static bool
is_overloaded (const contract_account_t *account,
               const contract_share_t *share, limits_t limits)
{
  int64_t sum = (account->demand_sum_milli + share->demand_milli)
                * (CONTRACT_TOKEN_UT / 1000);

  return sum > limits.rate / 100 * OVERLOAD_PERCENT;
}

/* How much rate a share should have, of what the others leave.  Rate is
   granted only as far as the holder's own bucket would overflow between two
   asks without it, which are rare under overload: tokens in that bucket
   follow the demand at once, while a granted rate that is not used is
   lost.  */
static int64_t
choose_rate (const contract_account_t *account, const contract_share_t *share,
             limits_t limits)
{
  int64_t asks_per_s = is_overloaded (account, share, limits) ? 1 : ASKS_PER_S;
  int64_t budget = most (limits.rate - asks_per_s * limits.burst_ut, 0);

  return most (least (by_demand (account, share, budget),
                      budget - account->granted_rate),
               0);
}

/* Tokens that a share should hold: for a while of demand, for the reserve
   that the borrower keeps, and a part of what lies idle here.  */
static int64_t
wanted_tokens (const contract_account_t *account,
               const contract_share_t *share, limits_t limits, int64_t owners)
{
  int64_t demand = (int64_t)share->demand_milli * (CONTRACT_TOKEN_UT / 1000);
  int64_t demand_ut
      = contract_scale (demand, contract_span_us (account), US_PER_S);
  int64_t idle_ut = most (account->pool_ut / POOL_DIVISOR,
                          by_demand (account, share, account->pool_ut / 2));

  if (share->demand_milli == 0)
    return 0;
  return demand_ut + CONTRACT_TOKEN_UT
         + limits.burst_ut / CONTRACT_RESERVE_DIVISOR / owners + idle_ut;
}

/* Tokens for one ask: no more than the demand's part while they are few.  */
static int64_t
choose_tokens (const contract_account_t *account,
               const contract_share_t *share, int64_t lack_ut)
{
  int64_t part_ut = most (account->pool_ut / POOL_DIVISOR,
                          by_demand (account, share, account->pool_ut));

  return most (least (lack_ut, part_ut), 0);
}

/* Is there more demand than rate, and will these tokens be used up before
   the borrower can well ask again?  */
static bool
is_limited (const contract_account_t *account, const contract_share_t *share,
            limits_t limits, int64_t rate, int64_t tokens_ut)
{
  int64_t demand = (int64_t)share->demand_milli * (CONTRACT_TOKEN_UT / 1000);

  return is_overloaded (account, share, limits)
         && tokens_ut < (demand - rate) / 1000 * SHORT_SPAN_MS;
}

/* Answers one ask, which says what the borrower holds to until it gets this
   answer.  The larger of that and the new share counts as granted until its
   next ask.  False, and no answer, when memory is short.  */
static bool
grant (contract_t *contract, contract_account_t *account, vm_id_t from,
       const contract_wire_ask *ask, contract_wire_grant *answer,
       int64_t now_us)
{
  limits_t limits = limits_of (contract, account, now_us);
  contract_share_t *share = share_of (account, from);

  if (share == NULL)
    return false;
  refill_pool (account, limits, now_us);
  account->pool_ut
      = least (account->pool_ut + (int64_t)ask->returned,
               most (limits.burst_ut - account->granted_burst_ut, 0));
  count_share (account, share, -1);
  share->rate = least (share->rate, (int64_t)ask->rate);
  share->burst_ut = least (share->burst_ut, (int64_t)ask->burst);
  share->demand_milli = ask->demand_milli;
  int64_t rate = choose_rate (account, share, limits);
  int64_t lack_ut
      = wanted_tokens (account, share, limits, (int64_t)contract->owner_count)
        - (int64_t)ask->tokens;
  int64_t tokens_ut = choose_tokens (account, share, lack_ut);
  int64_t burst_ut
      = least ((int64_t)ask->tokens + tokens_ut
                   + contract_scale (rate, CONTRACT_SPAN_US, US_PER_S),
               limits.burst_ut - account->granted_burst_ut);
  burst_ut = most (burst_ut, 0);
  bool limited = is_limited (account, share, limits, rate,
                             (int64_t)ask->tokens + tokens_ut);
  share->rate = most (share->rate, rate);
  share->burst_ut = most (share->burst_ut, burst_ut);
  share->until_us = now_us + CONTRACT_GRANT_US + CONTRACT_MARGIN_US;
  count_share (account, share, 1);
  account->pool_ut
      = least (account->pool_ut - tokens_ut,
               most (limits.burst_ut - account->granted_burst_ut, 0));
  *answer = (contract_wire_grant){
    .account = account->hash,
    .limited = limited,
    .rate = (uint64_t)rate,
    .burst = (uint64_t)burst_ut,
    .tokens = (uint64_t)tokens_ut,
  };
  return true;
}

static contract_loan_t *
loan_of (contract_group_t *group, vm_id_t vm)
{
  for (size_t i = 0; i < group->loan_count; i++)
    if (group->loans[i].vm == vm)
      return &group->loans[i];
  if (group->loan_count == group->loan_room)
    {
      size_t room = group->loan_room ? group->loan_room * 2 : 16;
      contract_loan_t *loans = realloc (group->loans, room * sizeof *loans);
      if (loans == NULL)
        return NULL;
      group->loans = loans;
      group->loan_room = room;
    }
  contract_loan_t *loan = &group->loans[group->loan_count++];
  *loan = (contract_loan_t){ .vm = vm };
  return loan;
}

static void
credit_group (contract_t *contract, uint32_t group, int64_t now_us)
{
  for (size_t i = 0; i < contract->account_count; i++)
    {
      contract_account_t *account = &contract->accounts[i];
      if (account->group == group)
        refill_pool (account, limits_of (contract, account, now_us), now_us);
    }
}

/* What a holder must not do: take a floor to come with its burst unspent.  */
static void
fill_group (contract_t *contract, uint32_t group, int64_t now_us)
{
  for (size_t i = 0; i < contract->account_count; i++)
    {
      contract_account_t *account = &contract->accounts[i];
      if (account->group == group)
        account->pool_ut = limits_of (contract, account, now_us).burst_ut;
    }
}

/* Takes a floor that is lent with an ask.  It counts from this VM's own
   clock as the owner last knew it, so that a late message lends less.  */
static void
take_loan (contract_t *contract, contract_group_t *group,
           contract_loan_t *loan, const contract_message *message,
           int64_t now_us)
{
  int64_t from_us = (int64_t)message->stamp;

  /* Up to now the sum was smaller; credit that before it grows.  */
  group->whole_us = -1;
  credit_group (contract, message->group, now_us);
  group->whole_us = -1;
  if (contract->config.options.skip_stamps)
    from_us = now_us;
  else if (message->life != contract->config.life || from_us > now_us
           || from_us <= group->returned_us)
    return;
  bool begins = loan->until_us <= now_us;
  loan->part = CONTRACT_WHOLE / message->owners;
  loan->until_us = from_us + CONTRACT_LEND_US;
  if (begins && contract->config.options.start_full)
    fill_group (contract, message->group, now_us);
}

static bool
has_loans (const contract_group_t *group, int64_t now_us)
{
  for (size_t i = 0; i < group->loan_count; i++)
    if (group->loans[i].until_us > now_us)
      return true;
  return false;
}

/* Notes the demand of a borrower that can be granted nothing, so that floors
   are asked for.  It keeps what it holds from an earlier holder.  */
static void
note_demand (contract_account_t *account, vm_id_t from,
             const contract_wire_ask *ask, int64_t now_us)
{
  contract_share_t *share = share_of (account, from);

  if (share == NULL)
    return;
  count_share (account, share, -1);
  share->rate = least (share->rate, (int64_t)ask->rate);
  share->burst_ut = least (share->burst_ut, (int64_t)ask->burst);
  share->demand_milli = ask->demand_milli;
  share->until_us = now_us + CONTRACT_GRANT_US + CONTRACT_MARGIN_US;
  count_share (account, share, 1);
}

void
contract_hold_receive (contract_t *contract, vm_id_t from,
                       const contract_message *message, int64_t now_us)
{
  contract_group_t *group = &contract->groups[message->group];
  contract_loan_t *loan = loan_of (group, from);
  contract_wire_grant grants[CONTRACT_ITEMS_MAX];
  contract_message answer = { .op = CONTRACT_OP_GRANT,
                              .group = message->group,
                              .number = message->number,
                              .stamp = (uint64_t)now_us,
                              .life = contract->config.life,
                              .owners = 0,
                              .grants = { 0, grants } };

  if (loan == NULL || message->number <= loan->number
      || group->holder != contract->config.self)
    return;
  loan->number = message->number;
  loan->wanted_us = now_us;
  if (message->owners > 0)
    take_loan (contract, group, loan, message, now_us);
  for (u_int i = 0; i < message->asks.asks_len; i++)
    {
      const contract_wire_ask *ask = &message->asks.asks_val[i];
      contract_account_t *account = contract_by_hash (contract, ask->account);
      if (account == NULL || account->group != message->group)
        continue;
      if ((ask->tokens > 0 || ask->rate > 0) && !has_loans (group, now_us))
        {
          note_demand (account, from, ask, now_us);
          continue;
        }
      contract_wire_grant *item = &grants[answer.grants.grants_len];
      if (!grant (contract, account, from, ask, item, now_us))
        continue;
      if (!has_loans (group, now_us))
        item->limited *= CONTRACT_UNLENT;
      answer.grants.grants_len++;
    }
  for (size_t i = 0; i < contract->account_count && answer.owners == 0; i++)
    answer.owners = contract->accounts[i].group == message->group
                    && contract->accounts[i].share_count > 0;
  contract_send (contract, from, &answer, now_us);
}

/* Drops the shares whose leases have run out.  */
static bool
expire_shares (contract_account_t *account, int64_t now_us)
{
  for (size_t i = 0; i < account->share_count;)
    {
      contract_share_t *share = &account->shares[i];
      if (share->until_us >= now_us)
        {
          i++;
          continue;
        }
      count_share (account, share, -1);
      *share = account->shares[--account->share_count];
    }
  INVARIANT (account->granted_rate >= 0 && account->granted_burst_ut >= 0,
             "granted sums of %s below zero", account->terms.name);
  return account->share_count > 0;
}

/* Asks owners that have not lent their floors to do so.  */
static void
want_loans (contract_t *contract, uint32_t index, int64_t now_us)
{
  contract_group_t *group = &contract->groups[index];
  contract_message message = { .op = CONTRACT_OP_WANT,
                               .group = index,
                               .stamp = (uint64_t)now_us,
                               .life = contract->config.life };

  for (size_t i = 0; i < contract->peer_count; i++)
    {
      contract_loan_t *loan = loan_of (group, contract->peers[i]);
      if (loan == NULL
          || loan->until_us > now_us + CONTRACT_GRANT_US + CONTRACT_RENEW_US
          || now_us - loan->wanted_us < CONTRACT_WANT_GAP_US)
        continue;
      loan->wanted_us = now_us;
      contract_send (contract, contract->peers[i], &message, now_us);
    }
  contract_send (contract, contract->config.self, &message, now_us);
}

static void
forget_loans (contract_group_t *group, int64_t now_us)
{
  for (size_t i = 0; i < group->loan_count;)
    if (group->loans[i].until_us < now_us
        && now_us - group->loans[i].wanted_us > CONTRACT_WANTED_US)
      group->loans[i] = group->loans[--group->loan_count];
    else
      i++;
}

bool
contract_hold_owes (const contract_t *contract, int64_t now_us)
{
  for (size_t i = 0; i < CONTRACT_GROUPS; i++)
    {
      const contract_group_t *group = &contract->groups[i];
      if (group->returns_left > 0
          || (group->holder != contract->config.self
              && has_loans (group, now_us)))
        return true;
    }
  return false;
}

/* Drops what was lent to a VM that is the holder no more.  */
static void
drop_loans (contract_t *contract, uint32_t index, int64_t now_us)
{
  contract_group_t *group = &contract->groups[index];

  for (size_t i = 0; i < group->loan_count; i++)
    group->loans[i].until_us = 0;
  group->whole_us = -1;
  credit_group (contract, index, now_us);
  group->returned_us = now_us;
  group->returns_left = CONTRACT_RETURNS;
  group->next_return_us = now_us;
}

/* A VM that is the holder no more gives the floors back once the last share
   that it granted has run out; until then its borrowers live on those.  */
static void
return_loans (contract_t *contract, uint32_t index, bool granted,
              int64_t now_us)
{
  contract_group_t *group = &contract->groups[index];
  contract_message message = { .op = CONTRACT_OP_RETURN,
                               .group = index,
                               .life = contract->config.life };

  if (group->holder != contract->config.self && !granted
      && has_loans (group, now_us))
    drop_loans (contract, index, now_us);
  if (group->returns_left == 0 || now_us < group->next_return_us)
    return;
  group->returns_left--;
  group->next_return_us = now_us + CONTRACT_RETURN_GAP_US;
  message.stamp = (uint64_t)group->returned_us;
  for (size_t i = 0; i < contract->owner_count; i++)
    contract_send (contract, contract->owners[i].vm, &message, now_us);
}

void
contract_hold_tick (contract_t *contract, int64_t now_us)
{
  bool active[CONTRACT_GROUPS] = { false };

  for (size_t i = 0; i < contract->account_count; i++)
    {
      contract_account_t *account = &contract->accounts[i];
      refill_pool (account, limits_of (contract, account, now_us), now_us);
      active[account->group] |= expire_shares (account, now_us);
    }
  for (uint32_t i = 0; i < CONTRACT_GROUPS; i++)
    {
      if (active[i] && contract->groups[i].holder == contract->config.self)
        want_loans (contract, i, now_us);
      return_loans (contract, i, active[i], now_us);
      forget_loans (&contract->groups[i], now_us);
    }
}

void
contract_hold_reset (contract_t *contract)
{
  for (size_t i = 0; i < CONTRACT_GROUPS; i++)
    {
      contract->groups[i].loan_count = 0;
      contract->groups[i].whole_us = -1;
    }
  for (size_t i = 0; i < contract->account_count; i++)
    contract->accounts[i].pool_ut = 0;
}

contract_held_t
contract_held (contract_t *contract, size_t index, int64_t now_us)
{
  contract_account_t *account = &contract->accounts[index];
  contract_group_t *group = &contract->groups[account->group];
  contract_held_t held = { 0 };

  refill_pool (account, limits_of (contract, account, now_us), now_us);
  held.tokens_ut = account->pool_ut;
  for (size_t i = 0; i < group->loan_count; i++)
    if (group->loans[i].until_us > now_us)
      held.part += group->loans[i].part;
  contract_borrow_held (contract, account, &held, now_us);
  return held;
}
