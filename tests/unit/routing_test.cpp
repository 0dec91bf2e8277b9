/// Tests of routes, the choice of workers, retry budgets and admission.
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <routing/routing.h>

using namespace comfreypier;
using namespace comfreypier::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time now = seconds { 100 };

/// Returns a configuration with the routes `/a/` to service `s` and `/a/b/` to service `t`.
Configuration makeConfiguration()
{
    Configuration configuration;
    Route wide { "wide", "h.example", "/a/", { { "s", 1 } } };
    Route narrow { "narrow", "h.example", "/a/b/", { { "t", 1 } } };
    configuration.routes = { wide, narrow };
    configuration.services["s"].name = "s";
    configuration.services["t"].name = "t";
    return configuration;
}

/// Returns a service whose workers run 64 requests at once, hold two adapters and support backups.
Service makeModelService()
{
    Service service;
    service.name = "s";
    EngineSpec engine;
    engine.slots = 64;
    engine.kvCacheTokens = 200000;
    engine.weightsMegabytes = 100;
    engine.adapterSlots = 2;
    engine.supportsBackups = true;
    service.engine = engine;
    return service;
}

/// Returns an idle worker of the service `s` that holds the model `m`.
Worker makeWorker(const std::string& id, const std::string& dataCentre = "dc")
{
    Worker worker;
    worker.entry.id = id;
    worker.entry.service = "s";
    worker.entry.dataCentre = dataCentre;
    worker.entry.models = { { "m", 1, {} } };
    return worker;
}

/// Returns a request for the model `m` whose prompt has a first part of `sharedTokens`, which other requests may share, and a second
/// part of `ownTokens`.
RequestShape makePrompt(uint32_t sharedTokens, uint32_t ownTokens)
{
    RequestShape shape;
    shape.model = "m";
    shape.parts = { { 1, sharedTokens }, { 2, ownTokens } };
    shape.promptTokens = sharedTokens + ownTokens;
    shape.outputTokens = 50;
    return shape;
}

/// Chooses a worker for one prompt, with default values for all other inputs.
struct Chooser {
    Service service = makeModelService();
    RequestShape shape = makePrompt(6000, 3000);
    std::set<std::string> excluded;
    Choice choose(std::vector<Worker>& workers, Time at = now)
    {
        this->prefixHashes = hashPrefixes(this->shape);
        std::vector<Worker*> pointers;
        for (auto& worker : workers)
            pointers.push_back(&worker);
        ChoiceInputs inputs;
        inputs.service = &this->service;
        inputs.shape = &this->shape;
        inputs.prefixHashes = &this->prefixHashes;
        inputs.dataCentre = "dc";
        inputs.excluded = &this->excluded;
        inputs.targetLatency = milliseconds { 800 };
        inputs.crossDataCentreRoundTrip = milliseconds { 3 };
        inputs.now = at;
        return chooseWorker(pointers, inputs);
    }
    std::vector<uint64_t> prefixHashes; ///< Set by `choose()`.
};

} // namespace

Test(routes, longest_path_prefix_of_the_host_wins)
{
    auto configuration = makeConfiguration();
    cr_assert_eq(findRoute(configuration, "h.example", "/a/b/c")->name, "narrow");
    cr_assert_eq(findRoute(configuration, "H.EXAMPLE:80", "/a/x")->name, "wide");
    cr_assert_null(findRoute(configuration, "other.example", "/a/x"));
    cr_assert_null(findRoute(configuration, "h.example", "/ab"));
}

Test(routes, traffic_split_follows_weights)
{
    cr_assert(rc::check("shares are within 6 percentage points of the weights", [](uint32_t seed) {
        auto configuration = makeConfiguration();
        configuration.routes[0].targets = { { "s", 80 }, { "t", 20 } };
        int countOfS = 0;
        constexpr int tries = 2000;
        for (int i = 0; i < tries; i++)
            countOfS += pickService(configuration, configuration.routes[0], std::to_string(seed) + "-" + std::to_string(i))->name == "s" ? 1 : 0;
        // The standard deviation is 0.9 percentage points, so 6 are not exceeded by chance.
        RC_ASSERT(countOfS > tries * 74 / 100);
        RC_ASSERT(countOfS < tries * 86 / 100);
    }));
}

