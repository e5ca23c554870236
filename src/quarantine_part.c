#include "quarantine_part.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "quarantine_proto.h"

enum
{
  MEMBERS_MAX = 64,
  REPEATS = 3, /* of fresh news, one each tick */
  TICK_US = 500 * US_PER_MS,
  REFRESH_US = 30 * US_PER_S,
  FINGERPRINT_DIGITS = 16
};

struct quarantine_part_t
{
  pthread_mutex_t lock;
  quarantine_t *quarantine;
  link_t link;
  const clock_source_t *clock;
  vm_id_t self;
  vm_id_t members[MEMBERS_MAX];
  size_t member_count;
  int repeats; /* tellings of fresh news left */
  int64_t told_us;
};

quarantine_part_t *
quarantine_part_new (link_t link, const clock_source_t *clock, vm_id_t self)
{
  quarantine_part_t *part = calloc (1, sizeof *part);

  pthread_mutex_init (&part->lock, NULL);
  part->quarantine = quarantine_new ();
  part->link = link;
  part->clock = clock;
  part->self = self;
  return part;
}

void
quarantine_part_free (quarantine_part_t *part)
{
  quarantine_free (part->quarantine);
  pthread_mutex_destroy (&part->lock);
  free (part);
}

static void
send_news (const quarantine_part_t *part, quarantinep_news *news)
{
  char buffer[MESSAGE_BYTES_MAX];
  XDR xdr;

  xdrmem_create (&xdr, buffer, sizeof buffer, XDR_ENCODE);
  if (xdr_quarantinep_news (&xdr, news))
    for (size_t i = 0; i < part->member_count; i++)
      if (part->members[i] != part->self)
        part->link.send (part->link.ctx, part->members[i], MESSAGE_QUARANTINE,
                         buffer, xdr_getpos (&xdr));
  xdr_destroy (&xdr);
}

/* Tells every member all entries.  */
static void
tell (quarantine_part_t *part, int64_t now_us)
{
  quarantinep_entry entries[QUARANTINEP_ENTRIES_MAX];
  quarantinep_news news = { .entries.entries_val = entries };
  size_t count;
  const quarantine_entry_t *list = quarantine_list (part->quarantine, &count);

  part->told_us = now_us;
  for (size_t i = 0; i < count; i++)
    {
      quarantinep_entry *entry = &entries[news.entries.entries_len++];
      int64_t left_us = list[i].until_us - now_us;
      entry->fingerprint = list[i].fingerprint;
      entry->state = list[i].state;
      entry->revision = list[i].version;
      entry->crashes = list[i].crashes;
      entry->left_s = left_us > 0 ? (u_int)(left_us / US_PER_S) : 0;
      entry->account = (char *)list[i].account;
      entry->route = (char *)list[i].route;
      if (news.entries.entries_len == QUARANTINEP_ENTRIES_MAX)
        {
          send_news (part, &news);
          news.entries.entries_len = 0;
        }
    }
  if (news.entries.entries_len > 0)
    send_news (part, &news);
}

static void
merge_entry (quarantine_part_t *part, const quarantinep_entry *from,
             int64_t now_us)
{
  quarantine_entry_t entry = { .fingerprint = from->fingerprint };
  int64_t left_s = from->left_s;

  if (left_s > QUARANTINE_EXPIRY_S)
    left_s = QUARANTINE_EXPIRY_S;
  entry.state = from->state <= QUARANTINE_LIFTED
                    ? (quarantine_state_t)from->state
                    : QUARANTINE_NONE;
  entry.version = from->revision;
  entry.crashes = from->crashes;
  entry.until_us = now_us + left_s * US_PER_S;
  snprintf (entry.account, sizeof entry.account, "%s", from->account);
  snprintf (entry.route, sizeof entry.route, "%s", from->route);
  quarantine_merge (part->quarantine, &entry, now_us);
}

static void
part_receive (void *ctx, vm_id_t from, const void *data, size_t size,
              int64_t now_us)
{
  quarantine_part_t *part = ctx;
  quarantinep_news news;
  XDR xdr;

  (void)from;
  memset (&news, 0, sizeof news);
  xdrmem_create (&xdr, (char *)data, (u_int)size, XDR_DECODE);
  if (xdr_quarantinep_news (&xdr, &news))
    {
      pthread_mutex_lock (&part->lock);
      for (u_int i = 0; i < news.entries.entries_len; i++)
        merge_entry (part, &news.entries.entries_val[i], now_us);
      pthread_mutex_unlock (&part->lock);
    }
  xdr_free ((xdrproc_t)xdr_quarantinep_news, (char *)&news);
  xdr_destroy (&xdr);
}

