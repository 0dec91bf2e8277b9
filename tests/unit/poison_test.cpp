/// Tests of the detection of poison requests: what is held off after crashes of workers, and what is not.
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

/// Returns the shape of a request with its own content and a last part of its own.
/// @param parts ids of the parts before the last one.
RequestShape makePrompt(const std::vector<uint64_t>& parts)
{
    static uint64_t count = 1ULL << 32;
    RequestShape shape;
    for (auto part : parts)
        shape.parts.push_back({ part, 100 });
    shape.parts.push_back({ ++count, 100 });
    shape.contentHash = ++count;
    return shape;
}

std::set<CrashCause> makeCauses(const std::vector<uint64_t>& parts)
{
    return crashCauses(makePrompt(parts));
}

WorkerEntry makeWorker(int number, int64_t startedAt = 1)
{
    WorkerEntry entry;
    entry.id = "w" + std::to_string(number);
    entry.startedAt = startedAt;
    return entry;
}

/// Lets a worker crash under a request.
void crashUnder(PoisonRequests& poison, int worker, const std::set<CrashCause>& causes, Time at)
{
    poison.recordBroken(makeWorker(worker), causes, at);
    poison.recordCrash(makeWorker(worker).id, at);
}

bool isPoison(const PoisonRequests& poison, const std::vector<uint64_t>& parts, Time at)
{
    return !poison.findPoison(makeCauses(parts), at).empty();
}

} // namespace

// Guards against the refusal of a session whose part, the last of its prompts, is in no other request.
Test(poison_requests, last_part_of_a_prompt_is_never_blamed)
{
    RequestShape shape;
    shape.parts = { { 1, 100 }, { 2, 100 }, { 3, 100 } };
    PoisonRequests poison;
    for (int i = 0; i < 5; i++) {
        shape.contentHash = static_cast<uint64_t>(100 + i);
        crashUnder(poison, i, crashCauses(shape), now + seconds { i });
    }
    auto later = now + seconds { 5 };
    auto isHeldOff = [&](const std::vector<PromptPart>& parts) {
        RequestShape other;
        other.parts = parts;
        other.contentHash = 7;
        return !poison.findPoison(crashCauses(other), later).empty();
    };
    cr_assert(isHeldOff({ { 1, 100 }, { 2, 100 }, { 4, 100 } }));
    cr_assert_not(isHeldOff({ { 5, 100 }, { 3, 100 } }));
    cr_assert_not(isHeldOff({ { 3, 100 }, { 6, 100 } }));
}

// Guards against a request that crashes its worker, is retried, and crashes one worker after another.
Test(poison_requests, content_is_poison_after_two_crashes)
{
    PoisonRequests poison;
    std::set<CrashCause> causes { { CrashCause::Kind::Content, 7 } };
    poison.recordBroken(makeWorker(0), causes, now);
    cr_assert(poison.findPoison(causes, now).empty());
    poison.recordCrash("w0", now + milliseconds { 500 });
    poison.recordCrash("w0", now + milliseconds { 600 });
    cr_assert(poison.findPoison(causes, now).empty(), "a crash that is reported twice counts once");
    poison.recordBroken(makeWorker(1), causes, now + seconds { 1 });
    poison.recordCrash("w1", now + seconds { 2 });
    cr_assert_not(poison.findPoison(causes, now + seconds { 2 }).empty());
    cr_assert(poison.findPoison({ { CrashCause::Kind::Content, 8 } }, now + seconds { 2 }).empty());
}

// Guards against refusing a request as poison because its connections broke off, although no worker crashed.
Test(poison_requests, broken_response_alone_is_no_crash)
{
    PoisonRequests poison;
    std::set<CrashCause> causes { { CrashCause::Kind::Content, 7 } };
    for (int i = 0; i < 10; i++)
        poison.recordBroken(makeWorker(i), causes, now + seconds { i });
    cr_assert(poison.findPoison(causes, now + seconds { 10 }).empty());
    for (int i = 0; i < 10; i++)
        poison.recordCrash("w" + std::to_string(i), now + seconds { 60 });
    cr_assert(poison.findPoison(causes, now + seconds { 60 }).empty(), "the workers crashed much later");
    for (int i = 0; i < 10; i++) {
        poison.recordBroken(makeWorker(i), causes, now + seconds { 70 + i });
        poison.recordAlive("w" + std::to_string(i));
        poison.recordCrash("w" + std::to_string(i), now + seconds { 71 + i });
    }
    cr_assert(poison.findPoison(causes, now + seconds { 81 }).empty(), "the workers ran on");
}

