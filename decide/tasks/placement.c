#include "peridothill/decide/tasks/placement.h"

#include <xxhash.h>

#include "peridothill/common/invariant.h"

enum {
    ACCELERATOR_CLASSES = 17, /* the last one holds 16 and above */
    CPU_CLASSES = 32,
    CPU_CLASS_MIN_MILLI = 125,
    PROBES_PER_BUCKET = 16,
};

/* A worker and its position in the index. */
typedef struct PhSlot {
    PhJobSize size;
    PhJobSize committed;
    uint32_t rack;
    bool usable;
    GArray *bucket; /* NULL while not indexed */
    guint position;
} PhSlot;

struct PhPlacement {
    PhPlacementPolicy policy;
    GArray *slots;                                     /* PhSlot by worker */
    GArray *buckets[ACCELERATOR_CLASSES][CPU_CLASSES]; /* uint32_t workers */
    GHashTable *racks;                                 /* name to number + 1 */
    GHashTable *spread; /* hash of job and rack to a number of tasks */
    uint32_t probe;     /* rotates the first worker probed in a bucket */
};

PhPlacement *
PhPlacement_Create(PhPlacementPolicy policy)
{
    PhPlacement *p = g_new0(PhPlacement, 1);
    p->policy = policy;
    p->slots = g_array_new(FALSE, TRUE, sizeof(PhSlot));
    for (int a = 0; a < ACCELERATOR_CLASSES; a++) {
        for (int c = 0; c < CPU_CLASSES; c++) {
            p->buckets[a][c] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        }
    }
    p->racks = g_hash_table_new_full(PhStr_KeyHash, PhStr_KeyEqual,
                                     PhStr_KeyDestroy, NULL);
    p->spread =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return p;
}

void
PhPlacement_Destroy(PhPlacement *p)
{
    if (p == NULL) {
        return;
    }
    for (int a = 0; a < ACCELERATOR_CLASSES; a++) {
        for (int c = 0; c < CPU_CLASSES; c++) {
            g_array_free(p->buckets[a][c], TRUE);
        }
    }
    g_array_free(p->slots, TRUE);
    g_hash_table_destroy(p->racks);
    g_hash_table_destroy(p->spread);
    g_free(p);
}

static PhSlot *
slot_of(const PhPlacement *p, uint32_t worker)
{
    return &g_array_index(p->slots, PhSlot, worker);
}

/* Free capacity of a worker. */
static PhJobSize
slot_room(const PhSlot *slot)
{
    return PhJobSize_Subtract(slot->size, slot->committed);
}

/* CPU size class: two classes per doubling. */
static int
cpu_class(int64_t milli)
{
    int64_t bound = CPU_CLASS_MIN_MILLI;
    int class = 0;
    while (class < CPU_CLASSES - 2 && milli >= bound) {
        class += milli >= bound + (bound / 2) ? 2 : 1;
        bound *= 2;
        if (milli < bound) {
            return class;
        }
    }
    return class;
}

static int
accelerator_class(int64_t count)
{
    return (int)CLAMP(count, 0, ACCELERATOR_CLASSES - 1);
}

static void
slot_unlink(PhPlacement *p, PhSlot *slot)
{
    if (slot->bucket == NULL) {
        return;
    }
    g_array_remove_index_fast(slot->bucket, slot->position);
    if (slot->position < slot->bucket->len) {
        uint32_t moved = g_array_index(slot->bucket, uint32_t, slot->position);
        slot_of(p, moved)->position = slot->position;
    }
    slot->bucket = NULL;
}

/* Moves a worker to the bucket of its free capacity. */
static void
slot_link(PhPlacement *p, uint32_t worker)
{
    PhSlot *slot = slot_of(p, worker);
    PhJobSize room = slot_room(slot);
    GArray *bucket = p->buckets[accelerator_class(room.accelerators)]
                               [cpu_class(room.cpu_milli)];
    if (slot->bucket == bucket && slot->usable) {
        return;
    }
    slot_unlink(p, slot);
    if (slot->usable && room.cpu_milli > 0 && room.memory_mb > 0) {
        slot->bucket = bucket;
        slot->position = bucket->len;
        g_array_append_val(bucket, worker);
    }
}

static uint32_t
rack_number(PhPlacement *p, PhStr rack)
{
    guint known = GPOINTER_TO_UINT(g_hash_table_lookup(p->racks, &rack));
    if (known == 0) {
        known = g_hash_table_size(p->racks) + 1;
        g_hash_table_insert(p->racks, PhStr_KeyCreate(rack),
                            GUINT_TO_POINTER(known));
    }
    return known - 1;
}

void
PhPlacement_SetWorker(PhPlacement *p, uint32_t worker, PhJobSize size,
                      PhStr rack, bool usable)
{
    if (worker >= p->slots->len) {
        g_array_set_size(p->slots, worker + 1);
    }
    PhSlot *slot = slot_of(p, worker);
    slot->size = size;
    slot->rack = rack_number(p, rack);
    slot->usable = usable;
    slot_link(p, worker);
}

void
PhPlacement_Reset(PhPlacement *p)
{
    for (guint i = 0; i < p->slots->len; i++) {
        slot_of(p, i)->committed = (PhJobSize){0};
        slot_link(p, i);
    }
    g_hash_table_remove_all(p->spread);
}

