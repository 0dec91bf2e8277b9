/// Plans of models and adapters, and the account of what a worker holds.
#include <criterion/criterion.h>
#include <placement/placement.h>
#include <rapidcheck.h>

using namespace comfreypier;
using namespace comfreypier::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time now = seconds { 100 };

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
        model.adapters = 4;
        engine.models.push_back(model);
    }
    return engine;
}

WorkerInventory holding(const std::string& id, std::set<std::string> models)
{
    WorkerInventory worker;
    worker.id = id;
    worker.models = std::move(models);
    return worker;
}

ModelPlanInputs inputsOf(const routing::EngineSpec& engine, std::vector<WorkerInventory> workers)
{
    ModelPlanInputs inputs;
    inputs.engine = &engine;
    inputs.now = now;
    inputs.workers = std::move(workers);
    inputs.availableStoreLoads = 3;
    return inputs;
}

double weightOf(const routing::EngineSpec& engine, const WorkerInventory& worker)
{
    double sum = 0;
    for (const auto& model : engine.models)
        sum += worker.models.contains(model.name) || worker.unloading.contains(model.name) ? model.weightsMegabytes : 0;
    return sum;
}

WorkerReport reportOf(std::vector<std::string> models, uint64_t accepted, bool modelOrderRunning = false)
{
    WorkerReport report;
    for (auto& model : models)
        report.models.push_back({ std::move(model), 1, {} });
    report.ordersAccepted = accepted;
    report.modelOrderRunning = modelOrderRunning;
    return report;
}

} // namespace

Test(models, a_missing_model_goes_first)
{
    auto engine = threeModels();
    auto inputs = inputsOf(engine, { holding("w", { "a" }), holding("v", { "a", "b" }) });
    inputs.work["a"] = 5;
    auto order = planModelOrder(inputs);
    cr_assert(order.has_value());
    cr_assert_eq(order->model, "c");
    cr_assert_eq(order->worker, "w");
    cr_assert_eq(order->kind, OrderKind::Load);
}

Test(models, room_is_made_on_one_worker_only)
{
    auto engine = threeModels();
    std::vector<WorkerInventory> workers { holding("w", { "a", "b" }), holding("v", { "a", "b" }) };
    auto first = planModelOrder(inputsOf(engine, workers));
    cr_assert_eq(first->kind, OrderKind::Unload);
    cr_assert_eq(first->freesMemoryFor, "c");
    auto& chosen = workers[0].id == first->worker ? workers[0] : workers[1];
    chosen.models.erase(first->model);
    chosen.unloading.insert(first->model);
    chosen.reservedModel = "c";
    chosen.acceptsModelOrders = false;
    cr_assert_not(planModelOrder(inputsOf(engine, workers)).has_value(), "nothing else is unloaded for the same model");
    chosen.unloading.clear();
    chosen.acceptsModelOrders = true;
    auto second = planModelOrder(inputsOf(engine, workers));
    cr_assert_eq(second->kind, OrderKind::Load);
    cr_assert_eq(second->model, "c");
    cr_assert_eq(second->worker, chosen.id);
}

Test(models, the_last_copy_is_never_dropped)
{
    auto engine = threeModels();
    auto inputs = inputsOf(engine, { holding("w", { "a", "b" }), holding("v", { "c" }) });
    inputs.work["c"] = 10;
    for (int i = 0; i < 5; i++) {
        auto order = planModelOrder(inputs);
        if (order)
            cr_assert_neq(order->kind, OrderKind::Unload);
    }
}

Test(models, a_fresh_model_stays_for_a_while)
{
    auto engine = threeModels();
    auto worker = holding("w", { "a", "b" });
    worker.loadedAt["a"] = now - minResidence / 2;
    worker.loadedAt["b"] = now - minResidence / 2;
    auto inputs = inputsOf(engine, { worker, holding("v", { "a", "b" }) });
    inputs.workers[1].acceptsModelOrders = false;
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.now = now + minResidence;
    cr_assert(planModelOrder(inputs).has_value());
}

Test(models, the_store_rate_bounds_loads)
{
    auto engine = threeModels();
    auto inputs = inputsOf(engine, { holding("w", { "a" }), holding("v", { "b" }) });
    inputs.availableStoreLoads = 0.5;
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.workers[0].cachedModels = { "c" };
    auto order = planModelOrder(inputs);
    cr_assert(order.has_value());
    cr_assert_not(order->fromStore);
}

