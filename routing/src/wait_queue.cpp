/// Order of the requests that wait for a worker, and refusal of those that could not be served in time.
#include <algorithm>
#include <cmath>
#include <numbers>
#include <routing/routing.h>
#include <tuple>

namespace comfreypier::routing {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Work that is assumed at least, in seconds: plain services have no estimate.
    constexpr double minWorkSeconds = 0.001;
    /// Requests that ended lately below which their served share is not known.
    constexpr double minEndedForShare = 4;
    /// Factor on the mean work of its kind above which a request counts as large.
    constexpr double largeWorkFactor = 1.3;
    /// Smallest weight of an account, as a share of the mean: new and rare accounts have little usual demand.
    constexpr double minWeightShare = 0.1;
    /// Share of requests served from which there is room for all.
    constexpr double minShareWithRoom = 0.95;
    /// Time after which what was measured is forgotten, in half-lives.
    constexpr int memoryHalfLives = 10;
    /// Longest time for which nobody looks at a queue with waiting requests while its VM runs: several times the interval of their wake-ups.
    constexpr milliseconds maxQueuePause { 250 };
    /// Shortest time over which a rate is measured, in seconds.
    constexpr double minRateSeconds = 0.001;

    Time toTime(double seconds)
    {
        constexpr double maxSeconds = 3600;
        return std::chrono::duration_cast<Time>(Seconds(std::min(seconds, maxSeconds)));
    }

    Time startOf(Time end, double workSeconds)
    {
        return end - toTime(workSeconds);
    }

    /// Returns when a request must be sent to a worker at the latest. The rest of its time lets the caller retry.
    Time latestStart(const WaitingRequest& request)
    {
        auto maxWait = std::chrono::duration_cast<Time>((request.deadline - request.arrivedAt) * maxWaitShare);
        return std::min(startOf(request.deadline, request.workSeconds), request.arrivedAt + maxWait);
    }

    uint32_t priorityOf(const WaitingRequest& request)
    {
        return std::min(request.priority, maxQueuePriority);
    }

    /// Returns whether a request waits for what more room would not give it.
    bool isMissing(BlockReason reason)
    {
        return reason == BlockReason::NoWorker || reason == BlockReason::NoModel || reason == BlockReason::NoAdapter;
    }

    /// Returns whether a request waits for room only. It then asks for what the workers have.
    bool isForRoom(BlockReason reason)
    {
        return reason == BlockReason::None || reason == BlockReason::NoCapacity;
    }

    /// Returns the work of a request for the time in which its target is.
    double density(const WaitingRequest& request)
    {
        return request.workSeconds / std::max(minRateSeconds, Seconds(request.targetAt - request.arrivedAt).count());
    }

} // namespace

double WaitQueue::Decayed::value(Time now, Time halfLife) const
{
    return now <= this->at ? this->amount : this->amount * std::exp2(-Seconds(now - this->at) / Seconds(halfLife));
}

void WaitQueue::Decayed::add(double more, Time now, Time halfLife)
{
    this->amount = this->value(now, halfLife) + more;
    this->at = std::max(this->at, now);
}

void WaitQueue::add(const WaitingRequest& request, Time now)
{
    this->forgetOld(now);
    auto& entry = this->entries[request.id];
    entry.request = request;
    entry.item = request.model + "/" + request.adapter;
    auto name = entry.item + (request.alone ? "#" + std::to_string(request.id) : "");
    // Callers state the size of their requests. Nobody gets more work done than fits into the time.
    auto ownSeconds = Seconds(request.deadline - request.arrivedAt).count();
    entry.request.workSeconds = std::max(std::min(request.workSeconds, ownSeconds), minWorkSeconds);
    entry.group = name;
    auto& group = this->groups[name];
    this->countBusyTime(group, now);
    group.order.push_back(request.id);
    group.changed = true;
    group.arrivedWork[2 * priorityOf(request) + (this->overShare.contains(request.account) ? 1 : 0)].add(entry.request.workSeconds, now, queueHalfLife);
    if (request.account.empty())
        return;
    auto [use, added] = this->accounts.try_emplace(request.account);
    auto& account = use->second;
    if (added)
        account.since = now;
    account.recentWork.add(entry.request.workSeconds, now, queueHalfLife);
    // What an account sends while room is scarce may be the cause of it.
    if (this->servedShare("", now).value_or(1) >= minShareWithRoom)
        account.usualWork.add(entry.request.workSeconds, now, usualDemandHalfLife);
    account.weight = request.accountWeight;
    account.waiting++;
}

