/// Tests of what counts as a worker's statement that it leaves, and of how the VMs remember it and tell each other.
#include <criterion/criterion.h>
#include <random>
#include <rapidcheck.h>
#include <routing/routing.h>

using namespace comfreypier;
using namespace comfreypier::routing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr Time now = seconds { 100 };

WorkerEntry makeEntry(const std::string& id, int64_t startedAt)
{
    WorkerEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.startedAt = startedAt;
    return entry;
}

} // namespace

// Guards against a sound worker that is left out because of an answer of another worker or to another request.
Test(leaving_workers, only_answers_of_the_called_worker_are_its_statements)
{
    struct Case {
        const char* name;
        AnswerSource answer;
        bool counts;
    };
    // Status, whether it matches the request, worker and start that it names, whether a signature is due and there.
    const std::vector<Case> cases {
        { "signed answer", { 200, true, "", std::nullopt, true, true }, true },
        { "signed answer that names the worker", { 200, true, "i-1", 5, true, true }, true },
        { "unsigned answer", { 200, true, "", std::nullopt, true, false }, false },
        { "refusal", { 503, true, "", std::nullopt, false, false }, true },
        { "error", { 500, true, "", std::nullopt, false, true }, true },
        { "answer to another request", { 200, false, "", std::nullopt, true, true }, false },
        { "refusal of another request", { 503, false, "", std::nullopt, false, false }, false },
        { "rejection without a name", { 421, true, "", std::nullopt, false, false }, false },
        { "rejection by another worker", { 421, true, "i-2", std::nullopt, false, false }, false },
        { "rejection by the worker itself", { 421, true, "i-1", std::nullopt, false, false }, true },
        { "report of another worker", { 200, true, "i-2", std::nullopt, false, false }, false },
        { "report of another start", { 200, true, "", 6, false, false }, true },
        { "report of another start of another worker", { 200, true, "i-2", 6, false, false }, false },
        { "report of this start", { 200, true, "", 5, false, false }, true },
    };
    for (const auto& item : cases)
        cr_assert_eq(isStatementOf(item.answer, makeEntry("i-1", 5)), item.counts, "%s", item.name);
    // What another worker says at the address counts for that one.
    cr_assert_eq(statementSender({ 421, true, "i-2", std::nullopt, false, false }, makeEntry("i-1", 5)).value_or(""), "i-2");
    cr_assert_not(statementSender({ 421, true, "", std::nullopt, false, false }, makeEntry("i-1", 5)).has_value());
}

// Guards against new work on a leaving worker, and against requests that wait although no worker will come.
Test(leaving_workers, leaving_workers_are_neither_chosen_nor_waited_for)
{
    Service service;
    service.name = "s";
    service.engine = EngineSpec { .slots = 8, .kvCacheTokens = 1000, .supportsBackups = true };
    RequestShape shape;
    shape.model = "m";
    auto prefixHashes = hashPrefixes(shape);
    std::vector<Worker> workers(2);
    for (auto& worker : workers)
        worker.entry.models = { { "m", 1, {} } };
    workers[0].entry.id = "a";
    workers[1].entry.id = "b";
    workers[0].entry.service = workers[1].entry.service = "s";
    ChoiceInputs inputs { .service = &service, .shape = &shape, .prefixHashes = &prefixHashes, .now = now };
    workers[0].leaving = true;
    cr_assert_eq(chooseWorker({ &workers[0], &workers[1] }, inputs).worker, &workers[1]);
    cr_assert_null(chooseBackup({ &workers[0], &workers[1] }, inputs, workers[1].entry));
    workers[1].leaving = true;
    auto choice = chooseWorker({ &workers[0], &workers[1] }, inputs);
    cr_assert_null(choice.worker);
    cr_assert_eq(choice.blockReason, BlockReason::NoWorker);
    cr_assert_not(decideWait(choice, nullptr, Time { 0 }, seconds { 6 }).admitted);
}

// Guards against a worker that is back under the same id and counts as leaving, and against a leave that is forgotten too early.
Test(leaving_workers, leave_lasts_as_long_as_the_start_of_its_worker)
{
    auto first = workerStart(makeEntry("i-1", 5));
    auto second = workerStart(makeEntry("i-1", 6));
    LeavingWorkers leaving;
    cr_assert(leaving.record(first, now));
    cr_assert_not(leaving.record(first, now), "no news");
    cr_assert(leaving.isLeaving(first));
    cr_assert_not(leaving.isLeaving(second));
    for (Time at = now; at < now + minutes { 60 }; at += seconds { 10 })
        cr_assert_eq(leaving.takeReports({ first }, at).size(), 1U);
    cr_assert(leaving.isLeaving(first));
    auto gone = now + minutes { 60 };
    cr_assert(leaving.takeReports({ second }, gone).empty(), "other VMs are not told of the past");
    cr_assert(leaving.isLeaving(first), "its entry may come back");
    leaving.takeReports({ second }, gone + leaveMemoryTime + seconds { 1 });
    cr_assert(leaving.isEmpty());
}

