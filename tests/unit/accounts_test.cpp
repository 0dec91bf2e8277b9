/// Tests of client accounts: keys, and quotas over all VMs in a simulated world of VMs that lag, lose messages, stop and come back.
#include <accounts/accounts.h>
#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace comfreypier::accounts;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time start = seconds { 100 };

double toSeconds(Time time)
{
    return std::chrono::duration<double>(time).count();
}

ClientAccount makeAccount(const std::string& name, std::vector<std::string> keys, const Quota& quota = {})
{
    return { name, std::move(keys), std::nullopt, quota };
}

/// How the VMs of the simulated world share a quota.
enum class Sharing {
    Holder, ///< As the product does.
    EqualShares, ///< Each VM grants an equal part of the rate and the burst.
    DemandShares, ///< Each VM grants a part as large as its part of the demand in the last report, of a report interval ago.
};

/// VMs that serve one account's requests, each with its own clock, and the network between them. Everything follows from the seed.
class World {
public:
    struct Options {
        int vms = 5;
        Quota quota { QuotaUnit::Requests, 40, 20, 0 };
        double loss = 0; ///< Share of the datagrams that are lost.
        milliseconds maxLag { 4 }; ///< Of a datagram.
        Sharing sharing = Sharing::Holder;
    };

    World(const Options& options, uint64_t seed)
        : options(options)
        , random(seed)
    {
        for (int i = 0; i < options.vms; i++)
            this->addVm();
    }

    /// Adds a VM, or starts one again, with an empty memory.
    void addVm(int number = -1)
    {
        auto index = number < 0 ? this->vms.size() : static_cast<size_t>(number);
        if (number < 0)
            this->vms.push_back({});
        auto& vm = this->vms[index];
        vm = {};
        vm.name = "vm" + std::to_string(index);
        vm.incarnation = this->random();
        vm.weight = index % 3 == 0 ? 1.0 : 0.25;
        vm.ledger = std::make_unique<QuotaLedger>(vm.name, vm.incarnation);
        vm.lastAsk = this->random();
        vm.running = true;
        vm.clockOffset = milliseconds { static_cast<int64_t>(this->random() % 100000) };
        vm.share = options.sharing == Sharing::Holder ? std::nullopt : std::optional(TokenBucket(this->shareOf(1.0 / this->options.vms), 0, this->now));
        this->applyQuota(vm);
        this->after(milliseconds { static_cast<int64_t>(this->random() % 250) }, [this, index, incarnation = vm.incarnation] { this->tick(index, incarnation); });
    }
    void kill(int vm) { this->vms[static_cast<size_t>(vm)].running = false; }
    void setCut(int vm, bool cut) { this->vms[static_cast<size_t>(vm)].cut = cut; }
    /// Suspends a VM. What arrives in the meantime is handled when it goes on.
    void freeze(int vm) { this->vms[static_cast<size_t>(vm)].frozen = true; }
    void thaw(int vm)
    {
        auto& node = this->vms[static_cast<size_t>(vm)];
        node.frozen = false;
        auto waiting = std::move(node.waiting);
        for (auto& task : waiting)
            task();
    }
    void setQuota(const Quota& quota)
    {
        this->options.quota = quota;
        for (auto& vm : this->vms)
            this->applyQuota(vm);
    }
    /// A caller's request at a VM.
    void request(int number, double cost = 1)
    {
        auto index = static_cast<size_t>(number);
        auto& vm = this->vms[index];
        if (!vm.running)
            return;
        if (vm.frozen)
            return vm.waiting.push_back([this, number, cost] { this->request(number, cost); });
        vm.demand += cost;
        this->requests++;
        if (this->options.sharing != Sharing::Holder) {
            vm.share->setQuota(this->shareOf(this->options.sharing == Sharing::EqualShares ? 1.0 / static_cast<double>(this->vms.size()) : vm.demandShare), this->now);
            bool fits = vm.share->timeUntil(cost, this->now) == Time { 0 };
            if (fits)
                vm.share->add(-cost, this->now);
            return this->record(fits, cost);
        }
        if (vm.ledger->ranking("a").empty())
            vm.ledger->setVms(this->view(index), this->clock(vm));
        auto ask = ++vm.lastAsk;
        vm.asks.emplace(ask, std::pair { AskSequence(vm.contacts.choose(vm.ledger->ranking("a"), this->view(index)), milliseconds { 150 }, this->now), cost });
        this->goOn(index, vm.incarnation, ask);
    }
    /// Runs until `end`, with `perSecond` requests a second, the VMs of which `pick` chooses.
    void run(Time duration, double perSecond, const std::function<int()>& pick)
    {
        auto end = this->now + duration;
        auto next = this->now;
        while (this->now < end) {
            if (next <= this->now) {
                this->request(pick());
                next += std::chrono::duration_cast<Time>(std::chrono::duration<double>(this->exponential() / std::max(perSecond, 1e-9)));
            }
            this->advance(std::min(next, end));
        }
    }
    /// Chooses any running VM.
    int any()
    {
        while (true) {
            auto vm = this->random() % this->vms.size();
            if (this->vms[vm].running)
                return static_cast<int>(vm);
        }
    }
    /// Returns the VM that ranks at `position` for the account.
    int ranked(size_t position) const
    {
        std::vector<QuotaVm> list;
        for (const auto& vm : this->vms)
            list.push_back({ vm.name, vm.weight });
        return std::stoi(rankQuotaVms("a", list)[position].substr(2));
    }
    /// Returns what was granted beyond (rate x window + burst) in the window with most, in units; negative if it is less.
    double overshoot(Time window, Time from = Time { 0 }) const
    {
        double most = -INFINITY;
        double sum = 0;
        size_t first = 0;
        for (const auto& [at, cost] : this->granted) {
            if (at < from)
                continue;
            sum += cost;
            while (this->granted[first].first < std::max(from, at - window))
                sum -= this->granted[first].first >= from ? this->granted[first].second : 0, first++;
            most = std::max(most, sum - (this->options.quota.ratePerSecond * toSeconds(window) + this->options.quota.burst));
        }
        return most;
    }
    int refusedSince(Time from) const
    {
        return static_cast<int>(std::count_if(this->refused.begin(), this->refused.end(), [from](Time at) { return at >= from; }));
    }

