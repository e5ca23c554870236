#ifndef REDWINGFORD_SETTINGS_H
#define REDWINGFORD_SETTINGS_H

/* What one process learns from its settings file (JSON).  */

#include "errinfo.h"
#include "types.h"

enum
{
  SEEDS_MAX = 32,
  FLEET_SECRETS_MAX = 2,
  FLEET_SECRET_BYTES = 32
};

typedef struct endpoint_addr_t
{
  uint32_t ip;   /* IPv4, host order */
  uint16_t port; /* 0 lets the kernel choose */
} endpoint_addr_t;

typedef struct settings_t
{
  char zone[NAME_BYTES];
  char region[NAME_BYTES];
  endpoint_addr_t listen;  /* callers, and the backend server calling on */
  endpoint_addr_t peer;    /* HTTP from other daemons */
  endpoint_addr_t control; /* ONC RPC over UDP; names the VM (vm_id_t) */
  endpoint_addr_t admin;   /* status, metrics; and announcements */
  endpoint_addr_t log;     /* the platform's log service */
  char log_stream[NAME_BYTES];
  endpoint_addr_t seeds[SEEDS_MAX]; /* control endpoints of peers */
  size_t seed_count;
  uint8_t fleet_secrets[FLEET_SECRETS_MAX][FLEET_SECRET_BYTES];
  size_t fleet_secret_count; /* the first signs, all verify */
  uint32_t workers;          /* threads that wait on backend servers */
  uint32_t connections_max;
  uint32_t body_bytes_max;
  uint32_t stop_timeout_ms; /* the longest a graceful stop may take */
  uint32_t log_poll_ms;
  char log_level[NAME_BYTES];
} settings_t;

/* Reads and checks the JSON TEXT (unknown field, wrong type, out of range,
   duplicate).  Defaults fill what is absent.  False with *error set on the
   first fault.  */
bool settings_parse (const char *text, size_t size, settings_t *settings,
                     error_info_t *error);

/* The same from a file; the message is one whole line that names the file,
   the JSON path, what is wrong, and what to write instead.  */
bool settings_load (const char *path, settings_t *settings,
                    error_info_t *error);

/* Reads a whole file of at most SIZE_MAX bytes into a new block that the
   caller frees; *size is its length.  NULL with *error set on failure.  */
char *settings_read_file (const char *path, size_t size_max, size_t *size,
                          error_info_t *error);

/* Parses "A.B.C.D:PORT".  */
bool settings_parse_addr (const char *text, endpoint_addr_t *addr);

/* Writes "A.B.C.D:PORT" into TEXT of at least ADDR_TEXT_BYTES.  */
enum
{
  ADDR_TEXT_BYTES = 24
};
void settings_format_addr (endpoint_addr_t addr, char *text);

#endif
