#include "edge/peer_impl.h"

#include <stdlib.h>
#include <string.h>

#include "edge/http_syntax.h"
#include "invariant.h"

enum
{
  /* No new call is sent on a link with more output queued.  */
  OUTPUT_MAX_BYTES = 8 * 1024 * 1024,
  /* A reply pauses when more of it was sent without credit.  */
  STREAM_WINDOW_BYTES = 256 * 1024,
  CREDIT_BATCH_BYTES = 64 * 1024, /* consumed before credit is sent */
  /* Encoded size of the fields of a frame that are short or of fixed size.  */
  FIXED_FIELDS_MAX_BYTES = 1024,
  ZONE_MAX_BYTES = MESH_NAME_MAX + 32 /* encoded size of a mesh_zone */
};

/* --- table of streams -------------------------------------------------- */

static void
stream_table_put (stream_table_t *table, uint32_t slot, void *item)
{
  if (slot >= table->capacity)
    {
      uint32_t capacity = table->capacity ? table->capacity : 32;
      while (capacity <= slot)
        capacity *= 2;
      table->items = realloc (table->items, capacity * sizeof *table->items);
      table->free_slots
          = realloc (table->free_slots, capacity * sizeof *table->free_slots);
      if (table->items == NULL || table->free_slots == NULL)
        abort ();
      memset (table->items + table->capacity, 0,
              (capacity - table->capacity) * sizeof *table->items);
      table->capacity = capacity;
    }
  table->items[slot] = item;
  table->count++;
}

static uint32_t
stream_table_allocate_slot (stream_table_t *table)
{
  return table->free_slot_count > 0
             ? table->free_slots[--table->free_slot_count]
             : table->next_unused_slot++;
}

void *
stream_table_get (const stream_table_t *table, uint64_t stream_id)
{
  uint32_t slot = stream_id & STREAM_SLOT_MASK;
  return slot < table->capacity ? table->items[slot] : NULL;
}

static void
stream_table_remove (stream_table_t *table, uint64_t stream_id,
                     bool reuse_slot)
{
  uint32_t slot = stream_id & STREAM_SLOT_MASK;
  table->items[slot] = NULL;
  table->count--;
  if (reuse_slot)
    table->free_slots[table->free_slot_count++] = slot;
}

void
stream_table_free (stream_table_t *table)
{
  free (table->items);
  free (table->free_slots);
  *table = (stream_table_t){ 0 };
}

/* --- calls that this sidecar sends ------------------------------------- */

static uint32_t
remaining_ms (const peer_set_t *peers, int64_t deadline_us)
{
  int64_t remaining_us = deadline_us - peers->loop->now_us;
  return remaining_us > 0 ? (uint32_t)(remaining_us / US_PER_MS) : 0;
}

enum
{
  CALL_FLAG_IDEMPOTENT = 1,
  CALL_FLAG_FROM_BACKEND = 2,
  CALL_FLAG_RESUME = 4
};

