#include "config_head.h"

#include <string.h>

const config_rules_t config_rules_all = { true, true, true };

bool
config_head_same (const config_head_t *a, const config_head_t *b)
{
  return a->version == b->version
         && strcmp (a->publication_id, b->publication_id) == 0;
}

bool
config_head_yields (const config_head_t *mine, const config_rules_t *rules,
                    const config_head_t *other)
{
  if (other->version != mine->version)
    return other->version > mine->version
           || (!rules->forward_only && other->version != 0);
  if (other->version == 0 || config_head_same (mine, other))
    return false;
  if (rules->snapshots_anchor && mine->anchored != other->anchored)
    return other->anchored;
  if (mine->accepted_ms != other->accepted_ms)
    return other->accepted_ms < mine->accepted_ms;
  return strcmp (other->publication_id, mine->publication_id) < 0;
}

void
config_head_merge (config_head_t *mine, const config_head_t *other)
{
  mine->anchored |= other->anchored;
  if (other->accepted_ms < mine->accepted_ms)
    mine->accepted_ms = other->accepted_ms;
}

static config_head_t
head_of_record (const config_record_t *record)
{
  config_head_t head = { .version = record->version };
  memcpy (head.publication_id, record->publication_id,
          sizeof head.publication_id);
  head.accepted_ms = record->accepted_ms;
  head.anchored = true;
  head.text_hash = config_text_hash (record->text, record->size);
  head.text_size = (uint32_t)record->size;
  return head;
}

static config_verdict_t
offer_snapshot (config_head_t *head, const config_rules_t *rules,
                config_head_t offered)
{
  if (config_head_same (head, &offered))
    {
      config_head_merge (head, &offered);
      return CONFIG_REPEATED;
    }
  if (!config_head_yields (head, rules, &offered))
    return offered.version < head->version ? CONFIG_OLDER : CONFIG_LOST;
  *head = offered;
  return CONFIG_TAKEN;
}

static config_verdict_t
offer_publication (config_head_t *head, const config_rules_t *rules,
                   const config_record_t *record, config_head_t offered,
                   bool whole)
{
  if (config_head_same (head, &offered))
    return CONFIG_REPEATED;
  if (offered.version < head->version && rules->forward_only)
    return CONFIG_OLDER;
  if (offered.version == head->version && rules->first_wins)
    return CONFIG_LOST;
  bool on_head = record->base_version == head->version
                 && (head->version == 0
                     || strcmp (record->base_id, head->publication_id) == 0);
  if (record->base_version == head->version && !on_head && head->anchored)
    return CONFIG_LOST; /* an edit of what had lost */
  /* On a base that was not seen, it may have lost to an unseen one.  */
  offered.anchored = on_head && (head->version == 0 ? whole : head->anchored);
  *head = offered;
  return CONFIG_TAKEN;
}

config_verdict_t
config_head_offer (config_head_t *head, const config_rules_t *rules,
                   const config_record_t *record, bool whole, int64_t now_ms)
{
  config_head_t offered = head_of_record (record);
  if (record->kind == CONFIG_SNAPSHOT)
    return offer_snapshot (head, rules, offered);
  offered.accepted_ms = now_ms;
  return offer_publication (head, rules, record, offered, whole);
}
