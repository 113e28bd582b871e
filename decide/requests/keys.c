#include "peridothill/decide/requests/keys.h"

#include "peridothill/decide/requests/subset.h"

enum {
    MAX_KEYS = 1 << 16
};

/* A former membership, valid until `ended`. */
typedef struct PhView {
    GPtrArray *members; /* PhStr keys */
    PhTime ended;
} PhView;

/* A reserved key. */
typedef struct PhKeyEntry {
    PhStr *key;
    PhStr holder;
    PhTime expires;
} PhKeyEntry;

struct PhKeys {
    PhStr self;
    PhTime window;
    uint64_t incarnation; /* of this instance */
    PhTime history_start; /* keys claimed before this may be unknown here */
    GPtrArray *members;   /* PhStr keys; NULL before they are set */
    bool majority;        /* more than half of the members are reachable */
    GQueue past_views;    /* PhView, oldest first */
    GHashTable *table;    /* key to PhKeyEntry */
    GQueue by_age; /* PhStr keys, oldest first; may contain released keys */
};

static void
entry_destroy(gpointer value)
{
    PhKeyEntry *entry = value;
    PhStr_KeyDestroy(entry->key);
    PhStr_Clear(&entry->holder);
    g_free(entry);
}

/* Starts without members; every claim is unclear until they are set. */
PhKeys *
PhKeys_Create(PhStr self, PhTime window, PhTime now)
{
    PhKeys *keys = g_new0(PhKeys, 1);
    keys->self = PhStr_Dup(self);
    keys->window = window;
    keys->history_start = now;
    g_queue_init(&keys->past_views);
    keys->table = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                        entry_destroy);
    g_queue_init(&keys->by_age);
    return keys;
}

static void
view_destroy(gpointer value)
{
    PhView *view = value;
    g_ptr_array_unref(view->members);
    g_free(view);
}

void
PhKeys_Destroy(PhKeys *keys)
{
    if (keys == NULL) {
        return;
    }
    PhStr_Clear(&keys->self);
    if (keys->members != NULL) {
        g_ptr_array_unref(keys->members);
    }
    g_queue_clear_full(&keys->past_views, view_destroy);
    g_hash_table_destroy(keys->table);
    g_queue_clear_full(&keys->by_age, PhStr_KeyDestroy);
    g_free(keys);
}

/* The order matters too. */
static bool
members_equal(const GPtrArray *a, const GPtrArray *b)
{
    if (a->len != b->len) {
        return false;
    }
    for (guint i = 0; i < a->len; i++) {
        if (!PhStr_KeyEqual(g_ptr_array_index(a, i),
                            g_ptr_array_index(b, i))) {
            return false;
        }
    }
    return true;
}

/* Drops views that ended before the start of the window. */
static void
views_expire(PhKeys *keys, PhTime now)
{
    PhView *view;
    while ((view = g_queue_peek_head(&keys->past_views)) != NULL &&
           view->ended + keys->window <= now) {
        view_destroy(g_queue_pop_head(&keys->past_views));
    }
}

static void
view_replace(PhKeys *keys, GPtrArray *members, PhTime now)
{
    if (keys->members != NULL) {
        PhView *view = g_new(PhView, 1);
        *view = (PhView){.members = keys->members, .ended = now};
        g_queue_push_tail(&keys->past_views, view);
    }
    keys->members = members;
}

/* Returns true if the other members declared this instance dead since the last
 * view. Its keys may have been assigned to other replicas meanwhile, without
 * this instance seeing any change of membership. */
static bool
was_declared_dead(PhKeys *keys, const PhKeyMember *members, size_t count)
{
    uint64_t before = keys->incarnation;
    for (size_t i = 0; i < count; i++) {
        if (PhStr_Equal(members[i].id, keys->self)) {
            keys->incarnation = members[i].incarnation;
        }
    }
    return keys->incarnation != before;
}

/* The two sides of a partition cannot both reach more than half of the same
 * members, so at most one side drops the other. */
void
PhKeys_SetMembers(PhKeys *keys, const PhKeyMember *members, size_t count,
                  PhTime now)
{
    size_t reachable_count = 0;
    for (size_t i = 0; i < count; i++) {
        reachable_count += members[i].reachable;
    }
    bool majority = 2 * reachable_count > count;
    bool dead = was_declared_dead(keys, members, count);
    if (!majority || !keys->majority || dead) {
        keys->history_start = now;
    }
    keys->majority = majority;
    views_expire(keys, now);
    GPtrArray *replicas = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    for (size_t i = 0; i < count; i++) {
        if (members[i].reachable || !keys->majority) {
            g_ptr_array_add(replicas, PhStr_KeyCreate(members[i].id));
        }
    }
    if (keys->members != NULL && members_equal(keys->members, replicas)) {
        g_ptr_array_unref(replicas);
        return;
    }
    view_replace(keys, replicas, now);
}

