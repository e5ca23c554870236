#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  BEAT_MS = 1500,
  BEAT_ACK_MS = 1000,
  MACHINES_MAX = 64
};

static struct timespec started;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[64];
static int net_a, net_b;
static si_machine_t *machines[MACHINES_MAX];
static int machine_count;

/* --- time and record ----------------------------------------------------- */

int64_t
si_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (now.tv_sec - started.tv_sec) * 1000LL
         + (now.tv_nsec - started.tv_nsec) / 1000000;
}

int64_t
si_wall_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

void
si_sleep_ms (int64_t ms)
{
  struct timespec span = { ms / 1000, (ms % 1000) * 1000000 };
  if (ms > 0)
    while (nanosleep (&span, &span) != 0 && errno == EINTR)
      ;
}

void
si_sleep_until (int64_t at_ms)
{
  si_sleep_ms (at_ms - si_now_ms ());
}

void
si_note (const char *format, ...)
{
  va_list args;
  int64_t now_ms = si_now_ms ();
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%9.3f ", (double)now_ms / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
si_start (const char *record_path)
{
  clock_gettime (CLOCK_MONOTONIC, &started);
  signal (SIGPIPE, SIG_IGN);
  record = fopen (record_path, "w");
  if (record == NULL)
    exit (2);
  snprintf (folder, sizeof folder, "/tmp/review-XXXXXX");
  if (mkdtemp (folder) == NULL)
    exit (2);
  net_a = 64 + getpid () % 128;
  net_b = getpid () / 128 % 254 + 1;
  alarm (115); /* the stand-in ends in any case, and the daemons with it */
}

void
si_finish (int status)
{
  char command[160];
  for (int i = 0; i < machine_count; i++)
    if (machines[i]->pid > 0)
      {
        kill (machines[i]->pid, SIGKILL);
        waitpid (machines[i]->pid, NULL, 0);
      }
  const char *keep = getenv ("KEEP_LOGS");
  if (keep != NULL)
    snprintf (command, sizeof command, "mkdir -p %s && cp %s/*.log %s/", keep,
              folder, keep);
  else
    command[0] = '\0';
  if (command[0] != '\0' && system (command) != 0)
    si_note ("the logs could not be kept");
  snprintf (command, sizeof command, "rm -rf %s", folder);
  if (system (command) != 0)
    si_note ("%s remains", folder);
  si_note ("exit %d", status);
  fflush (record);
  _exit (status);
}

void
si_cannot (const char *why)
{
  si_note ("the case could not run: %s", why);
  fprintf (stderr, "the case could not run: %s\n", why);
  si_finish (2);
}

bool
si_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

void
si_thread (void *(*run) (void *), void *argument)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, argument) != 0)
    si_cannot ("no thread");
  pthread_attr_destroy (&attributes);
}

/* --- sockets and HTTP ---------------------------------------------------- */

static struct sockaddr_in
make_addr (const char *ip, uint16_t port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, ip, &addr.sin_addr);
  return addr;
}

int
si_listen (const char *ip, uint16_t *port)
{
  struct sockaddr_in addr = make_addr (ip, *port);
  socklen_t size = sizeof addr;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || listen (fd, 512) != 0)
    si_cannot ("no listener");
  getsockname (fd, (struct sockaddr *)&addr, &size);
  *port = ntohs (addr.sin_port);
  return fd;
}

