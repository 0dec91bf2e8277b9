/// Choice of the worker that serves a request, by estimated cost.
#include <algorithm>
#include <cmath>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Response time that is assumed for plain services; a worker's slowness corrects it.
    constexpr milliseconds defaultPlainAnswerTime { 30 };
    /// Bounds of a sample of a worker's slowness.
    constexpr double maxSlowness = 20;
    constexpr double minSlowness = 0.2;
    /// Times that the shared parts of a prompt are read anew at a worker in the cost of the one that comes last in their order: what it reads
    /// takes memory and time from the prefixes that belong there, which are then read anew as well.
    constexpr double sharedPrefixWeight = 4;
    /// Part of a request's own prefill time by which it delays each request that runs at the worker: the engine prefills in pieces between the
    /// tokens of the others.
    constexpr double prefillDelayShare = 0.04;
    /// Cost of a worker with an expected failure rate of 1, as a multiple of the target latency.
    constexpr double failureCostInTargets = 4;

    /// Estimated cost of a request at a worker.
    struct Estimate {
        Time timeToFirstByte { 0 };
        Time cost { 0 }; ///< `timeToFirstByte` plus penalties, see `chooseWorker`.
        uint32_t cachedTokens = 0;
        bool hasCapacity = true; ///< Always true for plain services.
        Time timeToCapacity { 0 }; ///< Expected time until the worker has capacity, if it has none.
    };

    /// Returns the model in the worker's entry, or null if it is not there.
    const ResidentModel* findResident(const Worker& worker, const std::string& model)
    {
        for (const auto& resident : worker.entry.models) {
            if (resident.name == model)
                return &resident;
        }
        return nullptr;
    }

    Time scale(Time time, double factor)
    {
        return Time { static_cast<Time::rep>(static_cast<double>(time.count()) * factor) };
    }

    /// Returns the factor of the exponential decay after `age`: 1 at age 0, 0.5 at `estimateHalfLife`.
    double decayFactor(Time age)
    {
        return age <= Time { 0 } ? 1 : std::exp2(-Seconds(age) / Seconds(estimateHalfLife));
    }

    /// Returns the slowness, decayed towards 1 since its last sample.
    double decayedSlowness(const Worker& worker, Time now)
    {
        return 1 + (worker.slowness - 1) * decayFactor(now - worker.slownessUpdatedAt);
    }

    /// Adds the outcome of one of this VM's requests to the decayed counts.
    void countOutcome(Worker& worker, bool failed, Time now)
    {
        worker.outcomes = decayedTo(worker.outcomes, now);
        worker.outcomes.failures += failed ? 1 : 0;
        worker.outcomes.total += 1;
    }

    /// Returns a hash of worker and `key` between 0 and 1. It is the same on all VMs, so that they agree on an order of workers.
    double affinity(const Worker& worker, uint64_t key)
    {
        // The upper 53 bits of the hash, as many as a double represents exactly.
        return static_cast<double>(hashText(worker.entry.id, key) >> 11) / static_cast<double>(1ULL << 53);
    }

    /// Returns a cost that is random for each choice if peer updates are old: VMs with the same outdated view of the load would
    /// otherwise all choose the same worker. It is at most half of the time by which the updates are older than
    /// `maxFreshUpdateAge`, and 0 if they are not.
    Time randomSpread(const Worker& worker, const ChoiceInputs& inputs)
    {
        return inputs.peerUpdateAge <= maxFreshUpdateAge ? Time { 0 } : scale((inputs.peerUpdateAge - maxFreshUpdateAge) / 2, affinity(worker, inputs.choiceSeed));
    }

    /// Returns true if this VM has running streams at the worker and all are silent.
    bool isStalled(const Worker& worker, Time now)
    {
        return worker.runningStreams > 0 && now - worker.lastByteAt > stallTimeout;
    }

    Time remoteDataCentreCost(const Worker& worker, const ChoiceInputs& inputs)
    {
        return worker.entry.dataCentre == inputs.dataCentre ? Time { 0 } : Time { inputs.crossDataCentreRoundTrip + crossDataCentreCost };
    }

    Time expectedFailureCost(const Worker& worker, const ChoiceInputs& inputs)
    {
        return scale(inputs.targetLatency, failureCostInTargets * expectedFailureRate(worker, inputs.now));
    }

    /// Returns the key by which all VMs prefer the same worker for a request. The last of several prompt parts is left out, so that requests
    /// that differ only in it prefer the same worker. Without parts, all requests for the same model and adapter do.
    uint64_t affinityKey(const ChoiceInputs& inputs)
    {
        const auto& hashes = *inputs.prefixHashes;
        if (hashes.empty())
            return hashText(inputs.shape->adapter, hashText(inputs.shape->model));
        return hashes.size() > 1 ? hashes[hashes.size() - 2] : hashes.front();
    }

    /// Returns the number of tokens in the parts of a prompt that other requests may share.
    uint32_t sharedTokens(const RequestShape& shape)
    {
        uint32_t tokens = 0;
        for (size_t i = 0; i + 1 < shape.parts.size(); i++)
            tokens += shape.parts[i].tokens;
        return std::min(tokens, shape.promptTokens);
    }

    /// Returns the cost of the worker that comes last in the order for the prompt's shared parts, if some worker has them. Long shared parts stay
    /// on the first workers of that order until these are so busy that reading the parts elsewhere serves the callers better. How often parts
    /// that no worker has will be asked for is not known.
    /// @param cached cached tokens of the prompt at each candidate.
    Time sharedPrefixCost(const std::vector<uint32_t>& cached, const ChoiceInputs& inputs)
    {
        auto tokens = sharedTokens(*inputs.shape);
        bool isCached = tokens > 0 && std::any_of(cached.begin(), cached.end(), [tokens](uint32_t cachedTokens) { return cachedTokens >= tokens; });
        return isCached ? std::chrono::duration_cast<Time>(prefillTime(tokens) * sharedPrefixWeight) : Time { 0 };
    }

    /// What all candidates have in common.
    struct PromptCosts {
        uint64_t affinityKey = 0; ///< Result of `affinityKey`.
        Time affinityCost { 0 }; ///< Cost of the worker that comes last in the order for the prompt.
    };

    /// The worker's service must have an engine. @param cached cached tokens of the prompt at the worker.
    Estimate estimateModelWorker(const Worker& worker, const ChoiceInputs& inputs, const PromptCosts& costs, uint32_t cached)
    {
        const auto& shape = *inputs.shape;
        const auto& engine = *inputs.service->engine;
        Estimate estimate;
        auto load = totalLoad(worker);
        estimate.cachedTokens = cached;
        double uncachedTokens = shape.promptTokens - estimate.cachedTokens;
        double slowness = decayedSlowness(worker, inputs.now);
        auto prefill = prefillTime(load.prefillTokens + uncachedTokens) * slowness;
        auto batchSteps = load.requests * std::chrono::duration_cast<Time>(stepTimePerStream);
        estimate.timeToFirstByte = firstTokenOverhead + std::chrono::duration_cast<Time>(prefill) + batchSteps;
        // `timeToFirstByte` contains the request's own prefill once already, so only the rest of its weight is added to the cost.
        auto ownPrefill = std::chrono::duration_cast<Time>(prefillTime(uncachedTokens));
        estimate.cost = estimate.timeToFirstByte + scale(ownPrefill, prefillCostWeight - 1 + prefillDelayShare * load.requests) + remoteDataCentreCost(worker, inputs) + expectedFailureCost(worker, inputs);
        estimate.cost += scale(costs.affinityCost, affinity(worker, costs.affinityKey)) + randomSpread(worker, inputs);
        double neededTokens = uncachedTokens + shape.outputTokens;
        estimate.hasCapacity = load.requests < engine.slots && load.memoryTokens + neededTokens <= engine.kvCacheTokens * maxKvCacheFill;
        // An idle worker accepts a request of any size: waiting would not give it more capacity.
        if (load.requests == 0)
            estimate.hasCapacity = true;
        // Approximated by the time until all prefills, with that of this request, are done.
        estimate.timeToCapacity = std::chrono::duration_cast<Time>(prefill);
        return estimate;
    }

    /// Returns whether a worker's block ends at a known time at which it takes requests again.
    bool isTimed(WorkerBlock block)
    {
        return block == WorkerBlock::Held || block == WorkerBlock::Limited || block == WorkerBlock::Full;
    }

    /// Assumes that the worker answers `slots` requests at once, each in the same time, and that further requests queue there.
    Estimate estimatePlainWorker(const Worker& worker, const ChoiceInputs& inputs)
    {
        Estimate estimate;
        auto load = totalLoad(worker);
        auto slots = std::max(1U, worker.entry.slots);
        double slowness = decayedSlowness(worker, inputs.now);
        auto answerTime = scale(defaultPlainAnswerTime, slowness);
        // How many answer times the request waits for a slot; it counts as part of the queue.
        double queuedBatches = load.requests >= slots ? static_cast<double>(load.requests - slots + 1) / slots : 0;
        estimate.timeToFirstByte = answerTime + scale(answerTime, queuedBatches);
        // The penalty is small while most slots are free and grows with the square of the utilization.
        double utilization = static_cast<double>(load.requests) / slots;
        estimate.cost = estimate.timeToFirstByte + scale(answerTime, utilization * utilization) + remoteDataCentreCost(worker, inputs) + expectedFailureCost(worker, inputs);
        return estimate;
    }

    /// Chooses the worker that should load a missing adapter. VMs with the same state choose the same one. Workers that execute a
    /// model order come last, because they refuse adapter orders; before them come workers without a free adapter slot.
    /// @param modelHolders not empty.
    Worker* choosePreferredWorker(const std::vector<Worker*>& modelHolders, const RequestShape& shape, uint32_t adapterSlots)
    {
        // Announced items with a slash are adapters.
        auto hasNoFreeSlot = [adapterSlots](const Worker* worker) {
            return std::count_if(worker->announced.begin(), worker->announced.end(), [](const auto& item) { return item.find('/') != std::string::npos; }) >= adapterSlots;
        };
        auto key = hashText(shape.adapter, hashText(shape.model));
        // The affinity is below 1, so each deduction outweighs it.
        auto rank = [key, hasNoFreeSlot](const Worker* worker) { return affinity(*worker, key) - (worker->announced.contains(orderInProgressMark) ? 2 : 0) - (hasNoFreeSlot(worker) ? 1 : 0); };
        std::vector<double> ranks;
        std::transform(modelHolders.begin(), modelHolders.end(), std::back_inserter(ranks), rank);
        return modelHolders[static_cast<size_t>(std::max_element(ranks.begin(), ranks.end()) - ranks.begin())];
    }

    /// Returns the candidate with capacity and the lowest cost, or `NoCapacity` if none has capacity.
    /// @param candidates not empty; all hold the model and adapter of the request.
    Choice chooseCheapest(const std::vector<Worker*>& candidates, const ChoiceInputs& inputs)
    {
        Choice choice;
        choice.blockReason = BlockReason::NoCapacity;
        Time minCost = Time::max();
        choice.timeToCapacity = Time::max();
        bool hasEngine = inputs.service->engine.has_value();
        PromptCosts costs;
        std::vector<uint32_t> cached;
        if (hasEngine) {
            std::transform(candidates.begin(), candidates.end(), std::back_inserter(cached), [&inputs](const Worker* worker) { return cachedTokens(worker->prefixCache, *inputs.shape, *inputs.prefixHashes); });
            costs = { affinityKey(inputs), maxAffinityCost + sharedPrefixCost(cached, inputs) };
        }
        for (size_t i = 0; i < candidates.size(); i++) {
            auto* worker = candidates[i];
            auto estimate = hasEngine ? estimateModelWorker(*worker, inputs, costs, cached[i]) : estimatePlainWorker(*worker, inputs);
            if (!estimate.hasCapacity) {
                choice.timeToCapacity = std::min(choice.timeToCapacity, estimate.timeToCapacity);
                continue;
            }
            if (estimate.cost >= minCost)
                continue;
            minCost = estimate.cost;
            choice = { worker, BlockReason::None, nullptr, estimate.timeToFirstByte, estimate.cachedTokens, choice.timeToCapacity, 0, {} };
        }
        if (choice.blockReason == BlockReason::NoCapacity)
            choice.fullWorkers = static_cast<uint32_t>(candidates.size());
        return choice;
    }

} // namespace

