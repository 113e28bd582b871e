#include "peridothill/kernel/registry.h"

struct PhRegistry {
    GHashTable *refs; /* PhStr key to PhTaskRef */
};

/* Creates an empty registry. */
PhRegistry *
PhRegistry_Create(void)
{
    PhRegistry *registry = g_new(PhRegistry, 1);
    registry->refs = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                           PhStr_KeyDestroy, g_free);
    return registry;
}

/* Releases the registry. */
void
PhRegistry_Destroy(PhRegistry *registry)
{
    g_hash_table_destroy(registry->refs);
    g_free(registry);
}

/* Enters a name; false when it is taken. */
bool
PhRegistry_Add(PhRegistry *registry, PhStr name, PhTaskRef ref)
{
    if (g_hash_table_contains(registry->refs, &name)) {
        return false;
    }
    PhTaskRef *value = g_new(PhTaskRef, 1);
    *value = ref;
    g_hash_table_insert(registry->refs, PhStr_KeyCreate(name), value);
    return true;
}

/* Removes a name; an unknown one is allowed. */
void
PhRegistry_Remove(PhRegistry *registry, PhStr name)
{
    g_hash_table_remove(registry->refs, &name);
}

/* Finds the task with this name, or gives the zero ref. */
PhTaskRef
PhRegistry_Find(const PhRegistry *registry, PhStr name)
{
    const PhTaskRef *ref = g_hash_table_lookup(registry->refs, &name);
    return ref == NULL ? (PhTaskRef){0} : *ref;
}