// Guards against crashes that are attributed to no request because a worker's new entry comes seconds after its crash.
Test(poison_requests, crash_that_becomes_known_by_the_next_start_of_the_worker_is_attributed)
{
    PoisonRequests poison;
    for (int i = 0; i < 3; i++) {
        poison.recordBroken(makeWorker(i), makeCauses({ 1, 66 }), now + seconds { 5 * i });
        cr_assert_eq(poison.recordCrash("w" + std::to_string(i), now + seconds { 5 * i } + milliseconds { 4500 }), 1U);
    }
    cr_assert(isPoison(poison, { 1, 66 }, now + seconds { 15 }));
}

// Guards against VMs that each know of one crash only and hold nothing off.
Test(poison_requests, crashes_at_several_vms_are_added_up_and_counted_once)
{
    std::vector<PoisonRequests> vms(4);
    for (int i = 0; i < 3; i++)
        crashUnder(vms[static_cast<size_t>(i)], i, makeCauses({ 1, 66 }), now + seconds { i });
    // The third VM learns of the first crash on two ways.
    vms[2].merge(vms[0].takeReports(now + seconds { 3 }), false, now + seconds { 3 });
    crashUnder(vms[2], 0, makeCauses({ 1, 66 }), now);
    cr_assert_not(isPoison(vms[2], { 1, 66 }, now + seconds { 3 }));
    vms[2].merge(vms[1].takeReports(now + seconds { 3 }), false, now + seconds { 3 });
    cr_assert(isPoison(vms[2], { 1, 66 }, now + seconds { 3 }));
    vms[3].merge(vms[2].takeReports(now + seconds { 4 }), false, now + seconds { 4 });
    cr_assert(isPoison(vms[3], { 1, 66 }, now + seconds { 4 }), "what is held off is told in turn");
}

// Guards against the refusal of sound requests whose other parts always came together with the one that crashes workers.
Test(poison_requests, parts_that_occurred_together_are_held_off_together_until_one_is_cleared)
{
    PoisonRequests poison;
    for (int i = 0; i < 3; i++)
        crashUnder(poison, i, makeCauses({ 1, 2, 66 }), now + seconds { i });
    auto later = now + seconds { 3 };
    cr_assert(isPoison(poison, { 1, 2, 66 }, later));
    cr_assert_not(isPoison(poison, { 1, 2 }, later));
    cr_assert_not(isPoison(poison, { 1 }, later));
    poison.recordProgress(makeCauses({ 1, 2 }), later);
    cr_assert(isPoison(poison, { 66 }, later), "the part alone is left");
    cr_assert(isPoison(poison, { 66, 9 }, later));
}

// Without an answer to any of them, the part with most crashes is held off: the others are explained by it.
Test(poison_requests, part_that_was_there_in_more_crashes_explains_those_of_others)
{
    PoisonRequests poison;
    for (int i = 0; i < 3; i++)
        crashUnder(poison, i, makeCauses({ 2, 66 }), now + seconds { i });
    for (int i = 3; i < 5; i++)
        crashUnder(poison, i, makeCauses({ static_cast<uint64_t>(10 + i), 66 }), now + seconds { i });
    cr_assert(isPoison(poison, { 3, 66 }, now + seconds { 5 }));
    cr_assert_not(isPoison(poison, { 2, 3 }, now + seconds { 5 }));
}

// Guards against holding off whatever ran when many workers fail at the same moment, as when a rack loses power.
Test(poison_requests, workers_that_fail_together_hold_nothing_off)
{
    PoisonRequests poison;
    poison.recordProgress(makeCauses({ 1, 2 }), now - minutes { 1 });
    for (int i = 0; i < 20; i++)
        crashUnder(poison, i, makeCauses({ 1, 2 }), now + milliseconds { 5 * i });
    for (int i = 20; i < 23; i++)
        crashUnder(poison, i, makeCauses({ 1, 3 }), now + milliseconds { 5 * i });
    cr_assert_not(isPoison(poison, { 1, 2 }, now + seconds { 1 }));
    cr_assert_not(isPoison(poison, { 1, 3 }, now + seconds { 1 }), "a part that was never answered");
    poison.recordProgress(makeCauses({ 1, 2 }), now + seconds { 1 });
    crashUnder(poison, 30, makeCauses({ 1, 2 }), now + seconds { 2 });
    cr_assert_not(isPoison(poison, { 1, 2 }, now + seconds { 2 }));
}