    Time now = start;
    int requests = 0;
    std::vector<std::pair<Time, double>> granted;
    std::vector<Time> refused;

private:
    struct Vm {
        std::string name;
        uint64_t incarnation = 0;
        double weight = 1;
        std::unique_ptr<QuotaLedger> ledger;
        QuotaContacts contacts;
        GrantedRate rate;
        uint64_t lastAsk = 0;
        std::map<uint64_t, std::pair<AskSequence, double>> asks;
        bool running = false;
        bool cut = false;
        bool frozen = false;
        std::vector<std::function<void()>> waiting;
        Time clockOffset { 0 };
        std::map<std::string, Time> heardAt;
        std::optional<TokenBucket> share;
        double demand = 0;
        double demandShare = 0;
    };
    struct Event {
        Time at;
        uint64_t number;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::pair(this->at, this->number) > std::pair(other.at, other.number); }
    };

    Quota shareOf(double share) const { return { this->options.quota.unit, this->options.quota.ratePerSecond * share + 1e-9, this->options.quota.burst * share + 1e-9, 0 }; }
    double exponential() { return -std::log((static_cast<double>(this->random() >> 11) + 0.5) / static_cast<double>(1ULL << 53)); }
    Time clock(const Vm& vm) const { return this->now + vm.clockOffset; }
    void applyQuota(Vm& vm)
    {
        auto at = this->clock(vm);
        vm.ledger->setAccounts({ makeAccount("a", {}, this->options.quota) }, at);
    }
    void after(Time delay, std::function<void()> task) { this->events.push({ this->now + delay, this->eventCount++, std::move(task) }); }
    void advance(Time until)
    {
        while (!this->events.empty() && this->events.top().at <= until) {
            auto event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.run();
        }
        this->now = until;
    }
    /// Runs a task on a VM, later if it is frozen, never if it was stopped.
    void onVm(size_t index, uint64_t incarnation, const std::function<void()>& task)
    {
        auto& vm = this->vms[index];
        if (!vm.running || vm.incarnation != incarnation)
            return;
        if (vm.frozen)
            vm.waiting.push_back([this, index, incarnation, task] { this->onVm(index, incarnation, task); });
        else
            task();
    }
    /// Sends a datagram that `handle` receives on the other VM.
    void send(size_t from, const std::string& name, const std::function<void(size_t, Vm&)>& handle)
    {
        auto to = static_cast<size_t>(std::stoi(name.substr(2)));
        bool lost = this->exponential() < -std::log(1 - this->options.loss);
        if (lost || this->vms[from].cut)
            return;
        auto lag = milliseconds { 1 } + Time { static_cast<int64_t>(this->random() % static_cast<uint64_t>(Time { this->options.maxLag }.count())) };
        this->after(lag, [this, from, to, handle, incarnation = this->vms[to].incarnation] {
            if (this->vms[to].cut)
                return;
            this->onVm(to, incarnation, [this, from, to, handle] {
                this->vms[to].heardAt[this->vms[from].name] = this->now;
                handle(to, this->vms[to]);
            });
        });
    }
    std::vector<QuotaVm> view(size_t index) const
    {
        std::vector<QuotaVm> list;
        for (const auto& vm : this->vms) {
            auto heard = this->vms[index].heardAt.find(vm.name);
            auto heardAt = heard == this->vms[index].heardAt.end() ? Time { 0 } : heard->second;
            list.push_back({ vm.name, vm.weight, vm.name == this->vms[index].name || heardAt == Time { 0 } || this->now - heardAt < seconds { 2 }, heardAt });
        }
        return list;
    }
    /// Does what a VM does at each report interval. Also stands for its heartbeats.
    void tick(size_t index, uint64_t incarnation)
    {
        this->onVm(index, incarnation, [this, index] {
            auto& vm = this->vms[index];
            vm.ledger->setVms(this->view(index), this->clock(vm));
            this->sendReports(index, false);
            double total = 0;
            for (const auto& other : this->vms) {
                total += other.demand;
                if (other.name != vm.name)
                    this->send(index, other.name, [](size_t, Vm&) {});
            }
            vm.demandShare = total > 0 ? vm.demand / total : 0;
            vm.demand *= 0.8;
        });
        this->after(levelReportInterval, [this, index, incarnation] { this->tick(index, incarnation); });
    }
    void sendReports(size_t index, bool onlyUrgent)
    {
        for (const auto& [node, report] : this->vms[index].ledger->takeReports(this->clock(this->vms[index]), onlyUrgent))
            this->sendReport(index, node, report);
    }
    void sendReport(size_t from, const std::string& node, const LevelReport& report)
    {
        this->send(from, node, [this, from, report, incarnation = this->vms[from].incarnation](size_t to, Vm& vm) {
            if (auto answer = vm.ledger->receive(this->vms[from].name, incarnation, report, this->clock(vm)))
                this->sendReport(to, this->vms[from].name, *answer);
        });
    }
    /// Goes on with a request's asks.
    void goOn(size_t index, uint64_t incarnation, uint64_t ask)
    {
        auto& vm = this->vms[index];
        auto found = vm.asks.find(ask);
        if (!vm.running || vm.incarnation != incarnation || found == vm.asks.end())
            return;
        auto& [sequence, cost] = found->second;
        auto step = sequence.next(this->now);
        for (; step.action == AskSequence::Action::Ask; step = sequence.next(this->now)) {
            if (step.vm == vm.name) {
                sequence.recordAnswer(vm.name, vm.ledger->charge("a", ask, cost, this->clock(vm)));
                continue;
            }
            this->send(index, step.vm, [this, index, incarnation, ask, cost = cost](size_t to, Vm& other) {
                auto answer = other.ledger->charge("a", ask, cost, this->clock(other));
                if (other.ledger->hasUrgentReports())
                    this->sendReports(to, true);
                this->send(to, this->vms[index].name, [this, index, incarnation, ask, answer, name = other.name](size_t, Vm& asker) {
                    asker.contacts.recordAnswer(name);
                    if (auto open = asker.asks.find(ask); open != asker.asks.end()) {
                        open->second.first.recordAnswer(name, answer);
                        this->goOn(index, incarnation, ask);
                    }
                });
            });
        }
        if (step.action == AskSequence::Action::Wait)
            return this->after(step.until - this->now, [this, index, incarnation, ask] { this->onVm(index, incarnation, [this, index, incarnation, ask] { this->goOn(index, incarnation, ask); }); });
        if (vm.ledger->hasUrgentReports())
            this->sendReports(index, true);
        for (const auto& silent : sequence.silentVms())
            vm.contacts.recordSilence(silent, this->now);
        for (const auto& other : sequence.unanswered())
            this->send(index, other, [ask, this](size_t, Vm& target) { target.ledger->giveBack(ask, this->clock(target)); });
        auto decision = sequence.decision();
        bool granted = decision ? decision->outcome == ChargeOutcome::Granted : vm.rate.tryGrant(cost, this->clock(vm));
        if (decision)
            vm.rate.record(cost, granted, this->clock(vm));
        this->record(granted, cost);
        vm.asks.erase(ask);
    }
    void record(bool fits, double cost)
    {
        if (fits)
            this->granted.emplace_back(this->now, cost);
        else
            this->refused.push_back(this->now);
    }

    Options options;
    std::mt19937_64 random;
    std::vector<Vm> vms;
    std::priority_queue<Event> events;
    uint64_t eventCount = 0;
};

} // namespace