Test(routes, route_without_weight_has_no_service)
{
    auto configuration = makeConfiguration();
    configuration.routes[0].targets = { { "s", 0 } };
    cr_assert_null(pickService(configuration, configuration.routes[0], "k"));
}

// Guards against prompts with a common prefix that are spread over all workers, so that each worker prefills the prefix again.
Test(choice, cached_prefix_outweighs_short_queue)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
    auto prefixHashes = hashPrefixes(chooser.shape);
    workers[1].prefixCache.add(prefixHashes[0], 6000, 100000);
    workers[1].ownLoad.prefillTokens = 2000;
    workers[1].ownLoad.requests = 1;
    auto choice = chooser.choose(workers);
    cr_assert_eq(choice.worker->entry.id, "b");
    cr_assert_eq(choice.cachedTokens, 6000U);
}

// Guards against requests that wait for a worker in need although another one could take them, or could soon.
Test(choice, limited_worker_is_left_out_while_its_limit_allows_no_request)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b"), makeWorker("c") };
    workers[0].limitedUntil = now + seconds { 2 };
    workers[1].limitedUntil = now + seconds { 1 };
    cr_assert_eq(chooser.choose(workers).worker->entry.id, "c");
    workers[2].entry.models.clear();
    auto choice = chooser.choose(workers);
    cr_assert(choice.worker == nullptr);
    cr_assert_eq(choice.blockReason, BlockReason::Limited);
    cr_assert_eq(choice.timeToCapacity, seconds { 1 });
    workers[1].limitedUntil = now;
    cr_assert_eq(chooser.choose(workers).worker->entry.id, "b");
    chooser.shape.adapter = "a1";
    workers[0].entry.models[0].adapters.insert("a1");
    cr_assert_eq(chooser.choose(workers).blockReason, BlockReason::NoAdapter, "another worker that holds the model can load the adapter");
}

// Guards against a worker that gets all requests with a popular prefix, however long they wait there.
Test(choice, long_queue_outweighs_cached_prefix)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
    workers[1].prefixCache.add(hashPrefixes(chooser.shape)[0], 6000, 100000);
    workers[1].peerLoads["other"] = { 40000, 40000, 4 };
    cr_assert_eq(chooser.choose(workers).worker->entry.id, "a");
}

// Guards against long prompts that are read where many streams run, so that these pause, while a worker with a short queue has none.
Test(choice, long_prompts_avoid_workers_with_many_streams)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
    workers[0].ownLoad.requests = 10;
    workers[1].ownLoad = { 3000, 3000, 1 };
    cr_assert_eq(chooser.choose(workers).worker, &workers[1]);
    chooser.shape = makePrompt(200, 600);
    cr_assert_eq(chooser.choose(workers).worker, &workers[0]);
}

Test(choice, draining_excluded_stalled_or_avoided_worker_is_never_chosen)
{
    cr_assert(rc::check("", [](bool draining, bool excluded, bool avoided, bool stalled) {
        Chooser chooser;
        std::vector<Worker> workers { makeWorker("a") };
        workers[0].entry.draining = draining;
        workers[0].avoidUntil = avoided ? now + seconds { 1 } : Time { 0 };
        workers[0].runningStreams = stalled ? 1 : 0;
        workers[0].lastByteAt = now - 2 * stallTimeout;
        if (excluded)
            chooser.excluded.insert("a");
        auto choice = chooser.choose(workers);
        bool usable = !draining && !excluded && !avoided && !stalled;
        RC_ASSERT((choice.worker != nullptr) == usable);
        if (draining)
            RC_ASSERT(choice.blockReason == BlockReason::NoWorker);
    }));
}

// Guards against requests that are sent to a worker whose KV cache can't hold them: its engine would preempt streams.
Test(choice, kv_cache_is_not_overfilled)
{
    cr_assert(rc::check("", [] {
        Chooser chooser;
        std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
        auto capacity = chooser.service.engine->kvCacheTokens;
        for (auto& worker : workers) {
            worker.ownLoad.requests = *rc::gen::inRange(1, 30);
            worker.ownLoad.memoryTokens = *rc::gen::inRange(0, 200000);
        }
        auto choice = chooser.choose(workers);
        if (choice.worker == nullptr)
            RC_ASSERT(choice.blockReason == BlockReason::NoCapacity);
        else
            RC_ASSERT(choice.worker->ownLoad.memoryTokens + chooser.shape.promptTokens + chooser.shape.outputTokens <= capacity);
    }));
}

