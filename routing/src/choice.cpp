/// Choice of the worker that answers a request.
#include <algorithm>
#include <cmath>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Usual time in which a plain service answers when nothing is known of it.
    constexpr milliseconds plainAnswerTime { 30 };
    /// Slowness that a worker is taken to have at most and at least.
    constexpr double slownessMost = 20;
    constexpr double slownessLeast = 0.2;
    /// Cost of a sure failure, in target latencies.
    constexpr double failureCost = 4;

    /// Cost of one worker for one request.
    struct Estimate {
        Time timeToFirstByte { 0 };
        Time cost { 0 };
        uint32_t kept = 0;
        bool room = true;
        Time timeToCapacity { 0 };
    };

    const ResidentModel* findResident(const Worker& worker, const std::string& model)
    {
        for (const auto& resident : worker.entry.models) {
            if (resident.name == model)
                return &resident;
        }
        return nullptr;
    }

    Time scaled(Time time, double factor)
    {
        return Time { static_cast<Time::rep>(static_cast<double>(time.count()) * factor) };
    }

    /// Share that is left of a belief after `age`.
    double fading(Time age)
    {
        return age <= Time { 0 } ? 1 : std::exp2(-Seconds(age) / Seconds(estimateHalfLife));
    }

    double slownessOf(const Worker& worker, Time now)
    {
        return 1 + (worker.slowness - 1) * fading(now - worker.slownessUpdatedAt);
    }

    void addOutcome(Worker& worker, bool failed, Time now)
    {
        worker.outcomes = decayedTo(worker.outcomes, now);
        worker.outcomes.failures += failed ? 1 : 0;
        worker.outcomes.total += 1;
    }

    /// Position of a worker in the order in which all VMs prefer workers for `key`, from 0 to 1.
    double affinity(const Worker& worker, uint64_t key)
    {
        return static_cast<double>(hashText(worker.entry.id, key) >> 11) / static_cast<double>(1ULL << 53);
    }

    /// Spreads the choices that VMs make on news of the same age.
    Time herdSpread(const Worker& worker, const ChoiceInputs& inputs)
    {
        return inputs.peerUpdateAge <= maxFreshUpdateAge ? Time { 0 } : scaled((inputs.peerUpdateAge - maxFreshUpdateAge) / 2, affinity(worker, inputs.requestSeed));
    }

    bool isStalled(const Worker& worker, Time now)
    {
        return worker.runningStreams > 0 && now - worker.lastByteAt > stallTimeout;
    }

    Time distanceCost(const Worker& worker, const ChoiceInputs& inputs)
    {
        return worker.entry.dataCentre == inputs.dataCentre ? Time { 0 } : Time { inputs.crossDataCentreRoundTrip + crossDataCentreCost };
    }

    Time failureTime(const Worker& worker, const ChoiceInputs& inputs)
    {
        return scaled(inputs.targetLatency, failureCost * expectedFailureRate(worker, inputs.now));
    }

    Estimate estimateModel(const Worker& worker, const ChoiceInputs& inputs)
    {
        const auto& shape = *inputs.shape;
        const auto& engine = *inputs.service->engine;
        Estimate estimate;
        auto load = totalLoad(worker);
        estimate.kept = cachedTokens(worker.prefixCache, shape, *inputs.prefixHashes);
        double unread = shape.promptTokens - estimate.kept;
        double slowness = slownessOf(worker, inputs.now);
        auto reading = prefillTime(load.prefillTokens + unread) * slowness;
        auto steps = load.requests * std::chrono::duration_cast<Time>(stepTimePerStream);
        estimate.timeToFirstByte = firstTokenOverhead + std::chrono::duration_cast<Time>(reading) + steps;
        auto ownReading = std::chrono::duration_cast<Time>(prefillTime(unread));
        estimate.cost = estimate.timeToFirstByte + scaled(ownReading, prefillCostWeight - 1) + distanceCost(worker, inputs) + failureTime(worker, inputs);
        auto key = inputs.prefixHashes->empty() ? hashText(shape.adapter, hashText(shape.model)) : inputs.prefixHashes->size() > 1 ? (*inputs.prefixHashes)[inputs.prefixHashes->size() - 2]
                                                                                                                                   : inputs.prefixHashes->front();
        estimate.cost += scaled(maxAffinityCost, affinity(worker, key)) + herdSpread(worker, inputs);
        double need = unread + shape.outputTokens;
        estimate.room = load.requests < engine.slots && load.memoryTokens + need <= engine.kvCacheTokens * maxKvCacheFill;
        if (load.requests == 0)
            estimate.room = true;
        estimate.timeToCapacity = std::chrono::duration_cast<Time>(reading);
        return estimate;
    }

    Estimate estimatePlain(const Worker& worker, const ChoiceInputs& inputs)
    {
        Estimate estimate;
        auto load = totalLoad(worker);
        auto slots = std::max(1U, worker.entry.slots);
        double slowness = slownessOf(worker, inputs.now);
        auto answer = scaled(plainAnswerTime, slowness);
        double waiting = load.requests >= slots ? static_cast<double>(load.requests - slots + 1) / slots : 0;
        estimate.timeToFirstByte = answer + scaled(answer, waiting);
        double busy = static_cast<double>(load.requests) / slots;
        estimate.cost = estimate.timeToFirstByte + scaled(answer, busy * busy) + distanceCost(worker, inputs) + failureTime(worker, inputs);
        return estimate;
    }

    Estimate estimateFor(const Worker& worker, const ChoiceInputs& inputs)
    {
        return inputs.service->engine ? estimateModel(worker, inputs) : estimatePlain(worker, inputs);
    }

    /// The worker that all VMs agree should load a missing adapter.
    Worker* chooseHome(const std::vector<Worker*>& holders, const RequestShape& shape, uint32_t adapterSlots)
    {
        auto isFull = [adapterSlots](const Worker* worker) {
            return std::count_if(worker->announced.begin(), worker->announced.end(), [](const auto& item) { return item.find('/') != std::string::npos; }) >= adapterSlots;
        };
        auto key = hashText(shape.adapter, hashText(shape.model));
        auto rank = [key, isFull](const Worker* worker) { return affinity(*worker, key) - (worker->announced.contains(orderInProgressMark) ? 2 : 0) - (isFull(worker) ? 1 : 0); };
        return *std::max_element(holders.begin(), holders.end(), [&rank](const Worker* a, const Worker* b) { return rank(a) < rank(b); });
    }

    Choice chooseCheapest(const std::vector<Worker*>& able, const ChoiceInputs& inputs)
    {
        Choice choice;
        choice.blockReason = BlockReason::NoCapacity;
        Time least = Time::max();
        choice.timeToCapacity = Time::max();
        for (auto* worker : able) {
            auto estimate = estimateFor(*worker, inputs);
            if (!estimate.room) {
                choice.timeToCapacity = std::min(choice.timeToCapacity, estimate.timeToCapacity);
                continue;
            }
            if (estimate.cost >= least)
                continue;
            least = estimate.cost;
            choice = { worker, BlockReason::None, nullptr, estimate.timeToFirstByte, estimate.kept, choice.timeToCapacity };
        }
        return choice;
    }

} // namespace

