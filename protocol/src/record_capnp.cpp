/// Encodes and decodes log records as packed Cap'n Proto messages.
#include "record_codec_p.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <random>

namespace comfreypier::protocol {

namespace {

    using wire::PlanMove;

    /// Combines lambdas into one visitor for `std::visit`.
    template <class... Ts>
    struct Overloaded : Ts... {
        using Ts::operator()...;
    };
    template <class... Ts>
    Overloaded(Ts...) -> Overloaded<Ts...>;

    void writeMoves(capnp::List<wire::PlanMove>::Builder list, const std::vector<protocol::PlanMove>& moves)
    {
        for (uint32_t i = 0; i < moves.size(); i++) {
            list[i].setWorker(moves[i].worker);
            list[i].setItem(moves[i].item);
        }
    }

    void writeEntry(wire::Entry::Builder to, const Entry& entry)
    {
        std::visit(Overloaded {
                       [&](const SessionOpen& open) { writeSessionOpen(to.initSessionOpen(), open); },
                       [&](const SessionRenew&) { to.setSessionRenew(); },
                       [&](const SessionExpire& expire) {
                           auto out = to.initSessionExpire();
                           out.setSession(expire.session);
                           out.setLastSeen(expire.lastSeen);
                       },
                       [&](const SessionRelease&) { to.setSessionRelease(); },
                       [&](const WorkerDeclared& worker) { writeWorker(to.initWorkerDeclared(), worker); },
                       [&](const WorkerGone& gone) { to.setWorkerGone(gone.worker); },
                       [&](const LoadIntent& load) {
                           auto out = to.initLoadIntent();
                           out.setWorker(load.worker);
                           out.setItem(load.item);
                           out.setBytes(load.bytes);
                           out.setCopy(load.copy);
                       },
                       [&](const LoadResolved& load) {
                           auto out = to.initLoadResolved();
                           out.setWorker(load.worker);
                           out.setItem(load.item);
                           out.setCopy(load.copy);
                           out.setLoaded(load.loaded);
                           out.setArrived(load.arrived);
                       },
                       [&](const UnloadIntent& unload) {
                           auto out = to.initUnloadIntent();
                           out.setWorker(unload.worker);
                           out.setItem(unload.item);
                           out.setLastCopyAllowed(unload.lastCopyAllowed);
                       },
                       [&](const UnloadResolved& unload) {
                           auto out = to.initUnloadResolved();
                           out.setWorker(unload.worker);
                           out.setItem(unload.item);
                       },
                       [&](const WorkerRestarted& restarted) {
                           auto out = to.initWorkerRestarted();
                           out.setWorker(restarted.worker);
                           out.setIncarnation(restarted.incarnation);
                       },
                       [&](const PlanChange& change) {
                           auto out = to.initPlanChange();
                           writeMoves(out.initAdds(static_cast<uint32_t>(change.adds.size())), change.adds);
                           writeMoves(out.initDrops(static_cast<uint32_t>(change.drops.size())), change.drops);
                           out.setReason(change.reason);
                       },
                       [&](const ActionBegin& begin) {
                           auto out = to.initActionBegin();
                           out.setKeyHigh(begin.key.high);
                           out.setKeyLow(begin.key.low);
                           out.setRequestHash(begin.requestHash);
                           out.setToken(begin.token);
                       },
                       [&](const ActionEnd& end) { writeActionEnd(to.initActionEnd(), end); },
                       [&](const ActionVoid& voided) {
                           auto out = to.initActionVoid();
                           out.setKeyHigh(voided.key.high);
                           out.setKeyLow(voided.key.low);
                           out.setToken(voided.token);
                       },
                       [&](const ActionsForget& forget) { to.setActionsForget(forget.before); },
                       [&](const ConfigPublish& publish) { writePublish(to.initConfigPublish(), publish); },
                       [&](const SnapshotPart& part) {
                           auto out = to.initSnapshotPart();
                           out.setUpTo(part.upTo);
                           out.setPart(part.part);
                           out.setParts(part.parts);
                           out.setData(toData(part.data));
                       },
                   },
            entry);
    }

