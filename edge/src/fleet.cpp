#include "fleet.h"

namespace comfreypier::edge {

namespace {

    /// Assumed round-trip time to another data centre, for the choice of a worker.
    constexpr milliseconds dataCentreRoundTrip { 3 };
    /// Maximum number of dropped workers of which something is kept. Beyond it, those whose ids sort first are forgotten.
    constexpr size_t maxDroppedWorkers = 4096;
    /// Minimum decayed failure count of a worker that is sent to the other VMs.
    constexpr double minReportedFailures = 0.25;
    /// Maximum number of sent prefixes that are queued for the next heartbeat.
    constexpr size_t maxQueuedPrefixes = 256;

    /// Maximum number of prefixes that are queued for the next summary. Beyond it the oldest are dropped: most VMs send no summaries.
    constexpr size_t maxGroupPrefixes = 256;

    /// Returns whether VMs of other data centres would send a request across for what is cached of it, if that is one part of `tokens`.
    bool isWorthCrossing(uint32_t tokens)
    {
        return routing::prefillTime(tokens) > dataCentreRoundTrip + routing::crossDataCentreCost;
    }

    /// Returns the position after `position` in the same era.
    LogPosition after(const LogPosition& position)
    {
        return { position.era, position.offset + 1 };
    }

} // namespace

Fleet::Fleet(std::string node, std::string dataCentre)
    : node(std::move(node))
    , dataCentre(std::move(dataCentre))
    , limits(this->node)
{
}

ConfigurationPtr Fleet::configuration() const
{
    std::lock_guard lock(this->mutex);
    return this->current;
}

bool Fleet::applyConfiguration(routing::Configuration configuration)
{
    std::lock_guard lock(this->mutex);
    if (this->current && configuration.version <= this->current->version)
        return false;
    this->current = std::make_shared<const routing::Configuration>(std::move(configuration));
    return true;
}

void Fleet::setConfigurationRecord(ConfigurationRecordPtr record)
{
    std::lock_guard lock(this->mutex);
    this->currentRecord = std::move(record);
}

ConfigurationRecordPtr Fleet::configurationRecord() const
{
    std::lock_guard lock(this->mutex);
    return this->currentRecord;
}

EntryChange Fleet::applyEntry(const routing::WorkerEntry& entry, const LogPosition& position, bool fromCopy, Time now)
{
    std::lock_guard lock(this->mutex);
    // Returns whether the record tells of a time before what is known.
    auto isOutdated = [&](const LogPosition& newerFrom, int64_t startedAt) {
        return position < newerFrom || (fromCopy && newerFrom.era < position.era && entry.startedAt <= startedAt);
    };
    auto droppedWorker = this->dropped.find(entry.id);
    if (droppedWorker != this->dropped.end() && isOutdated(droppedWorker->second.newerFrom, droppedWorker->second.startedAt))
        return EntryChange::None;
    auto found = this->workers.find(entry.id);
    if (found != this->workers.end() && isOutdated(found->second.newerFrom, found->second.worker.entry.startedAt)) {
        // A VM that has not reached the store for some time may learn only from the copy that the worker is draining.
        auto& current = found->second.worker.entry;
        if (position < found->second.newerFrom || !entry.draining || current.draining || entry.startedAt != current.startedAt)
            return EntryChange::None;
        current.draining = true;
        this->recordChange();
        return EntryChange::Status;
    }
    if (auto startBefore = this->knownStart(entry.id).value_or(entry.startedAt); startBefore != entry.startedAt) {
        auto before = entry;
        before.startedAt = startBefore;
        this->leavingWorkers.recordRestart(before, entry);
        this->limits.recordRestart(before, entry, now, transport::wallNow());
    }
    bool isBack = found == this->workers.end() && droppedWorker != this->dropped.end();
    auto& known = this->workers[entry.id];
    if (found == this->workers.end()) {
        known.key = workerKey(entry.id);
        this->workersByKey.emplace(known.key, &known);
    }
    if (isBack) {
        known.worker.heldUntil = droppedWorker->second.heldUntil;
        known.holdNamedAt = droppedWorker->second.holdNamedAt;
    }
    known.newerFrom = after(position);
    known.lastRecordAt = now;
    bool wasRemoved = std::exchange(known.removedAt, Time { 0 }) != Time { 0 };
    this->removedWorkers.erase(entry.id);
    auto& worker = known.worker;
    if (worker.entry == entry && !wasRemoved)
        return EntryChange::None;
    bool restarted = worker.entry.startedAt != entry.startedAt;
    bool statusChanged = restarted || wasRemoved || worker.entry.id.empty() || worker.entry.service != entry.service || worker.entry.address != entry.address || worker.entry.draining != entry.draining;
    // What was known of the previous process of the worker does not hold for the new one.
    if (restarted) {
        worker.prefixCache.clear();
        worker.announced.clear();
        worker.avoidUntil = Time { 0 };
        // The refusal may have come from the new process, before its entry.
        if (!routing::mayHaveSaid(entry, known.holdNamedAt))
            worker.heldUntil = Time { 0 };
        worker.connectFailures = 0;
        worker.runningStreams = 0;
        worker.outcomes = {};
        worker.peerOutcomes.clear();
    }
    if (restarted || worker.entry.id.empty()) {
        this->starts.erase(routing::workerStart(worker.entry));
        this->starts.insert(routing::workerStart(entry));
    }
    worker.entry = entry;
    this->updateLeaving(worker);
    this->recordChange();
    return statusChanged ? EntryChange::Status : EntryChange::Contents;
}

bool Fleet::isOutdated(const std::string& id, const LogPosition& position) const
{
    std::lock_guard lock(this->mutex);
    if (auto found = this->workers.find(id); found != this->workers.end())
        return position < found->second.newerFrom;
    auto gone = this->dropped.find(id);
    return gone != this->dropped.end() && position < gone->second.newerFrom;
}

std::optional<int64_t> Fleet::knownStart(const std::string& id) const
{
    if (auto found = this->workers.find(id); found != this->workers.end())
        return found->second.worker.entry.startedAt;
    auto gone = this->dropped.find(id);
    return gone == this->dropped.end() ? std::nullopt : std::optional(gone->second.startedAt);
}

void Fleet::markRemoved(const std::string& id, KnownWorker& known, const LogPosition& newerFrom, Time now, Time grace)
{
    known.newerFrom = newerFrom;
    known.removedAt = now;
    known.grace = grace;
    this->removedWorkers.insert(id);
}

bool Fleet::markRemoved(const std::string& id, const LogPosition& position, Time now, Time grace)
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    if (found == this->workers.end() || found->second.removedAt != Time { 0 } || position < found->second.newerFrom)
        return false;
    this->markRemoved(id, found->second, after(position), now, grace);
    return true;
}