bool holdsModel(const Worker& worker, const std::string& model)
{
    // Most workers have nothing announced: then no text is put together for them.
    if (!worker.announced.empty() && worker.announced.contains("!" + model))
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
    for (const auto& [vm, peerLoad] : worker.peerLoads)
        load = load + peerLoad;
    return load;
}

std::chrono::duration<double> prefillTime(double tokens)
{
    return Seconds(tokens / defaultPrefillTokensPerMs / 1000);
}

RecentOutcomes decayedTo(const RecentOutcomes& outcomes, Time now)
{
    auto factor = decayFactor(now - outcomes.at);
    return { outcomes.failures * factor, outcomes.total * factor, now };
}

double expectedFailureRate(const Worker& worker, Time now)
{
    auto sum = decayedTo(worker.outcomes, now);
    for (const auto& [vm, outcomes] : worker.peerOutcomes) {
        auto decayed = decayedTo(outcomes, now);
        sum.failures += peerOutcomeWeight * decayed.failures;
        sum.total += peerOutcomeWeight * decayed.total;
    }
    return sum.failures / (sum.total + priorSuccesses);
}

void recordAnswer(Worker& worker, bool failed, Time expected, Time measured, Time now)
{
    countOutcome(worker, failed, now);
    worker.connectFailures = 0;
    if (expected <= Time { 0 } || failed)
        return;
    worker.slowness = decayedSlowness(worker, now);
    worker.slownessUpdatedAt = now;
    // `expected` was computed with the worker's slowness; the factor relates the sample to the default speed again.
    auto sample = std::clamp(Seconds(measured) / Seconds(expected) * worker.slowness, minSlowness, maxSlowness);
    worker.slowness += slownessSampleWeight * (sample - worker.slowness);
}

