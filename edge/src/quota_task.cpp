#include "quota_task.h"

namespace comfreypier::edge {

namespace {

    using accounts::AskSequence;
    using accounts::ChargeOutcome;

    /// Delay after which a return is sent again, as datagrams may be lost.
    constexpr milliseconds returnRepeatDelay { 60 };
    /// Interval between two looks at the configuration while no account has a quota.
    constexpr milliseconds idleInterval { 1000 };
    /// Maximum number of levels in a message.
    constexpr size_t maxLevelsPerMessage = 200;
    /// Maximum number of accounts that the metrics name. Further ones are summed up.
    constexpr size_t maxMetricAccounts = 200;
    constexpr const char* furtherAccounts = "(further)";
    /// Retry-After while no VM that knows the level answers: another VM may reach one.
    constexpr milliseconds retryAfterUnknown { 200 };

    /// Returns a value of a label in Prometheus text format, which knows no other escapes.
    std::string escapeForLabel(std::string_view text)
    {
        std::string value;
        for (char character : text) {
            if (character == '"' || character == '\\')
                value.push_back('\\');
            value.push_back(character);
        }
        return value;
    }

    /// Returns the time for buckets: it goes on while the VM is suspended.
    Time quotaNow()
    {
        return transport::bootTimeNow();
    }

} // namespace

QuotaTask::QuotaTask(Vm& vm, Peers& peers)
    : vm(vm)
    , peers(peers)
    , ledger(vm.settings.node, peers.ownIncarnation())
    , lastAsk(protocol::makeRandomId().high)
{
}

accounts::QuotaTolerance QuotaTask::tolerance() const
{
    return { this->vm.settings.quotaWindow, this->vm.settings.quotaOverage, this->vm.settings.quotaSlack };
}

void QuotaTask::applyConfiguration()
{
    auto newest = this->vm.fleet.configuration();
    if (newest == this->configuration)
        return;
    this->configuration = newest;
    static const std::vector<accounts::ClientAccount> none;
    const auto& list = newest && newest->accounts ? *newest->accounts : none;
    this->hasQuotas = std::any_of(list.begin(), list.end(), [](const auto& account) { return account.quota.ratePerSecond > 0; });
    auto tolerated = list;
    for (auto& account : tolerated)
        account.quota = accounts::quotaWithTolerance(account.quota, this->tolerance());
    if (newest)
        this->ledger.setAccounts(tolerated, quotaNow());
    std::erase_if(this->grantedRates, [&list](const auto& item) { return std::none_of(list.begin(), list.end(), [&item](const auto& account) { return account.name == item.first; }); });
}

void QuotaTask::update()
{
    this->applyConfiguration();
    if (!this->hasQuotas || !this->vm.status.membersKnown)
        return;
    std::vector<accounts::QuotaVm> vms { { this->vm.settings.node, capacityInCores(this->vm.settings), true, Time { 0 } } };
    for (const auto& peer : this->peers.peerViews())
        vms.push_back({ peer.node, peer.capacity, peer.alive, peer.heardAt });
    this->ledger.setVms(std::move(vms), quotaNow());
}

void QuotaTask::sendReports(bool onlyUrgent)
{
    std::map<std::string, std::vector<accounts::LevelReport>> reports;
    for (auto& [node, report] : this->ledger.takeReports(quotaNow(), onlyUrgent))
        reports[node].push_back(std::move(report));
    for (auto& [node, list] : reports) {
        for (size_t i = 0; i < list.size(); i += maxLevelsPerMessage) {
            QuotaMessage message;
            auto end = std::min(list.size(), i + maxLevelsPerMessage);
            message.levels.assign(list.begin() + static_cast<std::ptrdiff_t>(i), list.begin() + static_cast<std::ptrdiff_t>(end));
            this->peers.sendQuota(node, std::move(message));
        }
    }
}

void QuotaTask::run()
{
    while (!this->vm.status.stopping) {
        this->ledger.recordRunning(quotaNow());
        this->update();
        if (this->hasQuotas)
            this->sendReports(false);
        // A VM that starts beside others takes up levels with the first configuration.
        bool mayHaveQuotasSoon = this->hasQuotas || !this->configuration;
        sleepFor(mayHaveQuotasSoon ? accounts::levelReportInterval : idleInterval);
    }
}

std::optional<accounts::ChargeAnswer> QuotaTask::ask(const std::string& account, uint64_t number, double cost, milliseconds targetLatency, std::string& decidedBy)
{
    Pending state { {}, AskSequence { this->contacts.choose(this->ledger.ranking(account), this->ledger.knownVms()), targetLatency, monotonicNow() } };
    this->pending[number] = &state;
    for (auto step = state.sequence.next(monotonicNow()); step.action != AskSequence::Action::Done; step = state.sequence.next(monotonicNow())) {
        if (step.action == AskSequence::Action::Wait)
            state.event.waitFor(step.until - monotonicNow());
        else if (step.vm == this->vm.settings.node)
            state.sequence.recordAnswer(step.vm, this->ledger.charge(account, number, cost, quotaNow()));
        else {
            increment(this->vm.counters, CountedEvent::QuotaAsks);
            QuotaMessage message;
            message.asks.push_back({ account, number, cost });
            this->peers.sendQuota(step.vm, std::move(message));
        }
    }
    this->pending.erase(number);
    for (const auto& node : state.sequence.silentVms()) {
        this->contacts.recordSilence(node, monotonicNow());
        increment(this->vm.counters, CountedEvent::QuotaAsksUnanswered);
        this->log.info("event=quota_vm_silent node=" + transport::escapeForLog(node) + " account=" + transport::escapeForLog(account));
    }
    // They may have charged the request too.
    for (const auto& node : state.sequence.unanswered())
        this->sendReturn(node, number);
    decidedBy = state.sequence.decidedBy();
    return state.sequence.decision();
}

QuotaDecision QuotaTask::charge(const accounts::ClientAccount& account, double cost, milliseconds targetLatency)
{
    QuotaDecision decision;
    if (account.quota.ratePerSecond <= 0)
        return decision;
    // The request's configuration may be newer than that of the buckets.
    this->applyConfiguration();
    if (this->ledger.knownVms().empty())
        this->update();
    auto& totals = this->totals(account.name);
    if (cost > accounts::quotaCapacity(accounts::quotaWithTolerance(account.quota, this->tolerance()))) {
        decision.granted = false;
        totals.refused += cost;
        return decision;
    }
    auto number = ++this->lastAsk;
    auto answer = this->ask(account.name, number, cost, targetLatency, decision.decidedBy);
    if (this->ledger.hasUrgentReports())
        this->sendReports(true);
    auto& rate = this->grantedRates[account.name];
    auto now = quotaNow();
    if (answer) {
        decision.granted = answer->outcome == ChargeOutcome::Granted;
        decision.retryAfter = answer->retryAfter;
        rate.record(cost, decision.granted, now);
    } else {
        increment(this->vm.counters, CountedEvent::QuotaFallbacks);
        decision.known = false;
        decision.granted = rate.tryGrant(cost, now);
        decision.retryAfter = retryAfterUnknown;
    }
    (decision.granted ? totals.granted : totals.refused) += cost;
    if (decision.granted)
        decision.charge = { account.name, number, cost, decision.decidedBy };
    return decision;
}

void QuotaTask::giveBack(QuotaCharge& charge)
{
    if (charge.account.empty())
        return;
    increment(this->vm.counters, CountedEvent::QuotaReturns);
    this->totals(charge.account).returned += charge.cost;
    if (charge.vm == this->vm.settings.node)
        this->ledger.giveBack(charge.ask, quotaNow());
    else if (!charge.vm.empty())
        this->sendReturn(charge.vm, charge.ask);
    charge = {};
}

void QuotaTask::sendReturn(const std::string& node, uint64_t number)
{
    QuotaMessage message;
    message.returns.push_back(number);
    this->peers.sendQuota(node, message);
    transport::spawnOnCurrentThread([this, node, message] {
        sleepFor(returnRepeatDelay);
        this->peers.sendQuota(node, message);
    });
}

void QuotaTask::receive(const std::string& node, uint64_t incarnation, const QuotaMessage& message)
{
    this->applyConfiguration();
    if (this->hasQuotas && !this->ledger.knows(node))
        this->update();
    auto now = quotaNow();
    this->contacts.recordAnswer(node);
    QuotaMessage reply;
    for (const auto& number : message.returns)
        this->ledger.giveBack(number, now);
    for (const auto& report : message.levels) {
        if (auto answer = this->ledger.receive(node, incarnation, report, now))
            reply.levels.push_back(std::move(*answer));
    }
    // A VM that shuts down is about to leave its buckets to the next one.
    for (const auto& ask : message.asks)
        reply.answers.push_back({ ask.number, this->vm.status.draining ? accounts::ChargeAnswer {} : this->ledger.charge(ask.account, ask.number, ask.cost, now) });
    for (const auto& [number, answer] : message.answers) {
        auto found = this->pending.find(number);
        if (found == this->pending.end())
            continue;
        found->second->sequence.recordAnswer(node, answer);
        found->second->event.signal();
    }
    if (!reply.isEmpty())
        this->peers.sendQuota(node, std::move(reply));
    if (this->ledger.hasUrgentReports())
        this->sendReports(true);
}

QuotaTask::Totals& QuotaTask::totals(const std::string& account)
{
    bool named = this->totalsByAccount.contains(account) || this->totalsByAccount.size() < maxMetricAccounts;
    return this->totalsByAccount[named ? account : furtherAccounts];
}

std::string QuotaTask::formatMetrics() const
{
    std::string text;
    auto append = [&text](const std::string& account, const char* outcome, double value) {
        text += "comfreypier_quota_cost_total{account=\"" + escapeForLabel(account) + "\",outcome=\"" + outcome + "\"} " + std::to_string(value) + "\n";
    };
    for (const auto& [account, totals] : this->totalsByAccount) {
        append(account, "granted", totals.granted);
        append(account, "refused", totals.refused);
        append(account, "returned", totals.returned);
    }
    return text;
}

} // namespace comfreypier::edge
