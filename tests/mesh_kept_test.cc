/* Idle connections to a backend server that the server closes as a request is
   sent on them.  A request that the server can't have run goes out again on
   another connection; one that may have run is sent again only if it is
   idempotent and no part of an answer has arrived.  A booking that was sent
   twice could run twice.  */

#include "support_edge.h"

#include <map>

namespace
{
/* A backend server on plain sockets: each test sets how it handles its
   connections and requests.  */
struct RawServer
{
  struct Connection
  {
    RawServer *server;
    ev_io reader;
    std::string got;
    bool reset_on_read = false; /* reset when data arrives */

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
  typedef std::function<void (Connection *, const std::string &)> handler_t;

  loop_t *loop;
  HeldPort held; /* no other process listens there after stop_listening */
  ev_io acceptor;
  std::vector<std::unique_ptr<Connection>> connections;
  /* Complete requests, by attempt ID.  */
  std::map<std::string, int> request_counts;
  handler_t answer;

  explicit RawServer (loop_t *loop) : loop (loop)
  {
    error_info_t error = {};
    int fd = loop_listen (loopback (held.port), &error);
    EXPECT_GE (fd, 0) << error.message;
    ev_io_init (&acceptor, on_acceptable, fd, EV_READ);
    acceptor.data = this;
    ev_io_start (loop->ev, &acceptor);
    answer = send_whole_answer;
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
  attempt_fields (const std::string &id)
  {
    return "X-Attempt-Id: " + id + "\r\nX-Server-Signature: s\r\n";
  }
  static std::string
  whole_answer (const std::string &id)
  {
    return "HTTP/1.1 200 OK\r\n" + attempt_fields (id)
           + "Content-Length: 5\r\n\r\nwhole";
  }
  static void
  send_whole_answer (Connection *connection, const std::string &id)
  {
    connection->write (whole_answer (id));
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
    if (connection->reset_on_read)
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
    connection->server->request_counts[id]++;
    connection->server->answer (connection, id);
  }
};

typedef RawServer::Connection connection_t;

/* A sidecar that has one idle connection to its backend server.  */
class IdleServerConnection : public Loop
{
protected:
  policy_t *policy = nullptr;
  std::unique_ptr<RawServer> backend;
  std::unique_ptr<Sidecar> a;
  std::string fields;
  std::string body;     /* of the request of start_run */
  std::string answered; /* body data received */
  int ended = 0;        /* completed answers and failures */
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
  kept_connection ()
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
  has_no_open_requests ()
  {
    return runner_open_run_count (a->runner) == 0
           && runner_server_load (a->runner).running == 0
           && entry_stats (a->entry).open_requests == 0;
  }
  /* Starts a run as an entry point does, without running the event loop.  */
  void
  start_run (bool idempotent, int64_t time_left_us = 5 * US_PER_S)
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
    call.deadline_us = loop.now_us + time_left_us;
    call.max_wait_us = US_PER_S;
    ASSERT_EQ (START_ACCEPTED,
               runner_start_call (a->runner, &call, &sink, &run, &failure));
  }
  static void
  on_reply (void *ctx, const call_reply_t *, const char *body, size_t size,
            bool last)
  {
    ((IdleServerConnection *)ctx)->answered.append (body, size);
    ((IdleServerConnection *)ctx)->ended += last;
  }
  static void
  on_body (void *ctx, const char *data, size_t size, bool last)
  {
    ((IdleServerConnection *)ctx)->answered.append (data, size);
    ((IdleServerConnection *)ctx)->ended += last;
  }
  static void
  on_failed (void *ctx, const call_failure_t *failure)
  {
    ((IdleServerConnection *)ctx)->failure = *failure;
    ((IdleServerConnection *)ctx)->ended++;
  }
};

/* --- closed before the request is sent ---------------------------------- */

struct ClosedIdleRow
{
  const char *name;
  void (*act) (connection_t *connection);
  /* The run starts in the event loop iteration that detects the close.  */
  bool same_iteration;
  bool idempotent;
};

class ClosedBeforeRequest : public IdleServerConnection,
                            public testing::WithParamInterface<ClosedIdleRow>
{
protected:
  static void
  on_timer (struct ev_loop *, ev_timer *timer, int)
  {
    ((ClosedBeforeRequest *)timer->data)->start_run (GetParam ().idempotent);
  }
};

TEST_P (ClosedBeforeRequest, RequestIsSentOnceOnAnotherConnection)
{
  const ClosedIdleRow &row = GetParam ();
  row.act (kept_connection ());
  if (row.same_iteration)
    {
      ev_timer call;
      ev_timer_init (&call, on_timer, 0, 0);
      call.data = this;
      ev_set_priority (&call, EV_MAXPRI); /* runs before socket events */
      ev_timer_start (loop.ev, &call);
      ev_run (loop.ev, EVRUN_ONCE);
    }
  else
    start_run (row.idempotent);
  ASSERT_TRUE (wait ([&] { return ended == 1; }));
  EXPECT_EQ ("whole", answered) << cause_name (failure.cause);
  EXPECT_EQ (1, backend->request_counts["id-1"]);
  EXPECT_EQ (1u, pool ().idle_connections);
  EXPECT_EQ (1u, pool ().connections);
  EXPECT_EQ (1u, pool ().connections_replaced);
  EXPECT_TRUE (has_no_open_requests ());
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
send_unsolicited_answer (connection_t *connection)
{
  connection->write (RawServer::whole_answer ("id-1"));
}

const ClosedIdleRow closed_idle_rows[] = {
  { "ClosedRead", shut, false, true },
  { "ClosedBooking", shut, false, false },
  { "ResetRead", reset, false, true },
  { "ResetBooking", reset, false, false },
  { "UnsolicitedAnswerRead", send_unsolicited_answer, false, true },
  { "UnsolicitedAnswerBooking", send_unsolicited_answer, false, false },
  { "ClosedInSameIterationRead", shut, true, true },
  { "ClosedInSameIterationBooking", shut, true, false },
  { "ResetInSameIterationRead", reset, true, true },
  { "ResetInSameIterationBooking", reset, true, false },
  { "UnsolicitedAnswerInSameIterationRead", send_unsolicited_answer, true,
    true },
  { "UnsolicitedAnswerInSameIterationBooking", send_unsolicited_answer, true,
    false },
};

INSTANTIATE_TEST_SUITE_P (Table, ClosedBeforeRequest,
                          testing::ValuesIn (closed_idle_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

TEST_F (IdleServerConnection,
        BookingIsRefusedWhenConnectionIsClosedAndServerIsDown)
{
  kept_connection ()->shut ();
  backend->stop_listening ();
  start_run (false);
  ASSERT_TRUE (wait ([&] { return ended == 1; }));
  EXPECT_EQ (FAILURE_REFUSED, failure.kind);
  EXPECT_EQ (CAUSE_CONNECT_FAILED, failure.cause);
  EXPECT_EQ (0u, pool ().connections);
  EXPECT_TRUE (has_no_open_requests ());
}

/* --- faults after the request is sent ---------------------------------- */

struct FaultRow
{
  const char *name;
  /* Handles the request on the idle connection; NULL: the connection is reset
     before the request is read.  */
  RawServer::handler_t fault;
  const char *read_status; /* that the caller gets */
  const char *booking_status;
  int read_requests; /* times that the server reads the request */
  int booking_requests;
};

class FaultAfterRequest : public IdleServerConnection,
                          public testing::WithParamInterface<FaultRow>
{
protected:
  void
  expect_answer (const std::string &text, const char *id, const char *status,
                 int expected_requests)
  {
    const FaultRow &row = GetParam ();
    bool first = true;
    if (row.fault == nullptr)
      kept_connection ()->reset_on_read = true;
    else
      backend->answer = [&] (connection_t *connection, const std::string &id) {
        bool faulty = first;
        first = false;
        faulty ? row.fault (connection, id)
               : RawServer::send_whole_answer (connection, id);
      };
    Caller caller (http_server_port (a->callers));
    caller.send (text);
    ASSERT_TRUE (wait ([&] { return caller.has ("\r\n\r\n"); }));
    ASSERT_TRUE (wait ([&] { return has_no_open_requests (); }));
    caller.has ("");
    EXPECT_EQ (0u, caller.got.find (std::string ("HTTP/1.1 ") + status))
        << caller.got.substr (0, 500);
    EXPECT_EQ (std::string::npos, caller.got.find ("HTTP/1.1 ", 1));
    EXPECT_EQ (expected_requests, backend->request_counts[id]);
  }
};

TEST_P (FaultAfterRequest, ReadIsAnsweredOnce)
{
  expect_answer (request ("GET", "/read/1", "id-1"), "id-1",
                 GetParam ().read_status, GetParam ().read_requests);
}

TEST_P (FaultAfterRequest, BookingIsAnsweredOnceAndNotSentAgain)
{
  expect_answer (
      request ("POST", "/book/1", "id-1", "Content-Length: 3\r\n\r\none"),
      "id-1", GetParam ().booking_status, GetParam ().booking_requests);
}

void
send_text (connection_t *connection, const std::string &text)
{
  connection->write (text);
}

const FaultRow fault_rows[] = {
  { "ResetBeforeRequestIsRead", nullptr, "200", "502", 1, 0 },
  { "Closed", [] (connection_t *c, const std::string &) { c->shut (); }, "200",
    "502", 2, 1 },
  { "Reset", [] (connection_t *c, const std::string &) { c->reset (); }, "200",
    "502", 2, 1 },
  { "ClosedInHead",
    [] (connection_t *c, const std::string &) {
      send_text (c, "HTTP/1.1 200 OK\r\nX-Att");
      c->shut ();
    },
    "502", "502", 1, 1 },
  { "ClosedInBody",
    [] (connection_t *c, const std::string &id) {
      send_text (c, "HTTP/1.1 200 OK\r\n" + RawServer::attempt_fields (id)
                        + "Content-Length: 5\r\n\r\nwh");
      c->shut ();
    },
    "502", "502", 1, 1 },
  { "ResetWithoutLength",
    [] (connection_t *c, const std::string &id) {
      send_text (c, "HTTP/1.1 200 OK\r\n" + RawServer::attempt_fields (id)
                        + "\r\nwh");
      c->reset ();
    },
    "502", "502", 1, 1 },
  { "ClosedWithoutLength",
    [] (connection_t *c, const std::string &id) {
      send_text (c, "HTTP/1.1 200 OK\r\n" + RawServer::attempt_fields (id)
                        + "\r\nwhole");
      c->shut ();
    },
    "200", "200", 1, 1 },
  { "AnsweredThenClosed",
    [] (connection_t *c, const std::string &id) {
      send_text (c,
                 "HTTP/1.1 200 OK\r\n" + RawServer::attempt_fields (id)
                     + "Connection: close\r\nContent-Length: 5\r\n\r\nwhole");
      c->shut ();
    },
    "200", "200", 1, 1 },
  { "AnsweredThenReset",
    [] (connection_t *c, const std::string &id) {
      send_text (c, RawServer::whole_answer (id));
      c->reset ();
    },
    "200", "200", 1, 1 },
  { "InterimThenClosed",
    [] (connection_t *c, const std::string &) {
      send_text (c, "HTTP/1.1 100 Continue\r\n\r\n");
      c->shut ();
    },
    "502", "502", 1, 1 },
  { "InterimThenAnswered",
    [] (connection_t *c, const std::string &id) {
      send_text (c, "HTTP/1.1 100 Continue\r\n\r\n"
                        + RawServer::whole_answer (id));
    },
    "200", "200", 1, 1 },
  { "AnswerOfAnotherAttemptThenClosed",
    [] (connection_t *c, const std::string &) {
      send_text (c, RawServer::whole_answer ("id-0"));
      c->shut ();
    },
    "502", "502", 1, 1 },
  { "NoContent",
    [] (connection_t *c, const std::string &id) {
      send_text (c, "HTTP/1.1 204 No Content\r\n"
                        + RawServer::attempt_fields (id) + "\r\n");
    },
    "204", "204", 1, 1 },
  { "NeverAnswered", [] (connection_t *, const std::string &) {}, "504", "504",
    1, 1 },
  { "ResetAndServerDown",
    [] (connection_t *c, const std::string &) {
      c->server->stop_listening ();
      c->reset ();
    },
    "502", "502", 1, 1 },
};

INSTANTIATE_TEST_SUITE_P (Table, FaultAfterRequest,
                          testing::ValuesIn (fault_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- retries of reads --------------------------------------------------- */

struct RetryRow
{
  const char *name;
  int64_t time_left_us;   /* until the deadline of the read, when it is sent */
  const char *id;         /* server ID at the time of the reset */
  bool leaving;           /* likewise */
  bool zone_out;          /* likewise */
  int64_t reset_delay_us; /* from the request to the reset */
  int expected_requests;
  bool budget_spent = false; /* of retries, at the time of the reset */
};

class ReadRetry : public IdleServerConnection,
                  public testing::WithParamInterface<RetryRow>
{
};

TEST_P (ReadRetry, IsSentOnlyIfItCanStillBeServed)
{
  const RetryRow &row = GetParam ();
  backend->answer = [&] (connection_t *connection, const std::string &id) {
    if (connection != kept_connection ())
      RawServer::send_whole_answer (connection, id);
  };
  start_run (true, row.time_left_us);
  int64_t reset_us = loop.now_us + row.reset_delay_us;
  ASSERT_TRUE (wait ([&] { return backend->request_counts["id-1"] == 1; }));
  ASSERT_TRUE (wait ([&] { return loop.now_us >= reset_us; }));
  intake_server_t server = { 10, true, row.leaving, row.zone_out, 0, 0 };
  runner_set_server (a->runner, &server, row.id);
  while (row.budget_spent && entry_take_resend (a->entry, ""))
    ;
  kept_connection ()->reset ();
  ASSERT_TRUE (wait ([&] { return ended == 1; }));
  EXPECT_EQ (row.expected_requests, backend->request_counts["id-1"]);
  EXPECT_EQ (row.expected_requests == 1 ? "" : "whole", answered);
  bool lost = failure.kind == FAILURE_OUTCOME_UNKNOWN;
  EXPECT_EQ (row.expected_requests == 1, lost);
  EXPECT_TRUE (has_no_open_requests ());
}

const RetryRow retry_rows[] = {
  { "InTime", 5 * US_PER_S, "i", false, false, 0, 2 },
  { "PastItsDeadline", 50 * US_PER_MS, "i", false, false, 60 * US_PER_MS, 1 },
  { "ServerIsLeaving", 5 * US_PER_S, "i", true, false, 0, 1 },
  { "ZoneIsOut", 5 * US_PER_S, "i", false, true, 0, 1 },
  { "AnotherServer", 5 * US_PER_S, "j", false, false, 0, 1 },
  { "RetryBudgetIsSpent", 5 * US_PER_S, "i", false, false, 0, 1, true },
};

INSTANTIATE_TEST_SUITE_P (Table, ReadRetry, testing::ValuesIn (retry_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- answers sent before a long request body is read -------------------- */

struct EarlyAnswerRow
{
  const char *name;
  /* Handles the request when little more than its head has been read.  */
  RawServer::handler_t answer;
  const char *read_body; /* of the answer, or "" for a failure */
  const char *booking_body;
};

class AnswerBeforeBodyIsSent
    : public IdleServerConnection,
      public testing::WithParamInterface<EarlyAnswerRow>
{
protected:
  void
  expect_answer (bool idempotent, const std::string &expected)
  {
    bool first = true;
    backend->answer = [&] (connection_t *connection, const std::string &id) {
      bool early = first;
      first = false;
      ev_io_stop (loop.ev, &connection->reader);
      early ? GetParam ().answer (connection, id)
            : RawServer::send_whole_answer (connection, id);
    };
    body.assign (16 << 20, 'b');
    start_run (idempotent);
    ASSERT_TRUE (wait ([&] { return ended == 1; }));
    EXPECT_EQ (expected, answered);
    EXPECT_EQ (expected.empty (), failure.kind != FAILURE_REFUSED);
    EXPECT_TRUE (has_no_open_requests ());
    /* The server still expects the rest of the body on this connection, so it
       can't carry another request.  */
    EXPECT_EQ (0u, pool ().idle_connections);
    EXPECT_TRUE (wait ([&] { return pool ().connections == 0; }));
  }
};

TEST_P (AnswerBeforeBodyIsSent, EndsRead)
{
  expect_answer (true, GetParam ().read_body);
}

TEST_P (AnswerBeforeBodyIsSent, EndsBooking)
{
  expect_answer (false, GetParam ().booking_body);
}

const EarlyAnswerRow early_answer_rows[] = {
  { "Whole", RawServer::send_whole_answer, "whole", "whole" },
  { "WholeThenReset",
    [] (connection_t *c, const std::string &id) {
      send_text (c, RawServer::whole_answer (id));
      c->reset ();
    },
    "whole", "whole" },
  { "WholeThenClosed",
    [] (connection_t *c, const std::string &id) {
      send_text (c, RawServer::whole_answer (id));
      c->shut ();
    },
    "whole", "whole" },
  { "PartialThenReset",
    [] (connection_t *c, const std::string &id) {
      send_text (c, "HTTP/1.1 200 OK\r\n" + RawServer::attempt_fields (id)
                        + "Content-Length: 5\r\n\r\nwh");
      c->reset ();
    },
    "", "" },
  { "Reset", [] (connection_t *c, const std::string &) { c->reset (); },
    "whole", "" },
  { "Closed", [] (connection_t *c, const std::string &) { c->shut (); },
    "whole", "" },
};

INSTANTIATE_TEST_SUITE_P (Table, AnswerBeforeBodyIsSent,
                          testing::ValuesIn (early_answer_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });

/* --- connections whose reading is paused -------------------------------- */

struct PausedReadRow
{
  const char *name;
  bool reset; /* the server resets the connection, else leaves it open */
};

class PausedRead : public IdleServerConnection,
                   public testing::WithParamInterface<PausedReadRow>
{
};

TEST_P (PausedRead, RunEndsByItsDeadlineWithAnIncompleteAnswer)
{
  const size_t LENGTH = 64 << 20;
  connection_t *streaming = nullptr;
  std::string piece (1 << 20, 'x');
  backend->answer = [&] (connection_t *connection, const std::string &id) {
    connection->write ("HTTP/1.1 200 OK\r\n" + RawServer::attempt_fields (id)
                       + "Content-Length: " + std::to_string (LENGTH)
                       + "\r\n\r\n");
    streaming = connection;
  };
  Caller caller (http_server_port (a->callers));
  caller.send (request ("GET", "/read/1", "id-1"));
  ASSERT_TRUE (wait ([&] { return streaming != nullptr; }));
  size_t sent = 0;
  int64_t last_progress_us = loop.now_us;
  /* Send until no more is accepted, since the caller reads nothing.  */
  ASSERT_TRUE (wait ([&] {
    ssize_t size;
    while (sent < LENGTH
           && (size = ::send (streaming->reader.fd, piece.data (),
                              piece.size (), MSG_NOSIGNAL))
                  > 0)
      {
        sent += (size_t)size;
        last_progress_us = loop.now_us;
      }
    return loop.now_us - last_progress_us > 50 * US_PER_MS;
  }));
  ASSERT_LT (sent, LENGTH);
  ASSERT_EQ (1u, runner_open_run_count (a->runner));
  if (GetParam ().reset)
    streaming->reset ();
  ASSERT_TRUE (wait ([&] { return has_no_open_requests (); }));
  ASSERT_TRUE (wait ([&] { return caller.is_over () || caller.reset; }));
  EXPECT_EQ (0u, caller.got.find ("HTTP/1.1 200"));
  EXPECT_LT (caller.got.size (), LENGTH);
  EXPECT_EQ (0u, pool ().connections);
}

const PausedReadRow paused_read_rows[]
    = { { "Reset", true }, { "Open", false } };

INSTANTIATE_TEST_SUITE_P (Table, PausedRead,
                          testing::ValuesIn (paused_read_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
