/// Routes, choice of workers, repeats and suspects.
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <routing/routing.h>

using namespace comfreypier;
using namespace comfreypier::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time now = seconds { 100 };

Configuration twoRoutes()
{
    Configuration configuration;
    Route wide { "wide", "h.example", "/a/", { { "s", 1 } } };
    Route narrow { "narrow", "h.example", "/a/b/", { { "t", 1 } } };
    configuration.routes = { wide, narrow };
    configuration.services["s"].name = "s";
    configuration.services["t"].name = "t";
    return configuration;
}

Service engineService()
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

Worker makeWorker(const std::string& id, const std::string& dataCentre = "dc")
{
    Worker worker;
    worker.entry.id = id;
    worker.entry.service = "s";
    worker.entry.dataCentre = dataCentre;
    worker.entry.models = { { "m", 1, {} } };
    return worker;
}

RequestShape promptOf(uint32_t shared, uint32_t own)
{
    RequestShape shape;
    shape.model = "m";
    shape.parts = { { 1, shared }, { 2, own } };
    shape.promptTokens = shared + own;
    shape.outputTokens = 50;
    return shape;
}

/// Chooses among the workers with everything else at its default.
struct Chooser {
    Service service = engineService();
    RequestShape shape = promptOf(6000, 3000);
    std::set<std::string> excluded;
    Choice choose(std::vector<Worker>& workers, Time at = now)
    {
        this->chains = hashPrefixes(this->shape);
        std::vector<Worker*> pointers;
        for (auto& worker : workers)
            pointers.push_back(&worker);
        ChoiceInputs inputs;
        inputs.service = &this->service;
        inputs.shape = &this->shape;
        inputs.prefixHashes = &this->chains;
        inputs.dataCentre = "dc";
        inputs.excluded = &this->excluded;
        inputs.targetLatency = milliseconds { 800 };
        inputs.crossDataCentreRoundTrip = milliseconds { 3 };
        inputs.now = at;
        return chooseWorker(pointers, inputs);
    }
    std::vector<uint64_t> chains;
};

} // namespace

Test(routes, longest_prefix_of_the_host_wins)
{
    auto configuration = twoRoutes();
    cr_assert_eq(findRoute(configuration, "h.example", "/a/b/c")->name, "narrow");
    cr_assert_eq(findRoute(configuration, "H.EXAMPLE:80", "/a/x")->name, "wide");
    cr_assert_null(findRoute(configuration, "other.example", "/a/x"));
    cr_assert_null(findRoute(configuration, "h.example", "/ab"));
}

Test(routes, split_follows_its_weights)
{
    cr_assert(rc::check("shares are within 6 in 100 of the weights", [](uint32_t seed) {
        auto configuration = twoRoutes();
        configuration.routes[0].targets = { { "s", 80 }, { "t", 20 } };
        int toS = 0;
        constexpr int tries = 2000;
        for (int i = 0; i < tries; i++)
            toS += pickService(configuration, configuration.routes[0], std::to_string(seed) + "-" + std::to_string(i))->name == "s" ? 1 : 0;
        RC_ASSERT(toS > tries * 74 / 100);
        RC_ASSERT(toS < tries * 86 / 100);
    }));
}

Test(routes, a_route_without_weight_leads_nowhere)
{
    auto configuration = twoRoutes();
    configuration.routes[0].targets = { { "s", 0 } };
    cr_assert_null(pickService(configuration, configuration.routes[0], "k"));
}

Test(choice, kept_prompt_beats_a_little_queue)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
    auto chains = hashPrefixes(chooser.shape);
    workers[1].prefixCache.add(chains[0], 6000, 100000);
    workers[1].ownLoad.prefillTokens = 2000;
    workers[1].ownLoad.requests = 1;
    auto choice = chooser.choose(workers);
    cr_assert_eq(choice.worker->entry.id, "b");
    cr_assert_eq(choice.cachedTokens, 6000U);
}

Test(choice, a_long_queue_beats_a_kept_prompt)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b") };
    workers[1].prefixCache.add(hashPrefixes(chooser.shape)[0], 6000, 100000);
    workers[1].peerLoads["other"] = { 40000, 40000, 4 };
    cr_assert_eq(chooser.choose(workers).worker->entry.id, "a");
}

Test(choice, never_a_leaving_excluded_stalled_or_avoided_worker)
{
    cr_assert(rc::check("", [](bool leaving, bool excluded, bool avoided, bool stalled) {
        Chooser chooser;
        std::vector<Worker> workers { makeWorker("a") };
        workers[0].entry.draining = leaving;
        workers[0].avoidUntil = avoided ? now + seconds { 1 } : Time { 0 };
        workers[0].runningStreams = stalled ? 1 : 0;
        workers[0].lastByteAt = now - 2 * stallTimeout;
        if (excluded)
            chooser.excluded.insert("a");
        auto choice = chooser.choose(workers);
        bool usable = !leaving && !excluded && !avoided && !stalled;
        RC_ASSERT((choice.worker != nullptr) == usable);
        if (leaving)
            RC_ASSERT(choice.blockReason == BlockReason::NoWorker);
    }));
}