std::vector<std::string> Fleet::markRemovedExcept(const std::set<std::string>& present, const LogPosition& end, Time now, Time grace)
{
    std::lock_guard lock(this->mutex);
    std::vector<std::string> newlyRemoved;
    for (auto& [id, known] : this->workers) {
        if (present.contains(id) || known.removedAt != Time { 0 } || known.newerFrom > end)
            continue;
        this->markRemoved(id, known, end, now, grace);
        newlyRemoved.push_back(id);
    }
    return newlyRemoved;
}

void Fleet::forgetPositions()
{
    std::lock_guard lock(this->mutex);
    for (auto& [id, known] : this->workers)
        known.newerFrom = {};
    this->dropped.clear();
}

std::vector<Fleet::DroppedWorker> Fleet::dropRemoved(Time now)
{
    std::lock_guard lock(this->mutex);
    std::vector<DroppedWorker> droppedNow;
    for (auto next = this->removedWorkers.begin(); next != this->removedWorkers.end();) {
        auto it = this->workers.find(*next);
        const auto& known = it->second;
        if (now < known.removedAt + known.grace) {
            ++next;
            continue;
        }
        droppedNow.push_back({ it->first, known.worker.entry.address });
        this->dropped[it->first] = { known.newerFrom, known.worker.entry.startedAt, known.worker.heldUntil, known.holdNamedAt };
        auto [first, last] = this->workersByKey.equal_range(known.key);
        this->workersByKey.erase(std::find_if(first, last, [&known](const auto& item) { return item.second == &known; }));
        this->busyWorkers.erase(it->first);
        this->starts.erase(routing::workerStart(known.worker.entry));
        this->workers.erase(it);
        next = this->removedWorkers.erase(next);
    }
    while (this->dropped.size() > maxDroppedWorkers)
        this->dropped.erase(this->dropped.begin());
    return droppedNow;
}