/* Returns false, with nothing sent, if CALL exceeds a limit of a frame.  */
static bool
send_call_frames (peer_link_t *link, uint64_t stream_id,
                  const call_request_t *call)
{
  size_t first_size = call->body_size < MESH_PART_MAX ? call->body_size
                                                      : (size_t)MESH_PART_MAX;
  mesh_call message = {
    .stream = stream_id,
    .attempt_id = (char *)call->attempt_id,
    .method = (char *)call->method,
    .target = (char *)call->target,
    .fields = { (u_int)call->fields_size, (char *)call->fields },
    .account = (char *)call->account,
    .caller = (char *)call->caller_service,
    .service = (char *)call->service,
    .route = (char *)call->route,
    .incarnation = call->incarnation,
    .timeout_ms = remaining_ms (link->peers, call->deadline_us),
    .wait_ms = (uint32_t)(call->max_wait_us / US_PER_MS),
    .expected_us = (uint32_t)call->expected_run_us,
    .priority = call->priority,
    .flags = (call->idempotent ? CALL_FLAG_IDEMPOTENT : 0)
             | (call->from_backend ? CALL_FLAG_FROM_BACKEND : 0)
             | (call->asks_outcome ? CALL_FLAG_RESUME : 0),
    .body_size = (u_int)call->body_size,
    .body = { (u_int)first_size, (char *)call->body },
  };
  if (!link_send_frame (link, MESH_CALL, (xdrproc_t)xdr_mesh_call, &message,
                        FIXED_FIELDS_MAX_BYTES + strlen (call->target)
                            + call->fields_size + first_size))
    return false;
  for (size_t offset = first_size; offset < call->body_size;)
    {
      size_t part_size = call->body_size - offset;
      if (part_size > MESH_PART_MAX)
        part_size = MESH_PART_MAX;
      mesh_part part = { stream_id,
                         offset + part_size == call->body_size,
                         { (u_int)part_size, (char *)call->body + offset } };
      link_send_frame (link, MESH_CALL_BODY, (xdrproc_t)xdr_mesh_part, &part,
                       FIXED_FIELDS_MAX_BYTES + part_size);
      offset += part_size;
    }
  return true;
}

static void
call_free (peer_call_t *call)
{
  stream_table_remove (&call->link->calls, call->stream_id, true);
  free (call);
}

peer_call_t *
peer_send_call (peer_t *peer, const call_request_t *call,
                const call_sink_t *sink)
{
  peer_link_t *link = peer->active_link;
  if (link == NULL || bytes_size (&link->output) > OUTPUT_MAX_BYTES)
    return NULL;
  peer_call_t *sent_call = calloc (1, sizeof *sent_call);
  if (sent_call == NULL)
    abort ();
  uint32_t slot = stream_table_allocate_slot (&link->calls);
  sent_call->link = link;
  sent_call->stream_id = (++link->call_sequence << STREAM_SLOT_BITS) | slot;
  sent_call->sink = *sink;
  stream_table_put (&link->calls, slot, sent_call);
  if (!send_call_frames (link, sent_call->stream_id, call))
    {
      call_free (sent_call);
      return NULL;
    }
  sent_call->end_offset_bytes = link->queued_bytes;
  return sent_call;
}

void
peer_call_cancel (peer_call_t *call)
{
  mesh_stream cancel = { call->stream_id, 0 };
  link_send_frame (call->link, MESH_CANCEL, (xdrproc_t)xdr_mesh_stream,
                   &cancel, FIXED_FIELDS_MAX_BYTES);
  call_free (call);
}

void
peer_call_consume (peer_call_t *call, size_t size)
{
  call->uncredited_bytes += (uint32_t)size;
  if (call->uncredited_bytes < CREDIT_BATCH_BYTES)
    return;
  mesh_stream credit = { call->stream_id, call->uncredited_bytes };
  call->uncredited_bytes = 0;
  link_send_frame (call->link, MESH_CREDIT, (xdrproc_t)xdr_mesh_stream,
                   &credit, FIXED_FIELDS_MAX_BYTES);
}

static peer_call_t *
find_call (const peer_link_t *link, uint64_t stream_id)
{
  peer_call_t *call = stream_table_get (&link->calls, stream_id);
  return call != NULL && call->stream_id == stream_id ? call : NULL;
}

static server_load_t
load_from_wire (const mesh_load *load)
{
  return (server_load_t){ load->running, load->queued, load->window,
                          load->pressure_permille, load->slow_permille };
}

/* Whether the head of REPLY is that of a valid final response, and does not
   promise, as some do, that the request has not run.  */
static bool
is_reply_valid (const mesh_reply *reply)
{
  bool promises_no_run = reply->status == 408 || reply->status == 421
                         || reply->status == 429 || reply->status == 503;
  return reply->status >= 200 && reply->status <= 599 && !promises_no_run
         && reply->length >= -1
         && http_syntax_check_field_block (reply->fields.fields_val,
                                           reply->fields.fields_len)
                == HTTP_DEFECT_NONE;
}

