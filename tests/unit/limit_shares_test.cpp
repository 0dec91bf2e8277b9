/// Tests of the shares of the limits that workers name: what a worker gets from all VMs together.
#include <criterion/criterion.h>
#include <random>
#include <rapidcheck.h>
#include <routing/routing.h>

using namespace comfreypier;
using namespace comfreypier::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time now = seconds { 100 };

std::vector<std::string> makeNames(size_t count)
{
    std::vector<std::string> names;
    for (size_t i = 0; i < count; i++)
        names.push_back("vm" + std::to_string(i));
    return names;
}

/// Returns how many requests a VM may send from `from` on, for `duration`, if it sends as soon as it may.
int countSends(WorkerLimits& limits, uint64_t worker, Time from, Time duration)
{
    int count = 0;
    for (Time at = from; at < from + duration; at += milliseconds { 1 }) {
        if (limits.nextSendAt(worker, at) > at)
            continue;
        limits.recordSend(worker, at);
        count++;
    }
    return count;
}

} // namespace

Test(worker_limits, vms_together_send_less_than_the_limit)
{
    for (size_t count : { 1, 2, 6, 20, 100 }) {
        for (double limit : { 0.5, 1.0, 2.2, 30.0 }) {
            auto names = makeNames(count);
            int sum = 0;
            for (const auto& name : names) {
                WorkerLimits limits(name);
                limits.setMembers(names);
                limits.recordAnswer(7, limit, now);
                sum += countSends(limits, 7, now, seconds { 20 });
            }
            cr_assert_leq(sum, 20 * limit, "%zu VMs sent %d requests in 20 s with a limit of %g a second", count, sum, limit);
            cr_assert_geq(sum, 0.6 * 20 * limit - 4, "%zu VMs sent %d requests in 20 s with a limit of %g a second", count, sum, limit);
        }
    }
}

// Guards against requests beyond a limit that was named before the entry of its process arrived, and against one that binds a later process.
Test(worker_limits, limit_holds_for_the_start_that_may_have_named_it)
{
    constexpr milliseconds wallNow { 1700000000000 };
    for (auto startedAt : { wallNow.count() - 1, wallNow.count() + 1, INT64_MAX, INT64_MIN }) {
        bool mayHaveNamed = startedAt < wallNow.count();
        WorkerEntry before { .id = "i-1", .startedAt = 5 };
        WorkerEntry entry { .id = "i-1", .startedAt = startedAt };
        auto start = workerStart(entry);
        WorkerLimits limits("vm0");
        limits.setMembers(makeNames(1));
        limits.recordAnswer(workerStart(before), 2, now);
        auto entryAt = now + seconds { 1 };
        limits.recordRestart(before, entry, entryAt, wallNow + seconds { 1 });
        cr_assert_eq(limits.limitOf(start), mayHaveNamed ? 2 : 0);
        auto sent = countSends(limits, start, entryAt, seconds { 2 });
        cr_assert(mayHaveNamed ? sent <= 4 : sent == 2000, "%d requests", sent);
        limits.recordAnswer(start, std::nullopt, entryAt + seconds { 2 });
        cr_assert_eq(limits.limitOf(start), 0, "its own answer counts");
    }
}

// Guards against a burst of all VMs after a time without requests.
Test(worker_limits, unused_shares_add_up_to_few_requests)
{
    constexpr double limit = 1;
    auto names = makeNames(100);
    int sum = 0;
    for (const auto& name : names) {
        WorkerLimits limits(name);
        limits.setMembers(names);
        limits.recordAnswer(7, limit, now);
        sum += countSends(limits, 7, now + seconds { 300 }, seconds { 4 });
    }
    cr_assert_leq(sum, 1.5 * 4 * limit + 5);
}

