#include "mesh/server_view.h"

#include <stdio.h>
#include <string.h>

#include "clock.h"

enum
{
  /* An announcement may arrive this long after it was sent.  */
  ANNOUNCEMENT_DELAY_MAX_US = 10 * US_PER_S
};

void
server_view_init (server_view_t *view, const char *service)
{
  *view = (server_view_t){ .confirmed = false };
  snprintf (view->service, sizeof view->service, "%s", service);
}

static bool
has_id (const server_view_t *view, const char *id)
{
  return strcmp (view->id, id) == 0;
}

void
server_view_require_check (server_view_t *view, int64_t since_us)
{
  view->confirmed = false;
  view->unconfirmed_since_us = since_us;
  view->passed_id[0] = '\0';
}

static void
begin_incarnation (server_view_t *view,
                   const server_announcement_t *announcement, int64_t now_us)
{
  /* If the id is not new, the check may have been that of the incarnation
     before.  */
  bool passed = !has_id (view, announcement->id)
                && strcmp (view->passed_id, announcement->id) == 0;
  server_view_require_check (view, now_us);
  view->confirmed = passed;
  if (!passed)
    view->checked_cold_until_us = 0;
  snprintf (view->id, sizeof view->id, "%s", announcement->id);
  snprintf (view->version, sizeof view->version, "%s", announcement->version);
  view->started_unix_ms = announcement->started_unix_ms;
  view->leaving = false;
  view->gone = false;
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
  /* It stopped before it was known, and may have started again.  */
  if (view->gone && announcement->started_unix_ms > 0)
    return false;
  return view->gone || announcement->sequence <= view->sequence;
}

static announcement_result_t
apply_stop_announcement (server_view_t *view,
                         const server_announcement_t *announcement,
                         int64_t now_us)
{
  if (view->id[0] != '\0' && !has_id (view, announcement->id))
    {
      /* Its announcements may still arrive; a check from before its end must
         not confirm them.  */
      server_view_require_check (view, now_us);
      return ANNOUNCEMENT_STALE;
    }
  bool changed = !view->gone;
  snprintf (view->id, sizeof view->id, "%s", announcement->id);
  view->gone = true;
  view->leaving = true;
  return changed ? ANNOUNCEMENT_CHANGED : ANNOUNCEMENT_UNCHANGED;
}

/* Returns 0 if nothing is left.  Readers may compare the end with an earlier
   time than NOW_US.  */
static int64_t
cold_start_end_us (int64_t left_us, int64_t now_us)
{
  return left_us > 0 ? now_us + left_us : 0;
}

announcement_result_t
server_view_apply_announcement (server_view_t *view,
                                const server_announcement_t *announcement,
                                int64_t now_us)
{
  if (announcement->state == SERVER_GONE)
    return apply_stop_announcement (view, announcement, now_us);
  if (strcmp (announcement->service, view->service) != 0)
    return ANNOUNCEMENT_WRONG_SERVICE;
  if (is_stale (view, announcement))
    return ANNOUNCEMENT_STALE;
  bool is_new = !has_id (view, announcement->id) || view->gone
                || (view->started_unix_ms > 0
                    && announcement->started_unix_ms > view->started_unix_ms);
  bool leaving = announcement->state == SERVER_LEAVING;
  /* Sent since a check became necessary.  It outweighs failed checks, as a
     server that is sound may fail them.  */
  bool confirms
      = !is_new && !view->confirmed
        && now_us - view->unconfirmed_since_us >= ANNOUNCEMENT_DELAY_MAX_US;
  bool changed = is_new || confirms || leaving != view->leaving
                 || announcement->slots != view->slots;
  if (is_new)
    begin_incarnation (view, announcement, now_us);
  view->confirmed = view->confirmed || confirms;
  view->started_unix_ms = announcement->started_unix_ms;
  view->sequence = announcement->sequence;
  view->slots = announcement->slots;
  view->leaving = leaving;
  view->cold_told_us = now_us;
  view->announced_cold_until_us
      = cold_start_end_us (announcement->cold_start_left_us, now_us);
  return changed ? ANNOUNCEMENT_CHANGED : ANNOUNCEMENT_UNCHANGED;
}

/* Takes over what the reply to a health check tells of the cold start.  */
static void
apply_cold_start (server_view_t *view, const server_health_reply_t *probe,
                  int64_t now_us)
{
  int64_t until_us = cold_start_end_us (probe->cold_start_left_us, now_us);
  if (probe->cold_start_left_us < 0)
    return;
  /* Otherwise the reply may be older than what was told meanwhile.  */
  bool is_newest = probe->sent_us >= view->cold_told_us;
  if (is_newest)
    view->announced_cold_until_us = 0;
  if (is_newest || until_us > view->checked_cold_until_us)
    view->checked_cold_until_us = until_us;
  view->cold_told_us = now_us;
}

/* Another instance replies at the server's address.  A reply names no service,
   and the address of a server that has ended may be used by one of another
   service, so the instance is not used before it announces itself.  */
static bool
apply_unannounced_instance (server_view_t *view,
                            const server_health_reply_t *probe)
{
  bool changed = view->confirmed;
  server_view_require_check (view, probe->sent_us);
  snprintf (view->passed_id, sizeof view->passed_id, "%s", probe->id);
  return changed;
}

bool
server_view_apply_probe (server_view_t *view,
                         const server_health_reply_t *probe, int64_t now_us)
{
  if (probe->id[0] == '\0')
    return false;
  bool changed = false;
  bool is_known = has_id (view, probe->id);
  bool counts = probe->healthy && probe->sent_us >= view->unconfirmed_since_us;
  if (counts && !is_known)
    changed = apply_unannounced_instance (view, probe);
  if (is_known || strcmp (view->passed_id, probe->id) == 0)
    apply_cold_start (view, probe, now_us);
  if (!counts || !is_known || view->gone || view->confirmed)
    return changed;
  /* A leaving server that needs a check takes no new requests, so it stays
     out of use.  */
  view->confirmed = !view->leaving;
  return view->confirmed;
}
