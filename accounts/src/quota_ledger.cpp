#include <accounts/accounts.h>
#include <algorithm>
#include <utility>

namespace comfreypier::accounts {

namespace {

    /// Silent VMs get one of this many reports, so that they are found again.
    constexpr uint64_t silentReportRounds = 4;

    bool sameOrder(const std::vector<QuotaVm>& a, const std::vector<QuotaVm>& b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) { return x.name == y.name && x.capacity == y.capacity; });
    }

} // namespace

QuotaLedger::QuotaLedger(std::string self, uint64_t incarnation)
    : self(std::move(self))
    , incarnation(incarnation)
{
}

void QuotaLedger::recordRunning(Time now)
{
    if (this->runningAt == Time { 0 } || now - this->runningAt > suspensionGap)
        this->settlesAt = now + settlingTime;
    this->runningAt = now;
}

void QuotaLedger::setAccounts(const std::vector<ClientAccount>& newAccounts, Time now)
{
    this->recordRunning(now);
    bool chargedNowhere = this->hasAccounts && (this->isAlone() || (!this->isCutOff && now >= this->settlesAt));
    std::map<std::string, Account> next;
    for (const auto& account : newAccounts) {
        if (account.quota.ratePerSecond <= 0 || next.contains(account.name))
            continue;
        auto former = this->takeFormer(account.name, now);
        if (former) {
            this->applyQuota(*former, account, now);
            next.emplace(account.name, std::move(*former));
            continue;
        }
        auto known = this->accounts.find(account.name);
        if (known != this->accounts.end()) {
            this->applyQuota(known->second, account, now);
            next.insert(this->accounts.extract(known));
            continue;
        }
        Account added(account.quota, TokenBucket(account.quota, chargedNowhere ? quotaCapacity(account.quota) : 0, now));
        added.known = chargedNowhere || this->isAlone();
        added.confirmedAt = now;
        added.unknownSince = now;
        added.ranking = rankQuotaVms(account.name, this->vms);
        added.rankedAt = now;
        next.emplace(account.name, std::move(added));
    }
    for (auto& [name, account] : this->accounts) {
        account.known = this->isCurrent(account, now);
        this->formerAccounts.insert_or_assign(name, std::pair { now, std::move(account) });
    }
    this->accounts = std::move(next);
    std::erase_if(this->formerAccounts, [now](const auto& item) { return now - item.second.first > formerAccountTime; });
    if (this->formerAccounts.size() > maxFormerAccounts)
        this->formerAccounts.clear();
    this->hasAccounts = true;
}

std::optional<QuotaLedger::Account> QuotaLedger::takeFormer(const std::string& name, Time now)
{
    auto found = this->formerAccounts.find(name);
    if (found == this->formerAccounts.end())
        return std::nullopt;
    auto account = std::move(found->second.second);
    this->formerAccounts.erase(found);
    // Nobody has confirmed the level while the account was gone, and nobody has charged it.
    account.confirmedAt = now;
    account.unknownSince = now;
    account.rankedAt = now;
    account.ranking = rankQuotaVms(name, this->vms);
    std::erase_if(account.partners, [this](const auto& item) { return !this->aliveByVm.contains(item.first); });
    return account;
}

void QuotaLedger::applyQuota(Account& account, const ClientAccount& configured, Time now)
{
    if (account.quota.unit != configured.quota.unit) {
        for (auto& [ask, charge] : this->charges) {
            if (charge.account == configured.name)
                charge.cost = 0;
        }
    }
    account.bucket.setQuota(configured.quota, now);
    account.quota = configured.quota;
}

