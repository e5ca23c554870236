#ifndef REDWINGFORD_POLICY_H
#define REDWINGFORD_POLICY_H

/* Configuration in force on a sidecar: routes, services, client accounts and
   their API keys.  Immutable once policy_build_index has returned.  */

#include "errinfo.h"
#include "types.h"

enum
{
  POLICY_DESTINATIONS_MAX = 16,
  POLICY_KEY_BYTES = 128
};

typedef struct policy_service_t
{
  char name[NAME_BYTES];
  char health_path[PATH_BYTES];
  uint32_t connections_max;     /* not enforced */
  int64_t cold_start_us;        /* length of a cold start; 0 is none */
  double cold_start_rate_per_s; /* that it can bear then; 0 is no limit */
} policy_service_t;

/* One service of a route's traffic split.  */
typedef struct policy_destination_t
{
  uint32_t service_index;
  uint32_t weight;
} policy_destination_t;

typedef struct policy_route_t
{
  char name[NAME_BYTES];
  char host[PATH_BYTES]; /* in lower case */
  char path_prefix[PATH_BYTES];
  bool idempotent;
  bool is_public; /* needs no API key */
  uint8_t priority;
  /* First attempt and retries of one request.  Attempts that were refused
     without running do not count.  */
  uint32_t attempts_max;
  int64_t timeout_us;
  int64_t target_latency_us;
  policy_destination_t destinations[POLICY_DESTINATIONS_MAX];
  uint32_t destination_count;
} policy_route_t;

typedef struct policy_account_t
{
  char name[NAME_BYTES];
  int priority;      /* -1 is the priority of the route */
  double rate_per_s; /* 0 is no limit */
  double burst;
} policy_account_t;

/* API key of a client account.  */
typedef struct policy_key_t
{
  char text[POLICY_KEY_BYTES];
  uint32_t account_index;
} policy_key_t;

/* Limits on the requests of callers.  */
typedef struct policy_limits_t
{
  uint32_t header_bytes_max;
  uint64_t body_bytes_max;
  int64_t header_timeout_us;
  int64_t idle_timeout_us;
} policy_limits_t;

typedef struct policy_t
{
  uint64_t version;
  policy_limits_t limits;
  policy_service_t *services;
  size_t service_count;
  policy_route_t *routes;
  size_t route_count;
  policy_account_t *accounts;
  size_t account_count;
  policy_key_t *keys;
  size_t key_count;
  /* The document has a table of accounts, possibly empty.  If false, no route
     needs an API key.  */
  bool requires_api_key;
  void *index; /* private to policy.c */
} policy_t;

/* Sorts the routes and builds the index.  Returns false with *ERROR set when a
   service or key is defined twice or a route has no destination.  */
bool policy_build_index (policy_t *policy, error_info_t *error);

/* Frees POLICY, its arrays and its index.  POLICY may be NULL, and need not
   have an index.  */
void policy_free (policy_t *policy);

/* Index of the route of HOST with the longest prefix that begins PATH, or -1.
   Case and a port in HOST and a query in PATH are ignored.  */
int policy_find_route (const policy_t *policy, const char *host,
                       size_t host_size, const char *path);

/* Index of the client account that KEY belongs to, or -1.  */
int policy_find_account_by_key (const policy_t *policy, const char *key,
                                size_t size);

/* Index of the route NAME, or -1.  */
int policy_find_route_by_name (const policy_t *policy, const char *name);

/* Index of the service NAME, or -1.  */
int policy_find_service (const policy_t *policy, const char *name);

#endif
