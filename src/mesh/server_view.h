#ifndef REDWINGFORD_SERVER_VIEW_H
#define REDWINGFORD_SERVER_VIEW_H

/* State of the backend server beside a sidecar, as known from the server's
   announcements, health checks and connections.  Each start of a server is a
   new incarnation, identified by its id and start time.  Only an announcement
   names the service of an instance, so only it makes an instance known.  Does
   no I/O and reads no clock.  */

#include "mesh/dialect.h"

typedef struct server_view_t
{
  char service[NAME_BYTES]; /* that must run on this VM */
  /* Of the announced instance; "" before any announcement.  */
  char id[64];
  uint64_t started_unix_ms; /* start of the server; 0 is unknown */
  uint64_t sequence;        /* of the last announcement */
  uint32_t slots;
  bool confirmed;     /* by a second announcement or a health check */
  char failed_id[64]; /* failed a health check before it was known; "" none */
  char passed_id[64]; /* passed one before it announced itself; "" none */
  bool reachable;
  bool leaving; /* no new requests are to be started */
  bool gone;    /* announced that it has stopped */
  int64_t cold_start_until_us;
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
} server_health_reply_t;

/* Updates VIEW with the reply to a health check.  Returns true if the server
   has become reachable, or is no longer, as another instance replied in its
   place or a failed check contradicts the only announcement so far.  Any other
   failed check and a reply without the id of the server change nothing.  */
bool server_view_apply_probe (server_view_t *view,
                              const server_health_reply_t *probe,
                              int64_t now_us);

/* Notes that the state of the server must be confirmed: it refused a
   connection, reported another instance, or the evacuation of its zone ended.
   No requests are sent to it until it announces itself or passes a health
   check.  */
void server_view_mark_unreachable (server_view_t *view);

/* Returns whether the server is known, reachable and has not stopped.  */
static inline bool
server_view_is_available (const server_view_t *view)
{
  return view->id[0] != '\0' && view->reachable && !view->gone
         && view->slots > 0;
}

#endif
