#include "edge/peer_impl.h"

#include <stdlib.h>
#include <string.h>

#include "invariant.h"

enum
{
  OUT_MOST = 8 * 1024 * 1024, /* waiting on a link; more counts as no link */
  WINDOW_BYTES = 256 * 1024,  /* of one answer that wait for its caller */
  CREDIT_BYTES = 64 * 1024,   /* taken before it is told */
  FIXED_ROOM = 1024           /* for all that is bounded in a frame */
};

/* --- slots ------------------------------------------------------------- */

static void
slots_put (slots_t *slots, uint32_t slot, void *item)
{
  if (slot >= slots->room)
    {
      uint32_t room = slots->room ? slots->room : 32;
      while (room <= slot)
        room *= 2;
      slots->items = realloc (slots->items, room * sizeof *slots->items);
      slots->free = realloc (slots->free, room * sizeof *slots->free);
      if (slots->items == NULL || slots->free == NULL)
        abort ();
      memset (slots->items + slots->room, 0,
              (room - slots->room) * sizeof *slots->items);
      slots->room = room;
    }
  slots->items[slot] = item;
  slots->count++;
}

static uint32_t
slots_take (slots_t *slots)
{
  return slots->free_count > 0 ? slots->free[--slots->free_count]
                               : slots->used++;
}

void *
slots_get (const slots_t *slots, uint64_t stream)
{
  uint32_t slot = stream & SLOT_MASK;
  return slot < slots->room ? slots->items[slot] : NULL;
}

static void
slots_drop (slots_t *slots, uint64_t stream, bool own)
{
  uint32_t slot = stream & SLOT_MASK;
  slots->items[slot] = NULL;
  slots->count--;
  if (own)
    slots->free[slots->free_count++] = slot;
}

void
slots_free (slots_t *slots)
{
  free (slots->items);
  free (slots->free);
  *slots = (slots_t){ 0 };
}

/* --- calls of this side ------------------------------------------------ */

static uint32_t
left_ms (const peer_set_t *peers, int64_t until_us)
{
  int64_t left_us = until_us - peers->loop->now_us;
  return left_us > 0 ? (uint32_t)(left_us / US_PER_MS) : 0;
}

enum
{
  CALL_IDEMPOTENT = 1,
  CALL_FROM_BACKEND = 2,
  CALL_RESUME = 4
};

static void
send_call (peer_link_t *link, uint64_t stream, const call_request_t *call)
{
  size_t first = call->body_size < MESH_PART_MAX ? call->body_size
                                                 : (size_t)MESH_PART_MAX;
  mesh_call message = {
    .stream = stream,
    .attempt_id = (char *)call->attempt_id,
    .method = (char *)call->method,
    .target = (char *)call->target,
    .fields = { (u_int)call->fields_size, (char *)call->fields },
    .account = (char *)call->account,
    .caller = (char *)call->caller_service,
    .service = (char *)call->service,
    .route = (char *)call->route,
    .incarnation = call->incarnation,
    .timeout_ms = left_ms (link->peers, call->deadline_us),
    .wait_ms = (uint32_t)(call->max_wait_us / US_PER_MS),
    .expected_us = (uint32_t)call->expected_run_us,
    .priority = call->priority,
    .flags = (call->idempotent ? CALL_IDEMPOTENT : 0)
             | (call->from_backend ? CALL_FROM_BACKEND : 0)
             | (call->resume ? CALL_RESUME : 0),
    .body_size = (u_int)call->body_size,
    .body = { (u_int)first, (char *)call->body },
  };
  link_send (link, MESH_CALL, (xdrproc_t)xdr_mesh_call, &message,
             FIXED_ROOM + strlen (call->target) + call->fields_size + first);
  for (size_t at = first; at < call->body_size;)
    {
      size_t size = call->body_size - at;
      if (size > MESH_PART_MAX)
        size = MESH_PART_MAX;
      mesh_part part = { stream,
                         at + size == call->body_size,
                         { (u_int)size, (char *)call->body + at } };
      link_send (link, MESH_CALL_BODY, (xdrproc_t)xdr_mesh_part, &part,
                 FIXED_ROOM + size);
      at += size;
    }
}

