/// Tests of the decision whether a worker may be sent a request now, and of what callers are told when none may.
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <routing/routing.h>

using namespace comfreypier;
using namespace comfreypier::routing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr Time now = seconds { 100 };

/// Three workers of a service that hold the model `m`, and a request for it.
struct Workers {
    Workers()
    {
        this->service.name = "s";
        this->service.engine = EngineSpec { .slots = 8, .kvCacheTokens = 1000, .adapterSlots = 2, .supportsBackups = true };
        this->shape.model = "m";
        for (size_t i = 0; i < this->list.size(); i++) {
            this->list[i].entry.id = std::string(1, static_cast<char>('a' + i));
            this->list[i].entry.service = "s";
            this->list[i].entry.models = { { "m", 1, {} } };
        }
    }
    Choice choose(Time at = now)
    {
        this->prefixHashes = hashPrefixes(this->shape);
        ChoiceInputs inputs { .service = &this->service, .shape = &this->shape, .prefixHashes = &this->prefixHashes, .now = at };
        return chooseWorker({ &this->list[0], &this->list[1], &this->list[2] }, inputs);
    }
    Service service;
    RequestShape shape;
    std::array<Worker, 3> list;
    std::vector<uint64_t> prefixHashes;
};

} // namespace

// Guards against a request to a worker that wants none, for whatever reason, and against a reason that hides a longer one.
Test(worker_holds, block_that_ends_last_is_the_reason)
{
    Worker worker;
    cr_assert_eq(checkWorker(worker, now).block, WorkerBlock::None);
    recordFull(worker, now);
    cr_assert_eq(checkWorker(worker, now).block, WorkerBlock::Full);
    recordHold(worker, seconds { 2 }, now);
    auto held = checkWorker(worker, now);
    cr_assert_eq(held.block, WorkerBlock::Held);
    cr_assert_eq(held.until, now + seconds { 2 });
    worker.limitedUntil = now + seconds { 3 };
    cr_assert_eq(checkWorker(worker, now).block, WorkerBlock::Limited);
    cr_assert_eq(checkWorker(worker, now + seconds { 3 }).block, WorkerBlock::None);
    recordUnreachable(worker, now + seconds { 3 });
    cr_assert_eq(checkWorker(worker, now + seconds { 3 }).block, WorkerBlock::Unreachable);
    worker.runningStreams = 1;
    worker.lastByteAt = now;
    cr_assert_eq(checkWorker(worker, now + seconds { 3 }).block, WorkerBlock::Stalled);
    worker.leaving = true;
    cr_assert_eq(checkWorker(worker, now + seconds { 3 }).block, WorkerBlock::Leaving);
}

// Guards against a request that is written because its worker was chosen before it said something, and against one that is held back for a backoff.
Test(worker_holds, only_what_a_worker_has_said_counts_before_a_request_is_written)
{
    Worker worker;
    recordUnreachable(worker, now);
    worker.limitedUntil = now + seconds { 1 }; // Its own share of the limit is used up by the request itself.
    cr_assert(wantsRequests(worker, now));
    recordHold(worker, seconds { 1 }, now);
    cr_assert_not(wantsRequests(worker, now));
    cr_assert(wantsRequests(worker, now + seconds { 1 }));
    worker.leaving = true;
    cr_assert_not(wantsRequests(worker, now + seconds { 1 }));
    worker.leaving = false;
    worker.entry.draining = true;
    cr_assert_not(wantsRequests(worker, now + seconds { 1 }));
}

// Guards against a time that is forgotten with the entry of an earlier start, and against one that binds a process which has not named it.
Test(worker_holds, processes_that_had_started_by_then_may_have_named_a_time)
{
    WorkerEntry entry;
    entry.startedAt = 5000;
    cr_assert(mayHaveSaid(entry, milliseconds { 5000 }));
    cr_assert(mayHaveSaid(entry, milliseconds { 6000 }));
    cr_assert_not(mayHaveSaid(entry, milliseconds { 4999 }));
}

// Guards against a time that is cut short by a later refusal, and against one that shuts a worker out for ever.
Test(worker_holds, latest_end_of_several_times_counts_and_none_lasts_for_ever)
{
    Worker worker;
    recordHold(worker, seconds { 30 }, now);
    recordHold(worker, milliseconds { 200 }, now + milliseconds { 100 });
    cr_assert_eq(checkWorker(worker, now).until, now + seconds { 30 });
    recordHold(worker, std::chrono::hours { 24 * 365 }, now);
    cr_assert_eq(checkWorker(worker, now + maxWorkerHold).block, WorkerBlock::None);
    Worker other;
    recordHold(other, Time { 0 }, now);
    cr_assert_eq(checkWorker(other, now).block, WorkerBlock::None, "a time of 0 ends at once");
}