int
si_connect (const char *ip, uint16_t port)
{
  struct sockaddr_in addr = make_addr (ip, port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool
si_send_all (int fd, const void *data, size_t size)
{
  const char *at = data;
  while (size > 0)
    {
      ssize_t sent = send (fd, at, size, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      at += sent;
      size -= (size_t)sent;
    }
  return true;
}

void
si_reader_open (si_reader_t *reader, int fd)
{
  *reader = (si_reader_t){ .fd = fd };
}

void
si_reader_close (si_reader_t *reader)
{
  free (reader->data);
  reader->data = NULL;
}

static bool
fill (si_reader_t *reader)
{
  if (reader->capacity - reader->size < 65536)
    {
      reader->capacity = reader->capacity * 2 + 131072;
      reader->data = realloc (reader->data, reader->capacity);
      if (reader->data == NULL)
        abort ();
    }
  ssize_t size;
  do
    size = recv (reader->fd, reader->data + reader->size,
                 reader->capacity - reader->size, 0);
  while (size < 0 && errno == EINTR);
  if (size <= 0)
    return false;
  reader->size += (size_t)size;
  return true;
}

static void
take (si_reader_t *reader, size_t size)
{
  memmove (reader->data, reader->data + size, reader->size - size);
  reader->size -= size;
}

bool
si_field (const si_message_t *message, const char *name, char *to, size_t size)
{
  size_t name_size = strlen (name);
  const char *line = strstr (message->head, "\r\n");
  while (line != NULL && line[2] != '\0')
    {
      line += 2;
      if (strncasecmp (line, name, name_size) == 0 && line[name_size] == ':')
        {
          const char *value = line + name_size + 1;
          while (*value == ' ')
            value++;
          size_t length = strcspn (value, "\r");
          if (length >= size)
            length = size - 1;
          memcpy (to, value, length);
          to[length] = '\0';
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

static bool
read_chunks (si_reader_t *reader, si_message_t *message)
{
  for (;;)
    {
      char *end;
      while (reader->size == 0
             || (end = memmem (reader->data, reader->size, "\r\n", 2)) == NULL)
        if (!fill (reader))
          return false;
      size_t size = strtoul (reader->data, NULL, 16);
      size_t line = (size_t)(end - reader->data) + 2;
      while (reader->size < line + size + 2)
        if (!fill (reader))
          return false;
      message->body = realloc (message->body, message->body_size + size + 1);
      memcpy (message->body + message->body_size, reader->data + line, size);
      message->body_size += size;
      take (reader, line + size + 2);
      if (size == 0)
        return true;
    }
}

bool
si_read (si_reader_t *reader, bool response, si_message_t *message)
{
  char text[64];
  char *end = NULL;
  *message = (si_message_t){ .status = 0 };
  while (reader->size == 0
         || (end = memmem (reader->data, reader->size, "\r\n\r\n", 4)) == NULL)
    if (!fill (reader))
      return false;
  size_t head_size = (size_t)(end - reader->data) + 4;
  if (head_size >= sizeof message->head)
    return false;
  memcpy (message->head, reader->data, head_size - 2);
  message->head[head_size - 2] = '\0';
  take (reader, head_size);
  if (response)
    message->status = atoi (message->head + strcspn (message->head, " "));
  message->close = si_field (message, "Connection", text, sizeof text)
                   && strcasecmp (text, "close") == 0;
  if (response && message->status < 200 && message->status > 0)
    return si_read (reader, response, message);
  if (si_field (message, "Transfer-Encoding", text, sizeof text))
    {
      message->whole = read_chunks (reader, message);
      return true;
    }
  if (si_field (message, "Content-Length", text, sizeof text))
    {
      size_t length = strtoul (text, NULL, 10);
      while (reader->size < length)
        if (!fill (reader))
          return true;
      message->body = malloc (length + 1);
      memcpy (message->body, reader->data, length);
      message->body_size = length;
      take (reader, length);
    }
  message->whole = true;
  return true;
}

void
si_message_free (si_message_t *message)
{
  free (message->body);
  message->body = NULL;
}

/* --- the store ----------------------------------------------------------- */

typedef struct log_record_t
{
  char key[128];
  char *value; /* NULL drops the key */
  size_t size;
} log_record_t;

typedef struct log_topic_t
{
  char name[64];
  log_record_t records[8192];
  int end;
} log_topic_t;

static log_topic_t topics[8];
static int topic_count;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
char si_store_addr[64];

static log_topic_t *
find_topic (const char *name, size_t size)
{
  for (int i = 0; i < topic_count; i++)
    if (strlen (topics[i].name) == size
        && memcmp (topics[i].name, name, size) == 0)
      return &topics[i];
  log_topic_t *topic = &topics[topic_count++];
  memcpy (topic->name, name, size);
  return topic;
}

static void
append_record (log_topic_t *topic, const char *key, size_t key_size,
               const char *value, size_t size)
{
  log_record_t *entry = &topic->records[topic->end++];
  memcpy (entry->key, key, key_size);
  entry->key[key_size] = '\0';
  entry->size = size;
  entry->value = NULL;
  if (size > 0)
    {
      entry->value = malloc (size);
      memcpy (entry->value, value, size);
    }
  pthread_cond_broadcast (&store_changed);
}

void
si_store_put (const char *topic, const char *key, const char *value)
{
  pthread_mutex_lock (&store_lock);
  append_record (find_topic (topic, strlen (topic)), key, strlen (key), value,
                 value != NULL ? strlen (value) : 0);
  pthread_mutex_unlock (&store_lock);
  si_note ("the operator writes %s/%s %s", topic, key,
           value == NULL ? "(removed)" : "");
}

static const char *
query_value (const char *target, const char *name)
{
  size_t size = strlen (name);
  const char *at = strchr (target, '?');
  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, size) == 0 && at[size] == '=')
        return at + size + 1;
      at = strpbrk (at, "& ");
      if (at != NULL && *at == ' ')
        return "";
    }
  return "";
}

static void
respond (int fd, int status, const char *fields, const void *body, size_t size)
{
  char head[1024];
  int head_size = snprintf (head, sizeof head,
                            "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n",
                            status, status == 200 ? "OK" : "No", fields, size);
  char *all = malloc ((size_t)head_size + size);
  memcpy (all, head, (size_t)head_size);
  if (size > 0)
    memcpy (all + head_size, body, size);
  si_send_all (fd, all, (size_t)head_size + size);
  free (all);
}

static size_t
base64 (const unsigned char *from, size_t size, char *to)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = 0;
  for (size_t i = 0; i < size; i += 3)
    {
      unsigned value = (unsigned)from[i] << 16;
      if (i + 1 < size)
        value |= (unsigned)from[i + 1] << 8;
      if (i + 2 < size)
        value |= from[i + 2];
      to[length++] = digits[value >> 18];
      to[length++] = digits[value >> 12 & 63];
      to[length++] = i + 1 < size ? digits[value >> 6 & 63] : '=';
      to[length++] = i + 2 < size ? digits[value & 63] : '=';
    }
  return length;
}

static void
answer_newest (int fd, const log_topic_t *topic)
{
  size_t capacity = 1024;
  for (int i = 0; i < topic->end; i++)
    capacity += topic->records[i].size * 2 + 300;
  char *text = malloc (capacity);
  size_t size = (size_t)sprintf (text, "{\"items\":[");
  bool first = true;
  for (int i = 0; i < topic->end; i++)
    {
      const log_record_t *entry = &topic->records[i];
      bool newest = entry->value != NULL;
      for (int j = i + 1; j < topic->end; j++)
        newest = newest && strcmp (topic->records[j].key, entry->key) != 0;
      if (!newest)
        continue;
      size += (size_t)sprintf (text + size, "%s{\"key\":\"%s\",\"value\":\"",
                               first ? "" : ",", entry->key);
      size += base64 ((unsigned char *)entry->value, entry->size, text + size);
      size += (size_t)sprintf (text + size, "\",\"offset\":%d}", i);
      first = false;
    }
  size += (size_t)sprintf (text + size, "],\"hasMore\":false,\"end\":%d}",
                           topic->end);
  respond (fd, 200, "Content-Type: application/json\r\n", text, size);
  free (text);
}

static void
answer_read (int fd, log_topic_t *topic, const char *target)
{
  int from = atoi (query_value (target, "from"));
  int64_t until_ms = si_now_ms () + atoi (query_value (target, "waitMs"));
  while (from >= topic->end && si_now_ms () < until_ms)
    {
      struct timespec until;
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_nsec += 100 * 1000000;
      until.tv_sec += until.tv_nsec / 1000000000;
      until.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&store_changed, &store_lock, &until);
      struct pollfd gone = { .fd = fd, .events = POLLRDHUP };
      if (poll (&gone, 1, 0) > 0)
        return;
    }
  size_t capacity = 16;
  for (int i = from; i < topic->end; i++)
    capacity += 5 + strlen (topic->records[i].key) + topic->records[i].size;
  char *out = malloc (capacity);
  uint64_t head[] = { htobe64 ((uint64_t)topic->end), 0 };
  memcpy (out, head, 16);
  size_t size = 16;
  for (int i = from; i < topic->end; i++)
    {
      const log_record_t *entry = &topic->records[i];
      size_t key_size = strlen (entry->key);
      uint32_t length = htonl ((uint32_t)(1 + key_size + entry->size));
      memcpy (out + size, &length, 4);
      out[size + 4] = (char)key_size;
      memcpy (out + size + 5, entry->key, key_size);
      size += 5 + key_size;
      if (entry->size > 0)
        memcpy (out + size, entry->value, entry->size);
      size += entry->size;
    }
  respond (fd, 200, "", out, size);
  free (out);
}

static void
answer_append (int fd, log_topic_t *topic, const si_message_t *message)
{
  char text[96];
  const char *at = message->body;
  size_t left = message->body_size;
  int offset = topic->end;
  while (left >= 5)
    {
      uint32_t length;
      memcpy (&length, at, 4);
      length = ntohl (length);
      size_t key_size = (unsigned char)at[4];
      if (length + 4 > left || key_size + 1 > length)
        break;
      append_record (topic, at + 5, key_size, at + 5 + key_size,
                     length - 1 - key_size);
      at += 4 + length;
      left -= 4 + length;
    }
  int size = snprintf (text, sizeof text, "{\"offset\":%d,\"end\":%d}", offset,
                       topic->end);
  respond (fd, 200, "Content-Type: application/json\r\n", text, (size_t)size);
}

static void *
store_connection (void *argument)
{
  si_reader_t reader;
  si_message_t message;
  int fd = (int)(intptr_t)argument;
  si_reader_open (&reader, fd);
  while (si_read (&reader, false, &message))
    {
      const char *target = strchr (message.head, ' ') + 1;
      const char *name = query_value (target, "topic");
      pthread_mutex_lock (&store_lock);
      log_topic_t *topic = find_topic (name, strcspn (name, "& "));
      if (strncmp (target, "/-/log-append", 13) == 0)
        answer_append (fd, topic, &message);
      else if (strncmp (target, "/-/log-newest", 13) == 0)
        answer_newest (fd, topic);
      else if (strncmp (target, "/-/log-read", 11) == 0)
        answer_read (fd, topic, target);
      else
        respond (fd, 404, "", NULL, 0);
      pthread_mutex_unlock (&store_lock);
      si_message_free (&message);
    }
  si_reader_close (&reader);
  close (fd);
  return NULL;
}

static void *
store_accept (void *argument)
{
  int listener = (int)(intptr_t)argument;
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0)
        si_thread (store_connection, (void *)(intptr_t)fd);
    }
  return NULL;
}