WaitQueue::Entry WaitQueue::takeOut(uint64_t id, Time now)
{
    auto found = this->entries.find(id);
    if (found == this->entries.end())
        return {};
    auto entry = found->second;
    auto& group = this->groups[entry.group];
    this->countBusyTime(group, now);
    this->entries.erase(found);
    std::erase(group.order, id);
    group.changed = true;
    if (auto use = this->accounts.find(entry.request.account); use != this->accounts.end())
        use->second.waiting--;
    // Callers may name any model and adapter.
    if (group.order.empty() && (entry.request.alone || !group.exists))
        this->groups.erase(entry.group);
    return entry;
}

void WaitQueue::start(uint64_t id, Time now)
{
    auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    auto& group = this->groups[found->second.group];
    bool isBusy = this->isBusy(group);
    // What starts while nothing waits tells nothing of the rate at which room becomes free.
    if (isBusy)
        group.startedWork.add(found->second.request.workSeconds, now, queueHalfLife);
    group.exists = true;
    found->second.blocked = BlockReason::None;
    auto entry = this->takeOut(id, now);
    if (auto use = this->accounts.find(entry.request.account); use != this->accounts.end())
        use->second.startedWork.add(entry.request.workSeconds, now, queueHalfLife);
    this->recordEnd(entry, true, now);
}

void WaitQueue::refuse(uint64_t id, Time now)
{
    auto entry = this->takeOut(id, now);
    if (!isMissing(entry.blocked))
        this->recordEnd(entry, false, now);
}

void WaitQueue::remove(uint64_t id, Time now)
{
    this->takeOut(id, now);
}

void WaitQueue::recordBlocked(uint64_t id, BlockReason reason, Time timeToCapacity, Time now)
{
    bool lacksRoom = reason == BlockReason::NoCapacity;
    auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    auto& group = this->groups[found->second.group];
    this->countBusyTime(group, now);
    found->second.lacksRoom = lacksRoom;
    found->second.blocked = reason;
    if (lacksRoom) {
        group.timeToCapacity = timeToCapacity;
        group.exists = true;
    }
}

size_t WaitQueue::waiting(uint32_t priority) const
{
    return static_cast<size_t>(std::count_if(this->entries.begin(), this->entries.end(), [priority](const auto& item) { return priorityOf(item.second.request) == priority; }));
}

std::vector<uint64_t> WaitQueue::firsts() const
{
    std::vector<uint64_t> ids;
    for (const auto& [name, group] : this->groups) {
        if (!group.order.empty())
            ids.push_back(group.order.front());
    }
    std::sort(ids.begin(), ids.end(), [this](uint64_t a, uint64_t b) { return this->entries.at(a).rank < this->entries.at(b).rank; });
    return ids;
}

QueueDecision WaitQueue::decide(uint64_t id, Time now)
{
    auto found = this->entries.find(id);
    if (found == this->entries.end())
        return {};
    auto& entry = found->second;
    auto& group = this->groups[entry.group];
    if (group.changed || now - group.plannedAt >= queuePlanInterval)
        this->plan(group, now);
    auto decision = entry.decision;
    decision.isFirst = group.order.front() == id;
    if (decision.refusal != QueueRefusal::None)
        decision.retryAfter = this->chooseRetryAfter(entry, group, entry.request.workSeconds, now);
    return decision;
}