std::optional<Time> Fleet::nextDropAt() const
{
    std::lock_guard lock(this->mutex);
    std::optional<Time> next;
    for (const auto& id : this->removedWorkers) {
        const auto& known = this->workers.at(id);
        next = std::min(next.value_or(Time::max()), known.removedAt + known.grace);
    }
    return next;
}

Fleet::Selection Fleet::chooseWorker(const routing::Service& service, const routing::RequestShape& shape, const std::vector<uint64_t>& prefixHashes, const std::set<std::string>& excluded, milliseconds targetLatency, Time now)
{
    std::lock_guard lock(this->mutex);
    std::vector<routing::Worker*> candidates;
    std::vector<routing::Worker*> removed;
    for (auto& [id, known] : this->workers) {
        if (known.worker.entry.service == service.name)
            (known.removedAt == Time { 0 } ? candidates : removed).push_back(&known.worker);
    }
    this->updateLimits(candidates, now);
    this->updateLimits(removed, now);
    routing::ChoiceInputs inputs;
    inputs.service = &service;
    inputs.shape = &shape;
    inputs.prefixHashes = &prefixHashes;
    inputs.dataCentre = this->dataCentre;
    inputs.excluded = &excluded;
    inputs.targetLatency = targetLatency;
    inputs.crossDataCentreRoundTrip = dataCentreRoundTrip;
    inputs.peerUpdateAge = this->peerUpdateAge;
    inputs.choiceSeed = routing::hashText(this->node, this->choiceCount++);
    inputs.now = now;
    Selection selection;
    selection.choice = routing::chooseWorker(candidates, inputs);
    // The entries of the removed workers may come back within their grace period.
    if (selection.choice.blockReason != routing::BlockReason::None && !removed.empty()) {
        candidates.insert(candidates.end(), removed.begin(), removed.end());
        selection.choice = routing::chooseWorker(candidates, inputs);
    }
    auto* worker = selection.choice.worker != nullptr ? selection.choice.worker : selection.choice.preferredWorker;
    if (worker != nullptr) {
        selection.id = worker->entry.id;
        selection.entry = worker->entry;
        selection.entryAge = now - this->workers[worker->entry.id].lastRecordAt;
    }
    // The workers may change or be dropped as soon as the lock is released.
    selection.choice.worker = nullptr;
    selection.choice.preferredWorker = nullptr;
    return selection;
}

std::optional<routing::WorkerEntry> Fleet::chooseBackup(const routing::Service& service, const routing::RequestShape& shape, const routing::WorkerEntry& primary, Time now)
{
    std::lock_guard lock(this->mutex);
    std::vector<routing::Worker*> candidates;
    for (auto& [id, known] : this->workers) {
        if (known.worker.entry.service == service.name && known.removedAt == Time { 0 })
            candidates.push_back(&known.worker);
    }
    this->updateLimits(candidates, now);
    routing::ChoiceInputs inputs;
    inputs.service = &service;
    inputs.shape = &shape;
    inputs.now = now;
    auto* backup = routing::chooseBackup(candidates, inputs, primary);
    return backup == nullptr ? std::nullopt : std::optional(backup->entry);
}

bool Fleet::holdsAdapter(const std::string& id, const routing::RequestShape& shape) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    return found != this->workers.end() && routing::holdsAdapter(found->second.worker, shape);
}

bool Fleet::isSilent(const std::string& id, Time timeout, Time now) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    return found == this->workers.end() || routing::isWorkerSilent(found->second.worker, timeout, now);
}

void Fleet::updateWorker(const std::string& id, const std::function<void(routing::Worker&)>& change)
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    if (found != this->workers.end())
        change(found->second.worker);
}

std::optional<routing::WorkerEntry> Fleet::entryOf(const std::string& id) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    return found == this->workers.end() ? std::nullopt : std::optional(found->second.worker.entry);
}

