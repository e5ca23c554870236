#ifndef REDWINGFORD_DIALECT_H
#define REDWINGFORD_DIALECT_H

/* Interface to the formats of the platform on which a sidecar runs: header
   fields, announcements of backend servers, the configuration document and the
   requests to the store.  An implementation only translates.  */

#include "edge/fields.h"
#include "mesh/policy.h"
#include "mesh/rollout_coordinator.h"
#include "mesh/store_position.h"

/* What a header field of a request is for.  */
typedef enum request_field_role_t
{
  REQUEST_FIELD_FORWARD,
  REQUEST_FIELD_ATTEMPT_ID, /* also forwarded */
  REQUEST_FIELD_TIMEOUT,    /* how long the caller waits, in milliseconds */
  REQUEST_FIELD_API_KEY,    /* the caller's API key; never forwarded */
  /* Set by the sidecar; the caller's value is dropped.  */
  REQUEST_FIELD_RESERVED
} request_field_role_t;

/* What a header field of a server's reply is for.  REPLY_FIELD_FORWARD is only
   forwarded to the caller.  The sidecar reads the others; "also forwarded"
   means that it passes the field on to the caller as well.  */
typedef enum reply_field_role_t
{
  REPLY_FIELD_FORWARD,
  REPLY_FIELD_ATTEMPT_ID, /* also forwarded */
  REPLY_FIELD_SIGNATURE,  /* also forwarded; proves that the server replied */
  REPLY_FIELD_NOT_RUN,    /* the server did not run the request */
  REPLY_FIELD_SERVER_ID,  /* server instance; also forwarded */
  REPLY_FIELD_LOAD,       /* see parse_server_load */
  REPLY_FIELD_COLD_START  /* remaining cold start, in milliseconds */
} reply_field_role_t;

/* A server's own load, from REPLY_FIELD_LOAD.  */
typedef struct server_load_figures_t
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  /* How long work takes now, in percent of the usual; 0 is unknown.  */
  uint32_t run_time_percent;
} server_load_figures_t;

/* Header fields that a sidecar adds to a request for its backend server.  */
typedef struct run_fields_t
{
  const char *account;        /* "" is none */
  const char *caller_service; /* service of the VM where the request entered */
  /* Id of the server instance that must run the request; "" is any.  */
  const char *server_id;
  uint32_t timeout_ms;
} run_fields_t;

typedef enum server_state_t
{
  SERVER_READY,
  SERVER_LEAVING, /* takes no new requests */
  SERVER_GONE     /* has stopped */
} server_state_t;

/* One announcement of a backend server.  */
typedef struct server_announcement_t
{
  char id[64];
  char service[NAME_BYTES];
  char version[NAME_BYTES]; /* of the server's program; "" is not stated */
  uint64_t started_unix_ms; /* start of the server; 0 is unknown */
  /* Grows with each announcement of an incarnation.  */
  uint64_t sequence;
  uint32_t slots;
  int64_t cold_start_left_us; /* remaining cold start */
  server_state_t state;
} server_announcement_t;

/* Kinds of records in the topic of the operators.  */
typedef enum operator_record_kind_t
{
  /* The value is the configuration document.  */
  OPERATOR_RECORD_CONFIG,
  /* NAME is the zone.  A record without a value ends the evacuation.  */
  OPERATOR_RECORD_ZONE_EVACUATION,
  /* NAME is the service; see parse_rollout_order.  A record without a value
     withdraws the order.  */
  OPERATOR_RECORD_ROLLOUT,
  OPERATOR_RECORD_OTHER
} operator_record_kind_t;

/* Record of a topic.  A newer record of the same key replaces it.  */
typedef struct keyed_record_t
{
  const char *key; /* not NUL-terminated */
  size_t key_size;
  const char *value; /* NULL if the key was deleted */
  size_t value_size;
  store_position_t position;
} keyed_record_t;

typedef void (*keyed_record_visit_t) (void *ctx, const keyed_record_t *record);

/* Result of a request that reads records, or the newest value of each key.  */
typedef struct keyed_page_t
{
  /* In the era of the reply.  After a read of records, the offset after the
     last of them; after a read of newest values, the end of the topic.  */
  int64_t end_offset;
  int64_t first_offset; /* offset of the oldest record kept; -1 is unknown */
  bool has_more;        /* newest values: further keys follow LAST_KEY */
  char last_key[256];
} keyed_page_t;