// Guards against holding off a part because the news of crashes comes after that of later answers.
Test(poison_requests, answer_before_the_news_of_a_crash_clears_it)
{
    PoisonRequests other;
    PoisonRequests poison;
    for (int i = 0; i < 4; i++)
        crashUnder(other, i, makeCauses({ 1, 2 }), now + seconds { i });
    poison.recordProgress(makeCauses({ 1, 2 }), now + seconds { 4 });
    poison.merge(other.takeReports(now + seconds { 5 }), false, now + seconds { 5 });
    cr_assert_not(isPoison(poison, { 1, 2 }, now + seconds { 5 }));
    other.merge(poison.takeReports(now + seconds { 5 }), false, now + seconds { 5 });
    cr_assert_not(isPoison(other, { 1, 2 }, now + seconds { 5 }), "the answer is news for the other VM");
}

// Guards against holding off for ever what may have been mended, and against a series of crashes each time that it is tried again.
Test(poison_requests, hold_ends_and_one_more_crash_begins_it_again)
{
    PoisonRequests poison;
    for (int i = 0; i < 3; i++)
        crashUnder(poison, i, makeCauses({ 1, 66 }), now + seconds { i });
    poison.recordProgress(makeCauses({ 1 }), now + seconds { 3 });
    auto end = now + seconds { 2 } + poisonHoldTime;
    cr_assert(isPoison(poison, { 1, 66 }, end - seconds { 1 }));
    poison.takeReports(end);
    cr_assert_not(isPoison(poison, { 1, 66 }, end));
    crashUnder(poison, 4, makeCauses({ 1, 66 }), end + minutes { 1 });
    cr_assert(isPoison(poison, { 1, 66 }, end + minutes { 1 }));
    poison.recordProgress(makeCauses({ 1, 66 }), end + minutes { 2 });
    cr_assert_not(isPoison(poison, { 1, 66 }, end + minutes { 2 }));
}

// Guards against refusing most requests for an hour because a part that they share had bad luck.
Test(poison_requests, part_that_was_answered_before_is_tried_again_soon)
{
    PoisonRequests poison;
    poison.recordProgress(makeCauses({ 1, 2 }), now - minutes { 1 });
    for (int i = 0; i < 3; i++)
        crashUnder(poison, i, makeCauses({ 1 }), now + seconds { i });
    cr_assert(isPoison(poison, { 1, 5 }, now + seconds { 3 }));
    cr_assert_not(isPoison(poison, { 1, 5 }, now + seconds { 8 }));
    crashUnder(poison, 3, makeCauses({ 1 }), now + seconds { 9 });
    cr_assert(isPoison(poison, { 1, 5 }, now + seconds { 18 }), "held off for twice the time");
    cr_assert_not(isPoison(poison, { 1, 5 }, now + seconds { 20 }));
    poison.recordProgress(makeCauses({ 1, 5 }), now + seconds { 20 });
    crashUnder(poison, 4, makeCauses({ 1 }), now + seconds { 21 });
    cr_assert_not(isPoison(poison, { 1, 5 }, now + seconds { 22 }), "an answer clears it");
}

// A VM that restarts, or was cut off, has missed the news.
Test(poison_requests, vm_that_missed_the_news_learns_what_is_held_off)
{
    PoisonRequests poison;
    for (int i = 0; i < 3; i++)
        crashUnder(poison, i, makeCauses({ 1, 66 }), now + seconds { i });
    poison.recordProgress(makeCauses({ 1 }), now + seconds { 3 });
    for (int i = 0; i < 100; i++)
        poison.takeReports(now + seconds { 3 } + milliseconds { 200 * i });
    PoisonRequests restarted;
    for (int i = 0; i < 3; i++)
        restarted.merge(poison.takeReports(now + seconds { 30 }), false, now + seconds { 30 });
    cr_assert(isPoison(restarted, { 1, 66 }, now + seconds { 30 }));
}

