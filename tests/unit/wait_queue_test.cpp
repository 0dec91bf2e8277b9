/// Tests of the order in which waiting requests get places, and of refusals, by playing callers and places without a network. They guard against
/// urgent requests that wait for less urgent ones, kinds, sizes, models and accounts that are never served, places that stay free, and time
/// that is lost on requests whose answers come too late.
#include <criterion/criterion.h>
#include <ctime>
#include <deque>
#include <random>
#include <routing/routing.h>

using namespace comfreypier::routing;
using std::chrono::seconds;

namespace {

/// Callers of one kind.
struct Kind {
    std::string model;
    std::string account;
    uint32_t priority;
    milliseconds target;
    milliseconds deadline;
    double work; ///< Mean, in seconds. A tenth of the requests have three times as much.
    double perSecond;
    Time from { 0 }; ///< Start and end of a burst.
    Time until { seconds { 60 } };
    double weight = 0; ///< See `WaitingRequest::accountWeight`.
};

/// What callers of a kind got.
struct Outcome {
    int sent = 0;
    int served = 0;
    int inTime = 0; ///< Started within their target.
    int refused = 0;
    int refusedSlowly = 0; ///< Later than an eighth of their target.
    int refusedWithRoom = 0; ///< While places were free and nothing else waited.
    int cameBack = 0;
    int refusedTwice = 0;
    int large = 0;
    int largeServed = 0;

    double servedShare() const { return static_cast<double>(this->served) / std::max(1, this->sent); }
    double inTimeShare() const { return static_cast<double>(this->inTime) / std::max(1, this->sent); }
    double largeServedShare() const { return static_cast<double>(this->largeServed) / std::max(1, this->large); }
};

/// Plays callers at a number of places, each of which serves one request after the other.
class Play {
public:
    Play(std::vector<Kind> kinds, size_t places)
        : outcomes(kinds.size())
        , kinds(std::move(kinds))
        , freeAt(places)
    {
        for (size_t kind = 0; kind < this->kinds.size(); kind++) {
            const auto& from = this->kinds[kind];
            std::exponential_distribution<double> gap(from.perSecond);
            for (auto at = from.from; at < from.until; at += toTime(gap(this->random)))
                this->arrivals.insert({ at, { kind, this->random() % 10 == 0, at + from.deadline, at + from.target, false } });
        }
        for (this->now = Time { 0 }; !this->arrivals.empty() || this->queue.size() > 0; this->now += milliseconds { 1 })
            this->step();
    }

    std::vector<Outcome> outcomes; ///< By kind.
    double busySeconds = 0; ///< Sum over all places.

private:
    struct Caller {
        size_t kind;
        bool large;
        Time deadline;
        Time targetAt;
        bool cameBack;
        Time sentAt { 0 };
    };

    static Time toTime(double seconds) { return std::chrono::duration_cast<Time>(std::chrono::duration<double>(seconds)); }
    double workOf(const Caller& caller) const { return this->kinds[caller.kind].work * (caller.large ? 3 : 1); }
    size_t freePlaces() const
    {
        return static_cast<size_t>(std::count_if(this->freeAt.begin(), this->freeAt.end(), [this](Time at) { return at <= this->now; }));
    }

    void step()
    {
        while (!this->arrivals.empty() && this->arrivals.begin()->first <= this->now) {
            auto caller = this->arrivals.extract(this->arrivals.begin()).mapped();
            const auto& kind = this->kinds[caller.kind];
            caller.sentAt = this->now;
            auto id = ++this->lastId;
            this->queue.add({ id, kind.model, "", false, kind.priority, kind.account, this->now, this->now + kind.target, caller.deadline, this->workOf(caller), kind.weight }, this->now);
            this->callers[id] = caller;
            auto& outcome = this->outcomes[caller.kind];
            outcome.sent += caller.cameBack ? 0 : 1;
            outcome.large += caller.large && !caller.cameBack ? 1 : 0;
            this->visit(id);
        }
        for (auto id : this->queue.firsts())
            this->visit(id);
        // The others look after themselves less often.
        if (this->now % milliseconds { 40 } == Time { 0 }) {
            auto waiting = this->callers;
            for (const auto& [id, caller] : waiting)
                this->visit(id);
        }
    }