Test(worker_limits, limit_is_known_from_other_vms_and_ends_with_the_newest_answer)
{
    auto names = makeNames(2);
    WorkerLimits a(names[0]);
    WorkerLimits b(names[1]);
    a.setMembers(names);
    b.setMembers(names);
    cr_assert(a.recordAnswer(7, 2.5, now));
    cr_assert_not(a.recordAnswer(7, 2.5, now + seconds { 1 }), "no news");
    auto reports = a.takeReports(now + seconds { 1 });
    cr_assert_eq(b.merge(reports, false, now + seconds { 1 }).size(), 1U);
    cr_assert_eq(b.limitOf(7), 2.5);
    // An old report must not bring the limit back.
    b.recordAnswer(7, std::nullopt, now + seconds { 2 });
    cr_assert_eq(b.limitOf(7), 0);
    cr_assert_leq(b.nextSendAt(7, now + seconds { 2 }), now + seconds { 2 });
    for (auto& report : reports)
        report.age += seconds { 2 };
    b.merge(reports, false, now + seconds { 3 });
    cr_assert_eq(b.limitOf(7), 0);
    a.merge(b.takeReports(now + seconds { 2 }), false, now + seconds { 2 });
    cr_assert_eq(a.limitOf(7), 2.5, "the end may be older than the own answer");
    b.recordAnswer(7, std::nullopt, now + seconds { 4 });
    a.merge(b.takeReports(now + seconds { 4 }), false, now + seconds { 4 });
    cr_assert_eq(a.limitOf(7), 0);
}

// A VM that has just started must not take shares of all others.
Test(worker_limits, vm_that_does_not_know_the_members_sends_nothing_to_limited_workers)
{
    WorkerLimits limits("vm0");
    limits.recordAnswer(7, 5, now);
    cr_assert_eq(countSends(limits, 7, now, seconds { 10 }), 0);
    cr_assert_gt(countSends(limits, 8, now, seconds { 1 }), 100, "the other worker names no limit");
    limits.setMembers({ "vm0" });
    cr_assert_gt(countSends(limits, 7, now + seconds { 10 }, seconds { 2 }), 5);
}

// Without any request no VM would learn that the limit is over.
Test(worker_limits, limit_of_zero_still_allows_a_request_now_and_then)
{
    WorkerLimits limits("vm0");
    limits.setMembers({ "vm0" });
    limits.recordAnswer(7, 0.0, now);
    auto sends = countSends(limits, 7, now, seconds { 60 });
    cr_assert(sends >= 1 && sends <= 6, "%d", sends);
}

namespace {

/// VMs and workers whose limits come, change and go, while news is lost and late, VMs restart, join and leave, and their views of the
/// members differ.
class LimitedFleet {
public:
    struct Parameters {
        size_t vms = 6;
        size_t workers = 3;
        double requestsPerSecond = 50;
        double maxLimit = 5;
        double lostShare = 0;
        milliseconds maxNewsDelay { 100 };
        milliseconds maxMemberDelay { 700 };
        double vmEventsPerSecond = 0;
        uint32_t seed = 0;
    };

    explicit LimitedFleet(const Parameters& parameters)
        : parameters(parameters)
        , random(parameters.seed)
        , workers(parameters.workers)
    {
        for (size_t i = 0; i < parameters.vms; i++)
            this->start("vm" + std::to_string(i), now - seconds { 60 });
    }

    void run()
    {
        for (Time at = now; at < now + duration; at += step) {
            this->updateWorkers(at);
            this->updateMembers(at);
            this->deliver(at);
            if (this->draw() < this->parameters.requestsPerSecond * stepSeconds)
                this->sendRequest(at);
            this->sendNews(at);
        }
    }

