/* All counters, by area. */
#include "peridothill/common/counter_list_config.h"
#include "peridothill/common/counter_list_kernel.h"
#include "peridothill/common/counter_list_members.h"
#include "peridothill/common/counter_list_platform.h"
#include "peridothill/common/counter_list_requests.h"
#include "peridothill/common/counter_list_schedule.h"
#include "peridothill/common/counter_list_tasks.h"
