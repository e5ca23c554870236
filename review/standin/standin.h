#ifndef STANDIN_H
#define STANDIN_H

/* Stand-ins for the review cases: the platform's store, backend servers,
   clients, and the platform's part of starting and ending daemons.  Threads
   and blocking sockets; loopback addresses only; ports come from the
   kernel.  */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* --- time and record ----------------------------------------------------- */

int64_t si_now_ms (void); /* since si_start */
int64_t si_wall_ms (void);
void si_sleep_ms (int64_t ms);
void si_sleep_until (int64_t at_ms);
/* Opens the record; NAME is the case.  Chooses the loopback network and the
   temporary folder of this run.  */
void si_start (const char *record_path);
/* A line of the record, with the time.  */
void si_note (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Ends all daemons, removes the temporary folder, exits with STATUS.  */
void si_finish (int status) __attribute__ ((noreturn));
/* The case could not run.  */
void si_cannot (const char *why) __attribute__ ((noreturn));
bool si_trouble (void); /* false if TROUBLE=0 */

/* --- sockets and HTTP ---------------------------------------------------- */

int si_listen (const char *ip, uint16_t *port); /* *PORT 0: the kernel's */
int si_connect (const char *ip, uint16_t port);
bool si_send_all (int fd, const void *data, size_t size);

typedef struct si_message_t
{
  char head[16384]; /* first line and fields, ends with a NUL */
  char *body;
  size_t body_size;
  int status; /* of a response */
  bool whole; /* the body is complete */
  bool close; /* the connection ends behind it */
} si_message_t;

typedef struct si_reader_t
{
  int fd;
  char *data;
  size_t size;
  size_t capacity;
} si_reader_t;

void si_reader_open (si_reader_t *reader, int fd);
void si_reader_close (si_reader_t *reader); /* not the socket */
/* Reads a message; false if the connection ends before a whole head.  */
bool si_read (si_reader_t *reader, bool response, si_message_t *message);
void si_message_free (si_message_t *message);
/* Copies the value of field NAME; false if there is none.  */
bool si_field (const si_message_t *message, const char *name, char *to,
               size_t size);

/* --- the store ----------------------------------------------------------- */

extern char si_store_addr[64]; /* IP:PORT */
void si_store_start (void);
void si_store_put (const char *topic, const char *key, const char *value);

/* --- machines, daemons, backend servers ---------------------------------- */

typedef struct si_upstream_t si_upstream_t;

typedef struct si_machine_t
{
  char name[32];
  char service[32];
  char zone[32];
  char ip[32];
  uint16_t outbound, inbound, ready, control, peer, metrics, app;
  int memory_mb;
  pid_t pid; /* of the daemon; 0 if it does not run */
  int starts;
} si_machine_t;

void si_machine_init (si_machine_t *machine, int number, const char *service,
                      const char *zone);
void si_daemon_start (si_machine_t *machine);
void si_daemon_signal (si_machine_t *machine, int signal_number);
/* Waits for its end after a signal; kills it after WAIT_MS.  */
void si_daemon_wait (si_machine_t *machine, int64_t wait_ms);
bool si_daemon_is_ready (const si_machine_t *machine);
bool si_daemon_wait_ready (const si_machine_t *machine, int64_t wait_ms);
long si_daemon_rss_kb (const si_machine_t *machine);

/* One run of a request.  */
typedef struct si_run_t
{
  int64_t at_ms;
  char attempt[64];
  char target[128];
  const si_upstream_t *upstream;
} si_run_t;

enum
{
  SI_RUNS_MAX = 200000
};
extern si_run_t si_runs[SI_RUNS_MAX];
extern int si_run_count;
int si_count_runs (const char *attempt);
/* Called as a run begins, if set; it may let the server crash.  */
extern void (*si_on_run) (struct si_upstream_t *upstream, const char *target);

struct si_upstream_t
{
  si_machine_t *machine; /* on whose address it listens */
  char id[32];
  char service[32];
  int slots;
  int work_ms; /* of a run; a target with w=N in its query says another, and
                  with n=N the size of the answer */
  int64_t born;
  int sequence;
  /* A heartbeat is on its way for this long.  */
  volatile int64_t beat_delay_ms;
  volatile bool draining; /* says so in its heartbeats */
  volatile bool leaving;  /* its health check says 503 */
  volatile bool beating;
  volatile bool up;
  volatile int64_t cold_until_ms;
  volatile int running;
  volatile int run_total;
  volatile int64_t acked_beat_ms; /* when the last one was acknowledged */
  int listener;
  pthread_mutex_t lock;
  int fds[4096];
  int fd_count;
};

si_upstream_t *si_upstream_start (si_machine_t *machine, const char *service,
                                  const char *id);
/* Crashes: its connections and its port close, it sends no heartbeat.  */
void si_upstream_crash (si_upstream_t *upstream);
/* Sends DELETE; returns whether it was acknowledged.  */
bool si_upstream_delete (si_upstream_t *upstream);

/* --- clients ------------------------------------------------------------- */

typedef struct si_result_t
{
  int status; /* 0: no whole answer */
  int64_t sent_ms;
  int64_t ended_ms;
  char attempt[64];
  char instance[64]; /* value of X-Server-Signature */
} si_result_t;

typedef struct si_request_t
{
  const char *method;
  const char *host;
  const char *target;
  const char *key; /* NULL: none */
  const char *body;
  size_t body_size;
  int timeout_ms;
} si_request_t;

/* Sends REQUEST to the outbound address of MACHINE on the connection *FD,
   which is opened if it is below 0, and closed if the answer ends it.  */
void si_call (const si_machine_t *machine, int *fd,
              const si_request_t *request, si_result_t *result);

void si_thread (void *(*run) (void *), void *argument);

#endif
