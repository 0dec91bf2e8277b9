/// Which model goes where next.
#include <algorithm>
#include <cmath>
#include <placement/placement.h>

namespace comfreypier::placement {

namespace {

    struct Totals {
        std::map<std::string, uint32_t> copies; ///< On workers that stay.
        std::map<std::string, double> perCopy; ///< Work a copy.
    };

    double sizeOf(const routing::EngineSpec& engine, const std::string& model)
    {
        for (const auto& spec : engine.models) {
            if (spec.name == model)
                return spec.weightsMegabytes;
        }
        return 0;
    }

    double freeRoom(const routing::EngineSpec& engine, const HeldWorker& worker)
    {
        double room = modelRoom(engine);
        for (const auto& model : worker.models)
            room -= sizeOf(engine, model);
        for (const auto& model : worker.unloading)
            room -= worker.models.contains(model) ? 0 : sizeOf(engine, model);
        return room;
    }

    double workOf(const ModelInputs& inputs, const std::string& model)
    {
        auto found = inputs.work.find(model);
        return found == inputs.work.end() ? 0 : found->second;
    }

    Totals countCopies(const ModelInputs& inputs)
    {
        Totals totals;
        for (const auto& worker : inputs.workers) {
            if (!worker.alive)
                continue;
            for (const auto& model : worker.models)
                totals.copies[model]++;
            if (!worker.reserved.empty() && !worker.models.contains(worker.reserved))
                totals.copies[worker.reserved]++;
        }
        for (const auto& spec : inputs.engine->models)
            totals.perCopy[spec.name] = workOf(inputs, spec.name) / std::max(1U, totals.copies[spec.name]);
        return totals;
    }

    double workerWork(const HeldWorker& worker, const Totals& totals)
    {
        double sum = 0;
        for (const auto& model : worker.models) {
            auto found = totals.perCopy.find(model);
            sum += found == totals.perCopy.end() ? 0 : found->second;
        }
        return sum;
    }

    /// Models of a worker that may go, the least missed first.
    std::vector<std::string> droppable(const HeldWorker& worker, const ModelInputs& inputs, const Totals& totals, double below)
    {
        std::vector<std::string> models;
        for (const auto& model : worker.models) {
            auto copies = totals.copies.find(model);
            if (copies == totals.copies.end() || copies->second < 2)
                continue;
            auto loaded = worker.loadedAt.find(model);
            if (loaded != worker.loadedAt.end() && inputs.now - loaded->second < residenceLeast)
                continue;
            if (workOf(inputs, model) / (copies->second - 1) <= below)
                models.push_back(model);
        }
        std::sort(models.begin(), models.end(), [&](const auto& a, const auto& b) {
            return workOf(inputs, a) / totals.copies.at(a) < workOf(inputs, b) / totals.copies.at(b);
        });
        return models;
    }

    /// A way to put a model on a worker.
    struct Way {
        const HeldWorker* worker = nullptr;
        std::vector<std::string> drop;
        bool cached = false;
        double work = 0;
    };

    std::optional<Way> findWay(const HeldWorker& worker, const std::string& model, const ModelInputs& inputs, const Totals& totals, double below)
    {
        if (!worker.usable || !worker.alive || !worker.reserved.empty() || worker.models.contains(model) || worker.unloading.contains(model))
            return std::nullopt;
        Way way { &worker, {}, worker.cached.contains(model), workerWork(worker, totals) };
        double room = freeRoom(*inputs.engine, worker);
        double size = sizeOf(*inputs.engine, model);
        for (const auto& victim : droppable(worker, inputs, totals, below)) {
            if (room >= size)
                break;
            way.drop.push_back(victim);
            room += sizeOf(*inputs.engine, victim);
        }
        if (room < size)
            return std::nullopt;
        return way;
    }

    /// Fewer drops first, then a cached copy, then the less busy worker.
    bool isBetter(const Way& a, const Way& b)
    {
        if (a.drop.size() != b.drop.size())
            return a.drop.size() < b.drop.size();
        if (a.cached != b.cached)
            return a.cached;
        return a.work < b.work;
    }

    std::optional<Way> bestWay(const std::string& model, const ModelInputs& inputs, const Totals& totals, double below, double mostWork)
    {
        std::optional<Way> best;
        for (const auto& worker : inputs.workers) {
            auto way = findWay(worker, model, inputs, totals, below);
            if (way && way->work <= mostWork && (!best || isBetter(*way, *best)))
                best = way;
        }
        return best;
    }