// Guards against accounts that get the requests of others, and against callers without a key that get through.
Test(keys, belong_to_the_account_that_has_them)
{
    const std::vector<ClientAccount> accounts { makeAccount("a", { "k1", "k2", "" }), makeAccount("b", { "k3", "k1" }) };
    const KeyTable table(accounts);
    cr_assert_eq(table.size(), 3U);
    cr_assert(table.find("k1") == std::optional<size_t>(0), "the first of two accounts with a key has it");
    cr_assert(table.find("k2") == std::optional<size_t>(0));
    cr_assert(table.find("k3") == std::optional<size_t>(1));
    for (const char* key : { "", "k", "k11", "K1", "k4" })
        cr_assert_not(table.find(key).has_value(), "\"%s\" is no key", key);
}

Test(keys, that_no_account_has_are_refused_unless_the_route_is_open)
{
    cr_assert_eq(decideKey(true, true, 3, 3), KeyDecision::Accepted);
    cr_assert_eq(decideKey(false, false, 3, 3), KeyDecision::Accepted);
    cr_assert_eq(decideKey(true, false, 3, 3), KeyDecision::Unknown);
    cr_assert_eq(decideKey(true, false, 2, 3), KeyDecision::Outdated, "a newer configuration may have the key");
    cr_assert_eq(decideKey(true, true, 2, 3), KeyDecision::Accepted);
}

Test(quotas, count_requests_or_tokens)
{
    const Quota tokens { QuotaUnit::Tokens, 100, 50, 200 };
    cr_assert_eq(quotaCost(tokens, 12), 12);
    cr_assert_eq(quotaCost(tokens, std::nullopt), 200);
    cr_assert_eq(quotaCost({ QuotaUnit::Requests, 1, 1, 200 }, 12), 1);
}

