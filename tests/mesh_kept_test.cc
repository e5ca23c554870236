/* Kept connections to a backend server that end as they are used.  */

#include "support_edge.h"

#include <map>

namespace
{
/* A backend server on plain sockets: a test decides what becomes of each
   connection and each request.  */
struct RawServer
{
  struct Connection
  {
    RawServer *server;
    ev_io reader;
    std::string got;
    bool forgotten = false; /* what comes next is reset unread */

    void
    write (const std::string &text)
    {
      EXPECT_EQ ((ssize_t)text.size (),
                 ::send (reader.fd, text.data (), text.size (), MSG_NOSIGNAL));
    }
    void
    shut ()
    {
      if (reader.fd < 0)
        return;
      ev_io_stop (server->loop->ev, &reader);
      close (reader.fd);
      reader.fd = -1;
    }
    void
    reset ()
    {
      struct linger at_once = { 1, 0 };
      setsockopt (reader.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      shut ();
    }
  };
  typedef std::function<void (Connection *, const std::string &)> answer_t;

  loop_t *loop;
  ev_io acceptor;
  std::vector<std::unique_ptr<Connection>> connections;
  std::map<std::string, int> arrivals; /* requests read whole, by id */
  answer_t answer;

  explicit RawServer (loop_t *loop) : loop (loop)
  {
    error_info_t error = {};
    int fd = loop_listen (loopback (), &error);
    EXPECT_GE (fd, 0) << error.message;
    ev_io_init (&acceptor, on_acceptable, fd, EV_READ);
    acceptor.data = this;
    ev_io_start (loop->ev, &acceptor);
    answer = answer_whole;
  }
  ~RawServer ()
  {
    stop_listening ();
    for (auto &at : connections)
      at->shut ();
  }
  void
  stop_listening ()
  {
    if (acceptor.fd < 0)
      return;
    ev_io_stop (loop->ev, &acceptor);
    close (acceptor.fd);
    acceptor.fd = -1;
  }
  uint16_t
  port () const
  {
    struct sockaddr_in at = {};
    socklen_t size = sizeof at;
    getsockname (acceptor.fd, (struct sockaddr *)&at, &size);
    return ntohs (at.sin_port);
  }
  static std::string
  signed_by (const std::string &id)
  {
    return "X-Attempt-Id: " + id + "\r\nX-Server-Signature: s\r\n";
  }
  static std::string
  whole (const std::string &id)
  {
    return "HTTP/1.1 200 OK\r\n" + signed_by (id)
           + "Content-Length: 5\r\n\r\nwhole";
  }
  static void
  answer_whole (Connection *connection, const std::string &id)
  {
    connection->write (whole (id));
  }
  static void
  on_acceptable (struct ev_loop *ev, ev_io *acceptor, int)
  {
    RawServer *self = (RawServer *)acceptor->data;
    int fd = accept4 (acceptor->fd, nullptr, nullptr, SOCK_NONBLOCK);
    self->connections.push_back (std::make_unique<Connection> ());
    Connection *connection = self->connections.back ().get ();
    connection->server = self;
    ev_io_init (&connection->reader, on_readable, fd, EV_READ);
    connection->reader.data = connection;
    ev_io_start (ev, &connection->reader);
  }
  static void
  on_readable (struct ev_loop *, ev_io *reader, int)
  {
    Connection *connection = (Connection *)reader->data;
    char block[4096];
    if (connection->forgotten)
      {
        connection->reset ();
        return;
      }
    ssize_t size = recv (reader->fd, block, sizeof block, 0);
    if (size <= 0)
      {
        connection->shut ();
        return;
      }
    connection->got.append (block, size);
    size_t end = connection->got.find ("\r\n\r\n");
    if (end == std::string::npos)
      return;
    const std::string name = "X-Attempt-Id: ";
    size_t at = connection->got.find (name);
    std::string id;
    if (at < end)
      id = connection->got.substr (at + name.size (),
                                   connection->got.find ("\r\n", at) - at
                                       - name.size ());
    connection->got.clear ();
    connection->server->arrivals[id]++;
    connection->server->answer (connection, id);
  }
};

typedef RawServer::Connection connection_t;

/* A sidecar that has one idle connection to its backend server.  */
class KeptToServer : public Loop
{
protected:
  policy_t *policy = nullptr;
  std::unique_ptr<RawServer> backend;
  std::unique_ptr<Sidecar> a;
  std::string fields;
  std::string body;     /* of the run that is started next */
  std::string answered; /* bodies of whole answers */
  int ended = 0;        /* answers and failures */
  call_failure_t failure = {};