peer_call_t *
peer_send_call (peer_t *peer, const call_request_t *call,
                const call_sink_t *sink)
{
  peer_link_t *link = peer->link;
  if (link == NULL || bytes_size (&link->out) > OUT_MOST
      || call->fields_size > MESH_FIELDS_MAX
      || strlen (call->target) >= MESH_TARGET_MAX)
    return NULL;
  peer_call_t *sent = calloc (1, sizeof *sent);
  if (sent == NULL)
    abort ();
  uint32_t slot = slots_take (&link->calls);
  sent->link = link;
  sent->stream = (++link->uses << SLOT_BITS) | slot;
  sent->sink = *sink;
  slots_put (&link->calls, slot, sent);
  send_call (link, sent->stream, call);
  sent->frame_end = link->queued_bytes;
  return sent;
}

static void
call_free (peer_call_t *call)
{
  slots_drop (&call->link->calls, call->stream, true);
  free (call);
}

void
peer_call_cancel (peer_call_t *call)
{
  mesh_stream cancel = { call->stream, 0 };
  link_send (call->link, MESH_CANCEL, (xdrproc_t)xdr_mesh_stream, &cancel,
             FIXED_ROOM);
  call_free (call);
}

void
peer_call_consume (peer_call_t *call, size_t size)
{
  call->taken += (uint32_t)size;
  if (call->taken < CREDIT_BYTES)
    return;
  mesh_stream credit = { call->stream, call->taken };
  call->taken = 0;
  link_send (call->link, MESH_CREDIT, (xdrproc_t)xdr_mesh_stream, &credit,
             FIXED_ROOM);
}

static peer_call_t *
find_call (const peer_link_t *link, uint64_t stream)
{
  peer_call_t *call = slots_get (&link->calls, stream);
  return call != NULL && call->stream == stream ? call : NULL;
}

static server_load_t
load_from (const mesh_load *load)
{
  return (server_load_t){ load->running, load->queued, load->window,
                          load->pressure_permille, load->slow_permille };
}

static bool
reply_frame (peer_link_t *link, XDR *xdr)
{
  mesh_reply reply;
  memset (&reply, 0, sizeof reply);
  bool read = xdr_mesh_reply (xdr, &reply);
  peer_call_t *call = read ? find_call (link, reply.stream) : NULL;
  if (call != NULL)
    {
      call_reply_t told = {
        .status = (int)reply.status,
        .fields = reply.fields.fields_val,
        .fields_size = reply.fields.fields_len,
        .content_length = reply.length,
        .run_us = reply.run_us,
        .load = load_from (&reply.load),
      };
      call_sink_t sink = call->sink;
      call->replied = true;
      if (reply.last)
        call_free (call);
      sink.reply (sink.ctx, &told, reply.body.body_val, reply.body.body_len,
                  reply.last != 0);
    }
  xdr_free ((xdrproc_t)xdr_mesh_reply, (char *)&reply);
  return read;
}

static bool
reply_body_frame (peer_link_t *link, XDR *xdr)
{
  mesh_part part;
  memset (&part, 0, sizeof part);
  bool read = xdr_mesh_part (xdr, &part);
  peer_call_t *call = read ? find_call (link, part.stream) : NULL;
  if (call != NULL)
    {
      call_sink_t sink = call->sink;
      if (part.last)
        call_free (call);
      sink.body (sink.ctx, part.data.data_val, part.data.data_len,
                 part.last != 0);
    }
  xdr_free ((xdrproc_t)xdr_mesh_part, (char *)&part);
  return read;
}

static bool
failed_frame (peer_link_t *link, XDR *xdr)
{
  mesh_failed failed;
  memset (&failed, 0, sizeof failed);
  if (!xdr_mesh_failed (xdr, &failed) || failed.cause >= CAUSE_COUNT
      || failed.failure > FAILURE_INVALID_REPLY)
    return false;
  peer_call_t *call = find_call (link, failed.stream);
  if (call == NULL)
    return true;
  call_sink_t sink = call->sink;
  call_free (call);
  call_failure_t failure
      = { (failure_kind_t)failed.failure, (cause_t)failed.cause,
          failed.retry_ms, load_from (&failed.load) };
  sink.failed (sink.ctx, &failure);
  return true;
}

/* --- calls that this side serves --------------------------------------- */

static peer_stream_t *
find_stream (const peer_link_t *link, uint64_t stream)
{
  peer_stream_t *found = slots_get (&link->streams, stream);
  return found != NULL && found->stream == stream ? found : NULL;
}