// The lease holder is asked for what is missing: the model on any worker, or the adapter on the preferred worker. Once the adapter
// is announced there, the request must go to that worker.
Test(choice, missing_model_and_adapter_have_different_block_reasons)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
    chooser.shape.model = "other";
    cr_assert_eq(chooser.choose(workers).blockReason, BlockReason::NoModel);
    chooser.shape.model = "m";
    chooser.shape.adapter = "a1";
    auto missing = chooser.choose(workers);
    cr_assert_eq(missing.blockReason, BlockReason::NoAdapter);
    cr_assert_not_null(missing.preferredWorker);
    missing.preferredWorker->announced.insert("m/a1");
    cr_assert_eq(chooser.choose(workers).worker, missing.preferredWorker);
}

// Guards against an adapter load on a worker that refuses it because of a model order (`a`), or that must first unload another
// adapter (`b` has two adapter slots, both in use).
Test(choice, missing_adapter_is_loaded_where_nothing_delays_it)
{
    Chooser chooser;
    chooser.shape.adapter = "a1";
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b"), makeWorker("c") };
    workers[0].announced = { orderInProgressMark };
    workers[1].announced = { "m/x", "m/y" };
    cr_assert_eq(chooser.choose(workers).preferredWorker->entry.id, "c");
}

// The worker's entry still names the model while it is being unloaded.
Test(choice, unloading_model_is_not_used)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a") };
    workers[0].announced = { "!m" };
    cr_assert_eq(chooser.choose(workers).blockReason, BlockReason::NoModel);
}

Test(choice, failures_and_slowness_divert_requests_and_decay)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
    auto first = chooser.choose(workers).worker;
    for (int i = 0; i < 6; i++)
        recordAnswer(*first, true, Time { 0 }, Time { 0 }, now);
    cr_assert_neq(chooser.choose(workers).worker, first);
    cr_assert_eq(chooser.choose(workers, now + 60 * estimateHalfLife).worker, first);
    auto second = chooser.choose(workers).worker;
    for (int i = 0; i < 10; i++)
        recordAnswer(*second, false, milliseconds { 100 }, milliseconds { 2000 }, now);
    cr_assert_gt(second->slowness, 4);
}

// Guards against a worker that fails for other VMs but receives requests until it fails for this VM too, and against a worker that
// all VMs avoid although it fails for some of them only.
Test(choice, failures_at_peers_divert_requests_unless_own_requests_succeed)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
    auto* first = chooser.choose(workers).worker;
    first->peerOutcomes["vm2"] = { 2, 2, now };
    first->peerOutcomes["vm3"] = { 1, 1, now };
    cr_assert_neq(chooser.choose(workers).worker, first);
    cr_assert_gt(expectedFailureRate(*first, now), 0.5);
    for (int i = 0; i < 12; i++)
        recordAnswer(*first, false, Time { 0 }, Time { 0 }, now);
    cr_assert_lt(expectedFailureRate(*first, now), 0.12, "own outcomes count more than those of peers");
    cr_assert_lt(expectedFailureRate(*first, now + 10 * estimateHalfLife), 0.02);
}

// Guards against all VMs sending requests to the same worker because outdated peer updates show it as the least loaded.
Test(choice, vms_with_old_peer_updates_do_not_all_choose_the_same_worker)
{
    // Each of 20 VMs chooses once before it receives updates of the others. One of eight workers has a lower load.
    auto maxChoicesOfOneWorker = [](Time peerUpdateAge) {
        Chooser chooser;
        std::map<std::string, int> choices;
        int maxChoices = 0;
        for (uint64_t vm = 0; vm < 20; vm++) {
            std::vector<Worker> workers;
            std::vector<Worker*> pointers;
            for (int i = 0; i < 8; i++)
                workers.push_back(makeWorker("w" + std::to_string(i)));
            for (auto& worker : workers) {
                worker.ownLoad.requests = worker.entry.id == "w3" ? 0 : 6;
                pointers.push_back(&worker);
            }
            auto prefixHashes = hashPrefixes(chooser.shape);
            ChoiceInputs inputs;
            inputs.service = &chooser.service;
            inputs.shape = &chooser.shape;
            inputs.prefixHashes = &prefixHashes;
            inputs.dataCentre = "dc";
            inputs.now = now;
            inputs.peerUpdateAge = peerUpdateAge;
            inputs.choiceSeed = hashText("vm", vm);
            maxChoices = std::max(maxChoices, ++choices[chooseWorker(pointers, inputs).worker->entry.id]);
        }
        return maxChoices;
    };
    cr_assert_eq(maxChoicesOfOneWorker(milliseconds { 200 }), 20, "with recent updates all VMs choose the worker with the lower load");
    cr_assert_leq(maxChoicesOfOneWorker(milliseconds { 600 }), 8);
}