std::string Fleet::workerAt(const transport::Endpoint& address) const
{
    std::lock_guard lock(this->mutex);
    for (const auto& [id, known] : this->workers) {
        if (known.removedAt == Time { 0 } && known.worker.entry.address == address)
            return id;
    }
    return {};
}

std::vector<routing::WorkerEntry> Fleet::entries() const
{
    std::lock_guard lock(this->mutex);
    std::vector<routing::WorkerEntry> entries;
    for (const auto& [id, known] : this->workers) {
        entries.push_back(known.worker.entry);
        entries.back().draining = known.worker.entry.draining || known.worker.leaving;
    }
    return entries;
}

void Fleet::applyHeartbeat(const std::string& peer, const Heartbeat& heartbeat)
{
    if (heartbeat.partial && heartbeat.sentPrefixes.empty())
        return;
    std::lock_guard lock(this->mutex);
    if (!heartbeat.partial)
        this->replacePeerLoad(peer, heartbeat, monotonicNow());
    this->addPrefixes(heartbeat.sentPrefixes);
    for (const auto& prefix : heartbeat.sentPrefixes)
        this->queueGroupPrefix(prefix);
}

void Fleet::queueGroupPrefix(const SentPrefix& prefix)
{
    if (!isWorthCrossing(prefix.tokens))
        return;
    this->groupPrefixes.push_back(prefix);
    if (this->groupPrefixes.size() > maxGroupPrefixes)
        this->groupPrefixes.pop_front();
}

void Fleet::forEachWithKey(WorkerKey key, const std::function<void(KnownWorker&)>& change)
{
    auto [first, last] = this->workersByKey.equal_range(key);
    for (auto it = first; it != last; ++it)
        change(*it->second);
}

void Fleet::addPrefixes(const std::vector<SentPrefix>& prefixes)
{
    if (!this->current)
        return;
    for (const auto& prefix : prefixes) {
        this->forEachWithKey(prefix.worker, [&](KnownWorker& known) {
            double cacheCapacity = 0; // Capacity of the worker's estimated prefix cache, in tokens.
            auto service = this->current->services.find(known.worker.entry.service);
            if (service != this->current->services.end() && service->second.engine)
                cacheCapacity = service->second.engine->kvCacheTokens * routing::prefixCacheShare;
            known.worker.prefixCache.add(prefix.hash, prefix.tokens, cacheCapacity);
        });
    }
}

void Fleet::forgetReports(const std::string& source)
{
    auto reported = this->reportedWorkers.find(source);
    if (reported == this->reportedWorkers.end())
        return;
    for (auto key : reported->second) {
        this->forEachWithKey(key, [&source](KnownWorker& known) {
            known.worker.peerLoads.erase(source);
            known.worker.peerOutcomes.erase(source);
        });
    }
    this->reportedWorkers.erase(reported);
}

void Fleet::replacePeerLoad(const std::string& source, const Heartbeat& heartbeat, Time now)
{
    this->forgetReports(source);
    std::vector<WorkerKey> keys;
    for (const auto& [key, load] : heartbeat.loads) {
        keys.push_back(key);
        this->forEachWithKey(key, [&source, &load = load](KnownWorker& known) { known.worker.peerLoads[source] = load; });
    }
    for (const auto& [key, outcomes] : heartbeat.outcomes) {
        keys.push_back(key);
        this->forEachWithKey(key, [&source, &outcomes = outcomes, now](KnownWorker& known) { known.worker.peerOutcomes[source] = { outcomes.failures, outcomes.total, now }; });
    }
    if (!keys.empty())
        this->reportedWorkers[source] = std::move(keys);
    if (this->onRoom)
        this->onRoom();
}

