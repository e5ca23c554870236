#ifndef REDWINGFORD_BACKEND_WATCH_H
#define REDWINGFORD_BACKEND_WATCH_H

/* Keeps what is believed of the backend server beside this sidecar up to
   date: takes its announcements and sends it health checks, often while it
   cannot be reached or has not announced itself, rarely otherwise.  */

#include "edge/event_log.h"
#include "edge/http_server.h"
#include "edge/runner.h"
#include "mesh/policy.h"
#include "mesh/server_view.h"

typedef struct backend_watch_t backend_watch_t;

/* All are borrowed.  CHANGED is called when the belief changes.  */
backend_watch_t *backend_watch_new (loop_t *loop, const dialect_t *dialect,
                                    runner_t *runner, const char *service,
                                    event_log_t *log,
                                    void (*changed) (void *ctx), void *ctx);
void backend_watch_free (backend_watch_t *watch);

/* The service's path for health checks and cold starts, by the
   configuration; NULL while it is not in it.  Nothing is sent to the server
   before the first.  */
void backend_watch_set_service (backend_watch_t *watch,
                                const policy_service_t *service);

/* The handler of the announcements' listener.  */
http_handler_t backend_watch_handler (backend_watch_t *watch);

/* Nothing could be sent to the server, or it said to be SERVER_ID.  */
void backend_watch_mark_lost (backend_watch_t *watch, const char *server_id);

/* Its availability zone was taken out or brought back.  */
void backend_watch_set_zone_out (backend_watch_t *watch, bool out);

/* Sends a health check when one is due.  Call it each 50 ms or so.  */
void backend_watch_tick (backend_watch_t *watch);

const server_view_t *backend_watch_view (const backend_watch_t *watch);
bool backend_watch_is_accepting (const backend_watch_t *watch);

#endif
