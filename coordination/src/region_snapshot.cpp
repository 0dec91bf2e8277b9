/// Creates and restores snapshots of a region's stream, and splits and reassembles snapshots of any stream.
#include <algorithm>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    /// Maximum size of one snapshot part, in bytes.
    constexpr size_t snapshotPartSize = 64 * 1024;
    /// Maximum number of parts of one snapshot. Parts of a snapshot that claims more are ignored when it is read.
    constexpr uint32_t maxSnapshotParts = 4096;

    std::vector<protocol::ReservationSnapshot> snapshotReservations(const Worker& worker)
    {
        std::vector<protocol::ReservationSnapshot> saved;
        for (const auto& [item, reservation] : worker.reservations)
            saved.push_back({ item, reservation.bytes, { reservation.openCopies.begin(), reservation.openCopies.end() }, reservation.loaded, reservation.unloading, reservation.lastCopy });
        return saved;
    }

    Worker restoreWorker(const protocol::WorkerSnapshot& saved)
    {
        Worker worker { saved.declared, {}, saved.owner, saved.ownerSince };
        for (const auto& reservation : saved.reservations)
            worker.reservations[reservation.item] = { reservation.bytes, { reservation.openCopies.begin(), reservation.openCopies.end() }, reservation.lastCopy, reservation.loaded, reservation.unloading };
        return worker;
    }

    /// Returns the last record of each writer, least recently used first, so that `restoreWriters` keeps their order.
    std::vector<RecordId> snapshotWriters(const WriterTable& table)
    {
        std::vector<std::pair<uint64_t, RecordId>> ordered;
        ordered.reserve(table.writers.size());
        for (const auto& [writer, state] : table.writers)
            ordered.push_back({ state.lastUsed, { writer, state.lastNumber } });
        std::sort(ordered.begin(), ordered.end());
        std::vector<RecordId> ids;
        ids.reserve(ordered.size());
        for (const auto& [lastUsed, id] : ordered)
            ids.push_back(id);
        return ids;
    }

    WriterTable restoreWriters(const std::vector<RecordId>& ids)
    {
        WriterTable table;
        for (const auto& id : ids)
            acceptRecord(table, id);
        return table;
    }

} // namespace

protocol::Snapshot makeSnapshot(const RegionState& state)
{
    protocol::Snapshot snapshot;
    snapshot.upTo = state.next;
    snapshot.viewOffset = state.viewOffset;
    snapshot.seenIds = snapshotWriters(state.writers);
    for (const auto& [id, session] : state.sessions)
        snapshot.sessions.push_back({ id, session.lastSeen, session.open });
    for (const auto& [name, worker] : state.workers)
        snapshot.workers.push_back({ worker.declared, snapshotReservations(worker), worker.owner, worker.ownerSince });
    snapshot.plan.assign(state.plan.begin(), state.plan.end());
    for (const auto& [key, action] : state.actions)
        snapshot.actions.push_back({ key, action.requestHash, action.session, action.begin, action.end.has_value(), action.end.value_or(protocol::ActionEnd {}), action.token });
    return snapshot;
}

RegionState restoreRegion(const protocol::Snapshot& snapshot)
{
    RegionState state;
    state.next = snapshot.upTo;
    state.viewOffset = snapshot.viewOffset;
    state.writers = restoreWriters(snapshot.seenIds);
    for (const auto& saved : snapshot.sessions)
        state.sessions[saved.session] = { saved.session, saved.lastSeen, saved.open };
    for (const auto& saved : snapshot.workers)
        state.workers[saved.declared.worker] = restoreWorker(saved);
    state.plan.insert(snapshot.plan.begin(), snapshot.plan.end());
    for (const auto& saved : snapshot.actions) {
        auto& action = state.actions[saved.key];
        action = { saved.requestHash, saved.session, saved.begin, saved.token, std::nullopt };
        if (saved.ended)
            action.end = saved.end;
    }
    return state;
}

void collectSnapshotParts(SnapshotCollector& collector, const Envelope& envelope)
{
    for (const auto& entry : envelope.entries) {
        const auto* part = std::get_if<protocol::SnapshotPart>(&entry);
        if (!part || part->parts == 0 || part->parts > maxSnapshotParts || part->part >= part->parts)
            continue;
        auto& parts = collector.parts[part->upTo];
        parts[part->part] = part->data;
        if (parts.size() != part->parts)
            continue;
        std::string encoded;
        for (const auto& [number, data] : parts)
            encoded += data;
        auto snapshot = protocol::decodeSnapshot(encoded);
        collector.parts.erase(part->upTo);
        if (snapshot && (!collector.newest || snapshot.value().upTo > collector.newest->upTo))
            collector.newest = std::move(snapshot.value());
    }
}

std::vector<protocol::SnapshotPart> splitSnapshot(const protocol::Snapshot& snapshot)
{
    auto encoded = protocol::encodeSnapshot(snapshot);
    auto count = static_cast<uint32_t>((encoded.size() + snapshotPartSize - 1) / snapshotPartSize);
    std::vector<protocol::SnapshotPart> parts;
    for (uint32_t i = 0; i < count; i++)
        parts.push_back({ snapshot.upTo, i, count, encoded.substr(i * snapshotPartSize, snapshotPartSize) });
    return parts;
}

} // namespace comfreypier::coordination
