#include "admit.h"

#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  DEADLINE_MAX_MS = 600000,
  DEADLINE_DIGITS_MAX = 6
};

static const char bearer_prefix[] = "Bearer ";

reason_t
admit_parse_deadline (const char *text, uint32_t *deadline_ms)
{
  size_t digit_count = strspn (text, "0123456789");

  if (digit_count == 0 || digit_count > DEADLINE_DIGITS_MAX
      || text[digit_count] != '\0')
    return REASON_DEADLINE_MALFORMED;
  *deadline_ms = (uint32_t)strtoul (text, NULL, 10);
  if (*deadline_ms > DEADLINE_MAX_MS)
    return REASON_DEADLINE_MALFORMED;
  return *deadline_ms == 0 ? REASON_DEADLINE_TOO_SHORT : REASON_NONE;
}

void
admit_strip_query (const char *path, char path_only[CALL_PATH_BYTES])
{
  size_t length = strcspn (path, "?#");

  if (length >= CALL_PATH_BYTES)
    length = CALL_PATH_BYTES - 1;
  memcpy (path_only, path, length);
  path_only[length] = '\0';
}

bool
admit_path_is_unambiguous (const char *path)
{
  static const char *const ambiguous_parts[]
      = { "//", "/./", "/../", "%2e", "%2f", "%5c", "%00", "\\" };
  char path_only[CALL_PATH_BYTES];

  if (path[0] != '/')
    return false;
  admit_strip_query (path, path_only);
  size_t length = strlen (path_only);
  for (size_t i = 0; i < length; i++)
    if (iscntrl ((unsigned char)path_only[i]) || path_only[i] == ' ')
      return false;
  for (size_t i = 0; i < sizeof ambiguous_parts / sizeof *ambiguous_parts; i++)
    if (strcasestr (path_only, ambiguous_parts[i]) != NULL)
      return false;
  bool ends_in_dot_segment
      = (length >= 2 && strcmp (path_only + length - 2, "/.") == 0)
        || (length >= 3 && strcmp (path_only + length - 3, "/..") == 0);
  return !ends_in_dot_segment;
}

static bool
is_valid_id (const char *text, size_t capacity)
{
  size_t length = strlen (text);

  if (length == 0 || length >= capacity)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)text[i]) && strchr ("-_.:", text[i]) == NULL)
      return false;
  return true;
}

static void
generate_request_id (daemon_t *daemon, char id[REQUEST_ID_BYTES])
{
  uint64_t random_bits[2] = { daemon->rng.next (daemon->rng.ctx),
                              daemon->rng.next (daemon->rng.ctx) };
  sodium_bin2hex (id, REQUEST_ID_BYTES, (unsigned char *)random_bits,
                  sizeof random_bits);
}

/* Removes each header whose value contains the secret part of KEY.  The
   caller's secret must not reach a backend server, whatever the name of the
   header that carries it.  */
static void
remove_headers_with_secret (headers_t *headers, const char *key)
{
  const char *secret = strchr (key, '.');
  size_t kept_count = 0;

  secret = secret != NULL ? secret + 1 : key;
  for (size_t i = 0; i < headers->count; i++)
    {
      header_t header = headers->items[i];
      if (*secret != '\0' && strstr (header.value, secret) != NULL)
        {
          free (header.name);
          free (header.value);
          continue;
        }
      headers->items[kept_count++] = header;
    }
  headers->count = kept_count;
}

static reason_t
authenticate_key (const doc_t *doc, request_t *request,
                  const char *authorization)
{
  uint32_t account = 0;

  if (authorization == NULL
      || strncasecmp (authorization, bearer_prefix, sizeof bearer_prefix - 1)
             != 0)
    return REASON_KEY_MISSING;
  const char *key = authorization + sizeof bearer_prefix - 1;
  remove_headers_with_secret (&request->headers, key);
  key_verdict_t verdict = doc_check_key (doc, key, &account);
  if (verdict == KEY_VERDICT_WITHDRAWN)
    return REASON_KEY_WITHDRAWN;
  if (verdict != KEY_VERDICT_OK)
    return REASON_KEY_UNKNOWN;
  snprintf (request->call.account, sizeof request->call.account, "%s",
            doc->accounts[account].name);
  request->call.weight = doc->accounts[account].weight;
  return REASON_NONE;
}

static reason_t
set_account (const doc_t *doc, const doc_route_t *route, request_t *request,
             const entry_headers_t *headers)
{
  call_t *call = &request->call;

  call->weight = 1;
  if (request->parent != NULL)
    {
      memcpy (call->account, request->parent->call.account,
              sizeof call->account);
      call->weight = request->parent->call.weight;
      return route->open || call->account[0] != '\0' ? REASON_NONE
                                                     : REASON_KEY_MISSING;
    }
  if (route->open && headers->authorization == NULL)
    return REASON_NONE;
  reason_t reason = authenticate_key (doc, request, headers->authorization);
  return route->open ? REASON_NONE : reason;
}

