const CONTRACT_ITEMS_MAX = 24;
const CONTRACT_VMS_MAX = 128;

enum contract_op
{
  CONTRACT_OP_ASK = 1,
  CONTRACT_OP_GRANT = 2,
  CONTRACT_OP_WANT = 3,
  CONTRACT_OP_COUNT = 4,
  CONTRACT_OP_COUNTED = 5,
  CONTRACT_OP_LEAVE = 6,
  CONTRACT_OP_RETURN = 7
};

struct contract_wire_ask
{
  unsigned hyper account;
  unsigned int demand_milli;
  unsigned hyper rate;
  unsigned hyper burst;
  unsigned hyper tokens;
  unsigned hyper returned;
};

struct contract_wire_grant
{
  unsigned hyper account;
  unsigned int limited;
  unsigned hyper rate;
  unsigned hyper burst;
  unsigned hyper tokens;
};

struct contract_message
{
  contract_op op;
  unsigned int group;
  unsigned hyper number;
  unsigned hyper stamp;
  unsigned hyper life;
  unsigned int owners;
  unsigned int digest;
  contract_wire_ask asks<CONTRACT_ITEMS_MAX>;
  contract_wire_grant grants<CONTRACT_ITEMS_MAX>;
  unsigned hyper vms<CONTRACT_VMS_MAX>;
};
