/* Random histories of the servers at one address, as their sidecar learns of
   them: announcements arrive late and out of order, replies to health checks
   after up to 0.3 s, and the sidecar restarts between any two of them.  */

#include <gtest/gtest.h>

extern "C"
{
#include "clock.h"
#include "mesh/server_view.h"
}

#include <functional>
#include <map>
#include <random>
#include <set>

namespace
{
const int64_t STEP_US = 20 * US_PER_MS;
const int64_t RUN_US = 120 * US_PER_S;
const int64_t ANNOUNCE_INTERVAL_US = 1500 * US_PER_MS;
const int64_t ANNOUNCEMENT_LATE_MAX_US = 5 * US_PER_S;
const int64_t REPLY_LATE_MAX_US = 300 * US_PER_MS;
const int64_t CHECK_INTERVAL_US = 100 * US_PER_MS;
const int64_t COLD_US = 3 * US_PER_S;
/* A sound server is in use again after this time without disturbance.  */
const int64_t QUIET_US = ANNOUNCE_INTERVAL_US + ANNOUNCEMENT_LATE_MAX_US
                         + CHECK_INTERVAL_US + REPLY_LATE_MAX_US + STEP_US;

struct Incarnation
{
  std::string id;
  std::string service;
  uint64_t started_unix_ms;
  uint64_t sequence = 0;
  int64_t cold_from_us = 0;
  int64_t cold_until_us = 0;
  int64_t announced_us = 0; /* when it sent its last announcement */
  bool leaving = false;
  bool acknowledged = false; /* that it leaves */
};

class History
{
  std::mt19937_64 random;
  std::multimap<int64_t, std::function<void ()>> in_flight;
  std::shared_ptr<Incarnation> server; /* null: nobody listens */
  server_view_t view = {};
  int64_t now_us = US_PER_S;
  int64_t checked_us = 0;
  int64_t disturbed_us = 0;
  int process = 0; /* of the sidecar */
  /* Of the server, when the newest reply that this process has read was
     made.  */
  int64_t reply_made_us = 0;
  std::set<std::string> own_ids;
  int started = 0;

public:
  int uses = 0;

