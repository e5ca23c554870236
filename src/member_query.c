#include "member_impl.h"

#include <string.h>

static size_t
copy_live (const member_table_t *table, member_record_t *records, size_t max)
{
  size_t count = 0;

  for (size_t i = 0; i < table->count && count < max; i++)
    {
      const member_entry_t *entry = table->entries[i];
      if (member_entry_live (entry) && !entry->unreached)
        records[count++] = entry->record;
    }
  return count;
}

size_t
member_list (member_t *member, const char *service, member_record_t *records,
             size_t max, int64_t now_us)
{
  if (strcmp (service, member->self.service) == 0)
    return copy_live (&member->group, records, max);
  if (member_summary_find (member, service) == NULL)
    return 0;
  member_watch_t *watch = member_watch_ask (member, service, now_us);
  return watch != NULL ? copy_live (&watch->table, records, max) : 0;
}

bool
member_find (const member_t *member, vm_id_t vm, member_record_t *record)
{
  const member_entry_t *entry = member_table_find (&member->group, vm);

  for (size_t i = 0; entry == NULL && i < member->watch_count; i++)
    entry = member_table_find (&member->watches[i]->table, vm);
  if (entry == NULL)
    return false;
  *record = entry->record;
  return true;
}

size_t
member_contacts (const member_t *member, member_contact_t *contacts,
                 size_t max)
{
  size_t count = 0;

  for (size_t i = 0; i < member->summaries.count; i++)
    {
      const member_summary_t *item = member->summaries.items[i];
      for (size_t j = 0; j < item->contact_count && count < max; j++)
        contacts[count++] = item->contacts[j];
    }
  return count;
}

size_t
member_services (const member_t *member, char (*names)[NAME_BYTES], size_t max)
{
  size_t count = 0;

  for (; count < member->summaries.count && count < max; count++)
    memcpy (names[count], member->summaries.items[count]->service, NAME_BYTES);
  return count;
}

static size_t
table_bytes (const member_table_t *table)
{
  return table->count * sizeof (member_entry_t)
         + table->room * sizeof (member_entry_t *);
}

size_t
member_memory_bytes (const member_t *member)
{
  size_t bytes = sizeof *member + table_bytes (&member->group);

  bytes += member->summaries.count * sizeof (member_summary_t)
           + member->summaries.room * sizeof (member_summary_t *);
  for (size_t i = 0; i < member->watch_count; i++)
    bytes
        += sizeof (member_watch_t) + table_bytes (&member->watches[i]->table);
  return bytes;
}

int64_t
member_last_us (const member_t *member)
{
  return member->last_us;
}

static size_t
copy_vms (const member_table_t *table, vm_id_t *vms, size_t count, size_t max)
{
  for (size_t i = 0; i < table->count && count < max; i++)
    if (member_entry_live (table->entries[i]))
      vms[count++] = table->entries[i]->record.vm;
  return count;
}

size_t
member_peers (const member_t *member, vm_id_t *vms, size_t max)
{
  size_t count = copy_vms (&member->group, vms, 0, max);

  for (size_t i = 0; i < member->watch_count; i++)
    count = copy_vms (&member->watches[i]->table, vms, count, max);
  return count;
}
