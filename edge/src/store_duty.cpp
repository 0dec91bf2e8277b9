#include "store_duty.h"

namespace comfreypier::edge {

namespace {

    const char* name(platform::Stream stream)
    {
        constexpr std::array<const char*, static_cast<size_t>(platform::Stream::Count)> names { "configuration", "workers", "members", "lease" };
        return names[static_cast<size_t>(stream)];
    }

} // namespace

StoreDuty::StoreDuty(Vm& vm, MemberListener onMember, WorkerListener onWorkerGone, ConfigurationListener onConfiguration, EntryListener onEntry, OthersRead othersRead)
    : vm(vm)
    , onMember(std::move(onMember))
    , onWorkerGone(std::move(onWorkerGone))
    , onConfiguration(std::move(onConfiguration))
    , onEntry(std::move(onEntry))
    , othersRead(std::move(othersRead))
{
}

void StoreDuty::followConfiguration()
{
    this->follow({ platform::Stream::Configuration, longPollTimeout, [] { return configurationReadInterval; }, [this](const auto& page, bool) { this->applyConfigurations(page); } });
}

void StoreDuty::applyConfigurations(const platform::StorePage& page)
{
    for (const auto& record : page.records) {
        if (record.key == platform::configurationKey() && record.value)
            this->applyConfiguration(record);
    }
}

void StoreDuty::hearVersion(uint64_t version)
{
    auto configuration = this->vm.fleet.configuration();
    auto now = monotonicNow();
    if (!configuration || version <= configuration->version || now - this->newerReadAt < newerVersionReadDelay)
        return;
    this->newerReadAt = now;
    // The follower usually reads it in this time; its read may hang on a connection that has gone silent, and so may pooled ones.
    transport::spawnHere([this, version] {
        sleepFor(newerVersionReadDelay);
        auto known = this->vm.fleet.configuration();
        if (known && known->version >= version)
            return;
        if (auto page = this->readAside(platform::Stream::Configuration))
            this->applyConfigurations(*page);
    });
}

std::optional<platform::StorePage> StoreDuty::readAside(platform::Stream stream)
{
    auto store = this->vm.store();
    store.freshConnection = true;
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto page = platform::readNewest(store, stream);
    if (!page)
        increment(this->vm.counters, CountedEvent::StoreFailures);
    this->log.info(std::string("event=store_read_aside stream=") + name(stream) + " address=" + transport::toString(store.address) + " outcome=" + (page ? "read" : platform::name(page.error())));
    return page ? std::optional(std::move(page.value())) : std::nullopt;
}

void StoreDuty::noteMove()
{
    this->moves++;
    // The followers' reads may wait at the old address for seconds.
    transport::spawnHere([this] {
        if (auto page = this->readAside(platform::Stream::Configuration))
            this->applyConfigurations(*page);
        if (auto page = this->readAside(platform::Stream::Workers))
            this->applyWorkers(*page, true);
    });
}

void StoreDuty::followWorkers()
{
    this->follow({ platform::Stream::Workers, milliseconds { 0 }, [] { return workerReadInterval; }, [this](const auto& page, bool whole) { this->applyWorkers(page, whole); }, [this] { return this->mayLeaveReading(); } });
}

void StoreDuty::followMembers()
{
    this->follow({ platform::Stream::Members, longPollTimeout, [] { return memberReadInterval; }, [this](const auto& page, bool) { this->applyMembers(page); } });
}

void StoreDuty::follow(const Follower& follower)
{
    std::optional<uint64_t> next;
    auto pause = storeRetryDelay;
    bool good = true;
    auto moves = this->moves;
    while (!this->vm.status.stopping) {
        // Offsets belong to the store that gave them.
        if (std::exchange(moves, this->moves) != this->moves)
            next.reset();
        if (good && next && follower.mayLeave && follower.mayLeave()) {
            sleepFor(follower.pause());
            continue;
        }
        good = this->readOnce(follower, next, !good);
        if (good)
            pause = storeRetryDelay;
        sleepFor(good ? follower.pause() : pause);
        if (!good)
            pause = std::min(2 * pause, maxStoreRetryDelay);
    }
}

bool StoreDuty::readOnce(const Follower& follower, std::optional<uint64_t>& next, bool hurry)
{
    // After a failure the answer shows at once whether the store is back.
    auto wait = hurry ? milliseconds { 0 } : follower.wait;
    bool whole = !next;
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto page = whole ? platform::readNewest(this->vm.store(), follower.stream) : platform::readOn(this->vm.store(), follower.stream, *next, wait);
    if (!page) {
        // Forgotten records: the newest of each key stand in for them.
        if (page.error() != platform::StoreError::NotDone && page.error() != platform::StoreError::NoAnswer)
            next.reset();
        this->noteOutcome(follower.stream, false, platform::name(page.error()));
        return page.error() == platform::StoreError::Forgotten;
    }
    this->noteOutcome(follower.stream, true, "");
    next = page.value().next;
    follower.apply(page.value(), whole);
    return true;
}

void StoreDuty::noteOutcome(platform::Stream stream, bool good, const std::string& detail)
{
    if (!good) {
        increment(this->vm.counters, CountedEvent::StoreFailures);
    }
    auto& wasFailing = this->failing[static_cast<size_t>(stream)];
    if (std::exchange(wasFailing, !good) == !good)
        return;
    if (good && stream == platform::Stream::Workers)
        this->workersRegainedAt = monotonicNow();
    if (good)
        this->log.info(std::string("event=store_regained stream=") + name(stream));
    else
        this->log.warn(std::string("event=store_lost stream=") + name(stream) + " error=" + detail);
}

void StoreDuty::applyConfiguration(const platform::StoreRecord& record)
{
    std::string fault;
    auto configuration = platform::decodeConfiguration(*record.value, fault);
    if (!configuration) {
        this->log.error("event=configuration_unreadable offset=" + std::to_string(record.offset) + " fault=\"" + fault + "\"");
        return;
    }
    auto version = configuration->version;
    auto routes = configuration->routes.size();
    bool taken = this->vm.fleet.applyConfiguration(std::move(*configuration));
    if (taken) {
        increment(this->vm.counters, CountedEvent::ConfigurationsApplied);
        this->onConfiguration(*this->vm.fleet.configuration());
    }
    this->log.info(std::string("event=configuration version=") + std::to_string(version) + " routes=" + std::to_string(routes) + " outcome=" + (taken ? "in_force" : "older"));
}

Time StoreDuty::graceNow() const
{
    return std::max(Time { 0 }, this->workersRegainedAt + entryRecoveryTime - monotonicNow());
}

bool StoreDuty::mayLeaveReading() const
{
    return this->vm.status.workersKnown && this->othersRead() && monotonicNow() - this->workersReadAt < delegatedReadInterval;
}

void StoreDuty::hearEntries(const std::vector<ForwardedEntry>& entries)
{
    for (const auto& entry : entries) {
        auto value = entry.value.empty() ? std::nullopt : std::optional(entry.value);
        this->applyWorker({ entry.worker, value, entry.offset }, this->graceNow());
    }
    if (!entries.empty())
        this->dropMissing();
}

void StoreDuty::dropMissing()
{
    for (const auto& id : this->vm.fleet.dropRemoved(monotonicNow())) {
        this->log.info("event=worker_gone worker=" + id);
        this->onWorkerGone(id);
    }
}

void StoreDuty::applyWorkers(const platform::StorePage& page, bool whole)
{
    auto grace = this->graceNow();
    // The first reading is no news to others.
    bool news = this->vm.status.workersKnown;
    std::set<std::string> present;
    for (const auto& record : page.records) {
        present.insert(record.key);
        if (this->applyWorker(record, grace) && news)
            this->onEntry({ record.key, record.value.value_or(""), record.offset });
    }
    if (whole) {
        for (const auto& id : this->vm.fleet.markRemovedExcept(present, page.next, monotonicNow(), grace))
            this->onEntry({ id, "", page.next });
    }
    this->dropMissing();
    this->workersReadAt = monotonicNow();
    this->vm.status.workersKnown = true;
}

bool StoreDuty::applyWorker(const platform::StoreRecord& record, Time grace)
{
    auto now = monotonicNow();
    if (!record.value) {
        return this->vm.fleet.markRemoved(record.key, record.offset, now, grace);
    }
    auto entry = platform::decodeWorkerEntry(record.key, *record.value);
    if (!entry) {
        this->log.warn("event=worker_entry_unreadable worker=" + record.key + " offset=" + std::to_string(record.offset));
        return false;
    }
    bool restarted = false;
    this->vm.fleet.updateWorker(entry->id, [&](routing::Worker& worker) { restarted = worker.entry.startedAt != entry->startedAt; });
    auto news = this->vm.fleet.applyEntry(*entry, record.offset, now);
    if (news != EntryChange::None && restarted)
        this->onWorkerGone(entry->id);
    // The holder's order lines tell what a worker holds.
    if (news != EntryChange::Status)
        return false;
    std::string models;
    for (const auto& model : entry->models)
        models += (models.empty() ? "" : ",") + model.name + ":" + std::to_string(model.adapters.size());
    this->log.info("event=worker worker=" + entry->id + " service=" + entry->service + " address=" + transport::toString(entry->address)
        + " state=" + (entry->draining ? "leaving" : "ready") + " started=" + std::to_string(entry->startedAt) + " models=" + models + " cached=" + std::to_string(entry->onDisk.size()));
    return true;
}

void StoreDuty::applyMembers(const platform::StorePage& page)
{
    for (const auto& record : page.records) {
        auto member = record.value ? decodeMember(*record.value) : std::nullopt;
        if (record.value && !member)
            this->log.warn("event=member_unreadable node=" + record.key + " offset=" + std::to_string(record.offset));
        this->onMember(record.key, member);
    }
}

} // namespace comfreypier::edge