namespace {

/// VMs and workers with one part of prompts that crashes workers. Heartbeats are lost and late, workers fail for other reasons as
/// well, and a VM may be cut off from the others.
class TaintedFleet {
public:
    struct Parameters {
        size_t vms = 6;
        size_t workers = 9;
        double requestsPerSecond = 15;
        double taintedShare = 0.05;
        double lostShare = 0;
        milliseconds maxNewsDelay { 100 };
        double otherCrashesPerSecond = 0;
        bool cutsOneVm = false;
        uint32_t seed = 0;
    };

    explicit TaintedFleet(const Parameters& parameters)
        : parameters(parameters)
        , vms(parameters.vms)
        , workers(parameters.workers)
        , random(parameters.seed)
    {
    }

    void run()
    {
        for (Time at = now; at < now + seconds { 40 }; at += step) {
            this->deliverNews(at);
            this->completeRequests(at);
            if (this->draw() < this->parameters.otherCrashesPerSecond * stepSeconds)
                this->crash(this->random() % this->workers.size(), at);
            if (this->draw() < this->parameters.requestsPerSecond * stepSeconds)
                this->sendRequest(at);
            this->sendNews(at);
        }
    }

    std::vector<Time> taintedCrashes; ///< Crashes under tainted requests.
    std::vector<Time> taintedSends; ///< Tainted requests that reached workers, but for those of a VM that is or was just cut off.
    std::vector<Time> soundRequests; ///< Sound requests with the first part of the tainted ones.
    std::vector<Time> soundRefusals; ///< Those of them that were refused.

private:
    static constexpr Time step = milliseconds { 10 };
    static constexpr double stepSeconds = 0.01;
    static constexpr Time downTime = seconds { 3 };
    static constexpr Time cutFrom = now + seconds { 8 };
    static constexpr Time cutUntil = now + seconds { 14 };
    static constexpr uint64_t taintedPart = 66;

    struct Request {
        size_t vm = 0;
        size_t worker = 0;
        std::set<CrashCause> causes;
        bool tainted = false;
        Time endsAt { 0 };
    };
    struct WorkerModel {
        Time downUntil { 0 };
        int64_t startedAt = 1;
    };
    struct News {
        size_t to = 0;
        Time at { 0 };
        std::vector<CrashReport> reports;
    };
    struct Detection {
        size_t vm = 0;
        size_t worker = 0;
        Time at { 0 };
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    Time drawTime(milliseconds from, milliseconds to) { return milliseconds { std::uniform_int_distribution<int64_t>(from.count(), to.count())(this->random) }; }
    bool isCut(size_t vm, Time at) const { return this->parameters.cutsOneVm && vm == 0 && at >= cutFrom && at < cutUntil; }

    void sendRequest(Time at)
    {
        Request request;
        request.vm = this->random() % this->vms.size();
        request.tainted = at > now + seconds { 4 } && this->draw() < this->parameters.taintedShare;
        // A few documents are popular, most are not.
        std::vector<uint64_t> parts { 1, 100 + static_cast<uint64_t>(std::pow(this->draw(), 3) * 40) };
        if (request.tainted)
            parts.push_back(taintedPart);
        request.causes = makeCauses(parts);
        if (!request.tainted)
            this->soundRequests.push_back(at);
        if (!this->vms[request.vm].findPoison(request.causes, at).empty()) {
            if (!request.tainted)
                this->soundRefusals.push_back(at);
            return;
        }
        std::vector<size_t> up;
        for (size_t i = 0; i < this->workers.size(); i++) {
            if (at >= this->workers[i].downUntil)
                up.push_back(i);
        }
        if (up.empty())
            return;
        request.worker = up[this->random() % up.size()];
        request.endsAt = at + this->drawTime(milliseconds { 50 }, milliseconds { 700 });
        // A VM is in touch again some time after its cut.
        bool inTouch = !this->isCut(request.vm, at) && !this->isCut(request.vm, at - seconds { 3 });
        if (request.tainted && inTouch)
            this->taintedSends.push_back(at);
        this->running.push_back(request);
    }

    void completeRequests(Time at)
    {
        for (size_t i = 0; i < this->running.size(); i++) {
            if (this->running[i].endsAt > at)
                continue;
            auto request = this->running[i];
            this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(i--));
            if (!request.tainted) {
                this->vms[request.vm].recordProgress(request.causes, at);
                continue;
            }
            this->running.push_back(request);
            this->taintedCrashes.push_back(at);
            this->crash(request.worker, at);
            i = 0;
        }
    }