static int64_t
part_tick (void *ctx, int64_t now_us)
{
  quarantine_part_t *part = ctx;
  size_t count;

  pthread_mutex_lock (&part->lock);
  quarantine_expire (part->quarantine, now_us);
  quarantine_list (part->quarantine, &count);
  bool refresh = count > 0 && now_us - part->told_us >= REFRESH_US;
  if (part->repeats > 0 || refresh)
    tell (part, now_us);
  if (part->repeats > 0)
    part->repeats--;
  pthread_mutex_unlock (&part->lock);
  return now_us + TICK_US;
}

static const char *
state_name (quarantine_state_t state)
{
  switch (state)
    {
    case QUARANTINE_SUSPECT:
      return "suspect";
    case QUARANTINE_HELD:
      return "held";
    case QUARANTINE_LIFTED:
      return "lifted";
    case QUARANTINE_NONE:
      break;
    }
  return "none";
}

static json_t *
part_status (void *ctx)
{
  quarantine_part_t *part = ctx;
  json_t *array = json_array ();
  int64_t now_us = clock_now_us (part->clock);
  size_t count;

  pthread_mutex_lock (&part->lock);
  const quarantine_entry_t *list = quarantine_list (part->quarantine, &count);
  for (size_t i = 0; i < count; i++)
    {
      char name[FINGERPRINT_DIGITS + 1];
      snprintf (name, sizeof name, "%016" PRIx64, list[i].fingerprint);
      int64_t left_s = (list[i].until_us - now_us) / US_PER_S;
      json_array_append_new (
          array,
          json_pack ("{s:s,s:s,s:s,s:s,s:i,s:I}", "fingerprint", name, "state",
                     state_name (list[i].state), "account", list[i].account,
                     "route", list[i].route, "crashes", (int)list[i].crashes,
                     "left_s", (json_int_t)left_s));
    }
  pthread_mutex_unlock (&part->lock);
  return array;
}

part_t
quarantine_part_part (quarantine_part_t *part)
{
  return (part_t){ .name = "quarantine",
                   .kind = MESSAGE_QUARANTINE,
                   .receive = part_receive,
                   .tick = part_tick,
                   .status = part_status,
                   .ctx = part };
}

void
quarantine_part_set_members (quarantine_part_t *part, const vm_id_t *members,
                             size_t count)
{
  pthread_mutex_lock (&part->lock);
  part->member_count = count < MEMBERS_MAX ? count : MEMBERS_MAX;
  memcpy (part->members, members, part->member_count * sizeof members[0]);
  pthread_mutex_unlock (&part->lock);
}

quarantine_verdict_t
quarantine_part_start (quarantine_part_t *part,
                       const quarantine_request_t *request, uint32_t in_flight)
{
  pthread_mutex_lock (&part->lock);
  quarantine_verdict_t verdict = quarantine_start (
      part->quarantine, request, in_flight, clock_now_us (part->clock));
  pthread_mutex_unlock (&part->lock);
  return verdict;
}

void
quarantine_part_ended (quarantine_part_t *part, fingerprint_t fingerprint)
{
  int64_t now_us = clock_now_us (part->clock);

  pthread_mutex_lock (&part->lock);
  quarantine_state_t before
      = quarantine_state (part->quarantine, fingerprint, now_us);
  quarantine_ended (part->quarantine, fingerprint, now_us);
  if (quarantine_state (part->quarantine, fingerprint, now_us) != before)
    part->repeats = REPEATS;
  pthread_mutex_unlock (&part->lock);
}

void
quarantine_part_crashed (quarantine_part_t *part,
                         const quarantine_request_t *requests, size_t count)
{
  int64_t now_us = clock_now_us (part->clock);

  pthread_mutex_lock (&part->lock);
  quarantine_crashed (part->quarantine, requests, count, now_us);
  part->repeats = REPEATS;
  tell (part, now_us);
  pthread_mutex_unlock (&part->lock);
}

bool
quarantine_part_lift (quarantine_part_t *part, fingerprint_t fingerprint)
{
  int64_t now_us = clock_now_us (part->clock);

  pthread_mutex_lock (&part->lock);
  bool lifted = quarantine_lift (part->quarantine, fingerprint, now_us);
  if (lifted)
    {
      part->repeats = REPEATS;
      tell (part, now_us);
    }
  pthread_mutex_unlock (&part->lock);
  return lifted;
}

bool
quarantine_parse_fingerprint (const char *text, fingerprint_t *fingerprint)
{
  char *end;

  if (strlen (text) != FINGERPRINT_DIGITS)
    return false;
  *fingerprint = strtoull (text, &end, 16);
  return *end == '\0';
}
