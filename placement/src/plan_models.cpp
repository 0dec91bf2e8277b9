/// Plans model orders: which model to load or evict next, and on which worker.
#include <algorithm>
#include <climits>
#include <cmath>
#include <map>
#include <placement/placement.h>
#include <tuple>
#include <unordered_map>

namespace comfreypier::placement {

namespace {

    /// The lost work and the load of candidates are rounded to multiples of these before they are compared, in worker seconds per
    /// second. Between candidates with about the same values the other criteria decide.
    constexpr double costStep = 0.05;
    constexpr double loadStep = 0.1;
    /// Rounds in which the work of the models is spread over their copies. The loads change little after a few.
    constexpr int spreadRounds = 4;

    /// Copy of a model on an active worker, with the part of the model's work that goes there.
    struct CopyShare {
        size_t worker = 0; ///< Index of the worker in the inputs.
        double work = 0;
    };

    /// Statistics of one model. Work is in worker seconds per second.
    struct ModelStats {
        double sizeMegabytes = 0;
        double work = 0;
        std::vector<CopyShare> copies; ///< On active workers, including copies for which memory is still being freed.
        double level = 0; ///< Load of the least busy worker with a copy: where the next request for the model goes.
        std::map<std::string, uint32_t> copiesByDataCentre;

        double workPerCopy() const { return this->work / static_cast<double>(std::max<size_t>(1, this->copies.size())); }
    };

    /// Statistics for one planning decision. They are computed once per decision, because planning for hundreds of workers must
    /// leave the VM enough time to serve its callers.
    struct PlanStats {
        std::unordered_map<std::string, ModelStats> models;
        std::vector<double> load; ///< Work of each worker, in the order of the inputs.
        std::vector<double> freeMegabytes; ///< Free model memory of each worker, in the order of the inputs.
        double meanLoad = 0; ///< Over the active workers.

        /// Returns the statistics of a model, all zero if it is unknown.
        const ModelStats& forModel(const std::string& model) const
        {
            static const ModelStats none;
            auto found = this->models.find(model);
            return found == this->models.end() ? none : found->second;
        }
    };

    /// Spreads the work of one model over its copies as the choice of a worker does: to the least busy ones, up to a common level.
    /// @param load work of each worker, updated.
    void spreadWork(ModelStats& model, std::vector<double>& load)
    {
        if (model.copies.empty())
            return;
        for (auto& copy : model.copies)
            load[copy.worker] -= copy.work;
        std::sort(model.copies.begin(), model.copies.end(), [&load](const CopyShare& a, const CopyShare& b) { return load[a.worker] < load[b.worker]; });
        double sum = model.work;
        size_t used = 0;
        while (used < model.copies.size() && load[model.copies[used].worker] * static_cast<double>(used) <= sum)
            sum += load[model.copies[used++].worker];
        model.level = sum / static_cast<double>(used);
        for (auto& copy : model.copies) {
            copy.work = std::max(0.0, model.level - load[copy.worker]);
            load[copy.worker] += copy.work;
        }
    }

    PlanStats computeStats(const ModelPlanInputs& inputs)
    {
        PlanStats stats;
        for (const auto& spec : inputs.engine->models)
            stats.models[spec.name].sizeMegabytes = spec.weightsMegabytes;
        for (const auto& [model, work] : inputs.work)
            stats.models[model].work = work;
        double capacity = modelMemoryMegabytes(*inputs.engine);
        double activeWorkers = 0;
        for (size_t i = 0; i < inputs.workers.size(); i++) {
            const auto& worker = inputs.workers[i];
            double freeMegabytes = capacity;
            for (const auto& model : worker.models)
                freeMegabytes -= stats.forModel(model).sizeMegabytes;
            // A model that is being unloaded may also be in `models` if the worker is not synced; its memory is subtracted once.
            for (const auto& model : worker.unloading)
                freeMegabytes -= worker.models.contains(model) ? 0 : stats.forModel(model).sizeMegabytes;
            stats.freeMegabytes.push_back(freeMegabytes);
            stats.load.push_back(0);
            if (!worker.active)
                continue;
            activeWorkers++;
            auto countCopy = [&](const std::string& model) {
                auto& modelStats = stats.models[model];
                modelStats.copies.push_back({ i, 0 });
                modelStats.copiesByDataCentre[worker.dataCentre]++;
            };
            for (const auto& model : worker.models)
                countCopy(model);
            if (!worker.reservedModel.empty() && !worker.models.contains(worker.reservedModel))
                countCopy(worker.reservedModel);
        }
        for (int round = 0; round < spreadRounds; round++) {
            for (auto& [name, model] : stats.models) {
                if (model.work > 0)
                    spreadWork(model, stats.load);
            }
        }
        // Models that were spread later may have raised the levels of earlier ones.
        for (auto& [name, model] : stats.models) {
            for (size_t i = 0; i < model.copies.size(); i++)
                model.level = i == 0 ? stats.load[model.copies[i].worker] : std::min(model.level, stats.load[model.copies[i].worker]);
        }
        for (auto load : stats.load)
            stats.meanLoad += load / std::max(1.0, activeWorkers);
        return stats;
    }

