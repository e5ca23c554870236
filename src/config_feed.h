#ifndef REDWINGFORD_CONFIG_FEED_H
#define REDWINGFORD_CONFIG_FEED_H

/* Puts documents in force in this daemon: the config part finds them, this
   hands them to all that goes by them.  */

#include "config_part.h"

typedef struct daemon_t daemon_t;
typedef struct config_feed_t config_feed_t;

/* DAEMON is borrowed; its peers must stand.  Adds its part to the control
   thread; call before that starts.  */
config_feed_t *config_feed_new (daemon_t *daemon);

/* Starts the part's threads.  */
void config_feed_start (config_feed_t *feed);

/* Waits for one call of the log service at most.  */
void config_feed_free (config_feed_t *feed);

/* Tells the part which daemons this one knows.  */
void config_feed_set_peers (config_feed_t *feed, const config_peer_t *peers,
                            size_t count);

config_part_t *config_feed_part (config_feed_t *feed);

#endif