  void
  SetUp () override
  {
    Loop::SetUp ();
    error_info_t error = {};
    policy = platform_parse_policy (POLICY, strlen (POLICY), &error);
    ASSERT_NE (nullptr, policy) << error.message;
    backend = std::make_unique<RawServer> (&loop);
    a = std::make_unique<Sidecar> (&loop, &rng, &log, "s", backend->port (),
                                   101);
    a->serve_own_callers (policy);
    Caller caller (http_server_port (a->callers));
    caller.send (request ("GET", "/read/0", "id-0"));
    ASSERT_TRUE (wait ([&] { return caller.has ("whole"); }));
    ASSERT_EQ (1u, pool ().idle_connections);
    ASSERT_EQ (1u, backend->connections.size ());
  }
  void
  TearDown () override
  {
    a.reset ();
    backend.reset ();
    policy_free (policy);
    Loop::TearDown ();
  }
  http_client_stats_t
  pool ()
  {
    return runner_stats (a->runner).connections;
  }
  connection_t *
  kept ()
  {
    return backend->connections[0].get ();
  }
  static std::string
  request (const char *method, const char *path, const char *id,
           const std::string &rest = "\r\n")
  {
    return std::string (method) + " " + path
           + " HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 700\r\nX-Attempt-Id: " + id
           + "\r\n" + rest;
  }
  bool
  is_all_over ()
  {
    return runner_open_run_count (a->runner) == 0
           && runner_server_load (a->runner).running == 0
           && entry_stats (a->entry).open_requests == 0;
  }
  /* A run, as an entry point starts it, without a turn of the loop.  */
  void
  start_run (bool idempotent, int64_t left_us = 5 * US_PER_S)
  {
    call_request_t call = {};
    call_sink_t sink = { on_reply, on_body, on_failed, this };
    run_t *run;
    fields = "Host: h\r\nX-Attempt-Id: id-1\r\n";
    call.attempt_id = "id-1";
    call.method = body.empty () ? "GET" : "POST";
    call.target = "/run";
    call.fields = fields.c_str ();
    call.fields_size = fields.size ();
    call.body = body.data ();
    call.body_size = body.size ();
    call.account = call.caller_service = call.route = "";
    call.service = "s";
    call.idempotent = idempotent;
    call.deadline_us = loop.now_us + left_us;
    call.max_wait_us = US_PER_S;
    ASSERT_EQ (START_ACCEPTED,
               runner_start_call (a->runner, &call, &sink, &run, &failure));
  }
  static void
  on_reply (void *ctx, const call_reply_t *, const char *body, size_t size,
            bool last)
  {
    ((KeptToServer *)ctx)->answered.append (body, size);
    ((KeptToServer *)ctx)->ended += last;
  }
  static void
  on_body (void *ctx, const char *data, size_t size, bool last)
  {
    ((KeptToServer *)ctx)->answered.append (data, size);
    ((KeptToServer *)ctx)->ended += last;
  }
  static void
  on_failed (void *ctx, const call_failure_t *failure)
  {
    ((KeptToServer *)ctx)->failure = *failure;
    ((KeptToServer *)ctx)->ended++;
  }
};

/* --- ended before the request goes out ---------------------------------- */

struct EndedRow
{
  const char *name;
  void (*act) (connection_t *connection);
  bool in_turn; /* the call is made in the turn that finds the end */
  bool idempotent;
};

class EndedBefore : public KeptToServer,
                    public testing::WithParamInterface<EndedRow>
{
protected:
  static void
  on_timer (struct ev_loop *, ev_timer *timer, int)
  {
    ((EndedBefore *)timer->data)->start_run (GetParam ().idempotent);
  }
};

TEST_P (EndedBefore, TheRequestGoesOutOnceOnAnotherConnection)
{
  const EndedRow &row = GetParam ();
  row.act (kept ());
  if (row.in_turn)
    {
      ev_timer call;
      ev_timer_init (&call, on_timer, 0, 0);
      call.data = this;
      ev_set_priority (&call, EV_MAXPRI); /* ahead of sockets */
      ev_timer_start (loop.ev, &call);
      ev_run (loop.ev, EVRUN_ONCE);
    }
  else
    start_run (row.idempotent);
  ASSERT_TRUE (wait ([&] { return ended == 1; }));
  EXPECT_EQ ("whole", answered) << cause_name (failure.cause);
  EXPECT_EQ (1, backend->arrivals["id-1"]);
  EXPECT_EQ (1u, pool ().idle_connections);
  EXPECT_EQ (1u, pool ().connections);
  EXPECT_EQ (1u, pool ().connections_replaced);
  EXPECT_TRUE (is_all_over ());
}

void
shut (connection_t *connection)
{
  connection->shut ();
}

void
reset (connection_t *connection)
{
  connection->reset ();
}

void
say_more (connection_t *connection)
{
  connection->write (RawServer::whole ("id-1"));
}

const EndedRow ended_rows[] = {
  { "ClosedRead", shut, false, true },
  { "ClosedBooking", shut, false, false },
  { "ResetRead", reset, false, true },
  { "ResetBooking", reset, false, false },
  { "MoreBytesRead", say_more, false, true },
  { "MoreBytesBooking", say_more, false, false },
  { "ClosedInTurnRead", shut, true, true },
  { "ClosedInTurnBooking", shut, true, false },
  { "ResetInTurnRead", reset, true, true },
  { "ResetInTurnBooking", reset, true, false },
  { "MoreBytesInTurnRead", say_more, true, true },
  { "MoreBytesInTurnBooking", say_more, true, false },
};

INSTANTIATE_TEST_SUITE_P (Table, EndedBefore, testing::ValuesIn (ended_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST_F (KeptToServer, ABookingOnAnEndedConnectionToAServerThatIsGoneIsRefused)
{
  kept ()->shut ();
  backend->stop_listening ();
  start_run (false);
  ASSERT_TRUE (wait ([&] { return ended == 1; }));
  EXPECT_EQ (FAILURE_REFUSED, failure.kind);
  EXPECT_EQ (CAUSE_CONNECT_FAILED, failure.cause);
  EXPECT_EQ (0u, pool ().connections);
  EXPECT_TRUE (is_all_over ());
}

/* --- ended behind the request ------------------------------------------ */

struct FaultRow
{
  const char *name;
  /* Answers the request on the kept connection; NULL forgets that.  */
  RawServer::answer_t fault;
  const char *read; /* status that the caller sees */
  const char *booking;
  int reads; /* times that the server has read the request */
  int bookings;
};

class EndedBehind : public KeptToServer,
                    public testing::WithParamInterface<FaultRow>
{
protected:
  void
  expect_end (const std::string &text, const char *id, const char *status,
              int arrivals)
  {
    const FaultRow &row = GetParam ();
    bool first = true;
    if (row.fault == nullptr)
      kept ()->forgotten = true;
    else
      backend->answer = [&] (connection_t *connection, const std::string &id) {
        bool faulty = first;
        first = false;
        faulty ? row.fault (connection, id)
               : RawServer::answer_whole (connection, id);
      };
    Caller caller (http_server_port (a->callers));
    caller.send (text);
    ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
    ASSERT_TRUE (wait ([&] { return is_all_over (); }));
    caller.has ("");
    EXPECT_EQ (0u, caller.got.find (std::string ("HTTP/1.1 ") + status))
        << caller.got.substr (0, 500);
    EXPECT_EQ (std::string::npos, caller.got.find ("HTTP/1.1 ", 1));
    EXPECT_EQ (arrivals, backend->arrivals[id]);
  }
};

TEST_P (EndedBehind, AReadIsAnsweredOnce)
{
  expect_end (request ("GET", "/read/1", "id-1"), "id-1", GetParam ().read,
              GetParam ().reads);
}

TEST_P (EndedBehind, ABookingIsAnsweredOnceAndSentOnce)
{
  expect_end (
      request ("POST", "/book/1", "id-1", "Content-Length: 3\r\n\r\none"),
      "id-1", GetParam ().booking, GetParam ().bookings);
}

void
say (connection_t *connection, const std::string &text)
{
  connection->write (text);
}

const FaultRow fault_rows[] = {
  { "ForgottenWithoutNotice", nullptr, "200", "502", 1, 0 },
  { "Closed", [] (connection_t *c, const std::string &) { c->shut (); }, "200",
    "502", 2, 1 },
  { "Reset", [] (connection_t *c, const std::string &) { c->reset (); }, "200",
    "502", 2, 1 },
  { "ClosedInTheHead",
    [] (connection_t *c, const std::string &) {
      say (c, "HTTP/1.1 200 OK\r\nX-Att");
      c->shut ();
    },
    "502", "502", 1, 1 },
  { "ClosedInTheBody",
    [] (connection_t *c, const std::string &id) {
      say (c, "HTTP/1.1 200 OK\r\n" + RawServer::signed_by (id)
                  + "Content-Length: 5\r\n\r\nwh");
      c->shut ();
    },
    "502", "502", 1, 1 },
  { "ResetWithoutLength",
    [] (connection_t *c, const std::string &id) {
      say (c, "HTTP/1.1 200 OK\r\n" + RawServer::signed_by (id) + "\r\nwh");
      c->reset ();
    },
    "502", "502", 1, 1 },
  { "ClosedWithoutLength",
    [] (connection_t *c, const std::string &id) {
      say (c, "HTTP/1.1 200 OK\r\n" + RawServer::signed_by (id) + "\r\nwhole");
      c->shut ();
    },
    "200", "200", 1, 1 },
  { "AnsweredAndClosed",
    [] (connection_t *c, const std::string &id) {
      say (c, "HTTP/1.1 200 OK\r\n" + RawServer::signed_by (id)
                  + "Connection: close\r\nContent-Length: 5\r\n\r\nwhole");
      c->shut ();
    },
    "200", "200", 1, 1 },
  { "AnsweredAndReset",
    [] (connection_t *c, const std::string &id) {
      say (c, RawServer::whole (id));
      c->reset ();
    },
    "200", "200", 1, 1 },
  { "InterimAndClosed",
    [] (connection_t *c, const std::string &) {
      say (c, "HTTP/1.1 100 Continue\r\n\r\n");
      c->shut ();
    },
    "502", "502", 1, 1 },
  { "InterimAndAnswered",
    [] (connection_t *c, const std::string &id) {
      say (c, "HTTP/1.1 100 Continue\r\n\r\n" + RawServer::whole (id));
    },
    "200", "200", 1, 1 },
  { "AnotherAnswerAndClosed",
    [] (connection_t *c, const std::string &) {
      say (c, RawServer::whole ("id-0"));
      c->shut ();
    },
    "502", "502", 1, 1 },
  { "NoContent",
    [] (connection_t *c, const std::string &id) {
      say (c,
           "HTTP/1.1 204 No Content\r\n" + RawServer::signed_by (id) + "\r\n");
    },
    "204", "204", 1, 1 },
  { "NeverAnswered", [] (connection_t *, const std::string &) {}, "504", "504",
    1, 1 },
  { "Down",
    [] (connection_t *c, const std::string &) {
      c->server->stop_listening ();
      c->reset ();
    },
    "502", "502", 1, 1 },
};

INSTANTIATE_TEST_SUITE_P (Table, EndedBehind, testing::ValuesIn (fault_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- reads that are sent again ------------------------------------------ */

struct AgainRow
{
  const char *name;
  int64_t left_us;  /* of the read, when it is sent */
  const char *id;   /* of the server, when the connection ends */
  bool leaving;     /* then */
  bool zone_out;    /* then */
  int64_t after_us; /* the connection ends so long behind the request */
  int arrivals;
};

class SentAgain : public KeptToServer,
                  public testing::WithParamInterface<AgainRow>
{
};

TEST_P (SentAgain, OnlyWhereItIsStillOfUse)
{
  const AgainRow &row = GetParam ();
  backend->answer = [&] (connection_t *connection, const std::string &id) {
    if (connection != kept ())
      RawServer::answer_whole (connection, id);
  };
  start_run (true, row.left_us);
  int64_t end_us = loop.now_us + row.after_us;
  ASSERT_TRUE (wait ([&] { return backend->arrivals["id-1"] == 1; }));
  ASSERT_TRUE (wait ([&] { return loop.now_us >= end_us; }));
  intake_server_t server = { 10, true, row.leaving, row.zone_out, 0, 0 };
  runner_set_server (a->runner, &server, row.id);
  kept ()->reset ();
  ASSERT_TRUE (wait ([&] { return ended == 1; }));
  EXPECT_EQ (row.arrivals, backend->arrivals["id-1"]);
  EXPECT_EQ (row.arrivals == 1 ? "" : "whole", answered);
  bool lost = failure.kind == FAILURE_OUTCOME_UNKNOWN;
  EXPECT_EQ (row.arrivals == 1, lost);
  EXPECT_TRUE (is_all_over ());
}

const AgainRow again_rows[] = {
  { "InTime", 5 * US_PER_S, "i", false, false, 0, 2 },
  { "PastItsDeadline", 50 * US_PER_MS, "i", false, false, 60 * US_PER_MS, 1 },
  { "ServerIsLeaving", 5 * US_PER_S, "i", true, false, 0, 1 },
  { "ZoneIsOut", 5 * US_PER_S, "i", false, true, 0, 1 },
  { "AnotherServer", 5 * US_PER_S, "j", false, false, 0, 1 },
};

INSTANTIATE_TEST_SUITE_P (Table, SentAgain, testing::ValuesIn (again_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- answers ahead of a long body --------------------------------------- */

struct EarlyRow
{
  const char *name;
  /* Answers when the head and little more has been read; the rest waits.  */
  RawServer::answer_t answer;
  const char *read; /* body of the answer, or "" for a failure */
  const char *booking;
};

class EarlyAnswer : public KeptToServer,
                    public testing::WithParamInterface<EarlyRow>
{
protected:
  void
  expect_end (bool idempotent, const std::string &whole)
  {
    bool first = true;
    backend->answer = [&] (connection_t *connection, const std::string &id) {
      bool early = first;
      first = false;
      ev_io_stop (loop.ev, &connection->reader);
      early ? GetParam ().answer (connection, id)
            : RawServer::answer_whole (connection, id);
    };
    body.assign (16 << 20, 'b');
    start_run (idempotent);
    ASSERT_TRUE (wait ([&] { return ended == 1; }));
    EXPECT_EQ (whole, answered);
    EXPECT_EQ (whole.empty (), failure.kind != FAILURE_REFUSED);
    EXPECT_TRUE (is_all_over ());
    /* What is left of the body is due there, and nothing else.  */
    EXPECT_EQ (0u, pool ().idle_connections);
    EXPECT_TRUE (wait ([&] { return pool ().connections == 0; }));
  }
};

TEST_P (EarlyAnswer, EndsARead) { expect_end (true, GetParam ().read); }

TEST_P (EarlyAnswer, EndsABooking) { expect_end (false, GetParam ().booking); }

const EarlyRow early_rows[] = {
  { "Whole", RawServer::answer_whole, "whole", "whole" },
  { "WholeThenReset",
    [] (connection_t *c, const std::string &id) {
      say (c, RawServer::whole (id));
      c->reset ();
    },
    "whole", "whole" },
  { "WholeThenClosed",
    [] (connection_t *c, const std::string &id) {
      say (c, RawServer::whole (id));
      c->shut ();
    },
    "whole", "whole" },
  { "HalfThenReset",
    [] (connection_t *c, const std::string &id) {
      say (c, "HTTP/1.1 200 OK\r\n" + RawServer::signed_by (id)
                  + "Content-Length: 5\r\n\r\nwh");
      c->reset ();
    },
    "", "" },
  { "Reset", [] (connection_t *c, const std::string &) { c->reset (); },
    "whole", "" },
  { "Closed", [] (connection_t *c, const std::string &) { c->shut (); },
    "whole", "" },
};

INSTANTIATE_TEST_SUITE_P (Table, EarlyAnswer, testing::ValuesIn (early_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- connections that end while reading is paused ----------------------- */

struct PausedRow
{
  const char *name;
  bool reset; /* or left open */
};

class Paused : public KeptToServer,
               public testing::WithParamInterface<PausedRow>
{
};

TEST_P (Paused, ARunEndsAtItsDeadlineAndItsAnswerIsNotWhole)
{
  const size_t LENGTH = 64 << 20;
  connection_t *busy = nullptr;
  std::string piece (1 << 20, 'x');
  backend->answer = [&] (connection_t *connection, const std::string &id) {
    connection->write ("HTTP/1.1 200 OK\r\n" + RawServer::signed_by (id)
                       + "Content-Length: " + std::to_string (LENGTH)
                       + "\r\n\r\n");
    busy = connection;
  };
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return busy != nullptr; }));
  size_t sent = 0;
  int64_t moved_us = loop.now_us;
  /* Until nobody takes more: the caller reads nothing.  */
  ASSERT_TRUE (wait ([&] {
    ssize_t size;
    while (sent < LENGTH
           && (size = ::send (busy->reader.fd, piece.data (), piece.size (),
                              MSG_NOSIGNAL))
                  > 0)
      {
        sent += (size_t)size;
        moved_us = loop.now_us;
      }
    return loop.now_us - moved_us > 50 * US_PER_MS;
  }));
  ASSERT_LT (sent, LENGTH);
  ASSERT_EQ (1u, runner_open_run_count (a->runner));
  if (GetParam ().reset)
    busy->reset ();
  ASSERT_TRUE (wait ([&] { return is_all_over (); }));
  ASSERT_TRUE (wait ([&] { return caller.is_over () || caller.reset; }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 200"));
  EXPECT_LT (caller.got.size (), LENGTH);
  EXPECT_EQ (0u, pool ().connections);
}

const PausedRow paused_rows[] = { { "Reset", true }, { "Open", false } };

INSTANTIATE_TEST_SUITE_P (Table, Paused, testing::ValuesIn (paused_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
