/* Messages between the members of a service about requests that run at most
   once.  Compiled by: rpcgen -N -C -M  */

const ONCEP_NAME_MAX = 64;
const ONCEP_KEY_MAX = 80;
const ONCEP_HASH_BYTES = 16;
const ONCEP_MEMBERS_MAX = 64;
const ONCEP_TOKENS_MAX = 4;
const ONCEP_ANSWER_MAX = 800;

struct oncep_member {
  unsigned hyper vm;
  unsigned hyper incarnation;
};

struct oncep_token {
  unsigned hyper entry;
  unsigned hyper serial;
};

/* A home asks a voter to let it accept keys issued up to bound_ms.  */
struct oncep_ask {
  unsigned hyper epoch;
  unsigned hyper incarnation;
  hyper bound_ms;
  hyper sent_us;         /* echoed; the asker's clock */
  unsigned hyper wanted; /* epoch whose members the asker lacks, or 0 */
};

struct oncep_vote {
  unsigned hyper epoch;
  hyper sent_us;
  unsigned hyper incarnation;
  unsigned hyper promised;
  hyper granted_ms; /* 0: not granted */
  hyper highest_ms; /* ever granted to anyone */
  unsigned hyper closed;
  hyper floor_ms;
};

struct oncep_roster {
  unsigned hyper epoch;
  oncep_member members<ONCEP_MEMBERS_MAX>;
};

struct oncep_record {
  unsigned hyper epoch;
  string account<ONCEP_NAME_MAX>;
  string route<ONCEP_NAME_MAX>;
  string key<ONCEP_KEY_MAX>;
  opaque body_hash[ONCEP_HASH_BYTES];
  unsigned int state;
  oncep_token given_up<ONCEP_TOKENS_MAX>;
  bool has_answer;
  unsigned int status;
  unsigned int headers_size;
  opaque answer<ONCEP_ANSWER_MAX>;
};

struct oncep_record_ack {
  unsigned hyper epoch;
  unsigned hyper hash;
  unsigned int state;
};

/* All records that moved from the sender have been confirmed.  */
struct oncep_end {
  unsigned hyper epoch;
  unsigned hyper acted;       /* epoch in which the sender last was a home */
  unsigned hyper incarnation; /* of the sender */
  hyper horizon_ms;
  hyper hold_us;
};

struct oncep_end_ack {
  unsigned hyper epoch;
};

enum oncep_kind {
  ONCEP_ASK = 1,
  ONCEP_VOTE = 2,
  ONCEP_ROSTER = 3,
  ONCEP_RECORD = 4,
  ONCEP_RECORD_ACK = 5,
  ONCEP_END = 6,
  ONCEP_END_ACK = 7
};

union oncep_message switch (oncep_kind kind) {
case ONCEP_ASK:
  oncep_ask ask;
case ONCEP_VOTE:
  oncep_vote vote;
case ONCEP_ROSTER:
  oncep_roster roster;
case ONCEP_RECORD:
  oncep_record record;
case ONCEP_RECORD_ACK:
  oncep_record_ack record_ack;
case ONCEP_END:
  oncep_end end;
case ONCEP_END_ACK:
  oncep_end_ack end_ack;
};