// Guards against a statement that is kept under a start that did not make it: a report tells its own start, whatever entry is known.
Test(leaving_workers, named_start_of_a_statement_counts)
{
    auto called = makeEntry("i-1", 5);
    LeavingWorkers later;
    cr_assert(later.recordAnswer(called, 6, &called, now));
    cr_assert(later.isLeaving(workerStart(makeEntry("i-1", 6))));
    cr_assert(later.isLeaving(workerStart(called)), "the process of the entry has ended");
    LeavingWorkers earlier;
    auto known = makeEntry("i-1", 7);
    cr_assert(earlier.recordAnswer(called, 5, &known, now));
    cr_assert_not(earlier.isLeaving(workerStart(known)), "a late report of an earlier start");
    LeavingWorkers unknown;
    cr_assert(unknown.recordAnswer(called, std::nullopt, nullptr, now));
    cr_assert(unknown.isLeaving(workerStart(called)), "its entry may come back");
}

// Guards against requests to a worker whose statement is kept under an earlier start, and against one that is left out after it has started again.
Test(leaving_workers, start_after_one_that_leaves_is_left_out_until_it_was_asked)
{
    auto first = makeEntry("i-1", 5);
    auto second = makeEntry("i-1", 6);
    auto third = makeEntry("i-1", 7);
    LeavingWorkers leaving;
    leaving.recordAnswer(first, std::nullopt, &first, now);
    leaving.recordRestart(first, second);
    cr_assert(leaving.isInDoubt(workerStart(second)));
    cr_assert(leaving.isLeaving(workerStart(second)));
    leaving.recordRestart(second, third);
    cr_assert(leaving.isInDoubt(workerStart(third)), "no one was asked");
    leaving.settle(workerStart(third));
    cr_assert_not(leaving.isLeaving(workerStart(third)));
    cr_assert_not(leaving.record(workerStart(first), now));
    cr_assert_not(leaving.isLeaving(workerStart(third)), "known news opens no doubt");
    // The news of the earlier start comes after the entry of the later one.
    LeavingWorkers heard;
    heard.recordRestart(first, second);
    cr_assert_not(heard.isLeaving(workerStart(second)));
    heard.record(workerStart(first), now);
    cr_assert(heard.isInDoubt(workerStart(second)));
    cr_assert(heard.takeReports({ workerStart(second) }, now).empty(), "a doubt is no news");
    heard.takeReports({}, now);
    cr_assert_not(heard.isInDoubt(workerStart(second)), "its entry is gone");
    // The entry changes while the worker is called.
    LeavingWorkers during;
    during.recordRestart(first, second);
    during.settle(workerStart(second));
    cr_assert(during.recordAnswer(first, std::nullopt, &second, now));
    cr_assert(during.isInDoubt(workerStart(second)));
}

// Guards against leaves that no heartbeat names because there are many.
Test(leaving_workers, heartbeats_name_all_in_turn)
{
    LeavingWorkers leaving;
    std::set<uint64_t> starts;
    for (uint64_t worker = 1; worker <= 2 * maxLeaveReports + 5; worker++) {
        leaving.record(worker, now);
        starts.insert(worker);
    }
    std::set<uint64_t> named;
    for (int i = 0; i < 3; i++) {
        auto reports = leaving.takeReports(starts, now);
        cr_assert_leq(reports.size(), maxLeaveReports);
        named.insert(reports.begin(), reports.end());
    }
    cr_assert(named == starts);
}

// Guards against VMs that never learn of a leave, and against VMs that tell each other of it for ever.
Test(leaving_workers, all_vms_learn_of_a_leave_and_forget_it_whatever_news_is_lost)
{
    cr_assert(rc::check("leaves spread and die out", [](uint32_t seed) {
        std::mt19937 random(seed);
        auto isLost = [&random] { return random() % 3 == 0; };
        std::vector<LeavingWorkers> vms(2 + random() % 6);
        uint64_t worker = 1 + random() % 1000;
        Time at = now;
        vms[random() % vms.size()].record(worker, at);
        auto exchange = [&](const std::set<uint64_t>& known) {
            at += milliseconds { 200 };
            for (auto& sender : vms) {
                auto reports = sender.takeReports(known, at);
                for (auto& receiver : vms) {
                    if (isLost())
                        continue;
                    for (auto report : reports)
                        receiver.record(report, at);
                }
            }
        };
        for (int i = 0; i < 25; i++) {
            exchange({ worker });
            // A VM starts anew and knows nothing.
            if (i < 10 && random() % 4 == 0 && std::count_if(vms.begin(), vms.end(), [&](const auto& vm) { return vm.isLeaving(worker); }) > 1)
                vms[random() % vms.size()] = {};
        }
        for (const auto& vm : vms)
            RC_ASSERT(vm.isLeaving(worker));
        at += leaveMemoryTime;
        exchange({});
        exchange({});
        for (const auto& vm : vms)
            RC_ASSERT(vm.isEmpty());
    }));
}
