/* The choice of the sidecar to ask for a newer operators' state: one at a
   time, those in the local availability zone first.  */

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

struct source_row
{
  vm_id_t vm;
  bool cross_zone;
  int64_t at_ms;
};

struct request_row
{
  vm_id_t vm;
  int64_t earliest_ms;
  int64_t latest_ms;
};

struct catch_up_row
{
  const char *name;
  std::vector<source_row> sources;
  int64_t reset_ms; /* when the newer state arrives; 0 is never */
  std::vector<request_row> requests;
};

const catch_up_row rows[] = {
  { "no sources, no requests", {}, 0, {} },
  { "the store delivers the state before a request is due",
    { { 1, false, 0 }, { 2, true, 0 } },
    100,
    {} },
  { "a single local source is asked repeatedly",
    { { 1, false, 0 } },
    0,
    { { 1, 150, 200 }, { 1, 650, 750 }, { 1, 1150, 1300 } } },
  { "a local source goes before cross-zone ones that came first",
    { { 1, true, 0 }, { 2, true, 10 }, { 3, false, 20 } },
    0,
    { { 3, 150, 200 }, { 1, 650, 750 }, { 2, 1150, 1300 } } },
  { "the first request to a cross-zone source is delayed longer",
    { { 1, true, 0 } },
    800,
    { { 1, 600, 650 } } },
  { "the next source is asked after one that does not answer",
    { { 1, false, 0 }, { 2, false, 0 } },
    1000,
    { { 1, 150, 200 }, { 2, 650, 750 } } },
};

class CatchUp : public testing::TestWithParam<catch_up_row>
{
};

TEST_P (CatchUp, RequestsTheStateFromOneSourceAtATime)
{
  const catch_up_row &row = GetParam ();
  catch_up_t catch_up = {};
  std::vector<std::pair<vm_id_t, int64_t>> requests;
  for (int64_t ms = 0; ms <= 1500; ms += 10)
    {
      int64_t now_us = START_US + ms * US_PER_MS;
      vm_id_t vm;
      for (const source_row &source : row.sources)
        if (source.at_ms == ms)
          catch_up_add_source (&catch_up, source.vm, source.cross_zone,
                               now_us);
      if (row.reset_ms != 0 && row.reset_ms == ms)
        catch_up_reset (&catch_up);
      if (catch_up_next_source (&catch_up, now_us, &vm))
        requests.push_back ({ vm, ms });
    }
  ASSERT_EQ (requests.size (), row.requests.size ());
  for (size_t i = 0; i < requests.size (); i++)
    {
      EXPECT_EQ (requests[i].first, row.requests[i].vm) << i;
      EXPECT_GE (requests[i].second, row.requests[i].earliest_ms) << i;
      EXPECT_LE (requests[i].second, row.requests[i].latest_ms) << i;
    }
}

INSTANTIATE_TEST_SUITE_P (Table, CatchUp, testing::ValuesIn (rows),
                          [] (const auto &info) {
                            return "Row" + std::to_string (info.index);
                          });

/* A configuration change in a fleet of 77 sidecars: each learns of it from all
   others at the same moment, and the store delivers it late to some.  The
   document is large, so each of these must ask for it only once.  */
TEST (CatchUpFleet, SendsOneRequestInHalfASecondAfterAConfigChange)
{
  catch_up_t catch_up = {};
  uint32_t request_count = 0;
  vm_id_t vm;
  for (vm_id_t other = 1; other <= 76; other++)
    catch_up_add_source (&catch_up, other, other > 18, START_US);
  for (int64_t ms = 0; ms < 500; ms += 10)
    request_count
        += catch_up_next_source (&catch_up, START_US + ms * US_PER_MS, &vm);
  EXPECT_EQ (request_count, 1u);
  EXPECT_LE (vm, 18u);
}

/* Sources in other zones must not keep a local one out of the full list.  */
TEST (CatchUpFleet, AddsALocalSourceToAListFullOfCrossZoneOnes)
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