    /// Returns the models that may be evicted from a worker, those with the least work per copy first. The last copy of a model
    /// is never evicted.
    /// @param maxRemainingWork upper limit of the work per remaining copy after the eviction.
    std::vector<std::string> evictableModels(const WorkerInventory& worker, const ModelPlanInputs& inputs, const PlanStats& stats, double maxRemainingWork)
    {
        std::vector<std::string> models;
        for (const auto& model : worker.models) {
            const auto& modelStats = stats.forModel(model);
            // The last copy stays.
            if (modelStats.copies.size() < 2)
                continue;
            auto loaded = worker.loadedAt.find(model);
            if (loaded != worker.loadedAt.end() && inputs.now - loaded->second < minResidence)
                continue;
            if (modelStats.work / static_cast<double>(modelStats.copies.size() - 1) <= maxRemainingWork)
                models.push_back(model);
        }
        // Without any work, as before the first request, the copies tell which models are in demand: of those with most, one is
        // missed least.
        std::sort(models.begin(), models.end(), [&](const auto& a, const auto& b) {
            const auto& statsA = stats.forModel(a);
            const auto& statsB = stats.forModel(b);
            return std::pair(statsA.workPerCopy(), statsB.copies.size()) < std::pair(statsB.workPerCopy(), statsA.copies.size());
        });
        return models;
    }

    /// Worker that can get a model, after evictions if needed.
    struct Candidate {
        const WorkerInventory* worker = nullptr;
        std::vector<std::string> evictions; ///< Models to evict first.
        bool cached = false; ///< The worker has the weights on its disk or in its host memory.
        double load = 0; ///< Work of the worker without that of the evicted copies.
        uint32_t copiesInDataCentre = 0; ///< Copies of the model in the worker's data centre.
        double lostWork = 0; ///< Work per copy of the evicted models.
        size_t fewestRemaining = SIZE_MAX; ///< Copies that the evicted model with the fewest copies keeps.
    };

    /// Returns the part of a model's work that goes to a worker.
    double shareOf(const ModelStats& model, size_t worker)
    {
        auto found = std::find_if(model.copies.begin(), model.copies.end(), [worker](const CopyShare& copy) { return copy.worker == worker; });
        return found == model.copies.end() ? 0 : found->work;
    }

    /// Returns how a model can be placed on a worker, if at all: in free memory, or after as few evictions as make it fit.
    /// @param position index of the worker in the inputs.
    /// @param maxRemainingWork see `evictableModels()`.
    std::optional<Candidate> findCandidate(const WorkerInventory& worker, size_t position, const std::string& model, const ModelPlanInputs& inputs, const PlanStats& stats, double maxRemainingWork)
    {
        if (!worker.acceptsModelOrders || !worker.active || !worker.reservedModel.empty() || worker.models.contains(model) || worker.unloading.contains(model))
            return std::nullopt;
        const auto& modelStats = stats.forModel(model);
        auto inDataCentre = modelStats.copiesByDataCentre.find(worker.dataCentre);
        Candidate candidate;
        candidate.worker = &worker;
        candidate.cached = worker.cachedModels.contains(model);
        candidate.load = stats.load[position];
        candidate.copiesInDataCentre = inDataCentre == modelStats.copiesByDataCentre.end() ? 0 : inDataCentre->second;
        double freeMegabytes = stats.freeMegabytes[position];
        double neededMegabytes = modelStats.sizeMegabytes;
        if (freeMegabytes >= neededMegabytes)
            return candidate;
        for (const auto& evicted : evictableModels(worker, inputs, stats, maxRemainingWork)) {
            if (freeMegabytes >= neededMegabytes)
                break;
            const auto& evictedStats = stats.forModel(evicted);
            candidate.evictions.push_back(evicted);
            candidate.lostWork += evictedStats.workPerCopy();
            candidate.load -= shareOf(evictedStats, position);
            candidate.fewestRemaining = std::min(candidate.fewestRemaining, evictedStats.copies.size() - 1);
            freeMegabytes += evictedStats.sizeMegabytes;
        }
        if (freeMegabytes < neededMegabytes)
            return std::nullopt;
        return candidate;
    }