    std::optional<Order> firstStep(const Way& way, const std::string& model, const ModelInputs& inputs, const std::string& reason)
    {
        bool fromStore = !way.cached;
        if (fromStore && (inputs.storeLoadsAllowed < 1 || inputs.storeLoadsRunning >= storeLoadsAtOnce(*inputs.engine)))
            return std::nullopt;
        if (!way.drop.empty())
            return Order { way.worker->id, OrderKind::Unload, way.drop.front(), "", false, "room_for_" + model, model };
        return Order { way.worker->id, OrderKind::Load, model, "", fromStore, reason, "" };
    }

    /// Goes on where room is being made for a model.
    std::optional<Order> planReserved(const ModelInputs& inputs, const Totals& totals)
    {
        for (const auto& worker : inputs.workers) {
            if (worker.reserved.empty() || !worker.usable || !worker.alive)
                continue;
            auto free = worker;
            free.reserved.clear();
            auto way = findWay(free, worker.reserved, inputs, totals, HUGE_VAL);
            if (!way)
                continue;
            way->worker = &worker;
            if (auto order = firstStep(*way, worker.reserved, inputs, "reserved"))
                return order;
        }
        return std::nullopt;
    }

    std::optional<Order> planMissing(const ModelInputs& inputs, const Totals& totals)
    {
        std::vector<std::string> missing;
        for (const auto& spec : inputs.engine->models) {
            auto found = totals.copies.find(spec.name);
            if (found == totals.copies.end() || found->second == 0)
                missing.push_back(spec.name);
        }
        std::stable_sort(missing.begin(), missing.end(), [&](const auto& a, const auto& b) { return workOf(inputs, a) > workOf(inputs, b); });
        for (const auto& model : missing) {
            auto way = bestWay(model, inputs, totals, HUGE_VAL, HUGE_VAL);
            if (!way)
                continue;
            if (auto order = firstStep(*way, model, inputs, "missing"))
                return order;
        }
        return std::nullopt;
    }

    std::optional<Order> planRelief(const ModelInputs& inputs, const Totals& totals)
    {
        double busiest = 0;
        auto limit = std::max(reliefLeast, static_cast<uint32_t>(inputs.workers.size()) / workersPerRelief);
        bool mayDrop = inputs.ordersRunning < limit;
        for (const auto& worker : inputs.workers)
            busiest = std::max(busiest, worker.alive ? workerWork(worker, totals) : 0);
        std::vector<std::pair<double, std::string>> models;
        for (const auto& [model, work] : totals.perCopy) {
            if (work >= copyWorkLimit)
                models.emplace_back(work, model);
        }
        std::sort(models.rbegin(), models.rend());
        for (const auto& [work, model] : models) {
            auto copies = totals.copies.at(model);
            double share = workOf(inputs, model) / (copies + 1);
            // Nothing is dropped for less than no work.
            auto way = bestWay(model, inputs, totals, mayDrop ? work * evictShare : -1, busiest * reliefShare - share);
            if (!way)
                continue;
            if (auto order = firstStep(*way, model, inputs, "busy"))
                return order;
        }
        return std::nullopt;
    }

} // namespace

double modelRoom(const routing::EngineSpec& engine)
{
    double adapter = 0;
    for (const auto& model : engine.models)
        adapter = std::max(adapter, model.adapters > 0 ? model.adapterMegabytes : 0);
    return engine.weightsMegabytes - adapter * engine.adapterSlots;
}

uint32_t storeLoadsAtOnce(const routing::EngineSpec& engine)
{
    std::chrono::duration<double> longest { 0 };
    for (const auto& model : engine.models)
        longest = std::max<std::chrono::duration<double>>(longest, model.storeLoad);
    return std::max(storeLoadsLeast, static_cast<uint32_t>(engine.storeLoadsPerSecond * longest.count() * storeAtOnceUse));
}

std::optional<Order> planModel(const ModelInputs& inputs)
{
    auto totals = countCopies(inputs);
    if (auto order = planReserved(inputs, totals))
        return order;
    if (auto order = planMissing(inputs, totals))
        return order;
    return planRelief(inputs, totals);
}

} // namespace comfreypier::placement