const GPtrArray *
PhKeys_Members(const PhKeys *keys)
{
    return keys->members;
}

/* The replicas of a key are the members with the highest weights. */
static PhKeyReplicas
replicas_among(const GPtrArray *members, PhStr key)
{
    PhKeyReplicas replicas = {0};
    uint64_t weights[PH_KEY_REPLICAS] = {0};
    for (guint i = 0; members != NULL && i < members->len; i++) {
        PhStr member = *(const PhStr *)g_ptr_array_index(members, i);
        uint64_t weight = PhSubset_Weight(key, member);
        for (size_t at = 0; at < PH_KEY_REPLICAS; at++) {
            if (at < replicas.count && weights[at] >= weight) {
                continue;
            }
            PhStr moved_member = replicas.member[at];
            uint64_t moved_weight = weights[at];
            bool filled = at >= replicas.count;
            replicas.member[at] = member;
            weights[at] = weight;
            if (filled) {
                replicas.count++;
                break;
            }
            member = moved_member;
            weight = moved_weight;
        }
    }
    return replicas;
}

PhKeyReplicas
PhKeys_Replicas(const PhKeys *keys, PhStr key)
{
    return replicas_among(keys->members, key);
}

static bool
replicas_contain(const PhKeyReplicas *replicas, PhStr member)
{
    for (size_t i = 0; i < replicas->count; i++) {
        if (PhStr_Equal(replicas->member[i], member)) {
            return true;
        }
    }
    return false;
}

/* Whether this instance is a replica of the key in the given view. */
static bool
is_replica(const PhKeys *keys, const GPtrArray *members, PhStr key)
{
    PhKeyReplicas replicas = replicas_among(members, key);
    return replicas_contain(&replicas, keys->self);
}

/* Returns true if every claim of the key within the window must have reached
 * this instance. */
static bool
history_is_complete(PhKeys *keys, PhStr key, PhTime now)
{
    if (now - keys->history_start < keys->window) {
        return false;
    }
    views_expire(keys, now);
    for (GList *at = keys->past_views.head; at != NULL; at = at->next) {
        const PhView *view = at->data;
        if (!is_replica(keys, view->members, key)) {
            return false;
        }
    }
    return true;
}

static void
keys_expire(PhKeys *keys, PhTime now)
{
    PhStr *oldest;
    while ((oldest = g_queue_peek_head(&keys->by_age)) != NULL) {
        const PhKeyEntry *entry = g_hash_table_lookup(keys->table, oldest);
        if (entry != NULL && entry->expires > now) {
            return;
        }
        g_hash_table_remove(keys->table, oldest);
        PhStr_KeyDestroy(g_queue_pop_head(&keys->by_age));
    }
}

/* An entry is added even if the history is incomplete, because the other
 * replica may still grant the key. */
PhKeyVerdict
PhKeys_Claim(PhKeys *keys, PhStr key, PhStr holder, PhTime now)
{
    keys_expire(keys, now);
    const PhKeyEntry *known = g_hash_table_lookup(keys->table, &key);
    if (known != NULL) {
        return PH_KEY_REPEATED;
    }
    if (g_queue_get_length(&keys->by_age) >= MAX_KEYS || !keys->majority ||
        !is_replica(keys, keys->members, key)) {
        return PH_KEY_UNCLEAR;
    }
    PhKeyEntry *entry = g_new(PhKeyEntry, 1);
    *entry = (PhKeyEntry){.key = PhStr_KeyCreate(key),
                          .holder = PhStr_Dup(holder),
                          .expires = now + keys->window};
    g_hash_table_insert(keys->table, entry->key, entry);
    g_queue_push_tail(&keys->by_age, PhStr_KeyCreate(key));
    return history_is_complete(keys, key, now) ? PH_KEY_GRANTED
                                               : PH_KEY_UNCONFIRMED;
}

void
PhKeys_Release(PhKeys *keys, PhStr key, PhStr holder)
{
    const PhKeyEntry *entry = g_hash_table_lookup(keys->table, &key);
    if (entry != NULL && PhStr_Equal(entry->holder, holder)) {
        g_hash_table_remove(keys->table, &key);
    }
}

size_t
PhKeys_Count(const PhKeys *keys)
{
    return g_hash_table_size(keys->table);
}
