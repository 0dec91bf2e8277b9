/// Plans model orders: which model to load or evict next, and on which worker.
#include <algorithm>
#include <cmath>
#include <map>
#include <placement/placement.h>
#include <unordered_map>

namespace comfreypier::placement {

namespace {

    /// The lost work of candidates is rounded to multiples of this before it is compared, in worker seconds per second. Between
    /// candidates with about the same lost work the other criteria decide.
    constexpr double lostWorkStep = 0.05;

    /// Statistics of one model. Work is in worker seconds per second.
    struct ModelStats {
        double sizeMegabytes = 0;
        double work = 0;
        uint32_t copies = 0; ///< On active workers, including copies for which memory is still being freed.
        double workPerCopy = 0;
        double holderWork = 0; ///< Work of the active workers that hold the model, for all of their models, divided by `copies`.
        std::map<std::string, uint32_t> copiesByDataCentre;
    };

    /// Statistics for one planning decision. They are computed once per decision, because planning for hundreds of workers must
    /// leave the VM enough time to serve its callers.
    struct PlanStats {
        std::unordered_map<std::string, ModelStats> models;
        std::vector<double> work; ///< Work of each worker, in the order of the inputs.
        std::vector<double> freeMegabytes; ///< Free model memory of each worker, in the order of the inputs.

        /// Returns the statistics of a model, all zero if it is unknown.
        const ModelStats& forModel(const std::string& model) const
        {
            static const ModelStats none;
            auto found = this->models.find(model);
            return found == this->models.end() ? none : found->second;
        }
    };

    PlanStats computeStats(const ModelPlanInputs& inputs)
    {
        PlanStats stats;
        for (const auto& spec : inputs.engine->models)
            stats.models[spec.name].sizeMegabytes = spec.weightsMegabytes;
        for (const auto& [model, work] : inputs.work)
            stats.models[model].work = work;
        for (const auto& worker : inputs.workers) {
            if (!worker.active)
                continue;
            auto countCopy = [&](const std::string& model) {
                auto& modelStats = stats.models[model];
                modelStats.copies++;
                modelStats.copiesByDataCentre[worker.dataCentre]++;
            };
            for (const auto& model : worker.models)
                countCopy(model);
            if (!worker.reservedModel.empty() && !worker.models.contains(worker.reservedModel))
                countCopy(worker.reservedModel);
        }
        for (auto& [model, modelStats] : stats.models)
            modelStats.workPerCopy = modelStats.work / std::max(1U, modelStats.copies);
        // The work of a worker depends on the copies of its models on all workers, which are counted above.
        double capacity = modelMemoryMegabytes(*inputs.engine);
        for (const auto& worker : inputs.workers) {
            double work = 0;
            double freeMegabytes = capacity;
            for (const auto& model : worker.models) {
                const auto& modelStats = stats.forModel(model);
                work += modelStats.workPerCopy;
                freeMegabytes -= modelStats.sizeMegabytes;
            }
            // A model that is being unloaded may also be in `models` if the worker is not synced; its memory is subtracted once.
            for (const auto& model : worker.unloading)
                freeMegabytes -= worker.models.contains(model) ? 0 : stats.forModel(model).sizeMegabytes;
            stats.work.push_back(work);
            stats.freeMegabytes.push_back(freeMegabytes);
            for (const auto& model : worker.models) {
                auto& modelStats = stats.models[model];
                modelStats.holderWork += worker.active ? work / std::max(1U, modelStats.copies) : 0;
            }
        }
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
            if (modelStats.copies < 2)
                continue;
            auto loaded = worker.loadedAt.find(model);
            if (loaded != worker.loadedAt.end() && inputs.now - loaded->second < minResidence)
                continue;
            if (modelStats.work / (modelStats.copies - 1) <= maxRemainingWork)
                models.push_back(model);
        }
        std::sort(models.begin(), models.end(), [&](const auto& a, const auto& b) { return stats.forModel(a).workPerCopy < stats.forModel(b).workPerCopy; });
        return models;
    }

    /// Worker that can get a model, after evictions if needed.
    struct Candidate {
        const WorkerInventory* worker = nullptr;
        std::vector<std::string> evictions; ///< Models to evict first.
        bool cached = false; ///< The worker has the weights on its disk or in its host memory.
        double work = 0; ///< Work of the worker.
        uint32_t copiesInDataCentre = 0; ///< Copies of the model in the worker's data centre.
        double lostWork = 0; ///< Work of the evicted copies.
    };

