#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support_store.h"

enum
{
  BEAT_US = 500 * US_PER_MS,
  GUARD_US = 10 * US_PER_MS,     /* between two looks at the memory */
  RESTART_US = 500 * US_PER_MS,  /* after the end of a process */
  LINKING_US = 2500 * US_PER_MS, /* until all sidecars know each other */
  START_US = 15 * US_PER_S,
  ADDRS_MAX = FLEET_SIDECARS_MAX * 6
};

typedef struct sidecar_t
{
  fleet_t *fleet;
  int number;
  pid_t pid; /* 0 when not running */
  int64_t ended_us;
  char settings[320]; /* path */
  endpoint_addr_t callers;
  endpoint_addr_t ready;
  endpoint_addr_t announce;
  endpoint_addr_t peer;
  endpoint_addr_t metrics;
  endpoint_addr_t backend_addr;
  http_client_t *caller;
  http_client_t *announcer;
  http_client_t *checker;
  bool is_ready;
  uint32_t memory_kills;
  uint64_t memory_peak;
  /* The backend server beside it.  */
  http_server_t *backend;
  uint64_t sequence;
  uint64_t born_ms;
  uint32_t running;
} sidecar_t;

/* One run at a backend server.  */
typedef struct run_at_server_t
{
  sidecar_t *at;
  http_exchange_t *http;
  char attempt_id[64];
  fleet_work_t work;
  ev_timer timer;
} run_at_server_t;

struct fleet_t
{
  loop_t loop;
  fleet_plan_t plan;
  FILE *record;
  int64_t started_us;
  char dir[256];
  fake_store_t *store;
  sidecar_t sidecars[FLEET_SIDECARS_MAX];
  int reserved[ADDRS_MAX]; /* sockets */
  uint32_t reserved_count;
  fleet_request_t *requests;
  uint32_t request_count;
  char *filler; /* of bodies */
  size_t filler_bytes;
  ev_timer beat;
  ev_timer guard;
  ev_timer end;
  bool closing; /* nothing more is recorded */
};

void
fleet_note (fleet_t *fleet, const char *format, ...)
{
  va_list args;
  if (fleet->closing)
    return;
  fprintf (fleet->record, "%9.3f ",
           (double)(clock_now_us (fleet->loop.clock) - fleet->started_us)
               / US_PER_S);
  va_start (args, format);
  vfprintf (fleet->record, format, args);
  va_end (args);
  fputc ('\n', fleet->record);
}

bool
fleet_has_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");
  return trouble == NULL || strcmp (trouble, "0") != 0;
}

/* --- backend servers --------------------------------------------------- */

static bool
field_text (const http_exchange_t *http, const char *name, char *to,
            size_t size)
{
  const field_t *field = fields_find (&http->fields, name);
  to[0] = '\0';
  return field != NULL && field_copy_value (&http->fields, field, to, size);
}

static const char *
filler (fleet_t *fleet, size_t bytes)
{
  if (bytes <= fleet->filler_bytes)
    return fleet->filler;
  fleet->filler = realloc (fleet->filler, bytes);
  if (fleet->filler == NULL)
    abort ();
  memset (fleet->filler, 'r', bytes);
  fleet->filler_bytes = bytes;
  return fleet->filler;
}

static void
on_run_done (struct ev_loop *ev, ev_timer *timer, int events)
{
  run_at_server_t *run = timer->data;
  sidecar_t *at = run->at;
  char headers[256];
  (void)events;
  ev_timer_stop (ev, timer);
  at->running--;
  int size = snprintf (headers, sizeof headers,
                       "X-Attempt-Id: %s\r\nX-Server-Signature: s.%s\r\n"
                       "X-Server-Load: %u,0,%u\r\n",
                       run->attempt_id, run->attempt_id, at->running,
                       at->fleet->plan.slots);
  run->http->user_data = NULL;
  const char *body = filler (at->fleet, run->work.reply_bytes);
  if (run->work.break_off_bytes > 0)
    {
      fleet_note (at->fleet, "%s: server %d breaks its answer off",
                  run->attempt_id, at->number);
      http_start_response (run->http, 200, headers, (size_t)size,
                           (int64_t)run->work.reply_bytes);
      http_write_body (run->http, body, run->work.break_off_bytes);
      http_abort_response (run->http);
    }
  else
    http_respond (run->http, 200, headers, (size_t)size, body,
                  run->work.reply_bytes);
  free (run);
}

