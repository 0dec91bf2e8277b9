/// Beats and member records in Cap'n Proto's flat encoding.
#include "heartbeat_codec.h"

#include "beat.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

namespace comfreypier::edge {

namespace {

    std::string toBytes(capnp::MessageBuilder& message)
    {
        kj::VectorOutputStream out;
        capnp::writePackedMessage(out, message);
        auto bytes = out.getArray();
        return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
    }

    /// Calls `read` with a reader of the bytes. @return false if they are no such message.
    template <class Root, class Read>
    bool readBytes(std::string_view bytes, Read&& read)
    {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        auto fault = kj::runCatchingExceptions([&] {
            capnp::PackedMessageReader reader(in);
            read(reader.getRoot<Root>());
        });
        return fault == nullptr;
    }

    std::string text(capnp::Text::Reader reader)
    {
        return { reader.cStr(), reader.size() };
    }

    uint32_t clampTokens(double tokens)
    {
        return static_cast<uint32_t>(std::clamp(tokens, 0.0, 4e9));
    }

    void fillWants(capnp::List<wire::Want>::Builder list, const std::vector<MissingItem>& wants)
    {
        for (unsigned i = 0; i < wants.size(); i++) {
            list[i].setWorker(wants[i].worker);
            list[i].setModel(wants[i].model);
            list[i].setAdapter(wants[i].adapter);
        }
    }

    void readWants(capnp::List<wire::Want>::Reader list, std::vector<MissingItem>& wants)
    {
        for (auto item : list)
            wants.push_back({ text(item.getWorker()), text(item.getModel()), text(item.getAdapter()) });
    }

    void fillLists(wire::Beat::Builder root, const Heartbeat& beat)
    {
        auto loads = root.initLoads(static_cast<unsigned>(beat.loads.size()));
        unsigned i = 0;
        for (const auto& [worker, load] : beat.loads) {
            auto item = loads[i++];
            item.setWorker(worker);
            item.setPrefillTokens(clampTokens(load.prefillTokens));
            item.setMemoryTokens(clampTokens(load.memoryTokens));
            item.setRequests(static_cast<uint16_t>(std::min(load.requests, 65535U)));
        }
        auto outcomes = root.initOutcomes(static_cast<unsigned>(beat.outcomes.size()));
        i = 0;
        for (const auto& [worker, outcome] : beat.outcomes) {
            auto item = outcomes[i++];
            item.setWorker(worker);
            item.setFailed(static_cast<float>(outcome.failed));
            item.setAnswered(static_cast<float>(outcome.answered));
        }
        auto sent = root.initSent(static_cast<unsigned>(beat.sentPrefixes.size()));
        for (i = 0; i < beat.sentPrefixes.size(); i++) {
            sent[i].setWorker(beat.sentPrefixes[i].worker);
            sent[i].setChain(beat.sentPrefixes[i].chain);
            sent[i].setTokens(beat.sentPrefixes[i].tokens);
        }
        auto demand = root.initDemand(static_cast<unsigned>(beat.demand.size()));
        i = 0;
        for (const auto& [model, work] : beat.demand) {
            demand[i].setModel(model);
            demand[i++].setWork(static_cast<float>(work));
        }
        fillWants(root.initWants(static_cast<unsigned>(beat.missingItems.size())), beat.missingItems);
        fillWants(root.initUsed(static_cast<unsigned>(beat.usedAdapters.size())), beat.usedAdapters);
        auto resident = root.initResident(static_cast<unsigned>(beat.resident.size()));
        i = 0;
        for (const auto& [worker, items] : beat.resident) {
            auto entry = resident[i++];
            entry.setWorker(worker);
            auto list = entry.initItems(static_cast<unsigned>(items.size()));
            unsigned k = 0;
            for (const auto& item : items)
                list.set(k++, item);
        }
        auto entries = root.initEntries(static_cast<unsigned>(beat.forwardedEntries.size()));
        for (i = 0; i < beat.forwardedEntries.size(); i++) {
            const auto& entry = beat.forwardedEntries[i];
            entries[i].setWorker(entry.worker);
            entries[i].setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(entry.value.data()), entry.value.size()));
            entries[i].setOffset(entry.offset);
        }
        auto suspects = root.initSuspects(static_cast<unsigned>(beat.crashesByContent.size()));
        i = 0;
        for (const auto& [content, crashes] : beat.crashesByContent) {
            suspects[i].setContent(content);
            suspects[i++].setCrashes(static_cast<uint8_t>(std::min(crashes, 255U)));
        }
    }

    void readLists(wire::Beat::Reader root, Heartbeat& beat)
    {
        for (auto item : root.getLoads())
            beat.loads[item.getWorker()] = { static_cast<double>(item.getPrefillTokens()), static_cast<double>(item.getMemoryTokens()), item.getRequests() };
        for (auto item : root.getOutcomes())
            beat.outcomes[item.getWorker()] = { item.getFailed(), item.getAnswered(), {} };
        for (auto item : root.getSent())
            beat.sentPrefixes.push_back({ item.getWorker(), item.getChain(), item.getTokens() });
        for (auto item : root.getDemand())
            beat.demand[text(item.getModel())] = item.getWork();
        readWants(root.getWants(), beat.missingItems);
        readWants(root.getUsed(), beat.usedAdapters);
        for (auto entry : root.getResident()) {
            auto& items = beat.resident[text(entry.getWorker())];
            for (auto item : entry.getItems())
                items.insert(text(item));
        }
        for (auto item : root.getEntries()) {
            auto value = item.getValue();
            beat.forwardedEntries.push_back({ text(item.getWorker()), std::string(reinterpret_cast<const char*>(value.begin()), value.size()), item.getOffset() });
        }
        for (auto item : root.getSuspects())
            beat.crashesByContent[item.getContent()] = item.getCrashes();
    }

} // namespace

