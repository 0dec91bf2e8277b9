/// Records attempts and checks the invariants: what callers observed against what the workers ran.
#include "soak.h"

#include <iostream>

namespace comfreypier::soak {

namespace {

    /// A request may be in flight while its VM closes the connection. The loss is allowed if no worker ran the request and the
    /// connection ended within this time of sending.
    constexpr milliseconds maxInFlightTime { 200 };
    /// Time after a VM has passed on an answer with which a worker says that it leaves, from which the VM must not send it new requests.
    constexpr milliseconds leavePropagationTime { 2000 };
    /// Time after a worker named a time from which requests count, and the number of them that is allowed until that time ends.
    constexpr milliseconds holdTolerance { 500 };
    constexpr int maxRequestsInHold = 2;
    /// Longest effect of a fault of connections: requests and answers that were held back arrive.
    constexpr milliseconds connectionFaultEffect { 6000 };

    /// Returns the time in seconds with three decimal places.
    std::string formatSeconds(Time time)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
        return text.data();
    }

} // namespace

const char* name(RequestKind kind)
{
    constexpr std::array<const char*, static_cast<size_t>(RequestKind::Count)> names { "order", "status", "chat", "draft" };
    return names[static_cast<size_t>(kind)];
}

InvariantChecker::InvariantChecker(Time start)
    : start(start)
{
}

void InvariantChecker::reportViolation(const std::string& invariant, const std::string& detail)
{
    auto line = formatSeconds(this->now()) + " " + invariant + ": " + detail;
    std::lock_guard lock(this->mutex);
    this->violations.push_back(line);
    std::cout << "BROKEN " << line << std::endl;
}

void InvariantChecker::recordAttempt(const Attempt& attempt)
{
    std::lock_guard lock(this->mutex);
    this->attempts.push_back(attempt);
}

void InvariantChecker::checkRuns(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers)
{
    std::map<std::string, int> runsByRequestId;
    std::map<uint64_t, std::string> holdersByToken;
    for (const auto& worker : workers) {
        std::lock_guard lock(worker->mutex);
        for (const auto& [id, count] : worker->runsByRequestId)
            runsByRequestId[id] += count;
        if (worker->overcommits > 0)
            this->reportViolation("memory", worker->id + " received " + std::to_string(worker->overcommits) + " orders that exceed its memory or adapter slots");
        // A fencing token belongs to one lease holder.
        for (const auto& order : worker->orders) {
            auto [knownHolder, isNewToken] = holdersByToken.emplace(order.token, order.holder);
            if (!isNewToken && knownHolder->second != order.holder)
                this->reportViolation("holder", "fencing token " + std::to_string(order.token) + " was used by " + knownHolder->second + " and " + order.holder);
        }
    }
    // A copy, because `reportViolation` locks the mutex.
    std::vector<Attempt> recordedAttempts;
    {
        std::lock_guard lock(this->mutex);
        recordedAttempts = this->attempts;
    }
    for (const auto& attempt : recordedAttempts) {
        auto found = runsByRequestId.find(attempt.id);
        auto count = found == runsByRequestId.end() ? 0 : found->second;
        // These kinds must not be retried after they may have run.
        bool atMostOnce = attempt.kind == RequestKind::Order || attempt.kind == RequestKind::Chat;
        if (atMostOnce && count > 1)
            this->reportViolation("once", attempt.id + " ran " + std::to_string(count) + " times");
        bool lostInFlight = count == 0 && attempt.endedAt - attempt.sentAt < maxInFlightTime;
        if (attempt.cutByDrain && !lostInFlight)
            this->reportViolation("drain", attempt.id + " was cut off by the graceful shutdown of vm" + std::to_string(attempt.vm));
        if (attempt.reportedNotRun && count > 0)
            this->reportViolation("not_run", attempt.id + " was refused with " + std::to_string(attempt.status) + " and ran " + std::to_string(count) + " times");
    }
}

void InvariantChecker::checkSignals(const std::vector<std::unique_ptr<standins::WorkerStandin>>& workers, const std::vector<std::vector<Time>>& disturbedTimes)
{
    std::map<std::string, Attempt> attemptsById;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& attempt : this->attempts)
            attemptsById.emplace(attempt.id, attempt);
    }
    size_t leavesTold = 0;
    size_t timesTold = 0;
    for (size_t number = 0; number < workers.size(); number++) {
        auto& worker = *workers[number];
        std::lock_guard lock(worker.mutex);
        // The arrivals of each VM at each start of the worker, with the attempts that they belong to.
        std::map<std::pair<int, int64_t>, std::vector<std::pair<const standins::WorkerArrival*, const Attempt*>>> arrivals;
        for (const auto& arrival : worker.arrivals) {
            auto attempt = attemptsById.find(arrival.requestId);
            if (attempt != attemptsById.end())
                arrivals[{ attempt->second.vm, arrival.startedAtMs }].emplace_back(&arrival, &attempt->second);
        }
        for (const auto& [source, list] : arrivals) {
            auto subject = " reached " + worker.id + " from vm" + std::to_string(source.first);
            std::optional<Time> toldLeavingAt;
            for (const auto& [arrival, attempt] : list) {
                if (arrival->toldLeaving && attempt->toldLeaving)
                    toldLeavingAt = std::min(toldLeavingAt.value_or(attempt->endedAt), attempt->endedAt);
            }
            leavesTold += toldLeavingAt ? 1 : 0;
            for (const auto& [arrival, attempt] : list) {
                if (toldLeavingAt && attempt->sentAt > *toldLeavingAt + leavePropagationTime && attempt->vmDisturbedAt < *toldLeavingAt)
                    this->reportViolation("leave", attempt->id + subject + ", which had said " + formatSeconds(attempt->sentAt - *toldLeavingAt) + " s before that it leaves");
                if (!arrival->toldRetryAfter)
                    continue;
                timesTold++;
                auto toldAt = arrival->at - this->start;
                auto endsAt = toldAt + std::chrono::duration_cast<Time>(std::chrono::duration<double>(*arrival->toldRetryAfter));
                bool disturbed = std::any_of(disturbedTimes[number].begin(), disturbedTimes[number].end(), [&](auto at) { return at > toldAt - connectionFaultEffect && at < endsAt; });
                int count = 0;
                for (const auto& [other, otherAttempt] : list) {
                    auto at = other->at - this->start;
                    count += at > toldAt + holdTolerance && at < endsAt ? 1 : 0;
                    disturbed = disturbed || (at < endsAt && otherAttempt->endedAt > toldAt && otherAttempt->vmDisturbedAt > toldAt - holdTolerance);
                }
                if (!disturbed && count > maxRequestsInHold)
                    this->reportViolation("hold", std::to_string(count) + " requests" + subject + ", which had named " + std::to_string(*arrival->toldRetryAfter) + " s at " + formatSeconds(toldAt));
            }
        }
    }
    std::cout << leavesTold << " leaves told to VMs, " << timesTold << " refusals that name a time" << std::endl;
}

size_t InvariantChecker::printSummary()
{
    std::lock_guard lock(this->mutex);
    std::map<std::string, size_t> counts;
    for (const auto& attempt : this->attempts)
        counts[std::string(name(attempt.kind)) + " " + (attempt.status != 0 ? std::to_string(attempt.status) : attempt.error)]++;
    for (const auto& [result, count] : counts)
        std::cout << result << " " << count << "\n";
    for (const auto& line : this->violations)
        std::cout << "broken: " << line << "\n";
    std::cout << this->attempts.size() << " attempts, " << this->violations.size() << " violations" << std::endl;
    return this->violations.size();
}

} // namespace comfreypier::soak
