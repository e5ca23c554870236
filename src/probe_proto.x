/* Asks the daemon that a request was sent to whether it still has it.  */

const PROBE_ID_MAX = 39;

enum wire_probe_state
{
  PROBE_STATE_ASK = 0,
  PROBE_STATE_UNSEEN = 1,
  PROBE_STATE_OPEN = 2,
  PROBE_STATE_ENDED = 3
};

struct wire_probe
{
  string request<PROBE_ID_MAX>;
  wire_probe_state state;
};