    /// Returns a worker's arrivals beyond what its limit allows in some four seconds, or a negative number.
    double maxExcess() const
    {
        constexpr Time settleTime = seconds { 3 };
        constexpr Time window = seconds { 4 };
        double excess = -1;
        for (const auto& worker : this->workers) {
            for (const auto& first : worker.arrivals) {
                // Only windows within which the limit is the same, and has been for some time.
                auto period = std::find_if(worker.periods.begin(), worker.periods.end(), [&](const auto& item) { return first.at >= item.from + settleTime && first.at + window <= item.until; });
                if (period == worker.periods.end() || period->limit == 0)
                    continue;
                auto count = std::count_if(worker.arrivals.begin(), worker.arrivals.end(), [&](const auto& item) { return item.at >= first.at && item.at < first.at + window && item.counts; });
                excess = std::max(excess, static_cast<double>(count) - (1.5 * 4 * period->limit + 5));
            }
        }
        return excess;
    }

private:
    static constexpr Time duration = seconds { 30 };
    static constexpr Time step = milliseconds { 10 };
    static constexpr double stepSeconds = 0.01;

    struct Vm {
        std::string name;
        WorkerLimits limits;
        Time startedAt { 0 };
        bool running = true;
        std::map<std::pair<size_t, int>, Time> toldAt; ///< First answer with a limit, by worker and period.
    };
    struct Period {
        Time from { 0 };
        Time until { 0 };
        double limit = 0;
    };
    struct Arrival {
        Time at { 0 };
        bool counts = false; ///< The VM had been told of the limit and was in touch.
    };
    struct WorkerModel {
        std::vector<Period> periods;
        std::vector<Arrival> arrivals;
    };
    struct Answer {
        size_t vm = 0;
        size_t worker = 0;
        int period = 0;
        std::optional<double> limit;
        Time at { 0 };
    };
    struct News {
        size_t to = 0;
        Time at { 0 };
        std::vector<LimitReport> reports;
    };
    struct MemberNews {
        size_t to = 0;
        Time at { 0 };
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    Time drawTime(milliseconds from, milliseconds to) { return milliseconds { std::uniform_int_distribution<int64_t>(from.count(), to.count())(this->random) }; }

    std::vector<std::string> memberNames() const
    {
        std::vector<std::string> names;
        for (const auto& vm : this->vms) {
            if (vm.running)
                names.push_back(vm.name);
        }
        return names;
    }

    void start(const std::string& name, Time at)
    {
        this->vms.push_back({ name, WorkerLimits(name), at, true, {} });
        this->announceMembers(at);
    }

    /// Lets each VM read the members some time after a change.
    void announceMembers(Time at)
    {
        for (size_t i = 0; i < this->vms.size(); i++)
            this->memberNews.push_back({ i, at + this->drawTime(milliseconds { 0 }, this->parameters.maxMemberDelay) });
    }

    void updateWorkers(Time at)
    {
        for (auto& worker : this->workers) {
            if (!worker.periods.empty() && at < worker.periods.back().until)
                continue;
            auto last = worker.periods.empty() ? 0 : worker.periods.back().limit;
            auto limit = last > 0 && this->draw() < 0.5 ? 0 : 0.3 + this->draw() * this->parameters.maxLimit;
            worker.periods.push_back({ at, at + this->drawTime(milliseconds { 2000 }, milliseconds { 14000 }), limit });
        }
    }

    void updateMembers(Time at)
    {
        if (this->draw() < this->parameters.vmEventsPerSecond * stepSeconds) {
            auto& vm = this->vms[this->random() % this->vms.size()];
            bool join = this->draw() < 0.3;
            if (join)
                this->start("vm" + std::to_string(this->vms.size()), at);
            else if (vm.running && this->memberNames().size() > 1 && this->draw() < 0.3) {
                vm.running = false;
                this->announceMembers(at);
            } else {
                // A restart: the member record stays.
                vm.limits = WorkerLimits(vm.name);
                vm.startedAt = at;
                this->memberNews.push_back({ static_cast<size_t>(&vm - this->vms.data()), at + this->drawTime(milliseconds { 0 }, this->parameters.maxMemberDelay) });
            }
        }
        for (const auto& news : this->memberNews) {
            if (news.at <= at)
                this->vms[news.to].limits.setMembers(this->memberNames());
        }
        std::erase_if(this->memberNews, [at](const auto& news) { return news.at <= at; });
    }