/* A server drops a request when its connection closes.  */
static void
on_backend_gone (void *ctx, http_exchange_t *http)
{
  run_at_server_t *run = http->user_data;
  sidecar_t *at = ctx;
  uint32_t number;
  if (run == NULL)
    return;
  if (sscanf (run->attempt_id, "a%u", &number) == 1
      && number < at->fleet->request_count)
    at->fleet->requests[number].broken_off = true;
  fleet_note (at->fleet, "%s: server %d drops it", run->attempt_id,
              at->number);
  ev_timer_stop (at->fleet->loop.ev, &run->timer);
  at->running--;
  free (run);
}

static void
start_run (sidecar_t *at, http_exchange_t *http, const char *attempt_id)
{
  fleet_t *fleet = at->fleet;
  uint32_t number = 0;
  fleet_work_t work = fleet->plan.work (fleet->plan.ctx, at->number,
                                        bytes_data (&http->target));
  if (sscanf (attempt_id, "a%u", &number) == 1
      && number < fleet->request_count)
    {
      fleet->requests[number].runs++;
      fleet->requests[number].run_us = fleet->loop.now_us;
    }
  fleet_note (fleet, "%s: server %d runs it for %lld ms, %u running",
              attempt_id, at->number, (long long)(work.work_us / US_PER_MS),
              at->running + 1);
  run_at_server_t *run = calloc (1, sizeof *run);
  if (run == NULL)
    abort ();
  *run = (run_at_server_t){ .at = at, .http = http, .work = work };
  snprintf (run->attempt_id, sizeof run->attempt_id, "%s", attempt_id);
  http->user_data = run;
  at->running++;
  ev_timer_init (&run->timer, on_run_done, 0, 0);
  run->timer.data = run;
  loop_start_timer (&fleet->loop, &run->timer, work.work_us);
}

static void
on_backend_request (void *ctx, http_exchange_t *http)
{
  sidecar_t *at = ctx;
  char id[64];
  char text[128];
  snprintf (id, sizeof id, "i-%d", at->number);
  http->user_data = NULL;
  int size = snprintf (text, sizeof text,
                       "X-Instance-Id: %s\r\nX-Server-Load: %u,0,%u\r\n", id,
                       at->running, at->fleet->plan.slots);
  if (strcmp (bytes_data (&http->target), "/health") == 0)
    {
      http_respond (http, 200, text, (size_t)size, NULL, 0);
      return;
    }
  char expected[64];
  char attempt_id[64];
  if (field_text (http, "X-Expected-Instance", expected, sizeof expected)
      && strcmp (expected, id) != 0)
    {
      http_respond (http, 421, text, (size_t)size, NULL, 0);
      return;
    }
  bool has_id
      = field_text (http, "X-Attempt-Id", attempt_id, sizeof attempt_id);
  if (has_id && at->running < at->fleet->plan.slots)
    {
      start_run (at, http, attempt_id);
      return;
    }
  size = snprintf (text, sizeof text, "X-Not-Executed: 1\r\n%s%s%s",
                   has_id ? "X-Attempt-Id: " : "", attempt_id,
                   has_id ? "\r\n" : "");
  http_respond (http, has_id ? 503 : 400, text, (size_t)size, NULL, 0);
}