    void visit(uint64_t id)
    {
        auto caller = this->callers.at(id);
        auto& outcome = this->outcomes[caller.kind];
        auto place = std::min_element(this->freeAt.begin(), this->freeAt.end());
        bool hasRoom = *place <= this->now;
        if (!hasRoom)
            this->queue.recordBlocked(id, BlockReason::NoCapacity, *place - this->now, this->now);
        auto decision = this->queue.decide(id, this->now);
        if (hasRoom && decision.isFirst) {
            this->queue.start(id, this->now);
            this->callers.erase(id);
            *place = this->now + toTime(this->workOf(caller));
            this->busySeconds += this->workOf(caller);
            outcome.served++;
            outcome.inTime += *place <= caller.targetAt ? 1 : 0;
            outcome.largeServed += caller.large ? 1 : 0;
        } else if (decision.refusal != QueueRefusal::None) {
            bool alone = this->queue.size() == 1;
            this->queue.refuse(id, this->now);
            this->callers.erase(id);
            outcome.refused++;
            outcome.refusedWithRoom += hasRoom && alone ? 1 : 0;
            outcome.refusedSlowly += this->now - caller.sentAt > this->kinds[caller.kind].target / 8 ? 1 : 0;
            outcome.refusedTwice += caller.cameBack ? 1 : 0;
            if (caller.cameBack)
                return;
            auto comesBackAt = this->now + std::min<Time>(decision.retryAfter, (caller.deadline - this->now) / 3);
            caller.cameBack = true;
            outcome.cameBack++;
            this->arrivals.insert({ comesBackAt, caller });
        }
    }

    std::vector<Kind> kinds;
    std::vector<Time> freeAt; ///< By place.
    WaitQueue queue;
    Time now { 0 };
    uint64_t lastId = 0;
    std::mt19937 random { 20261206 };
    std::multimap<Time, Caller> arrivals;
    std::map<uint64_t, Caller> callers; ///< That wait, by id.
};

constexpr size_t places = 4;
/// Requests of 0.1 s that the places serve in a second; the large ones add a fifth.
constexpr double capacity = places / 0.12;

Kind urgentKind(double perSecond)
{
    return { "m", "", 0, milliseconds { 500 }, milliseconds { 5000 }, 0.1, perSecond };
}

Kind normalKind(double perSecond)
{
    return { "m", "", 1, milliseconds { 800 }, milliseconds { 5000 }, 0.1, perSecond };
}

Kind batchKind(double perSecond)
{
    return { "m", "", 2, milliseconds { 8000 }, milliseconds { 12000 }, 0.1, perSecond };
}

/// Share of requests by which a kind may be served less often than a less urgent one.
constexpr double tolerance = 0.05;

/// Returns the share of the places' time that was used while the callers of `seconds` came.
double usedShare(const Play& play, double seconds)
{
    return play.busySeconds / (seconds * places);
}

Kind withAccount(Kind kind, const std::string& account, double weight = 0)
{
    kind.account = account;
    kind.weight = weight;
    return kind;
}

Kind within(Kind kind, Time from, Time until)
{
    kind.from = from;
    kind.until = until;
    return kind;
}

constexpr std::array<double, 4> loads { 1, 1.5, 2, 3 };

Play playMixedLoad(double load)
{
    auto rate = capacity * load;
    return { { urgentKind(rate * 0.4), normalKind(rate * 0.4), batchKind(rate * 0.2) }, places };
}

} // namespace

Test(wait_queue, with_room_for_all_nobody_is_refused)
{
    auto play = playMixedLoad(0.7);
    for (const auto& outcome : play.outcomes) {
        cr_assert_eq(outcome.refused, 0);
        cr_assert_eq(outcome.inTime, outcome.sent);
    }
}