typedef struct dialect_t
{
  request_field_role_t (*request_field_role) (const fields_t *fields,
                                              const field_t *field);
  reply_field_role_t (*reply_field_role) (const fields_t *fields,
                                          const field_t *field);
  /* Parses the value of REPLY_FIELD_LOAD, a string.  Returns false, and leaves
   *FIGURES undefined, if it is malformed.  */
  bool (*parse_server_load) (const char *value,
                             server_load_figures_t *figures);
  void (*write_run_fields) (bytes_t *to, const run_fields_t *fields);

  /* Returns whether a request with METHOD and TARGET announces a backend
     server.  */
  bool (*is_announcement) (const char *method, const char *target);
  /* Returns false with *error set if the announcement is invalid.  */
  bool (*parse_announcement) (const char *method, const char *target,
                              const char *body, size_t size,
                              server_announcement_t *announcement,
                              error_info_t *error);
  const char *readiness_path; /* of the readiness check */

  /* Returns a new policy, which the caller owns, or NULL with *error set.  */
  policy_t *(*parse_policy) (const char *text, size_t size,
                             error_info_t *error);

  const char *operator_topic;
  const char *member_topic;
  /* Returns the kind of RECORD.  For a zone evacuation, copies the zone to
     NAME; for an order of a roll-out, the service.  */
  operator_record_kind_t (*operator_record_kind) (const keyed_record_t *record,
                                                  char *name,
                                                  size_t name_size);

  /* Append complete HTTP requests to the store to TO.  They read the newest
     values of the keys after AFTER ("" is from the first), read the records
     from offset FROM, waiting up to WAIT_MS for new ones, and append a record,
     whose VALUE is NULL to delete KEY.  BODY receives the body of the last
     one, which is sent after TO.  */
  void (*write_newest_values_request) (bytes_t *to, const char *host,
                                       const char *topic, const char *after);
  void (*write_log_read_request) (bytes_t *to, const char *host,
                                  const char *topic, int64_t from,
                                  uint32_t wait_ms);
  void (*write_log_append_request) (bytes_t *to, bytes_t *body,
                                    const char *host, const char *topic,
                                    const char *key, const char *value);
  /* Returns the era of the store that a reply with FIELDS states; 0 is none.
   */
  uint32_t (*store_era) (const fields_t *fields);
  /* Parse the replies to these requests, from a store in ERA or that of FROM,
     and visit each record.  Return false with *error set if the reply is
     malformed; records before the fault may have been visited.  */
  bool (*parse_newest_values) (const char *body, size_t size, uint32_t era,
                               keyed_page_t *page, keyed_record_visit_t visit,
                               void *ctx, error_info_t *error);
  bool (*parse_log_read) (const char *body, size_t size, store_position_t from,
                          keyed_page_t *page, keyed_record_visit_t visit,
                          void *ctx, error_info_t *error);

  const char *rollout_topic; /* of claims and statuses of roll-outs */
  /* Reads the value of an OPERATOR_RECORD_ROLLOUT of SERVICE.  Returns false
     with *error set if it is no valid order.  */
  bool (*parse_rollout_order) (const keyed_record_t *record,
                               const char *service, rollout_order_t *order,
                               error_info_t *error);
  /* Takes over RECORD of the topic of roll-outs into the claim or the status
     of READ if it concerns SERVICE.  Returns false with *error set if it does
     but cannot be read, which leaves READ as it is.  */
  bool (*parse_rollout_record) (const keyed_record_t *record,
                                const char *service, rollout_read_t *read,
                                error_info_t *error);
  /* Append the request that carries out ACTION, which is an append, like
     write_log_append_request.  The store refuses it with the status 412 if the
     topic does not end at ACTION->at any more.  */
  void (*write_rollout_append_request) (bytes_t *to, bytes_t *body,
                                        const char *host, const char *service,
                                        const rollout_action_t *action);
  /* Returns the offset of the appended record, or -1 if the reply does not
     state it.  */
  int64_t (*parse_append_reply) (const char *body, size_t size);
} dialect_t;

#endif