bool holdsModel(const Worker& worker, const std::string& model)
{
    if (worker.announced.contains("!" + model))
        return false;
    return findResident(worker, model) != nullptr || worker.announced.contains(model);
}

bool holdsAdapter(const Worker& worker, const RequestShape& shape)
{
    if (shape.adapter.empty())
        return true;
    const auto* resident = findResident(worker, shape.model);
    return (resident != nullptr && resident->adapters.contains(shape.adapter)) || worker.announced.contains(shape.model + "/" + shape.adapter);
}

WorkerLoad operator+(const WorkerLoad& a, const WorkerLoad& b)
{
    return { a.prefillTokens + b.prefillTokens, a.memoryTokens + b.memoryTokens, a.requests + b.requests };
}

WorkerLoad totalLoad(const Worker& worker)
{
    auto load = worker.ownLoad;
    for (const auto& [vm, theirs] : worker.peerLoads)
        load = load + theirs;
    return load;
}

std::chrono::duration<double> prefillTime(double tokens)
{
    return Seconds(tokens / defaultPrefillTokensPerMs / 1000);
}

RecentOutcomes decayedTo(const RecentOutcomes& outcomes, Time now)
{
    auto share = fading(now - outcomes.at);
    return { outcomes.failures * share, outcomes.total * share, now };
}