WaitQueue::ShareKeys WaitQueue::shareKeys(const Entry& entry, Time now) const
{
    auto kind = "p" + std::to_string(priorityOf(entry.request));
    auto known = this->served.find(kind);
    double ended = known == this->served.end() ? 0 : known->second.ended.value(now, queueHalfLife);
    bool large = ended >= minEndedForShare && entry.request.workSeconds * ended > largeWorkFactor * known->second.work.value(now, queueHalfLife);
    return { kind, kind + (large ? "/large" : "/small"), "g" + entry.item };
}

void WaitQueue::recordEnd(const Entry& entry, bool wasServed, Time now)
{
    auto keys = this->shareKeys(entry, now);
    for (const auto& key : { std::string(), keys.kind, keys.size, keys.item }) {
        if (key == keys.item && !isForRoom(entry.blocked))
            continue;
        auto& share = this->served[key];
        share.ended.add(1, now, queueHalfLife);
        share.served.add(wasServed ? 1 : 0, now, queueHalfLife);
        share.work.add(entry.request.workSeconds, now, queueHalfLife);
    }
}

std::optional<double> WaitQueue::servedShare(const std::string& key, Time now) const
{
    auto found = this->served.find(key);
    if (found == this->served.end())
        return std::nullopt;
    auto ended = found->second.ended.value(now, queueHalfLife);
    return ended < minEndedForShare ? std::nullopt : std::optional(found->second.served.value(now, queueHalfLife) / ended);
}

bool WaitQueue::isStarved(const std::string& key, const std::string& reference, double minShare, Time now) const
{
    auto share = this->servedShare(key, now);
    auto usual = this->servedShare(reference, now);
    return share && usual && *share < minShare * *usual;
}

bool WaitQueue::isKindStarved(const WaitingRequest& request, Time now) const
{
    auto priority = priorityOf(request);
    auto kind = "p" + std::to_string(priority);
    if (!this->isStarved(kind, "", minServedShareOfKind, now))
        return false;
    for (uint32_t moreUrgent = 0; moreUrgent < priority; moreUrgent++) {
        if (this->servedShare("p" + std::to_string(moreUrgent), now).value_or(1) <= this->servedShare(kind, now).value_or(1))
            return false;
    }
    return true;
}

uint32_t WaitQueue::levelOf(const Entry& entry, Time now) const
{
    auto keys = this->shareKeys(entry, now);
    auto level = priorityOf(entry.request);
    // Requests that waited long go first only as long as their kind is not served more often than the others.
    if (this->servedShare(keys.kind, now).value_or(1) > this->servedShare("", now).value_or(1))
        return level;
    auto ownTime = Seconds(entry.request.deadline - entry.request.arrivedAt).count();
    auto waited = Seconds(now - entry.request.arrivedAt).count();
    auto steps = ownTime > 0 ? std::max(0.0, std::floor(waited / (queueAgingShare * ownTime))) : 0;
    return level - static_cast<uint32_t>(std::min<double>(steps, level));
}

double WaitQueue::usualRate(const AccountUse& use, Time now)
{
    // Of a constant rate, the decayed sum holds this time's worth.
    auto halfLives = std::max(Seconds(now - use.since) / Seconds(usualDemandHalfLife), minRateSeconds);
    auto knownSeconds = (1 - std::exp2(-halfLives)) * Seconds(usualDemandHalfLife).count() / std::numbers::ln2;
    return use.usualWork.value(now, usualDemandHalfLife) / knownSeconds;
}

std::set<std::string> WaitQueue::accountsOverShare(Time now) const
{
    struct Active {
        const std::string* name;
        double started;
        double weight;
    };
    std::vector<Active> active;
    bool areStated = std::all_of(this->accounts.begin(), this->accounts.end(), [](const auto& item) { return item.second.weight > 0; });
    for (const auto& [name, use] : this->accounts) {
        if (use.waiting == 0 && use.recentWork.value(now, queueHalfLife) < minWorkSeconds)
            continue;
        active.push_back({ &name, use.startedWork.value(now, queueHalfLife), areStated ? use.weight : WaitQueue::usualRate(use, now) });
    }
    if (active.size() < 2)
        return {};
    double started = 0;
    double weights = 0;
    for (const auto& account : active)
        weights += account.weight;
    auto minWeight = minWeightShare * weights / static_cast<double>(active.size());
    weights = 0;
    for (auto& account : active) {
        account.weight = std::max(account.weight, minWeight);
        weights += account.weight;
        started += account.started;
    }
    std::set<std::string> over;
    for (const auto& account : active) {
        if (account.started * weights > fairShareTolerance * started * account.weight)
            over.insert(*account.name);
    }
    return over;
}