void
si_store_start (void)
{
  char ip[32];
  uint16_t port = 0;
  snprintf (ip, sizeof ip, "127.%d.%d.250", net_a, net_b);
  int listener = si_listen (ip, &port);
  snprintf (si_store_addr, sizeof si_store_addr, "%s:%u", ip, port);
  si_thread (store_accept, (void *)(intptr_t)listener);
}

/* --- machines and daemons ------------------------------------------------ */

enum
{
  PORTS = 7
};

/* Ports of the kernel's choice, all different.  */
static void
free_ports (const char *ip, uint16_t *const ports[PORTS])
{
  int fds[PORTS];
  for (int i = 0; i < PORTS; i++)
    {
      *ports[i] = 0;
      fds[i] = si_listen (ip, ports[i]);
    }
  for (int i = 0; i < PORTS; i++)
    close (fds[i]);
}

void
si_machine_init (si_machine_t *machine, int number, const char *service,
                 const char *zone)
{
  *machine = (si_machine_t){ .memory_mb = 260 };
  snprintf (machine->service, sizeof machine->service, "%s", service);
  snprintf (machine->zone, sizeof machine->zone, "%s", zone);
  snprintf (machine->name, sizeof machine->name, "sidecar-%s-%d", zone,
            number);
  snprintf (machine->ip, sizeof machine->ip, "127.%d.%d.%d", net_a, net_b,
            number);
  free_ports (machine->ip,
              (uint16_t *const[PORTS]){
                  &machine->outbound, &machine->inbound, &machine->ready,
                  &machine->control, &machine->peer, &machine->metrics,
                  &machine->app });
  machines[machine_count++] = machine;
}

