const MEMBER_NAME_MAX = 63;
const MEMBER_NEWS_MAX = 24;
const MEMBER_RECORDS_MAX = 16;
const MEMBER_SUMMARIES_MAX = 8;
const MEMBER_CONTACTS_MAX = 3;
const MEMBER_BUCKETS_MAX = 64;

enum member_op
{
  MEMBER_OP_PING = 1,
  MEMBER_OP_ACK = 2,
  MEMBER_OP_PROBE = 3,
  MEMBER_OP_NEWS = 4,
  MEMBER_OP_JOIN = 5,
  MEMBER_OP_SYNC = 6,
  MEMBER_OP_POLL = 7,
  MEMBER_OP_POLLED = 8,
  MEMBER_OP_EXCHANGE = 9
};

typedef string member_name<MEMBER_NAME_MAX>;

struct member_wire_news
{
  unsigned hyper vm;
  unsigned hyper incarnation;
  unsigned int state;
};

struct member_wire_record
{
  unsigned hyper vm;
  unsigned hyper incarnation;
  unsigned hyper life;
  unsigned hyper config_version;
  unsigned int sequence;
  unsigned int state;
  unsigned int leaving;
  unsigned int ports;
  unsigned int slots;
  unsigned int load;
  member_name service;
  member_name zone;
  member_name region;
};

struct member_wire_contact
{
  unsigned hyper vm;
  unsigned hyper life;
  member_name zone;
  member_name region;
};

struct member_wire_summary
{
  unsigned hyper edition;
  unsigned int live;
  unsigned int slots;
  member_name service;
  member_wire_contact contacts<MEMBER_CONTACTS_MAX>;
};

struct member_message
{
  member_op op;
  unsigned int number;
  unsigned hyper subject;
  unsigned hyper incarnation;
  unsigned hyper config_version;
  unsigned int load;
  unsigned int scope;
  unsigned int digest;
  unsigned int flags;
  member_wire_news news<MEMBER_NEWS_MAX>;
  member_wire_record records<MEMBER_RECORDS_MAX>;
  unsigned int buckets<MEMBER_BUCKETS_MAX>;
  member_wire_summary summaries<MEMBER_SUMMARIES_MAX>;
};
