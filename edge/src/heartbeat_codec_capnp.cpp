/// Encodes heartbeats and member records as packed Cap'n Proto messages.
#include "heartbeat_codec.h"

#include "beat.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>

namespace comfreypier::edge {

namespace {

    std::string encodeMessage(capnp::MessageBuilder& message)
    {
        kj::VectorOutputStream out;
        capnp::writePackedMessage(out, message);
        auto bytes = out.getArray();
        return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
    }

    /// Maximum number of words (8 bytes each) that are read of a message. Packed, a message of this size is larger than a datagram, unless it
    /// consists of zeros.
    constexpr uint64_t maxTraversalWords = 2 * transport::maxDatagramBytes;

    /// Decodes a message and passes its root to `read`.
    /// @return false if the bytes are no valid message of this type.
    template <class Root, class Read>
    bool decodeMessage(std::string_view bytes, Read&& read)
    {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        auto exception = kj::runCatchingExceptions([&] {
            capnp::ReaderOptions options;
            options.traversalLimitInWords = maxTraversalWords;
            capnp::PackedMessageReader reader(in, options);
            read(reader.getRoot<Root>());
        });
        return exception == nullptr;
    }

    std::string toStdString(capnp::Text::Reader reader)
    {
        return { reader.cStr(), reader.size() };
    }

    /// Converts a number of tokens to the 32-bit integer that a heartbeat carries, limited to slightly less than its maximum.
    uint32_t clampTokens(double tokens)
    {
        return static_cast<uint32_t>(std::clamp(tokens, 0.0, 4e9));
    }

    uint32_t toAgeMs(routing::Time age)
    {
        return static_cast<uint32_t>(std::clamp<int64_t>(std::chrono::duration_cast<milliseconds>(age).count(), 0, UINT32_MAX));
    }

    /// Writes missing items or adapters in use.
    void fillItems(capnp::List<wire::Want>::Builder list, const std::vector<MissingItem>& items)
    {
        for (unsigned i = 0; i < items.size(); i++) {
            list[i].setWorker(items[i].worker);
            list[i].setModel(items[i].model);
            list[i].setAdapter(items[i].adapter);
        }
    }

    void readItems(capnp::List<wire::Want>::Reader list, std::vector<MissingItem>& items)
    {
        for (auto item : list)
            items.push_back({ toStdString(item.getWorker()), toStdString(item.getModel()), toStdString(item.getAdapter()) });
    }

    /// Returns a list field of a heartbeat, or a list outside of it if it is empty: an empty one takes bytes as well.
    template <class Builder>
    Builder initList(wire::Beat::Builder& root, Builder (wire::Beat::Builder::*init)(unsigned), size_t size)
    {
        return size == 0 ? Builder() : (root.*init)(static_cast<unsigned>(size));
    }

    void fillQuota(wire::Beat::Builder root, const QuotaMessage& message)
    {
        auto asks = initList(root, &wire::Beat::Builder::initQuotaAsks, message.asks.size());
        for (unsigned i = 0; i < message.asks.size(); i++) {
            asks[i].setAccount(message.asks[i].account);
            asks[i].setNumber(message.asks[i].number);
            asks[i].setCost(message.asks[i].cost);
        }
        auto answers = initList(root, &wire::Beat::Builder::initQuotaAnswers, message.answers.size());
        for (unsigned i = 0; i < message.answers.size(); i++) {
            answers[i].setNumber(message.answers[i].number);
            answers[i].setOutcome(static_cast<uint8_t>(message.answers[i].answer.outcome));
            answers[i].setRetryAfterMs(toAgeMs(std::chrono::ceil<milliseconds>(message.answers[i].answer.retryAfter)));
        }
        auto levels = initList(root, &wire::Beat::Builder::initQuotaLevels, message.levels.size());
        for (unsigned i = 0; i < message.levels.size(); i++) {
            const auto& report = message.levels[i];
            levels[i].setAccount(report.account);
            levels[i].setKnown(report.known);
            levels[i].setLevel(report.level);
            levels[i].setCharged(report.charged);
            levels[i].setReceiver(report.receiver);
            levels[i].setSeen(report.seen);
            levels[i].setSentAt(report.sentAt.count());
            levels[i].setAnswers(report.answers.count());
            levels[i].setWantsAnswer(report.wantsAnswer);
        }
        auto returns = initList(root, &wire::Beat::Builder::initQuotaReturns, message.returns.size());
        for (unsigned i = 0; i < message.returns.size(); i++)
            returns.set(i, message.returns[i]);
    }

