/* An HTTP client, one call at a time, for the commands that ask a running
 * instance. */
#ifndef PERIDOTHILL_COMMANDS_CLIENT_H
#define PERIDOTHILL_COMMANDS_CLIENT_H

#include <ev.h>
#include <glib.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"

/* Where an instance's operators' interface is, and the token for it; filled
 * in by the options of the command line. */
typedef struct PhClient {
    char *settings; /* a settings file to read both from */
    char *address;  /* IP number and port */
    char *token_file;
    PhStr token;
    struct ev_loop *loop; /* for waits; from PhClient_Open on */
} PhClient;

/* An answer; the body is owned. */
typedef struct PhClientAnswer {
    long status; /* of HTTP; 0: no answer came */
    bool sent;   /* a byte of the request may have left */
    PhStr body;
    PhResult result; /* OK, or why no answer came */
} PhClientAnswer;

/* Adds the options of a client to a command line. */
void PhClient_AddOptions(PhClient *client, GOptionContext *context);
/* Reads settings and token; call once the options are parsed. */
PhResult PhClient_Open(PhClient *client);
void PhClient_Clear(PhClient *client);
/* Sends a request and waits for the answer. */
PhClientAnswer PhClient_Call(const PhClient *client, const char *method,
                             const char *target, PhStr body);
/* Waits in the loop before another call. */
void PhClient_Wait(const PhClient *client, int64_t ms);
/* Why a call has failed: what the instance says, or why no answer came. */
PhStr PhClientAnswer_Reason(const PhClientAnswer *answer);
void PhClientAnswer_Clear(PhClientAnswer *answer);

#endif
