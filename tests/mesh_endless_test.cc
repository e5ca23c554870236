/* Servers whose bytes never end.  */

#include "support_edge.h"

extern "C"
{
#include "edge/store.h"
}

namespace
{
/* A server that answers each request with HEAD and then MORE without end, as
   fast as it is read.  */
struct Endless
{
  struct Connection
  {
    Endless *server;
    ev_io watcher;
    std::string waiting;
  };
  loop_t *loop;
  std::string head;
  std::string more;
  ev_io acceptor;
  std::vector<std::unique_ptr<Connection>> connections;
  int answered = 0;
  size_t sent = 0;
  int closed = 0;

  Endless (loop_t *loop, const std::string &head, const std::string &more)
      : loop (loop), head (head), more (more)
  {
    error_info_t error = {};
    int fd = loop_listen (loopback (), &error);
    EXPECT_GE (fd, 0) << error.message;
    ev_io_init (&acceptor, on_acceptable, fd, EV_READ);
    acceptor.data = this;
    ev_io_start (loop->ev, &acceptor);
  }
  ~Endless ()
  {
    ev_io_stop (loop->ev, &acceptor);
    close (acceptor.fd);
    for (auto &at : connections)
      end (at.get ());
  }
  uint16_t
  port () const
  {
    struct sockaddr_in at = {};
    socklen_t size = sizeof at;
    getsockname (acceptor.fd, (struct sockaddr *)&at, &size);
    return ntohs (at.sin_port);
  }
  static void
  end (Connection *connection)
  {
    if (connection->watcher.fd < 0)
      return;
    ev_io_stop (connection->server->loop->ev, &connection->watcher);
    close (connection->watcher.fd);
    connection->watcher.fd = -1;
  }
  static void
  on_acceptable (struct ev_loop *ev, ev_io *acceptor, int)
  {
    Endless *self = (Endless *)acceptor->data;
    int fd = accept4 (acceptor->fd, nullptr, nullptr, SOCK_NONBLOCK);
    self->connections.push_back (std::make_unique<Connection> ());
    Connection *connection = self->connections.back ().get ();
    connection->server = self;
    ev_io_init (&connection->watcher, on_request, fd, EV_READ);
    connection->watcher.data = connection;
    ev_io_start (ev, &connection->watcher);
  }
  static void
  on_request (struct ev_loop *ev, ev_io *watcher, int)
  {
    Connection *connection = (Connection *)watcher->data;
    char block[4096];
    if (recv (watcher->fd, block, sizeof block, 0) <= 0)
      {
        end (connection);
        return;
      }
    connection->server->answered++;
    connection->waiting = connection->server->head;
    ev_io_stop (ev, watcher);
    ev_io_init (watcher, on_writable, watcher->fd, EV_WRITE);
    ev_io_start (ev, watcher);
  }
  static void
  on_writable (struct ev_loop *, ev_io *watcher, int)
  {
    Connection *connection = (Connection *)watcher->data;
    while (connection->waiting.size () < 32768)
      connection->waiting += connection->server->more;
    ssize_t size
        = ::send (watcher->fd, connection->waiting.data (),
                  connection->waiting.size (), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size >= 0)
      {
        connection->server->sent += (size_t)size;
        connection->waiting.erase (0, size);
      }
    else if (errno != EAGAIN)
      {
        connection->server->closed++;
        end (connection);
      }
  }
};

/* What the sockets between hold comes on top of what is taken in.  */
const size_t ENOUGH_BYTES = 64 << 20;

struct EndlessRow
{
  const char *name;
  const char *head;
  const char *more;
};

class WithoutEnd : public Loop, public testing::WithParamInterface<EndlessRow>
{
protected:
  policy_t *policy = nullptr;
  std::unique_ptr<Endless> backend;
  std::unique_ptr<Sidecar> a;

  void
  SetUp () override
  {
    Loop::SetUp ();
    error_info_t error = {};
    policy = platform_parse_policy (POLICY, strlen (POLICY), &error);
    backend = std::make_unique<Endless> (&loop, GetParam ().head,
                                         GetParam ().more);
    a = std::make_unique<Sidecar> (&loop, &rng, &log, "s", backend->port (),
                                   101);
    a->serve_own_callers (policy);
  }
  void
  TearDown () override
  {
    a.reset ();
    backend.reset ();
    policy_free (policy);
    Loop::TearDown ();
  }
  std::string
  request (const char *line)
  {
    return std::string (line)
           + " HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 500\r\n"
             "X-Attempt-Id: id-1\r\n\r\n";
  }
  bool
  is_over ()
  {
    return backend->answered > 0 && backend->closed == backend->answered
           && runner_server_load (a->runner).running == 0;
  }
  void
  expect_an_end_of (const char *line)
  {
    Caller caller (http_server_port (a->callers));
    caller.send (request (line));
    EXPECT_TRUE (wait (
        [&] { return caller.has ("HTTP/1.1 50") || caller.is_over (); }));
    EXPECT_TRUE (wait ([&] { return is_over (); }));
  }
};

TEST_P (WithoutEnd, EndsForTheReaderAndTheServer)
{
  expect_an_end_of ("GET /read/1");
}

TEST_P (WithoutEnd, EndsForTheBookingAndTheServer)
{
  expect_an_end_of ("POST /book/1");
}

TEST_P (WithoutEnd, EndsWhenTheCallerOfABookingLeaves)
{
  Caller caller (http_server_port (a->callers));
  caller.send (request ("POST /book/1"));
  ASSERT_TRUE (wait ([&] { return backend->answered == 1; }));
  caller.shut ();
  EXPECT_TRUE (wait ([&] { return is_over (); }));
}

TEST_P (WithoutEnd, EndsForAHealthCheck)
{
  runner_probe (
      a->runner, "/health", [] (void *, const server_health_reply_t *) {},
      nullptr);
  EXPECT_TRUE (wait ([&] { return backend->closed == 1; }));
  EXPECT_LT (backend->sent, ENOUGH_BYTES);
}

TEST_P (WithoutEnd, EndsForAReaderOfTheStore)
{
  store_t *store = store_new (&loop, platform_dialect (),
                              loopback (backend->port ()), &rng, &log);
  store_handler_t handler
      = { [] (void *) {}, [] (void *, const keyed_record_t *) {},
          [] (void *, int64_t) {}, nullptr };
  store_subscribe (store, "topic", STORE_LONG_POLL, &handler);
  EXPECT_TRUE (wait ([&] { return backend->closed == 1; }));
  EXPECT_LT (backend->sent, ENOUGH_BYTES);
  EXPECT_FALSE (store_stats (store).reachable);
  store_free (store);
}

const EndlessRow endless_rows[] = {
  { "NoAnswer", "", "\x16\x03\x01\x02" },
  { "EmptyLines", "", "\r\n" },
  { "Fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
  { "OneField", "HTTP/1.1 200 OK\r\nX: ", "y" },
  { "Interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "BodyOfAnother",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\n"
    "X-Server-Signature: s\r\n\r\n",
    "body" },
  { "ChunksOfAnother",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\n"
    "X-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "4\r\nbody\r\n" },
  { "Body",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
    "X-Server-Signature: s\r\n\r\n",
    "body" },
  { "Trailer",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
    "X-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X: y\r\n" },
};

INSTANTIATE_TEST_SUITE_P (Table, WithoutEnd, testing::ValuesIn (endless_rows),
                          [] (const auto &row) {
                            return std::string (row.param.name);
                          });
}