bool WaitQueue::isBusy(const Group& group) const
{
    return std::any_of(group.order.begin(), group.order.end(), [this](uint64_t id) { return this->entries.at(id).lacksRoom; });
}

void WaitQueue::countBusyTime(Group& group, Time now) const
{
    // After a longer pause the VM was suspended, and what it could have started meanwhile is not known.
    if (now > group.busyUntil && this->isBusy(group))
        group.busyTime.add(Seconds(std::min<Time>(now - group.busyUntil, maxQueuePause)).count(), now, queueHalfLife);
    group.busyUntil = std::max(group.busyUntil, now);
}

double WaitQueue::rate(const Group& group, size_t classes, double typicalWork, Time now)
{
    // The engines' estimate counts as one measured start.
    auto time = group.busyTime.value(now, queueHalfLife) + Seconds(group.timeToCapacity).count();
    auto all = (group.startedWork.value(now, queueHalfLife) + typicalWork) / std::max(time, minRateSeconds);
    double first = 0;
    for (size_t i = 0; i < classes; i++)
        first += group.arrivedWork[i].value(now, queueHalfLife) * std::numbers::ln2 / Seconds(queueHalfLife).count();
    return std::max(all - first, all * minRateShare);
}

void WaitQueue::plan(Group& group, Time now)
{
    this->countBusyTime(group, now);
    group.plannedAt = now;
    group.changed = false;
    if (group.order.empty())
        return;
    this->overShare = this->accountsOverShare(now);
    std::vector<Entry*> ordered;
    double work = 0;
    for (auto id : group.order) {
        auto& entry = this->entries.at(id);
        const auto& request = entry.request;
        entry.rank = { !this->isKindStarved(request, now), this->levelOf(entry, now), this->overShare.contains(request.account), false, startOf(request.targetAt, request.workSeconds), id };
        auto keys = this->shareKeys(entry, now);
        entry.mayGiveWay = !this->isStarved(keys.size, keys.kind, minServedShare, now) && !this->isStarved(keys.item, "", minServedShare, now);
        work += request.workSeconds;
        ordered.push_back(&entry);
    }
    auto typicalWork = work / static_cast<double>(ordered.size());
    std::sort(ordered.begin(), ordered.end(), [](const Entry* a, const Entry* b) { return a->rank < b->rank; });
    group.order.clear();
    double ahead = 0;
    for (auto begin = ordered.begin(); begin != ordered.end();) {
        auto end = std::find_if(begin, ordered.end(), [begin](const Entry* entry) { return std::tie(entry->rank.usual, entry->rank.level, entry->rank.overShare) != std::tie((*begin)->rank.usual, (*begin)->rank.level, (*begin)->rank.overShare); });
        ahead = this->planLevel({ begin, end }, ahead, group, typicalWork, now);
        begin = end;
    }
}