void recordUnreachable(Worker& worker, Time now)
{
    countOutcome(worker, true, now);
    // Limiting the exponent avoids an overflow; at 4 the backoff exceeds the maximum already.
    auto backoff = std::min(maxConnectBackoff, minConnectBackoff * (1 << std::min(worker.connectFailures, 4U)));
    worker.connectFailures++;
    worker.avoidUntil = std::max(worker.avoidUntil, now + backoff);
}

void recordFull(Worker& worker, Time now)
{
    worker.connectFailures = 0;
    worker.avoidUntil = std::max<Time>(worker.avoidUntil, now + fullBackoff);
}

Time holdEnd(Time delay, Time now)
{
    return now + std::min<Time>(delay, maxWorkerHold);
}

void recordHold(Worker& worker, Time delay, Time now)
{
    worker.heldUntil = std::max(worker.heldUntil, holdEnd(delay, now));
}

bool mayHaveSaid(const WorkerEntry& worker, milliseconds saidAt)
{
    return worker.startedAt <= saidAt.count();
}

WorkerAvailability checkWorker(const Worker& worker, Time now)
{
    if (worker.entry.draining || worker.leaving)
        return { WorkerBlock::Leaving, Time::max() };
    if (isStalled(worker, now))
        return { WorkerBlock::Stalled, Time::max() };
    WorkerAvailability result { WorkerBlock::None, now };
    auto apply = [&result](WorkerBlock block, Time until) {
        if (until > result.until)
            result = { block, until };
    };
    apply(WorkerBlock::Held, worker.heldUntil);
    apply(WorkerBlock::Limited, worker.limitedUntil);
    apply(worker.connectFailures > 0 ? WorkerBlock::Unreachable : WorkerBlock::Full, worker.avoidUntil);
    return result;
}

