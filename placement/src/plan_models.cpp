/// Which model goes where next.
#include <algorithm>
#include <cmath>
#include <map>
#include <placement/placement.h>
#include <unordered_map>

namespace comfreypier::placement {

namespace {

    /// Difference in work that makes one drop better than another, in worker seconds a second.
    constexpr double lostStep = 0.05;

    /// What one decision needs to know of a model.
    struct ModelFacts {
        double size = 0;
        double work = 0;
        uint32_t copies = 0; ///< On workers that stay.
        double perCopy = 0; ///< Work a copy.
        double holderWork = 0; ///< Work of a worker that holds it, with its other models.
        std::map<std::string, uint32_t> copiesIn; ///< By data centre.
    };

    /// Figures of one decision, worked out once: planning for hundreds of workers must leave the VM time for its callers.
    struct Facts {
        std::unordered_map<std::string, ModelFacts> models;
        std::vector<double> work; ///< By position in the inputs.
        std::vector<double> room;

        const ModelFacts& of(const std::string& model) const
        {
            static const ModelFacts none;
            auto found = this->models.find(model);
            return found == this->models.end() ? none : found->second;
        }
    };

    Facts gatherFacts(const ModelPlanInputs& inputs)
    {
        Facts facts;
        for (const auto& spec : inputs.engine->models)
            facts.models[spec.name].size = spec.weightsMegabytes;
        for (const auto& [model, work] : inputs.work)
            facts.models[model].work = work;
        for (const auto& worker : inputs.workers) {
            if (!worker.active)
                continue;
            auto count = [&](const std::string& model) {
                auto& known = facts.models[model];
                known.copies++;
                known.copiesIn[worker.dataCentre]++;
            };
            for (const auto& model : worker.models)
                count(model);
            if (!worker.reservedModel.empty() && !worker.models.contains(worker.reservedModel))
                count(worker.reservedModel);
        }
        for (auto& [model, known] : facts.models)
            known.perCopy = known.work / std::max(1U, known.copies);
        double capacity = modelMemoryMegabytes(*inputs.engine);
        for (const auto& worker : inputs.workers) {
            double work = 0;
            double room = capacity;
            for (const auto& model : worker.models) {
                const auto& known = facts.of(model);
                work += known.perCopy;
                room -= known.size;
            }
            for (const auto& model : worker.unloading)
                room -= worker.models.contains(model) ? 0 : facts.of(model).size;
            facts.work.push_back(work);
            facts.room.push_back(room);
            for (const auto& model : worker.models) {
                auto& known = facts.models[model];
                known.holderWork += worker.active ? work / std::max(1U, known.copies) : 0;
            }
        }
        return facts;
    }

    /// Models of a worker that may go, the least missed first.
    std::vector<std::string> droppable(const WorkerInventory& worker, const ModelPlanInputs& inputs, const Facts& facts, double below)
    {
        std::vector<std::string> models;
        for (const auto& model : worker.models) {
            const auto& known = facts.of(model);
            if (known.copies < 2)
                continue;
            auto loaded = worker.loadedAt.find(model);
            if (loaded != worker.loadedAt.end() && inputs.now - loaded->second < minResidence)
                continue;
            if (known.work / (known.copies - 1) <= below)
                models.push_back(model);
        }
        std::sort(models.begin(), models.end(), [&](const auto& a, const auto& b) { return facts.of(a).perCopy < facts.of(b).perCopy; });
        return models;
    }

    /// A way to put a model on a worker.
    struct Way {
        const WorkerInventory* worker = nullptr;
        std::vector<std::string> drop;
        bool cached = false;
        double work = 0;
        uint32_t neighbours = 0; ///< Copies in the same data centre.
        double lost = 0; ///< Work of the copies that are dropped.
    };

