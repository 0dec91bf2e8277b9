#include "counters.h"

namespace comfreypier::edge {

namespace {

    /// Appends one line per counter of `values`, labelled with the `name` of its value of the enumeration `Label`.
    template <size_t count, class Label>
    void appendMetric(std::string& out, const char* metric, const char* label, const std::array<std::atomic<uint64_t>, count>& values)
    {
        for (size_t i = 0; i < count; i++)
            out += std::string("comfreypier_") + metric + "{" + label + "=\"" + name(static_cast<Label>(i)) + "\"} " + std::to_string(values[i]) + "\n";
    }

    /// Appends the count, the median, the 99th percentile and the maximum of a distribution of times, in seconds.
    void appendMetric(std::string& out, const char* metric, const transport::Distribution& distribution)
    {
        auto stats = distribution.stats();
        auto appendLine = [&out, metric](const char* suffix, double value) { out += std::string("comfreypier_") + metric + suffix + " " + std::to_string(value) + "\n"; };
        auto seconds = [](std::chrono::nanoseconds time) { return std::chrono::duration<double>(time).count(); };
        appendLine("_seconds_count", static_cast<double>(stats.count));
        appendLine("_seconds{quantile=\"0.5\"}", seconds(stats.p50));
        appendLine("_seconds{quantile=\"0.99\"}", seconds(stats.p99));
        appendLine("_seconds_max", seconds(stats.max));
    }

} // namespace

const char* name(RefusalReason reason)
{
    constexpr std::array<const char*, static_cast<size_t>(RefusalReason::Count)> names {
        "no_configuration", "no_route", "unknown_key", "outdated_keys", "quota", "quota_unknown", "no_service", "no_worker", "unreachable", "no_model", "no_adapter", "no_room",
        "worker_hold", "worker_limit", "hopeless", "outranked", "leaving", "crashes_workers", "worker_failed", "timed_out", "caller_gone", "malformed"
    };
    return names[static_cast<size_t>(reason)];
}

const char* name(RetryReason reason)
{
    constexpr std::array<const char*, static_cast<size_t>(RetryReason::Count)> names {
        "not_sent", "not_run", "broken", "silent", "unusable", "failed", "resumed"
    };
    return names[static_cast<size_t>(reason)];
}

const char* name(CountedEvent event)
{
    constexpr std::array<const char*, static_cast<size_t>(CountedEvent::Count)> names {
        "requests", "answers", "stream_events", "streams_cut", "store_calls", "store_failures", "beats_sent", "beat_bytes_sent", "beats_dropped", "beats_split", "missing_items_held_back", "beats_received", "orders", "configurations_applied", "configurations_fetched", "blamed_crashes", "broken_answers", "oversized_answers", "worker_holds", "statements_ignored", "quota_asks", "quota_asks_unanswered", "quota_fallbacks", "quota_returns", "withdrawals"
    };
    return names[static_cast<size_t>(event)];
}

void increment(EdgeCounters& counters, RefusalReason reason)
{
    counters.refusals[static_cast<size_t>(reason)]++;
}

void increment(EdgeCounters& counters, RetryReason reason)
{
    counters.retries[static_cast<size_t>(reason)]++;
}

void increment(EdgeCounters& counters, routing::WorkerBlock block)
{
    counters.passedOver[static_cast<size_t>(block)]++;
}

void increment(EdgeCounters& counters, CountedEvent event, uint64_t amount)
{
    counters.events[static_cast<size_t>(event)] += amount;
}

std::string formatCounters(const EdgeCounters& counters)
{
    std::string out;
    appendMetric<static_cast<size_t>(RefusalReason::Count), RefusalReason>(out, "refusals_total", "reason", counters.refusals);
    appendMetric<static_cast<size_t>(RetryReason::Count), RetryReason>(out, "repeats_total", "reason", counters.retries);
    appendMetric<static_cast<size_t>(CountedEvent::Count), CountedEvent>(out, "events_total", "event", counters.events);
    appendMetric<static_cast<size_t>(routing::WorkerBlock::Count), routing::WorkerBlock>(out, "passed_over_total", "reason", counters.passedOver);
    for (size_t priority = 0; priority < counters.waited.size(); priority++) {
        if (counters.waited[priority] == 0)
            continue;
        auto label = "{priority=\"" + std::to_string(priority) + "\"} ";
        out += "comfreypier_waiting" + label + std::to_string(counters.waiting[priority]) + "\n";
        out += "comfreypier_waited_total" + label + std::to_string(counters.waited[priority]) + "\n";
    }
    appendMetric(out, "first_byte", counters.timeToFirstByte);
    appendMetric(out, "whole_answer", counters.totalTime);
    out += transport::formatCutConnections();
    out += "comfreypier_log_lines_dropped_total " + std::to_string(transport::droppedLogLines()) + "\n";
    out += "comfreypier_resident_bytes " + std::to_string(transport::residentBytes()) + "\n";
    return out;
}

} // namespace comfreypier::edge