bool wantsRequests(const Worker& worker, Time now)
{
    return !worker.entry.draining && !worker.leaving && worker.heldUntil <= now;
}

bool mayResumeAt(const Worker& worker, Time now)
{
    return wantsRequests(worker, now) && worker.limitedUntil <= now;
}

Choice chooseWorker(const std::vector<Worker*>& workers, const ChoiceInputs& inputs)
{
    // Each list is a subset of the one before; the first empty one gives the block reason.
    std::vector<Worker*> available;
    std::vector<Worker*> reachable;
    std::vector<Worker*> modelHolders;
    std::vector<Worker*> candidates;
    std::vector<std::pair<std::string, WorkerBlock>> passedOver;
    WorkerAvailability first { WorkerBlock::None, Time::max() }; // Of the suitable workers the one that takes requests again first.
    for (auto* worker : workers) {
        if (worker->entry.service != inputs.service->name)
            continue;
        auto availability = checkWorker(*worker, inputs.now);
        bool hasModel = !inputs.service->engine || holdsModel(*worker, inputs.shape->model);
        bool hasAdapter = hasModel && (!inputs.service->engine || holdsAdapter(*worker, *inputs.shape));
        if (availability.block != WorkerBlock::None && hasModel && passedOver.size() < maxPassedOver)
            passedOver.emplace_back(worker->entry.id, availability.block);
        if (availability.block == WorkerBlock::Leaving)
            continue;
        available.push_back(worker);
        if (inputs.excluded != nullptr && inputs.excluded->contains(worker->entry.id))
            continue;
        if (availability.block != WorkerBlock::None) {
            if (hasAdapter && isTimed(availability.block) && availability.until < first.until)
                first = availability;
            continue;
        }
        reachable.push_back(worker);
        if (!hasModel)
            continue;
        modelHolders.push_back(worker);
        if (hasAdapter)
            candidates.push_back(worker);
    }
    Choice choice;
    if (!candidates.empty())
        choice = chooseCheapest(candidates, inputs);
    else if (available.empty())
        choice.blockReason = BlockReason::NoWorker;
    else if (modelHolders.empty() && (first.block == WorkerBlock::Held || first.block == WorkerBlock::Limited)) {
        choice.blockReason = first.block == WorkerBlock::Held ? BlockReason::Held : BlockReason::Limited;
        choice.timeToCapacity = first.until - inputs.now;
    } else if (reachable.empty())
        choice.blockReason = BlockReason::Unreachable;
    else if (modelHolders.empty())
        choice.blockReason = BlockReason::NoModel;
    else {
        choice.blockReason = BlockReason::NoAdapter;
        choice.preferredWorker = choosePreferredWorker(modelHolders, *inputs.shape, inputs.service->engine->adapterSlots);
    }
    choice.passedOver = std::move(passedOver);
    return choice;
}