void QuotaLedger::setVms(std::vector<QuotaVm> newVms, Time now)
{
    bool wasAlone = this->isAlone();
    bool changed = !sameOrder(newVms, this->vms);
    this->vms = std::move(newVms);
    this->aliveByVm.clear();
    for (const auto& vm : this->vms)
        this->aliveByVm[vm.name] = vm.alive;
    bool wasCutOff = std::exchange(this->isCutOff, !this->isAlone() && std::none_of(this->vms.begin(), this->vms.end(), [this](const auto& vm) { return vm.alive && vm.name != this->self; }));
    if (wasCutOff || this->isCutOff)
        this->settlesAt = now + settlingTime;
    if (!changed)
        return;
    std::erase_if(this->unansweredSince, [this](const auto& item) { return !this->aliveByVm.contains(item.first); });
    for (auto& [name, account] : this->accounts) {
        account.ranking = rankQuotaVms(name, this->vms);
        account.rankedAt = now;
        std::erase_if(account.partners, [this](const auto& item) { return !this->aliveByVm.contains(item.first); });
        if (wasAlone)
            account.confirmedAt = now;
        if (this->isAlone() && !account.known) {
            account.bucket.setLevel(0, now);
            account.known = true;
        }
    }
}

const std::vector<std::string>& QuotaLedger::ranking(const std::string& account) const
{
    static const std::vector<std::string> none;
    auto found = this->accounts.find(account);
    return found == this->accounts.end() ? none : found->second.ranking;
}

bool QuotaLedger::isCurrent(Account& account, Time now) const
{
    if (!account.known)
        return false;
    if (this->isAlone() || now - account.confirmedAt <= maxConfirmationAge)
        return true;
    account.known = false;
    account.unknownSince = now;
    return false;
}

bool QuotaLedger::isSilent(const std::string& vm, Time now) const
{
    auto alive = this->aliveByVm.find(vm);
    if (alive == this->aliveByVm.end() || !alive->second)
        return true;
    auto unanswered = this->unansweredSince.find(vm);
    return unanswered != this->unansweredSince.end() && now - unanswered->second > maxReportAnswerTime;
}

bool QuotaLedger::isActive(const Account& account, Time now) const
{
    if (now - account.askedAt < askedActivityTime)
        return true;
    for (size_t i = 0; i < account.ranking.size(); i++) {
        const auto& vm = account.ranking[i];
        if (vm == this->self)
            return true;
        // Only the holders of copies get reports; the others learn of a silent VM by its heartbeats.
        if (i >= copyCount && this->aliveByVm.at(vm))
            return false;
        auto partner = account.partners.find(vm);
        auto heardAt = std::max(account.rankedAt, partner == account.partners.end() ? Time { 0 } : partner->second.heardAt);
        if (this->aliveByVm.at(vm) && now - heardAt < reportSilence)
            return false;
    }
    return false;
}

LevelReport QuotaLedger::makeReport(const std::string& name, Account& account, const std::string& receiver, bool wantsAnswer, Time now) const
{
    LevelReport report;
    report.account = name;
    report.known = this->isCurrent(account, now);
    report.level = account.bucket.level(now);
    report.charged = account.charged;
    report.sentAt = now;
    report.wantsAnswer = wantsAnswer;
    if (auto partner = account.partners.find(receiver); partner != account.partners.end()) {
        report.receiver = partner->second.incarnation;
        report.seen = partner->second.charged;
        report.answers = partner->second.sentAt;
    }
    return report;
}

std::vector<std::pair<std::string, LevelReport>> QuotaLedger::takeReports(Time now, bool onlyUrgent)
{
    std::vector<std::pair<std::string, LevelReport>> reports;
    this->urgent = false;
    bool includesSilent = !onlyUrgent && this->rounds++ % silentReportRounds == 0;
    for (auto& [name, account] : this->accounts) {
        if ((onlyUrgent && !account.urgent) || !this->isActive(account, now))
            continue;
        account.urgent = false;
        account.unreported = 0;
        size_t copies = 0;
        size_t others = 0;
        for (const auto& vm : account.ranking) {
            if (vm == this->self)
                continue;
            bool silent = this->isSilent(vm, now);
            if (!silent || (includesSilent && others < copyCount)) {
                reports.emplace_back(vm, this->makeReport(name, account, vm, true, now));
                this->unansweredSince.try_emplace(vm, now);
            }
            others++;
            copies += silent ? 0 : 1;
            if (copies == copyCount)
                break;
        }
    }
    return reports;
}