Test(models, a_busy_model_gets_another_copy_and_a_quiet_one_does_not)
{
    auto engine = threeModels();
    auto inputs = inputsOf(engine, { holding("w", { "a", "b" }), holding("v", { "c" }) });
    inputs.work = { { "a", 0.05 }, { "b", 0.05 }, { "c", 0.05 } };
    // Too few for a spare copy.
    inputs.availableStoreLoads = 1;
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.work["a"] = 0.9;
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->model, "a");
    cr_assert_eq(order->worker, "v");
}

Test(models, relief_drops_nothing_while_many_orders_run)
{
    auto engine = threeModels();
    auto inputs = inputsOf(engine, { holding("w", { "a", "b" }), holding("v", { "b", "c" }) });
    inputs.work = { { "a", 0.9 }, { "b", 0.2 } };
    cr_assert(planModelOrder(inputs).has_value());
    inputs.modelOrdersRunning = minReliefOrderLimit;
    cr_assert_not(planModelOrder(inputs).has_value());
    inputs.work["b"] = 0;
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->kind, OrderKind::Unload);
    cr_assert_eq(order->model, "b", "a spare copy of what nobody uses makes room all the same");
    inputs.work["b"] = 0.2;
    inputs.workers.push_back(holding("empty", {}));
    cr_assert_eq(planModelOrder(inputs)->worker, "empty", "an empty worker is filled all the same");
}

// Workers ended: models that nobody asks for are missing while a busy one needs copies.
Test(models, a_busy_model_goes_before_missing_ones_that_nobody_asks_for)
{
    auto engine = threeModels();
    auto inputs = inputsOf(engine, { holding("w", { "a" }), holding("v", {}) });
    inputs.work["a"] = 0.9;
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->model, "a");
    inputs.work["c"] = 0.01;
    cr_assert_eq(planModelOrder(inputs)->model, "c", "one that is asked for goes first");
}

// A model that many workers hold is overloaded on all of them while the demand for another one has ended.
Test(models, a_model_with_many_busy_copies_gets_more)
{
    auto engine = threeModels();
    std::vector<WorkerInventory> workers;
    for (int i = 0; i < 8; i++)
        workers.push_back(holding("busy" + std::to_string(i), { "a", "b" }));
    for (int i = 0; i < 8; i++)
        workers.push_back(holding("idle" + std::to_string(i), { "b", "c" }));
    auto inputs = inputsOf(engine, workers);
    inputs.work = { { "a", 10 }, { "b", 0.4 }, { "c", 0.4 } };
    auto order = planModelOrder(inputs);
    cr_assert(order.has_value());
    cr_assert_eq(order->freesMemoryFor, "a");
    cr_assert(order->worker.starts_with("idle"));
    // Workers as busy as the holders would not help.
    inputs.work["c"] = 10;
    cr_assert_not(planModelOrder(inputs).has_value() && planModelOrder(inputs)->freesMemoryFor == "a");
}

Test(models, room_is_made_where_the_least_work_is_lost)
{
    auto engine = threeModels();
    auto inputs = inputsOf(engine, { holding("w", { "a", "b" }), holding("v", { "a", "b" }), holding("u", { "a", "b" }) });
    inputs.workers[0].cachedModels = { "c" };
    inputs.workers[0].loadedAt["b"] = now;
    inputs.work = { { "a", 3 }, { "b", 0.1 }, { "c", 1 } };
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->kind, OrderKind::Unload);
    cr_assert_eq(order->model, "b");
    cr_assert_neq(order->worker, "w", "there only the busy model could go");
}

Test(models, single_copies_get_a_spare_in_another_data_centre_with_idle_loads)
{
    auto engine = threeModels();
    engine.storeLoadsPerSecond = 3;
    for (auto& model : engine.models)
        model.storeLoad = seconds { 4 };
    std::vector<WorkerInventory> workers { holding("w", { "a", "b" }), holding("v", {}), holding("u", { "c" }), holding("t", { "c", "b" }) };
    workers[0].dataCentre = workers[1].dataCentre = "east";
    workers[2].dataCentre = workers[3].dataCentre = "west";
    auto inputs = inputsOf(engine, workers);
    auto order = planModelOrder(inputs);
    cr_assert_eq(order->model, "a");
    cr_assert_eq(order->worker, "u", "the end of a data centre leaves a copy");
    cr_assert_eq(order->reason, "spare");
    inputs.storeLoadsRunning = maxConcurrentStoreLoads(engine) / 2;
    cr_assert_not(planModelOrder(inputs).has_value(), "loads that run go before spare copies");
    inputs.storeLoadsRunning = 0;
    for (auto& worker : inputs.workers)
        worker.models = { "a", "b" };
    inputs.workers[3].models = { "b", "c" };
    cr_assert_not(planModelOrder(inputs).has_value(), "nothing is dropped for a spare copy");
}