// Guards against a directory that, in a burst that overloads single VMs, still returns their addresses, or returns only those of
// a few other VMs and thereby overloads these next.
Test(addresses, overloaded_vms_are_left_out_while_half_are_not)
{
    auto vm = [](uint16_t port, bool overloaded = false) { return AddressCandidate { { "10.0.0.1", port }, overloaded }; };
    auto ports = [](const std::vector<transport::Endpoint>& addresses) {
        std::set<int> portSet;
        for (const auto& address : addresses)
            portSet.insert(address.port);
        return portSet;
    };
    cr_assert(ports(chooseAddresses({ vm(1), vm(2, true), vm(3), vm(4) }, { vm(9) })) == std::set<int>({ 1, 3, 4 }));
    cr_assert(ports(chooseAddresses({ vm(1), vm(2, true), vm(3, true), vm(4, true) }, { vm(9) })) == std::set<int>({ 1, 2, 3, 4 }), "a single VM would be overloaded next");
    cr_assert(ports(chooseAddresses({ vm(1) }, { vm(8, true), vm(9) })) == std::set<int>({ 1, 9 }), "VMs of other data centres are added to a single VM");
    cr_assert(ports(chooseAddresses({}, { vm(8, true) })) == std::set<int>({ 8 }));
    cr_assert(chooseAddresses({}, {}).empty());
}

// `b` is preferred to `c` in another data centre. `d` does not hold the model.
Test(choice, backup_is_another_worker_with_the_model)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b"), makeWorker("c", "far"), makeWorker("d") };
    workers[3].entry.models.clear();
    std::vector<Worker*> pointers;
    for (auto& worker : workers)
        pointers.push_back(&worker);
    ChoiceInputs inputs;
    inputs.service = &chooser.service;
    inputs.shape = &chooser.shape;
    inputs.now = now;
    cr_assert_eq(chooseBackup(pointers, inputs, workers[0].entry)->entry.id, "b");
    workers[1].entry.draining = true;
    cr_assert_eq(chooseBackup(pointers, inputs, workers[0].entry)->entry.id, "c");
    workers[2].entry.draining = true;
    cr_assert_null(chooseBackup(pointers, inputs, workers[0].entry));
}

Test(choice, only_streams_with_short_prompt_and_long_output_are_backed_up)
{
    auto service = makeModelService();
    auto longPrompt = makePrompt(6000, 3000);
    cr_assert_not(isBackupWorthwhile(service, longPrompt));
    auto chat = makePrompt(200, 600);
    chat.outputTokens = 290;
    cr_assert(isBackupWorthwhile(service, chat));
    service.engine->supportsBackups = false;
    cr_assert_not(isBackupWorthwhile(service, chat));
}

Test(prefix_cache, evicts_least_recently_used_prefixes_above_capacity)
{
    // Each prefix has 10 tokens, and the capacity is 50.
    cr_assert(rc::check("the five most recently used prefixes are cached, all others evicted", [](const std::vector<uint8_t>& prefixHashes) {
        PrefixCache cache;
        for (auto prefixHash : prefixHashes)
            cache.add(prefixHash, 10, 50);
        std::set<uint8_t> newest;
        for (auto it = prefixHashes.rbegin(); it != prefixHashes.rend() && newest.size() < 5; ++it)
            newest.insert(*it);
        for (int prefixHash = 0; prefixHash < 256; prefixHash++)
            RC_ASSERT(cache.contains(prefixHash) == newest.contains(static_cast<uint8_t>(prefixHash)));
    }));
}

