/// Workers that say in their answers that they leave.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    constexpr unsigned misdirectedStatus = 421;

} // namespace

std::optional<std::string> statementSender(const AnswerSource& answer, const WorkerEntry& called)
{
    if (!answer.matchesRequest || (answer.signatureDue && !answer.signedByWorker))
        return std::nullopt;
    if (!answer.worker.empty())
        return answer.worker;
    // Whichever worker has the address now rejects a request for another one, and a worker rejects a model that it does not hold.
    return answer.status == misdirectedStatus ? std::nullopt : std::optional(called.id);
}

bool isStatementOf(const AnswerSource& answer, const WorkerEntry& worker)
{
    return statementSender(answer, worker) == worker.id;
}

bool LeavingWorkers::record(uint64_t worker, Time now)
{
    bool isNews = this->lastKnownAt.insert_or_assign(worker, now).second;
    for (const auto& [start, before] : this->earlierStarts) {
        if (isNews && before == worker)
            this->doubts.insert(start);
    }
    return isNews;
}

bool LeavingWorkers::recordAnswer(const WorkerEntry& called, std::optional<int64_t> namedStart, const WorkerEntry* known, Time now)
{
    auto sender = called;
    sender.startedAt = namedStart.value_or(called.startedAt);
    bool isNews = this->record(workerStart(sender), now);
    if (known == nullptr || known->startedAt == sender.startedAt)
        return isNews;
    // The process of an entry with an earlier start has ended.
    if (namedStart)
        return (known->startedAt < *namedStart && this->record(workerStart(*known), now)) || isNews;
    // The entry has changed since the call.
    return (!this->lastKnownAt.contains(workerStart(*known)) && this->doubts.insert(workerStart(*known)).second) || isNews;
}

void LeavingWorkers::recordRestart(const WorkerEntry& before, const WorkerEntry& after)
{
    this->earlierStarts[workerStart(after)] = workerStart(before);
    if (this->isLeaving(workerStart(before)))
        this->doubts.insert(workerStart(after));
    this->settle(workerStart(before));
}

void LeavingWorkers::settle(uint64_t worker)
{
    this->doubts.erase(worker);
    this->earlierStarts.erase(worker);
}

std::vector<uint64_t> LeavingWorkers::takeReports(const std::set<uint64_t>& known, Time now)
{
    for (auto& [worker, at] : this->lastKnownAt)
        at = known.contains(worker) ? now : at;
    std::erase_if(this->lastKnownAt, [now](const auto& item) { return now - item.second > leaveMemoryTime; });
    std::erase_if(this->earlierStarts, [&known](const auto& item) { return !known.contains(item.first); });
    std::erase_if(this->doubts, [&known](auto start) { return !known.contains(start); });
    std::vector<uint64_t> reports;
    auto next = this->lastKnownAt.upper_bound(this->lastSentInTurn);
    for (size_t i = 0; i < this->lastKnownAt.size() && reports.size() < maxLeaveReports; i++, next++) {
        if (next == this->lastKnownAt.end())
            next = this->lastKnownAt.begin();
        if (!known.contains(next->first))
            continue;
        this->lastSentInTurn = next->first;
        reports.push_back(next->first);
    }
    return reports;
}

} // namespace comfreypier::routing
