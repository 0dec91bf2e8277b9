#include "store_task.h"

namespace comfreypier::edge {

namespace {

    const char* name(platform::Stream stream)
    {
        constexpr std::array<const char*, static_cast<size_t>(platform::Stream::Count)> names { "configuration", "workers", "members", "lease" };
        return names[static_cast<size_t>(stream)];
    }

} // namespace

StoreTask::StoreTask(Vm& vm, MemberListener onMember, WorkerListener onWorkerGone, ConfigurationListener onConfiguration, EntryListener onEntry, OthersRead othersRead)
    : vm(vm)
    , onMember(std::move(onMember))
    , onWorkerGone(std::move(onWorkerGone))
    , onConfiguration(std::move(onConfiguration))
    , onEntry(std::move(onEntry))
    , othersRead(std::move(othersRead))
{
}

void StoreTask::followConfiguration()
{
    this->follow({ platform::Stream::Configuration, newsWait, [] { return configurationReadInterval; }, [this](const auto& page, bool) { this->applyConfigurations(page); } });
}

void StoreTask::applyConfigurations(const platform::StorePage& page)
{
    for (const auto& record : page.records) {
        if (record.key == platform::configurationKey() && record.value)
            this->applyConfiguration(record);
    }
}

void StoreTask::hearVersion(uint64_t version)
{
    auto configuration = this->vm.fleet.configuration();
    auto now = monotonicNow();
    if (!configuration || version <= configuration->version || now - this->newerReadAt < newerVersionPause)
        return;
    this->newerReadAt = now;
    // The follower usually reads it in this time; its read may hang on a connection that has gone silent, and so may pooled ones.
    transport::spawnHere([this, version] {
        sleepFor(newerVersionPause);
        auto known = this->vm.fleet.configuration();
        if (known && known->version >= version)
            return;
        if (auto page = this->readAside(platform::Stream::Configuration))
            this->applyConfigurations(*page);
    });
}

std::optional<platform::StorePage> StoreTask::readAside(platform::Stream stream)
{
    auto store = this->vm.store();
    store.freshConnection = true;
    add(this->vm.counters, Event::StoreCalls);
    auto page = platform::readNewest(store, stream);
    if (!page)
        add(this->vm.counters, Event::StoreFailures);
    this->log.info(std::string("event=store_read_aside stream=") + name(stream) + " address=" + transport::toString(store.address) + " outcome=" + (page ? "read" : platform::name(page.error())));
    return page ? std::optional(std::move(page.value())) : std::nullopt;
}

void StoreTask::noteMove()
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

void StoreTask::followWorkers()
{
    this->follow({ platform::Stream::Workers, milliseconds { 0 }, [] { return workerReadInterval; }, [this](const auto& page, bool whole) { this->applyWorkers(page, whole); }, [this] { return this->mayLeaveReading(); } });
}

void StoreTask::followMembers()
{
    this->follow({ platform::Stream::Members, newsWait, [] { return memberReadInterval; }, [this](const auto& page, bool) { this->applyMembers(page); } });
}

void StoreTask::follow(const Follower& follower)
{
    std::optional<uint64_t> next;
    auto pause = storeRetryPause;
    bool good = true;
    auto moves = this->moves;
    while (!this->vm.phase.stopping) {
        // Offsets belong to the store that gave them.
        if (std::exchange(moves, this->moves) != this->moves)
            next.reset();
        if (good && next && follower.mayLeave && follower.mayLeave()) {
            sleepFor(follower.pause());
            continue;
        }
        good = this->readOnce(follower, next, !good);
        if (good)
            pause = storeRetryPause;
        sleepFor(good ? follower.pause() : pause);
        if (!good)
            pause = std::min(2 * pause, storeRetryPauseMost);
    }
}

bool StoreTask::readOnce(const Follower& follower, std::optional<uint64_t>& next, bool hurry)
{
    // After a failure the answer shows at once whether the store is back.
    auto wait = hurry ? milliseconds { 0 } : follower.wait;
    bool whole = !next;
    add(this->vm.counters, Event::StoreCalls);
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

void StoreTask::noteOutcome(platform::Stream stream, bool good, const std::string& detail)
{
    if (!good) {
        add(this->vm.counters, Event::StoreFailures);
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

void StoreTask::applyConfiguration(const platform::StoreRecord& record)
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
        add(this->vm.counters, Event::ConfigurationsApplied);
        this->onConfiguration(*this->vm.fleet.configuration());
    }
    this->log.info(std::string("event=configuration version=") + std::to_string(version) + " routes=" + std::to_string(routes) + " outcome=" + (taken ? "in_force" : "older"));
}

Time StoreTask::graceNow() const
{
    return std::max(Time { 0 }, this->workersRegainedAt + entryReturnTime - monotonicNow());
}

bool StoreTask::mayLeaveReading() const
{
    return this->vm.phase.workersKnown && this->othersRead() && monotonicNow() - this->workersReadAt < lazyReadInterval;
}

void StoreTask::hearEntries(const std::vector<PassedEntry>& entries)
{
    for (const auto& entry : entries) {
        auto value = entry.value.empty() ? std::nullopt : std::optional(entry.value);
        this->applyWorker({ entry.worker, value, entry.offset }, this->graceNow());
    }
    if (!entries.empty())
        this->dropMissing();
}

void StoreTask::dropMissing()
{
    for (const auto& id : this->vm.fleet.dropMissing(monotonicNow())) {
        this->log.info("event=worker_gone worker=" + id);
        this->onWorkerGone(id);
    }
}

void StoreTask::applyWorkers(const platform::StorePage& page, bool whole)
{
    auto grace = this->graceNow();
    // The first reading is no news to others.
    bool news = this->vm.phase.workersKnown;
    std::set<std::string> present;
    for (const auto& record : page.records) {
        present.insert(record.key);
        if (this->applyWorker(record, grace) && news)
            this->onEntry({ record.key, record.value.value_or(""), record.offset });
    }
    if (whole) {
        for (const auto& id : this->vm.fleet.retain(present, page.next, monotonicNow(), grace))
            this->onEntry({ id, "", page.next });
    }
    this->dropMissing();
    this->workersReadAt = monotonicNow();
    this->vm.phase.workersKnown = true;
}

bool StoreTask::applyWorker(const platform::StoreRecord& record, Time grace)
{
    auto now = monotonicNow();
    if (!record.value) {
        return this->vm.fleet.removeEntry(record.key, record.offset, now, grace);
    }
    auto entry = platform::decodeWorkerEntry(record.key, *record.value);
    if (!entry) {
        this->log.warn("event=worker_entry_unreadable worker=" + record.key + " offset=" + std::to_string(record.offset));
        return false;
    }
    bool restarted = false;
    this->vm.fleet.update(entry->id, [&](routing::Worker& worker) { restarted = worker.entry.startedAt != entry->startedAt; });
    auto news = this->vm.fleet.applyEntry(*entry, record.offset, now);
    if (news != EntryNews::None && restarted)
        this->onWorkerGone(entry->id);
    // The holder's order lines tell what a worker holds.
    if (news != EntryNews::Standing)
        return false;
    std::string models;
    for (const auto& model : entry->models)
        models += (models.empty() ? "" : ",") + model.name + ":" + std::to_string(model.adapters.size());
    this->log.info("event=worker worker=" + entry->id + " service=" + entry->service + " address=" + transport::toString(entry->address)
        + " state=" + (entry->leaving ? "leaving" : "ready") + " started=" + std::to_string(entry->startedAt) + " models=" + models + " cached=" + std::to_string(entry->onDisk.size()));
    return true;
}

void StoreTask::applyMembers(const platform::StorePage& page)
{
    for (const auto& record : page.records) {
        auto member = record.value ? decodeMember(*record.value) : std::nullopt;
        if (record.value && !member)
            this->log.warn("event=member_unreadable node=" + record.key + " offset=" + std::to_string(record.offset));
        this->onMember(record.key, member);
    }
}

} // namespace comfreypier::edge
