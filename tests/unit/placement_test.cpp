/// Tests of the planning of model and adapter orders and of the tracked state of workers.
#include <criterion/criterion.h>
#include <placement/placement.h>
#include <rapidcheck.h>

using namespace comfreypier;
using namespace comfreypier::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time now = seconds { 100 };

/// Returns an engine whose workers have memory for two of its three models, with two adapter slots.
routing::EngineSpec threeModels()
{
    routing::EngineSpec engine;
    engine.weightsMegabytes = 200;
    engine.adapterSlots = 2;
    for (const auto* name : { "a", "b", "c" }) {
        routing::ModelSpec model;
        model.name = name;
        model.weightsMegabytes = 80;
        model.adapterMegabytes = 10;
        model.adapterCount = 4;
        engine.models.push_back(model);
    }
    return engine;
}

/// Returns an active worker that accepts model orders and holds `models`.
WorkerInventory workerWith(const std::string& id, std::set<std::string> models)
{
    WorkerInventory worker;
    worker.id = id;
    worker.models = std::move(models);
    return worker;
}

/// Returns inputs without work or running orders, for which the rate limit allows three store loads.
ModelPlanInputs makeInputs(const routing::EngineSpec& engine, std::vector<WorkerInventory> workers)
{
    ModelPlanInputs inputs;
    inputs.engine = &engine;
    inputs.now = now;
    inputs.workers = std::move(workers);
    inputs.availableStoreLoads = 3;
    return inputs;
}

/// Returns the memory of the models that the worker holds, loads or unloads.
double usedMegabytes(const routing::EngineSpec& engine, const WorkerInventory& worker)
{
    double sum = 0;
    for (const auto& model : engine.models)
        sum += worker.models.contains(model.name) || worker.unloading.contains(model.name) ? model.weightsMegabytes : 0;
    return sum;
}

/// @param accepted number of orders that the worker has accepted.
WorkerReport makeReport(std::vector<std::string> models, uint64_t accepted, bool modelOrderRunning = false)
{
    WorkerReport report;
    for (auto& model : models)
        report.models.push_back({ std::move(model), 1, {} });
    report.ordersAccepted = accepted;
    report.modelOrderRunning = modelOrderRunning;
    return report;
}

} // namespace

Test(models, missing_model_is_loaded_first)
{
    auto engine = threeModels();
    auto inputs = makeInputs(engine, { workerWith("w", { "a" }), workerWith("v", { "a", "b" }) });
    inputs.work["a"] = 5;
    auto order = planModelOrder(inputs);
    cr_assert(order.has_value());
    cr_assert_eq(order->model, "c");
    cr_assert_eq(order->worker, "w");
    cr_assert_eq(order->kind, OrderKind::Load);
}

namespace {

/// Workers of one service that carry out the plan for a load that changes, with a manual clock. A model is unloaded in 300 ms and
/// loaded in 1.2 s; each worker serves one worker second per second.
class PlannedFleet {
public:
    static constexpr auto step = milliseconds { 100 };
    static constexpr auto unloadTime = milliseconds { 300 };
    static constexpr auto loadTime = milliseconds { 1200 };

    /// @param models number of models, three of which fit on a worker.
    PlannedFleet(int workers, int models, double storeLoadsPerSecond)
    {
        this->engine.weightsMegabytes = 230;
        this->engine.storeLoadsPerSecond = storeLoadsPerSecond;
        for (int i = 0; i < models; i++) {
            routing::ModelSpec model;
            model.name = "m" + std::to_string(i);
            model.weightsMegabytes = 70;
            model.storeLoadTime = loadTime;
            this->engine.models.push_back(model);
        }
        for (int i = 0; i < workers; i++)
            this->workers.push_back({ workerWith("w" + std::to_string(i), {}) });
    }

