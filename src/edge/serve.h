#ifndef REDWINGFORD_SERVE_H
#define REDWINGFORD_SERVE_H

/* Serves the calls of other sidecars: hands each to the runner and its answer
   back to the link.  The functions are callbacks for peer_handler_t.  */

#include "edge/peer.h"
#include "edge/runner.h"

/* SERVICE is the one that runs beside this sidecar; both are borrowed.  */
typedef struct serve_t
{
  runner_t *runner;
  const char *service;
} serve_t;

void serve_call (serve_t *serve, peer_stream_t *stream,
                 const forward_call_t *call);
void serve_cancel (peer_stream_t *stream);
void serve_credit (peer_stream_t *stream);

#endif