// Guards against a bucket that grants more than its rate and burst, or tells callers to come back too early.
// Rates of different units, or an unlimited one beside others, say nothing about shares.
Test(quotas, are_weights_only_if_all_are_comparable)
{
    auto weights = [](const Quota& a, const Quota& b) {
        std::vector<ClientAccount> accounts { makeAccount("a", {}, a), makeAccount("b", {}, b) };
        setWeights(accounts);
        return std::pair(accounts[0].weight, accounts[1].weight);
    };
    Quota requests { QuotaUnit::Requests, 5, 1, 0 };
    cr_assert(weights(requests, { QuotaUnit::Requests, 20, 0, 0 }) == std::pair(5.0, 20.0));
    cr_assert(weights(requests, { QuotaUnit::Tokens, 20, 0, 0 }) == std::pair(0.0, 0.0));
    cr_assert(weights(requests, { QuotaUnit::Requests, 0, 0, 0 }) == std::pair(0.0, 0.0));
    std::vector<ClientAccount> none;
    setWeights(none);
}

Test(quotas, bucket_grants_rate_and_burst)
{
    const bool held = rc::check("no window holds more than the rate and the burst", [] {
        const Quota quota { QuotaUnit::Tokens, static_cast<double>(*rc::gen::inRange(1, 100)), static_cast<double>(*rc::gen::inRange(1, 300)), 0 };
        TokenBucket bucket(quota, quota.burst, start);
        std::vector<std::pair<Time, double>> grants;
        auto now = start;
        for (const auto& [gapMs, cost] : *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 2000), rc::gen::inRange(1, 320)))) {
            now += milliseconds { gapMs };
            auto wait = bucket.timeUntil(cost, now);
            RC_ASSERT(wait.has_value() == (cost <= quota.burst));
            if (!wait)
                continue;
            if (*wait > Time { 0 }) {
                RC_ASSERT(bucket.timeUntil(cost, now + *wait) == std::optional(Time { 0 }));
                RC_ASSERT(bucket.timeUntil(cost, now + *wait - milliseconds { 2 }) != std::optional(Time { 0 }) || *wait < milliseconds { 2 });
                continue;
            }
            bucket.add(-cost, now);
            grants.emplace_back(now, cost);
        }
        for (size_t first = 0; first < grants.size(); first++) {
            double sum = 0;
            for (size_t last = first; last < grants.size(); last++) {
                sum += grants[last].second;
                RC_ASSERT(sum <= quota.burst + quota.ratePerSecond * toSeconds(grants[last].first - grants[first].first) + 1e-3);
            }
        }
    });
    cr_assert(held);
}

// Guards against buckets that use more of a window than a deployment tolerates.
Test(quotas, bucket_with_tolerance_stays_within_it)
{
    const Quota quota { QuotaUnit::Tokens, 100, 50, 0 };
    const QuotaTolerance tolerance { seconds { 8 }, 0.1, 200 };
    auto kept = quotaWithTolerance(quota, tolerance);
    cr_assert_float_eq(kept.ratePerSecond, quota.ratePerSecond, 1e-9);
    auto allowed = quota.ratePerSecond * 8 + quota.burst;
    cr_assert_lt(quotaCapacity(kept) + kept.ratePerSecond * 8, allowed * 1.1 + 200 - 0.4 * (allowed * 0.1 + 200));
    cr_assert_gt(quotaCapacity(kept), quota.burst + 100);
    cr_assert(quotaWithTolerance(quota, {}) == quota, "without tolerance the burst is all");
}

// Guards against a quota without a burst that gets a second's worth beyond what a deployment tolerates.
Test(quotas, buckets_without_a_burst_stay_within_the_tolerance)
{
    for (auto unit : { QuotaUnit::Requests, QuotaUnit::Tokens }) {
        for (double rate : { 20.0, 1000.0 }) {
            for (const QuotaTolerance& tolerance : { QuotaTolerance { seconds { 8 }, 0.1, 0 }, QuotaTolerance { seconds { 8 }, 0.05, 10 }, QuotaTolerance { seconds { 60 }, 0.5, 0 } }) {
                auto kept = quotaWithTolerance({ unit, rate, 0, 0 }, tolerance);
                auto allowed = rate * toSeconds(tolerance.window);
                cr_assert_leq(quotaCapacity(kept) + rate * toSeconds(tolerance.window), allowed * (1 + tolerance.overage) + tolerance.slack + 1e-6, "%g a second", rate);
                cr_assert_geq(quotaCapacity(kept), bucketToleranceShare * (allowed * tolerance.overage + tolerance.slack) - 1e-6);
            }
        }
    }
}

Test(quotas, lowered_and_raised_ones_hold_at_once)
{
    TokenBucket bucket({ QuotaUnit::Requests, 10, 100, 0 }, 100, start);
    bucket.setQuota({ QuotaUnit::Requests, 1, 5, 0 }, start);
    cr_assert_float_eq(bucket.level(start), 5, 1e-9);
    bucket.setQuota({ QuotaUnit::Requests, 20, 200, 0 }, start);
    cr_assert_float_eq(bucket.level(start), 5, 1e-9, "what was taken away does not come back");
    cr_assert_float_eq(bucket.level(start + seconds { 1 }), 25, 1e-9);
    cr_assert_not(bucket.timeUntil(201, start).has_value());
}