    /// Places the models in turn on the workers until all memory is used, `hot` on every second worker.
    void place(const std::string& hot)
    {
        size_t next = 0;
        for (size_t i = 0; i < this->workers.size(); i++) {
            auto& models = this->workers[i].inventory.models;
            if (i % 2 == 0)
                models.insert(hot);
            while (models.size() < 3)
                models.insert(this->engine.models[next++ % this->engine.models.size()].name);
        }
    }

    /// Plays one step of the load and plans. @param work demand of each model, in worker seconds per second.
    void play(const std::map<std::string, double>& work)
    {
        this->at += step;
        for (auto& worker : this->workers)
            this->finishOrder(worker);
        // Each VM reports an average that lags behind.
        for (const auto& [model, rate] : work)
            this->average.add(model, rate * std::chrono::duration<double>(step).count(), this->at);
        this->forecast.record(this->average.rates(this->at), this->at);
        auto inputs = makeInputs(this->engine, {});
        inputs.now = this->at;
        inputs.work = this->forecast.after(planLookahead(this->engine));
        inputs.availableStoreLoads = this->storeRate.availableLoads(this->engine.storeLoadsPerSecond, this->at);
        for (const auto& worker : this->workers) {
            inputs.workers.push_back(worker.inventory);
            inputs.storeLoadsRunning += worker.order && worker.order->fromStore ? 1 : 0;
            inputs.modelOrdersRunning += worker.order || !worker.inventory.reservedModel.empty() ? 1 : 0;
        }
        for (int i = 0; i < maxOrdersPerRound; i++) {
            auto order = planModelOrder(inputs);
            if (!order)
                break;
            auto position = static_cast<size_t>(std::find_if(this->workers.begin(), this->workers.end(), [&](const auto& worker) { return worker.inventory.id == order->worker; }) - this->workers.begin());
            inputs.workers[position] = this->start(this->workers[position], *order);
            inputs.modelOrdersRunning++;
            inputs.storeLoadsRunning += order->fromStore ? 1 : 0;
            inputs.availableStoreLoads -= order->fromStore ? 1 : 0;
            if (order->fromStore)
                this->storeRate.recordLoad();
        }
    }

    /// Returns the part of `work` that the loaded copies can't serve, if each request goes to the least busy worker.
    double unserved(const std::map<std::string, double>& work) const
    {
        // Small portions in turn, so that no model takes all of a worker that another needs.
        constexpr int portions = 50;
        std::vector<double> load(this->workers.size());
        double sum = 0;
        for (int portion = 0; portion < portions; portion++) {
            for (const auto& [model, rate] : work) {
                size_t best = this->workers.size();
                for (size_t i = 0; i < this->workers.size(); i++) {
                    if (this->serves(i, model) && (best == this->workers.size() || load[i] < load[best]))
                        best = i;
                }
                if (best == this->workers.size() || load[best] + rate / portions > 1)
                    sum += rate / portions;
                else
                    load[best] += rate / portions;
            }
        }
        return sum;
    }

    routing::EngineSpec engine;
    Time at = now;

private:
    struct Worker {
        WorkerInventory inventory;
        std::optional<Order> order;
        Time doneAt { 0 };
    };

    bool serves(size_t worker, const std::string& model) const
    {
        const auto& item = this->workers[worker];
        return item.inventory.models.contains(model) && !(item.order && item.order->model == model);
    }

    const WorkerInventory& start(Worker& worker, const Order& order)
    {
        TrackedWorker tracked;
        tracked.inventory = worker.inventory;
        scheduleModelOrder(tracked, order);
        worker.inventory = tracked.inventory;
        worker.inventory.acceptsModelOrders = false;
        worker.order = order;
        worker.doneAt = this->at + (order.kind == OrderKind::Load ? loadTime : unloadTime);
        return worker.inventory;
    }

    void finishOrder(Worker& worker)
    {
        if (!worker.order || this->at < worker.doneAt)
            return;
        if (worker.order->kind == OrderKind::Load) {
            worker.inventory.loadedAt[worker.order->model] = this->at;
            worker.inventory.cachedModels.insert(worker.order->model);
        }
        worker.inventory.unloading.clear();
        worker.inventory.acceptsModelOrders = true;
        worker.order.reset();
    }