Heartbeat Fleet::summarizeGroup(Time now)
{
    Heartbeat summary;
    std::lock_guard lock(this->mutex);
    summary.sentPrefixes.assign(this->groupPrefixes.begin(), this->groupPrefixes.end());
    this->groupPrefixes.clear();
    for (const auto& [id, known] : this->workers) {
        auto load = known.worker.ownLoad;
        for (const auto& [source, peerLoad] : known.worker.peerLoads)
            load = this->summaries.contains(source) ? load : load + peerLoad;
        if (load.requests > 0)
            summary.loads[known.key] = load;
        auto outcomes = routing::decayedTo(known.worker.outcomes, now);
        for (const auto& [source, peerOutcomes] : known.worker.peerOutcomes) {
            auto decayed = routing::decayedTo(peerOutcomes, now);
            outcomes.failures += this->summaries.contains(source) ? 0 : decayed.failures;
            outcomes.total += this->summaries.contains(source) ? 0 : decayed.total;
        }
        if (outcomes.failures >= minReportedFailures)
            summary.outcomes[known.key] = outcomes;
    }
    return summary;
}

bool Fleet::applySummary(const Heartbeat& summary, Time now)
{
    std::lock_guard lock(this->mutex);
    auto& source = this->summaries[summary.summaryOf];
    if (source.node == summary.node && source.incarnation == summary.incarnation && source.sequence >= summary.sequence)
        return false;
    source = { summary.node, summary.incarnation, summary.sequence, now };
    if (!summary.partial)
        this->replacePeerLoad(summary.summaryOf, summary, now);
    this->addPrefixes(summary.sentPrefixes);
    return true;
}

void Fleet::forgetOldSummaries(Time oldest)
{
    std::vector<std::string> old;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [dataCentre, source] : this->summaries) {
            if (source.receivedAt < oldest)
                old.push_back(dataCentre);
        }
        for (const auto& dataCentre : old)
            this->summaries.erase(dataCentre);
    }
    for (const auto& dataCentre : old)
        this->forgetPeerLoad(dataCentre);
}

void Fleet::forgetPeerLoad(const std::string& peer)
{
    std::lock_guard lock(this->mutex);
    this->forgetReports(peer);
}

void Fleet::applyResident(const std::map<std::string, std::set<std::string>>& resident)
{
    std::lock_guard lock(this->mutex);
    for (const auto& report : resident) {
        const auto& items = report.second;
        auto found = this->workers.find(report.first);
        if (found == this->workers.end())
            continue;
        auto& worker = found->second.worker;
        if (worker.announced == items)
            continue;
        this->recordChange();
        worker.announced = items;
        // Removes items that the worker has unloaded since its entry was read, so that requests for them are not sent to it. Its
        // next entry replaces the corrected one.
        for (auto& model : worker.entry.models)
            std::erase_if(model.adapters, [&](const auto& adapter) { return !items.contains(model.name + "/" + adapter); });
        std::erase_if(worker.entry.models, [&items](const auto& model) { return !items.contains(model.name); });
    }
}

void Fleet::updateLimits(const std::vector<routing::Worker*>& workers, Time now) const
{
    for (auto* worker : workers)
        worker->limitedUntil = this->limits.isEmpty() ? Time { 0 } : this->limits.nextSendAt(routing::workerStart(worker->entry), now);
}

void Fleet::setMembers(std::vector<std::string> names)
{
    std::lock_guard lock(this->mutex);
    this->limits.setMembers(std::move(names));
}

bool Fleet::recordLimit(const routing::WorkerEntry& worker, std::optional<double> limit, Time now)
{
    std::lock_guard lock(this->mutex);
    return (limit || !this->limits.isEmpty()) && this->limits.recordAnswer(routing::workerStart(worker), limit, now);
}

std::vector<routing::LimitReport> Fleet::takeLimitReports(Time now)
{
    std::lock_guard lock(this->mutex);
    return this->limits.takeReports(now);
}

size_t Fleet::applyLimitReports(const std::vector<routing::LimitReport>& reports, bool relay, Time now)
{
    std::lock_guard lock(this->mutex);
    return this->limits.merge(reports, relay, now).size();
}

void Fleet::setRoomListener(std::function<void()> listener)
{
    std::lock_guard lock(this->mutex);
    this->onRoom = std::move(listener);
}

void Fleet::recordChange()
{
    this->changeCount++;
    if (this->onRoom)
        this->onRoom();
}