static void
spread_add(PhPlacement *p, uint64_t job, uint32_t rack, int amount)
{
    uint64_t words[2] = {job, rack};
    gint64 key = (gint64)XXH3_64bits(words, sizeof(words));
    int count = GPOINTER_TO_INT(g_hash_table_lookup(p->spread, &key));
    if (count + amount <= 0) {
        g_hash_table_remove(p->spread, &key);
        return;
    }
    g_hash_table_insert(p->spread, g_memdup2(&key, sizeof(key)),
                        GINT_TO_POINTER(count + amount));
}

/* Number of tasks of a job in a rack. */
static int
spread_count(const PhPlacement *p, uint64_t job, uint32_t rack)
{
    uint64_t words[2] = {job, rack};
    gint64 key = (gint64)XXH3_64bits(words, sizeof(words));
    return GPOINTER_TO_INT(g_hash_table_lookup(p->spread, &key));
}

void
PhPlacement_Commit(PhPlacement *p, uint32_t worker, uint64_t job,
                   PhJobSize size, bool checked)
{
    if (worker >= p->slots->len) {
        PhPlacement_SetWorker(p, worker, (PhJobSize){0}, (PhStr){0}, false);
    }
    PhSlot *slot = slot_of(p, worker);
    if (checked) {
        Ph_INVARIANT(PH_INVARIANT_CAPACITY,
                     PhJobSize_Fits(size, slot_room(slot)),
                     "worker=%u cpu_milli=%" G_GINT64_FORMAT, worker,
                     slot_room(slot).cpu_milli);
    }
    slot->committed = PhJobSize_Add(slot->committed, size);
    spread_add(p, job, slot->rack, 1);
    slot_link(p, worker);
}

void
PhPlacement_Release(PhPlacement *p, uint32_t worker, uint64_t job,
                    PhJobSize size)
{
    PhSlot *slot = slot_of(p, worker);
    slot->committed = PhJobSize_Subtract(slot->committed, size);
    Ph_INVARIANT(PH_INVARIANT_CAPACITY,
                 slot->committed.cpu_milli >= 0 &&
                     slot->committed.memory_mb >= 0 &&
                     slot->committed.accelerators >= 0,
                 "worker=%u", worker);
    spread_add(p, job, slot->rack, -1);
    slot_link(p, worker);
}

/* Chooses, among the probed workers of a bucket that fit, the one whose rack
 * has the fewest tasks of the job. */
static uint32_t
bucket_choose(PhPlacement *p, const GArray *bucket, uint64_t job,
              PhJobSize size)
{
    uint32_t best = PH_PLACEMENT_NONE;
    int least = G_MAXINT;
    guint n = MIN(bucket->len, PROBES_PER_BUCKET);
    guint start = bucket->len > n ? p->probe++ % bucket->len : 0;
    for (guint i = 0; i < n && least > 0; i++) {
        uint32_t worker =
            g_array_index(bucket, uint32_t, (start + i) % bucket->len);
        const PhSlot *slot = slot_of(p, worker);
        if (!PhJobSize_Fits(size, slot_room(slot))) {
            continue;
        }
        int count = spread_count(p, job, slot->rack);
        if (count < least) {
            least = count;
            best = worker;
        }
    }
    return best;
}

/* Best fit: the bucket with the fewest free accelerators, then the least free
 * CPU, that holds a fitting worker. */
static uint32_t
choose_indexed(PhPlacement *p, uint64_t job, PhJobSize size)
{
    for (int a = accelerator_class(size.accelerators); a < ACCELERATOR_CLASSES;
         a++) {
        for (int c = cpu_class(size.cpu_milli); c < CPU_CLASSES; c++) {
            uint32_t worker = bucket_choose(p, p->buckets[a][c], job, size);
            if (worker != PH_PLACEMENT_NONE) {
                return worker;
            }
        }
    }
    return PH_PLACEMENT_NONE;
}

/* Linear scan, for the baseline policies. */
static uint32_t
choose_scanning(const PhPlacement *p, PhJobSize size, bool first)
{
    uint32_t best = PH_PLACEMENT_NONE;
    int64_t most = -1;
    for (guint i = 0; i < p->slots->len; i++) {
        const PhSlot *slot = slot_of(p, i);
        PhJobSize room = slot_room(slot);
        if (slot->usable && room.cpu_milli > most &&
            PhJobSize_Fits(size, room)) {
            best = i;
            most = room.cpu_milli;
            if (first) {
                break;
            }
        }
    }
    return best;
}

uint32_t
PhPlacement_Choose(PhPlacement *p, uint64_t job, PhJobSize size)
{
    switch (p->policy) {
    case PH_PLACEMENT_INDEXED:
        return choose_indexed(p, job, size);
    case PH_PLACEMENT_FIRST_FIT:
        return choose_scanning(p, size, true);
    case PH_PLACEMENT_LEAST_LOADED:
        return choose_scanning(p, size, false);
    }
    return PH_PLACEMENT_NONE;
}

bool
PhPlacement_FitsEmptyWorker(const PhPlacement *p, PhJobSize size)
{
    for (guint i = 0; i < p->slots->len; i++) {
        if (PhJobSize_Fits(size, slot_of(p, i)->size)) {
            return true;
        }
    }
    return false;
}

PhJobSize
PhPlacement_Committed(const PhPlacement *p, uint32_t worker)
{
    return worker < p->slots->len ? slot_of(p, worker)->committed
                                  : (PhJobSize){0};
}

PhJobSize
PhPlacement_Total(const PhPlacement *p)
{
    PhJobSize total = {0};
    for (guint i = 0; i < p->slots->len; i++) {
        if (slot_of(p, i)->usable) {
            total = PhJobSize_Add(total, slot_of(p, i)->size);
        }
    }
    return total;
}
