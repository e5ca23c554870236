#ifndef REDWINGFORD_SERVE_H
#define REDWINGFORD_SERVE_H

/* Serves the calls of other sidecars: passes each call to the runner, and the
   reply back to the stream by which the call came.  The functions implement
   on_call, on_cancel and on_credit of peer_handler_t.  */

#include "edge/peer.h"
#include "edge/runner.h"

/* SERVICE is the service of the backend server beside this sidecar.  Both
   pointers are borrowed.  */
typedef struct serve_context_t
{
  runner_t *runner;
  const char *service;
} serve_context_t;

/* Starts CALL.  Fails STREAM at once if the runner refuses CALL, or if it is
   for another service and not a query.  */
void serve_call (serve_context_t *context, peer_stream_t *stream,
                 const call_request_t *call);
/* Cancels the call of STREAM, or detaches its run if the link was lost.  */
void serve_cancel_call (peer_stream_t *stream);
/* Resumes reading the reply if STREAM accepts more data.  */
void serve_on_credit (peer_stream_t *stream);

#endif