/* Writes the settings as deploy/sidecar.json.template makes them.  */
static void
write_settings (const si_machine_t *machine, const char *path)
{
  FILE *file = fopen (path, "w");
  if (file == NULL)
    si_cannot ("no settings file");
  fprintf (file,
           "{\"node\":\"%s\",\"zone\":\"%s\",\"service\":\"%s\","
           "\"callers\":\"%s:%u\",\"ready\":\"%s:%u\",\"announce\":\"%s:%u\","
           "\"peer\":\"%s:%u\",\"metrics\":\"%s:%u\",\"backend\":\"%s:%u\","
           "\"store\":\"%s\",\"stop_s\":6,\"retry_share\":0.2,"
           "\"retry_reserve\":48,\"rate_window_s\":5,"
           "\"descriptors_max\":4100,\"memory_mb\":%d}\n",
           machine->name, machine->zone, machine->service, machine->ip,
           machine->outbound, machine->ip, machine->ready, machine->ip,
           machine->control, machine->ip, machine->peer, machine->ip,
           machine->metrics, machine->ip, machine->app, si_store_addr,
           machine->memory_mb);
  fclose (file);
}

void
si_daemon_start (si_machine_t *machine)
{
  char settings[128];
  char variable[192];
  char log[128];
  snprintf (settings, sizeof settings, "%s/%s.json", folder, machine->name);
  snprintf (variable, sizeof variable, "REDWINGFORD_NODE_FILE=%s", settings);
  snprintf (log, sizeof log, "%s/%s.log", folder, machine->name);
  write_settings (machine, settings);
  char *const arguments[] = { "target/redwingford", "sidecar",
                              "--settings-from", "REDWINGFORD_NODE_FILE",
                              NULL };
  char *const environment[]
      = { variable, "PATH=/usr/bin:/bin", "LANG=C", NULL };
  int out = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_t parent = getpid ();
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      signal (SIGPIPE, SIG_DFL);
      dup2 (out, STDOUT_FILENO);
      dup2 (out, STDERR_FILENO);
      execve (arguments[0], arguments, environment);
      _exit (127);
    }
  close (out);
  if (pid < 0)
    si_cannot ("no process");
  machine->pid = pid;
  machine->starts++;
  si_note ("%s (%s) starts", machine->name, machine->service);
}

