/* Whom a sidecar asks for a newer state: one at a time, the nearest first.  */

#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "clock.h"
#include "mesh/catch_up.h"
}

namespace
{

const int64_t START_US = 10 * US_PER_S;

struct heard_row
{
  vm_id_t vm;
  bool far;
  int64_t at_ms;
};

struct asked_row
{
  vm_id_t vm;
  int64_t from_ms; /* no sooner */
  int64_t to_ms;   /* no later */
};

struct catch_up_row
{
  const char *name;
  std::vector<heard_row> heard;
  int64_t done_ms; /* the state comes; 0 is never */
  std::vector<asked_row> asked;
};

const catch_up_row rows[] = {
  { "nothing heard, nothing asked", {}, 0, {} },
  { "the store is first", { { 1, false, 0 }, { 2, true, 0 } }, 100, {} },
  { "a near one is asked, then again",
    { { 1, false, 0 } },
    0,
    { { 1, 150, 200 }, { 1, 650, 750 }, { 1, 1150, 1300 } } },
  { "near ones go before far ones that were heard first",
    { { 1, true, 0 }, { 2, true, 10 }, { 3, false, 20 } },
    0,
    { { 3, 150, 200 }, { 1, 650, 750 }, { 2, 1150, 1300 } } },
  { "far ones wait longer", { { 1, true, 0 } }, 800, { { 1, 600, 650 } } },
  { "a silent one is passed over",
    { { 1, false, 0 }, { 2, false, 0 } },
    1000,
    { { 1, 150, 200 }, { 2, 650, 750 } } },
};

class CatchUp : public testing::TestWithParam<catch_up_row>
{
};

TEST_P (CatchUp, AsksOneAtATime)
{
  const catch_up_row &row = GetParam ();
  catch_up_t catch_up = {};
  std::vector<std::pair<vm_id_t, int64_t>> asked;
  for (int64_t ms = 0; ms <= 1500; ms += 10)
    {
      int64_t now_us = START_US + ms * US_PER_MS;
      vm_id_t vm;
      for (const heard_row &heard : row.heard)
        if (heard.at_ms == ms)
          catch_up_add_source (&catch_up, heard.vm, heard.far, now_us);
      if (row.done_ms != 0 && row.done_ms == ms)
        catch_up_reset (&catch_up);
      if (catch_up_next_source (&catch_up, now_us, &vm))
        asked.push_back ({ vm, ms });
    }
  ASSERT_EQ (asked.size (), row.asked.size ());
  for (size_t i = 0; i < asked.size (); i++)
    {
      EXPECT_EQ (asked[i].first, row.asked[i].vm) << i;
      EXPECT_GE (asked[i].second, row.asked[i].from_ms) << i;
      EXPECT_LE (asked[i].second, row.asked[i].to_ms) << i;
    }
}

INSTANTIATE_TEST_SUITE_P (Table, CatchUp, testing::ValuesIn (rows),
                          [] (const auto &info) {
                            return "Row" + std::to_string (info.index);
                          });

/* A configuration change on 77 sidecars: each hears of it from all others at
   the same moment, and the store answers some of them late.  */
TEST (CatchUpAtAChange, BringsAtMostOneDocumentInHalfASecond)
{
  catch_up_t catch_up = {};
  uint32_t asked = 0;
  vm_id_t vm;
  for (vm_id_t other = 1; other <= 76; other++)
    catch_up_add_source (&catch_up, other, other > 18, START_US);
  for (int64_t ms = 0; ms < 500; ms += 10)
    asked += catch_up_next_source (&catch_up, START_US + ms * US_PER_MS, &vm);
  EXPECT_EQ (asked, 1u);
  EXPECT_LE (vm, 18u);
}

/* Many far ones must not crowd out the near ones.  */
TEST (CatchUpAtAChange, ANearOneFindsAPlaceAmongManyFarOnes)
{
  catch_up_t catch_up = {};
  vm_id_t vm = 0;
  for (vm_id_t other = 1; other <= 50; other++)
    catch_up_add_source (&catch_up, other, true, START_US);
  catch_up_add_source (&catch_up, 99, false, START_US);
  EXPECT_TRUE (catch_up_next_source (&catch_up, START_US + US_PER_S, &vm));
  EXPECT_EQ (vm, 99u);
}

} // namespace
