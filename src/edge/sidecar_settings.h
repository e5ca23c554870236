#ifndef REDWINGFORD_SIDECAR_SETTINGS_H
#define REDWINGFORD_SIDECAR_SETTINGS_H

/* What a sidecar learns from its settings file (JSON).  */

#include "settings.h"

typedef struct sidecar_settings_t
{
  char node[NAME_BYTES];
  char zone[NAME_BYTES];
  char service[NAME_BYTES];  /* of the backend server beside it */
  endpoint_addr_t callers;   /* requests begin here */
  endpoint_addr_t ready;     /* readiness checks */
  endpoint_addr_t announce;  /* backend servers announce themselves */
  endpoint_addr_t peer;      /* links from other sidecars; names this one */
  endpoint_addr_t peer_bind; /* where they arrive, if not there; port 0 */
  endpoint_addr_t metrics;
  endpoint_addr_t backend; /* the backend server */
  endpoint_addr_t store;
  double stop_s; /* a stop is followed by a kill after this */
  /* Second sendings by the fleet: for each first one, and beside these in
     a window.  */
  double retry_share;
  double retry_reserve;
  double rate_window_s; /* over which the client accounts' rates count */
  uint32_t memory_mb;   /* that the process may use */
} sidecar_settings_t;

/* Reads and checks the JSON TEXT (unknown field, wrong type, out of range).
   Defaults fill what is absent.  False with *error set on the first fault. */
bool sidecar_settings_parse (const char *text, size_t size,
                             sidecar_settings_t *settings,
                             error_info_t *error);

/* The same from a file.  */
bool sidecar_settings_load (const char *path, sidecar_settings_t *settings,
                            error_info_t *error);

#endif
