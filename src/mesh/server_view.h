#ifndef REDWINGFORD_SERVER_VIEW_H
#define REDWINGFORD_SERVER_VIEW_H

/* What a sidecar believes of the backend server beside it, from the server's
   announcements, its health checks and its connections.  Each life of a
   server is a new incarnation, told by its id and the time of its start.
   Decisions only.  */

#include "mesh/dialect.h"

typedef struct server_view_t
{
  char service[NAME_BYTES]; /* that must run here */
  char id[64];              /* "" before anything is known */
  uint64_t started_unix_ms;
  uint64_t sequence;
  uint32_t slots;
  bool announced; /* announced itself in this process's life */
  bool reachable; /* can be reached */
  bool leaving;
  bool gone;
  int64_t cold_until_us;
  int64_t cold_start_us; /* length of a cold start, by the configuration */
} server_view_t;

typedef enum announcement_result_t
{
  ANNOUNCEMENT_UNCHANGED,    /* nothing of weight has changed */
  ANNOUNCEMENT_CHANGED,      /* another incarnation, or another state */
  ANNOUNCEMENT_STALE,        /* older than what is known */
  ANNOUNCEMENT_WRONG_SERVICE /* of a service that does not run here */
} announcement_result_t;

void server_view_init (server_view_t *view, const char *service);

announcement_result_t server_view_apply_announcement (
    server_view_t *view, const server_announcement_t *news, int64_t now_us);

typedef struct server_probe_t
{
  bool healthy;
  char id[64];                /* "" is "not told" */
  uint32_t slots;             /* 0 is "not told" */
  int64_t cold_start_left_us; /* -1 is "not told" */
} server_probe_t;

/* A health check was answered.  True when something of weight has changed. */
bool server_view_apply_probe (server_view_t *view, const server_probe_t *probe,
                              int64_t now_us);

/* The server refused a connection or named another instance: nothing is sent
   until it is heard of again.  */
void server_view_mark_unreachable (server_view_t *view);

static inline bool
server_view_is_available (const server_view_t *view)
{
  return view->id[0] != '\0' && view->reachable && !view->gone
         && view->slots > 0;
}

#endif