  explicit History (uint64_t seed) : random (seed)
  {
    server_view_init (&view, "s");
  }
  void
  play ()
  {
    for (; now_us < RUN_US && !testing::Test::HasFailure (); now_us += STEP_US)
      {
        disturb ();
        announce ();
        check ();
        while (!in_flight.empty () && in_flight.begin ()->first <= now_us)
          {
            auto arrival = in_flight.begin ()->second;
            in_flight.erase (in_flight.begin ());
            arrival ();
          }
        assert_invariants ();
      }
  }

private:
  bool
  chance (double per_s)
  {
    return std::uniform_real_distribution<> (0, 1) (random)
           < per_s * STEP_US / US_PER_S;
  }
  int64_t
  delay (int64_t max_us)
  {
    return std::uniform_int_distribution<int64_t> (0, max_us) (random);
  }
  void
  disturb ()
  {
    bool quiet = now_us / (20 * US_PER_S) % 2 == 1;
    if (server == nullptr ? chance (0.5) : !quiet && chance (0.1))
      start_server ();
    if (quiet || server == nullptr)
      return;
    if (chance (0.1))
      restart_sidecar ();
    if (chance (0.1))
      server_view_require_check (&view, disturbed_us = now_us);
    if (chance (0.1))
      {
        server->cold_from_us = disturbed_us = now_us;
        server->cold_until_us = now_us + COLD_US;
      }
    if (!server->leaving && chance (0.1))
      leave ();
    if (chance (server->leaving ? 0.3 : 0.05))
      {
        server = nullptr;
        disturbed_us = now_us;
      }
  }
  void
  restart_sidecar ()
  {
    process++;
    reply_made_us = 0;
    disturbed_us = now_us;
    server_view_init (&view, "s");
  }
  void
  start_server ()
  {
    auto next = std::make_shared<Incarnation> ();
    bool same_id = server != nullptr && delay (3) == 0;
    next->id = same_id ? server->id : "i" + std::to_string (++started);
    next->service = same_id ? server->service : delay (3) == 0 ? "t" : "s";
    next->started_unix_ms = (uint64_t)(now_us / US_PER_MS);
    next->cold_from_us = disturbed_us = now_us;
    next->cold_until_us = now_us + COLD_US;
    if (next->service == "s")
      own_ids.insert (next->id);
    server = next;
  }
  /* The sidecar acknowledges at once.  */
  void
  leave ()
  {
    server->leaving = server->acknowledged = true;
    disturbed_us = now_us;
    server_announcement_t word
        = make_announcement (delay (1) == 0 ? SERVER_GONE : SERVER_LEAVING);
    if (word.state == SERVER_LEAVING)
      server->announced_us = now_us;
    server_view_apply_announcement (&view, &word, now_us);
  }
  server_announcement_t
  make_announcement (server_state_t state)
  {
    server_announcement_t made = {};
    snprintf (made.id, sizeof made.id, "%s", server->id.c_str ());
    made.state = state;
    if (state == SERVER_GONE)
      return made;
    snprintf (made.service, sizeof made.service, "%s",
              server->service.c_str ());
    made.started_unix_ms = server->started_unix_ms;
    made.sequence = ++server->sequence;
    made.slots = 8;
    made.cold_start_left_us
        = std::max<int64_t> (0, server->cold_until_us - now_us);
    return made;
  }
  void
  announce ()
  {
    if (server == nullptr || server->leaving
        || now_us - server->announced_us < ANNOUNCE_INTERVAL_US)
      return;
    server->announced_us = now_us;
    server_announcement_t made = make_announcement (SERVER_READY);
    in_flight.emplace (now_us + delay (ANNOUNCEMENT_LATE_MAX_US),
                       [this, made] {
                         server_view_apply_announcement (&view, &made, now_us);
                       });
  }
  void
  check ()
  {
    if (now_us - checked_us < CHECK_INTERVAL_US)
      return;
    checked_us = now_us;
    if (server == nullptr)
      {
        server_view_require_check (&view, now_us);
        return;
      }
    int64_t sent_us = now_us;
    int sender = process;
    int64_t made_us = now_us + delay (REPLY_LATE_MAX_US / 2);
    in_flight.emplace (made_us, [this, sent_us, sender] {
      if (server == nullptr)
        return;
      server_health_reply_t reply
          = { !server->leaving, "",
              std::max<int64_t> (0, server->cold_until_us - now_us), sent_us };
      snprintf (reply.id, sizeof reply.id, "%s", server->id.c_str ());
      int64_t made_us = now_us;
      auto maker = server;
      in_flight.emplace (now_us + delay (REPLY_LATE_MAX_US / 2),
                         [this, reply, sender, made_us, maker] {
                           if (sender != process)
                             return;
                           server_view_apply_probe (&view, &reply, now_us);
                           if (maker == server && made_us > reply_made_us)
                             reply_made_us = made_us;
                         });
    });
  }
  void
  assert_invariants ()
  {
    bool in_use = server_view_is_available (&view) && !view.leaving;
    uses += in_use;
    if (in_use)
      {
        ASSERT_TRUE (own_ids.count (view.id) > 0)
            << view.id << " is of another service";
      }
    /* Another instance rejects the requests for this one.  */
    bool reaches = in_use && server != nullptr && server->id == view.id;
    if (reaches)
      {
        ASSERT_FALSE (server->acknowledged)
            << view.id << " is in use after it has left";
      }
    if (reaches && view.started_unix_ms == server->started_unix_ms
        && reply_made_us >= server->cold_from_us
        && server->cold_until_us > now_us)
      {
        ASSERT_GE (server_view_cold_start_until_us (&view) + STEP_US,
                   server->cold_until_us)
            << "the cold start of " << view.id << " ends too early";
      }
    if (server != nullptr && !server->leaving && server->service == "s"
        && now_us - disturbed_us > QUIET_US)
      {
        ASSERT_TRUE (reaches) << server->id << " is sound and not in use";
      }
  }
};

/* Facts about a server replaced newer ones, or came from a source that does
   not know them.  */
TEST (ServerView, HoldsWhateverTheOrderOfArrival)
{
  int uses = 0;
  for (uint64_t seed = 1; seed <= 1000; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      History history (seed);
      history.play ();
      uses += history.uses;
      if (HasFailure ())
        return;
    }
  EXPECT_GT (uses, 0);
}
}
