const MESH_NAME_MAX = 63;
const MESH_ID_MAX = 255;
const MESH_TARGET_MAX = 65536;
const MESH_FIELDS_MAX = 131072;
const MESH_PART_MAX = 32768;
const MESH_LIST_MAX = 1024;
const MESH_DOCUMENT_MAX = 4194304;
const MESH_ROLLOUTS_MAX = 8;
const MESH_ROLLOUT_ROUTES_MAX = 9;

enum mesh_kind
{
  MESH_REPORT = 1,
  MESH_CALL = 2,
  MESH_CALL_BODY = 3,
  MESH_CANCEL = 4,
  MESH_REPLY = 5,
  MESH_REPLY_BODY = 6,
  MESH_FAILED = 7,
  MESH_CREDIT = 8,
  MESH_WANT_DOCUMENT = 9,
  MESH_DOCUMENT = 10
};

typedef string mesh_name<MESH_NAME_MAX>;

struct mesh_load
{
  unsigned int running;
  unsigned int queued;
  unsigned int window;
  unsigned int pressure_permille;
  unsigned int slow_permille;
};

struct mesh_ratio
{
  mesh_name caller;
  mesh_name callee;
  unsigned int permille;
  unsigned int callee_run_us;
};

struct mesh_demand
{
  unsigned int account;
  unsigned int centi_per_s;
  unsigned int admitted;
};

struct mesh_suspect
{
  unsigned hyper fingerprint;
  unsigned int epoch;
  unsigned int crashes;
};

struct mesh_identity
{
  unsigned hyper vm;
  unsigned hyper incarnation;
  unsigned hyper config_version;
  unsigned int operator_era;
  hyper operator_offset;
  unsigned int operator_before_era;
  hyper operator_before_offset;
  mesh_name service;
  mesh_name zone;
  mesh_name server;
  unsigned int accepting;
  unsigned int slots;
  mesh_name server_version;
  mesh_suspect suspects<MESH_LIST_MAX>;
};

struct mesh_rollout_route
{
  unsigned int route_hash;
  unsigned int runs;
  unsigned int failed;
  unsigned int over_2x;
  unsigned int over_4x;
};

struct mesh_rollout_claim
{
  unsigned hyper vm;
  unsigned hyper incarnation;
  unsigned int state;
  unsigned int era;
  hyper offset;
  unsigned int age_ms;
};

struct mesh_rollout
{
  mesh_name service;
  mesh_name target;
  hyper duration_us;
  unsigned int era;
  hyper offset;
  unsigned int elapsed_ms;
  unsigned int state;
  unsigned int retired;
  unsigned int server;
  unsigned int accepting;
  unsigned int slots;
  unsigned int running;
  mesh_rollout_claim *claim;
  mesh_rollout_route routes<MESH_ROLLOUT_ROUTES_MAX>;
};

struct mesh_report
{
  mesh_identity *identity;
  mesh_load load;
  mesh_ratio ratios<MESH_LIST_MAX>;
  mesh_demand demands<MESH_LIST_MAX>;
  mesh_rollout rollouts<MESH_ROLLOUTS_MAX>;
};

struct mesh_call
{
  unsigned hyper stream;
  string attempt_id<MESH_ID_MAX>;
  mesh_name method;
  string target<MESH_TARGET_MAX>;
  opaque fields<MESH_FIELDS_MAX>;
  mesh_name account;
  mesh_name caller;
  mesh_name service;
  mesh_name route;
  unsigned hyper incarnation;
  unsigned int timeout_ms;
  unsigned int wait_ms;
  unsigned int expected_us;
  unsigned int priority;
  unsigned int flags;
  unsigned int body_size;
  opaque body<MESH_PART_MAX>;
};

struct mesh_part
{
  unsigned hyper stream;
  unsigned int last;
  opaque data<MESH_PART_MAX>;
};

struct mesh_stream
{
  unsigned hyper stream;
  unsigned int value;
};

struct mesh_reply
{
  unsigned hyper stream;
  unsigned int status;
  unsigned int last;
  hyper length;
  unsigned int run_us;
  mesh_load load;
  opaque fields<MESH_FIELDS_MAX>;
  opaque body<MESH_PART_MAX>;
};

struct mesh_failed
{
  unsigned hyper stream;
  unsigned int failure;
  unsigned int cause;
  unsigned int retry_ms;
  mesh_load load;
};

struct mesh_zone
{
  mesh_name name;
  unsigned int out;
  unsigned int written_in_era;
  unsigned int confirmed_era;
  unsigned int era;
  hyper offset;
};

struct mesh_document
{
  unsigned hyper config_version;
  unsigned int operator_era;
  hyper operator_offset;
  unsigned int operator_before_era;
  hyper operator_before_offset;
  hyper operator_first_end;
  mesh_zone zones<MESH_LIST_MAX>;
  opaque text<MESH_DOCUMENT_MAX>;
};