// A third of the workers ends at once; of the models that had a spare copy none is lost.
Test(models, after_a_quiet_start_no_single_data_centre_holds_a_model_alone)
{
    auto engine = threeModels();
    engine.models.clear();
    for (int i = 0; i < 12; i++) {
        routing::ModelSpec model;
        model.name = "m" + std::to_string(i);
        model.weightsMegabytes = 50;
        model.storeLoad = seconds { 2 };
        engine.models.push_back(model);
    }
    engine.storeLoadsPerSecond = 4;
    std::vector<WorkerInventory> workers;
    for (int i = 0; i < 9; i++) {
        workers.push_back(holding("w" + std::to_string(i), {}));
        workers.back().dataCentre = "dc" + std::to_string(i % 3);
    }
    for (int step = 0; step < 60; step++) {
        auto order = planModelOrder(inputsOf(engine, workers));
        if (!order)
            break;
        cr_assert_eq(order->kind, OrderKind::Load);
        std::find_if(workers.begin(), workers.end(), [&](const auto& worker) { return worker.id == order->worker; })->models.insert(order->model);
    }
    for (const auto& model : engine.models) {
        std::set<std::string> centres;
        for (const auto& worker : workers) {
            if (worker.models.contains(model.name))
                centres.insert(worker.dataCentre);
        }
        cr_assert_geq(centres.size(), 2U, "%s", model.name.c_str());
    }
}

Test(models, any_sequence_of_plans_stays_within_the_workers_room)
{
    cr_assert(rc::check("models and those on their way out never exceed the room, and every model stays or comes", [] {
        auto engine = threeModels();
        std::vector<WorkerInventory> workers { holding("w", { "a" }), holding("v", { "b" }), holding("u", {}) };
        Time at = now;
        for (int step = 0; step < 60; step++) {
            at += milliseconds { 400 };
            auto inputs = inputsOf(engine, workers);
            inputs.now = at;
            for (const auto* model : { "a", "b", "c" })
                inputs.work[model] = *rc::gen::inRange(0, 20) / 10.0;
            auto order = planModelOrder(inputs);
            // A worker that carries out an order finishes at some step.
            for (auto& worker : workers) {
                if (!worker.acceptsModelOrders && *rc::gen::inRange(0, 2) == 0) {
                    worker.acceptsModelOrders = true;
                    worker.unloading.clear();
                }
            }
            if (!order)
                continue;
            auto& worker = *std::find_if(workers.begin(), workers.end(), [&](const auto& item) { return item.id == order->worker; });
            TrackedWorker account;
            account.inventory = worker;
            scheduleModelOrder(account, *order);
            worker = account.inventory;
            worker.acceptsModelOrders = false;
            if (order->kind == OrderKind::Load)
                worker.loadedAt[order->model] = at;
            for (const auto& item : workers)
                RC_ASSERT(weightOf(engine, item) <= modelMemoryMegabytes(engine));
        }
        std::set<std::string> there;
        for (const auto& worker : workers) {
            there.insert(worker.models.begin(), worker.models.end());
            if (!worker.reservedModel.empty())
                there.insert(worker.reservedModel);
        }
        RC_ASSERT(there.size() == 3);
    }));
}

Test(account, a_model_being_loaded_keeps_its_room_through_a_conflict)
{
    TrackedWorker account;
    account.inventory.id = "w";
    cr_assert(needsReport(account, now));
    applyReport(account, reportOf({ "a" }, 3), now);
    Order load { "w", OrderKind::Load, "b", "", true, "", "" };
    scheduleModelOrder(account, load);
    applyOrderOutcome(account, load, OrderOutcome::Accepted, now);
    Order adapter { "w", OrderKind::Load, "a", "a1", false, "", "" };
    applyOrderOutcome(account, adapter, OrderOutcome::Conflict, now);
    cr_assert_not(account.synced);
    applyReport(account, reportOf({ "a" }, 4, true), now + maxReportAge);
    cr_assert(account.inventory.models.contains("b"), "reports leave a model out while it is loaded");
    cr_assert(applyReport(account, reportOf({ "a", "b" }, 4), now + 2 * maxReportAge));
    cr_assert(mayOrderModel(account));
}

