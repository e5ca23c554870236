#ifndef REDWINGFORD_CONFIG_INTERNAL_H
#define REDWINGFORD_CONFIG_INTERNAL_H

/* State behind config.h, shared by config.c, config_gossip.c and
   config_log.c.  */

#include "config.h"
#include "config_pull.h"
#include "config_text.h"

enum
{
  CONFIG_OFFSET_NONE = -1
};

typedef struct config_log_state_t
{
  bool busy;            /* a job is under way */
  bool up;              /* the last job went well */
  bool started;         /* cursor is set */
  bool whole;           /* read from offset 0 on */
  bool at_end;          /* nothing was left to read at the last read */
  int64_t cursor;       /* next offset to read */
  uint64_t last_hash;   /* of the record before the cursor, 0: unknown */
  bool checks_last;     /* the next read includes that record */
  uint32_t plain_reads; /* since the last read that did */
  int64_t head_offset;  /* newest record of the head, or CONFIG_OFFSET_NONE */
  int64_t head_ms;      /* Unix time when that record was appended */
  int64_t head_read_us; /* when it was read */
  int64_t poll_due_us;
  bool append_wanted;
  uint32_t missing_rounds; /* reads to the end without the head */
  uint32_t failures;       /* in a row */
} config_log_state_t;

struct config_t
{
  config_options_t options;
  config_peer_t self;
  link_t link;
  config_callbacks_t callbacks;
  const rng_t *rng;
  int64_t started_us;
  int64_t wall_offset_ms; /* Unix time less monotonic time */

  config_peer_t *peers;
  size_t peer_count;
  size_t group_count; /* the first of the peers are of the same service */
  size_t pollers;     /* estimate for the whole fleet */
  bool poller;

  config_head_t head;
  config_text_t *text;
  int64_t unanchored_us; /* since when the head is not anchored */
  int64_t heard_us;      /* when a peer last sent anything */
  int64_t unsure_us;     /* until when records may be missing from the log */
  bool agreed;           /* another daemon announced the same head */
  bool unapplied;        /* the head waits to be put in force */
  doc_version_t in_force;
  char in_force_id[REQUEST_ID_BYTES];
  error_info_t refused;

  uint32_t hot_left;
  int64_t hot_due_us;
  int64_t gossip_due_us;
  config_pull_t *pull;

  config_log_state_t log;
  uint64_t reads;
  uint64_t appends;
  uint64_t pulls;
  uint64_t lost;
  uint64_t bad_records;
};

int64_t config_wall_ms (const config_t *config, int64_t now_us);

/* Makes HEAD with TEXT, which config then owns, the newest.  */
void config_take_head (config_t *config, const config_head_t *head,
                       config_text_t *text, int64_t now_us);

#endif
