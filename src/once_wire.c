#include <string.h>

#include "invariant.h"
#include "once_private.h"

void
once_send (once_t *once, vm_id_t to, oncep_message *message)
{
  char buffer[MESSAGE_BYTES_MAX];
  XDR xdr;

  xdrmem_create (&xdr, buffer, sizeof buffer, XDR_ENCODE);
  bool fits = xdr_oncep_message (&xdr, message);
  INVARIANT (fits, "a message of kind %d is too large", message->kind);
  if (fits)
    once->link.send (once->link.ctx, to, MESSAGE_ONCE, buffer,
                     xdr_getpos (&xdr));
  xdr_destroy (&xdr);
}

void
once_send_roster (once_t *once, vm_id_t to, const once_roster_t *roster)
{
  oncep_message message = { .kind = ONCEP_ROSTER };
  oncep_roster *body = &message.oncep_message_u.roster;
  oncep_member members[ONCE_MEMBERS_MAX];

  for (size_t i = 0; i < roster->count; i++)
    {
      members[i].vm = roster->members[i].vm;
      members[i].incarnation = roster->members[i].incarnation;
    }
  body->epoch = roster->epoch;
  body->members.members_len = (u_int)roster->count;
  body->members.members_val = members;
  once_send (once, to, &message);
}

static void
dispatch (once_t *once, vm_id_t from, const oncep_message *message,
          int64_t now_us, int64_t wall_ms)
{
  switch (message->kind)
    {
    case ONCEP_ASK:
      once_lease_on_ask (once, from, &message->oncep_message_u.ask, wall_ms);
      break;
    case ONCEP_VOTE:
      once_lease_on_vote (once, from, &message->oncep_message_u.vote, now_us);
      break;
    case ONCEP_ROSTER:
      once_lease_on_roster (once, &message->oncep_message_u.roster, now_us);
      break;
    case ONCEP_RECORD:
      once_handover_on_record (once, from, &message->oncep_message_u.record,
                               now_us);
      break;
    case ONCEP_RECORD_ACK:
      once_handover_on_record_ack (once, from,
                                   &message->oncep_message_u.record_ack);
      break;
    case ONCEP_END:
      once_handover_on_end (once, from, &message->oncep_message_u.end, now_us);
      break;
    case ONCEP_END_ACK:
      once_handover_on_end_ack (once, from, &message->oncep_message_u.end_ack);
      break;
    }
}

void
once_receive (once_t *once, vm_id_t from, const void *data, size_t size,
              int64_t now_us, int64_t wall_ms)
{
  oncep_message message;
  XDR xdr;

  memset (&message, 0, sizeof message);
  xdrmem_create (&xdr, (char *)data, (u_int)size, XDR_DECODE);
  if (xdr_oncep_message (&xdr, &message))
    dispatch (once, from, &message, now_us, wall_ms);
  xdr_free ((xdrproc_t)xdr_oncep_message, (char *)&message);
  xdr_destroy (&xdr);
}
