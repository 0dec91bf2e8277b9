#include "log_writer.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds idleWait { 100 };
    constexpr std::chrono::milliseconds resolvePoll { 10 };
    constexpr std::chrono::milliseconds firstBackOff { 50 };
    constexpr std::chrono::milliseconds largestBackOff { 1000 };
    /// Own records whose start is remembered.
    constexpr size_t startsKept = 64;

} // namespace

LogWriter::LogWriter(Node& node, const LogFollower& follower)
    : node(node)
    , follower(follower)
{
}

void LogWriter::run()
{
    while (!this->node.lifecycle.stopping) {
        auto envelope = this->node.queue.buildRecord(this->session);
        if (!envelope) {
            this->wake.waitFor(idleWait);
            continue;
        }
        auto start = monotonicNow();
        this->appendRecord(*envelope);
        this->keepInterval(start);
    }
}

void LogWriter::keepInterval(Time start) const
{
    auto next = start + this->node.settings.appendInterval;
    auto now = monotonicNow();
    if (next > now)
        sleepFor(next - now);
}

void LogWriter::appendRecord(const protocol::Envelope& envelope)
{
    auto bytes = protocol::encodeEnvelope(envelope);
    {
        std::lock_guard lock(this->mutex);
        this->starts[envelope.id] = monotonicNow();
        if (this->starts.size() > startsKept)
            this->starts.erase(this->starts.begin());
    }
    auto backOff = firstBackOff;
    while (!this->node.lifecycle.stopping) {
        add(this->node.counters, state::Counter::LogAppends);
        add(this->node.counters, state::Counter::LogBytesAppended, bytes.size());
        auto result = this->node.log.append(this->node.regionStream, bytes);
        if (result) {
            this->available = true;
            return;
        }
        auto failedAt = monotonicNow();
        add(this->node.counters, state::Counter::LogAppendFailures);
        this->appendFailures++;
        this->available = false;
        if (result.error() == protocol::LogError::Unavailable) {
            this->node.queue.requeue(envelope.id);
            sleepFor(backOff);
            return;
        }
        if (this->resolve(envelope, failedAt)) {
            this->available = true;
            return;
        }
        sleepFor(backOff);
        backOff = std::min(largestBackOff, backOff * 2);
    }
}

/// Reads the stream until it is known whether the record is in it.
bool LogWriter::resolve(const protocol::Envelope& envelope, Time failedAt) const
{
    while (!this->node.lifecycle.stopping) {
        if (this->node.queue.isConfirmed(envelope.id))
            return true;
        if (this->follower.caughtUpAt() > failedAt)
            return false;
        sleepFor(resolvePoll);
    }
    return false;
}

state::PendingEntryPtr LogWriter::append(protocol::Entry entry, std::function<void(const state::AppendOutcome&)> done)
{
    auto pending = this->node.queue.add(std::move(entry), std::move(done));
    this->wake.signal();
    return pending;
}

std::optional<state::AppendOutcome> LogWriter::appendAndWait(protocol::Entry entry, std::chrono::milliseconds limit, state::PendingEntryPtr& pending, bool& stillOpen)
{
    struct Shared {
        transport::Event event;
        std::mutex mutex;
        std::optional<state::AppendOutcome> outcome;
    };
    auto shared = std::make_shared<Shared>();
    pending = this->append(std::move(entry), [shared](const state::AppendOutcome& outcome) {
        {
            std::lock_guard lock(shared->mutex);
            shared->outcome = outcome;
        }
        shared->event.signal();
    });
    shared->event.waitFor(limit);
    stillOpen = false;
    std::lock_guard lock(shared->mutex);
    if (!shared->outcome)
        stillOpen = !this->node.queue.cancel(pending);
    return shared->outcome;
}

std::optional<Time> LogWriter::startOf(const protocol::RecordId& id) const
{
    std::lock_guard lock(this->mutex);
    auto entry = this->starts.find(id);
    if (entry == this->starts.end())
        return std::nullopt;
    return entry->second;
}

} // namespace comfreypier::daemon
