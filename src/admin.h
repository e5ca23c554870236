#ifndef REDWINGFORD_ADMIN_H
#define REDWINGFORD_ADMIN_H

/* The admin address: status, metrics, and the backend server's
   announcements.  */

#include "daemon.h"

admin_t *admin_new (daemon_t *daemon, endpoint_addr_t addr,
                    error_info_t *error);
void admin_free (admin_t *admin);
uint16_t admin_port (const admin_t *admin);

/* Reads an announcement; false with *error set.  */
bool admin_parse_announcement (const char *text, size_t size,
                               backend_t *backend, error_info_t *error);

#endif
