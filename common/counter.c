#include "peridothill/common/counter.h"

#include <inttypes.h>
#include <string.h>

typedef struct PhMetricText {
    const char *metric;
    const char *labels;
    const char *help;
} PhMetricText;

static const PhMetricText counter_texts[] = {
#define PH_COUNTER(NAME, METRIC, LABELS, HELP) {METRIC, LABELS, HELP},
#include "peridothill/common/counter_list.h"
#undef PH_COUNTER
};

static const PhMetricText histogram_texts[] = {
#define PH_HISTOGRAM(NAME, METRIC, LABELS, HELP) {METRIC, LABELS, HELP},
#include "peridothill/common/histogram_list.h"
#undef PH_HISTOGRAM
};

typedef struct PhHistogramData {
    uint64_t buckets[PH_HISTOGRAM_BUCKETS];
    uint64_t count;
    PhTime sum;
} PhHistogramData;

struct PhCounters {
    uint64_t values[PH_COUNTER_COUNT];
    PhHistogramData histograms[PH_HISTOGRAM_COUNT];
};

PhCounters *
PhCounters_Create(void)
{
    return g_new0(PhCounters, 1);
}

void
PhCounters_Destroy(PhCounters *counters)
{
    g_free(counters);
}

void
PhCounters_Add(PhCounters *counters, PhCounter counter, uint64_t amount)
{
    counters->values[counter] += amount;
}

uint64_t
PhCounters_Get(const PhCounters *counters, PhCounter counter)
{
    return counters->values[counter];
}

static PhTime
bucket_bound(int bucket)
{
    return PH_NS_PER_US << bucket;
}

void
PhCounters_Observe(PhCounters *counters, PhHistogram histogram,
                   PhTime duration)
{
    PhHistogramData *data = &counters->histograms[histogram];
    int bucket = 0;
    while (bucket < PH_HISTOGRAM_BUCKETS - 1 &&
           duration > bucket_bound(bucket)) {
        bucket++;
    }
    data->buckets[bucket]++;
    data->count++;
    data->sum += duration;
}

PhTime
PhCounters_Quantile(const PhCounters *counters, PhHistogram histogram,
                    double quantile)
{
    const PhHistogramData *data = &counters->histograms[histogram];
    uint64_t seen = 0;
    if (data->count == 0) {
        return 0;
    }
    for (int i = 0; i < PH_HISTOGRAM_BUCKETS; i++) {
        seen += data->buckets[i];
        if ((double)seen >= quantile * (double)data->count) {
            return bucket_bound(i);
        }
    }
    return bucket_bound(PH_HISTOGRAM_BUCKETS - 1);
}

static void
render_header(PhBuf *out, const PhMetricText *text, const char *type)
{
    PhBuf_AppendFormat(out, "# HELP %s %s\n# TYPE %s %s\n", text->metric,
                       text->help, text->metric, type);
}

/* HELP and TYPE go before the first row of a metric only. */
static void
render_counter(const PhCounters *counters, int i, PhBuf *out)
{
    const PhMetricText *text = &counter_texts[i];
    if (i == 0 || strcmp(text->metric, counter_texts[i - 1].metric) != 0) {
        render_header(out, text, "counter");
    }
    const char *open = text->labels[0] == '\0' ? "" : "{";
    const char *close = text->labels[0] == '\0' ? "" : "}";
    PhBuf_AppendFormat(out, "%s%s%s%s %" PRIu64 "\n", text->metric, open,
                       text->labels, close, counters->values[i]);
}

/* Prometheus buckets are cumulative and in seconds. */
static void
render_histogram(const PhCounters *counters, int i, PhBuf *out)
{
    const PhMetricText *text = &histogram_texts[i];
    const PhHistogramData *data = &counters->histograms[i];
    uint64_t seen = 0;
    render_header(out, text, "histogram");
    for (int b = 0; b < PH_HISTOGRAM_BUCKETS - 1; b++) {
        seen += data->buckets[b];
        PhBuf_AppendFormat(out, "%s_bucket{le=\"%.9g\"} %" PRIu64 "\n",
                           text->metric, (double)bucket_bound(b) / 1e9, seen);
    }
    PhBuf_AppendFormat(out, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
                       text->metric, data->count);
    PhBuf_AppendFormat(out, "%s_sum %.9g\n%s_count %" PRIu64 "\n",
                       text->metric, (double)data->sum / 1e9, text->metric,
                       data->count);
}

void
PhCounters_Render(const PhCounters *counters, PhBuf *out)
{
    for (int i = 0; i < PH_COUNTER_COUNT; i++) {
        render_counter(counters, i, out);
    }
    for (int i = 0; i < PH_HISTOGRAM_COUNT; i++) {
        render_histogram(counters, i, out);
    }
}