// Guards against requests that wait, or are refused, although a worker can take them.
Test(worker_holds, held_workers_are_left_out_and_the_first_that_is_back_decides)
{
    Workers workers;
    recordHold(workers.list[0], seconds { 5 }, now);
    recordHold(workers.list[1], seconds { 4 }, now);
    auto choice = workers.choose();
    cr_assert_eq(choice.worker, &workers.list[2]);
    cr_assert_eq(choice.passedOver.size(), 2U);
    cr_assert_eq(choice.passedOver[0].second, WorkerBlock::Held);
    recordHold(workers.list[2], seconds { 6 }, now);
    choice = workers.choose();
    cr_assert_eq(choice.blockReason, BlockReason::Held);
    cr_assert_eq(choice.timeToCapacity, seconds { 4 });
    auto decision = decideWait(choice, nullptr, Time { 0 }, seconds { 30 });
    cr_assert_not(decision.admitted, "what is known to wait is told at once");
    cr_assert_eq(decision.retryAfter, seconds { 4 });
    cr_assert_eq(workers.choose(now + seconds { 4 }).worker, &workers.list[1]);
    // A limit that ends sooner, then a worker that is only full for a moment.
    workers.list[2].heldUntil = Time { 0 };
    workers.list[2].limitedUntil = now + seconds { 1 };
    cr_assert_eq(workers.choose().blockReason, BlockReason::Limited);
    workers.list[2].limitedUntil = Time { 0 };
    recordFull(workers.list[2], now);
    cr_assert_eq(workers.choose().blockReason, BlockReason::Unreachable);
    cr_assert(decideWait(workers.choose(), nullptr, Time { 0 }, seconds { 30 }).admitted);
    // The others neither hold the model nor count.
    workers.list[2].entry.models.clear();
    workers.list[2].avoidUntil = Time { 0 };
    cr_assert_eq(workers.choose().blockReason, BlockReason::Held);
    workers.list[1].leaving = true;
    cr_assert_eq(workers.choose().timeToCapacity, seconds { 5 });
}

// Guards against a refusal where a short wait costs the caller less than coming back.
Test(worker_holds, time_that_ends_before_a_caller_could_be_back_is_waited_for)
{
    Workers workers;
    for (auto& worker : workers.list)
        recordHold(worker, minRetryAfter, now);
    cr_assert(decideWait(workers.choose(), nullptr, Time { 0 }, seconds { 3 }).admitted);
    recordHold(workers.list[0], 2 * minRetryAfter, now);
    recordHold(workers.list[1], 2 * minRetryAfter, now);
    recordHold(workers.list[2], 2 * minRetryAfter, now);
    cr_assert_not(decideWait(workers.choose(), nullptr, Time { 0 }, seconds { 3 }).admitted);
}

// Guards against backup copies and resumptions at workers that want nothing, and against streams that are cut by a short backoff.
Test(worker_holds, backup_copies_and_resumptions_obey_leaves_and_times)
{
    Workers workers;
    ChoiceInputs inputs { .service = &workers.service, .shape = &workers.shape, .now = now };
    auto chooseFor = [&] { return chooseBackup({ &workers.list[0], &workers.list[1] }, inputs, workers.list[0].entry); };
    cr_assert_eq(chooseFor(), &workers.list[1]);
    recordHold(workers.list[1], seconds { 1 }, now);
    cr_assert_null(chooseFor());
    // The backoff and the silence end later than the time that the worker named.
    recordUnreachable(workers.list[1], now + seconds { 1 });
    workers.list[1].runningStreams = 1;
    cr_assert_not(mayResumeAt(workers.list[1], now));
    cr_assert(mayResumeAt(workers.list[1], now + seconds { 1 }));
    workers.list[1].limitedUntil = now + seconds { 2 };
    cr_assert_not(mayResumeAt(workers.list[1], now + seconds { 1 }));
    cr_assert(mayResumeAt(workers.list[1], now + seconds { 2 }));
    workers.list[1].leaving = true;
    cr_assert_not(mayResumeAt(workers.list[1], now + seconds { 2 }));
    cr_assert(mayResumeAt(workers.list[0], now));
    workers.list[0].entry.draining = true;
    cr_assert_not(mayResumeAt(workers.list[0], now));
}

// Guards against callers that come back too early, or all in the same moment.
Test(worker_holds, callers_return_after_the_time_and_spread)
{
    cr_assert(rc::check("no caller is early, and each quarter of the spread gets its part", [] {
        auto earliest = milliseconds { *rc::gen::inRange(0, 600000) };
        auto first = *rc::gen::arbitrary<uint32_t>();
        auto spread = std::clamp(earliest / 2, minRetryAfter, maxRetryAfter);
        std::array<int, 4> quarters {};
        constexpr int callers = 400;
        for (int i = 0; i < callers; i++) {
            auto delay = spreadRetryAfter(earliest, hashText("id-" + std::to_string(i), first));
            RC_ASSERT(delay >= earliest);
            RC_ASSERT(delay <= earliest + spread);
            quarters[static_cast<size_t>(std::min<int64_t>(3, 4 * (delay - earliest) / spread))]++;
        }
        for (auto count : quarters)
            RC_ASSERT(count > callers / 8);
    }));
}
