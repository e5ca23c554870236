#include "edge/operator_feed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/policy_parser.h"

struct operator_feed_t
{
  loop_t *loop;
  const dialect_t *dialect;
  event_log_t *log;
  operator_feed_handler_t handler;
  policy_parser_t *parser; /* of large documents; NULL is the loop itself */
  /* Newest version that a peer is known to have sent to the parser.  */
  uint64_t submitted_version;
  policy_t *policy;
  bytes_t config_text;
  operator_feed_stats_t stats;
  zone_records_t zones;
  ev_timer hold_timer; /* ends evacuations that the store has lost */
};

/* --- availability zones ------------------------------------------------ */

static void
on_zone_changed (void *ctx, const zone_record_t *record)
{
  operator_feed_t *feed = ctx;
  event_log_write (feed->log, EVENT_STATE_CHANGE,
                   record->out ? "zone-out" : "zone-back",
                   "zone=%s era=%u offset=%lld", record->name,
                   record->position.era, (long long)record->position.offset);
  feed->handler.on_zones (feed->handler.ctx);
}

static void
schedule_expiry (operator_feed_t *feed)
{
  int64_t expiry_us = zone_records_expiry_us (&feed->zones);
  if (expiry_us == INT64_MAX)
    ev_timer_stop (feed->loop->ev, &feed->hold_timer);
  else if (!ev_is_active (&feed->hold_timer))
    loop_start_timer (feed->loop, &feed->hold_timer,
                      expiry_us > feed->loop->now_us
                          ? expiry_us - feed->loop->now_us
                          : US_PER_MS);
}

static void
on_hold_timer (struct ev_loop *ev, ev_timer *timer, int events)
{
  operator_feed_t *feed = timer->data;
  (void)events;
  ev_timer_stop (ev, timer);
  zone_records_expire (&feed->zones, feed->loop->now_us);
  schedule_expiry (feed);
}

operator_feed_t *
operator_feed_new (loop_t *loop, const dialect_t *dialect, event_log_t *log,
                   const operator_feed_handler_t *handler)
{
  operator_feed_t *feed = calloc (1, sizeof *feed);
  if (feed == NULL)
    abort ();
  feed->loop = loop;
  feed->dialect = dialect;
  feed->log = log;
  feed->handler = *handler;
  zone_records_init (&feed->zones, on_zone_changed, feed);
  ev_timer_init (&feed->hold_timer, on_hold_timer, 0, 0);
  feed->hold_timer.data = feed;
  return feed;
}

void
operator_feed_free (operator_feed_t *feed)
{
  if (feed == NULL)
    return;
  ev_timer_stop (feed->loop->ev, &feed->hold_timer);
  policy_parser_free (feed->parser);
  policy_free (feed->policy);
  bytes_free (&feed->config_text);
  free (feed);
}

/* --- configuration ----------------------------------------------------- */

static void
count_step (operator_step_stats_t *step, int64_t us)
{
  step->count++;
  step->total_us += us;
  if (us > step->most_us)
    step->most_us = us;
}

/* Puts DOCUMENT, which has a policy, in force.  Returns the time that it
   took.  */
static int64_t
replace_policy (operator_feed_t *feed, const parsed_document_t *document)
{
  int64_t begin_us = clock_now_us (feed->loop->clock);
  policy_t *previous = feed->policy;
  feed->policy = document->policy;
  bytes_consume (&feed->config_text, bytes_size (&feed->config_text));
  bytes_append (&feed->config_text, document->text, document->size);
  feed->handler.on_policy (feed->handler.ctx, feed->policy);
  policy_free (previous);
  return clock_now_us (feed->loop->clock) - begin_us;
}

static void
log_rejected (const operator_feed_t *feed, const parsed_document_t *document)
{
  event_log_write (feed->log, EVENT_STATE_CHANGE, "config-rejected",
                   "source=%s at=\"%s\" error=\"%s\" bytes=%zu parse-us=%lld",
                   document->source, document->error.path,
                   document->error.message, document->size,
                   (long long)document->parse_us);
}

static void
take_document (void *ctx, const parsed_document_t *document)
{
  operator_feed_t *feed = ctx;
  uint64_t before = operator_feed_config_version (feed);
  count_step (&feed->stats.parse, document->parse_us);
  if (document->policy == NULL)
    {
      feed->stats.rejected++;
      log_rejected (feed, document);
      return;
    }
  if (feed->policy != NULL && document->policy->version <= before)
    {
      policy_free (document->policy);
      return;
    }
  int64_t apply_us = replace_policy (feed, document);
  count_step (&feed->stats.apply, apply_us);
  event_log_write (
      feed->log, EVENT_STATE_CHANGE, "config-taken",
      "version=%llu before=%llu source=%s routes=%zu accounts=%zu bytes=%zu "
      "parse-us=%lld apply-us=%lld since-ms=%lld",
      (unsigned long long)feed->policy->version, (unsigned long long)before,
      document->source, feed->policy->route_count, feed->policy->account_count,
      document->size, (long long)document->parse_us, (long long)apply_us,
      (long long)((feed->loop->now_us - document->since_us) / US_PER_MS));
}

