#include "peridothill/decide/requests/keys.h"

#include "peridothill/decide/requests/subset.h"

enum {
    MOST_KEYS = 1 << 16
};

/* A set of members that was in force until `ended`. */
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
    PhTime started;
    GPtrArray *members; /* PhStr keys; NULL before they are known */
    GQueue past;        /* PhView, oldest first */
    GHashTable *table;  /* key to PhKeyEntry */
    GQueue by_age;      /* PhStr keys, oldest first; some already released */
};

/* Releases an entry. */
static void
entry_destroy(gpointer value)
{
    PhKeyEntry *entry = value;
    PhStr_KeyDestroy(entry->key);
    PhStr_Clear(&entry->holder);
    g_free(entry);
}

/* Creates an empty table; the members are not known yet. */
PhKeys *
PhKeys_Create(PhStr self, PhTime window, PhTime now)
{
    PhKeys *keys = g_new0(PhKeys, 1);
    keys->self = PhStr_Dup(self);
    keys->window = window;
    keys->started = now;
    g_queue_init(&keys->past);
    keys->table = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual, NULL,
                                        entry_destroy);
    g_queue_init(&keys->by_age);
    return keys;
}

/* Releases a past view. */
static void
view_destroy(gpointer value)
{
    PhView *view = value;
    g_ptr_array_unref(view->members);
    g_free(view);
}

/* Releases the table; NULL is allowed. */
void
PhKeys_Destroy(PhKeys *keys)
{
    if (keys == NULL) {
        return;
    }
    PhStr_Clear(&keys->self);
    g_clear_pointer(&keys->members, g_ptr_array_unref);
    g_queue_clear_full(&keys->past, view_destroy);
    g_hash_table_destroy(keys->table);
    g_queue_clear_full(&keys->by_age, PhStr_KeyDestroy);
    g_free(keys);
}

/* Tells whether the members are the same in the same order. */
static bool
members_equal(const GPtrArray *have, const PhStr *members, size_t count)
{
    if (have == NULL || have->len != count) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        if (!PhStr_Equal(*(const PhStr *)g_ptr_array_index(have, i),
                         members[i])) {
            return false;
        }
    }
    return true;
}

/* Drops views that ended before the window. */
static void
views_expire(PhKeys *keys, PhTime now)
{
    PhView *view;
    while ((view = g_queue_peek_head(&keys->past)) != NULL &&
           view->ended + keys->window <= now) {
        view_destroy(g_queue_pop_head(&keys->past));
    }
}

/* Takes the live members and keeps the view that they replace. */
void
PhKeys_SetMembers(PhKeys *keys, const PhStr *members, size_t count, PhTime now)
{
    views_expire(keys, now);
    if (members_equal(keys->members, members, count)) {
        return;
    }
    if (keys->members != NULL) {
        PhView *view = g_new(PhView, 1);
        *view = (PhView){.members = keys->members, .ended = now};
        g_queue_push_tail(&keys->past, view);
    }
    keys->members = g_ptr_array_new_with_free_func(PhStr_KeyDestroy);
    for (size_t i = 0; i < count; i++) {
        g_ptr_array_add(keys->members, PhStr_KeyCreate(members[i]));
    }
}

/* Finds the members with the greatest weights for a key. */
static PhKeyHomes
homes_among(const GPtrArray *members, PhStr key)
{
    PhKeyHomes homes = {0};
    uint64_t weights[PH_KEY_HOMES] = {0};
    for (guint i = 0; members != NULL && i < members->len; i++) {
        PhStr member = *(const PhStr *)g_ptr_array_index(members, i);
        uint64_t weight = PhSubset_Weight(key, member);
        for (size_t at = 0; at < PH_KEY_HOMES; at++) {
            if (at < homes.count && weights[at] >= weight) {
                continue;
            }
            PhStr moved_member = homes.member[at];
            uint64_t moved_weight = weights[at];
            bool filled = at >= homes.count;
            homes.member[at] = member;
            weights[at] = weight;
            if (filled) {
                homes.count++;
                break;
            }
            member = moved_member;
            weight = moved_weight;
        }
    }
    return homes;
}

/* Finds the homes of a key among the live members. */
PhKeyHomes
PhKeys_Homes(const PhKeys *keys, PhStr key)
{
    return homes_among(keys->members, key);
}

/* Tells whether a member is among the homes. */
static bool
homes_have(const PhKeyHomes *homes, PhStr member)
{
    for (size_t i = 0; i < homes->count; i++) {
        if (PhStr_Equal(homes->member[i], member)) {
            return true;
        }
    }
    return false;
}

/* Tells whether this instance is a home, and whether for each view within the
 * window some home of then is still one. */
static bool
ownership_clear(PhKeys *keys, PhStr key, PhTime now)
{
    views_expire(keys, now);
    PhKeyHomes homes = PhKeys_Homes(keys, key);
    if (!homes_have(&homes, keys->self)) {
        return false;
    }
    for (GList *at = keys->past.head; at != NULL; at = at->next) {
        const PhView *view = at->data;
        PhKeyHomes then = homes_among(view->members, key);
        bool shared = false;
        for (size_t i = 0; i < then.count; i++) {
            shared = shared || homes_have(&homes, then.member[i]);
        }
        if (!shared) {
            return false;
        }
    }
    return true;
}

/* Drops keys whose window has passed. */
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

/* Reserves a key, or tells why not. */
PhKeyVerdict
PhKeys_Claim(PhKeys *keys, PhStr key, PhStr holder, PhTime now)
{
    keys_expire(keys, now);
    const PhKeyEntry *known = g_hash_table_lookup(keys->table, &key);
    if (known != NULL) {
        return PH_KEY_REPEATED;
    }
    if (g_queue_get_length(&keys->by_age) >= MOST_KEYS ||
        !ownership_clear(keys, key, now)) {
        return PH_KEY_UNCLEAR;
    }
    PhKeyEntry *entry = g_new(PhKeyEntry, 1);
    *entry = (PhKeyEntry){.key = PhStr_KeyCreate(key),
                          .holder = PhStr_Dup(holder),
                          .expires = now + keys->window};
    g_hash_table_insert(keys->table, entry->key, entry);
    g_queue_push_tail(&keys->by_age, PhStr_KeyCreate(key));
    bool young = now - keys->started < keys->window;
    return young ? PH_KEY_GRANTED_YOUNG : PH_KEY_GRANTED;
}

/* Frees a key for its holder. */
void
PhKeys_Release(PhKeys *keys, PhStr key, PhStr holder)
{
    const PhKeyEntry *entry = g_hash_table_lookup(keys->table, &key);
    if (entry != NULL && PhStr_Equal(entry->holder, holder)) {
        g_hash_table_remove(keys->table, &key);
    }
}

/* Counts the reserved keys. */
size_t
PhKeys_Count(const PhKeys *keys)
{
    return g_hash_table_size(keys->table);
}