    void sendRequest(Time at)
    {
        auto vmNumber = this->random() % this->vms.size();
        auto& vm = this->vms[vmNumber];
        if (!vm.running)
            return;
        std::vector<size_t> free;
        for (size_t i = 0; i < this->workers.size(); i++) {
            if (vm.limits.nextSendAt(i + 1, at) <= at)
                free.push_back(i);
        }
        if (free.empty())
            return;
        auto number = free[this->random() % free.size()];
        vm.limits.recordSend(number + 1, at);
        auto& worker = this->workers[number];
        auto period = static_cast<int>(worker.periods.size()) - 1;
        auto limit = worker.periods.back().limit;
        auto told = vm.toldAt.find({ number, period });
        bool counts = told != vm.toldAt.end() && told->second <= at - milliseconds { 500 } && vm.startedAt <= at - seconds { 3 };
        worker.arrivals.push_back({ at, counts });
        this->answers.push_back({ vmNumber, number, period, limit > 0 ? std::optional(limit) : std::nullopt, at + this->drawTime(milliseconds { 5 }, milliseconds { 60 }) });
    }

    void deliver(Time at)
    {
        for (const auto& answer : this->answers) {
            if (answer.at > at)
                continue;
            auto& vm = this->vms[answer.vm];
            if (answer.limit)
                vm.toldAt.try_emplace({ answer.worker, answer.period }, at);
            if (vm.limits.recordAnswer(answer.worker + 1, answer.limit, at))
                this->sendNewsOf(answer.vm, at);
        }
        std::erase_if(this->answers, [at](const auto& answer) { return answer.at <= at; });
        for (const auto& item : this->news) {
            if (item.at <= at)
                this->vms[item.to].limits.merge(item.reports, false, at);
        }
        std::erase_if(this->news, [at](const auto& item) { return item.at <= at; });
    }

    void sendNewsOf(size_t from, Time at)
    {
        auto reports = this->vms[from].limits.takeReports(at);
        for (size_t to = 0; to < this->vms.size() && !reports.empty(); to++) {
            if (to != from && this->draw() >= this->parameters.lostShare)
                this->news.push_back({ to, at + this->drawTime(milliseconds { 0 }, this->parameters.maxNewsDelay), reports });
        }
    }

    void sendNews(Time at)
    {
        for (size_t vm = 0; vm < this->vms.size(); vm++) {
            if (this->vms[vm].running && (at - now + step * static_cast<int>(vm)) % milliseconds { 200 } == Time { 0 })
                this->sendNewsOf(vm, at);
        }
    }

    Parameters parameters;
    std::mt19937 random;
    std::vector<Vm> vms;
    std::vector<WorkerModel> workers;
    std::vector<Answer> answers;
    std::vector<News> news;
    std::vector<MemberNews> memberNews;
};

} // namespace

// Plays 30 s in which workers name limits, change and withdraw them. No worker may get more than one and a half times its limit and five
// requests in four seconds from VMs that knew the limit, however many VMs there are and whatever news is lost.
Test(worker_limits, limits_hold_while_news_is_lost_and_vms_come_and_go)
{
    cr_assert(rc::check("", [] {
        LimitedFleet::Parameters parameters;
        parameters.vms = *rc::gen::inRange<size_t>(1, 40);
        parameters.workers = *rc::gen::inRange<size_t>(1, 12);
        parameters.requestsPerSecond = *rc::gen::inRange(5, 95);
        parameters.maxLimit = *rc::gen::inRange(1, 20);
        parameters.lostShare = *rc::gen::inRange(0, 101) / 100.0;
        parameters.maxNewsDelay = milliseconds { *rc::gen::inRange(1, 1000) };
        parameters.vmEventsPerSecond = *rc::gen::inRange(0, 10) / 10.0;
        parameters.seed = *rc::gen::arbitrary<uint32_t>();
        LimitedFleet fleet(parameters);
        fleet.run();
        RC_ASSERT(fleet.maxExcess() <= 0);
    }));
}
