#include "pipeline.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BLOCK_BYTES = 64 * 1024,
  ACK_TIMEOUT_MS = 5000,
  RECONNECT_US = 200 * US_PER_MS
};

static void open_connection (pipeline_t *pipeline);

/* The caller hears that its connection has ended; BY_SIDECAR is whether the
   sidecar ended it, and not this caller at its deadline.  */
static void
end_connection (pipeline_t *pipeline, bool by_sidecar)
{
  ev_io_stop (fleet_loop (pipeline->fleet)->ev, &pipeline->reader);
  ev_timer_stop (fleet_loop (pipeline->fleet)->ev, &pipeline->patience);
  ev_timer_stop (fleet_loop (pipeline->fleet)->ev, &pipeline->pause);
  close (pipeline->reader.fd);
  bool kept = pipeline->served_before > 0;
  for (uint32_t i = pipeline->answered; i < pipeline->count; i++)
    {
      if (pipeline->requests[i] == NULL)
        continue;
      fleet_end_request (pipeline->requests[i], !by_sidecar ? FLEET_LEFT
                                                : kept      ? FLEET_CUT_KEPT
                                                            : FLEET_CUT);
      if (by_sidecar && kept)
        pipeline->on_cut (pipeline->ctx, pipeline->requests[i]);
    }
  if (!pipeline->stopped)
    loop_start_timer (fleet_loop (pipeline->fleet), &pipeline->pause,
                      RECONNECT_US);
  pipeline->is_open = false;
}

static void
write_requests (pipeline_t *pipeline)
{
  bytes_t text = { 0 };
  if (pipeline->next_count > 0)
    pipeline->count = pipeline->next_count;
  pipeline->answered = 0;
  pipeline->has_stalled = false;
  for (uint32_t i = 0; i < pipeline->count; i++)
    {
      pipeline->requests[i] = fleet_add_request (pipeline->fleet, pipeline->at,
                                                 pipeline->paths[i]);
      if (pipeline->requests[i] == NULL)
        {
          pipeline->stopped = true;
          break;
        }
      bytes_append_format (&text,
                           "GET %s HTTP/1.1\r\nHost: shop.example\r\n"
                           "X-Attempt-Id: a%u\r\nX-Timeout-Ms: %u\r\n\r\n",
                           pipeline->paths[i], pipeline->requests[i]->number,
                           pipeline->timeout_ms);
    }
  /* A few hundred bytes; a socket on which nothing waits takes them.  */
  if (send (pipeline->reader.fd, bytes_data (&text), bytes_size (&text),
            MSG_NOSIGNAL)
      != (ssize_t)bytes_size (&text))
    pipeline->closing = true;
  bytes_free (&text);
  loop_start_timer (fleet_loop (pipeline->fleet), &pipeline->patience,
                    pipeline->timeout_ms * US_PER_MS);
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  pipeline_t *pipeline = parser->data;
  (void)data;
  pipeline->requests[pipeline->answered]->reply_bytes += size;
  return 0;
}

static int
on_message_begin (http_parser *parser)
{
  const pipeline_t *pipeline = parser->data;
  return pipeline->answered < pipeline->count && !pipeline->closing ? 0 : -1;
}

static int
on_message_complete (http_parser *parser)
{
  pipeline_t *pipeline = parser->data;
  fleet_request_t *request = pipeline->requests[pipeline->answered++];
  request->status = (int)parser->status_code;
  pipeline->closing = !http_should_keep_alive (parser);
  pipeline->served_before++;
  fleet_end_request (request, FLEET_ANSWERED);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Whether the caller stops reading now.  */
static bool
begin_stall (pipeline_t *pipeline)
{
  loop_t *loop = fleet_loop (pipeline->fleet);
  if (pipeline->stall_us == 0 || pipeline->has_stalled)
    return false;
  pipeline->has_stalled = true;
  fleet_note (pipeline->fleet, "a%u: its caller reads nothing for %lld ms",
              pipeline->requests[0]->number,
              (long long)(pipeline->stall_us / US_PER_MS));
  ev_io_stop (loop->ev, &pipeline->reader);
  loop_start_timer (loop, &pipeline->pause, pipeline->stall_us);
  return true;
}

/* The end of a stall, of a rest, or of the time without a connection.  */
static void
on_pause_over (struct ev_loop *ev, ev_timer *timer, int events)
{
  pipeline_t *pipeline = timer->data;
  (void)events;
  ev_timer_stop (ev, timer);
  if (!pipeline->is_open)
    {
      open_connection (pipeline);
      return;
    }
  ev_io_start (ev, &pipeline->reader);
  if (pipeline->answered == pipeline->count)
    write_requests (pipeline);
}

static void
on_readable (struct ev_loop *ev, ev_io *reader, int events)
{
  static char block[BLOCK_BYTES];
  pipeline_t *pipeline = reader->data;
  (void)events;
  if (begin_stall (pipeline))
    return;
  ssize_t size = recv (reader->fd, block, sizeof block, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size > 0)
    http_parser_execute (&pipeline->parser, &parser_settings, block,
                         (size_t)size);
  if (size <= 0 || pipeline->closing
      || HTTP_PARSER_ERRNO (&pipeline->parser) != HPE_OK)
    end_connection (pipeline, true);
  else if (pipeline->answered < pipeline->count || pipeline->stopped)
    return;
  else if (pipeline->rest_us == 0)
    write_requests (pipeline);
  else
    {
      ev_timer_stop (ev, &pipeline->patience);
      loop_start_timer (fleet_loop (pipeline->fleet), &pipeline->pause,
                        pipeline->rest_us);
    }
}

static void
on_patience_over (struct ev_loop *ev, ev_timer *timer, int events)
{
  (void)ev;
  (void)events;
  end_connection (timer->data, false);
}

static void
open_connection (pipeline_t *pipeline)
{
  int fd = loop_connect (fleet_callers_addr (pipeline->fleet, pipeline->at),
                         ACK_TIMEOUT_MS);
  pipeline->served_before = 0;
  pipeline->closing = false;
  pipeline->is_open = fd >= 0;
  if (fd < 0)
    {
      pipeline->stopped = true;
      return;
    }
  if (pipeline->receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &pipeline->receive_bytes,
                sizeof pipeline->receive_bytes);
  http_parser_init (&pipeline->parser, HTTP_RESPONSE);
  pipeline->parser.data = pipeline;
  ev_io_init (&pipeline->reader, on_readable, fd, EV_READ);
  pipeline->reader.data = pipeline;
  ev_io_start (fleet_loop (pipeline->fleet)->ev, &pipeline->reader);
  /* The connection is made before the loop next waits, on loopback.  */
  write_requests (pipeline);
}

void
pipeline_start (pipeline_t *pipeline)
{
  ev_timer_init (&pipeline->patience, on_patience_over, 0, 0);
  pipeline->patience.data = pipeline;
  ev_timer_init (&pipeline->pause, on_pause_over, 0, 0);
  pipeline->pause.data = pipeline;
  open_connection (pipeline);
}

void
pipeline_stop (pipeline_t *pipeline)
{
  pipeline->stopped = true;
  if (pipeline->is_open)
    end_connection (pipeline, false);
  ev_timer_stop (fleet_loop (pipeline->fleet)->ev, &pipeline->pause);
}