    void readQuota(wire::Beat::Reader root, QuotaMessage& message)
    {
        // Negative costs, and numbers that are none, come from no VM.
        for (auto item : root.getQuotaAsks()) {
            if (item.getCost() >= 0)
                message.asks.push_back({ toStdString(item.getAccount()), item.getNumber(), item.getCost() });
        }
        for (auto item : root.getQuotaAnswers()) {
            if (item.getOutcome() < static_cast<uint8_t>(accounts::ChargeOutcome::Count))
                message.answers.push_back({ item.getNumber(), { static_cast<accounts::ChargeOutcome>(item.getOutcome()), milliseconds { item.getRetryAfterMs() } } });
        }
        for (auto item : root.getQuotaLevels()) {
            if (std::isfinite(item.getLevel()) && std::isfinite(item.getCharged()) && std::isfinite(item.getSeen()))
                message.levels.push_back({ toStdString(item.getAccount()), item.getKnown(), item.getLevel(), item.getCharged(), accounts::Time { item.getSentAt() }, item.getReceiver(), item.getSeen(), accounts::Time { item.getAnswers() }, item.getWantsAnswer() });
        }
        for (auto number : root.getQuotaReturns())
            message.returns.push_back(number);
    }

    /// Writes the list fields of a heartbeat.
    void fillLists(wire::Beat::Builder root, const Heartbeat& heartbeat)
    {
        auto loads = initList(root, &wire::Beat::Builder::initLoads, heartbeat.loads.size());
        unsigned i = 0;
        for (const auto& [worker, load] : heartbeat.loads) {
            auto item = loads[i++];
            item.setWorker(worker);
            item.setPrefillTokens(clampTokens(load.prefillTokens));
            item.setMemoryTokens(clampTokens(load.memoryTokens));
            item.setRequests(static_cast<uint16_t>(std::min(load.requests, 65535U)));
        }
        auto outcomes = initList(root, &wire::Beat::Builder::initOutcomes, heartbeat.outcomes.size());
        i = 0;
        for (const auto& [worker, outcome] : heartbeat.outcomes) {
            auto item = outcomes[i++];
            item.setWorker(worker);
            item.setFailed(static_cast<float>(outcome.failures));
            item.setAnswered(static_cast<float>(outcome.total));
        }
        auto sent = initList(root, &wire::Beat::Builder::initSent, heartbeat.sentPrefixes.size());
        for (i = 0; i < heartbeat.sentPrefixes.size(); i++) {
            sent[i].setWorker(heartbeat.sentPrefixes[i].worker);
            sent[i].setChain(heartbeat.sentPrefixes[i].hash);
            sent[i].setTokens(heartbeat.sentPrefixes[i].tokens);
        }
        auto demand = initList(root, &wire::Beat::Builder::initDemand, heartbeat.demand.size());
        i = 0;
        for (const auto& [model, work] : heartbeat.demand) {
            demand[i].setModel(model);
            demand[i++].setWork(static_cast<float>(work));
        }
        fillItems(initList(root, &wire::Beat::Builder::initWants, heartbeat.missingItems.size()), heartbeat.missingItems);
        fillItems(initList(root, &wire::Beat::Builder::initUsed, heartbeat.usedAdapters.size()), heartbeat.usedAdapters);
        auto resident = initList(root, &wire::Beat::Builder::initResident, heartbeat.resident.size());
        i = 0;
        for (const auto& [worker, items] : heartbeat.resident) {
            auto entry = resident[i++];
            entry.setWorker(worker);
            auto list = entry.initItems(static_cast<unsigned>(items.size()));
            unsigned k = 0;
            for (const auto& item : items)
                list.set(k++, item);
        }
        auto entries = initList(root, &wire::Beat::Builder::initEntries, heartbeat.forwardedEntries.size());
        for (i = 0; i < heartbeat.forwardedEntries.size(); i++) {
            const auto& entry = heartbeat.forwardedEntries[i];
            entries[i].setWorker(entry.worker);
            entries[i].setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(entry.value.data()), entry.value.size()));
            entries[i].setOffset(entry.offset);
            entries[i].setNumber(entry.number);
            entries[i].setEra(entry.era);
            entries[i].setFromCopy(entry.fromCopy);
        }
        auto limits = initList(root, &wire::Beat::Builder::initLimits, heartbeat.limitReports.size());
        for (i = 0; i < heartbeat.limitReports.size(); i++) {
            limits[i].setWorker(heartbeat.limitReports[i].worker);
            limits[i].setLimit(heartbeat.limitReports[i].limit);
            limits[i].setAgeMs(toAgeMs(heartbeat.limitReports[i].age));
        }
        auto leavingWorkers = initList(root, &wire::Beat::Builder::initLeavingWorkers, heartbeat.leaveReports.size());
        for (i = 0; i < heartbeat.leaveReports.size(); i++)
            leavingWorkers.set(i, heartbeat.leaveReports[i]);
        auto reports = initList(root, &wire::Beat::Builder::initCrashes, heartbeat.crashReports.size());
        for (i = 0; i < heartbeat.crashReports.size(); i++) {
            const auto& report = heartbeat.crashReports[i];
            reports[i].setKind(static_cast<uint8_t>(report.cause.kind));
            reports[i].setCause(report.cause.id);
            reports[i].setCrash(report.crash);
            reports[i].setAgeMs(toAgeMs(report.age));
            reports[i].setCleared(report.cleared);
            reports[i].setAnsweredBefore(report.answeredBefore);
        }
    }

    /// Reads the list fields of a heartbeat.
    void readLists(wire::Beat::Reader root, Heartbeat& heartbeat)
    {
        for (auto item : root.getLoads())
            heartbeat.loads[item.getWorker()] = { static_cast<double>(item.getPrefillTokens()), static_cast<double>(item.getMemoryTokens()), item.getRequests() };
        for (auto item : root.getOutcomes())
            heartbeat.outcomes[item.getWorker()] = { item.getFailed(), item.getAnswered(), {} };
        for (auto item : root.getSent())
            heartbeat.sentPrefixes.push_back({ item.getWorker(), item.getChain(), item.getTokens() });
        for (auto item : root.getDemand())
            heartbeat.demand[toStdString(item.getModel())] = item.getWork();
        readItems(root.getWants(), heartbeat.missingItems);
        readItems(root.getUsed(), heartbeat.usedAdapters);
        for (auto entry : root.getResident()) {
            auto& items = heartbeat.resident[toStdString(entry.getWorker())];
            for (auto item : entry.getItems())
                items.insert(toStdString(item));
        }
        for (auto item : root.getEntries()) {
            auto value = item.getValue();
            heartbeat.forwardedEntries.push_back({ toStdString(item.getWorker()), std::string(reinterpret_cast<const char*>(value.begin()), value.size()), item.getOffset(), item.getNumber(), std::max(item.getEra(), ownership::firstEra), item.getFromCopy() });
        }
        for (auto item : root.getLimits()) {
            // Not a number, or a negative one, is no limit that a VM sends.
            if (item.getLimit() >= 0)
                heartbeat.limitReports.push_back({ item.getWorker(), item.getLimit(), milliseconds { item.getAgeMs() } });
        }
        for (auto worker : root.getLeavingWorkers())
            heartbeat.leaveReports.push_back(worker);
        for (auto item : root.getCrashes()) {
            // Kinds of a newer version are skipped.
            if (item.getKind() < static_cast<uint8_t>(routing::CrashCause::Kind::Count))
                heartbeat.crashReports.push_back({ { static_cast<routing::CrashCause::Kind>(item.getKind()), item.getCause() }, item.getCrash(), milliseconds { item.getAgeMs() }, item.getCleared(), item.getAnsweredBefore() });
        }
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
    return encodeMessage(message);
}

