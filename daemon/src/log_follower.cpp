#include "log_follower.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds longPoll { 500 };
    constexpr std::chrono::milliseconds firstBackOff { 20 };
    constexpr std::chrono::milliseconds largestBackOff { 500 };
    constexpr unsigned backOffSteps = 5;

} // namespace

LogFollower::LogFollower(Node& node, FollowedStream stream)
    : node(node)
    , stream(std::move(stream))
{
}

void LogFollower::run()
{
    while (!this->node.lifecycle.stopping) {
        bool atEnd = this->caughtUp != 0;
        if (this->readOnce(atEnd ? longPoll : std::chrono::milliseconds { 0 }))
            this->failuresInRow = 0;
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
        this->readFailures++;
        return false;
    }
    bool isStart = !this->started;
    this->started = true;
    bool behindRetention = page.value().first > from;
    if ((isStart && page.value().end > this->node.settings.snapshotEvery) || behindRetention)
        this->recoverFromSnapshot(page.value().first);
    if (behindRetention && this->stream.next() < page.value().first)
        return false;
    if (this->stream.next() != from)
        return true;
    this->applyRecords(page.value());
    if (this->stream.next() >= page.value().end)
        this->caughtUp = start.count();
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

bool LogFollower::recoverFromSnapshot(Offset first)
{
    coordination::SnapshotCollector collector;
    auto position = first;
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
    if (!collector.newest || collector.newest->upTo < first) {
        if (first > 0)
            this->log.error("no usable snapshot of " + this->stream.name + " from offset " + std::to_string(first));
        return false;
    }
    this->stream.restore(*collector.newest);
    this->log.info("restored " + this->stream.name + " up to offset " + std::to_string(collector.newest->upTo));
    return true;
}

void LogFollower::backOff()
{
    auto steps = std::min(this->failuresInRow++, backOffSteps);
    auto pause = std::min(largestBackOff, firstBackOff * (1 << steps));
    auto jitter = std::chrono::milliseconds { protocol::makeRecordId().low % static_cast<uint64_t>(pause.count()) };
    sleepFor(pause / 2 + jitter / 2);
}

} // namespace comfreypier::daemon
