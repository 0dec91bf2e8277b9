/// Encodes and decodes snapshots of replayed state as packed Cap'n Proto messages.
#include "record_codec_p.h"

namespace comfreypier::protocol {

namespace {

    void writeReservations(wire::WorkerState::Builder to, const std::vector<ReservationSnapshot>& reservations)
    {
        auto list = to.initReservations(static_cast<uint32_t>(reservations.size()));
        for (uint32_t i = 0; i < reservations.size(); i++) {
            const auto& reservation = reservations[i];
            list[i].setItem(reservation.item);
            list[i].setBytes(reservation.bytes);
            auto copies = list[i].initOpenCopies(static_cast<uint32_t>(reservation.openCopies.size()));
            for (uint32_t j = 0; j < reservation.openCopies.size(); j++)
                copies.set(j, reservation.openCopies[j]);
            list[i].setLoaded(reservation.loaded);
            list[i].setUnloading(reservation.unloading);
            list[i].setLastCopy(reservation.lastCopy);
        }
    }

    std::vector<ReservationSnapshot> readReservations(capnp::List<wire::ReservationState>::Reader list)
    {
        std::vector<ReservationSnapshot> reservations;
        for (auto in : list) {
            ReservationSnapshot reservation { text(in.getItem()), in.getBytes(), {}, in.getLoaded(), in.getUnloading(), in.getLastCopy() };
            for (auto copy : in.getOpenCopies())
                reservation.openCopies.push_back(copy);
            reservations.push_back(std::move(reservation));
        }
        return reservations;
    }

    void writeActions(wire::Snapshot::Builder to, const std::vector<ActionSnapshot>& actions)
    {
        auto list = to.initActions(static_cast<uint32_t>(actions.size()));
        for (uint32_t i = 0; i < actions.size(); i++) {
            const auto& action = actions[i];
            list[i].setKeyHigh(action.key.high);
            list[i].setKeyLow(action.key.low);
            list[i].setRequestHash(action.requestHash);
            list[i].setSession(action.session);
            list[i].setBegin(action.begin);
            list[i].setEnded(action.ended);
            list[i].setToken(action.token);
            if (action.ended)
                writeActionEnd(list[i].initEnd(), action.end);
        }
    }

    std::vector<ActionSnapshot> readActions(capnp::List<wire::ActionState>::Reader list)
    {
        std::vector<ActionSnapshot> actions;
        for (auto in : list) {
            ActionSnapshot action { { in.getKeyHigh(), in.getKeyLow() }, in.getRequestHash(), in.getSession(), in.getBegin(), in.getEnded(), {}, in.getToken() };
            if (action.ended)
                action.end = readActionEnd(in.getEnd());
            actions.push_back(std::move(action));
        }
        return actions;
    }

    /// Writes each id as two numbers.
    void writeSeenIds(wire::Snapshot::Builder to, const std::vector<RecordId>& ids)
    {
        auto list = to.initSeenIds(static_cast<uint32_t>(ids.size() * 2));
        for (uint32_t i = 0; i < ids.size(); i++) {
            list.set(2 * i, ids[i].high);
            list.set(2 * i + 1, ids[i].low);
        }
    }

    /// Writes all lists but the seen ids and the actions.
    void writeLists(wire::Snapshot::Builder to, const Snapshot& snapshot)
    {
        auto sessions = to.initSessions(static_cast<uint32_t>(snapshot.sessions.size()));
        for (uint32_t i = 0; i < snapshot.sessions.size(); i++) {
            sessions[i].setSession(snapshot.sessions[i].session);
            sessions[i].setLastSeen(snapshot.sessions[i].lastSeen);
            writeSessionOpen(sessions[i].initOpen(), snapshot.sessions[i].open);
        }
        auto workers = to.initWorkers(static_cast<uint32_t>(snapshot.workers.size()));
        for (uint32_t i = 0; i < snapshot.workers.size(); i++) {
            writeWorker(workers[i].initDeclared(), snapshot.workers[i].declared);
            writeReservations(workers[i], snapshot.workers[i].reservations);
            workers[i].setOwner(snapshot.workers[i].owner);
            workers[i].setOwnerSince(snapshot.workers[i].ownerSince);
        }
        auto plan = to.initPlan(static_cast<uint32_t>(snapshot.plan.size()));
        for (uint32_t i = 0; i < snapshot.plan.size(); i++) {
            plan[i].setWorker(snapshot.plan[i].worker);
            plan[i].setItem(snapshot.plan[i].item);
        }
        auto services = to.initServices(static_cast<uint32_t>(snapshot.services.size()));
        for (uint32_t i = 0; i < snapshot.services.size(); i++) {
            writePublish(services[i].initPublish(), snapshot.services[i].publish);
            services[i].setOffset(snapshot.services[i].offset);
        }
    }

    Result<Snapshot, RecordError> readSnapshot(wire::Snapshot::Reader in)
    {
        Snapshot snapshot;
        snapshot.upTo = in.getUpTo();
        snapshot.viewOffset = in.getViewOffset();
        auto ids = in.getSeenIds(); // Two numbers for each id; see `writeSeenIds`.
        for (uint32_t i = 0; i + 1 < ids.size(); i += 2)
            snapshot.seenIds.push_back({ ids[i], ids[i + 1] });
        for (auto session : in.getSessions())
            snapshot.sessions.push_back({ session.getSession(), session.getLastSeen(), readSessionOpen(session.getOpen()) });
        for (auto worker : in.getWorkers())
            snapshot.workers.push_back({ readWorker(worker.getDeclared()), readReservations(worker.getReservations()), worker.getOwner(), worker.getOwnerSince() });
        for (auto move : in.getPlan())
            snapshot.plan.push_back({ text(move.getWorker()), text(move.getItem()) });
        for (auto service : in.getServices())
            snapshot.services.push_back({ readPublish(service.getPublish()), service.getOffset() });
        snapshot.actions = readActions(in.getActions());
        return snapshot;
    }

} // namespace

std::string encodeSnapshot(const Snapshot& snapshot)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Snapshot>();
    root.setUpTo(snapshot.upTo);
    root.setViewOffset(snapshot.viewOffset);
    writeSeenIds(root, snapshot.seenIds);
    writeLists(root, snapshot);
    writeActions(root, snapshot.actions);
    return pack(message);
}

Result<Snapshot, RecordError> decodeSnapshot(std::string_view bytes)
{
    return unpack<wire::Snapshot, Snapshot>(bytes, readSnapshot);
}

} // namespace comfreypier::protocol