static void
parse_in_loop (operator_feed_t *feed, const char *text, size_t size,
               const char *source)
{
  int64_t begin_us = clock_now_us (feed->loop->clock);
  parsed_document_t document = { .source = source,
                                 .text = text,
                                 .size = size,
                                 .since_us = feed->loop->now_us };
  document.policy = feed->dialect->parse_policy (text, size, &document.error);
  document.parse_us = clock_now_us (feed->loop->clock) - begin_us;
  take_document (feed, &document);
}

static void
apply_policy (operator_feed_t *feed, const char *text, size_t size,
              const char *source)
{
  if (feed->parser == NULL || size <= OPERATOR_FEED_LOOP_MAX_BYTES
      || !policy_parser_submit (feed->parser, text, size, source))
    parse_in_loop (feed, text, size, source);
}

void
operator_feed_use_thread (operator_feed_t *feed)
{
  policy_parser_handler_t handler = { take_document, feed };
  feed->parser
      = policy_parser_new (feed->loop, feed->dialect, feed->log, &handler);
}

bool
operator_feed_is_parsing (const operator_feed_t *feed)
{
  return feed->parser != NULL && policy_parser_is_busy (feed->parser);
}

operator_feed_stats_t
operator_feed_stats (const operator_feed_t *feed)
{
  return feed->stats;
}

/* --- records of the store ---------------------------------------------- */

void
operator_feed_begin_snapshot (void *ctx)
{
  operator_feed_t *feed = ctx;
  zone_records_begin_snapshot (&feed->zones);
}

void
operator_feed_apply_record (void *ctx, const keyed_record_t *record)
{
  operator_feed_t *feed = ctx;
  char name[NAME_BYTES];
  operator_record_kind_t kind
      = feed->dialect->operator_record_kind (record, name, sizeof name);
  if (kind == OPERATOR_RECORD_CONFIG && record->value != NULL)
    apply_policy (feed, record->value, record->value_size, "store");
  zone_records_apply (
      &feed->zones, kind == OPERATOR_RECORD_ZONE_EVACUATION ? name : NULL,
      record->value != NULL, record->position, feed->loop->now_us);
}

void
operator_feed_end_snapshot (void *ctx, store_position_t end)
{
  operator_feed_t *feed = ctx;
  zone_records_end_snapshot (&feed->zones, end, feed->loop->now_us);
  schedule_expiry (feed);
}

bool
operator_feed_zone_is_out (const operator_feed_t *feed, const char *zone)
{
  return zone_records_is_out (&feed->zones, zone);
}

const policy_t *
operator_feed_policy (const operator_feed_t *feed)
{
  return feed->policy;
}

uint64_t
operator_feed_config_version (const operator_feed_t *feed)
{
  return feed->policy != NULL ? feed->policy->version : 0;
}

topic_knowledge_t
operator_feed_knowledge (const operator_feed_t *feed)
{
  return feed->zones.knowledge;
}

bool
operator_feed_lacks (const operator_feed_t *feed, uint64_t config_version,
                     const topic_knowledge_t *knowledge)
{
  return config_version > operator_feed_config_version (feed)
         || zone_records_lack (&feed->zones, knowledge, feed->loop->now_us);
}

void
operator_feed_state (const operator_feed_t *feed, operator_feed_state_t *state)
{
  state->config_version = operator_feed_config_version (feed);
  state->config_text = bytes_data (&feed->config_text);
  state->config_size = bytes_size (&feed->config_text);
  zone_records_state (&feed->zones, &state->zones);
}

/* The document of a version may come from several peers while it is being
   parsed.  */
static void
merge_config (operator_feed_t *feed, const operator_feed_state_t *state)
{
  if (state->config_size == 0
      || state->config_version <= operator_feed_config_version (feed)
      || (operator_feed_is_parsing (feed)
          && state->config_version <= feed->submitted_version))
    return;
  feed->submitted_version = state->config_version;
  apply_policy (feed, state->config_text, state->config_size, "peer");
}

void
operator_feed_merge (operator_feed_t *feed, const operator_feed_state_t *state)
{
  merge_config (feed, state);
  zone_records_merge (&feed->zones, &state->zones, feed->loop->now_us);
  schedule_expiry (feed);
}
