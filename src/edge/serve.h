#ifndef REDWINGFORD_SERVE_H
#define REDWINGFORD_SERVE_H

/* Serves the calls of other sidecars: hands each to the runner and its answer
   back to the link.  The functions are callbacks for peer_handler_t.  */

#include "edge/peer.h"
#include "edge/runner.h"

/* SERVICE is the one that runs beside this sidecar; both are borrowed.  */
typedef struct serve_context_t
{
  runner_t *runner;
  const char *service;
} serve_context_t;

void serve_call (serve_context_t *serve, peer_stream_t *stream,
                 const call_request_t *call);
void serve_cancel_call (peer_stream_t *stream);
void serve_on_credit (peer_stream_t *stream);

#endif