static const http_limits_t server_limits = {
  .header_bytes = 64 * 1024,
  .body_bytes = 64 * 1024 * 1024,
  .header_timeout_us = 10 * US_PER_S,
  .body_timeout_us = 10 * US_PER_S,
  .idle_timeout_us = 10 * US_PER_S,
  .pipelined_requests = 4,
  .total_body_bytes = 2048LL * 1024 * 1024,
  .unread_bytes = 1024 * 1024,
};

/* --- sidecar processes ------------------------------------------------- */

/* A port that the kernel chooses and gives to nobody else: it stays bound
   here, without listening.  */
static endpoint_addr_t
reserve_addr (fleet_t *fleet)
{
  int on = 1;
  struct sockaddr_in at
      = loop_sockaddr ((endpoint_addr_t){ INADDR_LOOPBACK, 0 });
  socklen_t size = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || fleet->reserved_count == ADDRS_MAX
      || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || getsockname (fd, (struct sockaddr *)&at, &size) != 0)
    abort ();
  fleet->reserved[fleet->reserved_count++] = fd;
  return (endpoint_addr_t){ INADDR_LOOPBACK, ntohs (at.sin_port) };
}

/* The settings file that the platform makes from the deploy file's template.
 */
static void
write_settings (const sidecar_t *at)
{
  const fleet_t *fleet = at->fleet;
  FILE *file = fopen (at->settings, "w");
  if (file == NULL)
    abort ();
  fprintf (file,
           "{\"node\":\"sidecar-%d\",\"zone\":\"rennes\",\"service\":\"%s\","
           "\"callers\":\"127.0.0.1:%u\",\"ready\":\"127.0.0.1:%u\","
           "\"announce\":\"127.0.0.1:%u\",\"peer\":\"127.0.0.1:%u\","
           "\"metrics\":\"127.0.0.1:%u\",\"backend\":\"127.0.0.1:%u\","
           "\"store\":\"127.0.0.1:%u\",\"stop_s\":6,\"retry_share\":0.2,"
           "\"retry_reserve\":48,\"rate_window_s\":5,"
           "\"descriptors_max\":4100,\"memory_mb\":%u}\n",
           at->number, fleet->plan.services[at->number], at->callers.port,
           at->ready.port, at->announce.port, at->peer.port, at->metrics.port,
           at->backend_addr.port, fake_store_port (fleet->store),
           fleet->plan.memory_mb);
  fclose (file);
}

static void
start_process (sidecar_t *at)
{
  char log_path[320];
  char variable[400];
  snprintf (log_path, sizeof log_path, "%s/sidecar-%d.log", at->fleet->dir,
            at->number);
  snprintf (variable, sizeof variable, "REDWINGFORD_NODE_FILE=%s",
            at->settings);
  pid_t parent = getpid ();
  pid_t pid = fork ();
  if (pid < 0)
    abort ();
  if (pid > 0)
    {
      at->pid = pid;
      fleet_note (at->fleet, "sidecar %d starts as process %d", at->number,
                  (int)pid);
      return;
    }
  char *const args[] = { "target/redwingford", "sidecar", "--settings-from",
                         "REDWINGFORD_NODE_FILE", NULL };
  char *const env[] = { variable, NULL };
  int log = open (log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (log < 0 || prctl (PR_SET_PDEATHSIG, SIGKILL) != 0
      || getppid () != parent)
    _exit (127);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  execve (args[0], args, env);
  _exit (127);
}

static uint64_t
resident_bytes (pid_t pid)
{
  char path[64];
  unsigned long long size = 0;
  unsigned long long resident = 0;
  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%llu %llu", &size, &resident) != 2)
    resident = 0;
  fclose (file);
  return resident * (uint64_t)sysconf (_SC_PAGESIZE);
}

/* The platform: kills a process that exceeds its memory, and restarts one that
   has ended.  */
static void
guard_process (sidecar_t *at)
{
  fleet_t *fleet = at->fleet;
  int status;
  if (at->pid == 0)
    {
      if (fleet->loop.now_us - at->ended_us >= RESTART_US)
        start_process (at);
      return;
    }
  if (waitpid (at->pid, &status, WNOHANG) == at->pid)
    {
      fleet_note (fleet, "sidecar %d ended: signal %d, status %d", at->number,
                  WIFSIGNALED (status) ? WTERMSIG (status) : 0,
                  WIFEXITED (status) ? WEXITSTATUS (status) : 0);
      at->pid = 0;
      at->ended_us = fleet->loop.now_us;
      return;
    }
  uint64_t resident = resident_bytes (at->pid);
  if (resident > at->memory_peak)
    at->memory_peak = resident;
  if (resident <= (uint64_t)fleet->plan.memory_mb * 1024 * 1024)
    return;
  at->memory_kills++;
  fleet_note (fleet, "sidecar %d holds %llu MB of %u: the platform kills it",
              at->number, (unsigned long long)(resident >> 20),
              fleet->plan.memory_mb);
  kill (at->pid, SIGKILL);
}

static void
on_guard (struct ev_loop *ev, ev_timer *timer, int events)
{
  fleet_t *fleet = timer->data;
  (void)ev;
  (void)events;
  for (uint32_t i = 0; i < fleet->plan.count; i++)
    guard_process (&fleet->sidecars[i]);
  loop_start_timer (&fleet->loop, timer, GUARD_US);
}

/* --- the platform's calls ---------------------------------------------- */

static http_verdict_t
ignore_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  (void)ctx;
  (void)status;
  (void)fields;
  (void)length;
  return HTTP_VERDICT_ACCEPT;
}

