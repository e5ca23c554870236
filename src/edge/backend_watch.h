#ifndef REDWINGFORD_BACKEND_WATCH_H
#define REDWINGFORD_BACKEND_WATCH_H

/* Tracks the state of the backend server of this VM.  Receives its
   announcements and sends it health checks, more often while the server is not
   available (see server_view_is_available).  */

#include "edge/event_log.h"
#include "edge/http_server.h"
#include "edge/runner.h"
#include "mesh/policy.h"
#include "mesh/server_view.h"

typedef struct backend_watch_t backend_watch_t;

/* Returns a new watch for the server of SERVICE, to be freed with
   backend_watch_free.  All pointers are borrowed.  ON_CHANGED is called when
   the state of the server has changed.  */
backend_watch_t *backend_watch_new (loop_t *loop, const dialect_t *dialect,
                                    runner_t *runner, const char *service,
                                    event_log_t *log,
                                    void (*on_changed) (void *ctx), void *ctx);
void backend_watch_free (backend_watch_t *watch);

/* Sets the path for health checks and the cold start settings of SERVICE.
   SERVICE is copied.  NULL, for a configuration without the service, changes
   nothing.  No request is sent to the server before the first call with a
   service.  */
void backend_watch_set_service (backend_watch_t *watch,
                                const policy_service_t *service);

/* Returns the handler for the HTTP server that takes announcements.  */
http_handler_t backend_watch_handler (backend_watch_t *watch);

/* Marks the server as unreachable until it passes a health check.  SERVER_ID
   is NULL if no connection could be made, or the id of another instance that
   replied in its place.  */
void backend_watch_mark_unreachable (backend_watch_t *watch,
                                     const char *server_id);

/* Sets whether the server's availability zone is taken out of service.  */
void backend_watch_set_zone_out (backend_watch_t *watch, bool out);

/* Sets whether the server takes no new requests because of a roll-out.  */
void backend_watch_set_closed (backend_watch_t *watch, bool closed);

/* Sends a health check when one is due.  To be called about every 50 ms.  */
void backend_watch_tick (backend_watch_t *watch);

/* Returns the known state of the server, owned by WATCH.  */
const server_view_t *backend_watch_view (const backend_watch_t *watch);

/* Whether the server can be sent new requests.  */
bool backend_watch_is_accepting (const backend_watch_t *watch);

#endif
