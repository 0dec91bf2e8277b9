/// Order of the requests that wait for a worker, and refusal of those that could not be served in time.
#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <queue>
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

    /// Returns the key of a priority in the shares of served requests. With one of the marks it is that of its large or small requests.
    std::string kindKey(uint32_t priority)
    {
        return "p" + std::to_string(priority);
    }
    constexpr const char* largeMark = "/large";
    constexpr const char* smallMark = "/small";

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
    auto& group = this->groups[name];
    entry.group = &group;
    group.name = name;
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
    auto entry = std::move(found->second);
    auto& group = *entry.group;
    this->countBusyTime(group, now);
    group.lackingRoom -= entry.lacksRoom ? 1 : 0;
    this->entries.erase(found);
    std::erase(group.order, id);
    group.changed = true;
    if (auto use = this->accounts.find(entry.request.account); use != this->accounts.end())
        use->second.waiting--;
    // Callers may name any model and adapter.
    if (group.order.empty() && (entry.request.alone || !group.exists))
        this->groups.erase(group.name);
    return entry;
}

void WaitQueue::start(uint64_t id, Time now)
{
    auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    auto& group = *found->second.group;
    bool isBusy = group.lackingRoom > 0;
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
    auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    const auto& waiting = found->second;
    if (waiting.decision.refusal != QueueRefusal::None && isForRoom(waiting.blocked)) {
        auto& group = *waiting.group;
        group.promisedUntil[priorityOf(waiting.request)] = WaitQueue::returnTime(waiting, group, now);
    }
    auto entry = this->takeOut(id, now);
    if (!isMissing(entry.blocked))
        this->recordEnd(entry, false, now);
}

void WaitQueue::remove(uint64_t id, Time now)
{
    auto entry = this->takeOut(id, now);
    const auto& request = entry.request;
    // Its caller has given up. Those who leave at once tell nothing of the order.
    if (isForRoom(entry.blocked) && request.deadline > request.arrivedAt && now - request.arrivedAt >= std::chrono::duration_cast<Time>((request.deadline - request.arrivedAt) * queueAgingShare))
        this->recordEnd(entry, false, now);
}

void WaitQueue::recordBlocked(uint64_t id, BlockReason reason, Time timeToCapacity, Time now)
{
    bool lacksRoom = reason == BlockReason::NoCapacity;
    auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    auto& group = *found->second.group;
    this->countBusyTime(group, now);
    group.lackingRoom += (lacksRoom ? 1 : 0) - (found->second.lacksRoom ? 1 : 0);
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
    auto& group = *entry.group;
    if (group.changed || now - group.plannedAt >= queuePlanInterval)
        this->plan(group, now);
    auto decision = entry.decision;
    decision.isFirst = group.order.front() == id;
    if (decision.refusal != QueueRefusal::None)
        decision.retryAfter = spreadRetryAfter(std::max(minRetryAfter, std::chrono::ceil<milliseconds>(WaitQueue::returnTime(entry, group, now) - now)), id);
    return decision;
}

double WaitQueue::largeWork(const std::string& kind, Time now) const
{
    auto known = this->served.find(kind);
    auto ended = known == this->served.end() ? 0 : known->second.ended.value(now, queueHalfLife);
    return ended < minEndedForShare ? std::numeric_limits<double>::infinity() : largeWorkFactor * known->second.work.value(now, queueHalfLife) / ended;
}