/// Returns a ledger that is alone with the account `a`, with a full bucket of 10 at a rate of 1.
static QuotaLedger makeLedger()
{
    QuotaLedger ledger("vm0", 1);
    ledger.setVms({ { "vm0" } }, start);
    ledger.setAccounts({}, start);
    ledger.setAccounts({ makeAccount("a", {}, { QuotaUnit::Requests, 1, 10, 0 }) }, start);
    return ledger;
}

// Guards against requests that count twice as their datagram was sent twice, and against those that count though they have not run.
Test(quotas, request_is_charged_once_and_given_back_once)
{
    auto ledger = makeLedger();
    cr_assert_eq(ledger.charge("a", 1, 4, start).outcome, ChargeOutcome::Granted);
    cr_assert_eq(ledger.charge("a", 1, 4, start).outcome, ChargeOutcome::Granted);
    cr_assert_float_eq(ledger.level("a", start).value(), 6, 1e-9);
    ledger.giveBack(1, start);
    ledger.giveBack(1, start);
    cr_assert_float_eq(ledger.level("a", start).value(), 10, 1e-9);
    // The return overtakes its ask.
    ledger.giveBack(2, start);
    ledger.charge("a", 2, 4, start);
    cr_assert_float_eq(ledger.level("a", start).value(), 10, 1e-9);
    auto refusal = ledger.charge("a", 3, 5, start);
    cr_assert_eq(refusal.outcome, ChargeOutcome::Granted);
    refusal = ledger.charge("a", 4, 8, start);
    cr_assert_eq(refusal.outcome, ChargeOutcome::Refused);
    cr_assert_float_eq(toSeconds(refusal.retryAfter), 3, 1e-6);
    cr_assert_eq(ledger.charge("b", 5, 1, start).outcome, ChargeOutcome::Unknown);
}

// Guards against a start that gives the burst again.
Test(quotas, first_configuration_of_a_start_brings_no_burst)
{
    QuotaLedger ledger("vm0", 1);
    ledger.setVms({ { "vm0" } }, start);
    ledger.setAccounts({ makeAccount("a", {}, { QuotaUnit::Requests, 1, 10, 0 }) }, start);
    cr_assert_eq(ledger.charge("a", 1, 1, start).outcome, ChargeOutcome::Refused);
    cr_assert_eq(ledger.charge("a", 2, 1, start + seconds { 1 }).outcome, ChargeOutcome::Granted);
    // One that a later configuration adds was charged nowhere.
    ledger.setAccounts({ makeAccount("a", {}, { QuotaUnit::Requests, 1, 10, 0 }), makeAccount("b", {}, { QuotaUnit::Requests, 1, 10, 0 }) }, start + seconds { 1 });
    cr_assert_eq(ledger.charge("b", 3, 10, start + seconds { 1 }).outcome, ChargeOutcome::Granted);
}

// Guards against limits that end because a wait does not fit the clock.
Test(quotas, waits_of_any_length_are_refusals)
{
    for (const Quota& quota : { Quota { QuotaUnit::Requests, 1e-12, 1, 0 }, Quota { QuotaUnit::Tokens, 1, 1e15, 0 }, Quota { QuotaUnit::Tokens, 5e-324, 1e300, 0 } }) {
        TokenBucket bucket(quota, 0, start);
        auto wait = bucket.timeUntil(quota.burst, start);
        cr_assert(wait && *wait > Time { 0 } && start + *wait > start, "%g a second", quota.ratePerSecond);
    }
}

// Guards against a bucket that stays confirmed for ever, as a report answers one that this VM has not sent yet.
Test(quotas, answers_to_reports_of_the_future_confirm_nothing)
{
    QuotaLedger ledger("vm0", 1);
    ledger.setVms({ { "vm0" }, { "vm1" } }, start - seconds { 60 });
    for (auto at = start - seconds { 60 }; at < start; at += seconds { 1 })
        ledger.setAccounts({}, at);
    ledger.setAccounts({ makeAccount("a", {}, { QuotaUnit::Requests, 1, 10, 0 }) }, start);
    LevelReport report { "a", true, 10, 0, start, 1, 0, start + std::chrono::hours { 1 }, false };
    ledger.receive("vm1", 2, report, start);
    cr_assert(ledger.level("a", start + milliseconds { 100 }).has_value());
    cr_assert_not(ledger.level("a", start + seconds { 1 }).has_value(), "no VM has confirmed it for a second");
}