    /// Returns whether candidate `a` is preferred over `b`. The criteria are, in this order: no evictions, less lost work, fewer
    /// evictions, cached weights, a clearly less busy worker, fewer copies in the data centre, more remaining copies of what is
    /// evicted, a less busy worker.
    bool isBetter(const Candidate& a, const Candidate& b)
    {
        auto rank = [](const Candidate& candidate) {
            auto remaining = static_cast<long>(std::min<size_t>(candidate.fewestRemaining, LONG_MAX));
            return std::tuple(!candidate.evictions.empty(), std::lround(candidate.lostWork / costStep), candidate.evictions.size(), !candidate.cached,
                std::lround(candidate.load / loadStep), candidate.copiesInDataCentre, -remaining, candidate.load);
        };
        return rank(a) < rank(b);
    }

    /// Returns the best worker for a further copy of a model, if there is one.
    /// @param maxRemainingWork see `evictableModels()`.
    /// @param maxLoad upper limit of the worker's work without that of the evicted copies.
    std::optional<Candidate> findBestCandidate(const std::string& model, const ModelPlanInputs& inputs, const PlanStats& stats, double maxRemainingWork, double maxLoad)
    {
        std::optional<Candidate> best;
        for (size_t i = 0; i < inputs.workers.size(); i++) {
            auto candidate = findCandidate(inputs.workers[i], i, model, inputs, stats, maxRemainingWork);
            if (candidate && candidate->load <= maxLoad && (!best || isBetter(*candidate, *best)))
                best = candidate;
        }
        return best;
    }

    /// Returns the first order that places a model on a candidate: an eviction, or the load if none is needed.
    /// @return nothing if the model must come from the weight store and its limits allow no further load now. Then nothing is evicted
    /// either: the evicted copy is used until the load can follow.
    std::optional<Order> firstOrder(const Candidate& candidate, const std::string& model, const ModelPlanInputs& inputs, const std::string& reason)
    {
        bool fromStore = !candidate.cached;
        if (fromStore && (inputs.availableStoreLoads < 1 || inputs.storeLoadsRunning >= maxConcurrentStoreLoads(*inputs.engine)))
            return std::nullopt;
        if (!candidate.evictions.empty())
            return Order { candidate.worker->id, OrderKind::Unload, candidate.evictions.front(), "", false, "room_for_" + model, model };
        return Order { candidate.worker->id, OrderKind::Load, model, "", fromStore, reason, "" };
    }

    /// Returns the next order on a worker where memory is being freed for a model.
    std::optional<Order> planReserved(const ModelPlanInputs& inputs, const PlanStats& stats)
    {
        for (size_t i = 0; i < inputs.workers.size(); i++) {
            const auto& worker = inputs.workers[i];
            if (worker.reservedModel.empty() || !worker.acceptsModelOrders || !worker.active)
                continue;
            // `findCandidate()` skips workers with a reservation.
            auto unreserved = worker;
            unreserved.reservedModel.clear();
            // `HUGE_VAL`: no limit on the work of evicted models.
            auto candidate = findCandidate(unreserved, i, worker.reservedModel, inputs, stats, HUGE_VAL);
            if (!candidate)
                continue;
            candidate->worker = &worker; // Instead of the local copy.
            if (auto order = firstOrder(*candidate, worker.reservedModel, inputs, "reserved"))
                return order;
        }
        return std::nullopt;
    }

    /// Returns the configured models for which `applies` returns true, those with the most work first.
    template <class Applies>
    std::vector<std::string> modelsByWork(const ModelPlanInputs& inputs, const PlanStats& stats, Applies&& applies)
    {
        std::vector<std::string> models;
        for (const auto& spec : inputs.engine->models) {
            if (applies(stats.forModel(spec.name)))
                models.push_back(spec.name);
        }
        std::stable_sort(models.begin(), models.end(), [&](const auto& a, const auto& b) { return stats.forModel(a).work > stats.forModel(b).work; });
        return models;
    }

    /// Returns the least work that must be lost anywhere to place a model, whether or not the worker accepts orders now.
    double leastLostWork(const std::string& model, const ModelPlanInputs& inputs, const PlanStats& stats)
    {
        double least = HUGE_VAL;
        for (size_t i = 0; i < inputs.workers.size(); i++) {
            auto idle = inputs.workers[i];
            idle.acceptsModelOrders = true;
            if (auto candidate = findCandidate(idle, i, model, inputs, stats, HUGE_VAL))
                least = std::min(least, candidate->lostWork);
        }
        return least;
    }

    /// Returns an order for a model without any copy. If only workers that execute an order could give up a copy that is missed
    /// less, the model waits for them.
    /// @param requested whether to consider only models that requests ask for, or only the others.
    std::optional<Order> planMissing(const ModelPlanInputs& inputs, const PlanStats& stats, bool requested)
    {
        for (const auto& model : modelsByWork(inputs, stats, [requested](const auto& modelStats) { return modelStats.copies.empty() && (modelStats.work > 0) == requested; })) {
            // `HUGE_VAL`: no limit on the work of evicted models, nor on that of the worker.
            auto candidate = findBestCandidate(model, inputs, stats, HUGE_VAL, HUGE_VAL);
            if (!candidate || candidate->lostWork > maxMissingLossRatio * leastLostWork(model, inputs, stats) + costStep)
                continue;
            if (auto order = firstOrder(*candidate, model, inputs, "missing"))
                return order;
        }
        return std::nullopt;
    }

