/// Replay of one region's stream.
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    /// Combines lambdas into one visitor for `std::visit`.
    template <class... Ts>
    struct Overloaded : Ts... {
        using Ts::operator()...;
    };
    template <class... Ts>
    Overloaded(Ts...) -> Overloaded<Ts...>;

    /// Sets the worker's owner by rendezvous hashing. A new owner gets `offset` as its fencing number, which is higher than those
    /// of all earlier owners.
    void assignOwner(RegionState& state, Worker& worker, Offset offset)
    {
        auto owner = rendezvousOwner(state.sessions, worker.declared.worker);
        if (owner == worker.owner)
            return;
        worker.owner = owner;
        worker.ownerSince = offset;
    }

    /// Recomputes the owner of every worker after the set of live sessions has changed.
    void updateView(RegionState& state, Offset offset)
    {
        state.viewOffset = offset;
        for (auto& [name, worker] : state.workers)
            assignOwner(state, worker, offset);
    }

    /// Opens a session, whose id is the offset of the record.
    Verdict openSession(RegionState& state, const protocol::SessionOpen& open, Offset offset)
    {
        state.sessions[offset] = { offset, offset, open };
        updateView(state, offset);
        return Verdict::Applied;
    }

    Verdict endSession(RegionState& state, SessionId session, Offset offset)
    {
        if (state.sessions.erase(session) == 0)
            return Verdict::Void;
        updateView(state, offset);
        return Verdict::Applied;
    }

    /// Ends a session, unless the log has a newer record of it than the one that the expiry names.
    Verdict expireSession(RegionState& state, const protocol::SessionExpire& expire, Offset offset)
    {
        auto entry = state.sessions.find(expire.session);
        if (entry == state.sessions.end() || entry->second.lastSeen != expire.lastSeen)
            return Verdict::Void;
        return endSession(state, expire.session, offset);
    }

    /// Adds a worker or changes its declaration.
    /// @return `OverCapacity` if the new capacity is below the memory that is reserved on the worker.
    Verdict declareWorker(RegionState& state, const protocol::WorkerDeclared& declared, Offset offset)
    {
        auto& worker = state.workers[declared.worker];
        bool isNew = worker.declared.worker.empty();
        if (!isNew && declared.capacity < reservedBytes(worker))
            return Verdict::OverCapacity;
        // Only `WorkerRestarted` changes a known incarnation, because it also clears the reservations.
        auto incarnation = isNew ? declared.incarnation : worker.declared.incarnation;
        worker.declared = declared;
        worker.declared.incarnation = incarnation;
        assignOwner(state, worker, offset);
        return Verdict::Applied;
    }

    /// Removes a worker, its reservations and its entries in the plan.
    Verdict removeWorker(RegionState& state, const protocol::WorkerGone& gone)
    {
        std::erase_if(state.plan, [&](const protocol::PlanMove& move) { return move.worker == gone.worker; });
        return state.workers.erase(gone.worker) > 0 ? Verdict::Applied : Verdict::Void;
    }

    /// Applies a change of the plan. Only the owner of the planner role may make one.
    Verdict changePlan(RegionState& state, const protocol::PlanChange& change, SessionId writer, Offset offset)
    {
        if (rendezvousOwner(state.sessions, plannerRole) != writer)
            return Verdict::NotOwner;
        for (const auto& move : change.drops)
            state.plan.erase(move);
        state.plan.insert(change.adds.begin(), change.adds.end());
        state.planHistory.push_back({ offset, change });
        if (state.planHistory.size() > maxHistoryEntries)
            state.planHistory.erase(state.planHistory.begin());
        return Verdict::Applied;
    }

    Verdict applyEntry(RegionState& state, Offset offset, const Envelope& envelope, const protocol::Entry& entry)
    {
        auto writer = envelope.session;
        return std::visit(Overloaded {
                              [&](const protocol::SessionOpen& open) { return openSession(state, open, offset); },
                              [&](const protocol::SessionRenew&) { return Verdict::Applied; },
                              [&](const protocol::SessionExpire& expire) { return expireSession(state, expire, offset); },
                              [&](const protocol::SessionRelease&) { return endSession(state, writer, offset); },
                              [&](const protocol::WorkerDeclared& declared) { return declareWorker(state, declared, offset); },
                              [&](const protocol::WorkerGone& gone) { return removeWorker(state, gone); },
                              [&](const protocol::LoadIntent& intent) { return applyLoadIntent(state.workers, intent, writer); },
                              [&](const protocol::LoadResolved& resolved) { return applyLoadResolved(state.workers, resolved, writer); },
                              [&](const protocol::UnloadIntent& intent) { return applyUnloadIntent(state.workers, intent, writer); },
                              [&](const protocol::UnloadResolved& resolved) { return applyUnloadResolved(state.workers, resolved, writer); },
                              [&](const protocol::WorkerRestarted& restarted) { return applyWorkerRestarted(state.workers, restarted, writer); },
                              [&](const protocol::PlanChange& change) { return changePlan(state, change, writer, offset); },
                              [&](const protocol::ActionBegin& begin) { return applyActionBegin(state.actions, begin, writer, offset); },
                              [&](const protocol::ActionEnd& end) { return applyActionEnd(state.actions, end); },
                              [&](const protocol::ActionVoid& voided) { return applyActionVoid(state.actions, voided); },
                              [&](const protocol::ActionsForget& forget) { return applyActionsForget(state.actions, forget); },
                              // Belongs to the configuration stream.
                              [&](const protocol::ConfigPublish&) { return Verdict::Void; },
                              // Does not change the state; see `collectSnapshotParts`.
                              [&](const protocol::SnapshotPart&) { return Verdict::Applied; },
                          },
            entry);
    }

} // namespace

std::vector<Verdict> applyRegionRecord(RegionState& state, Offset offset, const Envelope& envelope)
{
    state.next = offset + 1;
    if (!acceptRecord(state.writers, envelope.id))
        return std::vector<Verdict>(envelope.entries.size(), Verdict::Duplicate);
    std::vector<Verdict> verdicts;
    for (const auto& entry : envelope.entries) {
        // Looked up for each entry, because the previous one may have ended the session.
        bool opensSession = std::holds_alternative<protocol::SessionOpen>(entry);
        auto session = state.sessions.find(envelope.session);
        if (!opensSession && session == state.sessions.end()) {
            verdicts.push_back(Verdict::SessionEnded);
            continue;
        }
        if (session != state.sessions.end())
            session->second.lastSeen = offset;
        verdicts.push_back(applyEntry(state, offset, envelope, entry));
    }
    return verdicts;
}

} // namespace comfreypier::coordination
