#include "member_impl.h"

#include <string.h>

enum
{
  HEADER_BYTES = 4 * 6 + 8 * 3 + 4 * 4, /* fields and four array lengths */
  NEWS_BYTES = 20,
  RECORD_BYTES = 8 * 4 + 4 * 6,
  SUMMARY_BYTES = 8 + 4 * 3,
  CONTACT_BYTES = 16,
  LOAD_SHIFT = 16
};

static size_t
name_bytes (const char *name)
{
  return 4 + (strlen (name) + 3) / 4 * 4;
}

void
member_packet_begin (const member_t *member, member_packet_t *packet,
                     member_op op, uint32_t scope)
{
  const member_record_t *self = &member->self;

  packet->message = (member_message){
    .op = op,
    .incarnation = self->incarnation,
    .config_version = self->config_version,
    .load = (uint32_t)self->load_permille << LOAD_SHIFT | self->level,
    .scope = scope,
    .news = { 0, packet->news },
    .records = { 0, packet->records },
    .buckets = { 0, packet->buckets },
    .summaries = { 0, packet->summaries },
  };
  packet->bytes = HEADER_BYTES;
}

static bool
take (member_packet_t *packet, size_t bytes)
{
  if (packet->bytes + bytes > MESSAGE_BYTES_MAX)
    return false;
  packet->bytes += bytes;
  return true;
}

bool
member_packet_add_news (member_packet_t *packet, const member_record_t *record)
{
  if (packet->message.news.news_len == MEMBER_NEWS_MAX
      || !take (packet, NEWS_BYTES))
    return false;
  packet->news[packet->message.news.news_len++]
      = (member_wire_news){ record->vm, record->incarnation, record->state };
  return true;
}

bool
member_packet_add_record (member_packet_t *packet,
                          const member_record_t *record)
{
  size_t bytes = RECORD_BYTES + name_bytes (record->service)
                 + name_bytes (record->zone) + name_bytes (record->region);

  if (packet->message.records.records_len == MEMBER_RECORDS_MAX
      || !take (packet, bytes))
    return false;
  packet->records[packet->message.records.records_len++]
      = (member_wire_record){
          .vm = record->vm,
          .incarnation = record->incarnation,
          .life = record->life,
          .config_version = record->config_version,
          .sequence = record->sequence,
          .state = record->state,
          .leaving = record->leaving,
          .ports = (uint32_t)record->peer_port << 16 | record->listen_port,
          .slots = record->slots,
          .load
          = (uint32_t)record->load_permille << LOAD_SHIFT | record->level,
          .service = (char *)record->service,
          .zone = (char *)record->zone,
          .region = (char *)record->region,
        };
  return true;
}

bool
member_packet_add_summary (member_packet_t *packet,
                           const member_summary_t *summary)
{
  uint32_t n = packet->message.summaries.summaries_len;
  size_t bytes = SUMMARY_BYTES + name_bytes (summary->service);

  for (size_t i = 0; i < summary->contact_count; i++)
    bytes += CONTACT_BYTES + name_bytes (summary->contacts[i].zone)
             + name_bytes (summary->contacts[i].region);
  if (n == MEMBER_SUMMARIES_MAX || !take (packet, bytes))
    return false;
  for (size_t i = 0; i < summary->contact_count; i++)
    packet->contacts[n][i] = (member_wire_contact){
      .vm = summary->contacts[i].vm,
      .life = summary->contacts[i].life,
      .zone = (char *)summary->contacts[i].zone,
      .region = (char *)summary->contacts[i].region,
    };
  packet->summaries[n] = (member_wire_summary){
    .edition = summary->version,
    .live = summary->live,
    .slots = summary->slots,
    .service = (char *)summary->service,
    .contacts = { (uint32_t)summary->contact_count, packet->contacts[n] },
  };
  packet->message.summaries.summaries_len++;
  return true;
}

void
member_packet_add_buckets (member_packet_t *packet, uint32_t count)
{
  if (take (packet, count * sizeof (uint32_t)))
    packet->message.buckets.buckets_len = count;
}

bool
member_packet_empty (const member_packet_t *packet)
{
  return packet->bytes == HEADER_BYTES;
}

void
member_packet_send (const member_t *member, member_packet_t *packet,
                    vm_id_t to)
{
  char buffer[MESSAGE_BYTES_MAX];
  XDR xdr;

  if (to == 0 || to == member->self.vm)
    return;
  xdrmem_create (&xdr, buffer, sizeof buffer, XDR_ENCODE);
  if (xdr_member_message (&xdr, &packet->message))
    member->link.send (member->link.ctx, to, MESSAGE_MEMBER, buffer,
                       xdr_getpos (&xdr));
  xdr_destroy (&xdr);
}

bool
member_message_decode (member_message *message, const void *data, size_t size)
{
  XDR xdr;

  *message = (member_message){ 0 };
  if (size > MESSAGE_BYTES_MAX)
    return false;
  xdrmem_create (&xdr, (char *)data, (u_int)size, XDR_DECODE);
  bool ok = xdr_member_message (&xdr, message) && xdr_getpos (&xdr) == size
            && message->op >= MEMBER_OP_PING
            && message->op <= MEMBER_OP_EXCHANGE;
  xdr_destroy (&xdr);
  if (!ok)
    member_message_free (message);
  return ok;
}

void
member_message_free (member_message *message)
{
  xdr_free ((xdrproc_t)xdr_member_message, message);
}

static void
copy_name (char *to, const char *from)
{
  size_t size = strnlen (from, NAME_BYTES - 1);

  memset (to, 0, NAME_BYTES);
  memcpy (to, from, size);
}

bool
member_record_from_wire (const member_wire_record *wire,
                         member_record_t *record)
{
  if (wire->vm == 0 || wire->incarnation == 0
      || wire->state >= MEMBER_STATE_COUNT || wire->leaving > 1)
    return false;
  *record = (member_record_t){
    .vm = wire->vm,
    .incarnation = wire->incarnation,
    .life = wire->life,
    .config_version = wire->config_version,
    .sequence = wire->sequence,
    .state = (member_state_t)wire->state,
    .leaving = wire->leaving != 0,
    .peer_port = (uint16_t)(wire->ports >> 16),
    .listen_port = (uint16_t)(wire->ports & 0xffff),
    .slots = wire->slots,
    .load_permille = (uint16_t)(wire->load >> LOAD_SHIFT),
    .level = (uint16_t)(wire->load & 0xffff),
  };
  copy_name (record->service, wire->service);
  copy_name (record->zone, wire->zone);
  copy_name (record->region, wire->region);
  return true;
}

bool
member_summary_from_wire (const member_wire_summary *wire,
                          member_summary_t *summary)
{
  uint32_t count = wire->contacts.contacts_len;

  if (wire->service[0] == '\0' || count > MEMBER_CONTACTS)
    return false;
  *summary = (member_summary_t){
    .version = wire->edition,
    .live = wire->live,
    .slots = wire->slots,
    .contact_count = count,
  };
  copy_name (summary->service, wire->service);
  summary->key = member_mix (member_hash_name (summary->service));
  for (uint32_t i = 0; i < count; i++)
    {
      const member_wire_contact *contact = &wire->contacts.contacts_val[i];
      summary->contacts[i].vm = contact->vm;
      summary->contacts[i].life = contact->life;
      copy_name (summary->contacts[i].zone, contact->zone);
      copy_name (summary->contacts[i].region, contact->region);
    }
  return true;
}
