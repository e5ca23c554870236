#ifndef REDWINGFORD_ADMIT_H
#define REDWINGFORD_ADMIT_H

/* Fills in the call of a request from the configuration in force: route,
   client account, priority, deadline, retry budget.  */

#include "entry.h"

/* REASON_NONE when the request may go on.  NEAREST gets the nearest known
   name when the route is unknown.  */
reason_t admit_request (daemon_t *daemon, request_t *request,
                        const entry_headers_t *headers,
                        char nearest[PATH_BYTES]);

/* Reads a deadline header; REASON_NONE or what is wrong with it.  */
reason_t admit_parse_deadline (const char *text, uint32_t *deadline_ms);

/* False for a path that another server might read as a different one: dot
   segments, empty segments, escaped dots, slashes and backslashes.  */
bool admit_path_is_unambiguous (const char *path);

/* Fills PATH_ONLY with PATH up to its query.  */
void admit_strip_query (const char *path, char path_only[CALL_PATH_BYTES]);

#endif