    std::vector<protocol::PlanMove> readMoves(capnp::List<wire::PlanMove>::Reader list)
    {
        std::vector<protocol::PlanMove> moves;
        for (auto move : list)
            moves.push_back({ text(move.getWorker()), text(move.getItem()) });
        return moves;
    }

    LoadIntent readLoadIntent(wire::LoadIntent::Reader in)
    {
        return { text(in.getWorker()), text(in.getItem()), in.getBytes(), in.getCopy() };
    }

    SnapshotPart readSnapshotPart(wire::SnapshotPart::Reader in)
    {
        return { in.getUpTo(), in.getPart(), in.getParts(), bytes(in.getData()) };
    }

    /// @return nothing if this build does not know the kind of the entry.
    std::optional<Entry> readEntry(wire::Entry::Reader in)
    {
        switch (in.which()) {
        case wire::Entry::SESSION_OPEN:
            return readSessionOpen(in.getSessionOpen());
        case wire::Entry::SESSION_RENEW:
            return SessionRenew {};
        case wire::Entry::SESSION_EXPIRE:
            return SessionExpire { in.getSessionExpire().getSession(), in.getSessionExpire().getLastSeen() };
        case wire::Entry::SESSION_RELEASE:
            return SessionRelease {};
        case wire::Entry::WORKER_DECLARED:
            return readWorker(in.getWorkerDeclared());
        case wire::Entry::WORKER_GONE:
            return WorkerGone { text(in.getWorkerGone()) };
        case wire::Entry::LOAD_INTENT:
            return readLoadIntent(in.getLoadIntent());
        case wire::Entry::LOAD_RESOLVED: {
            auto load = in.getLoadResolved();
            return LoadResolved { text(load.getWorker()), text(load.getItem()), load.getCopy(), load.getArrived(), load.getLoaded() };
        }
        case wire::Entry::UNLOAD_INTENT: {
            auto unload = in.getUnloadIntent();
            return UnloadIntent { text(unload.getWorker()), text(unload.getItem()), unload.getLastCopyAllowed() };
        }
        case wire::Entry::UNLOAD_RESOLVED:
            return UnloadResolved { text(in.getUnloadResolved().getWorker()), text(in.getUnloadResolved().getItem()) };
        case wire::Entry::WORKER_RESTARTED:
            return WorkerRestarted { text(in.getWorkerRestarted().getWorker()), in.getWorkerRestarted().getIncarnation() };
        case wire::Entry::PLAN_CHANGE: {
            auto change = in.getPlanChange();
            return PlanChange { readMoves(change.getAdds()), readMoves(change.getDrops()), text(change.getReason()) };
        }
        case wire::Entry::ACTION_BEGIN: {
            auto begin = in.getActionBegin();
            return ActionBegin { { begin.getKeyHigh(), begin.getKeyLow() }, begin.getRequestHash(), begin.getToken() };
        }
        case wire::Entry::ACTION_END:
            return readActionEnd(in.getActionEnd());
        case wire::Entry::ACTION_VOID: {
            auto voided = in.getActionVoid();
            return ActionVoid { { voided.getKeyHigh(), voided.getKeyLow() }, voided.getToken() };
        }
        case wire::Entry::ACTIONS_FORGET:
            return ActionsForget { in.getActionsForget() };
        case wire::Entry::CONFIG_PUBLISH:
            return readPublish(in.getConfigPublish());
        case wire::Entry::SNAPSHOT_PART:
            return readSnapshotPart(in.getSnapshotPart());
        }
        return std::nullopt;
    }

