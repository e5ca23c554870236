#ifndef REDWINGFORD_ONCE_FEED_H
#define REDWINGFORD_ONCE_FEED_H

/* Feeds the home's side with the epochs of this VM's service: what membership
   and the configuration say goes to the log, what the log says comes back. */

#include "epochs_part.h"
#include "log_http.h"

typedef struct daemon_t daemon_t;
typedef struct once_feed_t once_feed_t;

/* DAEMON is borrowed; its peers and once must stand.  Starts a thread.  */
once_feed_t *once_feed_new (daemon_t *daemon);

/* Waits for one call of the log service at most.  */
void once_feed_free (once_feed_t *feed);

#endif
