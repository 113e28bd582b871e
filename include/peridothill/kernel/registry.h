/* Maps the names of live tasks to their handles. */
#ifndef PERIDOTHILL_KERNEL_REGISTRY_H
#define PERIDOTHILL_KERNEL_REGISTRY_H

#include "peridothill/kernel/kernel.h"

typedef struct PhRegistry PhRegistry;

PhRegistry *PhRegistry_Create(void);
void PhRegistry_Destroy(PhRegistry *registry);
/* Returns false if the name is taken. */
bool PhRegistry_Add(PhRegistry *registry, PhStr name, PhTaskRef ref);
void PhRegistry_Remove(PhRegistry *registry, PhStr name);
/* Returns the zero handle if the name is unknown. */
PhTaskRef PhRegistry_Find(const PhRegistry *registry, PhStr name);

#endif