void
si_daemon_signal (si_machine_t *machine, int signal_number)
{
  if (machine->pid <= 0)
    return;
  si_note ("%s gets signal %d", machine->name, signal_number);
  kill (machine->pid, signal_number);
}

void
si_daemon_wait (si_machine_t *machine, int64_t wait_ms)
{
  int status = 0;
  int64_t until_ms = si_now_ms () + wait_ms;
  if (machine->pid <= 0)
    return;
  while (waitpid (machine->pid, &status, WNOHANG) == 0)
    {
      if (si_now_ms () > until_ms)
        kill (machine->pid, SIGKILL);
      si_sleep_ms (2);
    }
  si_note ("%s has ended, wait status %d", machine->name, status);
  machine->pid = 0;
}

bool
si_daemon_is_ready (const si_machine_t *machine)
{
  static const char request[] = "GET /-/ready HTTP/1.1\r\nHost: r\r\n"
                                "Connection: close\r\n\r\n";
  si_reader_t reader;
  si_message_t message = { .status = 0 };
  int fd = si_connect (machine->ip, machine->ready);
  if (fd < 0)
    return false;
  struct timeval limit = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  si_reader_open (&reader, fd);
  bool ready = si_send_all (fd, request, sizeof request - 1)
               && si_read (&reader, true, &message) && message.status == 200;
  si_message_free (&message);
  si_reader_close (&reader);
  close (fd);
  return ready;
}