// Urgent callers are served first, as long as they alone leave room all of them, and no kind or size starves.
Test(wait_queue, kinds_are_served_by_urgency_and_none_starves)
{
    for (auto load : loads) {
        auto play = playMixedLoad(load);
        const auto& [urgent, normal, batch] = std::tie(play.outcomes[0], play.outcomes[1], play.outcomes[2]);
        if (load <= 1.5)
            cr_assert_geq(urgent.inTimeShare(), 0.97, "load %g: %g", load, urgent.inTimeShare());
        cr_assert_geq(urgent.servedShare(), normal.servedShare() - tolerance, "load %g", load);
        cr_assert_geq(normal.servedShare(), batch.servedShare() - tolerance, "load %g", load);
        auto all = static_cast<double>(urgent.served + normal.served + batch.served) / (urgent.sent + normal.sent + batch.sent);
        for (const auto& outcome : play.outcomes) {
            cr_assert_geq(outcome.servedShare(), all / 4, "load %g: %g of %g", load, outcome.servedShare(), all);
            cr_assert_geq(outcome.largeServedShare(), outcome.servedShare() / 2, "load %g: %g of %g", load, outcome.largeServedShare(), outcome.servedShare());
        }
    }
}

// However many callers come, the places work, and most of what they do is in time.
Test(wait_queue, overload_does_not_collapse)
{
    for (auto load : loads) {
        auto play = playMixedLoad(load);
        if (load > 1)
            cr_assert_geq(usedShare(play, 60), 0.95, "load %g: %g", load, usedShare(play, 60));
        const auto& urgent = play.outcomes[0];
        cr_assert_geq(urgent.inTime, 0.6 * urgent.served, "load %g: %d of %d", load, urgent.inTime, urgent.served);
    }
}

// A refusal helps a caller only if it comes while there is time to come back, and never while places are free.
Test(wait_queue, hopeless_requests_are_refused_at_once_and_never_with_free_places)
{
    for (auto load : loads) {
        auto play = playMixedLoad(load);
        int refused = 0;
        int slowly = 0;
        for (const auto& outcome : play.outcomes) {
            refused += outcome.refused;
            slowly += outcome.refusedSlowly;
            cr_assert_eq(outcome.refusedWithRoom, 0);
        }
        cr_assert_leq(slowly, refused / 8 + 5, "load %g: %d of %d", load, slowly, refused);
    }
}

// A kind that is far more urgent than another, and too much by itself, does not keep the other out.
Test(wait_queue, urgent_overload_leaves_a_part_to_the_rest)
{
    for (double load : { 1.5, 2.0, 3.0 }) {
        auto rate = capacity * load;
        Play play({ urgentKind(rate * 0.8), batchKind(rate * 0.2) }, places);
        const auto& [urgent, batch] = std::tie(play.outcomes[0], play.outcomes[1]);
        auto all = static_cast<double>(urgent.served + batch.served) / (urgent.sent + batch.sent);
        cr_assert_geq(batch.servedShare(), all / 4, "load %g: %g of %g", load, batch.servedShare(), all);
        cr_assert_geq(urgent.servedShare(), batch.servedShare() - tolerance, "load %g", load);
        cr_assert_geq(urgent.largeServedShare(), urgent.servedShare() / 2, "load %g: %g of %g", load, urgent.largeServedShare(), urgent.servedShare());
    }
}

// Guards against an account that sends seven times its usual at the cost of the others, whether or not the operators state shares.
Test(wait_queue, account_beyond_its_usual_takes_nothing_from_the_others)
{
    for (double weight : { 0.0, 1.0 }) {
        auto usual = urgentKind(capacity * 0.2);
        auto more = within(urgentKind(capacity * 1.2), seconds { 20 }, seconds { 40 });
        Play play({ withAccount(usual, "a", weight), withAccount(usual, "b", weight), withAccount(usual, "c", weight), withAccount(usual, "hot", weight), withAccount(more, "hot", weight) }, places);
        for (size_t i = 0; i < 3; i++)
            cr_assert_geq(play.outcomes[i].inTimeShare(), 0.9, "account %zu: %g", i, play.outcomes[i].inTimeShare());
        // What the others leave is used.
        cr_assert_gt(play.outcomes[4].servedShare(), 0.2, "%g", play.outcomes[4].servedShare());
    }
}