Test(account, another_holders_load_blocks_model_orders)
{
    TrackedWorker account;
    applyReport(account, reportOf({ "a" }, 3, true), now);
    cr_assert_not(mayOrderModel(account));
    cr_assert_not(mayOrderAdapter(account));
    applyReport(account, reportOf({ "a", "b" }, 3), now + busyReportInterval);
    cr_assert(mayOrderModel(account));
    cr_assert(account.inventory.models.contains("b"));
}

Test(account, nothing_is_ordered_after_an_unknown_outcome_until_a_new_report)
{
    TrackedWorker account;
    applyReport(account, reportOf({ "a" }, 3), now);
    Order load { "w", OrderKind::Load, "b", "", true, "", "" };
    scheduleModelOrder(account, load);
    applyOrderOutcome(account, load, OrderOutcome::Unknown, now);
    cr_assert_not(mayOrderModel(account));
    cr_assert_not(needsReport(account, now + maxReportAge / 2), "a report of that age may not show the order");
    cr_assert(needsReport(account, now + maxReportAge));
}

Test(account, the_order_count_follows_accepted_orders)
{
    TrackedWorker account;
    applyReport(account, reportOf({ "a" }, 3), now);
    applyOrderOutcome(account, { "w", OrderKind::Load, "a", "a1", false, "", "" }, OrderOutcome::Accepted, now);
    cr_assert_eq(account.ordersAccepted, 4U);
    applyOrderOutcome(account, { "w", OrderKind::Load, "a", "a1", false, "", "" }, OrderOutcome::AlreadyHolds, now);
    cr_assert_eq(account.ordersAccepted, 4U);
    applyOrderOutcome(account, { "w", OrderKind::Unload, "a", "a1", false, "", "" }, OrderOutcome::AlreadyHolds, now);
    cr_assert_eq(account.ordersAccepted, 5U);
    cr_assert(account.inventory.adapters.empty());
}

Test(adapters, places_are_never_exceeded)
{
    cr_assert(rc::check("", [] {
        auto engine = threeModels();
        auto worker = holding("w", { "a" });
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

Test(adapters, prefetch_leaves_a_place_free_and_stops_at_two_copies)
{
    auto engine = threeModels();
    std::vector<WorkerInventory> workers { holding("w", { "a" }), holding("v", { "a" }), holding("u", { "a" }) };
    AdapterUses uses { { "a/a1", now }, { "b/a1", now } };
    auto demandNow = [&] {
        std::vector<const WorkerInventory*> all;
        for (const auto& worker : workers)
            all.push_back(&worker);
        return collectAdapterDemand(all, uses);
    };
    auto demand = demandNow();
    auto order = planPrefetchOrder(engine, workers[0], demand);
    cr_assert_eq(order->adapter, "a1");
    cr_assert_eq(order->model, "a");
    // What was planned in this round counts like a copy.
    cr_assert(planPrefetchOrder(engine, workers[1], demand).has_value());
    cr_assert_not(planPrefetchOrder(engine, workers[2], demand).has_value());
    workers[0].adapters["a/a9"] = now;
    demand = demandNow();
    cr_assert_not(planPrefetchOrder(engine, workers[0], demand).has_value());
    workers[1].adapters["a/a1"] = now;
    workers[2].adapters["a/a1"] = now;
    workers[0].adapters.clear();
    demand = demandNow();
    cr_assert_not(planPrefetchOrder(engine, workers[0], demand).has_value());
}

Test(rates, loads_from_the_store_stay_within_the_rate)
{
    cr_assert(rc::check("in any five seconds at most five times the rate and the burst", [] {
        StoreRateLimiter rate;
        std::vector<Time> loads;
        Time at = now;
        for (int i = 0; i < 300; i++) {
            at += milliseconds { *rc::gen::inRange(1, 200) };
            if (rate.availableLoads(1.1, at) >= 1) {
                rate.recordLoad();
                loads.push_back(at);
            }
        }
        for (size_t i = 0; i < loads.size(); i++) {
            auto count = std::count_if(loads.begin() + static_cast<long>(i), loads.end(), [&](Time time) { return time < loads[i] + seconds { 5 }; });
            RC_ASSERT(count <= 1.1 * 5 * 1.1 + 3);
        }
    }));
}

Test(rates, work_rises_and_falls_with_the_load)
{
    WorkAverage work;
    for (int i = 0; i < 100; i++)
        work.add("m", 0.05, now + milliseconds { 100 * i });
    auto busy = work.rates(now + seconds { 10 })["m"];
    cr_assert_gt(busy, 0.4);
    cr_assert_lt(busy, 0.6);
    cr_assert_lt(work.rates(now + seconds { 20 })["m"], 0.02);
}
