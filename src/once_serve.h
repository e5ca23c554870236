#ifndef REDWINGFORD_ONCE_SERVE_H
#define REDWINGFORD_ONCE_SERVE_H

/* The home's side of requests that must run once: records them, runs them on
   the backend server beside this daemon, and answers those that come again. */

#include "exec.h"
#include "once_part.h"

typedef struct once_serve_t once_serve_t;

/* DAEMON is borrowed.  */
once_serve_t *once_serve_new (daemon_t *daemon);
void once_serve_free (once_serve_t *serve);

once_part_t *once_serve_part (once_serve_t *serve);

/* Takes one sending of REQUEST, whose call bears its serial; DONE is called
   once with what came of it.  */
void once_serve_submit (once_serve_t *serve, request_t *request,
                        exec_done_t done, void *ctx);

/* What became of an earlier sending.  The caller owns the answer.  */
answer_t once_serve_query (once_serve_t *serve, const request_t *request,
                           once_token_t token);

#endif