    /// Versions start at 1: a version of 0 means that the field is missing.
    Result<Envelope, RecordError> readEnvelope(wire::Envelope::Reader in)
    {
        if (in.getVersion() == 0)
            return RecordError::Invalid;
        if (in.getVersion() > recordVersion)
            return RecordError::TooNew;
        Envelope envelope;
        envelope.id = { in.getIdHigh(), in.getIdLow() };
        envelope.session = in.getSession();
        for (auto entry : in.getEntries()) {
            auto decoded = readEntry(entry);
            if (!decoded)
                return RecordError::UnknownEntry;
            envelope.entries.push_back(std::move(*decoded));
        }
        return envelope;
    }

} // namespace

// Functions shared with the snapshot codec.

std::string text(capnp::Text::Reader reader)
{
    return { reader.begin(), reader.size() };
}

std::string bytes(capnp::Data::Reader reader)
{
    return { reinterpret_cast<const char*>(reader.begin()), reader.size() };
}

capnp::Data::Reader toData(std::string_view view)
{
    return { reinterpret_cast<const kj::byte*>(view.data()), view.size() };
}

std::string pack(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    auto array = stream.getArray();
    return { reinterpret_cast<const char*>(array.begin()), array.size() };
}

void writeSessionOpen(wire::SessionOpen::Builder to, const SessionOpen& open)
{
    to.setNode(open.node);
    to.setHttp(open.http);
    to.setRpc(open.rpc);
    to.setDataCentre(open.dataCentre);
    to.setTtlMs(static_cast<uint32_t>(open.ttl.count()));
}

SessionOpen readSessionOpen(wire::SessionOpen::Reader in)
{
    return { text(in.getNode()), text(in.getHttp()), text(in.getRpc()), text(in.getDataCentre()), std::chrono::milliseconds { in.getTtlMs() } };
}

void writeWorker(wire::WorkerDeclared::Builder to, const WorkerDeclared& worker)
{
    to.setWorker(worker.worker);
    to.setEndpoint(worker.endpoint);
    to.setDataCentre(worker.dataCentre);
    to.setCapacity(worker.capacity);
    to.setIncarnation(worker.incarnation);
}

WorkerDeclared readWorker(wire::WorkerDeclared::Reader in)
{
    return { text(in.getWorker()), text(in.getEndpoint()), text(in.getDataCentre()), in.getCapacity(), in.getIncarnation() };
}

void writeActionEnd(wire::ActionEnd::Builder to, const ActionEnd& end)
{
    to.setKeyHigh(end.key.high);
    to.setKeyLow(end.key.low);
    to.setToken(end.token);
    to.setStatus(end.status);
    to.setContentType(end.contentType);
    to.setBody(toData(end.body));
    to.setBodyKept(end.bodyStored);
}

ActionEnd readActionEnd(wire::ActionEnd::Reader in)
{
    return { { in.getKeyHigh(), in.getKeyLow() }, in.getToken(), in.getStatus(), text(in.getContentType()), bytes(in.getBody()), in.getBodyKept() };
}

void writePublish(wire::ConfigPublish::Builder to, const ConfigPublish& publish)
{
    to.setService(publish.service);
    to.setBased(publish.base.has_value());
    to.setBase(publish.base.value_or(0));
    to.setText(publish.text);
    to.setAuthor(publish.author);
    to.setRemove(publish.remove);
}

ConfigPublish readPublish(wire::ConfigPublish::Reader in)
{
    ConfigPublish publish { text(in.getService()), std::nullopt, text(in.getText()), text(in.getAuthor()), in.getRemove() };
    if (in.getBased())
        publish.base = in.getBase();
    return publish;
}

RecordId makeRandomId()
{
    thread_local std::mt19937_64 generator = [] {
        std::random_device device;
        std::seed_seq seed { device(), device(), device(), device() };
        return std::mt19937_64 { seed };
    }();
    return { generator(), generator() };
}

const char* name(RecordError error)
{
    constexpr std::array<const char*, static_cast<size_t>(RecordError::Count)> names { "truncated", "too_new", "unknown_entry", "invalid" };
    return names[static_cast<size_t>(error)];
}

std::string encodeEnvelope(const Envelope& envelope)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Envelope>();
    root.setVersion(recordVersion);
    root.setIdHigh(envelope.id.high);
    root.setIdLow(envelope.id.low);
    root.setSession(envelope.session);
    auto entries = root.initEntries(static_cast<uint32_t>(envelope.entries.size()));
    for (uint32_t i = 0; i < envelope.entries.size(); i++)
        writeEntry(entries[i], envelope.entries[i]);
    return pack(message);
}

Result<Envelope, RecordError> decodeEnvelope(std::string_view bytes)
{
    return unpack<wire::Envelope, Envelope>(bytes, readEnvelope);
}

} // namespace comfreypier::protocol
