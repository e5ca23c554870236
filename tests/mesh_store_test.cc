/* The client of the platform's store and the membership over it, against a
   stand-in of the store, all on one event loop.  */

#include "support_edge.h"

extern "C"
{
#include "edge/members.h"
#include "edge/store.h"
#include "support_store.h"
}

#include <set>

namespace
{

struct Member
{
  store_t *store;
  members_t *members;
  std::set<vm_id_t> known;

  Member (loop_t *loop, const rng_t *rng, event_log_t *log, uint16_t port,
          uint16_t number)
  {
    members_handler_t handler
        = { [] (void *ctx, vm_id_t vm) { ((Member *)ctx)->known.insert (vm); },
            [] (void *ctx, vm_id_t vm) { ((Member *)ctx)->known.erase (vm); },
            this };
    store = store_new (loop, platform_dialect (), { INADDR_LOOPBACK, port },
                       rng, log);
    members = members_new (store, platform_dialect ()->member_topic,
                           vm_id_make (INADDR_LOOPBACK, number), 1, "z", log,
                           &handler);
    members_join (members);
  }
  ~Member ()
  {
    members_free (members);
    store_free (store);
  }
};

class Store : public Loop
{
protected:
  fake_store_t *fake = nullptr;
  std::vector<std::unique_ptr<Member>> members;

  void
  SetUp () override
  {
    Loop::SetUp ();
    fake = fake_store_new (&loop);
  }
  void
  TearDown () override
  {
    members.clear ();
    fake_store_free (fake);
    Loop::TearDown ();
  }
  void
  join (int count)
  {
    for (int i = 0; i < count; i++)
      members.push_back (std::make_unique<Member> (
          &loop, &rng, &log, fake_store_port (fake), 100 + members.size ()));
  }
  bool
  all_know_all ()
  {
    for (const auto &member : members)
      if (member->known.size () + 1 < members.size ())
        return false;
    return true;
  }
};

/* A start of the whole fleet: each writes once, and nobody is woken by each
   record of the others.  */
TEST_F (Store, MembersThatStartTogetherFindEachOtherWithFewCalls)
{
  join (20);
  ASSERT_TRUE (wait ([&] { return all_know_all (); }));
  fake_store_state_t state = fake_store_state (fake);
  EXPECT_EQ (20u, state.writes);
  EXPECT_LE (state.reads, 20u * 5) << "a read each, and some now and then";
}

TEST_F (Store, ALaterMemberKnowsTheOthersAtOnce)
{
  join (3);
  ASSERT_TRUE (wait ([&] { return all_know_all (); }));
  join (1);
  EXPECT_TRUE (wait ([&] { return members[3]->known.size () == 3; }));
}

TEST_F (Store, OneThatLeavesIsForgotten)
{
  join (2);
  ASSERT_TRUE (wait ([&] { return all_know_all (); }));
  members_leave (members[0]->members);
  EXPECT_TRUE (wait ([&] { return members[1]->known.empty (); }));
  EXPECT_EQ (1u, fake_store_keys (fake, platform_dialect ()->member_topic));
}

struct FaultRow
{
  const char *name;
  fake_fault_t fault;
};

const FaultRow fault_rows[] = {
  { "Refuses", FAKE_REFUSES },
  { "Silent", FAKE_SILENT },
  { "LosesAnswers", FAKE_LOSES },
  { "Slow", FAKE_SLOW },
};

class StoreFault : public Store, public testing::WithParamInterface<FaultRow>
{
};

/* The store misbehaves while the fleet starts, then recovers.  */
TEST_P (StoreFault, MembersFindEachOtherAfterIt)
{
  fake_store_set_fault (fake, GetParam ().fault);
  join (4);
  wait ([] { return false; }, 400 * US_PER_MS);
  fake_store_set_fault (fake, FAKE_WELL);
  EXPECT_TRUE (wait ([&] { return all_know_all (); }));
  EXPECT_EQ (4u, fake_store_keys (fake, platform_dialect ()->member_topic));
}

INSTANTIATE_TEST_SUITE_P (Table, StoreFault, testing::ValuesIn (fault_rows),
                          [] (const auto &info) { return info.param.name; });

/* Follows the operators' topic.  */
struct Follower
{
  operator_feed_t *feed;
  store_t *store;

  Follower (loop_t *loop, const rng_t *rng, event_log_t *log, uint16_t port)
  {
    operator_feed_handler_t handler
        = { [] (void *, const policy_t *) {}, [] (void *) {}, this };
    feed = operator_feed_new (platform_dialect (), log, &handler);
    store = store_new (loop, platform_dialect (), { INADDR_LOOPBACK, port },
                       rng, log);
    store_handler_t records
        = { operator_feed_begin_snapshot, operator_feed_apply_record,
            operator_feed_end_snapshot, feed };
    store_subscribe (store, platform_dialect ()->operator_topic,
                     STORE_LONG_POLL, &records);
  }
  ~Follower ()
  {
    store_free (store);
    operator_feed_free (feed);
  }
};

TEST_F (Store, AZoneIsOutAtOnceAndStaysOutWhenTheHistoryIsDropped)
{
  const char *topic = platform_dialect ()->operator_topic;
  Follower follower (&loop, &rng, &log, fake_store_port (fake));
  auto is_out = [&] { return operator_feed_zone_is_out (follower.feed, "z"); };
  wait ([] { return false; }, 100 * US_PER_MS);
  fake_store_put (fake, topic, "evacuate/z", "{}");
  EXPECT_TRUE (wait (is_out));
  fake_store_forget (fake);
  fake_store_put (fake, topic, "evacuate/y", "{}");
  EXPECT_TRUE (
      wait ([&] { return operator_feed_zone_is_out (follower.feed, "y"); }));
  EXPECT_TRUE (is_out ());
  fake_store_put (fake, topic, "evacuate/z", nullptr);
  EXPECT_TRUE (wait ([&] { return !is_out (); }));
}

/* The history is dropped while the follower cannot read: what it missed
   comes with the newest records.  */
TEST_F (Store, ARecordThatWasDroppedUnreadIsNotMissed)
{
  const char *topic = platform_dialect ()->operator_topic;
  Follower follower (&loop, &rng, &log, fake_store_port (fake));
  fake_store_put (fake, topic, "evacuate/x", "{}");
  ASSERT_TRUE (
      wait ([&] { return operator_feed_zone_is_out (follower.feed, "x"); }));
  fake_store_set_fault (fake, FAKE_REFUSES);
  wait ([] { return false; }, 100 * US_PER_MS);
  fake_store_put (fake, topic, "evacuate/x", nullptr);
  fake_store_put (fake, topic, "evacuate/z", "{}");
  fake_store_forget (fake);
  fake_store_set_fault (fake, FAKE_WELL);
  EXPECT_TRUE (
      wait ([&] { return operator_feed_zone_is_out (follower.feed, "z"); }));
  EXPECT_TRUE (
      wait ([&] { return !operator_feed_zone_is_out (follower.feed, "x"); }));
}

} // namespace