    std::vector<Worker> workers;
    WorkAverage average;
    DemandForecast forecast;
    StoreRateLimiter storeRate;
};

} // namespace

// Three fifths of the demand move from one model to another within six seconds, as callers' habits change during a day. The risen
// model has one copy and needs half of the workers. A plan for the current demand is late all the time that the shift lasts.
Test(models, shift_of_demand_leaves_less_than_one_request_in_40_unserved)
{
    PlannedFleet fleet(12, 21, 2.2);
    fleet.place("m0");
    constexpr double total = 7;
    constexpr auto shiftTime = seconds { 6 };
    double asked = 0;
    double unserved = 0;
    for (Time elapsed { 0 }; elapsed < seconds { 20 }; elapsed += PlannedFleet::step) {
        auto moved = std::clamp(std::chrono::duration<double>(elapsed - seconds { 8 }) / shiftTime, 0.0, 1.0);
        std::map<std::string, double> work { { "m0", total * 0.6 * (1 - moved) }, { "m20", total * 0.6 * moved } };
        for (int i = 1; i < 20; i++)
            work["m" + std::to_string(i)] = total * 0.4 / 19;
        fleet.play(work);
        if (elapsed < seconds { 8 })
            continue;
        for (const auto& [model, rate] : work)
            asked += rate;
        unserved += fleet.unserved(work);
    }
    cr_assert_lt(unserved, asked / 40, "%.1f of %.1f", unserved, asked);
}

// A model without a copy must not take the memory of the copies that are needed most because their worker is the only one that
// executes no order at the moment.
Test(models, missing_model_waits_for_memory_that_is_missed_less)
{
    auto engine = threeModels();
    auto inputs = makeInputs(engine, { workerWith("w", { "a" }), workerWith("v", { "a" }), workerWith("u", { "a", "b" }), workerWith("t", { "b" }) });
    for (auto& worker : inputs.workers)
        worker.models.insert("d");
    engine.models.push_back(engine.models.back());
    engine.models.back().name = "d";
    for (auto i : { 2U, 3U })
        inputs.workers[i].acceptsModelOrders = false;
    inputs.workers[2].models = { "a", "b" };
    inputs.work = { { "a", 9 }, { "b", 0.1 }, { "c", 1 }, { "d", 9 } };
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.workers[2].acceptsModelOrders = true;
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->model, "b");
    cr_assert_eq(order->worker, "u");
}

// While a worker unloads a model to free memory for `c`, no worker holds `c` yet. That must not look as if it was not planned.
Test(models, memory_is_freed_on_only_one_worker)
{
    auto engine = threeModels();
    std::vector<WorkerInventory> workers { workerWith("w", { "a", "b" }), workerWith("v", { "a", "b" }) };
    auto first = planModelOrder(makeInputs(engine, workers));
    cr_assert_eq(first->kind, OrderKind::Unload);
    cr_assert_eq(first->freesMemoryFor, "c");
    auto& chosen = workers[0].id == first->worker ? workers[0] : workers[1];
    chosen.models.erase(first->model);
    chosen.unloading.insert(first->model);
    chosen.reservedModel = "c";
    chosen.acceptsModelOrders = false;
    cr_assert_not(planModelOrder(makeInputs(engine, workers)).has_value(), "no second worker frees memory for the same model");
    chosen.unloading.clear();
    chosen.acceptsModelOrders = true;
    auto second = planModelOrder(makeInputs(engine, workers));
    cr_assert_eq(second->kind, OrderKind::Load);
    cr_assert_eq(second->model, "c");
    cr_assert_eq(second->worker, chosen.id);
}