static void
ignore_body (void *ctx, const char *data, size_t size)
{
  (void)ctx;
  (void)data;
  (void)size;
}

static void
ignore_end (void *ctx)
{
  (void)ctx;
}

static void
ignore_failure (void *ctx, http_failure_t failure)
{
  (void)ctx;
  (void)failure;
}

static void
send_heartbeat (sidecar_t *at)
{
  static const http_response_handler_t handler
      = { ignore_head, ignore_body, ignore_end, ignore_failure, NULL };
  bytes_t head = { 0 };
  char body[320];
  int size = snprintf (
      body, sizeof body,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"rennes\","
      "\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
      "\"coldRemainingS\":0,\"sequence\":%llu,\"born\":%llu}",
      at->fleet->plan.services[at->number], at->backend_addr.port,
      at->fleet->plan.slots, (unsigned long long)++at->sequence,
      (unsigned long long)at->born_ms);
  bytes_append_format (
      &head,
      "PUT /-/instances/i-%d HTTP/1.1\r\nHost: control\r\n"
      "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n",
      at->number, size);
  http_request_t request
      = { .head = bytes_data (&head),
          .head_size = bytes_size (&head),
          .body = body,
          .body_size = (size_t)size,
          .deadline_us = at->fleet->loop.now_us + US_PER_S };
  http_client_call (at->announcer, &request, &handler);
  bytes_free (&head);
}

static http_verdict_t
on_ready_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  sidecar_t *at = ctx;
  (void)fields;
  (void)length;
  at->is_ready = status == 200;
  return HTTP_VERDICT_ACCEPT;
}

static void
on_ready_failure (void *ctx, http_failure_t failure)
{
  sidecar_t *at = ctx;
  (void)failure;
  at->is_ready = false;
}

static void
check_ready (sidecar_t *at)
{
  static const char text[] = "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
  http_response_handler_t handler
      = { on_ready_head, ignore_body, ignore_end, on_ready_failure, at };
  http_request_t request
      = { .head = text,
          .head_size = sizeof text - 1,
          .deadline_us = at->fleet->loop.now_us + US_PER_S };
  http_client_call (at->checker, &request, &handler);
}