void Fleet::updateLeaving(routing::Worker& worker) const
{
    worker.leaving = !this->leavingWorkers.isEmpty() && this->leavingWorkers.isLeaving(routing::workerStart(worker.entry));
}

void Fleet::updateLeaving()
{
    for (auto& [id, known] : this->workers)
        this->updateLeaving(known.worker);
    this->recordChange();
}

bool Fleet::recordLeaving(const routing::WorkerEntry& worker, std::optional<int64_t> namedStart, Time now)
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(worker.id);
    if (!this->leavingWorkers.recordAnswer(worker, namedStart, found == this->workers.end() ? nullptr : &found->second.worker.entry, now))
        return false;
    this->updateLeaving();
    return true;
}

std::vector<routing::WorkerEntry> Fleet::workersInDoubt() const
{
    std::lock_guard lock(this->mutex);
    std::vector<routing::WorkerEntry> entries;
    for (const auto& [id, known] : this->workers) {
        if (this->leavingWorkers.isInDoubt(routing::workerStart(known.worker.entry)))
            entries.push_back(known.worker.entry);
    }
    return entries;
}

bool Fleet::isInDoubt(const routing::WorkerEntry& worker) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(worker.id);
    return found != this->workers.end() && found->second.worker.entry.startedAt == worker.startedAt && this->leavingWorkers.isInDoubt(routing::workerStart(worker));
}

void Fleet::settleLeave(const routing::WorkerEntry& worker)
{
    std::lock_guard lock(this->mutex);
    this->leavingWorkers.settle(routing::workerStart(worker));
    this->updateLeaving();
}

std::vector<uint64_t> Fleet::takeLeaveReports(Time now)
{
    std::lock_guard lock(this->mutex);
    if (this->leavingWorkers.isEmpty())
        return {};
    return this->leavingWorkers.takeReports(this->starts, now);
}

size_t Fleet::applyLeaveReports(const std::vector<uint64_t>& reports, Time now)
{
    std::lock_guard lock(this->mutex);
    auto news = static_cast<size_t>(std::count_if(reports.begin(), reports.end(), [&](auto worker) { return this->leavingWorkers.record(worker, now); }));
    if (news == 0)
        return 0;
    this->updateLeaving();
    return news;
}

void Fleet::recordHold(const routing::WorkerEntry& worker, Time delay, Time now, milliseconds wallNow)
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(worker.id);
    if (found == this->workers.end()) {
        // Its entry may come back.
        if (auto gone = this->dropped.find(worker.id); gone != this->dropped.end()) {
            gone->second.heldUntil = std::max(gone->second.heldUntil, routing::holdEnd(delay, now));
            gone->second.holdNamedAt = wallNow;
        }
        return;
    }
    auto& known = found->second;
    // The entry may have changed since the call.
    if (known.worker.entry.startedAt != worker.startedAt && !routing::mayHaveSaid(known.worker.entry, wallNow))
        return;
    routing::recordHold(known.worker, delay, now);
    known.holdNamedAt = wallNow;
}

std::set<std::string> Fleet::heldWorkers(Time now) const
{
    std::lock_guard lock(this->mutex);
    std::set<std::string> held;
    for (const auto& [id, known] : this->workers) {
        if (known.worker.heldUntil > now)
            held.insert(id);
    }
    return held;
}

bool Fleet::isHeld(const std::string& id, Time now) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    return found != this->workers.end() && found->second.worker.heldUntil > now;
}

bool Fleet::wantsRequests(const std::string& id, Time now) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    return found != this->workers.end() && routing::wantsRequests(found->second.worker, now);
}

bool Fleet::mayResume(const std::string& id, Time now)
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    if (found == this->workers.end())
        return false;
    this->updateLimits({ &found->second.worker }, now);
    return routing::mayResumeAt(found->second.worker, now);
}

std::map<WorkerKey, routing::WorkerLoad> Fleet::ownLoads() const
{
    std::lock_guard lock(this->mutex);
    std::map<WorkerKey, routing::WorkerLoad> loads;
    for (const auto& id : this->busyWorkers) {
        const auto& known = this->workers.at(id);
        loads[known.key] = known.worker.ownLoad;
    }
    return loads;
}

