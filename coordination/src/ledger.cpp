/// Ledger of the workers' memory. Model: `intentBeforeOrder`, `keepUnansweredLoads`.
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    /// Returns the worker if it exists and `writer` owns it, otherwise null.
    Worker* findOwnedWorker(Workers& workers, const std::string& name, SessionId writer)
    {
        auto entry = workers.find(name);
        if (entry == workers.end() || entry->second.owner != writer)
            return nullptr;
        return &entry->second;
    }

    /// Returns the reservation of the item, or null.
    Reservation* findReservation(Worker& worker, const std::string& item)
    {
        auto entry = worker.reservations.find(item);
        return entry == worker.reservations.end() ? nullptr : &entry->second;
    }

} // namespace

uint64_t reservedBytes(const Worker& worker)
{
    uint64_t total = 0;
    for (const auto& [item, reservation] : worker.reservations)
        total += reservation.bytes;
    return total;
}

size_t countResidentCopies(const Workers& workers, std::string_view item, std::string_view excludedWorker)
{
    size_t copies = 0;
    std::string key(item);
    for (const auto& [name, worker] : workers) {
        auto entry = worker.reservations.find(key);
        if (name != excludedWorker && entry != worker.reservations.end() && entry->second.loaded && !entry->second.unloading)
            copies++;
    }
    return copies;
}

Verdict applyLoadIntent(Workers& workers, const protocol::LoadIntent& intent, SessionId writer)
{
    auto* worker = findOwnedWorker(workers, intent.worker, writer);
    if (!worker)
        return Verdict::NotOwner;
    auto* existing = findReservation(*worker, intent.item);
    if (existing) {
        if (existing->unloading || existing->bytes != intent.bytes || existing->openCopies.size() >= maxOpenCopies)
            return Verdict::Void;
        existing->openCopies.insert(intent.copy);
        return Verdict::Applied;
    }
    if (reservedBytes(*worker) + intent.bytes > worker->declared.capacity)
        return Verdict::OverCapacity;
    auto& reservation = worker->reservations[intent.item];
    reservation.bytes = intent.bytes;
    reservation.openCopies.insert(intent.copy);
    return Verdict::Applied;
}

Verdict applyLoadResolved(Workers& workers, const protocol::LoadResolved& resolved, SessionId writer)
{
    auto* worker = findOwnedWorker(workers, resolved.worker, writer);
    if (!worker)
        return Verdict::NotOwner;
    auto* reservation = findReservation(*worker, resolved.item);
    if (!reservation)
        return Verdict::Void;
    // Has no effect for copy 0, which stands for a change of the residency only.
    reservation->openCopies.erase(resolved.copy);
    if (resolved.arrived)
        reservation->lastCopy = resolved.copy;
    if (!reservation->unloading)
        reservation->loaded = resolved.loaded;
    return Verdict::Applied;
}

Verdict applyUnloadIntent(Workers& workers, const protocol::UnloadIntent& intent, SessionId writer)
{
    auto* worker = findOwnedWorker(workers, intent.worker, writer);
    if (!worker)
        return Verdict::NotOwner;
    auto* reservation = findReservation(*worker, intent.item);
    if (!reservation || reservation->unloading)
        return Verdict::Void;
    bool isLastCopy = reservation->loaded && countResidentCopies(workers, intent.item, intent.worker) == 0;
    if (isLastCopy && !intent.lastCopyAllowed)
        return Verdict::LastCopy;
    reservation->unloading = true;
    return Verdict::Applied;
}

Verdict applyUnloadResolved(Workers& workers, const protocol::UnloadResolved& resolved, SessionId writer)
{
    auto* worker = findOwnedWorker(workers, resolved.worker, writer);
    if (!worker)
        return Verdict::NotOwner;
    auto* reservation = findReservation(*worker, resolved.item);
    if (!reservation || !reservation->unloading || !reservation->openCopies.empty())
        return Verdict::Void;
    worker->reservations.erase(resolved.item);
    return Verdict::Applied;
}

Verdict applyWorkerRestarted(Workers& workers, const protocol::WorkerRestarted& restarted, SessionId writer)
{
    auto* worker = findOwnedWorker(workers, restarted.worker, writer);
    if (!worker)
        return Verdict::NotOwner;
    if (worker->declared.incarnation == restarted.incarnation)
        return Verdict::Void;
    worker->declared.incarnation = restarted.incarnation;
    worker->reservations.clear();
    return Verdict::Applied;
}

} // namespace comfreypier::coordination
