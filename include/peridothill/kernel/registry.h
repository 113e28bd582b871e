/* Names of live tasks, for look-up by name. */
#ifndef PERIDOTHILL_KERNEL_REGISTRY_H
#define PERIDOTHILL_KERNEL_REGISTRY_H

#include "peridothill/kernel/kernel.h"

typedef struct PhRegistry PhRegistry;

PhRegistry *PhRegistry_Create(void);
void PhRegistry_Destroy(PhRegistry *registry);
/* False when the name is taken. */
bool PhRegistry_Add(PhRegistry *registry, PhStr name, PhTaskRef ref);
void PhRegistry_Remove(PhRegistry *registry, PhStr name);
PhTaskRef PhRegistry_Find(const PhRegistry *registry, PhStr name);

#endif