// Large accounts are no worse off than small ones while both send their usual.
Test(wait_queue, accounts_of_all_sizes_are_served_alike)
{
    Play play({ withAccount(urgentKind(capacity * 1.2), "large"), withAccount(urgentKind(capacity * 0.3), "small") }, places);
    auto [large, small] = std::pair(play.outcomes[0].servedShare(), play.outcomes[1].servedShare());
    cr_assert_geq(large, small / 2, "%g and %g", large, small);
    cr_assert_geq(small, large / 2, "%g and %g", large, small);
}

// A burst of the least urgent kind costs the urgent ones nothing, and those of its callers that come back find room.
Test(wait_queue, burst_of_the_least_urgent_kind_delays_no_urgent_one)
{
    Play play({ urgentKind(capacity * 0.5), within(batchKind(capacity * 3), seconds { 20 }, seconds { 24 }) }, places);
    cr_assert_geq(play.outcomes[0].inTimeShare(), 0.99, "%g", play.outcomes[0].inTimeShare());
    // From the start of the burst to the last deadline there is room for 0.67 of it.
    cr_assert_geq(play.outcomes[1].servedShare(), 0.45, "%g", play.outcomes[1].servedShare());
}

Test(wait_queue, callers_that_were_refused_come_back_when_there_is_room)
{
    // What the burst has left over fits into the room of the two seconds after it.
    Play play({ urgentKind(capacity * 0.4), within(urgentKind(capacity * 1.5), seconds { 20 }, seconds { 21 }) }, places);
    int back = play.outcomes[0].cameBack + play.outcomes[1].cameBack;
    int twice = play.outcomes[0].refusedTwice + play.outcomes[1].refusedTwice;
    cr_assert_gt(back, 5, "%d", back);
    cr_assert_leq(twice, back / 4, "%d of %d", twice, back);
}

Test(wait_queue, models_with_places_in_common_are_served_alike)
{
    auto rate = capacity * 2;
    auto rare = urgentKind(rate * 0.1);
    rare.model = "rare";
    Play play({ urgentKind(rate * 0.9), rare }, places);
    auto [usual, seldom] = std::pair(play.outcomes[0].servedShare(), play.outcomes[1].servedShare());
    cr_assert_geq(seldom, usual / 2, "%g and %g", usual, seldom);
}

namespace {

WaitingRequest makeRequest(uint64_t id, uint32_t priority, Time arrivedAt)
{
    return { id, "m", "", false, priority, "", arrivedAt, arrivedAt + seconds { 4 }, arrivedAt + seconds { 8 }, 0.1, 0 };
}

} // namespace

Test(wait_queue, only_requests_for_the_same_compete)
{
    WaitQueue queue;
    queue.add(makeRequest(1, 2, Time { 0 }), Time { 0 });
    auto other = makeRequest(2, 0, Time { 0 });
    other.adapter = "a1";
    queue.add(other, Time { 0 });
    auto retry = makeRequest(3, 0, Time { 0 });
    retry.alone = true;
    queue.add(retry, Time { 0 });
    for (uint64_t id = 1; id <= 3; id++)
        cr_assert(queue.decide(id, Time { 0 }).isFirst);
    queue.add(makeRequest(4, 1, Time { 0 }), Time { 0 });
    cr_assert(queue.decide(4, Time { 0 }).isFirst);
    cr_assert_not(queue.decide(1, Time { 0 }).isFirst);
    cr_assert_eq(queue.decide(1, Time { 0 }).position, 1U);
    cr_assert_eq(queue.waiting(0), 2U);
    cr_assert_eq(queue.firsts().size(), 3U);
    cr_assert_eq(queue.firsts().back(), 4U, "the urgent ones of the other groups are woken first");
    queue.start(4, Time { 0 });
    cr_assert(queue.decide(1, Time { 0 }).isFirst);
}

