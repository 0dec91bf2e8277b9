#include "store_task.h"

#include <algorithm>

namespace comfreypier::edge {

namespace {

    const char* name(platform::Stream stream)
    {
        constexpr std::array<const char*, static_cast<size_t>(platform::Stream::Count)> names { "configuration", "workers", "members", "lease" };
        return names[static_cast<size_t>(stream)];
    }

} // namespace

StoreTask::StoreTask(Vm& vm, MemberListener onMembers, WorkerListener onWorkerGone, ConfigurationListener onConfiguration, RestorationListener onRestored, EntryListener onEntry, PeerReads peerReads)
    : vm(vm)
    , onMembers(std::move(onMembers))
    , onWorkerGone(std::move(onWorkerGone))
    , onConfiguration(std::move(onConfiguration))
    , onRestored(std::move(onRestored))
    , onEntry(std::move(onEntry))
    , peerReads(std::move(peerReads))
{
    this->vm.storeEra.subscribe([this](uint64_t era, bool restored) { this->onEra(era, restored); });
}

void StoreTask::onEra(uint64_t era, bool restored)
{
    if (!restored) {
        this->log.info("event=store_era era=" + std::to_string(era));
        return;
    }
    this->log.warn("event=store_restored era=" + std::to_string(era));
    this->restoredAt = monotonicNow();
    this->restartPendingReads("restored");
    this->onRestored();
}

void StoreTask::followConfiguration()
{
    this->followStream({ platform::Stream::Configuration, longPollTimeout, [] { return configurationReadInterval; }, [this](const auto& page, bool) { this->applyConfigurations(page); }, [this] { return this->isFollowingDelegated(); }, delegatedConfigurationInterval });
}

void StoreTask::applyConfigurations(const platform::StorePage& page)
{
    for (const auto& record : page.records) {
        if (record.key == platform::configurationKey() && record.value)
            this->applyConfiguration(record, page.era);
    }
}

void StoreTask::refreshIfOlderThan(uint64_t version)
{
    auto now = monotonicNow();
    if (this->hasConfiguration(version) || this->refreshesConfiguration || now - this->newerVersionReadAt < newerVersionReadDelay)
        return;
    this->newerVersionReadAt = now;
    this->refreshesConfiguration = true;
    transport::spawnOnCurrentThread([this, version] {
        this->refreshConfiguration(version);
        this->refreshesConfiguration = false;
    });
}

bool StoreTask::hasConfiguration(uint64_t version) const
{
    auto configuration = this->vm.fleet.configuration();
    return configuration ? configuration->version >= version : version == 0;
}

bool StoreTask::isStoreFailing() const
{
    return this->streamFailing[static_cast<size_t>(platform::Stream::Configuration)] || this->streamFailing[static_cast<size_t>(platform::Stream::Workers)];
}

void StoreTask::refreshConfiguration(uint64_t version)
{
    auto bound = this->vm.settings.configurationBound;
    // VMs that don't answer leave enough of the bound for the next ones and a read of the store.
    if ((this->isStoreFailing() || this->isFollowingDelegated()) && this->fetchConfiguration(version, bound / 8))
        return;
    // The read loop usually reads the new version within this delay. If it does not, its read may hang on a dead connection,
    // and pooled connections may be dead too.
    sleepFor(newerVersionReadDelay);
    if (this->hasConfiguration(version))
        return;
    if (auto page = this->readOnNewConnection(platform::Stream::Configuration))
        this->applyConfigurationsAside(*page);
    if (!this->hasConfiguration(version))
        this->fetchConfiguration(version, bound / 2);
}

bool StoreTask::fetchConfiguration(uint64_t version, milliseconds answerLimit)
{
    for (const auto& source : this->peerReads.configurationSources(version)) {
        transport::CallLimits limits;
        limits.connect = std::min(platform::storeConnectTimeout, answerLimit);
        limits.response = answerLimit;
        limits.body = this->vm.settings.configurationBound / 2;
        limits.maxBodyBytes = platform::maxStoreResponseBytes;
        limits.freshConnection = true;
        limits.memory = &this->vm.storeMemory;
        auto response = this->vm.controlClient.call(source.address, makeConfigurationRequest(this->peerReads.self), limits);
        auto record = response ? decodeConfigurationResponse(response.value()) : std::nullopt;
        this->log.info("event=configuration_fetched node=" + transport::escapeForLog(source.node) + " version=" + std::to_string(record ? record->version : 0)
            + " outcome=" + (record ? "read" : response ? "refused"
                                                        : transport::name(response.error())));
        if (record) {
            increment(this->vm.counters, CountedEvent::ConfigurationsFetched);
            this->applyConfiguration({ std::string(platform::configurationKey()), std::move(record->value), record->position.offset }, record->position.era);
        }
        if (this->hasConfiguration(version))
            return true;
    }
    return false;
}

Time StoreTask::configurationCheckInterval() const
{
    Time bound = this->vm.settings.configurationBound;
    return std::max(bound - configurationCheckReserve, std::chrono::duration_cast<Time>(bound * minConfigurationCheckShare));
}

bool StoreTask::hasReadConfigurationRecently() const
{
    return monotonicNow() - this->configurationReadAt < this->configurationCheckInterval() + 2 * workerReadInterval;
}

bool StoreTask::isFollowingDelegated() const
{
    // After a restoration each VM reads all streams anew.
    return monotonicNow() - this->restoredAt >= entryRecoveryTime && this->peerReads.storeFollowed();
}

void StoreTask::checkConfiguration()
{
    if (this->checksConfiguration || this->isFollowingDelegated() || monotonicNow() - this->configurationReadAt < this->configurationCheckInterval())
        return;
    this->checksConfiguration = true;
    transport::spawnOnCurrentThread([this] {
        if (auto page = this->readOnNewConnection(platform::Stream::Configuration, this->configurationNext))
            this->applyConfigurationsAside(*page);
        this->checksConfiguration = false;
    });
}

void StoreTask::applyConfigurationsAside(const platform::StorePage& page)
{
    auto version = [this] {
        auto configuration = this->vm.fleet.configuration();
        return configuration ? configuration->version : 0;
    };
    auto before = version();
    this->applyConfigurations(page);
    if (version() != before)
        this->restartPendingReads("configuration");
}

void StoreTask::restartPendingReads(const char* reason)
{
    this->log.info(std::string("event=pending_reads_restarted reason=") + reason);
    this->vm.client.closeIdleConnections(this->vm.store().address);
    for (const auto& read : this->pendingReads) {
        if (read)
            read->cancel();
    }
}

void StoreTask::refreshMembers()
{
    if (std::exchange(this->readsMembersAside, true))
        return;
    transport::spawnOnCurrentThread([this] {
        if (auto page = this->readOnNewConnection(platform::Stream::Members))
            this->applyMembers(*page, true);
        this->readsMembersAside = false;
    });
}

platform::Result<platform::StorePage> StoreTask::readPage(platform::Store store, platform::Stream stream, std::optional<LogPosition>& next, milliseconds maxWait)
{
    auto& era = this->vm.storeEra;
    auto isOutdated = [&era](auto& page) {
        page.era = era.resolve(page.era);
        return page.era != era.current();
    };
    if (next && next->era == era.current()) {
        increment(this->vm.counters, CountedEvent::StoreCalls);
        auto page = platform::readFrom(store, stream, next->offset, maxWait);
        if (next->era == era.current()) {
            if (page && isOutdated(page.value()))
                return platform::StoreError::Expired;
            return page;
        }
        this->log.info(std::string("event=store_read_discarded stream=") + name(stream) + " from=" + std::to_string(next->offset) + " era=" + std::to_string(next->era) + " outcome=" + (page ? "read" : platform::name(page.error())));
    }
    next.reset();
    store.cancel = nullptr; // This read does not wait.
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto page = platform::readLatest(store, stream);
    if (page && isOutdated(page.value()))
        return platform::StoreError::Expired;
    return page;
}

std::optional<platform::StorePage> StoreTask::readOnNewConnection(platform::Stream stream, std::optional<LogPosition> next)
{
    auto store = this->vm.store();
    store.freshConnection = true;
    auto page = this->readPage(store, stream, next, milliseconds { 0 });
    if (!page)
        increment(this->vm.counters, CountedEvent::StoreFailures);
    else if (stream == platform::Stream::Configuration)
        this->configurationReadAt = monotonicNow();
    // Most checks of the configuration find nothing.
    if (!page || !page.value().records.empty())
        this->log.info(std::string("event=store_read_aside stream=") + name(stream) + " address=" + transport::toString(store.address) + " era=" + std::to_string(this->vm.storeEra.current()) + " outcome=" + (page ? "read" : platform::name(page.error())));
    return page ? std::optional(std::move(page.value())) : std::nullopt;
}

void StoreTask::onStoreAddressChanged()
{
    this->addressChanges++;
    this->configurationNext.reset();
    this->workersFullReadEnd = {};
    this->vm.fleet.forgetPositions();
    this->restartPendingReads("address");
    // A read loop may be waiting before its next read, so these streams are read at once.
    transport::spawnOnCurrentThread([this] {
        if (auto page = this->readOnNewConnection(platform::Stream::Configuration))
            this->applyConfigurations(*page);
        if (auto page = this->readOnNewConnection(platform::Stream::Workers))
            this->applyWorkers(*page, true);
    });
}

void StoreTask::followWorkers()
{
    this->followStream({ platform::Stream::Workers, milliseconds { 0 }, [] { return workerReadInterval; }, [this](const auto& page, bool fullRead) { this->applyWorkers(page, fullRead); }, [this] { return this->isWorkerReadDelegated(); }, delegatedReadInterval });
}

void StoreTask::followMembers()
{
    this->followStream({ platform::Stream::Members, longPollTimeout, [] { return memberReadInterval; }, [this](const auto& page, bool fullRead) { this->applyMembers(page, fullRead); }, [this] { return this->isFollowingDelegated(); }, delegatedMemberInterval });
}

void StoreTask::followStream(const StreamReader& reader)
{
    std::optional<LogPosition> next;
    auto retryDelay = storeRetryDelay;
    bool succeeded = true;
    Time readAt { 0 };
    auto addressChanges = this->addressChanges;
    while (!this->vm.status.stopping) {
        // Offsets are valid only in the store that assigned them.
        if (std::exchange(addressChanges, this->addressChanges) != this->addressChanges)
            next.reset();
        if (next && next->era != this->vm.storeEra.current())
            next.reset();
        bool isDelegated = next && reader.isDelegated && reader.isDelegated();
        if (succeeded && isDelegated && monotonicNow() - readAt < reader.delegatedInterval) {
            sleepFor(reader.interval());
            continue;
        }
        succeeded = this->readOnce(reader, next, !succeeded || isDelegated);
        if (succeeded)
            readAt = monotonicNow();
        if (reader.stream == platform::Stream::Configuration)
            this->configurationNext = next;
        if (succeeded)
            retryDelay = storeRetryDelay;
        sleepFor(succeeded ? reader.interval() : retryDelay);
        if (!succeeded)
            retryDelay = std::min(2 * retryDelay, maxStoreRetryDelay);
    }
}

bool StoreTask::readOnce(const StreamReader& reader, std::optional<LogPosition>& next, bool immediate)
{
    // A read after a failure does not wait for new records, so that its answer shows at once whether the store is back.
    auto maxWait = immediate ? milliseconds { 0 } : reader.maxWait;
    auto beganAt = monotonicNow();
    auto addressChanges = this->addressChanges;
    auto store = this->vm.store();
    auto cancel = std::make_shared<transport::CancelToken>();
    store.cancel = cancel.get();
    this->pendingReads[static_cast<size_t>(reader.stream)] = next && maxWait > milliseconds { 0 } ? cancel : nullptr;
    auto page = this->readPage(store, reader.stream, next, maxWait);
    this->pendingReads[static_cast<size_t>(reader.stream)] = nullptr;
    bool fullRead = !next;
    // Read again from the same offset. After a restoration the stream has been read in full instead.
    if (addressChanges != this->addressChanges || (cancel->isCancelled() && !fullRead))
        return true;
    if (!page) {
        // After these two errors the stream is read on from the same position. After any other error the next read is a full one: the
        // newest record of each key replaces those that the store has dropped.
        if (page.error() != platform::StoreError::NotApplied && page.error() != platform::StoreError::NoAnswer)
            next.reset();
        this->updateStreamState(reader.stream, false, platform::name(page.error()));
        // The store answered that the records have expired, so the full read needs no retry delay.
        return page.error() == platform::StoreError::Expired;
    }
    this->updateStreamState(reader.stream, true, "");
    next = LogPosition { page.value().era, page.value().nextOffset };
    reader.apply(page.value(), fullRead);
    if (reader.stream == platform::Stream::Configuration)
        this->configurationReadAt = monotonicNow();
    if (reader.stream == platform::Stream::Workers) {
        this->workersReadBeganAt = beganAt;
        this->checkConfiguration();
    }
    return true;
}

void StoreTask::updateStreamState(platform::Stream stream, bool succeeded, const std::string& detail)
{
    if (!succeeded) {
        increment(this->vm.counters, CountedEvent::StoreFailures);
    }
    auto& wasFailing = this->streamFailing[static_cast<size_t>(stream)];
    if (std::exchange(wasFailing, !succeeded) == !succeeded)
        return;
    if (succeeded && stream == platform::Stream::Workers)
        this->workersStreamRegainedAt = monotonicNow();
    if (succeeded)
        this->log.info(std::string("event=store_regained stream=") + name(stream) + " era=" + std::to_string(this->vm.storeEra.current()));
    else
        this->log.warn(std::string("event=store_lost stream=") + name(stream) + " error=" + detail);
}

void StoreTask::applyConfiguration(const platform::StoreRecord& record, uint64_t era)
{
    std::string fault;
    auto configuration = platform::decodeConfiguration(*record.value, fault);
    if (!configuration) {
        this->log.error("event=configuration_unreadable offset=" + std::to_string(record.offset) + " fault=\"" + fault + "\"");
        return;
    }
    auto version = configuration->version;
    auto routes = configuration->routes.size();
    bool applied = this->vm.fleet.applyConfiguration(std::move(*configuration));
    if (applied) {
        increment(this->vm.counters, CountedEvent::ConfigurationsApplied);
        this->vm.fleet.setConfigurationRecord(std::make_shared<const ConfigurationRecord>(ConfigurationRecord { *record.value, version, { era, record.offset } }));
        this->onConfiguration(*this->vm.fleet.configuration());
    }
    this->log.info(std::string("event=configuration version=") + std::to_string(version) + " routes=" + std::to_string(routes) + " era=" + std::to_string(era) + " offset=" + std::to_string(record.offset) + " outcome=" + (applied ? "in_force" : "older"));
}

Time StoreTask::entryGracePeriod() const
{
    return std::max(Time { 0 }, std::max(this->workersStreamRegainedAt, this->restoredAt) + entryRecoveryTime - monotonicNow());
}

bool StoreTask::isWorkerReadDelegated() const
{
    // Workers write their entries again after a restoration. Those that bring nothing new to the readers are not forwarded.
    if (monotonicNow() - this->restoredAt < entryRecoveryTime)
        return false;
    return this->vm.status.workersKnown && this->peerReads.workersRead(this->workersReadBeganAt);
}

void StoreTask::applyForwardedEntries(const std::vector<ForwardedEntry>& entries)
{
    for (const auto& entry : entries) {
        // A peer may still forward an old record of a worker that has left before this VM started.
        if (LogPosition { entry.era, entry.offset } < this->workersFullReadEnd)
            continue;
        // Most arrive several times, from each reader. Decoding them costs more than all else about a heartbeat.
        if (this->vm.fleet.isOutdated(entry.worker, { entry.era, entry.offset }))
            continue;
        auto value = entry.value.empty() ? std::nullopt : std::optional(entry.value);
        bool fromCopy = entry.fromCopy && !(this->workersCopyEnd && LogPosition { entry.era, entry.offset } >= *this->workersCopyEnd);
        this->applyWorker({ entry.worker, value, entry.offset }, entry.era, fromCopy, this->entryGracePeriod());
    }
    if (!entries.empty())
        this->dropMissingWorkers();
}

void StoreTask::dropMissingWorkers()
{
    for (const auto& worker : this->vm.fleet.dropRemoved(monotonicNow())) {
        this->log.info("event=worker_gone worker=" + transport::escapeForLog(worker.id));
        this->closeIdleConnections(worker.address);
        this->onWorkerGone(worker.id);
    }
    auto next = this->vm.fleet.nextDropAt();
    if (!next || std::exchange(this->dropScheduled, true))
        return;
    transport::spawnOnCurrentThread([this, at = *next] {
        sleepFor(std::max(Time { 0 }, at - monotonicNow()));
        this->dropScheduled = false;
        this->dropMissingWorkers();
    });
}

void StoreTask::closeIdleConnections(const transport::Endpoint& worker)
{
    this->vm.client.closeIdleConnections(worker);
    this->vm.controlClient.closeIdleConnections(worker);
}

void StoreTask::applyWorkers(const platform::StorePage& page, bool fullRead)
{
    auto grace = this->entryGracePeriod();
    LogPosition end { page.era, page.nextOffset };
    if (!this->workersCopyEnd || this->workersCopyEnd->era != page.era)
        this->workersCopyEnd = end;
    // Entries of the first read are not forwarded: the other VMs know them already.
    bool forwardsEntries = this->vm.status.workersKnown;
    std::set<std::string> present;
    for (const auto& record : page.records) {
        present.insert(record.key);
        bool fromCopy = record.offset < this->workersCopyEnd->offset;
        auto news = this->applyWorker(record, page.era, fromCopy, grace);
        if (news != RecordNews::None && forwardsEntries)
            this->onEntry({ record.key, record.value.value_or(""), record.offset, 0, page.era, fromCopy, news == RecordNews::NewWorker });
    }
    if (fullRead) {
        this->workersFullReadEnd = end;
        // As if the last record before the end had removed them: the next one may be theirs.
        auto removalOffset = std::max<uint64_t>(page.nextOffset, 1) - 1;
        for (const auto& id : this->vm.fleet.markRemovedExcept(present, end, monotonicNow(), grace))
            this->onEntry({ id, "", removalOffset, 0, page.era });
    }
    this->dropMissingWorkers();
    this->workersReadAt = monotonicNow();
    this->vm.status.workersKnown = true;
}

StoreTask::RecordNews StoreTask::applyWorker(const platform::StoreRecord& record, uint64_t era, bool fromCopy, Time grace)
{
    auto now = monotonicNow();
    LogPosition position { era, record.offset };
    if (!record.value)
        return this->vm.fleet.markRemoved(record.key, position, now, grace) ? RecordNews::Change : RecordNews::None;
    auto entry = platform::decodeWorkerEntry(record.key, *record.value);
    if (!entry) {
        this->log.warn("event=worker_entry_unreadable worker=" + transport::escapeForLog(record.key) + " offset=" + std::to_string(record.offset));
        return RecordNews::None;
    }
    // Stays false for a worker that was not known.
    bool restarted = false;
    bool known = false;
    transport::Endpoint addressBefore;
    this->vm.fleet.updateWorker(entry->id, [&](routing::Worker& worker) {
        known = true;
        restarted = worker.entry.startedAt != entry->startedAt;
        addressBefore = worker.entry.address;
    });
    auto change = this->vm.fleet.applyEntry(*entry, position, fromCopy, now);
    if (change != EntryChange::None && restarted) {
        this->closeIdleConnections(addressBefore);
        this->onWorkerGone(entry->id);
    }
    // Changes of a worker's models and adapters are neither logged nor forwarded here: the lease holder logs its orders
    // and publishes what the workers hold.
    if (change != EntryChange::Status)
        return RecordNews::None;
    std::string models;
    for (const auto& model : entry->models)
        models += (models.empty() ? "" : ",") + transport::escapeForLog(model.name) + ":" + std::to_string(model.adapters.size());
    this->log.info("event=worker worker=" + transport::escapeForLog(entry->id) + " service=" + transport::escapeForLog(entry->service) + " address=" + transport::toString(entry->address)
        + " state=" + (entry->draining ? "leaving" : "ready") + " started=" + std::to_string(entry->startedAt) + " models=" + models + " cached=" + std::to_string(entry->onDisk.size())
        + " era=" + std::to_string(era) + " offset=" + std::to_string(record.offset));
    return known || entry->draining ? RecordNews::Change : RecordNews::NewWorker;
}

void StoreTask::applyMembers(const platform::StorePage& page, bool fullRead)
{
    MemberRecords members { {}, fullRead, { page.era, page.nextOffset } };
    for (const auto& record : page.records) {
        auto member = record.value ? decodeMember(*record.value) : std::nullopt;
        if (record.value && !member)
            this->log.warn("event=member_unreadable node=" + transport::escapeForLog(record.key) + " offset=" + std::to_string(record.offset));
        members.records.push_back({ record.key, member });
    }
    this->onMembers(members);
    this->vm.status.membersKnown = true;
}

} // namespace comfreypier::edge