// Guards against a VM that was away while an account was added, and gives it the burst once more when it is back.
Test(quotas, accounts_that_appear_after_an_absence_begin_without_a_level)
{
    const std::vector<QuotaVm> vms { { "vm0" }, { "vm1" } };
    std::vector<QuotaVm> cut { { "vm0" }, { "vm1" } };
    cut[1].alive = false;
    auto account = makeAccount("a", {}, { QuotaUnit::Requests, 1, 10, 0 });
    auto other = makeAccount("b", {}, { QuotaUnit::Requests, 1, 10, 0 });
    enum class Absence { None,
        Start,
        Suspension,
        Cut };
    for (auto absence : { Absence::None, Absence::Start, Absence::Suspension, Absence::Cut }) {
        QuotaLedger ledger("vm0", 1);
        ledger.setVms(vms, start);
        ledger.setAccounts({ other }, start);
        auto now = start;
        auto run = [&](Time duration, const std::vector<QuotaVm>& view) {
            for (auto end = now + duration; now < end; now += seconds { 1 }) {
                ledger.setVms(view, now);
                ledger.recordRunning(now);
            }
        };
        run(seconds { absence == Absence::Start ? 2 : 60 }, vms);
        if (absence == Absence::Suspension)
            now += seconds { 20 };
        if (absence == Absence::Cut) {
            ledger.setVms(cut, now);
            for (int i = 0; i < 20; i++, now += seconds { 1 })
                ledger.recordRunning(now);
        }
        if (absence != Absence::None)
            run(seconds { 1 }, vms);
        ledger.setAccounts({ other, account }, now);
        cr_assert_eq(ledger.level("a", now).has_value(), absence == Absence::None, "absence %d", static_cast<int>(absence));
    }
}

// Guards against operators' changes that give an account its burst again, at once or as another VM's sum of charges begins anew.
Test(quotas, accounts_that_come_back_keep_their_level)
{
    auto account = makeAccount("a", {}, { QuotaUnit::Requests, 1, 10, 0 });
    auto unlimited = makeAccount("a", {}, {});
    for (const auto& between : { std::vector<ClientAccount> {}, std::vector { unlimited } }) {
        QuotaLedger holder("vm0", 1);
        QuotaLedger copy("vm1", 2);
        for (auto* ledger : { &holder, &copy }) {
            ledger->setVms({ { "vm0" }, { "vm1" } }, start - seconds { 60 });
            for (auto at = start - seconds { 60 }; at < start; at += seconds { 1 })
                ledger->setAccounts({}, at);
            ledger->setAccounts({ account }, start);
        }
        auto report = [&](Time now) {
            for (const auto& [vm, sent] : holder.takeReports(now, false)) {
                if (auto answer = copy.receive("vm0", 1, sent, now))
                    holder.receive("vm1", 2, *answer, now);
            }
            for (const auto& [vm, sent] : copy.takeReports(now, false)) {
                if (auto answer = holder.receive("vm1", 2, sent, now))
                    copy.receive("vm0", 1, *answer, now);
            }
        };
        report(start);
        cr_assert_eq(holder.charge("a", 1, 8, start).outcome, ChargeOutcome::Granted);
        report(start + milliseconds { 1 });
        // The second VM has both versions at once.
        holder.setAccounts(between, start + milliseconds { 2 });
        holder.setAccounts({ account }, start + milliseconds { 100 });
        auto now = start + milliseconds { 101 };
        cr_assert_lt(holder.level("a", now).value_or(0), 2.2);
        report(now);
        cr_assert_lt(copy.level("a", now).value_or(0), 2.2, "the second VM has %g", copy.level("a", now).value_or(0));
        // What comes back later is full.
        for (auto at = now; at < now + std::chrono::hours { 1 }; at += seconds { 1 })
            holder.setAccounts({}, at);
        holder.setAccounts({ account }, now + std::chrono::hours { 1 });
        cr_assert_float_eq(holder.level("a", now + std::chrono::hours { 1 }).value(), 10, 1e-9);
    }
}

// Guards against a charge in one unit that is given back in another.
Test(quotas, charges_in_a_former_unit_are_not_given_back)
{
    QuotaLedger ledger("vm0", 1);
    ledger.setVms({ { "vm0" } }, start);
    ledger.setAccounts({}, start);
    ledger.setAccounts({ makeAccount("a", {}, { QuotaUnit::Tokens, 100, 1000, 0 }) }, start);
    cr_assert_eq(ledger.charge("a", 1, 1000, start).outcome, ChargeOutcome::Granted);
    ledger.setAccounts({ makeAccount("a", {}, { QuotaUnit::Requests, 1, 10, 0 }) }, start);
    ledger.giveBack(1, start);
    cr_assert_float_eq(ledger.level("a", start).value(), 0, 1e-9);
}

// Guards against weak VMs that answer for many accounts, and against accounts that change their holder without need.
Test(quotas, holders_are_weighted_and_stay)
{
    std::vector<QuotaVm> vms;
    vms.reserve(20);
    for (int i = 0; i < 20; i++)
        vms.push_back({ "vm" + std::to_string(i), i < 10 ? 0.5 : 0.05 });
    int weak = 0;
    int moved = 0;
    constexpr int accounts = 2000;
    for (int i = 0; i < accounts; i++) {
        auto ranking = rankQuotaVms("account" + std::to_string(i), vms);
        weak += std::stoi(ranking[0].substr(2)) >= 10 ? 1 : 0;
        auto fewer = vms;
        fewer.erase(fewer.begin() + 3);
        auto without = rankQuotaVms("account" + std::to_string(i), fewer);
        moved += without[0] != ranking[0] ? 1 : 0;
        std::erase(ranking, "vm3");
        cr_assert(without == ranking, "the others keep their order");
    }
    cr_assert(weak > accounts / 20 && weak < accounts / 7, "weak VMs hold %d of %d", weak, accounts);
    cr_assert_lt(moved, accounts / 6);
}

