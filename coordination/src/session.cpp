/// Sessions: leases held by nodes, and their expiry by the nodes that watch them.
#include <algorithm>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    void evictLeastRecentlyUsed(WriterTable& table)
    {
        auto leastRecent = std::min_element(table.writers.begin(), table.writers.end(), [](const auto& a, const auto& b) { return a.second.lastUsed < b.second.lastUsed; });
        table.writers.erase(leastRecent);
    }

} // namespace

bool acceptRecord(WriterTable& table, const RecordId& id)
{
    table.logicalClock++;
    auto [entry, added] = table.writers.try_emplace(id.high);
    if (!added && id.low <= entry->second.lastNumber)
        return false;
    entry->second.lastNumber = id.low;
    entry->second.lastUsed = table.logicalClock;
    if (table.writers.size() > maxTrackedWriters)
        evictLeastRecentlyUsed(table);
    return true;
}

Time leaseDeadline(const Lease& lease)
{
    return lease.confirmedStart + lease.ttl - lease.margin;
}

bool mayAct(const Lease& lease, Time now)
{
    return lease.session != protocol::invalidOffset && now < leaseDeadline(lease);
}

std::vector<protocol::SessionExpire> updateViewWatch(ViewWatch& watch, const std::map<SessionId, Session>& sessions, Time now, bool logReadable)
{
    std::vector<protocol::SessionExpire> expired;
    auto elapsed = now - watch.lastTick;
    watch.lastTick = now;
    if (!logReadable)
        watch.sessions.clear();
    std::erase_if(watch.sessions, [&](const auto& entry) { return !sessions.contains(entry.first); });
    for (const auto& [id, session] : sessions) {
        auto [entry, added] = watch.sessions.try_emplace(id);
        auto& seen = entry->second;
        if (added || seen.lastSeen != session.lastSeen) {
            seen.lastSeen = session.lastSeen;
            seen.silentFor = Time { 0 };
            continue;
        }
        seen.silentFor += elapsed;
        if (seen.silentFor < session.open.ttl)
            continue;
        expired.push_back({ id, seen.lastSeen });
    }
    return expired;
}

const char* name(Verdict verdict)
{
    // In the order of `Verdict`.
    constexpr std::array<const char*, static_cast<size_t>(Verdict::Count)> names {
        "applied", "repeated", "session_ended", "void", "not_owner", "over_capacity", "last_copy", "key_taken", "conflict", "invalid_file"
    };
    return names[static_cast<size_t>(verdict)];
}

} // namespace comfreypier::coordination