void WaitQueue::recordEnd(const Entry& entry, bool wasServed, Time now)
{
    auto kind = kindKey(priorityOf(entry.request));
    auto size = kind + (entry.request.workSeconds > this->largeWork(kind, now) ? largeMark : smallMark);
    auto record = [&](const std::string& key) {
        auto& share = this->served[key];
        share.ended.add(1, now, queueHalfLife);
        share.served.add(wasServed ? 1 : 0, now, queueHalfLife);
        share.work.add(entry.request.workSeconds, now, queueHalfLife);
    };
    record("");
    record(kind);
    record(size);
    if (isForRoom(entry.blocked))
        record("g" + entry.item);
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

WaitQueue::KindStates WaitQueue::kindStates(Time now) const
{
    KindStates states;
    auto all = this->servedShare("", now).value_or(1);
    double leastOfMoreUrgent = 2; // Above all shares.
    for (uint32_t priority = 0; priority <= maxQueuePriority; priority++) {
        auto key = kindKey(priority);
        auto& state = states[priority];
        auto share = this->servedShare(key, now).value_or(1);
        state.isStarved = this->isStarved(key, "", minServedShareOfKind, now) && leastOfMoreUrgent > share;
        leastOfMoreUrgent = std::min(leastOfMoreUrgent, share);
        state.isServedMore = share > all;
        state.largeWork = this->largeWork(key, now);
        state.areLargeStarved = this->isStarved(key + largeMark, key, minServedShare, now);
        state.areSmallStarved = this->isStarved(key + smallMark, key, minServedShare, now);
    }
    return states;
}

uint32_t WaitQueue::levelOf(const WaitingRequest& request, const KindState& kind, Time now)
{
    auto level = priorityOf(request);
    // Requests that waited long go first only as long as their kind is not served more often than the others.
    if (kind.isServedMore)
        return level;
    auto ownTime = Seconds(request.deadline - request.arrivedAt).count();
    auto waited = Seconds(now - request.arrivedAt).count();
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

void WaitQueue::countBusyTime(Group& group, Time now)
{
    // After a longer pause the VM was suspended, and what it could have started meanwhile is not known.
    if (now > group.busyUntil && group.lackingRoom > 0)
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
    ordered.reserve(group.order.size());
    auto kinds = this->kindStates(now);
    bool isItemStarved = this->isStarved("g" + this->entries.at(group.order.front()).item, "", minServedShare, now);
    double work = 0;
    for (auto id : group.order) {
        auto& entry = this->entries.at(id);
        const auto& request = entry.request;
        const auto& kind = kinds[priorityOf(request)];
        entry.rank = { !kind.isStarved, WaitQueue::levelOf(request, kind, now), this->overShare.contains(request.account), false, startOf(request.targetAt, request.workSeconds), id };
        entry.mayGiveWay = !isItemStarved && !(request.workSeconds > kind.largeWork ? kind.areLargeStarved : kind.areSmallStarved);
        work += request.workSeconds;
        ordered.push_back(&entry);
    }
    auto typicalWork = work / static_cast<double>(ordered.size());
    std::sort(ordered.begin(), ordered.end(), [](const Entry* a, const Entry* b) { return a->rank < b->rank; });
    group.order.clear();
    double ahead = 0;
    auto blockBegin = ordered.begin(); // Of the requests that only fair shares put one behind the other.
    for (auto begin = ordered.begin(); begin != ordered.end();) {
        auto end = std::find_if(begin, ordered.end(), [begin](const Entry* entry) { return std::tie(entry->rank.usual, entry->rank.level, entry->rank.overShare) != std::tie((*begin)->rank.usual, (*begin)->rank.level, (*begin)->rank.overShare); });
        ahead = this->planLevel({ begin, end }, ahead, group, typicalWork, now);
        begin = end;
        if (end != ordered.end() && std::tie((*end)->rank.usual, (*end)->rank.level) == std::tie((*blockBegin)->rank.usual, (*blockBegin)->rank.level))
            continue;
        for (; blockBegin != end; ++blockBegin)
            (*blockBegin)->workAhead = ahead - ((*blockBegin)->decision.refusal == QueueRefusal::None ? (*blockBegin)->request.workSeconds : 0);
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
    std::vector<Entry*> late;
    // Those that may give way, by work for the time to their target; of equal ones the last first.
    std::priority_queue<std::pair<double, size_t>> mayGive;
    double work = 0;
    for (size_t i = 0; i < level.size(); i++) {
        auto* entry = level[i];
        const auto& request = entry->request;
        work += request.workSeconds;
        if (!entry->mayGiveWay)
            continue;
        if (!entry->admitted)
            mayGive.emplace(density(request), i);
        auto expectedEnd = now + toTime((ahead + work - request.workSeconds) / onTimeRate) + toTime(request.workSeconds);
        auto reserve = entry->admitted ? Time { 0 } : std::chrono::duration_cast<Time>((request.targetAt - request.arrivedAt) * queueTargetReserve);
        if (expectedEnd <= request.targetAt - reserve)
            continue;
        // A request that can't meet its target whatever gives way does so itself.
        auto gives = i;
        if (now <= entry->rank.slack) {
            while (!mayGive.empty() && level[mayGive.top().second]->rank.late)
                mayGive.pop();
            if (mayGive.empty())
                continue;
            gives = mayGive.top().second;
        }
        work -= level[gives]->request.workSeconds;
        level[gives]->rank.late = true;
        late.push_back(level[gives]);
    }
    std::vector<Entry*> onTime;
    std::copy_if(level.begin(), level.end(), std::back_inserter(onTime), [](const Entry* entry) { return !entry->rank.late; });
    for (auto* entry : late)
        entry->rank.slack = latestStart(entry->request);
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

Time WaitQueue::returnTime(const Entry& entry, const Group& group, Time now)
{
    // Callers that are refused one after the other come back as room becomes free for each.
    auto rate = WaitQueue::rate(group, entry.rank.usual ? 2 * entry.rank.level + 2 : 0, entry.request.workSeconds, now);
    auto honoured = std::chrono::duration_cast<Time>((entry.request.deadline - now) * maxHonouredRetryShare);
    auto free = std::max(group.promisedUntil[priorityOf(entry.request)], now + toTime(entry.workAhead / rate));
    return std::min(free + toTime(entry.request.workSeconds / rate), now + std::max<Time>(honoured, minRetryAfter));
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