    /// Returns an order that adds a copy of a model whose copies are all on busy workers. The model for which most work would find
    /// the largest difference comes first. While many model orders are in progress, only idle copies are evicted for it.
    std::optional<Order> planRelief(const ModelPlanInputs& inputs, const PlanStats& stats)
    {
        auto limit = std::max(minReliefOrderLimit, static_cast<uint32_t>(inputs.workers.size()) / workersPerReliefOrder);
        bool mayEvict = inputs.modelOrdersRunning < limit;
        double minLevel = std::max(minReliefLevel, stats.meanLoad * minReliefLevelToMean);
        std::vector<std::pair<double, std::string>> models;
        for (const auto& spec : inputs.engine->models) {
            const auto& modelStats = stats.forModel(spec.name);
            if (modelStats.work > 0 && modelStats.level >= minLevel)
                models.emplace_back(modelStats.work * (modelStats.level - stats.meanLoad), spec.name);
        }
        std::sort(models.rbegin(), models.rend());
        for (const auto& [gain, model] : models) {
            const auto& modelStats = stats.forModel(model);
            double workPerCopy = modelStats.work / static_cast<double>(modelStats.copies.size() + 1);
            auto candidate = findBestCandidate(model, inputs, stats, mayEvict ? workPerCopy * maxEvictWorkShare : maxIdleWork, modelStats.level * maxReliefLoadShare);
            if (!candidate)
                continue;
            if (auto order = firstOrder(*candidate, model, inputs, "busy"))
                return order;
        }
        return std::nullopt;
    }

    /// Returns an order that loads a spare copy of a model with fewer than `targetModelCopies`. It uses only free memory and
    /// store loads that nothing else needs.
    std::optional<Order> planSpare(const ModelPlanInputs& inputs, const PlanStats& stats)
    {
        bool storeIsIdle = inputs.storeLoadsRunning < maxSpareLoadShare * maxConcurrentStoreLoads(*inputs.engine) && inputs.availableStoreLoads >= minSpareLoadTokens;
        if (!storeIsIdle)
            return std::nullopt;
        for (const auto& model : modelsByWork(inputs, stats, [](const auto& modelStats) { return modelStats.copies.size() < targetModelCopies; })) {
            // The negative limit rules out every eviction.
            if (auto candidate = findBestCandidate(model, inputs, stats, -1, HUGE_VAL))
                return firstOrder(*candidate, model, inputs, "spare");
        }
        return std::nullopt;
    }

} // namespace

double modelMemoryMegabytes(const routing::EngineSpec& engine)
{
    double adapterMegabytes = 0;
    for (const auto& model : engine.models)
        adapterMegabytes = std::max(adapterMegabytes, model.adapterCount > 0 ? model.adapterMegabytes : 0);
    return engine.weightsMegabytes - adapterMegabytes * engine.adapterSlots;
}

uint32_t maxConcurrentStoreLoads(const routing::EngineSpec& engine)
{
    std::chrono::duration<double> sum { 0 };
    for (const auto& model : engine.models)
        sum += model.storeLoadTime;
    auto mean = sum.count() / static_cast<double>(std::max<size_t>(1, engine.models.size()));
    return std::max(minConcurrentStoreLoads, static_cast<uint32_t>(std::lround(engine.storeLoadsPerSecond * mean)));
}

std::vector<ModelPressure> modelPressures(const ModelPlanInputs& inputs)
{
    auto stats = computeStats(inputs);
    std::vector<ModelPressure> pressures;
    for (const auto& [name, model] : stats.models) {
        if (model.work > 0)
            pressures.push_back({ name, model.work, model.copies.size(), model.level });
    }
    std::sort(pressures.begin(), pressures.end(), [](const ModelPressure& a, const ModelPressure& b) { return std::tie(a.level, a.work, a.model) > std::tie(b.level, b.work, b.model); });
    return pressures;
}

std::optional<Order> planModelOrder(const ModelPlanInputs& inputs)
{
    auto stats = computeStats(inputs);
    if (auto order = planReserved(inputs, stats))
        return order;
    if (auto order = planMissing(inputs, stats, true))
        return order;
    if (auto order = planRelief(inputs, stats))
        return order;
    if (auto order = planMissing(inputs, stats, false))
        return order;
    return planSpare(inputs, stats);
}

} // namespace comfreypier::placement