Test(choice, memory_of_a_worker_is_not_overfilled)
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

Test(choice, missing_model_and_adapter_are_told_apart)
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

Test(choice, a_missing_adapter_goes_where_it_can_be_loaded_now)
{
    Chooser chooser;
    chooser.shape.adapter = "a1";
    std::vector<Worker> workers { makeWorker("a"), makeWorker("b"), makeWorker("c") };
    workers[0].announced = { orderInProgressMark };
    workers[1].announced = { "m/x", "m/y" };
    cr_assert_eq(chooser.choose(workers).home->entry.id, "c");
}

Test(choice, a_model_on_its_way_out_is_not_used)
{
    Chooser chooser;
    std::vector<Worker> workers { makeWorker("a") };
    workers[0].announced = { "!m" };
    cr_assert_eq(chooser.choose(workers).blockReason, BlockReason::NoModel);
}

Test(choice, failures_and_slowness_turn_requests_away_and_fade)
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

Test(choice, what_other_vms_saw_fail_is_left_unless_this_vm_is_served)
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
    cr_assert_lt(expectedFailureRate(*first, now), 0.12, "own answers count more");
    cr_assert_lt(expectedFailureRate(*first, now + 10 * estimateHalfLife), 0.02);
}

Test(choice, many_vms_with_old_news_do_not_all_take_the_same_worker)
{
    // Each of 20 VMs chooses once before it hears of the others, on eight workers of which one is a little better.
    auto mostOnOne = [](Time newsAge) {
        Chooser chooser;
        std::map<std::string, int> taken;
        int most = 0;
        for (uint64_t vm = 0; vm < 20; vm++) {
            std::vector<Worker> workers;
            std::vector<Worker*> pointers;
            for (int i = 0; i < 8; i++)
                workers.push_back(makeWorker("w" + std::to_string(i)));
            for (auto& worker : workers) {
                worker.ownLoad.requests = worker.entry.id == "w3" ? 0 : 6;
                pointers.push_back(&worker);
            }
            auto chains = hashPrefixes(chooser.shape);
            ChoiceInputs inputs;
            inputs.service = &chooser.service;
            inputs.shape = &chooser.shape;
            inputs.prefixHashes = &chains;
            inputs.dataCentre = "dc";
            inputs.now = now;
            inputs.peerUpdateAge = newsAge;
            inputs.requestSeed = hashText("vm", vm);
            most = std::max(most, ++taken[chooseWorker(pointers, inputs).worker->entry.id]);
        }
        return most;
    };
    cr_assert_eq(mostOnOne(milliseconds { 200 }), 20, "with fresh news the better one is right for all");
    cr_assert_leq(mostOnOne(milliseconds { 600 }), 8);
}

// A burst brings single VMs to their limit.
Test(addresses, strained_vms_are_left_out_while_half_keep_up)
{
    auto vm = [](uint16_t port, bool strained = false) { return AddressCandidate { { "10.0.0.1", port }, strained }; };
    auto ports = [](const std::vector<transport::Endpoint>& addresses) {
        std::set<int> found;
        for (const auto& address : addresses)
            found.insert(address.port);
        return found;
    };
    cr_assert(ports(chooseAddresses({ vm(1), vm(2, true), vm(3), vm(4) }, { vm(9) })) == std::set<int>({ 1, 3, 4 }));
    cr_assert(ports(chooseAddresses({ vm(1), vm(2, true), vm(3, true), vm(4, true) }, { vm(9) })) == std::set<int>({ 1, 2, 3, 4 }), "one alone would be the next to fall behind");
    cr_assert(ports(chooseAddresses({ vm(1) }, { vm(8, true), vm(9) })) == std::set<int>({ 1, 9 }), "a single VM gets help from other data centres");
    cr_assert(ports(chooseAddresses({}, { vm(8, true) })) == std::set<int>({ 8 }));
    cr_assert(chooseAddresses({}, {}).empty());
}

Test(choice, a_backup_is_another_worker_with_the_model)
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

Test(choice, only_long_streams_are_backed_up)
{
    auto service = engineService();
    auto longPrompt = promptOf(6000, 3000);
    cr_assert_not(isBackupWorthwhile(service, longPrompt));
    auto chat = promptOf(200, 600);
    chat.outputTokens = 290;
    cr_assert(isBackupWorthwhile(service, chat));
    service.engine->supportsBackups = false;
    cr_assert_not(isBackupWorthwhile(service, chat));
}

Test(prompt_cache, keeps_no_more_than_its_capacity)
{
    cr_assert(rc::check("the newest parts stay, the oldest go", [](const std::vector<uint8_t>& chains) {
        PrefixCache cache;
        for (auto chain : chains)
            cache.add(chain, 10, 50);
        std::set<uint8_t> newest;
        for (auto it = chains.rbegin(); it != chains.rend() && newest.size() < 5; ++it)
            newest.insert(*it);
        for (int chain = 0; chain < 256; chain++)
            RC_ASSERT(cache.contains(chain) == newest.contains(static_cast<uint8_t>(chain)));
    }));
}