static void
on_beat (struct ev_loop *ev, ev_timer *timer, int events)
{
  fleet_t *fleet = timer->data;
  (void)ev;
  (void)events;
  for (uint32_t i = 0; i < fleet->plan.count; i++)
    if (fleet->sidecars[i].pid != 0)
      {
        send_heartbeat (&fleet->sidecars[i]);
        check_ready (&fleet->sidecars[i]);
      }
  loop_start_timer (&fleet->loop, timer, BEAT_US);
}

/* --- callers ----------------------------------------------------------- */

static const char *const end_names[] = {
  [FLEET_OPEN] = "open",
  [FLEET_ANSWERED] = "answered",
  [FLEET_CUT_KEPT] = "kept connection ended, no answer",
  [FLEET_CUT] = "connection ended, no answer",
  [FLEET_LEFT] = "caller left at its deadline",
  [FLEET_UNSENT] = "no connection",
};

void
fleet_end_request (fleet_request_t *request, fleet_end_t end)
{
  request->end = end;
  request->call = NULL;
  fleet_note (request->fleet, "a%u: %s, status %d, %zu bytes, %u runs",
              request->number, end_names[end], request->status,
              request->reply_bytes, request->runs);
  if (request->on_end != NULL)
    request->on_end (request->ctx, request);
}

static http_verdict_t
on_answer_head (void *ctx, int status, const fields_t *fields, int64_t length)
{
  fleet_request_t *request = ctx;
  (void)length;
  request->status = status;
  request->has_signature = fields_find (fields, "X-Server-Signature") != NULL;
  return HTTP_VERDICT_ACCEPT;
}

static void
on_answer_body (void *ctx, const char *data, size_t size)
{
  fleet_request_t *request = ctx;
  (void)data;
  request->reply_bytes += size;
}

static void
on_answer_end (void *ctx)
{
  fleet_end_request (ctx, FLEET_ANSWERED);
}

static void
on_answer_failure (void *ctx, http_failure_t failure)
{
  fleet_request_t *request = ctx;
  fleet_end_t end = failure == HTTP_FAILURE_STALE       ? FLEET_CUT_KEPT
                    : failure == HTTP_FAILURE_CONNECT   ? FLEET_UNSENT
                    : failure == HTTP_FAILURE_NO_SOCKET ? FLEET_UNSENT
                    : failure == HTTP_FAILURE_DEADLINE  ? FLEET_LEFT
                                                        : FLEET_CUT;
  fleet_end_request (request, end);
}

fleet_request_t *
fleet_add_request (fleet_t *fleet, int at, const char *path)
{
  if (fleet->request_count == FLEET_REQUESTS_MAX)
    return NULL;
  fleet_request_t *request = &fleet->requests[fleet->request_count];
  *request = (fleet_request_t){ .fleet = fleet,
                                .number = fleet->request_count++,
                                .at = at,
                                .path = path,
                                .sent_us = fleet->loop.now_us };
  fleet_note (fleet, "a%u: %s to sidecar %d", request->number, path, at);
  return request;
}

endpoint_addr_t
fleet_callers_addr (const fleet_t *fleet, int at)
{
  return fleet->sidecars[at].callers;
}

const fleet_request_t *
fleet_send (fleet_t *fleet, int at, const char *method, const char *path,
            size_t body_bytes, uint32_t timeout_ms,
            void (*on_end) (void *ctx, const fleet_request_t *request),
            void *ctx)
{
  fleet_request_t *request = fleet_add_request (fleet, at, path);
  if (request == NULL)
    return NULL;
  request->body_bytes = body_bytes;
  request->on_end = on_end;
  request->ctx = ctx;
  bytes_t head = { 0 };
  bytes_append_format (&head,
                       "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
                       "X-Attempt-Id: a%u\r\nX-Timeout-Ms: %u\r\n",
                       method, path, request->number, timeout_ms);
  if (body_bytes > 0)
    bytes_append_format (&head, "Content-Length: %zu\r\n", body_bytes);
  bytes_append_text (&head, "\r\n");
  fleet_note (fleet, "a%u: %s, %zu bytes, %u ms", request->number, method,
              body_bytes, timeout_ms);
  http_request_t call
      = { .head = bytes_data (&head),
          .head_size = bytes_size (&head),
          .body = filler (fleet, body_bytes),
          .body_size = body_bytes,
          .deadline_us = fleet->loop.now_us + timeout_ms * US_PER_MS };
  http_response_handler_t handler
      = { on_answer_head, on_answer_body, on_answer_end, on_answer_failure,
          request };
  request->call
      = http_client_call (fleet->sidecars[at].caller, &call, &handler);
  bytes_free (&head);
  return request;
}