// Guards against waits beyond a part of the target latency, and against VMs that are asked without end.
Test(quotas, asks_end_in_time)
{
    AskSequence sequence({ "vm0", "vm1", "vm2" }, milliseconds { 150 }, start);
    std::map<std::string, int> asked;
    auto now = start;
    for (auto step = sequence.next(now); step.action != AskSequence::Action::Done; step = sequence.next(now)) {
        if (step.action == AskSequence::Action::Ask)
            asked[step.vm]++;
        else
            now = step.until;
    }
    cr_assert(asked == (std::map<std::string, int> { { "vm0", 2 }, { "vm1", 2 } }) || asked.size() == 3);
    cr_assert_leq(now - start, milliseconds { 76 });
    cr_assert_not(sequence.decision().has_value());
    cr_assert_eq(sequence.unanswered().size(), asked.size());
}

Test(quotas, late_answer_of_the_first_vm_decides_and_the_second_gives_back)
{
    AskSequence sequence({ "vm0", "vm1" }, milliseconds { 400 }, start);
    auto now = start;
    while (sequence.next(now).vm != "vm1")
        now += milliseconds { 1 };
    cr_assert(sequence.recordAnswer("vm0", { ChargeOutcome::Granted, Time { 0 } }));
    cr_assert_not(sequence.recordAnswer("vm1", { ChargeOutcome::Granted, Time { 0 } }));
    cr_assert_eq(sequence.next(now).action, AskSequence::Action::Done);
    cr_assert(sequence.decidedBy() == "vm0");
    cr_assert(sequence.unanswered() == std::vector<std::string> { "vm1" });
    cr_assert(sequence.silentVms().empty());
}

// Guards against a VM without contact that grants more than it did before, or the burst again.
Test(quotas, vm_without_contact_keeps_to_its_recent_rate)
{
    GrantedRate rate;
    auto now = start;
    cr_assert_not(rate.tryGrant(1, now), "an empty memory grants nothing");
    for (; now < start + seconds { 60 }; now += milliseconds { 200 })
        rate.record(1, true, now);
    int granted = 0;
    auto end = now + seconds { 20 };
    for (; now < end; now += milliseconds { 10 })
        granted += rate.tryGrant(1, now) ? 1 : 0;
    cr_assert(granted >= 90 && granted <= 105, "%d in 20 s at 5 a second", granted);
}

// Guards against a rate that is no number, as only requests without tokens were granted: it would have no limit.
Test(quotas, requests_without_cost_give_no_rate)
{
    GrantedRate rate;
    rate.record(0, true, start);
    for (int i = 0; i < 3; i++)
        cr_assert_not(rate.tryGrant(1, start + seconds { i }));
}

namespace {

constexpr Time window = seconds { 8 };
/// Time after the start until the VMs know each other and buckets have begun to fill.
constexpr Time settleTime = seconds { 3 };
/// Share of (rate x window + burst) that a window may hold in addition while VMs stop and links fail.
constexpr double maxOvershootShare = 0.1;

double allowance(const Quota& quota)
{
    return quota.ratePerSecond * toSeconds(window) + quota.burst;
}

/// Trouble that the world is put to.
enum class Trouble {
    None,
    KillHolder, ///< The holder stops for good.
    RestartHolder, ///< The holder stops and comes back with an empty memory.
    RestartAll, ///< All VMs start again one after the other.
    RestartTogether, ///< All VMs stop at the same moment and start again.
    CutHolder, ///< The holder loses its links for some time.
    CutOther,
    FreezeHolder,
    AddVms,
    Lossy,
    Count
};

const char* name(Trouble trouble)
{
    constexpr std::array<const char*, static_cast<size_t>(Trouble::Count)> names { "none", "holder stops", "holder restarts", "all restart in turn", "all restart together", "holder cut off", "another VM cut off", "holder suspended", "VMs added", "a tenth of datagrams lost" };
    return names[static_cast<size_t>(trouble)];
}

/// Plays a world with one trouble: requests at `load` times the quota's rate arrive at all VMs, or nearly all at one.
World play(Trouble trouble, double load, bool atOneVm, Sharing sharing, uint64_t seed, double burst = 20)
{
    World::Options options;
    options.sharing = sharing;
    options.quota.burst = burst;
    options.loss = trouble == Trouble::Lossy ? 0.1 : 0;
    World world(options, seed);
    auto holder = world.ranked(0);
    auto other = world.ranked(3);
    auto busy = trouble == Trouble::CutOther ? other : world.ranked(seed % 5);
    auto perSecond = load * options.quota.ratePerSecond;
    auto pick = [&] { return atOneVm && world.requests % 10 != 0 ? busy : world.any(); };
    // Buckets fill. Then the trouble begins shortly after their burst was used up.
    world.run(settleTime + seconds { 8 }, 0.1 * perSecond, pick);
    world.run(seconds { 4 }, perSecond, pick);
    switch (trouble) {
    case Trouble::KillHolder:
    case Trouble::RestartHolder:
        world.kill(holder);
        world.run(seconds { 3 }, perSecond, [&] { return world.any(); });
        if (trouble == Trouble::RestartHolder)
            world.addVm(holder);
        break;
    case Trouble::RestartAll:
        for (int vm = 0; vm < options.vms; vm++) {
            world.kill(vm);
            world.run(milliseconds { 1500 }, perSecond, [&] { return world.any(); });
            world.addVm(vm);
            world.run(milliseconds { 1500 }, perSecond, [&] { return world.any(); });
        }
        break;
    case Trouble::RestartTogether:
        for (int vm = 0; vm < options.vms; vm++)
            world.kill(vm);
        for (int vm = 0; vm < options.vms; vm++)
            world.addVm(vm);
        break;
    case Trouble::CutHolder:
    case Trouble::CutOther: {
        auto cut = trouble == Trouble::CutHolder ? holder : other;
        world.setCut(cut, true);
        world.run(seconds { 5 }, perSecond, pick);
        world.setCut(cut, false);
        break;
    }
    case Trouble::FreezeHolder:
        world.freeze(holder);
        world.run(seconds { 4 }, perSecond, pick);
        world.thaw(holder);
        break;
    case Trouble::AddVms:
        for (int i = 0; i < 4; i++) {
            world.addVm();
            world.run(milliseconds { 500 }, perSecond, pick);
        }
        break;
    default:
        break;
    }
    world.run(seconds { 10 }, perSecond, pick);
    return world;
}

} // namespace

