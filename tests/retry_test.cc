#include <gtest/gtest.h>

extern "C"
{
#include "invariant.h"
#include "retry.h"
#include "rng.h"
}

#include <thread>
#include <vector>

namespace
{
struct DecideCase
{
  const char *name;
  uint32_t budget;
  retry_failed_attempt_t failed;
  retry_verdict_t verdict;
};

TEST (Retry, Decides)
{
  const DecideCase cases[] = {
    { "shed before running",
      1,
      { RETRY_BACKEND_SHED, false, 9, 1 },
      RETRY_VERDICT_ALLOWED },
    { "no byte sent",
      1,
      { RETRY_CONNECT_FAILED, false, 9, 1 },
      RETRY_VERDICT_ALLOWED },
    { "given up by its home",
      1,
      { RETRY_TOMBSTONED, false, 9, 1 },
      RETRY_VERDICT_ALLOWED },
    { "cut while it may run",
      1,
      { RETRY_STALE_SESSION, false, 9, 1 },
      RETRY_VERDICT_UNSAFE },
    { "failed, not idempotent",
      1,
      { RETRY_IDEMPOTENT_FAILED, false, 9, 1 },
      RETRY_VERDICT_UNSAFE },
    { "failed, idempotent",
      1,
      { RETRY_IDEMPOTENT_FAILED, true, 9, 1 },
      RETRY_VERDICT_ALLOWED },
    { "no time",
      1,
      { RETRY_BACKEND_SHED, true, 1, 2 },
      RETRY_VERDICT_DEADLINE },
    { "no budget",
      0,
      { RETRY_BACKEND_SHED, true, 9, 1 },
      RETRY_VERDICT_NO_ALLOWANCE },
  };
  for (const DecideCase &c : cases)
    {
      retry_allowance_t account;
      retry_limiter_t ratio;
      retry_allowance_init (&account, c.budget);
      retry_limiter_init (&ratio);
      EXPECT_EQ (c.verdict, retry_decide (&account, &ratio, &c.failed))
          << c.name;
      EXPECT_EQ (c.verdict == RETRY_VERDICT_ALLOWED ? c.budget - 1 : c.budget,
                 retry_allowance_close (&account))
          << c.name;
    }
}

TEST (Retry, RatioBoundsALinkWhereEverythingFails)
{
  retry_limiter_t ratio;
  retry_limiter_init (&ratio);
  int retries = 0;
  for (int i = 0; i < 1000; i++)
    {
      retry_allowance_t account;
      retry_failed_attempt_t failed = { RETRY_BACKEND_SHED, true, 9, 1 };
      retry_allowance_init (&account, 3);
      retry_limiter_add_first_attempt (&ratio);
      while (retry_decide (&account, &ratio, &failed) == RETRY_VERDICT_ALLOWED)
        retries++;
    }
  EXPECT_LE (retries, 110);
  EXPECT_GE (retries, 100);
}

/* A random tree of calls in which each try may fail and each answer may be
   lost on its way back, with what it would have returned.  */
struct Tree
{
  rng_t rng;
  bool escrow;
  uint32_t budget;
  uint32_t retries = 0;
  uint32_t violations = 0;

  bool
  call (uint32_t lent, int depth, uint32_t *unused)
  {
    retry_allowance_t account;
    bool ok = !rng_chance (&rng, 0.2);
    retry_allowance_init (&account, lent);
    for (uint64_t child = rng_below (&rng, 4); ok && depth > 0 && child > 0;
         child--)
      ok = call_child (&account, depth - 1);
    *unused = retry_allowance_close (&account);
    return ok;
  }

  bool
  call_child (retry_allowance_t *account, int depth)
  {
    retry_limiter_t ratio;
    retry_failed_attempt_t failed = { RETRY_IDEMPOTENT_FAILED, true, 9, 1 };
    retry_limiter_init (&ratio);
    for (;;)
      {
        uint32_t unused;
        uint32_t lent = escrow ? retry_allowance_lend (account) : budget;
        bool ok = call (lent, depth, &unused);
        bool back = !rng_chance (&rng, 0.05);
        if (back && escrow)
          retry_allowance_return (account, lent, unused);
        if (ok && back)
          return true;
        if (retry_decide (account, &ratio, &failed) != RETRY_VERDICT_ALLOWED)
          return false;
        retries++;
      }
  }

  void
  run (uint64_t seed)
  {
    uint32_t unused;
    rng = rng_seeded (seed);
    budget = (uint32_t)rng_below (&rng, 6);
    call (budget, 6, &unused);
    violations += retries > budget;
    rng_seeded_free (&rng);
  }
};

TEST (RetryRandomRun, NoTreeRetriesPastItsBudget)
{
  uint64_t retries = 0;
  for (uint64_t seed = 1; seed <= 5000; seed++)
    {
      Tree tree = {};
      tree.escrow = true;
      invariant_set_seed (seed);
      tree.run (seed);
      ASSERT_EQ (0u, tree.violations) << seed;
      retries += tree.retries;
    }
  EXPECT_LT (1000u, retries);
}

TEST (RetryRandomRun, FindsAViolationWithoutEscrow)
{
  for (bool escrow : { true, false })
    {
      Tree tree = {};
      tree.escrow = escrow;
      tree.run (2);
      EXPECT_EQ (escrow ? 0u : 1u, tree.violations);
    }
}

TEST (Retry, ParallelChildrenShareOneAccount)
{
  for (int round = 0; round < 200; round++)
    {
      retry_allowance_t account;
      std::vector<std::thread> children;
      uint32_t spent[4] = {};
      retry_allowance_init (&account, 9);
      for (int t = 0; t < 4; t++)
        children.emplace_back ([&account, &spent, t] {
          retry_limiter_t ratio;
          retry_failed_attempt_t failed = { RETRY_BACKEND_SHED, true, 9, 1 };
          retry_limiter_init (&ratio);
          uint32_t lent = retry_allowance_lend (&account);
          retry_allowance_return (&account, lent, lent / 2);
          spent[t] = lent - lent / 2;
          while (retry_decide (&account, &ratio, &failed)
                 == RETRY_VERDICT_ALLOWED)
            spent[t]++;
        });
      for (std::thread &child : children)
        child.join ();
      uint32_t unused = retry_allowance_close (&account);
      EXPECT_EQ (9u, unused + spent[0] + spent[1] + spent[2] + spent[3]);
    }
}
}