WorkerKey workerKey(std::string_view worker)
{
    return static_cast<WorkerKey>(routing::hashText(worker));
}

std::string encodeMember(const Member& member)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Member>();
    root.setIncarnation(member.incarnation);
    root.setInner(transport::toString(member.inner));
    root.setFront(transport::toString(member.front));
    root.setDataCentre(member.dataCentre);
    root.setCapacity(static_cast<float>(member.capacity));
    return toBytes(message);
}

std::optional<Member> decodeMember(std::string_view bytes)
{
    Member member;
    bool whole = false;
    bool readable = readBytes<wire::Member>(bytes, [&](wire::Member::Reader root) {
        auto inner = transport::parseEndpoint(text(root.getInner()));
        auto front = transport::parseEndpoint(text(root.getFront()));
        whole = inner.has_value() && front.has_value();
        if (!whole)
            return;
        member = { root.getIncarnation(), inner.value(), front.value(), text(root.getDataCentre()), root.getCapacity() };
    });
    return readable && whole ? std::optional(member) : std::nullopt;
}

std::string encodeHeartbeat(const Heartbeat& beat)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Beat>();
    root.setNode(beat.node);
    root.setIncarnation(beat.incarnation);
    root.setNumber(beat.sequence);
    root.setReady(beat.ready);
    root.setLeaving(beat.draining);
    root.setStrained(beat.overloaded);
    root.setLeaseToken(beat.leaseToken);
    root.setPartial(beat.partial);
    root.setReadsWorkers(beat.readsWorkers);
    root.setLeaseOffset(beat.leaseOffset);
    root.setConfigVersion(beat.configVersion);
    fillLists(root, beat);
    return toBytes(message);
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    Heartbeat beat;
    bool readable = readBytes<wire::Beat>(bytes, [&beat](wire::Beat::Reader root) {
        beat.node = text(root.getNode());
        beat.incarnation = root.getIncarnation();
        beat.sequence = root.getNumber();
        beat.ready = root.getReady();
        beat.draining = root.getLeaving();
        beat.overloaded = root.getStrained();
        beat.leaseToken = root.getLeaseToken();
        beat.partial = root.getPartial();
        beat.readsWorkers = root.getReadsWorkers();
        beat.leaseOffset = root.getLeaseOffset();
        beat.configVersion = root.getConfigVersion();
        readLists(root, beat);
    });
    return readable && !beat.node.empty() ? std::optional(std::move(beat)) : std::nullopt;
}

} // namespace comfreypier::edge