bool
si_daemon_wait_ready (const si_machine_t *machine, int64_t wait_ms)
{
  int64_t until_ms = si_now_ms () + wait_ms;
  while (!si_daemon_is_ready (machine))
    {
      if (si_now_ms () > until_ms)
        return false;
      si_sleep_ms (50);
    }
  return true;
}

long
si_daemon_rss_kb (const si_machine_t *machine)
{
  char path[64];
  long size_pages = 0;
  long resident_pages = 0;
  if (machine->pid <= 0)
    return 0;
  snprintf (path, sizeof path, "/proc/%d/statm", machine->pid);
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%ld %ld", &size_pages, &resident_pages) != 2)
    resident_pages = 0;
  fclose (file);
  return resident_pages * (sysconf (_SC_PAGESIZE) / 1024);
}

/* --- backend servers ----------------------------------------------------- */

si_run_t si_runs[SI_RUNS_MAX];
int si_run_count;
void (*si_on_run) (si_upstream_t *upstream, const char *target);
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

int
si_count_runs (const char *attempt)
{
  int count = 0;
  pthread_mutex_lock (&runs_lock);
  for (int i = 0; i < si_run_count; i++)
    count += strcmp (si_runs[i].attempt, attempt) == 0;
  pthread_mutex_unlock (&runs_lock);
  return count;
}

typedef struct upstream_connection_t
{
  si_upstream_t *upstream;
  int fd;
} upstream_connection_t;

static int
cold_left_ms (const si_upstream_t *upstream)
{
  int64_t left_ms = upstream->cold_until_ms - si_now_ms ();
  return left_ms > 0 ? (int)left_ms : 0;
}

static void
answer_health (si_upstream_t *upstream, int fd)
{
  char fields[256];
  snprintf (fields, sizeof fields,
            "X-Instance-Id: %s\r\nX-Server-Load: %d,0,%d\r\nX-Cold-Ms: %d\r\n",
            upstream->id, upstream->running, upstream->slots,
            cold_left_ms (upstream));
  respond (fd, upstream->leaving || upstream->draining ? 503 : 200, fields, "",
           0);
}

static void
run_request (si_upstream_t *upstream, int fd, const si_message_t *message)
{
  char attempt[64] = "";
  char expected[64];
  char fields[512];
  char target[128];
  const char *at = strchr (message->head, ' ') + 1;
  size_t size = strcspn (at, " ");
  snprintf (target, sizeof target, "%.*s", (int)size, at);
  si_field (message, "X-Attempt-Id", attempt, sizeof attempt);
  if (si_field (message, "X-Expected-Instance", expected, sizeof expected)
      && strcmp (expected, upstream->id) != 0)
    {
      snprintf (fields, sizeof fields,
                "X-Instance-Id: %s\r\nX-Not-Executed: 1\r\n"
                "X-Attempt-Id: %s\r\n",
                upstream->id, attempt);
      respond (fd, 421, fields, "", 0);
      return;
    }
  pthread_mutex_lock (&runs_lock);
  if (si_run_count < SI_RUNS_MAX)
    {
      si_run_t *run = &si_runs[si_run_count++];
      run->at_ms = si_now_ms ();
      run->upstream = upstream;
      snprintf (run->attempt, sizeof run->attempt, "%s", attempt);
      snprintf (run->target, sizeof run->target, "%s", target);
    }
  pthread_mutex_unlock (&runs_lock);
  __sync_fetch_and_add (&upstream->running, 1);
  __sync_fetch_and_add (&upstream->run_total, 1);
  if (si_on_run != NULL)
    si_on_run (upstream, target);
  if (!upstream->up)
    return;
  const char *work = query_value (target, "w");
  si_sleep_ms (work[0] != '\0' ? atoi (work) : upstream->work_ms);
  __sync_fetch_and_sub (&upstream->running, 1);
  snprintf (fields, sizeof fields,
            "X-Attempt-Id: %s\r\nX-Server-Signature: %s\r\n"
            "X-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\n",
            attempt, upstream->id, upstream->running, upstream->slots);
  size_t body_size = (size_t)atoi (query_value (target, "n"));
  if (body_size < 2)
    body_size = 2;
  char *body = malloc (body_size);
  memset (body, 'r', body_size);
  respond (fd, 200, fields, body, body_size);
  free (body);
}

