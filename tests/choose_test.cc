#include <gtest/gtest.h>

extern "C"
{
#include "choose.h"
#include "clock.h"
}

#include <map>

namespace
{
const int64_t LATER_US = 60 * US_PER_S;

class Choose : public testing::Test
{
protected:
  rng_t rng = rng_seeded (5);
  choose_options_t options = {};
  choose_t *choose = choose_new (&options, 0);

  void
  set (vm_id_t vm, uint32_t zone, bool out = false, int64_t now_us = 0)
  {
    choose_server_t server = { vm, zone, 100, out, 1 };
    choose_set_server (choose, &server, now_us);
  }
  vm_id_t
  pick (uint32_t zone, int64_t now_us = LATER_US)
  {
    vm_id_t vm = 0;
    return choose_pick_server (choose, zone, NULL, 0, &rng, now_us, &vm) ? vm
                                                                         : 0;
  }
  std::map<vm_id_t, int>
  picks (uint32_t zone, int count, int64_t now_us = LATER_US)
  {
    std::map<vm_id_t, int> counts;
    for (int i = 0; i < count; i++)
      counts[pick (zone, now_us)]++;
    return counts;
  }
  void
  load (vm_id_t vm, uint32_t in_flight)
  {
    for (uint32_t i = 0; i < in_flight; i++)
      choose_record_send (choose, vm);
  }
  void
  fail (vm_id_t vm, int times)
  {
    for (int i = 0; i < times; i++)
      choose_record_result (choose, vm, RUN_FAILED, 1000, NULL, LATER_US);
  }
  void
  TearDown () override
  {
    choose_free (choose);
    rng_seeded_free (&rng);
  }
};

TEST_F (Choose, OwnZoneFirstAndOnlyTheExcessSpills)
{
  set (1, 0);
  set (2, 1);
  set (3, 2);
  EXPECT_EQ (100, picks (0, 100)[1]);
  load (1, 90);
  EXPECT_EQ (0, picks (0, 100)[1]);
  load (2, 90);
  load (3, 90);
  EXPECT_EQ (100, picks (0, 100)[1]);
}

TEST_F (Choose, LessLoadedOfTwo)
{
  set (1, 0);
  set (2, 0);
  load (1, 10);
  EXPECT_EQ (100, picks (0, 100)[2]);
  choose_report_t report = { 60, 100 };
  choose_record_result (choose, 2, RUN_OK, 1000, &report, LATER_US);
  EXPECT_EQ (100, picks (0, 100)[1]);
}

TEST_F (Choose, NothingGoesToWhatIsOutAndItsReturnIsRamped)
{
  for (vm_id_t vm = 1; vm <= 4; vm++)
    set (vm, 0);
  set (1, 0, true, LATER_US);
  EXPECT_EQ (0, picks (0, 100)[1]);
  set (1, 0, false, LATER_US);
  load (2, 50);
  load (3, 50);
  load (4, 50);
  int early = picks (0, 1000)[1];
  EXPECT_GT (early, 0);
  EXPECT_LT (early, 200);
  EXPECT_GT (picks (0, 1000, LATER_US + 10 * US_PER_S)[1], 400);
}

TEST_F (Choose, EjectsABoundedShareAndNoneInPanic)
{
  for (vm_id_t vm = 1; vm <= 6; vm++)
    set (vm, 0);
  fail (1, 5);
  fail (2, 5);
  fail (3, 5);
  auto counts = picks (0, 600);
  EXPECT_EQ (0, counts[1] + counts[2]);
  EXPECT_GT (counts[3], 0);
  fail (4, 5);
  fail (5, 5);
  EXPECT_TRUE (choose_in_panic (choose));
  fail (5, 5);
  counts = picks (0, 600);
  EXPECT_GT (counts[5], 0);
}

TEST_F (Choose, ExcludedAndRemovedServersAreNotPicked)
{
  vm_id_t vm = 0;
  EXPECT_EQ (0u, pick (0));
  set (1, 0);
  set (2, 1);
  vm_id_t exclude[] = { 1 };
  for (int i = 0; i < 20; i++)
    {
      ASSERT_TRUE (
          choose_pick_server (choose, 0, exclude, 1, &rng, LATER_US, &vm));
      EXPECT_EQ (2u, vm);
    }
  choose_remove_server (choose, 2);
  EXPECT_FALSE (
      choose_pick_server (choose, 0, exclude, 1, &rng, LATER_US, &vm));
}
}
