#ifndef REDWINGFORD_EXEC_H
#define REDWINGFORD_EXEC_H

/* Runs requests on the backend server beside this daemon, as many at a time
   and in the order that its executor decides.  */

#include <jansson.h>

#include "executor.h"
#include "quarantine_part.h"
#include "request.h"
#include "settings.h"

typedef struct daemon_t daemon_t;
typedef struct exec_t exec_t;

/* Called once with the result, on any thread; takes ANSWER over.  The
   request may have ended meanwhile, for lack of time.  */
typedef void (*exec_done_t) (void *ctx, request_t *request, answer_t answer);

/* Asked on the worker thread just before the first byte leaves; false (with a
   reason) keeps the request from running.  */
typedef bool (*exec_check_t) (void *ctx, reason_t *reason);

/* DAEMON is borrowed.  */
exec_t *exec_new (daemon_t *daemon);

/* Ends the ticks; the timers must be freed before exec_free.  */
void exec_stop (exec_t *exec);

/* Nothing may run any more.  */
void exec_free (exec_t *exec);

/* Takes what the backend server announced.  */
void exec_announce (exec_t *exec, const executor_figures_t *figures);

/* The backend server is known to have started afresh.  */
void exec_restarted (exec_t *exec);

/* Takes a reference of REQUEST for as long as it needs one.  CHECK may be
   NULL; CTX goes to both callbacks.  */
void exec_submit (exec_t *exec, request_t *request, exec_check_t check,
                  exec_done_t done, void *ctx);

/* Requests that crashed the backend server.  */
quarantine_part_t *exec_quarantine (exec_t *exec);

executor_status_t exec_status (exec_t *exec);

/* The status as JSON; the caller owns it.  */
json_t *exec_status_json (exec_t *exec);

#endif
