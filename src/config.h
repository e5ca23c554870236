#ifndef REDWINGFORD_CONFIG_H
#define REDWINGFORD_CONFIG_H

/* A daemon's part in distributing the configuration, as decisions only.

   A few daemons of each service and availability zone read the log; all tell
   each other which document is the newest and fetch it from one another.  The
   newest document is the head; the one in force is the newest that this
   program could read.  The head never goes to an older version.

   The owner calls config_receive and config_tick for peers, does the log work
   that config_log_job asks for, and puts new documents in force with
   config_apply_begin and config_apply_end.  Not safe for several threads at
   once: config_part.h holds a lock around each call.  */

#include "config_head.h"
#include "doc.h"
#include "link.h"
#include "log_service.h"
#include "rng.h"

typedef struct config_t config_t;

typedef struct config_options_t
{
  int64_t poll_us;            /* between two log reads of one poller */
  uint32_t reads_per_s_max;   /* of the whole fleet; pollers slow down */
  uint32_t pollers_per_group; /* in one service and availability zone */
  int64_t gossip_us;          /* between announcements without news */
  int64_t hot_us;             /* between announcements of a new head */
  uint32_t hot_rounds;
  uint32_t fanout;         /* peers told in a hot round */
  int64_t retention_us;    /* of the log; records are renewed at half of it */
  int64_t starter_wait_us; /* time for peers to answer, then the log is read */
  int64_t settle_us;  /* after a start or a gap in the log: until a head that
                         nobody disputes is taken for sure */
  int64_t silence_us; /* without a word from peers the log is read */
  config_rules_t rules;
  bool gossips;   /* off: only the log spreads news */
  bool puts_back; /* off: a lost head is not appended again */
  bool renews;    /* off: the head's record is left to expire */
  bool doubts;    /* off: a head is sure at once after a gap in the log */
} config_options_t;

/* All mechanisms on, with the periods that daemons use.  */
extern const config_options_t config_options_default;

/* A contact in a service whose members are not known has "" as service: it
   counts as one poller of its own.  */
typedef struct config_peer_t
{
  vm_id_t vm;
  char zone[NAME_BYTES];
  char service[NAME_BYTES];
} config_peer_t;

typedef struct config_callbacks_t
{
  /* DOC is in force from now on; the callee owns it.  */
  void (*applied) (void *ctx, doc_t *doc);
  void *ctx; /* borrowed */
} config_callbacks_t;

/* OPTIONS and SELF are copied, RNG borrowed.  Free with config_free.  */
config_t *config_new (const config_options_t *options,
                      const config_peer_t *self, link_t link,
                      config_callbacks_t callbacks, const rng_t *rng,
                      int64_t now_us);
void config_free (config_t *config);

/* Unix time in milliseconds at NOW_US; call it now and then.  */
void config_set_wall (config_t *config, int64_t wall_ms, int64_t now_us);

/* The daemons that this one knows; copied.  An entry of its own says which
   service it runs beside now.  */
void config_set_peers (config_t *config, const config_peer_t *peers,
                       size_t count);

/* A message from a peer; false when it is malformed.  */
bool config_receive (config_t *config, vm_id_t from, const void *data,
                     size_t size, int64_t now_us);

/* Does what is due and returns when to call again, at the latest.  */
int64_t config_tick (config_t *config, int64_t now_us);

/* Log work.  One job at a time; its end is reported by one of the three
   functions below.  */
typedef enum config_job_kind_t
{
  CONFIG_JOB_NONE, /* ask again at due_us */
  CONFIG_JOB_READ,
  CONFIG_JOB_APPEND
} config_job_kind_t;

typedef struct config_job_t
{
  config_job_kind_t kind;
  int64_t due_us;
  int64_t from; /* READ */
  size_t max;   /* READ: records */
  char *record; /* APPEND: the caller frees it */
  size_t size;
} config_job_t;

config_job_t config_log_job (config_t *config, int64_t now_us);
void config_log_read (config_t *config, const log_page_t *page,
                      int64_t now_us);
void config_log_appended (config_t *config, int64_t offset, int64_t now_us);
/* The job failed; an append may have taken effect.  */
void config_log_failed (config_t *config, int64_t now_us);

/* When the head is not in force yet, fills *head and returns a copy of its
   text that the caller frees, else NULL.  Parsing may take a while, so the
   owner does it outside its lock.  */
char *config_apply_begin (config_t *config, config_head_t *head);

/* Ends it with the parsed document, which config then owns, or with NULL and
   the faults.  The callback is called unless something newer is in force.  */
void config_apply_end (config_t *config, const config_head_t *head, doc_t *doc,
                       const doc_errors_t *errors);

/* config_apply_begin, parsing and config_apply_end in one.  */
void config_apply (config_t *config);

typedef struct config_status_t
{
  config_head_t head;
  doc_version_t in_force; /* version in force, 0: none */
  char in_force_id[REQUEST_ID_BYTES];
  /* Anchored, known to another daemon if there is one, and no gap in the log
     lately: what is confirmed stays in force or is built on.  */
  bool confirmed;
  bool poller;
  bool log_up;
  int64_t log_next; /* next offset to read */
  uint64_t reads;
  uint64_t appends;
  uint64_t pulls;
  uint64_t lost;        /* publications that lost their base */
  uint64_t bad_records; /* records that were none */
  error_info_t refused; /* why the head is not in force, or ERROR_NONE */
} config_status_t;

void config_get_status (const config_t *config, config_status_t *status,
                        int64_t now_us);

/* The head's text, borrowed until the next call that may change it.  */
const char *config_text (const config_t *config, size_t *size);

#endif
