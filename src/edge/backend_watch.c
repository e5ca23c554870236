#include "edge/backend_watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PROBE_LOST_US = 100 * US_PER_MS, /* while the server is not known */
  PROBE_WELL_US = 500 * US_PER_MS, /* tells of a cold start in time */
  PROBE_ANSWER_US = 2 * US_PER_S   /* then the next one is sent */
};

struct backend_watch_t
{
  loop_t *loop;
  const dialect_t *dialect;
  runner_t *runner;
  event_log_t *log;
  void (*changed) (void *ctx);
  void *ctx;
  server_view_t view;
  char health_path[PATH_BYTES]; /* "" is none yet */
  double cold_per_s;
  bool configured; /* what the server bears is known */
  bool zone_out;
  bool probing;
  bool was_cold;
  int64_t probe_us; /* when the last one was sent */
};

/* Whether the server can be used.  Without a configuration neither the rate
   that it bears while cold is known, nor whether its zone is out.  */
static bool
is_usable (const backend_watch_t *watch)
{
  return watch->configured && server_view_is_available (&watch->view);
}

static void
apply (backend_watch_t *watch)
{
  const server_view_t *view = &watch->view;
  intake_server_t server = {
    .slots = view->slots,
    .available = is_usable (watch),
    .leaving = view->leaving || view->gone,
    .zone_out = watch->zone_out,
    .cold_start_until_us = view->cold_start_until_us,
    .cold_start_rate_per_s = watch->cold_per_s,
  };
  runner_set_server (watch->runner, &server, view->id);
}

static void
log_view (backend_watch_t *watch, const char *event, const char *source)
{
  const server_view_t *view = &watch->view;
  event_log_write (
      watch->log, EVENT_STATE_CHANGE, event,
      "source=%s server=%s born=%llu sequence=%llu slots=%u well=%d "
      "leaving=%d gone=%d cold-ms=%lld zone-out=%d",
      source, view->id, (unsigned long long)view->started_unix_ms,
      (unsigned long long)view->sequence, view->slots, view->reachable,
      view->leaving, view->gone,
      (long long)(view->cold_start_until_us > watch->loop->now_us
                      ? (view->cold_start_until_us - watch->loop->now_us)
                            / US_PER_MS
                      : 0),
      watch->zone_out);
}

static void
changed (backend_watch_t *watch, const char *source)
{
  log_view (watch, "backend-changed", source);
  apply (watch);
  watch->changed (watch->ctx);
}

/* The cold start's length changes with each word of the server; that is no
   change for the others.  */
static void
refresh (backend_watch_t *watch, const char *source)
{
  bool cold = watch->view.cold_start_until_us > watch->loop->now_us;
  if (cold != watch->was_cold)
    log_view (watch, cold ? "backend-cold" : "backend-warm", source);
  watch->was_cold = cold;
  apply (watch);
}

/* --- announcements ----------------------------------------------------- */