    void crash(size_t number, Time at)
    {
        auto& worker = this->workers[number];
        if (at < worker.downUntil)
            return;
        std::set<size_t> affected;
        for (const auto& request : this->running) {
            if (request.worker != number)
                continue;
            this->vms[request.vm].recordBroken(makeWorker(static_cast<int>(number), worker.startedAt), request.causes, at);
            affected.insert(request.vm);
        }
        std::erase_if(this->running, [number](const auto& request) { return request.worker == number; });
        // A VM that can't probe the worker learns of its crash from the next entry.
        for (auto vm : affected)
            this->detections.push_back({ vm, number, at + (this->draw() < 0.2 ? downTime + this->drawTime(milliseconds { 0 }, milliseconds { 1500 }) : this->drawTime(milliseconds { 1 }, milliseconds { 50 })) });
        worker.downUntil = at + downTime;
        worker.startedAt++;
    }

    void sendNews(Time at)
    {
        for (size_t vm = 0; vm < this->vms.size(); vm++) {
            if ((at - now + step * static_cast<int>(vm)) % milliseconds { 200 } != Time { 0 })
                continue;
            auto reports = this->vms[vm].takeReports(at);
            for (size_t to = 0; to < this->vms.size(); to++) {
                bool lost = this->draw() < this->parameters.lostShare || this->isCut(vm, at) || this->isCut(to, at);
                if (to != vm && !lost && !reports.empty())
                    this->news.push_back({ to, at + this->drawTime(milliseconds { 0 }, this->parameters.maxNewsDelay), reports });
            }
        }
    }

    void deliverNews(Time at)
    {
        for (const auto& detection : this->detections) {
            if (detection.at <= at)
                this->vms[detection.vm].recordCrash("w" + std::to_string(detection.worker), at);
        }
        std::erase_if(this->detections, [at](const auto& detection) { return detection.at <= at; });
        for (const auto& item : this->news) {
            if (item.at <= at)
                this->vms[item.to].merge(item.reports, false, at);
        }
        std::erase_if(this->news, [at](const auto& item) { return item.at <= at; });
    }

    Parameters parameters;
    std::vector<PoisonRequests> vms;
    std::vector<WorkerModel> workers;
    std::vector<Request> running;
    std::vector<News> news;
    std::vector<Detection> detections;
    std::mt19937 random;
};

auto countAfter(const std::vector<Time>& times, Time start)
{
    return std::count_if(times.begin(), times.end(), [start](Time at) { return at > start; });
}

} // namespace

// Plays 40 s of traffic of which a part crashes workers. Callers with the part may reach workers at most three times later than 3 s
// after the fifth crash; the others, with the same first part, must go on being served.
Test(poison_requests, tainted_requests_stop_and_sound_ones_go_on_whatever_news_is_lost)
{
    static constexpr Time settleTime = seconds { 3 };
    cr_assert(rc::check("", [] {
        TaintedFleet::Parameters parameters;
        parameters.vms = *rc::gen::inRange<size_t>(1, 24);
        parameters.workers = *rc::gen::inRange<size_t>(4, 60);
        parameters.requestsPerSecond = *rc::gen::inRange(8, 90);
        parameters.taintedShare = *rc::gen::inRange(2, 40) / 100.0;
        parameters.lostShare = *rc::gen::inRange(0, 40) / 100.0;
        parameters.maxNewsDelay = milliseconds { *rc::gen::inRange(1, 500) };
        parameters.otherCrashesPerSecond = *rc::gen::inRange(0, 5) / 10.0;
        parameters.cutsOneVm = *rc::gen::arbitrary<bool>();
        parameters.seed = *rc::gen::arbitrary<uint32_t>();
        TaintedFleet fleet(parameters);
        fleet.run();
        if (fleet.taintedCrashes.size() >= 5)
            RC_ASSERT(countAfter(fleet.taintedSends, fleet.taintedCrashes[4] + settleTime) <= 3);
        auto settled = (fleet.taintedCrashes.empty() ? now : fleet.taintedCrashes[std::min<size_t>(4, fleet.taintedCrashes.size() - 1)]) + 2 * settleTime;
        auto refused = countAfter(fleet.soundRefusals, settled);
        RC_ASSERT(2 * refused <= countAfter(fleet.soundRequests, settled));
        // Crashes for other reasons may fall on one document again and again.
        if (parameters.otherCrashesPerSecond == 0)
            RC_ASSERT(refused == 0);
    }));
}