Test(wait_queue, request_that_waited_for_a_share_of_its_time_goes_before_one_that_is_a_step_more_urgent)
{
    WaitQueue queue;
    queue.add(makeRequest(1, 1, Time { 0 }), Time { 0 });
    auto later = std::chrono::duration_cast<Time>(seconds { 8 } * queueAgingShare);
    queue.add(makeRequest(2, 0, later - seconds { 1 }), later - seconds { 1 });
    cr_assert(queue.decide(2, later - seconds { 1 }).isFirst);
    cr_assert(queue.decide(1, later).isFirst, "its target is earlier, and its level the same now");
}

// Time that a model takes to load is no sign that there is little room.
Test(wait_queue, waiting_for_a_model_refuses_nobody)
{
    WaitQueue queue;
    for (uint64_t id = 1; id <= 40; id++)
        queue.add(makeRequest(id, 1, Time { 0 }), Time { 0 });
    for (auto now = Time { 0 }; now < seconds { 3 }; now += milliseconds { 40 }) {
        for (uint64_t id = 1; id <= 40; id++) {
            queue.recordBlocked(id, BlockReason::NoModel, Time { 0 }, now);
            cr_assert_eq(queue.decide(id, now).refusal, QueueRefusal::None);
        }
    }
}

// Requests that are refused one after the other are told different times.
Test(wait_queue, retry_after_grows_with_what_was_promised)
{
    WaitQueue queue;
    milliseconds last { 0 };
    queue.add(makeRequest(1, 0, Time { 0 }), Time { 0 });
    queue.recordBlocked(1, BlockReason::NoCapacity, seconds { 2 }, Time { 0 });
    int refused = 0;
    for (uint64_t id = 2; id <= 12; id++) {
        queue.add(makeRequest(id, 0, Time { 0 }), Time { 0 });
        queue.recordBlocked(id, BlockReason::NoCapacity, seconds { 2 }, Time { 0 });
        auto decision = queue.decide(id, Time { 0 });
        if (decision.refusal == QueueRefusal::None)
            continue;
        refused++;
        cr_assert_geq(decision.retryAfter, minRetryAfter);
        cr_assert_leq(decision.retryAfter, seconds { 8 });
        last = std::max(last, decision.retryAfter);
        queue.refuse(id, Time { 0 });
    }
    cr_assert_gt(refused, 3);
    cr_assert_gt(last, maxRetryAfter, "room is far off");
}

namespace {

/// Keeps requests of one priority waiting at a place that starts one every 100 ms, so that the queue knows the rate.
struct SteadyFlow {
    static constexpr milliseconds gap { 100 };

    void play(Time length, uint32_t priority)
    {
        for (auto end = this->now + length; this->now < end; this->now += gap) {
            while (this->queue.size() < 3)
                this->add(makeRequest(0, priority, this->now));
            auto first = this->queue.firsts().front();
            this->queue.recordBlocked(first, BlockReason::NoCapacity, gap, this->now);
            this->queue.decide(first, this->now);
            this->queue.start(this->queue.firsts().front(), this->now);
        }
    }
    uint64_t add(WaitingRequest request)
    {
        request.id = ++this->lastId;
        this->queue.add(request, this->now);
        this->queue.recordBlocked(request.id, BlockReason::NoCapacity, gap, this->now);
        return request.id;
    }
    QueueDecision decide(uint64_t id) { return this->queue.decide(id, this->now); }

    WaitQueue queue;
    Time now { seconds { 100 } };
    uint64_t lastId = 0;
};

} // namespace

