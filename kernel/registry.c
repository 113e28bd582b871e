#include "peridothill/kernel/registry.h"

struct PhRegistry {
    GHashTable *refs; /* PhTaskRef by PhStr name */
};

PhRegistry *
PhRegistry_Create(void)
{
    PhRegistry *registry = g_new(PhRegistry, 1);
    registry->refs = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                           PhStr_KeyDestroy, g_free);
    return registry;
}

void
PhRegistry_Destroy(PhRegistry *registry)
{
    g_hash_table_destroy(registry->refs);
    g_free(registry);
}

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

void
PhRegistry_Remove(PhRegistry *registry, PhStr name)
{
    g_hash_table_remove(registry->refs, &name);
}

PhTaskRef
PhRegistry_Find(const PhRegistry *registry, PhStr name)
{
    const PhTaskRef *ref = g_hash_table_lookup(registry->refs, &name);
    return ref == NULL ? (PhTaskRef){0} : *ref;
}
