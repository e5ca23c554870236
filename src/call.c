#include "call.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "call_proto.h"

enum
{
  WIRE_BYTES = (CALL_HEADER_BYTES - 1) / 2
};

/* Appends the code to the SIZE bytes in BUFFER and writes both as hex.  */
static void
seal_hex (uint8_t buffer[WIRE_BYTES], size_t size, const seal_t *seal,
          char text[CALL_HEADER_BYTES])
{
  seal_sign (seal, buffer, size, buffer + size);
  sodium_bin2hex (text, CALL_HEADER_BYTES, buffer, size + SEAL_BYTES);
}

/* Returns the size of the verified bytes in BUFFER, or 0.  */
static size_t
open_hex (const char *text, const seal_t *seal, uint8_t buffer[WIRE_BYTES])
{
  size_t size = 0;
  const char *end = NULL;

  if (sodium_hex2bin (buffer, WIRE_BYTES, text, strlen (text), NULL, &size,
                      &end)
          != 0
      || *end != '\0' || size <= SEAL_BYTES)
    return 0;
  size -= SEAL_BYTES;
  return seal_verify (seal, buffer, size, buffer + size) ? size : 0;
}

static size_t
encode (xdrproc_t proc, void *value, uint8_t buffer[WIRE_BYTES])
{
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)buffer, WIRE_BYTES - SEAL_BYTES, XDR_ENCODE);
  size_t size = proc (&xdrs, value) ? xdr_getpos (&xdrs) : 0;
  xdr_destroy (&xdrs);
  return size;
}

bool
call_seal (const call_t *call, const seal_t *seal,
           char text[CALL_HEADER_BYTES])
{
  uint8_t buffer[WIRE_BYTES];
  wire_call wire = {
    .root = (char *)call->root,
    .request = (char *)call->request,
    .account = (char *)call->account,
    .route = (char *)call->route,
    .service = (char *)call->service,
    .key = (char *)call->key,
    .method = (char *)call->method,
    .path = (char *)call->path,
    .body_hash = call->body_hash,
    .from = call->from,
    .doc_version = call->doc_version,
    .serial = call->serial,
    .held = { call->held_count, (u_quad_t *)call->held },
    .weight = call->weight,
    .priority = call->priority,
    .rank = call->rank,
    .deadline_ms = call->deadline_ms,
    .retries = call->retries,
    .depth = call->depth,
    .idempotent = call->idempotent,
    .query = call->query,
  };
  size_t size = encode ((xdrproc_t)xdr_wire_call, &wire, buffer);
  if (size == 0)
    return false;
  seal_hex (buffer, size, seal, text);
  return true;
}

static void
copy_text (char *to, size_t room, const char *from)
{
  snprintf (to, room, "%s", from);
}

static void
from_wire (call_t *call, const wire_call *wire)
{
  memset (call, 0, sizeof *call);
  copy_text (call->root, sizeof call->root, wire->root);
  copy_text (call->request, sizeof call->request, wire->request);
  copy_text (call->account, sizeof call->account, wire->account);
  copy_text (call->route, sizeof call->route, wire->route);
  copy_text (call->service, sizeof call->service, wire->service);
  copy_text (call->key, sizeof call->key, wire->key);
  copy_text (call->method, sizeof call->method, wire->method);
  copy_text (call->path, sizeof call->path, wire->path);
  call->body_hash = wire->body_hash;
  call->from = wire->from;
  call->doc_version = wire->doc_version;
  call->serial = wire->serial;
  call->held_count = wire->held.held_len;
  for (uint32_t i = 0; i < wire->held.held_len; i++)
    call->held[i] = wire->held.held_val[i];
  call->weight = wire->weight;
  call->priority
      = wire->priority < PRIORITY_COUNT ? wire->priority : PRIORITY_COUNT - 1;
  call->rank = wire->rank;
  call->deadline_ms = wire->deadline_ms;
  call->retries = wire->retries;
  call->depth = wire->depth;
  call->idempotent = wire->idempotent;
  call->query = wire->query;
}

bool
call_open (const char *text, const seal_t *seal, call_t *call)
{
  uint8_t buffer[WIRE_BYTES];
  wire_call wire = { 0 };
  XDR xdrs;

  size_t size = open_hex (text, seal, buffer);
  if (size == 0)
    return false;
  xdrmem_create (&xdrs, (char *)buffer, (u_int)size, XDR_DECODE);
  bool ok = xdr_wire_call (&xdrs, &wire);
  if (ok)
    from_wire (call, &wire);
  xdr_destroy (&xdrs);
  xdr_free ((xdrproc_t)xdr_wire_call, (char *)&wire);
  return ok;
}

bool
call_report_seal (const call_report_t *report, const seal_t *seal,
                  char text[CALL_HEADER_BYTES])
{
  uint8_t buffer[WIRE_BYTES];
  wire_report wire = { .request = (char *)report->request,
                       .body_hash = report->body_hash,
                       .reason = report->reason,
                       .status = (u_int)report->status,
                       .retries_unused = report->retries_unused,
                       .in_flight = report->in_flight,
                       .limit = report->limit,
                       .queued = report->queued,
                       .level = report->level };
  size_t size = encode ((xdrproc_t)xdr_wire_report, &wire, buffer);
  if (size == 0)
    return false;
  seal_hex (buffer, size, seal, text);
  return true;
}

static void
report_from_wire (call_report_t *report, const wire_report *wire)
{
  memset (report, 0, sizeof *report);
  copy_text (report->request, sizeof report->request, wire->request);
  report->body_hash = wire->body_hash;
  report->reason = (reason_t)wire->reason;
  report->status = (int)wire->status;
  report->retries_unused = wire->retries_unused;
  report->in_flight = wire->in_flight;
  report->limit = wire->limit;
  report->queued = wire->queued;
  report->level = wire->level;
}

bool
call_report_open (const char *text, const seal_t *seal, call_report_t *report)
{
  uint8_t buffer[WIRE_BYTES];
  wire_report wire = { 0 };
  XDR xdrs;

  size_t size = open_hex (text, seal, buffer);
  if (size == 0)
    return false;
  xdrmem_create (&xdrs, (char *)buffer, (u_int)size, XDR_DECODE);
  bool ok = xdr_wire_report (&xdrs, &wire) && wire.reason < REASON_COUNT;
  if (ok)
    report_from_wire (report, &wire);
  xdr_destroy (&xdrs);
  xdr_free ((xdrproc_t)xdr_wire_report, (char *)&wire);
  return ok;
}

uint64_t
call_body_hash (const char *body, size_t size)
{
  return XXH3_64bits (body, size);
}

uint64_t
call_service_hash (const char *service)
{
  return XXH3_64bits (service, strlen (service));
}
