#include "fleet.h"

namespace comfreypier::edge {

namespace {

    /// Round trip to another data centre that is assumed for the choice of a worker.
    constexpr milliseconds dataCentreRoundTrip { 3 };
    /// Most workers that are remembered after their end.
    constexpr size_t goneLimit = 4096;
    /// Failures, faded, from which the other VMs are told.
    constexpr double failuresLeast = 0.25;
    /// Most sent parts that wait for the next beat.
    constexpr size_t sentLimit = 256;

} // namespace

Fleet::Fleet(std::string node, std::string dataCentre)
    : node(std::move(node))
    , dataCentre(std::move(dataCentre))
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

EntryNews Fleet::applyEntry(const routing::WorkerEntry& entry, uint64_t offset, Time now)
{
    std::lock_guard lock(this->mutex);
    auto gone = this->goneAt.find(entry.id);
    if (gone != this->goneAt.end() && offset <= gone->second)
        return EntryNews::None;
    auto& known = this->workers[entry.id];
    if (known.heardAt != Time { 0 } && offset <= known.offset)
        return EntryNews::None;
    known.offset = offset;
    known.key = workerKey(entry.id);
    this->workerNames[known.key] = entry.id;
    known.heardAt = now;
    bool missing = std::exchange(known.missingSince, Time { 0 }) != Time { 0 };
    auto& worker = known.worker;
    if (worker.entry == entry && !missing)
        return EntryNews::None;
    bool restarted = worker.entry.startedAt != entry.startedAt;
    bool standing = restarted || missing || worker.entry.id.empty() || worker.entry.service != entry.service || worker.entry.address != entry.address || worker.entry.draining != entry.draining;
    if (restarted) {
        worker.prefixCache.clear();
        worker.announced.clear();
        worker.avoidUntil = Time { 0 };
        worker.connectFailures = 0;
        worker.runningStreams = 0;
        worker.outcomes = {};
        worker.peerOutcomes.clear();
    }
    worker.entry = entry;
    this->changeCount++;
    return standing ? EntryNews::Standing : EntryNews::Contents;
}

bool Fleet::removeEntry(const std::string& id, uint64_t offset, Time now, Time grace)
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    if (found == this->workers.end() || found->second.missingSince != Time { 0 } || offset <= found->second.offset)
        return false;
    found->second.offset = offset;
    found->second.missingSince = now;
    found->second.grace = grace;
    return true;
}

std::vector<std::string> Fleet::retain(const std::set<std::string>& present, uint64_t end, Time now, Time grace)
{
    std::lock_guard lock(this->mutex);
    std::vector<std::string> gone;
    for (auto& [id, known] : this->workers) {
        if (present.contains(id) || known.missingSince != Time { 0 } || known.offset >= end)
            continue;
        known.offset = end;
        known.missingSince = now;
        known.grace = grace;
        gone.push_back(id);
    }
    return gone;
}

std::vector<std::string> Fleet::dropMissing(Time now)
{
    std::lock_guard lock(this->mutex);
    std::vector<std::string> dropped;
    for (auto it = this->workers.begin(); it != this->workers.end();) {
        if (it->second.missingSince != Time { 0 } && now >= it->second.missingSince + it->second.grace) {
            dropped.push_back(it->first);
            this->goneAt[it->first] = it->second.offset;
            this->workerNames.erase(workerKey(it->first));
            it = this->workers.erase(it);
        } else
            ++it;
    }
    while (this->goneAt.size() > goneLimit)
        this->goneAt.erase(this->goneAt.begin());
    return dropped;
}