static void *
upstream_connection (void *argument)
{
  upstream_connection_t connection = *(upstream_connection_t *)argument;
  si_upstream_t *upstream = connection.upstream;
  si_reader_t reader;
  si_message_t message;
  free (argument);
  si_reader_open (&reader, connection.fd);
  while (upstream->up && si_read (&reader, false, &message))
    {
      if (strncmp (message.head, "GET /health ", 12) == 0)
        answer_health (upstream, connection.fd);
      else if (message.whole)
        run_request (upstream, connection.fd, &message);
      si_message_free (&message);
    }
  si_reader_close (&reader);
  pthread_mutex_lock (&upstream->lock);
  for (int i = 0; i < upstream->fd_count; i++)
    if (upstream->fds[i] == connection.fd)
      upstream->fds[i] = upstream->fds[--upstream->fd_count];
  close (connection.fd);
  pthread_mutex_unlock (&upstream->lock);
  return NULL;
}

static void *
upstream_accept (void *argument)
{
  si_upstream_t *upstream = argument;
  for (;;)
    {
      int fd = accept4 (upstream->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      upstream_connection_t *connection = malloc (sizeof *connection);
      *connection = (upstream_connection_t){ upstream, fd };
      pthread_mutex_lock (&upstream->lock);
      if (upstream->fd_count < 4096)
        upstream->fds[upstream->fd_count++] = fd;
      pthread_mutex_unlock (&upstream->lock);
      si_thread (upstream_connection, connection);
    }
}

typedef struct beat_t
{
  si_upstream_t *upstream;
  int64_t delay_ms;
  char request[768];
  char what[96];
} beat_t;

static bool
send_control (si_upstream_t *upstream, const char *request)
{
  si_reader_t reader;
  si_message_t message = { .status = 0 };
  int fd = si_connect (upstream->machine->ip, upstream->machine->control);
  if (fd < 0)
    return false;
  struct timeval limit = { BEAT_ACK_MS / 1000, BEAT_ACK_MS % 1000 * 1000 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  si_reader_open (&reader, fd);
  bool acked = si_send_all (fd, request, strlen (request))
               && si_read (&reader, true, &message) && message.status == 200;
  si_message_free (&message);
  si_reader_close (&reader);
  close (fd);
  return acked;
}

static void *
deliver_beat (void *argument)
{
  beat_t *beat = argument;
  si_sleep_ms (beat->delay_ms);
  if (send_control (beat->upstream, beat->request))
    {
      beat->upstream->acked_beat_ms = si_now_ms ();
      si_note ("heartbeat of %s acknowledged: %s, %lld ms on its way",
               beat->upstream->id, beat->what, (long long)beat->delay_ms);
    }
  free (beat);
  return NULL;
}

static void
send_beat (si_upstream_t *upstream)
{
  char body[512];
  beat_t *beat = calloc (1, sizeof *beat);
  beat->upstream = upstream;
  beat->delay_ms = upstream->beat_delay_ms;
  int sequence = ++upstream->sequence;
  const char *state = upstream->draining ? "draining" : "ready";
  double cold_s = cold_left_ms (upstream) / 1000.0;
  int size = snprintf (
      body, sizeof body,
      "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
      "\"coldRemainingS\":%.3f,\"sequence\":%d,\"born\":%lld}",
      upstream->service, upstream->machine->ip, upstream->machine->app,
      upstream->machine->zone, upstream->slots, state, cold_s, sequence,
      (long long)upstream->born);
  snprintf (beat->request, sizeof beat->request,
            "PUT /-/instances/%s HTTP/1.1\r\nHost: c\r\n"
            "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
            upstream->id, size, body);
  snprintf (beat->what, sizeof beat->what, "service %s, %s, sequence %d, cold %.3f s",
            upstream->service, state, sequence, cold_s);
  si_thread (deliver_beat, beat);
}

static void *
beat_loop (void *argument)
{
  si_upstream_t *upstream = argument;
  int64_t next_ms = si_now_ms ();
  while (upstream->beating)
    {
      send_beat (upstream);
      next_ms += BEAT_MS;
      while (upstream->beating && si_now_ms () < next_ms)
        si_sleep_ms (5);
    }
  return NULL;
}

si_upstream_t *
si_upstream_start (si_machine_t *machine, const char *service, const char *id)
{
  si_upstream_t *upstream = calloc (1, sizeof *upstream);
  upstream->machine = machine;
  snprintf (upstream->id, sizeof upstream->id, "%s", id);
  snprintf (upstream->service, sizeof upstream->service, "%s", service);
  upstream->slots = 64;
  upstream->work_ms = 20;
  upstream->born = si_wall_ms ();
  upstream->up = true;
  upstream->beating = true;
  pthread_mutex_init (&upstream->lock, NULL);
  upstream->listener = si_listen (machine->ip, &machine->app);
  si_note ("upstream %s of service %s starts at %s:%u", id, service,
           machine->ip, machine->app);
  si_thread (upstream_accept, upstream);
  si_thread (beat_loop, upstream);
  return upstream;
}

void
si_upstream_crash (si_upstream_t *upstream)
{
  struct linger reset = { 1, 0 };
  upstream->beating = false;
  upstream->up = false;
  shutdown (upstream->listener, SHUT_RDWR);
  close (upstream->listener);
  pthread_mutex_lock (&upstream->lock);
  for (int i = 0; i < upstream->fd_count; i++)
    {
      setsockopt (upstream->fds[i], SOL_SOCKET, SO_LINGER, &reset,
                  sizeof reset);
      shutdown (upstream->fds[i], SHUT_RDWR);
    }
  pthread_mutex_unlock (&upstream->lock);
  si_note ("upstream %s ends", upstream->id);
}

bool
si_upstream_delete (si_upstream_t *upstream)
{
  char request[256];
  upstream->beating = false;
  upstream->leaving = true;
  snprintf (request, sizeof request,
            "DELETE /-/instances/%s HTTP/1.1\r\nHost: c\r\n"
            "Content-Length: 0\r\n\r\n",
            upstream->id);
  bool acked = send_control (upstream, request);
  si_note ("DELETE of %s %s", upstream->id,
           acked ? "acknowledged" : "not acknowledged");
  return acked;
}

/* --- clients ------------------------------------------------------------- */

static int attempt_number;

void
si_call (const si_machine_t *machine, int *fd, const si_request_t *request,
         si_result_t *result)
{
  char head[1024];
  char key[128] = "";
  si_reader_t reader;
  si_message_t message;
  *result = (si_result_t){ .sent_ms = si_now_ms () };
  snprintf (result->attempt, sizeof result->attempt, "a%08d%08x",
            __sync_add_and_fetch (&attempt_number, 1), (unsigned)getpid ());
  if (*fd < 0)
    *fd = si_connect (machine->ip, machine->outbound);
  result->ended_ms = si_now_ms ();
  if (*fd < 0)
    return;
  struct timeval limit = { request->timeout_ms / 1000 + 2, 0 };
  setsockopt (*fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (request->key != NULL)
    snprintf (key, sizeof key, "X-Credential: %s\r\n", request->key);
  int size = snprintf (head, sizeof head,
                       "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
                       "X-Timeout-Ms: %d\r\n%s",
                       request->method, request->target, request->host,
                       result->attempt, request->timeout_ms, key);
  if (request->body_size > 0 || strcmp (request->method, "POST") == 0)
    size += snprintf (head + size, sizeof head - (size_t)size,
                      "Content-Length: %zu\r\n", request->body_size);
  size += snprintf (head + size, sizeof head - (size_t)size, "\r\n");
  si_reader_open (&reader, *fd);
  bool answered
      = si_send_all (*fd, head, (size_t)size)
        && (request->body_size == 0
            || si_send_all (*fd, request->body, request->body_size))
        && si_read (&reader, true, &message);
  result->ended_ms = si_now_ms ();
  if (answered && message.whole)
    {
      result->status = message.status;
      si_field (&message, "X-Server-Signature", result->instance,
                sizeof result->instance);
    }
  if (!answered || !message.whole || message.close)
    {
      close (*fd);
      *fd = -1;
    }
  if (answered)
    si_message_free (&message);
  si_reader_close (&reader);
}
