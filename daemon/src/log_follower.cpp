#include "log_follower.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    /// Time for which a read waits for new records, once the stream has been read to its end.
    constexpr std::chrono::milliseconds longPollTimeout { 500 };
    constexpr std::chrono::milliseconds initialBackoff { 20 };
    constexpr std::chrono::milliseconds maxBackoff { 500 };
    /// Number of doublings with which the delay exceeds `maxBackoff`. More would overflow in the end.
    constexpr unsigned maxBackoffDoublings = 5;

} // namespace

LogFollower::LogFollower(Node& node, FollowedStream stream)
    : node(node)
    , stream(std::move(stream))
{
}

void LogFollower::run()
{
    while (!this->node.lifecycle.stopping) {
        bool hasCaughtUp = this->lastCaughtUp != 0;
        if (this->readOnce(hasCaughtUp ? longPollTimeout : std::chrono::milliseconds { 0 }))
            this->consecutiveFailures = 0;
        else
            this->backOff();
    }
}

bool LogFollower::readOnce(std::chrono::milliseconds wait)
{
    auto start = monotonicNow();
    auto from = this->stream.next();
    auto page = this->node.log.read(this->stream.name, from, wait);
    add(this->node.counters, state::Counter::LogReads);
    if (!page) {
        add(this->node.counters, state::Counter::LogReadFailures);
        this->failedReads++;
        return false;
    }
    bool isFirstRead = !this->hasRead;
    this->hasRead = true;
    // The log has removed records that this replica has not read.
    bool recordsRemoved = page.value().first > from;
    // The first read of a long stream starts from its newest snapshot instead of replaying all records.
    if ((isFirstRead && page.value().end > this->node.settings.recordsPerSnapshot) || recordsRemoved)
        this->recoverFromSnapshot(page.value().first);
    if (recordsRemoved && this->stream.next() < page.value().first)
        return false;
    // The replica was restored meanwhile, so this page no longer continues it.
    if (this->stream.next() != from)
        return true;
    this->applyRecords(page.value());
    if (this->stream.next() >= page.value().end)
        this->lastCaughtUp = start.count();
    return true;
}

void LogFollower::applyRecords(const protocol::LogPage& page)
{
    for (const auto& record : page.records) {
        add(this->node.counters, state::Counter::LogBytesRead, record.bytes.size());
        auto envelope = protocol::decodeEnvelope(record.bytes);
        if (envelope) {
            this->stream.apply(record.offset, envelope.value());
            continue;
        }
        add(this->node.counters, state::Counter::RecordsUnreadable);
        this->log.warn("record " + std::to_string(record.offset) + " of " + this->stream.name + " is unreadable: " + protocol::name(envelope.error()));
        this->stream.skip(record.offset);
    }
}

bool LogFollower::recoverFromSnapshot(Offset firstRetained)
{
    coordination::SnapshotCollector collector;
    auto position = firstRetained;
    while (true) {
        auto page = this->node.log.read(this->stream.name, position, std::chrono::milliseconds { 0 });
        if (!page)
            return false;
        for (const auto& record : page.value().records) {
            if (auto envelope = protocol::decodeEnvelope(record.bytes))
                coordination::collectSnapshotParts(collector, envelope.value());
            position = record.offset + 1;
        }
        if (page.value().records.empty() || position >= page.value().end)
            break;
    }
    if (!collector.newest || collector.newest->upTo < firstRetained) {
        // Without a snapshot, a stream from which no records were removed is read from its start.
        if (firstRetained > 0)
            this->log.error("no complete snapshot of " + this->stream.name + " reaches its first retained offset " + std::to_string(firstRetained));
        return false;
    }
    this->stream.restore(*collector.newest);
    this->log.info("restored snapshot of " + this->stream.name + " up to offset " + std::to_string(collector.newest->upTo));
    return true;
}

void LogFollower::backOff()
{
    auto doublings = std::min(this->consecutiveFailures++, maxBackoffDoublings);
    auto delay = std::min(maxBackoff, initialBackoff * (1 << doublings));
    auto jitter = std::chrono::milliseconds { protocol::makeRandomId().low % static_cast<uint64_t>(delay.count()) };
    sleepFor(delay / 2 + jitter / 2);
}

} // namespace comfreypier::daemon
