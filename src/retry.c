#include "retry.h"

#include "invariant.h"

static void
add_to_counter (uint32_t *counter, uint32_t amount)
{
  __atomic_add_fetch (counter, amount, __ATOMIC_RELAXED);
}

static uint32_t
load_counter (const uint32_t *counter)
{
  return __atomic_load_n (counter, __ATOMIC_RELAXED);
}

void
retry_allowance_init (retry_allowance_t *allowance, uint32_t granted)
{
  *allowance = (retry_allowance_t){ .granted = granted, .available = granted };
}

/* Atomically withdraws the amount that CHOOSE_AMOUNT returns for what is
   available, and returns that amount.  */
static uint32_t
withdraw (retry_allowance_t *allowance,
          uint32_t (*choose_amount) (uint32_t available))
{
  uint32_t available = load_counter (&allowance->available);
  uint32_t amount;

  do
    amount = choose_amount (available);
  while (!__atomic_compare_exchange_n (&allowance->available, &available,
                                       available - amount, true,
                                       __ATOMIC_ACQ_REL, __ATOMIC_RELAXED));
  return amount;
}

static uint32_t
choose_half (uint32_t available)
{
  return available - available / 2;
}

static uint32_t
choose_one (uint32_t available)
{
  return available > 0;
}

static uint32_t
choose_all (uint32_t available)
{
  return available;
}

uint32_t
retry_allowance_lend (retry_allowance_t *allowance)
{
  uint32_t amount = withdraw (allowance, choose_half);
  add_to_counter (&allowance->lent, amount);
  return amount;
}

void
retry_allowance_return (retry_allowance_t *allowance, uint32_t lent,
                        uint32_t unused)
{
  if (unused > lent)
    unused = lent;
  add_to_counter (&allowance->lent, -unused);
  add_to_counter (&allowance->available, unused);
}

uint32_t
retry_allowance_close (retry_allowance_t *allowance)
{
  uint32_t unused = withdraw (allowance, choose_all);

  INVARIANT (unused + load_counter (&allowance->lent)
                     + load_counter (&allowance->used)
                 == allowance->granted,
             "retry allowance of %u closed with %u unused, %u lent, %u used",
             allowance->granted, unused, load_counter (&allowance->lent),
             load_counter (&allowance->used));
  return unused;
}

void
retry_limiter_init (retry_limiter_t *limiter)
{
  limiter->milli_tokens = RETRY_LIMITER_BURST_MILLITOKENS;
}

void
retry_limiter_add_first_attempt (retry_limiter_t *limiter)
{
  int32_t millitokens
      = __atomic_load_n (&limiter->milli_tokens, __ATOMIC_RELAXED);
  int32_t increased;

  do
    {
      increased = millitokens + RETRY_LIMITER_EARN_MILLITOKENS;
      if (increased > RETRY_LIMITER_BURST_MILLITOKENS)
        increased = RETRY_LIMITER_BURST_MILLITOKENS;
    }
  while (!__atomic_compare_exchange_n (&limiter->milli_tokens, &millitokens,
                                       increased, true, __ATOMIC_RELAXED,
                                       __ATOMIC_RELAXED));
}

static bool
limiter_take_token (retry_limiter_t *limiter)
{
  int32_t millitokens
      = __atomic_load_n (&limiter->milli_tokens, __ATOMIC_RELAXED);

  do
    if (millitokens < 1000)
      return false;
  while (!__atomic_compare_exchange_n (&limiter->milli_tokens, &millitokens,
                                       millitokens - 1000, true,
                                       __ATOMIC_RELAXED, __ATOMIC_RELAXED));
  return true;
}

bool
retry_cause_proves_not_run (retry_t cause)
{
  switch (cause)
    {
    case RETRY_CONNECT_FAILED:
    case RETRY_BACKEND_SHED:
    case RETRY_PEER_REFUSED:
    case RETRY_TOMBSTONED:
      return true;
    case RETRY_IDEMPOTENT_FAILED:
    case RETRY_STALE_SESSION:
    case RETRY_CALLER_RESENT:
    case RETRY_COUNT:
      break;
    }
  return false;
}

retry_verdict_t
retry_decide (retry_allowance_t *allowance, retry_limiter_t *limiter,
              const retry_failed_attempt_t *failed_attempt)
{
  if (!failed_attempt->idempotent
      && !retry_cause_proves_not_run (failed_attempt->cause))
    return RETRY_VERDICT_UNSAFE;
  if (failed_attempt->remaining_us < failed_attempt->expected_us)
    return RETRY_VERDICT_DEADLINE;
  if (withdraw (allowance, choose_one) == 0)
    return RETRY_VERDICT_NO_ALLOWANCE;
  if (!limiter_take_token (limiter))
    {
      add_to_counter (&allowance->available, 1);
      return RETRY_VERDICT_RATE_LIMITED;
    }
  add_to_counter (&allowance->used, 1);
  return RETRY_VERDICT_ALLOWED;
}