    /// @param position of the worker in the inputs.
    std::optional<Way> findWay(const WorkerInventory& worker, size_t position, const std::string& model, const ModelPlanInputs& inputs, const Facts& facts, double below)
    {
        if (!worker.acceptsModelOrders || !worker.active || !worker.reservedModel.empty() || worker.models.contains(model) || worker.unloading.contains(model))
            return std::nullopt;
        const auto& known = facts.of(model);
        auto neighbours = known.copiesIn.find(worker.dataCentre);
        Way way { &worker, {}, worker.cachedModels.contains(model), facts.work[position], neighbours == known.copiesIn.end() ? 0 : neighbours->second };
        double room = facts.room[position];
        double size = known.size;
        if (room >= size)
            return way;
        for (const auto& victim : droppable(worker, inputs, facts, below)) {
            if (room >= size)
                break;
            way.drop.push_back(victim);
            way.lost += facts.of(victim).perCopy;
            room += facts.of(victim).size;
        }
        if (room < size)
            return std::nullopt;
        return way;
    }

    /// What serves others least goes: no drops first, then drops that few requests miss, fewer drops, a cached copy, a data
    /// centre with fewer copies, the less busy worker.
    bool isBetter(const Way& a, const Way& b)
    {
        if (a.drop.empty() != b.drop.empty())
            return a.drop.empty();
        auto lostA = std::lround(a.lost / lostStep);
        auto lostB = std::lround(b.lost / lostStep);
        if (lostA != lostB)
            return lostA < lostB;
        if (a.drop.size() != b.drop.size())
            return a.drop.size() < b.drop.size();
        if (a.cached != b.cached)
            return a.cached;
        if (a.neighbours != b.neighbours)
            return a.neighbours < b.neighbours;
        return a.work < b.work;
    }

    std::optional<Way> bestWay(const std::string& model, const ModelPlanInputs& inputs, const Facts& facts, double below, double mostWork)
    {
        std::optional<Way> best;
        for (size_t i = 0; i < inputs.workers.size(); i++) {
            if (facts.work[i] > mostWork)
                continue;
            auto way = findWay(inputs.workers[i], i, model, inputs, facts, below);
            if (way && (!best || isBetter(*way, *best)))
                best = way;
        }
        return best;
    }

    std::optional<Order> firstStep(const Way& way, const std::string& model, const ModelPlanInputs& inputs, const std::string& reason)
    {
        bool fromStore = !way.cached;
        if (fromStore && (inputs.availableStoreLoads < 1 || inputs.storeLoadsRunning >= maxConcurrentStoreLoads(*inputs.engine)))
            return std::nullopt;
        if (!way.drop.empty())
            return Order { way.worker->id, OrderKind::Unload, way.drop.front(), "", false, "room_for_" + model, model };
        return Order { way.worker->id, OrderKind::Load, model, "", fromStore, reason, "" };
    }

    /// Goes on where room is being made for a model.
    std::optional<Order> planReserved(const ModelPlanInputs& inputs, const Facts& facts)
    {
        for (size_t i = 0; i < inputs.workers.size(); i++) {
            const auto& worker = inputs.workers[i];
            if (worker.reservedModel.empty() || !worker.acceptsModelOrders || !worker.active)
                continue;
            auto free = worker;
            free.reservedModel.clear();
            auto way = findWay(free, i, worker.reservedModel, inputs, facts, HUGE_VAL);
            if (!way)
                continue;
            way->worker = &worker;
            if (auto order = firstStep(*way, worker.reservedModel, inputs, "reserved"))
                return order;
        }
        return std::nullopt;
    }

    /// Declared models for which `applies` holds, the one with the most work first.
    template <class Applies>
    std::vector<std::string> modelsByWork(const ModelPlanInputs& inputs, const Facts& facts, Applies&& applies)
    {
        std::vector<std::string> models;
        for (const auto& spec : inputs.engine->models) {
            if (applies(facts.of(spec.name)))
                models.push_back(spec.name);
        }
        std::stable_sort(models.begin(), models.end(), [&](const auto& a, const auto& b) { return facts.of(a).work > facts.of(b).work; });
        return models;
    }

