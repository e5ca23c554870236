#include <gtest/gtest.h>

extern "C"
{
#include "admin.h"
#include "admit.h"
#include "call.h"
#include "endpoint.h"
#include "request.h"
#include "support_clock.h"
}

#include <cstring>
#include <poll.h>
#include <string>

namespace
{
seal_t
seal_of (std::initializer_list<uint8_t> secrets)
{
  seal_t seal = {};
  for (uint8_t secret : secrets)
    memset (seal.secrets[seal.secret_count++], secret, FLEET_SECRET_BYTES);
  return seal;
}

call_t
sample_call ()
{
  call_t call = {};
  strcpy (call.root, "root-1");
  strcpy (call.request, "request-1");
  strcpy (call.account, "largest");
  strcpy (call.path, "/bookings?slab=7");
  call.held[0] = 42;
  call.held_count = 1;
  call.priority = 1;
  call.deadline_ms = 900;
  call.retries = 2;
  call.idempotent = true;
  return call;
}

TEST (Call, SealsAndOpens)
{
  seal_t seal = seal_of ({ 1 });
  call_t call = sample_call ();
  call_t opened;
  char text[CALL_HEADER_BYTES];
  ASSERT_TRUE (call_seal (&call, &seal, text));
  ASSERT_TRUE (call_open (text, &seal, &opened));
  EXPECT_STREQ ("/bookings?slab=7", opened.path);
  EXPECT_EQ (42u, opened.held[0]);
  EXPECT_EQ (900u, opened.deadline_ms);
  EXPECT_TRUE (opened.idempotent);
}

TEST (Call, SecretsRotateAndForgeriesFail)
{
  struct
  {
    const char *name;
    seal_t signer;
    seal_t reader;
    bool opens;
  } rows[] = {
    { "same secret", seal_of ({ 1 }), seal_of ({ 1 }), true },
    { "reader has old and new", seal_of ({ 1 }), seal_of ({ 2, 1 }), true },
    { "another secret", seal_of ({ 3 }), seal_of ({ 2, 1 }), false },
  };
  for (auto &row : rows)
    {
      call_t call = sample_call ();
      call_t opened;
      char text[CALL_HEADER_BYTES];
      ASSERT_TRUE (call_seal (&call, &row.signer, text));
      EXPECT_EQ (row.opens, call_open (text, &row.reader, &opened))
          << row.name;
      text[8] = text[8] == '0' ? '1' : '0';
      EXPECT_FALSE (call_open (text, &row.reader, &opened)) << row.name;
    }
}

TEST (Call, GarbageIsRefused)
{
  seal_t seal = seal_of ({ 1 });
  call_t call;
  for (const char *text : { "", "zz", "00", "abcdef", "0" })
    EXPECT_FALSE (call_open (text, &seal, &call)) << text;
}

struct ends_t
{
  int count;
};

void
count_end (void *ctx, request_t *)
{
  static_cast<ends_t *> (ctx)->count++;
}

TEST (Request, EndsOnceWhateverRaces)
{
  ends_t ends = { 0 };
  request_t *request = request_new (count_end, &ends);
  EXPECT_TRUE (request_mark_sent (request));
  EXPECT_TRUE (request_expire (request, 1));
  EXPECT_EQ (REASON_DEADLINE_PASSED, request->answer.reason);
  EXPECT_FALSE (request_end (request, answer_refusal (REASON_NONE), 2));
  EXPECT_FALSE (request_expire (request, 3));
  EXPECT_EQ (1, ends.count);
  request_unref (request);
}

TEST (Request, ExpiryOfWaitingMeansItNeverRuns)
{
  ends_t ends = { 0 };
  request_t *request = request_new (count_end, &ends);
  EXPECT_TRUE (request_expire (request, 1));
  EXPECT_EQ (REASON_DEADLINE_IN_QUEUE, request->answer.reason);
  EXPECT_FALSE (request_mark_sent (request));
  request_unref (request);
}

TEST (Request, CallerGone)
{
  struct
  {
    bool sent;
    bool idempotent;
    bool ends;
    reason_t reason;
  } rows[] = {
    { false, false, true, REASON_CALLER_GONE },
    { false, true, true, REASON_CALLER_GONE },
    { true, true, true, REASON_CANCELLED },
    { true, false, false, REASON_NONE },
  };
  for (auto &row : rows)
    {
      ends_t ends = { 0 };
      request_t *request = request_new (count_end, &ends);
      request->call.idempotent = row.idempotent;
      if (row.sent)
        request_mark_sent (request);
      EXPECT_EQ (row.ends, request_abandon (request, 1));
      EXPECT_EQ (row.reason, request->answer.reason);
      request_unref (request);
    }
}

TEST (Request, NoFalseNotRunAfterAnUnknownSending)
{
  struct
  {
    reason_t said;
    reason_t told;
  } rows[] = {
    { REASON_PEER_UNREACHABLE, REASON_HOME_LOST },
    { REASON_NO_BACKEND, REASON_HOME_LOST },
    { REASON_TOMBSTONE, REASON_TOMBSTONE },
    { REASON_NONE, REASON_NONE },
  };
  for (auto &row : rows)
    {
      ends_t ends = { 0 };
      request_t *request = request_new (count_end, &ends);
      request_mark_sent (request);
      request_mark_unknown (request);
      request_mark_unsent (request);
      request_end (request, answer_refusal (row.said), 1);
      EXPECT_EQ (row.told, request->answer.reason);
      request_unref (request);
    }
}

TEST (Admit, Deadlines)
{
  struct
  {
    const char *text;
    reason_t reason;
  } rows[] = {
    { "1500", REASON_NONE },
    { "0", REASON_DEADLINE_TOO_SHORT },
    { "", REASON_DEADLINE_MALFORMED },
    { "-5", REASON_DEADLINE_MALFORMED },
    { "1s", REASON_DEADLINE_MALFORMED },
    { "9999999", REASON_DEADLINE_MALFORMED },
  };
  for (auto &row : rows)
    {
      uint32_t ms = 0;
      EXPECT_EQ (row.reason, admit_parse_deadline (row.text, &ms)) << row.text;
    }
}

TEST (Admit, PathsThatAnotherServerReadsDifferently)
{
  struct
  {
    const char *path;
    bool plain;
  } rows[] = {
    { "/bookings/7", true },   { "/bookings/7?x=/../y", true },
    { "/open/../pay", false }, { "/open/%2e%2E/pay", false },
    { "/open//pay", false },   { "/open/..", false },
    { "/open/.", false },      { "/a\\b", false },
    { "bookings", false },     { "/v1.2/x", true },
    { "/open%2Fpay", false },
  };
  for (auto &row : rows)
    EXPECT_EQ (row.plain, admit_path_is_unambiguous (row.path)) << row.path;
}

TEST (Admin, Announcements)
{
  struct
  {
    const char *text;
    bool ok;
  } rows[] = {
    { R"({"service":"s","ip":"127.0.0.1","port":80,"slots":3,"leaving":true})",
      true },
    { R"({"service":"s","ip":"127.0.0.1","port":80,"slots":3})", true },
    { R"({"service":"s","ip":"nowhere","port":80,"slots":3})", false },
    { R"({"service":"s","ip":"127.0.0.1","port":80,"slots":0})", false },
    { R"({"service":"s"})", false },
    { "[", false },
  };
  for (auto &row : rows)
    {
      backend_t backend;
      error_info_t error = {};
      EXPECT_EQ (row.ok, admin_parse_announcement (row.text, strlen (row.text),
                                                   &backend, &error))
          << row.text;
    }
}

struct inbox_t
{
  int count;
  std::string last;
  vm_id_t from;
};

void
keep (void *ctx, vm_id_t from, message_kind_t, const void *data, size_t size)
{
  inbox_t *inbox = static_cast<inbox_t *> (ctx);
  inbox->count++;
  inbox->last.assign (static_cast<const char *> (data), size);
  inbox->from = from;
}

TEST (Endpoint, CarriesOnlyAuthenticMessages)
{
  seal_t seal = seal_of ({ 1 });
  seal_t other = seal_of ({ 9 });
  counters_t *counters = counters_new ();
  error_info_t error = {};
  endpoint_addr_t addr = { 0x7f000001, 0 };
  endpoint_t *a
      = endpoint_new (addr, &seal, counters, clock_system (), &error);
  endpoint_t *b
      = endpoint_new (addr, &seal, counters, clock_system (), &error);
  endpoint_t *stranger
      = endpoint_new (addr, &other, counters, clock_system (), &error);
  ASSERT_TRUE (a && b && stranger);
  inbox_t inbox = {};
  link_t forged = endpoint_link (stranger);
  forged.send (forged.ctx, endpoint_vm (b), MESSAGE_MEMBER, "bad", 3);
  link_t link = endpoint_link (a);
  link.send (link.ctx, endpoint_vm (b), MESSAGE_MEMBER, "hello", 5);
  while (inbox.count == 0)
    {
      pollfd fd = { endpoint_fd (b), POLLIN, 0 };
      poll (&fd, 1, -1);
      endpoint_receive (b, keep, &inbox);
    }
  EXPECT_EQ ("hello", inbox.last);
  EXPECT_EQ (endpoint_vm (a), inbox.from);
  EXPECT_EQ (1, inbox.count);
  endpoint_free (a);
  endpoint_free (b);
  endpoint_free (stranger);
  counters_free (counters);
}
}
