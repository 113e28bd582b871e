/* All log events, by area. */
#include "peridothill/common/event_list_config.h"
#include "peridothill/common/event_list_kernel.h"
#include "peridothill/common/event_list_members.h"
#include "peridothill/common/event_list_platform.h"
#include "peridothill/common/event_list_requests.h"
#include "peridothill/common/event_list_schedule.h"
#include "peridothill/common/event_list_tasks.h"
