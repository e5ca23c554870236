#include "once_epochs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"

enum
{
  RENEW_GAP_S = 60 /* between two tries to renew the record */
};

void
once_epochs_open (once_epochs_t *epochs, const char *service,
                  once_member_t self)
{
  memset (epochs, 0, sizeof *epochs);
  snprintf (epochs->service, sizeof epochs->service, "%s", service);
  epochs->self = self;
}

static int
compare_members (const void *left, const void *right)
{
  const once_member_t *a = left;
  const once_member_t *b = right;
  return (a->vm > b->vm) - (a->vm < b->vm);
}

static bool
parse_member (const json_t *item, once_member_t *member)
{
  json_int_t vm = json_integer_value (json_array_get (item, 0));
  json_int_t incarnation = json_integer_value (json_array_get (item, 1));

  if (vm <= 0 || incarnation <= 0)
    return false;
  member->vm = (vm_id_t)vm;
  member->incarnation = (incarnation_t)incarnation;
  return true;
}

bool
once_epochs_read (once_epochs_t *epochs, const json_t *record, int64_t now_us)
{
  const char *service
      = json_string_value (json_object_get (record, "service"));
  json_int_t epoch = json_integer_value (json_object_get (record, "epoch"));
  const json_t *list = json_object_get (record, "members");
  size_t count = json_array_size (list);
  once_member_t members[ONCE_MEMBERS_MAX];

  if (service == NULL || strcmp (service, epochs->service) != 0 || epoch <= 0
      || count == 0 || count > ONCE_MEMBERS_MAX)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!parse_member (json_array_get (list, i), &members[i]))
      return false;
  if ((uint64_t)epoch == epochs->epoch)
    epochs->recorded_us = now_us;
  /* The oldest record kept by the log starts the row.  */
  if (epochs->epoch != 0 && (uint64_t)epoch != epochs->epoch + 1)
    return false;
  epochs->epoch = (uint64_t)epoch;
  epochs->count = count;
  memcpy (epochs->members, members, count * sizeof members[0]);
  qsort (epochs->members, count, sizeof members[0], compare_members);
  epochs->recorded_us = now_us;
  epochs->differs_us = 0;
  return true;
}

static json_t *
format_record (const once_epochs_t *epochs, uint64_t epoch,
               const once_member_t *members, size_t count)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append_new (list,
                           json_pack ("[I,I]", (json_int_t)members[i].vm,
                                      (json_int_t)members[i].incarnation));
  return json_pack ("{s:s,s:I,s:o}", "service", epochs->service, "epoch",
                    (json_int_t)epoch, "members", list);
}

static bool
is_recorded (const once_epochs_t *epochs, once_member_t member)
{
  for (size_t i = 0; i < epochs->count; i++)
    if (epochs->members[i].vm == member.vm
        && epochs->members[i].incarnation == member.incarnation)
      return true;
  return false;
}

/* This VM's place among those that propose: recorded members that are alive
   go first, so that a newcomer does not race them.  */
static size_t
turn_of (const once_epochs_t *epochs, const once_member_t *live, size_t count)
{
  size_t turn = 0;
  bool recorded = is_recorded (epochs, epochs->self);

  for (size_t i = 0; i < count; i++)
    {
      bool other = is_recorded (epochs, live[i]);
      if (other == recorded ? live[i].vm < epochs->self.vm : other)
        turn++;
    }
  return turn;
}

/* Whether so many recorded VMs are alive, in any life, that no majority can
   be alive without one of them.  A smaller rest must not remove the others:
   it could not act without them, and they could not act any more.  */
static bool
may_remove_others (const once_epochs_t *epochs, const once_member_t *live,
                   size_t count)
{
  size_t known = 0;

  for (size_t i = 0; i < epochs->count; i++)
    for (size_t j = 0; j < count; j++)
      known += epochs->members[i].vm == live[j].vm;
  return epochs->count == 0 || known + epochs->count / 2 + 1 > epochs->count;
}

static json_t *
propose (once_epochs_t *epochs, uint64_t epoch, const once_member_t *members,
         size_t count, int64_t now_us)
{
  epochs->proposed = epoch;
  epochs->proposed_us = now_us;
  return format_record (epochs, epoch, members, count);
}

/* Keeps the standing record from running out of the log.  */
static json_t *
renew (once_epochs_t *epochs, size_t turn, int64_t now_us)
{
  int64_t age_us = now_us - epochs->recorded_us
                   - (int64_t)turn * ONCE_EPOCHS_TURN_MS * US_PER_MS;

  epochs->differs_us = 0;
  if (age_us < ONCE_EPOCHS_RENEW_S * (int64_t)US_PER_S
      || (epochs->proposed != 0
          && now_us - epochs->proposed_us < RENEW_GAP_S * (int64_t)US_PER_S))
    return NULL;
  return propose (epochs, epochs->epoch, epochs->members, epochs->count,
                  now_us);
}

json_t *
once_epochs_propose (once_epochs_t *epochs, const once_member_t *live,
                     size_t count, int64_t now_us)
{
  once_member_t wished[ONCE_MEMBERS_MAX];

  if (count > ONCE_MEMBERS_MAX)
    count = ONCE_MEMBERS_MAX;
  if (count == 0)
    return NULL;
  memcpy (wished, live, count * sizeof wished[0]);
  qsort (wished, count, sizeof wished[0], compare_members);
  size_t size = count * sizeof wished[0];
  size_t turn = turn_of (epochs, wished, count);
  if (count == epochs->count && memcmp (wished, epochs->members, size) == 0)
    return renew (epochs, turn, now_us);
  if (!may_remove_others (epochs, wished, count))
    return NULL;
  uint64_t sum = XXH3_64bits (wished, size);
  if (epochs->differs_us == 0 || epochs->differs_sum != sum)
    {
      epochs->differs_us = now_us;
      epochs->differs_sum = sum;
    }
  int64_t wait_ms
      = ONCE_EPOCHS_SETTLE_MS + (int64_t)turn * ONCE_EPOCHS_TURN_MS;
  if (now_us - epochs->differs_us < wait_ms * US_PER_MS)
    return NULL;
  /* An append whose answer was lost is read again before the next try.  */
  if (epochs->proposed == epochs->epoch + 1
      && now_us - epochs->proposed_us
             < (ONCE_EPOCHS_SETTLE_MS + ONCE_EPOCHS_TURN_MS)
                   * (int64_t)US_PER_MS)
    return NULL;
  return propose (epochs, epochs->epoch + 1, wished, count, now_us);
}
