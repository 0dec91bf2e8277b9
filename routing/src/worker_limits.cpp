/// Shares of the limits that workers name.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    /// Number of heartbeats that carry an own observation, because datagrams may be lost, and one that is relayed.
    constexpr int ownRepeats = 5;
    constexpr int relayRepeats = 2;
    /// The end of a limit is carried by this many times more: it counts only when it is newer by `maxReportDelay` than what a VM knows.
    constexpr int endRepeatFactor = 4;
    /// Maximum delay of a report.
    constexpr Time maxReportDelay = std::chrono::seconds { 1 };
    /// Number of limits in force that a heartbeat carries in turn.
    constexpr size_t reportsInTurn = 4;
    /// Time after the last answer for which what a worker said is remembered. Far longer than the time in which a VM with a share sends a
    /// request at the lowest limit.
    constexpr Time memoryTime = std::chrono::minutes { 10 };

    /// Missing part of a token that is due to rounding.
    constexpr double roundingTolerance = 1e-6;

    Time toTime(double seconds)
    {
        return std::chrono::duration_cast<Time>(std::chrono::duration<double>(seconds));
    }

} // namespace

uint64_t workerStart(const WorkerEntry& worker)
{
    return hashText(worker.id, static_cast<uint64_t>(worker.startedAt));
}

WorkerLimits::WorkerLimits(std::string node)
    : node(std::move(node))
{
}

void WorkerLimits::setMembers(std::vector<std::string> names)
{
    this->members = std::move(names);
    for (auto& [worker, limit] : this->limits)
        this->updateShare(worker, limit);
}

void WorkerLimits::updateShare(uint64_t worker, Limit& limit) const
{
    auto most = static_cast<size_t>(minLimitSharers + limit.limit);
    limit.sharers = static_cast<uint32_t>(std::min(most, this->members.size()));
    // The VMs whose hashes with the worker are lowest.
    auto ownHash = hashText(this->node, worker);
    auto lower = std::count_if(this->members.begin(), this->members.end(), [&](const auto& member) { return hashText(member, worker) < ownHash; });
    bool isMember = std::find(this->members.begin(), this->members.end(), this->node) != this->members.end();
    limit.shared = isMember && static_cast<size_t>(lower) < most;
}

double WorkerLimits::rate(const Limit& limit)
{
    return limit.shared ? workerLimitShare * limit.limit / limit.sharers : 0;
}

double WorkerLimits::tokensAt(const Limit& limit, Time now)
{
    return std::min(1.0, limit.tokens + WorkerLimits::rate(limit) * std::chrono::duration<double>(now - limit.tokensAt).count());
}

bool WorkerLimits::set(uint64_t worker, double value, Time answeredAt, int repeats, Time now)
{
    auto [found, added] = this->limits.try_emplace(worker, Limit { .answeredAt = answeredAt, .tokensAt = now });
    auto& limit = found->second;
    limit.answeredAt = std::max(limit.answeredAt, answeredAt);
    if (limit.limit == value)
        return false;
    limit.tokens = limit.limit == 0 ? 0 : WorkerLimits::tokensAt(limit, now);
    limit.tokensAt = now;
    limit.limit = value;
    limit.repeats = value == 0 ? repeats * endRepeatFactor : repeats;
    this->updateShare(worker, limit);
    return true;
}

bool WorkerLimits::recordAnswer(uint64_t worker, std::optional<double> limit, Time now)
{
    if (!limit && !this->limits.contains(worker))
        return false;
    // A limit of 0 is one, unlike none at all.
    return this->set(worker, limit ? std::max(*limit, minWorkerLimit) : 0, now, ownRepeats, now);
}

void WorkerLimits::recordRestart(const WorkerEntry& before, const WorkerEntry& after, Time now, milliseconds wallNow)
{
    auto found = this->limits.find(workerStart(before));
    if (found == this->limits.end() || found->second.limit == 0 || this->limits.contains(workerStart(after)))
        return;
    auto named = found->second;
    if (mayHaveSaid(after, wallNow - std::chrono::duration_cast<milliseconds>(now - named.answeredAt)))
        this->set(workerStart(after), named.limit, named.answeredAt, ownRepeats, now);
}

std::vector<uint64_t> WorkerLimits::merge(const std::vector<LimitReport>& reports, bool relay, Time now)
{
    std::vector<uint64_t> changed;
    for (const auto& report : reports) {
        auto answeredAt = now - report.age;
        auto value = report.limit > 0 ? std::max(report.limit, minWorkerLimit) : 0;
        auto found = this->limits.find(report.worker);
        if (found == this->limits.end() && value == 0)
            continue;
        if (found != this->limits.end()) {
            // The age leaves out how long the report was on its way, so reports can be told apart only by more than that. A lower limit
            // counts in doubt: a VM that believes in a limit that is too high finds out from the next answer.
            const auto& known = found->second;
            bool lower = value > 0 && (known.limit == 0 || value < known.limit);
            bool applies = lower ? answeredAt > known.answeredAt - maxReportDelay : answeredAt > known.answeredAt + maxReportDelay;
            if (!applies && value != known.limit)
                continue;
        }
        if (this->set(report.worker, value, answeredAt, relay ? relayRepeats : 0, now))
            changed.push_back(report.worker);
    }
    return changed;
}

std::vector<LimitReport> WorkerLimits::takeReports(Time now)
{
    std::erase_if(this->limits, [now](const auto& item) { return now - item.second.answeredAt > memoryTime; });
    std::vector<LimitReport> reports;
    for (auto& [worker, limit] : this->limits) {
        if (limit.repeats <= 0)
            continue;
        limit.repeats--;
        reports.push_back({ worker, limit.limit, now - limit.answeredAt });
    }
    auto next = this->limits.upper_bound(this->lastSentInTurn);
    for (size_t i = 0, sent = 0; i < this->limits.size() && sent < reportsInTurn; i++, next++) {
        if (next == this->limits.end())
            next = this->limits.begin();
        // Changes are in the reports already.
        if (next->second.limit == 0 || next->second.repeats > 0)
            continue;
        this->lastSentInTurn = next->first;
        reports.push_back({ next->first, next->second.limit, now - next->second.answeredAt });
        sent++;
    }
    return reports;
}

Time WorkerLimits::nextSendAt(uint64_t worker, Time now) const
{
    auto found = this->limits.find(worker);
    if (found == this->limits.end() || found->second.limit == 0)
        return now;
    const auto& limit = found->second;
    if (!limit.shared)
        return now + toTime(1 / (workerLimitShare * limit.limit));
    auto missingTokens = 1 - WorkerLimits::tokensAt(limit, now);
    return missingTokens <= roundingTolerance ? now : now + toTime(missingTokens / WorkerLimits::rate(limit));
}

void WorkerLimits::recordSend(uint64_t worker, Time now)
{
    auto found = this->limits.find(worker);
    if (found == this->limits.end() || found->second.limit == 0)
        return;
    found->second.tokens = WorkerLimits::tokensAt(found->second, now) - 1;
    found->second.tokensAt = now;
}

double WorkerLimits::limitOf(uint64_t worker) const
{
    auto found = this->limits.find(worker);
    return found == this->limits.end() ? 0 : found->second.limit;
}

} // namespace comfreypier::routing