std::optional<Member> decodeMember(std::string_view bytes)
{
    Member member;
    bool valid = false;
    bool decoded = decodeMessage<wire::Member>(bytes, [&](wire::Member::Reader root) {
        auto inner = transport::parseEndpoint(toStdString(root.getInner()));
        auto front = transport::parseEndpoint(toStdString(root.getFront()));
        valid = inner.has_value() && front.has_value() && std::isfinite(root.getCapacity()) && root.getCapacity() >= 0;
        if (!valid)
            return;
        member = { root.getIncarnation(), inner.value(), front.value(), toStdString(root.getDataCentre()), root.getCapacity() };
    });
    return decoded && valid ? std::optional(member) : std::nullopt;
}

std::string encodeHeartbeat(const Heartbeat& heartbeat)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Beat>();
    root.setNode(heartbeat.node);
    root.setIncarnation(heartbeat.incarnation);
    root.setNumber(heartbeat.sequence);
    root.setReady(heartbeat.ready);
    root.setLeaving(heartbeat.draining);
    root.setStrained(heartbeat.overloaded);
    root.setLeaseToken(heartbeat.leaseToken);
    root.setPartial(heartbeat.partial);
    root.setReadsWorkers(heartbeat.readsWorkers);
    root.setReadsConfiguration(heartbeat.readsConfiguration);
    if (heartbeat.member) {
        auto member = encodeMember(*heartbeat.member);
        root.setMember(kj::arrayPtr(reinterpret_cast<const kj::byte*>(member.data()), member.size()));
    }
    root.setLeaseOffset(heartbeat.leasePosition.offset);
    root.setLeaseEra(heartbeat.leasePosition.era);
    root.setStoreEra(heartbeat.storeEra);
    root.setConfigVersion(heartbeat.configVersion);
    root.setForwardedCount(heartbeat.forwardedCount);
    if (!heartbeat.summaryOf.empty())
        root.setSummaryOf(heartbeat.summaryOf);
    root.setRelayed(heartbeat.relayed);
    fillLists(root, heartbeat);
    if (!heartbeat.quota.isEmpty())
        fillQuota(root, heartbeat.quota);
    return encodeMessage(message);
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    Heartbeat heartbeat;
    bool decoded = decodeMessage<wire::Beat>(bytes, [&heartbeat](wire::Beat::Reader root) {
        heartbeat.node = toStdString(root.getNode());
        heartbeat.incarnation = root.getIncarnation();
        heartbeat.sequence = root.getNumber();
        heartbeat.ready = root.getReady();
        heartbeat.draining = root.getLeaving();
        heartbeat.overloaded = root.getStrained();
        heartbeat.leaseToken = root.getLeaseToken();
        heartbeat.partial = root.getPartial();
        heartbeat.readsWorkers = root.getReadsWorkers();
        heartbeat.readsConfiguration = root.getReadsConfiguration();
        auto member = root.getMember();
        if (member.size() > 0)
            heartbeat.member = decodeMember({ reinterpret_cast<const char*>(member.begin()), member.size() });
        heartbeat.leasePosition = { std::max(root.getLeaseEra(), ownership::firstEra), root.getLeaseOffset() };
        heartbeat.storeEra = root.getStoreEra();
        heartbeat.configVersion = root.getConfigVersion();
        heartbeat.forwardedCount = root.getForwardedCount();
        heartbeat.summaryOf = toStdString(root.getSummaryOf());
        heartbeat.relayed = root.getRelayed();
        readLists(root, heartbeat);
        readQuota(root, heartbeat.quota);
    });
    return decoded && !heartbeat.node.empty() ? std::optional(std::move(heartbeat)) : std::nullopt;
}

} // namespace comfreypier::edge