std::map<WorkerKey, routing::RecentOutcomes> Fleet::ownFailures(Time now) const
{
    std::lock_guard lock(this->mutex);
    std::map<WorkerKey, routing::RecentOutcomes> failures;
    for (const auto& [id, known] : this->workers) {
        // Decay only lowers it.
        if (known.worker.outcomes.failures < minReportedFailures)
            continue;
        auto outcomes = routing::decayedTo(known.worker.outcomes, now);
        if (outcomes.failures >= minReportedFailures)
            failures[known.key] = outcomes;
    }
    return failures;
}

std::vector<SentPrefix> Fleet::takeSentPrefixes()
{
    std::lock_guard lock(this->mutex);
    return std::exchange(this->sentPrefixes, {});
}

LoadReservation Fleet::reserve(const std::string& id, const routing::RequestShape& shape, const std::vector<uint64_t>& prefixHashes, uint32_t cachedTokens, double kvCacheTokens)
{
    std::lock_guard lock(this->mutex);
    double uncachedTokens = shape.promptTokens - std::min(cachedTokens, shape.promptTokens);
    routing::WorkerLoad load { uncachedTokens, uncachedTokens + shape.outputTokens, 1 };
    auto found = this->workers.find(id);
    if (found != this->workers.end()) {
        auto& worker = found->second.worker;
        worker.ownLoad = worker.ownLoad + load;
        this->busyWorkers.insert(id);
        if (!this->limits.isEmpty())
            this->limits.recordSend(routing::workerStart(worker.entry), monotonicNow());
        for (size_t i = 0; i < prefixHashes.size(); i++) {
            bool alreadyCached = worker.prefixCache.contains(prefixHashes[i]);
            worker.prefixCache.add(prefixHashes[i], shape.parts[i].tokens, kvCacheTokens * routing::prefixCacheShare);
            // The last part is specific to this request, so other VMs hardly ever see it again.
            if (alreadyCached || i + 1 == prefixHashes.size())
                continue;
            SentPrefix prefix { found->second.key, prefixHashes[i], shape.parts[i].tokens };
            if (this->sentPrefixes.size() < maxQueuedPrefixes)
                this->sentPrefixes.push_back(prefix);
            this->queueGroupPrefix(prefix);
        }
    }
    return { *this, id, load };
}

void Fleet::release(const std::string& id, const routing::WorkerLoad& load)
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    if (found == this->workers.end())
        return;
    auto& ownLoad = found->second.worker.ownLoad;
    ownLoad.prefillTokens = std::max(0.0, ownLoad.prefillTokens - load.prefillTokens);
    ownLoad.memoryTokens = std::max(0.0, ownLoad.memoryTokens - load.memoryTokens);
    ownLoad.requests -= std::min(ownLoad.requests, load.requests);
    if (ownLoad.requests == 0)
        this->busyWorkers.erase(id);
    this->recordChange();
}

LoadReservation::LoadReservation(Fleet& fleet, std::string worker, routing::WorkerLoad load)
    : fleet(&fleet)
    , worker(std::move(worker))
    , load(load)
{
}

LoadReservation::LoadReservation(LoadReservation&& other) noexcept
    : fleet(std::exchange(other.fleet, nullptr))
    , worker(std::move(other.worker))
    , load(other.load)
    , running(std::exchange(other.running, false))
{
}

LoadReservation::~LoadReservation()
{
    if (this->running)
        this->fleet->updateWorker(this->worker, [](routing::Worker& worker) { worker.runningStreams -= std::min(worker.runningStreams, 1U); });
    if (this->fleet != nullptr)
        this->fleet->release(this->worker, this->load);
}

void LoadReservation::markPrefilled()
{
    this->fleet->release(this->worker, { this->load.prefillTokens, 0, 0 });
    this->load.prefillTokens = 0;
    this->running = true;
    this->fleet->updateWorker(this->worker, [](routing::Worker& worker) {
        worker.runningStreams++;
        worker.lastByteAt = monotonicNow();
    });
}

void LoadReservation::recordStreamData() const
{
    this->fleet->updateWorker(this->worker, [](routing::Worker& worker) { worker.lastByteAt = monotonicNow(); });
}

} // namespace comfreypier::edge