// Each model has one copy. A second copy of the busy model `c` would need memory on `w`, which is full with `a` and `b`.
Test(models, last_copy_is_never_evicted)
{
    auto engine = threeModels();
    auto inputs = makeInputs(engine, { workerWith("w", { "a", "b" }), workerWith("v", { "c" }) });
    inputs.work["c"] = 10;
    for (int i = 0; i < 5; i++) {
        auto order = planModelOrder(inputs);
        if (order)
            cr_assert_neq(order->kind, OrderKind::Unload);
    }
}

// Guards against models that are evicted right after their load, so that workers load more than they serve.
Test(models, recently_loaded_model_is_not_evicted)
{
    auto engine = threeModels();
    auto worker = workerWith("w", { "a", "b" });
    worker.loadedAt["a"] = now - minResidence / 2;
    worker.loadedAt["b"] = now - minResidence / 2;
    auto inputs = makeInputs(engine, { worker, workerWith("v", { "a", "b" }) });
    inputs.workers[1].acceptsModelOrders = false;
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.now = now + minResidence;
    cr_assert(planModelOrder(inputs).has_value());
}

// Loads of weights that the worker has on its disk or in its host memory don't use the store.
Test(models, store_rate_limits_loads)
{
    auto engine = threeModels();
    auto inputs = makeInputs(engine, { workerWith("w", { "a" }), workerWith("v", { "b" }) });
    inputs.availableStoreLoads = 0.5;
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.workers[0].cachedModels = { "c" };
    auto order = planModelOrder(inputs);
    cr_assert(order.has_value());
    cr_assert_not(order->fromStore);
}

Test(models, busy_model_gets_another_copy_and_an_idle_one_does_not)
{
    auto engine = threeModels();
    auto inputs = makeInputs(engine, { workerWith("w", { "a", "b" }), workerWith("v", { "c" }) });
    inputs.work = { { "a", 0.05 }, { "b", 0.05 }, { "c", 0.05 } };
    // Too few available loads for a spare copy.
    inputs.availableStoreLoads = 1;
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.work["a"] = 0.9;
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->model, "a");
    cr_assert_eq(order->worker, "v");
}

// Each relief order evicts a copy that other requests use. Too many at once do more harm than good.
Test(models, relief_evicts_no_copy_in_use_while_many_orders_run)
{
    auto engine = threeModels();
    auto inputs = makeInputs(engine, { workerWith("w", { "a", "b" }), workerWith("v", { "b", "c" }) });
    inputs.work = { { "a", 0.9 }, { "b", 0.2 } };
    cr_assert(planModelOrder(inputs).has_value());
    inputs.modelOrdersRunning = minReliefOrderLimit;
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.work["b"] = 0;
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->kind, OrderKind::Unload);
    cr_assert_eq(order->model, "b", "a spare copy of an unused model may still be evicted");
    inputs.work["b"] = 0.2;
    inputs.workers.push_back(workerWith("empty", {}));
    cr_assert_eq(planModelOrder(inputs)->worker, "empty", "a worker with free memory may still get a copy");
}

// After workers ended, unused models are missing. Loading them must not delay further copies of a busy model.
Test(models, busy_model_has_priority_over_missing_unused_models)
{
    auto engine = threeModels();
    auto inputs = makeInputs(engine, { workerWith("w", { "a" }), workerWith("v", {}) });
    inputs.work["a"] = 0.9;
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->model, "a");
    inputs.work["c"] = 0.01;
    cr_assert_eq(planModelOrder(inputs)->model, "c", "a missing model that requests ask for comes first");
}

// After a shift of demand a model is overloaded on all of its many workers, while workers that hold another model are idle.
Test(models, model_with_many_busy_copies_gets_another)
{
    auto engine = threeModels();
    std::vector<WorkerInventory> workers;
    for (int i = 0; i < 8; i++)
        workers.push_back(workerWith("busy" + std::to_string(i), { "a", "b" }));
    for (int i = 0; i < 8; i++)
        workers.push_back(workerWith("idle" + std::to_string(i), { "b", "c" }));
    auto inputs = makeInputs(engine, workers);
    inputs.work = { { "a", 10 }, { "b", 0.4 }, { "c", 0.4 } };
    auto order = planModelOrder(inputs);
    cr_assert(order.has_value());
    cr_assert_eq(order->freesMemoryFor, "a");
    cr_assert(order->worker.starts_with("idle"));
    // Another copy would not help on a worker that is as busy as those that hold the model.
    inputs.work["c"] = 10;
    cr_assert_not(planModelOrder(inputs).has_value() && planModelOrder(inputs)->freesMemoryFor == "a");
}