const fleet_request_t *
fleet_request (const fleet_t *fleet, uint32_t number)
{
  return &fleet->requests[number];
}

uint32_t
fleet_request_count (const fleet_t *fleet)
{
  return fleet->request_count;
}

uint32_t
fleet_memory_kills (const fleet_t *fleet, int at)
{
  return fleet->sidecars[at].memory_kills;
}

uint64_t
fleet_memory_peak (const fleet_t *fleet, int at)
{
  return fleet->sidecars[at].memory_peak;
}

/* --- the fleet --------------------------------------------------------- */

loop_t *
fleet_loop (fleet_t *fleet)
{
  return &fleet->loop;
}

void
fleet_terminate (fleet_t *fleet, int at)
{
  fleet_note (fleet, "SIGTERM for sidecar %d", at);
  if (fleet->sidecars[at].pid != 0)
    kill (fleet->sidecars[at].pid, SIGTERM);
}

static void
on_end_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  (void)events;
  ev_timer_stop (ev, timer);
  ev_break (ev, EVBREAK_ALL);
}

void
fleet_run (fleet_t *fleet, int64_t us)
{
  loop_start_timer (&fleet->loop, &fleet->end, us);
  ev_run (fleet->loop.ev, 0);
}

static void
start_timer (fleet_t *fleet, ev_timer *timer,
             void (*callback) (struct ev_loop *, ev_timer *, int),
             int64_t after_us)
{
  ev_timer_init (timer, callback, 0, 0);
  timer->data = fleet;
  if (after_us > 0)
    loop_start_timer (&fleet->loop, timer, after_us);
}

static bool
open_sidecar (fleet_t *fleet, int number)
{
  static const http_client_options_t options
      = { US_PER_S, 8 * US_PER_S, 5000 };
  sidecar_t *at = &fleet->sidecars[number];
  error_info_t error = { .kind = ERROR_NONE };
  http_handler_t handler
      = { on_backend_request, on_backend_gone, NULL, NULL, NULL, at };
  at->fleet = fleet;
  at->number = number;
  at->callers = reserve_addr (fleet);
  at->ready = reserve_addr (fleet);
  at->announce = reserve_addr (fleet);
  at->peer = reserve_addr (fleet);
  at->metrics = reserve_addr (fleet);
  at->backend_addr = reserve_addr (fleet);
  at->born_ms = (uint64_t)clock_wall_ms (fleet->loop.clock);
  snprintf (at->settings, sizeof at->settings, "%s/sidecar-%d.json",
            fleet->dir, number);
  at->backend = http_server_new (&fleet->loop, at->backend_addr,
                                 &server_limits, &handler, &error);
  at->caller = http_client_new (&fleet->loop, at->callers, &options);
  at->announcer = http_client_new (&fleet->loop, at->announce, &options);
  at->checker = http_client_new (&fleet->loop, at->ready, &options);
  write_settings (at);
  return at->backend != NULL;
}

static bool
is_ready (const fleet_t *fleet)
{
  for (uint32_t i = 0; i < fleet->plan.count; i++)
    if (!fleet->sidecars[i].is_ready)
      return false;
  return true;
}

