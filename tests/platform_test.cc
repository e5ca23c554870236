#include <gtest/gtest.h>

extern "C"
{
#include "clock.h"
#include "platform.h"
}

#include <cstring>
#include <string>
#include <vector>

namespace
{
/* --- announcements ----------------------------------------------------- */

struct HeartbeatRow
{
  const char *name;
  const char *method;
  const char *target;
  const char *body;
  bool read;
};

const char GOOD[]
    = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("slots":8,"state":"ready","coldRemainingS":1.5,"sequence":4,)"
      R"("born":1774643248000,"new field":[1]})";

const HeartbeatRow heartbeat_rows[] = {
  { "Whole", "PUT", "/-/instances/i-1", GOOD, true },
  { "Farewell", "DELETE", "/-/instances/i-1", "", true },
  { "NoId", "PUT", "/-/instances/", GOOD, false },
  { "DeeperPath", "PUT", "/-/instances/i-1/x", GOOD, false },
  { "NoBody", "PUT", "/-/instances/i-1", "", false },
  { "NoJson", "PUT", "/-/instances/i-1", "\x01\x02", false },
  { "NotAnObject", "PUT", "/-/instances/i-1", "[]", false },
  { "NoService", "PUT", "/-/instances/i-1",
    R"({"slots":8,"state":"ready","sequence":4})", false },
  { "UnknownState", "PUT", "/-/instances/i-1",
    R"({"service":"s","slots":8,"state":"odd","sequence":4})", false },
  { "SlotsAsText", "PUT", "/-/instances/i-1",
    R"({"service":"s","slots":"8","state":"ready","sequence":4})", false },
  { "NoSlots", "PUT", "/-/instances/i-1",
    R"({"service":"s","slots":0,"state":"ready","sequence":4})", false },
  { "BornAsFraction", "PUT", "/-/instances/i-1",
    R"({"service":"s","slots":8,"state":"ready","sequence":4,"born":1.5})",
    false },
  { "NegativeSequence", "PUT", "/-/instances/i-1",
    R"({"service":"s","slots":8,"state":"ready","sequence":-4})", false },
};

class Heartbeat : public testing::TestWithParam<HeartbeatRow>
{
};

TEST_P (Heartbeat, IsReadOrRejectedWhole)
{
  const HeartbeatRow &row = GetParam ();
  server_announcement_t news;
  error_info_t error = {};
  bool read = platform_parse_announcement (row.method, row.target, row.body,
                                           strlen (row.body), &news, &error);
  EXPECT_EQ (row.read, read);
  EXPECT_EQ (row.read, error.kind == ERROR_NONE);
  EXPECT_STREQ (strcmp (row.name, "DeeperPath") != 0
                        && strcmp (row.name, "NoId") != 0
                    ? "i-1"
                    : "",
                news.id);
}

INSTANTIATE_TEST_SUITE_P (Table, Heartbeat, testing::ValuesIn (heartbeat_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST (HeartbeatFields, AreInTheProjectsUnits)
{
  server_announcement_t news;
  error_info_t error = {};
  ASSERT_TRUE (platform_parse_announcement ("PUT", "/-/instances/i-1", GOOD,
                                            strlen (GOOD), &news, &error));
  EXPECT_STREQ ("s", news.service);
  EXPECT_EQ (8u, news.slots);
  EXPECT_EQ (4u, news.sequence);
  EXPECT_EQ (1774643248000u, news.started_unix_ms);
  EXPECT_EQ (1500 * US_PER_MS, news.cold_start_left_us);
  EXPECT_EQ (SERVER_READY, news.state);
}

/* --- configuration ----------------------------------------------------- */

const char CONFIG[] = R"({"version":7,"routes":{
 "r1":{"host":"A.example","pathPrefix":"/x/","kind":"safe","timeoutS":5,
  "targetLatencyS":1.2,"priority":2,"attempts":2,"public":false,
  "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
 "r2":{"host":"a.example","pathPrefix":"/x/y/","kind":"unsafe","timeoutS":5,
  "targetLatencyS":1,"priority":9,"service":"s2","attempts":2},
 "r3":{"host":"b.example","pathPrefix":"/","kind":"download","timeoutS":1,
  "targetLatencyS":1,"priority":0,"service":"s1","attempts":0,"public":true}},
 "services":{"s1":{"healthCheckPath":"/h","maxConnections":9,"coldStartS":3.0,
  "coldPerS":50.0},"s2":{"healthCheckPath":"/h"}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1024,"headerTimeoutS":3,
  "idleTimeoutS":15},
 "tenants":{"t1":{"apiKeys":["k1","k2"],"priority":1,"ratePerS":310,
  "burst":20},"t2":{"apiKeys":["k3"]}}})";

TEST (Policy, IsTranslated)
{
  error_info_t error = {};
  policy_t *policy = platform_parse_policy (CONFIG, strlen (CONFIG), &error);
  ASSERT_NE (nullptr, policy) << error.message;
  EXPECT_EQ (7u, policy->version);
  EXPECT_EQ (1024u, policy->limits.body_bytes_max);
  EXPECT_EQ (15 * US_PER_S, policy->limits.idle_timeout_us);
  int service = policy_find_service (policy, "s1");
  ASSERT_GE (service, 0);
  EXPECT_EQ (3 * US_PER_S, policy->services[service].cold_start_us);
  EXPECT_EQ (-1, policy_find_service (policy, "s3"));
  int key = policy_find_account_by_key (policy, "k2", 2);
  ASSERT_GE (key, 0);
  EXPECT_STREQ ("t1", policy->accounts[key].name);
  EXPECT_EQ (310, policy->accounts[key].rate_per_s);
  EXPECT_EQ (-1, policy_find_account_by_key (policy, "k4", 2));
  EXPECT_EQ (
      -1,
      policy->accounts[policy_find_account_by_key (policy, "k3", 2)].priority);
  policy_free (policy);
}

struct RouteRow
{
  const char *name;
  const char *host;
  const char *path;
  const char *route; /* NULL is none */
};

const RouteRow route_rows[] = {
  { "Prefix", "a.example", "/x/1", "r1" },
  { "LongestPrefix", "a.example", "/x/y/1", "r2" },
  { "PrefixItself", "a.example", "/x/", "r1" },
  { "NotAWholeSegment", "a.example", "/x", nullptr },
  { "HostInCapitals", "A.EXAMPLE", "/x/1", "r1" },
  { "HostWithPort", "a.example:80", "/x/1", "r1" },
  { "UnknownHost", "c.example", "/x/1", nullptr },
  { "PrefixInTheQuery", "a.example", "/q?/x/", nullptr },
  { "Root", "b.example", "/any", "r3" },
};

class Routes : public testing::TestWithParam<RouteRow>
{
};

TEST_P (Routes, ByHostAndLongestPrefix)
{
  error_info_t error = {};
  policy_t *policy = platform_parse_policy (CONFIG, strlen (CONFIG), &error);
  ASSERT_NE (nullptr, policy);
  const RouteRow &row = GetParam ();
  int number
      = policy_find_route (policy, row.host, strlen (row.host), row.path);
  if (row.route == nullptr)
    {
      EXPECT_EQ (-1, number);
    }
  else
    {
      ASSERT_GE (number, 0);
      EXPECT_STREQ (row.route, policy->routes[number].name);
      EXPECT_EQ (number, policy_find_route_by_name (policy, row.route));
    }
  policy_free (policy);
}

INSTANTIATE_TEST_SUITE_P (Table, Routes, testing::ValuesIn (route_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

struct BadConfigRow
{
  const char *name;
  const char *text;
};

const BadConfigRow bad_config_rows[] = {
  { "NoJson", "{" },
  { "NotAnObject", "[]" },
  { "RouteToNowhere",
    R"({"version":1,"routes":{"r":{"host":"h","pathPrefix":"/","kind":"safe"}},)"
    R"("services":{}})" },
  { "UnknownService",
    R"({"version":1,"routes":{"r":{"host":"h","pathPrefix":"/",)"
    R"("kind":"safe","service":"x"}},"services":{}})" },
  { "NegativeTimeout",
    R"({"version":1,"routes":{"r":{"host":"h","pathPrefix":"/",)"
    R"("kind":"safe","service":"s","timeoutS":-1}},)"
    R"("services":{"s":{"healthCheckPath":"/h"}}})" },
  { "SharedKey",
    R"({"version":1,"routes":{},"services":{},)"
    R"("tenants":{"a":{"apiKeys":["k"]},"b":{"apiKeys":["k"]}}})" },
};

class BadConfig : public testing::TestWithParam<BadConfigRow>
{
};

TEST_P (BadConfig, IsRejectedWithAWord)
{
  error_info_t error = {};
  EXPECT_EQ (nullptr,
             platform_parse_policy (GetParam ().text,
                                    strlen (GetParam ().text), &error));
  EXPECT_EQ (ERROR_DOCUMENT, error.kind);
  EXPECT_NE ('\0', error.message[0]);
}

INSTANTIATE_TEST_SUITE_P (Table, BadConfig,
                          testing::ValuesIn (bad_config_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- the store --------------------------------------------------------- */

struct Records
{
  std::vector<std::string> seen;
  static void
  visit (void *ctx, const keyed_record_t *record)
  {
    std::string text (record->key, record->key_size);
    text += record->value == nullptr
                ? "-"
                : "=" + std::string (record->value, record->value_size);
    ((Records *)ctx)
        ->seen.push_back (text + "@" + std::to_string (record->offset));
  }
};

TEST (Store, ReadsWhatItAppends)
{
  bytes_t head = {};
  bytes_t body = {};
  platform_write_log_append_request (&head, &body, "h", "keyed.t", "k", "v1");
  platform_write_log_append_request (&head, &body, "h", "keyed.t", "k", NULL);
  std::string answer ("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x05", 16);
  answer.append (bytes_data (&body), bytes_size (&body));
  Records records;
  keyed_page_t page;
  error_info_t error = {};
  ASSERT_TRUE (platform_parse_log_read (answer.data (), answer.size (), 7,
                                        &page, Records::visit, &records,
                                        &error));
  EXPECT_EQ (5, page.first_offset);
  EXPECT_EQ (9, page.end_offset);
  EXPECT_EQ ((std::vector<std::string>{ "k=v1@7", "k-@8" }), records.seen);
  bytes_free (&head);
  bytes_free (&body);
}

struct FollowRow
{
  const char *name;
  std::string answer;
  bool read;
  size_t records;
};

const std::string EMPTY (16, '\0');

const FollowRow follow_rows[] = {
  { "Nothing", EMPTY, true, 0 },
  { "TooShort", std::string (15, '\0'), false, 0 },
  { "EndsInARecord", EMPTY + std::string ("\0\0\0\x09xx", 6), false, 0 },
  { "KeyLongerThanTheRecord", EMPTY + std::string ("\0\0\0\x02\x09k", 6), true,
    0 },
  { "EmptyRecord", EMPTY + std::string ("\0\0\0\0", 4), true, 0 },
};

class Follow : public testing::TestWithParam<FollowRow>
{
};

TEST_P (Follow, NamesNothingThatCannotBeRead)
{
  const FollowRow &row = GetParam ();
  Records records;
  keyed_page_t page;
  error_info_t error = {};
  EXPECT_EQ (row.read, platform_parse_log_read (
                           row.answer.data (), row.answer.size (), 0, &page,
                           Records::visit, &records, &error));
  EXPECT_EQ (row.records, records.seen.size ());
}

INSTANTIATE_TEST_SUITE_P (Table, Follow, testing::ValuesIn (follow_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST (Store, ReadsPagesOfNewestValues)
{
  const char text[] = R"({"items":[{"key":"config","value":"djE=",)"
                      R"("offset":4}],"hasMore":true,"end":6})";
  Records records;
  keyed_page_t page;
  error_info_t error = {};
  ASSERT_TRUE (platform_parse_newest_values (
      text, strlen (text), &page, Records::visit, &records, &error));
  EXPECT_TRUE (page.has_more);
  EXPECT_STREQ ("config", page.last_key);
  EXPECT_EQ (6, page.end_offset);
  EXPECT_EQ ((std::vector<std::string>{ "config=v1@4" }), records.seen);
  EXPECT_FALSE (platform_parse_newest_values ("{}", 2, &page, Records::visit,
                                              &records, &error));
}

TEST (Store, TellsTheOperatorsKeysApart)
{
  char name[NAME_BYTES];
  keyed_record_t record = { "evacuate/z1", 11, "{}", 2, 1 };
  EXPECT_EQ (OPERATOR_RECORD_ZONE_EVACUATION,
             platform_operator_record_kind (&record, name, sizeof name));
  EXPECT_STREQ ("z1", name);
  record = { "config", 6, "{}", 2, 1 };
  EXPECT_EQ (OPERATOR_RECORD_CONFIG,
             platform_operator_record_kind (&record, name, sizeof name));
  record = { "evacuate/", 9, "{}", 2, 1 };
  EXPECT_EQ (OPERATOR_RECORD_OTHER,
             platform_operator_record_kind (&record, name, sizeof name));
}
}
