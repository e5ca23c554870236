#include "mesh/server_view.h"

#include <stdio.h>
#include <string.h>

void
server_view_init (server_view_t *view, const char *service)
{
  *view = (server_view_t){ .reachable = false };
  snprintf (view->service, sizeof view->service, "%s", service);
}

static bool
has_id (const server_view_t *view, const char *id)
{
  return strcmp (view->id, id) == 0;
}

static void
begin_incarnation (server_view_t *view, const char *id,
                   uint64_t started_unix_ms)
{
  snprintf (view->id, sizeof view->id, "%s", id);
  view->started_unix_ms = started_unix_ms;
  view->sequence = 0;
  view->leaving = false;
  view->gone = false;
  view->cold_start_until_us = 0;
}

/* Returns whether an announcement is out of date: a delayed one may arrive
   after those of the server's successor, or after the server announced that it
   has stopped.  */
static bool
is_stale (const server_view_t *view, const server_announcement_t *announcement)
{
  if (view->started_unix_ms > 0 && announcement->started_unix_ms > 0)
    {
      if (announcement->started_unix_ms != view->started_unix_ms)
        return announcement->started_unix_ms < view->started_unix_ms;
      if (has_id (view, announcement->id))
        return view->gone || announcement->sequence <= view->sequence;
      return false;
    }
  if (!has_id (view, announcement->id))
    return false;
  return view->gone || announcement->sequence <= view->sequence;
}

static announcement_result_t
apply_stop_announcement (server_view_t *view,
                         const server_announcement_t *announcement)
{
  if (view->id[0] != '\0' && !has_id (view, announcement->id))
    return ANNOUNCEMENT_STALE;
  bool changed = !view->gone;
  snprintf (view->id, sizeof view->id, "%s", announcement->id);
  view->gone = true;
  view->leaving = true;
  return changed ? ANNOUNCEMENT_CHANGED : ANNOUNCEMENT_UNCHANGED;
}

announcement_result_t
server_view_apply_announcement (server_view_t *view,
                                const server_announcement_t *announcement,
                                int64_t now_us)
{
  if (announcement->state == SERVER_GONE)
    return apply_stop_announcement (view, announcement);
  if (strcmp (announcement->service, view->service) != 0)
    return ANNOUNCEMENT_WRONG_SERVICE;
  if (is_stale (view, announcement))
    return ANNOUNCEMENT_STALE;
  bool is_new = !has_id (view, announcement->id)
                || (view->started_unix_ms > 0
                    && announcement->started_unix_ms > view->started_unix_ms);
  bool first = view->id[0] == '\0';
  bool leaving = announcement->state == SERVER_LEAVING;
  bool changed = is_new || !view->reachable || leaving != view->leaving
                 || announcement->slots != view->slots;
  if (is_new)
    begin_incarnation (view, announcement->id, announcement->started_unix_ms);
  view->started_unix_ms = announcement->started_unix_ms;
  view->sequence = announcement->sequence;
  view->slots = announcement->slots;
  view->leaving = leaving;
  view->confirmed = !first || strcmp (view->passed_id, view->id) == 0;
  view->reachable = view->confirmed || strcmp (view->failed_id, view->id) != 0;
  view->cold_start_until_us = announcement->cold_start_left_us > 0
                                  ? now_us + announcement->cold_start_left_us
                                  : 0;
  return changed ? ANNOUNCEMENT_CHANGED : ANNOUNCEMENT_UNCHANGED;
}

/* The first announcement that this sidecar receives may be a delayed one, of a
   server that has announced its end to an earlier process of this sidecar, so
   it does not outweigh a failed health check.  Later ones do: replies to
   health checks may be wrong.  */
static bool
apply_failed_probe (server_view_t *view, const char *id)
{
  if (view->id[0] == '\0')
    snprintf (view->failed_id, sizeof view->failed_id, "%s", id);
  if (!has_id (view, id) || view->confirmed || !view->reachable)
    return false;
  view->reachable = false;
  return true;
}

/* Another instance replies at the server's address.  A reply names no service,
   and the address of a server that has ended may be used by one of another
   service, so the instance is not used before it announces itself.  */
static bool
apply_unannounced_instance (server_view_t *view, const char *id)
{
  bool changed = view->reachable;
  snprintf (view->passed_id, sizeof view->passed_id, "%s", id);
  view->reachable = false;
  return changed;
}

bool
server_view_apply_probe (server_view_t *view,
                         const server_health_reply_t *probe, int64_t now_us)
{
  if (probe->id[0] == '\0')
    return false;
  if (!probe->healthy)
    return apply_failed_probe (view, probe->id);
  if (!has_id (view, probe->id))
    return apply_unannounced_instance (view, probe->id);
  if (view->gone)
    return false;
  bool changed = !view->reachable;
  /* A leaving server that became unreachable stays so: it takes no new
     requests.  */
  if (changed && view->leaving)
    return false;
  view->reachable = true;
  view->confirmed = true;
  if (probe->cold_start_left_us >= 0)
    view->cold_start_until_us = now_us + probe->cold_start_left_us;
  return changed;
}

void
server_view_mark_unreachable (server_view_t *view)
{
  view->reachable = false;
}