Test(models, eviction_with_the_least_lost_work_is_preferred)
{
    auto engine = threeModels();
    auto inputs = makeInputs(engine, { workerWith("w", { "a", "b" }), workerWith("v", { "a", "b" }), workerWith("u", { "a", "b" }) });
    inputs.workers[0].cachedModels = { "c" };
    inputs.workers[0].loadedAt["b"] = now;
    inputs.work = { { "a", 3 }, { "b", 0.1 }, { "c", 1 } };
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->kind, OrderKind::Unload);
    cr_assert_eq(order->model, "b");
    cr_assert_neq(order->worker, "w", "that worker could only evict the busy model");
}

// If all copies are in one data centre, the model is lost when that data centre fails.
Test(models, spare_copy_is_loaded_in_another_data_centre_while_the_store_is_idle)
{
    auto engine = threeModels();
    engine.storeLoadsPerSecond = 3;
    for (auto& model : engine.models)
        model.storeLoadTime = seconds { 4 };
    std::vector<WorkerInventory> workers { workerWith("w", { "a", "b" }), workerWith("v", {}), workerWith("u", { "c" }), workerWith("t", { "c", "b" }) };
    workers[0].dataCentre = workers[1].dataCentre = "east";
    workers[2].dataCentre = workers[3].dataCentre = "west";
    auto inputs = makeInputs(engine, workers);
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->model, "a");
    cr_assert_eq(order->worker, "u", "one copy remains if a data centre fails");
    cr_assert_eq(order->reason, "spare");
    inputs.storeLoadsRunning = maxConcurrentStoreLoads(engine) / 2;
    cr_assert_not(planModelOrder(inputs).has_value(), "running loads have priority over spare copies");
    inputs.storeLoadsRunning = 0;
    for (auto& worker : inputs.workers)
        worker.models = { "a", "b" };
    inputs.workers[3].models = { "b", "c" };
    cr_assert_not(planModelOrder(inputs).has_value(), "nothing is evicted for a spare copy");
}

// If one of three data centres fails, a third of the workers ends at once. No model with a spare copy may be lost.
Test(models, after_an_idle_start_every_model_is_in_two_data_centres)
{
    auto engine = threeModels();
    engine.models.clear();
    for (int i = 0; i < 12; i++) {
        routing::ModelSpec model;
        model.name = "m" + std::to_string(i);
        model.weightsMegabytes = 50;
        model.storeLoadTime = seconds { 2 };
        engine.models.push_back(model);
    }
    engine.storeLoadsPerSecond = 4;
    std::vector<WorkerInventory> workers;
    for (int i = 0; i < 9; i++) {
        workers.push_back(workerWith("w" + std::to_string(i), {}));
        workers.back().dataCentre = "dc" + std::to_string(i % 3);
    }
    for (int step = 0; step < 60; step++) {
        auto order = planModelOrder(makeInputs(engine, workers));
        if (!order)
            break;
        cr_assert_eq(order->kind, OrderKind::Load);
        std::find_if(workers.begin(), workers.end(), [&](const auto& worker) { return worker.id == order->worker; })->models.insert(order->model);
    }
    for (const auto& model : engine.models) {
        std::set<std::string> dataCentres;
        for (const auto& worker : workers) {
            if (worker.models.contains(model.name))
                dataCentres.insert(worker.dataCentre);
        }
        cr_assert_geq(dataCentres.size(), 2U, "%s", model.name.c_str());
    }
}

