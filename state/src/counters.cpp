/// Counters of one node and their Prometheus text format.
#include <state/state.h>

namespace comfreypier::state {

namespace {

    /// In the order of `Counter`.
    constexpr std::array<const char*, static_cast<size_t>(Counter::Count)> counterNames {
        "requests_completion", "requests_plain", "tokens_relayed", "streams_resumed", "broken_answers", "crossed_answers_dropped",
        "repeated_tokens_dropped", "actions_run", "actions_repeated", "log_appends", "log_append_failures", "log_reads",
        "log_read_failures", "log_bytes_read", "log_bytes_appended", "sessions_opened", "sessions_lapsed",
        "sessions_expired", "orders_sent", "orders_withheld", "orders_stale", "orders_unanswered", "plan_changes",
        "snapshots_appended", "gossip_sent", "gossip_failed", "records_unreadable", "handed_over"
    };

    void appendLine(std::string& text, const std::string& metric, uint64_t value)
    {
        text += metric + " " + std::to_string(value) + "\n";
    }

} // namespace

const char* name(Counter counter)
{
    return counterNames[static_cast<size_t>(counter)];
}

void add(Counters& counters, Counter counter, uint64_t amount)
{
    counters.values[static_cast<size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

void add(Counters& counters, protocol::RefusalReason reason)
{
    counters.refusals[static_cast<size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
}

void add(Counters& counters, protocol::RetryReason reason)
{
    counters.retries[static_cast<size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
}

std::string formatCounters(const Counters& counters)
{
    std::string text;
    for (size_t i = 0; i < counters.values.size(); i++)
        appendLine(text, std::string("comfreypier_") + counterNames[i] + "_total", counters.values[i]);
    for (size_t i = 0; i < counters.refusals.size(); i++) {
        auto reason = protocol::name(static_cast<protocol::RefusalReason>(i));
        appendLine(text, std::string("comfreypier_refusals_total{reason=\"") + reason + "\"}", counters.refusals[i]);
    }
    for (size_t i = 0; i < counters.retries.size(); i++) {
        auto reason = protocol::name(static_cast<protocol::RetryReason>(i));
        appendLine(text, std::string("comfreypier_retries_total{reason=\"") + reason + "\"}", counters.retries[i]);
    }
    return text;
}

} // namespace comfreypier::state
