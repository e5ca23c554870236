/* News of suspect and quarantined requests between the members of a service.
   Compiled by: rpcgen -N -C -M  */

const QUARANTINEP_NAME_MAX = 64;
const QUARANTINEP_ENTRIES_MAX = 6;

struct quarantinep_entry {
  unsigned hyper fingerprint;
  unsigned int state;
  unsigned int revision;
  unsigned int crashes;
  unsigned int left_s;
  string account<QUARANTINEP_NAME_MAX>;
  string route<QUARANTINEP_NAME_MAX>;
};

struct quarantinep_news {
  quarantinep_entry entries<QUARANTINEP_ENTRIES_MAX>;
};