Test(prompt_cache, a_part_counts_only_if_all_before_it_are_kept)
{
    auto shape = promptOf(100, 50);
    auto chains = hashPrefixes(shape);
    PrefixCache cache;
    cache.add(chains[1], 50, 1000);
    cr_assert_eq(cachedTokens(cache, shape, chains), 0U);
    cache.add(chains[0], 100, 1000);
    cr_assert_eq(cachedTokens(cache, shape, chains), 150U);
    auto other = shape;
    other.adapter = "a1";
    cr_assert_eq(cachedTokens(cache, other, hashPrefixes(other)), 0U);
}

Test(repeats, all_vms_together_stay_below_the_limit)
{
    cr_assert(rc::check("", [] {
        auto vms = *rc::gen::inRange<uint32_t>(1, 12);
        auto requests = *rc::gen::inRange(0, 400);
        std::vector<RetryBudget> limits(vms, RetryBudget(0.2, 56, seconds { 10 }));
        int taken = 0;
        for (int i = 0; i < requests; i++)
            limits[i % vms].recordRequest(now);
        for (int i = 0; i < 1000; i++)
            taken += limits[i % vms].tryAcquire(now + milliseconds { i }, vms) ? 1 : 0;
        RC_ASSERT(taken <= 0.2 * requests + 56);
    }));
}

Test(repeats, the_window_slides)
{
    RetryBudget limit(0, 2, seconds { 10 });
    cr_assert(limit.tryAcquire(now, 1));
    cr_assert_not(limit.tryAcquire(now + seconds { 9 }, 1));
    cr_assert(limit.tryAcquire(now + seconds { 11 }, 1));
}

Test(suspects, a_content_is_refused_after_two_crashes)
{
    PoisonRequests suspects;
    suspects.recordBroken("w", 7, now);
    cr_assert_not(suspects.isPoison(7));
    suspects.recordCrash("w", now + milliseconds { 500 });
    suspects.recordCrash("w", now + milliseconds { 600 });
    cr_assert_not(suspects.isPoison(7), "one crash counts once");
    suspects.recordBroken("v", 7, now + seconds { 1 });
    suspects.recordCrash("v", now + seconds { 2 });
    cr_assert(suspects.isPoison(7));
    cr_assert_not(suspects.isPoison(8));
}

Test(suspects, a_lost_answer_alone_is_no_crash)
{
    PoisonRequests suspects;
    for (int i = 0; i < 10; i++)
        suspects.recordBroken("w", 7, now);
    cr_assert_not(suspects.isPoison(7));
    suspects.recordCrash("w", now + seconds { 60 });
    cr_assert_not(suspects.isPoison(7), "the worker died much later");
}

Test(waiting, what_cannot_be_served_in_time_is_refused_at_once)
{
    Choice choice;
    ModelSpec model;
    model.diskLoadTime = milliseconds { 400 };
    constexpr Time patience = seconds { 2 };
    choice.blockReason = BlockReason::NoWorker;
    cr_assert_not(decideWait(choice, nullptr, Time { 0 }, patience).admitted);
    choice.blockReason = BlockReason::NoModel;
    cr_assert_not(decideWait(choice, nullptr, Time { 0 }, patience).admitted, "a model that is not declared");
    cr_assert(decideWait(choice, &model, Time { 0 }, patience).admitted);
    model.diskLoadTime = seconds { 3 };
    cr_assert_not(decideWait(choice, &model, Time { 0 }, patience).admitted);
    choice.blockReason = BlockReason::NoCapacity;
    choice.timeToCapacity = seconds { 5 };
    auto refused = decideWait(choice, nullptr, Time { 0 }, patience);
    cr_assert_not(refused.admitted);
    cr_assert_eq(refused.retryAfter, maxRetryAfter);
    choice.timeToFirstByte = seconds { 3 };
    cr_assert_not(decideSend(choice, patience).admitted);
    cr_assert(decideSend(choice, seconds { 4 }).admitted);
}

Test(waiting, nobody_is_held_until_the_end_of_its_time)
{
    cr_assert(rc::check("a wait ends before its share of the patience, and a refusal says when to come back", [] {
        Choice choice;
        choice.blockReason = static_cast<BlockReason>(*rc::gen::inRange(1, static_cast<int>(BlockReason::Count)));
        choice.timeToCapacity = milliseconds { *rc::gen::inRange(0, 5000) };
        ModelSpec model;
        model.diskLoadTime = milliseconds { *rc::gen::inRange(0, 5000) };
        Time patience = milliseconds { *rc::gen::inRange(100, 15000) };
        Time waited = milliseconds { *rc::gen::inRange(0, 20000) };
        auto decision = decideWait(choice, &model, waited, patience);
        if (decision.admitted)
            RC_ASSERT(waited < patience * maxWaitShare);
        else
            RC_ASSERT(decision.retryAfter >= minRetryAfter && decision.retryAfter <= maxRetryAfter);
    }));
}