// A VM that was suspended started nothing meanwhile, which tells nothing of the workers.
Test(wait_queue, rate_from_before_a_suspension_holds_after_it)
{
    SteadyFlow flow;
    flow.play(seconds { 6 }, 1);
    flow.now += seconds { 20 };
    for (int i = 0; i < 10; i++) {
        auto id = flow.add(makeRequest(0, 1, flow.now));
        cr_assert_eq(flow.decide(id).refusal, QueueRefusal::None, "request %d: expected to start after %g s", i, std::chrono::duration<double>(flow.decide(id).expectedStart).count());
    }
}

// account, would be served for minutes.
Test(wait_queue, request_of_absurd_size_keeps_nobody_else_out)
{
    SteadyFlow flow;
    flow.play(seconds { 6 }, 1);
    auto absurd = makeRequest(0, 0, flow.now);
    absurd.workSeconds = 143000;
    flow.queue.refuse(flow.add(absurd), flow.now);
    flow.play(seconds { 20 }, 1);
    auto id = flow.add(makeRequest(0, 1, flow.now));
    cr_assert_eq(flow.decide(id).refusal, QueueRefusal::None);
}

// Nor does an account earn a share by stating it.
Test(wait_queue, request_of_absurd_size_earns_its_account_no_share)
{
    WaitQueue queue;
    auto of = [](const std::string& account, uint64_t id, Time at, double work) {
        auto request = makeRequest(id, 0, at);
        request.account = account;
        request.workSeconds = work;
        return request;
    };
    Time now { 0 };
    queue.add(of("absurd", 1, now, 143000), now);
    queue.remove(1, now);
    for (uint64_t i = 2; i < 302; i++, now += milliseconds { 100 }) {
        queue.add(of("sound", i, now, 1), now);
        queue.start(i, now);
    }
    queue.add(of("sound", 1001, now, 1), now);
    queue.add(of("absurd", 1002, now, 0.1), now);
    cr_assert(queue.decide(1001, now).isFirst, "its account has sent nearly all work for half a minute");
}

// Room would not have helped a request for a model that nobody has, so it makes no kind go first.
Test(wait_queue, requests_for_what_is_missing_are_no_sign_of_starvation)
{
    WaitQueue queue;
    Time now { seconds { 1 } };
    for (uint64_t id = 1; id <= 20; id++) {
        auto missing = makeRequest(id, 2, now);
        missing.model = "missing";
        queue.add(missing, now);
        queue.recordBlocked(id, BlockReason::NoModel, Time { 0 }, now);
        queue.refuse(id, now);
        queue.add(makeRequest(100 + id, 0, now), now);
        queue.start(100 + id, now);
    }
    queue.add(makeRequest(200, 2, now), now);
    queue.add(makeRequest(201, 0, now), now);
    cr_assert(queue.decide(201, now).isFirst);
    cr_assert_not(queue.decide(200, now).isFirst);
}

// Callers can name any model and adapter.
Test(wait_queue, names_that_callers_make_up_are_not_remembered)
{
    WaitQueue queue;
    Time now { seconds { 1 } };
    for (uint64_t id = 1; id <= 1000; id++) {
        auto request = makeRequest(id, 1, now);
        request.adapter = "made-up-" + std::to_string(id);
        queue.add(request, now);
        queue.recordBlocked(id, BlockReason::NoAdapter, Time { 0 }, now);
        queue.decide(id, now);
        queue.refuse(id, now);
        auto retry = makeRequest(2000 + id, 1, now);
        retry.alone = true;
        queue.add(retry, now);
        queue.start(2000 + id, now);
    }
    cr_assert_leq(queue.rememberedCount(), 10U, "%zu", queue.rememberedCount());
}

