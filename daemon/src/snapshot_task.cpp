#include "snapshot_task.h"

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds roundInterval { 500 };
    /// Share of the key retention between two noted offsets.
    constexpr int notesPerRetention = 32;
    constexpr std::chrono::milliseconds configAppendPause { 20 };

} // namespace

SnapshotTask::SnapshotTask(Node& node, LogWriter& writer, const SessionKeeper& session)
    : node(node)
    , writer(writer)
    , session(session)
{
}

void SnapshotTask::run()
{
    while (!this->node.lifecycle.stopping) {
        if (this->node.lifecycle.caughtUp) {
            if (this->isWriter()) {
                this->snapshotRegion();
                this->snapshotConfig();
            }
            this->forgetOldKeys();
        }
        sleepFor(roundInterval);
    }
}

bool SnapshotTask::isWriter() const
{
    auto own = this->session.current();
    auto owner = this->node.region.read([](const auto& state) { return coordination::rendezvousOwner(state.sessions, coordination::snapshotRole); });
    return own != protocol::invalidOffset && owner == own && this->session.mayAct();
}

bool SnapshotTask::isDue(Offset next, Offset done, Time doneAt) const
{
    bool manyRecords = next >= done + this->node.settings.snapshotEvery;
    bool longAgo = next > 0 && monotonicNow() - doneAt >= this->node.settings.snapshotInterval;
    return manyRecords || longAgo;
}

void SnapshotTask::snapshotRegion()
{
    auto next = this->node.region.next();
    if (!this->isDue(next, this->regionDone, this->regionDoneAt))
        return;
    this->regionDone = next;
    this->regionDoneAt = monotonicNow();
    auto snapshot = this->node.region.read([](const auto& state) { return coordination::makeSnapshot(state); });
    for (auto& part : coordination::splitSnapshot(snapshot))
        this->writer.append(std::move(part));
    add(this->node.counters, state::Counter::SnapshotsAppended);
    this->log.info("snapshot of " + this->node.regionStream + " up to offset " + std::to_string(snapshot.upTo));
}

void SnapshotTask::snapshotConfig()
{
    auto next = this->node.config.next();
    if (!this->isDue(next, this->configDone, this->configDoneAt))
        return;
    this->configDone = next;
    this->configDoneAt = monotonicNow();
    auto snapshot = this->node.config.read([](const auto& state) { return coordination::makeSnapshot(state); });
    for (auto& part : coordination::splitSnapshot(snapshot)) {
        this->configRecord.low++;
        protocol::Envelope envelope { this->configRecord, protocol::invalidOffset, { std::move(part) } };
        if (!this->node.log.append(this->node.configStream, protocol::encodeEnvelope(envelope)))
            return;
        sleepFor(configAppendPause);
    }
    add(this->node.counters, state::Counter::SnapshotsAppended);
    this->log.info("snapshot of " + this->node.configStream + " up to offset " + std::to_string(snapshot.upTo));
}

void SnapshotTask::forgetOldKeys()
{
    auto now = monotonicNow();
    auto retention = Time(this->node.settings.keyRetention);
    if (this->offsetTimes.empty() || now - this->offsetTimes.back().first >= retention / notesPerRetention)
        this->offsetTimes.push_back({ now, this->node.region.next() });
    while (this->offsetTimes.size() > 1 && now - this->offsetTimes[1].first >= retention)
        this->offsetTimes.pop_front();
    auto [seenAt, offset] = this->offsetTimes.front();
    bool due = now - seenAt >= retention && offset > this->forgotten;
    if (!due || !this->isWriter())
        return;
    this->forgotten = offset;
    this->writer.append(protocol::ActionsForget { offset });
}

} // namespace comfreypier::daemon
