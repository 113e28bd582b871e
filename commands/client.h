/* Blocking HTTP client for the commands that send requests to an instance. */
#ifndef PERIDOTHILL_COMMANDS_CLIENT_H
#define PERIDOTHILL_COMMANDS_CLIENT_H

#include <ev.h>
#include <glib.h>

#include "peridothill/common/status.h"
#include "peridothill/common/str.h"

/* Address of an instance's operators' interface and the token for it; filled
 * in from the command line and the settings file. */
typedef struct PhClient {
    char *settings; /* settings file with defaults for both */
    char *address;  /* IP address and port */
    char *token_file;
    PhStr token;
    int64_t timeout_ms;   /* of a call; 0: 15 s */
    struct ev_loop *loop; /* for PhClient_Wait; created by PhClient_Open */
} PhClient;

/* Owns the body. */
typedef struct PhClientAnswer {
    long status; /* HTTP status; 0: no answer */
    bool sent;   /* part of the request may have been sent */
    PhStr body;
    PhResult result; /* OK, or why there is no answer */
} PhClientAnswer;

/* Adds the client's options to a command line. */
void PhClient_AddOptions(PhClient *client, GOptionContext *context);
/* Reads settings and token; call after the options have been parsed. */
PhResult PhClient_Open(PhClient *client);
void PhClient_Clear(PhClient *client);
/* Sends a request and blocks until it is answered or times out. */
PhClientAnswer PhClient_Call(const PhClient *client, const char *method,
                             const char *target, PhStr body);
/* Blocks for a number of milliseconds. */
void PhClient_Wait(const PhClient *client, int64_t ms);
/* Error of a failed call: the body of the answer, or why there is none. */
PhStr PhClientAnswer_Reason(const PhClientAnswer *answer);
void PhClientAnswer_Clear(PhClientAnswer *answer);

#endif