// A kind that goes first as it is starved does not wait for the more urgent ones that arrive.
Test(wait_queue, starved_kind_is_not_refused_for_what_goes_after_it)
{
    SteadyFlow flow;
    for (int i = 0; i < 30; i++) {
        flow.play(milliseconds { 200 }, 0);
        // As many again are refused, and none of the starved kind is served.
        for (uint32_t priority : { 0U, 0U, 2U })
            flow.queue.refuse(flow.add(makeRequest(0, priority, flow.now)), flow.now);
    }
    std::vector<uint64_t> starved;
    for (int i = 0; i < 4; i++)
        starved.push_back(flow.add(makeRequest(0, 2, flow.now)));
    cr_assert(flow.decide(starved[0]).isFirst);
    for (auto id : starved)
        cr_assert_eq(flow.decide(id).refusal, QueueRefusal::None, "expected to start after %g s", std::chrono::duration<double>(flow.decide(id).expectedStart).count());
}

// What was not said to a caller is no promise: requests that wait for something else look at their place again and again.
Test(wait_queue, promises_are_made_by_refusals_only)
{
    WaitQueue queue;
    Time now { seconds { 4 } };
    for (uint64_t id = 1; id <= 5; id++) {
        queue.add(makeRequest(id, 0, Time { 0 }), now);
        queue.recordBlocked(id, BlockReason::NoCapacity, milliseconds { 250 }, now);
    }
    auto decision = queue.decide(5, now);
    cr_assert_eq(decision.refusal, QueueRefusal::Outranked);
    for (int i = 0; i < 10; i++)
        cr_assert_eq(queue.decide(5, now).retryAfter, decision.retryAfter);
    queue.refuse(5, now);
    queue.add(makeRequest(5, 0, Time { 0 }), now);
    cr_assert_gt(queue.decide(5, now).retryAfter, decision.retryAfter, "the same request comes after what was promised to it");
}

namespace {

/// Returns the processor time in which all of a number of waiting requests look at their place, in seconds.
double lookTime(size_t count)
{
    WaitQueue queue;
    Time now { seconds { 1 } };
    for (uint64_t id = 1; id <= count; id++) {
        auto request = makeRequest(id, id % 3, now);
        request.workSeconds = 0.05 + 0.01 * static_cast<double>(id % 7);
        queue.add(request, now);
    }
    double best = std::numeric_limits<double>::infinity();
    for (int round = 0; round < 3; round++) {
        now += milliseconds { 40 };
        auto before = std::clock();
        for (uint64_t id = 1; id <= count; id++) {
            queue.recordBlocked(id, BlockReason::NoCapacity, milliseconds { 1 }, now);
            queue.decide(id, now);
        }
        best = std::min(best, static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC);
    }
    return best;
}

} // namespace

// Guards against a queue that takes all of a VM's time when it is long, which is when the VM has most to do. Each request looks at its place
// every 40 ms. Of what grows with the square, four times as many take sixteen times as long.
Test(wait_queue, time_of_a_look_hardly_grows_with_the_length_of_the_queue)
{
    auto [some, many] = std::pair(lookTime(2000), lookTime(8000));
    cr_assert_lt(many, 10 * some, "%g s for 8,000, %g s for 2,000", many, some);
}

// Callers that give up are not refused, but the order has kept them from being served all the same.
Test(wait_queue, kind_whose_callers_give_up_does_not_starve)
{
    SteadyFlow flow;
    std::deque<std::pair<Time, uint64_t>> patient;
    int served = 0;
    for (int i = 0; i < 200; i++) {
        // Urgent callers alone keep the place busy.
        flow.add(makeRequest(0, 0, flow.now));
        if (i % 5 == 0)
            patient.emplace_back(flow.now + seconds { 3 }, flow.add(makeRequest(0, 2, flow.now)));
        auto first = flow.queue.firsts().front();
        for (int look = 0; look < 2; look++) {
            flow.decide(first);
            first = flow.queue.firsts().front();
        }
        flow.queue.start(first, flow.now);
        served += static_cast<int>(std::erase_if(patient, [first](const auto& item) { return item.second == first; }));
        while (!patient.empty() && patient.front().first <= flow.now) {
            flow.queue.remove(patient.front().second, flow.now);
            patient.pop_front();
        }
        flow.now += SteadyFlow::gap;
    }
    cr_assert_gt(served, 0);
}