Test(prefix_cache, cached_prefix_ends_at_the_first_missing_part)
{
    auto shape = makePrompt(100, 50);
    auto prefixHashes = hashPrefixes(shape);
    PrefixCache cache;
    cache.add(prefixHashes[1], 50, 1000);
    cr_assert_eq(cachedTokens(cache, shape, prefixHashes), 0U);
    cache.add(prefixHashes[0], 100, 1000);
    cr_assert_eq(cachedTokens(cache, shape, prefixHashes), 150U);
    auto other = shape;
    other.adapter = "a1";
    cr_assert_eq(cachedTokens(cache, other, hashPrefixes(other)), 0U);
}

// Guards against VMs that each stay within their own budget but together retry more than the deployment allows.
Test(retries, retries_of_all_vms_stay_within_the_budget)
{
    cr_assert(rc::check("", [] {
        auto vmCount = *rc::gen::inRange<uint32_t>(1, 12);
        auto requests = *rc::gen::inRange(0, 400);
        std::vector<RetryBudget> budgets(vmCount, RetryBudget(0.2, 56, seconds { 10 }, Time { 0 }));
        int retries = 0;
        for (int i = 0; i < requests; i++)
            budgets[i % vmCount].recordRequest(now);
        for (int i = 0; i < 1000; i++)
            retries += budgets[i % vmCount].tryAcquire(now + milliseconds { i }, vmCount) ? 1 : 0;
        RC_ASSERT(retries <= 0.2 * requests + 56);
    }));
}

Test(retries, retries_expire_with_the_window)
{
    // The VM uses only `retryBudgetShare` of the slack of 2: one retry.
    RetryBudget budget(0, 2, seconds { 10 }, Time { 0 });
    cr_assert(budget.tryAcquire(now, 1));
    cr_assert_not(budget.tryAcquire(now + seconds { 9 }, 1));
    cr_assert(budget.tryAcquire(now + seconds { 11 }, 1));
}

namespace {

/// Entry VMs that retry as often as their budgets allow, while some of them restart or leave and lose sight of each other.
struct RetryingFleet {
    static constexpr auto window = seconds { 10 };
    static constexpr double ratio = 0.2;
    static constexpr double slack = 100;

    struct Vm {
        RetryBudget budget;
        Time membersReadAt { 0 }; ///< When the VM knows the members after a start.
        bool left = false;
    };

    explicit RetryingFleet(uint32_t count)
    {
        for (uint32_t i = 0; i < count; i++)
            this->vms.push_back({ RetryBudget(ratio, slack, window, Time { 0 }) });
    }

    /// Restarts a VM, which then reads the members after `delay`.
    void restart(Vm& vm, Time at, Time delay)
    {
        vm.budget = RetryBudget(ratio, slack, window, at + window);
        vm.membersReadAt = at + delay;
    }

    void step(Time at, bool sendRequests)
    {
        auto members = static_cast<uint32_t>(std::count_if(this->vms.begin(), this->vms.end(), [](const Vm& vm) { return !vm.left; }));
        for (auto& vm : this->vms) {
            if (vm.left)
                continue;
            if (sendRequests) {
                vm.budget.recordRequest(at);
                this->requests.push_back(at);
            }
            while (vm.budget.tryAcquire(at, at < vm.membersReadAt ? 0 : members))
                this->retries.push_back(at);
        }
    }

    /// Returns the number of `times` from `start` to the end of the window that begins there.
    static double countFrom(const std::vector<Time>& times, Time start)
    {
        return static_cast<double>(std::count_if(times.begin(), times.end(), [start](Time at) { return at >= start && at <= start + window; }));
    }

    /// Returns true if no window has more retries than the deployment allows: the requests are those of the window, of the one
    /// before or of the one half a window earlier, whichever has most.
    bool isWithinBudget() const
    {
        return std::all_of(this->retries.begin(), this->retries.end(), [this](Time start) {
            auto most = std::max({ countFrom(this->requests, start), countFrom(this->requests, start - window), countFrom(this->requests, start - window / 2) });
            return countFrom(this->retries, start) <= ratio * most + slack;
        });
    }

    std::vector<Vm> vms;
    std::vector<Time> requests;
    std::vector<Time> retries;
};

} // namespace

