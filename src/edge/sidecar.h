#ifndef REDWINGFORD_SIDECAR_H
#define REDWINGFORD_SIDECAR_H

/* The process beside a backend server: puts the parts together and runs them
   until it is stopped.  */

#include "clock.h"
#include "edge/sidecar_settings.h"
#include "mesh/dialect.h"

typedef struct sidecar_t sidecar_t;

/* DIALECT and CLOCK are borrowed, PATH is where the settings came from.  NULL
   with *error set.  */
sidecar_t *sidecar_new (const sidecar_settings_t *settings, const char *path,
                        const dialect_t *dialect, const clock_source_t *clock,
                        error_info_t *error);

/* Runs until SIGTERM or SIGINT and a graceful stop.  */
void sidecar_run (sidecar_t *sidecar);
void sidecar_free (sidecar_t *sidecar);

#endif
