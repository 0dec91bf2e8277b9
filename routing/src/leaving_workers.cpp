/// Workers that say in their answers that they leave.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    constexpr unsigned misdirectedStatus = 421;

} // namespace

bool isStatementOf(const AnswerSource& answer, const WorkerEntry& worker)
{
    if (!answer.matchesRequest || (answer.signatureDue && !answer.signedByWorker))
        return false;
    if ((!answer.worker.empty() && answer.worker != worker.id) || (answer.startedAt && worker.startedAt != 0 && *answer.startedAt != worker.startedAt))
        return false;
    // Whichever worker has the address now rejects a request for another one, and a worker rejects a model that it does not hold.
    return answer.status != misdirectedStatus || answer.worker == worker.id;
}

bool LeavingWorkers::record(uint64_t worker, Time now)
{
    return this->lastKnownAt.insert_or_assign(worker, now).second;
}

std::vector<uint64_t> LeavingWorkers::takeReports(const std::set<uint64_t>& known, Time now)
{
    for (auto& [worker, at] : this->lastKnownAt)
        at = known.contains(worker) ? now : at;
    std::erase_if(this->lastKnownAt, [now](const auto& item) { return now - item.second > leaveMemoryTime; });
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