Test(models, any_sequence_of_orders_fits_the_memory_of_the_workers)
{
    cr_assert(rc::check("loaded and unloading models never exceed the memory, and every model is loaded or planned in the end", [] {
        auto engine = threeModels();
        std::vector<WorkerInventory> workers { workerWith("w", { "a" }), workerWith("v", { "b" }), workerWith("u", {}) };
        Time at = now;
        for (int step = 0; step < 60; step++) {
            at += milliseconds { 400 };
            auto inputs = makeInputs(engine, workers);
            inputs.now = at;
            for (const auto* model : { "a", "b", "c" })
                inputs.work[model] = *rc::gen::inRange(0, 20) / 10.0;
            auto order = planModelOrder(inputs);
            // A worker finishes its order after a random number of steps.
            for (auto& worker : workers) {
                if (!worker.acceptsModelOrders && *rc::gen::inRange(0, 2) == 0) {
                    worker.acceptsModelOrders = true;
                    worker.unloading.clear();
                }
            }
            if (!order)
                continue;
            auto& worker = *std::find_if(workers.begin(), workers.end(), [&](const auto& item) { return item.id == order->worker; });
            TrackedWorker tracked;
            tracked.inventory = worker;
            scheduleModelOrder(tracked, *order);
            worker = tracked.inventory;
            worker.acceptsModelOrders = false;
            if (order->kind == OrderKind::Load)
                worker.loadedAt[order->model] = at;
            for (const auto& item : workers)
                RC_ASSERT(usedMegabytes(engine, item) <= modelMemoryMegabytes(engine));
        }
        std::set<std::string> loadedOrPlanned;
        for (const auto& worker : workers) {
            loadedOrPlanned.insert(worker.models.begin(), worker.models.end());
            if (!worker.reservedModel.empty())
                loadedOrPlanned.insert(worker.reservedModel);
        }
        RC_ASSERT(loadedOrPlanned.size() == 3);
    }));
}

// Reports leave out a model that is still being loaded. Its memory must not be planned for another model after a resync.
Test(tracked_worker, model_being_loaded_keeps_its_memory_after_a_conflict)
{
    TrackedWorker tracked;
    tracked.inventory.id = "w";
    cr_assert(needsReport(tracked, now));
    applyReport(tracked, makeReport({ "a" }, 3), now);
    Order load { "w", OrderKind::Load, "b", "", true, "", "" };
    scheduleModelOrder(tracked, load);
    applyOrderOutcome(tracked, load, OrderOutcome::Accepted, now);
    Order adapter { "w", OrderKind::Load, "a", "a1", false, "", "" };
    applyOrderOutcome(tracked, adapter, OrderOutcome::Conflict, now);
    cr_assert_not(tracked.synced);
    applyReport(tracked, makeReport({ "a" }, 4, true), now + maxReportAge);
    cr_assert(tracked.inventory.models.contains("b"), "reports leave out a model that is being loaded");
    cr_assert(applyReport(tracked, makeReport({ "a", "b" }, 4), now + 2 * maxReportAge));
    cr_assert(mayOrderModel(tracked));
}

// After a take-over a worker may still execute a model order of the previous lease holder and would refuse further orders.
Test(tracked_worker, order_of_another_lease_holder_blocks_orders)
{
    TrackedWorker tracked;
    applyReport(tracked, makeReport({ "a" }, 3, true), now);
    cr_assert_not(mayOrderModel(tracked));
    cr_assert_not(mayOrderAdapter(tracked));
    applyReport(tracked, makeReport({ "a", "b" }, 3), now + busyReportInterval);
    cr_assert(mayOrderModel(tracked));
    cr_assert(tracked.inventory.models.contains("b"));
}