static bool
start_fleet (fleet_t *fleet)
{
  fake_store_put (fleet->store, "keyed.op", "config", fleet->plan.config);
  for (uint32_t i = 0; i < fleet->plan.count; i++)
    if (!open_sidecar (fleet, (int)i))
      return false;
  for (uint32_t i = 0; i < fleet->plan.count; i++)
    start_process (&fleet->sidecars[i]);
  start_timer (fleet, &fleet->beat, on_beat, BEAT_US);
  start_timer (fleet, &fleet->guard, on_guard, GUARD_US);
  int64_t until_us = fleet->loop.now_us + START_US;
  while (!is_ready (fleet) && fleet->loop.now_us < until_us)
    fleet_run (fleet, 100 * US_PER_MS);
  fleet_run (fleet, LINKING_US);
  return is_ready (fleet);
}

fleet_t *
fleet_new (const fleet_plan_t *plan, const char *record_path)
{
  error_info_t error = { .kind = ERROR_NONE };
  const char *tmp = getenv ("TMPDIR");
  fleet_t *fleet = calloc (1, sizeof *fleet);
  if (fleet == NULL)
    abort ();
  fleet->plan = *plan;
  fleet->requests = calloc (FLEET_REQUESTS_MAX, sizeof *fleet->requests);
  fleet->record = fopen (record_path, "w");
  snprintf (fleet->dir, sizeof fleet->dir, "%s/redwingford-review-XXXXXX",
            tmp != NULL ? tmp : "/tmp");
  if (fleet->requests == NULL || fleet->record == NULL
      || mkdtemp (fleet->dir) == NULL
      || access ("target/redwingford", X_OK) != 0
      || !loop_open (&fleet->loop, clock_system (), &error))
    {
      fprintf (stderr, "cannot prepare the fleet; build target/ and run from "
                       "the repository's root\n");
      return NULL;
    }
  signal (SIGPIPE, SIG_IGN);
  fleet->started_us = clock_now_us (fleet->loop.clock);
  start_timer (fleet, &fleet->end, on_end_timer, 0);
  fleet->store = fake_store_new (&fleet->loop);
  if (start_fleet (fleet))
    return fleet;
  fprintf (stderr, "the fleet did not become ready; its logs are in %s\n",
           fleet->dir);
  fleet_free (fleet);
  return NULL;
}

/* Removes the temporary folder, unless the logs are wanted.  */
static void
remove_files (const fleet_t *fleet)
{
  char path[400];
  if (getenv ("KEEP_LOGS") != NULL)
    {
      fprintf (stderr, "logs: %s\n", fleet->dir);
      return;
    }
  for (uint32_t i = 0; i < fleet->plan.count; i++)
    {
      snprintf (path, sizeof path, "%s/sidecar-%u.log", fleet->dir, i);
      unlink (path);
      unlink (fleet->sidecars[i].settings);
    }
  rmdir (fleet->dir);
}

void
fleet_free (fleet_t *fleet)
{
  fleet->closing = true;
  ev_timer_stop (fleet->loop.ev, &fleet->beat);
  ev_timer_stop (fleet->loop.ev, &fleet->guard);
  for (uint32_t i = 0; i < fleet->plan.count; i++)
    if (fleet->sidecars[i].pid != 0)
      {
        kill (fleet->sidecars[i].pid, SIGKILL);
        waitpid (fleet->sidecars[i].pid, NULL, 0);
      }
  for (uint32_t i = 0; i < fleet->plan.count; i++)
    {
      sidecar_t *at = &fleet->sidecars[i];
      http_server_free (at->backend);
      http_client_free (at->caller);
      http_client_free (at->announcer);
      http_client_free (at->checker);
    }
  fake_store_free (fleet->store);
  remove_files (fleet);
  for (uint32_t i = 0; i < fleet->reserved_count; i++)
    close (fleet->reserved[i]);
  loop_close (&fleet->loop);
  fclose (fleet->record);
  free (fleet->filler);
  free (fleet->requests);
  free (fleet);
}