// Guards against accounts that get more than their quota: by VMs that each grant it, by memories that are lost, by messages that are lost
// or repeated, and by VMs that go on with what was true before they were cut off or suspended.
Test(quotas_of_all_vms, hold_in_any_window)
{
    const bool held = rc::check("no window of all VMs holds more than the quota", [] {
        auto trouble = static_cast<Trouble>(*rc::gen::inRange(0, static_cast<int>(Trouble::Count)));
        auto load = *rc::gen::element(0.9, 1.5, 4.0);
        auto atOneVm = *rc::gen::arbitrary<bool>();
        // A large burst would show if it were granted twice.
        auto burst = *rc::gen::element(20.0, 300.0);
        auto world = play(trouble, load, atOneVm, Sharing::Holder, *rc::gen::arbitrary<uint64_t>(), burst);
        auto overshoot = world.overshoot(window);
        RC_LOG() << name(trouble) << " overshoot " << overshoot;
        RC_ASSERT(overshoot <= maxOvershootShare * allowance({ QuotaUnit::Requests, World::Options {}.quota.ratePerSecond, burst, 0 }));
    });
    cr_assert(held);
}

// Guards against refusals of accounts within their limit, though one VM gets nearly all of their requests.
Test(quotas_of_all_vms, requests_within_the_limit_pass)
{
    const bool held = rc::check("no request within the limit is refused", [] {
        auto trouble = *rc::gen::element(Trouble::None, Trouble::AddVms, Trouble::Lossy);
        auto world = play(trouble, 0.4, *rc::gen::arbitrary<bool>(), Sharing::Holder, *rc::gen::arbitrary<uint64_t>());
        auto refused = world.refusedSince(start + settleTime);
        RC_LOG() << name(trouble) << " refused " << refused << " of " << world.requests;
        RC_ASSERT(refused <= (trouble == Trouble::Lossy ? world.requests / 100 : 0));
    });
    cr_assert(held);
}

Test(quotas_of_all_vms, lowered_and_raised_ones_hold)
{
    World world({}, 7);
    auto pick = [&] { return world.any(); };
    world.run(seconds { 10 }, 200, pick);
    world.setQuota({ QuotaUnit::Requests, 5, 5, 0 });
    auto loweredAt = world.now;
    world.run(seconds { 20 }, 200, pick);
    cr_assert_leq(world.overshoot(window, loweredAt), 1);
    world.setQuota({ QuotaUnit::Requests, 100, 50, 0 });
    auto raisedAt = world.now;
    world.run(seconds { 10 }, 200, pick);
    auto granted = std::count_if(world.granted.begin(), world.granted.end(), [raisedAt](const auto& item) { return item.first > raisedAt; });
    cr_assert_geq(granted, 950, "%ld granted in 10 s", static_cast<long>(granted));
}

// Prints the table of docs/design/client-accounts.md and checks its last columns. Run with --verbose to see it.
Test(quotas_of_all_vms, table_of_ways_to_share)
{
    constexpr int seeds = 6;
    for (int i = 0; i < static_cast<int>(Trouble::Count); i++) {
        auto trouble = static_cast<Trouble>(i);
        std::string line = std::string("| ") + name(trouble);
        for (auto sharing : { Sharing::EqualShares, Sharing::DemandShares, Sharing::Holder }) {
            double overshoot = -INFINITY;
            int refused = 0;
            int requests = 0;
            for (uint64_t seed = 1; seed <= seeds; seed++) {
                for (bool atOneVm : { false, true }) {
                    overshoot = std::max(overshoot, play(trouble, 4, atOneVm, sharing, seed).overshoot(window));
                    auto calm = play(trouble, 0.4, atOneVm, sharing, seed);
                    refused += calm.refusedSince(start + settleTime);
                    requests += calm.requests;
                }
            }
            std::array<char, 64> text {};
            std::snprintf(text.data(), text.size(), " | %+.0f %%, %.2f %%", 100 * overshoot / allowance(World::Options {}.quota), 100.0 * refused / requests);
            line += text.data();
        }
        std::printf("%s |\n", line.c_str());
    }
}
