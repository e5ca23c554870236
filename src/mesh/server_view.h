#ifndef REDWINGFORD_SERVER_VIEW_H
#define REDWINGFORD_SERVER_VIEW_H

/* State of the backend server beside a sidecar, as known from the server's
   announcements, health checks and connections.  Each start of a server is a
   new incarnation, identified by its id and start time.  Only an announcement
   names the service of an instance, so only it makes an instance known.  As it
   may be older than what this sidecar, or its process before a restart, has
   been told since, the instance must also pass a health check before it is
   sent requests.  Does no I/O and reads no clock.  */

#include "mesh/dialect.h"

typedef struct server_view_t
{
  char service[NAME_BYTES]; /* that must run on this VM */
  /* Of the announced instance; "" before any announcement.  */
  char id[64];
  char version[NAME_BYTES]; /* "" is not stated */
  uint64_t started_unix_ms; /* start of the server; 0 is unknown */
  uint64_t sequence;        /* of the last announcement */
  uint32_t slots;
  /* The server can be sent requests.  False until a health check that was sent
     at UNCONFIRMED_SINCE_US or later has passed.  */
  bool confirmed;
  int64_t unconfirmed_since_us;
  /* Instance that has passed such a check without being known; "" is none.  */
  char passed_id[64];
  bool leaving; /* no new requests are to be started */
  bool gone;    /* announced that it has stopped */
  /* End of the cold start, as last announced and as last told in reply to a
     health check.  The later one holds.  */
  int64_t announced_cold_until_us;
  int64_t checked_cold_until_us;
  int64_t cold_told_us; /* when the last word on it arrived */
} server_view_t;

typedef enum announcement_result_t
{
  ANNOUNCEMENT_UNCHANGED,    /* accepted; only sequence or cold start differ */
  ANNOUNCEMENT_CHANGED,      /* accepted; new incarnation or new state */
  ANNOUNCEMENT_STALE,        /* ignored; older than the current state */
  ANNOUNCEMENT_WRONG_SERVICE /* ignored; the service does not run on this VM */
} announcement_result_t;

void server_view_init (server_view_t *view, const char *service);

/* Updates VIEW with an announcement of the server.  */
announcement_result_t
server_view_apply_announcement (server_view_t *view,
                                const server_announcement_t *announcement,
                                int64_t now_us);

/* Reply to a health check.  */
typedef struct server_health_reply_t
{
  bool healthy;
  char id[64];                /* "" is unknown */
  int64_t cold_start_left_us; /* -1 is unknown */
  int64_t sent_us;            /* when the check was sent */
} server_health_reply_t;

/* Updates VIEW with the reply to a health check.  Returns true if this
   confirms the server, or if the server needs a check again as another
   instance replied in its place.  A failed check tells only of the cold
   start, and a reply without an id tells nothing.  */
bool server_view_apply_probe (server_view_t *view,
                              const server_health_reply_t *probe,
                              int64_t now_us);

/* Notes that the state of the server must be confirmed: it refused a
   connection, reported another instance, or the evacuation of its zone ended.
   No requests are sent to it until it passes a health check that is sent at
   SINCE_US or later.  An announcement confirms it only after ten seconds,
   since it may have been sent long before it arrives.  */
void server_view_require_check (server_view_t *view, int64_t since_us);

/* Returns the time until which the server is in its cold start.  An
   announcement does not end one that a health check has told of, since it may
   have been sent before that began.  */
static inline int64_t
server_view_cold_start_until_us (const server_view_t *view)
{
  return view->announced_cold_until_us > view->checked_cold_until_us
             ? view->announced_cold_until_us
             : view->checked_cold_until_us;
}

/* Returns whether the server is known, confirmed and has not stopped.  */
static inline bool
server_view_is_available (const server_view_t *view)
{
  return view->id[0] != '\0' && view->confirmed && !view->gone
         && view->slots > 0;
}

#endif
