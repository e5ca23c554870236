/* What a daemon tells another about a call that it sends on.  */

const CALL_NAME_MAX = 63;
const CALL_ID_MAX = 39;
const CALL_KEY_MAX = 79;
const CALL_HELD_MAX = 16;
const CALL_METHOD_MAX = 15;
const CALL_PATH_MAX = 1023;

struct wire_call
{
  string root<CALL_ID_MAX>;
  string request<CALL_ID_MAX>;
  string account<CALL_NAME_MAX>;
  string route<CALL_NAME_MAX>;
  string service<CALL_NAME_MAX>;
  string key<CALL_KEY_MAX>;
  string method<CALL_METHOD_MAX>;
  string path<CALL_PATH_MAX>;
  unsigned hyper body_hash;
  unsigned hyper from;
  unsigned hyper doc_version;
  unsigned hyper serial;
  unsigned hyper held<CALL_HELD_MAX>;
  unsigned int weight;
  unsigned int priority;
  unsigned int rank;
  unsigned int deadline_ms;
  unsigned int retries;
  unsigned int depth;
  bool idempotent;
  bool query;
};

/* What comes back beside the answer.  */
struct wire_report
{
  string request<CALL_ID_MAX>;
  unsigned hyper body_hash;
  unsigned int reason;
  unsigned int status;
  unsigned int retries_unused;
  unsigned int in_flight;
  unsigned int limit;
  unsigned int queued;
  unsigned int level;
};

/* One control datagram's argument.  */
struct wire_datagram
{
  unsigned hyper from;
  unsigned hyper sent_ms;
  opaque payload<1200>;
};