Fleet::Picked Fleet::choose(const routing::Service& service, const routing::RequestShape& shape, const std::vector<uint64_t>& chains, const std::set<std::string>& excluded, milliseconds targetLatency, Time now)
{
    std::lock_guard lock(this->mutex);
    std::vector<routing::Worker*> candidates;
    std::vector<routing::Worker*> missing;
    for (auto& [id, known] : this->workers) {
        if (known.worker.entry.service == service.name)
            (known.missingSince == Time { 0 } ? candidates : missing).push_back(&known.worker);
    }
    routing::ChoiceInputs inputs;
    inputs.service = &service;
    inputs.shape = &shape;
    inputs.prefixHashes = &chains;
    inputs.dataCentre = this->dataCentre;
    inputs.excluded = &excluded;
    inputs.targetLatency = targetLatency;
    inputs.crossDataCentreRoundTrip = dataCentreRoundTrip;
    inputs.peerUpdateAge = this->newsAge;
    inputs.requestSeed = routing::hashText(this->node, this->draws++);
    inputs.now = now;
    Picked picked;
    picked.choice = routing::chooseWorker(candidates, inputs);
    if (picked.choice.blockReason != routing::BlockReason::None && !missing.empty()) {
        candidates.insert(candidates.end(), missing.begin(), missing.end());
        picked.choice = routing::chooseWorker(candidates, inputs);
    }
    auto* worker = picked.choice.worker != nullptr ? picked.choice.worker : picked.choice.preferredWorker;
    if (worker != nullptr) {
        picked.id = worker->entry.id;
        picked.entry = worker->entry;
        picked.entryAge = now - this->workers[worker->entry.id].heardAt;
    }
    picked.choice.worker = nullptr;
    picked.choice.preferredWorker = nullptr;
    return picked;
}

std::optional<routing::WorkerEntry> Fleet::chooseBackup(const routing::Service& service, const routing::RequestShape& shape, const routing::WorkerEntry& primary, Time now)
{
    std::lock_guard lock(this->mutex);
    std::vector<routing::Worker*> candidates;
    for (auto& [id, known] : this->workers) {
        if (known.worker.entry.service == service.name && known.missingSince == Time { 0 })
            candidates.push_back(&known.worker);
    }
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

bool Fleet::isSilent(const std::string& id, Time patience, Time now) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    return found == this->workers.end() || routing::isWorkerSilent(found->second.worker, patience, now);
}

void Fleet::update(const std::string& id, const std::function<void(routing::Worker&)>& change)
{
    std::lock_guard lock(this->mutex);
    auto found = this->workers.find(id);
    if (found != this->workers.end())
        change(found->second.worker);
}

std::vector<routing::WorkerEntry> Fleet::entries() const
{
    std::lock_guard lock(this->mutex);
    std::vector<routing::WorkerEntry> entries;
    for (const auto& [id, known] : this->workers)
        entries.push_back(known.worker.entry);
    return entries;
}

void Fleet::applyPeer(const std::string& peer, const Beat& beat)
{
    if (beat.partial)
        return;
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    double capacity = 0;
    for (auto& [id, known] : this->workers) {
        auto load = beat.loads.find(known.key);
        if (load == beat.loads.end())
            known.worker.peerLoads.erase(peer);
        else
            known.worker.peerLoads[peer] = load->second;
        auto outcomes = beat.outcomes.find(known.key);
        if (outcomes == beat.outcomes.end())
            known.worker.peerOutcomes.erase(peer);
        else
            known.worker.peerOutcomes[peer] = { outcomes->second.failures, outcomes->second.total, now };
    }
    for (const auto& part : beat.sent) {
        auto named = this->workerNames.find(part.worker);
        auto found = named == this->workerNames.end() ? this->workers.end() : this->workers.find(named->second);
        if (found == this->workers.end() || !this->current)
            continue;
        auto service = this->current->services.find(found->second.worker.entry.service);
        if (service != this->current->services.end() && service->second.engine)
            capacity = service->second.engine->kvCacheTokens * routing::prefixCacheShare;
        found->second.worker.prefixCache.add(part.chain, part.tokens, capacity);
    }
}

void Fleet::forgetPeer(const std::string& peer)
{
    std::lock_guard lock(this->mutex);
    for (auto& [id, known] : this->workers) {
        known.worker.peerLoads.erase(peer);
        known.worker.peerOutcomes.erase(peer);
    }
}