double expectedFailureRate(const Worker& worker, Time now)
{
    auto sum = decayedTo(worker.outcomes, now);
    for (const auto& [vm, outcomes] : worker.peerOutcomes) {
        auto theirs = decayedTo(outcomes, now);
        sum.failures += peerOutcomeWeight * theirs.failures;
        sum.total += peerOutcomeWeight * theirs.total;
    }
    return sum.failures / (sum.total + priorSuccesses);
}

void recordAnswer(Worker& worker, bool failed, Time expected, Time measured, Time now)
{
    addOutcome(worker, failed, now);
    worker.connectFailures = 0;
    if (expected <= Time { 0 } || failed)
        return;
    worker.slowness = slownessOf(worker, now);
    worker.slownessUpdatedAt = now;
    auto ratio = std::clamp(Seconds(measured) / Seconds(expected) * worker.slowness, slownessLeast, slownessMost);
    worker.slowness += speedSampleWeight * (ratio - worker.slowness);
}

void recordUnreachable(Worker& worker, Time now)
{
    addOutcome(worker, true, now);
    auto pause = std::min(maxConnectBackoff, minConnectBackoff * (1 << std::min(worker.connectFailures, 4U)));
    worker.connectFailures++;
    worker.avoidUntil = std::max(worker.avoidUntil, now + pause);
}

void recordFull(Worker& worker, Time now)
{
    worker.avoidUntil = std::max<Time>(worker.avoidUntil, now + fullBackoff);
}

Choice chooseWorker(const std::vector<Worker*>& workers, const ChoiceInputs& inputs)
{
    std::vector<Worker*> alive;
    std::vector<Worker*> reachable;
    std::vector<Worker*> holders;
    std::vector<Worker*> able;
    for (auto* worker : workers) {
        if (worker->entry.draining || worker->entry.service != inputs.service->name)
            continue;
        alive.push_back(worker);
        if (worker->avoidUntil > inputs.now || isStalled(*worker, inputs.now) || (inputs.excluded != nullptr && inputs.excluded->contains(worker->entry.id)))
            continue;
        reachable.push_back(worker);
        if (inputs.service->engine && !holdsModel(*worker, inputs.shape->model))
            continue;
        holders.push_back(worker);
        if (holdsAdapter(*worker, *inputs.shape))
            able.push_back(worker);
    }
    if (!able.empty())
        return chooseCheapest(able, inputs);
    Choice choice;
    if (alive.empty())
        choice.blockReason = BlockReason::NoWorker;
    else if (reachable.empty())
        choice.blockReason = BlockReason::Unreachable;
    else if (holders.empty())
        choice.blockReason = BlockReason::NoModel;
    else {
        choice.blockReason = BlockReason::NoAdapter;
        choice.preferredWorker = chooseHome(holders, *inputs.shape, inputs.service->engine->adapterSlots);
    }
    return choice;
}

bool isWorkerSilent(const Worker& worker, Time patience, Time now)
{
    return now - worker.lastByteAt >= patience;
}

bool isBackupWorthwhile(const Service& service, const RequestShape& shape)
{
    return service.engine && service.engine->supportsBackups && shape.outputTokens > 0 && shape.promptTokens <= maxBackupPromptRatio * shape.outputTokens;
}

Worker* chooseBackup(const std::vector<Worker*>& workers, const ChoiceInputs& inputs, const WorkerEntry& primary)
{
    Worker* best = nullptr;
    double least = 0;
    for (auto* worker : workers) {
        bool usable = !worker->entry.draining && worker->avoidUntil <= inputs.now && !isStalled(*worker, inputs.now);
        if (!usable || worker->entry.id == primary.id || !holdsModel(*worker, inputs.shape->model))
            continue;
        double memory = totalLoad(*worker).memoryTokens + (holdsAdapter(*worker, *inputs.shape) ? 0 : inputs.service->engine->kvCacheTokens);
        if (worker->entry.dataCentre != primary.dataCentre)
            memory += inputs.service->engine->kvCacheTokens / 2;
        if (best == nullptr || memory < least) {
            best = worker;
            least = memory;
        }
    }
    return best;
}

const char* name(BlockReason blockReason)
{
    constexpr std::array<const char*, static_cast<size_t>(BlockReason::Count)> names {
        "none", "no_worker", "unreachable", "no_model", "no_adapter", "no_room"
    };
    return names[static_cast<size_t>(blockReason)];
}

} // namespace comfreypier::routing