static void
stream_free (peer_stream_t *stream)
{
  slots_drop (&stream->link->streams, stream->stream, false);
  xdr_free ((xdrproc_t)xdr_mesh_call, (char *)&stream->call);
  bytes_free (&stream->body);
  free (stream);
}

static void
stream_start (peer_stream_t *stream)
{
  peer_set_t *peers = stream->link->peers;
  mesh_call *told = &stream->call;
  bool whole = bytes_size (&stream->body) == 0;
  call_request_t call = {
    .attempt_id = told->attempt_id,
    .method = told->method,
    .target = told->target,
    .fields = told->fields.fields_val,
    .fields_size = told->fields.fields_len,
    .body = whole ? told->body.body_val : bytes_data (&stream->body),
    .body_size = told->body_size,
    .account = told->account,
    .caller_service = told->caller,
    .service = told->service,
    .route = told->route,
    .incarnation = told->incarnation,
    .deadline_us = peers->loop->now_us + (int64_t)told->timeout_ms * US_PER_MS,
    .max_wait_us = (int64_t)told->wait_ms * US_PER_MS,
    .expected_run_us = told->expected_us,
    .priority = (uint8_t)told->priority,
    .idempotent = (told->flags & CALL_IDEMPOTENT) != 0,
    .from_backend = (told->flags & CALL_FROM_BACKEND) != 0,
    .resume = (told->flags & CALL_RESUME) != 0,
  };
  stream->started = true;
  peers->handler.call (peers->handler.ctx, stream, &call);
}

static bool
call_frame (peer_link_t *link, XDR *xdr)
{
  mesh_call call;
  memset (&call, 0, sizeof call);
  bool read = xdr_mesh_call (xdr, &call) && call.priority < PRIORITY_COUNT
              && call.body.body_len <= call.body_size
              && slots_get (&link->streams, call.stream) == NULL;
  if (!read)
    {
      xdr_free ((xdrproc_t)xdr_mesh_call, (char *)&call);
      return false;
    }
  peer_stream_t *stream = calloc (1, sizeof *stream);
  if (stream == NULL)
    abort ();
  stream->link = link;
  stream->stream = call.stream;
  stream->call = call;
  slots_put (&link->streams, call.stream & SLOT_MASK, stream);
  if (call.body.body_len == call.body_size)
    stream_start (stream);
  else
    bytes_append (&stream->body, call.body.body_val, call.body.body_len);
  return true;
}

static bool
call_body_frame (peer_link_t *link, XDR *xdr)
{
  mesh_part part;
  memset (&part, 0, sizeof part);
  bool read = xdr_mesh_part (xdr, &part);
  peer_stream_t *stream = read ? find_stream (link, part.stream) : NULL;
  if (stream != NULL && !stream->started)
    {
      bytes_append (&stream->body, part.data.data_val, part.data.data_len);
      size_t size = bytes_size (&stream->body);
      read = size <= stream->call.body_size;
      if (size == stream->call.body_size)
        stream_start (stream);
    }
  xdr_free ((xdrproc_t)xdr_mesh_part, (char *)&part);
  return read;
}

static void
stream_cancel (peer_stream_t *stream)
{
  peer_handler_t *handler = &stream->link->peers->handler;
  if (stream->started)
    handler->cancel (handler->ctx, stream);
  stream_free (stream);
}

static bool
stream_word_frame (peer_link_t *link, mesh_kind kind, XDR *xdr)
{
  mesh_stream word;
  peer_handler_t *handler = &link->peers->handler;
  if (!xdr_mesh_stream (xdr, &word))
    return false;
  peer_stream_t *stream = find_stream (link, word.stream);
  if (stream == NULL)
    return true; /* it has ended meanwhile */
  if (kind == MESH_CANCEL)
    {
      stream_cancel (stream);
      return true;
    }
  stream->unacked
      -= word.value < stream->unacked ? word.value : stream->unacked;
  if (stream->started)
    handler->credit (handler->ctx, stream);
  return true;
}

static mesh_load
load_to (const server_load_t *load)
{
  return (mesh_load){ load->running, load->queued, load->window,
                      load->pressure_permille, load->slowdown_permille };
}