void Fleet::applyResident(const std::map<std::string, std::set<std::string>>& resident)
{
    std::lock_guard lock(this->mutex);
    for (const auto& told : resident) {
        const auto& held = told.second;
        auto found = this->workers.find(told.first);
        if (found == this->workers.end())
            continue;
        auto& worker = found->second.worker;
        if (worker.announced == held)
            continue;
        this->changeCount++;
        worker.announced = held;
        // What has gone since is no reason to send a request there. An entry that is read later goes before this.
        for (auto& model : worker.entry.models)
            std::erase_if(model.adapters, [&](const auto& adapter) { return !held.contains(model.name + "/" + adapter); });
        std::erase_if(worker.entry.models, [&held](const auto& model) { return !held.contains(model.name); });
    }
}

std::map<WorkerKey, routing::WorkerLoad> Fleet::ownLoads() const
{
    std::lock_guard lock(this->mutex);
    std::map<WorkerKey, routing::WorkerLoad> loads;
    for (const auto& [id, known] : this->workers) {
        if (known.worker.ownLoad.requests > 0)
            loads[known.key] = known.worker.ownLoad;
    }
    return loads;
}

std::map<WorkerKey, routing::RecentOutcomes> Fleet::ownFailures(Time now) const
{
    std::lock_guard lock(this->mutex);
    std::map<WorkerKey, routing::RecentOutcomes> failures;
    for (const auto& [id, known] : this->workers) {
        auto outcomes = routing::decayedTo(known.worker.outcomes, now);
        if (outcomes.failures >= failuresLeast)
            failures[known.key] = outcomes;
    }
    return failures;
}

std::vector<SentPart> Fleet::takeSent()
{
    std::lock_guard lock(this->mutex);
    return std::exchange(this->sent, {});
}

LoadTicket Fleet::reserve(const std::string& id, const routing::RequestShape& shape, const std::vector<uint64_t>& chains, uint32_t kept, double capacity)
{
    std::lock_guard lock(this->mutex);
    double unread = shape.promptTokens - std::min(kept, shape.promptTokens);
    routing::WorkerLoad load { unread, unread + shape.outputTokens, 1 };
    auto found = this->workers.find(id);
    if (found != this->workers.end()) {
        auto& worker = found->second.worker;
        worker.ownLoad = worker.ownLoad + load;
        for (size_t i = 0; i < chains.size(); i++) {
            bool known = worker.prefixCache.contains(chains[i]);
            worker.prefixCache.add(chains[i], shape.parts[i].tokens, capacity * routing::prefixCacheShare);
            // The last part is the request's own: other VMs hardly see it again.
            if (!known && i + 1 < chains.size() && this->sent.size() < sentLimit)
                this->sent.push_back({ workerKey(id), chains[i], shape.parts[i].tokens });
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
    this->changeCount++;
    auto& own = found->second.worker.ownLoad;
    own.prefillTokens = std::max(0.0, own.prefillTokens - load.prefillTokens);
    own.memoryTokens = std::max(0.0, own.memoryTokens - load.memoryTokens);
    own.requests -= std::min(own.requests, load.requests);
}

LoadTicket::LoadTicket(Fleet& fleet, std::string worker, routing::WorkerLoad load)
    : fleet(&fleet)
    , worker(std::move(worker))
    , load(load)
{
}

LoadTicket::LoadTicket(LoadTicket&& other) noexcept
    : fleet(std::exchange(other.fleet, nullptr))
    , worker(std::move(other.worker))
    , load(other.load)
    , running(std::exchange(other.running, false))
{
}

LoadTicket::~LoadTicket()
{
    if (this->running)
        this->fleet->update(this->worker, [](routing::Worker& worker) { worker.runningStreams -= std::min(worker.runningStreams, 1U); });
    if (this->fleet != nullptr)
        this->fleet->release(this->worker, this->load);
}

void LoadTicket::prefilled()
{
    this->fleet->release(this->worker, { this->load.prefillTokens, 0, 0 });
    this->load.prefillTokens = 0;
    this->running = true;
    this->fleet->update(this->worker, [](routing::Worker& worker) {
        worker.runningStreams++;
        worker.lastByteAt = monotonicNow();
    });
}

void LoadTicket::noteByte() const
{
    this->fleet->update(this->worker, [](routing::Worker& worker) { worker.lastByteAt = monotonicNow(); });
}

} // namespace comfreypier::edge
