#ifndef REDWINGFORD_SIDECAR_H
#define REDWINGFORD_SIDECAR_H

/* The sidecar process of a backend server VM: creates its components and runs
   them until the process is stopped.  */

#include "clock.h"
#include "edge/sidecar_settings.h"
#include "mesh/dialect.h"

typedef struct sidecar_t sidecar_t;

/* Opens the listeners and creates all components.  SETTINGS and SETTINGS_PATH
   are copied; SETTINGS_PATH is the file that SIGHUP reloads.  DIALECT and
   CLOCK are borrowed.  Free the result with sidecar_free.  Returns NULL with
   *error set on failure.  */
sidecar_t *sidecar_new (const sidecar_settings_t *settings,
                        const char *settings_path, const dialect_t *dialect,
                        const clock_source_t *clock, error_info_t *error);

/* Runs until SIGTERM or SIGINT and the graceful stop that follows, which takes
   at most stop_s seconds.  SIGHUP reloads the settings stop_s and memory_mb;
   the latter takes effect with the next configuration.  SIGHUP may be blocked
   before; it is unblocked here, so that one that is pending is acted on.  */
void sidecar_run (sidecar_t *sidecar);

/* SIDECAR may be NULL.  */
void sidecar_free (sidecar_t *sidecar);

#endif