bool isWorkerSilent(const Worker& worker, Time timeout, Time now)
{
    return now - worker.lastByteAt >= timeout;
}

bool isBackupWorthwhile(const Service& service, const RequestShape& shape)
{
    return service.engine && service.engine->supportsBackups && shape.outputTokens > 0 && shape.promptTokens <= maxBackupPromptRatio * shape.outputTokens;
}

Worker* chooseBackup(const std::vector<Worker*>& workers, const ChoiceInputs& inputs, const WorkerEntry& primary)
{
    Worker* best = nullptr;
    double minMemory = 0;
    for (auto* worker : workers) {
        if (checkWorker(*worker, inputs.now).block != WorkerBlock::None || worker->entry.id == primary.id || !holdsModel(*worker, inputs.shape->model))
            continue;
        // In tokens, with penalties for a missing adapter and for another data centre.
        double memory = totalLoad(*worker).memoryTokens + (holdsAdapter(*worker, *inputs.shape) ? 0 : inputs.service->engine->kvCacheTokens);
        if (worker->entry.dataCentre != primary.dataCentre)
            memory += inputs.service->engine->kvCacheTokens / 2;
        if (best == nullptr || memory < minMemory) {
            best = worker;
            minMemory = memory;
        }
    }
    return best;
}

const char* name(BlockReason reason)
{
    constexpr std::array<const char*, static_cast<size_t>(BlockReason::Count)> names {
        "none", "no_worker", "unreachable", "no_model", "no_adapter", "no_room", "limited", "held"
    };
    return names[static_cast<size_t>(reason)];
}

const char* name(WorkerBlock block)
{
    constexpr std::array<const char*, static_cast<size_t>(WorkerBlock::Count)> names {
        "none", "leaving", "held", "limited", "unreachable", "full", "stalled"
    };
    return names[static_cast<size_t>(block)];
}

} // namespace comfreypier::routing
