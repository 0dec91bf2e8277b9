#include "snapshot_task.h"

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 500 };
    /// Number of offset samples per retention time of idempotency keys.
    constexpr int samplesPerRetention = 32;
    /// Pause after each part that is appended to the configuration stream.
    constexpr std::chrono::milliseconds configAppendInterval { 20 };

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
            if (this->ownsSnapshotRole()) {
                this->snapshotRegion();
                this->snapshotConfig();
            }
            this->forgetOldKeys();
        }
        sleepFor(checkInterval);
    }
}

bool SnapshotTask::ownsSnapshotRole() const
{
    auto own = this->session.current();
    auto owner = this->node.region.read([](const auto& state) { return coordination::rendezvousOwner(state.sessions, coordination::snapshotRole); });
    return own != protocol::invalidOffset && owner == own && this->session.mayAct();
}

bool SnapshotTask::isSnapshotDue(Offset next, Offset lastOffset, Time lastAt) const
{
    bool enoughRecords = next >= lastOffset + this->node.settings.recordsPerSnapshot;
    bool intervalElapsed = next > 0 && monotonicNow() - lastAt >= this->node.settings.snapshotInterval;
    return enoughRecords || intervalElapsed;
}

void SnapshotTask::snapshotRegion()
{
    auto next = this->node.region.next();
    if (!this->isSnapshotDue(next, this->regionSnapshotOffset, this->regionSnapshotAt))
        return;
    this->regionSnapshotOffset = next;
    this->regionSnapshotAt = monotonicNow();
    auto snapshot = this->node.region.read([](const auto& state) { return coordination::makeSnapshot(state); });
    for (auto& part : coordination::splitSnapshot(snapshot))
        this->writer.append(std::move(part));
    add(this->node.counters, state::Counter::SnapshotsAppended);
    this->log.info("queued snapshot of " + this->node.regionStream + " up to offset " + std::to_string(snapshot.upTo));
}

void SnapshotTask::snapshotConfig()
{
    auto next = this->node.config.next();
    if (!this->isSnapshotDue(next, this->configSnapshotOffset, this->configSnapshotAt))
        return;
    this->configSnapshotOffset = next;
    this->configSnapshotAt = monotonicNow();
    auto snapshot = this->node.config.read([](const auto& state) { return coordination::makeSnapshot(state); });
    // `writer` appends only to the region's stream.
    for (auto& part : coordination::splitSnapshot(snapshot)) {
        this->configRecordId.low++;
        protocol::Envelope envelope { this->configRecordId, protocol::invalidOffset, { std::move(part) } };
        if (!this->node.log.append(this->node.configStream, protocol::encodeEnvelope(envelope)))
            return;
        sleepFor(configAppendInterval);
    }
    add(this->node.counters, state::Counter::SnapshotsAppended);
    this->log.info("appended snapshot of " + this->node.configStream + " up to offset " + std::to_string(snapshot.upTo));
}

void SnapshotTask::forgetOldKeys()
{
    // Every node samples offsets, so that a new owner of the snapshot role knows the age of keys.
    auto now = monotonicNow();
    auto retention = Time(this->node.settings.keyRetention);
    if (this->offsetSamples.empty() || now - this->offsetSamples.back().first >= retention / samplesPerRetention)
        this->offsetSamples.push_back({ now, this->node.region.next() });
    // Keys before the newest sample that is at least `retention` old have expired, so the samples before it are dropped.
    while (this->offsetSamples.size() > 1 && now - this->offsetSamples[1].first >= retention)
        this->offsetSamples.pop_front();
    auto [sampledAt, offset] = this->offsetSamples.front();
    bool isDue = now - sampledAt >= retention && offset > this->forgottenBefore;
    if (!isDue || !this->ownsSnapshotRole())
        return;
    this->forgottenBefore = offset;
    this->writer.append(protocol::ActionsForget { offset });
}

} // namespace comfreypier::daemon
