#include "edge/backend_watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time between two health checks while the server is not available, and
     while it is.  Both are short enough to notice a cold start in time.  */
  PROBE_UNAVAILABLE_INTERVAL_US = 100 * US_PER_MS,
  PROBE_AVAILABLE_INTERVAL_US = 500 * US_PER_MS,
  /* After this time the next check is sent even if the last one has no
     result.  */
  PROBE_RETRY_US = 2 * US_PER_S
};

struct backend_watch_t
{
  loop_t *loop;
  const dialect_t *dialect;
  runner_t *runner;
  event_log_t *log;
  void (*on_changed) (void *ctx);
  void *ctx;
  server_view_t view;
  char health_path[PATH_BYTES]; /* "" before the first configuration */
  double cold_start_rate_per_s;
  /* backend_watch_set_service has been called with a service, not NULL.  */
  bool configured;
  bool zone_out;
  bool closed; /* by a roll-out */
  bool probe_pending;
  bool was_cold;
  int64_t probe_sent_us; /* time of the last check; 0 makes one due at once */
};

/* Whether requests may be sent to the server.  Before the first configuration
   neither its request rate during a cold start is known, nor whether its zone
   is out.  */
static bool
is_usable (const backend_watch_t *watch)
{
  return watch->configured && server_view_is_available (&watch->view);
}

/* Passes the state of the server to the runner.  */
static void
update_runner (backend_watch_t *watch)
{
  const server_view_t *view = &watch->view;
  intake_server_t server = {
    .slots = view->slots,
    .available = is_usable (watch),
    .leaving = view->leaving || view->gone || watch->closed,
    .zone_out = watch->zone_out,
    .cold_start_until_us = server_view_cold_start_until_us (view),
    .cold_start_rate_per_s = watch->cold_start_rate_per_s,
  };
  runner_set_server (watch->runner, &server, view->id);
}

static void
log_view (backend_watch_t *watch, const char *event, const char *source)
{
  const server_view_t *view = &watch->view;
  int64_t cold_start_left_us
      = server_view_cold_start_until_us (view) - watch->loop->now_us;
  event_log_write (
      watch->log, EVENT_STATE_CHANGE, event,
      "source=%s server=%s born=%llu sequence=%llu slots=%u well=%d "
      "leaving=%d gone=%d cold-ms=%lld zone-out=%d version=%s closed=%d",
      source, view->id, (unsigned long long)view->started_unix_ms,
      (unsigned long long)view->sequence, view->slots, view->confirmed,
      view->leaving, view->gone,
      (long long)(cold_start_left_us > 0 ? cold_start_left_us / US_PER_MS : 0),
      watch->zone_out, view->version, watch->closed);
}

static void
apply_change (backend_watch_t *watch, const char *source)
{
  log_view (watch, "backend-changed", source);
  update_runner (watch);
  watch->on_changed (watch->ctx);
}

/* Passes an update on to the runner, but not to on_changed: the time left of a
   cold start differs in each message of the server, which is no change for
   other sidecars.  Only the beginning and the end of a cold start are
   logged.  */
static void
apply_refresh (backend_watch_t *watch, const char *source)
{
  bool cold
      = server_view_cold_start_until_us (&watch->view) > watch->loop->now_us;
  if (cold != watch->was_cold)
    log_view (watch, cold ? "backend-cold" : "backend-warm", source);
  watch->was_cold = cold;
  update_runner (watch);
}

/* --- announcements ----------------------------------------------------- */

static void
apply_announcement (backend_watch_t *watch,
                    const server_announcement_t *announcement)
{
  uint64_t started_unix_ms = watch->view.started_unix_ms;
  bool was_confirmed = watch->view.confirmed;
  switch (server_view_apply_announcement (&watch->view, announcement,
                                          watch->loop->now_us))
    {
    case ANNOUNCEMENT_CHANGED:
      if (watch->view.started_unix_ms != started_unix_ms)
        runner_record_crash (watch->runner);
      apply_change (watch, "announcement");
      break;
    case ANNOUNCEMENT_UNCHANGED:
      apply_refresh (watch, "announcement");
      break;
    case ANNOUNCEMENT_STALE:
    case ANNOUNCEMENT_WRONG_SERVICE:
      event_log_write (watch->log, EVENT_STATE_CHANGE, "announcement-ignored",
                       "server=%s service=%s born=%llu sequence=%llu known=%s",
                       announcement->id, announcement->service,
                       (unsigned long long)announcement->started_unix_ms,
                       (unsigned long long)announcement->sequence,
                       watch->view.id);
      if (was_confirmed && !watch->view.confirmed)
        apply_change (watch, "announcement");
      break;
    }
}

