/* Messages between daemons about the configuration.  A text is named by the
   hash of all its bytes; a chunk of it by its place in the text's list.  */

const CONFIG_ID_MAX = 39;
const CONFIG_LIST_MAX = 128;
const CONFIG_ASK_MAX = 16;
const CONFIG_CHUNK_MAX = 1000;

enum config_message_kind
{
  CONFIG_ANNOUNCE = 1,
  CONFIG_ASK_LIST = 2,
  CONFIG_LIST = 3,
  CONFIG_ASK_CHUNKS = 4,
  CONFIG_CHUNK = 5
};

struct config_announce
{
  unsigned hyper doc_version;
  string publication_id<CONFIG_ID_MAX>;
  hyper accepted_ms;
  bool anchored;
  unsigned hyper text_hash;
  unsigned int text_size;
  bool asks; /* wants an announcement in return */
};

struct config_ask_list
{
  unsigned hyper text_hash;
  unsigned int start;
};

struct config_list
{
  unsigned hyper text_hash;
  unsigned int total;
  unsigned int start;
  unsigned hyper hashes<CONFIG_LIST_MAX>;
};

struct config_ask_chunks
{
  unsigned hyper text_hash;
  unsigned int indices<CONFIG_ASK_MAX>;
};

struct config_chunk
{
  unsigned hyper text_hash;
  unsigned int index;
  opaque data<CONFIG_CHUNK_MAX>;
};

union config_message switch (config_message_kind kind)
{
case CONFIG_ANNOUNCE:
  config_announce announce;
case CONFIG_ASK_LIST:
  config_ask_list ask_list;
case CONFIG_LIST:
  config_list list;
case CONFIG_ASK_CHUNKS:
  config_ask_chunks ask_chunks;
case CONFIG_CHUNK:
  config_chunk chunk;
};