    /// @param wanted chooses among models that requests ask for, or among the others.
    std::optional<Order> planMissing(const ModelPlanInputs& inputs, const Facts& facts, bool wanted)
    {
        for (const auto& model : modelsByWork(inputs, facts, [wanted](const auto& known) { return known.copies == 0 && (known.work > 0) == wanted; })) {
            auto way = bestWay(model, inputs, facts, HUGE_VAL, HUGE_VAL);
            if (!way)
                continue;
            if (auto order = firstStep(*way, model, inputs, "missing"))
                return order;
        }
        return std::nullopt;
    }

    std::optional<Order> planRelief(const ModelPlanInputs& inputs, const Facts& facts)
    {
        auto limit = std::max(minReliefOrderLimit, static_cast<uint32_t>(inputs.workers.size()) / workersPerReliefOrder);
        bool mayDrop = inputs.modelOrdersRunning < limit;
        std::vector<std::pair<double, std::string>> models;
        for (const auto& spec : inputs.engine->models) {
            auto work = facts.of(spec.name).perCopy;
            if (work >= maxWorkPerCopy)
                models.emplace_back(work, spec.name);
        }
        std::sort(models.rbegin(), models.rend());
        for (const auto& [work, model] : models) {
            const auto& known = facts.of(model);
            // A new holder takes from all others, so that it helps the more of them there are.
            double mostWork = known.holderWork * (maxReliefWorkShare - 1.0 / (known.copies + 1));
            auto way = bestWay(model, inputs, facts, mayDrop ? work * maxEvictWorkShare : maxIdleWork, mostWork);
            if (!way)
                continue;
            if (auto order = firstStep(*way, model, inputs, "busy"))
                return order;
        }
        return std::nullopt;
    }

    /// Loads a further copy of a model that has too few, into free room and with loads that nothing else needs.
    std::optional<Order> planSpare(const ModelPlanInputs& inputs, const Facts& facts)
    {
        bool idle = inputs.storeLoadsRunning < maxSpareLoadShare * maxConcurrentStoreLoads(*inputs.engine) && inputs.availableStoreLoads >= minSpareLoadTokens;
        if (!idle)
            return std::nullopt;
        for (const auto& model : modelsByWork(inputs, facts, [](const auto& known) { return known.copies < targetModelCopies; })) {
            // Nothing is dropped for less than no work.
            if (auto way = bestWay(model, inputs, facts, -1, HUGE_VAL))
                return firstStep(*way, model, inputs, "spare");
        }
        return std::nullopt;
    }

} // namespace

double modelMemoryMegabytes(const routing::EngineSpec& engine)
{
    double adapter = 0;
    for (const auto& model : engine.models)
        adapter = std::max(adapter, model.adapters > 0 ? model.adapterMegabytes : 0);
    return engine.weightsMegabytes - adapter * engine.adapterSlots;
}

uint32_t maxConcurrentStoreLoads(const routing::EngineSpec& engine)
{
    std::chrono::duration<double> longest { 0 };
    for (const auto& model : engine.models)
        longest = std::max<std::chrono::duration<double>>(longest, model.storeLoad);
    return std::max(minConcurrentStoreLoads, static_cast<uint32_t>(engine.storeLoadsPerSecond * longest.count() * storeConcurrencyShare));
}

std::optional<Order> planModelOrder(const ModelPlanInputs& inputs)
{
    auto facts = gatherFacts(inputs);
    if (auto order = planReserved(inputs, facts))
        return order;
    if (auto order = planMissing(inputs, facts, true))
        return order;
    if (auto order = planRelief(inputs, facts))
        return order;
    if (auto order = planMissing(inputs, facts, false))
        return order;
    return planSpare(inputs, facts);
}

} // namespace comfreypier::placement