// When all VMs lose power each comes back without its record of earlier retries, and knows no other VM at first. If each then took
// the slack once more, or the whole of it, together they would retry more than the deployment allows.
Test(retries, any_window_stays_within_the_budget_while_vms_restart_and_leave)
{
    cr_assert(rc::check("", [] {
        RetryingFleet fleet(*rc::gen::inRange<uint32_t>(1, 40));
        auto eventTime = milliseconds { *rc::gen::inRange(11000, 25000) };
        auto affected = *rc::gen::inRange<size_t>(0, fleet.vms.size() + 1);
        bool leave = *rc::gen::arbitrary<bool>();
        auto delay = milliseconds { *rc::gen::inRange(0, 15000) };
        auto requestsUntil = milliseconds { *rc::gen::inRange(0, 40000) };
        for (milliseconds at { 0 }; at < seconds { 40 }; at += milliseconds { 500 }) {
            if (at <= eventTime && eventTime < at + milliseconds { 500 }) {
                for (size_t i = 0; i < affected; i++) {
                    if (leave)
                        fleet.vms[i].left = true;
                    else
                        fleet.restart(fleet.vms[i], now + at, delay);
                }
            }
            fleet.step(now + at, at < requestsUntil);
        }
        RC_ASSERT(fleet.isWithinBudget());
    }));
}

Test(retries, a_restarted_vm_uses_no_slack_for_a_window_and_none_while_the_members_are_unknown)
{
    RetryBudget budget(0, 20, seconds { 10 }, now + seconds { 10 });
    cr_assert_not(budget.tryAcquire(now + seconds { 9 }, 2));
    cr_assert(budget.tryAcquire(now + seconds { 11 }, 2));
    cr_assert_not(budget.tryAcquire(now + seconds { 11 }, 0));
}

Test(admission, request_that_cannot_be_served_in_time_is_refused)
{
    Choice choice;
    ModelSpec model;
    model.diskLoadTime = milliseconds { 400 };
    constexpr Time timeout = seconds { 2 };
    choice.blockReason = BlockReason::NoWorker;
    cr_assert_not(decideWait(choice, nullptr, Time { 0 }, timeout).admitted);
    choice.blockReason = BlockReason::NoModel;
    cr_assert_not(decideWait(choice, nullptr, Time { 0 }, timeout).admitted, "the service has no such model");
    cr_assert(decideWait(choice, &model, Time { 0 }, timeout).admitted);
    model.diskLoadTime = seconds { 3 };
    cr_assert_not(decideWait(choice, &model, Time { 0 }, timeout).admitted);
    choice.blockReason = BlockReason::NoCapacity;
    choice.timeToCapacity = seconds { 5 };
    auto refused = decideWait(choice, nullptr, Time { 0 }, timeout);
    cr_assert_not(refused.admitted);
    cr_assert_eq(refused.retryAfter, maxRetryAfter);
    choice.timeToFirstByte = seconds { 3 };
    cr_assert_not(decideSend(choice, timeout).admitted);
    cr_assert(decideSend(choice, seconds { 4 }).admitted);
}

// Waiting for the share of a limit would only add to the load that made the worker name it.
Test(admission, request_beyond_the_limits_of_workers_is_refused_at_once_with_the_time_to_the_next_share)
{
    Choice choice;
    choice.blockReason = BlockReason::Limited;
    choice.timeToCapacity = milliseconds { 3500 };
    auto refused = decideWait(choice, nullptr, Time { 0 }, seconds { 15 });
    cr_assert_not(refused.admitted);
    cr_assert_eq(refused.retryAfter, milliseconds { 3500 });
}

// Guards against a planned stop that sends requests to workers so late that its end cuts them off.
Test(drain, request_that_can_not_end_within_the_grace_is_not_sent)
{
    cr_assert(rc::check("no request is sent from refuseAt on, or if it is not expected to end before endAt", [] {
        milliseconds grace { *rc::gen::inRange(200, 60000) };
        auto schedule = planDrain(now, grace);
        RC_ASSERT(now < schedule.refuseAt && schedule.refuseAt <= schedule.closeAt && schedule.closeAt <= schedule.endAt && schedule.endAt <= schedule.exitAt && schedule.exitAt < now + grace);
        RC_ASSERT(schedule.refuseAt <= now + drainServeTime);
        // A worker that is still at work at the end must be in the last sixth of the grace.
        RC_ASSERT(schedule.endAt >= now + grace * 5 / 6);
        Time expected = milliseconds { *rc::gen::inRange(0, 20000) };
        Time remaining = milliseconds { *rc::gen::inRange(0, 20000) };
        Time at = now + milliseconds { *rc::gen::inRange(0, 60000) };
        bool sent = maySendWhileDraining(schedule, expected, remaining, at);
        RC_ASSERT(!sent || at < schedule.refuseAt);
        RC_ASSERT(!sent || at + std::min(expected, remaining) <= schedule.endAt);
        RC_ASSERT(sent || at >= schedule.refuseAt || at + 2 * expected > schedule.endAt);
    }));
}

