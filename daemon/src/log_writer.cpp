#include "log_writer.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    /// Maximum wait for a queued entry, so that the task notices the end of the daemon.
    constexpr std::chrono::milliseconds idleTimeout { 100 };
    /// Interval at which it is checked whether a record whose append was not answered is in the log.
    constexpr std::chrono::milliseconds resolvePollInterval { 10 };
    /// Delay after a failed append. It doubles with each repetition of the same record, up to `maxBackoff`.
    constexpr std::chrono::milliseconds initialBackoff { 50 };
    constexpr std::chrono::milliseconds maxBackoff { 1000 };
    /// Maximum number of records of this writer whose append start is remembered.
    constexpr size_t maxTrackedStarts = 64;

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
            this->wake.waitFor(idleTimeout);
            continue;
        }
        auto start = monotonicNow();
        this->appendRecord(*envelope);
        this->waitForAppendInterval(start);
    }
}

void LogWriter::waitForAppendInterval(Time start) const
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
        this->appendStarts[envelope.id] = monotonicNow();
        if (this->appendStarts.size() > maxTrackedStarts)
            this->appendStarts.erase(this->appendStarts.begin()); // The oldest, because ids of one writer ascend.
    }
    auto backoff = initialBackoff;
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
        this->failedAppends++;
        this->available = false;
        // This attempt had no effect, so the entries go into a new record.
        if (result.error() == protocol::LogError::Unavailable) {
            this->node.queue.requeue(envelope.id);
            sleepFor(backoff);
            return;
        }
        if (this->findInLog(envelope, failedAt)) {
            this->available = true;
            return;
        }
        sleepFor(backoff);
        backoff = std::min(maxBackoff, backoff * 2);
    }
}

bool LogWriter::findInLog(const protocol::Envelope& envelope, Time failedAt) const
{
    while (!this->node.lifecycle.stopping) {
        if (this->node.queue.isConfirmed(envelope.id))
            return true;
        // A read that started after the append failed has reached the end of the stream without the record.
        if (this->follower.caughtUpAt() > failedAt)
            return false;
        sleepFor(resolvePollInterval);
    }
    return false;
}

state::PendingEntryPtr LogWriter::append(protocol::Entry entry, std::function<void(const state::AppendOutcome&)> done)
{
    auto pending = this->node.queue.add(std::move(entry), std::move(done));
    this->wake.signal();
    return pending;
}

std::optional<state::AppendOutcome> LogWriter::appendAndWait(protocol::Entry entry, std::chrono::milliseconds timeout, state::PendingEntryPtr& pending, bool& mayStillApply)
{
    // Shared with the callback, which may run after this function has returned because of the timeout.
    struct WaitState {
        transport::Event event;
        std::mutex mutex;
        std::optional<state::AppendOutcome> outcome;
    };
    auto waitState = std::make_shared<WaitState>();
    pending = this->append(std::move(entry), [waitState](const state::AppendOutcome& outcome) {
        {
            std::lock_guard lock(waitState->mutex);
            waitState->outcome = outcome;
        }
        waitState->event.signal();
    });
    waitState->event.waitFor(timeout);
    mayStillApply = false;
    std::lock_guard lock(waitState->mutex);
    if (!waitState->outcome)
        mayStillApply = !this->node.queue.cancel(pending);
    return waitState->outcome;
}

std::optional<Time> LogWriter::findAppendStart(const protocol::RecordId& id) const
{
    std::lock_guard lock(this->mutex);
    auto entry = this->appendStarts.find(id);
    if (entry == this->appendStarts.end())
        return std::nullopt;
    return entry->second;
}

} // namespace comfreypier::daemon