static void
on_request (void *ctx, http_exchange_t *http)
{
  backend_watch_t *watch = ctx;
  const dialect_t *dialect = watch->dialect;
  const char *target = bytes_data (&http->target);
  error_info_t error = { .kind = ERROR_NONE };
  server_announcement_t announcement;
  static const char json[] = "Content-Type: application/json\r\n";

  if (!dialect->is_announcement (http->method, target))
    {
      http_respond (http, 404, NULL, 0, NULL, 0);
      return;
    }
  if (!dialect->parse_announcement (
          http->method, target, bytes_data (&http->body),
          bytes_size (&http->body), &announcement, &error))
    {
      event_log_write (watch->log, EVENT_STATE_CHANGE,
                       "announcement-unreadable", "at=\"%s\" error=\"%s\"",
                       error.path, error.message);
      http_respond (http, 400, NULL, 0, error.message, strlen (error.message));
      return;
    }
  apply_announcement (watch, &announcement);
  if (!server_view_is_available (&watch->view))
    {
      watch->probe_sent_us = 0;
      backend_watch_tick (watch);
    }
  http_respond (http, 200, json, sizeof json - 1, "{}", 2);
}

static void
ignore_caller_gone (void *ctx, http_exchange_t *http)
{
  (void)ctx;
  (void)http;
}

http_handler_t
backend_watch_handler (backend_watch_t *watch)
{
  return (http_handler_t){ on_request, ignore_caller_gone, NULL, NULL, NULL,
                           watch };
}

/* --- health checks ----------------------------------------------------- */

/* Logs that the instance of PROBE has passed a health check but is not used,
   as it has not announced itself.  Once for each instance.  */
static void
log_unannounced (backend_watch_t *watch, const server_health_reply_t *probe)
{
  const server_view_t *view = &watch->view;
  if (!probe->healthy || strcmp (probe->id, view->id) == 0
      || strcmp (probe->id, view->passed_id) == 0)
    return;
  event_log_write (watch->log, EVENT_STATE_CHANGE, "instance-unannounced",
                   "server=%s known=%s", probe->id, view->id);
}

static void
on_probe_result (void *ctx, const server_health_reply_t *probe)
{
  backend_watch_t *watch = ctx;
  watch->probe_pending = false;
  log_unannounced (watch, probe);
  bool was_confirmed = watch->view.confirmed;
  bool changed
      = server_view_apply_probe (&watch->view, probe, watch->loop->now_us);
  if (was_confirmed && !watch->view.confirmed)
    runner_record_crash (watch->runner); /* another instance has replied */
  if (changed)
    apply_change (watch, "health-check");
  else if (probe->cold_start_left_us >= 0)
    apply_refresh (watch, "health-check");
}

void
backend_watch_tick (backend_watch_t *watch)
{
  int64_t age_us = watch->loop->now_us - watch->probe_sent_us;
  bool available = server_view_is_available (&watch->view);
  if (watch->health_path[0] == '\0'
      || age_us < (available ? PROBE_AVAILABLE_INTERVAL_US
                             : PROBE_UNAVAILABLE_INTERVAL_US)
      || (watch->probe_pending && age_us < PROBE_RETRY_US))
    return;
  watch->probe_pending = true;
  watch->probe_sent_us = watch->loop->now_us;
  runner_probe (watch->runner, watch->health_path, on_probe_result, watch);
}

/* ----------------------------------------------------------------------- */

void
backend_watch_mark_unreachable (backend_watch_t *watch, const char *server_id)
{
  bool was_confirmed = watch->view.confirmed;
  server_view_require_check (&watch->view, watch->loop->now_us);
  if (!was_confirmed)
    return;
  watch->probe_sent_us = 0;
  apply_change (watch, server_id != NULL ? "wrong-instance" : "unreachable");
}

void
backend_watch_set_zone_out (backend_watch_t *watch, bool out)
{
  if (watch->zone_out == out)
    return;
  watch->zone_out = out;
  /* The server may have become cold while its zone was out, so it is checked
     before requests are sent to it.  */
  if (!out)
    {
      server_view_require_check (&watch->view, watch->loop->now_us);
      watch->probe_sent_us = 0;
    }
  apply_change (watch, "operator");
}

void
backend_watch_set_closed (backend_watch_t *watch, bool closed)
{
  if (watch->closed == closed)
    return;
  watch->closed = closed;
  apply_change (watch, "rollout");
}

void
backend_watch_set_service (backend_watch_t *watch,
                           const policy_service_t *service)
{
  if (service == NULL)
    return;
  snprintf (watch->health_path, sizeof watch->health_path, "%s",
            service->health_path);
  watch->cold_start_rate_per_s = service->cold_start_rate_per_s;
  bool first = !watch->configured;
  watch->configured = true;
  if (first)
    apply_change (watch, "configuration");
  else
    update_runner (watch);
}

const server_view_t *
backend_watch_view (const backend_watch_t *watch)
{
  return &watch->view;
}

bool
backend_watch_is_accepting (const backend_watch_t *watch)
{
  return is_usable (watch) && !watch->view.leaving && !watch->zone_out
         && !watch->closed;
}

backend_watch_t *
backend_watch_new (loop_t *loop, const dialect_t *dialect, runner_t *runner,
                   const char *service, event_log_t *log,
                   void (*on_changed) (void *ctx), void *ctx)
{
  backend_watch_t *watch = calloc (1, sizeof *watch);
  if (watch == NULL)
    abort ();
  watch->loop = loop;
  watch->dialect = dialect;
  watch->runner = runner;
  watch->log = log;
  watch->on_changed = on_changed;
  watch->ctx = ctx;
  server_view_init (&watch->view, service);
  return watch;
}

void
backend_watch_free (backend_watch_t *watch)
{
  free (watch);
}