/* Counts SIZE more bytes of the body.  Returns false if they contradict the
   length.  */
static bool
count_reply_bytes (peer_call_t *call, size_t size, bool last)
{
  call->reply_bytes += size;
  if (call->reply_length < 0)
    return true;
  uint64_t length = (uint64_t)call->reply_length;
  return last ? call->reply_bytes == length : call->reply_bytes <= length;
}

/* Fails CALL, whose reply is not valid.  ENDED is whether its last part has
   arrived.  */
static void
fail_malformed_reply (peer_call_t *call, bool ended)
{
  call_sink_t sink = call->sink;
  call_failure_t failure
      = { .kind = FAILURE_INVALID_REPLY, .cause = CAUSE_MALFORMED_REPLY };
  call->link->peers->stats.replies_malformed++;
  if (ended)
    call_free (call);
  else
    peer_call_cancel (call);
  sink.failed (sink.ctx, &failure);
}

static void
pass_on_reply (peer_call_t *call, const mesh_reply *reply)
{
  call_reply_t received = {
    .status = (int)reply->status,
    .fields = reply->fields.fields_val,
    .fields_size = reply->fields.fields_len,
    .content_length = reply->length,
    .run_us = reply->run_us,
    .load = load_from_wire (&reply->load),
  };
  call_sink_t sink = call->sink;
  call->reply_received = true;
  if (reply->last)
    call_free (call);
  sink.reply (sink.ctx, &received, reply->body.body_val, reply->body.body_len,
              reply->last != 0);
}

static bool
handle_reply (peer_link_t *link, XDR *xdr)
{
  mesh_reply reply;
  memset (&reply, 0, sizeof reply);
  bool decoded = xdr_mesh_reply (xdr, &reply);
  peer_call_t *call = decoded ? find_call (link, reply.stream) : NULL;
  if (call != NULL)
    {
      bool valid = !call->reply_received && is_reply_valid (&reply);
      call->reply_length = reply.length;
      if (valid && count_reply_bytes (call, reply.body.body_len, reply.last))
        pass_on_reply (call, &reply);
      else
        fail_malformed_reply (call, reply.last);
    }
  xdr_free ((xdrproc_t)xdr_mesh_reply, (char *)&reply);
  return decoded;
}

static bool
handle_reply_body (peer_link_t *link, XDR *xdr)
{
  mesh_part part;
  memset (&part, 0, sizeof part);
  bool decoded = xdr_mesh_part (xdr, &part);
  peer_call_t *call = decoded ? find_call (link, part.stream) : NULL;
  bool valid = call != NULL && call->reply_received
               && count_reply_bytes (call, part.data.data_len, part.last);
  if (call != NULL && !valid)
    fail_malformed_reply (call, part.last);
  else if (call != NULL)
    {
      call_sink_t sink = call->sink;
      if (part.last)
        call_free (call);
      sink.body (sink.ctx, part.data.data_val, part.data.data_len,
                 part.last != 0);
    }
  xdr_free ((xdrproc_t)xdr_mesh_part, (char *)&part);
  return decoded;
}

/* Reads MESSAGE.  A peer of a later version may send kinds and causes that are
   not known here.  Of an unknown kind, the request may have run.  */
static call_failure_t
failure_from_wire (const mesh_failed *message)
{
  return (call_failure_t){
    .kind = message->failure <= FAILURE_INVALID_REPLY
                ? (failure_kind_t)message->failure
                : FAILURE_OUTCOME_UNKNOWN,
    .cause
    = message->cause < CAUSE_COUNT ? (cause_t)message->cause : CAUSE_UNKNOWN,
    .retry_after_ms = message->retry_ms,
    .load = load_from_wire (&message->load),
  };
}

