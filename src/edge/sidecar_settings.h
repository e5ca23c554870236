#ifndef REDWINGFORD_SIDECAR_SETTINGS_H
#define REDWINGFORD_SIDECAR_SETTINGS_H

/* The settings of a sidecar, from its JSON settings file.  */

#include "settings.h"

typedef struct sidecar_settings_t
{
  char node[NAME_BYTES];
  char zone[NAME_BYTES];
  char service[NAME_BYTES]; /* of the backend server of this VM */
  endpoint_addr_t callers;  /* listener for requests of callers */
  endpoint_addr_t ready;    /* listener for readiness checks */
  endpoint_addr_t announce; /* listener for backend server announcements */
  /* Listener for links from other sidecars; its address identifies this
     sidecar.  */
  endpoint_addr_t peer;
  /* Address to bind instead of PEER; none if its port is 0.  */
  endpoint_addr_t peer_bind;
  endpoint_addr_t metrics; /* listener for metrics */
  endpoint_addr_t backend; /* address of the backend server */
  endpoint_addr_t store;   /* address of the platform's store */
  double stop_s; /* from the stop signal until the process is killed */
  /* Retry budget of the fleet: retries per first attempt, and additional
     retries per window.  */
  double retry_share;
  double retry_reserve;
  double rate_window_s; /* window of the client accounts' rate limits */
  /* Bound on the requests that a version being rolled out may get before it is
     known to be good: this share of the service's requests, plus the slack.
     The slack is a reserve that is not used.  */
  double rollout_share;
  double rollout_slack;
  /* From the 50th bad response of a version until it gets no more requests.
     The decisions take about 1 s, so this setting only states the bound.  */
  double rollout_revert_s;
  uint32_t memory_mb; /* memory budget of the process, MiB */
  /* Descriptors that the process may open; 0 leaves the limit to the system.
   */
  uint32_t descriptors_max;
} sidecar_settings_t;

/* Parses the JSON TEXT of SIZE bytes into *SETTINGS.  An optional setting that
   is absent or null gets its default.  Returns false with *error set if TEXT
   is not a JSON object or has duplicate keys, or at the first setting that is
   unknown, required but missing, of the wrong type or out of range.  *SETTINGS
   is overwritten in any case.  */
bool sidecar_settings_parse (const char *text, size_t size,
                             sidecar_settings_t *settings,
                             error_info_t *error);

/* Parses the file at PATH, of at most 64 KiB, like sidecar_settings_parse.
   Also fails if the file cannot be read, without writing to *SETTINGS.  */
bool sidecar_settings_load (const char *path, sidecar_settings_t *settings,
                            error_info_t *error);

#endif
