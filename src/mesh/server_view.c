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
is_same (const server_view_t *view, const char *id)
{
  return strcmp (view->id, id) == 0;
}

static void
begin_incarnation (server_view_t *view, const char *id, uint64_t born_ms)
{
  snprintf (view->id, sizeof view->id, "%s", id);
  view->started_unix_ms = born_ms;
  view->sequence = 0;
  view->announced = false;
  view->leaving = false;
  view->gone = false;
  view->cold_until_us = 0;
}

/* A heartbeat that was held up may come after its sender's successor, or
   after its own farewell.  */
static bool
is_stale (const server_view_t *view, const server_announcement_t *news)
{
  if (view->started_unix_ms > 0 && news->started_unix_ms > 0)
    {
      if (news->started_unix_ms != view->started_unix_ms)
        return news->started_unix_ms < view->started_unix_ms;
      if (is_same (view, news->id))
        return view->gone
               || (view->announced && news->sequence <= view->sequence);
      return false;
    }
  if (!is_same (view, news->id))
    return false;
  return view->gone || (view->announced && news->sequence <= view->sequence);
}

static announcement_result_t
farewell (server_view_t *view, const server_announcement_t *news)
{
  if (view->id[0] != '\0' && !is_same (view, news->id))
    return ANNOUNCEMENT_STALE;
  bool changed = !view->gone;
  snprintf (view->id, sizeof view->id, "%s", news->id);
  view->gone = true;
  view->leaving = true;
  return changed ? ANNOUNCEMENT_CHANGED : ANNOUNCEMENT_UNCHANGED;
}

announcement_result_t
server_view_apply_announcement (server_view_t *view,
                                const server_announcement_t *news,
                                int64_t now_us)
{
  if (news->state == SERVER_GONE)
    return farewell (view, news);
  if (strcmp (news->service, view->service) != 0)
    return ANNOUNCEMENT_WRONG_SERVICE;
  if (is_stale (view, news))
    return ANNOUNCEMENT_STALE;
  bool anew = !is_same (view, news->id)
              || (view->started_unix_ms > 0
                  && news->started_unix_ms > view->started_unix_ms);
  bool leaving = news->state == SERVER_LEAVING;
  bool changed = anew || !view->announced || !view->reachable
                 || leaving != view->leaving || news->slots != view->slots;
  if (anew)
    begin_incarnation (view, news->id, news->started_unix_ms);
  view->started_unix_ms = news->started_unix_ms;
  view->sequence = news->sequence;
  view->slots = news->slots;
  view->leaving = leaving;
  view->announced = true;
  view->reachable = true;
  view->cold_until_us
      = news->cold_start_left_us > 0 ? now_us + news->cold_start_left_us : 0;
  return changed ? ANNOUNCEMENT_CHANGED : ANNOUNCEMENT_UNCHANGED;
}

bool
server_view_apply_probe (server_view_t *view, const server_probe_t *probe,
                         int64_t now_us)
{
  /* The announcements decide while they come: health answers may be false. */
  if (!probe->healthy || probe->id[0] == '\0')
    return false;
  if (view->gone && is_same (view, probe->id))
    return false;
  bool anew = !is_same (view, probe->id);
  bool changed = anew || !view->reachable;
  if (anew)
    begin_incarnation (view, probe->id, 0);
  if (changed && view->leaving && !anew)
    return false;
  view->reachable = true;
  if (probe->slots > 0 && !view->announced)
    view->slots = probe->slots;
  if (probe->cold_start_left_us >= 0)
    view->cold_until_us = now_us + probe->cold_start_left_us;
  else if (anew)
    view->cold_until_us = now_us + view->cold_start_us;
  return changed;
}

void
server_view_mark_unreachable (server_view_t *view)
{
  view->reachable = false;
}