static reason_t
set_deadline (const doc_route_t *route, request_t *request,
              const entry_headers_t *headers)
{
  uint32_t deadline_ms = route->deadline_ms;
  uint32_t requested_ms = 0;

  if (headers->deadline != NULL)
    {
      reason_t reason
          = admit_parse_deadline (headers->deadline, &requested_ms);
      if (reason != REASON_NONE)
        return reason;
      if (requested_ms < deadline_ms)
        deadline_ms = requested_ms;
    }
  request->deadline_us
      = request->arrived_us + (int64_t)deadline_ms * US_PER_MS;
  if (request->parent != NULL
      && request->parent->deadline_us < request->deadline_us)
    request->deadline_us = request->parent->deadline_us;
  return request->deadline_us > request->arrived_us
             ? REASON_NONE
             : REASON_DEADLINE_TOO_SHORT;
}

static reason_t
set_idempotency (const doc_route_t *route, request_t *request,
                 const entry_headers_t *headers)
{
  const char *key = headers->idempotency_key;

  request->call.idempotent = route->idempotent;
  if (key == NULL)
    return route->idempotent ? REASON_NONE : REASON_KEY_NEEDED;
  if (!is_valid_id (key, sizeof request->call.key))
    return REASON_KEY_NEEDED;
  snprintf (request->call.key, sizeof request->call.key, "%s", key);
  return REASON_NONE;
}

/* A child call inherits the root and the priority of its parent.  The service
   of the parent is added to the services that hold a slot for the call.  A
   request without a parent gets its priority and retries from ROUTE.  */
static reason_t
inherit_from_parent (const doc_route_t *route, request_t *request)
{
  call_t *call = &request->call;
  const request_t *parent = request->parent;

  if (parent == NULL)
    {
      call->priority = route->priority;
      retry_allowance_init (&request->retries, route->retry_budget);
      return REASON_NONE;
    }
  if (parent->call.depth + 1 >= CALL_DEPTH_MAX)
    return REASON_DEPTH_EXCEEDED;
  memcpy (call->root, parent->call.root, sizeof call->root);
  call->depth = parent->call.depth + 1;
  call->priority = parent->call.priority;
  memcpy (call->held, parent->call.held, sizeof call->held);
  call->held_count = parent->call.held_count;
  if (call->held_count < CALL_DEPTH_MAX)
    call->held[call->held_count++] = call_service_hash (parent->call.service);
  return REASON_NONE;
}

/* Every request gets its id before it can be refused, so that an operator can
   look up the reason by that id.  */
static void
assign_request_id (daemon_t *daemon, request_t *request,
                   const entry_headers_t *headers)
{
  call_t *call = &request->call;
  generate_request_id (daemon, call->request);
  bool has_valid_id = headers->request != NULL
                      && is_valid_id (headers->request, sizeof call->root);
  snprintf (call->root, sizeof call->root, "%s",
            has_valid_id ? headers->request : call->request);
}

/* Replaces a path that matches an alias by the path that the alias stands
   for, which is the one sent to the backend server.  */
static void
apply_alias (const doc_t *doc, request_t *request)
{
  char path[CALL_PATH_BYTES];
  if (doc_apply_alias (doc, request->call.path, path, sizeof path))
    memcpy (request->call.path, path, strlen (path) + 1);
}

static reason_t
admit_with_document (const doc_t *doc, request_t *request,
                     const entry_headers_t *headers, char nearest[PATH_BYTES])
{
  char path[CALL_PATH_BYTES];

  apply_alias (doc, request);
  admit_strip_query (request->call.path, path);
  const doc_route_t *route = doc_find_route (doc, request->call.method, path);
  if (route == NULL)
    {
      const char *nearest_path = doc_nearest_path (doc, path);
      snprintf (nearest, PATH_BYTES, "%s",
                nearest_path != NULL ? nearest_path : "");
      return REASON_ROUTE_UNKNOWN;
    }
  snprintf (request->call.service, sizeof request->call.service, "%s",
            doc->services[route->service].name);
  snprintf (request->call.route, sizeof request->call.route, "%s",
            route->name);
  request->call.doc_version = doc->version;
  reason_t reason = inherit_from_parent (route, request);
  if (reason == REASON_NONE)
    reason = set_account (doc, route, request, headers);
  if (reason == REASON_NONE)
    reason = set_deadline (route, request, headers);
  if (reason == REASON_NONE)
    reason = set_idempotency (route, request, headers);
  return reason;
}

static reason_t
attach_parent (daemon_t *daemon, request_t *request,
               const entry_headers_t *headers)
{
  if (headers->token == NULL)
    return REASON_NONE;
  request->parent = tokens_find (daemon->tokens, headers->token);
  if (request->parent == NULL)
    return REASON_TOKEN_UNKNOWN;
  request_child_began (request->parent, request->arrived_us);
  return REASON_NONE;
}

reason_t
admit_request (daemon_t *daemon, request_t *request,
               const entry_headers_t *headers, char nearest[PATH_BYTES])
{
  nearest[0] = '\0';
  assign_request_id (daemon, request, headers);
  if (!admit_path_is_unambiguous (request->call.path))
    return REASON_BAD_REQUEST;
  reason_t reason = attach_parent (daemon, request, headers);
  if (reason != REASON_NONE)
    return reason;
  const doc_t *doc = snapshot_acquire (&daemon->snapshot);
  reason = doc != NULL ? admit_with_document (doc, request, headers, nearest)
                       : REASON_CONFIG_NONE;
  snapshot_release (&daemon->snapshot);
  return reason;
}