void
peer_stream_send_reply (peer_stream_t *stream, const call_reply_t *reply,
                        const char *body, size_t size, bool last)
{
  size_t first = size < MESH_PART_MAX ? size : (size_t)MESH_PART_MAX;
  bool ends = last && first == size;
  mesh_reply message = {
    .stream = stream->stream,
    .status = (u_int)reply->status,
    .last = ends,
    .length = reply->content_length,
    .run_us = reply->run_us,
    .load = load_to (&reply->load),
    .fields = { (u_int)reply->fields_size, (char *)reply->fields },
    .body = { (u_int)first, (char *)body },
  };
  link_send (stream->link, MESH_REPLY, (xdrproc_t)xdr_mesh_reply, &message,
             FIXED_ROOM + reply->fields_size + first);
  stream->unacked += first;
  if (ends)
    stream_free (stream);
  else if (size > first || last)
    peer_stream_send_body (stream, body + first, size - first, last);
}

void
peer_stream_send_body (peer_stream_t *stream, const char *data, size_t size,
                       bool last)
{
  size_t at = 0;
  do
    {
      size_t piece
          = size - at < MESH_PART_MAX ? size - at : (size_t)MESH_PART_MAX;
      mesh_part part = { stream->stream,
                         last && at + piece == size,
                         { (u_int)piece, (char *)data + at } };
      link_send (stream->link, MESH_REPLY_BODY, (xdrproc_t)xdr_mesh_part,
                 &part, FIXED_ROOM + piece);
      at += piece;
    }
  while (at < size);
  stream->unacked += size;
  if (last)
    stream_free (stream);
}

void
peer_stream_fail (peer_stream_t *stream, const call_failure_t *failure)
{
  mesh_failed message = {
    .stream = stream->stream,
    .failure = failure->kind,
    .cause = failure->cause,
    .retry_ms = failure->retry_after_ms,
    .load = load_to (&failure->load),
  };
  link_send (stream->link, MESH_FAILED, (xdrproc_t)xdr_mesh_failed, &message,
             FIXED_ROOM);
  stream_free (stream);
}

bool
peer_stream_window_is_full (const peer_stream_t *stream)
{
  return stream->unacked > WINDOW_BYTES;
}

void
peer_stream_set_user_data (peer_stream_t *stream, void *user)
{
  stream->user = user;
}

void *
peer_stream_user_data (const peer_stream_t *stream)
{
  return stream->user;
}

void
peer_request_document (peer_t *peer)
{
  mesh_stream none = { 0, 0 };
  if (peer->link != NULL)
    link_send (peer->link, MESH_WANT_DOCUMENT, (xdrproc_t)xdr_mesh_stream,
               &none, FIXED_ROOM);
}

void
peer_send_document (peer_t *peer, mesh_document *document)
{
  size_t zones = document->zones_out.zones_out_len;
  if (peer->link != NULL)
    link_send (
        peer->link, MESH_DOCUMENT, (xdrproc_t)xdr_mesh_document, document,
        FIXED_ROOM + document->text.text_len + zones * (MESH_NAME_MAX + 8));
}

/* --- frames and ends --------------------------------------------------- */

bool
stream_frame (peer_link_t *link, mesh_kind kind, XDR *xdr)
{
  switch (kind)
    {
    case MESH_CALL:
      return call_frame (link, xdr);
    case MESH_CALL_BODY:
      return call_body_frame (link, xdr);
    case MESH_CANCEL:
    case MESH_CREDIT:
      return stream_word_frame (link, kind, xdr);
    case MESH_REPLY:
      return reply_frame (link, xdr);
    case MESH_REPLY_BODY:
      return reply_body_frame (link, xdr);
    case MESH_FAILED:
      return failed_frame (link, xdr);
    default:
      return false;
    }
}

/* A call whose last byte did not leave has not run.  */
static void
call_lost (peer_link_t *link, peer_call_t *call)
{
  call_failure_t failure
      = { .kind = FAILURE_OUTCOME_UNKNOWN, .cause = CAUSE_PEER_LOST };
  if (call->replied)
    failure.kind = FAILURE_INVALID_REPLY;
  else if (link->sent_bytes < call->frame_end)
    failure.kind = FAILURE_REFUSED;
  call_sink_t sink = call->sink;
  call_free (call);
  sink.failed (sink.ctx, &failure);
}

void
streams_lost (peer_link_t *link)
{
  for (uint32_t i = 0; i < link->streams.room; i++)
    if (link->streams.items[i] != NULL)
      stream_cancel (link->streams.items[i]);
  for (uint32_t i = 0; i < link->calls.room; i++)
    if (link->calls.items[i] != NULL)
      call_lost (link, link->calls.items[i]);
}
