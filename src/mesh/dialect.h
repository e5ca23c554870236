#ifndef REDWINGFORD_DIALECT_H
#define REDWINGFORD_DIALECT_H

/* What a sidecar needs to know of the surroundings' spelling: header fields,
   announcements of backend servers, the configuration document, and the calls
   of the store.  An implementation only translates.  */

#include "edge/fields.h"
#include "mesh/policy.h"

typedef enum request_field_role_t
{
  REQUEST_FIELD_FORWARD,
  REQUEST_FIELD_ATTEMPT_ID, /* also forwarded */
  REQUEST_FIELD_TIMEOUT,    /* milliseconds that the caller waits */
  REQUEST_FIELD_API_KEY,    /* the caller's key, never forwarded */
  REQUEST_FIELD_RESERVED    /* set by the sidecar, whatever the caller sent */
} request_field_role_t;

typedef enum reply_field_role_t
{
  REPLY_FIELD_FORWARD,
  REPLY_FIELD_ATTEMPT_ID, /* also forwarded */
  REPLY_FIELD_SIGNATURE,  /* also forwarded: proves that the server answered */
  REPLY_FIELD_NOT_RUN,    /* the server says that it did not run the request */
  REPLY_FIELD_SERVER_ID,  /* also forwarded */
  REPLY_FIELD_LOAD,       /* "RUNNING,WAITING,SLOTS" */
  REPLY_FIELD_COLD_START  /* milliseconds of cold start that are left */
} reply_field_role_t;

/* What a sidecar adds to a request for its backend server.  */
typedef struct run_fields_t
{
  const char *account;        /* "" is none */
  const char *caller_service; /* service where the request began */
  const char *server_id;      /* the server that is to run it, "" is any */
  uint32_t timeout_ms;
} run_fields_t;

typedef enum server_state_t
{
  SERVER_READY,
  SERVER_LEAVING,
  SERVER_GONE
} server_state_t;

/* One announcement of a backend server.  */
typedef struct server_announcement_t
{
  char id[64];
  char service[NAME_BYTES];
  uint64_t started_unix_ms; /* Unix time of its start; 0 is "not told" */
  uint64_t sequence;        /* grows with each announcement of one life */
  uint32_t slots;
  int64_t cold_start_left_us; /* of cold start that is left */
  server_state_t state;
} server_announcement_t;

/* Records of the operator's and the members' topics.  */
typedef enum operator_record_kind_t
{
  OPERATOR_RECORD_CONFIG, /* the value is the configuration document */
  OPERATOR_RECORD_ZONE_EVACUATION, /* NAME is the zone; no value brings it back
                                    */
  OPERATOR_RECORD_OTHER
} operator_record_kind_t;

typedef struct keyed_record_t
{
  const char *key; /* not NUL-terminated */
  size_t key_size;
  const char *value; /* NULL when the key was dropped */
  size_t value_size;
  int64_t offset;
} keyed_record_t;

typedef void (*keyed_record_visit_t) (void *ctx, const keyed_record_t *record);

/* A page of records or of newest values.  */
typedef struct keyed_page_t
{
  int64_t end_offset;   /* offset behind the last record of the topic */
  int64_t first_offset; /* oldest that is left; -1 is "not told" */
  bool has_more;        /* newest values: go on behind LAST_KEY */
  char last_key[256];
} keyed_page_t;

typedef struct dialect_t
{
  request_field_role_t (*request_field_role) (const fields_t *fields,
                                              const field_t *field);
  reply_field_role_t (*reply_field_role) (const fields_t *fields,
                                          const field_t *field);
  void (*write_run_fields) (bytes_t *to, const run_fields_t *fields);

  /* True when METHOD and TARGET announce a backend server.  */
  bool (*is_announcement) (const char *method, const char *target);
  bool (*parse_announcement) (const char *method, const char *target,
                              const char *body, size_t size,
                              server_announcement_t *news,
                              error_info_t *error);
  const char *readiness_path; /* path of the readiness check */

  /* A new policy, or NULL with *error set.  */
  policy_t *(*parse_policy) (const char *text, size_t size,
                             error_info_t *error);

  const char *operator_topic;
  const char *member_topic;
  operator_record_kind_t (*operator_record_kind) (const keyed_record_t *record,
                                                  char *name,
                                                  size_t name_size);

  /* Whole HTTP requests to the store.  */
  void (*write_newest_values_request) (bytes_t *to, const char *host,
                                       const char *topic, const char *after);
  void (*write_log_read_request) (bytes_t *to, const char *host,
                                  const char *topic, int64_t from,
                                  uint32_t wait_ms);
  void (*write_log_append_request) (bytes_t *to, bytes_t *body,
                                    const char *host, const char *topic,
                                    const char *key, const char *value);
  bool (*parse_newest_values) (const char *body, size_t size,
                               keyed_page_t *page, keyed_record_visit_t visit,
                               void *ctx, error_info_t *error);
  bool (*parse_log_read) (const char *body, size_t size, int64_t from,
                          keyed_page_t *page, keyed_record_visit_t visit,
                          void *ctx, error_info_t *error);
} dialect_t;

#endif