Test(drain, serve_time_ends_after_three_seconds_to_the_nanosecond)
{
    auto schedule = planDrain(now, seconds { 8 });
    cr_assert(maySendWhileDraining(schedule, milliseconds { 100 }, seconds { 15 }, now + drainServeTime - Time { 1 }));
    cr_assert_not(maySendWhileDraining(schedule, milliseconds { 100 }, seconds { 15 }, now + drainServeTime));
    // The caller's own limit ends the request in time.
    cr_assert(maySendWhileDraining(schedule, seconds { 10 }, seconds { 4 }, now + seconds { 2 }));
    cr_assert_not(maySendWhileDraining(schedule, seconds { 10 }, seconds { 6 }, now + seconds { 2 }));
}

Test(drain, expected_time_of_a_stream_follows_the_measured_ones)
{
    StreamPace pace;
    cr_assert_eq(pace.expectedTime(100), Time { 0 }, "nothing is known yet");
    pace.record(0, seconds { 100 });
    cr_assert_eq(pace.expectedTime(100), Time { 0 }, "without expected tokens a stream tells nothing");
    pace.record(100, seconds { 1 });
    cr_assert_eq(pace.expectedTime(200), seconds { 2 });
    for (int i = 0; i < 100; i++)
        pace.record(50, seconds { 2 });
    auto expected = std::chrono::duration_cast<milliseconds>(pace.expectedTime(100));
    cr_assert(expected > milliseconds { 3900 } && expected <= milliseconds { 4000 }, "%ld ms", expected.count());
}

Test(admission, wait_ends_before_the_callers_timeout)
{
    cr_assert(rc::check("a wait ends within its share of the timeout, and a refusal carries a Retry-After within its bounds", [] {
        Choice choice;
        choice.blockReason = static_cast<BlockReason>(*rc::gen::inRange(1, static_cast<int>(BlockReason::Count)));
        choice.timeToCapacity = milliseconds { *rc::gen::inRange(0, 5000) };
        ModelSpec model;
        model.diskLoadTime = milliseconds { *rc::gen::inRange(0, 5000) };
        Time timeout = milliseconds { *rc::gen::inRange(100, 15000) };
        Time waited = milliseconds { *rc::gen::inRange(0, 20000) };
        auto decision = decideWait(choice, &model, waited, timeout);
        if (decision.admitted)
            RC_ASSERT(waited < timeout * maxWaitShare);
        else if (choice.blockReason == BlockReason::Limited || choice.blockReason == BlockReason::Held)
            RC_ASSERT(decision.retryAfter == std::max(minRetryAfter, std::chrono::ceil<milliseconds>(choice.timeToCapacity)));
        else
            RC_ASSERT((decision.retryAfter >= minRetryAfter && decision.retryAfter <= maxRetryAfter));
    }));
}

// A stream must neither leave a worker that may only be pausing, nor stay at a dead one until its caller leaves.
Test(silence, stream_leaves_its_worker_by_evidence_and_before_its_caller_leaves)
{
    cr_assert(rc::check("the time without an event before a stream leaves its worker", [] {
        auto evidence = static_cast<RunEvidence>(*rc::gen::inRange(0, static_cast<int>(RunEvidence::Count)));
        Time patience = milliseconds { *rc::gen::inRange(2000, 20000) };
        RC_ASSERT(silenceBeforeResume(evidence, patience).has_value() == (evidence != RunEvidence::Running));
        auto silence = silenceBeforeResume(evidence, patience).value_or(std::chrono::seconds { 1 });
        bool gone = evidence == RunEvidence::Ended || evidence == RunEvidence::Unreachable;
        RC_ASSERT(silence < patience);
        bool expected = gone ? silence == Time { 0 } : silence >= std::chrono::seconds { 1 };
        RC_ASSERT(expected);
    }));
}