// The worker may have accepted the order, so its memory and count of accepted orders are not known.
Test(tracked_worker, no_order_after_an_unknown_outcome_until_a_new_report)
{
    TrackedWorker tracked;
    applyReport(tracked, makeReport({ "a" }, 3), now);
    Order load { "w", OrderKind::Load, "b", "", true, "", "" };
    scheduleModelOrder(tracked, load);
    applyOrderOutcome(tracked, load, OrderOutcome::Unknown, now);
    cr_assert_not(mayOrderModel(tracked));
    cr_assert_not(needsReport(tracked, now + maxReportAge / 2), "a report requested now may still miss the order");
    cr_assert(needsReport(tracked, now + maxReportAge));
}

// With a wrong count the worker would refuse the next order with `Conflict`.
Test(tracked_worker, order_count_follows_accepted_orders)
{
    TrackedWorker tracked;
    applyReport(tracked, makeReport({ "a" }, 3), now);
    applyOrderOutcome(tracked, { "w", OrderKind::Load, "a", "a1", false, "", "" }, OrderOutcome::Accepted, now);
    cr_assert_eq(tracked.ordersAccepted, 4U);
    applyOrderOutcome(tracked, { "w", OrderKind::Load, "a", "a1", false, "", "" }, OrderOutcome::AlreadyDone, now);
    cr_assert_eq(tracked.ordersAccepted, 4U);
    applyOrderOutcome(tracked, { "w", OrderKind::Unload, "a", "a1", false, "", "" }, OrderOutcome::AlreadyDone, now);
    cr_assert_eq(tracked.ordersAccepted, 5U);
    cr_assert(tracked.inventory.adapters.empty());
}

// Guards against loads that a worker refuses because requests still use the adapter that makes room: after a refusal it gets no order for a while.
Test(tracked_worker, load_waits_until_the_adapter_that_makes_room_is_unloaded)
{
    routing::EngineSpec engine;
    engine.adapterSlots = 1;
    TrackedWorker tracked;
    tracked.synced = true;
    tracked.inventory.models = { "m" };
    tracked.inventory.adapters = { { "m/a1", Time { 0 } } };
    constexpr Time sentAt = std::chrono::seconds { 10 };
    auto unload = planAdapterOrder(engine, tracked.inventory, "m", "a2", sentAt, Time { 0 });
    cr_assert(unload && unload->kind == OrderKind::Unload);
    applyOrderOutcome(tracked, *unload, OrderOutcome::Accepted, sentAt);
    cr_assert_not(mayOrderAdapter(tracked));
    cr_assert_not(mayOrderModel(tracked));
    cr_assert(needsReport(tracked, sentAt + maxReportAge));
    WorkerReport report;
    report.models = { { "m", 1, {} } };
    report.ordersAccepted = tracked.ordersAccepted;
    applyReport(tracked, report, sentAt + maxReportAge);
    cr_assert(mayOrderAdapter(tracked));
    auto load = planAdapterOrder(engine, tracked.inventory, "m", "a2", sentAt + maxReportAge, Time { 0 });
    cr_assert(load && load->kind == OrderKind::Load);
}

Test(adapters, adapter_slots_are_never_exceeded)
{
    cr_assert(rc::check("", [] {
        auto engine = threeModels();
        auto worker = workerWith("w", { "a" });
        Time at = now;
        for (int i = 0; i < 40; i++) {
            at += milliseconds { *rc::gen::inRange(1, 800) };
            auto adapter = "a" + std::to_string(*rc::gen::inRange(1, 6));
            auto order = planAdapterOrder(engine, worker, "a", adapter, at, milliseconds { 300 });
            if (!order)
                continue;
            auto key = order->model + "/" + order->adapter;
            if (order->kind == OrderKind::Load)
                worker.adapters[key] = at;
            else {
                RC_ASSERT(at - worker.adapters.at(key) >= milliseconds { 300 });
                worker.adapters.erase(key);
            }
            RC_ASSERT(worker.adapters.size() <= engine.adapterSlots);
        }
    }));
}

