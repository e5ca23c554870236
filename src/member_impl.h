#ifndef REDWINGFORD_MEMBER_IMPL_H
#define REDWINGFORD_MEMBER_IMPL_H

/* What the member_*.c files share; not for other modules.  */

#include "member_proto.h"
#include "member_table.h"

enum
{
  MEMBER_TICK_US = 50 * 1000,
  MEMBER_PROBE_PERIOD_US = 600 * 1000,
  MEMBER_PROBE_REPEAT_US = 100 * 1000,
  MEMBER_PROBE_DIRECT_US = 200 * 1000,
  MEMBER_PROBE_TIMEOUT_US = 400 * 1000,
  MEMBER_SUSPECT_US = 1000 * 1000,
  MEMBER_ACCUSE_PERIOD_US = 250 * 1000,
  MEMBER_GOSSIP_PERIOD_US = 100 * 1000,
  MEMBER_SYNC_PERIOD_US = 1000 * 1000,
  MEMBER_JOIN_PERIOD_US = 500 * 1000,
  MEMBER_HEAL_PERIOD_US = 1000 * 1000,
  MEMBER_EXCHANGE_PERIOD_US = 2000 * 1000,
  MEMBER_POLL_PERIOD_US = 2000 * 1000,
  MEMBER_POLL_TIMEOUT_US = 300 * 1000,
  MEMBER_PAUSE_US = 300 * 1000, /* a longer gap is a pause of this VM */
  MEMBER_PROBES_MAX = 8,
  MEMBER_HELPERS = 3,
  MEMBER_FANOUT = 3,
  MEMBER_PARTS_MAX = 4, /* datagrams in answer to one comparison */
  MEMBER_MISMATCHES = 3,
  MEMBER_UNREACHED_US = 1500 * 1000, /* longer than a short pause */
  MEMBER_POLLERS_MAX = 32,
  MEMBER_POLLER_US = 30 * 1000 * 1000,
  MEMBER_AUTO_WATCHES = 16,
  MEMBER_TOMBSTONES_MAX = 2048
};

/* Longer than regions lose each other for.  */
static const int64_t MEMBER_TOMBSTONE_US = 2LL * 3600 * 1000 * 1000;
/* A watch that no one has asked for in this time is dropped.  */
static const int64_t MEMBER_WATCH_IDLE_US = 600LL * 1000 * 1000;

enum
{
  MEMBER_FLAG_ASK = 1 /* answer with your own buckets if we differ */
};

typedef struct member_probe_t
{
  vm_id_t target; /* 0: free */
  vm_id_t asker;  /* 0: this VM's own probe */
  uint32_t number;
  uint32_t asker_number;
  int64_t sent_us;
  bool repeated;
  bool helped;
} member_probe_t;

typedef struct member_summary_t
{
  uint64_t key; /* place in the sorted table */
  uint64_t version;
  uint32_t live;
  uint32_t slots;
  char service[NAME_BYTES];
  size_t contact_count;
  member_contact_t contacts[MEMBER_CONTACTS];
} member_summary_t;

typedef struct member_summaries_t
{
  member_summary_t **items; /* sorted by key */
  size_t count;
  size_t room;
} member_summaries_t;

typedef struct member_watch_t
{
  char service[NAME_BYTES];
  uint32_t scope;
  member_table_t table;
  int64_t asked_us; /* when a caller last listed it */
  vm_id_t polled;   /* awaiting an answer from; 0 is no one */
  int64_t polled_us;
  uint32_t answers; /* polls answered so far */
} member_watch_t;

/* A VM of another service that watches this one; changes are sent to it
   without waiting for its next poll.  */
typedef struct member_poller_t
{
  vm_id_t vm;
  int64_t until_us;
} member_poller_t;

struct member_t
{
  member_record_t self;
  vm_id_t seeds[MEMBER_SEEDS_MAX];
  size_t seed_count;
  link_t link;
  const rng_t *rng;
  member_change_t change;
  void *change_ctx;
  member_options_t options;

  uint32_t scope; /* hash of this VM's service; 0 is none */
  member_table_t group;
  size_t suspects;
  size_t tombstones;
  size_t news; /* entries with news_left */
  uint64_t epoch;
  member_summaries_t summaries;
  member_watch_t *watches[MEMBER_WATCHES_MAX];
  size_t watch_count;
  size_t watch_next;
  member_poller_t pollers[MEMBER_POLLERS_MAX];
  bool push; /* an entry is to be sent to the pollers */

  member_probe_t probes[MEMBER_PROBES_MAX];
  uint32_t number; /* last probe or poll number used */
  vm_id_t ring_last;
  bool ring_turn;
  uint32_t mismatches;

  int64_t last_us; /* last call, to notice a pause of this VM */
  int64_t next_probe_us;
  int64_t next_accuse_us;
  int64_t next_gossip_us;
  int64_t next_sync_us;
  int64_t next_join_us;
  int64_t next_heal_us;
  int64_t next_exchange_us;
  int64_t next_poll_us;
  int64_t next_sweep_us;
};