static bool
handle_failure (peer_link_t *link, XDR *xdr)
{
  mesh_failed message;
  memset (&message, 0, sizeof message);
  if (!xdr_mesh_failed (xdr, &message))
    return false;
  peer_call_t *call = find_call (link, message.stream);
  if (call == NULL)
    return true;
  call_sink_t sink = call->sink;
  call_free (call);
  call_failure_t failure = failure_from_wire (&message);
  sink.failed (sink.ctx, &failure);
  return true;
}

/* --- calls that this sidecar serves ------------------------------------ */

static peer_stream_t *
find_stream (const peer_link_t *link, uint64_t stream_id)
{
  peer_stream_t *found = stream_table_get (&link->streams, stream_id);
  return found != NULL && found->stream_id == stream_id ? found : NULL;
}

static void
stream_free (peer_stream_t *stream)
{
  stream_table_remove (&stream->link->streams, stream->stream_id, false);
  xdr_free ((xdrproc_t)xdr_mesh_call, (char *)&stream->call);
  bytes_free (&stream->body);
  free (stream);
}

static void
stream_dispatch (peer_stream_t *stream)
{
  peer_set_t *peers = stream->link->peers;
  mesh_call *message = &stream->call;
  bool in_one_frame = bytes_size (&stream->body) == 0;
  call_request_t call = {
    .attempt_id = message->attempt_id,
    .method = message->method,
    .target = message->target,
    .fields = message->fields.fields_val,
    .fields_size = message->fields.fields_len,
    .body = in_one_frame ? message->body.body_val : bytes_data (&stream->body),
    .body_size = message->body_size,
    .account = message->account,
    .caller_service = message->caller,
    .service = message->service,
    .route = message->route,
    .incarnation = message->incarnation,
    .deadline_us
    = peers->loop->now_us + (int64_t)message->timeout_ms * US_PER_MS,
    .max_wait_us = (int64_t)message->wait_ms * US_PER_MS,
    .expected_run_us = message->expected_us,
    .priority = (uint8_t)message->priority,
    .idempotent = (message->flags & CALL_FLAG_IDEMPOTENT) != 0,
    .from_backend = (message->flags & CALL_FLAG_FROM_BACKEND) != 0,
    .asks_outcome = (message->flags & CALL_FLAG_RESUME) != 0,
  };
  stream->call_dispatched = true;
  peers->handler.on_call (peers->handler.ctx, stream, &call);
}

/* Whether CALL, of another sidecar, can be sent to a server as one request. */
static bool
is_call_valid (const mesh_call *call)
{
  size_t target_size = strlen (call->target);
  return http_syntax_is_token (call->method, strlen (call->method))
         && target_size > 0 && strpbrk (call->target, " \t") == NULL
         && http_syntax_is_value (call->target, target_size)
         && http_syntax_is_value (call->attempt_id, strlen (call->attempt_id))
         && http_syntax_check_field_block (call->fields.fields_val,
                                           call->fields.fields_len)
                == HTTP_DEFECT_NONE;
}

/* Passes on the complete call of STREAM, unless it is no valid request.  */
static void
stream_accept (peer_stream_t *stream)
{
  call_failure_t failure
      = { .kind = FAILURE_REFUSED, .cause = CAUSE_MALFORMED_CALL };
  if (is_call_valid (&stream->call))
    {
      stream_dispatch (stream);
      return;
    }
  stream->link->peers->stats.calls_malformed++;
  peer_stream_fail (stream, &failure);
}

static bool
handle_call (peer_link_t *link, XDR *xdr)
{
  mesh_call call;
  memset (&call, 0, sizeof call);
  bool valid = xdr_mesh_call (xdr, &call) && call.priority < PRIORITY_COUNT
               && call.body.body_len <= call.body_size
               && stream_table_get (&link->streams, call.stream) == NULL;
  if (!valid)
    {
      xdr_free ((xdrproc_t)xdr_mesh_call, (char *)&call);
      return false;
    }
  peer_stream_t *stream = calloc (1, sizeof *stream);
  if (stream == NULL)
    abort ();
  stream->link = link;
  stream->stream_id = call.stream;
  stream->call = call;
  stream_table_put (&link->streams, call.stream & STREAM_SLOT_MASK, stream);
  if (call.body.body_len == call.body_size)
    stream_accept (stream);
  else
    bytes_append (&stream->body, call.body.body_val, call.body.body_len);
  return true;
}