// Guards against prefetches that take the last slot from an adapter that a request waits for, and against copies on all workers.
// No worker holds the model of `b/a1`.
Test(adapters, prefetch_leaves_a_slot_free_and_stops_at_two_copies)
{
    auto engine = threeModels();
    std::vector<WorkerInventory> workers { workerWith("w", { "a" }), workerWith("v", { "a" }), workerWith("u", { "a" }) };
    AdapterUses uses { { "a/a1", now }, { "b/a1", now } };
    auto currentDemand = [&] {
        std::vector<const WorkerInventory*> all;
        for (const auto& worker : workers)
            all.push_back(&worker);
        return collectAdapterDemand(all, uses);
    };
    auto demand = currentDemand();
    auto order = planPrefetchOrder(engine, workers[0], demand);
    cr_assert_eq(order->adapter, "a1");
    cr_assert_eq(order->model, "a");
    // A copy planned in this round counts as an existing copy.
    cr_assert(planPrefetchOrder(engine, workers[1], demand).has_value());
    cr_assert_not(planPrefetchOrder(engine, workers[2], demand).has_value());
    workers[0].adapters["a/a9"] = now;
    demand = currentDemand();
    cr_assert_not(planPrefetchOrder(engine, workers[0], demand).has_value());
    workers[1].adapters["a/a1"] = now;
    workers[2].adapters["a/a1"] = now;
    workers[0].adapters.clear();
    demand = currentDemand();
    cr_assert_not(planPrefetchOrder(engine, workers[0], demand).has_value());
}

Test(rates, store_loads_stay_within_the_rate)
{
    cr_assert(rc::check("any five seconds have at most five times the rate plus the burst", [] {
        StoreRateLimiter limiter;
        std::vector<Time> loads;
        Time at = now;
        for (int i = 0; i < 300; i++) {
            at += milliseconds { *rc::gen::inRange(1, 200) };
            if (limiter.availableLoads(1.1, at) >= 1) {
                limiter.recordLoad();
                loads.push_back(at);
            }
        }
        for (size_t i = 0; i < loads.size(); i++) {
            auto count = std::count_if(loads.begin() + static_cast<long>(i), loads.end(), [&](Time time) { return time < loads[i] + seconds { 5 }; });
            // At most 10 % above the loads that a rate of 1.1 per second allows in five seconds, plus the burst of three.
            RC_ASSERT(count <= 1.1 * 5 * 1.1 + 3);
        }
    }));
}

Test(rates, work_average_follows_the_load)
{
    WorkAverage work;
    // 0.05 worker seconds every 100 ms are a rate of 0.5.
    for (int i = 0; i < 100; i++)
        work.add("m", 0.05, now + milliseconds { 100 * i });
    auto busy = work.rates(now + seconds { 10 })["m"];
    cr_assert_gt(busy, 0.4);
    cr_assert_lt(busy, 0.6);
    cr_assert_lt(work.rates(now + seconds { 20 })["m"], 0.02);
}

// A worker evicts the weights that it has used least recently from its disk. A load of them reads from the weight store again and must count
// against the store's rate: loads that seemed to be cached went beyond it.
Test(tracked_worker, evicted_weights_no_longer_count_as_cached)
{
    TrackedWorker tracked;
    WorkerReport report;
    report.cachedModels = { "a", "b" };
    applyReport(tracked, report, Time { 1 });
    cr_assert(tracked.inventory.cachedModels.contains("a"));
    report.cachedModels = { "b", "c" };
    applyReport(tracked, report, Time { 2 });
    cr_assert_not(tracked.inventory.cachedModels.contains("a"), "\"a\" was evicted");
    cr_assert(tracked.inventory.cachedModels.contains("c"));
    // What the worker does not tell again does not replace what is known since.
    tracked.inventory.cachedModels.insert("d");
    applyReport(tracked, report, Time { 3 });
    cr_assert(tracked.inventory.cachedModels.contains("d"), "a load that is done since");
    updateCachedModels(tracked, {});
    cr_assert(tracked.inventory.cachedModels.contains("b"), "an entry without the field");
}