std::optional<LevelReport> QuotaLedger::receive(const std::string& vm, uint64_t senderIncarnation, const LevelReport& report, Time now)
{
    this->unansweredSince.erase(vm);
    auto found = this->accounts.find(report.account);
    if (found == this->accounts.end() || !this->aliveByVm.contains(vm))
        return std::nullopt;
    auto& account = found->second;
    auto& partner = account.partners[vm];
    bool firstContact = partner.incarnation != senderIncarnation || partner.sentAt == Time { 0 };
    if (partner.incarnation != senderIncarnation)
        partner = { senderIncarnation };
    if (report.sentAt <= partner.sentAt)
        return std::nullopt;
    auto newlyCharged = report.charged - partner.charged;
    partner = { senderIncarnation, report.charged, report.sentAt, now };
    bool current = this->isCurrent(account, now);
    // What the sender knows of an earlier start of this VM says nothing.
    bool knowsReceiver = report.receiver == this->incarnation;
    // What is left if the sender knows all charges but the own ones since. Both this and the own level less the sender's new charges are at
    // most the true level.
    auto reportedLevel = report.level - (account.charged - (knowsReceiver ? report.seen : 0));
    if (current && (report.known || !firstContact)) {
        auto level = account.bucket.level(now);
        auto reduced = level - newlyCharged;
        account.bucket.setLevel(report.known ? std::max(reduced, std::min(level, reportedLevel)) : reduced, now);
    }
    if (knowsReceiver && report.answers > Time { 0 } && report.answers <= now && now - report.answers <= maxReportAnswerTime)
        account.confirmedAt = std::max(account.confirmedAt, report.answers);
    if (!current && now - account.confirmedAt <= maxConfirmationAge) {
        if (report.known) {
            account.bucket.setLevel(reportedLevel, now);
            account.known = true;
        } else if (this->isActive(account, now) && now - account.unknownSince >= emptyStartDelay) {
            account.bucket.setLevel(0, now);
            account.known = true;
        }
    }
    if (!report.wantsAnswer)
        return std::nullopt;
    return this->makeReport(report.account, account, vm, false, now);
}

ChargeAnswer QuotaLedger::charge(const std::string& name, uint64_t ask, double cost, Time now)
{
    auto found = this->accounts.find(name);
    if (found == this->accounts.end())
        return {};
    auto& account = found->second;
    account.urgent = account.urgent || !this->isActive(account, now);
    this->urgent = this->urgent || account.urgent;
    account.askedAt = now;
    if (this->charges.contains(ask))
        return { ChargeOutcome::Granted, Time { 0 } };
    if (!this->isCurrent(account, now))
        return {};
    auto wait = account.bucket.timeUntil(cost, now);
    if (!wait || *wait > Time { 0 })
        return { ChargeOutcome::Refused, wait.value_or(Time { 0 }) };
    account.bucket.add(-cost, now);
    account.charged += cost;
    account.unreported += cost;
    account.urgent = account.urgent || (account.unreported > maxUnreportedShare * quotaCapacity(account.quota) && !this->isAlone());
    this->urgent = this->urgent || account.urgent;
    this->remember(ask, { name, cost }, now);
    return { ChargeOutcome::Granted, Time { 0 } };
}

void QuotaLedger::giveBack(uint64_t ask, Time now)
{
    auto charge = this->charges.find(ask);
    if (charge == this->charges.end())
        return this->remember(ask, {}, now);
    auto cost = std::exchange(charge->second.cost, 0);
    auto account = this->accounts.find(charge->second.account);
    if (cost == 0 || account == this->accounts.end())
        return;
    account->second.bucket.add(cost, now);
    account->second.charged -= cost;
}

void QuotaLedger::remember(uint64_t ask, Charge charge, Time now)
{
    while (!this->chargeTimes.empty() && (this->chargeTimes.size() >= maxRememberedCharges || now - this->chargeTimes.front().first > chargeMemoryTime)) {
        this->charges.erase(this->chargeTimes.front().second);
        this->chargeTimes.pop_front();
    }
    if (this->charges.emplace(ask, std::move(charge)).second)
        this->chargeTimes.emplace_back(now, ask);
}

std::optional<double> QuotaLedger::level(const std::string& name, Time now)
{
    auto found = this->accounts.find(name);
    if (found == this->accounts.end() || !this->isCurrent(found->second, now))
        return std::nullopt;
    return found->second.bucket.level(now);
}

} // namespace comfreypier::accounts