static bool
handle_call_body (peer_link_t *link, XDR *xdr)
{
  mesh_part part;
  memset (&part, 0, sizeof part);
  bool valid = xdr_mesh_part (xdr, &part);
  peer_stream_t *stream = valid ? find_stream (link, part.stream) : NULL;
  if (stream != NULL && !stream->call_dispatched)
    {
      bytes_append (&stream->body, part.data.data_val, part.data.data_len);
      size_t size = bytes_size (&stream->body);
      valid = size <= stream->call.body_size
              && (part.last != 0) == (size == stream->call.body_size);
      if (valid && part.last)
        stream_accept (stream);
    }
  xdr_free ((xdrproc_t)xdr_mesh_part, (char *)&part);
  return valid;
}

static void
stream_cancel (peer_stream_t *stream)
{
  peer_handler_t *handler = &stream->link->peers->handler;
  if (stream->call_dispatched)
    handler->on_cancel (handler->ctx, stream);
  stream_free (stream);
}

static bool
handle_stream_control (peer_link_t *link, mesh_kind kind, XDR *xdr)
{
  mesh_stream control;
  peer_handler_t *handler = &link->peers->handler;
  if (!xdr_mesh_stream (xdr, &control))
    return false;
  peer_stream_t *stream = find_stream (link, control.stream);
  if (stream == NULL)
    return true; /* the call has already ended */
  if (kind == MESH_CANCEL)
    {
      stream_cancel (stream);
      return true;
    }
  stream->uncredited_bytes -= control.value < stream->uncredited_bytes
                                  ? control.value
                                  : stream->uncredited_bytes;
  if (stream->call_dispatched)
    handler->on_credit (handler->ctx, stream);
  return true;
}

static mesh_load
load_to_wire (const server_load_t *load)
{
  return (mesh_load){ load->running, load->queued, load->window,
                      load->pressure_permille, load->slowdown_permille };
}

void
peer_stream_send_reply (peer_stream_t *stream, const call_reply_t *reply,
                        const char *body, size_t size, bool last)
{
  size_t first_size = size < MESH_PART_MAX ? size : (size_t)MESH_PART_MAX;
  bool complete = last && first_size == size;
  mesh_reply message = {
    .stream = stream->stream_id,
    .status = (u_int)reply->status,
    .last = complete,
    .length = reply->content_length,
    .run_us = reply->run_us,
    .load = load_to_wire (&reply->load),
    .fields = { (u_int)reply->fields_size, (char *)reply->fields },
    .body = { (u_int)first_size, (char *)body },
  };
  INVARIANT (reply->fields_size <= MESH_FIELDS_MAX,
             "%zu bytes of reply fields do not fit into a frame",
             reply->fields_size);
  link_send_frame (stream->link, MESH_REPLY, (xdrproc_t)xdr_mesh_reply,
                   &message,
                   FIXED_FIELDS_MAX_BYTES + reply->fields_size + first_size);
  stream->uncredited_bytes += first_size;
  if (complete)
    stream_free (stream);
  else if (size > first_size || last)
    peer_stream_send_body (stream, body + first_size, size - first_size, last);
}