/* member_wire.c: a message being put together within one datagram.  */
typedef struct member_packet_t
{
  member_message message;
  member_wire_news news[MEMBER_NEWS_MAX];
  member_wire_record records[MEMBER_RECORDS_MAX];
  uint32_t buckets[MEMBER_BUCKETS_MAX];
  member_wire_summary summaries[MEMBER_SUMMARIES_MAX];
  member_wire_contact contacts[MEMBER_SUMMARIES_MAX][MEMBER_CONTACTS];
  size_t bytes; /* encoded so far */
} member_packet_t;

void member_packet_begin (const member_t *member, member_packet_t *packet,
                          member_op op, uint32_t scope);
/* The add functions return false when there is no room left.  What they are
   given is borrowed until member_packet_send.  */
bool member_packet_add_news (member_packet_t *packet,
                             const member_record_t *record);
bool member_packet_add_record (member_packet_t *packet,
                               const member_record_t *record);
bool member_packet_add_summary (member_packet_t *packet,
                                const member_summary_t *summary);
void member_packet_add_buckets (member_packet_t *packet, uint32_t count);
bool member_packet_empty (const member_packet_t *packet);
void member_packet_send (const member_t *member, member_packet_t *packet,
                         vm_id_t to);
/* Free with member_message_free.  */
bool member_message_decode (member_message *message, const void *data,
                            size_t size);
void member_message_free (member_message *message);
/* False when a field is out of range.  */
bool member_record_from_wire (const member_wire_record *wire,
                              member_record_t *record);
bool member_summary_from_wire (const member_wire_summary *wire,
                               member_summary_t *summary);

/* member_merge.c: what is heard against what is known.  WATCH is NULL for
   the group.  */
void member_merge_record (member_t *member, member_watch_t *watch,
                          const member_record_t *record, int64_t now_us);
void member_merge_news (member_t *member, member_watch_t *watch,
                        const member_wire_news *news, int64_t now_us);
/* Sets the state of a group member and makes it news.  */
void member_set_state (member_t *member, member_entry_t *entry,
                       member_state_t state, int64_t now_us);
/* Makes an entry of the group news.  */
void member_make_news (member_t *member, member_entry_t *entry, bool whole);
void member_announce (member_t *member, const member_record_t *record,
                      member_event_t event);
/* Copies member->self into the group's entry and makes it news.  */
void member_publish_self (member_t *member, int64_t now_us);
void member_group_clear (member_t *member);

/* member_probe.c */
void member_probe_tick (member_t *member, int64_t now_us);
void member_probe_receive (member_t *member, vm_id_t from,
                           const member_message *message, int64_t now_us);
void member_probe_shift (member_t *member, int64_t gap_us);

/* member_gossip.c */
void member_gossip_tick (member_t *member, int64_t now_us);
/* Fills the rest of a packet with news.  */
void member_gossip_fill (member_t *member, member_packet_t *packet);
/* Answers a comparison of TABLE with what differs.  */
void member_gossip_answer (member_t *member, const member_table_t *table,
                           uint32_t scope, vm_id_t to, member_op op,
                           const member_message *message);
void member_gossip_receive (member_t *member, vm_id_t from,
                            const member_message *message, int64_t now_us);
/* Looks at the digest that came with a message of the group.  */
void member_gossip_compare (member_t *member, vm_id_t from, uint32_t digest,
                            int64_t now_us);

/* member_summary.c */
void member_summary_tick (member_t *member, int64_t now_us);
void member_summary_receive (member_t *member, vm_id_t from,
                             const member_message *message);
member_summary_t *member_summary_find (const member_t *member,
                                       const char *service);
member_summary_t *member_summary_find_scope (const member_t *member,
                                             uint32_t scope);
/* A contact of SUMMARY other than this VM, or 0.  */
vm_id_t member_summary_contact (const member_t *member,
                                const member_summary_t *summary);
/* A contact of any service, or a seed; 0 when there is none.  */
vm_id_t member_summary_any (const member_t *member);
void member_summary_clear (member_t *member);
uint32_t member_summary_digest (const member_t *member);

/* member_watch.c */
void member_watch_tick (member_t *member, int64_t now_us);
member_watch_t *member_watch_find (const member_t *member, uint32_t scope);
member_watch_t *member_watch_ask (member_t *member, const char *service,
                                  int64_t now_us);
void member_watch_receive (member_t *member, vm_id_t from,
                           const member_message *message, int64_t now_us);
/* Sends what changed in the group to those who watch it.  */
void member_watch_push (member_t *member, int64_t now_us);
/* FROM has spoken: it is within reach.  */
void member_watch_heard (member_t *member, vm_id_t from);
void member_watch_clear (member_t *member);

#endif
