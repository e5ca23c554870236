#ifndef REDWINGFORD_ADMIT_H
#define REDWINGFORD_ADMIT_H

/* Admission of a request by the active configuration: fills in the request's
   call with its route, client account, priority, deadline and retry
   budget.  */

#include "entry.h"

/* Checks REQUEST and fills in its call, deadline and parent.  Returns
   REASON_NONE, or the reason to refuse it.  When the route is unknown, copies
   the nearest known path prefix to NEAREST; else, or if no prefix is near,
   NEAREST is the empty string.  */
reason_t admit_request (daemon_t *daemon, request_t *request,
                        const entry_headers_t *headers,
                        char nearest[PATH_BYTES]);

/* Parses a deadline header, a decimal number of milliseconds up to 600000.
   Returns REASON_NONE, REASON_DEADLINE_MALFORMED, or REASON_DEADLINE_TOO_SHORT
   when it is 0.  */
reason_t admit_parse_deadline (const char *text, uint32_t *deadline_ms);

/* False for a path that another server might read as a different one: a path
   that does not start with a slash, or that contains a space, a control
   character, a dot segment, an empty segment, a backslash, or an escaped NUL,
   dot, slash or backslash.  The query is not checked.  */
bool admit_path_is_unambiguous (const char *path);

/* Copies PATH up to its query or fragment to PATH_ONLY, truncated to
   CALL_PATH_BYTES - 1 bytes.  */
void admit_strip_query (const char *path, char path_only[CALL_PATH_BYTES]);

#endif