static void
take_news (backend_watch_t *watch, const server_announcement_t *news)
{
  switch (
      server_view_apply_announcement (&watch->view, news, watch->loop->now_us))
    {
    case ANNOUNCEMENT_CHANGED:
      changed (watch, "announcement");
      break;
    case ANNOUNCEMENT_UNCHANGED:
      refresh (watch, "announcement");
      break;
    case ANNOUNCEMENT_STALE:
    case ANNOUNCEMENT_WRONG_SERVICE:
      event_log_write (watch->log, EVENT_STATE_CHANGE, "announcement-ignored",
                       "server=%s service=%s born=%llu sequence=%llu known=%s",
                       news->id, news->service,
                       (unsigned long long)news->started_unix_ms,
                       (unsigned long long)news->sequence, watch->view.id);
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
  server_announcement_t news;
  static const char json[] = "Content-Type: application/json\r\n";

  if (!dialect->is_announcement (http->method, target))
    {
      http_respond (http, 404, NULL, 0, NULL, 0);
      return;
    }
  if (!dialect->parse_announcement (http->method, target,
                                    bytes_data (&http->body),
                                    bytes_size (&http->body), &news, &error))
    {
      event_log_write (watch->log, EVENT_STATE_CHANGE,
                       "announcement-unreadable", "at=\"%s\" error=\"%s\"",
                       error.path, error.message);
      http_respond (http, 400, NULL, 0, error.message, strlen (error.message));
      return;
    }
  take_news (watch, &news);
  http_respond (http, 200, json, sizeof json - 1, "{}", 2);
}

static void
on_gone (void *ctx, http_exchange_t *http)
{
  (void)ctx;
  (void)http;
}

http_handler_t
backend_watch_handler (backend_watch_t *watch)
{
  return (http_handler_t){ on_request, on_gone, NULL, watch };
}

/* --- health checks ----------------------------------------------------- */

static void
on_probed (void *ctx, const server_probe_t *probe)
{
  backend_watch_t *watch = ctx;
  watch->probing = false;
  if (server_view_apply_probe (&watch->view, probe, watch->loop->now_us))
    changed (watch, "health-check");
  else if (probe->cold_start_left_us >= 0)
    refresh (watch, "health-check");
}

void
backend_watch_tick (backend_watch_t *watch)
{
  int64_t age_us = watch->loop->now_us - watch->probe_us;
  bool known = server_view_is_available (&watch->view);
  if (watch->health_path[0] == '\0'
      || age_us < (known ? PROBE_WELL_US : PROBE_LOST_US)
      || (watch->probing && age_us < PROBE_ANSWER_US))
    return;
  watch->probing = true;
  watch->probe_us = watch->loop->now_us;
  runner_probe (watch->runner, watch->health_path, on_probed, watch);
}

/* ----------------------------------------------------------------------- */

void
backend_watch_mark_lost (backend_watch_t *watch, const char *server_id)
{
  bool was_well = watch->view.reachable;
  server_view_mark_unreachable (&watch->view);
  watch->probe_us = 0;
  if (was_well)
    changed (watch, server_id != NULL ? "wrong-instance" : "unreachable");
}

void
backend_watch_set_zone_out (backend_watch_t *watch, bool out)
{
  if (watch->zone_out == out)
    return;
  watch->zone_out = out;
  /* It may have fallen cold meanwhile: ask before anything is sent.  */
  if (!out)
    {
      server_view_mark_unreachable (&watch->view);
      watch->probe_us = 0;
    }
  changed (watch, "operator");
}

void
backend_watch_set_service (backend_watch_t *watch,
                           const policy_service_t *service)
{
  if (service == NULL)
    return;
  snprintf (watch->health_path, sizeof watch->health_path, "%s",
            service->health_path);
  watch->cold_per_s = service->cold_start_rate_per_s;
  watch->view.cold_start_us = service->cold_start_us;
  bool first = !watch->configured;
  watch->configured = true;
  if (first)
    changed (watch, "configuration");
  else
    apply (watch);
}

const server_view_t *
backend_watch_view (const backend_watch_t *watch)
{
  return &watch->view;
}

bool
backend_watch_is_accepting (const backend_watch_t *watch)
{
  return is_usable (watch) && !watch->view.leaving && !watch->zone_out;
}

backend_watch_t *
backend_watch_new (loop_t *loop, const dialect_t *dialect, runner_t *runner,
                   const char *service, event_log_t *log,
                   void (*changed_cb) (void *ctx), void *ctx)
{
  backend_watch_t *watch = calloc (1, sizeof *watch);
  if (watch == NULL)
    abort ();
  watch->loop = loop;
  watch->dialect = dialect;
  watch->runner = runner;
  watch->log = log;
  watch->changed = changed_cb;
  watch->ctx = ctx;
  server_view_init (&watch->view, service);
  return watch;
}

void
backend_watch_free (backend_watch_t *watch)
{
  free (watch);
}
