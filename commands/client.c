#include "commands/client.h"

#include <curl/curl.h>

#include "peridothill/codec/settings.h"

enum {
    CALL_TIMEOUT_MS = 15000,
    CONNECT_TIMEOUT_MS = 3000,
    MS_PER_S = 1000,
    /* Keeps an answer without an end from filling the memory. */
    ANSWER_BYTES_MAX = 16 << 20,
};

#define DEFAULT_ADDRESS "127.0.0.1:8081"

void
PhClient_AddOptions(PhClient *client, GOptionContext *context)
{
    GOptionEntry entries[] = {
        {"settings", 0, 0, G_OPTION_ARG_FILENAME, &client->settings,
         "Read the address and the token file from a settings file", "FILE"},
        {"address", 'a', 0, G_OPTION_ARG_STRING, &client->address,
         "Address of the operators' interface (default " DEFAULT_ADDRESS ")",
         "IP:PORT"},
        {"token-file", 0, 0, G_OPTION_ARG_FILENAME, &client->token_file,
         "File that holds the bearer token", "FILE"},
        {NULL},
    };
    g_option_context_add_main_entries(context, entries, NULL);
}

/* Fills in values that are not set on the command line. */
static PhResult
settings_read(PhClient *client)
{
    PhSettings settings;
    PhBuf errors = {0};
    PhResult result =
        PhSettings_Load(PhStr_FromC(client->settings), &settings, &errors);
    PhBuf_Clear(&errors);
    if (!PhResult_IsOk(&result)) {
        return result;
    }
    if (client->address == NULL) {
        client->address = PhStr_ToC(settings.operators.listen);
    }
    if (client->token_file == NULL && settings.operators.token_file.len > 0) {
        client->token_file = PhStr_ToC(settings.operators.token_file);
    }
    PhSettings_Clear(&settings);
    return result;
}

PhResult
PhClient_Open(PhClient *client)
{
    char *data;
    gsize len;
    client->loop = ev_loop_new(EVFLAG_AUTO);
    if (client->settings != NULL) {
        PhResult result = settings_read(client);
        if (!PhResult_IsOk(&result)) {
            return result;
        }
    }
    if (client->address == NULL) {
        client->address = g_strdup(DEFAULT_ADDRESS);
    }
    if (client->token_file == NULL) {
        return PhResult_Ok();
    }
    if (!g_file_get_contents(client->token_file, &data, &len, NULL)) {
        return PhResult_Make(PH_STATUS_IO, "cannot read the token file %s",
                             client->token_file);
    }
    client->token = PhStr_Dup(PhStr_Trim(PhStr_FromBytes(data, len)));
    g_free(data);
    return PhResult_Ok();
}

void
PhClient_Clear(PhClient *client)
{
    g_free(client->settings);
    g_free(client->address);
    g_free(client->token_file);
    PhStr_Clear(&client->token);
    if (client->loop != NULL) {
        ev_loop_destroy(client->loop);
    }
}

/* Write callback of libcurl; `out` is a PhBuf.  Returning 0 ends the call with
 * CURLE_WRITE_ERROR. */
static size_t
on_body(char *data, size_t size, size_t count, void *out)
{
    PhBuf *buf = out;
    if (size * count > ANSWER_BYTES_MAX - buf->len) {
        return 0;
    }
    PhBuf_Append(buf, PhStr_FromBytes(data, size * count));
    return size * count;
}

/* Without a token the request has no credentials, so that calls to the
 * platform's store carry none. */
static struct curl_slist *
headers_make(const PhClient *client)
{
    struct curl_slist *headers = NULL;
    if (client->token.len > 0) {
        char *line = g_strdup_printf("Authorization: Bearer %.*s",
                                     PhStr_ARG(client->token));
        headers = curl_slist_append(headers, line);
        g_free(line);
    }
    return curl_slist_append(headers, "Content-Type: application/json");
}

static void
options_set(CURL *curl, const PhClient *client, const char *method,
            const char *url, PhBuf *out)
{
    long timeout_ms =
        client->timeout_ms > 0 ? (long)client->timeout_ms : CALL_TIMEOUT_MS;
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, out);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    /* libcurl silently repeats a request if a reused connection breaks. */
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
}

PhClientAnswer
PhClient_Call(const PhClient *client, const char *method, const char *target,
              PhStr body)
{
    PhClientAnswer answer = {.result = PhResult_Ok()};
    PhBuf out = {0};
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", client->address, target);
    struct curl_slist *headers = headers_make(client);
    options_set(curl, client, method, url, &out);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    if (body.len > 0) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)body.len);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data);
    }
    CURLcode code = curl_easy_perform(curl);
    answer.sent = code != CURLE_COULDNT_CONNECT &&
                  code != CURLE_COULDNT_RESOLVE_HOST &&
                  code != CURLE_URL_MALFORMAT;
    if (code == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
    }
    else {
        answer.result = PhResult_Make(
            PH_STATUS_UNAVAILABLE, "%s: %s", client->address,
            code == CURLE_WRITE_ERROR ? "the answer exceeds 16 MB"
                                      : curl_easy_strerror(code));
    }
    answer.body = PhBuf_Take(&out);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
    return answer;
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)timer;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

void
PhClient_Wait(const PhClient *client, int64_t ms)
{
    ev_timer timer;
    ev_now_update(client->loop);
    ev_timer_init(&timer, on_timeout, (double)ms / MS_PER_S, 0);
    ev_timer_start(client->loop, &timer);
    ev_run(client->loop, 0);
}

PhStr
PhClientAnswer_Reason(const PhClientAnswer *answer)
{
    return answer->status == 0 ? PhResult_Message(&answer->result)
                               : answer->body;
}

void
PhClientAnswer_Clear(PhClientAnswer *answer)
{
    PhStr_Clear(&answer->body);
}