void
peer_stream_send_body (peer_stream_t *stream, const char *data, size_t size,
                       bool last)
{
  size_t offset = 0;
  do
    {
      size_t part_size = size - offset < MESH_PART_MAX ? size - offset
                                                       : (size_t)MESH_PART_MAX;
      mesh_part part = { stream->stream_id,
                         last && offset + part_size == size,
                         { (u_int)part_size, (char *)data + offset } };
      link_send_frame (stream->link, MESH_REPLY_BODY, (xdrproc_t)xdr_mesh_part,
                       &part, FIXED_FIELDS_MAX_BYTES + part_size);
      offset += part_size;
    }
  while (offset < size);
  stream->uncredited_bytes += size;
  if (last)
    stream_free (stream);
}

void
peer_stream_fail (peer_stream_t *stream, const call_failure_t *failure)
{
  mesh_failed message = {
    .stream = stream->stream_id,
    .failure = failure->kind,
    .cause = failure->cause,
    .retry_ms = failure->retry_after_ms,
    .load = load_to_wire (&failure->load),
  };
  link_send_frame (stream->link, MESH_FAILED, (xdrproc_t)xdr_mesh_failed,
                   &message, FIXED_FIELDS_MAX_BYTES);
  stream_free (stream);
}

bool
peer_stream_window_is_full (const peer_stream_t *stream)
{
  return stream->uncredited_bytes > STREAM_WINDOW_BYTES;
}

bool
peer_stream_is_lost (const peer_stream_t *stream)
{
  return stream->link->closed;
}

void
peer_stream_set_user_data (peer_stream_t *stream, void *user_data)
{
  stream->user_data = user_data;
}

void *
peer_stream_user_data (const peer_stream_t *stream)
{
  return stream->user_data;
}

void
peer_request_document (peer_t *peer, uint64_t config_version)
{
  mesh_stream request = { config_version, 0 };
  if (peer->active_link != NULL)
    link_send_frame (peer->active_link, MESH_WANT_DOCUMENT,
                     (xdrproc_t)xdr_mesh_stream, &request,
                     FIXED_FIELDS_MAX_BYTES);
}

void
peer_send_document (peer_t *peer, mesh_document *document)
{
  size_t zone_count = document->zones.zones_len;
  if (peer->active_link != NULL)
    link_send_frame (peer->active_link, MESH_DOCUMENT,
                     (xdrproc_t)xdr_mesh_document, document,
                     FIXED_FIELDS_MAX_BYTES + document->text.text_len
                         + zone_count * ZONE_MAX_BYTES);
}

/* --- dispatch of frames and loss of a link ----------------------------- */

bool
stream_handle_frame (peer_link_t *link, mesh_kind kind, XDR *xdr)
{
  switch (kind)
    {
    case MESH_CALL:
      return handle_call (link, xdr);
    case MESH_CALL_BODY:
      return handle_call_body (link, xdr);
    case MESH_CANCEL:
    case MESH_CREDIT:
      return handle_stream_control (link, kind, xdr);
    case MESH_REPLY:
      return handle_reply (link, xdr);
    case MESH_REPLY_BODY:
      return handle_reply_body (link, xdr);
    case MESH_FAILED:
      return handle_failure (link, xdr);
    default:
      return false;
    }
}

/* A call whose last byte was not sent cannot have run, so it fails as
   refused.  */
static void
fail_lost_call (peer_link_t *link, peer_call_t *call)
{
  call_failure_t failure
      = { .kind = FAILURE_OUTCOME_UNKNOWN, .cause = CAUSE_PEER_LOST };
  if (call->reply_received)
    failure.kind = FAILURE_INVALID_REPLY;
  else if (link->sent_bytes < call->end_offset_bytes)
    failure.kind = FAILURE_REFUSED;
  call_sink_t sink = call->sink;
  call_free (call);
  sink.failed (sink.ctx, &failure);
}

void
streams_end_all (peer_link_t *link)
{
  for (uint32_t i = 0; i < link->streams.capacity; i++)
    if (link->streams.items[i] != NULL)
      stream_cancel (link->streams.items[i]);
  for (uint32_t i = 0; i < link->calls.capacity; i++)
    if (link->calls.items[i] != NULL)
      fail_lost_call (link, link->calls.items[i]);
}