    /// Returns how a model can be placed on a worker, if at all: in free memory, or after as few evictions as make it fit.
    /// @param position index of the worker in the inputs.
    /// @param maxRemainingWork see `evictableModels()`.
    std::optional<Candidate> findCandidate(const WorkerInventory& worker, size_t position, const std::string& model, const ModelPlanInputs& inputs, const PlanStats& stats, double maxRemainingWork)
    {
        if (!worker.acceptsModelOrders || !worker.active || !worker.reservedModel.empty() || worker.models.contains(model) || worker.unloading.contains(model))
            return std::nullopt;
        const auto& modelStats = stats.forModel(model);
        auto inDataCentre = modelStats.copiesByDataCentre.find(worker.dataCentre);
        Candidate candidate { &worker, {}, worker.cachedModels.contains(model), stats.work[position], inDataCentre == modelStats.copiesByDataCentre.end() ? 0 : inDataCentre->second };
        double freeMegabytes = stats.freeMegabytes[position];
        double neededMegabytes = modelStats.sizeMegabytes;
        if (freeMegabytes >= neededMegabytes)
            return candidate;
        for (const auto& evicted : evictableModels(worker, inputs, stats, maxRemainingWork)) {
            if (freeMegabytes >= neededMegabytes)
                break;
            candidate.evictions.push_back(evicted);
            candidate.lostWork += stats.forModel(evicted).workPerCopy;
            freeMegabytes += stats.forModel(evicted).sizeMegabytes;
        }
        if (freeMegabytes < neededMegabytes)
            return std::nullopt;
        return candidate;
    }

    /// Returns whether candidate `a` is preferred over `b`. The criteria are, in this order: no evictions, less lost work, fewer
    /// evictions, cached weights, fewer copies in the data centre, a less busy worker.
    bool isBetter(const Candidate& a, const Candidate& b)
    {
        if (a.evictions.empty() != b.evictions.empty())
            return a.evictions.empty();
        auto lostA = std::lround(a.lostWork / lostWorkStep);
        auto lostB = std::lround(b.lostWork / lostWorkStep);
        if (lostA != lostB)
            return lostA < lostB;
        if (a.evictions.size() != b.evictions.size())
            return a.evictions.size() < b.evictions.size();
        if (a.cached != b.cached)
            return a.cached;
        if (a.copiesInDataCentre != b.copiesInDataCentre)
            return a.copiesInDataCentre < b.copiesInDataCentre;
        return a.work < b.work;
    }

    /// Returns the best worker for a further copy of a model, if there is one.
    /// @param maxRemainingWork see `evictableModels()`.
    /// @param maxWorkerWork upper limit of the worker's work.
    std::optional<Candidate> findBestCandidate(const std::string& model, const ModelPlanInputs& inputs, const PlanStats& stats, double maxRemainingWork, double maxWorkerWork)
    {
        std::optional<Candidate> best;
        for (size_t i = 0; i < inputs.workers.size(); i++) {
            if (stats.work[i] > maxWorkerWork)
                continue;
            auto candidate = findCandidate(inputs.workers[i], i, model, inputs, stats, maxRemainingWork);
            if (candidate && (!best || isBetter(*candidate, *best)))
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

    /// Returns an order for a model without any copy.
    /// @param requested whether to consider only models that requests ask for, or only the others.
    std::optional<Order> planMissing(const ModelPlanInputs& inputs, const PlanStats& stats, bool requested)
    {
        for (const auto& model : modelsByWork(inputs, stats, [requested](const auto& modelStats) { return modelStats.copies == 0 && (modelStats.work > 0) == requested; })) {
            // `HUGE_VAL`: no limit on the work of evicted models, nor on that of the worker.
            auto candidate = findBestCandidate(model, inputs, stats, HUGE_VAL, HUGE_VAL);
            if (!candidate)
                continue;
            if (auto order = firstOrder(*candidate, model, inputs, "missing"))
                return order;
        }
        return std::nullopt;
    }

    /// Returns an order that adds a copy of a model whose copies are too busy. While many model orders are in progress, only idle
    /// copies are evicted for it.
    std::optional<Order> planRelief(const ModelPlanInputs& inputs, const PlanStats& stats)
    {
        auto limit = std::max(minReliefOrderLimit, static_cast<uint32_t>(inputs.workers.size()) / workersPerReliefOrder);
        bool mayEvict = inputs.modelOrdersRunning < limit;
        std::vector<std::pair<double, std::string>> models;
        for (const auto& spec : inputs.engine->models) {
            auto work = stats.forModel(spec.name).workPerCopy;
            if (work >= maxWorkPerCopy)
                models.emplace_back(work, spec.name);
        }
        // The model with the most work per copy first.
        std::sort(models.rbegin(), models.rend());
        for (const auto& [work, model] : models) {
            const auto& modelStats = stats.forModel(model);
            // The new copy takes a share of 1 / (copies + 1) of the model's work from each holder. With more holders the share is
            // smaller, so a busier worker may get the copy.
            double maxWorkerWork = modelStats.holderWork * (maxReliefWorkShare - 1.0 / (modelStats.copies + 1));
            auto candidate = findBestCandidate(model, inputs, stats, mayEvict ? work * maxEvictWorkShare : maxIdleWork, maxWorkerWork);
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
        for (const auto& model : modelsByWork(inputs, stats, [](const auto& modelStats) { return modelStats.copies < targetModelCopies; })) {
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
    std::chrono::duration<double> longest { 0 };
    for (const auto& model : engine.models)
        longest = std::max<std::chrono::duration<double>>(longest, model.storeLoadTime);
    return std::max(minConcurrentStoreLoads, static_cast<uint32_t>(engine.storeLoadsPerSecond * longest.count() * storeConcurrencyShare));
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
