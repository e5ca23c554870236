#include "retry.h"

#include "invariant.h"

static void
add (uint32_t *counter, uint32_t amount)
{
  __atomic_add_fetch (counter, amount, __ATOMIC_RELAXED);
}

static uint32_t
load (const uint32_t *counter)
{
  return __atomic_load_n (counter, __ATOMIC_RELAXED);
}

void
retry_allowance_init (retry_allowance_t *account, uint32_t budget)
{
  *account = (retry_allowance_t){ .budget = budget, .held = budget };
}

/* Takes SHARE of what is held, in one step.  */
static uint32_t
take (retry_allowance_t *account, uint32_t (*share) (uint32_t held))
{
  uint32_t held = load (&account->held);
  uint32_t amount;

  do
    amount = share (held);
  while (!__atomic_compare_exchange_n (&account->held, &held, held - amount,
                                       true, __ATOMIC_ACQ_REL,
                                       __ATOMIC_RELAXED));
  return amount;
}

static uint32_t
half_of (uint32_t held)
{
  return held - held / 2;
}

static uint32_t
one_of (uint32_t held)
{
  return held > 0;
}

static uint32_t
all_of (uint32_t held)
{
  return held;
}

uint32_t
retry_allowance_lend (retry_allowance_t *account)
{
  uint32_t amount = take (account, half_of);
  add (&account->lent, amount);
  return amount;
}

void
retry_allowance_return (retry_allowance_t *account, uint32_t lent,
                        uint32_t unused)
{
  if (unused > lent)
    unused = lent;
  add (&account->lent, -unused);
  add (&account->held, unused);
}

uint32_t
retry_allowance_close (retry_allowance_t *account)
{
  uint32_t unused = take (account, all_of);

  INVARIANT (unused + load (&account->lent) + load (&account->spent)
                 == account->budget,
             "a retry account of %u closes with %u unused, %u lent, %u spent",
             account->budget, unused, load (&account->lent),
             load (&account->spent));
  return unused;
}

void
retry_limiter_init (retry_limiter_t *ratio)
{
  ratio->milli_tokens = RETRY_RATIO_BURST_MILLI;
}

void
retry_limiter_add_first_attempt (retry_limiter_t *ratio)
{
  int32_t tokens = __atomic_load_n (&ratio->milli_tokens, __ATOMIC_RELAXED);
  int32_t more;

  do
    {
      more = tokens + RETRY_RATIO_MILLI;
      if (more > RETRY_RATIO_BURST_MILLI)
        more = RETRY_RATIO_BURST_MILLI;
    }
  while (!__atomic_compare_exchange_n (&ratio->milli_tokens, &tokens, more,
                                       true, __ATOMIC_RELAXED,
                                       __ATOMIC_RELAXED));
}

static bool
ratio_take (retry_limiter_t *ratio)
{
  int32_t tokens = __atomic_load_n (&ratio->milli_tokens, __ATOMIC_RELAXED);

  do
    if (tokens < 1000)
      return false;
  while (!__atomic_compare_exchange_n (&ratio->milli_tokens, &tokens,
                                       tokens - 1000, true, __ATOMIC_RELAXED,
                                       __ATOMIC_RELAXED));
  return true;
}

bool
retry_is_proved_unrun (retry_t cause)
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
retry_decide (retry_allowance_t *account, retry_limiter_t *ratio,
              const retry_failed_attempt_t *failed)
{
  if (!failed->idempotent && !retry_is_proved_unrun (failed->cause))
    return RETRY_VERDICT_UNSAFE;
  if (failed->remaining_us < failed->expected_us)
    return RETRY_VERDICT_DEADLINE;
  if (take (account, one_of) == 0)
    return RETRY_VERDICT_NO_ALLOWANCE;
  if (!ratio_take (ratio))
    {
      add (&account->held, 1);
      return RETRY_VERDICT_RATE_LIMITED;
    }
  add (&account->spent, 1);
  return RETRY_VERDICT_ALLOWED;
}
