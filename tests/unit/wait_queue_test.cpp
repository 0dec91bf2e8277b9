/// Tests of the order in which waiting requests get places, and of refusals, by playing callers and places without a network. They guard against
/// urgent requests that wait for less urgent ones, kinds, sizes, models and accounts that are never served, places that stay free, and time
/// that is lost on requests whose answers come too late.
#include <criterion/criterion.h>
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
            this->queue.recordBlocked(id, true, *place - this->now, this->now);
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

Outcome sum(const std::vector<Outcome>& outcomes)
{
    Outcome all;
    for (const auto& outcome : outcomes) {
        all.sent += outcome.sent;
        all.served += outcome.served;
        all.inTime += outcome.inTime;
        all.refused += outcome.refused;
        all.refusedSlowly += outcome.refusedSlowly;
        all.cameBack += outcome.cameBack;
        all.refusedTwice += outcome.refusedTwice;
    }
    return all;
}

void show(const char* title, const Play& play)
{
    for (const auto& outcome : play.outcomes)
        std::fprintf(stderr, "%s sent %d served %.2f in time %.2f refused %d slowly %d with room %d back %d twice %d large %.2f busy %.1f\n", title, outcome.sent, outcome.servedShare(), outcome.inTimeShare(), outcome.refused, outcome.refusedSlowly, outcome.refusedWithRoom, outcome.cameBack, outcome.refusedTwice, outcome.largeServedShare(), play.busySeconds);
}

} // namespace

Test(wait_queue, explore)
{
    for (double load : { 0.7, 1.0, 1.5, 2.0, 3.0 }) {
        auto rate = capacity * load;
        Play play({ urgentKind(rate * 0.4), normalKind(rate * 0.4), batchKind(rate * 0.2) }, places);
        show(std::to_string(load).c_str(), play);
    }
    for (double load : { 1.5, 2.0, 3.0 }) {
        auto rate = capacity * load;
        Play play({ urgentKind(rate * 0.8), batchKind(rate * 0.2) }, places);
        show(("u" + std::to_string(load)).c_str(), play);
    }
    {
        auto hot = urgentKind(capacity * 0.2);
        hot.account = "hot";
        auto more = hot;
        more.perSecond *= 6;
        more.from = seconds { 20 };
        more.until = seconds { 40 };
        auto b = urgentKind(capacity * 0.2), c = urgentKind(capacity * 0.2), d = urgentKind(capacity * 0.2);
        b.account = "b"; c.account = "c"; d.account = "d";
        Play play({ hot, more, b, c, d }, places);
        show("hot", play);
    }
    {
        auto burst = batchKind(capacity * 3);
        burst.from = seconds { 20 };
        burst.until = seconds { 24 };
        Play play({ urgentKind(capacity * 0.5), burst }, places);
        show("burst", play);
    }
    {
        auto burst = urgentKind(capacity * 3);
        burst.from = seconds { 20 };
        burst.until = seconds { 22 };
        Play play({ urgentKind(capacity * 0.5), burst }, places);
        show("burst2", play);
    }
}