double WaitQueue::planLevel(const std::vector<Entry*>& level, double ahead, Group& group, double typicalWork, Time now)
{
    const auto& rank = level.front()->rank;
    // A starved kind goes before the more urgent ones that arrive.
    size_t classes = rank.usual ? 2 * rank.level + (rank.overShare ? 1 : 0) : 0;
    auto allRate = WaitQueue::rate(group, 0, typicalWork, now);
    // Requests of the same level that arrive later go before those that are late already.
    auto lateRate = WaitQueue::rate(group, rank.usual ? classes + 1 : 0, typicalWork, now);
    auto onTimeRate = WaitQueue::rate(group, classes, typicalWork, now);
    std::vector<Entry*> onTime;
    std::vector<Entry*> late;
    double work = 0;
    for (auto* entry : level) {
        const auto& request = entry->request;
        onTime.push_back(entry);
        work += request.workSeconds;
        if (!entry->mayGiveWay)
            continue;
        auto expectedEnd = now + toTime((ahead + work - request.workSeconds) / onTimeRate) + toTime(request.workSeconds);
        auto reserve = entry->admitted ? Time { 0 } : std::chrono::duration_cast<Time>((request.targetAt - request.arrivedAt) * queueTargetReserve);
        if (expectedEnd <= request.targetAt - reserve)
            continue;
        // Of equal ones the last gives way. A request that can't meet its target whatever gives way does so itself.
        auto gives = onTime.end();
        if (now > entry->rank.slack)
            gives = onTime.end() - 1;
        else {
            for (auto other = onTime.begin(); other != onTime.end(); ++other) {
                if (!(*other)->admitted && (*other)->mayGiveWay && (gives == onTime.end() || density((*other)->request) >= density((*gives)->request)))
                    gives = other;
            }
        }
        if (gives == onTime.end())
            continue;
        work -= (*gives)->request.workSeconds;
        (*gives)->rank.late = true;
        (*gives)->rank.slack = latestStart((*gives)->request);
        late.push_back(*gives);
        onTime.erase(gives);
    }
    for (auto* entry : onTime)
        entry->admitted = true;
    std::sort(late.begin(), late.end(), [](const Entry* a, const Entry* b) { return a->rank < b->rank; });
    double aheadInLevel = 0;
    auto judge = [&](Entry& entry, double rate) {
        auto timeLeft = latestStart(entry.request) - now;
        entry.decision = {};
        entry.decision.position = group.order.size();
        entry.decision.expectedStart = toTime((ahead + aheadInLevel) / rate);
        if (entry.decision.expectedStart > timeLeft)
            entry.decision.refusal = timeLeft > Time { 0 } && toTime(aheadInLevel / allRate) <= timeLeft ? QueueRefusal::Outranked : QueueRefusal::Hopeless;
        else
            aheadInLevel += entry.request.workSeconds;
        group.order.push_back(entry.request.id);
    };
    for (auto* entry : onTime)
        judge(*entry, onTimeRate);
    for (auto* entry : late)
        judge(*entry, lateRate);
    return ahead + aheadInLevel;
}

milliseconds WaitQueue::chooseRetryAfter(const Entry& entry, Group& group, double typicalWork, Time now) const
{
    double ahead = 0;
    for (auto id : group.order) {
        const auto& other = this->entries.at(id);
        if (id != entry.request.id && std::tie(other.rank.usual, other.rank.level) <= std::tie(entry.rank.usual, entry.rank.level) && other.decision.refusal == QueueRefusal::None)
            ahead += other.request.workSeconds;
    }
    // Callers that are refused one after the other come back as room becomes free for each.
    auto rate = WaitQueue::rate(group, entry.rank.usual ? 2 * entry.rank.level + 2 : 0, typicalWork, now);
    auto& promised = group.promisedUntil[priorityOf(entry.request)];
    auto honoured = std::chrono::duration_cast<Time>((entry.request.deadline - now) * maxHonouredRetryShare);
    promised = std::max(promised, now + toTime(ahead / rate)) + toTime(entry.request.workSeconds / rate);
    promised = std::min(promised, now + std::max<Time>(honoured, minRetryAfter));
    return spreadRetryAfter(std::max(minRetryAfter, std::chrono::ceil<milliseconds>(promised - now)), entry.request.id);
}

void WaitQueue::forgetOld(Time now)
{
    if (now - this->forgottenAt < queueHalfLife)
        return;
    this->forgottenAt = now;
    std::erase_if(this->groups, [now](const auto& item) { return item.second.order.empty() && now - item.second.busyUntil > memoryHalfLives * queueHalfLife; });
    std::erase_if(this->served, [now](const auto& item) { return now - item.second.ended.at > memoryHalfLives * queueHalfLife; });
    std::erase_if(this->accounts, [now](const auto& item) { return item.second.waiting == 0 && now - item.second.usualWork.at > memoryHalfLives * usualDemandHalfLife; });
}

} // namespace comfreypier::routing
