#include "mesh/server_view.h"

#include <stdio.h>
#include <string.h>

void
server_view_init (server_view_t *view, const char *service)
{
  *view = (server_view_t){ .well = false };
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
  view->born_ms = born_ms;
  view->sequence = 0;
  view->told = false;
  view->leaving = false;
  view->gone = false;
  view->cold_until_us = 0;
}

/* A heartbeat that was held up may come after its sender's successor, or
   after its own farewell.  */
static bool
is_stale (const server_view_t *view, const server_news_t *news)
{
  if (view->born_ms > 0 && news->born_ms > 0)
    {
      if (news->born_ms != view->born_ms)
        return news->born_ms < view->born_ms;
      if (is_same (view, news->id))
        return view->gone || (view->told && news->sequence <= view->sequence);
      return false;
    }
  if (!is_same (view, news->id))
    return false;
  return view->gone || (view->told && news->sequence <= view->sequence);
}

static news_verdict_t
farewell (server_view_t *view, const server_news_t *news)
{
  if (view->id[0] != '\0' && !is_same (view, news->id))
    return NEWS_STALE;
  bool changed = !view->gone;
  snprintf (view->id, sizeof view->id, "%s", news->id);
  view->gone = true;
  view->leaving = true;
  return changed ? NEWS_CHANGED : NEWS_TAKEN;
}

news_verdict_t
server_view_news (server_view_t *view, const server_news_t *news,
                  int64_t now_us)
{
  if (news->state == SERVER_GONE)
    return farewell (view, news);
  if (strcmp (news->service, view->service) != 0)
    return NEWS_FOREIGN;
  if (is_stale (view, news))
    return NEWS_STALE;
  bool anew = !is_same (view, news->id)
              || (view->born_ms > 0 && news->born_ms > view->born_ms);
  bool leaving = news->state == SERVER_LEAVING;
  bool changed = anew || !view->told || !view->well || leaving != view->leaving
                 || news->slots != view->slots;
  if (anew)
    begin_incarnation (view, news->id, news->born_ms);
  view->born_ms = news->born_ms;
  view->sequence = news->sequence;
  view->slots = news->slots;
  view->leaving = leaving;
  view->told = true;
  view->well = true;
  view->cold_until_us = news->cold_us > 0 ? now_us + news->cold_us : 0;
  return changed ? NEWS_CHANGED : NEWS_TAKEN;
}

bool
server_view_probed (server_view_t *view, const server_probe_t *probe,
                    int64_t now_us)
{
  /* The announcements decide while they come: health answers may be false. */
  if (!probe->healthy || probe->id[0] == '\0')
    return false;
  if (view->gone && is_same (view, probe->id))
    return false;
  bool anew = !is_same (view, probe->id);
  bool changed = anew || !view->well;
  if (anew)
    begin_incarnation (view, probe->id, 0);
  if (changed && view->leaving && !anew)
    return false;
  view->well = true;
  if (probe->slots > 0 && !view->told)
    view->slots = probe->slots;
  if (probe->cold_us >= 0)
    view->cold_until_us = now_us + probe->cold_us;
  else if (anew)
    view->cold_until_us = now_us + view->cold_us;
  return changed;
}

void
server_view_lost (server_view_t *view)
{
  view->well = false;
}
